package invariants

import (
	"testing"

	"pineport/dispatch"
)

// TestLeasesAreHeldAgainstEachOther: what is used after it was back, what was never granted and what is more than half is seen; what
// overlaps in time, or belongs to a grantor that began anew, is not held against anybody.
func TestLeasesAreHeldAgainstEachOther(t *testing.T) {
	lease := []Lease{{"b", 7, 100, 1000}}
	back := []Lease{{"a", 7, 100, 1000}}
	a := func(from int64, used ...[]Lease) Observation {
		return Observation{Name: "a", Incarnation: 1, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Used: used}
	}
	b := func(from int64, start uint64, granted ...[]Lease) Observation {
		return Observation{Name: "b", Incarnation: start, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Granted: granted}
	}
	for name, c := range map[string]struct {
		looks []Observation
		want  int
	}{
		"kept":                {[]Observation{b(1, 1, back), a(3, lease), b(5, 1, back), a(7, lease), a(9), b(11, 1)}, 0},
		"used on":             {[]Observation{b(1, 1, back), a(3, lease), b(5, 1), a(7, lease)}, 1},
		"never lent":          {[]Observation{a(3, lease), b(5, 1), a(7, lease)}, 1},
		"looks that overlap":  {[]Observation{b(1, 1, back), a(3, lease), b(3, 1), a(7, lease)}, 0},
		"lender began anew":   {[]Observation{b(1, 1, back), a(3, lease), b(5, 2), a(7, lease), b(9, 2), a(11, lease)}, 0},
		"more than half lent": {[]Observation{b(1, 1, []Lease{{"a", 7, 600, 1000}})}, 1},
	} {
		l := &Leases{}
		for _, k := range c.looks {
			l.Observe(k)
		}
		if len(l.Breaches) != c.want {
			t.Errorf("%s: %v", name, l.Breaches)
		}
	}
}
