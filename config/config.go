// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"pineport/dispatch"
)

// Deployment is what one real courier is notified.
type Deployment struct {
	Name              string
	Listen            string
	Discovery         string
	Ops               string // where operators call; empty: nowhere
	SocketFD          int    // descriptor of an inherited listening socket; 0: none
	StateDir          string // the folder that lasts
	Cores             float64
	MemoryMB          int
	MaxDescriptors    int
	DiskMB            float64
	KnownEndpoints    json.RawMessage // the list as this courier had it last, in discovery's form
	SnapshotInterval  time.Duration   // how often at most what was learned is kept; 0: never
	Log               Log
	Peers             Peers
	Shadow            *Deployment // whose settings are watched; nil for none
	ShadowLogInterval time.Duration

	Dispatch         dispatch.Config
	Classes          []string        // names, by the configuration's numbers
	Retired          map[string]bool // classes that a reload removed: they take no more messages
	Zones            []string
	EndpointTypes    []string
	Tenants          []string
	LoadReportFields []string // names of the values in a report
	ConnectTimeout   time.Duration

	Document *Document
}

// Peers is how this courier knows the others of its fleet.
type Peers struct {
	Listen, Advertise      string // empty: no membership
	Fleet, Key             string
	Join, AddressOverrides []string
	ProbeInterval          time.Duration
	Allowed                bool // by the configuration
	Share                  bool // parts of limits
}

// Enabled tells whether there is to be a membership at all.
func (p Peers) Enabled() bool { return p.Listen != "" && p.Allowed }

// SharesQuotas tells whether parts of limits are shared over it.
func (p Peers) SharesQuotas() bool { return p.Enabled() && p.Share }

// Log is how the log is kept.
type Log struct {
	Level        string
	Levels       map[string]string // of single components
	JSON         bool
	RepeatWindow time.Duration
	QueueSize    int
}

// Load reads the variables and the file that they name.
func Load(getenv func(string) string) (*Deployment, error) { return LoadFrom(Sources{Getenv: getenv}) }

// Reload reads the file anew for a process that runs.
func Reload(getenv func(string) string) (*Deployment, error) {
	return LoadFrom(Sources{Getenv: getenv, IsReload: true})
}

// LoadFrom reads a deployment from its sources; all faults are notified at once.
func LoadFrom(sources Sources) (*Deployment, error) {
	state := sources.State
	if state == "" {
		state = sources.Getenv("RELAY_STATE")
	}
	if state == "" {
		return nil, fmt.Errorf("RELAY_STATE: not set, and no --state given")
	}
	doc, err := ReadDocument(sources)
	if err != nil {
		return nil, err
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, fmt.Errorf("RELAY_STATE: a folder was expected: %w", err)
	}
	deployment, err := doc.deployment()
	if err != nil {
		return nil, err
	}
	deployment.StateDir = state
	if path := doc.Values["watch.file"].Text; path != "" {
		if deployment.Shadow, err = watched(path, sources); err != nil {
			return nil, fmt.Errorf("watch.file: %w", err)
		}
	}
	return deployment, nil
}

