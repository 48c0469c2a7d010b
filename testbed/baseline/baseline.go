// Package baseline has plain policies to hold the module against. They are yardsticks and nothing else: none of them
// keeps all six rules on every day, and none runs in a courier.
package baseline

import (
	"maps"
	"slices"

	"pineport/dispatch"
)

const (
	millisecond dispatch.Micros = 1000
	second                      = 1000 * millisecond
)

// Names lists the policies, with what each does.
func Names() map[string]string {
	return map[string]string{
		"once":     "each record gets one trip, in the order taken, to the endpoint with fewest calls out",
		"eager":    "each record goes again at once while it may, round the endpoints",
		"backoff":  "each record goes again after a wait that doubles from 100 ms, told waits heeded",
		"textbook": "the same, with a breaker for each destination: five failures open it for five seconds",
	}
}

// New makes a policy by its name; nil for an unknown one.
func New(name string, ch dispatch.Charter) *Policy {
	if _, ok := Names()[name]; !ok {
		return nil
	}
	return &Policy{ch: ch, again: name != "once", wait: name == "backoff" || name == "textbook", breaker: name == "textbook",
		endpoints: map[dispatch.EndpointID]*endpoint{}, dests: map[dispatch.DestID]*dest{}, records: map[dispatch.RecordID]*record{}}
}

// Policy is one courier.
type Policy struct {
	ch                   dispatch.Charter
	again, wait, breaker bool
	now                  dispatch.Micros
	endpoints            map[dispatch.EndpointID]*endpoint
	dests                map[dispatch.DestID]*dest
	records              map[dispatch.RecordID]*record
	queue                []*record
	out                  []dispatch.Action
	slots                int
	wakeAt               dispatch.Micros
	asked                bool
}

type endpoint struct {
	dispatch.Listing
	calls int
}

type dest struct {
	endpoints []*endpoint
	waitTo    dispatch.Micros
	fails     int
}

type record struct {
	dispatch.Taken
	dest  *dest
	work  *dispatch.Workload
	trips []*endpoint
	out   int
	ran   bool
	ready dispatch.Micros
	over  bool
}

// Handle implements the decisions' one entry.
func (p *Policy) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	p.now, p.out = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Taken:
			r := &record{Taken: e, dest: p.dest(e.Dest), work: &p.ch.Workloads[e.Workload], ready: now}
			p.records[e.Record] = r
			p.queue = append(p.queue, r)
		case dispatch.Settled:
			p.settle(e)
		case dispatch.Left:
			if r := p.records[e.Record]; r != nil {
				r.over = true
			}
		case dispatch.ListNews:
			p.list(e)
		}
	}
	if p.ch.MustAsk && !p.asked {
		p.asked = true
		p.out = append(p.out, dispatch.Watch{})
	}
	p.dispatch()
	return p.out
}

func (p *Policy) dest(id dispatch.DestID) *dest {
	if p.dests[id] == nil {
		p.dests[id] = &dest{}
	}
	return p.dests[id]
}

func (p *Policy) list(e dispatch.ListNews) {
	if e.How == dispatch.ListError {
		p.asked = false
		return
	}
	if e.How != dispatch.Partial {
		for _, ep := range p.endpoints {
			ep.Phase = dispatch.Gone
		}
	}
	for _, l := range e.Entries {
		if p.endpoints[l.Endpoint] == nil {
			ep := &endpoint{}
			p.endpoints[l.Endpoint] = ep
			d := p.dest(l.Dest)
			d.endpoints = append(d.endpoints, ep)
		}
		p.endpoints[l.Endpoint].Listing = l
	}
}

func (p *Policy) settle(e dispatch.Settled) {
	r := p.records[e.Record]
	if r == nil {
		return
	}
	p.slots--
	r.out--
	r.trips[e.Trip].calls--
	d := r.dest
	switch e.Outcome {
	case dispatch.Full:
		if p.wait {
			d.waitTo = max(d.waitTo, p.now+e.Wait+p.ch.Tick)
		}
	case dispatch.Done:
		d.fails = 0
	case dispatch.Unreachable, dispatch.Void:
		d.fails++
	default:
		d.fails++
		r.ran = true
	}
	if p.breaker && d.fails >= 5 {
		d.fails, d.waitTo = 0, max(d.waitTo, p.now+5*second)
	}
	if r.over = r.over || e.Over; r.over {
		delete(p.records, e.Record)
		return
	}
	if !p.again || len(r.trips) >= p.ch.MaxTrips || r.ran && r.work.Repeat != dispatch.Replayable {
		p.giveUp(r)
		return
	}
	r.ready = p.now
	if p.wait {
		r.ready += 100 * millisecond << min(len(r.trips)-1, 6)
	}
	p.queue = append(p.queue, r)
}

func (p *Policy) giveUp(r *record) {
	r.over = true
	if r.ran && r.work.Repeat != dispatch.Replayable {
		p.out = append(p.out, dispatch.Terminate{Record: r.Record})
	} else {
		p.out = append(p.out, dispatch.Bounce{Record: r.Record})
	}
	if r.out == 0 {
		delete(p.records, r.Record)
	}
}

func (p *Policy) dispatch() {
	next := p.now + second
	p.queue = slices.DeleteFunc(p.queue, func(r *record) bool {
		if r.over {
			return true
		}
		if p.now >= r.CutOff-20*millisecond-2*p.ch.Tick {
			p.giveUp(r)
			return true
		}
		at := max(r.ready, r.dest.waitTo)
		if at > p.now {
			next = min(next, at)
			return false
		}
		if p.slots >= p.ch.Slots {
			return false
		}
		ep := r.dest.best()
		if ep == nil {
			return false
		}
		p.slots++
		ep.calls++
		r.out++
		r.trips = append(r.trips, ep)
		p.out = append(p.out, dispatch.Send{Record: r.Record, Endpoint: ep.Endpoint, Limit: min(3*second, r.CutOff-p.now-2*p.ch.Tick)})
		return true
	})
	if len(p.queue) > 0 && (p.wakeAt <= p.now || next < p.wakeAt) {
		p.wakeAt = max(next, p.now+p.ch.Tick)
		p.out = append(p.out, dispatch.Wake{At: p.wakeAt})
	}
}

// best is the endpoint with fewest calls out, the first listed of those.
func (d *dest) best() (best *endpoint) {
	for _, ep := range d.endpoints {
		if ep.Phase == dispatch.In && (best == nil || ep.calls < best.calls) {
			best = ep
		}
	}
	return best
}

// Sorted lists the names in order.
func Sorted() []string { return slices.Sorted(maps.Keys(Names())) }
