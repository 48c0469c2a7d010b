package server

import (
	"errors"
	"fmt"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/endpointconn"
	"pineport/spool"
)

const (
	// How long discovery may hold a watch, and its answer may take after that; a dead connection shows so much later. Both
	// together leave a call that hangs half a second to be asked anew: what it misses counts as reported 6 s after discovery had
	// it. Failure: given up after 6.5 s, a change from just after the call was notified 6.35 s after it was made.
	watchWait       = 4500 * 1000
	watchTimeout    = 1000 * 1000
	listTimeout     = 150 * 1000  // the rest of a list that has begun may take; a drain that it tells has a grace of less
	minPollBackoff  = 30 * 1000   // after one that broke off; twice as long after each further one, askAgain at most
	maxPollBackoff  = 1000 * 1000 // where nobody else says when to ask again
	minPollInterval = 100 * 1000  // an answer that comes sooner and is no newer would have us ask in a circle

	// A notice that is not confirmed goes again beside the first, as that may hang and its time be short; ever
	// more slowly. The longest way there and back that a deployment tells of is a fifth of a second.
	noticeBackoff     = 250 * 1000
	noticeRetryDelay  = 50 * 1000
	noticeTimeout     = 2 * 1000 * 1000
	maxNoticeCalls    = 4                // out at once
	maxNoticesPerCall = 64               // in one call
	noticeLifetime    = 10 * 1000 * 1000 // after a message's time nobody asks for its end any more
)

// notice is a notice that the platform has not confirmed.
type notice struct {
	notice    protocol.Notice
	until     dispatch.Micros
	next      dispatch.Micros // when it goes, or goes again
	attempts  int
	confirmed bool
}

// noticeCall is one call with notices.
type noticeCall struct {
	exchange  *endpointconn.Exchange
	timeoutAt dispatch.Micros
	notices   []*notice
}

// discovery speaks with the platform: one poll of the endpoint list, and some calls with notices.
type discovery struct {
	server        *Server
	version       int64
	pollInFlight  *endpointconn.Exchange
	pollTimeoutAt dispatch.Micros
	pollAt        dispatch.Micros
	polledAt      dispatch.Micros
	truncations   int // lists in a row that broke off
	notices       []*notice
	calls         []*noticeCall
}

func (p *discovery) init(r *Server) { p.server, p.pollTimeoutAt, p.pollAt = r, never, never }

func (p *discovery) start() {
	if !p.server.deployment.Dispatch.MustPoll {
		p.poll()
	}
}

// poll asks for what is newer than the list held; it goes on by itself until it fails.
func (p *discovery) poll() {
	p.pollAt = never
	if p.pollInFlight != nil {
		return
	}
	exchange := &endpointconn.Exchange{Peer: endpointconn.Peer{Address: p.server.deployment.Discovery}, NeedsBody: true,
		Request: protocol.Watch(p.server.deployment.Discovery, p.version, watchWait/1000), OnEnd: p.pollAnswered,
		OnBegin: func(begun bool) {
			if p.pollTimeoutAt = p.polledAt + watchWait + watchTimeout; begun {
				p.pollTimeoutAt = min(p.pollTimeoutAt, p.server.now+listTimeout)
			}
		}}
	p.server.log.Debug("endpoint list polled", "version", p.version)
	p.polledAt = p.server.now
	p.pollInFlight, p.pollTimeoutAt = exchange, p.server.now+watchWait+watchTimeout
	p.server.endpointConns.Start(exchange)
}

