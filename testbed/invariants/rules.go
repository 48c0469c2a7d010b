package invariants

import (
	"fmt"
	"slices"

	"pineport/dispatch"
)

// Rule is one of the six rules, or the requirement that no courier crashes.
type Rule string

// The rules. Their texts are keys and values in the JSON form of a Verdict.
const (
	FinalAnswer        Rule = "one final answer"      // an accepted message gets exactly one final answer, in time
	NoDuplicateEffect  Rule = "no effect twice"       // a message that must not be repeated does not take effect twice
	DrainRespected     Rule = "drains kept"           // no attempts at an endpoint that the courier knows to be draining or removed
	NoRecoveryOverload Rule = "no return pushed over" // couriers that observed an outage do not overload the route during its recovery
	WaitRespected      Rule = "waits heeded"          // no attempts on a route before its Retry-After time has passed
	KeyOrder           Rule = "order kept"            // messages with the same ordering key are sent in order
	NoCrash            Rule = "no crash"
)

// Rules returns the rules in the order in which they are reported.
func Rules() []Rule {
	return []Rule{FinalAnswer, NoDuplicateEffect, DrainRespected, NoRecoveryOverload, WaitRespected, KeyOrder, NoCrash}
}

// breaches counts the breaches of a rule and holds the first of them.
type breaches struct {
	count int
	first []Breach
}

// Breach is one breach of a rule.
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

// checkSend checks an attempt against the rules on final answers, effects, drains, Retry-After times and order.
func (l *Ledger) checkSend(at dispatch.Micros, r *message, p Target) {
	if r.end != Open && r.end != Dropped && !r.answerMayBeUnread && at > r.endAt+l.setup.ClockTolerance {
		l.breach(FinalAnswer, at, "%s was sent to %s after it was %s at %s", r.id, p.Endpoint, r.end, seconds(r.endAt))
	}
	l.checkRepeat(at, r, p)
	if notified, ok := l.notified[notifiedKey{r.courier, p.Endpoint}]; ok && at > notified+l.setup.DrainGrace+l.setup.ClockTolerance {
		l.breach(DrainRespected, at, "%s was sent to %s, which is draining or removed, as courier %d was notified at %s", r.id, p.Endpoint, r.courier, seconds(notified))
	}
	if w, ok := l.waits[waitKey{r.courier, routeKey{p.Dest, p.Route}}]; ok && at > w.from+l.setup.WaitGrace && at < w.to-l.setup.ClockTolerance {
		l.breach(WaitRespected, at, "%s was sent to %s, although courier %d had to wait until %s", r.id, p.Endpoint, r.courier, seconds(w.to))
	}
	if r.class.InOrder && r.key != "" {
		l.checkOrder(at, r)
	}
}

// checkRepeat checks a repeated attempt. An at-most-once message may be sent again only if no earlier attempt can have taken effect. A
// message with an idempotency key that may have taken effect may be sent again only within its deduplication window, to an endpoint that
// recognizes the repeat.
func (l *Ledger) checkRepeat(at dispatch.Micros, r *message, p Target) {
	if r.class.Idempotency == dispatch.Idempotent || len(r.attempts) == 0 {
		return
	}
	mayHaveEffect, effectAt, zone := r.mayHaveEffect, r.possibleEffectAt, r.possibleEffectZone
	for _, t := range r.attempts {
		if !t.ended && (!mayHaveEffect || t.sent < effectAt) {
			mayHaveEffect, effectAt, zone = true, t.sent, t.target.Zone
		}
	}
	switch {
	case !mayHaveEffect:
	case r.class.Idempotency == dispatch.AtMostOnce:
		l.breach(NoDuplicateEffect, at, "at-most-once message %s was sent to %s although an earlier attempt may have taken effect", r.id, p.Endpoint)
	case at > effectAt+r.class.DedupWindow+l.setup.ClockTolerance:
		l.breach(NoDuplicateEffect, at, "message %s with an idempotency key was sent to %s after its deduplication window of %s", r.id, p.Endpoint, seconds(r.class.DedupWindow))
	case r.class.DedupOneZone && p.Zone != zone:
		l.breach(NoDuplicateEffect, at, "message %s with an idempotency key was sent to %s, which does not recognize the repeat", r.id, p.Endpoint)
	}
}

// checkReject checks a rejection. A rejection tells the client that it can submit the message again without the risk of a second effect. If
// the message may have taken effect, that holds only if it is idempotent, or if endpoints of all zones recognize its idempotency key.
func (l *Ledger) checkReject(at dispatch.Micros, r *message) {
	mayHaveEffect := r.mayHaveEffect || r.openAttempts > 0
	if mayHaveEffect && (r.class.Idempotency == dispatch.AtMostOnce || r.class.Idempotency == dispatch.IdempotencyKey && r.class.DedupOneZone) {
		l.breach(NoDuplicateEffect, at, "%s was rejected although an attempt may have taken effect", r.id)
	}
}

// checkOrder checks that a message is not sent before all earlier messages with its ordering key have ended, and not for the first time
// during the cooldown of the key, which follows an attempt that may still be running.
func (l *Ledger) checkOrder(at dispatch.Micros, r *message) {
	queue := l.keyQueues[keyQueueID{r.courier, r.key}]
	queue.messages = slices.DeleteFunc(queue.messages, func(o *message) bool { return o.end != Open && o.openAttempts == 0 })
	if len(queue.messages) > 0 && queue.messages[0] != r {
		l.breach(KeyOrder, at, "%s was sent out of order: %s with the same ordering key has not ended", r.id, queue.messages[0].id)
		return
	}
	if at < queue.cooldownUntil-l.setup.ClockTolerance && len(r.attempts) == 0 {
		l.breach(KeyOrder, at, "%s was sent before the cooldown of its ordering key ended at %s", r.id, seconds(queue.cooldownUntil))
	}
}

// checkOverdue checks at the end of the run that all accepted messages got their final answer in time, and counts those that got none.
func (l *Ledger) checkOverdue(end dispatch.Micros) {
	for _, r := range l.messageOrder {
		latest := l.excusedUntil(r.courier, r.deadline+l.setup.AnswerGrace+l.setup.ClockTolerance)
		switch {
		case r.end == Open && end > latest:
			l.breach(FinalAnswer, latest, "%s got no final answer", r.id)
			l.counts.Lost++
		case (r.end == Rejected || r.end == Failed || r.end == Delivered) && r.endAt > latest:
			l.breach(FinalAnswer, r.endAt, "%s was %s %s after its deadline", r.id, r.end, seconds(r.endAt-r.deadline))
		}
	}
}

// excusedUntil returns the given time, or the end of the downtime of the courier that contains it.
func (l *Ledger) excusedUntil(courier int, at dispatch.Micros) dispatch.Micros {
	for _, d := range l.downtimes[courier] {
		if at >= d.from && at < d.to {
			at = d.to
		}
	}
	return at
}
