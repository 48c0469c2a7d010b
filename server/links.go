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

// exchange is one request and its answer. end is called once, unless it is given up.
type exchange struct {
	peer   peer
	bytes  []byte
	whole  bool // the body is needed, not just the first line
	link   *link
	sent   bool
	over   bool
	cut    bool         // part of an answer is here
	part   []byte       // of its body
	still  func() bool  // asked once more when a new connection is up; nil for always
	leaves func() error // told just before the first byte is written, which an error stops; nil for nobody
	begun  func(bool)   // told when an answer has begun and the rest of it has not come yet; false where it was an interim one
	// written is told once, when the socket has the last byte or an answer shows that it had; nil for nobody. It may lag
	// for as long as unwritten lets it.
	written func()
	end     func(protocol.Answer, error)
}

// noted tells, once, that an exchange was written whole.
func (x *exchange) noted(whole bool) {
	if whole && x.sent && x.written != nil {
		x.written()
		x.written = nil
	}
}

// peer is who a connection leads to. An address alone is nobody: another endpoint may have taken it over, or the same
// one may have started again.
type peer struct {
	host string // empty for the platform
	addr string
	born int64
}

// link is one connection to an endpoint or the platform; one exchange at a time goes over it.
type link struct {
	router    *Router
	peer      peer
	conn      *transport.Conn
	parser    *protocol.Answers
	requests  atomic.Int64 // how many were written: the number of the last
	answered  atomic.Int64 // the request whose answer was complete; written by the poller, whose own the parser is
	toldBegun int64        // the request of which the router knows that its answer has begun, else 0
	x         *exchange
	idle      dispatch.Micros // since when
	first     atomic.Int64    // status of an answer that has begun and is not complete
}

type (
	linkUp     struct{ on *link }
	linkAnswer struct {
		on      *link
		request int64 // its number on the connection
		a       protocol.Answer
	}
	linkBegun struct {
		on      *link
		request int64
		begun   bool // false: what had begun was an interim answer
		part    []byte
	}
	linkDown struct {
		on      *link
		request int64
		status  int // of an answer that was cut short
		part    []byte
		flushed bool
		err     error
	}
)

func (l *link) Opened(*transport.Conn) { l.router.inbox <- linkUp{l} }

func (l *link) Data(conn *transport.Conn, b []byte) {
	last := l.requests.Load()
	if l.answered.Load() == last {
		conn.Fail(errUnasked)
		return
	}
	a, done, err := l.parser.Feed(b)
	status, begun := l.parser.Begun()
	l.first.Store(int64(status))
	begun = begun && (status == 0 || status >= 200) // the first bytes of its first line are enough: a peer may fall silent there
	switch {
	case done:
		l.answered.Store(last)
		a.Close = a.Close || err != nil
		l.router.inbox <- linkAnswer{l, last, a}
	case err == nil && begun != (l.toldBegun == last):
		if l.toldBegun = 0; begun {
			l.toldBegun = last
		}
		l.router.inbox <- linkBegun{l, last, begun, slices.Clone(l.parser.Part())}
	}
	if err != nil {
		conn.Fail(err)
	}
}

// errUnasked: what comes over a connection where nothing is waited for belongs to nothing, and what comes next
// could not be told from it.
var errUnasked = errors.New("an answer nobody asked for")

func (l *link) Closed(conn *transport.Conn, err error) {
	if a, ok := l.parser.End(); ok {
		l.router.inbox <- linkAnswer{l, l.requests.Load(), a}
	}
	if err == nil {
		err = errors.New("closed by the other side")
	}
	status, _ := l.parser.Begun()
	l.router.inbox <- linkDown{l, l.requests.Load(), status, slices.Clone(l.parser.Part()), conn.Flushed(), err}
}

// links are the connections this courier opened.
type links struct {
	r    *Router
	idle map[peer][]*link // the longest idle first
	slow []*exchange      // with bytes that the socket has not taken
	all  map[*link]bool
	most int
	rest dispatch.Micros // how long an idle connection is kept
}

