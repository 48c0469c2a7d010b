package main

import (
	"fmt"
	"os"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"pineport/testbed/capacity"
	"pineport/testbed/report"
)

type capacityFlags struct {
	plan, measured string
	output         string
	write          string
	charts         string
}

func capacityCmd() *cobra.Command {
	var f capacityFlags
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what a fleet of a planned size asks of each part, and what breaks first",
		Long: `Carry the slopes that pineport-testbed scale measured to the sizes of a plan, hold them against its budgets, and say at which share of the
planned size each breaks. Another operator's fleet is another --plan; docs/capacity/plan.toml is the example, with each key explained.
A faulty plan is told by file, line, key and what was expected, all faults at once. Exit codes: 0 all well; 2 a file is at fault.`,
		Example: `  pineport-testbed capacity --plan ours.toml
  pineport-testbed capacity --output json
  pineport-testbed capacity --output markdown --write docs/CAPACITY.md --charts docs/capacity`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return workOutCapacity(cmd, f) },
	}
	cmd.Flags().StringVar(&f.plan, "plan", "docs/capacity/plan.toml", "the planned size, budgets and failure rates")
	cmd.Flags().StringVar(&f.measured, "measured", "docs/capacity/measured.json", "slopes as pineport-testbed scale wrote them")
	cmd.Flags().StringVar(&f.output, "output", "table", "table, json or markdown")
	cmd.Flags().StringVar(&f.write, "write", "", "file that takes the page, as markdown, whatever --output says (empty: printed only)")
	cmd.Flags().StringVar(&f.charts, "charts", "", "folder that takes a chart of each slope (empty: none)")
	return cmd
}

func workOutCapacity(cmd *cobra.Command, f capacityFlags) error {
	plan, measured, err := capacity.Load(f.plan, f.measured)
	if err != nil {
		return err
	}
	page, err := capacity.Evaluate(plan, measured)
	if err != nil {
		return fmt.Errorf("%s: %w", f.measured, err)
	}
	text, err := capacityText(page, f.output)
	if err != nil {
		return err
	}
	if err := drawSlopes(page, f.charts); err != nil {
		return err
	}
	if f.write != "" {
		return renameio.WriteFile(f.write, []byte(page.Markdown()), 0o644)
	}
	_, err = fmt.Fprint(cmd.OutOrStdout(), text)
	return err
}

func capacityText(page *capacity.Page, output string) (string, error) {
	switch output {
	case "table":
		return page.Table(), nil
	case "json":
		return page.JSON()
	case "markdown":
		return page.Markdown(), nil
	}
	return "", fmt.Errorf("--output: table, json or markdown was expected, not %q", output)
}

// drawSlopes draws the charts into a folder.
func drawSlopes(page *capacity.Page, folder string) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, chart := range page.Charts() {
		if _, err := report.Slope(folder, chart); err != nil {
			return err
		}
	}
	return nil
}
