package server

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pineport/clock"
	"pineport/config"
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/protocol"
	"pineport/server/endpointconn"
	"pineport/spool"
	"pineport/testbed/port"
	"pineport/testbed/scripted"
	"pineport/transport"
)

// panickingDispatcher panics on messages whose ids begin with idPrefix, for the given number of times.
type panickingDispatcher struct {
	dispatcher
	idPrefix string
	panics   *int
}

func (f panickingDispatcher) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		var id dispatch.MessageID
		switch e := event.(type) {
		case dispatch.MessageAccepted:
			id = e.Message
		case dispatch.MessageRecovered:
			id = e.Message
		}
		if strings.HasPrefix(string(id), f.idPrefix) && *f.panics > 0 {
			*f.panics--
			panic("injected panic in the dispatcher")
		}
	}
	return f.dispatcher.Handle(now, events)
}

// newTestServer returns an event loop whose spool holds the given unfinished messages.
func newTestServer(t *testing.T, world *scripted.World, unfinished ...*spool.Message) *Server {
	t.Helper()
	return newTestServerWithConfig(t, world, func(text []byte) []byte { return text }, unfinished...)
}

// newTestServerWithConfig is newTestServer with a configuration that edit may change.
func newTestServerWithConfig(t *testing.T, world *scripted.World, edit func(text []byte) []byte, unfinished ...*spool.Message) *Server {
	t.Helper()
	dir := t.TempDir()
	listen, release, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, edit(world.CourierConfiguration("n0", listen)), 0o600); err != nil {
		t.Fatal(err)
	}
	dep, err := config.Load(func(key string) string { return map[string]string{"RELAY_CONFIG": path, "RELAY_STATE": dir}[key] })
	if err != nil {
		t.Fatal(err)
	}
	messageSpool, _, _, err := spool.Open(dir, 1e6)
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range unfinished {
		if err := messageSpool.Append(message); err != nil {
			t.Fatal(err)
		}
	}
	courierClock, err := clock.Open(dir, clock.System(), 0)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(dep, messageSpool, unfinished, nil, courierClock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startServer runs an event loop whose dispatcher panics, the given number of times, on messages whose ids
// begin with "bad".
func startServer(t *testing.T, world *scripted.World, panics int) (listen string) {
	t.Helper()
	s := newTestServer(t, world)
	newDispatcher := s.newDispatcher
	s.newDispatcher = func() dispatcher { return panickingDispatcher{newDispatcher(), "bad", &panics} }
	s.dispatcher = panickingDispatcher{s.dispatcher, "bad", &panics}
	return runServer(t, s)
}

// runServer runs an event loop until the test ends and returns its address.
func runServer(t *testing.T, s *Server) (listen string) {
	t.Helper()
	stop, ended := NewStopRequest(), make(chan error)
	go func() {
		ended <- s.Run(stop, nil, ShutdownTimes{CloseClients: 50 * time.Millisecond, End: 50 * time.Millisecond, Latest: time.Second})
	}()
	t.Cleanup(func() {
		stop.Make()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s.deployment.Listen
}

// StartCourier runs a courier in this process with a configuration that edit may change, and returns its
// address.
func StartCourier(t *testing.T, world *scripted.World, edit func(text []byte) []byte) (listen string) {
	t.Helper()
	return runServer(t, newTestServerWithConfig(t, world, edit))
}

// submitTo submits one message for a destination and returns the reply.
func submitTo(t *testing.T, listen, id string, dest int) string {
	t.Helper()
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err.Error() // not listening yet
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	names := fmt.Sprintf("c=order,d=8000,dest=%d", dest)
	fmt.Fprintf(conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(id), id, len(names), names)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func submit(t *testing.T, listen string, ids ...string) (replies []string) {
	t.Helper()
	var conn net.Conn
	var err error
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if conn, err = net.Dial("tcp", listen); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	for _, id := range ids {
		fmt.Fprintf(conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$21\r\nc=order,d=8000,dest=1\r\n$1\r\nx\r\n", len(id), id)
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		replies = append(replies, strings.TrimSpace(line))
	}
	return replies
}

func openWorld(t *testing.T, after time.Duration) *scripted.World {
	t.Helper()
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: after} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	return world
}

// waitForEnd returns how a message ended.
func waitForEnd(t *testing.T, world *scripted.World, id string) string {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		_, done, notices := world.MessageCalls(id)
		if len(notices) > 0 {
			return strings.Join(notices, ",")
		}
		if done > 0 {
			return "done"
		}
	}
	return "never"
}

// TestDispatcherRestartsAfterPanic: a message of an at-most-once class that is in flight when the
// dispatcher panics may have run, so it is not sent again.
func TestDispatcherRestartsAfterPanic(t *testing.T) {
	world := openWorld(t, 300*time.Millisecond)
	listen := startServer(t, world, 1)
	submit(t, listen, "out")
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if began, _, _ := world.MessageCalls("out"); began > 0 {
			break
		}
	}
	if got := submit(t, listen, "bad", "next"); got[0] != "+OK" || got[1] != "+OK" {
		t.Fatal(got)
	}
	for id, want := range map[string]string{"out": "undeliverable", "bad": "done", "next": "done"} {
		if got := waitForEnd(t, world, id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if began, _, _ := world.MessageCalls("out"); began != 1 {
		t.Errorf("got %d calls", began)
	}
}

// TestUnconfirmedNoticeIsRetried: a call that hangs delays neither the retry of its notice nor the next
// notice. The retry may come twice, over a new and over a used connection.
func TestUnconfirmedNoticeIsRetried(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 500} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	world.LeaveNoticesUnanswered(1)
	listen := startServer(t, world, 0)
	submit(t, listen, "first")
	began := time.Now()
	if got := waitForEnd(t, world, "first"); got != "undeliverable" && got != "undeliverable,undeliverable" || time.Since(began) > noticeTimeout*time.Microsecond {
		t.Errorf("first: %s after %v", got, time.Since(began))
	}
	submit(t, listen, "second")
	if got := waitForEnd(t, world, "second"); got != "undeliverable" {
		t.Errorf("second: %s", got)
	}
}

// misbehavingEndpoint starts an endpoint that answers its first call with raw bytes and later calls
// correctly. For each call it sends the number of the call and of the connection.
func misbehavingEndpoint(t *testing.T, world *scripted.World, rawAnswer string, keepOpen bool) (calls chan [2]int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	world.Endpoints = []string{listener.Addr().String()}
	calls = make(chan [2]int, 100)
	var count atomic.Int64
	go func() {
		for connection := 1; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for {
					if _, err := conn.Read(make([]byte, 4096)); err != nil {
						return
					}
					call := int(count.Add(1))
					calls <- [2]int{call, connection}
					if call > 1 {
						conn.Write([]byte(okAnswer))
					} else if conn.Write([]byte(rawAnswer)); !keepOpen {
						return
					}
				}
			}()
		}
	}()
	return calls
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestMisbehavingEndpoint checks what a raw answer means for an at-most-once message, with the connection
// closed after the answer or kept open. After a malformed answer the message may have run, and the courier
// does not wait for the rest of the answer until the deadline.
//
// A 503 or 504 without Connection: close whose connection is then closed is not tested: the second call may
// already have been sent over that connection, and may have run.
func TestMisbehavingEndpoint(t *testing.T) {
	const closed, keptOpen = 1, 2
	for raw, tc := range map[string]struct {
		kinds int
		want  string
	}{
		"rubbish\r\n": {closed | keptOpen, undeliverable}, "": {closed, undeliverable}, "HTTP/1.1 599 What\r\n\r\n": {closed | keptOpen, undeliverable},
		"noise with no end": {closed | keptOpen, undeliverable}, "HTTP/1.1 503 Full\r\nX: y\r\n": {keptOpen, undeliverable},
		"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\ncut":                      {closed | keptOpen, undeliverable},
		"HTTP/1.1 429 Full\r\nContent-Length: x\r\n\r\n":                       {closed | keptOpen, undeliverable},
		"HTTP/1.1 429 Full\r\nContent-Length: 3000000000\r\n\r\nand on and on": {closed | keptOpen, undeliverable},
		"HTTP/1.1 200 OK\r\nBad header\r\n\r\n":                                {closed | keptOpen, done},
		"HTTP/1.1 200 OK\r\nContent-Le":                                        {closed | keptOpen, done},
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncut":                      {closed | keptOpen, done},
		"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n":                     {closed | keptOpen, done},
		"HTTP/1.1 100 Go":   {closed | keptOpen, undeliverable},
		okAnswer + okAnswer: {closed | keptOpen, done},
		okAnswer + "noise":  {closed | keptOpen, done},
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + okAnswer:  {closed | keptOpen, done},
		"HTTP/1.1 200 OK\r\nX-Load-Report: ?=;\r\nContent-Length: 0\r\n\r\n":    {closed | keptOpen, done},
		"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n":                        {keptOpen, calledAgain},
		"HTTP/1.1 503 Full\r\nConnection: close\r\n\r\nbody":                    {closed, calledAgain},
		"HTTP/1.1 504 No more\r\nContent-Length: 0\r\n\r\n":                     {keptOpen, calledAgain},
		"HTTP/1.1 504 No more\r\nConnection: close\r\n\r\n":                     {closed, calledAgain},
		"HTTP/1.1 410 Over\r\nContent-Length: 0\r\n\r\n" + "xx":                 {closed | keptOpen, done},
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n": {keptOpen, calledAgain},
	} {
		for _, kind := range []int{closed, keptOpen} {
			if tc.kinds&kind == 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d %.40q", kind, raw), func(t *testing.T) {
				t.Parallel()
				checkOutcome(t, raw, kind == keptOpen, tc.want)
			})
		}
	}
}

