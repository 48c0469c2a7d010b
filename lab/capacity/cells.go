package capacity

import (
	"fmt"
	"strings"
)

// empty is printed where there is nothing to say.
const empty = "-"

// figureCell is a row's figure at the planned size.
func figureCell(a *Answer) string {
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
		parts = append(parts, fmt.Sprintf("`%s` (%s, spread %s)", part.Slope, part.Fit.Model, percent(part.Fit.Spread)))
	}
	for _, missing := range a.Missing {
		if len(a.Parts) > 0 || a.Evidence != NotMeasured || isSlopeName(missing) {
			missing = "`" + missing + "`: " + string(NotMeasured)
		}
		parts = append(parts, missing)
	}
	if len(parts) == 0 {
		parts = append(parts, string(a.Evidence)+assumedText(a.Assumes))
	}
	return strings.Join(parts, "; ")
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
	if a.Told != "" {
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
