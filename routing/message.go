package routing

import (
	"pineport/logic"
	"pineport/protocol"
	"pineport/spool"
)

// record is what is held beside the decisions: what goes on the wire, and what is out.
type record struct {
	kept    *spool.Record
	waiting []*reply     // until they are written; more than one where it was handed in again in the same turn
	taken   logic.Micros // or taken up again
	trips   []*trip
	out     int
	ended   bool
}

// trip is one trip of a record; limit is when this side stops waiting.
type trip struct {
	rec    *record
	no     int // among all trips of the record
	call   *call
	sent   logic.Micros
	limit  logic.Micros
	noted  bool // in the spool
	looked bool // as it was to be given up, something had come
	over   bool
}

// reply is the answer to one command, written in the order of the commands.
type reply struct {
	client *client
	rec    *record // taken with it
	text   string
	close  bool
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

func (r *Router) taken(k *spool.Record) logic.Taken {
	return logic.Taken{Record: logic.RecordID(k.ID), Dest: logic.DestID(k.Dest),
		Workload: logic.WorkloadID(index(r.dep.Workloads, k.Workload)),
		Party:    logic.PartyID(max(0, index(r.dep.Parties, k.Party))), Key: logic.Key(k.Key),
		CutOff: logic.Micros(k.CutOff), Again: k.Again}
}

// How a record ended that was not delivered, as the spool has it.
const (
	bounced    = "bounced"
	terminated = "terminated"
)

// end ends a record undelivered: the client hears it if it still waits, or else the platform.
func (r *Router) end(id logic.RecordID, bounce bool, pause logic.Micros) {
	rec := r.records[id]
	if rec == nil || rec.ended {
		return
	}
	rec.ended = true
	how, again, ends := terminated, int64(0), failed
	if bounce {
		how, again, ends = bounced, int64((pause+999)/1000), turnedAway
	}
	r.counters.over()
	r.count(rec.kept.Workload, ends)
	if len(rec.waiting) > 0 {
		for _, rep := range rec.waiting {
			rep.text = protocol.ReplyError("ERR terminated")
			if bounce {
				rep.text = protocol.ReplyBusy(again)
			}
		}
		r.check(r.spool.Forget(rec.kept.ID))
	} else {
		r.clients.over.add(rec, r.now)
		r.check(r.spool.End(rec.kept.ID, how, again))
		r.platform.tell(rec.kept)
	}
	r.forget(rec)
}

// finish ends a record for which nothing more is owed.
func (r *Router) finish(rec *record) {
	if !rec.ended {
		rec.ended = true
		r.counters.over()
		r.check(r.spool.Forget(rec.kept.ID))
	}
}

func (r *Router) forget(rec *record) {
	if rec.ended && rec.out == 0 {
		delete(r.records, logic.RecordID(rec.kept.ID))
	}
}
