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

// These tests force the races listed in docs/crossings.md. A test steps the event loop itself and takes
// events from its queue, so that its own client or endpoint can write, close or reset a connection between
// two statements.

// steppedServer returns an event loop with open sockets. The test handles its events and steps it.
func steppedServer(t *testing.T, world *scripted.World, unfinished ...*spool.Message) *Server {
	t.Helper()
	s := newTestServer(t, world, unfinished...)
	driver, err := transport.Open(s.deployment.Listen, nil, 1024, s.log, s.clients.CanAccept, s.clients.Accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ended := make(chan struct{})
		go func() { // connection handlers block on the queue, which nothing reads any more
			for {
				select {
				case <-s.queue:
				case <-ended:
					return
				}
			}
		}()
		driver.Close()
		close(ended)
	})
	s.driver = driver
	return s
}

// unwrap returns the connection event inside a clientEvent or endpointEvent, and any other event as it is.
func unwrap(e event) any {
	switch wrapped := e.(type) {
	case clientEvent:
		return wrapped.Event
	case endpointEvent:
		return wrapped.Event
	}
	return e
}

// waitForEvent handles queued events, with a step after each, up to the first event of type E that matches.
// It returns that event without handling it.
func waitForEvent[E any](t *testing.T, s *Server, matches func(E) bool) (wanted E) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case queued := <-s.queue:
			if wanted, ok := unwrap(queued).(E); ok && matches(wanted) {
				return wanted
			}
			s.handle(queued)
			s.step()
		case <-timeout:
			t.Fatalf("no %T event within 10 s", wanted)
		}
	}
}

// isEndpointConn reports whether a connection leads to an endpoint and not to discovery.
func isEndpointConn(conn *endpointconn.Conn) bool { return !conn.Peer().IsDiscovery() }

func newMessage(id string) *spool.Message {
	return &spool.Message{ID: id, Class: "order", Destination: 1, Deadline: time.Now().Add(time.Minute).UnixMicro()}
}

// storedMessage returns the message that a process started now would recover from the spool, or nil.
func storedMessage(t *testing.T, s *Server, id string) *spool.Message {
	t.Helper()
	all, _, err := spool.Inspect(s.deployment.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, stored := range all {
		if stored.ID == id {
			return stored
		}
	}
	return nil
}

// TestAttemptIsStoredOnlyWhenSent. Failure: if the process was killed while the connection was being
// opened, the next process took the unsent attempt for one that may have run. An at-most-once message then
// failed without any call.
func TestAttemptIsStoredOnlyWhenSent(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0), newMessage("one"))
	s.step()
	opened := waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })
	if stored := storedMessage(t, s, "one"); len(stored.Attempts) > 0 {
		t.Errorf("before the send, the spool holds attempts %+v", stored.Attempts)
	}
	s.handle(endpointEvent{opened})
	if stored := storedMessage(t, s, "one"); len(stored.Attempts) != 1 || stored.Attempts[0].Outcome != "" || stored.Attempts[0].Endpoint != "s-0" {
		t.Errorf("after the send, the spool holds attempts %+v", stored.Attempts)
	}
}

// TestUnreachableAttemptIsStored: an attempt that failed before it was sent is stored with its outcome, so
// that later attempts keep their numbers.
func TestUnreachableAttemptIsStored(t *testing.T) {
	world := openWorld(t, 0)
	s := steppedServer(t, world, newMessage("one"))
	s.step()
	opened := waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })
	s.handle(endpointEvent{endpointconn.Closed{Conn: opened.Conn, Err: errNoAnswer}})
	if stored := storedMessage(t, s, "one"); len(stored.Attempts) != 1 || stored.Attempts[0].Outcome != "unreachable" {
		t.Errorf("the spool holds attempts %+v", stored.Attempts)
	}
}

