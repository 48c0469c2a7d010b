package scale

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/simulation"
)

// spoiltHearing is a courier whose events are malformed before it hears of them.
type spoiltHearing struct {
	*dispatch.Dispatcher
	hear func(event dispatch.Event) (dispatch.Event, bool)
}

func (h spoiltHearing) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	var heard []dispatch.Event
	for _, event := range events {
		if event, ok := h.hear(event); ok {
			heard = append(heard, event)
		}
	}
	return h.Dispatcher.Handle(now, heard)
}

func hearingOnly(hear func(event dispatch.Event) (dispatch.Event, bool)) decide {
	return func(settings dispatch.Config) simulation.Decider { return spoiltHearing{dispatch.New(settings), hear} }
}

// acting is a courier that does more than it decided.
type acting struct {
	*dispatch.Dispatcher
	add func(events []dispatch.Event) []dispatch.Action
}

func (a acting) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	return append(a.Dispatcher.Handle(now, events), a.add(events)...)
}

func TestDestinationsPassesWithTheRealModule(t *testing.T) {
	expectFailure(t, destinationsExperiment(), "")
}

// TestDestinationsFindsWrongModules: a module that misses an entry, a change or a message, that does what nobody asked for, or never
// does the same twice, is found.
func TestDestinationsFindsWrongModules(t *testing.T) {
	plays, lists := 0, 0
	for _, wrong := range []struct {
		name, say string
		decide    decide
	}{
		{"misses an entry", knownUsed + " is", hearingOnly(func(event dispatch.Event) (dispatch.Event, bool) {
			if news, ok := event.(dispatch.EndpointUpdate); ok && news.Kind == dispatch.CompleteList {
				news.Entries = news.Entries[1:]
				return news, true
			}
			return event, true
		})},
		{"misses one when the list comes again", knownUsedAgain + " is", hearingOnly(func(event dispatch.Event) (dispatch.Event, bool) {
			if news, ok := event.(dispatch.EndpointUpdate); ok && news.Kind == dispatch.CompleteList {
				if lists++; lists > 1 {
					news.Entries = news.Entries[1:]
				}
				return news, true
			}
			return event, true
		})},
		{"misses changes", knownMoved, hearingOnly(func(event dispatch.Event) (dispatch.Event, bool) {
			news, ok := event.(dispatch.EndpointUpdate)
			return event, !ok || news.Kind != dispatch.PartialList
		})},
		{"misses a message", knownDelivered, hearingOnly(func(event dispatch.Event) (dispatch.Event, bool) {
			taken, ok := event.(dispatch.MessageAccepted)
			return event, !ok || taken.Message != messageIDs(1)[0]
		})},
		{"gives up what nobody handed in", knownUnasked, func(settings dispatch.Config) simulation.Decider {
			return acting{dispatch.New(settings), func([]dispatch.Event) []dispatch.Action {
				return []dispatch.Action{dispatch.Reject{Message: "nobody's"}}
			}}
		}},
		{"acts by chance", knownDifferent, func(settings dispatch.Config) simulation.Decider {
			plays++
			at := dispatch.Micros(plays)
			return acting{dispatch.New(settings), func([]dispatch.Event) []dispatch.Action { return []dispatch.Action{dispatch.SetTimer{At: at}} }}
		}},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			expectFailure(t, destinations{wrong.decide}.experiment(), wrong.say)
		})
	}
}
