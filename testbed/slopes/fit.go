package slopes

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Model names the shape of a fitted curve.
type Model string

// Power is fitted by least squares to the logarithms of sizes and figures. The other models are fitted to the figures
// themselves, weighted by 1/figure², so that each value counts by its relative error.
const (
	Constant  Model = "constant"  // Base
	Linear    Model = "linear"    // Base + Rate * size
	Logarithm Model = "logarithm" // Base + Rate * ln(size)
	Power     Model = "power"     // Base * size ^ Rate
)

// Fit is a fitted curve with its relative error.
type Fit struct {
	Model  Model   `json:"model"`
	Base   float64 `json:"base"`
	Rate   float64 `json:"rate"`
	Spread float64 `json:"spread"` // root mean square of the relative residuals of all values: 0.1 is 10 %
	Error  float64 `json:"error"`  // standard error of Rate divided by Rate; 0 for Constant
}

// At returns the value of the curve at a size.
func (f Fit) At(size float64) float64 {
	switch f.Model {
	case Linear:
		return f.Base + f.Rate*size
	case Logarithm:
		return f.Base + f.Rate*math.Log(size)
	case Power:
		return f.Base * math.Pow(size, f.Rate)
	}
	return f.Base
}

// SizeAt returns the size at which a growing curve reaches a figure. For a constant curve it returns 0 if the curve is above
// the figure, otherwise +Inf. A linear curve that starts above the figure gives 0, a falling curve always gives +Inf.
func (f Fit) SizeAt(figure float64) float64 {
	switch {
	case f.Model == Constant || f.Rate == 0:
		if f.Base > figure {
			return 0
		}
		return math.Inf(1)
	case f.Rate < 0:
		return math.Inf(1)
	case f.Model == Linear:
		return max(0, (figure-f.Base)/f.Rate)
	case f.Model == Logarithm:
		return math.Exp((figure - f.Base) / f.Rate)
	}
	return math.Pow(figure/f.Base, 1/f.Rate)
}

func (f Fit) check() error {
	switch f.Model {
	case Constant, Linear, Logarithm, Power:
		return nil
	}
	return fmt.Errorf("fit.model: unknown model %q, want constant, linear, logarithm or power", f.Model)
}

// minPoints is the least number of distinct sizes that a curve is fitted to.
const minPoints = 3

// FitTo fits a model to pairs of a size and a figure measured at that size. A size occurs once for each play.
func FitTo(model Model, sizes, figures []float64) (Fit, error) {
	if len(sizes) != len(figures) {
		return Fit{}, fmt.Errorf("got %d sizes but %d figures", len(sizes), len(figures))
	}
	distinct := map[float64]bool{}
	for i, size := range sizes {
		if size <= 0 || figures[i] <= 0 || math.IsInf(figures[i], 0) || math.IsNaN(figures[i]) {
			return Fit{}, fmt.Errorf("size %v, figure %v: both must be positive and finite", size, figures[i])
		}
		distinct[size] = true
	}
	if len(distinct) < minPoints {
		return Fit{}, fmt.Errorf("got %d distinct sizes, a curve needs at least %d", len(distinct), minPoints)
	}
	fit, err := solve(model, sizes, figures)
	if err != nil {
		return Fit{}, err
	}
	var squares float64
	for i, size := range sizes {
		residual := (figures[i] - fit.At(size)) / figures[i]
		squares += residual * residual
	}
	fit.Spread = math.Sqrt(squares / float64(len(sizes)))
	return fit, nil
}

func solve(model Model, sizes, figures []float64) (Fit, error) {
	x, y, weights := make([]float64, len(sizes)), make([]float64, len(sizes)), make([]float64, len(sizes))
	for i, size := range sizes {
		x[i], y[i], weights[i] = size, figures[i], 1/(figures[i]*figures[i])
		switch model {
		case Logarithm:
			x[i] = math.Log(size)
		case Power:
			x[i], y[i], weights[i] = math.Log(size), math.Log(figures[i]), 1
		}
	}
	switch model {
	case Constant:
		return Fit{Model: model, Base: stat.Mean(y, weights)}, nil
	case Linear, Logarithm, Power:
		base, rate := stat.LinearRegression(x, y, weights, false)
		fit := Fit{Model: model, Base: base, Rate: rate, Error: relativeError(x, y, weights, base, rate)}
		if model == Power {
			fit.Base = math.Exp(base)
		}
		return fit, nil
	}
	return Fit{}, fmt.Errorf("unknown model %q", model)
}

// relativeError returns the standard error of the rate of a weighted regression, divided by that rate.
// It returns 0 if the error cannot be computed: for a rate of 0, fewer than three values or a single size.
func relativeError(x, y, weights []float64, base, rate float64) float64 {
	const fitted = 2 // number of fitted parameters: base and rate
	if len(x) <= fitted || rate == 0 {
		return 0
	}
	mean, sum, squares, spread := stat.Mean(x, weights), 0.0, 0.0, 0.0
	for i := range x {
		residual := y[i] - base - rate*x[i]
		squares += weights[i] * residual * residual
		spread += weights[i] * (x[i] - mean) * (x[i] - mean)
		sum += weights[i]
	}
	if spread == 0 || sum == 0 {
		return 0
	}
	return math.Abs(math.Sqrt(squares/float64(len(x)-fitted)/spread) / rate)
}

// Best fits several models and returns the fit with the least spread. A later model replaces an earlier one only if its
// spread is below 90 % of the earlier one's, so callers list the simplest model first.
func Best(sizes, figures []float64, models ...Model) (Fit, error) {
	const clearlyBetter = 0.9
	var best Fit
	for i, model := range models {
		fit, err := FitTo(model, sizes, figures)
		if err != nil {
			return Fit{}, err
		}
		if i == 0 || fit.Spread < clearlyBetter*best.Spread {
			best = fit
		}
	}
	return best, nil
}
