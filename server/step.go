package server

import (
	"fmt"
	"runtime/debug"
	"strings"

	"pineport/dispatch"
	"pineport/server/clientconn"
)

// due returns when the next step is due without an event.
func (s *Server) due() dispatch.Micros {
	at := min(s.timerAt, s.endpointConns.Due(), s.clients.Due(), s.discovery.due(), s.snapshots.due(), s.spoolDue(), s.admin.due(), s.shutdown.due())
	for _, attempt := range s.inFlight {
		at = min(at, attempt.waitUntil)
	}
	return at
}

// guardedStep runs a step and recovers from a panic in it.
func (s *Server) guardedStep() {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			s.log.Error("panic in a step", "error", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			s.restartDispatcher()
		}
	}()
	s.step()
}

// step passes the events since the last step to the dispatcher and executes its actions. It ticks discovery
// before that, to report expired polls to the dispatcher, and again after it, to send new notices.
func (s *Server) step() {
	s.now = s.clock()
	s.endpointConns.CloseExpired()
	s.endpointConns.CheckWritten()
	s.clients.Sweep(s.now)
	s.admin.tick()
	s.malformed.log(s.log, s.now)
	if !s.handoff.handedOver {
		s.discovery.tick()
	}
	for _, attempt := range append([]*attempt(nil), s.inFlight...) {
		if !attempt.finished && attempt.waitUntil <= s.now {
			s.callTimedOut(attempt.call)
		}
	}
	if s.handoff.handedOver { // the successor runs the dispatcher
		s.writeReplies()
		s.admin.publish()
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
		s.execute(s.decide(events))
	}
	s.writeReplies()
	s.flushSpool()
	s.discovery.tick()
	s.saveSnapshot(false)
	s.publishDemands()
	s.admin.publish()
}

// writeReplies writes the pending replies, with one write for each client. A message that ends undelivered after its reply was written ends
// with a notice.
func (s *Server) writeReplies() {
	var clients []*clientconn.Conn // in the order of their first replies
	batches := map[*clientconn.Conn]*replyBatch{}
	for _, reply := range s.replies {
		batch := batches[reply.client]
		if batch == nil {
			batch = &replyBatch{}
			batches[reply.client], clients = batch, append(clients, reply.client)
		}
		batch.add(reply)
		if reply.message != nil {
			reply.message.waiting = nil
		}
	}
	for _, client := range clients {
		batch := batches[client]
		client.Write(batch.text.String(), batch.count, batch.close)
	}
	clear(s.replies)
	if s.replies = s.replies[:0]; cap(s.replies) > maxKeptReplies {
		s.replies = nil
	}
}

// maxKeptReplies is the length up to which the list of pending replies is used again.
const maxKeptReplies = 1024

// replyBatch holds the pending replies to one client.
type replyBatch struct {
	text  strings.Builder
	count int
	close bool // close the connection after the replies
}

func (b *replyBatch) add(reply *reply) {
	b.text.WriteString(reply.text)
	b.count++
	b.close = b.close || reply.close
}

// decide calls the dispatcher. If it panics, a new one is started with the unfinished messages.
func (s *Server) decide(events []dispatch.Event) (actions []dispatch.Action) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			s.log.Error("panic in the dispatcher", "error", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			s.restartDispatcher()
		}
	}()
	actions = s.dispatcher.Handle(s.now, events)
	s.trace(events, actions)
	s.dispatcherRestarts = 0
	s.shadow.observe(s, events, actions)
	return actions
}
