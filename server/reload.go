package server

import (
	"pineport/clock"
	"pineport/config"
	"pineport/dispatch"
	"pineport/maintenance"
	"pineport/snapshot"
)

// OnReload has f called for each configuration that was taken over, for what the process itself must set.
func (s *Server) OnReload(f func(*config.Deployment)) { s.onReload = f }

// reload takes over a reloaded configuration while messages are held: unfinished messages, attempts in flight and Retry-After stay as they
// are, and messages keep what they were promised when they were accepted. What must wait for a restart is logged.
func (s *Server) reload(next *config.Deployment) {
	waiting := s.deployment.RestartKeys(next)
	merged := s.deployment.Merged(next)
	if s.handoff.handedOver { // another process decides, by what it has read itself; should it go, the next event loop here begins with this
		s.deployment = merged
		if s.onReload != nil {
			s.onReload(merged)
		}
		return
	}
	s.log.Info("configuration reloaded", "discovery", merged.Discovery)
	if len(waiting) > 0 {
		s.log.Warn("changes apply at the next start", "keys", waiting)
	}
	old := s.deployment
	s.deployment = merged
	s.operators.reloads++
	if old.Discovery != merged.Discovery {
		s.discovery.addressChanged(old.Discovery)
	}
	s.counters.grow(len(merged.Classes))
	s.clients.SetLimits(s.clientLimits())
	s.endpointConns.SetLimits(s.endpointConnLimits())
	if old.DiskMB != merged.DiskMB {
		s.spool.Resize(SpoolLimit(merged))
	}
	if !old.SameDispatch(merged) {
		s.events = append(s.events, dispatch.Reconfigured{Config: s.dispatchConfig()})
		s.shadow.reconfigure(s)
	}
	for name := range merged.Retired { // the decisions need not hear of it: they end what is held, and get no more
		if !old.Retired[name] {
			s.log.Warn("class removed", "class", name, "unfinished", s.countHeld(name))
		}
	}
	if s.onReload != nil {
		s.onReload(merged)
	}
}

// countHeld counts the unfinished messages of a class.
func (s *Server) countHeld(class string) (n int) {
	for _, message := range s.messages {
		if !message.ended && message.stored.Class == class {
			n++
		}
	}
	return n
}

// SpoolLimit is the spool's part of the state folder, in bytes.
func SpoolLimit(dep *config.Deployment) int64 {
	folder := int64(dep.DiskMB * 1e6)
	left := folder - clock.Reserve
	if dep.SnapshotInterval > 0 {
		room, _ := snapshot.Reserve(folder)
		left -= room
	}
	if dep.Ops != "" {
		left -= maintenance.Reserve
	}
	return left
}
