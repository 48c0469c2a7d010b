package server

import (
	"pineport/dispatch"
	"pineport/handoff"
)

// Reckon has the decisions reckon with so many couriers from the next step on. It never waits, and no step waits for it:
// whatever becomes of the fleet's membership, messages flow.
func (r *Router) Reckon(couriers int) { r.couriers.Store(int64(couriers)) }

// Parted has f give up this process's place in the fleet, at the instant at which another one takes over.
func (r *Router) Parted(f func() *handoff.Peers) { r.parted = f }

// charter is the settings' own, with as many couriers as the fleet counts where that is more: a part of a limit can only
// become smaller by what others say.
func (r *Router) charter() dispatch.Config {
	ch := r.dep.Charter
	ch.Couriers = max(ch.Couriers, int(r.reckoned))
	ch.GrantedUntil = r.lentTo
	return ch
}

func (r *Router) reckon() {
	r.reckoned = r.couriers.Load()
	if ch := r.charter(); ch.Couriers != r.counted {
		r.counted = ch.Couriers
		r.events = append(r.events, dispatch.Reconfigured{Config: ch})
	}
}
