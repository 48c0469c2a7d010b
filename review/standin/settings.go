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

// clinicSettings are settings like those of a small deployment with the classes and figures of main-campus, where a record never has two
// calls out at once, and up to 20 records travel in one call to the largest kind of destination.
func clinicSettings() map[string]any {
	return map[string]any{
		"fleet-size": 2, "ordinal": 0, "locality": 0, "tick-s": 0.005, "zones": []string{"hall-a", "hall-b", "hall-c"},
		"shapes": []string{"first-rank", "mid-rank", "second-rank"}, "discovery": "subscribe", "weight-kind": "silent", "over-share-worth": 0.2,
		"telemetry": map[string]any{"fields": []string{"x0", "x1"}, "source": "piggyback"},
		"classes": []any{
			map[string]any{"name": "slot-status", "slo-s": 3.0, "deadline-s": 16.0, "points": 2.0, "late-worth": 0.4, "idempotency": "free",
				"dedup-window-s": 4.0, "group": "all"},
			map[string]any{"name": "booking-change", "slo-s": 4.0, "deadline-s": 16.0, "points": 1.0, "late-worth": 0.4, "idempotency": "guarded",
				"dedup-window-s": 4.0, "group": "zone", "in-order": true},
			map[string]any{"name": "deposit-charge", "slo-s": 2.5, "deadline-s": 16.0, "points": 4.0, "late-worth": 0.3, "idempotency": "single_shot",
				"dedup-window-s": 4.0, "group": "all"},
		},
		"family-info": map[string]any{"slots": 4, "decay": "halves", "per-call": []int{20, 1, 1}, "separate-routes": []bool{true, true, false}},
		"ceilings": map[string]any{"open-cap": 40, "try-limit": 12, "may-cancel": true, "may-duplicate": false, "may-probe": true, "retry-after": true,
			"max-retry-after-s": 2.0, "conn-idle-s": 10.0, "connect-timeout-s": 1.5},
		"rules": map[string]any{"cold-from": 0.18, "ramp-time-s": 11.0, "fall-multiple": 2.5, "tip-after-s": 1.5, "drain-grace-s": 0.5,
			"ask-within-s": 10.0, "answer-slack-s": 0.02},
	}
}
