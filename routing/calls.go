package routing

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"pineport/logic"
	"pineport/protocol"
	"pineport/spool"
)

// call is what goes to an endpoint at once: one trip, or several where the charter allows.
type call struct {
	endpoint    logic.EndpointID
	host        protocol.Host
	trips       []*trip
	exchange    *exchange
	limit       logic.Micros // until when it is waited for
	predecessor bool         // the other process of an upgrade has it out; one trip
}

var outcomes = map[string]logic.Outcome{
	"done": logic.Done, "failure": logic.Failure, "full": logic.Full, "timed_out": logic.TimedOut,
	"unreachable": logic.Unreachable, "broken": logic.Broken, "withdrawn": logic.Withdrawn, "void": logic.Void,
}

func outcomeName(o logic.Outcome) string {
	for name, other := range outcomes {
		if other == o {
			return name
		}
	}
	return ""
}

// load puts a trip on a call: sends of one turn to one endpoint go together, up to what its shape takes.
func (r *Router) load(calls []*call, a logic.Send) []*call {
	rec := r.records[a.Record]
	if rec == nil || rec.ended {
		return calls
	}
	host := r.hosts[a.Endpoint]
	perCall := 1
	if shape := index(r.dep.Shapes, host.Kind); shape >= 0 && shape < len(r.dep.Charter.Shapes) {
		perCall = r.dep.Charter.Shapes[shape].PerCall
	}
	var c *call
	for _, o := range calls {
		if o.endpoint == a.Endpoint && len(o.trips) < perCall {
			c = o
		}
	}
	if c == nil {
		c = &call{endpoint: a.Endpoint, host: host}
		calls = append(calls, c)
	}
	t := &trip{rec: rec, no: len(rec.trips), call: c, sent: r.now, limit: r.now + a.Limit}
	rec.trips = append(rec.trips, t)
	rec.out++
	r.flying = append(r.flying, t)
	c.trips = append(c.trips, t)
	return calls
}

// waitAlike has all trips of a call waited for as long as the least of them allows, and returns until when. Failure: with a time
// of its own for each, one trip was given up while its call went on for the others, and records were counted as lost.
func (c *call) waitAlike() logic.Micros {
	limit := never
	for _, t := range c.trips {
		limit = min(limit, t.limit)
	}
	for _, t := range c.trips {
		t.limit = limit
	}
	c.limit = limit
	return limit
}

// start sends a call on its way.
func (r *Router) start(c *call) {
	if len(c.trips) == 0 {
		return
	}
	c.waitAlike()
	c.exchange = &exchange{peer: peerOf(c.host),
		begun:  func(begun bool) { r.begun(c, begun) },
		leaves: func() error { return r.leaves(c) },
		still: func() bool {
			return r.hosts[c.endpoint].Health == protocol.InService && !r.staff.out[string(c.endpoint)] && r.waits[r.route(c.host)] <= r.now
		},
		written: func() { r.counters.dispatches += int64(len(c.trips)) },
		end:     func(a protocol.Answer, err error) { r.answered(c, a, err) }}
	r.links.start(c.exchange)
}

// leaves writes down a call's trips as its first byte is about to leave, and no sooner, and puts the bytes together. Failures: noted when
// they were decided, trips whose connection was still coming up as the process was killed passed for calls that may have run, and what may
// not be repeated was given up after the restart with no call. Put together then, a call went out with records called off meanwhile.
func (r *Router) leaves(c *call) error {
	for _, t := range slices.Clone(c.trips) {
		if t.rec.ended || r.windowOver(t.rec) {
			r.settle(t, logic.Settled{Outcome: logic.Void})
		}
	}
	c.trips = slices.DeleteFunc(c.trips, func(t *trip) bool { return t.over })
	var items []protocol.Item
	for _, t := range c.trips {
		if err := r.note(t, ""); err != nil {
			r.check(err)
			return err // so not sent: a restart would not know of it
		}
		items = append(items, protocol.Item{ID: t.rec.kept.ID, Mark: t.rec.kept.Mark, Body: t.rec.kept.Body})
	}
	if len(items) == 0 {
		return errNobody
	}
	c.exchange.bytes, c.exchange.whole = protocol.Call(c.host.Dial, int64((c.limit-r.now)/1000), items), len(items) > 1
	return nil
}

