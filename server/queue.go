package server

import (
	"fmt"
	"runtime/debug"
	"time"

	"pineport/config"
	"pineport/dispatch"
)

// late is more than a loaded machine delays a timer by, and less than an answer takes.
const pausedAfter = 50 * 1000

const hour = 3600 * 1000 * 1000

// standstill lets in what came while this process stood still, before anything is judged overdue: its own
// delay would pass for the endpoints' silence.
func (r *Server) catchUpAfterPause(due dispatch.Micros) {
	for waited := 0; r.clock()-due > pausedAfter && waited < 4; waited++ {
		time.Sleep(pausedAfter / 2 * time.Microsecond)
		if len(r.queue) == 0 {
			return
		}
		r.drainQueues()
	}
}

// gather dispatches all that has come by now.
func (r *Server) drainQueues() {
	for range len(r.control) {
		r.handle(<-r.control)
	}
	for range cap(r.queue) {
		select {
		case what := <-r.queue:
			r.handle(what)
		default:
			return
		}
	}
}

// dispatch hands what came in to the part that it is for. A panic over it costs the client that sent it its connection, and nothing else.
func (r *Server) handle(what any) {
	r.now = r.clock()
	repliesBefore := len(r.replies)
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic while handling an event", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			if event, ok := what.(clientCommands); ok {
				r.clients.commandsFailed(event, repliesBefore)
			}
		}
	}()
	switch e := what.(type) {
	case clientCommands:
		r.clients.handleCommands(e)
	case clientClosed:
		r.clients.closed(e)
	case *clientConn:
		r.clients.add(e)
	case *config.Deployment:
		r.reload(e)
	case command:
		r.operators.execute(e)
	case successorArrived:
		r.handoff.successorArrived(e)
	case peerMessage:
		r.handoff.messageReceived(e)
	case sharesAgreed:
		r.applyShares(e)
	case connUp:
		r.endpointConns.up(e)
	case answerBegun:
		r.endpointConns.answerBegun(e)
	case answerReceived:
		r.endpointConns.answered(e)
	case connDown:
		r.endpointConns.down(e)
	}
}
