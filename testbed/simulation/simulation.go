// Package simulation plays a day in virtual time: clients, network, directory and partners are models, the couriers' decisions
// are the real ones. One goroutine, no clock: an event's instant is the only time there is, and the same day against the
// same decisions gives the same outcome to the last message.
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

// Stats tells what a run cost.
type Stats struct {
	Events  int // of the world
	Steps   int // of couriers
	Actions int
	Packets int // between couriers
}

// Sim is a day being played.
type Sim struct {
	instance     *scenario.Drawn
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
	stepsDue     map[dispatch.Micros][]*courier // who has something to be notified, by tick
	directory    *directory
	lastCallID   uint64
	accepted     int              // messages, by all couriers
	inFlight     map[uint64]*call // those whose endpoint may still answer
	stats        Stats
	err          error
	snapshots    map[int]dispatch.Snapshot
	Options
}

// site is a partner and when it was last asked to be stepped.
type destination struct {
	*endpointmodel.Partner
	dueAt dispatch.Micros
}

// spot is an endpoint that ever was.
type endpointRecord struct {
	destination int
	endpoint    endpointmodel.Endpoint
	route       int
}

// Options are how a day is played.
type Options struct {
	// Watch is called every half second of virtual time.
	Watch func(now dispatch.Micros)
	// SnapshotInterval is how often each courier's learned state is kept for its next start, as a file would; 0: never. At a planned end it is
	// kept last.
	SnapshotInterval dispatch.Micros
	// Spool has what a killed courier held come back to it at its next start, as its folder would; else its clients hand it
	// in anew.
	Spool bool
	// Share has couriers share limits.
	Share Share
}

// Play plays a day.
func Play(w *scenario.Drawn, host Host, o Options) (*invariants.Verdict, Stats, error) {
	setup := invariants.ForDay(w)
	if o.Spool { // what fell due while a courier was down is answered in its first step
		setup.Excused = config.Micros(w.Day.Fleet.Tick/1000) + setup.AnswerSlack
	}
	s := &Sim{instance: w, ledger: invariants.New(setup), host: host, rng: rand.New(rand.NewPCG(uint64(w.Seed), 77)),
		tickLength: config.Micros(w.Day.Fleet.Tick / 1000), endpoints: map[dispatch.EndpointID]*endpointRecord{}, stepsDue: map[dispatch.Micros][]*courier{},
		inFlight: map[uint64]*call{}, snapshots: map[int]dispatch.Snapshot{}, Options: o}
	s.directory = newDirectory(s)
	for i := range w.Destinations {
		p := endpointmodel.New(w.Destinations[i].Plan)
		s.destinations = append(s.destinations, &destination{p, endpointmodel.Never})
		for _, e := range w.Destinations[i].Endpoints {
			s.endpoints[e.ID] = &endpointRecord{i, e, p.Route(e.ID)}
		}
	}
	for i := range w.Day.Fleet.Couriers {
		c := &courier{sim: s, index: i, zone: w.CourierZone[i], knownEntries: s.directory.snapshot()}
		s.couriers = append(s.couriers, c)
		s.startCourier(c)
	}
	for _, a := range w.Acts {
		s.schedule(a.At, func() { s.applyEvent(a) })
	}
	s.scheduleArrival(0)
	if o.Watch != nil {
		s.watchPeriodically()
	}
	if o.SnapshotInterval > 0 {
		for i, c := range s.couriers {
			s.schedule(o.SnapshotInterval*dispatch.Micros(i)/dispatch.Micros(len(s.couriers)), func() { s.snapshotPeriodically(c) })
		}
	}
	for s.err == nil && len(s.queue) > 0 && s.queue[0].at <= w.End {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.stats.Events++
		e.run()
	}
	var courierFault *CourierFault
	if errors.As(s.err, &courierFault) {
		s.ledger.Crashed(s.now, courierFault.Courier, courierFault.Text)
		s.err = nil
	}
	return s.ledger.Finish(w.End), s.stats, s.err
}

// keepLore keeps what a courier has learned, now and again after a while.
func (s *Sim) snapshotPeriodically(c *courier) {
	s.takeSnapshot(c)
	s.schedule(s.now+s.SnapshotInterval, func() { s.snapshotPeriodically(c) })
}

