package simulation

import (
	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
)

// load puts a message on a call; it returns the call if that is new.
func (s *Sim) load(c *courier, a dispatch.Send, open map[dispatch.EndpointID]*call) *call {
	at, r := s.at[a.Endpoint], c.messages[a.Message]
	if at == nil || r != nil && at.dest != int(r.client.arrival.Dest) {
		s.books.CourierCrashed(s.now, c.no, "sent "+string(a.Message)+" to "+string(a.Endpoint)+", which is not of its destination")
		return nil
	}
	book := s.books.AttemptSent(s.now, a.Message, invariants.Target{Dest: dispatch.DestinationID(at.dest), Route: at.route, Endpoint: a.Endpoint, Zone: at.endpoint.Zone})
	if r == nil {
		return nil
	}
	t := &attempt{rec: r, no: dispatch.AttemptNumber(len(r.attempts)), book: book,
		past: dispatch.PastAttempt{Endpoint: a.Endpoint, Zone: at.endpoint.Zone, SentAt: s.now}}
	r.attempts = append(r.attempts, t)
	r.out++
	if r.over || len(r.attempts) > s.w.Definition.Fleet.MaxAttempts {
		s.settle(t, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		return nil
	}
	plan := s.partners[at.dest].Plan()
	item := s.item(r)
	if cl := open[a.Endpoint]; cl != nil && len(cl.Items) < plan.PerCall {
		cl.Items, cl.attempts, t.call = append(cl.Items, item), append(cl.attempts, t), cl
		s.limit(t, a.Timeout)
		return nil
	}
	if c.slots >= s.w.Slots {
		s.settle(t, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		return nil
	}
	c.slots++
	s.calls++
	cl := &call{Call: endpointmodel.Call{ID: s.calls, Courier: c.no, Endpoint: a.Endpoint, Items: []endpointmodel.Item{item}}, courier: c,
		life: c.life, at: at, attempts: []*attempt{t}, sent: s.now}
	t.call, open[a.Endpoint] = cl, cl
	s.limit(t, a.Timeout)
	return cl
}

func (s *Sim) item(r *message) endpointmodel.Item {
	w := &s.w.Definition.Classes[r.client.arrival.Class]
	return endpointmodel.Item{Message: r.id, Origin: r.client.id, Repeat: invariants.ParseIdempotency(w.Idempotency), DedupOneZone: w.DedupOneZone,
		DedupWindow: config.Micros(w.DedupWindow)}
}

// launch sends a call off, over a connection that rests or a new one.
func (s *Sim) launch(cl *call) {
	c, p, id := cl.courier, s.partners[cl.at.dest], cl.Endpoint
	way := s.way(c.zone, cl.at.endpoint.Zone)
	idle, rests := c.pools[id], config.Micros(s.w.Definition.Fleet.IdleTimeout)
	for len(idle) > 0 && s.now-idle[0] >= rests {
		idle = idle[1:]
		p.Disconnect(id)
	}
	if n := len(idle); n > 0 {
		c.pools[id] = idle[:n-1]
		cl.linked = true
		s.after(s.now+way, func() { s.reach(cl) })
		return
	}
	delete(c.pools, id)
	s.after(s.now+way, func() {
		if cl.over {
			return
		}
		switch p.Connect(s.now, id) {
		case endpointmodel.Connected:
			s.books.ConnectionOpened()
			cl.linked = true
			s.after(s.now+dispatch.Micros(2*s.w.Definition.Network.HandshakeRTTs*float64(way)), func() { s.reach(cl) })
		case endpointmodel.Refused:
			s.after(s.now+way, func() { s.outcome(cl, dispatch.Unreachable, 0, nil) })
		case endpointmodel.NoResponse:
			s.after(s.now-way+config.Micros(s.w.Definition.Fleet.ConnectTimeout/1000), func() { s.outcome(cl, dispatch.Unreachable, 0, nil) })
		}
	})
}

// reach lets a call's last byte come to its endpoint.
func (s *Sim) reach(cl *call) {
	if !cl.over {
		s.inFlight[cl.ID] = cl
		s.came(cl.at.dest, s.partners[cl.at.dest].Receive(s.now, &cl.Call))
	}
}

// answered carries an endpoint's answer back.
func (s *Sim) answered(a endpointmodel.Answer) {
	cl := s.inFlight[a.Call.ID]
	if cl == nil {
		return // nobody waits for it any more
	}
	delete(s.inFlight, cl.ID)
	s.after(s.now+s.way(cl.courier.zone, cl.at.endpoint.Zone), func() { s.outcome(cl, a.Outcome, a.RetryAfter, a.LoadReport) })
}

// limit ends an attempt's time: the attempts of one call have each their own.
func (s *Sim) limit(t *attempt, limit dispatch.Micros) {
	if limit <= 0 {
		return
	}
	s.after(s.now+limit, func() {
		if t.over || t.call.over {
			return
		}
		o := dispatch.TimedOut
		if !t.call.linked {
			o = dispatch.Unreachable // none of it was sent
		}
		s.giveUp(t, o)
	})
}

// giveUp ends one attempt; where no other is left on its call, that is called off.
func (s *Sim) giveUp(t *attempt, o dispatch.Outcome) {
	s.settle(t, dispatch.AttemptFinished{Outcome: o, Duration: s.now - t.call.sent})
	for _, other := range t.call.attempts {
		if !other.over {
			return
		}
	}
	if !t.call.over {
		t.call.over = true
		t.call.courier.slots--
		s.hangUp(t.call)
	}
}

// outcome ends a call at its courier.
func (s *Sim) outcome(cl *call, o dispatch.Outcome, wait dispatch.Micros, pressure []float64) {
	if cl.over {
		return
	}
	cl.over = true
	c := cl.courier
	c.slots--
	switch o {
	case dispatch.Delivered, dispatch.Failure, dispatch.Throttled:
		c.pools[cl.Endpoint] = append(c.pools[cl.Endpoint], s.now)
	default:
		s.hangUp(cl)
	}
	for _, t := range cl.attempts {
		s.settle(t, dispatch.AttemptFinished{Outcome: o, Duration: s.now - cl.sent, RetryAfter: wait, LoadReport: pressure})
	}
}

// hangUp closes a call's connection.
func (s *Sim) hangUp(cl *call) {
	delete(s.inFlight, cl.ID)
	if !cl.linked {
		return
	}
	p := s.partners[cl.at.dest]
	s.after(s.now+s.way(cl.courier.zone, cl.at.endpoint.Zone), func() {
		p.Disconnect(cl.Endpoint)
		s.came(cl.at.dest, p.Cancel(s.now, &cl.Call))
	})
}

// settle tells a courier how an attempt ended.
func (s *Sim) settle(t *attempt, e dispatch.AttemptFinished) {
	if t.over {
		return
	}
	t.over, t.past.Outcome = true, e.Outcome
	r := t.rec
	r.out--
	s.books.AttemptEnded(s.now, r.id, t.book, e.Outcome, e.RetryAfter)
	if e.Outcome == dispatch.Delivered && !r.over {
		r.client.over = true
		s.close(r)
	}
	e.Message, e.Attempt, e.MessageDone = r.id, t.no, r.over
	s.tell(r.courier, e)
	if r.over {
		s.close(r)
	}
}

// cancel calls an attempt off.
func (s *Sim) cancel(c *courier, a dispatch.Cancel) {
	r := c.messages[a.Message]
	if r == nil || int(a.Attempt) >= len(r.attempts) || r.attempts[a.Attempt].over {
		return
	}
	s.giveUp(r.attempts[a.Attempt], dispatch.Canceled)
}
