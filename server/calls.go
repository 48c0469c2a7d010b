package server

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/spool"
)

// call is what goes to an endpoint at once: one attempt, or several where the charter allows.
type call struct {
	endpoint    dispatch.EndpointID
	host        protocol.Host
	attempts    []*attempt
	exchange    *exchange
	limit       dispatch.Micros // until when it is waited for
	predecessor bool            // the other process of an upgrade has it out; one attempt
}

var outcomes = map[string]dispatch.Outcome{
	"done": dispatch.Delivered, "failure": dispatch.Failure, "full": dispatch.Throttled, "timed_out": dispatch.TimedOut,
	"unreachable": dispatch.Unreachable, "broken": dispatch.Broken, "withdrawn": dispatch.Canceled, "void": dispatch.Unprocessed,
}

func outcomeName(o dispatch.Outcome) string {
	for name, other := range outcomes {
		if other == o {
			return name
		}
	}
	return ""
}

// load puts an attempt on a call: sends of one step to one endpoint go together, up to what its shape takes.
func (r *Router) load(calls []*call, a dispatch.Send) []*call {
	message := r.messages[a.Message]
	if message == nil || message.ended {
		return calls
	}
	host := r.hosts[a.Endpoint]
	perCall := 1
	if kind, ok := r.kindOf(host); ok {
		perCall = kind.MaxPerCall
	}
	var c *call
	for _, o := range calls {
		if o.endpoint == a.Endpoint && len(o.attempts) < perCall {
			c = o
		}
	}
	if c == nil {
		c = &call{endpoint: a.Endpoint, host: host}
		calls = append(calls, c)
	}
	attempt := &attempt{message: message, number: len(message.attempts), call: c, sent: r.now, limit: r.now + a.Timeout}
	message.attempts = append(message.attempts, attempt)
	message.out++
	r.inFlight = append(r.inFlight, attempt)
	c.attempts = append(c.attempts, attempt)
	return calls
}

// waitAlike has all attempts of a call waited for as long as the least of them allows, and returns until when. Failure: with a time
// of its own for each, one attempt was given up while its call went on for the others, and messages were counted as lost.
func (c *call) waitAlike() dispatch.Micros {
	limit := never
	for _, attempt := range c.attempts {
		limit = min(limit, attempt.limit)
	}
	for _, attempt := range c.attempts {
		attempt.limit = limit
	}
	c.limit = limit
	return limit
}

// start sends a call on its way.
func (r *Router) start(c *call) {
	if len(c.attempts) == 0 {
		return
	}
	c.waitAlike()
	c.exchange = &exchange{peer: peerOf(c.host),
		begun:  func(begun bool) { r.begun(c, begun) },
		leaves: func() error { return r.leaves(c) },
		still: func() bool {
			return r.hosts[c.endpoint].Health == protocol.InService && !r.operators.out[string(c.endpoint)] && r.waits[r.route(c.host)] <= r.now
		},
		written: func() { r.counters.dispatches += int64(len(c.attempts)) },
		end:     func(a protocol.Answer, err error) { r.answered(c, a, err) }}
	r.links.start(c.exchange)
}

