package server

import (
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// sharing is what couriers have settled among themselves, on its way to the decisions.
type sharesAgreed struct {
	parts   []quota.Share
	epoch   time.Time // their clock's
	applied chan struct{}
}

// needsEvery is how old what the decisions tell of their routes may be.
const demandsInterval = 100 * 1000

// ApplyShares hands the decisions what stands on limits, at their next step; what it returns is closed after that. It never waits: nil where
// this process cannot take it just now.
func (r *Server) ApplyShares(parts []quota.Share, zero time.Time) (applied <-chan struct{}) {
	agreed := sharesAgreed{parts, zero, make(chan struct{})}
	select {
	case r.control <- agreed:
		return agreed.applied
	default:
		return nil
	}
}

// Demands is what the decisions last reported of their routes.
func (r *Server) Demands() []dispatch.Demand {
	if all := r.demands.Load(); all != nil {
		return *all
	}
	return nil
}

// shares tells whether parts of limits are shared among couriers at all.
func (r *Server) sharesQuota() bool { return r.deployment.Peers.Sharing() }

// holdBack is notified at each beginning of the decisions: an earlier start, or the decisions that failed, may have granted half of each part.
func (r *Server) reserveGranted() {
	if r.sharesQuota() {
		r.grantedUntil = r.clock() + quota.GrantHorizon
	}
}

// applySharing hands the decisions what couriers have settled.
func (r *Server) applyShares(agreed sharesAgreed) {
	if r.handoff.handedOver {
		return // another process decides, and has been reported nothing
	}
	at := func(t dispatch.Micros) dispatch.Micros {
		return r.startedAtUnix + dispatch.Micros(agreed.epoch.Add(time.Duration(t)*time.Microsecond).Sub(r.startedAt).Microseconds())
	}
	r.events = append(r.events, quota.ToDispatch(agreed.parts, at))
	r.operators.replies = append(r.operators.replies, func() { close(agreed.applied) })
}

// tellNeeds has the decisions tell of their routes, now and then.
func (r *Server) publishDemands() {
	if !r.sharesQuota() || r.now < r.demandsAt {
		return
	}
	r.demandsAt = r.now + demandsInterval
	if d, ok := r.dispatcher.(dispatch.Demander); ok {
		all := d.Demands()
		r.demands.Store(&all)
	}
}
