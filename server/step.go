package server

import (
	"fmt"
	"runtime/debug"

	"pineport/dispatch"
)

// due returns when the next step is due without an event.
func (s *Server) due() dispatch.Micros {
	at := min(s.timerAt, s.endpointConns.Due(), s.clients.Due(), s.discovery.due(), s.snapshots.due(), s.spoolDue(), s.operators.due(), s.shutdownBy, s.drainAt)
	for _, attempt := range s.inFlight {
		at = min(at, attempt.waitUntil)
	}
	return at
}

// guardedStep is a step that no panic leaves.
func (s *Server) guardedStep() {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error("panic in a step", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			s.restartDispatcher()
		}
	}()
	s.step()
}

// step hands the dispatcher the events since the last step, and carries out its actions.
func (s *Server) step() {
	s.now = s.clock()
	s.endpointConns.CloseExpired()
	s.endpointConns.CheckWritten()
	s.clients.Sweep(s.now)
	s.operators.tick()
	s.malformed.log(s.log, s.now)
	if !s.handoff.handedOver {
		s.discovery.tick()
	}
	for _, attempt := range append([]*attempt(nil), s.inFlight...) {
		if !attempt.finished && attempt.waitUntil <= s.now {
			s.attemptOverdue(attempt)
		}
	}
	if s.handoff.handedOver { // another process decides
		s.reply()
		s.operators.publish()
		return
	}
	if s.timerAt <= s.now {
		s.timerAt = never
		s.events = append(s.events, dispatch.TimerFired{})
	}
	s.updateFleetSize()
	for len(s.events) > 0 {
		events := s.events
		s.events = nil
		s.carryOut(s.decide(events))
	}
	s.reply()
	s.flushSpool()
	s.discovery.tick()
	s.saveSnapshot(false)
	s.publishDemands()
	s.operators.publish()
}

// reply writes the replies that clients wait for. Messages that end from then on end with a notice.
func (s *Server) reply() {
	for _, reply := range s.replies {
		reply.client.Write(reply.text, reply.close)
		if reply.message != nil {
			reply.message.waiting = nil
		}
	}
	s.replies = s.replies[:0]
}

// decide calls the dispatcher. Should it panic, a new one is started, as after a restart of the process.
func (s *Server) decide(events []dispatch.Event) (actions []dispatch.Action) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error("panic in the dispatcher", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			s.restartDispatcher()
		}
	}()
	actions = s.dispatcher.Handle(s.now, events)
	s.trace(events, actions)
	s.dispatcherFailures = 0
	s.shadow.observe(s, events, actions)
	return actions
}
