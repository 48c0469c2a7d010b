package capacity

import (
	"fmt"
	"strings"
)

// ChartFolder is the folder of the charts, relative to docs/.
const ChartFolder = "capacity"

// markdown builds the text of the page.
type markdown struct{ strings.Builder }

func (m *markdown) printf(format string, args ...any) { fmt.Fprintf(m, format, args...) }

// paragraph writes a text and an empty line after it.
func (m *markdown) paragraph(format string, args ...any) { m.printf(format+"\n\n", args...) }

func (m *markdown) header(columns ...string) {
	m.row(columns...)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	m.row(rule...)
}

// row writes one line of a table. It escapes bars, as a bar would end the cell.
func (m *markdown) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	m.printf("| %s |\n", strings.Join(cells, " | "))
}

// Markdown returns the page as Markdown.
func (page *Page) Markdown() string {
	m := &markdown{}
	page.introduction(m)
	page.planned(m)
	page.arithmetic(m)
	page.roles(m)
	page.events(m)
	page.promises(m)
	page.notMeasured(m)
	page.choice(m)
	page.charts(m)
	page.runTable(m)
	return strings.TrimRight(m.String(), "\n") + "\n"
}

func (page *Page) introduction(m *markdown) {
	m.paragraph("# Capacity: %s", page.Plan.Name)
	m.paragraph("Written by `pineport-testbed capacity --write docs/CAPACITY.md --charts docs/capacity` from `docs/capacity/plan.toml` and " +
		"`docs/capacity/measured.json`; do not edit: a test compares the page with the two files. " +
		"`pineport-testbed capacity --plan FILE` computes it for another fleet.")
	m.printf("How to read it:\n\n")
	m.printf("- A *courier* is one process that accepts messages (*events*), stores them on its disk and calls the endpoints of their *destinations*. Its " +
		"dispatcher (*the decisions*) works in *steps*: each takes the inputs since the previous step and returns the actions to carry out, and no message proceeds " +
		"during a step. A destination that fails is *parked*: its messages are *held* without calls, and trials are rare. A *route* is the pair of a " +
		"destination and a class of messages. *Membership* is what couriers know of each other; *sharing* divides a destination's limit among them, in " +
		"*beats*, which are rounds of the quota exchange, two per second. A member is *heard* if its packets of that exchange arrive. *Discovery* is the platform's endpoint list.\n")
	m.printf("- A figure at the planned size is extrapolated from a *slope*, which is a curve fitted to the points of a scale run. *Extrapolated 3 x*: the planned size is 3 times the largest measured size; " +
		"more than 10 x is in **bold** and shows only a tendency. The spread is the root mean square of the relative deviations of all points from the curve; 30 %% and more is in bold. " +
		"*power 1.4*: the figure grows with the size to the power of 1.4; with a negative power it falls. *Last point 1.5 x the curve*: at the largest measured size the figure " +
		"is 1.5 times the value of the curve, so the curve is too low for larger sizes. *Counted, not carried*: counted at the sizes of the run, and not extrapolated.\n")
	m.printf("- *Breaks at*: the share of the planned size at which the budget is used up; below 100 %% the planned size does not fit. *Measured there*: the run itself exceeded the budget at this size, although the curve is " +
		"still below it. *Not ranked*: the row does not count in the choice of the mechanism to replace first. " +
		"Budgets that are not stated requirements are marked as assumed.\n")
	m.printf("- *runs today*: part of the courier. *shown with hollow couriers*: measured with hollow couriers, which are many couriers in one process that run the real code with stand-ins for " +
		"sockets, disk, clients and endpoints. *on paper only*: there is no code.\n")
	for _, run := range page.Runs {
		if run.HollowComparison != "" {
			m.printf("- Hollow couriers compared with real ones (run `%s`): %s. Where a hollow courier uses less than a real one, the rows measured with hollow couriers are too low by that amount.\n", run.Name, run.HollowComparison)
		}
	}
	m.printf("- *not measured*: there is no figure, and none was estimated.\n\n")
}

func (page *Page) planned(m *markdown) {
	m.paragraph("## The planned size")
	m.paragraph("%s. 1 MB is 1,000,000 bytes, 1 kB is 1,000.", capitalized(page.Plan.About))
	m.header("key", "figure", "unit", "what", "")
	for _, key := range Keys() {
		if _, isStated := statedName(key); isStated || key.Unit == "" {
			continue
		}
		source := "stated"
		if page.Plan.IsAssumed(key.Path) {
			source = "assumed"
		}
		m.row("`"+key.Path+"`", formatExact(page.Plan.Number(key)), key.Unit, key.Doc, source)
	}
	m.printf("\n")
}

