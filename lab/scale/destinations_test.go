package scale

import (
	"testing"

	"pineport/lab/sim"
	"pineport/logic"
)

// spoiltHearing is a courier whose events are spoilt before it hears of them.
type spoiltHearing struct {
	*logic.Courier
	hear func(event logic.Event) (logic.Event, bool)
}

func (h spoiltHearing) Handle(now logic.Micros, events []logic.Event) []logic.Action {
	var heard []logic.Event
	for _, event := range events {
		if event, ok := h.hear(event); ok {
			heard = append(heard, event)
		}
	}
	return h.Courier.Handle(now, heard)
}

func hearingOnly(hear func(event logic.Event) (logic.Event, bool)) decide {
	return func(settings logic.Charter) sim.Decider { return spoiltHearing{logic.New(settings), hear} }
}

// acting is a courier that does more than it decided.
type acting struct {
	*logic.Courier
	add func(events []logic.Event) []logic.Action
}

func (a acting) Handle(now logic.Micros, events []logic.Event) []logic.Action {
	return append(a.Courier.Handle(now, events), a.add(events)...)
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
		{"misses an entry", knownUsed + " is", hearingOnly(func(event logic.Event) (logic.Event, bool) {
			if news, ok := event.(logic.ListNews); ok && news.How == logic.Complete {
				news.Entries = news.Entries[1:]
				return news, true
			}
			return event, true
		})},
		{"misses one when the list comes again", knownUsedAgain + " is", hearingOnly(func(event logic.Event) (logic.Event, bool) {
			if news, ok := event.(logic.ListNews); ok && news.How == logic.Complete {
				if lists++; lists > 1 {
					news.Entries = news.Entries[1:]
				}
				return news, true
			}
			return event, true
		})},
		{"misses changes", knownMoved, hearingOnly(func(event logic.Event) (logic.Event, bool) {
			news, ok := event.(logic.ListNews)
			return event, !ok || news.How != logic.Partial
		})},
		{"misses a message", knownDelivered, hearingOnly(func(event logic.Event) (logic.Event, bool) {
			taken, ok := event.(logic.Taken)
			return event, !ok || taken.Record != messageIDs(1)[0]
		})},
		{"gives up what nobody handed in", knownUnasked, func(settings logic.Charter) sim.Decider {
			return acting{logic.New(settings), func([]logic.Event) []logic.Action { return []logic.Action{logic.Bounce{Record: "nobody's"}} }}
		}},
		{"acts by chance", knownDifferent, func(settings logic.Charter) sim.Decider {
			plays++
			at := logic.Micros(plays)
			return acting{logic.New(settings), func([]logic.Event) []logic.Action { return []logic.Action{logic.Wake{At: at}} }}
		}},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			expectFailure(t, destinations{wrong.decide}.experiment(), wrong.say)
		})
	}
}
