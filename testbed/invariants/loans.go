package invariants

import (
	"fmt"

	"pineport/dispatch"
)

// Loans holds what couriers show of the parts of limits that they lent and borrowed against one another, from outside: whoever uses a
// loan must have been lent it, and must end with it before its lender has it back. Looks take time, so only what was seen strictly
// one after the other counts.
type Loans struct {
	all      map[uint64]*seenLoan
	starts   map[string]uint64
	Breaches []string
	Seen     int     // loans seen at a borrower
	Widest   float64 // of a base part, that one borrower had in all for one route
}

type seenLoan struct {
	lender  string
	start   uint64          // of the lender, when the loan was first seen; 0 not known
	used    dispatch.Micros // a look at the borrower that showed it had ended by then
	missing dispatch.Micros // a look at the lender since then that did not show it had ended by then
}

// Lot is a loan as one side shows it.
type Lot struct {
	Who   string
	No    uint64
	Units int64
	Base  int64 // the part of whoever shows it
}

// Look is what one courier showed, between two instants.
type Look struct {
	Name       string
	Start      uint64
	From, To   dispatch.Micros
	Lent, Used [][]Lot // by route
}

// Saw takes in a look. Looks at one courier come in order.
func (l *Loans) Saw(k Look) {
	if l.all == nil {
		l.all, l.starts = map[uint64]*seenLoan{}, map[string]uint64{}
	}
	l.starts[k.Name] = k.Start
	lent := map[uint64]bool{}
	for _, route := range k.Lent {
		away, base := int64(0), int64(0)
		for _, lot := range route {
			lent[lot.No], base = true, lot.Base
			away += lot.Units
			if s := l.all[lot.No]; s != nil && s.lender == k.Name {
				s.start = k.Start
			}
		}
		if away > base/2+1 {
			l.breach("%s has lent %d of its part of %d", k.Name, away, base)
		}
	}
	for no, s := range l.all { // in any order: each is judged by itself
		switch {
		case s.lender != k.Name || lent[no] || s.used == 0 || s.used > k.From:
		case s.start != 0 && s.start != k.Start: // it began anew, and holds as much back
		case s.missing == 0:
			s.missing, s.start = k.To, k.Start
		}
	}
	for _, route := range k.Used {
		sum, base := int64(0), int64(1)
		for _, lot := range route {
			base = max(1, lot.Base)
			sum += lot.Units
			s := l.all[lot.No]
			if s == nil {
				l.Seen++
				s = &seenLoan{lender: lot.Who, start: l.starts[lot.Who]}
				l.all[lot.No] = s
			}
			if s.missing != 0 && s.missing <= k.From && s.start == l.starts[lot.Who] {
				l.breach("%s uses %d of %s, which has it back or never lent it", k.Name, lot.Units, lot.Who)
			}
			if s.used == 0 {
				s.used = k.To
			}
		}
		l.Widest = max(l.Widest, float64(sum)/float64(base))
	}
}

func (l *Loans) breach(format string, of ...any) {
	if len(l.Breaches) < 20 {
		l.Breaches = append(l.Breaches, fmt.Sprintf(format, of...))
	}
}
