// Package faultproxy stands between a courier and discovery and treats each call as a test says: passes it on, refuses it, falls
// silent, or spoils its answer on the way. It keeps both sides' times of every call.
package faultproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Fault is what happens to a call.
type Fault int

// The faults.
const (
	None          Fault = iota
	NoResponse          // no answer, and the connection stays open
	Reset               // the connection is reset once the call has been read
	Unavailable         // 503 at once, as from an overloaded server
	Truncated           // the answer ends in the middle of its body
	Stalled             // the same, but the connection stays open and silent
	Duplicate           // the answer comes twice
	Delayed             // the answer comes after FaultSpec.Delay
	SlowResponse        // the answer comes byte by byte, over FaultSpec.Delay
	EndlessHeader       // the head of the answer does not end
	Corrupted           // the body is what FaultSpec.Edit makes of it
)

var names = [...]string{"none", "silent", "reset", "unavailable", "cut", "stuck", "duplicate", "late", "trickle", "endless", "spoilt"}

func (f Fault) String() string { return names[f] }

// FaultSpec is how a call is treated.
type FaultSpec struct {
	Fault Fault
	Delay time.Duration
	Edit  func(body []byte) []byte // of Corrupted
}

// Call is one call as the proxy saw it.
type Call struct {
	Number   int // from 0, over all connections
	Path     string
	Query    url.Values
	Fault    Fault
	Read     time.Time // when the last byte of the call had been read
	Answered time.Time // when the last byte that comes of the answer was written; zero for none
}

// IsPoll reports whether the call asks for the endpoint list.
func (c Call) IsPoll() bool { return c.Path == "/v1/servers" }

// Proxy is one proxy.
type Proxy struct {
	Address string

	upstream string
	decide   func(Call) FaultSpec
	listener net.Listener
	client   *http.Client
	closed   chan struct{}

	mu    sync.Mutex
	calls []Call
	conns map[net.Conn]bool
}

// Open starts a proxy on loopback in front of upstream, an address; decide is asked once for each call, by several goroutines.
func Open(upstream string, decide func(Call) FaultSpec) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), upstream: upstream, decide: decide, listener: listener,
		client: &http.Client{Transport: &http.Transport{}}, closed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Close ends it and all of its connections.
func (p *Proxy) Close() {
	close(p.closed)
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.Close()
	}
	p.client.CloseIdleConnections()
}

// Calls returns all calls so far, in the order in which they were read.
func (p *Proxy) Calls() []Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Call(nil), p.calls...)
}

// Struck counts the calls by what happened to them; a fault that never struck was not tested.
func (p *Proxy) Struck() map[Fault]int {
	struck := map[Fault]int{}
	for _, call := range p.Calls() {
		struck[call.Fault]++
	}
	return struck
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[conn] = true
		p.mu.Unlock()
		go p.serve(conn)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call, treatment := p.begin(request)
		if !p.treat(conn, call.Number, treatment, request, body) {
			return
		}
	}
}

func (p *Proxy) begin(request *http.Request) (Call, FaultSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := Call{Number: len(p.calls), Path: request.URL.Path, Query: request.URL.Query(), Read: time.Now()}
	treatment := p.decide(call)
	call.Fault = treatment.Fault
	p.calls = append(p.calls, call)
	return call, treatment
}

func (p *Proxy) answered(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[number].Answered = time.Now()
}

// treat plays one call and reports whether its connection is kept.
func (p *Proxy) treat(conn net.Conn, number int, treatment FaultSpec, request *http.Request, body []byte) bool {
	switch treatment.Fault {
	case NoResponse:
		return true // it waits for another call, which does not come before the connection ends
	case Reset:
		reset(conn)
		return false
	case Unavailable:
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	case EndlessHeader:
		return p.writeEndless(conn)
	}
	status, answer, err := p.forward(request, body)
	if err != nil {
		reset(conn)
		return false
	}
	defer p.answered(number)
	return p.deliver(conn, treatment, status, answer)
}

// deliver writes an answer with its fault.
func (p *Proxy) deliver(conn net.Conn, treatment FaultSpec, status int, body []byte) bool {
	if treatment.Fault == Corrupted {
		body = treatment.Edit(body)
	}
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(body))
	whole := append(head, body...)
	half := whole[:len(head)+len(body)/2]
	switch treatment.Fault {
	case Truncated:
		conn.Write(half)
		return false
	case Stalled:
		conn.Write(half)
		return true
	case Duplicate:
		whole = append(whole, whole...)
	case Delayed:
		p.pause(treatment.Delay)
	case SlowResponse:
		for _, b := range whole {
			conn.Write([]byte{b})
			p.pause(treatment.Delay / time.Duration(len(whole)))
		}
		return true
	}
	_, err := conn.Write(whole)
	return err == nil
}

func (p *Proxy) writeEndless(conn net.Conn) bool {
	const pause = 20 * time.Millisecond
	for {
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: y\r\n"); err != nil {
			return false
		}
		p.pause(pause)
	}
}

// forward plays a call upstream.
func (p *Proxy) forward(request *http.Request, body []byte) (status int, answer []byte, err error) {
	onwards, err := http.NewRequest(request.Method, "http://"+p.upstream+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := p.client.Do(onwards)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func (p *Proxy) pause(span time.Duration) {
	select {
	case <-time.After(span):
	case <-p.closed:
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
