package scale

import (
	"context"
	"strings"
	"testing"

	"pineport/dispatch"
	"pineport/spool"
	"pineport/testbed/simulation"
)

// malformed passes events and actions through and spoils the actions.
type spoilt struct {
	simulation.Decider
	spoil func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
}

func (s spoilt) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	return s.spoil(events, s.Decider.Handle(now, events))
}

// spoiling makes deciders whose actions are malformed.
func spoiling(spoil func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action) decide {
	return func(settings dispatch.Config) simulation.Decider { return spoilt{dispatch.New(settings), spoil} }
}

func allRecovered(unfinished []*spool.Message) []*spool.Message { return unfinished }

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
		{"rejects what it was given", "count_held", spoiling(func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			for _, event := range events {
				if taken, ok := event.(dispatch.MessageAccepted); ok && strings.HasSuffix(string(taken.Message), "7") {
					return append(actions, dispatch.Reject{Message: taken.Message})
				}
			}
			return actions
		})},
		{"calls a destination that is parked", heldSentDown, spoiling(func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			if len(events) == 1 && events[0] == (dispatch.TimerFired{}) {
				return append(actions, dispatch.Send{Message: "0000000000000000", Endpoint: endpointOf(0)})
			}
			return actions
		})},
		{"sends nothing", "for the healthy destination were delivered", func(dispatch.Config) simulation.Decider { return idle{} }},
		{"forgets one that it holds", "after all destinations had returned", func(settings dispatch.Config) simulation.Decider {
			return forgetful{dispatch.New(settings)}
		}},
		{"acts by chance", heldDifferent, func(settings dispatch.Config) simulation.Decider {
			plays++
			return spoilt{dispatch.New(settings), func(_ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				return append(actions, dispatch.SetTimer{At: dispatch.Micros(plays)})
			}}
		}},
		{"sends what nobody gave it", heldInvalid, spoiling(func(_ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			return append(actions, dispatch.Send{Message: "nobody's", Endpoint: endpointOf(0)})
		})},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			expectFailure(t, held{wrong.decide, allRecovered}.experiment(), wrong.say)
		})
	}
	t.Run("a restart loses one", func(t *testing.T) {
		lossy := func(unfinished []*spool.Message) []*spool.Message { return unfinished[1:] }
		expectFailure(t, held{realDecisions, lossy}.experiment(), "a restart found")
	})
	t.Run("a restart gives one up", func(t *testing.T) {
		rejecting := spoiling(func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			for _, event := range events {
				if recovered, ok := event.(dispatch.MessageRecovered); ok {
					return append(actions, dispatch.Reject{Message: recovered.Message})
				}
			}
			return actions
		})
		expectFailure(t, held{rejecting, allRecovered}.experiment(), heldFirstEnded)
	})
}

// idle does nothing whatever comes.
type idle struct{}

func (idle) Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action { return nil }

// forgetful never hears of the message with number 500.
type forgetful struct{ simulation.Decider }

func (f forgetful) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	var heard []dispatch.Event
	for _, event := range events {
		if taken, ok := event.(dispatch.MessageAccepted); !ok || taken.Message != messageIDs(501)[500] {
			heard = append(heard, event)
		}
	}
	return f.Decider.Handle(now, heard)
}
