package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scripted"
)

// load writes a valid configuration, modified by edit, to a file and reads it with loadFunc.
func load(t *testing.T, loadFunc func(func(string) string) (*Deployment, error), edit func(top, settings map[string]any), env map[string]string) (*Deployment, error) {
	t.Helper()
	dir := t.TempDir()
	var top map[string]any
	w := scripted.World{Discovery: "127.0.0.1:8500"}
	if err := json.Unmarshal(w.CourierConfiguration("n3", "127.0.0.1:6379"), &top); err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(top, top["settings"].(map[string]any))
	}
	text, err := json.Marshal(top)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	vars := map[string]string{"RELAY_CONFIG": path, "RELAY_STATE": dir}
	for key, value := range env {
		vars[key] = value
	}
	return loadFunc(func(key string) string { return vars[key] })
}

// TestLoadReadsSettings checks the values of a valid file that also has unknown keys, which must be ignored, and that RELAY_NAME
// overrides the file.
func TestLoadReadsSettings(t *testing.T) {
	deployment, err := load(t, Load, func(top, settings map[string]any) {
		top["surprise"] = map[string]any{"x": nil}
		settings["surprise"] = []any{1}
		settings["telemetry"] = map[string]any{"fields": []string{"x1", "x0"}}
	}, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	config := deployment.Dispatch
	if deployment.Name != "n4" || deployment.Listen != "127.0.0.1:6379" || deployment.MaxDescriptors != 1024 || len(deployment.Classes) != 2 || deployment.Classes[1] != "order" ||
		config.Classes[1].Idempotency != dispatch.AtMostOnce || config.Classes[1].Priority != 2 || config.Slots != 20 || config.ReportRemainingIndex != 1 || config.ReportRateIndex != 0 ||
		config.RateQuality != dispatch.NominalRates || len(config.EndpointTypes) != 1 || config.EndpointTypes[0].MaxPerCall != 1 || !config.MustPoll || config.Seed == 0 {
		t.Errorf("%+v", deployment)
	}
}

func TestLoadNamesInvalidKey(t *testing.T) {
	section := func(s map[string]any, key string) map[string]any { return s[key].(map[string]any) }
	for key, edit := range map[string]func(top, settings map[string]any){
		"seed":                              func(top, _ map[string]any) { top["seed"] = "not hex" },
		"listen":                            func(top, _ map[string]any) { top["listen"] = "here" },
		"discovery":                         func(top, _ map[string]any) { delete(top, "discovery") },
		"name":                              func(top, _ map[string]any) { delete(top, "name") },
		"settings":                          func(top, _ map[string]any) { top["settings"] = 3 },
		"limits.sockets":                    func(top, _ map[string]any) { section(top, "limits")["sockets"] = 3 },
		"limits.disk_mb":                    func(top, _ map[string]any) { section(top, "limits")["disk_mb"] = "much" },
		"settings.ceilings.conn-idle-s":     func(_, s map[string]any) { delete(section(s, "ceilings"), "conn-idle-s") },
		"settings.ceilings.try-limit":       func(_, s map[string]any) { section(s, "ceilings")["try-limit"] = 0 },
		"settings.family-info.slots":        func(_, s map[string]any) { section(s, "family-info")["slots"] = -1 },
		"settings.tick-s":                   func(_, s map[string]any) { s["tick-s"] = "soon" },
		"settings.classes":                  func(_, s map[string]any) { s["classes"] = []any{} },
		"settings.classes.0.name":           func(_, s map[string]any) { delete(s["classes"].([]any)[0].(map[string]any), "name") },
		"settings.classes.1.deadline-s":     func(_, s map[string]any) { s["classes"].([]any)[1].(map[string]any)["deadline-s"] = 0 },
		"settings.ceilings.max-retry-after": func(_, s map[string]any) { section(s, "ceilings")["max-retry-after-s"] = "x" },
	} {
		if deployment, err := load(t, Load, edit, nil); err == nil || !strings.Contains(err.Error(), ": "+key) {
			t.Errorf("%s: got %v, %v", key, deployment, err)
		}
	}
	if _, err := load(t, Load, nil, map[string]string{"RELAY_STATE": ""}); err == nil || !strings.Contains(err.Error(), "RELAY_STATE") {
		t.Errorf("got %v", err)
	}
	if _, err := load(t, Load, nil, map[string]string{"RELAY_CONFIG": "/nowhere"}); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("got %v", err)
	}
}

