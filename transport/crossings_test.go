package transport

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pineport/testbed/port"
)

// What comes between two lines of this package, each forced: docs/crossings.md. The one poller is stopped in a handler of the test's, so
// that what other connections bring lies unread for as long as it wants.

// stopped is a driver whose poller stands still until goOn is called, and its address.
func stoppedDriver(t *testing.T, accept func() Handler) (driver *Driver, addr string, goOn func()) {
	t.Helper()
	driver, addr = open(t, accept)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stands, release := make(chan struct{}), make(chan struct{})
	goOn = sync.OnceFunc(func() { close(release) })
	t.Cleanup(goOn)
	up := make(chan struct{})
	go func() {
		defer close(up)
		conn, err := l.Accept()
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, "x")
		}
	}()
	driver.Dial(l.Addr().String(), 5*time.Second, newRecordingHandler(func(*Conn, []byte) {
		close(stands)
		<-release
	}))
	for _, c := range []chan struct{}{up, stands} {
		select {
		case <-c:
		case <-time.After(5 * time.Second):
			t.Fatal("the poller does not stand still")
		}
	}
	return driver, addr, goOn
}

// taking keeps the handlers of connections that are taken in, in their order.
type acceptedHandlers chan *recordingHandler

func (c acceptedHandlers) accept() Handler {
	h := &recordingHandler{closed: make(chan struct{})}
	h.on = func(conn *Conn, b []byte) { conn.Write(b) }
	return &announcingHandler{h, c}
}

// announced tells of its connection once that is up.
type announcingHandler struct {
	*recordingHandler
	to acceptedHandlers
}

func (a *announcingHandler) Opened(conn *Conn) {
	a.recordingHandler.Opened(conn)
	a.to <- a.recordingHandler
}

func (c acceptedHandlers) next(t *testing.T) *recordingHandler {
	t.Helper()
	select {
	case h := <-c:
		return h
	case <-time.After(5 * time.Second):
		t.Fatal("nobody came")
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

func always() bool { return true }

// TestNoCloseWithUnreadBytes. Failure: a connection that rested as far as was known was closed over a request that lay in its socket;
// the system reset it, and a reply on its way went with it.
func TestNoCloseWithUnreadBytes(t *testing.T) {
	came := make(acceptedHandlers, 1)
	_, addr, goOn := stoppedDriver(t, came.accept)
	peer := dial(t, addr)
	h := came.next(t)
	io.WriteString(peer, "request")
	if !port.Arrived(peer) {
		t.Fatal("it never arrived")
	}
	if h.conn.CloseIf(always) {
		t.Error("closed over what lay unread")
	}
	goOn()
	got := make([]byte, 7)
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != "request" {
		t.Fatalf("answered %q, %v", got, err)
	}
	for !h.conn.CloseIf(always) { // the handler may still run
		time.Sleep(time.Millisecond)
	}
	if _, err := peer.Read(got); err != io.EOF {
		t.Errorf("a connection at rest ended with %v", err)
	}
}

// TestNoWriteToEndedConnection. Failure: a call was written to a connection whose other side had closed it, and nobody could
// say whether it had run.
func TestNoWriteToEndedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	driver, _, _ := stoppedDriver(t, nil)
	came := make(acceptedHandlers, 1)
	conn := driver.Dial(l.Addr().String(), 5*time.Second, came.accept())
	came.next(t)
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for deadline := time.Now().Add(5 * time.Second); !conn.WhileIdle(func() {}); { // its handler may still be telling that it is up
		if time.Now().After(deadline) {
			t.Fatal("an open connection at rest passes for ended")
		}
	}
	peer.(*net.TCPConn).CloseWrite()
	if !port.Arrived(peer.(*net.TCPConn)) {
		t.Fatal("its end never arrived")
	}
	if conn.WhileIdle(func() {}) {
		t.Error("written to one that has ended")
	}
}

// TestNoCloseWhileHandlerRuns: whoever acts on a connection at rest does so before its bytes are read or after they were handled.
func TestNoCloseWhileHandlerRuns(t *testing.T) {
	handles, goOn := make(chan struct{}), make(chan struct{})
	came := make(acceptedHandlers, 1)
	_, addr := open(t, func() Handler {
		a := came.accept().(*announcingHandler)
		a.on = func(*Conn, []byte) {
			close(handles)
			<-goOn
		}
		return a
	})
	peer := dial(t, addr)
	h := came.next(t)
	io.WriteString(peer, "x")
	<-handles
	if h.conn.CloseIf(always) {
		t.Error("closed while its bytes were handled")
	}
	close(goOn)
}

// TestCloseReasonIsReportedOnce: a handler that fails its connection is notified so by Closed, and of nothing after it.
func TestCloseReasonIsReportedOnce(t *testing.T) {
	why := errors.New("as if spoilt")
	ended := make(chan error, 2)
	driver, addr := open(t, func() Handler { return &failingHandler{why, ended} })
	peer := dial(t, addr)
	io.WriteString(peer, "x")
	if err := <-ended; err != why {
		t.Errorf("reported %v", err)
	}
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Error("still open")
	}
	driver.Close() // whatever is notified is notified by now
	if len(ended) > 0 {
		t.Errorf("reported once more: %v", <-ended)
	}
}

