package capacity

import (
	"cmp"
	"math"
	"slices"
)

// ordered are all rows with a budget by their shares: those that never break, and then those that are not measured, come last.
func (page *Page) ordered() []Answer {
	var all []Answer
	for _, answer := range page.allAnswers() {
		if answer.Budget != nil {
			all = append(all, answer)
		}
	}
	slices.SortStableFunc(all, func(a, b Answer) int { return cmp.Compare(a.rank(), b.rank()) })
	return all
}

// rank orders rows by their shares.
func (a *Answer) rank() float64 {
	switch {
	case a.Share != nil:
		return *a.Share
	case a.Never:
		return math.MaxFloat64
	}
	return math.Inf(1)
}