func (s *Sim) takeSnapshot(c *courier) {
	if local, ok := s.host.(*Local); ok && c.alive {
		if d, ok := local.Courier(c.index).(dispatch.Snapshotter); ok {
			s.snapshots[c.index] = d.Snapshot()
		}
	}
}

func (s *Sim) watchPeriodically() {
	s.Watch(s.now)
	s.schedule(s.now+invariants.Bin, s.watchPeriodically)
}

// after lets something happen at an instant.
func (s *Sim) schedule(at dispatch.Micros, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, do})
}

// act is something that happens by itself.
func (s *Sim) applyEvent(a scenario.Act) {
	switch a.Kind {
	case scenario.Begins:
		s.handleOutputs(a.Dest, s.destinations[a.Dest].Inject(s.now, a.Endpoint.ID, a.Fault))
	case scenario.Ends:
		s.handleOutputs(a.Dest, s.destinations[a.Dest].Heal(s.now, a.Endpoint.ID, a.Fault.ID))
	case scenario.Adds:
		s.destinations[a.Dest].Add(a.Endpoint)
		s.endpoints[a.Endpoint.ID] = &endpointRecord{a.Dest, a.Endpoint, s.destinations[a.Dest].Route(a.Endpoint.ID)}
		s.directory.update(a.Dest, a.Endpoint, dispatch.InService)
	case scenario.Drains:
		s.directory.update(a.Dest, a.Endpoint, dispatch.Draining)
	case scenario.Removes:
		s.handleOutputs(a.Dest, s.destinations[a.Dest].Remove(s.now, a.Endpoint.ID))
		s.directory.update(a.Dest, a.Endpoint, dispatch.Removed)
	case scenario.Kills:
		s.killCourier(s.couriers[a.Courier])
	case scenario.Asks:
		s.scheduleShutdown(s.couriers[a.Courier], a.Span)
	case scenario.Starts:
		s.startCourier(s.couriers[a.Courier])
	case scenario.Stands:
		c := s.couriers[a.Courier]
		c.pausedUntil = max(c.pausedUntil, s.now+a.Span)
		s.ledger.Stood(s.now, c.index, c.pausedUntil+s.tickLength)
	case scenario.ListDown:
		s.directory.goDown()
	case scenario.ListUp:
		s.directory.comeUp()
	}
}

// came takes in what came of something done to a partner, and sees to it that it is stepped when it is due.
func (s *Sim) handleOutputs(dest int, outputs []endpointmodel.Output) {
	for _, o := range outputs {
		switch o := o.(type) {
		case endpointmodel.Answer:
			s.receiveAnswer(o)
		case endpointmodel.Ran:
			s.ledger.Ran(s.now, o.Item.Message, o.Endpoint, o.Before, o.Known)
		case endpointmodel.Fell:
			s.ledger.Fell(s.now, dispatch.DestinationID(dest), o.Route, o.Sent)
		case endpointmodel.Turned:
			s.ledger.Turned(s.now, dispatch.DestinationID(dest), o.Route, o.Phase == endpointmodel.Out)
		}
	}
	p := s.destinations[dest]
	if due := p.Due(); due < p.dueAt {
		p.dueAt = due
		s.schedule(due, func() { s.stepDestination(dest, due) })
	}
}

func (s *Sim) stepDestination(dest int, due dispatch.Micros) {
	p := s.destinations[dest]
	if p.dueAt != due {
		return // it was asked for earlier since
	}
	p.dueAt = endpointmodel.Never
	s.handleOutputs(dest, p.Step(s.now))
}

// way is how long something takes between a courier and an endpoint.
func (s *Sim) latency(a, b dispatch.ZoneID) dispatch.Micros {
	r := s.instance.Day.Network.Same
	if a != b {
		r = s.instance.Day.Network.Cross
	}
	return config.Micros((r[0] + (r[1]-r[0])*s.rng.Float64()) / 1000)
}

func (s *Sim) randomIn(r scenario.Range) dispatch.Micros {
	return config.Micros(r[0] + (r[1]-r[0])*s.rng.Float64())
}

func (s *Sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// event is something that happens at an instant; those of one instant happen in the order in which they were set.
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
