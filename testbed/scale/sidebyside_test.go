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

// recordedPlay is a play of hollow and real couriers with ratios as given; nought leaves one out.
func recordedPlay(t *testing.T, packets, bytes float64) *Results {
	t.Helper()
	return played(t, func(play *Play) {
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

func TestChecksOfRatiosFail(t *testing.T) {
	if err := checkSideBySide(recordedPlay(t, 1.02, 0.97)); err != nil {
		t.Errorf("sides that are alike: %v", err)
	}
	for what, results := range map[string]*Results{
		"twice the packets":     recordedPlay(t, 2, 1),
		"half of the bytes":     recordedPlay(t, 1, 0.5),
		"no ratio of bytes":     recordedPlay(t, 1, 0),
		"nothing at all":        played(t, func(*Play) {}),
		"a silent hollow fleet": played(t, func(play *Play) { silent(play) }),
	} {
		if err := checkSideBySide(results); err == nil {
			t.Errorf("%s: passed", what)
		}
	}
}

// silent messages a hollow fleet that sent nothing.
func silent(play *Play) {
	sizes := map[string]float64{sizeCouriers: 10}
	play.Report(sizes, figureHollowPackets, 0)
	play.Report(sizes, figureHollowBytes, 0)
}

// TestRatiosOfUnlikeSides: a stand-in that sends twice as much as it should is seen from the two sides' figures.
func TestRatiosOfUnlikeSides(t *testing.T) {
	results := played(t, func(play *Play) {
		report := func(figure string, value float64) { play.Report(map[string]float64{sizeCouriers: 10}, figure, value) }
		hollow := memberCost{packets: 20, bytes: 2800, processor: 1, memory: 1}
		actual := memberCost{packets: 10, bytes: 1400, processor: 0, memory: 4}
		hollow.report(report, figureHollowPackets, figureHollowBytes, figureHollowProcessor, figureHollowMemory)
		actual.report(report, figureRealPackets, figureRealBytes, figureRealProcessor, figureRealMemory)
		reportRatios(play, report, hollow, actual)
	})
	if err := checkSideBySide(results); err == nil || !strings.Contains(err.Error(), "hollow over real is 2.00") {
		t.Errorf("%v", err)
	}
	if err := fitSideBySide(results); err != nil || !strings.Contains(results.Verified, "packets 2.00 to 2.00") || !strings.Contains(results.Verified, "memory 0.25") {
		t.Errorf("%q, %v", results.Verified, err)
	}
	if len(results.gaps) != 1 || results.gaps[0].Figure != ratioProcessor {
		t.Errorf("gaps: %+v", results.gaps)
	}
}

// TestRealCouriersWithoutBinaryFail: a full run without real couriers does not pass for one with them.
func TestRealCouriersWithoutBinaryFail(t *testing.T) {
	fleet := realFleet{binary: filepath.Join(t.TempDir(), "none"), size: 1, seed: 1, pace: comparedPace, settle: time.Second, observe: time.Second}
	if _, err := fleet.play(context.Background()); err == nil {
		t.Error("a courier that is not there was played")
	}
}

// TestStoppedRealCouriersLeaveNothing: a play that is stopped while couriers run ends soon, and leaves no process and no file.
func TestStoppedRealCouriersLeaveNothing(t *testing.T) {
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
	fleet := realFleet{binary: binary, size: 3, seed: 1, membership: true, pace: comparedPace, settle: time.Minute, observe: time.Minute}
	begun := time.Now()
	if _, err := fleet.play(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if most := <-seen; most != 3 {
		t.Errorf("%d couriers were seen running, not 3", most)
	}
	if took := time.Since(begun); took > 50*time.Second {
		t.Errorf("it took %v to end", took)
	}
	if left := processesOf(binary); left != 0 {
		t.Errorf("%d couriers are left", left)
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) != 0 {
		t.Errorf("files are left: %v, %v", left, err)
	}
}

// processesOf counts the processes of a binary that run.
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
