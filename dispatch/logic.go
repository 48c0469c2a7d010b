// Package dispatch decides what a courier does with the records it has taken.
// New reads the Charter once; Handle takes the instant and what happened since the last call, and returns
// what is to be done, in order. No clock, nothing shared. Interface: types.go; why: docs/design.md.
package dispatch

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// New makes a courier that knows only its charter.
func New(ch Charter) *Courier {
	c := blank(ch)
	c.prior, c.askAt, c.closeAt = second, never, never
	if ch.MustAsk {
		c.askAt = 0
	}
	for _, w := range ch.Workloads {
		c.prior = min(c.prior, w.Quoted/2)
	}
	c.weigh()
	return c
}

// weigh finds what the workloads are measured by: the highest payoff, and what one loses in a second at most.
func (c *Courier) weigh() {
	c.topPayoff, c.steepest = 0, 0
	for _, w := range c.ch.Workloads {
		c.topPayoff, c.steepest = max(c.topPayoff, w.Payoff), max(c.steepest, c.steep(&w))
	}
}

// recharter goes on under another charter. What was taken keeps the workload that it was taken as. Fewer
// slots end no call; a smaller hold gives up nothing that is held already.
func (c *Courier) recharter(ch Charter) {
	c.ch, c.roomy = ch, c.held
	c.weigh()
	c.makeWider()
}

// Handle takes what happened at one instant and returns what is to be done.
func (c *Courier) Handle(now Micros, events []Event) []Action {
	c.now, c.out, c.lookAt = now, nil, never
	if c.wakeAt <= now {
		c.stood(now - c.wakeAt)
		c.wakeAt = never
	}
	for _, event := range events {
		switch e := event.(type) {
		case Taken:
			c.take(e)
		case Recovered:
			if r := c.recall(e); r != nil && r.out == 0 && !c.mayGoAgain(r) {
				c.giveUp(r) // single-use, or out of its window: what ran before the restart may have done it
			}
		case Settled:
			c.settle(e)
		case Closing:
			c.closeAt = e.At
		case Learned:
			c.believe(e.Lore)
		case Rechartered:
			c.recharter(e.Charter)
		case Shared:
			c.share(e)
		case Maintained:
			c.maintain(e)
		case Left:
			c.end(c.records[e.Record])
		case ListNews:
			c.list(e)
		}
	}
	if c.askAt <= now {
		c.askAt, c.asked = never, now
		c.do(Watch{})
	}
	c.look(c.askAt)
	c.expire()
	c.dispatch()
	c.makeRoom()
	c.stillWaiting()
	if len(c.waiting) > 0 {
		c.look(now + second/10) // for what falls due unannounced: silence, overdue calls
	}
	if at := max(c.lookAt, now+c.ch.Tick); c.lookAt < never && at < c.wakeAt {
		c.wakeAt = at
		c.do(Wake{at})
	}
	return c.out
}

// stood spreads what waited while this courier stood still over as long as it stood, where calls failed or
// were refused within a ramp: a whole building that wakes in step would push over what returns.
func (c *Courier) stood(span Micros) {
	for _, rt := range c.late {
		if span > second/4 && c.now-rt.hurt < c.ch.Ramp {
			rt.waitTo = max(rt.waitTo, c.now+Micros(c.rng.Int63n(int64(span))))
		}
	}
}

func (c *Courier) do(a Action)    { c.out = append(c.out, a) }
func (c *Courier) look(at Micros) { c.lookAt = min(c.lookAt, at) }

const tookOver = 15 * second // some tens of answers at usual traffic; a trouble lasts about as long

// mean is the answer time to expect of a route: what it shows, or all do, or half the shortest quoted time.
func (c *Courier) mean(r *route) Micros {
	every, here := c.took.fade(c.now, tookOver), r.took.fade(c.now, tookOver)
	all := (every.sum + 3*float64(c.prior)) / (every.weight + 3)
	return Micros((here.sum + 2*all) / (here.weight + 2))
}

// patience outlasts a skewed tail, a slowing threefold, a stall of a second or two; less loses slow answers.
func (c *Courier) patience(r *route, w *Workload) Micros {
	p := 6*c.mean(r) + 2*second
	if w.Repeat == SingleUse {
		p *= 2 // giving up on it loses it for good
	}
	return p
}

// steep is what a record loses in a second, at worst.
func (c *Courier) steep(w *Workload) float64 {
	if c.ch.Decay == Halves {
		return w.Payoff / 2 / float64(max(w.Quoted, 1))
	}
	return w.Payoff * (1 - w.LatePart) / float64(max(w.Life-w.Quoted, 1))
}

