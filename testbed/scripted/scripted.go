// Package scripted provides discovery, the platform's notice service and endpoints as stand-ins on loopback for the end-to-end tests. A test
// decides how each call ends. The package is implemented from the protocol documentation, independently of the courier's code, and records
// the calls and notices it receives.
package scripted

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Response is how an endpoint answers a call.
type Response struct {
	Status    int           // HTTP status; 0 closes the connection without an answer
	Delay     time.Duration // delay before the answer
	BackoffMs int           // X-Backoff-Ms header in milliseconds, sent with a status other than 200; 0: no header
	Body      string        // body of an answer with status 200 to a call with one message; empty: the message id and a newline
	Endless   bool          // interim responses without end, and no final one
}

// maxBody is how many bytes the body of a call may have.
const maxBody = 64 << 10

// Violations counts calls that a correct courier never makes.
type Violations struct {
	EarlyCalls       int // calls to any endpoint during a wait that was requested more than 100 ms before the call
	OverlappingCalls int // calls for an ordering key while a call for another message of the key is in flight
	OversizedCalls   int // calls whose body is larger than a body may be
	OutOfOrder       int // calls for a message of an ordering key after a call for a later message of the key
}

// orderedKey is an ordering key, whose messages are sent one at a time.
type orderedKey struct {
	inFlight map[string]int // number of calls in flight by message; a call of a killed courier can overlap with the next attempt of its message
	highest  int            // highest message number called so far
}

// World is a stand-in for the platform: discovery, the notice service and the endpoints.
type World struct {
	Discovery string // address of discovery
	Endpoints []string
	// ListOverride, if set, returns the answer to a list request. The index is the list version that the courier knows, 0 if none. If ListOverride returns "",
	// the answer is the normal list.
	ListOverride func(index int) string

	mu                sync.Mutex
	respond           func(id string) Response
	seq               int           // version of the endpoint list: "seq" in answers, "index" in requests
	destinations      []int         // destination of each endpoint
	draining          map[int]int   // draining endpoints, with the list version at which each started to drain
	changed           chan struct{} // closed and replaced when an endpoint starts to drain
	calls             []*atomic.Int64
	startedCalls      map[string]int // by message; calls answered with 429 or 503 are not counted, as the endpoint does not process them
	succeededCalls    map[string]int
	notices           map[string][]string
	events            map[string][]Event // by message, in the order in which they were recorded
	violations        Violations
	waitSentAt        time.Time // when an endpoint last requested a wait with X-Backoff-Ms
	waitUntil         time.Time // end of that wait
	orderedKeys       map[string]*orderedKey
	unansweredNotices int // number of notice calls still to leave unanswered
	servers           []*http.Server
	discoveryServer   *http.Server // serves Discovery
}

// Open starts a World with the given number of endpoints of destination 1. respond is called with the message id of
// each call, the first id of a batch, and returns the answer.
func Open(endpoints int, respond func(id string) Response) (*World, error) {
	// The list version is 1 after the endpoints are added below.
	w := &World{orderedKeys: map[string]*orderedKey{}, respond: respond, seq: 1 - endpoints, draining: map[int]int{}, changed: make(chan struct{}), startedCalls: map[string]int{}, succeededCalls: map[string]int{}, notices: map[string][]string{},
		events: map[string][]Event{}}
	if err := w.servePlatform(); err != nil {
		return nil, err
	}
	for range endpoints {
		if err := w.AddEndpoint(1); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *World) serve(mux *http.ServeMux) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: mux}
	w.servers = append(w.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
}

// servePlatform serves discovery and the notice service at a new address.
func (w *World) servePlatform() (err error) {
	platform := http.NewServeMux()
	platform.HandleFunc("GET /v1/servers", w.list)
	platform.HandleFunc("POST /v1/notices", w.notice)
	w.Discovery, err = w.serve(platform)
	w.discoveryServer = w.servers[len(w.servers)-1]
	return err
}

// MoveDiscovery serves discovery and the notice service at a new address. closeOld closes the server at the old address.
func (w *World) MoveDiscovery() (closeOld func(), err error) {
	old := w.discoveryServer
	return func() { old.Close() }, w.servePlatform()
}

// AddEndpoint adds an endpoint for the given destination. Unlike Drain, it does not answer pending watches: couriers learn of the endpoint with their
// next list request.
func (w *World) AddEndpoint(dest int) error {
	mux := http.NewServeMux()
	w.mu.Lock()
	calls := new(atomic.Int64)
	w.calls = append(w.calls, calls)
	w.mu.Unlock()
	counted := func(handler http.HandlerFunc) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handler(rw, r)
		}
	}
	mux.HandleFunc("POST /hook", counted(w.hook))
	mux.HandleFunc("POST /hook/batch", counted(w.batch))
	addr, err := w.serve(mux)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Endpoints, w.destinations = append(w.Endpoints, addr), append(w.destinations, dest)
	w.seq++
	return err
}

// Drain marks an endpoint as draining and answers pending watches at once.
func (w *World) Drain(endpoint int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.draining[endpoint] = w.seq
	close(w.changed)
	w.changed = make(chan struct{})
}

// CloseAfterResponses makes the endpoints close each connection after its next answer.
func (w *World) CloseAfterResponses() {
	for _, server := range w.servers {
		if server != w.discoveryServer {
			server.SetKeepAlivesEnabled(false)
		}
	}
}

// Calls returns the number of calls that an endpoint has received.
func (w *World) Calls(endpoint int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.calls[endpoint].Load())
}

// LeaveNoticesUnanswered leaves the given number of the next notice calls unanswered and does not record their notices.
func (w *World) LeaveNoticesUnanswered(calls int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unansweredNotices = calls
}

// Close closes all servers.
func (w *World) Close() {
	for _, s := range w.servers {
		s.Close()
	}
}

// EndpointList returns the complete endpoint list in discovery's format.
func (w *World) EndpointList() json.RawMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listSince(-1)
}

// listSince returns the endpoints that started to drain after the given list version, or the complete list if version is negative. The caller
// holds the lock.
func (w *World) listSince(version int) json.RawMessage {
	type host map[string]any
	hosts := []host{}
	for i, addr := range w.Endpoints {
		since, draining := w.draining[i]
		if version >= 0 && (!draining || since <= version) {
			continue
		}
		health := "in_service"
		if draining {
			health = "terminating"
		}
		hosts = append(hosts, host{"host": fmt.Sprintf("s-%d", i), "dial": addr, "site": "a", "class": "plain",
			"block": w.destinations[i], "health": health, "share": 50.0, "born_ms": 0})
	}
	text, _ := json.Marshal(map[string]any{"seq": w.seq, "whole": version < 0, "hosts": hosts})
	return text
}

func (w *World) list(rw http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.FormValue("index"))
	if err != nil {
		index = -1
	}
	if w.ListOverride != nil {
		if text := w.ListOverride(max(index, 0)); text != "" {
			fmt.Fprint(rw, text)
			return
		}
	}
	w.mu.Lock()
	seq, changed := w.seq, w.changed
	w.mu.Unlock()
	if index >= seq {
		wait, _ := strconv.Atoi(r.FormValue("wait"))
		select {
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// Once an endpoint drains, a courier with a list gets only the endpoints that started to drain since its version.
	if index >= 0 && len(w.draining) > 0 || index >= w.seq {
		rw.Write(w.listSince(index))
		return
	}
	rw.Write(w.listSince(-1))
}

func (w *World) notice(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	unanswered := w.unansweredNotices > 0
	if unanswered {
		w.unansweredNotices--
	}
	w.mu.Unlock()
	if unanswered {
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n struct{ ID, Status string }
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.notices[n.ID] = append(w.notices[n.ID], n.Status)
		w.record(n.ID, NoticeReceived)
	}
	rw.WriteHeader(http.StatusNoContent)
}

// call handles one call for the given messages. It returns the answer, and true if the status is 200, in which case the caller may write a
// body; else the answer is complete or the connection closed.
func (w *World) call(rw http.ResponseWriter, ids ...string) (response Response, succeeded bool) {
	w.mu.Lock()
	if now := time.Now(); now.Before(w.waitUntil) && now.After(w.waitSentAt.Add(100*time.Millisecond)) {
		w.violations.EarlyCalls++
	}
	response = w.respond(ids[0])
	for _, id := range ids {
		w.record(id, CallReceived)
		if response.Status != 429 && response.Status != 503 {
			w.startedCalls[id]++
		}
		defer w.trackOrdering(id)()
	}
	w.mu.Unlock()
	time.Sleep(response.Delay)
	if response.Endless {
		writeInterimResponses(rw)
		return response, false
	}
	switch response.Status {
	case 0:
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
		return response, false
	case 200:
		w.mu.Lock()
		for _, id := range ids {
			w.succeededCalls[id]++
			w.record(id, Delivered)
		}
		w.mu.Unlock()
		return response, true
	}
	if response.BackoffMs > 0 {
		w.mu.Lock()
		w.waitSentAt, w.waitUntil = time.Now(), time.Now().Add(time.Duration(response.BackoffMs)*time.Millisecond)
		w.mu.Unlock()
		rw.Header().Set("X-Backoff-Ms", strconv.Itoa(response.BackoffMs))
	}
	rw.WriteHeader(response.Status)
	return response, false
}

// writeInterimResponses writes interim responses until the connection is closed.
func writeInterimResponses(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := []byte(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000))
	for err == nil {
		_, err = conn.Write(text)
	}
}

// trackOrdering checks the order of messages with ids such as line-KEY-7, in which 7 is the position for the ordering key KEY. It returns a
// function to call when the call ends. The caller of trackOrdering holds the lock; the caller of the returned function does not.
func (w *World) trackOrdering(id string) func() {
	rest, ok := strings.CutPrefix(id, "line-")
	key, number, found := strings.Cut(rest, "-")
	n, err := strconv.Atoi(number)
	if !ok || !found || err != nil {
		return func() {}
	}
	state := w.orderedKeys[key]
	if state == nil {
		state = &orderedKey{inFlight: map[string]int{}}
		w.orderedKeys[key] = state
	}
	for other := range state.inFlight {
		if other != id {
			w.violations.OverlappingCalls++
		}
	}
	if n < state.highest {
		w.violations.OutOfOrder++
	}
	state.inFlight[id]++
	state.highest = max(state.highest, n)
	return func() {
		w.mu.Lock()
		if state.inFlight[id]--; state.inFlight[id] == 0 {
			delete(state.inFlight, id)
		}
		w.mu.Unlock()
	}
}

// Violations returns the violations seen so far.
func (w *World) Violations() Violations {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations
}

func (w *World) hook(rw http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Call-Id")
	response, succeeded := w.call(rw, id)
	switch {
	case !succeeded:
	case response.Body != "":
		io.WriteString(rw, response.Body)
	default:
		fmt.Fprintln(rw, id)
	}
}

func (w *World) batch(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if len(body) > maxBody {
		w.mu.Lock()
		w.violations.OversizedCalls++
		w.mu.Unlock()
	}
	var ids []string
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte("\r\n"))
		parts := strings.Fields(string(line))
		if len(parts) != 3 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		n, _ := strconv.Atoi(parts[2])
		if len(rest) < n+2 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		ids, body = append(ids, parts[0]), rest[n+2:]
	}
	if _, succeeded := w.call(rw, ids...); succeeded {
		for _, id := range ids {
			fmt.Fprintf(rw, "%s accepted\r\n", id)
		}
	}
}

// MessageCalls returns how many calls for a message were started (without those answered with 429 or 503) and how many were answered with 200, and the
// statuses of its notices.
func (w *World) MessageCalls(id string) (started, succeeded int, notices []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedCalls[id], w.succeededCalls[id], append([]string(nil), w.notices[id]...)
}

// CourierConfiguration returns the configuration of a courier that uses this World.
func (w *World) CourierConfiguration(name, listen string) []byte {
	class := func(name, idempotency string, points float64) map[string]any {
		return map[string]any{"name": name, "idempotency": idempotency, "points": points, "slo-s": 1.0, "deadline-s": 8.0,
			"late-worth": 0.5, "dedup-window-s": 5.0, "group": "all"}
	}
	text, _ := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": w.Discovery, "seed": "8c1f30d27a5be964", "known": w.EndpointList(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": map[string]any{
			"classes": []any{class("update", "free", 1), class("order", "single_shot", 2)},
			"zones":   []string{"a"}, "shapes": []string{"plain"}, "fleet-size": 1, "ordinal": 0, "locality": 0,
			"tick-s": 0.005, "discovery": "subscribe", "weight-kind": "nominal",
			"family-info": map[string]any{"slots": 20, "decay": "halves", "per-call": []int{1}, "separate-routes": []bool{false}},
			"ceilings": map[string]any{"open-cap": 200, "try-limit": 6, "may-cancel": true, "retry-after": true,
				"max-retry-after-s": 2.0, "conn-idle-s": 5.0, "connect-timeout-s": 1.0},
			"rules": map[string]any{"cold-from": 0.2, "ramp-time-s": 10.0, "fall-multiple": 2.0},
		},
	}, "", "  ")
	return text
}
