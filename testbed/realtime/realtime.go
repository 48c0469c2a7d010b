// Package realtime runs a scenario on loopback sockets: endpoints, discovery servers, open-loop clients, and real courier processes that are
// killed, shut down, restarted and paused as the scenario defines.
package realtime

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"pineport/dispatch"
	"pineport/testbed/environment"
	"pineport/testbed/invariants"
	"pineport/testbed/load"
	"pineport/testbed/process"
	"pineport/testbed/scenario"
)

// Options configures a run.
type Options struct {
	Binary       string // path of the courier binary
	Dir          string // directory for the couriers' state and logs; empty: a temporary one
	Log          *slog.Logger
	ReadyTimeout time.Duration // limit for a courier to answer PING after its start; 0: 10 s
	// OnAct is called for each scheduled event when it happens; nil: not called.
	OnAct func(at dispatch.Micros, a scenario.Event)
	// Reload is the interval at which each courier's settings are changed and reloaded with SIGHUP; 0: never.
	Reload time.Duration
	// ExtraConfiguration returns additional configuration of a courier, which overrides the generated configuration key by key; nil: none.
	ExtraConfiguration func(c *process.Courier) (map[string]any, error)
	// OnStart is called once when the scenario starts. The function it returns is called when all messages have ended or the run stops.
	OnStart func(f *Session) (end func())
	// Limits are the resource limits of a courier, in the platform's format; nil: 1 core, 192 MB, 1,024 descriptors, 3 MB of disk.
	Limits map[string]any
}

// Session is a running scenario, for callers that add faults of their own.
type Session struct{ run *run }

// Couriers returns the couriers of the scenario, indexed by their number.
func (f *Session) Couriers() []*process.Courier { return f.run.couriers }

// Elapsed returns the time since the start of the scenario.
func (f *Session) Elapsed() time.Duration { return time.Since(f.run.world.Clock.Start) }

// ApplyAct carries out a scheduled event of a courier and records it in the ledger.
func (f *Session) ApplyAct(a scenario.Event) { f.run.applyAct(a) }

// Cost holds the resources that a run used and the lateness of its load generator.
type Cost struct {
	Wall        float64 `json:"wall_s"`
	CourierCPU  float64 `json:"courier_cpu_s"` // sum over all couriers
	TestbedCPU  float64 `json:"lab_cpu_s"`
	MaxRSS      int64   `json:"courier_max_rss_kib"`      // highest peak of a single courier
	Connections int     `json:"connections_to_endpoints"` // highest number open at the same time
	LateP99     float64 `json:"late_p99_s"`
	LateMax     float64 `json:"late_max_s"`
	Restarts    int     `json:"restarts"`
	Reloads     int     `json:"reloads"`
}

// run is one run of a scenario.
type run struct {
	Options
	drawn    *scenario.Instance
	ledger   *invariants.Ledger
	world    *environment.World
	couriers []*process.Courier
	pools    []*load.Pool
	late     *load.Lateness
	stop     chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	clients  map[dispatch.MessageID]*client // by each message id that the client has used
	pending  int                            // submissions in progress or scheduled
	restarts int
	reloads  int
	invalid  string // why the run is invalid; empty: it is valid
	body     []byte
}

