package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"pineport/config"
	"pineport/server"
	"pineport/spool"
	"pineport/testbed/scripted"
)

// fillSpool adds messages with bodies of bodySize bytes and three attempts each until the courier's spool is full. It returns how many it added.
func (c *testCourier) fillSpool(round, bodySize int) (messages int) {
	c.t.Helper()
	dep, err := config.Load(func(key string) string {
		return map[string]string{"RELAY_CONFIG": filepath.Join(c.dir, "config.json"), "RELAY_STATE": filepath.Join(c.dir, "state")}[key]
	})
	if err != nil {
		c.t.Fatal(err)
	}
	spoolLimit := server.SpoolLimit(dep)
	store, _, _, err := spool.Open(dep.StateDir, spoolLimit)
	if err != nil {
		c.t.Fatal(err)
	}
	defer store.Close()
	for ; ; messages++ {
		id := fmt.Sprintf("kept-%d-%d", round, messages)
		err := store.Append(&spool.Message{ID: id, Class: []string{"update", "order"}[messages%2], Destination: 1,
			Deadline: time.Now().Add(time.Hour).UnixMicro(), Body: bytes.Repeat([]byte("x"), bodySize)})
		if errors.Is(err, spool.ErrFull) {
			break
		}
		for n := range 3 {
			err = errors.Join(err, store.BeginAttempt(id, spool.Attempt{Endpoint: "s-0", SentAt: time.Now().UnixMicro()}), store.FinishAttempt(id, n, "unreachable"))
		}
		if err != nil {
			c.t.Fatal(err)
		}
	}
	if round == 0 {
		c.t.Logf("%d messages of %d bytes use %d of %d bytes of the spool", messages, bodySize, store.Size(), spoolLimit)
	}
	return messages
}

// startTimed starts the courier and returns the time until it answers PING.
func (c *testCourier) startTimed() time.Duration {
	c.t.Helper()
	const startTimeout = 30 * time.Second // a process that is not ready by then fails the test
	began := time.Now()
	c.cmd = exec.Command(c.binary)
	c.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(c.dir, "config.json"), "RELAY_STATE="+filepath.Join(c.dir, "state"))
	c.cmd.Stderr = c.log
	if err := c.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	for ; time.Since(began) < startTimeout; time.Sleep(time.Millisecond) {
		if c.answersPing() {
			return time.Since(began)
		}
	}
	c.t.Fatalf("the courier was not ready within %v", startTimeout)
	return 0
}

func (c *testCourier) answersPing() bool {
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprint(conn, encodeCommand("PING"))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// TestReadyWithFullSpool restarts a courier whose spool is full of many small or few large messages. In 9 of 10 restarts the process must be
// ready within 10 s, for the disk limit that the platform gives and for ten times that limit.
func TestReadyWithFullSpool(t *testing.T) {
	const (
		restarts    = 10
		readyWithin = 10 * time.Second
	)
	for _, testCase := range []struct {
		name         string
		diskMB, body int
	}{{"many small messages", 3, 20}, {"few large messages", 3, 60000}, {"ten times the disk limit", 30, 20}} {
		t.Run(testCase.name, func(t *testing.T) {
			world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 429, BackoffMs: 60000} })
			if err != nil {
				t.Fatal(err)
			}
			defer world.Close()
			c := newCourier(t, world)
			c.replaceInConfig(`"disk_mb": 3`, fmt.Sprintf(`"disk_mb": %d`, testCase.diskMB))
			var startTimes []time.Duration
			for round := range restarts {
				if added := c.fillSpool(round, testCase.body); round == 0 && added == 0 {
					t.Fatal("no message fits into the spool")
				}
				startTimes = append(startTimes, c.startTimed().Round(time.Millisecond))
				c.cmd.Process.Signal(syscall.SIGKILL)
				c.cmd.Wait()
			}
			t.Logf("times until ready: %v", startTimes)
			slices.Sort(startTimes)
			if percentile := startTimes[restarts*9/10-1]; percentile > readyWithin {
				t.Errorf("the 9th of 10 start times in ascending order is %v, want %v at most", percentile, readyWithin)
			}
		})
	}
}
