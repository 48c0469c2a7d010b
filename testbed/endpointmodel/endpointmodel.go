package endpointmodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"pineport/dispatch"
)

// Never is the time that NextDue returns while nothing is scheduled.
const Never = dispatch.Micros(math.MaxInt64)

// Destination is the model of one destination.
type Destination struct {
	plan         Plan
	rng          *rand.Rand
	serviceTimes distuv.LogNormal // factors on the mean service time, with mean 1
	routes       []*route
	endpoints    map[dispatch.EndpointID]*endpoint
	order        []*endpoint
	timers       timers
	seq          int
	effects      map[dispatch.MessageID][]effect
	outputs      []Output
}

// effect records when and in which zone a message took effect.
type effect struct {
	at   dispatch.Micros
	zone dispatch.ZoneID
}

// New returns the model of a destination with the endpoints of the plan. The second part of the random seed is an arbitrary constant.
func New(plan Plan) *Destination {
	source := rand.NewPCG(plan.Seed, 0x70617274)
	variance := math.Log(1 + plan.ServiceTimeCV*plan.ServiceTimeCV)
	p := &Destination{plan: plan, rng: rand.New(source), endpoints: map[dispatch.EndpointID]*endpoint{},
		serviceTimes: distuv.LogNormal{Mu: -variance / 2, Sigma: math.Sqrt(variance), Src: source},
		effects:      map[dispatch.MessageID][]effect{}}
	for _, e := range plan.Endpoints {
		p.Add(e)
	}
	return p
}

// Plan returns the plan from which the model was created.
func (p *Destination) Plan() *Plan { return &p.plan }

// Add adds an endpoint.
func (p *Destination) Add(e Endpoint) {
	if len(p.routes) == 0 || p.plan.SeparateRoutes {
		p.routes = append(p.routes, newRoute(len(p.routes), &p.plan, p.rng))
	}
	ep := &endpoint{Endpoint: e, route: p.routes[len(p.routes)-1]}
	ep.route.endpoints = append(ep.route.endpoints, ep)
	ep.updateEffects(false)
	p.endpoints[e.ID] = ep
	p.order = append(p.order, ep)
}

// Route returns the number of the route to which an endpoint belongs, or -1 for an unknown endpoint.
func (p *Destination) Route(id dispatch.EndpointID) int {
	if ep := p.endpoints[id]; ep != nil {
		return ep.route.number
	}
	return -1
}

// Remove removes an endpoint: its calls end with the outcome Broken, and it refuses connections from now on.
func (p *Destination) Remove(_ dispatch.Micros, id dispatch.EndpointID) []Output {
	p.outputs = nil
	if ep := p.endpoints[id]; ep != nil && !ep.removed {
		ep.removed = true
		p.breakCalls(ep)
	}
	return p.outputs
}

// Connect opens a connection to an endpoint, if the endpoint accepts it.
func (p *Destination) Connect(_ dispatch.Micros, id dispatch.EndpointID) ConnectResult {
	result := p.ConnectStatus(id)
	if result == Connected {
		p.endpoints[id].openConns++
	}
	return result
}

// Disconnect closes a connection to an endpoint.
func (p *Destination) Disconnect(id dispatch.EndpointID) {
	if ep := p.endpoints[id]; ep != nil && ep.openConns > 0 {
		ep.openConns--
	}
}

// Receive receives a complete call over an open connection.
func (p *Destination) Receive(now dispatch.Micros, c *Call) []Output {
	p.outputs = nil
	ep := p.endpoints[c.Endpoint]
	if ep == nil || ep.removed || ep.refusesConns {
		p.emit(Answer{Call: c, Outcome: dispatch.Broken})
		return p.outputs
	}
	j := &job{call: c, ep: ep}
	c.job = j
	if ep.silent {
		ep.unanswered = append(ep.unanswered, j)
		return p.outputs
	}
	if sent, since, overloaded := ep.route.countCall(now, c.Courier); overloaded {
		p.emit(RouteOverloaded{Route: ep.route.number, Since: since, Sent: sent})
		p.overload(now, ep.route)
		if ep.refusesConns {
			p.emit(Answer{Call: c, Outcome: dispatch.Broken})
			return p.outputs
		}
	}
	p.decideResult(now, j)
	return p.outputs
}

