// Package clientconn keeps the connections of clients: it parses their commands, bounds what they may hold, closes those on
// which nothing comes, and writes replies in order. It knows nothing of messages: commands are handed to the event loop as
// events, and replies come back as text.
//
// The poller of package transport runs the methods of Conn that transport.Handler asks for; all others, and those of Set, are
// the event loop's.
package clientconn

import (
	"errors"
	"sync/atomic"
	"time"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/transport"
)

// Event is something that happened on a connection: one of the types of this package with that method.
type Event interface{ clientEvent() }

type (
	// Opened reports a new connection.
	Opened struct{ Conn *Conn }
	// Commands brings commands, each as its arguments. With Err the stream cannot be read on; it is the text of an error reply,
	// which comes after those of the commands.
	Commands struct {
		Conn     *Conn
		Commands [][][]byte
		Err      error
	}
	// Closed reports that a connection has ended. Replies may still be written if it is HalfClosed.
	Closed struct{ Conn *Conn }
)

func (Opened) clientEvent()   {}
func (Commands) clientEvent() {}
func (Closed) clientEvent()   {}

const (
	// maxUnreadReplies is how many bytes of replies a client may leave unread: thousands of replies.
	maxUnreadReplies = 64 << 10
	// freePartialBytes of a command that is not complete are kept for any client; nearly all commands are shorter.
	freePartialBytes = 4 << 10
	// closeDelay is the time that a last reply has to leave.
	closeDelay = 200 * time.Millisecond
)

var errPartialTooLong = errors.New("ERR no room for so long a command now")

// Conn is one client's connection.
type Conn struct {
	set  *Set
	conn *transport.Conn

	// Of the poller.
	parser       protocol.Commands
	unreadable   bool  // the stream cannot be read on
	discarded    int   // bytes since then
	partialBytes int64 // of a command that is not complete

	// Of both.
	pending      atomic.Int64 // commands without a reply
	hasCommanded atomic.Bool  // some command has come
	partialSince atomic.Int64 // when the command that is not complete began; 0 between two commands

	// Of the event loop.
	connectedAt   dispatch.Micros
	lastCommandAt dispatch.Micros
	closed        bool // for good, in a shutdown
	ended         bool // sends nothing more
}

// Opened implements transport.Handler.
func (c *Conn) Opened(conn *transport.Conn) {
	c.conn = conn
	c.set.notify(Opened{c})
}

// Data implements transport.Handler.
func (c *Conn) Data(_ *transport.Conn, b []byte) {
	if c.unreadable { // reading it all would cost those who can be served
		if c.discarded += len(b); c.discarded > maxUnreadReplies && !c.HasPendingReplies() {
			c.conn.Close()
		}
		return
	}
	commands, err := c.parser.Feed(b)
	if err == nil {
		err = c.holdPartial()
	}
	if c.parser.Between() {
		c.partialSince.Store(0)
	} else if len(commands) > 0 || c.partialSince.Load() == 0 {
		c.partialSince.Store(int64(c.set.clock()))
	}
	if c.unreadable = err != nil; c.unreadable {
		c.release()
	}
	if len(commands) == 0 && err == nil {
		return
	}
	c.hasCommanded.Store(true)
	c.pending.Add(int64(len(commands)))
	if err != nil {
		c.pending.Add(1) // the error reply
	}
	c.set.notify(Commands{c, commands, err})
}

// holdPartial counts the bytes of a command that is not complete; an error where there is no room for them.
func (c *Conn) holdPartial() error {
	held := int64(c.parser.Held())
	sum := c.set.partialBytes.Add(held - c.partialBytes)
	c.partialBytes = held
	if sum > c.set.partialLimit.Load() && held > freePartialBytes {
		return errPartialTooLong
	}
	return nil
}

// release gives back what was held of a command that will never be complete.
func (c *Conn) release() {
	c.set.partialBytes.Add(-c.partialBytes)
	c.partialBytes, c.parser = 0, protocol.Commands{}
	c.partialSince.Store(0)
}

// Closed implements transport.Handler.
func (c *Conn) Closed(*transport.Conn, error) {
	c.release()
	c.set.count.Add(-1)
	c.set.notify(Closed{c})
}

// HasPendingReplies implements transport.Replier.
func (c *Conn) HasPendingReplies() bool { return c.pending.Load() > 0 }

// HalfClosed reports whether the client has ended its sending and may still read replies.
func (c *Conn) HalfClosed() bool { return c.conn.HalfClosed() }

// isIdle reports whether nothing of a command has been read that has no reply yet; a partial command counts.
func (c *Conn) isIdle() bool {
	return !c.HasPendingReplies() && c.partialSince.Load() == 0 && c.conn.Flushed()
}

// isAnswered reports whether every command that was read has its reply in the socket.
func (c *Conn) isAnswered() bool { return !c.HasPendingReplies() && c.conn.Flushed() }

// isStuck reports whether a command has not been completed for too long.
func (c *Conn) isStuck(now dispatch.Micros) bool {
	since := dispatch.Micros(c.partialSince.Load())
	return since > 0 && now-since > partialTimeout && !c.HasPendingReplies()
}

// Write writes the reply to the next command without one. With last the connection is closed after it. A client that has gone
// is reported by Closed; one that reads no replies is closed.
func (c *Conn) Write(reply string, last bool) {
	c.pending.Add(-1)
	_ = c.conn.Write([]byte(reply))
	if c.ended {
		if !c.HasPendingReplies() {
			c.conn.CloseReplies()
		}
		return
	}
	if c.conn.Unsent() > maxUnreadReplies {
		c.conn.Close()
	}
	if last {
		c.conn.CloseAfter(closeDelay)
	}
}