// worth is what delivering a record at an instant brings.
func (c *Courier) worth(r *record, at Micros) float64 {
	late := float64(at - r.due)
	switch {
	case at >= r.cutOff:
		return 0
	case late <= 0:
		return r.payoff
	case c.ch.Decay == Halves:
		return r.payoff * max(r.work.LatePart, math.Exp2(-late/float64(r.work.Quoted)))
	}
	return r.payoff * (1 - (1-r.work.LatePart)*late/float64(r.cutOff-r.due))
}

func (c *Courier) take(e Taken) {
	if c.records[e.Record] != nil || int(e.Workload) >= len(c.ch.Workloads) {
		return
	}
	w, d := &c.ch.Workloads[e.Workload], c.destination(e.Dest)
	r := &record{id: e.Record, dest: d, class: e.Workload, work: w, cutOff: e.CutOff, payoff: w.Payoff,
		due: min(e.CutOff-w.Life+w.Quoted, e.CutOff), lot: c.rng.Float64()}
	switch {
	case !c.withinShare(e.Party):
		r.payoff *= c.ch.OverSharePart
	case !e.Again:
		d.taken.add(c.now, rateOver, 1)
	}
	if w.InOrder && e.Key != "" {
		r.line = c.join(e.Key, r)
	}
	c.records[r.id] = r
	c.held++
	c.enqueue(r)
}

// withinShare spends a party's share, this courier's part of it; two seconds of it may be saved up.
func (c *Courier) withinShare(p PartyID) bool {
	if int(p) >= len(c.ch.Parties) || c.ch.Parties[p].PerSec <= 0 {
		return true
	}
	perSec := c.ch.Parties[p].PerSec / float64(max(1, c.ch.Couriers))
	t := &c.parties[p]
	t.sum, t.at = min(2*perSec+1, t.sum+perSec*float64(c.now-t.at)/float64(second)), c.now
	within := t.sum >= 1
	if within {
		t.sum--
	}
	return within
}

// mayBounce: trying again does no harm only if nothing ran, or a repeat is harmless anywhere.
func (r *record) mayBounce() bool {
	return !r.mayRan && r.out == 0 || r.work.Repeat == Replayable ||
		r.work.Repeat == Referenced && !r.work.OneZone
}

// giveUp answers at once; the client is told when the first route takes calls, where that is allowed.
func (c *Courier) giveUp(r *record) {
	if !r.mayBounce() {
		c.do(Terminate{r.id})
	} else if at := c.soonest(r); c.ch.MayAdvise && at < never {
		c.do(Bounce{r.id, min(c.ch.LongestAdvice, max(0, at-c.now))})
	} else {
		c.do(Bounce{r.id, 0})
	}
	c.end(r)
}

// soonest is when the first route takes a record, as far as is known.
func (c *Courier) soonest(r *record) Micros {
	at := never
	for _, rt := range r.dest.routes {
		at = min(at, c.opens(r, rt))
	}
	return at
}

// mayGoAgain: by the rules, and by payoff, up to all of the charter's trips; those turned away unseen cost
// little.
func (c *Courier) mayGoAgain(r *record) bool {
	more := float64(c.ch.MaxTrips-1) * r.payoff / max(c.topPayoff, 1e-9)
	return len(r.trips) < c.ch.MaxTrips && len(r.trips)-r.refused < max(2, 1+int(math.Ceil(more))) &&
		(!r.mayRan || r.work.Repeat == Replayable || c.now < r.ranAt+r.work.Window && r.work.Repeat == Referenced)
}

// expire gives up what can no longer be delivered.
func (c *Courier) expire() {
	for _, d := range c.waiting {
		quick := c.prior
		for _, rt := range d.routes {
			quick = min(quick, c.mean(rt)/2)
		}
		for _, r := range slices.Clone(d.queue) {
			last := r.cutOff - max(quick, 4*c.ch.Tick)
			if r.mayRan && r.work.Repeat == Referenced {
				last = min(last, r.ranAt+r.work.Window-c.ch.Tick)
			}
			if c.now >= last {
				c.giveUp(r)
			} else {
				c.look(last)
			}
		}
	}
}

// makeRoom keeps a little of the hold free after what may go went: first goes what would bring least.
func (c *Courier) makeRoom() {
	c.roomy = min(c.roomy, c.held)
	for c.held >= max(c.ch.Hold, c.roomy+1) && c.ch.Hold > 0 {
		var victim *record // none that a restart found untried, until three quarters of its life are over
		least := math.Inf(1)
		for _, d := range c.waiting {
			for i, r := range d.queue {
				brings, at := r.payoff/1000, c.soonest(r)
				if at < never {
					brings += c.worth(r, max(at, c.now)+c.mean(d.routes[0])+Micros(i)*c.spacing(d.routes[0]))
				}
				if brings < least && (!r.untried || r.mayRan || r.cutOff-c.now < r.work.Life/4) {
					victim, least = r, brings
				}
			}
		}
		if victim == nil {
			return
		}
		c.giveUp(victim)
	}
}