// TestReloadSources checks that on a reload the file overrides RELAY_DISCOVERY, and that keys that need a restart are named.
func TestReloadSources(t *testing.T) {
	env := map[string]string{"RELAY_DISCOVERY": "127.0.0.2:1"}
	first, err := load(t, Load, nil, env)
	if err != nil || first.Discovery != "127.0.0.2:1" {
		t.Fatal(first, err)
	}
	discoveryChanged, err := load(t, Reload, func(top, _ map[string]any) { top["discovery"], top["seed"] = "127.0.0.3:1", "1" }, env)
	if err != nil || discoveryChanged.Discovery != "127.0.0.3:1" || len(first.RestartKeys(discoveryChanged)) > 0 {
		t.Error(discoveryChanged, err, first.RestartKeys(discoveryChanged))
	}
	listenChanged, err := load(t, Reload, func(top, settings map[string]any) {
		top["limits"].(map[string]any)["sockets"], settings["tick-s"], top["listen"] = 99, 0.01, "127.0.0.1:1"
	}, env)
	if err != nil || !slices.Equal(first.RestartKeys(listenChanged), []string{"listen"}) {
		t.Error(listenChanged, err, first.RestartKeys(listenChanged))
	}
	if _, err := load(t, Reload, func(top, _ map[string]any) { delete(top, "discovery") }, env); err == nil {
		t.Error("reload without discovery in the file: got no error")
	}
}

// TestAllFaultsAtOnce checks that all faults are reported together, with file, key and problem, and with the line if the key is in
// the file. An unknown key causes a warning that names the most similar known key.
func TestAllFaultsAtOnce(t *testing.T) {
	for file, text := range map[string]string{
		"c.json": "{\n\"name\":\"n\",\n\"listen\":\"x\",\n\"limits\":{\n\"sockets\":3,\n\"memory_md\":9},\n\"settings\":{\"classes\":[{\n\"name\":\"u\",\n\"slo-s\":\"soon\"}]}}",
		"c.toml": "\nname = \"n\"\nlisten = \"x\"\n[limits]\nsockets = 3\nmemory_md = 9\n[[settings.classes]]\nname = \"u\"\nslo-s = \"soon\"",
		"c.yaml": "\nname: n\nlisten: x\nlimits:\n  sockets: 3\n  memory_md: 9\nsettings:\n  classes:\n  - name: u\n    slo-s: soon",
	} {
		d, err := parseDocument(file, []byte(text), Sources{Getenv: func(string) string { return "" }})
		if err != nil {
			t.Fatal(err)
		}
		all := d.Err().Error()
		for _, want := range []string{file + ":3: listen: address:port", file + ":5: limits.sockets: a number from 32", "seed: must be given",
			"discovery: must be given", "settings.classes.0.slo-s: a number", "settings.classes.0.deadline-s: must be given", "settings.tick-s: must be"} {
			if !strings.Contains(all, want) {
				t.Errorf("%s: missing %q in\n%s", file, want, all)
			}
		}
		if len(d.Warnings) != 1 || !strings.Contains(d.Warnings[0].Error(), file+":6: limits.memory_md: no such key; did you mean limits.memory_mb?") {
			t.Errorf("%s: %v", file, d.Warnings)
		}
	}
}

// TestSourcePrecedence checks that flags override environment variables, which override the file, which overrides defaults, and
// that each value names its source.
func TestSourcePrecedence(t *testing.T) {
	text := "name: file\nlisten: 127.0.0.1:1\nseed: \"12\"\n"
	env := map[string]string{"RELAY_LISTEN": "127.0.0.1:2", "RELAY_NAME": "variable"}
	d, err := parseDocument("c.yaml", []byte(text), Sources{Getenv: func(k string) string { return env[k] }, Flags: map[string]string{"name": "flag"}})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]Value{"name": {"flag", "flag", 0}, "listen": {"127.0.0.1:2", "RELAY_LISTEN", 0}, "seed": {"12", "file", 3},
		"limits.sockets": {"1024", "default", 0}} {
		if got := d.Values[path]; got != want {
			t.Errorf("%s: got %+v, want %+v", path, got, want)
		}
	}
}