// rejectTime is the time that an endpoint takes to reject a call, in microseconds.
const rejectTime = 1000

// decideResult decides the result of a call from the faults of the endpoint, the limit and the queue, and starts, queues or
// rejects the call.
func (p *Destination) decideResult(now dispatch.Micros, j *job) {
	ep := j.ep
	throttle := func(wait dispatch.Micros) {
		j.result = jobResult{outcome: dispatch.Throttled, retryAfter: (wait + rejectTime - 1) / rejectTime * rejectTime} // rounded up to whole milliseconds
		ep.active = append(ep.active, j)
		p.schedule(now+rejectTime, j)
	}
	if ep.throttlesAll {
		wait := dispatch.Micros(0)
		if ep.opensAt > now && p.rng.Float64() < p.plan.Limit.RetryAfterShare {
			wait = ep.opensAt - now
		}
		throttle(wait)
		return
	}
	if ok, wait := ep.route.limiter.allow(now); !ok {
		throttle(wait)
		return
	}
	switch random := p.rng.Float64(); {
	case ep.hangs:
		j.result = jobResult{noAnswer: true, takesEffect: p.rng.Float64() < ep.hangEffectShare}
		ep.active = append(ep.active, j)
		p.schedule(now+p.serviceTime(now, j), j) // no worker is occupied: otherwise the queue would fill, and calls would be throttled
		return
	case random < ep.errorShare || random < p.plan.ErrorRate:
		j.result = jobResult{outcome: dispatch.Failure, takesEffect: p.rng.Float64() < ep.errorEffectShare}
		ep.active = append(ep.active, j)
		p.schedule(now+p.serviceTime(now, j)/10, j)
		return
	case random < ep.resetShare:
		j.result = jobResult{outcome: dispatch.Broken, takesEffect: p.rng.Float64() < ep.resetEffectShare}
	case random < ep.lostAnswerShare:
		j.result = jobResult{noAnswer: true, takesEffect: true}
	default:
		j.result = jobResult{outcome: dispatch.Delivered, takesEffect: true}
	}
	switch {
	case ep.busyWorkers < p.plan.Workers:
		ep.active = append(ep.active, j)
		p.startService(now, j)
	case len(ep.queue) < p.plan.Queue:
		ep.active, ep.queue = append(ep.active, j), append(ep.queue, j)
	default:
		throttle(0)
	}
}

func (p *Destination) startService(now dispatch.Micros, j *job) {
	j.started = true
	j.ep.busyWorkers++
	p.schedule(now+p.serviceTime(now, j), j)
}

// serviceTime draws the service time of a call.
func (p *Destination) serviceTime(now dispatch.Micros, j *job) dispatch.Micros {
	work := 1 + p.plan.ItemCost*float64(len(j.call.Items)-1)
	duration := float64(p.plan.ServiceTime) * work * j.ep.slowdown / j.ep.route.warmShare(now)
	if p.plan.ServiceTimeCV > 0 {
		duration *= p.serviceTimes.Rand()
	}
	return max(rejectTime, dispatch.Micros(duration))
}

// Cancel cancels a call because its courier no longer waits for the answer. A queued call is dropped. Any other call continues
// and may take effect, but gets no answer.
func (p *Destination) Cancel(_ dispatch.Micros, c *Call) []Output {
	p.outputs = nil
	j := c.job
	if j == nil {
		return nil
	}
	j.canceled = true
	if i := slices.Index(j.ep.unanswered, j); i >= 0 {
		j.ep.unanswered = slices.Delete(j.ep.unanswered, i, i+1)
	}
	if !j.ended && !j.started && slices.Contains(j.ep.queue, j) {
		j.ended = true
		j.ep.removeJob(j)
	}
	return p.outputs
}

// NextDue returns the time of the next scheduled event, or Never.
func (p *Destination) NextDue() dispatch.Micros {
	if len(p.timers) == 0 {
		return Never
	}
	return p.timers[0].due
}

