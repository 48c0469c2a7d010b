package scale

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/simulation"
)

// eventFilter is a courier that receives its events through a filter, which can change or drop them.
type eventFilter struct {
	*dispatch.Dispatcher
	filter func(event dispatch.Event) (dispatch.Event, bool)
}

func (h eventFilter) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	var kept []dispatch.Event
	for _, event := range events {
		if event, ok := h.filter(event); ok {
			kept = append(kept, event)
		}
	}
	return h.Dispatcher.Handle(now, kept)
}

func filterEvents(filter func(event dispatch.Event) (dispatch.Event, bool)) deciderFactory {
	return func(settings dispatch.Config) simulation.Decider { return eventFilter{dispatch.New(settings), filter} }
}

// actionAdder is a courier that returns additional actions.
type actionAdder struct {
	*dispatch.Dispatcher
	add func(events []dispatch.Event) []dispatch.Action
}

func (a actionAdder) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	return append(a.Dispatcher.Handle(now, events), a.add(events)...)
}

func TestDestinationsPassesWithRealDispatcher(t *testing.T) {
	expectResult(t, destinationsExperiment(), "")
}

// TestDestinationsCheckRejectsFaultyDeciders checks that the experiment fails for a decision module that ignores an entry, a
// change or a message, that acts without a request, or that is not deterministic.
func TestDestinationsCheckRejectsFaultyDeciders(t *testing.T) {
	plays, lists := 0, 0
	for _, faulty := range []struct {
		name, wantError string
		newDecider      deciderFactory
	}{
		{"ignores an entry", destinationsInUse + " is", filterEvents(func(event dispatch.Event) (dispatch.Event, bool) {
			if update, ok := event.(dispatch.EndpointUpdate); ok && update.Kind == dispatch.CompleteList {
				update.Entries = update.Entries[1:]
				return update, true
			}
			return event, true
		})},
		{"ignores an entry when the list is resubmitted", destinationsInUseAfterRelist + " is", filterEvents(func(event dispatch.Event) (dispatch.Event, bool) {
			if update, ok := event.(dispatch.EndpointUpdate); ok && update.Kind == dispatch.CompleteList {
				if lists++; lists > 1 {
					update.Entries = update.Entries[1:]
				}
				return update, true
			}
			return event, true
		})},
		{"ignores changes", destinationsChangesEffective, filterEvents(func(event dispatch.Event) (dispatch.Event, bool) {
			update, ok := event.(dispatch.EndpointUpdate)
			return event, !ok || update.Kind != dispatch.PartialList
		})},
		{"ignores a message", destinationsDelivered, filterEvents(func(event dispatch.Event) (dispatch.Event, bool) {
			accepted, ok := event.(dispatch.MessageAccepted)
			return event, !ok || accepted.Message != messageIDs(1)[0]
		})},
		{"rejects an unknown message", destinationsUnexpected, func(settings dispatch.Config) simulation.Decider {
			return actionAdder{dispatch.New(settings), func([]dispatch.Event) []dispatch.Action {
				return []dispatch.Action{dispatch.Reject{Message: "nobody's"}}
			}}
		}},
		{"is not deterministic", destinationsReplayDiffers, func(settings dispatch.Config) simulation.Decider {
			plays++
			at := dispatch.Micros(plays)
			return actionAdder{dispatch.New(settings), func([]dispatch.Event) []dispatch.Action { return []dispatch.Action{dispatch.SetTimer{At: at}} }}
		}},
	} {
		t.Run(faulty.name, func(t *testing.T) {
			expectResult(t, destinations{faulty.newDecider}.experiment(), faulty.wantError)
		})
	}
}