// withMetrics returns a configuration with which the event loop publishes its metrics.
func withMetrics(text []byte) []byte {
	return bytes.Replace(text, []byte("{"), []byte(`{"ops": "127.0.0.1:1",`), 1)
}

// Results of an at-most-once message after an answer.
const undeliverable, done, calledAgain = "undeliverable", "done", "second call"

// checkOutcome has an endpoint answer the first call for an at-most-once message with raw bytes, and checks
// the result of the message.
func checkOutcome(t *testing.T, rawAnswer string, keepOpen bool, want string) {
	t.Helper()
	world := openWorld(t, 0)
	calls := misbehavingEndpoint(t, world, rawAnswer, keepOpen)
	server := newTestServerWithConfig(t, world, withMetrics)
	listen := runServer(t, server)
	submit(t, listen, "one")
	<-calls
	got := done
	for deadline := time.Now().Add(1500 * time.Millisecond); time.Now().Before(deadline) && got == done; time.Sleep(10 * time.Millisecond) {
		if _, _, notices := world.MessageCalls("one"); len(notices) > 0 {
			got = notices[0]
		} else if len(calls) > 0 {
			got = calledAgain
		}
	}
	if got != want {
		t.Fatalf("message ended with %s, want %s", got, want)
	}
	if got == done { // a message that has ended is not held, and does not run again when its id comes again
		if metrics := server.Metrics(); metrics == nil || metrics.Concurrent != 0 {
			t.Errorf("the message is still held: %+v", metrics)
		}
		if replies := submit(t, listen, "one"); len(replies) != 1 || replies[0] != "+OK" {
			t.Errorf("got %v for the same id again", replies)
		}
		select {
		case <-calls:
			t.Error("the message was called again")
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// TestSilentAfterAnyByte: an endpoint stops sending, or closes the connection, after any byte of a
// successful answer. After the complete status line the message is done. Before that it may have run and is
// not sent again.
func TestSilentAfterAnyByte(t *testing.T) {
	const answer, statusLineLength = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", 17
	for length := 1; length <= len(answer); length++ {
		if length > statusLineLength && length%6 != 0 && length != len(answer) {
			continue
		}
		want := undeliverable
		if length >= statusLineLength {
			want = done
		}
		for _, keepOpen := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d %v", length, keepOpen), func(t *testing.T) {
				t.Parallel()
				checkOutcome(t, answer[:length], keepOpen, want)
			})
		}
	}
}

