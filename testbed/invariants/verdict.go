package invariants

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pineport/dispatch"
)

// Counts are the numbers of events in a run.
type Counts struct {
	Offered        int `json:"offered"` // messages, without repeated submissions
	Accepted       int `json:"taken"`   // accepted messages, including repeated submissions
	Delivered      int `json:"done"`
	Rejected       int `json:"bounced"`
	Failed         int `json:"terminated"`
	Lost           int `json:"lost"` // messages that got no final answer
	Attempts       int `json:"trips"`
	Throttled      int `json:"full"`
	Failures       int `json:"failures"`
	TimedOut       int `json:"timed_out"`
	Unreachable    int `json:"unreachable"`
	Broken         int `json:"broken"`
	Canceled       int `json:"withdrawn"` // canceled attempts
	Unprocessed    int `json:"void"`
	Handshakes     int `json:"handshakes"`
	Effects        int `json:"effects"`
	Repeats        int `json:"repeats"` // further effects of messages whose repeats the destination did not recognize
	RouteOverloads int `json:"falls"`   // overloads of recovering routes
}

func (c *Counts) countOutcome(o dispatch.Outcome) {
	switch o {
	case dispatch.Throttled:
		c.Throttled++
	case dispatch.Failure:
		c.Failures++
	case dispatch.TimedOut:
		c.TimedOut++
	case dispatch.Unreachable:
		c.Unreachable++
	case dispatch.Broken:
		c.Broken++
	case dispatch.Canceled:
		c.Canceled++
	case dispatch.Unprocessed:
		c.Unprocessed++
	}
}

// Verdict is the result of a run.
type Verdict struct {
	Score         float64            `json:"figure"`       // 0 if a rule was broken
	ServiceScore  float64            `json:"service"`      // weighted mean of the earned shares: whole run, worst window, worst class, worst tenant
	Overall       float64            `json:"whole"`        // share of the offered value that was earned in the run
	WorstWindow   float64            `json:"worst_window"` // the same share in the worst 10 s
	WorstWindowAt float64            `json:"worst_window_at_s"`
	ClassShares   map[string]float64 `json:"workloads"`
	TenantShares  map[string]float64 `json:"parties,omitempty"`
	Costs         float64            `json:"costs"`
	Counts        Counts             `json:"counts"`
	BreachCounts  map[Rule]int       `json:"broken,omitempty"`
	Breaches      []Breach           `json:"breaches,omitempty"`
	Latency       []Latency          `json:"latency"`
	InvalidReason string             `json:"void,omitempty"` // why the result cannot be used; empty if it can
	Series        *Series            `json:"-"`
}

// OK reports whether all rules were kept.
func (v *Verdict) OK() bool { return len(v.BreachCounts) == 0 }

// Short returns a one-line summary.
func (v *Verdict) Short() string {
	if v.InvalidReason != "" {
		return "invalid run: " + v.InvalidReason
	}
	if v.OK() {
		return "rules kept"
	}
	var parts []string
	for _, r := range Rules() {
		if n := v.BreachCounts[r]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s: broken %d times", r, n))
		}
	}
	return strings.Join(parts, "; ")
}

const worstWindowSpan = 10 * 1000 * 1000

