package endpointconn

import (
	"errors"
	"slices"
	"syscall"

	"pineport/protocol"
)

// Peer is the other side of a connection. An address alone is not enough: another endpoint may have taken it over, or the same one may have
// been restarted.
type Peer struct {
	Endpoint  string // empty for discovery
	Address   string
	StartedAt int64 // as the endpoint list says it
}

// IsDiscovery reports whether the peer is discovery rather than an endpoint.
func (p Peer) IsDiscovery() bool { return p.Endpoint == "" }

// Exchange is one request and its answer.
type Exchange struct {
	Peer      Peer
	Request   []byte
	NeedsBody bool // the body is needed, not just the first line

	// IsWanted is asked once more when a new connection is up; nil for always.
	IsWanted func() bool
	// BeforeWrite is called just before the first byte is written, which an error stops; nil for nothing to do. It may set Request.
	BeforeWrite func() error
	// OnResponseStart is called when an answer has begun and the rest of it has not come yet; with false where it was an interim one.
	OnResponseStart func(begun bool)
	// OnWritten is called once, when the socket has the last byte or an answer shows that it had; nil for nobody. It may lag by
	// flushInterval.
	OnWritten func()
	// OnEnd is called once, unless the exchange is aborted.
	OnEnd func(protocol.Response, error)

	conn        *Conn
	sent        bool
	finished    bool
	begun       bool   // part of an answer is here
	partialBody []byte // of its body
}

// IsSent reports whether the request went to a connection.
func (x *Exchange) IsSent() bool { return x.sent }

// IsWritten reports whether the last byte of the request has been handed to the socket.
func (x *Exchange) IsWritten() bool { return x.sent && x.conn.conn.Flushed() }

// HasResponseStarted reports whether part of an answer is here.
func (x *Exchange) HasResponseStarted() bool { return x.begun }

// PartialBody returns what is here of the body of an answer that is not complete.
func (x *Exchange) PartialBody() []byte { return x.partialBody }

// HasSuccessStatus reports whether the first line of the answer is here, says success, and is all that is needed of it.
func (x *Exchange) HasSuccessStatus() bool {
	return x.sent && !x.NeedsBody && x.conn.partialStatus.Load() == statusOK
}

// notifyWritten reports, once, that the request was written completely.
func (x *Exchange) notifyWritten(complete bool) {
	if complete && x.sent && x.OnWritten != nil {
		x.OnWritten()
		x.OnWritten = nil
	}
}

// end reports how the exchange ended; its connection is free for another one.
func (x *Exchange) end(answer protocol.Response, err error) {
	x.finished = true
	x.OnEnd(answer, err)
}

// localErrors are what the system says where this machine is short of something, or has no way out: they say nothing of the other side.
var localErrors = []error{errNoDescriptor, ErrNotStored, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN}

// IsLocalFailure reports whether an exchange failed on this machine, before its last byte was out.
func IsLocalFailure(err error) bool {
	var failure *protocol.Failure
	if !errors.As(err, &failure) || failure.Stage != protocol.RequestIncomplete {
		return false
	}
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(failure.Err, local) })
}

// fail ends the exchange with a failure at a stage of it.
func (x *Exchange) fail(progress protocol.Stage, err error) {
	x.end(protocol.Response{}, &protocol.Failure{Stage: progress, Err: err})
}
