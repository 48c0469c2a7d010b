package endpointmodel

import (
	"math/rand/v2"

	"pineport/dispatch"
)

// route is what a limit, an outage and a return belong to: a destination, or each endpoint apart.
type route struct {
	number      int
	plan        *Plan
	limiter     limiter
	endpoints   []*endpoint
	phase       Phase
	coldSince   dispatch.Micros
	downUntil   dispatch.Micros // down from a fall until then
	recentCalls []arrival       // of the last FallSpan of a return
}

type arrival struct {
	at      dispatch.Micros
	courier int
}

func newRoute(no int, plan *Plan, rng *rand.Rand) *route {
	return &route{number: no, plan: plan, limiter: limiter{limit: plan.Limit, rng: rng, remaining: 1, reportEvery: plan.ReportEvery,
		reportNoise: plan.ReportNoise, tokens: max(1, plan.Limit.PerSec/2)}}
}

// out tells whether every endpoint of the route has an outage.
func (r *route) isUnavailable() bool {
	for _, ep := range r.endpoints {
		if !ep.removed && !ep.outage {
			return false
		}
	}
	return len(r.endpoints) > 0
}

// warm is the share of its capacity that the route has.
func (r *route) warmShare(now dispatch.Micros) float64 {
	if r.phase != Cold || r.plan.Ramp <= 0 {
		return 1
	}
	ramped := float64(now-r.coldSince) / float64(r.plan.Ramp)
	return min(1, r.plan.ColdFrom+(1-r.plan.ColdFrom)*ramped)
}

// capacity is what all endpoints of the route that are up serve in a second.
func (r *route) capacity(now dispatch.Micros) float64 {
	n := 0
	for _, ep := range r.endpoints {
		if !ep.removed && !ep.outage {
			n++
		}
	}
	return float64(n) * r.plan.Capacity() * r.warmShare(now)
}

// slack is what chance may add to a fair load before a route falls over.
const overloadSlack = 3

// press counts a call at a cold route and tells whether it falls over.
func (r *route) countCall(now dispatch.Micros, courier int) (sent map[int]float64, since dispatch.Micros, overloaded bool) {
	if r.phase != Cold || r.plan.Fall <= 0 {
		return nil, 0, false
	}
	r.recentCalls = append(r.recentCalls, arrival{now, courier})
	first := 0
	for now-r.recentCalls[first].at > r.plan.FallSpan {
		first++
	}
	r.recentCalls = r.recentCalls[first:]
	if float64(len(r.recentCalls)) <= r.plan.Fall*r.capacity(now)*float64(r.plan.FallSpan)/1e6+overloadSlack {
		return nil, 0, false
	}
	sent = map[int]float64{}
	for _, a := range r.recentCalls {
		sent[a.courier]++
	}
	return sent, r.recentCalls[0].at, true
}
