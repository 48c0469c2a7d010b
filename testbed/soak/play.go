package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/port"
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

// Result is the outcome of a run.
type Result struct {
	Seed                int64          `json:"seed"`
	Accepted            int            `json:"accepted"`
	Rejected            int            `json:"rejected"`
	Delivered           int            `json:"delivered"`
	Notices             int            `json:"notices"`
	Failed              int            `json:"failed"`       // requests with an error reply other than -BUSY
	Unanswered          int            `json:"unanswered"`   // requests that were read and whose connection was closed without a reply
	Unread              int            `json:"unread"`       // requests that were not read before their connection was reset
	ToldWrongly         int            `json:"told_wrongly"` // messages that were delivered and had a notice too
	SelfExits           int            `json:"self_exits"`   // processes that ended by themselves after SIGTERM
	Killed              int            `json:"killed"`       // processes that were ended by a SIGKILL of the plan
	Overdue             int            `json:"overdue"`      // processes that were killed because they had not ended in time after SIGTERM
	FaultCounts         map[string]int `json:"struck"`       // how often each action or discovery fault took effect
	FaultsWithoutEffect []string       `json:"not_struck"`   // actions of the plan that never took effect, and so were not tested
	Breaches            []string       `json:"breaches"`
	Dir                 string         `json:"folder,omitempty"` // folder with the log and the timeline, if the run broke a rule
}

// run is the state of a run in progress.
type run struct {
	options  Options
	plan     plan
	standIns *scripted.World
	proxy    *faultproxy.Proxy
	address  string
	dir      string
	log      *os.File
	clients  clients
	hanging  atomic.Bool // half of the calls to endpoints hang
	holdUps  *rand.Rand  // draws the hold-ups of the process

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

// setUp starts the endpoints, discovery and the fault proxy, and writes the courier's configuration.
func (r *run) setUp(seed int64) error {
	if err := os.MkdirAll(filepath.Join(r.dir, "state"), 0o755); err != nil {
		return err
	}
	rng, lock := rand.New(rand.NewSource(seed)), sync.Mutex{}
	standIns, err := scripted.Open(endpoints, func(string) scripted.Response {
		if r.hanging.Load() && rng.Intn(2) == 0 {
			r.count(actionHang)
			return scripted.Response{Delay: hangTime}
		}
		return drawResponse(rng, r.plan.endpointFaultRate, r.plan.bodies)
	})
	if err != nil {
		return err
	}
	r.standIns = standIns
	pollRand := rand.New(rand.NewSource(seed + 1))
	var noticeFaultAt time.Time
	r.proxy, err = faultproxy.Open(standIns.Discovery, func(call faultproxy.Call) faultproxy.FaultSpec {
		lock.Lock()
		defer lock.Unlock()
		switch {
		case time.Since(r.startedAt) < r.plan.quietPeriod:
			return faultproxy.FaultSpec{}
		case call.IsPoll():
			return drawTreatment(pollRand, r.plan.discoveryFaultRate)
		case call.Read.Sub(noticeFaultAt) < noticeFaultInterval || r.cannotConnect():
			return faultproxy.FaultSpec{}
		}
		treatment := drawNoticeFault(pollRand, r.plan.discoveryFaultRate)
		if treatment.Fault != faultproxy.None {
			noticeFaultAt = call.Read
		}
		return treatment
	})
	if err != nil {
		return err
	}
	standIns.Discovery = r.proxy.Address
	address, release, err := port.Reserve()
	if err != nil {
		return err
	}
	release()
	r.address = address
	if err := os.WriteFile(filepath.Join(r.dir, "config.json"), standIns.CourierConfiguration(fmt.Sprintf("soak-%d", r.options.Seed), address), 0o644); err != nil {
		return err
	}
	r.log, err = os.Create(filepath.Join(r.dir, "log"))
	return err
}

// cannotConnect reports whether new connections to discovery fail or are silent. A fault of a call with notices would then take one of
// the few that are open.
func (r *run) cannotConnect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holding || slices.ContainsFunc(r.activeFaults, action.failsToConnect)
}

// drawResponse draws how an endpoint treats a call.
func drawResponse(rng *rand.Rand, faultRate float64, bodies int) scripted.Response {
	work := time.Duration(5+rng.Intn(60)) * time.Millisecond
	if rng.Float64() >= faultRate {
		response := scripted.Response{Status: 200, Delay: work}
		if bodies > 0 {
			response.Body = fmt.Sprintf("body %d", rng.Intn(bodies))
		}
		return response
	}
	responses := []scripted.Response{{Status: 503}, {Status: 429, BackoffMs: 100 + rng.Intn(700)}, {Status: 500, Delay: work}, {Status: 0, Delay: work}, {Status: 200, Delay: 1500 * time.Millisecond}}
	return responses[rng.Intn(len(responses))]
}

