package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Progress is the stage at which an attempt failed.
type Progress int

// Stages of an attempt. They determine whether the endpoint may have processed the request.
const (
	BeforeLastByte Progress = iota // the request was not fully sent, so the endpoint cannot have processed it
	AfterLastByte                  // the request was fully sent, so the endpoint may have processed it
	InAnswer                       // the endpoint sent a malformed response
)

// Failure is the error of an attempt that got no complete response.
type Failure struct {
	Progress Progress
	Err      error
}

func (f *Failure) Error() string {
	return map[Progress]string{BeforeLastByte: "before the request was fully sent: ", AfterLastByte: "after the request was fully sent: ",
		InAnswer: "in the response: "}[f.Progress] + f.Err.Error()
}

func (f *Failure) Unwrap() error { return f.Err }

// ErrAnswer means that a response is malformed.
var ErrAnswer = errors.New("malformed response")

// Answer holds the parts of an HTTP response that this software uses.
type Answer struct {
	Status int
	WaitMs int64  // backoff requested by X-Backoff-Ms, rounded up; 0 if none
	NoSlot bool   // X-Egress-Full: the endpoint has no free slot for this courier
	Report string // unparsed value of the header that carries the load report
	Close  bool   // the connection must not be reused after this response
	Body   []byte
}

const maxHeadBytes = 8 << 10

type responseState int

const (
	inStatus responseState = iota
	inHeaders
	inBody
	inChunkSize
	inChunk
	inTrailer
	inBodyUntilClose
)

// ResponseParser parses a stream of HTTP/1.1 responses.
type ResponseParser struct {
	state         responseState
	buf           []byte
	current       Answer
	headBytes     int // bytes parsed so far of the head, or of a chunk size line or trailer
	remaining     int // bytes of the body or chunk not yet received
	contentLength int // -1 if there is no Content-Length header
	chunked       bool
	maxBody       int
	err           error
}

// NewResponseParser returns a parser that rejects bodies of more than limit bytes.
func NewResponseParser(limit int) *ResponseParser { return &ResponseParser{maxBody: limit} }

// Started reports whether part of a response has been received, and its status; the status is 0 until the status line is
// complete.
func (a *ResponseParser) Started() (status int, started bool) {
	if a.state == inStatus {
		return 0, len(a.buf) > 0
	}
	return a.current.Status, true
}

// PartialBody returns the part of an incomplete response's body that has been received.
func (a *ResponseParser) PartialBody() []byte { return a.current.Body }

// Feed parses received bytes and returns the response if it is complete. Each connection carries one request at a time,
// so bytes after a response are an error: they would otherwise be taken for the response to the next request.
func (a *ResponseParser) Feed(b []byte) (answer Answer, done bool, err error) {
	a.buf = append(a.buf, b...)
	used := 0
	for n := -1; a.err == nil && n != 0 && !done; used += n {
		n, done = a.step(a.buf[used:])
	}
	if a.buf = append(a.buf[:0], a.buf[used:]...); len(a.buf) == 0 && cap(a.buf) > maxHeadBytes {
		a.buf = nil
	}
	if done {
		if answer = a.current; len(a.buf) > 0 {
			a.fail("%d unexpected bytes after the response", len(a.buf))
		}
		a.current, a.state, a.headBytes = Answer{}, inStatus, 0
	}
	return answer, done, a.err
}

// End handles the end of the stream. It returns the response whose body ends with the stream, if there is one.
func (a *ResponseParser) End() (Answer, bool) {
	if a.err == nil && a.state == inBodyUntilClose {
		a.current.Close = true
		return a.current, true
	}
	return Answer{}, false
}

func (a *ResponseParser) fail(format string, args ...any) (int, bool) {
	a.err = fmt.Errorf("%w: "+format, append([]any{ErrAnswer}, args...)...)
	return 0, false
}

// step parses one line or part of a body. It returns the number of bytes consumed and whether the response is complete.
func (a *ResponseParser) step(b []byte) (used int, done bool) {
	switch a.state {
	case inBody, inChunk:
		return a.stepBody(b)
	case inBodyUntilClose:
		if a.current.Body = append(a.current.Body, b...); len(a.current.Body) > a.maxBody {
			return a.fail("response body exceeds %d bytes", a.maxBody)
		}
		return len(b), false
	}
	return a.stepLine(b)
}

