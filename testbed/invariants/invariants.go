// Package invariants judges a day by what was seen of it from outside: what was submitted, sent, answered, reported and what
// took effect. It keeps the books of value and holds every courier against the six rules. No other part of the
// testbed says whether a day was good, and it knows neither whether the day was virtual nor which decisions were made.
package invariants

import (
	"fmt"
	"math"
	"sync"

	"pineport/dispatch"
)

// Class is what a kind of message promises.
type Class struct {
	Name                string
	Objective, Deadline dispatch.Micros
	Priority            float64
	LateValue           float64
	Repeat              dispatch.Idempotency
	Window              dispatch.Micros
	OneZone             bool
	InOrder             bool
}

// Setup is what the ledger is notified of a day.
type Setup struct {
	Classes         []Class
	Tenants         []string
	Quotas          []float64 // messages a second within a tenant's share; 0: no share
	OverQuotaFactor float64
	HalvingDecay    bool // value halves with each further latency objective, else falls evenly
	Length          dispatch.Micros
	AnswerSlack     dispatch.Micros
	DrainGrace      dispatch.Micros
	KeyHold         dispatch.Micros
	Goal            Weights
	Prices          Prices
	// Leeway is what is granted for clocks of two tenants that do not see the same instant; 0 in virtual time.
	Leeway dispatch.Micros
	// WaitFrom: calls that come so soon after a wait was notified crossed it; 0 in virtual time.
	WaitFrom dispatch.Micros
	// Excused is how long after a courier is up again no answer is overdue.
	Excused dispatch.Micros
}

// Weights of a day's figure.
type Weights struct{ Whole, Window, WorstClass, WorstTenant float64 }

// Prices come off it, each times its count over the messages offered.
type Prices struct{ Waste, Handshake, Refused float64 }

// Place is where a call goes.
type Place struct {
	Dest     dispatch.DestinationID
	Route    int
	Endpoint dispatch.EndpointID
	Zone     dispatch.ZoneID
}

type routeKey struct {
	dest  dispatch.DestinationID
	route int
}

// End is how a message ended.
type End int

// The ends of a message.
const (
	Open End = iota
	Delivered
	Rejected
	Failed
	Dropped   // its courier was killed and held it in memory only, or its client gave it up before it was taken on
	Withdrawn // by its client
)

func (e End) String() string {
	return [...]string{"open", "done", "bounced", "terminated", "dropped", "withdrawn"}[e]
}

// origin is a message through all its submissions.
type origin struct {
	class       int
	tenant      int
	dest        dispatch.DestinationID
	at          dispatch.Micros // when it was due to be submitted first
	value       float64         // within its latency objective
	earned      float64
	deliveredAt dispatch.Micros
	end         End
}

type message struct {
	id                dispatch.MessageID
	origin            *origin
	class             *Class
	courier           int
	key               dispatch.OrderingKey
	deadline          dispatch.Micros
	acceptedAt        dispatch.Micros
	attempts          []*attempt
	end               End
	endAt             dispatch.Micros
	mayHaveRun        bool
	firstRunAt        dispatch.Micros
	firstRunZone      dispatch.ZoneID
	openAttempts      int
	answerMayBeUnread bool // its answer went to a courier that was killed then, and may not have been read
}

type attempt struct {
	target  Place
	sent    dispatch.Micros
	ended   bool
	outcome dispatch.Outcome
}

type keyQueueID struct {
	courier int
	key     dispatch.OrderingKey
}

