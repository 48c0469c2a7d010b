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
	killAfter   = 3700 * time.Millisecond
	maxDowntime = 600 * time.Millisecond
	readyWithin = 10 * time.Second
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
	Seed                int64          `json:"seed"`
	Accepted            int            `json:"accepted"`
	Rejected            int            `json:"rejected"`
	Delivered           int            `json:"delivered"`
	Notices             int            `json:"notices"`
	Unanswered          int            `json:"unanswered"`
	FaultCounts         map[string]int `json:"struck"`     // faults, with how often
	FaultsWithoutEffect []string       `json:"not_struck"` // drawn, and never struck: not tested
	Breaches            []string       `json:"breaches"`
	Dir                 string         `json:"folder,omitempty"` // with the log and the timeline, of a play that broke a rule
}

// play is one play under way.
type play struct {
	options Options
	plan    plan
	world   *scripted.World
	proxy   *faultproxy.Proxy
	listen  string
	folder  string
	log     *os.File
	clients clients

	mu       sync.Mutex
	child    *syscallfault.Process
	failing  []act // system calls that fail just now
	began    time.Time
	startAt  time.Time // of the process
	ended    bool      // its end was asked for
	struck   map[string]int
	breaches []string
	timeline []string
}

// Play plays one seed. An error says that the play could not be set up.
func Play(ctx context.Context, o Options) (*Result, error) {
	folder := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	r, err := playIn(ctx, folder, o)
	if err != nil || len(r.Breaches) > 0 {
		return r, err
	}
	return r, os.RemoveAll(folder) // now that its process has ended
}

func playIn(ctx context.Context, folder string, o Options) (*Result, error) {
	rng := rand.New(rand.NewSource(o.Seed))
	p := &play{options: o, plan: draw(rng, o.Length), struck: map[string]int{}, folder: folder}
	if err := p.open(rng.Int63()); err != nil {
		return nil, err
	}
	defer p.close()
	if err := p.start(); err != nil {
		return nil, err
	}
	p.began = time.Now()
	stopClients := p.clients.run(p.listen, o.Seed)
	var acts sync.WaitGroup
	playing, stop := context.WithTimeout(ctx, o.Length)
	for _, a := range p.plan.acts {
		acts.Go(func() { p.carryOut(playing, a) })
	}
	acts.Go(func() { p.watchProcess(playing) })
	<-playing.Done()
	stop()
	acts.Wait()
	stopClients()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.awaitEnds()
	return p.result()
}

func (p *play) open(seed int64) error {
	if err := os.MkdirAll(filepath.Join(p.folder, "state"), 0o755); err != nil {
		return err
	}
	rng, lock := rand.New(rand.NewSource(seed)), sync.Mutex{}
	world, err := scripted.Open(endpoints, func(string) scripted.Response { return fate(rng, p.plan.endpointsBad) })
	if err != nil {
		return err
	}
	p.world = world
	polls := rand.New(rand.NewSource(seed + 1))
	p.proxy, err = faultproxy.Open(world.Discovery, func(call faultproxy.Call) faultproxy.FaultSpec {
		lock.Lock()
		defer lock.Unlock()
		if !call.IsPoll() || time.Since(p.began) < p.plan.quiet {
			return faultproxy.FaultSpec{}
		}
		return treatment(polls, p.plan.discoveryBad)
	})
	if err != nil {
		return err
	}
	world.Discovery = p.proxy.Address
	address, letGo, err := port.Reserve()
	if err != nil {
		return err
	}
	letGo()
	p.listen = address
	if err := os.WriteFile(filepath.Join(p.folder, "config.json"), world.CourierConfiguration(fmt.Sprintf("soak-%d", p.options.Seed), address), 0o644); err != nil {
		return err
	}
	p.log, err = os.Create(filepath.Join(p.folder, "log"))
	return err
}

// fate draws what becomes of a call at an endpoint.
func fate(rng *rand.Rand, bad float64) scripted.Response {
	work := time.Duration(5+rng.Intn(60)) * time.Millisecond
	if rng.Float64() >= bad {
		return scripted.Response{Status: 200, Delay: work}
	}
	fates := []scripted.Response{{Status: 503}, {Status: 429, BackoffMs: 100 + rng.Intn(700)}, {Status: 500, Delay: work}, {Status: 0, Delay: work}, {Status: 200, Delay: 1500 * time.Millisecond}}
	return fates[rng.Intn(len(fates))]
}

