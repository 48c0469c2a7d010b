package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// TestAnswersAtExitAreHeard guards against answers that come after a planned restart has closed its clients and before it ends: they were not
// read, so that at-most-once messages that had been delivered were told as failed by the next process.
func TestAnswersAtExitAreHeard(t *testing.T) {
	const (
		messages        = 20
		ttlMs           = 4000
		usualAnswerTime = 20 * time.Millisecond
		submitAfter     = 2500 * time.Millisecond // from SIGTERM; clients are served until 2.85 s
		firstAnswer     = 3000 * time.Millisecond // clients are closed by then
		lastAnswer      = 3150 * time.Millisecond // calls go on until 3.3 s
	)
	var signaledAt atomic.Pointer[time.Time]
	var calls atomic.Int64
	world, err := scripted.Open(2, func(string) scripted.Response {
		if signaledAt.Load() == nil {
			return scripted.Response{Status: 200, Delay: usualAnswerTime}
		}
		at := firstAnswer + (lastAnswer-firstAnswer)*time.Duration(calls.Add(1))/messages
		return scripted.Response{Status: 200, Delay: time.Until(signaledAt.Load().Add(at))}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.start()
	for i := range messages { // the courier learns how long calls take
		id := fmt.Sprint("earlier-", i)
		c.send(encodeEnqueue(id, "order", ttlMs))
		waitFor(t, id, ttlMs*time.Millisecond, func() bool { _, delivered, _ := world.MessageCalls(id); return delivered > 0 })
	}
	now := time.Now()
	signaledAt.Store(&now)
	c.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(submitAfter)
	for i := range messages {
		if reply := c.send(encodeEnqueue(fmt.Sprint("message-", i), "order", ttlMs))[0]; reply != "+OK" {
			t.Fatalf("message %d: %s", i, reply)
		}
	}
	if err := c.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	c.start()
	time.Sleep(time.Until(now.Add(submitAfter + (ttlMs+1000)*time.Millisecond))) // a notice would have come by then
	for i := range messages {
		id := fmt.Sprint("message-", i)
		if started, delivered, notices := world.MessageCalls(id); started != 1 || delivered != 1 || len(notices) > 0 {
			t.Errorf("%s: sent %d times, delivered %d times, notices %v; want it delivered once and no notice", id, started, delivered, notices)
		}
	}
}
