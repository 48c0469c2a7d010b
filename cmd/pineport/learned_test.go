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

// TestLearnedStateAfterRestart kills a courier during an outage of a destination. After the restart the courier must still know of the outage
// and send only trials: 3 calls at most, where the first round needs 6 or more to detect it. After a
// graceful shutdown the snapshot must contain the outage. A malformed snapshot must not prevent the start.
func TestLearnedStateAfterRestart(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 0} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.start()
	submit := func(round string) (calls int) {
		var commands []string
		for i := range 12 {
			commands = append(commands, encodeEnqueue(fmt.Sprintf("%s-%d", round, i), "order", 2500))
		}
		c.send(commands...)
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", round, i)
			waitFor(t, id, 6*time.Second, func() bool { _, _, notices := world.MessageCalls(id); return len(notices) > 0 })
			began, _, _ := world.MessageCalls(id)
			calls += began
		}
		return calls
	}
	before := submit("first")
	file := filepath.Join(c.dir, "state", snapshot.FileName)
	waitFor(t, "the snapshot file", 5*time.Second, func() bool { _, err := os.Stat(file); return err == nil })
	time.Sleep(1200 * time.Millisecond) // longer than the interval between snapshots, so that the latest state is stored
	c.cmd.Process.Signal(syscall.SIGKILL)
	c.cmd.Wait()
	c.start()
	if after := submit("second"); before < 6 || after > 3 {
		t.Errorf("%d calls before the restart, want at least 6; %d after it, want 3 at most", before, after)
	}
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	state, err := snapshot.Read(filepath.Join(c.dir, "state"), "n0", 0, 1<<20)
	if err != nil || len(state.Snapshot.Groups) != 1 || !state.Snapshot.Groups[0].Outage {
		t.Errorf("snapshot after a graceful shutdown: got %+v, %v, want one group with an outage", state, err)
	}
	if err := os.WriteFile(file, []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.start()
	if n := strings.Count(c.logText(), "snapshot not used"); n != 1 {
		t.Errorf("a malformed snapshot was logged %d times, want 1:\n%s", n, c.logText())
	}
}