// leaves writes down a call's attempts as its first byte is about to leave, and no sooner, and puts the bytes together. Failures: noted when
// they were decided, attempts whose connection was still coming up as the process was killed passed for calls that may have run, and what may
// not be repeated was given up after the restart with no call. Put together then, a call went out with messages called off meanwhile.
func (r *Router) leaves(c *call) error {
	for _, attempt := range slices.Clone(c.attempts) {
		if attempt.message.ended || attempt.message.windowOver(r.now) {
			r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
	}
	c.attempts = slices.DeleteFunc(c.attempts, func(attempt *attempt) bool { return attempt.over })
	var items []protocol.Item
	for _, attempt := range c.attempts {
		if err := r.note(attempt, ""); err != nil {
			r.check(err)
			return err // so not sent: a restart would not know of it
		}
		items = append(items, protocol.Item{ID: attempt.message.kept.ID, Mark: attempt.message.kept.Mark, Body: attempt.message.kept.Body})
	}
	if len(items) == 0 {
		return errNobody
	}
	c.exchange.bytes, c.exchange.whole = protocol.Call(c.host.Dial, int64((c.limit-r.now)/1000), items), len(items) > 1
	return nil
}

var errNobody = errors.New("nothing of it is wanted any more")

// note writes an attempt into the spool, once; with its outcome where it ended before it was sent.
func (r *Router) note(attempt *attempt, outcome string) error {
	if attempt.noted {
		return nil
	}
	attempt.noted = true
	return r.spool.Begin(attempt.message.kept.ID, spool.Trip{Endpoint: string(attempt.call.endpoint), Zone: max(0, slices.Index(r.dep.Zones, attempt.call.host.Zone)),
		Sent: int64(attempt.sent), Outcome: outcome})
}

// outcome writes down how an attempt ended.
func (r *Router) outcome(attempt *attempt, o dispatch.Outcome) {
	if attempt.noted {
		r.check(r.spool.Settle(attempt.message.kept.ID, attempt.number, outcomeName(o)))
	} else {
		r.check(r.note(attempt, outcomeName(o)))
	}
}

func peerOf(h protocol.Host) peer { return peer{host: h.Host, addr: h.Dial, born: h.Born} }

// restSlack is how long the rest of an answer may take once its first bytes are here: it is written at once, and the
// longest way that a deployment tells of is a fifth of a second. A head or body without an end would else hold its slot,
// and what it answered for, until nobody waits any more.
const restSlack = 500 * 1000

// begun shortens the waiting for an answer of which a part has come, and takes that back where it was an interim one.
func (r *Router) begun(c *call, begun bool) {
	for _, attempt := range c.attempts {
		if attempt.limit = c.limit; begun {
			attempt.limit = min(attempt.limit, r.now+restSlack)
		}
	}
}

// answered turns the end of a call into the outcomes of its attempts.
func (r *Router) answered(c *call, a protocol.Answer, err error) {
	if errors.Is(err, errOvertaken) {
		for _, attempt := range c.attempts {
			r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
		return
	}
	var failure *protocol.Failure
	if errors.As(err, &failure) {
		outcome := map[protocol.Progress]dispatch.Outcome{protocol.BeforeLastByte: dispatch.Unreachable,
			protocol.AfterLastByte: dispatch.Broken, protocol.InAnswer: dispatch.Failure}[failure.Progress]
		for _, attempt := range c.attempts {
			r.complete(attempt, dispatch.AttemptFinished{Outcome: outcome})
		}
		return
	}
	var ends map[string]string
	if a.Status == 200 && len(c.attempts) > 1 {
		ends = protocol.ReadEnds(a.Body)
	}
	if a.WaitMs > 0 {
		r.keepWait(c.host, r.now+dispatch.Micros(a.WaitMs)*1000)
	}
	pressure := protocol.Pressure(a.Report, r.dep.Report)
	for _, attempt := range c.attempts {
		s := outcomeOf(a)
		if ends != nil {
			s = endOf(ends[attempt.message.kept.ID])
		}
		s.LoadReport, s.RetryAfter = pressure, dispatch.Micros(a.WaitMs)*1000
		r.complete(attempt, s)
	}
}

// keepWait keeps a wait that an endpoint told.
func (r *Router) keepWait(h protocol.Host, until dispatch.Micros) {
	maps.DeleteFunc(r.waits, func(_ string, until dispatch.Micros) bool { return until <= r.now })
	r.waits[r.route(h)] = max(until, r.waits[r.route(h)])
	r.upgrade.waits(h, until)
}

// route is what a wait holds for: an endpoint where its kind's are apart, else the destination.
func (r *Router) route(h protocol.Host) string {
	if r.apart(h) {
		return h.Host
	}
	return strconv.Itoa(h.Dest)
}

// apart tells whether a wait that an endpoint told holds for it alone.
func (r *Router) apart(h protocol.Host) bool {
	kind, ok := r.kindOf(h)
	return ok && kind.Separate
}

// kindOf is what the settings say of the kind that an endpoint is of; false where they know none of that name.
func (r *Router) kindOf(h protocol.Host) (dispatch.EndpointType, bool) {
	i := slices.Index(r.dep.Shapes, h.Kind)
	if i < 0 || i >= len(r.dep.Charter.EndpointTypes) {
		return dispatch.EndpointType{}, false
	}
	return r.dep.Charter.EndpointTypes[i], true
}

// outcomeOf reads an answer for all that a call carried.
func outcomeOf(a protocol.Answer) dispatch.AttemptFinished {
	switch {
	case a.Status == 200:
		return dispatch.AttemptFinished{Outcome: dispatch.Delivered, MessageDone: true}
	case a.Status == 503 && a.NoSlot, a.Status == 504:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed}
	case a.Status == 429, a.Status == 503:
		return dispatch.AttemptFinished{Outcome: dispatch.Throttled}
	case a.Status == 410:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed, MessageDone: true}
	case a.Status == 400, a.Status == 404, a.Status == 413:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed} // nothing of it was read
	}
	return dispatch.AttemptFinished{Outcome: dispatch.Failure} // unknown: it may have run
}

