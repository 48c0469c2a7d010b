package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pineport/testbed/netfault"
)

// binary builds the courier.
func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "pineport")
	if out, err := exec.Command("go", "build", "-o", path, "pineport/cmd/pineport").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestFleetRecoversFromFaults runs ten couriers under load through kills, a pause, a one-way cut, a
// partition, and restarts with an old incarnation file, without one, and at another address. The fleet must
// converge and no rule may be broken. Limits are counts or generous times, so that the result does not depend
// on the machine.
func TestFleetRecoversFromFaults(t *testing.T) {
	p := &Plan{Scenario: "calm", Couriers: 10, Length: 24, Load: 3, Faults: []netfault.Fault{
		{Kind: Kill, At: 2, Length: 3, From: []int{1, 2}},
		{Kind: Pause, At: 3, Length: 4, From: []int{3}},
		{Kind: "one-way", At: 3, Length: 4, From: []int{4}, To: []int{5}},
		{Kind: "cut", At: 8, Length: 5, From: []int{0, 6, 7}},
		{Kind: OldIncarnation, At: 14, Length: 2, From: []int{1}},
		{Kind: LoseIncarnation, At: 14, Length: 2, From: []int{2}},
		{Kind: Move, At: 15, Length: 2, From: []int{8}},
	}}
	if err := p.check("here"); err != nil {
		t.Fatal(err)
	}
	var trace strings.Builder
	res, err := Play(context.Background(), p, Options{Binary: binary(t), Seed: 1, Membership: true, Trace: &trace})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Verdict.OK() {
		t.Errorf("broken rules: %s %+v", res.Verdict.Short(), res.Verdict.Breaches)
	}
	if res.UnderestimatePolls > 0 {
		t.Errorf("in %d polls a courier's upper estimate of the fleet size was too low", res.UnderestimatePolls)
	}
	if !res.Converged {
		t.Error("the fleet did not converge within 40 s of the last fault")
	}
	for _, fault := range res.FaultsWithoutEffect {
		t.Error(fault)
	}
	// Each of the five kills is detected by most couriers that were up and not cut off.
	if len(res.FailureDetections) < 20 || len(res.ReturnDetections) < 20 {
		t.Errorf("%d failures and %d returns were detected, want at least 20 of each", len(res.FailureDetections), len(res.ReturnDetections))
	}
	if !strings.Contains(trace.String(), `"what":"cut"`) {
		t.Error("the trace does not contain the cut")
	}
	t.Logf("%v; %d messages delivered, longest failure detection %.1f s", res.FaultCounts, res.Verdict.Counts.Delivered, longest(res.FailureDetections))
}

// TestSharedQuotasKeepLeaseRules runs twelve couriers that lease quota to one another in an overloaded
// scenario, while six cannot send to the other six, one is paused, two are killed and three are cut off. By
// the couriers' own reports, no courier may use a lease that was not granted or that has returned to its
// grantor, and none may grant more than half of its base share. No rule of the scenario may be broken.
func TestSharedQuotasKeepLeaseRules(t *testing.T) {
	p := &Plan{Scenario: "shared-limits", Couriers: 12, Length: 26, Load: 4, Faults: []netfault.Fault{
		{Kind: "one-way", At: 6, Length: 5, From: []int{0, 1, 2, 3, 4, 5}, To: []int{6, 7, 8, 9, 10, 11}},
		{Kind: Pause, At: 8, Length: 5, From: []int{7}},
		{Kind: Kill, At: 9, Length: 2, From: []int{8, 9}},
		{Kind: "cut", At: 14, Length: 5, From: []int{0, 10, 11}},
		{Kind: "loss", At: 20, Length: 4, From: []int{1, 2, 3}, Size: 0.3},
		{Kind: "duplicate", At: 20, Length: 4, From: []int{4, 5, 6}, Size: 0.5},
	}}
	if err := p.check("here"); err != nil {
		t.Fatal(err)
	}
	res, err := Play(context.Background(), p, Options{Binary: binary(t), Seed: 2, Membership: true, Share: true})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Verdict.OK() {
		t.Errorf("broken rules: %s %+v", res.Verdict.Short(), res.Verdict.Breaches)
	}
	for _, problem := range append(res.LeaseBreaches, res.FaultsWithoutEffect...) {
		t.Error(problem)
	}
	if res.LeaseCount < 20 {
		t.Errorf("%d leases were seen, want at least 20", res.LeaseCount)
	}
	t.Logf("%v; %d leases, largest sum of a courier %.2f of its base share; %d throttled, %d delivered", res.FaultCounts, res.LeaseCount, res.LargestLeasedShare, res.Verdict.Counts.Throttled, res.Verdict.Counts.Delivered)
}

func longest(all []float64) (result float64) {
	for _, s := range all {
		result = max(result, s)
	}
	return result
}

// TestFaultsWithoutEffectAreReported checks that ending a fault returns an error if the fault affected
// nothing.
func TestFaultsWithoutEffectAreReported(t *testing.T) {
	n, err := netfault.Open(1, []string{"127.0.0.1:9", "127.0.0.1:9"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	end := n.Begin(netfault.Fault{Kind: "cut", From: []int{0}})
	time.Sleep(10 * time.Millisecond)
	if end() == nil {
		t.Error("no error for a cut that affected no traffic")
	}
}

// TestPlanValidation checks that every built-in plan is valid, and that a missing plan file and an unknown
// kind of fault are refused.
func TestPlanValidation(t *testing.T) {
	for _, name := range PlanNames() {
		if _, err := Find(name); err != nil {
			t.Error(err)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if _, err := Find(bad); err == nil {
		t.Error("no error for a missing plan file")
	}
	if err := (&Plan{Length: 5, Faults: []netfault.Fault{{Kind: "nonsense", Length: 1}}}).check("x"); err == nil {
		t.Error("no error for an unknown kind of fault")
	}
}
