package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"pineport/dispatch"
)

// pairs are settings by their paths, read key by key; the first fault is kept.
type pairs struct {
	values map[string]string
	prefix string // of the keys, in messages
	err    error
}

func (p *pairs) number(key string) float64 {
	text, ok := p.values[key]
	if !ok || text == "" || text == "-" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = strconv.ErrRange
	}
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s%s: a number was expected, not %q", p.prefix, key, text)
	}
	return value
}

func (p *pairs) count(key string) int {
	n := p.number(key)
	if (n < 0 || n > 1e6 || n != math.Trunc(n)) && p.err == nil {
		p.err = fmt.Errorf("%s%s: a count was expected, not %v", p.prefix, key, n)
	}
	return int(n)
}

func (p *pairs) span(key string) dispatch.Micros { return Micros(p.number(key)) }
func (p *pairs) flag(key string) bool            { return p.values[key] == "true" || p.values[key] == "1" }

func (p *pairs) words(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// Micros steps seconds into the decisions' unit.
func Micros(seconds float64) dispatch.Micros { return dispatch.Micros(math.Round(seconds * 1e6)) }

// Sound checks settings that come without a file, by their paths, against the schema. It returns a Fault for the first key whose value
// does not fit, or contradicts another one. Unknown keys are ignored.
func Sound(values map[string]string) error {
	for _, path := range slices.Sorted(maps.Keys(values)) {
		text := values[path]
		key, ok := Lookup("settings." + path)
		if ok && !key.Ignored && text != "" && text != "-" && !key.fits(text) {
			return Fault{Key: path, Problem: fmt.Sprintf("%s was expected, not %q", key.Expects(), text)}
		}
		if cut := strings.TrimSuffix(path, "slo-s") + "deadline-s"; strings.HasSuffix(path, ".slo-s") && later(text, values[cut]) {
			return Fault{Key: path, Problem: fmt.Sprintf("not after deadline-s of %s s, but %s s", values[cut], text)}
		}
	}
	return nil
}

// DispatchConfig decodes the configuration of a dispatcher from the settings, by paths such as classes.0.points; seed is that of its draws.
func DispatchConfig(seed int64, values map[string]string) (dispatch.Config, error) {
	p := &pairs{values: values, prefix: "settings."}
	config := dispatch.Config{
		Seed:                  seed,
		Couriers:              p.count("fleet-size"),
		CourierNumber:         p.count("ordinal"),
		OverQuotaFactor:       p.number("over-share-worth"),
		Slots:                 p.count("family-info.slots"),
		QueueLimit:            p.count("ceilings.open-cap"),
		MaxAttempts:           p.count("ceilings.try-limit"),
		MayCancel:             p.flag("ceilings.may-cancel"),
		MaySendRetryAfter:     p.flag("ceilings.retry-after"),
		MaxRetryAfter:         p.span("ceilings.max-retry-after-s"),
		IdleTimeout:           p.span("ceilings.conn-idle-s"),
		Tick:                  p.span("tick-s"),
		MustPoll:              p.values["discovery"] == "subscribe",
		SlowStartInitialShare: p.number("rules.cold-from"),
		SlowStart:             p.span("rules.ramp-time-s"),
		OverloadFactor:        p.number("rules.fall-multiple"),
		KeyCooldown:           p.span("rules.key-rest-s"),
		Zone:                  dispatch.ZoneID(p.count("locality")),
		CrossZoneCost:         p.number("prices.cross-zone"),
	}
	if p.values["family-info.decay"] == "halves" {
		config.Decay = dispatch.HalvingDecay
	}
	switch p.values["weight-kind"] {
	case "rough":
		config.RateQuality = dispatch.RoughRates
	case "nominal":
		config.RateQuality = dispatch.NominalRates
	}
	config.ReportRemainingIndex, config.ReportRateIndex = p.reportIndex("x0"), p.reportIndex("x1")
	config.Classes = p.classes()
	config.EndpointTypes = p.endpointTypes()
	for i := range p.count("tenants.count") {
		config.Tenants = append(config.Tenants, dispatch.Tenant{RatePerSecond: p.number(fmt.Sprintf("tenants.%d.quota-per-s", i))})
	}
	for _, word := range p.words("family-info.route-fee") {
		cost, _ := strconv.ParseFloat(word, 64) // held against the schema before
		config.GroupCost = append(config.GroupCost, cost)
	}
	return config, p.err
}

// reportIndex is where a value stands in a load report; -1 if it is not in it.
func (p *pairs) reportIndex(name string) int {
	index := -1
	for i, field := range p.words("telemetry.fields") {
		if field == name {
			index = i
		}
	}
	return index
}

func (p *pairs) classes() (classes []dispatch.Class) {
	for i := range p.count("classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		class := dispatch.Class{
			Objective:         p.span(at + "slo-s"),
			TimeToLive:        p.span(at + "deadline-s"),
			Priority:          p.number(at + "points"),
			LateFactor:        p.number(at + "late-worth"),
			SameZone:          p.values[at+"group"] != "all",
			IdempotencyWindow: p.span(at + "dedup-window-s"),
			Ordered:           p.flag(at + "in-order"),
			Idempotency:       dispatch.AtMostOnce,
		}
		switch p.values[at+"idempotency"] {
		case "free":
			class.Idempotency = dispatch.Idempotent
		case "guarded":
			class.Idempotency = dispatch.IdempotencyKey
		}
		classes = append(classes, class)
	}
	return classes
}

func (p *pairs) endpointTypes() (types []dispatch.EndpointType) {
	separate, perCall := p.words("family-info.separate-routes"), p.words("family-info.per-call")
	for i := range p.words("shapes") {
		endpointType := dispatch.EndpointType{MaxPerCall: 1}
		if i < len(separate) {
			endpointType.Separate = separate[i] == "true"
		}
		if i < len(perCall) {
			if n, err := strconv.Atoi(perCall[i]); err == nil && n > 1 {
				endpointType.MaxPerCall = n
			}
		}
		types = append(types, endpointType)
	}
	return types
}
