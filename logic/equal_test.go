package logic_test

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"testing"

	"pineport/lab/day"
	"pineport/lab/sim"
	"pineport/logic"
)

// both is a courier with indexes beside one that goes through all it holds, fed the same; the first one's actions are carried out.
type both struct {
	indexed, scanning *logic.Courier
	report            func(now logic.Micros, events []logic.Event, indexed, scanning []logic.Action)
}

func (b *both) Handle(now logic.Micros, events []logic.Event) []logic.Action {
	actions := b.indexed.Handle(now, events)
	if other := b.scanning.Handle(now, events); !reflect.DeepEqual(actions, other) {
		b.report(now, events, actions, other)
	}
	return actions
}

func (b *both) Lore() logic.Lore    { return b.indexed.Lore() }
func (b *both) Needs() []logic.Need { return b.indexed.Needs() }

// TestIndexesDecideNothing plays drawn days with every trouble of the laboratory in virtual time, and holds each action of a courier with
// indexes against one that goes through all that it holds. PINEPORT_DAYS sets how many seeds of each day.
func TestIndexesDecideNothing(t *testing.T) {
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("PINEPORT_DAYS")); err == nil {
		seeds = n
	}
	for _, name := range day.BuiltIn() {
		if name == "full-size" {
			continue // long; its decisions are those of the others
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				playBoth(t, name, int64(seed+1))
			}
		})
	}
}

func playBoth(t *testing.T, name string, seed int64) {
	d, err := day.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	steps, differ := 0, 0
	host := sim.NewLocal(func(no int, ch logic.Charter) sim.Decider {
		b := &both{indexed: logic.New(ch), scanning: logic.NewScanning(ch)}
		b.report = func(now logic.Micros, events []logic.Event, indexed, scanning []logic.Action) {
			if differ++; differ <= 3 {
				t.Errorf("%s, seed %d, courier %d at %d: %s", name, seed, no, now, difference(events, indexed, scanning))
			}
		}
		return b
	})
	_, stats, err := sim.Play(day.Draw(d, seed), host, sim.Options{Lore: 1000 * 1000, Share: sim.Share{Beat: 500 * 1000}})
	if err != nil {
		t.Fatal(err)
	}
	if steps = stats.Turns; steps < 100 || differ > 0 {
		t.Errorf("%s, seed %d: %d of %d steps differ", name, seed, differ, steps)
	}
}

func difference(events []logic.Event, indexed, scanning []logic.Action) string {
	return fmt.Sprintf("after %.400v\n  with indexes  %.600v\n  going through %.600v", events, indexed, scanning)
}
