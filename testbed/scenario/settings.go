package scenario

import (
	"fmt"

	"pineport/config"
	"pineport/dispatch"
)

// Settings returns the settings of a courier, in the form of the key "settings" of its configuration.
func (w *Drawn) Settings(courier int) map[string]any {
	def := w.Day
	var classes, tenants []any
	for _, wl := range def.Classes {
		group, repeat := "all", "single_shot"
		if wl.OneZone {
			group = "zone"
		}
		switch wl.Repeat {
		case "replayable":
			repeat = "free"
		case "referenced":
			repeat = "guarded"
		}
		classes = append(classes, map[string]any{"name": wl.Name, "slo-s": wl.Objective, "deadline-s": wl.CutOff,
			"points": wl.Priority, "late-worth": wl.LateValue, "idempotency": repeat, "dedup-window-s": wl.Window,
			"group": group, "in-order": wl.InOrder})
	}
	for _, p := range def.Tenants {
		tenants = append(tenants, map[string]any{"name": p.Name, "share": p.Share, "quota-per-s": w.Quota(p)})
	}
	var types []string
	var separateRoutes []bool
	var perCall []int
	var fields []string
	for _, k := range def.Kinds {
		types, separateRoutes, perCall = append(types, k.Name), append(separateRoutes, k.Apart), append(perCall, k.PerCall)
		if k.Reports {
			fields = []string{"x0", "x1"}
		}
	}
	discovery, rates := "automatic", def.Directory.Rates
	if def.Directory.Mode == "ask" {
		discovery = "subscribe"
	}
	if rates == "none" {
		rates = "silent"
	}
	r := def.Rules
	return map[string]any{
		"fleet-size": def.Fleet.Couriers, "ordinal": courier, "locality": int(w.CourierZone[courier]), "zones": def.Fleet.Zones,
		"classes": classes, "tenants": tenants, "shapes": types, "discovery": discovery, "weight-kind": rates,
		"tick-s": def.Fleet.Tick / 1000, "over-share-worth": r.OverQuotaFactor, "telemetry": map[string]any{"fields": fields},
		"family-info": map[string]any{"slots": w.Slots, "decay": map[string]string{"halves": "halves", "evenly": "line"}[r.Decay],
			"per-call": perCall, "separate-routes": separateRoutes},
		"ceilings": map[string]any{"open-cap": w.Hold, "try-limit": def.Fleet.MaxAttempts, "may-cancel": def.Fleet.MayCancel,
			"retry-after": def.Fleet.SendRetryAfter, "max-retry-after-s": def.Fleet.LongestWait, "conn-idle-s": def.Fleet.Idle,
			"connect-timeout-s": def.Fleet.Connect / 1000},
		"rules": map[string]any{"cold-from": r.ColdFrom, "ramp-time-s": r.Ramp, "fall-multiple": r.Fall, "key-rest-s": r.KeyCooldown,
			"drain-grace-s": r.DrainGrace},
	}
}

// Quota returns the quota of a tenant in messages per second.
func (w *Drawn) Quota(p Tenant) float64 { return p.Share * w.Day.Traffic.FullPerSec }

// Config returns the same settings as a configuration of the dispatcher. It converts them with the code that a real courier uses. seed is
// the seed of the random numbers of the courier.
func (w *Drawn) Config(courier int, seed int64) (dispatch.Config, error) {
	cfg, err := config.DispatchConfig(seed, config.Flatten(w.Settings(courier)))
	if err != nil {
		return cfg, fmt.Errorf("scenario %s: %w", w.Day.Name, err)
	}
	return cfg, nil
}

// List returns the endpoint list at the start of the run.
func (w *Drawn) List() (all []dispatch.EndpointEntry) {
	for i := range w.Destinations {
		for _, e := range w.Destinations[i].Endpoints {
			all = append(all, w.Listing(i, e.ID, e.Zone, dispatch.InService))
		}
	}
	return all
}

// Listing returns the entry of an endpoint in the endpoint list.
func (w *Drawn) Listing(dest int, id dispatch.EndpointID, zone dispatch.ZoneID, phase dispatch.Phase) dispatch.EndpointEntry {
	dst := &w.Destinations[dest]
	return dispatch.EndpointEntry{Endpoint: id, Zone: zone, Type: dst.Plan.Kind, Destination: dispatch.DestinationID(dest), Phase: phase, Rate: dst.ListedRate}
}
