// Command pineport-testbed is the project's testbed: days with troubles, played in virtual time or on loopback sockets against
// the couriers' decisions, judged by the six rules and by value. docs/testbed.md says how to work with it.
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
	exitBroken = 1 // a rule broke, or a run does not count
	exitUsage  = 2 // the command line or a file is at fault
)

// errBroken ends the program with exitBroken after all has been said.
var errBroken = errors.New("a rule broke")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	default:
		fmt.Fprintln(os.Stderr, "pineport-testbed:", err)
		os.Exit(exitUsage)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "pineport-testbed",
		Short: "Play days with troubles against the courier's decisions, and judge them",
		Long: `pineport-testbed plays days with troubles against the courier's decisions, in virtual time or on loopback sockets, and judges
them by the six rules and by payoff.

Exit codes: 0 all well; 1 a rule broke, or a run does not count; 2 the command line or a file is at fault.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(demoCmd(), playCmd(), serveCmd(), sendCmd(), reportCmd(), checkCmd(), compareCmd(), daysCmd(), formatCmd(), fleetCmd(), scaleCmd(), capacityCmd(), soakCmd())
	return cmd
}
