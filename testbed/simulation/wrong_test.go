package simulation

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// wrong is a courier that breaks one rule: it passes events and actions through and spoils what it is notified to.
type faultyDecider struct {
	Decider
	modify          func(w *faultyDecider, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	accepted        map[dispatch.MessageID]dispatch.MessageAccepted
	attempts        map[dispatch.MessageID]int
	ended           []dispatch.MessageID
	notInService    map[dispatch.EndpointID]dispatch.DestinationID
	entries         map[dispatch.EndpointID]dispatch.EndpointEntry
	retryAfterUntil map[dispatch.DestinationID]dispatch.Micros
}

func (d *faultyDecider) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.MessageAccepted:
			d.accepted[e.Message] = e
		case dispatch.AttemptFinished:
			if e.MessageDone {
				d.ended = append(d.ended, e.Message)
			}
			if e.RetryAfter > 0 {
				d.retryAfterUntil[d.accepted[e.Message].Destination] = now + e.RetryAfter
			}
		case dispatch.EndpointUpdate:
			for _, l := range e.Entries {
				d.entries[l.Endpoint] = l
				if l.Phase != dispatch.InService {
					d.notInService[l.Endpoint] = l.Destination
				}
			}
		}
	}
	actions := d.Decider.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			d.attempts[a.Message]++
		case dispatch.Reject:
			d.ended = append(d.ended, a.Message)
		}
	}
	return d.modify(d, now, events, actions)
}

// endpointOf is any endpoint of a destination that is listed, the first by name.
func (f *faultyDecider) endpointOf(dest dispatch.DestinationID) (best dispatch.EndpointID) {
	for id, l := range f.entries {
		if l.Destination == dest && l.Phase == dispatch.InService && (best == "" || id < best) {
			best = id
		}
	}
	return best
}

// TestFaultyDecidersAreDetected: for each rule a courier that breaks it, and nothing else, is named by just that rule; the
// right courier on the same day by none. So a ledger that stopped looking would be found out.
func TestFaultyDecidersAreDetected(t *testing.T) {
	type modify = func(w *faultyDecider, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	for _, c := range []struct {
		name, day string
		rule      invariants.Rule
		modify    modify
	}{
		{"repeats a single-use record that may have run", "acts-then-hangs", invariants.Twice,
			func(w *faultyDecider, _ dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					s, ok := e.(dispatch.AttemptFinished)
					mayRun := ok && (s.Outcome == dispatch.TimedOut || s.Outcome == dispatch.Broken || s.Outcome == dispatch.Canceled)
					if mayRun && !s.MessageDone && w.accepted[s.Message].Class == 1 {
						actions = append([]dispatch.Action{dispatch.Send{Message: s.Message, Endpoint: w.endpointOf(w.accepted[s.Message].Destination),
							Timeout: 1000}}, actions...)
					}
				}
				return actions
			}},
		{"bounces what may have run", "acts-then-hangs", invariants.Twice,
			func(_ *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if end, ok := a.(dispatch.Fail); ok {
						actions[i] = dispatch.Reject{Message: end.Message}
					}
				}
				return actions
			}},
		{"sends in a told wait", "shrunk-limits", invariants.Waits,
			func(w *faultyDecider, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					if accepted, ok := e.(dispatch.MessageAccepted); ok && w.retryAfterUntil[accepted.Destination] > now+10*1000 && w.accepted[accepted.Message].Class == 0 {
						return append(actions, dispatch.Send{Message: accepted.Message, Endpoint: w.endpointOf(accepted.Destination), Timeout: 1000 * 1000})
					}
				}
				return actions
			}},
		{"sends to what drains", "moving-house", invariants.Drain,
			func(w *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if send, ok := a.(dispatch.Send); ok {
						for id, d := range w.notInService {
							if d == w.accepted[send.Message].Destination {
								actions[i] = dispatch.Send{Message: send.Message, Endpoint: id, Timeout: send.Timeout}
							}
						}
					}
				}
				return actions
			}},
		{"forgets a final answer", "acts-then-hangs", invariants.Final,
			func(_ *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				var kept []dispatch.Action
				for _, a := range actions {
					if _, ok := a.(dispatch.Reject); !ok {
						kept = append(kept, a)
					}
				}
				return kept
			}},
		{"answers twice", "silent-and-cold", invariants.Final,
			func(_ *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, a := range actions {
					if b, ok := a.(dispatch.Reject); ok {
						return append(actions, dispatch.Fail{Message: b.Message})
					}
				}
				return actions
			}},
		{"sends after the end", "calm", invariants.Final,
			func(w *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				if n := len(w.ended); n > 0 {
					id := w.ended[n-1]
					w.ended = w.ended[:n-1]
					actions = append(actions, dispatch.Send{Message: id, Endpoint: w.endpointOf(w.accepted[id].Destination), Timeout: 1000 * 1000})
				}
				return actions
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := findScenario(t, c.day)
			w := scenario.Draw(d, 2)
			correct, _, err := Play(w, NewLocal(nil), Options{})
			if err != nil || !correct.OK() {
				t.Fatalf("the right courier: %v, %s %v", err, correct.Short(), correct.Breaches)
			}
			v, _, err := Play(w, NewLocal(func(_ int, ch dispatch.Config) Decider {
				return &faultyDecider{Decider: dispatch.New(ch), modify: c.modify, accepted: map[dispatch.MessageID]dispatch.MessageAccepted{}, attempts: map[dispatch.MessageID]int{},
					notInService: map[dispatch.EndpointID]dispatch.DestinationID{}, entries: map[dispatch.EndpointID]dispatch.EndpointEntry{}, retryAfterUntil: map[dispatch.DestinationID]dispatch.Micros{}}
			}), Options{})
			if err != nil {
				t.Fatal(err)
			}
			if v.Broken[c.rule] == 0 || v.Figure != 0 {
				t.Errorf("not caught: %s, figure %v", v.Short(), v.Figure)
			}
		})
	}
}

