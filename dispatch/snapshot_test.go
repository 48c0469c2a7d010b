package dispatch

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// lived is a courier that has been through some chance events, at instant 100 s.
func experienced(t *rapid.T, config Config) (*Dispatcher, Micros) {
	dispatcher := New(config)
	now := 100 * second
	dispatcher.Handle(now, []Event{threeEndpoints()})
	for i := range rapid.IntRange(0, 60).Draw(t, "records") {
		now += Micros(rapid.IntRange(1, 400).Draw(t, "pause")) * millisecond
		id := MessageID(fmt.Sprint("r", i))
		actions := dispatcher.Handle(now, []Event{MessageAccepted{Message: id, Destination: DestinationID(rapid.IntRange(1, 2).Draw(t, "dest")), Deadline: now + 20*second}})
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				outcome := Outcome(rapid.IntRange(int(Delivered), int(Broken)).Draw(t, "outcome"))
				event := AttemptFinished{Message: s.Message, Attempt: AttemptNumber(len(dispatcher.messages[s.Message].attempts) - 1), Outcome: outcome, Duration: 50 * millisecond, MessageDone: outcome == Delivered}
				if outcome == Throttled {
					event.RetryAfter = Micros(rapid.IntRange(0, 3000).Draw(t, "wait")) * millisecond
				}
				now += 50 * millisecond
				dispatcher.Handle(now, []Event{event})
			}
		}
	}
	return dispatcher, now
}

func threeEndpoints() EndpointUpdate {
	return EndpointUpdate{Kind: CachedList, Entries: []EndpointEntry{{Endpoint: "a", Destination: 1}, {Endpoint: "b", Destination: 1}, {Endpoint: "c", Destination: 2}}}
}

func testConfig() Config {
	return Config{Seed: 3, Couriers: 3, Slots: 50, QueueLimit: 500, MaxAttempts: 8, Tick: 5 * millisecond, ReportRemainingIndex: -1, ReportRateIndex: -1,
		SlowStartInitialShare: 0.2, SlowStart: 10 * second, OverloadFactor: 2, IdleTimeout: 5 * second, MaySendRetryAfter: true, EndpointTypes: []EndpointType{{MaxPerCall: 1}},
		Classes: []Class{{Objective: second, TimeToLive: 20 * second, Priority: 1, LateFactor: 0.5}}}
}

// TestOlderSnapshotIsMoreCautious: of two dispatchers that restore the same snapshot, the one for which it is older never has a shorter
// interval between calls, and never a group open that the other keeps closed for a Retry-After or a breaker.
func TestOlderSnapshotIsMoreCautious(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatcher, at := experienced(t, testConfig())
		snapshot := dispatcher.Snapshot()
		now := at + snapshotMaxAge
		successor := func(age Micros) *Dispatcher { // at the same instant, with a snapshot of another age
			next := New(testConfig())
			next.Handle(now, []Event{threeEndpoints()})
			aged := snapshot
			aged.TakenAt = now - age
			shift := aged.TakenAt - snapshot.TakenAt
			for i := range aged.Groups { // the same state, moved in time
				group := &aged.Groups[i]
				group.CountedSince += shift
				group.LastCall += shift
				group.LastDelivery += shift
				group.OutageAt += shift
			}
			next.restore(aged)
			return next
		}
		snapshot.Groups = append([]GroupSnapshot(nil), snapshot.Groups...)
		younger := Micros(rapid.IntRange(0, int(snapshotMaxAge/millisecond)).Draw(t, "younger")) * millisecond
		older := Micros(rapid.IntRange(int(younger/millisecond), int(snapshotMaxAge/millisecond)).Draw(t, "older")) * millisecond
		saved := append([]GroupSnapshot(nil), snapshot.Groups...)
		a := successor(younger)
		copy(snapshot.Groups, saved)
		b := successor(older)
		for id, destination := range a.destinations {
			for i, group := range destination.groups {
				other := b.destinations[id].groups[i]
				if x, y := a.interval(group), b.interval(other); y < x {
					t.Fatalf("destination %d: a gap of %d at the age of %d, of %d at %d", id, x, younger, y, older)
				}
				if group.retryAfterUntil != other.retryAfterUntil || group.breakers[0].state != other.breakers[0].state {
					t.Fatalf("destination %d: wait or breaker forgotten by age", id)
				}
			}
		}
	})
}

