package scenario

import (
	"maps"
	"slices"
)

// faultKind describes a kind of fault and the ranges from which its parameters are drawn if the file does not give them.
type faultKind struct {
	doc, sizeDoc string
	length, size Range
	share        Range
}

// faultKinds holds all kinds of faults. A fault with these ranges starts, has its full effect and ends within a run of 40 s.
var faultKinds = map[string]faultKind{
	"refuse":         {"processes are down; connections are refused; recovery with reduced capacity", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"silent":         {"hosts are unreachable; nothing is answered; recovery with reduced capacity", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"hang":           {"calls are accepted but not answered; the share `acts` of them takes effect; recovery with reduced capacity", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"shut":           {"all calls are throttled; recovery with reduced capacity", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"errors":         {"calls fail quickly; if the share is above 0.5, recovery with reduced capacity", "share of calls that fail", Range{6, 20}, Range{0.4, 1}, Range{0.1, 0.3}},
	"swallow":        {"calls take effect, but their answers are lost", "share of answers that are lost", Range{6, 20}, Range{0.1, 0.5}, Range{0.2, 0.6}},
	"resets":         {"connections break during calls", "share of calls", Range{6, 20}, Range{0.1, 0.5}, Range{0.2, 0.6}},
	"slow":           {"service takes longer", "factor on the service time", Range{8, 20}, Range{2, 8}, Range{0.1, 0.4}},
	"pauses":         {"endpoints are paused repeatedly", "length of a pause in ms; a pause starts every 2 s", Range{8, 20}, Range{100, 900}, Range{0.2, 0.5}},
	"shrink":         {"limits are reduced", "share of the limit that is left", Range{8, 20}, Range{0.1, 0.5}, Range{0.1, 0.4}},
	"crowd":          {"maximum numbers of connections are reduced", "share of the maximum that is left", Range{8, 20}, Range{0.2, 0.6}, Range{0.2, 0.5}},
	"drain":          {"endpoints drain and are then removed; new ones at new addresses replace them", "seconds between the start of the drain and the removal", Range{10, 20}, Range{2, 5}, Range{0.3, 0.8}},
	"replace":        {"endpoints are removed without a drain; later, new ones use their addresses", "seconds until the new endpoint starts", Range{1, 2}, Range{0.2, 1}, Range{0.1, 0.3}},
	"courier-kill":   {"couriers are killed without a shutdown and started again", "", Range{1, 6}, Range{}, Range{0.2, 0.5}},
	"courier-roll":   {"couriers are restarted one after the other", "seconds for which each courier is down", Range{8, 20}, Range{0.3, 1.2}, Range{0.5, 1}},
	"courier-stand":  {"couriers are paused repeatedly", "length of a pause in ms; a pause starts every 2 s", Range{8, 15}, Range{100, 600}, Range{0.3, 1}},
	"flood":          {"a tenant, or every client if there are no tenants, sends more than usual", "factor on its usual traffic", Range{6, 15}, Range{2, 6}, Range{1, 1}},
	"directory-down": {"the directory does not answer", "", Range{5, 15}, Range{}, Range{1, 1}},
}

// FaultKinds returns the names of the kinds of faults in alphabetical order.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }
