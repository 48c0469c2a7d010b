// Package realtime plays a day on loopback sockets: the world's endpoints and directories, open-loop clients, and real courier
// processes that are killed, asked to end, restarted and stopped as the day has it.
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

// Options are how a day is played.
type Options struct {
	Binary string // the courier
	Dir    string // for the couriers' folders; empty: one that is removed afterwards
	Log    *slog.Logger
	Ready  time.Duration // for a courier to answer PING
	// Watch is notified of what happens by itself, as it happens.
	Watch func(at dispatch.Micros, a scenario.Event)
	// Reload is how often each courier's configuration is written anew, with other settings, and read on SIGHUP; 0: never.
	Reload time.Duration
	// ExtraConfiguration is what a courier is configured with besides; it goes over the rest, key by key.
	ExtraConfiguration func(c *process.Courier) (map[string]any, error)
	// OnStart is notified, once, when the day begins; what it returns is called when the last message has its answer.
	OnStart func(f *Session) (end func())
	// Limits of a courier, in the platform's form; nil: 1 core, 192 MB, 1,024 descriptors, 3 MB of disk.
	Limits map[string]any
}

// Session is a day under way, for who adds troubles of its own.
type Session struct{ run *run }

// Couriers are those of the day, by number.
func (f *Session) Couriers() []*process.Courier { return f.run.couriers }

// Elapsed is how long the day has been on.
func (f *Session) Elapsed() time.Duration { return time.Since(f.run.world.Clock.Start) }

// ApplyAct carries out a trouble of a courier, and books it.
func (f *Session) ApplyAct(a scenario.Event) { f.run.act(a) }

// Cost is what a run took of the machine.
type Cost struct {
	Wall        float64 `json:"wall_s"`
	CourierCPU  float64 `json:"courier_cpu_s"` // all couriers
	LabCPU      float64 `json:"lab_cpu_s"`
	MaxRSS      int64   `json:"courier_max_rss_kib"` // the largest of one courier
	Connections int     `json:"connections_to_endpoints"`
	LateP99     float64 `json:"late_p99_s"`
	LateMax     float64 `json:"late_max_s"`
	Restarts    int     `json:"restarts"`
	Reloads     int     `json:"reloads"`
}

// run is one day being played.
type run struct {
	Options
	day      *scenario.Instance
	books    *invariants.Ledger
	world    *environment.World
	couriers []*process.Courier
	pools    []*load.Pool
	late     *load.Lateness
	stop     chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	clients  map[dispatch.MessageID]*client // by each id that it submitted
	pending  int                            // submissions under way or to come
	restarts int
	reloads  int
	fault    string
	body     []byte
}

// Play plays a day, and returns its judgement. The run ends when all messages have their answer, at the day's end at the
// latest, or when ctx is done.
func Play(ctx context.Context, w *scenario.Instance, o Options) (*invariants.Verdict, Cost, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Ready == 0 {
		o.Ready = 10 * time.Second
	}
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "pineport-testbed-")
		if err != nil {
			return nil, Cost{}, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	r := &run{Options: o, day: w, books: invariants.New(setup(w)), late: load.NewLateness(), stop: make(chan struct{}),
		rng: rand.New(rand.NewPCG(uint64(w.Seed), 55)), clients: map[dispatch.MessageID]*client{}, body: []byte("record of a laboratory day")}
	var err error
	if r.world, err = environment.Open(w, o.Log); err != nil {
		return nil, Cost{}, err
	}
	defer r.world.Close()
	r.world.OnNotice = r.noticed
	defer r.killAll()
	if err := r.startAll(); err != nil {
		return nil, Cost{}, err
	}
	began, cpu := time.Now(), ownCPU()
	r.world.Start(r.books, r.act)
	ended := func() {}
	if o.OnStart != nil {
		ended = o.OnStart(&Session{r})
	}
	r.play(ctx)
	ended()
	end := r.world.Clock.Now()
	v := r.books.Finish(end)
	cost := Cost{Wall: time.Since(began).Seconds(), LabCPU: (ownCPU() - cpu).Seconds(), Connections: r.world.MaxConnections(), Restarts: r.restarts}
	cost.Reloads = r.reloads
	p99, most := r.late.Quantiles()
	cost.LateP99, cost.LateMax = p99.Seconds(), most.Seconds()
	r.killAll()
	for _, c := range r.couriers {
		used, rss := c.TotalUsage()
		cost.CourierCPU += used.Seconds()
		cost.MaxRSS = max(cost.MaxRSS, rss)
	}
	v.InvalidReason = r.late.Behind()
	switch {
	case ctx.Err() != nil:
		v.InvalidReason = "it was broken off"
	case r.fault != "":
		v.InvalidReason = r.fault
	}
	return v, cost, nil
}

