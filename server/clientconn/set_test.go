package clientconn

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pineport/dispatch"
	"pineport/transport"
)

// testSet is a set behind a real listener, with its events, and a clock that the test sets.
type testSet struct {
	*Set
	address string
	events  chan Event
	now     atomic.Int64
}

func openSet(t *testing.T, limits Limits) *testSet {
	t.Helper()
	s := &testSet{events: make(chan Event, 64)}
	s.now.Store(1)
	s.Set = New(limits, func() dispatch.Micros { return dispatch.Micros(s.now.Load()) }, func(event Event) { s.events <- event })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	driver, err := transport.Open("", listener, 256, slog.New(slog.DiscardHandler), s.CanAccept, s.Accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	s.address = listener.Addr().String()
	return s
}

// next returns the next event, which must be an E.
func next[E Event](t *testing.T, s *testSet) E {
	t.Helper()
	select {
	case event := <-s.events:
		wanted, ok := event.(E)
		if !ok {
			t.Fatalf("%T came, not %T", event, wanted)
		}
		return wanted
	case <-time.After(5 * time.Second):
		t.Fatal("no event came")
		panic("unreachable")
	}
}

// connect opens a connection and adds it to the set.
func (s *testSet) connect(t *testing.T) (*net.TCPConn, *Conn) {
	t.Helper()
	client, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(5 * time.Second))
	conn := next[Opened](t, s).Conn
	s.Add(conn, dispatch.Micros(s.now.Load()))
	return client.(*net.TCPConn), conn
}

const ping = "*1\r\n$4\r\nPING\r\n"

var limits = Limits{Conns: 2, Admitted: 16, PartialBytes: 8 << 10}

// isClosed reports whether the other side has closed a connection.
func isClosed(client *net.TCPConn) bool {
	client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return err == io.EOF
}

// TestEvictionPrefersSilentConnections: beyond the limit the connection goes that has sent no command for longest, not one that is served.
func TestEvictionPrefersSilentConnections(t *testing.T) {
	s := openSet(t, limits)
	served, conn := s.connect(t)
	io.WriteString(served, ping)
	next[Commands](t, s)
	s.RecordCommands(conn, 1)
	conn.Write("+PONG\r\n", false)
	io.ReadFull(served, make([]byte, 7))
	silent, _ := s.connect(t)
	s.now.Store(NewConnGrace + 2)
	latest, _ := s.connect(t)
	if isClosed(served) || !isClosed(silent) || isClosed(latest) {
		t.Errorf("%d connections are left, and another one than the silent one went", s.Len())
	}
}

// TestSweepClosesWhatIsIdleOrStuck: silence, idleness and a partial command end a connection; a command without a reply does not.
func TestSweepClosesWhatIsIdleOrStuck(t *testing.T) {
	s := openSet(t, Limits{Conns: 8, Admitted: 16, PartialBytes: 8 << 10})
	silent, _ := s.connect(t)
	stuck, stuckConn := s.connect(t)
	io.WriteString(stuck, ping[:6])
	waiting, conn := s.connect(t)
	io.WriteString(waiting, ping)
	next[Commands](t, s)
	s.RecordCommands(conn, 1)
	for deadline := time.Now().Add(5 * time.Second); stuckConn.partialSince.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the partial command was never read")
		}
	}
	s.Sweep(idleTimeout + sweepInterval + 2)
	if !isClosed(silent) || !isClosed(stuck) || isClosed(waiting) {
		t.Error("the wrong connections are closed")
	}
	if s.AllAnswered() || s.CloseAnswered() {
		t.Error("a command without a reply counts as answered")
	}
	conn.Write("+PONG\r\n", false)
	waiting.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(io.LimitReader(waiting, 7)); string(got) != "+PONG\r\n" {
		t.Errorf("got %q, %v", got, err)
	}
	for deadline := time.Now().Add(5 * time.Second); !s.CloseAnswered(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("an answered connection is never closed")
		}
		for len(s.events) > 0 {
			if closed, ok := (<-s.events).(Closed); ok {
				s.Remove(closed.Conn)
			}
		}
	}
}

// TestPartialCommandsAreBounded: a command that is too long for the room that is left is an error, and its bytes are given back.
func TestPartialCommandsAreBounded(t *testing.T) {
	s := openSet(t, limits)
	client, _ := s.connect(t)
	io.WriteString(client, "*2\r\n$4\r\nPING\r\n$60000\r\n")
	client.Write(make([]byte, 16<<10))
	event := next[Commands](t, s)
	if event.Err == nil || len(event.Commands) != 0 {
		t.Fatalf("%d commands, %v", len(event.Commands), event.Err)
	}
	if held := s.partialBytes.Load(); held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}

// TestAdmissionIsBounded: beyond the limit no connection is admitted, until one has gone.
func TestAdmissionIsBounded(t *testing.T) {
	s := openSet(t, Limits{Conns: 8, Admitted: 1, PartialBytes: 1})
	client, _ := s.connect(t)
	if s.CanAccept() {
		t.Error("admitted beyond the limit")
	}
	client.Close()
	s.Remove(next[Closed](t, s).Conn)
	if !s.CanAccept() || s.Len() != 0 {
		t.Errorf("not admitted, with %d connections", s.Len())
	}
}
