package capacity

import (
	"cmp"
	"math"
	"slices"
)

// rowsByShare returns all rows with a budget, sorted by share. Rows that never exceed their budget come after those that do, and rows
// that are not measured come last.
func (page *Page) rowsByShare() []RowResult {
	var all []RowResult
	for _, result := range page.allResults() {
		if result.Budget != nil {
			all = append(all, result)
		}
	}
	slices.SortStableFunc(all, func(a, b RowResult) int { return cmp.Compare(a.rank(), b.rank()) })
	return all
}

// rank returns the sort key of a row: its share, or a larger value if it has none.
func (a *RowResult) rank() float64 {
	switch {
	case a.Share != nil:
		return *a.Share
	case a.NeverBreaks:
		return math.MaxFloat64
	}
	return math.Inf(1)
}
