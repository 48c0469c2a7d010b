package dispatch

import (
	"math/bits"
	"slices"
)

// This file keeps the calls and the attempts that they carry. It makes no decisions.

// attempt is one transmission of a message.
type attempt struct {
	message  *message
	endpoint *endpoint
	call     *call
	sentAt   Micros
	canceled bool
	finished bool
}

// number returns the index of an attempt among those of its message.
func (a *attempt) number() AttemptNumber { return AttemptNumber(slices.Index(a.message.attempts, a)) }

// call occupies one slot and carries one attempt, or several that finish together.
type call struct {
	endpoint     *endpoint
	attempts     []*attempt
	openAttempts int
	sharedSize   int    // bytes that the messages of its attempts take
	sent         bool   // at least one of its attempts was sent, or may be sent again
	idleBucket   int    // of its connection when the call started; see idleBucketOf
	previousCall Micros // when the previous call to the group started
}

// startCall occupies a slot for a call to an endpoint.
func (d *Dispatcher) startCall(endpoint *endpoint) *call {
	group := endpoint.group
	started := &call{endpoint: endpoint, previousCall: group.lastCall}
	if idle := d.now - endpoint.idleSince; endpoint.idleSince > 0 && idle < d.config.IdleTimeout {
		started.idleBucket = idleBucketOf(idle)
	}
	d.callsInFlight++
	endpoint.calls++
	endpoint.destination.calls++
	endpoint.lastCall, group.lastCall = d.now, d.now
	endpoint.callCount.add(d.now, rateDecayTime, 1)
	group.totalCalls++
	d.markRecent(group)
	return started
}

// addAttempt adds an attempt of a message to a call.
func (d *Dispatcher) addAttempt(message *message, call *call) *attempt {
	group := call.endpoint.group
	added := &attempt{message: message, endpoint: call.endpoint, call: call, sentAt: d.now}
	message.attempts = append(message.attempts, added)
	message.inFlight++
	call.attempts = append(call.attempts, added)
	call.openAttempts++
	call.sharedSize += message.sharedSize
	group.inFlight = append(group.inFlight, added)
	d.inFlight = append(d.inFlight, added)
	return added
}

// hasRoom reports whether a call that has not been sent can carry another message.
func (d *Dispatcher) hasRoom(call *call, message *message) bool {
	fits := d.config.MaxSharedSize == 0 || call.sharedSize+message.sharedSize <= d.config.MaxSharedSize
	return fits && call.openAttempts < call.endpoint.destination.endpointType.MaxPerCall
}

// isCanceled reports whether all unfinished attempts of a call were canceled.
func (c *call) isCanceled() bool {
	return !slices.ContainsFunc(c.attempts, func(attempt *attempt) bool { return !attempt.finished && !attempt.canceled })
}

// resumeAttempt takes over an attempt that the predecessor has in flight. If the breaker is half-open without a trial, the
// attempt becomes its trial.
func (d *Dispatcher) resumeAttempt(message *message, endpoint *endpoint, sentAt Micros) {
	d.dequeue(message)
	resumed := d.addAttempt(message, d.startCall(endpoint))
	resumed.sentAt = sentAt
	breaker := &endpoint.group.breakers[message.classID]
	if breaker.tryHalfOpen(d.now); breaker.state == breakerHalfOpen && breaker.trial == nil {
		breaker.trial = resumed
	}
}

// unfinishedAttempt returns the attempt that an event refers to; nil if it is unknown or has already finished.
func (d *Dispatcher) unfinishedAttempt(event AttemptFinished) *attempt {
	message := d.messages[event.Message]
	if message == nil || int(event.Attempt) >= len(message.attempts) || message.attempts[event.Attempt].finished {
		return nil
	}
	return message.attempts[event.Attempt]
}

// finishAttempt records the outcome of an attempt; the last attempt of a call frees its slot. If all messages of a call were
// canceled before it was sent, the call does not count for the interval between calls, as otherwise other messages would wait
// for a call that did not take place.
func (d *Dispatcher) finishAttempt(attempt *attempt, event AttemptFinished) {
	attempt.finished = true
	attempt.message.inFlight--
	group, call := attempt.endpoint.group, attempt.call
	group.inFlight, d.inFlight = without(group.inFlight, attempt), without(d.inFlight, attempt)
	switch event.Outcome {
	case Delivered:
		group.totalDelivered++
	case Throttled:
		group.totalThrottled++
	}
	call.sent = call.sent || event.Outcome != Unprocessed || !event.MessageDone
	if call.openAttempts--; call.openAttempts > 0 {
		return
	}
	if !call.sent && group.lastCall == attempt.sentAt {
		group.lastCall = call.previousCall
	}
	d.callsInFlight--
	attempt.endpoint.destination.calls--
	attempt.endpoint.calls--
	switch event.Outcome {
	case Delivered, Failure, Throttled, Unprocessed:
		attempt.endpoint.idleSince = d.now
	}
}

// closeIdle closes the idle connections to an endpoint.
func (d *Dispatcher) closeIdle(endpoint *endpoint) {
	endpoint.idleSince = 0
	d.emit(CloseIdle{endpoint.Endpoint})
}

// firstIdleLimit is the upper limit of idle-time bucket 1, for connections that get calls one after another. The limit doubles
// with each further bucket.
const firstIdleLimit = 16 * millisecond

// idleBucketOf returns the bucket for the time that a connection was idle before a call. Bucket 0 is for new connections.
func idleBucketOf(idle Micros) int {
	return min(1+bits.Len64(uint64(idle/firstIdleLimit)), len(Dispatcher{}.lostCalls)-1)
}

// lossyIdleTime returns the shortest idle time at which calls are lost more often than on new connections: the shares of lost
// calls differ by more than margin. It returns never if there is no such idle time. A single loss per bucket is ignored.
func (d *Dispatcher) lossyIdleTime(margin float64) Micros {
	lossShare := func(sum *decayingSum, ignored float64) float64 {
		return max(0, sum.decay(d.now, rateDecayTime).sum-ignored) / (sum.count + 2)
	}
	for bucket := 1; bucket < len(d.lostCalls); bucket++ {
		if lossShare(&d.lostCalls[bucket], 1) > lossShare(&d.lostCalls[0], 0)+margin {
			return firstIdleLimit << bucket / 4 // lower limit of the bucket; for bucket 1 half its upper limit
		}
	}
	return never
}
