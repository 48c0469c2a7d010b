package capacity

import (
	"encoding/json"
	"errors"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pineport/testbed/slopes"
)

// fixtureFile contains invented slopes for tests.
const fixtureFile = "testdata/measured.json"

func fixturePage(t *testing.T) *Page {
	t.Helper()
	plan, measured, err := Load(examplePlanFile, fixtureFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Evaluate(plan, measured)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

// rowOnSlope returns the row that counts in the choice and uses only the given slope.
func rowOnSlope(t *testing.T, page *Page, slope string) *RowResult {
	t.Helper()
	for i := range page.Rows {
		if result := &page.Rows[i]; result.Slopes() == slope && result.NotRankedReason == "" {
			return result
		}
	}
	t.Fatalf("no row uses %s alone", slope)
	return nil
}

func closeTo(a, b float64) bool { return math.Abs(a/b-1) < 1e-6 }

func TestFiguresBudgetsAndShares(t *testing.T) {
	page := fixturePage(t)
	const held, destinations = 190e9 / 11000, 3.6e6
	for slope, want := range map[string]struct{ figure, budget, share, extrapolation float64 }{
		"held.step.many":       {2e-6 + 1e-7*held, 0.05, (0.05 - 2e-6) / 1e-7 / held, held / 1e5},
		"held.module.many":     {1000 + 300*held, 16e9, (16e9 - 1000) / 300 / held, held / 1e5},
		"held.spool_disk.many": {1000 + 600*held, 100e9, (100e9 - 1000) / 600 / held, held / 1e5},
		"held.restart.many":    {0.001 + 5e-6*held, 10, (10 - 0.001) / 5e-6 / held, held / 1e5},
		"destinations.bytes":   {1000 + 800*destinations, 128e6, (128e6 - 1000) / 800 / destinations, 36},
		"couriers.heap":        {90000 + 700*11000, 128e6, (128e6 - 90000) / 700 / 11000, 11000.0 / 300},
	} {
		row := rowOnSlope(t, page, slope)
		if !closeTo(*row.Figure, want.figure) || !closeTo(row.Budget.Figure, want.budget) || !closeTo(*row.Share, want.share) || !closeTo(row.Extrapolation, want.extrapolation) {
			t.Errorf("%s: figure %v, budget %v, share %v, extrapolation %v, want %+v", slope, *row.Figure, row.Budget.Figure, *row.Share, row.Extrapolation, want)
		}
		if !row.Marked {
			t.Errorf("%s is extrapolated %v times and not marked", slope, row.Extrapolation)
		}
	}
	if row := rowOnSlope(t, page, "sharing.bytes_per_second"); !row.NeverBreaks || row.Share != nil {
		t.Errorf("a constant figure under its budget breaks: %+v", row)
	}
	if row := rowOnSlope(t, page, "couriers.view.tick"); row.Marked || !closeTo(row.Extrapolation, 4096.0/11000) || !closeTo(*row.Figure, 5*(1e-6+1e-8*4096)) {
		t.Errorf("a slope measured up to more names than a view keeps is marked as extrapolated, or has a wrong figure: %+v", row)
	}
	if row := rowOnSlope(t, page, "sharing.kept_bytes.routes_over_room"); row.Marked || row.Extrapolation < 4 || row.Extrapolation > 5 {
		t.Errorf("a slope extrapolated fourfold: %+v", row)
	}
}

// TestSumsBreakBeforeTheirParts checks that a sum equals its budget at its share, and that no part alone exceeds the budget at a smaller
// share.
func TestSumsBreakBeforeTheirParts(t *testing.T) {
	page := fixturePage(t)
	sums := 0
	for i := range page.Rows {
		result := &page.Rows[i]
		if len(result.Parts) < 2 || result.Share == nil {
			continue
		}
		sums++
		if at := result.sum(*result.Share); !closeTo(at, result.Budget.Figure) {
			t.Errorf("%s: figure %v at its share, want the budget %v", result.What, at, result.Budget.Figure)
		}
		for _, part := range result.Parts {
			if alone := part.Fit.SizeAt(result.Budget.Figure/part.Factor) / part.Size; alone < *result.Share {
				t.Errorf("%s: %s alone breaks at %v, the sum only at %v", result.What, part.Slope, alone, *result.Share)
			}
		}
	}
	if sums != 4 {
		t.Errorf("%d sums with a share, want 4", sums)
	}
}

// rowOnFit evaluates a row with a single slope that has the given fit.
func rowOnFit(fit slopes.Fit, size, budgetFigure float64) (RowResult, error) {
	row := Row{Role: RoleCourier, What: "made up", Unit: "s", Parts: singleSlope("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return size }}, nil),
		Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: budgetFigure} }}
	measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run", Slopes: []slopes.Slope{
		{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Fit: fit}}}}}
	return row.Evaluate(&Plan{}, &Derived{}, measured)
}

