package dispatch

import "math"

const (
	intervalStep      = 10 * millisecond // shortest interval; a shorter one is set to 0
	maxInterval       = second
	lowRemainingShare = 0.3         // of a limit: load reports lag by some calls and vary by a seventh
	rateDecayTime     = 30 * second // of rates that change over a day, such as this courier's rate at a server
)

// remainingShare returns the share of a limit that is left. Where calls are rare, the last report is old, and
// it is assumed that the limit has recovered since. The more calls to the endpoint type are throttled, the
// less it recovers, and from one in seven on not at all.
func (d *Dispatcher) remainingShare(group *endpointGroup) float64 {
	switch {
	case !group.reported:
		return 1
	case d.fairRate(group) >= lowCallRate:
		return group.remaining
	}
	sum := d.throttled[group.destination.typeIndex].decay(d.now, rateDecayTime)
	age := float64(d.now - group.reportedAt)
	return group.remaining + max(0, 1-7*sum.sum/(sum.count+3))*age/float64(10*second)
}

// rateLimit returns the limit of a group for all couriers together, in calls per second, as listed or
// reported; 0 if unknown.
func (d *Dispatcher) rateLimit(group *endpointGroup) float64 {
	if d.config.RateQuality == RoughRates && !group.reported {
		return group.rate * 0.67 // listed rates are up to 50 % too high
	}
	return group.rate
}

// fairRate returns this courier's share of a group's limit, in calls per second. Where no limit is known, it
// is ownRate plus a further margin, as most limits lie well above the usual call rate, and at least one call
// per second for the fleet.
func (d *Dispatcher) fairRate(group *endpointGroup) float64 {
	divisor := float64(max(1, d.config.Couriers)) / (1 + group.quota.balance(d.now))
	if limit := d.rateLimit(group); limit > 0 {
		return limit / divisor
	}
	return max(1.3*d.ownRate(group), 1/divisor)
}

// fairInterval returns the interval between calls at the fair rate.
func (d *Dispatcher) fairInterval(group *endpointGroup) Micros {
	return Micros(float64(second) / d.fairRate(group))
}

// ownRate returns the higher of this courier's delivery rates now and before an outage, plus a margin, as
// limits lie above the usual call rate.
func (d *Dispatcher) ownRate(group *endpointGroup) float64 {
	return 1.4 * max(group.usualRate, d.deliveryRate(group))
}

// deliveryRate returns the rate of deliveries, in calls per second. For the first 15 s of a group, and if no
// limit is known, it is at least the rate of messages accepted within quota.
func (d *Dispatcher) deliveryRate(group *endpointGroup) float64 {
	count := group.deliveries.decay(d.now, rateDecayTime).count
	if d.now-group.countedSince < 15*second && group.rate == 0 {
		count = max(count, group.destination.accepted.decay(d.now, rateDecayTime).count)
	}
	return count / d.countedSpan(group) * float64(second)
}

// countedSpan returns the effective time, in microseconds, over which the decaying counts of a group were
// collected.
func (d *Dispatcher) countedSpan(group *endpointGroup) float64 {
	counted := float64(max(d.now-group.countedSince, 5*second))
	return float64(rateDecayTime) * (1 - math.Exp(-counted/float64(rateDecayTime)))
}

// narrowInterval shortens a group's interval after a delivery: by a quarter, or by a sixteenth near the
// interval at which a call was last throttled. With steps of a quarter near that interval, every third call
// would be throttled.
func (d *Dispatcher) narrowInterval(group *endpointGroup, retryAfter Micros) {
	parts := Micros(4)
	if group.interval*4 <= group.throttledInterval*5 && group.interval*4 >= group.throttledInterval*3 {
		parts = 16
	}
	if group.reported && group.remaining >= lowRemainingShare && retryAfter == 0 {
		group.interval = min(group.interval, d.fairInterval(group)) // enough is left: the interval is outdated
	}
	if group.interval = min(group.interval, 4*maxInterval) * (parts - 1) / parts; group.interval < intervalStep {
		group.interval = 0
	}
}

// widenInterval doubles a group's interval, at most once per instant. It is called after throttling and,
// where calls are rare, after failures, as six consecutive failures to open the breaker come too late. The
// interval starts at a sixth of the fair interval, at most 4 s, and does not exceed the longer of maxInterval
// and the fair interval. Where calls are rare, it starts at a random value from one to four times minInitial.
// Callers pass a short minInitial for throttling, as bursts are over within seconds, and a long one for
// failures and for unexpected throttling.
func (d *Dispatcher) widenInterval(group *endpointGroup, minInitial Micros) {
	if group.widenedAt == d.now {
		return
	}
	group.widenedAt, group.throttledInterval = d.now, group.interval
	start := min(d.fairInterval(group)/6, 4*maxInterval)
	if d.fairRate(group) < lowCallRate {
		start = minInitial + Micros(d.rng.Int63n(int64(3*minInitial)))
	}
	group.interval = min(max(maxInterval, d.fairInterval(group)), max(intervalStep, start, 2*group.interval))
}

// interval returns the minimum interval between two calls to a group.
func (d *Dispatcher) interval(group *endpointGroup) Micros {
	interval, warm := group.interval, d.warmShare(group)
	if left := min(d.remainingShare(group), 1-group.quota.load(d.now)); left < lowRemainingShare {
		// The limit is nearly exhausted, or was lowered: move towards this courier's share of it.
		interval = max(interval, Micros((1-left/lowRemainingShare)*float64(d.fairInterval(group))))
	}
	if group.outage || group.warmingUp {
		// Together with the messages that readyAt sends at once, the load stays below the overload factor
		// times the warm capacity, as the capacity lies above the limit. All couriers together may always
		// send one call per second.
		rate := max(d.fairRate(group), d.ownRate(group)) * max(1, 0.7*d.config.OverloadFactor)
		slowest := Micros(max(2, d.config.Couriers)) * second
		interval = max(interval, min(Micros(float64(second)/(rate*warm)), slowest))
	}
	return interval
}
