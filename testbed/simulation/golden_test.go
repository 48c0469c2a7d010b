package simulation

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"
	"sync"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/golden"
	"pineport/testbed/scenario"
)

// digestingDecider adds each action, in order and in full, to a digest that names no type and no field of the program.
type digestingDecider struct {
	*dispatch.Dispatcher
	digest  hash.Hash
	number  int
	actions *int
}

// Handle implements Decider.
func (d *digestingDecider) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	actions := d.Dispatcher.Handle(now, events)
	for _, action := range actions {
		*d.actions++
		fmt.Fprintf(d.digest, "%d %d ", now, d.number)
		switch a := action.(type) {
		case dispatch.Send:
			fmt.Fprintf(d.digest, "1 %q %q %d\n", a.Message, a.Endpoint, a.Timeout)
		case dispatch.Cancel:
			fmt.Fprintf(d.digest, "2 %q %d\n", a.Message, a.Attempt)
		case dispatch.Reject:
			fmt.Fprintf(d.digest, "3 %q %d\n", a.Message, a.RetryAfter)
		case dispatch.Fail:
			fmt.Fprintf(d.digest, "4 %q\n", a.Message)
		case dispatch.SetTimer:
			fmt.Fprintf(d.digest, "5 %d\n", a.At)
		case dispatch.CloseIdle:
			fmt.Fprintf(d.digest, "6 %q\n", a.Endpoint)
		case dispatch.WatchEndpoints:
			fmt.Fprintf(d.digest, "7\n")
		case dispatch.Note:
			fmt.Fprintf(d.digest, "8 %q\n", a.Text)
		default:
			panic(fmt.Sprintf("an action without a number: %T", action))
		}
	}
	return actions
}

// goldenPlay is one day whose actions are held against the golden file.
type goldenPlay struct {
	day  string
	seed int64
}

// goldenPlays are the built-in days with three seeds each, but for the day at full size, which takes a minute; and 100 drawn days.
func goldenPlays() (plays []goldenPlay) {
	const (
		fullSize   = "full-size"
		largeFleet = "shared-300" // some seconds a play: with three seeds, and not drawn
		drawnDays  = 100
		firstDrawn = 1001
	)
	var drawn []string
	for _, name := range scenario.BuiltIn() {
		if name == fullSize {
			continue
		}
		if name != largeFleet {
			drawn = append(drawn, name)
		}
		for seed := int64(1); seed <= 3; seed++ {
			plays = append(plays, goldenPlay{name, seed})
		}
	}
	for i := range drawnDays {
		plays = append(plays, goldenPlay{drawn[i%len(drawn)], int64(firstDrawn + i)})
	}
	return plays
}

// digest plays a day with what couriers keep over restarts, and with shared limits on the day that is about these.
func (p goldenPlay) digest() (string, error) {
	d, err := scenario.Find(p.day)
	if err != nil {
		return "", err
	}
	options := Options{SnapshotInterval: 500 * 1000, Spool: true}
	if p.day == "shared-limits" {
		options.Share = QuotaSharing{Interval: 500 * 1000, Loss: 0.1}
	}
	digest, actions := sha256.New(), 0
	_, _, err = Play(scenario.Draw(d, p.seed), NewLocalHost(func(number int, ch dispatch.Config) Decider {
		return &digestingDecider{dispatch.New(ch), digest, number, &actions}
	}), options)
	return fmt.Sprintf("%s %d %d %x", p.day, p.seed, actions, digest.Sum(nil)[:16]), err
}

// TestActionsAreAsRecorded: on every built-in day and on 100 drawn ones, the decisions are, action by action, those of the golden file.
func TestActionsAreAsRecorded(t *testing.T) {
	plays := goldenPlays()
	lines, faults := make([]string, len(plays)), make([]error, len(plays))
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i, p := range plays {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			lines[i], faults[i] = p.digest()
		})
	}
	all.Wait()
	for i, err := range faults {
		if err != nil {
			t.Fatalf("%s, seed %d: %v", plays[i].day, plays[i].seed, err)
		}
	}
	golden.Check(t, "actions.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