// eager sends all at once, in any order, until it is done: it heeds neither returns nor the order of keys.
type eagerDecider struct {
	config    dispatch.Config
	endpoints map[dispatch.DestinationID][]dispatch.EndpointID
	accepted  map[dispatch.MessageID]dispatch.MessageAccepted
	attempts  int
}

func (d *eagerDecider) Handle(_ dispatch.Micros, events []dispatch.Event) (out []dispatch.Action) {
	send := func(accepted dispatch.MessageAccepted) {
		if at := d.endpoints[accepted.Destination]; len(at) > 0 {
			d.attempts++
			out = append(out, dispatch.Send{Message: accepted.Message, Endpoint: at[d.attempts%len(at)], Timeout: 2 * 1000 * 1000})
		}
	}
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.EndpointUpdate:
			for _, l := range event.Entries {
				d.endpoints[l.Destination] = append(d.endpoints[l.Destination], l.Endpoint)
			}
		case dispatch.MessageAccepted:
			d.accepted[event.Message] = event
			send(event)
		case dispatch.AttemptFinished:
			if !event.MessageDone && event.Attempt < 20 {
				send(d.accepted[event.Message])
			}
		}
	}
	return out
}

func TestEagerDeciderBreaksReturnsAndOrder(t *testing.T) {
	for name, rule := range map[string]invariants.Rule{"silent-and-cold": invariants.Pushed, "in-order": invariants.Order} {
		d := findScenario(t, name)
		d.Fleet.SlotsRoom, d.Fleet.MaxAttempts = 50, 100
		d.Rules.Fall = 1.2
		v, _, err := Play(scenario.Draw(d, 1), NewLocal(func(_ int, ch dispatch.Config) Decider {
			return &eagerDecider{config: ch, endpoints: map[dispatch.DestinationID][]dispatch.EndpointID{}, accepted: map[dispatch.MessageID]dispatch.MessageAccepted{}}
		}), Options{})
		if err != nil || v.Broken[rule] == 0 {
			t.Errorf("%s: %v, %s", name, err, v.Short())
		}
	}
}

func findScenario(t *testing.T, name string) *scenario.Day {
	t.Helper()
	d, err := scenario.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