func (ls *links) init(r *Router) {
	ls.r, ls.idle, ls.all = r, map[peer][]*link{}, map[*link]bool{}
	ls.limit()
}

// limit takes the limits of the deployment.
func (ls *links) limit() {
	r := ls.r
	ls.most = (r.dep.Sockets - OperatorSockets(r.dep)) * 4 / 10
	// The other side closes at the latest after the whole of it, counted from when it wrote its answer, and a
	// request that comes later is lost: the longest way there and back that is told of is under 300 ms.
	idle := r.dep.Charter.IdleTimeout
	ls.rest = idle - min(idle/4, 300*1000)
}

// start sends an exchange over an idle connection, or a new one.
func (ls *links) start(x *exchange) {
	for pool := ls.idle[x.peer]; len(pool) > 0; pool = ls.idle[x.peer] {
		l := pool[len(pool)-1]
		ls.idle[x.peer] = pool[:len(pool)-1]
		if ls.all[l] && ls.r.now-l.idle < ls.rest && l.conn.Quietly(func() { ls.write(l, x) }) {
			return
		}
		ls.close(l)
	}
	if !ls.makeRoom() && x.peer.host != "" {
		x.over = true
		x.end(protocol.Answer{}, &protocol.Failure{Progress: protocol.BeforeLastByte, Err: errors.New("no descriptor left")})
		return
	}
	limit := protocol.MaxBody
	if x.peer.host == "" {
		limit = maxList
	}
	l := &link{router: ls.r, peer: x.peer, parser: protocol.NewAnswers(limit), x: x}
	ls.all[l] = true
	x.link = l
	l.conn = ls.r.driver.Dial(x.peer.addr, ls.r.dep.ConnectTimeout, l)
}

// maxList bounds what is read of discovery's list, the longest answer there is.
const maxList = 1 << 20

func (ls *links) write(l *link, x *exchange) {
	if x.leaves != nil {
		if err := x.leaves(); err != nil {
			l.x, x.over = nil, true
			ls.rests(l)
			x.end(protocol.Answer{}, &protocol.Failure{Progress: protocol.BeforeLastByte, Err: err})
			return
		}
	}
	l.x, x.link, x.sent = x, l, true
	l.requests.Add(1)
	if err := l.conn.Write(x.bytes); err != nil {
		ls.down(linkDown{on: l, request: l.requests.Load(), flushed: false, err: err})
		return
	}
	if x.noted(l.conn.Flushed()); x.written != nil {
		ls.slow = append(ls.slow, x)
	}
}

const slowEvery = 50 * 1000

// unwritten is when to look again at what the sockets have not taken yet.
func (ls *links) unwritten() dispatch.Micros {
	if len(ls.slow) == 0 {
		return never
	}
	return ls.r.now + slowEvery
}

// flushed looks at that.
func (ls *links) flushed() {
	ls.slow = slices.DeleteFunc(ls.slow, func(x *exchange) bool {
		x.noted(ls.out(x))
		return x.written == nil || x.over
	})
}

// out tells whether the last byte of an exchange has been handed to the socket.
func (ls *links) out(x *exchange) bool { return x.sent && x.link.conn.Flushed() }

// heard tells whether the whole answer to an exchange has come; it may not be taken in yet.
func (ls *links) heard(x *exchange) bool {
	return x != nil && x.sent && !x.over && ls.all[x.link] && x.link.answered.Load() == x.link.requests.Load()
}

// stirs tells whether something that came since an exchange was written lies unread.
func (ls *links) stirs(x *exchange) bool {
	return x != nil && x.sent && !x.over && ls.all[x.link] && x.link.conn.Stirs()
}

// abort gives up an exchange; its connection goes with it.
func (ls *links) abort(x *exchange) {
	if x == nil || x.over {
		return
	}
	x.over = true
	if x.link != nil {
		x.noted(x.link.conn.Flushed())
		x.link.x = nil
		ls.close(x.link)
	}
}

func (ls *links) close(l *link) {
	delete(ls.all, l)
	l.conn.Close()
}

