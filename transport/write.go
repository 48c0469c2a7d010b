package transport

import (
	"errors"
	"net"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// This file writes to connections. nbio queues what a socket does not take at once; of a half-closed connection, which has left nbio, unsent
// holds it.

// Write writes bytes to the socket. Bytes that the socket does not take at once are queued and written later.
func (c *Conn) Write(b []byte) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	raw := c.openConn()
	if raw == nil {
		return c.writeReply(b)
	}
	c.queuedBytes.Add(int64(len(b)))
	if c.Unsent() == int64(len(b)) { // nbio holds no queued bytes
		n, err := c.writeNow(raw, b)
		if err != nil {
			c.shutDown()
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
	}
	_, err := raw.Write(b)
	if _, isReplier := c.handler.(Replier); isReplier {
		c.unsent = append(c.unsent, b...)
		c.trimUnsent()
	}
	return err
}

// recordWritten counts bytes that nbio has written. nbio may call it during Write.
func (c *Conn) recordWritten(n int) {
	c.writtenBytes.Add(int64(n))
	if c.Flushed() && c.writeLock.TryLock() {
		c.trimUnsent()
		c.writeLock.Unlock()
	}
}

// trimUnsent drops from unsent what the socket has taken. The caller holds writeLock.
func (c *Conn) trimUnsent() {
	taken := len(c.unsent) - int(max(0, c.Unsent()))
	if c.unsent = c.unsent[max(0, taken):]; len(c.unsent) == 0 {
		c.unsent = nil
	}
}

// writeNow writes as many bytes as the socket takes at once. It does not use nbio's Write, which on an error closes
// the connection and releases its descriptor outside the poller; see shutDown.
func (c *Conn) writeNow(raw *nbio.Conn, b []byte) (n int, err error) {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.descriptorReleased {
		return 0, net.ErrClosed
	}
	n, err = unix.Write(raw.Hash(), b)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.writtenBytes.Add(int64(n))
	return n, nil
}

// Flushed reports whether the socket has taken all bytes passed to Write.
func (c *Conn) Flushed() bool { return c.Unsent() <= 0 }

// Unsent returns the number of bytes passed to Write that the socket has not taken yet. The result may be negative while
// another goroutine writes, since the two counters are read one after the other.
func (c *Conn) Unsent() int64 { return c.queuedBytes.Load() - c.writtenBytes.Load() }

// writeReply writes to a half-closed connection. The caller holds writeLock. Bytes that the socket does not take at once are written by
// restReader.
func (c *Conn) writeReply(b []byte) error {
	if !c.HalfClosed() {
		return net.ErrClosed
	}
	if len(c.unsent)+len(b) > maxWriteBufferSize {
		c.closeReplyDescriptor()
		return errWriteBufferFull
	}
	c.queuedBytes.Add(int64(len(b)))
	c.unsent = append(c.unsent, b...)
	err := c.sendUnsent()
	if err == nil && len(c.unsent) > 0 {
		c.driver.rests.add(c)
	}
	return err
}

var errWriteBufferFull = errors.New("the peer leaves too many replies unread")

// sendUnsent writes as many unsent bytes to a half-closed connection as the socket takes. The caller holds writeLock.
func (c *Conn) sendUnsent() error {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if !c.halfClosed {
		return net.ErrClosed
	}
	if len(c.unsent) == 0 {
		return nil
	}
	n, err := unix.Write(c.replyDescriptor, c.unsent)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return nil
	}
	if err != nil {
		return err
	}
	c.writtenBytes.Add(int64(n))
	c.trimUnsent()
	return nil
}
