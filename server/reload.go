package server

import (
	"pineport/config"
	"pineport/dispatch"
	"pineport/maintenance"
	"pineport/snapshot"
)

// OnReload has f reported of each configuration that was taken over, for what the process itself must set.
func (r *Server) OnReload(f func(*config.Deployment)) { r.onReload = f }

// reload takes over what a configuration read anew changes, while messages are held: all that is held, out or reported to wait
// stays as it is, and messages keep what they were promised when they were accepted. What must wait for a start is named.
func (r *Server) reload(next *config.Deployment) {
	waiting := r.deployment.Waiting(next)
	merged := r.deployment.Merged(next)
	if r.handoff.handedOver { // another process decides, by what it has read itself; should it go, the next event loop here begins with this
		r.deployment = merged
		if r.onReload != nil {
			r.onReload(merged)
		}
		return
	}
	r.log.Info("configuration reloaded", "discovery", merged.Discovery)
	if len(waiting) > 0 {
		r.log.Warn("changes apply at the next start", "keys", waiting)
	}
	old := r.deployment
	r.deployment = merged
	r.operators.reloads++
	if old.Discovery != merged.Discovery {
		r.discovery.addressChanged(old.Discovery)
	}
	r.counters.grow(len(merged.Classes))
	r.clients.updateLimits()
	r.endpointConns.updateLimits()
	if old.SpoolMB != merged.SpoolMB {
		r.spool.Resize(SpoolLimit(merged))
	}
	if !old.SameDecisions(merged) {
		r.events = append(r.events, dispatch.Reconfigured{Config: r.dispatchConfig()})
		r.shadow.reconfigure(r)
	}
	for name := range merged.Retired { // the decisions need not hear of it: they end what is held, and get no more
		if !old.Retired[name] {
			r.log.Warn("class removed", "class", name, "unfinished", r.countHeld(name))
		}
	}
	if r.onReload != nil {
		r.onReload(merged)
	}
}

// heldOf is how many messages of a class are held.
func (r *Server) countHeld(class string) (n int) {
	for _, message := range r.messages {
		if !message.ended && message.stored.Class == class {
			n++
		}
	}
	return n
}

// SpoolLimit is how much of the folder that lasts is the spool's.
func SpoolLimit(dep *config.Deployment) int64 {
	folder := int64(dep.SpoolMB * 1e6)
	left := folder
	if dep.Learn > 0 {
		room, _ := snapshot.Reserve(folder)
		left -= room
	}
	if dep.Ops != "" {
		left -= maintenance.Reserve
	}
	return left
}
