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
	var base, figure, only string
	cmd := &cobra.Command{
		Use:   "report DIR",
		Short: "Draw the differences of an experiment that compare kept with --out",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			pick, ok := figures[figure]
			if !ok {
				return fmt.Errorf("--figure: figure, net, service, whole, window, costs, falls, refused or failed was expected, not %q", figure)
			}
			cells, err := experiment.ReadCells(args[0])
			if err != nil {
				return err
			}
			if base == "" && len(cells) > 0 {
				base = cells[0].Variant
			}
			if !slices.ContainsFunc(cells, func(c experiment.Cell) bool { return c.Variant == base }) {
				return fmt.Errorf("--base: no variant has the name %q", base)
			}
			var rows []report.Difference
			for _, r := range experiment.Compare(cells, base, pick) {
				if only != "" && r.Day != only {
					continue
				}
				rows = append(rows, report.Difference{Name: r.Variant + ", " + r.Day, Mean: r.Diff, Low: r.Low, High: r.High})
			}
			path := filepath.Join(args[0], "differences.svg")
			if err := report.Differences(path, "Against "+base, rows); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), path)
			return nil
		},
	}
	cmd.Flags().StringVar(&base, "base", "", "variant that the others are held against (empty: the first)")
	cmd.Flags().StringVar(&only, "day", "", "only this day; all: the rows over all days")
	cmd.Flags().StringVar(&figure, "figure", "figure", "what is compared: figure, net, service, whole, window, costs, falls, refused or failed")
	return cmd
}
