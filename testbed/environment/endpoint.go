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

// endpoint is one endpoint on a socket. It accepts connections (endpointmodel.Connected), refuses them (endpointmodel.Refused), or lets
// connection attempts time out (endpointmodel.NoResponse).
type endpoint struct {
	endpointmodel.Endpoint
	world        *World
	destination  *destination
	address      string
	mu           sync.Mutex
	connectState endpointmodel.ConnectResult
	listener     *net.TCPListener
	backlogConns []net.Conn // connections that fill the accept backlog, so that further connection attempts time out
	conns        map[*net.TCPConn]bool
	closed       bool
}

// addEndpoint starts an endpoint at the given address, or at a new one if address is empty.
func (w *World) addEndpoint(d *destination, e endpointmodel.Endpoint, address string) (*endpoint, error) {
	ep := &endpoint{Endpoint: e, world: w, destination: d, address: address, connectState: endpointmodel.Refused, conns: map[*net.TCPConn]bool{}}
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

// listen starts to accept connections. The caller holds the lock, or is the only one that uses the endpoint.
func (e *endpoint) listen() error {
	var l net.Listener
	var err error
	for range 20 { // while the endpoint does not listen, another process may use its port for a moment
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.listener, e.address, e.connectState = l.(*net.TCPListener), l.Addr().String(), endpointmodel.Connected
	e.world.wg.Add(1)
	go e.accept(e.listener)
	return nil
}

func (e *endpoint) accept(l *net.TCPListener) {
	defer e.world.wg.Done()
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return // deadline set by fillBacklog; reopen starts a new accept loop
		}
		if err != nil {
			return
		}
		result := endpointmodel.Refused
		e.destination.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			result = p.Connect(now, e.ID)
			return nil
		})
		if result != endpointmodel.Connected {
			reset(conn)
			e.updateListener()
			continue
		}
		if ledger := e.world.Ledger; ledger != nil {
			ledger.ConnectionOpened()
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		e.world.wg.Add(1)
		go e.serve(conn)
		e.updateListener()
	}
}

// updateListener makes the listener follow the state of the model, and resets all connections if the endpoint is down.
func (e *endpoint) updateListener() {
	e.destination.mu.Lock()
	want, down := e.destination.model.ConnectStatus(e.ID), e.destination.model.IsDown(e.ID)
	e.destination.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if down {
		e.resetAll()
	}
	if e.closed || want == e.connectState {
		return
	}
	before := e.connectState
	e.connectState = want
	switch {
	case want == endpointmodel.NoResponse:
		e.fillBacklog()
	case before == endpointmodel.NoResponse:
		for _, c := range e.backlogConns {
			reset(c.(*net.TCPConn))
		}
		e.backlogConns = nil
		e.closeListener()
		e.resetAll()
		if want == endpointmodel.Connected {
			e.reopen()
		}
	case want == endpointmodel.Refused:
		e.closeListener()
	default:
		e.reopen()
	}
}

func (e *endpoint) reopen() {
	if err := e.listen(); err != nil {
		e.world.log.Warn("endpoint does not listen again", "endpoint", e.ID, "error", err)
		e.connectState = endpointmodel.Refused
	}
}

func (e *endpoint) closeListener() {
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
}

// fillBacklog makes connection attempts time out: it makes the accept backlog as short as possible and fills it, so that the
// kernel drops further connection requests. If the endpoint cannot listen, connections are refused instead.
func (e *endpoint) fillBacklog() {
	if e.listener == nil {
		if err := e.listen(); err != nil {
			return
		}
		e.connectState = endpointmodel.NoResponse
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
		e.backlogConns = append(e.backlogConns, c)
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
	e.closeListener()
	for _, c := range e.backlogConns {
		c.Close()
	}
	e.resetAll()
}

// inbound is one request that was read from a connection.
type inbound struct {
	req        *http.Request
	body       []byte
	receivedAt dispatch.Micros // when the first byte was received
}

// serve reads requests from a connection and answers them one at a time.
func (e *endpoint) serve(conn *net.TCPConn) {
	defer e.world.wg.Done()
	e.world.countConns(1)
	defer e.world.countConns(-1)
	requests, quit := make(chan inbound), make(chan struct{})
	e.world.wg.Add(1)
	go func() {
		defer e.world.wg.Done()
		defer close(requests)
		e.readRequests(conn, requests, quit)
	}()
	for in := range requests {
		if !e.handleRequest(conn, in, requests) {
			break
		}
	}
	close(quit)
	conn.Close()
	e.mu.Lock()
	_, open := e.conns[conn]
	delete(e.conns, conn)
	e.mu.Unlock()
	if open { // otherwise it was reset, and the model no longer counts it
		e.destination.update(func(p *endpointmodel.Destination, _ dispatch.Micros) []endpointmodel.Output {
			p.Disconnect(e.ID)
			return nil
		})
	}
	e.updateListener()
}

const maxBody = 64 << 10

func (e *endpoint) readRequests(conn net.Conn, requests chan<- inbound, quit <-chan struct{}) {
	br := bufio.NewReader(conn)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		receivedAt := e.world.Clock.Now()
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody*8))
		if err != nil {
			return
		}
		select {
		case requests <- inbound{req, body, receivedAt}:
		case <-quit:
			return
		}
	}
}

