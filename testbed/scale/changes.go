package scale

import (
	"context"
	"errors"
	"math"

	"pineport/testbed/slopes"
)

// The sizes of the run changes, beside couriers.
const (
	sizeTenants = "tenants" // in a settings file
	sizeKnown   = "known"   // endpoints that a settings file lists
	sizeListed  = "listed"  // endpoints on discovery's list
	sizeWaiting = "waiting" // changes of the list that wait while a courier is cut off
	sizeTrouble = "trouble" // 1: couriers restart and discovery is down meanwhile
)

const (
	// changesPerSecond is 58,000 changes of configuration a day.
	changesPerSecond = 58000.0 / 86400
	// changesInAnHour wait at the end of an hour without word.
	changesInAnHour = 2400
)

// changes measures how a change of configuration comes into force.
func changesExperiment() Experiment {
	return Experiment{
		Name: "changes",
		About: "settings: a file for each courier read anew, by the code that a hangup runs; endpoints: discovery's list as testbed/simulation plays it (a change is " +
			"told 20 to 200 ms after it, restarts and 5 s without discovery meanwhile) and by protocol's parser; nothing carries settings between machines",
		Plays: 3, Timed: true, UsesRealCouriers: true, Measure: measureChanges, Fit: fitChanges, Check: checkChanges,
	}
}

func measureChanges(ctx context.Context, play *Play) error {
	for _, part := range []func(context.Context, *Play) error{measureReloads, measureHandouts, measureLists, measureDirectory, measureHangups} {
		if err := part(ctx, play); err != nil {
			return err
		}
	}
	play.Miss("changes.settings, from handing one out to in force everywhere", "nothing carries settings between machines: somebody writes each courier's file and sends its process "+
		"SIGHUP, and nobody is told who has not got it; once a file is there, what a courier takes is changes.reload_seconds")
	play.Miss("changes.settings caught up by what changed alone", "a file is read whole, and holds no generation: who was cut off cannot tell that it is behind, nor ask from where on")
	return nil
}

func fitChanges(results *Results) error {
	calm, troubled := map[string]float64{sizeTrouble: 0}, map[string]float64{sizeTrouble: 1}
	grows := []slopes.Model{slopes.Linear, slopes.Power}
	flat := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Power}
	return results.FitAll([]Curve{
		{Name: "reload_seconds.tenants", Figure: figureReload, About: "a settings file read, checked, compared and taken over by one courier", Unit: "s", Over: sizeTenants, Models: grows},
		{Name: "reload_seconds.known", Figure: figureReload, About: "the same, by endpoints that the file lists as known", Unit: "s", Over: sizeKnown, Models: grows},
		{Name: "reload_cores.tenants", Figure: figureReloadCores, About: "58,000 changes a day, each a reload of the whole file", Unit: "cores", Over: sizeTenants, Models: grows},
		{Name: "reload_cores.known", Figure: figureReloadCores, About: "the same, by endpoints that the file lists as known", Unit: "cores", Over: sizeKnown, Models: grows},
		{Name: "file_bytes.tenants", Figure: figureFile, About: "a settings file", Unit: "bytes", Over: sizeTenants, Models: grows},
		{Name: "file_bytes.known", Figure: figureFile, About: "a settings file, by endpoints that it lists as known", Unit: "bytes", Over: sizeKnown, Models: grows},
		{Name: "reload_kept_bytes.tenants", Figure: figureReloadKept, About: "memory of the settings in force", Unit: "bytes", Over: sizeTenants, Models: grows},
		{Name: "reload_used_bytes.tenants", Figure: figureReloadUsed, About: "memory taken in passing by one reload", Unit: "bytes", Over: sizeTenants, Models: grows},
		{Name: "handout_seconds", Figure: figureHandout, About: "processor time of all couriers for one change of settings", Unit: "s", Over: sizeCouriers, Models: grows},
		{Name: "stale_ratio", Figure: figureStale, About: "couriers that still go by the settings before, once their cut has ended", Unit: "ratio", Over: sizeCouriers, Models: flat},
		{Name: "list_bytes", Figure: figureListBytes, About: "discovery's whole list", Unit: "bytes", Over: sizeListed, Models: grows},
		{Name: "list_seconds", Figure: figureListSeconds, About: "the whole list parsed and taken in by a courier that has it", Unit: "s", Over: sizeListed, Models: grows},
		{Name: "change_bytes", Figure: figureChangeBytes, About: "one change of the list", Unit: "bytes", Over: sizeListed, Models: flat},
		{Name: "change_seconds", Figure: figureChangeSeconds, About: "one change parsed and taken in by a courier that has the list", Unit: "s", Over: sizeListed, Models: grows},
		{Name: "catchup_bytes", Figure: figureCatchUpBytes, About: "the changes that waited, in one answer", Unit: "bytes", Over: sizeWaiting, Models: grows},
		{Name: "catchup_seconds", Figure: figureCatchUpSeconds, About: "the changes that waited, parsed and taken in", Unit: "s", Over: sizeWaiting, Models: grows},
		{Name: "told_seconds.median", Figure: figureNotified, About: "virtual time from a change of the list to a courier being told, median", Unit: "s", Over: sizeCouriers, Where: calm, Models: flat},
		{Name: "everywhere_seconds.median", Figure: figureEverywhere, About: "virtual time from a change to the last courier being told, median", Unit: "s", Over: sizeCouriers, Where: calm, Models: flat},
		{Name: "everywhere_seconds.worst", Figure: figureEverywhereWorst, About: "the same, 99.9 in 100", Unit: "s", Over: sizeCouriers, Where: calm, Models: flat},
		{Name: "told_seconds.troubled_worst", Figure: figureNotifiedWorst, About: "from a change to a courier being told, restarts and 5 s without discovery, 99.9 in 100", Unit: "s", Over: sizeCouriers, Where: troubled, Models: flat},
		{Name: "told_seconds.reachable_worst", Figure: figureReachableWorst, About: "the same, counted from when discovery could be reached again", Unit: "s", Over: sizeCouriers, Where: troubled, Models: flat},
		{Name: "everywhere_seconds.troubled_median", Figure: figureEverywhere, About: "from a change to the last courier being told, restarts and 5 s without discovery, median", Unit: "s", Over: sizeCouriers, Where: troubled, Models: flat},
		{Name: "everywhere_seconds.troubled_worst", Figure: figureEverywhereWorst, About: "the same, 99.9 in 100", Unit: "s", Over: sizeCouriers, Where: troubled, Models: flat},
	})
}

// checkChanges holds what was counted: each reload is in force, a list is read whole, and every courier that runs is notified of every change
// of the list; settings reach all but those who were cut off, and these once the settings are handed out again.
func checkChanges(results *Results) error {
	return errors.Join(
		within(results, figureInForce, sizeTenants, 1, 1),
		within(results, figureInForce, sizeKnown, 1, 1),
		within(results, figureUnread, sizeListed, 0, 0),
		within(results, figureMissed, sizeCouriers, 0, 0),
		within(results, figureStaleAgain, sizeCouriers, 0, 0),
		within(results, figureUntold, sizeCouriers, 0, 0),
		within(results, figureChanges, sizeCouriers, 1, math.Inf(1)),
	)
}
