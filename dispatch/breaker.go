package dispatch

const (
	failureThreshold = 5              // a breaker opens when there are more consecutive failures than this
	openPeriod       = 5 * second / 2 // short compared to outages, which last 5 to 25 s
	outageAfter      = 2 * second     // without delivery; shorter is a stall, outages last over twice as long
	forgetAfter      = 120 * second   // time without use after which learned state is dropped
	snapshotMaxAge   = 30 * second    // outages last 5 to 25 s, and limits change as rarely as outages occur
	lowCallRate      = 0.25           // calls per second; with fewer, an outage of seconds opens no breaker
)

// tryHalfOpen turns an open breaker half-open when its open period has passed. It resets a closed breaker
// that was not used for forgetAfter.
func (b *breaker) tryHalfOpen(now Micros) {
	if b.state == breakerOpen && now >= b.openUntil {
		b.state, b.changedAt, b.trial = breakerHalfOpen, now, nil
	}
	if b.state == breakerClosed && now-b.usedAt > forgetAfter {
		*b = breaker{changedAt: b.changedAt}
	}
	b.usedAt = now
}

// openBreaker opens a breaker for openPeriod plus jitter, so that couriers start their trials at different
// instants.
func (d *Dispatcher) openBreaker(b *breaker, group *endpointGroup) {
	b.state, b.changedAt, b.failures, b.trial = breakerOpen, d.now, 0, nil
	b.openUntil = d.now + openPeriod + Micros(d.rng.Int63n(int64(openPeriod/10)))
	d.markOutage(group)
}

// markOutage records an outage of a group, and the delivery rate before it, which the recovery ramp is based
// on.
func (d *Dispatcher) markOutage(group *endpointGroup) {
	if !group.outage && !group.warmingUp {
		group.usualRate = max(group.usualRate, d.deliveryRate(group))
	}
	if !group.outage {
		group.outageAt = d.now
	}
	group.outage, group.warmingUp = true, false
}

// observePastAttempt counts the last attempt of a message before a restart as a sign of an outage if it
// failed without an answer. The third sign of a group marks an outage, so that queued messages do not
// overload a server that is recovering.
func (d *Dispatcher) observePastAttempt(past PastAttempt) {
	endpoint := d.endpoints[past.Endpoint]
	if endpoint == nil || past.Outcome != Unreachable && past.Outcome != TimedOut {
		return
	}
	if endpoint.group.failureSigns++; endpoint.group.failureSigns > 2 {
		d.markOutage(endpoint.group)
	}
}

// restore applies the state learned before a restart, unless the snapshot is too old or lies in the
// future. Intervals, Retry-After, outages, open breakers and ejections are restored in full, as they
// call for caution. A recovery ramp continues from where it was, as the server may have failed again.
// Counts of deliveries, call durations and lost calls decay with the age of the snapshot. An older
// snapshot therefore never makes the dispatcher less cautious than a younger one.
func (d *Dispatcher) restore(snapshot Snapshot) {
	if d.now < snapshot.TakenAt || d.now-snapshot.TakenAt > snapshotMaxAge {
		return
	}
	d.restoreSnapshot(snapshot)
}

// countOutageSign counts a failed or a throttled attempt as a sign of an outage; signs is the count of its
// kind. It marks an outage if nothing was delivered for outageAfter and there are enough consecutive signs of
// one kind:
//   - three in general;
//   - two failures if the fair rate is below lowCallRate;
//   - one throttled attempt if the fair rate is below lowCallRate and the limit is unknown or the throttling
//     was unexpected.
//
// Throttling at an exhausted limit marks an outage only if the fair rate is below four times lowCallRate and
// nothing was delivered for three times outageAfter.
func (d *Dispatcher) countOutageSign(group *endpointGroup, signs *int, outcome Outcome, unexpected bool) {
	needed, sinceDelivery := 3, d.now-group.lastDelivery
	if d.fairRate(group) < lowCallRate && (outcome != Throttled || group.rate == 0 || unexpected) {
		if needed = 2; outcome == Throttled {
			needed = 1 // most couriers with so few calls see only one throttled attempt in an outage
		}
	}
	exhausted := outcome == Throttled && group.reported && group.remaining < lowRemainingShare &&
		(d.fairRate(group) >= 4*lowCallRate || sinceDelivery < 3*outageAfter)
	if *signs++; *signs >= needed && sinceDelivery > outageAfter && !exhausted {
		d.markOutage(group)
	}
}

// updateBreaker updates the breaker with the outcome of an attempt. tableFull is set for a connection that
// was refused because of a full connection table, which does not indicate a failure of the server.
func (d *Dispatcher) updateBreaker(attempt *attempt, outcome Outcome, tableFull bool) {
	group := attempt.endpoint.group
	b := &group.breakers[attempt.message.classID]
	trial := b.trial == attempt
	if trial {
		b.trial = nil
	}
	switch {
	case outcome == Unprocessed || outcome == Canceled || tableFull:
		return // no evidence of health: a half-open breaker allows another trial
	case outcome == Delivered || outcome == Throttled:
		b.failures = 0
		if trial {
			b.state, b.changedAt = breakerClosed, d.now
		}
	case trial:
		d.openBreaker(b, group)
	case b.state == breakerClosed && attempt.sentAt >= b.changedAt:
		if b.failures++; b.failures > failureThreshold {
			d.openBreaker(b, group)
		}
	}
}
