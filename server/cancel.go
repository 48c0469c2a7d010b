package server

import (
	"slices"

	"pineport/dispatch"
)

// This file ends calls that are given up: at their timeout, or because the dispatcher cancels their attempts.

// callTimedOut ends all attempts of a call whose timeout has expired, unless its answer has been received but not
// handled yet. Failure: a delivered message was treated as unanswered.
func (s *Server) callTimedOut(call *call) {
	if s.answerArriving(call) {
		return
	}
	event := dispatch.AttemptFinished{Outcome: dispatch.TimedOut}
	switch exchange := call.exchange; {
	case call.predecessor: // the predecessor has not reported the outcome in time
	case !exchange.IsSent():
		event.Outcome = dispatch.Unreachable // a request that is partly written may be written whole before its connection is closed
	case exchange.HasSuccessStatus():
		event.Outcome, event.MessageDone = dispatch.Delivered, true // the answer is incomplete, but its status line was received and reports success
	case exchange.HasResponseStarted():
		event.Outcome = dispatch.Failure // an answer has begun, but no valid status line was received
	}
	s.giveUpCall(call, event)
}

// recheckDelay is the only extension of the timeout of a call whose connection holds unread bytes. The
// poller reads them at once unless the machine is busy, and a peer that keeps sending gets no further
// extension.
const recheckDelay = 5 * 1000

// answerArriving reports whether the answer to a call has been received but not handled yet, or may be
// unread in the socket. In the second case it extends the timeout once by recheckDelay.
func (s *Server) answerArriving(call *call) bool {
	if s.endpointConns.HasResponse(call.exchange) {
		return true
	}
	if call.rechecked || !s.endpointConns.HasUnread(call.exchange) {
		return false
	}
	call.rechecked = true
	for _, attempt := range call.attempts {
		attempt.waitUntil = s.now + recheckDelay
	}
	return true
}

// cancel asks for the end of an attempt.
func (s *Server) cancel(a dispatch.Cancel) {
	message := s.messages[a.Message]
	if message == nil || int(a.Attempt) >= len(message.attempts) || message.attempts[a.Attempt].finished {
		return
	}
	s.cancelAttempt(message.attempts[a.Attempt])
}

// cancelAttempt ends an attempt that was not sent yet. Otherwise its message can only be taken back together with its
// call: the attempt stays in flight until all attempts of the call are canceled, or until the call ends in another way.
func (s *Server) cancelAttempt(canceled *attempt) {
	call := canceled.call
	canceled.cancelRequested = true
	switch {
	case call.predecessor:
		s.handoff.requestCancel(canceled) // the predecessor reports the outcome once its call is over
	case call.exchange == nil || !call.exchange.IsSent():
		s.complete(canceled, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		s.abortFinishedCall(call)
	case call.isCanceled() && !s.answerArriving(call): // an answer determines the outcome
		s.giveUpCall(call, dispatch.AttemptFinished{Outcome: dispatch.Canceled})
	}
}

// isCanceled reports whether the cancellation of all unfinished attempts of a call was requested.
func (c *call) isCanceled() bool {
	return !slices.ContainsFunc(c.attempts, func(attempt *attempt) bool { return !attempt.finished && !attempt.cancelRequested })
}

// giveUpCall ends all unfinished attempts of a call with the same outcome and aborts it.
func (s *Server) giveUpCall(call *call, event dispatch.AttemptFinished) {
	for _, attempt := range call.attempts {
		if !attempt.finished {
			s.complete(attempt, event)
		}
	}
	s.abortFinishedCall(call)
}

// abortFinishedCall aborts a call once all its attempts have finished.
func (s *Server) abortFinishedCall(call *call) {
	for _, attempt := range call.attempts {
		if !attempt.finished {
			return
		}
	}
	if call.predecessor {
		s.handoff.requestCancel(call.attempts[0])
		return
	}
	s.endpointConns.Abort(call.exchange)
}
