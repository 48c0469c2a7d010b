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
	"time"
)

// call is one call that an endpoint has received whole.
type call struct {
	endpoint *endpoint
	ids      []string
	firstAt  time.Time // when its head had come, at the earliest
	at       time.Time // when its last byte had come
	mu       sync.Mutex
	over     bool // answered, or its connection has ended
	overAt   time.Time
	answered bool
}

func (c *call) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.over {
		c.over, c.overAt = true, time.Now()
	}
}

// endedBy returns when the call was answered or lost its connection, or when a later call was, if that came first.
func (c *call) endedBy(later *call) time.Time {
	ends := time.Now()
	for _, one := range []*call{c, later} {
		one.mu.Lock()
		if one.over && one.overAt.Before(ends) {
			ends = one.overAt
		}
		one.mu.Unlock()
	}
	return ends
}

// wasAnswered reports whether the endpoint answered the call.
func (c *call) wasAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// isOut reports whether the call is still out on an open connection.
func (c *call) isOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.over
}

// answer is what an endpoint does with a call.
type answer struct {
	status int
	after  time.Duration
	report string        // load report
	gate   chan struct{} // if set, the call is answered only after it is closed
}

// endpoint is a stand-in for one endpoint. decide is called for each call, with the endpoint's lock held by nobody.
type endpoint struct {
	record   *record
	host     host
	listener net.Listener
	decide   func(*call) answer

	mu    sync.Mutex
	calls []*call
}

func openEndpoint(r *record, address string, entry host, decide func(*call) answer) (*endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	entry.Dial = listener.Addr().String()
	e := &endpoint{record: r, host: entry, listener: listener, decide: decide}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// all returns the calls so far.
func (e *endpoint) all() []*call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*call(nil), e.calls...)
}

// serve reads the calls of one connection. It goes on reading while a call is out, so that it sees at once when the courier closes.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var last *call
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		c := &call{endpoint: e, firstAt: time.Now()}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			break
		}
		c.at = time.Now()
		batch := request.URL.Path == "/hook/batch"
		if batch {
			c.ids = batchIDs(body)
		} else {
			c.ids = []string{request.Header.Get("X-Call-Id")}
		}
		e.mu.Lock()
		e.calls = append(e.calls, c)
		e.mu.Unlock()
		e.record.add("%s: call with %s (budget %s ms)", e.host.Host, strings.Join(c.ids, " "), request.Header.Get("X-Budget-Ms"))
		last = c
		go e.answer(conn, c, batch)
	}
	if last != nil && last.isOut() {
		last.end()
		e.record.add("%s: connection ended under the call with %s", e.host.Host, strings.Join(last.ids, " "))
	}
}

func (e *endpoint) answer(conn net.Conn, c *call, batch bool) {
	a := e.decide(c)
	time.Sleep(a.after)
	if a.gate != nil {
		<-a.gate
	}
	c.mu.Lock()
	out := !c.over
	if out {
		c.over, c.overAt, c.answered = true, time.Now(), true
	}
	c.mu.Unlock()
	if !out {
		return
	}
	var body bytes.Buffer
	if batch && a.status == 200 {
		for _, id := range c.ids {
			fmt.Fprintf(&body, "%s accepted\r\n", id)
		}
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if a.report != "" {
		head += "X-Load-Report: " + a.report + "\r\n"
	}
	e.record.add("%s: answer %d to the call with %s", e.host.Host, a.status, strings.Join(c.ids, " "))
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, body.Len(), body.String())
}

// batchIDs returns the message ids in the body of a call with several messages.
func batchIDs(body []byte) (ids []string) {
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte("\r\n"))
		var id, key string
		var size int
		if n, _ := fmt.Sscanf(string(line), "%s %s %d", &id, &key, &size); n != 3 || size+2 > len(rest) {
			return ids
		}
		ids, body = append(ids, id), rest[size+2:]
	}
	return ids
}
