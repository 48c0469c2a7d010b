package dispatch

import (
	"testing"
)

// shadowSet holds the shadows that observe every scenario. The first one has the dispatcher's own configuration and must never
// differ from it. The others have different configurations, and their state must still agree with the dispatcher after
// each instant.
type shadowSet []*Shadow

// shadowChanges are the changes of the configuration for each shadow; the first one changes nothing.
var shadowChanges = []func(*Config){
	func(*Config) {},
	func(config *Config) { config.Slots, config.MaxAttempts = 1, 2 },
	func(config *Config) { config.QueueLimit, config.MaySendRetryAfter = 2, !config.MaySendRetryAfter },
	func(config *Config) { config.Couriers, config.OverloadFactor, config.Seed = 400, 1.1, config.Seed+1 },
	func(config *Config) {
		config.Classes = append([]Class(nil), config.Classes...)
		for i := range config.Classes {
			class := &config.Classes[i]
			class.Idempotency, class.Ordered, class.IdempotencyWindow = AtMostOnce, !class.Ordered, class.IdempotencyWindow/2
		}
	},
}

func (set *shadowSet) observe(r *scenarioRunner, events []Event, actual []Action) {
	r.t.Helper()
	if *set == nil {
		for _, change := range shadowChanges {
			config := r.config
			change(&config)
			*set = append(*set, NewShadow(config))
		}
	}
	for i, shadow := range *set {
		for _, e := range events {
			if reconfigured, ok := e.(Reconfigured); ok {
				config := reconfigured.Config
				shadowChanges[i](&config)
				shadow.Reconfigure(config)
			}
		}
		shadow.Observe(r.now, events, actual)
		counts, _ := shadow.Counts()
		if i == 0 && counts != [DifferenceCount]int{} {
			r.fatal("shadow with the same configuration differs from the dispatcher: %v", counts)
		}
		set.checkConsistent(r, i, shadow.dispatcher)
	}
}

// checkConsistent compares the messages, calls and attempts of a shadow with those of the dispatcher.
func (set *shadowSet) checkConsistent(r *scenarioRunner, index int, shadow *Dispatcher) {
	r.t.Helper()
	if shadow.unfinished != r.dispatcher.unfinished || shadow.callsInFlight != r.dispatcher.callsInFlight || len(shadow.inFlight) != len(r.dispatcher.inFlight) {
		r.fatal("shadow %d has %d unfinished messages, %d calls and %d attempts in flight; the dispatcher has %d, %d and %d", index, shadow.unfinished, shadow.callsInFlight,
			len(shadow.inFlight), r.dispatcher.unfinished, r.dispatcher.callsInFlight, len(r.dispatcher.inFlight))
	}
	for id, message := range r.dispatcher.messages {
		if shadowMessage := shadow.messages[id]; shadowMessage == nil || len(shadowMessage.attempts) != len(message.attempts) || shadowMessage.ended != message.ended || shadowMessage.queued != message.queued {
			r.fatal("shadow %d differs from the dispatcher on message %s", index, id)
		}
	}
	if len(shadow.messages) != len(r.dispatcher.messages) {
		r.fatal("shadow %d has %d messages, the dispatcher %d", index, len(shadow.messages), len(r.dispatcher.messages))
	}
}

// TestShadowCountsDifferencesByKind checks that a shadow counts a difference once per message. There is no case for
// CanceledOnly.
func TestShadowCountsDifferencesByKind(t *testing.T) {
	base := Config{Seed: 7, Couriers: 1, Slots: 50, QueueLimit: 100, MaxAttempts: 8, MaySendRetryAfter: true, MayCancel: true,
		MaxRetryAfter: 2 * second, Tick: 5 * millisecond, ReportRemainingIndex: -1, ReportRateIndex: -1, SlowStartInitialShare: 0.2, SlowStart: 10 * second,
		OverloadFactor: 2, IdleTimeout: 5 * second, Classes: []Class{{Objective: second, TimeToLive: 20 * second, Priority: 1}}}
	list := EndpointUpdate{Kind: CompleteList, Entries: []EndpointEntry{{Endpoint: "a", Destination: 1}, {Endpoint: "b", Destination: 1}}}
	accepted := func(id MessageID) MessageAccepted {
		return MessageAccepted{Message: id, Destination: 1, Deadline: 20 * second}
	}
	for difference, testCase := range map[Difference]struct {
		change func(*Config)
		at     []Micros
		events [][]Event
		actual [][]Action
	}{
		OtherEndpoint: {func(config *Config) { config.CourierNumber = 3 }, []Micros{0}, [][]Event{{list, accepted("r")}}, nil},
		SentLater:     {func(config *Config) { config.Slots = 0 }, []Micros{0}, [][]Event{{list, accepted("r")}}, nil},
		SentEarlier: {func(config *Config) { config.Slots = 9 }, []Micros{0, second}, [][]Event{{list, accepted("r")}, {TimerFired{}}},
			[][]Action{{}, {}}},
		RejectedOnly: {func(config *Config) { config.QueueLimit = 1 }, []Micros{0}, [][]Event{{accepted("r")}}, nil},
		StillQueued:  {func(config *Config) { config.QueueLimit = 9 }, []Micros{0}, [][]Event{{accepted("r")}}, [][]Action{{Reject{"r", 0}}}},
		OtherRetryAfter: {func(config *Config) { config.QueueLimit, config.MaySendRetryAfter = 1, false }, []Micros{0}, [][]Event{{accepted("r")}},
			[][]Action{{Reject{"r", second}}}},
		StillAwaited: {func(*Config) {}, []Micros{0, second}, [][]Event{{list, accepted("r")}, {TimerFired{}}},
			[][]Action{nil, {Cancel{"r", 0}}}},
		FailedOnly: {func(config *Config) { config.Classes[0].Idempotency = AtMostOnce }, []Micros{0, second},
			[][]Event{{list, accepted("r")}, {AttemptFinished{Message: "r", Outcome: TimedOut}}}, nil},
	} {
		config := base
		config.Classes = append([]Class(nil), base.Classes...)
		testCase.change(&config)
		dispatcher, shadow := New(base), NewShadow(config)
		for i, at := range testCase.at {
			actual := dispatcher.Handle(at, testCase.events[i])
			if i < len(testCase.actual) && testCase.actual[i] != nil {
				actual = testCase.actual[i]
			}
			shadow.Observe(at, testCase.events[i], actual)
			shadow.Observe(at+1, nil, nil)
		}
		if counts, _ := shadow.Counts(); counts[difference] != 1 {
			t.Errorf("difference %d counted %d times, want 1: %v", difference, counts[difference], counts)
		}
	}
}
