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

// Value is one value of a configuration, as text, and where it came from.
type Value struct {
	Text string `json:"Text"`
	From string `json:"From"` // "default", "file", a variable, or "flag"
	Line int    `json:"Line"` // in the file
}

// Document is a configuration with all its layers: defaults under the file under variables under flags.
type Document struct {
	File     string
	Values   map[string]Value // by path, lists numbered from 0
	Known    json.RawMessage  // the list of endpoints
	Faults   []Fault          // what must be put right
	Warnings []Fault          // what is unknown, or comes to nothing
}

// Sources are where a configuration comes from.
type Sources struct {
	Getenv func(string) string
	File   string            // empty: RELAY_CONFIG
	State  string            // empty: RELAY_STATE
	Flags  map[string]string // flags, by path
	// IsReload: the process runs already. Its environment is as old as it is, so of the address of discovery the file knows better.
	IsReload bool
}

// ReadDocument reads all layers and holds them against the schema; an error is one that leaves no document.
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
	d := &Document{File: file, Values: map[string]Value{}, Known: known}
	d.shape(tree, lines)
	for path, text := range Flatten(tree) {
		d.Values[path] = Value{Text: text, From: "file", Line: lines[path]}
	}
	for _, key := range Schema {
		if key.EnvVar == "" || sources.IsReload && key.EnvVar == "RELAY_DISCOVERY" {
			continue
		}
		if text := sources.Getenv(key.EnvVar); text != "" {
			d.Values[key.Path] = Value{Text: text, From: key.EnvVar}
		}
	}
	for path, text := range sources.Flags {
		d.Values[path] = Value{Text: text, From: "flag"}
	}
	d.check(lines)
	return d, nil
}

// shape tells of lists and objects that stand where the other was expected, which flattening would not show.
func (d *Document) shape(tree map[string]any, lines map[string]int) {
	settings, ok := tree["settings"].(map[string]any)
	if !ok {
		d.fault("settings", lines["settings"], "an object was expected")
		return
	}
	for _, key := range []string{"classes", "tenants"} {
		list, isList := settings[key].([]any)
		if settings[key] != nil && !isList {
			d.fault("settings."+key, lines["settings."+key], "a list was expected")
			delete(settings, key)
		}
		for i, item := range list {
			if _, ok := item.(map[string]any); !ok {
				d.fault(fmt.Sprintf("settings.%s.%d", key, i), lines["settings."+key], "an object was expected")
				delete(settings, key)
			}
		}
	}
}

func (d *Document) fault(path string, line int, format string, args ...any) {
	d.Faults = append(d.Faults, Fault{d.File, line, path, fmt.Sprintf(format, args...)})
}

// count is how many items a list has.
func (d *Document) count(list string) int {
	n, _ := strconv.Atoi(d.Values[list+".count"].Text)
	return n
}

// check holds each value against its key, finds what is missing, and gives defaults.
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
			d.unknown(path, v.Line)
		case !key.Ignored && !key.fits(v.Text):
			d.fault(path, v.Line, "%s was expected, not %q%s", key.Expects(), v.Text, from(v))
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
			if key.Needed {
				line := lines[path]
				if line == 0 {
					line = lines[path[:max(0, strings.LastIndexByte(path, '.'))]]
				}
				if _, ok := d.Values[path]; !ok { // an empty one has been reported already
					d.fault(path, line, "must be given: %s (%s)", key.Doc, key.Expects())
				}
			} else if key.Default != "" {
				d.Values[path] = Value{Text: key.Default, From: "default"}
			}
		}
	}
	if d.count("settings.classes") == 0 && !slices.ContainsFunc(d.Faults, func(f Fault) bool { return strings.HasPrefix("settings.classes", f.Key) }) {
		d.fault("settings.classes", lines["settings.classes"], "at least one was expected")
	}
	d.contradictions()
}

