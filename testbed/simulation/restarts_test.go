package simulation

import (
	"os"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// readDay reads a day of testdata.
func readDay(t *testing.T, name string) *scenario.Definition {
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
type recoveries struct {
	Decider
	seen *foundAtRestarts
}

// foundAtRestarts are messages with an idempotency key that restarts found, and how often such a one was sent afterwards.
type foundAtRestarts struct {
	window                            dispatch.Micros
	classes                           map[dispatch.ClassID]bool // those with an idempotency key
	untried, within, over             map[dispatch.MessageID]bool
	sentUntried, sentWithin, sentOver int
}

func newFoundAtRestarts(window dispatch.Micros, keyed ...dispatch.ClassID) *foundAtRestarts {
	f := &foundAtRestarts{window: window, classes: map[dispatch.ClassID]bool{}, untried: map[dispatch.MessageID]bool{},
		within: map[dispatch.MessageID]bool{}, over: map[dispatch.MessageID]bool{}}
	for _, w := range keyed {
		f.classes[w] = true
	}
	return f
}

// found sorts a message that a restart found.
func (f *foundAtRestarts) found(now dispatch.Micros, e dispatch.MessageRecovered) {
	delete(f.untried, e.Message)
	delete(f.within, e.Message)
	if !f.classes[e.Class] {
		return
	}
	for _, p := range e.Attempts {
		if p.Outcome == dispatch.Throttled || p.Outcome == dispatch.Unreachable || p.Outcome == dispatch.Unprocessed {
			continue
		}
		if now >= p.SentAt+f.window {
			f.over[e.Message] = true
		} else {
			f.within[e.Message] = true
		}
		return
	}
	f.untried[e.Message] = true
}

func (f *foundAtRestarts) sent(id dispatch.MessageID) {
	switch {
	case f.over[id]:
		f.sentOver++
	case f.within[id]:
		f.sentWithin++
	case f.untried[id]:
		f.sentUntried++
	}
}

// Handle implements Decider.
func (r *recoveries) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		if e, ok := event.(dispatch.MessageRecovered); ok {
			r.seen.found(now, e)
		}
	}
	actions := r.Decider.Handle(now, events)
	for _, action := range actions {
		if a, ok := action.(dispatch.Send); ok {
			r.seen.sent(a.Message)
		}
	}
	return actions
}

// TestShortWindowOverRestarts: on days full of restarts, with repeats known for a second only, all rules hold; what a restart
// finds past its window never goes again, what is within it may, and what was never tried still is.
func TestShortWindowOverRestarts(t *testing.T) {
	const (
		seeds  = 12
		window = 1000 * 1000 // as the day has it for the first two classes
	)
	var untried, within, over, sentUntried, sentWithin, sentOver int
	for seed := int64(1); seed <= seeds; seed++ {
		w := scenario.Draw(readDay(t, "restarts"), seed)
		found := newFoundAtRestarts(window, 0, 1)
		v, _, err := Play(w, NewLocalHost(func(_ int, ch dispatch.Config) Decider {
			return &recoveries{dispatch.New(ch), found}
		}), Options{Spool: true})
		if err != nil {
			t.Fatal(err)
		}
		if !v.OK() {
			t.Errorf("seed %d: %s %v", seed, v.Short(), v.Breaches)
		}
		untried, within, over = untried+len(found.untried), within+len(found.within), over+len(found.over)
		sentUntried, sentWithin, sentOver = sentUntried+found.sentUntried, sentWithin+found.sentWithin, sentOver+found.sentOver
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
