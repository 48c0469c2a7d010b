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

// soundFleet messages what a sound fleet of ten might have been counted.
func soundFleet(play *Play) recorder {
	report := recorderOf(play, fleetSize{members: 10, pace: quickPace})
	report(figurePackets, 2)
	report(figureExchanges, 1.0/exchangePaces)
	report(figureFewer, 0)
	return report
}

// played returns the results of what a play recorded.
func played(t *testing.T, measure func(play *Play)) *Results {
	t.Helper()
	var kept *Results
	experiment := Experiment{Name: "stand-in", Measure: func(_ context.Context, play *Play) error {
		kept = play.results
		measure(play)
		return nil
	}}
	if _, err := Run(context.Background(), experiment, Options{Quick: true}); err != nil {
		t.Fatal(err)
	}
	return kept
}

func TestChecksOfFleetsFail(t *testing.T) {
	if err := checkFleets(played(t, func(play *Play) { soundFleet(play) })); err != nil {
		t.Errorf("a sound fleet: %v", err)
	}
	for want, wrong := range map[string]func(report recorder){
		"0.20 packets":           func(report recorder) { report(figurePackets, 0.2) },
		"60.00 packets":          func(report recorder) { report(figurePackets, 60) },
		"no full exchange":       func(report recorder) { report(figureExchanges, 0) },
		"reckoned with fewer":    func(report recorder) { report(figureFewer, 3) },
		"no fleet was observed?": nil,
	} {
		results := played(t, func(play *Play) {
			if wrong != nil {
				wrong(soundFleet(play))
			}
		})
		if err := checkFleets(results); err == nil || !strings.Contains(err.Error(), strings.TrimSuffix(want, "?")) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestChecksOfViewsAndStartsFail(t *testing.T) {
	report := func(kept, estimated, again float64) *Results {
		return played(t, func(play *Play) {
			sizes := map[string]float64{sizeNames: 100}
			play.Report(sizes, figureKept, kept)
			play.Report(sizes, figureEstimated, estimated)
			play.Report(sizes, figureAgain, again)
		})
	}
	if err := checkViews(report(99, 100, 100)); err != nil {
		t.Errorf("a sound view: %v", err)
	}
	if err := checkViews(report(50, 100, 180)); err != nil {
		t.Errorf("a view that forgot, and counts on more: %v", err)
	}
	for what, results := range map[string]*Results{
		"nothing":             played(t, func(*Play) {}),
		"fewer":               report(50, 99, 100),
		"fewer later":         report(50, 100, 99),
		"more without reason": report(99, 100, 101),
	} {
		if checkViews(results) == nil {
			t.Errorf("views, %s: passed", what)
		}
	}
	if checkExchangeLimit(played(t, func(*Play) {})) == nil {
		t.Error("no exchange tried: passed")
	}
	short := played(t, func(play *Play) {
		play.Report(map[string]float64{sizeTried: mostStartsTried}, figureStartsTaken, keptStarts-1)
	})
	if checkExchangeLimit(short) == nil {
		t.Error("a map shorter than what is notified: passed")
	}
}

// TestDeafNetworkFails: members that cannot hear each other fail the measurement; it does not pass for a quiet fleet.
func TestDeafNetworkFails(t *testing.T) {
	fleet := newHollowFleet(4, quickPace, 1)
	defer fleet.close()
	fleet.patience = time.Second
	fleet.mesh.Begin(netfault.Fault{Kind: "cut", From: []int{0, 1}})
	if err := fleet.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.awaitWhole(context.Background()); err == nil || !strings.Contains(err.Error(), "4 of 4 members did not know") {
		t.Errorf("%v", err)
	}
}

// TestTrafficIsCounted: packets, streams and the bytes of both are seen, and a full exchange is larger than a packet.
func TestTrafficIsCounted(t *testing.T) {
	fleet := newHollowFleet(5, quickPace, 1)
	defer fleet.close()
	if err := fleet.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.awaitWhole(context.Background()); err != nil {
		t.Fatal(err)
	}
	sent := fleet.traffic.read()
	if sent.packets == 0 || sent.streams == 0 || sent.packetBytes/sent.packets > 1400 || sent.streamBytes/sent.streams < 200 {
		t.Errorf("%+v", sent)
	}
}

// TestExchangeLimitIsFound: the decoder's bound of membership/gossip, found from outside.
func TestExchangeLimitIsFound(t *testing.T) {
	teller, err := newStartsTeller(1)
	if err != nil {
		t.Fatal(err)
	}
	defer teller.close()
	for _, try := range []struct {
		starts int
		taken  bool
	}{{1, true}, {8193, false}, {keptStarts, true}, {8192, true}, {mostStartsTried, false}} {
		if taken, err := teller.takes(try.starts); err != nil || taken != try.taken {
			t.Errorf("%d starts: taken %v, %v", try.starts, taken, err)
		}
	}
}

// noGoroutineLeft waits until what the detector has under way runs out.
func noGoroutineLeft(t *testing.T, but ...goleak.Option) {
	t.Helper()
	var left error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if left = goleak.Find(but...); left == nil {
			return
		}
	}
	t.Error(left)
}

// TestStoppedCouriersLeaveNothing: a run that is stopped while members talk ends soon, with all of them.
func TestStoppedCouriersLeaveNothing(t *testing.T) {
	before := goleak.IgnoreCurrent()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	begun := time.Now()
	run, err := Run(ctx, couriersExperiment(), Options{Seed: 1})
	if !errors.Is(err, context.DeadlineExceeded) || len(run.Points) > 0 {
		t.Errorf("%v, %+v", err, run)
	}
	if took := time.Since(begun); took > 20*time.Second {
		t.Errorf("it took %v to end", took)
	}
	noGoroutineLeft(t, before)
}

// TestFitNamesAllSlopes: every slope that the page reads is there, of points over a decade, with the curves that were drawn.
func TestFitNamesAllSlopes(t *testing.T) {
	results := played(t, func(play *Play) {
		for _, size := range fleetSizes(false) {
			report := recorderOf(play, size)
			for _, figure := range []string{figurePackets, figurePacketBytes, figureExchangeBytes, figureExchangeSize, figureProcessor, figureHeap,
				figureDeathHalf, figureDeathAll, figureZoneDeath, figureZoneReturn} {
				report(figure, 3*float64(size.members))
			}
		}
		recorderOf(play, comparedFleet)(figurePackets, 180)
		for _, names := range viewSizes(false) {
			for _, figure := range []string{figureWord, figureTick, figureLook, figureViewHeap} {
				play.Report(viewPoint(names), figure, 2*float64(names))
			}
		}
	})
	results.run = "couriers"
	if err := fitCouriers(results); err != nil {
		t.Fatal(err)
	}
	if len(results.gaps) != 1 || !strings.Contains(results.gaps[0].Why, figurePackets+" 2.00") {
		t.Errorf("how the paces compare: %+v", results.gaps)
	}
	for _, slope := range results.fits {
		if slope.Over == sizeMembers && slope.Points != len(fleetSizes(false)) {
			t.Errorf("%s: of %d points", slope.Name, slope.Points)
		}
		if slope.Name == "couriers.packets" && (slope.At(500) < 1499 || slope.At(500) > 1501) {
			t.Errorf("packets at 500: %v", slope.At(500))
		}
		if slope.Name == "couriers.view.word.beyond" && slope.From <= namesKept {
			t.Errorf("words beyond the names kept begin at %v", slope.From)
		}
	}
}

func TestExchangePeriod(t *testing.T) {
	for members, want := range map[int]int{2: 15, 32: 15, 33: 30, 64: 30, 100: 45, 300: 75, 1000: 90} {
		if got := exchangePeriod(members); got != want {
			t.Errorf("%d members: %d paces, not %d", members, got, want)
		}
	}
}
