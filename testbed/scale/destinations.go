package scale

import (
	"context"
	"fmt"

	"pineport/dispatch"
	"pineport/testbed/slopes"
)

// Sizes and figures of the experiment destinations.
const (
	knownDestinations = "destinations" // destinations on the endpoint list, with one endpoint each
	knownHeap         = "bytes"
	knownFirstList    = "first_list"
	knownRelist       = "list_again"
	knownChange       = "change"
	knownStep         = "step"

	knownRelists      = 5   // repetitions of the unchanged complete list; the median is reported
	knownChanges      = 31  // repetitions of one change; the median is reported
	knownBatches      = 31  // batches of steps; the median is reported
	knownBatch        = 100 // steps timed together, since one step is shorter than the resolution of the clock
	knownMessages     = 20  // messages, each to another destination, spread evenly over the list
	knownBatchesQuick = 3

	// Counts that the check validates.
	knownInUse            = "count_in_use"
	knownInUseAfterRelist = "count_in_use_after_list_again"
	knownChangesSeen      = "count_changes_seen"
	knownDelivered        = "count_delivered"
	knownUnexpected       = "count_unasked"
	knownReplayDiffers    = "count_replay_differs"
)

// destinations measures the cost of a long list of destinations.
type destinations struct{ newDecider deciderFactory }

func destinationsExperiment() Experiment { return destinations{newDispatcher}.experiment() }

func (k destinations) experiment() Experiment {
	return Experiment{Name: "destinations", Plays: 3, Timed: true,
		About: "Destinations known to the decision module, with one endpoint each and no traffic: bytes of heap; the step that handles the first list " +
			"(once a play), the unchanged complete list (median of 5) or one change of it (median of 31); and a step of an idle courier " +
			"(median of 31 batches of 100).",
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
			play.Report(map[string]float64{knownDestinations: float64(count)}, knownReplayDiffers, differs)
		}
	}
	return nil
}

// play runs a courier with count destinations and returns a hash of its actions. It reports the cost if keep is set.
func (k destinations) play(play *Play, count int, keep bool) (trace uint64) {
	sizes := map[string]float64{knownDestinations: float64(count)}
	report := func(figure string, value float64) {
		if keep {
			play.Report(sizes, figure, value)
		}
	}
	list := destinationEntries(count)
	ids := messageIDs(knownMessages)
	driver := newDriver(k.newDecider(courierSettings(play.Seed, 2*count)), 0, len(ids))

	before := heapInUse()
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: list})
	report(knownFirstList, driver.stepDuration.Seconds())
	report(knownHeap, float64(heapInUse())-float64(before))
	report(knownInUse, float64(driver.inUse(list)))

	report(knownRelist, median(driver.resubmitList(list)))
	report(knownInUseAfterRelist, float64(driver.inUse(list)))

	took, seen := driver.toggleEndpoint(list)
	report(knownChange, median(took))
	report(knownChangesSeen, float64(seen))

	batches := knownBatches
	if play.Quick {
		batches = knownBatchesQuick
	}
	took, sent := driver.idleSteps(batches)
	report(knownStep, median(took))
	report(knownUnexpected, float64(sent+driver.counts.ended+driver.counts.invalid))

	for number, id := range ids {
		driver.step(millisecond, driver.newMessage(id, number*(count/knownMessages)))
	}
	driver.step(millisecond)
	report(knownDelivered, float64(driver.counts.delivered))
	keepAlive(list)
	return driver.traceHash
}

// inUse counts the listed endpoints that the courier does not avoid.
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

// resubmitList submits the unchanged complete list several times and returns the duration of each step, in seconds.
func (d *memoryDriver) resubmitList(list []dispatch.EndpointEntry) (took []float64) {
	for range knownRelists {
		d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: list})
		took = append(took, d.stepDuration.Seconds())
	}
	return took
}

// toggleEndpoint drains one endpoint and returns it to service, in turn. It returns the duration of each step, in seconds,
// and the number of changes that took effect.
func (d *memoryDriver) toggleEndpoint(list []dispatch.EndpointEntry) (took []float64, seen int) {
	for number := range knownChanges {
		changed := list[len(list)/2]
		if number%2 == 0 {
			changed.Phase = dispatch.Draining
		}
		d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: []dispatch.EndpointEntry{changed}})
		took = append(took, d.stepDuration.Seconds())
		if used := d.inUse([]dispatch.EndpointEntry{changed}) == 1; used == (changed.Phase == dispatch.InService) {
			seen++
		}
	}
	d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: []dispatch.EndpointEntry{list[len(list)/2]}})
	return took, seen
}

// idleSteps runs batches of steps of an idle courier. It returns the mean duration of a step in each batch, in seconds, and
// the number of attempts sent.
func (d *memoryDriver) idleSteps(batches int) (took []float64, sent int) {
	for range batches {
		var sum float64
		for range knownBatch {
			sent += d.step(millisecond, dispatch.TimerFired{})
			sum += d.stepDuration.Seconds()
		}
		took = append(took, sum/knownBatch)
	}
	return took, sent
}

func fitDestinations(results *Results) error {
	growing := []slopes.Model{slopes.Linear, slopes.Power}
	anyGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Linear, slopes.Power}
	flat := []slopes.Model{slopes.Constant, slopes.Power} // both stay positive when extrapolated beyond the measured sizes
	for _, curve := range []Curve{
		{Figure: knownHeap, About: "heap of the decision module for the known destinations", Unit: "bytes", Models: []slopes.Model{slopes.Linear}},
		{Figure: knownFirstList, About: "the step that handles the first list", Unit: "s", Models: growing},
		{Figure: knownRelist, About: "the step that handles the unchanged complete list", Unit: "s", Models: growing},
		{Figure: knownChange, About: "the step that handles one change of the list", Unit: "s", Models: anyGrowth},
		{Figure: knownStep, About: "a step of an idle courier", Unit: "s", Models: flat},
	} {
		curve.Name, curve.Over = curve.Figure, knownDestinations
		if err := results.Fit(curve); err != nil {
			return err
		}
	}
	return nil
}

// checkDestinations fails unless each listed destination is in use, before and after the list is resubmitted, each change
// takes effect, an idle courier neither sends nor ends a message, all messages are delivered, and a replay produces the same actions.
func checkDestinations(results *Results) error {
	for _, point := range results.Points() {
		for _, expected := range []struct {
			figure string
			want   float64
		}{
			{knownInUse, point.Sizes[knownDestinations]},
			{knownInUseAfterRelist, point.Sizes[knownDestinations]},
			{knownChangesSeen, knownChanges},
			{knownUnexpected, 0},
			{knownDelivered, knownMessages},
			{knownReplayDiffers, 0},
		} {
			if err := equalCounts(point, expected.figure, expected.want); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
	}
	return nil
}
