// Package endpointconn keeps the connections that a courier opens, to endpoints and to discovery: one exchange at a time goes over
// each, idle ones are used again and closed before the other side does, and answers come back through callbacks of the exchange.
//
// The poller of package transport runs the methods of Conn that transport.Handler asks for; they only queue events. All others, and
// those of Pool and Exchange, are the event loop's.
package endpointconn

import (
	"errors"
	"net/http"
	"slices"
	"sync/atomic"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/transport"
)

const statusOK = http.StatusOK

var (
	// ErrUnexpectedResponse ends a connection over which bytes come while no answer is due: they belong to no request, and the next
	// answer could not be told apart from them.
	ErrUnexpectedResponse = errors.New("an answer nobody asked for")
	// ErrNoLongerWanted ends an exchange that is not wanted any more: while its connection was being opened it became known that nothing
	// may be sent there.
	ErrNoLongerWanted = errors.New("overtaken by a drain or a wait")

	// ErrNotStored ends an exchange that could not be stored, and was not sent.
	ErrNotStored = errors.New("the state folder fails")

	errNoDescriptor   = errors.New("no descriptor left")
	errClosedRemotely = errors.New("closed by the other side")
)

// Event is something that happened on a connection: one of the types of this package with that method. Pool.Handle takes it.
type Event interface{ endpointEvent() }

type (
	// Opened reports that a connection is up.
	Opened struct{ Conn *Conn }
	// ResponseReceived brings a complete answer.
	ResponseReceived struct {
		Conn     *Conn
		Request  int64 // its number on the connection
		Response protocol.Response
	}
	// ResponseProgress reports that an answer has begun, or, where Started is false, that what had begun was an interim answer.
	ResponseProgress struct {
		Conn        *Conn
		Request     int64
		Started     bool
		PartialBody []byte
	}
	// Closed reports that a connection has ended, or never came up.
	Closed struct {
		Conn        *Conn
		Request     int64
		Status      int // of an answer that was cut short
		PartialBody []byte
		Flushed     bool // the socket took all that was written
		Err         error
	}
)

func (Opened) endpointEvent()           {}
func (ResponseReceived) endpointEvent() {}
func (ResponseProgress) endpointEvent() {}
func (Closed) endpointEvent()           {}

// IsMalformed reports whether the connection ended by something that is no answer.
func (e Closed) IsMalformed() bool {
	return errors.Is(e.Err, protocol.ErrMalformedResponse) || errors.Is(e.Err, ErrUnexpectedResponse)
}

// Conn is one connection; one exchange at a time goes over it.
type Conn struct {
	pool *Pool
	peer Peer
	conn *transport.Conn

	// Of the poller.
	parser        *protocol.Answers
	reportedBegun int64 // the request of which the event loop knows that its answer has begun, else 0

	// Of both.
	requests      atomic.Int64 // how many were written: the number of the last
	answered      atomic.Int64 // the request whose answer was complete; written by the poller
	partialStatus atomic.Int64 // status of an answer that has begun and is not complete

	// Of the event loop.
	exchange  *Exchange
	idleSince dispatch.Micros
}

// Peer returns the other side.
func (c *Conn) Peer() Peer { return c.peer }

// Opened implements transport.Handler.
func (c *Conn) Opened(*transport.Conn) { c.pool.notify(Opened{c}) }

// Data implements transport.Handler.
func (c *Conn) Data(conn *transport.Conn, b []byte) {
	last := c.requests.Load()
	if c.answered.Load() == last {
		conn.Fail(ErrUnexpectedResponse)
		return
	}
	answer, done, err := c.parser.Feed(b)
	status, begun := c.parser.Begun()
	c.partialStatus.Store(int64(status))
	begun = begun && (status == 0 || status >= statusOK) // the first bytes of its first line are enough: a peer may fall silent there
	switch {
	case done:
		c.answered.Store(last)
		answer.Close = answer.Close || err != nil
		c.pool.notify(ResponseReceived{c, last, answer})
	case err == nil && begun != (c.reportedBegun == last):
		c.reportBegun(last, begun)
	}
	if err != nil {
		conn.Fail(err)
	}
}

// reportBegun reports that the answer to a request has begun, or takes that back.
func (c *Conn) reportBegun(request int64, begun bool) {
	c.reportedBegun = 0
	if begun {
		c.reportedBegun = request
	}
	c.pool.notify(ResponseProgress{c, request, begun, slices.Clone(c.parser.Part())})
}

// Closed implements transport.Handler.
func (c *Conn) Closed(conn *transport.Conn, err error) {
	if answer, ok := c.parser.End(); ok {
		c.pool.notify(ResponseReceived{c, c.requests.Load(), answer})
	}
	if err == nil {
		err = errClosedRemotely
	}
	status, _ := c.parser.Begun()
	c.pool.notify(Closed{c, c.requests.Load(), status, slices.Clone(c.parser.Part()), conn.Flushed(), err})
}
