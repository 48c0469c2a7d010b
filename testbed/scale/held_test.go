package scale

import (
	"context"
	"strings"
	"testing"

	"pineport/dispatch"
	"pineport/spool"
	"pineport/testbed/simulation"
)

// actionFilter is a decider whose actions pass through a filter.
type actionFilter struct {
	simulation.Decider
	filter func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
}

func (s actionFilter) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	return s.filter(events, s.Decider.Handle(now, events))
}

// filterActions returns a factory of dispatchers whose actions pass through the filter.
func filterActions(filter func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action) deciderFactory {
	return func(settings dispatch.Config) simulation.Decider { return actionFilter{dispatch.New(settings), filter} }
}

func allRecovered(unfinished []*spool.Message) []*spool.Message { return unfinished }

// expectResult runs an experiment in quick mode. The error must contain wantError; if that is empty, the run must pass.
func expectResult(t *testing.T, experiment Experiment, wantError string) {
	t.Helper()
	_, err := Run(context.Background(), experiment, Options{Quick: true, Seed: 1})
	switch {
	case wantError == "" && err != nil:
		t.Error(err)
	case wantError != "" && (err == nil || !strings.Contains(err.Error(), wantError)):
		t.Errorf("want an error that contains %q, got %v", wantError, err)
	}
}

func TestHeldPassesWithRealDispatcher(t *testing.T) {
	expectResult(t, held{newDispatcher, allRecovered}.experiment(), "")
}

// TestHeldCheckRejectsFaultyDeciders checks that the experiment fails for a decision module that rejects or loses a message,
// calls a parked destination, sends nothing, or is not deterministic, and for a spool that loses a message.
func TestHeldCheckRejectsFaultyDeciders(t *testing.T) {
	plays := 0
	for _, faulty := range []struct {
		name, wantError string
		newDecider      deciderFactory
	}{
		{"rejects accepted messages", "count_held", filterActions(func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			for _, event := range events {
				if accepted, ok := event.(dispatch.MessageAccepted); ok && strings.HasSuffix(string(accepted.Message), "7") {
					return append(actions, dispatch.Reject{Message: accepted.Message})
				}
			}
			return actions
		})},
		{"calls a parked destination", heldSentWhileParked, filterActions(func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			if len(events) == 1 && events[0] == (dispatch.TimerFired{}) {
				return append(actions, dispatch.Send{Message: "0000000000000000", Endpoint: endpointID(0)})
			}
			return actions
		})},
		{"sends nothing", "for the healthy destination were delivered", func(dispatch.Config) simulation.Decider { return idleDecider{} }},
		{"loses a held message", "after all destinations had returned", func(settings dispatch.Config) simulation.Decider {
			return messageDropper{dispatch.New(settings)}
		}},
		{"is not deterministic", heldReplayDiffers, func(settings dispatch.Config) simulation.Decider {
			plays++
			return actionFilter{dispatch.New(settings), func(_ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				return append(actions, dispatch.SetTimer{At: dispatch.Micros(plays)})
			}}
		}},
		{"sends an unknown message", heldInvalid, filterActions(func(_ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			return append(actions, dispatch.Send{Message: "nobody's", Endpoint: endpointID(0)})
		})},
	} {
		t.Run(faulty.name, func(t *testing.T) {
			expectResult(t, held{faulty.newDecider, allRecovered}.experiment(), faulty.wantError)
		})
	}
	t.Run("a restart loses a message", func(t *testing.T) {
		lossy := func(unfinished []*spool.Message) []*spool.Message { return unfinished[1:] }
		expectResult(t, held{newDispatcher, lossy}.experiment(), "a restart found")
	})
	t.Run("a restart rejects a message", func(t *testing.T) {
		rejecting := filterActions(func(events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
			for _, event := range events {
				if recovered, ok := event.(dispatch.MessageRecovered); ok {
					return append(actions, dispatch.Reject{Message: recovered.Message})
				}
			}
			return actions
		})
		expectResult(t, held{rejecting, allRecovered}.experiment(), heldEndedAtRestart)
	})
}

// idleDecider never returns an action.
type idleDecider struct{}

func (idleDecider) Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action { return nil }

// messageDropper drops the event that submits message number 500.
type messageDropper struct{ simulation.Decider }

func (f messageDropper) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	var kept []dispatch.Event
	for _, event := range events {
		if accepted, ok := event.(dispatch.MessageAccepted); !ok || accepted.Message != messageIDs(501)[500] {
			kept = append(kept, event)
		}
	}
	return f.Decider.Handle(now, kept)
}
