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
	// maxSuccessorLife is how long a successor that crashes serves at most.
	maxSuccessorLife = 400 * time.Millisecond
	downSeedMask     = 1 << 35 // makes the seed of outages of polls from that of the run
	minDownTime      = 300 * time.Millisecond
	downTimeSpan     = 4 * time.Second
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
	for i := range upgrades {
		if rng.Intn(2) == 0 {
			upgrades[i].name, upgrades[i].duration = actionCrashedUpgrade, time.Duration(rng.Int63n(int64(maxSuccessorLife)))
		}
	}
	return upgrades
}

// drawOutageOfPolls draws whether and when discovery refuses polls, and returns. It has a random source of its own, like upgrades.
func drawOutageOfPolls(rng *rand.Rand, quietPeriod, length time.Duration) []action {
	if rng.Intn(2) == 0 {
		return nil
	}
	at := quietPeriod + time.Duration(rng.Int63n(int64(length-quietPeriod)*3/4))
	return []action{{at: at, name: actionDown, duration: minDownTime + time.Duration(rng.Int63n(int64(downTimeSpan)))}}
}

// upgrade starts a successor, and ends the old process once it has handed over. It does nothing while a process is being ended or replaced.
func (r *run) upgrade(a action) {
	old, successor, handedOver := r.startSuccessor()
	if successor == nil {
		return
	}
	r.count(a.name)
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

// startSuccessor starts a second process and waits until the first has handed over. The successor is nil if a process is being ended or
// replaced, or if none could be started. Until stopRequested is unset, the first process may end, and gets no other signals.
func (r *run) startSuccessor() (old, successor *syscallfault.Process, handedOver bool) {
	r.mu.Lock()
	old = r.child
	isBusy := r.stopRequested
	r.stopRequested = true
	r.mu.Unlock()
	if isBusy {
		return old, nil, false
	}
	before := r.handoffs()
	successor, err := r.launch()
	if err != nil {
		r.reportBreach("the successor could not be started: %v", err)
		return old, nil, false
	}
	return old, successor, r.awaitHandoff(old, before)
}

// awaitHandoff waits until a process has handed over, by the number of handoffs before, and reports whether it has.
func (r *run) awaitHandoff(old *syscallfault.Process, before int) (handedOver bool) {
	for end := time.Now().Add(handoffTimeout); r.handoffs() == before && time.Now().Before(end) && !hasExited(old); {
		time.Sleep(handoffPoll)
	}
	handedOver = r.handoffs() > before
	r.addToTimeline("handed over: %v", handedOver)
	return handedOver
}

// crashedUpgrade starts a successor and kills it a moment after the old process has handed over to it. The old process goes on.
func (r *run) crashedUpgrade(a action) {
	old, successor, handedOver := r.startSuccessor()
	if successor == nil {
		return
	}
	time.Sleep(a.duration)
	away := outage{from: time.Now(), killedAt: time.Now()}
	successor.Signal(syscall.SIGKILL)
	<-successor.Done
	if handedOver {
		r.count(a.name)
	}
	if hasExited(old) {
		r.reportBreach("upgrade: the old process ended, though its successor crashed")
	}
	r.awaitSuccessor()
	r.mu.Lock()
	away.until = time.Now()
	r.outages = append(r.outages, away)
	r.stopRequested = false
	r.mu.Unlock()
	r.addToTimeline("the old process serves again, after %.3f s", away.until.Sub(away.from).Seconds())
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

// awaitSuccessor waits until the process that follows one that has ended answers PING.
func (r *run) awaitSuccessor() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(handoffPoll) {
		if respondsToPing(r.address) {
			return
		}
	}
	r.reportBreach("upgrade: nobody answered PING within %v", readyTimeout)
}

// handoffs returns how many times a process has handed over, by the log.
func (r *run) handoffs() int {
	text, err := os.ReadFile(r.log.Name())
	if err != nil {
		return 0
	}
	return bytes.Count(text, []byte(handedOverLine))
}
