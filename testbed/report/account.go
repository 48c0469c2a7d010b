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

// Event says in words what happens by itself on a day.
func Event(w *scenario.Instance, a scenario.Event) string {
	at := func() string {
		return fmt.Sprintf("endpoint %s of destination %d (%s)", a.Endpoint.ID, a.Dest, w.Destinations[a.Dest].KindName)
	}
	switch a.Kind {
	case scenario.FaultBegins:
		return at() + " " + begun[string(a.Fault.Kind)]
	case scenario.FaultEnds:
		return at() + " is over its trouble (" + string(a.Fault.Kind) + ")"
	case scenario.EndpointAdded:
		return at() + " goes up"
	case scenario.EndpointDraining:
		return at() + " is listed as draining"
	case scenario.EndpointRemoved:
		return at() + " goes down for good"
	case scenario.CourierKilled:
		return fmt.Sprintf("courier %d is killed", a.Courier)
	case scenario.CourierStopRequested:
		return fmt.Sprintf("courier %d is asked to end", a.Courier)
	case scenario.CourierStarted:
		return fmt.Sprintf("courier %d starts again", a.Courier)
	case scenario.CourierPaused:
		return fmt.Sprintf("courier %d stands still for %.0f ms", a.Courier, float64(a.Duration)/1000)
	case scenario.DirectoryDown:
		return "the directory stops answering"
	case scenario.DirectoryUp:
		return "the directory answers again"
	}
	return a.Text
}

var begun = map[string]string{
	"refuse": "dies: connections are refused", "silent": "is gone: nothing comes back", "hang": "takes calls and answers none",
	"shut": "is shut: it answers full to everything", "errors": "fails calls", "swallow": "acts, and answers get lost",
	"resets": "breaks connections under calls", "slow": "gets slow", "stand": "stands still", "shrink": "takes less than usual",
	"crowd": "holds fewer connections than usual",
}

// Account tells, for each destination that had an outage, what the couriers did about it, as the books have it.
func Account(out io.Writer, w *scenario.Instance, v *invariants.Verdict) {
	type stretch struct {
		dest     *invariants.DestSeries
		from, to float64
	}
	var all []stretch
	for _, d := range v.Series.Dests {
		for _, o := range d.Outages {
			if n := len(all); n > 0 && all[n-1].dest == d && o[0]-all[n-1].to < 1 {
				all[n-1].to = o[1] // routes of one destination, struck together
				continue
			}
			all = append(all, stretch{d, o[0], o[1]})
		}
	}
	slices.SortStableFunc(all, func(a, b stretch) int { return cmp.Compare(a.from, b.from) })
	for _, s := range all {
		fmt.Fprintf(out, "- destination %d (%s) was out from %.1f s to %.1f s.\n", s.dest.Dest, w.Destinations[s.dest.Dest].KindName, s.from, s.to)
		describe(out, s.dest, s.from, s.to)
	}
	if len(all) == 0 {
		fmt.Fprintln(out, "- no destination was out.")
	}
}

// rate is how much of a series fell into a stretch, and how much a second.
func rate(values []float64, from, to float64) (n, perSec float64) {
	bin := float64(invariants.BinLength) / 1e6
	for i, x := range values {
		if at := float64(i) * bin; at >= from && at < to {
			n += x
		}
	}
	return n, n / max(bin, to-from)
}

func describe(out io.Writer, d *invariants.DestSeries, from, to float64) {
	_, usual := rate(d.Attempts, max(0, from-8), from)
	tried, during := rate(d.Attempts, from, to)
	offered, _ := rate(d.Offered, from, to)
	failed, _ := rate(d.Failed, from, to)
	full, _ := rate(d.Throttled, from, to)
	fmt.Fprintf(out, "  Before: %.1f calls a second. While it was out: %.1f a second (%.0f calls for %.0f records handed in; %.0f failed, some sent before it, and %.0f were refused).\n",
		usual, during, tried, offered, failed, full)
	var why []string
	if during < 0.7*usual {
		why = append(why, "the breakers opened after more than five failures in a row, or the gap widened with refusals: the rest was parked without a call")
	}
	if full > 0 {
		why = append(why, "told waits were heeded")
	}
	if len(why) > 0 {
		fmt.Fprintf(out, "  Why: %s.\n", strings.Join(why, "; "))
	}
	first := -1.0
	for i, n := range d.Delivered {
		if at := float64(i) * float64(invariants.BinLength) / 1e6; n > 0 && at >= to {
			first = at
			break
		}
	}
	if first < 0 {
		fmt.Fprintln(out, "  Nothing was served there afterwards.")
		return
	}
	_, early := rate(d.Attempts, first, first+3)
	_, later := rate(d.Attempts, first+3, first+6)
	fmt.Fprintf(out, "  Back: the first call was served %.1f s after the outage; then %.1f calls a second for three seconds, as it is cold, and %.1f in the next three.\n",
		first-to, early, later)
}

// Answers says what became of the messages.
func Answers(out io.Writer, v *invariants.Verdict) {
	n := v.Counts
	fmt.Fprintf(out, "%d records were handed in %d times: %d delivered, %d bounced (trying again is harmless), %d terminated, %d without an answer.\n",
		n.Offered, n.Accepted, n.Delivered, n.Rejected, n.Failed, n.Lost)
	if n.Repeats > 0 {
		fmt.Fprintf(out, "%d effects were repeats of replayable records.\n", n.Repeats)
	}
}

// Timeline lists what happens by itself, those that fall together in one line.
func Timeline(out io.Writer, w *scenario.Instance, most int) {
	type row struct {
		at    dispatch.Micros
		texts []string
	}
	var rows []row
	for _, a := range w.Events {
		if n := len(rows); n > 0 && a.At-rows[n-1].at < 200*1000 {
			rows[n-1].texts = append(rows[n-1].texts, Event(w, a))
			continue
		}
		rows = append(rows, row{a.At, []string{Event(w, a)}})
	}
	for i, r := range rows {
		if i == most {
			fmt.Fprintf(out, "  ... and %d more\n", len(rows)-most)
			return
		}
		text := r.texts[0]
		if n := len(r.texts) - 1; n > 0 {
			text += fmt.Sprintf("; and %d more at that time", n)
		}
		fmt.Fprintf(out, "  %6.1f s  %s\n", float64(r.at)/1e6, text)
	}
}
