package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// sendQueued sends queued messages as far as slots and intervals allow, for the most urgent destinations
// first.
func (d *Dispatcher) sendQueued() {
	for _, destination := range d.waiting {
		d.sortQueue(destination)
	}
	byUrgency := slices.Clone(d.waiting)
	slices.SortStableFunc(byUrgency, func(a, b *destination) int { return cmp.Compare(b.urgency, a.urgency) })
	overdue := math.Inf(1)
	for sent := true; sent; {
		sent = false
		for _, destination := range byUrgency {
			switch free := d.config.Slots - d.callsInFlight; {
			case len(destination.queue) == 0 || free > 0 && destination.calls > d.maxCalls(destination, free):
			case free > 0:
				sent = d.sendNext(destination) || sent
			default: // no slot is free: an overdue attempt may be canceled to send a ready message
				if endpoint, _ := d.selectEndpoint(destination.queue[0]); endpoint != nil {
					overdue = min(overdue, 3+float64(min(destination.calls, 1))) // higher if it has a call in flight
				}
			}
		}
	}
	if overdue < math.Inf(1) && d.config.MayCancel {
		d.cancelOverdue(overdue)
	}
}

// maxCalls returns the number of calls in flight above which a destination gets no further call: twice the
// number of free slots. Before its first answer, and while a call is overdue, it is the number of free slots,
// as a silent destination would otherwise take them all.
func (d *Dispatcher) maxCalls(destination *destination, free int) int {
	for _, group := range destination.groups {
		if len(group.inFlight) == 0 {
			continue
		}
		oldest := group.inFlight[0].sentAt
		if group.lastAnswer == 0 || d.now-oldest > 2*d.expectedDuration(group)+second/4 {
			return free
		}
	}
	return 2 * free
}

// sortQueue sorts the queue by the value that messages lose if they are delivered a second later, highest
// first. The urgency of the destination is the loss of its first message, divided by the expected duration of
// a call plus 0.1 s. A hundredth of the priority is added to the loss for destinations where nothing is lost
// by waiting.
func (d *Dispatcher) sortQueue(destination *destination) {
	if len(destination.queue) == 0 || len(destination.groups) == 0 {
		return
	}
	at := d.now + d.expectedDuration(destination.groups[0])
	for _, message := range destination.queue {
		message.valueLoss = d.valueAt(message, at) - d.valueAt(message, at+second)
	}
	slices.SortStableFunc(destination.queue, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.valueLoss, a.valueLoss), cmp.Compare(b.priority, a.priority),
			cmp.Compare(a.objectiveAt, b.objectiveAt))
	})
	first := destination.queue[0]
	destination.urgency = (first.valueLoss + first.priority/100) / float64(at-d.now+second/10)
}

// sendNext sends the first message for which an endpoint is ready, and others in the same call where that is
// allowed. It reports whether it sent one.
func (d *Dispatcher) sendNext(destination *destination) bool {
	for _, message := range destination.queue {
		endpoint, trial := d.selectEndpoint(message)
		if endpoint == nil {
			continue
		}
		// Calls on connections that were idle this long are lost more often, which costs more than a new
		// connection.
		if endpoint.idleSince > 0 && d.now-endpoint.idleSince >= d.lossyIdleTime(0.05) {
			d.closeIdle(endpoint)
		}
		call := d.startCall(endpoint)
		d.send(message, call, trial)
		if !trial && !endpoint.group.warmingUp && !endpoint.group.outage {
			d.fillCall(call, destination)
		}
		d.localFault.recordSend(d.now)
		return true
	}
	return false
}

// fillCall adds further queued messages to a call, as long as it has room for them.
func (d *Dispatcher) fillCall(call *call, destination *destination) {
	for _, message := range slices.Clone(destination.queue) {
		if call.openAttempts >= destination.endpointType.MaxPerCall {
			return
		}
		closed := call.endpoint.group.breakers[message.classID].state == breakerClosed
		if closed && d.hasRoom(call, message) && d.mayReceive(message, call.endpoint) {
			d.send(message, call, false)
		}
	}
}

func (d *Dispatcher) send(message *message, call *call, trial bool) {
	d.dequeue(message)
	group := call.endpoint.group
	attempt := d.addAttempt(message, call)
	if trial {
		group.breakers[message.classID].trial = attempt
	}
	timeout := min(d.attemptTimeout(group, message.class), message.deadline-d.now-2*d.config.Tick)
	d.emit(Send{message.id, call.endpoint.Endpoint, max(d.config.Tick, timeout)})
}