// TestSnapshotIsIndependentCopy: what is handed out stays as it was, whatever its courier does afterwards, and handing it over and
// out again changes nothing of it.
func TestSnapshotIsIndependentCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatcher, at := experienced(t, testConfig())
		snapshot := dispatcher.Snapshot()
		before := fmt.Sprintf("%+v", snapshot)
		for i := range 20 {
			dispatcher.Handle(at+Micros(i)*second, []Event{MessageAccepted{Message: MessageID(fmt.Sprint("later", i)), Destination: 1, Deadline: at + 100*second}})
		}
		if after := fmt.Sprintf("%+v", snapshot); after != before {
			t.Fatalf("%s\nbecame %s", before, after)
		}
		successor := New(testConfig())
		successor.Handle(at, []Event{threeEndpoints(), SnapshotRestored{snapshot}})
		again := successor.Snapshot()
		for i := range snapshot.Groups { // what is half-open has no trial out at the successor
			if !reflect.DeepEqual(snapshot.Groups[i], again.Groups[i]) && snapshot.Groups[i].Breakers[0].OpenUntil == 0 {
				t.Fatalf("%+v\nbecame %+v", snapshot.Groups[i], again.Groups[i])
			}
		}
	})
}

// TestSnapshotOfUnknownEndpointsIsIgnored: learned state about what the list does not have, or has otherwise, or of other classes, changes nothing.
func TestSnapshotOfUnknownEndpointsIsIgnored(t *testing.T) {
	dispatcher := New(testConfig())
	dispatcher.Handle(100*second, []Event{threeEndpoints(), SnapshotRestored{Snapshot{TakenAt: 99 * second, LostCalls: make([]SumSnapshot, 99),
		Groups: []GroupSnapshot{{Destination: 9, Outage: true}, {Destination: 1, Endpoint: "a", Outage: true}, {Destination: 2, Endpoint: "zz", Outage: true}},
		Endpoints: []EndpointSnapshot{{Endpoint: "zz", FailureRuns: []RunSnapshot{{5, 900 * second}}}, {Endpoint: "a", FailureRuns: []RunSnapshot{{5, 900 * second}}},
			{Endpoint: "b"}}}}})
	for _, destination := range dispatcher.destinations {
		for _, group := range destination.groups {
			if group.outage {
				t.Errorf("destination %d took over what it had no part in", destination.id)
			}
		}
	}
	if len(dispatcher.destinations) != 2 || dispatcher.endpoints["a"].ejectedUntil != 0 {
		t.Errorf("%d destinations, a rests to %d", len(dispatcher.destinations), dispatcher.endpoints["a"].ejectedUntil)
	}
	actions := dispatcher.Handle(101*second, []Event{MessageAccepted{Message: "r", Destination: 1, Deadline: 110 * second}})
	if _, ok := actions[0].(Send); !ok {
		t.Errorf("%+v", actions)
	}
}

// BenchmarkSnapshot: what handing out costs goes by the routes that were called lately.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ known, active int }{{250, 250}, {100000, 1000}, {100000, 100000}} {
		b.Run(fmt.Sprintf("known=%d/active=%d", size.known, size.active), func(b *testing.B) {
			dispatcher := New(testConfig())
			news := EndpointUpdate{Kind: CachedList}
			for i := range size.known {
				news.Entries = append(news.Entries, EndpointEntry{Endpoint: EndpointID(fmt.Sprint("e", i)), Destination: DestinationID(i)})
			}
			dispatcher.Handle(100*second, []Event{news})
			for i := range size.active {
				dispatcher.markRecent(dispatcher.destinations[DestinationID(i)].groups[0])
				dispatcher.destinations[DestinationID(i)].groups[0].lastCall = 100 * second
			}
			b.ResetTimer()
			for range b.N {
				dispatcher.Snapshot()
			}
		})
	}
}
