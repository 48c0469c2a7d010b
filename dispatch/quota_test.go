package dispatch

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// sharedLimitConfig returns a configuration and an endpoint list under which three couriers share a listed limit.
func sharedLimitConfig() (Config, EndpointUpdate) {
	config := testConfig()
	config.RateQuality = NominalRates
	list := threeEndpointList()
	for i := range list.Entries {
		list.Entries[i].Rate = 30
	}
	return config, list
}

// TestExpiredLeasesHaveNoEffect checks that a dispatcher with expired leases, grants and load makes the same decisions as one that received none.
// It guards against agreements that stay in effect after they have expired.
func TestExpiredLeasesHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, list := sharedLimitConfig()
		plain, leased := New(config), New(config)
		now := 100 * second
		plain.Handle(now, []Event{list})
		leased.Handle(now, []Event{list, QuotaChanged{[]QuotaShare{{Destination: 1, Granted: 0.5, GrantedUntil: now + 1, Leased: 2, LeasedUntil: now + 1, Load: 3, LoadUntil: now + 1}}}})
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			now += Micros(rapid.IntRange(1, 100).Draw(t, "pause")) * millisecond
			accepted := MessageAccepted{Message: MessageID(rune('a' + i)), Destination: 1, Deadline: now + 20*second}
			got, want := plain.Handle(now, []Event{accepted}), leased.Handle(now, []Event{accepted})
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("actions %v without shares, but %v with expired shares", got, want)
			}
			for _, a := range got {
				if s, ok := a.(Send); ok {
					event := AttemptFinished{Message: s.Message, Attempt: 0, Outcome: Outcome(rapid.IntRange(int(Delivered), int(Broken)).Draw(t, "outcome")), Duration: 50 * millisecond, MessageDone: true}
					plain.Handle(now, []Event{event})
					leased.Handle(now, []Event{event})
				}
			}
		}
	})
}

// TestSharedLoadOnlySlowsDown checks that no load and no grant shortens an interval, and that a lease shortens the fair interval until it expires by
// this courier's own clock. It guards against two failures: a fleet that keeps exceeding a limit while late load reports show that enough is left,
// and a lessee that was paused past the expiry of a lease and still uses it.
func TestSharedLoadOnlySlowsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, list := sharedLimitConfig()
		dispatcher := New(config)
		now := 100 * second
		dispatcher.Handle(now, []Event{list})
		group := dispatcher.destinations[1].groups[0]
		group.reported, group.remaining, group.interval = rapid.Bool().Draw(t, "told"), rapid.Float64Range(0, 1).Draw(t, "left"), Micros(rapid.IntRange(0, 500).Draw(t, "gap"))*millisecond
		group.outage = rapid.Bool().Draw(t, "sick")
		before, fairInterval := dispatcher.interval(group), dispatcher.fairInterval(group)
		share := QuotaShare{Destination: 1, Granted: rapid.Float64Range(0, 0.9).Draw(t, "lent"), GrantedUntil: now + second,
			Load: rapid.Float64Range(0, 12).Draw(t, "load"), LoadUntil: now + second}
		dispatcher.Handle(now, []Event{QuotaChanged{[]QuotaShare{share}}})
		if after := dispatcher.interval(group); after < before {
			t.Fatalf("interval of %d us became %d us with %+v", before, after, share)
		}
		if share.Load >= 1 && dispatcher.interval(group) < fairInterval-1 {
			t.Fatalf("interval of %d us at an exhausted limit, want at least the fair interval of %d us", dispatcher.interval(group), fairInterval)
		}
		share = QuotaShare{Destination: 1, Leased: rapid.Float64Range(0.1, 2).Draw(t, "loan"), LeasedUntil: now + second}
		dispatcher.Handle(now, []Event{QuotaChanged{[]QuotaShare{share}}})
		if dispatcher.fairInterval(group) >= fairInterval {
			t.Fatalf("a lease of %v leaves the fair interval at %d us", share.Leased, dispatcher.fairInterval(group))
		}
		if dispatcher.Handle(now+second, nil); dispatcher.fairInterval(group) != fairInterval {
			t.Fatalf("fair interval %d us after a lease expired, want %d us", dispatcher.fairInterval(group), fairInterval)
		}
	})
}

// TestDemandsCountCalls checks that the demand at a group counts its calls, its throttled attempts and its queued messages.
func TestDemandsCountCalls(t *testing.T) {
	config, list := sharedLimitConfig()
	config.Slots = 1
	dispatcher := New(config)
	now := 100 * second
	dispatcher.Handle(now, []Event{list})
	dispatcher.Handle(now, []Event{MessageAccepted{Message: "a", Destination: 1, Deadline: now + 20*second}, MessageAccepted{Message: "b", Destination: 1, Deadline: now + 20*second}})
	dispatcher.Handle(now+second, []Event{AttemptFinished{Message: "a", Outcome: Throttled, Duration: second, MessageDone: false}})
	demands := dispatcher.Demands()
	if len(demands) != 1 || demands[0].Destination != 1 || demands[0].Limit != 30 || demands[0].Throttled != 1 || demands[0].Calls < 1 || demands[0].Waiting < 1 {
		t.Errorf("demands %+v", demands)
	}
}

// TestStartReservesGrantedShare checks that a courier uses at most half of its part of a limit as long as an earlier run may have granted the other
// half, whatever shares it receives meanwhile, and all of it afterwards. It guards against a grantor that is killed, restarts and uses what its
// lessees still use.
func TestStartReservesGrantedShare(t *testing.T) {
	config, list := sharedLimitConfig()
	now := 100 * second
	full := New(config)
	full.Handle(now, []Event{list})
	fairInterval := full.fairInterval(full.destinations[1].groups[0])
	config.GrantedUntil = now + 4*second
	dispatcher := New(config)
	dispatcher.Handle(now, []Event{list})
	group := dispatcher.destinations[1].groups[0]
	for _, events := range [][]Event{nil, {QuotaChanged{[]QuotaShare{{Destination: 1}}}}, {QuotaChanged{[]QuotaShare{{Destination: 1, Granted: 0.1, GrantedUntil: now + second}}}}} {
		if dispatcher.Handle(now, events); dispatcher.fairInterval(group) < 2*fairInterval-1 {
			t.Errorf("after %v: fair interval %d us, want at least twice the full part's %d us", events, dispatcher.fairInterval(group), fairInterval)
		}
	}
	if dispatcher.Handle(config.GrantedUntil, nil); dispatcher.fairInterval(group) != fairInterval {
		t.Errorf("after the grant ended: fair interval %d us, want %d us", dispatcher.fairInterval(group), fairInterval)
	}
}
