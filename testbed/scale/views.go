package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"runtime"
	"time"

	"pineport/membership"
)

// Figures and settings of the membership view without a network.
const (
	figureReport         = "word_s"
	figureTick           = "tick_s"
	figureSnapshot       = "look_s"
	figureViewHeap       = "view_heap_bytes"
	figureNamesKept      = "names_kept"
	figureEstimated      = "reckoned"        // estimated fleet size after one report about each other courier
	figureEstimatedAgain = "reckoned_again"  // estimated fleet size after repeatedReports reports about random couriers
	viewTickMicros       = 200 * 1000        // microseconds between ticks, as at a heartbeat interval of 1 s
	viewSpan             = time.Second / 5   // time for which each operation is repeated
	viewSpanQuick        = time.Second / 100 // the same in a quick run
	minRepetitions       = 20                // least number of repetitions
	repeatedReports      = 1000
)

// maxNamesKept is the largest number of members that a view keeps (maxNames in package membership). Beyond it, each report of
// an evicted member costs a search for another member to evict, so these sizes have curves of their own.
const maxNamesKept = 4096

// totalViewNames is the number of names in all views whose heap is measured together. Several small views are measured at
// once, because the heap of one is too small for a reliable reading.
const totalViewNames = 8000

func viewSizes(quick bool) []int {
	if quick {
		return []int{100, 1000, 4200}
	}
	return []int{100, 1000, 4000, 4500, 6000, 11000}
}

func measureViews(ctx context.Context, play *Play) error {
	for _, names := range viewSizes(play.Quick) {
		if err := ctx.Err(); err != nil {
			return err
		}
		measureView(play, names)
	}
	return nil
}

// viewSizeOf returns the sizes of a view of a fleet: the number of names, and sizeForgotten if it cannot keep all of them.
func viewSizeOf(names int) map[string]float64 {
	sizes := map[string]float64{sizeNames: float64(names)}
	if forgotten := names - 1 - maxNamesKept; forgotten > 0 {
		sizes[sizeViewOverCapacity] = 1
	}
	return sizes
}

// measureView measures the view of one courier in a fleet of the given number of couriers, itself included.
func measureView(play *Play, names int) {
	sizes := viewSizeOf(names)
	report := func(figure string, value float64) { play.Report(sizes, figure, value) }
	heapBefore := heapInUse()
	views := make([]*viewDriver, max(1, totalViewNames/names))
	for i := range views {
		views[i] = newViewDriver(names, play.Seed)
		views[i].reportAll()
	}
	report(figureViewHeap, (float64(heapInUse())-float64(heapBefore))/float64(len(views)))
	driver := views[0]
	report(figureEstimated, float64(driver.view.EstimatedSize()))
	report(figureNamesKept, float64(len(driver.view.Snapshot().Members)))
	for range repeatedReports {
		driver.reportRandom()
	}
	report(figureEstimatedAgain, float64(driver.view.EstimatedSize()))

	span := viewSpan
	if play.Quick {
		span = viewSpanQuick
	}
	report(figureReport, timePerCall(span, driver.reportRandom))
	report(figureTick, timePerCall(span, driver.tick))
	report(figureSnapshot, timePerCall(span, func() { driver.view.Snapshot() }))
	runtime.KeepAlive(views)
}

// timePerCall returns the mean duration of step in seconds, repeated for the given time.
func timePerCall(span time.Duration, step func()) float64 {
	begun, calls := time.Now(), 0
	for calls < minRepetitions || time.Since(begun) < span {
		step()
		calls++
	}
	return time.Since(begun).Seconds() / float64(calls)
}

// viewDriver is a membership view with a stand-in for the failure detector.
type viewDriver struct {
	view  *membership.Membership
	rng   *rand.Rand
	now   membership.Micros
	names int
}

func newViewDriver(names int, seed int64) *viewDriver {
	config := membership.Config{Self: courierName(0), Incarnation: 1, FleetSize: names, Tick: viewTickMicros, Seed: seed}
	return &viewDriver{view: membership.New(config), rng: rand.New(rand.NewSource(seed)), names: names}
}

func courierName(i int) membership.Name { return membership.Name(fmt.Sprintf("courier-%05d", i)) }

// reportAlive reports to the view that a courier is alive.
func (h *viewDriver) reportAlive(i int) {
	h.now++
	h.view.Handle(h.now, membership.MemberReported{Name: courierName(i), Incarnation: 1, State: membership.Alive, Zone: "a", Address: "10.0.0.1:7000"})
}

// reportAll reports all other couriers, one by one.
func (h *viewDriver) reportAll() {
	for i := 1; i < h.names; i++ {
		h.reportAlive(i)
	}
}

// reportRandom reports a random other courier.
func (h *viewDriver) reportRandom() { h.reportAlive(1 + h.rng.Intn(h.names-1)) }

func (h *viewDriver) tick() {
	h.now += viewTickMicros
	h.view.Handle(h.now, membership.Tick{})
}

// checkViews fails if a view estimates a smaller fleet than there is, or a wrong size although it keeps every name.
func checkViews(results *Results) error {
	sizes, estimated := results.Values(figureEstimated, sizeNames, nil)
	_, again := results.Values(figureEstimatedAgain, sizeNames, nil)
	_, kept := results.Values(figureNamesKept, sizeNames, nil)
	if len(sizes) == 0 {
		return errors.New("no view was measured")
	}
	var faults []error
	for i, size := range sizes {
		if estimated[i] < size || again[i] < size {
			faults = append(faults, fmt.Errorf("a view of %v couriers estimates %v couriers, then %v", size, estimated[i], again[i]))
		}
		if kept[i] == size-1 && (estimated[i] != size || again[i] != size) {
			faults = append(faults, fmt.Errorf("a view that keeps all %v other names estimates %v couriers, then %v", kept[i], estimated[i], again[i]))
		}
	}
	return errors.Join(faults...)
}
