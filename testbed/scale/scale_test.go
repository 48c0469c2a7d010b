package scale

import (
	"context"
	"errors"
	"strings"
	"testing"

	"pineport/testbed/slopes"
)

func doublingExperiment() Experiment {
	return Experiment{Name: "doubling", Plays: 3,
		Measure: func(_ context.Context, play *Play) error {
			for _, size := range []float64{1, 10, 100} {
				play.Report(map[string]float64{"size": size, "kind": 1}, "twice", 2*size)
				play.Report(map[string]float64{"size": size, "kind": 2}, "twice", 20*size)
			}
			play.Report(map[string]float64{"length": 7, "kind": 1}, "twice", 14) // point without the size "size"
			play.ReportMissing("thrice", "not implemented")
			return nil
		},
		Fit: func(results *Results) error {
			return results.Fit(Curve{Name: "twice", Figure: "twice", Over: "size", Where: map[string]float64{"kind": 1}, Models: []slopes.Model{slopes.Constant, slopes.Linear}})
		},
		Check: func(results *Results) error {
			if _, figures := results.Values("twice", "size", nil); len(figures) == 0 {
				return errors.New("no value was recorded")
			}
			return nil
		},
	}
}

func TestRunKeepsPointsAndSlopes(t *testing.T) {
	run, err := Run(context.Background(), doublingExperiment(), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if len(run.Points) != 7 || len(run.Points[0].Values["twice"]) != 3 || len(run.Missing) != 1 {
		t.Errorf("points %+v, missing %+v", run.Points, run.Missing)
	}
	if len(run.Slopes) != 1 || run.Slopes[0].Name != "doubling.twice" || run.Slopes[0].Fit.Model != slopes.Linear {
		t.Fatalf("slopes %+v", run.Slopes)
	}
	if at := run.Slopes[0].At(1000); at < 1999 || at > 2001 {
		t.Errorf("at 1000: %v", at)
	}
	slope := &run.Slopes[0]
	if sizes, figures := run.Values(slope.Figure, slope.Over, slope.Where); len(sizes) != 9 || sizes[8] != 100 || figures[8] != 200 {
		t.Errorf("points of the slope: %v, %v", sizes, figures)
	}
	quick, err := Run(context.Background(), doublingExperiment(), Options{Quick: true})
	if err != nil || quick.Plays != 1 || len(quick.Slopes) != 0 {
		t.Errorf("quick: %+v, %v", quick, err)
	}
}

func TestStoppedRunReturnsNoPoints(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if run, err := Run(ctx, doublingExperiment(), Options{}); err == nil || len(run.Points) > 0 {
		t.Errorf("stopped: %+v, %v", run, err)
	}
}

func TestFailedCheckAndUnknownNameFail(t *testing.T) {
	broken := doublingExperiment()
	broken.Check = func(*Results) error { return errors.New("wrong count") }
	if _, err := Run(context.Background(), broken, Options{Quick: true}); err == nil || !strings.Contains(err.Error(), "wrong count") {
		t.Errorf("%v", err)
	}
	if _, err := Find("nothing-like-it"); err == nil || !strings.Contains(err.Error(), "nothing-like-it") {
		t.Errorf("%v", err)
	}
}
