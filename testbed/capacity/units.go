package capacity

import (
	"math"
	"strconv"
	"strings"
)

// significantDigits is the precision of printed figures.
const significantDigits = 3

// Format returns a figure with its unit for human readers: three significant digits, thousands separated by commas, and seconds and
// bytes in a suitable multiple.
func Format(value float64, unit string) string {
	base, per, isRate := strings.Cut(unit, "/")
	suffix := ""
	if isRate {
		suffix = "/" + per
	}
	switch base {
	case "s":
		return secondsText(value) + suffix
	case "bytes":
		return scaled(value, []string{"bytes", "kB", "MB", "GB", "TB", "PB"}) + suffix
	case "share":
		return percent(value)
	case "ratio", "-":
		return formatRounded(value)
	}
	return formatRounded(value) + " " + singular(value, unit)
}

// singular removes the final "s" of the unit if the value is 1. Rates keep it.
func singular(value float64, unit string) string {
	if value == 1 && !strings.Contains(unit, "/") {
		return strings.TrimSuffix(unit, "s")
	}
	return unit
}

// formatExact returns a number with all its digits, and thousands separated by commas.
func formatExact(value float64) string {
	return groupThousands(strconv.FormatFloat(value, 'f', -1, 64))
}

func secondsText(value float64) string {
	const minute, hour, day = 60.0, 3600.0, 86400.0
	switch {
	case value == 0:
		return "0 s"
	case value < 1e-3:
		return formatRounded(value*1e6) + " µs"
	case value < 1:
		return formatRounded(value*1e3) + " ms"
	case value < 2*minute:
		return formatRounded(value) + " s"
	case value < 2*hour:
		return formatRounded(value/minute) + " min"
	case value < 2*day:
		return formatRounded(value/hour) + " h"
	}
	return formatRounded(value/day) + " days"
}

func scaled(value float64, units []string) string {
	i := 0
	for i < len(units)-1 && math.Abs(value) >= 1000 {
		value /= 1000
		i++
	}
	return formatRounded(value) + " " + units[i]
}

// Shares of at least multipleThreshold are printed as a multiple, such as "2.5 x". Shares above maxMultiple are printed as "over" that
// multiple.
const (
	multipleThreshold = 2
	maxMultiple       = 1e6
)

// percent formats a share as a percentage or as a multiple.
func percent(share float64) string {
	switch {
	case share > maxMultiple:
		return "over " + formatRounded(maxMultiple) + " x"
	case share >= multipleThreshold:
		return formatRounded(share) + " x"
	}
	return formatRounded(100*share) + " %"
}

// formatRounded returns a number with three significant digits, and thousands separated by commas.
func formatRounded(value float64) string {
	switch {
	case math.IsNaN(value) || math.IsInf(value, 0):
		return strconv.FormatFloat(value, 'g', -1, 64)
	case value == 0:
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(value))))
	if magnitude < -4 {
		return strconv.FormatFloat(value, 'g', significantDigits, 64)
	}
	step := math.Pow(10, float64(magnitude-significantDigits+1))
	rounded := math.Round(value/step) * step
	text := strconv.FormatFloat(rounded, 'f', max(0, significantDigits-1-magnitude), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return groupThousands(text)
}

func groupThousands(text string) string {
	whole, fraction, hasFraction := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if hasFraction {
		whole += "." + fraction
	}
	return sign + whole
}
