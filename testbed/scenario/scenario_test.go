package scenario

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"pineport/testbed/endpointmodel"
)

func TestFaultsNameFileLineKey(t *testing.T) {
	good, err := builtIn.ReadFile("days/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"length_s = 30", "length_s = 0.5", "calm.toml:3: length_s: a number from 1 to 86400 was expected, not 0.5"},
		{"length_s = 30", "", "calm.toml: length_s: must be given"},
		{"load = [0.6, 0.6]", "load = [0.9, 0.6]", "calm.toml:4: load: two numbers"},
		{"couriers = 3", "courirs = 3", `calm.toml:7: fleet.courirs: no such key; "couriers"?`},
		{"couriers = 3", `couriers = "three"`, "calm.toml:7: fleet.couriers: "},
		{`repeat = "single-use"`, `repeat = "once"`, "workload.1.repeat: one of replayable, referenced, single-use was expected"},
		{`kinds = ["banks"]`, `kinds = ["bank"]`, "workload.1.kinds: no kind has the name"},
		{"name = \"firms\"", "name = \"banks\"", "kind.1.name: another kind"},
		{"destinations = 12", "destinations = 12\n[[trouble]]\nkind = \"flod\"", "calm.toml:14: trouble.0.kind: one of"},
		{"destinations = 12", "destinations = 12\n[chance]\nkinds = [\"flod\"]", "chance.kinds: no trouble"},
		{"length_s = 30", "length_s = ", "calm.toml:3: "},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		if _, err := Read("calm.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %q was wanted, not %v", c.new, c.want, err)
		}
	}
	// All faults at once.
	text := strings.NewReplacer("length_s = 30", "length_s = -1", "couriers = 3", "couriers = 0").Replace(string(good))
	_, err = Read("calm.toml", []byte(text))
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) || len(joined.Unwrap()) != 2 {
		t.Errorf("two faults were wanted: %v", err)
	}
}

// TestSameSeedSameDay: to the byte, for every day that comes with the testbed; another seed gives another one.
func TestSameSeedSameDay(t *testing.T) {
	for _, name := range BuiltIn() {
		d, err := Find(name)
		if err != nil {
			t.Fatal(err)
		}
		if d.Traffic.FullLoadPerSec > 500 {
			continue
		}
		print := func(seed int64) string {
			w := Draw(d, seed)
			return fmt.Sprintf("%+v %+v %+v", w.Destinations, w.Arrivals, w.Events)
		}
		if first, again := print(4), print(4); first != again {
			t.Errorf("%s: the same seed gave two days", name)
		}
		if print(4) == print(5) {
			t.Errorf("%s: two seeds gave the same day", name)
		}
	}
}

// TestDrawKeepsToTheFile: shares, limits and troubles come out as the file has them.
func TestDrawKeepsToTheFile(t *testing.T) {
	d, err := Find("chance")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range int64(20) {
		w := Draw(d, seed)
		begun, over := 0, 0
		for i, a := range w.Events {
			if i > 0 && a.At < w.Events[i-1].At {
				t.Fatal("acts out of order")
			}
			switch a.Kind {
			case FaultBegins:
				begun++
			case FaultEnds:
				over++
			}
		}
		if begun != over {
			t.Errorf("seed %d: %d faults begin, %d end", seed, begun, over)
		}
		want := w.Load * d.Traffic.FullLoadPerSec * d.Length
		if n := float64(len(w.Arrivals)); n < 0.75*want || n > 1.25*want && !flooded(w) {
			t.Errorf("seed %d: %v messages, %v were to be expected", seed, n, want)
		}
		for _, dst := range w.Destinations {
			k := d.Kinds[dst.Plan.Kind]
			if n := float64(len(dst.Endpoints)); n < k.Endpoints[0] || n > k.Endpoints[1] {
				t.Errorf("%v endpoints", n)
			}
			if dst.Limit.Kind != endpointmodel.NoLimit && dst.Capacity()*float64(len(dst.Endpoints)) < dst.Limit.PerSec*0.9 {
				t.Errorf("capacity %v under the limit %v", dst.Capacity()*float64(len(dst.Endpoints)), dst.Limit.PerSec)
			}
		}
	}
}

func flooded(w *Instance) bool {
	for _, a := range w.Events {
		if a.Kind == Tells {
			return true
		}
	}
	return false
}

// TestFormatPageIsFresh: the page is made from the tags that the reader uses, and must not lag behind them.
func TestFormatPageIsFresh(t *testing.T) {
	var b strings.Builder
	if err := WriteFormat(&b); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/scenario-format.md")
	if err != nil || string(page) != b.String() {
		t.Errorf("docs/scenario-format.md is stale: go run ./cmd/pineport-testbed format > docs/scenario-format.md (%v)", err)
	}
}

// FuzzRead: no file makes the reader panic, and what it takes can be drawn.
func FuzzRead(f *testing.F) {
	for _, name := range BuiltIn() {
		text, _ := builtIn.ReadFile("days/" + name + ".toml")
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		d, err := Read("fuzz.toml", text)
		if err != nil || d.Traffic.FullLoadPerSec*d.Length*max(1, d.Load[1]) > 1e4 || d.Traffic.Destinations > 20 || d.Fleet.Couriers > 100 {
			return
		}
		for _, tr := range d.Faults {
			if tr.Length[1] > 1e3 || tr.Size[1] > 100 {
				return
			}
		}
		Draw(d, 1)
	})
}
