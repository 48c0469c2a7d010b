package report

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pineport/testbed/capacity"
)

// curvePointCount is the number of points of a drawn curve.
const curvePointCount = 64

// DrawSlope draws how a measured quantity grows with a size, such as the number of couriers, on logarithmic scales. The chart shows the
// measured points, the fitted curve with its spread (the root mean square of the relative residuals), the planned size, and the budget if there
// is one. DrawSlope returns the file name.
func DrawSlope(folder string, chart capacity.Chart) (file string, err error) {
	p := plot.New()
	p.Title.Text = chart.Slope
	p.X.Label.Text, p.Y.Label.Text = chart.Over, chart.Unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	curve := fittedCurve(chart)
	if len(curve) == 0 {
		return "", fmt.Errorf("%s: the fitted curve has no value above 0", chart.Slope)
	}
	if err := plotSlope(p, chart, curve); err != nil {
		return "", err
	}
	return chart.File, p.Save(width, 1.2*height, filepath.Join(folder, chart.File))
}

// fittedCurve returns points of the fitted curve from the smallest measured size to the planned size, evenly spaced on a logarithmic scale.
// It omits values that are not above 0, which a logarithmic scale cannot show.
func fittedCurve(chart capacity.Chart) (curve plotter.XYs) {
	from, to := chart.From, max(chart.Planned, slices.Max(append([]float64{chart.From}, chart.Sizes...)))
	for i := range curvePointCount {
		size := from * math.Pow(to/from, float64(i)/(curvePointCount-1))
		if figure := chart.Fit.At(size); figure > 0 {
			curve = append(curve, plotter.XY{X: size, Y: figure})
		}
	}
	return curve
}

func plotSlope(p *plot.Plot, chart capacity.Chart, curve plotter.XYs) error {
	fitted, err := plotter.NewLine(curve)
	if err != nil {
		return err
	}
	fitted.Color, fitted.Width = plotutil.Color(1), vg.Points(1.3)
	p.Add(fitted)
	p.Legend.Add(fmt.Sprintf("fit: %s, spread %.2g", chart.Fit.Model, chart.Fit.Spread), fitted)
	if err := addPoints(p, chart); err != nil {
		return err
	}
	low, high := valueRange(curve, chart)
	if err := addDashedLine(p, "planned size", 2, plotter.XYs{{X: chart.Planned, Y: low}, {X: chart.Planned, Y: high}}); err != nil {
		return err
	}
	if chart.Budget == 0 {
		return nil
	}
	return addDashedLine(p, "budget", 0, plotter.XYs{{X: chart.From, Y: chart.Budget}, {X: curve[len(curve)-1].X, Y: chart.Budget}})
}

func addPoints(p *plot.Plot, chart capacity.Chart) error {
	points := make(plotter.XYs, len(chart.Sizes))
	for i, size := range chart.Sizes {
		points[i] = plotter.XY{X: size, Y: chart.Figures[i]}
	}
	if len(points) == 0 {
		return nil
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	measured.Color = color.Black
	p.Add(measured)
	p.Legend.Add("measured", measured)
	return nil
}

// valueRange returns the lowest and the highest value that is drawn.
func valueRange(curve plotter.XYs, chart capacity.Chart) (low, high float64) {
	all := slices.Clone(chart.Figures)
	for _, point := range curve {
		all = append(all, point.Y)
	}
	if chart.Budget > 0 {
		all = append(all, chart.Budget)
	}
	return slices.Min(all), slices.Max(all)
}

func addDashedLine(p *plot.Plot, name string, number int, points plotter.XYs) error {
	drawn, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	drawn.Color, drawn.Dashes = plotutil.Color(number), []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(drawn)
	p.Legend.Add(name, drawn)
	return nil
}
