package invariants

import (
	"math"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// ForDay returns the setup for a scenario. It is complete for virtual time; a run in real time has to add the tolerances.
func ForDay(instance *scenario.Drawn) Setup {
	definition, micros := instance.Day, func(s float64) dispatch.Micros { return dispatch.Micros(math.Round(s * 1e6)) }
	setup := Setup{OverQuotaFactor: definition.Rules.OverQuotaFactor, HalvingDecay: definition.Rules.Decay == "halves", Length: instance.Length,
		AnswerSlack: micros(definition.Rules.AnswerSlack), DrainGrace: micros(definition.Rules.DrainGrace), KeyCooldown: micros(definition.Rules.KeyCooldown),
		ScoreWeights: Weights{definition.Goal.Whole, definition.Goal.Window, definition.Goal.WorstClass, definition.Goal.WorstTenant},
		Prices:       Prices{definition.Prices.Waste, definition.Prices.Handshake, definition.Prices.Refused}}
	for _, wl := range definition.Classes {
		setup.Classes = append(setup.Classes, Class{Name: wl.Name, Objective: micros(wl.Objective), Deadline: micros(wl.CutOff),
			Priority: wl.Priority, LateValue: wl.LateValue, Repeat: RepeatOf(wl.Repeat), Window: micros(wl.Window), OneZone: wl.OneZone,
			InOrder: wl.InOrder})
	}
	for _, p := range definition.Tenants {
		setup.Tenants = append(setup.Tenants, p.Name)
		setup.Quotas = append(setup.Quotas, instance.Quota(p))
	}
	return setup
}

// RepeatOf returns the idempotency that the key "repeat" of a scenario file names.
func RepeatOf(word string) dispatch.Idempotency {
	switch word {
	case "replayable":
		return dispatch.Idempotent
	case "referenced":
		return dispatch.IdempotencyKey
	}
	return dispatch.AtMostOnce
}
