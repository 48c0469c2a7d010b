package scale

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
	"pineport/testbed/slopes"
)

// validChanges returns results that pass the check.
func validChanges() *Results {
	r := &Results{run: "changes", plays: 1, points: map[string]*slopes.Point{}}
	r.add(map[string]float64{sizeTenants: 10}, figureInForce, 1)
	r.add(map[string]float64{sizeKnown: 10}, figureInForce, 1)
	r.add(map[string]float64{sizeListed: 100}, figureSkipped, 0)
	r.add(map[string]float64{sizeCouriers: 10}, figureMissed, 0)
	r.add(map[string]float64{sizeCouriers: 10}, figureStaleAfterRetry, 0)
	r.add(map[string]float64{sizeCouriers: 10, sizeTrouble: 1}, figureUnnotified, 0)
	r.add(map[string]float64{sizeCouriers: 10, sizeTrouble: 1}, figureChanges, 30)
	return r
}

func TestChangesCheckRejectsInvalidResults(t *testing.T) {
	if err := checkChanges(validChanges()); err != nil {
		t.Fatalf("valid results: %v", err)
	}
	invalid := map[string]float64{figureInForce: 0, figureSkipped: 1, figureMissed: 1, figureStaleAfterRetry: 1, figureUnnotified: 1, figureChanges: 0}
	for _, key := range validChanges().order {
		for figure, value := range invalid {
			r := validChanges()
			if _, ok := r.points[key].Values[figure]; !ok {
				continue
			}
			r.points[key].Values[figure] = []float64{value}
			if err := checkChanges(r); err == nil || !strings.Contains(err.Error(), figure+": ") {
				t.Errorf("%s = %v at %s: got error %v", figure, value, key, err)
			}
			delete(r.points[key].Values, figure)
			if err := checkChanges(r); err == nil || !strings.Contains(err.Error(), figure+" was not counted") {
				t.Errorf("without %s at %s: got error %v", figure, key, err)
			}
		}
	}
}