// TestAttemptCanceledBeforeSendingNeverRan. Failures: an attempt canceled while its connection was being
// opened was treated as one that may have run, so its message could not be retried. A call with several
// messages was built at the time of the decision and still sent the canceled one.
func TestAttemptCanceledBeforeSendingNeverRan(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0), newMessage("one"), newMessage("two"))
	var calls []*call
	s.deployment.Dispatch.EndpointTypes[0].MaxPerCall = 5
	for _, id := range []dispatch.MessageID{"one", "two"} {
		calls = s.addToCall(calls, dispatch.Send{Message: id, Endpoint: "s-0", Timeout: 5 * 1000 * 1000})
	}
	if len(calls) != 1 || len(calls[0].attempts) != 2 {
		t.Fatalf("got %d calls", len(calls))
	}
	s.events = nil
	s.startCall(calls[0])
	opened := waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })
	s.cancel(dispatch.Cancel{Message: "one", Attempt: 0})
	if finished := s.events[len(s.events)-1].(dispatch.AttemptFinished); finished.Outcome != dispatch.Unprocessed {
		t.Errorf("canceled before sending with outcome %v", finished.Outcome)
	}
	s.handle(endpointEvent{opened})
	if call := calls[0]; len(call.attempts) != 1 || call.attempts[0].message.stored.ID != "two" || call.exchange.NeedsBody {
		t.Errorf("sent with %d attempts, needs body %v", len(call.attempts), call.exchange.NeedsBody)
	}
	if stored := storedMessage(t, s, "one"); len(stored.Attempts) != 1 || stored.Attempts[0].Outcome != "void" {
		t.Errorf("the spool holds attempts %+v of the canceled message", stored.Attempts)
	}
}

// blockPoller blocks the poller until resume is called. Received bytes stay in the sockets meanwhile.
func blockPoller(t *testing.T, s *Server) (resume func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	h := &blockingHandler{make(chan struct{}), make(chan struct{})}
	resume = sync.OnceFunc(func() { close(h.resume) })
	t.Cleanup(resume)
	s.driver.Dial(listener.Addr().String(), 5*time.Second, h)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	io.WriteString(conn, "x")
	select {
	case <-h.blocked:
	case <-time.After(5 * time.Second):
		t.Fatal("the poller is not blocked")
	}
	return resume
}

// blockingHandler handles a connection and blocks the poller on the first data.
type blockingHandler struct{ blocked, resume chan struct{} }

func (*blockingHandler) Opened(*transport.Conn)        {}
func (*blockingHandler) Closed(*transport.Conn, error) {}

func (h *blockingHandler) Data(*transport.Conn, []byte) {
	close(h.blocked)
	<-h.resume
}

// testClient is a client connection whose replies the test reads.
type testClient struct {
	*net.TCPConn
	reader *bufio.Reader
}

func connectClient(t *testing.T, s *Server) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", s.deployment.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	s.handle(clientEvent{waitForEvent(t, s, func(clientconn.Opened) bool { return true })})
	return &testClient{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func enqueue(id string) string {
	return fmt.Sprintf("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$21\r\nc=order,d=8000,dest=1\r\n$1\r\nx\r\n", len(id), id)
}

// submit writes a request and returns its event from the queue, not handled yet.
func (c *testClient) submit(t *testing.T, s *Server, id string) clientconn.Commands {
	t.Helper()
	io.WriteString(c, enqueue(id))
	return waitForEvent(t, s, func(clientconn.Commands) bool { return true })
}

// reply returns the next line, or the text of the error.
func (c *testClient) reply() string {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

// listenAsEndpoint replaces the endpoints of world by a listener of the test.
func listenAsEndpoint(t *testing.T, world *scripted.World) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	world.Endpoints = []string{listener.Addr().String()}
	return listener.(*net.TCPListener)
}

// acceptCall accepts a connection and reads the call sent over it.
func acceptCall(t *testing.T, listener *net.TCPListener) *net.TCPConn {
	t.Helper()
	listener.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	readRequestText(t, conn)
	return conn
}

func readRequestText(t *testing.T, conn *net.TCPConn) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, 4096)
	n, err := conn.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// sendToEndpoint has the event loop send a call to the test's listener, and reads it there.
