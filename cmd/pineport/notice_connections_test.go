package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/scripted"
	"pineport/testbed/syscallfault"
)

// Failure: an accepted message was not delivered, and its notice reached discovery over 0.3 s after its deadline (rule lost). While a system
// call that opens connections failed for a moment, or new connections to discovery were silent, no notice could leave, because each
// call with notices opened a connection of its own.

// noticeSlack is how long after its deadline a message may end: 300 ms, and 50 ms between clocks.
const noticeSlack = 350 * time.Millisecond

// undeliverableLoad submits messages that no endpoint takes, each of which must end with a notice in time.
type undeliverableLoad struct {
	t         *testing.T
	conn      net.Conn
	replies   *bufio.Reader
	count     int
	deadlines map[string]time.Time
}

func newUndeliverableLoad(t *testing.T, address string) *undeliverableLoad {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &undeliverableLoad{t: t, conn: conn, replies: bufio.NewReader(conn), deadlines: map[string]time.Time{}}
}

// submitFor submits a message every 20 ms for a length of time.
func (l *undeliverableLoad) submitFor(length time.Duration) {
	l.t.Helper()
	const timeToLive = 600 * time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.count++
		class := []string{"update", "order"}[l.count%2]
		id := fmt.Sprintf("%s-%d", class, l.count)
		deadline := time.Now().Add(timeToLive)
		l.conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(l.conn, encodeEnqueue(id, class, int(timeToLive.Milliseconds())))
		reply, err := l.replies.ReadString('\n')
		if err != nil {
			l.t.Fatalf("%s got no reply: %v", id, err)
		}
		if strings.TrimSpace(reply) == "+OK" {
			l.deadlines[id] = deadline
		}
	}
}

// verify checks that each accepted message had its notice in time.
func (l *undeliverableLoad) verify(world *scripted.World) {
	l.t.Helper()
	if len(l.deadlines) < 20 {
		l.t.Errorf("only %d messages were accepted", len(l.deadlines))
	}
	late, missing, worst := 0, 0, time.Duration(0)
	for id, deadline := range l.deadlines {
		events := world.Events(id)
		noticed := time.Time{}
		for _, event := range events {
			if event.Kind == scripted.NoticeReceived && noticed.IsZero() {
				noticed = event.At
			}
		}
		switch lateness := noticed.Sub(deadline); {
		case noticed.IsZero():
			missing++
		case lateness > noticeSlack:
			late, worst = late+1, max(worst, lateness)
		}
	}
	if late > 0 || missing > 0 {
		l.t.Errorf("of %d messages, %d had no notice and %d a late one, at worst %v after the deadline", len(l.deadlines), missing, late, worst)
	}
}

// refusingWorld has an endpoint that refuses every call.
func refusingWorld(t *testing.T) *scripted.World {
	t.Helper()
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 503} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	return world
}

// TestNoticesInTimeWhileConnectionsFail lets each system call that opens a connection fail, from a moment at which no notice has been sent
// yet: notices must reach discovery in time all the same.
func TestNoticesInTimeWhileConnectionsFail(t *testing.T) {
	for _, fault := range []struct {
		call  string
		errno syscall.Errno
	}{
		{"socket", syscall.EMFILE}, {"socket", syscall.ENFILE}, {"socket", syscall.ENOBUFS}, {"connect", syscall.EADDRNOTAVAIL},
		{"connect", syscall.ENETUNREACH}, {"connect", syscall.ETIMEDOUT}, {"connect", syscall.EHOSTUNREACH}, {"dup", syscall.EMFILE},
	} {
		for _, length := range []time.Duration{800 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s %v for %v", fault.call, fault.errno, length), func(t *testing.T) {
				t.Parallel()
				world := refusingWorld(t)
				c := newCourier(t, world)
				var failing atomic.Bool
				child := c.startTraced([]string{fault.call}, func(*syscallfault.Call) syscallfault.Effect {
					if failing.Load() {
						return syscallfault.Effect{Errno: fault.errno}
					}
					return syscallfault.Effect{}
				})
				load := newUndeliverableLoad(t, c.listen)
				load.submitFor(580 * time.Millisecond)
				failing.Store(true)
				load.submitFor(length)
				failing.Store(false)
				load.submitFor(200 * time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
				if len(child.EffectCounts()) == 0 {
					t.Error("no system call failed")
				}
				load.verify(world)
			})
		}
	}
}

