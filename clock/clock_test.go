package clock

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// machine simulates the clocks of a machine whose wall clock can be stepped.
type machine struct {
	readings Readings
}

func newMachine() *machine {
	return &machine{Readings{Wall: 1_800_000_000_000_000, Monotonic: 50_000_000, Boot: "first"}}
}

// advance advances the wall clock and the monotonic clock.
func (m *machine) advance(duration time.Duration) {
	m.readings.Wall += duration.Microseconds()
	m.readings.Monotonic += duration.Microseconds()
}

// stepWallClock changes only the wall clock.
func (m *machine) stepWallClock(by time.Duration) { m.readings.Wall += by.Microseconds() }

// start simulates the start of a process and returns its initial courier time.
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

var wallClockSteps = []time.Duration{2 * time.Second, 90 * time.Second, time.Hour, -2 * time.Second, -90 * time.Second, -time.Hour}

// TestTimeIgnoresWallClockSteps: across two restarts, courier time must advance by the elapsed time, whatever steps the wall clock
// makes in between.
func TestTimeIgnoresWallClockSteps(t *testing.T) {
	for _, first := range wallClockSteps {
		for _, second := range wallClockSteps {
			dir, m := t.TempDir(), newMachine()
			startTime := m.start(t, dir, 0)
			if startTime != m.readings.Wall {
				t.Fatalf("courier time starts at %d, not at the wall clock", startTime)
			}
			for n, step := range []time.Duration{first, second} {
				m.stepWallClock(step)
				m.advance(7 * time.Second)
				if got, want := m.start(t, dir, 0)-startTime, int64(n+1)*7e6; got != want {
					t.Errorf("stepped by %v and %v: courier time advanced by %d us, want %d", first, second, got, want)
				}
			}
		}
	}
}

// TestTimeAfterReboot: after a reboot, courier time must continue from the wall clock, but not before the latest time known from
// earlier processes.
func TestTimeAfterReboot(t *testing.T) {
	for _, step := range append(wallClockSteps, 0) {
		dir, m := t.TempDir(), newMachine()
		startTime := m.start(t, dir, 0)
		latest := startTime + 30e6
		m.advance(time.Minute)
		m.stepWallClock(step)
		m.readings.Boot, m.readings.Monotonic = "second", 3_000_000
		got := m.start(t, dir, latest)
		if want := max(m.readings.Wall, latest); got != want {
			t.Errorf("stepped by %v: courier time after the reboot is %d us after the first start, want %d us", step, got-startTime, want-startTime)
		}
		m.stepWallClock(time.Hour)
		m.advance(time.Second)
		if next := m.start(t, dir, 0); next-got != 1e6 {
			t.Errorf("stepped by %v: the anchor stored after the reboot is not used: courier time advanced by %d us", step, next-got)
		}
	}
}

// TestDamagedAnchor: Open must report a truncated anchor and return a valid clock, and Store must replace the anchor.
func TestDamagedAnchor(t *testing.T) {
	dir, m := t.TempDir(), newMachine()
	m.start(t, dir, 0)
	content, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range content {
		if err := os.WriteFile(filepath.Join(dir, FileName), content[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Open(dir, m.readings, 0)
		if err == nil || c == nil || c.startedAt != m.readings.Wall || c.Stored() {
			t.Fatalf("truncated at byte %d: %v, %+v", cut, err, c)
		}
		if err := c.Store(); err != nil {
			t.Fatal(err)
		}
	}
	m.advance(time.Second)
	m.stepWallClock(time.Hour)
	if got := m.start(t, dir, 0); got != m.readings.Wall-time.Hour.Microseconds() {
		t.Errorf("the replaced anchor is not used: courier time minus wall clock is %d us, want minus 1 h", got-m.readings.Wall)
	}
}

// TestUnknownBootID: without a boot ID, no anchor may be used.
func TestUnknownBootID(t *testing.T) {
	dir, m := t.TempDir(), newMachine()
	m.readings.Boot = ""
	m.start(t, dir, 0)
	m.stepWallClock(time.Hour)
	if got := m.start(t, dir, 0); got != m.readings.Wall {
		t.Errorf("courier time starts %d us from the wall clock", got-m.readings.Wall)
	}
}

// TestSystem: all readings of the system clocks must be set, and courier time must advance.
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
		t.Errorf("courier time advanced by %d us", after-before)
	}
}