// handleRequest answers one request and reports whether the connection stays open.
func (e *endpoint) handleRequest(conn *net.TCPConn, in inbound, requests <-chan inbound) bool {
	switch {
	case in.req.Method == http.MethodPost && in.req.URL.Path == "/hook":
		return e.handleMessages(conn, in, []dispatch.MessageID{dispatch.MessageID(in.req.Header.Get("X-Call-Id"))}, false, requests)
	case in.req.Method == http.MethodPost && in.req.URL.Path == "/hook/batch":
		ids, err := parseBatch(in.body)
		if err != nil {
			return e.writeResponse(conn, 400, "", err.Error())
		}
		if len(ids) > e.destination.model.Plan().PerCall {
			return e.writeResponse(conn, 413, "", "too many records in one call")
		}
		return e.handleMessages(conn, in, ids, true, requests)
	}
	return e.writeResponse(conn, 404, "", "")
}

// parseBatch returns the message IDs of a batch call.
func parseBatch(body []byte) (ids []dispatch.MessageID, err error) {
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

// admission is the result of checking a call before the model receives it.
type admission struct {
	courier        int
	items          []endpointmodel.Item
	ids            []dispatch.MessageID
	attemptNumbers []int                         // as returned by Ledger.Sent
	refusals       map[dispatch.MessageID]string // results of the messages that the model does not receive
	noSlot         bool                          // the courier already has as many calls in flight as it has slots
}

// admit checks the messages of a call, counts their attempts and occupies a slot of the courier, if one is free. problem says why
// the call is invalid; it is empty for a valid call.
func (e *endpoint) admit(in inbound, ids []dispatch.MessageID) (a admission, problem string) {
	w := e.world
	w.mu.Lock()
	defer w.mu.Unlock()
	a.refusals, a.courier = map[dispatch.MessageID]string{}, -1
	for _, id := range ids {
		r := w.messages[id]
		if r == nil && w.AllowUnknownMessages {
			r = &Message{Origin: id, Dest: e.destination.id}
			w.messages[id] = r
			w.Ledger.Offered(in.receivedAt, id, 0, 0, dispatch.DestinationID(r.Dest))
			w.Ledger.Accepted(in.receivedAt, id, id, 0, "", in.receivedAt+dispatch.Micros(w.Scenario.Definition.Classes[0].Deadline*1e6))
		}
		switch {
		case r == nil:
			return a, "no client handed in " + string(id)
		case r.Dest != e.destination.id:
			return a, fmt.Sprintf("%s is for destination %d and came to %s, which is of %d", id, r.Dest, e.ID, e.destination.id)
		}
		a.courier = r.Courier
		class := &w.Scenario.Definition.Classes[r.Class]
		switch r.Attempts++; {
		case r.Ended:
			a.refusals[id] = "expired"
		case r.Attempts > w.Scenario.Definition.Fleet.MaxAttempts:
			a.refusals[id] = "no_more"
		default:
			a.ids = append(a.ids, id)
			a.items = append(a.items, endpointmodel.Item{Message: id, Origin: r.Origin, Repeat: invariants.ParseIdempotency(class.Idempotency),
				DedupOneZone: class.DedupOneZone, DedupWindow: dispatch.Micros(class.DedupWindow * 1e6)})
		}
	}
	if a.noSlot = w.callsInFlight[a.courier] >= w.Scenario.Slots; !a.noSlot {
		w.callsInFlight[a.courier]++
	}
	for _, id := range a.ids {
		a.attemptNumbers = append(a.attemptNumbers, w.Ledger.AttemptSent(in.receivedAt, id, invariants.Target{Dest: dispatch.DestinationID(e.destination.id),
			Route: e.destination.route(e.ID), Endpoint: e.ID, Zone: e.Zone}))
	}
	return a, ""
}

func (d *destination) route(id dispatch.EndpointID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Route(id)
}

// handleMessages processes one call and reports whether the connection stays open. An invalid call is an error of the courier, which
// the ledger records as a crash.
func (e *endpoint) handleMessages(conn *net.TCPConn, in inbound, ids []dispatch.MessageID, isBatch bool, requests <-chan inbound) bool {
	w := e.world
	a, problem := e.admit(in, ids)
	if problem != "" {
		w.Ledger.CourierCrashed(in.receivedAt, max(0, a.courier), problem)
		return e.writeResponse(conn, 400, "", problem)
	}
	recordOutcomes := func(o dispatch.Outcome, wait dispatch.Micros) {
		for i, id := range a.ids {
			w.Ledger.AttemptEnded(w.Clock.Now(), id, a.attemptNumbers[i], o, wait)
		}
	}
	if a.noSlot {
		recordOutcomes(dispatch.Unprocessed, 0)
		return e.writeResponse(conn, 503, "X-Egress-Full: 1\r\n", "")
	}
	defer func() {
		w.mu.Lock()
		w.callsInFlight[a.courier]--
		w.mu.Unlock()
	}()
	if len(a.ids) == 0 {
		if !isBatch {
			return e.writeResponse(conn, map[string]int{"expired": 410, "no_more": 504}[a.refusals[ids[0]]], "", "")
		}
		return e.writeResponse(conn, 200, "", e.batchResults(ids, a.refusals, ""))
	}
	w.mu.Lock()
	w.lastCall++
	call := &endpointmodel.Call{ID: w.lastCall, Courier: a.courier, Endpoint: e.ID, Items: a.items}
	w.mu.Unlock()
	answer := make(chan endpointmodel.Answer, 1)
	delay := w.networkDelay(a.courier, e.Zone)
	time.AfterFunc(delay, func() {
		e.destination.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			e.destination.pendingCalls[call.ID] = answer
			return p.Receive(now, call)
		})
		e.destination.updateListeners()
	})
	var result endpointmodel.Answer
	select {
	case result = <-answer:
	case <-requests: // the connection was closed or reset, or another request arrived on it before the answer
		e.destination.update(func(p *endpointmodel.Destination, now dispatch.Micros) []endpointmodel.Output {
			delete(e.destination.pendingCalls, call.ID)
			return p.Cancel(now, call)
		})
		recordOutcomes(dispatch.TimedOut, 0)
		return false
	}
	if result.Outcome == dispatch.Broken {
		recordOutcomes(dispatch.Broken, 0)
		conn.SetLinger(0)
		return false
	}
	time.Sleep(delay)
	recordOutcomes(result.Outcome, result.RetryAfter) // before the answer is written, because the courier may act on it immediately
	return e.writeAnswer(conn, ids, a, result, isBatch)
}

