package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Parts of limits that couriers lend one another: leases by the borrower's clock.

type loan struct {
	who   string
	no    uint64
	units Units
	until Micros
}

type ask struct {
	who   string
	units Units
	at    Micros
}

// away is what of the base part is not this courier's to use now.
func (c *Commons) away(rt *route) (sum Units) {
	if c.now < c.heldTo {
		sum = c.base() / 2 // as much as an earlier start may have lent
	}
	for _, l := range rt.lent {
		if c.now < l.until {
			sum += l.units
		}
	}
	return sum
}

// borrowed is what others' loans add, of those that hold for a while longer.
func (c *Commons) borrowed(rt *route, longer Micros) (sum Units, until Micros) {
	for _, l := range rt.taken {
		if c.now+longer < l.until {
			if sum += l.units; until == 0 || l.until < until {
				until = l.until
			}
		}
	}
	return sum, until
}

// take adds a loan, until a span after it was asked for, once.
func (c *Commons) take(from string, l Loan) {
	rt := c.routes[l.Key]
	if rt == nil {
		return
	}
	a, ok := rt.asked[l.No]
	if !ok || a.who != from || l.Units > a.units || c.now >= a.at+span {
		c.sums.Late++
		return
	}
	delete(rt.asked, l.No)
	c.sums.Taken++
	rt.taken = append(rt.taken, loan{from, l.No, l.Units, a.at + span})
}

// lend gives of what this courier does not need, half of its base part at most, and takes it off first. A tenth is kept for what comes
// unforeseen; less than a fiftieth is not worth a word.
func (c *Commons) lend(to string, a Ask) (Loan, bool) {
	rt := c.routes[a.Key]
	if rt == nil {
		rt = c.route(a.Key) // nobody needs it here
	}
	if rt == nil || !slices.Contains(c.alive, to) {
		return Loan{}, false
	}
	for _, l := range rt.lent {
		if l.who == to && l.no == a.No {
			return Loan{}, false // a doubled ask
		}
	}
	base, away := c.base(), c.away(rt)
	units := min(a.Units, base-away-rt.usage*5/4-base/10, base/2-away)
	if units < max(1, base/50) {
		return Loan{}, false
	}
	rt.lent = append(rt.lent, loan{to, a.No, units, c.now + backAfter})
	c.sums.Lent++
	return Loan{a.Key, units, a.No}, true
}

// ask seeks what is wanted beyond this courier's part: a quarter over what it uses, and what waits, within a second. Who uses least of
// the limit is asked first, and of those alike each courier asks others, drawn by the names.
func (c *Commons) ask(rt *route, asks map[string][]Ask) {
	base := c.base()
	lasting, _ := c.borrowed(rt, span/2)
	for _, a := range rt.asked {
		if c.now-a.at < span/4 {
			lasting += a.units
		}
	}
	waiting := Units(min(float64(whole), float64(rt.need.Waiting)/rt.need.Limit*float64(whole)))
	want := min(whole-base, rt.usage*5/4+waiting) - (base - c.away(rt)) - lasting
	if rt.usage == 0 || want < max(1, base/20) {
		return
	}
	type member struct {
		name  string
		usage Units
		rank  uint64
	}
	var all []member
	for _, name := range c.alive {
		m := member{name: name, rank: rank(c.terms.Self, name, rt.need.Key)}
		if s, ok := rt.slots[name]; ok && c.now-s.at <= freshFor {
			m.usage = s.count.Usage
		}
		if m.usage < base/2 {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b member) int { return cmp.Or(cmp.Compare(a.usage, b.usage), cmp.Compare(a.rank, b.rank)) })
	for _, m := range all[:min(askOf, len(all))] {
		a := Ask{rt.need.Key, want/Units(min(askOf, len(all))) + 1, c.rng.Uint64()}
		rt.asked[a.No] = ask{m.name, a.Units, c.now}
		asks[m.name] = append(asks[m.name], a)
		c.sums.Asked++
	}
}

// rank orders members for one courier and route, by rendezvous hashing.
func rank(self, other string, k Key) uint64 {
	h := fnv.New64a()
	for _, s := range []string{self, other, k.Endpoint} {
		h.Write([]byte(s))
		h.Write([]byte{0, byte(k.Dest), byte(k.Dest >> 8)})
	}
	return h.Sum64()
}
