// Package transport handles socket I/O through lesismal/nbio: it listens, dials, reads and writes, and closes
// connections, also after a timeout. It does not interpret the bytes it carries.
package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
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
	readBufferSize = 16 << 10 // also a turn of a connection that does not send requests
	// maxConsecutiveReadBytes limits the reading of one connection whose peer has ended, per poller event; each read counts as one more
	// byte. nbio closes the connection when Conn.read returns, even if bytes are still unread. The limit therefore exceeds the largest
	// message body, even one that arrives one byte per read.
	maxConsecutiveReadBytes = 64 * readBufferSize
	// requesterTurnBytes limits the reading of a connection that sends requests, a Replier's, so that those that send without end take
	// turns with all others. The poller reports the connection again while bytes are left.
	requesterTurnBytes = 2 << 10
	maxWriteBufferSize = 1 << 20 // more than the largest request, which holds five bodies of maximum size
)

// closeTimeout is how long Close waits for the goroutines of the poller.
const closeTimeout = time.Second

// Driver owns the nbio poller and all connections that it serves.
type Driver struct {
	engine           *nbio.Engine
	listener         net.Listener
	stoppedAccepting atomic.Bool // after StopAccepting
	stoppedReading   atomic.Bool // after StopReading
	log              *slog.Logger
	acceptWait       acceptWait
	rests            restReader
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
		if err != nil {
			return nil, err
		}
		driver.listener = newAdmissionListener(l, admit, driver)
		return driver.listener, nil
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
			conn.recordWritten(n)
		}
	})
	driver.engine.OnClose(func(raw *nbio.Conn, err error) {
		if conn, ok := driver.connOf(raw); ok && !conn.hasUnreadRest() {
			conn.reportClosed(err)
		}
	})
	// Without this pause nbio would retry accept in a busy loop while no descriptor is available.
	driver.engine.OnAcceptError(func(error) {
		if time.Sleep(20 * time.Millisecond); driver.stoppedAccepting.Load() {
			runtime.Goexit() // otherwise nbio would log accept errors until Close, and Close would wait for this goroutine
		}
	})
	return driver, driver.engine.Start()
}

// PartialReader is a Handler that may have read a part of a request.
type PartialReader interface {
	Handler
	// HasPartialRequest reports whether a part of a request was read, and the rest was not.
	HasPartialRequest() bool
}

// StopReading stops reading from accepted connections, except from those of a PartialReader until the rest of its request has been
// read. A read already in progress completes: once IsHandlerIdle returns true, and no request is partly read, nothing more is read from
// that connection. Dialed connections are still read, since calls in flight are answered until the process ends.
func (d *Driver) StopReading() { d.stoppedReading.Store(true) }

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
	d.rests.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = d.engine.Shutdown(ctx) // connections still open after the timeout end with the process
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

// nbio has one descriptor limit and one logger per process.
var (
	openLock     sync.Mutex             // held by Open, which sets the limit and lets nbio read it
	latestDriver atomic.Pointer[Driver] // its log receives nbio's messages, also those about earlier drivers
)

func init() { logging.DefaultLogger = nbioLogger{} }

// nbioLogger writes nbio's warnings and errors to the log of the latest driver. It drops debug and info messages,
// and errors that occur after StopAccepting.
type nbioLogger struct{}

func (nbioLogger) SetLevel(int) {}

func (nbioLogger) Debug(string, ...any) {}

func (nbioLogger) Info(string, ...any) {}

func (nbioLogger) Warn(f string, v ...any) { latestDriver.Load().log.Warn(fmt.Sprintf(f, v...)) }

func (nbioLogger) Error(f string, v ...any) {
	if driver := latestDriver.Load(); !driver.stoppedAccepting.Load() {
		driver.log.Error(fmt.Sprintf(f, v...))
	}
}
