package endpointmodel

import (
	"slices"

	"pineport/dispatch"
)

type endpoint struct {
	Endpoint
	route  *route
	busy   int
	queue  []*job
	open   int    // connections
	hand   []*job // in hand, oldest first; those that hang among them
	lost   []*job // sent into silence
	gone   bool
	outage bool
	ill
	faults []Fault
}

// ill is what all faults at an endpoint come to.
type ill struct {
	refuses, silent, hangs, shut, stands bool
	until                                dispatch.Micros // when a shut endpoint opens
	hangActs                             float64
	errors, errorActs                    float64
	swallow, resets, resetActs           float64
	slow, table                          float64
}

// diagnose sums up the faults.
func (ep *endpoint) diagnose(fallen bool) {
	ep.ill = ill{slow: 1, table: 1, refuses: fallen}
	ep.outage = fallen
	for _, s := range ep.faults {
		ep.outage = ep.outage || s.outage()
		switch s.Kind {
		case Refuse:
			ep.refuses = true
		case Silent:
			ep.silent = true
		case Hang:
			ep.hangs, ep.hangActs = true, max(ep.hangActs, s.EffectShare)
		case Shut:
			ep.shut, ep.until = true, max(ep.until, s.Until)
		case Errors:
			ep.errors, ep.errorActs = max(ep.errors, s.Size), max(ep.errorActs, s.EffectShare)
		case Swallow:
			ep.swallow = max(ep.swallow, s.Size)
		case Resets:
			ep.resets, ep.resetActs = max(ep.resets, s.Size), max(ep.resetActs, s.EffectShare)
		case Slow:
			ep.slow *= max(1, s.Size)
		case Stand:
			ep.stands = true
		case Crowd:
			ep.table *= s.Size
		}
	}
}

// job is a call in hand.
type job struct {
	call   *Call
	ep     *endpoint
	fate   fate
	began  bool // a worker is on it
	over   bool
	called bool // off
	after  dispatch.Micros
}

// fate is what will come of a job, settled when it begins.
type fate struct {
	outcome dispatch.Outcome
	acts    bool
	mute    bool // no answer comes
	wait    dispatch.Micros
}

func (ep *endpoint) drop(j *job) {
	if i := slices.Index(ep.hand, j); i >= 0 {
		ep.hand = slices.Delete(ep.hand, i, i+1)
	}
	if i := slices.Index(ep.queue, j); i >= 0 {
		ep.queue = slices.Delete(ep.queue, i, i+1)
	}
}
