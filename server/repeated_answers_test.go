package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/scripted"
)

// repeatingEndpoint answers calls, and delivers earlier answers of a connection again at any later time: before, during and after later calls.
type repeatingEndpoint struct {
	emptyBodies bool // successful answers have no body, and equal each other

	mu       sync.Mutex
	rng      *rand.Rand
	ran      map[string]int // by message: calls that processed it
	answered map[string]int // by message: calls answered with 200
	twice    []string       // at-most-once messages that were called again after they had run
	repeats  int
	conns    int
	calls    int

	waitSentAt, waitUntil time.Time
	earlyCalls            int // calls during a wait that was requested more than waitGrace before
}

const (
	backoff   = 300 * time.Millisecond
	waitGrace = 100 * time.Millisecond
)

func openRepeatingEndpoint(t *testing.T, seed int64, emptyBodies bool) (*repeatingEndpoint, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &repeatingEndpoint{emptyBodies: emptyBodies, rng: rand.New(rand.NewSource(seed)), ran: map[string]int{}, answered: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, listener.Addr().String()
}

// draw returns a random number from 0 to n-1.
func (e *repeatingEndpoint) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Intn(n)
}

func (e *repeatingEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var earlier []string
	repeat := func() {
		if len(earlier) > 0 && e.draw(3) == 0 {
			e.mu.Lock()
			e.repeats++
			e.mu.Unlock()
			io.WriteString(conn, earlier[e.draw(len(earlier))])
		}
	}
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		ids := calledMessages(request, body)
		status := e.begin(ids)
		repeat()
		time.Sleep(time.Duration(2+e.draw(15)) * time.Millisecond)
		repeat()
		answer := e.answer(status, ids, request.URL.Path == "/hook/batch")
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		earlier = append(earlier, answer)
		time.Sleep(time.Duration(e.draw(3)) * time.Millisecond)
		if e.draw(4) == 0 {
			repeat()
		}
	}
}