// turn tells when a record may be sent as far as its key goes.
func (l *keyLine) turn(r *record) Micros {
	switch {
	case l == nil || l.records[0] == r && len(r.trips) > 0:
		return 0
	case l.records[0] != r:
		return never
	}
	return l.restTo
}

func (c *Courier) list(e ListNews) {
	if e.How == ListError {
		// The list answers all in some seconds; after a call that lasted, what it had to tell may count as told.
		c.askAt = max(c.now+second/20, c.asked+second+Micros(c.rng.Int63n(int64(3*second))))
		return
	}
	c.asked = c.now
	if e.How != Partial {
		for _, ep := range c.endpoints {
			ep.Phase = Gone
		}
	}
	for _, l := range e.Entries {
		ep := c.endpoints[l.Endpoint]
		if ep == nil {
			ep = c.admit(l)
		}
		ep.Listing = l
		if c.ch.Rates != NoRates && l.Rate > 0 && !ep.route.told {
			ep.route.rate = l.Rate
		}
	}
	c.prune(idleAfter)
}

// admit ranks a new endpoint by rendezvous hashing in an order of this courier's own, or all would fill one.
func (c *Courier) admit(l Listing) *endpoint {
	d := c.destination(l.Dest)
	if int(l.Shape) < len(c.ch.Shapes) {
		d.shape = c.ch.Shapes[l.Shape]
	}
	d.kind = min(int(l.Shape), len(c.refused)-1)
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint32(nil, uint32(c.ch.Number)))
	h.Write(binary.LittleEndian.AppendUint32([]byte(l.Endpoint), uint32(l.Dest)))
	ep := &endpoint{Listing: l, dest: d, hash: h.Sum64(), heard: -never / 2, runs: c.newRuns()}
	if d.shape.Apart || len(d.routes) == 0 {
		d.routes = append(d.routes, c.newRoute(d))
	}
	ep.route = d.routes[len(d.routes)-1]
	c.endpoints[l.Endpoint] = ep
	d.endpoints = append(d.endpoints, ep)
	slices.SortFunc(d.endpoints, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(c.fee(a), c.fee(b)), cmp.Compare(a.hash, b.hash))
	})
	return ep
}

// fee puts an endpoint that costs more behind a cheaper one in rank.
func (c *Courier) fee(ep *endpoint) (fee float64) {
	if ep.Zone != c.ch.Zone {
		fee = c.ch.CrossFee
	}
	if ep.dest.shape.Apart && int(ep.Zone) < len(c.ch.RouteFee) {
		fee += c.ch.RouteFee[ep.Zone]
	}
	return fee
}

const (
	tripsAt     = 5              // opens when more failures than this come in a row (DESIGN)
	openPeriod  = 5 * second / 2 // half of DESIGN's starting value: outages here last 5 to 25 s
	outageAfter = 2 * second     // shorter breaks are stalls; outages recorded last over twice as long
	idleAfter   = 120 * second
)

// ready turns an open breaker half-open when its period is over, and drops one that was long unused.
func (b *breaker) ready(now Micros) {
	if b.state == open && now >= b.until {
		b.state, b.since, b.trial = halfOpen, now, nil
	}
	if b.state == closed && now-b.used > idleAfter {
		*b = breaker{since: b.since}
	}
	b.used = now
}

func (c *Courier) open(b *breaker, rt *route) {
	b.state, b.since, b.fails, b.trial = open, c.now, 0, nil
	b.until = c.now + openPeriod + Micros(c.rng.Int63n(int64(openPeriod/10))) // not all at once
	c.sicken(rt)
}

// sicken notes that an outage was seen; what the route did before is the yardstick for its return.
func (c *Courier) sicken(rt *route) {
	if !rt.sick && !rt.cold {
		rt.usual = max(rt.usual, c.seen(rt))
	}
	if !rt.sick {
		rt.sickAt = c.now
	}
	rt.sick, rt.cold = true, false
}