// watched reads the configuration to come, from its file and the defaults alone: nothing of it is put to use but settings.
func watched(path string, sources Sources) (*Deployment, error) {
	doc, err := ReadDocument(Sources{Getenv: func(string) string { return "" }, File: path, IsReload: sources.IsReload})
	if err != nil {
		return nil, err
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return doc.deployment()
}

// deployment takes the values of a sound document.
func (d *Document) deployment() (*Deployment, error) {
	text := func(path string) string { return d.Values[path].Text }
	number := func(path string) float64 {
		n, _ := strconv.ParseFloat(text(path), 64) // held against the schema before
		return n
	}
	seconds := func(path string) time.Duration { return time.Duration(number(path) * float64(time.Second)) }
	words := func(path string) []string {
		if text(path) == "" {
			return nil
		}
		return strings.Split(text(path), ",")
	}
	deployment := &Deployment{Name: text("name"), Listen: text("listen"), Ops: text("ops"), SocketFD: int(number("socket_fd")), Discovery: text("discovery"), KnownEndpoints: d.Known, Document: d,
		Cores: number("limits.cores"), MemoryMB: int(number("limits.memory_mb")), MaxDescriptors: int(number("limits.sockets")),
		DiskMB: number("limits.disk_mb"), SnapshotInterval: seconds("learned.every_s"), ShadowLogInterval: seconds("watch.every_s"), Retired: map[string]bool{},
		Log: Log{Level: text("log.level"), Levels: map[string]string{}, JSON: text("log.format") == "json",
			RepeatWindow: seconds("log.repeats_s"), QueueSize: int(number("log.queue"))}}
	for _, pair := range words("log.levels") {
		component, level, _ := strings.Cut(pair, "=")
		deployment.Log.Levels[component] = level
	}
	seed, _ := strconv.ParseUint(text("seed"), 16, 64)
	settings := map[string]string{}
	for path, v := range d.Values {
		if inner, ok := strings.CutPrefix(path, "settings."); ok {
			settings[inner] = v.Text
		}
	}
	var err error
	if deployment.Dispatch, err = DispatchConfig(int64(seed), settings); err != nil {
		return nil, fmt.Errorf("%s: %w", d.File, err)
	}
	for i := range deployment.Dispatch.Classes {
		deployment.Classes = append(deployment.Classes, settings[fmt.Sprintf("classes.%d.name", i)])
	}
	for i := range deployment.Dispatch.Tenants {
		deployment.Tenants = append(deployment.Tenants, settings[fmt.Sprintf("tenants.%d.name", i)])
	}
	deployment.Peers = Peers{Listen: text("peers.listen"), Advertise: text("peers.advertise"), Fleet: text("peers.fleet"), Key: text("peers.key"),
		Join: words("peers.join"), AddressOverrides: words("peers.through"), ProbeInterval: seconds("peers.pace_s"), Allowed: text("settings.ceilings.peers") == "true", Share: text("peers.share") == "true"}
	deployment.Zones, deployment.EndpointTypes, deployment.LoadReportFields = words("settings.zones"), words("settings.shapes"), words("settings.telemetry.fields")
	deployment.ConnectTimeout = seconds("settings.ceilings.connect-timeout-s")
	return deployment, deployment.unique()
}

// unique tells of names that stand twice.
func (d *Deployment) unique() error {
	for key, names := range map[string][]string{"settings.classes": d.Classes, "settings.tenants": d.Tenants,
		"settings.zones": d.Zones, "settings.shapes": d.EndpointTypes} {
		seen := map[string]bool{}
		for _, name := range names {
			if seen[name] {
				return Fault{d.Document.File, 0, key, fmt.Sprintf("the name %q stands twice", name)}
			}
			seen[name] = true
		}
	}
	return nil
}

// Merged is what a running process goes on with when its configuration is read anew: next, with the numbers of classes,
// zones, kinds and tenants as they were, as messages, routes and the spool's entries go by them. What is gone from next
// keeps its number; a class that is gone takes no more messages. What must wait for a start stays as it is.
func (d *Deployment) Merged(next *Deployment) *Deployment {
	m := *next
	m.Name, m.Listen, m.Ops, m.SocketFD, m.StateDir, m.KnownEndpoints, m.SnapshotInterval = d.Name, d.Listen, d.Ops, d.SocketFD, d.StateDir, d.KnownEndpoints, d.SnapshotInterval
	m.Shadow, m.ShadowLogInterval, m.Peers = d.Shadow, d.ShadowLogInterval, d.Peers
	old, config := d.Dispatch, next.Dispatch
	m.Retired = map[string]bool{}
	var from []int
	m.Classes, from = numbers(d.Classes, next.Classes)
	config.Classes = pick(from, next.Dispatch.Classes, old.Classes)
	for i, name := range m.Classes {
		if from[i] < 0 {
			m.Retired[name] = true
		}
	}
	m.EndpointTypes, from = numbers(d.EndpointTypes, next.EndpointTypes)
	config.EndpointTypes = pick(from, next.Dispatch.EndpointTypes, old.EndpointTypes)
	for i := range min(len(config.EndpointTypes), len(old.EndpointTypes)) {
		config.EndpointTypes[i].Separate = old.EndpointTypes[i].Separate // settled when the routes were made
	}
	m.Tenants, from = numbers(d.Tenants, next.Tenants)
	config.Tenants = pick(from, next.Dispatch.Tenants, old.Tenants)
	m.Zones, from = numbers(d.Zones, next.Zones)
	config.GroupCost = pick(from, next.Dispatch.GroupCost, old.GroupCost)
	if z := int(next.Dispatch.Zone); z < len(next.Zones) {
		config.Zone = dispatch.ZoneID(slices.Index(m.Zones, next.Zones[z]))
	}
	config.Seed, config.MustPoll = old.Seed, old.MustPoll
	m.Dispatch = config
	return &m
}

// numbers keeps the places of old names and appends new ones; from has, for each, its place among the new ones or -1.
func numbers(old, next []string) (names []string, from []int) {
	names = slices.Clone(old)
	for _, name := range next {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		from = append(from, slices.Index(next, name))
	}
	return names, from
}

// pick takes each item from next, or where it has none from old.
func pick[T any](from []int, next, old []T) (items []T) {
	for i, f := range from {
		switch {
		case f >= 0 && f < len(next):
			items = append(items, next[f])
		case f < 0 && i < len(old):
			items = append(items, old[i])
		default:
			var none T
			items = append(items, none)
		}
	}
	return items
}

// RestartKeys names what a configuration read anew says otherwise and a process that runs cannot take over.
func (d *Deployment) RestartKeys(next *Deployment) (keys []string) {
	for _, p := range d.Document.Diff(next.Document) {
		if !p.AppliesNow {
			keys = append(keys, p.Key)
		}
	}
	return keys
}

// SameDispatch tells whether two deployments hand the decisions the same.
func (d *Deployment) SameDispatch(next *Deployment) bool {
	return reflect.DeepEqual(d.Dispatch, next.Dispatch)
}

// Flatten steps settings as nested JSON has them into the pairs that DispatchConfig reads.
func Flatten(settings any) map[string]string {
	values := map[string]string{}
	flatten(values, "", settings)
	return values
}

// flatten steps nested JSON into the paths of the simulator's wire: plain lists are joined with commas, lists
// of objects put their length under .count and their items under .0, .1 and onward.
func flatten(into map[string]string, path string, v any) {
	join := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			flatten(into, join(key), inner)
		}
	case []string:
		into[path] = strings.Join(v, ",")
	case []bool:
		into[path] = joined(v)
	case []int:
		into[path] = joined(v)
	case []any:
		plain := make([]string, 0, len(v))
		for i, inner := range v {
			if _, ok := inner.(map[string]any); ok {
				into[join("count")] = strconv.Itoa(len(v))
				flatten(into, join(strconv.Itoa(i)), inner)
				continue
			}
			plain = append(plain, fmt.Sprint(inner))
		}
		into[path] = strings.Join(plain, ",")
	case nil:
	default:
		into[path] = fmt.Sprint(v)
	}
}

func joined[T any](values []T) string {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = fmt.Sprint(v)
	}
	return strings.Join(words, ",")
}
