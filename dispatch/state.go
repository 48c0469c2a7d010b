package dispatch

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand"
	"slices"
)

// What a courier remembers, and the bookkeeping of it; every decision is in logic.go.

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
	never       Micros = math.MaxInt64
)

// Courier is one instance: the records it holds and what it has seen of their destinations.
type Courier struct {
	ch        Charter
	rng       *rand.Rand
	now       Micros
	prior     Micros // answer time to expect before any was seen
	out       []Action
	records   map[RecordID]*record
	dests     map[DestID]*dest
	waiting   []*dest // with records to be sent, by id
	flying    []*trip // without an outcome, oldest first
	endpoints map[EndpointID]*endpoint
	barred    map[EndpointID]bool // by people, whatever the list says
	keys      map[Key]*keyLine
	resting   []*keyLine // without records, and not to be forgotten yet
	parties   []tally    // what each party may still send within its share
	held      int        // records not ended
	roomy     int        // what a smaller hold found held: it gives nothing up for that
	calls     int        // slots in use
	took      tally      // answer times everywhere
	broke     [10]tally  // calls that broke or got lost, by how long their connection had rested; first the new ones
	refused   []tally    // calls refused of those answered, by shape
	crowd     []crowding // by shape
	lookAt    Micros     // when something held may next be done
	wakeAt    Micros     // the earliest wake-up asked for
	askAt     Micros
	asked     Micros // or last told: a watch goes on by itself
	closeAt   Micros // this process ends
	topPayoff float64
	steepest  float64
	late      []*route  // called lately, in the order in which they first were
	watched   bool      // by a Watcher, that takes back
	gone      []*record // ended since it last looked
}

// blank is a courier that has seen nothing.
func blank(ch Charter) *Courier {
	return &Courier{
		ch:        ch,
		rng:       rand.New(rand.NewSource(ch.Salt)),
		records:   map[RecordID]*record{},
		dests:     map[DestID]*dest{},
		endpoints: map[EndpointID]*endpoint{},
		barred:    map[EndpointID]bool{},
		keys:      map[Key]*keyLine{},
		parties:   make([]tally, len(ch.Parties)),
		refused:   make([]tally, len(ch.Shapes)+1),
		crowd:     make([]crowding, len(ch.Shapes)+1),
		wakeAt:    never,
	}
}

// grown is a slice with further zero items up to a length.
func grown[T any](s []T, n int) []T { return append(s, make([]T, max(0, n-len(s)))...) }

// makeWider makes room for what a new charter has more of: workloads, shapes, parties.
func (c *Courier) makeWider() {
	n := len(c.ch.Workloads)
	for _, d := range c.dests {
		for _, rt := range d.routes {
			rt.breakers = grown(rt.breakers, n)
		}
		for _, ep := range d.endpoints {
			ep.runs = grown(ep.runs, n)
			if i := int(ep.Shape); i < len(c.ch.Shapes) {
				d.shape.PerCall = c.ch.Shapes[i].PerCall // whether routes are apart is settled when they are made
			}
		}
	}
	c.parties, c.refused = grown(c.parties, len(c.ch.Parties)), grown(c.refused, len(c.ch.Shapes)+1)
	c.crowd = grown(c.crowd, len(c.ch.Shapes)+1)
}

type record struct {
	id      RecordID
	dest    *dest
	class   WorkloadID
	work    *Workload
	due     Micros
	cutOff  Micros
	payoff  float64
	lot     float64 // its place among the records of all couriers
	loss    float64 // by waiting a second longer
	line    *keyLine
	place   int // where it stood there when it left
	trips   []*trip
	out     int // trips without an outcome
	refused int // trips turned away unseen
	ended   bool
	queued  bool
	ranAt   Micros // when the first trip that may have run was sent
	ranZone ZoneID
	mayRan  bool
	untried bool      // as a restart found it: nothing had run
	last    *endpoint // where the last trip failed
}

type trip struct {
	calledOff bool
	rec       *record
	at        *endpoint
	call      *call
	sent      Micros
	over      bool
}

