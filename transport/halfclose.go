package transport

import (
	"errors"
	"io"
	"net"
	"reflect"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// A peer may end its sending and still wait for its replies. nbio closes a connection as soon as the peer has ended its
// sending, so the descriptor is duplicated before that, and the replies that are still due go over the duplicate.

// Replier is a Handler that may owe its peer replies.
type Replier interface {
	Handler
	// HasPendingReplies reports whether something that was read has no reply yet.
	HasPendingReplies() bool
}

// keepForReplies duplicates the descriptor of a connection whose peer has ended its sending, if replies are due. Bytes that
// nbio still holds back would go with its own descriptor, and what came after them could not be understood: then nothing is kept.
// The caller holds the handler lock, and closes the connection then.
//
// Failure: the poll of the system knows a descriptor's number for as long as any duplicate is open, and nbio relies on the close to end
// that. The end of the old connection was reported for the number, which a new connection had by then: its first request was read, or lay
// there, and it was closed with no answer. So the number is taken from the poll first.
func (c *Conn) keepForReplies(raw *nbio.Conn) {
	replier, ok := c.handler.(Replier)
	if !ok || !replier.HasPendingReplies() || !c.Flushed() || !peerEnded(raw.Hash()) {
		return
	}
	if c.driver.removeFromPoll(raw.Hash()) != nil {
		return
	}
	duplicate, err := unix.FcntlInt(uintptr(raw.Hash()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return // no descriptor left
	}
	c.state.Lock()
	defer c.state.Unlock()
	if c.halfClosed {
		unix.Close(duplicate)
		return
	}
	c.halfClosed, c.replyDescriptor = true, duplicate
}

// removeFromPoll ends what the poller is told of a descriptor. nbio has no call for that, nor shows its poll's descriptor.
func (d *Driver) removeFromPoll(descriptor int) error {
	pollers := reflect.ValueOf(d.engine).Elem().FieldByName("pollers")
	if !pollers.IsValid() || pollers.Len() != 1 {
		return errNoPoll
	}
	poll := pollers.Index(0).Elem().FieldByName("epfd")
	if !poll.IsValid() {
		return errNoPoll
	}
	return unix.EpollCtl(int(poll.Int()), unix.EPOLL_CTL_DEL, descriptor, nil)
}

var errNoPoll = errors.New("this version of nbio has its poll elsewhere")

// peerEnded reports whether the peer of a socket has ended its sending and has not reset the connection.
func peerEnded(descriptor int) bool {
	set := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(set, 0)
	return err == nil && n > 0 && set[0].Revents&unix.POLLRDHUP != 0 && set[0].Revents&unix.POLLERR == 0
}

// HalfClosed reports whether replies can still be written although the peer has ended its sending.
func (c *Conn) HalfClosed() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.halfClosed
}

// writeReply writes to a peer that has ended its sending; replies are short, and what the socket does not take at once is lost.
func (c *Conn) writeReply(b []byte) error {
	c.state.Lock()
	defer c.state.Unlock()
	if !c.halfClosed {
		return net.ErrClosed
	}
	n, err := unix.Write(c.replyDescriptor, b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// CloseReplies ends what HalfClosed reports: no replies follow. It does nothing on a connection that is not half-closed.
func (c *Conn) CloseReplies() {
	c.state.Lock()
	defer c.state.Unlock()
	if c.halfClosed {
		c.halfClosed = false
		unix.Close(c.replyDescriptor)
	}
}
