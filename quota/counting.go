package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// What couriers use of limits: counts, the load known from them, and to whom they are notified.

type sampleSlot struct {
	count Sample
	at    Micros // when it was so, by this courier's clock
}

type sample struct {
	at    Micros
	calls uint64
}

// merge keeps, of each courier, the latest count of its latest start; in any order, any number of times.
func (c *Allocator) merge(sample Sample) {
	if sample.Courier == c.config.Self {
		return
	}
	route := c.route(sample.Key)
	if route == nil {
		return
	}
	was, known := route.peerSamples[sample.Courier]
	switch {
	case known && cmp.Or(cmp.Compare(sample.Incarnation, was.count.Incarnation), cmp.Compare(sample.Sequence, was.count.Sequence)) <= 0:
		return
	case !known && c.activeLeases >= maxPeerSamples:
		c.counters.Forgotten++
		return
	}
	if !known {
		c.activeLeases++
	}
	route.peerSamples[sample.Courier] = sampleSlot{sample, c.now - sample.Age}
}

// follow has the load that is notified follow the one that is known, as slowly as use is measured. Failure: couriers that all knew the same
// fresh load held back and let go in step, and the more they knew the worse.
func (c *Allocator) fleetChanged(route *route) {
	sum, heard := c.load(route)
	if !heard {
		return
	}
	load, passed := float64(sum)/float64(whole), c.now-route.loadAt
	if route.loadAt > 0 && passed < sampleLifetime {
		load = route.load + (load-route.load)*(1-math.Exp(-float64(passed)/float64(rateOver)))
	}
	route.load, route.loadAt = load, c.now
}

// load is what all couriers use of a limit, as far as it is known: what is known of by word, and at least as much as those who spoke
// for themselves lately make likely for all. False where nobody was heard.
func (c *Allocator) load(route *route) (sum Units, heard bool) {
	known, said := Units(0), Units(0)
	for who, slot := range route.peerSamples {
		if c.now-slot.at > sampleLifetime {
			continue
		}
		known, heard = known+slot.count.Usage, true
		if at, ok := c.direct[who]; ok && c.now-at <= sampleLifetime {
			said += slot.count.Usage
		}
	}
	likely := float64(said) * float64(len(c.isAlive)) / float64(max(1, len(c.direct)))
	return route.usage + max(known, Units(likely)), heard
}

// spread says asks to whom they are for, and counts to some members: this courier's own first, then others' in step.
func (c *Allocator) spread(keys []Key, asks map[string][]Request) {
	var own, others []Sample
	from := 0
	if c.activeLeases > maxPeers {
		from = int(c.nextLeaseID % uint64(len(keys)))
	}
	for i := range keys {
		key := keys[(from+i)%len(keys)]
		route := c.routes[key]
		if sample := route.demand; route.usage > 0 {
			own = append(own, Sample{Key: key, Courier: c.config.Self, Incarnation: c.config.Incarnation, Sequence: c.nextLeaseID, Calls: sample.Calls, Delivered: sample.Delivered, Throttled: sample.Throttled, Usage: route.usage})
		}
		if len(others) >= maxPeers {
			continue
		}
		for _, who := range slices.Sorted(maps.Keys(route.peerSamples)) {
			if slot := route.peerSamples[who]; c.now-slot.at <= sampleLifetime/2 {
				sample := slot.count
				sample.Age = max(0, c.now-slot.at)
				others = append(others, sample)
			}
		}
	}
	slices.SortStableFunc(own, func(a, b Sample) int { return cmp.Compare(b.Usage, a.Usage) })
	to, hear := map[string]Packet{}, map[string]bool{}
	for _, i := range c.rng.Perm(len(c.isAlive))[:min(sayTo, len(c.isAlive))] {
		hear[c.isAlive[i]] = true
		to[c.isAlive[i]] = Packet{}
	}
	for name, a := range asks {
		to[name] = Packet{Requests: a}
	}
	said := 0
	for _, name := range slices.Sorted(maps.Keys(to)) {
		packet, room := Packet{}, newPacketBudget(c.config.Self)
		for _, a := range to[name].Requests { // those beyond are lost, and asked again
			if room.take(a.size()) {
				packet.Requests = append(packet.Requests, a)
			}
		}
		if hear[name] {
			for i := 0; i < len(own) && room.take(own[i].size()); i++ {
				packet.Counts = append(packet.Counts, own[i])
			}
			for i := 0; i < len(others); i++ {
				sample := others[(c.rotation+i)%len(others)]
				if !room.take(sample.size()) {
					break
				}
				packet.Counts, said = append(packet.Counts, sample), max(said, i+1)
			}
		}
		c.send(name, packet) // also where nothing is used: that is value knowing, too
	}
	c.rotation += said
}
