package clientconn

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"pineport/dispatch"
	"pineport/transport"
)

const never = dispatch.Micros(math.MaxInt64)

// Times in microseconds.
const (
	sweepInterval = 250 * 1000 // between two calls of Sweep
	// partialTimeout is the maximum time until the first command of a connection, and until a command is complete. It is
	// many times the time that a client waits for a reply.
	partialTimeout = 2000 * 1000
	idleTimeout    = 5 * 1000 * 1000 // maximum time between two commands; after it the connection is closed, and the client must reconnect
	// NewConnGrace is how long the first command of a new connection is assumed to be in transit.
	NewConnGrace = 250 * 1000
)

// Limits bound the connections of a Set.
type Limits struct {
	Conns        int   // maximum number of open connections; beyond it the longest-idle one is closed
	Admitted     int   // maximum number of accepted connections, including those not yet added to the Set
	PartialBytes int64 // maximum total size of incomplete commands on all connections, in bytes
	UnreadBytes  int64 // maximum total size of replies that the sockets of all connections have not taken, in bytes
}

// Set holds the connections of all clients.
type Set struct {
	clock        func() dispatch.Micros
	notify       func(Event)
	conns        map[*Conn]bool
	maxConns     int
	sweepAt      dispatch.Micros
	admitLimit   atomic.Int64
	connCount    atomic.Int64
	partialBytes atomic.Int64
	partialLimit atomic.Int64
	unreadBytes  int64 // sum of Conn.unreadReplies
	unreadLimit  int64
}

