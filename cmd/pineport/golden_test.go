package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"pineport/config"
	"pineport/quota/exchange"
	"pineport/snapshot"
	"pineport/testbed/golden"
)

// copyGolden copies a golden file of another package into dir as name.
func copyGolden(t *testing.T, from, dir, name string) {
	t.Helper()
	content, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, name), content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestCommandOutputMatchesGolden compares the output of commands for scripts with golden files. The spool and the snapshot are data that an
// earlier version stored.
func TestCommandOutputMatchesGolden(t *testing.T) {
	golden.CheckTags(t, membersReport{})
	golden.CheckTags(t, exchange.Status{})
	golden.CheckTags(t, config.KeyChange{})
	golden.CheckTags(t, config.Value{})
	t.Setenv("RELAY_CONFIG", "")
	dir := t.TempDir()
	copyGolden(t, "../../spool/testdata/segment.golden", dir, "0000000001.seg")
	copyGolden(t, "../../snapshot/testdata/version-2.golden", dir, snapshot.FileName)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.toml", config.Example())
	next := write("next.toml", strings.Replace(config.Example(), "slots = 20", "slots = 10", 1))

	var members membersReport
	var quotas exchange.Status
	golden.Fill(&members)
	golden.Fill(&quotas)
	adminServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/peers":
			json.NewEncoder(w).Encode(members)
		case "/commons":
			json.NewEncoder(w).Encode(quotas)
		}
	}))
	defer adminServer.Close()
	ops := strings.TrimPrefix(adminServer.URL, "http://")

	for name, args := range map[string]string{
		"spool-ls":     "spool ls --output json " + dir,
		"spool-show":   "spool show " + dir + " broken",
		"state-show":   "state show --output json " + dir,
		"config-check": "config check --output json --against " + good + " " + next,
		"config-show":  "config show --output json " + good,
		"config-init":  "config init",
		"peers-ls":     "members ls --output json --ops " + ops,
		"commons-show": "quota show --output json --ops " + ops,
	} {
		out, err := runCommand(strings.Fields(args)...)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		golden.Check(t, name+".golden", []byte(out))
	}
	for alias, name := range map[string]string{"peers ls": "members ls", "commons show": "quota show"} {
		aliasArgs := strings.Fields(alias + " --output json --ops " + ops)
		out, err := runCommand(aliasArgs...)
		want, wantErr := runCommand(strings.Fields(name + " --output json --ops " + ops)...)
		warning, rest, _ := strings.Cut(out, "\n")
		if err != nil || wantErr != nil || rest != want || !strings.Contains(warning, "deprecated: use pineport "+strings.Fields(name)[0]) {
			t.Errorf("%s: %v, %v: %s", alias, err, wantErr, out)
		}
	}
}

// TestSettingsMatchGolden compares every configuration key, with its format, unit, default, environment variable and reload behavior, with a
// golden file.
func TestSettingsMatchGolden(t *testing.T) {
	var lines strings.Builder
	for _, k := range config.Schema {
		fmt.Fprintf(&lines, "%s\n  unread %v, unit %q, default %q, variable %q, on reload %q, expects %q\n", k.Path, k.Ignored, k.Unit, k.Default, k.EnvVar,
			k.OnReload(), k.Expects())
	}
	golden.Check(t, "settings.golden", []byte(lines.String()))
}

// TestExitCodes checks that commands exit with 0 on success, and with 1 and an error message on standard error on failure.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good.toml")
	if err := os.WriteFile(good, []byte(config.Example()), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]int{
		"version": 0, "config check " + good: 0, "config init": 0, "spool verify " + dir: 0,
		"config check " + dir + "/none.toml": 1, "spool ls " + dir + "/none": 1, "state verify " + dir: 1, "nonsense": 1, "spool ls": 1,
	} {
		cmd := exec.Command(buildBinary(), strings.Fields(args)...)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
		var stderr strings.Builder
		cmd.Stderr = &stderr
		err := cmd.Run()
		var failed *exec.ExitError
		code := 0
		if errors.As(err, &failed) {
			code = failed.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != want || (code != 0) != strings.HasPrefix(stderr.String(), "pineport: ") {
			t.Errorf("%s: unexpected exit code %d or standard error %q", args, code, stderr.String())
		}
	}
}
