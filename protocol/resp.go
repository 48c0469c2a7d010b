// Package protocol encodes and parses the wire formats: client commands, delivery requests to endpoints, notices
// and discovery's endpoint list. Its parsers are state machines that accept input split at any byte. They use
// neither sockets nor clocks, and they buffer a bounded number of bytes.
package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxBody is the maximum size in bytes of a message body, or of the body of an endpoint's response.
const MaxBody = 64 << 10

const (
	maxArgs         = 16
	maxLengthLine   = 32      // bytes of a line that holds a count or a length
	maxCommandBytes = 4 << 10 // bytes of all arguments other than the message body
)

// Framing errors of a command. After one of them the rest of the stream cannot be parsed.
var (
	ErrFraming  = errors.New("ERR protocol error: an array of bulk strings was expected")
	ErrOversize = errors.New("ERR protocol error: too long")
)

// CommandParser parses a stream of RESP2 commands, which are arrays of bulk strings.
type CommandParser struct {
	buf           []byte
	args          [][]byte
	remainingArgs int // bulk strings of the current command not yet parsed; 0 between commands
	argSize       int // length of the current bulk string; -1 until its length line is parsed
	argBytes      int // total bytes in args
	err           error
}

// Feed parses received bytes and returns the commands completed by them, in order. The returned slices do not
// share memory with b or with the parser.
func (p *CommandParser) Feed(b []byte) (commands [][][]byte, err error) {
	p.buf = append(p.buf, b...)
	used := 0
	for p.err == nil {
		n, done := p.step(p.buf[used:])
		used += n
		if done {
			commands = append(commands, p.args)
			p.args, p.argBytes = nil, 0
		} else if n == 0 {
			break
		}
	}
	p.keep(p.buf[used:])
	return commands, p.err
}

// keep keeps the bytes of an incomplete command, in a buffer that is not much larger.
func (p *CommandParser) keep(rest []byte) {
	switch {
	case len(rest) == 0 && cap(p.buf) > smallBuffer:
		p.buf = nil
	case cap(p.buf) > 2*len(rest) && cap(p.buf) > smallBuffer:
		p.buf = bytes.Clone(rest)
	default:
		p.buf = append(p.buf[:0], rest...)
	}
}

// smallBuffer is the size, in bytes, up to which the buffer of a connection is kept whatever it holds.
const smallBuffer = 512

// argumentOverhead is what an argument of an incomplete command occupies beside its bytes.
const argumentOverhead = 32

// PartialBytes returns the number of bytes that an incomplete command occupies.
func (p *CommandParser) PartialBytes() int {
	if p.BetweenCommands() {
		return 0
	}
	return cap(p.buf) + p.argBytes + argumentOverhead*len(p.args)
}

// BetweenCommands reports whether no incomplete command is buffered.
func (p *CommandParser) BetweenCommands() bool { return p.remainingArgs == 0 && len(p.buf) == 0 }

// step parses one length line or bulk string. It returns the number of bytes consumed and whether a command is complete.
func (p *CommandParser) step(b []byte) (used int, done bool) {
	if p.remainingArgs > 0 && p.argSize >= 0 {
		if len(b) < p.argSize+2 {
			return 0, false
		}
		if b[p.argSize] != '\r' || b[p.argSize+1] != '\n' {
			p.err = ErrFraming
			return 0, false
		}
		p.args = append(p.args, bytes.Clone(b[:p.argSize]))
		p.argBytes += p.argSize
		used, p.argSize = p.argSize+2, -1
		p.remainingArgs--
		return used, p.remainingArgs == 0
	}
	prefix, limit := byte('*'), maxArgs
	if p.remainingArgs > 0 {
		prefix, limit = '$', MaxBody
	}
	if len(b) > 0 && b[0] != prefix {
		p.err = ErrFraming
		return 0, false
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxLengthLine {
			p.err = ErrOversize
		}
		return 0, false
	}
	n, ok := -1, end >= 2 && end <= maxLengthLine && b[end-1] == '\r'
	if ok {
		n, ok = parseDecimal(b[1 : end-1])
	}
	switch {
	case !ok || prefix == '*' && n == 0:
		p.err = ErrFraming
		return 0, false
	case n > limit:
		p.err = ErrOversize
		return 0, false
	case prefix == '*':
		p.remainingArgs, p.argSize, p.argBytes = n, -1, 0
	default:
		if p.err = p.checkSize(n); p.err != nil {
			return 0, false
		}
		p.argSize = n
	}
	return end + 1, false
}

