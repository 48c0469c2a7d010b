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

// madeUp are slopes that nobody measured, for tests.
const madeUp = "testdata/measured.json"

func workedOut(t *testing.T) *Page {
	t.Helper()
	plan, measured, err := Load(plannedFile, madeUp)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Evaluate(plan, measured)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

// rowOf finds the row of one part that rests on a slope.
func rowOf(t *testing.T, page *Page, slope string) *Answer {
	t.Helper()
	for i := range page.Rows {
		if answer := &page.Rows[i]; answer.Slopes() == slope && answer.Reported == "" {
			return answer
		}
	}
	t.Fatalf("no row rests on %s alone", slope)
	return nil
}

func near(a, b float64) bool { return math.Abs(a/b-1) < 1e-6 }

func TestFiguresBudgetsAndShares(t *testing.T) {
	page := workedOut(t)
	const held, destinations = 190e9 / 11000, 3.6e6
	for slope, want := range map[string]struct{ figure, budget, share, carried float64 }{
		"held.step.many":       {2e-6 + 1e-7*held, 0.05, (0.05 - 2e-6) / 1e-7 / held, held / 1e5},
		"held.module.many":     {1000 + 300*held, 16e9, (16e9 - 1000) / 300 / held, held / 1e5},
		"held.spool_disk.many": {1000 + 600*held, 100e9, (100e9 - 1000) / 600 / held, held / 1e5},
		"held.restart.many":    {0.001 + 5e-6*held, 10, (10 - 0.001) / 5e-6 / held, held / 1e5},
		"destinations.bytes":   {1000 + 800*destinations, 128e6, (128e6 - 1000) / 800 / destinations, 36},
		"couriers.heap":        {90000 + 700*11000, 128e6, (128e6 - 90000) / 700 / 11000, 11000.0 / 300},
	} {
		row := rowOf(t, page, slope)
		if !near(*row.Figure, want.figure) || !near(row.Budget.Figure, want.budget) || !near(*row.Share, want.share) || !near(row.Carried, want.carried) {
			t.Errorf("%s: figure %v, budget %v, share %v, carried %v, not %+v", slope, *row.Figure, row.Budget.Figure, *row.Share, row.Carried, want)
		}
		if !row.Marked {
			t.Errorf("%s is carried %v times and not marked", slope, row.Carried)
		}
	}
	if row := rowOf(t, page, "sharing.bytes_per_second"); !row.Never || row.Share != nil {
		t.Errorf("what doesn't grow and is under its budget breaks at %+v", row)
	}
	if row := rowOf(t, page, "couriers.view.tick"); row.Marked || !near(row.Carried, 4096.0/11000) || !near(*row.Figure, 5*(1e-6+1e-8*4096)) {
		t.Errorf("a slope measured beyond the names that a view keeps: %+v", row)
	}
	if row := rowOf(t, page, "sharing.kept_bytes.routes_over_room"); row.Marked || row.Carried < 4 || row.Carried > 5 {
		t.Errorf("a slope carried fourfold: %+v", row)
	}
}

// TestSumsBreakBeforeTheirParts: the share of a sum reaches its budget there, and before each part alone does.
func TestSumsBreakBeforeTheirParts(t *testing.T) {
	page := workedOut(t)
	sums := 0
	for i := range page.Rows {
		answer := &page.Rows[i]
		if len(answer.Parts) < 2 || answer.Share == nil {
			continue
		}
		sums++
		if at := answer.sum(*answer.Share); !near(at, answer.Budget.Figure) {
			t.Errorf("%s: %v at its share, the budget is %v", answer.What, at, answer.Budget.Figure)
		}
		for _, part := range answer.Parts {
			if alone := part.Fit.SizeAt(answer.Budget.Figure/part.Times) / part.Size; alone < *answer.Share {
				t.Errorf("%s: %s alone breaks at %v, all together at %v", answer.What, part.Slope, alone, *answer.Share)
			}
		}
	}
	if sums != 4 {
		t.Errorf("%d sums with a share, not 4", sums)
	}
}

// rowOver is a row of one slope of a run made for it.
func rowOver(fit slopes.Fit, size, budgetFigure float64) (Answer, error) {
	row := Row{Role: RoleCourier, What: "made up", Unit: "s", Parts: one("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return size }}, nil),
		Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: budgetFigure} }}
	measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run", Slopes: []slopes.Slope{
		{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Fit: fit}}}}}
	return row.Work(&Plan{}, &Derived{}, measured)
}