func (ls *links) up(e linkUp) {
	l := e.on
	x := l.x
	if x == nil || !ls.all[l] {
		ls.close(l)
		return
	}
	if x.still == nil || x.still() {
		ls.write(l, x)
		return
	}
	l.x, x.over = nil, true
	ls.rests(l)
	x.end(protocol.Answer{}, errOvertaken)
}

// errOvertaken: while the connection came up it was told that nothing may be sent there.
var errOvertaken = errors.New("overtaken by a drain or a wait")

func (ls *links) rests(l *link) {
	l.idle = ls.r.now
	ls.idle[l.peer] = append(ls.idle[l.peer], l)
}

func (ls *links) answered(e linkAnswer) {
	l, x := e.on, e.on.x
	if x == nil || x.over || e.request != l.requests.Load() || !x.sent {
		return // given up meanwhile, and its connection with it
	}
	l.x, x.over = nil, true
	x.noted(true)
	if e.a.Close || !l.conn.Flushed() || !ls.all[l] {
		ls.close(l)
	} else {
		ls.rests(l)
	}
	x.end(e.a, nil)
}

// begun: the rest of an answer follows at once, or never. What follows an interim one may take its time.
func (ls *links) begun(e linkBegun) {
	if x := e.on.x; x != nil && !x.over && e.request == e.on.requests.Load() {
		x.cut, x.part = e.begun, e.part
		x.begun(e.begun)
	}
}

func (ls *links) down(e linkDown) {
	l, x := e.on, e.on.x
	if errors.Is(e.err, protocol.ErrAnswer) || errors.Is(e.err, errUnasked) {
		ls.r.malformed.answers, ls.r.malformed.answer = ls.r.malformed.answers+1, fmt.Errorf("%s %s: %w", l.peer.host, l.peer.addr, e.err)
	}
	if !ls.all[l] {
		return
	}
	delete(ls.all, l)
	if x == nil || x.over {
		return
	}
	l.x, x.over = nil, true
	x.noted(e.flushed)
	if len(e.part) > len(x.part) {
		x.part = e.part
	}
	if e.status == 200 && !x.whole && e.request == l.requests.Load() {
		x.end(protocol.Answer{Status: 200}, nil) // its first line is all that counts
		return
	}
	progress := protocol.BeforeLastByte
	switch {
	case !x.sent || !e.flushed:
	case errors.Is(e.err, protocol.ErrAnswer):
		progress = protocol.InAnswer
	default:
		progress = protocol.AfterLastByte
	}
	x.end(protocol.Answer{}, &protocol.Failure{Progress: progress, Err: e.err})
}

// makeRoom closes the connection that has been idle longest when there are many, and tells whether there is room.
func (ls *links) makeRoom() bool {
	if len(ls.all) < ls.most {
		return true
	}
	var oldest *link
	for _, pool := range ls.idle {
		for _, l := range pool {
			if ls.all[l] && (oldest == nil || l.idle < oldest.idle) {
				oldest = l
			}
		}
	}
	if oldest != nil {
		ls.close(oldest)
	}
	return oldest != nil
}

func (ls *links) closeIdle(to peer) {
	for _, l := range ls.idle[to] {
		ls.close(l)
	}
	delete(ls.idle, to)
}

// closeResting closes every connection on which nothing is out.
func (ls *links) closeResting() {
	for to := range ls.idle {
		ls.closeIdle(to)
	}
}

// due is when the next idle connection has been kept long enough.
func (ls *links) due() dispatch.Micros {
	at := never
	for _, pool := range ls.idle {
		if len(pool) > 0 {
			at = min(at, pool[0].idle+ls.rest)
		}
	}
	return at
}

// expire closes what has been idle for long enough, well before the other side does.
func (ls *links) expire() {
	for to, pool := range ls.idle {
		n := 0
		for n < len(pool) && (!ls.all[pool[n]] || ls.r.now-pool[n].idle >= ls.rest) {
			ls.close(pool[n])
			n++
		}
		if ls.idle[to] = pool[n:]; n == len(pool) {
			delete(ls.idle, to)
		}
	}
}
