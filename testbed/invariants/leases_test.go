package invariants

import (
	"testing"

	"pineport/dispatch"
)

// TestLeaseChecks checks that the use of an ended lease, the use of a lease that was never granted, and leases of more than half of a base
// quota are reported. Observations that overlap in time and leases of a restarted lessor are not reported.
func TestLeaseChecks(t *testing.T) {
	used := []Lease{{"b", 7, 100, 1000}}
	granted := []Lease{{"a", 7, 100, 1000}}
	observeLessee := func(from int64, used ...[]Lease) Observation {
		return Observation{Name: "a", Incarnation: 1, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Used: used}
	}
	observeLessor := func(from int64, start uint64, granted ...[]Lease) Observation {
		return Observation{Name: "b", Incarnation: start, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Granted: granted}
	}
	for name, c := range map[string]struct {
		observations []Observation
		want         int
	}{
		"kept":                     {[]Observation{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(5, 1, granted), observeLessee(7, used), observeLessee(9), observeLessor(11, 1)}, 0},
		"used after its end":       {[]Observation{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(5, 1), observeLessee(7, used)}, 1},
		"never granted":            {[]Observation{observeLessee(3, used), observeLessor(5, 1), observeLessee(7, used)}, 1},
		"overlapping observations": {[]Observation{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(3, 1), observeLessee(7, used)}, 0},
		"lessor restarted":         {[]Observation{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(5, 2), observeLessee(7, used), observeLessor(9, 2), observeLessee(11, used)}, 0},
		"more than half granted":   {[]Observation{observeLessor(1, 1, []Lease{{"a", 7, 600, 1000}})}, 1},
	} {
		l := &Leases{}
		for _, observation := range c.observations {
			l.Observe(observation)
		}
		if len(l.Breaches) != c.want {
			t.Errorf("%s: %v", name, l.Breaches)
		}
	}
}
