// Package scripted plays discovery, the platform and a few endpoints on loopback, whose calls end as a test says, for the
// end-to-end test. It is written from the pages that describe them and keeps books of what it saw.
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

// Response is how an endpoint treats a call.
type Response struct {
	Status    int           // 0 closes the connection without an answer
	Delay     time.Duration // work before the answer
	BackoffMs int
}

// Violations counts what an endpoint must never see.
type Violations struct {
	EarlyCalls       int // calls within a wait that was notified over a tenth of a second before
	OverlappingCalls int // calls for a key while another message of it is out
	OutOfOrder       int // calls for a key behind a later one
}

// line is a key whose messages go one at a time.
type line struct {
	out  map[string]int // calls, by message; one that a killed courier had out runs on beside its next
	last int
}

// World is discovery and the endpoints of one destination.
type World struct {
	Discovery    string // its address
	Endpoints    []string
	ListOverride func(index int) string // what discovery answers, in place of the list; empty for the list

	mu       sync.Mutex
	fate     func(id string) Response
	seq      int
	dests    []int         // of the endpoints
	draining map[int]int   // endpoints that drain, and the version of the list since when
	changed  chan struct{} // closed with each drain
	calls    []*atomic.Int64
	began    map[string]int // calls that were begun, by message
	done     map[string]int
	notices  map[string][]string
	broken   Violations
	notified time.Time // when the last wait was notified, and until when it holds
	waitTo   time.Time
	lines    map[string]*line
	mute     int // calls with notices that will get no answer
	servers  []*http.Server
	home     *http.Server // discovery's
}

// Open starts a world with so many endpoints; fate decides for each call.
func Open(endpoints int, fate func(id string) Response) (*World, error) {
	w := &World{lines: map[string]*line{}, fate: fate, seq: 1 - endpoints, draining: map[int]int{}, changed: make(chan struct{}), began: map[string]int{}, done: map[string]int{}, notices: map[string][]string{}}
	if err := w.settle(); err != nil {
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

// settle serves discovery and the platform at a new address.
func (w *World) settle() (err error) {
	platform := http.NewServeMux()
	platform.HandleFunc("GET /v1/servers", w.list)
	platform.HandleFunc("POST /v1/notices", w.notice)
	w.Discovery, err = w.serve(platform)
	w.home = w.servers[len(w.servers)-1]
	return err
}

// MoveDiscovery serves discovery at a new address; leave ends the old one.
func (w *World) MoveDiscovery() (leave func(), err error) {
	old := w.home
	return func() { old.Close() }, w.settle()
}

// AddEndpoint adds an endpoint; whoever watches is not reported before the next list.
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
	w.Endpoints, w.dests = append(w.Endpoints, addr), append(w.dests, dest)
	w.seq++
	return err
}

// Drain has discovery report an endpoint as draining, to whoever watches at once.
func (w *World) Drain(endpoint int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.draining[endpoint] = w.seq
	close(w.changed)
	w.changed = make(chan struct{})
}

// CloseAfterResponses has endpoints close each connection after its answer.
func (w *World) CloseAfterResponses() {
	for _, server := range w.servers {
		if server != w.home {
			server.SetKeepAlivesEnabled(false)
		}
	}
}

// Calls is how many calls have come to an endpoint.
func (w *World) Calls(endpoint int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.calls[endpoint].Load())
}

// LeaveNoticesUnanswered leaves so many calls with notices without an answer, unread.
func (w *World) LeaveNoticesUnanswered(calls int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = calls
}

// Close ends it.
func (w *World) Close() {
	for _, s := range w.servers {
		s.Close()
	}
}

// Known is the list in discovery's form.
func (w *World) Known() json.RawMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listSince(-1)
}

