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
	openConns   int    // open connections, idle ones included
	active      []*job // received calls without an answer, oldest first, including queued and hanging ones
	unanswered  []*job // calls that will get no answer, kept until they are canceled or their connection breaks
	removed     bool
	outage      bool
	faultEffects
	faults []Fault
}

// faultEffects is the combined effect of all faults of an endpoint.
type faultEffects struct {
	refusesConns, silent, hangs, throttlesAll, paused bool
	opensAt                                           dispatch.Micros // end of throttling, if known
	hangEffectShare                                   float64
	errorShare, errorEffectShare                      float64
	lostAnswerShare, resetShare, resetEffectShare     float64
	slowdown, connShare                               float64
}

// updateEffects combines the effects of the faults of the endpoint. overloaded is set while the route is down
// after an overload; its endpoints then refuse connections.
func (ep *endpoint) updateEffects(overloaded bool) {
	ep.faultEffects = faultEffects{slowdown: 1, connShare: 1, refusesConns: overloaded}
	ep.outage = overloaded
	for _, f := range ep.faults {
		ep.outage = ep.outage || f.outage()
		switch f.Kind {
		case Refuse:
			ep.refusesConns = true
		case Silent:
			ep.silent = true
		case Hang:
			ep.hangs, ep.hangEffectShare = true, max(ep.hangEffectShare, f.EffectShare)
		case Shut:
			ep.throttlesAll, ep.opensAt = true, max(ep.opensAt, f.Until)
		case Errors:
			ep.errorShare, ep.errorEffectShare = max(ep.errorShare, f.Size), max(ep.errorEffectShare, f.EffectShare)
		case Swallow:
			ep.lostAnswerShare = max(ep.lostAnswerShare, f.Size)
		case Resets:
			ep.resetShare, ep.resetEffectShare = max(ep.resetShare, f.Size), max(ep.resetEffectShare, f.EffectShare)
		case Slow:
			ep.slowdown *= max(1, f.Size)
		case Pause:
			ep.paused = true
		case Crowd:
			ep.connShare *= f.Size
		}
	}
}

// job is a call that an endpoint has received.
type job struct {
	call           *Call
	ep             *endpoint
	result         jobResult
	started        bool // a worker processes it
	ended          bool
	canceled       bool            // by its courier, which no longer waits for the answer
	dueWhilePaused dispatch.Micros // time at which a pause of the endpoint delayed the end of the job; 0: none
}

// jobResult is the result of a job. It is decided when the call is received.
type jobResult struct {
	outcome     dispatch.Outcome
	takesEffect bool
	noAnswer    bool // no answer is sent
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
