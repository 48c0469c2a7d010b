package dispatch

import "slices"

// Watching beside a courier what another charter would have decided; bookkeeping only, the decisions are those of logic.go.

// Difference is the way in which a decision under the watched charter differs from what was done.
type Difference int

const (
	Elsewhere  Difference = iota // sent to another endpoint
	Sooner                       // sent, where it was held
	Later                        // held, where it was sent
	Bounced                      // bounced, where it was not
	Terminated                   // terminated, where it was not
	Kept                         // held, where it was bounced or terminated
	CalledOff                    // called off, where it was waited for
	WaitedFor                    // waited for, where it was called off
	Advised                      // bounced alike, with another word on when to come again
	Differences
)

// Watcher is a courier under another charter whose actions are never carried out. After each instant it is brought into
// step: what it alone would have done is taken back, and what was done is booked.
type Watcher struct {
	c        *Courier
	counts   [Differences]int
	compared int
	told     map[RecordID]map[Difference]bool // a record counts once for each difference; forgotten with the record
}

// NewWatcher makes one that knows only its charter.
func NewWatcher(ch Charter) *Watcher {
	w := &Watcher{c: New(ch), told: map[RecordID]map[Difference]bool{}}
	w.c.watched = true
	return w
}

// Counts are the differences so far, by kind, and how many decisions were compared.
func (w *Watcher) Counts() (counts [Differences]int, compared int) { return w.counts, w.compared }

// Recharter goes on with another charter to watch.
func (w *Watcher) Recharter(ch Charter) { w.c.recharter(ch) }

// fateOf is what a list of actions does to one record.
type fateOf struct {
	send   *Send
	bounce *Bounce
	ended  bool // terminated
	cancel []TripNo
}

func fates(actions []Action) (order []RecordID, of map[RecordID]*fateOf) {
	of = map[RecordID]*fateOf{}
	at := func(id RecordID) *fateOf {
		if of[id] == nil {
			of[id] = &fateOf{}
			order = append(order, id)
		}
		return of[id]
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			at(a.Record).send = &a
		case Bounce:
			at(a.Record).bounce = &a
		case Terminate:
			at(a.Record).ended = true
		case Cancel:
			f := at(a.Record)
			f.cancel = append(f.cancel, a.Trip)
		}
	}
	return order, of
}

// See takes what happened at an instant and what was done about it.
func (w *Watcher) See(now Micros, events []Event, did []Action) {
	c := w.c
	c.gone = nil
	kept := make([]Event, 0, len(events))
	for _, e := range events {
		if _, other := e.(Rechartered); !other { // that is the courier's own
			kept = append(kept, e)
		}
	}
	would := c.Handle(now, kept)
	order, mine := fates(would)
	theirs, done := fates(did)
	for _, id := range slices.Backward(order) {
		w.takeBack(id, mine[id], done[id])
	}
	for _, id := range theirs {
		w.book(id, mine[id], done[id])
	}
	for _, action := range did {
		if a, ok := action.(CloseIdle); ok && c.endpoints[a.Endpoint] != nil {
			c.endpoints[a.Endpoint].idleSince = 0
		}
	}
	for id := range w.told {
		if r := c.records[id]; r == nil || r.ended {
			delete(w.told, id)
		}
	}
	c.gone = nil
}

func (w *Watcher) count(id RecordID, d Difference) {
	if w.told[id][d] {
		return
	}
	if w.told[id] == nil {
		w.told[id] = map[Difference]bool{}
	}
	w.told[id][d] = true
	w.counts[d]++
}

// takeBack undoes what only the watched charter would have done, last things first.
func (w *Watcher) takeBack(id RecordID, mine, did *fateOf) {
	if did == nil {
		did = &fateOf{}
	}
	c := w.c
	if mine.bounce != nil && did.bounce == nil || mine.ended && !did.ended {
		for i, r := range c.gone {
			if r.id == id {
				c.gone = slices.Delete(c.gone, i, i+1)
				c.revive(r)
				break
			}
		}
		if mine.ended {
			w.count(id, Terminated)
		} else {
			w.count(id, Bounced)
		}
	}
	r := c.records[id]
	if r == nil {
		return
	}
	if mine.send != nil && (did.send == nil || did.send.Endpoint != mine.send.Endpoint) {
		c.unsend(r)
		if did.send == nil && did.bounce == nil && !did.ended {
			w.count(id, Sooner)
		}
	}
	for _, no := range mine.cancel {
		if !slices.Contains(did.cancel, no) && int(no) < len(r.trips) {
			r.trips[no].calledOff = false
			w.count(id, CalledOff)
		}
	}
}

// book does what was done and the watched charter would not have.
func (w *Watcher) book(id RecordID, mine, did *fateOf) {
	if mine == nil {
		mine = &fateOf{}
	}
	c := w.c
	w.compared++
	switch {
	case did.bounce != nil && mine.bounce != nil && did.bounce.Pause != mine.bounce.Pause:
		w.count(id, Advised)
	case did.bounce != nil && mine.bounce == nil || did.ended && !mine.ended:
		if mine.bounce == nil && !mine.ended {
			w.count(id, Kept)
		}
	}
	r := c.records[id]
	if r == nil {
		return
	}
	if ep := c.endpoints[sentTo(did)]; ep != nil && (mine.send == nil || mine.send.Endpoint != did.send.Endpoint) {
		if mine.send != nil {
			w.count(id, Elsewhere)
		} else if mine.bounce == nil && !mine.ended {
			w.count(id, Later)
		}
		c.unqueue(r)
		t := c.addTrip(r, c.startCall(ep))
		if b := &ep.route.breakers[r.class]; b.state == halfOpen && b.trial == nil {
			b.trial = t
		}
	}
	for _, no := range did.cancel {
		if !slices.Contains(mine.cancel, no) && int(no) < len(r.trips) && !r.trips[no].calledOff {
			r.trips[no].calledOff = true
			w.count(id, WaitedFor)
		}
	}
	if did.bounce != nil || did.ended {
		c.end(r)
	}
}

func sentTo(f *fateOf) EndpointID {
	if f.send == nil {
		return ""
	}
	return f.send.Endpoint
}

// revive undoes the end of a record.
func (c *Courier) revive(r *record) {
	r.ended = false
	c.held++
	c.records[r.id] = r
	if l := r.line; l != nil && !slices.Contains(l.records, r) {
		l.records = slices.Insert(l.records, min(r.place, len(l.records)), r)
		c.keys[l.key] = l
		c.resting = slices.DeleteFunc(c.resting, func(o *keyLine) bool { return o == l })
	}
	if r.out == 0 && !r.queued {
		c.enqueue(r)
	}
}

// unsend undoes the last trip of a record, of this instant.
func (c *Courier) unsend(r *record) {
	n := len(r.trips) - 1
	t := r.trips[n]
	r.trips = r.trips[:n]
	r.out--
	rt, same := t.at.route, func(o *trip) bool { return o == t }
	rt.out, c.flying = slices.DeleteFunc(rt.out, same), slices.DeleteFunc(c.flying, same)
	if b := &rt.breakers[r.class]; b.trial == t {
		b.trial = nil
	}
	if t.call.open--; t.call.open == 0 {
		rt.lastCall = t.call.before
		c.calls--
		t.at.calls--
		t.at.dest.calls--
	}
	if !r.queued {
		c.enqueue(r)
	}
}
