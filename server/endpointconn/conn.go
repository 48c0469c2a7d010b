// Package endpointconn manages the connections that a courier opens to endpoints and to discovery. Each connection carries one
// exchange at a time. Responses are reported through the callbacks of the exchange. A connection is reused only if a repeated
// response can be told from the response to the next request (repeated.go); idle connections are closed before the peer closes them.
//
// The poller of package transport calls the methods of Conn that implement transport.Handler; they only queue events. All other
// methods of Conn and the methods of Pool and Exchange are called by the event loop.
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
	// ErrUnexpectedResponse closes a connection that receives bytes while no request is outstanding. Such bytes could not be told
	// apart from the response to the next request.
	ErrUnexpectedResponse = errors.New("received data while no request was outstanding")
	// ErrRepeatedResponse means that a response equals an earlier one on its connection and was ignored, or that there were too many of
	// them.
	ErrRepeatedResponse = errors.New("response equals an earlier one on the connection and may be repeated")
	// ErrNoLongerWanted ends an exchange whose IsWanted returned false, for example because the endpoint started draining while the
	// connection was being opened.
	ErrNoLongerWanted = errors.New("request not sent: endpoint became unavailable while the connection was being opened")

	// ErrNotStored ends an exchange that was not sent because its attempts could not be stored.
	ErrNotStored = errors.New("attempt could not be stored in the state folder")

	errNoUsedConn   = errors.New("no open connection that carried a request before")
	errConnLimit    = errors.New("connection limit reached and no idle connection to close")
	errClosedByPeer = errors.New("connection closed by peer")
)

// Event is an event of a connection: Opened, ResponseReceived, ResponseProgress, ResponseIgnored or Closed. It is passed to Pool.Handle.
type Event interface{ endpointEvent() }

type (
	// Opened reports that a connection is established.
	Opened struct{ Conn *Conn }
	// ResponseReceived carries a complete response.
	ResponseReceived struct {
		Conn     *Conn
		Request  int64 // number of the request on the connection, starting at 1
		Response protocol.Response
	}
	// ResponseProgress reports a change of an incomplete response: with Started true, the response has started. With Started false, the
	// response that was reported as started is an interim (1xx) response, and the final response has not started yet.
	ResponseProgress struct {
		Conn        *Conn
		Request     int64
		Started     bool
		PartialBody []byte
	}
	// ResponseIgnored reports a complete response that was ignored, see ErrRepeatedResponse.
	ResponseIgnored struct {
		Conn     *Conn
		Request  int64
		Response protocol.Response
	}
	// Closed reports that a connection is closed, or could not be established.
	Closed struct {
		Conn        *Conn
		Request     int64
		Status      int // status of a truncated response; 0 if none
		PartialBody []byte
		Flushed     bool // the socket has accepted all bytes passed to Write
		Err         error
	}
)

func (Opened) endpointEvent()           {}
func (ResponseReceived) endpointEvent() {}
func (ResponseProgress) endpointEvent() {}
func (ResponseIgnored) endpointEvent()  {}
func (Closed) endpointEvent()           {}

// IsMalformed reports whether the connection was closed because the peer sent malformed or unexpected data.
func (e Closed) IsMalformed() bool {
	return errors.Is(e.Err, protocol.ErrMalformedResponse) || errors.Is(e.Err, ErrUnexpectedResponse)
}

// Conn is a connection, which carries one exchange at a time.
type Conn struct {
	pool *Pool
	peer Peer
	conn *transport.Conn

	// Accessed only by the poller.
	parser         *protocol.ResponseParser
	startedRequest int64 // request whose response was last reported as started; 0 if none
	responses      responseLog

	// Accessed by the poller and the event loop.
	requestCount     atomic.Int64 // number of requests written, which is also the number of the last one
	completedRequest atomic.Int64 // last request with a complete response; written by the poller
	partialStatus    atomic.Int64 // status of an incomplete response; 0 if none

	// Accessed only by the event loop.
	exchange  *Exchange
	idleSince dispatch.Micros
}

// Peer returns the peer of the connection.
func (c *Conn) Peer() Peer { return c.peer }

// Opened implements transport.Handler.
func (c *Conn) Opened(*transport.Conn) { c.pool.notify(Opened{c}) }

// carriesFirstRequest reports whether the last request is the first one on the connection.
func (c *Conn) carriesFirstRequest() bool { return c.requestCount.Load() == 1 }

// provesNothing reports whether the response to the last request proves nothing of it, and the caller knows that: see
// Exchange.OverUsedConn.
func (c *Conn) provesNothing() bool { return c.peer.IsDiscovery() && !c.carriesFirstRequest() }

// Data implements transport.Handler.
func (c *Conn) Data(conn *transport.Conn, b []byte) {
	last := c.requestCount.Load()
	if c.completedRequest.Load() == last {
		conn.CloseWithError(ErrUnexpectedResponse)
		return
	}
	response, done, err := c.nextResponse(b)
	status, started := c.parser.Started()
	c.partialStatus.Store(int64(status))
	started = started && (status == 0 || status >= statusOK) // a partial status line counts as a started response: the peer may stop sending within it
	switch {
	case done:
		c.completedRequest.Store(last)
		response.Close = response.Close || err != nil
		c.pool.notify(ResponseReceived{c, last, response})
	case err == nil && started != (c.startedRequest == last):
		c.reportStarted(last, started)
	}
	if err != nil {
		conn.CloseWithError(err)
	}
}

// nextResponse parses received bytes and returns the response if it is complete. It ignores responses that may be repeated ones.
func (c *Conn) nextResponse(b []byte) (response protocol.Response, done bool, err error) {
	for {
		response, done, err = c.parser.Feed(b)
		if !done || c.provesNothing() || c.responses.accept(response) {
			return response, done, err
		}
		c.pool.notify(ResponseIgnored{c, c.requestCount.Load(), response})
		if c.responses.ignored > maxIgnoredResponses {
			return protocol.Response{}, false, ErrRepeatedResponse
		}
		c.parser.Ignore()
		b = nil
	}
}

// reportStarted reports that the response to a request has started, or that it was an interim response.
func (c *Conn) reportStarted(request int64, started bool) {
	c.startedRequest = 0
	if started {
		c.startedRequest = request
	}
	c.pool.notify(ResponseProgress{c, request, started, slices.Clone(c.parser.PartialBody())})
}

// Closed implements transport.Handler.
func (c *Conn) Closed(conn *transport.Conn, err error) {
	// A response without a declared length ends when the connection is closed.
	if response, ok := c.parser.End(); ok && (c.provesNothing() || c.responses.accept(response)) {
		c.pool.notify(ResponseReceived{c, c.requestCount.Load(), response})
	}
	if err == nil {
		err = errClosedByPeer
	}
	status, _ := c.parser.Started()
	c.pool.notify(Closed{c, c.requestCount.Load(), status, slices.Clone(c.parser.PartialBody()), conn.Flushed(), err})
}
