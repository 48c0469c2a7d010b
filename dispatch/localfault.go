package dispatch

// This file handles failures on this machine, such as a lack of sockets. They are no evidence about any
// destination: the attempt was not sent, so it is not counted, opens no breaker and ejects no endpoint. As the lack
// affects all destinations, nothing is sent for a short time.

const (
	// The first pause suits a full table of open files or sockets that has free entries again soon. The longest pause
	// is what a message with one of the shortest deadlines can spare.
	firstLocalPause = second / 50
	maxLocalPause   = second * 8 / 25
)

// localFault is the state of a continuing failure on this machine; its zero value means no failure.
type localFault struct {
	failures    int    // consecutive failures; those of attempts that were started together count once
	failedAt    Micros // when the last failure was counted
	pausedUntil Micros // nothing is sent until then
}

// recordFailure records that an attempt was not sent.
func (f *localFault) recordFailure(now, sentAt Micros) {
	if f.failures > 0 && sentAt < f.failedAt {
		return
	}
	f.failedAt = now
	f.pausedUntil = now + min(firstLocalPause<<min(f.failures, 10), maxLocalPause)
	f.failures++
}

// recordSend records that an attempt is about to be sent. While the fault lasts, recordSend extends the pause: one
// attempt is enough to test whether the fault is over.
func (f *localFault) recordSend(now Micros) {
	if f.failures > 0 {
		f.pausedUntil = max(f.pausedUntil, now+firstLocalPause)
	}
}

// clear ends the fault if the outcome shows that an attempt has left this machine.
func (f *localFault) clear(outcome Outcome) {
	if outcome != Unprocessed && outcome != Canceled {
		*f = localFault{}
	}
}

// attemptUnsent records an attempt that was not sent. It does not count towards the attempts that its message may
// have.
func (d *Dispatcher) attemptUnsent(event AttemptUnsent) {
	if attempt := d.unfinishedAttempt(event.AttemptFinished); attempt != nil {
		d.localFault.recordFailure(d.now, attempt.sentAt)
		attempt.message.unsent++
	}
	event.Outcome = Unprocessed
	d.attemptFinished(event.AttemptFinished)
}
