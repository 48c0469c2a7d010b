package server

import (
	"bufio"
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

// failing panics at the first message whose id begins so, each time or once.
type failing struct {
	dispatcher
	at    string
	times *int
}

func (f failing) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		var id dispatch.MessageID
		switch e := event.(type) {
		case dispatch.MessageAccepted:
			id = e.Message
		case dispatch.MessageRecovered:
			id = e.Message
		}
		if strings.HasPrefix(string(id), f.at) && *f.times > 0 {
			*f.times--
			panic("as if by a fault in the decisions")
		}
	}
	return f.dispatcher.Handle(now, events)
}

// prepare makes an event loop with what a spool may already hold.
func prepare(t *testing.T, world *scripted.World, held ...*spool.Message) *Server {
	t.Helper()
	return prepareEdited(t, world, func(text []byte) []byte { return text }, held...)
}

// prepareEdited is prepare by a configuration that edit may change.
func prepareEdited(t *testing.T, world *scripted.World, edit func(text []byte) []byte, held ...*spool.Message) *Server {
	t.Helper()
	dir := t.TempDir()
	listen, letGo, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(letGo)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, edit(world.Configuration("n0", listen)), 0o600); err != nil {
		t.Fatal(err)
	}
	dep, err := config.Load(func(key string) string { return map[string]string{"RELAY_CONFIG": path, "RELAY_STATE": dir}[key] })
	if err != nil {
		t.Fatal(err)
	}
	kept, _, _, err := spool.Open(dir, 1e6)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range held {
		if err := kept.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	clk, err := clock.Open(dir, clock.System(), 0)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(dep, kept, held, nil, clk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// serve runs an event loop in this process; its decisions fail so many times at messages whose ids begin with "bad".
func serve(t *testing.T, world *scripted.World, times int) (listen string) {
	t.Helper()
	r := prepare(t, world)
	begin := r.newDispatcher
	r.newDispatcher = func() dispatcher { return failing{begin(), "bad", &times} }
	r.dispatcher = failing{r.dispatcher, "bad", &times}
	return run(t, r)
}

// run runs an event loop until the test ends, and returns its address.
func run(t *testing.T, r *Server) (listen string) {
	t.Helper()
	stop, ended := make(chan struct{}), make(chan error)
	go func() { ended <- r.Run(stop, nil, 50*time.Millisecond) }()
	t.Cleanup(func() {
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r.deployment.Listen
}

// StartCourier runs a courier in this process by a configuration that edit may change, and returns its address.
func StartCourier(t *testing.T, world *scripted.World, edit func(text []byte) []byte) (listen string) {
	t.Helper()
	return run(t, prepareEdited(t, world, edit))
}

// handTo submits one message for a destination.
func handTo(t *testing.T, listen, id string, dest int) string {
	t.Helper()
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err.Error() // not up yet
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

func hand(t *testing.T, listen string, ids ...string) (replies []string) {
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

func open(t *testing.T, after time.Duration) *scripted.World {
	t.Helper()
	world, err := scripted.Open(1, func(string) scripted.Fate { return scripted.Fate{Status: 200, After: after} })
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
		_, done, notices := world.Seen(id)
		if len(notices) > 0 {
			return strings.Join(notices, ",")
		}
		if done > 0 {
			return "done"
		}
	}
	return "never"
}

// TestDispatcherRestartsAfterPanic: what is out when they fail may have run, and is not sent again.
func TestDispatcherRestartsAfterPanic(t *testing.T) {
	world := open(t, 300*time.Millisecond)
	listen := serve(t, world, 1)
	hand(t, listen, "out")
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if began, _, _ := world.Seen("out"); began > 0 {
			break
		}
	}
	if got := hand(t, listen, "bad", "next"); got[0] != "+OK" || got[1] != "+OK" {
		t.Fatal(got)
	}
	for id, want := range map[string]string{"out": "undeliverable", "bad": "done", "next": "done"} {
		if got := waitForEnd(t, world, id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if began, _, _ := world.Seen("out"); began != 1 {
		t.Errorf("begun %d times", began)
	}
}

// TestUnconfirmedNoticeIsRetried: a call that hangs holds up neither its own notice nor the next.
func TestUnconfirmedNoticeIsRetried(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Fate { return scripted.Fate{Status: 500} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	world.MuteNotices(1)
	listen := serve(t, world, 0)
	hand(t, listen, "first")
	began := time.Now()
	if got := waitForEnd(t, world, "first"); got != "undeliverable" || time.Since(began) > noticeTimeout*time.Microsecond {
		t.Errorf("first: %s after %v", got, time.Since(began))
	}
	hand(t, listen, "second")
	if got := waitForEnd(t, world, "second"); got != "undeliverable" {
		t.Errorf("second: %s", got)
	}
}

// misbehaving is an endpoint that answers its first call with raw bytes, and the next ones well. It tells the number of
// each call and the connection on which it came.
func misbehaving(t *testing.T, world *scripted.World, raw string, stays bool) (calls chan [2]int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	world.Endpoints = []string{l.Addr().String()}
	calls = make(chan [2]int, 100)
	var n atomic.Int64
	go func() {
		for up := 1; ; up++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for {
					if _, err := conn.Read(make([]byte, 4096)); err != nil {
						return
					}
					call := int(n.Add(1))
					calls <- [2]int{call, up}
					if call > 1 {
						conn.Write([]byte(okAnswer))
					} else if conn.Write([]byte(raw)); !stays {
						return
					}
				}
			}()
		}
	}()
	return calls
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestEndpointsThatMisbehave: what a raw answer means for a message that must not run twice, where the connection ends
// after it and where it stays: a malformed one has run, and nobody waits for the rest of it until no time is left. An end after a
// refusal that did not announce it is left out: the second call may have gone out on the connection by then, and may have run.
func TestEndpointsThatMisbehave(t *testing.T) {
	const ended, stays = 1, 2
	for raw, c := range map[string]struct {
		kinds int
		want  string
	}{
		"rubbish\r\n": {ended | stays, lost}, "": {ended, lost}, "HTTP/1.1 599 What\r\n\r\n": {ended | stays, lost},
		"noise with no end": {ended | stays, lost}, "HTTP/1.1 503 Full\r\nX: y\r\n": {stays, lost},
		"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\ncut":                      {ended | stays, lost},
		"HTTP/1.1 429 Full\r\nContent-Length: x\r\n\r\n":                       {ended | stays, lost},
		"HTTP/1.1 429 Full\r\nContent-Length: 3000000000\r\n\r\nand on and on": {ended | stays, lost},
		"HTTP/1.1 200 OK\r\nBad header\r\n\r\n":                                {ended | stays, done},
		"HTTP/1.1 200 OK\r\nContent-Le":                                        {ended | stays, done},
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncut":                      {ended | stays, done},
		"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n":                     {ended | stays, done},
		"HTTP/1.1 100 Go":   {ended | stays, lost},
		okAnswer + okAnswer: {ended | stays, done},
		okAnswer + "noise":  {ended | stays, done},
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + okAnswer:  {ended | stays, done},
		"HTTP/1.1 200 OK\r\nX-Load-Report: ?=;\r\nContent-Length: 0\r\n\r\n":    {ended | stays, done},
		"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n":                        {stays, again},
		"HTTP/1.1 503 Full\r\nConnection: close\r\n\r\nbody":                    {ended, again},
		"HTTP/1.1 504 No more\r\nContent-Length: 0\r\n\r\n":                     {stays, again},
		"HTTP/1.1 504 No more\r\nConnection: close\r\n\r\n":                     {ended, again},
		"HTTP/1.1 410 Over\r\nContent-Length: 0\r\n\r\n" + "xx":                 {ended | stays, done},
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n": {stays, again},
	} {
		for _, kind := range []int{ended, stays} {
			if c.kinds&kind == 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d %.40q", kind, raw), func(t *testing.T) {
				t.Parallel()
				answered(t, raw, kind == stays, c.want)
			})
		}
	}
}

// How a message that must not run twice goes on after an answer.
const lost, done, again = "undeliverable", "done", "second call"

// answered has an endpoint answer the first call for such a message with raw bytes, and holds what becomes of it against want.
func answered(t *testing.T, raw string, stays bool, want string) {
	t.Helper()
	world := open(t, 0)
	calls := misbehaving(t, world, raw, stays)
	listen := serve(t, world, 0)
	hand(t, listen, "one")
	<-calls
	got := done
	for deadline := time.Now().Add(1500 * time.Millisecond); time.Now().Before(deadline) && got == done; time.Sleep(10 * time.Millisecond) {
		if _, _, notices := world.Seen("one"); len(notices) > 0 {
			got = notices[0]
		} else if len(calls) > 0 {
			got = again
		}
	}
	if got != want {
		t.Fatalf("ended by %s, want %s", got, want)
	}
	if got == done { // it is over only if its id can be accepted anew
		hand(t, listen, "one")
		select {
		case <-calls:
		case <-time.After(2 * time.Second):
			t.Error("the message is still held")
		}
	}
}

// TestSilentAfterAnyByte: an endpoint falls silent, or leaves, after any byte of a good answer. Once the first line has come the
// message is done; before, it may have run and is not sent again.
func TestSilentAfterAnyByte(t *testing.T) {
	const answer, line = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", 17
	for at := 1; at <= len(answer); at++ {
		if at > line && at%6 != 0 && at != len(answer) {
			continue
		}
		want := lost
		if at >= line {
			want = done
		}
		for _, stays := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d %v", at, stays), func(t *testing.T) {
				t.Parallel()
				answered(t, answer[:at], stays, want)
			})
		}
	}
}

// TestDiscoverySilentAfterAnyByte: discovery falls silent, or leaves, in its first answer; what it has to tell is heard all the
// same, as it is asked again.
func TestDiscoverySilentAfterAnyByte(t *testing.T) {
	for _, part := range []int{0, 5, 16, 17, 40, 70, 99, 100} { // of a hundred of the answer; nought is nothing at all
		for _, stays := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d %v", part, stays), func(t *testing.T) {
				t.Parallel()
				world := open(t, 0)
				list := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s-9","dial":%q,"site":"a","class":"plain","block":2,`+
					`"health":"in_service","share":50.0,"born_ms":0}]}`, world.Endpoints[0])
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				world.Discovery = breakingOff(t, answer, len(answer)*part/100, stays)
				listen := serve(t, world, 0)
				waits := time.Now().Add(20 * time.Second)
				for n := 0; ; n++ {
					if time.Now().After(waits) {
						t.Fatal("the list was never heard")
					}
					if got := handTo(t, listen, fmt.Sprint("r", n), 2); got == "+OK" {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
}

// breakingOff is a discovery that writes so many bytes of its first answer and then falls silent or leaves; it answers the next
// calls whole and at once, and keeps those that come after a whole answer waiting.
func breakingOff(t *testing.T, answer string, at int, stays bool) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var asked atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for {
					if _, err := conn.Read(make([]byte, 4096)); err != nil {
						return
					}
					switch n := asked.Add(1); {
					case n == 1:
						if conn.Write([]byte(answer[:at])); !stays {
							return
						}
					case n == 2:
						conn.Write([]byte(answer))
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestBytesAfterAnswerCloseConnection: what comes after an answer is not taken for the answer to the next call, which goes over another
// connection. It may come with the answer or later.
func TestBytesAfterAnswerCloseConnection(t *testing.T) {
	for _, more := range []string{okAnswer, "noise", "\x00"} {
		world := open(t, 0)
		calls := misbehaving(t, world, okAnswer+more, true)
		listen := serve(t, world, 0)
		hand(t, listen, "one")
		first := <-calls
		time.Sleep(100 * time.Millisecond)
		hand(t, listen, "two")
		if second := <-calls; second[1] == first[1] {
			t.Errorf("%q: the next call went over the same connection", more)
		}
		time.Sleep(200 * time.Millisecond)
		if _, _, notices := world.Seen("two"); len(notices) > 0 {
			t.Errorf("%q: the next message ended by %v", more, notices)
		}
	}
}

// TestEndpointIsIdentifiedByMoreThanAddress: connections that rest lead to who was there. Once another endpoint has the address, or the same
// one has started again, calls go over new ones.
func TestEndpointIsIdentifiedByMoreThanAddress(t *testing.T) {
	for name, change := range map[string]func(entry *protocol.Endpoint){
		"another": func(entry *protocol.Endpoint) { entry.Host = "s-new" }, "started again": func(entry *protocol.Endpoint) { entry.StartedAtMs = 7 },
		"same": func(*protocol.Endpoint) {},
	} {
		r := steppedServer(t, open(t, 0), single("one"))
		r.step()
		for r.messages["one"] != nil { // its connection rests then
			r.handle(endpointEvent{until(t, r, func(endpointconn.Event) bool { return true })})
			r.step()
		}
		var before protocol.Endpoint
		for _, entry := range r.endpoints {
			before = entry
		}
		if idle := r.endpointConns.Idle(peerOf(before)); idle != 1 {
			t.Fatalf("%d idle connections after a call", idle)
		}
		after := before
		change(&after)
		r.applyEndpoints(protocol.List{Complete: true, Hosts: []protocol.Endpoint{after}}, dispatch.CompleteList)
		if kept := r.endpointConns.Idle(peerOf(after)) == 1; kept != (name == "same") {
			t.Errorf("%s: kept %v", name, kept)
		}
	}
}

// TestDiscoveryThatMisbehaves: bad and older answers leave the list that is held, and none is asked for in a circle.
func TestDiscoveryThatMisbehaves(t *testing.T) {
	for name, answer := range map[string]string{"not JSON": "{", "older": `{"seq":0,"whole":true,"hosts":[]}`,
		"nothing new at once": `{"seq":1,"whole":false,"hosts":[]}`, "unknown state": `{"seq":2,"whole":false,"hosts":[
			{"host":"s-0","dial":"127.0.0.1:1","site":"a","class":"plain","block":1,"health":"dancing","share":1}]}`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := open(t, 0)
			var asked atomic.Int64
			world.Lists = func(int) string {
				if asked.Add(1) > 1 && name == "unknown state" {
					return "" // it is notified once
				}
				return answer
			}
			listen := serve(t, world, 0)
			time.Sleep(500 * time.Millisecond)
			if n := asked.Load(); n < 1 || n > 10 {
				t.Errorf("asked %d times in half a second", n)
			}
			hand(t, listen, "one")
			if got := waitForEnd(t, world, "one"); got != "done" {
				t.Errorf("ended by %s", got)
			}
		})
	}
}

// TestTruncatedListIsPolledAgain: what a list that broke off or got stuck had begun to tell counts as reported, so what is there of it
// is heeded, and it is asked for again at once, within the grace of a drain.
func TestTruncatedListIsPolledAgain(t *testing.T) {
	for name, stuck := range map[string]bool{"breaks off": false, "gets stuck": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			asked := make(chan time.Time, 10)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := conn.Read(make([]byte, 4096)); err == nil {
						asked <- time.Now()
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"+`{"seq":9,"whole":false,"hosts":[
							{"host":"s-0","dial":"127.0.0.1:1","site":"a","class":"plain","block":1,"health":"terminating","share":1},{"ho`)
					}
					if stuck {
						t.Cleanup(func() { conn.Close() })
					} else {
						conn.Close()
					}
				}
			}()
			world := open(t, 0)
			world.Discovery = l.Addr().String()
			listen := serve(t, world, 0)
			first, second := <-asked, <-asked
			if second.Sub(first) > 400*time.Millisecond {
				t.Errorf("asked again after %v", second.Sub(first))
			}
			hand(t, listen, "one")
			time.Sleep(200 * time.Millisecond)
			if began, _, _ := world.Seen("one"); began > 0 {
				t.Error("sent to an endpoint that drains, as the part of the list that is there tells")
			}
		})
	}
}

