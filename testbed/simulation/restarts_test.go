package simulation

import (
	"os"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// readDay reads a day of testdata.
func readScenario(t *testing.T, name string) *scenario.Day {
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

// recoveries counts what restarts found, by what may be done about it.
type recoveryCounter struct {
	Decider
	recovered *recoveredMessages
}

// foundAtRestarts are messages with an idempotency key that restarts found, and how often such a one was sent afterwards.
type recoveredMessages struct {
	window                                       dispatch.Micros
	classes                                      map[dispatch.ClassID]bool // those with an idempotency key
	unsent, withinWindow, expired                map[dispatch.MessageID]bool
	sendsUnsent, sendsWithinWindow, sendsExpired int
}

func newRecoveredMessages(window dispatch.Micros, idempotentClasses ...dispatch.ClassID) *recoveredMessages {
	f := &recoveredMessages{window: window, classes: map[dispatch.ClassID]bool{}, unsent: map[dispatch.MessageID]bool{},
		withinWindow: map[dispatch.MessageID]bool{}, expired: map[dispatch.MessageID]bool{}}
	for _, w := range idempotentClasses {
		f.classes[w] = true
	}
	return f
}

// found sorts a message that a restart found.
func (f *recoveredMessages) add(now dispatch.Micros, e dispatch.MessageRecovered) {
	delete(f.unsent, e.Message)
	delete(f.withinWindow, e.Message)
	if !f.classes[e.Class] {
		return
	}
	for _, p := range e.Attempts {
		if p.Outcome == dispatch.Throttled || p.Outcome == dispatch.Unreachable || p.Outcome == dispatch.Unprocessed {
			continue
		}
		if now >= p.SentAt+f.window {
			f.expired[e.Message] = true
		} else {
			f.withinWindow[e.Message] = true
		}
		return
	}
	f.unsent[e.Message] = true
}

func (f *recoveredMessages) countSend(id dispatch.MessageID) {
	switch {
	case f.expired[id]:
		f.sendsExpired++
	case f.withinWindow[id]:
		f.sendsWithinWindow++
	case f.unsent[id]:
		f.sendsUnsent++
	}
}

// Handle implements Decider.
func (r *recoveryCounter) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
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

// TestShortDedupWindowAcrossRestarts: on days full of restarts, with repeats known for a second only, all rules hold; what a restart
// finds past its window never goes again, what is within it may, and what was never tried still is.
func TestShortDedupWindowAcrossRestarts(t *testing.T) {
	const (
		seeds  = 12
		window = 1000 * 1000 // as the day has it for the first two classes
	)
	var untried, within, over, sentUntried, sentWithin, sentOver int
	for seed := int64(1); seed <= seeds; seed++ {
		w := scenario.Draw(readScenario(t, "restarts"), seed)
		found := newRecoveredMessages(window, 0, 1)
		v, _, err := Play(w, NewLocal(func(_ int, ch dispatch.Config) Decider {
			return &recoveryCounter{dispatch.New(ch), found}
		}), Options{Spool: true})
		if err != nil {
			t.Fatal(err)
		}
		if !v.OK() {
			t.Errorf("seed %d: %s %v", seed, v.Short(), v.Breaches)
		}
		untried, within, over = untried+len(found.unsent), within+len(found.withinWindow), over+len(found.expired)
		sentUntried, sentWithin, sentOver = sentUntried+found.sendsUnsent, sentWithin+found.sendsWithinWindow, sentOver+found.sendsExpired
	}
	t.Logf("%d days: restarts found %d messages untried (%d attempts followed), %d within their window (%d attempts), %d past it (%d attempts)",
		seeds, untried, sentUntried, within, sentWithin, over, sentOver)
	if sentOver > 0 {
		t.Errorf("%d attempts of messages that were past their window when a restart found them", sentOver)
	}
	if over == 0 || sentWithin == 0 || sentUntried == 0 {
		t.Error("these days show too little")
	}
}
