package capacity

import (
	"fmt"
	"strings"
)

// ChartFolder is where the page looks for its charts, from docs/.
const ChartFolder = "capacity"

// markdown gathers the text of the page.
type markdown struct{ strings.Builder }

func (m *markdown) say(format string, args ...any) { fmt.Fprintf(m, format, args...) }

// paragraph is a text with an empty line after it.
func (m *markdown) paragraph(format string, args ...any) { m.say(format+"\n\n", args...) }

func (m *markdown) head(columns ...string) {
	m.row(columns...)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	m.row(rule...)
}

// row is a line of a table; a bar in a cell would end it.
func (m *markdown) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	m.say("| %s |\n", strings.Join(cells, " | "))
}

// Markdown writes the page.
func (page *Page) Markdown() string {
	m := &markdown{}
	page.opening(m)
	page.planned(m)
	page.arithmetic(m)
	page.roles(m)
	page.events(m)
	page.promises(m)
	page.notMeasured(m)
	page.missing(m)
	page.charts(m)
	page.measuredBy(m)
	return strings.TrimRight(m.String(), "\n") + "\n"
}

func (page *Page) opening(m *markdown) {
	m.paragraph("# Capacity: %s", page.Plan.Name)
	m.paragraph("Written by `pineport-testbed capacity --write docs/CAPACITY.md --charts docs/capacity` from `docs/capacity/plan.toml` and " +
		"`docs/capacity/measured.json`; do not edit: a test holds the page against the two files. " +
		"`pineport-testbed capacity --plan FILE` answers for another fleet.")
	m.say("How to read it:\n\n")
	m.say("- A *courier* is one process that takes messages (*events*), holds them on its disk and calls the endpoints of their *destinations*. Its decision " +
		"module works in *steps*: what came meanwhile goes in, what to do comes out, and no message moves on while it works. A destination that fails is " +
		"*parked*: its messages are *held* without calls, and further tries come rarely. A *route* is a destination as one class of messages uses it. " +
		"*Membership* is what couriers know of each other; *sharing* divides a destination's limit among them, in *beats* twice a second. *Discovery* is " +
		"the platform's list of endpoints.\n")
	m.say("- A figure at the planned size is a slope that a scale run measured, carried there. *Carried* is how far beyond the largest size " +
		"measured; over tenfold is in **bold**: read it as a direction, not as a figure. The spread is that of the fit, over all plays; from 30 %% on it is bold too. " +
		"*power 1.4*: the figure goes with the size to the power of 1.4, so more than linearly; a power under 0 falls. *Last point 1.5 x the curve*: at the largest size the figure " +
		"lies so far above the curve, which is then too low beyond.\n")
	m.say("- *Breaks at*: the share of the planned size at which the budget is used up; under 100 %% the planned size does not fit. *Seen there*: a size of the run already passed the budget, where the curve is " +
		"still below it. Budgets that " +
		"nobody stated are marked as assumed.\n")
	m.say("- *runs today*: in the courier as it is. *shown with hollow couriers*: the real code, many couriers in one process, stand-ins for " +
		"sockets, disk and partners. *on paper only*: no code.\n")
	for _, run := range page.Runs {
		if run.Verified != "" {
			m.say("- Hollow couriers beside real ones (run `%s`): %s. Where hollow ones take less, rows on them are low by as much.\n", run.Name, run.Verified)
		}
	}
	m.say("- *not measured* means just that: no figure was made up in its place.\n\n")
}

func (page *Page) planned(m *markdown) {
	m.paragraph("## The planned size")
	m.paragraph("%s. 1 MB is 1,000,000 bytes, 1 kB is 1,000.", capital(page.Plan.About))
	m.head("key", "figure", "unit", "what", "")
	for _, key := range Keys() {
		if _, isStated := statedName(key); isStated || key.Unit == "" {
			continue
		}
		source := "stated"
		if page.Plan.IsAssumed(key.Path) {
			source = "assumed"
		}
		m.row("`"+key.Path+"`", exact(page.Plan.Number(key)), key.Unit, key.Doc, source)
	}
	m.say("\n")
}

