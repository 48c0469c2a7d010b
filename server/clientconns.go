package server

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/spool"
	"pineport/transport"
)

// client is one client's connection. The parser belongs to the poller, the rest to the event loop.
type clientConn struct {
	server        *Server
	parser        protocol.Commands
	unreadable    bool  // the stream can't be read on
	discarded     int   // bytes since then
	partialBytes  int64 // bytes of a command that is not whole
	conn          *transport.Conn
	connectedAt   dispatch.Micros
	lastCommandAt dispatch.Micros
	pending       atomic.Int64 // commands without a reply
	hasCommanded  atomic.Bool  // a command has come
	partialSince  atomic.Int64 // when the command that is not whole began; 0 between two
	closed        bool         // for good
	halfClosed    bool         // it sends nothing more, and may still read its replies
}

const maxUnreadReplies = 64 << 10 // thousands of replies

type (
	clientCommands struct {
		from     *clientConn
		commands [][][]byte
		err      error // the stream cannot be read on
	}
	clientClosed struct{ from *clientConn }
)

func (c *clientConn) Opened(conn *transport.Conn) {
	c.conn = conn
	c.server.queue <- c
}

func (c *clientConn) Data(_ *transport.Conn, b []byte) {
	if c.unreadable { // goes on after a fault: reading it all would cost those who can be served
		if c.discarded += len(b); c.discarded > maxUnreadReplies && c.pending.Load() == 0 {
			c.conn.Close()
		}
		return
	}
	all, err := c.parser.Feed(b)
	if held := int64(c.parser.Held()); err == nil {
		if sum := c.server.clients.partialBytes.Add(held - c.partialBytes); sum > c.server.clients.partialLimit.Load() && held > freePartialBytes {
			err = errPartialTooLong
		}
		c.partialBytes = held
	}
	if c.parser.Between() {
		c.partialSince.Store(0)
	} else if len(all) > 0 || c.partialSince.Load() == 0 {
		c.partialSince.Store(int64(c.server.clock()))
	}
	if c.unreadable = err != nil; c.unreadable {
		c.release()
	}
	if len(all) > 0 || err != nil {
		c.hasCommanded.Store(true)
		c.pending.Add(int64(len(all)))
		if err != nil {
			c.pending.Add(1)
		}
		c.server.queue <- clientCommands{c, all, err}
	}
}

// release gives back what was kept of a command that will never be whole.
func (c *clientConn) release() {
	c.server.clients.partialBytes.Add(-c.partialBytes)
	c.partialBytes, c.parser = 0, protocol.Commands{}
	c.partialSince.Store(0)
}

func (c *clientConn) Closed(*transport.Conn, error) {
	c.release()
	c.server.clients.count.Add(-1)
	c.server.queue <- clientClosed{c}
}

// fewBytes of a command that is not whole are kept for anybody; nearly all commands are shorter.
const freePartialBytes = 4 << 10

var errPartialTooLong = errors.New("ERR no room for so long a command now")

// rests tells whether nothing of a request has been read that has no reply yet; half a command counts.
func (c *clientConn) isIdle() bool {
	return c.pending.Load() == 0 && c.partialSince.Load() == 0 && c.conn.Flushed()
}

// RepliesDue implements transport.Replier.
func (c *clientConn) RepliesDue() bool { return c.pending.Load() > 0 }

func (c *clientConn) write(r *reply) {
	c.pending.Add(-1)
	_ = c.conn.Write([]byte(r.text)) // a client that has gone is notified of by Closed
	if c.halfClosed {
		if !c.RepliesDue() {
			c.conn.CloseReplies()
		}
		return
	}
	if c.conn.Unsent() > maxUnreadReplies {
		c.conn.Close() // asks on and on and reads nothing
	}
	if r.close {
		c.conn.Expire(200 * time.Millisecond) // time for the reply to leave
	}
}

// clients are those connected now.
type clientConns struct {
	server       *Server
	all          map[*clientConn]bool
	maxConns     int
	admitLimit   atomic.Int64
	count        atomic.Int64 // connections, those that the event loop has not heard of yet too
	partialBytes atomic.Int64 // held of commands that are not whole, by all together
	partialLimit atomic.Int64 // for those
	sweepAt      dispatch.Micros
	finished     finishedMessages
}