// windowOver tells whether an earlier attempt of a message may have run, so long ago that a repeat is not known by its idempotency key any
// more. Failure: a repeat that was decided within the window went out after it, as its connection took a second to come up.
func (r *Router) windowOver(rec *record) bool {
	class := r.dep.Charter.Workloads[index(r.dep.Workloads, rec.kept.Workload)]
	if class.Repeat != logic.Referenced {
		return false
	}
	for _, t := range rec.kept.Trips {
		if o, heard := outcomes[t.Outcome]; !heard || mayHaveRun(o) {
			return r.now >= logic.Micros(t.Sent)+class.Window
		}
	}
	return false
}

// mayHaveRun tells whether an attempt that ended so may have taken effect.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Full && o != logic.Unreachable && o != logic.Void
}

var errNobody = errors.New("nothing of it is wanted any more")

// note writes a trip into the spool, once; with its outcome where it ended before it was sent.
func (r *Router) note(t *trip, outcome string) error {
	if t.noted {
		return nil
	}
	t.noted = true
	return r.spool.Begin(t.rec.kept.ID, spool.Trip{Endpoint: string(t.call.endpoint), Zone: max(0, index(r.dep.Zones, t.call.host.Zone)),
		Sent: int64(t.sent), Outcome: outcome})
}

// outcome writes down how a trip ended.
func (r *Router) outcome(t *trip, o logic.Outcome) {
	if t.noted {
		r.check(r.spool.Settle(t.rec.kept.ID, t.no, outcomeName(o)))
	} else {
		r.check(r.note(t, outcomeName(o)))
	}
}

func peerOf(h protocol.Host) peer { return peer{host: h.Host, addr: h.Dial, born: h.Born} }

// restSlack is how long the rest of an answer may take once its first bytes are here: it is written at once, and the
// longest way that a deployment tells of is a fifth of a second. A head or body without an end would else hold its slot,
// and what it answered for, until nobody waits any more.
const restSlack = 500 * 1000

// begun shortens the waiting for an answer of which a part has come, and takes that back where it was an interim one.
func (r *Router) begun(c *call, begun bool) {
	for _, t := range c.trips {
		if t.limit = c.limit; begun {
			t.limit = min(t.limit, r.now+restSlack)
		}
	}
}

// answered turns the end of a call into the outcomes of its trips.
func (r *Router) answered(c *call, a protocol.Answer, err error) {
	if errors.Is(err, errOvertaken) {
		for _, t := range c.trips {
			r.settle(t, logic.Settled{Outcome: logic.Void})
		}
		return
	}
	var failure *protocol.Failure
	if errors.As(err, &failure) {
		outcome := map[protocol.Progress]logic.Outcome{protocol.BeforeLastByte: logic.Unreachable,
			protocol.AfterLastByte: logic.Broken, protocol.InAnswer: logic.Failure}[failure.Progress]
		for _, t := range c.trips {
			r.settle(t, logic.Settled{Outcome: outcome})
		}
		return
	}
	var ends map[string]string
	if a.Status == 200 && len(c.trips) > 1 {
		ends = protocol.ReadEnds(a.Body)
	}
	if a.WaitMs > 0 {
		r.told(c.host, r.now+logic.Micros(a.WaitMs)*1000)
	}
	pressure := protocol.Pressure(a.Report, r.dep.Report)
	for _, t := range c.trips {
		s := outcomeOf(a)
		if ends != nil {
			s = endOf(ends[t.rec.kept.ID])
		}
		s.Pressure, s.Wait = pressure, logic.Micros(a.WaitMs)*1000
		r.settle(t, s)
	}
}

// told keeps a wait that an endpoint told.
func (r *Router) told(h protocol.Host, until logic.Micros) {
	maps.DeleteFunc(r.waits, func(_ string, until logic.Micros) bool { return until <= r.now })
	r.waits[r.route(h)] = max(until, r.waits[r.route(h)])
	r.upgrade.waits(h, until)
}

// route is what a wait holds for: an endpoint where its kind's are apart, else the destination.
func (r *Router) route(h protocol.Host) string {
	if r.apart(h) {
		return h.Host
	}
	return strconv.Itoa(h.Dest)
}

func (r *Router) apart(h protocol.Host) bool {
	shape := index(r.dep.Shapes, h.Kind)
	return shape >= 0 && shape < len(r.dep.Charter.Shapes) && r.dep.Charter.Shapes[shape].Apart
}

// outcomeOf reads an answer for all that a call carried.
func outcomeOf(a protocol.Answer) logic.Settled {
	switch {
	case a.Status == 200:
		return logic.Settled{Outcome: logic.Done, Over: true}
	case a.Status == 503 && a.NoSlot, a.Status == 504:
		return logic.Settled{Outcome: logic.Void}
	case a.Status == 429, a.Status == 503:
		return logic.Settled{Outcome: logic.Full}
	case a.Status == 410:
		return logic.Settled{Outcome: logic.Void, Over: true}
	case a.Status == 400, a.Status == 404, a.Status == 413:
		return logic.Settled{Outcome: logic.Void} // nothing of it was read
	}
	return logic.Settled{Outcome: logic.Failure} // unknown: it may have run
}

