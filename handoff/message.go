// Package handoff lets a courier process, the predecessor, hand over to a new process of the same courier name, the successor,
// during an upgrade. The predecessor hands over the state directory and the client messages, and afterwards forwards the
// outcomes of its attempts in flight. A process decides on client messages when it accepts them and chooses when and where they
// are sent; at most one of the two processes may do so at a time. A file lock, not the protocol, determines which process owns
// the state directory; only if locking fails does Acquire continue without it.
//
// machine.go has the state machines, which do no I/O; folder.go has the lock and the socket; message.go has the messages.
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

// Version is the protocol version. Processes with different versions do not hand over to each other.
const Version = 1

// Message is one protocol message. Exactly one field is set. The JSON tags are the names on the wire.
type Message struct {
	Hello           *Hello                    `json:"hello,omitempty"`   // from the successor: it is ready to take over
	Refused         string                    `json:"refused,omitempty"` // from the predecessor: it refuses the handoff; the reason
	State           *State                    `json:"state,omitempty"`   // from the predecessor: it hands over and stops deciding on client messages
	Serving         bool                      `json:"serving,omitempty"` // from the successor: it accepts clients
	AttemptFinished *dispatch.AttemptFinished `json:"settled,omitempty"` // from the predecessor: an attempt in flight has finished
	Cancel          *AttemptID                `json:"cancel,omitempty"`  // from the successor: cancel this attempt
	RetryAfter      *RetryAfter               `json:"wait,omitempty"`    // from the successor: it received a Retry-After
	Command         *Command                  `json:"ask,omitempty"`     // from the predecessor: an operator command
	Result          *Result                   `json:"answer,omitempty"`  // from the successor: the result of a command
}

// Hello is the first message of a successor.
type Hello struct {
	Version int    `json:"version"`
	Courier string `json:"courier"`
}

// State is the state of the predecessor that is not in the state directory.
type State struct {
	Snapshot    dispatch.Snapshot          `json:"lore"`
	ListVersion int64                      `json:"seq"` // version of the endpoint list
	Endpoints   []protocol.Endpoint        `json:"hosts"`
	InFlight    []AttemptID                `json:"out"`   // attempts without an outcome yet
	RetryAfter  map[string]dispatch.Micros `json:"waits"` // time at which the Retry-After ends, by endpoint name or destination number
	Disabled    []string                   `json:"gone"`  // endpoints disabled by operators
	Draining    bool                       `json:"away"`  // clients are being drained
	Membership  *Membership                `json:"peers,omitempty"`
}

// Membership is the incarnation of this courier in the fleet and the addresses of the fleet members. The fleet sees both
// processes as one member.
type Membership struct {
	Incarnation uint64   `json:"start"`
	Members     []string `json:"members"`
}

// AttemptID identifies one attempt.
type AttemptID struct {
	Message   string          `json:"record"`
	Attempt   int             `json:"trip"`            // index in the attempts of the message
	WaitUntil dispatch.Micros `json:"limit,omitempty"` // deadline for the outcome
}

// RetryAfter is a Retry-After for an endpoint group. The successor reports it so that the predecessor knows it if it takes over
// again. Endpoint is empty if the group is the whole destination.
type RetryAfter struct {
	Destination dispatch.DestinationID `json:"dest"`
	Endpoint    dispatch.EndpointID    `json:"endpoint,omitempty"`
	Until       dispatch.Micros        `json:"until"`
}

// Command is an operator command. If Endpoint is set, the command disables this endpoint if On is true, and enables it
// otherwise. If Endpoint is empty, the command starts draining the clients if On is true, and stops it otherwise.
type Command struct {
	Number   int64  `json:"number"`
	Endpoint string `json:"endpoint,omitempty"`
	On       bool   `json:"yes"`
}

// Result is the result of the command with this Number. Error is empty on success.
type Result struct {
	Number  int64  `json:"number"`
	Error   string `json:"fault,omitempty"`
	Unknown bool   `json:"unknown,omitempty"` // the error is that the endpoint is unknown
}

const (
	maxMessageSize    = 16 << 20 // fits a State with about 1 KB for each of about 16,000 endpoint groups
	maxQueuedMessages = 4096     // messages waiting to be sent
)

// Link is the connection to the other process. It carries one JSON message per line.
type Link struct {
	conn      net.Conn
	scanner   *bufio.Scanner
	queue     chan Message // messages waiting to be sent
	closeOnce sync.Once
	closed    chan struct{}
}

// NewLink returns a link over a connection to the other process, and starts to write queued messages to it.
func NewLink(conn net.Conn) *Link {
	link := &Link{conn: conn, scanner: bufio.NewScanner(conn), queue: make(chan Message, maxQueuedMessages), closed: make(chan struct{})}
	link.scanner.Buffer(make([]byte, 0, 4<<10), maxMessageSize)
	go link.write()
	return link
}

// Listen calls handle for each received message until the link ends, then closes the link and calls handle with nil.
func (l *Link) Listen(handle func(*Message)) {
	for {
		message, err := l.next()
		if err != nil {
			break
		}
		handle(message)
	}
	l.Close()
	handle(nil)
}

func (l *Link) next() (*Message, error) {
	if !l.scanner.Scan() {
		return nil, errors.Join(io.ErrUnexpectedEOF, l.scanner.Err())
	}
	message := &Message{}
	return message, json.Unmarshal(l.scanner.Bytes(), message)
}

// Send queues a message and never blocks. If the queue is full because the peer does not read, it closes the link.
func (l *Link) Send(m Message) {
	select {
	case l.queue <- m:
	default:
		l.Close()
	}
}

// Refuse sends a refusal with its reason and closes the link.
func (l *Link) Refuse(reason string) {
	if text, err := json.Marshal(Message{Refused: reason}); err == nil {
		l.conn.SetWriteDeadline(clock.Instant().Add(refuseTimeout))
		l.conn.Write(append(text, '\n'))
	}
	l.Close()
}

const refuseTimeout = 50 * time.Millisecond // the refusal is one line and fits into the socket buffer, so the write normally does not wait

// Close closes the link. Queued messages may be lost.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
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
		case <-l.closed:
			return
		}
	}
}

// checkCompatible returns an error if this process cannot hand over to the sender of the hello. The error text is sent to the
// successor as the reason of the refusal.
func (h *Hello) checkCompatible(courier string) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("version %d, this program speaks %d", h.Version, Version)
	case h.Courier != courier:
		return fmt.Errorf("courier %q, this is %q", h.Courier, courier)
	}
	return nil
}
