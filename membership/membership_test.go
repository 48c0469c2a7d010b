package membership

import (
	"fmt"
	"os"
	"reflect"
	"testing"

	"pineport/modelcheck"
)

const tick = second / 5

func begun(fleet int) *Membership {
	v := New(Config{Self: "a", Incarnation: 5, FleetSize: fleet, Tick: tick, Seed: 1})
	v.Handle(tick, Tick{})
	return v
}

func alive(n Name, s Incarnation) MemberReported {
	return MemberReported{Name: n, Incarnation: s, State: Alive}
}

func find[T Action](all []Action) (found T, ok bool) {
	for _, a := range all {
		if a, is := a.(T); is {
			return a, true
		}
	}
	return found, false
}

// Failure: a courier that is cut off took the rest for dead, and a larger part of every limit for itself.
func TestPartitionedMemberCountsTheLargest(t *testing.T) {
	v := begun(3)
	out := v.Handle(2*tick, alive("b", 1), alive("c", 1), alive("d", 1))
	if r, ok := find[FleetSizeEstimated](out); !ok || r.Couriers != 4 || v.localStatus != Complete {
		t.Fatalf("four are there, %v, %v", out, v.localStatus)
	}
	for _, n := range []Name{"b", "c", "d"} {
		v.Handle(3*tick, MemberReported{Name: n, Incarnation: 1, State: Failed})
	}
	for now := 4 * tick; now < 600*second; now += tick {
		v.Handle(now, Tick{})
	}
	if p := v.Snapshot(); p.LocalStatus != "alone" || p.MinCouriers != 1 || p.MaxCouriers != 4 || v.EstimatedSize() != 4 {
		t.Errorf("alone it counts %+v", p)
	}
}

// Failure: a process stopped for 20 s woke believing that the rest was dead.
func TestRecoveringTrustsNothing(t *testing.T) {
	v := begun(4)
	v.Handle(2*tick, Tick{}, alive("b", 1), alive("c", 1), alive("d", 1))
	out := v.Handle(20*second, MemberReported{Name: "b", Incarnation: 1, State: Failed}, MemberReported{Name: "c", Incarnation: 1, State: Suspected}, Tick{})
	if s, ok := find[LocalStatusChanged](out); !ok || s.To != Recovering {
		t.Fatalf("after a standstill %v", out)
	}
	for _, member := range v.Snapshot().Members {
		if member.State != Unknown {
			t.Errorf("%s is taken for %v", member.Name, member.State)
		}
	}
	v.Handle(20*second+tick, ProbeAnswered{"b"}, ProbeAnswered{"c"}, Tick{})
	if v.localStatus != Recovering {
		t.Errorf("two answers of three are enough: %v", v.localStatus)
	}
	if v.Handle(20*second+2*tick, ProbeAnswered{"d"}, Tick{}); v.localStatus != Complete || v.EstimatedSize() != 4 {
		t.Errorf("after three answers %v, %d couriers", v.localStatus, v.EstimatedSize())
	}
}

// Failure: who waited for an answer of one that had died meanwhile never trusted anybody again.
func TestRecoveryEnds(t *testing.T) {
	v := begun(3)
	v.Handle(2*tick, Tick{}, alive("b", 1), alive("c", 1))
	v.Handle(20*second, Tick{}, ProbeAnswered{"b"}, MemberReported{Name: "c", Incarnation: 1, State: Failed})
	for now := 20*second + tick; now < 29*second; now += tick {
		if v.Handle(now, Tick{}); v.localStatus != Recovering {
			t.Fatalf("at %d it heeds a word from its own silence", now)
		}
	}
	for now := 29 * second; now < 31*second; now += tick {
		v.Handle(now, Tick{})
	}
	if v.localStatus != Partial || v.members["c"].State != Failed || v.EstimatedSize() != 3 {
		t.Errorf("%v, %d couriers", v.localStatus, v.EstimatedSize())
	}
}

