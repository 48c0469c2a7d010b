package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// This file samples how much couriers use of the limits, estimates the load from the samples, and distributes the samples.

type peerSample struct {
	sample Sample
	at     Micros // when the sample was taken, on this courier's clock
}

type callSample struct {
	at    Micros
	calls uint64
}

// merge keeps the latest sample of the latest incarnation of each courier. Samples may arrive in any order and more than once.
func (c *Allocator) merge(sample Sample) {
	if sample.Courier == c.config.Self {
		return
	}
	group := c.groupFor(sample.Key)
	if group == nil {
		return
	}
	previous, known := group.peerSamples[sample.Courier]
	switch {
	case known && cmp.Or(cmp.Compare(sample.Incarnation, previous.sample.Incarnation), cmp.Compare(sample.Sequence, previous.sample.Sequence)) <= 0:
		return
	case !known && c.peerSampleCount >= maxPeerSamples:
		c.counters.Dropped++
		return
	}
	if !known {
		c.peerSampleCount++
	}
	group.peerSamples[sample.Courier] = peerSample{sample, c.now - sample.Age}
}

// updateSmoothedLoad moves the reported load towards the estimated load, exponentially with the time constant usageWindow. The first
// estimate, and an estimate more than sampleLifetime after the last one, is reported as it is. Incident: without smoothing, couriers with
// the same estimate slowed down and sped up in step, the more so the more samples they had.
func (c *Allocator) updateSmoothedLoad(group *groupState) {
	usage, known := c.estimateLoad(group)
	if !known {
		return
	}
	load, elapsed := float64(usage)/float64(fullLimit), c.now-group.loadUpdatedAt
	if group.loadUpdatedAt > 0 && elapsed < sampleLifetime {
		load = group.smoothedLoad + (load-group.smoothedLoad)*(1-math.Exp(-float64(elapsed)/float64(usageWindow)))
	}
	group.smoothedLoad, group.loadUpdatedAt = load, c.now
}

// estimateLoad estimates how much of a limit all couriers use together. It adds this courier's usage to the larger of two numbers: the sum
// of the current samples, and the mean usage of the members that sent packets directly, multiplied by the number of alive members. It
// returns false if there are no current samples.
func (c *Allocator) estimateLoad(group *groupState) (usage Units, known bool) {
	knownUsage, directUsage := Units(0), Units(0)
	for name, peer := range group.peerSamples {
		if c.now-peer.at > sampleLifetime {
			continue
		}
		knownUsage, known = knownUsage+peer.sample.Usage, true
		if at, ok := c.directPacketAt[name]; ok && c.now-at <= sampleLifetime {
			directUsage += peer.sample.Usage
		}
	}
	extrapolated := float64(directUsage) * float64(len(c.alive)) / float64(max(1, len(c.directPacketAt)))
	return group.usage + max(knownUsage, Units(extrapolated)), known
}

// sendPackets sends the requests to their target members, and samples to sampleFanout random members. A packet holds this courier's own
// samples first, then forwarded samples of other couriers in rotation.
func (c *Allocator) sendPackets(keys []Key, requests map[string][]Request) {
	var own, forwarded []Sample
	first := 0
	if c.peerSampleCount > maxForwardedSamples { // not all samples are collected: start with a different group in each tick
		first = int(c.sequence % uint64(len(keys)))
	}
	for i := range keys {
		key := keys[(first+i)%len(keys)]
		group := c.groups[key]
		if demand := group.demand; group.usage > 0 {
			own = append(own, Sample{Key: key, Courier: c.config.Self, Incarnation: c.config.Incarnation, Sequence: c.sequence, Calls: demand.Calls, Delivered: demand.Delivered, Throttled: demand.Throttled, Usage: group.usage})
		}
		if len(forwarded) >= maxForwardedSamples {
			continue
		}
		for _, courier := range slices.Sorted(maps.Keys(group.peerSamples)) {
			if peer := group.peerSamples[courier]; c.now-peer.at <= sampleLifetime/2 {
				sample := peer.sample
				sample.Age = max(0, c.now-peer.at)
				forwarded = append(forwarded, sample)
			}
		}
	}
	slices.SortStableFunc(own, func(a, b Sample) int { return cmp.Compare(b.Usage, a.Usage) })
	packets, sampleTargets := map[string]Packet{}, map[string]bool{}
	for _, i := range c.rng.Perm(len(c.alive))[:min(sampleFanout, len(c.alive))] {
		sampleTargets[c.alive[i]] = true
		packets[c.alive[i]] = Packet{}
	}
	for name, request := range requests {
		packets[name] = Packet{Requests: request}
	}
	forwardedCount := 0
	for _, name := range slices.Sorted(maps.Keys(packets)) {
		packet, budget := Packet{}, newPacketBudget(c.config.Self)
		for _, request := range packets[name].Requests { // requests that do not fit are dropped and made again in a later tick
			if budget.reserve(request.size()) {
				packet.Requests = append(packet.Requests, request)
			}
		}
		if sampleTargets[name] {
			for i := 0; i < len(own) && budget.reserve(own[i].size()); i++ {
				packet.Samples = append(packet.Samples, own[i])
			}
			for i := 0; i < len(forwarded); i++ {
				sample := forwarded[(c.forwardOffset+i)%len(forwarded)]
				if !budget.reserve(sample.size()) {
					break
				}
				packet.Samples, forwardedCount = append(packet.Samples, sample), max(forwardedCount, i+1)
			}
		}
		c.send(name, packet) // also if it is empty: the receiver records direct contact, see estimateLoad
	}
	c.forwardOffset += forwardedCount
}
