package server

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"pineport/dispatch"
	"pineport/platform"
	"pineport/protocol"
	"pineport/server/endpointconn"
	"pineport/spool"
)

// This file sends notices of messages that ended undelivered to discovery, until they are confirmed.

const (
	// noticeBackoff is the delay before an unconfirmed notice is sent again, while the earlier call is
	// still in flight. It doubles with each attempt, up to 2 s. The earlier call may hang, and the notice
	// is of use only for a limited time. The longest round trip in any deployment is 200 ms.
	noticeBackoff     = 250 * 1000
	noticeRetryDelay  = 50 * 1000 // after a failed call, doubled with each further failure up to maxNoticeDelay
	maxNoticeDelay    = 100 * 1000
	noticeTimeout     = 2 * 1000 * 1000
	maxNoticeCalls    = 4                // in flight at the same time
	maxNoticesPerCall = 64               // limit of one call
	noticeLifetime    = 10 * 1000 * 1000 // from a message's deadline; after that, unconfirmed notices are dropped
)

// pendingNotice is a notice that is still to be sent or confirmed.
type pendingNotice struct {
	content       protocol.Notice
	addedAt       dispatch.Micros
	expiresAt     dispatch.Micros
	nextAttemptAt dispatch.Micros // when the notice is sent for the first time or again
	attempts      int
	done          bool // confirmed, expired or rejected as malformed
	usedCopies    int  // copies sent over used connections that have not failed since; only the confirmation is missing
}

// noticeCall is a call in flight that carries notices.
type noticeCall struct {
	exchange  *endpointconn.Exchange
	timeoutAt dispatch.Micros
	notices   []*pendingNotice
}

// abortCalls aborts all calls with notices.
func (d *discoveryClient) abortCalls() {
	for _, call := range slices.Concat(d.calls, d.usedConnCalls) {
		d.server.endpointConns.Abort(call.exchange)
	}
	d.calls, d.usedConnCalls = nil, nil
	d.server.endpointConns.Abort(d.spare)
	d.spare = nil
}

// addNotice schedules a notice about the end of a message.
func (d *discoveryClient) addNotice(stored *spool.Message) {
	d.notices = append(d.notices, &pendingNotice{addedAt: d.server.now, expiresAt: dispatch.Micros(stored.Deadline) + noticeLifetime,
		content: protocol.Notice{ID: stored.ID, Rejected: stored.FinalOutcome == storedRejected, RetryAfterMs: stored.RetryAfterMs}})
}

// noticesDue returns when the next call with notices ends by its timeout or is to be started.
func (d *discoveryClient) noticesDue() dispatch.Micros {
	at := never
	for _, call := range slices.Concat(d.calls, d.usedConnCalls) {
		at = min(at, call.timeoutAt)
	}
	at = min(at, d.overUsedDue())
	if len(d.calls) < maxNoticeCalls {
		for _, pending := range d.notices {
			if !d.waitsForSpool(pending) {
				at = min(at, max(pending.nextAttemptAt, d.nextCallAt))
			}
		}
	}
	return at
}

// waitsForSpool reports whether a notice must be held back because the end of its message is not in the
// spool yet. After a restart the message would be recovered, and it could run although its end had been
// reported. After its deadline the message cannot run any more.
func (d *discoveryClient) waitsForSpool(pending *pendingNotice) bool {
	return d.server.spool.InBacklog(pending.content.ID) && d.server.now < pending.expiresAt-noticeLifetime
}

// tickNotices handles expired timeouts of calls with notices and starts calls that are due.
func (d *discoveryClient) tickNotices() {
	now := d.server.now
	for _, call := range slices.Clone(d.calls) {
		if call.timeoutAt <= now {
			d.server.endpointConns.Abort(call.exchange)
			d.noticesAnswered(call, protocol.Response{}, errNoAnswer)
		}
	}
	for _, call := range slices.Clone(d.usedConnCalls) {
		if call.timeoutAt <= now {
			d.server.endpointConns.Abort(call.exchange)
			d.usedConnAnswered(call, protocol.Response{}, errNoAnswer)
		}
	}
	for len(d.calls) < maxNoticeCalls && d.notify() {
	}
	d.notifyOverUsed()
	if d.spareDue() <= now {
		d.openSpare()
	}
}

