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
func (w *Drawn) troubles() []flood {
	d, rng := w.Day, stream(w.Seed, 3)
	all := slices.Clone(d.Troubles)
	from := d.Chance.Kinds
	if len(from) == 0 {
		from = TroubleNames()
	}
	count := d.Chance.Troubles[0] + rng.IntN(d.Chance.Troubles[1]-d.Chance.Troubles[0]+1)
	for range count {
		kind := from[rng.IntN(len(from))]
		u := usual[kind]
		t := Trouble{Kind: kind, At: Range{0.1 * d.Length, 0.6 * d.Length}, Length: u.length, Size: u.size, Part: u.part.draw(rng),
			By: "any", Whole: 0.8, Acts: 0.5}
		if kind == "flood" && len(d.Tenants) > 0 {
			t.Of = d.Tenants[rng.IntN(len(d.Tenants))].Name
		}
		if rng.Float64() < 0.2 {
			t.By = "zone"
		}
		all = append(all, t)
	}
	s := &striker{Drawn: w, rng: rng}
	for i, t := range all {
		s.number = i + 1
		s.fault(t)
	}
	return s.floods
}

// striker steps troubles into acts.
type striker struct {
	*Drawn
	rng    *rand.Rand
	number int // of the trouble
	ids    int // of faults
	fresh  int // of new endpoints
	floods []flood
}

func (s *striker) act(a Act) {
	a.Trouble = s.number
	s.Acts = append(s.Acts, a)
}

func (s *striker) fault(t Trouble) {
	from := micros(t.At.draw(s.rng))
	to := from + micros(t.Length.draw(s.rng))
	size := t.Size
	if size == (Range{}) {
		size = usual[t.Kind].size
	}
	n := size.draw(s.rng)
	switch t.Kind {
	case "flood":
		tenant := slices.IndexFunc(s.Day.Tenants, func(p Tenant) bool { return p.Name == t.Of })
		s.floods = append(s.floods, flood{from, to, tenant, n})
		s.act(Act{At: from, Kind: Tells, Text: fmt.Sprintf("%s sends %.1f times its usual traffic", cmp.Or(t.Of, "everybody"), n)})
		s.act(Act{At: to, Kind: Tells, Text: "the flood is over"})
	case "directory-down":
		s.act(Act{At: from, Kind: ListDown})
		s.act(Act{At: to, Kind: ListUp})
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
			s.begin(e, endpointmodel.Fault{Kind: endpointmodel.Trouble(t.Kind), Size: n, Acts: t.Acts, Until: to}, from, to)
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
	s.act(Act{At: from, Kind: Begins, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
	s.act(Act{At: to, Kind: Ends, Dest: e.dest, Endpoint: e.Endpoint, Fault: fault})
}

// struck picks endpoints until the part of the traffic is reached; a destination is struck whole or at one endpoint.
func (s *striker) struck(t Trouble) (all []place) {
	d := s.Day
	zone := dispatch.ZoneID(-1)
	if t.By == "zone" {
		zone = dispatch.ZoneID(s.rng.IntN(len(d.Fleet.Zones)))
	}
	left := t.Part * d.Traffic.FullPerSec
	for _, i := range s.rng.Perm(len(s.Destinations)) {
		dst := &s.Destinations[i]
		if t.Of != "" && dst.KindName != t.Of || t.Part < 1 && dst.Usual > left*1.5 {
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
		if s.rng.Float64() >= t.Whole {
			here = here[:1]
		}
		left -= dst.Usual * float64(len(here)) / float64(len(dst.Endpoints))
		all = append(all, here...)
		if left <= 0 && t.Part < 1 {
			break
		}
	}
	return all
}

func (s *striker) couriersStruck(t Trouble, from, to dispatch.Micros, n float64) {
	count := max(1, int(t.Part*float64(s.Day.Fleet.Couriers)+0.5))
	order := s.rng.Perm(s.Day.Fleet.Couriers)[:min(count, s.Day.Fleet.Couriers)]
	for i, c := range order {
		switch t.Kind {
		case "courier-kill":
			s.act(Act{At: from, Kind: Kills, Courier: c})
			s.act(Act{At: to, Kind: Starts, Courier: c})
		case "courier-roll":
			at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(order))
			s.act(Act{At: at, Kind: Asks, Courier: c, Span: micros(3.7)})
			s.act(Act{At: at + micros(3.7), Kind: Kills, Courier: c})
			s.act(Act{At: at + micros(3.7+n), Kind: Starts, Courier: c})
		case "courier-stand":
			for at := from + micros(2*s.rng.Float64()); at < to; at += micros(2) {
				s.act(Act{At: at, Kind: Stands, Courier: c, Span: micros(n / 1000)})
			}
		}
	}
}

func (s *striker) endpointsMoved(t Trouble, from, to dispatch.Micros, n float64) {
	all := s.struck(t)
	for i, e := range all {
		s.fresh++
		next := endpointmodel.Endpoint{ID: endpointID(e.dest, 1000+s.fresh), Zone: e.Zone}
		at := from + (to-from)*dispatch.Micros(i)/dispatch.Micros(len(all))
		if t.Kind == "drain" {
			s.act(Act{At: at, Kind: Adds, Dest: e.dest, Endpoint: next})
			s.act(Act{At: at + micros(0.5), Kind: Drains, Dest: e.dest, Endpoint: e.Endpoint})
			s.act(Act{At: at + micros(0.5+n), Kind: Removes, Dest: e.dest, Endpoint: e.Endpoint})
			continue
		}
		s.act(Act{At: at, Kind: Removes, Dest: e.dest, Endpoint: e.Endpoint})
		s.act(Act{At: at + micros(n), Kind: Adds, Dest: e.dest, Endpoint: next, Address: e.ID})
	}
}
