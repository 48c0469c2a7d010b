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

// client is one client's connection. The parser belongs to the poller, the rest to the router.
type client struct {
	router *Router
	parser protocol.Commands
	broken bool  // the stream can't be read on
	sunk   int   // bytes since then
	held   int64 // bytes of a command that is not whole
	conn   *transport.Conn
	came   dispatch.Micros
	heard  dispatch.Micros
	asked  atomic.Int64 // commands without a reply
	whole  atomic.Bool  // a command has come
	half   atomic.Int64 // when the command that is not whole began; 0 between two
	shut   bool         // for good
	ended  bool         // it sends nothing more, and may still read its replies
}

const maxUnread = 64 << 10 // thousands of replies

type (
	commands struct {
		from *client
		all  [][][]byte
		err  error // the stream cannot be read on
	}
	clientGone struct{ from *client }
)

func (c *client) Opened(conn *transport.Conn) {
	c.conn = conn
	c.router.inbox <- c
}

func (c *client) Data(_ *transport.Conn, b []byte) {
	if c.broken { // goes on after a fault: reading it all would cost those who can be served
		if c.sunk += len(b); c.sunk > maxUnread && c.asked.Load() == 0 {
			c.conn.Close()
		}
		return
	}
	all, err := c.parser.Feed(b)
	if held := int64(c.parser.Held()); err == nil {
		if sum := c.router.clients.bytes.Add(held - c.held); sum > c.router.clients.room.Load() && held > fewBytes {
			err = errNoRoom
		}
		c.held = held
	}
	if c.parser.Between() {
		c.half.Store(0)
	} else if len(all) > 0 || c.half.Load() == 0 {
		c.half.Store(int64(c.router.clock()))
	}
	if c.broken = err != nil; c.broken {
		c.release()
	}
	if len(all) > 0 || err != nil {
		c.whole.Store(true)
		c.asked.Add(int64(len(all)))
		if err != nil {
			c.asked.Add(1)
		}
		c.router.inbox <- commands{c, all, err}
	}
}

// release gives back what was kept of a command that will never be whole.
func (c *client) release() {
	c.router.clients.bytes.Add(-c.held)
	c.held, c.parser = 0, protocol.Commands{}
	c.half.Store(0)
}

func (c *client) Closed(*transport.Conn, error) {
	c.release()
	c.router.clients.up.Add(-1)
	c.router.inbox <- clientGone{c}
}

// fewBytes of a command that is not whole are kept for anybody; nearly all commands are shorter.
const fewBytes = 4 << 10

var errNoRoom = errors.New("ERR no room for so long a command now")

// rests tells whether nothing of a request has been read that has no reply yet; half a command counts.
func (c *client) rests() bool {
	return c.asked.Load() == 0 && c.half.Load() == 0 && c.conn.Flushed()
}

// RepliesDue implements transport.Replier.
func (c *client) RepliesDue() bool { return c.asked.Load() > 0 }

func (c *client) write(r *reply) {
	c.asked.Add(-1)
	_ = c.conn.Write([]byte(r.text)) // a client that has gone is told of by Closed
	if c.ended {
		if !c.RepliesDue() {
			c.conn.CloseReplies()
		}
		return
	}
	if c.conn.Unsent() > maxUnread {
		c.conn.Close() // asks on and on and reads nothing
	}
	if r.close {
		c.conn.Expire(200 * time.Millisecond) // time for the reply to leave
	}
}

// clients are those connected now.
type clients struct {
	r       *Router
	all     map[*client]bool
	most    int
	hard    atomic.Int64
	up      atomic.Int64 // connections, those that the router has not heard of yet too
	bytes   atomic.Int64 // held of commands that are not whole, by all together
	room    atomic.Int64 // for those
	sweepAt dispatch.Micros
	over    over
}

// over are messages that were accepted and have ended, for as long as their clients may hand them in once more. Failure: a reset took away
// a reply that the socket had; the client sent the same request again, the message was over by then, and was accepted a second time.
type over struct {
	until map[dispatch.MessageID]dispatch.Micros
	order []dispatch.MessageID // oldest first
}

const (
	// A client waits 400 ms for its reply, and whatever it hands in later has a new id (PROTOCOL); the longest way is a fifth of a second.
	onceMore = 1000 * 1000
	overMost = 4096 // a hundred times what ends in that time at a busy courier
)

func (o *over) add(message *message, now dispatch.Micros) {
	for len(o.order) > 0 && (o.until[o.order[0]] <= now || len(o.order) >= overMost) {
		delete(o.until, o.order[0])
		o.order = o.order[1:]
	}
	id, until := dispatch.MessageID(message.kept.ID), message.acceptedAt+onceMore
	if until > now && o.until[id] == 0 {
		if o.until == nil {
			o.until = map[dispatch.MessageID]dispatch.Micros{}
		}
		o.until[id] = until
		o.order = append(o.order, id)
	}
}