// Failure: a restart under an old number, or two couriers of one name, passed for one member.
func TestIncarnationsOnlyGrow(t *testing.T) {
	v := begun(1)
	if r, ok := find[IncarnationAdvanced](v.Handle(2*tick, IncarnationReported{9})); !ok || r.Incarnation != 10 {
		t.Errorf("an older copy of the folder goes on with %v", r)
	}
	if out := v.Handle(3*tick, NameConflict{Incarnation: 8, Address: "x:1"}); len(out) != 0 {
		t.Errorf("the younger one steps down: %v", out)
	}
	if r, ok := find[IncarnationAdvanced](v.Handle(4*tick, NameConflict{Incarnation: 10, Address: "x:1"})); !ok || r.Incarnation <= 10 {
		t.Errorf("of two of one number this one keeps it: %v", r)
	}
	if b, ok := find[StepDown](v.Handle(5*tick, NameConflict{Incarnation: 5000, Address: "x:1"})); !ok || b.Incarnation != 5000 || v.localStatus != SteppedDown {
		t.Errorf("the older one goes on: %v", v.localStatus)
	}
	v.Handle(6*tick, alive("b", 3), MemberReported{Name: "b", Incarnation: 2, State: Failed})
	if member := v.members["b"]; member.State != Alive || v.staleReports != 1 {
		t.Errorf("a word on an old start counts: %+v", member)
	}
	v.Handle(7*tick, MemberReported{Name: "b", Incarnation: 3, State: Left}, alive("b", 3))
	if member := v.members["b"]; member.State != Left {
		t.Errorf("who left is back without a new start: %+v", member)
	}
}

// Failure: a word that a fleet shrank was taken up by all in step, or by one that did not hear all.
func TestEstimateShrinksLater(t *testing.T) {
	at := map[Micros]bool{}
	for salt := range int64(20) {
		v := New(Config{Self: "a", Incarnation: 1, FleetSize: 2, Tick: tick, Seed: salt})
		v.Handle(tick, Tick{}, alive("b", 1), alive("c", 1))
		v.Handle(2*tick, MemberReported{Name: "c", Incarnation: 1, State: Failed}, Tick{}, MemberRemoved{"c"})
		for now := 3 * tick; now < 12*second; now += tick {
			if r, ok := find[FleetSizeEstimated](v.Handle(now, Tick{})); ok && r.Couriers == 2 {
				at[now] = true
			}
		}
		if v.EstimatedSize() != 2 {
			t.Fatalf("salt %d: %d couriers", salt, v.EstimatedSize())
		}
	}
	if len(at) < 8 {
		t.Errorf("twenty couriers take fewer up at only %d instants", len(at))
	}
}

// Failure: the view grew with the names ever seen.
func TestNamesAreBounded(t *testing.T) {
	v := begun(1)
	for i := range maxNames + 500 {
		v.Handle(2*tick, MemberReported{Name: Name(fmt.Sprintf("n%05d", i)), Incarnation: 1, State: Failed})
	}
	if len(v.members) != maxNames || v.Snapshot().MaxCouriers != maxNames+501 {
		t.Errorf("%d names kept, %d counted", len(v.members), v.Snapshot().MaxCouriers)
	}
}

// world is what the view's promises are held against: all that was ever said to it.
type world struct {
	membership *Membership
	start      Incarnation
	highest    map[Name]Incarnation
	left       map[Name]Incarnation
	asked      int
	answers    map[Name]bool // since it last stood still
	paused     bool
}

func (w *world) check(events []Event, out []Action) error {
	v := w.membership
	for _, e := range events {
		if h, ok := e.(MemberReported); ok && h.Name != "a" && h.Incarnation >= w.highest[h.Name] {
			if h.State == Left {
				w.left[h.Name] = h.Incarnation
			}
			w.highest[h.Name] = h.Incarnation
		}
		if a, ok := e.(ProbeAnswered); ok {
			w.answers[a.Name] = true
		}
	}
	most, less := 1, false
	for n, s := range w.highest {
		if l, ok := w.left[n]; !ok || l < s {
			most++
		}
	}
	for _, a := range out {
		switch a := a.(type) {
		case FleetSizeEstimated:
			less = a.Couriers < w.asked
			w.asked = a.Couriers
		case IncarnationAdvanced:
			if a.Incarnation <= w.start {
				return fmt.Errorf("number %d after %d", a.Incarnation, w.start)
			}
			w.start = a.Incarnation
		case LocalStatusChanged:
			if a.To == Recovering {
				w.paused, w.answers = true, map[Name]bool{}
			} else if a.From == Recovering {
				for n, member := range v.members {
					if member.State == Unknown && len(w.answers) < freshAfter {
						return fmt.Errorf("trusts again after %d answers, and %s is unknown", len(w.answers), n)
					}
				}
			}
		}
	}
	if v.EstimatedSize() < most || v.EstimatedSize() < v.config.FleetSize && !less {
		return fmt.Errorf("counts on %d, %d may be there, %d by the settings", v.EstimatedSize(), most, v.config.FleetSize)
	}
	if less && v.localStatus != Complete {
		return fmt.Errorf("counts fewer while %v", v.localStatus)
	}
	for n, member := range v.members {
		if member.Incarnation != w.highest[n] {
			return fmt.Errorf("%s has start %d, %d was heard", n, member.Incarnation, w.highest[n])
		}
		if l, ok := w.left[n]; ok && l == member.Incarnation && member.State != Left {
			return fmt.Errorf("%s is %v, and had left", n, member.State)
		}
	}
	if v.estimatedSize != w.asked {
		return fmt.Errorf("counts on %d, reported %d", v.estimatedSize, w.asked)
	}
	return nil
}

