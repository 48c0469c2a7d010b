package server

import (
	"io"
	"pineport/server/clientconn"
	"testing"
)

// A request that was read and then closed with no answer is lost: docs/crossings.md names each way in which a client's connection
// is closed. These tests force the ways in which a request had been read.

// TestHalfClosedClientGetsAnAnswer. Failure: a client that ended its sending and waited for its reply was closed with no answer. Its
// message is rejected, which it may submit again; other requests get their usual reply.
func TestHalfClosedClientGetsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct{ request, want string }{
		"a message":          {enqueue("one"), "-BUSY"},
		"a ping":             {"*1\r\n$4\r\nPING\r\n", "+PONG"},
		"an unknown command": {"*1\r\n$4\r\nNOPE\r\n", "-ERR unknown command"},
	} {
		t.Run(name, func(t *testing.T) {
			r := steppedServer(t, open(t, 0))
			v := visit(t, r)
			io.WriteString(v, c.request)
			v.CloseWrite()
			r.handle(clientEvent{until(t, r, func(clientconn.Commands) bool { return true })})
			r.handle(clientEvent{until(t, r, func(clientconn.Closed) bool { return true })})
			r.step()
			if got := v.reply(); got != c.want {
				t.Errorf("answered %q", got)
			}
			if got := v.reply(); got != io.EOF.Error() {
				t.Errorf("afterwards %q", got)
			}
			if r.messages["one"] != nil || onDisk(t, r, "one") != nil {
				t.Error("rejected, and still held")
			}
		})
	}
}

// TestHalfClosedClientOfAMessageHandedInTwice: the other connection still waits for the message, so both get the reply of its acceptance.
func TestHalfClosedClientOfAMessageHandedInTwice(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	first, second := visit(t, r), visit(t, r)
	one := first.asks(t, r, "one")
	two := second.asks(t, r, "one")
	first.CloseWrite()
	r.handle(clientEvent{one})
	r.handle(clientEvent{two})
	r.handle(<-r.queue) // the end of the first
	r.step()
	for _, v := range []*visitor{first, second} {
		if got := v.reply(); got != "+OK" {
			t.Errorf("answered %q", got)
		}
	}
}

// TestRequestReadAtTheLastLookIsAnswered. Failure: the process ended over a request that the poller had read since the loop last looked.
func TestRequestReadAtTheLastLookIsAnswered(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	v := visit(t, r)
	request := v.asks(t, r, "one")
	r.now = r.clock()
	r.exiting, r.shutdownBy, r.exitBy = true, r.now, r.now // the last chance is over
	r.queue <- clientEvent{request}
	if r.mayExit() {
		t.Fatal("it ended over a request that had been read")
	}
	if !leave(t, r, neverMind) {
		t.Fatal("it never ended")
	}
	if got := v.reply(); got != "+OK" {
		t.Errorf("answered %q", got)
	}
	if r.now > r.exitBy+2*replyTimeout {
		t.Errorf("it took %d us beyond its last chance", r.now-r.exitBy)
	}
}

// TestCommandsThatFailAreAnswered. Failure: a fault while a request was handled closed its connection with no answer.
func TestCommandsThatFailAreAnswered(t *testing.T) {
	r := steppedServer(t, open(t, 0))
	v := visit(t, r)
	request := v.asks(t, r, "one")
	healthy := r.deployment
	r.deployment = nil // as if by a fault in this code
	r.handle(clientEvent{request})
	r.deployment = healthy
	r.step()
	if got := v.reply(); got != "-ERR internal error" {
		t.Errorf("answered %q", got)
	}
}
