package membership

import (
	"fmt"
	"os"
	"reflect"
	"testing"

	"pineport/modelcheck"
)

const tick = second / 5

func startedMembership(fleet int) *Membership {
	m := New(Config{Self: "a", Incarnation: 5, FleetSize: fleet, Tick: tick, Seed: 1})
	m.Handle(tick, Tick{})
	return m
}

func aliveReport(n Name, s Incarnation) MemberReported {
	return MemberReported{Name: n, Incarnation: s, State: Alive}
}

func findAction[T Action](all []Action) (found T, ok bool) {
	for _, a := range all {
		if a, is := a.(T); is {
			return a, true
		}
	}
	return found, false
}

// TestPartitionedMemberCountsTheLargest guards against a failure: a courier behind a network partition counted the other members as left,
// and used a larger share of each limit.
func TestPartitionedMemberCountsTheLargest(t *testing.T) {
	m := startedMembership(3)
	out := m.Handle(2*tick, aliveReport("b", 1), aliveReport("c", 1), aliveReport("d", 1))
	if r, ok := findAction[FleetSizeEstimated](out); !ok || r.Couriers != 4 || m.localStatus != Complete {
		t.Fatalf("with four alive couriers: actions %v, status %v", out, m.localStatus)
	}
	for _, n := range []Name{"b", "c", "d"} {
		m.Handle(3*tick, MemberReported{Name: n, Incarnation: 1, State: Failed})
	}
	for now := 4 * tick; now < 600*second; now += tick {
		m.Handle(now, Tick{})
	}
	if p := m.Snapshot(); p.LocalStatus != "alone" || p.MinCouriers != 1 || p.MaxCouriers != 4 || m.EstimatedSize() != 4 {
		t.Errorf("behind a partition: got %+v, want status alone, 1 to 4 couriers", p)
	}
}

// TestRecoveringTrustsNothing guards against a failure: a process that was paused for 20 s resumed and considered all other members
// failed.
func TestRecoveringTrustsNothing(t *testing.T) {
	m := startedMembership(4)
	m.Handle(2*tick, Tick{}, aliveReport("b", 1), aliveReport("c", 1), aliveReport("d", 1))
	out := m.Handle(20*second, MemberReported{Name: "b", Incarnation: 1, State: Failed}, MemberReported{Name: "c", Incarnation: 1, State: Suspected}, Tick{})
	if s, ok := findAction[LocalStatusChanged](out); !ok || s.To != Recovering {
		t.Fatalf("after a pause: got actions %v, want a change to Recovering", out)
	}
	for _, member := range m.Snapshot().Members {
		if member.State != Unknown {
			t.Errorf("%s: got state %v, want unknown", member.Name, member.State)
		}
	}
	m.Handle(20*second+tick, MemberResponded{"b"}, MemberResponded{"c"}, Tick{})
	if m.localStatus != Recovering {
		t.Errorf("after two of three responses: got %v, want Recovering", m.localStatus)
	}
	if m.Handle(20*second+2*tick, MemberResponded{"d"}, Tick{}); m.localStatus != Complete || m.EstimatedSize() != 4 {
		t.Errorf("after three responses: got %v, %d couriers, want Complete, 4", m.localStatus, m.EstimatedSize())
	}
}

// TestRecoveryEnds guards against a failure: recovery never ended if it waited for the response of a member that had failed in the
// meantime.
func TestRecoveryEnds(t *testing.T) {
	m := startedMembership(3)
	m.Handle(2*tick, Tick{}, aliveReport("b", 1), aliveReport("c", 1))
	m.Handle(20*second, Tick{}, MemberResponded{"b"}, MemberReported{Name: "c", Incarnation: 1, State: Failed})
	for now := 20*second + tick; now < 29*second; now += tick {
		if m.Handle(now, Tick{}); m.localStatus != Recovering {
			t.Fatalf("at %d us: left recovery early", now)
		}
	}
	for now := 29 * second; now < 31*second; now += tick {
		m.Handle(now, Tick{})
	}
	if m.localStatus != Partial || m.members["c"].State != Failed || m.EstimatedSize() != 3 {
		t.Errorf("after recovery: got %v, %d couriers, want Partial, 3, and c failed", m.localStatus, m.EstimatedSize())
	}
}