// over are messages that were accepted and have ended, for as long as their clients may hand them in once more. Failure: a reset took away
// a reply that the socket had; the client sent the same request again, the message was over by then, and was accepted a second time.
type finishedMessages struct {
	until map[dispatch.MessageID]dispatch.Micros
	order []dispatch.MessageID // oldest first
}

const (
	// A client waits 400 ms for its reply, and whatever it submits later has a new id (PROTOCOL); the longest way is a fifth of a second.
	resendWindow = 1000 * 1000
	maxFinished  = 4096 // a hundred times what ends in that time at a busy courier
)

func (o *finishedMessages) add(message *message, now dispatch.Micros) {
	for len(o.order) > 0 && (o.until[o.order[0]] <= now || len(o.order) >= maxFinished) {
		delete(o.until, o.order[0])
		o.order = o.order[1:]
	}
	id, until := dispatch.MessageID(message.stored.ID), message.acceptedAt+resendWindow
	if until > now && o.until[id] == 0 {
		if o.until == nil {
			o.until = map[dispatch.MessageID]dispatch.Micros{}
		}
		o.until[id] = until
		o.order = append(o.order, id)
	}
}

// has tells whether a message was accepted and is over.
func (o *finishedMessages) contains(id dispatch.MessageID, now dispatch.Micros) bool {
	return o.until[id] > now
}

func (cs *clientConns) init(r *Server) {
	cs.server, cs.all, cs.sweepAt = r, map[*clientConn]bool{}, never
	cs.updateLimits()
}

// limit takes the limits of the deployment: four tenths of the descriptors, and half of them while many come at once, so
// that endpoints and the platform always find some. An eighth of the memory goes to commands that are not whole.
func (cs *clientConns) updateLimits() {
	sockets := cs.server.deployment.Sockets - AdminSockets(cs.server.deployment)
	cs.maxConns = sockets * 4 / 10
	cs.admitLimit.Store(int64(sockets / 2))
	cs.partialLimit.Store(int64(cs.server.deployment.MemoryMB) << 20 / 8)
}

func (cs *clientConns) admit() bool { return cs.count.Load() < cs.admitLimit.Load() }

func (cs *clientConns) accept() transport.Handler {
	cs.count.Add(1)
	return &clientConn{server: cs.server}
}

const (
	sweepInterval = 250 * 1000
	// A connection that has brought nothing, or half a command, for so long is many times later than a client waits.
	partialTimeout    = 2000 * 1000
	clientIdleTimeout = 5 * 1000 * 1000 // between two requests; who comes back later connects anew
	newConnGrace      = 250 * 1000      // so long a connection is taken for one whose first request is on its way
)

func (cs *clientConns) add(client *clientConn) {
	client.connectedAt, client.lastCommandAt = cs.server.now, cs.server.now
	cs.all[client] = true
	cs.sweepAt = min(cs.sweepAt, cs.server.now+sweepInterval)
	if len(cs.all) > cs.maxConns {
		cs.evictIdle(client)
	}
}

// makeRoom closes the connection that is missed least: one that has said nothing yet, but for those that came just
// now, then the one that has rested longest between two requests.
func (cs *clientConns) evictIdle(latest *clientConn) {
	now := cs.server.now
	rank := func(client *clientConn) dispatch.Micros {
		switch {
		case client.hasCommanded.Load():
			return client.lastCommandAt
		case now-client.connectedAt > newConnGrace:
			return client.connectedAt - partialTimeout
		}
		return client.connectedAt + partialTimeout
	}
	oldest := make([]*clientConn, 0, len(cs.all))
	for other := range cs.all {
		if other != latest && other.pending.Load() == 0 {
			oldest = append(oldest, other)
		}
	}
	slices.SortFunc(oldest, func(a, b *clientConn) int { return cmp.Compare(rank(a), rank(b)) })
	for _, other := range append(oldest, latest) {
		if other.conn.CloseIf(func() bool { return other.isIdle() || cs.isStuck(other) }) {
			delete(cs.all, other)
			return
		}
	}
}