type failingHandler struct {
	why   error
	ended chan error
}

func (*failingHandler) Opened(*Conn)                {}
func (h *failingHandler) Data(conn *Conn, _ []byte) { conn.Fail(h.why) }
func (h *failingHandler) Closed(_ *Conn, err error) { h.ended <- err }

// TestCanceledDialEndsAtOnce. Failure: it held a descriptor that nobody counted any more until its time was over; with a third of the
// dials coming up late, the limit was passed.
func TestCanceledDialEndsAtOnce(t *testing.T) {
	driver, _ := open(t, nil)
	addr := full(t)
	why, ended := errors.New("as if overtaken"), make(chan error, 2)
	conn := driver.Dial(addr, time.Hour, &failingHandler{why, ended})
	conn.Fail(why)
	select {
	case err := <-ended:
		if err != why {
			t.Errorf("reported %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("it goes on")
	}
}

// full is a listener whose queue has no room: a dial to it comes up no more.
func full(t *testing.T) string {
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
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// TestPendingConnectionsAreAccepted. Failure: the system reset who still waited at the door as it was closed, and requests that came with the first
// breath of a connection had no answer.
func TestPendingConnectionsAreAccepted(t *testing.T) {
	const many = 16
	admitted := make(chan struct{})
	came := make(acceptedHandlers, many+1)
	driver, err := Open("127.0.0.1:0", nil, 1024, slog.New(slog.DiscardHandler), func() bool {
		<-admitted
		return true
	}, came.accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	peers := make([]*net.TCPConn, many) // the first is held up on its way in, the others wait behind it
	for i := range peers {
		peers[i] = dial(t, driver.engine.Addrs[0])
		io.WriteString(peers[i], "hello")
		if !port.Arrived(peers[i]) {
			t.Fatal("it never arrived")
		}
	}
	close(admitted)
	driver.StopAccepting()
	for i, peer := range peers {
		got := make([]byte, 5)
		if _, err := io.ReadFull(peer, got); err != nil {
			t.Errorf("%d was rejected: %v", i, err)
		}
	}
	if conn, err := net.Dial("tcp", driver.engine.Addrs[0]); err == nil {
		conn.Close()
		t.Error("it still listens")
	}
}

// TestDialsDuringCloseLeakNothing: whatever comes up as the driver closes is closed with it.
func TestDialsDuringCloseLeakNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 10 {
		came := make(acceptedHandlers, 1)
		driver, addr := open(t, came.accept)
		peer := dial(t, addr) // nbio forgets an end that comes before its loops have begun
		io.WriteString(peer, "x")
		if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		var all []*recordingHandler
		for range 20 {
			h := newRecordingHandler(nil)
			all = append(all, h)
			driver.Dial(l.Addr().String(), 5*time.Second, h)
		}
		driver.Close()
		for _, h := range all {
			h.wait(t)
		}
	}
}

// TestSmallWritesAreSentAtOnce: what the system held back would go with a connection that is closed over unread bytes.
func TestSmallWritesAreSentAtOnce(t *testing.T) {
	came := make(acceptedHandlers, 2)
	driver, addr := open(t, came.accept)
	dialled := driver.Dial(addr, 5*time.Second, came.accept())
	for range 2 {
		conn := came.next(t).conn
		for conn.open() == nil {
			time.Sleep(time.Millisecond)
		}
		if on, err := unix.GetsockoptInt(conn.open().Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
			t.Errorf("dialled %v: TCP_NODELAY %d, %v", conn == dialled, on, err)
		}
	}
}
