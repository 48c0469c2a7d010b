package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Shares of limits that couriers grant one another: leases by the lessee's clock.

type lease struct {
	courier string
	id      uint64
	units   Units
	until   Micros
}

type request struct {
	courier string
	units   Units
	at      Micros
}

// away is what of the base part is not this courier's to use now.
func (c *Allocator) grantedUnits(route *route) (sum Units) {
	if c.now < c.leaseUntil {
		sum = c.baseUnits() / 2 // as much as an earlier start may have granted
	}
	for _, lease := range route.grants {
		if c.now < lease.until {
			sum += lease.units
		}
	}
	return sum
}

// leased is what others' leases add, of those that hold for a while longer.
func (c *Allocator) leasedUnits(route *route, longer Micros) (sum Units, until Micros) {
	for _, lease := range route.leases {
		if c.now+longer < lease.until {
			if sum += lease.units; until == 0 || lease.until < until {
				until = lease.until
			}
		}
	}
	return sum, until
}

// take adds a lease, until a span after it was asked for, once.
func (c *Allocator) acceptLeases(from string, l Lease) {
	rt := c.routes[l.Key]
	if rt == nil {
		return
	}
	a, ok := rt.requests[l.LeaseID]
	if !ok || a.courier != from || l.Units > a.units || c.now >= a.at+span {
		c.counters.Late++
		return
	}
	delete(rt.requests, l.LeaseID)
	c.counters.Leased++
	rt.leases = append(rt.leases, lease{from, l.LeaseID, l.Units, a.at + span})
}

// grant gives of what this courier does not need, half of its base part at most, and takes it off first. A tenth is kept for what comes
// unforeseen; less than a fiftieth is not value a word.
func (c *Allocator) grantLeases(to string, a Request) (Lease, bool) {
	route := c.routes[a.Key]
	if route == nil {
		route = c.route(a.Key) // nobody needs it here
	}
	if route == nil || !slices.Contains(c.isAlive, to) {
		return Lease{}, false
	}
	for _, lease := range route.grants {
		if lease.courier == to && lease.id == a.LeaseID {
			return Lease{}, false // a doubled ask
		}
	}
	base, away := c.baseUnits(), c.grantedUnits(route)
	units := min(a.Units, base-away-route.usage*5/4-base/10, base/2-away)
	if units < max(1, base/50) {
		return Lease{}, false
	}
	route.grants = append(route.grants, lease{to, a.LeaseID, units, c.now + backAfter})
	c.counters.Granted++
	return Lease{a.Key, units, a.LeaseID}, true
}

// ask seeks what is wanted beyond this courier's part: a quarter over what it uses, and what waits, within a second. Courier uses least of
// the limit is asked first, and of those alike each courier asks others, drawn by the names.
func (c *Allocator) requestLeases(route *route, asks map[string][]Request) {
	base := c.baseUnits()
	lasting, _ := c.leasedUnits(route, span/2)
	for _, a := range route.requests {
		if c.now-a.at < span/4 {
			lasting += a.units
		}
	}
	waiting := Units(min(float64(whole), float64(route.demand.Waiting)/route.demand.Limit*float64(whole)))
	want := min(whole-base, route.usage*5/4+waiting) - (base - c.grantedUnits(route)) - lasting
	if route.usage == 0 || want < max(1, base/20) {
		return
	}
	type member struct {
		name  string
		usage Units
		rank  uint64
	}
	var all []member
	for _, name := range c.isAlive {
		m := member{name: name, rank: rank(c.config.Self, name, route.demand.Key)}
		if slot, ok := route.peerSamples[name]; ok && c.now-slot.at <= sampleLifetime {
			m.usage = slot.count.Usage
		}
		if m.usage < base/2 {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b member) int { return cmp.Or(cmp.Compare(a.usage, b.usage), cmp.Compare(a.rank, b.rank)) })
	for _, m := range all[:min(requestOf, len(all))] {
		a := Request{route.demand.Key, want/Units(min(requestOf, len(all))) + 1, c.rng.Uint64()}
		route.requests[a.LeaseID] = request{m.name, a.Units, c.now}
		asks[m.name] = append(asks[m.name], a)
		c.counters.Requested++
	}
}

// rank orders members for one courier and route, by rendezvous hashing.
func rank(self, other string, key Key) uint64 {
	h := fnv.New64a()
	for _, s := range []string{self, other, key.Endpoint} {
		h.Write([]byte(s))
		h.Write([]byte{0, byte(key.Dest), byte(key.Dest >> 8)})
	}
	return h.Sum64()
}
