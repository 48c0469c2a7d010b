package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/server/clientconn"
	"pineport/server/endpointconn"
	"pineport/spool"
	"pineport/testbed/port"
	"pineport/testbed/scripted"
	"pineport/transport"
)

// The crossings of docs/crossings.md, each forced: a test steps the event loop by hand and takes what came off its inbox itself, so that
// its own peer can write, close or reset between two lines.

// byHand makes an event loop with sockets, whose steps and events are the test's.
func steppedServer(t *testing.T, world *scripted.World, held ...*spool.Message) *Server {
	t.Helper()
	r := prepare(t, world, held...)
	driver, err := transport.Open(r.deployment.Listen, nil, 1024, r.log, r.clients.CanAccept, r.clients.Accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ended := make(chan struct{})
		go func() { // handlers must not wait for an event loop that steps no more
			for {
				select {
				case <-r.queue:
				case <-ended:
					return
				}
			}
		}()
		driver.Close()
		close(ended)
	})
	r.driver = driver
	return r
}

// unwrap returns the event of a connection where one is wrapped, else the event itself.
func unwrap(e event) any {
	switch wrapped := e.(type) {
	case clientEvent:
		return wrapped.Event
	case endpointEvent:
		return wrapped.Event
	}
	return e
}

// until takes what comes, a step after each, up to the first event that is wanted; that one is not taken.
func until[E any](t *testing.T, r *Server, wanted func(E) bool) (e E) {
	t.Helper()
	waits := time.After(10 * time.Second)
	for {
		select {
		case what := <-r.queue:
			if e, ok := unwrap(what).(E); ok && wanted(e) {
				return e
			}
			r.handle(what)
			r.step()
		case <-waits:
			t.Fatalf("no %T came", e)
		}
	}
}

// toEndpoint tells whether a link leads to an endpoint of the world.
func toEndpoint(conn *endpointconn.Conn) bool { return !conn.Peer().IsDiscovery() }

func single(id string) *spool.Message {
	return &spool.Message{ID: id, Class: "order", Destination: 1, Deadline: time.Now().Add(time.Minute).UnixMicro()}
}