// shareOf is a number to compare shares by.
func shareOf(a Answer) float64 {
	if a.Never {
		return math.Inf(1)
	}
	return *a.Share
}

// TestLargerSlopeBreaksEarlier: a figure that grows faster breaks its budget at no larger a share, and at its share it is the budget.
func TestLargerSlopeBreaksEarlier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fit := slopes.Fit{Model: rapid.SampledFrom([]slopes.Model{slopes.Linear, slopes.Logarithm, slopes.Power}).Draw(t, "model"),
			Base: rapid.Float64Range(0.001, 10).Draw(t, "base"), Rate: rapid.Float64Range(0.05, 2).Draw(t, "rate")}
		if fit.Model != slopes.Power {
			fit.Rate *= fit.Base // so that a share of it can be written as a number
		}
		larger := fit
		larger.Rate *= rapid.Float64Range(1.01, 10).Draw(t, "steeper by")
		size := rapid.Float64Range(10, 1e6).Draw(t, "size")
		budgetFigure := fit.Base * rapid.Float64Range(1.5, 10).Draw(t, "budget over base")
		flat, err := rowOver(fit, size, budgetFigure)
		if err != nil {
			t.Fatal(err)
		}
		large, err := rowOver(larger, size, budgetFigure)
		if err != nil {
			t.Fatal(err)
		}
		if shareOf(large) >= shareOf(flat) {
			t.Fatalf("%+v breaks at %v, and the larger at %v", fit, shareOf(flat), shareOf(large))
		}
		if at := flat.sum(shareOf(flat)); math.Abs(at/budgetFigure-1) > 1e-6 {
			t.Fatalf("%+v is %v at its share, the budget is %v", fit, at, budgetFigure)
		}
		if breaks, over := shareOf(flat) < 1, *flat.Figure > budgetFigure; breaks != over {
			t.Fatalf("%+v breaks at %v and is %v of %v at the planned size", fit, shareOf(flat), *flat.Figure, budgetFigure)
		}
	})
}

// TestSearchAgreesWithTheCurve: the share of a sum is found by search; of one slope it is that of the curve's own inverse.
func TestSearchAgreesWithTheCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := PartUsed{Size: rapid.Float64Range(10, 1e6).Draw(t, "size"), Times: rapid.Float64Range(0.1, 10).Draw(t, "times"),
			Fit: slopes.Fit{Model: slopes.Linear, Base: 1, Rate: rapid.Float64Range(0.01, 10).Draw(t, "rate")}}
		answer := Answer{Parts: []PartUsed{part}}
		figure := part.Times * rapid.Float64Range(2, 1000).Draw(t, "figure")
		direct, searched := answer.shareAt(figure), answer.shareOfSum(figure)
		if math.Abs(searched/direct-1) > 1e-6 {
			t.Fatalf("%v by the curve, %v by search", direct, searched)
		}
	})
}

func TestSharesAtTheEnds(t *testing.T) {
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
		answer, err := rowOver(try.fit, 1000, try.budget)
		if err != nil || shareOf(answer) != try.share {
			t.Errorf("%s: %+v, %v", what, answer, err)
		}
	}
}

func TestMarkBeyondTenfold(t *testing.T) {
	for size, marked := range map[float64]bool{50: false, 100: false, 1000: false, 1001: true} {
		answer, err := rowOver(slopes.Fit{Model: slopes.Linear, Base: 1, Rate: 1}, size, 10)
		if err != nil || answer.Marked != marked || strings.Contains(carriedCell(&answer), "**") != marked {
			t.Errorf("size %v of 100 measured: marked %v, %q, %v", size, answer.Marked, carriedCell(&answer), err)
		}
	}
}

