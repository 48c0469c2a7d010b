// Package invariants judges a day by what was seen of it from outside: what was submitted, sent, answered, reported and what
// took effect. It keeps the books of value and holds every courier against the six rules. ID other part of the
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
	Name            string
	Objective, Life dispatch.Micros
	Priority        float64
	LatePart        float64
	Idempotency     dispatch.Idempotency
	DedupWindow     dispatch.Micros
	DedupOneZone    bool
	InOrder         bool
}

// Setup is what the ledger is notified of a day.
type Setup struct {
	Classes     []Class
	Tenants     []string
	Quotas      []float64 // messages a second within a tenant's share; 0: no share
	OverShare   float64
	Halves      bool // value halves with each further latency objective, else falls evenly
	Length      dispatch.Micros
	AnswerGrace dispatch.Micros
	DrainGrace  dispatch.Micros
	KeyRest     dispatch.Micros
	Goal        Weights
	Prices      Prices
	// ClockTolerance is what is granted for clocks of two tenants that do not see the same instant; 0 in virtual time.
	ClockTolerance dispatch.Micros
	// WaitGrace: calls that come so soon after a wait was notified crossed it; 0 in virtual time.
	WaitGrace dispatch.Micros
	// IsExcused is how long after a courier is up again no answer is overdue.
	RestartGrace dispatch.Micros
}

// Weights of a day's figure.
type Weights struct{ Overall, WorstWindow, Class, Tenant float64 }

// Prices come off it, each times its count over the messages offered.
type Prices struct{ Waste, Handshake, Refused float64 }

// Target is where a call goes.
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
	work   int
	tenant int
	dest   dispatch.DestinationID
	at     dispatch.Micros // when it was due to be submitted first
	value  float64         // within its latency objective
	won    float64
	doneAt dispatch.Micros
	end    End
}

type message struct {
	id       dispatch.MessageID
	origin   *origin
	work     *Class
	courier  int
	key      dispatch.OrderingKey
	cutOff   dispatch.Micros
	taken    dispatch.Micros
	attempts []*attempt
	end      End
	endAt    dispatch.Micros
	mayRan   bool
	ranAt    dispatch.Micros
	ranZone  dispatch.ZoneID
	out      int
	unheard  bool // its answer went to a courier that was killed then, and may not have been read
}

type attempt struct {
	place   Target
	sent    dispatch.Micros
	over    bool
	outcome dispatch.Outcome
}

type keyOf struct {
	courier int
	key     dispatch.OrderingKey
}