func (p *discovery) pollAnswered(a protocol.Answer, err error) {
	cut, part := p.pollInFlight.HasBegun(), p.pollInFlight.PartialBody()
	p.pollInFlight, p.pollTimeoutAt = nil, never
	if err == nil && a.Status != 200 {
		err = fmt.Errorf("status %d", a.Status)
	}
	var list protocol.List
	if err == nil {
		list, err = protocol.ReadList(a.Body)
	}
	if err != nil {
		p.server.log.Warn("endpoint list poll failed", "error", err, "truncated", cut, "version", p.version)
		if cut { // it has begun to tell, and what it reported counts
			if list := protocol.ReadPart(part); list.Seq > p.version {
				p.server.applyEndpoints(list, dispatch.PartialList)
			}
			// Failure: a list that broke off each time was asked for thirty times a second.
			p.pollAt = p.server.now + min(dispatch.Micros(minPollBackoff)<<min(p.truncations, 8), maxPollBackoff)
			p.truncations++
			return
		}
		p.server.events = append(p.server.events, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
		if !p.server.deployment.Dispatch.MustPoll {
			p.pollAt = p.server.now + maxPollBackoff
		}
		return
	}
	p.truncations = 0
	switch {
	case list.Seq < p.version:
		p.server.log.Warn("older endpoint list ignored", "version", list.Seq, "current", p.version)
	case list.Whole:
		p.server.applyEndpoints(list, dispatch.CompleteList)
	default:
		p.server.applyEndpoints(list, dispatch.PartialList)
	}
	if list.Seq <= p.version && p.server.now-p.polledAt < minPollInterval {
		p.pollAt = p.server.now + minPollInterval
		return
	}
	p.version = max(p.version, list.Seq)
	p.poll()
}

// addressChanged leaves the address that was used so far. The new one is polled at once, and gets all notices that the old one has not
// confirmed; a notice that both get does no harm.
func (p *discovery) addressChanged(old string) {
	p.server.endpointConns.Abort(p.pollInFlight)
	p.pollInFlight = nil
	for _, call := range p.calls {
		p.server.endpointConns.Abort(call.exchange)
	}
	p.calls = nil
	for _, other := range p.notices {
		other.next, other.attempts = p.server.now, 0
	}
	p.server.endpointConns.CloseIdle(endpointconn.Peer{Address: old})
	p.poll()
}

// stop polls and sends nothing more; notices that are not confirmed are in the spool.
func (p *discovery) stop() {
	p.server.endpointConns.Abort(p.pollInFlight)
	p.pollInFlight, p.pollTimeoutAt, p.pollAt = nil, never, never
	for _, call := range p.calls {
		p.server.endpointConns.Abort(call.exchange)
	}
	p.calls, p.notices = nil, nil
}

// addNotice owes the platform a notice for a message.
func (p *discovery) addNotice(stored *spool.Message) {
	p.notices = append(p.notices, &notice{until: dispatch.Micros(stored.Deadline) + noticeLifetime,
		notice: protocol.Notice{ID: stored.ID, Rejected: stored.Ended == storedRejected, AgainMs: stored.RetryAfterMs}})
}

func (p *discovery) due() dispatch.Micros {
	at := min(p.pollTimeoutAt, p.pollAt)
	for _, call := range p.calls {
		at = min(at, call.timeoutAt)
	}
	if len(p.calls) < maxNoticeCalls {
		for _, other := range p.notices {
			at = min(at, other.next)
		}
	}
	return at
}

// tick does what is due.
func (p *discovery) tick() {
	now := p.server.now
	if p.server.driver == nil {
		return
	}
	if p.pollTimeoutAt <= now {
		p.server.endpointConns.Abort(p.pollInFlight)
		p.pollAnswered(protocol.Answer{}, errNoAnswer)
	}
	if p.pollAt <= now {
		p.poll()
	}
	for _, call := range slices.Clone(p.calls) {
		if call.timeoutAt <= now {
			p.server.endpointConns.Abort(call.exchange)
			p.noticesAnswered(call, protocol.Answer{}, errNoAnswer)
		}
	}
	for len(p.calls) < maxNoticeCalls && p.notify() {
	}
}

var errNoAnswer = errors.New("no answer in time")

// notify sends the notices that are due, as many as a call takes, and reports whether there were any.
func (p *discovery) notify() bool {
	call := &noticeCall{timeoutAt: p.server.now + noticeTimeout}
	var notices []protocol.Notice
	for _, other := range p.notices {
		if other.next <= p.server.now && len(notices) < maxNoticesPerCall {
			other.next = p.server.now + noticeBackoff<<min(other.attempts, 3)
			other.attempts++
			call.notices, notices = append(call.notices, other), append(notices, other.notice)
		}
	}
	if len(notices) == 0 {
		return false
	}
	call.exchange = &endpointconn.Exchange{Peer: endpointconn.Peer{Address: p.server.deployment.Discovery}, Request: protocol.Notices(p.server.deployment.Discovery, notices),
		OnBegin: func(bool) {}, OnEnd: func(a protocol.Answer, err error) { p.noticesAnswered(call, a, err) }}
	p.calls = append(p.calls, call)
	p.server.endpointConns.Start(call.exchange)
	return true
}

func (p *discovery) noticesAnswered(call *noticeCall, a protocol.Answer, err error) {
	p.calls = slices.DeleteFunc(p.calls, func(other *noticeCall) bool { return other == call })
	switch {
	case err != nil:
	case a.Status == 400:
		p.server.log.Error("notices rejected as malformed", "first", call.notices[0].notice.ID)
	case a.Status != 204 && a.Status != 200:
		err = fmt.Errorf("status %d", a.Status)
	}
	if err != nil {
		p.server.log.Warn("notices will be retried", "count", len(call.notices), "error", err)
	}
	for _, other := range call.notices {
		if other.confirmed = other.confirmed || err == nil || p.server.now > other.until; other.confirmed {
			p.server.logSpoolError(p.server.spool.Forget(other.notice.ID))
		} else {
			other.next = min(other.next, p.server.now+noticeRetryDelay) // it failed at once
		}
	}
	p.notices = slices.DeleteFunc(p.notices, func(other *notice) bool { return other.confirmed })
}
