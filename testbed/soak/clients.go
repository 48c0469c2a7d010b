package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientCount    = 4
	submitInterval = 20 * time.Millisecond
	// replyTimeout is how long a client waits for a reply. After that it closes the connection; the outcome
	// of the message is unknown and not counted.
	replyTimeout = 400 * time.Millisecond
)

// clients submit messages and record the replies.
type clients struct {
	mu         sync.Mutex
	accepted   []string
	rejected   []string
	unanswered int
}

// run starts the clients; the returned function stops them.
func (c *clients) run(address string, seed int64) (stop func()) {
	var stopped atomic.Bool
	var all sync.WaitGroup
	for client := range clientCount {
		all.Go(func() { c.submit(address, fmt.Sprintf("%d-%d", seed, client), client, &stopped) })
	}
	return func() {
		stopped.Store(true)
		all.Wait()
	}
}

// submit submits messages over one connection at a time. It opens a new connection every 5, 25, 45 or 65
// messages, depending on the client.
func (c *clients) submit(address, idPrefix string, client int, stopped *atomic.Bool) {
	var conn net.Conn
	var replies *bufio.Reader
	for n := 0; !stopped.Load(); n++ {
		time.Sleep(submitInterval)
		if conn != nil && n%(5+20*client) == 0 {
			conn.Close()
			conn = nil
		}
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", address, replyTimeout)
			if err != nil {
				continue
			}
			conn, replies = dialed, bufio.NewReader(dialed)
		}
		class := []string{"update", "order"}[n%2]
		id := fmt.Sprintf("%s-%s-%d", class, idPrefix, n)
		attributes := fmt.Sprintf("c=%s,d=%d,dest=1", class, timeToLive.Milliseconds())
		conn.SetDeadline(time.Now().Add(replyTimeout))
		fmt.Fprintf(conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$4\r\nbody\r\n", len(id), id, len(attributes), attributes)
		reply, err := replies.ReadString('\n')
		c.record(id, reply, err)
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

func (c *clients) record(id, reply string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == io.EOF:
		c.unanswered++
	case err != nil: // timeout or connection error: the outcome is unknown and not counted
	case reply == "+OK\r\n":
		c.accepted = append(c.accepted, id)
	case strings.HasPrefix(reply, "-BUSY"):
		c.rejected = append(c.rejected, id)
	}
}

func (c *clients) acceptedIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.accepted...)
}

// check compares the replies with what endpoints and discovery saw of each message, and adds counts and
// breaches to the result.
func (c *clients) check(r *run, res *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res.Accepted, res.Rejected, res.Unanswered = len(c.accepted), len(c.rejected), c.unanswered
	for _, id := range c.accepted {
		callsStarted, deliveries, notices := r.standIns.MessageCalls(id)
		if deliveries > 0 {
			res.Delivered++
		} else if len(notices) > 0 {
			res.Notices++
		}
		if strings.HasPrefix(id, "order") && callsStarted > 1 {
			res.Breaches = append(res.Breaches, fmt.Sprintf("duplicate effect: endpoints received message %s %d times", id, callsStarted))
		}
		if callsStarted > 0 && deliveries == 0 && len(notices) > 0 && notices[0] == "deferred" && strings.HasPrefix(id, "order") {
			res.Breaches = append(res.Breaches, fmt.Sprintf("notice \"deferred\" although an endpoint received the message: %s", id))
		}
	}
	for _, id := range c.rejected {
		if callsStarted, _, _ := r.standIns.MessageCalls(id); callsStarted > 0 && strings.HasPrefix(id, "order") {
			res.Breaches = append(res.Breaches, fmt.Sprintf("rejected, but an endpoint received the message: %s", id))
		}
	}
	if c.unanswered > 0 && !r.plan.mayCloseUnanswered() {
		res.Breaches = append(res.Breaches, fmt.Sprintf("the courier closed connections without answering %d requests", c.unanswered))
	}
	if res.Accepted == 0 {
		res.Breaches = append(res.Breaches, "no message was accepted")
	}
}
