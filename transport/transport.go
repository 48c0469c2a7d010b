// Package transport handles socket I/O through lesismal/nbio: it listens, dials, reads and writes, and closes
// connections, also after a timeout. It does not interpret the bytes it carries.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"pineport/clock"
)

// Handler receives the events of one connection. Its methods are never called concurrently, and Closed is the
// last call. A panic in a method closes only that connection.
type Handler interface {
	Opened(*Conn)
	Data(*Conn, []byte)
	Closed(*Conn, error)
}

// ErrClosedLocally is passed to Handler.Closed when this side closed the connection and gave no other reason.
var ErrClosedLocally = errors.New("connection closed by this side")

const (
	readBufferSize = 16 << 10
	// maxConsecutiveReadBytes limits the reading of one connection per poller event; each read counts as one more
	// byte. If the event also reports that the peer has closed the connection, nbio closes it when Conn.read
	// returns, even if bytes are still unread. The limit therefore exceeds the largest message body, even one that
	// arrives one byte per read.
	maxConsecutiveReadBytes = 64 * readBufferSize
	// requesterTurnBytes limits the reading of a connection that sends requests, a Replier's, so that those that send without end take
	// turns with all others. The poller reports the connection again while bytes are left.
	requesterTurnBytes = 4 << 10
	maxWriteBufferSize = 1 << 20 // more than the largest request, which holds five bodies of maximum size
)

// Driver owns the nbio poller and all connections that it serves.
type Driver struct {
	engine           *nbio.Engine
	listener         net.Listener
	stoppedAccepting atomic.Bool // after StopAccepting
	stoppedReading   atomic.Bool // after StopReading
	log              *slog.Logger
	acceptWait       acceptWait
	// registeredConns is incremented for each connection passed to nbio. Its value is not used; it serves as a memory
	// barrier. nbio's connection table guarantees no ordering, so code that gets a connection from that table loads
	// this counter first, and thereby sees all writes made before the increment.
	registeredConns atomic.Int64
	closeLock       sync.RWMutex // read-locked while a connection is added to nbio
	closed          bool         // no more connections may be added to nbio
}

// connOf returns the Conn that belongs to an nbio connection.
func (d *Driver) connOf(raw *nbio.Conn) (*Conn, bool) {
	d.registeredConns.Load()
	conn, ok := raw.Session().(*Conn)
	return conn, ok
}

// ListenerFromFD returns a listener for a file descriptor that this process inherited. It works on a duplicate, so
// closing the listener leaves the inherited descriptor open.
func ListenerFromFD(fd int) (net.Listener, error) {
	if acceptConn, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || acceptConn == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket (%v)", fd, err)
	}
	duplicate, err := syscall.Dup(fd) // the inherited descriptor stays open: it is checked at startup and opened later
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(duplicate)
	f := os.NewFile(uintptr(duplicate), "listen")
	defer f.Close()
	return net.FileListener(f)
}

// IsTemporary reports whether a system call failed for a temporary local reason: no descriptors, buffers or
// memory were available, or the call was interrupted. A later retry may succeed.
func IsTemporary(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// Open starts a driver that accepts connections on the inherited listener or, if that is nil, on addr. For each
// accepted connection that admit allows, newHandler returns the Handler. sockets is the maximum number of open
// sockets.
func Open(addr string, inherited net.Listener, sockets int, log *slog.Logger, admit func() bool, newHandler func() Handler) (*Driver, error) {
	openLock.Lock()
	defer openLock.Unlock()
	nbio.MaxOpenFiles = sockets + 64 // nbio's connection table is indexed by descriptor number, including those of other files
	driver := &Driver{log: log}
	latestDriver.Store(driver)
	listen := func(network, addr string) (l net.Listener, err error) {
		if l = inherited; l == nil {
			l, err = net.Listen(network, addr)
		}
		driver.listener = admissionListener{l, admit, driver}
		return driver.listener, err
	}
	driver.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{addr}, NPoller: 1, Listen: listen,
		ReadBufferSize: readBufferSize, MaxWriteBufferSize: maxWriteBufferSize})
	driver.engine.OnOpen(func(raw *nbio.Conn) {
		if raw.Session() == nil { // accepted, not dialed
			conn := &Conn{raw: raw, driver: driver, handler: newHandler(), acceptDelay: driver.acceptWait.take(raw)}
			raw.SetSession(conn)
			conn.runUnlessClosed(func() { conn.handler.Opened(conn) })
			driver.registeredConns.Add(1)
		}
	})
	buffer := make([]byte, readBufferSize) // shared by all connections: the only poller reads them one after another
	driver.engine.OnRead(func(raw *nbio.Conn) {
		if conn, ok := driver.connOf(raw); ok {
			conn.read(raw, buffer)
		}
	})
	driver.engine.OnWrittenSize(func(raw *nbio.Conn, _ []byte, n int) {
		if conn, ok := driver.connOf(raw); ok {
			conn.writtenBytes.Add(int64(n))
		}
	})
	driver.engine.OnClose(func(raw *nbio.Conn, err error) {
		if conn, ok := driver.connOf(raw); ok {
			conn.reportClosed(err)
		}
	})
	// Without this pause nbio would retry accept in a busy loop while no descriptor is available.
	driver.engine.OnAcceptError(func(error) {
		if time.Sleep(20 * time.Millisecond); driver.stoppedAccepting.Load() {
			select {} // otherwise nbio would log accept errors forever; Close returns after its timeout in any case
		}
	})
	return driver, driver.engine.Start()
}

