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
	Turns   int // of couriers
	Actions int
	Packets int // between couriers
}

// Sim is a day being played.
type Sim struct {
	w        *scenario.Instance
	books    *invariants.Ledger
	host     Host
	rng      *rand.Rand
	now      dispatch.Micros
	tick     dispatch.Micros
	queue    queue
	seq      int
	partners []*site
	at       map[dispatch.EndpointID]*spot
	couriers []*courier
	turns    map[dispatch.Micros][]*courier // who has something to be notified, by tick
	listed   *directory
	calls    uint64
	taken    int              // messages, by all couriers
	inFlight map[uint64]*call // those whose endpoint may still answer
	stats    Stats
	err      error
	lores    map[int]dispatch.Snapshot
	Options
}

// site is a partner and when it was last asked to be stepped.
type site struct {
	*endpointmodel.Destination
	dueAt dispatch.Micros
}

// spot is an endpoint that ever was.
type spot struct {
	dest     int
	endpoint endpointmodel.Endpoint
	route    int
}

// Options are how a day is played.
type Options struct {
	// OnInterval is called every half second of virtual time.
	OnInterval func(now dispatch.Micros)
	// SnapshotInterval is how often each courier's learned state is kept for its next start, as a file would; 0: never. At a planned end it is
	// kept last.
	SnapshotInterval dispatch.Micros
	// Spool has what a killed courier held come back to it at its next start, as its folder would; else its clients hand it
	// in anew.
	Spool bool
	// QuotaSharing has couriers share limits.
	Share QuotaSharing
}

// Play plays a day.
func Play(w *scenario.Instance, host Host, o Options) (*invariants.Verdict, Stats, error) {
	setup := invariants.SetupFor(w)
	if o.Spool { // what fell due while a courier was down is answered in its first step
		setup.RestartGrace = config.Micros(w.Definition.Fleet.Tick/1000) + setup.AnswerGrace
	}
	s := &Sim{w: w, books: invariants.New(setup), host: host, rng: rand.New(rand.NewPCG(uint64(w.Seed), 77)),
		tick: config.Micros(w.Definition.Fleet.Tick / 1000), at: map[dispatch.EndpointID]*spot{}, turns: map[dispatch.Micros][]*courier{},
		inFlight: map[uint64]*call{}, lores: map[int]dispatch.Snapshot{}, Options: o}
	s.listed = newDirectory(s)
	for i := range w.Destinations {
		p := endpointmodel.New(w.Destinations[i].Plan)
		s.partners = append(s.partners, &site{p, endpointmodel.Never})
		for _, e := range w.Destinations[i].Endpoints {
			s.at[e.ID] = &spot{i, e, p.Route(e.ID)}
		}
	}
	for i := range w.Definition.Fleet.Couriers {
		c := &courier{sim: s, no: i, zone: w.CourierZone[i], notified: s.listed.all()}
		s.couriers = append(s.couriers, c)
		s.start(c)
	}
	for _, a := range w.Events {
		s.after(a.At, func() { s.act(a) })
	}
	s.arrive(0)
	if o.OnInterval != nil {
		s.look()
	}
	if o.SnapshotInterval > 0 {
		for i, c := range s.couriers {
			s.after(o.SnapshotInterval*dispatch.Micros(i)/dispatch.Micros(len(s.couriers)), func() { s.keepSnapshots(c) })
		}
	}
	for s.err == nil && len(s.queue) > 0 && s.queue[0].at <= w.EndsAt {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.stats.Events++
		e.do()
	}
	var fault *CourierPanic
	if errors.As(s.err, &fault) {
		s.books.CourierCrashed(s.now, fault.Courier, fault.Text)
		s.err = nil
	}
	return s.books.Finish(w.EndsAt), s.stats, s.err
}

// keepLore keeps what a courier has learned, now and again after a while.
func (s *Sim) keepSnapshots(c *courier) {
	s.takeSnapshot(c)
	s.after(s.now+s.SnapshotInterval, func() { s.keepSnapshots(c) })
}

