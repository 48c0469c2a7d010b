package transport

import (
	"errors"
	"io"
	"reflect"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"pineport/clock"
)

// A peer may shut down its write side and still wait for replies, also to bytes that are still unread. nbio closes a connection as soon as it
// reports that. The descriptor is therefore duplicated before that, and the connection leaves nbio: what is unread is read from the duplicate,
// and replies are written to it.

// Replier is a Handler that replies to the peer and may have replies pending.
type Replier interface {
	Handler
	// HasPendingReplies reports whether a request that was read has no reply yet.
	HasPendingReplies() bool
}

// leavePoller hands a connection to restReader if its peer has shut down its write side and bytes may be unread. It returns false if that is
// not possible: all bytes must be read now.
func (c *Conn) leavePoller(raw *nbio.Conn) bool {
	c.handlerLock.Lock()
	left := !c.closeReported && c.duplicate(raw, true)
	c.handlerLock.Unlock()
	if !left {
		return false
	}
	c.closeOnPoller(raw, io.EOF)
	c.driver.rests.add(c)
	return true
}

// keepForReplies keeps a connection open for its replies if its peer has shut down its write side, all bytes have been read, and replies are
// pending or unsent. The caller holds handlerLock and closes nbio's connection afterwards.
func (c *Conn) keepForReplies(raw *nbio.Conn) {
	replier, ok := c.handler.(Replier)
	if !ok || !replier.HasPendingReplies() && c.Flushed() || peerStateOf(raw.Hash()) != peerEnded {
		return
	}
	if !c.duplicate(raw, false) {
		return
	}
	if !replier.HasPendingReplies() {
		c.CloseReplies()
	}
	if !c.Flushed() {
		c.driver.rests.add(c)
	}
}

// duplicate duplicates the descriptor of a connection, which is half-closed from then on. It returns false if there is no descriptor left.
//
// The descriptor is removed from epoll first. epoll keeps reporting a descriptor number as long as any duplicate is open,
// while nbio relies on close to remove it. Incident: epoll reported the end of the old connection under a descriptor number
// that a new connection had by then, and the new connection was closed with its first request unanswered.
func (c *Conn) duplicate(raw *nbio.Conn, restUnread bool) bool {
	c.writeLock.Lock() // so that unsent holds what nbio has not written
	defer c.writeLock.Unlock()
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.closing || c.halfClosed || c.driver.removeFromPoll(raw.Hash()) != nil {
		return false
	}
	descriptor, err := unix.FcntlInt(uintptr(raw.Hash()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return false
	}
	c.trimUnsent()
	c.halfClosed, c.restUnread, c.replyDescriptor = true, restUnread, descriptor
	return true
}

// removeFromPoll removes a descriptor from nbio's epoll instance. nbio exports neither a function for this nor the epoll
// descriptor, so the descriptor is read by reflection.
func (d *Driver) removeFromPoll(descriptor int) error {
	pollers := reflect.ValueOf(d.engine).Elem().FieldByName("pollers")
	if !pollers.IsValid() || pollers.Len() != 1 {
		return errNoEpollDescriptor
	}
	poll := pollers.Index(0).Elem().FieldByName("epfd")
	if !poll.IsValid() {
		return errNoEpollDescriptor
	}
	return unix.EpollCtl(int(poll.Int()), unix.EPOLL_CTL_DEL, descriptor, nil)
}

var errNoEpollDescriptor = errors.New("epoll descriptor not found in this version of nbio")

// HalfClosed reports whether the peer has shut down its write side and replies can still be written to it.
func (c *Conn) HalfClosed() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.halfClosed
}

// hasUnreadRest reports whether the peer has shut down its write side, and not all that it sent before has been read.
func (c *Conn) hasUnreadRest() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.restUnread
}

// replySendTimeout is how long after the last reply the peer of a half-closed connection may take to read all of them.
const replySendTimeout = 2 * time.Second

// CloseReplies closes a half-closed connection once the socket has taken all replies, at most replySendTimeout later. It does nothing to
// other connections. Call it after the last reply.
func (c *Conn) CloseReplies() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if len(c.unsent) == 0 {
		c.closeReplyDescriptor()
		return
	}
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.repliesEndBy.IsZero() {
		c.repliesEndBy = clock.Instant().Add(replySendTimeout)
	}
}

// closeReplyDescriptor closes the descriptor of a half-closed connection.
func (c *Conn) closeReplyDescriptor() {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.halfClosed {
		c.halfClosed = false
		unix.Close(c.replyDescriptor)
	}
}
