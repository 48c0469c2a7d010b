package environment

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
)

// endpoint is one endpoint on a socket. Its door is open, shut (connections are refused) or stuffed (they never come up).
type endpoint struct {
	endpointmodel.Endpoint
	world    *World
	site     *site
	address  string
	mu       sync.Mutex
	door     endpointmodel.Link
	listener *net.TCPListener
	plugs    []net.Conn // what keeps the door stuffed
	conns    map[*net.TCPConn]bool
	closed   bool
}

// put puts up an endpoint, at an address that another one had or a new one.
func (w *World) put(s *site, e endpointmodel.Endpoint, address string) (*endpoint, error) {
	ep := &endpoint{Endpoint: e, world: w, site: s, address: address, door: endpointmodel.Refused, conns: map[*net.TCPConn]bool{}}
	if address == "" {
		ep.address = "127.0.0.1:0"
	}
	if err := ep.listen(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints[e.ID] = ep
	return ep, nil
}

// listen opens the door; the caller holds the lock, or is alone.
func (e *endpoint) listen() error {
	var l net.Listener
	var err error
	for range 20 { // another process may hold the port for a moment, as it is outside of all ranges only while it listens
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.listener, e.address, e.door = l.(*net.TCPListener), l.Addr().String(), endpointmodel.Connected
	e.world.wg.Add(1)
	go e.accept(e.listener)
	return nil
}

func (e *endpoint) accept(l *net.TCPListener) {
	defer e.world.wg.Done()
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return // stuffed: accepting goes on when it is opened again
		}
		if err != nil {
			return
		}
		link := endpointmodel.Refused
		e.site.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			link = p.Connect(now, e.ID)
			return nil
		})
		if link != endpointmodel.Connected {
			reset(conn)
			e.gate()
			continue
		}
		if books := e.world.Books; books != nil {
			books.ConnectionOpened()
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		e.world.wg.Add(1)
		go e.serve(conn)
		e.gate()
	}
}

// gate brings the door to what the partner says, and resets connections where they are cut off.
func (e *endpoint) gate() {
	e.site.mu.Lock()
	want, dead := e.site.partner.Door(e.ID), e.site.partner.Dead(e.ID)
	e.site.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if dead {
		e.resetAll()
	}
	if e.closed || want == e.door {
		return
	}
	was := e.door
	e.door = want
	switch {
	case want == endpointmodel.NoResponse:
		e.stuff()
	case was == endpointmodel.NoResponse:
		for _, c := range e.plugs {
			reset(c.(*net.TCPConn))
		}
		e.plugs = nil
		e.shut()
		e.resetAll()
		if want == endpointmodel.Connected {
			e.reopen()
		}
	case want == endpointmodel.Refused:
		e.shut()
	default:
		e.reopen()
	}
}

func (e *endpoint) reopen() {
	if err := e.listen(); err != nil {
		e.world.log.Warn("endpoint not opened again", "endpoint", e.ID, "error", err)
		e.door = endpointmodel.Refused
	}
}

func (e *endpoint) shut() {
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
}

// stuff lets new connections neither come up nor be refused: the queue of those not accepted is made as short as it can
// be, and filled, so that the kernel drops what asks for one more.
func (e *endpoint) stuff() {
	if e.listener == nil {
		if err := e.listen(); err != nil {
			return
		}
		e.door = endpointmodel.NoResponse
	}
	e.listener.SetDeadline(time.Now())
	if raw, err := e.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	}
	for range 4 {
		c, err := net.DialTimeout("tcp", e.address, 20*time.Millisecond)
		if err != nil {
			break
		}
		e.plugs = append(e.plugs, c)
	}
}

func (e *endpoint) resetAll() {
	for c := range e.conns {
		reset(c)
	}
	clear(e.conns)
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.shut()
	for _, c := range e.plugs {
		c.Close()
	}
	e.resetAll()
}

// inbound is one request off a connection.
type inbound struct {
	req   *http.Request
	body  []byte
	first dispatch.Micros // when its first byte had come
}

