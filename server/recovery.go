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
func (r *Router) renew() {
	if r.upgrade.handed {
		return
	}
	for _, attempt := range append([]*attempt(nil), r.inFlight...) {
		r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		r.drop(attempt.call)
	}
	r.events, r.courier, r.wakeAt = nil, r.begin(), never
	r.watch.start(r)
	held := make([]*message, 0, len(r.messages))
	for _, message := range r.messages {
		held = append(held, message)
	}
	slices.SortFunc(held, func(a, b *message) int { return cmp.Compare(a.kept.Number, b.kept.Number) })
	news := dispatch.EndpointUpdate{Kind: dispatch.CachedList}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		if l, ok := r.listing(r.hosts[id]); ok {
			news.Entries = append(news.Entries, l)
		}
	}
	r.events = append(r.events, news)
	r.operators.remind()
	if r.endBy < never {
		r.events = append(r.events, dispatch.ShutdownScheduled{At: r.endBy})
	}
	r.failed++
	for _, message := range held {
		if r.failed > 1 {
			r.fail(dispatch.MessageID(message.kept.ID))
		} else if !message.ended {
			r.events = append(r.events, r.recall(message))
		}
	}
}

// recover hands what the spool held to the decisions.
func (r *Router) recover(unfinished []*spool.Record, given *handoff.State) {
	out := map[handoff.Out]dispatch.Micros{}
	if given != nil {
		for _, o := range given.Out {
			out[handoff.Out{Record: o.Record, Trip: o.Trip}] = o.Limit
		}
	}
	for _, kept := range unfinished {
		if kept.Ended != "" {
			r.platform.tell(kept)
			continue
		}
		if slices.Index(r.dep.Workloads, kept.Workload) < 0 {
			r.log.Warn("record of an unknown workload", "id", kept.ID, "workload", kept.Workload)
			r.check(r.spool.End(kept.ID, storedFailed, 0))
			r.platform.tell(kept)
			continue
		}
		message := &message{kept: kept, acceptedAt: r.now, repeatWindow: r.repeatWindow(kept.Workload)}
		for i := range kept.Trips {
			attempt := &attempt{message: message, number: i, sent: dispatch.Micros(kept.Trips[i].Sent), noted: true, over: true}
			message.attempts = append(message.attempts, attempt)
			if limit, ok := out[handoff.Out{Record: kept.ID, Trip: i}]; ok {
				r.upgrade.adopt(attempt, limit)
			}
		}
		r.messages[dispatch.MessageID(kept.ID)] = message
		r.counters.accepted()
		r.events = append(r.events, r.recall(message))
	}
	if len(unfinished) > 0 {
		r.log.Info("taken up again", "records", len(r.messages), "notices", len(unfinished)-len(r.messages))
	}
}

// recall is what the decisions are told of a message from before them.
func (r *Router) recall(message *message) dispatch.MessageRecovered {
	e := dispatch.MessageRecovered{MessageAccepted: r.accepted(message.kept)}
	for i, t := range message.kept.Trips {
		outcome, known := outcomes[t.Outcome]
		if !known {
			outcome = dispatch.Broken // nothing was heard: it may have run
		}
		e.Attempts = append(e.Attempts, dispatch.PastAttempt{Endpoint: dispatch.EndpointID(t.Endpoint), Zone: dispatch.ZoneID(t.Zone),
			SentAt: dispatch.Micros(t.Sent), Outcome: outcome, InFlight: !message.attempts[i].over})
	}
	return e
}
