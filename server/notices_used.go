package server

import (
	"errors"
	"slices"
	"time"

	"pineport/dispatch"
	"pineport/platform"
	"pineport/protocol"
	"pineport/server/endpointconn"
)

// This file sends copies of notices over used connections to discovery, when the deadline of their message is near or no new connection can be
// opened, and keeps such connections open.

const (
	// newConnTimeout is how long a notice waits for a new connection and its answer before copies of it are also sent over used ones: half of
	// the time that a final answer may come late.
	newConnTimeout = 150 * 1000
	// urgentLead is how long before the deadline of its message a notice becomes urgent. From then on one copy is sent over a used connection
	// at once: waiting until one is free, a hold-up of the process and the way to discovery then fit in the time that is left.
	urgentLead = dispatch.Micros((platform.MaxRoundTrip + platform.MaxHoldUp + maxCatchUp - platform.FinalAnswerSlack) / time.Microsecond)
	// maxUsedCopies is the number of used connections over which a notice is sent, as one of them may have fallen silent.
	maxUsedCopies = 2
	// usedConnRetry is the interval between attempts to send over a used connection that is not ready yet.
	usedConnRetry = 2 * 1000
)

// urgentAt returns when a notice becomes urgent.
func (p *pendingNotice) urgentAt() dispatch.Micros {
	return max(p.addedAt, p.expiresAt-noticeLifetime-urgentLead)
}

// copyDueAt returns when the next copy of a notice is to be sent over a used connection: at once while calls over new connections fail.
func (d *discoveryClient) copyDueAt(pending *pendingNotice) dispatch.Micros {
	late := pending.addedAt + newConnTimeout
	if d.failedCalls > 0 {
		late = pending.addedAt
	}
	switch {
	case pending.usedCopies >= maxUsedCopies:
		return never
	case pending.usedCopies == 0:
		return min(late, pending.urgentAt())
	}
	return late
}

// overUsedDue returns when the next notice is to be sent over a used connection.
func (d *discoveryClient) overUsedDue() dispatch.Micros {
	at := never
	if d.server.endpointConns.Idle(d.peer()) == 0 {
		return at
	}
	for _, pending := range d.notices {
		if due := d.copyDueAt(pending); due < never && !d.waitsForSpool(pending) {
			at = min(at, max(due, d.server.now+usedConnRetry))
		}
	}
	return at
}

// notifyOverUsed sends copies of notices over used connections. The answers confirm nothing, so the notices are sent over a new connection
// too, as soon as there is one. Incident: while connections could not be opened, notices reached discovery up to seconds after the
// deadline of their messages.
func (d *discoveryClient) notifyOverUsed() {
	for d.server.endpointConns.Idle(d.peer()) > 0 {
		due := d.copiesDue()
		if len(due) == 0 || !d.callOverUsed(due) {
			return
		}
	}
}

// copiesDue returns notices of which a copy is due, at most maxNoticesPerCall.
func (d *discoveryClient) copiesDue() (due []*pendingNotice) {
	for _, pending := range d.notices {
		if len(due) < maxNoticesPerCall && d.server.now >= d.copyDueAt(pending) && !d.waitsForSpool(pending) {
			due = append(due, pending)
		}
	}
	return due
}

// callOverUsed sends notices over one used connection, and reports whether one was ready.
func (d *discoveryClient) callOverUsed(notices []*pendingNotice) (sent bool) {
	call := &noticeCall{timeoutAt: d.server.now + maxRoundTrip, notices: notices}
	var contents []protocol.Notice
	for _, pending := range notices {
		contents = append(contents, pending.content)
	}
	call.exchange = &endpointconn.Exchange{Peer: d.peer(), OverUsedConn: true, NeedsBody: true, Request: protocol.EncodeNotices(d.server.deployment.Discovery, contents),
		OnResponseStart: func(bool) {}, OnEnd: func(answer protocol.Response, err error) { d.usedConnAnswered(call, answer, err) }}
	d.usedConnCalls = append(d.usedConnCalls, call)
	for _, pending := range notices {
		pending.usedCopies++ // usedConnAnswered takes it back if the call fails, at once or later
	}
	if d.server.endpointConns.Start(call.exchange); !call.exchange.IsSent() {
		return false
	}
	d.server.log.Debug("notices sent over a used connection", "count", len(notices), "first", notices[0].content.ID, "failed_calls", d.failedCalls)
	return true
}

// usedConnAnswered handles the end of a call over a used connection. If it failed, its notices may have been lost.
func (d *discoveryClient) usedConnAnswered(call *noticeCall, answer protocol.Response, err error) {
	d.usedConnCalls = slices.DeleteFunc(d.usedConnCalls, func(other *noticeCall) bool { return other == call })
	if err == nil && areNoticesTaken(answer) {
		return
	}
	for _, pending := range call.notices {
		pending.usedCopies--
	}
}

// spareRetry is the interval between attempts to open a spare connection.
const spareRetry = 500 * 1000

// spareDue returns when a spare connection is to be opened: while no used one is open, as after a start.
func (d *discoveryClient) spareDue() dispatch.Micros {
	if d.spare != nil || len(d.usedConnCalls) > 0 || d.server.handoff.handedOver || d.server.endpointConns.Idle(d.peer()) > 0 {
		return never
	}
	return d.spareAt
}

// openSpare opens a connection without a request and leaves it idle, so that notices can leave if no connection can be opened later.
func (d *discoveryClient) openSpare() {
	d.spareAt = d.server.now + spareRetry
	d.spare = &endpointconn.Exchange{Peer: d.peer(), IsWanted: func() bool { return false },
		OnEnd: func(_ protocol.Response, err error) {
			d.spare = nil
			if !errors.Is(err, endpointconn.ErrNoLongerWanted) {
				d.server.log.Debug("spare connection to discovery not opened", "error", err)
			}
		}}
	d.server.endpointConns.Start(d.spare)
}
