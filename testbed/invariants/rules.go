package invariants

import (
	"fmt"
	"slices"

	"pineport/dispatch"
)

// Rule is one of the six, or that nothing crashes.
type Rule string

// The rules, by what they ask for.
const (
	Final  Rule = "one final answer"
	Twice  Rule = "no effect twice"
	Drain  Rule = "drains kept"
	Pushed Rule = "no return pushed over"
	Waits  Rule = "waits heeded"
	Order  Rule = "order kept"
	Crash  Rule = "no crash"
)

// Rules lists them in order.
func Rules() []Rule { return []Rule{Final, Twice, Drain, Pushed, Waits, Order, Crash} }

// breach is how often a rule was broken, and the first times.
type breaches struct {
	count int
	first []Breach
}

// Breach is one time that a rule was broken.
type Breach struct {
	Rule Rule    `json:"rule"`
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

const maxExamples = 5

func (l *Ledger) breach(rule Rule, at dispatch.Micros, format string, args ...any) {
	b := l.breaches[rule]
	if b == nil {
		b = &breaches{}
		l.breaches[rule] = b
	}
	if b.count++; len(b.first) < maxExamples {
		b.first = append(b.first, Breach{rule, float64(at) / 1e6, fmt.Sprintf(format, args...)})
	}
}

// judgeSend holds an attempt against the rules on ends, effects, drains, waits and order.
func (l *Ledger) checkSend(at dispatch.Micros, r *message, p Place) {
	if r.end != Open && r.end != Dropped && !r.answerMayBeUnread && at > r.endAt+l.setup.Leeway {
		l.breach(Final, at, "%s was sent to %s after it was %s at %s", r.id, p.Endpoint, r.end, seconds(r.endAt))
	}
	l.checkRepeat(at, r, p)
	if notified, ok := l.notified[notifiedKey{r.courier, p.Endpoint}]; ok && at > notified+l.setup.DrainGrace+l.setup.Leeway {
		l.breach(Drain, at, "%s went to %s, which drains or is gone, as courier %d was told at %s", r.id, p.Endpoint, r.courier, seconds(notified))
	}
	if w, ok := l.waits[waitKey{r.courier, routeKey{p.Dest, p.Route}}]; ok && at > w.from+l.setup.WaitFrom && at < w.to-l.setup.Leeway {
		l.breach(Waits, at, "%s went to %s, while courier %d was told to wait until %s", r.id, p.Endpoint, r.courier, seconds(w.to))
	}
	if r.class.InOrder && r.key != "" {
		l.checkOrder(at, r)
	}
}

// judgeRepeat: an at-most-once message goes again only if every earlier attempt provably never ran; one with an idempotency key that may
// have run only in its window and group.
func (l *Ledger) checkRepeat(at dispatch.Micros, r *message, p Place) {
	if r.class.Repeat == dispatch.Idempotent || len(r.attempts) == 0 {
		return
	}
	mayHaveRun, firstRunAt, zone := r.mayHaveRun, r.firstRunAt, r.firstRunZone
	for _, t := range r.attempts {
		if !t.ended && (!mayHaveRun || t.sent < firstRunAt) {
			mayHaveRun, firstRunAt, zone = true, t.sent, t.target.Zone
		}
	}
	switch {
	case !mayHaveRun:
	case r.class.Repeat == dispatch.AtMostOnce:
		l.breach(Twice, at, "%s, single-use, went to %s though an earlier trip may have run", r.id, p.Endpoint)
	case at > firstRunAt+r.class.Window+l.setup.Leeway:
		l.breach(Twice, at, "%s, referenced, went to %s after its window of %s", r.id, p.Endpoint, seconds(r.class.Window))
	case r.class.OneZone && p.Zone != zone:
		l.breach(Twice, at, "%s, referenced, went to %s, which does not know the repeat", r.id, p.Endpoint)
	}
}

// judgeBounce: a reject says that trying again is harmless.
func (l *Ledger) checkReject(at dispatch.Micros, r *message) {
	mayHaveRun := r.mayHaveRun || r.openAttempts > 0
	if mayHaveRun && (r.class.Repeat == dispatch.AtMostOnce || r.class.Repeat == dispatch.IdempotencyKey && r.class.OneZone) {
		l.breach(Twice, at, "%s was bounced though a trip may have run", r.id)
	}
}

// judgeOrder: nothing is sent for a message while an earlier one of its key is not over.
func (l *Ledger) checkOrder(at dispatch.Micros, r *message) {
	queue := l.keyQueues[keyQueueID{r.courier, r.key}]
	queue.messages = slices.DeleteFunc(queue.messages, func(o *message) bool { return o.end != Open && o.openAttempts == 0 })
	if len(queue.messages) > 0 && queue.messages[0] != r {
		l.breach(Order, at, "%s went out of turn: %s of the same key is not over", r.id, queue.messages[0].id)
		return
	}
	if at < queue.holdUntil-l.setup.Leeway && len(r.attempts) == 0 {
		l.breach(Order, at, "%s went while its key had to rest until %s", r.id, seconds(queue.holdUntil))
	}
}

// overdue holds what was taken against its deadline, at the end of the day.
func (l *Ledger) checkOverdue(end dispatch.Micros) {
	for _, r := range l.messageOrder {
		latest := l.excusedUntil(r.courier, r.deadline+l.setup.AnswerSlack+l.setup.Leeway)
		switch {
		case r.end == Open && end > latest:
			l.breach(Final, latest, "%s was never answered", r.id)
			l.counts.Lost++
		case (r.end == Rejected || r.end == Failed || r.end == Delivered) && r.endAt > latest:
			l.breach(Final, r.endAt, "%s was %s %s after its cut-off", r.id, r.end, seconds(r.endAt-r.deadline))
		}
	}
}

// excused moves an instant out of the stretches in which a courier owed no answers.
func (l *Ledger) excusedUntil(courier int, at dispatch.Micros) dispatch.Micros {
	for _, d := range l.downtimes[courier] {
		if at >= d.from && at < d.to {
			at = d.to
		}
	}
	return at
}
