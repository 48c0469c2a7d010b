package dispatch

import (
	"cmp"
	"slices"
)

// What a courier has learned, handed out and taken back: bookkeeping only. What of it to believe is in logic.go.

// Sum is a decaying sum as it stood at the instant of its Lore.
type Sum struct {
	Weight float64 `json:"Weight"`
	Total  float64 `json:"Total"`
}

// Lore is what a courier has learned of its destinations, as a value that shares nothing with it. Learned hands it to
// another one.
type Lore struct {
	At        Micros         `json:"At"`    // when it was so
	Took      Sum            `json:"Took"`  // answer times everywhere
	Broke     []Sum          `json:"Broke"` // calls that broke or got lost, by how long their connection had rested
	Routes    []RouteLore    `json:"Routes"`
	Endpoints []EndpointLore `json:"Endpoints"`
	Resting   []KeyLore      `json:"Resting"` // no file keeps them: they rest for a moment, and there may be many
}

// KeyLore is a key that rests, as a trip of one of its records may still run.
type KeyLore struct {
	Key    Key    `json:"Key"`
	RestTo Micros `json:"RestTo"`
}

// RouteLore is what is known of one route: a destination, or one endpoint of it where they are apart.
type RouteLore struct {
	Dest     DestID        `json:"Dest"`
	Endpoint EndpointID    `json:"Endpoint"` // empty where the route is the destination
	Took     Sum           `json:"Took"`
	Done     Sum           `json:"Done"`
	Since    Micros        `json:"Since"` // counted since then
	LastCall Micros        `json:"LastCall"`
	LastDone Micros        `json:"LastDone"`
	WaitTo   Micros        `json:"WaitTo"`
	Gap      Micros        `json:"Gap"`
	Knee     Micros        `json:"Knee"`
	Strikes  int           `json:"Strikes"`
	Fulls    int           `json:"Fulls"`
	Sick     bool          `json:"Sick"`
	SickAt   Micros        `json:"SickAt"`
	Cold     bool          `json:"Cold"`
	Ramped   Micros        `json:"Ramped"` // how far its ramp had come
	Usual    float64       `json:"Usual"`  // calls a second
	Rate     float64       `json:"Rate"`   // as told by reports; 0 if none told it
	Breakers []BreakerLore `json:"Breakers"`
}

// BreakerLore is a breaker, by workload; Until is nought where it is closed.
type BreakerLore struct {
	Fails int    `json:"Fails"`
	Until Micros `json:"Until"`
}

// EndpointLore is what is known of one endpoint; only those are listed that failed lately or were put back.
type EndpointLore struct {
	Endpoint EndpointID `json:"Endpoint"`
	Runs     []RunLore  `json:"Runs"`   // in all, then by workload
	ColdTo   Micros     `json:"ColdTo"` // put back by people: warm from then on
}

// RunLore is how often in a row trips failed, and how long the endpoint rests for that.
type RunLore struct {
	Fails  int    `json:"Fails"`
	RestTo Micros `json:"RestTo"`
}

// Learned hands over what was learned before a restart. It comes after the list that it is about.
type Learned struct{ Lore }

func (Learned) event() {}

// lately puts a route on the list of those that there is something to know of.
func (c *Courier) lately(rt *route) {
	if !rt.late {
		rt.late = true
		c.late = append(c.late, rt)
	}
}

// forgetLate drops routes that were not called for long.
func (c *Courier) forgetLate() {
	c.late = slices.DeleteFunc(c.late, func(rt *route) bool {
		rt.late = c.now-rt.lastCall <= idleAfter || rt.waitTo > c.now
		return !rt.late
	})
}

