package routing

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"pineport/config"
	"pineport/logic"
	"pineport/maintenance"
	"pineport/ops"
)

// doorSize bounds what operators may have waiting; each of them waits for the answer.
const doorSize = 16

// StaffSockets is how many descriptors of the courier's allowance are the operators'.
func StaffSockets(dep *config.Deployment) int {
	if dep.Ops == "" {
		return 0
	}
	return min(16, dep.Sockets/24)
}

// request is one thing that operators ask for; done is told once, after the turn that did it.
type request struct {
	what any
	done chan answer
}

// answer says what stands after the turn.
type answer struct {
	err  error
	turn int64
	out  map[string]bool // endpoints out then
}

// staff is what operators have told the courier, and what they are told.
type staff struct {
	r       *Router
	out     map[string]bool // endpoints that people have taken out
	turn    int64           // of changes of that
	keeper  *maintenance.Keeper
	open    atomic.Bool // clients are taken
	partAt  logic.Micros
	answers []func()
	shown   atomic.Pointer[ops.Figures]
	showAt  logic.Micros
	reloads int64
	faulty  atomic.Int64
}

func (s *staff) init(r *Router) {
	s.r, s.out, s.partAt, s.showAt = r, map[string]bool{}, never, never
	s.keeper = maintenance.Keep(r.dep.Spool, r.dep.Name)
	if r.dep.Ops != "" {
		s.showAt = 0
	}
	out, err := maintenance.Read(r.dep.Spool, r.dep.Name)
	if err != nil {
		r.log.Error("who was out for maintenance cannot be read: all are taken for in", "file", maintenance.Name, "fault", err)
	}
	for _, id := range out {
		s.out[id] = true
	}
}

// remind tells decisions that begin who is out.
func (s *staff) remind() {
	for _, id := range slices.Sorted(maps.Keys(s.out)) {
		s.r.events = append(s.r.events, logic.Maintained{Endpoint: logic.EndpointID(id), Out: true})
	}
}

// Serving tells whether this process takes clients.
func (r *Router) Serving() bool { return r.staff.open.Load() }

// Figures are the last that were made up.
func (r *Router) Figures() *ops.Figures { return r.staff.shown.Load() }

// FaultyReload counts a configuration that was left out.
func (r *Router) FaultyReload() { r.staff.faulty.Add(1) }

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
	return r.staff.keeper.Write(a.turn, a.out)
}

var errNoOps = errors.New("no such call here")

// asked does what operators want; they are told after the turn.
func (s *staff) asked(q request) {
	if s.r.upgrade.handed {
		s.r.upgrade.ask(q)
		return
	}
	a := answer{}
	switch w := q.what.(type) {
	case ops.Maintain:
		a = s.maintain(w)
	case ops.Away:
		s.send(w.Away)
	default:
		a.err = fmt.Errorf("%w: %T", errNoOps, q.what)
	}
	s.answers = append(s.answers, func() { q.done <- a })
}

// maintain takes an endpoint out or puts it back; it must be on the list, or out.
func (s *staff) maintain(w ops.Maintain) answer {
	host, listed := s.r.hosts[logic.EndpointID(w.Endpoint)]
	if !listed && !s.out[w.Endpoint] {
		return answer{err: ops.ErrUnknown}
	}
	if s.out[w.Endpoint] != w.Out {
		if s.turn++; w.Out {
			s.out[w.Endpoint] = true
			s.r.links.closeIdle(peerOf(host))
		} else {
			delete(s.out, w.Endpoint)
		}
		s.r.log.Info("maintenance", "endpoint", w.Endpoint, "out", w.Out)
		s.r.events = append(s.r.events, logic.Maintained{Endpoint: logic.EndpointID(w.Endpoint), Out: w.Out})
	}
	return answer{turn: s.turn, out: maps.Clone(s.out)} // written again if it is there already: the first try may have failed
}

const (
	// Whoever hands out new connections stops within two tenths of a second of the first no, and asks each tenth.
	partAfter = 350 * 1000
	partEvery = 50 * 1000
)

// send sends clients away, or ends that. Connections that are up are served, and closed between two requests.
func (s *staff) send(away bool) {
	if away == s.away() {
		return
	}
	s.r.log.Info("clients are sent away", "away", away, "clients", len(s.r.clients.all))
	s.partAt = never
	if away {
		s.partAt = s.r.now + partAfter
	}
	s.open.Store(!away && s.r.endBy == never)
}

func (s *staff) away() bool { return s.partAt < never }

func (s *staff) due() logic.Micros { return min(s.partAt, s.showAt) }

// tick closes what rests while clients are sent away.
func (s *staff) tick() {
	if s.partAt <= s.r.now {
		s.partAt = s.r.now + partEvery
		s.r.clients.sendAway()
	}
}

// showEvery is how old the figures may be.
const showEvery = 200 * 1000

// publish makes the figures up anew, and tells operators what was done.
func (s *staff) publish() {
	if s.r.dep.Ops != "" && s.r.now >= s.showAt || len(s.answers) > 0 {
		s.showAt = s.r.now + showEvery
		s.shown.Store(s.r.figures())
	}
	for _, tell := range s.answers {
		tell()
	}
	s.answers = nil
}