type line struct {
	messages []*message
	restTo   dispatch.Micros
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
type down struct{ from, to dispatch.Micros }

// outage is what is kept of the present or last outage of a route.
type outage struct {
	since dispatch.Micros
	on    bool
	seen  map[int]bool // couriers that saw it
}

// Ledger keeps the books. Its methods may be called from any goroutine; instants should not run backwards by much.
type Ledger struct {
	mu       sync.Mutex
	setup    Setup
	origins  map[dispatch.MessageID]*origin
	order    []*origin
	messages map[dispatch.MessageID]*message
	all      []*message
	lines    map[keyOf]*line
	notified map[notifiedKey]dispatch.Micros
	waits    map[waitKey]wait
	downs    map[int][]down
	killed   map[int]dispatch.Micros
	outages  map[routeKey]*outage
	shares   []share
	breaches map[Rule]*breach
	counts   Counts
	series   series
	latency  latencies
}

type share struct {
	saved float64
	at    dispatch.Micros
}

// New begins the books of a day.
func New(setup Setup) *Ledger {
	return &Ledger{setup: setup, origins: map[dispatch.MessageID]*origin{}, messages: map[dispatch.MessageID]*message{},
		lines: map[keyOf]*line{}, notified: map[notifiedKey]dispatch.Micros{}, waits: map[waitKey]wait{}, downs: map[int][]down{}, killed: map[int]dispatch.Micros{},
		outages: map[routeKey]*outage{}, shares: make([]share, len(setup.Quotas)), breaches: map[Rule]*breach{},
		series: series{dests: map[dispatch.DestinationID]*DestSeries{}}, latency: newLatencies(setup.Classes)}
}

// Offered notes that a client has a message for the first time.
func (l *Ledger) Offered(at dispatch.Micros, id dispatch.MessageID, work, tenant int, dest dispatch.DestinationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.setup.Classes[work]
	o := &origin{work: work, tenant: tenant, dest: dest, at: at, value: w.Priority}
	if !l.withinShare(at, tenant) {
		o.value *= l.setup.OverShare
	}
	l.origins[id] = o
	l.order = append(l.order, o)
	l.counts.Offered++
}

// withinShare spends a tenant's share; two seconds of it may be saved up.
func (l *Ledger) withinShare(at dispatch.Micros, tenant int) bool {
	if tenant >= len(l.shares) || l.setup.Quotas[tenant] <= 0 {
		return true
	}
	s, perSec := &l.shares[tenant], l.setup.Quotas[tenant]
	s.saved = min(2*perSec+1, s.saved+perSec*float64(max(0, at-s.at))/1e6)
	s.at = max(s.at, at)
	if s.saved < 1 {
		return false
	}
	s.saved--
	return true
}

// Accepted notes that a courier accepted a message, and owes its final answer from now on.
func (l *Ledger) Accepted(at dispatch.Micros, id, originID dispatch.MessageID, courier int, key dispatch.OrderingKey, cutOff dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.origins[originID]
	if o == nil {
		l.breach(FinalAnswer, at, "courier %d was handed %s, which nobody offered", courier, originID)
		return
	}
	r := &message{id: id, origin: o, work: &l.setup.Classes[o.work], courier: courier, key: key, cutOff: cutOff, taken: at}
	l.messages[id] = r
	l.all = append(l.all, r)
	l.counts.Accepted++
	l.series.held(at, 1)
	if r.work.InOrder && key != "" {
		k := keyOf{courier, key}
		if l.lines[k] == nil {
			l.lines[k] = &line{}
		}
		l.lines[k].messages = append(l.lines[k].messages, r)
	}
}

// AttemptSent notes that a courier began an attempt of a message, and returns its number.
func (l *Ledger) AttemptSent(at dispatch.Micros, id dispatch.MessageID, p Target) (no int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	if r == nil {
		l.breach(FinalAnswer, at, "a call for %s, which no courier had taken", id)
		return -1
	}
	l.counts.Attempts++
	l.series.call(at, p.Dest)
	l.judgeSend(at, r, p)
	r.attempts = append(r.attempts, &attempt{place: p, sent: at})
	r.out++
	return len(r.attempts) - 1
}

// AttemptEnded notes that a courier has the outcome of an attempt, or has stopped waiting for it.
func (l *Ledger) AttemptEnded(at dispatch.Micros, id dispatch.MessageID, no int, o dispatch.Outcome, notified dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	if r == nil || no < 0 || no >= len(r.attempts) || r.attempts[no].over {
		return
	}
	t := r.attempts[no]
	t.over, t.outcome = true, o
	r.out--
	rk := routeKey{t.place.Dest, t.place.Route}
	l.series.settled(at, t.place.Dest, o)
	l.counts.settle(o)
	mayRun := o != dispatch.Throttled && o != dispatch.Unreachable && o != dispatch.Unprocessed
	if mayRun && !r.mayRan {
		r.mayRan, r.ranAt, r.ranZone = true, t.sent, t.place.Zone
	}
	if notified > 0 {
		k := waitKey{r.courier, rk}
		w := l.waits[k]
		if to := at + notified; to > w.to {
			from := at
			if w.to > at { // one wait runs into the next
				from = w.from
			}
			l.waits[k] = wait{from, to}
		}
	}
	if og := l.outages[rk]; og != nil && og.on && o != dispatch.Delivered && o != dispatch.Unprocessed && o != dispatch.Canceled {
		og.seen[r.courier] = true
	}
	if r.work.InOrder && r.key != "" && (o == dispatch.TimedOut || o == dispatch.Broken || o == dispatch.Canceled) {
		line := l.lines[keyOf{r.courier, r.key}]
		line.restTo = max(line.restTo, at+l.setup.KeyRest)
	}
	if o == dispatch.Delivered {
		_, dead := l.killed[r.courier]
		r.unheard = r.unheard || dead && r.end == Open
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
		l.series.held(at, -1)
		l.counts.Delivered++
	}
	o := r.origin
	if o.end == Delivered {
		return
	}
	o.end, o.doneAt = Delivered, at
	o.won = o.value * l.part(o, at)
	l.latency.note(o.work, at-o.at)
}

// part is what is left of a message's value at an instant.
func (l *Ledger) part(o *origin, at dispatch.Micros) float64 {
	w := &l.setup.Classes[o.work]
	late := float64(at - o.at - w.Objective)
	switch {
	case at > o.at+w.Life+l.setup.AnswerGrace+l.setup.ClockTolerance:
		return 0
	case late <= 0:
		return 1
	case l.setup.Halves:
		return max(w.LatePart, math.Exp2(-late/float64(w.Objective)))
	}
	return 1 - (1-w.LatePart)*min(1, late/float64(w.Life-w.Objective))
}

// MessageEnded notes that a message has its final answer without having been delivered.
func (l *Ledger) MessageEnded(at dispatch.Micros, id dispatch.MessageID, how End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended(at, id, how)
}

func (l *Ledger) ended(at dispatch.Micros, id dispatch.MessageID, how End) {
	r := l.messages[id]
	if r == nil {
		if how == Rejected || how == Failed {
			l.breach(FinalAnswer, at, "%s was %s and had never been taken", id, how)
		}
		return
	}
	if r.end != Open {
		if how == Rejected || how == Failed {
			l.breach(FinalAnswer, at, "%s was %s after it was %s", id, how, r.end)
		}
		return
	}
	if how == Rejected {
		l.judgeReject(at, r)
	}
	r.end, r.endAt = how, at
	l.series.held(at, -1)
	switch how {
	case Rejected:
		l.counts.Rejected++
	case Failed:
		l.counts.Failed++
	}
	if r.origin.end != Delivered {
		r.origin.end = how
	}
}

// NoticeReceived takes a notice for a message; it tells whether that ended it. Notices are sent until they are confirmed, and one
// for a message that is over does no harm.
func (l *Ledger) NoticeReceived(at dispatch.Micros, id dispatch.MessageID, how End) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.messages[id]; r != nil && r.end != Open {
		return false
	}
	l.ended(at, id, how)
	return true
}

