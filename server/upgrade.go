package server

import (
	"errors"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"pineport/admin"
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/maintenance"
	"pineport/protocol"
)

// ErrRegain says that this process had handed all to a new one, which has gone: it is to begin anew from the folder.
var ErrRegain = errors.New("the process that took over has gone")

type (
	// knock is a new process that is ready to take over.
	knock struct {
		link  *handoff.Link
		hello *handoff.Hello
	}
	// said is a message of the other process, nil when it has gone.
	said struct {
		link *handoff.Link
		m    *handoff.Message
	}
)

// upgrade is the other process of an upgrade: first a predecessor that handed all to this one, later a successor.
type upgrade struct {
	r                *Router
	giver            *handoff.Giver
	release          func() // frees the folder
	successor        *handoff.Link
	wanted           bool // the successor is ready, and nothing is handed over yet
	giving           bool // between the two
	handed           bool // the successor decides
	regain           bool
	predecessor      *handoff.Link
	strangers        []*attempt        // of the predecessor, to endpoints that are not listed any more
	learnedAtHandoff dispatch.Snapshot // as it was handed over, and the waits told since
	asks             map[int64]chan answer
	asked            int64
}

func (u *upgrade) init(r *Router) {
	u.r, u.giver, u.asks, u.release = r, handoff.NewGiver(r.dep.Name), map[int64]chan answer{}, func() {}
}

// Successors lets new processes take over: release frees the folder at that instant.
func (r *Router) Successors(release func()) { r.upgrade.release = release }

// Knocked is told of a new process that is ready to take over.
func (r *Router) Knocked(link *handoff.Link, hello *handoff.Hello) { r.door <- knock{link, hello} }

// Predecessor joins the router with the process that handed all over.
func (r *Router) Predecessor(link *handoff.Link) {
	r.upgrade.predecessor = link
	go r.hear(link)
}

func (r *Router) hear(link *handoff.Link) {
	link.Listen(func(m *handoff.Message) { r.door <- said{link, m} })
}

func (u *upgrade) knocked(e knock) {
	verdict, why := u.giver.Knocked(e.hello)
	if verdict == handoff.Refuse {
		u.r.log.Warn("a new process is refused", "why", why)
		e.link.Refuse(why)
		return
	}
	u.successor, u.wanted = e.link, true
	go u.r.hear(e.link)
}

const (
	// So long, at most, connections in the midst of a command are waited for; a client waits for many times that.
	settleWithin = 10 * 1000
	settleStep   = time.Millisecond
	// adoptSlack is how much longer than the predecessor its successor waits for an outcome: a line over a socket takes far less.
	adoptSlack = 250 * 1000
)

// give hands all to the successor, at one instant: what came before it is decided here, what comes later by the successor.
func (u *upgrade) give() {
	if !u.wanted {
		return
	}
	u.wanted, u.giving = false, true
	r := u.r
	began := r.clock()
	r.operators.open.Store(false)
	r.driver.Deafen()
	for { // new connections wait for the successor now; those that rest close, and their clients come there
		r.gather()
		r.guardedStep()
		r.clients.sendAway()
		if r.clients.resting() && len(r.inbox) == 0 || r.clock()-began > settleWithin {
			break
		}
		time.Sleep(settleStep)
	}
	u.recallUnsent()
	state := u.state()
	u.handed, u.learnedAtHandoff = true, state.Lore
	r.operators.keeper.Shut()
	r.operators.partAt = r.now
	if r.learned.keeper != nil {
		r.learned.keeper.Close(lastWrite)
		r.learned.keeper = nil
	}
	r.platform.stop()
	r.links.closeResting()
	r.check(r.spool.Close())
	u.release()
	u.successor.Send(handoff.Message{State: state})
	u.giver.Given()
	u.giving = false
	r.counters.held = 0
	r.log.Info("handed over", "held", len(r.messages), "out", len(r.inFlight), "clients", len(r.clients.all), "took", time.Duration(r.clock()-began)*time.Microsecond)
	debug.FreeOSMemory() // both processes have one limit
}

// recallUnsent takes back what waits for a connection: until that is up the successor may have heard that nothing may go there.
func (u *upgrade) recallUnsent() {
	for _, attempt := range slices.Clone(u.r.inFlight) {
		if x := attempt.call.exchange; x != nil && !x.sent {
			u.land(attempt)
			u.r.links.abort(x)
			u.r.outcome(attempt, dispatch.Unprocessed)
		}
	}
}

// state is what the folder does not hold.
func (u *upgrade) state() *handoff.State {
	r := u.r
	s := &handoff.State{Lore: r.snapshotLearned(), Seq: r.platform.seq, Waits: maps.Clone(r.waits), Gone: slices.Sorted(maps.Keys(r.operators.out)),
		Away: r.operators.away()}
	if r.parted != nil {
		s.Peers = r.parted()
	}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		s.Hosts = append(s.Hosts, r.hosts[id])
	}
	for _, attempt := range r.inFlight {
		s.Out = append(s.Out, handoff.Out{Record: attempt.message.kept.ID, Trip: attempt.number, Limit: attempt.limit})
	}
	return s
}

