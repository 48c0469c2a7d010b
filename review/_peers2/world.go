package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an endpoint on discovery's list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
	seq    int64   // list version of its last change
}

// platform is discovery and the receiver of notices.
type platform struct {
	record  *record
	address string
	server  *http.Server

	mu      sync.Mutex
	seq     int64
	entries map[string]*entry
	order   []string
	changed chan struct{}
	notices map[string]time.Time // when the first one of a message came
	down    bool                 // list requests end with 503, and watches end
	fell    chan struct{}        // closed when discovery goes down
	whole   bool                 // every list request is answered with the whole list
	// write, if set, writes the body of a list answer in place of one write.
	write func(w http.ResponseWriter, body []byte)
}

func newPlatform(r *record) *platform {
	p := &platform{record: r, entries: map[string]*entry{}, changed: make(chan struct{}), fell: make(chan struct{}), notices: map[string]time.Time{}}
	l := mustListen("127.0.0.1:0")
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", p.list)
	mux.HandleFunc("POST /v1/notices", p.notice)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(l)
	return p
}

// set changes entries in one list version.
func (p *platform) set(changes ...entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	for _, change := range changes {
		change.seq = p.seq
		if p.entries[change.Host] == nil {
			p.order = append(p.order, change.Host)
		}
		p.entries[change.Host] = &change
		p.record.line("list seq=%d %s block=%d dial=%s %s", p.seq, change.Host, change.Block, change.Dial, change.Health)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// setDown takes discovery down or up. Notices are taken all the time.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.line("discovery is down: %v", down)
	if p.down = down; down {
		close(p.fell)
		p.fell = make(chan struct{})
	}
}

// body returns the whole list, or the changes after a version.
func (p *platform) body(after int64, whole bool) []byte {
	hosts := []entry{}
	for _, host := range p.order {
		if e := p.entries[host]; whole && e.Health != "terminated" || !whole && e.seq > after {
			hosts = append(hosts, *e)
		}
	}
	text, _ := json.Marshal(map[string]any{"seq": p.seq, "whole": whole, "hosts": hosts})
	return text
}

// known returns the list as a courier's configuration holds it.
func (p *platform) known() json.RawMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.body(0, true)
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	whole := err != nil || index <= 0
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !whole {
		deadline := time.After(time.Duration(waitMs) * time.Millisecond)
		for waiting := true; waiting && p.seq <= index; {
			changed, fell := p.changed, p.fell
			p.mu.Unlock()
			select {
			case <-changed:
			case <-fell:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				return
			}
			p.mu.Lock()
		}
	}
	text, write := p.body(index, whole || p.whole), p.write
	p.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if write != nil {
		write(w, text)
	} else {
		w.Write(text)
	}
}

func (p *platform) notice(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		var n struct{ ID, Status string }
		if json.Unmarshal([]byte(line), &n) == nil {
			if p.notices[n.ID].IsZero() {
				p.notices[n.ID] = time.Now()
			}
			p.record.line("notice %s %s", n.ID, n.Status)
		}
	}
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// noticeAt returns when the first notice of a message came, or the zero time.
func (p *platform) noticeAt(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices[id]
}

// trip is one message in one call to an endpoint.
type trip struct {
	endpoint string
	id       string
	at       time.Time // when the last byte of the call had come
	until    time.Time // when its answer was written or its connection had ended; zero while it is out
	outcome  string
	bodySize int
	batch    int
}

// answer is how an endpoint answers a call. Status 0: it says nothing until the courier gives up.
type answer struct {
	status    int
	delay     time.Duration
	backoffMs int64 // X-Backoff-Ms; 0: none
}

// trips holds all trips to all endpoints.
type trips struct {
	record *record
	mu     sync.Mutex
	all    []*trip
}

func (t *trips) list() []trip {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []trip
	for _, one := range t.all {
		all = append(all, *one)
	}
	return all
}

// endpoint is a receiver of calls.
type endpoint struct {
	name    string
	address string
	server  *http.Server
	trips   *trips
	// answer decides how a call is answered.
	answer func(ids []string, size int) answer
}

