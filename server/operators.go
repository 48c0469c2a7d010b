package server

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"pineport/admin"
	"pineport/config"
	"pineport/dispatch"
	"pineport/maintenance"
)

// doorSize bounds what operators may have waiting; each of them waits for the answer.
const doorSize = 16

// OperatorSockets is how many of the courier's descriptors are set aside for the operators' address.
func OperatorSockets(dep *config.Deployment) int {
	if dep.Ops == "" {
		return 0
	}
	return min(16, dep.Sockets/24)
}

// request is one thing that operators ask for; done is told once, after the step that did it.
type request struct {
	what any
	done chan answer
}

// answer says what stands after the step.
type answer struct {
	err        error
	generation int64
	out        map[string]bool // endpoints out then
}

// operators is what operators have told the courier, and what they are told.
type operators struct {
	r          *Router
	out        map[string]bool // endpoints that are out for maintenance
	generation int64           // of changes of that
	keeper     *maintenance.Keeper
	open       atomic.Bool // clients are taken
	partAt     dispatch.Micros
	answers    []func()
	shown      atomic.Pointer[admin.Figures]
	showAt     dispatch.Micros
	reloads    int64
	faulty     atomic.Int64
}

func (o *operators) init(r *Router) {
	o.r, o.out, o.partAt, o.showAt = r, map[string]bool{}, never, never
	o.keeper = maintenance.Keep(r.dep.Spool, r.dep.Name)
	if r.dep.Ops != "" {
		o.showAt = 0
	}
	out, err := maintenance.Read(r.dep.Spool, r.dep.Name)
	if err != nil {
		r.log.Error("who was out for maintenance cannot be read: all are taken for in", "file", maintenance.Name, "fault", err)
	}
	for _, id := range out {
		o.out[id] = true
	}
}

// remind tells decisions that begin who is out.
func (o *operators) remind() {
	for _, id := range slices.Sorted(maps.Keys(o.out)) {
		o.r.events = append(o.r.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(id), Disabled: true})
	}
}

// Serving tells whether this process takes clients.
func (r *Router) Serving() bool { return r.operators.open.Load() }

// Figures are the last that were made up.
func (r *Router) Figures() *admin.Figures { return r.operators.shown.Load() }

// FaultyReload counts a configuration that was left out.
func (r *Router) FaultyReload() { r.operators.faulty.Add(1) }

// Ask has the router do what operators want, and returns once it is done and lasts.
func (r *Router) Ask(ctx context.Context, what any) error {
	q := request{what, make(chan answer, 1)}
	select {
	case r.door <- q:
	case <-ctx.Done():
		return ctx.Err()
	}
	var a answer
	select {
	case a = <-q.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.lasting(a)
}

// lasting writes down what an answer says, and returns what is to be told.
func (r *Router) lasting(a answer) error {
	if a.err != nil || a.out == nil {
		return a.err
	}
	return r.operators.keeper.Write(a.generation, a.out)
}

var errNoOps = errors.New("no such call here")

// asked does what operators want; they are told after the step.
func (o *operators) asked(q request) {
	if o.r.upgrade.handed {
		o.r.upgrade.ask(q)
		return
	}
	a := answer{}
	switch w := q.what.(type) {
	case admin.Maintain:
		a = o.maintain(w)
	case admin.Away:
		o.send(w.Away)
	default:
		a.err = fmt.Errorf("%w: %T", errNoOps, q.what)
	}
	o.answers = append(o.answers, func() { q.done <- a })
}

// maintain takes an endpoint out or puts it back; it must be on the list, or out.
func (o *operators) maintain(w admin.Maintain) answer {
	host, listed := o.r.hosts[dispatch.EndpointID(w.Endpoint)]
	if !listed && !o.out[w.Endpoint] {
		return answer{err: admin.ErrUnknown}
	}
	if o.out[w.Endpoint] != w.Out {
		if o.generation++; w.Out {
			o.out[w.Endpoint] = true
			o.r.links.closeIdle(peerOf(host))
		} else {
			delete(o.out, w.Endpoint)
		}
		o.r.log.Info("maintenance", "endpoint", w.Endpoint, "out", w.Out)
		o.r.events = append(o.r.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(w.Endpoint), Disabled: w.Out})
	}
	return answer{generation: o.generation, out: maps.Clone(o.out)} // written again if it is there already: the first try may have failed
}

const (
	// Whoever hands out new connections stops within two tenths of a second of the first no, and asks each tenth.
	partAfter = 350 * 1000
	partEvery = 50 * 1000
)

// send sends clients away, or ends that. Connections that are up are served, and closed between two requests.
func (o *operators) send(away bool) {
	if away == o.away() {
		return
	}
	o.r.log.Info("clients are sent away", "away", away, "clients", len(o.r.clients.all))
	o.partAt = never
	if away {
		o.partAt = o.r.now + partAfter
	}
	o.open.Store(!away && o.r.endBy == never)
}

func (o *operators) away() bool { return o.partAt < never }

func (o *operators) due() dispatch.Micros { return min(o.partAt, o.showAt) }

// tick closes what rests while clients are sent away.
func (o *operators) tick() {
	if o.partAt <= o.r.now {
		o.partAt = o.r.now + partEvery
		o.r.clients.sendAway()
	}
}

// showEvery is how old the figures may be.
const showEvery = 200 * 1000

// publish makes the figures up anew, and tells operators what was done.
func (o *operators) publish() {
	if o.r.dep.Ops != "" && o.r.now >= o.showAt || len(o.answers) > 0 {
		o.showAt = o.r.now + showEvery
		o.shown.Store(o.r.figures())
	}
	for _, tell := range o.answers {
		tell()
	}
	o.answers = nil
}