func (page *Page) arithmetic(m *markdown) {
	m.paragraph("## Arithmetic")
	m.head("what", "figure")
	for i, figure := range page.Derived.Figures() {
		m.row(figure.Doc+assumedText(assumedBehind(page.Plan, figureOf(i))), Text(figure.Value, figure.Unit))
	}
	m.say("\n")
	page.checkedArithmetic(m)
	page.forgetting(m)
}

func (page *Page) checkedArithmetic(m *markdown) {
	if len(page.Checked) == 0 {
		return
	}
	m.paragraph("Done by hand before, and checked (a figure rounded by hand may lie off by %s):", percent(roundedWithin))
	m.head("what", "by hand", "worked out", "")
	for _, checked := range page.Checked {
		m.row(checked.Doc, Text(checked.Stated, checked.Unit), Text(checked.Worked, checked.Unit), agreement(&checked))
	}
	m.say("\n")
}

// forgetting says what the pace of meetings means for a breaker that only counts its own courier's calls.
func (page *Page) forgetting(m *markdown) {
	d := &page.Derived
	m.paragraph("A breaker opens after more than %d failures in a row, so at the %dth and not at the %dth: %s.",
		statedFailures, openingFailures, statedFailures, Text(d.OpeningSeconds, "s"))
	if d.MeetingSeconds > forgetAfter {
		m.paragraph("That is still too hopeful: a closed breaker that was not used for %s is dropped (`forgetAfter` in `dispatch/breaker.go`), and a courier "+
			"meets a destination every %s, so its count begins anew each time. By first attempts of new messages alone it never opens; "+
			"further attempts of messages that wait there add to it, where they follow within those %s.",
			Text(forgetAfter, "s"), Text(d.MeetingSeconds, "s"), Text(forgetAfter, "s"))
	}
	if page.Plan.Traffic.BacklogEvents > 0 && d.DestinationsDown > 0 {
		m.paragraph("The full backlog, spread over the destinations that are down, is %s of their traffic: it tells of outages that last so long, or of fewer "+
			"destinations with far more traffic than the mean.", Text(d.BacklogAgeSeconds, "s"))
	}
}

func (page *Page) roles(m *markdown) {
	m.paragraph("## Roles")
	for _, role := range []Role{RoleCourier, RoleControl, RoleSpeaker, RoleDiscovery, RolePartners} {
		m.paragraph("### %s", capital(string(role)))
		if role == RoleSpeaker {
			m.paragraph("%s.", capital(noSpeaker))
		}
		m.head("resource", "what", "at the planned size", "rests on", "measured over", "budget", "breaks at", "carried by", "today")
		for i := range page.Rows {
			if answer := &page.Rows[i]; answer.Role == role {
				m.row(string(answer.Resource), answer.What, figureCell(answer), restsCell(answer), carriedCell(answer), budgetCell(answer),
					shareCell(answer), answer.Package, string(answer.Status))
			}
		}
		m.say("\n")
		page.reportedOnly(m, role)
	}
}

// toldOnly gives the reasons why rows of a role take no part in the choice.
func (page *Page) reportedOnly(m *markdown, role Role) {
	said := map[string]bool{}
	for _, answer := range page.Rows {
		if answer.Role == role && answer.Reported != "" && answer.Budget != nil && !said[answer.Reported] {
			said[answer.Reported] = true
			m.say("Told only (%s): %s.\n\n", answer.What, answer.Reported)
		}
	}
}

func (page *Page) events(m *markdown) {
	m.paragraph("## Events")
	for _, event := range page.Events {
		m.paragraph("### %s: %s %s", capital(event.Name), plain(event.Count), event.Often)
		m.head("", "what", "figure", "rests on", "measured over", "budget", "breaks at")
		for _, line := range event.Lines {
			if line.Answer == nil {
				m.row(string(line.Aspect), line.Text, "", "", "", "", "")
				continue
			}
			answer := line.Answer
			m.row(string(line.Aspect), answer.What, figureCell(answer), restsCell(answer), carriedCell(answer), budgetCell(answer), shareCell(answer))
		}
		m.say("\n")
	}
}

func (page *Page) promises(m *markdown) {
	m.paragraph("## While parts cannot hear each other")
	m.head("piece", "promised", "not promised", "page", "held by tests of")
	for _, promise := range page.Promises {
		m.row(promise.Piece, promise.Holds, promise.Not, "`"+promise.Page+"`", "`"+promise.Package+"`: "+strings.Join(promise.ShownBy, ", "))
	}
	m.say("\n")
}

