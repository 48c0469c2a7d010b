package server

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/transport"
)

// exchange is one request and its answer. onEnd is called once, unless the exchange is given up.
type exchange struct {
	peer        peerID
	bytes       []byte
	needsBody   bool // the body is needed, not just the first line
	conn        *endpointConn
	sent        bool
	finished    bool
	begun       bool         // part of an answer is here
	partialBody []byte       // of its body
	isWanted    func() bool  // asked once more when a new connection is up; nil for always
	beforeWrite func() error // reported just before the first byte is written, which an error stops; nil for nobody
	onBegin     func(bool)   // reported when an answer has begun and the rest of it has not come yet; false where it was an interim one
	// written is notified once, when the socket has the last byte or an answer shows that it had; nil for nobody. It may lag
	// for as long as unwritten lets it.
	onWritten func()
	onEnd     func(protocol.Answer, error)
}

// notifyWritten reports, once, that an exchange was written completely.
func (x *exchange) notifyWritten(whole bool) {
	if whole && x.sent && x.onWritten != nil {
		x.onWritten()
		x.onWritten = nil
	}
}

// peerID is the peer of a connection. An address alone is not enough: another endpoint may have taken it over, or the same one may have
// been restarted.
type peerID struct {
	host      string // empty for the platform
	addr      string
	startedAt int64
}

// endpointConn is one connection to an endpoint or to discovery; one exchange at a time goes over it.
type endpointConn struct {
	server        *Server
	peer          peerID
	conn          *transport.Conn
	parser        *protocol.Answers
	requests      atomic.Int64 // how many were written: the number of the last
	answered      atomic.Int64 // the request whose answer was complete; written by the poller, whose own the parser is
	reportedBegun int64        // the request of which the event loop knows that its answer has begun, else 0
	exchange      *exchange
	idleSince     dispatch.Micros // since when
	partialStatus atomic.Int64    // status of an answer that has begun and is not complete
}

type (
	connUp         struct{ conn *endpointConn }
	answerReceived struct {
		conn    *endpointConn
		request int64 // its number on the connection
		answer  protocol.Answer
	}
	answerBegun struct {
		conn        *endpointConn
		request     int64
		begun       bool // false: what had begun was an interim answer
		partialBody []byte
	}
	connDown struct {
		conn        *endpointConn
		request     int64
		status      int // of an answer that was cut short
		partialBody []byte
		flushed     bool
		err         error
	}
)

func (l *endpointConn) Opened(*transport.Conn) { l.server.queue <- connUp{l} }

func (l *endpointConn) Data(conn *transport.Conn, b []byte) {
	last := l.requests.Load()
	if l.answered.Load() == last {
		conn.Fail(errUnexpectedAnswer)
		return
	}
	a, done, err := l.parser.Feed(b)
	status, begun := l.parser.Begun()
	l.partialStatus.Store(int64(status))
	begun = begun && (status == 0 || status >= 200) // the first bytes of its first line are enough: a peer may fall silent there
	switch {
	case done:
		l.answered.Store(last)
		a.Close = a.Close || err != nil
		l.server.queue <- answerReceived{l, last, a}
	case err == nil && begun != (l.reportedBegun == last):
		if l.reportedBegun = 0; begun {
			l.reportedBegun = last
		}
		l.server.queue <- answerBegun{l, last, begun, slices.Clone(l.parser.Part())}
	}
	if err != nil {
		conn.Fail(err)
	}
}

// errUnexpectedAnswer: bytes that come while no answer is due belong to no request, and the next answer could not be told from them.
var errUnexpectedAnswer = errors.New("an answer nobody asked for")

func (l *endpointConn) Closed(conn *transport.Conn, err error) {
	if a, ok := l.parser.End(); ok {
		l.server.queue <- answerReceived{l, l.requests.Load(), a}
	}
	if err == nil {
		err = errors.New("closed by the other side")
	}
	status, _ := l.parser.Begun()
	l.server.queue <- connDown{l, l.requests.Load(), status, slices.Clone(l.parser.Part()), conn.Flushed(), err}
}

// endpointConns are the connections that this courier opened.
type endpointConns struct {
	server      *Server
	idle        map[peerID][]*endpointConn // the longest idle first
	unflushed   []*exchange                // with bytes that the socket has not taken
	all         map[*endpointConn]bool
	maxConns    int
	idleTimeout dispatch.Micros // how long an idle connection is kept
}

func (ls *endpointConns) init(r *Server) {
	ls.server, ls.idle, ls.all = r, map[peerID][]*endpointConn{}, map[*endpointConn]bool{}
	ls.updateLimits()
}