func sendToEndpoint(t *testing.T, s *Server, listener *net.TCPListener) *net.TCPConn {
	t.Helper()
	s.step()
	s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })})
	return acceptCall(t, listener)
}

// TestCallIsNotWrittenToEndedConnection. Failure: an endpoint closed an idle connection just as the next
// call was written to it. The call may have run, so an at-most-once message failed. Now the call goes over
// a new connection.
func TestCallIsNotWrittenToEndedConnection(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"))
	conn := sendToEndpoint(t, s, listener)
	io.WriteString(conn, okAnswer)
	s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.ResponseReceived) bool { return isEndpointConn(event.Conn) })})
	s.step()
	resume := blockPoller(t, s)
	conn.CloseWrite()
	if !port.WaitAcknowledged(conn) {
		t.Fatal("the endpoint's FIN never arrived")
	}
	if err := s.spool.Append(newMessage("two")); err != nil {
		t.Fatal(err)
	}
	s.recoverMessages([]*spool.Message{newMessage("two")}, nil)
	s.step()
	if attempts := s.messages["two"].attempts; len(attempts) != 1 || attempts[0].call.exchange.IsSent() {
		t.Fatalf("got %d attempts, or the call was written to a closed connection", len(attempts))
	}
	resume()
	s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })})
	io.WriteString(acceptCall(t, listener), okAnswer)
	s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.ResponseReceived) bool { return isEndpointConn(event.Conn) })})
	if s.step(); s.messages["two"] != nil {
		t.Error("message not delivered")
	}
}

// TestAnswerReceivedAtTimeoutCounts. Failure: an answer was queued and not handled yet when its attempt
// timed out or was canceled. It was ignored, so a delivered message was retried or failed.
func TestAnswerReceivedAtTimeoutCounts(t *testing.T) {
	for name, trigger := range map[string]func(s *Server, attempt *attempt){
		"overdue":          func(s *Server, attempt *attempt) { s.callTimedOut(attempt.call) },
		"attempt canceled": func(s *Server, _ *attempt) { s.cancel(dispatch.Cancel{Message: "one"}) },
	} {
		t.Run(name, func(t *testing.T) {
			world := openWorld(t, 0)
			listener := listenAsEndpoint(t, world)
			s := steppedServer(t, world, newMessage("one"))
			io.WriteString(sendToEndpoint(t, s, listener), okAnswer)
			answer := waitForEvent(t, s, func(event endpointconn.ResponseReceived) bool { return isEndpointConn(event.Conn) })
			attempt := s.messages["one"].attempts[0]
			trigger(s, attempt)
			if attempt.finished {
				t.Error("attempt ended although its answer had been received")
			}
			s.handle(endpointEvent{answer})
			if finished, ok := s.events[len(s.events)-1].(dispatch.AttemptFinished); !ok || finished.Outcome != dispatch.Delivered {
				t.Errorf("got events %+v", s.events)
			}
		})
	}
}

