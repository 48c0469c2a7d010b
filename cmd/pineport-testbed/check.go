package main

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pineport/testbed/experiment"
	"pineport/testbed/scenario"
)

// excludedFromCheck lists the built-in scenarios that take too long for the check command.
var excludedFromCheck = []string{"full-size"}

func socketsSuffix(c experiment.Cell) string {
	if c.Live != nil {
		return " (sockets)"
	}
	return ""
}

func checkCmd() *cobra.Command {
	var seeds int64
	var virtual bool
	var courier string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Run the built-in scenarios in virtual time and a short one on sockets; one line each, exit code 1 if a run violates an invariant or is invalid",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			module, err := experiment.Parse("module:lore") // with learned state that survives restarts
			if err != nil {
				return err
			}
			days := slices.DeleteFunc(scenario.BuiltIn(), func(name string) bool { return slices.Contains(excludedFromCheck, name) })
			plan, err := comparisonPlan(days, int(seeds), nil)
			if err != nil {
				return err
			}
			plan.Variants, plan.Jobs = []experiment.Variant{module}, jobs()
			cells, err := experiment.Run(cmd.Context(), plan)
			if err != nil {
				return err
			}
			if !virtual {
				d, err := scenario.Find("demo")
				if err != nil {
					return err
				}
				cell, err := playOnSockets(cmd, d, d.Seed, playFlags{courier: courier})
				if err != nil {
					return err
				}
				cells = append(cells, cell)
			}
			violated := false
			fmt.Fprintln(w, "day\tseed\tfigure\tjudgement")
			for _, c := range cells {
				fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\n", c.Day+socketsSuffix(c), c.Seed, c.Verdict.Score, c.Verdict.Short())
				violated = violated || !c.Verdict.OK() || c.Verdict.InvalidReason != ""
			}
			w.Flush()
			for _, c := range cells {
				printViolations(cmd.OutOrStdout(), c.Verdict)
			}
			if violated {
				return errRunFailed
			}
			return nil
		},
	}
	cmd.Flags().Int64Var(&seeds, "seeds", 3, "number of seeds per scenario")
	cmd.Flags().BoolVar(&virtual, "virtual", false, "run in virtual time only")
	cmd.Flags().StringVar(&courier, "courier", "", "courier binary (empty: the one in this program's directory, else a new build)")
	return cmd
}