// onDisk is what a process that started now would find of a message.
func onDisk(t *testing.T, r *Server, id string) *spool.Message {
	t.Helper()
	all, _, err := spool.Inspect(r.deployment.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range all {
		if rec.ID == id {
			return rec
		}
	}
	return nil
}

// TestMessageIsUntriedUntilSent. Failure: killed while the connection came up, a message that was never sent came back as one that may have
// run, and was given up with no call if it may not be repeated.
func TestMessageIsUntriedUntilSent(t *testing.T) {
	r := steppedServer(t, open(t, 0), single("one"))
	r.step()
	up := until(t, r, func(event endpointconn.Opened) bool { return toEndpoint(event.Conn) })
	if rec := onDisk(t, r, "one"); len(rec.Attempts) > 0 {
		t.Errorf("before anything was sent a restart would find %+v", rec.Attempts)
	}
	r.handle(endpointEvent{up})
	if rec := onDisk(t, r, "one"); len(rec.Attempts) != 1 || rec.Attempts[0].Outcome != "" || rec.Attempts[0].Endpoint != "s-0" {
		t.Errorf("once it was sent a restart would find %+v", rec.Attempts)
	}
}

// TestUnreachableAttemptIsStored: an attempt that failed before anything was sent stands in the spool with its outcome, so that those after it keep
// their numbers.
func TestUnreachableAttemptIsStored(t *testing.T) {
	world := open(t, 0)
	r := steppedServer(t, world, single("one"))
	r.step()
	up := until(t, r, func(event endpointconn.Opened) bool { return toEndpoint(event.Conn) })
	r.handle(endpointEvent{endpointconn.Closed{Conn: up.Conn, Err: errNoAnswer}})
	if rec := onDisk(t, r, "one"); len(rec.Attempts) != 1 || rec.Attempts[0].Outcome != "unreachable" {
		t.Errorf("a restart would find %+v", rec.Attempts)
	}
}

// TestAttemptCanceledBeforeSendingNeverRan. Failure: an attempt that was called off while its connection came up passed for one that may have run, and
// its message could not go again; put together when it was decided, a call for several went out with it all the same.
func TestAttemptCanceledBeforeSendingNeverRan(t *testing.T) {
	r := steppedServer(t, open(t, 0), single("one"), single("two"))
	var calls []*call
	r.deployment.Dispatch.EndpointTypes[0].MaxPerCall = 5
	for _, id := range []dispatch.MessageID{"one", "two"} {
		calls = r.addToCall(calls, dispatch.Send{Message: id, Endpoint: "s-0", Timeout: 5 * 1000 * 1000})
	}
	if len(calls) != 1 || len(calls[0].attempts) != 2 {
		t.Fatalf("%d calls", len(calls))
	}
	r.events = nil
	r.startCall(calls[0])
	up := until(t, r, func(event endpointconn.Opened) bool { return toEndpoint(event.Conn) })
	r.cancel(dispatch.Cancel{Message: "one", Attempt: 0})
	if s := r.events[len(r.events)-1].(dispatch.AttemptFinished); s.Outcome != dispatch.Unprocessed {
		t.Errorf("never sent, and called off as %v", s.Outcome)
	}
	r.handle(endpointEvent{up})
	if call := calls[0]; len(call.attempts) != 1 || call.attempts[0].message.stored.ID != "two" || call.exchange.NeedsBody {
		t.Errorf("it went out with %d attempts, whole %v", len(call.attempts), call.exchange.NeedsBody)
	}
	if rec := onDisk(t, r, "one"); len(rec.Attempts) != 1 || rec.Attempts[0].Outcome != "void" {
		t.Errorf("of the one called off a restart would find %+v", rec.Attempts)
	}
}

// stop has the poller stand still until goOn is called: what comes lies in the sockets.
func stop(t *testing.T, r *Server) (goOn func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := &blockingHandler{make(chan struct{}), make(chan struct{})}
	goOn = sync.OnceFunc(func() { close(h.goOn) })
	t.Cleanup(goOn)
	r.driver.Dial(l.Addr().String(), 5*time.Second, h)
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	io.WriteString(conn, "x")
	select {
	case <-h.stands:
	case <-time.After(5 * time.Second):
		t.Fatal("the poller does not stand still")
	}
	return goOn
}

// status is a connection whose handler stands still.
type blockingHandler struct{ stands, goOn chan struct{} }

func (*blockingHandler) Opened(*transport.Conn)        {}
func (*blockingHandler) Closed(*transport.Conn, error) {}

func (h *blockingHandler) Data(*transport.Conn, []byte) {
	close(h.stands)
	<-h.goOn
}

// visitor is a client of the test's.
type visitor struct {
	*net.TCPConn
	in *bufio.Reader
}

func visit(t *testing.T, r *Server) *visitor {
	t.Helper()
	conn, err := net.Dial("tcp", r.deployment.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	r.handle(clientEvent{until(t, r, func(clientconn.Opened) bool { return true })})
	return &visitor{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func enqueue(id string) string {
	return fmt.Sprintf("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$21\r\nc=order,d=8000,dest=1\r\n$1\r\nx\r\n", len(id), id)
}

// asks writes a request and waits until it lies at the event loop, untaken.
func (v *visitor) asks(t *testing.T, r *Server, id string) clientconn.Commands {
	t.Helper()
	io.WriteString(v, enqueue(id))
	return until(t, r, func(clientconn.Commands) bool { return true })
}

// reply is the next line, or why there is none.
func (v *visitor) reply() string {
	line, err := v.in.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

// raw is an endpoint whose connections are the test's own.
func raw(t *testing.T, world *scripted.World) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	world.Endpoints = []string{l.Addr().String()}
	return l.(*net.TCPListener)
}

// called accepts a connection and reads the call that comes over it.
func called(t *testing.T, l *net.TCPListener) *net.TCPConn {
	t.Helper()
	l.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reads(t, conn)
	return conn
}

func reads(t *testing.T, conn *net.TCPConn) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, 4096)
	n, err := conn.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// sent has an event loop send what it holds to the test's endpoint, and reads it there.
func sent(t *testing.T, r *Server, l *net.TCPListener) *net.TCPConn {
	t.Helper()
	r.step()
	r.handle(endpointEvent{until(t, r, func(event endpointconn.Opened) bool { return toEndpoint(event.Conn) })})
	return called(t, l)
}

// TestCallIsNotWrittenToEndedConnection. Failure: an endpoint ended a connection at rest just as the next call was written to it; the call may have
// run for all one knew, and what may not be repeated was given up. Now it goes over a new connection.
func TestCallIsNotWrittenToEndedConnection(t *testing.T) {
	world := open(t, 0)
	l := raw(t, world)
	r := steppedServer(t, world, single("one"))
	conn := sent(t, r, l)
	io.WriteString(conn, okAnswer)
	r.handle(endpointEvent{until(t, r, func(event endpointconn.ResponseReceived) bool { return toEndpoint(event.Conn) })})
	r.step()
	goOn := stop(t, r)
	conn.CloseWrite()
	if !port.Arrived(conn) {
		t.Fatal("its end never arrived")
	}
	if err := r.spool.Append(single("two")); err != nil {
		t.Fatal(err)
	}
	r.recoverMessages([]*spool.Message{single("two")}, nil)
	r.step()
	if out := r.messages["two"].attempts; len(out) != 1 || out[0].call.exchange.IsSent() {
		t.Fatalf("%d attempts; written to what had ended", len(out))
	}
	goOn()
	r.handle(endpointEvent{until(t, r, func(event endpointconn.Opened) bool { return toEndpoint(event.Conn) })})
	io.WriteString(called(t, l), okAnswer)
	r.handle(endpointEvent{until(t, r, func(event endpointconn.ResponseReceived) bool { return toEndpoint(event.Conn) })})
	if r.step(); r.messages["two"] != nil {
		t.Error("not delivered")
	}
}

// TestAnswerReceivedAtTimeoutCounts. Failure: an answer that lay at the event loop, untaken, as the time for it ran out, or as its attempt was called
// off, passed for none; a delivered message was sent again, or given up.
func TestAnswerReceivedAtTimeoutCounts(t *testing.T) {
	for name, cross := range map[string]func(r *Server, attempt *attempt){
		"overdue":    func(r *Server, attempt *attempt) { r.attemptOverdue(attempt) },
		"called off": func(r *Server, _ *attempt) { r.cancel(dispatch.Cancel{Message: "one"}) },
	} {
		t.Run(name, func(t *testing.T) {
			world := open(t, 0)
			l := raw(t, world)
			r := steppedServer(t, world, single("one"))
			io.WriteString(sent(t, r, l), okAnswer)
			answer := until(t, r, func(event endpointconn.ResponseReceived) bool { return toEndpoint(event.Conn) })
			attempt := r.messages["one"].attempts[0]
			cross(r, attempt)
			if attempt.finished {
				t.Error("ended although its answer is here")
			}
			r.handle(endpointEvent{answer})
			if s, ok := r.events[len(r.events)-1].(dispatch.AttemptFinished); !ok || s.Outcome != dispatch.Delivered {
				t.Errorf("ended as %+v", r.events)
			}
		})
	}
}

// TestAnswerUnreadAtTimeoutCounts. Failure: an answer that lay in the socket as the time for it ran out passed for none. Where it is none, or
// not whole, the attempt ends a moment later, whatever comes on and on.
func TestAnswerUnreadAtTimeoutCounts(t *testing.T) {
	for name, c := range map[string]struct {
		bytes string
		want  dispatch.Outcome
	}{
		"whole": {okAnswer, dispatch.Delivered}, "its first line": {okAnswer[:17], dispatch.Delivered}, "half a line": {"HTTP/1.1 2", dispatch.Failure},
		"nothing": {"", dispatch.TimedOut},
	} {
		for how, cross := range map[string]func(r *Server, attempt *attempt){
			"overdue":    func(r *Server, attempt *attempt) { r.attemptOverdue(attempt) },
			"called off": func(r *Server, _ *attempt) { r.cancel(dispatch.Cancel{Message: "one"}) },
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				world := open(t, 0)
				l := raw(t, world)
				r := steppedServer(t, world, single("one"))
				conn := sent(t, r, l)
				attempt := r.messages["one"].attempts[0]
				for r.endpointConns.HasUnread(attempt.call.exchange) { // its handler may still be telling that it is up
					time.Sleep(100 * time.Microsecond)
				}
				goOn := stop(t, r)
				io.WriteString(conn, c.bytes)
				if !port.Arrived(conn) {
					t.Fatal("it never arrived")
				}
				r.events, r.now = nil, r.clock()
				if cross(r, attempt); attempt.finished != (c.bytes == "") {
					t.Fatalf("over %v at its time", attempt.finished)
				}
				goOn()
				want := c.want
				if c.bytes == "" && how == "called off" {
					want = dispatch.Canceled
				}
				for read := c.bytes == ""; !read; {
					var what event
					select {
					case what = <-r.queue:
					case <-time.After(10 * time.Second):
						t.Fatal("it is never read")
					}
					switch e := unwrap(what).(type) {
					case endpointconn.ResponseReceived:
						read = toEndpoint(e.Conn)
					case endpointconn.ResponseProgress:
						read = toEndpoint(e.Conn)
					}
					r.handle(what)
				}
				for range 3 { // as what has begun may take a moment too
					if r.now = max(r.clock(), attempt.waitUntil); !attempt.finished {
						r.attemptOverdue(attempt)
					}
				}
				for _, e := range r.events {
					if event, ok := e.(dispatch.AttemptFinished); ok && event.Outcome == want {
						return
					}
				}
				t.Errorf("ended as %+v, want %v", r.events, want)
			})
		}
	}
}

// TestUnreadBytesExtendTimeoutOnce: and no more, or a peer that sends on and on would never be given up.
func TestUnreadBytesExtendTimeoutOnce(t *testing.T) {
	world := open(t, 0)
	l := raw(t, world)
	r := steppedServer(t, world, single("one"))
	conn := sent(t, r, l)
	stop(t, r)
	io.WriteString(conn, okAnswer)
	if !port.Arrived(conn) {
		t.Fatal("it never arrived")
	}
	attempt := r.messages["one"].attempts[0]
	r.now = attempt.waitUntil
	if r.attemptOverdue(attempt); attempt.finished || attempt.waitUntil != r.now+recheckDelay {
		t.Fatalf("over %v, waited for %d us longer", attempt.finished, attempt.waitUntil-r.now)
	}
	r.now = attempt.waitUntil
	if r.attemptOverdue(attempt); !attempt.finished {
		t.Error("waited for on and on")
	}
}

// TestUnexpectedBytesCloseConnection: an endpoint that speaks first is notified of once and gets nothing; nothing of the call has run.
func TestUnexpectedBytesCloseConnection(t *testing.T) {
	world := open(t, 0)
	l := raw(t, world)
	r := steppedServer(t, world, single("one"))
	r.step()
	event := until(t, r, func(e endpointconn.Opened) bool { return toEndpoint(e.Conn) })
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, okAnswer)
	down := until(t, r, func(e endpointconn.Closed) bool { return toEndpoint(e.Conn) })
	r.handle(endpointEvent{event})
	if !errors.Is(down.Err, endpointconn.ErrUnexpectedResponse) {
		t.Errorf("ended by %v", down.Err)
	}
	r.handle(endpointEvent{down})
	if rec := onDisk(t, r, "one"); len(rec.Attempts) != 1 || rec.Attempts[0].Outcome != "unreachable" {
		t.Errorf("a restart would find %+v", rec.Attempts)
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		t.Error("the call was written all the same")
	}
	if r.step(); r.messages["one"] == nil || r.messages["one"].ended {
		t.Error("given up, though it never ran")
	}
}

