package server

import (
	"maps"
	"slices"

	"pineport/admin"
	"pineport/dispatch"
)

// endingKind is what the end of a message is counted under.
type endingKind int

const (
	delivered endingKind = iota
	rejected
	failed
	numEndings
)

// counters are the metrics for operators, each counted where it happens.
type counters struct {
	endings    [][numEndings]int64 // by class
	calls      int64
	unfinished int64 // accepted and not ended
}

// grow makes room for further classes.
func (c *counters) grow(classes int) {
	c.endings = append(c.endings, make([][numEndings]int64, max(0, classes-len(c.endings)))...)
}

func (c *counters) accepted() { c.unfinished++ }
func (c *counters) ended()    { c.unfinished-- }

// count counts the end of a message of a class; an unknown one is ignored.
func (s *Server) count(class string, how endingKind) {
	if w := slices.Index(s.deployment.Classes, class); w >= 0 {
		s.counters.endings[w][how]++
	}
}

// collectMetrics returns a copy of the counters.
func (s *Server) collectMetrics() *admin.Metrics {
	f := &admin.Metrics{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{},
		Dispatches: s.counters.calls, Concurrent: s.counters.unfinished, Targets: int64(len(s.endpoints)),
		ReloadSuccess: s.operators.reloads, ReloadFailure: s.operators.failedReloads.Load()}
	for w, name := range s.deployment.Classes {
		f.Success[name], f.Overload[name], f.Error[name] = s.counters.endings[w][delivered], s.counters.endings[w][rejected], s.counters.endings[w][failed]
	}
	if c, ok := s.dispatcher.(interface {
		Avoided(dispatch.Micros, dispatch.EndpointID) bool
	}); ok {
		for id := range maps.Keys(s.endpoints) {
			if c.Avoided(s.now, id) {
				f.TargetsDisabled++
			}
		}
	}
	return f
}