func calledMessages(request *http.Request, body []byte) (ids []string) {
	if request.URL.Path == "/hook" {
		return []string{request.Header.Get("X-Call-Id")}
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

// errorStatuses are answered to one call in 40 each.
var errorStatuses = []int{503, 503, 503, 429, 500}

// begin processes a call and returns the status of its answer.
func (e *repeatingEndpoint) begin(ids []string) int {
	status := http.StatusOK
	if i := e.draw(40); i < len(errorStatuses) {
		status = errorStatuses[i]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	if now := time.Now(); now.After(e.waitSentAt.Add(waitGrace)) && now.Before(e.waitUntil) {
		e.earlyCalls++
	}
	for _, id := range ids {
		if strings.HasPrefix(id, "order") && e.ran[id] > 0 {
			e.twice = append(e.twice, id)
		}
		if status == 200 || status == 500 {
			e.ran[id]++
		}
		if status == 200 {
			e.answered[id]++
		}
	}
	return status
}

func (e *repeatingEndpoint) answer(status int, ids []string, batch bool) string {
	body, header := "", ""
	switch {
	case status == 429:
		header = fmt.Sprintf("X-Backoff-Ms: %d\r\n", backoff.Milliseconds())
		e.mu.Lock()
		e.waitSentAt, e.waitUntil = time.Now(), time.Now().Add(backoff)
		e.mu.Unlock()
	case status == 200 && batch:
		for _, id := range ids {
			body += id + " accepted\r\n"
		}
	case status == 200 && !e.emptyBodies:
		receipt := fnv.New64a()
		receipt.Write([]byte(ids[0]))
		body = fmt.Sprintf("%016x", receipt.Sum64())
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// TestRepeatedAnswersProveNothing guards against an answer that is delivered again during a later call on the same connection and taken for
// the answer to that call.
//
// Incident: a repeated 503 "showed" that an at-most-once message had not run, and it was sent again while its call was out; a repeated 200
// "showed" that a message had been delivered whose call was answered with 503 later, and it was neither sent again nor ended by a notice.
func TestRepeatedAnswersProveNothing(t *testing.T) {
	for _, tc := range []struct {
		name        string
		seed        int64
		perCall     int
		emptyBodies bool
	}{
		{"single messages", 1, 1, false}, {"single messages, another seed", 2, 1, false}, {"several messages", 3, 5, false},
		{"several messages, another seed", 4, 5, false}, {"equal answers", 5, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playRepeatedAnswers(t, tc.seed, tc.perCall, tc.emptyBodies)
		})
	}
}

func playRepeatedAnswers(t *testing.T, seed int64, perCall int, emptyBodies bool) {
	const messages, timeToLive = 300, 3 * time.Second
	world := openWorld(t, 0)
	endpoint, address := openRepeatingEndpoint(t, seed, emptyBodies)
	world.Endpoints = []string{address}
	listen := StartCourier(t, world, func(text []byte) []byte { return withPerCall(t, text, perCall) })
	accepted := submitMessages(t, listen, messages, timeToLive)
	time.Sleep(timeToLive + finalAnswerSlack)
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if len(endpoint.twice) > 0 {
		t.Errorf("%d at-most-once messages were sent again after they had run: %v", len(endpoint.twice), endpoint.twice)
	}
	if endpoint.earlyCalls > 0 {
		t.Errorf("%d calls during a wait that the endpoint had requested", endpoint.earlyCalls)
	}
	var lost []string
	for _, id := range accepted {
		if _, _, notices := world.MessageCalls(id); endpoint.answered[id] == 0 && len(notices) == 0 {
			lost = append(lost, id)
		}
	}
	if len(lost) > 0 {
		t.Errorf("%d of %d accepted messages were neither delivered nor ended by a notice: %v", len(lost), len(accepted), lost)
	}
	if len(accepted) < messages/2 || endpoint.calls < messages/6 || endpoint.repeats < 10 && !emptyBodies {
		t.Errorf("too little was played: %d messages accepted, %d calls, %d repeated answers", len(accepted), endpoint.calls, endpoint.repeats)
	}
	t.Logf("%d messages accepted, %d calls on %d connections, %d repeated answers, %d delivered", len(accepted), endpoint.calls, endpoint.conns,
		endpoint.repeats, len(endpoint.answered))
}

// finalAnswerSlack is how long after its deadline a message must have its final answer at the latest.
const finalAnswerSlack = 500 * time.Millisecond

// withPerCall returns a configuration with the given maximum number of messages in a call.
func withPerCall(t *testing.T, text []byte, perCall int) []byte {
	t.Helper()
	var configuration map[string]any
	if err := json.Unmarshal(text, &configuration); err != nil {
		t.Fatal(err)
	}
	family := configuration["settings"].(map[string]any)["family-info"].(map[string]any)
	family["per-call"] = []int{perCall}
	edited, err := json.Marshal(configuration)
	if err != nil {
		t.Fatal(err)
	}
	return edited
}

// submitMessages submits messages of both classes, some at a time, and returns the IDs of those that were accepted.
func submitMessages(t *testing.T, listen string, count int, timeToLive time.Duration) (accepted []string) {
	t.Helper()
	submit(t, listen, "order-first") // waits until the courier listens
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	in := bufio.NewReader(conn)
	for i := range count {
		class := [...]string{"update", "order"}[i%2]
		id := fmt.Sprintf("%s-%d", class, i)
		options := fmt.Sprintf("c=%s,d=%d,dest=1", class, timeToLive.Milliseconds())
		fmt.Fprintf(conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(id), id, len(options), options)
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "+") {
			accepted = append(accepted, id)
		}
		if i%5 == 4 {
			time.Sleep(40 * time.Millisecond)
		}
	}
	return accepted
}

// TestRepeatedAnswersConfirmNoNotices guards against a notice that is lost because the confirmation of an earlier one, delivered again, is
// taken for its own. Discovery drops each call behind whose connection it can repeat an answer.
func TestRepeatedAnswersConfirmNoNotices(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 500} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	proxy, err := faultproxy.Open(world.Discovery, func(call faultproxy.Call) faultproxy.FaultSpec {
		if call.IsPoll() {
			return faultproxy.FaultSpec{}
		}
		return faultproxy.FaultSpec{Fault: faultproxy.Repeated}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	world.Discovery = proxy.Address
	listen := StartCourier(t, world, func(text []byte) []byte { return text })
	accepted := submitMessages(t, listen, 40, time.Second)
	time.Sleep(time.Second + finalAnswerSlack)
	for _, id := range accepted {
		if _, _, notices := world.MessageCalls(id); len(notices) == 0 {
			t.Errorf("no notice for %s", id)
		}
	}
	if len(accepted) < 20 {
		t.Errorf("too little was played: %d messages accepted", len(accepted))
	}
}
