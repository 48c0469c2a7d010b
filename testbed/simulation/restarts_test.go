package simulation

import (
	"os"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// readScenario reads a scenario from testdata.
func readScenario(t *testing.T, name string) *scenario.Definition {
	t.Helper()
	file := "testdata/" + name + ".toml"
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := scenario.Read(file, text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// spoolRecoveryCounter passes events and actions through, and counts the messages recovered after restarts and
// their attempts.
type spoolRecoveryCounter struct {
	Decider
	recovered *recoveredMessages
}

// recoveredMessages are the messages with an idempotency key that were recovered after restarts, with the
// number of attempts that followed.
type recoveredMessages struct {
	window                                       dispatch.Micros
	classes                                      map[dispatch.ClassID]bool // classes with an idempotency key
	unsent, withinWindow, expired                map[dispatch.MessageID]bool
	sendsUnsent, sendsWithinWindow, sendsExpired int
}

func newRecoveredMessages(window dispatch.Micros, idempotentClasses ...dispatch.ClassID) *recoveredMessages {
	r := &recoveredMessages{window: window, classes: map[dispatch.ClassID]bool{}, unsent: map[dispatch.MessageID]bool{},
		withinWindow: map[dispatch.MessageID]bool{}, expired: map[dispatch.MessageID]bool{}}
	for _, w := range idempotentClasses {
		r.classes[w] = true
	}
	return r
}

// add classifies a recovered message by whether it may have been sent, and whether its deduplication window
// has passed. An expired message stays expired after further restarts.
func (r *recoveredMessages) add(now dispatch.Micros, e dispatch.MessageRecovered) {
	delete(r.unsent, e.Message)
	delete(r.withinWindow, e.Message)
	if !r.classes[e.Class] {
		return
	}
	for _, p := range e.Attempts {
		if p.Outcome == dispatch.Throttled || p.Outcome == dispatch.Unreachable || p.Outcome == dispatch.Unprocessed {
			continue
		}
		if now >= p.SentAt+r.window {
			r.expired[e.Message] = true
		} else {
			r.withinWindow[e.Message] = true
		}
		return
	}
	r.unsent[e.Message] = true
}

func (r *recoveredMessages) countSend(id dispatch.MessageID) {
	switch {
	case r.expired[id]:
		r.sendsExpired++
	case r.withinWindow[id]:
		r.sendsWithinWindow++
	case r.unsent[id]:
		r.sendsUnsent++
	}
}

// Handle implements Decider.
func (r *spoolRecoveryCounter) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		if e, ok := event.(dispatch.MessageRecovered); ok {
			r.recovered.add(now, e)
		}
	}
	actions := r.Decider.Handle(now, events)
	for _, action := range actions {
		if a, ok := action.(dispatch.Send); ok {
			r.recovered.countSend(a.Message)
		}
	}
	return actions
}

// TestShortDedupWindowAcrossRestarts runs scenarios with many restarts and a deduplication window of one
// second. A message that may have been sent must not be sent after a restart if its window has passed. Some
// messages must be sent again within the window, and some that were never sent must still be sent.
func TestShortDedupWindowAcrossRestarts(t *testing.T) {
	const (
		seeds  = 12
		window = 1000 * 1000 // of the first two classes in the scenario file
	)
	var unsent, withinWindow, expired, sendsUnsent, sendsWithinWindow, sendsExpired int
	for seed := int64(1); seed <= seeds; seed++ {
		instance := scenario.Draw(readScenario(t, "restarts"), seed)
		recovered := newRecoveredMessages(window, 0, 1)
		v, _, err := Play(instance, NewLocalHost(func(_ int, cfg dispatch.Config) Decider {
			return &spoolRecoveryCounter{dispatch.New(cfg), recovered}
		}), Options{Spool: true})
		if err != nil {
			t.Fatal(err)
		}
		if !v.OK() {
			t.Errorf("seed %d: %s %v", seed, v.Short(), v.Breaches)
		}
		unsent, withinWindow, expired = unsent+len(recovered.unsent), withinWindow+len(recovered.withinWindow), expired+len(recovered.expired)
		sendsUnsent, sendsWithinWindow, sendsExpired = sendsUnsent+recovered.sendsUnsent, sendsWithinWindow+recovered.sendsWithinWindow, sendsExpired+recovered.sendsExpired
	}
	t.Logf("%d runs: recovered %d messages never sent (%d attempts followed), %d within their window (%d attempts), %d past it (%d attempts)",
		seeds, unsent, sendsUnsent, withinWindow, sendsWithinWindow, expired, sendsExpired)
	if sendsExpired > 0 {
		t.Errorf("%d attempts of messages that were past their deduplication window when recovered", sendsExpired)
	}
	if expired == 0 || sendsWithinWindow == 0 || sendsUnsent == 0 {
		t.Error("want recovered messages past their window, and attempts after a restart both within the window and of messages never sent")
	}
}
