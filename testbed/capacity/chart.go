package capacity

import "pineport/testbed/slopes"

// Chart holds the data for the chart of one slope, which testbed/report draws.
type Chart struct {
	Slope   string
	About   string
	File    string // file name in the charts folder
	Unit    string
	Over    string
	Sizes   []float64 // of the points, one for each repetition of the run
	Figures []float64
	Fit     slopes.Fit
	From    float64 // smallest measured size
	Planned float64 // planned size
	Budget  float64 // 0: no budget
}

// Charts returns one chart for each slope that a row uses, in the order of the rows.
func (page *Page) Charts() (all []Chart) {
	seen := map[string]bool{}
	for _, result := range page.allResults() {
		for _, part := range result.Parts {
			if seen[part.Slope] {
				continue
			}
			seen[part.Slope] = true
			all = append(all, page.chart(&result, part))
		}
	}
	return all
}

func (page *Page) chart(result *RowResult, part PartUsed) Chart {
	slope, run, _ := page.measured.Find(part.Slope)
	chart := Chart{Slope: part.Slope, About: slope.About, File: part.Slope + ".svg", Unit: slope.Unit, Over: slope.Over, Fit: slope.Fit, From: slope.From,
		Planned: part.Size}
	if result.Budget != nil && len(result.Parts) == 1 && part.Factor > 0 {
		chart.Budget = result.Budget.Figure / part.Factor
	}
	chart.Sizes, chart.Figures = run.Values(slope.Figure, slope.Over, slope.Where)
	return chart
}