// TestMissingSlopes: a row whose slope is not there stays on the page with the plain word, in every form, and has no figure.
func TestMissingSlopes(t *testing.T) {
	plan := planned(t)
	full := workedOut(t)
	page, err := Evaluate(plan, &slopes.Measured{Version: slopes.Version})
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Rows) != len(full.Rows) || len(page.Events) != len(full.Events) || len(page.Rows) != len(Rows()) {
		t.Errorf("%d rows and %d events without slopes, %d and %d with", len(page.Rows), len(page.Events), len(full.Rows), len(full.Events))
	}
	slopesSeen := 0
	for i, row := range Rows() {
		answer := page.Rows[i]
		if len(row.Parts) == 0 {
			continue
		}
		slopesSeen++
		if answer.Figure != nil || answer.Share != nil || answer.Evidence != NotMeasured || len(answer.Missing) != len(row.Parts) {
			t.Errorf("%s: %+v", answer.What, answer)
		}
		if figureCell(&answer) != "not measured" || !strings.Contains(restsCell(&answer), row.Parts[0].Slope+"`: not measured") {
			t.Errorf("%s: printed as %q, %q", answer.What, figureCell(&answer), restsCell(&answer))
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
	if full.Missing[0].Share == nil || len(page.Charts()) != 0 {
		t.Errorf("missing first with slopes: %+v; charts without: %d", full.Missing[0], len(page.Charts()))
	}
}

// TestPartOfASum: a sum that lacks a part is at least what the others make.
func TestPartOfASum(t *testing.T) {
	plan, measured, err := Load(plannedFile, madeUp)
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
	at := slices.IndexFunc(page.Rows, func(a Answer) bool { return a.What == what })
	answer := &page.Rows[at]
	if !answer.AtLeast || !strings.HasPrefix(figureCell(answer), "at least ") || !strings.HasPrefix(shareCell(answer), "at most ") {
		t.Errorf("%q, %q: %+v", figureCell(answer), shareCell(answer), answer)
	}
	if !slices.ContainsFunc(page.NotKnown, func(text string) bool {
		return strings.Contains(text, what) && strings.Contains(text, "held.router.many")
	}) {
		t.Errorf("not among what was not measured: %q", page.NotKnown)
	}
}

// TestSlopeThatIsAnother: a slope in another unit or over another size is a fault, and never a figure.
func TestSlopeThatIsAnother(t *testing.T) {
	for _, spoil := range []func(*slopes.Slope){
		func(s *slopes.Slope) { s.Unit = "ms" },
		func(s *slopes.Slope) { s.Over = "couriers" },
	} {
		plan, measured, err := Load(plannedFile, madeUp)
		if err != nil {
			t.Fatal(err)
		}
		slope, _, _ := measured.Find("held.step.many")
		spoil(slope)
		if _, err := Evaluate(plan, measured); err == nil || !strings.Contains(err.Error(), `slope "held.step.many": s over messages was expected`) {
			t.Errorf("%v", err)
		}
	}
}

func TestAnotherOperatorsPlan(t *testing.T) {
	text := plannedText(t)
	for path, value := range map[string]string{"fleet.couriers": "50", "fleet.zones": "3", "fleet.regions": "1", "fleet.control_machines": "0",
		"traffic.destinations": "2000", "traffic.events_per_s": "500", "traffic.backlog_events": "1e6", "failures.destinations_back_at_once": "20"} {
		text = withLine(t, text, path, nameOf(path)+" = "+value)
	}
	text = text[:strings.Index(text, "\n[stated]")]
	plan, err := ReadPlan("theirs.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	measured, err := slopes.Load(madeUp)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Evaluate(plan, measured)
	if err != nil {
		t.Fatal(err)
	}
	if row := rowOf(t, page, "held.step.many"); row.Marked || !near(*row.Figure, 2e-6+1e-7*20000) || *row.Share < 1 {
		t.Errorf("20,000 held: %+v", row)
	}
	if len(page.Checked) != 0 || page.Derived.CouriersPerControl != 0 || page.Derived.MeetingSeconds != 200 {
		t.Errorf("%+v, %+v", page.Checked, page.Derived)
	}
	if _, err := page.JSON(); err != nil {
		t.Error(err)
	}
}

func TestJSONIsStable(t *testing.T) {
	first, err := workedOut(t).JSON()
	if err != nil {
		t.Fatal(err)
	}
	second, err := workedOut(t).JSON()
	if err != nil || first != second {
		t.Errorf("two runs of the same files differ: %v", err)
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

func TestLoadTellsOfBothFiles(t *testing.T) {
	folder := t.TempDir()
	plan, measured := filepath.Join(folder, "plan.toml"), filepath.Join(folder, "measured.json")
	if _, _, err := Load(plan, measured); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("neither is there: %v", err)
	}
	if err := os.WriteFile(plan, []byte("name = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Load(plan, measured); !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), "plan.toml:1: name: a text was expected") {
		t.Errorf("a faulty plan and no slopes: %v", err)
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

// TestPageIsWorkedOut holds docs/CAPACITY.md against the two files, to the byte. While nothing is measured there is no page.
func TestPageIsWorkedOut(t *testing.T) {
	hasPage, hasMeasured := exists(t, pageFile), exists(t, measuredFile)
	if hasPage != hasMeasured {
		t.Fatalf("docs/CAPACITY.md there: %v; docs/capacity/measured.json there: %v: both or neither", hasPage, hasMeasured)
	}
	if !hasPage {
		t.Log("nothing is measured yet, so there is no page")
		return
	}
	plan, measured, err := Load(plannedFile, measuredFile)
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
		t.Error("docs/CAPACITY.md is not what the two files give: go run ./cmd/pineport-testbed capacity --write docs/CAPACITY.md --charts docs/capacity")
	}
	for _, chart := range page.Charts() {
		if !exists(t, filepath.Join("../../docs", ChartFolder, chart.File)) {
			t.Errorf("the chart %s is not there", chart.File)
		}
	}
}

// TestMarkdownIsWhole: each row is one line of its table with as many cells as the head, and the made-up figures are notified as such.
func TestMarkdownIsWhole(t *testing.T) {
	text := workedOut(t).Markdown()
	columns := 0
	for i, line := range strings.Split(text, "\n") {
		cells := strings.Count(strings.ReplaceAll(line, `\|`, ""), "|")
		switch {
		case cells == 0:
			columns = 0
		case columns == 0:
			columns = cells
		case cells != columns:
			t.Errorf("line %d has %d bars, its table %d: %s", i+1, cells, columns, line)
		}
	}
	for _, want := range []string{"**Missing first: ", "not measured", "made up for tests: a gap", "**carried 173 x**", "**off**: ", "(assumed)"} {
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

// TestCountsAreReportedAndNotExtrapolated: what a run counted stands at its sizes, and has neither a figure at the planned size nor a share.
func TestCountsAreReportedAndNotExtrapolated(t *testing.T) {
	row := Row{What: "made up", Unit: "ratio", Counted: &Counted{Run: "run", Figure: "figure", Over: "things", Where: map[string]float64{"kind": 2}}}
	point := func(size, kind float64, values ...float64) slopes.Point {
		return slopes.Point{Sizes: map[string]float64{"things": size, "kind": kind}, Values: map[string][]float64{"figure": values}}
	}
	measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run",
		Points: []slopes.Point{point(3, 1, 0.5, 0.5), point(30, 2, 0, 0), point(3, 2, 0, 0), point(1000, 2, 0.04, 0)}}}}
	answer, err := row.Work(&Plan{}, &Derived{}, measured)
	if err != nil || answer.Figure != nil || answer.Share != nil || answer.Evidence != CountedOnly {
		t.Errorf("%+v, %v", answer, err)
	}
	if cell := figureCell(&answer); cell != "0 at 3 to 30 things, 0.02 at 1,000 things" {
		t.Errorf("%q", cell)
	}
	if cell := restsCell(&answer); cell != "`run.figure` (counted, not carried)" {
		t.Errorf("%q", cell)
	}
	answer, err = row.Work(&Plan{}, &Derived{}, &slopes.Measured{Version: slopes.Version})
	if err != nil || answer.Evidence != NotMeasured || figureCell(&answer) != "not measured" {
		t.Errorf("without the run: %+v, %v", answer, err)
	}
}

// TestAddedArithmeticBreaksEarlier: what is added to a slope counts in the figure and in the share.
func TestAddedArithmeticBreaksEarlier(t *testing.T) {
	row := Row{What: "made up", Unit: "s", Parts: one("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 100 }}, nil),
		Added:  func(*Plan, *Derived) float64 { return 300 },
		Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: 200} }}
	measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run", Slopes: []slopes.Slope{
		{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Fit: slopes.Fit{Model: slopes.Linear, Rate: 1}}}}}}
	answer, err := row.Work(&Plan{}, &Derived{}, measured)
	if err != nil || !near(*answer.Figure, 400) || !near(*answer.Share, 0.5) {
		t.Errorf("%+v, %v", answer, err)
	}
}

