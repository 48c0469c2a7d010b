package routing

import (
	"cmp"
	"maps"
	"slices"

	"pineport/handover"
	"pineport/logic"
	"pineport/spool"
)

// renew hands all that is held to decisions that know nothing yet, and nothing of what the failed ones had learned. Where they fail again over that, it is ended,
// so that one record cannot stop all others for ever.
func (r *Router) renew() {
	if r.upgrade.handed {
		return
	}
	for _, t := range append([]*trip(nil), r.flying...) {
		r.settle(t, logic.Settled{Outcome: logic.Broken})
		r.drop(t.call)
	}
	r.events, r.courier, r.wakeAt = nil, r.begin(), never
	r.watch.start(r)
	held := make([]*record, 0, len(r.records))
	for _, rec := range r.records {
		held = append(held, rec)
	}
	slices.SortFunc(held, func(a, b *record) int { return cmp.Compare(a.kept.Number, b.kept.Number) })
	news := logic.ListNews{How: logic.Persisted}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		if l, ok := r.listing(r.hosts[id]); ok {
			news.Entries = append(news.Entries, l)
		}
	}
	r.events = append(r.events, news)
	r.staff.remind()
	if r.endBy < never {
		r.events = append(r.events, logic.Closing{At: r.endBy})
	}
	r.failed++
	for _, rec := range held {
		if r.failed > 1 {
			r.end(logic.RecordID(rec.kept.ID), false, 0)
		} else if !rec.ended {
			r.events = append(r.events, r.recall(rec))
		}
	}
}

// recover hands what the spool held to the decisions.
func (r *Router) recover(unfinished []*spool.Record, given *handover.State) {
	out := map[handover.Out]logic.Micros{}
	if given != nil {
		for _, o := range given.Out {
			out[handover.Out{Record: o.Record, Trip: o.Trip}] = o.Limit
		}
	}
	for _, kept := range unfinished {
		if kept.Ended != "" {
			r.platform.tell(kept)
			continue
		}
		if index(r.dep.Workloads, kept.Workload) < 0 {
			r.log.Warn("record of an unknown workload", "id", kept.ID, "workload", kept.Workload)
			r.check(r.spool.End(kept.ID, terminated, 0))
			r.platform.tell(kept)
			continue
		}
		rec := &record{kept: kept, taken: r.now}
		for i := range kept.Trips {
			t := &trip{rec: rec, no: i, sent: logic.Micros(kept.Trips[i].Sent), noted: true, over: true}
			rec.trips = append(rec.trips, t)
			if limit, ok := out[handover.Out{Record: kept.ID, Trip: i}]; ok {
				r.upgrade.adopt(t, limit)
			}
		}
		r.records[logic.RecordID(kept.ID)] = rec
		r.counters.taken()
		r.events = append(r.events, r.recall(rec))
	}
	if len(unfinished) > 0 {
		r.log.Info("taken up again", "records", len(r.records), "notices", len(unfinished)-len(r.records))
	}
}

// recall is what the decisions are told of a record from before them.
func (r *Router) recall(rec *record) logic.Recovered {
	e := logic.Recovered{Taken: r.taken(rec.kept)}
	for i, t := range rec.kept.Trips {
		outcome, known := outcomes[t.Outcome]
		if !known {
			outcome = logic.Broken // nothing was heard: it may have run
		}
		e.Trips = append(e.Trips, logic.Past{Endpoint: logic.EndpointID(t.Endpoint), Zone: logic.ZoneID(t.Zone),
			Sent: logic.Micros(t.Sent), Outcome: outcome, Out: !rec.trips[i].over})
	}
	return e
}
