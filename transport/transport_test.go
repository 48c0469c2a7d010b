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

// reported writes down what a handler is notified.
type recordingHandler struct {
	mu     sync.Mutex
	events []string
	data   bytes.Buffer
	conn   *Conn
	on     func(c *Conn, b []byte)
	closed chan struct{}
}

func newRecordingHandler(on func(conn *Conn, b []byte)) *recordingHandler {
	return &recordingHandler{on: on, closed: make(chan struct{})}
}

func (h *recordingHandler) note(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *recordingHandler) Opened(conn *Conn) {
	h.conn = conn
	h.note("opened")
}

func (h *recordingHandler) Data(conn *Conn, b []byte) {
	h.mu.Lock()
	h.data.Write(b)
	h.mu.Unlock()
	if h.on != nil {
		h.on(conn, b)
	}
}

func (h *recordingHandler) Closed(*Conn, error) {
	h.note("closed")
	close(h.closed)
}

func (h *recordingHandler) wait(t *testing.T) string {
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

func open(t *testing.T, accept func() Handler) (*Driver, string) {
	t.Helper()
	driver, err := Open("127.0.0.1:0", nil, 1024, slog.New(slog.DiscardHandler), func() bool { return true }, accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	return driver, driver.engine.Addrs[0]
}

func TestRefusedDialNeverOpens(t *testing.T) {
	driver, _ := open(t, nil)
	nobody, letGo, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer letGo()
	h := newRecordingHandler(nil)
	conn := driver.Dial(nobody, time.Second, h)
	if got := h.wait(t); got != "closed" {
		t.Errorf("reported %q", got)
	}
	if conn.Write([]byte("x")) == nil {
		t.Error("wrote to it all the same")
	}
}

// TestCanceledDialIsClosed: given up at any moment of its coming up, a connection ends here, and at the other side if it came that far.
func TestCanceledDialIsClosed(t *testing.T) {
	var mu sync.Mutex
	var came []*recordingHandler
	driver, addr := open(t, func() Handler {
		mu.Lock()
		defer mu.Unlock()
		came = append(came, newRecordingHandler(nil))
		return came[len(came)-1]
	})
	for i := range 40 {
		h := newRecordingHandler(nil)
		conn := driver.Dial(addr, time.Second, h)
		time.Sleep(time.Duration(i) * 10 * time.Microsecond)
		conn.Close()
		if got := h.wait(t); got != "closed" && got != "opened closed" {
			t.Errorf("reported %q", got)
		}
	}
	last := newRecordingHandler(nil) // by the time it is up, all before it were let in
	conn := driver.Dial(addr, time.Second, last)
	for conn.open() == nil {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	last.wait(t)
	mu.Lock()
	defer mu.Unlock()
	for _, h := range came {
		h.wait(t)
	}
}

// TestLargeBodiesBothWays: what does not fit the socket goes later, and the last bytes before an end are read.
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
		t.Fatalf("%v; the same: %v", err, bytes.Equal(got, body))
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
	h.wait(t)
	if h.data.Len() != len(body) {
		t.Errorf("%d bytes of %d", h.data.Len(), len(body))
	}
}

func TestPanicClosesOnlyItsConnection(t *testing.T) {
	_, addr := open(t, func() Handler {
		return newRecordingHandler(func(conn *Conn, b []byte) {
			if b[0] == '!' {
				panic("as if by a fault in a parser")
			}
			conn.Write(b)
		})
	})
	ask := func(text string) string {
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
	if got := ask("!"); got != "" {
		t.Errorf("answered %q", got)
	}
	if got := ask("a"); got != "a" {
		t.Errorf("another connection got %q", got)
	}
}

func TestCloseIfChecksCondition(t *testing.T) {
	h := newRecordingHandler(nil)
	driver, addr := open(t, func() Handler { return newRecordingHandler(nil) })
	conn := driver.Dial(addr, time.Second, h)
	if conn.CloseIf(func() bool { return false }) || !conn.CloseIf(func() bool { return true }) {
		t.Error("not as it was notified")
	}
	h.wait(t)
}
