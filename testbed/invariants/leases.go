package invariants

import (
	"fmt"

	"pineport/dispatch"
)

// Leases checks the quota leases between couriers from the statuses that the couriers report. A courier may grant at most half of its base
// quota, with a tolerance of one unit. A lessee may use only a lease that its lessor has granted, and must stop using it before the lessor
// uses that quota itself again. Reading a status takes time, so two observations are compared only if one ended before the other began.
type Leases struct {
	leases         map[uint64]*leaseState
	incarnations   map[string]uint64
	Breaches       []string // at most the first 20
	LeaseCount     int      // number of leases observed at a lessee
	MaxLeasedShare float64  // largest total of the leases of one lessee for one route, relative to its base quota
}

type leaseState struct {
	lessor      string
	incarnation uint64          // incarnation of the lessor in the latest observation that concerns the lease; 0: unknown
	usedAt      dispatch.Micros // end of the first observation of the lessee that shows the lease; 0: none
	missingAt   dispatch.Micros // end of the first later observation of the lessor that does not show the lease; 0: none
}

// Lease is a lease as the lessor or the lessee reports it.
type Lease struct {
	Peer  string // the other courier of the lease
	ID    uint64
	Units int64
	Base  int64 // base quota of the courier that reports the lease
}

// Observation is the status of one courier, read between From and To.
type Observation struct {
	Name          string
	Incarnation   uint64 // incarnation of the courier
	From, To      dispatch.Micros
	Granted, Used [][]Lease // leases per route
}

// Observe checks an observation. The observations of one courier must come in order.
func (l *Leases) Observe(observation Observation) {
	if l.leases == nil {
		l.leases, l.incarnations = map[uint64]*leaseState{}, map[string]uint64{}
	}
	l.incarnations[observation.Name] = observation.Incarnation
	granted := map[uint64]bool{}
	for _, route := range observation.Granted {
		leased, base := int64(0), int64(0)
		for _, lease := range route {
			granted[lease.ID], base = true, lease.Base
			leased += lease.Units
			if s := l.leases[lease.ID]; s != nil && s.lessor == observation.Name {
				s.incarnation = observation.Incarnation
			}
		}
		if leased > base/2+1 {
			l.breach("%s has granted leases of %d, more than half of its base quota of %d", observation.Name, leased, base)
		}
	}
	for id, s := range l.leases { // the order does not matter, as each lease is checked separately
		switch {
		case s.lessor != observation.Name || granted[id] || s.usedAt == 0 || s.usedAt > observation.From:
		case s.incarnation != 0 && s.incarnation != observation.Incarnation: // a restarted lessor neither lists its earlier leases nor uses their quota
		case s.missingAt == 0:
			s.missingAt, s.incarnation = observation.To, observation.Incarnation
		}
	}
	for _, route := range observation.Used {
		sum, base := int64(0), int64(1)
		for _, lease := range route {
			base = max(1, lease.Base)
			sum += lease.Units
			s := l.leases[lease.ID]
			if s == nil {
				l.LeaseCount++
				s = &leaseState{lessor: lease.Peer, incarnation: l.incarnations[lease.Peer]}
				l.leases[lease.ID] = s
			}
			if s.missingAt != 0 && s.missingAt <= observation.From && s.incarnation == l.incarnations[lease.Peer] {
				l.breach("%s uses a lease of %d from %s, which has ended the lease or never granted it", observation.Name, lease.Units, lease.Peer)
			}
			if s.usedAt == 0 {
				s.usedAt = observation.To
			}
		}
		l.MaxLeasedShare = max(l.MaxLeasedShare, float64(sum)/float64(base))
	}
}

func (l *Leases) breach(format string, args ...any) {
	if len(l.Breaches) < 20 {
		l.Breaches = append(l.Breaches, fmt.Sprintf(format, args...))
	}
}
