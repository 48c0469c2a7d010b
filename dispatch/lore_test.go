package dispatch

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// lived is a courier that has been through some chance events, at instant 100 s.
func lived(t *rapid.T, ch Charter) (*Courier, Micros) {
	c := New(ch)
	now := 100 * second
	c.Handle(now, []Event{listOfThree()})
	for i := range rapid.IntRange(0, 60).Draw(t, "records") {
		now += Micros(rapid.IntRange(1, 400).Draw(t, "pause")) * millisecond
		id := RecordID(fmt.Sprint("r", i))
		actions := c.Handle(now, []Event{Taken{Record: id, Dest: DestID(rapid.IntRange(1, 2).Draw(t, "dest")), CutOff: now + 20*second}})
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				o := Outcome(rapid.IntRange(int(Done), int(Broken)).Draw(t, "outcome"))
				e := Settled{Record: s.Record, Trip: TripNo(len(c.records[s.Record].trips) - 1), Outcome: o, Took: 50 * millisecond, Over: o == Done}
				if o == Full {
					e.Wait = Micros(rapid.IntRange(0, 3000).Draw(t, "wait")) * millisecond
				}
				now += 50 * millisecond
				c.Handle(now, []Event{e})
			}
		}
	}
	return c, now
}

func listOfThree() ListNews {
	return ListNews{How: Persisted, Entries: []Listing{{Endpoint: "a", Dest: 1}, {Endpoint: "b", Dest: 1}, {Endpoint: "c", Dest: 2}}}
}

func charterOfOne() Charter {
	return Charter{Salt: 3, Couriers: 3, Slots: 50, Hold: 500, MaxTrips: 8, Tick: 5 * millisecond, LeftAt: -1, RateAt: -1,
		ColdFrom: 0.2, Ramp: 10 * second, FallMultiple: 2, IdleAfter: 5 * second, MayAdvise: true, Shapes: []Shape{{PerCall: 1}},
		Workloads: []Workload{{Quoted: second, Life: 20 * second, Payoff: 1, LatePart: 0.5}}}
}

// TestOlderLoreIsNoBolder: of two couriers that are handed the same lore, the one for which it is older never has a shorter
// gap between calls, and never a route open that the other keeps shut for a wait or a breaker.
func TestOlderLoreIsNoBolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, at := lived(t, charterOfOne())
		lore := c.Lore()
		now := at + loreHolds
		heir := func(age Micros) *Courier { // at the same instant, with lore of another age
			h := New(charterOfOne())
			h.Handle(now, []Event{listOfThree()})
			l := lore
			l.At = now - age
			for i := range l.Routes { // the same shape, moved in time
				r := &l.Routes[i]
				shift := l.At - lore.At
				r.Since, r.LastCall, r.LastDone, r.SickAt = r.Since+shift, r.LastCall+shift, r.LastDone+shift, r.SickAt+shift
			}
			h.believe(l)
			return h
		}
		lore.Routes = append([]RouteLore(nil), lore.Routes...)
		younger := Micros(rapid.IntRange(0, int(loreHolds/millisecond)).Draw(t, "younger")) * millisecond
		older := Micros(rapid.IntRange(int(younger/millisecond), int(loreHolds/millisecond)).Draw(t, "older")) * millisecond
		saved := append([]RouteLore(nil), lore.Routes...)
		a := heir(younger)
		copy(lore.Routes, saved)
		b := heir(older)
		for id, d := range a.dests {
			for i, rt := range d.routes {
				other := b.dests[id].routes[i]
				if x, y := a.spacing(rt), b.spacing(other); y < x {
					t.Fatalf("destination %d: a gap of %d at the age of %d, of %d at %d", id, x, younger, y, older)
				}
				if rt.waitTo != other.waitTo || rt.breakers[0].state != other.breakers[0].state {
					t.Fatalf("destination %d: wait or breaker forgotten by age", id)
				}
			}
		}
	})
}

// TestLoreSharesNothing: what is handed out stays as it was, whatever its courier does afterwards, and handing it over and
// out again changes nothing of it.
func TestLoreSharesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, at := lived(t, charterOfOne())
		lore := c.Lore()
		before := fmt.Sprintf("%+v", lore)
		for i := range 20 {
			c.Handle(at+Micros(i)*second, []Event{Taken{Record: RecordID(fmt.Sprint("later", i)), Dest: 1, CutOff: at + 100*second}})
		}
		if after := fmt.Sprintf("%+v", lore); after != before {
			t.Fatalf("%s\nbecame %s", before, after)
		}
		heir := New(charterOfOne())
		heir.Handle(at, []Event{listOfThree(), Learned{lore}})
		again := heir.Lore()
		for i := range lore.Routes { // what is half-open has no trial out at the heir
			if !reflect.DeepEqual(lore.Routes[i], again.Routes[i]) && lore.Routes[i].Breakers[0].Until == 0 {
				t.Fatalf("%+v\nbecame %+v", lore.Routes[i], again.Routes[i])
			}
		}
	})
}

// TestLoreOfStrangers: lore about what the list does not have, or has otherwise, or of other workloads, changes nothing.
func TestLoreOfStrangers(t *testing.T) {
	c := New(charterOfOne())
	c.Handle(100*second, []Event{listOfThree(), Learned{Lore{At: 99 * second, Broke: make([]Sum, 99),
		Routes: []RouteLore{{Dest: 9, Sick: true}, {Dest: 1, Endpoint: "a", Sick: true}, {Dest: 2, Endpoint: "zz", Sick: true}},
		Endpoints: []EndpointLore{{Endpoint: "zz", Runs: []RunLore{{5, 900 * second}}}, {Endpoint: "a", Runs: []RunLore{{5, 900 * second}}},
			{Endpoint: "b"}}}}})
	for _, d := range c.dests {
		for _, rt := range d.routes {
			if rt.sick {
				t.Errorf("destination %d took over what it had no part in", d.id)
			}
		}
	}
	if len(c.dests) != 2 || c.endpoints["a"].restTo != 0 {
		t.Errorf("%d destinations, a rests to %d", len(c.dests), c.endpoints["a"].restTo)
	}
	actions := c.Handle(101*second, []Event{Taken{Record: "r", Dest: 1, CutOff: 110 * second}})
	if _, ok := actions[0].(Send); !ok {
		t.Errorf("%+v", actions)
	}
}

// BenchmarkLore: what handing out costs goes by the routes that were called lately.
func BenchmarkLore(b *testing.B) {
	for _, size := range []struct{ known, active int }{{250, 250}, {100000, 1000}, {100000, 100000}} {
		b.Run(fmt.Sprintf("known=%d/active=%d", size.known, size.active), func(b *testing.B) {
			c := New(charterOfOne())
			news := ListNews{How: Persisted}
			for i := range size.known {
				news.Entries = append(news.Entries, Listing{Endpoint: EndpointID(fmt.Sprint("e", i)), Dest: DestID(i)})
			}
			c.Handle(100*second, []Event{news})
			for i := range size.active {
				c.lately(c.dests[DestID(i)].routes[0])
				c.dests[DestID(i)].routes[0].lastCall = 100 * second
			}
			b.ResetTimer()
			for range b.N {
				c.Lore()
			}
		})
	}
}
