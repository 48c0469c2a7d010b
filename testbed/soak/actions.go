package soak

import (
	"context"
	"net"
	"slices"
	"time"
)

// perform waits until an action is due and carries it out.
func (r *run) perform(ctx context.Context, a action) {
	if !wait(ctx, a.at) {
		return
	}
	r.addToTimeline("%s", a.name)
	if a.isFlood() {
		r.flood(ctx, a)
		return
	}
	if a.lowersLimit() {
		r.lowerLimit(ctx, a)
		return
	}
	switch a.name {
	case actionDrain:
		r.drain(ctx)
	case actionOpenConnections:
		r.openConnections(ctx)
	case actionSilence:
		r.proxy.SilenceOpen()
		r.count(a.name)
	case actionHold:
		release := r.proxy.HoldNew()
		r.count(a.name)
		r.setHolding(true)
		wait(ctx, a.duration)
		release()
		r.setHolding(false)
		r.addToTimeline("%s ended", a.name)
	case actionHang:
		r.hanging.Store(true)
		wait(ctx, a.duration)
		r.hanging.Store(false)
		r.addToTimeline("%s ended", a.name)
	case actionHoldUp:
		r.holdUp(ctx, a)
	case actionUpgrade:
		r.upgrade(a)
	case actionCrashedUpgrade:
		r.crashedUpgrade(a)
	case actionDown:
		r.refusingPolls.Store(true)
		r.count(a.name)
		wait(ctx, a.duration)
		r.refusingPolls.Store(false)
		r.addToTimeline("%s ended", a.name)
	case actionSignals:
		r.signalSeries(ctx, a)
	default:
		r.mu.Lock()
		r.activeFaults = append(r.activeFaults, a)
		r.mu.Unlock()
		wait(ctx, a.duration)
		r.mu.Lock()
		r.activeFaults = slices.DeleteFunc(r.activeFaults, func(other action) bool { return other.name == a.name })
		r.mu.Unlock()
		r.addToTimeline("%s ended", a.name)
	}
}

// holdUp holds the running process up again and again.
func (r *run) holdUp(ctx context.Context, a action) {
	for end := time.Now().Add(a.duration); time.Now().Before(end); {
		r.mu.Lock()
		child := r.child
		r.mu.Unlock()
		child.HoldUp(minHoldUp + time.Duration(r.holdUps.Int63n(int64(maxHoldUp-minHoldUp))))
		r.count(a.name)
		if !wait(ctx, minHoldUpPause+time.Duration(r.holdUps.Int63n(int64(holdUpPauseSpan)))) {
			return
		}
	}
}

func (r *run) setHolding(holding bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holding = holding
}

// drain drains an endpoint, and reports a breach if the courier starts calls to that endpoint once the
// deadline for the change, the grace period and 50 ms more have passed. The deadline counts from the drain,
// or from the start of the process if that is later, since such a process may learn of the drain from its
// configuration.
func (r *run) drain(ctx context.Context) {
	drained := int(r.options.Seed % endpoints)
	r.mu.Lock()
	r.faultCounts[actionDrain]++
	r.mu.Unlock()
	at := time.Now()
	r.standIns.Drain(drained)
	calls := r.standIns.Calls(drained)
	for wait(ctx, 20*time.Millisecond) {
		r.mu.Lock()
		knownAt := at
		if r.processStartedAt.After(knownAt) {
			knownAt = r.processStartedAt
		}
		r.mu.Unlock()
		current := r.standIns.Calls(drained)
		if late := time.Since(knownAt) - changeDeadline - drainGrace - 50*time.Millisecond; current > calls && late > 0 {
			r.reportBreach("drain: %d calls to a draining endpoint, %v after the deadline and the grace period", current-calls, late.Round(time.Millisecond))
		}
		calls = current
	}
}

// openConnections opens 300 idle connections to the courier and closes them after 2 s.
func (r *run) openConnections(ctx context.Context) {
	r.mu.Lock()
	r.faultCounts[actionOpenConnections]++
	r.mu.Unlock()
	var conns []net.Conn
	for range 300 {
		if conn, err := net.DialTimeout("tcp", r.address, 100*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	wait(ctx, 2*time.Second)
	for _, conn := range conns {
		conn.Close()
	}
}
