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
	EnvVar        string // environment variable that overrides the file
	NeedsRestart  bool   // a change takes effect only after a restart
	Ignored       bool   // key of the platform that couriers ignore
	Doc           string
}

// Schema lists every key, in the order of the configuration reference. Validation, defaults, the config commands explain
// and init, and the reference page are all derived from it.
var Schema = []Key{
	{Path: "name", Kind: Text, Required: true, EnvVar: "RELAY_NAME", NeedsRestart: true, Doc: "name of the courier; must stay the same across restarts"},
	{Path: "listen", Kind: Address, Required: true, EnvVar: "RELAY_LISTEN", NeedsRestart: true, Doc: "address for client connections"},
	{Path: "discovery", Kind: Address, Required: true, EnvVar: "RELAY_DISCOVERY", Doc: "address of discovery and the platform; a reload reads it from the file only, not from RELAY_DISCOVERY"},
	{Path: "ops", Kind: Address, EnvVar: "RELAY_OPS", NeedsRestart: true, Doc: "address of the admin HTTP server; absent: no admin server"},
	{Path: "socket_fd", Kind: Count, Max: 1 << 20, EnvVar: "RELAY_SOCKET_FD", NeedsRestart: true, Doc: "descriptor of an inherited listening socket, used instead of opening one for listen; absent: none"},
	{Path: "seed", Kind: Hex, Required: true, NeedsRestart: true, Doc: "seed of random draws; new for each start"},
	{Path: "known", Kind: Any, Doc: "last known endpoint list, in discovery's JSON format"},
	{Path: "limits.cores", Kind: Number, Default: "1", Min: 0.01, Max: 1024, Unit: "cores", Doc: "CPU limit of the courier"},
	{Path: "limits.memory_mb", Kind: Number, Default: "192", Min: 8, Max: 1 << 20, Unit: "MB", Doc: "memory limit of the courier"},
	{Path: "limits.sockets", Kind: Number, Default: "1024", Min: 32, Max: 1 << 20, Unit: "descriptors", Doc: "limit of the courier's open file descriptors"},
	{Path: "limits.disk_mb", Kind: Number, Default: "3", Min: 0.01, Max: 1 << 20, Unit: "MB", Doc: "size limit of the state directory, with the spool and snapshots"},
	{Path: "learned.every_s", Kind: Number, Default: "1", Max: 3600, Unit: "s", NeedsRestart: true, Doc: "minimum interval between snapshots of the learned state; 0: no snapshots"},
	{Path: "watch.file", Kind: Text, NeedsRestart: true, Doc: "file with a shadow configuration: its decisions are compared with the actual ones, but never executed"},
	{Path: "watch.every_s", Kind: Number, Default: "10", Min: 0.1, Max: 3600, Unit: "s", NeedsRestart: true, Doc: "interval between log lines about differences to the shadow configuration"},
	{Path: "peers.listen", Kind: Address, NeedsRestart: true, Doc: "address for other couriers of the fleet, over UDP and TCP; no membership if absent or if settings.ceilings.peers is not true"},
	{Path: "peers.advertise", Kind: Address, NeedsRestart: true, Doc: "address at which other couriers reach this one, if different from peers.listen"},
	{Path: "peers.join", Kind: Words, NeedsRestart: true, Doc: "addresses of members to contact when joining the fleet"},
	{Path: "peers.through", Kind: Words, NeedsRestart: true, Doc: "pairs ADVERTISED=ACTUAL: address to use for a member instead of the advertised one"},
	{Path: "peers.fleet", Kind: Text, NeedsRestart: true, Doc: "name of the fleet; members of other fleets are ignored"},
	{Path: "peers.key", Kind: Text, NeedsRestart: true, Doc: "encryption key, 16, 24 or 32 bytes in hex, the same for all couriers of the fleet; packets not encrypted with it are ignored; absent: no encryption"},
	{Path: "peers.pace_s", Kind: Number, Default: "1", Min: 0.02, Max: 60, Unit: "s", NeedsRestart: true, Doc: "interval between health checks of members"},
	{Path: "peers.share", Kind: Flag, Default: "false", NeedsRestart: true, Doc: "couriers lease shares of limits to each other and report their use; must be the same for all couriers of the fleet"},
	{Path: "log.level", Kind: Text, Default: "info", AllowedValues: []string{"debug", "info", "warn", "error"}, EnvVar: "PINEPORT_LOG_LEVEL", Doc: "minimum level of log lines"},
	{Path: "log.levels", Kind: Words, Doc: "log levels by component, such as spool=debug"},
	{Path: "log.format", Kind: Text, Default: "text", AllowedValues: []string{"text", "json"}, EnvVar: "PINEPORT_LOG_FORMAT", NeedsRestart: true, Doc: "format of log lines"},
	{Path: "log.repeats_s", Kind: Number, Default: "10", Min: 0, Max: 3600, Unit: "s", Doc: "window in which repeated lines are counted and written only once; 0: every line is written"},
	{Path: "log.queue", Kind: Count, Default: "1024", Min: 1, Max: 1e6, Unit: "lines", NeedsRestart: true, Doc: "lines buffered for a slow log reader; further lines are dropped and their number is logged"},

	{Path: "settings.fleet-size", Kind: Count, Max: 1e6, Doc: "number of couriers in the fleet"},
	{Path: "settings.ordinal", Kind: Count, Max: 1e6, Doc: "number of this courier in the fleet, from 0"},
	{Path: "settings.locality", Kind: Count, Max: 1e6, Doc: "zone of this courier, as an index in zones"},
	{Path: "settings.zones", Kind: Words, Doc: "names of the zones"},
	{Path: "settings.shapes", Kind: Words, Doc: "endpoint types"},
	{Path: "settings.tick-s", Kind: Number, Required: true, Min: 0.0001, Max: 10, Unit: "s", Doc: "minimum interval between two timers of the dispatcher"},
	{Path: "settings.discovery", Kind: Text, Default: "automatic", AllowedValues: []string{"automatic", "subscribe"}, NeedsRestart: true, Doc: "automatic: changes of the endpoint list are pushed; subscribe: the courier polls for them"},
	{Path: "settings.weight-kind", Kind: Text, Default: "silent", AllowedValues: []string{"silent", "nominal", "rough", "live"}, Doc: "limits in the endpoint list: rough: up to half too high; nominal: exact; silent, live: not used"},
	{Path: "settings.over-share-worth", Kind: Number, Max: 1e6, Doc: "factor of the priority weight for messages over their tenant's quota"},
	{Path: "settings.classes[].name", Kind: Text, Required: true, Doc: "name of a class"},
	{Path: "settings.classes[].slo-s", Kind: Number, Required: true, Min: 0.001, Max: 86400, Unit: "s", Doc: "latency objective"},
	{Path: "settings.classes[].deadline-s", Kind: Number, Required: true, Min: 0.001, Max: 86400, Unit: "s", Doc: "time to live of a message, from its acceptance to its deadline"},
	{Path: "settings.classes[].points", Kind: Number, Max: 1e12, Doc: "priority weight"},
	{Path: "settings.classes[].late-worth", Kind: Number, Max: 1e12, Doc: "factor of the priority weight that remains at the deadline, normally from 0 to 1"},
	{Path: "settings.classes[].idempotency", Kind: Text, Default: "single_shot", AllowedValues: []string{"free", "guarded", "single_shot"}, Doc: "free: idempotent; guarded: with an idempotency key; single_shot: at most once"},
	{Path: "settings.classes[].dedup-window-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "for guarded classes: how long endpoints recognize a repeated idempotency key"},
	{Path: "settings.classes[].group", Kind: Text, Default: "all", AllowedValues: []string{"all", "zone", "cell"}, Doc: "for guarded classes: which endpoints recognize a repeated idempotency key; zone and cell are treated alike"},
	{Path: "settings.classes[].in-order", Kind: Flag, Default: "false", Doc: "messages with the same ordering key are delivered in the order of acceptance"},
	{Path: "settings.tenants[].name", Kind: Text, Required: true, Doc: "name of a tenant"},
	{Path: "settings.tenants[].quota-per-s", Kind: Number, Max: 1e12, Unit: "records/s", Doc: "quota of the tenant, for all couriers together; 0: no quota"},
	{Path: "settings.telemetry.fields", Kind: Words, Doc: "names of the values in a load report"},
	{Path: "settings.family-info.slots", Kind: Count, Required: true, Min: 1, Max: 1e6, Unit: "calls", Doc: "limit of concurrent calls"},
	{Path: "settings.family-info.decay", Kind: Text, Default: "line", AllowedValues: []string{"line", "halves"}, Doc: "how the value of a message decays after the latency objective: line: linearly to the deadline; halves: by half per further objective"},
	{Path: "settings.family-info.per-call", Kind: Numbers, Unit: "records", Doc: "maximum number of messages in a call, by endpoint type"},
	{Path: "settings.family-info.separate-routes", Kind: Flags, NeedsRestart: true, Doc: "whether each endpoint forms its own group, with its own limit, by endpoint type"},
	{Path: "settings.family-info.route-fee", Kind: Numbers, Doc: "cost of each message to a separate endpoint, by zone"},
	{Path: "settings.ceilings.open-cap", Kind: Count, Required: true, Min: 1, Max: 1e6, Unit: "records", Doc: "queue limit: maximum number of unfinished messages"},
	{Path: "settings.ceilings.try-limit", Kind: Count, Required: true, Min: 1, Max: 1e6, Unit: "trips", Doc: "maximum number of attempts of a message"},
	{Path: "settings.ceilings.conn-idle-s", Kind: Number, Required: true, Max: 86400, Unit: "s", Doc: "time after which endpoints close idle connections"},
	{Path: "settings.ceilings.connect-timeout-s", Kind: Number, Default: "1", Min: 0.001, Max: 600, Unit: "s", Doc: "timeout for connecting to an endpoint"},
	{Path: "settings.ceilings.may-cancel", Kind: Flag, Default: "false", Doc: "the courier may cancel attempts"},
	{Path: "settings.ceilings.peers", Kind: Flag, Default: "false", NeedsRestart: true, Doc: "couriers may form a fleet (membership)"},
	{Path: "settings.ceilings.retry-after", Kind: Flag, Default: "false", Doc: "rejections may carry a Retry-After"},
	{Path: "settings.ceilings.max-retry-after-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "longest Retry-After that clients honour"},
	{Path: "settings.rules.cold-from", Kind: Number, Max: 1e6, Doc: "slow start: share of its capacity with which a recovering destination starts"},
	{Path: "settings.rules.ramp-time-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "slow start: time until a recovering destination has its full capacity"},
	{Path: "settings.rules.fall-multiple", Kind: Number, Max: 1e6, Doc: "slow start: a recovering destination fails again under load above this multiple of its capacity"},
	{Path: "settings.rules.key-rest-s", Kind: Number, Max: 1e9, Unit: "s", Doc: "how long an ordering key is held after an attempt that may still be executing"},
	{Path: "settings.prices.cross-zone", Kind: Number, Max: 1e6, Doc: "cost of a call to another zone; only used to rank endpoints"},

	{Path: "settings.classes[].aim-stretch", Ignored: true}, {Path: "settings.classes[].streaming", Ignored: true}, {Path: "settings.callers.marks-retry", Ignored: true},
	{Path: "settings.family", Ignored: true}, {Path: "settings.family-info.notes", Ignored: true}, {Path: "settings.family-info.refusal-cost", Ignored: true},
	{Path: "settings.family-info.report-x0", Ignored: true}, {Path: "settings.family-info.report-x1", Ignored: true}, {Path: "settings.goal.whole", Ignored: true},
	{Path: "settings.goal.worst-class", Ignored: true}, {Path: "settings.goal.worst-tenant", Ignored: true}, {Path: "settings.goal.worst-window", Ignored: true},
	{Path: "settings.ceilings.cpu-us-per-request", Ignored: true}, {Path: "settings.ceilings.cpu-us-per-s", Ignored: true},
	{Path: "settings.ceilings.may-probe", Ignored: true}, {Path: "settings.ceilings.may-duplicate", Ignored: true}, {Path: "settings.ceilings.multiplex", Ignored: true},
	{Path: "settings.prices.connection", Ignored: true}, {Path: "settings.prices.discovery", Ignored: true}, {Path: "settings.prices.handshake", Ignored: true},
	{Path: "settings.prices.late-fail", Ignored: true}, {Path: "settings.prices.moves", Ignored: true}, {Path: "settings.prices.origin", Ignored: true},
	{Path: "settings.prices.peer", Ignored: true}, {Path: "settings.prices.probe", Ignored: true}, {Path: "settings.prices.waste", Ignored: true},
	{Path: "settings.telemetry.source", Ignored: true}, {Path: "settings.rules.answer-slack-s", Ignored: true}, {Path: "settings.rules.ask-within-s", Ignored: true},
	{Path: "settings.rules.drain-grace-s", Ignored: true}, {Path: "settings.rules.tip-after-s", Ignored: true}, {Path: "settings.tenants[].share", Ignored: true},
	{Path: "settings.tier", Ignored: true}, {Path: "settings.tiers", Ignored: true}, {Path: "settings.value-by", Ignored: true},
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
