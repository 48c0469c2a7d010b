// Package clientconn manages client connections: it parses their commands, limits the memory they use, closes idle
// connections, and writes replies in order. It does not interpret commands: it passes them to the event loop as events,
// and the event loop passes replies back as text.
//
// The poller of package transport calls the methods of Conn that implement transport.Handler. All other methods of Conn
// and the methods of Set are called by the event loop, unless their comment says otherwise.
package clientconn

import (
	"errors"
	"sync/atomic"
	"time"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/transport"
)

// Event is an event of a client connection: Opened, Commands or Closed.
type Event interface{ clientEvent() }

type (
	// Opened reports a new connection.
	Opened struct{ Conn *Conn }
	// Commands carries received commands; each is the list of its arguments. If Err is set, the rest of the input cannot be
	// parsed. Err is the text of an error reply, to be sent after the replies to Commands. ArrivedAt is the earliest time at which
	// their bytes may have arrived.
	Commands struct {
		Conn      *Conn
		Commands  [][][]byte
		Err       error
		ArrivedAt dispatch.Micros
	}
	// Closed reports that a connection is closed. If it is HalfClosed, replies can still be written.
	Closed struct{ Conn *Conn }
)

// Count returns the number of replies that the commands get, with that to Err.
func (e Commands) Count() int {
	if e.Err != nil {
		return len(e.Commands) + 1
	}
	return len(e.Commands)
}

func (Opened) clientEvent()   {}
func (Commands) clientEvent() {}
func (Closed) clientEvent()   {}

const (
	// maxUnreadReplies is the maximum number of reply bytes that wait for the client to read them; it is enough for
	// thousands of replies. The same limit applies to input bytes discarded after a parse error.
	maxUnreadReplies = 64 << 10
	// guaranteedPartialBytes is how many bytes of an incomplete command are buffered for each client regardless of the
	// total limit; nearly all commands are shorter.
	guaranteedPartialBytes = 4 << 10
	// guaranteedUnreadReplies is how many reply bytes may wait for each client regardless of the total limit.
	guaranteedUnreadReplies = 1 << 10
	// closeDelay is the time between writing the last reply and closing the connection, so that the reply can reach the client.
	closeDelay = 200 * time.Millisecond
)

var errPartialTooLong = errors.New("ERR no room for so long a command now")

// Conn is a client connection.
type Conn struct {
	set  *Set
	conn *transport.Conn

	// Accessed only by the poller.
	parser         protocol.CommandParser
	hasRead        bool            // bytes have been read
	partialArrival dispatch.Micros // when the first bytes of an incomplete command arrived
	inputFailed    bool            // the rest of the input cannot be parsed
	discardedBytes int             // bytes discarded after inputFailed was set
	partialBytes   int64           // buffered bytes of an incomplete command

	// Accessed by the poller and the event loop.
	pendingReplies atomic.Int64 // number of commands without a reply
	hasSentCommand atomic.Bool  // a command or a parse error has been received
	partialSince   atomic.Int64 // time at which the incomplete command started; 0 if there is none
	rejected       atomic.Bool  // the incomplete command was rejected: its rest is read and dropped

	// Accessed only by the event loop.
	connectedAt       dispatch.Micros
	lastCommandAt     dispatch.Micros
	closedForShutdown bool  // set by CloseAnswered
	inputEnded        bool  // the client sends nothing more; set by Set.Remove
	unreadReplies     int64 // reply bytes that the socket has not taken, at the last look
}

// Opened implements transport.Handler.
func (c *Conn) Opened(conn *transport.Conn) {
	c.conn = conn
	c.set.notify(Opened{c})
}

// Data implements transport.Handler.
func (c *Conn) Data(_ *transport.Conn, b []byte) {
	if c.inputFailed { // reading an unlimited amount of unparsable input would take time from other clients
		if c.discardedBytes += len(b); c.discardedBytes > maxUnreadReplies && !c.HasPendingReplies() {
			c.conn.Close()
		}
		return
	}
	readAt := c.arrivalOfRead()
	if !c.HasPartialRequest() {
		c.partialArrival = readAt
	}
	arrivedAt := c.partialArrival
	commands, err := c.parser.Feed(b)
	if c.rejected.Load() {
		if len(commands) == 0 && err != nil {
			c.inputFailed = true
			c.releasePartial()
		}
		if len(commands) == 0 {
			return
		}
		c.rejected.Store(false)
		commands = commands[1:] // the rejected one has its reply
	}
	if len(commands) > 0 {
		c.partialArrival = readAt // what is incomplete now began in this read
	}
	if err == nil {
		err = c.reservePartial()
	}
	if c.parser.BetweenCommands() {
		c.partialSince.Store(0)
	} else if len(commands) > 0 || c.partialSince.Load() == 0 {
		c.partialSince.Store(int64(c.set.clock()))
	}
	if c.inputFailed = err != nil; c.inputFailed {
		c.releasePartial()
	}
	if len(commands) == 0 && err == nil {
		return
	}
	c.hasSentCommand.Store(true)
	event := Commands{c, commands, err, arrivedAt}
	c.pendingReplies.Add(int64(event.Count()))
	c.set.notify(event)
}

