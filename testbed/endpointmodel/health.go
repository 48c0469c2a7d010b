package endpointmodel

import (
	"container/heap"
	"slices"

	"pineport/dispatch"
)

// StartFault starts a fault at an endpoint.
func (p *Destination) StartFault(now dispatch.Micros, id dispatch.EndpointID, f Fault) []Output {
	p.outputs = nil
	ep := p.endpoints[id]
	if ep == nil || ep.removed {
		return nil
	}
	before := ep.faultEffects
	ep.faults = append(ep.faults, f)
	p.applyFaults(now, ep, before)
	return p.outputs
}

// EndFault ends a fault at an endpoint.
func (p *Destination) EndFault(now dispatch.Micros, id dispatch.EndpointID, faultID int) []Output {
	p.outputs = nil
	ep := p.endpoints[id]
	if ep == nil {
		return nil
	}
	before := ep.faultEffects
	ep.faults = slices.DeleteFunc(ep.faults, func(f Fault) bool { return f.ID == faultID })
	p.applyFaults(now, ep, before)
	return p.outputs
}

// applyFaults updates the endpoint, its calls and its route after a fault started or ended.
func (p *Destination) applyFaults(now dispatch.Micros, ep *endpoint, before faultEffects) {
	ep.updateEffects(ep.route.downUntil > now)
	remaining := 1.0
	for _, other := range ep.route.endpoints {
		for _, f := range other.faults {
			if f.Kind == Shrink {
				remaining = min(remaining, f.Size)
			}
		}
	}
	ep.route.limiter.refill(now)
	ep.route.limiter.remaining = remaining
	switch {
	case ep.refusesConns && !before.refusesConns:
		p.breakCalls(ep)
		ep.openConns = 0
	case ep.silent && !before.silent: // all calls in progress are lost
		ep.unanswered = append(ep.unanswered, ep.active...)
		for _, j := range ep.active {
			j.ended = true
		}
		ep.active, ep.queue, ep.busyWorkers = nil, nil, 0
	case !ep.silent && before.silent: // the host is reachable again and resets all earlier connections
		p.breakCalls(ep)
		ep.openConns = 0
	}
	if before.paused && !ep.paused {
		p.resume(now, ep)
	}
	p.updatePhase(now, ep.route)
}

// resume ends the pause of an endpoint: jobs that came due during the pause end now.
func (p *Destination) resume(now dispatch.Micros, ep *endpoint) {
	for _, j := range ep.active {
		if j.dueWhilePaused > 0 && !j.ended {
			j.dueWhilePaused = 0
			p.schedule(now, j)
		}
	}
}

// updatePhase updates the phase of a route.
func (p *Destination) updatePhase(now dispatch.Micros, rt *route) {
	if rt.downUntil > 0 && now >= rt.downUntil {
		rt.downUntil = 0
		for _, ep := range rt.endpoints {
			ep.updateEffects(false)
		}
	}
	out := rt.isUnavailable()
	switch {
	case out && rt.phase != Outage:
		rt.phase = Outage
		p.emit(PhaseChanged{rt.number, Outage})
	case !out && rt.phase == Outage:
		rt.phase, rt.coldSince, rt.recentCalls = Cold, now, nil
		p.emit(PhaseChanged{rt.number, Cold})
		p.schedulePhaseUpdate(now+p.plan.SlowStart, rt)
	case rt.phase == Cold && now >= rt.coldSince+p.plan.SlowStart:
		rt.phase = Healthy
		p.emit(PhaseChanged{rt.number, Healthy})
	}
}

// overload takes a route down because it received too many calls during its recovery.
func (p *Destination) overload(now dispatch.Micros, rt *route) {
	rt.downUntil = now + p.plan.OverloadDowntime
	for _, ep := range rt.endpoints {
		ep.updateEffects(true)
		p.breakCalls(ep)
		ep.openConns = 0
	}
	p.schedulePhaseUpdate(rt.downUntil, rt)
	p.updatePhase(now, rt)
}

func (p *Destination) schedulePhaseUpdate(at dispatch.Micros, rt *route) {
	p.seq++
	heap.Push(&p.timers, timer{due: at, seq: p.seq, route: rt})
}
