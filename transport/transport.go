// Package transport drives the sockets with lesismal/nbio: it listens, dials, reads, writes and keeps
// deadlines. It knows nothing of what the bytes mean.
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
)

// Handler is notified what happens on one connection; the calls never overlap, and Closed is the last.
// A panic in it closes that connection alone.
type Handler interface {
	Opened(*Conn)
	Data(*Conn, []byte)
	Closed(*Conn, error)
}

// ErrGivenUp is the reason of a connection that this side closed.
var ErrGivenUp = errors.New("given up by this side")

const (
	readBuffer = 16 << 10
	// nbio closes on the peer's end after so many bytes or reads of one connection, whatever is still unread: more than any body, byte by byte.
	maxReadInRow = 64 * readBuffer
	writeBuffer  = 1 << 20 // over the largest call, five full bodies
)

// Driver owns the poller and all its connections.
type Driver struct {
	engine           *nbio.Engine
	listener         net.Listener
	stoppedAccepting atomic.Bool // after StopAccepting
	stoppedReading   atomic.Bool // after StopReading
	log              *slog.Logger
	// joined counts connections as they are given to nbio. Its tables are its own and say nothing of order: whoever finds a connection
	// there reads this first, and sees all that stood before it was given.
	handedOver atomic.Int64
	closeLock  sync.RWMutex // held by who gives nbio a connection
	closed     bool         // no more of those
}

// of finds the connection that nbio speaks of.
func (d *Driver) connOf(raw *nbio.Conn) (*Conn, bool) {
	d.handedOver.Load()
	conn, ok := raw.Session().(*Conn)
	return conn, ok
}

// ListenerFromFD makes a listener of a descriptor that this process inherited; the socket stays its holder's.
func ListenerFromFD(fd int) (net.Listener, error) {
	if listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listens == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket (%v)", fd, err)
	}
	again, err := syscall.Dup(fd) // the first stays open, for the next time
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(again)
	f := os.NewFile(uintptr(again), "listen")
	defer f.Close()
	return net.FileListener(f)
}

// IsTemporary reports whether a call failed as this machine is short of something, which it may have again in a moment.
func IsTemporary(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// Open starts a driver that takes clients on a listener, or where that is nil listens on addr, and makes a Handler for each connection that comes in
// and is admitted.
func Open(addr string, inherited net.Listener, sockets int, log *slog.Logger, admit func() bool, accept func() Handler) (*Driver, error) {
	openLock.Lock()
	defer openLock.Unlock()
	nbio.MaxOpenFiles = sockets + 64 // nbio keeps a table of that length
	driver := &Driver{log: log}
	latestDriver.Store(driver)
	listen := func(network, addr string) (l net.Listener, err error) {
		if l = inherited; l == nil {
			l, err = net.Listen(network, addr)
		}
		driver.listener = admissionListener{l, admit}
		return driver.listener, err
	}
	driver.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{addr}, NPoller: 1, Listen: listen,
		ReadBufferSize: readBuffer, MaxWriteBufferSize: writeBuffer})
	driver.engine.OnOpen(func(raw *nbio.Conn) {
		if raw.Session() == nil { // taken in, not dialled
			conn := &Conn{raw: raw, driver: driver, handler: accept()}
			raw.SetSession(conn)
			conn.runUnlessClosed(func() { conn.handler.Opened(conn) })
			driver.handedOver.Add(1)
		}
	})
	buffer := make([]byte, readBuffer) // one for all, as a single poller reads them in step
	driver.engine.OnRead(func(raw *nbio.Conn) {
		if conn, ok := driver.connOf(raw); ok {
			conn.read(raw, buffer)
		}
	})
	driver.engine.OnWrittenSize(func(raw *nbio.Conn, _ []byte, n int) {
		if conn, ok := driver.connOf(raw); ok {
			conn.written.Add(int64(n))
		}
	})
	driver.engine.OnClose(func(raw *nbio.Conn, err error) {
		if conn, ok := driver.connOf(raw); ok {
			conn.reportClosed(err)
		}
	})
	// Out of descriptors, nbio would accept again at once, for ever.
	driver.engine.OnAcceptError(func(error) {
		if time.Sleep(20 * time.Millisecond); driver.stoppedAccepting.Load() {
			select {} // it would complain of the closed listener for ever
		}
	})
	return driver, driver.engine.Start()
}

// gate closes connections that are not admitted before they cost a place among those that are.
type admissionListener struct {
	net.Listener
	admit func() bool
}

func (g admissionListener) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		for waited := time.Duration(0); err == nil && !g.admit() && waited < admitTimeout; waited += admitTimeout / 50 {
			time.Sleep(admitTimeout / 50)
		}
		if err != nil || g.admit() {
			return conn, err
		}
		conn.Close()
	}
}

// admitWait is how long a connection waits for a place, which others are about to leave; the rest waits behind it.
const admitTimeout = 50 * time.Millisecond

