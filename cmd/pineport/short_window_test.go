package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// replaceInConfig edits the configuration file for the courier's next start: each pair is a text in the file and its replacement.
func (c *testCourier) replaceInConfig(pairs ...string) {
	c.t.Helper()
	file := filepath.Join(c.dir, "config.json")
	text, err := os.ReadFile(file)
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i < len(pairs); i += 2 {
		if !bytes.Contains(text, []byte(pairs[i])) {
			c.t.Fatalf("the configuration has no %s", pairs[i])
		}
		text = bytes.ReplaceAll(text, []byte(pairs[i]), []byte(pairs[i+1]))
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// TestShortDedupWindowAcrossRestart uses a deduplication window of one second and restarts the courier with three kinds of messages:
//   - a message that may have been executed and whose window has passed must not be sent again and must get a notice;
//   - a message that may have been executed and whose window has not passed must be sent again;
//   - a message that was never executed must be sent again.
func TestShortDedupWindowAcrossRestart(t *testing.T) {
	const window = time.Second
	called := map[string]bool{}
	var mu sync.Mutex
	world, err := scripted.Open(1, func(id string) scripted.Response {
		mu.Lock()
		defer mu.Unlock()
		repeated := called[id]
		called[id] = true
		switch {
		case repeated:
			return scripted.Response{Status: 200}
		case strings.HasPrefix(id, "refused"):
			return scripted.Response{Status: 429, BackoffMs: 300}
		}
		return scripted.Response{Status: 0, Delay: 2 * window} // in flight when the courier is killed
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.replaceInConfig(`"single_shot"`, `"guarded"`, `"dedup-window-s": 5`, `"dedup-window-s": 1`) // for class order
	c.start()
	isCalled := func(id string) func() bool {
		return func() bool { mu.Lock(); defer mu.Unlock(); return called[id] }
	}
	// killDuringCall submits a message, kills the courier once the endpoint has received the call, and returns that time.
	killDuringCall := func(id string) time.Time {
		t.Helper()
		if got := c.send(encodeEnqueue(id, "order", 20000)); got[0] != "+OK" {
			t.Fatal(id, got)
		}
		for !isCalled(id)() {
			time.Sleep(time.Millisecond)
		}
		at := time.Now()
		c.cmd.Process.Signal(syscall.SIGKILL)
		c.cmd.Wait()
		return at
	}
	killDuringCall("over")
	time.Sleep(window + window/5)
	c.start()
	waitFor(t, "the notice for the message past its window", 5*time.Second, func() bool { _, _, notices := world.MessageCalls("over"); return len(notices) > 0 })

	killDuringCall("refused")
	c.start()
	waitFor(t, "delivery of the message that was never executed", 8*time.Second, func() bool { _, done, _ := world.MessageCalls("refused"); return done == 1 })

	within := ""
	const tries = 5
	for n := 0; within == "" && n < tries; n++ { // on a loaded machine the restart may take longer than the window
		id := fmt.Sprint("within-", n)
		at := killDuringCall(id)
		c.start()
		took := time.Since(at)
		waitFor(t, id, 5*time.Second, func() bool { _, done, notices := world.MessageCalls(id); return done > 0 || len(notices) > 0 })
		if _, done, _ := world.MessageCalls(id); done > 0 {
			within = id
		} else if took < window/2 {
			t.Errorf("%s was not sent again, although the courier restarted within %v", id, took)
		}
	}
	if within == "" {
		t.Errorf("none of %d messages was sent again after a restart within its window", tries)
	}
	if began, _, notices := world.MessageCalls("over"); began != 1 || len(notices) != 1 {
		t.Errorf("message past its window: sent %d times, notices %v, want 1 and one notice", began, notices)
	}
	if _, _, notices := world.MessageCalls("refused"); len(notices) > 0 {
		t.Errorf("message that was never executed: got notices %v, want none", notices)
	}
}