// TestIncarnationsOnlyGrow guards against a failure: a courier that restarted with an old incarnation was taken for its
// earlier start, and two couriers with one name were taken for one member.
func TestIncarnationsOnlyGrow(t *testing.T) {
	m := startedMembership(1)
	if r, ok := findAction[IncarnationAdvanced](m.Handle(2*tick, IncarnationReported{9})); !ok || r.Incarnation != 10 {
		t.Errorf("after a report of incarnation 9: got %v, want incarnation 10", r)
	}
	if out := m.Handle(3*tick, NameConflict{Incarnation: 8, Address: "x:1"}); len(out) != 0 {
		t.Errorf("the courier with the newer incarnation reacts to the conflict: %v", out)
	}
	if r, ok := findAction[IncarnationAdvanced](m.Handle(4*tick, NameConflict{Incarnation: 10, Address: "x:1"})); !ok || r.Incarnation <= 10 {
		t.Errorf("conflict with an equal incarnation 10: got %v, want a higher one", r)
	}
	if b, ok := findAction[StepDown](m.Handle(5*tick, NameConflict{Incarnation: 5000, Address: "x:1"})); !ok || b.Incarnation != 5000 || m.localStatus != SteppedDown {
		t.Errorf("the courier with the older incarnation does not step down: %v", m.localStatus)
	}
	m.Handle(6*tick, aliveReport("b", 3), MemberReported{Name: "b", Incarnation: 2, State: Failed})
	if member := m.members["b"]; member.State != Alive || m.staleReports != 1 {
		t.Errorf("a report about an old incarnation is applied: %+v", member)
	}
	m.Handle(7*tick, MemberReported{Name: "b", Incarnation: 3, State: Left}, aliveReport("b", 3))
	if member := m.members["b"]; member.State != Left {
		t.Errorf("a member that left returns with the same incarnation: %+v", member)
	}
}

// TestFleetSizeIsLoweredAtDifferentTimes guards against a failure: all couriers switched to a smaller fleet size at the same time, or a
// courier did so while its status was not Complete.
func TestFleetSizeIsLoweredAtDifferentTimes(t *testing.T) {
	at := map[Micros]bool{}
	for seed := range int64(20) {
		m := New(Config{Self: "a", Incarnation: 1, FleetSize: 2, Tick: tick, Seed: seed})
		m.Handle(tick, Tick{}, aliveReport("b", 1), aliveReport("c", 1))
		m.Handle(2*tick, MemberReported{Name: "c", Incarnation: 1, State: Failed}, Tick{}, MemberRemoved{"c"})
		for now := 3 * tick; now < 12*second; now += tick {
			if r, ok := findAction[FleetSizeEstimated](m.Handle(now, Tick{})); ok && r.Couriers == 2 {
				at[now] = true
			}
		}
		if m.EstimatedSize() != 2 {
			t.Fatalf("seed %d: got %d couriers, want 2", seed, m.EstimatedSize())
		}
	}
	if len(at) < 8 {
		t.Errorf("twenty couriers switch to the smaller size at only %d different times, want at least 8", len(at))
	}
}

// TestMemberCountIsBounded guards against a failure: the memory use grew with the number of member names ever seen.
func TestMemberCountIsBounded(t *testing.T) {
	m := startedMembership(1)
	for i := range maxMembers + 500 {
		m.Handle(2*tick, MemberReported{Name: Name(fmt.Sprintf("n%05d", i)), Incarnation: 1, State: Failed})
	}
	if len(m.members) != maxMembers || m.Snapshot().MaxCouriers != maxMembers+501 {
		t.Errorf("%d members in memory, MaxCouriers %d", len(m.members), m.Snapshot().MaxCouriers)
	}
}

// checker checks the guarantees of a Membership after each step, against what the earlier events reported.
type checker struct {
	membership         *Membership
	incarnation        Incarnation
	highestIncarnation map[Name]Incarnation
	leftIncarnation    map[Name]Incarnation
	reportedSize       int
	answersSincePause  map[Name]bool // members that responded since the last pause
	paused             bool          // set when recovery starts; no check uses it
}

