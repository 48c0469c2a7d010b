// Package dispatch decides what a courier does with the messages it has accepted: which endpoint gets a
// message and when, what is retried, rejected, failed or canceled, and when the endpoint list is polled.
//
// It holds no I/O, no clock and no goroutine. New reads the Config once; Handle takes an instant and the
// events since the last call and returns the actions to carry out, in order. types.go has the events and
// actions; state.go and snapshot.go hold bookkeeping without decisions; docs/design.md says why the decisions
// are as they are.
package dispatch

// New returns a dispatcher that has no messages and has learned nothing.
func New(config Config) *Dispatcher {
	d := newDispatcher(config)
	d.priorDuration = second
	for _, class := range config.Classes {
		d.priorDuration = min(d.priorDuration, class.Objective/2)
	}
	d.measureClasses()
	return d
}

// Handle takes the events of one instant, in whole microseconds, and returns the actions to carry out, in
// order. A dispatcher that panics must not be used again.
func (d *Dispatcher) Handle(now Micros, events []Event) []Action {
	d.now, d.actions, d.nextDue = now, nil, never
	if d.timerAt <= now {
		d.spreadAfterPause(now - d.timerAt)
		d.timerAt = never
	}
	for _, event := range events {
		d.handleEvent(event)
	}
	if d.listing.pollAt <= now {
		d.emit(d.listing.poll())
	}
	d.scheduleAt(d.listing.pollAt)
	d.giveUpExpired()
	d.sendQueued()
	d.shedLoad()
	d.dropEmptyQueues()
	if len(d.waiting) > 0 {
		d.scheduleAt(now + second/10) // silence and overdue calls become due without an event
	}
	if at := max(d.nextDue, now+d.config.Tick); d.nextDue < never && at < d.timerAt {
		d.timerAt = at
		d.emit(SetTimer{at})
	}
	return d.actions
}

// spreadAfterPause spreads queued messages over as long as this process was paused, for groups with failures
// or throttling within a slow start: couriers of one host that resume together would overload a recovering
// server.
func (d *Dispatcher) spreadAfterPause(span Micros) {
	for _, group := range d.recentGroups {
		if span > second/4 && d.now-group.lastFailure < d.config.SlowStart {
			group.retryAfterUntil = max(group.retryAfterUntil, d.now+Micros(d.rng.Int63n(int64(span))))
		}
	}
}