// serve reads calls off a connection and answers them, one at a time.
func (e *endpoint) serve(conn *net.TCPConn) {
	defer e.world.wg.Done()
	e.world.opened(1)
	defer e.world.opened(-1)
	requests, quit := make(chan inbound), make(chan struct{})
	e.world.wg.Add(1)
	go func() {
		defer e.world.wg.Done()
		defer close(requests)
		e.readAll(conn, requests, quit)
	}()
	for in := range requests {
		if !e.call(conn, in, requests) {
			break
		}
	}
	close(quit)
	conn.Close()
	e.mu.Lock()
	_, mine := e.conns[conn]
	delete(e.conns, conn)
	e.mu.Unlock()
	if mine { // else it was cut off, and the partner has counted it out
		e.site.do(func(p *endpointmodel.Destination, _ dispatch.Micros) []endpointmodel.Output {
			p.Disconnect(e.ID)
			return nil
		})
	}
	e.gate()
}

const maxBody = 64 << 10

func (e *endpoint) readAll(conn net.Conn, requests chan<- inbound, quit <-chan struct{}) {
	br := bufio.NewReader(conn)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		first := e.world.Clock.Now()
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody*8))
		if err != nil {
			return
		}
		select {
		case requests <- inbound{req, body, first}:
		case <-quit:
			return
		}
	}
}

// call answers one request; it tells whether the connection goes on.
func (e *endpoint) call(conn *net.TCPConn, in inbound, closed <-chan inbound) bool {
	switch {
	case in.req.Method == http.MethodPost && in.req.URL.Path == "/hook":
		return e.carry(conn, in, []dispatch.MessageID{dispatch.MessageID(in.req.Header.Get("X-Call-Id"))}, false, closed)
	case in.req.Method == http.MethodPost && in.req.URL.Path == "/hook/batch":
		ids, err := batch(in.body)
		if err != nil {
			return e.write(conn, 400, "", err.Error())
		}
		if len(ids) > e.site.partner.Plan().PerCall {
			return e.write(conn, 413, "", "too many records in one call")
		}
		return e.carry(conn, in, ids, true, closed)
	}
	return e.write(conn, 404, "", "")
}

// batch reads the ids of a call with several messages.
func batch(body []byte) (ids []dispatch.MessageID, err error) {
	for len(body) > 0 {
		line, rest, ok := bytes.Cut(body, []byte("\r\n"))
		parts := strings.Fields(string(line))
		if !ok || len(parts) != 3 {
			return nil, fmt.Errorf("a line with id, key and length was expected, not %q", line)
		}
		n, err := strconv.Atoi(parts[2])
		if err != nil || n < 0 || len(rest) < n+2 {
			return nil, fmt.Errorf("%s: %q is no length of what follows", parts[0], parts[2])
		}
		for _, id := range ids {
			if id == dispatch.MessageID(parts[0]) {
				return nil, fmt.Errorf("%s is named twice", id)
			}
		}
		ids, body = append(ids, dispatch.MessageID(parts[0])), rest[n+2:]
	}
	if len(ids) == 0 {
		return nil, errors.New("no messages")
	}
	return ids, nil
}

// admitted is what a call's messages come to before the partner sees it.
type admitted struct {
	courier  int
	items    []endpointmodel.Item
	ids      []dispatch.MessageID
	attempts []int
	ends     map[dispatch.MessageID]string // what is not sent on
	full     bool
}

// admit looks the messages of a call up, counts attempts and takes a slot.
func (e *endpoint) admit(in inbound, ids []dispatch.MessageID) (a admitted, fault string) {
	w := e.world
	w.mu.Lock()
	defer w.mu.Unlock()
	a.ends, a.courier = map[dispatch.MessageID]string{}, -1
	for _, id := range ids {
		r := w.messages[id]
		if r == nil && w.AllowUnknownMessages {
			r = &Message{Origin: id, Dest: e.site.no}
			w.messages[id] = r
			w.Books.Offered(in.first, id, 0, 0, dispatch.DestinationID(r.Dest))
			w.Books.Accepted(in.first, id, id, 0, "", in.first+dispatch.Micros(w.Scenario.Definition.Classes[0].Deadline*1e6))
		}
		switch {
		case r == nil:
			return a, "no client handed in " + string(id)
		case r.Dest != e.site.no:
			return a, fmt.Sprintf("%s is for destination %d and came to %s, which is of %d", id, r.Dest, e.ID, e.site.no)
		}
		a.courier = r.Courier
		wl := &w.Scenario.Definition.Classes[r.Class]
		switch r.Attempts++; {
		case r.Over:
			a.ends[id] = "expired"
		case r.Attempts > w.Scenario.Definition.Fleet.MaxAttempts:
			a.ends[id] = "no_more"
		default:
			a.ids = append(a.ids, id)
			a.items = append(a.items, endpointmodel.Item{Message: id, Origin: r.Origin, Repeat: invariants.ParseIdempotency(wl.Idempotency),
				DedupOneZone: wl.DedupOneZone, DedupWindow: dispatch.Micros(wl.DedupWindow * 1e6)})
		}
	}
	if a.full = w.out[a.courier] >= w.Scenario.Slots; !a.full {
		w.out[a.courier]++
	}
	for _, id := range a.ids {
		a.attempts = append(a.attempts, w.Books.AttemptSent(in.first, id, invariants.Target{Dest: dispatch.DestinationID(e.site.no),
			Route: e.site.route(e.ID), Endpoint: e.ID, Zone: e.Zone}))
	}
	return a, ""
}