// TestDrainWhileDialingStopsSend: what a drain or a wait overtakes before its first byte is not sent there any more.
func TestDrainWhileDialingStopsSend(t *testing.T) {
	for name, overtake := range map[string]func(r *Server){
		"wait":    func(r *Server) { r.retryAfter["1"] = r.now + 1000*1000 },
		"gone":    func(r *Server) { r.applyEndpoints(protocol.List{Complete: true}, dispatch.CompleteList) },
		"nothing": func(*Server) {},
		"drain": func(r *Server) {
			for _, entry := range r.endpoints {
				entry.Health = protocol.Draining
				r.applyEndpoints(protocol.List{Hosts: []protocol.Endpoint{entry}}, dispatch.PartialList)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			world := open(t, 0)
			r := prepare(t, world, &spool.Message{ID: "one", Class: "order", Destination: 1, Deadline: time.Now().Add(time.Minute).UnixMicro()})
			driver, err := transport.Open(r.deployment.Listen, nil, 1024, r.log, r.clients.CanAccept, r.clients.Accept)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(driver.Close)
			r.driver = driver
			r.step()
			for up := false; !up; {
				var what event
				select {
				case what = <-r.queue:
				case <-time.After(5 * time.Second):
					t.Fatal("no connection")
				}
				if event, ok := unwrap(what).(endpointconn.Opened); ok && event.Conn.Peer().Address == world.Endpoints[0] {
					up = true
					overtake(r)
				}
				r.handle(what)
			}
			attempts := r.messages["one"].stored.Attempts
			if sent := attempts[0].Outcome != "void"; sent != (name == "nothing") {
				t.Errorf("attempts %+v", attempts)
			}
		})
	}
}

