// Package load is an open-loop load tool for couriers: it submits messages at given instants, whatever became of the
// earlier ones, over kept connections, in the platform's protocol. How late it was is measured, and a run in which it
// fell behind says so.
package load

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Patience is how long a client waits for a courier's answer.
const Patience = 400 * time.Millisecond

// Kind is what became of a submission.
type Kind int

// What a courier may answer, or not.
const (
	OK      Kind = iota
	Busy         // refused: handing it in again is harmless
	Failed       // anything else
	Silent       // nothing within the client's patience
	Down         // no connection came up
	Cut          // the connection ended after the last byte was written, without an answer
	Unasked      // the connection ended before that
)

// Reply is a courier's answer.
type Reply struct {
	Kind  Kind
	Again time.Duration // Busy: come again after this; 0: not reported
	Text  string
}

// Message is what is submitted.
type Message struct {
	ID, Class  string
	Left       time.Duration // how long it may still be delivered
	Dest       int
	Tenant     string // empty: none
	Key        string // of its order; empty: none
	Again      bool   // after a reject
	AfterDeath bool   // held by a courier that died or did not answer
	Body       []byte
}

// Enqueue is the command that submits one message.
func Enqueue(r Message) []byte {
	pairs := fmt.Sprintf("c=%s,d=%d,dest=%d", r.Class, max(1, r.Left.Milliseconds()), r.Dest)
	if r.Tenant != "" {
		pairs += ",t=" + r.Tenant
	}
	if r.Key != "" {
		pairs += ",about=" + r.Key
	}
	if r.Again {
		pairs += ",r=1"
	}
	if r.AfterDeath {
		pairs += ",again=1"
	}
	return command("ENQUEUE", "0", r.ID, pairs, string(r.Body))
}

func command(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// Pool keeps connections to one courier.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	opened  int
	closed  bool
}

type conn struct {
	net.Conn
	in *bufio.Reader
}

// NewPool makes a pool of connections to an address.
func NewPool(address string) *Pool { return &Pool{address: address} }

func (p *Pool) get() (c *conn, kept bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.opened++
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", p.address, Patience)
	if err != nil {
		return nil, false, err
	}
	return &conn{raw, bufio.NewReader(raw)}, false, nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Forget closes the connections that rest.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Close closes the pool.
func (p *Pool) Close() {
	p.Forget()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// Do hands a command over and waits for the answer. A request that crossed the close of a kept connection is sent once
// more, over a new one.
func (p *Pool) Do(cmd []byte) Reply {
	for {
		c, kept, err := p.get()
		if err != nil {
			return Reply{Kind: Down, Text: err.Error()}
		}
		r := c.do(cmd)
		switch r.Kind {
		case OK, Busy, Failed:
			p.put(c)
			return r
		}
		c.Close()
		if kept && (r.Kind == Cut || r.Kind == Unasked) {
			p.Forget() // those of the same age end the same way
			continue
		}
		return r
	}
}

func (c *conn) do(cmd []byte) Reply {
	c.SetDeadline(time.Now().Add(Patience))
	if _, err := c.Write(cmd); err != nil {
		return Reply{Kind: Unasked, Text: err.Error()}
	}
	line, err := c.in.ReadString('\n')
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return Reply{Kind: Silent}
	case err != nil:
		return Reply{Kind: Cut, Text: err.Error()}
	}
	return parse(strings.TrimRight(line, "\r\n"))
}

func parse(line string) Reply {
	if strings.HasPrefix(line, "+") {
		return Reply{Kind: OK, Text: line}
	}
	words := strings.Fields(line)
	if len(words) == 0 || words[0] != "-BUSY" {
		return Reply{Kind: Failed, Text: line}
	}
	r := Reply{Kind: Busy, Text: line}
	if len(words) > 1 {
		if ms, err := strconv.Atoi(words[1]); err == nil && ms > 0 {
			r.Again = time.Duration(ms) * time.Millisecond
		}
	}
	return r
}

// Lateness is how late an open-loop schedule was kept.
type Lateness struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLateness counts from a tenth of a millisecond to a minute.
func NewLateness() *Lateness { return &Lateness{hist: hdrhistogram.New(100, 60*1000*1000, 3)} }

// Note takes down how late one message was sent.
func (l *Lateness) Note(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(100, late.Microseconds()), 60*1000*1000)) // always within its bounds
}

// A run counts only if the schedule was kept: an open loop that falls behind becomes a closed one.
const (
	lateP99 = 50 * time.Millisecond
	lateMax = 500 * time.Millisecond
)

// Behind says by how much the tool fell behind, or nothing.
func (l *Lateness) Behind() string {
	p99, most := l.Quantiles()
	if p99 <= lateP99 && most <= lateMax {
		return ""
	}
	return fmt.Sprintf("the load tool fell behind its schedule: 1 in 100 records by %v or more, one by %v", p99, most)
}

// Quantiles are the 99th in a hundred, and the latest.
func (l *Lateness) Quantiles() (p99, most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return us(l.hist.ValueAtQuantile(99)), us(l.hist.Max())
}

// Run calls send for each of n messages at its instant, counted from start; it returns when the last was begun, or stop
// is closed.
func Run(start time.Time, n int, at func(i int) time.Duration, send func(i int), late *Lateness, stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for i := range n {
		due := start.Add(at(i))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-stop:
				return
			}
		}
		late.Note(time.Since(due))
		go send(i)
	}
}
