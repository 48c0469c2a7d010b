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
		Short: "List the built-in scenarios",
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
		Short: "Print the documentation of the scenario file format",
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
		Short: "Run one scenario and print its verdict",
		Example: `  pineport-testbed play overload --virtual --seed 3
  pineport-testbed play my-day.toml --courier bin/pineport --out results/`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return play(cmd, args[0], f) },
	}
	cmd.Flags().BoolVar(&f.virtual, "virtual", false, "run in virtual time, with the decision logic only")
	cmd.Flags().Int64Var(&f.seed, "seed", 0, "seed of the scenario (0: from the scenario file)")
	cmd.Flags().StringVar(&f.variant, "variant", "module", "in virtual time: module, baseline:NAME or wire:COMMAND")
	cmd.Flags().StringVar(&f.courier, "courier", "", "on sockets: courier binary (empty: the one in this program's directory, else a new build)")
	cmd.Flags().DurationVar(&f.reload, "reload", 0, "on sockets: interval at which slots, queue limit, attempt limit and classes of the couriers are changed and reloaded (0: never)")
	cmd.Flags().StringVar(&f.dir, "dir", "", "on sockets: directory to keep the couriers' state and logs in")
	cmd.Flags().StringVar(&f.out, "out", "", "directory for the verdict and charts")
	cmd.Flags().StringVar(&f.output, "output", "table", "output format: table or json")
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
		if cell, err = experiment.RunOne(d, seed, v); err != nil {
			return err
		}
	} else if cell, err = playOnSockets(cmd, d, seed, f); err != nil {
		return err
	}
	if f.out != "" {
		if err := writeCell(f.out, cell); err != nil {
			return err
		}
		if _, err := report.DrawScenario(f.out, scenario.Draw(d, seed), cell.Verdict); err != nil {
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
		return errRunFailed
	}
	return nil
}

// playOnSockets runs a scenario with real courier processes on loopback sockets.
func playOnSockets(cmd *cobra.Command, d *scenario.Definition, seed int64, f playFlags) (experiment.Cell, error) {
	binary, clean, err := courierBinary(f.courier)
	if err != nil {
		return experiment.Cell{}, err
	}
	defer clean()
	v, cost, err := realtime.Play(cmd.Context(), scenario.Draw(d, seed), realtime.Options{Binary: binary, Reload: f.reload, Dir: f.dir})
	return experiment.Cell{Day: d.Name, Seed: seed, Variant: "sockets", Verdict: v, Wall: cost.Wall, Live: &cost}, err
}

// courierBinary returns the path of the courier binary: the named one, else the one in this program's directory, else a new build from
// source. The caller must call clean when the binary is no longer needed.
func courierBinary(named string) (path string, clean func(), err error) {
	clean = func() {}
	if named != "" {
		path, err = filepath.Abs(named)
		return path, clean, err
	}
	if executable, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(executable), "pineport")
		if _, err := os.Stat(sibling); err == nil {
			return sibling, clean, nil
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
		return "", func() {}, fmt.Errorf("no courier binary in this program's directory, and the build failed (set --courier): %w: %s", err, out)
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
	fmt.Fprintf(w, "figure\t%.3f (service %.3f minus costs %.3f)\n", v.Score, v.ServiceScore, v.Costs)
	fmt.Fprintf(w, "value\twhole scenario %.3f, lowest in 10 s %.3f (from %.0f s)\n", v.Overall, v.WorstWindow, v.WorstWindowAt)
	for _, l := range v.Latency {
		fmt.Fprintf(w, "class %s\tvalue %.3f; delivered %d; p50 %.2f s, p90 %.2f s, p99 %.2f s, longest %.2f s\n",
			l.Class, v.ClassShares[l.Class], l.Count, l.P50, l.P90, l.P99, l.Max)
	}
	fmt.Fprintf(w, "messages\toffered %d, submissions %d, delivered %d, rejected %d, failed %d, lost %d\n", n.Offered, n.Accepted, n.Delivered,
		n.Rejected, n.Failed, n.Lost)
	fmt.Fprintf(w, "attempts\t%d: throttled %d, failures %d, timed out %d, unreachable %d, broken %d, canceled %d, unprocessed %d\n", n.Attempts,
		n.Throttled, n.Failures, n.TimedOut, n.Unreachable, n.Broken, n.Canceled, n.Unprocessed)
	fmt.Fprintf(w, "connections\t%d opened\n", n.Handshakes)
	if n.RouteOverloads > 0 {
		fmt.Fprintf(w, "failed recoveries\t%d recovering endpoints overloaded again\n", n.RouteOverloads)
	}
	if c.Stats.Steps > 0 {
		fmt.Fprintf(w, "simulation\t%d events in %d steps of the decision logic, %.2f s wall time\n", c.Stats.Events, c.Stats.Steps, c.Wall)
	}
	if l := c.Live; l != nil {
		fmt.Fprintf(w, "cost\t%.1f s wall time; CPU: couriers %.2f s, testbed %.2f s; highest peak memory of a courier %.1f MB; restarts %d, reloads %d\n", l.Wall,
			l.CourierCPU, l.TestbedCPU, float64(l.MaxRSS)/1024, l.Restarts, l.Reloads)
		fmt.Fprintf(w, "load generator\tmessages sent late: p99 %.1f ms, maximum %.1f ms\n", l.LateP99*1000, l.LateMax*1000)
	}
	w.Flush()
	printViolations(out, v)
}

func printViolations(out io.Writer, v *invariants.Verdict) {
	for _, b := range v.Breaches {
		fmt.Fprintf(out, "  %8.3f s  %s: %s\n", b.At, b.Rule, b.Text)
	}
}