// Play runs a scenario and returns its verdict. The run ends when all messages have a final answer, but at the latest 300 ms after the end of
// the scenario. If ctx is done before, Play stops the run and marks the verdict as invalid.
func Play(ctx context.Context, w *scenario.Instance, o Options) (*invariants.Verdict, Cost, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.ReadyTimeout == 0 {
		o.ReadyTimeout = 10 * time.Second
	}
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "pineport-testbed-")
		if err != nil {
			return nil, Cost{}, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	r := &run{Options: o, drawn: w, ledger: invariants.New(ledgerSetup(w)), late: load.NewLateness(), stop: make(chan struct{}),
		rng: rand.New(rand.NewPCG(uint64(w.Seed), 55)), clients: map[dispatch.MessageID]*client{}, body: []byte("record of a laboratory day")}
	var err error
	if r.world, err = environment.Open(w, o.Log); err != nil {
		return nil, Cost{}, err
	}
	defer r.world.Close()
	r.world.OnNotice = r.handleNotice
	defer r.killAll()
	if err := r.startAll(); err != nil {
		return nil, Cost{}, err
	}
	startedAt, cpu := time.Now(), ownCPU()
	r.world.Start(r.ledger, r.applyAct)
	onEnd := func() {}
	if o.OnStart != nil {
		onEnd = o.OnStart(&Session{r})
	}
	r.play(ctx)
	onEnd()
	end := r.world.Clock.Now()
	v := r.ledger.Finish(end)
	cost := Cost{Wall: time.Since(startedAt).Seconds(), TestbedCPU: (ownCPU() - cpu).Seconds(), Connections: r.world.MaxConnections(), Restarts: r.restarts}
	cost.Reloads = r.reloads
	p99, longest := r.late.P99AndMax()
	cost.LateP99, cost.LateMax = p99.Seconds(), longest.Seconds()
	r.killAll()
	for _, c := range r.couriers {
		used, rss := c.TotalUsage()
		cost.CourierCPU += used.Seconds()
		cost.MaxRSS = max(cost.MaxRSS, rss)
	}
	v.InvalidReason = r.late.Violation()
	switch {
	case ctx.Err() != nil:
		v.InvalidReason = "run canceled"
	case r.invalid != "":
		v.InvalidReason = r.invalid
	}
	return v, cost, nil
}

// ledgerSetup returns the ledger setup of the scenario with the tolerances that several processes need. Leeway (50 ms) allows for clocks that
// differ. Calls within WaitFrom (100 ms) after a requested wait may have been sent before the courier read it. A final answer may come AnswerSlack
// (300 ms) after the deadline. For the time Excused (1.5 s) after its restart, a courier's overdue answers are not violations. The values are those
// of the platform's protocol.
func ledgerSetup(w *scenario.Instance) invariants.Setup {
	s := invariants.SetupFor(w)
	const ms = dispatch.Micros(1000)
	s.ClockTolerance, s.WaitGrace, s.AnswerGrace, s.RestartGrace = 50*ms, 100*ms, 300*ms, 1500*ms
	return s
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *run) startAll() error {
	var wg sync.WaitGroup
	n := r.drawn.Definition.Fleet.Couriers
	errs := make([]error, n)
	for i := range n {
		c, err := process.New(i, r.Binary, r.Dir, r.recordCrash)
		if err != nil {
			return err
		}
		r.couriers, r.pools = append(r.couriers, c), append(r.pools, load.NewPool(c.Listen))
		if err := r.configure(c); err != nil {
			return err
		}
	}
	for i, c := range r.couriers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = c.Start(r.ReadyTimeout)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *run) configure(c *process.Courier) error {
	limits := r.Limits
	if limits == nil {
		limits = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
	}
	r.mu.Lock()
	seed := r.rng.Uint64()
	r.mu.Unlock()
	all := map[string]any{"name": fmt.Sprintf("n%d", c.Number), "listen": c.Listen, "discovery": r.world.DirectoryAddress(c.Number),
		"seed": strconv.FormatUint(seed, 16), "limits": limits, "known": r.world.InitialList(c.Number), "settings": r.settings(c.Number)}
	if r.ExtraConfiguration != nil {
		extra, err := r.ExtraConfiguration(c)
		if err != nil {
			return err
		}
		mergeConfiguration(all, extra)
	}
	return c.Configure(all)
}

// mergeConfiguration merges the nested configuration overlay into target. Values of overlay replace those of target, except that nested maps are
// merged.
func mergeConfiguration(target, overlay map[string]any) {
	for key, v := range overlay {
		if inner, ok := v.(map[string]any); ok {
			if existing, ok := target[key].(map[string]any); ok {
				mergeConfiguration(existing, inner)
				continue
			}
		}
		target[key] = v
	}
}

