package invariants

import (
	"fmt"

	"pineport/dispatch"
)

// Leases holds what couriers show of the parts of limits that they granted and leased against one another, from outside: whoever uses a
// lease must have been granted it, and must end with it before its grantor has it back. Looks take time, so only what was seen strictly
// one after the other counts.
type Leases struct {
	all            map[uint64]*seenLease
	starts         map[string]uint64
	Breaches       []string
	LeaseCount     int     // leases seen at a lessee
	MaxLeasedShare float64 // of a base part, that one lessee had in all for one route
}

type seenLease struct {
	lender  string
	start   uint64          // of the grantor, when the lease was first seen; 0 not known
	used    dispatch.Micros // a look at the lessee that showed it had ended by then
	missing dispatch.Micros // a look at the grantor since then that did not show it had ended by then
}

// Lease is a lease as one side shows it.
type Lease struct {
	Peer  string
	ID    uint64
	Units int64
	Base  int64 // the part of whoever shows it
}

// Observation is what one courier showed, between two instants.
type Observation struct {
	Name          string
	Incarnation   uint64
	From, To      dispatch.Micros
	Granted, Used [][]Lease // by route
}

// Observe takes in a look. Looks at one courier come in order.
func (l *Leases) Observe(k Observation) {
	if l.all == nil {
		l.all, l.starts = map[uint64]*seenLease{}, map[string]uint64{}
	}
	l.starts[k.Name] = k.Incarnation
	granted := map[uint64]bool{}
	for _, route := range k.Granted {
		away, base := int64(0), int64(0)
		for _, lease := range route {
			granted[lease.ID], base = true, lease.Base
			away += lease.Units
			if s := l.all[lease.ID]; s != nil && s.lender == k.Name {
				s.start = k.Incarnation
			}
		}
		if away > base/2+1 {
			l.breach("%s has lent %d of its part of %d", k.Name, away, base)
		}
	}
	for no, s := range l.all { // in any order: each is judged by itself
		switch {
		case s.lender != k.Name || granted[no] || s.used == 0 || s.used > k.From:
		case s.start != 0 && s.start != k.Incarnation: // it began anew, and holds as much back
		case s.missing == 0:
			s.missing, s.start = k.To, k.Incarnation
		}
	}
	for _, route := range k.Used {
		sum, base := int64(0), int64(1)
		for _, lease := range route {
			base = max(1, lease.Base)
			sum += lease.Units
			s := l.all[lease.ID]
			if s == nil {
				l.LeaseCount++
				s = &seenLease{lender: lease.Peer, start: l.starts[lease.Peer]}
				l.all[lease.ID] = s
			}
			if s.missing != 0 && s.missing <= k.From && s.start == l.starts[lease.Peer] {
				l.breach("%s uses %d of %s, which has it back or never lent it", k.Name, lease.Units, lease.Peer)
			}
			if s.used == 0 {
				s.used = k.To
			}
		}
		l.MaxLeasedShare = max(l.MaxLeasedShare, float64(sum)/float64(base))
	}
}

func (l *Leases) breach(format string, of ...any) {
	if len(l.Breaches) < 20 {
		l.Breaches = append(l.Breaches, fmt.Sprintf(format, of...))
	}
}
