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

const (
	sweepInterval = 250 * 1000
	// partialTimeout is how long a connection may bring nothing, or a command stay partial: many times what a client waits.
	partialTimeout = 2000 * 1000
	idleTimeout    = 5 * 1000 * 1000 // between two commands; a client that comes back later connects anew
	// NewConnGrace is how long a connection is taken for one whose first command is on its way.
	NewConnGrace = 250 * 1000
)

// Limits bound the connections of a Set.
type Limits struct {
	Conns        int   // kept; beyond it the one that is missed least is closed
	Admitted     int   // at once, those included that the event loop has not heard of yet
	PartialBytes int64 // of partial commands, of all connections together
}

// Set is the connections of all clients.
type Set struct {
	clock        func() dispatch.Micros
	notify       func(Event)
	conns        map[*Conn]bool
	maxConns     int
	sweepAt      dispatch.Micros
	admitLimit   atomic.Int64
	count        atomic.Int64
	partialBytes atomic.Int64
	partialLimit atomic.Int64
}

// New returns an empty set. notify takes events, from the poller, and may wait for the event loop.
func New(limits Limits, clock func() dispatch.Micros, notify func(Event)) *Set {
	s := &Set{clock: clock, notify: notify, conns: map[*Conn]bool{}, sweepAt: never}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits; no connection is closed for that.
func (s *Set) SetLimits(limits Limits) {
	s.maxConns = limits.Conns
	s.admitLimit.Store(int64(limits.Admitted))
	s.partialLimit.Store(limits.PartialBytes)
}

// CanAccept reports whether a further connection may be accepted. Any goroutine may call it.
func (s *Set) CanAccept() bool { return s.count.Load() < s.admitLimit.Load() }

// Accept returns the handler of a new connection.
func (s *Set) Accept() transport.Handler {
	s.count.Add(1)
	return &Conn{set: s}
}

// Len returns the number of connections.
func (s *Set) Len() int { return len(s.conns) }

// Add takes in a connection that was Opened; beyond the limit it closes another one.
func (s *Set) Add(conn *Conn, now dispatch.Micros) {
	conn.connectedAt, conn.lastCommandAt = now, now
	s.conns[conn] = true
	s.sweepAt = min(s.sweepAt, now+sweepInterval)
	if len(s.conns) > s.maxConns {
		s.evictIdle(conn, now)
	}
}

// RecordCommands notes that commands have come over a connection.
func (s *Set) RecordCommands(conn *Conn, now dispatch.Micros) { conn.lastCommandAt = now }

// Remove drops a connection that was Closed. Replies that are due are still written if it is half-closed.
func (s *Set) Remove(conn *Conn) {
	delete(s.conns, conn)
	if conn.ended = true; !conn.HasPendingReplies() {
		conn.conn.CloseReplies()
	}
}

// evictIdle closes the connection that is missed least: one that has sent no command yet, but for those that came just now,
// then the one that has been idle longest. latest goes only where no other may.
func (s *Set) evictIdle(latest *Conn, now dispatch.Micros) {
	rank := func(conn *Conn) dispatch.Micros {
		switch {
		case conn.hasCommanded.Load():
			return conn.lastCommandAt
		case now-conn.connectedAt > NewConnGrace:
			return conn.connectedAt - partialTimeout
		}
		return conn.connectedAt + partialTimeout
	}
	candidates := make([]*Conn, 0, len(s.conns))
	for conn := range s.conns {
		if conn != latest && !conn.HasPendingReplies() {
			candidates = append(candidates, conn)
		}
	}
	slices.SortFunc(candidates, func(a, b *Conn) int { return cmp.Compare(rank(a), rank(b)) })
	for _, conn := range append(candidates, latest) {
		if conn.conn.CloseIf(func() bool { return conn.isIdle() || conn.isStuck(now) }) {
			delete(s.conns, conn)
			return
		}
	}
}

// Due returns when Sweep is to be called next.
func (s *Set) Due() dispatch.Micros { return s.sweepAt }

// Sweep closes connections on which nothing comes.
func (s *Set) Sweep(now dispatch.Micros) {
	if now < s.sweepAt {
		return
	}
	s.sweepAt = never
	for conn := range s.conns {
		s.sweepAt = now + sweepInterval
		silent := !conn.hasCommanded.Load() && now-conn.connectedAt > partialTimeout
		idle := now-conn.lastCommandAt > idleTimeout
		if silent || idle || conn.isStuck(now) {
			conn.conn.CloseIf(func() bool { return (silent || idle) && conn.isIdle() || conn.isStuck(now) })
		}
	}
}

// CloseIdle closes idle connections, so that their clients go elsewhere. Connections whose first command may be on its way
// stay; it reports whether there are such.
func (s *Set) CloseIdle(now dispatch.Micros) (more bool) {
	for conn := range s.conns {
		if conn.hasCommanded.Load() || now-conn.connectedAt > NewConnGrace {
			conn.conn.CloseIf(conn.isIdle)
		} else {
			more = true
		}
	}
	return more
}

// CloseAnswered closes all connections without a reply due, and reports whether none is left. Partial commands get no answer:
// their clients send them elsewhere.
func (s *Set) CloseAnswered() bool {
	left := 0
	for conn := range s.conns {
		if !conn.closed {
			conn.closed = conn.conn.CloseIf(conn.isAnswered)
		}
		if !conn.closed {
			left++
		}
	}
	return left == 0
}

// AllAnswered reports whether all that was read has its reply; it holds once nothing more is read.
func (s *Set) AllAnswered() bool {
	for conn := range s.conns {
		if !conn.conn.IsHandlerIdle() || conn.HasPendingReplies() {
			return false
		}
	}
	return true
}

// AllIdle reports whether no command is on its way in, as far as is known here.
func (s *Set) AllIdle() bool {
	for conn := range s.conns {
		if !conn.isIdle() {
			return false
		}
	}
	return true
}
