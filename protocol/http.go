package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Stage is how far an attempt had come when it failed.
type Stage int

// How far an attempt may have come.
const (
	RequestIncomplete Stage = iota // the other side cannot have begun it
	RequestSent                    // it may have
	ResponseMalformed              // it has, and what it answered can't be read
)

// Failure is an attempt without a whole answer.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string {
	return map[Stage]string{RequestIncomplete: "before the last byte was out: ", RequestSent: "after the last byte was out: ",
		ResponseMalformed: "in the answer: "}[f.Stage] + f.Err.Error()
}

func (f *Failure) Unwrap() error { return f.Err }

// ErrMalformedResponse is an answer that cannot be read.
var ErrMalformedResponse = errors.New("bad answer")

// Response holds what is needed of an HTTP answer.
type Response struct {
	Status     int
	BackoffMs  int64  // reported with it, 0 if none
	EgressFull bool   // all slots of this courier were taken
	LoadReport string // of the load, as it came
	Close      bool   // the connection ends with it
	Body       []byte
}

const maxHead = 8 << 10

type answerState int

const (
	inStatus answerState = iota
	inHeaders
	inBody
	inChunkSize
	inChunk
	inTrailer
	untilEnd
)

// Answers takes HTTP/1.1 answers off a stream.
type Answers struct {
	state   answerState
	buf     []byte
	now     Response
	head    int // bytes of the head so far
	left    int // of the body or chunk
	length  int // -1 where none was notified
	chunked bool
	limit   int
	err     error
}

// NewAnswers reads answers with bodies up to limit bytes.
func NewAnswers(limit int) *Answers { return &Answers{limit: limit} }

// Begun tells whether part of an answer has come, and the status if its first line has.
func (a *Answers) Begun() (status int, begun bool) {
	if a.state == inStatus {
		return 0, len(a.buf) > 0
	}
	return a.now.Status, true
}

// Part is what has come of the body of an answer that is not complete.
func (a *Answers) Part() []byte { return a.now.Body }

// Feed takes what came in and returns the answer that is complete, if one is. One request at a time goes over a
// connection: what comes after its answer belongs to nothing, and would else pass for the answer to the next.
func (a *Answers) Feed(b []byte) (answer Response, done bool, err error) {
	a.buf = append(a.buf, b...)
	used := 0
	for n := -1; a.err == nil && n != 0 && !done; used += n {
		n, done = a.step(a.buf[used:])
	}
	if a.buf = append(a.buf[:0], a.buf[used:]...); len(a.buf) == 0 && cap(a.buf) > maxHead {
		a.buf = nil
	}
	if done {
		if answer = a.now; len(a.buf) > 0 {
			a.fail("%d bytes more than it", len(a.buf))
		}
		a.now, a.state, a.head = Response{}, inStatus, 0
	}
	return answer, done, a.err
}

// End tells that the stream has ended; an answer without a reported length ends with it.
func (a *Answers) End() (Response, bool) {
	if a.err == nil && a.state == untilEnd {
		a.now.Close = true
		return a.now, true
	}
	return Response{}, false
}

func (a *Answers) fail(format string, args ...any) (int, bool) {
	a.err = fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, args...)...)
	return 0, false
}

// step takes in one line or a piece of a body, and reports how much it used and whether the answer is complete.
func (a *Answers) step(b []byte) (used int, done bool) {
	switch a.state {
	case inBody, inChunk:
		return a.stepBody(b)
	case untilEnd:
		if a.now.Body = append(a.now.Body, b...); len(a.now.Body) > a.limit {
			return a.fail("body over %d bytes", a.limit)
		}
		return len(b), false
	}
	return a.stepLine(b)
}

// stepBody takes in a piece of a body of known length, or of a chunk of one.
func (a *Answers) stepBody(b []byte) (used int, done bool) {
	n := min(a.left, len(b))
	a.now.Body = append(a.now.Body, b[:n]...)
	if a.left -= n; a.left > 0 {
		return n, false
	}
	if a.state == inBody {
		return n, true
	}
	if len(b) < n+2 {
		return n, false
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return a.fail("a chunk does not end where it should")
	}
	a.state = inChunkSize
	return n + 2, false
}

