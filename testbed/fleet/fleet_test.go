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

// binary builds the courier once for all tests.
func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "pineport")
	if out, err := exec.Command("go", "build", "-o", path, "pineport/cmd/pineport").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestProcesses: ten real couriers through kill, stop, a one-way cut, a partition and its heal, an old folder, none and another
// address, under load. Bounds are counts, or wide: the verdict is the same on any machine.
func TestProcesses(t *testing.T) {
	p := &Plan{Scenario: "calm", Couriers: 10, Length: 24, Load: 3, Faults: []netfault.Fault{
		{Kind: Kill, At: 2, Length: 3, From: []int{1, 2}},
		{Kind: Stop, At: 3, Length: 4, From: []int{3}},
		{Kind: "one-way", At: 3, Length: 4, From: []int{4}, To: []int{5}},
		{Kind: "cut", At: 8, Length: 5, From: []int{0, 6, 7}},
		{Kind: Older, At: 14, Length: 2, From: []int{1}},
		{Kind: Empty, At: 14, Length: 2, From: []int{2}},
		{Kind: Address, At: 15, Length: 2, From: []int{8}},
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
		t.Errorf("rules: %s %+v", res.Verdict.Short(), res.Verdict.Breaches)
	}
	if res.UnderestimatePolls > 0 {
		t.Errorf("at %d looks a courier counted on fewer than there are", res.UnderestimatePolls)
	}
	if !res.Converged {
		t.Error("the fleet was not whole again within 40 s of the last fault")
	}
	for _, idle := range res.FaultsWithoutEffect {
		t.Error(idle)
	}
	// Each of five deaths is seen by most of those that were up and not cut off.
	if len(res.FailureDetections) < 20 || len(res.ReturnDetections) < 20 {
		t.Errorf("%d deaths and %d returns were seen", len(res.FailureDetections), len(res.ReturnDetections))
	}
	if !strings.Contains(trace.String(), `"what":"cut"`) {
		t.Error("the trace does not show the cut")
	}
	t.Logf("%v; %d messages done, longest until a death was known %.1f s", res.FaultCounts, res.Verdict.Counts.Delivered, longest(res.FailureDetections))
}

// TestSharedLimits: twelve real couriers grant one another parts of few limits, on a day with too much for them, while half of them are
// deaf one way, one stands still, two are killed and three are cut off. Judged from outside: nobody uses a lease that its grantor has back
// or never gave, nobody grants more than half, and the rules are kept.
func TestSharedLimits(t *testing.T) {
	p := &Plan{Scenario: "shared-limits", Couriers: 12, Length: 26, Load: 4, Faults: []netfault.Fault{
		{Kind: "one-way", At: 6, Length: 5, From: []int{0, 1, 2, 3, 4, 5}, To: []int{6, 7, 8, 9, 10, 11}},
		{Kind: Stop, At: 8, Length: 5, From: []int{7}},
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
		t.Errorf("rules: %s %+v", res.Verdict.Short(), res.Verdict.Breaches)
	}
	for _, what := range append(res.LeaseBreaches, res.FaultsWithoutEffect...) {
		t.Error(what)
	}
	if res.LeaseCount < 20 {
		t.Errorf("only %d leases were seen", res.LeaseCount)
	}
	t.Logf("%v; %d leases, at most %.2f of a part; %d refused, %d done", res.FaultCounts, res.LeaseCount, res.LargestLeasedShare, res.Verdict.Counts.Throttled, res.Verdict.Counts.Delivered)
}

func longest(all []float64) (most float64) {
	for _, s := range all {
		most = max(most, s)
	}
	return most
}

// TestIdleFaultsAreReported: a fault that never struck fails a run.
func TestIdleFaultsAreReported(t *testing.T) {
	n, err := netfault.Open(1, []string{"127.0.0.1:9", "127.0.0.1:9"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	end := n.Begin(netfault.Fault{Kind: "cut", From: []int{0}})
	time.Sleep(10 * time.Millisecond)
	if end() == nil {
		t.Error("a cut over which nothing went passes for one that struck")
	}
}

// TestDaysAreSound: every day that comes along can be read.
func TestDaysAreSound(t *testing.T) {
	for _, name := range PlanNames() {
		if _, err := Find(name); err != nil {
			t.Error(err)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if _, err := Find(bad); err == nil {
		t.Error("a day that is not there")
	}
	if err := (&Plan{Length: 5, Faults: []netfault.Fault{{Kind: "nonsense", Length: 1}}}).check("x"); err == nil {
		t.Error("a fault of no kind")
	}
}
