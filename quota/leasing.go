package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Leases of shares among couriers, as both sides of a lease keep them.

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

// grantedUnits is how much of the base share is granted now.
func (c *Allocator) grantedUnits(route *groupState) (sum Units) {
	if c.now < c.ownGrantsUntil {
		sum = c.baseUnits() / 2 // as much as an earlier start may have granted
	}
	for _, lease := range route.grants {
		if c.now < lease.until {
			sum += lease.units
		}
	}
	return sum
}

// leasedUnits is what leases add that hold for a while longer, and when the first of them ends.
func (c *Allocator) leasedUnits(route *groupState, longer Micros) (sum Units, until Micros) {
	for _, lease := range route.leases {
		if c.now+longer < lease.until {
			if sum += lease.units; until == 0 || lease.until < until {
				until = lease.until
			}
		}
	}
	return sum, until
}

// acceptLeases adds a lease that was requested, until a span after its request, once.
func (c *Allocator) acceptLeases(from string, l Lease) {
	rt := c.groups[l.Key]
	if rt == nil {
		return
	}
	a, ok := rt.requests[l.LeaseID]
	if !ok || a.courier != from || l.Units > a.units || c.now >= a.at+leaseSpan {
		c.counters.Rejected++
		return
	}
	delete(rt.requests, l.LeaseID)
	c.counters.Leased++
	rt.leases = append(rt.leases, lease{from, l.LeaseID, l.Units, a.at + leaseSpan})
}

// grantLeases grants what this courier does not need, half of its base share at most, and subtracts it first. A tenth is kept for
// unforeseen use; less than a fiftieth is not worth a packet.
func (c *Allocator) grantLeases(to string, request Request) (Lease, bool) {
	route := c.groups[request.Key]
	if route == nil {
		route = c.group(request.Key) // no demand here
	}
	if route == nil || !slices.Contains(c.alive, to) {
		return Lease{}, false
	}
	for _, lease := range route.grants {
		if lease.courier == to && lease.id == request.LeaseID {
			return Lease{}, false // a duplicate request
		}
	}
	base, away := c.baseUnits(), c.grantedUnits(route)
	units := min(request.Units, base-away-route.usage*5/4-base/10, base/2-away)
	if units < max(1, base/50) {
		return Lease{}, false
	}
	route.grants = append(route.grants, lease{to, request.LeaseID, units, c.now + grantSpan})
	c.counters.Granted++
	return Lease{request.Key, units, request.LeaseID}, true
}

// requestLeases requests what is wanted beyond this courier's share: a quarter more than it uses, and what waits, within a second. Members
// that use least of the limit come first; among equals each courier prefers others, by rendezvous hashing.
func (c *Allocator) requestLeases(route *groupState, requests map[string][]Request) {
	base := c.baseUnits()
	lasting, _ := c.leasedUnits(route, leaseSpan/2)
	for _, a := range route.requests {
		if c.now-a.at < leaseSpan/4 {
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
	for _, name := range c.alive {
		m := member{name: name, rank: rank(c.config.Self, name, route.demand.Key)}
		if slot, ok := route.peerSamples[name]; ok && c.now-slot.at <= sampleLifetime {
			m.usage = slot.count.Usage
		}
		if m.usage < base/2 {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b member) int { return cmp.Or(cmp.Compare(a.usage, b.usage), cmp.Compare(a.rank, b.rank)) })
	for _, m := range all[:min(requestFanout, len(all))] {
		a := Request{route.demand.Key, want/Units(min(requestFanout, len(all))) + 1, c.rng.Uint64()}
		route.requests[a.LeaseID] = request{m.name, a.Units, c.now}
		requests[m.name] = append(requests[m.name], a)
		c.counters.Requested++
	}
}

// rank orders members for one courier and group, by rendezvous hashing.
func rank(self, other string, key Key) uint64 {
	h := fnv.New64a()
	for _, s := range []string{self, other, key.Endpoint} {
		h.Write([]byte(s))
		h.Write([]byte{0, byte(key.Dest), byte(key.Dest >> 8)})
	}
	return h.Sum64()
}