// TestChangesRunIsDeterministic checks that virtual times and counts depend on the seed alone, and that a run leaves no
// temporary files.
func TestChangesRunIsDeterministic(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	virtual := []string{figureInForce, figureSkipped, figureMissed, figureStaleAfterRetry, figureStale, figureUnnotified, figureChanges, figureNotified, figureNotifiedWorst,
		figureEverywhere, figureEverywhereWorst, figureListBytes, figureChangeBytes, figureCatchUpBytes, figureFile}
	counted := func() (all []float64) {
		run, err := Run(context.Background(), changesExperiment(), Options{Quick: true, Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		for _, point := range run.Points {
			for _, figure := range virtual {
				all = append(all, point.Values[figure]...)
			}
		}
		return all
	}
	first, second := counted(), counted()
	if !slices.Equal(first, second) || len(first) == 0 {
		t.Errorf("two runs with the same seed differ:\n%v\n%v", first, second)
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); err != nil || len(left) > 0 {
		t.Errorf("temporary files left: %v, %v", left, err)
	}
}

func TestRolloutSkipsCutOffCouriers(t *testing.T) {
	play := &Play{results: &Results{run: "changes", plays: 1, points: map[string]*slopes.Point{}}}
	if err := measureRollout(play, t.TempDir(), 20); err != nil {
		t.Fatal(err)
	}
	for figure, want := range map[string]float64{figureStale: 0.1, figureMissed: 0, figureStaleAfterRetry: 0} {
		if _, got := play.results.Values(figure, sizeCouriers, nil); len(got) != 1 || got[0] != want {
			t.Errorf("%s: got %v, want %v", figure, got, want)
		}
	}
}

func TestInvalidFileIsRejected(t *testing.T) {
	h, err := startHollow(t.TempDir(), defaultTenants, defaultKnown)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(h.file, []byte(`{"name": "n0"`), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := h.reload(1); err == nil || h.generation() != 0 {
		t.Errorf("reload of a truncated file: got error %v, generation %d", err, h.generation())
	}
	if err := h.write(defaultTenants, defaultKnown, 7); err != nil {
		t.Fatal(err)
	}
	if err := h.reload(2); err != nil || h.generation() != 7 {
		t.Errorf("reload of a valid file: got error %v, generation %d", err, h.generation())
	}
}

// TestMalformedEntriesAreCounted checks that an entry that the parser leaves out is counted as skipped.
func TestMalformedEntriesAreCounted(t *testing.T) {
	l, err := newListReceiver()
	if err != nil {
		t.Fatal(err)
	}
	hosts := listedHosts(10)
	hosts[4].Address = "nowhere"
	cost, err := l.receive(true, hosts)
	if err != nil || cost.skipped != 1 {
		t.Errorf("%d entries skipped, error %v", cost.skipped, err)
	}
}

// TestNotificationTimes checks that the time until a courier receives a change, in a partial or a complete list, counts from
// the change, or from the start of the courier if it was down.
func TestNotificationTimes(t *testing.T) {
	const s = dispatch.Micros(microsPerSecond)
	entry := func(id dispatch.EndpointID, phase dispatch.Phase) dispatch.EndpointEntry {
		return dispatch.EndpointEntry{Endpoint: id, Phase: phase}
	}
	update := func(how dispatch.UpdateKind, entries ...dispatch.EndpointEntry) dispatch.EndpointUpdate {
		return dispatch.EndpointUpdate{Kind: how, Entries: entries}
	}
	h := newRecordingHost(3)
	for courier := range 3 {
		h.record(1, courier, update(dispatch.CachedList, entry("a", dispatch.InService)))
	}
	h.record(11*s, 0, update(dispatch.PartialList, entry("a", dispatch.Draining)))
	h.record(12*s, 0, update(dispatch.ListFailed))
	h.record(15*s, 1, update(dispatch.CachedList, entry("a", dispatch.InService)))
	h.record(16*s, 1, update(dispatch.CompleteList)) // 1 s after discovery is reachable again
	drawn := &scenario.Instance{Events: []scenario.Event{
		{At: 9 * s, Kind: scenario.CourierKilled, Courier: 1},
		{At: 10 * s, Kind: scenario.EndpointDraining, Endpoint: endpointmodel.Endpoint{ID: "a"}},
		{At: 13 * s, Kind: scenario.DirectoryDown},
		{At: 14 * s, Kind: scenario.CourierStarted, Courier: 1},
		{At: 15 * s, Kind: scenario.DirectoryUp},
	}}
	got := h.compare(drawn)
	if got.changes != 1 || got.unnotified != 1 || !slices.Equal(got.notified, []float64{1, 2}) || !slices.Equal(got.everywhere, []float64{2}) ||
		!slices.Equal(got.reachable, []float64{1, 1}) {
		t.Errorf("%+v", got)
	}
}

// updateDroppingHost drops the list updates for the first courier, except cached lists.
type updateDroppingHost struct{ *recordingHost }

func (h updateDroppingHost) Step(now dispatch.Micros, batches []simulation.Batch) ([][]dispatch.Action, error) {
	for i, b := range batches {
		if b.Courier == 0 {
			batches[i].Events = slices.DeleteFunc(b.Events, func(e dispatch.Event) bool {
				update, ok := e.(dispatch.EndpointUpdate)
				return ok && update.Kind != dispatch.CachedList
			})
		}
	}
	return h.recordingHost.Step(now, batches)
}

func TestDroppedUpdatesCountAsUnnotified(t *testing.T) {
	for _, troubles := range []string{"", discoveryTroubles} {
		drawn, err := drawDiscoveryScenario(10, troubles, 1)
		if err != nil {
			t.Fatal(err)
		}
		host := updateDroppingHost{newRecordingHost(10)}
		if _, _, err := simulation.Play(drawn, host, simulation.Options{}); err != nil {
			t.Fatal(err)
		}
		if got := host.compare(drawn); got.unnotified != got.changes || got.changes == 0 {
			t.Errorf("%d changes, %d not received", got.changes, got.unnotified)
		}
	}
}

func TestEveryCourierIsNotified(t *testing.T) {
	for seed := range int64(10) {
		drawn, err := drawDiscoveryScenario(20, discoveryTroubles, seed+1)
		if err != nil {
			t.Fatal(err)
		}
		host := newRecordingHost(20)
		if _, _, err := simulation.Play(drawn, host, simulation.Options{}); err != nil {
			t.Fatal(err)
		}
		if got := host.compare(drawn); got.unnotified > 0 || got.changes == 0 {
			t.Errorf("seed %d: %d changes, %d not received", seed+1, got.changes, got.unnotified)
		}
	}
}
