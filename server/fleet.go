package server

import (
	"pineport/dispatch"
	"pineport/handoff"
)

// FleetSizeEstimated has the decisions count on so many couriers from the next step on. It never waits, and no step waits for it:
// whatever becomes of the fleet's membership, messages flow.
func (r *Server) FleetSizeEstimated(couriers int) { r.estimatedSize.Store(int64(couriers)) }

// OnHandoff has f give up this process's place in the fleet, at the instant at which another one takes over.
func (r *Server) OnHandoff(f func() *handoff.Membership) { r.onHandoff = f }

// configuration is the settings' own, with as many couriers as the fleet counts where that is more: a part of a limit can only
// become smaller by what others say.
func (r *Server) dispatchConfig() dispatch.Config {
	ch := r.deployment.Dispatch
	ch.Couriers = max(ch.Couriers, int(r.appliedSize))
	ch.GrantedUntil = r.grantedUntil
	return ch
}

func (r *Server) updateFleetSize() {
	r.appliedSize = r.estimatedSize.Load()
	if ch := r.dispatchConfig(); ch.Couriers != r.configuredCouriers {
		r.configuredCouriers = ch.Couriers
		r.events = append(r.events, dispatch.Reconfigured{Config: ch})
	}
}