// StopAccepting takes no more connections in; those that are up stay. Who had come before it is let in, within a bound. Failure: the
// system reset who still waited there, and a request sent with the first breath of a connection had no answer.
func (d *Driver) StopAccepting() {
	for waited := time.Duration(0); waited < admitTimeout && d.hasPending(); waited += admitTimeout / 50 {
		time.Sleep(admitTimeout / 50)
	}
	d.stoppedAccepting.Store(true)
	d.listener.Close()
}

// StopReading leaves all that comes from now on unread. Once a connection is IsHandlerIdle, nothing more is read from it.
func (d *Driver) StopReading() { d.stoppedReading.Store(true) }

// knocked tells whether a connection waits to be accepted.
func (d *Driver) hasPending() (waits bool) {
	l, ok := d.listener.(admissionListener).Listener.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { waits = readable(int(fd)) })
	}
	return waits
}

// readable tells whether there is something to read on a descriptor, an end too, and takes nothing.
func readable(fd int) bool {
	set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(set, 0)
	return err == nil && n > 0 && set[0].Revents&unix.POLLNVAL == 0
}

// Close ends the listener and every connection; a dial under way ends by itself, and nbio would wait for it. Once more does nothing.
func (d *Driver) Close() {
	d.closeLock.Lock()
	again := d.closed
	d.closed = true
	d.closeLock.Unlock()
	if again {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.engine.Shutdown(ctx) // what is left ends with the process
}

// Conn is a connection, perhaps not up yet.
type Conn struct {
	driver        *Driver
	handler       Handler
	state         sync.Mutex // guards raw and over
	raw           *nbio.Conn
	closing       bool
	freed         bool        // the descriptor's number may be another connection's, or is about to be free
	expiry        *time.Timer // see CloseAfter; nil for none
	closeReason   error       // it was closed by this side, if that had a reason of its own
	cancelDial    func()      // ends a dial that is under way
	handlerLock   sync.Mutex  // held while bytes are read and the handler runs
	closeReported bool        // Closed was notified
	queued        atomic.Int64
	written       atomic.Int64

	halfClosed      bool // the peer has ended its sending and is still owed replies; guarded by state
	replyDescriptor int  // of those replies, while halfClosed
}

// Dial brings up a connection in the background. nbio's own DialAsync gives no hold of a dial that is under
// way and reports a refused one as up, so a goroutine waits here.
func (d *Driver) Dial(addr string, within time.Duration, handler Handler) *Conn {
	ctx, giveUp := context.WithTimeout(context.Background(), within)
	c := &Conn{driver: d, handler: handler, cancelDial: giveUp}
	go func() {
		defer giveUp()
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
		c.state.Lock()
		c.raw = raw
		given := c.closing
		c.state.Unlock()
		if given {
			c.shutDown()
			return
		}
		c.runUnlessClosed(func() { c.handler.Opened(c) })
	}()
	return c
}

// join gives nbio a connection, unless the driver is closed.
func (d *Driver) addConn(raw *nbio.Conn) error {
	d.closeLock.RLock()
	defer d.closeLock.RUnlock()
	if d.closed {
		return net.ErrClosed
	}
	d.handedOver.Add(1)
	_, err := d.engine.AddConn(raw)
	return err
}

// Write hands bytes to the socket; what does not fit goes later.
func (c *Conn) Write(b []byte) error {
	raw := c.open()
	if raw == nil {
		return c.writeReply(b)
	}
	c.queued.Add(int64(len(b)))
	if c.Unsent() == int64(len(b)) { // nothing waits at nbio
		n, err := c.writeNow(raw, b)
		if err != nil {
			if c.HalfClosed() { // closed by nbio a moment ago
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

// writeNow writes what the socket takes. nbio would close the connection where that fails, and free its number: see shutDown.
func (c *Conn) writeNow(raw *nbio.Conn, b []byte) (n int, err error) {
	c.state.Lock()
	defer c.state.Unlock()
	if c.freed {
		return 0, net.ErrClosed
	}
	n, err = unix.Write(raw.Hash(), b)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.written.Add(int64(n))
	return n, nil
}

// Flushed tells whether the socket has taken all that was written.
func (c *Conn) Flushed() bool { return c.Unsent() <= 0 }

// Unsent is how much the socket has not taken yet.
func (c *Conn) Unsent() int64 { return c.queued.Load() - c.written.Load() }

// CloseAfter closes the connection if it is still there after a while; nought takes that back.
func (c *Conn) CloseAfter(after time.Duration) {
	c.state.Lock()
	defer c.state.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
		c.expiry = nil
	}
	if after > 0 && !c.closing {
		c.expiry = time.AfterFunc(after, c.Close)
	}
}

// Close gives the connection up; Closed follows. A dial that is under way ends. Failure: it went on, and held a descriptor that
// nobody counted any more.
func (c *Conn) Close() { c.Fail(ErrGivenUp) }

// Fail closes the connection for a reason, which Closed is notified. What was written by then was written, and nothing is later: only in
// Closed is Flushed the last word.
func (c *Conn) Fail(why error) {
	c.state.Lock()
	c.closing = true
	raw := c.raw
	if c.closeReason == nil {
		c.closeReason = why
	}
	c.state.Unlock()
	c.CloseReplies()
	if raw != nil {
		c.shutDown()
	} else if c.cancelDial != nil {
		c.cancelDial()
	}
}

// shutDown has the poller close the connection.
//
// Failure: a connection was closed by the event loop as its end lay among the events that the poller was about to handle. A connection that
// was accepted in between had its descriptor's number, was taken for it, and was closed with its first request unanswered. So only the
// poller frees numbers: as it handles the event of that number, there is no other of it.
func (c *Conn) shutDown() {
	c.state.Lock()
	defer c.state.Unlock()
	if c.raw != nil && !c.freed {
		_ = unix.Shutdown(c.raw.Hash(), unix.SHUT_RDWR) // where the peer has ended it, that is reported already
	}
}

// CloseIf closes the connection if rests, which is asked while the handler stands still, says so, and nothing that came lies unread. It
// does not wait for a handler that runs, which may itself be waiting for the caller.
func (c *Conn) CloseIf(rests func() bool) bool {
	closed := false
	c.WhileIdle(func() {
		if closed = rests(); closed {
			c.Close()
		}
	})
	return closed
}

// WhileIdle runs f while the handler stands still, if nothing that came lies unread and the other side has not ended, and tells whether it
// did. Failures: a connection was closed over a request just read, or over one that lay unread, which resets it and takes with it what
// the other side has not received yet; a call was written to a connection that the other side had closed, and may have run for all one knew.
func (c *Conn) WhileIdle(f func()) bool {
	if !c.handlerLock.TryLock() {
		return false
	}
	defer c.handlerLock.Unlock()
	if c.closeReported || c.isClosing() || c.unread() {
		return false
	}
	f()
	return true
}

// HasUnread tells whether something that came lies unread, or is being handled just now.
func (c *Conn) HasUnread() bool {
	if !c.handlerLock.TryLock() {
		return true
	}
	defer c.handlerLock.Unlock()
	return c.unread()
}

// IsHandlerIdle reports whether neither bytes are being read nor the handler runs.
func (c *Conn) IsHandlerIdle() bool {
	if !c.handlerLock.TryLock() {
		return false
	}
	c.handlerLock.Unlock()
	return true
}

// unread tells whether something that came lies unread, an end too. The caller holds the handler lock.
func (c *Conn) unread() bool {
	raw := c.open()
	return raw != nil && readable(raw.Hash()) // its hash is the descriptor
}

func (c *Conn) isClosing() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.closing
}

func (c *Conn) open() *nbio.Conn {
	c.state.Lock()
	defer c.state.Unlock()
	if c.closing {
		return nil
	}
	return c.raw
}

func (c *Conn) reportClosed(err error) {
	c.state.Lock()
	c.closing, c.freed = true, true
	if c.expiry != nil {
		c.expiry.Stop()
	}
	if c.closeReason != nil {
		err = c.closeReason
	}
	c.state.Unlock()
	c.handlerLock.Lock()
	reported := c.closeReported
	c.closeReported = true
	c.handlerLock.Unlock()
	if !reported {
		c.run(func() { c.handler.Closed(c, err) })
	}
}

// read hands over what has come, as the poller's step is. Reading and handling are one: whoever holds the handler lock knows that all that was read
// was handled.
func (c *Conn) read(raw *nbio.Conn, buffer []byte) {
	// Failure: a read that fell short passed for the last, though more lay there, and the peer's end then closed the connection over it.
	for taken := 0; taken < maxReadInRow; taken++ {
		c.handlerLock.Lock()
		if c.closeReported || c.isClosing() {
			c.handlerLock.Unlock()
			c.release(raw, ErrGivenUp)
			return
		}
		if c.driver.stoppedReading.Load() {
			c.handlerLock.Unlock()
			return
		}
		n, err := raw.Read(buffer)
		if n > 0 {
			taken += n
			c.run(func() { c.handler.Data(c, buffer[:n]) })
		}
		if n == 0 && err == nil {
			err = io.EOF
			c.keepForReplies(raw)
		}
		c.handlerLock.Unlock()
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			c.release(raw, err)
			return
		}
	}
}

// release closes the connection, on the poller. What nbio reports of it comes later, when its number may be another connection's.
func (c *Conn) release(raw *nbio.Conn, err error) {
	c.state.Lock()
	c.freed = true
	c.state.Unlock()
	raw.CloseWithError(err)
}

// guarded runs the handler unless the connection has ended.
func (c *Conn) runUnlessClosed(f func()) {
	c.handlerLock.Lock()
	defer c.handlerLock.Unlock()
	if !c.closeReported && !c.isClosing() {
		c.run(f)
	}
}

// run stops a panic at its connection.
func (c *Conn) run(f func()) {
	defer func() {
		if fault := recover(); fault != nil {
			c.driver.log.Error("panic on a connection", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			c.Close()
		}
	}()
	f()
}

// What nbio has one of for the whole process: its limit is set, and read, as a driver opens; its words go to the latest driver's log.
var (
	openLock     sync.Mutex
	latestDriver atomic.Pointer[Driver]
)

func init() { logging.DefaultLogger = nbioLogger{} }

// quiet sends nbio's own words to the log; what it says of its start and its end is left out.
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
