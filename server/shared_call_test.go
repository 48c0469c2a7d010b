package server

import (
	"encoding/json"
	"net"
	"os"
	"testing"
	"time"

	"pineport/dispatch"
	"pineport/handoff"
	"pineport/server/endpointconn"
)

// sendSharedCall has the event loop send the messages "one" and "two" in one call to the test's listener. The dispatcher is not asked.
func sendSharedCall(t *testing.T, s *Server, listener *net.TCPListener) (*call, *net.TCPConn) {
	t.Helper()
	var calls []*call
	s.deployment.Dispatch.EndpointTypes[0].MaxPerCall = 5
	for _, id := range []dispatch.MessageID{"one", "two"} {
		calls = s.addToCall(calls, dispatch.Send{Message: id, Endpoint: "s-0", Timeout: 20 * 1000 * 1000})
	}
	s.events, s.dispatcher = nil, idleDispatcher{}
	s.startCall(calls[0])
	s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.Opened) bool { return isEndpointConn(event.Conn) })})
	return calls[0], acceptCall(t, listener)
}

// idleDispatcher takes no action.
type idleDispatcher struct{}

func (idleDispatcher) Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action { return nil }

// isOpen reports whether the other side of a connection has neither closed it nor ended its sending.
func isOpen(conn *net.TCPConn) bool {
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return os.IsTimeout(err)
}

// finishedOutcomes returns the outcomes that the dispatcher will be told next, by message.
func finishedOutcomes(s *Server) map[dispatch.MessageID]dispatch.Outcome {
	outcomes := map[dispatch.MessageID]dispatch.Outcome{}
	for _, event := range s.events {
		if finished, ok := event.(dispatch.AttemptFinished); ok {
			outcomes[finished.Message] = finished.Outcome
		}
	}
	return outcomes
}

// openLink returns a link, and a function that returns the next message sent over it.
func openLink(t *testing.T) (link *handoff.Link, sent func() *handoff.Message) {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	link = handoff.NewLink(local)
	t.Cleanup(link.Close)
	decoder := json.NewDecoder(remote)
	return link, func() *handoff.Message {
		message := &handoff.Message{}
		remote.SetReadDeadline(time.Now().Add(5 * time.Second))
		if err := decoder.Decode(message); err != nil {
			t.Fatal(err)
		}
		return message
	}
}

// TestCanceledMessageStaysInItsCall guards against a message that counts as taken back while the call that carries it, together with others,
// is still out: it would be sent again meanwhile.
func TestCanceledMessageStaysInItsCall(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"), newMessage("two"))
	call, conn := sendSharedCall(t, s, listener)
	s.cancel(dispatch.Cancel{Message: "one", Attempt: 0})
	if got := finishedOutcomes(s); len(got) > 0 || !isOpen(conn) {
		t.Errorf("outcomes %v while the call is out; connection open: %v", got, isOpen(conn))
	}
	s.cancel(dispatch.Cancel{Message: "two", Attempt: 0})
	if got := finishedOutcomes(s); got["one"] != dispatch.Canceled || got["two"] != dispatch.Canceled || isOpen(conn) {
		t.Errorf("outcomes %v after both were canceled; connection open: %v", got, isOpen(conn))
	}
	if len(s.inFlight) > 0 || call.attempts[0].message.inFlight > 0 {
		t.Error("attempts are left")
	}
}

// TestAnswerAfterCancelCounts: an answer to a call of which only one message was canceled gives both their outcomes.
func TestAnswerAfterCancelCounts(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"), newMessage("two"))
	_, conn := sendSharedCall(t, s, listener)
	s.cancel(dispatch.Cancel{Message: "one", Attempt: 0})
	conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\none accepted\r\ntwo deferred\r\n"))
	s.handle(endpointEvent{waitForEvent(t, s, func(event endpointconn.ResponseReceived) bool { return isEndpointConn(event.Conn) })})
	if got := finishedOutcomes(s); got["one"] != dispatch.Delivered || got["two"] != dispatch.Throttled {
		t.Errorf("outcomes %v", got)
	}
}

// TestPredecessorReportsCanceledCall guards against a successor that takes a message back while the predecessor's call that carries it is
// still out. The predecessor reports the cancellation when it has given up the call.
func TestPredecessorReportsCanceledCall(t *testing.T) {
	world := openWorld(t, 0)
	listener := listenAsEndpoint(t, world)
	s := steppedServer(t, world, newMessage("one"), newMessage("two"))
	_, conn := sendSharedCall(t, s, listener)
	link, sent := openLink(t)
	s.handoff.handedOver, s.handoff.successor = true, link
	cancel := func(id string) {
		s.handoff.handleSuccessorMessage(&handoff.Message{Cancel: &handoff.AttemptID{Message: id}})
	}
	cancel("one")
	if !isOpen(conn) || len(s.inFlight) != 2 {
		t.Errorf("with one of two messages canceled, %d attempts are in flight; connection open: %v", len(s.inFlight), isOpen(conn))
	}
	cancel("two")
	if isOpen(conn) || len(s.inFlight) != 0 {
		t.Errorf("with both messages canceled, %d attempts are in flight; connection open: %v", len(s.inFlight), isOpen(conn))
	}
	for _, id := range []dispatch.MessageID{"one", "two"} {
		if got := sent(); got.AttemptFinished == nil || got.AttemptFinished.Message != id || got.AttemptFinished.Outcome != dispatch.Canceled {
			t.Errorf("the successor got %+v in place of the outcome of %s", got, id)
		}
	}
}

// TestSuccessorWaitsForCanceledCall: an attempt of the predecessor stays in flight until the predecessor reports its outcome.
func TestSuccessorWaitsForCanceledCall(t *testing.T) {
	s := steppedServer(t, openWorld(t, 0))
	link, _ := openLink(t)
	s.handoff.predecessor = link
	stored := newMessage("one")
	adopted := &attempt{message: &message{stored: stored, acceptedAt: s.now, inFlight: 1}}
	adopted.call = &call{endpoint: "s-0", attempts: []*attempt{adopted}, predecessor: true}
	adopted.message.attempts, s.messages["one"], s.inFlight = []*attempt{adopted}, adopted.message, []*attempt{adopted}
	s.cancel(dispatch.Cancel{Message: "one", Attempt: 0})
	if got := finishedOutcomes(s); len(got) > 0 || adopted.finished {
		t.Errorf("outcomes %v before the predecessor reported any", got)
	}
	s.handoff.handlePredecessorMessage(&handoff.Message{AttemptFinished: &dispatch.AttemptFinished{Message: "one", Outcome: dispatch.Canceled}})
	if got := finishedOutcomes(s); got["one"] != dispatch.Canceled {
		t.Errorf("outcomes %v after the predecessor reported the cancellation", got)
	}
}
