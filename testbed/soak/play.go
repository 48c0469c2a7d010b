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
	"syscall"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/port"
	"pineport/testbed/scripted"
	"pineport/testbed/syscallfault"
)

const (
	endpoints = 3
	// changeDeadline is when a drain counts as known at the latest, and drainGrace how long after that a new call may go there.
	changeDeadline = 6 * time.Second
	drainGrace     = 500 * time.Millisecond
	timeToLive     = 5 * time.Second
	// killAfter is how long after SIGTERM the process is killed, and downtime how long it then takes until it is started again.
	killAfter    = 3700 * time.Millisecond
	maxDowntime  = 600 * time.Millisecond
	readyTimeout = 10 * time.Second
)

// Options are how a seed is played.
type Options struct {
	Binary string        // of the courier
	Seed   int64         // draws all
	Length time.Duration // of the play; messages then still have their time
	Dir    string        // where the courier's files are; a play that breaks a rule leaves them there
}

// Result is what a play came to.
type Result struct {
	Seed       int64          `json:"seed"`
	Accepted   int            `json:"accepted"`
	Rejected   int            `json:"rejected"`
	Delivered  int            `json:"delivered"`
	Notices    int            `json:"notices"`
	Unanswered int            `json:"unanswered"`
	Struck     map[string]int `json:"struck"`     // faults, with how often
	NotStruck  []string       `json:"not_struck"` // drawn, and never struck: not tested
	Breaches   []string       `json:"breaches"`
	Folder     string         `json:"folder,omitempty"` // with the log and the timeline, of a play that broke a rule
}

// play is one play under way.
type run struct {
	options Options
	plan    plan
	world   *scripted.World
	proxy   *faultproxy.Proxy
	address string
	dir     string
	log     *os.File
	clients clients

	mu               sync.Mutex
	child            *syscallfault.Process
	activeFaults     []action // system calls that fail just now
	startedAt        time.Time
	processStartedAt time.Time // of the process
	stopRequested    bool      // its end was asked for
	faultCounts      map[string]int
	breaches         []string
	timeline         []string
}

// Play plays one seed. An error says that the play could not be set up.
func Play(ctx context.Context, o Options) (*Result, error) {
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	r, err := runIn(ctx, dir, o)
	if err != nil || len(r.Breaches) > 0 {
		return r, err
	}
	return r, os.RemoveAll(dir) // now that its process has ended
}

func runIn(ctx context.Context, dir string, o Options) (*Result, error) {
	rng := rand.New(rand.NewSource(o.Seed))
	p := &run{options: o, plan: drawPlan(rng, o.Length), faultCounts: map[string]int{}, dir: dir}
	if err := p.open(rng.Int63()); err != nil {
		return nil, err
	}
	defer p.close()
	if err := p.start(); err != nil {
		return nil, err
	}
	p.startedAt = time.Now()
	stopClients := p.clients.run(p.address, o.Seed)
	var running sync.WaitGroup
	runCtx, stop := context.WithTimeout(ctx, o.Length)
	for _, a := range p.plan.actions {
		running.Go(func() { p.perform(runCtx, a) })
	}
	running.Go(func() { p.watchProcess(runCtx) })
	<-runCtx.Done()
	stop()
	running.Wait()
	stopClients()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.awaitOutcomes()
	return p.result()
}

func (p *run) open(seed int64) error {
	if err := os.MkdirAll(filepath.Join(p.dir, "state"), 0o755); err != nil {
		return err
	}
	rng, lock := rand.New(rand.NewSource(seed)), sync.Mutex{}
	world, err := scripted.Open(endpoints, func(string) scripted.Fate { return drawFate(rng, p.plan.endpointFaultRate) })
	if err != nil {
		return err
	}
	p.world = world
	polls := rand.New(rand.NewSource(seed + 1))
	p.proxy, err = faultproxy.Open(world.Discovery, func(call faultproxy.Call) faultproxy.Treatment {
		lock.Lock()
		defer lock.Unlock()
		if !call.IsPoll() || time.Since(p.startedAt) < p.plan.quietPeriod {
			return faultproxy.Treatment{}
		}
		return drawTreatment(polls, p.plan.discoveryFaultRate)
	})
	if err != nil {
		return err
	}
	world.Discovery = p.proxy.Address
	address, release, err := port.Reserve()
	if err != nil {
		return err
	}
	release()
	p.address = address
	if err := os.WriteFile(filepath.Join(p.dir, "config.json"), world.Configuration(fmt.Sprintf("soak-%d", p.options.Seed), address), 0o644); err != nil {
		return err
	}
	p.log, err = os.Create(filepath.Join(p.dir, "log"))
	return err
}

