package server

import (
	"fmt"
	"runtime/debug"

	"pineport/dispatch"
)

// due is when something is to be done next, unasked.
func (r *Router) due() dispatch.Micros {
	at := min(r.wakeAt, r.links.due(), r.clients.due(), r.platform.due(), r.learned.due(), r.operators.due(), r.links.unwritten(), r.endBy, r.partAt)
	for _, attempt := range r.inFlight {
		at = min(at, attempt.limit)
	}
	return at
}

// guardedStep is a step after which the process goes on whatever went wrong in it.
func (r *Router) guardedStep() {
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic in a turn", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			r.renew()
		}
	}()
	r.step()
}

// step hands the decisions what happened since the last one, and carries out their actions.
func (r *Router) step() {
	r.now = r.clock()
	r.links.expire()
	r.links.flushed()
	r.clients.sweep()
	r.operators.tick()
	r.malformed.tell(r.log, r.now)
	if !r.upgrade.handed {
		r.platform.tick()
	}
	for _, attempt := range append([]*attempt(nil), r.inFlight...) {
		if !attempt.over && attempt.limit <= r.now {
			r.overdue(attempt)
		}
	}
	if r.upgrade.handed { // another process decides
		r.reply()
		r.operators.publish()
		return
	}
	if r.wakeAt <= r.now {
		r.wakeAt = never
		r.events = append(r.events, dispatch.TimerFired{})
	}
	r.reckon()
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		r.carryOut(r.decide(events))
	}
	r.reply()
	r.platform.tick()
	r.saveLearned(false)
	r.tellNeeds()
	r.operators.publish()
}

// reply writes what clients wait for; from then on the platform is told how a message ends.
func (r *Router) reply() {
	for _, reply := range r.replies {
		reply.client.write(reply)
		if reply.message != nil {
			reply.message.waiting = nil
		}
	}
	r.replies = r.replies[:0]
}

// decide asks the decisions. Should they fail, they begin anew, as after a restart of the process.
func (r *Router) decide(events []dispatch.Event) (actions []dispatch.Action) {
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("the decisions failed", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			r.renew()
		}
	}()
	actions = r.courier.Handle(r.now, events)
	r.trace(events, actions)
	r.failed = 0
	r.watch.see(r, events, actions)
	return actions
}
