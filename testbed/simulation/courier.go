package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pineport/config"
	"pineport/dispatch"
	"pineport/quota"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
)

// courier is the world's side of one courier: what its process, sockets and folder would be.
type courier struct {
	sim      *Sim
	no       int
	zone     dispatch.ZoneID
	alive    bool
	closing  bool
	life     int        // counts its starts, so that what belongs to an earlier one is known
	spooled  []*message // what its folder holds while it is down, in the order taken
	standsTo dispatch.Micros
	events   []dispatch.Event
	due      dispatch.Micros // the tick at which it is notified them; 0: none
	messages map[dispatch.MessageID]*message
	held     int
	slots    int                                            // taken
	pools    map[dispatch.EndpointID][]dispatch.Micros      // idle connections, by when they began to rest
	notified map[dispatch.EndpointID]dispatch.EndpointEntry // the list as it had it last
	newsAt   dispatch.Micros
	watching bool
	quota    *quota.Allocator // nil: limits are not shared
}

// message is a message at one courier.
type message struct {
	id       dispatch.MessageID
	client   *client
	courier  *courier
	number   int // in the order taken by all couriers
	taken    dispatch.MessageAccepted
	attempts []*attempt
	out      int
	over     bool
}

type attempt struct {
	rec  *message
	no   dispatch.AttemptNumber
	book int // its number in the books
	call *call
	past dispatch.PastAttempt // as a folder has it; the outcome counts once it is over
	over bool
}

// call is one call on its way.
type call struct {
	endpointmodel.Call
	courier  *courier
	life     int
	at       *spot
	attempts []*attempt
	sent     dispatch.Micros
	linked   bool // its connection is up
	over     bool // the courier knows its end, or waits no more
}

func (s *Sim) start(c *courier) {
	if c.alive {
		return
	}
	c.alive, c.closing, c.watching = true, false, false
	c.life++
	c.events, c.due, c.held, c.slots = nil, 0, 0, 0
	c.messages, c.pools = map[dispatch.MessageID]*message{}, map[dispatch.EndpointID][]dispatch.Micros{}
	salt := int64(s.rng.Uint64() >> 1)
	ch, err := s.w.Config(c.no, salt)
	if err == nil {
		err = s.host.Start(c.no, s.commune(c, ch), config.Flatten(s.w.Settings(c.no)))
	}
	if err != nil {
		s.fail("%w", err)
		return
	}
	if c.life > 1 {
		s.books.CourierUp(s.now, c.no)
	}
	s.tell(c, dispatch.EndpointUpdate{Kind: dispatch.CachedList, Entries: inOrder(c.notified)})
	if snapshot, ok := s.lores[c.no]; ok {
		s.tell(c, dispatch.SnapshotRestored{Snapshot: snapshot})
	}
	s.takeUpAgain(c)
	if s.w.Definition.Directory.Mode == "push" {
		s.listed.fetch(c)
	}
}

