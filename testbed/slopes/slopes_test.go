package slopes

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
)

// samples evaluates the curve at sizes over two decades, three times each, with errors of up to 2 %.
func samples(curve func(float64) float64) (sizes, figures []float64) {
	for _, size := range []float64{100, 1000, 10000} {
		for _, factor := range []float64{0.98, 1, 1.02} {
			sizes, figures = append(sizes, size), append(figures, factor*curve(size))
		}
	}
	return sizes, figures
}

func TestFitRecoversCurve(t *testing.T) {
	for _, want := range []Fit{
		{Model: Constant, Base: 7},
		{Model: Linear, Base: 3, Rate: 0.5},
		{Model: Logarithm, Base: 2, Rate: 4},
		{Model: Power, Base: 0.1, Rate: 1.5},
	} {
		sizes, figures := samples(want.At)
		got, err := FitTo(want.Model, sizes, figures)
		if err != nil {
			t.Fatal(err)
		}
		for _, size := range []float64{100, 5000, 100000} {
			if ratio := got.At(size) / want.At(size); math.Abs(ratio-1) > 0.03 {
				t.Errorf("%s at %v: got %v, want %v", want.Model, size, got.At(size), want.At(size))
			}
		}
		if got.Spread < 0.005 || got.Spread > 0.05 {
			t.Errorf("%s: spread %v for values with errors of up to 0.02", want.Model, got.Spread)
		}
		if want.Model != Constant {
			if back := got.SizeAt(got.At(777)); math.Abs(back/777-1) > 1e-6 {
				t.Errorf("%s: SizeAt(At(777)) is %v", want.Model, back)
			}
		}
		best, err := Best(sizes, figures, Constant, Logarithm, Linear, Power)
		if err != nil || math.Abs(best.At(5000)/want.At(5000)-1) > 0.05 {
			t.Errorf("%s: Best returned %+v, %v", want.Model, best, err)
		}
	}
}

func TestFitRejectsInvalidInput(t *testing.T) {
	for what, try := range map[string][2][]float64{
		"two sizes":      {{1, 1, 2}, {1, 1, 2}},
		"a zero":         {{1, 2, 3}, {1, 0, 2}},
		"missing figure": {{1, 2, 3}, {1, 2}},
		"not a number":   {{1, 2, 3}, {1, math.NaN(), 2}},
		"negative size":  {{-1, 2, 3}, {1, 1, 2}},
	} {
		if fit, err := FitTo(Linear, try[0], try[1]); err == nil {
			t.Errorf("%s: got the fit %+v, want an error", what, fit)
		}
	}
}

func TestFileRoundTripAndValidation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "measured.json")
	m, err := Load(path)
	if err != nil || len(m.Runs) != 0 {
		t.Fatalf("loading a missing file: %+v, %v", m, err)
	}
	m.Put(Run{Name: "held", Slopes: []Slope{{Name: "held.step_seconds", Fit: Fit{Model: Linear, Base: 1, Rate: 2}}}})
	m.Put(Run{Name: "destinations"})
	m.Put(Run{Name: "held", Plays: 3, Slopes: []Slope{{Name: "held.step_seconds", Fit: Fit{Model: Linear, Base: 1, Rate: 3}}}})
	if err := m.Save(path); err != nil {
		t.Fatal(err)
	}
	back, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	slope, run, ok := back.Find("held.step_seconds")
	if !ok || run.Plays != 3 || slope.At(2) != 7 || back.Runs[0].Name != "destinations" || len(back.Runs) != 2 {
		t.Errorf("read back: %+v", back)
	}
	for text, want := range map[string]string{
		`{"version": 2}`: "version: want 1, got 2",
		`{"version": 1, "runs": [{"name": "a", "slopes": [{"name": "x", "fit": {"model": "wavy"}}]}]}`:                                              `slope "x": fit.model`,
		`{"version": 1, "runs": [{"name": "a", "slopes": [{"name": "x", "fit": {"model": "linear"}}, {"name": "x", "fit": {"model": "linear"}}]}]}`: `duplicate slope "x"`,
		`{"version": 1, "extra": 1}`: "extra",
	} {
		if _, err := Parse("measured.json", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
}
