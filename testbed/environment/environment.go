// Package environment emulates the surroundings of the couriers on loopback sockets: endpoints that use the same models as the
// simulation in virtual time, the directory, and the receiver of notices. Each courier has its own directory, so that the ledger
// can record what the courier was notified of. An endpoint derives the courier of a call from the messages in the call, as each
// message is submitted to one courier.
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
	Class    int
	Dest     int
	Ended    bool
	Attempts int
}

// World is the environment of the couriers in one run of a scenario.
type World struct {
	Scenario *scenario.Instance
	Ledger   *invariants.Ledger
	Clock    Clock
	// OnNotice is called for each notice that ends a message. retryAfter is the time after which the client may submit a rejected
	// message again.
	OnNotice func(id dispatch.MessageID, end invariants.End, retryAfter time.Duration)

	// AllowUnknownMessages allows messages that were not announced by Expect, for clients that are not part of the testbed. Such a message is
	// treated as one of the first class that was submitted to courier 0.
	AllowUnknownMessages bool

	log           *slog.Logger
	mu            sync.Mutex
	rng           *rand.Rand
	destinations  []*destination
	endpoints     map[dispatch.EndpointID]*endpoint
	messages      map[dispatch.MessageID]*Message
	callsInFlight []int // calls without an answer, per courier; at most scenario.Instance.Slots
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
	model        *endpointmodel.Destination
	timer        *time.Timer
	dueAt        dispatch.Micros
	pendingCalls map[uint64]chan endpointmodel.Answer
}

// Open starts the environment of a scenario. The events of the scenario occur only after Start. The random numbers come from stream 99,
// which scenario.Draw does not use.
func Open(instance *scenario.Instance, logger *slog.Logger) (*World, error) {
	w := &World{Scenario: instance, log: logger, rng: rand.New(rand.NewPCG(uint64(instance.Seed), 99)), endpoints: map[dispatch.EndpointID]*endpoint{},
		messages: map[dispatch.MessageID]*Message{}, callsInFlight: make([]int, instance.Definition.Fleet.Couriers), Clock: Clock{time.Now()}}
	for i := range instance.Destinations {
		d := &destination{world: w, id: i, model: endpointmodel.New(instance.Destinations[i].Plan), dueAt: endpointmodel.Never,
			pendingCalls: map[uint64]chan endpointmodel.Answer{}}
		w.destinations = append(w.destinations, d)
		for _, e := range instance.Destinations[i].Endpoints {
			if _, err := w.addEndpoint(d, e, ""); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	for i := range instance.Definition.Fleet.Couriers {
		d, err := openDirectory(w, i)
		if err != nil {
			w.Close()
			return nil, err
		}
		w.directories = append(w.directories, d)
	}
	return w, nil
}

// Start starts the run: its clock starts, and the events of the scenario occur at their times. Each event is first passed to onEvent, which
// has to kill, stop, start and pause the couriers.
func (w *World) Start(ledger *invariants.Ledger, onEvent func(scenario.Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Ledger, w.Clock = ledger, Clock{time.Now()}
	for _, a := range w.Scenario.Events {
		w.timers = append(w.timers, w.Clock.After(a.At, func() { w.applyEvent(a, onEvent) }))
	}
}

func (w *World) applyEvent(a scenario.Event, onEvent func(scenario.Event)) {
	onEvent(a)
	var d *destination
	if a.Kind <= scenario.EndpointRemoved {
		d = w.destinations[a.Dest]
	}
	switch a.Kind {
	case scenario.FaultBegins:
		d.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			return p.StartFault(now, a.Endpoint.ID, a.Fault)
		})
	case scenario.FaultEnds:
		d.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			return p.EndFault(now, a.Endpoint.ID, a.Fault.ID)
		})
	case scenario.EndpointAdded:
		address := ""
		if old := w.endpoint(a.Address); old != nil {
			address = old.address
		}
		d.update(func(p *endpointmodel.Destination, _ dispatch.Micros) []endpointmodel.Output {
			p.Add(a.Endpoint)
			return nil
		})
		if _, err := w.addEndpoint(d, a.Endpoint, address); err != nil {
			w.log.Warn("endpoint not started", "endpoint", a.Endpoint.ID, "error", err)
		}
		w.publish(a.Dest, a.Endpoint, dispatch.InService)
	case scenario.EndpointDraining:
		w.publish(a.Dest, a.Endpoint, dispatch.Draining)
	case scenario.EndpointRemoved:
		d.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			return p.Remove(now, a.Endpoint.ID)
		})
		w.publish(a.Dest, a.Endpoint, dispatch.Removed)
	case scenario.DirectoryDown, scenario.DirectoryUp:
		for _, d := range w.directories {
			d.setDown(a.Kind == scenario.DirectoryDown)
		}
	}
	if d != nil {
		d.updateListeners()
	}
}

