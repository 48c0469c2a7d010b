package server

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/endpointconn"
	"pineport/spool"
)

// call is what goes to an endpoint at once: one attempt, or several where the configuration allows.
type call struct {
	endpoint    dispatch.EndpointID
	entry       protocol.Endpoint
	attempts    []*attempt
	exchange    *endpointconn.Exchange
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

// addToCall puts an attempt on a call: attempts of one step to one endpoint go together, up to what its type takes.
func (s *Server) addToCall(calls []*call, a dispatch.Send) []*call {
	message := s.messages[a.Message]
	if message == nil || message.ended {
		return calls
	}
	host := s.endpoints[a.Endpoint]
	perCall := 1
	if kind, ok := s.endpointTypeOf(host); ok {
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
	attempt := &attempt{message: message, number: len(message.attempts), call: c, sentAt: s.now, waitUntil: s.now + a.Timeout}
	message.attempts = append(message.attempts, attempt)
	message.inFlight++
	s.inFlight = append(s.inFlight, attempt)
	c.attempts = append(c.attempts, attempt)
	return calls
}

// alignTimeouts has all attempts of a call time out together, with the first, and returns when. Failure: with a timeout of its own for
// each, one attempt was given up while its call went on for the others, and messages were counted as lost.
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

// startCall sends a call on its way.
func (s *Server) startCall(call *call) {
	if len(call.attempts) == 0 {
		return
	}
	call.alignTimeouts()
	call.exchange = &endpointconn.Exchange{Peer: peerOf(call.entry),
		OnResponseStart: func(begun bool) { s.answerBegun(call, begun) },
		BeforeWrite:     func() error { return s.callLeaves(call) },
		IsWanted:        func() bool { return s.mayCall(call) },
		OnWritten:       func() { s.counters.calls += int64(len(call.attempts)) },
		OnEnd:           func(a protocol.Response, err error) { s.callAnswered(call, a, err) }}
	s.endpointConns.Start(call.exchange)
}

// mayCall reports whether a call whose connection has come up may still leave.
func (s *Server) mayCall(call *call) bool {
	if guard, ok := s.dispatcher.(dispatch.CallPermitter); ok && !guard.MayCall(s.now) {
		return false
	}
	inService := s.endpoints[call.endpoint].Health == protocol.InService && !s.suspects[call.endpoint]
	return inService && !s.operators.disabled[string(call.endpoint)] && s.retryAfter[s.groupKey(call.entry)] <= s.now
}

// callLeaves stores a call's attempts as its first byte is about to leave, and no sooner, and puts the bytes together. Failures: stored
// when they were decided, attempts whose connection was still being opened as the process was killed passed for calls that may have run,
// and at-most-once messages failed after the restart with no call. Put together then, a call went out with messages canceled meanwhile.
func (s *Server) callLeaves(call *call) error {
	for _, attempt := range slices.Clone(call.attempts) {
		if attempt.message.ended || attempt.message.pastIdempotencyWindow(s.now) {
			s.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
	}
	call.attempts = slices.DeleteFunc(call.attempts, func(attempt *attempt) bool { return attempt.finished })
	var items []protocol.Message
	for _, attempt := range call.attempts {
		if err := s.noteAttempt(attempt, ""); err != nil {
			s.logSpoolError(err)
			if !s.isIdempotent(attempt.message) {
				return endpointconn.ErrNotStored // so not sent: a restart would not know of it
			}
		}
		items = append(items, protocol.Message{ID: attempt.message.stored.ID, IdempotencyKey: attempt.message.stored.IdempotencyKey, Body: attempt.message.stored.Body})
	}
	if len(items) == 0 {
		return errNothingToSend
	}
	call.exchange.Request, call.exchange.NeedsBody = protocol.EncodeDelivery(call.entry.Address, int64((call.waitUntil-s.now)/1000), items), len(items) > 1
	return nil
}

// errNothingToSend: all attempts of a call were canceled before its first byte.
var errNothingToSend = errors.New("nothing of it is wanted any more")

// noteAttempt stores an attempt, once; with its outcome where it ended before it was sent.
func (s *Server) noteAttempt(attempt *attempt, outcome string) error {
	if attempt.stored {
		return nil
	}
	attempt.stored = true
	return s.spool.BeginAttempt(attempt.message.stored.ID, spool.Attempt{Endpoint: string(attempt.call.endpoint), Zone: max(0, slices.Index(s.deployment.Zones, attempt.call.entry.Zone)),
		SentAt: int64(attempt.sentAt), Outcome: outcome})
}

// noteOutcome stores the outcome of an attempt.
func (s *Server) noteOutcome(attempt *attempt, outcome dispatch.Outcome) {
	if attempt.stored {
		s.logSpoolError(s.spool.FinishAttempt(attempt.message.stored.ID, attempt.number, outcomeName(outcome)))
	} else {
		s.logSpoolError(s.noteAttempt(attempt, outcomeName(outcome)))
	}
}

// peerOf returns whom a connection to an endpoint of the list leads to.
func peerOf(entry protocol.Endpoint) endpointconn.Peer {
	return endpointconn.Peer{Endpoint: entry.Host, Address: entry.Address, StartedAt: entry.StartedAtMs}
}

// answerTimeout is how long the rest of an answer may take once its first bytes are here: it is written at once, and the longest way in any
// deployment is a fifth of a second. A head or body without an end would otherwise hold its slot until the attempt times out.
const answerTimeout = 500 * 1000

// answerBegun shortens the timeout of attempts whose answer has begun, and takes that back where it was an interim answer.
func (s *Server) answerBegun(call *call, begun bool) {
	for _, attempt := range call.attempts {
		if attempt.waitUntil = call.waitUntil; begun {
			attempt.waitUntil = min(attempt.waitUntil, s.now+answerTimeout)
		}
	}
}

// callAnswered turns the end of a call into the outcomes of its attempts.
func (s *Server) callAnswered(call *call, a protocol.Response, err error) {
	if errors.Is(err, endpointconn.ErrNoLongerWanted) {
		for _, attempt := range call.attempts {
			s.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
		return
	}
	if endpointconn.IsLocalFailure(err) {
		for _, attempt := range call.attempts {
			attempt.unsent = true
			s.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
		return
	}
	var failure *protocol.Failure
	if errors.As(err, &failure) {
		outcome := map[protocol.Stage]dispatch.Outcome{protocol.RequestIncomplete: dispatch.Unreachable,
			protocol.RequestSent: dispatch.Broken, protocol.ResponseMalformed: dispatch.Failure}[failure.Stage]
		for _, attempt := range call.attempts {
			s.complete(attempt, dispatch.AttemptFinished{Outcome: outcome})
		}
		return
	}
	var ends map[string]string
	if a.Status == 200 && len(call.attempts) > 1 {
		ends = protocol.ReadOutcomes(a.Body)
	}
	if a.BackoffMs > 0 {
		s.keepRetryAfter(call.entry, s.now+dispatch.Micros(a.BackoffMs)*1000)
	}
	pressure := protocol.LoadValues(a.LoadReport, s.deployment.LoadReportFields)
	for _, attempt := range call.attempts {
		event := outcomeOf(a)
		if ends != nil {
			event = outcomeInBatch(ends[attempt.message.stored.ID])
		}
		event.LoadReport, event.RetryAfter = pressure, dispatch.Micros(a.BackoffMs)*1000
		s.complete(attempt, event)
	}
}

// keepRetryAfter keeps a Retry-After of an endpoint.
func (s *Server) keepRetryAfter(entry protocol.Endpoint, until dispatch.Micros) {
	maps.DeleteFunc(s.retryAfter, func(_ string, until dispatch.Micros) bool { return until <= s.now })
	s.retryAfter[s.groupKey(entry)] = max(until, s.retryAfter[s.groupKey(entry)])
	s.handoff.forwardRetryAfter(entry, until)
}

// groupKey names what a Retry-After holds for: the endpoint where its type's endpoints are separate, else the destination.
func (s *Server) groupKey(entry protocol.Endpoint) string {
	if s.hasSeparateGroups(entry) {
		return entry.Host
	}
	return strconv.Itoa(entry.Destination)
}

// hasSeparateGroups reports whether a Retry-After of an endpoint holds for it alone.
func (s *Server) hasSeparateGroups(entry protocol.Endpoint) bool {
	kind, ok := s.endpointTypeOf(entry)
	return ok && kind.Separate
}

// endpointTypeOf returns the type of an endpoint; false where the settings have none of that name.
func (s *Server) endpointTypeOf(entry protocol.Endpoint) (dispatch.EndpointType, bool) {
	i := slices.Index(s.deployment.EndpointTypes, entry.EndpointType)
	if i < 0 || i >= len(s.deployment.Dispatch.EndpointTypes) {
		return dispatch.EndpointType{}, false
	}
	return s.deployment.Dispatch.EndpointTypes[i], true
}

// outcomeOf reads the outcome of all attempts of a call from its answer.
func outcomeOf(a protocol.Response) dispatch.AttemptFinished {
	switch {
	case a.Status == 200:
		return dispatch.AttemptFinished{Outcome: dispatch.Delivered, MessageDone: true}
	case a.Status == 503 && a.EgressFull, a.Status == 504:
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

// outcomeInBatch reads the outcome of one message from an answer for several; one that is not named may have run.
func outcomeInBatch(word string) dispatch.AttemptFinished {
	switch word {
	case protocol.Accepted:
		return dispatch.AttemptFinished{Outcome: dispatch.Delivered, MessageDone: true}
	case protocol.Deferred:
		return dispatch.AttemptFinished{Outcome: dispatch.Throttled}
	case protocol.Expired:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed, MessageDone: true}
	case protocol.NoMoreAttempts:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed}
	}
	return dispatch.AttemptFinished{Outcome: dispatch.Failure}
}

// complete ends an attempt with its outcome, and hands it to the dispatcher.
func (s *Server) complete(attempt *attempt, event dispatch.AttemptFinished) {
	if s.handoff.handedOver {
		s.handoff.forwardOutcome(attempt, event)
		return
	}
	if attempt.finished {
		if event.MessageDone && !attempt.message.ended { // called off, and delivered all the same
			if event.Outcome == dispatch.Delivered {
				s.count(attempt.message.stored.Class, delivered)
			}
			s.finished.add(attempt.message, s.now)
			s.finish(attempt.message)
			s.events = append(s.events, dispatch.MessageCanceled{Message: dispatch.MessageID(attempt.message.stored.ID)})
			s.forget(attempt.message)
		}
		return
	}
	attempt.finished = true
	attempt.message.inFlight--
	for i, o := range s.inFlight {
		if o == attempt {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	if event.MessageDone {
		if !attempt.message.ended && event.Outcome == dispatch.Delivered {
			s.count(attempt.message.stored.Class, delivered)
		}
		s.finished.add(attempt.message, s.now)
		s.finish(attempt.message)
	} else if !attempt.message.ended {
		s.noteOutcome(attempt, event.Outcome)
	}
	event.Message, event.Attempt, event.Duration = dispatch.MessageID(attempt.message.stored.ID), dispatch.AttemptNumber(attempt.number), s.now-attempt.sentAt
	event.MessageDone = event.MessageDone || attempt.message.ended
	if attempt.unsent {
		s.events = append(s.events, dispatch.AttemptUnsent{AttemptFinished: event})
	} else {
		s.events = append(s.events, event)
	}
	s.snapshots.observe(event.Outcome)
	s.forget(attempt.message)
}

// attemptOverdue ends an attempt that has timed out, unless its answer is here and not handled yet. Failure: a delivered message passed for
// one without an answer.
func (s *Server) attemptOverdue(attempt *attempt) {
	if s.answerArriving(attempt) {
		return
	}
	event := dispatch.AttemptFinished{Outcome: dispatch.TimedOut}
	switch exchange := attempt.call.exchange; {
	case attempt.call.predecessor: // the other process has said nothing of it for longer than it should wait
	case !exchange.IsWritten():
		event.Outcome = dispatch.Unreachable
	case exchange.HasSuccessStatus():
		event.Outcome, event.MessageDone = dispatch.Delivered, true // the rest of the answer is slow, but this was its first line
	case exchange.HasResponseStarted():
		event.Outcome = dispatch.Failure // it answers, but nothing that can be read
	}
	s.complete(attempt, event)
	s.abandonCall(attempt.call)
}

// recheckDelay is how long an attempt that is to be given up is still waited for where bytes over its connection lie unread. The poller
// reads them at once unless the machine is busy; a peer that sends on and on gains no more than this.
const recheckDelay = 5 * 1000

// answerArriving reports whether the answer to an attempt is here, complete but not handled yet, or may lie unread in the socket. For the
// latter it extends the timeout a little, once.
func (s *Server) answerArriving(attempt *attempt) bool {
	exchange := attempt.call.exchange
	if s.endpointConns.HasResponse(exchange) {
		return true
	}
	if attempt.rechecked || !s.endpointConns.HasUnread(exchange) {
		return false
	}
	attempt.rechecked, attempt.waitUntil = true, s.now+recheckDelay
	return true
}

func (s *Server) cancel(a dispatch.Cancel) {
	message := s.messages[a.Message]
	if message == nil || int(a.Attempt) >= len(message.attempts) || message.attempts[a.Attempt].finished {
		return
	}
	attempt, outcome := message.attempts[a.Attempt], dispatch.Canceled
	if s.answerArriving(attempt) {
		return // its answer says more
	}
	if exchange := attempt.call.exchange; exchange != nil && !exchange.IsSent() {
		outcome = dispatch.Unprocessed // its connection is still coming up: it never ran
	}
	s.complete(attempt, dispatch.AttemptFinished{Outcome: outcome})
	s.abandonCall(attempt.call)
}

// abandonCall gives up a call once none of its attempts is waited for.
func (s *Server) abandonCall(call *call) {
	for _, attempt := range call.attempts {
		if !attempt.finished {
			return
		}
	}
	if call.predecessor {
		s.handoff.cancelAttempt(call.attempts[0])
		return
	}
	s.endpointConns.Abort(call.exchange)
}
