package realtime

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pineport")
	if out, err := exec.Command("go", "build", "-o", binary, "pineport/cmd/pineport").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// short is a day of a few seconds with a restart, a kill, a silence, a drain and a standstill.
func short(t *testing.T) *scenario.Definition {
	t.Helper()
	d, err := scenario.Find("demo")
	if err != nil {
		t.Fatal(err)
	}
	d.Length = 7
	at := func(kind string, from, length float64) scenario.FaultSpec {
		return scenario.FaultSpec{Kind: kind, At: scenario.Range{from, from}, Length: scenario.Range{length, length}, Share: 0.5, Scope: "any", AllEndpointsChance: 1, EffectShare: 0.5}
	}
	d.Faults = []scenario.FaultSpec{at("courier-kill", 1, 0.5), at("silent", 2, 2), at("drain", 1, 3), at("courier-stand", 4, 2), at("resets", 3, 3)}
	return d
}

// TestDayOnSockets: a day with restarts and troubles keeps the rules, and leaves nothing running behind.
func TestDayOnSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	v, cost, err := Play(context.Background(), scenario.Draw(short(t), 2), Options{Binary: build(t)})
	if err != nil {
		t.Fatal(err)
	}
	if !v.OK() {
		t.Errorf("%s: %+v", v.Short(), v.Breaches)
	}
	if v.Counts.Delivered < v.Counts.Offered/2 || cost.Restarts == 0 || v.Counts.Offered == 0 {
		t.Errorf("%+v, %+v", v.Counts, cost)
	}
}

// TestNoCourier, one that is unreachable, and one that crashes: a clear verdict, and no hang.
func TestBadCouriers(t *testing.T) {
	script := func(text string) string {
		path := filepath.Join(t.TempDir(), "courier")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o755); err != nil {
			t.Fatal(err)
		}
		return path
	}
	w := scenario.Draw(short(t), 1)
	for binary, want := range map[string]string{
		"/nowhere/at-all":                      "no such file",
		script("echo out of luck >&2; exit 3"): "out of luck",
		script("exec sleep 60"):                "did not answer PING",
	} {
		began := time.Now()
		_, _, err := Play(context.Background(), w, Options{Binary: binary, Ready: time.Second})
		if err == nil || !strings.Contains(err.Error(), want) || time.Since(began) > 10*time.Second {
			t.Errorf("%s: %v after %v", binary, err, time.Since(began))
		}
	}
	crashing := script("timeout -s KILL 2.5 " + build(t) + "; exit 1")
	v, _, err := Play(context.Background(), w, Options{Binary: crashing})
	if err != nil || v.BreachCounts[invariants.NoCrash] == 0 || v.Score != 0 {
		t.Errorf("%v, %+v", err, v)
	}
}

// TestBrokenOff: a run that is broken off says so and does not count.
func TestBrokenOff(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	began := time.Now()
	v, _, err := Play(ctx, scenario.Draw(short(t), 1), Options{Binary: build(t)})
	if err != nil || v.InvalidReason == "" || time.Since(began) > 8*time.Second {
		t.Errorf("%v, %+v after %v", err, v, time.Since(began))
	}
}
