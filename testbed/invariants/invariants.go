// Package invariants checks the run of a scenario by its externally visible events: which messages were submitted, sent,
// answered and named in notices, and which took effect. It accounts for the value of the messages and checks each courier against the
// rules that Rules returns. The other parts of the testbed do not decide whether a run succeeded. The package does not know whether the time of
// the run was virtual or real, or how the couriers made their decisions.
package invariants

import (
	"fmt"
	"math"
	"sync"

	"pineport/dispatch"
)

// Class describes what a message class requires of a delivery.
type Class struct {
	Name                string
	Objective, Deadline dispatch.Micros
	Priority            float64
	LateValue           float64
	Idempotency         dispatch.Idempotency
	DedupWindow         dispatch.Micros
	DedupOneZone        bool
	InOrder             bool
}

// Setup is what the ledger has to know about a scenario.
type Setup struct {
	Classes         []Class
	Tenants         []string
	Quotas          []float64 // messages per second that each tenant may send at full value; 0: unlimited
	OverQuotaFactor float64
	HalvingDecay    bool // the value halves with each further latency objective, down to LateValue; otherwise it falls linearly until the deadline
	Length          dispatch.Micros
	AnswerGrace     dispatch.Micros
	DrainGrace      dispatch.Micros
	KeyCooldown     dispatch.Micros
	ScoreWeights    Weights
	Prices          Prices
	// ClockTolerance is the tolerance for an event that two processes record at different times; 0 in virtual time.
	ClockTolerance dispatch.Micros
	// WaitGrace is the period after the sending of a Retry-After time in which calls are still allowed, because the courier may
	// have sent them before it received the Retry-After time; 0 in virtual time.
	WaitGrace    dispatch.Micros
	RestartGrace dispatch.Micros // period after the restart of a courier in which no answer counts as overdue
}

// Weights are the weights of the parts of the score.
type Weights struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are deducted from the score: for wasted attempts, new connections and throttled attempts. Each price is multiplied by the
// number of such events per offered message.
type Prices struct{ Waste, Handshake, Refused float64 }

// Target identifies the endpoint to which a call is sent, and its route.
type Target struct {
	Dest     dispatch.DestinationID
	Route    int
	Endpoint dispatch.EndpointID
	Zone     dispatch.ZoneID
}

type routeKey struct {
	dest  dispatch.DestinationID
	route int
}

// End is the way in which a message ended.
type End int

// The ways in which a message ends. The first one means that it has not ended.
const (
	Open End = iota
	Delivered
	Rejected
	Failed
	Dropped   // no courier holds it: it was lost with a killed courier, or its client gave up before a courier accepted it
	Withdrawn // canceled by its client
)

func (e End) String() string {
	return [...]string{"open", "done", "bounced", "terminated", "dropped", "withdrawn"}[e]
}

// origin is a message across all its submissions.
type origin struct {
	class       int
	tenant      int
	dest        dispatch.DestinationID
	at          dispatch.Micros // when the message was due to be submitted for the first time
	value       float64         // value of a delivery within the latency objective
	earned      float64
	deliveredAt dispatch.Micros
	end         End
}

type message struct {
	id                 dispatch.MessageID
	origin             *origin
	class              *Class
	courier            int
	key                dispatch.OrderingKey
	deadline           dispatch.Micros
	acceptedAt         dispatch.Micros
	attempts           []*attempt
	end                End
	endAt              dispatch.Micros
	mayHaveEffect      bool
	possibleEffectAt   dispatch.Micros // when the first attempt that may have taken effect was sent
	possibleEffectZone dispatch.ZoneID // zone of the endpoint of that attempt
	openAttempts       int
	answerMayBeUnread  bool // its answer was on the way to a courier that was killed, and may be unread
}

type attempt struct {
	target  Target
	sent    dispatch.Micros
	ended   bool
	outcome dispatch.Outcome
}

