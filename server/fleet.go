package server

import (
	"pineport/dispatch"
	"pineport/handoff"
)

// SetFleetSize sets the size of the fleet for the dispatcher, from the next step on. It never waits, and no step waits for it:
// whatever becomes of the membership, messages flow. Any goroutine may call it.
func (s *Server) SetFleetSize(couriers int) { s.estimatedSize.Store(int64(couriers)) }

// OnHandoff has f give up this process's place in the fleet, at the instant at which a successor takes over.
func (s *Server) OnHandoff(f func() *handoff.Membership) { s.onHandoff = f }

// dispatchConfig is the configured one, with the size of the fleet as it is estimated where that is more: a share of a limit can only
// become smaller by what others report.
func (s *Server) dispatchConfig() dispatch.Config {
	ch := s.deployment.Dispatch
	ch.Couriers = max(ch.Couriers, int(s.appliedSize))
	ch.GrantedUntil = s.grantedUntil
	return ch
}

func (s *Server) updateFleetSize() {
	s.appliedSize = s.estimatedSize.Load()
	if ch := s.dispatchConfig(); ch.Couriers != s.configuredCouriers {
		s.configuredCouriers = ch.Couriers
		s.events = append(s.events, dispatch.Reconfigured{Config: ch})
	}
}