// New returns an empty set. The poller calls notify with each event; notify may block until the event loop takes the event.
func New(limits Limits, clock func() dispatch.Micros, notify func(Event)) *Set {
	s := &Set{clock: clock, notify: notify, conns: map[*Conn]bool{}, sweepAt: never}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits. It closes no connection.
func (s *Set) SetLimits(limits Limits) {
	s.maxConns = limits.Conns
	s.admitLimit.Store(int64(limits.Admitted))
	s.partialLimit.Store(limits.PartialBytes)
	s.unreadLimit = limits.UnreadBytes
}

// CanAccept reports whether another connection may be accepted. It is safe for concurrent use.
func (s *Set) CanAccept() bool { return s.connCount.Load() < s.admitLimit.Load() }

// Accept counts a new connection and returns its handler.
func (s *Set) Accept() transport.Handler {
	s.connCount.Add(1)
	return &Conn{set: s}
}

// Len returns the number of connections.
func (s *Set) Len() int { return len(s.conns) }

// Add adds a connection reported by Opened. If this exceeds the limit, it closes the longest-idle connection.
func (s *Set) Add(conn *Conn, now dispatch.Micros) {
	conn.connectedAt, conn.lastCommandAt = now, now
	s.conns[conn] = true
	s.sweepAt = min(s.sweepAt, now+sweepInterval)
	if len(s.conns) > s.maxConns {
		s.evictIdle(conn, now)
	}
}

// RecordCommands records that commands were received on a connection.
func (s *Set) RecordCommands(conn *Conn, now dispatch.Micros) { conn.lastCommandAt = now }

// Remove removes a connection reported by Closed. Pending replies can still be written if the connection is half-closed.
func (s *Set) Remove(conn *Conn) {
	delete(s.conns, conn)
	s.unreadBytes -= conn.unreadReplies
	conn.unreadReplies = 0
	if conn.inputEnded = true; !conn.HasPendingReplies() {
		conn.conn.CloseReplies()
	}
}

// countUnread brings the count of a connection's unread replies up to date.
func (s *Set) countUnread(conn *Conn) {
	unread := max(0, conn.conn.Unsent())
	s.unreadBytes += unread - conn.unreadReplies
	conn.unreadReplies = unread
}

// hasTooMuchUnread reports whether all clients together leave more replies unread than the limit.
func (s *Set) hasTooMuchUnread() bool { return s.unreadBytes > s.unreadLimit }

// evictIdle closes one connection that is idle or stuck. It orders connections by the time of their last command, the
// earliest first. Connections without a command are ordered by the time they were opened, shifted by partialTimeout:
// earlier, so that they are preferred for closing, or later within NewConnGrace, so that their first command can arrive.
// newest is closed only if no other connection can be.
func (s *Set) evictIdle(newest *Conn, now dispatch.Micros) {
	rank := func(conn *Conn) dispatch.Micros {
		switch {
		case conn.hasSentCommand.Load():
			return conn.lastCommandAt
		case now-conn.connectedAt > NewConnGrace:
			return conn.connectedAt - partialTimeout
		}
		return conn.connectedAt + partialTimeout
	}
	candidates := make([]*Conn, 0, len(s.conns))
	for conn := range s.conns {
		if conn != newest && !conn.HasPendingReplies() {
			candidates = append(candidates, conn)
		}
	}
	slices.SortFunc(candidates, func(a, b *Conn) int { return cmp.Compare(rank(a), rank(b)) })
	for _, conn := range append(candidates, newest) {
		if conn.conn.CloseIf(func() bool { return conn.isIdle() || conn.isStuck(now) }) {
			delete(s.conns, conn)
			return
		}
	}
}

// Due returns the time at which Sweep must be called next.
func (s *Set) Due() dispatch.Micros { return s.sweepAt }

// Sweep closes connections that have sent no command or have left one incomplete for partialTimeout, or have been idle
// for idleTimeout.
func (s *Set) Sweep(now dispatch.Micros) {
	if now < s.sweepAt {
		return
	}
	s.sweepAt = never
	for conn := range s.conns {
		s.sweepAt = now + sweepInterval
		s.countUnread(conn)
		silent := !conn.hasSentCommand.Load() && now-conn.connectedAt > partialTimeout
		idle := now-conn.lastCommandAt > idleTimeout
		if silent || idle || conn.isStuck(now) {
			conn.conn.CloseIf(func() bool { return (silent || idle) && conn.isIdle() || conn.isStuck(now) })
		}
	}
}

// CloseIdle closes idle connections, so that their clients connect to another courier. It keeps connections whose first
// command may be in transit, and reports whether there are any.
func (s *Set) CloseIdle(now dispatch.Micros) (more bool) {
	for conn := range s.conns {
		if conn.hasSentCommand.Load() || now-conn.connectedAt > NewConnGrace {
			conn.conn.CloseIf(conn.isIdle)
		} else {
			more = true
		}
	}
	return more
}

// CloseAnswered closes the connections whose commands are all answered, and reports whether this or earlier calls have
// closed all connections. Connections with unread bytes, an incomplete command or a running handler stay open. Incident: the
// connections of incomplete commands were closed, and the rest, which was on its way, got no reply.
func (s *Set) CloseAnswered() bool {
	remaining := 0
	for conn := range s.conns {
		if !conn.closedForShutdown {
			conn.closedForShutdown = conn.conn.CloseIf(conn.isIdle)
		}
		if !conn.closedForShutdown {
			remaining++
		}
	}
	return remaining == 0
}

// AllAnswered reports whether no read is in progress, no command is incomplete, except for rejected ones, and the sockets have taken the
// replies to all commands that were read. The result stays true only if reading from the connections has been stopped.
func (s *Set) AllAnswered() bool {
	for conn := range s.conns {
		if !conn.conn.IsHandlerIdle() || !conn.isSettled() {
			return false
		}
	}
	return true
}

// RejectIncomplete writes a reply to each command of which only a part has been read, and returns their number. The rest of such a command
// is read and dropped, so that it gets no second reply; what comes behind it is not. Commands that are being read right now are left for a later call.
func (s *Set) RejectIncomplete(reply string) (count int) {
	for conn := range s.conns {
		conn.conn.WhileHandlerIdle(func() {
			if !conn.HasPartialRequest() || conn.HasPendingReplies() || conn.rejected.Load() {
				return
			}
			conn.rejected.Store(true)
			_ = conn.conn.Write([]byte(reply)) // a failure means that the client is gone
			count++
		})
	}
	return count
}

// CloseAll closes all connections after reading has been stopped, and returns how many of them CloseAnswered had left open. It leaves open
// those whose command was rejected before it was complete, as a reset could overtake the reply: CloseAnswered closes them once the rest of the
// command has been read.
func (s *Set) CloseAll() (left int) {
	for conn := range s.conns {
		if conn.closedForShutdown {
			continue
		}
		left++
		if !conn.rejected.Load() {
			conn.conn.Close()
		}
	}
	return left
}

// Unanswered returns the number of complete commands without a reply.
func (s *Set) Unanswered() (count int64) {
	for conn := range s.conns {
		count += conn.pendingReplies.Load()
	}
	return count
}

// AllIdle reports whether all connections are idle. It does not see commands that are in transit or unread in a socket.
func (s *Set) AllIdle() bool {
	for conn := range s.conns {
		if !conn.isIdle() {
			return false
		}
	}
	return true
}