// maintain bars an endpoint, whatever the list says, until it is put back; it may have been started anew, so
// it is cold then. Where no sibling is warm that is a return of the whole route. Hurts if it was not.
func (c *Courier) maintain(e Maintained) {
	ep, was := c.endpoints[e.Endpoint], c.barred[e.Endpoint]
	if c.barred[e.Endpoint] = e.Out; e.Out {
		return
	}
	if delete(c.barred, e.Endpoint); ep == nil || !was {
		return
	}
	ep.run, ep.runs, ep.coldTo = run{}, c.newRuns(), c.now+c.ch.Ramp
	for _, o := range ep.dest.endpoints {
		if o.route == ep.route && o.Phase == In && !c.barred[o.Endpoint] && o.coldTo <= c.now {
			return
		}
	}
	c.sicken(ep.route)
}

// afterMaintenance spaces calls to an endpoint that people put back, beside warm siblings: by how warm it is.
func (c *Courier) afterMaintenance(ep *endpoint) Micros {
	if ep.coldTo <= c.now {
		return 0
	}
	from := max(c.ch.ColdFrom, 0.05)
	warm := 1 - (1-from)*float64(ep.coldTo-c.now)/float64(max(1, c.ch.Ramp))
	return Micros(float64(c.part(ep.route)) * float64(len(ep.dest.endpoints)) / warm)
}

// remember counts records parked unanswered before a restart, lest they push over a return now.
func (c *Courier) remember(p Past) {
	if ep := c.endpoints[p.Endpoint]; ep != nil && (p.Outcome == Unreachable || p.Outcome == TimedOut) {
		if ep.route.strikes++; ep.route.strikes > 2 {
			c.sicken(ep.route)
		}
	}
}

const loreHolds = 30 * second // outages last 5 to 25 s, limits change as seldom

// believe takes over what was learned before a restart. Caution is kept whole, and a ramp goes on from where
// it stood, as the destination may have fallen again; what gives confidence fades. So an older lore, if
// believed at all, makes no bolder than a younger one. One from the future is of another clock.
func (c *Courier) believe(l Lore) {
	if c.now < l.At || c.now-l.At > loreHolds {
		return
	}
	c.took = l.Took.tally(l.At)
	sums(c.broke[:], l.Broke, l.At)
	c.rest(l.Resting)
	for _, r := range l.Routes {
		rt := c.routeOf(r)
		if rt == nil {
			continue
		}
		c.lately(rt)
		rt.took, rt.done, rt.since, rt.usual = r.Took.tally(l.At), r.Done.tally(l.At), r.Since, r.Usual
		rt.lastCall, rt.lastDone, rt.gap, rt.knee = r.LastCall, r.LastDone, r.Gap, r.Knee
		rt.strikes, rt.fulls, rt.sick, rt.sickAt, rt.cold = r.Strikes, r.Fulls, r.Sick, r.SickAt, r.Cold
		rt.coldSince, rt.waitTo, rt.lot = c.now-r.Ramped, r.WaitTo, c.rng.Float64()
		if r.Rate > 0 {
			rt.rate = r.Rate // what is left of it changes within a second: the next report tells
		}
		rt.recall(r.Breakers, l.At, c.now)
	}
	for _, e := range l.Endpoints {
		if ep := c.endpoints[e.Endpoint]; ep != nil {
			ep.recall(e)
		}
	}
}

// strike counts signs of an outage: three in a row with nothing served for a while, two where calls are rare.
// A refusal may tell of a limit: three; at one used up none, unless this courier long kept to a small part.
func (c *Courier) strike(rt *route, signs *int, o Outcome, shut bool) {
	few, unserved := 3, c.now-rt.lastDone
	if c.base(rt) < rare && (o != Full || rt.rate == 0 || shut) {
		if few = 2; o == Full {
			few = 1 // all that most couriers like this one will see of it
		}
	}
	usedUp := o == Full && rt.told && rt.left < scarce && (c.base(rt) >= 4*rare || unserved < 3*outageAfter)
	if *signs++; *signs >= few && unserved > outageAfter && !usedUp {
		c.sicken(rt)
	}
}

const rare = 0.25 // calls a second: a part so small that outages, of some seconds, show too little

// judge tells the breaker of a trip's outcome.
func (c *Courier) judge(b *breaker, rt *route, t *trip, o Outcome, hollow bool) {
	trial := b.trial == t
	if trial {
		b.trial = nil
	}
	switch {
	case o == Void || o == Withdrawn || hollow:
		return // says nothing of health: a half-open breaker admits another trial
	case o == Done || o == Full:
		b.fails = 0
		if trial {
			b.state, b.since = closed, c.now
		}
	case trial:
		c.open(b, rt)
	case b.state == closed && t.sent >= b.since:
		if b.fails++; b.fails > tripsAt {
			c.open(b, rt)
		}
	}
}

