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

// call is one request to an endpoint. It carries one attempt, or several if the endpoint type allows it.
// Its exchange is the request and answer on a connection.
type call struct {
	endpoint    dispatch.EndpointID
	entry       protocol.Endpoint
	attempts    []*attempt
	sharedSize  int // bytes that the messages of its attempts take, where calls may carry several
	exchange    *endpointconn.Exchange
	waitUntil   dispatch.Micros // when the call times out
	rechecked   bool            // its timeout was extended once because of unread bytes
	predecessor bool            // sent by the predecessor of an upgrade; holds one attempt
}

// outcomes maps the names of outcomes in the spool to outcomes.
var outcomes = map[string]dispatch.Outcome{
	"done": dispatch.Delivered, "failure": dispatch.Failure, "full": dispatch.Throttled, "timed_out": dispatch.TimedOut,
	"unreachable": dispatch.Unreachable, "broken": dispatch.Broken, "withdrawn": dispatch.Canceled, "void": dispatch.Unprocessed,
}

func outcomeName(outcome dispatch.Outcome) string {
	for name, candidate := range outcomes {
		if candidate == outcome {
			return name
		}
	}
	return ""
}

// addToCall adds an attempt to a call. Attempts of one step to the same endpoint share a call, up to the
// maximum number per call of the endpoint's type and to the size of a body. The dispatcher counts calls in the same way.
func (s *Server) addToCall(calls []*call, a dispatch.Send) []*call {
	message := s.messages[a.Message]
	if message == nil || message.ended {
		return calls
	}
	entry := s.endpoints[a.Endpoint]
	perCall := 1
	if kind, ok := s.endpointTypeOf(entry); ok {
		perCall = kind.MaxPerCall
	}
	size := 0
	if perCall > 1 {
		size = protocol.SharedSize(deliveryOf(message.stored))
	}
	var target *call
	for _, candidate := range calls {
		if candidate.endpoint == a.Endpoint && len(candidate.attempts) < perCall && candidate.sharedSize+size <= protocol.MaxBody {
			target = candidate
		}
	}
	if target == nil {
		target = &call{endpoint: a.Endpoint, entry: entry}
		calls = append(calls, target)
	}
	attempt := &attempt{message: message, number: len(message.attempts), call: target, decidedAt: s.now, waitUntil: s.now + a.Timeout}
	message.attempts = append(message.attempts, attempt)
	message.inFlight++
	s.inFlight = append(s.inFlight, attempt)
	target.attempts = append(target.attempts, attempt)
	target.sharedSize += size
	return calls
}

// alignTimeouts sets the timeout of every attempt of a call to the earliest of them and returns it.
// Failure: with separate timeouts, one attempt timed out while the call went on for the others, and its
// message was counted as lost although it may have been delivered.
func (c *call) alignTimeouts() dispatch.Micros {
	earliest := never
	for _, attempt := range c.attempts {
		earliest = min(earliest, attempt.waitUntil)
	}
	for _, attempt := range c.attempts {
		attempt.waitUntil = earliest
	}
	c.waitUntil = earliest
	return earliest
}

// startCall starts the exchange of a call.
func (s *Server) startCall(call *call) {
	if len(call.attempts) == 0 {
		return
	}
	call.alignTimeouts()
	call.exchange = &endpointconn.Exchange{Peer: peerOf(call.entry),
		OnResponseStart: func(begun bool) { s.answerStarted(call, begun) },
		OnIgnored:       func(a protocol.Response) { s.answerIgnored(call, a) },
		BeforeWrite:     func() error { return s.prepareCall(call) },
		IsWanted:        func() bool { return s.mayCall(call) },
		OnWritten:       func() { s.counters.attempts += int64(len(call.attempts)) },
		OnEnd:           func(a protocol.Response, err error) { s.callEnded(call, a, err) }}
	s.endpointConns.Start(call.exchange)
}

// mayCall reports whether a call may still be sent after its connection has been opened. The dispatcher
// refuses calls while the endpoint list may be outdated. Failure: a call was sent to the address that was dialed, although its endpoint
// had another one by then, and another endpoint might be there.
func (s *Server) mayCall(call *call) bool {
	if guard, ok := s.dispatcher.(dispatch.CallPermitter); ok && !guard.MayCall(s.now) {
		return false
	}
	current := s.endpoints[call.endpoint]
	isSame := peerOf(current) == peerOf(call.entry) && current.Destination == call.entry.Destination
	return isSame && s.isReachable(call.endpoint) && !s.admin.disabled[string(call.endpoint)] && s.retryAfter[s.groupKey(call.entry)] <= s.now
}

