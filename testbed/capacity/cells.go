package capacity

import (
	"fmt"
	"strings"

	"pineport/testbed/slopes"
)

// empty is printed where there is nothing to say.
const empty = "-"

// figureCell is a row's figure at the planned size.
func figureCell(a *Answer) string {
	if len(a.Counts) > 0 {
		return countsText(a.Counts, a.Unit)
	}
	if a.Figure == nil {
		return string(NotMeasured)
	}
	text := Text(*a.Figure, a.Unit)
	if a.AtLeast {
		return "at least " + text + ", in part " + string(NotMeasured)
	}
	return text
}

// restsCell says what the figure rests on.
func restsCell(a *Answer) string {
	var parts []string
	for _, part := range a.Parts {
		parts = append(parts, fmt.Sprintf("`%s` (%s)", part.Slope, fitText(&part, a.Unit)))
	}
	if a.Added > 0 {
		parts = append(parts, "and "+Text(a.Added, a.Unit)+" by "+string(Arithmetic))
	}
	if len(parts) > 0 {
		parts[len(parts)-1] += assumedText(a.Assumes)
	}
	for _, missing := range a.Missing {
		if len(a.Parts) > 0 || a.Evidence != NotMeasured || isSlopeName(missing) {
			missing = "`" + missing + "`: " + string(NotMeasured)
		}
		parts = append(parts, missing)
	}
	if len(a.Counts) > 0 {
		parts = append(parts, "`"+a.Counts[0].Figure+"` ("+string(a.Evidence)+")")
	}
	if len(parts) == 0 {
		parts = append(parts, string(a.Evidence)+assumedText(a.Assumes))
	}
	return strings.Join(parts, "; ")
}

// wideSpread is the spread of a fit from which on the page points at it.
const wideSpread = 0.3

// lastFarOff is how far the figure at the largest size may lie off the curve before the page points at it.
const lastFarOff = 1.25

// fitText says what curve was fitted, how far its points lie off it, and what bounds it.
func fitText(part *PartUsed, unit string) string {
	text := string(part.Fit.Model)
	if part.Fit.Model == slopes.Power {
		text += " " + plain(part.Fit.Rate)
	}
	spread := "spread " + percent(roundedSpread(part.Fit.Spread))
	if part.Fit.Spread >= wideSpread {
		spread = "**" + spread + "**"
	}
	text += ", " + spread
	if part.Last > lastFarOff || part.Last > 0 && part.Last < 1/lastFarOff {
		text += ", **last point " + plain(part.Last) + " x the curve**"
	}
	if part.AtMost > 0 {
		text += ", " + Text(part.Times*part.AtMost, unit) + " at most"
	}
	return text
}

// roundedSpread is nought where a spread is that of rounding alone.
func roundedSpread(spread float64) float64 {
	const rounding = 1e-9
	if spread < rounding {
		return 0
	}
	return spread
}

// countsText tells counts by their sizes; sizes that follow each other with the same count are notified together.
func countsText(counts []Count, unit string) string {
	var parts []string
	for from := 0; from < len(counts); {
		to := from
		for to+1 < len(counts) && counts[to+1].Mean == counts[from].Mean {
			to++
		}
		sizes := plain(counts[from].Size)
		if to > from {
			sizes += " to " + plain(counts[to].Size)
		}
		parts = append(parts, fmt.Sprintf("%s at %s %s", Text(counts[from].Mean, unit), sizes, counts[from].Over))
		from = to + 1
	}
	return strings.Join(parts, ", ")
}

// assumedText names the assumed figures on which another one rests.
func assumedText(keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	return " (assumed: `" + strings.Join(keys, "`, `") + "`)"
}

// isSlopeName tells a slope from a reason in words.
func isSlopeName(text string) bool {
	return strings.Contains(text, ".") && !strings.Contains(text, " ")
}

// carriedCell says over which sizes the slopes were measured, and how far they are carried.
func carriedCell(a *Answer) string {
	var parts []string
	for _, part := range a.Parts {
		text := fmt.Sprintf("%s to %s %s, ", plain(part.From), plain(part.To), part.Over)
		switch {
		case part.Carried > markedBeyond:
			text += "**carried " + plain(part.Carried) + " x**"
		case part.Carried > 1:
			text += "carried " + plain(part.Carried) + " x"
		default:
			text += "within"
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return empty
	}
	return strings.Join(parts, "; ")
}

func budgetCell(a *Answer) string {
	switch {
	case a.Budget == nil:
		return "none stated"
	case a.Budget.Assumed:
		return Text(a.Budget.Figure, a.Unit) + " (assumed)"
	case a.Budget.Key == "":
		return exact(a.Budget.Figure) + " " + a.Unit + " (" + a.Budget.Source + ")"
	}
	return Text(a.Budget.Figure, a.Unit)
}

// shareCell says at which share of the planned size the budget breaks.
func shareCell(a *Answer) string {
	switch {
	case a.Budget == nil:
		return empty
	case a.Figure == nil:
		return string(NotMeasured)
	case a.Never:
		return "never"
	}
	text := percent(*a.Share)
	if a.AtLeast {
		text = "at most " + text
	}
	if a.Seen {
		text += " (seen there)"
	}
	if a.Reported != "" {
		text += " (told only)"
	}
	return text
}

// agreement says whether a stated figure is what the arithmetic gives.
func agreement(c *Checked) string {
	if c.Agrees {
		return "agrees"
	}
	if c.Off > 0 {
		return "**off**: " + percent(c.Off) + " too large"
	}
	return "**off**: " + percent(-c.Off) + " too small"
}
