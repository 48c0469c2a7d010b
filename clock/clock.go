// Package clock is the one place where a courier reads the system's clocks.
//
// A courier's time is microseconds that look like Unix time and pass as real time does: it is taken from the wall clock once, and
// from then on runs by the monotonic clock, over restarts and handoffs too, for as long as the machine runs. So a wall clock that is
// stepped moves no deadline, window, wait or grace. A small file in the state folder, the anchor, says which courier time belongs to
// which reading of the monotonic clock; times in other files are courier times.
package clock

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"pineport/atomicfile"
)

// FileName of the anchor's file, in the state folder.
const FileName = "clock.anchor"

const (
	magic   = "PPCA"
	version = 1
	// limit is the most that the file may hold, in bytes.
	limit = 512
	// Reserve is what the folder must have free for it: the file, and its successor while it is replaced, in whole blocks.
	Reserve = 2 * limit
)

// bootPath names the machine's start: the monotonic clock runs from there.
const bootPath = "/proc/sys/kernel/random/boot_id"

// Instant returns the instant that it is, for spans within this process alone: it compares by the monotonic clock. What it shows as a
// date is the wall clock's, which only a log may show.
func Instant() time.Time { return time.Now() }

// Since returns the span since an instant of this process.
func Since(instant time.Time) time.Duration { return time.Since(instant) }

// Readings are what the system's clocks show at one instant.
type Readings struct {
	Wall      int64     // microseconds of Unix time
	Monotonic int64     // microseconds
	Boot      string    // which start of the machine the monotonic clock belongs to; empty where that is not known
	instant   time.Time // the same instant, for spans within this process
}

// Source reads the clocks that a courier's time is taken from, at its start.
type Source func() Readings

// System is the source in service: the system's clocks.
func System() Readings {
	id, err := os.ReadFile(bootPath)
	if err != nil {
		id = nil // then no anchor is used
	}
	now := Instant()
	return Readings{Wall: now.UnixMicro(), Monotonic: monotonic(), Boot: strings.TrimSpace(string(id)), instant: now}
}

// anchor says that at a reading of the monotonic clock the courier's time was so much.
type anchor struct {
	Boot      string `json:"boot"`
	Monotonic int64  `json:"monotonic"`
	Time      int64  `json:"time"`
}

// Clock is the time of one process of a courier.
type Clock struct {
	dir       string
	startedAt int64 // courier time
	started   time.Time
	anchor    anchor
	stored    bool
}

// Open returns a clock that goes on from the anchor in a state folder. Where there is none, or the machine has been started since, it
// begins at the wall clock, but never before floor, the latest time in the folder. err says why an anchor that is there is not used;
// the clock runs all the same. Call Store then.
func Open(dir string, readings Readings, floor int64) (c *Clock, err error) {
	c = &Clock{dir: dir, started: readings.instant}
	held, err := read(dir)
	switch {
	case err == nil && held.Boot == readings.Boot && held.Boot != "" && held.Monotonic <= readings.Monotonic:
		c.startedAt, c.anchor, c.stored = held.Time+readings.Monotonic-held.Monotonic, held, true
		return c, nil
	case err == nil:
		floor = max(floor, held.Time)
	case errors.Is(err, atomicfile.ErrNotExist):
		err = nil
	}
	c.startedAt = max(readings.Wall, floor)
	c.anchor = anchor{Boot: readings.Boot, Monotonic: readings.Monotonic, Time: c.startedAt}
	return c, err
}

// Peek returns the courier's time by the anchor in a folder, which a courier may be using; without one, by the wall clock.
func Peek(dir string) int64 {
	c, _ := Open(dir, System(), 0) // what is wrong with the anchor is the courier's to report
	return c.Now()
}

// Now returns the courier's time, in microseconds. Any goroutine may call it.
func (c *Clock) Now() int64 { return c.startedAt + time.Since(c.started).Microseconds() }

// At returns the courier's time at an instant of this process, which must have been read from time.Now.
func (c *Clock) At(instant time.Time) int64 {
	return c.startedAt + instant.Sub(c.started).Microseconds()
}

// Store writes the anchor, unless it is there. Until it is, a restart goes by the wall clock.
func (c *Clock) Store() error {
	if c.stored {
		return nil
	}
	atomicfile.RemoveLeftovers(c.dir, FileName)
	text, err := json.Marshal(c.anchor)
	if err != nil {
		return err
	}
	if err := atomicfile.Write(c.dir, FileName, atomicfile.Encode(magic, version, text)); err != nil {
		return err
	}
	c.stored = true
	return nil
}

// Stored reports whether the anchor is in the folder.
func (c *Clock) Stored() bool { return c.stored }

func read(dir string) (a anchor, err error) {
	content, err := atomicfile.Read(dir, FileName, limit)
	if err != nil {
		return a, err
	}
	v, text, err := atomicfile.Decode(magic, content)
	if err != nil {
		return a, err
	}
	if v != version {
		return a, fmt.Errorf("version %d, this program knows %d", v, version)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fmt.Errorf("%w: %v", atomicfile.ErrCorrupt, err)
	}
	return a, nil
}
