package dispatch

import (
	"testing"
)

// watchers look on in every scenario: first one under the courier's own configuration, which must never differ, then others,
// which must differ and be in step all the same.
type watchers []*Shadow

// others are configurations that decide otherwise.
var others = []func(*Config){
	func(*Config) {},
	func(ch *Config) { ch.Slots, ch.MaxAttempts = 1, 2 },
	func(ch *Config) { ch.QueueLimit, ch.MaySendRetryAfter = 2, !ch.MaySendRetryAfter },
	func(ch *Config) { ch.Couriers, ch.OverloadFactor, ch.Seed = 400, 1.1, ch.Seed+1 },
	func(ch *Config) {
		ch.Classes = append([]Class(nil), ch.Classes...)
		for i := range ch.Classes {
			w := &ch.Classes[i]
			w.Idempotency, w.Ordered, w.IdempotencyWindow = AtMostOnce, !w.Ordered, w.IdempotencyWindow/2
		}
	},
}

func (ws *watchers) see(p *player, events []Event, did []Action) {
	p.t.Helper()
	if *ws == nil {
		for _, change := range others {
			config := p.config
			change(&config)
			*ws = append(*ws, NewShadow(config))
		}
	}
	for i, shadow := range *ws {
		for _, e := range events {
			if r, ok := e.(Reconfigured); ok {
				config := r.Config
				others[i](&config)
				shadow.Reconfigure(config)
			}
		}
		shadow.Observe(p.now, events, did)
		counts, _ := shadow.Counts()
		if i == 0 && counts != [DifferenceCount]int{} {
			p.fatal("under the same configuration it differs: %v", counts)
		}
		ws.inStep(p, i, shadow.dispatcher)
	}
}

// inStep holds what a watcher has in hand against the courier it watches.
func (ws *watchers) inStep(p *player, i int, dispatcher *Dispatcher) {
	p.t.Helper()
	if dispatcher.unfinished != p.dispatcher.unfinished || dispatcher.callsInFlight != p.dispatcher.callsInFlight || len(dispatcher.inFlight) != len(p.dispatcher.inFlight) {
		p.fatal("watcher %d holds %d with %d calls and %d attempts out, the courier %d with %d and %d", i, dispatcher.unfinished, dispatcher.callsInFlight,
			len(dispatcher.inFlight), p.dispatcher.unfinished, p.dispatcher.callsInFlight, len(p.dispatcher.inFlight))
	}
	for id, message := range p.dispatcher.messages {
		if other := dispatcher.messages[id]; other == nil || len(other.attempts) != len(message.attempts) || other.ended != message.ended || other.queued != message.queued {
			p.fatal("watcher %d is out of step on %s", i, id)
		}
	}
	if len(dispatcher.messages) != len(p.dispatcher.messages) {
		p.fatal("watcher %d knows %d messages, the courier %d", i, len(dispatcher.messages), len(p.dispatcher.messages))
	}
}

// TestShadowCountsDifferencesByKind: each kind of difference is brought about, and counted once for its message.
func TestShadowCountsDifferencesByKind(t *testing.T) {
	base := Config{Seed: 7, Couriers: 1, Slots: 50, QueueLimit: 100, MaxAttempts: 8, MaySendRetryAfter: true, MayCancel: true,
		MaxRetryAfter: 2 * second, Tick: 5 * millisecond, ReportRemainingIndex: -1, ReportRateIndex: -1, SlowStartInitialShare: 0.2, SlowStart: 10 * second,
		OverloadFactor: 2, IdleTimeout: 5 * second, Classes: []Class{{Objective: second, TimeToLive: 20 * second, Priority: 1}}}
	list := EndpointUpdate{Kind: CompleteList, Entries: []EndpointEntry{{Endpoint: "a", Destination: 1}, {Endpoint: "b", Destination: 1}}}
	taken := func(id MessageID) MessageAccepted {
		return MessageAccepted{Message: id, Destination: 1, Deadline: 20 * second}
	}
	for name, play := range map[Difference]struct {
		change func(*Config)
		at     []Micros
		events [][]Event
		did    [][]Action
	}{
		OtherEndpoint: {func(config *Config) { config.CourierNumber = 3 }, []Micros{0}, [][]Event{{list, taken("r")}}, nil},
		SentLater:     {func(config *Config) { config.Slots = 0 }, []Micros{0}, [][]Event{{list, taken("r")}}, nil},
		SentEarlier: {func(config *Config) { config.Slots = 9 }, []Micros{0, second}, [][]Event{{list, taken("r")}, {TimerFired{}}},
			[][]Action{{}, {}}},
		RejectedOnly: {func(config *Config) { config.QueueLimit = 1 }, []Micros{0}, [][]Event{{taken("r")}}, nil},
		StillQueued:  {func(config *Config) { config.QueueLimit = 9 }, []Micros{0}, [][]Event{{taken("r")}}, [][]Action{{Reject{"r", 0}}}},
		OtherRetryAfter: {func(config *Config) { config.QueueLimit, config.MaySendRetryAfter = 1, false }, []Micros{0}, [][]Event{{taken("r")}},
			[][]Action{{Reject{"r", second}}}},
		StillAwaited: {func(*Config) {}, []Micros{0, second}, [][]Event{{list, taken("r")}, {TimerFired{}}},
			[][]Action{nil, {Cancel{"r", 0}}}},
		FailedOnly: {func(config *Config) { config.Classes[0].Idempotency = AtMostOnce }, []Micros{0, second},
			[][]Event{{list, taken("r")}, {AttemptFinished{Message: "r", Outcome: TimedOut}}}, nil},
	} {
		config := base
		config.Classes = append([]Class(nil), base.Classes...)
		play.change(&config)
		dispatcher, shadow := New(base), NewShadow(config)
		for i, at := range play.at {
			did := dispatcher.Handle(at, play.events[i])
			if i < len(play.did) && play.did[i] != nil {
				did = play.did[i]
			}
			shadow.Observe(at, play.events[i], did)
			shadow.Observe(at+1, nil, nil)
		}
		if counts, _ := shadow.Counts(); counts[name] != 1 {
			t.Errorf("difference %d counted %d times, not once: %v", name, counts[name], counts)
		}
	}
}
