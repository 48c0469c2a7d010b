// Package load is an open-loop load generator for couriers. It submits messages at scheduled times, regardless of the outcome of earlier
// ones, over pooled connections in the platform's client protocol (RESP). It measures how late each message is
// sent, and reports if it did not keep the schedule.
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

// ReplyTimeout is how long a client waits for a connection, and how long for a courier's reply.
const ReplyTimeout = 400 * time.Millisecond

// Kind is the outcome of a submission.
type Kind int

// Outcomes of a submission.
const (
	OK             Kind = iota
	Busy                // rejected; the client may submit the message again
	Failed              // any other reply
	TimedOut            // no reply within ReplyTimeout
	Unreachable         // the connection could not be established
	ConnectionLost      // the connection ended after the whole command was written, without a reply
	NotSent             // writing the command failed
)

// Reply is a courier's reply, or the reason why there is none.
type Reply struct {
	Kind       Kind
	RetryAfter time.Duration // Busy: how long to wait before submitting again; 0: not given
	Text       string
}

// Message is a message to submit.
type Message struct {
	ID, Class   string
	TimeToLive  time.Duration // remaining time in which it may be delivered
	Dest        int
	Tenant      string // empty: none
	OrderingKey string // empty: none
	Resubmitted bool   // submitted again after a rejection or a missing reply
	MayBeHeld   bool   // an earlier submission got no reply although a connection existed, so that another courier may hold the message
	Body        []byte
}

// EncodeEnqueue encodes the command that submits a message.
func EncodeEnqueue(message Message) []byte {
	pairs := fmt.Sprintf("c=%s,d=%d,dest=%d", message.Class, max(1, message.TimeToLive.Milliseconds()), message.Dest)
	if message.Tenant != "" {
		pairs += ",t=" + message.Tenant
	}
	if message.OrderingKey != "" {
		pairs += ",about=" + message.OrderingKey
	}
	if message.Resubmitted {
		pairs += ",r=1"
	}
	if message.MayBeHeld {
		pairs += ",again=1"
	}
	return command("ENQUEUE", "0", message.ID, pairs, string(message.Body))
}

func command(args ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, w := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// Pool is a pool of connections to one courier.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	dials   int
	closed  bool
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

// NewPool returns an empty pool for the courier at address.
func NewPool(address string) *Pool { return &Pool{address: address} }

func (p *Pool) get() (c *conn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.dials++
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", p.address, ReplyTimeout)
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

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Close closes the idle connections; connections still in use are closed when they are returned.
func (p *Pool) Close() {
	p.CloseIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// Do sends a command and waits for the reply. If a reused connection ends before the reply, the courier has probably closed it as idle; Do then
// sends the command again over a new connection.
func (p *Pool) Do(cmd []byte) Reply {
	for {
		c, reused, err := p.get()
		if err != nil {
			return Reply{Kind: Unreachable, Text: err.Error()}
		}
		r := c.do(cmd)
		switch r.Kind {
		case OK, Busy, Failed:
			p.put(c)
			return r
		}
		c.Close()
		if reused && (r.Kind == ConnectionLost || r.Kind == NotSent) {
			p.CloseIdle() // the other idle connections are probably closed too
			continue
		}
		return r
	}
}

func (c *conn) do(cmd []byte) Reply {
	c.SetDeadline(time.Now().Add(ReplyTimeout))
	if _, err := c.Write(cmd); err != nil {
		return Reply{Kind: NotSent, Text: err.Error()}
	}
	line, err := c.reader.ReadString('\n')
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return Reply{Kind: TimedOut}
	case err != nil:
		return Reply{Kind: ConnectionLost, Text: err.Error()}
	}
	return parseReply(strings.TrimRight(line, "\r\n"))
}

func parseReply(line string) Reply {
	if strings.HasPrefix(line, "+") {
		return Reply{Kind: OK, Text: line}
	}
	fields := strings.Fields(line)
	if len(fields) == 0 || fields[0] != "-BUSY" {
		return Reply{Kind: Failed, Text: line}
	}
	r := Reply{Kind: Busy, Text: line}
	if len(fields) > 1 {
		if ms, err := strconv.Atoi(fields[1]); err == nil && ms > 0 {
			r.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	return r
}

// Lateness records how late messages are sent compared with the schedule.
type Lateness struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLateness returns a recorder for delays from 0.1 ms to 1 min; delays outside this range count as its nearest bound.
func NewLateness() *Lateness { return &Lateness{hist: hdrhistogram.New(100, 60*1000*1000, 3)} }

// Record records how late one message was sent.
func (l *Lateness) Record(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(100, late.Microseconds()), 60*1000*1000)) // no error: the value is clamped to the range of the histogram
}

// Limits of lateness. A run that exceeds one of them is invalid: its load differed from the schedule.
const (
	maxLateP99 = 50 * time.Millisecond
	maxLate    = 500 * time.Millisecond
)

// Violation describes by how much the schedule was missed, or returns "" if it was kept.
func (l *Lateness) Violation() string {
	p99, longest := l.P99AndMax()
	if p99 <= maxLateP99 && longest <= maxLate {
		return ""
	}
	return fmt.Sprintf("load generator fell behind its schedule: p99 %v, maximum %v", p99, longest)
}

// P99AndMax returns the 99th percentile and the maximum of the recorded delays.
func (l *Lateness) P99AndMax() (p99, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return us(l.hist.ValueAtQuantile(99)), us(l.hist.Max())
}

// Run calls send(i) in a new goroutine for each i below n, at the time start plus at(i). It returns after the last call has started, or when
// stop is closed.
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
		late.Record(time.Since(due))
		go send(i)
	}
}