func (c *Courier) settle(e Settled) {
	r := c.records[e.Record]
	if r == nil || int(e.Trip) >= len(r.trips) || r.trips[e.Trip].over {
		return
	}
	t, ep, o := r.trips[e.Trip], r.trips[e.Trip].at, e.Outcome
	c.endTrip(t, e)
	c.learn(e, t)
	if ep.calls == 0 && c.crowds(ep) {
		c.closeIdle(ep)
	}
	r.last = ep
	c.ran(r, o, t.sent, ep.Zone)
	if e.Over {
		c.end(r)
	}
	switch c.forget(r); {
	case r.ended || r.out > 0:
	case c.mayGoAgain(r):
		c.enqueue(r)
	default:
		c.giveUp(r)
	}
}

// ran notes what an outcome says of the record itself: refused, or perhaps run and perhaps still running.
func (c *Courier) ran(r *record, o Outcome, sent Micros, zone ZoneID) {
	if o == Full {
		r.refused, r.last = r.refused+1, nil
	} else if o != Unreachable && o != Void && !r.mayRan {
		r.mayRan, r.ranAt, r.ranZone = true, sent, zone
	}
	if r.line != nil && (o == TimedOut || o == Broken || o == Withdrawn) {
		r.line.restTo = max(r.line.restTo, c.now+c.ch.KeyRest+c.ch.Tick)
	}
}

// crowds tells whether a connection that rests here would keep others out: 15 calls in 1,000 to the kind were
// refused one, and of all couriers more than four would rest here (the smallest tables take six).
// Hurts where an outage that refuses connections passes for a crowd: see learn.
func (c *Courier) crowds(ep *endpoint) bool {
	calls := ep.sent.fade(c.now, rateOver).weight / c.span(ep.route) // a microsecond
	idle := min(1, calls*float64(c.ch.IdleAfter)) - 1.5*calls*float64(c.mean(ep.route))
	crowd, share := &c.crowd[ep.dest.kind], 0.015
	if crowd.on {
		share = 0.005 // an outage is over in seconds; a crowd that was given way to comes back
	}
	crowd.fade(c.now, rateOver)
	crowd.on = crowd.sum > share*(crowd.weight+5)
	return crowd.on && float64(c.ch.Couriers)*idle > 4
}

// learn takes in what an outcome tells of its route.
func (c *Courier) learn(e Settled, t *trip) {
	ep, rt, o := t.at, t.at.route, e.Outcome
	if l, r := c.ch.LeftAt, c.ch.RateAt; min(l, r) >= 0 && len(e.Pressure) > max(l, r) && e.Pressure[r] > 0 {
		rt.rate, rt.left, rt.told, rt.toldAt = e.Pressure[r], e.Pressure[l], true, c.now
	}
	if e.Wait > 0 { // told with whatever outcome: an answer for several holds one beside what was done
		rt.waitTo, rt.lot = max(rt.waitTo, c.now+e.Wait+c.ch.Tick), c.rng.Float64()
	}
	// A full connection table looks like an outage of one trip, while others are answered.
	hollow := o == Unreachable && ep.heard > t.sent
	crowd := &c.crowd[rt.dest.kind]
	if o == Done {
		crowd.add(c.now, rateOver, 0)
	} else if o == Unreachable && !rt.sick && e.Took < second/2 && c.now-crowd.last > outageAfter {
		crowd.add(c.now, rateOver, 1) // not all that an outage refuses at once
		crowd.last = c.now
	}
	if o != Done && o != Void && o != Withdrawn && !hollow {
		rt.hurt = c.now
	}
	switch o {
	case Done:
		rt.took.add(c.now, tookOver, float64(e.Took))
		c.took.add(c.now, tookOver, float64(e.Took))
		rt.done.add(c.now, rateOver, 1)
		c.refused[rt.dest.kind].add(c.now, rateOver, 0)
		share := Micros(4)
		if rt.gap*4 <= rt.knee*5 && rt.gap*4 >= rt.knee*3 {
			share = 16 // near where it was last refused: a quarter would be refused every third call
		}
		if rt.told && rt.left >= scarce && e.Wait == 0 {
			rt.gap = min(rt.gap, c.part(rt)) // plenty is left: what was refused before says nothing any more
		}
		if rt.gap = min(rt.gap, 4*gapCeiling) * (share - 1) / share; rt.gap < gapStep {
			rt.gap = 0
		}
		if rt.sick && t.sent < rt.sickAt {
			break // from before the outage: it would start the ramp while the destination is still out
		}
		if rt.sick || rt.strikes > 2 && c.now-rt.lastDone > outageAfter {
			rt.cold, rt.coldSince = true, c.now
		}
		rt.sick, rt.fulls, rt.strikes, rt.lastDone = false, 0, 0, c.now
		ep.run.fails, ep.runs[t.rec.class].fails = 0, 0
		rt.servedSent = max(rt.servedSent, t.sent)
	case Full:
		c.refused[rt.dest.kind].add(c.now, rateOver, 1)
		least, shut := gapCeiling/2, rt.told && rt.left >= scarce && e.Wait == 0
		if shut { // or hung: not over its limit, as plenty of that is left
			least = 4 * gapCeiling
		}
		c.widen(rt, least)
		// Shut: told to wait longer than any limit asks for. What was parked would push it over.
		if c.strike(rt, &rt.fulls, o, shut); e.Wait > outageAfter {
			c.sicken(rt)
		}
	case Failure, Broken, TimedOut, Unreachable:
		if hollow {
			break
		}
		if o == TimedOut && rt.servedSent > t.sent {
			c.broke[t.call.age].add(c.now, rateOver, 1)
			break // what was sent later was served: that call was lost, not the destination
		}
		if o != Broken { // a reset tells that the destination is there
			c.strike(rt, &rt.strikes, o, false)
		}
		if o == TimedOut {
			rt.took.add(c.now, tookOver, float64(e.Took))
		}
		some := rt.dest.shape.Apart || rt.strikes >= len(rt.dest.endpoints)
		if some && c.base(rt) < rare && o == Unreachable { // else it may be this one answer
			c.widen(rt, 4*gapCeiling) // so few calls that six failures in a row come too late
		}
		for _, n := range []*run{&ep.run, &ep.runs[t.rec.class]} { // one workload may fail where others do not
			if n.fails++; n.fails >= 2 || n != &ep.run && c.base(rt) < rare {
				n.restTo = c.now + min(8*second, second<<min(n.fails, 4))
			}
		}
	}
	if o == Done || o == Failure || o == Full {
		rt.heard, ep.heard = c.now, c.now
		c.broke[t.call.age].add(c.now, rateOver, 0)
	} else if o == Broken {
		c.broke[t.call.age].add(c.now, rateOver, 1)
	}
	c.judge(&rt.breakers[t.rec.class], rt, t, o, hollow)
}