// TestBoundedFigure: a figure that its measurement bounds is carried no higher, and a budget beyond the bound never breaks.
func TestBoundedFigure(t *testing.T) {
	for budget, share := range map[float64]float64{20: 0.02, 30: math.Inf(1), 40: math.Inf(1)} {
		row := Row{What: "made up", Unit: "s", Parts: one("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 1000 }}, nil),
			Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: budget} }}
		row.Parts[0].AtMost = 30
		measured := &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{{Name: "run", Slopes: []slopes.Slope{
			{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Fit: slopes.Fit{Model: slopes.Linear, Rate: 1}}}}}}
		answer, err := row.Work(&Plan{}, &Derived{}, measured)
		if err != nil || *answer.Figure != 30 || !(shareOf(answer) == share || near(shareOf(answer), share)) {
			t.Errorf("budget %v: %+v, %v", budget, answer, err)
		}
		if cell := restsCell(&answer); !strings.Contains(cell, "30 s at most") {
			t.Errorf("%q", cell)
		}
	}
}

// TestLastPointOffTheCurve: a fit that its largest size lies far off, and a wide spread, are pointed at.
func TestLastPointOffTheCurve(t *testing.T) {
	for last, notified := range map[float64]bool{100: false, 120: false, 150: true, 70: true} {
		slope := slopes.Slope{Name: "run.figure", Unit: "s", Over: "things", From: 1, To: 100, Figure: "figure",
			Fit: slopes.Fit{Model: slopes.Power, Base: 1, Rate: 1, Spread: 0.4}}
		run := slopes.Run{Name: "run", Slopes: []slopes.Slope{slope}, Points: []slopes.Point{
			{Sizes: map[string]float64{"things": 100}, Values: map[string][]float64{"figure": {last - 1, last + 1}}},
			{Sizes: map[string]float64{"things": 1}, Values: map[string][]float64{"figure": {1}}}}}
		row := Row{What: "made up", Unit: "s", Parts: one("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 100 }}, nil)}
		answer, err := row.Work(&Plan{}, &Derived{}, &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{run}})
		cell := restsCell(&answer)
		if err != nil || strings.Contains(cell, "last point") != notified || !strings.Contains(cell, "power 1, **spread 40 %**") {
			t.Errorf("last point %v: %q, %v", last, cell, err)
		}
	}
}

// TestBudgetSeenToBreak: where a size of the run is over the budget and the curve is not, that size counts, down to the smallest one from
// which on all are over; a size that is over by chance, with larger ones below, does not.
func TestBudgetSeenToBreak(t *testing.T) {
	for _, try := range []struct {
		figures [3]float64 // at 10, 100 and 200 things of 1,000
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
		row := Row{What: "made up", Unit: "s", Parts: one("run.figure", "s", Size{"things", func(*Plan, *Derived) float64 { return 1000 }}, nil),
			Budget: func(*Plan) Budget { return Budget{Key: "made.up", Figure: 500} }}
		answer, err := row.Work(&Plan{}, &Derived{}, &slopes.Measured{Version: slopes.Version, Runs: []slopes.Run{run}})
		if err != nil || !near(shareOf(answer), try.share) || answer.Seen != try.seen || strings.Contains(shareCell(&answer), "seen there") != try.seen {
			t.Errorf("%v: %v, seen %v, %q, %v", try.figures, shareOf(answer), answer.Seen, shareCell(&answer), err)
		}
	}
}