// TestNoSendUnlessStored: what the disk does not take is not sent, as a restart would not know of it.
func TestNoSendUnlessStored(t *testing.T) {
	world := open(t, 0)
	l := raw(t, world)
	r := steppedServer(t, world, single("one"))
	r.step()
	up := until(t, r, func(event endpointconn.Opened) bool { return toEndpoint(event.Conn) })
	r.spool.Close()
	r.handle(endpointEvent{up})
	attempt := r.messages["one"].attempts[0]
	if !attempt.finished || attempt.call.exchange.IsSent() {
		t.Errorf("over %v, sent %v", attempt.finished, attempt.call.exchange.IsSent())
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r.endpointConns.CloseAllIdle()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("%d bytes came, then %v", n, err)
	}
}

// TestMessageSubmittedOnTwoConnections. Failure: a request sent again over a new connection in the step that accepted it was promised what went with
// the first connection as that ended, or what was refused in that step.
func TestMessageSubmittedOnTwoConnections(t *testing.T) {
	for name, c := range map[string]struct {
		gone  int // whose connection ends before the step, 0 for nobody's
		busy  bool
		want  string // for whoever stays
		keeps bool
	}{
		"first gone": {1, false, "+OK", true}, "second gone": {2, false, "+OK", true}, "both stay": {0, false, "+OK", true},
		"refused": {0, true, "-BUSY 7", false}, "first gone, refused": {1, true, "-BUSY 7", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := steppedServer(t, open(t, 0))
			if c.busy {
				r.dispatcher = refusing{}
			}
			first, second := visit(t, r), visit(t, r)
			one := first.asks(t, r, "one")
			two := second.asks(t, r, "one")
			r.handle(clientEvent{one})
			r.handle(clientEvent{two})
			stay := []*visitor{first, second}
			if c.gone > 0 {
				stay[c.gone-1].SetLinger(0)
				stay[c.gone-1].Close()
				from := []clientconn.Commands{one, two}[c.gone-1].Conn
				for gone := false; !gone; { // no step in between
					what := <-r.queue
					event, ok := unwrap(what).(clientconn.Closed)
					gone = ok && event.Conn == from
					r.handle(what)
				}
				stay = []*visitor{stay[2-c.gone]}
			}
			r.step()
			for _, v := range stay {
				if got := v.reply(); got != c.want {
					t.Errorf("reported %q", got)
				}
			}
			if keeps := onDisk(t, r, "one") != nil; keeps != c.keeps {
				t.Errorf("kept %v", keeps)
			}
		})
	}
}

