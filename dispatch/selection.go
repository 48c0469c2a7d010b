package dispatch

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// addEndpoint adds an endpoint and ranks it by rendezvous hashing. The hash includes the courier number, as
// otherwise all couriers would fill the same endpoint first.
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

// cost returns the configured cost of an endpoint, which depends on its zone.
func (d *Dispatcher) cost(endpoint *endpoint) (cost float64) {
	if endpoint.Zone != d.config.Zone {
		cost = d.config.CrossZoneCost
	}
	if endpoint.destination.endpointType.Separate && int(endpoint.Zone) < len(d.config.GroupCost) {
		cost += d.config.GroupCost[endpoint.Zone]
	}
	return cost
}

// mayReceive reports whether a message may be sent to an endpoint now, apart from intervals and breakers.
func (d *Dispatcher) mayReceive(message *message, endpoint *endpoint) bool {
	class := message.class
	if endpoint.Phase != InService || d.disabled[endpoint.Endpoint] {
		return false
	}
	if d.now < d.localFault.pausedUntil {
		d.scheduleAt(d.localFault.pausedUntil)
		return false
	}
	if until, stale := d.listStatus.stale(d.now); stale {
		d.scheduleAt(until)
		return false
	}
	// A shutdown cuts off calls, which fails at-most-once messages: none of them is sent shortly before it.
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

// selectEndpoint returns the endpoint for a message: of those that are ready, the one with the fewest calls
// in flight, and of equal ones the first in rank; nil if none is ready. Ejected endpoints, and the one where
// the last attempt failed, are used only if there is no other. trial is set if the call is a breaker's trial.
func (d *Dispatcher) selectEndpoint(message *message) (best *endpoint, trial bool) {
	var fallback *endpoint
	least := 0
	for _, endpoint := range message.destination.endpoints {
		if !d.mayReceive(message, endpoint) {
			continue
		}
		at := max(d.readyAt(message, endpoint.group), endpoint.lastCall+d.warmupInterval(endpoint))
		if at > d.now {
			d.scheduleAt(at)
			continue
		}
		ejectedUntil := max(endpoint.ejectedUntil, endpoint.classRuns[message.classID].ejectedUntil)
		if ejectedUntil > d.now || endpoint == message.avoidEndpoint {
			fallback = cmp.Or(fallback, endpoint)
			continue
		}
		calls := endpoint.calls
		if endpoint.Zone != d.config.Zone && d.config.CrossZoneCost > 0 {
			calls++ // calls to another zone take longer: an endpoint of the courier's zone may have one call more
		}
		if best == nil || calls < least {
			best, least = endpoint, calls
		}
	}
	best = cmp.Or(best, fallback)
	return best, best != nil && best.group.breakers[message.classID].state == breakerHalfOpen
}

// readyAt returns the earliest instant at which the breaker, the Retry-After and the interval of a group
// allow a message to be sent there; never while a trial of the breaker is in flight.
func (d *Dispatcher) readyAt(message *message, group *endpointGroup) Micros {
	b := &group.breakers[message.classID]
	b.tryHalfOpen(d.now)
	switch {
	case b.state == breakerOpen:
		return b.openUntil
	case b.state == breakerHalfOpen && b.trial != nil:
		return never
	}
	interval, overdueAfter := d.interval(group), 2*d.expectedDuration(group)+second/4
	// The group is silent: the two oldest attempts are overdue, and no answer came since the second one was
	// sent. As single calls may get lost, further calls are sent, at the interval overdueAfter.
	flight := group.inFlight
	if len(flight) > 1 && group.lastAnswer < flight[1].sentAt && d.now-flight[1].sentAt > overdueAfter {
		interval = max(interval, overdueAfter)
	}
	if !group.outage && !group.warmingUp && d.fairRate(group) < 4*lowCallRate {
		// A courier cannot sort its messages among those of all other couriers. It therefore sends messages
		// that lose less value by waiting at a longer interval. The interval is at most four times as long,
		// as messages that lose nothing would otherwise never be sent.
		intervalFactor := math.Cbrt(d.maxValueLossRate / max(d.valueLossRate(message.class), 1e-12))
		interval = Micros(float64(interval) * min(4, max(1, intervalFactor)))
	}
	// Couriers with the same Retry-After would all call when it ends: each adds jitter.
	at := group.retryAfterUntil + Micros(group.retryAfterJitter*float64(interval))
	// A courier with rare calls cannot pace them by an interval: it sends a random share of new messages at
	// once, 0.4 of what the warm-up allows. Dispatcher.interval uses another 0.7.
	sampled := len(message.attempts) == 0 && message.sample < 0.4*d.config.OverloadFactor*d.warmShare(group)
	if sampled && (group.outage || group.warmingUp) && d.fairRate(group) < lowCallRate {
		return at
	}
	return max(at, group.lastCall+interval)
}

// shouldCloseIdle reports whether idle connections to an endpoint would block other couriers: more than 15 in
// 1,000 calls to the endpoint type were refused by a full connection table, and more than four connections of
// all couriers would be idle there (the smallest connection tables of servers hold six). An outage that
// refuses connections may be mistaken for full tables; observeRefusals limits this.
func (d *Dispatcher) shouldCloseIdle(endpoint *endpoint) bool {
	// calls is the call rate per microsecond. idle is the expected number of idle connections of this
	// courier: the open ones, without those in use, with a margin of one half.
	calls := endpoint.callCount.decay(d.now, rateDecayTime).count / d.countedSpan(endpoint.group)
	idle := min(1, calls*float64(d.config.IdleTimeout)) - 1.5*calls*float64(d.expectedDuration(endpoint.group))
	refusals, threshold := &d.connectionRefusals[endpoint.destination.typeIndex], 0.015
	if refusals.tablesFull {
		threshold = 0.005 // hysteresis: when connections stay open again, the tables soon fill up
	}
	refusals.decay(d.now, rateDecayTime)
	refusals.tablesFull = refusals.sum > threshold*(refusals.count+5)
	return refusals.tablesFull && float64(d.config.Couriers)*idle > 4
}
