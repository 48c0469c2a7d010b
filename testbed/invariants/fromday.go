package invariants

import (
	"math"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// SetupFor returns the setup for a scenario. It is complete for virtual time; a run in real time has to add the tolerances.
func SetupFor(instance *scenario.Instance) Setup {
	definition, micros := instance.Definition, func(s float64) dispatch.Micros { return dispatch.Micros(math.Round(s * 1e6)) }
	setup := Setup{OverQuotaFactor: definition.Rules.OverQuotaFactor, HalvingDecay: definition.Rules.Decay == "halves", Length: instance.Length,
		AnswerGrace: micros(definition.Rules.AnswerGrace), DrainGrace: micros(definition.Rules.DrainGrace), KeyCooldown: micros(definition.Rules.KeyCooldown),
		ScoreWeights: Weights{definition.Goal.Overall, definition.Goal.WorstWindow, definition.Goal.WorstClass, definition.Goal.WorstTenant},
		Prices:       Prices{definition.Prices.Waste, definition.Prices.Handshake, definition.Prices.Refused}}
	for _, wl := range definition.Classes {
		setup.Classes = append(setup.Classes, Class{Name: wl.Name, Objective: micros(wl.Objective), Deadline: micros(wl.Deadline),
			Priority: wl.Priority, LateValue: wl.LateValue, Idempotency: ParseIdempotency(wl.Idempotency), DedupWindow: micros(wl.DedupWindow), DedupOneZone: wl.DedupOneZone,
			InOrder: wl.InOrder})
	}
	for _, p := range definition.Tenants {
		setup.Tenants = append(setup.Tenants, p.Name)
		setup.Quotas = append(setup.Quotas, instance.Quota(p))
	}
	return setup
}

// ParseIdempotency returns the idempotency that the key "repeat" of a scenario file names.
func ParseIdempotency(word string) dispatch.Idempotency {
	switch word {
	case "replayable":
		return dispatch.Idempotent
	case "referenced":
		return dispatch.IdempotencyKey
	}
	return dispatch.AtMostOnce
}
