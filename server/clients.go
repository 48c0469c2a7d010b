package server

import (
	"errors"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/clientconn"
	"pineport/spool"
)

// This file handles the commands of clients and their replies. Package clientconn manages the connections.

// Error replies to clients, as written on the wire.
var (
	errUnknownCommandName = errors.New("ERR unknown command")
	errUnknownClass       = errors.New("ERR unknown workload")
	errUnknownDestination = errors.New("ERR unknown destination")
)

// reply is the reply to one command. Replies on a connection are written in the order of the commands.
type reply struct {
	client  *clientconn.Conn
	message *message // the message accepted by the command, if any
	text    string
	close   bool // close the connection after the reply
	// arrivedAt is the earliest time at which the command may have arrived.
	arrivedAt dispatch.Micros
}

// clientLimits derives the limits of client connections from the deployment. Clients may keep 4/10 of all
// file descriptors, and use up to half of all during a burst of new connections, so that descriptors remain
// for endpoints and discovery. Partially received commands may use 1/8 of the memory, and replies that clients do not read 1/16.
func (s *Server) clientLimits() clientconn.Limits {
	sockets := s.deployment.MaxDescriptors - AdminSockets(s.deployment)
	memory := int64(s.deployment.MemoryMB) << 20
	return clientconn.Limits{Conns: sockets * 4 / 10, Admitted: sockets / 2, PartialBytes: memory / 8, UnreadBytes: memory / 16}
}

// handleClient handles an event of a client connection.
func (s *Server) handleClient(event clientconn.Event) {
	switch e := event.(type) {
	case clientconn.Opened:
		s.clients.Add(e.Conn, s.now)
	case clientconn.Commands:
		s.handleCommands(e)
	case clientconn.Closed:
		s.clientClosed(e.Conn)
	}
}

// handleCommands handles the commands of a client. Those of a client that is gone are dropped: nobody waits for their replies, and the client
// may have submitted its messages elsewhere.
func (s *Server) handleCommands(event clientconn.Commands) {
	if event.Conn.IsGone() {
		event.Conn.Drop(event.Count())
		return
	}
	s.clients.RecordCommands(event.Conn, s.now)
	for _, arguments := range event.Commands {
		reply := &reply{client: event.Conn, arrivedAt: event.ArrivedAt}
		s.replies = append(s.replies, reply)
		s.handleCommand(arguments, reply)
	}
	if event.Err != nil {
		s.countMalformedClient(event.Err)
		s.replies = append(s.replies, &reply{client: event.Conn, text: protocol.ReplyError(event.Err.Error()), close: true})
	}
}

// failCommands replies to the commands of an event whose handler panicked. repliesBefore is the number of
// replies that were pending before the event. Failure: the connection was closed without a reply to
// requests already read.
func (s *Server) failCommands(event clientconn.Commands, repliesBefore int) {
	for len(s.replies) < repliesBefore+len(event.Commands) {
		s.replies = append(s.replies, &reply{client: event.Conn})
	}
	for _, reply := range s.replies[repliesBefore:] {
		if reply.close = true; reply.text == "" {
			reply.text = protocol.ReplyError("ERR internal error")
		}
	}
}

// clientClosed drops the messages of a client that disconnected before it got their replies: the client
// submits them again. A message that was also submitted over another connection is kept. Failure: the other
// connection got +OK for a message that had been dropped with the first.
//
// A client that has only closed its sending side still reads, so it is told that its message was rejected.
// Failure: its connection was closed without a reply to requests already read.
func (s *Server) clientClosed(conn *clientconn.Conn) {
	s.clients.Remove(conn)
	for _, pending := range s.replies {
		message := pending.message
		if pending.client != conn || message == nil {
			continue
		}
		pending.message = nil
		message.waiting = slices.DeleteFunc(message.waiting, func(other *reply) bool { return other == pending })
		if len(message.waiting) > 0 {
			continue
		}
		s.endMessage(message)
		s.events = append(s.events, dispatch.MessageCanceled{Message: dispatch.MessageID(message.stored.ID)})
		s.removeIfDone(message)
		if conn.HalfClosed() {
			pending.text = protocol.ReplyBusy(0)
			s.count(message.stored.Class, rejected)
		}
	}
}

