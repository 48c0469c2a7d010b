package endpointconn

import (
	"errors"
	"slices"
	"syscall"

	"pineport/protocol"
)

// Peer identifies the other side of a connection. An address alone does not identify it: another endpoint may have taken over the
// address, or the same endpoint may have restarted.
type Peer struct {
	Endpoint  string // empty for discovery
	Address   string
	StartedAt int64 // time of the endpoint's last start, from the endpoint list
}

// IsDiscovery reports whether the peer is discovery rather than an endpoint.
func (p Peer) IsDiscovery() bool { return p.Endpoint == "" }

// Exchange is a request and its response.
type Exchange struct {
	Peer      Peer
	Request   []byte
	NeedsBody bool // the response body is needed, not only the status line
	// OverUsedConn sends the request to discovery over an open connection that carried another request before, and never opens one. The
	// response may be a repeated one and proves nothing (repeated.go). Without such a connection the exchange fails at once.
	OverUsedConn bool

	// IsWanted is called when a new connection is established; if it returns false, the request is not sent. nil means true.
	IsWanted func() bool
	// BeforeWrite is called immediately before the request is written and may set Request. If it returns an error, the request is
	// not sent. It may be nil.
	BeforeWrite func() error
	// OnResponseStart is called with true when the first part of a response is received, and with false when that response turns out to be
	// an interim response.
	OnResponseStart func(responseStarted bool)
	// OnIgnored is called for each complete response that is ignored because it may be a repeated one. It may be nil.
	OnIgnored func(protocol.Response)
	// OnWritten is called once, when the socket has accepted the last byte of the request or a response proves that it has. The
	// call may be up to flushInterval late. OnWritten is nil if unused, and is set to nil when it has been called.
	OnWritten func()
	// OnEnd is called once with the response or the error, unless the exchange is aborted.
	OnEnd func(protocol.Response, error)

	conn            *Conn
	sent            bool
	finished        bool
	responseStarted bool   // part of a response has been received
	ignoredResponse bool   // a response that may be a repeated one was ignored
	partialBody     []byte // received part of its body
}

// IsSent reports whether the request was passed to a connection.
func (x *Exchange) IsSent() bool { return x.sent }

// IsWritten reports whether the socket has accepted the last byte of the request.
func (x *Exchange) IsWritten() bool { return x.sent && x.conn.conn.Flushed() }

// HasResponseStarted reports whether part of a response has been received.
func (x *Exchange) HasResponseStarted() bool { return x.responseStarted }

// PartialBody returns the received part of the body of an incomplete response.
func (x *Exchange) PartialBody() []byte { return x.partialBody }

// HasSuccessStatus reports whether the status line of an incomplete response has been received with status 200, and the exchange needs
// no body. On a connection that carried another request before, an incomplete response proves nothing.
func (x *Exchange) HasSuccessStatus() bool {
	return x.sent && !x.NeedsBody && x.conn.carriesFirstRequest() && x.conn.partialStatus.Load() == statusOK
}

// notifyWritten calls OnWritten and sets it to nil if the request has been sent and complete is true.
func (x *Exchange) notifyWritten(complete bool) {
	if complete && x.sent && x.OnWritten != nil {
		x.OnWritten()
		x.OnWritten = nil
	}
}

// end finishes the exchange and calls OnEnd.
func (x *Exchange) end(response protocol.Response, err error) {
	x.finished = true
	x.OnEnd(response, err)
}

// localErrors are errors that are attributed to this machine rather than to the peer: exhausted resources, a failed store of the
// attempt, or an unreachable network.
var localErrors = []error{errConnLimit, ErrNotStored, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN}

// IsLocalFailure reports whether an exchange failed because of this machine, before the request was fully written.
func IsLocalFailure(err error) bool {
	var failure *protocol.Failure
	if !errors.As(err, &failure) || failure.Stage != protocol.RequestIncomplete {
		return false
	}
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(failure.Err, local) })
}

// fail ends the exchange with an error and the stage at which it occurred.
func (x *Exchange) fail(stage protocol.Stage, err error) {
	x.end(protocol.Response{}, &protocol.Failure{Stage: stage, Err: err})
}
