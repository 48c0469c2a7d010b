// Package handoff lets the two processes of an upgrade talk: the old one, which owns the folder that lasts and decides,
// hands both to the new one, and tells it afterwards how the calls ended that it still had out. A lock on the folder says
// who owns it, whatever is said.
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

	"pineport/dispatch"
	"pineport/protocol"
)

// Version of what is said here; processes of different versions leave each other alone.
const Version = 1

// Message is one thing said; one of its fields is set.
type Message struct {
	Hello           *Hello                    `json:"hello,omitempty"`   // new: ready to take over
	Refused         string                    `json:"refused,omitempty"` // old: goes on by itself, and why
	State           *State                    `json:"state,omitempty"`   // old: decides no more
	Serving         bool                      `json:"serving,omitempty"` // new: takes clients
	AttemptFinished *dispatch.AttemptFinished `json:"settled,omitempty"` // old: an attempt that it had out ended
	Cancel          *AttemptID                `json:"cancel,omitempty"`  // new: it is waited for no more
	RetryAfter      *RetryAfter               `json:"wait,omitempty"`    // new: was notified to wait, in case the old one must go on
	Command         *Command                  `json:"ask,omitempty"`     // old: operators want something
	Result          *Result                   `json:"answer,omitempty"`  // new: what became of it
}

// Hello says who is there.
type Hello struct {
	Version int    `json:"version"`
	Courier string `json:"courier"`
}

// State is all that the folder that lasts does not hold.
type State struct {
	Snapshot    dispatch.Snapshot          `json:"lore"`
	ListVersion int64                      `json:"seq"` // of the list
	Hosts       []protocol.Host            `json:"hosts"`
	InFlight    []AttemptID                `json:"out"`   // attempts whose outcome is still to be notified
	RetryAfter  map[string]dispatch.Micros `json:"waits"` // by route, until when
	Disabled    []string                   `json:"gone"`  // endpoints out for maintenance
	Draining    bool                       `json:"away"`  // clients are drained
	Membership  *Membership                `json:"peers,omitempty"`
}

// Membership is what the fleet knows this courier by, and where its members are: both processes are one member.
type Membership struct {
	Incarnation uint64   `json:"start"`
	Members     []string `json:"members"`
}

// AttemptID is one attempt.
type AttemptID struct {
	Message   string          `json:"record"`
	Attempt   int             `json:"trip"`
	WaitUntil dispatch.Micros `json:"limit,omitempty"`
}

// RetryAfter is what a route reported; Endpoint is empty where the route is the destination.
type RetryAfter struct {
	Destination dispatch.DestinationID `json:"dest"`
	Endpoint    dispatch.EndpointID    `json:"endpoint,omitempty"`
	Until       dispatch.Micros        `json:"until"`
}

// Command is a call of an operator: an endpoint out or back, or clients away or back.
type Command struct {
	Number   int64  `json:"number"`
	Endpoint string `json:"endpoint,omitempty"`
	Enable   bool   `json:"yes"`
}

// Result is empty for yes.
type Result struct {
	Number  int64  `json:"number"`
	Error   string `json:"fault,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
}

const (
	maxMessage = 16 << 20 // the state, with a kilobyte for each of many thousand routes
	maxQueue   = 4096     // messages that the other side has not read
)

// Link is a connection to the other process. What comes is handed over one by one; the last is nil, when it has ended.
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

// Listen hands over what comes in until the link ends, and then nil.
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

// Send never waits: a side that does not read ends the link.
func (l *Link) Send(m Message) {
	select {
	case l.queue <- m:
	default:
		l.Close()
	}
}

// Refuse tells the other side no, and why, and ends the link.
func (l *Link) Refuse(why string) {
	if text, err := json.Marshal(Message{Refused: why}); err == nil {
		l.conn.SetWriteDeadline(time.Now().Add(refuseWithin))
		l.conn.Write(append(text, '\n'))
	}
	l.Close()
}

const refuseWithin = 50 * time.Millisecond // a line fits the socket

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

// agree says why two processes do not go together, if they do not.
func (h *Hello) agree(courier string) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("version %d, this program speaks %d", h.Version, Version)
	case h.Courier != courier:
		return fmt.Errorf("courier %q, this is %q", h.Courier, courier)
	}
	return nil
}