func (p *play) close() {
	p.mu.Lock()
	child := p.child
	p.ended = true
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
func (p *play) start() error {
	state := filepath.Join(p.folder, "state")
	env := append(os.Environ(), "RELAY_CONFIG="+filepath.Join(p.folder, "config.json"), "RELAY_STATE="+state)
	child, err := syscallfault.Start(p.options.Binary, env, p.log, tracedCalls, func(call *syscallfault.Call) syscallfault.Effect { return p.effectOn(call, state) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.child, p.startAt, p.ended = child, time.Now(), false
	p.mu.Unlock()
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if answersPing(p.listen) {
			return nil
		}
	}
	p.breach("not ready within %v of its start", readyWithin)
	return nil
}

func answersPing(address string) bool {
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

func (p *play) effectOn(call *syscallfault.Call, state string) syscallfault.Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.failing {
		if a.strikes(call, state) {
			p.struck[a.what]++
			return a.effect
		}
	}
	return syscallfault.Effect{}
}

// carryOut waits for an act's instant and carries it out.
func (p *play) carryOut(ctx context.Context, a act) {
	if !wait(ctx, a.at) {
		return
	}
	p.note("%s", a.what)
	switch a.what {
	case actDrain:
		p.drain(ctx)
	case actCrowd:
		p.crowd(ctx)
	case actKill, actEnd, actHangup:
		p.signal(ctx, a.what)
	default:
		p.mu.Lock()
		p.failing = append(p.failing, a)
		p.mu.Unlock()
		wait(ctx, a.span)
		p.mu.Lock()
		p.failing = slices.DeleteFunc(p.failing, func(other act) bool { return other.what == a.what })
		p.mu.Unlock()
		p.note("%s is over", a.what)
	}
}

// wait waits for a span, and reports whether the play still goes on.
func wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// signal sends a signal; a process that is to end is started again once it has.
func (p *play) signal(ctx context.Context, what string) {
	p.mu.Lock()
	child, busy := p.child, p.ended
	if busy && what != actKill { // a kill may come in the middle of a shutdown
		p.mu.Unlock()
		return
	}
	p.ended = p.ended || what != actHangup
	p.struck[what]++
	p.mu.Unlock()
	switch what {
	case actHangup:
		child.Signal(syscall.SIGHUP)
		return
	case actEnd:
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
	if busy { // whoever ended it starts it
		return
	}
	wait(ctx, time.Duration(p.options.Seed%6)*maxDowntime/6)
	if err := p.start(); err != nil {
		p.breach("not started again: %v", err)
	}
	p.note("started")
}

// watchProcess sees that the process does not end by itself.
func (p *play) watchProcess(ctx context.Context) {
	for wait(ctx, 50*time.Millisecond) {
		p.mu.Lock()
		child, ended := p.child, p.ended
		p.mu.Unlock()
		select {
		case <-child.Done:
			if !ended {
				p.breach("the process ended by itself: %v", child.Status())
				return
			}
		default:
		}
	}
}

// drain drains an endpoint and watches that nothing new goes there once that must be known. A process that has just started may have it from its
// configuration, and is held to it like to a change.
func (p *play) drain(ctx context.Context) {
	drained := int(p.options.Seed % endpoints)
	p.mu.Lock()
	p.struck[actDrain]++
	p.mu.Unlock()
	at := time.Now()
	p.world.Drain(drained)
	calls := p.world.Calls(drained)
	for wait(ctx, 20*time.Millisecond) {
		p.mu.Lock()
		known := at
		if p.startAt.After(known) {
			known = p.startAt
		}
		p.mu.Unlock()
		now := p.world.Calls(drained)
		if late := time.Since(known) - changeDeadline - drainGrace - 50*time.Millisecond; now > calls && late > 0 {
			p.breach("drain: %d calls to a draining endpoint, %v after that must have been known", now-calls, late.Round(time.Millisecond))
		}
		calls = now
	}
}

// crowd fills the courier with idle connections.
func (p *play) crowd(ctx context.Context) {
	p.mu.Lock()
	p.struck[actCrowd]++
	p.mu.Unlock()
	var conns []net.Conn
	for range 300 {
		if conn, err := net.DialTimeout("tcp", p.listen, 100*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	wait(ctx, 2*time.Second)
	for _, conn := range conns {
		conn.Close()
	}
}

func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeline = append(p.timeline, fmt.Sprintf("%8.3f %s", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...)))
}

func (p *play) breach(format string, args ...any) {
	p.note("BREACH "+format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaches = append(p.breaches, fmt.Sprintf(format, args...))
}

// awaitEnds waits until every message that was accepted has ended, for as long as it may take.
func (p *play) awaitEnds() {
	const restart = 1500 * time.Millisecond
	p.mu.Lock()
	p.failing = nil
	p.mu.Unlock()
	deadline := time.Now().Add(timeToLive + 350*time.Millisecond + restart)
	for _, id := range p.clients.acceptedIDs() {
		for !p.isOver(id) {
			if time.Now().After(deadline) {
				began, _, _ := p.world.MessageCalls(id)
				p.breach("final answer: %s was accepted and has none; begun %d times", id, began)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (p *play) isOver(id string) bool {
	_, done, notices := p.world.MessageCalls(id)
	return done > 0 || len(notices) > 0
}

// result judges what is over, and writes down a play that broke a rule.
func (p *play) result() (*Result, error) {
	r := &Result{Seed: p.options.Seed, FaultCounts: map[string]int{}}
	p.clients.judge(p, r)
	for fault, n := range p.proxy.Struck() {
		if fault != faultproxy.None {
			r.FaultCounts["discovery "+fault.String()] += n
		}
	}
	p.mu.Lock()
	for what, n := range p.struck {
		r.FaultCounts[what] += n
	}
	r.Breaches = append(r.Breaches, p.breaches...)
	for _, a := range p.plan.acts {
		if r.FaultCounts[a.what] == 0 && !slices.Contains(r.FaultsWithoutEffect, a.what) {
			r.FaultsWithoutEffect = append(r.FaultsWithoutEffect, a.what)
		}
	}
	timeline := strings.Join(p.timeline, "\n")
	p.mu.Unlock()
	if len(r.Breaches) == 0 {
		return r, nil
	}
	r.Dir = p.folder
	for _, call := range p.proxy.Calls() {
		timeline += fmt.Sprintf("\n%8.3f discovery %s %s %v, answered %.3f", call.Read.Sub(p.began).Seconds(), call.Path, call.Query.Encode(), call.Fault, call.Answered.Sub(p.began).Seconds())
	}
	return r, errors.Join(os.WriteFile(filepath.Join(p.folder, "timeline"), []byte(timeline+"\n"+strings.Join(r.Breaches, "\n")), 0o644))
}
