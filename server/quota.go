package server

import (
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// sharesUpdated carries the quota shares agreed among couriers to the dispatcher.
type sharesUpdated struct {
	shares  []quota.Share
	epoch   time.Time // zero of the times in shares
	applied chan struct{}
}

// demandsInterval is the maximum age of the published demands.
const demandsInterval = 100 * 1000

// ApplyShares passes the current quota shares to the dispatcher at its next step. The returned channel is
// closed after that step. ApplyShares does not block: it returns nil if the control queue is full. Any
// goroutine may call it.
func (s *Server) ApplyShares(shares []quota.Share, epoch time.Time) (applied <-chan struct{}) {
	update := sharesUpdated{shares, epoch, make(chan struct{})}
	select {
	case s.control <- update:
		return update.applied
	default:
		return nil
	}
}

// Demands returns the demands that the dispatcher last reported: for each group, the calls, their results
// and the queued messages. Any goroutine may call it.
func (s *Server) Demands() []dispatch.Demand {
	if demands := s.demands.Load(); demands != nil {
		return *demands
	}
	return nil
}

// sharesQuota reports whether couriers share limits.
func (s *Server) sharesQuota() bool { return s.deployment.Peers.SharesQuotas() }

// reserveGranted reserves half of each quota share when a dispatcher starts: an earlier process, or a
// dispatcher that panicked, may have granted that half to other couriers.
func (s *Server) reserveGranted() {
	if s.sharesQuota() {
		s.grantedUntil = s.clock() + quota.GrantHorizon
	}
}

// applyShares passes the current quota shares to the dispatcher.
func (s *Server) applyShares(update sharesUpdated) {
	if s.handoff.handedOver {
		return // the successor runs the dispatcher, and applied stays open
	}
	at := func(t dispatch.Micros) dispatch.Micros {
		return dispatch.Micros(s.courierClock.At(update.epoch.Add(time.Duration(t) * time.Microsecond)))
	}
	s.events = append(s.events, quota.ToDispatch(update.shares, at))
	s.admin.pendingResults = append(s.admin.pendingResults, func() { close(update.applied) })
}

// publishDemands publishes the demands of the dispatcher once per demandsInterval.
func (s *Server) publishDemands() {
	if !s.sharesQuota() || s.now < s.nextDemandsAt {
		return
	}
	s.nextDemandsAt = s.now + demandsInterval
	if demander, ok := s.dispatcher.(dispatch.DemandReporter); ok {
		demands := demander.Demands()
		s.demands.Store(&demands)
	}
}
