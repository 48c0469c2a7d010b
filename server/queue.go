package server

import (
	"fmt"
	"runtime/debug"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/server/clientconn"
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
		case what := <-s.queue:
			s.handle(what)
		default:
			return
		}
	}
}

// handle hands an event to the part that it is for. A panic over a command is answered with an error, and costs nobody else anything.
func (s *Server) handle(what any) {
	s.now = s.clock()
	repliesBefore := len(s.replies)
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error("panic while handling an event", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			if event, ok := what.(clientconn.Commands); ok {
				s.commandsFailed(event, repliesBefore)
			}
		}
	}()
	switch e := what.(type) {
	case clientconn.Event:
		s.handleClient(e)
	case *config.Deployment:
		s.reload(e)
	case command:
		s.operators.execute(e)
	case successorArrived:
		s.handoff.successorArrived(e)
	case peerMessage:
		s.handoff.messageReceived(e)
	case sharesAgreed:
		s.applyShares(e)
	case connUp:
		s.endpointConns.up(e)
	case answerBegun:
		s.endpointConns.answerBegun(e)
	case answerReceived:
		s.endpointConns.answered(e)
	case connDown:
		s.endpointConns.down(e)
	}
}
