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

// call is what goes to an endpoint at once: one attempt, or several where the configuration allows.
type call struct {
	endpoint    dispatch.EndpointID
	entry       protocol.Host
	attempts    []*attempt
	exchange    *exchange
	waitUntil   dispatch.Micros // until when it is waited for
	predecessor bool            // the other process of an upgrade has it out; one attempt
}

var outcomes = map[string]dispatch.Outcome{
	"done": dispatch.Delivered, "failure": dispatch.Failure, "full": dispatch.Throttled, "timed_out": dispatch.TimedOut,
	"unreachable": dispatch.Unreachable, "broken": dispatch.Broken, "withdrawn": dispatch.Canceled, "void": dispatch.Unprocessed,
}

func outcomeName(outcome dispatch.Outcome) string {
	for name, other := range outcomes {
		if other == outcome {
			return name
		}
	}
	return ""
}

// load puts an attempt on a call: sends of one step to one endpoint go together, up to what its shape takes.
func (r *Server) addToCall(calls []*call, a dispatch.Send) []*call {
	message := r.messages[a.Message]
	if message == nil || message.ended {
		return calls
	}
	host := r.endpoints[a.Endpoint]
	perCall := 1
	if kind, ok := r.endpointTypeOf(host); ok {
		perCall = kind.MaxPerCall
	}
	var c *call
	for _, o := range calls {
		if o.endpoint == a.Endpoint && len(o.attempts) < perCall {
			c = o
		}
	}
	if c == nil {
		c = &call{endpoint: a.Endpoint, entry: host}
		calls = append(calls, c)
	}
	attempt := &attempt{message: message, number: len(message.attempts), call: c, sentAt: r.now, waitUntil: r.now + a.Timeout}
	message.attempts = append(message.attempts, attempt)
	message.inFlight++
	r.inFlight = append(r.inFlight, attempt)
	c.attempts = append(c.attempts, attempt)
	return calls
}

// waitAlike has all attempts of a call waited for as long as the least of them allows, and returns until when. Failure: with a time
// of its own for each, one attempt was given up while its call went on for the others, and messages were counted as lost.
func (c *call) alignTimeouts() dispatch.Micros {
	limit := never
	for _, attempt := range c.attempts {
		limit = min(limit, attempt.waitUntil)
	}
	for _, attempt := range c.attempts {
		attempt.waitUntil = limit
	}
	c.waitUntil = limit
	return limit
}

// start sends a call on its way.
func (r *Server) startCall(call *call) {
	if len(call.attempts) == 0 {
		return
	}
	call.alignTimeouts()
	call.exchange = &exchange{peer: peerOf(call.entry),
		onBegin:     func(begun bool) { r.answerBegun(call, begun) },
		beforeWrite: func() error { return r.callLeaves(call) },
		isWanted: func() bool {
			return r.endpoints[call.endpoint].Health == protocol.InService && !r.operators.disabled[string(call.endpoint)] && r.retryAfter[r.groupKey(call.entry)] <= r.now
		},
		onWritten: func() { r.counters.calls += int64(len(call.attempts)) },
		onEnd:     func(a protocol.Answer, err error) { r.callAnswered(call, a, err) }}
	r.endpointConns.start(call.exchange)
}