// TestDiscoverySilentAfterAnyByte: discovery stops sending, or closes the connection, after any byte of its
// first answer. The courier polls again and gets the list.
func TestDiscoverySilentAfterAnyByte(t *testing.T) {
	for _, percent := range []int{0, 5, 16, 17, 40, 70, 99, 100} { // of the length of the answer
		for _, keepOpen := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d %v", percent, keepOpen), func(t *testing.T) {
				t.Parallel()
				world := openWorld(t, 0)
				list := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s-9","dial":%q,"site":"a","class":"plain","block":2,`+
					`"health":"in_service","share":50.0,"born_ms":0}]}`, world.Endpoints[0])
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				world.Discovery = truncatingDiscovery(t, answer, len(answer)*percent/100, keepOpen)
				listen := startServer(t, world, 0)
				deadline := time.Now().Add(20 * time.Second)
				for n := 0; ; n++ {
					if time.Now().After(deadline) {
						t.Fatal("the list was never applied")
					}
					if got := submitTo(t, listen, fmt.Sprint("r", n), 2); got == "+OK" {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
}

// truncatingDiscovery starts a discovery that writes only the first length bytes of its first answer. It
// answers the second poll completely and leaves later ones unanswered.
func truncatingDiscovery(t *testing.T, answer string, length int, keepOpen bool) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var polls atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for {
					if _, err := conn.Read(make([]byte, 4096)); err != nil {
						return
					}
					switch n := polls.Add(1); {
					case n == 1:
						if conn.Write([]byte(answer[:length])); !keepOpen {
							return
						}
					case n == 2:
						conn.Write([]byte(answer))
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestBytesAfterAnswerCloseConnection: bytes after an answer, received with it or later, are not taken for
// the answer to the next call. That call goes over another connection.
func TestBytesAfterAnswerCloseConnection(t *testing.T) {
	for _, extra := range []string{okAnswer, "noise", "\x00"} {
		world := openWorld(t, 0)
		calls := misbehavingEndpoint(t, world, okAnswer+extra, true)
		listen := startServer(t, world, 0)
		submit(t, listen, "one")
		first := <-calls
		time.Sleep(100 * time.Millisecond)
		submit(t, listen, "two")
		if second := <-calls; second[1] == first[1] {
			t.Errorf("%q: the next call went over the same connection", extra)
		}
		time.Sleep(200 * time.Millisecond)
		if _, _, notices := world.MessageCalls("two"); len(notices) > 0 {
			t.Errorf("%q: the next message ended with %v", extra, notices)
		}
	}
}

// TestEndpointIsIdentifiedByMoreThanAddress: idle connections to an address are not used any more after
// another endpoint has taken over the address or the same endpoint has restarted.
func TestEndpointIsIdentifiedByMoreThanAddress(t *testing.T) {
	for name, change := range map[string]func(entry *protocol.Endpoint){
		"another": func(entry *protocol.Endpoint) { entry.Host = "s-new" }, "endpoint restarted": func(entry *protocol.Endpoint) { entry.StartedAtMs = 7 },
		"same": func(*protocol.Endpoint) {},
	} {
		s := steppedServer(t, openWorld(t, 0), newMessage("one"), newMessage("two"))
		s.step()
		for len(s.messages) > 0 { // afterwards a connection is idle, as the answers differed
			s.handle(endpointEvent{waitForEvent(t, s, func(endpointconn.Event) bool { return true })})
			s.step()
		}
		var before protocol.Endpoint
		for _, entry := range s.endpoints {
			before = entry
		}
		if idle := s.endpointConns.Idle(peerOf(before)); idle != 1 {
			t.Fatalf("%d idle connections after a call", idle)
		}
		after := before
		change(&after)
		s.applyEndpoints(protocol.List{Complete: true, Hosts: []protocol.Endpoint{after}}, dispatch.CompleteList)
		if kept := s.endpointConns.Idle(peerOf(after)) == 1; kept != (name == "same") {
			t.Errorf("%s: connection kept: %v", name, kept)
		}
	}
}

// TestMisbehavingDiscovery: invalid and older lists do not replace the stored list and do not cause a tight
// polling loop.
func TestMisbehavingDiscovery(t *testing.T) {
	for name, answer := range map[string]string{"not JSON": "{", "older": `{"seq":0,"whole":true,"hosts":[]}`,
		"watch answered at once without changes": `{"seq":1,"whole":false,"hosts":[]}`, "unknown state": `{"seq":2,"whole":false,"hosts":[
			{"host":"s-0","dial":"127.0.0.1:1","site":"a","class":"plain","block":1,"health":"dancing","share":1}]}`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := openWorld(t, 0)
			var polls atomic.Int64
			world.ListOverride = func(int) string {
				if polls.Add(1) > 1 && name == "unknown state" {
					return "" // this list is sent only once
				}
				return answer
			}
			listen := startServer(t, world, 0)
			time.Sleep(500 * time.Millisecond)
			if n := polls.Load(); n < 1 || n > 10 {
				t.Errorf("%d polls in 500 ms", n)
			}
			submit(t, listen, "one")
			if got := waitForEnd(t, world, "one"); got != "done" {
				t.Errorf("message ended with %s", got)
			}
		})
	}
}

// TestTruncatedListIsPolledAgain: if a list breaks off or stalls, its readable entries are applied, and the
// list is polled again within the grace period of a drain.
func TestTruncatedListIsPolledAgain(t *testing.T) {
	for name, stuck := range map[string]bool{"breaks off": false, "gets stuck": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { listener.Close() })
			polls := make(chan time.Time, 10)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() { // a connection may come without a request
						if _, err := conn.Read(make([]byte, 4096)); err == nil {
							polls <- time.Now()
							fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"+`{"seq":9,"whole":false,"hosts":[
							{"host":"s-0","dial":"127.0.0.1:1","site":"a","class":"plain","block":1,"health":"terminating","share":1},{"ho`)
						}
						if stuck {
							t.Cleanup(func() { conn.Close() })
						} else {
							conn.Close()
						}
					}()
				}
			}()
			world := openWorld(t, 0)
			world.Discovery = listener.Addr().String()
			listen := startServer(t, world, 0)
			first, second := <-polls, <-polls
			if second.Sub(first) > 400*time.Millisecond {
				t.Errorf("polled again after %v", second.Sub(first))
			}
			submit(t, listen, "one")
			time.Sleep(200 * time.Millisecond)
			if began, _, _ := world.MessageCalls("one"); began > 0 {
				t.Error("sent to an endpoint whose drain is in the readable part of the list")
			}
		})
	}
}