// has tells whether a message was accepted and is over.
func (o *over) has(id dispatch.MessageID, now dispatch.Micros) bool { return o.until[id] > now }

func (cs *clients) init(r *Router) {
	cs.r, cs.all, cs.sweepAt = r, map[*client]bool{}, never
	cs.limit()
}

// limit takes the limits of the deployment: four tenths of the descriptors, and half of them while many come at once, so
// that endpoints and the platform always find some. An eighth of the memory goes to commands that are not whole.
func (cs *clients) limit() {
	sockets := cs.r.dep.Sockets - OperatorSockets(cs.r.dep)
	cs.most = sockets * 4 / 10
	cs.hard.Store(int64(sockets / 2))
	cs.room.Store(int64(cs.r.dep.MemoryMB) << 20 / 8)
}

func (cs *clients) admit() bool { return cs.up.Load() < cs.hard.Load() }

func (cs *clients) accept() transport.Handler {
	cs.up.Add(1)
	return &client{router: cs.r}
}

const (
	sweepEvery = 250 * 1000
	// A connection that has brought nothing, or half a command, for so long is many times later than a client waits.
	stuckAfter = 2000 * 1000
	restAfter  = 5 * 1000 * 1000 // between two requests; who comes back later connects anew
	newcomer   = 250 * 1000      // so long a connection is taken for one whose first request is on its way
)

func (cs *clients) add(c *client) {
	c.came, c.heard = cs.r.now, cs.r.now
	cs.all[c] = true
	cs.sweepAt = min(cs.sweepAt, cs.r.now+sweepEvery)
	if len(cs.all) > cs.most {
		cs.makeRoom(c)
	}
}

// makeRoom closes the connection that is missed least: one that has said nothing yet, but for those that came just
// now, then the one that has rested longest between two requests.
func (cs *clients) makeRoom(latest *client) {
	now := cs.r.now
	rank := func(c *client) dispatch.Micros {
		switch {
		case c.whole.Load():
			return c.heard
		case now-c.came > newcomer:
			return c.came - stuckAfter
		}
		return c.came + stuckAfter
	}
	oldest := make([]*client, 0, len(cs.all))
	for o := range cs.all {
		if o != latest && o.asked.Load() == 0 {
			oldest = append(oldest, o)
		}
	}
	slices.SortFunc(oldest, func(a, b *client) int { return cmp.Compare(rank(a), rank(b)) })
	for _, o := range append(oldest, latest) {
		if o.conn.CloseIf(func() bool { return o.rests() || cs.stuck(o) }) {
			delete(cs.all, o)
			return
		}
	}
}

// stuck tells whether a command does not go on.
func (cs *clients) stuck(c *client) bool {
	half := dispatch.Micros(c.half.Load())
	return half > 0 && cs.r.now-half > stuckAfter && c.asked.Load() == 0
}

func (cs *clients) due() dispatch.Micros { return cs.sweepAt }

// sweep closes connections on which nothing comes.
func (cs *clients) sweep() {
	if cs.r.now < cs.sweepAt {
		return
	}
	cs.sweepAt = never
	for c := range cs.all {
		cs.sweepAt = cs.r.now + sweepEvery
		silent := !c.whole.Load() && cs.r.now-c.came > stuckAfter
		if rested := cs.r.now-c.heard > restAfter; silent || rested || cs.stuck(c) {
			c.conn.CloseIf(func() bool { return (silent || rested) && c.rests() || cs.stuck(c) })
		}
	}
}

// gone: what such a client handed in and was not told of is nobody's, unless it has handed it in over another connection too; else it
// hands it in anew. Failure: the other connection was promised what had gone with the first. A client that has only ended its sending and
// still reads is answered that its message is rejected. Failure: it was closed with no answer to what had been read.
func (cs *clients) gone(e clientGone) {
	delete(cs.all, e.from)
	if e.from.ended = true; !e.from.RepliesDue() {
		e.from.conn.CloseReplies()
	}
	for _, rep := range cs.r.replies {
		message := rep.message
		if rep.client != e.from || message == nil {
			continue
		}
		rep.message = nil
		if message.waiting = slices.DeleteFunc(message.waiting, func(o *reply) bool { return o == rep }); len(message.waiting) == 0 {
			cs.r.finish(message)
			cs.r.events = append(cs.r.events, dispatch.MessageCanceled{Message: dispatch.MessageID(message.kept.ID)})
			cs.r.forget(message)
			if e.from.conn.HalfClosed() {
				rep.text = protocol.ReplyBusy(0)
				cs.r.count(message.kept.Workload, rejected)
			}
		}
	}
}