// refusing are decisions that reject whatever is accepted.
type refusing struct{}

func (refusing) Handle(_ dispatch.Micros, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if e, ok := event.(dispatch.MessageAccepted); ok {
			actions = append(actions, dispatch.Reject{Message: e.Message, RetryAfter: 7000})
		}
	}
	return actions
}

// TestMessageIsDroppedWhenAllClientsClose: what nobody waits for any more, and nobody was notified of, is nobody's.
func TestMessageIsDroppedWhenAllClientsClose(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	first, second := visit(t, r), visit(t, r)
	one, two := first.asks(t, r, "one"), second.asks(t, r, "one")
	for _, e := range []clientconn.Event{one, two, clientconn.Closed{Conn: one.Conn}, clientconn.Closed{Conn: two.Conn}} {
		r.handle(clientEvent{e})
	}
	if r.step(); onDisk(t, r, "one") != nil || r.messages["one"] != nil {
		t.Error("still held")
	}
}

// TestFinishedMessageIsNotAcceptedTwice. Failure: a reset took away a reply that the socket had; the request came once more, was over by then, and
// was accepted anew: a second effect.
func TestFinishedMessageIsNotAcceptedTwice(t *testing.T) {
	world := open(t, 0)
	r := steppedServer(t, world)
	first := visit(t, r)
	r.handle(clientEvent{first.asks(t, r, "one")})
	r.step()
	first.SetLinger(0) // whatever reply it had is gone
	first.Close()
	for r.messages["one"] != nil {
		r.handle(endpointEvent{until(t, r, func(event endpointconn.ResponseReceived) bool { return toEndpoint(event.Conn) })})
		r.step()
	}
	second := visit(t, r)
	r.handle(clientEvent{second.asks(t, r, "one")})
	r.step()
	if got := second.reply(); got != "+OK" || r.messages["one"] != nil {
		t.Errorf("reported %q, held again %v", got, r.messages["one"] != nil)
	}
	if began, _, _ := world.Seen("one"); began != 1 {
		t.Errorf("%d calls", began)
	}
}

