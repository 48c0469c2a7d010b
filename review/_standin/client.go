package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// clients hand messages in over kept connections, one command at a time on each, and open more when all are busy.
type clients struct {
	record  *record
	address string

	mu    sync.Mutex
	idle  []*clientConn
	taken map[string]bool // ids answered with +OK
	last  int
}

type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newClients(r *record, address string) *clients {
	return &clients{record: r, address: address, taken: map[string]bool{}}
}

func (c *clients) get() (kept *clientConn, isNew bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		kept = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	c.mu.Unlock()
	if kept != nil {
		return kept, false, nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, true, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, true, nil
}

// id returns a new message id.
func (c *clients) id(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return fmt.Sprintf("%s-%05d", prefix, c.last)
}

// send hands a message in and returns the reply. A request on a kept connection that ends without a reply is sent once more on a new one.
func (c *clients) send(id, class string, dest, ttlMs int, extra string) string {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d%s", class, ttlMs, dest, extra)
	text := command("ENQUEUE", "0000000000000000", id, fields, "{\"record\":\""+id+"\"}")
	sentAt := time.Now()
	for range 2 {
		kept, isNew, err := c.get()
		if err != nil {
			c.record.add("client: %s not handed in: %v", id, err)
			return ""
		}
		kept.conn.SetDeadline(sentAt.Add(400 * time.Millisecond))
		_, err = io.WriteString(kept.conn, text)
		line := ""
		if err == nil {
			line, err = kept.reader.ReadString('\n')
		}
		if err != nil {
			kept.conn.Close()
			if timeout, ok := err.(net.Error); isNew || ok && timeout.Timeout() {
				c.record.add("client: %s %s for %d: no answer: %v", id, class, dest, err)
				return ""
			}
			continue
		}
		reply := strings.TrimSpace(line)
		c.mu.Lock()
		c.idle = append(c.idle, kept)
		if strings.HasPrefix(reply, "+") {
			c.taken[id] = true
		}
		c.mu.Unlock()
		c.record.add("client: %s %s for %d: %s", id, class, dest, reply)
		return reply
	}
	c.record.add("client: %s %s for %d: no answer", id, class, dest)
	return ""
}

func command(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// steady hands in one message at each interval, until the returned function is called.
func (c *clients) steady(interval time.Duration, class string, dest, ttlMs int) (stop func()) {
	done := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		ticks := time.NewTicker(interval)
		defer ticks.Stop()
		for {
			select {
			case <-ticks.C:
				load.Go(func() { c.send(c.id("m"), class, dest, ttlMs, "") })
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		load.Wait()
	}
}

// takenOn returns how many messages were taken on.
func (c *clients) takenOn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.taken)
}
