package endpointmodel

import (
	"testing"

	"pgregory.net/rapid"

	"pineport/dispatch"
)

const ms = dispatch.Micros(1000)

func plan() Plan {
	return Plan{Endpoints: []Endpoint{{ID: "a", Zone: 0}, {ID: "b", Zone: 1}}, Workers: 2, Queue: 1, ServiceTime: 100 * ms, PerCall: 5,
		SlowStartInitialShare: 0.2, SlowStart: 10000 * ms, OverloadFactor: 2, OverloadWindow: 2000 * ms, FallDown: 5000 * ms, Limit: Limit{Tells: 1}}
}

// until steps a partner up to an instant and returns what came of it.
func until(p *Destination, to dispatch.Micros) (all []Output) {
	for p.NextDue() <= to {
		all = append(all, p.Step(p.NextDue())...)
	}
	return all
}

func take(p *Destination, at dispatch.Micros, id uint64, ep dispatch.EndpointID, items ...Item) []Output {
	if len(items) == 0 {
		items = []Item{{Message: "r", Origin: "r"}}
	}
	return p.Receive(at, &Call{ID: id, Endpoint: ep, Items: items})
}

func outcomes(outs []Output) (done, full, broken, ran int) {
	for _, o := range outs {
		switch o := o.(type) {
		case Answer:
			switch o.Outcome {
			case dispatch.Delivered:
				done++
			case dispatch.Throttled:
				full++
			case dispatch.Broken:
				broken++
			}
		case Effect:
			if !o.Deduplicated {
				ran++
			}
		}
	}
	return
}

func TestServesWithinWorkersAndQueue(t *testing.T) {
	p := New(plan())
	var all []Output
	for i := range 4 { // two workers, one waits, one is rejected
		all = append(all, take(p, 0, uint64(i), "a")...)
	}
	all = append(all, until(p, 1000*ms)...)
	if done, full, _, _ := outcomes(all); done != 3 || full != 1 {
		t.Errorf("done %d, full %d", done, full)
	}
}

// TestActsAndHangs: an effect without an answer must be notified from an answer.
func TestActsAndHangs(t *testing.T) {
	p := New(plan())
	p.StartFault(0, "a", Fault{ID: 1, Kind: Hang, EffectShare: 1})
	all := append(take(p, 0, 1, "a"), until(p, 5000*ms)...)
	if done, full, broken, ran := outcomes(all); done+full+broken != 0 || ran != 1 {
		t.Errorf("answered %d %d %d, ran %d", done, full, broken, ran)
	}
}

func TestKnowsRepeatsInWindowAndZone(t *testing.T) {
	p := New(plan())
	item := Item{Message: "x", Origin: "x", Repeat: dispatch.IdempotencyKey, DedupWindow: 1000 * ms, DedupOneZone: true}
	var all []Output
	for _, c := range []struct {
		at dispatch.Micros
		ep dispatch.EndpointID
	}{{0, "a"}, {500 * ms, "a"}, {600 * ms, "b"}, {5000 * ms, "a"}} {
		all = append(all, take(p, c.at, uint64(c.at)+1, c.ep, item)...)
		all = append(all, until(p, c.at+400*ms)...)
	}
	// The second is known; the third is in another zone, the fourth out of the window.
	if _, _, _, ran := outcomes(all); ran != 3 {
		t.Errorf("ran %d times", ran)
	}
}

// TestPushedOverOnReturn: more than its multiple of what it can do puts a returning destination down, and less does not.
func TestPushedOverOnReturn(t *testing.T) {
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
			for _, o := range append(until(p, at), take(p, at, uint64(at), "a")...) {
				if f, ok := o.(RouteOverloaded); ok {
					falls++
					if f.Sent[0] < 5 {
						t.Errorf("fell after %v calls", f.Sent)
					}
				}
			}
			if falls > 0 {
				if p.Door("a") != Refused || p.Door("b") != Refused {
					t.Error("fell, and lets in")
				}
				break
			}
		}
		if falls != c.falls {
			t.Errorf("a call each %v: fell %d times", c.every, falls)
		}
	}
}

// TestEveryCallEndsOnce: whatever faults when, a call gets one answer at most, and none after its courier hung up.
func TestEveryCallEndsOnce(t *testing.T) {
	kinds := []FaultKind{Refuse, Silent, Hang, Shut, Errors, Swallow, Resets, Slow, Stand, Shrink, Crowd}
	rapid.Check(t, func(t *rapid.T) {
		pl := plan()
		pl.Spread, pl.Seed = 0.5, rapid.Uint64().Draw(t, "seed")
		pl.Limit = Limit{Kind: LimitKind(rapid.IntRange(0, 2).Draw(t, "limit")), PerSec: 20, Window: 500 * ms, Tells: 0.5}
		p := New(pl)
		answers, off := map[uint64]int{}, map[uint64]bool{}
		calls := map[uint64]*Call{}
		see := func(outs []Output) {
			for _, o := range outs {
				if a, ok := o.(Answer); ok {
					if answers[a.Call.ID]++; answers[a.Call.ID] > 1 {
						t.Fatalf("call %d answered twice", a.Call.ID)
					}
					if off[a.Call.ID] {
						t.Fatalf("call %d answered after it was called off", a.Call.ID)
					}
				}
			}
		}
		at := dispatch.Micros(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			at += dispatch.Micros(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			see(until(p, at))
			ep := []dispatch.EndpointID{"a", "b"}[rapid.IntRange(0, 1).Draw(t, "endpoint")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				see(p.StartFault(at, ep, Fault{ID: i, Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Size: 0.5, EffectShare: 0.5, Until: at + 1000*ms}))
			case 1:
				see(p.EndFault(at, ep, rapid.IntRange(0, i).Draw(t, "strike")))
			case 2:
				if c := calls[uint64(rapid.IntRange(0, i).Draw(t, "call"))]; c != nil {
					off[c.ID] = true
					see(p.Cancel(at, c))
				}
			default:
				if p.Connect(at, ep) == Connected {
					c := &Call{ID: uint64(i), Endpoint: ep, Items: []Item{{Message: "r", Origin: "r"}}}
					calls[c.ID] = c
					see(p.Receive(at, c))
				}
			}
		}
		see(until(p, at+60000*ms))
	})
}
