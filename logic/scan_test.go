package logic

import "slices"

// scanning picks by going through all that waits, as the module did before it had indexes. It shares every decision with indexed, so
// that the actions of the two must be equal.
type scanning struct{}

func (scanning) all(c *Courier, d *dest) (all []*record) {
	c.placeQueued()
	for _, l := range d.queue.lanes {
		l.byDue.Scan(func(r *record) bool {
			all = append(all, r)
			return true
		})
	}
	return all
}

func (s scanning) queue(c *Courier, d *dest) []*record {
	all := s.all(c, d)
	slices.SortFunc(all, c.inOrder)
	return all
}

func (s scanning) last(c *Courier, r *record) Micros {
	last := r.cutOff - c.margin(r.dest)
	if r.mayRan && r.work.Repeat == Referenced {
		last = min(last, r.ranAt+r.work.Window-c.ch.Tick)
	}
	return last
}

func (s scanning) over(c *Courier) (over []*record) {
	for _, d := range c.waiting() {
		for _, r := range s.all(c, d) {
			if c.now >= s.last(c, r) {
				over = append(over, r)
			}
		}
	}
	return over
}

func (s scanning) ready(c *Courier) []*dest {
	all := c.waiting()
	for _, d := range all {
		c.answeredAt(d)
		c.rate(d, s.first(c, d))
	}
	return all
}

func (s scanning) first(c *Courier, d *dest) *record { return s.queue(c, d)[0] }

func (s scanning) next(c *Courier, d *dest) (*record, *endpoint, bool) {
	for _, r := range s.queue(c, d) {
		if ep, trial := c.place(r); ep != nil {
			return r, ep, trial
		}
	}
	return nil, nil, false
}

func (s scanning) besides(c *Courier, d *dest, ep *endpoint, room int) (more []*record) {
	for _, r := range s.queue(c, d) {
		if len(more) >= room {
			break
		}
		if c.fits(r, ep) && ep.route.breakers[r.class].state == closed {
			more = append(more, r)
		}
	}
	return more
}

func (s scanning) lookAhead(c *Courier) {
	for _, d := range c.waiting() {
		for _, r := range s.all(c, d) {
			c.place(r)
			c.look(s.last(c, r))
		}
	}
}