const (
	gapStep    = 10 * millisecond // DESIGN's starting values
	gapCeiling = second
	scarce     = 0.3         // of an allowance left: reports are late by some calls and noisy by a seventh
	rateOver   = 30 * second // what a destination takes from this courier is judged over a day's part
)

// left is the share of a limit that is left. Where calls are rare the last report is old, and room came back
// since, unless many are refused at destinations of the kind: from one in seven they use it all up.
func (c *Courier) left(rt *route) float64 {
	switch {
	case !rt.told:
		return 1
	case c.base(rt) >= rare:
		return rt.left
	}
	q := c.refused[rt.dest.kind].fade(c.now, rateOver)
	return rt.left + max(0, 1-7*q.sum/(q.weight+3))*float64(c.now-rt.toldAt)/float64(10*second)
}

// limit is what a route takes from all couriers, in calls a second: listed or reported; 0 unknown.
func (c *Courier) limit(rt *route) float64 {
	if c.ch.Rates == RoughRates && !rt.told {
		return rt.rate * 0.67 // up to half too high
	}
	return rt.rate
}

// base is this courier's part of what a route can do, in calls a second: listed, reported, or else seen.
func (c *Courier) base(rt *route) float64 {
	couriers := float64(max(1, c.ch.Couriers)) / (1 + rt.shared.more(c.now))
	if limit := c.limit(rt); limit > 0 {
		return limit / couriers
	}
	return max(1.3*c.own(rt), 1/couriers) // nothing listed: a limit is mostly well over the usual calls
}

// part is the spacing of that.
func (c *Courier) part(rt *route) Micros { return Micros(float64(second) / c.base(rt)) }

// own is what this courier had done there before an outage, with room, as limits lie above the usual calls.
func (c *Courier) own(rt *route) float64 { return 1.4 * max(rt.usual, c.seen(rt)) }

// seen is the rate of done calls; just after a start, of what is handed in within shares.
func (c *Courier) seen(rt *route) float64 {
	n := rt.done.fade(c.now, rateOver).weight
	if c.now-rt.since < 15*second && rt.rate == 0 {
		n = max(n, rt.dest.taken.fade(c.now, rateOver).weight)
	}
	return n / c.span(rt) * float64(second)
}

// span is how long the rates of a route have been counted, as far as they have not faded.
func (c *Courier) span(rt *route) float64 {
	return float64(rateOver) * (1 - math.Exp(-float64(max(c.now-rt.since, 5*second))/float64(rateOver)))
}

