package dispatch

import (
	"cmp"
	"slices"
)

// Snapshots of the learned state: taken, and taken over after a restart. Which of them are used is decided by restore. The
// tags name the fields as files and other processes have them, and must not change.

// SumSnapshot is a decaying sum as it was when its Snapshot was taken.
type SumSnapshot struct {
	Weight float64 `json:"Weight"`
	Total  float64 `json:"Total"`
}

// Snapshot is what a dispatcher has learned of its endpoints. It shares no memory with the dispatcher. A SnapshotRestored
// event hands it to another one.
type Snapshot struct {
	TakenAt     Micros             `json:"At"`
	AnswerTimes SumSnapshot        `json:"Took"`  // of all calls, in microseconds
	LostCalls   []SumSnapshot      `json:"Broke"` // by the idle time of their connection
	Groups      []GroupSnapshot    `json:"Routes"`
	Endpoints   []EndpointSnapshot `json:"Endpoints"`
	HeldKeys    []KeySnapshot      `json:"Resting"` // for a successor only: held for a moment, and there may be many
}

// KeySnapshot is an ordering key that is held, as an attempt of one of its messages may still run.
type KeySnapshot struct {
	Key       OrderingKey `json:"Key"`
	HoldUntil Micros      `json:"RestTo"`
}

// GroupSnapshot is what is known of one endpoint group.
type GroupSnapshot struct {
	Destination       DestinationID     `json:"Dest"`
	Endpoint          EndpointID        `json:"Endpoint"` // empty where the group is the whole destination
	AnswerTimes       SumSnapshot       `json:"Took"`
	Deliveries        SumSnapshot       `json:"Done"`
	CountedSince      Micros            `json:"Since"`
	LastCall          Micros            `json:"LastCall"`
	LastDelivery      Micros            `json:"LastDone"`
	RetryAfterUntil   Micros            `json:"WaitTo"`
	Interval          Micros            `json:"Gap"`
	ThrottledInterval Micros            `json:"Knee"`
	FailureSigns      int               `json:"Strikes"`
	ThrottleSigns     int               `json:"Fulls"`
	Outage            bool              `json:"Sick"`
	OutageAt          Micros            `json:"SickAt"`
	WarmingUp         bool              `json:"Cold"`
	WarmedFor         Micros            `json:"Ramped"`
	UsualRate         float64           `json:"Usual"` // calls a second
	ReportedRate      float64           `json:"Rate"`  // calls a second; 0 if no load report had it
	Breakers          []BreakerSnapshot `json:"Breakers"`
}

// BreakerSnapshot is the breaker of one class; OpenUntil is 0 where it is closed.
type BreakerSnapshot struct {
	Failures  int    `json:"Fails"`
	OpenUntil Micros `json:"Until"`
}

// EndpointSnapshot is what is known of one endpoint. Only endpoints with failures, or that warm up, are listed.
type EndpointSnapshot struct {
	Endpoint     EndpointID    `json:"Endpoint"`
	FailureRuns  []RunSnapshot `json:"Runs"` // of all classes, then by class
	WarmingUntil Micros        `json:"ColdTo"`
}

// RunSnapshot is a number of consecutive failures, and how long the endpoint is ejected for them.
type RunSnapshot struct {
	Failures     int    `json:"Fails"`
	EjectedUntil Micros `json:"RestTo"`
}

// SnapshotRestored hands over what was learned before a restart. It comes after the endpoint list that it is about.
type SnapshotRestored struct{ Snapshot }

func (SnapshotRestored) event() {}

// Snapshot returns what is known of the groups that were called recently; its cost grows with these, not with the list.
func (d *Dispatcher) Snapshot() Snapshot {
	snapshot := Snapshot{TakenAt: d.now, AnswerTimes: d.durations.snapshot(d.now, durationSpan)}
	for key, order := range d.keys {
		if order.holdUntil > d.now {
			snapshot.HeldKeys = append(snapshot.HeldKeys, KeySnapshot{key, order.holdUntil})
		}
	}
	slices.SortFunc(snapshot.HeldKeys, func(a, b KeySnapshot) int { return cmp.Compare(a.Key, b.Key) })
	for i := range d.lostCalls {
		snapshot.LostCalls = append(snapshot.LostCalls, d.lostCalls[i].snapshot(d.now, rateSpan))
	}
	d.forgetIdleGroups()
	for _, group := range d.recentGroups {
		saved := group.snapshot(d.now)
		for _, endpoint := range group.destination.endpoints {
			if endpoint.group != group {
				continue
			}
			if group.destination.endpointType.Separate {
				saved.Endpoint = endpoint.Endpoint
			}
			if endpoint.failureRun.failures > 0 || endpoint.warmingUntil > d.now {
				snapshot.Endpoints = append(snapshot.Endpoints, endpoint.snapshot())
			}
		}
		snapshot.Groups = append(snapshot.Groups, saved)
	}
	return snapshot
}

func (s *decayingSum) snapshot(now, over Micros) SumSnapshot {
	s.decay(now, over)
	return SumSnapshot{s.weight, s.sum}
}

