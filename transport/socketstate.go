package transport

import (
	"errors"

	"golang.org/x/sys/unix"
)

// This file asks sockets for their state.

// isReadable reports whether a read on a descriptor would return data or end of file. It consumes nothing. If the system does not tell, it
// returns true, so that no connection is closed over bytes that may be unread.
func isReadable(fd int) bool { return isReadableBy(unix.Poll, fd) }

// pollFunc has the form of unix.Poll, which tests replace.
type pollFunc func(descriptors []unix.PollFd, timeout int) (n int, err error)

func isReadableBy(poll pollFunc, fd int) bool {
	pollFds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := pollNow(poll, pollFds)
	return err != nil || n > 0 && pollFds[0].Revents&unix.POLLNVAL == 0
}

// maxInterruptions bounds how often poll is called again because of signals.
const maxInterruptions = 16

// pollNow returns the events that descriptors have now.
func pollNow(poll pollFunc, pollFds []unix.PollFd) (n int, err error) {
	for range maxInterruptions {
		n, err = poll(pollFds, 0)
		if !errors.Is(err, unix.EINTR) {
			break
		}
	}
	return n, err
}

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