type keyQueueID struct {
	courier int
	key     dispatch.OrderingKey
}

type keyQueue struct {
	messages      []*message
	cooldownUntil dispatch.Micros
}

type notifiedKey struct {
	courier  int
	endpoint dispatch.EndpointID
}

type waitKey struct {
	courier int
	route   routeKey
}

type wait struct{ from, to dispatch.Micros }

// downtime is a period in which a courier does not have to answer.
type downtime struct{ from, to dispatch.Micros }

// outage is the current or the last outage of a route.
type outage struct {
	since     dispatch.Micros
	active    bool
	observers map[int]bool // couriers that had an attempt fail during the outage
}

// Ledger records the events of a run and checks them. Its methods may be called concurrently. Events should be recorded
// in the order of their times, except for differences as small as Setup.ClockTolerance.
type Ledger struct {
	mu           sync.Mutex
	setup        Setup
	origins      map[dispatch.MessageID]*origin
	originOrder  []*origin
	messages     map[dispatch.MessageID]*message
	messageOrder []*message
	keyQueues    map[keyQueueID]*keyQueue
	notified     map[notifiedKey]dispatch.Micros
	waits        map[waitKey]wait
	downtimes    map[int][]downtime
	killed       map[int]dispatch.Micros
	outages      map[routeKey]*outage
	quotas       []quota
	breaches     map[Rule]*breaches
	counts       Counts
	series       series
	latency      latencies
}

type quota struct {
	tokens     float64
	refilledAt dispatch.Micros
}

// New returns an empty ledger.
func New(setup Setup) *Ledger {
	return &Ledger{setup: setup, origins: map[dispatch.MessageID]*origin{}, messages: map[dispatch.MessageID]*message{},
		keyQueues: map[keyQueueID]*keyQueue{}, notified: map[notifiedKey]dispatch.Micros{}, waits: map[waitKey]wait{}, downtimes: map[int][]downtime{}, killed: map[int]dispatch.Micros{},
		outages: map[routeKey]*outage{}, quotas: make([]quota, len(setup.Quotas)), breaches: map[Rule]*breaches{},
		series: series{dests: map[dispatch.DestinationID]*DestSeries{}}, latency: newLatencies(setup.Classes)}
}

// Offered records that a client has a new message.
func (l *Ledger) Offered(at dispatch.Micros, id dispatch.MessageID, class, tenant int, dest dispatch.DestinationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.setup.Classes[class]
	o := &origin{class: class, tenant: tenant, dest: dest, at: at, value: w.Priority}
	if !l.takeQuota(at, tenant) {
		o.value *= l.setup.OverQuotaFactor
	}
	l.origins[id] = o
	l.originOrder = append(l.originOrder, o)
	l.counts.Offered++
}

