package endpointconn

import (
	"errors"
	"math"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/transport"
)

const never = dispatch.Micros(math.MaxInt64)

const (
	// flushInterval is the interval, in microseconds, at which CheckWritten is called while a request is not completely written.
	flushInterval = 50 * 1000
	// maxListBodyBytes is the maximum size of discovery's endpoint list, which is the largest response.
	maxListBodyBytes = 1 << 20
)

// Limits are the limits on the connections of a Pool.
type Limits struct {
	Conns                int             // maximum number of open connections; beyond it the longest-idle connection to an endpoint is closed
	IdleTimeout          dispatch.Micros // how long an idle connection to an endpoint is kept open
	DiscoveryIdleTimeout dispatch.Micros // the same for connections to discovery
}

// Loop holds the functions that a Pool needs from the event loop.
type Loop struct {
	// Now returns the time at which the current step of the event loop started.
	Now func() dispatch.Micros
	// Dial starts to open a connection.
	Dial func(address string, handler transport.Handler) *transport.Conn
	// Notify is called by the poller with each event, and may block until the event loop takes it. The event loop passes the event
	// to Pool.Handle.
	Notify func(Event)
}

// Pool holds the connections opened by this courier.
type Pool struct {
	now       func() dispatch.Micros
	dial      func(address string, handler transport.Handler) *transport.Conn
	notify    func(Event)
	limits    Limits
	conns     map[*Conn]bool
	idle      map[Peer][]*Conn // longest idle first; may include closed connections, which are no longer in conns
	unflushed []*Exchange      // exchanges whose OnWritten has not been called yet
	responses map[Peer]*peerResponses
}

// NewPool returns an empty pool.
func NewPool(limits Limits, loop Loop) *Pool {
	return &Pool{now: loop.Now, dial: loop.Dial, notify: loop.Notify, limits: limits, conns: map[*Conn]bool{}, idle: map[Peer][]*Conn{},
		responses: map[Peer]*peerResponses{}}
}

// SetLimits replaces the limits.
func (p *Pool) SetLimits(limits Limits) { p.limits = limits }

// Idle returns the number of open idle connections to a peer.
func (p *Pool) Idle(peer Peer) (n int) {
	for _, conn := range p.idle[peer] {
		if p.conns[conn] {
			n++
		}
	}
	return n
}

// Start sends the request over an idle connection, or over a new one; to discovery over a new one, unless OverUsedConn is set. The
// exchange fails immediately if the connection limit is reached and no idle connection can be closed; exchanges with discovery may
// exceed the limit.
func (p *Pool) Start(exchange *Exchange) {
	if (exchange.OverUsedConn || !exchange.Peer.IsDiscovery()) && p.reuse(exchange) {
		return
	}
	if exchange.OverUsedConn {
		exchange.fail(protocol.RequestIncomplete, errNoUsedConn)
		return
	}
	if !p.makeRoom() && !exchange.Peer.IsDiscovery() {
		exchange.fail(protocol.RequestIncomplete, errConnLimit)
		return
	}
	limit := protocol.MaxBody
	if exchange.Peer.IsDiscovery() {
		limit = maxListBodyBytes
	}
	conn := &Conn{pool: p, peer: exchange.Peer, parser: protocol.NewResponseParser(limit), exchange: exchange}
	p.conns[conn] = true
	exchange.conn = conn
	conn.conn = p.dial(exchange.Peer.Address, conn)
}

// reuse sends the request over an idle connection, and reports whether a usable one was found. It closes unusable ones, and keeps those
// whose handler has not returned from the last response yet.
func (p *Pool) reuse(exchange *Exchange) (sent bool) {
	var busyConns []*Conn
	for idle := p.idle[exchange.Peer]; len(idle) > 0 && !sent; idle = p.idle[exchange.Peer] {
		conn := idle[len(idle)-1]
		p.idle[exchange.Peer] = idle[:len(idle)-1]
		if !p.conns[conn] || p.now()-conn.idleSince >= p.idleTimeout(conn.peer) {
			p.close(conn)
			continue
		}
		busy := false
		sent, busy = conn.conn.TryWhileIdle(func() { p.write(conn, exchange) })
		switch {
		case busy:
			busyConns = append(busyConns, conn)
		case !sent:
			p.close(conn)
		}
	}
	slices.Reverse(busyConns) // the longest idle first, as before
	p.idle[exchange.Peer] = append(p.idle[exchange.Peer], busyConns...)
	return sent
}

func (p *Pool) write(conn *Conn, exchange *Exchange) {
	if exchange.BeforeWrite != nil {
		if err := exchange.BeforeWrite(); err != nil {
			p.keepIdle(conn)
			exchange.fail(protocol.RequestIncomplete, err)
			return
		}
	}
	conn.exchange, exchange.conn, exchange.sent = exchange, conn, true
	conn.requestCount.Add(1)
	if err := conn.conn.Write(exchange.Request); err != nil {
		p.handleClosed(Closed{Conn: conn, Request: conn.requestCount.Load(), Flushed: false, Err: err})
		return
	}
	if exchange.notifyWritten(conn.conn.Flushed()); exchange.OnWritten != nil {
		p.unflushed = append(p.unflushed, exchange)
	}
}

