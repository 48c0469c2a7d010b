package simulation

import (
	"testing"

	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// wrong is a courier that breaks one rule: it passes events and actions through and spoils what it is told to.
type wrong struct {
	Decider
	spoil func(w *wrong, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action
	seen  map[dispatch.RecordID]dispatch.Taken
	trips map[dispatch.RecordID]int
	ended []dispatch.RecordID
	gone  map[dispatch.EndpointID]dispatch.DestID
	all   map[dispatch.EndpointID]dispatch.Listing
	waits map[dispatch.DestID]dispatch.Micros
}

func (w *wrong) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Taken:
			w.seen[e.Record] = e
		case dispatch.Settled:
			if e.Over {
				w.ended = append(w.ended, e.Record)
			}
			if e.Wait > 0 {
				w.waits[w.seen[e.Record].Dest] = now + e.Wait
			}
		case dispatch.ListNews:
			for _, l := range e.Entries {
				w.all[l.Endpoint] = l
				if l.Phase != dispatch.In {
					w.gone[l.Endpoint] = l.Dest
				}
			}
		}
	}
	actions := w.Decider.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			w.trips[a.Record]++
		case dispatch.Bounce:
			w.ended = append(w.ended, a.Record)
		}
	}
	return w.spoil(w, now, events, actions)
}

// endpointOf is any endpoint of a destination that is listed, the first by name.
func (w *wrong) endpointOf(d dispatch.DestID) (best dispatch.EndpointID) {
	for id, l := range w.all {
		if l.Dest == d && l.Phase == dispatch.In && (best == "" || id < best) {
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
		{"repeats a single-use record that may have run", "acts-then-hangs", invariants.Twice,
			func(w *wrong, _ dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					s, ok := e.(dispatch.Settled)
					mayRun := ok && (s.Outcome == dispatch.TimedOut || s.Outcome == dispatch.Broken || s.Outcome == dispatch.Withdrawn)
					if mayRun && !s.Over && w.seen[s.Record].Workload == 1 {
						actions = append([]dispatch.Action{dispatch.Send{Record: s.Record, Endpoint: w.endpointOf(w.seen[s.Record].Dest),
							Limit: 1000}}, actions...)
					}
				}
				return actions
			}},
		{"bounces what may have run", "acts-then-hangs", invariants.Twice,
			func(_ *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if end, ok := a.(dispatch.Terminate); ok {
						actions[i] = dispatch.Bounce{Record: end.Record}
					}
				}
				return actions
			}},
		{"sends in a told wait", "shrunk-limits", invariants.Waits,
			func(w *wrong, now dispatch.Micros, events []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, e := range events {
					if taken, ok := e.(dispatch.Taken); ok && w.waits[taken.Dest] > now+10*1000 && w.seen[taken.Record].Workload == 0 {
						return append(actions, dispatch.Send{Record: taken.Record, Endpoint: w.endpointOf(taken.Dest), Limit: 1000 * 1000})
					}
				}
				return actions
			}},
		{"sends to what drains", "moving-house", invariants.Drain,
			func(w *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for i, a := range actions {
					if send, ok := a.(dispatch.Send); ok {
						for id, d := range w.gone {
							if d == w.seen[send.Record].Dest {
								actions[i] = dispatch.Send{Record: send.Record, Endpoint: id, Limit: send.Limit}
							}
						}
					}
				}
				return actions
			}},
		{"forgets a final answer", "acts-then-hangs", invariants.Final,
			func(_ *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				var kept []dispatch.Action
				for _, a := range actions {
					if _, ok := a.(dispatch.Bounce); !ok {
						kept = append(kept, a)
					}
				}
				return kept
			}},
		{"answers twice", "silent-and-cold", invariants.Final,
			func(_ *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				for _, a := range actions {
					if b, ok := a.(dispatch.Bounce); ok {
						return append(actions, dispatch.Terminate{Record: b.Record})
					}
				}
				return actions
			}},
		{"sends after the end", "calm", invariants.Final,
			func(w *wrong, _ dispatch.Micros, _ []dispatch.Event, actions []dispatch.Action) []dispatch.Action {
				if n := len(w.ended); n > 0 {
					id := w.ended[n-1]
					w.ended = w.ended[:n-1]
					actions = append(actions, dispatch.Send{Record: id, Endpoint: w.endpointOf(w.seen[id].Dest), Limit: 1000 * 1000})
				}
				return actions
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := find(t, c.day)
			w := scenario.Draw(d, 2)
			right, _, err := Play(w, NewLocal(nil), Options{})
			if err != nil || !right.OK() {
				t.Fatalf("the right courier: %v, %s %v", err, right.Short(), right.Breaches)
			}
			v, _, err := Play(w, NewLocal(func(_ int, ch dispatch.Charter) Decider {
				return &wrong{Decider: dispatch.New(ch), spoil: c.spoil, seen: map[dispatch.RecordID]dispatch.Taken{}, trips: map[dispatch.RecordID]int{},
					gone: map[dispatch.EndpointID]dispatch.DestID{}, all: map[dispatch.EndpointID]dispatch.Listing{}, waits: map[dispatch.DestID]dispatch.Micros{}}
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
type eager struct {
	ch    dispatch.Charter
	list  map[dispatch.DestID][]dispatch.EndpointID
	dest  map[dispatch.RecordID]dispatch.Taken
	trips int
}

func (e *eager) Handle(_ dispatch.Micros, events []dispatch.Event) (out []dispatch.Action) {
	send := func(taken dispatch.Taken) {
		if at := e.list[taken.Dest]; len(at) > 0 {
			e.trips++
			out = append(out, dispatch.Send{Record: taken.Record, Endpoint: at[e.trips%len(at)], Limit: 2 * 1000 * 1000})
		}
	}
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.ListNews:
			for _, l := range event.Entries {
				e.list[l.Dest] = append(e.list[l.Dest], l.Endpoint)
			}
		case dispatch.Taken:
			e.dest[event.Record] = event
			send(event)
		case dispatch.Settled:
			if !event.Over && event.Trip < 20 {
				send(e.dest[event.Record])
			}
		}
	}
	return out
}

func TestEagerCourierBreaksReturnsAndOrder(t *testing.T) {
	for name, rule := range map[string]invariants.Rule{"silent-and-cold": invariants.Pushed, "in-order": invariants.Order} {
		d := find(t, name)
		d.Fleet.SlotsRoom, d.Fleet.MaxTrips = 50, 100
		d.Rules.Fall = 1.2
		v, _, err := Play(scenario.Draw(d, 1), NewLocal(func(_ int, ch dispatch.Charter) Decider {
			return &eager{ch: ch, list: map[dispatch.DestID][]dispatch.EndpointID{}, dest: map[dispatch.RecordID]dispatch.Taken{}}
		}), Options{})
		if err != nil || v.Broken[rule] == 0 {
			t.Errorf("%s: %v, %s", name, err, v.Short())
		}
	}
}

func find(t *testing.T, name string) *scenario.Day {
	t.Helper()
	d, err := scenario.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
