package dispatch

// What a failure on this machine says: nothing of any destination. No attempt left, so none counts, no breaker opens and no endpoint is ejected;
// but what this machine is short of it is short of for all, so that nothing is sent for a moment.

const (
	// The pause is as short as a table that is full for a moment, and grows to what a message of the shortest deadlines can spare.
	firstLocalPause = second / 50
	maxLocalPause   = second * 8 / 25
)

// localFault is a failure of this machine that lasts.
type localFault struct {
	failures    int    // in a row, those of attempts that were sent together counted once
	failedAt    Micros // when the last one was counted
	pausedUntil Micros
}

// fails takes in that an attempt never left.
func (f *localFault) fails(now, sentAt Micros) {
	if f.failures > 0 && sentAt < f.failedAt {
		return
	}
	f.failedAt = now
	f.pausedUntil = now + min(firstLocalPause<<min(f.failures, 10), maxLocalPause)
	f.failures++
}

// sends takes in that an attempt is sent: while the fault lasts, one is enough to see whether it is over.
func (f *localFault) sends(now Micros) {
	if f.failures > 0 {
		f.pausedUntil = max(f.pausedUntil, now+firstLocalPause)
	}
}

// clear ends the fault where an attempt has left.
func (f *localFault) clear(outcome Outcome) {
	if outcome != Unprocessed && outcome != Canceled {
		*f = localFault{}
	}
}

// attemptUnsent books an attempt that never left: it is none of those that its message may have.
func (d *Dispatcher) attemptUnsent(event AttemptUnsent) {
	if attempt := d.unfinishedAttempt(event.AttemptFinished); attempt != nil {
		d.local.fails(d.now, attempt.sentAt)
		attempt.message.unsent++
	}
	event.Outcome = Unprocessed
	d.attemptFinished(event.AttemptFinished)
}
