package dispatch

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// addEndpoint ranks a new endpoint by rendezvous hashing, by courier: else all couriers would fill one.
func (d *Dispatcher) addEndpoint(entry EndpointEntry) *endpoint {
	destination := d.destination(entry.Destination)
	if int(entry.Type) < len(d.config.EndpointTypes) {
		destination.endpointType = d.config.EndpointTypes[entry.Type]
	}
	destination.typeIndex = min(int(entry.Type), len(d.throttled)-1)
	hash := fnv.New64a()
	hash.Write(binary.LittleEndian.AppendUint32(nil, uint32(d.config.CourierNumber)))
	hash.Write(binary.LittleEndian.AppendUint32([]byte(entry.Endpoint), uint32(entry.Destination)))
	endpoint := d.newEndpoint(entry, destination, hash.Sum64())
	slices.SortFunc(destination.endpoints, d.compareRank)
	return endpoint
}

// compareRank orders endpoints by cost, then by hash.
func (d *Dispatcher) compareRank(a, b *endpoint) int {
	return cmp.Or(cmp.Compare(d.cost(a), d.cost(b)), cmp.Compare(a.rank, b.rank))
}

// cost is what a call to an endpoint costs by its zone.
func (d *Dispatcher) cost(endpoint *endpoint) (cost float64) {
	if endpoint.Zone != d.config.Zone {
		cost = d.config.CrossZoneCost
	}
	if endpoint.destination.endpointType.Separate && int(endpoint.Zone) < len(d.config.GroupCost) {
		cost += d.config.GroupCost[endpoint.Zone]
	}
	return cost
}

// mayReceive reports whether the rules allow a message to be sent to an endpoint now.
func (d *Dispatcher) mayReceive(message *message, endpoint *endpoint) bool {
	class := message.class
	if endpoint.Phase != InService || d.disabled[endpoint.Endpoint] {
		return false
	}
	if d.now < d.local.pausedUntil {
		d.scheduleAt(d.local.pausedUntil)
		return false
	}
	if until, overdue := d.listing.overdue(d.now); overdue {
		d.scheduleAt(until)
		return false
	}
	// The end of the process cuts off calls, which fails an at-most-once message: none is sent near it.
	if class.Idempotency == AtMostOnce && d.now+2*d.expectedDuration(endpoint.group) > d.shutdownAt {
		return false
	}
	if at := message.order.sendableAt(message); at > d.now {
		d.scheduleAt(at)
		return false
	}
	if !message.mayHaveRun || class.Idempotency != IdempotencyKey {
		return true
	}
	inWindow := d.now < message.ranAt+class.IdempotencyWindow-d.config.Tick
	return inWindow && (!class.SameZone || endpoint.Zone == message.ranZone)
}

// selectEndpoint returns the endpoint for a message: the first in rank, or a later one with fewer calls in
// flight; nil if none is ready. Ejected endpoints, and the one where the last attempt failed, are used only
// if there is no other.
func (d *Dispatcher) selectEndpoint(message *message) (best *endpoint, trial bool) {
	var spare *endpoint
	least := 0
	for _, endpoint := range message.destination.endpoints {
		if !d.mayReceive(message, endpoint) {
			continue
		}
		at := max(d.readyAt(message, endpoint.group), endpoint.lastCall+d.maintenanceInterval(endpoint))
		if at > d.now {
			d.scheduleAt(at)
			continue
		}
		ejectedUntil := max(endpoint.ejectedUntil, endpoint.classRuns[message.classID].ejectedUntil)
		if ejectedUntil > d.now || endpoint == message.failedAt {
			spare = cmp.Or(spare, endpoint)
			continue
		}
		calls := endpoint.calls
		if endpoint.Zone != d.config.Zone && d.config.CrossZoneCost > 0 {
			calls++ // crossing zones takes time, too: a nearer endpoint may have one more call
		}
		if best == nil || calls < least {
			best, least = endpoint, calls
		}
	}
	best = cmp.Or(best, spare)
	return best, best != nil && best.group.breakers[message.classID].state == breakerHalfOpen
}

// readyAt is when a group takes a message, as far as known; never while a trial of its breaker is in flight.
func (d *Dispatcher) readyAt(message *message, group *endpointGroup) Micros {
	b := &group.breakers[message.classID]
	b.tryHalfOpen(d.now)
	switch {
	case b.state == breakerOpen:
		return b.openUntil
	case b.state == breakerHalfOpen && b.trial != nil:
		return never
	}
	interval, overdue := d.interval(group), 2*d.expectedDuration(group)+second/4
	// Silence: two attempts overdue and no answer since. Single calls may get lost, so one is sent now and then.
	flight := group.inFlight
	if len(flight) > 1 && group.lastAnswer < flight[1].sentAt && d.now-flight[1].sentAt > overdue {
		interval = max(interval, overdue)
	}
	if !group.outage && !group.warmingUp && d.fairRate(group) < 4*rareRate {
		// No single queue sorts what waits at many couriers: messages that lose less by waiting keep a longer
		// interval, up to four times, or those that lose nothing would never be sent.
		urgency := math.Cbrt(d.maxLossRate / max(d.lossRate(message.class), 1e-12))
		interval = Micros(float64(interval) * min(4, max(1, urgency)))
	}
	// Couriers with the same Retry-After would all call at its end: each adds jitter.
	at := group.retryAfterUntil + Micros(group.draw*float64(interval))
	// A courier with rare calls cannot keep an interval: a random share of its new messages is sent at once.
	drawn := len(message.attempts) == 0 && message.draw < 0.4*d.config.OverloadFactor*d.warmShare(group)
	if drawn && (group.outage || group.warmingUp) && d.fairRate(group) < rareRate {
		return at
	}
	return max(at, group.lastCall+interval)
}

// isCrowdedOut reports whether an idle connection to an endpoint would keep others out: 15 in 1,000 calls to
// the endpoint type found its connection table full, and more than four connections of all couriers would be
// idle there (the smallest tables hold six). It misjudges where an outage that refuses connections looks the
// same: see observeCrowding.
func (d *Dispatcher) isCrowdedOut(endpoint *endpoint) bool {
	calls := endpoint.callCount.decay(d.now, rateSpan).weight / d.countedSpan(endpoint.group) // a microsecond
	idle := min(1, calls*float64(d.config.IdleTimeout)) - 1.5*calls*float64(d.expectedDuration(endpoint.group))
	crowding, share := &d.crowding[endpoint.destination.typeIndex], 0.015
	if crowding.active {
		share = 0.005 // an outage is over in seconds; crowding returns when connections stay open again
	}
	crowding.decay(d.now, rateSpan)
	crowding.active = crowding.sum > share*(crowding.weight+5)
	return crowding.active && float64(d.config.Couriers)*idle > 4
}
