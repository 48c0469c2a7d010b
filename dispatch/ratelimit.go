package dispatch

import "math"

const (
	intervalStep = 10 * millisecond // DESIGN's starting values
	maxInterval  = second
	scarceShare  = 0.3         // of a limit left: reports are late by some calls and noisy by a seventh
	rateSpan     = 30 * second // a server's rate for this courier is averaged over a part of a day
)

// remainingShare is the share of a limit that is left. Where calls are rare the last report is old and the
// limit has recovered since, unless many calls to the endpoint type are throttled: from one in seven they
// exhaust it.
func (d *Dispatcher) remainingShare(group *endpointGroup) float64 {
	switch {
	case !group.reported:
		return 1
	case d.fairRate(group) >= rareRate:
		return group.remaining
	}
	sum := d.throttled[group.destination.typeIndex].decay(d.now, rateSpan)
	age := float64(d.now - group.reportedAt)
	return group.remaining + max(0, 1-7*sum.sum/(sum.weight+3))*age/float64(10*second)
}

// rateLimit is what a group takes from all couriers, in calls a second, as listed or reported; 0 if unknown.
func (d *Dispatcher) rateLimit(group *endpointGroup) float64 {
	if d.config.RateQuality == RoughRates && !group.reported {
		return group.rate * 0.67 // up to half too high
	}
	return group.rate
}

// fairRate is this courier's share of a group's limit, in calls a second. Where no limit is known it is
// measured, with a margin, as limits mostly lie well above the usual calls.
func (d *Dispatcher) fairRate(group *endpointGroup) float64 {
	couriers := float64(max(1, d.config.Couriers)) / (1 + group.quota.balance(d.now))
	if limit := d.rateLimit(group); limit > 0 {
		return limit / couriers
	}
	return max(1.3*d.ownRate(group), 1/couriers)
}

// fairInterval is the interval between calls at the fair rate.
func (d *Dispatcher) fairInterval(group *endpointGroup) Micros {
	return Micros(float64(second) / d.fairRate(group))
}

// ownRate is the rate of this courier's deliveries before an outage, with a margin as limits lie above the
// usual calls.
func (d *Dispatcher) ownRate(group *endpointGroup) float64 {
	return 1.4 * max(group.usualRate, d.deliveryRate(group))
}

// deliveryRate is the rate of deliveries, in calls a second; just after a start, that of messages accepted in
// quota.
func (d *Dispatcher) deliveryRate(group *endpointGroup) float64 {
	count := group.deliveries.decay(d.now, rateSpan).weight
	if d.now-group.countedSince < 15*second && group.rate == 0 {
		count = max(count, group.destination.accepted.decay(d.now, rateSpan).weight)
	}
	return count / d.countedSpan(group) * float64(second)
}

// countedSpan is the time over which the rates of a group were counted, as far as they have not decayed.
func (d *Dispatcher) countedSpan(group *endpointGroup) float64 {
	counted := float64(max(d.now-group.countedSince, 5*second))
	return float64(rateSpan) * (1 - math.Exp(-counted/float64(rateSpan)))
}

// narrowInterval lets a group's interval shrink after a delivery: by a quarter, or by a sixteenth near the
// interval that was last throttled, as with a quarter every third call would be throttled.
func (d *Dispatcher) narrowInterval(group *endpointGroup, retryAfter Micros) {
	share := Micros(4)
	if group.interval*4 <= group.throttledInterval*5 && group.interval*4 >= group.throttledInterval*3 {
		share = 16
	}
	if group.reported && group.remaining >= scarceShare && retryAfter == 0 {
		group.interval = min(group.interval, d.fairInterval(group)) // plenty is left: throttling is outdated
	}
	if group.interval = min(group.interval, 4*maxInterval) * (share - 1) / share; group.interval < intervalStep {
		group.interval = 0
	}
}

// widenInterval doubles a group's interval, once an instant: for throttling, and where calls are rare for
// failures too, as six consecutive ones come too late. It starts at a sixth of the fair interval and ends at
// that, or a second. Where calls are rare it starts at a random multiple of least: short for throttling, as
// bursts are over in seconds, else long.
func (d *Dispatcher) widenInterval(group *endpointGroup, least Micros) {
	if group.widenedAt == d.now {
		return
	}
	group.widenedAt, group.throttledInterval = d.now, group.interval
	start := min(d.fairInterval(group)/6, 4*maxInterval)
	if d.fairRate(group) < rareRate {
		start = least + Micros(d.rng.Int63n(int64(3*least)))
	}
	group.interval = min(max(maxInterval, d.fairInterval(group)), max(intervalStep, start, 2*group.interval))
}

// interval is the minimum interval between two calls to a group.
func (d *Dispatcher) interval(group *endpointGroup) Micros {
	interval, warm := group.interval, d.warmShare(group)
	if left := min(d.remainingShare(group), 1-group.quota.load(d.now)); left < scarceShare {
		// A limit that is nearly exhausted, or was lowered: keep to this courier's share of it.
		interval = max(interval, Micros((1-left/scarceShare)*float64(d.fairInterval(group))))
	}
	if group.outage || group.warmingUp {
		// With the random share of readyAt this stays below the overload factor, as the capacity lies above the
		// limit. One call a second from all couriers together is always allowed.
		rate := max(d.fairRate(group), d.ownRate(group)) * max(1, 0.7*d.config.OverloadFactor)
		slowest := Micros(max(2, d.config.Couriers)) * second
		interval = max(interval, min(Micros(float64(second)/(rate*warm)), slowest))
	}
	return interval
}
