package server

import (
	"pineport/dispatch"
	"pineport/handoff"
)

// FleetSizeEstimated has the decisions count on so many couriers from the next step on. It never waits, and no step waits for it:
// whatever becomes of the fleet's membership, messages flow.
func (s *Server) FleetSizeEstimated(couriers int) { s.estimatedSize.Store(int64(couriers)) }

// OnHandoff has f give up this process's place in the fleet, at the instant at which another one takes over.
func (s *Server) OnHandoff(f func() *handoff.Membership) { s.onHandoff = f }

// configuration is the settings' own, with as many couriers as the fleet counts where that is more: a part of a limit can only
// become smaller by what others say.
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
