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

// logFlushTimeout bounds how long the exiting process waits until its last log lines are written.
const logFlushTimeout = 50 * time.Millisecond

// run runs the courier until SIGTERM or SIGINT.
func run(sources config.Sources, out io.Writer) error { return runUsing(clock.System, sources, out) }

// runUsing does what run does, but reads the clocks from clockSource, which tests replace.
func runUsing(clockSource clock.Source, sources config.Sources, out io.Writer) error {
	// SIGHUP is caught before anything else, as it would otherwise end the process. The channel holds
	// one signal: further SIGHUPs before it is handled need no reload of their own.
	hangups := make(chan os.Signal, 1)
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
	if dep.SocketFD > 0 { // checked here, so that no predecessor hands over to a process that cannot listen
		listener, err := transport.ListenerFromFD(dep.SocketFD)
		if err != nil {
			return fmt.Errorf("socket_fd: %w", err)
		}
		listener.Close()
	}
	var adminServer *admin.Server
	if dep.Ops != "" { // listens from the start, and answers 503 until an event loop runs
		if adminServer, err = openAdminServer(dep, log); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		defer adminServer.Close()
	}
	logWarnings(log.Logger, dep)
	applyLimits(dep)
	proc := &process{clockSource: clockSource, sources: sources, dep: dep, log: log, adminServer: adminServer, stop: server.NewStopRequest(), reloads: make(chan *config.Deployment)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		proc.stop.Make()
	}()
	go proc.handleHangups(hangups)
	for {
		if err := proc.serve(); !errors.Is(err, server.ErrSuccessorLost) {
			return err
		}
	}
}

// openAdminServer opens the admin server. It retries without limit while the error is temporary, such as a lack of file descriptors.
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

// process holds what outlives an event loop. A process starts a second event loop if its successor exits.
type process struct {
	sources     config.Sources
	dep         *config.Deployment
	log         *logging.Log
	adminServer *admin.Server // nil: no admin address is configured
	stop        *server.StopRequest
	reloads     chan *config.Deployment
	server      atomic.Pointer[server.Server]
	member      atomic.Pointer[gossip.Member] // nil while this process is not a member of the fleet
	clockSource clock.Source
	clock       atomic.Pointer[clock.Clock]
}

// handleHangups reloads the configuration on each SIGHUP.
func (p *process) handleHangups(hangups <-chan os.Signal) {
	sources := p.sources
	sources.IsReload = true
	for range hangups {
		dep, err := config.LoadFrom(sources)
		if err != nil {
			p.log.Error("new configuration rejected", "error", err)
			if srv := p.server.Load(); srv != nil {
				srv.CountFailedReload()
			}
			continue
		}
		logWarnings(p.log.Logger, dep)
		p.reloads <- dep
	}
}

// serve waits until this process owns the state directory and then runs an event loop.
func (p *process) serve() error {
	dep, log := p.dep, p.log
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-p.stop.Made():
			cancel()
		case <-ctx.Done():
		}
	}()
	stateDir, inherited, predecessor, err := handoff.Acquire(ctx, dep.StateDir, dep.Name, log.With(logging.Component, "handover"))
	// The state directory could not be acquired; this is also logged as a spool error. Incident, found in a soak test: a process that started
	// while writes to the state directory failed exited at once.
	for err != nil && isTransient(err) && ctx.Err() == nil {
		log.Error("spool error", logging.Component, "spool", "error", err)
		time.Sleep(openRetryInterval)
		stateDir, inherited, predecessor, err = handoff.Acquire(ctx, dep.StateDir, dep.Name, log.With(logging.Component, "handover"))
	}
	if ctx.Err() != nil {
		return nil // SIGTERM or SIGINT came before an event loop ran
	}
	if err != nil {
		return fmt.Errorf("RELAY_STATE: %w", err)
	}
	defer stateDir.Close()
	snapshot.RemoveTempFiles(dep.StateDir) // before the spool uses that disk space
	store, unfinished, faults, err := p.openSpool(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	for _, fault := range faults { // damaged records and files, which Open has skipped
		log.With(logging.Component, "spool").Warn("spool error", "error", fault)
	}
	clk := p.openClock(ctx, unfinished, inherited)
	srv, err := server.New(dep, store, unfinished, inherited, clk, log.With(logging.Component, "routing"))
	if err != nil {
		return err
	}
	p.attach(srv, inherited)
	if predecessor != nil {
		srv.ConnectPredecessor(predecessor)
	}
	defer p.startMembership(ctx, srv, inherited)()
	srv.SetFolderRelease(stateDir.Release)
	if err := stateDir.Serve(srv.SuccessorReady); err != nil {
		log.Warn("handoff unavailable while this process runs", "error", err)
	}
	return srv.Run(p.stop, p.reloads, server.ShutdownWithinKillDelay())
}

