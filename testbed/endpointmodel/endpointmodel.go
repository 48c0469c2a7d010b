package endpointmodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"pineport/dispatch"
)

// Never is an instant that does not come.
const Never = dispatch.Micros(math.MaxInt64)

// Destination is one destination.
type Destination struct {
	plan      Plan
	rng       *rand.Rand
	spread    distuv.LogNormal // of the time of service, with the mean 1
	routes    []*route
	endpoints map[dispatch.EndpointID]*endpoint
	order     []*endpoint
	timers    timers
	seq       int
	ran       map[dispatch.MessageID][]effect
	out       []Output
}

// effect is one time that a message took effect.
type effect struct {
	at   dispatch.Micros
	zone dispatch.ZoneID
}

// New makes a destination.
func New(plan Plan) *Destination {
	source := rand.NewPCG(plan.Seed, 0x70617274)
	variance := math.Log(1 + plan.Spread*plan.Spread)
	p := &Destination{plan: plan, rng: rand.New(source), endpoints: map[dispatch.EndpointID]*endpoint{},
		spread: distuv.LogNormal{Mu: -variance / 2, Sigma: math.Sqrt(variance), Src: source},
		ran:    map[dispatch.MessageID][]effect{}}
	for _, e := range plan.Endpoints {
		p.Add(e)
	}
	return p
}

// Plan is what the destination was made from.
func (p *Destination) Plan() *Plan { return &p.plan }

// Add puts up an endpoint.
func (p *Destination) Add(e Endpoint) {
	if len(p.routes) == 0 || p.plan.SeparateRoutes {
		p.routes = append(p.routes, newRoute(len(p.routes), &p.plan, p.rng))
	}
	ep := &endpoint{Endpoint: e, route: p.routes[len(p.routes)-1]}
	ep.route.endpoints = append(ep.route.endpoints, ep)
	ep.diagnose(false)
	p.endpoints[e.ID] = ep
	p.order = append(p.order, ep)
}

// Route is the number of the route that an endpoint belongs to; -1 for a strange endpoint.
func (p *Destination) Route(id dispatch.EndpointID) int {
	if ep := p.endpoints[id]; ep != nil {
		return ep.route.no
	}
	return -1
}

// Remove takes an endpoint away: what it had in hand is cut off, connections are refused from now on.
func (p *Destination) Remove(_ dispatch.Micros, id dispatch.EndpointID) []Output {
	p.out = nil
	if ep := p.endpoints[id]; ep != nil && !ep.gone {
		ep.gone = true
		p.cutOff(ep)
	}
	return p.out
}

// Connect asks an endpoint for a connection.
func (p *Destination) Connect(_ dispatch.Micros, id dispatch.EndpointID) Link {
	link := p.Door(id)
	if link == Connected {
		p.endpoints[id].open++
	}
	return link
}

// Disconnect gives a connection back.
func (p *Destination) Disconnect(id dispatch.EndpointID) {
	if ep := p.endpoints[id]; ep != nil && ep.open > 0 {
		ep.open--
	}
}

// Receive takes a call over a connection that is up.
func (p *Destination) Receive(now dispatch.Micros, c *Call) []Output {
	p.out = nil
	ep := p.endpoints[c.Endpoint]
	if ep == nil || ep.gone || ep.refuses {
		p.say(Answer{Call: c, Outcome: dispatch.Broken})
		return p.out
	}
	j := &job{call: c, ep: ep}
	c.job = j
	if ep.silent {
		ep.lost = append(ep.lost, j)
		return p.out
	}
	if sent, since, falls := ep.route.press(now, c.Courier); falls {
		p.say(RouteOverloaded{Route: ep.route.no, Since: since, Sent: sent})
		p.fall(now, ep.route)
		if ep.refuses {
			p.say(Answer{Call: c, Outcome: dispatch.Broken})
			return p.out
		}
	}
	p.judge(now, j)
	return p.out
}

// quick is what turning a call away takes: a millisecond.
const quick = 1000

// judge settles what comes of a call, as far as health, limit and queue go.
func (p *Destination) judge(now dispatch.Micros, j *job) {
	ep := j.ep
	full := func(wait dispatch.Micros) {
		j.fate = fate{outcome: dispatch.Throttled, wait: (wait + quick - 1) / quick * quick} // reported in whole milliseconds
		ep.hand = append(ep.hand, j)
		p.after(now+quick, j)
	}
	if ep.shut {
		wait := dispatch.Micros(0)
		if ep.until > now && p.rng.Float64() < p.plan.Limit.Tells {
			wait = ep.until - now
		}
		full(wait)
		return
	}
	if ok, wait := ep.route.meter.take(now); !ok {
		full(wait)
		return
	}
	switch chance := p.rng.Float64(); {
	case ep.hangs:
		j.fate = fate{mute: true, acts: p.rng.Float64() < ep.hangActs}
		ep.hand = append(ep.hand, j)
		p.after(now+p.service(now, j), j) // it holds no worker: what hangs would else answer full before long
		return
	case chance < ep.errors || chance < p.plan.ErrorRate:
		j.fate = fate{outcome: dispatch.Failure, acts: p.rng.Float64() < ep.errorActs}
		ep.hand = append(ep.hand, j)
		p.after(now+p.service(now, j)/10, j)
		return
	case chance < ep.resets:
		j.fate = fate{outcome: dispatch.Broken, acts: p.rng.Float64() < ep.resetActs}
	case chance < ep.swallow:
		j.fate = fate{mute: true, acts: true}
	default:
		j.fate = fate{outcome: dispatch.Delivered, acts: true}
	}
	switch {
	case ep.busy < p.plan.Workers:
		ep.hand = append(ep.hand, j)
		p.begin(now, j)
	case len(ep.queue) < p.plan.Queue:
		ep.hand, ep.queue = append(ep.hand, j), append(ep.queue, j)
	default:
		full(0)
	}
}

