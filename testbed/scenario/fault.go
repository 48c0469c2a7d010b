package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
)

// drawFaults draws the faults of the run, adds their events, and returns the floods, which drawArrivals needs.
func (w *Drawn) drawFaults() []flood {
	d, rng := w.Day, newRand(w.Seed, 3)
	specs := slices.Clone(d.Troubles)
	kinds := d.Chance.Kinds
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	count := d.Chance.Troubles[0] + rng.IntN(d.Chance.Troubles[1]-d.Chance.Troubles[0]+1)
	for range count {
		kind := kinds[rng.IntN(len(kinds))]
		defaults := faultKinds[kind]
		t := Trouble{Kind: kind, At: Range{0.1 * d.Length, 0.6 * d.Length}, Length: defaults.length, Size: defaults.size, Part: defaults.share.draw(rng),
			By: "any", Whole: 0.8, Acts: 0.5}
		if kind == "flood" && len(d.Tenants) > 0 {
			t.Target = d.Tenants[rng.IntN(len(d.Tenants))].Name
		}
		if rng.Float64() < 0.2 {
			t.By = "zone"
		}
		specs = append(specs, t)
	}
	s := &faultScheduler{Drawn: w, rng: rng}
	for i, t := range specs {
		s.faultNumber = i + 1
		s.schedule(t)
	}
	return s.floods
}

// faultScheduler turns faults into events.
type faultScheduler struct {
	*Drawn
	rng            *rand.Rand
	faultNumber    int // number of the current fault in the scenario
	lastFaultID    int // ID of the last fault at an endpoint
	addedEndpoints int // number of endpoints that were added
	floods         []flood
}

func (s *faultScheduler) addEvent(a Act) {
	a.Trouble = s.faultNumber
	s.Acts = append(s.Acts, a)
}

func (s *faultScheduler) schedule(t Trouble) {
	from := micros(t.At.draw(s.rng))
	to := from + micros(t.Length.draw(s.rng))
	size := t.Size
	if size == (Range{}) {
		size = faultKinds[t.Kind].size
	}
	magnitude := size.draw(s.rng)
	switch t.Kind {
	case "flood":
		tenant := slices.IndexFunc(s.Day.Tenants, func(p Tenant) bool { return p.Name == t.Target })
		s.floods = append(s.floods, flood{from, to, tenant, magnitude})
		s.addEvent(Act{At: from, Kind: Annotation, Text: fmt.Sprintf("%s sends %.1f times its usual traffic", cmp.Or(t.Target, "everybody"), magnitude)})
		s.addEvent(Act{At: to, Kind: Annotation, Text: "the flood has ended"})
	case "directory-down":
		s.addEvent(Act{At: from, Kind: ListDown})
		s.addEvent(Act{At: to, Kind: ListUp})
	case "courier-kill", "courier-roll", "courier-stand":
		s.scheduleCourierFaults(t, from, to, magnitude)
	case "drain", "replace":
		s.scheduleReplacements(t, from, to, magnitude)
	case "pauses":
		for _, e := range s.pickEndpoints(t) {
			for at := from + micros(2*s.rng.Float64()); at < to; at += micros(2) {
				s.scheduleFault(e, endpointmodel.Fault{Kind: endpointmodel.Pause}, at, at+micros(magnitude/1000))
			}
		}
	default:
		for _, e := range s.pickEndpoints(t) {
			s.scheduleFault(e, endpointmodel.Fault{Kind: endpointmodel.Trouble(t.Kind), Size: magnitude, Acts: t.Acts, Until: to}, from, to)
		}
	}
}

// target is an endpoint of a destination.
type target struct {
	dest int
	endpointmodel.Endpoint
}

func (s *faultScheduler) scheduleFault(e target, fault endpointmodel.Fault, from, to dispatch.Micros) {
	s.lastFaultID++
	fault.ID = s.lastFaultID
	s.addEvent(Act{At: from, Kind: Begins, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
	s.addEvent(Act{At: to, Kind: Ends, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
}

// pickEndpoints picks random endpoints until they receive the given share of the traffic. Of a destination, it picks all endpoints in the
// zone of the fault, if it has one, or a single endpoint, as the probability in the file decides. It skips destinations with more than
// 1.5 times the remaining traffic.
func (s *faultScheduler) pickEndpoints(t Trouble) (all []target) {
	d := s.Day
	zone := dispatch.ZoneID(-1)
	if t.By == "zone" {
		zone = dispatch.ZoneID(s.rng.IntN(len(d.Fleet.Zones)))
	}
	remaining := t.Part * d.Traffic.FullPerSec
	for _, i := range s.rng.Perm(len(s.Destinations)) {
		dst := &s.Destinations[i]
		if t.Target != "" && dst.KindName != t.Target || t.Part < 1 && dst.FullLoadRate > remaining*1.5 {
			continue
		}
		var endpoints []target
		for _, e := range dst.Endpoints {
			if zone < 0 || e.Zone == zone {
				endpoints = append(endpoints, target{i, e})
			}
		}
		if len(endpoints) == 0 {
			continue
		}
		if s.rng.Float64() >= t.Whole {
			endpoints = endpoints[:1]
		}
		remaining -= dst.FullLoadRate * float64(len(endpoints)) / float64(len(dst.Endpoints))
		all = append(all, endpoints...)
		if remaining <= 0 && t.Part < 1 {
			break
		}
	}
	return all
}

func (s *faultScheduler) scheduleCourierFaults(t Trouble, from, to dispatch.Micros, magnitude float64) {
	count := max(1, int(t.Part*float64(s.Day.Fleet.Couriers)+0.5))
	order := s.rng.Perm(s.Day.Fleet.Couriers)[:min(count, s.Day.Fleet.Couriers)]
	for i, c := range order {
		switch t.Kind {
		case "courier-kill":
			s.addEvent(Act{At: from, Kind: Kills, Courier: c})
			s.addEvent(Act{At: to, Kind: Starts, Courier: c})
		case "courier-roll":
			at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(order))
			s.addEvent(Act{At: at, Kind: Asks, Courier: c, Span: micros(3.7)}) // 3.7 s later, the courier is killed
			s.addEvent(Act{At: at + micros(3.7), Kind: Kills, Courier: c})
			s.addEvent(Act{At: at + micros(3.7+magnitude), Kind: Starts, Courier: c})
		case "courier-stand":
			for at := from + micros(2*s.rng.Float64()); at < to; at += micros(2) {
				s.addEvent(Act{At: at, Kind: Stands, Courier: c, Span: micros(magnitude / 1000)})
			}
		}
	}
}

func (s *faultScheduler) scheduleReplacements(t Trouble, from, to dispatch.Micros, magnitude float64) {
	all := s.pickEndpoints(t)
	for i, e := range all {
		s.addedEndpoints++
		replacement := endpointmodel.Endpoint{ID: endpointID(e.dest, 1000+s.addedEndpoints), Zone: e.Zone}
		at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(all))
		if t.Kind == "drain" {
			s.addEvent(Act{At: at, Kind: Adds, Dest: e.dest, Endpoint: replacement})
			s.addEvent(Act{At: at + micros(0.5), Kind: Drains, Dest: e.dest, Endpoint: e.Endpoint})
			s.addEvent(Act{At: at + micros(0.5+magnitude), Kind: Removes, Dest: e.dest, Endpoint: e.Endpoint})
			continue
		}
		s.addEvent(Act{At: at, Kind: Removes, Dest: e.dest, Endpoint: e.Endpoint})
		s.addEvent(Act{At: at + micros(magnitude), Kind: Adds, Dest: e.dest, Endpoint: replacement, Address: e.ID})
	}
}
