// Package logging is the courier's log, built on log/slog. It writes text or JSON and has log levels per component that can
// change at run time. Repeated lines are counted and reported once. A bounded queue in front of the writer keeps the callers
// from blocking when the process that reads the output hangs or the disk is full.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pineport/clock"
)

// Options configure a log.
type Options struct {
	Level        string            // default level
	Levels       map[string]string // levels by component, which replace the default level
	JSON         bool
	RepeatWindow time.Duration // a line repeated within this time is counted and reported once; 0 writes every line
	QueueSize    int           // maximum number of lines waiting to be written; further lines are dropped and counted
}

// Component is the key of the attribute that names the component of a line. Options.Levels refers to its value.
const Component = "component"

// Log is a logger with its levels, its queue and the goroutine that writes the lines.
type Log struct {
	*slog.Logger
	levels  atomic.Pointer[levels]
	queue   chan []byte  // lines to write
	dropped atomic.Int64 // lines dropped because the queue was full
	written atomic.Int64 // lines written without an error
	repeats *repeatFilter
	quit    chan struct{} // closed by Close
	done    chan struct{} // closed when all lines are written after quit
	once    sync.Once
}

// levels is one setting of the log levels.
type levels struct {
	defaultLevel slog.Level
	byComponent  map[string]slog.Level
}

// Level parses the name of a log level.
func Level(name string) (slog.Level, error) {
	var l slog.Level
	err := l.UnmarshalText([]byte(name))
	return l, err
}

// New returns a log that writes to out.
func New(out io.Writer, o Options) (*Log, error) {
	l := &Log{queue: make(chan []byte, max(1, o.QueueSize)), quit: make(chan struct{}), done: make(chan struct{}),
		repeats: &repeatFilter{window: o.RepeatWindow, tracked: map[string]*trackedLine{}}}
	if err := l.SetLevels(o.Level, o.Levels); err != nil {
		return nil, err
	}
	options := &slog.HandlerOptions{Level: slog.Level(-1 << 10)} // handler.Enabled filters by level
	var formatter slog.Handler = slog.NewTextHandler(queueWriter{l}, options)
	if o.JSON {
		formatter = slog.NewJSONHandler(queueWriter{l}, options)
	}
	l.Logger = slog.New(&handler{log: l, formatter: formatter})
	go l.write(out)
	return l, nil
}

// SetLevels replaces the log levels. If any name is not a valid level, it returns an error and changes nothing.
func (l *Log) SetLevels(defaultLevel string, byComponent map[string]string) error {
	level, err := Level(defaultLevel)
	if err != nil {
		return fmt.Errorf("log.level: %w", err)
	}
	next := &levels{defaultLevel: level, byComponent: map[string]slog.Level{}}
	for component, name := range byComponent {
		if next.byComponent[component], err = Level(name); err != nil {
			return fmt.Errorf("log.levels: %s: %w", component, err)
		}
	}
	l.levels.Store(next)
	return nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close waits until the queued lines are written, at most for timeout.
func (l *Log) Close(timeout time.Duration) {
	l.once.Do(func() { close(l.quit) })
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

// repeatReportInterval is the interval for checking for lines whose window is over, to report their repeats.
const repeatReportInterval = time.Second

// write writes the queued lines to out. Only its goroutine blocks if out blocks.
func (l *Log) write(out io.Writer) {
	defer close(l.done)
	reported := int64(0)
	writeLine := func(line []byte) {
		if _, err := out.Write(line); err == nil {
			l.written.Add(1)
		}
		if n := l.dropped.Load(); n > reported && len(l.queue) < cap(l.queue)/2 {
			record := slog.NewRecord(clock.Instant(), slog.LevelWarn, "log lines dropped", 0)
			record.AddAttrs(slog.Int64("count", n-reported), slog.String(Component, "logs"))
			reported = n
			_ = l.Logger.Handler().(*handler).formatter.Handle(context.Background(), record) // goes into the queue, which has room
		}
	}
	ticker := time.NewTicker(repeatReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			writeLine(line)
		case <-ticker.C:
			l.repeats.reportExpired(clock.Instant(), false)
		case <-l.quit:
			l.repeats.reportExpired(clock.Instant(), true)
			for {
				select {
				case line := <-l.queue:
					writeLine(line)
				default:
					return
				}
			}
		}
	}
}

// queueWriter adds a formatted line to the queue, or counts it as dropped if the queue is full. It never blocks.
type queueWriter struct{ log *Log }

func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.log.queue <- append([]byte(nil), line...):
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}

// handler filters lines by level and suppresses repeats.
type handler struct {
	log       *Log
	formatter slog.Handler
	component string
	attrsKey  string // attributes and groups set by WithAttrs and WithGroup, as text; part of the key of a repeat
}

func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	ls := h.log.levels.Load()
	if l, ok := ls.byComponent[h.component]; ok {
		return level >= l
	}
	return level >= ls.defaultLevel
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if h.log.repeats.window > 0 && h.log.repeats.suppress(h, r) {
		return nil
	}
	return h.formatter.Handle(ctx, r)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.formatter = h.formatter.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == Component {
			next.component = a.Value.String()
		}
		next.attrsKey += a.String() + " "
	}
	return &next
}

func (h *handler) WithGroup(name string) slog.Handler {
	next := *h
	next.formatter = h.formatter.WithGroup(name)
	next.attrsKey += name + "."
	return &next
}

// repeatFilter detects and counts repeated lines.
type repeatFilter struct {
	mu      sync.Mutex
	window  time.Duration           // a line equal to an earlier one within this time is a repeat
	tracked map[string]*trackedLine // by all parts of a line except its time
}

// trackedLine is a line that was written, with the number of its repeats.
type trackedLine struct {
	handler  *handler
	record   slog.Record
	first    time.Time // time of the written line
	repeated int       // repeats since then
}

// maxTrackedLines is the maximum number of lines tracked for repeats. Beyond it, new lines are written without tracking.
const maxTrackedLines = 1024

// suppress counts a repeat and returns true, so that the caller does not write it. Lines that differ only in their time are
// repeats.
func (f *repeatFilter) suppress(h *handler, r slog.Record) bool {
	var key strings.Builder
	fmt.Fprintf(&key, "%s %v %s", h.attrsKey, r.Level, r.Message)
	r.Attrs(func(a slog.Attr) bool {
		key.WriteByte(' ')
		key.WriteString(a.String())
		return true
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if line := f.tracked[key.String()]; line != nil {
		if r.Time.Sub(line.first) < f.window {
			line.repeated++
			return true
		}
		line.report()
		delete(f.tracked, key.String())
	}
	if len(f.tracked) < maxTrackedLines {
		f.tracked[key.String()] = &trackedLine{handler: h, record: r.Clone(), first: r.Time}
	}
	return false
}

// reportExpired reports the repeats of the lines whose window is over, or of all lines if all is set, and stops tracking these
// lines.
func (f *repeatFilter) reportExpired(now time.Time, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, line := range f.tracked {
		if all || now.Sub(line.first) >= f.window {
			line.report()
			delete(f.tracked, key)
		}
	}
}

// report writes the line again with the number of its repeats, if there are any.
func (s *trackedLine) report() {
	if s.repeated == 0 {
		return
	}
	r := slog.NewRecord(clock.Instant(), s.record.Level, s.record.Message, 0)
	s.record.Attrs(func(a slog.Attr) bool { r.AddAttrs(a); return true })
	r.AddAttrs(slog.Int("repeated", s.repeated))
	_ = s.handler.formatter.Handle(context.Background(), r) // goes into the queue
}
