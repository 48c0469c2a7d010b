package server

import (
	"fmt"
	"runtime/debug"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/server/clientconn"
	"pineport/server/endpointconn"
)

// pausedAfter is more than a loaded machine delays a timer by, and less than an answer takes.
const pausedAfter = 50 * 1000

const hour = 3600 * 1000 * 1000

// catchUpAfterPause takes in what came while this process was paused, before anything is judged overdue: its own delay would pass for
// silence of the endpoints.
func (s *Server) catchUpAfterPause(due dispatch.Micros) {
	for waited := 0; s.clock()-due > pausedAfter && waited < 4; waited++ {
		time.Sleep(pausedAfter / 2 * time.Microsecond)
		if len(s.queue) == 0 {
			return
		}
		s.drainQueues()
	}
}

// drainQueues handles all events that have come by now.
func (s *Server) drainQueues() {
	for range len(s.control) {
		s.handle(<-s.control)
	}
	for range cap(s.queue) {
		select {
		case e := <-s.queue:
			s.handle(e)
		default:
			return
		}
	}
}

// event is something that happened outside of the loop. Other goroutines queue events; handle runs on the loop's.
type event interface{ handle(*Server) }

// The events that are not declared beside the part they are for.
type (
	// clientEvent is an event of a client's connection.
	clientEvent struct{ clientconn.Event }
	// endpointEvent is an event of a connection that this courier opened.
	endpointEvent struct{ endpointconn.Event }
	// configReloaded brings a configuration that was read anew and found valid.
	configReloaded struct{ deployment *config.Deployment }
)

func (e clientEvent) handle(s *Server)      { s.handleClient(e.Event) }
func (e endpointEvent) handle(s *Server)    { s.handleEndpointConn(e.Event) }
func (e configReloaded) handle(s *Server)   { s.reload(e.deployment) }
func (e command) handle(s *Server)          { s.operators.execute(e) }
func (e successorArrived) handle(s *Server) { s.handoff.successorArrived(e) }
func (e peerMessage) handle(s *Server)      { s.handoff.messageReceived(e) }
func (e sharesAgreed) handle(s *Server)     { s.applyShares(e) }

// handle hands an event to the part that it is for; nil, where only time has passed, is nobody's. A panic over a command is answered with
// an error, and costs nobody else anything.
func (s *Server) handle(e event) {
	s.now = s.clock()
	repliesBefore := len(s.replies)
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error("panic while handling an event", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			s.answerAfterPanic(e, repliesBefore)
		}
	}()
	if e != nil {
		e.handle(s)
	}
}

// answerAfterPanic answers the commands of an event over which the loop panicked.
func (s *Server) answerAfterPanic(e event, repliesBefore int) {
	client, ok := e.(clientEvent)
	if !ok {
		return
	}
	if commands, ok := client.Event.(clientconn.Commands); ok {
		s.commandsFailed(commands, repliesBefore)
	}
}
