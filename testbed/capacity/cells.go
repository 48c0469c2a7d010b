package capacity

import (
	"fmt"
	"strings"

	"pineport/testbed/slopes"
)

// emptyCell is printed in a cell without content.
const emptyCell = "-"

// figureCell returns the figure of a row at the planned size.
func figureCell(a *RowResult) string {
	if len(a.Counts) > 0 {
		return countsText(a.Counts, a.Unit)
	}
	if a.Figure == nil {
		return string(NotMeasured)
	}
	text := Format(*a.Figure, a.Unit)
	if a.AtLeast {
		return "at least " + text + ", in part " + string(NotMeasured)
	}
	return text
}

// basisCell returns the slopes, arithmetic and assumed keys that the figure is based on.
func basisCell(a *RowResult) string {
	var parts []string
	for _, part := range a.Parts {
		parts = append(parts, fmt.Sprintf("`%s` (%s)", part.Slope, fitText(&part, a.Unit)))
	}
	if a.Added > 0 {
		parts = append(parts, "and "+Format(a.Added, a.Unit)+" by "+string(Arithmetic))
	}
	if len(parts) > 0 {
		parts[len(parts)-1] += assumedText(a.AssumedKeys)
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
		parts = append(parts, string(a.Evidence)+assumedText(a.AssumedKeys))
	}
	return strings.Join(parts, "; ")
}

// highlightedSpread is the spread of a fit at or above which the page prints it in bold.
const highlightedSpread = 0.3

// highlightedLastPoint is the ratio of the figure at the largest measured size to the fitted curve, in either direction, beyond which
// the page prints it in bold.
const highlightedLastPoint = 1.25

// fitText describes the fitted curve: its model, its spread, the deviation at the largest measured size, and its upper bound.
func fitText(part *PartUsed, unit string) string {
	text := string(part.Fit.Model)
	if part.Fit.Model == slopes.Power {
		text += " " + formatRounded(part.Fit.Rate)
	}
	spread := "spread " + percent(roundedSpread(part.Fit.Spread))
	if part.Fit.Spread >= highlightedSpread {
		spread = "**" + spread + "**"
	}
	text += ", " + spread
	if part.LastPointRatio > highlightedLastPoint || part.LastPointRatio > 0 && part.LastPointRatio < 1/highlightedLastPoint {
		text += ", **last point " + formatRounded(part.LastPointRatio) + " x the curve**"
	}
	if part.AtMost > 0 {
		text += ", " + Format(part.Factor*part.AtMost, unit) + " at most"
	}
	return text
}

// roundedSpread returns 0 for a spread that is only floating-point error.
func roundedSpread(spread float64) float64 {
	const rounding = 1e-9
	if spread < rounding {
		return 0
	}
	return spread
}

// countsText lists counts with their sizes. Consecutive sizes with the same count are printed as one range.
func countsText(counts []Count, unit string) string {
	var parts []string
	for from := 0; from < len(counts); {
		to := from
		for to+1 < len(counts) && counts[to+1].Mean == counts[from].Mean {
			to++
		}
		sizes := formatRounded(counts[from].Size)
		if to > from {
			sizes += " to " + formatRounded(counts[to].Size)
		}
		parts = append(parts, fmt.Sprintf("%s at %s %s", Format(counts[from].Mean, unit), sizes, counts[from].Over))
		from = to + 1
	}
	return strings.Join(parts, ", ")
}

// assumedText lists the assumed keys that a figure depends on.
func assumedText(keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	return " (assumed: `" + strings.Join(keys, "`, `") + "`)"
}

// isSlopeName reports whether a text is the name of a slope rather than a reason in words.
func isSlopeName(text string) bool {
	return strings.Contains(text, ".") && !strings.Contains(text, " ")
}

// measuredRangeCell returns the range of sizes over which each slope was measured, and how far it is extrapolated.
func measuredRangeCell(a *RowResult) string {
	var parts []string
	for _, part := range a.Parts {
		text := fmt.Sprintf("%s to %s %s, ", formatRounded(part.From), formatRounded(part.To), part.Over)
		switch {
		case part.Extrapolation > maxUnmarkedExtrapolation:
			text += "**extrapolated " + formatRounded(part.Extrapolation) + " x**"
		case part.Extrapolation > 1:
			text += "extrapolated " + formatRounded(part.Extrapolation) + " x"
		default:
			text += "within"
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return emptyCell
	}
	return strings.Join(parts, "; ")
}

func budgetCell(a *RowResult) string {
	switch {
	case a.Budget == nil:
		return "no budget"
	case a.Budget.Assumed:
		return Format(a.Budget.Figure, a.Unit) + " (assumed)"
	case a.Budget.Key == "":
		return formatExact(a.Budget.Figure) + " " + a.Unit + " (" + a.Budget.Source + ")"
	}
	return Format(a.Budget.Figure, a.Unit)
}

// shareCell returns the share of the planned size at which the budget is exceeded.
func shareCell(a *RowResult) string {
	switch {
	case a.Budget == nil:
		return emptyCell
	case a.Figure == nil:
		return string(NotMeasured)
	case a.NeverBreaks:
		return "never"
	}
	text := percent(*a.Share)
	if a.AtLeast {
		text = "at most " + text
	}
	if a.MeasuredBreak {
		text += " (measured there)"
	}
	if a.NotRankedReason != "" {
		text += " (not ranked)"
	}
	return text
}

// agreement describes whether a stated figure matches the computed one.
func agreement(c *StatedCheck) string {
	if c.Agrees {
		return "agrees"
	}
	if c.RelativeError > 0 {
		return "**off**: " + percent(c.RelativeError) + " too large"
	}
	return "**off**: " + percent(-c.RelativeError) + " too small"
}
