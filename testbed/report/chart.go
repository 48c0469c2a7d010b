// Package report draws what the testbed found: charts as SVG by gonum/plot, and accounts in words.
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

// line adds a series of half seconds, smoothed over a few bins.
func line(p *plot.Plot, name string, values []float64, n int, smooth int) error {
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
	p.X.Max = max(p.X.Max, 1.15*pts[len(pts)-1].X) // room for the legend
	l.Color, l.Dashes, l.Width = plotutil.Color(n), plotutil.Dashes(n/7), vg.Points(1.3)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// shade marks a stretch of time.
func shade(p *plot.Plot, from, to, top float64) error {
	area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	area.Color, area.LineStyle.Width = color.RGBA{R: 230, G: 120, B: 90, A: 50}, 0
	p.Add(area)
	return nil
}

func scale(values []float64, by float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = v * by
	}
	return out
}

func most(all ...[]float64) (top float64) {
	for _, values := range all {
		for _, v := range values {
			top = max(top, v)
		}
	}
	return top
}

// perSecond steps counts of a bin into a rate.
const perSecond = 1e6 / float64(invariants.BinLength)

// Day draws a day's charts into a folder: value, held messages, and calls of the destinations that had trouble or most
// traffic. It returns the files.
func Day(dir string, w *scenario.Instance, v *invariants.Verdict) (files []string, err error) {
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
	p := newPlot("Payoff of "+w.Definition.Name+", by when a record was due", "payoff a second")
	if err := addAll(p, 4, map[string][]float64{"asked": scale(s.OfferedValue, perSecond), "delivered": scale(s.EarnedValue, perSecond)}); err != nil {
		return nil, err
	}
	save(p, "payoff.svg", height)
	p = newPlot("Records held by all couriers", "records")
	if err := addAll(p, 1, map[string][]float64{"held": s.OpenMessages}); err != nil {
		return nil, err
	}
	save(p, "held.svg", height)
	for _, d := range Troubled(s, 4) {
		p, err := destination(w, d)
		if err != nil {
			return nil, err
		}
		save(p, fmt.Sprintf("destination-%d.svg", d.Dest), height)
	}
	return files, err
}

func addAll(p *plot.Plot, smooth int, all map[string][]float64) error {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		if err := line(p, name, all[name], i, smooth); err != nil {
			return err
		}
	}
	return nil
}

// destination draws the calls of one destination against what it can do.
func destination(w *scenario.Instance, d *invariants.DestSeries) (*plot.Plot, error) {
	dst := &w.Destinations[d.Dest]
	p := newPlot(fmt.Sprintf("Destination %d (%s): calls by outcome; shaded: out", d.Dest, dst.KindName), "calls a second")
	top := perSecond * most(d.Attempts, d.Offered)
	for _, o := range d.Outages {
		if err := shade(p, o[0], o[1], top); err != nil {
			return nil, err
		}
	}
	err := addAll(p, 2, map[string][]float64{"sent": scale(d.Attempts, perSecond), "done": scale(d.Delivered, perSecond),
		"full": scale(d.Throttled, perSecond), "failed": scale(d.Failed, perSecond), "offered": scale(d.Offered, perSecond)})
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
	return p, line(p, "limit", flat, 9, 1)
}

// Troubled picks destinations value a look: those that were out or failed most, then the busiest.
func Troubled(s *invariants.Series, n int) []*invariants.DestSeries {
	sum := func(v []float64) (t float64) {
		for _, x := range v {
			t += x
		}
		return t
	}
	all := slices.Clone(s.Dests)
	weight := func(d *invariants.DestSeries) float64 {
		out := 0.0
		for _, o := range d.Outages {
			out += o[1] - o[0]
		}
		return min(1, out)*1e6 + 10*sum(d.Failed) + 3*sum(d.Throttled) + sum(d.Attempts)/100
	}
	slices.SortStableFunc(all, func(a, b *invariants.DestSeries) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:min(n, len(all))]
}

// Differences draws the paired differences of an experiment with their intervals.
func Differences(path, title string, rows []Difference) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "difference of the day's figure, with its 95 % interval"
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

// Difference is one row of Differences.
type Difference struct {
	Name            string
	Mean, Low, High float64
}
