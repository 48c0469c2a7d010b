package scale

import (
	"context"
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"

	"pineport/dispatch"
	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
)

// Figures of changes of the list, in virtual time.
const (
	figureNotified        = "told_median_seconds"
	figureNotifiedWorst   = "told_worst_seconds"
	figureEverywhere      = "everywhere_median_seconds"
	figureEverywhereWorst = "everywhere_worst_seconds"
	figureReachableWorst  = "reachable_worst_seconds" // the same, from when discovery could be reached again
	figureUntold          = "untold"                  // couriers that run to the end and were never reported of a change
	figureChanges         = "list_changes"
	// worstOf is the quantile that is called the worst.
	worstOf = 0.999
)

// directoryDay is a day of little traffic on which endpoints drain and are replaced; the file takes the number of couriers.
const directoryDay = `
name = "changes"
length_s = 60
load = [0.5, 0.5]
[fleet]
couriers = %d
[traffic]
full_per_s = 10
destinations = 60
[directory]
mode = "ask"
notice_s = [0.02, 0.2]
call_ms = [20, 200]
[[kind]]
name = "plain"
endpoints = [2, 3]
[[workload]]
name = "update"
quoted_s = 1
cut_off_s = 8
[[trouble]]
kind = "drain"
at_s = [5, 5]
length_s = [45, 45]
part = 0.5
size = [2, 5]
`

// directoryTroubles are restarts in step, kills, and some seconds without discovery.
const directoryTroubles = `
[[trouble]]
kind = "courier-roll"
at_s = [8, 10]
length_s = [30, 30]
part = 0.5
size = [0.5, 1]
[[trouble]]
kind = "courier-kill"
at_s = [20, 25]
length_s = [2, 4]
part = 0.1
[[trouble]]
kind = "directory-down"
at_s = [15, 30]
length_s = [5, 5]
`

func measureDirectory(ctx context.Context, play *Play) error {
	for _, couriers := range changeFleets(play.Quick) {
		for trouble, troubles := range []string{"", directoryTroubles} {
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("changes of the list told to %d couriers", couriers)
			drawn, err := readDay(couriers, troubles, play.Seed)
			if err != nil {
				return err
			}
			host := newNotifiedHost(couriers)
			if _, _, err := simulation.Play(drawn, host, simulation.Options{}); err != nil {
				return err
			}
			notified := host.against(drawn)
			notified.report(play, map[string]float64{sizeCouriers: float64(couriers), sizeTrouble: float64(trouble)})
		}
	}
	return nil
}

func readDay(couriers int, troubles string, seed int64) (*scenario.Instance, error) {
	d, err := scenario.Read("changes.toml", []byte(fmt.Sprintf(directoryDay, couriers)+troubles))
	if err != nil {
		return nil, err
	}
	return scenario.Draw(d, seed), nil
}

// toldHost runs the decisions in this process, and notes what each courier is notified of the list, and when.
type notifiedHost struct {
	*simulation.LocalHost
	news []map[dispatch.EndpointID][]notifiedPhase // by courier
}

// downTime is when a courier does not run; to is 0 where it never starts again.
type downTime struct{ from, to dispatch.Micros }

type notifiedPhase struct {
	at    dispatch.Micros
	phase dispatch.Phase
}

func newNotifiedHost(couriers int) *notifiedHost {
	h := &notifiedHost{LocalHost: simulation.NewLocalHost(nil)}
	for range couriers {
		h.news = append(h.news, map[dispatch.EndpointID][]notifiedPhase{})
	}
	return h
}

// Turn implements simulation.Host.
func (h *notifiedHost) Turn(now dispatch.Micros, batches []simulation.Batch) ([][]dispatch.Action, error) {
	for _, b := range batches {
		for _, event := range b.Events {
			if news, ok := event.(dispatch.EndpointUpdate); ok {
				h.note(now, b.Courier, news)
			}
		}
	}
	return h.LocalHost.Step(now, batches)
}

// note keeps news of the list. What a start hands over is as old as the process before it, and tells nothing new.
func (h *notifiedHost) note(now dispatch.Micros, courier int, news dispatch.EndpointUpdate) {
	known := h.news[courier]
	tell := func(id dispatch.EndpointID, phase dispatch.Phase) {
		if all := known[id]; len(all) == 0 || all[len(all)-1].phase != phase {
			known[id] = append(all, notifiedPhase{now, phase})
		}
	}
	if news.Kind == dispatch.ListFailed || news.Kind == dispatch.CachedList && len(known) > 0 {
		return
	}
	listed := map[dispatch.EndpointID]bool{}
	for _, entry := range news.Entries {
		listed[entry.Endpoint] = true
		tell(entry.Endpoint, entry.Phase)
	}
	if news.Kind != dispatch.CompleteList {
		return
	}
	for id := range known { // what is missing in a whole list is gone
		if !listed[id] {
			tell(id, dispatch.Removed)
		}
	}
}