// shut closes, for good, all that have no reply due, and tells whether none is left. Half a command is answered by nobody: its client
// hands it in elsewhere.
func (cs *clients) shut() bool {
	left := len(cs.r.inbox)
	for c := range cs.all {
		if !c.shut {
			c.shut = c.conn.CloseIf(func() bool { return c.asked.Load() == 0 && c.conn.Flushed() })
		}
		if !c.shut {
			left++
		}
	}
	return left == 0
}

// answered reports whether all that was read has its reply, once nothing more is read.
func (cs *clients) answered() bool {
	for c := range cs.all {
		if !c.conn.Idle() || c.RepliesDue() {
			return false
		}
	}
	return len(cs.r.inbox) == 0
}

// commandsFailed answers the commands of an event that could not be handled; before is how many replies were due until then. Failure: the
// connection was closed with no answer to what had been read.
func (cs *clients) commandsFailed(e commands, before int) {
	for len(cs.r.replies) < before+len(e.all) {
		cs.r.replies = append(cs.r.replies, &reply{client: e.from})
	}
	for _, rep := range cs.r.replies[before:] {
		if rep.close = true; rep.text == "" {
			rep.text = protocol.ReplyError("ERR internal error")
		}
	}
}

// resting tells whether no command is on its way in, as far as is known here.
func (cs *clients) resting() bool {
	for c := range cs.all {
		if !c.rests() {
			return false
		}
	}
	return true
}

// sendAway closes what rests, so that clients with somewhere else to go do; but for connections whose first request is on its way. It tells
// whether there are such.
func (cs *clients) sendAway() (more bool) {
	for c := range cs.all {
		if c.whole.Load() || cs.r.now-c.came > newcomer {
			c.conn.CloseIf(c.rests)
		} else {
			more = true
		}
	}
	return more
}

func (cs *clients) commands(e commands) {
	e.from.heard = cs.r.now
	for _, args := range e.all {
		reply := &reply{client: e.from}
		cs.r.replies = append(cs.r.replies, reply)
		cs.command(args, reply)
	}
	if e.err != nil {
		cs.malformed(e.err)
		cs.r.replies = append(cs.r.replies, &reply{client: e.from, text: protocol.ReplyError(e.err.Error()), close: true})
	}
}

func (cs *clients) command(args [][]byte, reply *reply) {
	switch {
	case protocol.IsCommand(args, "PING") && len(args) == 1 && cs.r.operators.away():
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

func (cs *clients) malformed(fault error) {
	cs.r.malformed.clients, cs.r.malformed.client = cs.r.malformed.clients+1, fault
}

// enqueue accepts a message; the reply is written after the decisions have heard of it.
func (cs *clients) enqueue(args [][]byte, rep *reply) {
	if cs.r.upgrade.handed { // was on its way as the connection was to be closed: nothing of it is accepted, and it may come again at once
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
func (cs *clients) checkEnqueue(request protocol.Enqueue) error {
	r := cs.r
	if !slices.Contains(r.dep.Workloads, request.Workload) || r.dep.Retired[request.Workload] {
		return errors.New("ERR unknown workload")
	}
	if !r.knows(request.Dest) {
		r.count(request.Workload, failed)
		return errors.New("ERR unknown destination")
	}
	return nil
}

// acceptedBefore tells whether a message was accepted already, and then answers that it was.
func (cs *clients) acceptedBefore(request protocol.Enqueue, rep *reply) bool {
	id := dispatch.MessageID(request.ID)
	switch message := cs.r.messages[id]; {
	case message != nil && len(message.waiting) > 0: // sent once more in the step that accepts it: whatever the first reply is
		rep.message, rep.text = message, protocol.ReplyOK
		message.waiting = append(message.waiting, rep)
		return true
	case message != nil || cs.over.has(id, cs.r.now): // sent once more after a closed connection
		rep.text = protocol.ReplyOK
		return true
	}
	return false
}

// acceptMessage puts a message into the spool and hands it to the decisions.
func (cs *clients) acceptMessage(request protocol.Enqueue, rep *reply) {
	r := cs.r
	kept := &spool.Record{ID: request.ID, Workload: request.Workload, Dest: request.Dest, Party: request.Party, Key: request.Key,
		Mark: request.Mark, Again: request.Again, CutOff: int64(r.now) + int64(request.LeftMs)*1000, Body: request.Body}
	if err := r.spool.Take(kept); err != nil {
		if !errors.Is(err, spool.ErrFull) {
			r.check(err)
		}
		rep.text = protocol.ReplyBusy(0)
		r.count(kept.Workload, rejected)
		return
	}
	rep.text = protocol.ReplyOK
	rep.message = &message{kept: kept, waiting: []*reply{rep}, acceptedAt: r.now, repeatWindow: r.repeatWindow(kept.Workload)}
	r.messages[dispatch.MessageID(request.ID)] = rep.message
	r.counters.accepted()
	r.events = append(r.events, r.accepted(kept))
}
