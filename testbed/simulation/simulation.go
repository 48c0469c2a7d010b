// Package simulation runs a scenario in virtual time. Clients, network, directory and destinations are
// models; the couriers' dispatchers are the real ones. The simulation has one goroutine and no clock: time
// advances from event to event, so the same scenario with the same dispatchers gives exactly the same result.
package simulation

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// Stats counts the work of a run.
type Stats struct {
	Events  int // simulation events
	Steps   int // steps of the couriers' dispatchers
	Actions int
	Packets int // quota packets between couriers
}

// Sim is a simulation in progress.
type Sim struct {
	instance     *scenario.Instance
	ledger       *invariants.Ledger
	host         Host
	rng          *rand.Rand
	now          dispatch.Micros
	tickLength   dispatch.Micros
	queue        eventQueue
	seq          int
	destinations []*destination
	endpoints    map[dispatch.EndpointID]*endpointRecord
	couriers     []*courier
	stepsDue     map[dispatch.Micros][]*courier // couriers with queued events, by tick
	directory    *directory
	lastCallID   uint64
	accepted     int              // messages accepted by all couriers
	inFlight     map[uint64]*call // calls that the endpoint may still answer, by ID
	stats        Stats
	err          error
	snapshots    map[int]dispatch.Snapshot
	Options
}

// destination is a destination model and the time of its next scheduled step.
type destination struct {
	*endpointmodel.Destination
	dueAt dispatch.Micros
}

// endpointRecord is an endpoint that exists or existed.
type endpointRecord struct {
	destination int
	endpoint    endpointmodel.Endpoint
	route       int
}

// Options are the settings of a run.
type Options struct {
	// OnInterval is called every 500 ms of virtual time.
	OnInterval func(now dispatch.Micros)
	// SnapshotInterval is how often each courier's learned state is saved, as in a snapshot file, for its
	// next start; 0: never. It is also saved at the end of a graceful shutdown. It has an effect only with
	// the host LocalHost.
	SnapshotInterval dispatch.Micros
	// Spool returns the open messages of a killed courier to it at its next start, as its spool would.
	// Without it, the clients submit them again, except for single-use messages that may have taken effect.
	Spool bool
	// QuotaSharing is how couriers share quotas. It has an effect only with the host LocalHost.
	Share QuotaSharing
}

// Play runs a scenario and returns the verdict on it. A panic of a courier's dispatcher is part of the
// verdict; an error means that the host or the configuration failed.
func Play(instance *scenario.Instance, host Host, o Options) (*invariants.Verdict, Stats, error) {
	setup := invariants.SetupFor(instance)
	if o.Spool { // messages whose deadlines pass while a courier is down are answered in its first step after the restart
		setup.RestartGrace = config.Micros(instance.Definition.Fleet.Tick/1000) + setup.AnswerGrace
	}
	s := &Sim{instance: instance, ledger: invariants.New(setup), host: host, rng: rand.New(rand.NewPCG(uint64(instance.Seed), 77)),
		tickLength: config.Micros(instance.Definition.Fleet.Tick / 1000), endpoints: map[dispatch.EndpointID]*endpointRecord{}, stepsDue: map[dispatch.Micros][]*courier{},
		inFlight: map[uint64]*call{}, snapshots: map[int]dispatch.Snapshot{}, Options: o}
	s.directory = newDirectory(s)
	for i := range instance.Destinations {
		p := endpointmodel.New(instance.Destinations[i].Plan)
		s.destinations = append(s.destinations, &destination{p, endpointmodel.Never})
		for _, e := range instance.Destinations[i].Endpoints {
			s.endpoints[e.ID] = &endpointRecord{i, e, p.Route(e.ID)}
		}
	}
	for i := range instance.Definition.Fleet.Couriers {
		c := &courier{sim: s, index: i, zone: instance.CourierZone[i], knownEntries: s.directory.snapshot()}
		s.couriers = append(s.couriers, c)
		s.startCourier(c)
	}
	for _, a := range instance.Events {
		s.schedule(a.At, func() { s.applyEvent(a) })
	}
	s.scheduleArrival(0)
	if o.OnInterval != nil {
		s.watchPeriodically()
	}
	if o.SnapshotInterval > 0 {
		for i, c := range s.couriers {
			s.schedule(o.SnapshotInterval*dispatch.Micros(i)/dispatch.Micros(len(s.couriers)), func() { s.snapshotPeriodically(c) })
		}
	}
	for s.err == nil && len(s.queue) > 0 && s.queue[0].at <= instance.EndsAt {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.stats.Events++
		e.run()
	}
	var courierFault *CourierPanic
	if errors.As(s.err, &courierFault) {
		s.ledger.CourierCrashed(s.now, courierFault.Courier, courierFault.Text)
		s.err = nil
	}
	return s.ledger.Finish(instance.EndsAt), s.stats, s.err
}