// Lore hands out what is known of routes that were called lately; what it costs goes by those, and not by the list.
func (c *Courier) Lore() Lore {
	sum := func(t *tally, over Micros) Sum {
		t.fade(c.now, over)
		return Sum{t.weight, t.sum}
	}
	l := Lore{At: c.now, Took: sum(&c.took, tookOver)}
	for key, line := range c.keys {
		if line.restTo > c.now {
			l.Resting = append(l.Resting, KeyLore{key, line.restTo})
		}
	}
	slices.SortFunc(l.Resting, func(a, b KeyLore) int { return cmp.Compare(a.Key, b.Key) })
	for i := range c.broke {
		l.Broke = append(l.Broke, sum(&c.broke[i], rateOver))
	}
	c.forgetLate()
	for _, rt := range c.late {
		r := RouteLore{Dest: rt.dest.id, Took: sum(&rt.took, tookOver), Done: sum(&rt.done, rateOver), Since: rt.since,
			LastCall: rt.lastCall, LastDone: rt.lastDone, WaitTo: rt.waitTo, Gap: rt.gap, Knee: rt.knee, Strikes: rt.strikes,
			Fulls: rt.fulls, Sick: rt.sick, SickAt: rt.sickAt, Cold: rt.cold, Usual: rt.usual}
		if rt.cold {
			r.Ramped = c.now - rt.coldSince
		}
		if rt.told {
			r.Rate = rt.rate
		}
		for _, b := range rt.breakers {
			until := Micros(0)
			if b.state != closed {
				until = max(1, b.until)
			}
			r.Breakers = append(r.Breakers, BreakerLore{b.fails, until})
		}
		for _, ep := range rt.dest.endpoints {
			if ep.route != rt {
				continue
			}
			if rt.dest.shape.Apart {
				r.Endpoint = ep.Endpoint
			}
			if ep.run.fails > 0 || ep.coldTo > c.now {
				l.Endpoints = append(l.Endpoints, ep.lore())
			}
		}
		l.Routes = append(l.Routes, r)
	}
	return l
}

func (ep *endpoint) lore() EndpointLore {
	e := EndpointLore{Endpoint: ep.Endpoint, ColdTo: ep.coldTo, Runs: []RunLore{{ep.run.fails, ep.run.restTo}}}
	for _, n := range ep.runs {
		e.Runs = append(e.Runs, RunLore{n.fails, n.restTo})
	}
	return e
}

// rest takes over keys that rest.
func (c *Courier) rest(keys []KeyLore) {
	for _, k := range keys {
		if c.keys[k.Key] == nil && k.RestTo > c.now {
			l := &keyLine{key: k.Key, restTo: k.RestTo}
			c.keys[k.Key], c.resting = l, append(c.resting, l)
		}
	}
}

// routeOf finds the route that was meant; nil where the list names none, or the destination's endpoints are now apart and
// were not, or the other way round: who stands at an old one's place inherits nothing.
func (c *Courier) routeOf(r RouteLore) *route {
	if r.Endpoint != "" {
		if ep := c.endpoints[r.Endpoint]; ep != nil && ep.Dest == r.Dest && ep.dest.shape.Apart {
			return ep.route
		}
		return nil
	}
	if d := c.dests[r.Dest]; d != nil && len(d.routes) == 1 && !d.shape.Apart {
		return d.routes[0]
	}
	return nil
}

// tally is a sum as it stood at an instant; reading it fades it from there on.
func (s Sum) tally(at Micros) tally { return tally{weight: s.Weight, sum: s.Total, at: at} }

// sums takes over as many as both sides know.
func sums(into []tally, from []Sum, at Micros) {
	for i := range min(len(into), len(from)) {
		into[i] = from[i].tally(at)
	}
}

// recall takes over a run of failures.
func (n *run) recall(r RunLore) { n.fails, n.restTo = r.Fails, r.RestTo }

// recall takes over breakers: those that were open stay so until the instant they had.
func (rt *route) recall(all []BreakerLore, at, now Micros) {
	for i := range min(len(rt.breakers), len(all)) {
		rt.breakers[i] = breaker{fails: all[i].Fails, since: at, used: now}
		if all[i].Until > 0 {
			rt.breakers[i].state, rt.breakers[i].until = open, all[i].Until
		}
	}
}

// recall takes over what an endpoint had failed, where both know as many workloads.
func (ep *endpoint) recall(e EndpointLore) {
	if len(e.Runs) != len(ep.runs)+1 {
		return
	}
	ep.run.recall(e.Runs[0])
	ep.coldTo = e.ColdTo
	for i := range ep.runs {
		ep.runs[i].recall(e.Runs[i+1])
	}
}
