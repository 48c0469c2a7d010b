// Package simprotocol reads and writes the simulator's wire; the wire's names end here.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"pineport/config"
	"pineport/dispatch"
)

type (
	// Started says that a courier starts anew. Like Killed it is handled by the host, before the decisions.
	Started struct{ Config dispatch.Config }
	// Killed says that a courier was killed.
	Killed struct{}
)

// Item is one event of a batch: a dispatch.Event, Started, or Killed.
type Item struct {
	Courier int
	What    any
}

// Batch is what came in at one instant, in order of arrival.
type Batch struct {
	Now   dispatch.Micros
	Items []Item
}

// Reader takes batches off a stream and complains about lines it can't use.
type Reader struct {
	in       *bufio.Reader
	complain func(line int, fault error)
	line     int
	now      dispatch.Micros
	pages    map[int][]dispatch.EndpointEntry
}

// NewReader reads from in; complain is notified of each line that is left out.
func NewReader(in io.Reader, complain func(line int, fault error)) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16), complain: complain, pages: map[int][]dispatch.EndpointEntry{}}
}

func (r *Reader) next() (string, error) {
	text, err := r.in.ReadString('\n')
	if err != nil && text == "" {
		return "", err
	}
	r.line++
	return strings.TrimRight(text, "\r\n"), nil
}

// Next returns the next batch, or io.EOF at the end of input.
func (r *Reader) Next() (Batch, error) {
	batch := Batch{Now: r.now}
	begun, courier := false, -1
	for {
		text, err := r.next()
		if err != nil {
			return batch, err
		}
		f := fields{parts: strings.Fields(text)}
		switch name := f.word(); name {
		case "":
		case "go":
			return batch, nil
		case "mark":
			if t := f.span(); f.err == nil {
				batch.Now, r.now, begun = t, t, true
			}
		case "on":
			if courier = f.count(); f.err != nil {
				courier = -1
			}
		case "list":
			err := r.list(&f)
			if f.err == nil {
				f.err = err
			}
		default:
			what := r.event(name, &f)
			switch {
			case f.err != nil || what == nil:
			case courier < 0:
				f.err = errors.New("event without a courier")
			case !begun:
				f.err = errors.New("event before mark")
			default:
				batch.Items = append(batch.Items, Item{courier, what})
			}
		}
		if f.err != nil {
			r.complain(r.line, f.err)
		}
	}
}

// event reads one event; nil where there is a fault, or nothing is known by that name.
func (r *Reader) event(name string, f *fields) any {
	switch name {
	case "begin":
		return f.started()
	case "crash_now":
		return Killed{}
	case "topology":
		return r.endpointUpdate(f)
	case "job_in":
		return f.accepted()
	case "settled":
		return f.finished()
	case "client_left":
		return dispatch.MessageCanceled{Message: dispatch.MessageID(f.need())}
	case "tick_due":
		return dispatch.TimerFired{}
	case "health", "begun", "peer":
		return dispatch.TimerFired{} // nothing the decisions ask for; the courier only looks again
	}
	f.fail("unknown event %q", name)
	return nil
}

func (f *fields) started() any {
	salt := f.integer()
	if f.err != nil {
		return nil
	}
	values := map[string]string{}
	for _, part := range f.parts[f.at:] {
		if key, value, ok := strings.Cut(part, "="); ok {
			values[key] = value
		}
	}
	if err := config.Sound(values); err != nil {
		f.err = err
		return nil
	}
	config, err := config.DispatchConfig(salt, values)
	if err != nil {
		f.err = err
		return nil
	}
	return Started{config}
}

func (r *Reader) endpointUpdate(f *fields) any {
	f.integer()
	page, how := f.optionalCount(), f.word()
	news := dispatch.EndpointUpdate{}
	switch how {
	case "Persisted":
		news.Kind = dispatch.CachedList
	case "Complete":
		news.Kind = dispatch.CompleteList
	case "Partial":
		news.Kind = dispatch.PartialList
	case "Error":
		news.Kind = dispatch.ListFailed
		return news
	default:
		f.fail("unknown kind of list %q", how)
		return nil
	}
	entries, ok := r.pages[page]
	if !ok {
		f.fail("no list has number %d", page)
	}
	news.Entries = entries
	return news
}