func (page *Page) arithmetic(m *markdown) {
	m.paragraph("## Arithmetic")
	m.header("what", "figure")
	for i, figure := range page.Derived.Figures() {
		m.row(figure.Doc+assumedText(assumedBehind(page.Plan, figureOf(i))), Format(figure.Value, figure.Unit))
	}
	m.printf("\n")
	page.checkedArithmetic(m)
	page.breakerNotes(m)
}

func (page *Page) checkedArithmetic(m *markdown) {
	if len(page.Checked) == 0 {
		return
	}
	m.paragraph("Figures calculated by hand, compared with the computed ones (a deviation of up to %s counts as rounding):", percent(roundingTolerance))
	m.header("what", "by hand", "computed figure", "")
	for _, checked := range page.Checked {
		m.row(checked.Doc, Format(checked.Stated, checked.Unit), Format(checked.Computed, checked.Unit), agreement(&checked))
	}
	m.printf("\n")
}

// breakerNotes explains what the interval between calls to a destination means for a breaker that only counts the calls of its own courier.
func (page *Page) breakerNotes(m *markdown) {
	d := &page.Derived
	m.paragraph("A breaker opens after more than %d consecutive failures, that is at the %dth and not at the %dth: after %s.",
		statedFailures, failuresToOpen, statedFailures, Format(d.BreakerOpeningSeconds, "s"))
	if d.EventIntervalSeconds > forgetAfter {
		m.paragraph("In practice it takes longer: a closed breaker that was not used for %s is reset (`forgetAfter` in `dispatch/breaker.go`), and a courier "+
			"calls a destination for a new message only every %s, so its failure count restarts each time. First attempts of new messages alone never open the breaker; "+
			"retries of waiting messages count if they follow within %s.",
			Format(forgetAfter, "s"), Format(d.EventIntervalSeconds, "s"), Format(forgetAfter, "s"))
	}
	if page.Plan.Traffic.BacklogEvents > 0 && d.DestinationsDown > 0 {
		m.paragraph("The full backlog, spread over the destinations that are down, equals their traffic during %s. It comes from outages of that duration, or from fewer "+
			"destinations with far more traffic than the mean.", Format(d.BacklogAgeSeconds, "s"))
	}
}

func (page *Page) roles(m *markdown) {
	m.paragraph("## Roles")
	for _, role := range []Role{RoleCourier, RoleControl, RoleSpeaker, RoleDiscovery, RolePartners} {
		m.paragraph("### %s", capitalized(string(role)))
		if role == RoleSpeaker {
			m.paragraph("%s.", capitalized(noSpeakerReason))
		}
		m.header("resource", "what", "at the planned size", "based on", "measured over", "budget", "breaks at", "Go package", "today")
		for i := range page.Rows {
			if result := &page.Rows[i]; result.Role == role {
				m.row(string(result.Resource), result.What, figureCell(result), basisCell(result), measuredRangeCell(result), budgetCell(result),
					shareCell(result), result.Package, string(result.Status))
			}
		}
		m.printf("\n")
		page.notRanked(m, role)
	}
}

// notRanked explains why rows of a role do not count in the choice of the mechanism to replace first.
func (page *Page) notRanked(m *markdown, role Role) {
	printed := map[string]bool{}
	for _, result := range page.Rows {
		if result.Role == role && result.NotRankedReason != "" && result.Budget != nil && !printed[result.NotRankedReason] {
			printed[result.NotRankedReason] = true
			m.printf("Not ranked (%s): %s.\n\n", result.What, result.NotRankedReason)
		}
	}
}

func (page *Page) events(m *markdown) {
	m.paragraph("## Events")
	for _, event := range page.Events {
		m.paragraph("### %s: %s %s", capitalized(event.Name), formatRounded(event.Count), event.Frequency)
		m.header("", "what", "figure", "based on", "measured over", "budget", "breaks at")
		for _, line := range event.Lines {
			if line.Result == nil {
				m.row(string(line.Aspect), line.Text, "", "", "", "", "")
				continue
			}
			result := line.Result
			m.row(string(line.Aspect), result.What, figureCell(result), basisCell(result), measuredRangeCell(result), budgetCell(result), shareCell(result))
		}
		m.printf("\n")
	}
}