// updateLimits takes the limits of the deployment.
func (ls *endpointConns) updateLimits() {
	r := ls.server
	ls.maxConns = (r.deployment.Sockets - AdminSockets(r.deployment)) * 4 / 10
	// The other side closes at the latest after the whole of it, counted from when it wrote its answer, and a
	// request that comes later is lost: the longest way there and back that is notified of is under 300 ms.
	idle := r.deployment.Dispatch.IdleTimeout
	ls.idleTimeout = idle - min(idle/4, 300*1000)
}

// start sends an exchange over an idle connection, or a new one.
func (ls *endpointConns) start(exchange *exchange) {
	for pool := ls.idle[exchange.peer]; len(pool) > 0; pool = ls.idle[exchange.peer] {
		conn := pool[len(pool)-1]
		ls.idle[exchange.peer] = pool[:len(pool)-1]
		if ls.all[conn] && ls.server.now-conn.idleSince < ls.idleTimeout && conn.conn.WhileIdle(func() { ls.write(conn, exchange) }) {
			return
		}
		ls.close(conn)
	}
	if !ls.evictIdle() && exchange.peer.host != "" {
		exchange.finished = true
		exchange.onEnd(protocol.Answer{}, &protocol.Failure{Progress: protocol.BeforeLastByte, Err: errors.New("no descriptor left")})
		return
	}
	limit := protocol.MaxBody
	if exchange.peer.host == "" {
		limit = maxList
	}
	conn := &endpointConn{server: ls.server, peer: exchange.peer, parser: protocol.NewAnswers(limit), exchange: exchange}
	ls.all[conn] = true
	exchange.conn = conn
	conn.conn = ls.server.driver.Dial(exchange.peer.addr, ls.server.deployment.ConnectTimeout, conn)
}

// maxList bounds the list of discovery, the longest answer there is, in bytes.
const maxList = 1 << 20

func (ls *endpointConns) write(conn *endpointConn, exchange *exchange) {
	if exchange.beforeWrite != nil {
		if err := exchange.beforeWrite(); err != nil {
			conn.exchange, exchange.finished = nil, true
			ls.keepIdle(conn)
			exchange.onEnd(protocol.Answer{}, &protocol.Failure{Progress: protocol.BeforeLastByte, Err: err})
			return
		}
	}
	conn.exchange, exchange.conn, exchange.sent = exchange, conn, true
	conn.requests.Add(1)
	if err := conn.conn.Write(exchange.bytes); err != nil {
		ls.down(connDown{conn: conn, request: conn.requests.Load(), flushed: false, err: err})
		return
	}
	if exchange.notifyWritten(conn.conn.Flushed()); exchange.onWritten != nil {
		ls.unflushed = append(ls.unflushed, exchange)
	}
}

const flushInterval = 50 * 1000

// nextFlushCheck returns when to look again at what the sockets have not taken yet.
func (ls *endpointConns) nextFlushCheck() dispatch.Micros {
	if len(ls.unflushed) == 0 {
		return never
	}
	return ls.server.now + flushInterval
}

// checkWritten looks at what the sockets have not taken yet.
func (ls *endpointConns) checkWritten() {
	ls.unflushed = slices.DeleteFunc(ls.unflushed, func(exchange *exchange) bool {
		exchange.notifyWritten(ls.isWritten(exchange))
		return exchange.onWritten == nil || exchange.finished
	})
}

// isWritten reports whether the last byte of an exchange has been handed to the socket.
func (ls *endpointConns) isWritten(exchange *exchange) bool {
	return exchange.sent && exchange.conn.conn.Flushed()
}

// hasAnswer reports whether the complete answer to an exchange has come; it may not be handled yet.
func (ls *endpointConns) hasAnswer(exchange *exchange) bool {
	return exchange != nil && exchange.sent && !exchange.finished && ls.all[exchange.conn] && exchange.conn.answered.Load() == exchange.conn.requests.Load()
}

// hasUnread reports whether something that came since an exchange was written lies unread.
func (ls *endpointConns) hasUnread(exchange *exchange) bool {
	return exchange != nil && exchange.sent && !exchange.finished && ls.all[exchange.conn] && exchange.conn.conn.HasUnread()
}

// abort gives up an exchange, and closes its connection.
func (ls *endpointConns) abort(exchange *exchange) {
	if exchange == nil || exchange.finished {
		return
	}
	exchange.finished = true
	if exchange.conn != nil {
		exchange.notifyWritten(exchange.conn.conn.Flushed())
		exchange.conn.exchange = nil
		ls.close(exchange.conn)
	}
}

func (ls *endpointConns) close(conn *endpointConn) {
	delete(ls.all, conn)
	conn.conn.Close()
}

