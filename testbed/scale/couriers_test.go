package scale

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pineport/testbed/netfault"
)

// validFleet reports plausible figures of a fleet of ten members.
func validFleet(play *Play) recorder {
	report := recorderOf(play, fleetSize{members: 10, interval: quickInterval})
	report(figurePackets, 2)
	report(figureExchanges, 1.0/exchangeIntervals)
	report(figureUnderestimates, 0)
	return report
}

// playOnce runs measure as an experiment and returns the recorded results.
func playOnce(t *testing.T, measure func(play *Play)) *Results {
	t.Helper()
	var results *Results
	experiment := Experiment{Name: "stand-in", Measure: func(_ context.Context, play *Play) error {
		results = play.results
		measure(play)
		return nil
	}}
	if _, err := Run(context.Background(), experiment, Options{Quick: true}); err != nil {
		t.Fatal(err)
	}
	return results
}

func TestFleetCheckRejectsInvalidResults(t *testing.T) {
	if err := checkFleets(playOnce(t, func(play *Play) { validFleet(play) })); err != nil {
		t.Errorf("valid fleet: %v", err)
	}
	for want, wrong := range map[string]func(report recorder){
		"0.20 packets":           func(report recorder) { report(figurePackets, 0.2) },
		"60.00 packets":          func(report recorder) { report(figurePackets, 60) },
		"no full exchange":       func(report recorder) { report(figureExchanges, 0) },
		"assumed fewer couriers": func(report recorder) { report(figureUnderestimates, 3) },
		"no fleet was observed?": nil,
	} {
		results := playOnce(t, func(play *Play) {
			if wrong != nil {
				wrong(validFleet(play))
			}
		})
		if err := checkFleets(results); err == nil || !strings.Contains(err.Error(), strings.TrimSuffix(want, "?")) {
			t.Errorf("got error %v, want %q", err, want)
		}
	}
}

func TestViewAndExchangeChecksRejectInvalidResults(t *testing.T) {
	report := func(kept, estimated, again float64) *Results {
		return playOnce(t, func(play *Play) {
			sizes := map[string]float64{sizeNames: 100}
			play.Report(sizes, figureNamesKept, kept)
			play.Report(sizes, figureEstimated, estimated)
			play.Report(sizes, figureEstimatedAgain, again)
		})
	}
	if err := checkViews(report(99, 100, 100)); err != nil {
		t.Errorf("valid view: %v", err)
	}
	if err := checkViews(report(50, 100, 180)); err != nil {
		t.Errorf("view that evicted names and estimates more couriers: %v", err)
	}
	for what, results := range map[string]*Results{
		"nothing":                        playOnce(t, func(*Play) {}),
		"fewer":                          report(50, 99, 100),
		"underestimates the fleet later": report(50, 100, 99),
		"overestimates the fleet without evictions": report(99, 100, 101),
	} {
		if checkViews(results) == nil {
			t.Errorf("views, %s: check passed, want an error", what)
		}
	}
	if checkExchangeLimit(playOnce(t, func(*Play) {})) == nil {
		t.Error("no exchange tried: check passed, want an error")
	}
	short := playOnce(t, func(play *Play) {
		play.Report(map[string]float64{sizeTried: maxIncarnationsTried}, figureIncarnationsAccepted, maxIncarnationsSent-1)
	})
	if checkExchangeLimit(short) == nil {
		t.Error("limit below the largest map that a member sends: check passed, want an error")
	}
}

// TestPartitionedFleetTimesOut checks that a measurement fails if the members cannot reach each other. Otherwise a
// partitioned fleet would be measured as an idle one.
func TestPartitionedFleetTimesOut(t *testing.T) {
	fleet := newHollowFleet(4, quickInterval, 1)
	defer fleet.close()
	fleet.timeout = time.Second
	fleet.mesh.Begin(netfault.Fault{Kind: "cut", From: []int{0, 1}})
	if err := fleet.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.awaitComplete(context.Background()); err == nil || !strings.Contains(err.Error(), "4 of 4 members did not know") {
		t.Errorf("%v", err)
	}
}

