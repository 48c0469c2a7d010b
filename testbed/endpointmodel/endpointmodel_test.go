package endpointmodel

import (
	"testing"

	"pgregory.net/rapid"

	"pineport/dispatch"
)

const ms = dispatch.Micros(1000)

func plan() Plan {
	return Plan{Endpoints: []Endpoint{{ID: "a", Zone: 0}, {ID: "b", Zone: 1}}, Workers: 2, Queue: 1, ServiceTime: 100 * ms, PerCall: 5,
		SlowStartInitialShare: 0.2, SlowStart: 10000 * ms, OverloadFactor: 2, OverloadWindow: 2000 * ms, OverloadDowntime: 5000 * ms, Limit: Limit{RetryAfterShare: 1}}
}

// stepUntil advances a destination to a time and returns the outputs.
func stepUntil(p *Destination, to dispatch.Micros) (outputs []Output) {
	for p.NextDue() <= to {
		outputs = append(outputs, p.Step(p.NextDue())...)
	}
	return outputs
}

func receive(p *Destination, at dispatch.Micros, id uint64, ep dispatch.EndpointID, items ...Item) []Output {
	if len(items) == 0 {
		items = []Item{{Message: "r", Origin: "r"}}
	}
	return p.Receive(at, &Call{ID: id, Endpoint: ep, Items: items})
}

func outcomes(outputs []Output) (delivered, throttled, broken, effects int) {
	for _, o := range outputs {
		switch o := o.(type) {
		case Answer:
			switch o.Outcome {
			case dispatch.Delivered:
				delivered++
			case dispatch.Throttled:
				throttled++
			case dispatch.Broken:
				broken++
			}
		case Effect:
			if !o.Deduplicated {
				effects++
			}
		}
	}
	return
}

func TestServesWithinWorkersAndQueue(t *testing.T) {
	p := New(plan())
	var all []Output
	for i := range 4 { // two calls are served, one is queued, one is rejected
		all = append(all, receive(p, 0, uint64(i), "a")...)
	}
	all = append(all, stepUntil(p, 1000*ms)...)
	if delivered, throttled, _, _ := outcomes(all); delivered != 3 || throttled != 1 {
		t.Errorf("%d calls delivered, %d throttled; want 3 and 1", delivered, throttled)
	}
}

// TestHangWithEffect checks that a call that hangs can take effect without an answer.
func TestHangWithEffect(t *testing.T) {
	p := New(plan())
	p.StartFault(0, "a", Fault{ID: 1, Kind: Hang, EffectShare: 1})
	all := append(receive(p, 0, 1, "a"), stepUntil(p, 5000*ms)...)
	if delivered, throttled, broken, effects := outcomes(all); delivered+throttled+broken != 0 || effects != 1 {
		t.Errorf("%d calls delivered, %d throttled, %d broken, %d effects; want one effect and no answer", delivered, throttled, broken, effects)
	}
}

func TestDeduplicatesInWindowAndZone(t *testing.T) {
	p := New(plan())
	item := Item{Message: "x", Origin: "x", Repeat: dispatch.IdempotencyKey, DedupWindow: 1000 * ms, DedupOneZone: true}
	var all []Output
	for _, c := range []struct {
		at dispatch.Micros
		ep dispatch.EndpointID
	}{{0, "a"}, {500 * ms, "a"}, {600 * ms, "b"}, {5000 * ms, "a"}} {
		all = append(all, receive(p, c.at, uint64(c.at)+1, c.ep, item)...)
		all = append(all, stepUntil(p, c.at+400*ms)...)
	}
	// The second call is recognized as a repeat. The third goes to another zone, and the fourth comes after the window.
	if _, _, _, effects := outcomes(all); effects != 3 {
		t.Errorf("%d effects, want 3", effects)
	}
}

// TestOverloadDuringRecovery checks that a recovering destination goes down if it receives more than Plan.OverloadFactor times its
// capacity, and stays up otherwise.
func TestOverloadDuringRecovery(t *testing.T) {
	for _, c := range []struct {
		every dispatch.Micros
		falls int
	}{{20 * ms, 1}, {400 * ms, 0}} {
		p := New(plan())
		p.StartFault(0, "a", Fault{ID: 1, Kind: Shut})
		p.StartFault(0, "b", Fault{ID: 1, Kind: Shut})
		p.EndFault(1000*ms, "a", 1)
		p.EndFault(1000*ms, "b", 1)
		falls := 0
		for at := 1000 * ms; at < 3500*ms; at += c.every {
			for _, o := range append(stepUntil(p, at), receive(p, at, uint64(at), "a")...) {
				if f, ok := o.(RouteOverloaded); ok {
					falls++
					if f.Sent[0] < 5 {
						t.Errorf("overloaded after %v calls by courier, want at least 5 by courier 0", f.Sent)
					}
				}
			}
			if falls > 0 {
				if p.ConnectStatus("a") != Refused || p.ConnectStatus("b") != Refused {
					t.Error("the destination is overloaded, but accepts connections")
				}
				break
			}
		}
		if falls != c.falls {
			t.Errorf("with a call every %v: overloaded %d times, want %d", c.every, falls, c.falls)
		}
	}
}

// TestAtMostOneAnswer checks that a call gets at most one answer, and none after its courier canceled it, with any faults at
// any time.
func TestAtMostOneAnswer(t *testing.T) {
	kinds := []FaultKind{Refuse, Silent, Hang, Shut, Errors, Swallow, Resets, Slow, Pause, Shrink, Crowd}
	rapid.Check(t, func(t *rapid.T) {
		pl := plan()
		pl.ServiceTimeCV, pl.Seed = 0.5, rapid.Uint64().Draw(t, "seed")
		pl.Limit = Limit{Kind: LimitKind(rapid.IntRange(0, 2).Draw(t, "limit")), PerSec: 20, Window: 500 * ms, RetryAfterShare: 0.5}
		p := New(pl)
		answers, canceled := map[uint64]int{}, map[uint64]bool{}
		calls := map[uint64]*Call{}
		check := func(outputs []Output) {
			for _, o := range outputs {
				if a, ok := o.(Answer); ok {
					if answers[a.Call.ID]++; answers[a.Call.ID] > 1 {
						t.Fatalf("call %d answered twice", a.Call.ID)
					}
					if canceled[a.Call.ID] {
						t.Fatalf("call %d answered after it was canceled", a.Call.ID)
					}
				}
			}
		}
		at := dispatch.Micros(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			at += dispatch.Micros(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			check(stepUntil(p, at))
			ep := []dispatch.EndpointID{"a", "b"}[rapid.IntRange(0, 1).Draw(t, "endpoint")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				check(p.StartFault(at, ep, Fault{ID: i, Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Size: 0.5, EffectShare: 0.5, Until: at + 1000*ms}))
			case 1:
				check(p.EndFault(at, ep, rapid.IntRange(0, i).Draw(t, "strike")))
			case 2:
				if c := calls[uint64(rapid.IntRange(0, i).Draw(t, "call"))]; c != nil {
					canceled[c.ID] = true
					check(p.Cancel(at, c))
				}
			default:
				if p.Connect(at, ep) == Connected {
					c := &Call{ID: uint64(i), Endpoint: ep, Items: []Item{{Message: "r", Origin: "r"}}}
					calls[c.ID] = c
					check(p.Receive(at, c))
				}
			}
		}
		check(stepUntil(p, at+60000*ms))
	})
}
