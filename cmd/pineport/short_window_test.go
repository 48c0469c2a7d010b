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

// rewrite changes the configuration that the courier's next start reads: each pair is a text of it and its replacement.
func (c *courier) replaceInConfig(pairs ...string) {
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

// TestShortDedupWindowAcrossRestart: the window for repeats is a second. What may have run and is past its window at the restart never goes
// again and gets its final answer; what is within it goes again; what never ran is still tried.
func TestShortDedupWindowAcrossRestart(t *testing.T) {
	const window = time.Second
	called := map[string]bool{}
	var mu sync.Mutex
	world, err := scripted.Open(1, func(id string) scripted.Fate {
		mu.Lock()
		defer mu.Unlock()
		repeated := called[id]
		called[id] = true
		switch {
		case repeated:
			return scripted.Fate{Status: 200}
		case strings.HasPrefix(id, "refused"):
			return scripted.Fate{Status: 429, WaitMs: 300}
		}
		return scripted.Fate{Status: 0, After: 2 * window} // out as its courier is killed
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.replaceInConfig(`"single_shot"`, `"guarded"`, `"dedup-window-s": 5`, `"dedup-window-s": 1`)
	c.start()
	isCalled := func(id string) func() bool {
		return func() bool { mu.Lock(); defer mu.Unlock(); return called[id] }
	}
	// killedWhileOut hands a message in and kills the courier once its call has come; it returns when that was.
	killDuringCall := func(id string) time.Time {
		t.Helper()
		if got := c.send(enqueue(id, "order", 20000)); got[0] != "+OK" {
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
	waitFor(t, "the final answer of what is past its window", 5*time.Second, func() bool { _, _, notices := world.Seen("over"); return len(notices) > 0 })

	killDuringCall("refused")
	c.start()
	waitFor(t, "what never ran", 8*time.Second, func() bool { _, done, _ := world.Seen("refused"); return done == 1 })

	within := ""
	const tries = 5
	for n := 0; within == "" && n < tries; n++ { // a loaded machine may take longer than the window to restart it
		id := fmt.Sprint("within-", n)
		at := killDuringCall(id)
		c.start()
		took := time.Since(at)
		waitFor(t, id, 5*time.Second, func() bool { _, done, notices := world.Seen(id); return done > 0 || len(notices) > 0 })
		if _, done, _ := world.Seen(id); done > 0 {
			within = id
		} else if took < window/2 {
			t.Errorf("%s did not go again, though the courier was back after %v", id, took)
		}
	}
	if within == "" {
		t.Errorf("of %d that a restart found within their window none went again", tries)
	}
	if began, _, notices := world.Seen("over"); began != 1 || len(notices) != 1 {
		t.Errorf("past its window: begun %d times, notices %v", began, notices)
	}
	if _, _, notices := world.Seen("refused"); len(notices) > 0 {
		t.Errorf("what never ran: notices %v", notices)
	}
}