// inOrder lists entries by their names.
func inOrder(all map[dispatch.EndpointID]dispatch.EndpointEntry) []dispatch.EndpointEntry {
	list := make([]dispatch.EndpointEntry, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	return list
}

// ask tells a courier that its process ends soon.
func (s *Sim) ask(c *courier, span dispatch.Micros) {
	if c.alive {
		c.closing = true
		s.tell(c, dispatch.ShutdownScheduled{At: s.now + span})
	}
}

// kill ends a courier; what it held goes back to its clients.
func (s *Sim) kill(c *courier) {
	if !c.alive {
		return
	}
	if c.closing && s.SnapshotInterval > 0 {
		s.takeSnapshot(c)
	}
	c.alive = false
	s.host.Kill(c.no)
	for _, id := range slices.Sorted(maps.Keys(c.pools)) {
		for range c.pools[id] {
			s.partners[s.at[id].dest].Disconnect(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.messages)) {
		r := c.messages[id]
		for _, t := range r.attempts {
			if !t.over && !t.call.over {
				t.call.over = true
				s.hangUp(t.call)
			}
		}
		if r.over {
			continue
		}
		if s.Spool {
			s.cutOff(r)
			c.spooled = append(c.spooled, r)
			continue
		}
		r.over = true
		if work := &s.w.Definition.Classes[r.client.arrival.Class]; work.Idempotency != "single-use" || !s.books.MayHaveRun(id) {
			s.after(s.now+s.between(s.w.Definition.Clients.ResubmitAfter), func() { s.handIn(r.client, s.other(c), true) })
		}
	}
	slices.SortStableFunc(c.spooled, func(a, b *message) int { return cmp.Compare(a.number, b.number) })
	s.books.CourierDown(s.now, c.no, !s.Spool, s.SnapshotInterval == 0)
}

// takeUpAgain hands a courier what its folder held.
func (s *Sim) takeUpAgain(c *courier) {
	for _, r := range c.spooled {
		if r.over {
			continue // withdrawn meanwhile
		}
		e := dispatch.MessageRecovered{MessageAccepted: r.taken}
		for _, t := range r.attempts {
			e.Attempts = append(e.Attempts, t.past)
		}
		c.messages[r.id] = r
		c.held++
		s.tell(c, e)
	}
	c.spooled = nil
}

// cutOff ends what a killed courier had out. A folder knows of an attempt from its first byte on: before, it never was;
// after, it may have run.
func (s *Sim) cutOff(r *message) {
	r.out = 0
	r.attempts = slices.DeleteFunc(r.attempts, func(t *attempt) bool {
		if t.over {
			return false
		}
		t.over, t.past.Outcome = true, dispatch.Broken
		if !t.call.linked {
			s.books.AttemptEnded(s.now, r.id, t.book, dispatch.Unreachable, 0)
		}
		return !t.call.linked
	})
}

// tell puts something before a courier's next step.
func (s *Sim) tell(c *courier, e dispatch.Event) {
	if !c.alive {
		return
	}
	c.events = append(c.events, e)
	if c.due == 0 {
		at := (max(s.now, c.standsTo)/s.tick + 1) * s.tick
		c.due = at
		if s.turns[at] == nil {
			s.after(at, func() { s.turn(at) })
		}
		s.turns[at] = append(s.turns[at], c)
	}
}

// step lets all couriers decide that have something to be notified by now.
func (s *Sim) turn(at dispatch.Micros) {
	due := s.turns[at]
	delete(s.turns, at)
	var batches []Batch
	for _, c := range due {
		if !c.alive || c.due != at {
			continue // killed since
		}
		c.due = 0
		if c.standsTo > s.now { // stands still since it was notified
			events := c.events
			c.events = nil
			for _, e := range events {
				s.tell(c, e)
			}
			continue
		}
		batches = append(batches, Batch{c.no, c.events})
		c.events = nil
	}
	if len(batches) == 0 {
		return
	}
	s.stats.Turns += len(batches)
	all, err := s.host.Step(s.now, batches)
	if err != nil {
		var fault *CourierPanic
		if !errors.As(err, &fault) {
			err = fmt.Errorf("the host of the decisions: %w", err)
		}
		s.err = err
		return
	}
	for i, b := range batches {
		s.carryOut(s.couriers[b.Courier], all[i])
	}
}

// carryOut does what a courier wants done.
func (s *Sim) carryOut(c *courier, actions []dispatch.Action) {
	s.stats.Actions += len(actions)
	open := map[dispatch.EndpointID]*call{} // calls of this step that may carry more
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			if cl := s.load(c, a, open); cl != nil {
				calls = append(calls, cl)
			}
		case dispatch.Cancel:
			s.cancel(c, a)
		case dispatch.Reject:
			if r := s.ended(c, a.Message, invariants.Rejected); r != nil {
				s.comeAgain(r.client, c, min(a.RetryAfter, config.Micros(s.w.Definition.Fleet.MaxRetryAfter)))
			}
		case dispatch.Fail:
			if r := s.ended(c, a.Message, invariants.Failed); r != nil {
				r.client.over = true
			}
		case dispatch.SetTimer:
			life := c.life
			s.after(a.At, func() {
				if c.life == life {
					s.tell(c, dispatch.TimerFired{})
				}
			})
		case dispatch.CloseIdle:
			for range c.pools[a.Endpoint] {
				s.partners[s.at[a.Endpoint].dest].Disconnect(a.Endpoint)
			}
			delete(c.pools, a.Endpoint)
		case dispatch.WatchEndpoints:
			s.listed.fetch(c)
		}
	}
	for _, cl := range calls {
		s.launch(cl)
	}
}

// ended takes a courier's final answer for a message; nil where it had one already.
func (s *Sim) ended(c *courier, id dispatch.MessageID, how invariants.End) *message {
	r := c.messages[id]
	if r == nil || r.over {
		s.books.MessageEnded(s.now, id, how) // they know what to think of it
		return nil
	}
	s.end(r, how)
	return r
}

func (s *Sim) end(r *message, how invariants.End) {
	s.books.MessageEnded(s.now, r.id, how)
	s.close(r)
}

// close forgets a message that is over, once nothing of it is out.
func (s *Sim) close(r *message) {
	if !r.over {
		r.over = true
		r.courier.held--
	}
	if r.out == 0 {
		delete(r.courier.messages, r.id)
	}
}
