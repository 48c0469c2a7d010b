package server

import (
	"testing"
	"time"

	"pineport/dispatch"
	"pineport/platform"
)

// TestPathsFitPlatformTimes guards against limits that each fit alone and together, with one hold-up of the process, take longer than the platform
// grants. Failures: an exit was over 0.03 s after the kill, a notice arrived 0.38 s after the deadline.
func TestPathsFitPlatformTimes(t *testing.T) {
	times := ShutdownWithinKillDelay()
	duration := func(micros dispatch.Micros) time.Duration { return time.Duration(micros) * time.Microsecond }
	const drainGrace = 500 * time.Millisecond // of the deployments
	const oneWay = platform.MaxRoundTrip / 2
	for _, path := range []struct {
		name  string
		parts []time.Duration
		limit time.Duration
	}{
		{"closing of clients", []time.Duration{times.CloseClients, duration(maxCloseTime), platform.MaxHoldUp, maxCatchUp}, platform.KillDelay},
		{"end of the process", []time.Duration{times.End, finishTimeout, platform.MaxHoldUp, maxCatchUp}, platform.KillDelay},
		// Four used connections, two of them taken by each call: one is free half a round trip later.
		{"urgent notice", []time.Duration{-duration(urgentLead), oneWay, platform.MaxHoldUp, maxCatchUp, oneWay}, platform.FinalAnswerSlack},
		{"rest of a list with a drain", []time.Duration{duration(listTimeout), platform.MaxHoldUp, maxCatchUp, oneWay}, drainGrace},
		{"notice over a second used connection, no hold-up", []time.Duration{-duration(urgentLead), duration(newConnTimeout), oneWay}, platform.FinalAnswerSlack},
	} {
		var total time.Duration
		for _, part := range path.parts {
			total += part
		}
		if total > path.limit {
			t.Errorf("%s takes %v, the platform grants %v", path.name, total, path.limit)
		}
	}
	if times.End < times.CloseClients+duration(maxCloseTime) {
		t.Errorf("clients may be closed %v after SIGTERM, the process ends after %v", times.CloseClients+duration(maxCloseTime), times.End)
	}
}
