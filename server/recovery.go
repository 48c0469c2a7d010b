package server

import (
	"cmp"
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/handoff"
	"pineport/spool"
)

// restartDispatcher hands all unfinished messages to a new dispatcher, without what the one that panicked had learned. Where that panics
// again over them, they fail, so that one message cannot stop all others for ever.
func (s *Server) restartDispatcher() {
	if s.handoff.handedOver {
		return
	}
	for _, attempt := range append([]*attempt(nil), s.inFlight...) {
		s.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		s.abandonCall(attempt.call)
	}
	s.events, s.dispatcher, s.timerAt = nil, s.newDispatcher(), never
	s.shadow.start(s)
	held := make([]*message, 0, len(s.messages))
	for _, message := range s.messages {
		held = append(held, message)
	}
	slices.SortFunc(held, func(a, b *message) int { return cmp.Compare(a.stored.Number, b.stored.Number) })
	news := dispatch.EndpointUpdate{Kind: dispatch.CachedList}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if l, ok := s.endpointEntry(s.endpoints[id]); ok {
			news.Entries = append(news.Entries, l)
		}
	}
	s.events = append(s.events, news)
	s.discovery.resume()
	s.operators.replayDisabled()
	if s.shutdownBy < never {
		s.events = append(s.events, dispatch.ShutdownScheduled{At: s.shutdownBy})
	}
	s.dispatcherFailures++
	for _, message := range held {
		if s.dispatcherFailures > 1 {
			s.fail(dispatch.MessageID(message.stored.ID))
		} else if !message.ended {
			s.events = append(s.events, s.recoveredEvent(message))
		}
	}
}

// recoverMessages hands what the spool held to the dispatcher.
func (s *Server) recoverMessages(unfinished []*spool.Message, given *handoff.State) {
	out := map[handoff.AttemptID]dispatch.Micros{}
	if given != nil {
		for _, o := range given.InFlight {
			out[handoff.AttemptID{Message: o.Message, Attempt: o.Attempt}] = o.WaitUntil
		}
	}
	for _, kept := range unfinished {
		if kept.FinalOutcome != "" {
			s.discovery.addNotice(kept)
			continue
		}
		if slices.Index(s.deployment.Classes, kept.Class) < 0 {
			s.log.Warn("message of an unknown class", "message", kept.ID, "class", kept.Class)
			s.logSpoolError(s.spool.Finish(kept.ID, storedFailed, 0))
			s.discovery.addNotice(kept)
			continue
		}
		message := &message{stored: kept, acceptedAt: s.now, idempotencyWindow: s.idempotencyWindow(kept.Class)}
		for i := range kept.Attempts {
			attempt := &attempt{message: message, number: i, sentAt: dispatch.Micros(kept.Attempts[i].SentAt), stored: true, finished: true}
			message.attempts = append(message.attempts, attempt)
			if limit, ok := out[handoff.AttemptID{Message: kept.ID, Attempt: i}]; ok {
				s.handoff.adoptAttempt(attempt, limit)
			}
		}
		s.messages[dispatch.MessageID(kept.ID)] = message
		s.counters.accepted()
		s.events = append(s.events, s.recoveredEvent(message))
	}
	if len(unfinished) > 0 {
		s.log.Info("recovered after restart", "messages", len(s.messages), "notices", len(unfinished)-len(s.messages))
	}
}

// recoveredEvent returns a message that was held before this dispatcher as an event.
func (s *Server) recoveredEvent(message *message) dispatch.MessageRecovered {
	e := dispatch.MessageRecovered{MessageAccepted: s.acceptedEvent(message.stored)}
	for i, t := range message.stored.Attempts {
		outcome, known := outcomes[t.Outcome]
		if !known {
			outcome = dispatch.Broken // nothing was heard: it may have run
		}
		e.Attempts = append(e.Attempts, dispatch.PastAttempt{Endpoint: dispatch.EndpointID(t.Endpoint), Zone: dispatch.ZoneID(t.Zone),
			SentAt: dispatch.Micros(t.SentAt), Outcome: outcome, InFlight: !message.attempts[i].finished})
	}
	return e
}
