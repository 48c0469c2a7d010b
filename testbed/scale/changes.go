package scale

import (
	"context"
	"errors"
	"math"

	"pineport/testbed/slopes"
)

// Sizes of the experiment changes, in addition to sizeCouriers.
const (
	sizeTenants     = "tenants" // tenants in a settings file
	sizeKnown       = "known"   // known endpoints listed in a settings file
	sizeListed      = "listed"  // endpoints on the list from discovery
	sizeAccumulated = "waiting" // list changes that accumulate while a courier is cut off
	sizeTrouble     = "trouble" // 1 if couriers restart and discovery is down during the changes, otherwise 0
)

const (
	// changesPerSecond is the rate of 58,000 configuration changes a day, changes.per_day in the plan of testbed/capacity.
	changesPerSecond = 58000.0 / 86400
	// changesInAnHour is the number of changes that accumulate in one hour, rounded.
	changesInAnHour = 2400
)

// changesExperiment measures how long configuration changes take to reach all couriers, and what they cost.
func changesExperiment() Experiment {
	return Experiment{
		Name: "changes",
		About: "the cost of configuration changes, and the time until all couriers have them: settings by reloads of each courier's file with the code of SIGHUP, the " +
			"endpoint list in testbed/simulation (sent 20 to 200 ms after a change; with restarts and 5 s without discovery) and with the parser of package protocol",
		Plays: 3, Timed: true, UsesRealCouriers: true, Measure: measureChanges, Fit: fitChanges, Check: checkChanges,
	}
}

func measureChanges(ctx context.Context, play *Play) error {
	for _, part := range []func(context.Context, *Play) error{measureReloads, measureRollouts, measureLists, measureDiscovery, measureRealReloads} {
		if err := part(ctx, play); err != nil {
			return err
		}
	}
	play.ReportMissing("changes.settings, from the rollout of a change until all couriers apply it", "no mechanism distributes settings to machines: an operator writes the file of each courier "+
		"and sends SIGHUP to its process, and nothing reports couriers that were missed; once a file is written, applying it costs changes.reload_seconds of processor time")
	play.ReportMissing("changes.settings, catching up with the changes only", "a courier always reads the complete file, without a generation number: it cannot detect that its settings are outdated, nor request the changes since a generation")
	return nil
}