// widen doubles the gap, once a round, for refusals; among many couriers for failures too, as six in a row
// come too late. It begins at a sixth of this courier's spacing, and ends at that, or a second. Where calls
// are rare it begins by chance at some least: short for refusals, as clumps are over in seconds, or long.
func (c *Courier) widen(rt *route, least Micros) {
	if rt.widened != c.now {
		rt.widened, rt.knee = c.now, rt.gap
		step := min(c.part(rt)/6, 4*gapCeiling)
		if c.base(rt) < rare {
			step = least + Micros(c.rng.Int63n(int64(3*least)))
		}
		rt.gap = min(max(gapCeiling, c.part(rt)), max(gapStep, step, 2*rt.gap))
	}
}

// warmth is the share of its capacity that a route has, as far as is known.
func (c *Courier) warmth(rt *route) float64 {
	warm := max(c.ch.ColdFrom, 0.05)
	if rt.cold {
		warm += (1 - warm) * float64(c.now-rt.coldSince) / float64(max(1, c.ch.Ramp))
		rt.cold = warm < 1
	}
	return warm
}

// spacing is the least time between two calls on a route.
func (c *Courier) spacing(rt *route) Micros {
	gap, warm := rt.gap, c.warmth(rt)
	if left := min(c.left(rt), 1-rt.shared.load(c.now)); left < scarce {
		// A limit that is nearly used up, or has shrunk: keep to this courier's part of it.
		gap = max(gap, Micros((1-left/scarce)*float64(c.part(rt))))
	}
	if rt.sick || rt.cold {
		// With what goes by lot this stays under the fall multiple, as capacity lies over the limit. One a second
		// from all couriers always goes.
		part := max(c.base(rt), c.own(rt)) * max(1, 0.7*c.ch.FallMultiple)
		gap = max(gap, min(Micros(float64(second)/(part*warm)), Micros(max(2, c.ch.Couriers))*second))
	}
	return gap
}

// dispatch sends where a slot gains most first.
func (c *Courier) dispatch() {
	for _, d := range c.waiting {
		c.sortQueue(d)
	}
	order, late := slices.Clone(c.waiting), math.Inf(1)
	slices.SortStableFunc(order, func(a, b *dest) int { return cmp.Compare(b.urgency, a.urgency) })
	for sent := true; sent; {
		sent = false
		for _, d := range order {
			switch free := c.ch.Slots - c.calls; {
			case len(d.queue) == 0 || free > 0 && d.calls > c.most(d, free):
			case free > 0:
				sent = c.sendOne(d) || sent
			default: // there is no slot
				if ep, _ := c.place(d.queue[0]); ep != nil {
					late = min(late, 3+float64(min(d.calls, 1))) // more where it has a call out
				}
			}
		}
	}
	if late < math.Inf(1) && c.ch.MayCancel {
		c.reclaim(late)
	}
}

// most is how many calls a destination may have out: twice the slots left; only as many before it has
// answered, and once a call is overdue, as what has fallen silent would take them all.
func (c *Courier) most(d *dest, free int) int {
	for _, rt := range d.routes {
		if len(rt.out) > 0 && (rt.heard == 0 || c.now-rt.out[0].sent > 2*c.mean(rt)+second/4) {
			return free
		}
	}
	return 2 * free
}

// reclaim calls off the most overdue; nine in ten take under 3 means and a bit. Hurts if all slow at once.
func (c *Courier) reclaim(most float64) {
	var worst *trip
	for _, t := range c.flying {
		over := float64(c.now-t.sent) / float64(c.mean(t.at.route)+second/4)
		if t.rec.work.Repeat == SingleUse {
			over /= 1.5 // it would be lost for good
		}
		if over > most && !t.calledOff {
			most, worst = over, t
		}
	}
	if worst != nil {
		worst.calledOff = true // a time-out in all but name
		c.learn(Settled{Outcome: TimedOut, Took: c.now - worst.sent}, worst)
		c.do(Cancel{worst.rec.id, TripNo(slices.Index(worst.rec.trips, worst))})
	}
}

// sortQueue puts first what loses most by waiting a second longer; a slot gains that by the time it is taken.
func (c *Courier) sortQueue(d *dest) {
	if len(d.queue) == 0 || len(d.routes) == 0 {
		return
	}
	at := c.now + c.mean(d.routes[0])
	for _, r := range d.queue {
		r.loss = c.worth(r, at) - c.worth(r, at+second)
	}
	slices.SortStableFunc(d.queue, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.loss, a.loss), cmp.Compare(b.payoff, a.payoff), cmp.Compare(a.due, b.due))
	})
	d.urgency = (d.queue[0].loss + d.queue[0].payoff/100) / float64(at-c.now+second/10)
}

