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
	clientCount = 4
	interval    = 20 * time.Millisecond
	// replyTimeout is how long a client waits; then it closes, and what it submitted counts for nothing.
	replyTimeout = 400 * time.Millisecond
)

// clients submit messages, and keep what they were told.
type clients struct {
	mu         sync.Mutex
	accepted   []string
	rejected   []string
	unanswered int
}

// run starts the clients; stop ends them.
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

// submit submits over one connection, which it leaves every now and then.
func (c *clients) submit(address, name string, client int, stopped *atomic.Bool) {
	var conn net.Conn
	var replies *bufio.Reader
	for n := 0; !stopped.Load(); n++ {
		time.Sleep(interval)
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
		id := fmt.Sprintf("%s-%s-%d", class, name, n)
		attributes := fmt.Sprintf("c=%s,d=%d,dest=1", class, timeToLive.Milliseconds())
		conn.SetDeadline(time.Now().Add(replyTimeout))
		fmt.Fprintf(conn, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$4\r\nbody\r\n", len(id), id, len(attributes), attributes)
		reply, err := replies.ReadString('\n')
		c.note(id, reply, err)
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

func (c *clients) note(id, reply string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == io.EOF:
		c.unanswered++
	case err != nil: // it gave up: what it submitted counts for nothing
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

// judge looks at what endpoints and the platform saw of each message.
func (c *clients) judge(p *play, r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Accepted, r.Rejected, r.Unanswered = len(c.accepted), len(c.rejected), c.unanswered
	for _, id := range c.accepted {
		began, done, notices := p.world.MessageCalls(id)
		if done > 0 {
			r.Delivered++
		} else if len(notices) > 0 {
			r.Notices++
		}
		if strings.HasPrefix(id, "order") && began > 1 {
			r.Breaches = append(r.Breaches, fmt.Sprintf("double effect: %s ran %d times", id, began))
		}
		if began > 0 && done == 0 && len(notices) > 0 && notices[0] == "deferred" && strings.HasPrefix(id, "order") {
			r.Breaches = append(r.Breaches, fmt.Sprintf("rejected though it may have run: %s", id))
		}
	}
	for _, id := range c.rejected {
		if began, _, _ := p.world.MessageCalls(id); began > 0 && strings.HasPrefix(id, "order") {
			r.Breaches = append(r.Breaches, fmt.Sprintf("refused, and ran: %s", id))
		}
	}
	if c.unanswered > 0 && !p.plan.mayCloseOnRequests() {
		r.Breaches = append(r.Breaches, fmt.Sprintf("closed with no answer: %d requests", c.unanswered))
	}
	if r.Accepted == 0 {
		r.Breaches = append(r.Breaches, "nothing was accepted")
	}
}
