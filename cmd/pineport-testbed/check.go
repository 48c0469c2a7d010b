package main

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pineport/testbed/experiment"
	"pineport/testbed/scenario"
)

// unchecked are the built-in days that take too long for a check.
var unchecked = []string{"full-size"}

func where(c experiment.Cell) string {
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
		Short: "Play the built-in days in virtual time and a short one on sockets; one line each, exit code 1 where a rule broke",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			module, err := experiment.Parse("module:lore")
			if err != nil {
				return err
			}
			days := slices.DeleteFunc(scenario.BuiltIn(), func(name string) bool { return slices.Contains(unchecked, name) })
			plan, err := comparison(days, int(seeds), nil)
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
				cell, err := playLive(cmd, d, d.Seed, playFlags{courier: courier})
				if err != nil {
					return err
				}
				cells = append(cells, cell)
			}
			broken := false
			fmt.Fprintln(w, "day\tseed\tfigure\tjudgement")
			for _, c := range cells {
				fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\n", c.Day+where(c), c.Seed, c.Verdict.Score, c.Verdict.Short())
				broken = broken || !c.Verdict.OK() || c.Verdict.InvalidReason != ""
			}
			w.Flush()
			for _, c := range cells {
				printBreaches(cmd.OutOrStdout(), c.Verdict)
			}
			if broken {
				return errBroken
			}
			return nil
		},
	}
	cmd.Flags().Int64Var(&seeds, "seeds", 3, "how many seeds of each day")
	cmd.Flags().BoolVar(&virtual, "virtual", false, "in virtual time only")
	cmd.Flags().StringVar(&courier, "courier", "", "the courier's binary (empty: beside this program, or built anew)")
	return cmd
}
