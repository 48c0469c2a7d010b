package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// closeBy is how many times a share may lie over the smallest one and still be close to it: measured slopes that are carried far and
// budgets that are round numbers don't order shares any finer.
const closeBy = 2

// Candidate is a mechanism with the share of the planned size at which the first of its budgets breaks.
type Candidate struct {
	Mechanism Mechanism `json:"mechanism"`
	Share     *float64  `json:"share,omitempty"` // nil: none of its rows with a budget is measured, or none breaks
	Row       string    `json:"row,omitempty"`   // whose budget breaks first
	Assumed   bool      `json:"assumed_budget,omitempty"`
	Rests     int       `json:"rows_resting_on_it"`
	Why       string    `json:"why"`
}

// Candidates are all mechanisms in the order in which they are missing: by the rule, the one whose budget breaks at the smallest
// share of the planned size; of those that are close, the one on a message's way, and then the one on which more rows rest.
// Those without a share come last, in the order of Mechanisms.
func Candidates(answers []Answer) []Candidate {
	var open, without []Candidate
	for _, mechanism := range Mechanisms() {
		candidate := candidateOf(mechanism, answers)
		if candidate.Share == nil {
			without = append(without, candidate)
			continue
		}
		open = append(open, candidate)
	}
	slices.SortStableFunc(open, func(a, b Candidate) int { return cmp.Compare(*a.Share, *b.Share) })
	var ordered []Candidate
	for len(open) > 0 {
		chosen := pick(open)
		candidate := open[chosen]
		candidate.Why = reason(open, chosen)
		ordered = append(ordered, candidate)
		open = slices.Delete(open, chosen, chosen+1)
	}
	return append(ordered, without...)
}

func candidateOf(mechanism Mechanism, answers []Answer) Candidate {
	candidate := Candidate{Mechanism: mechanism, Why: "no budget of it is measured, or none breaks: no place in the order"}
	for i := range answers {
		answer := &answers[i]
		if answer.Mechanism != mechanism.ID {
			continue
		}
		candidate.Rests++
		if answer.Share == nil || answer.Reported != "" {
			continue
		}
		if candidate.Share == nil || *answer.Share < *candidate.Share {
			candidate.Share, candidate.Row, candidate.Assumed = answer.Share, answer.What, answer.Budget.Assumed
		}
	}
	return candidate
}

// isClose tells whether a share is close to the smallest one.
func isClose(share, smallest float64) bool { return share <= closeBy*smallest }

// pick chooses among candidates in the order of their shares.
func pick(open []Candidate) int {
	best := 0
	for i := 1; i < len(open) && isClose(*open[i].Share, *open[0].Share); i++ {
		if goesBefore(open[i], open[best]) {
			best = i
		}
	}
	return best
}

// goesBefore tells which of two close candidates is to be taken.
func goesBefore(a, b Candidate) bool {
	if a.Mechanism.OnPath != b.Mechanism.OnPath {
		return a.Mechanism.OnPath
	}
	return a.Rests > b.Rests
}

func reason(open []Candidate, chosen int) string {
	if chosen == 0 {
		if len(open) > 1 && isClose(*open[1].Share, *open[0].Share) {
			return "smallest share of those left; of those close to it, none goes before it"
		}
		return "smallest share of those left"
	}
	smallest, taken := open[0], open[chosen]
	if taken.Mechanism.OnPath && !smallest.Mechanism.OnPath {
		return fmt.Sprintf("close to %q, and on a message's way", smallest.Mechanism.ID)
	}
	return fmt.Sprintf("close to %q, and more rows rest on it (%d and %d)", smallest.Mechanism.ID, taken.Rests, smallest.Rests)
}

// reason is why a candidate stands where it does, with what no run can show of it.
func (c *Candidate) reason() string {
	if c.Mechanism.Unshown == "" {
		return c.Why
	}
	return c.Why + "; " + c.Mechanism.Unshown
}

// Trial is the choice made again with other budgets.
type Trial struct {
	Times float64     `json:"times"` // the assumed budgets
	First MechanismID `json:"first"`
	Share float64     `json:"share"`
}

// trialTimes are how many times smaller and larger the assumed budgets are taken.
var trialTimes = []float64{0.1, 10}
