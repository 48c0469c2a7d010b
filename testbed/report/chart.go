// Package report presents the results of the testbed as SVG charts, drawn with gonum/plot, and as text.
package report

import (
	"cmp"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

const (
	width  = 9 * vg.Inch
	height = 3.2 * vg.Inch
)

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time, s", y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a series with one value per invariants.BinLength to the plot, as a moving average over the last smooth values. The index
// selects one of seven colors and, beyond seven lines, another dash pattern.
func addLine(p *plot.Plot, name string, values []float64, index int, smooth int) error {
	pts := make(plotter.XYs, len(values))
	if len(pts) == 0 {
		return nil
	}
	for i := range values {
		sum, from := 0.0, max(0, i-smooth+1)
		for _, v := range values[from : i+1] {
			sum += v
		}
		pts[i].X, pts[i].Y = float64(i)*float64(invariants.BinLength)/1e6, sum/float64(i+1-from)
	}
	l, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	p.X.Max = max(p.X.Max, 1.15*pts[len(pts)-1].X) // leaves room for the legend
	l.Color, l.Dashes, l.Width = plotutil.Color(index), plotutil.Dashes(index/7), vg.Points(1.3)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// shadeInterval shades the time between from and to, up to the height top.
func shadeInterval(p *plot.Plot, from, to, top float64) error {
	area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	area.Color, area.LineStyle.Width = color.RGBA{R: 230, G: 120, B: 90, A: 50}, 0
	p.Add(area)
	return nil
}

func multiply(values []float64, by float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = v * by
	}
	return out
}

func maxValue(all ...[]float64) (top float64) {
	for _, values := range all {
		for _, v := range values {
			top = max(top, v)
		}
	}
	return top
}

// perSecond converts a count per invariants.BinLength to a rate per second.
const perSecond = 1e6 / float64(invariants.BinLength)

// DrawScenario writes the charts of a run into a directory: the value offered and delivered, the messages held by all couriers, and the calls to
// the four destinations that MostAffected selects. It returns the file names.
func DrawScenario(dir string, w *scenario.Instance, v *invariants.Verdict) (files []string, err error) {
	s := v.Series
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	save := func(p *plot.Plot, name string, h vg.Length) {
		if err == nil {
			err = p.Save(width, h, filepath.Join(dir, name))
			files = append(files, name)
		}
	}
	p := newPlot("Value of "+w.Definition.Name+", by the time the message was first offered", "value per second")
	if err := addLines(p, 4, map[string][]float64{"asked": multiply(s.OfferedValue, perSecond), "delivered": multiply(s.EarnedValue, perSecond)}); err != nil {
		return nil, err
	}
	save(p, "payoff.svg", height)
	p = newPlot("Messages held by all couriers", "records")
	if err := addLines(p, 1, map[string][]float64{"held": s.OpenMessages}); err != nil {
		return nil, err
	}
	save(p, "held.svg", height)
	for _, d := range MostAffected(s, 4) {
		p, err := plotDestination(w, d)
		if err != nil {
			return nil, err
		}
		save(p, fmt.Sprintf("destination-%d.svg", d.Dest), height)
	}
	return files, err
}

func addLines(p *plot.Plot, smooth int, all map[string][]float64) error {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		if err := addLine(p, name, all[name], i, smooth); err != nil {
			return err
		}
	}
	return nil
}

// plotDestination plots the calls of one destination by outcome, and its limit, which has line index 9 to differ in color and dash pattern.
func plotDestination(w *scenario.Instance, d *invariants.DestSeries) (*plot.Plot, error) {
	dst := &w.Destinations[d.Dest]
	p := newPlot(fmt.Sprintf("Destination %d (%s): calls by outcome; shaded: outage", d.Dest, dst.KindName), "calls per second")
	top := perSecond * maxValue(d.Attempts, d.Offered)
	for _, o := range d.Outages {
		if err := shadeInterval(p, o[0], o[1], top); err != nil {
			return nil, err
		}
	}
	err := addLines(p, 2, map[string][]float64{"sent": multiply(d.Attempts, perSecond), "done": multiply(d.Delivered, perSecond),
		"full": multiply(d.Throttled, perSecond), "failed": multiply(d.Failed, perSecond), "offered": multiply(d.Offered, perSecond)})
	if err != nil {
		return nil, err
	}
	limit := dst.Limit.PerSec
	if dst.SeparateRoutes {
		limit *= float64(len(dst.Endpoints))
	}
	flat := make([]float64, len(d.Attempts))
	for i := range flat {
		flat[i] = limit
	}
	return p, addLine(p, "limit", flat, 9, 1)
}

// MostAffected returns the n destinations with the highest weight: 1,000,000 for an outage (less if it is shorter than 1 s), 10 per failed call,
// 3 per throttled call and 0.01 per call.
func MostAffected(s *invariants.Series, n int) []*invariants.DestSeries {
	sum := func(v []float64) (t float64) {
		for _, x := range v {
			t += x
		}
		return t
	}
	destinations := slices.Clone(s.Dests)
	weight := func(d *invariants.DestSeries) float64 {
		out := 0.0
		for _, o := range d.Outages {
			out += o[1] - o[0]
		}
		return min(1, out)*1e6 + 10*sum(d.Failed) + 3*sum(d.Throttled) + sum(d.Attempts)/100
	}
	slices.SortStableFunc(destinations, func(a, b *invariants.DestSeries) int { return cmp.Compare(weight(b), weight(a)) })
	return destinations[:min(n, len(destinations))]
}

// DrawDifferences draws the paired differences of an experiment with their 95 % intervals.
func DrawDifferences(path, title string, rows []Difference) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "difference of the compared figure, with its 95 % interval"
	p.Add(plotter.NewGrid())
	names := make([]string, len(rows))
	pts := make(plotter.XYs, len(rows))
	errs := make(plotter.XErrors, len(rows))
	for i, r := range rows {
		at := len(rows) - 1 - i
		names[at] = r.Name
		pts[i].X, pts[i].Y = r.Mean, float64(at)
		errs[i].Low, errs[i].High = r.Low-r.Mean, r.High-r.Mean
	}
	bars, err := plotter.NewXErrorBars(struct {
		plotter.XYs
		plotter.XErrors
	}{pts, errs})
	if err != nil {
		return err
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	dots.Color, bars.Color = plotutil.Color(0), plotutil.Color(0)
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(rows)) - 0.5}})
	if err != nil {
		return err
	}
	p.Add(zero, bars, dots)
	p.NominalY(names...)
	return p.Save(width, vg.Length(len(rows))*0.35*vg.Inch+1.2*vg.Inch, path)
}

// Difference is one row of the chart of DrawDifferences.
type Difference struct {
	Name            string
	Mean, Low, High float64
}