// checkSize checks the length of a bulk string before any of its bytes are buffered. Only a message body may make
// the arguments exceed maxCommandBytes, and only if the arguments of ENQUEUE before it are valid.
func (p *CommandParser) checkSize(n int) error {
	switch {
	case p.argBytes+n <= maxCommandBytes:
		return nil
	case p.remainingArgs > 1 || !IsCommand(p.args, "ENQUEUE"):
		return ErrOversize
	}
	_, err := ReadEnqueue(append(p.args[:len(p.args):len(p.args)], nil))
	return err
}

// IsCommand reports whether the command has the given name, ignoring case.
func IsCommand(args [][]byte, name string) bool {
	return len(args) > 0 && bytes.EqualFold(args[0], []byte(name))
}

// parseDecimal parses an unsigned decimal number of at most nine digits.
func parseDecimal(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	n := 0
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int(d-'0')
	}
	return n, true
}

// Enqueue is a message as submitted by a client.
type Enqueue struct {
	ID             string
	Class          string
	Destination    int
	TTLMs          int // remaining time to live, in milliseconds
	Tenant         string
	OrderingKey    string // ordering key
	IdempotencyKey string // idempotency key; empty if there is none
	Resubmitted    bool   // the client has submitted this message before
	Body           []byte
}

// ReadEnqueue parses the arguments of ENQUEUE: the command name, an ignored argument, the message ID,
// name=value fields, and the body.
func ReadEnqueue(args [][]byte) (Enqueue, error) {
	if len(args) != 5 {
		return Enqueue{}, errors.New("ERR wrong number of arguments for 'enqueue'")
	}
	e := Enqueue{ID: string(args[2]), Destination: -1, TTLMs: -1, Body: args[4]}
	if !isToken(args[2]) {
		return e, errors.New("ERR bad id")
	}
	for _, field := range bytes.Split(args[3], []byte{','}) {
		name, value, _ := bytes.Cut(field, []byte{'='})
		n, ok := parseDecimal(value)
		switch string(name) {
		case "c":
			e.Class = string(value)
		case "d":
			if ok {
				e.TTLMs = n
			}
		case "dest":
			if ok {
				e.Destination = n
			}
		case "t":
			e.Tenant = string(value)
		case "k":
			if !isToken(value) {
				return e, errors.New("ERR bad k")
			}
			e.IdempotencyKey = string(value)
		case "about":
			e.OrderingKey = string(value)
		case "r", "again":
			e.Resubmitted = e.Resubmitted || ok && n == 1
		}
	}
	switch {
	case e.TTLMs < 0:
		return e, errors.New("ERR missing or bad d")
	case e.Destination < 0:
		return e, errors.New("ERR missing or bad dest")
	}
	return e, nil
}

// isToken reports whether b is 1 to 128 printable ASCII characters without spaces. IDs must be tokens because they are
// written into headers and batch lines, which a space or line break would corrupt.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0 && len(b) <= 128
}

// Replies to commands.
const (
	ReplyOK   = "+OK\r\n"
	ReplyPong = "+PONG\r\n"
)

// ReplyBusy returns the reply that rejects a message. The client may safely retry, after ms milliseconds if ms is positive.
func ReplyBusy(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

// ReplyError returns an error reply to a command. The text must begin with an error code in capitals, such as ERR.
func ReplyError(text string) string { return "-" + text + "\r\n" }