// shareOf returns the share of a row, or +Inf if the row never breaks.
func shareOf(a RowResult) float64 {
	if a.NeverBreaks {
		return math.Inf(1)
	}
	return *a.Share
}

// TestLargerSlopeBreaksEarlier checks that a figure that grows faster breaks its budget at a smaller share, that a figure equals its budget
// at its share, and that the share is below 1 exactly if the figure at the planned size is over the budget.
func TestLargerSlopeBreaksEarlier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fit := slopes.Fit{Model: rapid.SampledFrom([]slopes.Model{slopes.Linear, slopes.Logarithm, slopes.Power}).Draw(t, "model"),
			Base: rapid.Float64Range(0.001, 10).Draw(t, "base"), Rate: rapid.Float64Range(0.05, 2).Draw(t, "rate")}
		if fit.Model != slopes.Power {
			fit.Rate *= fit.Base // keeps the share within the range of float64
		}
		larger := fit
		larger.Rate *= rapid.Float64Range(1.01, 10).Draw(t, "steeper by")
		size := rapid.Float64Range(10, 1e6).Draw(t, "size")
		budgetFigure := fit.Base * rapid.Float64Range(1.5, 10).Draw(t, "budget over base")
		flat, err := rowOnFit(fit, size, budgetFigure)
		if err != nil {
			t.Fatal(err)
		}
		large, err := rowOnFit(larger, size, budgetFigure)
		if err != nil {
			t.Fatal(err)
		}
		if shareOf(large) >= shareOf(flat) {
			t.Fatalf("%+v breaks at %v, and the steeper fit at %v", fit, shareOf(flat), shareOf(large))
		}
		if at := flat.sum(shareOf(flat)); math.Abs(at/budgetFigure-1) > 1e-6 {
			t.Fatalf("%+v is %v at its share, want the budget %v", fit, at, budgetFigure)
		}
		// At a figure that equals the budget, rounding decides on which side of 1 the share lies: 0.9999999999999998 was seen.
		if breaks, over := shareOf(flat) < 1, *flat.Figure > budgetFigure; breaks != over && math.Abs(*flat.Figure/budgetFigure-1) > 1e-12 {
			t.Fatalf("%+v breaks at %v, with figure %v and budget %v at the planned size", fit, shareOf(flat), *flat.Figure, budgetFigure)
		}
	})
}

// TestSearchAgreesWithTheCurve checks that, for a single slope, the bisection used for sums finds the same share as the inverse of the curve.
func TestSearchAgreesWithTheCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := PartUsed{Size: rapid.Float64Range(10, 1e6).Draw(t, "size"), Factor: rapid.Float64Range(0.1, 10).Draw(t, "times"),
			Fit: slopes.Fit{Model: slopes.Linear, Base: 1, Rate: rapid.Float64Range(0.01, 10).Draw(t, "rate")}}
		result := RowResult{Parts: []PartUsed{part}}
		figure := part.Factor * rapid.Float64Range(2, 1000).Draw(t, "figure")
		direct, searched := result.shareAt(figure), result.shareOfSum(figure)
		if math.Abs(searched/direct-1) > 1e-6 {
			t.Fatalf("share %v by the inverse of the curve, %v by bisection", direct, searched)
		}
	})
}