// leaves writes down a call's attempts as its first byte is about to leave, and no sooner, and puts the bytes together. Failures: noted when
// they were decided, attempts whose connection was still coming up as the process was killed passed for calls that may have run, and what may
// not be repeated was given up after the restart with no call. Put together then, a call went out with messages called off meanwhile.
func (r *Server) callLeaves(call *call) error {
	for _, attempt := range slices.Clone(call.attempts) {
		if attempt.message.ended || attempt.message.pastIdempotencyWindow(r.now) {
			r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
	}
	call.attempts = slices.DeleteFunc(call.attempts, func(attempt *attempt) bool { return attempt.finished })
	var items []protocol.Item
	for _, attempt := range call.attempts {
		if err := r.noteAttempt(attempt, ""); err != nil {
			r.logSpoolError(err)
			return err // so not sent: a restart would not know of it
		}
		items = append(items, protocol.Item{ID: attempt.message.stored.ID, Mark: attempt.message.stored.IdempotencyKey, Body: attempt.message.stored.Body})
	}
	if len(items) == 0 {
		return errNothingToSend
	}
	call.exchange.bytes, call.exchange.needsBody = protocol.Call(call.entry.Dial, int64((call.waitUntil-r.now)/1000), items), len(items) > 1
	return nil
}

var errNothingToSend = errors.New("nothing of it is wanted any more")

// note writes an attempt into the spool, once; with its outcome where it ended before it was sent.
func (r *Server) noteAttempt(attempt *attempt, outcome string) error {
	if attempt.stored {
		return nil
	}
	attempt.stored = true
	return r.spool.BeginAttempt(attempt.message.stored.ID, spool.Attempt{Endpoint: string(attempt.call.endpoint), Zone: max(0, slices.Index(r.deployment.Zones, attempt.call.entry.Zone)),
		SentAt: int64(attempt.sentAt), Outcome: outcome})
}

// outcome writes down how an attempt ended.
func (r *Server) noteOutcome(attempt *attempt, outcome dispatch.Outcome) {
	if attempt.stored {
		r.logSpoolError(r.spool.FinishAttempt(attempt.message.stored.ID, attempt.number, outcomeName(outcome)))
	} else {
		r.logSpoolError(r.noteAttempt(attempt, outcomeName(outcome)))
	}
}

func peerOf(entry protocol.Host) peerID {
	return peerID{host: entry.Host, addr: entry.Dial, startedAt: entry.Born}
}

// restSlack is how long the rest of an answer may take once its first bytes are here: it is written at once, and the
// longest way that a deployment tells of is a fifth of a second. A head or body without an end would else hold its slot,
// and what it answered for, until nobody waits any more.
const answerTimeout = 500 * 1000

// begun shortens the waiting for an answer of which a part has come, and takes that back where it was an interim one.
func (r *Server) answerBegun(call *call, begun bool) {
	for _, attempt := range call.attempts {
		if attempt.waitUntil = call.waitUntil; begun {
			attempt.waitUntil = min(attempt.waitUntil, r.now+answerTimeout)
		}
	}
}

// answered steps the end of a call into the outcomes of its attempts.
func (r *Server) callAnswered(call *call, a protocol.Answer, err error) {
	if errors.Is(err, errOvertaken) {
		for _, attempt := range call.attempts {
			r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
		return
	}
	var failure *protocol.Failure
	if errors.As(err, &failure) {
		outcome := map[protocol.Progress]dispatch.Outcome{protocol.BeforeLastByte: dispatch.Unreachable,
			protocol.AfterLastByte: dispatch.Broken, protocol.InAnswer: dispatch.Failure}[failure.Progress]
		for _, attempt := range call.attempts {
			r.complete(attempt, dispatch.AttemptFinished{Outcome: outcome})
		}
		return
	}
	var ends map[string]string
	if a.Status == 200 && len(call.attempts) > 1 {
		ends = protocol.ReadEnds(a.Body)
	}
	if a.WaitMs > 0 {
		r.keepRetryAfter(call.entry, r.now+dispatch.Micros(a.WaitMs)*1000)
	}
	pressure := protocol.Pressure(a.Report, r.deployment.Report)
	for _, attempt := range call.attempts {
		event := outcomeOf(a)
		if ends != nil {
			event = outcomeInBatch(ends[attempt.message.stored.ID])
		}
		event.LoadReport, event.RetryAfter = pressure, dispatch.Micros(a.WaitMs)*1000
		r.complete(attempt, event)
	}
}

// keepWait keeps a wait that an endpoint reported.
func (r *Server) keepRetryAfter(entry protocol.Host, until dispatch.Micros) {
	maps.DeleteFunc(r.retryAfter, func(_ string, until dispatch.Micros) bool { return until <= r.now })
	r.retryAfter[r.groupKey(entry)] = max(until, r.retryAfter[r.groupKey(entry)])
	r.handoff.forwardRetryAfter(entry, until)
}

// route is what a wait holds for: an endpoint where its kind's are apart, else the destination.
func (r *Server) groupKey(entry protocol.Host) string {
	if r.hasSeparateGroups(entry) {
		return entry.Host
	}
	return strconv.Itoa(entry.Dest)
}

// apart tells whether a wait that an endpoint reported holds for it alone.
func (r *Server) hasSeparateGroups(entry protocol.Host) bool {
	kind, ok := r.endpointTypeOf(entry)
	return ok && kind.Separate
}

// kindOf is what the settings say of the kind that an endpoint is of; false where they know none of that name.
func (r *Server) endpointTypeOf(entry protocol.Host) (dispatch.EndpointType, bool) {
	i := slices.Index(r.deployment.Shapes, entry.Kind)
	if i < 0 || i >= len(r.deployment.Dispatch.EndpointTypes) {
		return dispatch.EndpointType{}, false
	}
	return r.deployment.Dispatch.EndpointTypes[i], true
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
func outcomeInBatch(word string) dispatch.AttemptFinished {
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
func (r *Server) complete(attempt *attempt, event dispatch.AttemptFinished) {
	if r.handoff.handedOver {
		r.handoff.forwardOutcome(attempt, event)
		return
	}
	if attempt.finished {
		if event.MessageDone && !attempt.message.ended { // called off, and delivered all the same
			if event.Outcome == dispatch.Delivered {
				r.count(attempt.message.stored.Class, delivered)
			}
			r.clients.finished.add(attempt.message, r.now)
			r.finish(attempt.message)
			r.events = append(r.events, dispatch.MessageCanceled{Message: dispatch.MessageID(attempt.message.stored.ID)})
			r.forget(attempt.message)
		}
		return
	}
	attempt.finished = true
	attempt.message.inFlight--
	for i, o := range r.inFlight {
		if o == attempt {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			break
		}
	}
	if event.MessageDone {
		if !attempt.message.ended && event.Outcome == dispatch.Delivered {
			r.count(attempt.message.stored.Class, delivered)
		}
		r.clients.finished.add(attempt.message, r.now)
		r.finish(attempt.message)
	} else if !attempt.message.ended {
		r.noteOutcome(attempt, event.Outcome)
	}
	event.Message, event.Attempt, event.Duration = dispatch.MessageID(attempt.message.stored.ID), dispatch.AttemptNumber(attempt.number), r.now-attempt.sentAt
	event.MessageDone = event.MessageDone || attempt.message.ended
	r.events = append(r.events, event)
	r.snapshots.observe(event.Outcome)
	r.forget(attempt.message)
}

// overdue ends an attempt that was waited for long enough, unless its answer is here and only not dispatched yet. Failure: a delivered message
// passed for one without an answer.
func (r *Server) attemptOverdue(attempt *attempt) {
	if r.answerArriving(attempt) {
		return
	}
	event := dispatch.AttemptFinished{Outcome: dispatch.TimedOut}
	switch exchange := attempt.call.exchange; {
	case attempt.call.predecessor: // the other process has said nothing of it for longer than it should wait
	case !r.endpointConns.isWritten(exchange):
		event.Outcome = dispatch.Unreachable
	case !exchange.needsBody && exchange.conn.partialStatus.Load() == 200:
		event.Outcome, event.MessageDone = dispatch.Delivered, true // the rest of the answer is slow, but this was its first line
	case exchange.begun:
		event.Outcome = dispatch.Failure // it answers, but nothing that can be read
	}
	r.complete(attempt, event)
	r.abandonCall(attempt.call)
}

// recheckAfter is how long an attempt that is to be given up is waited for where something that came over its connection lies unread. The poller
// reads that at once unless the machine is busy; a peer that sends on and on gains no more than this.
const recheckDelay = 5 * 1000

// arrives tells whether the answer to an attempt is here, or may be: whole but not dispatched yet, or unread in the socket. For the latter it
// gives the attempt a moment, once.
func (r *Server) answerArriving(attempt *attempt) bool {
	exchange := attempt.call.exchange
	if r.endpointConns.hasAnswer(exchange) {
		return true
	}
	if attempt.rechecked || !r.endpointConns.hasUnread(exchange) {
		return false
	}
	attempt.rechecked, attempt.waitUntil = true, r.now+recheckDelay
	return true
}

func (r *Server) cancel(a dispatch.Cancel) {
	message := r.messages[a.Message]
	if message == nil || int(a.Attempt) >= len(message.attempts) || message.attempts[a.Attempt].finished {
		return
	}
	attempt, outcome := message.attempts[a.Attempt], dispatch.Canceled
	if r.answerArriving(attempt) {
		return // its answer says more
	}
	if exchange := attempt.call.exchange; exchange != nil && !exchange.sent {
		outcome = dispatch.Unprocessed // its connection is still coming up: it never ran
	}
	r.complete(attempt, dispatch.AttemptFinished{Outcome: outcome})
	r.abandonCall(attempt.call)
}

// drop gives up a call once nobody waits for any of it.
func (r *Server) abandonCall(call *call) {
	for _, attempt := range call.attempts {
		if !attempt.finished {
			return
		}
	}
	if call.predecessor {
		r.handoff.cancelAttempt(call.attempts[0])
		return
	}
	r.endpointConns.abort(call.exchange)
}
