package scale

import (
	"context"
	"strings"
	"testing"

	"pineport/lab/sim"
	"pineport/logic"
	"pineport/spool"
)

// spoilt passes events and actions through and spoils the actions.
type spoilt struct {
	sim.Decider
	spoil func(events []logic.Event, actions []logic.Action) []logic.Action
}

func (s spoilt) Handle(now logic.Micros, events []logic.Event) []logic.Action {
	return s.spoil(events, s.Decider.Handle(now, events))
}

// spoiling makes deciders whose actions are spoilt.
func spoiling(spoil func(events []logic.Event, actions []logic.Action) []logic.Action) decide {
	return func(settings logic.Charter) sim.Decider { return spoilt{logic.New(settings), spoil} }
}

func allRecovered(unfinished []*spool.Record) []*spool.Record { return unfinished }

// expectFailure plays an experiment quickly and holds it against what its check is expected to say; empty: that it passes.
func expectFailure(t *testing.T, experiment Experiment, say string) {
	t.Helper()
	_, err := Run(context.Background(), experiment, Options{Quick: true, Seed: 1})
	switch {
	case say == "" && err != nil:
		t.Error(err)
	case say != "" && (err == nil || !strings.Contains(err.Error(), say)):
		t.Errorf("a failure that says %q was expected: %v", say, err)
	}
}

func TestHeldPassesWithTheRealModule(t *testing.T) {
	expectFailure(t, held{realDecisions, allRecovered}.experiment(), "")
}

// TestHeldFindsWrongModules: a module that gives up, forgets, calls what is down, sends nothing, or never does the same twice, and a
// spool that loses a message, are each found.
func TestHeldFindsWrongModules(t *testing.T) {
	plays := 0
	for _, wrong := range []struct {
		name, say string
		decide    decide
	}{
		{"rejects what it was given", "count_held", spoiling(func(events []logic.Event, actions []logic.Action) []logic.Action {
			for _, event := range events {
				if taken, ok := event.(logic.Taken); ok && strings.HasSuffix(string(taken.Record), "7") {
					return append(actions, logic.Bounce{Record: taken.Record})
				}
			}
			return actions
		})},
		{"calls a destination that is parked", heldSentDown, spoiling(func(events []logic.Event, actions []logic.Action) []logic.Action {
			if len(events) == 1 && events[0] == (logic.Woken{}) {
				return append(actions, logic.Send{Record: "0000000000000000", Endpoint: endpointOf(0)})
			}
			return actions
		})},
		{"sends nothing", "for the healthy destination were delivered", func(logic.Charter) sim.Decider { return idle{} }},
		{"forgets one that it holds", "after all destinations had returned", func(settings logic.Charter) sim.Decider {
			return forgetful{logic.New(settings)}
		}},
		{"acts by chance", heldDifferent, func(settings logic.Charter) sim.Decider {
			plays++
			return spoilt{logic.New(settings), func(_ []logic.Event, actions []logic.Action) []logic.Action {
				return append(actions, logic.Wake{At: logic.Micros(plays)})
			}}
		}},
		{"sends what nobody gave it", heldInvalid, spoiling(func(events []logic.Event, actions []logic.Action) []logic.Action {
			return append(actions, logic.Send{Record: "nobody's", Endpoint: endpointOf(0)})
		})},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			expectFailure(t, held{wrong.decide, allRecovered}.experiment(), wrong.say)
		})
	}
	t.Run("a restart loses one", func(t *testing.T) {
		lossy := func(unfinished []*spool.Record) []*spool.Record { return unfinished[1:] }
		expectFailure(t, held{realDecisions, lossy}.experiment(), "a restart found")
	})
	t.Run("a restart gives one up", func(t *testing.T) {
		rejecting := spoiling(func(events []logic.Event, actions []logic.Action) []logic.Action {
			for _, event := range events {
				if recovered, ok := event.(logic.Recovered); ok {
					return append(actions, logic.Bounce{Record: recovered.Record})
				}
			}
			return actions
		})
		expectFailure(t, held{rejecting, allRecovered}.experiment(), heldFirstEnded)
	})
}

// idle does nothing whatever comes.
type idle struct{}

func (idle) Handle(logic.Micros, []logic.Event) []logic.Action { return nil }

// forgetful never hears of the message with number 500.
type forgetful struct{ sim.Decider }

func (f forgetful) Handle(now logic.Micros, events []logic.Event) []logic.Action {
	var heard []logic.Event
	for _, event := range events {
		if taken, ok := event.(logic.Taken); !ok || taken.Record != messageIDs(501)[500] {
			heard = append(heard, event)
		}
	}
	return f.Decider.Handle(now, heard)
}