// call is what one slot carries: one trip, or several that share their fate.
type call struct {
	at     *endpoint
	open   int
	sent   bool   // something of it was
	age    int    // of its connection, see aged
	before Micros // the last call of the route then
}

type dest struct {
	urgency   float64 // what a slot gains there
	taken     tally   // records, for the first time
	id        DestID
	shape     Shape
	kind      int // of its shape, in what is counted by it
	routes    []*route
	endpoints []*endpoint // in rank
	queue     []*record
	calls     int
}

type endpoint struct {
	Listing
	dest      *dest
	route     *route
	hash      uint64
	calls     int
	sent      tally  // calls
	heard     Micros // last answer
	idleSince Micros // when a call there last ended and left its connection; 0 if none can rest
	lastCall  Micros
	coldTo    Micros // put back by people: warm from then on
	run              // of failures in all
	runs      []run  // and by workload
}

// run is how often in a row trips to an endpoint failed, and how long it rests for that.
type run struct {
	fails  int
	restTo Micros
}

// route is what waits, gap, breakers and pace are kept for: a destination, or each endpoint apart.
type route struct {
	dest       *dest
	breakers   []breaker // by workload
	out        []*trip   // without an outcome, oldest first
	heard      Micros
	lastCall   Micros
	gap        Micros
	knee       Micros // the gap that was last refused
	waitTo     Micros
	lot        float64 // its place among the couriers that were told the same wait
	widened    Micros  // the round that last doubled the gap
	fulls      int     // refusals in a row
	took       tally
	done       tally
	since      Micros
	sick       bool // an outage was seen, and no answer since
	sickAt     Micros
	strikes    int    // signs of an outage in a row
	hurt       Micros // last call that failed or was refused
	coldSince  Micros
	cold       bool
	lastDone   Micros
	servedSent Micros  // the latest sending of a trip that was served
	left       float64 // share of the limit, as last reported
	told       bool    // rate and left come from reports
	toldAt     Micros
	usual      float64 // calls a second before the outage
	rate       float64 // listed or reported calls a second from all couriers; 0 unknown
	late       bool    // called lately: see Courier.late
	called     int     // in all
	served     int
	turned     int
	shared     SharedPart // what couriers have settled among themselves
}

func (c *Courier) newRuns() []run { return make([]run, len(c.ch.Workloads)) }

func (c *Courier) newRoute(d *dest) *route {
	return &route{dest: d, since: c.now, lastDone: c.now, lastCall: -second, hurt: -never / 2,
		breakers: make([]breaker, len(c.ch.Workloads)), shared: SharedPart{Lent: mostLent, LentTo: c.ch.LentTo}}
}

// tally is a decaying sum; it is brought up to date when read.
type tally struct {
	weight, sum float64
	at          Micros
}

// crowding counts calls that were refused a connection, of those and the done ones.
type crowding struct {
	tally
	last Micros // one that was counted
	on   bool
}

// fade brings a tally up to date and returns it.
func (t *tally) fade(now, over Micros) *tally {
	if now > t.at {
		keep := math.Exp(-float64(now-t.at) / float64(over))
		t.weight, t.sum, t.at = t.weight*keep, t.sum*keep, now
	}
	return t
}

func (t *tally) add(now, over Micros, value float64) {
	t.fade(now, over)
	t.weight, t.sum = t.weight+1, t.sum+value
}

// recall takes up a record from before a restart, with the trips it had then; nil if it cannot be used.
func (c *Courier) recall(e Recovered) *record {
	c.take(e.Taken)
	r := c.records[e.Record]
	if r != nil {
		for i, p := range e.Trips {
			if ep := c.endpoints[p.Endpoint]; p.Out && ep != nil {
				c.resume(r, ep, p.Sent)
				continue
			}
			r.trips = append(r.trips, &trip{rec: r, sent: p.Sent, over: true})
			c.ran(r, p.Outcome, p.Sent, p.Zone)
			if i == len(e.Trips)-1 {
				c.remember(p)
			}
		}
		r.untried = !r.mayRan && r.out == 0
	}
	return r
}

