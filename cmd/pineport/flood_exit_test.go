package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// timeToKill is how long after SIGTERM the platform kills a process, at the earliest.
const timeToKill = 3700 * time.Millisecond

// requireExit sends SIGTERM and checks that the process ends by itself before the platform kills it.
func (c *testCourier) requireExit() {
	c.t.Helper()
	began := time.Now()
	c.cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- c.cmd.Wait() }()
	select {
	case err := <-ended:
		c.t.Logf("ended %v after SIGTERM", time.Since(began).Round(time.Millisecond))
		if err != nil {
			c.t.Error(err)
		}
	case <-time.After(timeToKill):
		c.t.Errorf("the process had not ended %v after SIGTERM", timeToKill)
		c.cmd.Process.Kill()
		<-ended
	}
}

var floodsOfExits = []floodKind{{5, neverStops}, {5, sendsAndGoes}, {5, sendsAndReads}}

// TestUpgradesBesideFlood guards against clients that flood and keep a process from giving its work away, or a successor from taking it.
func TestUpgradesBesideFlood(t *testing.T) {
	const upgrades = 5
	for _, kind := range floodsOfExits {
		t.Run(kind.String(), func(t *testing.T) {
			world := newUpgradeWorld(t)
			p := newSupervisor(t, world)
			current := p.startProcess(p.binary)
			p.requireReady(current)
			load := p.startLoad(6)
			stop := kind.start(p.listen)
			for range upgrades {
				time.Sleep(300 * time.Millisecond)
				next := p.startProcess(p.binary)
				p.requireReady(next)
				p.terminate(current)
				current = next
			}
			stop()
			load.verify(world, upgrades)
			p.terminate(current)
			p.exits.Wait()
		})
	}
}

// TestExitBesideFlood guards against clients that flood and keep a process from ending before it is killed.
func TestExitBesideFlood(t *testing.T) {
	for _, kind := range floodsOfExits {
		t.Run(kind.String(), func(t *testing.T) {
			world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
			if err != nil {
				t.Fatal(err)
			}
			defer world.Close()
			c := newCourier(t, world)
			c.start()
			defer kind.start(c.listen)()
			time.Sleep(500 * time.Millisecond)
			c.requireExit()
		})
	}
}

// TestExitBesideEndlessAnswers guards against an exit that takes answers for unanswered requests: endpoints that answer without end could keep the
// event queue filled, and the exit rejected what clients sent as if it were behind.
func TestExitBesideEndlessAnswers(t *testing.T) {
	const calls = 11
	world, err := scripted.Open(1, func(id string) scripted.Response {
		return scripted.Response{Status: 200, Endless: strings.HasPrefix(id, "endless")}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.start()
	for i := range calls {
		c.send(encodeEnqueue(fmt.Sprint("endless-", i), "update", 20_000))
	}
	time.Sleep(500 * time.Millisecond)
	c.requireExit()
	if strings.Contains(c.logText(), "rejecting open requests") {
		t.Error("the exit rejected requests, though each had its reply")
	}
}
