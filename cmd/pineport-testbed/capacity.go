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
		Short: "Compute the load on each component at a planned fleet size, and which budget is exceeded first",
		Long: `Extrapolate the slopes measured by pineport-testbed scale to the sizes of a plan, compare the results with the plan's budgets, and report
at which fraction of the planned size each budget is exceeded. For another fleet, write another --plan; docs/capacity/plan.toml is an example
that explains each key. All errors of a plan are reported at once, each with file, line, key and expected value.
Exit codes: 0 success; 2 any error, such as an invalid file.`,
		Example: `  pineport-testbed capacity --plan ours.toml
  pineport-testbed capacity --output json
  pineport-testbed capacity --output markdown --write docs/CAPACITY.md --charts docs/capacity`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return computeCapacity(cmd, f) },
	}
	cmd.Flags().StringVar(&f.plan, "plan", "docs/capacity/plan.toml", "file with the planned sizes, budgets and failure rates")
	cmd.Flags().StringVar(&f.measured, "measured", "docs/capacity/measured.json", "file with the slopes, written by pineport-testbed scale")
	cmd.Flags().StringVar(&f.output, "output", "table", "output format: table, json or markdown")
	cmd.Flags().StringVar(&f.write, "write", "", "file to write the page to as Markdown, instead of printing it (empty: print it)")
	cmd.Flags().StringVar(&f.charts, "charts", "", "directory for one chart per slope (empty: no charts)")
	return cmd
}

func computeCapacity(cmd *cobra.Command, f capacityFlags) error {
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
	return "", fmt.Errorf("--output: expected table, json or markdown, got %q", output)
}

// drawSlopes writes one chart per slope into the directory folder, which it creates if necessary. If folder is empty, it does nothing.
func drawSlopes(page *capacity.Page, folder string) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, chart := range page.Charts() {
		if _, err := report.DrawSlope(folder, chart); err != nil {
			return err
		}
	}
	return nil
}
