package capacity

import (
	"math"
	"strconv"
	"strings"
)

// digits that a figure is printed with.
const digits = 3

// Text prints a figure with its unit, for people: three digits, thousands set apart, seconds and bytes in a fitting multiple.
func Text(value float64, unit string) string {
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
		return plain(value)
	}
	return plain(value) + " " + singular(value, unit)
}

// singular takes the s off the unit of one thing; rates keep it.
func singular(value float64, unit string) string {
	if value == 1 && !strings.Contains(unit, "/") {
		return strings.TrimSuffix(unit, "s")
	}
	return unit
}

// exact prints all digits of a number, with thousands set apart.
func exact(value float64) string { return thousands(strconv.FormatFloat(value, 'f', -1, 64)) }

func secondsText(value float64) string {
	const minute, hour, day = 60.0, 3600.0, 86400.0
	switch {
	case value == 0:
		return "0 s"
	case value < 1e-3:
		return plain(value*1e6) + " µs"
	case value < 1:
		return plain(value*1e3) + " ms"
	case value < 2*minute:
		return plain(value) + " s"
	case value < 2*hour:
		return plain(value/minute) + " min"
	case value < 2*day:
		return plain(value/hour) + " h"
	}
	return plain(value/day) + " days"
}

func scaled(value float64, units []string) string {
	i := 0
	for i < len(units)-1 && math.Abs(value) >= 1000 {
		value /= 1000
		i++
	}
	return plain(value) + " " + units[i]
}

// Shares are printed as a multiple from twice the whole on, and no further than a million times.
const (
	multipleFrom = 2
	multipleMost = 1e6
)

// percent prints a share.
func percent(share float64) string {
	switch {
	case share > multipleMost:
		return "over " + plain(multipleMost) + " x"
	case share >= multipleFrom:
		return plain(share) + " x"
	}
	return plain(100*share) + " %"
}

// plain prints a number with three digits, and thousands set apart.
func plain(value float64) string {
	switch {
	case math.IsNaN(value) || math.IsInf(value, 0):
		return strconv.FormatFloat(value, 'g', -1, 64)
	case value == 0:
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(value))))
	if magnitude < -4 {
		return strconv.FormatFloat(value, 'g', digits, 64)
	}
	step := math.Pow(10, float64(magnitude-digits+1))
	rounded := math.Round(value/step) * step
	text := strconv.FormatFloat(rounded, 'f', max(0, digits-1-magnitude), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return thousands(text)
}

func thousands(text string) string {
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
