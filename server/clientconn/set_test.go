package clientconn

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pineport/dispatch"
	"pineport/testbed/port"
	"pineport/transport"
)

// testSet is a Set that serves a real listener. The test receives its events and sets its clock.
type testSet struct {
	*Set
	driver  *transport.Driver
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
	s.driver = driver
	s.address = listener.Addr().String()
	return s
}

// next returns the next event, which must be of type E.
func next[E Event](t *testing.T, s *testSet) E {
	t.Helper()
	select {
	case event := <-s.events:
		wanted, ok := event.(E)
		if !ok {
			t.Fatalf("got event %T, want %T", event, wanted)
		}
		return wanted
	case <-time.After(5 * time.Second):
		t.Fatal("no event within 5 s")
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

// isClosed reports whether the server has closed a connection.
func isClosed(client *net.TCPConn) bool {
	client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return err == io.EOF
}

// TestEvictionPrefersSilentConnections checks that beyond the connection limit a connection that has sent no command is closed, rather than one
// that has sent commands.
func TestEvictionPrefersSilentConnections(t *testing.T) {
	s := openSet(t, limits)
	served, conn := s.connect(t)
	io.WriteString(served, ping)
	next[Commands](t, s)
	s.RecordCommands(conn, 1)
	conn.Write("+PONG\r\n", 1, false)
	io.ReadFull(served, make([]byte, 7))
	silent, _ := s.connect(t)
	s.now.Store(NewConnGrace + 2)
	latest, _ := s.connect(t)
	if isClosed(served) || !isClosed(silent) || isClosed(latest) {
		t.Errorf("%d connections are left, and the closed one is not the silent one", s.Len())
	}
}

// TestSweepClosesSilentAndStuckConnections checks that a connection is closed if it sends no command or leaves a command
// incomplete, but not while a reply is pending.
func TestSweepClosesSilentAndStuckConnections(t *testing.T) {
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
			t.Fatal("the partial command was not read within 5 s")
		}
	}
	s.Sweep(idleTimeout + sweepInterval + 2)
	if !isClosed(silent) || !isClosed(stuck) || isClosed(waiting) {
		t.Error("want the silent and the stuck connection closed, and the waiting one open")
	}
	if s.AllAnswered() || s.CloseAnswered() {
		t.Error("a command without a reply is reported as answered")
	}
	conn.Write("+PONG\r\n", 1, false)
	waiting.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(io.LimitReader(waiting, 7)); string(got) != "+PONG\r\n" {
		t.Errorf("got %q, %v", got, err)
	}
	for deadline := time.Now().Add(5 * time.Second); !s.CloseAnswered(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("an answered connection was not closed within 5 s")
		}
		for len(s.events) > 0 {
			if closed, ok := (<-s.events).(Closed); ok {
				s.Remove(closed.Conn)
			}
		}
	}
}

// TestPartialCommandsAreBounded checks that an incomplete command beyond the total limit is an error, and that its bytes are subtracted from the
// total.
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
		t.Errorf("%d bytes are still counted", held)
	}
}

// TestAdmissionIsBounded checks that beyond the limit no connection is admitted until another one is closed.
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

// TestCommandsTellTheirArrival: a command that comes in two parts arrived with its first part, and one behind it in the same read with that
// read, so that a client that never pauses between two commands does not make later ones look old.
func TestCommandsTellTheirArrival(t *testing.T) {
	s := openSet(t, Limits{Conns: 4, Admitted: 4, PartialBytes: 1 << 20})
	client, _ := s.connect(t)
	const ping = "*1\r\n$4\r\nPING\r\n"
	for _, step := range []struct {
		now   int64
		bytes string
		want  dispatch.Micros // 0: no command is complete
	}{{1000, ping[:5], 0}, {2000, ping[5:] + ping[:3], 1000}, {3000, ping[3:] + ping[:3], 2000}, {4000, ping[3:], 3000}, {5000, ping, 5000}} {
		s.now.Store(step.now)
		io.WriteString(client, step.bytes)
		if step.want == 0 {
			waitForPartial(t, s)
			continue
		}
		if got := next[Commands](t, s).ArrivedAt; got != step.want {
			t.Errorf("at %d: arrived at %d, want %d", step.now, got, step.want)
		}
	}
}

// waitForPartial waits until a part of a command has been read.
func waitForPartial(t *testing.T, s *testSet) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.partialBytes.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nothing was read within 5 s")
		}
	}
}

// TestRejectedPartGetsOneReply guards against a second reply to a request that was rejected before it was complete: a client would take it
// for the reply to its next request. What follows the reply is read and dropped, so that the end of the connection is no reset.
func TestRejectedPartGetsOneReply(t *testing.T) {
	const reply = "-BUSY 0\r\n"
	s := openSet(t, Limits{Conns: 4, Admitted: 4, PartialBytes: 1 << 20})
	client, _ := s.connect(t)
	io.WriteString(client, ping[:6])
	waitForPartial(t, s)
	s.driver.StopReading()
	for deadline := time.Now().Add(5 * time.Second); s.RejectIncomplete(reply) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the incomplete command was not rejected within 5 s")
		}
	}
	if again := s.RejectIncomplete(reply); again != 0 || !s.AllAnswered() {
		t.Errorf("rejected %d commands again; all answered: %v", again, s.AllAnswered())
	}
	if left := s.CloseAll(); left != 1 {
		t.Errorf("%d connections were left to close, want 1", left)
	}
	io.WriteString(client, ping[6:])
	for deadline := time.Now().Add(5 * time.Second); !s.CloseAnswered(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection was not closed within 5 s of the rest of its command")
		}
	}
	if got, err := io.ReadAll(client); string(got) != reply || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	if event, isClosed := (<-s.events).(Closed); !isClosed {
		t.Errorf("a rejected command was passed on: %+v", event)
	}
}

// TestRequestBehindRejectedPart guards against a request that is read and dropped because the one before it was rejected before it was complete:
// one that comes with the rest of that one is passed on, and one that comes later is left unread.
func TestRequestBehindRejectedPart(t *testing.T) {
	s := openSet(t, Limits{Conns: 4, Admitted: 4, PartialBytes: 1 << 20})
	client, conn := s.connect(t)
	io.WriteString(client, ping[:6])
	waitForPartial(t, s)
	s.driver.StopReading()
	for s.RejectIncomplete("-BUSY 0\r\n") == 0 {
		time.Sleep(time.Millisecond)
	}
	io.WriteString(client, ping[6:]+ping)
	if event := next[Commands](t, s); len(event.Commands) != 1 {
		t.Errorf("%d commands were passed on, want 1", len(event.Commands))
	}
	conn.Write("-BUSY\r\n", 1, false)
	io.WriteString(client, ping)
	if !port.WaitAcknowledged(client) {
		t.Fatal("the request did not arrive")
	}
	time.Sleep(50 * time.Millisecond)
	if unread, _ := port.UnreadByPeer(client); unread != len(ping) || len(s.events) > 0 {
		t.Errorf("%d bytes are unread, want %d; %d events", unread, len(ping), len(s.events))
	}
}
