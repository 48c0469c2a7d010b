package server

import (
	"errors"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/clientconn"
	"pineport/spool"
)

// Commands of clients, and their replies. Package clientconn has the connections.

// Errors that clients get, as they stand on the wire.
var (
	errUnknownCommandName = errors.New("ERR unknown command")
	errUnknownClass       = errors.New("ERR unknown workload")
	errUnknownDestination = errors.New("ERR unknown destination")
)

// reply is the answer to one command. Replies are written in the order of the commands.
type reply struct {
	client  *clientconn.Conn
	message *message // accepted with the command
	text    string
	close   bool // the connection, after the reply
}

// clientLimits takes the limits of the deployment: four tenths of the descriptors, and half of them while many come at once, so that endpoints
// and discovery always find some. An eighth of the memory goes to partial commands.
func (s *Server) clientLimits() clientconn.Limits {
	sockets := s.deployment.MaxDescriptors - AdminSockets(s.deployment)
	return clientconn.Limits{Conns: sockets * 4 / 10, Admitted: sockets / 2, PartialBytes: int64(s.deployment.MemoryMB) << 20 / 8}
}

// handleClient takes in an event of a client's connection.
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

func (s *Server) handleCommands(event clientconn.Commands) {
	s.clients.RecordCommands(event.Conn, s.now)
	for _, arguments := range event.Commands {
		reply := &reply{client: event.Conn}
		s.replies = append(s.replies, reply)
		s.handleCommand(arguments, reply)
	}
	if event.Err != nil {
		s.countMalformedClient(event.Err)
		s.replies = append(s.replies, &reply{client: event.Conn, text: protocol.ReplyError(event.Err.Error()), close: true})
	}
}

// commandsFailed answers the commands of an event that could not be handled; before is how many replies were due until then. Failure: the
// connection was closed with no answer to what had been read.
func (s *Server) commandsFailed(event clientconn.Commands, before int) {
	for len(s.replies) < before+len(event.Commands) {
		s.replies = append(s.replies, &reply{client: event.Conn})
	}
	for _, failed := range s.replies[before:] {
		if failed.close = true; failed.text == "" {
			failed.text = protocol.ReplyError("ERR internal error")
		}
	}
}

// clientClosed drops the messages of a client that has gone and did not learn that they were accepted, unless they were submitted over another
// connection too: it submits them anew. Failure: the other connection was promised what had gone with the first. A client that has only ended
// its sending and still reads is answered that its message is rejected. Failure: it was closed with no answer to what had been read.
func (s *Server) clientClosed(conn *clientconn.Conn) {
	s.clients.Remove(conn)
	for _, due := range s.replies {
		message := due.message
		if due.client != conn || message == nil {
			continue
		}
		due.message = nil
		message.waiting = slices.DeleteFunc(message.waiting, func(other *reply) bool { return other == due })
		if len(message.waiting) > 0 {
			continue
		}
		s.finish(message)
		s.events = append(s.events, dispatch.MessageCanceled{Message: dispatch.MessageID(message.stored.ID)})
		s.forget(message)
		if conn.HalfClosed() {
			due.text = protocol.ReplyBusy(0)
			s.count(message.stored.Class, rejected)
		}
	}
}

func (s *Server) handleCommand(arguments [][]byte, reply *reply) {
	switch {
	case protocol.IsCommand(arguments, "PING") && len(arguments) == 1 && s.operators.isDraining():
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
	s.malformed.clients, s.malformed.lastClient = s.malformed.clients+1, err
}

// enqueue accepts a message. The reply is written after the dispatcher has taken it in, and may have rejected it. A request that was on its way
// as the connection was to be closed for a successor is not accepted, and may be sent again at once.
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
	if !s.acceptedBefore(request, reply) {
		s.acceptMessage(request, reply)
	}
}

// checkEnqueue returns an error where a message names a class or destination that is not known.
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

// acceptedBefore answers a message that was accepted already, and reports whether it was.
func (s *Server) acceptedBefore(request protocol.Enqueue, reply *reply) bool {
	id := dispatch.MessageID(request.ID)
	switch message := s.messages[id]; {
	case message != nil && len(message.waiting) > 0: // sent twice in one step: whatever the first reply is
		reply.message, reply.text = message, protocol.ReplyOK
		message.waiting = append(message.waiting, reply)
		return true
	case message != nil || s.finished.contains(id, s.now): // sent once more after a closed connection
		reply.text = protocol.ReplyOK
		return true
	}
	return false
}

// folderRetryMs is when clients may come again while the folder fails.
const folderRetryMs = 1000

// acceptMessage stores a message and hands it to the dispatcher.
func (s *Server) acceptMessage(request protocol.Enqueue, reply *reply) {
	stored := &spool.Message{ID: request.ID, Class: request.Class, Destination: request.Destination, Tenant: request.Tenant, OrderingKey: request.OrderingKey,
		IdempotencyKey: request.IdempotencyKey, Resubmitted: request.Resubmitted, Deadline: int64(s.now) + int64(request.TTLMs)*1000, Body: request.Body}
	if err := s.spool.Append(stored); err != nil {
		if !errors.Is(err, spool.ErrFull) {
			s.logSpoolError(err)
		}
		reply.text = protocol.ReplyBusy(0)
		if errors.Is(err, spool.ErrWriteFailed) {
			reply.text = protocol.ReplyBusy(folderRetryMs)
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
