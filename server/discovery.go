package server

import (
	"errors"
	"fmt"
	"net/http"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/server/endpointconn"
)

const (
	// watchWait is how long discovery may hold a watch open. A watch times out after watchWait +
	// watchMargin.
	watchWait   = 4500 * 1000
	watchMargin = 750 * 1000
	// pollTimeout bounds the wait for the answer to a poll that asks for an immediate answer. It exceeds
	// the time of slightly more than 2 s after which an overloaded discovery answers or refuses. Failure:
	// with a timeout of 1.1 s, the polls of 300 couriers were aborted shortly before discovery would have
	// answered them.
	pollTimeout     = 2400 * 1000
	listTimeout     = 150 * 1000 // for the rest of a list that has begun; shorter than the grace period of a drain in the list
	minPollInterval = 100 * 1000 // after an answer without a newer version; prevents a tight polling loop
)

// discoveryClient talks to discovery, the service of the platform that has the endpoint list and takes
// notices. It keeps one poll of the list in flight and sends notices. A watch is a poll that discovery may
// hold open until there is a change. After a failed poll, or a list with unusable entries, the dispatcher
// decides when to poll again. After any other list the next watch starts without a decision.
type discoveryClient struct {
	server             *Server
	version            int64 // of the stored list, which includes all changes up to this version
	pollInFlight       *endpointconn.Exchange
	pollRequest        dispatch.WatchEndpoints // the options of the poll in flight
	completeListWanted bool                    // whether the next poll requests the complete list
	olderSince         dispatch.Micros         // since when discovery has returned versions older than the stored one; the constant never if it has not
	lastListFaults     string                  // the entries of the last complete list that could not be used
	pollTimeoutAt      dispatch.Micros
	pollAt             dispatch.Micros
	polledAt           dispatch.Micros
	notices            []*pendingNotice
	calls              []*noticeCall
	usedConnCalls      []*noticeCall          // over used connections; their answers confirm nothing
	spare              *endpointconn.Exchange // a connection that is being opened for later calls over used connections
	spareAt            dispatch.Micros        // earliest start of the next one
	failedCalls        int                    // consecutive failed calls with notices
	nextCallAt         dispatch.Micros        // earliest start of the next call with notices
}

func (d *discoveryClient) init(s *Server) {
	d.server, d.pollTimeoutAt, d.pollAt, d.olderSince = s, never, never, never
}

// start starts the first watch. With MustPoll, the dispatcher requests polls instead.
func (d *discoveryClient) start() {
	if !d.server.deployment.Dispatch.MustPoll {
		d.poll(dispatch.WatchEndpoints{})
	}
}

// poll starts a poll of the endpoint list. If a poll is already in flight, it only records whether the next
// one must request the complete list.
func (d *discoveryClient) poll(request dispatch.WatchEndpoints) {
	d.pollAt = never
	d.completeListWanted = d.completeListWanted || request.Whole
	if d.pollInFlight != nil {
		return
	}
	request.Whole, d.completeListWanted = d.completeListWanted, false
	d.pollRequest, d.polledAt = request, d.server.now
	address := d.server.deployment.Discovery
	httpRequest, timeout := protocol.EncodeWatch(address, d.version, watchWait/1000), dispatch.Micros(watchWait+watchMargin)
	switch {
	case request.Whole:
		httpRequest, timeout = protocol.EncodeListRequest(address), pollTimeout
	case request.Immediate:
		httpRequest, timeout = protocol.EncodeWatch(address, d.version, 0), pollTimeout
	}
	exchange := &endpointconn.Exchange{Peer: d.peer(), NeedsBody: true, Request: httpRequest, OnEnd: d.pollAnswered,
		OnResponseStart: func(begun bool) {
			if d.pollTimeoutAt = d.polledAt + timeout; begun {
				d.pollTimeoutAt = min(d.pollTimeoutAt, d.server.now+listTimeout)
			}
		}}
	d.server.log.Debug("endpoint list polled", "version", d.version, "whole", request.Whole, "immediate", request.Immediate)
	d.pollInFlight, d.pollTimeoutAt = exchange, d.server.now+timeout
	d.server.endpointConns.Start(exchange)
}

// resume schedules a poll after a restart of the dispatcher, because the decision of the old one on when to
// poll is lost.
func (d *discoveryClient) resume() {
	if d.pollInFlight == nil {
		d.pollAt = d.server.now
	}
}

func (d *discoveryClient) pollAnswered(answer protocol.Response, err error) {
	begun, body := d.pollInFlight.HasResponseStarted(), d.pollInFlight.PartialBody()
	d.pollInFlight, d.pollTimeoutAt = nil, never
	isAnswer := err == nil && answer.Status == http.StatusOK
	if isAnswer {
		body = answer.Body
	} else if err == nil {
		err = fmt.Errorf("status %d", answer.Status)
		begun = false
	}
	var list protocol.List
	if isAnswer {
		list, err = protocol.ReadList(answer.Body)
	}
	if err != nil {
		d.pollFailed(err, begun || isAnswer || errors.Is(err, protocol.ErrMalformedResponse), body)
		return
	}
	d.listReceived(list)
}

