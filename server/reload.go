package server

import (
	"pineport/config"
	"pineport/dispatch"
	"pineport/maintenance"
	"pineport/snapshot"
)

// Reloaded has f told of each configuration that was taken over, for what the process itself must set.
func (r *Router) Reloaded(f func(*config.Deployment)) { r.reloaded = f }

// reload takes over what a configuration read anew changes, while messages are held: all that is held, out or told to wait
// stays as it is, and messages keep what they were promised when they were accepted. What must wait for a start is named.
func (r *Router) reload(next *config.Deployment) {
	waiting := r.dep.Waiting(next)
	merged := r.dep.Merged(next)
	if r.upgrade.handed { // another process decides, by what it has read itself; should it go, the next router here begins with this
		r.dep = merged
		if r.reloaded != nil {
			r.reloaded(merged)
		}
		return
	}
	r.log.Info("configuration read anew", "discovery", merged.Discovery)
	if len(waiting) > 0 {
		r.log.Warn("changes that wait for the next start", "keys", waiting)
	}
	old := r.dep
	r.dep = merged
	r.operators.reloads++
	if old.Discovery != merged.Discovery {
		r.platform.moved(old.Discovery)
	}
	r.counters.grow(len(merged.Workloads))
	r.clients.limit()
	r.links.limit()
	if old.SpoolMB != merged.SpoolMB {
		r.spool.Resize(SpoolRoom(merged))
	}
	if !old.SameDecisions(merged) {
		r.events = append(r.events, dispatch.Reconfigured{Config: r.charter()})
		r.watch.recharter(r)
	}
	for name := range merged.Retired { // the decisions need not hear of it: they end what is held, and get no more
		if !old.Retired[name] {
			r.log.Warn("workload taken away", "workload", name, "held", r.heldOf(name))
		}
	}
	if r.reloaded != nil {
		r.reloaded(merged)
	}
}

// heldOf is how many messages of a workload are held.
func (r *Router) heldOf(workload string) (n int) {
	for _, message := range r.messages {
		if !message.ended && message.kept.Workload == workload {
			n++
		}
	}
	return n
}

// SpoolRoom is how much of the folder that lasts is the spool's.
func SpoolRoom(dep *config.Deployment) int64 {
	folder := int64(dep.SpoolMB * 1e6)
	left := folder
	if dep.Learn > 0 {
		room, _ := snapshot.Room(folder)
		left -= room
	}
	if dep.Ops != "" {
		left -= maintenance.Room
	}
	return left
}
