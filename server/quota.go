package server

import (
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// sharesAgreed is what couriers have agreed on about limits, on its way to the dispatcher.
type sharesAgreed struct {
	parts   []quota.Share
	epoch   time.Time // their clock's
	applied chan struct{}
}

// demandsInterval is how old the demands of the dispatcher may be.
const demandsInterval = 100 * 1000

// ApplyShares hands the dispatcher the shares that hold, at its next step; the channel is closed after that. It never waits: nil where the
// loop cannot take it now. Any goroutine may call it.
func (s *Server) ApplyShares(parts []quota.Share, zero time.Time) (applied <-chan struct{}) {
	agreed := sharesAgreed{parts, zero, make(chan struct{})}
	select {
	case s.control <- agreed:
		return agreed.applied
	default:
		return nil
	}
}

// Demands returns what the dispatcher last reported of its groups. Any goroutine may call it.
func (s *Server) Demands() []dispatch.Demand {
	if all := s.demands.Load(); all != nil {
		return *all
	}
	return nil
}

// sharesQuota reports whether limits are shared among couriers at all.
func (s *Server) sharesQuota() bool { return s.deployment.Peers.SharesQuotas() }

// reserveGranted is called at each start of a dispatcher: an earlier start, or a dispatcher that panicked, may have granted half of each
// share.
func (s *Server) reserveGranted() {
	if s.sharesQuota() {
		s.grantedUntil = s.clock() + quota.GrantHorizon
	}
}

// applyShares hands the dispatcher the shares that hold.
func (s *Server) applyShares(agreed sharesAgreed) {
	if s.handoff.handedOver {
		return // another process decides, and has been reported nothing
	}
	at := func(t dispatch.Micros) dispatch.Micros {
		return dispatch.Micros(s.courierClock.At(agreed.epoch.Add(time.Duration(t) * time.Microsecond)))
	}
	s.events = append(s.events, quota.ToDispatch(agreed.parts, at))
	s.operators.replies = append(s.operators.replies, func() { close(agreed.applied) })
}

// publishDemands collects the demands of the dispatcher, now and then.
func (s *Server) publishDemands() {
	if !s.sharesQuota() || s.now < s.demandsAt {
		return
	}
	s.demandsAt = s.now + demandsInterval
	if d, ok := s.dispatcher.(dispatch.DemandReporter); ok {
		all := d.Demands()
		s.demands.Store(&all)
	}
}
