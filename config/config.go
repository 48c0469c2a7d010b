// Package config reads the configuration, validates it and fills in defaults.
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

// Deployment is the complete configuration of one courier process.
type Deployment struct {
	Name              string
	Listen            string
	Discovery         string
	Ops               string          // address of the admin HTTP server; empty: no admin server
	SocketFD          int             // descriptor of an inherited listening socket; 0: the courier opens its own
	StateDir          string          // directory of the spool and all other persistent state
	Cores             float64         // limit of CPU cores
	MemoryMB          int             // limit of memory
	MaxDescriptors    int             // limit of open file descriptors
	DiskMB            float64         // size limit of the state directory
	KnownEndpoints    json.RawMessage // last endpoint list that this courier held, in discovery's JSON format
	SnapshotInterval  time.Duration   // minimum interval between snapshots of the learned state; 0: no snapshots
	Log               Log
	Peers             Peers
	Shadow            *Deployment   // shadow configuration: its decisions are compared, never executed; nil: none
	ShadowLogInterval time.Duration // interval between log lines about the shadow configuration

	Dispatch         dispatch.Config
	Classes          []string        // names; the index of a class is its dispatch.ClassID
	Retired          map[string]bool // classes that a reload removed: new messages of them are rejected
	Zones            []string        // names; the index of a zone is its dispatch.ZoneID
	EndpointTypes    []string        // names of endpoint types; the index is the dispatch.EndpointTypeID
	Tenants          []string        // names; the index of a tenant is its dispatch.TenantID
	LoadReportFields []string        // names of the values in a load report, in order
	ConnectTimeout   time.Duration

	Document *Document
}

// Peers configures the membership of this courier in its fleet.
type Peers struct {
	Listen, Advertise      string // addresses; an empty Listen disables membership
	Fleet, Key             string
	Join, AddressOverrides []string      // addresses of members to contact when joining; address overrides, see peers.through
	ProbeInterval          time.Duration // interval between health checks of members
	Allowed                bool          // settings.ceilings.peers: couriers may form a fleet
	ShareQuotas            bool          // couriers lease shares of quotas and endpoint limits to each other
}

// Enabled reports whether this courier joins the membership of its fleet.
func (p Peers) Enabled() bool { return p.Listen != "" && p.Allowed }

// SharesQuotas reports whether couriers share quotas over the membership.
func (p Peers) SharesQuotas() bool { return p.Enabled() && p.ShareQuotas }

// Log configures logging.
type Log struct {
	Level        string
	Levels       map[string]string // overrides by component
	JSON         bool
	RepeatWindow time.Duration // window in which repeated lines are counted instead of written; 0: all lines are written
	QueueSize    int           // lines buffered for a slow log reader
}

// Load reads the environment variables and the configuration file that RELAY_CONFIG names.
func Load(getenv func(string) string) (*Deployment, error) { return LoadFrom(Sources{Getenv: getenv}) }

// Reload reads the configuration file again for a running process.
func Reload(getenv func(string) string) (*Deployment, error) {
	return LoadFrom(Sources{Getenv: getenv, IsReload: true})
}

// LoadFrom reads a deployment from its sources. The error joins all invalid settings, not only the first.
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
		return nil, fmt.Errorf("RELAY_STATE: cannot create the state directory: %w", err)
	}
	deployment, err := doc.deployment()
	if err != nil {
		return nil, err
	}
	deployment.StateDir = state
	if path := doc.Values["watch.file"].Text; path != "" {
		if deployment.Shadow, err = loadShadow(path, sources); err != nil {
			return nil, fmt.Errorf("watch.file: %w", err)
		}
	}
	return deployment, nil
}

