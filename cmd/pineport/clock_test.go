package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineport/clock"
	"pineport/config"
	"pineport/testbed/scripted"
)

// wallStepEnv names the environment variable that makes the test binary run as a courier whose wall clock is stepped by the given duration.
const wallStepEnv = "PINEPORT_TEST_WALL_STEP"

func runWithWallStep(step string) {
	by, err := time.ParseDuration(step)
	if err != nil {
		panic(err)
	}
	stepped := func() clock.Readings {
		readings := clock.System()
		readings.Wall += by.Microseconds()
		return readings
	}
	if err := runUsing(stepped, config.Sources{Getenv: os.Getenv}, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// TestWallClockStepsBetweenProcesses ends a process by a kill or a handoff and steps the wall clock forward or back before the next process starts.
// Accepted messages must still be delivered, messages that cannot be delivered must end at their deadline regardless of the step, and a
// Retry-After must hold for as long as it was given, not longer.
//
// Incident: times in the state directory were Unix times, and each process used its wall clock. After a step of an hour forward all messages
// ended without a call; after a step of an hour back they were kept for an hour longer.
func TestWallClockStepsBetweenProcesses(t *testing.T) {
	var cases sync.WaitGroup
	for _, step := range []string{"2s", "90s", "1h", "-2s", "-90s", "-1h"} {
		for _, withHandoff := range []bool{false, true} {
			cases.Go(func() {
				t.Run(fmt.Sprintf("%s, handoff: %v", step, withHandoff), func(t *testing.T) { runWallStep(t, step, withHandoff) })
			})
		}
	}
	cases.Wait()
}

func runWallStep(t *testing.T, step string, withHandoff bool) {
	const shortMs = 3000
	var available atomic.Bool // until set, the endpoint throttles every call
	world, err := scripted.Open(1, func(id string) scripted.Response {
		if available.Load() && strings.HasPrefix(id, "keep") {
			return scripted.Response{Status: 200}
		}
		return scripted.Response{Status: 429, BackoffMs: 1000} // no call is in flight when the process is killed
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	c := newCourier(t, world)
	c.binary, c.env = os.Args[0], []string{wallStepEnv + "=0s"}
	c.start()
	began := time.Now()
	for _, class := range []string{"update", "order"} {
		for n := range 3 {
			replies := c.send(encodeEnqueue(fmt.Sprintf("keep-%s-%d", class, n), class, 8000), encodeEnqueue(fmt.Sprintf("short-%s-%d", class, n), class, shortMs))
			if replies[0] != "+OK" || replies[1] != "+OK" {
				t.Fatalf("replies %q", replies)
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	previous := c.cmd
	c.env = []string{wallStepEnv + "=" + step}
	if !withHandoff {
		previous.Process.Kill()
		previous.Wait()
		c.start()
	} else {
		t.Cleanup(func() { previous.Process.Kill() })
		c.start()
		waitFor(t, "a handoff", 5*time.Second, func() bool { return strings.Contains(c.logText(), "handed over to the successor") })
		previous.Process.Signal(syscall.SIGTERM)
		go previous.Wait()
	}
	available.Store(true)
	for _, class := range []string{"update", "order"} {
		for n := range 3 {
			keep, short := fmt.Sprintf("keep-%s-%d", class, n), fmt.Sprintf("short-%s-%d", class, n)
			waitFor(t, keep+" is delivered", 7*time.Second, func() bool { _, done, _ := world.MessageCalls(keep); return done == 1 })
			waitFor(t, short+" ends with a notice", time.Until(began.Add(shortMs*time.Millisecond+1800*time.Millisecond)), func() bool {
				_, _, notices := world.MessageCalls(short)
				return len(notices) > 0
			})
		}
	}
}

// TestOnlyClockPackageReadsClocks checks that no package of the courier except clock reads a system clock, directly or through package time.
// Timers are allowed.
func TestOnlyClockPackageReadsClocks(t *testing.T) {
	packages := []string{"admin", "atomicfile", "cmd/pineport", "config", "dispatch", "handoff", "logging", "maintenance", "membership", "protocol", "quota", "server",
		"snapshot", "spool", "transport"}
	clockReads := map[string]bool{"time.Now": true, "time.Since": true, "time.Until": true, "unix.ClockGettime": true, "syscall.Gettimeofday": true}
	for _, dir := range packages {
		err := filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, bytes.NewReader(text), 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if selector, ok := node.(*ast.SelectorExpr); ok {
					if of, ok := selector.X.(*ast.Ident); ok && clockReads[of.Name+"."+selector.Sel.Name] {
						t.Errorf("%s reads a clock by %s.%s", path, of.Name, selector.Sel.Name)
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	}
}
