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

// soundChanges are results that pass the check.
func soundChanges() *Results {
	r := &Results{run: "changes", plays: 1, point: map[string]*slopes.Point{}}
	r.add(map[string]float64{sizeTenants: 10}, figureInForce, 1)
	r.add(map[string]float64{sizeKnown: 10}, figureInForce, 1)
	r.add(map[string]float64{sizeListed: 100}, figureUnread, 0)
	r.add(map[string]float64{sizeCouriers: 10}, figureMissed, 0)
	r.add(map[string]float64{sizeCouriers: 10}, figureStaleAgain, 0)
	r.add(map[string]float64{sizeCouriers: 10, sizeTrouble: 1}, figureUntold, 0)
	r.add(map[string]float64{sizeCouriers: 10, sizeTrouble: 1}, figureChanges, 30)
	return r
}

func TestChangesCheckTellsEachFault(t *testing.T) {
	if err := checkChanges(soundChanges()); err != nil {
		t.Fatalf("sound results: %v", err)
	}
	wrong := map[string]float64{figureInForce: 0, figureUnread: 1, figureMissed: 1, figureStaleAgain: 1, figureUntold: 1, figureChanges: 0}
	for _, key := range soundChanges().order {
		for figure, value := range wrong {
			r := soundChanges()
			if _, ok := r.point[key].Values[figure]; !ok {
				continue
			}
			r.point[key].Values[figure] = []float64{value}
			if err := checkChanges(r); err == nil || !strings.Contains(err.Error(), figure+": ") {
				t.Errorf("%s of %v at %s: %v", figure, value, key, err)
			}
			delete(r.point[key].Values, figure)
			if err := checkChanges(r); err == nil || !strings.Contains(err.Error(), figure+" was not counted") {
				t.Errorf("without %s at %s: %v", figure, key, err)
			}
		}
	}
}

// TestChangesCountTheSame: virtual times and counts go by the seed alone, and nothing is left in the folder for passing files.
func TestChangesCountTheSame(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	virtual := []string{figureInForce, figureUnread, figureMissed, figureStaleAgain, figureStale, figureUntold, figureChanges, figureNotified, figureNotifiedWorst,
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
		t.Errorf("two runs of one seed:\n%v\n%v", first, second)
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

func TestHandoutMissesWhoIsCutOff(t *testing.T) {
	play := &Play{results: &Results{run: "changes", plays: 1, point: map[string]*slopes.Point{}}}
	if err := measureHandout(play, t.TempDir(), 20); err != nil {
		t.Fatal(err)
	}
	for figure, want := range map[string]float64{figureStale: 0.1, figureMissed: 0, figureStaleAgain: 0} {
		if _, got := play.results.Values(figure, sizeCouriers, nil); len(got) != 1 || got[0] != want {
			t.Errorf("%s: %v, not %v", figure, got, want)
		}
	}
}

func TestFaultyFileStaysOut(t *testing.T) {
	h, err := startHollow(t.TempDir(), fewTenants, fewKnown)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(h.file, []byte(`{"name": "n0"`), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := h.hangup(1); err == nil || h.generation() != 0 {
		t.Errorf("half a file was taken over: %v, generation %d", err, h.generation())
	}
	if err := h.write(fewTenants, fewKnown, 7); err != nil {
		t.Fatal(err)
	}
	if err := h.hangup(2); err != nil || h.generation() != 7 {
		t.Errorf("%v, generation %d", err, h.generation())
	}
}

// TestFaultyEntriesAreCounted: an entry that the parser leaves out shows as unread.
func TestFaultyEntriesAreCounted(t *testing.T) {
	l, err := newLister()
	if err != nil {
		t.Fatal(err)
	}
	hosts := listedHosts(10)
	hosts[4].Address = "nowhere"
	cost, err := l.tell(true, hosts)
	if err != nil || cost.unread != 1 {
		t.Errorf("%d unread, %v", cost.unread, err)
	}
}

// TestNotifiedTimes: what a courier is notified, by a change or a whole list, counts from the change on, or from its start if it was down.
func TestNotifiedTimes(t *testing.T) {
	const s = dispatch.Micros(microsPerSecond)
	entry := func(id dispatch.EndpointID, phase dispatch.Phase) dispatch.EndpointEntry {
		return dispatch.EndpointEntry{Endpoint: id, Phase: phase}
	}
	news := func(how dispatch.UpdateKind, entries ...dispatch.EndpointEntry) dispatch.EndpointUpdate {
		return dispatch.EndpointUpdate{Kind: how, Entries: entries}
	}
	h := newNotifiedHost(3)
	for courier := range 3 {
		h.note(1, courier, news(dispatch.CachedList, entry("a", dispatch.InService)))
	}
	h.note(11*s, 0, news(dispatch.PartialList, entry("a", dispatch.Draining)))
	h.note(12*s, 0, news(dispatch.ListFailed))
	h.note(15*s, 1, news(dispatch.CachedList, entry("a", dispatch.InService)))
	h.note(16*s, 1, news(dispatch.CompleteList)) // a second after discovery came back
	drawn := &scenario.Instance{Events: []scenario.Event{
		{At: 9 * s, Kind: scenario.CourierKilled, Courier: 1},
		{At: 10 * s, Kind: scenario.EndpointDraining, Endpoint: endpointmodel.Endpoint{ID: "a"}},
		{At: 13 * s, Kind: scenario.DirectoryDown},
		{At: 14 * s, Kind: scenario.CourierStarted, Courier: 1},
		{At: 15 * s, Kind: scenario.DirectoryUp},
	}}
	got := h.against(drawn)
	if got.changes != 1 || got.untold != 1 || !slices.Equal(got.notified, []float64{1, 2}) || !slices.Equal(got.everywhere, []float64{2}) ||
		!slices.Equal(got.reachable, []float64{1, 1}) {
		t.Errorf("%+v", got)
	}
}

// deafHost keeps the news of the list from its first courier.
type deafHost struct{ *notifiedHost }

func (h deafHost) Turn(now dispatch.Micros, batches []simulation.Batch) ([][]dispatch.Action, error) {
	for i, b := range batches {
		if b.Courier == 0 {
			batches[i].Events = slices.DeleteFunc(b.Events, func(e dispatch.Event) bool {
				news, ok := e.(dispatch.EndpointUpdate)
				return ok && news.Kind != dispatch.CachedList
			})
		}
	}
	return h.notifiedHost.Turn(now, batches)
}

func TestDeafCourierIsUntold(t *testing.T) {
	for _, troubles := range []string{"", directoryTroubles} {
		drawn, err := readDay(10, troubles, 1)
		if err != nil {
			t.Fatal(err)
		}
		deaf := deafHost{newNotifiedHost(10)}
		if _, _, err := simulation.Play(drawn, deaf, simulation.Options{}); err != nil {
			t.Fatal(err)
		}
		if got := deaf.against(drawn); got.untold != got.changes || got.changes == 0 {
			t.Errorf("%d changes, %d untold", got.changes, got.untold)
		}
	}
}

func TestNoDayLeavesACourierUntold(t *testing.T) {
	for seed := range int64(10) {
		drawn, err := readDay(20, directoryTroubles, seed+1)
		if err != nil {
			t.Fatal(err)
		}
		host := newNotifiedHost(20)
		if _, _, err := simulation.Play(drawn, host, simulation.Options{}); err != nil {
			t.Fatal(err)
		}
		if got := host.against(drawn); got.untold > 0 || got.changes == 0 {
			t.Errorf("seed %d: %d changes, %d untold", seed+1, got.changes, got.untold)
		}
	}
}
