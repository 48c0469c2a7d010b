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
	sim          *Sim
	index        int
	zone         dispatch.ZoneID
	alive        bool
	shuttingDown bool
	incarnation  int        // counts its starts, so that what belongs to an earlier one is known
	spooled      []*message // what its folder holds while it is down, in the order taken
	pausedUntil  dispatch.Micros
	events       []dispatch.Event
	stepAt       dispatch.Micros // the tick at which it is notified them; 0: none
	messages     map[dispatch.MessageID]*message
	openMessages int
	slotsUsed    int                                            // taken
	idleConns    map[dispatch.EndpointID][]dispatch.Micros      // idle connections, by when they began to rest
	knownEntries map[dispatch.EndpointID]dispatch.EndpointEntry // the list as it had it last
	lastChangeAt dispatch.Micros
	watching     bool
	quota        *quota.Allocator // nil: limits are not shared
}

// message is a message at one courier.
type message struct {
	id           dispatch.MessageID
	client       *client
	courier      *courier
	number       int // in the order taken by all couriers
	accepted     dispatch.MessageAccepted
	attempts     []*attempt
	openAttempts int
	done         bool
}

type attempt struct {
	message      *message
	number       dispatch.AttemptNumber
	ledgerNumber int // its number in the books
	call         *call
	past         dispatch.PastAttempt // as a folder has it; the outcome counts once it is over
	done         bool
}

// call is one call on its way.
type call struct {
	endpointmodel.Call
	courier     *courier
	incarnation int
	endpoint    *endpointRecord
	attempts    []*attempt
	sent        dispatch.Micros
	connected   bool // its connection is up
	done        bool // the courier knows its end, or waits no more
}

func (s *Sim) startCourier(c *courier) {
	if c.alive {
		return
	}
	c.alive, c.shuttingDown, c.watching = true, false, false
	c.incarnation++
	c.events, c.stepAt, c.openMessages, c.slotsUsed = nil, 0, 0, 0
	c.messages, c.idleConns = map[dispatch.MessageID]*message{}, map[dispatch.EndpointID][]dispatch.Micros{}
	salt := int64(s.rng.Uint64() >> 1)
	ch, err := s.instance.Config(c.index, salt)
	if err == nil {
		err = s.host.Start(c.index, s.startQuota(c, ch), config.Flatten(s.instance.Settings(c.index)))
	}
	if err != nil {
		s.fail("%w", err)
		return
	}
	if c.incarnation > 1 {
		s.ledger.Back(s.now, c.index)
	}
	s.notify(c, dispatch.EndpointUpdate{Kind: dispatch.CachedList, Entries: sortedEntries(c.knownEntries)})
	if snapshot, ok := s.snapshots[c.index]; ok {
		s.notify(c, dispatch.SnapshotRestored{Snapshot: snapshot})
	}
	s.recoverSpool(c)
	if s.instance.Day.Directory.Mode == "push" {
		s.directory.fetch(c)
	}
}

