package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pineport/testbed/capacity"
	"pineport/testbed/slopes"
)

func TestSlopeChartShowsItsSeries(t *testing.T) {
	chart := capacity.Chart{Slope: "run.figure", File: "run.figure.svg", Unit: "s", Over: "things", Sizes: []float64{1, 10, 100}, Figures: []float64{3, 21, 199},
		Fit: slopes.Fit{Model: slopes.Linear, Base: -1, Rate: 2}, From: 0.1, Planned: 10000, Budget: 50}
	drawn := func(chart capacity.Chart) string {
		t.Helper()
		folder := t.TempDir()
		file, err := DrawSlope(folder, chart)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join(folder, file))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	complete := drawn(chart)
	for _, want := range []string{"run.figure", "things", "fit: linear", "measured", "planned size", "budget"} {
		if !strings.Contains(complete, want) {
			t.Errorf("%q is not on the chart", want)
		}
	}
	if complete != drawn(chart) {
		t.Error("drawing the same chart twice gives different files")
	}
	chart.Budget, chart.Sizes, chart.Figures = 0, nil, nil
	if withoutBudget := drawn(chart); strings.Contains(withoutBudget, "budget") || strings.Contains(withoutBudget, "measured") {
		t.Error("the chart shows a budget or points although none were given")
	}
	chart.Fit = slopes.Fit{Model: slopes.Constant, Base: -1}
	if _, err := DrawSlope(t.TempDir(), chart); err == nil {
		t.Error("a curve below 0 was drawn on a logarithmic scale")
	}
}
