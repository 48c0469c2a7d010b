package dispatch

const (
	failureThreshold = 5              // opens when more consecutive failures than this come (DESIGN)
	openPeriod       = 5 * second / 2 // half of DESIGN's starting value: outages here last 5 to 25 s
	outageAfter      = 2 * second     // shorter breaks are stalls; outages recorded last over twice as long
	forgetAfter      = 120 * second
	snapshotMaxAge   = 30 * second // outages last 5 to 25 s, limits change as seldom
	rareRate         = 0.25        // calls a second, so few that outages, of some seconds, show too little
)

// tryHalfOpen turns an open breaker half-open when its period is over, and resets one that was long unused.
func (b *breaker) tryHalfOpen(now Micros) {
	if b.state == breakerOpen && now >= b.openUntil {
		b.state, b.changedAt, b.trial = breakerHalfOpen, now, nil
	}
	if b.state == breakerClosed && now-b.usedAt > forgetAfter {
		*b = breaker{changedAt: b.changedAt}
	}
	b.usedAt = now
}

// openBreaker opens a breaker for its period, with jitter so that couriers do not try again all at once.
func (d *Dispatcher) openBreaker(b *breaker, group *endpointGroup) {
	b.state, b.changedAt, b.failures, b.trial = breakerOpen, d.now, 0, nil
	b.openUntil = d.now + openPeriod + Micros(d.rng.Int63n(int64(openPeriod/10)))
	d.markOutage(group)
}

// markOutage notes an outage of a group. The rate of deliveries before it is what the recovery ramp is
// measured by.
func (d *Dispatcher) markOutage(group *endpointGroup) {
	if !group.outage && !group.warmingUp {
		group.usualRate = max(group.usualRate, d.deliveryRate(group))
	}
	if !group.outage {
		group.outageAt = d.now
	}
	group.outage, group.warmingUp = true, false
}

// observePast counts an attempt that failed unanswered before a restart, so that queued messages do not
// overload a server that recovers now.
func (d *Dispatcher) observePast(past PastAttempt) {
	endpoint := d.endpoints[past.Endpoint]
	if endpoint == nil || past.Outcome != Unreachable && past.Outcome != TimedOut {
		return
	}
	if endpoint.group.failureSigns++; endpoint.group.failureSigns > 2 {
		d.markOutage(endpoint.group)
	}
}

// restore takes over what was learned before a restart, unless it is too old or from a clock that was ahead.
// What calls for caution is kept in full, and a recovery ramp goes on from where it was, as the server may
// have failed again; what gives confidence decays. So an older snapshot never makes the dispatcher bolder
// than a younger one.
func (d *Dispatcher) restore(snapshot Snapshot) {
	if d.now < snapshot.TakenAt || d.now-snapshot.TakenAt > snapshotMaxAge {
		return
	}
	d.restoreSnapshot(snapshot)
}

// countSign counts a sign of an outage. An outage is noted after three in a row with no delivery for a while,
// or two where calls are rare. Throttling may be due to a limit: three are needed, and at an exhausted limit
// none counts unless this courier has long kept to a small share.
func (d *Dispatcher) countSign(group *endpointGroup, signs *int, outcome Outcome, unexpected bool) {
	needed, undelivered := 3, d.now-group.lastDelivery
	if d.fairRate(group) < rareRate && (outcome != Throttled || group.rate == 0 || unexpected) {
		if needed = 2; outcome == Throttled {
			needed = 1 // most couriers with so few calls see no more than one
		}
	}
	exhausted := outcome == Throttled && group.reported && group.remaining < scarceShare &&
		(d.fairRate(group) >= 4*rareRate || undelivered < 3*outageAfter)
	if *signs++; *signs >= needed && undelivered > outageAfter && !exhausted {
		d.markOutage(group)
	}
}

// updateBreaker counts the outcome of an attempt. tableFull marks a refused connection that says nothing of
// health.
func (d *Dispatcher) updateBreaker(attempt *attempt, outcome Outcome, tableFull bool) {
	group := attempt.endpoint.group
	b := &group.breakers[attempt.message.classID]
	trial := b.trial == attempt
	if trial {
		b.trial = nil
	}
	switch {
	case outcome == Unprocessed || outcome == Canceled || tableFull:
		return // says nothing of health: a half-open breaker allows another trial
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
