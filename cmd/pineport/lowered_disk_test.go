package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// encodeEnqueueBody encodes a message with a body of a given size.
func encodeEnqueueBody(id string, deadlineMs, bodySize int) string {
	return encodeCommand("ENQUEUE", "0", id, fmt.Sprintf("c=update,d=%d,dest=1", deadlineMs), strings.Repeat("x", bodySize))
}

// TestLoweredDiskLimitServesOn guards against a courier that hangs for good once disk_mb is lowered below what it holds, by a reload or before
// a start: it answered no client and ended no message. It must answer, refuse new messages, log why, and end all it holds.
func TestLoweredDiskLimitServesOn(t *testing.T) {
	const (
		messages   = 17
		bodySize   = 64_000
		ttlMs      = 6000
		answerTime = 250 * time.Millisecond
	)
	lower := func(c *testCourier, diskMB string) { c.replaceInConfig(`"disk_mb": 3`, `"disk_mb": `+diskMB) }
	for _, diskMB := range []string{"1.45", "0.7", "0.01"} {
		for name, apply := range map[string]func(c *testCourier){
			"reload": func(c *testCourier) {
				lower(c, diskMB)
				c.cmd.Process.Signal(syscall.SIGHUP)
				waitFor(t, "reload", 5*time.Second, func() bool { return strings.Contains(c.logText(), "configuration reloaded") })
			},
			"start": func(c *testCourier) {
				c.cmd.Process.Signal(syscall.SIGKILL)
				c.cmd.Wait()
				lower(c, diskMB)
				c.startTimed()
			},
		} {
			t.Run(name+" with "+diskMB, func(t *testing.T) {
				world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: answerTime} })
				if err != nil {
					t.Fatal(err)
				}
				defer world.Close()
				c := newCourier(t, world)
				c.start()
				var commands []string
				for i := range messages {
					commands = append(commands, encodeEnqueueBody(fmt.Sprint("held-", i), ttlMs, bodySize))
				}
				sentAt := time.Now()
				for i, reply := range c.send(commands...) {
					if reply != "+OK" {
						t.Fatalf("message %d: %s", i, reply)
					}
				}
				apply(c)
				if reply := c.send(encodeEnqueueBody("new", ttlMs, 1000))[0]; !strings.HasPrefix(reply, "-BUSY") {
					t.Errorf("a new message beside what is held got %q, want -BUSY", reply)
				}
				waitFor(t, "the log line", time.Second, func() bool { return strings.Contains(c.logText(), "more is held than the disk limit allows") })
				for i := range messages {
					id := fmt.Sprint("held-", i)
					waitFor(t, "the end of "+id, time.Until(sentAt.Add(ttlMs*time.Millisecond+time.Second)), func() bool {
						_, delivered, notices := world.MessageCalls(id)
						return delivered > 0 || len(notices) > 0
					})
				}
			})
		}
	}
}