// toldAt is when a courier was first reported of a phase of an endpoint, or of a later one.
func (h *notifiedHost) notifiedAt(courier int, id dispatch.EndpointID, phase dispatch.Phase) (dispatch.Micros, bool) {
	for _, notified := range h.news[courier][id] {
		if notified.phase >= phase {
			return notified.at, true
		}
	}
	return 0, false
}

// listTimes are how long changes took, in seconds.
type listTimes struct {
	changes, untold                 int
	notified, everywhere, reachable []float64
}

// against holds what was notified against the changes of the day. A courier that does not run at a change is to know it from its start on;
// one that is never reported although it was listed and gone between two lists has nothing to know.
func (h *notifiedHost) against(drawn *scenario.Instance) (t listTimes) {
	phases := map[scenario.EventKind]dispatch.Phase{scenario.EndpointAdded: dispatch.InService, scenario.EndpointDraining: dispatch.Draining, scenario.EndpointRemoved: dispatch.Removed}
	downs, away := downTimes(drawn), awayTimes(drawn)
	for _, act := range drawn.Events {
		phase, ok := phases[act.Kind]
		if !ok {
			continue
		}
		t.changes++
		slowest := 0.0
		for courier := range h.news {
			from := runsFrom(downs[courier], act.At)
			at, notified := h.notifiedAt(courier, act.Endpoint.ID, phase)
			if !notified {
				t.untold++
				continue
			}
			t.notified = append(t.notified, seconds(at-from))
			t.reachable = append(t.reachable, seconds(at-reachableFrom(away, from, at)))
			slowest = max(slowest, seconds(at-from))
		}
		t.everywhere = append(t.everywhere, slowest)
	}
	slices.Sort(t.notified)
	slices.Sort(t.everywhere)
	slices.Sort(t.reachable)
	return t
}

func seconds(span dispatch.Micros) float64 {
	return float64(max(0, span)) / float64(microsPerSecond)
}

// awayTimes are when discovery cannot be reached.
func awayTimes(drawn *scenario.Instance) (away []downTime) {
	for _, act := range drawn.Events {
		switch act.Kind {
		case scenario.DirectoryDown:
			away = append(away, downTime{from: act.At})
		case scenario.DirectoryUp:
			away[len(away)-1].to = act.At
		}
	}
	return away
}

// reachableFrom is when discovery came back, where it did so between a change and a courier being reported of it; else the change.
func reachableFrom(away []downTime, from, notified dispatch.Micros) dispatch.Micros {
	for _, a := range away {
		if from < a.to && notified >= a.to {
			from = a.to
		}
	}
	return from
}

// downTimes are when each courier does not run.
func downTimes(drawn *scenario.Instance) map[int][]downTime {
	downs := map[int][]downTime{}
	for _, act := range drawn.Events {
		all := downs[act.Courier]
		switch {
		case act.Kind == scenario.CourierKilled:
			downs[act.Courier] = append(all, downTime{from: act.At})
		case act.Kind == scenario.CourierStarted && len(all) > 0 && all[len(all)-1].to == 0:
			all[len(all)-1].to = act.At
		}
	}
	return downs
}

// runsFrom is the instant, or the first after it, at which a courier runs.
func runsFrom(downs []downTime, at dispatch.Micros) dispatch.Micros {
	for _, down := range downs {
		if at >= down.from && at < down.to {
			return down.to
		}
	}
	return at
}

func (t listTimes) report(play *Play, sizes map[string]float64) {
	play.Report(sizes, figureChanges, float64(t.changes))
	play.Report(sizes, figureUntold, float64(t.untold))
	if len(t.notified) == 0 {
		return
	}
	play.Report(sizes, figureNotified, stat.Quantile(0.5, stat.Empirical, t.notified, nil))
	play.Report(sizes, figureNotifiedWorst, stat.Quantile(worstOf, stat.Empirical, t.notified, nil))
	play.Report(sizes, figureReachableWorst, stat.Quantile(worstOf, stat.Empirical, t.reachable, nil))
	play.Report(sizes, figureEverywhere, stat.Quantile(0.5, stat.Empirical, t.everywhere, nil))
	play.Report(sizes, figureEverywhereWorst, stat.Quantile(worstOf, stat.Empirical, t.everywhere, nil))
}
