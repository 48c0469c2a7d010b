package server

import (
	"time"

	"pineport/dispatch"
)

// beginShutdown has the process end after a grace; until then it goes on as before, and clients with somewhere else to go are sent there.
func (r *Router) beginShutdown(grace time.Duration) {
	r.upgrade.giver.Ending()
	r.endBy = r.clock() + dispatch.Micros(grace.Microseconds())
	r.partAt = r.clock() + parting
	r.operators.open.Store(false)
	r.events = append(r.events, dispatch.ShutdownScheduled{At: r.endBy})
	r.log.Info("told to end", "held", len(r.messages), "out", len(r.inFlight))
}

// finishShutdown stores what outlasts the process, unless a successor has the folder.
func (r *Router) finishShutdown() error {
	if !r.upgrade.giver.Keeps() {
		r.log.Info("ended, handed over", "out", len(r.inFlight))
		return nil
	}
	r.log.Info("ended", "held", len(r.messages))
	r.saveLearnedAtEnd()
	r.watch.tell(r.log)
	return r.spool.Close()
}

// parting is when, after being told to end, nobody is sent here any more who could go elsewhere. Who can not, as it
// has a courier of its own, is served to the end.
const parting = 500 * 1000

// lastWords is how long, after the last connection came in, all who are connected are still served; then each is closed as soon as it
// has no reply due, and after lastChance whatever stands.
const (
	lastWords  = 50 * 1000
	lastChance = 100 * 1000
	// lastReplies is how long, after nothing more is read, the replies to what was read may take.
	lastReplies = 50 * 1000
	shutEvery   = 2 * 1000
)

// mayExit tells whether the process may end. Nothing is read any more by then, or it would have had an answer. Failures: what was read
// between the last read and the end had none; connections whose first request was on its way were closed.
func (r *Router) mayExit() bool {
	handed := r.upgrade.handed && r.endBy < never && len(r.inFlight) == 0
	if !r.leaving && (r.now >= r.endBy || handed) {
		r.leaving, r.endBy, r.lastBy, r.partAt = true, r.now+lastWords, r.now+lastWords+lastChance, never
		r.driver.Deafen()
		r.clients.sendAway()
	}
	if r.now >= r.partAt {
		if r.partAt = never; r.clients.sendAway() {
			r.partAt = r.now + newcomer
		}
	}
	if !r.leaving || r.now < r.endBy {
		return false
	}
	r.endBy = r.now + shutEvery
	if r.now < r.lastBy {
		return r.clients.shut()
	}
	// Failure: what the poller had read at the last look was closed with no answer.
	r.driver.StopReading()
	return r.clients.shut() || r.clients.answered() || r.now >= r.lastBy+lastReplies
}
