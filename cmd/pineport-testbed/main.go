// Command pineport-testbed runs test scenarios with faults against the couriers' decision logic, in virtual time or on loopback
// sockets. It checks each run against the six invariants and measures the delivered value. See docs/testbed.md for usage.
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
	exitViolation = 1 // an invariant is violated, or a run is invalid
	exitUsage     = 2 // the command line or a file is invalid
)

// errViolation makes the program exit with exitViolation and no further message: the command has printed its results already.
var errViolation = errors.New("invariant violated")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errViolation):
		os.Exit(exitViolation)
	default:
		fmt.Fprintln(os.Stderr, "pineport-testbed:", err)
		os.Exit(exitUsage)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "pineport-testbed",
		Short: "Run scenarios with faults against the courier's decision logic, and check the results",
		Long: `pineport-testbed runs scenarios with faults against the courier's decision logic, in virtual time or on loopback sockets. It checks each
run against the six invariants and measures the delivered value.

Exit codes: 0 success; 1 an invariant is violated, or a run is invalid; 2 the command line or a file is invalid.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(demoCmd(), playCmd(), serveCmd(), sendCmd(), reportCmd(), checkCmd(), compareCmd(), daysCmd(), formatCmd(), fleetCmd(), scaleCmd(), capacityCmd(), soakCmd())
	return cmd
}