func (c *checker) check(events []Event, actions []Action) error {
	m := c.membership
	for _, e := range events {
		if h, ok := e.(MemberReported); ok && h.Name != "a" && h.Incarnation >= c.highestIncarnation[h.Name] {
			if h.State == Left {
				c.leftIncarnation[h.Name] = h.Incarnation
			}
			c.highestIncarnation[h.Name] = h.Incarnation
		}
		if a, ok := e.(MemberResponded); ok {
			c.answersSincePause[a.Name] = true
		}
	}
	maxCouriers, shrank := 1, false
	for n, s := range c.highestIncarnation {
		if l, ok := c.leftIncarnation[n]; !ok || l < s {
			maxCouriers++
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case FleetSizeEstimated:
			shrank = a.Couriers < c.reportedSize
			c.reportedSize = a.Couriers
		case IncarnationAdvanced:
			if a.Incarnation <= c.incarnation {
				return fmt.Errorf("incarnation %d after %d", a.Incarnation, c.incarnation)
			}
			c.incarnation = a.Incarnation
		case LocalStatusChanged:
			if a.To == Recovering {
				c.paused, c.answersSincePause = true, map[Name]bool{}
			} else if a.From == Recovering {
				for n, member := range m.members {
					if member.State == Unknown && len(c.answersSincePause) < minRecoveryAnswers {
						return fmt.Errorf("left recovery after %d responses while %s is unknown", len(c.answersSincePause), n)
					}
				}
			}
		}
	}
	if m.EstimatedSize() < maxCouriers || m.EstimatedSize() < m.config.FleetSize && !shrank {
		return fmt.Errorf("estimated size %d, but %d couriers may be alive and %d are configured", m.EstimatedSize(), maxCouriers, m.config.FleetSize)
	}
	if shrank && m.localStatus != Complete {
		return fmt.Errorf("estimated size lowered while the status is %v", m.localStatus)
	}
	for n, member := range m.members {
		if member.Incarnation != c.highestIncarnation[n] {
			return fmt.Errorf("%s has incarnation %d, %d was reported", n, member.Incarnation, c.highestIncarnation[n])
		}
		if l, ok := c.leftIncarnation[n]; ok && l == member.Incarnation && member.State != Left {
			return fmt.Errorf("%s is %v, but had left", n, member.State)
		}
	}
	if m.estimatedSize != c.reportedSize {
		return fmt.Errorf("estimated size %d, but the last reported size is %d", m.estimatedSize, c.reportedSize)
	}
	return nil
}

// steps returns the possible events in a fleet of three couriers, a, b and c. Each event about a member is included for b and for c.
func steps() (all [][]Event) {
	for _, n := range []Name{"b", "c"} {
		all = append(all, []Event{aliveReport(n, 1)}, []Event{MemberReported{Name: n, Incarnation: 1, State: Suspected}}, []Event{MemberReported{Name: n, Incarnation: 1, State: Failed}},
			[]Event{MemberReported{Name: n, Incarnation: 1, State: Left}}, []Event{aliveReport(n, 2)}, []Event{MemberResponded{n}})
	}
	return append(all, []Event{Tick{}}, nil, []Event{IncarnationReported{7}}) // nil: this process is paused, see run
}

// run plays the steps in the given order and checks the guarantees after each. injectFault, if set, corrupts the Membership after each
// step.
func run(order []int, all [][]Event, injectFault func(*Membership)) error {
	// The configured fleet size is 2, so that the estimated size can grow to 3.
	c := &checker{membership: startedMembership(2), incarnation: 5, highestIncarnation: map[Name]Incarnation{}, leftIncarnation: map[Name]Incarnation{}, reportedSize: 2, answersSincePause: map[Name]bool{}}
	now := 2 * tick
	for _, i := range order {
		events := all[i]
		if now += tick; events == nil {
			now, events = now+20*second, []Event{Tick{}}
		}
		actions := c.membership.Handle(now, events...)
		if injectFault != nil {
			injectFault(c.membership)
		}
		if err := c.check(events, actions); err != nil {
			return err
		}
		c.membership.lastTick = now // a step without a Tick is not a pause
	}
	return nil
}

// TestEveryOrder plays every sequence of four out of fifteen steps in a fleet of three couriers: 50,625 sequences. With PINEPORT_DEEP set
// it plays sequences of five: 759,375, in about 20 s.
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
	t.Logf("%d sequences", n)
}

// TestInjectedFaultsAreDetected verifies that the checks above detect violations of the guarantees.
func TestInjectedFaultsAreDetected(t *testing.T) {
	all := steps()
	for name, injectFault := range map[string]func(*Membership){
		"removes failed members from the count": func(m *Membership) {
			for n, member := range m.members {
				if member.State == Failed {
					delete(m.members, n)
					m.estimatedSize = len(m.members) + 1
				}
			}
		},
		"goes back to an old incarnation": func(m *Membership) {
			for _, member := range m.members {
				member.Incarnation = min(member.Incarnation, 1)
			}
		},
		"revives members that left": func(m *Membership) {
			for _, member := range m.members {
				if member.State == Left {
					member.State = Alive
				}
			}
		},
		"changes the estimated size without an action": func(m *Membership) { m.estimatedSize = 9 },
	} {
		caught := false
		modelcheck.ForEachSequence(3, len(all), func(order []int) bool {
			caught = run(order, all, injectFault) != nil
			return !caught
		})
		if !caught {
			t.Errorf("fault not detected: %s", name)
		}
	}
}

// TestRandomWalks plays longer random sequences than TestEveryOrder, with fixed seeds.
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
		m := startedMembership(2)
		for i := range 40 {
			n := Name(fmt.Sprintf("m%d", i%9))
			out = append(out, m.Handle(Micros(i+2)*tick, Tick{}, MemberReported{Name: n, Incarnation: Incarnation(i / 9), State: State(1 + i%4)})...)
		}
		return append(out, m.Handle(90*second)...)
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Errorf("%v\n%v", a, b)
	}
}