// TestTrafficIsCounted checks that packets, streams and their bytes are counted, and that the sizes are plausible: on average
// at most 1400 bytes per packet, the UDP buffer size of memberlist, and at least 200 bytes per stream.
func TestTrafficIsCounted(t *testing.T) {
	fleet := newHollowFleet(5, quickInterval, 1)
	defer fleet.close()
	if err := fleet.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.awaitComplete(context.Background()); err != nil {
		t.Fatal(err)
	}
	sent := fleet.traffic.read()
	if sent.packets == 0 || sent.streams == 0 || sent.packetBytes/sent.packets > 1400 || sent.streamBytes/sent.streams < 200 {
		t.Errorf("%+v", sent)
	}
}

// TestExchangeLimitIsFound checks by full exchanges that the decoder in membership/gossip accepts maps of at most 8192 pairs
// (MaxMapPairs).
func TestExchangeLimitIsFound(t *testing.T) {
	peer, err := newExchangePeer(1)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.close()
	for _, try := range []struct {
		incarnations int
		accepted     bool
	}{{1, true}, {8193, false}, {maxIncarnationsSent, true}, {8192, true}, {maxIncarnationsTried, false}} {
		if accepted, err := peer.accepts(try.incarnations); err != nil || accepted != try.accepted {
			t.Errorf("%d incarnations: accepted %v, error %v", try.incarnations, accepted, err)
		}
	}
}

// expectNoGoroutines waits up to 20 s for the goroutines of the failure detector to end, and fails if any remain.
func expectNoGoroutines(t *testing.T, ignored ...goleak.Option) {
	t.Helper()
	var left error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if left = goleak.Find(ignored...); left == nil {
			return
		}
	}
	t.Error(left)
}

// TestStoppedCouriersRunLeavesNoGoroutines checks that a run that is stopped while members communicate ends within 20 s and
// stops all members.
func TestStoppedCouriersRunLeavesNoGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	begun := time.Now()
	run, err := Run(ctx, couriersExperiment(), Options{Seed: 1})
	if !errors.Is(err, context.DeadlineExceeded) || len(run.Points) > 0 {
		t.Errorf("stopped run: got error %v, run %+v", err, run)
	}
	if took := time.Since(begun); took > 20*time.Second {
		t.Errorf("the run ended after %v", took)
	}
	expectNoGoroutines(t, before)
}

// TestCouriersFitAllSlopes checks that a run fits all its slopes, over all sizes, and that the fits recover the generated
// curves.
func TestCouriersFitAllSlopes(t *testing.T) {
	results := playOnce(t, func(play *Play) {
		for _, size := range fleetSizes(false) {
			report := recorderOf(play, size)
			for _, figure := range []string{figurePackets, figurePacketBytes, figureExchangeBytes, figureExchangeSize, figureProcessor, figureHeap,
				figureDeathHalf, figureDeathAll, figureZoneDeath, figureZoneReturn} {
				report(figure, 3*float64(size.members))
			}
		}
		recorderOf(play, comparedFleet)(figurePackets, 180)
		for _, names := range viewSizes(false) {
			for _, figure := range []string{figureReport, figureTick, figureSnapshot, figureViewHeap} {
				play.Report(viewSizeOf(names), figure, 2*float64(names))
			}
		}
	})
	results.run = "couriers"
	if err := fitCouriers(results); err != nil {
		t.Fatal(err)
	}
	if len(results.missing) != 1 || !strings.Contains(results.missing[0].Why, figurePackets+" 2.00") {
		t.Errorf("ratios of the heartbeat intervals: %+v", results.missing)
	}
	for _, slope := range results.fitted {
		if slope.Over == sizeMembers && slope.Points != len(fleetSizes(false)) {
			t.Errorf("%s: fitted to %d points", slope.Name, slope.Points)
		}
		if slope.Name == "couriers.packets" && (slope.At(500) < 1499 || slope.At(500) > 1501) {
			t.Errorf("packets at 500: %v", slope.At(500))
		}
		if slope.Name == "couriers.view.word.beyond" && slope.From <= maxNamesKept {
			t.Errorf("the slope beyond the names kept starts at %v", slope.From)
		}
	}
}

func TestExchangePeriod(t *testing.T) {
	for members, want := range map[int]int{2: 15, 32: 15, 33: 30, 64: 30, 100: 45, 300: 75, 1000: 90} {
		if got := exchangePeriod(members); got != want {
			t.Errorf("%d members: got %d intervals, want %d", members, got, want)
		}
	}
}