// contradictions tells of settings that are sound by themselves and not beside others: a fault where they can't both hold, a
// warning where they come to nothing.
func (d *Document) contradictions() {
	text := func(path string) string { return d.Values[path].Text }
	on := func(path string) bool { return text(path) == "true" || text(path) == "1" }
	over := func(path string) bool {
		n, err := strconv.ParseFloat(text(path), 64)
		return err == nil && n > 0
	}
	doubt := func(path, expected string) {
		d.Warnings = append(d.Warnings, Fault{d.File, d.Values[path].Line, path, expected})
	}
	if text("ops") != "" && text("ops") == text("listen") {
		d.fault("ops", d.Values["ops"].Line, "another address than listen was expected, not %q%s", text("ops"), from(d.Values["ops"]))
	}
	for _, path := range d.Paths("settings.classes[].slo-s") {
		cut := strings.TrimSuffix(path, "slo-s") + "deadline-s"
		if later(text(path), text(cut)) {
			d.fault(path, d.Values[path].Line, "not after deadline-s of %s s, but %s s%s", text(cut), text(path), from(d.Values[path]))
		}
	}
	d.peers(text)
	const rest, advice = "settings.rules.key-rest-s", "settings.ceilings.retry-after"
	if over(rest) && !slices.ContainsFunc(d.Paths("settings.classes[].in-order"), on) {
		doubt(rest, "an ordered class was expected, as only its keys are held")
	}
	if on(advice) && !over("settings.ceilings.max-retry-after-s") {
		doubt(advice, "max-retry-after-s over 0 was expected, or Retry-After is never sent")
	}
	for _, path := range d.Paths("settings.classes[].idempotency") {
		if text(path) == "guarded" && !over(strings.TrimSuffix(path, "idempotency")+"dedup-window-s") {
			doubt(path, "dedup-window-s over 0 was expected, or no repeat is known")
		}
	}
}

// peers holds the keys of the fleet against what they are read as.
func (d *Document) peers(text func(string) string) {
	if key := text("peers.key"); key != "" {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 16 && len(raw) != 24 && len(raw) != 32 {
			d.fault("peers.key", d.Values["peers.key"].Line, "16, 24 or 32 bytes in hex were expected%s", from(d.Values["peers.key"]))
		}
	}
	each := func(path string, parts int) {
		if text(path) == "" {
			return
		}
		for _, word := range strings.Split(text(path), ",") {
			addresses := strings.Split(word, "=")
			if len(addresses) != parts || slices.ContainsFunc(addresses, func(a string) bool { return !isAddress(a) }) {
				d.fault(path, d.Values[path].Line, "%s was expected, not %q%s", []string{"", "address:port", "address:port=address:port"}[parts], word, from(d.Values[path]))
			}
		}
	}
	each("peers.join", 1)
	each("peers.through", 2)
}

// later tells whether one number is larger than another; what is no number has been reported of elsewhere.
func later(a, b string) bool {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	return errX == nil && errY == nil && x > y
}

func from(v Value) string {
	if v.From == "file" {
		return ""
	}
	return ", from " + v.From
}

// Paths are the paths that a key has in this document: one, or one for each item of its list.
func (d *Document) Paths(path string) (all []string) {
	list, rest, ok := strings.Cut(path, "[]")
	if !ok {
		return []string{path}
	}
	for i := range d.count(list) {
		all = append(all, list+"."+strconv.Itoa(i)+rest)
	}
	return all
}

// unknown warns of a key that nobody reads, with the nearest one that is known.
func (d *Document) unknown(path string, line int) {
	var known []string
	for _, key := range Schema {
		if strings.HasPrefix(key.Path, general(path)+"[]") {
			return // a list: its items have paths of their own
		}
		if !key.Ignored {
			known = append(known, key.Path)
		}
	}
	text := "no such key"
	if best := Nearest(general(path), known); best != "" {
		text += "; " + best + "?"
	}
	d.Warnings = append(d.Warnings, Fault{d.File, line, path, text})
}

// Err is all faults at once.
func (d *Document) Err() error {
	all := make([]error, len(d.Faults))
	for i, f := range d.Faults {
		all[i] = f
	}
	return errors.Join(all...)
}

// isAddress takes an address and a port; a name would have to be looked up.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n < 1<<16
}

// KeyChange is what a reload would do with a change of one key.
type KeyChange struct {
	Key        string `json:"key"`
	Old        string `json:"old"`
	New        string `json:"new"`
	AppliesNow bool   `json:"taken_over"` // else it waits for the next start
	Effect     string `json:"effect"`
}

// Diff tells what a reload from one document to another would do, key by key.
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
		a, b := d.Values[path].Text, next.Values[path].Text
		key, ok := Lookup(path)
		if a == b || !ok || key.Ignored || path == "seed" || strings.HasSuffix(path, ".count") {
			continue
		}
		plans = append(plans, KeyChange{path, a, b, !key.Restart, effect(key, b)})
	}
	return plans
}

// OnReload says what a reload does with a change of the key.
func (k Key) OnReload() string { return effect(k, "new") }

// effect says what a change means for what is held.
func effect(key Key, next string) string {
	switch {
	case key.Restart:
		return "waits for the next start"
	case strings.HasPrefix(key.Path, "settings.classes[]") && next == "":
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
