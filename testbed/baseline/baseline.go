// Package baseline provides simple dispatch policies to compare the decision logic with. They serve only for comparison: they are not
// designed to keep all six invariants in every scenario, and none runs in a courier.
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

// Descriptions returns the policies by name, with a description of each.
func Descriptions() map[string]string {
	return map[string]string{
		"once":     "one attempt per message, in order of arrival, at the endpoint with the fewest calls in flight",
		"eager":    "retries a message at once while the attempt limit and its idempotency allow it, at the endpoint with the fewest calls in flight",
		"backoff":  "retries a message after a backoff that starts at 100 ms and doubles, and observes Retry-After",
		"textbook": "as backoff, with a breaker per destination: five consecutive failures open it for 5 s; it has no trial",
	}
}

// New returns a new instance of the named policy, or nil if the name is unknown.
func New(name string, config dispatch.Config) *Policy {
	if _, ok := Descriptions()[name]; !ok {
		return nil
	}
	return &Policy{config: config, retries: name != "once", backsOff: name == "backoff" || name == "textbook", breaker: name == "textbook",
		endpoints: map[dispatch.EndpointID]*endpoint{}, dests: map[dispatch.DestinationID]*dest{}, messages: map[dispatch.MessageID]*message{}}
}

// Policy is the decision logic of one courier. It implements simulation.Decider.
type Policy struct {
	config                     dispatch.Config
	retries, backsOff, breaker bool
	now                        dispatch.Micros
	endpoints                  map[dispatch.EndpointID]*endpoint
	dests                      map[dispatch.DestinationID]*dest
	messages                   map[dispatch.MessageID]*message
	queue                      []*message
	actions                    []dispatch.Action
	slotsInUse                 int
	timerAt                    dispatch.Micros
	watching                   bool
}

type endpoint struct {
	dispatch.EndpointEntry
	calls int
}

type dest struct {
	endpoints           []*endpoint
	blockedUntil        dispatch.Micros
	consecutiveFailures int
}

type message struct {
	dispatch.MessageAccepted
	dest           *dest
	class          *dispatch.Class
	attempts       []*endpoint // endpoint of each attempt, by attempt number
	inFlight       int
	mayBeProcessed bool // an endpoint may have processed it: an attempt failed, timed out, broke or was canceled
	readyAt        dispatch.Micros
	ended          bool
}

// Handle implements simulation.Decider.
func (p *Policy) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	p.now, p.actions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.MessageAccepted:
			msg := &message{MessageAccepted: e, dest: p.dest(e.Destination), class: &p.config.Classes[e.Class], readyAt: now}
			p.messages[e.Message] = msg
			p.queue = append(p.queue, msg)
		case dispatch.AttemptFinished:
			p.finishAttempt(e)
		case dispatch.MessageCanceled:
			if msg := p.messages[e.Message]; msg != nil {
				msg.ended = true
			}
		case dispatch.EndpointUpdate:
			p.applyEndpointUpdate(e)
		}
	}
	if p.config.MustPoll && !p.watching {
		p.watching = true
		p.actions = append(p.actions, dispatch.WatchEndpoints{})
	}
	p.sendReady()
	return p.actions
}

func (p *Policy) dest(id dispatch.DestinationID) *dest {
	if p.dests[id] == nil {
		p.dests[id] = &dest{}
	}
	return p.dests[id]
}

func (p *Policy) applyEndpointUpdate(e dispatch.EndpointUpdate) {
	if e.Kind == dispatch.ListFailed {
		p.watching = false
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

func (p *Policy) finishAttempt(e dispatch.AttemptFinished) {
	msg := p.messages[e.Message]
	if msg == nil {
		return
	}
	p.slotsInUse--
	msg.inFlight--
	msg.attempts[e.Attempt].calls--
	d := msg.dest
	switch e.Outcome {
	case dispatch.Throttled:
		if p.backsOff {
			d.blockedUntil = max(d.blockedUntil, p.now+e.RetryAfter+p.config.Tick)
		}
	case dispatch.Delivered:
		d.consecutiveFailures = 0
	case dispatch.Unreachable, dispatch.Unprocessed:
		d.consecutiveFailures++
	default:
		d.consecutiveFailures++
		msg.mayBeProcessed = true
	}
	if p.breaker && d.consecutiveFailures >= 5 {
		d.consecutiveFailures, d.blockedUntil = 0, max(d.blockedUntil, p.now+5*second)
	}
	if msg.ended = msg.ended || e.MessageDone; msg.ended {
		delete(p.messages, e.Message)
		return
	}
	if !p.retries || len(msg.attempts) >= p.config.MaxAttempts || msg.mayBeProcessed && msg.class.Idempotency != dispatch.Idempotent {
		p.giveUp(msg)
		return
	}
	msg.readyAt = p.now
	if p.backsOff {
		msg.readyAt += 100 * millisecond << min(len(msg.attempts)-1, 6)
	}
	p.queue = append(p.queue, msg)
}

func (p *Policy) giveUp(msg *message) {
	msg.ended = true
	if msg.mayBeProcessed && msg.class.Idempotency != dispatch.Idempotent {
		p.actions = append(p.actions, dispatch.Fail{Message: msg.Message})
	} else {
		p.actions = append(p.actions, dispatch.Reject{Message: msg.Message})
	}
	if msg.inFlight == 0 {
		delete(p.messages, msg.Message)
	}
}

func (p *Policy) sendReady() {
	next := p.now + second
	p.queue = slices.DeleteFunc(p.queue, func(msg *message) bool {
		if msg.ended {
			return true
		}
		// Ends the message early enough that the answer reaches its client before the deadline.
		if p.now >= msg.Deadline-20*millisecond-2*p.config.Tick {
			p.giveUp(msg)
			return true
		}
		at := max(msg.readyAt, msg.dest.blockedUntil)
		if at > p.now {
			next = min(next, at)
			return false
		}
		if p.slotsInUse >= p.config.Slots {
			return false
		}
		ep := msg.dest.leastLoaded()
		if ep == nil {
			return false
		}
		p.slotsInUse++
		ep.calls++
		msg.inFlight++
		msg.attempts = append(msg.attempts, ep)
		p.actions = append(p.actions, dispatch.Send{Message: msg.Message, Endpoint: ep.Endpoint, Timeout: min(3*second, msg.Deadline-p.now-2*p.config.Tick)})
		return true
	})
	if len(p.queue) > 0 && (p.timerAt <= p.now || next < p.timerAt) {
		p.timerAt = max(next, p.now+p.config.Tick)
		p.actions = append(p.actions, dispatch.SetTimer{At: p.timerAt})
	}
}

// leastLoaded returns the endpoint in service with the fewest calls in flight, the first listed among equals, or nil if there is none.
func (d *dest) leastLoaded() (best *endpoint) {
	for _, ep := range d.endpoints {
		if ep.Phase == dispatch.InService && (best == nil || ep.calls < best.calls) {
			best = ep
		}
	}
	return best
}

// SortedNames returns the names of the policies in alphabetical order.
func SortedNames() []string { return slices.Sorted(maps.Keys(Descriptions())) }
