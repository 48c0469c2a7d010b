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

// Figures of endpoint list changes, in virtual time.
const (
	figureNotified        = "told_median_seconds"
	figureNotifiedWorst   = "told_worst_seconds"
	figureEverywhere      = "everywhere_median_seconds"
	figureEverywhereWorst = "everywhere_worst_seconds"
	figureReachableWorst  = "reachable_worst_seconds" // figureNotifiedWorst, counted from the time when discovery is reachable again
	figureUnnotified      = "untold"                  // pairs of a change and a courier that never received it
	figureChanges         = "list_changes"
	// worstQuantile is the quantile that is reported as the worst value.
	worstQuantile = 0.999
)

// discoveryScenario is a scenario with little traffic in which endpoints drain and are replaced. It is a format string that takes
// the number of couriers.
const discoveryScenario = `
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

// discoveryTroubles adds a rolling restart, kills of couriers, and an outage of discovery of 5 s.
const discoveryTroubles = `
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

func measureDiscovery(ctx context.Context, play *Play) error {
	for _, couriers := range changeFleets(play.Quick) {
		for withTroubles, troubles := range []string{"", discoveryTroubles} { // index 1 is the value of sizeTrouble for troubles
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("endpoint list changes for %d couriers", couriers)
			drawn, err := drawDiscoveryScenario(couriers, troubles, play.Seed)
			if err != nil {
				return err
			}
			host := newRecordingHost(couriers)
			if _, _, err := simulation.Play(drawn, host, simulation.Options{}); err != nil {
				return err
			}
			times := host.compare(drawn)
			times.report(play, map[string]float64{sizeCouriers: float64(couriers), sizeTrouble: float64(withTroubles)})
		}
	}
	return nil
}

func drawDiscoveryScenario(couriers int, troubles string, seed int64) (*scenario.Instance, error) {
	d, err := scenario.Read("changes.toml", []byte(fmt.Sprintf(discoveryScenario, couriers)+troubles))
	if err != nil {
		return nil, err
	}
	return scenario.Draw(d, seed), nil
}

// recordingHost runs the couriers in this process and records which list changes each courier receives, and when.
type recordingHost struct {
	*simulation.LocalHost
	phaseChanges []map[dispatch.EndpointID][]phaseChange // index: courier
}

// downTime is a time span in which a courier or discovery is down. If to is 0, it does not start again.
type downTime struct{ from, to dispatch.Micros }

type phaseChange struct {
	at    dispatch.Micros
	phase dispatch.Phase
}

func newRecordingHost(couriers int) *recordingHost {
	h := &recordingHost{LocalHost: simulation.NewLocalHost(nil)}
	for range couriers {
		h.phaseChanges = append(h.phaseChanges, map[dispatch.EndpointID][]phaseChange{})
	}
	return h
}

// Step implements simulation.Host.
func (h *recordingHost) Step(now dispatch.Micros, batches []simulation.Batch) ([][]dispatch.Action, error) {
	for _, b := range batches {
		for _, event := range b.Events {
			if update, ok := event.(dispatch.EndpointUpdate); ok {
				h.record(now, b.Courier, update)
			}
		}
	}
	return h.LocalHost.Step(now, batches)
}

// record stores the phases in an update of the list. It ignores the cached list that a restarted courier loads, because the
// previous process has already received it.
func (h *recordingHost) record(now dispatch.Micros, courier int, update dispatch.EndpointUpdate) {
	known := h.phaseChanges[courier]
	recordPhase := func(id dispatch.EndpointID, phase dispatch.Phase) {
		if all := known[id]; len(all) == 0 || all[len(all)-1].phase != phase {
			known[id] = append(all, phaseChange{now, phase})
		}
	}
	if update.Kind == dispatch.ListFailed || update.Kind == dispatch.CachedList && len(known) > 0 {
		return
	}
	listed := map[dispatch.EndpointID]bool{}
	for _, entry := range update.Entries {
		listed[entry.Endpoint] = true
		recordPhase(entry.Endpoint, entry.Phase)
	}
	if update.Kind != dispatch.CompleteList {
		return
	}
	for id := range known { // an endpoint missing in a complete list has been removed
		if !listed[id] {
			recordPhase(id, dispatch.Removed)
		}
	}
}

