package report

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"pineport/testbed/fleet"
)

// Parts draws what of the limits couriers granted and leased over time: summed, and for the destinations with most of it.
func Parts(dir string, parts fleet.LeaseHistory) (file string, err error) {
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
	lines := map[string][]float64{"lent, all": sums(func(l *fleet.LeaseTotals) []float64 { return l.Granted }),
		"borrowed, all": sums(func(l *fleet.LeaseTotals) []float64 { return l.Leased })}
	dests := slices.SortedFunc(maps.Keys(parts), func(a, b int32) int {
		return cmp.Or(-cmp.Compare(total(parts[a].Leased), total(parts[b].Leased)), cmp.Compare(a, b))
	})
	for _, d := range dests[:min(4, len(dests))] {
		lines[fmt.Sprintf("borrowed, destination %d", d)] = parts[d].Leased
	}
	p := newPlot("Parts of limits lent and borrowed", "limits")
	if err := addAll(p, 1, lines); err != nil {
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
