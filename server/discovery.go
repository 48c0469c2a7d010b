package server

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/endpointconn"
	"pineport/spool"
)

const (
	// How long discovery may hold a watch, and how much later its answer may come; then it passes for silent.
	watchWait    = 4500 * 1000
	watchTimeout = 750 * 1000
	// How long the answer to a poll that asks for it at once may take: discovery that is overloaded answers, or refuses, after two
	// seconds and some. Failure: given up after 1.1 s, polls of 300 couriers were thrown away that discovery was about to answer.
	pollTimeout     = 2400 * 1000
	listTimeout     = 150 * 1000 // the rest of a list that has begun may take; a drain that it tells has a grace of less
	minPollInterval = 100 * 1000 // an answer that comes sooner and is no newer would have us ask in a circle

	// A notice that is not confirmed goes again beside the first, as that may hang and its time be short; ever
	// more slowly. The longest way there and back that a deployment tells of is a fifth of a second.
	noticeBackoff     = 250 * 1000
	noticeRetryDelay  = 50 * 1000 // after a call that failed; twice as long after each further one, up to the next line
	maxNoticeDelay    = 200 * 1000
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

// discovery speaks with the platform: one poll of the endpoint list, and some calls with notices. The dispatcher decides when to poll
// after one that came to nothing; a watch that is well goes on by itself.
type discovery struct {
	server        *Server
	version       int64 // of the list held; nothing of it or before it is missing
	pollInFlight  *endpointconn.Exchange
	polled        dispatch.WatchEndpoints // what the poll in flight asks for
	wholeWanted   bool                    // the next poll is for the whole list
	olderSince    dispatch.Micros         // since when discovery has had an older version than the one held; never if it has not
	wholeFaults   string                  // what could not be used of the whole list that was read last
	pollTimeoutAt dispatch.Micros
	pollAt        dispatch.Micros
	polledAt      dispatch.Micros
	notices       []*notice
	calls         []*noticeCall
	callsFailed   int             // calls with notices in a row
	callAt        dispatch.Micros // no call with notices before that
}

func (p *discovery) init(r *Server) {
	p.server, p.pollTimeoutAt, p.pollAt, p.olderSince = r, never, never, never
}

func (p *discovery) start() {
	if !p.server.deployment.Dispatch.MustPoll {
		p.poll(dispatch.WatchEndpoints{})
	}
}

// poll asks for the endpoint list; where a poll is in flight, the one after it asks for the whole list, if that is wanted.
func (p *discovery) poll(what dispatch.WatchEndpoints) {
	p.pollAt = never
	p.wholeWanted = p.wholeWanted || what.Whole
	if p.pollInFlight != nil {
		return
	}
	what.Whole, p.wholeWanted = p.wholeWanted, false
	p.polled, p.polledAt = what, p.server.now
	address := p.server.deployment.Discovery
	request, timeout := protocol.EncodeWatch(address, p.version, watchWait/1000), dispatch.Micros(watchWait+watchTimeout)
	switch {
	case what.Whole:
		request, timeout = protocol.EncodeListRequest(address), pollTimeout
	case what.Immediate:
		request, timeout = protocol.EncodeWatch(address, p.version, 0), pollTimeout
	}
	exchange := &endpointconn.Exchange{Peer: endpointconn.Peer{Address: address}, NeedsBody: true, Request: request, OnEnd: p.pollAnswered,
		OnResponseStart: func(begun bool) {
			if p.pollTimeoutAt = p.polledAt + timeout; begun {
				p.pollTimeoutAt = min(p.pollTimeoutAt, p.server.now+listTimeout)
			}
		}}
	p.server.log.Debug("endpoint list polled", "version", p.version, "whole", what.Whole, "immediate", what.Immediate)
	p.pollInFlight, p.pollTimeoutAt = exchange, p.server.now+timeout
	p.server.endpointConns.Start(exchange)
}

// resume has the list polled though the dispatcher that had to decide when is gone.
func (p *discovery) resume() {
	if p.pollInFlight == nil {
		p.pollAt = p.server.now
	}
}

func (p *discovery) pollAnswered(answer protocol.Response, err error) {
	begun, part := p.pollInFlight.HasResponseStarted(), p.pollInFlight.PartialBody()
	p.pollInFlight, p.pollTimeoutAt = nil, never
	isAnswer := err == nil && answer.Status == http.StatusOK
	if isAnswer {
		part = answer.Body
	} else if err == nil {
		err = fmt.Errorf("status %d", answer.Status)
		begun = false
	}
	var list protocol.List
	if isAnswer {
		list, err = protocol.ReadList(answer.Body)
	}
	if err != nil {
		p.pollFailed(err, begun || isAnswer || errors.Is(err, protocol.ErrMalformedResponse), part)
		return
	}
	p.listRead(list)
}

// pollFailed is called where no list could be read. What is there of one that has begun to come counts as reported, and is heeded.
func (p *discovery) pollFailed(err error, begun bool, part []byte) {
	p.server.log.Warn("endpoint list poll failed", "error", err, "truncated", begun, "version", p.version)
	switch {
	case begun:
		list := protocol.ReadTruncatedList(part)
		if list.Version <= p.version {
			list = protocol.List{}
		}
		list.Invalid = append(list.Invalid, protocol.InvalidEntry{Err: err})
		p.server.applyEndpoints(list, dispatch.PartialList)
	case errors.Is(err, errNoAnswer):
		p.server.events = append(p.server.events, dispatch.EndpointUpdate{Kind: dispatch.ListTimedOut})
	default:
		p.server.events = append(p.server.events, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
	}
}

// listRead takes in a list. The version moves on only where all of the list could be used, or where its source confirms, asked for
// the whole list twice, that it means what cannot be used.
func (p *discovery) listRead(list protocol.List) {
	kind := dispatch.PartialList
	if list.Complete {
		kind = dispatch.CompleteList
	}
	if p.isOlder(list) {
		return
	}
	faults := p.server.applyEndpoints(list, kind)
	if len(faults) > 0 && !p.isConfirmed(list, faults) {
		return
	}
	if len(faults) > 0 {
		p.server.acceptFaults(faults)
	}
	if list.Version <= p.version && !p.polled.Whole && !p.polled.Immediate && p.server.now-p.polledAt < minPollInterval {
		p.pollAt = p.server.now + minPollInterval
		return
	}
	p.version = list.Version
	p.poll(dispatch.WatchEndpoints{})
}

// isOlder reports whether a list is older than the one held and must not replace it. Discovery that has lost its versions keeps to that
// whenever it is asked for the whole list, which is taken as it is once a change would have had to be known.
func (p *discovery) isOlder(list protocol.List) bool {
	if list.Version >= p.version {
		p.olderSince = never
		return false
	}
	p.olderSince = min(p.olderSince, p.server.now)
	if p.polled.Whole && list.Complete && p.server.now-p.olderSince >= dispatch.ListDeadline {
		p.olderSince = never
		return false
	}
	p.server.log.Warn("older endpoint list ignored", "version", list.Version, "current", p.version)
	p.wholeWanted = true
	p.server.events = append(p.server.events, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Incomplete: true})
	return true
}

// isConfirmed reports whether the whole list says for the second time in a row what cannot be used.
func (p *discovery) isConfirmed(list protocol.List, faults []protocol.InvalidEntry) bool {
	if !p.polled.Whole || !list.Complete {
		return false
	}
	before := p.wholeFaults
	p.wholeFaults = fmt.Sprint(faults)
	return p.wholeFaults == before
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
	p.poll(dispatch.WatchEndpoints{})
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
		notice: protocol.Notice{ID: stored.ID, Rejected: stored.FinalOutcome == storedRejected, RetryAfterMs: stored.RetryAfterMs}})
}

