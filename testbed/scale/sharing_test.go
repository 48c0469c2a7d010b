package scale

import (
	"context"
	"maps"
	"strings"
	"testing"

	"pineport/quota"
	"pineport/testbed/slopes"
)

// soundSharing are results that pass the check, at one size of each form.
func soundSharing() *Results {
	r := &Results{run: "sharing", plays: 1, point: map[string]*slopes.Point{}}
	listening := listener{usualRoutes, usualHeard}.sizes()
	for figure, value := range map[string]float64{figureRoutes: usualRoutes, figureCounts: mostSharedCounts, figureLargest: 980} {
		r.add(listening, figure, value)
	}
	fleet := map[string]float64{sizeCouriers: 10, sizeRoutes: fleetRoutes}
	for figure, value := range map[string]float64{figureLargest: 1000, figureOverGranted: 0, figureSpoilt: 0, figureLeases: 500, figureHeard: 8} {
		r.add(fleet, figure, value)
	}
	return r
}

func TestSharingCheckTellsEachFault(t *testing.T) {
	if err := checkSharing(soundSharing()); err != nil {
		t.Fatalf("sound results: %v", err)
	}
	for figure, wrong := range map[string]float64{
		figureRoutes: mostSharedRoutes + 1, figureCounts: mostSharedCounts + 1, figureLargest: mostPacketBytes + 1,
		figureOverGranted: 1, figureSpoilt: 1, figureLeases: 0, figureHeard: 0,
	} {
		r := soundSharing()
		for _, point := range r.point {
			if _, ok := point.Values[figure]; ok {
				point.Values[figure] = []float64{wrong}
			}
		}
		if err := checkSharing(r); err == nil || !strings.Contains(err.Error(), figure+": ") {
			t.Errorf("%s of %v: %v", figure, wrong, err)
		}
		r = soundSharing()
		for _, point := range r.point {
			delete(point.Values, figure)
		}
		if err := checkSharing(r); err == nil || !strings.Contains(err.Error(), figure+" was not counted") {
			t.Errorf("without %s: %v", figure, err)
		}
	}
}

// TestSharingCountsTheSame: what a quick run counts, and so its verdict, goes by the seed alone.
func TestSharingCountsTheSame(t *testing.T) {
	counted := func() map[string][]float64 {
		run, err := Run(context.Background(), sharingExperiment(), Options{Quick: true, Seed: 5})
		if err != nil {
			t.Fatal(err)
		}
		all := map[string][]float64{}
		for _, point := range run.Points {
			for _, figure := range []string{figureRoutes, figureCounts, figureLargest, figureOverGranted, figureSpoilt, figureLeases, figureHeard, figureBytes, figureUseKnown} {
				all[figure] = append(all[figure], point.Values[figure]...)
			}
		}
		return all
	}
	first, second := counted(), counted()
	if !maps.EqualFunc(first, second, func(a, b []float64) bool {
		for i := range a {
			if a[i] != b[i] {
				return false
			}
		}
		return len(a) == len(b)
	}) {
		t.Errorf("two runs of one seed:\n%v\n%v", first, second)
	}
	for _, ratio := range first[figureUseKnown] {
		if ratio < 0.5 || ratio > 1.1 {
			t.Errorf("in a fleet of 30 at most, a courier has heard of %v of the others' use", ratio)
		}
	}
}

// TestSharingSeesTooMuchGranted: couriers that expect half of the fleet each take twice their part, and the samples show it.
func TestSharingSeesTooMuchGranted(t *testing.T) {
	for expected, want := range map[int]bool{10: false, 5: true} {
		f := newSharingFleet(10, 1)
		f.expected = expected
		f.run(context.Background(), sharingLasts)
		if f.fault != nil || f.samples == 0 {
			t.Fatalf("%v, %d samples", f.fault, f.samples)
		}
		if over := f.overGranted > 0; over != want {
			t.Errorf("%d of 10 couriers expected: %d instants with more granted than there is", expected, f.overGranted)
		}
	}
}

func TestSharingCountsSpoiltPackets(t *testing.T) {
	f := newSharingFleet(2, 1)
	text, err := quota.Encode(quota.Packet{From: f.names[1]})
	if err != nil {
		t.Fatal(err)
	}
	f.hear(f.sharers[0], text)
	if f.spoilt != 0 {
		t.Error("a sound packet counts as malformed")
	}
	f.hear(f.sharers[0], text[:len(text)-1])
	if f.spoilt != 1 {
		t.Errorf("%d malformed packets", f.spoilt)
	}
}

func TestSharingStops(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	f := newSharingFleet(10, 1)
	f.after(sharingWarmUp/2, stop)
	f.run(ctx, sharingLasts)
	if f.fault != context.Canceled || f.now > sharingWarmUp/2 {
		t.Errorf("stopped at %d: %v", f.now, f.fault)
	}
}
