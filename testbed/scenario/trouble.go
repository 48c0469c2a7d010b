package scenario

import (
	"maps"
	"slices"
)

// custom is how a kind of trouble is drawn where the file leaves it to chance.
type faultKind struct {
	doc, sizeDoc string
	length, size Range
	share        Range
}

// usual has each kind of trouble. The ranges are ours, chosen so that a day of 40 s shows how it begins, lasts and ends.
var faultKinds = map[string]faultKind{
	"refuse":         {"processes die; connections are refused; they come back cold", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"silent":         {"machines are gone; nothing comes back; they come back cold", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"hang":           {"calls are taken and none is answered; `acts` of them take effect", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"shut":           {"everything is answered full until it opens", "", Range{6, 15}, Range{}, Range{0.1, 0.3}},
	"errors":         {"calls fail quickly", "share that fails", Range{6, 20}, Range{0.4, 1}, Range{0.1, 0.3}},
	"swallow":        {"calls take effect and their answers never come", "share of answers lost", Range{6, 20}, Range{0.1, 0.5}, Range{0.2, 0.6}},
	"resets":         {"connections break under calls", "share of calls", Range{6, 20}, Range{0.1, 0.5}, Range{0.2, 0.6}},
	"slow":           {"service takes longer", "times as long", Range{8, 20}, Range{2, 8}, Range{0.1, 0.4}},
	"pauses":         {"endpoints stand still, again and again", "each standstill, in ms; one begins each 2 s", Range{8, 20}, Range{100, 900}, Range{0.2, 0.5}},
	"shrink":         {"limits are smaller than usual", "what is left of the limit", Range{8, 20}, Range{0.1, 0.5}, Range{0.1, 0.4}},
	"crowd":          {"connection tables are smaller than usual", "what is left of the table", Range{8, 20}, Range{0.2, 0.6}, Range{0.2, 0.5}},
	"drain":          {"endpoints drain and then go, replaced by new ones at new addresses", "seconds between drain and end", Range{10, 20}, Range{2, 5}, Range{0.3, 0.8}},
	"replace":        {"endpoints go unannounced; another one answers at the address later", "seconds until the new one", Range{1, 2}, Range{0.2, 1}, Range{0.1, 0.3}},
	"courier-kill":   {"couriers are killed outright and start again", "", Range{1, 6}, Range{}, Range{0.2, 0.5}},
	"courier-roll":   {"couriers are restarted one after the other", "seconds that each is away", Range{8, 20}, Range{0.3, 1.2}, Range{0.5, 1}},
	"courier-stand":  {"couriers stand still, again and again", "each standstill, in ms; one begins each 2 s", Range{8, 15}, Range{100, 600}, Range{0.3, 1}},
	"flood":          {"a tenant sends more than its share", "times its usual traffic", Range{6, 15}, Range{2, 6}, Range{1, 1}},
	"directory-down": {"the directory does not answer", "", Range{5, 15}, Range{}, Range{1, 1}},
}

// FaultKinds lists the kinds of trouble.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }
