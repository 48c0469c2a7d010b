// Package logging is the courier's log on log/slog: text or JSON, levels for single components that change while it runs,
// repeats counted and told once, and a bounded queue before the writer, so that a reader that does not read, or a disk that is
// full, stops nobody.
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

// Options are how a log is kept.
type Options struct {
	Level        string
	Levels       map[string]string // of single components
	JSON         bool
	RepeatWindow time.Duration // a line that comes again within this is counted, and told once; 0: each is written
	QueueSize    int           // lines that wait for the writer; further ones are dropped and counted
}

// Component is the attribute that says which part a line is of; levels go by it.
const Component = "component"

// Log is a log and what keeps it.
type Log struct {
	*slog.Logger
	levels  atomic.Pointer[levels]
	queue   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	repeats *repeats
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

type levels struct {
	all slog.Level
	of  map[string]slog.Level
}

// Level reads a level's name.
func Level(name string) (slog.Level, error) {
	var l slog.Level
	err := l.UnmarshalText([]byte(name))
	return l, err
}

// New begins a log that is written to out.
func New(out io.Writer, o Options) (*Log, error) {
	l := &Log{queue: make(chan []byte, max(1, o.QueueSize)), quit: make(chan struct{}), done: make(chan struct{}),
		repeats: &repeats{within: o.RepeatWindow, seen: map[string]*repeat{}}}
	if err := l.SetLevels(o.Level, o.Levels); err != nil {
		return nil, err
	}
	all := &slog.HandlerOptions{Level: slog.Level(-1 << 10)} // what is let through is settled before
	var form slog.Handler = slog.NewTextHandler(writer{l}, all)
	if o.JSON {
		form = slog.NewJSONHandler(writer{l}, all)
	}
	l.Logger = slog.New(&handler{log: l, form: form})
	go l.write(out)
	return l, nil
}

// SetLevels changes what is logged from now on; with a name that is no level nothing changes.
func (l *Log) SetLevels(all string, of map[string]string) error {
	level, err := Level(all)
	if err != nil {
		return fmt.Errorf("log.level: %w", err)
	}
	next := &levels{all: level, of: map[string]slog.Level{}}
	for component, name := range of {
		if next.of[component], err = Level(name); err != nil {
			return fmt.Errorf("log.levels: %s: %w", component, err)
		}
	}
	l.levels.Store(next)
	return nil
}

// Dropped is how many lines found no room in the queue.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what waits, for a while at most.
func (l *Log) Close(within time.Duration) {
	l.once.Do(func() { close(l.quit) })
	select {
	case <-l.done:
	case <-time.After(within):
	}
}

// tellRepeats is how often counted repeats are looked through.
const tellRepeats = time.Second

// write is the one goroutine that waits for the reader.
func (l *Log) write(out io.Writer) {
	defer close(l.done)
	logged := int64(0)
	put := func(line []byte) {
		if _, err := out.Write(line); err == nil {
			l.written.Add(1)
		}
		if n := l.dropped.Load(); n > logged && len(l.queue) < cap(l.queue)/2 {
			record := slog.NewRecord(clock.Instant(), slog.LevelWarn, "log lines dropped", 0)
			record.AddAttrs(slog.Int64("count", n-logged), slog.String(Component, "logs"))
			logged = n
			_ = l.Logger.Handler().(*handler).form.Handle(context.Background(), record) // into the queue, which has room
		}
	}
	look := time.NewTicker(tellRepeats)
	defer look.Stop()
	for {
		select {
		case line := <-l.queue:
			put(line)
		case <-look.C:
			l.repeats.tell(clock.Instant(), false)
		case <-l.quit:
			l.repeats.tell(clock.Instant(), true)
			for {
				select {
				case line := <-l.queue:
					put(line)
				default:
					return
				}
			}
		}
	}
}

// writer puts a formed line into the queue, or counts it as dropped. It never waits.
type writer struct{ log *Log }

func (w writer) Write(line []byte) (int, error) {
	select {
	case w.log.queue <- append([]byte(nil), line...):
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}

// handler lets lines through by level and counts repeats.
type handler struct {
	log       *Log
	form      slog.Handler
	component string
	with      string // attributes that all its lines have, to tell lines apart
}

func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	ls := h.log.levels.Load()
	if l, ok := ls.of[h.component]; ok {
		return level >= l
	}
	return level >= ls.all
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if h.log.repeats.within > 0 && h.log.repeats.again(h, r) {
		return nil
	}
	return h.form.Handle(ctx, r)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.form = h.form.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == Component {
			next.component = a.Value.String()
		}
		next.with += a.String() + " "
	}
	return &next
}

func (h *handler) WithGroup(name string) slog.Handler {
	next := *h
	next.form = h.form.WithGroup(name)
	next.with += name + "."
	return &next
}

// repeats counts lines that come again.
type repeats struct {
	mu     sync.Mutex
	within time.Duration
	seen   map[string]*repeat
}

type repeat struct {
	handler *handler
	record  slog.Record
	first   time.Time
	count   int
}

// mostSeen bounds what is kept of lines to tell repeats by; beyond it lines are written each.
const mostSeen = 1024

// again tells whether a line is a repeat, which is counted and not written. Lines are the same if all but their time is.
func (rs *repeats) again(h *handler, r slog.Record) bool {
	var key strings.Builder
	fmt.Fprintf(&key, "%s %v %s", h.with, r.Level, r.Message)
	r.Attrs(func(a slog.Attr) bool {
		key.WriteByte(' ')
		key.WriteString(a.String())
		return true
	})
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if seen := rs.seen[key.String()]; seen != nil {
		if r.Time.Sub(seen.first) < rs.within {
			seen.count++
			return true
		}
		seen.tell()
		delete(rs.seen, key.String())
	}
	if len(rs.seen) < mostSeen {
		rs.seen[key.String()] = &repeat{handler: h, record: r.Clone(), first: r.Time}
	}
	return false
}

// tell writes how often lines came again whose time is over.
func (rs *repeats) tell(now time.Time, all bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for key, seen := range rs.seen {
		if all || now.Sub(seen.first) >= rs.within {
			seen.tell()
			delete(rs.seen, key)
		}
	}
}

func (s *repeat) tell() {
	if s.count == 0 {
		return
	}
	r := slog.NewRecord(clock.Instant(), s.record.Level, s.record.Message, 0)
	s.record.Attrs(func(a slog.Attr) bool { r.AddAttrs(a); return true })
	r.AddAttrs(slog.Int("repeated", s.count))
	_ = s.handler.form.Handle(context.Background(), r) // into the queue
}
