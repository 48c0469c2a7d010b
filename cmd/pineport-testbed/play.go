package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pineport/testbed/experiment"
	"pineport/testbed/invariants"
	"pineport/testbed/realtime"
	"pineport/testbed/report"
	"pineport/testbed/scenario"
)

func daysCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "days",
		Short: "List the days that come with the laboratory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			for _, name := range scenario.BuiltIn() {
				d, err := scenario.Find(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%s\n", name, d.About)
			}
			return w.Flush()
		},
	}
}

func formatCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "format",
		Short: "Write the page on the format of a day's file",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return scenario.WriteFormat(cmd.OutOrStdout()) },
	}
}

type playFlags struct {
	virtual bool
	seed    int64
	variant string
	courier string
	out     string
	output  string
	dir     string
	reload  time.Duration
}

func playCmd() *cobra.Command {
	var f playFlags
	cmd := &cobra.Command{
		Use:   "play DAY",
		Short: "Play one day and print its judgement",
		Example: `  pineport-testbed play overload --virtual --seed 3
  pineport-testbed play my-day.toml --courier bin/pineport --out results/`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return play(cmd, args[0], f) },
	}
	cmd.Flags().BoolVar(&f.virtual, "virtual", false, "in virtual time, against the decisions alone")
	cmd.Flags().Int64Var(&f.seed, "seed", 0, "seed of the day (0: the file's)")
	cmd.Flags().StringVar(&f.variant, "variant", "module", "virtual time: module, baseline:NAME or wire:COMMAND")
	cmd.Flags().StringVar(&f.courier, "courier", "", "on sockets: the courier's binary (empty: beside this program, or built anew)")
	cmd.Flags().DurationVar(&f.reload, "reload", 0, "on sockets: write other settings and have them read, so often (0: never)")
	cmd.Flags().StringVar(&f.dir, "dir", "", "on sockets: keep the couriers' folders here, with their logs")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for verdict, series and charts")
	cmd.Flags().StringVar(&f.output, "output", "table", "table or json")
	return cmd
}

func play(cmd *cobra.Command, name string, f playFlags) error {
	d, err := scenario.Find(name)
	if err != nil {
		return err
	}
	seed := f.seed
	if seed == 0 {
		seed = d.Seed
	}
	var cell experiment.Cell
	if f.virtual {
		v, err := experiment.Parse(f.variant)
		if err != nil {
			return err
		}
		if cell, err = experiment.One(d, seed, v); err != nil {
			return err
		}
	} else if cell, err = playLive(cmd, d, seed, f); err != nil {
		return err
	}
	if f.out != "" {
		if err := writeCell(f.out, cell); err != nil {
			return err
		}
		if _, err := report.Day(f.out, scenario.Draw(d, seed), cell.Verdict); err != nil {
			return err
		}
	}
	if f.output == "json" {
		text, err := json.MarshalIndent(cell, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(text))
	} else {
		printCell(cmd.OutOrStdout(), cell)
	}
	if !cell.Verdict.OK() || cell.Verdict.InvalidReason != "" {
		return errBroken
	}
	return nil
}

// playLive plays on sockets.
func playLive(cmd *cobra.Command, d *scenario.Definition, seed int64, f playFlags) (experiment.Cell, error) {
	binary, clean, err := courierBinary(f.courier)
	if err != nil {
		return experiment.Cell{}, err
	}
	defer clean()
	v, cost, err := realtime.Play(cmd.Context(), scenario.Draw(d, seed), realtime.Options{Binary: binary, Reload: f.reload, Dir: f.dir})
	return experiment.Cell{Day: d.Name, Seed: seed, Variant: "sockets", Verdict: v, Wall: cost.Wall, Live: &cost}, err
}

// courierBinary finds the courier: the one named, the one beside this program, or one built from the source around.
func courierBinary(named string) (path string, clean func(), err error) {
	clean = func() {}
	if named != "" {
		path, err = filepath.Abs(named)
		return path, clean, err
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "pineport")
		if _, err := os.Stat(beside); err == nil {
			return beside, clean, nil
		}
	}
	dir, err := os.MkdirTemp("", "pineport-testbed-bin-")
	if err != nil {
		return "", clean, err
	}
	clean = func() { os.RemoveAll(dir) }
	path = filepath.Join(dir, "pineport")
	if out, err := exec.Command("go", "build", "-o", path, "pineport/cmd/pineport").CombinedOutput(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf("no courier beside this program, and none could be built (name one with --courier): %w: %s", err, out)
	}
	return path, clean, nil
}

func writeCell(dir string, c experiment.Cell) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "verdict.json"), text, 0o644)
}

func printCell(out io.Writer, c experiment.Cell) {
	v, n := c.Verdict, c.Verdict.Counts
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "day\t%s, seed %d, %s\n", c.Day, c.Seed, c.Variant)
	fmt.Fprintf(w, "judgement\t%s\n", v.Short())
	fmt.Fprintf(w, "figure\t%.3f (service %.3f less costs %.3f)\n", v.Score, v.ServiceScore, v.Costs)
	fmt.Fprintf(w, "payoff\twhole day %.3f, worst 10 s %.3f (from %.0f s)\n", v.Overall, v.WorstWindow, v.WorstWindowAt)
	for _, l := range v.Latency {
		fmt.Fprintf(w, "workload %s\tpayoff %.3f; done %d; 50 %% within %.2f s, 90 %% %.2f s, 99 %% %.2f s, longest %.2f s\n",
			l.Class, v.ClassShares[l.Class], l.Count, l.P50, l.P90, l.P99, l.Max)
	}
	fmt.Fprintf(w, "records\toffered %d, taken %d, done %d, bounced %d, terminated %d, lost %d\n", n.Offered, n.Accepted, n.Delivered,
		n.Rejected, n.Failed, n.Lost)
	fmt.Fprintf(w, "trips\t%d: full %d, failures %d, timed out %d, unreachable %d, broken %d, withdrawn %d, void %d\n", n.Attempts,
		n.Throttled, n.Failures, n.TimedOut, n.Unreachable, n.Broken, n.Canceled, n.Unprocessed)
	fmt.Fprintf(w, "connections\t%d opened\n", n.Handshakes)
	if n.RouteOverloads > 0 {
		fmt.Fprintf(w, "returns\t%d pushed over, by couriers that knew of the outage or did not\n", n.RouteOverloads)
	}
	if c.Stats.Turns > 0 {
		fmt.Fprintf(w, "cost\t%d events, %d turns, %.2f s\n", c.Stats.Events, c.Stats.Turns, c.Wall)
	}
	if l := c.Live; l != nil {
		fmt.Fprintf(w, "cost\t%.1f s; processor: couriers %.2f s, laboratory %.2f s; largest courier %.1f MB; restarts %d, reloads %d\n", l.Wall,
			l.CourierCPU, l.LabCPU, float64(l.MaxRSS)/1024, l.Restarts, l.Reloads)
		fmt.Fprintf(w, "load tool\t1 in 100 records late by %.1f ms or more, one by %.1f ms\n", l.LateP99*1000, l.LateMax*1000)
	}
	w.Flush()
	printBreaches(out, v)
}

func printBreaches(out io.Writer, v *invariants.Verdict) {
	for _, b := range v.Breaches {
		fmt.Fprintf(out, "  %8.3f s  %s: %s\n", b.At, b.Rule, b.Text)
	}
}