// stuck tells whether a command does not go on.
func (cs *clientConns) isStuck(client *clientConn) bool {
	half := dispatch.Micros(client.partialSince.Load())
	return half > 0 && cs.server.now-half > partialTimeout && client.pending.Load() == 0
}

func (cs *clientConns) due() dispatch.Micros { return cs.sweepAt }

// sweep closes connections on which nothing comes.
func (cs *clientConns) sweep() {
	if cs.server.now < cs.sweepAt {
		return
	}
	cs.sweepAt = never
	for client := range cs.all {
		cs.sweepAt = cs.server.now + sweepInterval
		silent := !client.hasCommanded.Load() && cs.server.now-client.connectedAt > partialTimeout
		if rested := cs.server.now-client.lastCommandAt > clientIdleTimeout; silent || rested || cs.isStuck(client) {
			client.conn.CloseIf(func() bool { return (silent || rested) && client.isIdle() || cs.isStuck(client) })
		}
	}
}

// gone: what such a client submitted and was not reported of is nobody's, unless it has handed it in over another connection too; else it
// hands it in anew. Failure: the other connection was promised what had gone with the first. A client that has only ended its sending and
// still reads is answered that its message is rejected. Failure: it was closed with no answer to what had been read.
func (cs *clientConns) closed(event clientClosed) {
	delete(cs.all, event.from)
	if event.from.halfClosed = true; !event.from.RepliesDue() {
		event.from.conn.CloseReplies()
	}
	for _, rep := range cs.server.replies {
		message := rep.message
		if rep.client != event.from || message == nil {
			continue
		}
		rep.message = nil
		if message.waiting = slices.DeleteFunc(message.waiting, func(o *reply) bool { return o == rep }); len(message.waiting) == 0 {
			cs.server.finish(message)
			cs.server.events = append(cs.server.events, dispatch.MessageCanceled{Message: dispatch.MessageID(message.stored.ID)})
			cs.server.forget(message)
			if event.from.conn.HalfClosed() {
				rep.text = protocol.ReplyBusy(0)
				cs.server.count(message.stored.Class, rejected)
			}
		}
	}
}

// shut closes, for good, all that have no reply due, and tells whether none is left. Half a command is answered by nobody: its client
// hands it in elsewhere.
func (cs *clientConns) closeAnswered() bool {
	left := len(cs.server.queue)
	for client := range cs.all {
		if !client.closed {
			client.closed = client.conn.CloseIf(func() bool { return client.pending.Load() == 0 && client.conn.Flushed() })
		}
		if !client.closed {
			left++
		}
	}
	return left == 0
}

// answered reports whether all that was read has its reply, once nothing more is read.
func (cs *clientConns) allAnswered() bool {
	for client := range cs.all {
		if !client.conn.Idle() || client.RepliesDue() {
			return false
		}
	}
	return len(cs.server.queue) == 0
}

// commandsFailed answers the commands of an event that could not be handled; before is how many replies were due until then. Failure: the
// connection was closed with no answer to what had been read.
func (cs *clientConns) commandsFailed(event clientCommands, before int) {
	for len(cs.server.replies) < before+len(event.commands) {
		cs.server.replies = append(cs.server.replies, &reply{client: event.from})
	}
	for _, rep := range cs.server.replies[before:] {
		if rep.close = true; rep.text == "" {
			rep.text = protocol.ReplyError("ERR internal error")
		}
	}
}

// resting tells whether no command is on its way in, as far as is known here.
func (cs *clientConns) allIdle() bool {
	for client := range cs.all {
		if !client.isIdle() {
			return false
		}
	}
	return true
}

// sendAway closes what rests, so that clients with somewhere else to go do; but for connections whose first request is on its way. It tells
// whether there are such.
func (cs *clientConns) closeIdle() (more bool) {
	for client := range cs.all {
		if client.hasCommanded.Load() || cs.server.now-client.connectedAt > newConnGrace {
			client.conn.CloseIf(client.isIdle)
		} else {
			more = true
		}
	}
	return more
}

