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
	// flushInterval is how often to look at what the sockets have not taken yet.
	flushInterval = 50 * 1000
	// maxListBytes bounds the list of discovery, the longest answer there is.
	maxListBytes = 1 << 20
)

// Limits bound the connections of a Pool.
type Limits struct {
	Conns       int             // beyond it the one that has been idle longest is closed
	IdleTimeout dispatch.Micros // how long an idle connection is kept
}

// Loop is what a Pool needs of the event loop.
type Loop struct {
	// Now returns the time of the step.
	Now func() dispatch.Micros
	// Dial begins to open a connection.
	Dial func(address string, handler transport.Handler) *transport.Conn
	// Notify takes events, from the poller, and may wait for the event loop, which hands them to Pool.Handle.
	Notify func(Event)
}

// Pool is the connections that this courier opened.
type Pool struct {
	now       func() dispatch.Micros
	dial      func(address string, handler transport.Handler) *transport.Conn
	notify    func(Event)
	limits    Limits
	conns     map[*Conn]bool
	idle      map[Peer][]*Conn // the longest idle first; those that are not in conns have ended
	unflushed []*Exchange      // with bytes that the socket has not taken
}

// NewPool returns a pool without connections.
func NewPool(limits Limits, loop Loop) *Pool {
	return &Pool{now: loop.Now, dial: loop.Dial, notify: loop.Notify, limits: limits, conns: map[*Conn]bool{}, idle: map[Peer][]*Conn{}}
}

// SetLimits replaces the limits.
func (p *Pool) SetLimits(limits Limits) { p.limits = limits }

// Idle returns how many idle connections to a peer are open.
func (p *Pool) Idle(peer Peer) (n int) {
	for _, conn := range p.idle[peer] {
		if p.conns[conn] {
			n++
		}
	}
	return n
}

// Start sends an exchange over an idle connection, or a new one. Where no descriptor is left it fails at once; discovery gets one beyond the
// limit.
func (p *Pool) Start(exchange *Exchange) {
	if p.reuse(exchange) {
		return
	}
	if !p.makeRoom() && !exchange.Peer.IsDiscovery() {
		exchange.fail(protocol.RequestIncomplete, errNoDescriptor)
		return
	}
	limit := protocol.MaxBody
	if exchange.Peer.IsDiscovery() {
		limit = maxListBytes
	}
	conn := &Conn{pool: p, peer: exchange.Peer, parser: protocol.NewAnswers(limit), exchange: exchange}
	p.conns[conn] = true
	exchange.conn = conn
	conn.conn = p.dial(exchange.Peer.Address, conn)
}

// reuse sends an exchange over an idle connection, and reports whether there was one; those that it finds unusable are closed.
func (p *Pool) reuse(exchange *Exchange) bool {
	for pool := p.idle[exchange.Peer]; len(pool) > 0; pool = p.idle[exchange.Peer] {
		conn := pool[len(pool)-1]
		p.idle[exchange.Peer] = pool[:len(pool)-1]
		usable := p.conns[conn] && p.now()-conn.idleSince < p.limits.IdleTimeout
		if usable && conn.conn.WhileIdle(func() { p.write(conn, exchange) }) {
			return true
		}
		p.close(conn)
	}
	return false
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
	conn.requests.Add(1)
	if err := conn.conn.Write(exchange.Request); err != nil {
		p.closed(Closed{Conn: conn, Request: conn.requests.Load(), Flushed: false, Err: err})
		return
	}
	if exchange.notifyWritten(conn.conn.Flushed()); exchange.OnWritten != nil {
		p.unflushed = append(p.unflushed, exchange)
	}
}

// CheckWritten looks at what the sockets have not taken yet.
func (p *Pool) CheckWritten() {
	p.unflushed = slices.DeleteFunc(p.unflushed, func(exchange *Exchange) bool {
		exchange.notifyWritten(exchange.IsWritten())
		return exchange.OnWritten == nil || exchange.finished
	})
}

// HasResponse reports whether the complete answer to an exchange has come; it may not be handled yet. The exchange may be nil.
func (p *Pool) HasResponse(exchange *Exchange) bool {
	return p.isWaiting(exchange) && exchange.conn.answered.Load() == exchange.conn.requests.Load()
}

// HasUnread reports whether something that came since an exchange was written lies unread. The exchange may be nil.
func (p *Pool) HasUnread(exchange *Exchange) bool {
	return p.isWaiting(exchange) && exchange.conn.conn.HasUnread()
}

