package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// DescribeEvent describes a scheduled event of a scenario in words.
func DescribeEvent(w *scenario.Instance, a scenario.Event) string {
	at := func() string {
		return fmt.Sprintf("endpoint %s of destination %d (%s)", a.Endpoint.ID, a.Dest, w.Destinations[a.Dest].KindName)
	}
	switch a.Kind {
	case scenario.FaultBegins:
		return at() + " " + faultDescriptions[string(a.Fault.Kind)]
	case scenario.FaultEnds:
		return at() + " recovers from its fault (" + string(a.Fault.Kind) + ")"
	case scenario.EndpointAdded:
		return at() + " starts"
	case scenario.EndpointDraining:
		return at() + " is listed as draining"
	case scenario.EndpointRemoved:
		return at() + " shuts down permanently"
	case scenario.CourierKilled:
		return fmt.Sprintf("courier %d is killed", a.Courier)
	case scenario.CourierStopRequested:
		return fmt.Sprintf("courier %d is asked to shut down", a.Courier)
	case scenario.CourierStarted:
		return fmt.Sprintf("courier %d restarts", a.Courier)
	case scenario.CourierPaused:
		return fmt.Sprintf("courier %d is paused for %.0f ms", a.Courier, float64(a.Duration)/1000)
	case scenario.DirectoryDown:
		return "discovery stops answering"
	case scenario.DirectoryUp:
		return "discovery answers again"
	}
	return a.Text // the remaining kind, scenario.Tells, has its own text
}

var faultDescriptions = map[string]string{
	"refuse": "fails: it refuses connections", "silent": "becomes unreachable: packets to it are lost", "hang": "hangs: it accepts calls and answers none",
	"shut": "throttles every call", "errors": "answers calls with errors", "swallow": "handles calls but its answers are lost",
	"resets": "resets connections during calls", "slow": "becomes slow", "stand": "is paused", "shrink": "accepts fewer calls than usual",
	"crowd": "accepts fewer connections than usual",
}

// WriteOutages describes each outage of a destination and how the couriers reacted to it, based on the time series in the verdict.
func WriteOutages(out io.Writer, w *scenario.Instance, v *invariants.Verdict) {
	type outage struct {
		dest     *invariants.DestSeries
		from, to float64
	}
	var outages []outage
	for _, d := range v.Series.Dests {
		for _, o := range d.Outages {
			if n := len(outages); n > 0 && outages[n-1].dest == d && o[0]-outages[n-1].to < 1 {
				outages[n-1].to = o[1] // outages of one destination less than 1 s apart, such as of its endpoints, count as one
				continue
			}
			outages = append(outages, outage{d, o[0], o[1]})
		}
	}
	slices.SortStableFunc(outages, func(a, b outage) int { return cmp.Compare(a.from, b.from) })
	for _, s := range outages {
		fmt.Fprintf(out, "- Destination %d (%s) had an outage from %.1f s to %.1f s.\n", s.dest.Dest, w.Destinations[s.dest.Dest].KindName, s.from, s.to)
		describeOutage(out, s.dest, s.from, s.to)
	}
	if len(outages) == 0 {
		fmt.Fprintln(out, "- No destination had an outage.")
	}
}

// countAndRate sums a series over the interval from..to, in seconds, and returns the sum and its rate per second.
func countAndRate(values []float64, from, to float64) (n, perSec float64) {
	bin := float64(invariants.BinLength) / 1e6
	for i, x := range values {
		if at := float64(i) * bin; at >= from && at < to {
			n += x
		}
	}
	return n, n / max(bin, to-from)
}

// describeOutage compares the calls during an outage with those of the 8 s before it and of the 6 s after the first successful call. The reasons
// it prints are inferred from the numbers: a call rate below 70 % of the rate before the outage means that calls were held back.
func describeOutage(out io.Writer, d *invariants.DestSeries, from, to float64) {
	_, rateBefore := countAndRate(d.Attempts, max(0, from-8), from)
	calls, rateDuring := countAndRate(d.Attempts, from, to)
	offered, _ := countAndRate(d.Offered, from, to)
	failed, _ := countAndRate(d.Failed, from, to)
	throttled, _ := countAndRate(d.Throttled, from, to)
	fmt.Fprintf(out, "  Before: %.1f calls/s. During the outage: %.1f calls/s (%.0f calls for %.0f messages offered); %.0f calls ended as failed, possibly sent earlier, and %.0f as throttled.\n",
		rateBefore, rateDuring, calls, offered, failed, throttled)
	var reasons []string
	if rateDuring < 0.7*rateBefore {
		reasons = append(reasons, "the breakers opened after more than five consecutive failures, or throttled calls increased the minimum interval between calls; the other messages were parked without a call")
	}
	if throttled > 0 {
		reasons = append(reasons, "the couriers waited for the Retry-After of throttled calls")
	}
	if len(reasons) > 0 {
		fmt.Fprintf(out, "  Probable reason: %s.\n", strings.Join(reasons, "; "))
	}
	firstServed := -1.0
	for i, n := range d.Delivered {
		if at := float64(i) * float64(invariants.BinLength) / 1e6; n > 0 && at >= to {
			firstServed = at
			break
		}
	}
	if firstServed < 0 {
		fmt.Fprintln(out, "  No call to the destination succeeded after the outage.")
		return
	}
	_, firstRate := countAndRate(d.Attempts, firstServed, firstServed+3)
	_, nextRate := countAndRate(d.Attempts, firstServed+3, firstServed+6)
	fmt.Fprintf(out, "  Recovery: the first call succeeded %.1f s after the outage; then %.1f calls/s for three seconds, while slow start applies, and %.1f calls/s in the next three.\n",
		firstServed-to, firstRate, nextRate)
}

// WriteMessageCounts summarizes how the messages ended.
func WriteMessageCounts(out io.Writer, v *invariants.Verdict) {
	n := v.Counts
	fmt.Fprintf(out, "%d messages were submitted %d times: %d delivered, %d rejected (safe to submit again), %d failed, %d without a final answer.\n",
		n.Offered, n.Accepted, n.Delivered, n.Rejected, n.Failed, n.Lost)
	if n.Repeats > 0 {
		fmt.Fprintf(out, "%d deliveries repeated an earlier delivery of the same message.\n", n.Repeats)
	}
}

// WriteTimeline lists the scheduled events of a scenario. Events within 200 ms share a row. After maxRows rows, a last row counts the rest.
func WriteTimeline(out io.Writer, w *scenario.Instance, maxRows int) {
	type row struct {
		at    dispatch.Micros
		texts []string
	}
	var rows []row
	for _, a := range w.Events {
		if n := len(rows); n > 0 && a.At-rows[n-1].at < 200*1000 {
			rows[n-1].texts = append(rows[n-1].texts, DescribeEvent(w, a))
			continue
		}
		rows = append(rows, row{a.At, []string{DescribeEvent(w, a)}})
	}
	for i, r := range rows {
		if i == maxRows {
			fmt.Fprintf(out, "  ... and %d more\n", len(rows)-maxRows)
			return
		}
		text := r.texts[0]
		if n := len(r.texts) - 1; n > 0 {
			text += fmt.Sprintf("; and %d more within 200 ms", n)
		}
		fmt.Fprintf(out, "  %6.1f s  %s\n", float64(r.at)/1e6, text)
	}
}
