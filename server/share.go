package server

import (
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// sharing is what couriers have settled among themselves, on its way to the decisions.
type sharing struct {
	parts   []quota.Part
	zero    time.Time // their clock's
	applied chan struct{}
}

// needsEvery is how old what the decisions tell of their routes may be.
const needsEvery = 100 * 1000

// Share hands the decisions what stands on limits, at their next step; what it returns is closed after that. It never waits: nil where
// this process cannot take it just now.
func (r *Router) Share(parts []quota.Part, zero time.Time) (applied <-chan struct{}) {
	s := sharing{parts, zero, make(chan struct{})}
	select {
	case r.door <- s:
		return s.applied
	default:
		return nil
	}
}

// Needs is what the decisions last told of their routes.
func (r *Router) Needs() []dispatch.Demand {
	if all := r.needs.Load(); all != nil {
		return *all
	}
	return nil
}

// shares tells whether parts of limits are shared among couriers at all.
func (r *Router) shares() bool { return r.dep.Peers.Sharing() }

// holdBack is told at each beginning of the decisions: an earlier start, or the decisions that failed, may have lent half of each part.
func (r *Router) holdBack() {
	if r.shares() {
		r.lentTo = r.clock() + quota.Held
	}
}

// applySharing hands the decisions what couriers have settled.
func (r *Router) applySharing(s sharing) {
	if r.upgrade.handed {
		return // another process decides, and has been told nothing
	}
	at := func(t dispatch.Micros) dispatch.Micros {
		return r.baseUnix + dispatch.Micros(s.zero.Add(time.Duration(t)*time.Microsecond).Sub(r.base).Microseconds())
	}
	r.events = append(r.events, quota.Settled(s.parts, at))
	r.operators.answers = append(r.operators.answers, func() { close(s.applied) })
}

// tellNeeds has the decisions tell of their routes, now and then.
func (r *Router) tellNeeds() {
	if !r.shares() || r.now < r.needsAt {
		return
	}
	r.needsAt = r.now + needsEvery
	if d, ok := r.courier.(dispatch.Demander); ok {
		all := d.Demands()
		r.needs.Store(&all)
	}
}
