package scale

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// resultsWithRatios returns results of hollow and real couriers with the given ratios. A ratio of 0 is not recorded.
func resultsWithRatios(t *testing.T, packets, bytes float64) *Results {
	t.Helper()
	return playOnce(t, func(play *Play) {
		for _, size := range []float64{10, 30} {
			report := func(figure string, value float64) { play.Report(map[string]float64{sizeCouriers: size}, figure, value) }
			report(figureHollowPackets, 10)
			report(figureHollowBytes, 1400)
			report(figureRealPackets, 10)
			if packets != 0 {
				report(ratioPackets, packets)
			}
			if bytes != 0 {
				report(ratioBytes, bytes)
			}
		}
	})
}

func TestSideBySideCheckRejectsInvalidResults(t *testing.T) {
	if err := checkSideBySide(resultsWithRatios(t, 1.02, 0.97)); err != nil {
		t.Errorf("similar sides: %v", err)
	}
	for what, results := range map[string]*Results{
		"twice the packets":     resultsWithRatios(t, 2, 1),
		"half of the bytes":     resultsWithRatios(t, 1, 0.5),
		"no ratio of bytes":     resultsWithRatios(t, 1, 0),
		"no results":            playOnce(t, func(*Play) {}),
		"a silent hollow fleet": playOnce(t, func(play *Play) { reportSilentFleet(play) }),
	} {
		if err := checkSideBySide(results); err == nil {
			t.Errorf("%s: check passed, want an error", what)
		}
	}
}

// reportSilentFleet reports the figures of a hollow fleet that sent nothing.
func reportSilentFleet(play *Play) {
	sizes := map[string]float64{sizeCouriers: 10}
	play.Report(sizes, figureHollowPackets, 0)
	play.Report(sizes, figureHollowBytes, 0)
}

// TestRatiosOfDifferentCosts checks that hollow members that send twice as much as real couriers fail the check.
func TestRatiosOfDifferentCosts(t *testing.T) {
	results := playOnce(t, func(play *Play) {
		report := func(figure string, value float64) { play.Report(map[string]float64{sizeCouriers: 10}, figure, value) }
		hollow := memberCost{packets: 20, bytes: 2800, processor: 1, memory: 1}
		actual := memberCost{packets: 10, bytes: 1400, processor: 0, memory: 4}
		hollow.report(report, figureHollowPackets, figureHollowBytes, figureHollowProcessor, figureHollowMemory)
		actual.report(report, figureRealPackets, figureRealBytes, figureRealProcessor, figureRealMemory)
		reportRatios(play, report, hollow, actual)
	})
	if err := checkSideBySide(results); err == nil || !strings.Contains(err.Error(), "ratio of hollow to real is 2.00") {
		t.Errorf("%v", err)
	}
	if err := fitSideBySide(results); err != nil || !strings.Contains(results.Verified, "packets 2.00 to 2.00") || !strings.Contains(results.Verified, "memory 0.25") {
		t.Errorf("%q, %v", results.Verified, err)
	}
	if len(results.missing) != 1 || results.missing[0].Figure != ratioProcessor {
		t.Errorf("missing figures: %+v", results.missing)
	}
}

// TestRealFleetWithoutBinaryFails checks that a play of real couriers fails if the binary does not exist.
func TestRealFleetWithoutBinaryFails(t *testing.T) {
	fleet := realFleet{binary: filepath.Join(t.TempDir(), "none"), size: 1, seed: 1, interval: comparedInterval, settle: time.Second, observe: time.Second}
	if _, err := fleet.play(context.Background()); err == nil {
		t.Error("a play without a courier binary succeeded")
	}
}

// TestStoppedRealCouriersAreCleanedUp checks that a play that is stopped while couriers run ends within 50 s and leaves no
// processes and files.
func TestStoppedRealCouriersAreCleanedUp(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pineport")
	if out, err := exec.Command("go", "build", "-o", binary, "pineport/cmd/pineport").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	folder := t.TempDir()
	t.Setenv("TMPDIR", folder)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	seen := make(chan int, 1)
	go func() {
		defer stop()
		most := 0
		for end := time.Now().Add(20 * time.Second); most < 3 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			most = max(most, processesOf(binary))
		}
		time.Sleep(time.Second)
		seen <- most
	}()
	fleet := realFleet{binary: binary, size: 3, seed: 1, membership: true, interval: comparedInterval, settle: time.Minute, observe: time.Minute}
	begun := time.Now()
	if _, err := fleet.play(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if most := <-seen; most != 3 {
		t.Errorf("saw %d running couriers, want 3", most)
	}
	if took := time.Since(begun); took > 50*time.Second {
		t.Errorf("the play ended after %v", took)
	}
	if left := processesOf(binary); left != 0 {
		t.Errorf("%d couriers are still running", left)
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) != 0 {
		t.Errorf("temporary files left: %v, %v", left, err)
	}
}

// processesOf counts the running processes of a binary.
func processesOf(binary string) (n int) {
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		return 0
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == binary {
			n++
		}
	}
	return n
}
