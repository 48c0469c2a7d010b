package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Value is the text of one configuration value and its source.
type Value struct {
	Text string `json:"Text"`
	From string `json:"From"` // "default", "file", "flag", or the name of an environment variable
	Line int    `json:"Line"` // line in the file; 0 for other sources
}

// Document is a configuration merged from all its sources. Flags override environment variables, which override the file,
// which overrides defaults.
type Document struct {
	File     string
	Values   map[string]Value // by path; list items are numbered from 0
	Known    json.RawMessage  // last known endpoint list
	Faults   []Fault          // errors: the configuration cannot be used
	Warnings []Fault          // unknown keys, and settings that have no effect
}

// Sources names the sources of a configuration.
type Sources struct {
	Getenv func(string) string
	File   string            // path of the configuration file; empty: RELAY_CONFIG names it
	State  string            // state directory; empty: RELAY_STATE names it
	Flags  map[string]string // values given by --set flags, by path
	// IsReload is set for a reload. RELAY_DISCOVERY is then ignored: the environment dates from the start of the process, so
	// the address in the file is newer.
	IsReload bool
}

// ReadDocument reads all sources and checks them against the schema. It returns an error only if the file cannot be read or
// decoded; invalid values are listed in Faults.
func ReadDocument(sources Sources) (*Document, error) {
	path := sources.File
	if path == "" {
		path = sources.Getenv("RELAY_CONFIG")
	}
	if path == "" {
		return nil, errors.New("RELAY_CONFIG: not set, and no --config given")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	return parseDocument(filepath.Base(path), text, sources)
}

func parseDocument(file string, text []byte, sources Sources) (*Document, error) {
	tree, lines, known, err := decode(file, text)
	if err != nil {
		var fault Fault
		if errors.As(err, &fault) {
			fault.File = file
			return nil, fault
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	doc := &Document{File: file, Values: map[string]Value{}, Known: known}
	doc.checkStructure(tree, lines)
	for path, text := range Flatten(tree) {
		doc.Values[path] = Value{Text: text, From: "file", Line: lines[path]}
	}
	for _, key := range Schema {
		if key.EnvVar == "" || sources.IsReload && key.EnvVar == "RELAY_DISCOVERY" {
			continue
		}
		if text := sources.Getenv(key.EnvVar); text != "" {
			doc.Values[key.Path] = Value{Text: text, From: key.EnvVar}
		}
	}
	for path, text := range sources.Flags {
		doc.Values[path] = Value{Text: text, From: "flag"}
	}
	doc.check(lines)
	return doc, nil
}

// checkStructure reports settings, classes or tenants that are not an object or a list as required. Flattened values would
// not show this.
func (d *Document) checkStructure(tree map[string]any, lines map[string]int) {
	settings, ok := tree["settings"].(map[string]any)
	if !ok {
		d.addFault("settings", lines["settings"], "an object expected")
		return
	}
	for _, key := range []string{"classes", "tenants"} {
		list, isList := settings[key].([]any)
		if settings[key] != nil && !isList {
			d.addFault("settings."+key, lines["settings."+key], "a list expected")
			delete(settings, key)
		}
		for i, item := range list {
			if _, ok := item.(map[string]any); !ok {
				d.addFault(fmt.Sprintf("settings.%s.%d", key, i), lines["settings."+key], "an object expected")
				delete(settings, key)
			}
		}
	}
}

func (d *Document) addFault(path string, line int, format string, args ...any) {
	d.Faults = append(d.Faults, Fault{d.File, line, path, fmt.Sprintf(format, args...)})
}

// count returns the number of items of a list.
func (d *Document) count(list string) int {
	n, _ := strconv.Atoi(d.Values[list+".count"].Text)
	return n
}

// check validates each value against the schema, reports missing keys and fills in defaults.
func (d *Document) check(lines map[string]int) {
	var paths []string
	for path := range d.Values {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		if strings.HasSuffix(path, ".count") {
			continue
		}
		v := d.Values[path]
		key, ok := Lookup(path)
		switch {
		case !ok:
			d.warnUnknownKey(path, v.Line)
		case !key.Ignored && !key.accepts(v.Text):
			d.addFault(path, v.Line, "%s expected, got %q%s", key.Expects(), v.Text, sourceSuffix(v))
		}
	}
	for _, key := range Schema {
		if key.Ignored || key.Kind == Any {
			continue
		}
		for _, path := range d.Paths(key.Path) {
			if v, ok := d.Values[path]; ok && v.Text != "" {
				continue
			}
			if key.Required {
				line := lines[path]
				if line == 0 {
					line = lines[path[:max(0, strings.LastIndexByte(path, '.'))]]
				}
				if _, ok := d.Values[path]; !ok { // an empty value has been reported above
					d.addFault(path, line, "must be given: %s (%s)", key.Doc, key.Expects())
				}
			} else if key.Default != "" {
				d.Values[path] = Value{Text: key.Default, From: "default"}
			}
		}
	}
	// A fault of settings or settings.classes itself has been reported already.
	if d.count("settings.classes") == 0 && !slices.ContainsFunc(d.Faults, func(f Fault) bool { return strings.HasPrefix("settings.classes", f.Key) }) {
		d.addFault("settings.classes", lines["settings.classes"], "at least one class is required")
	}
	d.checkConflicts()
}

// checkConflicts reports settings that are valid alone but not in combination: a fault if they contradict each other, a
// warning if one of them has no effect. It also calls checkPeers.
func (d *Document) checkConflicts() {
	text := func(path string) string { return d.Values[path].Text }
	isTrue := func(path string) bool { return text(path) == "true" || text(path) == "1" }
	isPositive := func(path string) bool {
		n, err := strconv.ParseFloat(text(path), 64)
		return err == nil && n > 0
	}
	warn := func(path, problem string) {
		d.Warnings = append(d.Warnings, Fault{d.File, d.Values[path].Line, path, problem})
	}
	if text("ops") != "" && text("ops") == text("listen") {
		d.addFault("ops", d.Values["ops"].Line, "must differ from listen, got %q%s", text("ops"), sourceSuffix(d.Values["ops"]))
	}
	for _, path := range d.Paths("settings.classes[].slo-s") {
		deadline := strings.TrimSuffix(path, "slo-s") + "deadline-s"
		if isGreater(text(path), text(deadline)) {
			d.addFault(path, d.Values[path].Line, "must not exceed deadline-s (%s s), got %s s%s", text(deadline), text(path), sourceSuffix(d.Values[path]))
		}
	}
	d.checkPeers(text)
	const keyHold, retryAfter = "settings.rules.key-rest-s", "settings.ceilings.retry-after"
	if isPositive(keyHold) && !slices.ContainsFunc(d.Paths("settings.classes[].in-order"), isTrue) {
		warn(keyHold, "no effect: only classes with in-order hold ordering keys, and no class sets it")
	}
	if isTrue(retryAfter) && !isPositive("settings.ceilings.max-retry-after-s") {
		warn(retryAfter, "no effect: Retry-After is sent only if max-retry-after-s is above 0")
	}
	for _, path := range d.Paths("settings.classes[].idempotency") {
		if text(path) == "guarded" && !isPositive(strings.TrimSuffix(path, "idempotency")+"dedup-window-s") {
			warn(path, "no effect: endpoints recognize a repeated idempotency key only if dedup-window-s is above 0")
		}
	}
}

// checkPeers checks the formats of peers.key, peers.join and peers.through, which the schema does not describe.
func (d *Document) checkPeers(text func(string) string) {
	if key := text("peers.key"); key != "" {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 16 && len(raw) != 24 && len(raw) != 32 {
			d.addFault("peers.key", d.Values["peers.key"].Line, "16, 24 or 32 bytes in hex expected%s", sourceSuffix(d.Values["peers.key"]))
		}
	}
	checkAddresses := func(path string, parts int) {
		if text(path) == "" {
			return
		}
		for _, word := range strings.Split(text(path), ",") {
			addresses := strings.Split(word, "=")
			if len(addresses) != parts || slices.ContainsFunc(addresses, func(a string) bool { return !isAddress(a) }) {
				d.addFault(path, d.Values[path].Line, "%s expected, got %q%s", []string{"", "address:port", "address:port=address:port"}[parts], word, sourceSuffix(d.Values[path]))
			}
		}
	}
	checkAddresses("peers.join", 1)
	checkAddresses("peers.through", 2)
}

// isGreater reports whether the number a is larger than b. It returns false if either is not a number: Document.check reports
// that.
func isGreater(a, b string) bool {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	return errX == nil && errY == nil && x > y
}

func sourceSuffix(v Value) string {
	if v.From == "file" {
		return ""
	}
	return ", from " + v.From
}

// Paths returns the paths of a key in this document: one, or one for each item if the key belongs to a list.
func (d *Document) Paths(path string) (paths []string) {
	list, rest, ok := strings.Cut(path, "[]")
	if !ok {
		return []string{path}
	}
	for i := range d.count(list) {
		paths = append(paths, list+"."+strconv.Itoa(i)+rest)
	}
	return paths
}

// warnUnknownKey adds a warning about a key that the schema does not have, with the most similar known key.
func (d *Document) warnUnknownKey(path string, line int) {
	var known []string
	for _, key := range Schema {
		if strings.HasPrefix(key.Path, genericPath(path)+"[]") {
			return // the path of a list itself: the keys of its items are checked separately
		}
		if !key.Ignored {
			known = append(known, key.Path)
		}
	}
	text := "no such key"
	if closest := Nearest(genericPath(path), known); closest != "" {
		text += "; did you mean " + closest + "?"
	}
	d.Warnings = append(d.Warnings, Fault{d.File, line, path, text})
}

// Err joins all faults, or returns nil if there are none.
func (d *Document) Err() error {
	errs := make([]error, len(d.Faults))
	for i, f := range d.Faults {
		errs[i] = f
	}
	return errors.Join(errs...)
}

// isAddress reports whether text is an IP address with a port. Host names are not accepted, as they need a lookup.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n < 1<<16
}

// KeyChange describes what a reload does with the change of one key.
type KeyChange struct {
	Key        string `json:"key"`
	Old        string `json:"old"`
	New        string `json:"new"`
	AppliesNow bool   `json:"taken_over"` // takes effect on the reload; false: only after a restart
	Effect     string `json:"effect"`     // what the reload does with the change, as in OnReload
}

// Diff returns the keys that differ in next and what a reload from d to next does with each of them. It skips keys that
// couriers do not read, the lengths of lists, and the seed, which a running process never changes.
func (d *Document) Diff(next *Document) (plans []KeyChange) {
	var paths []string
	for path := range d.Values {
		paths = append(paths, path)
	}
	for path := range next.Values {
		if _, ok := d.Values[path]; !ok {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	for _, path := range paths {
		oldText, newText := d.Values[path].Text, next.Values[path].Text
		key, ok := Lookup(path)
		if oldText == newText || !ok || key.Ignored || path == "seed" || strings.HasSuffix(path, ".count") {
			continue
		}
		plans = append(plans, KeyChange{path, oldText, newText, !key.NeedsRestart, reloadEffect(key, newText)})
	}
	return plans
}

// OnReload describes what a reload does with a change of the key to a value that is not empty.
func (k Key) OnReload() string { return reloadEffect(k, "new") }

// reloadEffect describes when a new value of a key takes effect, and how it affects messages and calls in progress. An empty
// newText means that the key was removed.
func reloadEffect(key Key, newText string) string {
	switch {
	case key.NeedsRestart:
		return "waits for the next start"
	case strings.HasPrefix(key.Path, "settings.classes[]") && newText == "":
		return "the workload takes no more records; those held keep what they were promised"
	case strings.HasPrefix(key.Path, "settings.classes[]"):
		return "records held keep what they were promised; new ones get this"
	case key.Path == "settings.ceilings.open-cap":
		return "with fewer, what is held stays, and new records take their turn as places fall free"
	case key.Path == "settings.family-info.slots":
		return "with fewer, calls that are out go on, and none begins until places fall free"
	case key.Path == "discovery":
		return "the watch begins anew there; notices that are not confirmed go there"
	case key.Path == "limits.disk_mb":
		return "with less, no new record is taken until what is held fits"
	}
	return "taken over at once"
}