// setup grants what clocks of several processes need. The figures are those of the platform's protocol.
func setup(w *scenario.Instance) invariants.Setup {
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
	n := r.day.Definition.Fleet.Couriers
	faults := make([]error, n)
	for i := range n {
		c, err := process.New(i, r.Binary, r.Dir, r.crashed)
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
			faults[i] = c.Start(r.Ready)
		}()
	}
	wg.Wait()
	return errors.Join(faults...)
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
		lay(all, extra)
	}
	return c.Configure(all)
}

// lay puts one nested configuration over another.
func lay(over, with map[string]any) {
	for key, v := range with {
		if inner, ok := v.(map[string]any); ok {
			if there, ok := over[key].(map[string]any); ok {
				lay(there, inner)
				continue
			}
		}
		over[key] = v
	}
}

// settings of a courier: those of the day, and with each reload some that differ from the last ones, so that messages are
// held while slots, hold, attempts and classes change under them. A class that no client uses comes and goes.
func (r *run) settings(no int) map[string]any {
	s := r.day.Settings(no)
	r.mu.Lock()
	round := r.reloads
	r.mu.Unlock()
	if round == 0 {
		return s
	}
	ceilings, family := s["ceilings"].(map[string]any), s["family-info"].(map[string]any)
	ceilings["open-cap"] = r.day.QueueLimit * (8 + round%5) / 10
	family["slots"] = max(2, r.day.Slots*(8+round%4)/10)
	ceilings["try-limit"] = r.day.Definition.Fleet.MaxAttempts - round%2
	if round%2 == 1 {
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": "passing", "slo-s": 1, "deadline-s": 2, "points": 1})
	}
	return s
}

// reloadAll writes every courier's configuration anew, again and again, and has it read.
func (r *run) reloadAll(stop <-chan struct{}) {
	every := time.NewTicker(r.Reload)
	defer every.Stop()
	for {
		select {
		case <-stop:
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

func (r *run) crashed(no int, why string) { r.books.CourierCrashed(r.world.Clock.Now(), no, why) }

// killAll ends the couriers: side by side, as each takes a moment.
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

// act carries out what happens to couriers by itself.
func (r *run) act(a scenario.Event) {
	now := r.world.Clock.Now()
	if r.Watch != nil {
		r.Watch(now, a)
	}
	c := r.couriers[a.Courier]
	switch a.Kind {
	case scenario.CourierKilled:
		if c.Up() {
			r.books.CourierDown(now, a.Courier, false, false)
			r.books.CourierKilled(now, a.Courier)
		}
		c.Kill()
	case scenario.CourierStopRequested:
		r.books.CourierDown(now, a.Courier, false, false)
		c.Signal(syscall.SIGTERM)
	case scenario.CourierStarted:
		err := r.configure(c)
		if err == nil {
			err = c.Start(r.Ready)
		}
		if err != nil {
			r.crashed(a.Courier, err.Error())
		}
		r.mu.Lock()
		r.restarts++
		r.mu.Unlock()
		r.books.CourierUp(r.world.Clock.Now(), a.Courier)
	case scenario.CourierPaused:
		c.Signal(syscall.SIGSTOP)
		r.books.CourierPaused(now, a.Courier, now+a.Duration+standsLonger)
		r.world.Clock.After(now+a.Duration, func() { c.Signal(syscall.SIGCONT) })
	}
}

// standsLonger is what a process needs to come to itself after it stood still.
const standsLonger = dispatch.Micros(200 * 1000)

// play submits the day's messages and waits for their ends.
func (r *run) play(ctx context.Context) {
	watched := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			close(r.stop)
		case <-watched:
		}
	}()
	defer close(watched)
	if r.Reload > 0 {
		go r.reloadAll(watched)
	}
	all := r.day.Arrivals
	load.Run(r.world.Clock.Start, len(all), func(i int) time.Duration { return time.Duration(all[i].At) * time.Microsecond },
		func(i int) { r.offer(i) }, r.late, r.stop)
	// Between a notice and the submission that it leads to nothing is open for a moment: only a lasting calm is the end.
	for calm := 0; r.world.Clock.Now() < r.day.EndsAt+300*1000 && calm < 3; {
		r.mu.Lock()
		pending := r.pending
		r.mu.Unlock()
		if calm++; pending > 0 || r.books.OpenMessages() > 0 {
			calm = 0
		}
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
