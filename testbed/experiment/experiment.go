// Package experiment plays variants of the decisions against the same days and seeds, and says how far they differ: in
// pairs, with intervals from a bootstrap over the pairs.
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

// Variant is one way to decide.
type Variant struct {
	Name string
	Open func() (simulation.Host, error)
	simulation.Options
}

// Parse reads a variant: "module", "module:learned state", "module:share", "baseline:NAME", or "wire:COMMAND" for another build, each with NAME= before it if it
// is to be called otherwise.
func Parse(text string) (Variant, error) {
	name, what, named := strings.Cut(text, "=")
	if !named || strings.ContainsAny(name, ":/ ") {
		name, what = text, text
	}
	kind, rest, _ := strings.Cut(what, ":")
	switch kind {
	case "module":
		o, err := options(rest)
		return Variant{name, func() (simulation.Host, error) { return simulation.NewLocalHost(nil), nil }, o}, err
	case "baseline":
		if _, ok := baseline.Names()[rest]; !ok {
			return Variant{}, fmt.Errorf("no baseline has the name %q; there are %s", rest, strings.Join(baseline.Sorted(), ", "))
		}
		return Variant{name, func() (simulation.Host, error) {
			return simulation.NewLocalHost(func(_ int, ch dispatch.Config) simulation.Decider { return baseline.New(rest, ch) }), nil
		}, simulation.Options{}}, nil
	case "wire":
		return Variant{name, func() (simulation.Host, error) { return wirehost.Open(rest) }, simulation.Options{}}, nil
	}
	return Variant{}, fmt.Errorf("%q: module, baseline:NAME or wire:COMMAND was expected", text)
}

// options of the module as a variant: "learned state" keeps what couriers learned over their restarts, once a second; "share" has them share
// limits, "share-deaf" while half of them hear nothing, "share-lossy" while 30 in 100 packets are lost.
func options(text string) (o simulation.Options, err error) {
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
		err = fmt.Errorf("module:%s: module, or module: with lore, share, share-deaf or share-lossy was expected", text)
	}
	return o, err
}

// Cell is one day, played once.
type Cell struct {
	Day     string              `json:"day"`
	Seed    int64               `json:"seed"`
	Variant string              `json:"variant"`
	Verdict *invariants.Verdict `json:"verdict"`
	Stats   simulation.Stats    `json:"stats"`
	Wall    float64             `json:"wall_s"`
	Live    *realtime.Cost      `json:"live,omitempty"` // on sockets
}

// Plan is what is to be played.
type Plan struct {
	Days     []*scenario.Definition
	Seeds    []int64
	Variants []Variant
	Jobs     int
	Progress func(done, all int) // from one goroutine at a time
}

// Run plays every variant on every day with every seed, side by side, and returns the cells in order.
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
			c, err := One(d, seed, variant)
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

// One plays one day once.
func One(d *scenario.Definition, seed int64, v Variant) (c Cell, err error) {
	host, err := v.Open()
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

// Paired is how far a variant differs from the first on the same days and seeds.
type Paired struct {
	Day     string  `json:"day"` // "all" for all of them
	Variant string  `json:"variant"`
	Pairs   int     `json:"pairs"`
	Base    float64 `json:"base"`
	Mean    float64 `json:"mean"`
	Diff    float64 `json:"diff"`
	Low     float64 `json:"low"` // 95 % interval of the difference
	High    float64 `json:"high"`
	Broken  int     `json:"broken"` // runs in which a rule broke
}

// resamples of the bootstrap: enough that the bounds of a 95 % interval move by little from seed to seed.
const resamples = 4000

// Compare holds each variant against the first, day by day and over all. Figure picks what is compared.
func Compare(cells []Cell, base string, figure func(*invariants.Verdict) float64) []Paired {
	type key struct {
		day  string
		seed int64
	}
	first := map[key]Cell{}
	var days, variants []string
	for _, c := range cells {
		if c.Variant == base {
			first[key{c.Day, c.Seed}] = c
		}
		if !slices.Contains(days, c.Day) {
			days = append(days, c.Day)
		}
		if !slices.Contains(variants, c.Variant) && c.Variant != base {
			variants = append(variants, c.Variant)
		}
	}
	var rows []Paired
	for _, d := range append(days, "all") {
		for _, v := range variants {
			row := Paired{Day: d, Variant: v}
			var a, b, diffs []float64
			for _, c := range cells {
				f, ok := first[key{c.Day, c.Seed}]
				if c.Variant != v || d != "all" && c.Day != d || !ok {
					continue
				}
				a, b = append(a, figure(f.Verdict)), append(b, figure(c.Verdict))
				diffs = append(diffs, figure(c.Verdict)-figure(f.Verdict))
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

// Bootstrap is the 95 % interval of the mean of some values, by resampling; its chance is fixed.
func Bootstrap(values []float64) (low, high float64) {
	if len(values) == 0 {
		return 0, 0
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[rng.IntN(len(values))]
		}
		means[i] /= float64(len(values))
	}
	slices.SortFunc(means, cmp.Compare)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