// TestAnswerUnreadAtTimeoutCounts. Failure: an answer that was unread in the socket when its attempt timed
// out was ignored.
//
// If the unread bytes are not a complete answer, the attempt still ends shortly afterwards, however many
// bytes follow.
func TestAnswerUnreadAtTimeoutCounts(t *testing.T) {
	for name, tc := range map[string]struct {
		bytes string
		want  dispatch.Outcome
	}{
		"whole": {okAnswer, dispatch.Delivered}, "status line only": {okAnswer[:17], dispatch.Delivered}, "partial status line": {"HTTP/1.1 2", dispatch.Failure},
		"nothing": {"", dispatch.TimedOut},
	} {
		for triggerName, trigger := range map[string]func(s *Server, attempt *attempt){
			"overdue":          func(s *Server, attempt *attempt) { s.callTimedOut(attempt.call) },
			"attempt canceled": func(s *Server, _ *attempt) { s.cancel(dispatch.Cancel{Message: "one"}) },
		} {
			t.Run(name+" "+triggerName, func(t *testing.T) {
				world := openWorld(t, 0)
				listener := listenAsEndpoint(t, world)
				s := steppedServer(t, world, newMessage("one"))
				conn := sendToEndpoint(t, s, listener)
				attempt := s.messages["one"].attempts[0]
				for s.endpointConns.HasUnread(attempt.call.exchange) { // HasUnread is also true while the handler of the opened connection runs
					time.Sleep(100 * time.Microsecond)
				}
				resume := blockPoller(t, s)
				io.WriteString(conn, tc.bytes)
				if !port.WaitAcknowledged(conn) {
					t.Fatal("the bytes never arrived")
				}
				s.events, s.now = nil, s.clock()
				if trigger(s, attempt); attempt.finished != (tc.bytes == "") {
					t.Fatalf("finished at its timeout: %v", attempt.finished)
				}
				resume()
				want := tc.want
				if tc.bytes == "" && triggerName == "attempt canceled" {
					want = dispatch.Canceled
				}
				for read := tc.bytes == ""; !read; {
					var queued event
					select {
					case queued = <-s.queue:
					case <-time.After(10 * time.Second):
						t.Fatal("the answer was never read")
					}
					switch e := unwrap(queued).(type) {
					case endpointconn.ResponseReceived:
						read = isEndpointConn(e.Conn)
					case endpointconn.ResponseProgress:
						read = isEndpointConn(e.Conn)
					}
					s.handle(queued)
				}
				for range 3 { // the start of an answer sets a new timeout (answerStarted)
					if s.now = max(s.clock(), attempt.waitUntil); !attempt.finished {
						s.callTimedOut(attempt.call)
					}
				}
				for _, e := range s.events {
					if event, ok := e.(dispatch.AttemptFinished); ok && event.Outcome == want {
						return
					}
				}
				t.Errorf("got events %+v, want outcome %v", s.events, want)
			})
		}
	}
}

// TestUnreadBytesExtendTimeoutOnce: otherwise an attempt to a peer that keeps sending would never time out.
func TestUnreadBytesExtendTimeoutOnce(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"))
	conn := sendToEndpoint(t, s, listener)
	blockPoller(t, s)
	io.WriteString(conn, okAnswer)
	if !port.WaitAcknowledged(conn) {
		t.Fatal("the bytes never arrived")
	}
	attempt := s.messages["one"].attempts[0]
	s.now = attempt.waitUntil
	if s.callTimedOut(attempt.call); attempt.finished || attempt.waitUntil != s.now+recheckDelay {
		t.Fatalf("finished %v, timeout extended by %d us", attempt.finished, attempt.waitUntil-s.now)
	}
	s.now = attempt.waitUntil
	if s.callTimedOut(attempt.call); !attempt.finished {
		t.Error("the timeout was extended twice")
	}
}

// TestUnexpectedBytesCloseConnection: if an endpoint sends bytes before any request, the connection is
// closed, the call is not written and the attempt counts as unreachable.
func TestUnexpectedBytesCloseConnection(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"))
	s.step()
	event := waitForEvent(t, s, func(e endpointconn.Opened) bool { return isEndpointConn(e.Conn) })
	conn, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, okAnswer)
	closed := waitForEvent(t, s, func(e endpointconn.Closed) bool { return isEndpointConn(e.Conn) })
	s.handle(endpointEvent{event})
	if !errors.Is(closed.Err, endpointconn.ErrUnexpectedResponse) {
		t.Errorf("connection closed with error %v", closed.Err)
	}
	s.handle(endpointEvent{closed})
	if stored := storedMessage(t, s, "one"); len(stored.Attempts) != 1 || stored.Attempts[0].Outcome != "unreachable" {
		t.Errorf("the spool holds attempts %+v", stored.Attempts)
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		t.Error("the call was written after unexpected bytes")
	}
	if s.step(); s.messages["one"] == nil || s.messages["one"].ended {
		t.Error("message ended although it never ran")
	}
}