func TestSharesOfFlatAndFallingFits(t *testing.T) {
	for what, try := range map[string]struct {
		fit    slopes.Fit
		budget float64
		share  float64
	}{
		"flat and under":       {slopes.Fit{Model: slopes.Constant, Base: 1}, 2, math.Inf(1)},
		"flat and over":        {slopes.Fit{Model: slopes.Constant, Base: 3}, 2, 0},
		"over from the start":  {slopes.Fit{Model: slopes.Linear, Base: 3, Rate: 1}, 2, 0},
		"falling and under":    {slopes.Fit{Model: slopes.Linear, Base: 1, Rate: -0.001}, 2, math.Inf(1)},
		"falling but too high": {slopes.Fit{Model: slopes.Linear, Base: 30, Rate: -0.001}, 2, 0},
	} {
		result, err := rowOnFit(try.fit, 1000, try.budget)
		if err != nil || shareOf(result) != try.share {
			t.Errorf("%s: %+v, %v", what, result, err)
		}
	}
}

func TestExtrapolationMarkedBeyondTenfold(t *testing.T) {
	for size, marked := range map[float64]bool{50: false, 100: false, 1000: false, 1001: true} {
		result, err := rowOnFit(slopes.Fit{Model: slopes.Linear, Base: 1, Rate: 1}, size, 10)
		if err != nil || result.Marked != marked || strings.Contains(measuredRangeCell(&result), "**") != marked {
			t.Errorf("size %v, measured up to 100: marked %v, %q, %v", size, result.Marked, measuredRangeCell(&result), err)
		}
	}
}

// TestMissingSlopes checks that a row whose slope is not in the file has no figure and is printed as "not measured".
func TestMissingSlopes(t *testing.T) {
	plan := examplePlan(t)
	full := fixturePage(t)
	page, err := Evaluate(plan, &slopes.Measured{Version: slopes.Version})
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Rows) != len(full.Rows) || len(page.Events) != len(full.Events) || len(page.Rows) != len(Rows()) {
		t.Errorf("%d rows and %d events without slopes, %d and %d with slopes", len(page.Rows), len(page.Events), len(full.Rows), len(full.Events))
	}
	slopesSeen := 0
	for i, row := range Rows() {
		result := page.Rows[i]
		if len(row.Parts) == 0 {
			continue
		}
		slopesSeen++
		if result.Figure != nil || result.Share != nil || result.Evidence != NotMeasured || len(result.Missing) != len(row.Parts) {
			t.Errorf("%s: %+v", result.What, result)
		}
		if figureCell(&result) != "not measured" || !strings.Contains(basisCell(&result), row.Parts[0].Slope+"`: not measured") {
			t.Errorf("%s: printed as %q, %q", result.What, figureCell(&result), basisCell(&result))
		}
	}
	if slopesSeen == 0 {
		t.Error("no row has a slope")
	}
	text := page.Markdown()
	for _, row := range Rows() {
		if !strings.Contains(text, row.What) {
			t.Errorf("%s is not on the page", row.What)
		}
	}
	if full.Candidates[0].Share == nil || len(page.Charts()) != 0 {
		t.Errorf("first candidate with slopes: %+v; charts without slopes: %d", full.Candidates[0], len(page.Charts()))
	}
}

// TestSumWithMissingPart checks that a sum with a part that is not measured is printed as "at least" the sum of the other parts.
func TestSumWithMissingPart(t *testing.T) {
	plan, measured, err := Load(examplePlanFile, fixtureFile)
	if err != nil {
		t.Fatal(err)
	}
	for i := range measured.Runs {
		run := &measured.Runs[i]
		run.Slopes = slices.DeleteFunc(run.Slopes, func(s slopes.Slope) bool { return s.Name == "held.router.many" })
	}
	page, err := Evaluate(plan, measured)
	if err != nil {
		t.Fatal(err)
	}
	const what = "messages held, all together"
	at := slices.IndexFunc(page.Rows, func(a RowResult) bool { return a.What == what })
	result := &page.Rows[at]
	if !result.AtLeast || !strings.HasPrefix(figureCell(result), "at least ") || !strings.HasPrefix(shareCell(result), "at most ") {
		t.Errorf("%q, %q: %+v", figureCell(result), shareCell(result), result)
	}
	if !slices.ContainsFunc(page.NotMeasured, func(text string) bool {
		return strings.Contains(text, what) && strings.Contains(text, "held.router.many")
	}) {
		t.Errorf("missing from the list of what was not measured: %q", page.NotMeasured)
	}
}

