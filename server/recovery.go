package server

import (
	"cmp"
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/handoff"
	"pineport/spool"
)

// renew hands all that is held to decisions that know nothing yet, and nothing of what the failed ones had learned. Where they fail again over that, it is ended,
// so that one message cannot stop all others for ever.
func (r *Server) restartDispatcher() {
	if r.handoff.handedOver {
		return
	}
	for _, attempt := range append([]*attempt(nil), r.inFlight...) {
		r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		r.abandonCall(attempt.call)
	}
	r.events, r.dispatcher, r.timerAt = nil, r.newDispatcher(), never
	r.shadow.start(r)
	held := make([]*message, 0, len(r.messages))
	for _, message := range r.messages {
		held = append(held, message)
	}
	slices.SortFunc(held, func(a, b *message) int { return cmp.Compare(a.stored.Number, b.stored.Number) })
	news := dispatch.EndpointUpdate{Kind: dispatch.CachedList}
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		if l, ok := r.endpointEntry(r.endpoints[id]); ok {
			news.Entries = append(news.Entries, l)
		}
	}
	r.events = append(r.events, news)
	r.operators.replayDisabled()
	if r.shutdownBy < never {
		r.events = append(r.events, dispatch.ShutdownScheduled{At: r.shutdownBy})
	}
	r.dispatcherFailures++
	for _, message := range held {
		if r.dispatcherFailures > 1 {
			r.fail(dispatch.MessageID(message.stored.ID))
		} else if !message.ended {
			r.events = append(r.events, r.recoveredEvent(message))
		}
	}
}

// recover hands what the spool held to the decisions.
func (r *Server) recover(unfinished []*spool.Message, given *handoff.State) {
	out := map[handoff.AttemptID]dispatch.Micros{}
	if given != nil {
		for _, o := range given.InFlight {
			out[handoff.AttemptID{Message: o.Message, Attempt: o.Attempt}] = o.WaitUntil
		}
	}
	for _, kept := range unfinished {
		if kept.Ended != "" {
			r.discovery.addNotice(kept)
			continue
		}
		if slices.Index(r.deployment.Classes, kept.Class) < 0 {
			r.log.Warn("message of an unknown class", "message", kept.ID, "class", kept.Class)
			r.logSpoolError(r.spool.Finish(kept.ID, storedFailed, 0))
			r.discovery.addNotice(kept)
			continue
		}
		message := &message{stored: kept, acceptedAt: r.now, idempotencyWindow: r.idempotencyWindow(kept.Class)}
		for i := range kept.Attempts {
			attempt := &attempt{message: message, number: i, sentAt: dispatch.Micros(kept.Attempts[i].SentAt), stored: true, finished: true}
			message.attempts = append(message.attempts, attempt)
			if limit, ok := out[handoff.AttemptID{Message: kept.ID, Attempt: i}]; ok {
				r.handoff.adoptAttempt(attempt, limit)
			}
		}
		r.messages[dispatch.MessageID(kept.ID)] = message
		r.counters.accepted()
		r.events = append(r.events, r.recoveredEvent(message))
	}
	if len(unfinished) > 0 {
		r.log.Info("recovered after restart", "messages", len(r.messages), "notices", len(unfinished)-len(r.messages))
	}
}

// recall is what the decisions are notified of a message from before them.
func (r *Server) recoveredEvent(message *message) dispatch.MessageRecovered {
	e := dispatch.MessageRecovered{MessageAccepted: r.acceptedEvent(message.stored)}
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