// notifiedAt returns the time when a courier first received the given phase of an endpoint, or a later phase.
func (h *recordingHost) notifiedAt(courier int, id dispatch.EndpointID, phase dispatch.Phase) (dispatch.Micros, bool) {
	for _, change := range h.phaseChanges[courier][id] {
		if change.phase >= phase {
			return change.at, true
		}
	}
	return 0, false
}

// notificationTimes holds the counts of list changes and the times until couriers received them, in seconds.
type notificationTimes struct {
	changes, unnotified             int
	notified, everywhere, reachable []float64
}

// compare compares the recorded updates with the list changes of the scenario. For a courier that is down at the time of a
// change, the time counts from its next start.
func (h *recordingHost) compare(drawn *scenario.Instance) (t notificationTimes) {
	phases := map[scenario.EventKind]dispatch.Phase{scenario.EndpointAdded: dispatch.InService, scenario.EndpointDraining: dispatch.Draining, scenario.EndpointRemoved: dispatch.Removed}
	downs, outages := downTimes(drawn), discoveryOutages(drawn)
	for _, act := range drawn.Events {
		phase, ok := phases[act.Kind]
		if !ok {
			continue
		}
		t.changes++
		slowest := 0.0
		for courier := range h.phaseChanges {
			from := runningFrom(downs[courier], act.At)
			at, notified := h.notifiedAt(courier, act.Endpoint.ID, phase)
			if !notified {
				t.unnotified++
				continue
			}
			t.notified = append(t.notified, seconds(at-from))
			t.reachable = append(t.reachable, seconds(at-reachableFrom(outages, from, at)))
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

// discoveryOutages returns the times during which discovery is unreachable.
func discoveryOutages(drawn *scenario.Instance) (outages []downTime) {
	for _, act := range drawn.Events {
		switch act.Kind {
		case scenario.DirectoryDown:
			outages = append(outages, downTime{from: act.At})
		case scenario.DirectoryUp:
			outages[len(outages)-1].to = act.At
		}
	}
	return outages
}

// reachableFrom returns the time of the last recovery of discovery between from and notified, or from if there is none.
func reachableFrom(outages []downTime, from, notified dispatch.Micros) dispatch.Micros {
	for _, outage := range outages {
		if from < outage.to && notified >= outage.to {
			from = outage.to
		}
	}
	return from
}

// downTimes returns the down times of each courier.
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

// runningFrom returns the end of the down time that contains at, or at if there is none or the courier does not start again.
func runningFrom(downs []downTime, at dispatch.Micros) dispatch.Micros {
	for _, down := range downs {
		if at >= down.from && at < down.to {
			return down.to
		}
	}
	return at
}

func (t notificationTimes) report(play *Play, sizes map[string]float64) {
	play.Report(sizes, figureChanges, float64(t.changes))
	play.Report(sizes, figureUnnotified, float64(t.unnotified))
	if len(t.notified) == 0 {
		return
	}
	play.Report(sizes, figureNotified, stat.Quantile(0.5, stat.Empirical, t.notified, nil))
	play.Report(sizes, figureNotifiedWorst, stat.Quantile(worstQuantile, stat.Empirical, t.notified, nil))
	play.Report(sizes, figureReachableWorst, stat.Quantile(worstQuantile, stat.Empirical, t.reachable, nil))
	play.Report(sizes, figureEverywhere, stat.Quantile(0.5, stat.Empirical, t.everywhere, nil))
	play.Report(sizes, figureEverywhereWorst, stat.Quantile(worstQuantile, stat.Empirical, t.everywhere, nil))
}
