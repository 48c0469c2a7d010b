package invariants

import (
	"testing"

	"pineport/dispatch"
)

// TestLeaseChecks: what is used after it was back, what was never granted and what is more than half is seen; what
// overlaps in time, or belongs to a grantor that began anew, is not held against anybody.
func TestLeaseChecks(t *testing.T) {
	used := []Lease{{"b", 7, 100, 1000}}
	granted := []Lease{{"a", 7, 100, 1000}}
	observeLessee := func(from int64, used ...[]Lease) Look {
		return Look{Name: "a", Start: 1, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Used: used}
	}
	observeLessor := func(from int64, start uint64, granted ...[]Lease) Look {
		return Look{Name: "b", Start: start, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Granted: granted}
	}
	for name, c := range map[string]struct {
		observations []Look
		want         int
	}{
		"kept":                {[]Look{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(5, 1, granted), observeLessee(7, used), observeLessee(9), observeLessor(11, 1)}, 0},
		"used on":             {[]Look{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(5, 1), observeLessee(7, used)}, 1},
		"never lent":          {[]Look{observeLessee(3, used), observeLessor(5, 1), observeLessee(7, used)}, 1},
		"looks that overlap":  {[]Look{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(3, 1), observeLessee(7, used)}, 0},
		"lender began anew":   {[]Look{observeLessor(1, 1, granted), observeLessee(3, used), observeLessor(5, 2), observeLessee(7, used), observeLessor(9, 2), observeLessee(11, used)}, 0},
		"more than half lent": {[]Look{observeLessor(1, 1, []Lease{{"a", 7, 600, 1000}})}, 1},
	} {
		l := &Leases{}
		for _, observation := range c.observations {
			l.Saw(observation)
		}
		if len(l.Breaches) != c.want {
			t.Errorf("%s: %v", name, l.Breaches)
		}
	}
}
