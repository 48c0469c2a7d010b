package scale

import (
	"context"
	"maps"
	"strings"
	"testing"

	"pineport/quota"
	"pineport/testbed/slopes"
)

// validSharing returns results that pass the check, at one size of each form of the experiment.
func validSharing() *Results {
	r := &Results{run: "sharing", plays: 1, points: map[string]*slopes.Point{}}
	receiver := receiverSize{defaultRoutes, defaultHeard}.sizes()
	for figure, value := range map[string]float64{figureRoutes: defaultRoutes, figureSamples: maxKeptSamples, figureLargest: 980} {
		r.add(receiver, figure, value)
	}
	fleet := map[string]float64{sizeCouriers: 10, sizeRoutes: fleetRoutes}
	for figure, value := range map[string]float64{figureLargest: 1000, figureOverGranted: 0, figureMalformed: 0, figureLeases: 500, figureHeard: 8} {
		r.add(fleet, figure, value)
	}
	return r
}

func TestSharingCheckRejectsInvalidResults(t *testing.T) {
	if err := checkSharing(validSharing()); err != nil {
		t.Fatalf("valid results: %v", err)
	}
	for figure, wrong := range map[string]float64{
		figureRoutes: maxKeptRoutes + 1, figureSamples: maxKeptSamples + 1, figureLargest: maxPacketBytes + 1,
		figureOverGranted: 1, figureMalformed: 1, figureLeases: 0, figureHeard: 0,
	} {
		r := validSharing()
		for _, point := range r.points {
			if _, ok := point.Values[figure]; ok {
				point.Values[figure] = []float64{wrong}
			}
		}
		if err := checkSharing(r); err == nil || !strings.Contains(err.Error(), figure+": ") {
			t.Errorf("%s = %v: got error %v", figure, wrong, err)
		}
		r = validSharing()
		for _, point := range r.points {
			delete(point.Values, figure)
		}
		if err := checkSharing(r); err == nil || !strings.Contains(err.Error(), figure+" was not counted") {
			t.Errorf("without %s: got error %v", figure, err)
		}
	}
}

// TestSharingRunIsDeterministic checks that the counts of a quick run, and so its verdict, depend on the seed alone.
func TestSharingRunIsDeterministic(t *testing.T) {
	counted := func() map[string][]float64 {
		run, err := Run(context.Background(), sharingExperiment(), Options{Quick: true, Seed: 5})
		if err != nil {
			t.Fatal(err)
		}
		all := map[string][]float64{}
		for _, point := range run.Points {
			for _, figure := range []string{figureRoutes, figureSamples, figureLargest, figureOverGranted, figureMalformed, figureLeases, figureHeard, figureByteRate, figureUseRatio} {
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
		t.Errorf("two runs with the same seed differ:\n%v\n%v", first, second)
	}
	for _, ratio := range first[figureUseRatio] {
		if ratio < 0.5 || ratio > 1.1 {
			t.Errorf("in fleets of at most 30 couriers, a courier knows a share of %v of the usage of others, want 0.5 to 1.1", ratio)
		}
	}
}

// TestSharingDetectsOverGranting checks that observations detect shares that exceed a limit. Couriers that expect half the
// fleet size each take twice their share.
func TestSharingDetectsOverGranting(t *testing.T) {
	for expected, want := range map[int]bool{10: false, 5: true} {
		f := newSharingFleet(10, 1)
		f.expected = expected
		f.run(context.Background(), sharingEnd)
		if f.err != nil || f.observations == 0 {
			t.Fatalf("%v, %d observations", f.err, f.observations)
		}
		if over := f.overGranted > 0; over != want {
			t.Errorf("%d of 10 couriers expected: %d observations with shares above the limit", expected, f.overGranted)
		}
	}
}

func TestSharingCountsMalformedPackets(t *testing.T) {
	f := newSharingFleet(2, 1)
	text, err := quota.Encode(quota.Packet{From: f.names[1]})
	if err != nil {
		t.Fatal(err)
	}
	f.receive(f.sharers[0], text)
	if f.malformed != 0 {
		t.Error("a valid packet was counted as malformed")
	}
	f.receive(f.sharers[0], text[:len(text)-1])
	if f.malformed != 1 {
		t.Errorf("got %d malformed packets, want 1", f.malformed)
	}
}

func TestSharingStopsOnCancel(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	f := newSharingFleet(10, 1)
	f.schedule(sharingWarmUp/2, stop)
	f.run(ctx, sharingEnd)
	if f.err != context.Canceled || f.now > sharingWarmUp/2 {
		t.Errorf("stopped at %d: %v", f.now, f.err)
	}
}
