package server

import (
	"time"

	"pineport/clock"
	"pineport/dispatch"
	"pineport/platform"
	"pineport/protocol"
	"pineport/server/clientconn"
)

// StopRequest is a request to shut down. It knows when it was made, so that time that passes until the event loop takes it up is not lost.
type StopRequest struct {
	made chan struct{}
	at   time.Time // set before made is closed
}

// NewStopRequest returns a request that has not been made yet.
func NewStopRequest() *StopRequest { return &StopRequest{made: make(chan struct{})} }

// Make makes the request. It must be called once at most.
func (r *StopRequest) Make() {
	r.at = clock.Instant()
	close(r.made)
}

// Made returns a channel that is closed when the request is made.
func (r *StopRequest) Made() <-chan struct{} { return r.made }

// age returns the time since the request was made.
func (r *StopRequest) age() dispatch.Micros { return dispatch.Micros(clock.Since(r.at).Microseconds()) }

// ShutdownTimes are the times of a graceful shutdown, from its request.
type ShutdownTimes struct {
	// CloseClients is when the courier stops to accept connections and closes those of its clients.
	CloseClients time.Duration
	// End is when the process ends. Between CloseClients and End it goes on with the messages that it has.
	End time.Duration
	// Latest is when the process ends at the latest, if hold-ups have delayed it.
	Latest time.Duration
}

// finishTimeout is the time for the last snapshot, the spool and the log at the end of the process.
const finishTimeout = 100 * time.Millisecond

// closeHoldUps is how many hold-ups of the process the time for closing its clients allows for: hold-ups come about once a second, and a kill
// would cut off requests that were read. After the clients are closed it would cut off nothing that is not in the spool.
const (
	closeHoldUps = 2
	endHoldUps   = 2
)

// ShutdownWithinKillDelay returns the times of a shutdown that ends before the platform kills the process.
func ShutdownWithinKillDelay() ShutdownTimes {
	return ShutdownTimes{
		CloseClients: platform.KillDelay - closeHoldUps*platform.MaxHoldUp - maxCloseTime*time.Microsecond - finishTimeout,
		End:          platform.KillDelay - endHoldUps*platform.MaxHoldUp - finishTimeout,
		Latest:       platform.KillDelay - finishTimeout,
	}
}

// Limits of the closing of clients, one after another, in microseconds. For postAcceptGrace after accepting has stopped, all connected clients
// are served. Then each connection is closed as soon as it has no pending replies and no request that was read in part: right behind its
// reply, before the client can send another request, and with a check every closeInterval. After a further exitTimeout, reading stops
// between two requests.
const (
	postAcceptGrace = 50 * 1000
	exitTimeout     = 100 * 1000
	// replyTimeout bounds the time for the rest of requests that were read in part, and for the remaining
	// replies, after reading has stopped.
	replyTimeout  = 50 * 1000
	rejectTimeout = 200 * 1000 // for rejecting what is unanswered then
	closeInterval = 2 * 1000
	// maxCloseTime is the longest time for closing all clients, without hold-ups. Accepting stops within acceptStopTimeout.
	maxCloseTime      = acceptStopTimeout + postAcceptGrace + exitTimeout + replyTimeout + rejectTimeout
	acceptStopTimeout = 50 * 1000
)

// drainDelay is the time from the start of the shutdown until idle client connections are closed, so that clients with another courier can use
// that one. Clients that have only this courier connect again and are served until the closing.
const drainDelay = 500 * 1000

// shutdown is the state of a graceful shutdown. Its times are the constant never while no shutdown is requested.
type shutdown struct {
	drainAt       dispatch.Micros // when idle client connections are closed; the drain by operators is adminState.drainAt
	closeAt       dispatch.Micros // when closing the clients begins; after that, the time of the next check
	stopReadingAt dispatch.Micros // while the clients are being closed: when reading stops
	endAt         dispatch.Micros // when the process ends
	latestAt      dispatch.Micros // when the process ends even if requests are open
	rejectUntil   dispatch.Micros // end of rejecting; 0 before it has begun
	requestedAt   dispatch.Micros
	closing       bool // accepting has stopped, and the clients are being closed or are closed
	clientsClosed bool
}

// isRequested reports whether the shutdown has been requested.
func (d *shutdown) isRequested() bool { return d.endAt < never }

// due returns when the next step of the shutdown is due.
func (d *shutdown) due() dispatch.Micros { return min(d.drainAt, d.closeAt, d.endAt) }

// beginShutdown schedules the shutdown, whose request was made an age ago. Until the clients are closed, the courier accepts and serves them.
func (s *Server) beginShutdown(times ShutdownTimes, age dispatch.Micros) {
	s.handoff.stateMachine.ShutDown()
	requestedAt := s.clock() - age
	s.shutdown.requestedAt = requestedAt
	s.shutdown.closeAt = requestedAt + dispatch.Micros(times.CloseClients.Microseconds())
	s.shutdown.endAt = requestedAt + dispatch.Micros(times.End.Microseconds())
	s.shutdown.latestAt = requestedAt + dispatch.Micros(times.Latest.Microseconds())
	s.shutdown.drainAt = requestedAt + drainDelay
	s.admin.serving.Store(false)
	s.events = append(s.events, dispatch.ShutdownScheduled{At: s.shutdown.endAt})
	s.log.Info("graceful shutdown started", "unfinished", len(s.messages), "in_flight", len(s.inFlight), "request_age_ms", age/1000)
}

