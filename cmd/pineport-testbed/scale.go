package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pineport/testbed/scale"
	"pineport/testbed/slopes"
)

const allRuns = "all"

type scaleFlags struct {
	quick   bool
	seed    int64
	out     string
	list    bool
	courier string
}

func scaleCmd() *cobra.Command {
	var f scaleFlags
	cmd := &cobra.Command{
		Use:   "scale RUN",
		Short: "Measure how cost and knowledge grow with the size of the fleet",
		Long: `Measure how cost and knowledge grow with the size of the fleet, with hollow couriers: the real decisions, membership and sharing
in one process, over stand-ins for clients, endpoints, disk and sockets. RUN is one of pineport-testbed scale --list, or all.
A full run writes its points and slopes into measured.json in the folder of --out, from which pineport-testbed capacity works out the page.
A quick one plays the small sizes once, and is judged by what it counts alone. Exit codes: 0 all well; 1 a run failed its check.`,
		Example: `  pineport-testbed scale all --quick
  pineport-testbed scale held --out docs/capacity`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.list || len(args) == 0 {
				for _, experiment := range scale.Experiments() {
					fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", experiment.Name, experiment.About)
				}
				return nil
			}
			return playScale(cmd, args[0], f)
		},
	}
	cmd.Flags().BoolVar(&f.quick, "quick", false, "the small sizes, once")
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of the first play; each further play takes the next")
	cmd.Flags().StringVar(&f.out, "out", "", "folder whose measured.json takes the run in (empty: printed only)")
	cmd.Flags().StringVar(&f.courier, "courier", "", "the courier's binary, for runs with real ones (empty: beside this program, or built anew)")
	cmd.Flags().BoolVar(&f.list, "list", false, "list the runs")
	return cmd
}

func playScale(cmd *cobra.Command, name string, f scaleFlags) error {
	experiments := scale.Experiments()
	if name != allRuns {
		experiment, err := scale.Find(name)
		if err != nil {
			return err
		}
		experiments = []scale.Experiment{experiment}
	}
	if f.quick && f.out != "" {
		return fmt.Errorf("--out: slopes come from full runs; --quick measures none")
	}
	courier, clean, err := courierOf(experiments, f)
	if err != nil {
		return err
	}
	defer clean()
	failed := false
	for _, experiment := range experiments {
		o := scale.Options{Quick: f.quick, Seed: f.seed, Commit: commit(), Command: "pineport-testbed scale " + experiment.Name, Courier: courier, Progress: tellProgress}
		run, err := scale.Run(cmd.Context(), experiment, o)
		clearProgress()
		switch {
		case cmd.Context().Err() != nil:
			return cmd.Context().Err()
		case err != nil:
			failed = true
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tfailed: %v\n", experiment.Name, err)
			continue
		}
		printRun(cmd, run)
		if err := keepRun(f.out, run); err != nil {
			return err
		}
	}
	if failed {
		return errBroken
	}
	return nil
}

// courierOf finds the courier's binary where a run plays real couriers.
func courierOf(experiments []scale.Experiment, f scaleFlags) (path string, clean func(), err error) {
	playsReal := slices.ContainsFunc(experiments, func(experiment scale.Experiment) bool { return experiment.UsesRealCouriers })
	if f.quick || !playsReal {
		return "", func() {}, nil
	}
	return courierBinary(f.courier)
}

// keepRun takes a run into the folder's file.
func keepRun(folder string, run slopes.Run) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, "measured.json")
	measured, err := slopes.Load(path)
	if err != nil {
		return err
	}
	measured.Put(run)
	return measured.Save(path)
}

func printRun(cmd *cobra.Command, run slopes.Run) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tpassed, %d plays, %s\n", run.Name, run.Plays, time.Duration(run.Seconds*float64(time.Second)).Round(10*time.Millisecond))
	if !run.Quick {
		for _, point := range run.Points {
			fmt.Fprintf(w, "  %s\t%s\n", sorted(point.Sizes, func(v float64) string { return fmt.Sprint(v) }),
				sorted(point.Values, func(v []float64) string { return fmt.Sprintf("%.4g", v) }))
		}
	}
	for _, slope := range run.Slopes {
		fmt.Fprintf(w, "  %s\t%s over %s: base %.4g, rate %.4g, spread %.2f, error %.2f\n", slope.Name, slope.Fit.Model, slope.Over, slope.Fit.Base,
			slope.Fit.Rate, slope.Fit.Spread, slope.Fit.Error)
	}
	for _, gap := range run.Missing {
		fmt.Fprintf(w, "  not measured: %s\t%s\n", gap.Figure, gap.Why)
	}
	if run.Verified != "" {
		fmt.Fprintf(w, "  hollow beside real\t%s\n", run.Verified)
	}
	w.Flush()
}

func sorted[V any](values map[string]V, text func(V) string) string {
	var parts []string
	for name, value := range values {
		parts = append(parts, name+" "+text(value))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// commit names the commit that this program was built from; "+" after it: with changes of its own.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), 12)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = "+"
		}
	}
	return revision + modified
}
