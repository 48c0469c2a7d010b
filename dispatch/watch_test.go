package dispatch

import (
	"testing"
)

// watchers look on in every scenario: first one under the courier's own charter, which must never differ, then others,
// which must differ and be in step all the same.
type watchers []*Watcher

// others are charters that decide otherwise.
var others = []func(*Charter){
	func(ch *Charter) {},
	func(ch *Charter) { ch.Slots, ch.MaxTrips = 1, 2 },
	func(ch *Charter) { ch.Hold, ch.MayAdvise = 2, !ch.MayAdvise },
	func(ch *Charter) { ch.Couriers, ch.FallMultiple, ch.Salt = 400, 1.1, ch.Salt+1 },
	func(ch *Charter) {
		ch.Workloads = append([]Workload(nil), ch.Workloads...)
		for i := range ch.Workloads {
			w := &ch.Workloads[i]
			w.Repeat, w.InOrder, w.Window = SingleUse, !w.InOrder, w.Window/2
		}
	},
}

func (ws *watchers) see(p *player, events []Event, did []Action) {
	p.t.Helper()
	if *ws == nil {
		for _, change := range others {
			ch := p.charter
			change(&ch)
			*ws = append(*ws, NewWatcher(ch))
		}
	}
	for i, w := range *ws {
		for _, e := range events {
			if r, ok := e.(Rechartered); ok {
				ch := r.Charter
				others[i](&ch)
				w.Recharter(ch)
			}
		}
		w.See(p.now, events, did)
		counts, _ := w.Counts()
		if i == 0 && counts != [Differences]int{} {
			p.fatal("under the same charter it differs: %v", counts)
		}
		ws.inStep(p, i, w.c)
	}
}

// inStep holds what a watcher has in hand against the courier it watches.
func (ws *watchers) inStep(p *player, i int, c *Courier) {
	p.t.Helper()
	if c.held != p.courier.held || c.calls != p.courier.calls || len(c.flying) != len(p.courier.flying) {
		p.fatal("watcher %d holds %d with %d calls and %d trips out, the courier %d with %d and %d", i, c.held, c.calls,
			len(c.flying), p.courier.held, p.courier.calls, len(p.courier.flying))
	}
	for id, r := range p.courier.records {
		if o := c.records[id]; o == nil || len(o.trips) != len(r.trips) || o.ended != r.ended || o.queued != r.queued {
			p.fatal("watcher %d is out of step on %s", i, id)
		}
	}
	if len(c.records) != len(p.courier.records) {
		p.fatal("watcher %d knows %d records, the courier %d", i, len(c.records), len(p.courier.records))
	}
}

// TestWatcherCountsByKind: each kind of difference is brought about, and counted once for its record.
func TestWatcherCountsByKind(t *testing.T) {
	base := Charter{Salt: 7, Couriers: 1, Slots: 50, Hold: 100, MaxTrips: 8, MayAdvise: true, MayCancel: true,
		LongestAdvice: 2 * second, Tick: 5 * millisecond, LeftAt: -1, RateAt: -1, ColdFrom: 0.2, Ramp: 10 * second,
		FallMultiple: 2, IdleAfter: 5 * second, Workloads: []Workload{{Quoted: second, Life: 20 * second, Payoff: 1}}}
	list := ListNews{How: Complete, Entries: []Listing{{Endpoint: "a", Dest: 1}, {Endpoint: "b", Dest: 1}}}
	taken := func(id RecordID) Taken { return Taken{Record: id, Dest: 1, CutOff: 20 * second} }
	for name, play := range map[Difference]struct {
		change func(*Charter)
		at     []Micros
		events [][]Event
		did    [][]Action
	}{
		Elsewhere: {func(ch *Charter) { ch.Number = 3 }, []Micros{0}, [][]Event{{list, taken("r")}}, nil},
		Later:     {func(ch *Charter) { ch.Slots = 0 }, []Micros{0}, [][]Event{{list, taken("r")}}, nil},
		Sooner: {func(ch *Charter) { ch.Slots = 9 }, []Micros{0, second}, [][]Event{{list, taken("r")}, {Woken{}}},
			[][]Action{{}, {}}},
		Bounced: {func(ch *Charter) { ch.Hold = 1 }, []Micros{0}, [][]Event{{taken("r")}}, nil},
		Kept:    {func(ch *Charter) { ch.Hold = 9 }, []Micros{0}, [][]Event{{taken("r")}}, [][]Action{{Bounce{"r", 0}}}},
		Advised: {func(ch *Charter) { ch.Hold, ch.MayAdvise = 1, false }, []Micros{0}, [][]Event{{taken("r")}},
			[][]Action{{Bounce{"r", second}}}},
		WaitedFor: {func(ch *Charter) {}, []Micros{0, second}, [][]Event{{list, taken("r")}, {Woken{}}},
			[][]Action{nil, {Cancel{"r", 0}}}},
		Terminated: {func(ch *Charter) { ch.Workloads[0].Repeat = SingleUse }, []Micros{0, second},
			[][]Event{{list, taken("r")}, {Settled{Record: "r", Outcome: TimedOut}}}, nil},
	} {
		ch := base
		ch.Workloads = append([]Workload(nil), base.Workloads...)
		play.change(&ch)
		c, w := New(base), NewWatcher(ch)
		for i, at := range play.at {
			did := c.Handle(at, play.events[i])
			if i < len(play.did) && play.did[i] != nil {
				did = play.did[i]
			}
			w.See(at, play.events[i], did)
			w.See(at+1, nil, nil)
		}
		if counts, _ := w.Counts(); counts[name] != 1 {
			t.Errorf("difference %d counted %d times, not once: %v", name, counts[name], counts)
		}
	}
}
