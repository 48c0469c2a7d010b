package scenario

import (
	"fmt"

	"pineport/config"
	"pineport/dispatch"
)

// Settings is what a courier of this day is handed at its start, in the form of its configuration's "settings".
func (w *Instance) Settings(courier int) map[string]any {
	d := w.Definition
	var classes, tenants []any
	for _, wl := range d.Classes {
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
			"points": wl.Priority, "late-worth": wl.LatePart, "idempotency": repeat, "dedup-window-s": wl.DedupWindow,
			"group": group, "in-order": wl.InOrder})
	}
	for _, p := range d.Tenants {
		tenants = append(tenants, map[string]any{"name": p.Name, "share": p.Share, "quota-per-s": w.Quota(p)})
	}
	var shapes []string
	var apart []bool
	var perCall []int
	var fields []string
	for _, k := range d.Kinds {
		shapes, apart, perCall = append(shapes, k.Name), append(apart, k.SeparateRoutes), append(perCall, k.PerCall)
		if k.Reports {
			fields = []string{"x0", "x1"}
		}
	}
	discovery, rates := "automatic", d.Directory.Rates
	if d.Directory.Mode == "ask" {
		discovery = "subscribe"
	}
	if rates == "none" {
		rates = "silent"
	}
	r := d.Rules
	return map[string]any{
		"fleet-size": d.Fleet.Couriers, "ordinal": courier, "locality": int(w.CourierZone[courier]), "zones": d.Fleet.Zones,
		"classes": classes, "tenants": tenants, "shapes": shapes, "discovery": discovery, "weight-kind": rates,
		"tick-s": d.Fleet.Tick / 1000, "over-share-worth": r.OverShare, "telemetry": map[string]any{"fields": fields},
		"family-info": map[string]any{"slots": w.Slots, "decay": map[string]string{"halves": "halves", "evenly": "line"}[r.Decay],
			"per-call": perCall, "separate-routes": apart},
		"ceilings": map[string]any{"open-cap": w.QueueLimit, "try-limit": d.Fleet.MaxAttempts, "may-cancel": d.Fleet.MayCancel,
			"retry-after": d.Fleet.MayAdvise, "max-retry-after-s": d.Fleet.MaxRetryAfter, "conn-idle-s": d.Fleet.IdleTimeout,
			"connect-timeout-s": d.Fleet.ConnectTimeout / 1000},
		"rules": map[string]any{"cold-from": r.SlowStartInitialShare, "ramp-time-s": r.SlowStart, "fall-multiple": r.OverloadFactor, "key-rest-s": r.KeyRest,
			"drain-grace-s": r.DrainGrace},
	}
}

// Quota is what a tenant may send within its share, in messages a second.
func (w *Instance) Quota(p Tenant) float64 { return p.Share * w.Definition.Traffic.FullLoadPerSec }

// Config is the same, as the decisions read it: through the same code that a real courier's configuration passes.
func (w *Instance) Config(courier int, salt int64) (dispatch.Config, error) {
	ch, err := config.DispatchConfig(salt, config.Flatten(w.Settings(courier)))
	if err != nil {
		return ch, fmt.Errorf("day %s: %w", w.Definition.Name, err)
	}
	return ch, nil
}

// InitialEntries is the endpoints that are listed at the start of the day.
func (w *Instance) InitialEntries() (all []dispatch.EndpointEntry) {
	for i := range w.Destinations {
		for _, e := range w.Destinations[i].Endpoints {
			all = append(all, w.Entry(i, e.ID, e.Zone, dispatch.InService))
		}
	}
	return all
}

// Entry is one endpoint as the list has it.
func (w *Instance) Entry(dest int, id dispatch.EndpointID, zone dispatch.ZoneID, phase dispatch.Phase) dispatch.EndpointEntry {
	dst := &w.Destinations[dest]
	return dispatch.EndpointEntry{Endpoint: id, Zone: zone, Type: dst.Plan.Kind, Destination: dispatch.DestinationID(dest), Phase: phase, Rate: dst.Listed}
}
