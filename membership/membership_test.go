package membership

import (
	"fmt"
	"os"
	"reflect"
	"testing"

	"pineport/modelcheck"
)

const tick = second / 5

func begun(fleet int) *View {
	v := New(Terms{Self: "a", Start: 5, Fleet: fleet, Tick: tick, Salt: 1})
	v.Handle(tick, Passed{})
	return v
}

func alive(n Name, s Start) Heard { return Heard{Name: n, Start: s, State: Alive} }

func find[T Action](all []Action) (found T, ok bool) {
	for _, a := range all {
		if a, is := a.(T); is {
			return a, true
		}
	}
	return found, false
}

// Failure: a courier that is cut off took the rest for dead, and a larger part of every limit for itself.
func TestCutOffCountsTheLargest(t *testing.T) {
	v := begun(3)
	out := v.Handle(2*tick, alive("b", 1), alive("c", 1), alive("d", 1))
	if r, ok := find[Reckon](out); !ok || r.Couriers != 4 || v.standing != Whole {
		t.Fatalf("four are there, %v, %v", out, v.standing)
	}
	for _, n := range []Name{"b", "c", "d"} {
		v.Handle(3*tick, Heard{Name: n, Start: 1, State: Failed})
	}
	for now := 4 * tick; now < 600*second; now += tick {
		v.Handle(now, Passed{})
	}
	if p := v.Look(); p.Standing != "alone" || p.Least != 1 || p.Most != 4 || v.Couriers() != 4 {
		t.Errorf("alone it counts %+v", p)
	}
}

// Failure: a process stopped for 20 s woke believing that the rest was dead.
func TestWokenTrustsNothing(t *testing.T) {
	v := begun(4)
	v.Handle(2*tick, Passed{}, alive("b", 1), alive("c", 1), alive("d", 1))
	out := v.Handle(20*second, Heard{Name: "b", Start: 1, State: Failed}, Heard{Name: "c", Start: 1, State: Suspected}, Passed{})
	if s, ok := find[Stands](out); !ok || s.To != Woken {
		t.Fatalf("after a standstill %v", out)
	}
	for _, m := range v.Look().Members {
		if m.State != Unknown {
			t.Errorf("%s is taken for %v", m.Name, m.State)
		}
	}
	v.Handle(20*second+tick, Answered{"b"}, Answered{"c"}, Passed{})
	if v.standing != Woken {
		t.Errorf("two answers of three are enough: %v", v.standing)
	}
	if v.Handle(20*second+2*tick, Answered{"d"}, Passed{}); v.standing != Whole || v.Couriers() != 4 {
		t.Errorf("after three answers %v, %d couriers", v.standing, v.Couriers())
	}
}

// Failure: who waited for an answer of one that had died meanwhile never trusted anybody again.
func TestWakingEnds(t *testing.T) {
	v := begun(3)
	v.Handle(2*tick, Passed{}, alive("b", 1), alive("c", 1))
	v.Handle(20*second, Passed{}, Answered{"b"}, Heard{Name: "c", Start: 1, State: Failed})
	for now := 20*second + tick; now < 29*second; now += tick {
		if v.Handle(now, Passed{}); v.standing != Woken {
			t.Fatalf("at %d it heeds a word from its own silence", now)
		}
	}
	for now := 29 * second; now < 31*second; now += tick {
		v.Handle(now, Passed{})
	}
	if v.standing != Part || v.members["c"].State != Failed || v.Couriers() != 3 {
		t.Errorf("%v, %d couriers", v.standing, v.Couriers())
	}
}

// Failure: a restart under an old number, or two couriers of one name, passed for one member.
func TestNumbersOnlyGrow(t *testing.T) {
	v := begun(1)
	if r, ok := find[Renumber](v.Handle(2*tick, Claimed{9})); !ok || r.Start != 10 {
		t.Errorf("an older copy of the folder goes on with %v", r)
	}
	if out := v.Handle(3*tick, Namesake{Start: 8, At: "x:1"}); len(out) != 0 {
		t.Errorf("the younger one stands back: %v", out)
	}
	if r, ok := find[Renumber](v.Handle(4*tick, Namesake{Start: 10, At: "x:1"})); !ok || r.Start <= 10 {
		t.Errorf("of two of one number this one keeps it: %v", r)
	}
	if b, ok := find[StandBack](v.Handle(5*tick, Namesake{Start: 5000, At: "x:1"})); !ok || b.Start != 5000 || v.standing != Aside {
		t.Errorf("the older one goes on: %v", v.standing)
	}
	v.Handle(6*tick, alive("b", 3), Heard{Name: "b", Start: 2, State: Failed})
	if m := v.members["b"]; m.State != Alive || v.stale != 1 {
		t.Errorf("a word on an old start counts: %+v", m)
	}
	v.Handle(7*tick, Heard{Name: "b", Start: 3, State: Left}, alive("b", 3))
	if m := v.members["b"]; m.State != Left {
		t.Errorf("who left is back without a new start: %+v", m)
	}
}