// steps are what may happen next in a world of three: each once for b and c where it names one.
func steps() (all [][]Event) {
	for _, n := range []Name{"b", "c"} {
		all = append(all, []Event{alive(n, 1)}, []Event{MemberReported{Name: n, Incarnation: 1, State: Suspected}}, []Event{MemberReported{Name: n, Incarnation: 1, State: Failed}},
			[]Event{MemberReported{Name: n, Incarnation: 1, State: Left}}, []Event{alive(n, 2)}, []Event{ProbeAnswered{n}})
	}
	return append(all, []Event{Tick{}}, nil, []Event{IncarnationReported{7}}) // nil: stands still, see run
}

// run plays an order of steps; plant breaks the view on purpose after each.
func run(order []int, all [][]Event, plant func(*Membership)) error {
	w := &world{membership: begun(2), start: 5, highest: map[Name]Incarnation{}, left: map[Name]Incarnation{}, asked: 2, answers: map[Name]bool{}}
	now := 2 * tick
	for _, i := range order {
		events := all[i]
		if now += tick; events == nil {
			now, events = now+20*second, []Event{Tick{}}
		}
		out := w.membership.Handle(now, events...)
		if plant != nil {
			plant(w.membership)
		}
		if err := w.check(events, out); err != nil {
			return err
		}
		w.membership.lastTick = now
	}
	return nil
}

// TestEveryOrder plays every order of four of fifteen steps of three members: 50,625 worlds. With PINEPORT_DEEP set, of five:
// 759,375, in some twenty seconds.
func TestEveryOrder(t *testing.T) {
	all, n, depth := steps(), 0, 4
	if os.Getenv("PINEPORT_DEEP") != "" {
		depth = 5
	}
	modelcheck.ForEachSequence(depth, len(all), func(order []int) bool {
		n++
		if err := run(order, all, nil); err != nil {
			t.Errorf("%v: %v", order, err)
			return false
		}
		return true
	})
	t.Logf("%d worlds", n)
}

// TestPlantedFaults shows that the checks above see what they are there for.
func TestPlantedFaults(t *testing.T) {
	all := steps()
	for name, plant := range map[string]func(*Membership){
		"forgets who failed": func(v *Membership) {
			for n, member := range v.members {
				if member.State == Failed {
					delete(v.members, n)
					v.estimatedSize = len(v.members) + 1
				}
			}
		},
		"goes back to an old start": func(v *Membership) {
			for _, member := range v.members {
				member.Incarnation = min(member.Incarnation, 1)
			}
		},
		"revives who left": func(v *Membership) {
			for _, member := range v.members {
				if member.State == Left {
					member.State = Alive
				}
			}
		},
		"counts without telling": func(v *Membership) { v.estimatedSize = 9 },
	} {
		caught := false
		modelcheck.ForEachSequence(3, len(all), func(order []int) bool {
			caught = run(order, all, plant) != nil
			return !caught
		})
		if !caught {
			t.Errorf("%s: not seen", name)
		}
	}
}

// TestRandomWalks goes beyond every order: long walks, the same each time.
func TestRandomWalks(t *testing.T) {
	all := steps()
	for seed := range int64(2000) {
		order := modelcheck.RandomSequence(seed, 60, len(all))
		if err := run(order, all, nil); err != nil {
			t.Fatalf("seed %d, %v: %v", seed, order, err)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (out []Action) {
		v := begun(2)
		for i := range 40 {
			n := Name(fmt.Sprintf("m%d", i%9))
			out = append(out, v.Handle(Micros(i+2)*tick, Tick{}, MemberReported{Name: n, Incarnation: Incarnation(i / 9), State: State(1 + i%4)})...)
		}
		return append(out, v.Handle(90*second)...)
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Errorf("%v\n%v", a, b)
	}
}
