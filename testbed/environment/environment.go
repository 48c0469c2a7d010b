// Package environment plays the outside of a day on loopback sockets: endpoints behind the same partners as in virtual time,
// the directory, and the platform's notices. Each courier has a directory of its own to talk to, so that the books know
// what it was notified; what calls it makes is known by the messages that it was handed.
package environment

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// Clock counts from the beginning of a day.
type Clock struct{ Start time.Time }

// Now is the instant of the day.
func (c Clock) Now() dispatch.Micros { return dispatch.Micros(time.Since(c.Start).Microseconds()) }

// After does something at an instant of the day.
func (c Clock) After(at dispatch.Micros, do func()) *time.Timer {
	return time.AfterFunc(time.Duration(at-c.Now())*time.Microsecond, do)
}

// Message is what a client submitted, as far as endpoints must know.
type Message struct {
	Origin   dispatch.MessageID
	Courier  int
	Class    int
	Dest     int
	Over     bool
	Attempts int
}

// World is the outside of one day.
type World struct {
	Scenario *scenario.Instance
	Books    *invariants.Ledger
	Clock    Clock
	// OnNotice is notified of each notice that ends a message: how, and for a reject when to come again.
	OnNotice func(id dispatch.MessageID, how invariants.End, again time.Duration)

	// AllowUnknownMessages lets in messages that nobody announced, for clients that are not ours: of the first class, from courier 0.
	AllowUnknownMessages bool

	log       *slog.Logger
	mu        sync.Mutex
	rng       *rand.Rand
	sites     []*site
	endpoints map[dispatch.EndpointID]*endpoint
	messages  map[dispatch.MessageID]*Message
	out       []int // calls out, by courier
	directory []*directory
	closed    bool
	timers    []*time.Timer
	wg        sync.WaitGroup
	calls     uint64
	open      int // connections
	busiest   int
}

// site is one partner and its endpoints on sockets.
type site struct {
	world   *World
	no      int
	mu      sync.Mutex
	partner *endpointmodel.Destination
	timer   *time.Timer
	dueAt   dispatch.Micros
	waiting map[uint64]chan endpointmodel.Answer
}

// Open puts up the world of a day; nothing goes wrong in it before Start.
func Open(w *scenario.Instance, log *slog.Logger) (*World, error) {
	o := &World{Scenario: w, log: log, rng: rand.New(rand.NewPCG(uint64(w.Seed), 99)), endpoints: map[dispatch.EndpointID]*endpoint{},
		messages: map[dispatch.MessageID]*Message{}, out: make([]int, w.Definition.Fleet.Couriers), Clock: Clock{time.Now()}}
	for i := range w.Destinations {
		s := &site{world: o, no: i, partner: endpointmodel.New(w.Destinations[i].Plan), dueAt: endpointmodel.Never,
			waiting: map[uint64]chan endpointmodel.Answer{}}
		o.sites = append(o.sites, s)
		for _, e := range w.Destinations[i].Endpoints {
			if _, err := o.put(s, e, ""); err != nil {
				o.Close()
				return nil, err
			}
		}
	}
	for i := range w.Definition.Fleet.Couriers {
		d, err := openDirectory(o, i)
		if err != nil {
			o.Close()
			return nil, err
		}
		o.directory = append(o.directory, d)
	}
	return o, nil
}

// Start starts the day: from now on its clock runs and its troubles come. Each act is notified to courier first; those of couriers are its to
// carry out.
func (w *World) Start(books *invariants.Ledger, courier func(scenario.Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Books, w.Clock = books, Clock{time.Now()}
	for _, a := range w.Scenario.Events {
		w.timers = append(w.timers, w.Clock.After(a.At, func() { w.act(a, courier) }))
	}
}

func (w *World) act(a scenario.Event, courier func(scenario.Event)) {
	courier(a)
	var s *site
	if a.Kind <= scenario.EndpointRemoved {
		s = w.sites[a.Dest]
	}
	switch a.Kind {
	case scenario.FaultBegins:
		s.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			return p.StartFault(now, a.Endpoint.ID, a.Fault)
		})
	case scenario.FaultEnds:
		s.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			return p.EndFault(now, a.Endpoint.ID, a.Fault.ID)
		})
	case scenario.EndpointAdded:
		address := ""
		if old := w.endpoint(a.Address); old != nil {
			address = old.address
		}
		s.do(func(p *endpointmodel.Destination, _ dispatch.Micros) []endpointmodel.Output {
			p.Add(a.Endpoint)
			return nil
		})
		if _, err := w.put(s, a.Endpoint, address); err != nil {
			w.log.Warn("endpoint not put up", "endpoint", a.Endpoint.ID, "error", err)
		}
		w.listed(a.Dest, a.Endpoint, dispatch.InService)
	case scenario.EndpointDraining:
		w.listed(a.Dest, a.Endpoint, dispatch.Draining)
	case scenario.EndpointRemoved:
		s.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			return p.Remove(now, a.Endpoint.ID)
		})
		w.listed(a.Dest, a.Endpoint, dispatch.Removed)
	case scenario.DirectoryDown, scenario.DirectoryUp:
		for _, d := range w.directory {
			d.down(a.Kind == scenario.DirectoryDown)
		}
	}
	if s != nil {
		s.gates()
	}
}