// Failure: a word that a fleet shrank was taken up by all in step, or by one that did not hear all.
func TestFewerAreCountedLater(t *testing.T) {
	at := map[Micros]bool{}
	for salt := range int64(20) {
		v := New(Terms{Self: "a", Start: 1, Fleet: 2, Tick: tick, Salt: salt})
		v.Handle(tick, Passed{}, alive("b", 1), alive("c", 1))
		v.Handle(2*tick, Heard{Name: "c", Start: 1, State: Failed}, Passed{}, Gone{"c"})
		for now := 3 * tick; now < 12*second; now += tick {
			if r, ok := find[Reckon](v.Handle(now, Passed{})); ok && r.Couriers == 2 {
				at[now] = true
			}
		}
		if v.Couriers() != 2 {
			t.Fatalf("salt %d: %d couriers", salt, v.Couriers())
		}
	}
	if len(at) < 8 {
		t.Errorf("twenty couriers take fewer up at only %d instants", len(at))
	}
}

// Failure: the view grew with the names ever seen.
func TestNamesHaveAnEnd(t *testing.T) {
	v := begun(1)
	for i := range mostNames + 500 {
		v.Handle(2*tick, Heard{Name: Name(fmt.Sprintf("n%05d", i)), Start: 1, State: Failed})
	}
	if len(v.members) != mostNames || v.Look().Most != mostNames+501 {
		t.Errorf("%d names kept, %d counted", len(v.members), v.Look().Most)
	}
}

// world is what the view's promises are held against: all that was ever said to it.
type world struct {
	v       *View
	start   Start
	highest map[Name]Start
	left    map[Name]Start
	asked   int
	answers map[Name]bool // since it last stood still
	stood   bool
}

func (w *world) check(events []Event, out []Action) error {
	v := w.v
	for _, e := range events {
		if h, ok := e.(Heard); ok && h.Name != "a" && h.Start >= w.highest[h.Name] {
			if h.State == Left {
				w.left[h.Name] = h.Start
			}
			w.highest[h.Name] = h.Start
		}
		if a, ok := e.(Answered); ok {
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
		case Reckon:
			less = a.Couriers < w.asked
			w.asked = a.Couriers
		case Renumber:
			if a.Start <= w.start {
				return fmt.Errorf("number %d after %d", a.Start, w.start)
			}
			w.start = a.Start
		case Stands:
			if a.To == Woken {
				w.stood, w.answers = true, map[Name]bool{}
			} else if a.From == Woken {
				for n, m := range v.members {
					if m.State == Unknown && len(w.answers) < freshFrom {
						return fmt.Errorf("trusts again after %d answers, and %s is unknown", len(w.answers), n)
					}
				}
			}
		}
	}
	if v.Couriers() < most || v.Couriers() < v.terms.Fleet && !less {
		return fmt.Errorf("reckons with %d, %d may be there, %d by the settings", v.Couriers(), most, v.terms.Fleet)
	}
	if less && v.standing != Whole {
		return fmt.Errorf("counts fewer while %v", v.standing)
	}
	for n, m := range v.members {
		if m.Start != w.highest[n] {
			return fmt.Errorf("%s has start %d, %d was heard", n, m.Start, w.highest[n])
		}
		if l, ok := w.left[n]; ok && l == m.Start && m.State != Left {
			return fmt.Errorf("%s is %v, and had left", n, m.State)
		}
	}
	if v.asked != w.asked {
		return fmt.Errorf("reckons with %d, told %d", v.asked, w.asked)
	}
	return nil
}

// steps are what may happen next in a world of three: each once for b and c where it names one.
func steps() (all [][]Event) {
	for _, n := range []Name{"b", "c"} {
		all = append(all, []Event{alive(n, 1)}, []Event{Heard{Name: n, Start: 1, State: Suspected}}, []Event{Heard{Name: n, Start: 1, State: Failed}},
			[]Event{Heard{Name: n, Start: 1, State: Left}}, []Event{alive(n, 2)}, []Event{Answered{n}})
	}
	return append(all, []Event{Passed{}}, nil, []Event{Claimed{7}}) // nil: stands still, see run
}

// run plays an order of steps; plant breaks the view on purpose after each.
func run(order []int, all [][]Event, plant func(*View)) error {
	w := &world{v: begun(2), start: 5, highest: map[Name]Start{}, left: map[Name]Start{}, asked: 2, answers: map[Name]bool{}}
	now := 2 * tick
	for _, i := range order {
		events := all[i]
		if now += tick; events == nil {
			now, events = now+20*second, []Event{Passed{}}
		}
		out := w.v.Handle(now, events...)
		if plant != nil {
			plant(w.v)
		}
		if err := w.check(events, out); err != nil {
			return err
		}
		w.v.passed = now
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
	modelcheck.Orders(depth, len(all), func(order []int) bool {
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
	for name, plant := range map[string]func(*View){
		"forgets who failed": func(v *View) {
			for n, m := range v.members {
				if m.State == Failed {
					delete(v.members, n)
					v.asked = len(v.members) + 1
				}
			}
		},
		"goes back to an old start": func(v *View) {
			for _, m := range v.members {
				m.Start = min(m.Start, 1)
			}
		},
		"revives who left": func(v *View) {
			for _, m := range v.members {
				if m.State == Left {
					m.State = Alive
				}
			}
		},
		"counts without telling": func(v *View) { v.asked = 9 },
	} {
		caught := false
		modelcheck.Orders(3, len(all), func(order []int) bool {
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
		order := modelcheck.Walk(seed, 60, len(all))
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
			out = append(out, v.Handle(Micros(i+2)*tick, Passed{}, Heard{Name: n, Start: Start(i / 9), State: State(1 + i%4)})...)
		}
		return append(out, v.Handle(90*second)...)
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Errorf("%v\n%v", a, b)
	}
}
