package invariants

import (
	"fmt"

	"pineport/dispatch"
)

// Leases holds what couriers show of the parts of limits that they granted and leased against one another, from outside: whoever uses a
// lease must have been granted it, and must end with it before its grantor has it back. Looks take time, so only what was seen strictly
// one after the other counts.
type Leases struct {
	all      map[uint64]*seenLease
	starts   map[string]uint64
	Breaches []string
	Seen     int     // leases seen at a lessee
	Widest   float64 // of a base part, that one lessee had in all for one route
}

type seenLease struct {
	lender  string
	start   uint64          // of the grantor, when the lease was first seen; 0 not known
	used    dispatch.Micros // a look at the lessee that showed it had ended by then
	missing dispatch.Micros // a look at the grantor since then that did not show it had ended by then
}

// Lease is a lease as one side shows it.
type Lease struct {
	Who   string
	No    uint64
	Units int64
	Base  int64 // the part of whoever shows it
}

// Look is what one courier showed, between two instants.
type Look struct {
	Name          string
	Start         uint64
	From, To      dispatch.Micros
	Granted, Used [][]Lease // by route
}

// Saw takes in a look. Looks at one courier come in order.
func (l *Leases) Saw(k Look) {
	if l.all == nil {
		l.all, l.starts = map[uint64]*seenLease{}, map[string]uint64{}
	}
	l.starts[k.Name] = k.Start
	granted := map[uint64]bool{}
	for _, route := range k.Granted {
		away, base := int64(0), int64(0)
		for _, lease := range route {
			granted[lease.No], base = true, lease.Base
			away += lease.Units
			if s := l.all[lease.No]; s != nil && s.lender == k.Name {
				s.start = k.Start
			}
		}
		if away > base/2+1 {
			l.breach("%s has lent %d of its part of %d", k.Name, away, base)
		}
	}
	for no, s := range l.all { // in any order: each is judged by itself
		switch {
		case s.lender != k.Name || granted[no] || s.used == 0 || s.used > k.From:
		case s.start != 0 && s.start != k.Start: // it began anew, and holds as much back
		case s.missing == 0:
			s.missing, s.start = k.To, k.Start
		}
	}
	for _, route := range k.Used {
		sum, base := int64(0), int64(1)
		for _, lease := range route {
			base = max(1, lease.Base)
			sum += lease.Units
			s := l.all[lease.No]
			if s == nil {
				l.Seen++
				s = &seenLease{lender: lease.Who, start: l.starts[lease.Who]}
				l.all[lease.No] = s
			}
			if s.missing != 0 && s.missing <= k.From && s.start == l.starts[lease.Who] {
				l.breach("%s uses %d of %s, which has it back or never lent it", k.Name, lease.Units, lease.Who)
			}
			if s.used == 0 {
				s.used = k.To
			}
		}
		l.Widest = max(l.Widest, float64(sum)/float64(base))
	}
}

func (l *Leases) breach(format string, of ...any) {
	if len(l.Breaches) < 20 {
		l.Breaches = append(l.Breaches, fmt.Sprintf(format, of...))
	}
}
