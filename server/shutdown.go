package server

import (
	"time"

	"pineport/dispatch"
	"pineport/server/clientconn"
)

// beginShutdown has the process exit after a grace; until then it goes on as before, and drains clients that can go elsewhere.
func (s *Server) beginShutdown(grace time.Duration) {
	s.handoff.machine.ShutDown()
	s.shutdownBy = s.clock() + dispatch.Micros(grace.Microseconds())
	s.drainAt = s.clock() + drainDelay
	s.operators.serving.Store(false)
	s.events = append(s.events, dispatch.ShutdownScheduled{At: s.shutdownBy})
	s.log.Info("graceful shutdown started", "unfinished", len(s.messages), "in_flight", len(s.inFlight))
}

// finishShutdown stores what outlasts the process, unless a successor owns the folder.
func (s *Server) finishShutdown() error {
	if !s.handoff.machine.Owns() {
		s.log.Info("exited after the handoff", "in_flight", len(s.inFlight))
		return nil
	}
	s.log.Info("exited", "unfinished", len(s.messages))
	s.saveLastSnapshot()
	s.shadow.log(s.log)
	return s.spool.Close()
}

// drainDelay is when, after the shutdown has begun, clients are drained. Those that have only this courier are served to the end.
const drainDelay = 500 * 1000

// lastWords is how long, after the last connection came in, all who are connected are still served; then each is closed as soon as it
// has no reply due, and after lastChance whatever stands.
const (
	acceptTimeout = 50 * 1000
	exitTimeout   = 100 * 1000
	// replyTimeout is how long, after nothing more is read, the replies to what was read may take.
	replyTimeout  = 50 * 1000
	closeInterval = 2 * 1000
)

// mayExit reports whether the process may exit. Nothing is read any more by then, or it would have had an answer. Failures: what was read
// between the last read and the exit had none; connections whose first request was on its way were closed.
func (s *Server) mayExit() bool {
	handed := s.handoff.handedOver && s.shutdownBy < never && len(s.inFlight) == 0
	if !s.exiting && (s.now >= s.shutdownBy || handed) {
		s.exiting, s.shutdownBy, s.exitBy, s.drainAt = true, s.now+acceptTimeout, s.now+acceptTimeout+exitTimeout, never
		s.driver.StopAccepting()
		s.clients.CloseIdle(s.now)
	}
	if s.now >= s.drainAt {
		if s.drainAt = never; s.clients.CloseIdle(s.now) {
			s.drainAt = s.now + clientconn.NewConnGrace
		}
	}
	if !s.exiting || s.now < s.shutdownBy {
		return false
	}
	s.shutdownBy = s.now + closeInterval
	if s.now < s.exitBy {
		return s.allClientsClosed()
	}
	// Failure: what the poller had read at the last look was closed with no answer.
	s.driver.StopReading()
	return s.allClientsClosed() || s.allClientsAnswered() || s.now >= s.exitBy+replyTimeout
}

// allClientsClosed closes the connections that have all their replies, and reports whether none is left and nothing waits in the queue.
func (s *Server) allClientsClosed() bool {
	closed := s.clients.CloseAnswered()
	return closed && len(s.queue) == 0
}

// allClientsAnswered reports whether all that was read has its reply, once nothing more is read.
func (s *Server) allClientsAnswered() bool {
	return s.clients.AllAnswered() && len(s.queue) == 0
}
