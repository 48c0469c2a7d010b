package soak

import (
	"bytes"
	"math/rand"
	"os"
	"syscall"
	"time"

	"pineport/testbed/syscallfault"
)

const (
	upgradeSeedMask = 1 << 33 // makes the seed of upgrades from that of the run
	maxUpgrades     = 2
	// handoffTimeout is how long an upgrade waits for the old process to hand over. After that it is ended like one without a successor.
	handoffTimeout = 3 * time.Second
	handoffPoll    = 10 * time.Millisecond
	handedOverLine = "handed over to the successor"
)

// drawUpgrades draws whether and when the courier is upgraded: a second process is started beside the first. It has a random source of its
// own, so that the other faults of a seed stay as they were before there were upgrades.
func drawUpgrades(rng *rand.Rand, quietPeriod, length time.Duration) (upgrades []action) {
	if rng.Intn(2) == 0 {
		return nil
	}
	for range 1 + rng.Intn(maxUpgrades) {
		at := quietPeriod + time.Duration(rng.Int63n(int64(length-quietPeriod)*3/4))
		upgrades = append(upgrades, action{at: at, name: actionUpgrade})
	}
	return upgrades
}

// upgrade starts a successor, and ends the old process once it has handed over. It does nothing while a process is being ended or replaced.
func (r *run) upgrade(a action) {
	r.mu.Lock()
	old := r.child
	if r.stopRequested {
		r.mu.Unlock()
		return
	}
	r.stopRequested = true // the old process may end
	r.mu.Unlock()
	handoffs := r.handoffs()
	successor, err := r.launch()
	if err != nil {
		r.reportBreach("the successor could not be started: %v", err)
		return
	}
	r.count(a.name)
	for end := time.Now().Add(handoffTimeout); r.handoffs() == handoffs && time.Now().Before(end) && !hasExited(old); {
		time.Sleep(handoffPoll)
	}
	handedOver := r.handoffs() > handoffs
	r.addToTimeline("handed over: %v", handedOver)
	away := outage{from: time.Now()}
	r.endOldProcess(old, away.from)
	if !handedOver {
		r.awaitSuccessor()
	}
	away.until = time.Now()
	r.mu.Lock()
	r.child, r.stopRequested = successor, false
	if !handedOver {
		r.processStartedAt = away.until
		r.outages = append(r.outages, away)
	}
	r.mu.Unlock()
	r.addToTimeline("upgraded")
}

// endOldProcess sends SIGTERM to a process that has a successor, and kills it if it does not end in time.
func (r *run) endOldProcess(old *syscallfault.Process, now time.Time) {
	old.Signal(syscall.SIGTERM)
	select {
	case <-old.Done:
	case <-time.After(time.Until(now.Add(killAfter))):
		r.reportBreach("upgrade: the old process had not ended %v after SIGTERM, and was killed", killAfter)
		old.Signal(syscall.SIGKILL)
		<-old.Done
	}
}

// awaitSuccessor waits until the successor of a process that has ended answers PING.
func (r *run) awaitSuccessor() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(handoffPoll) {
		if respondsToPing(r.address) {
			return
		}
	}
	r.reportBreach("upgrade: the successor did not answer PING within %v", readyTimeout)
}

// handoffs returns how many times a process has handed over, by the log.
func (r *run) handoffs() int {
	text, err := os.ReadFile(r.log.Name())
	if err != nil {
		return 0
	}
	return bytes.Count(text, []byte(handedOverLine))
}
