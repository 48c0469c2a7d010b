package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Stage is the stage at which an attempt failed.
type Stage int

// Stages of an attempt. They determine whether the peer may have processed the request.
const (
	RequestIncomplete Stage = iota // the request was not fully written to the socket, so the peer cannot have processed it
	RequestSent                    // the request was fully written to the socket, so the peer may have processed it
	ResponseMalformed              // the peer sent a malformed response
)

// Failure is the error of an attempt that got no complete response.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string {
	return map[Stage]string{RequestIncomplete: "before the request was fully written: ", RequestSent: "after the request was fully written: ",
		ResponseMalformed: "in the response: "}[f.Stage] + f.Err.Error()
}

func (f *Failure) Unwrap() error { return f.Err }

// ErrMalformedResponse means that a response is malformed.
var ErrMalformedResponse = errors.New("malformed response")

// Response holds the parts of an HTTP response that this software uses.
type Response struct {
	Status     int
	BackoffMs  int64  // backoff requested by X-Backoff-Ms, rounded up; 0 if none
	EgressFull bool   // X-Egress-Full: all request slots that the endpoint grants this courier are in use
	LoadReport string // unparsed value of the header that carries the load report
	Close      bool   // the connection must not be reused after this response
	Body       []byte
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
	current       Response
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
func (p *ResponseParser) Started() (status int, started bool) {
	if p.state == inStatus {
		return 0, len(p.buf) > 0
	}
	return p.current.Status, true
}

// PartialBody returns the part of an incomplete response's body that has been received.
func (p *ResponseParser) PartialBody() []byte { return p.current.Body }

// Feed parses received bytes and returns the response if it is complete. Each connection carries one request at a time,
// so bytes after a response are an error, unless the caller ignores that response: they would otherwise be taken for the
// response to the next request.
func (p *ResponseParser) Feed(b []byte) (response Response, done bool, err error) {
	p.buf = append(p.buf, b...)
	used := 0
	for n := -1; p.err == nil && n != 0 && !done; used += n {
		n, done = p.step(p.buf[used:])
	}
	if p.buf = append(p.buf[:0], p.buf[used:]...); len(p.buf) == 0 && cap(p.buf) > maxHeadBytes {
		p.buf = nil
	}
	if done {
		if response = p.current; len(p.buf) > 0 {
			p.fail("%d unexpected bytes after the response", len(p.buf))
		}
		p.current, p.state, p.headBytes = Response{}, inStatus, 0
	}
	return response, done, p.err
}

// Ignore drops the response that Feed has just returned. Bytes after it are parsed as the next response by the next call of Feed.
func (p *ResponseParser) Ignore() { p.err = nil }

// End handles the end of the stream. It returns the response whose body ends with the stream, if there is one.
func (p *ResponseParser) End() (Response, bool) {
	if p.err == nil && p.state == inBodyUntilClose {
		p.current.Close = true
		return p.current, true
	}
	return Response{}, false
}

func (p *ResponseParser) fail(format string, args ...any) (int, bool) {
	p.err = fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, args...)...)
	return 0, false
}

// step parses one line or part of a body. It returns the number of bytes consumed and whether the response is complete.
func (p *ResponseParser) step(b []byte) (used int, done bool) {
	switch p.state {
	case inBody, inChunk:
		return p.stepBody(b)
	case inBodyUntilClose:
		if p.current.Body = append(p.current.Body, b...); len(p.current.Body) > p.maxBody {
			return p.fail("response body exceeds %d bytes", p.maxBody)
		}
		return len(b), false
	}
	return p.stepLine(b)
}

// stepBody parses part of a body of known length, or part of a chunk.
func (p *ResponseParser) stepBody(b []byte) (used int, done bool) {
	n := min(p.remaining, len(b))
	p.current.Body = append(p.current.Body, b[:n]...)
	if p.remaining -= n; p.remaining > 0 {
		return n, false
	}
	if p.state == inBody {
		return n, true
	}
	if len(b) < n+2 {
		return n, false
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return p.fail("chunk data is not followed by CRLF")
	}
	p.state = inChunkSize
	return n + 2, false
}

