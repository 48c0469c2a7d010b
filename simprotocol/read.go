// Package simprotocol reads and writes the text protocol of the simulator and converts its names to those of package dispatch.
//
// A batch consists of the lines "mark SECONDS" (its time), "on COURIER" (the courier of the events that follow), endpoint lists
// ("list NUMBER ROWS", followed by lines "row ..."), events, and "go" at its end. Event begin starts a courier, crash_now kills
// it, topology updates its endpoint list, job_in is an accepted message, settled a finished attempt, client_left a canceled
// message, and tick_due a timer. A reply has "at COURIER", followed by the actions of that courier, for each courier, and ends
// with "ok". The field "-" stands for an absent value.
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
	// Started reports that a courier starts or restarts. The caller of Next handles Started and Killed itself, instead of
	// passing them to a dispatcher.
	Started struct{ Config dispatch.Config }
	// Killed reports that a courier was killed.
	Killed struct{}
)

// CourierEvent is an event for one courier: a dispatch.Event, Started or Killed.
type CourierEvent struct {
	Courier int
	Event   any
}

// Batch holds the events of one point in time, in order of arrival.
type Batch struct {
	Now    dispatch.Micros
	Events []CourierEvent
}

// Reader reads batches from a stream and reports invalid lines.
type Reader struct {
	in            *bufio.Reader
	reportInvalid func(line int, fault error)
	line          int
	now           dispatch.Micros
	lists         map[int][]dispatch.EndpointEntry // by list number
}

// NewReader returns a Reader of in. It calls reportFault for each line that it skips as invalid.
func NewReader(in io.Reader, reportInvalid func(line int, fault error)) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16), reportInvalid: reportInvalid, lists: map[int][]dispatch.EndpointEntry{}}
}

func (r *Reader) readLine() (string, error) {
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
	timeSet, courier := false, -1
	for {
		text, err := r.readLine()
		if err != nil {
			return batch, err
		}
		f := fields{parts: strings.Fields(text)}
		switch name := f.word(); name {
		case "":
		case "go":
			return batch, nil
		case "mark":
			if t := f.duration(); f.err == nil {
				batch.Now, r.now, timeSet = t, t, true
			}
		case "on":
			if courier = f.count(); f.err != nil {
				courier = -1
			}
		case "list":
			err := r.readList(&f)
			if f.err == nil {
				f.err = err
			}
		default:
			event := r.parseEvent(name, &f)
			switch {
			case f.err != nil || event == nil:
			case courier < 0:
				f.err = errors.New("event without a courier")
			case !timeSet:
				f.err = errors.New("event before mark")
			default:
				batch.Events = append(batch.Events, CourierEvent{courier, event})
			}
		}
		if f.err != nil {
			r.reportInvalid(r.line, f.err)
		}
	}
}

// parseEvent parses one event. For an invalid or unknown event it sets f.err, and the result must be ignored.
func (r *Reader) parseEvent(name string, f *fields) any {
	switch name {
	case "begin":
		return f.parseStarted()
	case "crash_now":
		return Killed{}
	case "topology":
		return r.parseEndpointUpdate(f)
	case "job_in":
		return f.parseAccepted()
	case "settled":
		return f.parseFinished()
	case "client_left":
		return dispatch.MessageCanceled{Message: dispatch.MessageID(f.requiredWord())}
	case "tick_due":
		return dispatch.TimerFired{}
	case "health", "begun", "peer":
		return dispatch.TimerFired{} // the dispatcher does not use the contents; the event only triggers a step
	}
	f.fail("unknown event %q", name)
	return nil
}

func (f *fields) parseStarted() any {
	seed := f.integer()
	if f.err != nil {
		return nil
	}
	values := map[string]string{}
	for _, part := range f.parts[f.pos:] {
		if key, value, ok := strings.Cut(part, "="); ok {
			values[key] = value
		}
	}
	if err := config.ValidateSettings(values); err != nil {
		f.err = err
		return nil
	}
	config, err := config.DispatchConfig(seed, values)
	if err != nil {
		f.err = err
		return nil
	}
	return Started{config}
}

func (r *Reader) parseEndpointUpdate(f *fields) any {
	f.integer() // serial number of the update, not used
	list, kind := f.optionalCount(), f.word()
	update := dispatch.EndpointUpdate{}
	switch kind {
	case "Persisted":
		update.Kind = dispatch.CachedList
	case "Complete":
		update.Kind = dispatch.CompleteList
	case "Partial":
		update.Kind = dispatch.PartialList
	case "Error":
		update.Kind = dispatch.ListFailed
		return update
	default:
		f.fail("unknown kind of list %q", kind)
		return nil
	}
	entries, ok := r.lists[list]
	if !ok {
		f.fail("unknown list number %d", list)
	}
	update.Entries = entries
	return update
}