// TestFinishedMessagesAreForgotten: ids of what is over are known for as long as a client may come with them once more, and never too many.
func TestFinishedMessagesAreForgotten(t *testing.T) {
	var o finishedMessages
	for i := range 3 * maxFinished {
		o.add(&message{stored: &spool.Message{ID: fmt.Sprint(i)}, acceptedAt: 5}, 5)
	}
	if len(o.until) > maxFinished || len(o.order) > maxFinished || !o.contains(dispatch.MessageID(fmt.Sprint(3*maxFinished-1)), 5) {
		t.Errorf("%d ids, %d in order", len(o.until), len(o.order))
	}
	if o.contains(dispatch.MessageID(fmt.Sprint(3*maxFinished-1)), 5+resendWindow) {
		t.Error("known for ever")
	}
	o.add(&message{stored: &spool.Message{ID: "late"}, acceptedAt: 5}, 5+resendWindow)
	if len(o.until) > 0 || len(o.order) > 0 {
		t.Errorf("%d ids are left", len(o.until))
	}
}

// leave steps an event loop to its end, or until cross says that it has seen enough, and tells whether it ended.
func leave(t *testing.T, r *Server, cross func() bool) bool {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
		r.drainQueues()
		r.step()
		if r.mayExit() {
			return true
		}
		if cross() {
			return false
		}
	}
	t.Fatal("it never ends")
	return false
}

