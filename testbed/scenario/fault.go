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
func (w *Instance) drawFaults() []flood {
	d, rng := w.Definition, newRand(w.Seed, 3)
	specs := slices.Clone(d.Faults)
	kinds := d.RandomFaults.Kinds
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	count := d.RandomFaults.Count[0] + rng.IntN(d.RandomFaults.Count[1]-d.RandomFaults.Count[0]+1)
	for range count {
		kind := kinds[rng.IntN(len(kinds))]
		defaults := faultKinds[kind]
		t := FaultSpec{Kind: kind, At: Range{0.1 * d.Length, 0.6 * d.Length}, Length: defaults.length, Size: defaults.size, Share: defaults.share.draw(rng),
			Scope: "any", AllEndpointsChance: 0.8, EffectShare: 0.5}
		if kind == "flood" && len(d.Tenants) > 0 {
			t.Target = d.Tenants[rng.IntN(len(d.Tenants))].Name
		}
		if rng.Float64() < 0.2 {
			t.Scope = "zone"
		}
		specs = append(specs, t)
	}
	s := &faultScheduler{Instance: w, rng: rng}
	for i, t := range specs {
		s.faultNumber = i + 1
		s.schedule(t)
	}
	return s.floods
}

// faultScheduler turns faults into events.
type faultScheduler struct {
	*Instance
	rng            *rand.Rand
	faultNumber    int // number of the current fault in the scenario
	lastFaultID    int // ID of the last fault at an endpoint
	addedEndpoints int // number of endpoints that were added
	floods         []flood
}

func (s *faultScheduler) addEvent(a Event) {
	a.FaultNumber = s.faultNumber
	s.Events = append(s.Events, a)
}

func (s *faultScheduler) schedule(t FaultSpec) {
	from := micros(t.At.draw(s.rng))
	to := from + micros(t.Length.draw(s.rng))
	size := t.Size
	if size == (Range{}) {
		size = faultKinds[t.Kind].size
	}
	magnitude := size.draw(s.rng)
	switch t.Kind {
	case "flood":
		tenant := slices.IndexFunc(s.Definition.Tenants, func(p Tenant) bool { return p.Name == t.Target })
		s.floods = append(s.floods, flood{from, to, tenant, magnitude})
		s.addEvent(Event{At: from, Kind: Annotation, Text: fmt.Sprintf("%s sends %.1f times its usual traffic", cmp.Or(t.Target, "everybody"), magnitude)})
		s.addEvent(Event{At: to, Kind: Annotation, Text: "the flood has ended"})
	case "directory-down":
		s.addEvent(Event{At: from, Kind: DirectoryDown})
		s.addEvent(Event{At: to, Kind: DirectoryUp})
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
			s.scheduleFault(e, endpointmodel.Fault{Kind: endpointmodel.FaultKind(t.Kind), Size: magnitude, EffectShare: t.EffectShare, Until: to}, from, to)
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
	s.addEvent(Event{At: from, Kind: FaultBegins, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
	s.addEvent(Event{At: to, Kind: FaultEnds, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
}

// pickEndpoints picks random endpoints until they receive the given share of the traffic. Of a destination, it picks all endpoints in the
// zone of the fault, if it has one, or a single endpoint, as the probability in the file decides. It skips destinations with more than
// 1.5 times the remaining traffic.
func (s *faultScheduler) pickEndpoints(t FaultSpec) (all []target) {
	d := s.Definition
	zone := dispatch.ZoneID(-1)
	if t.Scope == "zone" {
		zone = dispatch.ZoneID(s.rng.IntN(len(d.Fleet.Zones)))
	}
	remaining := t.Share * d.Traffic.FullLoadPerSec
	for _, i := range s.rng.Perm(len(s.Destinations)) {
		dst := &s.Destinations[i]
		if t.Target != "" && dst.KindName != t.Target || t.Share < 1 && dst.FullLoadRate > remaining*1.5 {
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
		if s.rng.Float64() >= t.AllEndpointsChance {
			endpoints = endpoints[:1]
		}
		remaining -= dst.FullLoadRate * float64(len(endpoints)) / float64(len(dst.Endpoints))
		all = append(all, endpoints...)
		if remaining <= 0 && t.Share < 1 {
			break
		}
	}
	return all
}

func (s *faultScheduler) scheduleCourierFaults(t FaultSpec, from, to dispatch.Micros, magnitude float64) {
	count := max(1, int(t.Share*float64(s.Definition.Fleet.Couriers)+0.5))
	order := s.rng.Perm(s.Definition.Fleet.Couriers)[:min(count, s.Definition.Fleet.Couriers)]
	for i, c := range order {
		switch t.Kind {
		case "courier-kill":
			s.addEvent(Event{At: from, Kind: CourierKilled, Courier: c})
			s.addEvent(Event{At: to, Kind: CourierStarted, Courier: c})
		case "courier-roll":
			at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(order))
			s.addEvent(Event{At: at, Kind: CourierStopRequested, Courier: c, Duration: micros(3.7)}) // 3.7 s later, the courier is killed
			s.addEvent(Event{At: at + micros(3.7), Kind: CourierKilled, Courier: c})
			s.addEvent(Event{At: at + micros(3.7+magnitude), Kind: CourierStarted, Courier: c})
		case "courier-stand":
			for at := from + micros(2*s.rng.Float64()); at < to; at += micros(2) {
				s.addEvent(Event{At: at, Kind: CourierPaused, Courier: c, Duration: micros(magnitude / 1000)})
			}
		}
	}
}

func (s *faultScheduler) scheduleReplacements(t FaultSpec, from, to dispatch.Micros, magnitude float64) {
	all := s.pickEndpoints(t)
	for i, e := range all {
		s.addedEndpoints++
		replacement := endpointmodel.Endpoint{ID: endpointID(e.dest, 1000+s.addedEndpoints), Zone: e.Zone}
		at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(all))
		if t.Kind == "drain" {
			s.addEvent(Event{At: at, Kind: EndpointAdded, Dest: e.dest, Endpoint: replacement})
			s.addEvent(Event{At: at + micros(0.5), Kind: EndpointDraining, Dest: e.dest, Endpoint: e.Endpoint})
			s.addEvent(Event{At: at + micros(0.5+magnitude), Kind: EndpointRemoved, Dest: e.dest, Endpoint: e.Endpoint})
			continue
		}
		s.addEvent(Event{At: at, Kind: EndpointRemoved, Dest: e.dest, Endpoint: e.Endpoint})
		s.addEvent(Event{At: at + micros(magnitude), Kind: EndpointAdded, Dest: e.dest, Endpoint: replacement, Address: e.ID})
	}
}
