package transport

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/testbed/port"
)

// recordingHandler records the calls of its methods and the received data.
type recordingHandler struct {
	mu     sync.Mutex
	events []string
	data   bytes.Buffer
	conn   *Conn
	onData func(c *Conn, b []byte)
	closed chan struct{}
}

func newRecordingHandler(on func(conn *Conn, b []byte)) *recordingHandler {
	return &recordingHandler{onData: on, closed: make(chan struct{})}
}

func (h *recordingHandler) record(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *recordingHandler) Opened(conn *Conn) {
	h.conn = conn
	h.record("opened")
}

func (h *recordingHandler) Data(conn *Conn, b []byte) {
	h.mu.Lock()
	h.data.Write(b)
	h.mu.Unlock()
	if h.onData != nil {
		h.onData(conn, b)
	}
}

func (h *recordingHandler) Closed(*Conn, error) {
	h.record("closed")
	close(h.closed)
}

// read returns what has been read.
func (h *recordingHandler) read() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data.String()
}

func (h *recordingHandler) waitClosed(t *testing.T) string {
	t.Helper()
	select {
	case <-h.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("not closed")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.events, " ")
}

func open(t *testing.T, newHandler func() Handler) (*Driver, string) {
	t.Helper()
	driver, err := Open("127.0.0.1:0", nil, 1024, slog.New(slog.DiscardHandler), func() bool { return true }, newHandler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	return driver, driver.engine.Addrs[0]
}

func TestRefusedDialNeverOpens(t *testing.T) {
	driver, _ := open(t, nil)
	unusedAddr, release, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	h := newRecordingHandler(nil)
	conn := driver.Dial(unusedAddr, time.Second, h)
	if got := h.waitClosed(t); got != "closed" {
		t.Errorf("reported %q", got)
	}
	if conn.Write([]byte("x")) == nil {
		t.Error("Write to the refused connection succeeded")
	}
}

// TestCanceledDialIsClosed checks that a connection closed at any time during its dial is closed on the dialing side, and
// on the accepting side if it was accepted there.
func TestCanceledDialIsClosed(t *testing.T) {
	var mu sync.Mutex
	var accepted []*recordingHandler
	driver, addr := open(t, func() Handler {
		mu.Lock()
		defer mu.Unlock()
		accepted = append(accepted, newRecordingHandler(nil))
		return accepted[len(accepted)-1]
	})
	for i := range 40 {
		h := newRecordingHandler(nil)
		conn := driver.Dial(addr, time.Second, h)
		time.Sleep(time.Duration(i) * 10 * time.Microsecond)
		conn.Close()
		if got := h.waitClosed(t); got != "closed" && got != "opened closed" {
			t.Errorf("reported %q", got)
		}
	}
	last := newRecordingHandler(nil) // the test assumes that all earlier connections have been accepted once this one is open
	conn := driver.Dial(addr, time.Second, last)
	for conn.openConn() == nil {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	last.waitClosed(t)
	mu.Lock()
	defer mu.Unlock()
	for _, h := range accepted {
		h.waitClosed(t)
	}
}

// TestLargeBodiesBothWays checks that bytes that the socket does not take at once are queued and written later.
func TestLargeBodiesBothWays(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 20000)
	_, addr := open(t, func() Handler {
		return newRecordingHandler(func(conn *Conn, b []byte) {
			if err := conn.Write(b); err != nil {
				t.Error(err)
			}
		})
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go conn.Write(body)
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	got := make([]byte, len(body))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("%v; body unchanged: %v", err, bytes.Equal(got, body))
	}
}

func TestLastBytesBeforeCloseAreRead(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 200_000)
	h := newRecordingHandler(nil)
	_, addr := open(t, func() Handler { return h })
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write(body)
	conn.Close()
	h.waitClosed(t)
	if h.data.Len() != len(body) {
		t.Errorf("received %d of %d bytes", h.data.Len(), len(body))
	}
}

func TestPanicClosesOnlyItsConnection(t *testing.T) {
	_, addr := open(t, func() Handler {
		return newRecordingHandler(func(conn *Conn, b []byte) {
			if b[0] == '!' {
				panic("simulated parser error")
			}
			conn.Write(b)
		})
	})
	exchange := func(text string) string {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		conn.Write([]byte(text))
		b := make([]byte, 1)
		n, _ := conn.Read(b)
		return string(b[:n])
	}
	if got := exchange("!"); got != "" {
		t.Errorf("answered %q", got)
	}
	if got := exchange("a"); got != "a" {
		t.Errorf("another connection got %q", got)
	}
}

func TestCloseIfChecksCondition(t *testing.T) {
	h := newRecordingHandler(nil)
	driver, addr := open(t, func() Handler { return newRecordingHandler(nil) })
	conn := driver.Dial(addr, time.Second, h)
	if conn.CloseIf(func() bool { return false }) || !conn.CloseIf(func() bool { return true }) {
		t.Error("CloseIf closed with a false condition, or did not close with a true one")
	}
	h.waitClosed(t)
}

// TestStopReadingSparesDialedConnections guards against answers that an exit does not read although it waits for them: only connections
// that were accepted are read no more.
func TestStopReadingSparesDialedConnections(t *testing.T) {
	accepted := make(chan *recordingHandler, 1)
	driver, addr := open(t, func() Handler {
		h := newRecordingHandler(nil)
		accepted <- h
		return h
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed := newRecordingHandler(nil)
	driver.Dial(listener.Addr().String(), time.Second, dialed)
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	served := <-accepted
	driver.StopReading()
	io.WriteString(client, "request")
	io.WriteString(server, "answer")
	server.Close()
	dialed.waitClosed(t)
	if got := dialed.read(); got != "answer" {
		t.Errorf("the dialed connection read %q", got)
	}
	if got := served.read(); got != "" {
		t.Errorf("the accepted connection read %q", got)
	}
}

// TestCloseAfterStopAcceptingEndsAtOnce guards against a process that serves nobody for a second after its successor has crashed: the
// goroutine that accepts connections never ended after StopAccepting, and Close waited for it until its limit.
func TestCloseAfterStopAcceptingEndsAtOnce(t *testing.T) {
	for _, acceptingTime := range []time.Duration{0, 100 * time.Millisecond} {
		driver, addr := open(t, func() Handler { return newRecordingHandler(nil) })
		client, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		driver.StopAccepting()
		time.Sleep(acceptingTime)
		began := time.Now()
		driver.Close()
		if took := time.Since(began); took >= closeTimeout/2 {
			t.Errorf("closed %v after StopAccepting, Close took %v", acceptingTime, took)
		}
	}
}
