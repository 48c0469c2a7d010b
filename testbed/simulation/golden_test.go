package simulation

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"
	"sync"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/golden"
	"pineport/testbed/scenario"
)

// digestingDecider adds every action to a digest, in order and in full. The digest contains no names of types
// or fields, so that renames do not change it.
type digestingDecider struct {
	*dispatch.Dispatcher
	digest  hash.Hash
	courier int
	actions *int
}

// Handle implements Decider.
func (d *digestingDecider) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	actions := d.Dispatcher.Handle(now, events)
	for _, action := range actions {
		*d.actions++
		fmt.Fprintf(d.digest, "%d %d ", now, d.courier)
		switch a := action.(type) {
		case dispatch.Send:
			fmt.Fprintf(d.digest, "1 %q %q %d\n", a.Message, a.Endpoint, a.Timeout)
		case dispatch.Cancel:
			fmt.Fprintf(d.digest, "2 %q %d\n", a.Message, a.Attempt)
		case dispatch.Reject:
			fmt.Fprintf(d.digest, "3 %q %d\n", a.Message, a.RetryAfter)
		case dispatch.Fail:
			fmt.Fprintf(d.digest, "4 %q\n", a.Message)
		case dispatch.SetTimer:
			fmt.Fprintf(d.digest, "5 %d\n", a.At)
		case dispatch.CloseIdle:
			fmt.Fprintf(d.digest, "6 %q\n", a.Endpoint)
		case dispatch.WatchEndpoints:
			fmt.Fprintf(d.digest, "7\n")
		case dispatch.Note:
			fmt.Fprintf(d.digest, "8 %q\n", a.Text)
		default:
			panic(fmt.Sprintf("no digest number for action type %T", action))
		}
	}
	return actions
}

// goldenRun is a run of one scenario whose actions are compared with the golden file.
type goldenRun struct {
	scenario string
	seed     int64
}

// goldenRuns returns three runs, with different seeds, of each built-in scenario except the full-size one,
// which takes a minute; then 100 runs of these scenarios with further seeds.
func goldenRuns() (runs []goldenRun) {
	const (
		fullSize       = "full-size"
		largeFleet     = "shared-300" // takes some seconds per run, so it has no further seeds
		extraRuns      = 100
		firstExtraSeed = 1001
	)
	var eligible []string
	for _, name := range scenario.BuiltIn() {
		if name == fullSize {
			continue
		}
		if name != largeFleet {
			eligible = append(eligible, name)
		}
		for seed := int64(1); seed <= 3; seed++ {
			runs = append(runs, goldenRun{name, seed})
		}
	}
	for i := range extraRuns {
		runs = append(runs, goldenRun{eligible[i%len(eligible)], int64(firstExtraSeed + i)})
	}
	return runs
}

// digest runs a scenario with snapshots and spool, and the scenario shared-limits also with shared quotas.
func (r goldenRun) digest() (string, error) {
	d, err := scenario.Find(r.scenario)
	if err != nil {
		return "", err
	}
	options := Options{SnapshotInterval: 500 * 1000, Spool: true}
	if r.scenario == "shared-limits" {
		options.Share = QuotaSharing{Interval: 500 * 1000, Loss: 0.1}
	}
	digest, actions := sha256.New(), 0
	_, _, err = Play(scenario.Draw(d, r.seed), NewLocalHost(func(courier int, cfg dispatch.Config) Decider {
		return &digestingDecider{dispatch.New(cfg), digest, courier, &actions}
	}), options)
	return fmt.Sprintf("%s %d %d %x", r.scenario, r.seed, actions, digest.Sum(nil)[:16]), err
}

// TestActionsMatchGoldenFile checks that the dispatchers' actions in all runs of goldenRuns match the golden
// file.
func TestActionsMatchGoldenFile(t *testing.T) {
	runs := goldenRuns()
	lines, errs := make([]string, len(runs)), make([]error, len(runs))
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i, r := range runs {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			lines[i], errs[i] = r.digest()
		})
	}
	all.Wait()
	for i, err := range errs {
		if err != nil {
			t.Fatalf("%s, seed %d: %v", runs[i].scenario, runs[i].seed, err)
		}
	}
	golden.Check(t, "actions.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