// takeQuota reports whether a message is within the quota of its tenant, and deducts it from the quota if so. At most the quota
// of two seconds and one message accumulates.
func (l *Ledger) takeQuota(at dispatch.Micros, tenant int) bool {
	if tenant >= len(l.quotas) || l.setup.Quotas[tenant] <= 0 {
		return true
	}
	q, perSec := &l.quotas[tenant], l.setup.Quotas[tenant]
	q.tokens = min(2*perSec+1, q.tokens+perSec*float64(max(0, at-q.refilledAt))/1e6)
	q.refilledAt = max(q.refilledAt, at)
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// Accepted records that a courier accepted a message and from now on must give it a final answer.
func (l *Ledger) Accepted(at dispatch.Micros, id, originID dispatch.MessageID, courier int, key dispatch.OrderingKey, deadline dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.origins[originID]
	if o == nil {
		l.breach(FinalAnswer, at, "courier %d accepted %s, which no client had offered", courier, originID)
		return
	}
	r := &message{id: id, origin: o, class: &l.setup.Classes[o.class], courier: courier, key: key, deadline: deadline, acceptedAt: at}
	l.messages[id] = r
	l.messageOrder = append(l.messageOrder, r)
	l.counts.Accepted++
	l.series.changeOpen(at, 1)
	if r.class.InOrder && key != "" {
		k := keyQueueID{courier, key}
		if l.keyQueues[k] == nil {
			l.keyQueues[k] = &keyQueue{}
		}
		l.keyQueues[k].messages = append(l.keyQueues[k].messages, r)
	}
}

// AttemptSent records that a courier started an attempt of a message, and returns the number of the attempt.
func (l *Ledger) AttemptSent(at dispatch.Micros, id dispatch.MessageID, p Target) (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	if r == nil {
		l.breach(FinalAnswer, at, "a call contains %s, which no courier had accepted", id)
		return -1
	}
	l.counts.Attempts++
	l.series.countAttempt(at, p.Dest)
	l.checkSend(at, r, p)
	r.attempts = append(r.attempts, &attempt{target: p, sent: at})
	r.openAttempts++
	return len(r.attempts) - 1
}

// AttemptEnded records the outcome of an attempt. The attempt ends with its answer, or when the courier stops waiting for the answer.
// retryAfter is the Retry-After time of the answer; 0: none.
func (l *Ledger) AttemptEnded(at dispatch.Micros, id dispatch.MessageID, number int, o dispatch.Outcome, retryAfter dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return
	}
	t := r.attempts[number]
	t.ended, t.outcome = true, o
	r.openAttempts--
	rk := routeKey{t.target.Dest, t.target.Route}
	l.series.countOutcome(at, t.target.Dest, o)
	l.counts.countOutcome(o)
	mayHaveEffect := o != dispatch.Throttled && o != dispatch.Unreachable && o != dispatch.Unprocessed
	if mayHaveEffect && !r.mayHaveEffect {
		r.mayHaveEffect, r.possibleEffectAt, r.possibleEffectZone = true, t.sent, t.target.Zone
	}
	if retryAfter > 0 {
		k := waitKey{r.courier, rk}
		w := l.waits[k]
		if to := at + retryAfter; to > w.to {
			from := at
			if w.to > at { // the new wait continues an earlier one
				from = w.from
			}
			l.waits[k] = wait{from, to}
		}
	}
	if current := l.outages[rk]; current != nil && current.active && o != dispatch.Delivered && o != dispatch.Unprocessed && o != dispatch.Canceled {
		current.observers[r.courier] = true
	}
	if r.class.InOrder && r.key != "" && (o == dispatch.TimedOut || o == dispatch.Broken || o == dispatch.Canceled) {
		queue := l.keyQueues[keyQueueID{r.courier, r.key}]
		queue.cooldownUntil = max(queue.cooldownUntil, at+l.setup.KeyCooldown)
	}
	if o == dispatch.Delivered {
		_, dead := l.killed[r.courier]
		r.answerMayBeUnread = r.answerMayBeUnread || dead && r.end == Open
		l.delivered(at, r)
	}
}

// delivered records a delivery and credits the value of the message.
func (l *Ledger) delivered(at dispatch.Micros, r *message) {
	if r.end == Rejected || r.end == Failed {
		return // its client has received a different final answer
	}
	if r.end == Open {
		r.end, r.endAt = Delivered, at
		l.series.changeOpen(at, -1)
		l.counts.Delivered++
	}
	o := r.origin
	if o.end == Delivered {
		return
	}
	o.end, o.deliveredAt = Delivered, at
	o.earned = o.value * l.valueShare(o, at)
	l.latency.record(o.class, at-o.at)
}