func (ls *endpointConns) up(event connUp) {
	conn := event.conn
	exchange := conn.exchange
	if exchange == nil || !ls.all[conn] {
		ls.close(conn)
		return
	}
	if exchange.isWanted == nil || exchange.isWanted() {
		ls.write(conn, exchange)
		return
	}
	conn.exchange, exchange.finished = nil, true
	ls.keepIdle(conn)
	exchange.onEnd(protocol.Answer{}, errOvertaken)
}

// errOvertaken: while the connection was being opened it became known that nothing may be sent there.
var errOvertaken = errors.New("overtaken by a drain or a wait")

func (ls *endpointConns) keepIdle(conn *endpointConn) {
	conn.idleSince = ls.server.now
	ls.idle[conn.peer] = append(ls.idle[conn.peer], conn)
}

func (ls *endpointConns) answered(event answerReceived) {
	conn, exchange := event.conn, event.conn.exchange
	if exchange == nil || exchange.finished || event.request != conn.requests.Load() || !exchange.sent {
		return // given up meanwhile, and its connection with it
	}
	conn.exchange, exchange.finished = nil, true
	exchange.notifyWritten(true)
	if event.answer.Close || !conn.conn.Flushed() || !ls.all[conn] {
		ls.close(conn)
	} else {
		ls.keepIdle(conn)
	}
	exchange.onEnd(event.answer, nil)
}

// answerBegun notes that an answer has begun: the rest of it follows at once, or never. What follows an interim one may take its time.
func (ls *endpointConns) answerBegun(event answerBegun) {
	if exchange := event.conn.exchange; exchange != nil && !exchange.finished && event.request == event.conn.requests.Load() {
		exchange.begun, exchange.partialBody = event.begun, event.partialBody
		exchange.onBegin(event.begun)
	}
}

func (ls *endpointConns) down(event connDown) {
	conn, exchange := event.conn, event.conn.exchange
	if errors.Is(event.err, protocol.ErrAnswer) || errors.Is(event.err, errUnexpectedAnswer) {
		ls.server.malformed.answers, ls.server.malformed.lastAnswer = ls.server.malformed.answers+1, fmt.Errorf("%s %s: %w", conn.peer.host, conn.peer.addr, event.err)
	}
	if !ls.all[conn] {
		return
	}
	delete(ls.all, conn)
	if exchange == nil || exchange.finished {
		return
	}
	conn.exchange, exchange.finished = nil, true
	exchange.notifyWritten(event.flushed)
	if len(event.partialBody) > len(exchange.partialBody) {
		exchange.partialBody = event.partialBody
	}
	if event.status == 200 && !exchange.needsBody && event.request == conn.requests.Load() {
		exchange.onEnd(protocol.Answer{Status: 200}, nil) // its first line is all that counts
		return
	}
	progress := protocol.BeforeLastByte
	switch {
	case !exchange.sent || !event.flushed:
	case errors.Is(event.err, protocol.ErrAnswer):
		progress = protocol.InAnswer
	default:
		progress = protocol.AfterLastByte
	}
	exchange.onEnd(protocol.Answer{}, &protocol.Failure{Progress: progress, Err: event.err})
}

// evictIdle closes the connection that has been idle longest when there are many, and reports whether there is room.
func (ls *endpointConns) evictIdle() bool {
	if len(ls.all) < ls.maxConns {
		return true
	}
	var oldest *endpointConn
	for _, pool := range ls.idle {
		for _, conn := range pool {
			if ls.all[conn] && (oldest == nil || conn.idleSince < oldest.idleSince) {
				oldest = conn
			}
		}
	}
	if oldest != nil {
		ls.close(oldest)
	}
	return oldest != nil
}

func (ls *endpointConns) closeIdle(to peerID) {
	for _, conn := range ls.idle[to] {
		ls.close(conn)
	}
	delete(ls.idle, to)
}

// closeAllIdle closes every connection without an exchange.
func (ls *endpointConns) closeAllIdle() {
	for to := range ls.idle {
		ls.closeIdle(to)
	}
}

// due returns when the next idle connection has been kept long enough.
func (ls *endpointConns) due() dispatch.Micros {
	at := never
	for _, pool := range ls.idle {
		if len(pool) > 0 {
			at = min(at, pool[0].idleSince+ls.idleTimeout)
		}
	}
	return at
}

// expire closes what has been idle for long enough, well before the server does.
func (ls *endpointConns) expire() {
	for to, pool := range ls.idle {
		n := 0
		for n < len(pool) && (!ls.all[pool[n]] || ls.server.now-pool[n].idleSince >= ls.idleTimeout) {
			ls.close(pool[n])
			n++
		}
		if ls.idle[to] = pool[n:]; n == len(pool) {
			delete(ls.idle, to)
		}
	}
}
