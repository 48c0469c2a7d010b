package dispatch

// observe updates the learned state of an endpoint and its group with the outcome of an attempt.
func (d *Dispatcher) observe(event AttemptFinished, attempt *attempt) {
	endpoint, group, outcome := attempt.endpoint, attempt.endpoint.group, event.Outcome
	d.observeReport(event, group)
	// A refused connection while other attempts are answered is due to a full connection table, not an
	// outage.
	tableFull := outcome == Unreachable && endpoint.lastAnswer > attempt.sentAt
	d.observeRefusals(event, group)
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
	lostCalls := &d.lostCalls[attempt.call.idleBucket]
	if outcome == Delivered || outcome == Failure || outcome == Throttled {
		group.lastAnswer, endpoint.lastAnswer = d.now, d.now
		lostCalls.add(d.now, rateDecayTime, 0)
	} else if outcome == Broken {
		lostCalls.add(d.now, rateDecayTime, 1)
	}
	d.updateBreaker(attempt, outcome, tableFull)
}

// observeRefusals counts connections refused by full connection tables among the calls to an endpoint type.
// As an outage also refuses connections, it ignores refusals during a known outage, those that took half a
// second or more, and those within outageAfter of the last counted one.
func (d *Dispatcher) observeRefusals(event AttemptFinished, group *endpointGroup) {
	refusals := &d.connectionRefusals[group.destination.typeIndex]
	refused := event.Outcome == Unreachable && !group.outage && event.Duration < second/2
	if event.Outcome == Delivered {
		refusals.add(d.now, rateDecayTime, 0)
	} else if refused && d.now-refusals.lastCounted > outageAfter {
		refusals.add(d.now, rateDecayTime, 1)
		refusals.lastCounted = d.now
	}
}

func (d *Dispatcher) observeDelivery(event AttemptFinished, attempt *attempt) {
	endpoint, group := attempt.endpoint, attempt.endpoint.group
	group.durations.add(d.now, durationDecayTime, float64(event.Duration))
	d.durations.add(d.now, durationDecayTime, float64(event.Duration))
	group.deliveries.add(d.now, rateDecayTime, 1)
	d.throttled[group.destination.typeIndex].add(d.now, rateDecayTime, 0)
	d.narrowInterval(group, event.RetryAfter)
	if group.outage && attempt.sentAt < group.outageAt {
		return // sent before the outage: it would start the recovery ramp while the server is still down
	}
	if group.outage || group.failureSigns > 2 && d.now-group.lastDelivery > outageAfter {
		group.warmingUp, group.warmingSince = true, d.now
	}
	group.outage, group.throttleSigns, group.failureSigns, group.lastDelivery = false, 0, 0, d.now
	endpoint.failureRun.failures, endpoint.classRuns[attempt.message.classID].failures = 0, 0
	group.lastDeliveredSent = max(group.lastDeliveredSent, attempt.sentAt)
}

func (d *Dispatcher) observeThrottling(event AttemptFinished, group *endpointGroup) {
	d.throttled[group.destination.typeIndex].add(d.now, rateDecayTime, 1)
	// Throttling without Retry-After while enough of the limit is left: the server is out of service or hung,
	// and not over its limit.
	unexpected := group.reported && group.remaining >= lowRemainingShare && event.RetryAfter == 0
	minInitial := maxInterval / 2
	if unexpected {
		minInitial = 4 * maxInterval
	}
	d.widenInterval(group, minInitial)
	d.countOutageSign(group, &group.throttleSigns, Throttled, unexpected)
	// A limit requires no Retry-After of over 2 s: the server is out of service. Queued messages would
	// overload it when it returns.
	if event.RetryAfter > outageAfter {
		d.markOutage(group)
	}
}

func (d *Dispatcher) observeFailure(event AttemptFinished, attempt *attempt) {
	endpoint, group, outcome := attempt.endpoint, attempt.endpoint.group, event.Outcome
	if outcome == TimedOut && group.lastDeliveredSent > attempt.sentAt {
		d.lostCalls[attempt.call.idleBucket].add(d.now, rateDecayTime, 1)
		return // a call sent later was delivered: the server is up, and only this call was lost
	}
	if outcome != Broken { // a connection reset shows that the server is reachable
		d.countOutageSign(group, &group.failureSigns, outcome, false)
	}
	if outcome == TimedOut {
		group.durations.add(d.now, durationDecayTime, float64(event.Duration))
	}
	// Otherwise the failure may be limited to this endpoint of the group.
	wholeGroup := group.destination.endpointType.Separate ||
		group.failureSigns >= len(group.destination.endpoints)
	if wholeGroup && d.fairRate(group) < lowCallRate && outcome == Unreachable {
		d.widenInterval(group, 4*maxInterval) // the six failures that open a breaker come too late
	}
	endpointRun, classRun := &endpoint.failureRun, &endpoint.classRuns[attempt.message.classID]
	// The endpoint is ejected for all classes or, as one class may fail while others do not, for this class
	// only.
	for _, run := range []*failureRun{endpointRun, classRun} {
		if run.failures++; run.failures >= 2 || run == classRun && d.fairRate(group) < lowCallRate {
			run.ejectedUntil = d.now + min(8*second, second<<min(run.failures, 4))
		}
	}
}
