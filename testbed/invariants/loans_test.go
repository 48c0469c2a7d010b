package invariants

import (
	"testing"

	"pineport/dispatch"
)

// TestLoansAreHeldAgainstEachOther: what is used after it was back, what was never lent and what is more than half is seen; what
// overlaps in time, or belongs to a lender that began anew, is not held against anybody.
func TestLoansAreHeldAgainstEachOther(t *testing.T) {
	lot := []Lot{{"b", 7, 100, 1000}}
	back := []Lot{{"a", 7, 100, 1000}}
	a := func(from int64, used ...[]Lot) Look {
		return Look{Name: "a", Start: 1, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Used: used}
	}
	b := func(from int64, start uint64, lent ...[]Lot) Look {
		return Look{Name: "b", Start: start, From: dispatch.Micros(from), To: dispatch.Micros(from + 1), Lent: lent}
	}
	for name, c := range map[string]struct {
		looks []Look
		want  int
	}{
		"kept":                {[]Look{b(1, 1, back), a(3, lot), b(5, 1, back), a(7, lot), a(9), b(11, 1)}, 0},
		"used on":             {[]Look{b(1, 1, back), a(3, lot), b(5, 1), a(7, lot)}, 1},
		"never lent":          {[]Look{a(3, lot), b(5, 1), a(7, lot)}, 1},
		"looks that overlap":  {[]Look{b(1, 1, back), a(3, lot), b(3, 1), a(7, lot)}, 0},
		"lender began anew":   {[]Look{b(1, 1, back), a(3, lot), b(5, 2), a(7, lot), b(9, 2), a(11, lot)}, 0},
		"more than half lent": {[]Look{b(1, 1, []Lot{{"a", 7, 600, 1000}})}, 1},
	} {
		l := &Loans{}
		for _, k := range c.looks {
			l.Saw(k)
		}
		if len(l.Breaches) != c.want {
			t.Errorf("%s: %v", name, l.Breaches)
		}
	}
}