func neverMind() bool { return false }

// tell has an event loop end now.
func tell(r *Server) { r.now, r.shutdownBy = r.clock(), r.clock() }

// TestRequestDuringShutdownIsAnswered. Failure: what lay in a socket at the last look was reset as the process ended; the client had no answer.
func TestRequestDuringShutdownIsAnswered(t *testing.T) {
	world := open(t, 0)
	r := steppedServer(t, world)
	v := visit(t, r)
	goOn := stop(t, r)
	tell(r)
	io.WriteString(v, enqueue("one"))
	if !port.Arrived(v) {
		t.Fatal("it never arrived")
	}
	looked := false
	if leave(t, r, func() bool { // up to the first look after the last connection may have come in
		looked = r.exiting && r.shutdownBy == r.now+closeInterval
		return looked
	}) {
		t.Fatal("it ended over an unread request")
	}
	goOn()
	if !leave(t, r, neverMind) {
		t.Fatal("it never ended")
	}
	if got := v.reply(); got != "+OK" {
		t.Errorf("reported %q", got)
	}
	if began, _, _ := world.Seen("one"); began == 0 && onDisk(t, r, "one") == nil {
		t.Error("promised, and not kept")
	}
}

// TestFirstRequestDuringShutdownIsAnswered. Failure: a connection that had come just before the end was closed while its first request was on
// its way.
func TestFirstRequestDuringShutdownIsAnswered(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	v := visit(t, r)
	tell(r)
	if leave(t, r, func() bool { return r.exiting }) {
		t.Fatal("it ended at once")
	}
	io.WriteString(v, enqueue("one"))
	if !leave(t, r, neverMind) {
		t.Fatal("it never ended")
	}
	if got := v.reply(); got != "+OK" {
		t.Errorf("reported %q", got)
	}
}