func (r *run) close() {
	r.mu.Lock()
	child := r.child
	r.stopRequested = true
	r.mu.Unlock()
	if child != nil {
		child.Signal(syscall.SIGKILL)
		<-child.Done
	}
	r.proxy.Close()
	r.standIns.Close()
	r.log.Close()
}

// start starts the courier, and waits until it answers PING.
func (r *run) start() error {
	stateDir := filepath.Join(r.dir, "state")
	env := append(os.Environ(), "RELAY_CONFIG="+filepath.Join(r.dir, "config.json"), "RELAY_STATE="+stateDir)
	child, err := syscallfault.Start(r.options.Binary, env, r.log, tracedCalls, func(call *syscallfault.Call) syscallfault.Effect { return r.effectFor(call, stateDir) })
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.child, r.processStartedAt, r.stopRequested = child, time.Now(), false
	r.mu.Unlock()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if respondsToPing(r.address) {
			return nil
		}
	}
	r.reportBreach("the courier did not answer PING within %v of its start", readyTimeout)
	return nil
}

func respondsToPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	reply := make([]byte, len("+PONG\r\n"))
	_, err = io.ReadFull(conn, reply)
	return err == nil && string(reply) == "+PONG\r\n"
}

func (r *run) effectFor(call *syscallfault.Call, stateDir string) syscallfault.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.activeFaults {
		if !a.matches(call, stateDir) {
			continue
		}
		if r.matchCounts[a.name]++; a.strikesEverySecond() && r.matchCounts[a.name]%2 == 0 {
			continue
		}
		r.faultCounts[a.name]++
		return a.effect
	}
	return syscallfault.Effect{}
}

// perform waits until an action is due and carries it out.
func (r *run) perform(ctx context.Context, a action) {
	if !wait(ctx, a.at) {
		return
	}
	r.addToTimeline("%s", a.name)
	switch a.name {
	case actionDrain:
		r.drain(ctx)
	case actionOpenConnections:
		r.openConnections(ctx)
	case actionSilence:
		r.proxy.SilenceOpen()
		r.count(a.name)
	case actionHold:
		release := r.proxy.HoldNew()
		r.count(a.name)
		r.setHolding(true)
		wait(ctx, a.duration)
		release()
		r.setHolding(false)
		r.addToTimeline("%s ended", a.name)
	case actionHang:
		r.hanging.Store(true)
		wait(ctx, a.duration)
		r.hanging.Store(false)
		r.addToTimeline("%s ended", a.name)
	case actionHoldUp:
		r.holdUp(ctx, a)
	case actionSignals:
		r.signalSeries(ctx, a)
	default:
		r.mu.Lock()
		r.activeFaults = append(r.activeFaults, a)
		r.mu.Unlock()
		wait(ctx, a.duration)
		r.mu.Lock()
		r.activeFaults = slices.DeleteFunc(r.activeFaults, func(other action) bool { return other.name == a.name })
		r.mu.Unlock()
		r.addToTimeline("%s ended", a.name)
	}
}