// sendOne sends the first record that may go, and with it what its call may carry besides.
func (c *Courier) sendOne(d *dest) bool {
	for _, r := range d.queue {
		ep, trial := c.place(r)
		if ep == nil {
			continue
		}
		// Closed unsaid on the way: what rested so long breaks more often, and a new one costs less than that.
		if ep.idleSince > 0 && c.now-ep.idleSince >= c.breakFrom(0.05) {
			c.closeIdle(ep)
		}
		cl := c.startCall(ep)
		c.send(r, ep, cl, trial)
		if !trial && !ep.route.cold && !ep.route.sick {
			for _, more := range slices.Clone(d.queue) {
				if cl.open >= d.shape.PerCall {
					break
				}
				if c.fits(more, ep) && ep.route.breakers[more.class].state == closed {
					c.send(more, ep, cl, false)
				}
			}
		}
		return true
	}
	return false
}

func (c *Courier) send(r *record, ep *endpoint, cl *call, trial bool) {
	c.unqueue(r)
	t := c.addTrip(r, cl)
	if trial {
		ep.route.breakers[r.class].trial = t
	}
	c.do(Send{r.id, ep.Endpoint, max(c.ch.Tick, min(c.patience(ep.route, r.work), r.cutOff-c.now-2*c.ch.Tick))})
}

// fits tells whether the rules let a record go to an endpoint.
func (c *Courier) fits(r *record, ep *endpoint) bool {
	// A planned end cuts off what is out; a single-use record would be lost, so near it none is sent.
	if ep.Phase != In || c.barred[ep.Endpoint] ||
		r.work.Repeat == SingleUse && c.now+2*c.mean(ep.route) > c.closeAt {
		return false
	}
	if at := r.line.turn(r); at > c.now {
		c.look(at)
		return false
	}
	return !r.mayRan || r.work.Repeat != Referenced ||
		c.now < r.ranAt+r.work.Window-c.ch.Tick && (!r.work.OneZone || ep.Zone == r.ranZone)
}

// place finds the endpoint for a record: the first in rank, the next when that one has enough.
func (c *Courier) place(r *record) (best *endpoint, trial bool) {
	var spare *endpoint
	least := 0
	for _, ep := range r.dest.endpoints {
		if !c.fits(r, ep) {
			continue
		}
		if at := max(c.opens(r, ep.route), ep.lastCall+c.afterMaintenance(ep)); at > c.now {
			c.look(at)
			continue
		}
		if max(ep.restTo, ep.runs[r.class].restTo) > c.now || ep == r.last {
			spare = cmp.Or(spare, ep)
			continue
		}
		calls := ep.calls
		if ep.Zone != c.ch.Zone && c.ch.CrossFee > 0 {
			calls++ // crossing costs time, too: a nearer one has enough with one more
		}
		if best == nil || calls < least {
			best, least = ep, calls
		}
	}
	best = cmp.Or(best, spare)
	return best, best != nil && best.route.breakers[r.class].state == halfOpen
}

// opens is when a route takes a record, as far as is known.
func (c *Courier) opens(r *record, rt *route) Micros {
	b := &rt.breakers[r.class]
	b.ready(c.now)
	switch {
	case b.state == open:
		return b.until
	case b.state == halfOpen && b.trial != nil:
		return never
	}
	// Silence: two trips overdue, nothing heard since. Calls may just get lost, so one goes now and then.
	gap, late := c.spacing(rt), 2*c.mean(rt)+second/4
	if len(rt.out) > 1 && rt.heard < rt.out[1].sent && c.now-rt.out[1].sent > late {
		gap = max(gap, late)
	}
	if !rt.sick && !rt.cold && c.base(rt) < 4*rare {
		// One queue cannot sort what waits at many couriers: the gap lets go first what loses most by waiting;
		// fourfold at most, or what loses nothing by it would never go.
		gap = Micros(float64(gap) * min(4, max(1, math.Cbrt(c.steepest/max(c.steep(r.work), 1e-12)))))
	}
	// All who were told when a shut destination opens would be there at that instant: each draws a lot.
	at := rt.waitTo + Micros(rt.lot*float64(gap))
	// A courier that calls rarely can keep no pace: of its new records a part goes at once, by lot.
	won := len(r.trips) == 0 && r.lot < 0.4*c.ch.FallMultiple*c.warmth(rt)
	if won && (rt.sick || rt.cold) && c.base(rt) < rare {
		return at
	}
	return max(at, rt.lastCall+gap)
}
