package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// What couriers use of limits: counts, the load known from them, and to whom they are told.

type slot struct {
	count Count
	at    Micros // when it was so, by this courier's clock
}

type sample struct {
	at    Micros
	calls uint64
}

// merge keeps, of each courier, the latest count of its latest start; in any order, any number of times.
func (c *Commons) merge(n Count) {
	if n.Who == c.terms.Self {
		return
	}
	rt := c.route(n.Key)
	if rt == nil {
		return
	}
	was, known := rt.slots[n.Who]
	switch {
	case known && cmp.Or(cmp.Compare(n.Start, was.count.Start), cmp.Compare(n.No, was.count.No)) <= 0:
		return
	case !known && c.kept >= mostSlots:
		c.sums.Forgotten++
		return
	}
	if !known {
		c.kept++
	}
	rt.slots[n.Who] = slot{n, c.now - n.Age}
}

// follow has the load that is told follow the one that is known, as slowly as use is measured. Failure: couriers that all knew the same
// fresh load held back and let go in step, and the more they knew the worse.
func (c *Commons) follow(rt *route) {
	sum, heard := c.load(rt)
	if !heard {
		return
	}
	load, passed := float64(sum)/float64(whole), c.now-rt.loadAt
	if rt.loadAt > 0 && passed < freshFor {
		load = rt.load + (load-rt.load)*(1-math.Exp(-float64(passed)/float64(rateOver)))
	}
	rt.load, rt.loadAt = load, c.now
}

// load is what all couriers use of a limit, as far as it is known: what is known of by word, and at least as much as those who spoke
// for themselves lately make likely for all. False where nobody was heard.
func (c *Commons) load(rt *route) (sum Units, heard bool) {
	known, said := Units(0), Units(0)
	for who, s := range rt.slots {
		if c.now-s.at > freshFor {
			continue
		}
		known, heard = known+s.count.Usage, true
		if at, ok := c.direct[who]; ok && c.now-at <= freshFor {
			said += s.count.Usage
		}
	}
	likely := float64(said) * float64(len(c.alive)) / float64(max(1, len(c.direct)))
	return rt.usage + max(known, Units(likely)), heard
}

// spread says asks to whom they are for, and counts to some members: this courier's own first, then others' in turn.
func (c *Commons) spread(keys []Key, asks map[string][]Ask) {
	var own, others []Count
	from := 0
	if c.kept > mostOthers {
		from = int(c.no % uint64(len(keys)))
	}
	for i := range keys {
		k := keys[(from+i)%len(keys)]
		rt := c.routes[k]
		if n := rt.need; rt.usage > 0 {
			own = append(own, Count{Key: k, Who: c.terms.Self, Start: c.terms.Start, No: c.no, Calls: n.Calls, Done: n.Done, Refused: n.Refused, Usage: rt.usage})
		}
		if len(others) >= mostOthers {
			continue
		}
		for _, who := range slices.Sorted(maps.Keys(rt.slots)) {
			if s := rt.slots[who]; c.now-s.at <= freshFor/2 {
				n := s.count
				n.Age = max(0, c.now-s.at)
				others = append(others, n)
			}
		}
	}
	slices.SortStableFunc(own, func(a, b Count) int { return cmp.Compare(b.Usage, a.Usage) })
	to, hear := map[string]Words{}, map[string]bool{}
	for _, i := range c.rng.Perm(len(c.alive))[:min(sayTo, len(c.alive))] {
		hear[c.alive[i]] = true
		to[c.alive[i]] = Words{}
	}
	for name, a := range asks {
		to[name] = Words{Asks: a}
	}
	said := 0
	for _, name := range slices.Sorted(maps.Keys(to)) {
		w, room := Words{}, packet(c.terms.Self)
		for _, a := range to[name].Asks { // those beyond are lost, and asked again
			if room.take(a.size()) {
				w.Asks = append(w.Asks, a)
			}
		}
		if hear[name] {
			for i := 0; i < len(own) && room.take(own[i].size()); i++ {
				w.Counts = append(w.Counts, own[i])
			}
			for i := 0; i < len(others); i++ {
				n := others[(c.turn+i)%len(others)]
				if !room.take(n.size()) {
					break
				}
				w.Counts, said = append(w.Counts, n), max(said, i+1)
			}
		}
		c.say(name, w) // also where nothing is used: that is worth knowing, too
	}
	c.turn += said
}
