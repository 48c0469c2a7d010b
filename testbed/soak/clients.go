package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pineport/testbed/port"
)

// clientKind is how a client uses its connections.
type clientKind int

// The kinds of clients. All of them but reconnecting and oneShot clients keep a connection until the courier closes it.
const (
	steady       clientKind = iota // one request at a time
	reconnecting                   // a new connection every few requests
	oneShot                        // a new connection for each request
	pipelining                     // several requests at once
	splitting                      // each request in two parts, with a pause between them
	resting                        // pauses of up to some seconds between requests
)

// clientKinds are the clients of a run.
var clientKinds = []clientKind{steady, steady, reconnecting, oneShot, pipelining, splitting, splitting, resting}

const (
	submitInterval = 20 * time.Millisecond
	// replyTimeout is how long a client waits for a reply. After that it closes the connection; the outcome
	// of the message is unknown and not judged.
	replyTimeout = 400 * time.Millisecond
	// reconnectAfter is the number of requests after which a reconnecting client opens a new connection.
	reconnectAfter = 5
	maxPipelined   = 8
	maxSplitPause  = 40 * time.Millisecond
	maxRest        = 6 * time.Second
)

// timesToLive are the times to live of messages.
var timesToLive = []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond, maxTimeToLive}

const maxTimeToLive = 5 * time.Second

// result is how a request ended for its client.
type result int

const (
	unknown    result = iota // no reply within replyTimeout, or no connection
	accepted                 // +OK
	rejected                 // -BUSY
	failed                   // any other error reply
	wrongReply               // a reply that is none of the protocol
	unread                   // the connection was reset, so that the courier had not read the whole request
	unanswered               // the courier closed the connection without a reply, and had read all bytes sent on it
)

// request is one request of a client.
type request struct {
	id           string
	timeToLive   time.Duration
	sentAt       time.Time // before the first byte was written
	partRead     bool      // the courier had read the first part of the request before the second one was written
	endedAt      time.Time // when the reply or the end of the connection was read
	result       result
	firstOnConn  bool // the first request on its connection
	sentTwice    bool // sent once more on a new connection, as the courier had not read it
	completeSent bool // the last byte was written
}

func (q *request) deadline() time.Time { return q.sentAt.Add(q.timeToLive) }

// isAtMostOnce reports whether the message of the request must not run twice.
func (q *request) isAtMostOnce() bool { return strings.HasPrefix(q.id, "order") }

// encode returns the request as written on the wire.
func (q *request) encode() []byte {
	class, _, _ := strings.Cut(q.id, "-")
	attributes := fmt.Sprintf("c=%s,d=%d,dest=1", class, q.timeToLive.Milliseconds())
	return fmt.Appendf(nil, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$4\r\nbody\r\n", len(q.id), q.id, len(attributes), attributes)
}

// clients submit messages and record how each request ended.
type clients struct {
	mu       sync.Mutex
	requests []*request
}

// run starts the clients; the returned function stops them.
func (c *clients) run(address string, seed int64) (stop func()) {
	var stopped atomic.Bool
	var all sync.WaitGroup
	for number, kind := range clientKinds {
		one := &client{clients: c, kind: kind, address: address, name: fmt.Sprintf("%d-%d", seed, number), rng: rand.New(rand.NewSource(seed*100 + int64(number)))}
		all.Go(func() { one.submit(&stopped) })
	}
	return func() {
		stopped.Store(true)
		all.Wait()
	}
}

func (c *clients) add(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
}

// all returns all requests whose client has an outcome. It is called after the clients have stopped.
func (c *clients) all() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*request(nil), c.requests...)
}

// client is one client. Its goroutine owns it.
type client struct {
	clients *clients
	kind    clientKind
	address string
	name    string
	rng     *rand.Rand
	count   int

	conn    net.Conn
	replies *bufio.Reader
	onConn  int // requests sent on conn
}