// settings returns the settings of a courier: those of the scenario before the first reload, and a variation of them after each reload, so that
// the number of slots, the queue limit, the attempt limit and the classes change while the courier holds messages. Every other reload adds a class
// that no client uses, the next one removes it.
func (r *run) settings(no int) map[string]any {
	s := r.drawn.Settings(no)
	r.mu.Lock()
	round := r.reloads
	r.mu.Unlock()
	if round == 0 {
		return s
	}
	ceilings, family := s["ceilings"].(map[string]any), s["family-info"].(map[string]any)
	ceilings["open-cap"] = r.drawn.QueueLimit * (8 + round%5) / 10
	family["slots"] = max(2, r.drawn.Slots*(8+round%4)/10)
	ceilings["try-limit"] = r.drawn.Definition.Fleet.MaxAttempts - round%2
	if round%2 == 1 {
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": "passing", "slo-s": 1, "deadline-s": 2, "points": 1})
	}
	return s
}

// reloadAll changes and reloads the configuration of every courier at each interval Reload, until finished is closed.
func (r *run) reloadAll(finished <-chan struct{}) {
	every := time.NewTicker(r.Reload)
	defer every.Stop()
	for {
		select {
		case <-finished:
			return
		case <-every.C:
		}
		r.mu.Lock()
		r.reloads++
		r.mu.Unlock()
		for _, c := range r.couriers {
			if err := r.configure(c); err != nil {
				r.Log.Warn("configuration not written", "error", err)
			}
			if c.Up() {
				c.Signal(syscall.SIGHUP)
			}
		}
	}
}

func (r *run) recordCrash(no int, why string) { r.ledger.CourierCrashed(r.world.Clock.Now(), no, why) }

// killAll kills all couriers concurrently, since the exit of each takes some time.
func (r *run) killAll() {
	var wg sync.WaitGroup
	for i, c := range r.couriers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Signal(syscall.SIGCONT)
			c.Kill()
			r.pools[i].Close()
		}()
	}
	wg.Wait()
}

// applyAct carries out a scheduled event of a courier and records it in the ledger.
func (r *run) applyAct(a scenario.Event) {
	now := r.world.Clock.Now()
	if r.OnAct != nil {
		r.OnAct(now, a)
	}
	c := r.couriers[a.Courier]
	switch a.Kind {
	case scenario.CourierKilled:
		if c.Up() {
			r.ledger.CourierDown(now, a.Courier, false, false)
			r.ledger.CourierKilled(now, a.Courier)
		}
		c.Kill()
	case scenario.CourierStopRequested:
		r.ledger.CourierDown(now, a.Courier, false, false)
		c.Signal(syscall.SIGTERM)
	case scenario.CourierStarted:
		err := r.configure(c)
		if err == nil {
			err = c.Start(r.ReadyTimeout)
		}
		if err != nil {
			r.recordCrash(a.Courier, err.Error())
		}
		r.mu.Lock()
		r.restarts++
		r.mu.Unlock()
		r.ledger.CourierUp(r.world.Clock.Now(), a.Courier)
	case scenario.CourierPaused:
		c.Signal(syscall.SIGSTOP)
		r.ledger.CourierPaused(now, a.Courier, now+a.Duration+resumeAllowance)
		r.world.Clock.After(now+a.Duration, func() { c.Signal(syscall.SIGCONT) })
	}
}

// resumeAllowance is the time granted to a process to respond again after a pause.
const resumeAllowance = dispatch.Micros(200 * 1000)

// play submits the messages of the scenario and waits until they have ended.
func (r *run) play(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			close(r.stop)
		case <-finished:
		}
	}()
	defer close(finished)
	if r.Reload > 0 {
		go r.reloadAll(finished)
	}
	all := r.drawn.Arrivals
	load.Run(r.world.Clock.Start, len(all), func(i int) time.Duration { return time.Duration(all[i].At) * time.Microsecond },
		func(i int) { r.startClient(i) }, r.late, r.stop)
	// Between the rejection notice for a message and its next submission, the message counts neither as open nor as pending for a
	// moment. So the run ends only after three consecutive checks without an open message or a pending submission.
	for quietChecks := 0; r.world.Clock.Now() < r.drawn.EndsAt+300*1000 && quietChecks < 3; {
		r.mu.Lock()
		pending := r.pending
		r.mu.Unlock()
		if quietChecks++; pending > 0 || r.ledger.OpenMessages() > 0 {
			quietChecks = 0
		}
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
