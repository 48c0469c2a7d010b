package scale

import (
	"context"
	"fmt"

	"pineport/dispatch"
	"pineport/testbed/slopes"
)

// Sizes and figures of destinations.
const (
	knownDestinations = "destinations" // on the list, one endpoint each
	knownBytes        = "bytes"
	knownFirst        = "first_list"
	knownAgain        = "list_again"
	knownChange       = "change"
	knownStep         = "step"

	knownLists        = 5   // times that the whole list comes again; their median counts
	knownChanges      = 31  // likewise of one change
	knownBatches      = 31  // of steps; their median counts
	knownBatch        = 100 // steps timed together: one is shorter than a clock can tell
	knownMessages     = 20  // to as many destinations, spread over the list
	knownBatchesQuick = 3

	// Counts, for the check.
	knownUsed      = "count_in_use"
	knownUsedAgain = "count_in_use_after_list_again"
	knownMoved     = "count_changes_seen"
	knownDelivered = "count_delivered"
	knownUnasked   = "count_unasked"
	knownDifferent = "count_replay_differs"
)

// destinations measures what it costs to know many destinations.
type destinations struct{ decide decide }

func destinationsExperiment() Experiment { return destinations{realDecisions}.experiment() }

func (k destinations) experiment() Experiment {
	return Experiment{Name: "destinations", Plays: 3, Timed: true,
		About: "Destinations known to the decision module, one endpoint each and nothing to do: bytes of heap, the first list (once a play), " +
			"the whole list again with nothing changed (median of 5), one change of it (median of 31), and a step of an idle courier (median of " +
			"31 batches of 100).",
		Measure: k.measure, Fit: fitDestinations, Check: checkDestinations}
}

func (k destinations) measure(ctx context.Context, play *Play) error {
	sizes := []int{1000, 10_000, 100_000, 300_000}
	if play.Quick {
		sizes = []int{1000, 3000}
	}
	for _, count := range sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("%d destinations", count)
		trace := k.play(play, count, true)
		if count == sizes[0] {
			differs := 0.0
			if k.play(play, count, false) != trace {
				differs = 1
			}
			play.Report(map[string]float64{knownDestinations: float64(count)}, knownDifferent, differs)
		}
	}
	return nil
}

// play has a courier know so many destinations, messages what that costs if asked to, and returns a hash of all that it did.
func (k destinations) play(play *Play, count int, keep bool) (trace uint64) {
	sizes := map[string]float64{knownDestinations: float64(count)}
	report := func(figure string, value float64) {
		if keep {
			play.Report(sizes, figure, value)
		}
	}
	list := listings(count)
	ids := messageIDs(knownMessages)
	driver := newDriver(k.decide(courierSettings(play.Seed, 2*count)), 0, len(ids))

	before := heapInUse()
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: list})
	report(knownFirst, driver.took.Seconds())
	report(knownBytes, float64(heapInUse())-float64(before))
	report(knownUsed, float64(driver.inUse(list)))

	report(knownAgain, median(driver.listAgain(list)))
	report(knownUsedAgain, float64(driver.inUse(list)))

	took, seen := driver.changes(list)
	report(knownChange, median(took))
	report(knownMoved, float64(seen))

	batches := knownBatches
	if play.Quick {
		batches = knownBatchesQuick
	}
	took, sent := driver.idleSteps(batches)
	report(knownStep, median(took))
	report(knownUnasked, float64(sent+driver.counts.ended+driver.counts.invalid))

	for number, id := range ids {
		driver.step(millisecond, driver.message(id, number*(count/knownMessages)))
	}
	driver.step(millisecond)
	report(knownDelivered, float64(driver.counts.delivered))
	keepAlive(list)
	return driver.trace
}

// inUse counts the endpoints that the courier would call.
func (d *memoryDriver) inUse(list []dispatch.EndpointEntry) (count int) {
	courier, ok := d.courier.(interface {
		Avoided(now dispatch.Micros, endpoint dispatch.EndpointID) bool
	})
	for _, entry := range list {
		if ok && !courier.Avoided(d.now, entry.Endpoint) {
			count++
		}
	}
	return count
}

// listAgain submits the whole list some times with nothing changed, and returns what each took, in seconds.
func (d *memoryDriver) listAgain(list []dispatch.EndpointEntry) (took []float64) {
	for range knownLists {
		d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: list})
		took = append(took, d.took.Seconds())
	}
	return took
}

// changes has one endpoint drain and return by steps; it returns what each change took, in seconds, and how many took effect.
func (d *memoryDriver) changes(list []dispatch.EndpointEntry) (took []float64, seen int) {
	for number := range knownChanges {
		changed := list[len(list)/2]
		if number%2 == 0 {
			changed.Phase = dispatch.Draining
		}
		d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: []dispatch.EndpointEntry{changed}})
		took = append(took, d.took.Seconds())
		if used := d.inUse([]dispatch.EndpointEntry{changed}) == 1; used == (changed.Phase == dispatch.InService) {
			seen++
		}
	}
	d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: []dispatch.EndpointEntry{list[len(list)/2]}})
	return took, seen
}

// idleSteps lets time pass for a courier with nothing to do; it returns what a step took in each batch, in seconds, and how many
// messages were sent.
func (d *memoryDriver) idleSteps(batches int) (took []float64, sent int) {
	for range batches {
		var sum float64
		for range knownBatch {
			sent += d.step(millisecond, dispatch.TimerFired{})
			sum += d.took.Seconds()
		}
		took = append(took, sum/knownBatch)
	}
	return took, sent
}

func fitDestinations(results *Results) error {
	growing := []slopes.Model{slopes.Linear, slopes.Power}
	anyGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Linear, slopes.Power}
	flat := []slopes.Model{slopes.Constant, slopes.Power} // neither falls below nought beyond the sizes measured
	for _, curve := range []Curve{
		{Figure: knownBytes, About: "heap of the decision module for the destinations that it knows", Unit: "bytes", Models: []slopes.Model{slopes.Linear}},
		{Figure: knownFirst, About: "the step that takes in the first list", Unit: "s", Models: growing},
		{Figure: knownAgain, About: "the step that takes in the whole list again with nothing changed", Unit: "s", Models: growing},
		{Figure: knownChange, About: "the step that takes in one change of the list", Unit: "s", Models: anyGrowth},
		{Figure: knownStep, About: "a step of an idle courier", Unit: "s", Models: flat},
	} {
		curve.Name, curve.Over = curve.Figure, knownDestinations
		if err := results.Fit(curve); err != nil {
			return err
		}
	}
	return nil
}

// checkDestinations: each destination listed is in use, also after the same list again; each change takes effect; an idle courier
// does nothing; messages for known destinations are delivered; the same play does the same again.
func checkDestinations(results *Results) error {
	for _, point := range results.Points() {
		for _, expected := range []struct {
			figure string
			want   float64
		}{
			{knownUsed, point.Sizes[knownDestinations]},
			{knownUsedAgain, point.Sizes[knownDestinations]},
			{knownMoved, knownChanges},
			{knownUnasked, 0},
			{knownDelivered, knownMessages},
			{knownDifferent, 0},
		} {
			if err := equalCounts(point, expected.figure, expected.want); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
	}
	return nil
}