// TestNoSendUnlessStored: an attempt that cannot be stored is not sent, because a process started after a
// crash would not know of it.
func TestNoSendUnlessStored(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"))
	s.step()
	opened := waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })
	s.spool.Close()
	s.handle(endpointEvent{opened})
	attempt := s.messages["one"].attempts[0]
	if !attempt.finished || attempt.call.exchange.IsSent() {
		t.Errorf("finished %v, sent %v", attempt.finished, attempt.call.exchange.IsSent())
	}
	conn, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s.endpointConns.CloseAllIdle()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("read %d bytes, then %v", n, err)
	}
}

// TestMessageSubmittedOnTwoConnections. Failure: a message was submitted on two connections in one step.
// The second client got +OK although the message was dropped when the first connection closed, or although
// the dispatcher rejected it in the same step.
func TestMessageSubmittedOnTwoConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		closing int // which connection closes before the step, 1 or 2; 0 for none
		rejects bool
		want    string // reply to the remaining clients
		stored  bool
	}{
		"first closes": {1, false, "+OK", true}, "second closes": {2, false, "+OK", true}, "neither closes": {0, false, "+OK", true},
		"refused": {0, true, "-BUSY 7", false}, "first closes, rejected": {1, true, "-BUSY 7", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := steppedServer(t, openWorld(t, 0))
			if tc.rejects {
				s.dispatcher = rejectingDispatcher{}
			}
			first, second := connectClient(t, s), connectClient(t, s)
			one := first.submit(t, s, "one")
			two := second.submit(t, s, "one")
			s.handle(clientEvent{one})
			s.handle(clientEvent{two})
			remaining := []*testClient{first, second}
			if tc.closing > 0 {
				remaining[tc.closing-1].SetLinger(0)
				remaining[tc.closing-1].Close()
				from := []clientconn.Commands{one, two}[tc.closing-1].Conn
				for closed := false; !closed; { // without a step in between
					queued := <-s.queue
					event, ok := unwrap(queued).(clientconn.Closed)
					closed = ok && event.Conn == from
					s.handle(queued)
				}
				remaining = []*testClient{remaining[2-tc.closing]}
			}
			s.step()
			for _, client := range remaining {
				if got := client.reply(); got != tc.want {
					t.Errorf("got reply %q", got)
				}
			}
			if stored := storedMessage(t, s, "one") != nil; stored != tc.stored {
				t.Errorf("message stored: %v", stored)
			}
		})
	}
}

// rejectingDispatcher rejects every accepted message.
type rejectingDispatcher struct{}

func (rejectingDispatcher) Handle(_ dispatch.Micros, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if e, ok := event.(dispatch.MessageAccepted); ok {
			actions = append(actions, dispatch.Reject{Message: e.Message, RetryAfter: 7000})
		}
	}
	return actions
}

// TestMessageIsDroppedWhenAllClientsClose: if all clients of a message disconnect before they get a reply,
// the message is dropped.
func TestMessageIsDroppedWhenAllClientsClose(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	first, second := connectClient(t, s), connectClient(t, s)
	one, two := first.submit(t, s, "one"), second.submit(t, s, "one")
	for _, e := range []clientconn.Event{one, two, clientconn.Closed{Conn: one.Conn}, clientconn.Closed{Conn: two.Conn}} {
		s.handle(clientEvent{e})
	}
	if s.step(); storedMessage(t, s, "one") != nil || s.messages["one"] != nil {
		t.Error("the message is still stored or in memory")
	}
}

