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
		file, err := Slope(folder, chart)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join(folder, file))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	whole := drawn(chart)
	for _, want := range []string{"run.figure", "things", "fit: linear", "measured", "planned size", "budget"} {
		if !strings.Contains(whole, want) {
			t.Errorf("%q is not on the chart", want)
		}
	}
	if whole != drawn(chart) {
		t.Error("the same chart is drawn otherwise the second time")
	}
	chart.Budget, chart.Sizes, chart.Figures = 0, nil, nil
	if bare := drawn(chart); strings.Contains(bare, "budget") || strings.Contains(bare, "measured") {
		t.Error("a budget or points are shown where there are none")
	}
	chart.Fit = slopes.Fit{Model: slopes.Constant, Base: -1}
	if _, err := Slope(t.TempDir(), chart); err == nil {
		t.Error("a curve below nought was drawn on a logarithmic scale")
	}
}
