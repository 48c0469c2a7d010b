package scenario

import (
	"fmt"

	"pineport/config"
	"pineport/dispatch"
)

// Settings returns the settings of a courier, in the form of the key "settings" of its configuration.
func (w *Instance) Settings(courier int) map[string]any {
	def := w.Definition
	var classes, tenants []any
	for _, wl := range def.Classes {
		group, repeat := "all", "single_shot"
		if wl.DedupOneZone {
			group = "zone"
		}
		switch wl.Idempotency {
		case "replayable":
			repeat = "free"
		case "referenced":
			repeat = "guarded"
		}
		classes = append(classes, map[string]any{"name": wl.Name, "slo-s": wl.Objective, "deadline-s": wl.Deadline,
			"points": wl.Priority, "late-worth": wl.LateValue, "idempotency": repeat, "dedup-window-s": wl.DedupWindow,
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
		types, separateRoutes, perCall = append(types, k.Name), append(separateRoutes, k.SeparateRoutes), append(perCall, k.PerCall)
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
		"ceilings": map[string]any{"open-cap": w.QueueLimit, "try-limit": def.Fleet.MaxAttempts, "may-cancel": def.Fleet.MayCancel,
			"retry-after": def.Fleet.SendRetryAfter, "max-retry-after-s": def.Fleet.MaxRetryAfter, "conn-idle-s": def.Fleet.IdleTimeout,
			"connect-timeout-s": def.Fleet.ConnectTimeout / 1000},
		"rules": map[string]any{"cold-from": r.SlowStartInitialShare, "ramp-time-s": r.SlowStart, "fall-multiple": r.OverloadFactor, "key-rest-s": r.KeyCooldown,
			"drain-grace-s": r.DrainGrace},
	}
}

// Quota returns the quota of a tenant in messages per second.
func (w *Instance) Quota(p Tenant) float64 { return p.Share * w.Definition.Traffic.FullLoadPerSec }

// Config returns the same settings as a configuration of the dispatcher. It converts them with the code that a real courier uses. seed is
// the seed of the random numbers of the courier.
func (w *Instance) Config(courier int, seed int64) (dispatch.Config, error) {
	cfg, err := config.DispatchConfig(seed, config.Flatten(w.Settings(courier)))
	if err != nil {
		return cfg, fmt.Errorf("scenario %s: %w", w.Definition.Name, err)
	}
	return cfg, nil
}

// InitialEntries returns the endpoint list at the start of the run.
func (w *Instance) InitialEntries() (all []dispatch.EndpointEntry) {
	for i := range w.Destinations {
		for _, e := range w.Destinations[i].Endpoints {
			all = append(all, w.Entry(i, e.ID, e.Zone, dispatch.InService))
		}
	}
	return all
}

// Entry returns the entry of an endpoint in the endpoint list.
func (w *Instance) Entry(dest int, id dispatch.EndpointID, zone dispatch.ZoneID, phase dispatch.Phase) dispatch.EndpointEntry {
	dst := &w.Destinations[dest]
	return dispatch.EndpointEntry{Endpoint: id, Zone: zone, Type: dst.Plan.Kind, Destination: dispatch.DestinationID(dest), Phase: phase, Rate: dst.ListedRate}
}
