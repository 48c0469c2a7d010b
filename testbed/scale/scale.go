// Package scale measures how the courier's cost and knowledge grow with the size of its fleet: hollow couriers that run the
// real decisions, membership, sharing and configuration code in one process, with stand-ins in memory for clients, endpoints,
// disk and sockets. Each experiment is a file of its own; this one plays them and keeps what they message.
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
	Name  string // as in pineport-testbed scale NAME
	About string // what is played, in one sentence
	Plays int    // how often each size is played in full; a quick run plays it once
	// Timed experiments measure processor time: nothing else should run on the machine.
	Timed bool
	// UsesRealCouriers experiments play real couriers beside hollow ones, in full runs.
	UsesRealCouriers bool
	// Measure plays every size once and messages what it found.
	Measure func(ctx context.Context, play *Play) error
	// Fit says which slopes the recorded points make.
	Fit func(results *Results) error
	// Check judges a run by what it counted, never by what it timed, so that its verdict is the same each time.
	Check func(results *Results) error
}

// sizeCouriers is the size that several experiments have in common: how many couriers the fleet has.
const sizeCouriers = "couriers"

// Options are how an experiment is played.
type Options struct {
	Quick    bool  // the small sizes, once
	Seed     int64 // of the first play; each further play takes the next
	Commit   string
	Command  string
	Courier  string            // path of the courier's binary, for experiments with real couriers
	Progress func(text string) // may be nil
}

// Play is one play of an experiment under way.
type Play struct {
	Quick   bool
	Number  int // from 0
	Seed    int64
	Courier string // path of the courier's binary
	results *Results
	tell    func(text string)
}

// Report keeps a figure measured at a size.
func (p *Play) Report(sizes map[string]float64, figure string, value float64) {
	p.results.add(sizes, figure, value)
}

// Miss notes that a figure could not be measured, and why.
func (p *Play) Miss(figure, why string) { p.results.Miss(figure, why) }

// Progress tells how far the play has come.
func (p *Play) Progress(format string, args ...any) {
	if p.tell != nil {
		p.tell(fmt.Sprintf(format, args...))
	}
}

// Results are what an experiment recorded over all its plays.
type Results struct {
	run   string
	plays int
	point map[string]*slopes.Point
	order []string
	fits  []slopes.Slope
	gaps  []slopes.Gap
	// Verified says how hollow couriers compare with real ones, where the experiment measures that.
	Verified string
}

func (r *Results) add(sizes map[string]float64, figure string, value float64) {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, sizes[name]))
	}
	key := strings.Join(parts, " ")
	point := r.point[key]
	if point == nil {
		point = &slopes.Point{Sizes: maps.Clone(sizes), Values: map[string][]float64{}}
		r.point[key] = point
		r.order = append(r.order, key)
	}
	point.Values[figure] = append(point.Values[figure], value)
}

// Miss notes that a figure could not be measured, and why.
func (r *Results) Miss(figure, why string) {
	gap := slopes.Gap{Figure: figure, Why: why}
	if !slices.Contains(r.gaps, gap) {
		r.gaps = append(r.gaps, gap)
	}
}

// Points are all sizes in the order in which they were first recorded.
func (r *Results) Points() []slopes.Point {
	var all []slopes.Point
	for _, key := range r.order {
		all = append(all, *r.point[key])
	}
	return all
}

// Values are all pairs of a size and a figure recorded there, over the points that have this size and whose other sizes are as given.
func (r *Results) Values(figure, over string, where map[string]float64) (sizes, figures []float64) {
	recorded := slopes.Run{Points: r.Points()}
	return recorded.Values(figure, over, where)
}

// Curve is a slope to be fitted.
type Curve struct {
	Name   string // after RUN. and before nothing: FIGURE or FIGURE.VARIANT
	Figure string
	About  string
	Unit   string
	Over   string             // the size it grows with
	Where  map[string]float64 // the other sizes
	Models []slopes.Model     // the simplest first
}

// Fit fits a curve to what was recorded. In a quick run, whose sizes may be too few, a curve that cannot be fitted is left out.
func (r *Results) Fit(curve Curve) error {
	sizes, figures := r.Values(curve.Figure, curve.Over, curve.Where)
	name := r.run + "." + curve.Name
	if len(sizes) == 0 {
		return fmt.Errorf("%s: nothing was recorded as %s", name, curve.Figure)
	}
	fit, err := slopes.Best(sizes, figures, curve.Models...)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	different := slices.Compact(slices.Sorted(slices.Values(sizes)))
	r.fits = append(r.fits, slopes.Slope{Name: name, About: curve.About, Unit: curve.Unit, Over: curve.Over,
		From: different[0], To: different[len(different)-1], Points: len(different), Plays: r.plays, Fit: fit,
		Figure: curve.Figure, Where: curve.Where})
	return nil
}

// FitAll fits curves one after the other, up to the first that cannot be fitted.
func (r *Results) FitAll(curves []Curve) error {
	for _, curve := range curves {
		if err := r.Fit(curve); err != nil {
			return err
		}
	}
	return nil
}

// Run plays an experiment and returns what it measured. A run that was stopped or failed returns no half of it.
func Run(ctx context.Context, experiment Experiment, o Options) (slopes.Run, error) {
	plays := experiment.Plays
	if o.Quick {
		plays = 1
	}
	begun := time.Now()
	results := &Results{run: experiment.Name, plays: plays, point: map[string]*slopes.Point{}}
	for n := range plays {
		play := &Play{Quick: o.Quick, Number: n, Seed: o.Seed + int64(n), Courier: o.Courier, results: results, tell: func(text string) {
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
		Slopes: results.fits, Missing: results.gaps, Verified: results.Verified}, nil
}
