package endpointmodel

import (
	"math/rand/v2"

	"pineport/dispatch"
)

// route is what a limit, an outage and a return belong to: a destination, or each endpoint apart.
type route struct {
	no        int
	plan      *Plan
	meter     meter
	endpoints []*endpoint
	phase     Phase
	coldSince dispatch.Micros
	fellTo    dispatch.Micros // down from a fall until then
	load      []arrival       // of the last OverloadWindow of a return
}

type arrival struct {
	at      dispatch.Micros
	courier int
}

func newRoute(no int, plan *Plan, rng *rand.Rand) *route {
	return &route{no: no, plan: plan, meter: meter{limit: plan.Limit, rng: rng, shrunk: 1, every: plan.ReportEvery,
		noise: plan.ReportNoise, tokens: max(1, plan.Limit.PerSec/2)}}
}

// out tells whether every endpoint of the route has an outage.
func (r *route) out() bool {
	for _, ep := range r.endpoints {
		if !ep.gone && !ep.outage {
			return false
		}
	}
	return len(r.endpoints) > 0
}

// warm is the share of its capacity that the route has.
func (r *route) warm(now dispatch.Micros) float64 {
	if r.phase != Cold || r.plan.SlowStart <= 0 {
		return 1
	}
	passed := float64(now-r.coldSince) / float64(r.plan.SlowStart)
	return min(1, r.plan.SlowStartInitialShare+(1-r.plan.SlowStartInitialShare)*passed)
}

// capacity is what all endpoints of the route that are up serve in a second.
func (r *route) capacity(now dispatch.Micros) float64 {
	n := 0
	for _, ep := range r.endpoints {
		if !ep.gone && !ep.outage {
			n++
		}
	}
	return float64(n) * r.plan.Capacity() * r.warm(now)
}

// slack is what chance may add to a fair load before a route falls over.
const slack = 3

// press counts a call at a cold route and tells whether it falls over.
func (r *route) press(now dispatch.Micros, courier int) (sent map[int]float64, since dispatch.Micros, falls bool) {
	if r.phase != Cold || r.plan.OverloadFactor <= 0 {
		return nil, 0, false
	}
	r.load = append(r.load, arrival{now, courier})
	from := 0
	for now-r.load[from].at > r.plan.OverloadWindow {
		from++
	}
	r.load = r.load[from:]
	if float64(len(r.load)) <= r.plan.OverloadFactor*r.capacity(now)*float64(r.plan.OverloadWindow)/1e6+slack {
		return nil, 0, false
	}
	sent = map[int]float64{}
	for _, a := range r.load {
		sent[a.courier]++
	}
	return sent, r.load[0].at, true
}
