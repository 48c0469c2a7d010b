package scale

import (
	"context"
	"fmt"

	"pineport/dispatch"
	"pineport/testbed/slopes"
)

// Sizes and figures of the experiment destinations.
const (
	destinationsListed    = "destinations" // destinations on the endpoint list, with one endpoint each
	destinationsHeap      = "bytes"
	destinationsFirstList = "first_list"
	destinationsRelist    = "list_again"
	destinationsChange    = "change"
	destinationsStep      = "step"

	destinationsRelists      = 5   // repetitions of the unchanged complete list; the median is reported
	destinationsChanges      = 31  // repetitions of one change; the median is reported
	destinationsBatches      = 31  // batches of steps; the median is reported
	destinationsBatch        = 100 // steps timed together, since one step is shorter than the resolution of the clock
	destinationsMessages     = 20  // messages, each to another destination, spread evenly over the list
	destinationsBatchesQuick = 3

	// Counts that the check validates.
	destinationsInUse            = "count_in_use"
	destinationsInUseAfterRelist = "count_in_use_after_list_again"
	destinationsChangesEffective = "count_changes_seen"
	destinationsDelivered        = "count_delivered"
	destinationsUnexpected       = "count_unasked" // attempts sent, messages ended and invalid actions of an idle courier
	destinationsReplayDiffers    = "count_replay_differs"
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
			play.Report(map[string]float64{destinationsListed: float64(count)}, destinationsReplayDiffers, differs)
		}
	}
	return nil
}

// play runs a courier with count destinations and returns a hash of its actions. It reports the cost if record is set.
func (k destinations) play(play *Play, count int, record bool) (trace uint64) {
	sizes := map[string]float64{destinationsListed: float64(count)}
	report := func(figure string, value float64) {
		if record {
			play.Report(sizes, figure, value)
		}
	}
	list := destinationEntries(count)
	ids := messageIDs(destinationsMessages)
	driver := newDriver(k.newDecider(courierSettings(play.Seed, 2*count)), 0, len(ids))

	before := heapInUse()
	driver.step(0, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: list})
	report(destinationsFirstList, driver.stepDuration.Seconds())
	report(destinationsHeap, float64(heapInUse())-float64(before))
	report(destinationsInUse, float64(driver.inUse(list)))

	report(destinationsRelist, median(driver.resubmitList(list)))
	report(destinationsInUseAfterRelist, float64(driver.inUse(list)))

	took, effective := driver.toggleEndpoint(list)
	report(destinationsChange, median(took))
	report(destinationsChangesEffective, float64(effective))

	batches := destinationsBatches
	if play.Quick {
		batches = destinationsBatchesQuick
	}
	took, sent := driver.idleSteps(batches)
	report(destinationsStep, median(took))
	report(destinationsUnexpected, float64(sent+driver.counts.rejectedOrFailed+driver.counts.invalid))

	for number, id := range ids {
		driver.step(millisecond, driver.newMessage(id, number*(count/destinationsMessages)))
	}
	driver.step(millisecond)
	report(destinationsDelivered, float64(driver.counts.delivered))
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
	for range destinationsRelists {
		d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.CompleteList, Entries: list})
		took = append(took, d.stepDuration.Seconds())
	}
	return took
}

// toggleEndpoint drains one endpoint and returns it to service, in turn. It returns the duration of each step, in seconds,
// and the number of changes that took effect.
func (d *memoryDriver) toggleEndpoint(list []dispatch.EndpointEntry) (took []float64, effective int) {
	for number := range destinationsChanges {
		changed := list[len(list)/2]
		if number%2 == 0 {
			changed.Phase = dispatch.Draining
		}
		d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: []dispatch.EndpointEntry{changed}})
		took = append(took, d.stepDuration.Seconds())
		if used := d.inUse([]dispatch.EndpointEntry{changed}) == 1; used == (changed.Phase == dispatch.InService) {
			effective++
		}
	}
	d.step(millisecond, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Entries: []dispatch.EndpointEntry{list[len(list)/2]}})
	return took, effective
}

// idleSteps runs batches of steps of an idle courier. It returns the mean duration of a step in each batch, in seconds, and
// the number of attempts sent.
func (d *memoryDriver) idleSteps(batches int) (took []float64, sent int) {
	for range batches {
		var sum float64
		for range destinationsBatch {
			sent += d.step(millisecond, dispatch.TimerFired{})
			sum += d.stepDuration.Seconds()
		}
		took = append(took, sum/destinationsBatch)
	}
	return took, sent
}

func fitDestinations(results *Results) error {
	growing := []slopes.Model{slopes.Linear, slopes.Power}
	anyGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Linear, slopes.Power}
	constantOrPower := []slopes.Model{slopes.Constant, slopes.Power} // both stay positive when extrapolated beyond the measured sizes
	for _, curve := range []Curve{
		{Figure: destinationsHeap, About: "heap of the decision module for the known destinations", Unit: "bytes", Models: []slopes.Model{slopes.Linear}},
		{Figure: destinationsFirstList, About: "the step that handles the first list", Unit: "s", Models: growing},
		{Figure: destinationsRelist, About: "the step that handles the unchanged complete list", Unit: "s", Models: growing},
		{Figure: destinationsChange, About: "the step that handles one change of the list", Unit: "s", Models: anyGrowth},
		{Figure: destinationsStep, About: "a step of an idle courier", Unit: "s", Models: constantOrPower},
	} {
		curve.Name, curve.Over = curve.Figure, destinationsListed
		if err := results.Fit(curve); err != nil {
			return err
		}
	}
	return nil
}

// checkDestinations fails unless each listed destination is in use, before and after the list is resubmitted, each change
// takes effect, an idle courier neither sends nor ends a message, all messages are delivered, and a replay produces the same
// actions. A count that was not recorded passes.
func checkDestinations(results *Results) error {
	for _, point := range results.Points() {
		for _, expected := range []struct {
			figure string
			want   float64
		}{
			{destinationsInUse, point.Sizes[destinationsListed]},
			{destinationsInUseAfterRelist, point.Sizes[destinationsListed]},
			{destinationsChangesEffective, destinationsChanges},
			{destinationsUnexpected, 0},
			{destinationsDelivered, destinationsMessages},
			{destinationsReplayDiffers, 0},
		} {
			if err := equalCounts(point, expected.figure, expected.want); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
	}
	return nil
}