// inOrder lists entries by their names.
func sortedEntries(all map[dispatch.EndpointID]dispatch.EndpointEntry) []dispatch.EndpointEntry {
	list := make([]dispatch.EndpointEntry, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	return list
}

// ask tells a courier that its process ends soon.
func (s *Sim) scheduleShutdown(c *courier, span dispatch.Micros) {
	if c.alive {
		c.shuttingDown = true
		s.notify(c, dispatch.ShutdownScheduled{At: s.now + span})
	}
}

// kill ends a courier; what it held goes back to its clients.
func (s *Sim) killCourier(c *courier) {
	if !c.alive {
		return
	}
	if c.shuttingDown && s.SnapshotInterval > 0 {
		s.takeSnapshot(c)
	}
	c.alive = false
	s.host.Kill(c.index)
	for _, id := range slices.Sorted(maps.Keys(c.idleConns)) {
		for range c.idleConns[id] {
			s.destinations[s.endpoints[id].destination].Disconnect(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.messages)) {
		msg := c.messages[id]
		for _, att := range msg.attempts {
			if !att.done && !att.call.done {
				att.call.done = true
				s.disconnect(att.call)
			}
		}
		if msg.done {
			continue
		}
		if s.Spool {
			s.breakAttempts(msg)
			c.spooled = append(c.spooled, msg)
			continue
		}
		msg.done = true
		if class := &s.instance.Day.Classes[msg.client.arrival.Class]; class.Repeat != "single-use" || !s.ledger.MayHaveRun(id) {
			s.schedule(s.now+s.randomIn(s.instance.Day.Clients.Again), func() { s.submit(msg.client, s.retryCourier(c), true) })
		}
	}
	slices.SortStableFunc(c.spooled, func(a, b *message) int { return cmp.Compare(a.number, b.number) })
	s.ledger.Down(s.now, c.index, !s.Spool, s.SnapshotInterval == 0)
}

// takeUpAgain hands a courier what its folder held.
func (s *Sim) recoverSpool(c *courier) {
	for _, msg := range c.spooled {
		if msg.done {
			continue // withdrawn meanwhile
		}
		e := dispatch.MessageRecovered{MessageAccepted: msg.accepted}
		for _, att := range msg.attempts {
			e.Attempts = append(e.Attempts, att.past)
		}
		c.messages[msg.id] = msg
		c.openMessages++
		s.notify(c, e)
	}
	c.spooled = nil
}

// cutOff ends what a killed courier had out. A folder knows of an attempt from its first byte on: before, it never was;
// after, it may have run.
func (s *Sim) breakAttempts(msg *message) {
	msg.openAttempts = 0
	msg.attempts = slices.DeleteFunc(msg.attempts, func(att *attempt) bool {
		if att.done {
			return false
		}
		att.done, att.past.Outcome = true, dispatch.Broken
		if !att.call.connected {
			s.ledger.Settled(s.now, msg.id, att.ledgerNumber, dispatch.Unreachable, 0)
		}
		return !att.call.connected
	})
}

// tell puts something before a courier's next step.
func (s *Sim) notify(c *courier, e dispatch.Event) {
	if !c.alive {
		return
	}
	c.events = append(c.events, e)
	if c.stepAt == 0 {
		at := (max(s.now, c.pausedUntil)/s.tickLength + 1) * s.tickLength
		c.stepAt = at
		if s.stepsDue[at] == nil {
			s.schedule(at, func() { s.stepCouriers(at) })
		}
		s.stepsDue[at] = append(s.stepsDue[at], c)
	}
}

// step lets all couriers decide that have something to be notified by now.
func (s *Sim) stepCouriers(at dispatch.Micros) {
	due := s.stepsDue[at]
	delete(s.stepsDue, at)
	var batches []Batch
	for _, c := range due {
		if !c.alive || c.stepAt != at {
			continue // killed since
		}
		c.stepAt = 0
		if c.pausedUntil > s.now { // stands still since it was notified
			events := c.events
			c.events = nil
			for _, e := range events {
				s.notify(c, e)
			}
			continue
		}
		batches = append(batches, Batch{c.index, c.events})
		c.events = nil
	}
	if len(batches) == 0 {
		return
	}
	s.stats.Steps += len(batches)
	all, err := s.host.Turn(s.now, batches)
	if err != nil {
		var fault *CourierFault
		if !errors.As(err, &fault) {
			err = fmt.Errorf("the host of the decisions: %w", err)
		}
		s.err = err
		return
	}
	for i, b := range batches {
		s.execute(s.couriers[b.Courier], all[i])
	}
}

// carryOut does what a courier wants done.
func (s *Sim) execute(c *courier, actions []dispatch.Action) {
	s.stats.Actions += len(actions)
	openCalls := map[dispatch.EndpointID]*call{} // calls of this step that may carry more
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			if cl := s.addToCall(c, a, openCalls); cl != nil {
				calls = append(calls, cl)
			}
		case dispatch.Cancel:
			s.cancelAttempt(c, a)
		case dispatch.Reject:
			if msg := s.endOpenMessage(c, a.Message, invariants.Rejected); msg != nil {
				s.resubmitLater(msg.client, c, min(a.RetryAfter, config.Micros(s.instance.Day.Fleet.LongestWait)))
			}
		case dispatch.Fail:
			if msg := s.endOpenMessage(c, a.Message, invariants.Failed); msg != nil {
				msg.client.done = true
			}
		case dispatch.SetTimer:
			incarnation := c.incarnation
			s.schedule(a.At, func() {
				if c.incarnation == incarnation {
					s.notify(c, dispatch.TimerFired{})
				}
			})
		case dispatch.CloseIdle:
			for range c.idleConns[a.Endpoint] {
				s.destinations[s.endpoints[a.Endpoint].destination].Disconnect(a.Endpoint)
			}
			delete(c.idleConns, a.Endpoint)
		case dispatch.WatchEndpoints:
			s.directory.fetch(c)
		}
	}
	for _, cl := range calls {
		s.sendCall(cl)
	}
}

// ended takes a courier's final answer for a message; nil where it had one already.
func (s *Sim) endOpenMessage(c *courier, id dispatch.MessageID, end invariants.End) *message {
	msg := c.messages[id]
	if msg == nil || msg.done {
		s.ledger.Ended(s.now, id, end) // they know what to think of it
		return nil
	}
	s.endMessage(msg, end)
	return msg
}

func (s *Sim) endMessage(msg *message, end invariants.End) {
	s.ledger.Ended(s.now, msg.id, end)
	s.release(msg)
}

// close forgets a message that is over, once nothing of it is out.
func (s *Sim) release(msg *message) {
	if !msg.done {
		msg.done = true
		msg.courier.openMessages--
	}
	if msg.openAttempts == 0 {
		delete(msg.courier.messages, msg.id)
	}
}