// isWaiting reports whether an exchange waits for its answer over an open connection.
func (p *Pool) isWaiting(exchange *Exchange) bool {
	return exchange != nil && exchange.sent && !exchange.finished && p.conns[exchange.conn]
}

// Abort gives up an exchange, and closes its connection. The exchange may be nil.
func (p *Pool) Abort(exchange *Exchange) {
	if exchange == nil || exchange.finished {
		return
	}
	exchange.finished = true
	if exchange.conn != nil {
		exchange.notifyWritten(exchange.conn.conn.Flushed())
		exchange.conn.exchange = nil
		p.close(exchange.conn)
	}
}

// Handle takes in an event of a connection of this pool.
func (p *Pool) Handle(event Event) {
	switch e := event.(type) {
	case Opened:
		p.opened(e)
	case ResponseProgress:
		p.answerBegun(e)
	case ResponseReceived:
		p.answered(e)
	case Closed:
		p.closed(e)
	}
}

func (p *Pool) opened(event Opened) {
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

// answerBegun notes that an answer has begun: the rest of it follows at once, or never. What follows an interim one may take its time.
func (p *Pool) answerBegun(event ResponseProgress) {
	exchange := event.Conn.exchange
	if exchange == nil || exchange.finished || event.Request != event.Conn.requests.Load() {
		return
	}
	exchange.begun, exchange.partialBody = event.Started, event.PartialBody
	exchange.OnResponseStart(event.Started)
}

func (p *Pool) answered(event ResponseReceived) {
	conn, exchange := event.Conn, event.Conn.exchange
	if exchange == nil || exchange.finished || event.Request != conn.requests.Load() || !exchange.sent {
		return // given up meanwhile, and its connection with it
	}
	exchange.finished = true
	exchange.notifyWritten(true)
	if event.Response.Close || !conn.conn.Flushed() || !p.conns[conn] {
		conn.exchange = nil
		p.close(conn)
	} else {
		p.keepIdle(conn)
	}
	exchange.end(event.Response, nil)
}

func (p *Pool) closed(event Closed) {
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
	if event.Status == statusOK && !exchange.NeedsBody && event.Request == conn.requests.Load() {
		exchange.end(protocol.Response{Status: statusOK}, nil) // its first line is all that counts
		return
	}
	exchange.fail(exchange.progress(event), event.Err)
}

// progress returns how far the exchange had come when its connection ended.
func (x *Exchange) progress(event Closed) protocol.Stage {
	switch {
	case !x.sent || !event.Flushed:
		return protocol.RequestIncomplete
	case errors.Is(event.Err, protocol.ErrMalformedResponse):
		return protocol.ResponseMalformed
	}
	return protocol.RequestSent
}

// makeRoom closes the connection that has been idle longest where there are as many as may be, and reports whether there is room.
func (p *Pool) makeRoom() bool {
	if len(p.conns) < p.limits.Conns {
		return true
	}
	var oldest *Conn
	for _, pool := range p.idle {
		for _, conn := range pool {
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

// keepIdle keeps a connection without an exchange for later ones.
func (p *Pool) keepIdle(conn *Conn) {
	conn.exchange = nil
	conn.idleSince = p.now()
	p.idle[conn.peer] = append(p.idle[conn.peer], conn)
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

// CloseAllIdle closes every connection without an exchange.
func (p *Pool) CloseAllIdle() {
	for peer := range p.idle {
		p.CloseIdle(peer)
	}
}

// Due returns when CheckWritten or CloseExpired is to be called next.
func (p *Pool) Due() dispatch.Micros {
	at := never
	if len(p.unflushed) > 0 {
		at = p.now() + flushInterval
	}
	for _, pool := range p.idle {
		if len(pool) > 0 {
			at = min(at, pool[0].idleSince+p.limits.IdleTimeout)
		}
	}
	return at
}

// CloseExpired closes what has been idle for long enough, well before the other side does.
func (p *Pool) CloseExpired() {
	for peer, pool := range p.idle {
		n := 0
		for n < len(pool) && (!p.conns[pool[n]] || p.now()-pool[n].idleSince >= p.limits.IdleTimeout) {
			p.close(pool[n])
			n++
		}
		if p.idle[peer] = pool[n:]; n == len(pool) {
			delete(p.idle, peer)
		}
	}
}