// TestFinishedMessageIsNotAcceptedTwice. Failure: a connection reset discarded a reply in the socket
// buffer. The client submitted the message again after it had ended, and it was accepted and delivered a
// second time.
func TestFinishedMessageIsNotAcceptedTwice(t *testing.T) {
	world := openWorld(t, 0)
	s := steppedServer(t, world)
	first := connectClient(t, s)
	s.handle(clientEvent{first.submit(t, s, "one")})
	s.step()
	first.SetLinger(0) // the reset discards any reply
	first.Close()
	for s.messages["one"] != nil {
		s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.ResponseReceived) bool { return isEndpointConn(event.Conn) })})
		s.step()
	}
	second := connectClient(t, s)
	s.handle(clientEvent{second.submit(t, s, "one")})
	s.step()
	if got := second.reply(); got != "+OK" || s.messages["one"] != nil {
		t.Errorf("got reply %q, held again %v", got, s.messages["one"] != nil)
	}
	if began, _, _ := world.MessageCalls("one"); began != 1 {
		t.Errorf("got %d calls", began)
	}
}

// TestFinishedMessagesAreForgotten: ids of ended messages are kept only as long as clients may submit them
// again, and their number is bounded.
func TestFinishedMessagesAreForgotten(t *testing.T) {
	var finished finishedMessages
	for i := range 3 * maxFinished {
		finished.add(&message{stored: &spool.Message{ID: fmt.Sprint(i)}, acceptedAt: 5}, 5)
	}
	if len(finished.until) > maxFinished || len(finished.order) > maxFinished || !finished.contains(dispatch.MessageID(fmt.Sprint(3*maxFinished-1)), 5) {
		t.Errorf("%d ids in the map, %d in the order", len(finished.until), len(finished.order))
	}
	if finished.contains(dispatch.MessageID(fmt.Sprint(3*maxFinished-1)), 5+resubmitWindow) {
		t.Error("the id is still known after the resend window")
	}
	finished.add(&message{stored: &spool.Message{ID: "late"}, acceptedAt: 5}, 5+resubmitWindow)
	if len(finished.until) > 0 || len(finished.order) > 0 {
		t.Errorf("%d ids are left", len(finished.until))
	}
}

// runUntilExit steps the event loop until it may exit or done returns true, and reports whether it may
// exit.
func runUntilExit(t *testing.T, s *Server, done func() bool) bool {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
		s.handleQueued()
		s.step()
		if s.advanceShutdown() {
			return true
		}
		if done() {
			return false
		}
	}
	t.Fatal("the event loop does not exit within 10 s")
	return false
}

func noCondition() bool { return false }

// scheduleExit sets the deadline of the shutdown to now.
func scheduleExit(s *Server) {
	s.now = s.clock()
	s.shutdown.closeAt, s.shutdown.endAt, s.shutdown.latestAt = s.now, s.now, s.now+hour
}

// TestRequestDuringShutdownGetsReply. Failure: a request that was unread in the socket at the last check
// before the exit got a connection reset instead of a reply.
func TestRequestDuringShutdownGetsReply(t *testing.T) {
	world := openWorld(t, 0)
	s := steppedServer(t, world)
	client := connectClient(t, s)
	resume := blockPoller(t, s)
	scheduleExit(s)
	io.WriteString(client, enqueue("one"))
	if !port.WaitAcknowledged(client) {
		t.Fatal("the bytes never arrived")
	}
	checked := false
	if runUntilExit(t, s, func() bool { // up to the first check after postAcceptGrace
		checked = s.shutdown.closing && s.shutdown.closeAt == s.now+closeInterval
		return checked
	}) {
		t.Fatal("the event loop exited before it read a request")
	}
	resume()
	if !runUntilExit(t, s, noCondition) {
		t.Fatal("the event loop did not exit")
	}
	if got := client.reply(); got != "+OK" {
		t.Errorf("got reply %q", got)
	}
	if began, _, _ := world.MessageCalls("one"); began == 0 && storedMessage(t, s, "one") == nil {
		t.Error("the message was accepted but neither sent nor stored")
	}
}

// TestFirstRequestDuringShutdownGetsReply. Failure: a connection opened just before the exit was closed
// while its first request was in transit.
func TestFirstRequestDuringShutdownGetsReply(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	client := connectClient(t, s)
	scheduleExit(s)
	if runUntilExit(t, s, func() bool { return s.shutdown.closing }) {
		t.Fatal("the event loop exited at once")
	}
	io.WriteString(client, enqueue("one"))
	if !runUntilExit(t, s, noCondition) {
		t.Fatal("the event loop did not exit")
	}
	if got := client.reply(); got != "+OK" {
		t.Errorf("got reply %q", got)
	}
}

