package transport

import (
	"errors"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pineport/clock"
)

// This file reads what peers sent before they shut down their write side, and writes the replies that their sockets did not take at once.

// restReader serves half-closed connections in turns, in a goroutine that runs while there are any.
type restReader struct {
	mu      sync.Mutex
	entries map[*Conn]*restEntry
	running bool
}

// restEntry is the state of a half-closed connection in a restReader.
type restEntry struct {
	blockedSince time.Time // since when the socket takes no bytes; zero if it does
	retryAt      time.Time
	retryDelay   time.Duration
}

const (
	// restStallTimeout is how long the peer of a half-closed connection may leave replies unread that its socket does not take.
	restStallTimeout = 5 * time.Second
	// The delay until a socket that takes no bytes is tried again doubles from the minimum to the maximum.
	minRestRetry = time.Millisecond
	maxRestRetry = 64 * time.Millisecond
)

// turnResult is what a turn of a half-closed connection came to.
type turnResult int

const (
	turnProgressed turnResult = iota // bytes were read or written
	turnBlocked                      // the socket takes no more bytes
	turnPaused                       // nothing is read, as the driver has stopped reading
	turnDone                         // the connection needs no more turns
)

// add adds a connection, unless it is there.
func (r *restReader) add(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[c] != nil {
		return
	}
	if r.entries == nil {
		r.entries = map[*Conn]*restEntry{}
	}
	r.entries[c] = &restEntry{}
	if !r.running {
		r.running = true
		go r.run()
	}
}

// next returns the connections that get the next turns. If there are none, the goroutine must end.
func (r *restReader) next() []*Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = len(r.entries) > 0
	return slices.Collect(maps.Keys(r.entries))
}

// closeAll closes all connections.
func (r *restReader) closeAll() {
	r.mu.Lock()
	conns := slices.Collect(maps.Keys(r.entries))
	r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

func (r *restReader) run() {
	buffer := make([]byte, requesterTurnBytes)
	for {
		conns := r.next()
		if len(conns) == 0 {
			return
		}
		progressed := false
		for _, conn := range conns {
			progressed = r.serve(conn, buffer) || progressed
			runtime.Gosched() // on one core, the poller and the event loop come in between
		}
		if !progressed {
			time.Sleep(minRestRetry)
		}
	}
}

// serve gives a connection a turn, unless its retry is not due. It reports whether the connection may use another turn at once.
func (r *restReader) serve(conn *Conn, buffer []byte) bool {
	r.mu.Lock()
	entry := r.entries[conn]
	r.mu.Unlock()
	now := clock.Instant()
	if now.Before(entry.retryAt) {
		return false
	}
	switch conn.restTurn(buffer) {
	case turnProgressed:
		*entry = restEntry{}
		return true
	case turnDone:
		r.remove(conn)
		return true
	case turnBlocked:
		if entry.blockedSince.IsZero() {
			entry.blockedSince = now
		}
		if now.Sub(entry.blockedSince) > restStallTimeout {
			conn.Close()
		}
	}
	entry.retryDelay = min(max(2*entry.retryDelay, minRestRetry), maxRestRetry)
	entry.retryAt = now.Add(entry.retryDelay)
	return false
}

// remove removes a connection, unless bytes are unsent again.
func (r *restReader) remove(conn *Conn) {
	conn.writeLock.Lock()
	defer conn.writeLock.Unlock()
	if len(conn.unsent) > 0 && conn.HalfClosed() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, conn)
}

// restTurn writes what is unsent, and reads once if nothing is then.
func (c *Conn) restTurn(buffer []byte) turnResult {
	c.writeLock.Lock()
	unsentBefore := len(c.unsent)
	err := c.sendUnsent()
	unsent := len(c.unsent)
	c.writeLock.Unlock()
	switch {
	case err != nil:
		c.endRest(err)
		return turnDone
	case unsent > 0 && c.isReplyTimeOver():
		c.endRest(ErrClosedLocally)
		return turnDone
	case unsent > 0 && unsent < unsentBefore:
		return turnProgressed
	case unsent > 0:
		return turnBlocked
	case !c.hasUnreadRest():
		if c.isLastReplySent() {
			c.closeReplyDescriptor()
		}
		return turnDone
	}
	return c.readRest(buffer)
}

// isReplyTimeOver reports whether the time for the last replies is over; see CloseReplies.
func (c *Conn) isReplyTimeOver() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return !c.repliesEndBy.IsZero() && clock.Instant().After(c.repliesEndBy)
}

// isLastReplySent reports whether no reply follows what has been sent.
func (c *Conn) isLastReplySent() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return !c.repliesEndBy.IsZero()
}

// readRest reads once from a half-closed connection and passes the bytes to the handler.
func (c *Conn) readRest(buffer []byte) turnResult {
	c.handlerLock.Lock()
	if c.isReadingStopped() {
		c.handlerLock.Unlock()
		return turnPaused
	}
	n, err := c.readDescriptor(buffer)
	if n > 0 {
		c.runRecovered(func() { c.handler.Data(c, buffer[:n]) })
	}
	c.handlerLock.Unlock()
	switch {
	case n > 0, errors.Is(err, unix.EINTR):
		return turnProgressed
	case errors.Is(err, unix.EAGAIN):
		return turnPaused
	case err != nil:
		c.endRest(err)
	default:
		c.restWasRead()
	}
	return turnDone
}

// readDescriptor reads from the descriptor of a half-closed connection. Of a peer that has reset the connection nothing more is read.
func (c *Conn) readDescriptor(buffer []byte) (n int, err error) {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if !c.halfClosed {
		return 0, net.ErrClosed
	}
	if peerStateOf(c.replyDescriptor) == peerGone {
		return 0, syscall.ECONNRESET
	}
	return unix.Read(c.replyDescriptor, buffer)
}

// restWasRead reports that the connection is closed for reading. It stays open for its replies.
func (c *Conn) restWasRead() {
	c.stateLock.Lock()
	c.restUnread = false
	c.stateLock.Unlock()
	if !c.hasPendingReplies() {
		c.CloseReplies()
	}
	c.reportClosed(io.EOF)
}

// endRest closes a half-closed connection.
func (c *Conn) endRest(err error) {
	c.stateLock.Lock()
	c.restUnread = false
	c.stateLock.Unlock()
	c.closeReplyDescriptor()
	c.reportClosed(err)
}