type keyQueue struct {
	messages  []*message
	holdUntil dispatch.Micros
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

// down is a stretch in which a courier owed no answers.
type downtime struct{ from, to dispatch.Micros }

// outage is what is kept of the present or last outage of a route.
type outage struct {
	since     dispatch.Micros
	active    bool
	observers map[int]bool // couriers that saw it
}

// Ledger keeps the books. Its methods may be called from any goroutine; instants should not run backwards by much.
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

// New begins the books of a day.
func New(setup Setup) *Ledger {
	return &Ledger{setup: setup, origins: map[dispatch.MessageID]*origin{}, messages: map[dispatch.MessageID]*message{},
		keyQueues: map[keyQueueID]*keyQueue{}, notified: map[notifiedKey]dispatch.Micros{}, waits: map[waitKey]wait{}, downtimes: map[int][]downtime{}, killed: map[int]dispatch.Micros{},
		outages: map[routeKey]*outage{}, quotas: make([]quota, len(setup.Quotas)), breaches: map[Rule]*breaches{},
		series: series{dests: map[dispatch.DestinationID]*DestSeries{}}, latency: newLatencies(setup.Classes)}
}

// Offered notes that a client has a message for the first time.
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

// withinShare spends a tenant's share; two seconds of it may be saved up.
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

// Taken notes that a courier accepted a message, and owes its final answer from now on.
func (l *Ledger) Taken(at dispatch.Micros, id, originID dispatch.MessageID, courier int, key dispatch.OrderingKey, cutOff dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.origins[originID]
	if o == nil {
		l.breach(Final, at, "courier %d was handed %s, which nobody offered", courier, originID)
		return
	}
	r := &message{id: id, origin: o, class: &l.setup.Classes[o.class], courier: courier, key: key, deadline: cutOff, acceptedAt: at}
	l.messages[id] = r
	l.messageOrder = append(l.messageOrder, r)
	l.counts.Taken++
	l.series.changeOpen(at, 1)
	if r.class.InOrder && key != "" {
		k := keyQueueID{courier, key}
		if l.keyQueues[k] == nil {
			l.keyQueues[k] = &keyQueue{}
		}
		l.keyQueues[k].messages = append(l.keyQueues[k].messages, r)
	}
}

// Sent notes that a courier began an attempt of a message, and returns its number.
func (l *Ledger) Sent(at dispatch.Micros, id dispatch.MessageID, p Place) (no int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	if r == nil {
		l.breach(Final, at, "a call for %s, which no courier had taken", id)
		return -1
	}
	l.counts.Attempts++
	l.series.countCall(at, p.Dest)
	l.checkSend(at, r, p)
	r.attempts = append(r.attempts, &attempt{target: p, sent: at})
	r.openAttempts++
	return len(r.attempts) - 1
}

// Settled notes that a courier has the outcome of an attempt, or has stopped waiting for it.
func (l *Ledger) Settled(at dispatch.Micros, id dispatch.MessageID, no int, o dispatch.Outcome, retryAfter dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	if r == nil || no < 0 || no >= len(r.attempts) || r.attempts[no].ended {
		return
	}
	t := r.attempts[no]
	t.ended, t.outcome = true, o
	r.openAttempts--
	rk := routeKey{t.target.Dest, t.target.Route}
	l.series.countOutcome(at, t.target.Dest, o)
	l.counts.countOutcome(o)
	mayRun := o != dispatch.Throttled && o != dispatch.Unreachable && o != dispatch.Unprocessed
	if mayRun && !r.mayHaveRun {
		r.mayHaveRun, r.firstRunAt, r.firstRunZone = true, t.sent, t.target.Zone
	}
	if retryAfter > 0 {
		k := waitKey{r.courier, rk}
		w := l.waits[k]
		if to := at + retryAfter; to > w.to {
			from := at
			if w.to > at { // one wait runs into the next
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
		queue.holdUntil = max(queue.holdUntil, at+l.setup.KeyHold)
	}
	if o == dispatch.Delivered {
		_, dead := l.killed[r.courier]
		r.answerMayBeUnread = r.answerMayBeUnread || dead && r.end == Open
		l.delivered(at, r)
	}
}

// delivered counts a message's value.
func (l *Ledger) delivered(at dispatch.Micros, r *message) {
	if r.end == Rejected || r.end == Failed {
		return // its client was notified otherwise
	}
	if r.end == Open {
		r.end, r.endAt = Delivered, at
		l.series.changeOpen(at, -1)
		l.counts.Done++
	}
	o := r.origin
	if o.end == Delivered {
		return
	}
	o.end, o.deliveredAt = Delivered, at
	o.earned = o.value * l.valueShare(o, at)
	l.latency.record(o.class, at-o.at)
}

// part is what is left of a message's value at an instant.
func (l *Ledger) valueShare(o *origin, at dispatch.Micros) float64 {
	w := &l.setup.Classes[o.class]
	late := float64(at - o.at - w.Objective)
	switch {
	case at > o.at+w.Deadline+l.setup.AnswerSlack+l.setup.Leeway:
		return 0
	case late <= 0:
		return 1
	case l.setup.HalvingDecay:
		return max(w.LateValue, math.Exp2(-late/float64(w.Objective)))
	}
	return 1 - (1-w.LateValue)*min(1, late/float64(w.Deadline-w.Objective))
}

// Ended notes that a message has its final answer without having been delivered.
func (l *Ledger) Ended(at dispatch.Micros, id dispatch.MessageID, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended(at, id, end)
}

func (l *Ledger) ended(at dispatch.Micros, id dispatch.MessageID, end End) {
	r := l.messages[id]
	if r == nil {
		if end == Rejected || end == Failed {
			l.breach(Final, at, "%s was %s and had never been taken", id, end)
		}
		return
	}
	if r.end != Open {
		if end == Rejected || end == Failed {
			l.breach(Final, at, "%s was %s after it was %s", id, end, r.end)
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

// Noticed takes a notice for a message; it tells whether that ended it. Notices are sent until they are confirmed, and one
// for a message that is over does no harm.
func (l *Ledger) Noticed(at dispatch.Micros, id dispatch.MessageID, end End) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.messages[id]; r != nil && r.end != Open {
		return false
	}
	l.ended(at, id, end)
	return true
}

// MayHaveRun tells whether any attempt of a message may have taken effect, as far as its client can know.
func (l *Ledger) MayHaveRun(id dispatch.MessageID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	return r != nil && (r.mayHaveRun || r.openAttempts > 0)
}

// Ran notes that a message took effect; before is how often it had done so already, known whether the repeat was recognized.
func (l *Ledger) Ran(at dispatch.Micros, id dispatch.MessageID, endpoint dispatch.EndpointID, earlier int, deduplicated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Effects++
	r := l.messages[id]
	if r == nil || earlier == 0 || deduplicated {
		return
	}
	l.counts.Repeats++
	// A with an idempotency key message's repeats are judged when they are sent: a submission after a courier died is its client's.
	if r.class.Repeat == dispatch.AtMostOnce && r.end != Dropped {
		l.breach(Twice, at, "%s took effect for the %d. time, at %s", id, earlier+1, endpoint)
	}
}

// Notified notes that a courier was notified that an endpoint drains or is gone, or is in service again.
func (l *Ledger) Notified(at dispatch.Micros, courier int, endpoint dispatch.EndpointID, phase dispatch.Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := notifiedKey{courier, endpoint}
	if phase == dispatch.InService {
		delete(l.notified, k)
	} else if _, ok := l.notified[k]; !ok {
		l.notified[k] = at
	}
}

// Down notes that a courier is away, until Back. Where lost is set, what it held went with it; where it forgets, nothing that it had
// learned survives, and nobody can ask it to know.
func (l *Ledger) Down(at dispatch.Micros, courier int, losesMessages, losesLearned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downtimes[courier] = append(l.downtimes[courier], downtime{at, math.MaxInt64})
	for k := range l.waits {
		if k.courier == courier {
			delete(l.waits, k) // a restart ends a wait
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

// Killed notes that a courier was killed. An answer that was on its way to it then may not have been read: what it was for may
// go again, as far as its class allows.
func (l *Ledger) Killed(at dispatch.Micros, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed[courier] = at
	for _, r := range l.messageOrder {
		r.answerMayBeUnread = r.answerMayBeUnread || r.courier == courier && r.end == Delivered && r.endAt+l.setup.Leeway >= at
	}
}

// Back notes that a courier serves again.
func (l *Ledger) Back(at dispatch.Micros, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.killed, courier)
	for i, d := range l.downtimes[courier] {
		if d.to == math.MaxInt64 {
			l.downtimes[courier][i].to = at + l.setup.Excused
		}
	}
}

// Stood notes that a courier was paused, and could answer nothing until then.
func (l *Ledger) Stood(at dispatch.Micros, courier int, to dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downtimes[courier] = append(l.downtimes[courier], downtime{at, to})
}

// Turned notes that the health of a route changed.
func (l *Ledger) Turned(at dispatch.Micros, dest dispatch.DestinationID, route int, out bool) {
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

// Fell notes that a recovering route was sent more than it could take; sent has what each courier sent of that.
func (l *Ledger) Fell(at dispatch.Micros, dest dispatch.DestinationID, route int, sent map[int]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Falls++
	o, fromObservers, all := l.outages[routeKey{dest, route}], 0.0, 0.0
	for courier, n := range sent {
		all += n
		if o != nil && o.observers[courier] {
			fromObservers += n
		}
	}
	if fromObservers >= all*2/3 {
		l.breach(Pushed, at, "destination %d was pushed over on its return: %.0f of %.0f calls came from couriers that knew",
			dest, fromObservers, all)
	}
}

// Shook notes that a courier opened a new connection.
func (l *Ledger) Shook() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Handshakes++
}

// Crashed notes that a courier exited by itself, or its decisions failed.
func (l *Ledger) Crashed(at dispatch.Micros, courier int, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(Crash, at, "courier %d: %s", courier, reason)
}

func seconds(t dispatch.Micros) string { return fmt.Sprintf("%.3f s", float64(t)/1e6) }

// Open is how many messages are taken and have no final answer.
func (l *Ledger) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.series.open
}

// Excused tells whether a courier owes no answers at an instant.
func (l *Ledger) Excused(at dispatch.Micros, courier int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excusedUntil(courier, at) != at
}

// Unanswered notes that a courier that runs ended a connection without an answer to what it had read.
func (l *Ledger) Unanswered(at dispatch.Micros, id dispatch.MessageID, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(Final, at, "courier %d closed a connection without an answer to %s", courier, id)
}