func (g *endpointGroup) snapshot(now Micros) GroupSnapshot {
	saved := GroupSnapshot{
		Destination:       g.destination.id,
		AnswerTimes:       g.durations.snapshot(now, durationSpan),
		Deliveries:        g.deliveries.snapshot(now, rateSpan),
		CountedSince:      g.countedSince,
		LastCall:          g.lastCall,
		LastDelivery:      g.lastDelivery,
		RetryAfterUntil:   g.retryAfterUntil,
		Interval:          g.interval,
		ThrottledInterval: g.throttledInterval,
		FailureSigns:      g.failureSigns,
		ThrottleSigns:     g.throttleSigns,
		Outage:            g.outage,
		OutageAt:          g.outageAt,
		WarmingUp:         g.warmingUp,
		UsualRate:         g.usualRate,
	}
	if g.warmingUp {
		saved.WarmedFor = now - g.warmingSince
	}
	if g.reported {
		saved.ReportedRate = g.rate
	}
	for _, breaker := range g.breakers {
		until := Micros(0)
		if breaker.state != breakerClosed {
			until = max(1, breaker.openUntil)
		}
		saved.Breakers = append(saved.Breakers, BreakerSnapshot{breaker.failures, until})
	}
	return saved
}

func (e *endpoint) snapshot() EndpointSnapshot {
	saved := EndpointSnapshot{Endpoint: e.Endpoint, WarmingUntil: e.warmingUntil, FailureRuns: []RunSnapshot{e.failureRun.snapshot()}}
	for _, run := range e.classRuns {
		saved.FailureRuns = append(saved.FailureRuns, run.snapshot())
	}
	return saved
}

func (r *failureRun) snapshot() RunSnapshot { return RunSnapshot{r.failures, r.ejectedUntil} }

// restoreSnapshot takes over a snapshot.
func (d *Dispatcher) restoreSnapshot(snapshot Snapshot) {
	d.durations = snapshot.AnswerTimes.restore(snapshot.TakenAt)
	restoreSums(d.lostCalls[:], snapshot.LostCalls, snapshot.TakenAt)
	d.restoreKeys(snapshot.HeldKeys)
	for _, saved := range snapshot.Groups {
		if group := d.findGroup(saved.Destination, saved.Endpoint); group != nil {
			d.restoreGroup(group, saved, snapshot.TakenAt)
		}
	}
	for _, saved := range snapshot.Endpoints {
		if endpoint := d.endpoints[saved.Endpoint]; endpoint != nil {
			endpoint.restore(saved)
		}
	}
}

func (d *Dispatcher) restoreGroup(group *endpointGroup, saved GroupSnapshot, takenAt Micros) {
	d.markRecent(group)
	group.durations, group.deliveries = saved.AnswerTimes.restore(takenAt), saved.Deliveries.restore(takenAt)
	group.countedSince, group.usualRate = saved.CountedSince, saved.UsualRate
	group.lastCall, group.lastDelivery = saved.LastCall, saved.LastDelivery
	group.interval, group.throttledInterval = saved.Interval, saved.ThrottledInterval
	group.failureSigns, group.throttleSigns = saved.FailureSigns, saved.ThrottleSigns
	group.outage, group.outageAt, group.warmingUp = saved.Outage, saved.OutageAt, saved.WarmingUp
	group.warmingSince = d.now - saved.WarmedFor
	group.retryAfterUntil, group.draw = saved.RetryAfterUntil, d.rng.Float64()
	if saved.ReportedRate > 0 {
		group.rate = saved.ReportedRate // the remaining share changes within a second: the next load report has it
	}
	group.restoreBreakers(saved.Breakers, takenAt, d.now)
}

// restoreKeys holds the ordering keys that were held.
func (d *Dispatcher) restoreKeys(keys []KeySnapshot) {
	for _, saved := range keys {
		if d.keys[saved.Key] == nil && saved.HoldUntil > d.now {
			order := &keyOrder{key: saved.Key, holdUntil: saved.HoldUntil}
			d.keys[saved.Key], d.restingKeys = order, append(d.restingKeys, order)
		}
	}
}

// findGroup returns the group of a destination, or of one of its endpoints where these are separate. It is nil where the
// list has no such endpoint, or has endpoints separate that were not, or the reverse: nothing is taken over then.
func (d *Dispatcher) findGroup(id DestinationID, separate EndpointID) *endpointGroup {
	if separate != "" {
		endpoint := d.endpoints[separate]
		if endpoint != nil && endpoint.Destination == id && endpoint.destination.endpointType.Separate {
			return endpoint.group
		}
		return nil
	}
	destination := d.destinations[id]
	if destination != nil && len(destination.groups) == 1 && !destination.endpointType.Separate {
		return destination.groups[0]
	}
	return nil
}

// restore returns the sum as it was at an instant; it decays from there on.
func (s SumSnapshot) restore(at Micros) decayingSum {
	return decayingSum{weight: s.Weight, sum: s.Total, at: at}
}

// restoreSums takes over as many sums as both sides have.
func restoreSums(into []decayingSum, from []SumSnapshot, at Micros) {
	for i := range min(len(into), len(from)) {
		into[i] = from[i].restore(at)
	}
}

func (r *failureRun) restore(saved RunSnapshot) {
	r.failures, r.ejectedUntil = saved.Failures, saved.EjectedUntil
}

// restoreBreakers takes over breakers: open ones stay open until the instant they had.
func (g *endpointGroup) restoreBreakers(all []BreakerSnapshot, at, now Micros) {
	for i := range min(len(g.breakers), len(all)) {
		g.breakers[i] = breaker{failures: all[i].Failures, changedAt: at, usedAt: now}
		if all[i].OpenUntil > 0 {
			g.breakers[i].state, g.breakers[i].openUntil = breakerOpen, all[i].OpenUntil
		}
	}
}

// restore takes over the failures of an endpoint, where both sides have as many classes.
func (e *endpoint) restore(saved EndpointSnapshot) {
	if len(saved.FailureRuns) != len(e.classRuns)+1 {
		return
	}
	e.failureRun.restore(saved.FailureRuns[0])
	e.warmingUntil = saved.WarmingUntil
	for i := range e.classRuns {
		e.classRuns[i].restore(saved.FailureRuns[i+1])
	}
}
