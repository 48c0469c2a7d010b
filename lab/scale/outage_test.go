package scale

import (
	"testing"

	"pineport/lab/day"
	"pineport/lab/sim"
	"pineport/lab/slopes"
	"pineport/logic"
)

func TestOutagePassesWithTheRealModule(t *testing.T) {
	expectFailure(t, outageExperiment(), "")
}

// TestOutageDayStrikesAsPlanned: ten of forty destinations are down for thirty seconds, whatever the seed.
func TestOutageDayStrikesAsPlanned(t *testing.T) {
	for _, kind := range outageKinds {
		for seed := range int64(20) {
			d, err := outageDay(kind.kind, 10)
			if err != nil {
				t.Fatal(err)
			}
			watch := newOutageWatch(day.Draw(d, seed))
			if len(watch.down) != outageDown || watch.to-watch.from != logic.Micros(outageLasts)*second {
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
		{"sends nothing and keeps what it takes", outageUnended, func(logic.Charter) sim.Decider { return idle{} }},
		{"rejects all", "no attempt failed", func(logic.Charter) sim.Decider { return rejecting{} }},
		{"answers twice", outageBroken, spoiling(func(_ []logic.Event, actions []logic.Action) []logic.Action {
			for _, action := range actions {
				if rejected, ok := action.(logic.Bounce); ok {
					return append(actions, rejected)
				}
			}
			return actions
		})},
		{"acts by chance", outageDifferent, func(settings logic.Charter) sim.Decider {
			started++
			settings.Salt += int64(started)
			return logic.New(settings)
		}},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			expectFailure(t, outage{wrong.decide}.experiment(), wrong.say)
		})
	}
}

// rejecting rejects each message at once.
type rejecting struct{}

func (rejecting) Handle(_ logic.Micros, events []logic.Event) (actions []logic.Action) {
	for _, event := range events {
		if taken, ok := event.(logic.Taken); ok {
			actions = append(actions, logic.Bounce{Record: taken.Record})
		}
	}
	return actions
}

// TestOutageWatchCounts holds the watch of one courier against a made-up outage: what failed, what was parked and what came back.
func TestOutageWatchCounts(t *testing.T) {
	decisions := &scriptedDecisions{}
	watch := &outageWatch{dest: map[logic.EndpointID]logic.DestID{"e": 7, "f": 8}, down: map[logic.DestID]bool{7: true, 8: true},
		from: 10 * second, to: 20 * second, parkedAt: map[pair]logic.Micros{}}
	courier := &outageWatcher{outageWatch: watch, decisions: decisions, into: map[attempt]logic.DestID{}, sent: map[logic.RecordID]logic.TripNo{}}
	handle := func(now logic.Micros, events []logic.Event, actions ...logic.Action) {
		decisions.next = actions
		courier.Handle(now, events)
	}
	handle(9*second, nil, logic.Send{Record: "before", Endpoint: "e"})
	handle(11*second, nil, logic.Send{Record: "a", Endpoint: "e"}, logic.Send{Record: "b", Endpoint: "f"})
	decisions.lore.Routes = []logic.RouteLore{{Dest: 7, Sick: true}, {Dest: 8}}
	handle(12*second, []logic.Event{logic.Settled{Record: "a", Outcome: logic.Unreachable}, logic.Settled{Record: "b", Outcome: logic.Full},
		logic.Settled{Record: "before", Outcome: logic.Unreachable}}, logic.Send{Record: "a", Endpoint: "e"})
	handle(13*second, []logic.Event{logic.Settled{Record: "a", Trip: 1, Outcome: logic.Done}})
	handle(20*second, nil, logic.Send{Record: "c", Endpoint: "e"})
	handle(21*second, nil, logic.Send{Record: "d", Endpoint: "e"})
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
	next []logic.Action
	lore logic.Lore
}

func (s *scriptedDecisions) Handle(logic.Micros, []logic.Event) []logic.Action { return s.next }
func (s *scriptedDecisions) Lore() logic.Lore                                  { return s.lore }

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
