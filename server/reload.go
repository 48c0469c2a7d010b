package server

import (
	"pineport/clock"
	"pineport/config"
	"pineport/dispatch"
	"pineport/maintenance"
	"pineport/snapshot"
)

// OnReload sets f to be called with each reloaded configuration, for settings of the whole process.
func (s *Server) OnReload(f func(*config.Deployment)) { s.onReload = f }

// reload applies a reloaded configuration. Unfinished messages, attempts in flight and Retry-After times
// are kept, and messages keep the terms under which they were accepted. Settings that need a restart are
// logged.
func (s *Server) reload(next *config.Deployment) {
	needRestart := s.deployment.RestartKeys(next)
	merged := s.deployment.Merged(next)
	if s.handoff.handedOver { // the successor has read the configuration itself; if this process resumes, its next event loop starts with the merged one
		s.deployment = merged
		if s.onReload != nil {
			s.onReload(merged)
		}
		return
	}
	s.log.Info("configuration reloaded", "discovery", merged.Discovery)
	if len(needRestart) > 0 {
		s.log.Warn("changes apply at the next start", "keys", needRestart)
	}
	old := s.deployment
	s.deployment = merged
	s.admin.reloads++
	if old.Discovery != merged.Discovery {
		s.discovery.addressChanged(old.Discovery)
	}
	s.counters.grow(len(merged.Classes))
	s.clients.SetLimits(s.clientLimits())
	s.endpointConns.SetLimits(s.endpointConnLimits())
	if old.DiskMB != merged.DiskMB {
		s.spool.Resize(SpoolLimit(merged))
		s.logSpoolExcess()
	}
	if !old.SameDispatch(merged) {
		s.events = append(s.events, dispatch.Reconfigured{Config: s.dispatchConfig()})
		s.shadow.reconfigure(s)
	}
	for name := range merged.Retired { // the dispatcher is not told: it finishes the remaining messages of the class and gets no new ones
		if !old.Retired[name] {
			s.log.Warn("class removed", "class", name, "unfinished", s.countUnfinished(name))
		}
	}
	if s.onReload != nil {
		s.onReload(merged)
	}
}

// logSpoolExcess tells why new messages are refused, if more is held than the disk limit allows.
func (s *Server) logSpoolExcess() {
	if excess := s.spool.Excess(); excess > 0 {
		s.log.Warn("more is held than the disk limit allows", "disk_mb", s.deployment.DiskMB, "excess_bytes", excess, "messages", len(s.messages))
	}
}

// countUnfinished returns the number of unfinished messages of a class.
func (s *Server) countUnfinished(class string) (n int) {
	for _, message := range s.messages {
		if !message.ended && message.stored.Class == class {
			n++
		}
	}
	return n
}

// SpoolLimit returns the size limit of the spool within the state folder, in bytes.
func SpoolLimit(dep *config.Deployment) int64 {
	folderSize := int64(dep.DiskMB * 1e6)
	remaining := folderSize - clock.Reserve
	if dep.SnapshotInterval > 0 {
		reserved, _ := snapshot.Reserve(folderSize)
		remaining -= reserved
	}
	if dep.Ops != "" {
		remaining -= maintenance.Reserve
	}
	return remaining
}
