package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"pineport/admin"
	"pineport/clock"
	"pineport/config"
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/logging"
	"pineport/membership/gossip"
	"pineport/server"
	"pineport/snapshot"
	"pineport/spool"
	"pineport/transport"
)

// grace is how long the courier goes on after SIGTERM: SIGKILL comes no sooner than 3.7 s after it.
const shutdownGrace = 3400 * time.Millisecond

// lastLines is how long the end of the process waits for a reader of its log.
const logFlushTimeout = 50 * time.Millisecond

// run is the courier, until it is notified to end.
func run(sources config.Sources, out io.Writer) error {
	return runWithClock(clock.System, sources, out)
}

// runBy is run with the clocks that the courier's time is taken from.
func runWithClock(clockSource clock.Source, sources config.Sources, out io.Writer) error {
	hangups := make(chan os.Signal, 1) // first of all, or a hangup would end the process; one more stands for many
	signal.Notify(hangups, syscall.SIGHUP)
	dep, err := config.LoadFrom(sources)
	if err != nil {
		return err
	}
	log, err := logging.New(out, logOptions(dep))
	if err != nil {
		return err
	}
	defer log.Close(logFlushTimeout)
	if dep.SocketFD > 0 { // before another process hands all over for nothing
		l, err := transport.ListenerFromFD(dep.SocketFD)
		if err != nil {
			return fmt.Errorf("socket_fd: %w", err)
		}
		l.Close()
	}
	var adminServer *admin.Server
	if dep.Ops != "" { // answers from the start: with no, until there is an event loop
		if adminServer, err = openAdminServer(dep, log); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		defer adminServer.Close()
	}
	logWarnings(log.Logger, dep)
	applyLimits(dep)
	p := &process{clockSource: clockSource, sources: sources, dep: dep, log: log, adminServer: adminServer, stop: make(chan struct{}), reloads: make(chan *config.Deployment)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(p.stop)
	}()
	go p.handleHangups(hangups)
	for {
		if err := p.serve(); !errors.Is(err, server.ErrReclaim) {
			return err
		}
	}
}

// openDesk listens for operators, as often as it takes where this machine is short of something.
func openAdminServer(dep *config.Deployment, log *logging.Log) (*admin.Server, error) {
	for {
		adminServer, err := admin.Open(dep.Ops, server.AdminSockets(dep)-2, log.With(logging.Component, "ops"))
		if !transport.IsTemporary(err) {
			return adminServer, err
		}
		log.Warn("not listening yet", "error", err)
		time.Sleep(openRetryInterval)
	}
}

// process is what lasts while one event loop follows another.
type process struct {
	sources     config.Sources
	dep         *config.Deployment
	log         *logging.Log
	adminServer *admin.Server // nil: none
	stop        chan struct{}
	reloads     chan *config.Deployment
	server      atomic.Pointer[server.Server]
	member      atomic.Pointer[gossip.Member] // of the fleet; nil: none
	clockSource clock.Source
	clock       atomic.Pointer[clock.Clock]
}

// hear reads the configuration anew at each hangup.
func (p *process) handleHangups(hangups <-chan os.Signal) {
	sources := p.sources
	sources.IsReload = true
	for range hangups {
		dep, err := config.LoadFrom(sources)
		if err != nil {
			p.log.Error("new configuration rejected", "error", err)
			if r := p.server.Load(); r != nil {
				r.CountFailedReload()
			}
			continue
		}
		logWarnings(p.log.Logger, dep)
		p.reloads <- dep
	}
}

