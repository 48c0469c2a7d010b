package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// TestEndpointAtAddressOfGoneOne guards against a new endpoint that came up at the address of one that has gone and gets the messages of the
// gone one's destination. Discovery lists the new endpoint before it lists the removal of the old one.
func TestEndpointAtAddressOfGoneOne(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var received atomic.Int64
	newcomer := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Call-Id") != "for-2" {
			received.Add(1)
		}
	})}
	go newcomer.Serve(listener)
	t.Cleanup(func() { newcomer.Close() })
	reused := listener.Addr().String()
	entry := func(host, address string, destination int, startedAt int64) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"plain","block":%d,"health":"in_service","share":50.0,"born_ms":%d}`,
			host, address, destination, startedAt)
	}
	startedAt := time.Now().UnixMilli()
	old := entry("s-old", reused, 1, startedAt-60_000)
	list := fmt.Sprintf(`{"seq":5,"whole":true,"hosts":[%s,%s]}`, old, entry("s-other", world.Endpoints[0], 1, 0))
	var newcomerListed atomic.Bool
	world.ListOverride = func(index int) string {
		if index < 5 {
			return list
		}
		if index == 5 && newcomerListed.Load() {
			return fmt.Sprintf(`{"seq":6,"whole":false,"hosts":[%s]}`, entry("s-new", reused, 2, startedAt))
		}
		time.Sleep(50 * time.Millisecond)
		return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, index)
	}
	c := newCourier(t, world)
	c.start()
	waitFor(t, "destination 1 to be listed", 5*time.Second, func() bool { return c.send(encodeEnqueue("warm-up", "update", 8000))[0] == "+OK" })
	newcomerListed.Store(true)
	forTwo := encodeCommand("ENQUEUE", "0", "for-2", "c=update,d=8000,dest=2", "x")
	waitFor(t, "destination 2 to be listed", 5*time.Second, func() bool { return c.send(forTwo)[0] == "+OK" })
	before := received.Load()
	for i := range 40 {
		id := fmt.Sprintf("for-1-%d", i)
		c.send(encodeEnqueue(id, "update", 8000))
	}
	time.Sleep(2 * time.Second)
	if misdirected := received.Load() - before; misdirected > 0 {
		t.Errorf("%d calls for destination 1 went to the endpoint of destination 2 that has the address of a gone one", misdirected)
	}
	delivered := 0
	for i := range 40 {
		if _, done, _ := world.MessageCalls(fmt.Sprintf("for-1-%d", i)); done > 0 {
			delivered++
		}
	}
	if delivered < 40 {
		t.Errorf("%d of 40 messages were delivered at the other endpoint of their destination", delivered)
	}
}

// TestRestartAfterAddressWasReused guards against a process that, as it starts or takes its work back from a crashed successor, sends what it
// holds by the list of its configuration: an endpoint of another destination may have the address of a listed one by now.
func TestRestartAfterAddressWasReused(t *testing.T) {
	for name, comeBack := range map[string]func(*supervisor, *instance){
		"after a kill": func(p *supervisor, running *instance) {
			running.cmd.Process.Kill()
			running.cmd.Wait()
			p.requireReady(p.startProcess(p.binary))
		},
		"after a crashed upgrade": func(p *supervisor, running *instance) {
			next := p.startProcess(p.binary)
			p.requireReady(next)
			next.cmd.Process.Kill()
			next.cmd.Wait()
			p.requireReady(running)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playReusedAddress(t, comeBack)
		})
	}
}

// playReusedAddress lets messages wait for a destination whose only endpoint has gone, with an endpoint of another destination at its address,
// and runs comeBack.
func playReusedAddress(t *testing.T, comeBack func(*supervisor, *instance)) {
	const messages = 5
	world := newUpgradeWorld(t)
	var misdirected atomic.Int64
	newcomer := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { misdirected.Add(1) })}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go newcomer.Serve(listener)
	t.Cleanup(func() { newcomer.Close() })
	reused, right := listener.Addr().String(), world.Endpoints[1]
	world.Endpoints = []string{reused} // as the configuration has it
	entry := func(host, address string, destination int, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"plain","block":%d,"health":%q,"share":50.0,"born_ms":0}`, host, address, destination, health)
	}
	replaced := entry("s-0", reused, 1, "terminated") + "," + entry("s-new", reused, 2, "in_service")
	changes := map[int64]string{9: replaced, 10: replaced + "," + entry("s-right", right, 1, "in_service")} // by version
	var version atomic.Int64
	version.Store(9)
	world.ListOverride = func(index int) string {
		if current := version.Load(); index < int(current) {
			return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, current, changes[current])
		}
		time.Sleep(30 * time.Millisecond)
		return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, index)
	}
	p := newSupervisor(t, world)
	running := p.startProcess(p.binary)
	p.requireReady(running)
	time.Sleep(300 * time.Millisecond) // the process learns of the change
	for i := range messages {
		if got := p.send(encodeEnqueue(fmt.Sprintf("held-%d", i), "update", 8000)); got[0] != "+OK" {
			t.Fatal(got)
		}
	}
	comeBack(p, running)
	time.Sleep(300 * time.Millisecond)
	version.Store(10)
	for i := range messages {
		id := fmt.Sprintf("held-%d", i)
		waitFor(t, id, 6*time.Second, func() bool { _, done, _ := world.MessageCalls(id); return done == 1 || misdirected.Load() > 0 })
	}
	if count := misdirected.Load(); count > 0 {
		t.Errorf("%d calls for destination 1 went to the endpoint of destination 2 at the address of a gone one", count)
	}
}
