// Package environment emulates the surroundings of the couriers on loopback sockets: endpoints that use the same models as in
// virtual time, the directory, and the receiver of notices. Each courier has its own directory, so that the ledger can record what
// the courier was notified of. The courier that makes a call is known from the messages in the call, as each message is submitted
// to one courier.
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

// Clock measures the time since the start of a run.
type Clock struct{ Start time.Time }

// Now returns the time since the start of the run.
func (c Clock) Now() dispatch.Micros { return dispatch.Micros(time.Since(c.Start).Microseconds()) }

// After calls a function at a time of the run.
func (c Clock) After(at dispatch.Micros, do func()) *time.Timer {
	return time.AfterFunc(time.Duration(at-c.Now())*time.Microsecond, do)
}

// Message is what the endpoints have to know about a submitted message.
type Message struct {
	Origin   dispatch.MessageID
	Courier  int
	Work     int
	Dest     int
	Ended    bool
	Attempts int
}

// World is the environment of the couriers in one run of a scenario.
type World struct {
	Day    *scenario.Drawn
	Ledger *invariants.Ledger
	Clock  Clock
	// Noticed is called for each notice that ends a message. again is the time after which the client may submit a rejected
	// message again.
	Noticed func(id dispatch.MessageID, how invariants.End, again time.Duration)

	// Guests allows messages that were not announced by Expect, for clients that are not part of the testbed. Such a message is
	// treated as one of the first class that was submitted to courier 0.
	Guests bool

	log           *slog.Logger
	mu            sync.Mutex
	rng           *rand.Rand
	destinations  []*destination
	endpoints     map[dispatch.EndpointID]*endpoint
	messages      map[dispatch.MessageID]*Message
	callsInFlight []int // calls without an answer, per courier
	directories   []*directory
	closed        bool
	timers        []*time.Timer
	wg            sync.WaitGroup
	lastCall      uint64
	openConns     int
	maxConns      int
}

// destination is the model of one destination with the timer and the pending calls that connect it to sockets.
type destination struct {
	world        *World
	id           int
	mu           sync.Mutex
	model        *endpointmodel.Partner
	timer        *time.Timer
	dueAt        dispatch.Micros
	pendingCalls map[uint64]chan endpointmodel.Answer
}

// Open starts the environment of a scenario. Its events occur only after Begin.
func Open(instance *scenario.Drawn, logger *slog.Logger) (*World, error) {
	w := &World{Day: instance, log: logger, rng: rand.New(rand.NewPCG(uint64(instance.Seed), 99)), endpoints: map[dispatch.EndpointID]*endpoint{},
		messages: map[dispatch.MessageID]*Message{}, callsInFlight: make([]int, instance.Day.Fleet.Couriers), Clock: Clock{time.Now()}}
	for i := range instance.Destinations {
		s := &destination{world: w, id: i, model: endpointmodel.New(instance.Destinations[i].Plan), dueAt: endpointmodel.Never,
			pendingCalls: map[uint64]chan endpointmodel.Answer{}}
		w.destinations = append(w.destinations, s)
		for _, e := range instance.Destinations[i].Endpoints {
			if _, err := w.addEndpoint(s, e, ""); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	for i := range instance.Day.Fleet.Couriers {
		d, err := openDirectory(w, i)
		if err != nil {
			w.Close()
			return nil, err
		}
		w.directories = append(w.directories, d)
	}
	return w, nil
}

// Begin starts the run: its clock starts, and the events of the scenario occur at their times. Each event is first passed to onEvent, which
// has to carry out the events that concern couriers.
func (w *World) Begin(ledger *invariants.Ledger, onEvent func(scenario.Act)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Ledger, w.Clock = ledger, Clock{time.Now()}
	for _, a := range w.Day.Acts {
		w.timers = append(w.timers, w.Clock.After(a.At, func() { w.applyEvent(a, onEvent) }))
	}
}

func (w *World) applyEvent(a scenario.Act, onEvent func(scenario.Act)) {
	onEvent(a)
	var s *destination
	if a.Kind <= scenario.Removes {
		s = w.destinations[a.Dest]
	}
	switch a.Kind {
	case scenario.Begins:
		s.update(func(p *endpointmodel.Partner, now dispatch.Micros) []endpointmodel.Output {
			return p.Inject(now, a.Endpoint.ID, a.Fault)
		})
	case scenario.Ends:
		s.update(func(p *endpointmodel.Partner, now dispatch.Micros) []endpointmodel.Output {
			return p.Heal(now, a.Endpoint.ID, a.Fault.ID)
		})
	case scenario.Adds:
		address := ""
		if old := w.endpoint(a.Address); old != nil {
			address = old.address
		}
		s.update(func(p *endpointmodel.Partner, _ dispatch.Micros) []endpointmodel.Output {
			p.Add(a.Endpoint)
			return nil
		})
		if _, err := w.addEndpoint(s, a.Endpoint, address); err != nil {
			w.log.Warn("endpoint not started", "endpoint", a.Endpoint.ID, "error", err)
		}
		w.publish(a.Dest, a.Endpoint, dispatch.InService)
	case scenario.Drains:
		w.publish(a.Dest, a.Endpoint, dispatch.Draining)
	case scenario.Removes:
		s.update(func(p *endpointmodel.Partner, now dispatch.Micros) []endpointmodel.Output {
			return p.Remove(now, a.Endpoint.ID)
		})
		w.publish(a.Dest, a.Endpoint, dispatch.Removed)
	case scenario.ListDown, scenario.ListUp:
		for _, d := range w.directories {
			d.setDown(a.Kind == scenario.ListDown)
		}
	}
	if s != nil {
		s.updateListeners()
	}
}

func (w *World) publish(dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	for _, d := range w.directories {
		w.mu.Lock()
		r := w.Day.Day.Directory.Notice
		delay := config.Micros(r[0] + (r[1]-r[0])*w.rng.Float64())
		w.mu.Unlock()
		d.publishAfter(delay, dest, e, phase)
	}
}

func (w *World) endpoint(id dispatch.EndpointID) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[id]
}

// Expect announces a message before it is submitted. A call with a message that was not announced is recorded as an error of
// the courier.
func (w *World) Expect(id dispatch.MessageID, r Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages[id] = &r
}

// Drop marks a message as ended, so that further attempts of it are answered as expired.
func (w *World) Drop(id dispatch.MessageID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.messages[id]; r != nil {
		r.Ended = true
	}
}

// Busiest returns the largest number of connections that all endpoints together had open at a time.
func (w *World) Busiest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxConns
}