// inherit takes over what the predecessor handed on, beside the list.
func (u *upgrade) inherit(s *handoff.State) {
	r := u.r
	s.Lore.TakenAt = min(s.Lore.TakenAt, r.now)
	r.events = append(r.events, dispatch.SnapshotRestored{Snapshot: s.Lore})
	maps.Copy(r.waits, s.Waits)
	if gone := slices.Sorted(maps.Keys(r.operators.out)); !slices.Equal(gone, s.Gone) {
		r.operators.out = map[string]bool{}
		for _, id := range s.Gone {
			r.operators.out[id] = true
		}
		r.operators.generation++
		if err := r.operators.keeper.Write(r.operators.generation, r.operators.out); err != nil {
			r.log.Error("who is out for maintenance cannot be written", "file", maintenance.Name, "fault", err)
		}
	}
	if s.Away {
		r.operators.send(true)
	}
}

// adopt takes over an attempt that the predecessor has out; where its endpoint is not listed any more, it is given up.
func (u *upgrade) adopt(adopted *attempt, limit dispatch.Micros) {
	id := dispatch.EndpointID(adopted.message.kept.Trips[adopted.number].Endpoint)
	host, ok := u.r.hosts[id]
	if !ok {
		u.strangers = append(u.strangers, adopted)
		return
	}
	adopted.over, adopted.limit = false, limit+adoptSlack
	adopted.call = &call{endpoint: id, host: host, attempts: []*attempt{adopted}, predecessor: true}
	adopted.message.out++
	u.r.inFlight = append(u.r.inFlight, adopted)
}

// serving tells the predecessor that clients are taken here.
func (u *upgrade) serving() {
	if u.predecessor == nil {
		return
	}
	u.predecessor.Send(handoff.Message{Serving: true})
	for _, attempt := range u.strangers {
		u.cancel(attempt)
	}
	u.strangers = nil
}

// cancel tells the predecessor that an attempt is waited for no more.
func (u *upgrade) cancel(attempt *attempt) {
	if u.predecessor != nil {
		u.predecessor.Send(handoff.Message{Cancel: &handoff.Out{Record: attempt.message.kept.ID, Trip: attempt.number}})
	}
}

// waits tells the predecessor of a wait, in case it has to go on.
func (u *upgrade) waits(h protocol.Host, until dispatch.Micros) {
	if u.predecessor == nil {
		return
	}
	w := &handoff.Wait{Dest: dispatch.DestinationID(h.Dest), Until: until}
	if u.r.apart(h) {
		w.Endpoint = dispatch.EndpointID(h.Host)
	}
	u.predecessor.Send(handoff.Message{Wait: w})
}

// echo tells the successor how an attempt ended.
func (u *upgrade) echo(attempt *attempt, s dispatch.AttemptFinished) {
	if attempt.over {
		return
	}
	u.land(attempt)
	s.Message, s.Attempt = dispatch.MessageID(attempt.message.kept.ID), dispatch.AttemptNumber(attempt.number)
	u.successor.Send(handoff.Message{Settled: &s})
}

func (u *upgrade) land(landed *attempt) {
	landed.over = true
	u.r.inFlight = slices.DeleteFunc(u.r.inFlight, func(o *attempt) bool { return o == landed })
}

// ask hands what operators want to the successor, which decides.
func (u *upgrade) ask(q request) {
	if len(u.asks) >= doorSize {
		q.done <- answer{err: errBusy}
		return
	}
	a := &handoff.Ask{Number: u.asked}
	switch w := q.what.(type) {
	case admin.Maintain:
		a.Endpoint, a.Yes = w.Endpoint, w.Out
	case admin.Away:
		a.Yes = w.Away
	}
	u.asks[u.asked] = q.done
	u.asked++
	u.successor.Send(handoff.Message{Ask: a})
}

var errBusy = errors.New("too many calls wait for the process that took over")

// said takes what the other process says.
func (u *upgrade) said(e said) {
	switch {
	case e.link == u.predecessor && e.m == nil:
		u.orphaned()
	case e.link == u.predecessor:
		u.fromPredecessor(e.m)
	case e.link != u.successor:
	case e.m == nil:
		u.bereft()
	case u.giver.Said(e.m) == handoff.Drop:
		u.r.log.Error("the process that takes over said what makes no sense")
		e.link.Close()
	default:
		u.fromSuccessor(e.m)
	}
}

