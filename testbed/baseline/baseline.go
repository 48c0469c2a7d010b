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
func New(name string, ch dispatch.Config) *Policy {
	if _, ok := Names()[name]; !ok {
		return nil
	}
	return &Policy{ch: ch, again: name != "once", wait: name == "backoff" || name == "textbook", breaker: name == "textbook",
		endpoints: map[dispatch.EndpointID]*endpoint{}, dests: map[dispatch.DestinationID]*dest{}, messages: map[dispatch.MessageID]*message{}}
}

// Policy is one courier.
type Policy struct {
	ch                   dispatch.Config
	again, wait, breaker bool
	now                  dispatch.Micros
	endpoints            map[dispatch.EndpointID]*endpoint
	dests                map[dispatch.DestinationID]*dest
	messages             map[dispatch.MessageID]*message
	queue                []*message
	out                  []dispatch.Action
	slots                int
	wakeAt               dispatch.Micros
	asked                bool
}

type endpoint struct {
	dispatch.EndpointEntry
	calls int
}

type dest struct {
	endpoints []*endpoint
	waitTo    dispatch.Micros
	fails     int
}

type message struct {
	dispatch.MessageAccepted
	dest     *dest
	work     *dispatch.Class
	attempts []*endpoint
	out      int
	ran      bool
	ready    dispatch.Micros
	over     bool
}

// Handle implements the decisions' one entry.
func (p *Policy) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	p.now, p.out = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.MessageAccepted:
			r := &message{MessageAccepted: e, dest: p.dest(e.Destination), work: &p.ch.Classes[e.Class], ready: now}
			p.messages[e.Message] = r
			p.queue = append(p.queue, r)
		case dispatch.AttemptFinished:
			p.settle(e)
		case dispatch.MessageCanceled:
			if r := p.messages[e.Message]; r != nil {
				r.over = true
			}
		case dispatch.EndpointUpdate:
			p.list(e)
		}
	}
	if p.ch.MustPoll && !p.asked {
		p.asked = true
		p.out = append(p.out, dispatch.WatchEndpoints{})
	}
	p.dispatch()
	return p.out
}

func (p *Policy) dest(id dispatch.DestinationID) *dest {
	if p.dests[id] == nil {
		p.dests[id] = &dest{}
	}
	return p.dests[id]
}

func (p *Policy) list(e dispatch.EndpointUpdate) {
	if e.Kind == dispatch.ListFailed {
		p.asked = false
		return
	}
	if e.Kind != dispatch.PartialList {
		for _, ep := range p.endpoints {
			ep.Phase = dispatch.Removed
		}
	}
	for _, l := range e.Entries {
		if p.endpoints[l.Endpoint] == nil {
			ep := &endpoint{}
			p.endpoints[l.Endpoint] = ep
			d := p.dest(l.Destination)
			d.endpoints = append(d.endpoints, ep)
		}
		p.endpoints[l.Endpoint].EndpointEntry = l
	}
}

func (p *Policy) settle(e dispatch.AttemptFinished) {
	r := p.messages[e.Message]
	if r == nil {
		return
	}
	p.slots--
	r.out--
	r.attempts[e.Attempt].calls--
	d := r.dest
	switch e.Outcome {
	case dispatch.Throttled:
		if p.wait {
			d.waitTo = max(d.waitTo, p.now+e.RetryAfter+p.ch.Tick)
		}
	case dispatch.Delivered:
		d.fails = 0
	case dispatch.Unreachable, dispatch.Unprocessed:
		d.fails++
	default:
		d.fails++
		r.ran = true
	}
	if p.breaker && d.fails >= 5 {
		d.fails, d.waitTo = 0, max(d.waitTo, p.now+5*second)
	}
	if r.over = r.over || e.MessageDone; r.over {
		delete(p.messages, e.Message)
		return
	}
	if !p.again || len(r.attempts) >= p.ch.MaxAttempts || r.ran && r.work.Idempotency != dispatch.Idempotent {
		p.giveUp(r)
		return
	}
	r.ready = p.now
	if p.wait {
		r.ready += 100 * millisecond << min(len(r.attempts)-1, 6)
	}
	p.queue = append(p.queue, r)
}

func (p *Policy) giveUp(r *message) {
	r.over = true
	if r.ran && r.work.Idempotency != dispatch.Idempotent {
		p.out = append(p.out, dispatch.Fail{Message: r.Message})
	} else {
		p.out = append(p.out, dispatch.Reject{Message: r.Message})
	}
	if r.out == 0 {
		delete(p.messages, r.Message)
	}
}

func (p *Policy) dispatch() {
	next := p.now + second
	p.queue = slices.DeleteFunc(p.queue, func(r *message) bool {
		if r.over {
			return true
		}
		if p.now >= r.Deadline-20*millisecond-2*p.ch.Tick {
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
		r.attempts = append(r.attempts, ep)
		p.out = append(p.out, dispatch.Send{Message: r.Message, Endpoint: ep.Endpoint, Timeout: min(3*second, r.Deadline-p.now-2*p.ch.Tick)})
		return true
	})
	if len(p.queue) > 0 && (p.wakeAt <= p.now || next < p.wakeAt) {
		p.wakeAt = max(next, p.now+p.ch.Tick)
		p.out = append(p.out, dispatch.SetTimer{At: p.wakeAt})
	}
}

// best is the endpoint with fewest calls out, the first listed of those.
func (d *dest) best() (best *endpoint) {
	for _, ep := range d.endpoints {
		if ep.Phase == dispatch.InService && (best == nil || ep.calls < best.calls) {
			best = ep
		}
	}
	return best
}

// Sorted lists the names in order.
func Sorted() []string { return slices.Sorted(maps.Keys(Names())) }
