package transport

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pineport/testbed/port"
)

// These tests force a race: an event of the peer arrives between two statements of this package; see docs/crossings.md. A handler of the test blocks the only poller, so
// that bytes received on other connections stay unread until the test releases the poller.

// driverWithBlockedPoller returns a driver whose poller is blocked until resume is called, and the driver's address.
func driverWithBlockedPoller(t *testing.T, newHandler func() Handler) (driver *Driver, addr string, resume func()) {
	t.Helper()
	driver, addr = open(t, newHandler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	blocked, release := make(chan struct{}), make(chan struct{})
	resume = sync.OnceFunc(func() { close(release) })
	t.Cleanup(resume)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := l.Accept()
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, "x")
		}
	}()
	driver.Dial(l.Addr().String(), 5*time.Second, newRecordingHandler(func(*Conn, []byte) {
		close(blocked)
		<-release
	}))
	for _, c := range []chan struct{}{accepted, blocked} {
		select {
		case <-c:
		case <-time.After(5 * time.Second):
			t.Fatal("the poller was not blocked within 5 s")
		}
	}
	return driver, addr, resume
}

// acceptedHandlers receives the handlers of connections in the order in which they are opened.
type acceptedHandlers chan *recordingHandler

func (c acceptedHandlers) accept() Handler {
	h := &recordingHandler{closed: make(chan struct{})}
	h.onData = func(conn *Conn, b []byte) { conn.Write(b) }
	return &announcingHandler{h, c}
}

// announcingHandler sends its recordingHandler to a channel when its connection is opened.
type announcingHandler struct {
	*recordingHandler
	opened acceptedHandlers
}

func (a *announcingHandler) Opened(conn *Conn) {
	a.recordingHandler.Opened(conn)
	a.opened <- a.recordingHandler
}

func (c acceptedHandlers) next(t *testing.T) *recordingHandler {
	t.Helper()
	select {
	case h := <-c:
		return h
	case <-time.After(5 * time.Second):
		t.Fatal("no connection was opened within 5 s")
		return nil
	}
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn.(*net.TCPConn)
}

func alwaysTrue() bool { return true }

// TestNoCloseWithUnreadBytes checks that CloseIf does not close a connection with unread bytes. Incident: a connection that appeared idle was
// closed while a request was unread in its socket; the kernel reset the connection, and a reply in transit was lost.
func TestNoCloseWithUnreadBytes(t *testing.T) {
	accepted := make(acceptedHandlers, 1)
	_, addr, resume := driverWithBlockedPoller(t, accepted.accept)
	peer := dial(t, addr)
	h := accepted.next(t)
	io.WriteString(peer, "request")
	if !port.WaitAcknowledged(peer) {
		t.Fatal("the request did not arrive")
	}
	if h.conn.CloseIf(alwaysTrue) {
		t.Error("closed a connection with unread bytes")
	}
	resume()
	got := make([]byte, 7)
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != "request" {
		t.Fatalf("answered %q, %v", got, err)
	}
	for !h.conn.CloseIf(alwaysTrue) { // the handler may still be running
		time.Sleep(time.Millisecond)
	}
	if _, err := peer.Read(got); err != io.EOF {
		t.Errorf("an idle connection was closed with %v", err)
	}
}

// TestNoWriteToConnectionClosedByPeer checks that WhileIdle does not run its function on a connection that the peer has closed. Incident: a
// request was written to such a connection, and it was unknown whether the peer had processed it.
func TestNoWriteToConnectionClosedByPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	driver, _, _ := driverWithBlockedPoller(t, nil)
	opened := make(acceptedHandlers, 1)
	conn := driver.Dial(l.Addr().String(), 5*time.Second, opened.accept())
	opened.next(t)
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for deadline := time.Now().Add(5 * time.Second); !conn.WhileIdle(func() {}); { // the handler may still be in Opened
		if time.Now().After(deadline) {
			t.Fatal("an open idle connection is reported as closed")
		}
	}
	peer.(*net.TCPConn).CloseWrite()
	if !port.WaitAcknowledged(peer.(*net.TCPConn)) {
		t.Fatal("the end of file did not arrive")
	}
	if conn.WhileIdle(func() {}) {
		t.Error("WhileIdle ran its function on a connection that the peer has closed")
	}
}