func (p *discovery) due() dispatch.Micros {
	at := min(p.pollTimeoutAt, p.pollAt)
	for _, call := range p.calls {
		at = min(at, call.timeoutAt)
	}
	if len(p.calls) < maxNoticeCalls {
		for _, other := range p.notices {
			if !p.mustWait(other) {
				at = min(at, max(other.next, p.callAt))
			}
		}
	}
	return at
}

// mustWait reports whether the end that a notice tells is not in the folder yet: a restart would take the message up again, and it could run
// after its end was told. Past its deadline it would not.
func (p *discovery) mustWait(n *notice) bool {
	return p.server.spool.InBacklog(n.notice.ID) && p.server.now < n.until-noticeLifetime
}

// tick does what is due.
func (p *discovery) tick() {
	now := p.server.now
	if p.server.driver == nil {
		return
	}
	if p.pollTimeoutAt <= now {
		p.server.endpointConns.Abort(p.pollInFlight)
		p.pollAnswered(protocol.Response{}, errNoAnswer)
	}
	if p.pollAt <= now {
		p.poll(dispatch.WatchEndpoints{})
	}
	for _, call := range slices.Clone(p.calls) {
		if call.timeoutAt <= now {
			p.server.endpointConns.Abort(call.exchange)
			p.noticesAnswered(call, protocol.Response{}, errNoAnswer)
		}
	}
	for len(p.calls) < maxNoticeCalls && p.notify() {
	}
}

