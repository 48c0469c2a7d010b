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
	"pineport/testbed/stall"
)

// These tests check requirements that hold at any time; docs/crossings.md has a table row for each. They
// use only the external interfaces of the courier: its address, its configuration and the requests that its
// peers get.

// changeDeadline is the time within which a change of the endpoint list must be applied, from when
// discovery has the change and is reachable.
const changeDeadline = 6 * time.Second

// failureMode is a way in which a call to discovery fails. It gets the connection of the call and reports
// whether the connection is kept open.
type failureMode func(conn *net.TCPConn, request *bufio.Reader) (keepOpen bool)

// readRequest reads a request without a body.
func readRequest(in *bufio.Reader) error {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

// answerWith reads the request, writes text, and then closes the connection or keeps it open without
// sending more.
func answerWith(text string, keepOpen bool) failureMode {
	return func(conn *net.TCPConn, request *bufio.Reader) bool {
		if readRequest(request) != nil {
			return false
		}
		io.WriteString(conn, text)
		return keepOpen
	}
}

func resetConn(afterRequest bool) failureMode {
	return func(conn *net.TCPConn, request *bufio.Reader) bool {
		if afterRequest && readRequest(request) != nil {
			return false
		}
		conn.SetLinger(0)
		return false
	}
}

const (
	truncatedList = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":9,\"whole\":false,\"hosts\":["
	serverError   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	invalidList   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"
	interim       = "HTTP/1.1 102 Processing\r\n\r\n"
)

// failureModes are sequences of failures of discovery, one per call. A nil sequence means that connections
// are refused.
var failureModes = map[string][]failureMode{
	"refuses":                       nil,
	"resets new connections":        {resetConn(false)},
	"resets after the request":      {resetConn(true)},
	"answers errors":                {answerWith(serverError, true)},
	"answers an invalid list":       {answerWith(invalidList, true)},
	"hangs":                         {answerWith("", true)},
	"hangs after an interim answer": {answerWith(interim, true)},
	"truncates lists":               {answerWith(truncatedList, false)},
	"stalls within lists":           {answerWith(truncatedList, true)},
	"all failures in turn":          {answerWith(serverError, true), resetConn(true), answerWith(truncatedList, false), resetConn(false), answerWith("", true), answerWith(truncatedList, true)},
	"alternates resets and hangs":   {resetConn(true), answerWith("", true)},
}

// faultyDiscovery fails all calls until it recovers. After that it has a changed list and answers each new
// call with it at once. Calls that hang at that time stay unanswered.
type faultyDiscovery struct {
	addr      string
	modes     []failureMode
	calls     atomic.Int64
	recovered atomic.Bool
	list      string // complete list with the change
	mu        sync.Mutex
	listener  net.Listener
	conns     []net.Conn
}

func (d *faultyDiscovery) listen() error {
	listener, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener = listener
	d.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
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

func (d *faultyDiscovery) serve(conn *net.TCPConn) {
	in := bufio.NewReader(conn)
	for !d.recovered.Load() {
		n := int(d.calls.Add(1)) - 1
		if !d.modes[n%len(d.modes)](conn, in) {
			conn.Close()
			return
		}
		if _, err := in.Peek(1); err != nil { // waits for the next call on this connection
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

// recover makes discovery reachable and lets it answer calls.
func (d *faultyDiscovery) recover() error {
	d.recovered.Store(true)
	if d.modes == nil {
		return d.listen()
	}
	return nil
}

func (d *faultyDiscovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
	}
	for _, conn := range d.conns {
		conn.Close()
	}
}

// knownDest is a destination in the initial list of every courier. changedDest is only in the changed list.
const (
	knownDest   = 1
	changedDest = 2
)

// newFaultyDiscovery starts discovery at its own address. The change is an endpoint of changedDest.
func newFaultyDiscovery(t *testing.T, endpoint string, modes []failureMode) *faultyDiscovery {
	t.Helper()
	addr, release, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	d := &faultyDiscovery{addr: addr, modes: modes, list: fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s-9","dial":%q,`+
		`"site":"a","class":"plain","block":%d,"health":"in_service","share":50.0,"born_ms":0}]}`, endpoint, changedDest)}
	t.Cleanup(d.close)
	if modes != nil {
		if err := d.listen(); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// testClient is a client that reuses its connection as long as it is open.
type testClient struct {
	listen string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *testClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit submits a message and returns the reply.
func (c *testClient) submit(id string, dest int) (reply string, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.listen); err != nil {
			return "", err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(time.Now().Add(time.Second))
	attributes := fmt.Sprintf("c=order,d=8000,dest=%d", dest)
	fmt.Fprintf(c.conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(id), id, len(attributes), attributes)
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.disconnect()
	}
	return strings.TrimSpace(line), err
}

// submitUntilAccepted submits messages for a destination until one is accepted, and returns how long that
// took.
func (c *testClient) submitUntilAccepted(dest int, giveUp time.Duration) (elapsed time.Duration, accepted bool) {
	const poll = 20 * time.Millisecond
	began := time.Now()
	for n := 0; time.Since(began) < giveUp; n++ {
		if reply, err := c.submit(fmt.Sprintf("to-%d-%d", dest, n), dest); err == nil && reply == "+OK" {
			return time.Since(began), true
		}
		time.Sleep(poll)
	}
	return time.Since(began), false
}

// TestChangeIsAppliedInTime: whatever failures discovery had before it recovers, and whenever it recovers,
// the courier applies a change within 6 s after discovery has it and is reachable. This holds for polls and
// watches. The largest stall of the machine is added to the limit.
func TestChangeIsAppliedInTime(t *testing.T) {
	// Times of recovery after the start of the courier: during its first call, between two calls, and after
	// several calls.
	recoveries := []time.Duration{200 * time.Millisecond, 2500 * time.Millisecond, 7100 * time.Millisecond}
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	var wg sync.WaitGroup
	var mu sync.Mutex
	seed := 0
	worst, durations := map[string]time.Duration{}, map[string]time.Duration{}
	stopMeasuring := stall.Measure()
	for _, mode := range []string{"subscribe", "automatic"} {
		for name, modes := range failureModes {
			for _, recovery := range recoveries {
				d := newFaultyDiscovery(t, world.Endpoints[0], modes)
				world.Discovery = d.addr
				seed++ // different jitter in each case
				listen := server.StartCourier(t, world, func(text []byte) []byte {
					text = bytes.ReplaceAll(text, []byte(`"seed": "8c1f30d27a5be964"`), fmt.Appendf(nil, `"seed": "%016x"`, seed))
					text = bytes.ReplaceAll(text, []byte(`"sockets": 1024`), []byte(`"sockets": 8192`)) // the limit is shared by all couriers in this process
					return bytes.ReplaceAll(text, []byte(`"subscribe"`), []byte(`"`+mode+`"`))
				})
				wg.Add(1)
				go func() {
					defer wg.Done()
					client := &testClient{listen: listen}
					defer client.disconnect()
					if _, accepted := client.submitUntilAccepted(knownDest, 10*time.Second); !accepted {
						t.Errorf("%s, %s: the courier does not know its initial destination", mode, name)
						return
					}
					time.Sleep(recovery)
					if reply, err := client.submit("early", changedDest); err == nil && reply == "+OK" {
						t.Errorf("%s, %s: the courier applied the change before it was made", mode, name)
					}
					if err := d.recover(); err != nil {
						t.Error(err)
						return
					}
					took, _ := client.submitUntilAccepted(changedDest, 2*changeDeadline)
					mu.Lock()
					defer mu.Unlock()
					worst[mode+", "+name] = max(worst[mode+", "+name], took)
					durations[fmt.Sprintf("%s, %s, recovered after %v", mode, name, recovery)] = took
				}()
			}
		}
	}
	wg.Wait()
	largestStall := stopMeasuring()
	t.Logf("largest stall of the machine: %v", largestStall.Round(time.Millisecond))
	for caseName, took := range durations {
		if took > changeDeadline+largestStall {
			t.Errorf("%s: the change was applied after %v", caseName, took.Round(time.Millisecond))
		}
	}
	for name, took := range worst {
		t.Logf("%s: slowest after %v", name, took.Round(10*time.Millisecond))
	}
}
