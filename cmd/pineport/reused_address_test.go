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
