package report

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"pineport/testbed/fleet"
)

// DrawLeases draws, over time, the shares of the destinations' limits that couriers granted to other couriers and that couriers leased from
// others: the sums over all destinations, and the leased shares of the four destinations with the highest sum over time.
func DrawLeases(dir string, parts fleet.LeaseHistory) (file string, err error) {
	sums := func(of func(*fleet.LeaseTotals) []float64) (all []float64) {
		for _, leases := range parts {
			for i, v := range of(leases) {
				if i == len(all) {
					all = append(all, 0)
				}
				all[i] += v
			}
		}
		return all
	}
	lines := map[string][]float64{"total granted by all couriers": sums(func(l *fleet.LeaseTotals) []float64 { return l.Granted }),
		"leased by all couriers": sums(func(l *fleet.LeaseTotals) []float64 { return l.Leased })}
	dests := slices.SortedFunc(maps.Keys(parts), func(a, b int32) int {
		return cmp.Or(-cmp.Compare(total(parts[a].Leased), total(parts[b].Leased)), cmp.Compare(a, b))
	})
	for _, d := range dests[:min(4, len(dests))] {
		lines[fmt.Sprintf("leased, destination %d", d)] = parts[d].Leased
	}
	p := newPlot("Quota shares granted to and leased from other couriers, as multiples of a destination's limit", "limits")
	if err := addLines(p, 1, lines); err != nil {
		return "", err
	}
	return "parts.svg", p.Save(width, height, filepath.Join(dir, "parts.svg"))
}

func total(all []float64) (sum float64) {
	for _, v := range all {
		sum += v
	}
	return sum
}
