package dispatch

import "math"

// accept queues a new message. The priority weight of a message over its tenant's quota is reduced.
func (d *Dispatcher) accept(event MessageAccepted) {
	if d.messages[event.Message] != nil || int(event.Class) >= len(d.config.Classes) {
		return
	}
	class, destination := &d.config.Classes[event.Class], d.destination(event.Destination)
	message := newMessage(event, destination, class, d.rng.Float64())
	switch {
	case !d.withinQuota(event.Tenant):
		message.priority *= d.config.OverQuotaFactor
	case !event.Resubmitted:
		destination.accepted.add(d.now, rateDecayTime, 1)
	}
	if class.Ordered && event.OrderingKey != "" {
		message.order = d.joinKey(event.OrderingKey, message)
	}
	d.addMessage(message)
}

// withinQuota takes a token from this courier's share of a tenant's quota and reports whether there was one.
// Tokens for up to two seconds accumulate, plus one.
func (d *Dispatcher) withinQuota(tenant TenantID) bool {
	if int(tenant) >= len(d.config.Tenants) || d.config.Tenants[tenant].RatePerSecond <= 0 {
		return true
	}
	rate := d.config.Tenants[tenant].RatePerSecond / float64(max(1, d.config.Couriers))
	tokens := &d.tenantQuotas[tenant]
	refilled := tokens.sum + rate*float64(d.now-tokens.at)/float64(second)
	tokens.sum, tokens.at = min(2*rate+1, refilled), d.now
	within := tokens.sum >= 1
	if within {
		tokens.sum--
	}
	return within
}

// shedLoad keeps the number of unfinished messages below the queue limit. It runs after everything that can
// be sent has been sent, and gives up the queued messages with the lowest expected value first. Messages that
// were recovered after a restart and cannot have run are exempt until three quarters of their time to live
// have passed.
func (d *Dispatcher) shedLoad() {
	d.queueAllowance = min(d.queueAllowance, d.unfinished)
	for d.unfinished >= max(d.config.QueueLimit, d.queueAllowance+1) && d.config.QueueLimit > 0 {
		victim := d.leastValuable()
		if victim == nil {
			return
		}
		d.giveUp(victim)
	}
}

func (d *Dispatcher) leastValuable() (victim *message) {
	lowestValue := math.Inf(1)
	for _, destination := range d.waiting {
		for i, message := range destination.queue {
			// A thousandth of the priority decides between messages without any other expected value.
			expectedValue, ready := message.priority/1000, d.earliestReady(message)
			if ready < never {
				first := destination.groups[0]
				wait := d.expectedDuration(first) + Micros(i)*d.interval(first)
				expectedValue += d.valueAt(message, max(ready, d.now)+wait)
			}
			mayGiveUp := !message.recoveredUnrun || message.mayHaveRun ||
				message.deadline-d.now < message.class.TimeToLive/4
			if expectedValue < lowestValue && mayGiveUp {
				victim, lowestValue = message, expectedValue
			}
		}
	}
	return victim
}
