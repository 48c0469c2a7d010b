package server

import (
	"fmt"
	"runtime/debug"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/server/clientconn"
)

// late is more than a loaded machine delays a timer by, and less than an answer takes.
const pausedAfter = 50 * 1000

const hour = 3600 * 1000 * 1000

// standstill lets in what came while this process stood still, before anything is judged overdue: its own
// delay would pass for the endpoints' silence.
func (s *Server) catchUpAfterPause(due dispatch.Micros) {
	for waited := 0; s.clock()-due > pausedAfter && waited < 4; waited++ {
		time.Sleep(pausedAfter / 2 * time.Microsecond)
		if len(s.queue) == 0 {
			return
		}
		s.drainQueues()
	}
}

// gather dispatches all that has come by now.
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

// dispatch hands what came in to the part that it is for. A panic over it costs the client that sent it its connection, and nothing else.
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
