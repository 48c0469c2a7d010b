package transport

import (
	"errors"
	"io"
	"net"
	"reflect"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// A peer may shut down its write side and still wait for replies. nbio closes a connection as soon as it reads end of
// file, so the descriptor is duplicated before that, and the pending replies are written to the duplicate.

// Replier is a Handler that replies to the peer and may have replies pending.
type Replier interface {
	Handler
	// HasPendingReplies reports whether a request that was read has no reply yet.
	HasPendingReplies() bool
}

// duplicateForReplies duplicates the descriptor of a connection whose peer has shut down its write side, if replies are
// pending. It does nothing if nbio still holds queued bytes: these are lost when nbio closes its own descriptor, and the
// peer could not interpret replies with a gap before them. The caller holds handlerLock and closes the connection afterwards.
//
// The descriptor is removed from epoll first. epoll keeps reporting a descriptor number as long as any duplicate is open,
// while nbio relies on close to remove it. Incident: epoll reported the end of the old connection under a descriptor number
// that a new connection had by then, and the new connection was closed with its first request unanswered.
func (c *Conn) duplicateForReplies(raw *nbio.Conn) {
	replier, ok := c.handler.(Replier)
	if !ok || !replier.HasPendingReplies() || !c.Flushed() || peerStateOf(raw.Hash()) != peerEnded {
		return
	}
	if c.driver.removeFromPoll(raw.Hash()) != nil {
		return
	}
	duplicate, err := unix.FcntlInt(uintptr(raw.Hash()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return // for example, the descriptor limit is reached
	}
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.halfClosed {
		unix.Close(duplicate)
		return
	}
	c.halfClosed, c.replyDescriptor = true, duplicate
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

// writeReply writes to a half-closed connection. Replies are short; bytes that the socket does not take at once are
// lost, and writeReply returns io.ErrShortWrite.
func (c *Conn) writeReply(b []byte) error {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if !c.halfClosed {
		return net.ErrClosed
	}
	n, err := unix.Write(c.replyDescriptor, b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// CloseReplies closes the descriptor kept for replies, if there is one. Call it after the last reply.
func (c *Conn) CloseReplies() {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.halfClosed {
		c.halfClosed = false
		unix.Close(c.replyDescriptor)
	}
}
