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
	FinalAnswer        Rule = "one final answer"
	NoDuplicateEffect  Rule = "no effect twice"
	DrainRespected     Rule = "drains kept"
	NoRecoveryOverload Rule = "no return pushed over"
	WaitRespected      Rule = "waits heeded"
	KeyOrder           Rule = "order kept"
	NoCrash            Rule = "no crash"
)

// Rules lists them in order.
func Rules() []Rule {
	return []Rule{FinalAnswer, NoDuplicateEffect, DrainRespected, NoRecoveryOverload, WaitRespected, KeyOrder, NoCrash}
}

// breach is how often a rule was broken, and the first times.
type breach struct {
	count int
	first []Breach
}

// Breach is one time that a rule was broken.
type Breach struct {
	Rule Rule    `json:"rule"`
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

const examples = 5

func (l *Ledger) breach(rule Rule, at dispatch.Micros, format string, args ...any) {
	b := l.breaches[rule]
	if b == nil {
		b = &breach{}
		l.breaches[rule] = b
	}
	if b.count++; len(b.first) < examples {
		b.first = append(b.first, Breach{rule, float64(at) / 1e6, fmt.Sprintf(format, args...)})
	}
}

// judgeSend holds an attempt against the rules on ends, effects, drains, waits and order.
func (l *Ledger) judgeSend(at dispatch.Micros, r *message, p Target) {
	if r.end != Open && r.end != Dropped && !r.unheard && at > r.endAt+l.setup.ClockTolerance {
		l.breach(FinalAnswer, at, "%s was sent to %s after it was %s at %s", r.id, p.Endpoint, r.end, seconds(r.endAt))
	}
	l.judgeRepeat(at, r, p)
	if notified, ok := l.notified[notifiedKey{r.courier, p.Endpoint}]; ok && at > notified+l.setup.DrainGrace+l.setup.ClockTolerance {
		l.breach(DrainRespected, at, "%s went to %s, which drains or is gone, as courier %d was told at %s", r.id, p.Endpoint, r.courier, seconds(notified))
	}
	if w, ok := l.waits[waitKey{r.courier, routeKey{p.Dest, p.Route}}]; ok && at > w.from+l.setup.WaitGrace && at < w.to-l.setup.ClockTolerance {
		l.breach(WaitRespected, at, "%s went to %s, while courier %d was told to wait until %s", r.id, p.Endpoint, r.courier, seconds(w.to))
	}
	if r.work.InOrder && r.key != "" {
		l.judgeOrder(at, r)
	}
}

// judgeRepeat: an at-most-once message goes again only if every earlier attempt provably never ran; one with an idempotency key that may
// have run only in its window and group.
func (l *Ledger) judgeRepeat(at dispatch.Micros, r *message, p Target) {
	if r.work.Idempotency == dispatch.Idempotent || len(r.attempts) == 0 {
		return
	}
	may, ranAt, zone := r.mayRan, r.ranAt, r.ranZone
	for _, t := range r.attempts {
		if !t.over && (!may || t.sent < ranAt) {
			may, ranAt, zone = true, t.sent, t.place.Zone
		}
	}
	switch {
	case !may:
	case r.work.Idempotency == dispatch.AtMostOnce:
		l.breach(NoDuplicateEffect, at, "%s, single-use, went to %s though an earlier trip may have run", r.id, p.Endpoint)
	case at > ranAt+r.work.DedupWindow+l.setup.ClockTolerance:
		l.breach(NoDuplicateEffect, at, "%s, referenced, went to %s after its window of %s", r.id, p.Endpoint, seconds(r.work.DedupWindow))
	case r.work.DedupOneZone && p.Zone != zone:
		l.breach(NoDuplicateEffect, at, "%s, referenced, went to %s, which does not know the repeat", r.id, p.Endpoint)
	}
}

// judgeBounce: a reject says that trying again is harmless.
func (l *Ledger) judgeReject(at dispatch.Micros, r *message) {
	may := r.mayRan || r.out > 0
	if may && (r.work.Idempotency == dispatch.AtMostOnce || r.work.Idempotency == dispatch.IdempotencyKey && r.work.DedupOneZone) {
		l.breach(NoDuplicateEffect, at, "%s was bounced though a trip may have run", r.id)
	}
}

// judgeOrder: nothing is sent for a message while an earlier one of its key is not over.
func (l *Ledger) judgeOrder(at dispatch.Micros, r *message) {
	line := l.lines[keyOf{r.courier, r.key}]
	line.messages = slices.DeleteFunc(line.messages, func(o *message) bool { return o.end != Open && o.out == 0 })
	if len(line.messages) > 0 && line.messages[0] != r {
		l.breach(KeyOrder, at, "%s went out of turn: %s of the same key is not over", r.id, line.messages[0].id)
		return
	}
	if at < line.restTo-l.setup.ClockTolerance && len(r.attempts) == 0 {
		l.breach(KeyOrder, at, "%s went while its key had to rest until %s", r.id, seconds(line.restTo))
	}
}

// overdue holds what was taken against its deadline, at the end of the day.
func (l *Ledger) overdue(end dispatch.Micros) {
	for _, r := range l.all {
		by := l.excused(r.courier, r.cutOff+l.setup.AnswerGrace+l.setup.ClockTolerance)
		switch {
		case r.end == Open && end > by:
			l.breach(FinalAnswer, by, "%s was never answered", r.id)
			l.counts.Lost++
		case (r.end == Rejected || r.end == Failed || r.end == Delivered) && r.endAt > by:
			l.breach(FinalAnswer, r.endAt, "%s was %s %s after its cut-off", r.id, r.end, seconds(r.endAt-r.cutOff))
		}
	}
}

// excused moves an instant out of the stretches in which a courier owed no answers.
func (l *Ledger) excused(courier int, at dispatch.Micros) dispatch.Micros {
	for _, d := range l.downs[courier] {
		if at >= d.from && at < d.to {
			at = d.to
		}
	}
	return at
}