func (f *fields) parseAccepted() any {
	message := dispatch.MessageAccepted{Message: dispatch.MessageID(f.requiredWord())}
	f.word() // not used
	message.Destination = dispatch.DestinationID(f.count())
	message.Tenant = dispatch.TenantID(f.optionalCount())
	if key := f.word(); key != "-" {
		message.OrderingKey = dispatch.OrderingKey(key)
	}
	message.Deadline = f.duration()
	message.Class = dispatch.ClassID(f.count())
	message.Resubmitted = f.optionalCount()&(2|16) != 0 // flags 2 and 16 both mark a resubmitted message
	return message
}

func (f *fields) parseFinished() any {
	finished := dispatch.AttemptFinished{Message: dispatch.MessageID(f.requiredWord()), Attempt: dispatch.AttemptNumber(f.count())}
	f.word() // the endpoint, not used
	finished.Outcome = f.outcome()
	finished.Duration = f.optionalDuration()
	finished.MessageDone = f.word() == "1"
	if detail := f.optionalCount(); finished.Outcome == dispatch.Throttled { // Retry-After in ms; with other outcomes, the field has another meaning
		finished.RetryAfter = dispatch.Micros(detail) * 1000
	}
	if loadReport := f.word(); loadReport != "-" && loadReport != "" {
		for _, part := range strings.Split(loadReport, ",") {
			value, err := strconv.ParseFloat(part, 64)
			if err != nil {
				f.fail("invalid number %q", part)
			}
			finished.LoadReport = append(finished.LoadReport, value)
		}
	}
	return finished
}

// readList reads and stores a numbered endpoint list. It skips invalid rows and returns the first error.
func (r *Reader) readList(f *fields) error {
	number, rows := f.count(), f.count()
	if f.err != nil {
		return f.err
	}
	entries := make([]dispatch.EndpointEntry, 0, min(rows, 1<<12))
	var firstErr error
	for range rows {
		text, err := r.readLine()
		if err != nil {
			return err
		}
		row := fields{parts: strings.Fields(text)}
		if row.word() != "row" {
			row.fail("a row expected, got %q", text)
		}
		entry := dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(row.requiredWord())}
		entry.Zone = dispatch.ZoneID(row.count())
		entry.Type = dispatch.EndpointTypeID(row.count())
		entry.Destination = dispatch.DestinationID(row.count())
		switch phase := row.word(); phase {
		case "IN":
		case "LAME":
			entry.Phase = dispatch.Draining
		case "OUT":
			entry.Phase = dispatch.Removed
		default:
			row.fail("unknown phase %q", phase)
		}
		entry.Rate = row.optionalNumber()
		if row.err != nil {
			if firstErr == nil {
				firstErr = row.err
			}
			continue
		}
		entries = append(entries, entry)
	}
	r.lists[number] = entries
	return firstErr
}

// fields reads the fields of one line in order. It keeps the first error.
type fields struct {
	parts []string
	pos   int
	err   error
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// word returns the next field, or "" at the end of the line.
func (f *fields) word() string {
	if f.pos >= len(f.parts) {
		return ""
	}
	f.pos++
	return f.parts[f.pos-1]
}

func (f *fields) requiredWord() string {
	text := f.word()
	if text == "" || text == "-" {
		f.fail("missing field")
	}
	return text
}

func (f *fields) parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) > 1e12 {
		f.fail("invalid number %q", text)
		return 0
	}
	return value
}

func (f *fields) optionalNumber() float64 {
	if text := f.word(); text != "" && text != "-" {
		return f.parseNumber(text)
	}
	return 0
}

func (f *fields) duration() dispatch.Micros         { return config.Micros(f.parseNumber(f.requiredWord())) }
func (f *fields) optionalDuration() dispatch.Micros { return config.Micros(f.optionalNumber()) }

// integer reads a decimal integer. It also accepts an unsigned 64-bit number, such as a seed, and converts it by wrapping.
func (f *fields) integer() int64 {
	text := f.requiredWord()
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		if u, uerr := strconv.ParseUint(text, 10, 64); uerr == nil {
			return int64(u)
		}
		f.fail("invalid number %q", text)
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
	if f.pos < len(f.parts) && f.parts[f.pos] != "-" {
		return f.count()
	}
	f.pos++
	return 0
}

var outcomes = map[string]dispatch.Outcome{
	"success": dispatch.Delivered, "failure": dispatch.Failure, "overloaded": dispatch.Throttled, "timed_out": dispatch.TimedOut,
	"unreachable": dispatch.Unreachable, "broken": dispatch.Broken, "withdrawn": dispatch.Canceled, "void": dispatch.Unprocessed,
}

func (f *fields) outcome() dispatch.Outcome {
	text := f.requiredWord()
	o, ok := outcomes[text]
	if !ok {
		f.fail("unknown outcome %q", text)
	}
	return o
}
