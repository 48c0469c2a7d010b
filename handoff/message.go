// Package handoff moves a courier from one process to its successor in an upgrade: the predecessor, which owns the state folder and
// decides, hands both over, and forwards the outcomes of its attempts in flight afterwards. A lock on the folder says who owns it,
// whatever the messages say. machine.go decides, without I/O; folder.go has the lock and the socket; message.go the messages.
package handoff

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"pineport/clock"
	"pineport/dispatch"
	"pineport/protocol"
)

// Version of the messages; processes of different versions do not hand over to one another.
const Version = 1

// Message is one message, of which one field is set. The tags are the names between processes.
type Message struct {
	Hello           *Hello                    `json:"hello,omitempty"`   // successor: ready to take over
	Refused         string                    `json:"refused,omitempty"` // predecessor: goes on by itself, and why
	State           *State                    `json:"state,omitempty"`   // predecessor: hands over, and decides no more
	Serving         bool                      `json:"serving,omitempty"` // successor: accepts clients
	AttemptFinished *dispatch.AttemptFinished `json:"settled,omitempty"` // predecessor: an attempt in flight finished
	Cancel          *AttemptID                `json:"cancel,omitempty"`  // successor: the attempt is given up
	RetryAfter      *RetryAfter               `json:"wait,omitempty"`    // successor: got a Retry-After, in case the predecessor must go on
	Command         *Command                  `json:"ask,omitempty"`     // predecessor: a command of an operator
	Result          *Result                   `json:"answer,omitempty"`  // successor: the result of a command
}

// Hello introduces a successor.
type Hello struct {
	Version int    `json:"version"`
	Courier string `json:"courier"`
}

// State is all that the state folder does not hold.
type State struct {
	Snapshot    dispatch.Snapshot          `json:"lore"`
	ListVersion int64                      `json:"seq"` // of the endpoint list
	Endpoints   []protocol.Endpoint        `json:"hosts"`
	InFlight    []AttemptID                `json:"out"`   // attempts whose outcome is still to come
	RetryAfter  map[string]dispatch.Micros `json:"waits"` // by endpoint group, until when
	Disabled    []string                   `json:"gone"`  // endpoints that operators disabled
	Draining    bool                       `json:"away"`  // clients are being drained
	Membership  *Membership                `json:"peers,omitempty"`
}

// Membership is what the fleet knows this courier by, and the addresses of its members: both processes are one member.
type Membership struct {
	Incarnation uint64   `json:"start"`
	Members     []string `json:"members"`
}

// AttemptID names one attempt.
type AttemptID struct {
	Message   string          `json:"record"`
	Attempt   int             `json:"trip"`
	WaitUntil dispatch.Micros `json:"limit,omitempty"`
}

// RetryAfter is the Retry-After of an endpoint group; Endpoint is empty where the group is the whole destination.
type RetryAfter struct {
	Destination dispatch.DestinationID `json:"dest"`
	Endpoint    dispatch.EndpointID    `json:"endpoint,omitempty"`
	Until       dispatch.Micros        `json:"until"`
}

// Command is a command of an operator: an endpoint disabled (On) or enabled, or clients drained (On) or not.
type Command struct {
	Number   int64  `json:"number"`
	Endpoint string `json:"endpoint,omitempty"`
	On       bool   `json:"yes"`
}

// Result is the result of a command; Error is empty where it succeeded.
type Result struct {
	Number  int64  `json:"number"`
	Error   string `json:"fault,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
}

const (
	maxMessage = 16 << 20 // the state, with a kilobyte for each of many thousand groups
	maxQueue   = 4096     // messages that the peer has not read
)

// Link is a connection to the other process.
type Link struct {
	conn  net.Conn
	lines *bufio.Scanner
	queue chan Message
	close sync.Once
	ended chan struct{}
}

func newLink(conn net.Conn) *Link {
	link := &Link{conn: conn, lines: bufio.NewScanner(conn), queue: make(chan Message, maxQueue), ended: make(chan struct{})}
	link.lines.Buffer(make([]byte, 0, 4<<10), maxMessage)
	go link.write()
	return link
}

// Listen calls to for each message until the link ends, and then with nil.
func (l *Link) Listen(to func(*Message)) {
	for {
		message, err := l.next()
		if err != nil {
			break
		}
		to(message)
	}
	l.Close()
	to(nil)
}

func (l *Link) next() (*Message, error) {
	if !l.lines.Scan() {
		return nil, errors.Join(io.ErrUnexpectedEOF, l.lines.Err())
	}
	message := &Message{}
	return message, json.Unmarshal(l.lines.Bytes(), message)
}

// Send queues a message and never waits; a peer that does not read ends the link.
func (l *Link) Send(m Message) {
	select {
	case l.queue <- m:
	default:
		l.Close()
	}
}

// Refuse sends a refusal with its reason, and ends the link.
func (l *Link) Refuse(why string) {
	if text, err := json.Marshal(Message{Refused: why}); err == nil {
		l.conn.SetWriteDeadline(clock.Instant().Add(refuseTimeout))
		l.conn.Write(append(text, '\n'))
	}
	l.Close()
}

const refuseTimeout = 50 * time.Millisecond // one line fits the socket's buffer

// Close ends the link.
func (l *Link) Close() {
	l.close.Do(func() {
		close(l.ended)
		l.conn.Close()
	})
}

func (l *Link) write() {
	for {
		select {
		case m := <-l.queue:
			text, err := json.Marshal(m)
			if err == nil {
				_, err = l.conn.Write(append(text, '\n'))
			}
			if err != nil {
				l.Close()
				return
			}
		case <-l.ended:
			return
		}
	}
}

// agree returns why two processes do not go together; nil if they do.
func (h *Hello) agree(courier string) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("version %d, this program speaks %d", h.Version, Version)
	case h.Courier != courier:
		return fmt.Errorf("courier %q, this is %q", h.Courier, courier)
	}
	return nil
}