func (f *fields) accepted() any {
	t := dispatch.MessageAccepted{Message: dispatch.MessageID(f.need())}
	f.word()
	t.Destination = dispatch.DestinationID(f.count())
	t.Tenant = dispatch.TenantID(f.optionalCount())
	if key := f.word(); key != "-" {
		t.OrderingKey = dispatch.OrderingKey(key)
	}
	t.Deadline = f.span()
	t.Class = dispatch.ClassID(f.count())
	t.Resubmitted = f.optionalCount()&(2|16) != 0
	return t
}

func (f *fields) finished() any {
	s := dispatch.AttemptFinished{Message: dispatch.MessageID(f.need()), Attempt: dispatch.AttemptNumber(f.count())}
	f.word()
	s.Outcome = f.outcome()
	s.Duration = f.optionalSpan()
	s.MessageDone = f.word() == "1"
	if remark := f.optionalCount(); s.Outcome == dispatch.Throttled { // with others it means something else
		s.RetryAfter = dispatch.Micros(remark) * 1000
	}
	if row := f.word(); row != "-" && row != "" {
		for _, part := range strings.Split(row, ",") {
			value, err := strconv.ParseFloat(part, 64)
			if err != nil {
				f.fail("bad number %q", part)
			}
			s.LoadReport = append(s.LoadReport, value)
		}
	}
	return s
}

// list keeps a numbered list; all its rows are read even if one is bad.
func (r *Reader) list(f *fields) error {
	page, n := f.count(), f.count()
	if f.err != nil {
		return f.err
	}
	entries := make([]dispatch.EndpointEntry, 0, min(n, 1<<12))
	var first error
	for range n {
		text, err := r.next()
		if err != nil {
			return err
		}
		row := fields{parts: strings.Fields(text)}
		if row.word() != "row" {
			row.fail("a row was expected, not %q", text)
		}
		l := dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(row.need())}
		l.Zone = dispatch.ZoneID(row.count())
		l.Type = dispatch.EndpointTypeID(row.count())
		l.Destination = dispatch.DestinationID(row.count())
		switch phase := row.word(); phase {
		case "IN":
		case "LAME":
			l.Phase = dispatch.Draining
		case "OUT":
			l.Phase = dispatch.Removed
		default:
			row.fail("unknown phase %q", phase)
		}
		l.Rate = row.optionalNumber()
		if row.err != nil {
			if first == nil {
				first = row.err
			}
			continue
		}
		entries = append(entries, l)
	}
	r.pages[page] = entries
	return first
}

// fields walks the parts of one line; the first fault is kept.
type fields struct {
	parts []string
	at    int
	err   error
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// word is the next part, or empty where the line has ended.
func (f *fields) word() string {
	if f.at >= len(f.parts) {
		return ""
	}
	f.at++
	return f.parts[f.at-1]
}

func (f *fields) need() string {
	text := f.word()
	if text == "" || text == "-" {
		f.fail("the line is cut short")
	}
	return text
}

func (f *fields) parse(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) > 1e12 {
		f.fail("bad number %q", text)
		return 0
	}
	return value
}

func (f *fields) optionalNumber() float64 {
	if text := f.word(); text != "" && text != "-" {
		return f.parse(text)
	}
	return 0
}

func (f *fields) span() dispatch.Micros         { return config.Micros(f.parse(f.need())) }
func (f *fields) optionalSpan() dispatch.Micros { return config.Micros(f.optionalNumber()) }

func (f *fields) integer() int64 {
	text := f.need()
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		if u, uerr := strconv.ParseUint(text, 10, 64); uerr == nil {
			return int64(u)
		}
		f.fail("bad number %q", text)
	}
	return value
}

func (f *fields) count() int {
	n := f.integer()
	if n < 0 || n > math.MaxInt32 {
		f.fail("number out of range: %d", n)
		return 0
	}
	return int(n)
}

func (f *fields) optionalCount() int {
	if f.at < len(f.parts) && f.parts[f.at] != "-" {
		return f.count()
	}
	f.at++
	return 0
}

var outcomes = map[string]dispatch.Outcome{
	"success": dispatch.Delivered, "failure": dispatch.Failure, "overloaded": dispatch.Throttled, "timed_out": dispatch.TimedOut,
	"unreachable": dispatch.Unreachable, "broken": dispatch.Broken, "withdrawn": dispatch.Canceled, "void": dispatch.Unprocessed,
}

func (f *fields) outcome() dispatch.Outcome {
	text := f.need()
	o, ok := outcomes[text]
	if !ok {
		f.fail("unknown outcome %q", text)
	}
	return o
}