// submit submits messages until stopped is set.
func (c *client) submit(stopped *atomic.Bool) {
	for !stopped.Load() {
		c.pause(stopped)
		if c.kind == oneShot || c.kind == reconnecting && c.onConn >= reconnectAfter {
			c.close()
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		batch := []*request{c.newRequest()}
		for c.kind == pipelining && len(batch) < 1+c.rng.Intn(maxPipelined) {
			batch = append(batch, c.newRequest())
		}
		for _, q := range c.exchange(batch) {
			c.sendAgain(q)
		}
		for _, q := range batch {
			c.clients.add(q)
		}
	}
	c.close()
}

// pause waits before the next request.
func (c *client) pause(stopped *atomic.Bool) {
	length := submitInterval
	if c.kind == resting {
		length = time.Duration(c.rng.Int63n(int64(maxRest)))
	}
	for end := time.Now().Add(length); time.Now().Before(end) && !stopped.Load(); {
		time.Sleep(min(submitInterval, time.Until(end)))
	}
}

func (c *client) newRequest() *request {
	c.count++
	class := []string{"update", "order"}[c.count%2]
	return &request{id: fmt.Sprintf("%s-%s-%d", class, c.name, c.count), timeToLive: timesToLive[c.rng.Intn(len(timesToLive))]}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.address, replyTimeout)
	if err != nil {
		return false
	}
	c.conn, c.replies, c.onConn = conn, bufio.NewReader(conn), 0
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends requests on the open connection and reads their replies. It returns the requests that the courier has
// not read: a client sends these once more.
func (c *client) exchange(batch []*request) (again []*request) {
	c.conn.SetDeadline(time.Now().Add(replyTimeout))
	for _, q := range batch {
		q.sentAt, q.firstOnConn = time.Now(), c.onConn == 0
		c.onConn++
		c.write(q)
	}
	for i, q := range batch {
		reply, err := c.replies.ReadString('\n')
		q.endedAt = time.Now()
		if err == nil {
			q.result = resultOf(reply)
			continue
		}
		end := c.endOfConn(err)
		for _, left := range batch[i:] {
			left.result, left.endedAt = end, q.endedAt
		}
		if end == unread {
			again = batch[i:]
		}
		c.close()
		return again
	}
	return nil
}

// write writes a request.
func (c *client) write(q *request) {
	encoded := q.encode()
	if c.kind == splitting {
		split := 1 + c.rng.Intn(len(encoded)-1)
		if _, err := c.conn.Write(encoded[:split]); err != nil {
			return
		}
		time.Sleep(time.Duration(c.rng.Int63n(int64(maxSplitPause))))
		unreadBytes, isOpen := port.UnreadByPeer(c.conn)
		q.partRead = isOpen && unreadBytes == 0
		encoded = encoded[split:]
	}
	_, err := c.conn.Write(encoded)
	q.completeSent = err == nil
}

// sendAgain sends a request that the courier has not read once more, on a new connection.
func (c *client) sendAgain(q *request) {
	if !c.dial() {
		return
	}
	q.sentTwice, q.partRead, q.completeSent = true, false, false
	c.exchange([]*request{q})
}

func resultOf(reply string) result {
	switch {
	case reply == "+OK\r\n":
		return accepted
	case strings.HasPrefix(reply, "-BUSY"):
		return rejected
	case strings.HasPrefix(reply, "-"):
		return failed
	}
	return wrongReply
}

// resetDelay is how long a reset may take that follows the end of the stream.
const resetDelay = 50 * time.Millisecond

// endOfConn returns how requests without a reply ended whose connection ended with err. A socket that is closed with unread
// bytes sends a reset. If the stream ends and no reset follows, the courier had read all that the client wrote.
func (c *client) endOfConn(err error) result {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return unknown
	case !errors.Is(err, io.EOF):
		return unread
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return unknown
	}
	wasReset := false
	for end := time.Now().Add(resetDelay); !wasReset && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			wasReset = err == nil && info.State == unix.BPF_TCP_CLOSE
		}) != nil {
			return unknown
		}
	}
	if wasReset {
		return unread
	}
	return unanswered
}
