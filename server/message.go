package server

import (
	"pineport/dispatch"
	"pineport/protocol"
	"pineport/spool"
	"slices"
)

// message is an accepted message that has not ended or that has attempts in flight.
type message struct {
	stored     *spool.Message  // as stored in the spool
	waiting    []*reply        // replies not written yet; several if the message was submitted again in the same step
	acceptedAt dispatch.Micros // when the message was accepted, or recovered after a restart
	attempts   []*attempt
	inFlight   int // number of unfinished attempts
	ended      bool
	// idempotencyWindow is the idempotency window of the message's class, or 0 if the class has no
	// idempotency keys.
	idempotencyWindow dispatch.Micros
}

// idempotencyWindow returns the time during which endpoints recognize retries of a class by their
// idempotency key. It is 0 for classes without idempotency keys.
func (s *Server) idempotencyWindow(name string) dispatch.Micros {
	class := s.deployment.Dispatch.Classes[slices.Index(s.deployment.Classes, name)]
	if class.Idempotency != dispatch.IdempotencyKey {
		return 0
	}
	return class.IdempotencyWindow
}

// pastIdempotencyWindow reports whether an earlier attempt may have run so long ago that a retry would no
// longer be recognized by its idempotency key. Failure: a retry decided within the window was sent after
// it, because its connection took 1 s to open.
func (m *message) pastIdempotencyWindow(now dispatch.Micros) bool {
	if m.idempotencyWindow == 0 {
		return false
	}
	for _, attempt := range m.stored.Attempts {
		if outcome, known := outcomes[attempt.Outcome]; !known || mayHaveRun(outcome) {
			return now >= dispatch.Micros(attempt.SentAt)+m.idempotencyWindow
		}
	}
	return false
}

// isIdempotent reports whether a message may run any number of times.
func (s *Server) isIdempotent(message *message) bool {
	class := slices.Index(s.deployment.Classes, message.stored.Class)
	return class >= 0 && s.deployment.Dispatch.Classes[class].Idempotency == dispatch.Idempotent
}

// mayHaveRun reports whether an attempt with the given outcome may have run: the endpoint may have
// processed the message.
func mayHaveRun(outcome dispatch.Outcome) bool {
	return outcome != dispatch.Throttled && outcome != dispatch.Unreachable && outcome != dispatch.Unprocessed
}

// attempt is one attempt to deliver a message. It is sent in a call, alone or together with attempts of
// other messages.
type attempt struct {
	message   *message
	number    int // index among the message's attempts
	call      *call
	decidedAt dispatch.Micros // when the dispatcher decided on the attempt, before its connection was open
	waitUntil dispatch.Micros // when the attempt times out
	stored    bool            // in the spool
	finished  bool
	// cancelRequested is set when the dispatcher has canceled the attempt, which stays in flight until its call is over.
	cancelRequested bool
	failedLocally   bool // not sent because of a shortage on this machine, for example of file descriptors, or because it could not be stored
}

// acceptedEvent returns the dispatcher event for a stored message.
func (s *Server) acceptedEvent(stored *spool.Message) dispatch.MessageAccepted {
	return dispatch.MessageAccepted{Message: dispatch.MessageID(stored.ID), Destination: dispatch.DestinationID(stored.Destination),
		Class:  dispatch.ClassID(slices.Index(s.deployment.Classes, stored.Class)),
		Tenant: dispatch.TenantID(max(0, slices.Index(s.deployment.Tenants, stored.Tenant))), OrderingKey: dispatch.OrderingKey(stored.OrderingKey),
		Deadline: dispatch.Micros(stored.Deadline), Resubmitted: stored.Resubmitted,
		SharedSize: protocol.SharedSize(deliveryOf(stored))}
}

// deliveryOf returns what endpoints get of a message.
func deliveryOf(stored *spool.Message) protocol.Message {
	return protocol.Message{ID: stored.ID, IdempotencyKey: stored.IdempotencyKey, Body: stored.Body}
}

// Values in the spool for how an undelivered message ended.
const (
	storedRejected = "bounced"
	storedFailed   = "terminated"
)

// undelivered describes how a message ended that was not delivered.
type undelivered struct {
	reply        string // to clients that still wait for one
	spoolValue   string
	retryAfterMs int64 // when the client may submit it again; 0 leaves that to the client
	kind         endingKind
}

// reject ends a message that may be submitted again, with a Retry-After.
func (s *Server) reject(id dispatch.MessageID, retryAfter dispatch.Micros) {
	retryAfterMs := int64((retryAfter + 999) / 1000)
	s.endUndelivered(id, undelivered{reply: protocol.ReplyBusy(retryAfterMs), spoolValue: storedRejected, retryAfterMs: retryAfterMs, kind: rejected})
}

// fail ends a message that must not be submitted again.
func (s *Server) fail(id dispatch.MessageID) {
	s.endUndelivered(id, undelivered{reply: protocol.ReplyError("ERR terminated"), spoolValue: storedFailed, kind: failed})
}

// endUndelivered ends a message that was not delivered. It replies to clients that still wait for a reply,
// and otherwise notifies the platform.
func (s *Server) endUndelivered(id dispatch.MessageID, end undelivered) {
	message := s.messages[id]
	if message == nil || message.ended {
		return
	}
	message.ended = true
	s.counters.ended()
	s.count(message.stored.Class, end.kind)
	// A client is told that its message was not accepted only after the spool has dropped it. Otherwise a
	// restart would recover the message, and it could run twice if the client submits it again. If the
	// spool cannot drop it, the client is told that the message was accepted, and the message then ends
	// with a notice.
	if len(message.waiting) > 0 && s.discard(message) {
		for _, waitingReply := range message.waiting {
			waitingReply.text = end.reply
		}
	} else {
		s.finished.add(message, s.now)
		s.logSpoolError(s.spool.Finish(message.stored.ID, end.spoolValue, end.retryAfterMs))
		s.discovery.addNotice(message.stored)
	}
	s.removeIfDone(message)
}

// discard drops a message from the spool and reports whether that succeeded.
func (s *Server) discard(message *message) bool {
	err := s.spool.Discard(message.stored.ID)
	s.logSpoolError(err)
	return err == nil
}

// endMessage marks a message as ended and removes it from the spool, without a notice.
func (s *Server) endMessage(message *message) {
	if !message.ended {
		message.ended = true
		s.counters.ended()
		s.removeFromSpool(message.stored.ID)
	}
}

// removeIfDone removes a message that has ended and has no attempts in flight.
func (s *Server) removeIfDone(message *message) {
	if message.ended && message.inFlight == 0 {
		delete(s.messages, dispatch.MessageID(message.stored.ID))
	}
}
