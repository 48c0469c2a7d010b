package transport

import (
	"errors"
	"io"
	"runtime"
	"syscall"

	"github.com/lesismal/nbio"
)

// This file reads from connections, in turns.

// read reads available bytes and passes them to the handler; the poller calls it. handlerLock is held from the
// read until the handler returns, so a holder of handlerLock knows that all bytes read so far have been handled.
//
// An open connection gets one turn; the poller reports it again while bytes are left. If the peer has ended, the rest must be read now, as nbio
// closes the connection after this event. Incident: a short read was taken for the last one although more bytes were available, and the peer's
// end of file then closed the connection before they were read. Only of a Replier the rest is read in turns, by restReader.
func (c *Conn) read(raw *nbio.Conn, buffer []byte) {
	_, isReplier := c.handler.(Replier)
	if isReplier {
		buffer = buffer[:requesterTurnBytes]
	}
	for bytesRead := 0; bytesRead < maxConsecutiveReadBytes; bytesRead++ {
		n, ended := c.readOnce(raw, buffer)
		if ended {
			return
		}
		bytesRead += n
		switch peer := peerStateOf(raw.Hash()); {
		case peer == peerOpen:
			if n == len(buffer) { // more may come at once: on one core, all others get the processor in between
				runtime.Gosched()
			}
			return
		case !isReplier:
		case peer == peerGone: // nobody waits for replies to the rest
			c.closeOnPoller(raw, syscall.ECONNRESET)
			return
		case c.leavePoller(raw):
			return
		}
	}
}

// readOnce reads once and passes the bytes to the handler. ended means that nothing more can be read now.
func (c *Conn) readOnce(raw *nbio.Conn, buffer []byte) (n int, ended bool) {
	c.handlerLock.Lock()
	if c.closeReported || c.isClosing() {
		c.handlerLock.Unlock()
		c.closeOnPoller(raw, ErrClosedLocally)
		return 0, true
	}
	if c.isReadingStopped() {
		c.handlerLock.Unlock()
		return 0, true
	}
	n, err := raw.Read(buffer)
	if n > 0 {
		c.runRecovered(func() { c.handler.Data(c, buffer[:n]) })
	}
	if n == 0 && err == nil {
		err = io.EOF
		c.keepForReplies(raw)
	}
	c.handlerLock.Unlock()
	switch {
	case err == nil, errors.Is(err, syscall.EINTR):
		return max(n, 0), false
	case errors.Is(err, syscall.EAGAIN):
		return max(n, 0), true
	}
	c.closeOnPoller(raw, err)
	return max(n, 0), true
}

// isReadingStopped reports whether StopReading applies to this connection.
func (c *Conn) isReadingStopped() bool {
	isAccepted := c.cancelDial == nil
	return isAccepted && c.driver.stoppedReading.Load() && !c.hasPartialRequest()
}

func (c *Conn) hasPartialRequest() bool {
	reader, ok := c.handler.(PartialReader)
	return ok && reader.HasPartialRequest()
}

// closeOnPoller closes the connection and releases its descriptor; it runs on the poller. nbio reports the close
// later, when the descriptor number may already belong to another connection.
func (c *Conn) closeOnPoller(raw *nbio.Conn, err error) {
	c.stateLock.Lock()
	c.descriptorReleased = true
	c.stateLock.Unlock()
	raw.CloseWithError(err)
}
