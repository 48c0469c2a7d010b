package scale

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
	"pineport/testbed/slopes"
)

func TestOutagePassesWithTheRealModule(t *testing.T) {
	expectFailure(t, outageExperiment(), "")
}

// TestOutageDayFaultsAsPlanned: ten of forty destinations are down for thirty seconds, whatever the seed.
func TestOutageDayFaultsAsPlanned(t *testing.T) {
	for _, kind := range outageKinds {
		for seed := range int64(20) {
			d, err := outageDay(kind.kind, 10)
			if err != nil {
				t.Fatal(err)
			}
			watch := newOutageWatch(scenario.Draw(d, seed))
			if len(watch.down) != outageDown || watch.to-watch.from != dispatch.Micros(outageLasts)*second {
				t.Errorf("%s, seed %d: %d down, from %d to %d", kind.name, seed, len(watch.down), watch.from, watch.to)
			}
		}
	}
}

// TestOutageFindsWrongModules: a fleet that sends nothing, breaks a rule, or never does the same twice is found.
func TestOutageFindsWrongModules(t *testing.T) {
	started := 0
	for _, wrong := range []struct {
		name, say string
		decide    decide
	}{
		{"sends nothing and keeps what it takes", outageUnended, func(dispatch.Config) simulation.Decider { return idle{} }},
		{"rejects all", "no attempt failed", func(dispatch.Config) simulation.Decider { return rejecting{} }},
		{"answers twice", outageBroken, spoiling(func(_ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			for _, action := range actions {
				if rejected, ok := action.(dispatch.Reject); ok {
					return append(actions, rejected)
				}
			}
			return actions
		})},
		{"acts by chance", outageDifferent, func(settings dispatch.Config) simulation.Decider {
			started++
			settings.Seed += int64(started)
			return dispatch.New(settings)
		}},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			expectFailure(t, outage{wrong.decide}.experiment(), wrong.say)
		})
	}
}

// rejecting rejects each message at once.
type rejecting struct{}

func (rejecting) Handle(_ dispatch.Micros, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if taken, ok := event.(dispatch.MessageAccepted); ok {
			actions = append(actions, dispatch.Reject{Message: taken.Message})
		}
	}
	return actions
}

// TestOutageWatchCounts holds the watch of one courier against a made-up outage: what failed, what was parked and what came back.
func TestOutageWatchCounts(t *testing.T) {
	decisions := &scriptedDecisions{}
	watch := &outageWatch{dest: map[dispatch.EndpointID]dispatch.DestinationID{"e": 7, "f": 8}, down: map[dispatch.DestinationID]bool{7: true, 8: true},
		from: 10 * second, to: 20 * second, parkedAt: map[pair]dispatch.Micros{}}
	courier := &outageWatcher{outageWatch: watch, decisions: decisions, into: map[attempt]dispatch.DestinationID{}, sent: map[dispatch.MessageID]dispatch.AttemptNumber{}}
	handle := func(now dispatch.Micros, events []dispatch.Event, actions ...dispatch.Action) {
		decisions.next = actions
		courier.Handle(now, events)
	}
	handle(9*second, nil, dispatch.Send{Message: "before", Endpoint: "e"})
	handle(11*second, nil, dispatch.Send{Message: "a", Endpoint: "e"}, dispatch.Send{Message: "b", Endpoint: "f"})
	decisions.snapshot.Groups = []dispatch.GroupSnapshot{{Destination: 7, Outage: true}, {Destination: 8}}
	handle(12*second, []dispatch.Event{dispatch.AttemptFinished{Message: "a", Outcome: dispatch.Unreachable}, dispatch.AttemptFinished{Message: "b", Outcome: dispatch.Throttled},
		dispatch.AttemptFinished{Message: "before", Outcome: dispatch.Unreachable}}, dispatch.Send{Message: "a", Endpoint: "e"})
	handle(13*second, []dispatch.Event{dispatch.AttemptFinished{Message: "a", Attempt: 1, Outcome: dispatch.Delivered}})
	handle(20*second, nil, dispatch.Send{Message: "c", Endpoint: "e"})
	handle(21*second, nil, dispatch.Send{Message: "d", Endpoint: "e"})
	if watch.failed != 2 || watch.returned != 1 || watch.attempts != 6 {
		t.Errorf("%d failed, %d returned, %d attempts", watch.failed, watch.returned, watch.attempts)
	}
	if at := watch.parkedAt[pair{0, 7}]; at != 12*second {
		t.Errorf("parked at %d", at)
	}
	if at := watch.parkedAt[pair{0, 8}]; at != notParked {
		t.Errorf("not parked, and yet at %d", at)
	}
}

// scriptedDecisions does and knows what a test says.
type scriptedDecisions struct {
	next     []dispatch.Action
	snapshot dispatch.Snapshot
}

func (s *scriptedDecisions) Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action {
	return s.next
}
func (s *scriptedDecisions) Snapshot() dispatch.Snapshot { return s.snapshot }

// TestOutageCheckHoldsEachCount: a count that is off fails the check, whichever it is.
func TestOutageCheckHoldsEachCount(t *testing.T) {
	sound := map[string]float64{outageStruck: outageDown, outageUnended: 0, outageUnseen: 0, outageDifferent: 0, outageBroken: 0, outageFailed: 5, outagePushed: 0}
	resultsOf := func(couriers float64, spoilt string, value float64) *Results {
		results := &Results{run: "outage", point: map[string]*slopes.Point{}}
		for figure, count := range sound {
			if figure == spoilt {
				count = value
			}
			results.add(map[string]float64{sizeCouriers: couriers}, figure, count)
		}
		return results
	}
	if err := checkOutage(resultsOf(3, "", 0)); err != nil {
		t.Error(err)
	}
	for figure, value := range map[string]float64{outageStruck: 9, outageUnended: 1, outageUnseen: 1, outageDifferent: 1, outageBroken: 1, outageFailed: 0, outagePushed: 0.1} {
		if err := checkOutage(resultsOf(neverPushedOver, figure, value)); err == nil {
			t.Errorf("%s of %v passed", figure, value)
		}
	}
	if err := checkOutage(resultsOf(1000, outagePushed, 0.1)); err != nil {
		t.Error(err)
	}
}
