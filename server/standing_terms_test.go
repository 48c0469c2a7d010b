package server_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineport/server"
	"pineport/testbed/port"
	"pineport/testbed/scripted"
)

// Terms of the acceptance that hold whatever else is allowed; docs/crossings.md has a row for each. These tests see the courier
// from outside: its address, its configuration and what its peers are asked.

// toldWithin is when a change counts as reported at the latest, after discovery had it and could be reached.
const changeDeadline = 6 * time.Second

// failure is one way in which a call to discovery fails. It is handed the call's connection, and tells whether that is kept
// open and silent.
type failure func(conn *net.TCPConn, request *bufio.Reader) (stays bool)

// readRequest reads the head of a call; it has no body.
func readRequest(in *bufio.Reader) error {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

// answering writes a text once the call has been read, and then closes or falls silent.
func answering(text string, stays bool) failure {
	return func(conn *net.TCPConn, request *bufio.Reader) bool {
		if readRequest(request) != nil {
			return false
		}
		io.WriteString(conn, text)
		return stays
	}
}

func resetting(afterRequest bool) failure {
	return func(conn *net.TCPConn, request *bufio.Reader) bool {
		if afterRequest && readRequest(request) != nil {
			return false
		}
		conn.SetLinger(0)
		return false
	}
}

const (
	halfAList   = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":9,\"whole\":false,\"hosts\":["
	serverError = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	noList      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"
	interim     = "HTTP/1.1 102 Processing\r\n\r\n"
)

// failures are the ways in which discovery is unwell, one call after the other; none means that connections are refused.
var failures = map[string][]failure{
	"refuses":                   nil,
	"resets new connections":    {resetting(false)},
	"resets under the call":     {resetting(true)},
	"answers errors":            {answering(serverError, true)},
	"answers what is no list":   {answering(noList, true)},
	"hangs":                     {answering("", true)},
	"hangs after an interim":    {answering(interim, true)},
	"breaks off lists":          {answering(halfAList, false)},
	"lists get stuck":           {answering(halfAList, true)},
	"all of it, one by one":     {answering(serverError, true), resetting(true), answering(halfAList, false), resetting(false), answering("", true), answering(halfAList, true)},
	"resets and hangs in turns": {resetting(true), answering("", true)},
}

// moodyDiscovery fails all calls until it recovers; from then on it has a change, and answers each new call with it at once.
// Calls that hang by then stay as they are.
type moodyDiscovery struct {
	addr      string
	fails     []failure
	calls     atomic.Int64
	recovered atomic.Bool
	list      string // the whole list, with the change
	mu        sync.Mutex
	listener  net.Listener
	conns     []net.Conn
}

func (d *moodyDiscovery) listen() error {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, conn)
			d.mu.Unlock()
			go d.serve(conn.(*net.TCPConn))
		}
	}()
	return nil
}

func (d *moodyDiscovery) serve(conn *net.TCPConn) {
	in := bufio.NewReader(conn)
	for !d.recovered.Load() {
		n := int(d.calls.Add(1)) - 1
		if !d.fails[n%len(d.fails)](conn, in) {
			conn.Close()
			return
		}
		if _, err := in.Peek(1); err != nil { // silent until the next call comes over it
			conn.Close()
			return
		}
	}
	defer conn.Close()
	for answered := false; readRequest(in) == nil; answered = true {
		if !answered {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(d.list), d.list)
		}
	}
}

// recover makes discovery reachable and well.
func (d *moodyDiscovery) recover() error {
	d.recovered.Store(true)
	if d.fails == nil {
		return d.listen()
	}
	return nil
}

func (d *moodyDiscovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
	}
	for _, conn := range d.conns {
		conn.Close()
	}
}

// The destination that every courier here knows from its start, and the one that only the change has.
const (
	knownDest   = 1
	changedDest = 2
)