func (p *Destination) begin(now dispatch.Micros, j *job) {
	j.began = true
	j.ep.busy++
	p.after(now+p.service(now, j), j)
}

// service draws how long a call takes.
func (p *Destination) service(now dispatch.Micros, j *job) dispatch.Micros {
	work := 1 + p.plan.ItemCost*float64(len(j.call.Items)-1)
	span := float64(p.plan.ServiceTime) * work * j.ep.slow / j.ep.route.warm(now)
	if p.plan.Spread > 0 {
		span *= p.spread.Rand()
	}
	return max(quick, dispatch.Micros(span))
}

// Cancel tells that nobody waits for a call any more: what has not begun is dropped, what has runs on.
func (p *Destination) Cancel(_ dispatch.Micros, c *Call) []Output {
	p.out = nil
	j := c.job
	if j == nil {
		return nil
	}
	j.called = true
	if i := slices.Index(j.ep.lost, j); i >= 0 {
		j.ep.lost = slices.Delete(j.ep.lost, i, i+1)
	}
	if !j.over && !j.began && slices.Contains(j.ep.queue, j) {
		j.over = true
		j.ep.drop(j)
	}
	return p.out
}

// NextDue is when something happens next by itself.
func (p *Destination) NextDue() dispatch.Micros {
	if len(p.timers) == 0 {
		return Never
	}
	return p.timers[0].at
}

// Step lets happen what is due.
func (p *Destination) Step(now dispatch.Micros) []Output {
	p.out = nil
	for len(p.timers) > 0 && p.timers[0].at <= now {
		t := heap.Pop(&p.timers).(timer)
		switch {
		case t.route != nil:
			p.look(now, t.route)
		case t.job.over:
		case t.job.ep.stands:
			t.job.after = now // its end is set anew when it goes on
		default:
			p.finish(now, t.job)
		}
	}
	return p.out
}

// finish ends a job: its effect, its answer, and the next in the queue.
func (p *Destination) finish(now dispatch.Micros, j *job) {
	ep := j.ep
	j.over = true
	if j.fate.acts {
		p.act(now, j)
	}
	if !j.fate.mute {
		ep.drop(j)
		p.answer(now, j)
	} else if ep.drop(j); !j.called {
		ep.lost = append(ep.lost, j)
	}
	if j.began {
		ep.busy--
		p.nextInQueue(now, ep)
	}
}

func (p *Destination) nextInQueue(now dispatch.Micros, ep *endpoint) {
	for len(ep.queue) > 0 && ep.busy < p.plan.Workers {
		next := ep.queue[0]
		ep.queue = ep.queue[1:]
		p.begin(now, next)
	}
}

func (p *Destination) answer(now dispatch.Micros, j *job) {
	a := Answer{Call: j.call, Outcome: j.fate.outcome, RetryAfter: j.fate.wait}
	if p.plan.Reports {
		a.LoadReport = j.ep.route.meter.report(now)
	}
	if !j.called {
		p.say(a)
	}
}

// act lets the messages of a call take effect, but for repeats that are known by their mark.
func (p *Destination) act(now dispatch.Micros, j *job) {
	for _, item := range j.call.Items {
		before := p.ran[item.Origin]
		known := false
		if item.Repeat == dispatch.IdempotencyKey {
			for _, e := range before {
				known = known || now-e.at <= item.DedupWindow && (!item.DedupOneZone || e.zone == j.ep.Zone)
			}
		}
		if !known {
			p.ran[item.Origin] = append(before, effect{now, j.ep.Zone})
		}
		p.say(Effect{Item: item, Endpoint: j.ep.ID, Courier: j.call.Courier, EarlierEffects: len(before), Deduplicated: known})
	}
}

// cutOff breaks what an endpoint has in hand; it comes to nothing.
func (p *Destination) cutOff(ep *endpoint) {
	for _, j := range append(slices.Clone(ep.hand), ep.lost...) {
		if j.call != nil && !j.called {
			p.say(Answer{Call: j.call, Outcome: dispatch.Broken})
		}
		j.over = true
	}
	ep.hand, ep.queue, ep.lost, ep.busy = nil, nil, nil, 0
}

func (p *Destination) say(o Output) { p.out = append(p.out, o) }

func (p *Destination) after(at dispatch.Micros, j *job) {
	p.seq++
	heap.Push(&p.timers, timer{at: at, seq: p.seq, job: j})
}

// timers is a heap by instant, and by order of setting within one.
type timers []timer

type timer struct {
	at    dispatch.Micros
	seq   int
	job   *job
	route *route
}

func (t timers) Len() int { return len(t) }
func (t timers) Less(a, b int) bool {
	return t[a].at < t[b].at || t[a].at == t[b].at && t[a].seq < t[b].seq
}
func (t timers) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// Door tells how an endpoint treats who asks for a connection just now, without opening one.
func (p *Destination) Door(id dispatch.EndpointID) Link {
	ep := p.endpoints[id]
	switch {
	case p.Dead(id):
		return Refused
	case ep.silent:
		return NoResponse
	case p.plan.Connections > 0 && float64(ep.open) >= float64(p.plan.Connections)*ep.table:
		return Refused
	}
	return Connected
}

// Dead tells whether an endpoint's process does not run: no connection to it lives.
func (p *Destination) Dead(id dispatch.EndpointID) bool {
	ep := p.endpoints[id]
	return ep == nil || ep.gone || ep.refuses
}
