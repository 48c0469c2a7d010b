package server

import (
	"time"

	"pineport/dispatch"
)

// beginShutdown has the process end after a grace; until then it goes on as before, and clients with somewhere else to go are sent there.
func (r *Server) beginShutdown(grace time.Duration) {
	r.handoff.machine.ShutDown()
	r.shutdownBy = r.clock() + dispatch.Micros(grace.Microseconds())
	r.drainAt = r.clock() + drainDelay
	r.operators.serving.Store(false)
	r.events = append(r.events, dispatch.ShutdownScheduled{At: r.shutdownBy})
	r.log.Info("graceful shutdown started", "unfinished", len(r.messages), "in_flight", len(r.inFlight))
}

// finishShutdown stores what outlasts the process, unless a successor has the folder.
func (r *Server) finishShutdown() error {
	if !r.handoff.machine.Owns() {
		r.log.Info("exited after the handoff", "in_flight", len(r.inFlight))
		return nil
	}
	r.log.Info("exited", "unfinished", len(r.messages))
	r.saveLastSnapshot()
	r.shadow.log(r.log)
	return r.spool.Close()
}

// parting is when, after being reported to end, nobody is sent here any more who could go elsewhere. Who can not, as it
// has a courier of its own, is served to the end.
const drainDelay = 500 * 1000

// lastWords is how long, after the last connection came in, all who are connected are still served; then each is closed as soon as it
// has no reply due, and after lastChance whatever stands.
const (
	acceptTimeout = 50 * 1000
	exitTimeout   = 100 * 1000
	// lastReplies is how long, after nothing more is read, the replies to what was read may take.
	replyTimeout  = 50 * 1000
	closeInterval = 2 * 1000
)

// mayExit tells whether the process may end. Nothing is read any more by then, or it would have had an answer. Failures: what was read
// between the last read and the end had none; connections whose first request was on its way were closed.
func (r *Server) mayExit() bool {
	handed := r.handoff.handedOver && r.shutdownBy < never && len(r.inFlight) == 0
	if !r.exiting && (r.now >= r.shutdownBy || handed) {
		r.exiting, r.shutdownBy, r.exitBy, r.drainAt = true, r.now+acceptTimeout, r.now+acceptTimeout+exitTimeout, never
		r.driver.StopAccepting()
		r.clients.closeIdle()
	}
	if r.now >= r.drainAt {
		if r.drainAt = never; r.clients.closeIdle() {
			r.drainAt = r.now + newConnGrace
		}
	}
	if !r.exiting || r.now < r.shutdownBy {
		return false
	}
	r.shutdownBy = r.now + closeInterval
	if r.now < r.exitBy {
		return r.clients.closeAnswered()
	}
	// Failure: what the poller had read at the last look was closed with no answer.
	r.driver.StopReading()
	return r.clients.closeAnswered() || r.clients.allAnswered() || r.now >= r.exitBy+replyTimeout
}
