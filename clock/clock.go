// Package clock is the only place where a courier reads the system clocks.
//
// Courier time is in microseconds and approximately the Unix time. It is taken from the wall clock at the first start of a
// courier, after a reboot of the machine, and if the anchor (see below) is missing or damaged. Otherwise it advances with the
// monotonic clock, also across restarts and handoffs. Stepping the wall clock therefore moves no deadline, time window, wait or
// grace period. A small file in the state directory, the anchor, maps one reading of the monotonic
// clock to a courier time. All times in other files of the state directory are courier times.
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

// FileName is the file name of the anchor in the state directory.
const FileName = "clock.anchor"

const (
	magic   = "PPCA"
	version = 1
	// maxFileSize is the maximum size of the file in bytes.
	maxFileSize = 512
	// Reserve is the number of bytes reserved in the state directory: for the file and, during a replacement, the new file, in
	// whole blocks.
	Reserve = 2 * maxFileSize
)

// bootPath is the file with the boot ID of the machine. The monotonic clock starts at boot, so its readings are comparable only
// under the same boot ID.
const bootPath = "/proc/sys/kernel/random/boot_id"

// Instant returns the current time for measuring durations within this process, by the monotonic clock. Its date comes from the
// wall clock; outside this package it may be used in logs only.
func Instant() time.Time { return time.Now() }

// Since returns the time elapsed since an instant returned by Instant.
func Since(instant time.Time) time.Duration { return time.Since(instant) }

// Readings are the values of the system clocks at one instant.
type Readings struct {
	Wall      int64     // Unix time in microseconds
	Monotonic int64     // microseconds since boot
	Boot      string    // boot ID under which Monotonic was read; empty if unknown
	instant   time.Time // the same instant, for durations within this process
}

// Source reads the clocks from which the courier time is set at the start of a process.
type Source func() Readings

// System reads the system clocks. It is the Source used in production.
func System() Readings {
	id, err := os.ReadFile(bootPath)
	if err != nil {
		id = nil // without a boot ID, Open uses no anchor
	}
	now := Instant()
	return Readings{Wall: now.UnixMicro(), Monotonic: monotonic(), Boot: strings.TrimSpace(string(id)), instant: now}
}

// anchor is the courier time at one reading of the monotonic clock under one boot ID.
type anchor struct {
	Boot      string `json:"boot"`
	Monotonic int64  `json:"monotonic"`
	Time      int64  `json:"time"`
}

// Clock provides the courier time in one process.
type Clock struct {
	dir       string
	startedAt int64     // courier time at started
	started   time.Time // instant at which this process read the clocks
	anchor    anchor
	stored    bool // the anchor is in the state directory
}

// Open returns a clock that continues from the anchor in the state directory dir. If the anchor is missing, damaged, or from another
// or an unknown boot, the clock starts at the wall clock, but not before floor, the latest time in the other files of the directory. After an
// anchor from another boot, it also does not start before the time of that anchor. If err is not nil, the anchor cannot be read;
// err says why, and the clock is valid nevertheless. Call Store afterwards.
func Open(dir string, readings Readings, floor int64) (c *Clock, err error) {
	c = &Clock{dir: dir, started: readings.instant}
	saved, err := read(dir)
	switch {
	case err == nil && saved.Boot == readings.Boot && saved.Boot != "" && saved.Monotonic <= readings.Monotonic:
		c.startedAt, c.anchor, c.stored = saved.Time+readings.Monotonic-saved.Monotonic, saved, true
		return c, nil
	case err == nil:
		floor = max(floor, saved.Time)
	case errors.Is(err, atomicfile.ErrNotExist):
		err = nil
	}
	c.startedAt = max(readings.Wall, floor)
	c.anchor = anchor{Boot: readings.Boot, Monotonic: readings.Monotonic, Time: c.startedAt}
	return c, err
}

// Peek returns the courier time according to the anchor in dir, or the wall clock time if there is no usable anchor. It does
// not write to dir and is safe while a courier uses it.
func Peek(dir string) int64 {
	c, _ := Open(dir, System(), 0) // the error is ignored, because the courier that owns the directory logs it
	return c.Now()
}

// Now returns the courier time in microseconds. It is safe for concurrent use.
func (c *Clock) Now() int64 { return c.startedAt + time.Since(c.started).Microseconds() }

// At returns the courier time at an instant of this process. The instant must come from Instant.
func (c *Clock) At(instant time.Time) int64 {
	return c.startedAt + instant.Sub(c.started).Microseconds()
}

// Store writes the anchor unless it is already stored. Without a stored anchor, the next process takes its time from the wall
// clock.
func (c *Clock) Store() error {
	if c.stored {
		return nil
	}
	atomicfile.RemoveTempFiles(c.dir, FileName)
	payload, err := json.Marshal(c.anchor)
	if err != nil {
		return err
	}
	if err := atomicfile.Write(c.dir, FileName, atomicfile.Encode(magic, version, payload)); err != nil {
		return err
	}
	c.stored = true
	return nil
}

// Stored reports whether the anchor is in the state directory.
func (c *Clock) Stored() bool { return c.stored }

// read reads the anchor in dir.
func read(dir string) (a anchor, err error) {
	content, err := atomicfile.Read(dir, FileName, maxFileSize)
	if err != nil {
		return a, err
	}
	fileVersion, payload, err := atomicfile.Decode(magic, content)
	if err != nil {
		return a, err
	}
	if fileVersion != version {
		return a, fmt.Errorf("unsupported version %d, supported version is %d", fileVersion, version)
	}
	if err := json.Unmarshal(payload, &a); err != nil {
		return a, fmt.Errorf("%w: %v", atomicfile.ErrCorrupt, err)
	}
	return a, nil
}
