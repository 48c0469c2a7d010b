package endpointconn

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/transport"
)

const (
	request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
)

// testPool is a pool that dials an endpoint of the test's; the events and the time are the test's too.
type testPool struct {
	*Pool
	endpoint net.Listener
	peer     Peer
	events   chan Event
	time     dispatch.Micros
}

func openPool(t *testing.T, conns int) *testPool {
	t.Helper()
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { endpoint.Close() })
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	driver, err := transport.Open("", clients, 256, slog.New(slog.DiscardHandler), func() bool { return false }, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	p := &testPool{endpoint: endpoint, peer: Peer{Endpoint: "s-0", Address: endpoint.Addr().String()}, events: make(chan Event, 64), time: 1}
	p.Pool = NewPool(Limits{Conns: conns, IdleTimeout: 1000 * 1000}, Loop{
		Now:    func() dispatch.Micros { return p.time },
		Notify: func(e Event) { p.events <- e },
		Dial: func(address string, handler transport.Handler) *transport.Conn {
			return driver.Dial(address, 5*time.Second, handler)
		},
	})
	return p
}

// handleNext hands events to the pool up to the next E, and returns that. Only ends of connections that were given up may come before it.
func handleNext[E Event](t *testing.T, p *testPool) E {
	t.Helper()
	for {
		select {
		case event := <-p.events:
			p.Handle(event)
			if wanted, ok := event.(E); ok {
				return wanted
			}
			if closed, ok := event.(Closed); !ok || !errors.Is(closed.Err, transport.ErrGivenUp) {
				t.Fatalf("%#v came", event)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no event came")
		}
	}
}

// ending is how an exchange ended.
type ending struct {
	answer protocol.Response
	err    error
	count  int
}

// start starts an exchange; its ending is filled in when it has one.
func (p *testPool) start() (*Exchange, *ending) {
	end := &ending{}
	exchange := &Exchange{Peer: p.peer, Request: []byte(request), OnResponseStart: func(bool) {}, OnEnd: func(answer protocol.Response, err error) {
		*end = ending{answer, err, end.count + 1}
	}}
	p.Start(exchange)
	return exchange, end
}

// accept returns the endpoint's side of a new connection, once it is up and the request is there.
func (p *testPool) accept(t *testing.T) net.Conn {
	t.Helper()
	conn, err := p.endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	handleNext[Opened](t, p)
	readRequest(t, conn)
	return conn
}

func readRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
}

// exchanged carries an exchange out over a new connection, and returns the endpoint's side of it.
func (p *testPool) exchanged(t *testing.T) net.Conn {
	t.Helper()
	_, end := p.start()
	conn := p.accept(t)
	io.WriteString(conn, success)
	used := handleNext[ResponseReceived](t, p).Conn
	if end.count != 1 || end.err != nil || end.answer.Status != statusOK {
		t.Fatalf("ended as %+v", *end)
	}
	for !used.conn.WhileIdle(func() {}) { // its handler may still be at the answer
		time.Sleep(time.Millisecond)
	}
	return conn
}

// isClosed reports whether the pool has closed a connection.
func isClosed(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return err == io.EOF
}

// TestIdleConnectionIsReused: the second request goes over the connection of the first, and after its time over a new one.
func TestIdleConnectionIsReused(t *testing.T) {
	p := openPool(t, 4)
	conn := p.exchanged(t)
	_, end := p.start()
	readRequest(t, conn)
	io.WriteString(conn, success)
	if handleNext[ResponseReceived](t, p); end.count != 1 || p.Idle(p.peer) != 1 {
		t.Fatalf("ended as %+v, %d idle", *end, p.Idle(p.peer))
	}
	p.time += p.limits.IdleTimeout
	p.exchanged(t)
	if !isClosed(conn) {
		t.Error("a connection beyond its time stays open")
	}
}

