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

// flatSettings reads settings by path from a flat map. It keeps the first error.
type flatSettings struct {
	values map[string]string
	prefix string // prepended to keys in error messages
	err    error
}

func (p *flatSettings) number(key string) float64 {
	text, ok := p.values[key]
	if !ok || text == "" || text == "-" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = strconv.ErrRange
	}
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s%s: a number expected, got %q", p.prefix, key, text)
	}
	return value
}

// count reads an integer from 0 to 1e6.
func (p *flatSettings) count(key string) int {
	n := p.number(key)
	if (n < 0 || n > 1e6 || n != math.Trunc(n)) && p.err == nil {
		p.err = fmt.Errorf("%s%s: a count from 0 to 1e6 expected, got %v", p.prefix, key, n)
	}
	return int(n)
}

func (p *flatSettings) duration(key string) dispatch.Micros { return Micros(p.number(key)) }
func (p *flatSettings) flag(key string) bool                { return p.values[key] == "true" || p.values[key] == "1" }

func (p *flatSettings) words(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// Micros converts seconds to microseconds, rounded.
func Micros(seconds float64) dispatch.Micros { return dispatch.Micros(math.Round(seconds * 1e6)) }

// ValidateSettings checks flat settings that do not come from a file against the schema. It returns a Fault for the first
// key, in sorted order, whose value is invalid or contradicts another one. Unknown keys are ignored.
func ValidateSettings(values map[string]string) error {
	for _, path := range slices.Sorted(maps.Keys(values)) {
		text := values[path]
		key, ok := Lookup("settings." + path)
		if ok && !key.Ignored && text != "" && text != "-" && !key.accepts(text) {
			return Fault{Key: path, Problem: fmt.Sprintf("%s expected, got %q", key.Expects(), text)}
		}
		if deadline := strings.TrimSuffix(path, "slo-s") + "deadline-s"; strings.HasSuffix(path, ".slo-s") && isGreater(text, values[deadline]) {
			return Fault{Key: path, Problem: fmt.Sprintf("must not exceed deadline-s (%s s), got %s s", values[deadline], text)}
		}
	}
	return nil
}

// DispatchConfig builds the configuration of a dispatcher from flat settings, with paths such as classes.0.points. The dispatcher
// seeds its random draws with seed.
func DispatchConfig(seed int64, values map[string]string) (dispatch.Config, error) {
	p := &flatSettings{values: values, prefix: "settings."}
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
		MaxRetryAfter:         p.duration("ceilings.max-retry-after-s"),
		IdleTimeout:           p.duration("ceilings.conn-idle-s"),
		Tick:                  p.duration("tick-s"),
		MustPoll:              p.values["discovery"] == "subscribe",
		SlowStartInitialShare: p.number("rules.cold-from"),
		SlowStart:             p.duration("rules.ramp-time-s"),
		OverloadFactor:        p.number("rules.fall-multiple"),
		KeyCooldown:           p.duration("rules.key-rest-s"),
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
	// In load reports, x0 is the remaining share of the limit and x1 is the limit in calls per second.
	config.ReportRemainingIndex, config.ReportRateIndex = p.reportIndex("x0"), p.reportIndex("x1")
	config.Classes = p.classes()
	config.EndpointTypes = p.endpointTypes()
	for i := range p.count("tenants.count") {
		config.Tenants = append(config.Tenants, dispatch.Tenant{RatePerSecond: p.number(fmt.Sprintf("tenants.%d.quota-per-s", i))})
	}
	for _, word := range p.words("family-info.route-fee") {
		cost, _ := strconv.ParseFloat(word, 64) // validated by Document.check or ValidateSettings
		config.GroupCost = append(config.GroupCost, cost)
	}
	return config, p.err
}

// reportIndex returns the position of a value in a load report, or -1 if the report does not have it.
func (p *flatSettings) reportIndex(name string) int {
	index := -1
	for i, field := range p.words("telemetry.fields") {
		if field == name {
			index = i
		}
	}
	return index
}

func (p *flatSettings) classes() (classes []dispatch.Class) {
	for i := range p.count("classes.count") {
		prefix := fmt.Sprintf("classes.%d.", i)
		class := dispatch.Class{
			Objective:         p.duration(prefix + "slo-s"),
			TimeToLive:        p.duration(prefix + "deadline-s"),
			Priority:          p.number(prefix + "points"),
			LateFactor:        p.number(prefix + "late-worth"),
			SameZone:          p.values[prefix+"group"] != "all",
			IdempotencyWindow: p.duration(prefix + "dedup-window-s"),
			Ordered:           p.flag(prefix + "in-order"),
			Idempotency:       dispatch.AtMostOnce,
		}
		switch p.values[prefix+"idempotency"] {
		case "free":
			class.Idempotency = dispatch.Idempotent
		case "guarded":
			class.Idempotency = dispatch.IdempotencyKey
		}
		classes = append(classes, class)
	}
	return classes
}

func (p *flatSettings) endpointTypes() (types []dispatch.EndpointType) {
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