// CheckWritten calls OnWritten for requests that the sockets have completely accepted since the last call.
func (p *Pool) CheckWritten() {
	p.unflushed = slices.DeleteFunc(p.unflushed, func(exchange *Exchange) bool {
		exchange.notifyWritten(exchange.IsWritten())
		return exchange.OnWritten == nil || exchange.finished
	})
}

// HasResponse reports whether the complete response of an exchange has been received but not yet processed by the event loop. The exchange
// may be nil.
func (p *Pool) HasResponse(exchange *Exchange) bool {
	return p.isWaiting(exchange) && exchange.conn.completedRequest.Load() == exchange.conn.requestCount.Load()
}

// HasUnread reports whether received bytes for a waiting exchange are unread, or being processed by the poller. The exchange may be nil.
func (p *Pool) HasUnread(exchange *Exchange) bool {
	return p.isWaiting(exchange) && exchange.conn.conn.HasUnread()
}

// isWaiting reports whether an exchange is waiting for its response on an open connection.
func (p *Pool) isWaiting(exchange *Exchange) bool {
	return exchange != nil && exchange.sent && !exchange.finished && p.conns[exchange.conn]
}

// Abort ends an exchange without calling OnEnd and closes its connection. The exchange may be nil.
func (p *Pool) Abort(exchange *Exchange) {
	if exchange == nil || exchange.finished {
		return
	}
	exchange.finished = true
	p.noteUnanswered(exchange)
	if exchange.conn != nil {
		exchange.notifyWritten(exchange.conn.conn.Flushed())
		exchange.conn.exchange = nil
		p.close(exchange.conn)
	}
}

// Handle processes an event of a connection of this pool.
func (p *Pool) Handle(event Event) {
	switch e := event.(type) {
	case Opened:
		p.handleOpened(e)
	case ResponseProgress:
		p.handleResponseStarted(e)
	case ResponseReceived:
		p.handleResponse(e)
	case ResponseIgnored:
		p.handleIgnored(e)
	case Closed:
		p.handleClosed(e)
	}
}

func (p *Pool) handleOpened(event Opened) {
	conn, exchange := event.Conn, event.Conn.exchange
	if exchange == nil || !p.conns[conn] {
		p.close(conn)
		return
	}
	if exchange.IsWanted == nil || exchange.IsWanted() {
		p.write(conn, exchange)
		return
	}
	p.keepIdle(conn)
	exchange.end(protocol.Response{}, ErrNoLongerWanted)
}

// handleResponseStarted records that a response has started, or was an interim response, and calls OnResponseStart. The caller can shorten
// its timeout for the rest of a started response, which follows immediately or not at all. The response that follows an interim
// response may take longer.
func (p *Pool) handleResponseStarted(event ResponseProgress) {
	exchange := event.Conn.exchange
	if exchange == nil || exchange.finished || event.Request != event.Conn.requestCount.Load() {
		return
	}
	exchange.responseStarted, exchange.partialBody = event.Started, event.PartialBody
	exchange.OnResponseStart(event.Started)
}

func (p *Pool) handleResponse(event ResponseReceived) {
	conn, exchange := event.Conn, event.Conn.exchange
	if exchange == nil || exchange.finished || event.Request != conn.requestCount.Load() || !exchange.sent {
		return // the exchange has ended, or the response belongs to another request
	}
	exchange.finished = true
	exchange.notifyWritten(true)
	switch {
	case conn.peer.IsDiscovery() && p.isReusable(conn, event):
		p.keepUsed(conn)
	case p.mayReuse(conn, event):
		p.keepIdle(conn)
	default:
		conn.exchange = nil
		p.close(conn)
	}
	exchange.end(event.Response, nil)
}

// handleIgnored calls OnIgnored of the exchange that awaits its response.
func (p *Pool) handleIgnored(event ResponseIgnored) {
	exchange := event.Conn.exchange
	if exchange == nil || exchange.finished || event.Request != event.Conn.requestCount.Load() {
		return
	}
	exchange.ignoredResponse = true
	if exchange.OnIgnored != nil {
		exchange.OnIgnored(event.Response)
	}
}

// noteUnanswered is called when an exchange ends without a response. If one was ignored, it may have been the response to the exchange, equal
// to an earlier one.
func (p *Pool) noteUnanswered(exchange *Exchange) {
	if exchange.ignoredResponse {
		p.responsesOf(exchange.Peer).equal = true
	}
}

// mayReuse reports whether a connection may carry another request after a response, and records the response.
func (p *Pool) mayReuse(conn *Conn, event ResponseReceived) bool {
	if conn.peer.IsDiscovery() || event.Response.Status != statusOK {
		return false
	}
	known := p.responsesOf(conn.peer)
	known.observe(event.Response)
	return p.isReusable(conn, event) && known.differ() && event.Request < maxConnRequests
}

// isReusable reports whether another request could be written to a connection after a response.
func (p *Pool) isReusable(conn *Conn, event ResponseReceived) bool {
	return p.conns[conn] && conn.conn.Flushed() && !event.Response.Close
}