func (e *endpoint) writeAnswer(conn net.Conn, ids []dispatch.MessageID, a admission, result endpointmodel.Answer, isBatch bool) bool {
	headers := ""
	if len(result.LoadReport) == 2 {
		headers = fmt.Sprintf("X-Load-Report: x0=%.4f,x1=%.4f\r\n", result.LoadReport[0], result.LoadReport[1])
	}
	status, body := 200, ""
	switch result.Outcome {
	case dispatch.Failure:
		status = 500
	case dispatch.Throttled:
		if status = 503; result.RetryAfter > 0 {
			status = 429
			headers += fmt.Sprintf("X-Backoff-Ms: %d\r\n", int64(result.RetryAfter+999)/1000)
		}
	default:
		if body = string(ids[0]); isBatch {
			body = e.batchResults(ids, a.refusals, "accepted")
		}
	}
	return e.writeResponse(conn, status, headers, body)
}

// batchResults returns the body of the answer to a batch call.
func (e *endpoint) batchResults(ids []dispatch.MessageID, refusals map[dispatch.MessageID]string, defaultResult string) string {
	var b strings.Builder
	for _, id := range ids {
		result := refusals[id]
		if result == "" {
			result = defaultResult
		}
		fmt.Fprintf(&b, "%s %s\r\n", id, result)
	}
	return b.String()
}

func (e *endpoint) writeResponse(conn net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err == nil
}
