package server

import (
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/protocol"
)

// SetFleetSize sets the fleet size used by the dispatcher from the next step on. It does not block,
// and the event loop does not wait for it, so messages are still delivered if the fleet membership fails.
// Any goroutine may call it.
func (s *Server) SetFleetSize(couriers int) { s.estimatedFleetSize.Store(int64(couriers)) }

// OnHandoff sets f to be called when a successor takes over. f gives up this process's membership in the
// fleet and returns it for the successor.
func (s *Server) OnHandoff(f func() *handoff.Membership) { s.onHandoff = f }

// dispatchConfig returns the configuration of the dispatcher. It uses the estimated fleet size if that is
// larger than the configured one, so reports of other couriers can only reduce this courier's share of a
// limit.
func (s *Server) dispatchConfig() dispatch.Config {
	cfg := s.deployment.Dispatch
	cfg.Couriers = max(cfg.Couriers, int(s.appliedFleetSize))
	cfg.GrantedUntil = s.grantedUntil
	cfg.MaxSharedSize = protocol.MaxBody
	return cfg
}

func (s *Server) updateFleetSize() {
	s.appliedFleetSize = s.estimatedFleetSize.Load()
	if cfg := s.dispatchConfig(); cfg.Couriers != s.reportedCouriers {
		s.reportedCouriers = cfg.Couriers
		s.events = append(s.events, dispatch.Reconfigured{Config: cfg})
	}
}
