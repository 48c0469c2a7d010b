// Package scale measures how cost and state of a courier grow with the size of the fleet and of its configuration. It runs
// hollow couriers: many instances of the real dispatcher, membership, quota or configuration code in one process, with
// in-memory stand-ins for clients, endpoints and sockets. Each experiment has files of its own; this file runs the
// experiments and collects the results.
//
// A play is one repetition of an experiment, with its own seed. A size is an independent variable, such as the number of
// couriers. A figure is a value measured at a combination of sizes.
package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pineport/testbed/slopes"
)

// Experiment is one scale run.
type Experiment struct {
	Name  string // argument NAME of the command pineport-testbed scale NAME
	About string // what the experiment measures, in one sentence
	Plays int    // repetitions of each size in a full run; a quick run plays each size once
	// Timed marks experiments that measure processor time, which need an otherwise idle machine.
	Timed bool
	// UsesRealCouriers marks experiments that also start real courier processes in full runs.
	UsesRealCouriers bool
	// Measure plays every size once and reports the figures.
	Measure func(ctx context.Context, play *Play) error
	// Fit fits the slopes of the experiment to the recorded points.
	Fit func(results *Results) error
	// Check validates counts and packet rates, but never latency, processor time or memory, so that its verdict is
	// reproducible.
	Check func(results *Results) error
}

// sizeCouriers is the number of couriers in the fleet, a size that several experiments share.
const sizeCouriers = "couriers"

// Options control a run of an experiment.
type Options struct {
	Quick    bool  // play the small sizes only, once
	Seed     int64 // seed of the first play; each further play adds 1
	Commit   string
	Command  string
	Courier  string            // path of the courier binary, for experiments with real couriers
	Progress func(text string) // may be nil
}

// Play is one repetition of an experiment in progress.
type Play struct {
	Quick    bool
	Number   int // counted from 0
	Seed     int64
	Courier  string // path of the courier binary
	results  *Results
	progress func(text string)
}

// Report records the value of a figure at the given sizes.
func (p *Play) Report(sizes map[string]float64, figure string, value float64) {
	p.results.add(sizes, figure, value)
}

// ReportMissing records that a figure could not be measured, and why.
func (p *Play) ReportMissing(figure, why string) { p.results.AddMissing(figure, why) }

// Progress passes a progress message to Options.Progress.
func (p *Play) Progress(format string, args ...any) {
	if p.progress != nil {
		p.progress(fmt.Sprintf(format, args...))
	}
}

// Results collects what an experiment recorded in all plays.
type Results struct {
	run     string
	plays   int
	points  map[string]*slopes.Point
	order   []string
	fitted  []slopes.Slope
	missing []slopes.MissingFigure
	// Verified describes how hollow couriers compare with real ones, if the experiment measures that.
	Verified string
}

func (r *Results) add(sizes map[string]float64, figure string, value float64) {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, sizes[name]))
	}
	key := strings.Join(parts, " ")
	point := r.points[key]
	if point == nil {
		point = &slopes.Point{Sizes: maps.Clone(sizes), Values: map[string][]float64{}}
		r.points[key] = point
		r.order = append(r.order, key)
	}
	point.Values[figure] = append(point.Values[figure], value)
}

// AddMissing records that a figure could not be measured, and why. It ignores duplicates.
func (r *Results) AddMissing(figure, why string) {
	gap := slopes.MissingFigure{Figure: figure, Why: why}
	if !slices.Contains(r.missing, gap) {
		r.missing = append(r.missing, gap)
	}
}

// Points returns all points in the order in which they were first recorded.
func (r *Results) Points() []slopes.Point {
	var all []slopes.Point
	for _, key := range r.order {
		all = append(all, *r.points[key])
	}
	return all
}

// Values returns the pairs of a size and a figure recorded at that size, for the points that have the size named over and
// the sizes in where. Further sizes of a point are ignored.
func (r *Results) Values(figure, over string, where map[string]float64) (sizes, figures []float64) {
	recorded := slopes.Run{Points: r.Points()}
	return recorded.Values(figure, over, where)
}

// Curve describes a slope to be fitted.
type Curve struct {
	Name   string // name of the slope without the prefix "RUN.": FIGURE or FIGURE.VARIANT
	Figure string
	About  string
	Unit   string
	Over   string             // name of the size that the figure grows with
	Where  map[string]float64 // sizes that the points must have; further sizes are ignored
	Models []slopes.Model     // candidates, the simplest first
}

// Fit fits a curve to the recorded values. Run does not call it in quick runs, which may have too few sizes.
func (r *Results) Fit(curve Curve) error {
	sizes, figures := r.Values(curve.Figure, curve.Over, curve.Where)
	name := r.run + "." + curve.Name
	if len(sizes) == 0 {
		return fmt.Errorf("%s: no value of %s was recorded", name, curve.Figure)
	}
	fit, err := slopes.Best(sizes, figures, curve.Models...)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(sizes)))
	r.fitted = append(r.fitted, slopes.Slope{Name: name, About: curve.About, Unit: curve.Unit, Over: curve.Over,
		From: distinct[0], To: distinct[len(distinct)-1], Points: len(distinct), Plays: r.plays, Fit: fit,
		Figure: curve.Figure, Where: curve.Where})
	return nil
}

// FitAll fits the curves in order and stops at the first error.
func (r *Results) FitAll(curves []Curve) error {
	for _, curve := range curves {
		if err := r.Fit(curve); err != nil {
			return err
		}
	}
	return nil
}

// Run plays an experiment and returns its results. If it fails or ctx ends, it returns an empty result and the error.
func Run(ctx context.Context, experiment Experiment, o Options) (slopes.Run, error) {
	plays := experiment.Plays
	if o.Quick {
		plays = 1
	}
	begun := time.Now()
	results := &Results{run: experiment.Name, plays: plays, points: map[string]*slopes.Point{}}
	for n := range plays {
		play := &Play{Quick: o.Quick, Number: n, Seed: o.Seed + int64(n), Courier: o.Courier, results: results, progress: func(text string) {
			if o.Progress != nil {
				o.Progress(fmt.Sprintf("%s, play %d of %d: %s", experiment.Name, n+1, plays, text))
			}
		}}
		if err := experiment.Measure(ctx, play); err != nil {
			return slopes.Run{}, fmt.Errorf("%s, play %d: %w", experiment.Name, n+1, err)
		}
		if err := ctx.Err(); err != nil {
			return slopes.Run{}, err
		}
	}
	if experiment.Check != nil {
		if err := experiment.Check(results); err != nil {
			return slopes.Run{}, fmt.Errorf("%s: %w", experiment.Name, err)
		}
	}
	if !o.Quick {
		if err := experiment.Fit(results); err != nil {
			return slopes.Run{}, err
		}
	}
	return slopes.Run{Name: experiment.Name, About: experiment.About, Command: o.Command, Commit: o.Commit, StartedAt: begun.UTC().Format(time.RFC3339),
		Machine: machine(), Quick: o.Quick, Plays: plays, Seconds: time.Since(begun).Seconds(), Points: results.Points(),
		Slopes: results.fitted, Missing: results.missing, Verified: results.Verified}, nil
}
