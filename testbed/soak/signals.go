package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"pineport/testbed/syscallfault"
)

// signalSeries sends the signals of an action, one after another. If one of them ends the process, or asks it to end, the
// process is killed at killAfter at the latest, and started again downtime later.
func (r *run) signalSeries(ctx context.Context, a action) {
	r.mu.Lock()
	child := r.child
	if r.stopRequested { // another series has not started the process again yet
		r.mu.Unlock()
		return
	}
	r.stopRequested = slices.ContainsFunc(a.signals, func(s timedSignal) bool { return s.endsProcess() })
	r.mu.Unlock()
	var away outage
	for _, signal := range a.signals {
		wait(ctx, signal.delay)
		if signal.endsProcess() && away.from.IsZero() {
			away.from = time.Now()
		}
		if hasExited(child) {
			break
		}
		if signal.signal == syscall.SIGKILL {
			away.killedAt = time.Now()
		}
		if child.Signal(signal.signal) == nil {
			r.count(a.name)
			r.count(signal.name())
		}
		r.addToTimeline("%s", signal.name())
	}
	if !away.from.IsZero() {
		r.restart(child, away)
	}
}

// restart kills the process at the end of killAfter if it still runs, and starts the next one.
func (r *run) restart(child *syscallfault.Process, away outage) {
	if away.killedAt.IsZero() {
		select {
		case <-child.Done:
			r.addToTimeline("exited")
		case <-time.After(time.Until(away.from.Add(killAfter))):
			away.overdue = true
			r.reportBreach("exit: the process had not ended %v after SIGTERM, and was killed", killAfter)
		}
		time.Sleep(time.Until(away.from.Add(killAfter)))
		if !hasExited(child) {
			child.Signal(syscall.SIGKILL)
		}
	}
	<-child.Done
	r.mu.Lock()
	switch {
	case away.overdue:
		r.overdue++
	case away.killedAt.IsZero():
		r.selfExits++
	default:
		r.killed++
	}
	away.until = time.Now().Add(time.Hour) // until it is known when the next process is ready
	r.outages = append(r.outages, away)
	r.mu.Unlock()
	time.Sleep(downtime)
	if err := r.start(); err != nil {
		r.reportBreach("the courier could not be restarted: %v", err)
	}
	r.mu.Lock()
	r.outages[len(r.outages)-1].until = time.Now()
	r.mu.Unlock()
	r.addToTimeline("started")
}

func hasExited(child *syscallfault.Process) bool {
	select {
	case <-child.Done:
		return true
	default:
		return false
	}
}