// stepBody parses part of a body of known length, or part of a chunk.
func (a *ResponseParser) stepBody(b []byte) (used int, done bool) {
	n := min(a.remaining, len(b))
	a.current.Body = append(a.current.Body, b[:n]...)
	if a.remaining -= n; a.remaining > 0 {
		return n, false
	}
	if a.state == inBody {
		return n, true
	}
	if len(b) < n+2 {
		return n, false
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return a.fail("chunk data is not followed by CRLF")
	}
	a.state = inChunkSize
	return n + 2, false
}

// stepLine parses one line: a status line, a header, a chunk size or a trailer line.
func (a *ResponseParser) stepLine(b []byte) (used int, done bool) {
	if a.state == inStatus && !canStartWith(b, "HTTP/1.") {
		return a.fail("status line expected, got %.20q", b)
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if a.headBytes+len(b) > maxHeadBytes {
			return a.fail("response head exceeds %d bytes", maxHeadBytes)
		}
		return 0, false
	}
	used = end + 1
	if a.headBytes += used; a.headBytes > maxHeadBytes {
		return a.fail("response head exceeds %d bytes", maxHeadBytes)
	}
	line := string(bytes.TrimSuffix(b[:end], []byte{'\r'}))
	switch a.state {
	case inStatus:
		if line == "" && a.headBytes <= 2 {
			return used, false // ignore an empty line before the status line
		}
		return used, a.parseStatusLine(line)
	case inHeaders:
		if line == "" {
			return used, a.startBody()
		}
		a.parseHeader(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(a.current.Body)+int(n) > a.maxBody {
			return a.fail("invalid or too large chunk size %q", size)
		}
		a.remaining, a.state, a.headBytes = int(n), inChunk, 0
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

// canStartWith reports whether b, which may be incomplete, starts with text or with a prefix of it. It ignores an empty
// line at the start of b.
func canStartWith(b []byte, text string) bool {
	b = bytes.TrimPrefix(bytes.TrimPrefix(b, []byte{'\r'}), []byte{'\n'})
	n := min(len(b), len(text))
	return string(b[:n]) == text[:n]
}

func (a *ResponseParser) parseStatusLine(line string) bool {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := parseDecimal([]byte(code))
	if !strings.HasPrefix(version, "HTTP/1.") || !ok || len(code) != 3 || n < 100 {
		a.fail("malformed status line %.40q", line)
		return false
	}
	a.current, a.state, a.contentLength, a.chunked = Answer{Status: n, Close: version == "HTTP/1.0"}, inHeaders, -1, false
	return false
}

func (a *ResponseParser) parseHeader(line string) {
	name, value, ok := strings.Cut(line, ":")
	if value = strings.TrimSpace(value); !ok || name == "" || strings.ContainsAny(name, " \t") {
		a.fail("malformed header %.40q", line)
		return
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, ok := parseDecimal([]byte(value))
		if !ok || a.contentLength >= 0 && a.contentLength != n {
			a.fail("invalid or conflicting Content-Length %.40q", value)
		}
		a.contentLength = n
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			a.fail("unsupported Transfer-Encoding %.40q", value)
		}
		a.chunked = true
	case "connection":
		switch strings.ToLower(value) {
		case "close":
			a.current.Close = true
		case "keep-alive":
			a.current.Close = false
		}
	case "x-backoff-ms":
		if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < 1e9 {
			a.current.WaitMs = int64(ms + 0.999) // round up to whole milliseconds
		}
	case "x-egress-full":
		a.current.NoSlot = value == "1"
	case "x-load-report":
		a.current.Report = value
	}
}

// startBody is called at the end of the head. It selects how the body is parsed, and reports whether the response is
// already complete.
func (a *ResponseParser) startBody() bool {
	switch {
	case a.current.Status < 200:
		a.state, a.headBytes = inStatus, 0 // an interim (1xx) response; the final response follows
	case a.current.Status == 204 || a.current.Status == 304:
		return true
	case a.chunked:
		a.state, a.headBytes = inChunkSize, 0
	case a.contentLength > a.maxBody:
		a.fail("response body exceeds %d bytes", a.maxBody)
	case a.contentLength == 0:
		return true
	case a.contentLength > 0:
		a.state, a.remaining = inBody, a.contentLength
	default:
		a.state = inBodyUntilClose
	}
	return false
}

// Pressure returns the values with the given names from a load report such as x0=0.4,x1=25. It returns nil if a value is
// missing or invalid.
func Pressure(report string, names []string) []float64 {
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
