package server

import (
	"cmp"
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/handoff"
	"pineport/spool"
)

// restartDispatcher replaces the dispatcher after a panic in it or elsewhere in a step. The new one gets
// all unfinished messages but not the learned state. If it has to be replaced as well before it has handled
// any events, all unfinished messages fail, so that one message cannot block all others forever.
func (s *Server) restartDispatcher() {
	if s.handoff.handedOver {
		return
	}
	for _, attempt := range append([]*attempt(nil), s.inFlight...) {
		if !attempt.finished {
			s.giveUpCall(attempt.call, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		}
	}
	s.events, s.dispatcher, s.timerAt = nil, s.newDispatcher(), never
	s.shadow.start(s)
	unfinished := make([]*message, 0, len(s.messages))
	for _, message := range s.messages {
		unfinished = append(unfinished, message)
	}
	slices.SortFunc(unfinished, func(a, b *message) int { return cmp.Compare(a.stored.Number, b.stored.Number) })
	update := dispatch.EndpointUpdate{Kind: dispatch.CachedList}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if entry, ok := s.endpointEntry(s.endpoints[id]); ok {
			update.Entries = append(update.Entries, entry)
		}
	}
	s.events = append(s.events, update)
	s.discovery.resume()
	s.admin.replayDisabled()
	if s.shutdown.isRequested() {
		s.events = append(s.events, dispatch.ShutdownScheduled{At: s.shutdown.endAt})
	}
	s.dispatcherRestarts++
	for _, message := range unfinished {
		if s.dispatcherRestarts > 1 {
			s.fail(dispatch.MessageID(message.stored.ID))
		} else if !message.ended {
			s.events = append(s.events, s.recoveredEvent(message))
		}
	}
}

// recoverMessages passes the messages read from the spool to the dispatcher.
func (s *Server) recoverMessages(unfinished []*spool.Message, inherited *handoff.State) {
	waitUntil := map[handoff.AttemptID]dispatch.Micros{}
	if inherited != nil {
		for _, attemptID := range inherited.InFlight {
			waitUntil[handoff.AttemptID{Message: attemptID.Message, Attempt: attemptID.Attempt}] = attemptID.WaitUntil
		}
	}
	for _, stored := range unfinished {
		if stored.FinalOutcome != "" {
			s.finished.add(&message{stored: stored, acceptedAt: s.now}, s.now)
			s.discovery.addNotice(stored)
			continue
		}
		if slices.Index(s.deployment.Classes, stored.Class) < 0 {
			s.log.Warn("message of an unknown class", "message", stored.ID, "class", stored.Class)
			s.logSpoolError(s.spool.Finish(stored.ID, storedFailed, 0))
			s.discovery.addNotice(stored)
			continue
		}
		message := &message{stored: stored, acceptedAt: s.now, idempotencyWindow: s.idempotencyWindow(stored.Class)}
		for i := range stored.Attempts {
			attempt := &attempt{message: message, number: i, decidedAt: dispatch.Micros(stored.Attempts[i].SentAt), stored: true, finished: true}
			message.attempts = append(message.attempts, attempt)
			if limit, ok := waitUntil[handoff.AttemptID{Message: stored.ID, Attempt: i}]; ok {
				s.handoff.adoptAttempt(attempt, limit)
			}
		}
		s.messages[dispatch.MessageID(stored.ID)] = message
		s.counters.accepted()
		s.events = append(s.events, s.recoveredEvent(message))
	}
	if len(unfinished) > 0 {
		s.log.Info("recovered after restart", "messages", len(s.messages), "notices", len(unfinished)-len(s.messages))
		s.logSpoolExcess()
	}
}

// recoveredEvent returns the dispatcher event for a message that was accepted before this dispatcher
// started.
func (s *Server) recoveredEvent(message *message) dispatch.MessageRecovered {
	recovered := dispatch.MessageRecovered{MessageAccepted: s.acceptedEvent(message.stored)}
	for i, past := range message.stored.Attempts {
		outcome, known := outcomes[past.Outcome]
		if !known {
			outcome = dispatch.Broken // no outcome is stored, so the attempt may have run
		}
		recovered.Attempts = append(recovered.Attempts, dispatch.PastAttempt{Endpoint: dispatch.EndpointID(past.Endpoint), Zone: dispatch.ZoneID(past.Zone),
			SentAt: dispatch.Micros(past.SentAt), Outcome: outcome, InFlight: !message.attempts[i].finished})
	}
	return recovered
}