func fitChanges(results *Results) error {
	calm, troubled := map[string]float64{sizeTrouble: 0}, map[string]float64{sizeTrouble: 1}
	grows := []slopes.Model{slopes.Linear, slopes.Power}
	slowGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Power}
	return results.FitAll([]Curve{
		{Name: "reload_seconds.tenants", Figure: figureReload, About: "processor time of one courier to read, validate, compare and apply a settings file", Unit: "s", Over: sizeTenants, Models: grows},
		{Name: "reload_seconds.known", Figure: figureReload, About: "the same, by the number of known endpoints in the file", Unit: "s", Over: sizeKnown, Models: grows},
		{Name: "reload_cores.tenants", Figure: figureReloadCores, About: "58,000 changes a day, each a reload of the complete file", Unit: "cores", Over: sizeTenants, Models: grows},
		{Name: "reload_cores.known", Figure: figureReloadCores, About: "the same, by the number of known endpoints in the file", Unit: "cores", Over: sizeKnown, Models: grows},
		{Name: "file_bytes.tenants", Figure: figureFile, About: "a settings file", Unit: "bytes", Over: sizeTenants, Models: grows},
		{Name: "file_bytes.known", Figure: figureFile, About: "a settings file, by the number of known endpoints in it", Unit: "bytes", Over: sizeKnown, Models: grows},
		{Name: "reload_kept_bytes.tenants", Figure: figureSettingsHeap, About: "memory of the applied settings", Unit: "bytes", Over: sizeTenants, Models: grows},
		{Name: "reload_used_bytes.tenants", Figure: figureReloadUsed, About: "memory allocated by one reload", Unit: "bytes", Over: sizeTenants, Models: grows},
		{Name: "handout_seconds", Figure: figureRollout, About: "processor time of all couriers for one change of settings", Unit: "s", Over: sizeCouriers, Models: grows},
		{Name: "stale_ratio", Figure: figureStale, About: "share of couriers that still use the previous settings after they are reachable again", Unit: "ratio", Over: sizeCouriers, Models: slowGrowth},
		{Name: "list_bytes", Figure: figureListBytes, About: "the complete list from discovery", Unit: "bytes", Over: sizeListed, Models: grows},
		{Name: "list_seconds", Figure: figureListSeconds, About: "elapsed time for a courier that has the list to parse and handle the complete list", Unit: "s", Over: sizeListed, Models: grows},
		{Name: "change_bytes", Figure: figureChangeBytes, About: "one change of the list", Unit: "bytes", Over: sizeListed, Models: slowGrowth},
		{Name: "change_seconds", Figure: figureChangeSeconds, About: "elapsed time for a courier that has the list to parse and handle one change", Unit: "s", Over: sizeListed, Models: grows},
		{Name: "catchup_bytes", Figure: figureCatchUpBytes, About: "the accumulated changes, in one response", Unit: "bytes", Over: sizeAccumulated, Models: grows},
		{Name: "catchup_seconds", Figure: figureCatchUpSeconds, About: "elapsed time for a courier to parse and handle the accumulated changes", Unit: "s", Over: sizeAccumulated, Models: grows},
		{Name: "told_seconds.median", Figure: figureNotified, About: "virtual time from a list change until a courier receives it, median", Unit: "s", Over: sizeCouriers, Where: calm, Models: slowGrowth},
		{Name: "everywhere_seconds.median", Figure: figureEverywhere, About: "virtual time from a change until the last courier receives it, median", Unit: "s", Over: sizeCouriers, Where: calm, Models: slowGrowth},
		{Name: "everywhere_seconds.worst", Figure: figureEverywhereWorst, About: "the same, 99.9th percentile", Unit: "s", Over: sizeCouriers, Where: calm, Models: slowGrowth},
		{Name: "told_seconds.troubled_worst", Figure: figureNotifiedWorst, About: "from a change until a courier receives it, with restarts and 5 s without discovery, 99.9th percentile", Unit: "s", Over: sizeCouriers, Where: troubled, Models: slowGrowth},
		{Name: "told_seconds.reachable_worst", Figure: figureReachableWorst, About: "the same, counted from the time when discovery is reachable again", Unit: "s", Over: sizeCouriers, Where: troubled, Models: slowGrowth},
		{Name: "everywhere_seconds.troubled_median", Figure: figureEverywhere, About: "from a change until the last courier receives it, with restarts and 5 s without discovery, median", Unit: "s", Over: sizeCouriers, Where: troubled, Models: slowGrowth},
		{Name: "everywhere_seconds.troubled_worst", Figure: figureEverywhereWorst, About: "the same, 99.9th percentile", Unit: "s", Over: sizeCouriers, Where: troubled, Models: slowGrowth},
	})
}

// checkChanges fails unless each reload is applied, no list entry is skipped, and every running courier receives every list
// change. A rollout must reach all couriers that are not cut off, and a second rollout must reach the others as well.
func checkChanges(results *Results) error {
	return errors.Join(
		checkRange(results, figureInForce, sizeTenants, 1, 1),
		checkRange(results, figureInForce, sizeKnown, 1, 1),
		checkRange(results, figureSkipped, sizeListed, 0, 0),
		checkRange(results, figureMissed, sizeCouriers, 0, 0),
		checkRange(results, figureStaleAfterRetry, sizeCouriers, 0, 0),
		checkRange(results, figureUnnotified, sizeCouriers, 0, 0),
		checkRange(results, figureChanges, sizeCouriers, 1, math.Inf(1)),
	)
}
