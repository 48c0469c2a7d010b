package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// This file handles both sides of a lease: grants to other couriers, and leases that this courier requested.

type lease struct {
	courier string // the other courier
	id      uint64
	units   Units
	until   Micros
}

type request struct {
	courier string // the member to which the request was sent
	units   Units
	at      Micros // when the request was sent
}

// grantedUnits returns how much of the base share is currently granted.
func (c *Allocator) grantedUnits(group *groupState) (sum Units) {
	if c.now < c.earlierGrantsUntil {
		sum = c.baseUnits() / 2 // the most that an earlier incarnation may have granted
	}
	for _, lease := range group.grants {
		if c.now < lease.until {
			sum += lease.units
		}
	}
	return sum
}

// leasedUnits returns the sum of the leases that are valid for longer than margin, and when the first of them ends.
func (c *Allocator) leasedUnits(group *groupState, margin Micros) (sum Units, until Micros) {
	for _, lease := range group.leases {
		if c.now+margin < lease.until {
			if sum += lease.units; until == 0 || lease.until < until {
				until = lease.until
			}
		}
	}
	return sum, until
}

// acceptLease adds a lease that this courier requested. The lease is valid until leaseDuration after the request. At most one
// lease is accepted per request.
func (c *Allocator) acceptLease(from string, granted Lease) {
	group := c.groups[granted.Key]
	if group == nil {
		return
	}
	pending, ok := group.requests[granted.LeaseID]
	if !ok || pending.courier != from || granted.Units > pending.units || c.now >= pending.at+leaseDuration {
		c.counters.Rejected++
		return
	}
	delete(group.requests, granted.LeaseID)
	c.counters.Leased++
	group.leases = append(group.leases, lease{from, granted.LeaseID, granted.Units, pending.at + leaseDuration})
}

// grantLease grants the part of the base share that this courier does not need, at most half of the base share, and records the grant
// before the lease is sent. The courier keeps its own usage plus a quarter of it, and a tenth of the base share for an increase of its
// usage. Grants below a fiftieth of the base share are not worth a packet and are not made.
func (c *Allocator) grantLease(to string, request Request) (Lease, bool) {
	group := c.groups[request.Key]
	if group == nil {
		group = c.groupFor(request.Key) // this courier has no demand for the group
	}
	if group == nil || !slices.Contains(c.alive, to) {
		return Lease{}, false
	}
	for _, lease := range group.grants {
		if lease.courier == to && lease.id == request.LeaseID {
			return Lease{}, false // a duplicate request
		}
	}
	base, granted := c.baseUnits(), c.grantedUnits(group)
	units := min(request.Units, base-granted-group.usage*5/4-base/10, base/2-granted)
	if units < max(1, base/50) {
		return Lease{}, false
	}
	group.grants = append(group.grants, lease{to, request.LeaseID, units, c.now + grantDuration})
	c.counters.Granted++
	return Lease{request.Key, units, request.LeaseID}, true
}

// requestLeases requests what this courier needs beyond its current share. The courier needs its usage plus a quarter, plus enough to send
// the waiting messages within one second. Nothing is requested without usage, or for a need below a twentieth of the base share. Requests
// go to the members that use the least of the limit, and never to a member that uses half of its base share or more. Among members with
// equal usage, rendezvous hashing gives each courier a different order.
//
// Leases count only while they are valid for more than leaseDuration/2, so that new ones are requested before they end. Pending requests
// count for leaseDuration/4, after which unanswered requests are made again.
func (c *Allocator) requestLeases(group *groupState, requests map[string][]Request) {
	base := c.baseUnits()
	expected, _ := c.leasedUnits(group, leaseDuration/2)
	for _, pending := range group.requests {
		if c.now-pending.at < leaseDuration/4 {
			expected += pending.units
		}
	}
	waiting := Units(min(float64(fullLimit), float64(group.demand.Waiting)/group.demand.Limit*float64(fullLimit)))
	wanted := min(fullLimit-base, group.usage*5/4+waiting) - (base - c.grantedUnits(group)) - expected
	if group.usage == 0 || wanted < max(1, base/20) {
		return
	}
	type member struct {
		name  string
		usage Units
		rank  uint64
	}
	var candidates []member
	for _, name := range c.alive {
		m := member{name: name, rank: rendezvousRank(c.config.Self, name, group.demand.Key)}
		if peer, ok := group.peerSamples[name]; ok && c.now-peer.at <= sampleLifetime {
			m.usage = peer.sample.Usage
		}
		if m.usage < base/2 {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b member) int { return cmp.Or(cmp.Compare(a.usage, b.usage), cmp.Compare(a.rank, b.rank)) })
	for _, m := range candidates[:min(requestFanout, len(candidates))] {
		sent := Request{group.demand.Key, wanted/Units(min(requestFanout, len(candidates))) + 1, c.rng.Uint64()}
		group.requests[sent.LeaseID] = request{m.name, sent.Units, c.now}
		requests[m.name] = append(requests[m.name], sent)
		c.counters.Requested++
	}
}

// rendezvousRank returns the sort key of another member for one courier and group, by rendezvous hashing.
func rendezvousRank(self, other string, key Key) uint64 {
	h := fnv.New64a()
	for _, s := range []string{self, other, key.Endpoint} {
		h.Write([]byte(s))
		h.Write([]byte{0, byte(key.Dest), byte(key.Dest >> 8)})
	}
	return h.Sum64()
}
