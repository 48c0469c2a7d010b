package logic

import (
	"cmp"
	"math"
	"slices"

	"github.com/tidwall/btree"
)

// The backlog: indexes over the messages that wait, so that what a step costs goes by what is due or has changed and at most by the
// logarithm of what is held. Bookkeeping only: what may go, where and when is asked of logic.go. docs/backlog-design.md.

// planner picks what a step has to look at. The decisions are the same whoever picks; tests have one that goes through all.
type planner interface {
	over(c *Courier) []*record                                      // what can no longer be delivered
	ready(c *Courier) []*dest                                       // destinations that may have something to send, by id
	first(c *Courier, d *dest) *record                              // the first of a queue, whether or not it may go
	next(c *Courier, d *dest) (r *record, ep *endpoint, trial bool) // the first that may go; nil: none
	besides(c *Courier, d *dest, ep *endpoint, room int) []*record  // what a call may carry besides
	queue(c *Courier, d *dest) []*record                            // all of a queue, in order
	lookAhead(c *Courier)                                           // asks to be woken when something may next go or end
}

// backlog is all that waits at a courier.
type backlog struct {
	count    int                    // messages
	seq      uint64                 // of the message queued last
	unplaced []*record              // queued, and not in a lane yet
	awake    []*dest                // to be looked at in the next step
	asleep   *btree.BTreeG[*dest]   // by when they are to be looked at
	timed    *btree.BTreeG[*dest]   // those of them that open at just that instant
	ending   *btree.BTreeG[*dest]   // by the earliest cut-off of their messages
	windows  *btree.BTreeG[*record] // that may be repeated for a while only, by the end of it
	resting  *btree.BTreeG[*record] // first of their key, by the end of its rest
}

func newBacklog() backlog {
	return backlog{
		asleep:  sorted(func(d *dest) Micros { return d.queue.wakeAt }, destID),
		timed:   sorted(func(d *dest) Micros { return d.queue.wakeAt }, destID),
		ending:  sorted(func(d *dest) Micros { return d.queue.endsAt }, destID),
		windows: sorted(windowEnd, queuedAs),
		resting: sorted(func(r *record) Micros { return r.restTo }, queuedAs),
	}
}

func destID(d *dest) uint64      { return uint64(uint32(d.id)) }
func queuedAs(r *record) uint64  { return r.seq }
func windowEnd(r *record) Micros { return r.ranAt + r.work.Window }

// sorted is an index by an instant, and by a number among those of one instant.
func sorted[T any](at func(T) Micros, number func(T) uint64) *btree.BTreeG[T] {
	return ordered(func(a, b T) bool {
		if x, y := at(a), at(b); x != y {
			return x < y
		}
		return number(a) < number(b)
	})
}

func ordered[T any](less func(a, b T) bool) *btree.BTreeG[T] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
}

// queue is what waits for one destination.
type queue struct {
	count  int
	lanes  []*lane
	endsAt Micros // the earliest cut-off, as indexed; nothing: none waits
	awake  bool
	timed  bool   // asleep until just wakeAt
	wakeAt Micros // 0: in no index
}

// laneKey is what decides, beside lot and deadline, whether and where a message may go.
type laneKey struct {
	work   *Workload
	class  WorkloadID
	payoff float64
	fresh  bool   // no attempt yet: its lot may let it go
	bound  bool   // only one zone knows a repeat
	zone   ZoneID // that one
	behind bool   // its key keeps it back
}

// lane is the messages of one destination that are alike but for their deadlines and lots.
type lane struct {
	laneKey
	span     Micros // from when they are due to their cut-off
	halvesTo Micros // how late they may be before their payoff has halved down to its least
	byDue    *btree.BTreeG[*record]
	byLot    *btree.BTreeG[*record] // fresh ones
}

// nothing is no instant.
const nothing Micros = math.MinInt64

// mostEmptyLanes of a destination are kept for what comes next.
const mostEmptyLanes = 16

func (c *Courier) enqueue(r *record) {
	c.backlog.seq++
	c.backlog.count++
	r.dest.queue.count++
	r.queued, r.seq = true, c.backlog.seq
	c.backlog.unplaced = append(c.backlog.unplaced, r)
}

func (c *Courier) unqueue(r *record) {
	if r.queued {
		r.queued = false
		c.backlog.count--
		r.dest.queue.count--
		c.takeOut(r)
	}
}

// place puts into lanes what was queued since it was last done.
func (c *Courier) placeQueued() {
	for _, r := range c.backlog.unplaced {
		if r.queued && r.lane == nil {
			c.putIn(r)
		}
	}
	c.backlog.unplaced = c.backlog.unplaced[:0]
}

// placeAnew is for a message whose key lets it go, or keeps it back, other than before.
func (c *Courier) placeAnew(r *record) {
	if r.queued && r.lane != nil {
		c.takeOut(r)
		c.backlog.unplaced = append(c.backlog.unplaced, r)
	}
}

