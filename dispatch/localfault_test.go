package dispatch

import "testing"

// TestUnsentAttemptsCountForNoEndpoint checks that attempts that were not sent, however many, open no breaker, eject no endpoint and do not
// count towards the attempts of their message. The pause between them must grow, and an attempt that is sent must end the local fault.
func TestUnsentAttemptsCountForNoEndpoint(t *testing.T) {
	const attempts = 40
	d := New(Config{Classes: []Class{{Objective: second, TimeToLive: 60 * second, Priority: 1, Idempotency: Idempotent}}, EndpointTypes: []EndpointType{{MaxPerCall: 1}},
		Couriers: 1, Slots: 10, QueueLimit: 10, MaxAttempts: 6, Tick: 1000, SlowStart: 10 * second, OverloadFactor: 2, Seed: 1})
	now := second
	events := []Event{EndpointUpdate{Kind: CachedList, Entries: []EndpointEntry{{Endpoint: "a"}}}, MessageAccepted{Message: "m", Deadline: 60 * second}}
	last := Micros(0)
	for n := range attempts {
		var sent *Send
		for tries := 0; sent == nil; tries++ {
			for _, action := range d.Handle(now, events) {
				switch a := action.(type) {
				case Send:
					sent = &a
				case Reject, Fail:
					t.Fatalf("message given up after %d attempts that were not sent", n)
				}
			}
			if events = []Event{TimerFired{}}; sent == nil {
				now += 1000
			}
			if tries > 1000 {
				t.Fatalf("message not sent again within 1,000 ticks after %d attempts", n)
			}
		}
		if pause := now - last; n > 1 && pause < firstLocalPause || n > 6 && pause < maxLocalPause {
			t.Errorf("attempt %d came only %d us after the previous one", n, pause)
		}
		last = now
		now += 10
		events = []Event{AttemptUnsent{AttemptFinished{Message: "m", Attempt: AttemptNumber(n)}}}
	}
	endpoint := d.endpoints["a"]
	if b := endpoint.group.breakers[0]; b.state != breakerClosed || b.failures > 0 || endpoint.ejectedUntil > 0 || endpoint.group.outage {
		t.Errorf("breaker %+v, ejected until %d, outage %v", b, endpoint.ejectedUntil, endpoint.group.outage)
	}
	d.localFault.clear(Delivered)
	if d.localFault != (localFault{}) {
		t.Errorf("after an attempt that was sent: local fault %+v, want none", d.localFault)
	}
}
