package logic

import (
	"slices"

	"github.com/tidwall/btree"
)

// What the indexes of the backlog pick for a step.

// indexed picks by the indexes of the backlog.
type indexed struct{}

func (indexed) over(c *Courier) (over []*record) {
	c.placeQueued()
	b := &c.backlog
	soon := c.now + max(c.prior, 4*c.ch.Tick)
	b.ending.Scan(func(d *dest) bool {
		if d.queue.endsAt > soon {
			return false
		}
		margin := c.margin(d)
		for _, l := range d.queue.lanes {
			l.byDue.Scan(func(r *record) bool {
				if c.now < r.cutOff-margin {
					return false
				}
				over = append(over, r)
				return true
			})
		}
		return true
	})
	b.windows.Scan(func(r *record) bool {
		if c.now < windowEnd(r)-c.ch.Tick {
			return false
		}
		over = append(over, r)
		return true
	})
	return over
}

func (indexed) ready(c *Courier) []*dest {
	c.endRests()
	c.placeQueued()
	c.wakeSleepers(c.backlog.timed)
	c.wakeSleepers(c.backlog.asleep)
	order := make([]*dest, 0, len(c.backlog.awake))
	for _, d := range c.backlog.awake {
		if d.queue.count > 0 {
			order = append(order, d)
		}
	}
	byID(order)
	for _, d := range order {
		c.answeredAt(d)
		c.rate(d, c.plan.first(c, d))
	}
	return order
}

// endRests lets messages go whose key has rested.
func (c *Courier) endRests() {
	for {
		r, ok := c.backlog.resting.Min()
		if !ok || r.restTo > c.now {
			return
		}
		c.takeOut(r)
		c.putIn(r)
	}
}

func (c *Courier) wakeSleepers(sleepers *btree.BTreeG[*dest]) {
	for {
		d, ok := sleepers.Min()
		if !ok || d.queue.wakeAt > c.now {
			return
		}
		c.rouse(d)
	}
}

func (indexed) first(c *Courier, d *dest) *record {
	var all merge
	for _, l := range d.queue.lanes {
		all.add(c, d, l)
	}
	return all.next(c)
}

func (indexed) queue(c *Courier, d *dest) (queue []*record) {
	c.placeQueued()
	var all merge
	for _, l := range d.queue.lanes {
		all.add(c, d, l)
	}
	for r := all.next(c); r != nil; r = all.next(c) {
		queue = append(queue, r)
	}
	return queue
}

func (indexed) next(c *Courier, d *dest) (*record, *endpoint, bool) {
	var may merge
	for _, l := range d.queue.lanes {
		switch all, below := c.admits(l, d); {
		case all:
			may.add(c, d, l)
		case below > 0:
			may.addWinners(c, l, below)
		}
	}
	for r := may.next(c); r != nil; r = may.next(c) {
		if ep, trial := c.place(r); ep != nil {
			return r, ep, trial
		}
	}
	return nil, nil, false
}

// admits tells which messages of a lane may go now: all, or those whose lot is below some figure.
func (c *Courier) admits(l *lane, d *dest) (all bool, below float64) {
	sample, ok := l.byDue.Min()
	if !ok || l.behind {
		return false, 0
	}
	for _, ep := range d.endpoints {
		if !c.fits(sample, ep) {
			continue
		}
		rest := ep.lastCall + c.afterMaintenance(ep)
		if max(c.opensFor(l.class, l.work, ep.route, loses), rest) <= c.now {
			return true, 0
		}
		if l.fresh && max(c.opensFor(l.class, l.work, ep.route, wins), rest) <= c.now {
			below = max(below, c.wonBelow(ep.route))
		}
	}
	return false, below
}

func wins(float64) bool  { return true }
func loses(float64) bool { return false }

func (indexed) besides(c *Courier, d *dest, ep *endpoint, room int) (more []*record) {
	if room <= 0 {
		return nil
	}
	var may merge
	for _, l := range d.queue.lanes {
		if sample, ok := l.byDue.Min(); ok && !l.behind && c.fits(sample, ep) && ep.route.breakers[l.class].state == closed {
			may.add(c, d, l)
		}
	}
	for r := may.next(c); r != nil && len(more) < room; r = may.next(c) {
		more = append(more, r)
	}
	return more
}

// mostSleep is how long a destination is left alone at most: a closed breaker that nobody asks for two minutes forgets what it counted.
const mostSleep = idleAfter / 2

// surely is added to bounds, for what is rounded in them.
const surely = millisecond

func (indexed) lookAhead(c *Courier) {
	c.placeQueued()
	b := &c.backlog
	roused := b.awake
	b.awake = nil
	for _, d := range roused {
		if d.queue.count == 0 {
			d.queue.awake = false
			continue
		}
		c.ahead(d)
	}
	if d, ok := b.timed.Min(); ok {
		c.look(d.queue.wakeAt)
	}
	c.lookAtEnds()
	c.lookAtRests()
}

// ahead asks to be woken for what waits for a destination, and lets it sleep if nothing can go for a while.
func (c *Courier) ahead(d *dest) {
	at := outlook{from: c.now + mostSleep}
	for _, l := range d.queue.lanes {
		sample, ok := l.byDue.Min()
		if !ok || l.behind {
			continue
		}
		for _, ep := range d.endpoints {
			if ep.coldTo > c.now || l.work.Repeat == SingleUse && c.closeAt < never {
				at.from = 0
			}
			if c.fits(sample, ep) {
				c.aheadOf(l, ep, &at)
			}
		}
	}
	switch {
	case at.exact && at.from > c.now:
		c.sleep(d, at.from, true)
	case at.from-surely > c.now+lookEvery:
		c.sleep(d, at.from-surely-lookEvery, false)
	default:
		c.backlog.awake = append(c.backlog.awake, d)
	}
}