// loadShadow reads a shadow configuration from its file and the defaults only, ignoring environment variables and flags.
// The shadow dispatcher uses its settings; addresses, limits and logging are ignored.
func loadShadow(path string, sources Sources) (*Deployment, error) {
	doc, err := ReadDocument(Sources{Getenv: func(string) string { return "" }, File: path, IsReload: sources.IsReload})
	if err != nil {
		return nil, err
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return doc.deployment()
}

// deployment converts the values of a document without faults.
func (d *Document) deployment() (*Deployment, error) {
	text := func(path string) string { return d.Values[path].Text }
	number := func(path string) float64 {
		n, _ := strconv.ParseFloat(text(path), 64) // validated by Document.check
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
		if setting, ok := strings.CutPrefix(path, "settings."); ok {
			settings[setting] = v.Text
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
		Join: words("peers.join"), AddressOverrides: words("peers.through"), ProbeInterval: seconds("peers.pace_s"), Allowed: text("settings.ceilings.peers") == "true", ShareQuotas: text("peers.share") == "true"}
	deployment.Zones, deployment.EndpointTypes, deployment.LoadReportFields = words("settings.zones"), words("settings.shapes"), words("settings.telemetry.fields")
	deployment.ConnectTimeout = seconds("settings.ceilings.connect-timeout-s")
	return deployment, deployment.checkUniqueNames()
}

// checkUniqueNames returns a Fault for a duplicate name of a class, tenant, zone or endpoint type.
func (d *Deployment) checkUniqueNames() error {
	for key, names := range map[string][]string{"settings.classes": d.Classes, "settings.tenants": d.Tenants,
		"settings.zones": d.Zones, "settings.shapes": d.EndpointTypes} {
		seen := map[string]bool{}
		for _, name := range names {
			if seen[name] {
				return Fault{d.Document.File, 0, key, fmt.Sprintf("duplicate name %q", name)}
			}
			seen[name] = true
		}
	}
	return nil
}

// Merged returns the deployment that a running process uses after a reload: next, with the indexes of classes, zones,
// endpoint types and tenants unchanged, because queued messages, endpoint groups and spool entries refer to them. An item
// missing from next keeps its index and settings; a class missing from next takes no new messages. The name, addresses, state
// directory, known endpoints, snapshot interval, shadow configuration and membership keep the values of d.
func (d *Deployment) Merged(next *Deployment) *Deployment {
	merged := *next
	merged.Name, merged.Listen, merged.Ops, merged.SocketFD, merged.StateDir, merged.KnownEndpoints, merged.SnapshotInterval = d.Name, d.Listen, d.Ops, d.SocketFD, d.StateDir, d.KnownEndpoints, d.SnapshotInterval
	merged.Shadow, merged.ShadowLogInterval, merged.Peers = d.Shadow, d.ShadowLogInterval, d.Peers
	old, config := d.Dispatch, next.Dispatch
	merged.Retired = map[string]bool{}
	var nextIndex []int
	merged.Classes, nextIndex = mergeNames(d.Classes, next.Classes)
	config.Classes = mergeItems(nextIndex, next.Dispatch.Classes, old.Classes)
	for i, name := range merged.Classes {
		if nextIndex[i] < 0 {
			merged.Retired[name] = true
		}
	}
	merged.EndpointTypes, nextIndex = mergeNames(d.EndpointTypes, next.EndpointTypes)
	config.EndpointTypes = mergeItems(nextIndex, next.Dispatch.EndpointTypes, old.EndpointTypes)
	for i := range min(len(config.EndpointTypes), len(old.EndpointTypes)) {
		config.EndpointTypes[i].Separate = old.EndpointTypes[i].Separate // fixed when the endpoint groups were created
	}
	merged.Tenants, nextIndex = mergeNames(d.Tenants, next.Tenants)
	config.Tenants = mergeItems(nextIndex, next.Dispatch.Tenants, old.Tenants)
	merged.Zones, nextIndex = mergeNames(d.Zones, next.Zones)
	config.GroupCost = mergeItems(nextIndex, next.Dispatch.GroupCost, old.GroupCost)
	if z := int(next.Dispatch.Zone); z < len(next.Zones) {
		config.Zone = dispatch.ZoneID(slices.Index(merged.Zones, next.Zones[z]))
	}
	config.Seed, config.MustPoll = old.Seed, old.MustPoll
	merged.Dispatch = config
	return &merged
}

// mergeNames returns old followed by the names that only next has. nextIndex holds the index of each name in next, or -1.
func mergeNames(old, next []string) (names []string, nextIndex []int) {
	names = slices.Clone(old)
	for _, name := range next {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		nextIndex = append(nextIndex, slices.Index(next, name))
	}
	return names, nextIndex
}

// mergeItems takes each item from next by its index there, or from old if the index is -1. A list that is too short, as a list
// of optional costs may be, yields the zero value.
func mergeItems[T any](nextIndex []int, next, old []T) (items []T) {
	for i, index := range nextIndex {
		switch {
		case index >= 0 && index < len(next):
			items = append(items, next[index])
		case index < 0 && i < len(old):
			items = append(items, old[i])
		default:
			var zero T
			items = append(items, zero)
		}
	}
	return items
}

// RestartKeys returns the keys that differ in next but take effect only after a restart.
func (d *Deployment) RestartKeys(next *Deployment) (keys []string) {
	for _, p := range d.Document.Diff(next.Document) {
		if !p.AppliesNow {
			keys = append(keys, p.Key)
		}
	}
	return keys
}

// SameDispatch reports whether both deployments configure the dispatcher identically, including its seed. Deployments returned
// by Merged keep the seed.
func (d *Deployment) SameDispatch(next *Deployment) bool {
	return reflect.DeepEqual(d.Dispatch, next.Dispatch)
}

// Flatten converts nested settings, as decoded from JSON, to the flat map of paths to values that DispatchConfig reads.
func Flatten(settings any) map[string]string {
	values := map[string]string{}
	flatten(values, "", settings)
	return values
}

// flatten writes nested settings to values by path, as in the simulator's protocol. The values of a plain list are joined
// with commas. A list of objects has its length at path.count, its items at path.0, path.1 and so on, and "" at path.
func flatten(values map[string]string, path string, v any) {
	join := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			flatten(values, join(key), item)
		}
	case []string:
		values[path] = strings.Join(v, ",")
	case []bool:
		values[path] = joinValues(v)
	case []int:
		values[path] = joinValues(v)
	case []any:
		scalars := make([]string, 0, len(v))
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				values[join("count")] = strconv.Itoa(len(v))
				flatten(values, join(strconv.Itoa(i)), item)
				continue
			}
			scalars = append(scalars, fmt.Sprint(item))
		}
		values[path] = strings.Join(scalars, ",")
	case nil:
	default:
		values[path] = fmt.Sprint(v)
	}
}

func joinValues[T any](values []T) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprint(v)
	}
	return strings.Join(texts, ",")
}