// TestNoCloseWhileHandlerRuns checks that CloseIf does not close a connection between the read of its bytes and the end of their handling.
func TestNoCloseWhileHandlerRuns(t *testing.T) {
	handling, resume := make(chan struct{}), make(chan struct{})
	accepted := make(acceptedHandlers, 1)
	_, addr := open(t, func() Handler {
		a := accepted.accept().(*announcingHandler)
		a.onData = func(*Conn, []byte) {
			close(handling)
			<-resume
		}
		return a
	})
	peer := dial(t, addr)
	h := accepted.next(t)
	io.WriteString(peer, "x")
	<-handling
	if h.conn.CloseIf(alwaysTrue) {
		t.Error("closed while the handler was running")
	}
	close(resume)
}

// TestCloseReasonIsReportedOnce checks that a handler that calls CloseWithError gets one call of Closed with the same error.
func TestCloseReasonIsReportedOnce(t *testing.T) {
	reason := errors.New("simulated malformed data")
	closed := make(chan error, 2)
	driver, addr := open(t, func() Handler { return &closingHandler{reason, closed} })
	peer := dial(t, addr)
	io.WriteString(peer, "x")
	if err := <-closed; err != reason {
		t.Errorf("reported %v", err)
	}
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
	driver.Close() // waits until all pending calls of Closed are made
	if len(closed) > 0 {
		t.Errorf("Closed was called again with %v", <-closed)
	}
}

type closingHandler struct {
	reason error
	closed chan error
}

func (*closingHandler) Opened(*Conn)                {}
func (h *closingHandler) Data(conn *Conn, _ []byte) { conn.CloseWithError(h.reason) }
func (h *closingHandler) Closed(_ *Conn, err error) { h.closed <- err }