// TestNewConnectionIsDrainedLater: when a process that shuts down drains its clients, it closes idle
// connections at once, but a new connection only after its first request has been answered.
func TestNewConnectionIsDrainedLater(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	idle := connectClient(t, s)
	for s.clock()-s.now <= clientconn.NewConnGrace {
		time.Sleep(time.Millisecond)
	}
	s.now = s.clock()
	client := connectClient(t, s)
	s.now = s.clock()
	s.shutdown.drainAt, s.shutdown.closeAt, s.shutdown.endAt = s.now, s.now+hour, s.now+hour
	if s.advanceShutdown() {
		t.Fatal("the event loop exited")
	}
	if got := idle.reply(); got != io.EOF.Error() {
		t.Errorf("reply to the idle client: %s", got)
	}
	s.handle(clientEvent{client.submit(t, s, "one")})
	s.step()
	if got := client.reply(); got != "+OK" {
		t.Errorf("got reply %q", got)
	}
	for s.shutdown.drainAt < never {
		if s.now = s.clock(); s.advanceShutdown() {
			t.Fatal("the event loop exited")
		}
		time.Sleep(time.Millisecond)
	}
	if got := client.reply(); got != io.EOF.Error() {
		t.Errorf("after its request the client got %s", got)
	}
}

// TestClientsDoNotDelayShutdown: a client with a partial command, and one that sends without end and reads
// no replies, do not delay the exit. An idle client is closed without a reset.
func TestClientsDoNotDelayShutdown(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	partial, idle, flooder := connectClient(t, s), connectClient(t, s), connectClient(t, s)
	io.WriteString(partial, enqueue("half")[:40])
	if !port.WaitAcknowledged(partial) {
		t.Fatal("the bytes never arrived")
	}
	flooding := make(chan struct{})
	go func() {
		defer close(flooding)
		for {
			if _, err := io.WriteString(flooder, "*1\r\n$4\r\nPING\r\n"); err != nil {
				return
			}
		}
	}()
	began := s.clock()
	scheduleExit(s)
	if !runUntilExit(t, s, noCondition) {
		t.Fatal("the event loop did not exit")
	}
	if took := s.clock() - began; took > 20*(postAcceptGrace+exitTimeout) {
		t.Errorf("the exit took %d us", took)
	}
	if got := idle.reply(); got != io.EOF.Error() {
		t.Errorf("reply to the idle client: %s", got)
	}
	flooder.Close()
	<-flooding
}

// TestTruncatedListsAreReported: each truncated list is reported to the dispatcher as incomplete, and the
// dispatcher then backs off (see TestIncompleteListsBackOff in package dispatch). Failure: with every list
// truncated, each courier polled 30 times per second.
func TestTruncatedListsAreReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	world := openWorld(t, 0)
	world.Discovery = listener.Addr().String()
	s := steppedServer(t, world)
	s.events = nil
	d := &s.discovery
	poll := func(answer string) {
		t.Helper()
		s.now = max(s.clock(), d.pollAt)
		d.poll(dispatch.WatchEndpoints{})
		exchange := d.pollInFlight
		for !exchange.IsSent() {
			s.handle(<-s.queue)
		}
		conn := acceptCall(t, listener.(*net.TCPListener))
		io.WriteString(conn, answer)
		conn.Close()
		for d.pollInFlight == exchange {
			s.handle(<-s.queue)
		}
	}
	const truncatedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":9,\"whole\":false,\"hosts\":["
	incomplete := func() bool {
		t.Helper()
		if len(s.events) != 1 {
			t.Fatalf("events %+v", s.events)
		}
		update, ok := s.events[0].(dispatch.EndpointUpdate)
		s.events = nil
		return ok && update.Incomplete
	}
	for n := range 8 {
		poll(truncatedAnswer)
		if !incomplete() || d.pollAt != never || d.pollInFlight != nil {
			t.Errorf("after %d truncated lists, the next poll is not left to the dispatcher", n+1)
		}
	}
	list := `{"seq":10,"whole":false,"hosts":[]}`
	poll(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list))
	if incomplete() || d.pollInFlight == nil {
		t.Error("a complete answer is still treated as incomplete")
	}
}

