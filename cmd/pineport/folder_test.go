package main

import (
	"fmt"
	"math/rand"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
	"pineport/testbed/syscallfault"
)

// stateDirCalls lists the system calls with which a courier changes its state directory.
var stateDirCalls = []string{"write", "ftruncate", "fsync", "openat", "rename", "renameat", "renameat2", "unlinkat"}

// changesStateDir reports whether a system call changes the state directory, as opposed to a socket, a pipe or the log. The path is not
// checked for calls that create, rename or remove files, because the courier makes them only in its state directory.
func (c *testCourier) changesStateDir(call *syscallfault.Call) bool {
	switch call.Name {
	case "write", "ftruncate", "fsync":
		return strings.HasPrefix(call.Target(), c.dir+"/state/")
	case "openat":
		return call.Flags&(os.O_CREATE|os.O_TRUNC) != 0
	}
	return true
}

// TestStateDirFaults makes every write, sync, truncation and rename in the state directory fail for 3 s, or makes writes short. While calls
// fail, the courier must reject new messages, and sends accepted messages only if they may be repeated. Every accepted message must end
// once. After the fault the courier must work as before, also if it is killed and restarted. Short writes need not cause rejections.
func TestStateDirFaults(t *testing.T) {
	faults := map[string]syscallfault.Effect{"ENOSPC": {Errno: syscall.ENOSPC}, "EIO": {Errno: syscall.EIO}, "EDQUOT": {Errno: syscall.EDQUOT}, "short": {Limit: 3}}
	var cases sync.WaitGroup
	for name, effect := range faults {
		for _, killed := range []bool{false, true} {
			cases.Go(func() {
				t.Run(fmt.Sprintf("%s, killed afterwards: %v", name, killed), func(t *testing.T) { runStateDirFault(t, effect, killed) })
			})
		}
	}
	cases.Wait()
}

func runStateDirFault(t *testing.T, effect syscallfault.Effect, killed bool) {
	const faultDuration = 3 * time.Second
	world, err := scripted.Open(2, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: 30 * time.Millisecond} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	c := newCourier(t, world)
	var faultEnd atomic.Int64
	child := c.startTraced(stateDirCalls, func(call *syscallfault.Call) syscallfault.Effect {
		if time.Now().UnixNano() >= faultEnd.Load() || !c.changesStateDir(call) || effect.Limit > 0 && call.Name != "write" {
			return syscallfault.Effect{}
		}
		return effect
	})
	var before, during, after requestResults
	submit := func(to *requestResults, client int, duration time.Duration) {
		var stopped atomic.Bool
		var clients sync.WaitGroup
		for n := range 3 {
			clients.Go(func() { to.submitUntilStopped(c.listen, client+n, &stopped) })
		}
		time.Sleep(duration)
		stopped.Store(true)
		clients.Wait()
	}
	submit(&before, 0, 500*time.Millisecond)
	faultEnd.Store(time.Now().Add(faultDuration).UnixNano())
	submit(&during, 10, faultDuration)
	time.Sleep(300 * time.Millisecond)
	if injected := child.EffectCounts(); len(injected) == 0 {
		t.Error("no system call failed")
	}
	finished := append(before.delivered(world), during.delivered(world)...)
	if killed {
		child.Signal(syscall.SIGKILL)
		<-child.Done
		c.start()
	}
	submit(&after, 20, 800*time.Millisecond)
	before.verify(t, world)
	after.verify(t, world)
	if effect.Errno != 0 && len(during.rejected) == 0 {
		t.Errorf("no message was rejected while the state directory failed: %d accepted", len(during.accepted))
	}
	for _, id := range during.rejected {
		if began, _, _ := world.MessageCalls(id); began > 0 {
			t.Errorf("%s was rejected but sent", id)
		}
	}
	// Incident: outcomes that could not be written during the fault were never written later, and delivered messages were sent again after a kill.
	for _, id := range finished {
		if began, _, _ := world.MessageCalls(id); began > 1 {
			t.Errorf("%s was sent again after its delivery", id)
		}
	}
	if len(during.accepted) > 0 {
		during.verify(t, world)
	}
	if unanswered := len(before.unanswered) + len(during.unanswered) + len(after.unanswered); unanswered > 0 {
		t.Errorf("%d requests got no reply: before the fault %v, during it %v, after it %v", unanswered, before.unanswered, during.unanswered, after.unanswered)
	}
	if len(after.accepted) < 20 {
		t.Errorf("%d messages accepted after the fault, want at least 20", len(after.accepted))
	}
}

// TestKillDuringWrite repeatedly kills the process in a random write to its state directory, after a random number of bytes. Every restart must
// succeed and every accepted message must end; at-most-once messages may be sent only once.
func TestKillDuringWrite(t *testing.T) {
	const rounds = 12
	world, err := scripted.Open(2, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: 30 * time.Millisecond} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	c := newCourier(t, world)
	rng := rand.New(rand.NewSource(1))
	var requests requestResults
	for round := range rounds {
		killAtWrite, limit := int64(20+rng.Intn(200)), 1+rng.Intn(150)
		var writes atomic.Int64
		child := c.startTraced([]string{"write"}, func(call *syscallfault.Call) syscallfault.Effect {
			if !c.changesStateDir(call) || writes.Add(1) != killAtWrite {
				return syscallfault.Effect{}
			}
			return syscallfault.Effect{Limit: limit, KillChild: true}
		})
		var stopped atomic.Bool
		var clients sync.WaitGroup
		for n := range 3 {
			clients.Go(func() { requests.submitUntilStopped(c.listen, 100*round+n, &stopped) })
		}
		select {
		case <-child.Done:
		case <-time.After(10 * time.Second):
			t.Fatalf("round %d: process still alive after %d writes", round, writes.Load())
		}
		stopped.Store(true)
		clients.Wait()
	}
	c.start()
	requests.verify(t, world)
}

// TestStartWhileStateDirFails starts a process while writes to its state directory fail. It must become ready once they succeed. Incident, found
// in a soak test: the process exited.
func TestStartWhileStateDirFails(t *testing.T) {
	const faultDuration = 1500 * time.Millisecond
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(world.Close)
			c := newCourier(t, world)
			faultEnd := time.Now().Add(faultDuration)
			child := c.launchTraced(stateDirCalls, func(call *syscallfault.Call) syscallfault.Effect {
				if time.Now().After(faultEnd) || !c.changesStateDir(call) {
					return syscallfault.Effect{}
				}
				return syscallfault.Effect{Errno: errno}
			})
			waitFor(t, "PONG", faultDuration+3*time.Second, func() bool { return c.answersPing() })
			if len(child.EffectCounts()) == 0 {
				t.Error("no system call failed")
			}
			if got := c.send(encodeEnqueue("one", "order", 4000)); got[0] != "+OK" {
				t.Fatal(got)
			}
			waitFor(t, "the delivery", 3*time.Second, func() bool { _, done, _ := world.MessageCalls("one"); return done == 1 })
		})
	}
}