func (w *World) publish(dest int, e endpointmodel.Endpoint, phase dispatch.Phase) {
	for _, d := range w.directories {
		w.mu.Lock()
		r := w.Scenario.Definition.Directory.ChangeDelay
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

// MarkEnded marks a message as ended, so that further attempts of it get the answer that it has expired.
func (w *World) MarkEnded(id dispatch.MessageID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.messages[id]; r != nil {
		r.Ended = true
	}
}

// MaxConnections returns the largest number of connections that all endpoints together had open at the same time.
func (w *World) MaxConnections() int {
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
	for _, d := range w.destinations {
		d.mu.Lock()
		if d.timer != nil {
			d.timer.Stop()
		}
		d.mu.Unlock()
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
	r := w.Scenario.Definition.Network.SameZone
	if w.Scenario.CourierZone[courier] != zone {
		r = w.Scenario.Definition.Network.CrossZone
	}
	return time.Duration((r[0] + (r[1]-r[0])*w.rng.Float64()) * float64(time.Millisecond))
}

// update calls a method of the model, schedules the next step of the model, records the outputs and passes on the answers.
func (d *destination) update(action func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output) {
	d.mu.Lock()
	now := d.world.Clock.Now()
	outputs := action(d.model, now)
	due := d.model.NextDue()
	if due < d.dueAt {
		d.dueAt = due
		if d.timer != nil {
			d.timer.Stop()
		}
		d.timer = d.world.Clock.After(due, d.step)
	}
	var answers []func()
	for _, o := range outputs {
		if a, ok := o.(endpointmodel.Answer); ok {
			if ch := d.pendingCalls[a.Call.ID]; ch != nil {
				delete(d.pendingCalls, a.Call.ID)
				answers = append(answers, func() { ch <- a })
			}
		}
	}
	d.mu.Unlock()
	for _, o := range outputs {
		d.record(now, o)
	}
	for _, answer := range answers {
		answer()
	}
}

func (d *destination) step() {
	d.mu.Lock()
	d.dueAt = endpointmodel.Never
	d.mu.Unlock()
	d.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output { return p.Step(now) })
	d.updateListeners()
}

func (d *destination) record(now dispatch.Micros, o endpointmodel.Output) {
	ledger := d.world.Ledger
	if ledger == nil {
		return
	}
	switch o := o.(type) {
	case endpointmodel.Effect:
		ledger.EffectOccurred(now, o.Item.Message, o.Endpoint, o.EarlierEffects, o.Deduplicated)
	case endpointmodel.RouteOverloaded:
		ledger.RouteOverloaded(now, dispatch.DestinationID(d.id), o.Route, o.Sent)
	case endpointmodel.PhaseChanged:
		ledger.RouteChanged(now, dispatch.DestinationID(d.id), o.Route, o.Phase == endpointmodel.Outage)
	}
}

func (d *destination) updateListeners() {
	d.world.mu.Lock()
	var all []*endpoint
	for _, e := range d.world.endpoints {
		if e.destination == d {
			all = append(all, e)
		}
	}
	d.world.mu.Unlock()
	for _, e := range all {
		e.updateListener()
	}
}