// admissionListener accepts connections, and closes those that are not admitted within admitTimeout. nbio does not see these.
type admissionListener struct {
	net.Listener
	admit  func() bool
	driver *Driver
}

func (l admissionListener) Accept() (net.Conn, error) {
	for {
		wasEmpty := !l.driver.hasPending()
		conn, err := l.Listener.Accept()
		if wasEmpty {
			l.driver.acceptWait.queueWasEmpty()
		}
		for began := clock.Instant(); err == nil && !l.admit() && clock.Since(began) < admitTimeout; {
			time.Sleep(admitTimeout / 50)
		}
		switch {
		case err != nil:
			return nil, err
		case l.admit():
			return l.prepare(conn)
		}
		conn.Close()
	}
}

// prepareRetry is the interval between attempts to prepare an accepted connection.
const prepareRetry = 5 * time.Millisecond

// prepare makes an accepted connection nbio's, which needs another descriptor for a moment. Incident: nbio closed accepted
// connections while no descriptor was free, so that the first request on them got no reply. They are kept until one is free.
func (l admissionListener) prepare(conn net.Conn) (net.Conn, error) {
	for failures := 0; ; failures++ {
		prepared, err := nbio.NBConn(conn)
		if err == nil {
			l.driver.acceptWait.put(prepared)
			if failures > 0 {
				l.driver.log.Warn("accepted connection waited for a descriptor", "attempts", failures, "client", conn.RemoteAddr())
			}
			return prepared, nil
		}
		if !IsTemporary(err) || l.driver.stoppedAccepting.Load() {
			conn.Close()
			return nil, err
		}
		time.Sleep(prepareRetry)
	}
}

// admitTimeout is how long an accepted connection waits to be admitted, as other connections may close in the
// meantime. Connections behind it stay in the accept queue.
const admitTimeout = 50 * time.Millisecond

// StopAccepting closes the listener and leaves established connections open. For up to admitTimeout it first lets
// the connections that are already in the accept queue be accepted. Incident: the kernel reset connections that
// were still queued when the listener was closed, so a request sent immediately after connecting got no response.
func (d *Driver) StopAccepting() {
	for began := clock.Instant(); d.hasPending() && clock.Since(began) < admitTimeout; {
		time.Sleep(admitTimeout / 50)
	}
	d.stoppedAccepting.Store(true)
	d.listener.Close()
}

// PartialReader is a Handler that may have read a part of a request.
type PartialReader interface {
	Handler
	// HasPartialRequest reports whether a part of a request was read, and the rest was not.
	HasPartialRequest() bool
}

// StopReading stops reading from all connections, except from those of a PartialReader until the rest of its request has been
// read. A read already in progress completes: once IsHandlerIdle returns true, and no request is partly read, nothing more is read from
// that connection.
func (d *Driver) StopReading() { d.stoppedReading.Store(true) }

// hasPending reports whether a connection is waiting in the accept queue.
func (d *Driver) hasPending() (pending bool) {
	l, ok := d.listener.(admissionListener).Listener.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { pending = isReadable(int(fd)) })
	}
	return pending
}

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

// Close closes the listener and all connections. Connections that are still being dialed are not added to nbio any
// more, since nbio would wait for them; each is closed when its dial completes. Repeated calls do nothing.
func (d *Driver) Close() {
	d.closeLock.Lock()
	alreadyClosed := d.closed
	d.closed = true
	d.closeLock.Unlock()
	if alreadyClosed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.engine.Shutdown(ctx) // connections still open after the timeout end with the process
}

// Conn is a connection, which may still be being dialed. Close and CloseWithError only shut down the socket of an open
// connection. The poller then reads end of file and releases the descriptor with closeOnPoller, and nbio's close event
// makes reportClosed call Handler.Closed.
type Conn struct {
	driver             *Driver
	handler            Handler
	acceptDelay        time.Duration // see AcceptDelay
	stateLock          sync.Mutex    // guards raw, closing, descriptorReleased, expiry, closeReason, halfClosed and replyDescriptor
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

	halfClosed      bool // the peer has shut down its write side, and replies to it are still pending
	replyDescriptor int  // duplicate descriptor for these replies; valid while halfClosed
}

