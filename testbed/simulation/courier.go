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

// courier is the simulated process, connections and state folder of one courier.
type courier struct {
	sim                 *Sim
	index               int
	zone                dispatch.ZoneID
	alive               bool
	shuttingDown        bool
	incarnation         int        // number of starts; identifies events that belong to an earlier run
	spooled             []*message // messages in the spool while the courier is down, in the order accepted
	pausedUntil         dispatch.Micros
	events              []dispatch.Event
	stepAt              dispatch.Micros // tick at which events are handed to the dispatcher; 0: none is scheduled
	messages            map[dispatch.MessageID]*message
	openMessages        int
	slotsUsed           int
	idleConns           map[dispatch.EndpointID][]dispatch.Micros      // for each idle connection, since when it is idle
	knownEntries        map[dispatch.EndpointID]dispatch.EndpointEntry // the endpoint list as last received
	lastChangeArrivesAt dispatch.Micros                                // when the latest list change sent to it arrives; keeps changes in order
	watching            bool
	quota               *quota.Allocator // nil if couriers do not share quotas
}

// message is a message accepted by one courier.
type message struct {
	id           dispatch.MessageID
	client       *client
	courier      *courier
	number       int // sequence number over all couriers
	accepted     dispatch.MessageAccepted
	attempts     []*attempt
	openAttempts int
	done         bool
}

type attempt struct {
	message      *message
	number       dispatch.AttemptNumber
	ledgerNumber int // the attempt's number in the ledger
	call         *call
	past         dispatch.PastAttempt // the attempt as the spool records it; Outcome is valid once done is set
	done         bool
}

// call is one call from a courier to an endpoint.
type call struct {
	endpointmodel.Call
	courier     *courier
	incarnation int
	endpoint    *endpointRecord
	attempts    []*attempt
	sent        dispatch.Micros
	connected   bool
	done        bool // the courier knows the outcome, or no longer waits for it
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
	cfg, err := s.instance.Config(c.index, salt)
	if err == nil {
		err = s.host.Start(c.index, s.startQuota(c, cfg), config.Flatten(s.instance.Settings(c.index)))
	}
	if err != nil {
		s.fail("%w", err)
		return
	}
	if c.incarnation > 1 {
		s.ledger.CourierUp(s.now, c.index)
	}
	s.notify(c, dispatch.EndpointUpdate{Kind: dispatch.CachedList, Entries: sortedEntries(c.knownEntries)})
	if snapshot, ok := s.snapshots[c.index]; ok {
		s.notify(c, dispatch.SnapshotRestored{Snapshot: snapshot})
	}
	s.recoverSpool(c)
	if s.instance.Definition.Directory.Mode == "push" {
		s.directory.fetch(c)
	}
}

// sortedEntries returns the entries in the order of their endpoint IDs.
func sortedEntries(all map[dispatch.EndpointID]dispatch.EndpointEntry) []dispatch.EndpointEntry {
	list := make([]dispatch.EndpointEntry, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	return list
}

// announceShutdown notifies a courier that its process will be stopped after a time. The scenario stops it
// with another event.
func (s *Sim) announceShutdown(c *courier, delay dispatch.Micros) {
	if c.alive {
		c.shuttingDown = true
		s.notify(c, dispatch.ShutdownScheduled{At: s.now + delay})
	}
}

// killCourier ends a courier's process. Its open messages stay in its spool. Without a spool, clients submit
// them again, except for single-use messages that may have taken effect.
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
		if class := &s.instance.Definition.Classes[msg.client.arrival.Class]; class.Idempotency != "single-use" || !s.ledger.MayHaveRun(id) {
			s.schedule(s.now+s.randomDuration(s.instance.Definition.Clients.ResubmitAfter), func() { s.submit(msg.client, s.retryCourier(c), true) })
		}
	}
	slices.SortStableFunc(c.spooled, func(a, b *message) int { return cmp.Compare(a.number, b.number) })
	s.ledger.CourierDown(s.now, c.index, !s.Spool, s.SnapshotInterval == 0) // messages lost, learned state lost
}

// recoverSpool hands a restarted courier the messages of its spool.
func (s *Sim) recoverSpool(c *courier) {
	for _, msg := range c.spooled {
		if msg.done {
			continue // canceled while the courier was down
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

// breakAttempts ends the open attempts of a message whose courier was killed. The spool records an attempt
// from its first byte on: an attempt without a connection is removed, any other is kept as broken, since it
// may have taken effect.
func (s *Sim) breakAttempts(msg *message) {
	msg.openAttempts = 0
	msg.attempts = slices.DeleteFunc(msg.attempts, func(att *attempt) bool {
		if att.done {
			return false
		}
		att.done, att.past.Outcome = true, dispatch.Broken
		if !att.call.connected {
			s.ledger.AttemptEnded(s.now, msg.id, att.ledgerNumber, dispatch.Unreachable, 0)
		}
		return !att.call.connected
	})
}

// notify queues an event for a courier's next step.
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

// stepCouriers hands all events that are due at this tick to their couriers' dispatchers and executes the
// resulting actions.
func (s *Sim) stepCouriers(at dispatch.Micros) {
	due := s.stepsDue[at]
	delete(s.stepsDue, at)
	var batches []Batch
	for _, c := range due {
		if !c.alive || c.stepAt != at {
			continue // killed or rescheduled in the meantime
		}
		c.stepAt = 0
		if c.pausedUntil > s.now { // paused since the event was queued
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
	all, err := s.host.Step(s.now, batches)
	if err != nil {
		var fault *CourierPanic
		if !errors.As(err, &fault) {
			err = fmt.Errorf("host of the dispatchers: %w", err)
		}
		s.err = err
		return
	}
	for i, b := range batches {
		s.execute(s.couriers[b.Courier], all[i])
	}
}

// execute carries out the actions that a courier's dispatcher returned.
func (s *Sim) execute(c *courier, actions []dispatch.Action) {
	s.stats.Actions += len(actions)
	openCalls := map[dispatch.EndpointID]*call{} // the last call of this step to each endpoint, which may take more messages
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
				s.resubmitLater(msg.client, c, min(a.RetryAfter, config.Micros(s.instance.Definition.Fleet.MaxRetryAfter)))
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

// endOpenMessage records a courier's final answer for a message. It returns nil if the message is unknown to
// the courier or already had a final answer.
func (s *Sim) endOpenMessage(c *courier, id dispatch.MessageID, end invariants.End) *message {
	msg := c.messages[id]
	if msg == nil || msg.done {
		s.ledger.MessageEnded(s.now, id, end) // the ledger decides whether this is a breach
		return nil
	}
	s.endMessage(msg, end)
	return msg
}

func (s *Sim) endMessage(msg *message, end invariants.End) {
	s.ledger.MessageEnded(s.now, msg.id, end)
	s.release(msg)
}

// release marks a message as done, and forgets it once none of its attempts is open.
func (s *Sim) release(msg *message) {
	if !msg.done {
		msg.done = true
		msg.courier.openMessages--
	}
	if msg.openAttempts == 0 {
		delete(msg.courier.messages, msg.id)
	}
}
