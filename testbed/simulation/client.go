package simulation

import (
	"strconv"

	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// client submits one message, and resubmits it after a rejection if the scenario allows that.
type client struct {
	id          dispatch.MessageID
	arrival     scenario.Arrival
	deadline    dispatch.Micros
	submissions int // submissions that a courier accepted
	rejections  int
	done        bool
	current     *message // the message at the courier that accepted it last
}

// scheduleArrival schedules the arrival i, and then the one after it.
func (s *Sim) scheduleArrival(i int) {
	if i >= len(s.instance.Arrivals) {
		return
	}
	a := s.instance.Arrivals[i]
	s.schedule(a.At, func() {
		s.createClient(i, a)
		s.scheduleArrival(i + 1)
	})
}

// createClient creates the client of an arriving message and schedules its submission and, for a random share
// of clients, its cancellation.
func (s *Sim) createClient(i int, a scenario.Arrival) {
	id := dispatch.MessageID("r" + strconv.Itoa(i))
	cl := &client{id: id, arrival: a, deadline: s.now + config.Micros(s.instance.Definition.Classes[a.Class].Deadline)}
	s.ledger.Offered(s.now, id, int(a.Class), int(a.Tenant), dispatch.DestinationID(a.Dest))
	if s.rng.Float64() < s.instance.Definition.Clients.CancelShare {
		s.schedule(s.now+dispatch.Micros(s.rng.Int64N(int64(cl.deadline-s.now))), func() { s.cancelMessage(cl) })
	}
	s.schedule(s.now+config.Micros(s.instance.Definition.Network.Client/1000), func() { s.submit(cl, s.couriers[a.Courier], false) })
}

// submit hands a message to a courier. If the courier is dead, or is shutting down while clients can reach
// any courier (entry "front"), the client tries again later, possibly at another courier.
func (s *Sim) submit(cl *client, c *courier, resubmitted bool) {
	switch {
	case cl.done || s.now >= cl.deadline:
		return
	case !c.alive || c.shuttingDown && s.instance.Definition.Fleet.ClientRouting == "front":
		s.schedule(s.now+s.randomDuration(s.instance.Definition.Clients.ResubmitAfter)/4, func() { s.submit(cl, s.retryCourier(c), resubmitted) })
		return
	case c.openMessages >= s.instance.QueueLimit: // rejected at the queue limit, before the dispatcher sees it
		s.resubmitLater(cl, c, 0)
		return
	}
	id := cl.id
	if cl.submissions > 0 {
		id += dispatch.MessageID("." + strconv.Itoa(cl.submissions))
	}
	cl.submissions++
	s.accepted++
	msg := &message{id: id, number: s.accepted, client: cl, courier: c}
	cl.current = msg
	c.messages[id] = msg
	c.openMessages++
	key := dispatch.OrderingKey("")
	if cl.arrival.Key >= 0 {
		key = dispatch.OrderingKey("k" + strconv.Itoa(int(cl.arrival.Key)))
	}
	s.ledger.Accepted(s.now, id, cl.id, c.index, key, cl.deadline)
	msg.accepted = dispatch.MessageAccepted{Message: id, Destination: dispatch.DestinationID(cl.arrival.Dest), Class: dispatch.ClassID(cl.arrival.Class),
		Tenant: dispatch.TenantID(cl.arrival.Tenant), OrderingKey: key, Deadline: cl.deadline, Resubmitted: resubmitted}
	s.notify(c, msg.accepted)
}

// retryCourier returns the courier to which a client submits next, after courier c was dead, shutting down or
// rejected the message.
func (s *Sim) retryCourier(c *courier) *courier {
	if s.instance.Definition.Fleet.ClientRouting == "own" {
		return c
	}
	return s.couriers[s.rng.IntN(len(s.couriers))]
}

// resubmitLater submits a rejected message again, after the client's backoff or after the courier's
// Retry-After.
func (s *Sim) resubmitLater(cl *client, c *courier, retryAfter dispatch.Micros) {
	d := s.instance.Definition.Clients
	if cl.done || cl.rejections >= d.Retries {
		return
	}
	wait := s.randomDuration(scenario.Range{d.Backoff[0] / 1000, d.Backoff[1] / 1000}) << cl.rejections
	if retryAfter > 0 && s.rng.Float64() < d.HonorRetryAfterShare {
		wait = retryAfter
	}
	cl.rejections++
	s.schedule(s.now+wait, func() { s.submit(cl, s.retryCourier(c), true) })
}

// cancelMessage cancels a message on request of its client.
func (s *Sim) cancelMessage(cl *client) {
	if cl.done {
		return
	}
	cl.done = true
	if msg := cl.current; msg != nil && !msg.done {
		s.endMessage(msg, invariants.Withdrawn)
		s.notify(msg.courier, dispatch.MessageCanceled{Message: msg.id})
	}
}
