package invariants

import (
	"math"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// ForDay is the setup for a day in virtual time.
func ForDay(w *scenario.Drawn) Setup {
	d, us := w.Day, func(s float64) dispatch.Micros { return dispatch.Micros(math.Round(s * 1e6)) }
	setup := Setup{OverShare: d.Rules.OverShare, Halves: d.Rules.Decay == "halves", Length: w.Length,
		AnswerSlack: us(d.Rules.AnswerSlack), DrainGrace: us(d.Rules.DrainGrace), KeyRest: us(d.Rules.KeyRest),
		Goal:   Weights{d.Goal.Whole, d.Goal.Window, d.Goal.Class, d.Goal.Tenant},
		Prices: Prices{d.Prices.Waste, d.Prices.Handshake, d.Prices.Refused}}
	for _, wl := range d.Classes {
		setup.Classes = append(setup.Classes, Class{Name: wl.Name, Objective: us(wl.Objective), Life: us(wl.CutOff),
			Priority: wl.Priority, LatePart: wl.LatePart, Repeat: RepeatOf(wl.Repeat), Window: us(wl.Window), OneZone: wl.OneZone,
			InOrder: wl.InOrder})
	}
	for _, p := range d.Tenants {
		setup.Tenants = append(setup.Tenants, p.Name)
		setup.Quotas = append(setup.Quotas, w.Quota(p))
	}
	return setup
}

// RepeatOf reads the word of a day's file.
func RepeatOf(word string) dispatch.Idempotency {
	switch word {
	case "replayable":
		return dispatch.Idempotent
	case "referenced":
		return dispatch.IdempotencyKey
	}
	return dispatch.AtMostOnce
}