// TestPoisonMessageDoesNotStopOthers: where the decisions fail over a message each time, it is ended and others go on.
func TestPoisonMessageDoesNotStopOthers(t *testing.T) {
	world := open(t, 0)
	listen := serve(t, world, 1000)
	if got := hand(t, listen, "bad", "next"); got[0] != "+OK" || got[1] != "+OK" {
		t.Fatal(got)
	}
	for id, want := range map[string]string{"bad": "undeliverable", "next": "done"} {
		if got := waitForEnd(t, world, id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
}

// TestAttemptsOfOneCallShareTimeout. Failure: one message of a call was given up while the call went on for the others.
func TestAttemptsOfOneCallShareTimeout(t *testing.T) {
	call := &call{attempts: []*attempt{{waitUntil: 900}, {waitUntil: 300}, {waitUntil: 700}}}
	if got := call.alignTimeouts(); got != 300 {
		t.Errorf("waited for until %d, not 300", got)
	}
	for i, attempt := range call.attempts {
		if attempt.waitUntil != 300 {
			t.Errorf("attempt %d is waited for until %d", i, attempt.waitUntil)
		}
	}
}

// TestSuccessorLostDuringHandoff. Failure: a successor that left while all was made ready for it was given it, and nobody decided any more.
func TestSuccessorLostDuringHandoff(t *testing.T) {
	r := prepare(t, open(t, 0))
	if do, why := r.handoff.machine.HelloReceived(&handoff.Hello{Version: handoff.Version, Courier: "n0"}); do != handoff.HandOver {
		t.Fatal(why)
	}
	r.handoff.handingOver = true
	if r.handoff.successorLost(); !r.handoff.reclaim {
		t.Error("all is given to one that has left")
	}
}

// TestInterimInPieces: an interim answer that comes in two pieces does not shorten the wait for the answer itself.
func TestInterimInPieces(t *testing.T) {
	world := open(t, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	world.Endpoints = []string{l.Addr().String()}
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
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
			time.Sleep(p.pause)
		}
		conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = conn.Read(make([]byte, 1)) // closed by the courier if it had given up
		ended <- err
	}()
	listen := serve(t, world, 0)
	hand(t, listen, "one")
	if err := <-ended; err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("the call was given up: %v", err)
	}
	if _, _, notices := world.Seen("one"); len(notices) > 0 {
		t.Errorf("ended by %v", notices)
	}
}
