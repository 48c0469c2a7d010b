package invariants

import (
	"math"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// SetupFor is the setup for a day in virtual time.
func SetupFor(w *scenario.Instance) Setup {
	d, us := w.Definition, func(s float64) dispatch.Micros { return dispatch.Micros(math.Round(s * 1e6)) }
	setup := Setup{OverShare: d.Rules.OverShare, Halves: d.Rules.Decay == "halves", Length: w.Length,
		AnswerGrace: us(d.Rules.AnswerGrace), DrainGrace: us(d.Rules.DrainGrace), KeyRest: us(d.Rules.KeyRest),
		Goal:   Weights{d.Goal.Overall, d.Goal.WorstWindow, d.Goal.Class, d.Goal.Tenant},
		Prices: Prices{d.Prices.Waste, d.Prices.Handshake, d.Prices.Refused}}
	for _, wl := range d.Classes {
		setup.Classes = append(setup.Classes, Class{Name: wl.Name, Objective: us(wl.Objective), Life: us(wl.Deadline),
			Priority: wl.Priority, LatePart: wl.LatePart, Idempotency: ParseIdempotency(wl.Idempotency), DedupWindow: us(wl.DedupWindow), DedupOneZone: wl.DedupOneZone,
			InOrder: wl.InOrder})
	}
	for _, p := range d.Tenants {
		setup.Tenants = append(setup.Tenants, p.Name)
		setup.Quotas = append(setup.Quotas, w.Quota(p))
	}
	return setup
}

// ParseIdempotency reads the word of a day's file.
func ParseIdempotency(word string) dispatch.Idempotency {
	switch word {
	case "replayable":
		return dispatch.Idempotent
	case "referenced":
		return dispatch.IdempotencyKey
	}
	return dispatch.AtMostOnce
}
