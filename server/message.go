package server

import (
	"pineport/dispatch"
	"pineport/protocol"
	"pineport/spool"
	"slices"
)

// message is an accepted message, until it has ended and no call with it is in flight.
type message struct {
	stored     *spool.Message  // as the spool has it
	waiting    []*reply        // until they are written; more than one where it was submitted again in the same step
	acceptedAt dispatch.Micros // or taken up again after a restart
	attempts   []*attempt
	inFlight   int // attempts that are not over
	ended      bool
	// idempotencyWindow returns the window of a class with idempotency keys; 0 for all others.
	idempotencyWindow dispatch.Micros
}

// repeatWindow is the window of a class whose repeats are known by an idempotency key; 0 for all others.
func (s *Server) idempotencyWindow(name string) dispatch.Micros {
	class := s.deployment.Dispatch.Classes[slices.Index(s.deployment.Classes, name)]
	if class.Idempotency != dispatch.IdempotencyKey {
		return 0
	}
	return class.IdempotencyWindow
}

// pastIdempotencyWindow reports whether an earlier attempt may have run, so long ago that a retry is not recognized by its idempotency key
// any more. Failure: a retry that was decided within the window went out after it, as its connection took a second to open.
func (m *message) pastIdempotencyWindow(now dispatch.Micros) bool {
	if m.idempotencyWindow == 0 {
		return false
	}
	for _, attempt := range m.stored.Attempts {
		if outcome, heard := outcomes[attempt.Outcome]; !heard || mayHaveRun(outcome) {
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

// mayHaveRun reports whether an attempt with that outcome may have taken effect.
func mayHaveRun(outcome dispatch.Outcome) bool {
	return outcome != dispatch.Throttled && outcome != dispatch.Unreachable && outcome != dispatch.Unprocessed
}

// attempt is one attempt to deliver a message: a call to an endpoint, alone or together with attempts of other messages.
type attempt struct {
	message   *message
	number    int // among the message's attempts, from 0
	call      *call
	sentAt    dispatch.Micros // when it was decided
	waitUntil dispatch.Micros // when this side stops waiting
	stored    bool            // in the spool
	rechecked bool            // as it was to be given up, something had come
	finished  bool
	unsent    bool // it never left, as this machine was short of something
}

// acceptedEvent returns a stored message as an event of the dispatcher.
func (s *Server) acceptedEvent(stored *spool.Message) dispatch.MessageAccepted {
	return dispatch.MessageAccepted{Message: dispatch.MessageID(stored.ID), Destination: dispatch.DestinationID(stored.Destination),
		Class:  dispatch.ClassID(slices.Index(s.deployment.Classes, stored.Class)),
		Tenant: dispatch.TenantID(max(0, slices.Index(s.deployment.Tenants, stored.Tenant))), OrderingKey: dispatch.OrderingKey(stored.OrderingKey),
		Deadline: dispatch.Micros(stored.Deadline), Resubmitted: stored.Resubmitted}
}

// How a message ended that was not delivered, as the spool has it.
const (
	storedRejected = "bounced"
	storedFailed   = "terminated"
)

// undelivered is how a message ends that is not delivered.
type undelivered struct {
	reply        string // to a client that still waits for one
	stored       string
	retryAfterMs int64 // after so long its client may try again; 0 where that is left to the client
	kind         endingKind
}

// reject ends a message that is safe to submit again, with its Retry-After.
func (s *Server) reject(id dispatch.MessageID, pause dispatch.Micros) {
	againMs := int64((pause + 999) / 1000)
	s.endUndelivered(id, undelivered{reply: protocol.ReplyBusy(againMs), stored: storedRejected, retryAfterMs: againMs, kind: rejected})
}

// fail ends a message that is not safe to submit again.
func (s *Server) fail(id dispatch.MessageID) {
	s.endUndelivered(id, undelivered{reply: protocol.ReplyError("ERR terminated"), stored: storedFailed, kind: failed})
}

// endUndelivered answers the client if it still waits for its reply, and else owes the platform a notice.
func (s *Server) endUndelivered(id dispatch.MessageID, how undelivered) {
	message := s.messages[id]
	if message == nil || message.ended {
		return
	}
	message.ended = true
	s.counters.ended()
	s.count(message.stored.Class, how.kind)
	// A client hears that a message was not taken on only once the folder does not hold it: else it would be owed after a restart, and run
	// twice where its client submits it again. Where the folder fails, the message is taken on and then ends by a notice.
	if len(message.waiting) > 0 && s.discard(message) {
		for _, rep := range message.waiting {
			rep.text = how.reply
		}
	} else {
		s.finished.add(message, s.now)
		s.logSpoolError(s.spool.Finish(message.stored.ID, how.stored, how.retryAfterMs))
		s.discovery.addNotice(message.stored)
	}
	s.forget(message)
}

// discard reports whether the folder has taken in that a message is not owed.
func (s *Server) discard(message *message) bool {
	err := s.spool.Discard(message.stored.ID)
	s.logSpoolError(err)
	return err == nil
}

// finish ends a message for which nothing more is owed.
func (s *Server) finish(message *message) {
	if !message.ended {
		message.ended = true
		s.counters.ended()
		s.logSpoolError(s.spool.Remove(message.stored.ID))
	}
}

// forget drops a message that has ended, once no call with it is in flight.
func (s *Server) forget(message *message) {
	if message.ended && message.inFlight == 0 {
		delete(s.messages, dispatch.MessageID(message.stored.ID))
	}
}
