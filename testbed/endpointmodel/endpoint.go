package endpointmodel

import (
	"slices"

	"pineport/dispatch"
)

type endpoint struct {
	Endpoint
	route       *route
	busyWorkers int
	queue       []*job
	openConns   int    // connections
	active      []*job // in hand, oldest first; those that hang among them
	unanswered  []*job // sent into silence
	removed     bool
	outage      bool
	faultEffects
	faults []Fault
}

// ill is what all faults at an endpoint come to.
type faultEffects struct {
	refusesConns, silent, hangs, throttlesAll, paused bool
	opensAt                                           dispatch.Micros // when a shut endpoint opens
	hangEffectShare                                   float64
	errorShare, errorEffectShare                      float64
	lostAnswerShare, resetShare, resetEffectShare     float64
	slowdown, connShare                               float64
}

// diagnose sums up the faults.
func (ep *endpoint) updateEffects(overloaded bool) {
	ep.faultEffects = faultEffects{slowdown: 1, connShare: 1, refusesConns: overloaded}
	ep.outage = overloaded
	for _, s := range ep.faults {
		ep.outage = ep.outage || s.outage()
		switch s.Kind {
		case Refuse:
			ep.refusesConns = true
		case Silent:
			ep.silent = true
		case Hang:
			ep.hangs, ep.hangEffectShare = true, max(ep.hangEffectShare, s.Acts)
		case Shut:
			ep.throttlesAll, ep.opensAt = true, max(ep.opensAt, s.Until)
		case Errors:
			ep.errorShare, ep.errorEffectShare = max(ep.errorShare, s.Size), max(ep.errorEffectShare, s.Acts)
		case Swallow:
			ep.lostAnswerShare = max(ep.lostAnswerShare, s.Size)
		case Resets:
			ep.resetShare, ep.resetEffectShare = max(ep.resetShare, s.Size), max(ep.resetEffectShare, s.Acts)
		case Slow:
			ep.slowdown *= max(1, s.Size)
		case Pause:
			ep.paused = true
		case Crowd:
			ep.connShare *= s.Size
		}
	}
}

// job is a call in hand.
type job struct {
	call           *Call
	ep             *endpoint
	result         jobResult
	started        bool // a worker is on it
	ended          bool
	canceled       bool // off
	dueWhilePaused dispatch.Micros
}

// fate is what will come of a job, settled when it begins.
type jobResult struct {
	outcome     dispatch.Outcome
	takesEffect bool
	noAnswer    bool // no answer comes
	retryAfter  dispatch.Micros
}

func (ep *endpoint) removeJob(j *job) {
	if i := slices.Index(ep.active, j); i >= 0 {
		ep.active = slices.Delete(ep.active, i, i+1)
	}
	if i := slices.Index(ep.queue, j); i >= 0 {
		ep.queue = slices.Delete(ep.queue, i, i+1)
	}
}
