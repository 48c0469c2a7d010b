package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind is what a key holds.
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
	Any     Kind = "object" // not looked into here
)

// Key is all that is known of one key. Paths of lists have [] after the list's name.
type Key struct {
	Path    string
	Kind    Kind
	Unit    string
	Default string
	Needed  bool
	Low     float64
	High    float64
	One     []string
	EnvVar  string // that goes before the file
	Restart bool   // a change waits for the next start
	Ignored bool   // of the platform, and nothing here asks for it
	Doc     string
}

// Schema lists every key, in the order of the page on configuration. It is the one place that says what a key means: the
// checks, the defaults of the text, explain, init and the page all come of it.
var Schema = []Key{
	{Path: "name", Kind: Text, Needed: true, EnvVar: "RELAY_NAME", Restart: true, Doc: "the courier's name, the same after a restart"},
	{Path: "listen", Kind: Address, Needed: true, EnvVar: "RELAY_LISTEN", Restart: true, Doc: "where clients connect"},
	{Path: "discovery", Kind: Address, Needed: true, EnvVar: "RELAY_DISCOVERY", Doc: "where discovery and the platform are; a reload takes it from the file alone"},
	{Path: "ops", Kind: Address, EnvVar: "RELAY_OPS", Restart: true, Doc: "where operators call; absent: nowhere"},
	{Path: "socket_fd", Kind: Count, High: 1 << 20, EnvVar: "RELAY_SOCKET_FD", Restart: true, Doc: "descriptor of a listening socket that was inherited, in place of listening on listen; absent: none"},
	{Path: "seed", Kind: Hex, Needed: true, Restart: true, Doc: "seed of chance; new with each start"},
	{Path: "known", Kind: Any, Doc: "the list of endpoints as held last, in discovery's form"},
	{Path: "limits.cores", Kind: Number, Default: "1", Low: 0.01, High: 1024, Unit: "cores", Doc: "processor that it may use"},
	{Path: "limits.memory_mb", Kind: Number, Default: "192", Low: 8, High: 1 << 20, Unit: "MB", Doc: "memory that it may use"},
	{Path: "limits.sockets", Kind: Number, Default: "1024", Low: 32, High: 1 << 20, Unit: "descriptors", Doc: "file descriptors that it may hold"},
	{Path: "limits.disk_mb", Kind: Number, Default: "3", Low: 0.01, High: 1 << 20, Unit: "MB", Doc: "what the folder that lasts may hold"},
	{Path: "learned.every_s", Kind: Number, Default: "1", High: 3600, Unit: "s", Restart: true, Doc: "how often at most what was learned is kept; 0: never"},
	{Path: "watch.file", Kind: Text, Restart: true, Doc: "configuration whose settings are watched: decided by beside these, and never carried out"},
	{Path: "watch.every_s", Kind: Number, Default: "10", Low: 0.1, High: 3600, Unit: "s", Restart: true, Doc: "how often the differences are logged"},
	{Path: "peers.listen", Kind: Address, Restart: true, Doc: "where other couriers of the fleet talk to this one, over UDP and TCP; absent, or where settings.ceilings.peers is not true: no membership"},
	{Path: "peers.advertise", Kind: Address, Restart: true, Doc: "where others reach it, if not at peers.listen"},
	{Path: "peers.join", Kind: Words, Restart: true, Doc: "addresses of members to begin with"},
	{Path: "peers.through", Kind: Words, Restart: true, Doc: "pairs address=address: where a member is reached, if not at the address that it advertises"},
	{Path: "peers.fleet", Kind: Text, Restart: true, Doc: "name of the fleet; members of others are ignored"},
	{Path: "peers.key", Kind: Text, Restart: true, Doc: "16, 24 or 32 bytes in hex, the same for all: packets are encrypted and others are ignored; absent: not encrypted"},
	{Path: "peers.pace_s", Kind: Number, Default: "1", Low: 0.02, High: 60, Unit: "s", Restart: true, Doc: "interval between health checks of members"},
	{Path: "peers.share", Kind: Flag, Default: "false", Restart: true, Doc: "couriers lease one another shares of limits and report what they use; the same for all"},
	{Path: "log.level", Kind: Text, Default: "info", One: []string{"debug", "info", "warn", "error"}, EnvVar: "PINEPORT_LOG_LEVEL", Doc: "what is logged"},
	{Path: "log.levels", Kind: Words, Doc: "levels of single components, such as spool=debug"},
	{Path: "log.format", Kind: Text, Default: "text", One: []string{"text", "json"}, EnvVar: "PINEPORT_LOG_FORMAT", Restart: true, Doc: "form of a line"},
	{Path: "log.repeats_s", Kind: Number, Default: "10", Low: 0, High: 3600, Unit: "s", Doc: "a line that is repeated within this is counted, and written once; 0: each is written"},
	{Path: "log.queue", Kind: Count, Default: "1024", Low: 1, High: 1e6, Unit: "lines", Restart: true, Doc: "lines that wait for a slow reader; further ones are dropped, and their number is logged"},

	{Path: "settings.fleet-size", Kind: Count, High: 1e6, Doc: "couriers in all"},
	{Path: "settings.ordinal", Kind: Count, High: 1e6, Doc: "number of this one, from 0"},
	{Path: "settings.locality", Kind: Count, High: 1e6, Doc: "its zone, by its place in zones"},
	{Path: "settings.zones", Kind: Words, Doc: "names of the zones"},
	{Path: "settings.shapes", Kind: Words, Doc: "endpoint types"},
	{Path: "settings.tick-s", Kind: Number, Needed: true, Low: 0.0001, High: 10, Unit: "s", Doc: "shortest interval between two steps"},
	{Path: "settings.discovery", Kind: Text, Default: "automatic", One: []string{"automatic", "subscribe"}, Restart: true, Doc: "whether changes are pushed, or have to be polled"},
	{Path: "settings.weight-kind", Kind: Text, Default: "silent", One: []string{"silent", "nominal", "rough", "live"}, Doc: "what the list says of limits"},
	{Path: "settings.over-share-worth", Kind: Number, High: 1e6, Doc: "part of the priority weight that is left over a tenant's quota"},
	{Path: "settings.classes[].name", Kind: Text, Needed: true, Doc: "name of a class"},
	{Path: "settings.classes[].slo-s", Kind: Number, Needed: true, Low: 0.001, High: 86400, Unit: "s", Doc: "latency objective"},
	{Path: "settings.classes[].deadline-s", Kind: Number, Needed: true, Low: 0.001, High: 86400, Unit: "s", Doc: "time to live: the deadline"},
	{Path: "settings.classes[].points", Kind: Number, High: 1e12, Doc: "priority weight"},
	{Path: "settings.classes[].late-worth", Kind: Number, High: 1e12, Doc: "part of the priority weight that is left at the deadline"},
	{Path: "settings.classes[].idempotency", Kind: Text, Default: "single_shot", One: []string{"free", "guarded", "single_shot"}, Doc: "idempotent, with an idempotency key, or at most once"},
	{Path: "settings.classes[].dedup-window-s", Kind: Number, High: 1e9, Unit: "s", Doc: "with an idempotency key: how long a repeat is recognized"},
	{Path: "settings.classes[].group", Kind: Text, Default: "all", One: []string{"all", "zone", "cell"}, Doc: "with an idempotency key: which endpoints recognize a repeat"},
	{Path: "settings.classes[].in-order", Kind: Flag, Default: "false", Doc: "messages of one ordering key are delivered in the order accepted"},
	{Path: "settings.tenants[].name", Kind: Text, Needed: true, Doc: "name of a tenant"},
	{Path: "settings.tenants[].quota-per-s", Kind: Number, High: 1e12, Unit: "records/s", Doc: "its quota, over all couriers; 0: none"},
	{Path: "settings.telemetry.fields", Kind: Words, Doc: "names of the values in a load report"},
	{Path: "settings.family-info.slots", Kind: Count, Needed: true, Low: 1, High: 1e6, Unit: "calls", Doc: "calls in flight at once"},
	{Path: "settings.family-info.decay", Kind: Text, Default: "line", One: []string{"line", "halves"}, Doc: "how value decays after the latency objective"},
	{Path: "settings.family-info.per-call", Kind: Numbers, Unit: "records", Doc: "messages in a call at most, by endpoint type"},
	{Path: "settings.family-info.separate-routes", Kind: Flags, Restart: true, Doc: "whether each endpoint is a group of its own, by endpoint type"},
	{Path: "settings.family-info.route-fee", Kind: Numbers, Doc: "cost of an endpoint group, by zone"},
	{Path: "settings.ceilings.open-cap", Kind: Count, Needed: true, Low: 1, High: 1e6, Unit: "records", Doc: "messages held at most"},
	{Path: "settings.ceilings.try-limit", Kind: Count, Needed: true, Low: 1, High: 1e6, Unit: "trips", Doc: "attempts of a message at most"},
	{Path: "settings.ceilings.conn-idle-s", Kind: Number, Needed: true, High: 86400, Unit: "s", Doc: "after this the server closes idle connections"},
	{Path: "settings.ceilings.connect-timeout-s", Kind: Number, Default: "1", Low: 0.001, High: 600, Unit: "s", Doc: "connections that are not up by then are canceled"},
	{Path: "settings.ceilings.may-cancel", Kind: Flag, Default: "false", Doc: "attempts may be canceled"},
	{Path: "settings.ceilings.peers", Kind: Flag, Default: "false", Restart: true, Doc: "couriers may form a fleet"},
	{Path: "settings.ceilings.retry-after", Kind: Flag, Default: "false", Doc: "a rejection may carry Retry-After"},
	{Path: "settings.ceilings.max-retry-after-s", Kind: Number, High: 1e9, Unit: "s", Doc: "longest Retry-After that clients honour"},
	{Path: "settings.rules.cold-from", Kind: Number, High: 1e6, Doc: "share of its capacity that a recovering destination starts with"},
	{Path: "settings.rules.ramp-time-s", Kind: Number, High: 1e9, Unit: "s", Doc: "slow start: time until it has all of it"},
	{Path: "settings.rules.fall-multiple", Kind: Number, High: 1e6, Doc: "sent more than this multiple of its capacity, it fails again"},
	{Path: "settings.rules.key-rest-s", Kind: Number, High: 1e9, Unit: "s", Doc: "how long an ordering key is held after an attempt that may still run"},
	{Path: "settings.prices.cross-zone", Kind: Number, High: 1e6, Doc: "cost of a call to another zone; ranks endpoints"},

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

// general steps settings.classes.0.name into settings.classes[].name.
func general(path string) string {
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

// Lookup finds a key by its path, with or without numbers.
func Lookup(path string) (Key, bool) {
	g := general(path)
	for _, key := range Schema {
		if key.Path == g {
			return key, true
		}
	}
	return Key{}, false
}

// Expects says in words what a key's value must be.
func (k Key) Expects() string {
	switch {
	case len(k.One) > 0:
		return "one of " + strings.Join(k.One, ", ")
	case k.Kind == Number:
		return fmt.Sprintf("a number from %v to %v", k.Low, k.High)
	case k.Kind == Count:
		return fmt.Sprintf("a count from %v to %v", k.Low, k.High)
	case k.Kind == Text:
		return "a text that is not empty"
	}
	return string(k.Kind)
}

// fits holds a value against what a key expects. An absent value, as "-" or nothing, fits where the key is not needed.
func (k Key) fits(text string) bool {
	if text == "" || text == "-" {
		return !k.Needed
	}
	if len(k.One) > 0 {
		for _, word := range k.One {
			if word == text {
				return true
			}
		}
		return false
	}
	number := func(text string) (float64, bool) {
		n, err := strconv.ParseFloat(text, 64)
		return n, err == nil && n == n
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
		n, ok := number(text)
		return ok && n >= k.Low && n <= k.High
	case Count:
		n, ok := number(text)
		return ok && n >= k.Low && n <= k.High && n == float64(int64(n))
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
