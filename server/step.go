package server

import (
	"fmt"
	"runtime/debug"

	"pineport/dispatch"
)

// due is when something is to be done next, unasked.
func (r *Server) due() dispatch.Micros {
	at := min(r.timerAt, r.endpointConns.due(), r.clients.due(), r.discovery.due(), r.snapshots.due(), r.operators.due(), r.endpointConns.nextFlushCheck(), r.shutdownBy, r.drainAt)
	for _, attempt := range r.inFlight {
		at = min(at, attempt.waitUntil)
	}
	return at
}

// guardedStep is a step after which the process goes on whatever went wrong in it.
func (r *Server) guardedStep() {
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic in a step", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			r.restartDispatcher()
		}
	}()
	r.step()
}

// step hands the decisions what happened since the last one, and carries out their actions.
func (r *Server) step() {
	r.now = r.clock()
	r.endpointConns.expire()
	r.endpointConns.checkWritten()
	r.clients.sweep()
	r.operators.tick()
	r.malformed.log(r.log, r.now)
	if !r.handoff.handedOver {
		r.discovery.tick()
	}
	for _, attempt := range append([]*attempt(nil), r.inFlight...) {
		if !attempt.finished && attempt.waitUntil <= r.now {
			r.attemptOverdue(attempt)
		}
	}
	if r.handoff.handedOver { // another process decides
		r.reply()
		r.operators.publish()
		return
	}
	if r.timerAt <= r.now {
		r.timerAt = never
		r.events = append(r.events, dispatch.TimerFired{})
	}
	r.updateFleetSize()
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		r.carryOut(r.decide(events))
	}
	r.reply()
	r.discovery.tick()
	r.saveSnapshot(false)
	r.publishDemands()
	r.operators.publish()
}

// reply writes what clients wait for; from then on the platform is notified how a message ends.
func (r *Server) reply() {
	for _, reply := range r.replies {
		reply.client.write(reply)
		if reply.message != nil {
			reply.message.waiting = nil
		}
	}
	r.replies = r.replies[:0]
}

// decide asks the decisions. Should they fail, they begin anew, as after a restart of the process.
func (r *Server) decide(events []dispatch.Event) (actions []dispatch.Action) {
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic in the dispatcher", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			r.restartDispatcher()
		}
	}()
	actions = r.dispatcher.Handle(r.now, events)
	r.trace(events, actions)
	r.dispatcherFailures = 0
	r.shadow.observe(r, events, actions)
	return actions
}
