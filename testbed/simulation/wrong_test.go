package simulation

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// wrong is a courier that breaks one rule: it passes events and actions through and spoils what it is notified to.
type wrong struct {
	Decider
	spoil    func(w *wrong, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	seen     map[dispatch.MessageID]dispatch.MessageAccepted
	attempts map[dispatch.MessageID]int
	ended    []dispatch.MessageID
	gone     map[dispatch.EndpointID]dispatch.DestinationID
	all      map[dispatch.EndpointID]dispatch.EndpointEntry
	waits    map[dispatch.DestinationID]dispatch.Micros
}

func (w *wrong) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.MessageAccepted:
			w.seen[e.Message] = e
		case dispatch.AttemptFinished:
			if e.MessageDone {
				w.ended = append(w.ended, e.Message)
			}
			if e.RetryAfter > 0 {
				w.waits[w.seen[e.Message].Destination] = now + e.RetryAfter
			}
		case dispatch.EndpointUpdate:
			for _, l := range e.Entries {
				w.all[l.Endpoint] = l
				if l.Phase != dispatch.InService {
					w.gone[l.Endpoint] = l.Destination
				}
			}
		}
	}
	actions := w.Decider.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			w.attempts[a.Message]++
		case dispatch.Reject:
			w.ended = append(w.ended, a.Message)
		}
	}
	return w.spoil(w, now, events, actions)
}

// endpointOf is any endpoint of a destination that is listed, the first by name.
func (w *wrong) endpointOf(d dispatch.DestinationID) (best dispatch.EndpointID) {
	for id, l := range w.all {
		if l.Destination == d && l.Phase == dispatch.InService && (best == "" || id < best) {
			best = id
		}
	}
	return best
}

// TestWrongCouriersAreCaught: for each rule a courier that breaks it, and nothing else, is named by just that rule; the
// right courier on the same day by none. So a ledger that stopped looking would be found out.
func TestWrongCouriersAreCaught(t *testing.T) {
	type spoil = func(w *wrong, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	for _, c := range []struct {
		name, day string
		rule      invariants.Rule
		spoil     spoil
	}{
		{"repeats a single-use record that may have run", "acts-then-hangs", invariants.NoDuplicateEffect,
			func(w *wrong, _ dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					s, ok := e.(dispatch.AttemptFinished)
					mayRun := ok && (s.Outcome == dispatch.TimedOut || s.Outcome == dispatch.Broken || s.Outcome == dispatch.Canceled)
					if mayRun && !s.MessageDone && w.seen[s.Message].Class == 1 {
						actions = append([]dispatch.Action{dispatch.Send{Message: s.Message, Endpoint: w.endpointOf(w.seen[s.Message].Destination),
							Timeout: 1000}}, actions...)
					}
				}
				return actions
			}},
		{"bounces what may have run", "acts-then-hangs", invariants.NoDuplicateEffect,
			func(_ *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if end, ok := a.(dispatch.Fail); ok {
						actions[i] = dispatch.Reject{Message: end.Message}
					}
				}
				return actions
			}},
		{"sends in a told wait", "shrunk-limits", invariants.WaitRespected,
			func(w *wrong, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					if taken, ok := e.(dispatch.MessageAccepted); ok && w.waits[taken.Destination] > now+10*1000 && w.seen[taken.Message].Class == 0 {
						return append(actions, dispatch.Send{Message: taken.Message, Endpoint: w.endpointOf(taken.Destination), Timeout: 1000 * 1000})
					}
				}
				return actions
			}},
		{"sends to what drains", "moving-house", invariants.DrainRespected,
			func(w *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if send, ok := a.(dispatch.Send); ok {
						for id, d := range w.gone {
							if d == w.seen[send.Message].Destination {
								actions[i] = dispatch.Send{Message: send.Message, Endpoint: id, Timeout: send.Timeout}
							}
						}
					}
				}
				return actions
			}},
		{"forgets a final answer", "acts-then-hangs", invariants.FinalAnswer,
			func(_ *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				var kept []dispatch.Action
				for _, a := range actions {
					if _, ok := a.(dispatch.Reject); !ok {
						kept = append(kept, a)
					}
				}
				return kept
			}},
		{"answers twice", "silent-and-cold", invariants.FinalAnswer,
			func(_ *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, a := range actions {
					if b, ok := a.(dispatch.Reject); ok {
						return append(actions, dispatch.Fail{Message: b.Message})
					}
				}
				return actions
			}},
		{"sends after the end", "calm", invariants.FinalAnswer,
			func(w *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				if n := len(w.ended); n > 0 {
					id := w.ended[n-1]
					w.ended = w.ended[:n-1]
					actions = append(actions, dispatch.Send{Message: id, Endpoint: w.endpointOf(w.seen[id].Destination), Timeout: 1000 * 1000})
				}
				return actions
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := find(t, c.day)
			w := scenario.Draw(d, 2)
			right, _, err := Play(w, NewLocalHost(nil), Options{})
			if err != nil || !right.OK() {
				t.Fatalf("the right courier: %v, %s %v", err, right.Short(), right.Breaches)
			}
			v, _, err := Play(w, NewLocalHost(func(_ int, ch dispatch.Config) Decider {
				return &wrong{Decider: dispatch.New(ch), spoil: c.spoil, seen: map[dispatch.MessageID]dispatch.MessageAccepted{}, attempts: map[dispatch.MessageID]int{},
					gone: map[dispatch.EndpointID]dispatch.DestinationID{}, all: map[dispatch.EndpointID]dispatch.EndpointEntry{}, waits: map[dispatch.DestinationID]dispatch.Micros{}}
			}), Options{})
			if err != nil {
				t.Fatal(err)
			}
			if v.BreachCounts[c.rule] == 0 || v.Score != 0 {
				t.Errorf("not caught: %s, figure %v", v.Short(), v.Score)
			}
		})
	}
}