// nextOfKey sees to the message that is first of its key now.
func (c *Courier) nextOfKey(l *keyLine) {
	if l != nil && len(l.records) > 0 {
		c.placeAnew(l.records[0])
	}
}

func (c *Courier) putIn(r *record) {
	b, q := &c.backlog, &r.dest.queue
	turn := r.line.turn(r)
	key := laneKey{work: r.work, class: r.class, payoff: r.payoff, fresh: len(r.trips) == 0, behind: turn > c.now}
	if r.mayRan && r.work.Repeat == Referenced {
		b.windows.Set(r)
		if key.bound = r.work.OneZone; key.bound {
			key.zone = r.ranZone
		}
	}
	if key.behind && turn < never {
		r.restTo = turn
		b.resting.Set(r)
	}
	l := q.lane(key)
	if l == nil {
		l = newLane(key, r)
		q.lanes = append(q.lanes, l)
	}
	r.lane = l
	l.byDue.Set(r)
	if l.fresh {
		l.byLot.Set(r)
	}
	if q.endsAt == nothing || r.cutOff < q.endsAt {
		c.endsAt(r.dest, r.cutOff)
	}
	c.touch(r.dest)
}

func (c *Courier) takeOut(r *record) {
	b, q, l := &c.backlog, &r.dest.queue, r.lane
	if l == nil {
		return
	}
	if r.mayRan && r.work.Repeat == Referenced {
		b.windows.Delete(r)
	}
	if r.restTo != 0 {
		b.resting.Delete(r)
		r.restTo = 0
	}
	l.byDue.Delete(r)
	if l.fresh {
		l.byLot.Delete(r)
	}
	r.lane = nil
	if l.byDue.Len() == 0 {
		q.dropLanes()
		c.touch(r.dest) // what it waited for is waited for no more
	}
	if r.cutOff <= q.endsAt {
		c.endsAt(r.dest, q.earliest())
	}
}

// endsAt puts a destination at its place by the earliest cut-off of what waits for it.
func (c *Courier) endsAt(d *dest, at Micros) {
	if d.queue.endsAt != nothing {
		c.backlog.ending.Delete(d)
	}
	if d.queue.endsAt = at; at != nothing {
		c.backlog.ending.Set(d)
	}
}

func (q *queue) earliest() Micros {
	at := nothing
	for _, l := range q.lanes {
		if r, ok := l.byDue.Min(); ok && (at == nothing || r.cutOff < at) {
			at = r.cutOff
		}
	}
	return at
}

func (q *queue) lane(key laneKey) *lane {
	for _, l := range q.lanes {
		if l.laneKey == key {
			return l
		}
	}
	return nil
}

func (q *queue) dropLanes() {
	if len(q.lanes) > mostEmptyLanes {
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l.byDue.Len() == 0 })
	}
}

func newLane(key laneKey, r *record) *lane {
	l := &lane{laneKey: key, span: r.cutOff - r.due, halvesTo: key.work.halvesTo(),
		byDue: sorted(func(r *record) Micros { return r.due }, queuedAs)}
	if key.fresh {
		l.byLot = ordered(func(a, b *record) bool {
			if a.lot != b.lot {
				return a.lot < b.lot
			}
			return a.seq < b.seq
		})
	}
	return l
}

// halvesTo is the most by which a message may be late with its payoff still above the least; -1: it never is.
func (w *Workload) halvesTo() Micros {
	const halvings = 1100 // beyond them nothing is left of any number
	low, high := Micros(-1), halvings*max(w.Quoted, 1)
	for low < high {
		if middle := low + (high-low+1)/2; w.halved(middle) > w.LatePart {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// touch has a destination looked at in the next step, as something has changed there.
func (c *Courier) touch(d *dest) {
	q := &d.queue
	if q.awake || q.count == 0 && q.wakeAt == 0 {
		return
	}
	c.rouse(d)
}

func (c *Courier) rouse(d *dest) {
	b, q := &c.backlog, &d.queue
	switch {
	case q.wakeAt == 0:
	case q.timed:
		b.timed.Delete(d)
	default:
		b.asleep.Delete(d)
	}
	q.wakeAt, q.timed, q.awake = 0, false, true
	b.awake = append(b.awake, d)
}

func (c *Courier) touchAll() {
	for _, d := range c.dests {
		c.touch(d)
	}
}

// sleep leaves a destination alone until an instant, or until it is touched.
func (c *Courier) sleep(d *dest, until Micros, timed bool) {
	q := &d.queue
	q.awake, q.wakeAt, q.timed = false, until, timed
	if timed {
		c.backlog.timed.Set(d)
	} else {
		c.backlog.asleep.Set(d)
	}
}

// waiting lists all destinations that something waits for, by id.
func (c *Courier) waiting() (all []*dest) {
	for _, d := range c.dests {
		if d.queue.count > 0 {
			all = append(all, d)
		}
	}
	byID(all)
	return all
}

func byID(all []*dest) {
	slices.SortFunc(all, func(a, b *dest) int { return cmp.Compare(a.id, b.id) })
}