// stepLine parses one line: a status line, a header, a chunk size or a trailer line.
func (p *ResponseParser) stepLine(b []byte) (used int, done bool) {
	if p.state == inStatus && !canStartWith(b, "HTTP/1.") {
		return p.fail("status line expected, got %.20q", b)
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if p.headBytes+len(b) > maxHeadBytes {
			return p.fail("response head, chunk size line or trailer exceeds %d bytes", maxHeadBytes)
		}
		return 0, false
	}
	used = end + 1
	if p.headBytes += used; p.headBytes > maxHeadBytes {
		return p.fail("response head, chunk size line or trailer exceeds %d bytes", maxHeadBytes)
	}
	line := string(bytes.TrimSuffix(b[:end], []byte{'\r'}))
	switch p.state {
	case inStatus:
		if line == "" && p.headBytes <= 2 {
			return used, false // ignore an empty line before the status line
		}
		return used, p.parseStatusLine(line)
	case inHeaders:
		if line == "" {
			return used, p.startBody()
		}
		p.parseHeader(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(p.current.Body)+int(n) > p.maxBody {
			return p.fail("invalid or too large chunk size %q", size)
		}
		p.remaining, p.state, p.headBytes = int(n), inChunk, 0
		if n == 0 {
			p.state = inTrailer
		}
	case inTrailer:
		return used, line == ""
	}
	if p.err != nil {
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

// parseStatusLine parses the status line. It returns false, since a status line never completes a response.
func (p *ResponseParser) parseStatusLine(line string) bool {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := parseDecimal([]byte(code))
	if !strings.HasPrefix(version, "HTTP/1.") || !ok || len(code) != 3 || n < 100 {
		p.fail("malformed status line %.40q", line)
		return false
	}
	p.current, p.state, p.contentLength, p.chunked = Response{Status: n, Close: version == "HTTP/1.0"}, inHeaders, -1, false
	return false
}

func (p *ResponseParser) parseHeader(line string) {
	name, value, ok := strings.Cut(line, ":")
	if value = strings.TrimSpace(value); !ok || name == "" || strings.ContainsAny(name, " \t") {
		p.fail("malformed header %.40q", line)
		return
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, ok := parseDecimal([]byte(value))
		if !ok || p.contentLength >= 0 && p.contentLength != n {
			p.fail("invalid or conflicting Content-Length %.40q", value)
		}
		p.contentLength = n
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			p.fail("unsupported Transfer-Encoding %.40q", value)
		}
		p.chunked = true
	case "connection":
		switch strings.ToLower(value) {
		case "close":
			p.current.Close = true
		case "keep-alive":
			p.current.Close = false
		}
	case "x-backoff-ms":
		if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < 1e9 {
			p.current.BackoffMs = int64(ms + 0.999) // round up to whole milliseconds
		}
	case "x-egress-full":
		p.current.EgressFull = value == "1"
	case "x-load-report":
		p.current.LoadReport = value
	}
}

// startBody is called at the end of the head. It selects how the body is parsed, and reports whether the response is
// already complete.
func (p *ResponseParser) startBody() bool {
	switch {
	case p.current.Status < 200:
		p.state, p.headBytes = inStatus, 0 // an interim (1xx) response; the final response follows
	case p.current.Status == 204 || p.current.Status == 304:
		return true
	case p.chunked:
		p.state, p.headBytes = inChunkSize, 0
	case p.contentLength > p.maxBody:
		p.fail("response body exceeds %d bytes", p.maxBody)
	case p.contentLength == 0:
		return true
	case p.contentLength > 0:
		p.state, p.remaining = inBody, p.contentLength
	default:
		p.state = inBodyUntilClose
	}
	return false
}

// LoadValues returns the values with the given names from a load report such as x0=0.4,x1=25. It returns nil if a value is
// missing or invalid.
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