// TestNewConnectionIsDrainedLater: half a second after it was notified to end, a process sends clients away; who has just come is answered first, and
// drained too.
func TestNewConnectionIsDrainedLater(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	rests := visit(t, r)
	for r.clock()-r.now <= clientconn.NewConnGrace {
		time.Sleep(time.Millisecond)
	}
	r.now = r.clock()
	v := visit(t, r)
	r.now = r.clock()
	r.drainAt, r.shutdownBy = r.now, r.now+hour
	if r.mayExit() {
		t.Fatal("it ended")
	}
	if got := rests.reply(); got != io.EOF.Error() {
		t.Errorf("the one at rest: %s", got)
	}
	r.handle(clientEvent{v.asks(t, r, "one")})
	r.step()
	if got := v.reply(); got != "+OK" {
		t.Errorf("reported %q", got)
	}
	for r.drainAt < never {
		if r.now = r.clock(); r.mayExit() {
			t.Fatal("it ended")
		}
		time.Sleep(time.Millisecond)
	}
	if got := v.reply(); got != io.EOF.Error() {
		t.Errorf("afterwards: %s", got)
	}
}

// TestClientsDoNotDelayShutdown: a client with half a command, one that reads nothing and one that asks on and on do not keep a process that
// ends; whoever rests is closed without a reset.
func TestClientsDoNotDelayShutdown(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	half, rests, floods := visit(t, r), visit(t, r), visit(t, r)
	io.WriteString(half, enqueue("half")[:40])
	if !port.Arrived(half) {
		t.Fatal("it never arrived")
	}
	flooding := make(chan struct{})
	go func() {
		defer close(flooding)
		for {
			if _, err := io.WriteString(floods, "*1\r\n$4\r\nPING\r\n"); err != nil {
				return
			}
		}
	}()
	began := r.clock()
	tell(r)
	if !leave(t, r, neverMind) {
		t.Fatal("it never ended")
	}
	if took := r.clock() - began; took > 20*(acceptTimeout+exitTimeout) {
		t.Errorf("it took %d us", took)
	}
	if got := rests.reply(); got != io.EOF.Error() {
		t.Errorf("the one at rest: %s", got)
	}
	floods.Close()
	<-flooding
}

// TestTruncatedListsAreReported: each list that broke off is reported to the dispatcher as incomplete, which then decides on growing pauses
// (dispatch, TestIncompleteListsBackOff). Failure: a list that broke off each time was asked for thirty times a second by each courier.
func TestPollBackoffAfterTruncatedLists(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	world := open(t, 0)
	world.Discovery = l.Addr().String()
	r := steppedServer(t, world)
	r.events = nil
	p := &r.discovery
	ask := func(answer string) {
		t.Helper()
		r.now = max(r.clock(), p.pollAt)
		p.poll(dispatch.WatchEndpoints{})
		exchange := p.pollInFlight
		for !exchange.IsSent() {
			r.handle(<-r.queue)
		}
		conn := called(t, l.(*net.TCPListener))
		io.WriteString(conn, answer)
		conn.Close()
		for p.pollInFlight == exchange {
			r.handle(<-r.queue)
		}
	}
	const cut = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":9,\"whole\":false,\"hosts\":["
	incomplete := func() bool {
		t.Helper()
		if len(r.events) != 1 {
			t.Fatalf("events %+v", r.events)
		}
		update, ok := r.events[0].(dispatch.EndpointUpdate)
		r.events = nil
		return ok && update.Incomplete
	}
	for n := range 8 {
		ask(cut)
		if !incomplete() || p.pollAt != never || p.pollInFlight != nil {
			t.Errorf("cut off %d times: not left to the dispatcher", n+1)
		}
	}
	list := `{"seq":10,"whole":false,"hosts":[]}`
	ask(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list))
	if incomplete() || p.pollInFlight == nil {
		t.Error("after a whole list cuts still count")
	}
}

