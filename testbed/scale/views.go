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

// Figures of the view by itself.
const (
	figureWord      = "word_s"
	figureTick      = "tick_s"
	figureLook      = "look_s"
	figureViewHeap  = "view_heap_bytes"
	figureKept      = "names_kept"
	figureEstimated = "reckoned"        // couriers that it counts on after it heard of each other one once
	figureAgain     = "reckoned_again"  // after it heard of wordsAgain that are drawn once more
	viewTick        = 200 * 1000        // microseconds between ticks, as at a pace of 1 s
	viewSpan        = time.Second / 5   // for which each step is repeated
	viewSpanQuick   = time.Second / 100 // in a quick run
	viewAtLeast     = 20                // repetitions
	wordsAgain      = 1000
)

// namesKept is what a view keeps at most, as membership bounds it. Beyond, each word on a forgotten name costs a search for another
// one to be forgotten, so those sizes make curves of their own.
const namesKept = 4096

// viewsAtOnce is how many names views hold together while their heap is measured, so that small ones can be weighed.
const viewsAtOnce = 8000

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

// viewPoint is the size of a view of a fleet: its names, and 1 where it cannot keep all of them.
func viewPoint(names int) map[string]float64 {
	sizes := map[string]float64{sizeNames: float64(names)}
	if forgotten := names - 1 - namesKept; forgotten > 0 {
		sizes[sizeForgotten] = 1
	}
	return sizes
}

// measureView measures a view of a fleet of so many couriers, this one included.
func measureView(play *Play, names int) {
	sizes := viewPoint(names)
	report := func(figure string, value float64) { play.Report(sizes, figure, value) }
	heapBefore := heapInUse()
	views := make([]*hearing, max(1, viewsAtOnce/names))
	for i := range views {
		views[i] = newHearing(names, play.Seed)
		views[i].hearAll()
	}
	report(figureViewHeap, (float64(heapInUse())-float64(heapBefore))/float64(len(views)))
	hearing := views[0]
	report(figureEstimated, float64(hearing.view.EstimatedSize()))
	report(figureKept, float64(len(hearing.view.Snapshot().Members)))
	for range wordsAgain {
		hearing.hearAny()
	}
	report(figureAgain, float64(hearing.view.EstimatedSize()))

	span := viewSpan
	if play.Quick {
		span = viewSpanQuick
	}
	report(figureWord, timeOf(span, hearing.hearAny))
	report(figureTick, timeOf(span, hearing.tick))
	report(figureLook, timeOf(span, func() { hearing.view.Snapshot() }))
	runtime.KeepAlive(views)
}

// timeOf is how long a step takes, in seconds, over repetitions for a span.
func timeOf(span time.Duration, step func()) float64 {
	begun, times := time.Now(), 0
	for times < viewAtLeast || time.Since(begun) < span {
		step()
		times++
	}
	return time.Since(begun).Seconds() / float64(times)
}

// hearing is a view that a detector talks to.
type hearing struct {
	view  *membership.Membership
	rng   *rand.Rand
	now   membership.Micros
	names int
}

func newHearing(names int, seed int64) *hearing {
	terms := membership.Config{Self: courierName(0), Incarnation: 1, FleetSize: names, Tick: viewTick, Seed: seed}
	return &hearing{view: membership.New(terms), rng: rand.New(rand.NewSource(seed)), names: names}
}

func courierName(i int) membership.Name { return membership.Name(fmt.Sprintf("courier-%05d", i)) }

// hear has the view hear that a courier is alive.
func (h *hearing) hear(i int) {
	h.now++
	h.view.Handle(h.now, membership.MemberReported{Name: courierName(i), Incarnation: 1, State: membership.Alive, Zone: "a", Address: "10.0.0.1:7000"})
}

// hearAll has it hear of all others, one after the other.
func (h *hearing) hearAll() {
	for i := 1; i < h.names; i++ {
		h.hear(i)
	}
}

// hearAny has it hear of one that is drawn.
func (h *hearing) hearAny() { h.hear(1 + h.rng.Intn(h.names-1)) }

func (h *hearing) tick() {
	h.now += viewTick
	h.view.Handle(h.now, membership.Tick{})
}

// checkViews: a view never counts on fewer than there are, and with just as many where it keeps every name.
func checkViews(results *Results) error {
	sizes, estimated := results.Values(figureEstimated, sizeNames, nil)
	_, again := results.Values(figureAgain, sizeNames, nil)
	_, kept := results.Values(figureKept, sizeNames, nil)
	if len(sizes) == 0 {
		return errors.New("no view was measured")
	}
	var faults []error
	for i, size := range sizes {
		if estimated[i] < size || again[i] < size {
			faults = append(faults, fmt.Errorf("a view of %v couriers reckons with %v, then %v", size, estimated[i], again[i]))
		}
		if kept[i] == size-1 && (estimated[i] != size || again[i] != size) {
			faults = append(faults, fmt.Errorf("a view that keeps all %v other names reckons with %v, then %v", kept[i], estimated[i], again[i]))
		}
	}
	return errors.Join(faults...)
}