// newMoodyDiscovery serves discovery at an address of its own; the change is an endpoint of changedDest.
func newMoodyDiscovery(t *testing.T, endpoint string, fails []failure) *moodyDiscovery {
	t.Helper()
	addr, letGo, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(letGo)
	d := &moodyDiscovery{addr: addr, fails: fails, list: fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s-9","dial":%q,`+
		`"site":"a","class":"plain","block":%d,"health":"in_service","share":50.0,"born_ms":0}]}`, endpoint, changedDest)}
	t.Cleanup(d.close)
	if fails != nil {
		if err := d.listen(); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// visitor is a client that keeps its connection for as long as that lasts.
type visitor struct {
	listen string
	conn   net.Conn
	in     *bufio.Reader
}

func (v *visitor) leave() {
	if v.conn != nil {
		v.conn.Close()
		v.conn = nil
	}
}

// asks submits a message and returns the reply.
func (v *visitor) asks(id string, dest int) (reply string, err error) {
	if v.conn == nil {
		if v.conn, err = net.Dial("tcp", v.listen); err != nil {
			return "", err
		}
		v.in = bufio.NewReader(v.conn)
	}
	v.conn.SetDeadline(time.Now().Add(time.Second))
	attributes := fmt.Sprintf("c=order,d=8000,dest=%d", dest)
	fmt.Fprintf(v.conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(id), id, len(attributes), attributes)
	line, err := v.in.ReadString('\n')
	if err != nil {
		v.leave()
	}
	return strings.TrimSpace(line), err
}

// waitsFor submits messages for a destination until one is taken, and tells how long that took.
func (v *visitor) waitsFor(dest int, giveUp time.Duration) (took time.Duration, taken bool) {
	const poll = 20 * time.Millisecond
	began := time.Now()
	for n := 0; time.Since(began) < giveUp; n++ {
		if reply, err := v.asks(fmt.Sprintf("to-%d-%d", dest, n), dest); err == nil && reply == "+OK" {
			return time.Since(began), true
		}
		time.Sleep(poll)
	}
	return time.Since(began), false
}

// stalls watches how late this machine wakes who sleeps, at worst; stop ends that.
func stalls() (stop func() time.Duration) {
	const nap = 10 * time.Millisecond
	stopped, worst := make(chan struct{}), make(chan time.Duration)
	go func() {
		late := time.Duration(0)
		for {
			select {
			case <-stopped:
				worst <- late
				return
			default:
			}
			began := time.Now()
			time.Sleep(nap)
			late = max(late, time.Since(began)-nap)
		}
	}()
	return func() time.Duration { close(stopped); return <-worst }
}

// TestChangeIsAppliedInTime: whatever calls to discovery came to while it was unwell, and whenever it recovers, the courier has a
// change 6 s after discovery had it and could be reached, where lists are asked for and where they are pushed. By how much the
// machine itself stood still is added.
func TestChangeIsAppliedInTime(t *testing.T) {
	// Instants of recovery, from when the courier serves: within its first call, between two, and after several.
	recoveries := []time.Duration{200 * time.Millisecond, 2500 * time.Millisecond, 7100 * time.Millisecond}
	world, err := scripted.Open(1, func(string) scripted.Fate { return scripted.Fate{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	var all sync.WaitGroup
	var mu sync.Mutex
	seed := 0
	worst, cases := map[string]time.Duration{}, map[string]time.Duration{}
	stop := stalls()
	for _, mode := range []string{"subscribe", "automatic"} {
		for name, fails := range failures {
			for _, recovery := range recoveries {
				d := newMoodyDiscovery(t, world.Endpoints[0], fails)
				world.Discovery = d.addr
				seed++ // so that each draws its pauses anew
				listen := server.StartCourier(t, world, func(text []byte) []byte {
					text = bytes.ReplaceAll(text, []byte(`"seed": "8c1f30d27a5be964"`), fmt.Appendf(nil, `"seed": "%016x"`, seed))
					text = bytes.ReplaceAll(text, []byte(`"sockets": 1024`), []byte(`"sockets": 8192`)) // of all in this process
					return bytes.ReplaceAll(text, []byte(`"subscribe"`), []byte(`"`+mode+`"`))
				})
				all.Add(1)
				go func() {
					defer all.Done()
					client := &visitor{listen: listen}
					defer client.leave()
					if _, up := client.waitsFor(knownDest, 10*time.Second); !up {
						t.Errorf("%s, %s: the courier does not know what it was started with", mode, name)
						return
					}
					time.Sleep(recovery)
					if reply, err := client.asks("early", changedDest); err == nil && reply == "+OK" {
						t.Errorf("%s, %s: the courier knows the change before it was made", mode, name)
					}
					if err := d.recover(); err != nil {
						t.Error(err)
						return
					}
					took, _ := client.waitsFor(changedDest, 2*changeDeadline)
					mu.Lock()
					defer mu.Unlock()
					worst[mode+", "+name] = max(worst[mode+", "+name], took)
					cases[fmt.Sprintf("%s, %s, recovered after %v", mode, name, recovery)] = took
				}()
			}
		}
	}
	all.Wait()
	stood := stop()
	t.Logf("the machine stood still for %v at worst", stood.Round(time.Millisecond))
	for what, took := range cases {
		if took > changeDeadline+stood {
			t.Errorf("%s: the change was notified after %v", what, took.Round(time.Millisecond))
		}
	}
	for name, took := range worst {
		t.Logf("%s: at worst %v", name, took.Round(10*time.Millisecond))
	}
}