// pollFailed handles a poll that returned no valid list. If an answer has begun, the entries that can be
// read from it are applied, unless its version is not newer than the stored one.
func (d *discoveryClient) pollFailed(err error, begun bool, body []byte) {
	d.server.log.Warn("endpoint list poll failed", "error", err, "truncated", begun, "version", d.version)
	switch {
	case begun:
		list := protocol.ReadTruncatedList(body)
		if list.Version <= d.version {
			list = protocol.List{}
		}
		list.Invalid = append(list.Invalid, protocol.InvalidEntry{Err: err})
		d.server.applyEndpoints(list, dispatch.PartialList)
	case errors.Is(err, errNoAnswer):
		d.server.events = append(d.server.events, dispatch.EndpointUpdate{Kind: dispatch.ListTimedOut})
	default:
		d.server.events = append(d.server.events, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
	}
}

// listReceived applies a list. The stored version advances only if every entry could be used, or if
// discovery returned the same unusable entries to two requests for the complete list.
func (d *discoveryClient) listReceived(list protocol.List) {
	kind := dispatch.PartialList
	if list.Complete {
		kind = dispatch.CompleteList
	}
	if d.isOlder(list) {
		return
	}
	faults := d.server.applyEndpoints(list, kind)
	if len(faults) > 0 && !d.isConfirmed(list, faults) {
		return
	}
	if len(faults) > 0 {
		d.server.applyConfirmedFaults(faults)
	}
	if list.Version <= d.version && !d.pollRequest.Whole && !d.pollRequest.Immediate && d.server.now-d.polledAt < minPollInterval {
		d.pollAt = d.server.now + minPollInterval
		return
	}
	d.version = list.Version
	d.poll(dispatch.WatchEndpoints{})
}

// isOlder reports whether a list is older than the stored one and must not replace it. If discovery has
// lost its state and keeps returning an older version, a complete list of that version is accepted after
// dispatch.ListDeadline, the time within which a change has to be applied.
func (d *discoveryClient) isOlder(list protocol.List) bool {
	if list.Version >= d.version {
		d.olderSince = never
		return false
	}
	d.olderSince = min(d.olderSince, d.server.now)
	if d.pollRequest.Whole && list.Complete && d.server.now-d.olderSince >= dispatch.ListDeadline {
		d.olderSince = never
		return false
	}
	d.server.log.Warn("older endpoint list ignored", "version", list.Version, "current", d.version)
	d.completeListWanted = true
	d.server.events = append(d.server.events, dispatch.EndpointUpdate{Kind: dispatch.PartialList, Incomplete: true})
	return true
}

// isConfirmed reports whether two complete lists in a row contained the same unusable entries.
func (d *discoveryClient) isConfirmed(list protocol.List, faults []protocol.InvalidEntry) bool {
	if !d.pollRequest.Whole || !list.Complete {
		return false
	}
	previous := d.lastListFaults
	d.lastListFaults = fmt.Sprint(faults)
	return d.lastListFaults == previous
}

// addressChanged switches to a new address of discovery. It polls the new address at once and sends it all
// notices that the old one has not confirmed. Sending a notice to both addresses does no harm.
func (d *discoveryClient) addressChanged(old string) {
	d.server.endpointConns.Abort(d.pollInFlight)
	d.pollInFlight = nil
	d.abortCalls()
	for _, pending := range d.notices {
		pending.nextAttemptAt, pending.attempts, pending.usedCopies = d.server.now, 0, 0
	}
	d.server.endpointConns.CloseIdle(endpointconn.Peer{Address: old})
	d.poll(dispatch.WatchEndpoints{})
}

// stop aborts the poll and all calls with notices. Unconfirmed notices remain in the spool.
func (d *discoveryClient) stop() {
	d.server.endpointConns.Abort(d.pollInFlight)
	d.pollInFlight, d.pollTimeoutAt, d.pollAt = nil, never, never
	d.abortCalls()
	d.notices = nil
}

func (d *discoveryClient) due() dispatch.Micros {
	return min(d.pollTimeoutAt, d.pollAt, d.spareDue(), d.noticesDue())
}

// tick handles expired timeouts and sends polls and notices that are due.
func (d *discoveryClient) tick() {
	now := d.server.now
	if d.server.driver == nil {
		return
	}
	if d.pollTimeoutAt <= now {
		d.server.endpointConns.Abort(d.pollInFlight)
		d.pollAnswered(protocol.Response{}, errNoAnswer)
	}
	if d.pollAt <= now {
		d.poll(dispatch.WatchEndpoints{})
	}
	d.tickNotices()
}

var errNoAnswer = errors.New("no answer before the timeout")

// peer returns discovery as a peer.
func (d *discoveryClient) peer() endpointconn.Peer {
	return endpointconn.Peer{Address: d.server.deployment.Discovery}
}