// TestMergedKeepsIndexes checks that a reload keeps the indexes of classes and zones, because queued messages refer to them.
func TestMergedKeepsIndexes(t *testing.T) {
	first, err := load(t, Load, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	next, err := load(t, Reload, func(_, s map[string]any) {
		classes := s["classes"].([]any)
		order := classes[1].(map[string]any)
		order["points"] = 7
		newClass := map[string]any{"name": "fresh", "slo-s": 1, "deadline-s": 2, "points": 3}
		s["classes"], s["zones"] = []any{newClass, order}, []string{"z", "a"}
		s["ceilings"].(map[string]any)["open-cap"] = 5
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	merged := first.Merged(next)
	if !slices.Equal(merged.Classes, []string{"update", "order", "fresh"}) || !slices.Equal(merged.Zones, []string{"a", "z"}) || !merged.Retired["update"] ||
		merged.Retired["order"] || merged.Dispatch.Classes[1].Priority != 7 || merged.Dispatch.Classes[2].Priority != 3 || merged.Dispatch.Classes[0].Priority != 1 ||
		merged.Dispatch.QueueLimit != 5 || merged.Dispatch.Zone != 1 || merged.Dispatch.Seed != first.Dispatch.Seed {
		t.Errorf("%+v %v %v %+v", merged.Classes, merged.Zones, merged.Retired, merged.Dispatch)
	}
}

// FuzzDocument checks that no text makes the parser panic, that every fault names a key or a line, and that a document without
// faults yields a deployment unless a name is duplicate.
func FuzzDocument(f *testing.F) {
	w := scripted.World{Discovery: "127.0.0.1:8500"}
	f.Add(0, w.CourierConfiguration("n3", "127.0.0.1:6379"))
	f.Add(1, []byte(Example()))
	f.Add(2, []byte("name: n\nsettings: {classes: [{name: u}]}"))
	f.Fuzz(func(t *testing.T, format int, text []byte) {
		file := []string{"c.json", "c.toml", "c.yaml"}[uint(format)%3]
		d, err := parseDocument(file, text, Sources{Getenv: func(string) string { return "" }})
		if err != nil {
			return
		}
		for _, fault := range d.Faults {
			if fault.Key == "" && fault.Line == 0 {
				t.Fatalf("fault without key and line: %v", fault)
			}
		}
		if len(d.Faults) == 0 {
			if _, err := d.deployment(); err != nil && !strings.Contains(err.Error(), "duplicate name") {
				t.Fatalf("valid by the schema, but rejected: %v", err)
			}
		}
	})
}

// TestExampleIsValid checks that the output of config init is a valid configuration without warnings, and that
// docs/configuration.md is current.
func TestExampleIsValid(t *testing.T) {
	d, err := parseDocument("c.toml", []byte(Example()), Sources{Getenv: func(string) string { return "" }})
	if err != nil || d.Err() != nil || len(d.Warnings) > 0 {
		t.Fatal(err, d.Err(), d.Warnings)
	}
	if dep, err := d.deployment(); err != nil || len(dep.Classes) != 1 || dep.Dispatch.Slots != 20 {
		t.Fatal(err)
	}
	var page strings.Builder
	if err := WritePage(&page); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile("../docs/configuration.md"); err != nil || string(text) != page.String() {
		t.Errorf("docs/configuration.md is stale; run: go run ./cmd/pineport config page > docs/configuration.md (%v)", err)
	}
}

// TestSettingsWithoutEffectCauseWarnings checks the number of warnings about settings that have no effect in combination with
// others, and that the last warning has a line.
func TestSettingsWithoutEffectCauseWarnings(t *testing.T) {
	text := "name = \"n\"\nlisten = \"127.0.0.1:1\"\ndiscovery = \"127.0.0.1:2\"\nseed = \"a\"\n[settings]\ntick-s = 0.01\n" +
		"[settings.family-info]\nslots = 3\n[settings.ceilings]\nopen-cap = 9\ntry-limit = 6\nconn-idle-s = 5\nretry-after = true\n" +
		"[settings.rules]\nkey-rest-s = 0.1\n[[settings.classes]]\nname = \"a\"\nslo-s = 1\ndeadline-s = 9\nidempotency = \"guarded\"\n"
	for extra, want := range map[string]int{
		"": 3, "in-order = true\n": 2, "in-order = true\ndedup-window-s = 4\n": 1,
	} {
		d, err := parseDocument("c.toml", []byte(text+extra), Sources{Getenv: func(string) string { return "" }})
		if err != nil || d.Err() != nil {
			t.Fatal(err, d.Err())
		}
		if len(d.Warnings) != want || d.Warnings[len(d.Warnings)-1].Line == 0 {
			t.Errorf("%q: %v", extra, d.Warnings)
		}
	}
}