// responsesOf returns what is known of the responses of a peer.
func (p *Pool) responsesOf(peer Peer) *peerResponses {
	if p.responses[peer] == nil {
		if len(p.responses) >= maxKnownPeers {
			clear(p.responses)
		}
		p.responses[peer] = &peerResponses{}
	}
	return p.responses[peer]
}

func (p *Pool) handleClosed(event Closed) {
	conn, exchange := event.Conn, event.Conn.exchange
	if !p.conns[conn] {
		return
	}
	delete(p.conns, conn)
	if exchange == nil || exchange.finished {
		return
	}
	conn.exchange, exchange.finished = nil, true
	exchange.notifyWritten(event.Flushed)
	if len(event.PartialBody) > len(exchange.partialBody) {
		exchange.partialBody = event.PartialBody
	}
	if event.Status == statusOK && !exchange.NeedsBody && event.Request == conn.requestCount.Load() && conn.carriesFirstRequest() {
		exchange.end(protocol.Response{Status: statusOK}, nil) // the endpoint has accepted the request; the truncated body is not needed
		return
	}
	p.noteUnanswered(exchange)
	exchange.fail(exchange.failureStage(event), event.Err)
}

// failureStage returns the stage that the exchange had reached when its connection was closed.
func (x *Exchange) failureStage(event Closed) protocol.Stage {
	switch {
	case !x.sent || !event.Flushed:
		return protocol.RequestIncomplete
	case errors.Is(event.Err, protocol.ErrMalformedResponse):
		return protocol.ResponseMalformed
	}
	return protocol.RequestSent
}

// makeRoom closes the longest-idle connection if the connection limit is reached, and reports whether another connection may be
// opened.
func (p *Pool) makeRoom() bool {
	if len(p.conns) < p.limits.Conns {
		return true
	}
	var oldest *Conn
	for peer, idle := range p.idle {
		if peer.IsDiscovery() {
			continue // kept for the time when no connection can be opened
		}
		for _, conn := range idle {
			if p.conns[conn] && (oldest == nil || conn.idleSince < oldest.idleSince) {
				oldest = conn
			}
		}
	}
	if oldest != nil {
		p.close(oldest)
	}
	return oldest != nil
}

// keepIdle marks a connection as idle, to be reused by a later exchange.
func (p *Pool) keepIdle(conn *Conn) {
	conn.exchange = nil
	conn.idleSince = p.now()
	p.idle[conn.peer] = append(p.idle[conn.peer], conn)
}

// maxUsedConns is how many used connections to discovery are kept, so that one is free while calls are out on others or have fallen silent.
const maxUsedConns = 4

// keepUsed keeps a connection to discovery for exchanges with OverUsedConn, and closes the longest-idle one beyond maxUsedConns.
func (p *Pool) keepUsed(conn *Conn) {
	p.idle[conn.peer] = slices.DeleteFunc(p.idle[conn.peer], func(idle *Conn) bool { return !p.conns[idle] })
	if p.keepIdle(conn); len(p.idle[conn.peer]) > maxUsedConns {
		p.close(p.idle[conn.peer][0])
		p.idle[conn.peer] = p.idle[conn.peer][1:]
	}
}

// idleTimeout returns how long an idle connection to a peer is kept open.
func (p *Pool) idleTimeout(peer Peer) dispatch.Micros {
	if peer.IsDiscovery() {
		return p.limits.DiscoveryIdleTimeout
	}
	return p.limits.IdleTimeout
}

func (p *Pool) close(conn *Conn) {
	delete(p.conns, conn)
	conn.conn.Close()
}

// CloseIdle closes the idle connections to a peer.
func (p *Pool) CloseIdle(peer Peer) {
	for _, conn := range p.idle[peer] {
		p.close(conn)
	}
	delete(p.idle, peer)
}

// Forget closes the idle connections to a peer that is no longer used, and drops what is known of its responses.
func (p *Pool) Forget(peer Peer) {
	p.CloseIdle(peer)
	delete(p.responses, peer)
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	for peer := range p.idle {
		p.CloseIdle(peer)
	}
}

// Due returns the time at which CheckWritten or CloseExpired must be called next.
func (p *Pool) Due() dispatch.Micros {
	at := never
	if len(p.unflushed) > 0 {
		at = p.now() + flushInterval
	}
	for peer, idle := range p.idle {
		if len(idle) > 0 {
			at = min(at, idle[0].idleSince+p.idleTimeout(peer))
		}
	}
	return at
}

// CloseExpired closes connections that have been idle for their timeout. For endpoints, the timeout is shorter than that of the peers, so that no request is
// sent over a connection that the peer is closing.
func (p *Pool) CloseExpired() {
	for peer, idle := range p.idle {
		n := 0
		for n < len(idle) && (!p.conns[idle[n]] || p.now()-idle[n].idleSince >= p.idleTimeout(peer)) {
			p.close(idle[n])
			n++
		}
		if p.idle[peer] = idle[n:]; n == len(idle) {
			delete(p.idle, peer)
		}
	}
}