func (u *upgrade) fromPredecessor(m *handoff.Message) {
	r := u.r
	switch {
	case m.Settled != nil:
		message := r.messages[m.Settled.Message]
		if message == nil || int(m.Settled.Attempt) < 0 || int(m.Settled.Attempt) >= len(message.attempts) {
			return
		}
		attempt := message.attempts[m.Settled.Attempt]
		if attempt.call == nil || !attempt.call.predecessor {
			return
		}
		s := *m.Settled
		if s.RetryAfter > 0 {
			r.keepWait(attempt.call.host, r.now+s.RetryAfter)
		}
		r.complete(attempt, dispatch.AttemptFinished{Outcome: s.Outcome, MessageDone: s.MessageDone, RetryAfter: s.RetryAfter, LoadReport: s.LoadReport})
	case m.Ask != nil:
		q, link := request{admin.Away{Away: m.Ask.Yes}, make(chan answer, 1)}, u.predecessor
		if m.Ask.Endpoint != "" {
			q.what = admin.Maintain{Endpoint: m.Ask.Endpoint, Out: m.Ask.Yes}
		}
		r.operators.asked(q)
		go func() { // the answer waits for the disk
			a := handoff.Answer{Number: m.Ask.Number}
			if err := r.lasting(<-q.done); err != nil {
				a.Fault, a.Unknown = err.Error(), errors.Is(err, admin.ErrUnknown)
			}
			link.Send(handoff.Message{Answer: &a})
		}()
	}
}

// orphaned: nobody will tell any more how the predecessor's attempts ended; they may have run.
func (u *upgrade) orphaned() {
	u.predecessor = nil
	lost := 0
	for _, attempt := range slices.Clone(u.r.inFlight) {
		if attempt.call.predecessor {
			lost++
			u.r.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		}
	}
	u.r.log.Info("the process before this one has ended", "unheard", lost)
}

func (u *upgrade) fromSuccessor(m *handoff.Message) {
	r := u.r
	switch {
	case m.Serving:
		r.log.Info("another process serves", "out", len(r.inFlight))
	case m.Cancel != nil:
		for _, attempt := range slices.Clone(r.inFlight) {
			if attempt.message.kept.ID == m.Cancel.Record && attempt.number == m.Cancel.Trip {
				u.land(attempt)
				r.drop(attempt.call)
			}
		}
	case m.Wait != nil:
		u.keepWait(*m.Wait)
	case m.Answer != nil:
		done, ok := u.asks[m.Answer.Number]
		if !ok {
			return
		}
		delete(u.asks, m.Answer.Number)
		a := answer{}
		if m.Answer.Unknown {
			a.err = admin.ErrUnknown
		} else if m.Answer.Fault != "" {
			a.err = errors.New(m.Answer.Fault)
		}
		done <- a
	}
}

func (u *upgrade) keepWait(w handoff.Wait) {
	Waiting(&u.learnedAtHandoff, &dispatch.Snapshot{Groups: []dispatch.GroupSnapshot{{Destination: w.Dest, Endpoint: w.Endpoint, RetryAfterUntil: w.Until}}})
}

// Waiting adds to what is known the waits of another: of each route the later one holds.
func Waiting(l, other *dispatch.Snapshot) *dispatch.Snapshot {
	for _, o := range other.Groups {
		i := slices.IndexFunc(l.Groups, func(r dispatch.GroupSnapshot) bool { return r.Destination == o.Destination && r.Endpoint == o.Endpoint })
		if i < 0 {
			i = len(l.Groups)
			l.Groups = append(l.Groups, dispatch.GroupSnapshot{Destination: o.Destination, Endpoint: o.Endpoint, CountedSince: l.TakenAt, LastCall: l.TakenAt, LastDelivery: l.TakenAt})
		}
		l.Groups[i].RetryAfterUntil = max(l.Groups[i].RetryAfterUntil, o.RetryAfterUntil)
	}
	return l
}

// bereft: the successor has gone.
func (u *upgrade) bereft() {
	for _, done := range u.asks {
		done <- answer{err: fmt.Errorf("asked in an upgrade: %w", ErrRegain)}
	}
	clear(u.asks)
	u.wanted = false
	// Failure: a successor that left while all was made ready for it was given it even so, and nobody decided any more.
	if u.giver.Lost() == handoff.Regain || u.giving {
		u.r.log.Error("the process that took over has gone: this one goes on", "out", len(u.r.inFlight))
		u.regain = true
	}
}

// After goes on counting where another router of this process left off.
func (r *Router) After(before *Router) {
	r.counters.ends, r.counters.dispatches = before.counters.ends, before.counters.dispatches
	r.counters.grow(len(r.dep.Workloads))
	r.operators.reloads = before.operators.reloads
	r.operators.faulty.Store(before.operators.faulty.Load())
}

// LearnedAtHandoff is what this process had learned as it handed all over, for a router that goes on after its successor has gone.
func (r *Router) LearnedAtHandoff() *dispatch.Snapshot { return &r.upgrade.learnedAtHandoff }
