package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind is the type of a key's value.
type Kind string

// Kinds of values.
const (
	Text    Kind = "text"
	Number  Kind = "number"
	Count   Kind = "count"
	Flag    Kind = "true or false"
	Words   Kind = "words"
	Numbers Kind = "numbers"
	Flags   Kind = "list of true or false"
	Address Kind = "address:port"
	Hex     Kind = "hex digits"
	Any     Kind = "object" // not validated by the schema
)

// Key describes one key. The path of a key in a list of objects has [] after the name of the list.
type Key struct {
	Path          string
	Kind          Kind
	Unit          string
	Default       string
	Required      bool
	Min           float64
	Max           float64
	AllowedValues []string
	Variable      string // environment variable that overrides the file
	NeedsRestart  bool   // a change takes effect only after a restart
	Unread        bool   // key of the platform that couriers ignore
	Doc           string
}

// Schema lists every key, in the order of the configuration reference. Validation, defaults, the config commands explain
// and init, and the reference page are all derived from it.
var Schema = []Key{
	{Path: "name", Kind: Text, Required: true, Variable: "RELAY_NAME", NeedsRestart: true, Doc: "the courier's name, the same after a restart"},
	{Path: "listen", Kind: Address, Required: true, Variable: "RELAY_LISTEN", NeedsRestart: true, Doc: "where clients connect"},
	{Path: "discovery", Kind: Address, Required: true, Variable: "RELAY_DISCOVERY", Doc: "where discovery and the platform are; a reload takes it from the file alone"},
	{Path: "ops", Kind: Address, Variable: "RELAY_OPS", NeedsRestart: true, Doc: "where operators call; absent: nowhere"},
	{Path: "socket_fd", Kind: Count, Max: 1 << 20, Variable: "RELAY_SOCKET_FD", NeedsRestart: true, Doc: "descriptor of a listening socket that was inherited, in place of listening on listen; absent: none"},
	{Path: "seed", Kind: Hex, Required: true, NeedsRestart: true, Doc: "seed of chance; new with each start"},
	{Path: "known", Kind: Any, Doc: "last known endpoint list, in discovery's JSON format"},
	{Path: "limits.cores", Kind: Number, Default: "1", Min: 0.01, Max: 1024, Unit: "cores", Doc: "processor that it may use"},
	{Path: "limits.memory_mb", Kind: Number, Default: "192", Min: 8, Max: 1 << 20, Unit: "MB", Doc: "memory that it may use"},
	{Path: "limits.sockets", Kind: Number, Default: "1024", Min: 32, Max: 1 << 20, Unit: "descriptors", Doc: "file descriptors that it may hold"},
	{Path: "limits.disk_mb", Kind: Number, Default: "3", Min: 0.01, Max: 1 << 20, Unit: "MB", Doc: "what the folder that lasts may hold"},
	{Path: "learned.every_s", Kind: Number, Default: "1", Max: 3600, Unit: "s", NeedsRestart: true, Doc: "how often at most what was learned is kept; 0: never"},
	{Path: "watch.file", Kind: Text, NeedsRestart: true, Doc: "configuration whose settings are watched: decided by beside these, and never carried out"},
	{Path: "watch.every_s", Kind: Number, Default: "10", Min: 0.1, Max: 3600, Unit: "s", NeedsRestart: true, Doc: "how often the differences are logged"},
	{Path: "peers.listen", Kind: Address, NeedsRestart: true, Doc: "where other couriers of the fleet talk to this one, over UDP and TCP; absent, or where settings.ceilings.peers is not true: no membership"},
	{Path: "peers.advertise", Kind: Address, NeedsRestart: true, Doc: "where others reach it, if not at peers.listen"},
	{Path: "peers.join", Kind: Words, NeedsRestart: true, Doc: "addresses of members to begin with"},
	{Path: "peers.through", Kind: Words, NeedsRestart: true, Doc: "pairs address=address: where a member is reached, if not at the address that it advertises"},
	{Path: "peers.fleet", Kind: Text, NeedsRestart: true, Doc: "name of the fleet; members of others are ignored"},
	{Path: "peers.key", Kind: Text, NeedsRestart: true, Doc: "16, 24 or 32 bytes in hex, the same for all: packets are encrypted and others are ignored; absent: not encrypted"},
	{Path: "peers.pace_s", Kind: Number, Default: "1", Min: 0.02, Max: 60, Unit: "s", NeedsRestart: true, Doc: "interval between health checks of members"},
	{Path: "peers.share", Kind: Flag, Default: "false", NeedsRestart: true, Doc: "couriers lease one another shares of limits and report what they use; the same for all"},
	{Path: "log.level", Kind: Text, Default: "info", AllowedValues: []string{"debug", "info", "warn", "error"}, Variable: "PINEPORT_LOG_LEVEL", Doc: "what is logged"},
	{Path: "log.levels", Kind: Words, Doc: "levels of single components, such as spool=debug"},
	{Path: "log.format", Kind: Text, Default: "text", AllowedValues: []string{"text", "json"}, Variable: "PINEPORT_LOG_FORMAT", NeedsRestart: true, Doc: "form of a line"},
	{Path: "log.repeats_s", Kind: Number, Default: "10", Min: 0, Max: 3600, Unit: "s", Doc: "a line that is repeated within this is counted, and written once; 0: each is written"},
	{Path: "log.queue", Kind: Count, Default: "1024", Min: 1, Max: 1e6, Unit: "lines", NeedsRestart: true, Doc: "lines that wait for a slow reader; further ones are dropped, and their number is logged"},

	{Path: "settings.fleet-size", Kind: Count, Max: 1e6, Doc: "couriers in all"},
	{Path: "settings.ordinal", Kind: Count, Max: 1e6, Doc: "number of this one, from 0"},
	{Path: "settings.locality", Kind: Count, Max: 1e6, Doc: "its zone, by its place in zones"},
	{Path: "settings.zones", Kind: Words, Doc: "names of the zones"},
	{Path: "settings.shapes", Kind: Words, Doc: "endpoint types"},
	{Path: "settings.tick-s", Kind: Number, Required: true, Min: 0.0001, Max: 10, Unit: "s", Doc: "shortest interval between two steps"},
	{Path: "settings.discovery", Kind: Text, Default: "automatic", AllowedValues: []string{"automatic", "subscribe"}, NeedsRestart: true, Doc: "whether changes are pushed, or have to be polled"},
	{Path: "settings.weight-kind", Kind: Text, Default: "silent", AllowedValues: []string{"silent", "nominal", "rough", "live"}, Doc: "what the list says of limits"},
	{Path: "settings.over-share-worth", Kind: Number, Max: 1e6, Doc: "part of the priority weight that is left over a tenant's quota"},
	{Path: "settings.classes[].name", Kind: Text, Required: true, Doc: "name of a class"},
	{Path: "settings.classes[].slo-s", Kind: Number, Required: true, Min: 0.001, Max: 86400, Unit: "s", Doc: "latency objective"},
	{Path: "settings.classes[].deadline-s", Kind: Number, Required: true, Min: 0.001, Max: 86400, Unit: "s", Doc: "time to live: the deadline"},
	{Path: "settings.classes[].points", Kind: Number, Max: 1e12, Doc: "priority weight"},
	{Path: "settings.classes[].late-worth", Kind: Number, Max: 1e12, Doc: "part of the priority weight that is left at the deadline"},
	{Path: "settings.classes[].idempotency", Kind: Text, Default: "single_shot", AllowedValues: []string{"free", "guarded", "single_shot"}, Doc: "idempotent, with an idempotency key, or at most once"},
	{Path: "settings.classes[].dedup-window-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "with an idempotency key: how long a repeat is recognized"},
	{Path: "settings.classes[].group", Kind: Text, Default: "all", AllowedValues: []string{"all", "zone", "cell"}, Doc: "with an idempotency key: which endpoints recognize a repeat"},
	{Path: "settings.classes[].in-order", Kind: Flag, Default: "false", Doc: "messages of one ordering key are delivered in the order accepted"},
	{Path: "settings.tenants[].name", Kind: Text, Required: true, Doc: "name of a tenant"},
	{Path: "settings.tenants[].quota-per-s", Kind: Number, Max: 1e12, Unit: "records/s", Doc: "quota of the tenant, for all couriers together; 0: no quota"},
	{Path: "settings.telemetry.fields", Kind: Words, Doc: "names of the values in a load report"},
	{Path: "settings.family-info.slots", Kind: Count, Required: true, Min: 1, Max: 1e6, Unit: "calls", Doc: "calls in flight at once"},
	{Path: "settings.family-info.decay", Kind: Text, Default: "line", AllowedValues: []string{"line", "halves"}, Doc: "how value decays after the latency objective"},
	{Path: "settings.family-info.per-call", Kind: Numbers, Unit: "records", Doc: "messages in a call at most, by endpoint type"},
	{Path: "settings.family-info.separate-routes", Kind: Flags, NeedsRestart: true, Doc: "whether each endpoint is a group of its own, by endpoint type"},
	{Path: "settings.family-info.route-fee", Kind: Numbers, Doc: "cost of an endpoint group, by zone"},
	{Path: "settings.ceilings.open-cap", Kind: Count, Required: true, Min: 1, Max: 1e6, Unit: "records", Doc: "messages held at most"},
	{Path: "settings.ceilings.try-limit", Kind: Count, Required: true, Min: 1, Max: 1e6, Unit: "trips", Doc: "attempts of a message at most"},
	{Path: "settings.ceilings.conn-idle-s", Kind: Number, Required: true, Max: 86400, Unit: "s", Doc: "after this the server closes idle connections"},
	{Path: "settings.ceilings.connect-timeout-s", Kind: Number, Default: "1", Min: 0.001, Max: 600, Unit: "s", Doc: "connections that are not up by then are canceled"},
	{Path: "settings.ceilings.may-cancel", Kind: Flag, Default: "false", Doc: "attempts may be canceled"},
	{Path: "settings.ceilings.peers", Kind: Flag, Default: "false", NeedsRestart: true, Doc: "couriers may form a fleet"},
	{Path: "settings.ceilings.retry-after", Kind: Flag, Default: "false", Doc: "a rejection may carry Retry-After"},
	{Path: "settings.ceilings.max-retry-after-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "longest Retry-After that clients honour"},
	{Path: "settings.rules.cold-from", Kind: Number, Max: 1e6, Doc: "share of its capacity that a recovering destination starts with"},
	{Path: "settings.rules.ramp-time-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "slow start: time until it has all of it"},
	{Path: "settings.rules.fall-multiple", Kind: Number, Max: 1e6, Doc: "sent more than this multiple of its capacity, it fails again"},
	{Path: "settings.rules.key-rest-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "how long an ordering key is held after an attempt that may still run"},
	{Path: "settings.prices.cross-zone", Kind: Number, Max: 1e6, Doc: "cost of a call to another zone; ranks endpoints"},

	{Path: "settings.classes[].aim-stretch", Unread: true}, {Path: "settings.classes[].streaming", Unread: true}, {Path: "settings.callers.marks-retry", Unread: true},
	{Path: "settings.family", Unread: true}, {Path: "settings.family-info.notes", Unread: true}, {Path: "settings.family-info.refusal-cost", Unread: true},
	{Path: "settings.family-info.report-x0", Unread: true}, {Path: "settings.family-info.report-x1", Unread: true}, {Path: "settings.goal.whole", Unread: true},
	{Path: "settings.goal.worst-class", Unread: true}, {Path: "settings.goal.worst-tenant", Unread: true}, {Path: "settings.goal.worst-window", Unread: true},
	{Path: "settings.ceilings.cpu-us-per-request", Unread: true}, {Path: "settings.ceilings.cpu-us-per-s", Unread: true},
	{Path: "settings.ceilings.may-probe", Unread: true}, {Path: "settings.ceilings.may-duplicate", Unread: true}, {Path: "settings.ceilings.multiplex", Unread: true},
	{Path: "settings.prices.connection", Unread: true}, {Path: "settings.prices.discovery", Unread: true}, {Path: "settings.prices.handshake", Unread: true},
	{Path: "settings.prices.late-fail", Unread: true}, {Path: "settings.prices.moves", Unread: true}, {Path: "settings.prices.origin", Unread: true},
	{Path: "settings.prices.peer", Unread: true}, {Path: "settings.prices.probe", Unread: true}, {Path: "settings.prices.waste", Unread: true},
	{Path: "settings.telemetry.source", Unread: true}, {Path: "settings.rules.answer-slack-s", Unread: true}, {Path: "settings.rules.ask-within-s", Unread: true},
	{Path: "settings.rules.drain-grace-s", Unread: true}, {Path: "settings.rules.tip-after-s", Unread: true}, {Path: "settings.tenants[].share", Unread: true},
	{Path: "settings.tier", Unread: true}, {Path: "settings.tiers", Unread: true}, {Path: "settings.value-by", Unread: true},
}

// genericPath converts a path such as settings.classes.0.name to settings.classes[].name.
func genericPath(path string) string {
	parts := strings.Split(path, ".")
	out := parts[:0]
	for _, part := range parts {
		if _, err := strconv.Atoi(part); err == nil && len(out) > 0 {
			out[len(out)-1] += "[]"
			continue
		}
		out = append(out, part)
	}
	return strings.Join(out, ".")
}

// Lookup finds a key by its path; list items may be numbered.
func Lookup(path string) (Key, bool) {
	g := genericPath(path)
	for _, key := range Schema {
		if key.Path == g {
			return key, true
		}
	}
	return Key{}, false
}

// Expects describes the values that the key allows, not counting an absent value.
func (k Key) Expects() string {
	switch {
	case len(k.AllowedValues) > 0:
		return "one of " + strings.Join(k.AllowedValues, ", ")
	case k.Kind == Number:
		return fmt.Sprintf("a number from %v to %v", k.Min, k.Max)
	case k.Kind == Count:
		return fmt.Sprintf("a count from %v to %v", k.Min, k.Max)
	case k.Kind == Text:
		return "a text that is not empty"
	}
	return string(k.Kind)
}

// accepts reports whether a value is valid for the key. An absent value is valid if the key is not required: "", or "-" as in the
// simulator's protocol.
func (k Key) accepts(text string) bool {
	if text == "" || text == "-" {
		return !k.Required
	}
	if len(k.AllowedValues) > 0 {
		for _, allowed := range k.AllowedValues {
			if allowed == text {
				return true
			}
		}
		return false
	}
	number := func(text string) (float64, bool) {
		value, err := strconv.ParseFloat(text, 64)
		return value, err == nil && value == value
	}
	each := func(ok func(string) bool) bool {
		for _, part := range strings.Split(text, ",") {
			if !ok(part) {
				return false
			}
		}
		return true
	}
	flag := func(text string) bool { return text == "true" || text == "false" || text == "1" || text == "0" }
	switch k.Kind {
	case Number:
		value, ok := number(text)
		return ok && value >= k.Min && value <= k.Max
	case Count:
		value, ok := number(text)
		return ok && value >= k.Min && value <= k.Max && value == float64(int64(value))
	case Flag:
		return flag(text)
	case Flags:
		return each(flag)
	case Numbers:
		return each(func(part string) bool { _, ok := number(part); return ok })
	case Address:
		return isAddress(text)
	case Hex:
		_, err := strconv.ParseUint(text, 16, 64)
		return err == nil
	}
	return true
}