// listSince returns what was drained after a version, or, for a negative one, the whole list. The caller holds the lock.
func (w *World) listSince(version int) json.RawMessage {
	type host map[string]any
	hosts := []host{}
	for i, addr := range w.Endpoints {
		since, drains := w.draining[i]
		if version >= 0 && (!drains || since <= version) {
			continue
		}
		health := "in_service"
		if drains {
			health = "terminating"
		}
		hosts = append(hosts, host{"host": fmt.Sprintf("s-%d", i), "dial": addr, "site": "a", "class": "plain",
			"block": w.dests[i], "health": health, "share": 50.0, "born_ms": 0})
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
	if index >= 0 && len(w.draining) > 0 || index >= w.seq {
		rw.Write(w.listSince(index))
		return
	}
	rw.Write(w.listSince(-1))
}

func (w *World) notice(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	mute := w.mute > 0
	if mute {
		w.mute--
	}
	w.mu.Unlock()
	if mute {
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
	}
	rw.WriteHeader(http.StatusNoContent)
}

// call plays one call for some messages and tells whether it is answered.
func (w *World) call(rw http.ResponseWriter, ids ...string) bool {
	w.mu.Lock()
	if now := time.Now(); now.Before(w.waitTo) && now.After(w.notified.Add(100*time.Millisecond)) {
		w.broken.EarlyCalls++
	}
	fate := w.fate(ids[0])
	for _, id := range ids {
		if fate.Status != 429 && fate.Status != 503 {
			w.began[id]++
		}
		defer w.inLine(id)()
	}
	w.mu.Unlock()
	time.Sleep(fate.Delay)
	switch fate.Status {
	case 0:
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
		return false
	case 200:
		w.mu.Lock()
		for _, id := range ids {
			w.done[id]++
		}
		w.mu.Unlock()
		return true
	}
	if fate.BackoffMs > 0 {
		w.mu.Lock()
		w.notified, w.waitTo = time.Now(), time.Now().Add(time.Duration(fate.BackoffMs)*time.Millisecond)
		w.mu.Unlock()
		rw.Header().Set("X-Backoff-Ms", strconv.Itoa(fate.BackoffMs))
	}
	rw.WriteHeader(fate.Status)
	return false
}

// inLine keeps the books of ids such as line-KEY-7, and returns what is to be done when the call is over. The caller holds
// the lock, and does not when it is over.
func (w *World) inLine(id string) func() {
	rest, ok := strings.CutPrefix(id, "line-")
	key, number, found := strings.Cut(rest, "-")
	n, err := strconv.Atoi(number)
	if !ok || !found || err != nil {
		return func() {}
	}
	l := w.lines[key]
	if l == nil {
		l = &line{out: map[string]int{}}
		w.lines[key] = l
	}
	for other := range l.out {
		if other != id {
			w.broken.OverlappingCalls++
		}
	}
	if n < l.last {
		w.broken.OutOfOrder++
	}
	l.out[id]++
	l.last = max(l.last, n)
	return func() {
		w.mu.Lock()
		if l.out[id]--; l.out[id] == 0 {
			delete(l.out, id)
		}
		w.mu.Unlock()
	}
}

// Violations is what must never be, as far as it was seen.
func (w *World) Violations() Violations {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

func (w *World) hook(rw http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	w.call(rw, r.Header.Get("X-Call-Id"))
}

func (w *World) batch(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
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
	if w.call(rw, ids...) {
		for _, id := range ids {
			fmt.Fprintf(rw, "%s accepted\r\n", id)
		}
	}
}

// MessageCalls tells how often a message's call was begun and answered as done, and the notices for it.
func (w *World) MessageCalls(id string) (began, done int, notices []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began[id], w.done[id], append([]string(nil), w.notices[id]...)
}

// CourierConfiguration is what a courier beside this world is notified.
func (w *World) CourierConfiguration(name, listen string) []byte {
	class := func(name, repeat string, points float64) map[string]any {
		return map[string]any{"name": name, "idempotency": repeat, "points": points, "slo-s": 1.0, "deadline-s": 8.0,
			"late-worth": 0.5, "dedup-window-s": 5.0, "group": "all"}
	}
	text, _ := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": w.Discovery, "seed": "8c1f30d27a5be964", "known": w.Known(),
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
