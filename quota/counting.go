package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Samples of what couriers use of limits, the load known from them, and how they spread.

type sampleSlot struct {
	count Sample
	at    Micros // when it was so, by this courier's clock
}

type sample struct {
	at    Micros
	calls uint64
}

// merge keeps the latest sample of the latest incarnation of each courier; samples may come in any order, any number of times.
func (c *Allocator) merge(sample Sample) {
	if sample.Courier == c.config.Self {
		return
	}
	route := c.group(sample.Key)
	if route == nil {
		return
	}
	was, known := route.peerSamples[sample.Courier]
	switch {
	case known && cmp.Or(cmp.Compare(sample.Incarnation, was.count.Incarnation), cmp.Compare(sample.Sequence, was.count.Sequence)) <= 0:
		return
	case !known && c.peerSampleCount >= maxPeerSamples:
		c.counters.Dropped++
		return
	}
	if !known {
		c.peerSampleCount++
	}
	route.peerSamples[sample.Courier] = sampleSlot{sample, c.now - sample.Age}
}

// followLoad has the load that is handed out follow the one that is known, as slowly as use is measured. Failure: couriers that all knew the
// same fresh load slowed down and sped up in step, and the more they knew the worse.
func (c *Allocator) followLoad(route *groupState) {
	sum, heard := c.load(route)
	if !heard {
		return
	}
	load, passed := float64(sum)/float64(whole), c.now-route.loadAt
	if route.loadAt > 0 && passed < sampleLifetime {
		load = route.load + (load-route.load)*(1-math.Exp(-float64(passed)/float64(usageSpan)))
	}
	route.load, route.loadAt = load, c.now
}

// load is what all couriers use of a limit, as far as it is known: the sum of the samples, and at least what the members that sent theirs
// themselves make likely for all. It is false where there are no samples.
func (c *Allocator) load(route *groupState) (sum Units, heard bool) {
	known, said := Units(0), Units(0)
	for who, slot := range route.peerSamples {
		if c.now-slot.at > sampleLifetime {
			continue
		}
		known, heard = known+slot.count.Usage, true
		if at, ok := c.heardDirectly[who]; ok && c.now-at <= sampleLifetime {
			said += slot.count.Usage
		}
	}
	likely := float64(said) * float64(len(c.alive)) / float64(max(1, len(c.heardDirectly)))
	return route.usage + max(known, Units(likely)), heard
}

// spread sends requests to the members that they are for, and samples to some members: this courier's own first, then others by turns.
func (c *Allocator) spread(keys []Key, requests map[string][]Request) {
	var own, others []Sample
	from := 0
	if c.peerSampleCount > maxPeers {
		from = int(c.sequence % uint64(len(keys)))
	}
	for i := range keys {
		key := keys[(from+i)%len(keys)]
		route := c.groups[key]
		if sample := route.demand; route.usage > 0 {
			own = append(own, Sample{Key: key, Courier: c.config.Self, Incarnation: c.config.Incarnation, Sequence: c.sequence, Calls: sample.Calls, Delivered: sample.Delivered, Throttled: sample.Throttled, Usage: route.usage})
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
	slices.SortStableFunc(own, func(request, b Sample) int { return cmp.Compare(b.Usage, request.Usage) })
	to, hear := map[string]Packet{}, map[string]bool{}
	for _, i := range c.rng.Perm(len(c.alive))[:min(fanout, len(c.alive))] {
		hear[c.alive[i]] = true
		to[c.alive[i]] = Packet{}
	}
	for name, request := range requests {
		to[name] = Packet{Requests: request}
	}
	said := 0
	for _, name := range slices.Sorted(maps.Keys(to)) {
		packet, room := Packet{}, newPacketBudget(c.config.Self)
		for _, request := range to[name].Requests { // those beyond are lost, and requested again
			if room.take(request.size()) {
				packet.Requests = append(packet.Requests, request)
			}
		}
		if hear[name] {
			for i := 0; i < len(own) && room.take(own[i].size()); i++ {
				packet.Samples = append(packet.Samples, own[i])
			}
			for i := 0; i < len(others); i++ {
				sample := others[(c.rotation+i)%len(others)]
				if !room.take(sample.size()) {
					break
				}
				packet.Samples, said = append(packet.Samples, sample), max(said, i+1)
			}
		}
		c.send(name, packet) // also where nothing is used, which is worth knowing too
	}
	c.rotation += said
}
