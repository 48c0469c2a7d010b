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
func (s *Server) ApplyShares(parts []quota.Share, zero time.Time) (applied <-chan struct{}) {
	agreed := sharesAgreed{parts, zero, make(chan struct{})}
	select {
	case s.control <- agreed:
		return agreed.applied
	default:
		return nil
	}
}

// Demands is what the decisions last reported of their routes.
func (s *Server) Demands() []dispatch.Demand {
	if all := s.demands.Load(); all != nil {
		return *all
	}
	return nil
}

// shares tells whether parts of limits are shared among couriers at all.
func (s *Server) sharesQuota() bool { return s.deployment.Peers.Sharing() }

// holdBack is notified at each beginning of the decisions: an earlier start, or the decisions that failed, may have granted half of each part.
func (s *Server) reserveGranted() {
	if s.sharesQuota() {
		s.grantedUntil = s.clock() + quota.GrantHorizon
	}
}

// applySharing hands the decisions what couriers have settled.
func (s *Server) applyShares(agreed sharesAgreed) {
	if s.handoff.handedOver {
		return // another process decides, and has been reported nothing
	}
	at := func(t dispatch.Micros) dispatch.Micros {
		return s.startedAtUnix + dispatch.Micros(agreed.epoch.Add(time.Duration(t)*time.Microsecond).Sub(s.startedAt).Microseconds())
	}
	s.events = append(s.events, quota.ToDispatch(agreed.parts, at))
	s.operators.replies = append(s.operators.replies, func() { close(agreed.applied) })
}

// tellNeeds has the decisions tell of their routes, now and then.
func (s *Server) publishDemands() {
	if !s.sharesQuota() || s.now < s.demandsAt {
		return
	}
	s.demandsAt = s.now + demandsInterval
	if d, ok := s.dispatcher.(dispatch.Demander); ok {
		all := d.Demands()
		s.demands.Store(&all)
	}
}