// TestSlopeWithOtherUnitOrSize checks that a slope with another unit or size than its row expects is an error.
func TestSlopeWithOtherUnitOrSize(t *testing.T) {
	for _, spoil := range []func(*slopes.Slope){
		func(s *slopes.Slope) { s.Unit = "ms" },
		func(s *slopes.Slope) { s.Over = "couriers" },
	} {
		plan, measured, err := Load(examplePlanFile, fixtureFile)
		if err != nil {
			t.Fatal(err)
		}
		slope, _, _ := measured.Find("held.step.many")
		spoil(slope)
		if _, err := Evaluate(plan, measured); err == nil || !strings.Contains(err.Error(), `slope "held.step.many": expected s over messages`) {
			t.Errorf("%v", err)
		}
	}
}

func TestPlanOfAnotherFleet(t *testing.T) {
	text := examplePlanText(t)
	for path, value := range map[string]string{"fleet.couriers": "50", "fleet.zones": "3", "fleet.regions": "1", "fleet.control_machines": "0",
		"traffic.destinations": "2000", "traffic.events_per_s": "500", "traffic.backlog_events": "1e6", "failures.destinations_back_at_once": "20"} {
		text = withLine(t, text, path, nameOf(path)+" = "+value)
	}
	text = text[:strings.Index(text, "\n[stated]")]
	plan, err := ReadPlan("theirs.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	measured, err := slopes.Load(fixtureFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Evaluate(plan, measured)
	if err != nil {
		t.Fatal(err)
	}
	if row := rowOnSlope(t, page, "held.step.many"); row.Marked || !closeTo(*row.Figure, 2e-6+1e-7*20000) || *row.Share < 1 {
		t.Errorf("20,000 messages held: %+v", row)
	}
	if len(page.Checked) != 0 || page.Derived.CouriersPerControl != 0 || page.Derived.EventIntervalSeconds != 200 {
		t.Errorf("%+v, %+v", page.Checked, page.Derived)
	}
	if _, err := page.JSON(); err != nil {
		t.Error(err)
	}
}

func TestJSONIsStable(t *testing.T) {
	first, err := fixturePage(t).JSON()
	if err != nil {
		t.Fatal(err)
	}
	second, err := fixturePage(t).JSON()
	if err != nil || first != second {
		t.Errorf("two evaluations of the same files differ: %v", err)
	}
	var page map[string]any
	if err := json.Unmarshal([]byte(first), &page); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"plan", "derived", "checked", "rows", "events", "promises", "missing_first", "trials", "not_measured", "gaps", "runs"} {
		if page[key] == nil {
			t.Errorf("%s is not in the JSON", key)
		}
	}
	if couriers := page["plan"].(map[string]any)["fleet.couriers"]; couriers != 11000.0 {
		t.Errorf("fleet.couriers: %v", couriers)
	}
}

func TestLoadReportsBothFiles(t *testing.T) {
	folder := t.TempDir()
	plan, measured := filepath.Join(folder, "plan.toml"), filepath.Join(folder, "measured.json")
	if _, _, err := Load(plan, measured); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("neither file exists: %v", err)
	}
	if err := os.WriteFile(plan, []byte("name = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Load(plan, measured); !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), "plan.toml:1: name: expected a text") {
		t.Errorf("faulty plan, and no file of slopes: %v", err)
	}
}

const (
	pageFile     = "../../docs/CAPACITY.md"
	measuredFile = "../../docs/capacity/measured.json"
)

