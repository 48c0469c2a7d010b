package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// closeFactor is the ratio to the smallest share up to which another share counts as close to it. Far extrapolations and round-number
// budgets are too imprecise to rank shares more finely.
const closeFactor = 2

// Candidate is a mechanism that may be replaced, with the smallest share of the planned size at which one of its budgets is exceeded.
type Candidate struct {
	Mechanism Mechanism `json:"mechanism"`
	Share     *float64  `json:"share,omitempty"` // nil: none of its rows with a budget is measured, or none exceeds its budget
	Row       string    `json:"row,omitempty"`   // the row whose budget is exceeded first
	Assumed   bool      `json:"assumed_budget,omitempty"`
	RowCount  int       `json:"rows_resting_on_it"`
	Why       string    `json:"why"`
}

// Candidates returns all mechanisms in the order in which they should be replaced: first the one whose budget is exceeded at the
// smallest share of the planned size; among shares that are close, one on the message path, and then the one with more rows.
// Mechanisms without a share come last, in the order of Mechanisms.
func Candidates(results []RowResult) []Candidate {
	var open, without []Candidate
	for _, mechanism := range Mechanisms() {
		candidate := candidateOf(mechanism, results)
		if candidate.Share == nil {
			without = append(without, candidate)
			continue
		}
		open = append(open, candidate)
	}
	slices.SortStableFunc(open, func(a, b Candidate) int { return cmp.Compare(*a.Share, *b.Share) })
	var ordered []Candidate
	for len(open) > 0 {
		chosen := pickNext(open)
		candidate := open[chosen]
		candidate.Why = reason(open, chosen)
		ordered = append(ordered, candidate)
		open = slices.Delete(open, chosen, chosen+1)
	}
	return append(ordered, without...)
}

func candidateOf(mechanism Mechanism, results []RowResult) Candidate {
	candidate := Candidate{Mechanism: mechanism, Why: "none of its budgets is measured, or none is exceeded: not ranked"}
	for i := range results {
		result := &results[i]
		if result.Mechanism != mechanism.ID {
			continue
		}
		candidate.RowCount++
		if result.Share == nil || result.NotRankedReason != "" {
			continue
		}
		if candidate.Share == nil || *result.Share < *candidate.Share {
			candidate.Share, candidate.Row, candidate.Assumed = result.Share, result.What, result.Budget.Assumed
		}
	}
	return candidate
}

// isClose reports whether a share is within closeFactor of the smallest one.
func isClose(share, smallest float64) bool { return share <= closeFactor*smallest }

// pickNext returns the index of the candidate that ranks next. The candidates are sorted by share.
func pickNext(open []Candidate) int {
	best := 0
	for i := 1; i < len(open) && isClose(*open[i].Share, *open[0].Share); i++ {
		if precedes(open[i], open[best]) {
			best = i
		}
	}
	return best
}

// precedes reports whether a ranks before b, given that their shares are close.
func precedes(a, b Candidate) bool {
	if a.Mechanism.OnMessagePath != b.Mechanism.OnMessagePath {
		return a.Mechanism.OnMessagePath
	}
	return a.RowCount > b.RowCount
}

func reason(open []Candidate, chosen int) string {
	if chosen == 0 {
		if len(open) > 1 && isClose(*open[1].Share, *open[0].Share) {
			return "smallest share of the remaining mechanisms; no mechanism with a close share precedes it"
		}
		return "smallest share of the remaining mechanisms"
	}
	smallest, taken := open[0], open[chosen]
	if taken.Mechanism.OnMessagePath && !smallest.Mechanism.OnMessagePath {
		return fmt.Sprintf("share close to that of %q, and on the message path", smallest.Mechanism.ID)
	}
	return fmt.Sprintf("share close to that of %q, and more rows use it (%d against %d)", smallest.Mechanism.ID, taken.RowCount, smallest.RowCount)
}

// reason returns why a candidate has its rank, and which part of its task no run can measure.
func (c *Candidate) reason() string {
	if c.Mechanism.NotMeasurable == "" {
		return c.Why
	}
	return c.Why + "; " + c.Mechanism.NotMeasurable
}

// Variation is the first-ranked mechanism with all assumed budgets scaled by a factor.
type Variation struct {
	Factor float64     `json:"times"` // applied to the assumed budgets
	First  MechanismID `json:"first"`
	Share  float64     `json:"share"`
}

// variationFactors are the factors by which the variations scale the assumed budgets.
var variationFactors = []float64{0.1, 10}
