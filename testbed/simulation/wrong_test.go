package simulation

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// faultyDecider breaks one rule: it passes events to a correct decider, and modify changes the actions.
type faultyDecider struct {
	Decider
	modify          func(f *faultyDecider, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	accepted        map[dispatch.MessageID]dispatch.MessageAccepted
	attempts        map[dispatch.MessageID]int
	ended           []dispatch.MessageID
	notInService    map[dispatch.EndpointID]dispatch.DestinationID
	entries         map[dispatch.EndpointID]dispatch.EndpointEntry
	retryAfterUntil map[dispatch.DestinationID]dispatch.Micros
}

func (f *faultyDecider) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.MessageAccepted:
			f.accepted[e.Message] = e
		case dispatch.AttemptFinished:
			if e.MessageDone {
				f.ended = append(f.ended, e.Message)
			}
			if e.RetryAfter > 0 {
				f.retryAfterUntil[f.accepted[e.Message].Destination] = now + e.RetryAfter
			}
		case dispatch.EndpointUpdate:
			for _, l := range e.Entries {
				f.entries[l.Endpoint] = l
				if l.Phase != dispatch.InService {
					f.notInService[l.Endpoint] = l.Destination
				}
			}
		}
	}
	actions := f.Decider.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			f.attempts[a.Message]++
		case dispatch.Reject:
			f.ended = append(f.ended, a.Message)
		}
	}
	return f.modify(f, now, events, actions)
}

// endpointOf returns the endpoint in service of a destination that comes first by ID.
func (f *faultyDecider) endpointOf(dest dispatch.DestinationID) (best dispatch.EndpointID) {
	for id, l := range f.entries {
		if l.Destination == dest && l.Phase == dispatch.InService && (best == "" || id < best) {
			best = id
		}
	}
	return best
}

// TestFaultyDecidersAreDetected checks, for each rule, that a decider breaking that rule is reported under
// it, and that the correct decider breaks no rule in the same scenario. It guards against a ledger that no
// longer checks a rule.
func TestFaultyDecidersAreDetected(t *testing.T) {
	type modify = func(f *faultyDecider, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	for _, c := range []struct {
		name, scenario string
		rule           invariants.Rule
		modify         modify
	}{
		{"resends a single-use message that may have run", "acts-then-hangs", invariants.NoDuplicateEffect,
			func(f *faultyDecider, _ dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					s, ok := e.(dispatch.AttemptFinished)
					mayRun := ok && (s.Outcome == dispatch.TimedOut || s.Outcome == dispatch.Broken || s.Outcome == dispatch.Canceled)
					if mayRun && !s.MessageDone && f.accepted[s.Message].Class == 1 {
						actions = append([]dispatch.Action{dispatch.Send{Message: s.Message, Endpoint: f.endpointOf(f.accepted[s.Message].Destination),
							Timeout: 1000}}, actions...)
					}
				}
				return actions
			}},
		{"rejects messages that may have run", "acts-then-hangs", invariants.NoDuplicateEffect,
			func(_ *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if end, ok := a.(dispatch.Fail); ok {
						actions[i] = dispatch.Reject{Message: end.Message}
					}
				}
				return actions
			}},
		{"sends before Retry-After has passed", "shrunk-limits", invariants.WaitRespected,
			func(f *faultyDecider, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					// Sends more than 10 ms before the end of a wait from Retry-After.
					if accepted, ok := e.(dispatch.MessageAccepted); ok && f.retryAfterUntil[accepted.Destination] > now+10*1000 && f.accepted[accepted.Message].Class == 0 {
						return append(actions, dispatch.Send{Message: accepted.Message, Endpoint: f.endpointOf(accepted.Destination), Timeout: 1000 * 1000})
					}
				}
				return actions
			}},
		{"sends to draining endpoints", "moving-house", invariants.DrainRespected,
			func(f *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if send, ok := a.(dispatch.Send); ok {
						for id, d := range f.notInService {
							if d == f.accepted[send.Message].Destination {
								actions[i] = dispatch.Send{Message: send.Message, Endpoint: id, Timeout: send.Timeout}
							}
						}
					}
				}
				return actions
			}},
		{"omits final answers", "acts-then-hangs", invariants.FinalAnswer,
			func(_ *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				var kept []dispatch.Action
				for _, a := range actions {
					if _, ok := a.(dispatch.Reject); !ok {
						kept = append(kept, a)
					}
				}
				return kept
			}},
		{"answers a message twice", "silent-and-cold", invariants.FinalAnswer,
			func(_ *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, a := range actions {
					if b, ok := a.(dispatch.Reject); ok {
						return append(actions, dispatch.Fail{Message: b.Message})
					}
				}
				return actions
			}},
		{"sends a message after its final answer", "calm", invariants.FinalAnswer,
			func(f *faultyDecider, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				if n := len(f.ended); n > 0 {
					id := f.ended[n-1]
					f.ended = f.ended[:n-1]
					actions = append(actions, dispatch.Send{Message: id, Endpoint: f.endpointOf(f.accepted[id].Destination), Timeout: 1000 * 1000})
				}
				return actions
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := findScenario(t, c.scenario)
			instance := scenario.Draw(d, 2)
			correct, _, err := Play(instance, NewLocalHost(nil), Options{})
			if err != nil || !correct.OK() {
				t.Fatalf("the correct decider: %v, %s %v", err, correct.Short(), correct.Breaches)
			}
			v, _, err := Play(instance, NewLocalHost(func(_ int, cfg dispatch.Config) Decider {
				return &faultyDecider{Decider: dispatch.New(cfg), modify: c.modify, accepted: map[dispatch.MessageID]dispatch.MessageAccepted{}, attempts: map[dispatch.MessageID]int{},
					notInService: map[dispatch.EndpointID]dispatch.DestinationID{}, entries: map[dispatch.EndpointID]dispatch.EndpointEntry{}, retryAfterUntil: map[dispatch.DestinationID]dispatch.Micros{}}
			}), Options{})
			if err != nil {
				t.Fatal(err)
			}
			if v.BreachCounts[c.rule] == 0 || v.Score != 0 {
				t.Errorf("breach not detected, or score not zero: %s, score %v", v.Short(), v.Score)
			}
		})
	}
}

// eagerDecider sends every message at once, up to 21 times until it is delivered. It ignores slow start and
// ordering keys.
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

// TestEagerDeciderBreaksSlowStartAndOrder checks that the overload of recovering destinations and the
// violation of key order are reported. The couriers get many slots and attempts, and destinations a low
// overload factor.
func TestEagerDeciderBreaksSlowStartAndOrder(t *testing.T) {
	for name, rule := range map[string]invariants.Rule{"silent-and-cold": invariants.NoRecoveryOverload, "in-order": invariants.KeyOrder} {
		d := findScenario(t, name)
		d.Fleet.SlotsFactor, d.Fleet.MaxAttempts = 50, 100
		d.Rules.OverloadFactor = 1.2
		v, _, err := Play(scenario.Draw(d, 1), NewLocalHost(func(_ int, cfg dispatch.Config) Decider {
			return &eagerDecider{config: cfg, endpoints: map[dispatch.DestinationID][]dispatch.EndpointID{}, accepted: map[dispatch.MessageID]dispatch.MessageAccepted{}}
		}), Options{})
		if err != nil || v.BreachCounts[rule] == 0 {
			t.Errorf("%s: %v, %s", name, err, v.Short())
		}
	}
}

func findScenario(t *testing.T, name string) *scenario.Definition {
	t.Helper()
	d, err := scenario.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