func exists(t *testing.T, path string) bool {
	t.Helper()
	_, err := os.Stat(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return err == nil
}

// TestPageMatchesFiles checks that docs/CAPACITY.md is byte for byte the output for the two files. If nothing is measured, the page must not
// exist.
func TestPageMatchesFiles(t *testing.T) {
	hasPage, hasMeasured := exists(t, pageFile), exists(t, measuredFile)
	if hasPage != hasMeasured {
		t.Fatalf("docs/CAPACITY.md exists: %v; docs/capacity/measured.json exists: %v; want both or neither", hasPage, hasMeasured)
	}
	if !hasPage {
		t.Log("docs/capacity/measured.json does not exist, so there is no page to check")
		return
	}
	plan, measured, err := Load(examplePlanFile, measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Evaluate(plan, measured)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != page.Markdown() {
		t.Error("docs/CAPACITY.md is out of date, run: go run ./cmd/pineport-testbed capacity --write docs/CAPACITY.md --charts docs/capacity")
	}
	for _, chart := range page.Charts() {
		if !exists(t, filepath.Join("../../docs", ChartFolder, chart.File)) {
			t.Errorf("the chart %s does not exist", chart.File)
		}
	}
}

// TestMarkdownTablesAreComplete checks that each line of a table has as many cells as its head, and that the page contains the marks of
// missing, extrapolated and assumed figures.
func TestMarkdownTablesAreComplete(t *testing.T) {
	text := fixturePage(t).Markdown()
	columns := 0
	for i, line := range strings.Split(text, "\n") {
		cells := strings.Count(strings.ReplaceAll(line, `\|`, ""), "|")
		switch {
		case cells == 0:
			columns = 0
		case columns == 0:
			columns = cells
		case cells != columns:
			t.Errorf("line %d has %d bars, the head of its table has %d: %s", i+1, cells, columns, line)
		}
	}
	for _, want := range []string{"**Needed first: ", "not measured", "made up for tests: a gap", "**extrapolated 173 x**", "**off**: ", "(assumed)"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not on the page", want)
		}
	}
	for _, not := range []string{"NaN", "Inf", "%!"} {
		if strings.Contains(text, not) {
			t.Errorf("%q is on the page", not)
		}
	}
}

// TestCountsAreReportedAndNotExtrapolated checks that a counted figure is printed with the sizes of the run, and has neither a figure at the
// planned size nor a share.
func TestCountsAreReportedAndNotExtrapolated(t *testing.T) {
	row := Row{What: "made up", Unit: "ratio", Counted: &Counted{Run: "run", Figure: "figure", Over: "things", Where: map[string]float64{"kind": 2}}}
	point := func(size, kind float64, values ...float64) slopes.Point {
		return slopes.Point{Sizes: map[string]float64{"things": size, "kind": kind}, Values: map[string][]float64{"figure": values}}
	}
	measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run",
		Points: []slopes.Point{point(3, 1, 0.5, 0.5), point(30, 2, 0, 0), point(3, 2, 0, 0), point(1000, 2, 0.04, 0)}}}}
	result, err := row.Evaluate(&Plan{}, &Derived{}, measured)
	if err != nil || result.Figure != nil || result.Share != nil || result.Evidence != CountedOnly {
		t.Errorf("%+v, %v", result, err)
	}
	if cell := figureCell(&result); cell != "0 at 3 to 30 things, 0.02 at 1,000 things" {
		t.Errorf("%q", cell)
	}
	if cell := basisCell(&result); cell != "`run.figure` (counted, not carried)" {
		t.Errorf("%q", cell)
	}
	result, err = row.Evaluate(&Plan{}, &Derived{}, &slopes.Measured{Version: slopes.Version})
	if err != nil || result.Evidence != NotMeasured || figureCell(&result) != "not measured" {
		t.Errorf("without the run: %+v, %v", result, err)
	}
}

// TestAddedArithmeticBreaksEarlier checks that the term added to a slope counts in the figure and in the share.
func TestAddedArithmeticBreaksEarlier(t *testing.T) {
	row := Row{What: "made up", Unit: "s", Parts: singleSlope("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 100 }}, nil),
		Added:  func(*Plan, *Derived) float64 { return 300 },
		Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: 200} }}
	measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run", Slopes: []slopes.Slope{
		{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Fit: slopes.Fit{Model: slopes.Linear, Rate: 1}}}}}}
	result, err := row.Evaluate(&Plan{}, &Derived{}, measured)
	if err != nil || !closeTo(*result.Figure, 400) || !closeTo(*result.Share, 0.5) {
		t.Errorf("%+v, %v", result, err)
	}
}