// Dial opens a connection in the background. It dials in a goroutine because nbio's DialAsync cannot cancel a
// dial in progress and reports a refused connection as established.
func (d *Driver) Dial(addr string, timeout time.Duration, handler Handler) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{driver: d, handler: handler, cancelDial: cancel}
	go func() {
		defer cancel()
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			c.reportClosed(err)
			return
		}
		raw, err := nbio.NBConn(conn)
		if err != nil {
			conn.Close()
			c.reportClosed(err)
			return
		}
		raw.SetSession(c)
		if err := d.addConn(raw); err != nil {
			raw.Close()
			c.reportClosed(err)
			return
		}
		c.stateLock.Lock()
		c.raw = raw
		closing := c.closing
		c.stateLock.Unlock()
		if closing {
			c.shutDown()
			return
		}
		c.runUnlessClosed(func() { c.handler.Opened(c) })
	}()
	return c
}

// addConn adds a connection to nbio, unless the driver is closed.
func (d *Driver) addConn(raw *nbio.Conn) error {
	d.closeLock.RLock()
	defer d.closeLock.RUnlock()
	if d.closed {
		return net.ErrClosed
	}
	d.registeredConns.Add(1)
	_, err := d.engine.AddConn(raw)
	return err
}

// AcceptDelay returns how long the connection may have waited until it was accepted; bytes read from it first may be as old. It is 0 for
// a dialed connection.
func (c *Conn) AcceptDelay() time.Duration { return c.acceptDelay }

// Write writes bytes to the socket. Bytes that the socket does not take at once are queued and written later.
func (c *Conn) Write(b []byte) error {
	raw := c.openConn()
	if raw == nil {
		return c.writeReply(b)
	}
	c.queuedBytes.Add(int64(len(b)))
	if c.Unsent() == int64(len(b)) { // nbio holds no queued bytes
		n, err := c.writeNow(raw, b)
		if err != nil {
			if c.HalfClosed() { // nbio has just closed it
				return c.writeReply(b)
			}
			c.shutDown()
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
	}
	_, err := raw.Write(b)
	return err
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
	c.CloseReplies()
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
	raw := c.openConn()
	return raw != nil && isReadable(raw.Hash()) // Hash returns the descriptor
}

func (c *Conn) isClosing() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.closing
}

func (c *Conn) openConn() *nbio.Conn {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.closing {
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

// read reads available bytes and passes them to the handler; the poller calls it. handlerLock is held from the
// read until the handler returns, so a holder of handlerLock knows that all bytes read so far have been handled.
// A Replier's connection gets one turn, and all of its bytes are read if the peer has ended its sending.
func (c *Conn) read(raw *nbio.Conn, buffer []byte) {
	_, takesTurns := c.handler.(Replier)
	if takesTurns {
		buffer = buffer[:requesterTurnBytes]
	}
	// Read until EAGAIN. Incident: a short read was taken for the last one although more bytes were available,
	// and the peer's end of file then closed the connection before they were read.
	for bytesRead := 0; bytesRead < maxConsecutiveReadBytes; bytesRead++ {
		n, ended := c.readOnce(raw, buffer)
		if ended {
			return
		}
		bytesRead += n
		if !takesTurns {
			continue
		}
		switch peerStateOf(raw.Hash()) {
		case peerOpen:
			return
		case peerGone: // nobody waits for replies to the rest
			c.closeOnPoller(raw, syscall.ECONNRESET)
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
	if c.driver.stoppedReading.Load() && !c.hasPartialRequest() {
		c.handlerLock.Unlock()
		return 0, true
	}
	n, err := raw.Read(buffer)
	if n > 0 {
		c.runRecovered(func() { c.handler.Data(c, buffer[:n]) })
	}
	if n == 0 && err == nil {
		err = io.EOF
		c.duplicateForReplies(raw)
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

// nbio has one descriptor limit and one logger per process.
var (
	openLock     sync.Mutex             // held by Open, which sets the limit and lets nbio read it
	latestDriver atomic.Pointer[Driver] // its log receives nbio's messages, also those about earlier drivers
)

func init() { logging.DefaultLogger = nbioLogger{} }

// nbioLogger writes nbio's warnings and errors to the log of the latest driver. It drops debug and info messages,
// and errors that occur after StopAccepting.
type nbioLogger struct{}

func (nbioLogger) SetLevel(int)            {}
func (nbioLogger) Debug(string, ...any)    {}
func (nbioLogger) Info(string, ...any)     {}
func (nbioLogger) Warn(f string, v ...any) { latestDriver.Load().log.Warn(fmt.Sprintf(f, v...)) }

func (nbioLogger) Error(f string, v ...any) {
	if driver := latestDriver.Load(); !driver.stoppedAccepting.Load() {
		driver.log.Error(fmt.Sprintf(f, v...))
	}
}
