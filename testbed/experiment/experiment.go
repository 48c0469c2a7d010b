// Package experiment runs variants of the decision logic on the same scenarios and seeds, and computes the paired differences between them,
// with bootstrap confidence intervals.
package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"pineport/dispatch"
	"pineport/testbed/baseline"
	"pineport/testbed/invariants"
	"pineport/testbed/realtime"
	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
	"pineport/testbed/wirehost"
)

// Variant is one implementation of the decision logic, with its simulation options.
type Variant struct {
	Name     string
	OpenHost func() (simulation.Host, error)
	simulation.Options
}

// Parse parses a variant: "module", "module:lore", "module:share", "module:share-deaf", "module:share-lossy", "baseline:NAME", or
// "wire:COMMAND" for another build of the decision logic. A prefix NAME= sets the name of the variant; NAME must not contain ":", "/" or a space.
// Without such a prefix, the whole text is the name.
func Parse(text string) (Variant, error) {
	name, spec, hasName := strings.Cut(text, "=")
	if !hasName || strings.ContainsAny(name, ":/ ") {
		name, spec = text, text
	}
	kind, argument, _ := strings.Cut(spec, ":")
	switch kind {
	case "module":
		o, err := moduleOptions(argument)
		return Variant{name, func() (simulation.Host, error) { return simulation.NewLocalHost(nil), nil }, o}, err
	case "baseline":
		if _, ok := baseline.Descriptions()[argument]; !ok {
			return Variant{}, fmt.Errorf("no baseline is named %q; available: %s", argument, strings.Join(baseline.SortedNames(), ", "))
		}
		return Variant{name, func() (simulation.Host, error) {
			return simulation.NewLocalHost(func(_ int, config dispatch.Config) simulation.Decider { return baseline.New(argument, config) }), nil
		}, simulation.Options{}}, nil
	case "wire":
		return Variant{name, func() (simulation.Host, error) { return wirehost.Open(argument) }, simulation.Options{}}, nil
	}
	return Variant{}, fmt.Errorf("%q: expected module, baseline:NAME or wire:COMMAND", text)
}

// moduleOptions returns the simulation options of a "module:" variant. "lore" writes the learned state to a snapshot every second, so that it
// survives restarts; "share" lets couriers share quotas; with "share-deaf" half of the couriers receive no quota
// packets, with "share-lossy" 30 % of these packets are lost.
func moduleOptions(text string) (o simulation.Options, err error) {
	switch text {
	case "":
	case "lore":
		o.SnapshotInterval = 1000 * 1000
	case "share":
		o.Share = simulation.QuotaSharing{Interval: 500 * 1000}
	case "share-deaf":
		o.Share = simulation.QuotaSharing{Interval: 500 * 1000, NoReceiveShare: 0.5}
	case "share-lossy":
		o.Share = simulation.QuotaSharing{Interval: 500 * 1000, Loss: 0.3}
	default:
		err = fmt.Errorf("module:%s: expected module, or module: followed by lore, share, share-deaf or share-lossy", text)
	}
	return o, err
}

// Cell is the result of one run. It is one cell of the grid of scenarios, seeds and variants.
type Cell struct {
	Day     string              `json:"day"`
	Seed    int64               `json:"seed"`
	Variant string              `json:"variant"`
	Verdict *invariants.Verdict `json:"verdict"`
	Stats   simulation.Stats    `json:"stats"`
	Wall    float64             `json:"wall_s"`
	Live    *realtime.Cost      `json:"live,omitempty"` // set for runs on sockets
}

// Plan lists the scenarios, seeds and variants to run. Jobs is the number of concurrent runs.
type Plan struct {
	Days     []*scenario.Definition
	Seeds    []int64
	Variants []Variant
	Jobs     int
	Progress func(done, all int) // called after each run, never concurrently
}