// snapshotPeriodically saves a courier's snapshot now and every SnapshotInterval.
func (s *Sim) snapshotPeriodically(c *courier) {
	s.takeSnapshot(c)
	s.schedule(s.now+s.SnapshotInterval, func() { s.snapshotPeriodically(c) })
}

func (s *Sim) takeSnapshot(c *courier) {
	if local, ok := s.host.(*LocalHost); ok && c.alive {
		if d, ok := local.Dispatcher(c.index).(dispatch.Snapshotter); ok {
			s.snapshots[c.index] = d.Snapshot()
		}
	}
}

func (s *Sim) watchPeriodically() {
	s.OnInterval(s.now)
	s.schedule(s.now+invariants.BinLength, s.watchPeriodically)
}

// schedule runs a function at a virtual time.
func (s *Sim) schedule(at dispatch.Micros, run func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, run})
}

// applyEvent applies an event of the scenario.
func (s *Sim) applyEvent(a scenario.Event) {
	switch a.Kind {
	case scenario.FaultBegins:
		s.handleOutputs(a.Dest, s.destinations[a.Dest].StartFault(s.now, a.Endpoint.ID, a.Fault))
	case scenario.FaultEnds:
		s.handleOutputs(a.Dest, s.destinations[a.Dest].EndFault(s.now, a.Endpoint.ID, a.Fault.ID))
	case scenario.EndpointAdded:
		s.destinations[a.Dest].Add(a.Endpoint)
		s.endpoints[a.Endpoint.ID] = &endpointRecord{a.Dest, a.Endpoint, s.destinations[a.Dest].Route(a.Endpoint.ID)}
		s.directory.update(a.Dest, a.Endpoint, dispatch.InService)
	case scenario.EndpointDraining:
		s.directory.update(a.Dest, a.Endpoint, dispatch.Draining)
	case scenario.EndpointRemoved:
		s.handleOutputs(a.Dest, s.destinations[a.Dest].Remove(s.now, a.Endpoint.ID))
		s.directory.update(a.Dest, a.Endpoint, dispatch.Removed)
	case scenario.CourierKilled:
		s.killCourier(s.couriers[a.Courier])
	case scenario.CourierStopRequested:
		s.announceShutdown(s.couriers[a.Courier], a.Duration)
	case scenario.CourierStarted:
		s.startCourier(s.couriers[a.Courier])
	case scenario.CourierPaused:
		c := s.couriers[a.Courier]
		c.pausedUntil = max(c.pausedUntil, s.now+a.Duration)
		s.ledger.CourierPaused(s.now, c.index, c.pausedUntil+s.tickLength)
	case scenario.DirectoryDown:
		s.directory.goDown()
	case scenario.DirectoryUp:
		s.directory.comeUp()
	}
}

// handleOutputs processes the outputs of a destination model, and schedules its next step.
func (s *Sim) handleOutputs(dest int, outputs []endpointmodel.Output) {
	for _, o := range outputs {
		switch o := o.(type) {
		case endpointmodel.Answer:
			s.receiveAnswer(o)
		case endpointmodel.Effect:
			s.ledger.EffectOccurred(s.now, o.Item.Message, o.Endpoint, o.EarlierEffects, o.Deduplicated)
		case endpointmodel.RouteOverloaded:
			s.ledger.RouteOverloaded(s.now, dispatch.DestinationID(dest), o.Route, o.Sent)
		case endpointmodel.PhaseChanged:
			s.ledger.RouteChanged(s.now, dispatch.DestinationID(dest), o.Route, o.Phase == endpointmodel.Outage)
		}
	}
	p := s.destinations[dest]
	if due := p.NextDue(); due < p.dueAt {
		p.dueAt = due
		s.schedule(due, func() { s.stepDestination(dest, due) })
	}
}

func (s *Sim) stepDestination(dest int, due dispatch.Micros) {
	p := s.destinations[dest]
	if p.dueAt != due {
		return // an earlier step was scheduled in the meantime
	}
	p.dueAt = endpointmodel.Never
	s.handleOutputs(dest, p.Step(s.now))
}

// latency returns a random one-way network latency between two zones.
func (s *Sim) latency(a, b dispatch.ZoneID) dispatch.Micros {
	r := s.instance.Definition.Network.SameZone
	if a != b {
		r = s.instance.Definition.Network.CrossZone
	}
	return config.Micros((r[0] + (r[1]-r[0])*s.rng.Float64()) / 1000)
}

// randomDuration returns a random duration from a range in seconds.
func (s *Sim) randomDuration(r scenario.Range) dispatch.Micros {
	return config.Micros(r[0] + (r[1]-r[0])*s.rng.Float64())
}

func (s *Sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// event is a function scheduled at a time. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at  dispatch.Micros
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
