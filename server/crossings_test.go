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
	"pineport/spool"
	"pineport/testbed/port"
	"pineport/testbed/scripted"
	"pineport/transport"
)

// The crossings of docs/crossings.md, each forced: a test steps the router by hand and takes what came off its inbox itself, so that
// its own peer can write, close or reset between two lines.

// byHand makes a router with sockets, whose turns and events are the test's.
func byHand(t *testing.T, w *scripted.World, held ...*spool.Record) *Router {
	t.Helper()
	r := prepare(t, w, held...)
	driver, err := transport.Open(r.dep.Listen, nil, 1024, r.log, r.clients.admit, r.clients.accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ended := make(chan struct{})
		go func() { // handlers must not wait for a router that steps no more
			for {
				select {
				case <-r.inbox:
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

// until takes what comes, a step after each, up to the first event that is wanted; that one is not taken.
func until[E any](t *testing.T, r *Router, wanted func(E) bool) (e E) {
	t.Helper()
	waits := time.After(10 * time.Second)
	for {
		select {
		case what := <-r.inbox:
			if e, ok := what.(E); ok && wanted(e) {
				return e
			}
			r.dispatch(what)
			r.step()
		case <-waits:
			t.Fatalf("no %T came", e)
		}
	}
}

// toEndpoint tells whether a link leads to an endpoint of the world.
func toEndpoint(l *link) bool { return l.peer.host != "" }

func single(id string) *spool.Record {
	return &spool.Record{ID: id, Workload: "order", Dest: 1, CutOff: time.Now().Add(time.Minute).UnixMicro()}
}

// onDisk is what a process that started now would find of a message.
func onDisk(t *testing.T, r *Router, id string) *spool.Record {
	t.Helper()
	all, _, err := spool.Inspect(r.dep.Spool)
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

// TestUntriedUntilItLeaves. Failure: killed while the connection came up, a message that was never sent came back as one that may have
// run, and was given up with no call if it may not be repeated.
func TestUntriedUntilItLeaves(t *testing.T) {
	r := byHand(t, open(t, 0), single("one"))
	r.step()
	up := until(t, r, func(e linkUp) bool { return toEndpoint(e.on) })
	if rec := onDisk(t, r, "one"); len(rec.Trips) > 0 {
		t.Errorf("before anything was sent a restart would find %+v", rec.Trips)
	}
	r.dispatch(up)
	if rec := onDisk(t, r, "one"); len(rec.Trips) != 1 || rec.Trips[0].Outcome != "" || rec.Trips[0].Endpoint != "s-0" {
		t.Errorf("once it was sent a restart would find %+v", rec.Trips)
	}
}

// TestNeverUpIsNoted: an attempt that failed before anything was sent stands in the spool with its outcome, so that those after it keep
// their numbers.
func TestNeverUpIsNoted(t *testing.T) {
	w := open(t, 0)
	r := byHand(t, w, single("one"))
	r.step()
	up := until(t, r, func(e linkUp) bool { return toEndpoint(e.on) })
	r.dispatch(linkDown{on: up.on, err: errLate})
	if rec := onDisk(t, r, "one"); len(rec.Trips) != 1 || rec.Trips[0].Outcome != "unreachable" {
		t.Errorf("a restart would find %+v", rec.Trips)
	}
}

// TestCalledOffBeforeItLeft. Failure: an attempt that was called off while its connection came up passed for one that may have run, and
// its message could not go again; put together when it was decided, a call for several went out with it all the same.
func TestCalledOffBeforeItLeft(t *testing.T) {
	r := byHand(t, open(t, 0), single("one"), single("two"))
	var calls []*call
	r.dep.Charter.EndpointTypes[0].MaxPerCall = 5
	for _, id := range []dispatch.MessageID{"one", "two"} {
		calls = r.load(calls, dispatch.Send{Message: id, Endpoint: "s-0", Timeout: 5 * 1000 * 1000})
	}
	if len(calls) != 1 || len(calls[0].attempts) != 2 {
		t.Fatalf("%d calls", len(calls))
	}
	r.events = nil
	r.start(calls[0])
	up := until(t, r, func(e linkUp) bool { return toEndpoint(e.on) })
	r.cancel(dispatch.Cancel{Message: "one", Attempt: 0})
	if s := r.events[len(r.events)-1].(dispatch.AttemptFinished); s.Outcome != dispatch.Unprocessed {
		t.Errorf("never sent, and called off as %v", s.Outcome)
	}
	r.dispatch(up)
	if c := calls[0]; len(c.attempts) != 1 || c.attempts[0].message.kept.ID != "two" || c.exchange.whole {
		t.Errorf("it went out with %d trips, whole %v", len(c.attempts), c.exchange.whole)
	}
	if rec := onDisk(t, r, "one"); len(rec.Trips) != 1 || rec.Trips[0].Outcome != "void" {
		t.Errorf("of the one called off a restart would find %+v", rec.Trips)
	}
}

// stop has the poller stand still until goOn is called: what comes lies in the sockets.
func stop(t *testing.T, r *Router) (goOn func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := &standing{make(chan struct{}), make(chan struct{})}
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

// standing is a connection whose handler stands still.
type standing struct{ stands, goOn chan struct{} }

func (*standing) Opened(*transport.Conn)        {}
func (*standing) Closed(*transport.Conn, error) {}

func (h *standing) Data(*transport.Conn, []byte) {
	close(h.stands)
	<-h.goOn
}

// visitor is a client of the test's.
type visitor struct {
	*net.TCPConn
	in *bufio.Reader
}

func visit(t *testing.T, r *Router) *visitor {
	t.Helper()
	conn, err := net.Dial("tcp", r.dep.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	r.dispatch(until(t, r, func(*client) bool { return true }))
	return &visitor{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func enqueue(id string) string {
	return fmt.Sprintf("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$21\r\nc=order,d=8000,dest=1\r\n$1\r\nx\r\n", len(id), id)
}

// asks writes a request and waits until it lies at the router, untaken.
func (v *visitor) asks(t *testing.T, r *Router, id string) commands {
	t.Helper()
	io.WriteString(v, enqueue(id))
	return until(t, r, func(commands) bool { return true })
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
func raw(t *testing.T, w *scripted.World) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w.Endpoints = []string{l.Addr().String()}
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

// sent has a router send what it holds to the test's endpoint, and reads it there.
func sent(t *testing.T, r *Router, l *net.TCPListener) *net.TCPConn {
	t.Helper()
	r.step()
	r.dispatch(until(t, r, func(e linkUp) bool { return toEndpoint(e.on) }))
	return called(t, l)
}

// TestAnEndThatCrossesACall. Failure: an endpoint ended a connection at rest just as the next call was written to it; the call may have
// run for all one knew, and what may not be repeated was given up. Now it goes over a new connection.
func TestAnEndThatCrossesACall(t *testing.T) {
	w := open(t, 0)
	l := raw(t, w)
	r := byHand(t, w, single("one"))
	conn := sent(t, r, l)
	io.WriteString(conn, okAnswer)
	r.dispatch(until(t, r, func(e linkAnswer) bool { return toEndpoint(e.on) }))
	r.step()
	goOn := stop(t, r)
	conn.CloseWrite()
	if !port.Arrived(conn) {
		t.Fatal("its end never arrived")
	}
	if err := r.spool.Take(single("two")); err != nil {
		t.Fatal(err)
	}
	r.recover([]*spool.Record{single("two")}, nil)
	r.step()
	if out := r.messages["two"].attempts; len(out) != 1 || out[0].call.exchange.sent {
		t.Fatalf("%d trips; written to what had ended", len(out))
	}
	goOn()
	r.dispatch(until(t, r, func(e linkUp) bool { return toEndpoint(e.on) }))
	io.WriteString(called(t, l), okAnswer)
	r.dispatch(until(t, r, func(e linkAnswer) bool { return toEndpoint(e.on) }))
	if r.step(); r.messages["two"] != nil {
		t.Error("not delivered")
	}
}

// TestAnAnswerThatCrossesItsTime. Failure: an answer that lay at the router, untaken, as the time for it ran out, or as its attempt was called
// off, passed for none; a delivered message was sent again, or given up.
func TestAnAnswerThatCrossesItsTime(t *testing.T) {
	for name, cross := range map[string]func(r *Router, attempt *attempt){
		"overdue":    func(r *Router, attempt *attempt) { r.overdue(attempt) },
		"called off": func(r *Router, attempt *attempt) { r.cancel(dispatch.Cancel{Message: "one"}) },
	} {
		t.Run(name, func(t *testing.T) {
			w := open(t, 0)
			l := raw(t, w)
			r := byHand(t, w, single("one"))
			io.WriteString(sent(t, r, l), okAnswer)
			answer := until(t, r, func(e linkAnswer) bool { return toEndpoint(e.on) })
			attempt := r.messages["one"].attempts[0]
			cross(r, attempt)
			if attempt.over {
				t.Error("ended although its answer is here")
			}
			r.dispatch(answer)
			if s, ok := r.events[len(r.events)-1].(dispatch.AttemptFinished); !ok || s.Outcome != dispatch.Delivered {
				t.Errorf("ended as %+v", r.events)
			}
		})
	}
}

// TestAnAnswerUnreadAtItsTime. Failure: an answer that lay in the socket as the time for it ran out passed for none. Where it is none, or
// not whole, the attempt ends a moment later, whatever comes on and on.
func TestAnAnswerUnreadAtItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		bytes string
		want  dispatch.Outcome
	}{
		"whole": {okAnswer, dispatch.Delivered}, "its first line": {okAnswer[:17], dispatch.Delivered}, "half a line": {"HTTP/1.1 2", dispatch.Failure},
		"nothing": {"", dispatch.TimedOut},
	} {
		for how, cross := range map[string]func(r *Router, attempt *attempt){
			"overdue":    func(r *Router, attempt *attempt) { r.overdue(attempt) },
			"called off": func(r *Router, attempt *attempt) { r.cancel(dispatch.Cancel{Message: "one"}) },
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				w := open(t, 0)
				l := raw(t, w)
				r := byHand(t, w, single("one"))
				conn := sent(t, r, l)
				attempt := r.messages["one"].attempts[0]
				for attempt.call.exchange.link.conn.Stirs() { // its handler may still be telling that it is up
					time.Sleep(100 * time.Microsecond)
				}
				goOn := stop(t, r)
				io.WriteString(conn, c.bytes)
				if !port.Arrived(conn) {
					t.Fatal("it never arrived")
				}
				r.events, r.now = nil, r.clock()
				if cross(r, attempt); attempt.over != (c.bytes == "") {
					t.Fatalf("over %v at its time", attempt.over)
				}
				goOn()
				want := c.want
				if c.bytes == "" && how == "called off" {
					want = dispatch.Canceled
				}
				for read := c.bytes == ""; !read; {
					var what any
					select {
					case what = <-r.inbox:
					case <-time.After(10 * time.Second):
						t.Fatal("it is never read")
					}
					switch e := what.(type) {
					case linkAnswer:
						read = toEndpoint(e.on)
					case linkBegun:
						read = toEndpoint(e.on)
					}
					r.dispatch(what)
				}
				for range 3 { // as what has begun may take a moment too
					if r.now = max(r.clock(), attempt.limit); !attempt.over {
						r.overdue(attempt)
					}
				}
				for _, e := range r.events {
					if s, ok := e.(dispatch.AttemptFinished); ok && s.Outcome == want {
						return
					}
				}
				t.Errorf("ended as %+v, want %v", r.events, want)
			})
		}
	}
}

// TestWhatStaysUnreadGainsAMoment: and no more, or a peer that sends on and on would never be given up.
func TestWhatStaysUnreadGainsAMoment(t *testing.T) {
	w := open(t, 0)
	l := raw(t, w)
	r := byHand(t, w, single("one"))
	conn := sent(t, r, l)
	stop(t, r)
	io.WriteString(conn, okAnswer)
	if !port.Arrived(conn) {
		t.Fatal("it never arrived")
	}
	attempt := r.messages["one"].attempts[0]
	r.now = attempt.limit
	if r.overdue(attempt); attempt.over || attempt.limit != r.now+recheckAfter {
		t.Fatalf("over %v, waited for %d us longer", attempt.over, attempt.limit-r.now)
	}
	r.now = attempt.limit
	if r.overdue(attempt); !attempt.over {
		t.Error("waited for on and on")
	}
}

// TestAWordBeforeTheCall: an endpoint that speaks first is told of once and gets nothing; nothing of the call has run.
func TestAWordBeforeTheCall(t *testing.T) {
	w := open(t, 0)
	l := raw(t, w)
	r := byHand(t, w, single("one"))
	r.step()
	up := until(t, r, func(e linkUp) bool { return toEndpoint(e.on) })
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, okAnswer)
	down := until(t, r, func(e linkDown) bool { return toEndpoint(e.on) })
	r.dispatch(up)
	if !errors.Is(down.err, errUnasked) {
		t.Errorf("ended by %v", down.err)
	}
	r.dispatch(down)
	if rec := onDisk(t, r, "one"); len(rec.Trips) != 1 || rec.Trips[0].Outcome != "unreachable" {
		t.Errorf("a restart would find %+v", rec.Trips)
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		t.Error("the call was written all the same")
	}
	if r.step(); r.messages["one"] == nil || r.messages["one"].ended {
		t.Error("given up, though it never ran")
	}
}

// TestNotSentUnlessNoted: what the disk does not take is not sent, as a restart would not know of it.
func TestNotSentUnlessNoted(t *testing.T) {
	w := open(t, 0)
	l := raw(t, w)
	r := byHand(t, w, single("one"))
	r.step()
	up := until(t, r, func(e linkUp) bool { return toEndpoint(e.on) })
	r.spool.Close()
	r.dispatch(up)
	attempt := r.messages["one"].attempts[0]
	if !attempt.over || attempt.call.exchange.sent {
		t.Errorf("over %v, sent %v", attempt.over, attempt.call.exchange.sent)
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r.links.closeResting()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("%d bytes came, then %v", n, err)
	}
}

// TestHandedInTwiceAtOnce. Failure: a request sent again over a new connection in the step that accepted it was promised what went with
// the first connection as that ended, or what was refused in that step.
func TestHandedInTwiceAtOnce(t *testing.T) {
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
			r := byHand(t, open(t, 0))
			if c.busy {
				r.courier = refusing{}
			}
			first, second := visit(t, r), visit(t, r)
			one := first.asks(t, r, "one")
			two := second.asks(t, r, "one")
			r.dispatch(one)
			r.dispatch(two)
			stay := []*visitor{first, second}
			if c.gone > 0 {
				stay[c.gone-1].SetLinger(0)
				stay[c.gone-1].Close()
				from := []commands{one, two}[c.gone-1].from
				for gone := false; !gone; { // no step in between
					what := <-r.inbox
					e, ok := what.(clientGone)
					gone = ok && e.from == from
					r.dispatch(what)
				}
				stay = []*visitor{stay[2-c.gone]}
			}
			r.step()
			for _, v := range stay {
				if got := v.reply(); got != c.want {
					t.Errorf("told %q", got)
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

// TestBothGoneBeforeTheTurn: what nobody waits for any more, and nobody was told of, is nobody's.
func TestBothGoneBeforeTheTurn(t *testing.T) {
	r := byHand(t, open(t, 0))
	first, second := visit(t, r), visit(t, r)
	one, two := first.asks(t, r, "one"), second.asks(t, r, "one")
	for _, e := range []any{one, two, clientGone{one.from}, clientGone{two.from}} {
		r.dispatch(e)
	}
	if r.step(); onDisk(t, r, "one") != nil || r.messages["one"] != nil {
		t.Error("still held")
	}
}

// TestHandedInOnceMoreAfterItsEnd. Failure: a reset took away a reply that the socket had; the request came once more, was over by then, and
// was accepted anew: a second effect.
func TestHandedInOnceMoreAfterItsEnd(t *testing.T) {
	w := open(t, 0)
	r := byHand(t, w)
	first := visit(t, r)
	r.dispatch(first.asks(t, r, "one"))
	r.step()
	first.SetLinger(0) // whatever reply it had is gone
	first.Close()
	for r.messages["one"] != nil {
		r.dispatch(until(t, r, func(e linkAnswer) bool { return toEndpoint(e.on) }))
		r.step()
	}
	second := visit(t, r)
	r.dispatch(second.asks(t, r, "one"))
	r.step()
	if got := second.reply(); got != "+OK" || r.messages["one"] != nil {
		t.Errorf("told %q, held again %v", got, r.messages["one"] != nil)
	}
	if began, _, _ := w.Seen("one"); began != 1 {
		t.Errorf("%d calls", began)
	}
}

// TestEndsAreForgotten: ids of what is over are known for as long as a client may come with them once more, and never too many.
func TestEndsAreForgotten(t *testing.T) {
	var o over
	for i := range 3 * overMost {
		o.add(&message{kept: &spool.Record{ID: fmt.Sprint(i)}, acceptedAt: 5}, 5)
	}
	if len(o.until) > overMost || len(o.order) > overMost || !o.has(dispatch.MessageID(fmt.Sprint(3*overMost-1)), 5) {
		t.Errorf("%d ids, %d in order", len(o.until), len(o.order))
	}
	if o.has(dispatch.MessageID(fmt.Sprint(3*overMost-1)), 5+onceMore) {
		t.Error("known for ever")
	}
	o.add(&message{kept: &spool.Record{ID: "late"}, acceptedAt: 5}, 5+onceMore)
	if len(o.until) > 0 || len(o.order) > 0 {
		t.Errorf("%d ids are left", len(o.until))
	}
}

// leave steps a router to its end, or until cross says that it has seen enough, and tells whether it ended.
func leave(t *testing.T, r *Router, cross func() bool) bool {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
		r.gather()
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

// tell has a router end now.
func tell(r *Router) { r.now, r.endBy = r.clock(), r.clock() }

// TestARequestThatCrossesTheEnd. Failure: what lay in a socket at the last look was reset as the process ended; the client had no answer.
func TestARequestThatCrossesTheEnd(t *testing.T) {
	w := open(t, 0)
	r := byHand(t, w)
	v := visit(t, r)
	goOn := stop(t, r)
	tell(r)
	io.WriteString(v, enqueue("one"))
	if !port.Arrived(v) {
		t.Fatal("it never arrived")
	}
	looked := false
	if leave(t, r, func() bool { // up to the first look after the last connection may have come in
		looked = r.leaving && r.endBy == r.now+shutEvery
		return looked
	}) {
		t.Fatal("it ended over an unread request")
	}
	goOn()
	if !leave(t, r, neverMind) {
		t.Fatal("it never ended")
	}
	if got := v.reply(); got != "+OK" {
		t.Errorf("told %q", got)
	}
	if began, _, _ := w.Seen("one"); began == 0 && onDisk(t, r, "one") == nil {
		t.Error("promised, and not kept")
	}
}

// TestAFirstRequestThatCrossesTheEnd. Failure: a connection that had come just before the end was closed while its first request was on
// its way.
func TestAFirstRequestThatCrossesTheEnd(t *testing.T) {
	r := byHand(t, open(t, 0))
	v := visit(t, r)
	tell(r)
	if leave(t, r, func() bool { return r.leaving }) {
		t.Fatal("it ended at once")
	}
	io.WriteString(v, enqueue("one"))
	if !leave(t, r, neverMind) {
		t.Fatal("it never ended")
	}
	if got := v.reply(); got != "+OK" {
		t.Errorf("told %q", got)
	}
}

// TestANewcomerIsSentAwayLater: half a second after it was told to end, a process sends clients away; who has just come is answered first, and
// sent away too.
func TestANewcomerIsSentAwayLater(t *testing.T) {
	r := byHand(t, open(t, 0))
	rests := visit(t, r)
	for r.clock()-r.now <= newcomer {
		time.Sleep(time.Millisecond)
	}
	r.now = r.clock()
	v := visit(t, r)
	r.now = r.clock()
	r.partAt, r.endBy = r.now, r.now+hour
	if r.mayExit() {
		t.Fatal("it ended")
	}
	if got := rests.reply(); got != io.EOF.Error() {
		t.Errorf("the one at rest: %s", got)
	}
	r.dispatch(v.asks(t, r, "one"))
	r.step()
	if got := v.reply(); got != "+OK" {
		t.Errorf("told %q", got)
	}
	for r.partAt < never {
		if r.now = r.clock(); r.mayExit() {
			t.Fatal("it ended")
		}
		time.Sleep(time.Millisecond)
	}
	if got := v.reply(); got != io.EOF.Error() {
		t.Errorf("afterwards: %s", got)
	}
}

// TestNobodyHoldsUpTheEnd: a client with half a command, one that reads nothing and one that asks on and on do not keep a process that
// ends; whoever rests is closed without a reset.
func TestNobodyHoldsUpTheEnd(t *testing.T) {
	r := byHand(t, open(t, 0))
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
	if took := r.clock() - began; took > 20*(lastWords+lastChance) {
		t.Errorf("it took %d us", took)
	}
	if got := rests.reply(); got != io.EOF.Error() {
		t.Errorf("the one at rest: %s", got)
	}
	floods.Close()
	<-flooding
}

// TestCutAgainAndAgain. Failure: a list that broke off each time was asked for thirty times a second by each courier.
func TestCutAgainAndAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	w := open(t, 0)
	w.Discovery = l.Addr().String()
	r := byHand(t, w)
	p := &r.platform
	ask := func(answer string) {
		t.Helper()
		r.now = max(r.clock(), p.askAt)
		p.watch()
		x := p.watching
		for !x.sent {
			r.dispatch(<-r.inbox)
		}
		conn := called(t, l.(*net.TCPListener))
		io.WriteString(conn, answer)
		conn.Close()
		for p.watching == x {
			r.dispatch(<-r.inbox)
		}
	}
	const cut = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":9,\"whole\":false,\"hosts\":["
	last := dispatch.Micros(0)
	for n := range 8 {
		ask(cut)
		pause := p.askAt - r.now
		if pause < last || pause > askAgain || n == 0 && pause != cutAgain || n == 7 && pause != askAgain {
			t.Errorf("cut off %d times, asked again after %d us", n+1, pause)
		}
		last = pause
	}
	list := `{"seq":10,"whole":false,"hosts":[]}`
	ask(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list))
	if p.cuts != 0 {
		t.Errorf("after a whole list %d cuts still count", p.cuts)
	}
}

// TestAListThatCrossesAMove: a reload moves discovery while the old one's answer lies at the router, untaken; it is not taken for the new
// one's, and the new one is asked.
func TestAListThatCrossesAMove(t *testing.T) {
	w := open(t, 0)
	r := byHand(t, w)
	ofDiscovery := func(l *link) bool { return !toEndpoint(l) }
	r.platform.seq = 0
	r.platform.watch()
	r.dispatch(until(t, r, func(e linkUp) bool { return ofDiscovery(e.on) }))
	answer := until(t, r, func(e linkAnswer) bool { return ofDiscovery(e.on) })
	if _, err := w.Move(); err != nil {
		t.Fatal(err)
	}
	next := *r.dep
	next.Discovery = w.Discovery
	r.dispatch(&next)
	watching := r.platform.watching
	r.dispatch(answer)
	if r.platform.watching != watching || watching == nil || watching.peer.addr != w.Discovery || r.platform.seq != 0 {
		t.Errorf("watching %+v, version %d", r.platform.watching, r.platform.seq)
	}
	r.dispatch(until(t, r, func(e linkUp) bool { return ofDiscovery(e.on) }))
	r.dispatch(until(t, r, func(e linkAnswer) bool { return ofDiscovery(e.on) }))
	if r.platform.seq == 0 {
		t.Error("the new one was not heard")
	}
}

// TestAReloadThatCrossesAnUpgrade. Failure: settings read anew while another process had taken over were gone once that died, and this one
// went on by the old ones.
func TestAReloadThatCrossesAnUpgrade(t *testing.T) {
	r := byHand(t, open(t, 0))
	r.upgrade.handed = true
	var told *config.Deployment
	r.Reloaded(func(dep *config.Deployment) { told = dep })
	next := *r.dep
	next.Discovery = "127.0.0.1:9"
	r.dispatch(&next)
	if told == nil || told.Discovery != next.Discovery {
		t.Errorf("the next router here begins with %+v", told)
	}
	if r.platform.watching != nil {
		t.Error("it asks discovery, which the other process does")
	}
}

// TestLookedAtWhileItReads. Failure: as all was made ready for another process, it was read from a parser which the poller was feeding.
func TestLookedAtWhileItReads(t *testing.T) {
	r := byHand(t, open(t, 0))
	v := visit(t, r)
	text := enqueue("one")
	if !r.clients.resting() {
		t.Error("not at rest before its request")
	}
	for at := range len(text) - 1 {
		io.WriteString(v, text[at:at+1])
		for deadline := time.Now().Add(5 * time.Second); r.clients.resting(); {
			if time.Now().After(deadline) {
				t.Fatalf("at rest with %d bytes of a command", at+1)
			}
		}
	}
	io.WriteString(v, text[len(text)-1:])
	r.dispatch(until(t, r, func(commands) bool { return true }))
	if r.clients.resting() {
		t.Error("at rest before its reply")
	}
	r.step()
	if got := v.reply(); got != "+OK" || !r.clients.resting() {
		t.Errorf("told %q; at rest %v", got, r.clients.resting())
	}
}
