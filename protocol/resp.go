// Package protocol reads and writes what goes over the wires: clients' commands, calls to endpoints, notices
// and discovery's list. Its parsers are state machines that are fed bytes in any split; they know no socket
// and no clock, and what they keep is bounded.
package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxBody is the largest body of a message or an answer.
const MaxBody = 64 << 10

const (
	maxArgs    = 16
	maxLine    = 32      // the digits of a length
	maxCommand = 4 << 10 // beside the body
)

// Invalid of a command's framing; after one the stream cannot be read on.
var (
	ErrFraming  = errors.New("ERR protocol error: an array of bulk strings was expected")
	ErrOversize = errors.New("ERR protocol error: too long")
)

// Commands takes RESP2 commands, arrays of bulk strings, off a stream.
type Commands struct {
	buf  []byte
	args [][]byte
	left int // bulk strings still to come; 0 between commands
	size int // of the bulk string being read; -1 while its length is
	held int // bytes in args
	err  error
}

// Feed takes what came in and returns the commands that are complete, in order; their bytes are their own.
func (c *Commands) Feed(b []byte) (commands [][][]byte, err error) {
	c.buf = append(c.buf, b...)
	used := 0
	for c.err == nil {
		n, done := c.step(c.buf[used:])
		used += n
		if done {
			commands = append(commands, c.args)
			c.args, c.held = nil, 0
		} else if n == 0 {
			break
		}
	}
	c.buf = append(c.buf[:0], c.buf[used:]...)
	if len(c.buf) == 0 && cap(c.buf) > maxCommand {
		c.buf = nil // a connection that rests keeps no large buffer
	}
	return commands, c.err
}

// Held is how many bytes are kept of a command that is not whole.
func (c *Commands) Held() int { return len(c.buf) + c.held }

// Between tells whether the stream stands between two commands.
func (c *Commands) Between() bool { return c.left == 0 && len(c.buf) == 0 }

// step reads one piece; it returns how many bytes that took, and whether a command is complete.
func (c *Commands) step(b []byte) (used int, done bool) {
	if c.left > 0 && c.size >= 0 {
		if len(b) < c.size+2 {
			return 0, false
		}
		if b[c.size] != '\r' || b[c.size+1] != '\n' {
			c.err = ErrFraming
			return 0, false
		}
		c.args = append(c.args, bytes.Clone(b[:c.size]))
		c.held += c.size
		used, c.size = c.size+2, -1
		c.left--
		return used, c.left == 0
	}
	mark, limit := byte('*'), maxArgs
	if c.left > 0 {
		mark, limit = '$', MaxBody
	}
	if len(b) > 0 && b[0] != mark {
		c.err = ErrFraming
		return 0, false
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxLine {
			c.err = ErrOversize
		}
		return 0, false
	}
	n, ok := -1, end >= 2 && end <= maxLine && b[end-1] == '\r'
	if ok {
		n, ok = digits(b[1 : end-1])
	}
	switch {
	case !ok || mark == '*' && n == 0:
		c.err = ErrFraming
		return 0, false
	case n > limit:
		c.err = ErrOversize
		return 0, false
	case mark == '*':
		c.left, c.size, c.held = n, -1, 0
	default:
		if c.err = c.check(n); c.err != nil {
			return 0, false
		}
		c.size = n
	}
	return end + 1, false
}

// check judges a bulk string by its length before any of it is kept. Only a message's body may be long, and only where
// all that comes before it can be used.
func (c *Commands) check(n int) error {
	switch {
	case c.held+n <= maxCommand:
		return nil
	case c.left > 1 || !IsCommand(c.args, "ENQUEUE"):
		return ErrOversize
	}
	_, err := ReadEnqueue(append(c.args[:len(c.args):len(c.args)], nil))
	return err
}

// IsCommand compares a command's name, in any case.
func IsCommand(args [][]byte, name string) bool {
	return len(args) > 0 && bytes.EqualFold(args[0], []byte(name))
}

// digits reads a plain decimal number.
func digits(b []byte) (int, bool) {
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

// Enqueue is a message as a client hands it in.
type Enqueue struct {
	ID             string
	Class          string
	Destination    int
	TTLMs          int // how long it may still be delivered
	Tenant         string
	OrderingKey    string // of its order
	IdempotencyKey string // by which a repeat is known
	Resubmitted    bool   // submitted before
	Body           []byte
}

// ReadEnqueue reads the arguments of ENQUEUE: key, id, names with values, body.
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
		n, ok := digits(value)
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

// isToken keeps what could break a line out of ids, as they go into headers and frames.
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

// ReplyBusy refuses; trying again is harmless, after a while if one is notified.
func ReplyBusy(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

// ReplyError fails a command; the text begins with a word in capitals.
func ReplyError(text string) string { return "-" + text + "\r\n" }
