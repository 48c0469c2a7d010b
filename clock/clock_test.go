package clock

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// machine is a machine whose wall clock can be stepped.
type machine struct {
	readings Readings
}

func newMachine() *machine {
	return &machine{Readings{Wall: 1_800_000_000_000_000, Monotonic: 50_000_000, Boot: "first"}}
}

// passes lets real time pass.
func (m *machine) passes(span time.Duration) {
	m.readings.Wall += span.Microseconds()
	m.readings.Monotonic += span.Microseconds()
}

func (m *machine) steps(by time.Duration) { m.readings.Wall += by.Microseconds() }

// start starts a process, and returns its time.
func (m *machine) start(t *testing.T, dir string, floor int64) int64 {
	t.Helper()
	readings := m.readings
	readings.instant = Instant()
	c, err := Open(dir, readings, floor)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Store(); err != nil {
		t.Fatal(err)
	}
	return c.startedAt
}

var steps = []time.Duration{2 * time.Second, 90 * time.Second, time.Hour, -2 * time.Second, -90 * time.Second, -time.Hour}

// TestTimeGoesOnOverSteps: from one process to the next the courier's time passes as real time does, however the wall clock was stepped
// meanwhile, once and again.
func TestTimeGoesOnOverSteps(t *testing.T) {
	for _, first := range steps {
		for _, second := range steps {
			dir, m := t.TempDir(), newMachine()
			began := m.start(t, dir, 0)
			if began != m.readings.Wall {
				t.Fatalf("began at %d, not at the wall clock", began)
			}
			for n, step := range []time.Duration{first, second} {
				m.steps(step)
				m.passes(7 * time.Second)
				if got, want := m.start(t, dir, 0)-began, int64(n+1)*7e6; got != want {
					t.Errorf("stepped by %v and %v: %d us passed, not %d", first, second, got, want)
				}
			}
		}
	}
}

// TestTimeAfterAStartOfTheMachine: it goes on by the wall clock, and never before what is known of earlier processes.
func TestTimeAfterAStartOfTheMachine(t *testing.T) {
	for _, step := range append(steps, 0) {
		dir, m := t.TempDir(), newMachine()
		began := m.start(t, dir, 0)
		latest := began + 30e6
		m.passes(time.Minute)
		m.steps(step)
		m.readings.Boot, m.readings.Monotonic = "second", 3_000_000
		got := m.start(t, dir, latest)
		if want := max(m.readings.Wall, latest); got != want {
			t.Errorf("stepped by %v: began at %d, want %d", step, got-began, want-began)
		}
		m.steps(time.Hour)
		m.passes(time.Second)
		if again := m.start(t, dir, 0); again-got != 1e6 {
			t.Errorf("stepped by %v: the new start's anchor is not used: %d us passed", step, again-got)
		}
	}
}

// TestAnchorThatCannotBeUsed: it is reported, the clock runs, and a new anchor takes its place.
func TestAnchorThatCannotBeUsed(t *testing.T) {
	dir, m := t.TempDir(), newMachine()
	m.start(t, dir, 0)
	whole, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(filepath.Join(dir, FileName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Open(dir, m.readings, 0)
		if err == nil || c == nil || c.startedAt != m.readings.Wall || c.Stored() {
			t.Fatalf("cut at %d: %v, %+v", cut, err, c)
		}
		if err := c.Store(); err != nil {
			t.Fatal(err)
		}
	}
	m.passes(time.Second)
	m.steps(time.Hour)
	if got := m.start(t, dir, 0); got != m.readings.Wall-time.Hour.Microseconds() {
		t.Errorf("the anchor that was written again is not used: %d", got-m.readings.Wall)
	}
}

// TestUnknownBoot: without a name for the machine's start no anchor is trusted.
func TestUnknownBoot(t *testing.T) {
	dir, m := t.TempDir(), newMachine()
	m.readings.Boot = ""
	m.start(t, dir, 0)
	m.steps(time.Hour)
	if got := m.start(t, dir, 0); got != m.readings.Wall {
		t.Errorf("began %d us from the wall clock", got-m.readings.Wall)
	}
}

// TestSystem: the readings are there, and a process's time passes.
func TestSystem(t *testing.T) {
	readings := System()
	if readings.Wall == 0 || readings.Monotonic == 0 || readings.Boot == "" {
		t.Errorf("%+v", readings)
	}
	c, err := Open(t.TempDir(), readings, 0)
	if err != nil {
		t.Fatal(err)
	}
	before := c.Now()
	time.Sleep(5 * time.Millisecond)
	if after := c.Now(); after-before < 4000 || c.At(Instant()) < after {
		t.Errorf("%d us passed", after-before)
	}
}
