package server

import (
	"fmt"

	"pineport/dispatch"
	"pineport/server/endpointconn"
	"pineport/transport"
)

// Connections to endpoints and to discovery. Package endpointconn has them.

// maxRoundTrip is the longest way there and back that a deployment tells of.
const maxRoundTrip = 300 * 1000

// newEndpointConns returns the connections that this courier opens; there are none yet.
func (s *Server) newEndpointConns() *endpointconn.Pool {
	return endpointconn.NewPool(s.endpointConnLimits(), endpointconn.Loop{
		Now:    func() dispatch.Micros { return s.now },
		Notify: func(e endpointconn.Event) { s.queue <- endpointEvent{e} },
		Dial: func(address string, handler transport.Handler) *transport.Conn {
			return s.driver.Dial(address, s.deployment.ConnectTimeout, handler)
		},
	})
}

// endpointConnLimits takes the limits of the deployment: four tenths of the descriptors. The other side closes an idle connection at the
// latest after the whole timeout, counted from when it wrote its answer, and a request that comes later is lost.
func (s *Server) endpointConnLimits() endpointconn.Limits {
	idle := s.deployment.Dispatch.IdleTimeout
	return endpointconn.Limits{
		Conns:       (s.deployment.MaxDescriptors - AdminSockets(s.deployment)) * 4 / 10,
		IdleTimeout: idle - min(idle/4, maxRoundTrip),
	}
}

// handleEndpointConn takes in an event of a connection that this courier opened.
func (s *Server) handleEndpointConn(event endpointconn.Event) {
	if closed, ok := event.(endpointconn.Closed); ok && closed.IsMalformed() {
		s.countMalformedAnswer(closed)
	}
	s.endpointConns.Handle(event)
}

// countMalformedAnswer counts something that came in place of an answer.
func (s *Server) countMalformedAnswer(closed endpointconn.Closed) {
	peer := closed.Conn.Peer()
	s.malformed.answers++
	s.malformed.lastAnswer = fmt.Errorf("%s %s: %w", peer.Endpoint, peer.Address, closed.Err)
}