// changeListed returns a function that applies a list in which all endpoints have changed.
func changeListed(change func(*protocol.Endpoint)) func(*Server) {
	return func(s *Server) {
		for _, entry := range s.endpoints {
			change(&entry)
			s.applyEndpoints(protocol.List{Hosts: []protocol.Endpoint{entry}}, dispatch.PartialList)
		}
	}
}

// TestDrainWhileDialingStopsSend: a call is not sent if a drain, removal or Retry-After arrives before its
// first byte, or if its endpoint is no longer the process at the address that was dialed.
func TestDrainWhileDialingStopsSend(t *testing.T) {
	for name, intervene := range map[string]func(s *Server){
		"wait":                func(s *Server) { s.retryAfter["1"] = s.now + 1000*1000 },
		"gone":                func(s *Server) { s.applyEndpoints(protocol.List{Complete: true}, dispatch.CompleteList) },
		"moved":               changeListed(func(entry *protocol.Endpoint) { entry.Address = "127.0.0.1:1" }),
		"restart":             changeListed(func(entry *protocol.Endpoint) { entry.StartedAtMs++ }),
		"another destination": changeListed(func(entry *protocol.Endpoint) { entry.Destination++ }),
		"nothing":             func(*Server) {},
		"drain": func(s *Server) {
			for _, entry := range s.endpoints {
				entry.Health = protocol.Draining
				s.applyEndpoints(protocol.List{Hosts: []protocol.Endpoint{entry}}, dispatch.PartialList)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			world := openWorld(t, 0)
			s := newTestServer(t, world, &spool.Message{ID: "one", Class: "order", Destination: 1, Deadline: time.Now().Add(time.Minute).UnixMicro()})
			driver, err := transport.Open(s.deployment.Listen, nil, 1024, s.log, s.clients.CanAccept, s.clients.Accept)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(driver.Close)
			s.driver = driver
			s.step()
			for opened := false; !opened; {
				var queued event
				select {
				case queued = <-s.queue:
				case <-time.After(5 * time.Second):
					t.Fatal("no connection within 5 s")
				}
				if event, ok := unwrap(queued).(endpointconn.Opened); ok && event.Conn.Peer().Address == world.Endpoints[0] {
					opened = true
					intervene(s)
				}
				s.handle(queued)
			}
			attempts := s.messages["one"].stored.Attempts
			if sent := attempts[0].Outcome != "void"; sent != (name == "nothing") {
				t.Errorf("got attempts %+v", attempts)
			}
		})
	}
}