// valueShare returns the share of the value of a message that a delivery at a time earns.
func (l *Ledger) valueShare(o *origin, at dispatch.Micros) float64 {
	w := &l.setup.Classes[o.class]
	late := float64(at - o.at - w.Objective)
	switch {
	case at > o.at+w.Deadline+l.setup.AnswerGrace+l.setup.ClockTolerance:
		return 0
	case late <= 0:
		return 1
	case l.setup.HalvingDecay:
		return max(w.LateValue, math.Exp2(-late/float64(w.Objective)))
	}
	return 1 - (1-w.LateValue)*min(1, late/float64(w.Deadline-w.Objective))
}

// MessageEnded records that a message ended without a delivery.
func (l *Ledger) MessageEnded(at dispatch.Micros, id dispatch.MessageID, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended(at, id, end)
}

func (l *Ledger) ended(at dispatch.Micros, id dispatch.MessageID, end End) {
	r := l.messages[id]
	if r == nil {
		if end == Rejected || end == Failed {
			l.breach(FinalAnswer, at, "%s was %s, although no courier had accepted it", id, end)
		}
		return
	}
	if r.end != Open {
		if end == Rejected || end == Failed {
			l.breach(FinalAnswer, at, "%s was %s after it was %s", id, end, r.end)
		}
		return
	}
	if end == Rejected {
		l.checkReject(at, r)
	}
	r.end, r.endAt = end, at
	l.series.changeOpen(at, -1)
	switch end {
	case Rejected:
		l.counts.Rejected++
	case Failed:
		l.counts.Failed++
	}
	if r.origin.end != Delivered {
		r.origin.end = end
	}
}

// NoticeReceived records a notice for a message and reports whether the notice ended the message. Notices are sent again until they are
// confirmed, so a notice for an ended message is ignored.
func (l *Ledger) NoticeReceived(at dispatch.Micros, id dispatch.MessageID, end End) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.messages[id]; r != nil && r.end != Open {
		return false
	}
	l.ended(at, id, end)
	return true
}

// MayHaveRun reports whether any attempt of a message may have taken effect, as far as its client can know.
func (l *Ledger) MayHaveRun(id dispatch.MessageID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	return r != nil && (r.mayHaveEffect || r.openAttempts > 0)
}

// EffectOccurred records that an endpoint processed a message. earlier is the number of earlier effects of the message. deduplicated is set if
// the destination recognized a repeat, which then had no further effect.
func (l *Ledger) EffectOccurred(at dispatch.Micros, id dispatch.MessageID, endpoint dispatch.EndpointID, earlier int, deduplicated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Effects++
	r := l.messages[id]
	if r == nil || earlier == 0 || deduplicated {
		return
	}
	l.counts.Repeats++
	// Repeats of messages with an idempotency key are checked when they are sent. A repeat of a dropped message comes from its
	// client, which submits it again after its courier was killed.
	if r.class.Idempotency == dispatch.AtMostOnce && r.end != Dropped {
		l.breach(NoDuplicateEffect, at, "%s took effect %d times, the last time at %s", id, earlier+1, endpoint)
	}
}

// EndpointNotified records that a courier was notified that an endpoint is draining, removed, or in service again.
func (l *Ledger) EndpointNotified(at dispatch.Micros, courier int, endpoint dispatch.EndpointID, phase dispatch.Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := notifiedKey{courier, endpoint}
	if phase == dispatch.InService {
		delete(l.notified, k)
	} else if _, ok := l.notified[k]; !ok {
		l.notified[k] = at
	}
}

// CourierDown records that a courier has stopped; CourierUp records that it serves again. If losesMessages is set, the courier loses the messages
// that it holds and the notifications about endpoints. If losesLearned is set, it loses its learned state, so that it no longer
// counts as an observer of the current outages.
func (l *Ledger) CourierDown(at dispatch.Micros, courier int, losesMessages, losesLearned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downtimes[courier] = append(l.downtimes[courier], downtime{at, math.MaxInt64})
	for k := range l.waits {
		if k.courier == courier {
			delete(l.waits, k) // a Retry-After time does not bind a restarted courier
		}
	}
	for k := range l.notified {
		if losesMessages && k.courier == courier {
			delete(l.notified, k)
		}
	}
	if losesLearned {
		for _, o := range l.outages {
			delete(o.observers, courier)
		}
	}
	if !losesMessages {
		return
	}
	for _, r := range l.messageOrder {
		if r.courier == courier && r.end == Open {
			r.end, r.endAt = Dropped, at
			l.series.changeOpen(at, -1)
		}
	}
	for k := range l.keyQueues {
		if k.courier == courier {
			delete(l.keyQueues, k)
		}
	}
}

