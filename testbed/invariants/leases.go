package invariants

import (
	"fmt"

	"pineport/dispatch"
)

// Leases holds what couriers show of the parts of limits that they granted and leased against one another, from outside: whoever uses a
// lease must have been granted it, and must end with it before its grantor has it back. Looks take time, so only what was seen strictly
// one after the other counts.
type Leases struct {
	leases       map[uint64]*leaseState
	incarnations map[string]uint64
	Breaches     []string
	Seen         int     // leases seen at a lessee
	Widest       float64 // of a base part, that one lessee had in all for one route
}

type leaseState struct {
	lessor      string
	incarnation uint64          // of the grantor, when the lease was first seen; 0 not known
	usedAt      dispatch.Micros // a look at the lessee that showed it had ended by then
	missingAt   dispatch.Micros // a look at the grantor since then that did not show it had ended by then
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
func (l *Leases) Saw(observation Look) {
	if l.leases == nil {
		l.leases, l.incarnations = map[uint64]*leaseState{}, map[string]uint64{}
	}
	l.incarnations[observation.Name] = observation.Start
	granted := map[uint64]bool{}
	for _, route := range observation.Granted {
		leased, base := int64(0), int64(0)
		for _, lease := range route {
			granted[lease.No], base = true, lease.Base
			leased += lease.Units
			if s := l.leases[lease.No]; s != nil && s.lessor == observation.Name {
				s.incarnation = observation.Start
			}
		}
		if leased > base/2+1 {
			l.breach("%s has lent %d of its part of %d", observation.Name, leased, base)
		}
	}
	for id, s := range l.leases { // in any order: each is judged by itself
		switch {
		case s.lessor != observation.Name || granted[id] || s.usedAt == 0 || s.usedAt > observation.From:
		case s.incarnation != 0 && s.incarnation != observation.Start: // it began anew, and holds as much back
		case s.missingAt == 0:
			s.missingAt, s.incarnation = observation.To, observation.Start
		}
	}
	for _, route := range observation.Used {
		sum, base := int64(0), int64(1)
		for _, lease := range route {
			base = max(1, lease.Base)
			sum += lease.Units
			s := l.leases[lease.No]
			if s == nil {
				l.Seen++
				s = &leaseState{lessor: lease.Who, incarnation: l.incarnations[lease.Who]}
				l.leases[lease.No] = s
			}
			if s.missingAt != 0 && s.missingAt <= observation.From && s.incarnation == l.incarnations[lease.Who] {
				l.breach("%s uses %d of %s, which has it back or never lent it", observation.Name, lease.Units, lease.Who)
			}
			if s.usedAt == 0 {
				s.usedAt = observation.To
			}
		}
		l.Widest = max(l.Widest, float64(sum)/float64(base))
	}
}

func (l *Leases) breach(format string, args ...any) {
	if len(l.Breaches) < 20 {
		l.Breaches = append(l.Breaches, fmt.Sprintf(format, args...))
	}
}
