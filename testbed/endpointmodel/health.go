package endpointmodel

import (
	"container/heap"
	"slices"

	"pineport/dispatch"
)

// StartFault lets a fault begin at an endpoint.
func (p *Destination) StartFault(now dispatch.Micros, id dispatch.EndpointID, s Fault) []Output {
	p.out = nil
	ep := p.endpoints[id]
	if ep == nil || ep.gone {
		return nil
	}
	before := ep.ill
	ep.faults = append(ep.faults, s)
	p.changed(now, ep, before)
	return p.out
}

// EndFault ends a trouble at an endpoint.
func (p *Destination) EndFault(now dispatch.Micros, id dispatch.EndpointID, fault int) []Output {
	p.out = nil
	ep := p.endpoints[id]
	if ep == nil {
		return nil
	}
	before := ep.ill
	ep.faults = slices.DeleteFunc(ep.faults, func(s Fault) bool { return s.ID == fault })
	p.changed(now, ep, before)
	return p.out
}

// changed carries out what new or ended faults mean for what is in hand.
func (p *Destination) changed(now dispatch.Micros, ep *endpoint, before ill) {
	ep.diagnose(ep.route.fellTo > now)
	shrunk := 1.0
	for _, other := range ep.route.endpoints {
		for _, s := range other.faults {
			if s.Kind == Shrink {
				shrunk = min(shrunk, s.Size)
			}
		}
	}
	ep.route.meter.fill(now)
	ep.route.meter.shrunk = shrunk
	switch {
	case ep.refuses && !before.refuses:
		p.cutOff(ep)
		ep.open = 0
	case ep.silent && !before.silent:
		ep.lost = append(ep.lost, ep.hand...)
		for _, j := range ep.hand {
			j.over = true
		}
		ep.hand, ep.queue, ep.busy = nil, nil, 0
	case !ep.silent && before.silent: // it is back: what was open there is reset
		p.cutOff(ep)
		ep.open = 0
	}
	if before.stands && !ep.stands {
		p.goOn(now, ep)
	}
	p.look(now, ep.route)
}

// goOn ends a standstill: what fell due in it ends now.
func (p *Destination) goOn(now dispatch.Micros, ep *endpoint) {
	for _, j := range ep.hand {
		if j.after > 0 && !j.over {
			j.after = 0
			p.after(now, j)
		}
	}
}

// look brings the phase of a route up to date.
func (p *Destination) look(now dispatch.Micros, rt *route) {
	if rt.fellTo > 0 && now >= rt.fellTo {
		rt.fellTo = 0
		for _, ep := range rt.endpoints {
			ep.diagnose(false)
		}
	}
	out := rt.out()
	switch {
	case out && rt.phase != Outage:
		rt.phase = Outage
		p.say(PhaseChanged{rt.no, Outage})
	case !out && rt.phase == Outage:
		rt.phase, rt.coldSince, rt.load = Cold, now, nil
		p.say(PhaseChanged{rt.no, Cold})
		p.lookAt(now+p.plan.SlowStart, rt)
	case rt.phase == Cold && now >= rt.coldSince+p.plan.SlowStart:
		rt.phase = Well
		p.say(PhaseChanged{rt.no, Well})
	}
}

// fall puts a route down that was sent too much on its return.
func (p *Destination) fall(now dispatch.Micros, rt *route) {
	rt.fellTo = now + p.plan.FallDown
	for _, ep := range rt.endpoints {
		ep.diagnose(true)
		p.cutOff(ep)
		ep.open = 0
	}
	p.lookAt(rt.fellTo, rt)
	p.look(now, rt)
}

func (p *Destination) lookAt(at dispatch.Micros, rt *route) {
	p.seq++
	heap.Push(&p.timers, timer{at: at, seq: p.seq, route: rt})
}
