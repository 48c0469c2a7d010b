package main

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"pineport/testbed/experiment"
	"pineport/testbed/report"
)

func reportCmd() *cobra.Command {
	var base, figure, onlyScenario string
	cmd := &cobra.Command{
		Use:   "report DIR",
		Short: "Draw the differences of an experiment that was stored by compare --out",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			figureOf, ok := figures[figure]
			if !ok {
				return fmt.Errorf("--figure: expected figure, net, service, whole, window, costs, falls, refused or failed, got %q", figure)
			}
			cells, err := experiment.ReadCells(args[0])
			if err != nil {
				return err
			}
			if base == "" && len(cells) > 0 {
				base = cells[0].Variant
			}
			if !slices.ContainsFunc(cells, func(c experiment.Cell) bool { return c.Variant == base }) {
				return fmt.Errorf("--base: no variant is named %q", base)
			}
			var rows []report.Difference
			for _, r := range experiment.Compare(cells, base, figureOf) {
				if onlyScenario != "" && r.Day != onlyScenario {
					continue
				}
				rows = append(rows, report.Difference{Name: r.Variant + ", " + r.Day, Mean: r.Diff, Low: r.Low, High: r.High})
			}
			path := filepath.Join(args[0], "differences.svg")
			if err := report.DrawDifferences(path, "Difference from "+base, rows); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), path)
			return nil
		},
	}
	cmd.Flags().StringVar(&base, "base", "", "variant to compare the others with (empty: the first)")
	cmd.Flags().StringVar(&onlyScenario, "day", "", "show only this scenario (all: only the rows that combine all scenarios; empty: every row)")
	cmd.Flags().StringVar(&figure, "figure", "figure", "figure to compare, as in pineport-testbed compare")
	return cmd
}