// eager sends all at once, in any order, until it is done: it heeds neither returns nor the order of keys.
type eager struct {
	ch       dispatch.Config
	list     map[dispatch.DestinationID][]dispatch.EndpointID
	dest     map[dispatch.MessageID]dispatch.MessageAccepted
	attempts int
}

func (e *eager) Handle(_ dispatch.Micros, events []dispatch.Event) (out []dispatch.Action) {
	send := func(taken dispatch.MessageAccepted) {
		if at := e.list[taken.Destination]; len(at) > 0 {
			e.attempts++
			out = append(out, dispatch.Send{Message: taken.Message, Endpoint: at[e.attempts%len(at)], Timeout: 2 * 1000 * 1000})
		}
	}
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.EndpointUpdate:
			for _, l := range event.Entries {
				e.list[l.Destination] = append(e.list[l.Destination], l.Endpoint)
			}
		case dispatch.MessageAccepted:
			e.dest[event.Message] = event
			send(event)
		case dispatch.AttemptFinished:
			if !event.MessageDone && event.Attempt < 20 {
				send(e.dest[event.Message])
			}
		}
	}
	return out
}

func TestEagerCourierBreaksReturnsAndOrder(t *testing.T) {
	for name, rule := range map[string]invariants.Rule{"silent-and-cold": invariants.NoRecoveryOverload, "in-order": invariants.KeyOrder} {
		d := find(t, name)
		d.Fleet.SlotsFactor, d.Fleet.MaxAttempts = 50, 100
		d.Rules.OverloadFactor = 1.2
		v, _, err := Play(scenario.Draw(d, 1), NewLocalHost(func(_ int, ch dispatch.Config) Decider {
			return &eager{ch: ch, list: map[dispatch.DestinationID][]dispatch.EndpointID{}, dest: map[dispatch.MessageID]dispatch.MessageAccepted{}}
		}), Options{})
		if err != nil || v.BreachCounts[rule] == 0 {
			t.Errorf("%s: %v, %s", name, err, v.Short())
		}
	}
}

func find(t *testing.T, name string) *scenario.Definition {
	t.Helper()
	d, err := scenario.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
