package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
)

// troubles draws what goes wrong, and returns the floods, which the arrivals need.
func (w *Instance) troubles() []flood {
	d, rng := w.Definition, stream(w.Seed, 3)
	all := slices.Clone(d.Faults)
	from := d.RandomFaults.Kinds
	if len(from) == 0 {
		from = TroubleNames()
	}
	count := d.RandomFaults.Count[0] + rng.IntN(d.RandomFaults.Count[1]-d.RandomFaults.Count[0]+1)
	for range count {
		kind := from[rng.IntN(len(from))]
		u := usual[kind]
		t := FaultSpec{Kind: kind, At: Range{0.1 * d.Length, 0.6 * d.Length}, Length: u.length, Size: u.size, Share: u.part.draw(rng),
			Scope: "any", AllEndpointsChance: 0.8, EffectShare: 0.5}
		if kind == "flood" && len(d.Tenants) > 0 {
			t.Of = d.Tenants[rng.IntN(len(d.Tenants))].Name
		}
		if rng.Float64() < 0.2 {
			t.Scope = "zone"
		}
		all = append(all, t)
	}
	s := &striker{Instance: w, rng: rng}
	for i, t := range all {
		s.number = i + 1
		s.fault(t)
	}
	return s.floods
}

// striker steps troubles into acts.
type striker struct {
	*Instance
	rng    *rand.Rand
	number int // of the trouble
	ids    int // of faults
	fresh  int // of new endpoints
	floods []flood
}

func (s *striker) act(a Event) {
	a.FaultNumber = s.number
	s.Events = append(s.Events, a)
}

func (s *striker) fault(t FaultSpec) {
	from := micros(t.At.draw(s.rng))
	to := from + micros(t.Length.draw(s.rng))
	size := t.Size
	if size == (Range{}) {
		size = usual[t.Kind].size
	}
	n := size.draw(s.rng)
	switch t.Kind {
	case "flood":
		tenant := slices.IndexFunc(s.Definition.Tenants, func(p Tenant) bool { return p.Name == t.Of })
		s.floods = append(s.floods, flood{from, to, tenant, n})
		s.act(Event{At: from, Kind: Tells, Text: fmt.Sprintf("%s sends %.1f times its usual traffic", cmp.Or(t.Of, "everybody"), n)})
		s.act(Event{At: to, Kind: Tells, Text: "the flood is over"})
	case "directory-down":
		s.act(Event{At: from, Kind: DirectoryDown})
		s.act(Event{At: to, Kind: DirectoryUp})
	case "courier-kill", "courier-roll", "courier-stand":
		s.couriersStruck(t, from, to, n)
	case "drain", "replace":
		s.endpointsMoved(t, from, to, n)
	case "pauses":
		for _, e := range s.struck(t) {
			for at := from + micros(2*s.rng.Float64()); at < to; at += micros(2) {
				s.begin(e, endpointmodel.Fault{Kind: endpointmodel.Stand}, at, at+micros(n/1000))
			}
		}
	default:
		for _, e := range s.struck(t) {
			s.begin(e, endpointmodel.Fault{Kind: endpointmodel.FaultKind(t.Kind), Size: n, EffectShare: t.EffectShare, Until: to}, from, to)
		}
	}
}

// at is an endpoint of a destination.
type place struct {
	dest int
	endpointmodel.Endpoint
}

func (s *striker) begin(e place, fault endpointmodel.Fault, from, to dispatch.Micros) {
	s.ids++
	fault.ID = s.ids
	s.act(Event{At: from, Kind: FaultBegins, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
	s.act(Event{At: to, Kind: FaultEnds, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
}

// struck picks endpoints until the part of the traffic is reached; a destination is struck whole or at one endpoint.
func (s *striker) struck(t FaultSpec) (all []place) {
	d := s.Definition
	zone := dispatch.ZoneID(-1)
	if t.Scope == "zone" {
		zone = dispatch.ZoneID(s.rng.IntN(len(d.Fleet.Zones)))
	}
	left := t.Share * d.Traffic.FullLoadPerSec
	for _, i := range s.rng.Perm(len(s.Destinations)) {
		dst := &s.Destinations[i]
		if t.Of != "" && dst.KindName != t.Of || t.Share < 1 && dst.Usual > left*1.5 {
			continue
		}
		var here []place
		for _, e := range dst.Endpoints {
			if zone < 0 || e.Zone == zone {
				here = append(here, place{i, e})
			}
		}
		if len(here) == 0 {
			continue
		}
		if s.rng.Float64() >= t.AllEndpointsChance {
			here = here[:1]
		}
		left -= dst.Usual * float64(len(here)) / float64(len(dst.Endpoints))
		all = append(all, here...)
		if left <= 0 && t.Share < 1 {
			break
		}
	}
	return all
}

func (s *striker) couriersStruck(t FaultSpec, from, to dispatch.Micros, n float64) {
	count := max(1, int(t.Share*float64(s.Definition.Fleet.Couriers)+0.5))
	order := s.rng.Perm(s.Definition.Fleet.Couriers)[:min(count, s.Definition.Fleet.Couriers)]
	for i, c := range order {
		switch t.Kind {
		case "courier-kill":
			s.act(Event{At: from, Kind: CourierKilled, Courier: c})
			s.act(Event{At: to, Kind: CourierStarted, Courier: c})
		case "courier-roll":
			at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(order))
			s.act(Event{At: at, Kind: CourierStopRequested, Courier: c, Duration: micros(3.7)})
			s.act(Event{At: at + micros(3.7), Kind: CourierKilled, Courier: c})
			s.act(Event{At: at + micros(3.7+n), Kind: CourierStarted, Courier: c})
		case "courier-stand":
			for at := from + micros(2*s.rng.Float64()); at < to; at += micros(2) {
				s.act(Event{At: at, Kind: CourierPaused, Courier: c, Duration: micros(n / 1000)})
			}
		}
	}
}

func (s *striker) endpointsMoved(t FaultSpec, from, to dispatch.Micros, n float64) {
	all := s.struck(t)
	for i, e := range all {
		s.fresh++
		next := endpointmodel.Endpoint{ID: endpointID(e.dest, 1000+s.fresh), Zone: e.Zone}
		at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(all))
		if t.Kind == "drain" {
			s.act(Event{At: at, Kind: EndpointAdded, Dest: e.dest, Endpoint: next})
			s.act(Event{At: at + micros(0.5), Kind: EndpointDraining, Dest: e.dest, Endpoint: e.Endpoint})
			s.act(Event{At: at + micros(0.5+n), Kind: EndpointRemoved, Dest: e.dest, Endpoint: e.Endpoint})
			continue
		}
		s.act(Event{At: at, Kind: EndpointRemoved, Dest: e.dest, Endpoint: e.Endpoint})
		s.act(Event{At: at + micros(n), Kind: EndpointAdded, Dest: e.dest, Endpoint: next, Address: e.ID})
	}
}