// notify sends one call with notices that are due, up to maxNoticesPerCall, and reports whether there were
// any.
func (d *discoveryClient) notify() bool {
	if d.server.now < d.nextCallAt {
		return false
	}
	call := &noticeCall{timeoutAt: d.server.now + noticeTimeout}
	var notices []protocol.Notice
	for _, pending := range d.notices {
		if pending.nextAttemptAt <= d.server.now && len(notices) < maxNoticesPerCall && !d.waitsForSpool(pending) {
			pending.nextAttemptAt = d.server.now + noticeBackoff<<min(pending.attempts, 3)
			pending.attempts++
			call.notices, notices = append(call.notices, pending), append(notices, pending.content)
		}
	}
	if len(notices) == 0 {
		return false
	}
	call.exchange = &endpointconn.Exchange{Peer: d.peer(), NeedsBody: true, Request: protocol.EncodeNotices(d.server.deployment.Discovery, notices),
		OnResponseStart: func(bool) {}, OnEnd: func(a protocol.Response, err error) { d.noticesAnswered(call, a, err) }}
	d.calls = append(d.calls, call)
	d.server.endpointConns.Start(call.exchange)
	return true
}

// areNoticesTaken reports whether an answer to notices says that discovery has taken them.
func areNoticesTaken(answer protocol.Response) bool {
	return answer.Status == http.StatusNoContent || answer.Status == http.StatusOK
}

// noticeSlack is how long after the deadline of its message a notice is in time.
const noticeSlack = dispatch.Micros(platform.FinalAnswerSlack / time.Microsecond)

// logLateness logs a notice that is confirmed later than it should have been.
func (d *discoveryClient) logLateness(pending *pendingNotice, err error) {
	late := d.server.now - (pending.expiresAt - noticeLifetime)
	if err == nil && !pending.done && late > noticeSlack {
		d.server.log.Warn("notice confirmed late", "message", pending.content.ID, "late_ms", late/1000, "waited_ms", (d.server.now-pending.addedAt)/1000,
			"attempts", pending.attempts, "used_copies", pending.usedCopies)
	}
}

func (d *discoveryClient) noticesAnswered(call *noticeCall, answer protocol.Response, err error) {
	d.calls = slices.DeleteFunc(d.calls, func(other *noticeCall) bool { return other == call })
	switch {
	case err != nil:
	case answer.Status == http.StatusBadRequest:
		d.server.log.Error("notices rejected as malformed", "first", call.notices[0].content.ID)
	case !areNoticesTaken(answer):
		err = fmt.Errorf("status %d", answer.Status)
	}
	d.failedCalls++
	if err == nil {
		d.failedCalls, d.nextCallAt = 0, 0
	} else {
		// Failure: without a common delay, notices whose calls failed at once were retried in many small
		// calls, hundreds per second.
		d.nextCallAt = d.server.now + min(dispatch.Micros(noticeRetryDelay)<<min(d.failedCalls-1, 8), maxNoticeDelay)
		d.server.log.Warn("notices will be retried", "count", len(call.notices), "error", err)
	}
	for _, pending := range call.notices {
		d.logLateness(pending, err)
		if pending.done = pending.done || err == nil || d.server.now > pending.expiresAt; pending.done {
			d.server.removeFromSpool(pending.content.ID)
		} else {
			pending.nextAttemptAt = min(pending.nextAttemptAt, d.nextCallAt) // earlier than the backoff if the call failed at once
		}
	}
	d.notices = slices.DeleteFunc(d.notices, func(pending *pendingNotice) bool { return pending.done })
}
