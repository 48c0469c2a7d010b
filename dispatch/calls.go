package dispatch

import (
	"math/bits"
	"slices"
)

// Calls and the attempts that they carry. No decision is made in this file.

// attempt is one sending of a message.
type attempt struct {
	message  *message
	endpoint *endpoint
	call     *call
	sentAt   Micros
	canceled bool
	finished bool
}

// number is the place of an attempt among those of its message, from 0.
func (a *attempt) number() AttemptNumber { return AttemptNumber(slices.Index(a.message.attempts, a)) }

// call takes one slot and carries one attempt, or several that finish together.
type call struct {
	endpoint      *endpoint
	openAttempts  int
	sent          bool   // some of it was
	connectionAge int    // see ageIndex
	previousCall  Micros // the last call of the group before it
}

// startCall takes a slot for a call to an endpoint.
func (d *Dispatcher) startCall(endpoint *endpoint) *call {
	group := endpoint.group
	started := &call{endpoint: endpoint, previousCall: group.lastCall}
	if idle := d.now - endpoint.idleSince; endpoint.idleSince > 0 && idle < d.config.IdleTimeout {
		started.connectionAge = ageIndex(idle)
	}
	d.callsInFlight++
	endpoint.calls++
	endpoint.destination.calls++
	endpoint.lastCall, group.lastCall = d.now, d.now
	endpoint.callCount.add(d.now, rateSpan, 1)
	group.totalCalls++
	d.markRecent(group)
	return started
}

// addAttempt puts a message on a call.
func (d *Dispatcher) addAttempt(message *message, call *call) *attempt {
	group := call.endpoint.group
	added := &attempt{message: message, endpoint: call.endpoint, call: call, sentAt: d.now}
	message.attempts = append(message.attempts, added)
	message.inFlight++
	call.openAttempts++
	group.inFlight = append(group.inFlight, added)
	d.inFlight = append(d.inFlight, added)
	return added
}

// resumeAttempt takes over an attempt that another process has in flight. At a half-open breaker it is the trial.
func (d *Dispatcher) resumeAttempt(message *message, endpoint *endpoint, sentAt Micros) {
	d.dequeue(message)
	resumed := d.addAttempt(message, d.startCall(endpoint))
	resumed.sentAt = sentAt
	breaker := &endpoint.group.breakers[message.classID]
	if breaker.tryHalfOpen(d.now); breaker.state == breakerHalfOpen && breaker.trial == nil {
		breaker.trial = resumed
	}
}

// unfinishedAttempt returns the attempt that an event is about; nil if it is not known or has finished already.
func (d *Dispatcher) unfinishedAttempt(event AttemptFinished) *attempt {
	message := d.messages[event.Message]
	if message == nil || int(event.Attempt) >= len(message.attempts) || message.attempts[event.Attempt].finished {
		return nil
	}
	return message.attempts[event.Attempt]
}

// finishAttempt books an outcome; the last attempt of a call frees its slot. A call of which nothing was sent, as its
// messages were canceled before, does not count for the interval between calls: others would wait for nothing.
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

// youngestAge is the idle time of a connection that is in constant use; each further age is twice as long.
const youngestAge = 16 * millisecond

// ageIndex sorts connections by how long they were idle before a call; 0 stands for new ones.
func ageIndex(idle Micros) int {
	return min(1+bits.Len64(uint64(idle/youngestAge)), len(Dispatcher{}.lostCalls)-1)
}

// lossyRestTime is the idle time from which on calls are lost more often than on new connections, by a share of more. A
// single loss is ignored.
func (d *Dispatcher) lossyRestTime(more float64) Micros {
	lost := func(sum *decayingSum, ignored float64) float64 {
		return max(0, sum.decay(d.now, rateSpan).sum-ignored) / (sum.weight + 2)
	}
	for age := 1; age < len(d.lostCalls); age++ {
		if lost(&d.lostCalls[age], 1) > lost(&d.lostCalls[0], 0)+more {
			return youngestAge << age / 4 // the shortest of that age
		}
	}
	return never
}