// Finish makes the final checks at the end of a run and returns the result.
func (l *Ledger) Finish(end dispatch.Micros) *Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkOverdue(end)
	v := &Verdict{Counts: l.counts, ClassShares: map[string]float64{}, TenantShares: map[string]float64{}, BreachCounts: map[Rule]int{},
		Latency: l.latency.table(), Series: l.series.finish(l, end)}
	var overall valueSum
	classes, tenants := make([]valueSum, len(l.setup.Classes)), make([]valueSum, len(l.setup.Tenants))
	const half = worstWindowSpan / 2
	halves := make([]valueSum, int(l.setup.Length/half)+2)
	for _, o := range l.originOrder {
		for _, s := range []*valueSum{&overall, &classes[o.class], &halves[min(int(o.at/half), len(halves)-1)]} {
			s.add(o)
		}
		if o.tenant < len(tenants) && o.value > 0 && o.value >= l.setup.Classes[o.class].Priority {
			tenants[o.tenant].add(o) // within the quota of the tenant
		}
	}
	v.Overall, v.WorstWindow = overall.share(), overall.share()
	for i := 0; i+1 < len(halves); i++ {
		pair := valueSum{halves[i].offered + halves[i+1].offered, halves[i].earned + halves[i+1].earned}
		// Windows with less than 5 % of the average offered value are not considered.
		if s := pair.share(); s < v.WorstWindow && pair.offered > 0.05*overall.offered*worstWindowSpan/float64(max(worstWindowSpan, l.setup.Length)) {
			v.WorstWindow, v.WorstWindowAt = s, float64(i)*half/1e6
		}
	}
	lowestShare := func(name func(int) string, sums []valueSum, shares map[string]float64) float64 {
		lowest := math.Inf(1)
		for i, s := range sums {
			if s.offered > 0 {
				shares[name(i)] = s.share()
				lowest = min(lowest, s.share())
			}
		}
		if math.IsInf(lowest, 1) {
			return v.Overall
		}
		return lowest
	}
	worstClass := lowestShare(func(i int) string { return l.setup.Classes[i].Name }, classes, v.ClassShares)
	worstTenant := lowestShare(func(i int) string { return l.setup.Tenants[i] }, tenants, v.TenantShares)
	g := l.setup.ScoreWeights
	v.ServiceScore = (g.Overall*v.Overall + g.WorstWindow*v.WorstWindow + g.WorstClass*worstClass + g.WorstTenant*worstTenant) / (g.Overall + g.WorstWindow + g.WorstClass + g.WorstTenant)
	offered, p := float64(max(1, l.counts.Offered)), l.setup.Prices
	wasted := float64(max(0, l.counts.Attempts-l.counts.Unprocessed-l.counts.Delivered)) // attempts without a delivery
	v.Costs = (p.Waste*wasted + p.Handshake*float64(l.counts.Handshakes) + p.Refused*float64(l.counts.Throttled)) / offered
	v.Score = v.ServiceScore - v.Costs
	for _, r := range Rules() {
		if b := l.breaches[r]; b != nil {
			v.BreachCounts[r] = b.count
			v.Breaches = append(v.Breaches, b.first...)
			v.Score = 0
		}
	}
	return v
}

type valueSum struct{ offered, earned float64 }

func (s *valueSum) add(o *origin) { s.offered, s.earned = s.offered+o.value, s.earned+o.earned }
func (s valueSum) share() float64 {
	if s.offered <= 0 {
		return 1
	}
	return s.earned / s.offered
}

// Latency is the distribution of the time between the planned submission and the delivery of the messages of a class.
type Latency struct {
	Class string  `json:"workload"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P90   float64 `json:"p90_s"`
	P99   float64 `json:"p99_s"`
	P999  float64 `json:"p999_s"`
	Max   float64 `json:"max_s"`
}

type latencies struct {
	names []string
	all   []*hdrhistogram.Histogram
}

// newLatencies returns histograms for values from 0.1 ms to one hour, with three significant digits.
func newLatencies(classes []Class) latencies {
	var l latencies
	for _, w := range classes {
		l.names = append(l.names, w.Name)
		l.all = append(l.all, hdrhistogram.New(100, 3600*1000*1000, 3))
	}
	return l
}

func (l *latencies) record(class int, latency dispatch.Micros) {
	_ = l.all[class].RecordValue(min(max(100, int64(latency)), 3600*1000*1000)) // no error: the value is within the bounds of the histogram
}

func (l *latencies) table() (rows []Latency) {
	for i, h := range l.all {
		q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
		rows = append(rows, Latency{l.names[i], h.TotalCount(), q(50), q(90), q(99), q(99.9), float64(h.Max()) / 1e6})
	}
	return rows
}
