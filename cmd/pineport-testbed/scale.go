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

const allExperiments = "all"

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
		Use:   "scale EXPERIMENT",
		Short: "Measure how resource use and propagation delays grow with the fleet size",
		Long: `Measure how resource use and propagation delays grow with the fleet size. In-process couriers, which run together in one process, use the
real decision logic, membership and quota sharing, with stand-ins for clients, endpoints, disk and sockets. EXPERIMENT is a name listed by
pineport-testbed scale --list, or all.
A full run stores its points and slopes in measured.json in the directory of --out; pineport-testbed capacity computes the capacity page from
that file. A quick run measures the small sizes once and checks only values that it counts, such as calls and packets, but no durations.
Exit codes: 0 success; 1 the check of an experiment failed; 2 any other error.`,
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
	cmd.Flags().BoolVar(&f.quick, "quick", false, "measure the small sizes only, once")
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of the first repetition; each further one uses the next seed")
	cmd.Flags().StringVar(&f.out, "out", "", "directory whose measured.json receives the results (empty: print only)")
	cmd.Flags().StringVar(&f.courier, "courier", "", "courier binary, for experiments with real couriers (empty: the one in this program's directory, else a new build)")
	cmd.Flags().BoolVar(&f.list, "list", false, "list the experiments")
	return cmd
}

func playScale(cmd *cobra.Command, name string, f scaleFlags) error {
	experiments := scale.Experiments()
	if name != allExperiments {
		experiment, err := scale.Find(name)
		if err != nil {
			return err
		}
		experiments = []scale.Experiment{experiment}
	}
	if f.quick && f.out != "" {
		return fmt.Errorf("--out: not available with --quick, which measures no slopes")
	}
	courier, clean, err := courierForExperiments(experiments, f)
	if err != nil {
		return err
	}
	defer clean()
	failed := false
	for _, experiment := range experiments {
		o := scale.Options{Quick: f.quick, Seed: f.seed, Commit: buildCommit(), Command: "pineport-testbed scale " + experiment.Name, Courier: courier, Progress: showProgressLine}
		run, err := scale.Run(cmd.Context(), experiment, o)
		clearProgressLine()
		switch {
		case cmd.Context().Err() != nil:
			return cmd.Context().Err()
		case err != nil:
			failed = true
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tfailed: %v\n", experiment.Name, err)
			continue
		}
		printRun(cmd, run)
		if err := saveRun(f.out, run); err != nil {
			return err
		}
	}
	if failed {
		return errRunFailed
	}
	return nil
}

// courierForExperiments returns the path of the courier binary, or an empty path if no experiment of this run needs real couriers.
func courierForExperiments(experiments []scale.Experiment, f scaleFlags) (path string, clean func(), err error) {
	needsCourier := slices.ContainsFunc(experiments, func(experiment scale.Experiment) bool { return experiment.UsesRealCouriers })
	if f.quick || !needsCourier {
		return "", func() {}, nil
	}
	return courierBinary(f.courier)
}

// saveRun stores a run in measured.json in the directory folder. If folder is empty, it does nothing.
func saveRun(folder string, run slopes.Run) error {
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
	fmt.Fprintf(w, "%s\tpassed, %d repetitions, %s\n", run.Name, run.Plays, time.Duration(run.Seconds*float64(time.Second)).Round(10*time.Millisecond))
	if !run.Quick {
		for _, point := range run.Points {
			fmt.Fprintf(w, "  %s\t%s\n", formatSorted(point.Sizes, func(v float64) string { return fmt.Sprint(v) }),
				formatSorted(point.Values, func(v []float64) string { return fmt.Sprintf("%.4g", v) }))
		}
	}
	for _, slope := range run.Slopes {
		fmt.Fprintf(w, "  %s\t%s in %s: base %.4g, rate %.4g, relative residual %.2f, relative error of rate %.2f\n", slope.Name, slope.Fit.Model, slope.Over, slope.Fit.Base,
			slope.Fit.Rate, slope.Fit.Spread, slope.Fit.Error)
	}
	for _, missing := range run.Missing {
		fmt.Fprintf(w, "  not measured: %s\t%s\n", missing.Figure, missing.Why)
	}
	if run.Verified != "" {
		fmt.Fprintf(w, "  in-process compared with real couriers\t%s\n", run.Verified)
	}
	w.Flush()
}

func formatSorted[V any](values map[string]V, text func(V) string) string {
	var parts []string
	for name, value := range values {
		parts = append(parts, name+" "+text(value))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// buildCommit returns the abbreviated commit that this program was built from, followed by "+" if the working tree had changes.
func buildCommit() string {
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