// TestCanceledDialEndsAtOnce checks that closing a connection cancels its dial. Incident: a canceled dial held a descriptor, which was no longer
// counted, until the dial timed out. With a third of the dials slow, the descriptor limit was exceeded.
func TestCanceledDialEndsAtOnce(t *testing.T) {
	driver, _ := open(t, nil)
	addr := listenWithFullBacklog(t)
	reason, closed := errors.New("simulated cancellation"), make(chan error, 2)
	conn := driver.Dial(addr, time.Hour, &closingHandler{reason, closed})
	conn.CloseWithError(reason)
	select {
	case err := <-closed:
		if err != reason {
			t.Errorf("reported %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the dial was not canceled within 5 s")
	}
}

// listenWithFullBacklog returns the address of a listener whose backlog is full, so that dials to it do not complete.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockAddr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sockAddr.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// TestPendingConnectionsAreAccepted checks that StopAccepting first accepts queued connections. Incident: the kernel reset connections that were
// still queued when the listener was closed, so requests sent immediately after connecting got no response.
func TestPendingConnectionsAreAccepted(t *testing.T) {
	const connCount = 16
	admitted := make(chan struct{})
	accepted := make(acceptedHandlers, connCount+1)
	driver, err := Open("127.0.0.1:0", nil, 1024, slog.New(slog.DiscardHandler), func() bool {
		<-admitted
		return true
	}, accepted.accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	peers := make([]*net.TCPConn, connCount) // the first waits to be admitted, the others wait in the accept queue
	for i := range peers {
		peers[i] = dial(t, driver.engine.Addrs[0])
		io.WriteString(peers[i], "hello")
		if !port.WaitAcknowledged(peers[i]) {
			t.Fatal("the request did not arrive")
		}
	}
	close(admitted)
	driver.StopAccepting()
	for i, peer := range peers {
		got := make([]byte, 5)
		if _, err := io.ReadFull(peer, got); err != nil {
			t.Errorf("connection %d was not accepted: %v", i, err)
		}
	}
	if conn, err := net.Dial("tcp", driver.engine.Addrs[0]); err == nil {
		conn.Close()
		t.Error("the listener still accepts connections")
	}
}

// TestConnectionsDialedDuringCloseAreClosed checks that connections established while the driver is closing are closed too.
func TestConnectionsDialedDuringCloseAreClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 10 {
		accepted := make(acceptedHandlers, 1)
		driver, addr := open(t, accepted.accept)
		peer := dial(t, addr) // the echo proves that nbio's loops have started; before that, nbio ignores a shutdown
		io.WriteString(peer, "x")
		if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		var handlers []*recordingHandler
		for range 20 {
			h := newRecordingHandler(nil)
			handlers = append(handlers, h)
			driver.Dial(l.Addr().String(), 5*time.Second, h)
		}
		driver.Close()
		for _, h := range handlers {
			h.waitClosed(t)
		}
	}
}

// TestSmallWritesAreSentAtOnce checks that TCP_NODELAY is set. Otherwise a reply held back by the kernel would be lost when a connection
// with unread input is closed.
func TestSmallWritesAreSentAtOnce(t *testing.T) {
	opened := make(acceptedHandlers, 2)
	driver, addr := open(t, opened.accept)
	dialed := driver.Dial(addr, 5*time.Second, opened.accept())
	for range 2 {
		conn := opened.next(t).conn
		for conn.openConn() == nil {
			time.Sleep(time.Millisecond)
		}
		if on, err := unix.GetsockoptInt(conn.openConn().Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
			t.Errorf("dialled %v: TCP_NODELAY %d, %v", conn == dialed, on, err)
		}
	}
}

// openRequestHandler is a handler that has read a part of a request until complete is set.
type openRequestHandler struct {
	*recordingHandler
	complete atomic.Bool
}

func (h *openRequestHandler) HasPartialRequest() bool { return !h.complete.Load() }

// TestCloseAfterWaitsForOpenRequest guards against a request that was read in part and gets no reply, because the timeout of its connection
// ends: the connection is closed once the request is complete, or maxCloseDelay later.
func TestCloseAfterWaitsForOpenRequest(t *testing.T) {
	for _, completes := range []bool{true, false} {
		handlers := make(chan *openRequestHandler, 1)
		_, addr := open(t, func() Handler {
			h := &openRequestHandler{recordingHandler: newRecordingHandler(func(c *Conn, _ []byte) { c.CloseAfter(10 * time.Millisecond) })}
			handlers <- h
			return h
		})
		client, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		io.WriteString(client, "x")
		handler, began := <-handlers, time.Now()
		client.SetReadDeadline(began.Add(50 * time.Millisecond))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("closed %v after a part of a request was read: %v", time.Since(began), err)
		}
		if completes {
			handler.complete.Store(true)
		}
		client.SetReadDeadline(began.Add(5 * time.Second))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("not closed: %v", err)
		}
	}
}

// TestInterruptedPollKeepsConnection guards against a connection that is closed over an unread request because a signal interrupted poll, which
// was taken for "nothing to read".
func TestInterruptedPollKeepsConnection(t *testing.T) {
	for _, interruptions := range []int{1, 1000} {
		accepted := make(acceptedHandlers, 1)
		_, addr, resume := driverWithBlockedPoller(t, accepted.accept)
		peer := dial(t, addr)
		h := accepted.next(t)
		io.WriteString(peer, "request")
		if !port.WaitAcknowledged(peer) {
			t.Fatal("the request did not arrive")
		}
		left := interruptions
		interrupted := func(descriptors []unix.PollFd, timeout int) (int, error) {
			if left--; left >= 0 {
				return -1, unix.EINTR
			}
			return unix.Poll(descriptors, timeout)
		}
		if !isReadableBy(interrupted, h.conn.openConn().Hash()) {
			t.Errorf("unread bytes are not seen after %d interruptions of poll", interruptions)
		}
		if h.conn.CloseIf(alwaysTrue) {
			t.Error("closed over unread bytes")
		}
		resume()
	}
}