// TestBoundedFigure checks that a figure with an upper bound is extrapolated only up to that bound, and that a budget of at least the
// bound never breaks.
func TestBoundedFigure(t *testing.T) {
	for budget, share := range map[float64]float64{20: 0.02, 30: math.Inf(1), 40: math.Inf(1)} {
		row := Row{What: "made up", Unit: "s", Parts: singleSlope("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 1000 }}, nil),
			Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: budget} }}
		row.Parts[0].AtMost = 30
		measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run", Slopes: []slopes.Slope{
			{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Fit: slopes.Fit{Model: slopes.Linear, Rate: 1}}}}}}
		result, err := row.Evaluate(&Plan{}, &Derived{}, measured)
		if err != nil || *result.Figure != 30 || !(shareOf(result) == share || closeTo(shareOf(result), share)) {
			t.Errorf("budget %v: %+v, %v", budget, result, err)
		}
		if cell := basisCell(&result); !strings.Contains(cell, "30 s at most") {
			t.Errorf("%q", cell)
		}
	}
}

// TestLastPointOffTheCurve checks that the page highlights a wide spread, and a figure at the largest size that deviates far from the fit.
func TestLastPointOffTheCurve(t *testing.T) {
	for last, highlighted := range map[float64]bool{100: false, 120: false, 150: true, 70: true} {
		slope := slopes.Slope{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Figure: "figure",
			Fit: slopes.Fit{Model: slopes.Power, Base: 1, Rate: 1, Spread: 0.4}}
		run := slopes.Run{Name: "run", Slopes: []slopes.Slope{slope}, Points: []slopes.Point{
			{Sizes: map[string]float64{"things": 100}, Values: map[string][]float64{"figure": {last - 1, last + 1}}},
			{Sizes: map[string]float64{"things": 1}, Values: map[string][]float64{"figure": {1}}}}}
		row := Row{What: "made up", Unit: "s", Parts: singleSlope("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 100 }}, nil)}
		result, err := row.Evaluate(&Plan{}, &Derived{}, &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{run}})
		cell := basisCell(&result)
		if err != nil || strings.Contains(cell, "last point") != highlighted || !strings.Contains(cell, "power 1, **spread 40 %**") {
			t.Errorf("last point %v: %q, %v", last, cell, err)
		}
	}
}

// TestShareFromMeasuredSize checks that the share is the smallest measured size from which on all measured figures are over the budget, if
// the curve is still below the budget there. A single size over the budget, with larger ones below it, does not count.
func TestShareFromMeasuredSize(t *testing.T) {
	for _, try := range []struct {
		figures [3]float64 // at sizes 10, 100 and 200; the planned size is 1,000
		share   float64
		seen    bool
	}{
		{[3]float64{10, 100, 200}, 0.5, false},
		{[3]float64{10, 100, 600}, 0.2, true},
		{[3]float64{10, 600, 700}, 0.1, true},
		{[3]float64{10, 600, 200}, 0.5, false},
	} {
		slope := slopes.Slope{Name: "run.figure", Unit: "s", Over: "things", From: 10, To: 200, Figure: "figure", Fit: slopes.Fit{Model: slopes.Linear, Rate: 1}}
		run := slopes.Run{Name: "run", Slopes: []slopes.Slope{slope}}
		for i, size := range []float64{10, 100, 200} {
			run.Points = append(run.Points, slopes.Point{Sizes: map[string]float64{"things": size}, Values: map[string][]float64{"figure": {try.figures[i]}}})
		}
		row := Row{What: "made up", Unit: "s", Parts: singleSlope("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 1000 }}, nil),
			Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: 500} }}
		result, err := row.Evaluate(&Plan{}, &Derived{}, &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{run}})
		if err != nil || !closeTo(shareOf(result), try.share) || result.MeasuredBreak != try.seen || strings.Contains(shareCell(&result), "measured there") != try.seen {
			t.Errorf("figures %v: share %v, measured %v, %q, %v", try.figures, shareOf(result), result.MeasuredBreak, shareCell(&result), err)
		}
	}
}