// endOf reads one message's end from an answer for several; one that is not named may have run.
func endOf(word string) dispatch.AttemptFinished {
	switch word {
	case protocol.Accepted:
		return dispatch.AttemptFinished{Outcome: dispatch.Delivered, MessageDone: true}
	case protocol.Deferred:
		return dispatch.AttemptFinished{Outcome: dispatch.Throttled}
	case protocol.Expired:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed, MessageDone: true}
	case protocol.NoMore:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed}
	}
	return dispatch.AttemptFinished{Outcome: dispatch.Failure}
}

// complete ends an attempt with its outcome and tells the decisions.
func (r *Router) complete(attempt *attempt, s dispatch.AttemptFinished) {
	if r.upgrade.handed {
		r.upgrade.echo(attempt, s)
		return
	}
	if attempt.over {
		if s.MessageDone && !attempt.message.ended { // called off, and delivered all the same
			if s.Outcome == dispatch.Delivered {
				r.count(attempt.message.kept.Workload, delivered)
			}
			r.clients.over.add(attempt.message, r.now)
			r.finish(attempt.message)
			r.events = append(r.events, dispatch.MessageCanceled{Message: dispatch.MessageID(attempt.message.kept.ID)})
			r.forget(attempt.message)
		}
		return
	}
	attempt.over = true
	attempt.message.out--
	for i, o := range r.inFlight {
		if o == attempt {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			break
		}
	}
	if s.MessageDone {
		if !attempt.message.ended && s.Outcome == dispatch.Delivered {
			r.count(attempt.message.kept.Workload, delivered)
		}
		r.clients.over.add(attempt.message, r.now)
		r.finish(attempt.message)
	} else if !attempt.message.ended {
		r.outcome(attempt, s.Outcome)
	}
	s.Message, s.Attempt, s.Duration = dispatch.MessageID(attempt.message.kept.ID), dispatch.AttemptNumber(attempt.number), r.now-attempt.sent
	s.MessageDone = s.MessageDone || attempt.message.ended
	r.events = append(r.events, s)
	r.learned.observe(s.Outcome)
	r.forget(attempt.message)
}

// overdue ends an attempt that was waited for long enough, unless its answer is here and only not dispatched yet. Failure: a delivered message
// passed for one without an answer.
func (r *Router) overdue(attempt *attempt) {
	if r.arrives(attempt) {
		return
	}
	s := dispatch.AttemptFinished{Outcome: dispatch.TimedOut}
	switch x := attempt.call.exchange; {
	case attempt.call.predecessor: // the other process has said nothing of it for longer than it should wait
	case !r.links.out(x):
		s.Outcome = dispatch.Unreachable
	case !x.whole && x.link.first.Load() == 200:
		s.Outcome, s.MessageDone = dispatch.Delivered, true // the rest of the answer is slow, but this was its first line
	case x.cut:
		s.Outcome = dispatch.Failure // it answers, but nothing that can be read
	}
	r.complete(attempt, s)
	r.drop(attempt.call)
}

// recheckAfter is how long an attempt that is to be given up is waited for where something that came over its connection lies unread. The poller
// reads that at once unless the machine is busy; a peer that sends on and on gains no more than this.
const recheckAfter = 5 * 1000

// arrives tells whether the answer to an attempt is here, or may be: whole but not dispatched yet, or unread in the socket. For the latter it
// gives the attempt a moment, once.
func (r *Router) arrives(attempt *attempt) bool {
	x := attempt.call.exchange
	if r.links.heard(x) {
		return true
	}
	if attempt.rechecked || !r.links.stirs(x) {
		return false
	}
	attempt.rechecked, attempt.limit = true, r.now+recheckAfter
	return true
}

func (r *Router) cancel(a dispatch.Cancel) {
	message := r.messages[a.Message]
	if message == nil || int(a.Attempt) >= len(message.attempts) || message.attempts[a.Attempt].over {
		return
	}
	attempt, o := message.attempts[a.Attempt], dispatch.Canceled
	if r.arrives(attempt) {
		return // its answer says more
	}
	if x := attempt.call.exchange; x != nil && !x.sent {
		o = dispatch.Unprocessed // its connection is still coming up: it never ran
	}
	r.complete(attempt, dispatch.AttemptFinished{Outcome: o})
	r.drop(attempt.call)
}

// drop gives up a call once nobody waits for any of it.
func (r *Router) drop(c *call) {
	for _, attempt := range c.attempts {
		if !attempt.over {
			return
		}
	}
	if c.predecessor {
		r.upgrade.cancel(c.attempts[0])
		return
	}
	r.links.abort(c.exchange)
}
