package main

import (
	"testing"
	"time"

	"pineport/testbed/stall"
)

// TestServiceAfterCrashedUpgrade guards against a gap in service after a successor has crashed: the old process waited a second for goroutines
// of its poller before it went on. A final answer may come 350 ms after its deadline at the latest, so a longer gap makes answers late.
func TestServiceAfterCrashedUpgrade(t *testing.T) {
	const longestGap = 350 * time.Millisecond
	p := newSupervisor(t, newUpgradeWorld(t))
	defer func() {
		if t.Failed() {
			t.Log(p.logText())
		}
	}()
	running := p.startProcess(p.binary)
	p.requireReady(running)
	for range 3 {
		next := p.startProcess(p.binary)
		p.requireReady(next)
		stopMeasuring := stall.Measure()
		next.cmd.Process.Kill()
		crashedAt := time.Now()
		next.cmd.Wait()
		p.requireReady(running)
		answered := p.answersPing()
		gap := time.Since(crashedAt)
		t.Logf("served again %v after the crash", gap.Round(time.Millisecond))
		if largestStall := stopMeasuring(); !answered || gap > longestGap+largestStall {
			t.Errorf("served again %v after the crash of the successor (PING answered: %v), want %v at most", gap, answered, longestGap)
		}
		time.Sleep(300 * time.Millisecond)
	}
}