// TestListFromOldDiscoveryAddressIsIgnored: a reload moves discovery while the old one's answer lies at the event loop, untaken; it is not taken for the new
// one's, and the new one is asked.
func TestListFromOldDiscoveryAddressIsIgnored(t *testing.T) {
	world := open(t, 0)
	r := steppedServer(t, world)
	ofDiscovery := func(conn *endpointconn.Conn) bool { return !toEndpoint(conn) }
	r.discovery.version = 0
	r.discovery.poll(dispatch.WatchEndpoints{})
	r.handle(endpointEvent{until(t, r, func(e endpointconn.Opened) bool { return ofDiscovery(e.Conn) })})
	answer := until(t, r, func(e endpointconn.ResponseReceived) bool { return ofDiscovery(e.Conn) })
	if _, err := world.Move(); err != nil {
		t.Fatal(err)
	}
	next := *r.deployment
	next.Discovery = world.Discovery
	r.handle(configReloaded{&next})
	watching := r.discovery.pollInFlight
	r.handle(endpointEvent{answer})
	if r.discovery.pollInFlight != watching || watching == nil || watching.Peer.Address != world.Discovery || r.discovery.version != 0 {
		t.Errorf("watching %+v, version %d", r.discovery.pollInFlight, r.discovery.version)
	}
	r.handle(endpointEvent{until(t, r, func(e endpointconn.Opened) bool { return ofDiscovery(e.Conn) })})
	r.handle(endpointEvent{until(t, r, func(e endpointconn.ResponseReceived) bool { return ofDiscovery(e.Conn) })})
	if r.discovery.version == 0 {
		t.Error("the new one was not heard")
	}
}

// TestReloadAfterHandoffIsKept. Failure: settings read anew while another process had taken over were gone once that died, and this one
// went on by the old ones.
func TestReloadAfterHandoffIsKept(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	r.handoff.handedOver = true
	var reloaded *config.Deployment
	r.OnReload(func(dep *config.Deployment) { reloaded = dep })
	next := *r.deployment
	next.Discovery = "127.0.0.1:9"
	r.handle(configReloaded{&next})
	if reloaded == nil || reloaded.Discovery != next.Discovery {
		t.Errorf("the next event loop here begins with %+v", reloaded)
	}
	if r.discovery.pollInFlight != nil {
		t.Error("it asks discovery, which the other process does")
	}
}

// TestIdleCheckDuringRead. Failure: as all was made ready for another process, it was read from a parser which the poller was feeding.
func TestIdleCheckDuringRead(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	v := visit(t, r)
	text := enqueue("one")
	if !r.clients.AllIdle() {
		t.Error("not at rest before its request")
	}
	for at := range len(text) - 1 {
		io.WriteString(v, text[at:at+1])
		for deadline := time.Now().Add(5 * time.Second); r.clients.AllIdle(); {
			if time.Now().After(deadline) {
				t.Fatalf("at rest with %d bytes of a command", at+1)
			}
		}
	}
	io.WriteString(v, text[len(text)-1:])
	r.handle(clientEvent{until(t, r, func(clientconn.Commands) bool { return true })})
	if r.clients.AllIdle() {
		t.Error("at rest before its reply")
	}
	r.step()
	if got := v.reply(); got != "+OK" || !r.clients.AllIdle() {
		t.Errorf("reported %q; at rest %v", got, r.clients.AllIdle())
	}
}
