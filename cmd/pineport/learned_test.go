package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineport/snapshot"
	"pineport/testbed/scripted"
)

// TestLearnedStateAfterRestart: a courier that is killed while a destination is down knows so when it is back, and finds it out
// by no more than a trial; after a planned end what it learned last is there. A malformed file stops nothing.
func TestLearnedStateAfterRestart(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Fate { return scripted.Fate{Status: 0} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.start()
	submit := func(round string) (calls int) {
		var commands []string
		for i := range 12 {
			commands = append(commands, enqueue(fmt.Sprintf("%s-%d", round, i), "order", 2500))
		}
		c.send(commands...)
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", round, i)
			waitFor(t, id, 6*time.Second, func() bool { _, _, notices := world.Seen(id); return len(notices) > 0 })
			began, _, _ := world.Seen(id)
			calls += began
		}
		return calls
	}
	before := submit("first")
	file := filepath.Join(c.dir, "state", snapshot.FileName)
	waitFor(t, "the file", 5*time.Second, func() bool { _, err := os.Stat(file); return err == nil })
	time.Sleep(1200 * time.Millisecond) // what was learned in the last second
	c.cmd.Process.Signal(syscall.SIGKILL)
	c.cmd.Wait()
	c.start()
	if after := submit("second"); before < 6 || after > 3 {
		t.Errorf("%d calls found the outage; %d after the restart", before, after)
	}
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	state, err := snapshot.Read(filepath.Join(c.dir, "state"), "n0", 0, 1<<20)
	if err != nil || len(state.Snapshot.Groups) != 1 || !state.Snapshot.Groups[0].Outage {
		t.Errorf("after a planned end: %+v, %v", state, err)
	}
	if err := os.WriteFile(file, []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.start()
	if n := strings.Count(c.logText(), "snapshot not used"); n != 1 {
		t.Errorf("a malformed file is notified %d times:\n%s", n, c.logText())
	}
}
