package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// rawEndpoint starts an endpoint that reads one call on each connection and lets answer write the response. It stops when the test ends.
func rawEndpoint(t *testing.T, answer func(conn net.Conn, id string)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				answer(conn, request.Header.Get("X-Call-Id"))
			}()
		}
	}()
	return l.Addr().String()
}

// flood sends commands until it is stopped, at most 100,000 per second, and never reads replies. It reconnects when a write fails.
func flood(address string, stopped *atomic.Bool) {
	const pause = 10 * time.Millisecond
	text := strings.Repeat(encodeCommand("PING"), 1000)
	for !stopped.Load() {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		for err == nil && !stopped.Load() {
			_, err = io.WriteString(conn, text)
			time.Sleep(pause)
		}
		conn.Close()
	}
}

// TestFinalOutcomeUnderCombinedFaults combines hostile clients, malformed answers, hanging endpoints and unusable answers of discovery. Each request
// of a normal client must get a reply, and each accepted message must end in time, once: delivered or with one notice.
func TestFinalOutcomeUnderCombinedFaults(t *testing.T) {
	const (
		clients   = 4
		perClient = 25
		lifetime  = 4 * time.Second
		slack     = 500 * time.Millisecond
	)
	world, err := scripted.Open(4, responsesByPrefix())
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	release := make(chan struct{})
	var statusLineSent sync.Map
	defer close(release)
	world.Endpoints[1] = rawEndpoint(t, func(net.Conn, string) { <-release })
	world.Endpoints[2] = rawEndpoint(t, func(conn net.Conn, _ string) { io.WriteString(conn, "HTTP/1.1 2x0 \x00\r\nContent-Length: -7\r\n\r\n") })
	world.Endpoints[3] = rawEndpoint(t, func(conn net.Conn, id string) { // an endless header; the status line counts as the delivery
		statusLineSent.Store(id, true)
		for {
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: y\r\n"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	world.ListOverride = func(int) string { return "{]" } // replaces the endpoint list in discovery's answers with unusable text
	c := newCourier(t, world)
	c.start()

	var stopped atomic.Bool
	var hostileClients sync.WaitGroup
	for range 4 {
		hostileClients.Go(func() { flood(c.listen, &stopped) })
	}
	hostileClients.Go(func() {
		for !stopped.Load() {
			c.sendRaw("*1\r\n$99999999999999999999\r\n")
		}
	})
	idleClients := startIdleClients(c.listen, 50)

	began := time.Now()
	var normalClients sync.WaitGroup
	replies := make([]map[string]string, clients)
	for client := range clients {
		replies[client] = map[string]string{}
		normalClients.Go(func() {
			for i := range perClient {
				kind := []string{"okay", "slow", "full", "fail", "brok"}[i%5]
				class := []string{"update", "order"}[i/5%2]
				id := fmt.Sprintf("%s-%s-%d-%d", kind, class, client, i)
				replies[client][id] = c.send(encodeEnqueue(id, class, int(lifetime/time.Millisecond)))[0]
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	normalClients.Wait()
	ended := time.Now()
	t.Logf("submitted messages for %v", ended.Sub(began))
	time.Sleep(time.Until(ended.Add(lifetime + slack)))
	delivered, notified, rejected := 0, 0, 0
	for _, all := range replies {
		for id, reply := range all {
			_, done, notices := world.MessageCalls(id)
			if _, ok := statusLineSent.Load(id); ok {
				done++
			}
			switch {
			case strings.HasPrefix(reply, "-BUSY"):
				rejected++
			case reply != "+OK":
				t.Errorf("%s: got reply %q, want +OK or -BUSY", id, reply)
			case done == 0 && len(notices) == 0:
				t.Errorf("%s was accepted and has no final answer", id)
			case len(slices.Compact(notices)) > 1: // an unconfirmed notice is sent again with the same content
				t.Errorf("%s: notices %v", id, notices)
			case done > 0:
				delivered++
			default:
				notified++
			}
		}
	}
	t.Logf("of %d requests: %d delivered, %d with a notice, %d rejected at once", clients*perClient, delivered, notified, rejected)
	if delivered < clients*perClient/4 { // one of the four endpoints works
		t.Errorf("only %d of %d messages delivered, want at least a quarter", delivered, clients*perClient)
	}
	stopped.Store(true)
	idleClients.stop()
	hostileClients.Wait()
}
