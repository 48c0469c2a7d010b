package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pineport/testbed/port"
	"pineport/testbed/scripted"
)

// descriptors returns the number of open file descriptors of the courier's process.
func (c *testCourier) descriptors() int {
	c.t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	return len(all)
}

// idleClients are clients that connect, send nothing or a truncated command, and reconnect at once when the courier closes the connection.
type idleClients struct {
	stopping  chan struct{}
	done      sync.WaitGroup
	connected atomic.Int64
}

func startIdleClients(address string, clients int) *idleClients {
	c := &idleClients{stopping: make(chan struct{})}
	for i := range clients {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			for !c.isStopped() {
				c.connectOnce(address, i%2 == 0)
			}
		}()
	}
	return c
}

func (c *idleClients) isStopped() bool {
	select {
	case <-c.stopping:
		return true
	default:
		return false
	}
}

// connectOnce opens one connection and keeps it until the courier closes it or the clients are stopped.
func (c *idleClients) connectOnce(address string, sendTruncated bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer conn.Close()
	c.connected.Add(1)
	defer c.connected.Add(-1)
	if sendTruncated {
		fmt.Fprint(conn, "*5\r\n$7\r\nENQ")
	}
	for !c.isStopped() {
		conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := conn.Read(make([]byte, 64))
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			continue
		}
		if err != nil {
			return
		}
	}
}

func (c *idleClients) stop() {
	close(c.stopping)
	c.done.Wait()
}

// TestDiscoveryIsPolledDespiteIdleClients has idle clients occupy as many of the courier's descriptors as they can while discovery is down.
// Once discovery is available again, the courier must poll it in time although the clients are still connected.
func TestDiscoveryIsPolledDespiteIdleClients(t *testing.T) {
	const (
		sockets      = 128
		clients      = 4 * sockets
		downtime     = 5 * time.Second
		pollDeadline = 6 * time.Second // the time within which a courier must apply a change
	)
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	discovery, release, err := port.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	world.Discovery = discovery
	c := newCourier(t, world)
	c.replaceInConfig(`"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, sockets))
	c.start()
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	idle := startIdleClients(c.listen, clients)
	stopIdle := sync.OnceFunc(idle.stop)
	defer stopIdle()
	maxDescriptors := 0
	for began := time.Now(); time.Since(began) < downtime; time.Sleep(50 * time.Millisecond) {
		maxDescriptors = max(maxDescriptors, c.descriptors())
	}
	if maxDescriptors < sockets*4/10 {
		t.Errorf("the courier has %d descriptors open at most, of %d: too few idle clients connected", maxDescriptors, sockets)
	}
	polledAt := make(chan time.Time, 1)
	list := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s-9","dial":%q,"site":"a","class":"plain","block":2,`+
		`"health":"in_service","share":50.0,"born_ms":0}]}`, world.Endpoints[0])
	var calls atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			<-r.Context().Done() // no newer version of the list
			return
		}
		polledAt <- time.Now()
		fmt.Fprint(rw, list)
	})}
	listener, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	availableAt := time.Now()
	go server.Serve(listener)
	defer server.Close()
	select {
	case at := <-polledAt:
		t.Logf("at most %d of %d descriptors open, %d clients connected; discovery was polled %v after it was available again", maxDescriptors, sockets, idle.connected.Load(),
			at.Sub(availableAt).Round(10*time.Millisecond))
	case <-time.After(pollDeadline):
		t.Fatalf("discovery was not polled within %v; %d descriptors open", pollDeadline, c.descriptors())
	}
	stopIdle()
	waitFor(t, "a message to the listed destination to be accepted", 5*time.Second, func() bool {
		got := c.send(strings.Replace(encodeEnqueue("next", "update", 8000), "dest=1", "dest=2", 1))
		return got[0] == "+OK"
	})
	waitFor(t, "next", 5*time.Second, func() bool { _, done, _ := world.MessageCalls("next"); return done == 1 })
}
