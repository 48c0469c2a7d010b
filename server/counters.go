package server

import (
	"maps"
	"slices"

	"pineport/admin"
	"pineport/dispatch"
)

// ending is what a message is counted under.
type ending int

const (
	delivered ending = iota
	rejected
	failed
	endings
)

// counters are the figures for the operators, each counted where it happens.
type counters struct {
	ends       [][endings]int64 // by workload
	dispatches int64
	held       int64 // accepted and not ended
}

// grow makes room for further workloads.
func (c *counters) grow(workloads int) {
	c.ends = append(c.ends, make([][endings]int64, max(0, workloads-len(c.ends)))...)
}

func (c *counters) accepted() { c.held++ }
func (c *counters) ended()    { c.held-- }

// count takes down how a message of a workload ended; of an unknown one nobody asks.
func (r *Router) count(workload string, how ending) {
	if w := slices.Index(r.dep.Workloads, workload); w >= 0 {
		r.counters.ends[w][how]++
	}
}

// figures is a copy of the counters that belongs to nobody else.
func (r *Router) figures() *admin.Figures {
	f := &admin.Figures{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{},
		Dispatches: r.counters.dispatches, Concurrent: r.counters.held, Targets: int64(len(r.hosts)),
		ReloadSuccess: r.operators.reloads, ReloadFailure: r.operators.faulty.Load()}
	for w, name := range r.dep.Workloads {
		f.Success[name], f.Overload[name], f.Error[name] = r.counters.ends[w][delivered], r.counters.ends[w][rejected], r.counters.ends[w][failed]
	}
	if c, ok := r.courier.(interface {
		Avoided(dispatch.Micros, dispatch.EndpointID) bool
	}); ok {
		for id := range maps.Keys(r.hosts) {
			if c.Avoided(r.now, id) {
				f.TargetsDisabled++
			}
		}
	}
	return f
}