// TestNoticesInTimeWhileConnectionsFailBehindAStart lets connect fail right behind the start of a process, when no call to discovery has ended yet.
func TestNoticesInTimeWhileConnectionsFailBehindAStart(t *testing.T) {
	world := refusingWorld(t)
	c := newCourier(t, world)
	var failing atomic.Bool
	child := c.startTraced([]string{"connect"}, func(*syscallfault.Call) syscallfault.Effect {
		if failing.Load() {
			return syscallfault.Effect{Errno: syscall.EADDRNOTAVAIL}
		}
		return syscallfault.Effect{}
	})
	load := newUndeliverableLoad(t, c.listen)
	time.Sleep(100 * time.Millisecond)
	failing.Store(true)
	load.submitFor(1500 * time.Millisecond)
	failing.Store(false)
	time.Sleep(1500 * time.Millisecond)
	if len(child.EffectCounts()) == 0 {
		t.Error("no system call failed")
	}
	load.verify(world)
}

// forwarder passes connections on to a server. While it is paused, new connections come up and stay silent; open ones go on.
type forwarder struct {
	listener net.Listener
	upstream string
	paused   sync.RWMutex  // write-locked while paused
	latency  time.Duration // that each direction adds
}

func newForwarder(t *testing.T, upstream string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	f := &forwarder{listener: listener, upstream: upstream}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.forward(conn)
		}
	}()
	return f
}

func (f *forwarder) forward(conn net.Conn) {
	defer conn.Close()
	server, err := f.dial()
	if err != nil {
		return
	}
	defer server.Close()
	go copyDelayed(server, conn, f.latency)
	copyDelayed(conn, server, f.latency)
}

// copyDelayed copies from one connection to another until either ends. All bytes arrive later by the latency.
func copyDelayed(to, from net.Conn, latency time.Duration) {
	defer to.Close()
	type chunk struct {
		bytes []byte
		due   time.Time
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			chunks <- chunk{buffer[:n], time.Now().Add(latency)}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		to.Write(c.bytes) // an error means that the connection has ended, which the reader sees too
	}
}

// dial connects to the server, after the end of a pause.
func (f *forwarder) dial() (net.Conn, error) {
	f.paused.RLock()
	defer f.paused.RUnlock()
	return net.Dial("tcp", f.upstream)
}

// TestNoticesInTimeWhileNewConnectionsAreSilent: new connections to discovery are silent for a time, from a moment at which no notice has
// been sent yet. Notices must reach discovery in time over a connection that is already open, also if one call over such a connection is
// refused or not answered.
func TestNoticesInTimeWhileNewConnectionsAreSilent(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		for _, fault := range []faultproxy.Fault{faultproxy.None, faultproxy.Unavailable, faultproxy.NoResponse} {
			t.Run(fmt.Sprintf("%v, %v", length, fault), func(t *testing.T) {
				t.Parallel()
				world := refusingWorld(t)
				var isSilent, struck atomic.Bool
				faults, err := faultproxy.Open(world.Discovery, func(call faultproxy.Call) faultproxy.FaultSpec {
					if call.IsPoll() || !isSilent.Load() || struck.Swap(true) {
						return faultproxy.FaultSpec{}
					}
					return faultproxy.FaultSpec{Fault: fault}
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(faults.Close)
				proxy := newForwarder(t, faults.Address)
				world.Discovery = proxy.listener.Addr().String()
				c := newCourier(t, world)
				c.start()
				load := newUndeliverableLoad(t, c.listen)
				load.submitFor(580 * time.Millisecond)
				proxy.paused.Lock()
				isSilent.Store(true)
				load.submitFor(length)
				isSilent.Store(false)
				proxy.paused.Unlock()
				load.submitFor(200 * time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
				load.verify(world)
			})
		}
	}
}

// TestNoticesInTimeWhileHeldUp guards against notices that wait for a new connection until a hold-up of the process leaves them no time: new
// connections to discovery are silent, the way there takes as long as the platform's longest, and the process is held up about once a second.
func TestNoticesInTimeWhileHeldUp(t *testing.T) {
	const (
		latency  = 100 * time.Millisecond // half of the longest round trip
		holdUp   = 150 * time.Millisecond
		interval = 700 * time.Millisecond
		length   = 3 * time.Second
	)
	for _, isHeldUp := range []bool{false, true} {
		t.Run(fmt.Sprintf("held up %v", isHeldUp), func(t *testing.T) {
			t.Parallel()
			world := refusingWorld(t)
			proxy := newForwarder(t, world.Discovery)
			proxy.latency = latency
			world.Discovery = proxy.listener.Addr().String()
			c := newCourier(t, world)
			child := c.startTraced(nil, nil)
			load := newUndeliverableLoad(t, c.listen)
			load.submitFor(2 * time.Second)
			proxy.paused.Lock()
			if isHeldUp {
				for at := time.Duration(0); at < length; at += interval {
					time.AfterFunc(at, func() { child.HoldUp(holdUp) })
				}
			}
			load.submitFor(length)
			proxy.paused.Unlock()
			time.Sleep(1500 * time.Millisecond)
			load.verify(world)
		})
	}
}
