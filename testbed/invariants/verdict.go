package invariants

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pineport/dispatch"
)

// Counts are sums over a day.
type Counts struct {
	Offered        int `json:"offered"` // messages, first tries
	Accepted       int `json:"taken"`
	Delivered      int `json:"done"`
	Rejected       int `json:"bounced"`
	Failed         int `json:"terminated"`
	Lost           int `json:"lost"`
	Attempts       int `json:"trips"`
	Throttled      int `json:"full"`
	Failures       int `json:"failures"`
	TimedOut       int `json:"timed_out"`
	Unreachable    int `json:"unreachable"`
	Broken         int `json:"broken"`
	Canceled       int `json:"withdrawn"`
	Unprocessed    int `json:"void"`
	Handshakes     int `json:"handshakes"`
	Effects        int `json:"effects"`
	Repeats        int `json:"repeats"` // effects that were not the first and not dropped
	RouteOverloads int `json:"falls"`
}

func (c *Counts) settle(o dispatch.Outcome) {
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

// Verdict is the judgement of a day.
type Verdict struct {
	Score         float64            `json:"figure"` // 0 where a rule broke
	ServiceScore  float64            `json:"service"`
	Overall       float64            `json:"whole"`
	WorstWindow   float64            `json:"worst_window"`
	WorstWindowAt float64            `json:"worst_window_at_s"`
	ClassShares   map[string]float64 `json:"workloads"`
	Tenant        map[string]float64 `json:"parties,omitempty"`
	Costs         float64            `json:"costs"`
	Counts        Counts             `json:"counts"`
	BreachCounts  map[Rule]int       `json:"broken,omitempty"`
	Breaches      []Breach           `json:"breaches,omitempty"`
	Latency       []Latency          `json:"latency"`
	InvalidReason string             `json:"void,omitempty"` // why the run does not count
	Series        *Series            `json:"-"`
}

// OK tells whether all rules were kept.
func (v *Verdict) OK() bool { return len(v.BreachCounts) == 0 }

// Short is the verdict in a few words.
func (v *Verdict) Short() string {
	if v.InvalidReason != "" {
		return "does not count: " + v.InvalidReason
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

const windowSpan = 10 * 1000 * 1000

// Finish closes the books at the end of a day.
func (l *Ledger) Finish(end dispatch.Micros) *Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overdue(end)
	v := &Verdict{Counts: l.counts, ClassShares: map[string]float64{}, Tenant: map[string]float64{}, BreachCounts: map[Rule]int{},
		Latency: l.latency.table(), Series: l.series.finish(l, end)}
	var whole sum
	works, tenants := make([]sum, len(l.setup.Classes)), make([]sum, len(l.setup.Tenants))
	const half = windowSpan / 2
	halves := make([]sum, int(l.setup.Length/half)+2)
	for _, o := range l.order {
		for _, s := range []*sum{&whole, &works[o.work], &halves[min(int(o.at/half), len(halves)-1)]} {
			s.add(o)
		}
		if o.tenant < len(tenants) && o.value > 0 && o.value >= l.setup.Classes[o.work].Priority {
			tenants[o.tenant].add(o) // within its share
		}
	}
	v.Overall, v.WorstWindow = whole.share(), whole.share()
	for i := 0; i+1 < len(halves); i++ {
		pair := sum{halves[i].asked + halves[i+1].asked, halves[i].won + halves[i+1].won}
		if s := pair.share(); s < v.WorstWindow && pair.asked > 0.05*whole.asked*windowSpan/float64(max(windowSpan, l.setup.Length)) {
			v.WorstWindow, v.WorstWindowAt = s, float64(i)*half/1e6
		}
	}
	least := func(names func(int) string, sums []sum, into map[string]float64) float64 {
		low := math.Inf(1)
		for i, s := range sums {
			if s.asked > 0 {
				into[names(i)] = s.share()
				low = min(low, s.share())
			}
		}
		if math.IsInf(low, 1) {
			return v.Overall
		}
		return low
	}
	worstWork := least(func(i int) string { return l.setup.Classes[i].Name }, works, v.ClassShares)
	worstTenant := least(func(i int) string { return l.setup.Tenants[i] }, tenants, v.Tenant)
	g := l.setup.Goal
	v.ServiceScore = (g.Overall*v.Overall + g.WorstWindow*v.WorstWindow + g.Class*worstWork + g.Tenant*worstTenant) / (g.Overall + g.WorstWindow + g.Class + g.Tenant)
	offered, p := float64(max(1, l.counts.Offered)), l.setup.Prices
	wasted := float64(max(0, l.counts.Attempts-l.counts.Unprocessed-l.counts.Delivered))
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

type sum struct{ asked, won float64 }

func (s *sum) add(o *origin) { s.asked, s.won = s.asked+o.value, s.won+o.won }
func (s sum) share() float64 {
	if s.asked <= 0 {
		return 1
	}
	return s.won / s.asked
}

// Latency is how long delivery took, from the instant a message was due to be submitted.
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

// newLatencies keeps from a tenth of a millisecond to an hour, to three digits.
func newLatencies(works []Class) latencies {
	var l latencies
	for _, w := range works {
		l.names = append(l.names, w.Name)
		l.all = append(l.all, hdrhistogram.New(100, 3600*1000*1000, 3))
	}
	return l
}

func (l *latencies) note(work int, took dispatch.Micros) {
	_ = l.all[work].RecordValue(min(max(100, int64(took)), 3600*1000*1000)) // always within its bounds
}

func (l *latencies) table() (rows []Latency) {
	for i, h := range l.all {
		q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
		rows = append(rows, Latency{l.names[i], h.TotalCount(), q(50), q(90), q(99), q(99.9), float64(h.Max()) / 1e6})
	}
	return rows
}