// holdUp holds the running process up again and again.
func (r *run) holdUp(ctx context.Context, a action) {
	for end := time.Now().Add(a.duration); time.Now().Before(end); {
		r.mu.Lock()
		child := r.child
		r.mu.Unlock()
		child.HoldUp(minHoldUp + time.Duration(r.holdUps.Int63n(int64(maxHoldUp-minHoldUp))))
		r.count(a.name)
		if !wait(ctx, minHoldUpPause+time.Duration(r.holdUps.Int63n(int64(holdUpPauseSpan)))) {
			return
		}
	}
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

func (r *run) setHolding(holding bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holding = holding
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[name]++
}

// watchProcess reports a breach if the process exits without having been stopped.
func (r *run) watchProcess(ctx context.Context) {
	for wait(ctx, 50*time.Millisecond) {
		r.mu.Lock()
		child, stopRequested := r.child, r.stopRequested
		r.mu.Unlock()
		select {
		case <-child.Done:
			if !stopRequested {
				r.reportBreach("the courier exited unexpectedly: %v", child.Status())
				return
			}
		default:
		}
	}
}

// drain drains an endpoint, and reports a breach if the courier starts calls to that endpoint once the
// deadline for the change, the grace period and 50 ms more have passed. The deadline counts from the drain,
// or from the start of the process if that is later, since such a process may learn of the drain from its
// configuration.
func (r *run) drain(ctx context.Context) {
	drained := int(r.options.Seed % endpoints)
	r.mu.Lock()
	r.faultCounts[actionDrain]++
	r.mu.Unlock()
	at := time.Now()
	r.standIns.Drain(drained)
	calls := r.standIns.Calls(drained)
	for wait(ctx, 20*time.Millisecond) {
		r.mu.Lock()
		knownAt := at
		if r.processStartedAt.After(knownAt) {
			knownAt = r.processStartedAt
		}
		r.mu.Unlock()
		current := r.standIns.Calls(drained)
		if late := time.Since(knownAt) - changeDeadline - drainGrace - 50*time.Millisecond; current > calls && late > 0 {
			r.reportBreach("drain: %d calls to a draining endpoint, %v after the deadline and the grace period", current-calls, late.Round(time.Millisecond))
		}
		calls = current
	}
}

// openConnections opens 300 idle connections to the courier and closes them after 2 s.
func (r *run) openConnections(ctx context.Context) {
	r.mu.Lock()
	r.faultCounts[actionOpenConnections]++
	r.mu.Unlock()
	var conns []net.Conn
	for range 300 {
		if conn, err := net.DialTimeout("tcp", r.address, 100*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	wait(ctx, 2*time.Second)
	for _, conn := range conns {
		conn.Close()
	}
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

// awaitOutcomes waits until every accepted message has ended or is overdue.
func (r *run) awaitOutcomes() {
	r.mu.Lock()
	r.activeFaults = nil
	outages := slices.Clone(r.outages)
	r.mu.Unlock()
	for _, q := range r.clients.all() {
		for q.result == accepted && !r.hasOutcome(q.id) && time.Now().Before(dueAt(q.deadline(), outages).Add(overdueWait)) {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// overdueWait is how long the run waits for an overdue message, so that a late end can be told from a missing one.
const overdueWait = 2 * time.Second

func (r *run) hasOutcome(id string) bool {
	_, deliveries, notices := r.standIns.MessageCalls(id)
	return deliveries > 0 || len(notices) > 0
}

// judgeRequests judges all requests.
func (r *run) judgeRequests(res *Result) {
	r.mu.Lock()
	res.SelfExits, res.Killed, res.Overdue = r.selfExits, r.killed, r.overdue
	j := &judge{events: r.standIns.Events, outages: slices.Clone(r.outages), crowded: r.plan.has(actionOpenConnections), result: res, start: r.startedAt,
		notices: func(id string) []string { _, _, notices := r.standIns.MessageCalls(id); return notices }}
	r.mu.Unlock()
	for _, q := range r.clients.all() {
		j.request(q)
		started, _, _ := r.standIns.MessageCalls(q.id)
		j.atMostOnce(q, started)
	}
	if res.Accepted == 0 {
		res.Breaches = append(res.Breaches, "no message was accepted")
	}
}

// result checks the completed run, and writes the timeline of a run that broke a rule.
func (r *run) result() (*Result, error) {
	res := &Result{Seed: r.options.Seed, FaultCounts: map[string]int{}}
	r.judgeRequests(res)
	for fault, n := range r.proxy.FaultCounts() {
		if fault != faultproxy.None {
			res.FaultCounts["discovery "+fault.String()] += n
		}
	}
	r.mu.Lock()
	for name, n := range r.faultCounts {
		res.FaultCounts[name] += n
	}
	res.Breaches = append(res.Breaches, r.breaches...)
	for _, a := range r.plan.actions {
		if res.FaultCounts[a.name] == 0 && !slices.Contains(res.FaultsWithoutEffect, a.name) {
			res.FaultsWithoutEffect = append(res.FaultsWithoutEffect, a.name)
		}
	}
	timeline := strings.Join(r.timeline, "\n")
	r.mu.Unlock()
	if len(res.Breaches) == 0 {
		return res, nil
	}
	res.Dir = r.dir
	for _, call := range r.proxy.Calls() {
		timeline += fmt.Sprintf("\n%8.3f discovery %s %s %v, answered %.3f", call.Read.Sub(r.startedAt).Seconds(), call.Path, call.Query.Encode(), call.Fault, call.Answered.Sub(r.startedAt).Seconds())
	}
	return res, errors.Join(os.WriteFile(filepath.Join(r.dir, "timeline"), []byte(timeline+"\n"+strings.Join(res.Breaches, "\n")), 0o644))
}
