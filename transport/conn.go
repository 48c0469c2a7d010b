package transport

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"pineport/clock"
)

// This file has the connections that a Driver serves.

// Conn is a connection, which may still be being dialed. Close and CloseWithError only shut down the socket of an open
// connection. The poller then reads end of file and releases the descriptor with closeOnPoller, and nbio's close event
// makes reportClosed call Handler.Closed.
type Conn struct {
	driver             *Driver
	handler            Handler
	acceptDelay        time.Duration // see AcceptDelay
	stateLock          sync.Mutex    // guards raw, closing, descriptorReleased, expiry, closeReason, and what is in halfclose.go
	raw                *nbio.Conn
	closing            bool
	descriptorReleased bool        // the descriptor number is about to be free, or already belongs to another connection
	expiry             *time.Timer // set by CloseAfter; nil if no timeout is set
	closeReason        error       // reason given to CloseWithError; nil if this side did not close the connection
	cancelDial         func()      // cancels a dial in progress; nil for accepted connections
	handlerLock        sync.Mutex  // held while bytes are read and while the handler runs
	closeReported      bool        // Handler.Closed has been called, or is about to be
	queuedBytes        atomic.Int64
	writtenBytes       atomic.Int64
	writeLock          sync.Mutex // held by Write, and before stateLock; guards unsent
	unsent             []byte     // the bytes that the socket has not taken yet; of a Replier's connection only

	halfClosed      bool      // the peer has shut down its write side, and this connection has left nbio for replyDescriptor
	replyDescriptor int       // duplicate descriptor; valid while halfClosed
	restUnread      bool      // what the peer sent before it shut down its write side has not been read whole
	repliesEndBy    time.Time // when the descriptor is closed at the latest, after CloseReplies; otherwise zero
}

// AcceptDelay returns how long the connection may have waited until it was accepted; bytes read from it first may be as old. It is 0 for
// a dialed connection.
func (c *Conn) AcceptDelay() time.Duration { return c.acceptDelay }

// CloseAfter closes the connection after a timeout, or up to maxCloseDelay later, if a request has been read that has no reply yet, or that
// is not complete. A new call replaces the timeout; zero removes it.
func (c *Conn) CloseAfter(timeout time.Duration) {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
		c.expiry = nil
	}
	if timeout > 0 && !c.closing {
		c.expiry = time.AfterFunc(timeout, c.closeBetweenRequests)
	}
}

const (
	maxCloseDelay   = 100 * time.Millisecond
	closeRetryDelay = 5 * time.Millisecond
)

// closeBetweenRequests closes the connection when no request is open, after maxCloseDelay in any case.
func (c *Conn) closeBetweenRequests() {
	for began := clock.Instant(); !c.isClosing() && clock.Since(began) < maxCloseDelay; {
		if c.CloseIf(func() bool { return !c.hasPendingReplies() && !c.hasPartialRequest() }) {
			return
		}
		time.Sleep(closeRetryDelay)
	}
	c.Close()
}

func (c *Conn) hasPendingReplies() bool {
	replier, ok := c.handler.(Replier)
	return ok && replier.HasPendingReplies()
}

// Close closes the connection, or cancels its dial; Handler.Closed is called afterwards. Incident: a dial that was
// not canceled continued and held a descriptor that its owner no longer counted against the connection limit.
func (c *Conn) Close() { c.CloseWithError(ErrClosedLocally) }

// CloseWithError closes the connection and passes a reason to Handler.Closed. No more bytes are written after it,
// but a write in progress may still complete, so the result of Flushed is final only in Handler.Closed.
func (c *Conn) CloseWithError(reason error) {
	c.stateLock.Lock()
	c.closing = true
	raw := c.raw
	if c.closeReason == nil {
		c.closeReason = reason
	}
	c.stateLock.Unlock()
	c.closeReplyDescriptor()
	if raw != nil {
		c.shutDown()
	} else if c.cancelDial != nil {
		c.cancelDial()
	}
}