// TestPoisonMessageDoesNotStopOthers: a message on which the dispatcher panics each time fails, and other
// messages are delivered.
func TestPoisonMessageDoesNotStopOthers(t *testing.T) {
	world := openWorld(t, 0)
	listen := startServer(t, world, 1000)
	if got := submit(t, listen, "bad", "next"); got[0] != "+OK" || got[1] != "+OK" {
		t.Fatal(got)
	}
	for id, want := range map[string]string{"bad": "undeliverable", "next": "done"} {
		if got := waitForEnd(t, world, id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
}

// TestAttemptsOfOneCallShareTimeout. Failure: one attempt of a call timed out while the call went on for
// the others.
func TestAttemptsOfOneCallShareTimeout(t *testing.T) {
	call := &call{attempts: []*attempt{{waitUntil: 900}, {waitUntil: 300}, {waitUntil: 700}}}
	if got := call.alignTimeouts(); got != 300 {
		t.Errorf("common timeout %d, want 300", got)
	}
	for i, attempt := range call.attempts {
		if attempt.waitUntil != 300 {
			t.Errorf("attempt %d times out at %d, want 300", i, attempt.waitUntil)
		}
	}
}

// TestSuccessorLostDuringHandoff. Failure: if the successor exited during the handoff, the state was handed
// over to it anyway, and no process ran the dispatcher.
func TestSuccessorLostDuringHandoff(t *testing.T) {
	s := newTestServer(t, openWorld(t, 0))
	if decision, reason := s.handoff.stateMachine.HelloReceived(&handoff.Hello{Version: handoff.Version, Courier: "n0"}); decision != handoff.HandOver {
		t.Fatal(reason)
	}
	s.handoff.handingOver = true
	if s.handoff.successorLost(); !s.handoff.reclaim {
		t.Error("the state was handed over to a successor that has exited")
	}
}

// TestInterimResponseInPieces: an interim answer received in two pieces does not shorten the timeout of the
// final answer.
func TestInterimResponseInPieces(t *testing.T) {
	world := openWorld(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	world.Endpoints = []string{listener.Addr().String()}
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		conn.Read(make([]byte, 4096))
		for _, p := range []struct {
			piece string
			pause time.Duration
		}{{"HTTP/1.1 1", 100 * time.Millisecond}, {"00 Go\r\n\r\n", 2 * answerTimeout * time.Microsecond}, {okAnswer, 0}} {
			if _, err := conn.Write([]byte(p.piece)); err != nil {
				ended <- err
				return
			}
			if p.pause > 0 { // the read times out unless the courier has closed the connection
				conn.SetReadDeadline(time.Now().Add(p.pause))
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
					ended <- fmt.Errorf("the courier closed the connection before its answer: %w", err)
					return
				}
			}
		}
		listener.(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := listener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			ended <- fmt.Errorf("the message was sent again after its answer: %w", err)
			return
		}
		ended <- nil
	}()
	listen := startServer(t, world, 0)
	submit(t, listen, "one")
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, _, notices := world.MessageCalls("one"); len(notices) > 0 {
		t.Errorf("message ended with %v", notices)
	}
}