// countConns adds to the number of open connections.
func (w *World) countConns(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openConns += n
	w.maxConns = max(w.maxConns, w.openConns)
}

// Close stops the environment and waits until its goroutines have ended.
func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	for _, t := range w.timers {
		t.Stop()
	}
	endpoints := slices.Collect(maps.Values(w.endpoints))
	w.mu.Unlock()
	for _, s := range w.destinations {
		s.mu.Lock()
		if s.timer != nil {
			s.timer.Stop()
		}
		s.mu.Unlock()
	}
	for _, e := range endpoints {
		e.close()
	}
	for _, d := range w.directories {
		d.close()
	}
	w.wg.Wait()
}

// networkDelay draws the one-way network delay between a courier and an endpoint.
func (w *World) networkDelay(courier int, zone dispatch.ZoneID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.Day.Day.Network.Same
	if w.Day.CourierZone[courier] != zone {
		r = w.Day.Day.Network.Cross
	}
	return time.Duration((r[0] + (r[1]-r[0])*w.rng.Float64()) * float64(time.Millisecond))
}

// update calls a method of the model, schedules the next step of the model, records the outputs and passes on the answers.
func (s *destination) update(action func(p *endpointmodel.Partner, now dispatch.Micros) []endpointmodel.Output) {
	s.mu.Lock()
	now := s.world.Clock.Now()
	outputs := action(s.model, now)
	due := s.model.Due()
	if due < s.dueAt {
		s.dueAt = due
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = s.world.Clock.After(due, s.step)
	}
	var answers []func()
	for _, o := range outputs {
		if a, ok := o.(endpointmodel.Answer); ok {
			if ch := s.pendingCalls[a.Call.ID]; ch != nil {
				delete(s.pendingCalls, a.Call.ID)
				answers = append(answers, func() { ch <- a })
			}
		}
	}
	s.mu.Unlock()
	for _, o := range outputs {
		s.record(now, o)
	}
	for _, answer := range answers {
		answer()
	}
}

func (s *destination) step() {
	s.mu.Lock()
	s.dueAt = endpointmodel.Never
	s.mu.Unlock()
	s.update(func(p *endpointmodel.Partner, now dispatch.Micros) []endpointmodel.Output { return p.Step(now) })
	s.updateListeners()
}

func (s *destination) record(now dispatch.Micros, o endpointmodel.Output) {
	ledger := s.world.Ledger
	if ledger == nil {
		return
	}
	switch o := o.(type) {
	case endpointmodel.Ran:
		ledger.Ran(now, o.Item.Message, o.Endpoint, o.Before, o.Known)
	case endpointmodel.Fell:
		ledger.Fell(now, dispatch.DestinationID(s.id), o.Route, o.Sent)
	case endpointmodel.Turned:
		ledger.Turned(now, dispatch.DestinationID(s.id), o.Route, o.Phase == endpointmodel.Out)
	}
}

func (s *destination) updateListeners() {
	s.world.mu.Lock()
	var all []*endpoint
	for _, e := range s.world.endpoints {
		if e.destination == s {
			all = append(all, e)
		}
	}
	s.world.mu.Unlock()
	for _, e := range all {
		e.updateListener()
	}
}