// advanceShutdown does what is due in a shutdown, and reports whether the process may end. It returns true only after all clients are
// closed.
func (s *Server) advanceShutdown() (mayEnd bool) {
	if !s.shutdown.isRequested() {
		return false
	}
	handedOver := s.handoff.handedOver && len(s.inFlight) == 0
	if !s.shutdown.closing && (s.now >= s.shutdown.closeAt || handedOver) {
		s.startClosing()
	}
	if s.now >= s.shutdown.drainAt {
		s.drainIdleClients()
	}
	if s.shutdown.closing && !s.shutdown.clientsClosed && s.closeClients() {
		s.finishClosing()
	}
	if !s.shutdown.clientsClosed {
		return false
	}
	s.closeRejected()
	return s.now >= s.shutdown.latestAt || (s.now >= s.shutdown.endAt || handedOver) && s.allClientsAnswered()
}

// drainIdleClients closes idle client connections, and new ones a little later.
func (s *Server) drainIdleClients() {
	s.shutdown.drainAt = never
	if s.clients.CloseIdle(s.now) {
		s.shutdown.drainAt = s.now + clientconn.NewConnGrace
	}
}

// startClosing stops accepting and begins to close the clients.
func (s *Server) startClosing() {
	s.shutdown.closing = true
	s.shutdown.closeAt = s.now + postAcceptGrace
	s.shutdown.stopReadingAt = s.shutdown.closeAt + exitTimeout
	s.shutdown.drainAt = never
	s.driver.StopAccepting()
	s.clients.CloseIdle(s.now)
}

// closeClients closes client connections, and reports whether all requests that were read have their replies and nothing more is
// read.
// Failures: requests read between the last check of the queue and the exit got no reply, and connections
// whose first request was in transit were closed.
func (s *Server) closeClients() (done bool) {
	if s.now < s.shutdown.stopReadingAt-exitTimeout {
		return false
	}
	s.shutdown.closeAt = s.now + closeInterval
	if s.now < s.shutdown.stopReadingAt {
		return s.closeAnsweredClients()
	}
	// Failure: the connection of a request that the poller read after the last check of the queue was
	// closed without a reply.
	s.driver.StopReading()
	if s.closeAnsweredClients() || s.allClientsAnswered() {
		return true
	}
	if s.now < s.shutdown.stopReadingAt+replyTimeout {
		return false
	}
	return s.rejectRest()
}

// rejectRest rejects the requests that have been read, whole or in part, and that have no reply at the end of the closing. Those in the event
// queue are rejected as they are handled, so the first call never reports that the time for it is over, however late it comes. Incidents: on a
// loaded machine the process ended over requests in its event queue, and again when all of its times had passed in one step.
func (s *Server) rejectRest() (done bool) {
	if s.shutdown.rejectUntil == 0 {
		s.shutdown.rejectUntil = min(s.now+rejectTimeout, s.shutdown.latestAt)
		s.log.Warn("rejecting open requests", "unanswered", s.clients.Unanswered(), "queued", len(s.queue))
	} else {
		done = s.now >= s.shutdown.rejectUntil
	}
	if incomplete := s.clients.RejectIncomplete(protocol.ReplyBusy(0)); incomplete > 0 {
		s.log.Warn("incomplete requests rejected", "count", incomplete)
	}
	return done
}

// isRejecting reports whether all further requests are rejected.
func (d *shutdown) isRejecting() bool { return d.rejectUntil > 0 }

// finishClosing closes the connections that are left, but for those whose request was rejected before it was complete.
func (s *Server) finishClosing() {
	s.driver.StopReading()
	left := s.clients.CloseAll()
	s.shutdown.clientsClosed = true
	s.log.Info("clients closed", "after_ms", (s.clock()-s.shutdown.requestedAt)/1000, "not_at_rest", left, "unanswered", s.clients.Unanswered(), "unfinished", len(s.messages), "in_flight", len(s.inFlight))
}

// closeRejected closes the connections whose request was rejected before it was complete, once its rest has been read.
func (s *Server) closeRejected() {
	s.shutdown.closeAt = never
	if s.clients.Len() > 0 {
		s.clients.RejectIncomplete(protocol.ReplyBusy(0))
		s.clients.CloseAnswered()
		s.shutdown.closeAt = s.now + closeInterval
	}
}

// closeAnsweredClients closes the connections without pending replies. It reports whether no connection is
// left and the event queue is empty.
func (s *Server) closeAnsweredClients() bool {
	closed := s.clients.CloseAnswered()
	return closed && len(s.queue) == 0
}

// allClientsAnswered reports whether all requests have their replies, after reading has stopped.
func (s *Server) allClientsAnswered() bool {
	return s.clients.AllAnswered() && len(s.queue) == 0
}

// finishShutdown stores the final state, unless a successor owns the state folder.
func (s *Server) finishShutdown() error {
	if !s.handoff.stateMachine.Owns() {
		s.log.Info("exited after the handoff", "in_flight", len(s.inFlight))
		return nil
	}
	s.log.Info("exited", "unfinished", len(s.messages), "in_flight", len(s.inFlight), "after_ms", (s.clock()-s.shutdown.requestedAt)/1000)
	s.saveLastSnapshot()
	s.shadow.log(s.log)
	return s.spool.Close()
}