// serve owns the state folder, once nobody else does, and runs an event loop on it.
func (p *process) serve() error {
	dep, log := p.dep, p.log
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-p.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	stateDir, inherited, predecessor, err := handoff.Acquire(ctx, dep.StateDir, dep.Name, log.With(logging.Component, "handover"))
	for err != nil && isTransient(err) && ctx.Err() == nil { // found by the soak: a start while the folder failed ended the process
		log.Error("spool error", logging.Component, "spool", "error", err)
		time.Sleep(openRetryInterval)
		stateDir, inherited, predecessor, err = handoff.Acquire(ctx, dep.StateDir, dep.Name, log.With(logging.Component, "handover"))
	}
	if ctx.Err() != nil {
		return nil // asked to exit before there was anything to do
	}
	if err != nil {
		return fmt.Errorf("RELAY_STATE: %w", err)
	}
	defer stateDir.Close()
	snapshot.RemoveTempFiles(dep.StateDir) // before the spool takes that room
	store, unfinished, faults, err := p.openSpool(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	for _, fault := range faults {
		log.With(logging.Component, "spool").Warn("spool error", "error", fault)
	}
	clk := p.openClock(ctx, unfinished, inherited)
	srv, err := server.New(dep, store, unfinished, inherited, clk, log.With(logging.Component, "routing"))
	if err != nil {
		return err
	}
	p.attach(srv, inherited)
	if predecessor != nil {
		srv.Predecessor(predecessor)
	}
	defer p.startMembership(ctx, srv, inherited)()
	srv.Successors(stateDir.Release)
	if err := stateDir.Serve(srv.SuccessorArrived); err != nil {
		log.Warn("handoff unavailable while this process runs", "error", err)
	}
	return srv.Run(p.stop, p.reloads, shutdownGrace)
}

// anchorRetry is how often it is tried to store the clock's anchor, where that fails.
const anchorRetryInterval = time.Second

// openClock returns the time of the courier: that of the processes before this one, going on. Failure: each process took its time from
// the wall clock, and one that had been stepped in between moved all deadlines, windows and waits in the folder.
func (p *process) openClock(ctx context.Context, unfinished []*spool.Message, inherited *handoff.State) *clock.Clock {
	dir, log := p.dep.StateDir, p.log.With(logging.Component, "routing")
	readings := p.clockSource()
	if inherited != nil {
		readings.Wall = int64(inherited.Snapshot.TakenAt) // a moment ago, by the clock of whoever handed over
	}
	clk, err := clock.Open(dir, readings, latestTime(dir, p.dep.Name, unfinished))
	if err != nil {
		log.Warn("clock anchor not used", "file", clock.FileName, "error", err)
	}
	p.clock.Store(clk)
	go storeAnchor(ctx, clk, log)
	return clk
}

// storeAnchor stores the anchor of a clock, as often as it takes.
func storeAnchor(ctx context.Context, clk *clock.Clock, log *slog.Logger) {
	for {
		err := clk.Store()
		if err == nil {
			return
		}
		log.Warn("clock anchor not stored", "file", clock.FileName, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(anchorRetryInterval):
		}
	}
}

// latestTime returns the latest time that is known of earlier processes: no later one begins before it.
func latestTime(dir, courier string, unfinished []*spool.Message) (latest int64) {
	if state, err := snapshot.Read(dir, courier, 0, snapshot.MaxSize); err == nil {
		latest = max(latest, int64(state.Snapshot.TakenAt))
	}
	for _, message := range unfinished {
		for _, attempt := range message.Attempts {
			latest = max(latest, attempt.SentAt)
		}
	}
	return latest
}

// openRetry is how often it is tried to open the spool, where the folder fails.
const openRetryInterval = 100 * time.Millisecond

// isFailing reports whether the folder, or this machine, fails for a while, rather than being set up wrongly.
func isTransient(err error) bool {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return transport.IsTemporary(err)
}

// openSpool opens the spool, as often as it takes: what was taken on is still owed, and a process that ends helps nobody. A folder that is not
// there is another matter, which the configuration's check has reported.
func (p *process) openSpool(ctx context.Context) (store *spool.Spool, unfinished []*spool.Message, faults []error, err error) {
	for {
		store, unfinished, faults, err = spool.Open(p.dep.StateDir, server.SpoolLimit(p.dep))
		if err == nil {
			return store, unfinished, faults, nil
		}
		p.log.With(logging.Component, "spool").Error("spool error", "error", err)
		select {
		case <-ctx.Done():
			return nil, nil, nil, nil
		case <-time.After(openRetryInterval):
		}
	}
}

// attach joins a new event loop with the parts of the process that outlast it; given is what a predecessor handed over, or nil.
func (p *process) attach(srv *server.Server, inherited *handoff.State) {
	dep, log := p.dep, p.log
	previous := p.server.Swap(srv)
	if previous != nil {
		srv.CountFrom(previous)
	}
	if p.adminServer != nil {
		p.adminServer.SetCourier(srv)
	}
	if dep.SnapshotInterval > 0 {
		snapshotLog := log.With(logging.Component, "learned")
		_, limit := snapshot.Reserve(int64(dep.DiskMB * 1e6))
		srv.StoreSnapshots(snapshot.NewWriter(dep.StateDir, dep.Name, limit, snapshotLog), dep.SnapshotInterval)
		if inherited == nil {
			srv.RestoreSnapshot(p.learnedState(previous, limit, snapshotLog))
		}
	}
	srv.OnReload(func(next *config.Deployment) {
		p.dep = next
		applyLimits(next)
		if member := p.member.Load(); member != nil {
			member.FleetResized(next.Dispatch.Couriers)
		}
		if err := log.SetLevels(next.Log.Level, next.Log.Levels); err != nil {
			log.Warn("log levels unchanged", "error", err)
		}
	})
}

// known is what was learned by an earlier process, or by this one before it handed all over: the younger, with all waits.
func (p *process) learnedState(previous *server.Server, limit int, log *slog.Logger) *dispatch.Snapshot {
	stored := readSnapshot(p.dep, p.clock.Load(), limit, log)
	if previous == nil {
		return stored
	}
	own := previous.SnapshotAtHandoff()
	if stored == nil || stored.TakenAt < own.TakenAt {
		return own
	}
	return server.MergeRetryAfter(stored, own)
}

func logOptions(dep *config.Deployment) logging.Options {
	return logging.Options{Level: dep.Log.Level, Levels: dep.Log.Levels, JSON: dep.Log.JSON, RepeatWindow: dep.Log.RepeatWindow, QueueSize: dep.Log.QueueSize}
}

// limits sets what the process itself must keep.
func applyLimits(dep *config.Deployment) {
	runtime.GOMAXPROCS(max(1, int(dep.Cores+0.5)))
	debug.SetMemoryLimit(int64(dep.MemoryMB) << 20 * 6 / 10) // the collector works harder before the limit kills
}

// warn names the keys that nobody reads.
func logWarnings(log *slog.Logger, dep *config.Deployment) {
	for _, w := range dep.Document.Warnings {
		log.Warn("questionable key", "key", w.Key, "line", w.Line, "hint", w.Problem)
	}
}

// earlier is what an earlier process learned; nil, and a line in the log, where it cannot be used.
func readSnapshot(dep *config.Deployment, clk *clock.Clock, limit int, log *slog.Logger) *dispatch.Snapshot {
	now := dispatch.Micros(clk.Now())
	state, err := snapshot.Read(dep.StateDir, dep.Name, now, limit)
	switch {
	case errors.Is(err, snapshot.ErrNotExist):
		return nil
	case err != nil:
		log.Warn("snapshot not used", "file", snapshot.FileName, "error", err)
		return nil
	}
	age := time.Duration(now-state.Snapshot.TakenAt) * time.Microsecond
	log.Info("snapshot restored", "groups", len(state.Snapshot.Groups), "endpoints", len(state.Snapshot.Endpoints), "age", age.Round(time.Millisecond))
	return &state.Snapshot
}