// prepareCall stores the attempts of a call and builds its request, immediately before the first byte is
// written. It ends attempts whose message has ended or is past its idempotency window.
//
// Failures: when attempts were stored at the time of the decision, a process killed while a connection was
// being opened left attempts in the spool that looked as if they might have run. At-most-once messages then
// failed after the restart although no call had been made. When the request was built at the time of the
// decision, it still contained messages canceled while the connection was being opened.
func (s *Server) prepareCall(call *call) error {
	for _, attempt := range slices.Clone(call.attempts) {
		if attempt.message.ended || attempt.message.pastIdempotencyWindow(s.now) {
			s.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
	}
	call.attempts = slices.DeleteFunc(call.attempts, func(attempt *attempt) bool { return attempt.finished })
	var items []protocol.Message
	for _, attempt := range call.attempts {
		if err := s.storeAttempt(attempt, ""); err != nil {
			s.logSpoolError(err)
			if !s.isIdempotent(attempt.message) {
				return endpointconn.ErrNotStored // not sent: after a restart, the process would not know of the attempt
			}
		}
		items = append(items, deliveryOf(attempt.message.stored))
	}
	if len(items) == 0 {
		return errNothingToSend
	}
	call.exchange.Request, call.exchange.NeedsBody = protocol.EncodeDelivery(call.entry.Address, int64((call.waitUntil-s.now)/1000), items), len(items) > 1
	return nil
}

// errNothingToSend is returned by prepareCall if all attempts of a call ended before its first byte was
// written.
var errNothingToSend = errors.New("all attempts of the call have ended")

// storeAttempt stores an attempt once. An attempt that ended before it was sent is stored with its outcome.
func (s *Server) storeAttempt(attempt *attempt, outcome string) error {
	if attempt.stored {
		return nil
	}
	attempt.stored = true
	return s.spool.BeginAttempt(attempt.message.stored.ID, spool.Attempt{Endpoint: string(attempt.call.endpoint), Zone: max(0, slices.Index(s.deployment.Zones, attempt.call.entry.Zone)),
		SentAt: int64(attempt.decidedAt), Outcome: outcome})
}

// storeOutcome stores the outcome of an attempt.
func (s *Server) storeOutcome(attempt *attempt, outcome dispatch.Outcome) {
	if attempt.stored {
		s.logSpoolError(s.spool.FinishAttempt(attempt.message.stored.ID, attempt.number, outcomeName(outcome)))
	} else {
		s.logSpoolError(s.storeAttempt(attempt, outcomeName(outcome)))
	}
}

// peerOf returns the peer for connections to a listed endpoint.
func peerOf(entry protocol.Endpoint) endpointconn.Peer {
	return endpointconn.Peer{Endpoint: entry.Host, Address: entry.Address, StartedAt: entry.StartedAtMs}
}

// answerTimeout bounds the time between the first bytes of an answer and its end. Endpoints write an answer
// at once, and the longest latency in any deployment is 200 ms. Without this bound, an answer whose head or
// body never ends would occupy one of the endpoint's slots until the attempt times out.
const answerTimeout = 500 * 1000

// answerStarted shortens the timeout of a call's attempts when an answer begins. If begun is false, the
// answer was an interim one, and the timeout is restored.
func (s *Server) answerStarted(call *call, begun bool) {
	for _, attempt := range call.attempts {
		if attempt.waitUntil = call.waitUntil; begun {
			attempt.waitUntil = min(attempt.waitUntil, s.now+answerTimeout)
		}
	}
}

// answerIgnored observes a Retry-After in an answer that may be a repeated one: it proves nothing of the call, but the endpoint has asked for
// it now or earlier.
func (s *Server) answerIgnored(call *call, answer protocol.Response) {
	if answer.BackoffMs == 0 || s.handoff.handedOver { // after a handoff the successor decides
		return
	}
	retryAfter := dispatch.Micros(answer.BackoffMs) * 1000
	s.storeRetryAfter(call.entry, s.now+retryAfter)
	s.events = append(s.events, dispatch.RetryAfterReceived{Endpoint: call.endpoint, RetryAfter: retryAfter})
}

// callEnded derives the outcomes of a call's attempts from its answer or error.
func (s *Server) callEnded(call *call, answer protocol.Response, err error) {
	if errors.Is(err, endpointconn.ErrNoLongerWanted) {
		for _, attempt := range call.attempts {
			s.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		}
		return
	}
	// The request was not sent completely because of a shortage on this machine, or not at all because it could
	// not be stored.
	if endpointconn.IsLocalFailure(err) {
		for _, attempt := range call.attempts {
			attempt.failedLocally = true
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
	var statusesByID map[string]string
	if answer.Status == 200 && len(call.attempts) > 1 {
		statusesByID = protocol.ReadOutcomes(answer.Body)
	}
	if answer.BackoffMs > 0 {
		s.storeRetryAfter(call.entry, s.now+dispatch.Micros(answer.BackoffMs)*1000)
	}
	loadReport := protocol.LoadValues(answer.LoadReport, s.deployment.LoadReportFields)
	for _, attempt := range call.attempts {
		event := outcomeOf(answer)
		if statusesByID != nil {
			event = outcomeInBatch(statusesByID[attempt.message.stored.ID])
		}
		event.LoadReport, event.RetryAfter = loadReport, dispatch.Micros(answer.BackoffMs)*1000
		s.complete(attempt, event)
	}
}

// storeRetryAfter stores a Retry-After received from an endpoint and forwards it to the predecessor, if
// there is one.
func (s *Server) storeRetryAfter(entry protocol.Endpoint, until dispatch.Micros) {
	maps.DeleteFunc(s.retryAfter, func(_ string, until dispatch.Micros) bool { return until <= s.now })
	s.retryAfter[s.groupKey(entry)] = max(until, s.retryAfter[s.groupKey(entry)])
	s.handoff.forwardRetryAfter(entry, until)
}

// groupKey returns the key of the group that a Retry-After applies to: the endpoint if endpoints of its
// type are separate, otherwise the destination.
func (s *Server) groupKey(entry protocol.Endpoint) string {
	if s.hasSeparateGroups(entry) {
		return entry.Host
	}
	return strconv.Itoa(entry.Destination)
}

// hasSeparateGroups reports whether a Retry-After from an endpoint applies to that endpoint only.
func (s *Server) hasSeparateGroups(entry protocol.Endpoint) bool {
	kind, ok := s.endpointTypeOf(entry)
	return ok && kind.Separate
}

// endpointTypeOf returns the type of an endpoint, and false if the configuration has no type of that name.
func (s *Server) endpointTypeOf(entry protocol.Endpoint) (dispatch.EndpointType, bool) {
	i := slices.Index(s.deployment.EndpointTypes, entry.EndpointType)
	if i < 0 || i >= len(s.deployment.Dispatch.EndpointTypes) {
		return dispatch.EndpointType{}, false
	}
	return s.deployment.Dispatch.EndpointTypes[i], true
}

// outcomeOf returns the outcome that an answer gives to all attempts of its call.
func outcomeOf(answer protocol.Response) dispatch.AttemptFinished {
	switch {
	case answer.Status == 200:
		return dispatch.AttemptFinished{Outcome: dispatch.Delivered, MessageDone: true}
	case answer.Status == 503 && answer.EgressFull, answer.Status == 504:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed}
	case answer.Status == 429, answer.Status == 503:
		return dispatch.AttemptFinished{Outcome: dispatch.Throttled}
	case answer.Status == 410:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed, MessageDone: true}
	case answer.Status == 400, answer.Status == 404, answer.Status == 413:
		return dispatch.AttemptFinished{Outcome: dispatch.Unprocessed} // the endpoint rejected the request without processing any message
	}
	return dispatch.AttemptFinished{Outcome: dispatch.Failure} // unknown status, so the message may have run
}

// outcomeInBatch returns the outcome of one message in the answer to a call with several. A message missing
// from the answer may have run.
func outcomeInBatch(status string) dispatch.AttemptFinished {
	switch status {
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

// complete ends an attempt with its outcome and reports the outcome to the dispatcher, or to the successor
// after a handoff. For an attempt that has already finished, a late answer can still end the message.
func (s *Server) complete(attempt *attempt, event dispatch.AttemptFinished) {
	if s.handoff.handedOver {
		s.handoff.forwardOutcome(attempt, event)
		return
	}
	if attempt.finished {
		if event.MessageDone && !attempt.message.ended { // the late answer of an attempt that was canceled or timed out
			if event.Outcome == dispatch.Delivered {
				s.count(attempt.message.stored.Class, delivered)
			}
			s.finished.add(attempt.message, s.now)
			s.endMessage(attempt.message)
			// The dispatcher has already handled the end of the attempt, so it is only told to drop the
			// message.
			s.events = append(s.events, dispatch.MessageCanceled{Message: dispatch.MessageID(attempt.message.stored.ID)})
			s.removeIfDone(attempt.message)
		}
		return
	}
	attempt.finished = true
	attempt.message.inFlight--
	for i, other := range s.inFlight {
		if other == attempt {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	if event.MessageDone {
		if !attempt.message.ended && event.Outcome == dispatch.Delivered {
			s.count(attempt.message.stored.Class, delivered)
		}
		s.finished.add(attempt.message, s.now)
		s.endMessage(attempt.message)
	} else if !attempt.message.ended {
		s.storeOutcome(attempt, event.Outcome)
	}
	event.Message, event.Attempt, event.Duration = dispatch.MessageID(attempt.message.stored.ID), dispatch.AttemptNumber(attempt.number), s.now-attempt.decidedAt
	event.MessageDone = event.MessageDone || attempt.message.ended
	if attempt.failedLocally {
		s.events = append(s.events, dispatch.AttemptUnsent{AttemptFinished: event})
	} else {
		s.events = append(s.events, event)
	}
	s.snapshots.observe(event.Outcome)
	s.removeIfDone(attempt.message)
}
