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

// peerState is what a socket tells of its peer.
type peerState int

const (
	peerOpen  peerState = iota // may still send
	peerEnded                  // has shut down its write side, and may still read
	peerGone                   // has reset the connection, or has closed it in both directions
)

// peerStateOf returns the state of a connection's peer. It is peerOpen if the system does not tell.
func peerStateOf(descriptor int) peerState {
	pollFds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	n, err := pollNow(unix.Poll, pollFds)
	events := pollFds[0].Revents
	switch {
	case err != nil || n <= 0 || events&unix.POLLNVAL != 0:
		return peerOpen
	case events&(unix.POLLERR|unix.POLLHUP) != 0:
		return peerGone
	case events&unix.POLLRDHUP != 0:
		return peerEnded
	}
	return peerOpen
}

// IsPeerGone reports whether the peer has reset the connection, or the connection has ended for another reason, so that nothing that is
// written now can reach the peer.
func (c *Conn) IsPeerGone() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	switch {
	case c.halfClosed:
		return peerStateOf(c.replyDescriptor) == peerGone
	case c.descriptorReleased:
		return true
	}
	return c.raw != nil && peerStateOf(c.raw.Hash()) == peerGone
}

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
