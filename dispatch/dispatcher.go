// Package dispatch decides what a courier does with the messages it has accepted: which endpoint gets a
// message and when, what is retried, rejected, failed or canceled, and when the endpoint list is polled.
//
// The package does no I/O, reads no clock and starts no goroutine. New takes the initial Config; Handle takes
// an instant and the events since the last call and returns the actions to carry out, in order. types.go
// defines the events and actions; state.go and snapshot.go hold bookkeeping without decisions; docs/design.md
// gives the reasons for the decisions.
package dispatch

// New returns a dispatcher without messages and without learned state.
func New(config Config) *Dispatcher {
	d := newDispatcher(config)
	d.priorDuration = second
	for _, class := range config.Classes {
		d.priorDuration = min(d.priorDuration, class.Objective/2)
	}
	d.updateClassMaxima()
	return d
}

// Handle processes the events of one instant and returns the actions to carry out, in order. A dispatcher
// that panicked must not be used again.
func (d *Dispatcher) Handle(now Micros, events []Event) []Action {
	d.now, d.actions, d.nextDue = now, nil, never
	if d.timerAt <= now {
		d.spreadAfterPause(now - d.timerAt)
		d.timerAt = never
	}
	for _, event := range events {
		d.handleEvent(event)
	}
	if d.listStatus.pollAt <= now {
		d.emit(d.listStatus.startPoll())
	}
	d.scheduleAt(d.listStatus.pollAt)
	d.giveUpExpired()
	d.sendQueued()
	d.shedLoad()
	d.dropEmptyQueues()
	if len(d.waiting) > 0 {
		d.scheduleAt(now + second/10) // silent groups and overdue calls have to be noticed without an event
	}
	if at := max(d.nextDue, now+d.config.Tick); d.nextDue < never && at < d.timerAt {
		d.timerAt = at
		d.emit(SetTimer{at})
	}
	return d.actions
}

// spreadAfterPause delays calls by a random part of the time for which this process was paused, if that was
// over a quarter of a second. It applies to groups at which a call failed or was throttled within the last
// Config.SlowStart: couriers of one host that resume together would otherwise overload a recovering server.
// The delay is kept like a Retry-After.
func (d *Dispatcher) spreadAfterPause(span Micros) {
	for _, group := range d.recentGroups {
		if span > second/4 && d.now-group.lastFailure < d.config.SlowStart {
			group.retryAfterUntil = max(group.retryAfterUntil, d.now+Micros(d.rng.Int63n(int64(span))))
		}
	}
}