// resume takes over a trip that another process has out. One that a half-open breaker finds out is its trial.
func (c *Courier) resume(r *record, ep *endpoint, sent Micros) {
	c.unqueue(r)
	t := c.addTrip(r, c.startCall(ep))
	t.sent = sent
	b := &ep.route.breakers[r.class]
	if b.ready(c.now); b.state == halfOpen && b.trial == nil {
		b.trial = t
	}
}

// Avoided tells whether an endpoint on the list gets nothing new now: taken out by people, draining, or sick, as an
// endpoint or by the breakers of all workloads. It asks, and changes nothing.
func (c *Courier) Avoided(now Micros, id EndpointID) bool {
	ep := c.endpoints[id]
	if ep == nil || ep.Phase != In || c.barred[id] || ep.restTo > now {
		return true
	}
	for w := range ep.route.breakers {
		if b := ep.route.breakers[w]; b.state == closed && ep.runs[w].restTo <= now {
			return false
		}
	}
	return len(ep.route.breakers) > 0
}

func (c *Courier) enqueue(r *record) {
	r.queued = true
	r.dest.queue = append(r.dest.queue, r)
	byID := func(d *dest, id DestID) int { return cmp.Compare(d.id, id) }
	if i, found := slices.BinarySearchFunc(c.waiting, r.dest.id, byID); !found {
		c.waiting = slices.Insert(c.waiting, i, r.dest)
	}
}

func (c *Courier) unqueue(r *record) {
	if r.queued {
		r.queued = false
		if i := slices.Index(r.dest.queue, r); i >= 0 {
			r.dest.queue = slices.Delete(r.dest.queue, i, i+1)
		}
	}
}

// stillWaiting drops destinations that nothing waits for any more.
func (c *Courier) stillWaiting() {
	c.waiting = slices.DeleteFunc(c.waiting, func(d *dest) bool { return len(d.queue) == 0 })
}

// end forgets a record that has its answer; trips still out are remembered until their outcome.
func (c *Courier) end(r *record) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	if c.watched {
		c.gone = append(c.gone, r)
	}
	c.held--
	c.unqueue(r)
	c.forget(r)
}

func (c *Courier) forget(r *record) {
	if r.ended && r.out == 0 {
		delete(c.records, r.id)
		r.line.leave(r)
		if l := r.line; l != nil && len(l.records) == 0 && c.now >= l.restTo {
			delete(c.keys, l.key)
		} else if l != nil && len(l.records) == 0 {
			c.resting = append(c.resting, l)
		}
	}
}

// wakeKeys forgets keys whose rest is over and that nothing waits for; keys are always new, so nothing else would.
func (c *Courier) wakeKeys() {
	c.resting = slices.DeleteFunc(c.resting, func(l *keyLine) bool {
		over := c.now >= l.restTo
		if over && len(l.records) == 0 && c.keys[l.key] == l {
			delete(c.keys, l.key)
		}
		return over
	})
}

// keyLine holds the records of one key in the order in which they were taken.
type keyLine struct {
	key     Key
	records []*record
	restTo  Micros
}

// join puts a record last in the line of its key.
func (c *Courier) join(key Key, r *record) *keyLine {
	c.wakeKeys()
	l := c.keys[key]
	if l == nil {
		l = &keyLine{key: key}
		c.keys[key] = l
	}
	l.records = append(l.records, r)
	return l
}

func (l *keyLine) leave(r *record) {
	if l != nil {
		if i := slices.Index(l.records, r); i >= 0 {
			r.place, l.records = i, slices.Delete(l.records, i, i+1)
		}
	}
}

// prune forgets what is gone from the list and has been idle for so long, and destinations of which nothing is left.
func (c *Courier) prune(idle Micros) {
	c.forgetLate()
	for _, d := range c.dests {
		c.pruneEndpoints(d, idle)
		wanted := len(d.endpoints)+len(d.queue)+d.calls > 0
		for _, rt := range d.routes {
			wanted = wanted || c.now-rt.lastCall <= idle || c.now <= rt.waitTo
		}
		if !wanted {
			delete(c.dests, d.id)
		}
	}
}