func (page *Page) notMeasured(m *markdown) {
	m.paragraph("## What was not measured")
	if len(page.NotKnown) > 0 {
		m.say("Rows of this page without a figure, or with a part of one:\n\n")
		for _, text := range page.NotKnown {
			m.say("- %s\n", text)
		}
		m.say("\n")
	}
	if len(page.Gaps) > 0 {
		m.say("What the scale runs say of themselves:\n\n")
		for _, gap := range page.Gaps {
			m.say("- `%s`: %s: %s\n", gap.Run, gap.Figure, gap.Why)
		}
		m.say("\n")
	}
}

func (page *Page) missing(m *markdown) {
	m.paragraph("## What is missing first")
	m.paragraph("The rule: the mechanism whose budget, or whose main job, breaks at the smallest share of the planned size; of two that are close (within %v "+
		"times), the one on a message's way, and then the one on which more rows of this page rest. Bounds of the code count as budgets.", float64(closeBy))
	m.head("", "mechanism today", "breaks at", "by", "on a message's way", "rows", "why here", "what would come in its place")
	for i, candidate := range page.Missing {
		share, by, place := string(NotMeasured), empty, empty
		if candidate.Share != nil {
			share, by, place = percent(*candidate.Share), candidate.Row, fmt.Sprint(i+1)
		}
		if candidate.Assumed {
			by += " (assumed budget)"
		}
		m.row(place, candidate.Mechanism.Today, share, by, yes(candidate.Mechanism.OnPath), fmt.Sprint(candidate.Rests), candidate.reason(), candidate.Mechanism.Missing)
	}
	m.say("\n")
	page.chosen(m)
	page.byShare(m)
}

// chosen says in words which one it is, and whether it hangs on what is assumed.
func (page *Page) chosen(m *markdown) {
	first := page.Missing[0]
	if first.Share == nil {
		m.paragraph("No budget was measured: nothing can be chosen.")
		return
	}
	m.paragraph("**Missing first: %s**, in place of: %s. Its budget breaks at %s of the planned size (%s): %s.", first.Mechanism.Missing, first.Mechanism.Today,
		percent(*first.Share), first.Row, first.Why)
	for _, trial := range page.Trials {
		same := "the same"
		if trial.First != first.Mechanism.ID {
			mechanism, _ := MechanismOf(trial.First)
			same = "another one: " + mechanism.Today
		}
		m.paragraph("With the assumed budgets %s times as large: %s, at %s.", plain(trial.Times), same, percent(trial.Share))
	}
}

// byShare lists every row with a share in its order.
func (page *Page) byShare(m *markdown) {
	m.paragraph("All rows with a budget, by the share at which it breaks:")
	m.head("breaks at", "role", "what", "at the planned size", "budget", "carried", "mechanism")
	for _, answer := range page.ordered() {
		m.row(shareCell(&answer), string(answer.Role), answer.What+" ("+string(answer.Resource)+")", figureCell(&answer), budgetCell(&answer), carriedCell(&answer),
			orEmpty(string(answer.Mechanism)))
	}
	m.say("\n")
}

func (page *Page) charts(m *markdown) {
	charts := page.Charts()
	if len(charts) == 0 {
		return
	}
	m.paragraph("## Charts")
	m.paragraph("Each slope that a row rests on: points of all plays, the fitted curve, the planned size, and the budget where one row alone has it.")
	for _, chart := range charts {
		m.say("- [`%s`](%s/%s): %s\n", chart.Slope, ChartFolder, chart.File, chart.About)
	}
	m.say("\n")
}

func (page *Page) measuredBy(m *markdown) {
	m.paragraph("## The runs")
	m.head("run", "what was played", "command", "commit", "taken", "machine", "plays", "took", "hollow beside real")
	for _, run := range page.Runs {
		m.row(run.Name, run.About, "`"+run.Command+"`", run.Commit, run.Taken, run.Machine, fmt.Sprint(run.Plays), Text(run.Seconds, "s"), orEmpty(run.Verified))
	}
	m.say("\n")
}

func yes(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func orEmpty(text string) string {
	if text == "" {
		return empty
	}
	return text
}

// capital begins a sentence.
func capital(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
