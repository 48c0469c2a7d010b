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

// load writes a configuration changed by edit and has it read.
func load(t *testing.T, read func(func(string) string) (*Deployment, error), edit func(top, settings map[string]any), env map[string]string) (*Deployment, error) {
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
	all := map[string]string{"RELAY_CONFIG": path, "RELAY_STATE": dir}
	for key, value := range env {
		all[key] = value
	}
	return read(func(key string) string { return all[key] })
}

func TestReadsAllSettings(t *testing.T) {
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

func TestNamesTheFaultyKey(t *testing.T) {
	inner := func(s map[string]any, key string) map[string]any { return s[key].(map[string]any) }
	for key, edit := range map[string]func(top, settings map[string]any){
		"seed":                              func(top, _ map[string]any) { top["seed"] = "not hex" },
		"listen":                            func(top, _ map[string]any) { top["listen"] = "here" },
		"discovery":                         func(top, _ map[string]any) { delete(top, "discovery") },
		"name":                              func(top, _ map[string]any) { delete(top, "name") },
		"settings":                          func(top, _ map[string]any) { top["settings"] = 3 },
		"limits.sockets":                    func(top, _ map[string]any) { inner(top, "limits")["sockets"] = 3 },
		"limits.disk_mb":                    func(top, _ map[string]any) { inner(top, "limits")["disk_mb"] = "much" },
		"settings.ceilings.conn-idle-s":     func(_, s map[string]any) { delete(inner(s, "ceilings"), "conn-idle-s") },
		"settings.ceilings.try-limit":       func(_, s map[string]any) { inner(s, "ceilings")["try-limit"] = 0 },
		"settings.family-info.slots":        func(_, s map[string]any) { inner(s, "family-info")["slots"] = -1 },
		"settings.tick-s":                   func(_, s map[string]any) { s["tick-s"] = "soon" },
		"settings.classes":                  func(_, s map[string]any) { s["classes"] = []any{} },
		"settings.classes.0.name":           func(_, s map[string]any) { delete(s["classes"].([]any)[0].(map[string]any), "name") },
		"settings.classes.1.deadline-s":     func(_, s map[string]any) { s["classes"].([]any)[1].(map[string]any)["deadline-s"] = 0 },
		"settings.ceilings.max-retry-after": func(_, s map[string]any) { inner(s, "ceilings")["max-retry-after-s"] = "x" },
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

// TestReadAnew: the file goes before the variable that the process was started with, and what has to wait is named.
func TestReadAnew(t *testing.T) {
	env := map[string]string{"RELAY_DISCOVERY": "127.0.0.2:1"}
	first, err := load(t, Load, nil, env)
	if err != nil || first.Discovery != "127.0.0.2:1" {
		t.Fatal(first, err)
	}
	moved, err := load(t, Reload, func(top, _ map[string]any) { top["discovery"], top["seed"] = "127.0.0.3:1", "1" }, env)
	if err != nil || moved.Discovery != "127.0.0.3:1" || len(first.RestartKeys(moved)) > 0 {
		t.Error(moved, err, first.RestartKeys(moved))
	}
	other, err := load(t, Reload, func(top, settings map[string]any) {
		top["limits"].(map[string]any)["sockets"], settings["tick-s"], top["listen"] = 99, 0.01, "127.0.0.1:1"
	}, env)
	if err != nil || !slices.Equal(first.RestartKeys(other), []string{"listen"}) {
		t.Error(other, err, first.RestartKeys(other))
	}
	if _, err := load(t, Reload, func(top, _ map[string]any) { delete(top, "discovery") }, env); err == nil {
		t.Error("read without discovery")
	}
}

// TestAllFaultsAtOnce, each with file, line, key and what was expected; what is unknown is a warning with the nearest key.
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
				t.Errorf("%s: %q is not in\n%s", file, want, all)
			}
		}
		if len(d.Warnings) != 1 || !strings.Contains(d.Warnings[0].Error(), file+":6: limits.memory_md: no such key; limits.memory_mb?") {
			t.Errorf("%s: %v", file, d.Warnings)
		}
	}
}

// TestLayers: flags go before variables, variables before the file, the file before defaults; each value tells its source.
func TestLayers(t *testing.T) {
	text := "name: file\nlisten: 127.0.0.1:1\nseed: \"12\"\n"
	env := map[string]string{"RELAY_LISTEN": "127.0.0.1:2", "RELAY_NAME": "variable"}
	d, err := parseDocument("c.yaml", []byte(text), Sources{Getenv: func(k string) string { return env[k] }, Flags: map[string]string{"name": "flag"}})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]Value{"name": {"flag", "flag", 0}, "listen": {"127.0.0.1:2", "RELAY_LISTEN", 0}, "seed": {"12", "file", 3},
		"limits.sockets": {"1024", "default", 0}} {
		if got := d.Values[path]; got != want {
			t.Errorf("%s: %+v, not %+v", path, got, want)
		}
	}
}

// TestMergedKeepsNumbers: messages that are held go by the numbers of classes, zones and tenants.
func TestMergedKeepsNumbers(t *testing.T) {
	first, err := load(t, Load, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	next, err := load(t, Reload, func(_, s map[string]any) {
		classes := s["classes"].([]any)
		order := classes[1].(map[string]any)
		order["points"] = 7
		fresh := map[string]any{"name": "fresh", "slo-s": 1, "deadline-s": 2, "points": 3}
		s["classes"], s["zones"] = []any{fresh, order}, []string{"z", "a"}
		s["ceilings"].(map[string]any)["open-cap"] = 5
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	deployment := first.Merged(next)
	if !slices.Equal(deployment.Classes, []string{"update", "order", "fresh"}) || !slices.Equal(deployment.Zones, []string{"a", "z"}) || !deployment.Retired["update"] ||
		deployment.Retired["order"] || deployment.Dispatch.Classes[1].Priority != 7 || deployment.Dispatch.Classes[2].Priority != 3 || deployment.Dispatch.Classes[0].Priority != 1 ||
		deployment.Dispatch.QueueLimit != 5 || deployment.Dispatch.Zone != 1 || deployment.Dispatch.Seed != first.Dispatch.Seed {
		t.Errorf("%+v %v %v %+v", deployment.Classes, deployment.Zones, deployment.Retired, deployment.Dispatch)
	}
}

// FuzzDocument: no text makes the reader panic, and every fault names a key or a line.
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
				t.Fatalf("neither key nor line: %v", fault)
			}
		}
		if len(d.Faults) == 0 {
			if _, err := d.deployment(); err != nil && !strings.Contains(err.Error(), "stands twice") {
				t.Fatalf("sound by the schema, and refused: %v", err)
			}
		}
	})
}

// TestExampleIsSound: what init writes can be used as it is, and so can a file in TOML or YAML as one in JSON.
func TestExampleIsSound(t *testing.T) {
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
		t.Errorf("docs/configuration.md is stale: go run ./cmd/pineport config page > docs/configuration.md (%v)", err)
	}
}

// TestContradictionsAreReported: settings that come to nothing beside others are warned of, each with its line.
func TestContradictionsAreReported(t *testing.T) {
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