func (s *Sim) takeSnapshot(c *courier) {
	if local, ok := s.host.(*LocalHost); ok && c.alive {
		if d, ok := local.Dispatcher(c.no).(dispatch.Snapshotter); ok {
			s.lores[c.no] = d.Snapshot()
		}
	}
}

func (s *Sim) look() {
	s.OnInterval(s.now)
	s.after(s.now+invariants.BinLength, s.look)
}

// after lets something happen at an instant.
func (s *Sim) after(at dispatch.Micros, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, do})
}

// act is something that happens by itself.
func (s *Sim) act(a scenario.Event) {
	switch a.Kind {
	case scenario.FaultBegins:
		s.came(a.Dest, s.partners[a.Dest].StartFault(s.now, a.Endpoint.ID, a.Fault))
	case scenario.FaultEnds:
		s.came(a.Dest, s.partners[a.Dest].EndFault(s.now, a.Endpoint.ID, a.Fault.ID))
	case scenario.EndpointAdded:
		s.partners[a.Dest].Add(a.Endpoint)
		s.at[a.Endpoint.ID] = &spot{a.Dest, a.Endpoint, s.partners[a.Dest].Route(a.Endpoint.ID)}
		s.listed.change(a.Dest, a.Endpoint, dispatch.InService)
	case scenario.EndpointDraining:
		s.listed.change(a.Dest, a.Endpoint, dispatch.Draining)
	case scenario.EndpointRemoved:
		s.came(a.Dest, s.partners[a.Dest].Remove(s.now, a.Endpoint.ID))
		s.listed.change(a.Dest, a.Endpoint, dispatch.Removed)
	case scenario.CourierKilled:
		s.kill(s.couriers[a.Courier])
	case scenario.CourierStopRequested:
		s.ask(s.couriers[a.Courier], a.Duration)
	case scenario.CourierStarted:
		s.start(s.couriers[a.Courier])
	case scenario.CourierPaused:
		c := s.couriers[a.Courier]
		c.standsTo = max(c.standsTo, s.now+a.Duration)
		s.books.CourierPaused(s.now, c.no, c.standsTo+s.tick)
	case scenario.DirectoryDown:
		s.listed.goDown()
	case scenario.DirectoryUp:
		s.listed.comeUp()
	}
}

// came takes in what came of something done to a partner, and sees to it that it is stepped when it is due.
func (s *Sim) came(dest int, outs []endpointmodel.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case endpointmodel.Answer:
			s.answered(o)
		case endpointmodel.Effect:
			s.books.EffectOccurred(s.now, o.Item.Message, o.Endpoint, o.EarlierEffects, o.Deduplicated)
		case endpointmodel.RouteOverloaded:
			s.books.RouteOverloaded(s.now, dispatch.DestinationID(dest), o.Route, o.Sent)
		case endpointmodel.PhaseChanged:
			s.books.RouteChanged(s.now, dispatch.DestinationID(dest), o.Route, o.Phase == endpointmodel.Outage)
		}
	}
	p := s.partners[dest]
	if due := p.NextDue(); due < p.dueAt {
		p.dueAt = due
		s.after(due, func() { s.step(dest, due) })
	}
}

func (s *Sim) step(dest int, due dispatch.Micros) {
	p := s.partners[dest]
	if p.dueAt != due {
		return // it was asked for earlier since
	}
	p.dueAt = endpointmodel.Never
	s.came(dest, p.Step(s.now))
}

// way is how long something takes between a courier and an endpoint.
func (s *Sim) way(a, b dispatch.ZoneID) dispatch.Micros {
	r := s.w.Definition.Network.SameZone
	if a != b {
		r = s.w.Definition.Network.CrossZone
	}
	return config.Micros((r[0] + (r[1]-r[0])*s.rng.Float64()) / 1000)
}

func (s *Sim) between(r scenario.Range) dispatch.Micros {
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
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