// anchorRetryInterval is the interval between attempts to store the clock anchor while storing it fails.
const anchorRetryInterval = time.Second

// openClock returns the courier's clock, which continues from the clock of the previous process. Incident: each process used to start from
// the wall clock; if the wall clock was stepped between two processes, all deadlines, deduplication windows and Retry-After times in the
// state directory were wrong by the step.
func (p *process) openClock(ctx context.Context, unfinished []*spool.Message, inherited *handoff.State) *clock.Clock {
	dir, log := p.dep.StateDir, p.log.With(logging.Component, "routing")
	readings := p.clockSource()
	if inherited != nil {
		readings.Wall = int64(inherited.Snapshot.TakenAt) // the time of the handoff, by the predecessor's clock
	}
	clk, err := clock.Open(dir, readings, latestTime(dir, p.dep.Name, unfinished))
	if err != nil {
		log.Warn("clock anchor not used", "file", clock.FileName, "error", err)
	}
	p.clock.Store(clk)
	go storeAnchor(ctx, clk, log)
	return clk
}

// storeAnchor stores the clock anchor. It retries until that succeeds or ctx is done.
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

// latestTime returns the latest time in the stored snapshot and the attempts of unfinished messages. The clock of this process must not
// start before it.
func latestTime(dir, courierName string, unfinished []*spool.Message) (latest int64) {
	if state, err := snapshot.Read(dir, courierName, 0, snapshot.MaxSize); err == nil {
		latest = max(latest, int64(state.Snapshot.TakenAt))
	}
	for _, message := range unfinished {
		for _, attempt := range message.Attempts {
			latest = max(latest, attempt.SentAt)
		}
	}
	return latest
}

// openRetryInterval is the interval between attempts to open the admin server, the state directory or the spool.
const openRetryInterval = 100 * time.Millisecond

// isTransient reports whether err is a failure of the disk or the machine that can pass, as opposed to a wrong configuration.
func isTransient(err error) bool {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return transport.IsTemporary(err)
}

// openSpool opens the spool. It retries on every error until ctx is done, because accepted messages must still be delivered and exiting does not
// help. If ctx is done, all results are nil. A missing state directory is reported earlier, when the configuration is checked.
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

// attach connects a new event loop to the parts of the process that outlive it. inherited is the state that a predecessor handed over, or nil.
func (p *process) attach(srv *server.Server, inherited *handoff.State) {
	dep, log := p.dep, p.log
	previous := p.server.Swap(srv)
	if previous != nil {
		srv.CopyCounters(previous)
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
			member.SetFleetSize(next.Dispatch.Couriers)
		}
		if err := log.SetLevels(next.Log.Level, next.Log.Levels); err != nil {
			log.Warn("log levels unchanged", "error", err)
		}
	})
}

// learnedState returns the newer of the stored snapshot and the state that this process had learned before it handed over. If the
// stored snapshot is newer, the Retry-After times of this process are merged into it. previous is the event loop that handed over, or nil.
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

// applyLimits sets the Go runtime's CPU and memory limits from the configuration.
func applyLimits(dep *config.Deployment) {
	runtime.GOMAXPROCS(max(1, int(dep.Cores+0.5)))
	debug.SetMemoryLimit(int64(dep.MemoryMB) << 20 * 6 / 10) // soft limit of 60 %: collect more often before the kernel kills the process
}

// logWarnings logs the warnings of the configuration, such as unknown keys.
func logWarnings(log *slog.Logger, dep *config.Deployment) {
	for _, warning := range dep.Document.Warnings {
		log.Warn("questionable key", "key", warning.Key, "line", warning.Line, "hint", warning.Problem)
	}
}

// readSnapshot returns the stored snapshot of the learned state. It returns nil if there is none, and logs a warning if it cannot be used.
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