func (cs *clientConns) handleCommands(event clientCommands) {
	event.from.lastCommandAt = cs.server.now
	for _, args := range event.commands {
		reply := &reply{client: event.from}
		cs.server.replies = append(cs.server.replies, reply)
		cs.handleCommand(args, reply)
	}
	if event.err != nil {
		cs.malformed(event.err)
		cs.server.replies = append(cs.server.replies, &reply{client: event.from, text: protocol.ReplyError(event.err.Error()), close: true})
	}
}

func (cs *clientConns) handleCommand(args [][]byte, reply *reply) {
	switch {
	case protocol.IsCommand(args, "PING") && len(args) == 1 && cs.server.operators.isDraining():
		reply.text = protocol.ReplyError("ERR sent away: the courier takes no more clients")
	case protocol.IsCommand(args, "PING") && len(args) == 1:
		reply.text = protocol.ReplyPong
	case protocol.IsCommand(args, "PING"):
		reply.text = protocol.ReplyError("ERR wrong number of arguments for 'ping'")
	case protocol.IsCommand(args, "ENQUEUE"):
		cs.enqueue(args, reply)
	default:
		cs.malformed(errCommand)
		reply.text = protocol.ReplyError(errCommand.Error())
	}
}

var errCommand = errors.New("ERR unknown command")

func (cs *clientConns) malformed(fault error) {
	cs.server.malformed.clients, cs.server.malformed.lastClient = cs.server.malformed.clients+1, fault
}

// enqueue accepts a message; the reply is written after the decisions have heard of it.
func (cs *clientConns) enqueue(args [][]byte, rep *reply) {
	if cs.server.handoff.handedOver { // was on its way as the connection was to be closed: nothing of it is accepted, and it may come again at once
		rep.text, rep.close = protocol.ReplyBusy(1), true
		return
	}
	request, err := protocol.ReadEnqueue(args)
	if err == nil {
		err = cs.checkEnqueue(request)
	}
	if err != nil {
		cs.malformed(err)
		rep.text = protocol.ReplyError(err.Error())
		return
	}
	if !cs.acceptedBefore(request, rep) {
		cs.acceptMessage(request, rep)
	}
}

// checkEnqueue tells what a message names that the courier does not know.
func (cs *clientConns) checkEnqueue(request protocol.Enqueue) error {
	r := cs.server
	if !slices.Contains(r.deployment.Classes, request.Class) || r.deployment.Retired[request.Class] {
		return errors.New("ERR unknown workload")
	}
	if !r.knowsDestination(request.Dest) {
		r.count(request.Class, failed)
		return errors.New("ERR unknown destination")
	}
	return nil
}

// acceptedBefore tells whether a message was accepted already, and then answers that it was.
func (cs *clientConns) acceptedBefore(request protocol.Enqueue, rep *reply) bool {
	id := dispatch.MessageID(request.ID)
	switch message := cs.server.messages[id]; {
	case message != nil && len(message.waiting) > 0: // sent once more in the step that accepts it: whatever the first reply is
		rep.message, rep.text = message, protocol.ReplyOK
		message.waiting = append(message.waiting, rep)
		return true
	case message != nil || cs.finished.contains(id, cs.server.now): // sent once more after a closed connection
		rep.text = protocol.ReplyOK
		return true
	}
	return false
}

// acceptMessage puts a message into the spool and hands it to the decisions.
func (cs *clientConns) acceptMessage(request protocol.Enqueue, rep *reply) {
	r := cs.server
	kept := &spool.Message{ID: request.ID, Class: request.Class, Destination: request.Dest, Tenant: request.Tenant, OrderingKey: request.Key,
		IdempotencyKey: request.Mark, Resubmitted: request.Again, Deadline: int64(r.now) + int64(request.LeftMs)*1000, Body: request.Body}
	if err := r.spool.Append(kept); err != nil {
		if !errors.Is(err, spool.ErrFull) {
			r.logSpoolError(err)
		}
		rep.text = protocol.ReplyBusy(0)
		r.count(kept.Class, rejected)
		return
	}
	rep.text = protocol.ReplyOK
	rep.message = &message{stored: kept, waiting: []*reply{rep}, acceptedAt: r.now, idempotencyWindow: r.idempotencyWindow(kept.Class)}
	r.messages[dispatch.MessageID(request.ID)] = rep.message
	r.counters.accepted()
	r.events = append(r.events, r.acceptedEvent(kept))
}
