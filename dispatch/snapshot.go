package dispatch

import (
	"cmp"
	"slices"
)

// This file saves the learned state in snapshots, and restores it after a restart. Dispatcher.restore decides which snapshots
// are used. The tags are the field names in files and in the protocol between processes, and must not change.

// SumSnapshot is a decaying sum at the time of its Snapshot.
type SumSnapshot struct {
	Weight float64 `json:"Weight"`
	Total  float64 `json:"Total"`
}

// Snapshot is the state that a dispatcher has learned about its endpoints. It shares no memory with the dispatcher. A
// SnapshotRestored event hands it to another dispatcher.
type Snapshot struct {
	TakenAt     Micros             `json:"At"`
	AnswerTimes SumSnapshot        `json:"Took"`  // durations of calls to all groups, in microseconds
	LostCalls   []SumSnapshot      `json:"Broke"` // by idle bucket of their connection
	Groups      []GroupSnapshot    `json:"Routes"`
	Endpoints   []EndpointSnapshot `json:"Endpoints"`
	HeldKeys    []KeySnapshot      `json:"Resting"` // only for a successor process; snapshot files omit them, as they are held briefly and may be many
}

// KeySnapshot is an ordering key that is held because an attempt of one of its messages may still run.
type KeySnapshot struct {
	Key       OrderingKey `json:"Key"`
	HoldUntil Micros      `json:"RestTo"`
}

// GroupSnapshot is the learned state of one endpoint group.
type GroupSnapshot struct {
	Destination       DestinationID     `json:"Dest"`
	Endpoint          EndpointID        `json:"Endpoint"` // empty if the group is the whole destination
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
	WarmedFor         Micros            `json:"Ramped"` // how long the group had been warming up
	UsualRate         float64           `json:"Usual"`  // deliveries per second before the outage
	ReportedRate      float64           `json:"Rate"`   // limit in calls per second; 0 if no load report contained it
	Breakers          []BreakerSnapshot `json:"Breakers"`
}

// BreakerSnapshot is the breaker of one class. OpenUntil is 0 if the breaker is closed.
type BreakerSnapshot struct {
	Failures  int    `json:"Fails"`
	OpenUntil Micros `json:"Until"`
}

// EndpointSnapshot is the learned state of one endpoint. A Snapshot contains only endpoints with consecutive failures over all
// classes, or that warm up after maintenance.
type EndpointSnapshot struct {
	Endpoint     EndpointID    `json:"Endpoint"`
	FailureRuns  []RunSnapshot `json:"Runs"` // over all classes first, then by class
	WarmingUntil Micros        `json:"ColdTo"`
}

// RunSnapshot is a number of consecutive failures, and until when the endpoint is ejected for them.
type RunSnapshot struct {
	Failures     int    `json:"Fails"`
	EjectedUntil Micros `json:"RestTo"`
}

// SnapshotRestored hands over the state learned before a restart. It must come after the endpoint list that it refers to.
type SnapshotRestored struct{ Snapshot }

func (SnapshotRestored) event() {}

// Snapshot returns the learned state of the recently called groups. Its cost grows with the number of these groups, and not
// with the length of the endpoint list.
func (d *Dispatcher) Snapshot() Snapshot {
	snapshot := Snapshot{TakenAt: d.now, AnswerTimes: d.durations.snapshot(d.now, durationDecayTime)}
	for key, order := range d.keys {
		if order.holdUntil > d.now {
			snapshot.HeldKeys = append(snapshot.HeldKeys, KeySnapshot{key, order.holdUntil})
		}
	}
	slices.SortFunc(snapshot.HeldKeys, func(a, b KeySnapshot) int { return cmp.Compare(a.Key, b.Key) })
	for i := range d.lostCalls {
		snapshot.LostCalls = append(snapshot.LostCalls, d.lostCalls[i].snapshot(d.now, rateDecayTime))
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

func (s *decayingSum) snapshot(now, timeConstant Micros) SumSnapshot {
	s.decay(now, timeConstant)
	return SumSnapshot{s.count, s.sum}
}

func (g *endpointGroup) snapshot(now Micros) GroupSnapshot {
	saved := GroupSnapshot{
		Destination:       g.destination.id,
		AnswerTimes:       g.durations.snapshot(now, durationDecayTime),
		Deliveries:        g.deliveries.snapshot(now, rateDecayTime),
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

// restoreSnapshot applies a snapshot.
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
	group.retryAfterUntil, group.retryAfterJitter = saved.RetryAfterUntil, d.rng.Float64()
	if saved.ReportedRate > 0 {
		group.rate = saved.ReportedRate // the remaining share counts as 1 until the next load report, as it changes within a second
	}
	group.restoreBreakers(saved.Breakers, takenAt, d.now)
}

// restoreKeys holds the ordering keys of a snapshot again.
func (d *Dispatcher) restoreKeys(keys []KeySnapshot) {
	for _, saved := range keys {
		if d.keys[saved.Key] == nil && saved.HoldUntil > d.now {
			order := &keyOrder{key: saved.Key, holdUntil: saved.HoldUntil}
			d.keys[saved.Key], d.idleHeldKeys = order, append(d.idleHeldKeys, order)
		}
	}
}

// findGroup returns the group of a destination, or of one of its endpoints if these are separate. It returns nil, and the
// caller skips the entry, if the list has no such endpoint or if the endpoint type has changed between separate and not.
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

// restore returns the sum as of an instant, from which it decays.
func (s SumSnapshot) restore(at Micros) decayingSum {
	return decayingSum{count: s.Weight, sum: s.Total, at: at}
}

// restoreSums restores as many sums as both slices have.
func restoreSums(to []decayingSum, from []SumSnapshot, at Micros) {
	for i := range min(len(to), len(from)) {
		to[i] = from[i].restore(at)
	}
}

func (r *failureRun) restore(saved RunSnapshot) {
	r.failures, r.ejectedUntil = saved.Failures, saved.EjectedUntil
}

// restoreBreakers restores breakers. Breakers that are not closed are open until the saved instant.
func (g *endpointGroup) restoreBreakers(saved []BreakerSnapshot, at, now Micros) {
	for i := range min(len(g.breakers), len(saved)) {
		g.breakers[i] = breaker{failures: saved[i].Failures, changedAt: at, usedAt: now}
		if saved[i].OpenUntil > 0 {
			g.breakers[i].state, g.breakers[i].openUntil = breakerOpen, saved[i].OpenUntil
		}
	}
}

// restore restores the failures and the warm-up of an endpoint, if the number of classes is the same.
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
