package main

// tenderSettings are settings like those of a small deployment with the classes and figures of dakar-hq.
func tenderSettings() map[string]any {
	return map[string]any{
		"fleet-size": 2, "ordinal": 0, "locality": 0, "tick-s": 0.005, "zones": []string{"building-a", "building-b"},
		"shapes": []string{"banks", "member-firms", "buyer-offices"}, "discovery": "subscribe", "weight-kind": "rough", "over-share-worth": 0.1,
		"telemetry": map[string]any{"fields": []string{"x0", "x1"}, "source": "piggyback"},
		"classes": []any{
			map[string]any{"name": "status-update", "slo-s": 1.0, "deadline-s": 8.0, "points": 1.0, "late-worth": 0.1, "idempotency": "free",
				"dedup-window-s": 5.0, "group": "all"},
			map[string]any{"name": "deposit-order", "slo-s": 4.0, "deadline-s": 28.0, "points": 2.0, "late-worth": 0.5, "idempotency": "single_shot",
				"dedup-window-s": 5.0, "group": "all"},
		},
		"family-info": map[string]any{"slots": 12, "decay": "halves", "per-call": []int{5, 1, 1}, "separate-routes": []bool{true, false, false}},
		"ceilings": map[string]any{"open-cap": 90, "try-limit": 8, "may-cancel": true, "may-duplicate": true, "may-probe": true, "retry-after": true,
			"max-retry-after-s": 2.0, "conn-idle-s": 5.0, "connect-timeout-s": 1.0},
		"rules": map[string]any{"cold-from": 0.13, "ramp-time-s": 12.0, "fall-multiple": 2.5, "tip-after-s": 2.0, "drain-grace-s": 0.5,
			"ask-within-s": 10.0, "answer-slack-s": 0.02},
	}
}

// tileSettings are settings like those of a small deployment with the classes and figures of kelaniya-tiles.
func tileSettings() map[string]any {
	return map[string]any{
		"fleet-size": 2, "ordinal": 0, "locality": 0, "tick-s": 0.005, "zones": []string{"north-hall", "east-hall", "river-hall"},
		"shapes": []string{"national", "regional"}, "discovery": "automatic", "weight-kind": "rough", "over-share-worth": 0.2,
		"telemetry": map[string]any{"fields": []string{"x0", "x1"}, "source": "piggyback"},
		"classes": []any{
			map[string]any{"name": "order-change", "slo-s": 2.0, "deadline-s": 20.0, "points": 1.0, "late-worth": 0.5, "idempotency": "guarded",
				"dedup-window-s": 20.0, "group": "all", "in-order": true},
			map[string]any{"name": "tile-status", "slo-s": 2.0, "deadline-s": 16.0, "points": 2.0, "late-worth": 0.3, "idempotency": "free",
				"dedup-window-s": 5.0, "group": "all"},
			map[string]any{"name": "charge", "slo-s": 2.5, "deadline-s": 20.0, "points": 5.0, "late-worth": 0.5, "idempotency": "single_shot",
				"dedup-window-s": 5.0, "group": "all"},
		},
		"family-info": map[string]any{"slots": 12, "decay": "line", "per-call": []int{1, 1}, "separate-routes": []bool{true, true}},
		"ceilings": map[string]any{"open-cap": 60, "try-limit": 8, "may-cancel": true, "may-duplicate": false, "may-probe": true, "retry-after": true,
			"max-retry-after-s": 2.0, "conn-idle-s": 5.0, "connect-timeout-s": 1.0},
		"rules": map[string]any{"cold-from": 0.29, "ramp-time-s": 13.0, "fall-multiple": 1.5, "tip-after-s": 1.5, "drain-grace-s": 0.5, "key-rest-s": 0.3,
			"ask-within-s": 10.0, "answer-slack-s": 0.02},
	}
}
