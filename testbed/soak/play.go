package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/scripted"
	"pineport/testbed/syscallfault"
)

const (
	endpoints = 3
	// changeDeadline is the time after which the courier must know of a drain; drainGrace is how long after
	// that it may still start calls to the draining endpoint.
	changeDeadline = 6 * time.Second
	drainGrace     = 500 * time.Millisecond
	// killAfter is the time from SIGTERM to SIGKILL, the earliest that the protocol page allows. downtime is the time from
	// SIGKILL until the process is started again.
	killAfter    = 3700 * time.Millisecond
	downtime     = 600 * time.Millisecond
	readyTimeout = 10 * time.Second
	// hangTime is longer than any message lives.
	hangTime = 20 * time.Second
	// noticeFaultInterval is the time between two faults of calls with notices: if each call in a row failed, no notice could
	// be in time.
	noticeFaultInterval = time.Second
)

// Options are the settings of a run.
type Options struct {
	Binary string        // path of the courier's binary
	Seed   int64         // determines the plan
	Length time.Duration // length of the run, without the wait for the outcomes of accepted messages
	Dir    string        // parent of the run's folder, which is kept if the run breaks a rule
}

// run is the state of a run in progress.
type run struct {
	options  Options
	plan     plan
	standIns *scripted.World
	proxy    *faultproxy.Proxy
	address  string
	// releaseAddress ends the reservation of address. It lasts for the whole run: courier processes of other runs must not get the port
	// while none of this run listens.
	releaseAddress func()
	dir            string
	log            *os.File
	socket         *os.File // listening socket that all processes share; nil in runs without upgrades
	clients        clients
	hanging        atomic.Bool // half of the calls to endpoints hang
	refusingPolls  atomic.Bool // discovery answers no poll
	holdUps        *rand.Rand  // draws the hold-ups of the process

	mu               sync.Mutex
	child            *syscallfault.Process
	activeFaults     []action // system call faults in effect now
	startedAt        time.Time
	processStartedAt time.Time
	holding          bool // new connections to discovery are silent
	selfExits        int
	killed           int
	overdue          int
	stopRequested    bool // the process was killed or asked to stop
	outages          []outage
	faultCounts      map[string]int
	matchCounts      map[string]int // calls that an active fault applied to, by the name of its action
	breaches         []string
	timeline         []string
}

// Play runs the plan of one seed. Broken rules are reported in the result; an error means that the run could
// not be set up or completed, for example because ctx was canceled.
func Play(ctx context.Context, o Options) (*Result, error) {
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	r, err := runInDir(ctx, dir, o)
	if err != nil || len(r.Breaches) > 0 {
		return r, err
	}
	return r, os.RemoveAll(dir) // the courier has exited, so nothing writes to the folder any more
}

func runInDir(ctx context.Context, dir string, o Options) (*Result, error) {
	rng := rand.New(rand.NewSource(o.Seed))
	r := &run{options: o, plan: drawPlan(rng, o.Length), holdUps: rand.New(rand.NewSource(-o.Seed)), faultCounts: map[string]int{}, matchCounts: map[string]int{}, dir: dir}
	r.plan.actions = append(r.plan.actions, drawHoldUps(r.holdUps, r.plan.quietPeriod, o.Length)...)
	r.plan.actions = append(r.plan.actions, drawFloods(rand.New(rand.NewSource(o.Seed^floodSeedMask)), r.plan.quietPeriod, o.Length)...)
	r.plan.actions = append(r.plan.actions, drawUpgrades(rand.New(rand.NewSource(o.Seed^upgradeSeedMask)), r.plan.quietPeriod, o.Length)...)
	r.plan.actions = append(r.plan.actions, drawLowerLimit(rand.New(rand.NewSource(o.Seed^limitSeedMask)), r.plan.quietPeriod, o.Length)...)
	r.plan.actions = append(r.plan.actions, drawOutageOfPolls(rand.New(rand.NewSource(o.Seed^downSeedMask)), r.plan.quietPeriod, o.Length)...)
	if err := r.setUp(rng.Int63()); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.startedAt = time.Now()
	stopClients := r.clients.run(r.address, o.Seed)
	var running sync.WaitGroup
	runCtx, stop := context.WithTimeout(ctx, o.Length)
	for _, a := range r.plan.actions {
		running.Go(func() { r.perform(runCtx, a) })
	}
	running.Go(func() { r.watchProcess(runCtx) })
	<-runCtx.Done()
	stop()
	running.Wait()
	stopClients()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.awaitOutcomes()
	return r.result()
}

// wait waits for a duration. It returns false if the run ends first.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[name]++
}

// addToTimeline adds a line with the time since the start of the run to the timeline.
func (r *run) addToTimeline(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, fmt.Sprintf("%8.3f %s", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

func (r *run) reportBreach(format string, args ...any) {
	r.addToTimeline("BREACH "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}