// outlook is from when on something may go, and whether it is just then.
type outlook struct {
	from  Micros
	exact bool
}

func (o *outlook) add(from Micros, exact bool) {
	if from < o.from || from == o.from && !exact {
		o.from, o.exact = from, exact
	}
}

// aheadOf looks ahead for the messages of one lane and one endpoint.
func (c *Courier) aheadOf(l *lane, ep *endpoint, at *outlook) {
	rt := ep.route
	rest := ep.lastCall + c.afterMaintenance(ep)
	consider := func(outcome func(float64) bool, won bool) {
		opens := max(c.opensFor(l.class, l.work, rt, outcome), rest)
		if opens <= c.now {
			at.add(c.now, false)
			return
		}
		c.look(opens)
		at.add(c.opensFrom(l.class, l.work, rt, won))
	}
	below := c.wonBelow(rt)
	losers := true
	if l.fresh {
		least, _ := l.byLot.Min()
		most, _ := l.byLot.Max()
		losers = most.lot >= below
		if least.lot < below {
			consider(wins, true)
		}
	}
	if losers {
		consider(loses, false)
	}
	if rt.cold {
		at.add(rt.coldSince+c.ch.Ramp, false) // warm from then on
		if l.fresh && losers {
			l.byLot.Ascend(&record{lot: below}, func(r *record) bool {
				at.add(c.winsFrom(rt, r.lot), false)
				return false
			})
		}
	}
}

// lookAtEnds asks to be woken for what is to be given up within the time after which all is looked at anyway.
func (c *Courier) lookAtEnds() {
	b := &c.backlog
	soon := c.now + max(c.prior, 4*c.ch.Tick) + lookEvery
	b.ending.Scan(func(d *dest) bool {
		if d.queue.endsAt <= soon {
			c.look(d.queue.endsAt - c.margin(d))
		}
		return d.queue.endsAt <= soon
	})
	if r, ok := b.windows.Min(); ok {
		c.look(windowEnd(r) - c.ch.Tick)
	}
}

// lookAtRests asks to be woken when a key has rested whose message could go somewhere.
func (c *Courier) lookAtRests() {
	c.backlog.resting.Scan(func(r *record) bool {
		if r.restTo > c.now+lookEvery {
			return false
		}
		for _, ep := range r.dest.endpoints {
			c.fits(r, ep)
		}
		return true
	})
}

// merge yields messages of several lanes of one destination in the order in which they are to go.
type merge struct{ streams []stream }

// stream is a run of messages that come in that order by themselves.
type stream struct {
	head *record
	more func() *record
}

func (m *merge) next(c *Courier) *record {
	best := -1
	for i := range m.streams {
		if best < 0 || c.inOrder(m.streams[i].head, m.streams[best].head) < 0 {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	r := m.streams[best].head
	if m.streams[best].head = m.streams[best].more(); m.streams[best].head == nil {
		m.streams = slices.Delete(m.streams, best, best+1)
	}
	return r
}

func (m *merge) addStream(more func() *record) {
	if head := more(); head != nil {
		m.streams = append(m.streams, stream{head, more})
	}
}

// addWinners adds the messages of a lane whose lot is below some figure.
func (m *merge) addWinners(c *Courier, l *lane, below float64) {
	var winners []*record
	l.byLot.Scan(func(r *record) bool {
		if r.lot < below {
			winners = append(winners, r)
		}
		return r.lot < below
	})
	slices.SortFunc(winners, c.inOrder)
	m.addStream(func() (r *record) {
		if len(winners) > 0 {
			r, winners = winners[0], winners[1:]
		}
		return r
	})
}

// add adds all messages of a lane. What they lose by waiting rises and falls with when they are due, so the lane is cut where that turns.
func (m *merge) add(c *Courier, d *dest, l *lane) {
	const first, last = -never, never
	at, halves := d.at, c.ch.Decay == Halves
	gone, end := at-l.span+1, at+second-l.span+1 // due before these: cut off by then, or a second later
	floor := at - l.halvesTo                     // due before that: halved down to the least
	m.addRun(l, first, gone, false)
	late := min(at, end)
	switch {
	case halves:
		m.addRun(l, gone, min(floor, late), false)
		m.addRun(l, max(gone, floor), late, true)
	default:
		m.addRun(l, gone, late, l.work.LatePart < 1)
	}
	m.addRun(l, max(gone, at), end, false)
	if !halves {
		m.addRun(l, end, last, false)
		return
	}
	m.addRun(l, end, min(floor, at+1), false)
	m.addRun(l, max(end, floor), at+1, true)
	m.addRun(l, max(end, at+1), last, false)
}

// addRun adds the messages of a lane that are due from one instant on and before another, the later ones first if backwards.
func (m *merge) addRun(l *lane, from, to Micros, backwards bool) {
	if from >= to || l.byDue.Len() == 0 {
		return
	}
	it := l.byDue.Iter()
	if backwards {
		ok := false
		if it.Seek(&record{due: to}) {
			ok = it.Prev()
		} else {
			ok = it.Last()
		}
		m.addStream(func() *record { return within(&it, &ok, it.Prev, func(due Micros) bool { return due >= from }) })
		return
	}
	ok := it.Seek(&record{due: from})
	m.addStream(func() *record { return within(&it, &ok, it.Next, func(due Micros) bool { return due < to }) })
}

// within returns the item at an iterator and steps on; nil where it has left its run.
func within(it *btree.IterG[*record], ok *bool, step func() bool, inside func(due Micros) bool) *record {
	if !*ok {
		return nil
	}
	r := it.Item()
	if !inside(r.due) {
		*ok = false
		return nil
	}
	*ok = step()
	return r
}
