// Package faultproxy is an HTTP proxy between a courier and discovery that injects faults chosen by the test:
// it forwards a call, refuses it, leaves it unanswered, or damages the response. It records when each call
// was read and when its response was written.
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

// Fault is the fault injected into a call.
type Fault int

// The faults that can be injected.
const (
	None          Fault = iota
	NoResponse          // no response; the connection stays open
	Reset               // the connection is reset after the request has been read
	Unavailable         // immediate 503 response, as from an overloaded server
	Truncated           // the connection closes after half of the response body
	Stalled             // half of the response body is sent, then nothing; the connection stays open
	Duplicate           // the response is sent twice
	Delayed             // the response is sent after FaultSpec.Delay
	SlowResponse        // the response is sent byte by byte over FaultSpec.Delay
	EndlessHeader       // the response header never ends
	Corrupted           // the response body is modified by FaultSpec.Edit
	Repeated            // the previous response of the connection is sent again, and the request is dropped; without a previous one as None
)

var faultNames = [...]string{"none", "silent", "reset", "unavailable", "cut", "stuck", "duplicate", "late", "trickle", "endless", "spoilt", "repeated"}

func (f Fault) String() string { return faultNames[f] }

// FaultSpec is the fault for one call and its parameters.
type FaultSpec struct {
	Fault Fault
	Delay time.Duration
	Edit  func(body []byte) []byte // modifies the response body for Corrupted
}

// Call is one call as seen by the proxy.
type Call struct {
	Number   int // counted from 0 over all connections
	Path     string
	Query    url.Values
	Fault    Fault
	Read     time.Time // when the last byte of the request was read
	Answered time.Time // when the proxy finished writing the response, even if truncated or failed; zero if it wrote none
}

// IsPoll reports whether the call requests the endpoint list.
func (c Call) IsPoll() bool { return c.Path == "/v1/servers" }

// Proxy is an HTTP proxy that injects faults.
type Proxy struct {
	Address string

	upstream string
	decide   func(Call) FaultSpec
	listener net.Listener
	client   *http.Client
	closed   chan struct{}

	mu    sync.Mutex
	calls []Call
	conns map[net.Conn]bool // open connections; true: silenced
	held  chan struct{}     // if set, new connections stay silent until it is closed
}

// Open starts a proxy on a loopback port in front of the server at the address upstream. The proxy calls
// decide once for each call: from several goroutines, but never concurrently.
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

// Close stops the proxy and closes all of its connections.
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

// FaultCounts returns the number of calls for each fault. A fault that is missing was never injected.
func (p *Proxy) FaultCounts() map[Fault]int {
	counts := map[Fault]int{}
	for _, call := range p.Calls() {
		counts[call.Fault]++
	}
	return counts
}

// SilenceOpen makes all open connections silent for good: what is sent on them is read and dropped, and nothing is answered. It returns
// their number.
func (p *Proxy) SilenceOpen() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		p.conns[conn] = true
	}
	return len(p.conns)
}

// HoldNew keeps new connections silent until the returned function is called; then they are served.
func (p *Proxy) HoldNew() (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make(chan struct{})
	p.held = held
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held = nil
		close(held)
	}
}

func (p *Proxy) isSilenced(conn net.Conn) bool {
	if recorded, ok := conn.(*recordedConn); ok {
		conn = recorded.Conn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[conn]
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[conn] = false
		held := p.held
		p.mu.Unlock()
		go func() {
			if held != nil {
				<-held
			}
			p.serve(conn)
		}()
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
	var previous bytes.Buffer // last response of the connection
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if p.isSilenced(conn) {
			continue
		}
		call, treatment := p.register(request)
		if treatment.Fault == Repeated && previous.Len() > 0 {
			conn.Write(previous.Bytes())
			continue
		}
		previous.Reset()
		if !p.handle(&recordedConn{conn, &previous}, call.Number, treatment, request, body) {
			return
		}
	}
}

// recordedConn is a connection whose written bytes are recorded.
type recordedConn struct {
	net.Conn
	written *bytes.Buffer
}

func (c *recordedConn) Write(b []byte) (int, error) {
	c.written.Write(b)
	return c.Conn.Write(b)
}

func (p *Proxy) register(request *http.Request) (Call, FaultSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := Call{Number: len(p.calls), Path: request.URL.Path, Query: request.URL.Query(), Read: time.Now()}
	treatment := p.decide(call)
	call.Fault = treatment.Fault
	p.calls = append(p.calls, call)
	return call, treatment
}

func (p *Proxy) markAnswered(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[number].Answered = time.Now()
}

// handle responds to one call with its fault, and reports whether the connection stays open.
func (p *Proxy) handle(conn net.Conn, number int, treatment FaultSpec, request *http.Request, body []byte) bool {
	switch treatment.Fault {
	case NoResponse:
		return true // leave the call unanswered and read on; clients are expected to close the connection
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
	defer p.markAnswered(number)
	return p.deliver(conn, treatment, status, answer)
}

// deliver writes a response with its fault, and reports whether the connection stays open.
func (p *Proxy) deliver(conn net.Conn, treatment FaultSpec, status int, body []byte) bool {
	if p.isSilenced(conn) {
		return true
	}
	if treatment.Fault == Corrupted {
		body = treatment.Edit(body)
	}
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(body))
	response := append(head, body...)
	truncated := response[:len(head)+len(body)/2]
	switch treatment.Fault {
	case Truncated:
		conn.Write(truncated)
		return false
	case Stalled:
		conn.Write(truncated)
		return true
	case Duplicate:
		response = append(response, response...)
	case Delayed:
		p.pause(treatment.Delay)
	case SlowResponse:
		for _, b := range response {
			conn.Write([]byte{b})
			p.pause(treatment.Delay / time.Duration(len(response)))
		}
		return true
	}
	_, err := conn.Write(response)
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

// forward sends a request to the upstream server and reads the response.
func (p *Proxy) forward(request *http.Request, body []byte) (status int, answer []byte, err error) {
	forwarded, err := http.NewRequest(request.Method, "http://"+p.upstream+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := p.client.Do(forwarded)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func (p *Proxy) pause(length time.Duration) {
	select {
	case <-time.After(length):
	case <-p.closed:
	}
}

func reset(conn net.Conn) {
	if recorded, ok := conn.(*recordedConn); ok {
		conn = recorded.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