// MayHaveRun tells whether any attempt of a message may have taken effect, as far as its client can know.
func (l *Ledger) MayHaveRun(id dispatch.MessageID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.messages[id]
	return r != nil && (r.mayRan || r.out > 0)
}

// EffectOccurred notes that a message took effect; before is how often it had done so already, known whether the repeat was recognized.
func (l *Ledger) EffectOccurred(at dispatch.Micros, id dispatch.MessageID, where dispatch.EndpointID, before int, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Effects++
	r := l.messages[id]
	if r == nil || before == 0 || known {
		return
	}
	l.counts.Repeats++
	// A with an idempotency key message's repeats are judged when they are sent: a submission after a courier died is its client's.
	if r.work.Idempotency == dispatch.AtMostOnce && r.end != Dropped {
		l.breach(NoDuplicateEffect, at, "%s took effect for the %d. time, at %s", id, before+1, where)
	}
}

// EndpointNotified notes that a courier was notified that an endpoint drains or is gone, or is in service again.
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

// CourierDown notes that a courier is away, until CourierUp. Where lost is set, what it held went with it; where it forgets, nothing that it had
// learned survives, and nobody can ask it to know.
func (l *Ledger) CourierDown(at dispatch.Micros, courier int, lost, forgets bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downs[courier] = append(l.downs[courier], down{at, math.MaxInt64})
	for k := range l.waits {
		if k.courier == courier {
			delete(l.waits, k) // a restart ends a wait
		}
	}
	for k := range l.notified {
		if lost && k.courier == courier {
			delete(l.notified, k)
		}
	}
	if forgets {
		for _, o := range l.outages {
			delete(o.seen, courier)
		}
	}
	if !lost {
		return
	}
	for _, r := range l.all {
		if r.courier == courier && r.end == Open {
			r.end, r.endAt = Dropped, at
			l.series.held(at, -1)
		}
	}
	for k := range l.lines {
		if k.courier == courier {
			delete(l.lines, k)
		}
	}
}

