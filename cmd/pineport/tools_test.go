package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pineport/config"
	"pineport/spool"
)

// runCommand runs a pineport command line in this process and returns its output.
func runCommand(args ...string) (string, error) {
	cmd := root()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// TestCommands checks what scripts rely on: the output, the JSON form and the errors of commands.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("RELAY_CONFIG", "")
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.toml", config.Example())
	next := write("next.toml", strings.Replace(strings.Replace(config.Example(), "slots = 20", "slots = 10", 1), `name = "n0"`, `name = "n1"`, 1))
	// memory_md is a misspelled key.
	unknownKey := write("odd.toml", strings.Replace(config.Example(), "[limits]", "[limits]\nmemory_md = 9", 1))
	invalid := write("bad.toml", strings.Replace(config.Example(), "slots = 20", "slots = 0", 1))
	invalidLatency := write("late.toml", strings.Replace(config.Example(), "slo-s = ", "slo-s = 7", 1))
	for _, c := range []struct {
		args    string
		want    string
		wantErr string
	}{
		{"config check " + good, "sound", ""},
		{"config check " + unknownKey, "limits.memory_mb?", ""},
		{"config check --strict " + unknownKey, "", "limits.memory_md: no such key"},
		{"config check " + invalid, "", "settings.family-info.slots: a count from 1"},
		{"config check " + invalidLatency, "", "slo-s: must not exceed deadline-s"},
		{"config check " + good + " --set peers.key=abc", "", "peers.key: 16, 24 or 32 bytes"},
		{"config check " + good + " --set peers.through=1.2.3.4:5", "", "peers.through: address:port=address:port"},
		{"config check " + next + " --against " + good, "waits for the next start", ""},
		{"config explain settings.family-info.slots --config " + good, "now: settings.family-info.slots = 20 (good.toml:", ""},
		{"config explain settings.family-info.slot", "", "settings.family-info.slots?"},
		{"config show " + good + " --set limits.sockets=99", "flag", ""},
		{"config show " + good + " --set limits.socket=99", "", "want KEY=VALUE with a known key"},
		{"config init", "[settings.family-info]", ""},
		{"version", "pineport", ""},
		{"spool ls " + dir + "/none", "", "no such directory"},
		{"state verify " + dir, "", "no such file"},
		{"completion bash", "bash completion", ""},
		{"nonsense", "", "unknown command"},
	} {
		out, err := runCommand(strings.Fields(c.args)...)
		if c.wantErr == "" && (err != nil || !strings.Contains(out, c.want)) || c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)) {
			t.Errorf("%s: %v\n%s", c.args, err, out)
		}
	}
	out, err := runCommand("config", "check", next, "--against", good, "--output", "json")
	var changes []config.KeyChange
	if err != nil || json.Unmarshal([]byte(out), &changes) != nil || len(changes) != 2 || changes[0].AppliesNow || !changes[1].AppliesNow {
		t.Errorf("%v %s", err, out)
	}
}

// TestSpoolInspection checks that the spool commands work while a courier has the spool open and do not change it, and that verify finds damage.
func TestSpoolInspection(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := spool.Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		if err := s.Append(&spool.Message{ID: id, Class: "update", Destination: 1, Deadline: 5, Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.BeginAttempt("a", spool.Attempt{Endpoint: "e", SentAt: 1}); err != nil {
		t.Fatal(err)
	}
	size := func() (n int64) {
		files, _ := filepath.Glob(filepath.Join(dir, "*"))
		for _, f := range files {
			info, _ := os.Stat(f)
			n += info.Size()
		}
		return n
	}
	before := size()
	if out, err := runCommand("spool", "ls", dir); err != nil || strings.Count(out, "update") != 2 || !strings.Contains(out, "out") {
		t.Errorf("%v\n%s", err, out)
	}
	if out, err := runCommand("spool", "show", dir, "a"); err != nil || !strings.Contains(out, `"body": "eA=="`) {
		t.Errorf("%v\n%s", err, out)
	}
	if _, err := runCommand("spool", "verify", dir); err != nil || size() != before {
		t.Errorf("verify: %v; the spool had %d bytes before and has %d now", err, before, size())
	}
	s.Close()
	files, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	content, _ := os.ReadFile(files[0])
	content[len(content)/2] ^= 1
	os.WriteFile(files[0], content, 0o600)
	if _, err := runCommand("spool", "verify", dir); err == nil {
		t.Error("verify reported no error for a damaged spool")
	}
}