// stepLine takes in one line of the head, of a chunk's size or of the trailer.
func (a *Answers) stepLine(b []byte) (used int, done bool) {
	if a.state == inStatus && !begins(b, "HTTP/1.") {
		return a.fail("no status line begins with %.20q", b)
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if a.head+len(b) > maxHead {
			return a.fail("head over %d bytes", maxHead)
		}
		return 0, false
	}
	used = end + 1
	if a.head += used; a.head > maxHead {
		return a.fail("head over %d bytes", maxHead)
	}
	line := string(bytes.TrimSuffix(b[:end], []byte{'\r'}))
	switch a.state {
	case inStatus:
		if line == "" && a.head <= 2 {
			return used, false // an empty line before an answer does no harm
		}
		return used, a.status(line)
	case inHeaders:
		if line == "" {
			return used, a.body()
		}
		a.header(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(a.now.Body)+int(n) > a.limit {
			return a.fail("bad chunk size %q", size)
		}
		a.left, a.state, a.head = int(n), inChunk, 0
		if n == 0 {
			a.state = inTrailer
		}
	case inTrailer:
		return used, line == ""
	}
	if a.err != nil {
		return 0, false
	}
	return used, false
}

// begins tells whether b, of which more may come, can still begin with text; an empty line before it does no harm.
func begins(b []byte, text string) bool {
	b = bytes.TrimPrefix(bytes.TrimPrefix(b, []byte{'\r'}), []byte{'\n'})
	n := min(len(b), len(text))
	return string(b[:n]) == text[:n]
}

func (a *Answers) status(line string) bool {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := digits([]byte(code))
	if !strings.HasPrefix(version, "HTTP/1.") || !ok || len(code) != 3 || n < 100 {
		a.fail("bad status line %.40q", line)
		return false
	}
	a.now, a.state, a.length, a.chunked = Response{Status: n, Close: version == "HTTP/1.0"}, inHeaders, -1, false
	return false
}

func (a *Answers) header(line string) {
	name, value, ok := strings.Cut(line, ":")
	if value = strings.TrimSpace(value); !ok || name == "" || strings.ContainsAny(name, " \t") {
		a.fail("bad header %.40q", line)
		return
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, ok := digits([]byte(value))
		if !ok || a.length >= 0 && a.length != n {
			a.fail("bad length %.40q", value)
		}
		a.length = n
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			a.fail("unknown encoding %.40q", value)
		}
		a.chunked = true
	case "connection":
		switch strings.ToLower(value) {
		case "close":
			a.now.Close = true
		case "keep-alive":
			a.now.Close = false
		}
	case "x-backoff-ms":
		if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < 1e9 {
			a.now.BackoffMs = int64(ms + 0.999) // a part of a millisecond is waited out too
		}
	case "x-egress-full":
		a.now.EgressFull = value == "1"
	case "x-load-report":
		a.now.LoadReport = value
	}
}

// body is called at the end of the head; it tells whether the answer is complete.
func (a *Answers) body() bool {
	switch {
	case a.now.Status < 200:
		a.state, a.head = inStatus, 0 // an interim answer; the real one follows
	case a.now.Status == 204 || a.now.Status == 304:
		return true
	case a.chunked:
		a.state, a.head = inChunkSize, 0
	case a.length > a.limit:
		a.fail("body over %d bytes", a.limit)
	case a.length == 0:
		return true
	case a.length > 0:
		a.state, a.left = inBody, a.length
	default:
		a.state = untilEnd
	}
	return false
}

// LoadValues picks the named values from a report such as x0=0.4,x1=25; nil where one is missing.
func LoadValues(report string, names []string) []float64 {
	if report == "" || len(names) == 0 {
		return nil
	}
	values, found := make([]float64, len(names)), make([]bool, len(names))
	for _, part := range strings.Split(report, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, wanted := range names {
			if value, err := strconv.ParseFloat(text, 64); name == wanted && err == nil && value >= 0 && value < 1e9 {
				values[i], found[i] = value, true
			}
		}
	}
	if slices.Contains(found, false) {
		return nil
	}
	return values
}
