package capacity

import "pineport/testbed/slopes"

// Chart is what is to be drawn of one slope. testbed/report draws it.
type Chart struct {
	Slope   string
	About   string
	File    string // name of the file in the folder of the charts
	Unit    string
	Over    string
	Sizes   []float64 // of the points, one for each play
	Figures []float64
	Fit     slopes.Fit
	From    float64 // smallest size measured
	Planned float64 // size
	Budget  float64 // 0: none
}

// Charts are those of every slope that a row rests on, in the order of the rows.
func (page *Page) Charts() (all []Chart) {
	seen := map[string]bool{}
	for _, answer := range page.allAnswers() {
		for _, part := range answer.Parts {
			if seen[part.Slope] {
				continue
			}
			seen[part.Slope] = true
			all = append(all, page.chart(&answer, part))
		}
	}
	return all
}

func (page *Page) chart(answer *Answer, part PartUsed) Chart {
	slope, run, _ := page.measured.Find(part.Slope)
	chart := Chart{Slope: part.Slope, About: slope.About, File: part.Slope + ".svg", Unit: slope.Unit, Over: slope.Over, Fit: slope.Fit, From: slope.From,
		Planned: part.Size}
	if answer.Budget != nil && len(answer.Parts) == 1 && part.Times > 0 {
		chart.Budget = answer.Budget.Figure / part.Times
	}
	chart.Sizes, chart.Figures = run.Values(slope.Figure, slope.Over, slope.Where)
	return chart
}
