// Command pineport-testbed runs test scenarios with faults against the couriers' decision logic, in virtual time or on loopback
// sockets. It checks each run against the six invariants (see package testbed/invariants), and measures the value of the delivered
// messages: the points of their classes, reduced for late deliveries. See docs/testbed.md for usage.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitRunFailed = 1 // an invariant is violated, a run is invalid, or a scale experiment failed
	exitError     = 2 // any other error, such as an invalid command line or file
)

// errRunFailed makes the program exit with exitRunFailed and no further message: the command has printed its results already.
var errRunFailed = errors.New("run failed, is invalid, or violates an invariant")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errRunFailed):
		os.Exit(exitRunFailed)
	default:
		fmt.Fprintln(os.Stderr, "pineport-testbed:", err)
		os.Exit(exitError)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "pineport-testbed",
		Short: "Run scenarios with faults against the courier's decision logic, and check the results",
		Long: `pineport-testbed runs scenarios with faults against the courier's decision logic, in virtual time or on loopback sockets. It checks each
run against the six invariants, and measures the value of the delivered messages: the points of their classes, reduced for late deliveries.

Exit codes: 0 success; 1 an invariant is violated, a run is invalid, or a scale experiment failed; 2 any other error.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(demoCmd(), playCmd(), serveCmd(), sendCmd(), reportCmd(), checkCmd(), compareCmd(), daysCmd(), formatCmd(), fleetCmd(), scaleCmd(), capacityCmd(), soakCmd())
	return cmd
}