func (s *site) route(id dispatch.EndpointID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partner.Route(id)
}

// carry plays one call with messages.
func (e *endpoint) carry(conn *net.TCPConn, in inbound, ids []dispatch.MessageID, several bool, closed <-chan inbound) bool {
	w := e.world
	a, fault := e.admit(in, ids)
	if fault != "" {
		w.Books.CourierCrashed(in.first, max(0, a.courier), fault)
		return e.write(conn, 400, "", fault)
	}
	settle := func(o dispatch.Outcome, wait dispatch.Micros) {
		for i, id := range a.ids {
			w.Books.AttemptEnded(w.Clock.Now(), id, a.attempts[i], o, wait)
		}
	}
	if a.full {
		settle(dispatch.Unprocessed, 0)
		return e.write(conn, 503, "X-Egress-Full: 1\r\n", "")
	}
	defer func() {
		w.mu.Lock()
		w.out[a.courier]--
		w.mu.Unlock()
	}()
	if len(a.ids) == 0 {
		if !several {
			return e.write(conn, map[string]int{"expired": 410, "no_more": 504}[a.ends[ids[0]]], "", "")
		}
		return e.write(conn, 200, "", e.ends(ids, a.ends, ""))
	}
	w.mu.Lock()
	w.calls++
	call := &endpointmodel.Call{ID: w.calls, Courier: a.courier, Endpoint: e.ID, Items: a.items}
	w.mu.Unlock()
	answer := make(chan endpointmodel.Answer, 1)
	way := w.way(a.courier, e.Zone)
	time.AfterFunc(way, func() {
		e.site.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			e.site.waiting[call.ID] = answer
			return p.Receive(now, call)
		})
		e.site.gates()
	})
	var got endpointmodel.Answer
	select {
	case got = <-answer:
	case <-closed: // the courier hung up, or was cut off
		e.site.do(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			delete(e.site.waiting, call.ID)
			return p.Cancel(now, call)
		})
		settle(dispatch.TimedOut, 0)
		return false
	}
	if got.Outcome == dispatch.Broken {
		settle(dispatch.Broken, 0)
		conn.SetLinger(0)
		return false
	}
	time.Sleep(way)
	settle(got.Outcome, got.RetryAfter) // before it is written, as the courier may act on it at once
	return e.reply(conn, ids, a, got, several)
}

func (e *endpoint) reply(conn net.Conn, ids []dispatch.MessageID, a admitted, got endpointmodel.Answer, several bool) bool {
	head := ""
	if len(got.LoadReport) == 2 {
		head = fmt.Sprintf("X-Load-Report: x0=%.4f,x1=%.4f\r\n", got.LoadReport[0], got.LoadReport[1])
	}
	status, body := 200, ""
	switch got.Outcome {
	case dispatch.Failure:
		status = 500
	case dispatch.Throttled:
		if status = 503; got.RetryAfter > 0 {
			status = 429
			head += fmt.Sprintf("X-Backoff-Ms: %d\r\n", int64(got.RetryAfter+999)/1000)
		}
	default:
		if several {
			body = e.ends(ids, a.ends, "accepted")
		}
	}
	return e.write(conn, status, head, body)
}

// ends is the body of an answer for several.
func (e *endpoint) ends(ids []dispatch.MessageID, ends map[dispatch.MessageID]string, otherwise string) string {
	var b strings.Builder
	for _, id := range ids {
		end := ends[id]
		if end == "" {
			end = otherwise
		}
		fmt.Fprintf(&b, "%s %s\r\n", id, end)
	}
	return b.String()
}

func (e *endpoint) write(conn net.Conn, status int, head, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil
}