// arrivalOfRead returns the earliest time at which bytes that are read now may have arrived: for the first read of a connection, when the
// connection may have come.
func (c *Conn) arrivalOfRead() dispatch.Micros {
	at := c.set.clock()
	if !c.hasRead {
		c.hasRead = true
		at -= dispatch.Micros(c.conn.AcceptDelay().Microseconds())
	}
	return at
}

// reservePartial counts the buffered bytes of an incomplete command. It returns an error if they exceed both
// guaranteedPartialBytes and what is left of the total limit.
func (c *Conn) reservePartial() error {
	held := int64(c.parser.PartialBytes())
	total := c.set.partialBytes.Add(held - c.partialBytes)
	c.partialBytes = held
	if total > c.set.partialLimit.Load() && held > guaranteedPartialBytes {
		return errPartialTooLong
	}
	return nil
}

// releasePartial discards the incomplete command and subtracts its bytes from the total.
func (c *Conn) releasePartial() {
	c.set.partialBytes.Add(-c.partialBytes)
	c.partialBytes, c.parser = 0, protocol.CommandParser{}
	c.partialSince.Store(0)
}

// Closed implements transport.Handler.
func (c *Conn) Closed(*transport.Conn, error) {
	c.releasePartial()
	c.set.connCount.Add(-1)
	c.set.notify(Closed{c})
}

// HasPendingReplies implements transport.Replier.
func (c *Conn) HasPendingReplies() bool { return c.pendingReplies.Load() > 0 }

// HasPartialRequest implements transport.PartialReader.
func (c *Conn) HasPartialRequest() bool { return c.partialSince.Load() != 0 }

// HalfClosed reports whether the client has shut down its write side and can still read replies.
func (c *Conn) HalfClosed() bool { return c.conn.HalfClosed() }

// isIdle reports whether no command is unanswered or incomplete, and the socket has accepted all replies.
func (c *Conn) isIdle() bool {
	return !c.HasPendingReplies() && !c.HasPartialRequest() && c.conn.Flushed()
}

// isSettled reports whether nothing of what was read still needs a reply, and the socket has accepted all replies.
func (c *Conn) isSettled() bool {
	return !c.HasPendingReplies() && (!c.HasPartialRequest() || c.rejected.Load()) && c.conn.Flushed()
}

// isStuck reports whether a command has been incomplete for longer than partialTimeout and no replies are pending.
func (c *Conn) isStuck(now dispatch.Micros) bool {
	since := dispatch.Micros(c.partialSince.Load())
	return since > 0 && now-since > partialTimeout && !c.HasPendingReplies()
}

// IsGone reports whether the client has reset the connection, so that no reply can reach it.
func (c *Conn) IsGone() bool { return c.conn.IsPeerGone() }

// Drop counts commands as answered to which no reply can be written, as the client is gone.
func (c *Conn) Drop(commands int) {
	if c.pendingReplies.Add(-int64(commands)) <= 0 && c.inputEnded {
		c.conn.CloseReplies()
	}
}

// Write writes the replies to the oldest unanswered commands. If closeAfter is set, the connection is closed after closeDelay.
// Write errors are ignored, since Closed reports a lost connection. A client that leaves more than maxUnreadReplies unread, or
// more than guaranteedUnreadReplies when all clients together leave too much, is disconnected. After Set.Remove neither applies:
// the connection is closed after the last pending reply.
func (c *Conn) Write(replies string, commands int, closeAfter bool) {
	_ = c.conn.Write([]byte(replies))
	c.pendingReplies.Add(-int64(commands)) // only now, as a half-closed connection is closed when none is pending
	if c.inputEnded {
		if !c.HasPendingReplies() {
			c.conn.CloseReplies()
		}
		return
	}
	if c.set.countUnread(c); c.unreadReplies > maxUnreadReplies || c.unreadReplies > guaranteedUnreadReplies && c.set.hasTooMuchUnread() {
		c.conn.Close()
	}
	if closeAfter {
		c.conn.CloseAfter(closeDelay)
	}
}
