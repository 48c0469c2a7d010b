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

// stretch is a figure of a part of the day.
func stretch(figure string, from, to float64) (func(*invariants.Verdict) float64, bool) {
	pick := map[string]func(invariants.IntervalTotals) float64{
		"whole":   func(w invariants.IntervalTotals) float64 { return w.ValueShare },
		"failed":  func(w invariants.IntervalTotals) float64 { return w.Failed },
		"refused": func(w invariants.IntervalTotals) float64 { return w.Throttled },
	}[figure]
	return func(v *invariants.Verdict) float64 { return pick(v.Series.Interval(from, to)) }, pick != nil
}

// figurePicker returns what reads a figure of a verdict: of the whole day, or of a stretch of it, in seconds.
func figurePicker(figure string, from, to float64) (func(v *invariants.Verdict) float64, error) {
	pick, ok := figures[figure]
	if !ok {
		return nil, fmt.Errorf("--figure: figure, net, service, whole, window, costs, falls, refused or failed was expected, not %q", figure)
	}
	if to > from {
		if pick, ok = stretch(figure, from, to); !ok {
			return nil, fmt.Errorf("--figure: whole, failed or refused was expected for a stretch, not %q", figure)
		}
	}
	return pick, nil
}

// comparison plans the plays of variants on days with seeds from 1.
func comparison(days []string, seeds int, variants []string) (plan experiment.Plan, err error) {
	for _, name := range days {
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
	var names []string
	var seeds, workers int
	var figure, output, out string
	var from, to float64
	cmd := &cobra.Command{
		Use:   "compare VARIANT VARIANT...",
		Short: "Play variants of the decisions on the same days and seeds, and tell how far they differ from the first",
		Example: `  pineport-testbed compare module baseline:textbook --day overload,chance --seeds 20
  pineport-testbed compare module "old=wire:/tmp/old/simadapter" --figure whole`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			pick, err := figurePicker(figure, from, to)
			if err != nil {
				return err
			}
			plan, err := comparison(names, seeds, args)
			if err != nil {
				return err
			}
			plan.Jobs = workers
			plan.Progress = progress(cmd.Name(), len(plan.Days)*len(plan.Seeds)*len(plan.Variants))
			cells, err := experiment.Run(cmd.Context(), plan)
			if err != nil {
				return err
			}
			rows := experiment.Compare(cells, plan.Variants[0].Name, pick)
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
				return errors.New("--output: table or json was expected")
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintf(w, "day\tvariant\tpairs\t%s of %s\tof it\tdifference\t95 %% interval\truns with a broken rule\n", figure, plan.Variants[0].Name)
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f\t%+.3f to %+.3f\t%d\n", r.Day, r.Variant, r.Pairs, r.Base, r.Mean, r.Diff, r.Low, r.High, r.Broken)
			}
			return w.Flush()
		},
	}
	cmd.Flags().StringSliceVar(&names, "day", []string{"chance"}, "days, by name or file")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "how many seeds of each day")
	cmd.Flags().IntVar(&workers, "jobs", jobs(), "runs side by side")
	cmd.Flags().StringVar(&figure, "figure", "figure", "what is compared: figure, net, service, whole, window, costs, falls, refused or failed")
	cmd.Flags().Float64Var(&from, "from", 0, "count only what happened from this second of the day on ...")
	cmd.Flags().Float64Var(&to, "to", 0, "... until this one (0: the whole day)")
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	cmd.Flags().StringVar(&out, "out", "", "folder for tables")
	return cmd
}
