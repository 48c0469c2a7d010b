package dispatch

import (
	"math"
	"slices"
)

const durationSpan = 15 * second // some tens of answers at usual traffic; a fault lasts about as long

// expectedDuration is the expected time of a call to a group: its own average, mixed with that of all groups
// and, before any was seen, half of the shortest latency objective.
func (d *Dispatcher) expectedDuration(group *endpointGroup) Micros {
	every, here := d.durations.decay(d.now, durationSpan), group.durations.decay(d.now, durationSpan)
	all := (every.sum + 3*float64(d.priorDuration)) / (every.weight + 3)
	return Micros((here.sum + 2*all) / (here.weight + 2))
}

// attemptTimeout is long enough for a skewed tail, a threefold slowdown and a stall of two seconds; anything
// shorter gives up on slow answers.
func (d *Dispatcher) attemptTimeout(group *endpointGroup, class *Class) Micros {
	timeout := 6*d.expectedDuration(group) + 2*second
	if class.Idempotency == AtMostOnce {
		timeout *= 2 // an attempt that times out fails its message
	}
	return timeout
}

// mayReject reports whether submitting the message again is harmless: nothing ran, or it is idempotent
// everywhere.
func (m *message) mayReject() bool {
	return !m.mayHaveRun && m.inFlight == 0 || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotencyKey && !m.class.SameZone
}

// giveUp ends a message at once, with the time until the first group is ready as Retry-After where that is
// allowed.
func (d *Dispatcher) giveUp(message *message) {
	if !message.mayReject() {
		d.emit(Fail{message.id})
	} else if at := d.earliestReady(message); d.config.MaySendRetryAfter && at < never {
		d.emit(Reject{message.id, min(d.config.MaxRetryAfter, max(0, at-d.now))})
	} else {
		d.emit(Reject{message.id, 0})
	}
	d.finish(message)
}

// mayRetry reports whether the idempotency of a message and its number of attempts allow another one. The
// number grows with the priority weight, up to the configured limit; throttled attempts hardly count, as they
// cost little.
func (d *Dispatcher) mayRetry(message *message) bool {
	more := float64(d.config.MaxAttempts-1) * message.priority / max(d.maxPriority, 1e-9)
	attempts, class := len(message.attempts)-message.unsent, message.class
	inWindow := class.Idempotency == IdempotencyKey && d.now < message.ranAt+class.IdempotencyWindow
	return attempts < d.config.MaxAttempts && attempts-message.throttled < max(2, 1+int(math.Ceil(more))) &&
		(!message.mayHaveRun || class.Idempotency == Idempotent || inWindow)
}

// giveUpExpired gives up queued messages that can no longer be delivered before their deadline or within
// their idempotency window.
func (d *Dispatcher) giveUpExpired() {
	for _, destination := range d.waiting {
		quickest := d.priorDuration
		for _, group := range destination.groups {
			quickest = min(quickest, d.expectedDuration(group)/2)
		}
		for _, message := range slices.Clone(destination.queue) {
			last := message.deadline - max(quickest, 4*d.config.Tick)
			if message.mayHaveRun && message.class.Idempotency == IdempotencyKey {
				last = min(last, message.ranAt+message.class.IdempotencyWindow-d.config.Tick)
			}
			if d.now >= last {
				d.giveUp(message)
			} else {
				d.scheduleAt(last)
			}
		}
	}
}

// recoverMessage takes on a message from before a restart, and gives it up if it may not be sent again.
func (d *Dispatcher) recoverMessage(event MessageRecovered) {
	if message := d.recover(event); message != nil && message.inFlight == 0 && !d.mayRetry(message) {
		d.giveUp(message)
	}
}

// attemptFinished updates what is known of the group, and retries or gives up the message unless it is over.
func (d *Dispatcher) attemptFinished(event AttemptFinished) {
	attempt := d.unfinishedAttempt(event)
	if attempt == nil {
		return
	}
	message, endpoint := attempt.message, attempt.endpoint
	d.finishAttempt(attempt, event)
	d.observe(event, attempt)
	if endpoint.calls == 0 && d.isCrowdedOut(endpoint) {
		d.closeIdle(endpoint)
	}
	message.failedAt = endpoint
	d.noteMayHaveRun(message, event.Outcome, attempt.sentAt, endpoint.Zone)
	if event.MessageDone {
		d.finish(message)
	}
	switch d.forgetFinished(message); {
	case message.ended || message.inFlight > 0:
	case d.mayRetry(message):
		d.enqueue(message)
	default:
		d.giveUp(message)
	}
}

// cancelOverdue cancels the attempt that is most overdue, beyond most times the expected duration: nine in
// ten take less than three times. It misjudges where all endpoints slow down at once.
func (d *Dispatcher) cancelOverdue(most float64) {
	var worst *attempt
	for _, attempt := range d.inFlight {
		expected := d.expectedDuration(attempt.endpoint.group) + second/4
		overdue := float64(d.now-attempt.sentAt) / float64(expected)
		if attempt.message.class.Idempotency == AtMostOnce {
			overdue /= 1.5 // canceling it fails its message
		}
		if overdue > most && !attempt.canceled {
			most, worst = overdue, attempt
		}
	}
	if worst == nil {
		return
	}
	worst.canceled = true // counted as a timeout
	d.observe(AttemptFinished{Outcome: TimedOut, Duration: d.now - worst.sentAt}, worst)
	d.emit(Cancel{worst.message.id, worst.number()})
}
