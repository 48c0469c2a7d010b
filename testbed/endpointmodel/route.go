package endpointmodel

import (
	"math/rand/v2"

	"pineport/dispatch"
)

// route is a set of endpoints that share a limit, an outage and a recovery: all endpoints of the destination, or a single
// endpoint if Plan.SeparateRoutes is set.
type route struct {
	number      int
	plan        *Plan
	limiter     limiter
	endpoints   []*endpoint
	phase       RoutePhase
	coldSince   dispatch.Micros
	downUntil   dispatch.Micros // end of the downtime after an overload; 0: the route is not down because of one
	recentCalls []arrival       // calls of the last OverloadWindow during a recovery
}

type arrival struct {
	at      dispatch.Micros
	courier int
}

func newRoute(number int, plan *Plan, rng *rand.Rand) *route {
	return &route{number: number, plan: plan, limiter: limiter{limit: plan.Limit, rng: rng, remaining: 1, reportEvery: plan.ReportEvery,
		reportNoise: plan.ReportNoise, tokens: max(1, plan.Limit.PerSec/2)}}
}

// isUnavailable reports whether every endpoint of the route that has not been removed has an outage.
func (r *route) isUnavailable() bool {
	for _, ep := range r.endpoints {
		if !ep.removed && !ep.outage {
			return false
		}
	}
	return len(r.endpoints) > 0
}

// warmShare returns the share of its full capacity that the route has at the time now.
func (r *route) warmShare(now dispatch.Micros) float64 {
	if r.phase != Cold || r.plan.SlowStart <= 0 {
		return 1
	}
	ramped := float64(now-r.coldSince) / float64(r.plan.SlowStart)
	return min(1, r.plan.SlowStartInitialShare+(1-r.plan.SlowStartInitialShare)*ramped)
}

// capacity returns the number of calls per second that the available endpoints of the route can serve together.
func (r *route) capacity(now dispatch.Micros) float64 {
	n := 0
	for _, ep := range r.endpoints {
		if !ep.removed && !ep.outage {
			n++
		}
	}
	return float64(n) * r.plan.Capacity() * r.warmShare(now)
}

// overloadSlack is the number of calls beyond the permitted load that do not yet count as an overload, because arrivals vary at random.
const overloadSlack = 3

// countCall counts a call to a cold route and reports whether the call overloads the route. In that case it also returns the
// number of recent calls from each courier and the time of the first of them.
func (r *route) countCall(now dispatch.Micros, courier int) (sent map[int]float64, since dispatch.Micros, overloaded bool) {
	if r.phase != Cold || r.plan.OverloadFactor <= 0 {
		return nil, 0, false
	}
	r.recentCalls = append(r.recentCalls, arrival{now, courier})
	first := 0
	for now-r.recentCalls[first].at > r.plan.OverloadWindow {
		first++
	}
	r.recentCalls = r.recentCalls[first:]
	if float64(len(r.recentCalls)) <= r.plan.OverloadFactor*r.capacity(now)*float64(r.plan.OverloadWindow)/1e6+overloadSlack {
		return nil, 0, false
	}
	sent = map[int]float64{}
	for _, a := range r.recentCalls {
		sent[a.courier]++
	}
	return sent, r.recentCalls[0].at, true
}