// CourierKilled records that a courier was killed. An answer on its way to the courier may be unread, so its message may be sent again, as
// far as its class allows that.
func (l *Ledger) CourierKilled(at dispatch.Micros, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed[courier] = at
	for _, r := range l.messageOrder {
		r.answerMayBeUnread = r.answerMayBeUnread || r.courier == courier && r.end == Delivered && r.endAt+l.setup.ClockTolerance >= at
	}
}

// CourierUp records that a courier serves again.
func (l *Ledger) CourierUp(at dispatch.Micros, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.killed, courier)
	for i, d := range l.downtimes[courier] {
		if d.to == math.MaxInt64 {
			l.downtimes[courier][i].to = at + l.setup.RestartGrace
		}
	}
}

// CourierPaused records that a courier is paused until a time and cannot answer during the pause.
func (l *Ledger) CourierPaused(at dispatch.Micros, courier int, to dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downtimes[courier] = append(l.downtimes[courier], downtime{at, to})
}

// RouteChanged records that an outage of a route started or ended.
func (l *Ledger) RouteChanged(at dispatch.Micros, dest dispatch.DestinationID, route int, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := routeKey{dest, route}
	current := l.outages[k]
	switch {
	case out && (current == nil || !current.active):
		l.outages[k] = &outage{since: at, active: true, observers: map[int]bool{}}
		l.series.routeOutage(at, dest, true)
	case !out && current != nil && current.active:
		current.active, current.since = false, at
		l.series.routeOutage(at, dest, false)
	}
}

// RouteOverloaded records that a recovering route was overloaded. sent holds the number of calls from each courier. The overload breaks a rule if
// at least two thirds of the calls came from couriers that had observed the outage.
func (l *Ledger) RouteOverloaded(at dispatch.Micros, dest dispatch.DestinationID, route int, sent map[int]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.RouteOverloads++
	o, fromObservers, all := l.outages[routeKey{dest, route}], 0.0, 0.0
	for courier, n := range sent {
		all += n
		if o != nil && o.observers[courier] {
			fromObservers += n
		}
	}
	if fromObservers >= all*2/3 {
		l.breach(NoRecoveryOverload, at, "destination %d was overloaded during its recovery: %.0f of %.0f calls came from couriers that had observed the outage",
			dest, fromObservers, all)
	}
}

// ConnectionOpened records that a courier opened a connection.
func (l *Ledger) ConnectionOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Handshakes++
}

// CourierCrashed records that a courier exited unexpectedly, its dispatcher failed, or it sent an invalid call.
func (l *Ledger) CourierCrashed(at dispatch.Micros, courier int, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(NoCrash, at, "courier %d: %s", courier, reason)
}

func seconds(t dispatch.Micros) string { return fmt.Sprintf("%.3f s", float64(t)/1e6) }

// OpenMessages returns the number of accepted messages without a final answer.
func (l *Ledger) OpenMessages() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.series.open
}

// IsExcused reports whether a courier does not have to answer at a time.
func (l *Ledger) IsExcused(at dispatch.Micros, courier int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excusedUntil(courier, at) != at
}

// Unanswered records that a running courier closed a connection without answering a message that it had read from it.
func (l *Ledger) Unanswered(at dispatch.Micros, id dispatch.MessageID, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(FinalAnswer, at, "courier %d closed a connection without an answer to %s", courier, id)
}