// fate draws what becomes of a call at an endpoint.
func drawFate(rng *rand.Rand, faultRate float64) scripted.Fate {
	work := time.Duration(5+rng.Intn(60)) * time.Millisecond
	if rng.Float64() >= faultRate {
		return scripted.Fate{Status: 200, After: work}
	}
	fates := []scripted.Fate{{Status: 503}, {Status: 429, WaitMs: 100 + rng.Intn(700)}, {Status: 500, After: work}, {Status: 0, After: work}, {Status: 200, After: 1500 * time.Millisecond}}
	return fates[rng.Intn(len(fates))]
}

func (p *run) close() {
	p.mu.Lock()
	child := p.child
	p.stopRequested = true
	p.mu.Unlock()
	if child != nil {
		child.Signal(syscall.SIGKILL)
		<-child.Done
	}
	p.proxy.Close()
	p.world.Close()
	p.log.Close()
}

// start starts the courier, and returns once it answers.
func (p *run) start() error {
	state := filepath.Join(p.dir, "state")
	env := append(os.Environ(), "RELAY_CONFIG="+filepath.Join(p.dir, "config.json"), "RELAY_STATE="+state)
	child, err := syscallfault.Start(p.options.Binary, env, p.log, tracedCalls, func(call *syscallfault.Call) syscallfault.Effect { return p.effectFor(call, state) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.child, p.processStartedAt, p.stopRequested = child, time.Now(), false
	p.mu.Unlock()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if respondsToPing(p.address) {
			return nil
		}
	}
	p.breachf("not ready within %v of its start", readyTimeout)
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

func (p *run) effectFor(call *syscallfault.Call, state string) syscallfault.Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.activeFaults {
		if a.matches(call, state) {
			p.faultCounts[a.name]++
			return a.effect
		}
	}
	return syscallfault.Effect{}
}

// carryOut waits for an act's instant and carries it out.
func (p *run) perform(ctx context.Context, a action) {
	if !wait(ctx, a.at) {
		return
	}
	p.logf("%s", a.name)
	switch a.name {
	case actionDrain:
		p.drain(ctx)
	case actionOpenConnections:
		p.openConnections(ctx)
	case actionKill, actionTerminate, actionReload:
		p.signal(ctx, a.name)
	default:
		p.mu.Lock()
		p.activeFaults = append(p.activeFaults, a)
		p.mu.Unlock()
		wait(ctx, a.duration)
		p.mu.Lock()
		p.activeFaults = slices.DeleteFunc(p.activeFaults, func(other action) bool { return other.name == a.name })
		p.mu.Unlock()
		p.logf("%s is over", a.name)
	}
}

// wait waits for a span, and reports whether the play still goes on.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// signal sends a signal; a process that is to end is started again once it has.
func (p *run) signal(ctx context.Context, name string) {
	p.mu.Lock()
	child, stopping := p.child, p.stopRequested
	if stopping && name != actionKill { // a kill may come in the middle of a shutdown
		p.mu.Unlock()
		return
	}
	p.stopRequested = p.stopRequested || name != actionReload
	p.faultCounts[name]++
	p.mu.Unlock()
	switch name {
	case actionReload:
		child.Signal(syscall.SIGHUP)
		return
	case actionTerminate:
		child.Signal(syscall.SIGTERM)
		select {
		case <-child.Done:
		case <-time.After(killAfter):
			child.Signal(syscall.SIGKILL)
		}
	default:
		child.Signal(syscall.SIGKILL)
	}
	<-child.Done
	if stopping { // whoever ended it starts it
		return
	}
	wait(ctx, time.Duration(p.options.Seed%6)*maxDowntime/6)
	if err := p.start(); err != nil {
		p.breachf("not started again: %v", err)
	}
	p.logf("started")
}

// watchProcess sees that the process does not end by itself.
func (p *run) watchProcess(ctx context.Context) {
	for wait(ctx, 50*time.Millisecond) {
		p.mu.Lock()
		child, stopRequested := p.child, p.stopRequested
		p.mu.Unlock()
		select {
		case <-child.Done:
			if !stopRequested {
				p.breachf("the process ended by itself: %v", child.Status())
				return
			}
		default:
		}
	}
}

// drain drains an endpoint and watches that nothing new goes there once that must be known. A process that has just started may have it from its
// configuration, and is held to it like to a change.
func (p *run) drain(ctx context.Context) {
	drained := int(p.options.Seed % endpoints)
	p.mu.Lock()
	p.faultCounts[actionDrain]++
	p.mu.Unlock()
	at := time.Now()
	p.world.Drain(drained)
	calls := p.world.Calls(drained)
	for wait(ctx, 20*time.Millisecond) {
		p.mu.Lock()
		knownAt := at
		if p.processStartedAt.After(knownAt) {
			knownAt = p.processStartedAt
		}
		p.mu.Unlock()
		current := p.world.Calls(drained)
		if late := time.Since(knownAt) - changeDeadline - drainGrace - 50*time.Millisecond; current > calls && late > 0 {
			p.breachf("drain: %d calls to a draining endpoint, %v after that must have been known", current-calls, late.Round(time.Millisecond))
		}
		calls = current
	}
}

// crowd fills the courier with idle connections.
func (p *run) openConnections(ctx context.Context) {
	p.mu.Lock()
	p.faultCounts[actionOpenConnections]++
	p.mu.Unlock()
	var conns []net.Conn
	for range 300 {
		if conn, err := net.DialTimeout("tcp", p.address, 100*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	wait(ctx, 2*time.Second)
	for _, conn := range conns {
		conn.Close()
	}
}

func (p *run) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeline = append(p.timeline, fmt.Sprintf("%8.3f %s", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

func (p *run) breachf(format string, args ...any) {
	p.logf("BREACH "+format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaches = append(p.breaches, fmt.Sprintf(format, args...))
}

// awaitEnds waits until every message that was accepted has ended, for as long as it may take.
func (p *run) awaitOutcomes() {
	const restart = 1500 * time.Millisecond
	p.mu.Lock()
	p.activeFaults = nil
	p.mu.Unlock()
	deadline := time.Now().Add(timeToLive + 350*time.Millisecond + restart)
	for _, id := range p.clients.acceptedIDs() {
		for !p.hasOutcome(id) {
			if time.Now().After(deadline) {
				starts, _, _ := p.world.Seen(id)
				p.breachf("final answer: %s was accepted and has none; begun %d times", id, starts)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (p *run) hasOutcome(id string) bool {
	_, deliveries, notices := p.world.Seen(id)
	return deliveries > 0 || len(notices) > 0
}

// result judges what is over, and writes down a play that broke a rule.
func (p *run) result() (*Result, error) {
	r := &Result{Seed: p.options.Seed, Struck: map[string]int{}}
	p.clients.check(p, r)
	for fault, n := range p.proxy.Struck() {
		if fault != faultproxy.None {
			r.Struck["discovery "+fault.String()] += n
		}
	}
	p.mu.Lock()
	for name, n := range p.faultCounts {
		r.Struck[name] += n
	}
	r.Breaches = append(r.Breaches, p.breaches...)
	for _, a := range p.plan.actions {
		if r.Struck[a.name] == 0 && !slices.Contains(r.NotStruck, a.name) {
			r.NotStruck = append(r.NotStruck, a.name)
		}
	}
	timeline := strings.Join(p.timeline, "\n")
	p.mu.Unlock()
	if len(r.Breaches) == 0 {
		return r, nil
	}
	r.Folder = p.dir
	for _, call := range p.proxy.Calls() {
		timeline += fmt.Sprintf("\n%8.3f discovery %s %s %v, answered %.3f", call.Read.Sub(p.startedAt).Seconds(), call.Path, call.Query.Encode(), call.Fault, call.Answered.Sub(p.startedAt).Seconds())
	}
	return r, errors.Join(os.WriteFile(filepath.Join(p.dir, "timeline"), []byte(timeline+"\n"+strings.Join(r.Breaches, "\n")), 0o644))
}
