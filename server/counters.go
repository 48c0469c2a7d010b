package server

import (
	"maps"
	"slices"

	"pineport/admin"
	"pineport/dispatch"
)

// endingKind is how a message ended, for the metrics.
type endingKind int

const (
	delivered endingKind = iota
	rejected
	failed
	numEndings
)

// counters are the counters behind the metrics for operators.
type counters struct {
	endings    [][numEndings]int64 // indexed by class
	attempts   int64               // attempts written to endpoints
	unfinished int64               // messages accepted and not ended
}

// grow adds counters for new classes.
func (c *counters) grow(classes int) {
	c.endings = append(c.endings, make([][numEndings]int64, max(0, classes-len(c.endings)))...)
}

func (c *counters) accepted() { c.unfinished++ }
func (c *counters) ended()    { c.unfinished-- }

// count counts the end of a message of the given class. Unknown classes are ignored.
func (s *Server) count(class string, kind endingKind) {
	if i := slices.Index(s.deployment.Classes, class); i >= 0 {
		s.counters.endings[i][kind]++
	}
}

// collectMetrics returns a snapshot of the metrics. In the metrics, Success, Overload and Error count
// delivered, rejected and failed messages, Dispatches counts attempts, Concurrent unfinished messages and
// Targets listed endpoints. TargetsDisabled counts the endpoints that get no new messages, for whatever
// reason.
func (s *Server) collectMetrics() *admin.Metrics {
	metrics := &admin.Metrics{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{},
		Dispatches: s.counters.attempts, Concurrent: s.counters.unfinished, Targets: int64(len(s.endpoints)),
		ReloadSuccess: s.admin.reloads, ReloadFailure: s.admin.failedReloads.Load()}
	for i, name := range s.deployment.Classes {
		metrics.Success[name], metrics.Overload[name], metrics.Error[name] = s.counters.endings[i][delivered], s.counters.endings[i][rejected], s.counters.endings[i][failed]
	}
	if avoider, ok := s.dispatcher.(interface {
		Avoided(dispatch.Micros, dispatch.EndpointID) bool
	}); ok {
		for id := range maps.Keys(s.endpoints) {
			if avoider.Avoided(s.now, id) {
				metrics.TargetsDisabled++
			}
		}
	}
	return metrics
}
