package dispatch

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// limited is a charter under which three couriers share a listed limit.
func limited() (Charter, ListNews) {
	ch := charterOfOne()
	ch.Rates = NominalRates
	list := listOfThree()
	for i := range list.Entries {
		list.Entries[i].Rate = 30
	}
	return ch, list
}

// TestWhatLapsedSaysNothing: a courier that was told of loans, of what it lent and of a load, all of it over, decides record by
// record as one that was told nothing. Failure: what couriers had settled lasted beyond its time.
func TestWhatLapsedSaysNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ch, list := limited()
		one, other := New(ch), New(ch)
		now := 100 * second
		one.Handle(now, []Event{list})
		other.Handle(now, []Event{list, Shared{[]SharedPart{{Dest: 1, Lent: 0.5, LentTo: now + 1, Loan: 2, LoanTo: now + 1, Load: 3, LoadTo: now + 1}}}})
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			now += Micros(rapid.IntRange(1, 100).Draw(t, "pause")) * millisecond
			taken := Taken{Record: RecordID(rune('a' + i)), Dest: 1, CutOff: now + 20*second}
			got, want := one.Handle(now, []Event{taken}), other.Handle(now, []Event{taken})
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%v, and %v beside what is over", got, want)
			}
			for _, a := range got {
				if s, ok := a.(Send); ok {
					e := Settled{Record: s.Record, Trip: 0, Outcome: Outcome(rapid.IntRange(int(Done), int(Broken)).Draw(t, "outcome")), Took: 50 * millisecond, Over: true}
					one.Handle(now, []Event{e})
					other.Handle(now, []Event{e})
				}
			}
		}
	})
}

// TestLoadOnlyHoldsBack: whatever load is heard of and whatever was lent, no gap gets shorter; a loan shortens this courier's part of
// it, until it lapses by its own clock. Failures meant: a fleet that goes on over a limit while reports, told late, say that plenty is
// left; a borrower that stood still past the lapse and uses on.
func TestLoadOnlyHoldsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ch, list := limited()
		c := New(ch)
		now := 100 * second
		c.Handle(now, []Event{list})
		rt := c.dests[1].routes[0]
		rt.told, rt.left, rt.gap = rapid.Bool().Draw(t, "told"), rapid.Float64Range(0, 1).Draw(t, "left"), Micros(rapid.IntRange(0, 500).Draw(t, "gap"))*millisecond
		rt.sick = rapid.Bool().Draw(t, "sick")
		before, part := c.spacing(rt), c.part(rt)
		p := SharedPart{Dest: 1, Lent: rapid.Float64Range(0, 0.9).Draw(t, "lent"), LentTo: now + second,
			Load: rapid.Float64Range(0, 12).Draw(t, "load"), LoadTo: now + second}
		c.Handle(now, []Event{Shared{[]SharedPart{p}}})
		if after := c.spacing(rt); after < before {
			t.Fatalf("a gap of %d became %d with %+v", before, after, p)
		}
		if p.Load >= 1 && c.spacing(rt) < part-1 {
			t.Fatalf("a limit that is used up, by what is heard, is called every %d us, its part is %d", c.spacing(rt), part)
		}
		p = SharedPart{Dest: 1, Loan: rapid.Float64Range(0.1, 2).Draw(t, "loan"), LoanTo: now + second}
		c.Handle(now, []Event{Shared{[]SharedPart{p}}})
		if c.part(rt) >= part {
			t.Fatalf("a loan of %v leaves the part at %d", p.Loan, c.part(rt))
		}
		if c.Handle(now+second, nil); c.part(rt) != part {
			t.Fatalf("a loan that lapsed leaves the part at %d of %d", c.part(rt), part)
		}
	})
}

// TestNeedsCount: what is told of a route is what was called, served and refused there, and what waits.
func TestNeedsCount(t *testing.T) {
	ch, list := limited()
	ch.Slots = 1
	c := New(ch)
	now := 100 * second
	c.Handle(now, []Event{list})
	c.Handle(now, []Event{Taken{Record: "a", Dest: 1, CutOff: now + 20*second}, Taken{Record: "b", Dest: 1, CutOff: now + 20*second}})
	c.Handle(now+second, []Event{Settled{Record: "a", Outcome: Full, Took: second, Over: false}})
	all := c.Needs()
	if len(all) != 1 || all[0].Dest != 1 || all[0].Limit != 30 || all[0].Refused != 1 || all[0].Calls < 1 || all[0].Waiting < 1 {
		t.Errorf("needs %+v", all)
	}
}

// TestStartHoldsBack: as long as an earlier start may have lent half of each part, half is used at most, whatever is told meanwhile;
// then all of it. Failure meant: a lender that is killed and back uses what its borrowers still use.
func TestStartHoldsBack(t *testing.T) {
	ch, list := limited()
	now := 100 * second
	whole := New(ch)
	whole.Handle(now, []Event{list})
	part := whole.part(whole.dests[1].routes[0])
	ch.LentTo = now + 4*second
	c := New(ch)
	c.Handle(now, []Event{list})
	rt := c.dests[1].routes[0]
	for _, told := range [][]Event{nil, {Shared{[]SharedPart{{Dest: 1}}}}, {Shared{[]SharedPart{{Dest: 1, Lent: 0.1, LentTo: now + second}}}}} {
		if c.Handle(now, told); c.part(rt) < 2*part-1 {
			t.Errorf("told %v, a call goes every %d us, the whole part is %d", told, c.part(rt), part)
		}
	}
	if c.Handle(ch.LentTo, nil); c.part(rt) != part {
		t.Errorf("then every %d us, the whole part is %d", c.part(rt), part)
	}
}