func (w *World) listed(dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	for _, d := range w.directory {
		w.mu.Lock()
		r := w.Scenario.Definition.Directory.ChangeDelay
		late := config.Micros(r[0] + (r[1]-r[0])*w.rng.Float64())
		w.mu.Unlock()
		d.later(late, dest, e, phase)
	}
}

func (w *World) endpoint(id dispatch.EndpointID) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[id]
}

// Expect tells of a message before it is submitted: calls with other messages are strange.
func (w *World) Expect(id dispatch.MessageID, r Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages[id] = &r
}

// MarkEnded tells that what is still sent for a message counts for nothing.
func (w *World) MarkEnded(id dispatch.MessageID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.messages[id]; r != nil {
		r.Over = true
	}
}

// MaxConnections is how many connections the endpoints held at most, together.
func (w *World) MaxConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busiest
}

// opened counts connections that come and go.
func (w *World) opened(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open += n
	w.busiest = max(w.busiest, w.open)
}

// Close ends everything.
func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	for _, t := range w.timers {
		t.Stop()
	}
	endpoints := slices.Collect(maps.Values(w.endpoints))
	w.mu.Unlock()
	for _, s := range w.sites {
		s.mu.Lock()
		if s.timer != nil {
			s.timer.Stop()
		}
		s.mu.Unlock()
	}
	for _, e := range endpoints {
		e.close()
	}
	for _, d := range w.directory {
		d.close()
	}
	w.wg.Wait()
}

// way draws how long something takes between a courier and an endpoint.
func (w *World) way(courier int, zone dispatch.ZoneID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.Scenario.Definition.Network.SameZone
	if w.Scenario.CourierZone[courier] != zone {
		r = w.Scenario.Definition.Network.CrossZone
	}
	return time.Duration((r[0] + (r[1]-r[0])*w.rng.Float64()) * float64(time.Millisecond))
}

// do has something done to the partner, and takes in what comes of it.
func (s *site) do(what func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output) {
	s.mu.Lock()
	now := s.world.Clock.Now()
	outs := what(s.partner, now)
	due := s.partner.NextDue()
	if due < s.dueAt {
		s.dueAt = due
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = s.world.Clock.After(due, s.step)
	}
	var answers []func()
	for _, o := range outs {
		if a, ok := o.(endpointmodel.Answer); ok {
			if ch := s.waiting[a.Call.ID]; ch != nil {
				delete(s.waiting, a.Call.ID)
				answers = append(answers, func() { ch <- a })
			}
		}
	}
	s.mu.Unlock()
	for _, o := range outs {
		s.book(now, o)
	}
	for _, answer := range answers {
		answer()
	}
}

func (s *site) step() {
	s.mu.Lock()
	s.dueAt = endpointmodel.Never
	s.mu.Unlock()
	s.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output { return p.Step(now) })
	s.gates()
}

func (s *site) book(now dispatch.Micros, o endpointmodel.Output) {
	books := s.world.Books
	if books == nil {
		return
	}
	switch o := o.(type) {
	case endpointmodel.Effect:
		books.EffectOccurred(now, o.Item.Message, o.Endpoint, o.EarlierEffects, o.Deduplicated)
	case endpointmodel.RouteOverloaded:
		books.RouteOverloaded(now, dispatch.DestinationID(s.no), o.Route, o.Sent)
	case endpointmodel.PhaseChanged:
		books.RouteChanged(now, dispatch.DestinationID(s.no), o.Route, o.Phase == endpointmodel.Outage)
	}
}

func (s *site) gates() {
	s.world.mu.Lock()
	var all []*endpoint
	for _, e := range s.world.endpoints {
		if e.site == s {
			all = append(all, e)
		}
	}
	s.world.mu.Unlock()
	for _, e := range all {
		e.gate()
	}
}