// CourierKilled notes that a courier was killed. An answer that was on its way to it then may not have been read: what it was for may
// go again, as far as its class allows.
func (l *Ledger) CourierKilled(at dispatch.Micros, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed[courier] = at
	for _, r := range l.all {
		r.unheard = r.unheard || r.courier == courier && r.end == Delivered && r.endAt+l.setup.ClockTolerance >= at
	}
}

// CourierUp notes that a courier serves again.
func (l *Ledger) CourierUp(at dispatch.Micros, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.killed, courier)
	for i, d := range l.downs[courier] {
		if d.to == math.MaxInt64 {
			l.downs[courier][i].to = at + l.setup.RestartGrace
		}
	}
}

// CourierPaused notes that a courier was paused, and could answer nothing until then.
func (l *Ledger) CourierPaused(at dispatch.Micros, courier int, to dispatch.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downs[courier] = append(l.downs[courier], down{at, to})
}

// RouteChanged notes that the health of a route changed.
func (l *Ledger) RouteChanged(at dispatch.Micros, dest dispatch.DestinationID, route int, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := routeKey{dest, route}
	og := l.outages[k]
	switch {
	case out && (og == nil || !og.on):
		l.outages[k] = &outage{since: at, on: true, seen: map[int]bool{}}
		l.series.out(at, dest, true)
	case !out && og != nil && og.on:
		og.on, og.since = false, at
		l.series.out(at, dest, false)
	}
}

// RouteOverloaded notes that a recovering route was sent more than it could take; sent has what each courier sent of that.
func (l *Ledger) RouteOverloaded(at dispatch.Micros, dest dispatch.DestinationID, route int, sent map[int]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.RouteOverloads++
	og, knowing, all := l.outages[routeKey{dest, route}], 0.0, 0.0
	for courier, n := range sent {
		all += n
		if og != nil && og.seen[courier] {
			knowing += n
		}
	}
	if knowing >= all*2/3 {
		l.breach(NoRecoveryOverload, at, "destination %d was pushed over on its return: %.0f of %.0f calls came from couriers that knew",
			dest, knowing, all)
	}
}

// ConnectionOpened notes that a courier opened a new connection.
func (l *Ledger) ConnectionOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Handshakes++
}

// CourierCrashed notes that a courier exited by itself, or its decisions failed.
func (l *Ledger) CourierCrashed(at dispatch.Micros, courier int, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(NoCrash, at, "courier %d: %s", courier, why)
}

func seconds(t dispatch.Micros) string { return fmt.Sprintf("%.3f s", float64(t)/1e6) }

// OpenMessages is how many messages are taken and have no final answer.
func (l *Ledger) OpenMessages() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.series.holding
}

// IsExcused tells whether a courier owes no answers at an instant.
func (l *Ledger) IsExcused(at dispatch.Micros, courier int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excused(courier, at) != at
}

// Unanswered notes that a courier that runs ended a connection without an answer to what it had read.
func (l *Ledger) Unanswered(at dispatch.Micros, id dispatch.MessageID, courier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(FinalAnswer, at, "courier %d closed a connection without an answer to %s", courier, id)
}
