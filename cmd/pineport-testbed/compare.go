package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pineport/testbed/experiment"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

func jobs() int { return runtime.GOMAXPROCS(0) }

// figures maps the values of --figure to what they read from a verdict:
//   - figure: the overall score, which is service minus costs, or 0 if an invariant is violated
//   - net: service minus costs, even if an invariant is violated
//   - service: weighted mean of the value shares of the whole scenario, its worst 10 s, its worst class and its worst tenant
//   - whole, window: share of the offered value that was delivered, in the whole scenario and in its worst 10 s
//   - costs: deduction per offered message for wasted attempts, handshakes and throttled attempts
//   - falls: number of recovering endpoints that were overloaded again
//   - refused: number of throttled attempts
//   - failed: number of attempts that failed, timed out, or found the endpoint unreachable or the connection broken
var figures = map[string]func(*invariants.Verdict) float64{
	"figure":  func(v *invariants.Verdict) float64 { return v.Score },
	"service": func(v *invariants.Verdict) float64 { return v.ServiceScore },
	"whole":   func(v *invariants.Verdict) float64 { return v.Overall },
	"window":  func(v *invariants.Verdict) float64 { return v.WorstWindow },
	"net":     func(v *invariants.Verdict) float64 { return v.ServiceScore - v.Costs },
	"falls":   func(v *invariants.Verdict) float64 { return float64(v.Counts.RouteOverloads) },
	"refused": func(v *invariants.Verdict) float64 { return float64(v.Counts.Throttled) },
	"failed": func(v *invariants.Verdict) float64 {
		n := v.Counts
		return float64(n.Failures + n.TimedOut + n.Unreachable + n.Broken)
	},
	"costs": func(v *invariants.Verdict) float64 { return v.Costs },
}

// intervalFigure returns a function that reads a figure for the time between from and to, in seconds of scenario time. The second result is
// false if the figure is not available for a part of a scenario.
func intervalFigure(figure string, from, to float64) (func(*invariants.Verdict) float64, bool) {
	figureOf := map[string]func(invariants.IntervalTotals) float64{
		"whole":   func(w invariants.IntervalTotals) float64 { return w.ValueShare },
		"failed":  func(w invariants.IntervalTotals) float64 { return w.Failed },
		"refused": func(w invariants.IntervalTotals) float64 { return w.Throttled },
	}[figure]
	return func(v *invariants.Verdict) float64 { return figureOf(v.Series.Interval(from, to)) }, figureOf != nil
}

// figureSelector returns a function that reads a figure from a verdict: for the time between from and to, in seconds of scenario time, if to is
// greater than from, else for the whole scenario.
func figureSelector(figure string, from, to float64) (func(v *invariants.Verdict) float64, error) {
	figureOf, ok := figures[figure]
	if !ok {
		return nil, fmt.Errorf("--figure: expected figure, net, service, whole, window, costs, falls, refused or failed, got %q", figure)
	}
	if to > from {
		if figureOf, ok = intervalFigure(figure, from, to); !ok {
			return nil, fmt.Errorf("--figure: expected whole, failed or refused for a time interval, got %q", figure)
		}
	}
	return figureOf, nil
}

// comparisonPlan returns a plan that runs every variant on every scenario with the seeds 1 to seeds.
func comparisonPlan(scenarioNames []string, seeds int, variants []string) (plan experiment.Plan, err error) {
	for _, name := range scenarioNames {
		found, err := scenario.Find(name)
		if err != nil {
			return plan, err
		}
		plan.Days = append(plan.Days, found)
	}
	for seed := range seeds {
		plan.Seeds = append(plan.Seeds, int64(seed+1))
	}
	for _, text := range variants {
		variant, err := experiment.Parse(text)
		if err != nil {
			return plan, err
		}
		plan.Variants = append(plan.Variants, variant)
	}
	return plan, nil
}

func compareCmd() *cobra.Command {
	var scenarioNames []string
	var seeds, workers int
	var figure, output, out string
	var from, to float64
	cmd := &cobra.Command{
		Use:   "compare VARIANT VARIANT...",
		Short: "Run variants of the decision logic on the same scenarios and seeds, and report how they differ from the first",
		Example: `  pineport-testbed compare module baseline:textbook --day overload,chance --seeds 20
  pineport-testbed compare module "old=wire:/tmp/old/simadapter" --figure whole`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			figureOf, err := figureSelector(figure, from, to)
			if err != nil {
				return err
			}
			plan, err := comparisonPlan(scenarioNames, seeds, args)
			if err != nil {
				return err
			}
			plan.Jobs = workers
			plan.Progress = progressBar(cmd.Name(), len(plan.Days)*len(plan.Seeds)*len(plan.Variants))
			cells, err := experiment.Run(cmd.Context(), plan)
			if err != nil {
				return err
			}
			rows := experiment.Compare(cells, plan.Variants[0].Name, figureOf)
			if out != "" {
				if err := experiment.Write(out, cells, rows); err != nil {
					return err
				}
			}
			if output == "json" {
				text, err := json.MarshalIndent(rows, "", "  ")
				fmt.Fprintln(cmd.OutOrStdout(), string(text))
				return err
			}
			if output != "table" {
				return errors.New("--output: expected table or json")
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintf(w, "day\tvariant\tpairs\t%s of %s\t%[1]s of variant\tdifference\t95 %% interval\truns with a violated invariant\n", figure, plan.Variants[0].Name)
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f\t%+.3f to %+.3f\t%d\n", r.Day, r.Variant, r.Pairs, r.Base, r.Mean, r.Diff, r.Low, r.High, r.Broken)
			}
			return w.Flush()
		},
	}
	cmd.Flags().StringSliceVar(&scenarioNames, "day", []string{"chance"}, "scenarios, by name or file")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "number of seeds per scenario")
	cmd.Flags().IntVar(&workers, "jobs", jobs(), "number of concurrent runs")
	cmd.Flags().StringVar(&figure, "figure", "figure", "figure to compare: figure (net, but 0 if an invariant is violated), net (service minus costs), service, whole, window, costs, falls, refused (throttled attempts) or failed (failed attempts)")
	cmd.Flags().Float64Var(&from, "from", 0, "start of the compared interval, in seconds of scenario time")
	cmd.Flags().Float64Var(&to, "to", 0, "end of the compared interval, in seconds of scenario time (0: the whole scenario)")
	cmd.Flags().StringVar(&output, "output", "table", "output format: table or json")
	cmd.Flags().StringVar(&out, "out", "", "directory for the result tables")
	return cmd
}