// Step processes the scheduled events that are due.
func (p *Destination) Step(now dispatch.Micros) []Output {
	p.outputs = nil
	for len(p.timers) > 0 && p.timers[0].due <= now {
		t := heap.Pop(&p.timers).(timer)
		switch {
		case t.route != nil:
			p.updatePhase(now, t.route)
		case t.job.ended:
		case t.job.ep.paused:
			t.job.dueWhilePaused = now // resume schedules its end again
		default:
			p.finish(now, t.job)
		}
	}
	return p.outputs
}

// finish ends a job: it applies the effects of the call, emits the answer and starts the next call of the queue.
func (p *Destination) finish(now dispatch.Micros, j *job) {
	ep := j.ep
	j.ended = true
	if j.result.takesEffect {
		p.applyEffects(now, j)
	}
	if !j.result.noAnswer {
		ep.removeJob(j)
		p.answer(now, j)
	} else if ep.removeJob(j); !j.canceled {
		ep.unanswered = append(ep.unanswered, j)
	}
	if j.started {
		ep.busyWorkers--
		p.nextInQueue(now, ep)
	}
}

func (p *Destination) nextInQueue(now dispatch.Micros, ep *endpoint) {
	for len(ep.queue) > 0 && ep.busyWorkers < p.plan.Workers {
		next := ep.queue[0]
		ep.queue = ep.queue[1:]
		p.startService(now, next)
	}
}

func (p *Destination) answer(now dispatch.Micros, j *job) {
	a := Answer{Call: j.call, Outcome: j.result.outcome, RetryAfter: j.result.retryAfter}
	if p.plan.Reports {
		a.LoadReport = j.ep.route.limiter.report(now)
	}
	if !j.canceled {
		p.emit(a)
	}
}

// applyEffects lets the messages of a call take effect, except for repeats that the destination recognizes by their
// idempotency key.
func (p *Destination) applyEffects(now dispatch.Micros, j *job) {
	for _, item := range j.call.Items {
		earlier := p.effects[item.Origin]
		deduplicated := false
		if item.Repeat == dispatch.IdempotencyKey {
			for _, e := range earlier {
				deduplicated = deduplicated || now-e.at <= item.DedupWindow && (!item.DedupOneZone || e.zone == j.ep.Zone)
			}
		}
		if !deduplicated {
			p.effects[item.Origin] = append(earlier, effect{now, j.ep.Zone})
		}
		p.emit(Effect{Item: item, Endpoint: j.ep.ID, Courier: j.call.Courier, EarlierEffects: len(earlier), Deduplicated: deduplicated})
	}
}

// breakCalls ends all calls of an endpoint with the outcome Broken. Calls that have not yet taken effect never do.
func (p *Destination) breakCalls(ep *endpoint) {
	for _, j := range append(slices.Clone(ep.active), ep.unanswered...) {
		if j.call != nil && !j.canceled {
			p.emit(Answer{Call: j.call, Outcome: dispatch.Broken})
		}
		j.ended = true
	}
	ep.active, ep.queue, ep.unanswered, ep.busyWorkers = nil, nil, nil, 0
}

func (p *Destination) emit(o Output) { p.outputs = append(p.outputs, o) }

func (p *Destination) schedule(at dispatch.Micros, j *job) {
	p.seq++
	heap.Push(&p.timers, timer{due: at, seq: p.seq, job: j})
}

// timers is a heap ordered by due time, and for equal times by the order of scheduling.
type timers []timer

type timer struct {
	due   dispatch.Micros
	seq   int
	job   *job
	route *route
}

func (t timers) Len() int { return len(t) }
func (t timers) Less(a, b int) bool {
	return t[a].due < t[b].due || t[a].due == t[b].due && t[a].seq < t[b].seq
}
func (t timers) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// ConnectStatus returns the result that Connect would have now, without opening a connection.
func (p *Destination) ConnectStatus(id dispatch.EndpointID) ConnectResult {
	ep := p.endpoints[id]
	switch {
	case p.IsDown(id):
		return Refused
	case ep.silent:
		return NoResponse
	case p.plan.Connections > 0 && float64(ep.openConns) >= float64(p.plan.Connections)*ep.connShare:
		return Refused
	}
	return Connected
}

// IsDown reports whether the process of an endpoint is not running, so that all connections to it are closed.
func (p *Destination) IsDown(id dispatch.EndpointID) bool {
	ep := p.endpoints[id]
	return ep == nil || ep.removed || ep.refusesConns
}
