package scale

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
	"pineport/testbed/slopes"
)

func TestOutagePassesWithRealDispatcher(t *testing.T) {
	expectResult(t, outageExperiment(), "")
}

// TestOutageScenarioMatchesPlan checks that 10 of 40 destinations are down for 30 s with every seed.
func TestOutageScenarioMatchesPlan(t *testing.T) {
	for _, kind := range outageKinds {
		for seed := range int64(20) {
			d, err := outageScenario(kind.kind, 10)
			if err != nil {
				t.Fatal(err)
			}
			observer := newOutageObserver(scenario.Draw(d, seed))
			if len(observer.down) != outageDown || observer.to-observer.from != dispatch.Micros(outageLasts)*second {
				t.Errorf("%s, seed %d: %d destinations down, from %d to %d", kind.name, seed, len(observer.down), observer.from, observer.to)
			}
		}
	}
}

// TestOutageCheckRejectsFaultyDeciders checks that the experiment fails for a fleet that sends nothing, violates an invariant,
// or is not deterministic.
func TestOutageCheckRejectsFaultyDeciders(t *testing.T) {
	started := 0
	for _, faulty := range []struct {
		name, wantError string
		newDecider      deciderFactory
	}{
		{"sends nothing and never ends a message", outageUnanswered, func(dispatch.Config) simulation.Decider { return idleDecider{} }},
		{"rejects all messages", "no attempt to a destination that was down failed", func(dispatch.Config) simulation.Decider { return rejectingDecider{} }},
		{"rejects twice", outageViolations, filterActions(func(_ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			for _, action := range actions {
				if rejected, ok := action.(dispatch.Reject); ok {
					return append(actions, rejected)
				}
			}
			return actions
		})},
		{"is not deterministic", outageReplayDiffers, func(settings dispatch.Config) simulation.Decider {
			started++
			settings.Seed += int64(started)
			return dispatch.New(settings)
		}},
	} {
		t.Run(faulty.name, func(t *testing.T) {
			expectResult(t, outage{faulty.newDecider}.experiment(), faulty.wantError)
		})
	}
}

// rejectingDecider rejects each message immediately.
type rejectingDecider struct{}

func (rejectingDecider) Handle(_ dispatch.Micros, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if accepted, ok := event.(dispatch.MessageAccepted); ok {
			actions = append(actions, dispatch.Reject{Message: accepted.Message})
		}
	}
	return actions
}

// TestOutageObserverCounts checks the counts of the observer of one courier in a scripted outage: failed attempts, parked
// destinations and calls after the return.
func TestOutageObserverCounts(t *testing.T) {
	decisions := &scriptedDecisions{}
	observer := &outageObserver{destinations: map[dispatch.EndpointID]dispatch.DestinationID{"e": 7, "f": 8}, down: map[dispatch.DestinationID]bool{7: true, 8: true},
		from: 10 * second, to: 20 * second, parkedAt: map[callerPair]dispatch.Micros{}}
	courier := &courierObserver{outageObserver: observer, decider: decisions, inFlight: map[attemptKey]dispatch.DestinationID{}, sent: map[dispatch.MessageID]dispatch.AttemptNumber{}}
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
	if observer.failed != 2 || observer.callsAfterReturn != 1 || observer.attempts != 6 {
		t.Errorf("%d failed, %d calls after the return, %d attempts", observer.failed, observer.callsAfterReturn, observer.attempts)
	}
	if at := observer.parkedAt[callerPair{0, 7}]; at != 12*second {
		t.Errorf("destination 7 parked at %d", at)
	}
	if at := observer.parkedAt[callerPair{0, 8}]; at != notParked {
		t.Errorf("destination 8 parked at %d, want not parked", at)
	}
}

// scriptedDecisions is a decider that returns the actions and the snapshot set by a test.
type scriptedDecisions struct {
	next     []dispatch.Action
	snapshot dispatch.Snapshot
}

func (s *scriptedDecisions) Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action {
	return s.next
}
func (s *scriptedDecisions) Snapshot() dispatch.Snapshot { return s.snapshot }

// TestOutageCheckRejectsInvalidResults checks that each single wrong count fails the check.
func TestOutageCheckRejectsInvalidResults(t *testing.T) {
	valid := map[string]float64{outageDownCount: outageDown, outageUnanswered: 0, outageAttemptMismatch: 0, outageReplayDiffers: 0, outageViolations: 0, outageFailed: 5, outageOverloaded: 0}
	resultsOf := func(couriers float64, changedFigure string, value float64) *Results {
		results := &Results{run: "outage", points: map[string]*slopes.Point{}}
		for figure, count := range valid {
			if figure == changedFigure {
				count = value
			}
			results.add(map[string]float64{sizeCouriers: couriers}, figure, count)
		}
		return results
	}
	if err := checkOutage(resultsOf(3, "", 0)); err != nil {
		t.Error(err)
	}
	for figure, value := range map[string]float64{outageDownCount: 9, outageUnanswered: 1, outageAttemptMismatch: 1, outageReplayDiffers: 1, outageViolations: 1, outageFailed: 0, outageOverloaded: 0.1} {
		if err := checkOutage(resultsOf(maxFleetWithoutOverload, figure, value)); err == nil {
			t.Errorf("%s = %v: check passed, want an error", figure, value)
		}
	}
	if err := checkOutage(resultsOf(1000, outageOverloaded, 0.1)); err != nil {
		t.Error(err)
	}
}
