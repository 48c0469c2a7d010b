package dispatch

// observe takes in what the outcome of an attempt says of its endpoint and group.
func (d *Dispatcher) observe(event AttemptFinished, attempt *attempt) {
	endpoint, group, outcome := attempt.endpoint, attempt.endpoint.group, event.Outcome
	d.observeReport(event, group)
	// A full connection table looks like an outage to one attempt, while others are answered.
	tableFull := outcome == Unreachable && endpoint.lastAnswer > attempt.sentAt
	d.observeCrowding(event, group)
	if outcome != Delivered && outcome != Unprocessed && outcome != Canceled && !tableFull {
		group.lastFailure = d.now
	}
	switch outcome {
	case Delivered:
		d.observeDelivery(event, attempt)
	case Throttled:
		d.observeThrottling(event, group)
	case Failure, Broken, TimedOut, Unreachable:
		if !tableFull {
			d.observeFailure(event, attempt)
		}
	}
	lost := &d.lostCalls[attempt.call.connectionAge]
	if outcome == Delivered || outcome == Failure || outcome == Throttled {
		group.lastAnswer, endpoint.lastAnswer = d.now, d.now
		lost.add(d.now, rateSpan, 0)
	} else if outcome == Broken {
		lost.add(d.now, rateSpan, 1)
	}
	d.updateBreaker(attempt, outcome, tableFull)
}

// observeCrowding counts refused connections among the calls to an endpoint type, but not all that an outage
// refuses.
func (d *Dispatcher) observeCrowding(event AttemptFinished, group *endpointGroup) {
	crowding := &d.crowding[group.destination.typeIndex]
	refused := event.Outcome == Unreachable && !group.outage && event.Duration < second/2
	if event.Outcome == Delivered {
		crowding.add(d.now, rateSpan, 0)
	} else if refused && d.now-crowding.lastCounted > outageAfter {
		crowding.add(d.now, rateSpan, 1)
		crowding.lastCounted = d.now
	}
}

func (d *Dispatcher) observeDelivery(event AttemptFinished, attempt *attempt) {
	endpoint, group := attempt.endpoint, attempt.endpoint.group
	group.durations.add(d.now, durationSpan, float64(event.Duration))
	d.durations.add(d.now, durationSpan, float64(event.Duration))
	group.deliveries.add(d.now, rateSpan, 1)
	d.throttled[group.destination.typeIndex].add(d.now, rateSpan, 0)
	d.narrowInterval(group, event.RetryAfter)
	if group.outage && attempt.sentAt < group.outageAt {
		return // sent before the outage: it would start the ramp while the server is still down
	}
	if group.outage || group.failureSigns > 2 && d.now-group.lastDelivery > outageAfter {
		group.warmingUp, group.warmingSince = true, d.now
	}
	group.outage, group.throttleSigns, group.failureSigns, group.lastDelivery = false, 0, 0, d.now
	endpoint.failureRun.failures, endpoint.classRuns[attempt.message.classID].failures = 0, 0
	group.lastDeliveredSent = max(group.lastDeliveredSent, attempt.sentAt)
}

func (d *Dispatcher) observeThrottling(event AttemptFinished, group *endpointGroup) {
	d.throttled[group.destination.typeIndex].add(d.now, rateSpan, 1)
	// Throttled although plenty of the limit is left, and without Retry-After: shut or hung, not over its limit.
	unexpected := group.reported && group.remaining >= scarceShare && event.RetryAfter == 0
	least := maxInterval / 2
	if unexpected {
		least = 4 * maxInterval
	}
	d.widenInterval(group, least)
	d.countSign(group, &group.throttleSigns, Throttled, unexpected)
	// A longer Retry-After than any limit needs: shut. Queued messages would overload it when it opens.
	if event.RetryAfter > outageAfter {
		d.markOutage(group)
	}
}

func (d *Dispatcher) observeFailure(event AttemptFinished, attempt *attempt) {
	endpoint, group, outcome := attempt.endpoint, attempt.endpoint.group, event.Outcome
	if outcome == TimedOut && group.lastDeliveredSent > attempt.sentAt {
		d.lostCalls[attempt.call.connectionAge].add(d.now, rateSpan, 1)
		return // what was sent later was delivered: this call was lost, the server is up
	}
	if outcome != Broken { // after a reset the server is there
		d.countSign(group, &group.failureSigns, outcome, false)
	}
	if outcome == TimedOut {
		group.durations.add(d.now, durationSpan, float64(event.Duration))
	}
	shared := group.destination.endpointType.Separate || group.failureSigns >= len(group.destination.endpoints)
	if shared && d.fairRate(group) < rareRate && outcome == Unreachable { // otherwise it may be this one endpoint
		d.widenInterval(group, 4*maxInterval) // so few calls that six consecutive failures come too late
	}
	all, ofClass := &endpoint.failureRun, &endpoint.classRuns[attempt.message.classID]
	for _, run := range []*failureRun{all, ofClass} { // one class may fail where others do not
		if run.failures++; run.failures >= 2 || run == ofClass && d.fairRate(group) < rareRate {
			run.ejectedUntil = d.now + min(8*second, second<<min(run.failures, 4))
		}
	}
}
