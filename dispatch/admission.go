package dispatch

import "math"

// accept takes on a message, and lowers its priority weight where its tenant is over quota.
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
		destination.accepted.add(d.now, rateSpan, 1)
	}
	if class.Ordered && event.OrderingKey != "" {
		message.order = d.joinKey(event.OrderingKey, message)
	}
	d.hold(message)
}

// withinQuota takes a token from this courier's share of a tenant's quota; two seconds' worth may be saved
// up.
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

// shedLoad keeps the queue below its limit, after all that could be sent was sent: the messages that promise
// the least value go first. Spared are messages that a restart found untried, until three quarters of their
// time are over.
func (d *Dispatcher) shedLoad() {
	d.queueAllowance = min(d.queueAllowance, d.unfinished)
	for d.unfinished >= max(d.config.QueueLimit, d.queueAllowance+1) && d.config.QueueLimit > 0 {
		victim := d.leastPromising()
		if victim == nil {
			return
		}
		d.giveUp(victim)
	}
}

func (d *Dispatcher) leastPromising() (victim *message) {
	least := math.Inf(1)
	for _, destination := range d.waiting {
		for i, message := range destination.queue {
			promise, ready := message.priority/1000, d.earliestReady(message)
			if ready < never {
				first := destination.groups[0]
				wait := d.expectedDuration(first) + Micros(i)*d.interval(first)
				promise += d.valueAt(message, max(ready, d.now)+wait)
			}
			mayGo := !message.untried || message.mayHaveRun || message.deadline-d.now < message.class.TimeToLive/4
			if promise < least && mayGo {
				victim, least = message, promise
			}
		}
	}
	return victim
}