// shutDown shuts the socket down, which makes the poller close the connection.
//
// Incident: the event loop closed a connection whose end-of-file event was still queued in the poller. A connection
// accepted in between got the same descriptor number, and the queued event closed it before its first request was
// answered. Therefore only the poller releases descriptors: while it handles an event for a descriptor, that
// descriptor number cannot belong to another connection.
func (c *Conn) shutDown() {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.raw != nil && !c.descriptorReleased {
		_ = unix.Shutdown(c.raw.Hash(), unix.SHUT_RDWR) // an error means that the peer has closed it, which the poller already reports
	}
}

// CloseIf closes the connection if no received bytes are unread and condition returns true, and reports whether it
// did. condition is called while the handler is not running. CloseIf returns false if the handler is running; it
// does not wait for the handler, which may itself be waiting for the caller.
func (c *Conn) CloseIf(condition func() bool) bool {
	closed := false
	c.WhileIdle(func() {
		if closed = condition(); closed {
			c.Close()
		}
	})
	return closed
}

// WhileIdle runs f if the handler is not running, no received bytes are unread and the peer has not closed the
// connection, and reports whether it ran f. The handler does not run during f. Incidents: a connection was closed
// while a request had just been read or was still unread; closing with unread bytes resets the connection and
// discards data that the peer has not received yet. A request was written to a connection that the peer had already
// closed, so it was unknown whether the peer had processed the request.
func (c *Conn) WhileIdle(f func()) bool {
	ran, _ := c.TryWhileIdle(f)
	return ran
}

// TryWhileIdle is like WhileIdle, and also reports whether f was not run because the handler is running, so that a later call
// may succeed.
func (c *Conn) TryWhileIdle(f func()) (ran, busy bool) {
	if !c.handlerLock.TryLock() {
		return false, true
	}
	defer c.handlerLock.Unlock()
	if c.closeReported || c.isClosing() || c.hasUnreadData() {
		return false, false
	}
	f()
	return true, false
}

// WhileHandlerIdle runs f if the handler is not running, whether or not received bytes are unread, and reports whether it ran f. The handler
// does not run during f.
func (c *Conn) WhileHandlerIdle(f func()) bool {
	if !c.handlerLock.TryLock() {
		return false
	}
	defer c.handlerLock.Unlock()
	if c.closeReported || c.isClosing() {
		return false
	}
	f()
	return true
}

// HasUnread reports whether received bytes or an end of file are unread or being handled.
func (c *Conn) HasUnread() bool {
	if !c.handlerLock.TryLock() {
		return true
	}
	defer c.handlerLock.Unlock()
	return c.hasUnreadData()
}

// IsHandlerIdle reports whether no bytes are being read and the handler is not running.
func (c *Conn) IsHandlerIdle() bool {
	if !c.handlerLock.TryLock() {
		return false
	}
	c.handlerLock.Unlock()
	return true
}

// hasUnreadData reports whether received bytes or an end of file are unread. The caller holds handlerLock.
func (c *Conn) hasUnreadData() bool {
	if c.hasUnreadRest() {
		return true
	}
	raw := c.openConn()
	return raw != nil && isReadable(raw.Hash()) // Hash returns the descriptor
}

func (c *Conn) isClosing() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.closing
}

// openConn returns the connection of nbio, or nil if it is closing or has left nbio.
func (c *Conn) openConn() *nbio.Conn {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.closing || c.halfClosed {
		return nil
	}
	return c.raw
}

func (c *Conn) reportClosed(err error) {
	c.stateLock.Lock()
	c.closing, c.descriptorReleased = true, true
	if c.expiry != nil {
		c.expiry.Stop()
	}
	if c.closeReason != nil {
		err = c.closeReason
	}
	c.stateLock.Unlock()
	c.handlerLock.Lock()
	reported := c.closeReported
	c.closeReported = true
	c.handlerLock.Unlock()
	if !reported {
		c.runRecovered(func() { c.handler.Closed(c, err) })
	}
}

// runUnlessClosed runs a handler call unless the connection is closed or closing.
func (c *Conn) runUnlessClosed(f func()) {
	c.handlerLock.Lock()
	defer c.handlerLock.Unlock()
	if !c.closeReported && !c.isClosing() {
		c.runRecovered(f)
	}
}

// runRecovered runs a handler call; if that panics, it logs the panic and closes the connection.
func (c *Conn) runRecovered(f func()) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			c.driver.log.Error("panic on a connection", "error", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			c.Close()
		}
	}()
	f()
}