// endOf reads one record's end from an answer for several; one that is not named may have run.
func endOf(word string) logic.Settled {
	switch word {
	case protocol.Accepted:
		return logic.Settled{Outcome: logic.Done, Over: true}
	case protocol.Deferred:
		return logic.Settled{Outcome: logic.Full}
	case protocol.Expired:
		return logic.Settled{Outcome: logic.Void, Over: true}
	case protocol.NoMore:
		return logic.Settled{Outcome: logic.Void}
	}
	return logic.Settled{Outcome: logic.Failure}
}

// settle books the outcome of a trip and tells the decisions.
func (r *Router) settle(t *trip, s logic.Settled) {
	if r.upgrade.handed {
		r.upgrade.echo(t, s)
		return
	}
	if t.over {
		if s.Over && !t.rec.ended { // called off, and delivered all the same
			if s.Outcome == logic.Done {
				r.count(t.rec.kept.Workload, delivered)
			}
			r.clients.over.add(t.rec, r.now)
			r.finish(t.rec)
			r.events = append(r.events, logic.Left{Record: logic.RecordID(t.rec.kept.ID)})
			r.forget(t.rec)
		}
		return
	}
	t.over = true
	t.rec.out--
	for i, o := range r.flying {
		if o == t {
			r.flying = append(r.flying[:i], r.flying[i+1:]...)
			break
		}
	}
	if s.Over {
		if !t.rec.ended && s.Outcome == logic.Done {
			r.count(t.rec.kept.Workload, delivered)
		}
		r.clients.over.add(t.rec, r.now)
		r.finish(t.rec)
	} else if !t.rec.ended {
		r.outcome(t, s.Outcome)
	}
	s.Record, s.Trip, s.Took = logic.RecordID(t.rec.kept.ID), logic.TripNo(t.no), r.now-t.sent
	s.Over = s.Over || t.rec.ended
	r.events = append(r.events, s)
	r.lore.note(s.Outcome)
	r.forget(t.rec)
}

// overdue ends a trip that was waited for long enough, unless its answer is here and only not taken in yet. Failure: a delivered record
// passed for one without an answer.
func (r *Router) overdue(t *trip) {
	if r.arrives(t) {
		return
	}
	s := logic.Settled{Outcome: logic.TimedOut}
	switch x := t.call.exchange; {
	case t.call.predecessor: // the other process has said nothing of it for longer than it should wait
	case !r.links.out(x):
		s.Outcome = logic.Unreachable
	case !x.whole && x.link.first.Load() == 200:
		s.Outcome, s.Over = logic.Done, true // the rest of the answer is slow, but this was its first line
	case x.cut:
		s.Outcome = logic.Failure // it answers, but nothing that can be read
	}
	r.settle(t, s)
	r.drop(t.call)
}

// lastLook is how long a trip that is to be given up is waited for where something that came over its connection lies unread. The poller
// reads that at once unless the machine is busy; a peer that sends on and on gains no more than this.
const lastLook = 5 * 1000

// arrives tells whether the answer to a trip is here, or may be: whole but not taken in yet, or unread in the socket. For the latter it
// gives the trip a moment, once.
func (r *Router) arrives(t *trip) bool {
	x := t.call.exchange
	if r.links.heard(x) {
		return true
	}
	if t.looked || !r.links.stirs(x) {
		return false
	}
	t.looked, t.limit = true, r.now+lastLook
	return true
}

func (r *Router) cancel(a logic.Cancel) {
	rec := r.records[a.Record]
	if rec == nil || int(a.Trip) >= len(rec.trips) || rec.trips[a.Trip].over {
		return
	}
	t, o := rec.trips[a.Trip], logic.Withdrawn
	if r.arrives(t) {
		return // its answer says more
	}
	if x := t.call.exchange; x != nil && !x.sent {
		o = logic.Void // its connection is still coming up: it never ran
	}
	r.settle(t, logic.Settled{Outcome: o})
	r.drop(t.call)
}

// drop gives up a call once nobody waits for any of it.
func (r *Router) drop(c *call) {
	for _, t := range c.trips {
		if !t.over {
			return
		}
	}
	if c.predecessor {
		r.upgrade.cancel(c.trips[0])
		return
	}
	r.links.abort(c.exchange)
}
