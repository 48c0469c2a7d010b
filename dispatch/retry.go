package dispatch

import (
	"math"
	"slices"
)

// durationDecayTime covers some tens of answers at usual traffic. A fault lasts about 15 s, too.
const durationDecayTime = 15 * second

// expectedDuration returns the expected duration of a call to a group. It combines the average of the group
// with the average of all groups and, while there are few observations, with half the shortest latency
// objective (at most 1 s).
func (d *Dispatcher) expectedDuration(group *endpointGroup) Micros {
	overall, own := d.durations.decay(d.now, durationDecayTime), group.durations.decay(d.now, durationDecayTime)
	overallMean := (overall.sum + 3*float64(d.priorDuration)) / (overall.count + 3)
	return Micros((own.sum + 2*overallMean) / (own.count + 2))
}

// attemptTimeout returns the timeout of an attempt: 6 times the expected duration, for a skewed distribution
// of durations and a threefold slowdown, and 2 s for a stall. A shorter timeout would give up on answers that
// are merely slow.
func (d *Dispatcher) attemptTimeout(group *endpointGroup, class *Class) Micros {
	timeout := 6*d.expectedDuration(group) + 2*second
	if class.Idempotency == AtMostOnce {
		timeout *= 2 // a timeout fails an at-most-once message
	}
	return timeout
}

// mayReject reports whether the client may safely submit the message again: no attempt may have run, or the
// message is idempotent at all endpoints.
func (m *message) mayReject() bool {
	return !m.mayHaveRun && m.inFlight == 0 || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotencyKey && !m.class.SameZone
}

// giveUp ends a message at once: with Reject if it is safe to submit again, otherwise with Fail. Where the
// configuration allows it, a rejection carries the time until the first group is ready as Retry-After, at
// most Config.MaxRetryAfter.
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

// mayRetry reports whether the idempotency of a message and its number of attempts allow another attempt. Two
// attempts are allowed, and more in proportion to the priority weight, up to Config.MaxAttempts for the class
// with the highest weight. Throttled attempts cost little and count only towards Config.MaxAttempts.
func (d *Dispatcher) mayRetry(message *message) bool {
	extra := float64(d.config.MaxAttempts-1) * message.priority / max(d.maxPriority, 1e-9)
	attempts, class := len(message.attempts)-message.unsent, message.class
	inWindow := class.Idempotency == IdempotencyKey && d.now < message.ranAt+class.IdempotencyWindow
	return attempts < d.config.MaxAttempts && attempts-message.throttled < max(2, 1+int(math.Ceil(extra))) &&
		(!message.mayHaveRun || class.Idempotency == Idempotent || inWindow)
}

// giveUpExpired gives up queued messages that can no longer be delivered before their deadline, or within
// their idempotency window.
func (d *Dispatcher) giveUpExpired() {
	for _, destination := range d.waiting {
		minDuration := d.priorDuration
		for _, group := range destination.groups {
			minDuration = min(minDuration, d.expectedDuration(group)/2)
		}
		for _, message := range slices.Clone(destination.queue) {
			lastSend := message.deadline - max(minDuration, 4*d.config.Tick)
			if message.mayHaveRun && message.class.Idempotency == IdempotencyKey {
				lastSend = min(lastSend, message.ranAt+message.class.IdempotencyWindow-d.config.Tick)
			}
			if d.now >= lastSend {
				d.giveUp(message)
			} else {
				d.scheduleAt(lastSend)
			}
		}
	}
}

// recoverMessage restores a message from before a restart, and gives it up if it may not be sent again.
func (d *Dispatcher) recoverMessage(event MessageRecovered) {
	if message := d.recover(event); message != nil && message.inFlight == 0 && !d.mayRetry(message) {
		d.giveUp(message)
	}
}

// attemptFinished updates the learned state with the outcome of an attempt, and retries or gives up the
// message unless it has ended or has other attempts in flight.
func (d *Dispatcher) attemptFinished(event AttemptFinished) {
	attempt := d.unfinishedAttempt(event)
	if attempt == nil {
		return
	}
	message, endpoint := attempt.message, attempt.endpoint
	d.finishAttempt(attempt, event)
	d.observe(event, attempt)
	if endpoint.calls == 0 && d.shouldCloseIdle(endpoint) {
		d.closeIdle(endpoint)
	}
	message.avoidEndpoint = endpoint
	d.recordAttemptEffect(message, event.Outcome, attempt.sentAt, endpoint.Zone)
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

// cancelOverdue cancels the call with the highest ratio of elapsed to expected duration (plus 0.25 s), if that
// ratio is above minRatio. Only the end of a call frees its slot, and a message can't be sent again before, so
// all its attempts are canceled together. Nine calls in ten take less than three times the expected duration.
// When all endpoints slow down at the same time, this also cancels calls that would still be answered.
func (d *Dispatcher) cancelOverdue(minRatio float64) {
	var worst *call
	for _, attempt := range d.inFlight {
		if ratio := d.overdueRatio(attempt.call); ratio > minRatio && !attempt.call.isCanceled() {
			minRatio, worst = ratio, attempt.call
		}
	}
	if worst == nil {
		return
	}
	for _, attempt := range worst.attempts {
		if attempt.finished || attempt.canceled {
			continue
		}
		attempt.canceled = true // the cancellation is observed as a timeout, as the call had no answer for so long
		d.observe(AttemptFinished{Outcome: TimedOut, Duration: d.now - attempt.sentAt}, attempt)
		d.emit(Cancel{attempt.message.id, attempt.number()})
	}
}

// overdueRatio returns the ratio of elapsed to expected duration of a call; the lowest one where several
// messages share it.
func (d *Dispatcher) overdueRatio(call *call) float64 {
	expected := d.expectedDuration(call.endpoint.group) + second/4
	lowest := math.Inf(1)
	for _, attempt := range call.attempts {
		ratio := float64(d.now-attempt.sentAt) / float64(expected)
		if attempt.message.class.Idempotency == AtMostOnce {
			ratio /= 1.5 // cancellation fails an at-most-once message
		}
		if !attempt.finished {
			lowest = min(lowest, ratio)
		}
	}
	return lowest
}
