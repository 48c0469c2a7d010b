package capacity

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// TestArithmeticOfThePlan compares the computed figures of the example plan with figures calculated by hand.
func TestArithmeticOfThePlan(t *testing.T) {
	plan := examplePlan(t)
	d := Derive(plan)
	for what, pair := range map[string][2]float64{
		"events per courier":       {d.EventsPerCourier, 354.5},
		"held per courier":         {d.HeldPerCourier, 17.27e6},
		"down":                     {d.DestinationsDown, 172_800},
		"events per destination":   {d.EventsPerDestination, 1.0833},
		"meeting":                  {d.EventIntervalSeconds, 2.82 * 3600},
		"five failures":            {d.FiveFailuresSeconds, 14.1 * 3600},
		"opening":                  {d.BreakerOpeningSeconds, 16.92 * 3600},
		"zone":                     {d.CouriersPerZone, 440},
		"region":                   {d.CouriersPerRegion, 1100},
		"control":                  {d.CouriersPerControl, 314.3},
		"changes":                  {d.ChangesPerSecond, 0.6713},
		"waiting":                  {d.ChangesWaitingAfterCut, 2417},
		"recently called":          {d.RecentRoutes, 42_295},
		"backlog of a destination": {d.BacklogPerDestination, 1.0995e6},
		"removal commands":         {d.RemovalCommandsPerDay, 308_000},
	} {
		if math.Abs(pair[0]/pair[1]-1) > 1e-3 {
			t.Errorf("%s: got %v, want %v", what, pair[0], pair[1])
		}
	}
}

// TestStatedArithmetic checks that all stated figures of the example plan agree with the computed ones, except five_failures_s:
// the plan states half a day, and the computed time is 14.1 h.
func TestStatedArithmetic(t *testing.T) {
	plan := examplePlan(t)
	d := Derive(plan)
	checked := Check(plan, &d)
	if len(checked) != 10 {
		t.Fatalf("%d stated figures, want 10: %+v", len(checked), checked)
	}
	for _, c := range checked {
		if c.Agrees == (c.Key == "five_failures_s") {
			t.Errorf("%s: stated %v, computed %v, agrees: %v", c.Key, c.Stated, c.Computed, c.Agrees)
		}
	}
	plan.Stated = Stated{CouriersPerZone: 380}
	if checked = Check(plan, &d); len(checked) != 1 || checked[0].Agrees || math.Abs(checked[0].RelativeError+60.0/440) > 1e-9 {
		t.Errorf("380 couriers per zone: %+v", checked)
	}
}

func TestStatedKeysAreFigures(t *testing.T) {
	figures := figuresOf(&Derived{})
	for _, key := range Keys() {
		if name, isStated := statedName(key); isStated {
			if figure, found := figures[name]; !found || figure.Unit != key.Unit {
				t.Errorf("%s: the computed figure is %+v", key.Path, figure)
			}
		}
	}
}

// TestAssumedFiguresAreMarked checks that assumedBehind finds the assumed keys that a figure depends on, and no others.
func TestAssumedFiguresAreMarked(t *testing.T) {
	plan := examplePlan(t)
	drain := assumedBehind(plan, func(_ *Plan, d *Derived) float64 { return d.DrainSeconds })
	if len(drain) != 1 || drain[0] != "traffic.headroom" {
		t.Errorf("the drain time depends on %v", drain)
	}
	if stated := assumedBehind(plan, heldMessages.At); len(stated) != 0 {
		t.Errorf("the number of messages held depends on %v", stated)
	}
}

// TestConstantsMatchCode compares constants that this package repeats with the source files that define them, where they are not exported.
func TestConstantsMatchCode(t *testing.T) {
	type constant struct {
		file, pattern string
		figure        float64
	}
	all := []constant{
		{"dispatch/breaker.go", `forgetAfter\s+= (\d+) \* second`, forgetAfter},
		{"membership/gossip/gossip.go", `ticksPerInterval\s+= (\d+)\s`, gossipTicks},
		{"server/discovery.go", `watchWait\s+= (\d+) \* 1000\n`, 1000 * watchSeconds},
		{"cmd/pineport/fleet.go", `Interval: min\(o\.Interval/(\d+), maxExchangeInterval\)`, sharingTicks},
		{"spool/spool.go", `growthReserve = (\d+)`, reservedPerMessage},
		{"server/queue.go", `const pauseThreshold = (\d+) \* 1000`, 1000 * examplePlan(t).Budget.Courier.StepSeconds},
	}
	bounds := 0
	for _, row := range Rows() {
		if bound := row.CodeBound; bound != nil {
			all = append(all, constant{bound.File, bound.Name + `(?:\s+=|:) (\d+)`, bound.Figure})
			bounds++
		}
	}
	if bounds != 3 {
		t.Errorf("%d limits in the code, want 3", bounds)
	}
	for _, c := range all {
		text, err := os.ReadFile(filepath.Join("../..", c.file))
		if err != nil {
			t.Fatal(err)
		}
		found := regexp.MustCompile(c.pattern).FindStringSubmatch(string(text))
		if found == nil {
			t.Errorf("%s: nothing matches %s", c.file, c.pattern)
			continue
		}
		if figure, _ := strconv.ParseFloat(found[1], 64); figure != c.figure {
			t.Errorf("%s: %s is %v there and %v in this package", c.file, c.pattern, figure, c.figure)
		}
	}
}

// TestOutageConstantsMatchScaleRun compares the constants of the run outage in this package with the source of that run. It fails if slopes
// are measured but that source does not exist.
func TestOutageConstantsMatchScaleRun(t *testing.T) {
	const run = "../scale/outage.go"
	if !exists(t, run) {
		if exists(t, measuredFile) {
			t.Errorf("docs/capacity/measured.json exists, but not %s, which its figures come from", run)
		}
		t.Log("neither the source of the run nor docs/capacity/measured.json exists")
		return
	}
	text, err := os.ReadFile(run)
	if err != nil {
		t.Fatal(err)
	}
	figure := func(name string) float64 {
		t.Helper()
		found := regexp.MustCompile(name + `\s+= ([\d.]+)\s`).FindStringSubmatch(string(text))
		if found == nil {
			t.Fatalf("%s: no constant %s", run, name)
		}
		value, err := strconv.ParseFloat(found[1], 64)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	if rate := figure("outageTraffic") / figure("outageDestinations"); rate != outageRate {
		t.Errorf("%v messages per second for one destination in the run, %v in this package", rate, outageRate)
	}
	if down, lasts := figure("outageDown"), figure("outageLasts"); down != outageDown || lasts != outageSeconds {
		t.Errorf("%v destinations down for %v s in the run, %v for %v s in this package", down, lasts, outageDown, outageSeconds)
	}
}

// TestPromisesNameExistingTests checks that the tests and pages that each promise names exist.
func TestPromisesNameExistingTests(t *testing.T) {
	for _, promise := range Promises() {
		if _, err := os.Stat(filepath.Join("../..", promise.Page)); err != nil {
			t.Errorf("%s: %v", promise.Piece, err)
		}
		files, err := filepath.Glob(filepath.Join("../..", promise.Package, "*_test.go"))
		if err != nil || len(files) == 0 || len(promise.ShownBy) == 0 {
			t.Errorf("%s: no tests in %s: %v", promise.Piece, promise.Package, err)
		}
		var text strings.Builder
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			text.Write(source)
		}
		for _, name := range promise.ShownBy {
			if !strings.Contains(text.String(), "func "+name+"(t *testing.T)") {
				t.Errorf("%s: %s has no test named %s", promise.Piece, promise.Package, name)
			}
		}
	}
}