var errNoAnswer = errors.New("no answer in time")

// notify sends the notices that are due, as many as a call takes, and reports whether there were any.
func (p *discovery) notify() bool {
	if p.server.now < p.callAt {
		return false
	}
	call := &noticeCall{timeoutAt: p.server.now + noticeTimeout}
	var notices []protocol.Notice
	for _, other := range p.notices {
		if other.next <= p.server.now && len(notices) < maxNoticesPerCall && !p.mustWait(other) {
			other.next = p.server.now + noticeBackoff<<min(other.attempts, 3)
			other.attempts++
			call.notices, notices = append(call.notices, other), append(notices, other.notice)
		}
	}
	if len(notices) == 0 {
		return false
	}
	call.exchange = &endpointconn.Exchange{Peer: endpointconn.Peer{Address: p.server.deployment.Discovery}, Request: protocol.EncodeNotices(p.server.deployment.Discovery, notices),
		OnResponseStart: func(bool) {}, OnEnd: func(a protocol.Response, err error) { p.noticesAnswered(call, a, err) }}
	p.calls = append(p.calls, call)
	p.server.endpointConns.Start(call.exchange)
	return true
}

func (p *discovery) noticesAnswered(call *noticeCall, a protocol.Response, err error) {
	p.calls = slices.DeleteFunc(p.calls, func(other *noticeCall) bool { return other == call })
	switch {
	case err != nil:
	case a.Status == 400:
		p.server.log.Error("notices rejected as malformed", "first", call.notices[0].notice.ID)
	case a.Status != 204 && a.Status != 200:
		err = fmt.Errorf("status %d", a.Status)
	}
	p.callsFailed++
	if err == nil {
		p.callsFailed, p.callAt = 0, 0
	} else {
		// Failure: each call that failed at once had its notices go again by themselves, in ever smaller calls, hundreds a second.
		p.callAt = p.server.now + min(dispatch.Micros(noticeRetryDelay)<<min(p.callsFailed-1, 8), maxNoticeDelay)
		p.server.log.Warn("notices will be retried", "count", len(call.notices), "error", err)
	}
	for _, other := range call.notices {
		if other.confirmed = other.confirmed || err == nil || p.server.now > other.until; other.confirmed {
			p.server.logSpoolError(p.server.spool.Remove(other.notice.ID))
		} else {
			other.next = min(other.next, p.callAt) // it failed at once
		}
	}
	p.notices = slices.DeleteFunc(p.notices, func(other *notice) bool { return other.confirmed })
}
