// Command pineport runs one courier on sockets; docs/ and README.md say how it is told what it needs.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"pineport/config"
	"pineport/routing"
	"pineport/spool"
)

// grace is how long the courier goes on after SIGTERM: SIGKILL comes no sooner than 3.7 s after it.
const grace = 3400 * time.Millisecond

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "pineport:", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	hangups := make(chan os.Signal, 1) // first of all, or a hangup would end the process; one more stands for many
	signal.Notify(hangups, syscall.SIGHUP)
	dep, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(dep.Cores+0.5)))
	debug.SetMemoryLimit(int64(dep.MemoryMB) << 20 * 6 / 10) // the collector works harder before the limit kills
	kept, unfinished, faults, err := spool.Open(dep.Spool, int64(dep.SpoolMB*1e6))
	if err != nil {
		return fmt.Errorf("RELAY_STATE: %w", err)
	}
	for _, fault := range faults {
		log.Warn("spool", "fault", fault)
	}
	router, err := routing.New(dep, kept, unfinished, log)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	reloads := make(chan *config.Deployment)
	go func() {
		for range hangups {
			if next, err := config.Reload(os.Getenv); err != nil {
				log.Error("new configuration left out", "fault", err)
			} else {
				reloads <- next
			}
		}
	}()
	return router.Run(stop, reloads, grace)
}