func (s *Server) handleCommand(arguments [][]byte, reply *reply) {
	switch {
	case protocol.IsCommand(arguments, "PING") && len(arguments) == 1 && s.admin.isDraining():
		reply.text = protocol.ReplyError("ERR sent away: the courier takes no more clients")
	case protocol.IsCommand(arguments, "PING") && len(arguments) == 1:
		reply.text = protocol.ReplyPong
	case protocol.IsCommand(arguments, "PING"):
		reply.text = protocol.ReplyError("ERR wrong number of arguments for 'ping'")
	case protocol.IsCommand(arguments, "ENQUEUE"):
		s.enqueue(arguments, reply)
	default:
		s.countMalformedClient(errUnknownCommandName)
		reply.text = protocol.ReplyError(errUnknownCommandName.Error())
	}
}

func (s *Server) countMalformedClient(err error) {
	s.malformed.clients, s.malformed.lastClientError = s.malformed.clients+1, err
}

// enqueue handles an ENQUEUE command. Its reply is written after the dispatcher has handled the message and
// possibly rejected it. After a handoff, a request still in transit on a connection that is about to be
// closed is not accepted. The client may send it again at once.
func (s *Server) enqueue(arguments [][]byte, reply *reply) {
	if s.handoff.handedOver {
		reply.text, reply.close = protocol.ReplyBusy(1), true
		return
	}
	request, err := protocol.ReadEnqueue(arguments)
	if err == nil {
		err = s.checkEnqueue(request)
	}
	if err != nil {
		s.countMalformedClient(err)
		reply.text = protocol.ReplyError(err.Error())
		return
	}
	switch {
	case s.acceptedBefore(request, reply):
	case s.shutdown.isRejecting():
		reply.text = protocol.ReplyBusy(0)
	default:
		s.acceptMessage(request, reply)
	}
}

// checkEnqueue returns an error if the class or destination of a message is unknown.
func (s *Server) checkEnqueue(request protocol.Enqueue) error {
	if !slices.Contains(s.deployment.Classes, request.Class) || s.deployment.Retired[request.Class] {
		return errUnknownClass
	}
	if !s.knowsDestination(request.Destination) {
		s.count(request.Class, failed)
		return errUnknownDestination
	}
	return nil
}

// acceptedBefore reports whether a message has already been accepted, and if so sets the reply.
func (s *Server) acceptedBefore(request protocol.Enqueue, reply *reply) bool {
	id := dispatch.MessageID(request.ID)
	switch message := s.messages[id]; {
	case message != nil && len(message.waiting) > 0: // submitted twice in one step: both get the reply of the first
		reply.message, reply.text = message, protocol.ReplyOK
		message.waiting = append(message.waiting, reply)
		return true
	case message != nil || s.finished.contains(id, s.now): // submitted again, for example after its connection was closed
		reply.text = protocol.ReplyOK
		return true
	}
	return false
}

// spoolRetryAfterMs is the Retry-After sent to clients while writes to the spool fail.
const spoolRetryAfterMs = 1000

// acceptMessage stores a message and passes it to the dispatcher. Its time to live counts from when the client sent it, at the earliest
// from when the command may have arrived.
func (s *Server) acceptMessage(request protocol.Enqueue, reply *reply) {
	stored := &spool.Message{ID: request.ID, Class: request.Class, Destination: request.Destination, Tenant: request.Tenant, OrderingKey: request.OrderingKey,
		IdempotencyKey: request.IdempotencyKey, Resubmitted: request.Resubmitted, Deadline: int64(min(s.now, reply.arrivedAt)) + int64(request.TTLMs)*1000, Body: request.Body}
	if err := s.spool.Append(stored); err != nil {
		if !errors.Is(err, spool.ErrFull) {
			s.logSpoolError(err)
		}
		reply.text = protocol.ReplyBusy(0)
		if errors.Is(err, spool.ErrWriteFailed) {
			reply.text = protocol.ReplyBusy(spoolRetryAfterMs)
		}
		s.count(stored.Class, rejected)
		return
	}
	accepted := &message{stored: stored, acceptedAt: s.now, idempotencyWindow: s.idempotencyWindow(stored.Class)}
	accepted.waiting = append(accepted.waiting, reply)
	reply.text, reply.message = protocol.ReplyOK, accepted
	s.messages[dispatch.MessageID(request.ID)] = accepted
	s.counters.accepted()
	s.events = append(s.events, s.acceptedEvent(stored))
}
