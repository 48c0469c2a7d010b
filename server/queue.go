package server

import (
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/server/clientconn"
	"pineport/server/endpointconn"
)

// pauseThreshold is longer than timers are delayed on a loaded machine and shorter than an endpoint takes
// to answer.
const pauseThreshold = 50 * 1000

// hour bounds the wait of the event loop, because the constant never does not fit a time.Duration.
const hour = 3600 * 1000 * 1000

// The time for catching up after a pause is taken from what the platform leaves for a final answer, so it is short.
const (
	catchUpWait   = 10 * time.Millisecond // for the poller
	catchUpRounds = 3
	maxCatchUp    = catchUpRounds * catchUpWait
)

// catchUpAfterPause handles events that arrived while this process was paused, before any timeout is
// checked. Otherwise the pause would look like endpoints that do not answer. It waits for the poller up to
// catchUpRounds times, as long as events arrive.
func (s *Server) catchUpAfterPause(due dispatch.Micros) {
	late := s.clock() - due
	if late <= pauseThreshold {
		return
	}
	s.log.Warn("process held up", "late_ms", late/1000)
	for range catchUpRounds {
		time.Sleep(catchUpWait)
		if len(s.queue) == 0 {
			return
		}
		s.handleQueued()
	}
}

// maxCommandsPerStep bounds the client commands that are handled before their replies are written, and deadlines, notices and drains are
// looked at. One event may exceed it.
const maxCommandsPerStep = 256

// handleQueued handles the queued events, those of the control queue first. It handles at most as many
// events as fit in the queue, so that it ends under load.
func (s *Server) handleQueued() { s.handleUpTo(math.MaxInt) }

// handleUpTo is handleQueued, and ends once so many client commands have been handled.
func (s *Server) handleUpTo(maxCommands int) {
	for range len(s.control) {
		s.handle(<-s.control)
	}
	commands := 0
	for range cap(s.queue) {
		select {
		case e := <-s.queue:
			commands += commandCount(e)
			s.handle(e)
		default:
			return
		}
		if commands >= maxCommands {
			return
		}
	}
}

// commandCount returns the number of client commands in an event.
func commandCount(e event) int {
	if client, ok := e.(clientEvent); ok {
		if commands, ok := client.Event.(clientconn.Commands); ok {
			return commands.Count()
		}
	}
	return 0
}

// event is something that happened outside of the event loop. Other goroutines queue events, and the event
// loop calls handle.
type event interface{ handle(*Server) }

// Events that are not declared next to the code that handles them.
type (
	// clientEvent is an event of a client connection.
	clientEvent struct{ clientconn.Event }
	// endpointEvent is an event of an outgoing connection.
	endpointEvent struct{ endpointconn.Event }
	// configReloaded carries a valid configuration that was reloaded.
	configReloaded struct{ deployment *config.Deployment }
)

func (e clientEvent) handle(s *Server)    { s.handleClient(e.Event) }
func (e endpointEvent) handle(s *Server)  { s.handleEndpointConn(e.Event) }
func (e configReloaded) handle(s *Server) { s.reload(e.deployment) }
func (e command) handle(s *Server)        { s.admin.execute(e) }
func (e successorReady) handle(s *Server) { s.handoff.successorReady(e) }
func (e peerMessage) handle(s *Server)    { s.handoff.messageReceived(e) }
func (e sharesUpdated) handle(s *Server)  { s.applyShares(e) }

// handle dispatches an event to its handler. A nil event only updates the time. If a client command panics,
// its client gets an error reply and other clients are not affected.
func (s *Server) handle(e event) {
	s.now = s.clock()
	repliesBefore := len(s.replies)
	defer func() {
		if panicValue := recover(); panicValue != nil {
			s.log.Error("panic while handling an event", "error", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			s.replyAfterPanic(e, repliesBefore)
		}
	}()
	if e != nil {
		e.handle(s)
	}
}

// replyAfterPanic replies to the commands of an event whose handler panicked.
func (s *Server) replyAfterPanic(e event, repliesBefore int) {
	client, ok := e.(clientEvent)
	if !ok {
		return
	}
	if commands, ok := client.Event.(clientconn.Commands); ok {
		s.failCommands(commands, repliesBefore)
	}
}
