package server

import (
	"fmt"

	"pineport/dispatch"
	"pineport/server/endpointconn"
	"pineport/transport"
)

// This file sets up the connections to endpoints and to discovery. Package endpointconn manages them.

// maxRoundTrip is the longest round trip that endpointConnLimits allows for.
const maxRoundTrip = 300 * 1000

// newEndpointConns returns the pool of outgoing connections, which is empty at first.
func (s *Server) newEndpointConns() *endpointconn.Pool {
	return endpointconn.NewPool(s.endpointConnLimits(), endpointconn.Loop{
		Now:    func() dispatch.Micros { return s.now },
		Notify: func(event endpointconn.Event) { s.queue <- endpointEvent{event} },
		Dial: func(address string, handler transport.Handler) *transport.Conn {
			return s.driver.Dial(address, s.deployment.ConnectTimeout, handler)
		},
	})
}

// endpointConnLimits derives the limits of outgoing connections from the deployment. They get 4/10 of the
// file descriptors. A peer closes an idle connection once the idle timeout has passed since it wrote its
// answer, and a request that arrives later is lost. The courier therefore closes idle connections earlier.
func (s *Server) endpointConnLimits() endpointconn.Limits {
	idle := s.deployment.Dispatch.IdleTimeout
	return endpointconn.Limits{
		Conns:       (s.deployment.MaxDescriptors - AdminSockets(s.deployment)) * 4 / 10,
		IdleTimeout: idle - min(idle/4, maxRoundTrip),
		// Each poll that ends leaves a used connection, so that one is always open.
		DiscoveryIdleTimeout: 2 * (watchWait + watchMargin),
	}
}

// handleEndpointConn handles an event of an outgoing connection.
func (s *Server) handleEndpointConn(event endpointconn.Event) {
	switch e := event.(type) {
	case endpointconn.Closed:
		if e.IsMalformed() {
			s.countMalformedAnswer(e.Conn, e.Err)
		}
	case endpointconn.ResponseIgnored:
		s.countMalformedAnswer(e.Conn, endpointconn.ErrRepeatedResponse)
	}
	s.endpointConns.Handle(event)
}

// countMalformedAnswer counts an answer that could not be used.
func (s *Server) countMalformedAnswer(conn *endpointconn.Conn, err error) {
	peer := conn.Peer()
	s.malformed.answers++
	s.malformed.lastAnswerError = fmt.Errorf("%s %s: %w", peer.Endpoint, peer.Address, err)
}