func (c *Courier) pruneEndpoints(d *dest, idle Micros) {
	past := func(ep *endpoint) bool {
		return ep.Phase == Gone && ep.calls == 0 && c.now-ep.route.lastCall > idle && c.now > ep.route.waitTo
	}
	for _, ep := range d.endpoints {
		if past(ep) {
			delete(c.endpoints, ep.Endpoint)
			if d.shape.Apart {
				d.routes = slices.DeleteFunc(d.routes, func(rt *route) bool { return rt == ep.route })
			}
		}
	}
	d.endpoints = slices.DeleteFunc(d.endpoints, past)
}

func (c *Courier) destination(id DestID) *dest {
	d := c.dests[id]
	if d == nil {
		d = &dest{id: id}
		c.dests[id] = d
	}
	return d
}

// closeIdle drops what rests at an endpoint.
func (c *Courier) closeIdle(ep *endpoint) {
	ep.idleSince = 0
	c.do(CloseIdle{ep.Endpoint})
}

type state int

const (
	closed state = iota
	open
	halfOpen
)

type breaker struct {
	state state
	fails int
	until Micros // open until
	since Micros // last change of state
	used  Micros
	trial *trip
}

// startCall takes a slot for a call to an endpoint.
func (c *Courier) startCall(ep *endpoint) *call {
	cl := &call{at: ep, before: ep.route.lastCall}
	if rested := c.now - ep.idleSince; ep.idleSince > 0 && rested < c.ch.IdleAfter {
		cl.age = aged(rested)
	}
	c.calls++
	ep.calls++
	ep.dest.calls++
	ep.lastCall, ep.route.lastCall = c.now, c.now
	ep.sent.add(c.now, rateOver, 1)
	ep.route.called++
	c.lately(ep.route)
	return cl
}

// youngest is the rest of a connection that is in use all the time; each further age is twice as long.
const youngest = 16 * millisecond

// aged sorts connections by how long they rested before a call: 0 stands for new ones.
func aged(rested Micros) int {
	return min(1+bits.Len64(uint64(rested/youngest)), len(Courier{}.broke)-1)
}

// breakFrom is the rest from which on calls break more often than on new connections, by so much. Twice is no chance.
func (c *Courier) breakFrom(more float64) Micros {
	share := func(t *tally, known float64) float64 {
		return max(0, t.fade(c.now, rateOver).sum-known) / (t.weight + 2)
	}
	for age := 1; age < len(c.broke); age++ {
		if share(&c.broke[age], 1) > share(&c.broke[0], 0)+more {
			return youngest << age / 4 // the least that is so old
		}
	}
	return never
}

// addTrip puts a record on a call.
func (c *Courier) addTrip(r *record, cl *call) *trip {
	t := &trip{rec: r, at: cl.at, call: cl, sent: c.now}
	r.trips = append(r.trips, t)
	r.out++
	cl.open++
	cl.at.route.out = append(cl.at.route.out, t)
	c.flying = append(c.flying, t)
	return t
}

// endTrip books an outcome; with the last of its call the slot is free again. A call whose record was over already, as
// its client had withdrawn it, was not sent: it uses up no place in the pace, or others would wait behind the dead.
func (c *Courier) endTrip(t *trip, e Settled) {
	t.over = true
	t.rec.out--
	rt := t.at.route
	same := func(o *trip) bool { return o == t }
	rt.out, c.flying = slices.DeleteFunc(rt.out, same), slices.DeleteFunc(c.flying, same)
	switch e.Outcome {
	case Done:
		rt.served++
	case Full:
		rt.turned++
	}
	t.call.sent = t.call.sent || e.Outcome != Void || !e.Over
	if t.call.open--; t.call.open > 0 {
		return
	}
	if !t.call.sent && rt.lastCall == t.sent {
		rt.lastCall = t.call.before
	}
	c.calls--
	t.at.dest.calls--
	t.at.calls--
	if o := e.Outcome; o == Done || o == Failure || o == Full || o == Void {
		t.at.idleSince = c.now
	}
}