func (page *Page) promises(m *markdown) {
	m.paragraph("## Promises during a partition")
	m.header("piece", "promised", "not promised", "page", "tested in")
	for _, promise := range page.Promises {
		m.row(promise.Piece, promise.Holds, promise.DoesNotHold, "`"+promise.Page+"`", "`"+promise.Package+"`: "+strings.Join(promise.ShownBy, ", "))
	}
	m.printf("\n")
}

func (page *Page) notMeasured(m *markdown) {
	m.paragraph("## What was not measured")
	if len(page.NotMeasured) > 0 {
		m.printf("Rows of this page whose figure is missing or partial:\n\n")
		for _, text := range page.NotMeasured {
			m.printf("- %s\n", text)
		}
		m.printf("\n")
	}
	if len(page.Gaps) > 0 {
		m.printf("Figures that the scale runs could not measure:\n\n")
		for _, gap := range page.Gaps {
			m.printf("- `%s`: %s: %s\n", gap.Run, gap.Figure, gap.Why)
		}
		m.printf("\n")
	}
}

func (page *Page) choice(m *markdown) {
	m.paragraph("## What to replace first")
	m.paragraph("The rule: the mechanism whose budget is exceeded, or which stops working, at the smallest share of the planned size; of two whose shares are close (within a factor of %v), "+
		"the one on the message path, and then the one with more rows on this page. Limits in the code count as budgets.", float64(closeFactor))
	m.header("", "mechanism today", "breaks at", "by", "on the message path", "rows", "reason for the rank", "possible replacement")
	for i, candidate := range page.Candidates {
		share, by, place := string(NotMeasured), emptyCell, emptyCell
		if candidate.Share != nil {
			share, by, place = percent(*candidate.Share), candidate.Row, fmt.Sprint(i+1)
		}
		if candidate.Assumed {
			by += " (assumed budget)"
		}
		m.row(place, candidate.Mechanism.Current, share, by, yesNo(candidate.Mechanism.OnMessagePath), fmt.Sprint(candidate.RowCount), candidate.reason(), candidate.Mechanism.Replacement)
	}
	m.printf("\n")
	page.choiceSummary(m)
	page.byShare(m)
}

// choiceSummary names the first-ranked mechanism and whether the rank depends on assumed budgets.
func (page *Page) choiceSummary(m *markdown) {
	first := page.Candidates[0]
	if first.Share == nil {
		m.paragraph("No row with a budget was measured, so no mechanism is ranked.")
		return
	}
	m.paragraph("**Needed first: %s**. It replaces: %s. Its budget breaks at %s of the planned size (%s): %s.", first.Mechanism.Replacement, first.Mechanism.Current,
		percent(*first.Share), first.Row, first.Why)
	for _, variation := range page.Variations {
		same := "the same mechanism"
		if variation.First != first.Mechanism.ID {
			mechanism, _ := MechanismOf(variation.First)
			same = "another mechanism: " + mechanism.Current
		}
		m.paragraph("With the assumed budgets multiplied by %s: %s, at %s.", formatRounded(variation.Factor), same, percent(variation.Share))
	}
}

// byShare lists every row with a budget, sorted by share.
func (page *Page) byShare(m *markdown) {
	m.paragraph("All rows with a budget, by the share at which it breaks:")
	m.header("breaks at", "role", "what", "at the planned size", "budget", "carried", "mechanism")
	for _, result := range page.rowsByShare() {
		m.row(shareCell(&result), string(result.Role), result.What+" ("+string(result.Resource)+")", figureCell(&result), budgetCell(&result), measuredRangeCell(&result),
			orEmpty(string(result.Mechanism)))
	}
	m.printf("\n")
}

func (page *Page) charts(m *markdown) {
	charts := page.Charts()
	if len(charts) == 0 {
		return
	}
	m.paragraph("## Charts")
	m.paragraph("One chart for each slope that a row uses: the points of all repetitions, the fitted curve, the planned size, and the budget if the row uses no other slope.")
	for _, chart := range charts {
		m.printf("- [`%s`](%s/%s): %s\n", chart.Slope, ChartFolder, chart.File, chart.About)
	}
	m.printf("\n")
}

func (page *Page) runTable(m *markdown) {
	m.paragraph("## The runs")
	m.header("run", "scenario run", "command", "commit", "taken", "machine", "plays", "took", "hollow and real couriers compared")
	for _, run := range page.Runs {
		m.row(run.Name, run.About, "`"+run.Command+"`", run.Commit, run.Date, run.Machine, fmt.Sprint(run.Repetitions), Format(run.Seconds, "s"), orEmpty(run.HollowComparison))
	}
	m.printf("\n")
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func orEmpty(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}

// capitalized returns a text with its first letter in upper case.
func capitalized(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