// TestExpireClosesIdleConnections: at Due, and not before.
func TestExpireClosesIdleConnections(t *testing.T) {
	p := openPool(t, 4)
	conn := p.exchanged(t)
	due := p.Due()
	p.time = due - 1
	if p.CloseExpired(); p.Idle(p.peer) != 1 || isClosed(conn) {
		t.Fatal("closed before its time")
	}
	p.time = due
	if p.CloseExpired(); p.Idle(p.peer) != 0 || !isClosed(conn) {
		t.Error("not closed at its time")
	}
	if p.Due() != never {
		t.Errorf("due at %d with nothing open", p.Due())
	}
}

// TestLimitEvictsIdleConnection: beyond the limit an idle connection goes; where all are busy an endpoint's exchange fails before its first
// byte, and discovery's does not.
func TestLimitEvictsIdleConnection(t *testing.T) {
	p := openPool(t, 1)
	idle := p.exchanged(t)
	p.peer.StartedAt++ // another incarnation: no connection to it is idle
	_, busy := p.start()
	p.accept(t)
	if !isClosed(idle) {
		t.Error("the idle connection stays open")
	}
	_, beyond := p.start()
	var failure *protocol.Failure
	if !errors.As(beyond.err, &failure) || failure.Stage != protocol.RequestIncomplete || beyond.count != 1 || busy.count != 0 {
		t.Errorf("beyond the limit %+v, the other %+v", *beyond, *busy)
	}
	p.peer.Endpoint = ""
	if _, end := p.start(); end.count != 0 {
		t.Errorf("discovery's ended as %+v", *end)
	}
	p.accept(t)
}

// TestAbortedExchangeHasNoEnd: its connection is closed, and what comes afterwards is for nobody.
func TestAbortedExchangeHasNoEnd(t *testing.T) {
	p := openPool(t, 4)
	exchange, end := p.start()
	conn := p.accept(t)
	p.Abort(exchange)
	p.Abort(exchange)
	p.Abort(nil)
	if !isClosed(conn) {
		t.Error("its connection stays open")
	}
	if handleNext[Closed](t, p); end.count != 0 {
		t.Errorf("ended as %+v", *end)
	}
}

// TestFailureTellsHowFarTheExchangeCame: what the sender may do next hangs on it.
func TestFailureTellsHowFarTheExchangeCame(t *testing.T) {
	for name, c := range map[string]struct {
		bytes string
		want  protocol.Stage
	}{
		"nothing": {"", protocol.RequestSent}, "no answer": {"what?\r\n\r\n", protocol.ResponseMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			p := openPool(t, 4)
			_, end := p.start()
			conn := p.accept(t)
			io.WriteString(conn, c.bytes)
			conn.Close()
			closed := handleNext[Closed](t, p)
			var failure *protocol.Failure
			if !errors.As(end.err, &failure) || failure.Stage != c.want || end.count != 1 {
				t.Errorf("ended as %+v", *end)
			}
			if closed.IsMalformed() != (c.want == protocol.ResponseMalformed) {
				t.Errorf("malformed %v", closed.IsMalformed())
			}
		})
	}
}

// TestUnwantedExchangeIsNotWritten: nothing goes out where nobody wants it once the connection is up, nor where BeforeWrite fails; the
// connection is kept for others.
func TestUnwantedExchangeIsNotWritten(t *testing.T) {
	errRefused := errors.New("refused")
	for name, c := range map[string]struct {
		refuse func(*Exchange)
		want   error
	}{
		"not wanted":        {func(x *Exchange) { x.IsWanted = func() bool { return false } }, ErrNoLongerWanted},
		"before it is sent": {func(x *Exchange) { x.BeforeWrite = func() error { return errRefused } }, errRefused},
	} {
		t.Run(name, func(t *testing.T) {
			p := openPool(t, 4)
			exchange, end := p.start()
			c.refuse(exchange)
			if _, err := p.endpoint.Accept(); err != nil {
				t.Fatal(err)
			}
			handleNext[Opened](t, p)
			if !errors.Is(end.err, c.want) || end.count != 1 || exchange.IsSent() || p.Idle(p.peer) != 1 {
				t.Errorf("ended as %+v, sent %v, %d idle", *end, exchange.IsSent(), p.Idle(p.peer))
			}
		})
	}
}
