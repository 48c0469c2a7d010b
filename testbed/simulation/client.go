package simulation

import (
	"strconv"

	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
)

// client is who submitted a message first, and hands it in again where it may.
type client struct {
	id      dispatch.MessageID
	arrival scenario.Arrival
	cutOff  dispatch.Micros
	tries   int // submissions that a courier took
	rejects int
	over    bool
	held    *message // by the courier that has it now
}

// arrive submits one message, and sees to the next.
func (s *Sim) arrive(i int) {
	if i >= len(s.w.Arrivals) {
		return
	}
	a := s.w.Arrivals[i]
	s.after(a.At, func() {
		s.offer(i, a)
		s.arrive(i + 1)
	})
}

func (s *Sim) offer(i int, a scenario.Arrival) {
	id := dispatch.MessageID("r" + strconv.Itoa(i))
	cl := &client{id: id, arrival: a, cutOff: s.now + config.Micros(s.w.Definition.Classes[a.Class].Deadline)}
	s.books.Offered(s.now, id, int(a.Class), int(a.Tenant), dispatch.DestinationID(a.Dest))
	if s.rng.Float64() < s.w.Definition.Clients.CancelShare {
		s.after(s.now+dispatch.Micros(s.rng.Int64N(int64(cl.cutOff-s.now))), func() { s.leave(cl) })
	}
	s.after(s.now+config.Micros(s.w.Definition.Network.Client/1000), func() { s.handIn(cl, s.couriers[a.Courier], false) })
}

// handIn gives a message to a courier. One that is dead takes nothing: the client tries elsewhere, or later.
func (s *Sim) handIn(cl *client, c *courier, again bool) {
	switch {
	case cl.over || s.now >= cl.cutOff:
		return
	case !c.alive || c.closing && s.w.Definition.Fleet.ClientRouting == "front":
		s.after(s.now+s.between(s.w.Definition.Clients.ResubmitAfter)/4, func() { s.handIn(cl, s.other(c), again) })
		return
	case c.held >= s.w.QueueLimit: // rejected before the decisions hear of it
		s.comeAgain(cl, c, 0)
		return
	}
	id := cl.id
	if cl.tries > 0 {
		id += dispatch.MessageID("." + strconv.Itoa(cl.tries))
	}
	cl.tries++
	s.taken++
	r := &message{id: id, number: s.taken, client: cl, courier: c}
	cl.held = r
	c.messages[id] = r
	c.held++
	key := dispatch.OrderingKey("")
	if cl.arrival.Key >= 0 {
		key = dispatch.OrderingKey("k" + strconv.Itoa(int(cl.arrival.Key)))
	}
	s.books.Accepted(s.now, id, cl.id, c.no, key, cl.cutOff)
	r.taken = dispatch.MessageAccepted{Message: id, Destination: dispatch.DestinationID(cl.arrival.Dest), Class: dispatch.ClassID(cl.arrival.Class),
		Tenant: dispatch.TenantID(cl.arrival.Tenant), OrderingKey: key, Deadline: cl.cutOff, Resubmitted: again}
	s.tell(c, r.taken)
}

// other is where a client goes whose courier did not serve it.
func (s *Sim) other(c *courier) *courier {
	if s.w.Definition.Fleet.ClientRouting == "own" {
		return c
	}
	return s.couriers[s.rng.IntN(len(s.couriers))]
}

// comeAgain submits anew what was rejected, after a while.
func (s *Sim) comeAgain(cl *client, c *courier, advice dispatch.Micros) {
	d := s.w.Definition.Clients
	if cl.over || cl.rejects >= d.Retries {
		return
	}
	wait := s.between(scenario.Range{d.Backoff[0] / 1000, d.Backoff[1] / 1000}) << cl.rejects
	if advice > 0 && s.rng.Float64() < d.HonorRetryAfterShare {
		wait = advice
	}
	cl.rejects++
	s.after(s.now+wait, func() { s.handIn(cl, s.other(c), true) })
}

// leave withdraws a message.
func (s *Sim) leave(cl *client) {
	if cl.over {
		return
	}
	cl.over = true
	if r := cl.held; r != nil && !r.over {
		s.end(r, invariants.Withdrawn)
		s.tell(r.courier, dispatch.MessageCanceled{Message: r.id})
	}
}