// Run runs every variant on every scenario with every seed, at most Jobs of them concurrently. It returns the cells ordered by scenario, seed
// and variant.
func Run(ctx context.Context, p Plan) ([]Cell, error) {
	cells := make([]Cell, len(p.Days)*len(p.Seeds)*len(p.Variants))
	var mu sync.Mutex
	done := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, p.Jobs))
	for i := range cells {
		variant, rest := p.Variants[i%len(p.Variants)], i/len(p.Variants)
		seed, d := p.Seeds[rest%len(p.Seeds)], p.Days[rest/len(p.Seeds)]
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			c, err := RunOne(d, seed, variant)
			if err != nil {
				return fmt.Errorf("%s, seed %d, %s: %w", d.Name, seed, variant.Name, err)
			}
			cells[i] = c
			mu.Lock()
			defer mu.Unlock()
			if done++; p.Progress != nil {
				p.Progress(done, len(cells))
			}
			return nil
		})
	}
	return cells, group.Wait()
}

// RunOne runs one scenario once.
func RunOne(d *scenario.Definition, seed int64, v Variant) (c Cell, err error) {
	host, err := v.OpenHost()
	if err != nil {
		return Cell{}, err
	}
	defer host.Close()
	c = Cell{Day: d.Name, Seed: seed, Variant: v.Name}
	began := time.Now()
	c.Verdict, c.Stats, err = simulation.Play(scenario.Draw(d, seed), host, v.Options)
	c.Wall = time.Since(began).Seconds()
	return c, err
}

// PairedDifference is the difference between a variant and the base variant on the same scenarios and seeds.
type PairedDifference struct {
	Day     string  `json:"day"` // "all" for the combination of all scenarios
	Variant string  `json:"variant"`
	Pairs   int     `json:"pairs"`
	Base    float64 `json:"base"` // mean of the base variant
	Mean    float64 `json:"mean"` // mean of this variant
	Diff    float64 `json:"diff"`
	Low     float64 `json:"low"` // 95 % interval of the difference
	High    float64 `json:"high"`
	Broken  int     `json:"broken"` // number of runs with a violated invariant
}

// bootstrapResamples is the number of bootstrap resamples: enough that the bounds of a 95 % interval vary little between random seeds.
const bootstrapResamples = 4000

// Compare compares each variant with the variant named base, per scenario and over all scenarios. The function figure selects the compared
// value.
func Compare(cells []Cell, base string, figure func(*invariants.Verdict) float64) []PairedDifference {
	type key struct {
		day  string
		seed int64
	}
	baseCells := map[key]Cell{}
	var days, variants []string
	for _, c := range cells {
		if c.Variant == base {
			baseCells[key{c.Day, c.Seed}] = c
		}
		if !slices.Contains(days, c.Day) {
			days = append(days, c.Day)
		}
		if !slices.Contains(variants, c.Variant) && c.Variant != base {
			variants = append(variants, c.Variant)
		}
	}
	var rows []PairedDifference
	for _, d := range append(days, "all") {
		for _, v := range variants {
			row := PairedDifference{Day: d, Variant: v}
			var a, b, diffs []float64
			for _, c := range cells {
				baseCell, ok := baseCells[key{c.Day, c.Seed}]
				if c.Variant != v || d != "all" && c.Day != d || !ok {
					continue
				}
				a, b = append(a, figure(baseCell.Verdict)), append(b, figure(c.Verdict))
				diffs = append(diffs, figure(c.Verdict)-figure(baseCell.Verdict))
				if !c.Verdict.OK() {
					row.Broken++
				}
			}
			if row.Pairs = len(diffs); row.Pairs > 0 {
				row.Base, row.Mean, row.Diff = stat.Mean(a, nil), stat.Mean(b, nil), stat.Mean(diffs, nil)
				row.Low, row.High = Bootstrap(diffs)
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// Bootstrap returns the 95 % confidence interval of the mean of values, computed by resampling. The result is reproducible:
// the random seed depends only on the number of values.
func Bootstrap(values []float64) (low, high float64) {
	if len(values) == 0 {
		return 0, 0
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		for range values {
			means[i] += values[rng.IntN(len(values))]
		}
		means[i] /= float64(len(values))
	}
	slices.SortFunc(means, cmp.Compare)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
