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

func buildCourier(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pineport")
	if out, err := exec.Command("go", "build", "-o", binary, "pineport/cmd/pineport").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// shortScenario returns a scenario of 7 s with a courier that is killed, an unreachable endpoint, a drain, a paused courier and connection
// resets.
func shortScenario(t *testing.T) *scenario.Definition {
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

// TestScenarioOnSockets checks that a scenario with restarts and faults violates no invariant and leaks no goroutine.
func TestScenarioOnSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	v, cost, err := Play(context.Background(), scenario.Draw(shortScenario(t), 2), Options{Binary: buildCourier(t)})
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

// TestBadCouriers checks a missing courier binary, a courier that exits at once, one that never answers and one that crashes. The
// first three must give a clear error within 10 s; the crash must violate the invariant invariants.NoCrash.
func TestBadCouriers(t *testing.T) {
	script := func(text string) string {
		path := filepath.Join(t.TempDir(), "courier")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o755); err != nil {
			t.Fatal(err)
		}
		return path
	}
	w := scenario.Draw(shortScenario(t), 1)
	for binary, want := range map[string]string{
		"/nowhere/at-all":                      "no such file",
		script("echo out of luck >&2; exit 3"): "out of luck",
		script("exec sleep 60"):                "did not answer PING",
	} {
		began := time.Now()
		_, _, err := Play(context.Background(), w, Options{Binary: binary, ReadyTimeout: time.Second})
		if err == nil || !strings.Contains(err.Error(), want) || time.Since(began) > 10*time.Second {
			t.Errorf("%s: %v after %v", binary, err, time.Since(began))
		}
	}
	crashing := script("timeout -s KILL 2.5 " + buildCourier(t) + "; exit 1")
	v, _, err := Play(context.Background(), w, Options{Binary: crashing})
	if err != nil || v.BreachCounts[invariants.NoCrash] == 0 || v.Score != 0 {
		t.Errorf("%v, %+v", err, v)
	}
}

// TestCanceledRunIsInvalid checks that a run that is canceled after 2 s ends within 8 s and that its verdict is invalid.
func TestCanceledRunIsInvalid(t *testing.T) {
	binary := buildCourier(t) // before the measurement: beside other work the compiler alone may take longer than the limit
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	began := time.Now()
	v, _, err := Play(ctx, scenario.Draw(shortScenario(t), 1), Options{Binary: binary})
	if err != nil || v.InvalidReason == "" || time.Since(began) > 8*time.Second {
		t.Errorf("%v, %+v after %v", err, v, time.Since(began))
	}
}