func newEndpoint(t *trips, name, address string, decide func(ids []string, size int) answer) *endpoint {
	l := mustListen(address)
	e := &endpoint{name: name, address: l.Addr().String(), trips: t, answer: decide}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hook", e.one)
	mux.HandleFunc("POST /hook/batch", e.batch)
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(l)
	return e
}

func (e *endpoint) one(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.serve(w, r, []string{r.Header.Get("X-Call-Id")}, len(body))
}

// batch reads a call with several messages: for each a line with id, key and length, and its bytes; both end in CRLF.
func (e *endpoint) batch(w http.ResponseWriter, r *http.Request) {
	size := &countingReader{reader: r.Body}
	in := bufio.NewReader(size)
	var ids []string
	for {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			break
		}
		fields := strings.Fields(line)
		if err != nil || len(fields) != 3 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n, _ := strconv.Atoi(fields[2])
		if _, err := in.Discard(n + 2); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ids = append(ids, fields[0])
	}
	e.serve(w, r, ids, size.n)
}

type countingReader struct {
	reader io.Reader
	n      int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.reader.Read(b)
	c.n += n
	return n, err
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request, ids []string, size int) {
	now := time.Now()
	var mine []*trip
	e.trips.mu.Lock()
	for _, id := range ids {
		mine = append(mine, &trip{endpoint: e.name, id: id, at: now, bodySize: size, batch: len(ids)})
	}
	e.trips.all = append(e.trips.all, mine...)
	e.trips.mu.Unlock()
	e.trips.record.line("call %s messages=%d bytes=%d %s", e.name, len(ids), size, strings.Join(ids, " "))
	a := e.answer(ids, size)
	ended := ""
	if a.status == 0 {
		<-r.Context().Done()
		ended = "given up by the courier"
	} else {
		select {
		case <-time.After(a.delay):
			ended = strconv.Itoa(a.status)
		case <-r.Context().Done():
			ended = "given up by the courier"
		}
	}
	e.trips.mu.Lock()
	for _, one := range mine {
		one.until, one.outcome = time.Now(), ended
	}
	e.trips.mu.Unlock()
	e.trips.record.line("ended %s %s %s", e.name, ended, strings.Join(ids, " "))
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	body := ""
	if a.status == 200 && r.URL.Path == "/hook/batch" {
		for _, id := range ids {
			body += id + " accepted\r\n"
		}
	}
	if a.backoffMs > 0 {
		w.Header().Set("X-Backoff-Ms", strconv.FormatInt(a.backoffMs, 10))
	}
	w.WriteHeader(a.status)
	io.WriteString(w, body)
}

// sent is a message that a client handed in.
type sent struct {
	id    string
	dest  int
	at    time.Time
	ttl   time.Duration
	reply string // empty: no answer came
	class string
}

// client hands messages in over one connection, and connects again when it ends.
type client struct {
	record  *record
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func newClient(r *record, address string) *client { return &client{record: r, address: address} }

func command(args ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return text
}

func enqueue(m *sent, extra, body string) string {
	return command("ENQUEUE", "0000000000000000", m.id, fmt.Sprintf("c=%s,d=%d,dest=%d%s", m.class, m.ttl.Milliseconds(), m.dest, extra), body)
}

// send hands messages in with one write and reads the answers, waiting 400 ms.
func (c *client) send(text string, messages ...*sent) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, 400*time.Millisecond)
		if err != nil {
			c.record.line("client cannot connect: %v", err)
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	now := time.Now()
	c.conn.SetDeadline(now.Add(400 * time.Millisecond))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.close()
		return
	}
	for _, m := range messages {
		m.at = now
		line, err := c.in.ReadString('\n')
		m.reply = strings.TrimSpace(line)
		c.record.line("sent %s class=%s dest=%d ttl_ms=%d answered %q", m.id, m.class, m.dest, m.ttl.Milliseconds(), m.reply)
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func mustListen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}