// TestListFromOldDiscoveryAddressIsIgnored: a reload changes the address of discovery while an answer from
// the old address is queued. That answer is ignored and the new address is polled.
func TestListFromOldDiscoveryAddressIsIgnored(t *testing.T) {
	world := openWorld(t, 0)
	s := steppedServer(t, world)
	ofDiscovery := func(conn *endpointconn.Conn) bool { return !isEndpointConn(conn) }
	s.discovery.version = 0
	s.discovery.poll(dispatch.WatchEndpoints{})
	s.handle(endpointEvent{waitForEvent(t, s, func(e endpointconn.Opened) bool { return ofDiscovery(e.Conn) })})
	answer := waitForEvent(t, s, func(e endpointconn.ResponseReceived) bool { return ofDiscovery(e.Conn) })
	if _, err := world.MoveDiscovery(); err != nil {
		t.Fatal(err)
	}
	next := *s.deployment
	next.Discovery = world.Discovery
	s.handle(configReloaded{&next})
	inFlight := s.discovery.pollInFlight
	s.handle(endpointEvent{answer})
	if s.discovery.pollInFlight != inFlight || inFlight == nil || inFlight.Peer.Address != world.Discovery || s.discovery.version != 0 {
		t.Errorf("poll in flight %+v, version %d", s.discovery.pollInFlight, s.discovery.version)
	}
	s.handle(endpointEvent{waitForEvent(t, s, func(e endpointconn.Opened) bool { return ofDiscovery(e.Conn) })})
	s.handle(endpointEvent{waitForEvent(t, s, func(e endpointconn.ResponseReceived) bool { return ofDiscovery(e.Conn) })})
	if s.discovery.version == 0 {
		t.Error("no list from the new address was applied")
	}
}

// TestReloadAfterHandoffIsKept. Failure: a configuration reloaded after the handoff was lost when the
// successor exited, and this process resumed with the old one.
//
// The configuration must be passed to OnReload, whose caller starts the next event loop with it, and
// discovery must not be polled.
func TestReloadAfterHandoffIsKept(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	s.handoff.handedOver = true
	var reloaded *config.Deployment
	s.OnReload(func(dep *config.Deployment) { reloaded = dep })
	next := *s.deployment
	next.Discovery = "127.0.0.1:9"
	s.handle(configReloaded{&next})
	if reloaded == nil || reloaded.Discovery != next.Discovery {
		t.Errorf("OnReload got %+v", reloaded)
	}
	if s.discovery.pollInFlight != nil {
		t.Error("discovery was polled after the handoff")
	}
}

// TestIdleCheckDuringRead. Failure: during a handoff, the event loop read the state of a client's parser
// while the poller wrote to it.
func TestIdleCheckDuringRead(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	client := connectClient(t, s)
	text := enqueue("one")
	if !s.clients.AllIdle() {
		t.Error("client not idle before its request")
	}
	for at := range len(text) - 1 {
		io.WriteString(client, text[at:at+1])
		for deadline := time.Now().Add(5 * time.Second); s.clients.AllIdle(); {
			if time.Now().After(deadline) {
				t.Fatalf("client idle with %d bytes of a command", at+1)
			}
		}
	}
	io.WriteString(client, text[len(text)-1:])
	s.handle(clientEvent{waitForEvent(t, s, func(clientconn.Commands) bool { return true })})
	if s.clients.AllIdle() {
		t.Error("client idle before its reply")
	}
	s.step()
	if got := client.reply(); got != "+OK" || !s.clients.AllIdle() {
		t.Errorf("got reply %q, idle %v", got, s.clients.AllIdle())
	}
}
