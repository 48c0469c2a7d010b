package soak

import (
	"fmt"
	"time"

	"pineport/testbed/scripted"
)

// The terms of the protocol page by which a run is judged.
const (
	// endSlack is how long after its deadline a message may end: 300 ms, and 50 ms between clocks.
	endSlack = 350 * time.Millisecond
	// restartSlack is how long after a restart nothing is overdue, with 50 ms between clocks.
	restartSlack = 1550 * time.Millisecond
	// orderSlack allows for events that two observers record in another order than they happened.
	orderSlack = 50 * time.Millisecond
)

// outage is a span in which no message is overdue: from the first signal that ends a process until the next one was ready.
type outage struct {
	from, until time.Time
	// killedAt is when a SIGKILL of the plan was sent to a process that still ran; zero if the process ended by itself or was overdue.
	killedAt time.Time
	// overdue is set if the process had not ended in time after SIGTERM. The kill that follows excuses no request.
	overdue bool
}

// dueAt returns when a message must have ended.
func dueAt(deadline time.Time, outages []outage) time.Time {
	due := deadline.Add(endSlack)
	for _, away := range outages {
		if !due.Before(away.from) && due.Before(away.until.Add(restartSlack)) {
			due = away.until.Add(restartSlack)
		}
	}
	return due
}

// diedNear reports whether the plan killed a process shortly before or after an instant.
func diedNear(at time.Time, outages []outage) bool {
	for _, away := range outages {
		if !away.killedAt.IsZero() && at.Sub(away.killedAt).Abs() < replyTimeout {
			return true
		}
	}
	return false
}

// isAway reports whether a process was about to end, or none was ready, at an instant.
func isAway(at time.Time, outages []outage) bool {
	for _, away := range outages {
		if at.After(away.from) && at.Before(away.until.Add(replyTimeout)) {
			return true
		}
	}
	return false
}

// judge compares how requests ended for clients with what endpoints and discovery saw, and adds counts and breaches to a result.
type judge struct {
	events  func(id string) []scripted.Event
	notices func(id string) []string
	outages []outage
	crowded bool // the courier had to close connections to accept others
	result  *Result
	start   time.Time
}

func (j *judge) breach(q *request, format string, args ...any) {
	j.result.Breaches = append(j.result.Breaches, fmt.Sprintf("%s, sent at %.3f: ", q.id, q.sentAt.Sub(j.start).Seconds())+fmt.Sprintf(format, args...))
}

// request judges one request.
func (j *judge) request(q *request) {
	switch q.result {
	case accepted:
		j.result.Accepted++
		j.accepted(q)
	case rejected:
		j.result.Rejected++
		j.noCallAfter(q, q.endedAt, "its rejection")
	case failed:
		j.result.Failed++
	case wrongReply:
		j.breach(q, "lost: wrong reply")
	case unanswered:
		j.result.Unanswered++
		if !diedNear(q.endedAt, j.outages) && q.completeSent {
			j.breach(q, "lost: its connection was closed without a reply at %.3f, and the courier had read it", q.endedAt.Sub(j.start).Seconds())
		}
	case unread:
		j.result.Unread++
		if q.partRead && q.completeSent && !j.crowded && !diedNear(q.endedAt, j.outages) {
			j.breach(q, "lost: its connection was closed without a reply at %.3f, and the courier had read a part of it", q.endedAt.Sub(j.start).Seconds())
		}
		if q.firstOnConn && !j.crowded && !isAway(q.endedAt, j.outages) {
			j.breach(q, "lost: its new connection was reset without a reply at %.3f", q.endedAt.Sub(j.start).Seconds())
		}
	}
}

// accepted judges a message that was accepted: it ends once, in time, and nothing is sent for it after that.
func (j *judge) accepted(q *request) {
	var calls, deliveries int
	var endedAt, noticedAt time.Time
	for _, event := range j.events(q.id) {
		switch event.Kind {
		case scripted.CallReceived:
			calls++
		case scripted.Delivered:
			deliveries++
		case scripted.NoticeReceived:
			noticedAt = event.At
		}
		if event.Kind != scripted.CallReceived && endedAt.IsZero() {
			endedAt = event.At
		}
	}
	switch due := dueAt(q.deadline(), j.outages); {
	case endedAt.IsZero():
		j.breach(q, "lost: no final answer, %d calls", calls)
	case endedAt.After(due):
		j.breach(q, "lost: its final answer came %.3f s after it was due, %d calls", endedAt.Sub(due).Seconds(), calls)
	}
	switch {
	case deliveries > 0:
		j.result.Delivered++
	case !noticedAt.IsZero():
		j.result.Notices++
	}
	if !noticedAt.IsZero() {
		if deliveries > 0 {
			j.result.ToldWrongly++
		}
		j.noCallAfter(q, noticedAt, "its notice")
	}
}

// noCallAfter reports calls for a message that an endpoint read after the message had ended.
func (j *judge) noCallAfter(q *request, end time.Time, what string) {
	for _, event := range j.events(q.id) {
		if event.Kind == scripted.CallReceived && event.At.After(end.Add(orderSlack)) {
			j.breach(q, "lost: forwarded %.3f s after %s", event.At.Sub(end).Seconds(), what)
		}
	}
}

// atMostOnce reports messages that must not run twice and were sent twice, or were refused although they may have run.
func (j *judge) atMostOnce(q *request, started int) {
	if !q.isAtMostOnce() || q.result == unknown {
		return
	}
	if started > 1 {
		j.breach(q, "duplicate: endpoints received it %d times", started)
	}
	if started > 0 && q.result == rejected {
		j.breach(q, "duplicate: rejected, but an endpoint received it")
	}
	if notices := j.notices(q.id); started > 0 && len(notices) > 0 && notices[0] == "deferred" {
		j.breach(q, "duplicate: its notice says \"deferred\" although an endpoint received it")
	}
}
