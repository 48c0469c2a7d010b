package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pineport/clock"
	"pineport/dispatch"
	"pineport/snapshot"
)

func stateCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "Show the stored snapshot of a courier's learned state"}
	var output string
	show := &cobra.Command{
		Use:     "show FILE",
		Short:   "Print a snapshot of the learned state; FILE is the snapshot or the directory that contains it",
		Example: "  pineport state show /var/lib/pineport\n  pineport state show learned.lore --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			state, size, err := readState(args[0])
			if err != nil {
				return err
			}
			switch output {
			case "json":
				return printJSON(cmd.OutOrStdout(), state)
			case "table":
				return showState(cmd.OutOrStdout(), dirOf(args[0]), state, size)
			}
			return fmt.Errorf("--output: want table or json, not %q", output)
		},
	}
	show.Flags().StringVar(&output, "output", "table", "table or json")
	cmd.AddCommand(show, &cobra.Command{
		Use:   "verify FILE",
		Short: "Check whether a snapshot can be used; if not, exit code 1 and the reason",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			state, size, err := readState(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "sound: courier %s, %d groups, %d endpoints, %d bytes, %s old\n", state.Courier,
					len(state.Snapshot.Groups), len(state.Snapshot.Endpoints), size, age(dirOf(args[0]), state.Snapshot.TakenAt))
			}
			return err
		},
	})
	return cmd
}

func readState(path string) (state snapshot.State, size int, err error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, snapshot.FileName)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return state, 0, err
	}
	if state, err = snapshot.Decode(data); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return state, len(data), err
}

// dirOf returns path if it is a directory, and otherwise the directory that contains it.
func dirOf(path string) string {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return path
	}
	return filepath.Dir(path)
}

// age returns the time since at, a time of the courier's clock. The clock is reconstructed from the anchor in dir.
func age(dir string, at dispatch.Micros) time.Duration {
	return (time.Duration(clock.Peek(dir)-int64(at)) * time.Microsecond).Round(time.Millisecond)
}

func showState(out io.Writer, dir string, state snapshot.State, size int) error {
	learned := state.Snapshot
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "courier %s, kept %s (%s ago), %d bytes\n\n", state.Courier, time.UnixMicro(int64(learned.TakenAt)).Format(time.RFC3339Nano), age(dir, learned.TakenAt), size)
	fmt.Fprintln(table, "DESTINATION\tENDPOINT\tHEALTH\tBREAKERS\tINTERVAL\tRETRY AFTER\tANSWER TIME\tDELIVERED\tLIMIT/S")
	for _, group := range learned.Groups {
		health := "healthy"
		if group.Outage {
			health = "outage"
		} else if group.WarmingUp {
			health = "warming up"
		}
		breakers := ""
		for _, breaker := range group.Breakers {
			switch {
			case breaker.OpenUntil > 0:
				breakers += "open "
			case breaker.Failures > 0:
				breakers += fmt.Sprintf("%d-failed ", breaker.Failures)
			default:
				breakers += "closed "
			}
		}
		mean := "-"
		if group.AnswerTimes.Weight > 0.01 { // otherwise all answers are too long ago for a mean
			mean = formatDuration(dispatch.Micros(group.AnswerTimes.Total / group.AnswerTimes.Weight))
		}
		limit := "-"
		if group.ReportedRate > 0 {
			limit = fmt.Sprintf("%.2f", group.ReportedRate)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%s\n", group.Destination, cmp.Or(string(group.Endpoint), "(all)"), health, breakers, formatDuration(group.Interval),
			formatDuration(max(0, group.RetryAfterUntil-learned.TakenAt)), mean, group.Deliveries.Weight, limit)
	}
	for _, endpoint := range learned.Endpoints { // FailureRuns[0] is over all classes
		fmt.Fprintf(table, "\nendpoint %s: %d failures in a row\n", endpoint.Endpoint, endpoint.FailureRuns[0].Failures)
	}
	return table.Flush()
}

func formatDuration(t dispatch.Micros) string {
	return (time.Duration(t) * time.Microsecond).Round(time.Millisecond).String()
}
