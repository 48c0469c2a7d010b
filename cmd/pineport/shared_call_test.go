package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

const (
	pairs           = 4         // destinations with two endpoints
	busyDestination = pairs + 1 // has one endpoint
)

// sharedCallEndpoints are the endpoints of all destinations. They note which messages are in a call, and in how many calls at once. A silent
// endpoint reads calls and answers none.
type sharedCallEndpoints struct {
	mu        sync.Mutex
	calls     [2*pairs + 1]int       // by endpoint: two of each pair, and one of busyDestination
	silent    int                    // the silent endpoint; -1 if there is none
	inCalls   map[string][]time.Time // by message: when each call that is out was received
	doubled   []string               // messages that came in a call while another with them was out
	sharing   int                    // calls with several messages that were never answered
	delivered map[string]bool
}

// crossingGrace is how long a call that was given up may still seem to be out.
const crossingGrace = 50 * time.Millisecond

func openSharedCallEndpoints(t *testing.T, world *scripted.World) *sharedCallEndpoints {
	t.Helper()
	e := &sharedCallEndpoints{silent: -1, inCalls: map[string][]time.Time{}, delivered: map[string]bool{}}
	for i := range e.calls {
		if i > 1 { // the world has two endpoints of destination 1
			if err := world.AddEndpoint(1 + i/2); err != nil {
				t.Fatal(err)
			}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, i) })}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
		world.Endpoints[i] = listener.Addr().String()
	}
	return e
}

// silence silences the endpoint of a pair that has received more calls.
func (e *sharedCallEndpoints) silence(destination int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent = 2 * (destination - 1); e.calls[e.silent+1] > e.calls[e.silent] {
		e.silent++
	}
}

func (e *sharedCallEndpoints) endSilence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = -1
}

func (e *sharedCallEndpoints) serve(w http.ResponseWriter, r *http.Request, endpoint int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ids := idsOfCall(r, body)
	e.mu.Lock()
	silent := e.silent == endpoint
	e.calls[endpoint]++
	e.mu.Unlock()
	end := e.begin(ids, silent)
	defer end()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(400 * time.Millisecond):
	}
	e.mu.Lock()
	for _, id := range ids {
		e.delivered[id] = true
	}
	e.mu.Unlock()
	for _, id := range ids {
		fmt.Fprintf(w, "%s accepted\r\n", id)
	}
}

// begin notes a call. The function that it returns ends the call.
func (e *sharedCallEndpoints) begin(ids []string, silent bool) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if silent && len(ids) > 1 {
		e.sharing++
	}
	for _, id := range ids {
		if len(e.inCalls[id]) > 0 {
			time.AfterFunc(crossingGrace, func() { e.noteDoubled(id, now) })
		}
		e.inCalls[id] = append(e.inCalls[id], now)
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, id := range ids {
			remaining := e.inCalls[id][:0]
			for _, at := range e.inCalls[id] {
				if !at.Equal(now) {
					remaining = append(remaining, at)
				}
			}
			e.inCalls[id] = remaining
		}
	}
}

// noteDoubled notes a message if a call that was received before an instant is still out.
func (e *sharedCallEndpoints) noteDoubled(id string, before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.inCalls[id] {
		if at.Before(before) {
			e.doubled = append(e.doubled, id)
			return
		}
	}
}

func idsOfCall(r *http.Request, body []byte) (ids []string) {
	if r.URL.Path == "/hook" {
		return []string{r.Header.Get("X-Call-Id")}
	}
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte("\r\n"))
		var id, key string
		var size int
		fmt.Sscan(string(line), &id, &key, &size)
		ids, body = append(ids, id), rest[size+2:]
	}
	return ids
}

// shareCalls configures few slots, calls of several messages, and a group for each endpoint.
func shareCalls(top map[string]any) {
	settings := top["settings"].(map[string]any)
	family := settings["family-info"].(map[string]any)
	family["slots"], family["per-call"], family["separate-routes"] = 4, []int{20}, []bool{true}
	settings["ceilings"].(map[string]any)["may-duplicate"] = false
}

// submitClump submits messages of both classes with one write, and returns how many of them were accepted.
func submitClump(address string, clump, size, destination int) (accepted int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	text := ""
	for i := range size {
		class := [...]string{"update", "order"}[i%2]
		text += encodeCommand("ENQUEUE", "0", fmt.Sprintf("clump-%d-%d-%d-%s", destination, clump, i, class), fmt.Sprintf("c=%s,d=16000,dest=%d", class, destination), "x")
	}
	io.WriteString(conn, text)
	in := bufio.NewReader(conn)
	for range size {
		line, err := in.ReadString('\n')
		if err != nil {
			return accepted
		}
		if strings.HasPrefix(line, "+OK") {
			accepted++
		}
	}
	return accepted
}

// TestMessageIsInOneCallAtATime guards against a message that is sent again while a call that carries it is still out.
//
// Failure: the dispatcher canceled one of several messages of an unanswered call, which took the message out of the books and left the call
// and its connection open. The message was sent to another endpoint meanwhile, and the endpoint of the first call could still process it.
func TestMessageIsInOneCallAtATime(t *testing.T) {
	t.Run("one process", func(t *testing.T) {
		t.Parallel()
		playSharedCalls(t, func(*supervisor) {})
	})
	t.Run("upgrades", func(t *testing.T) {
		t.Parallel()
		playSharedCalls(t, func(p *supervisor) { p.requireReady(p.startProcess(p.binary)) })
	})
}

// playSharedCalls lets one endpoint of each pair fall silent in turn, and runs duringCall while a call with several messages is out there.
func playSharedCalls(t *testing.T, duringCall func(*supervisor)) {
	const silence, interval, clumpEvery = 6 * time.Second, 120 * time.Millisecond, 17
	world := newUpgradeWorld(t)
	endpoints := openSharedCallEndpoints(t, world)
	p := newSupervisor(t, world)
	editConfig(t, p.dir, shareCalls)
	p.requireReady(p.startProcess(p.binary))
	accepted, clump := 0, 0
	// submitFor submits single messages to the busy destination, and with one in clumpEvery of them a clump to another destination.
	submitFor := func(span time.Duration, destination int) {
		began := time.Now()
		for n := 0; time.Since(began) < span; n++ {
			if n%clumpEvery == 0 {
				accepted += submitClump(p.listen, clump, 2, destination)
			}
			accepted += submitClump(p.listen, clump, 1, busyDestination)
			clump++
			time.Sleep(time.Until(began.Add(time.Duration(n+1) * interval)))
		}
	}
	for pair := range pairs {
		submitFor(10*interval, pair+1)
	}
	for pair := range pairs {
		endpoints.silence(pair + 1)
		var during sync.WaitGroup
		during.Go(func() {
			time.Sleep(4 * interval)
			duringCall(p)
		})
		submitFor(silence, pair+1)
		during.Wait()
		endpoints.endSilence()
	}
	endpoints.mu.Lock()
	defer endpoints.mu.Unlock()
	if len(endpoints.doubled) > 0 {
		t.Errorf("%d messages were sent again while a call with them was out: %v", len(endpoints.doubled), endpoints.doubled)
	}
	if endpoints.sharing < pairs || len(endpoints.delivered) < accepted/2 || accepted < 100 {
		t.Errorf("too little was played: %d unanswered calls with several messages, %d of %d accepted messages delivered", endpoints.sharing,
			len(endpoints.delivered), accepted)
	}
	t.Logf("%d unanswered calls with several messages, %d of %d accepted messages delivered", endpoints.sharing, len(endpoints.delivered), accepted)
}
