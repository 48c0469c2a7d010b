package simulation

import (
	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
	"pineport/testbed/invariants"
)

// addToCall starts an attempt of a message on an open call to its endpoint, or on a new call. It returns the
// call only if it is new.
func (s *Sim) addToCall(c *courier, a dispatch.Send, openCalls map[dispatch.EndpointID]*call) *call {
	target, msg := s.endpoints[a.Endpoint], c.messages[a.Message]
	if target == nil || msg != nil && target.destination != int(msg.client.arrival.Dest) {
		s.ledger.CourierCrashed(s.now, c.index, "sent "+string(a.Message)+" to "+string(a.Endpoint)+", which is not an endpoint of the message's destination") // reported as a crash of the courier
		return nil
	}
	ledgerNumber := s.ledger.AttemptSent(s.now, a.Message, invariants.Target{Dest: dispatch.DestinationID(target.destination), Route: target.route, Endpoint: a.Endpoint, Zone: target.endpoint.Zone})
	if msg == nil {
		return nil
	}
	att := &attempt{message: msg, number: dispatch.AttemptNumber(len(msg.attempts)), ledgerNumber: ledgerNumber,
		past: dispatch.PastAttempt{Endpoint: a.Endpoint, Zone: target.endpoint.Zone, SentAt: s.now}}
	msg.attempts = append(msg.attempts, att)
	msg.openAttempts++
	if msg.done || len(msg.attempts) > s.instance.Definition.Fleet.MaxAttempts {
		s.finishAttempt(att, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		return nil
	}
	plan := s.destinations[target.destination].Plan()
	item := s.item(msg)
	if cl := openCalls[a.Endpoint]; cl != nil && len(cl.Items) < plan.PerCall {
		cl.Items, cl.attempts, att.call = append(cl.Items, item), append(cl.attempts, att), cl
		s.setAttemptTimeout(att, a.Timeout)
		return nil
	}
	if c.slotsUsed >= s.instance.Slots {
		s.finishAttempt(att, dispatch.AttemptFinished{Outcome: dispatch.Unprocessed})
		return nil
	}
	c.slotsUsed++
	s.lastCallID++
	cl := &call{Call: endpointmodel.Call{ID: s.lastCallID, Courier: c.index, Endpoint: a.Endpoint, Items: []endpointmodel.Item{item}}, courier: c,
		incarnation: c.incarnation, endpoint: target, attempts: []*attempt{att}, sent: s.now}
	att.call, openCalls[a.Endpoint] = cl, cl
	s.setAttemptTimeout(att, a.Timeout)
	return cl
}

func (s *Sim) item(msg *message) endpointmodel.Item {
	class := &s.instance.Definition.Classes[msg.client.arrival.Class]
	return endpointmodel.Item{Message: msg.id, Origin: msg.client.id, Repeat: invariants.ParseIdempotency(class.Idempotency), DedupOneZone: class.DedupOneZone,
		DedupWindow: config.Micros(class.DedupWindow)}
}

// sendCall sends a call over an idle connection, or opens a new one.
func (s *Sim) sendCall(cl *call) {
	c, dest, id := cl.courier, s.destinations[cl.endpoint.destination], cl.Endpoint
	latency := s.latency(c.zone, cl.endpoint.endpoint.Zone)
	idle, idleTimeout := c.idleConns[id], config.Micros(s.instance.Definition.Fleet.IdleTimeout)
	for len(idle) > 0 && s.now-idle[0] >= idleTimeout {
		idle = idle[1:]
		dest.Disconnect(id)
	}
	if n := len(idle); n > 0 {
		c.idleConns[id] = idle[:n-1]
		cl.connected = true
		s.schedule(s.now+latency, func() { s.arriveAtEndpoint(cl) })
		return
	}
	delete(c.idleConns, id)
	s.schedule(s.now+latency, func() {
		if cl.done {
			return
		}
		switch dest.Connect(s.now, id) {
		case endpointmodel.Connected:
			s.ledger.ConnectionOpened()
			cl.connected = true
			s.schedule(s.now+dispatch.Micros(2*s.instance.Definition.Network.HandshakeRTTs*float64(latency)), func() { s.arriveAtEndpoint(cl) })
		case endpointmodel.Refused:
			s.schedule(s.now+latency, func() { s.finishCall(cl, dispatch.Unreachable, 0, nil) })
		case endpointmodel.NoResponse:
			s.schedule(s.now-latency+config.Micros(s.instance.Definition.Fleet.ConnectTimeout/1000), func() { s.finishCall(cl, dispatch.Unreachable, 0, nil) })
		}
	})
}

// arriveAtEndpoint hands a call whose last byte has arrived to the endpoint model.
func (s *Sim) arriveAtEndpoint(cl *call) {
	if !cl.done {
		s.inFlight[cl.ID] = cl
		s.handleOutputs(cl.endpoint.destination, s.destinations[cl.endpoint.destination].Receive(s.now, &cl.Call))
	}
}

// receiveAnswer sends an endpoint's answer back to the courier.
func (s *Sim) receiveAnswer(a endpointmodel.Answer) {
	cl := s.inFlight[a.Call.ID]
	if cl == nil {
		return // no courier waits for the answer any more
	}
	delete(s.inFlight, cl.ID)
	s.schedule(s.now+s.latency(cl.courier.zone, cl.endpoint.endpoint.Zone), func() { s.finishCall(cl, a.Outcome, a.RetryAfter, a.LoadReport) })
}

// setAttemptTimeout schedules an attempt's timeout. Each attempt of a call has its own.
func (s *Sim) setAttemptTimeout(att *attempt, limit dispatch.Micros) {
	if limit <= 0 {
		return
	}
	s.schedule(s.now+limit, func() {
		if att.done || att.call.done {
			return
		}
		o := dispatch.TimedOut
		if !att.call.connected {
			o = dispatch.Unreachable // nothing was sent, since the connection is not up
		}
		s.abandonAttempt(att, o)
	})
}

// abandonAttempt ends one attempt. If the call has no other open attempt, the call is canceled.
func (s *Sim) abandonAttempt(att *attempt, o dispatch.Outcome) {
	s.finishAttempt(att, dispatch.AttemptFinished{Outcome: o, Duration: s.now - att.call.sent})
	for _, other := range att.call.attempts {
		if !other.done {
			return
		}
	}
	if !att.call.done {
		att.call.done = true
		att.call.courier.slotsUsed--
		s.disconnect(att.call)
	}
}

// finishCall ends a call at its courier with an outcome for all of its attempts.
func (s *Sim) finishCall(cl *call, o dispatch.Outcome, retryAfter dispatch.Micros, loadReport []float64) {
	if cl.done {
		return
	}
	cl.done = true
	c := cl.courier
	c.slotsUsed--
	switch o {
	case dispatch.Delivered, dispatch.Failure, dispatch.Throttled:
		c.idleConns[cl.Endpoint] = append(c.idleConns[cl.Endpoint], s.now)
	default:
		s.disconnect(cl)
	}
	for _, att := range cl.attempts {
		s.finishAttempt(att, dispatch.AttemptFinished{Outcome: o, Duration: s.now - cl.sent, RetryAfter: retryAfter, LoadReport: loadReport})
	}
}

// disconnect closes a call's connection.
func (s *Sim) disconnect(cl *call) {
	delete(s.inFlight, cl.ID)
	if !cl.connected {
		return
	}
	dest := s.destinations[cl.endpoint.destination]
	s.schedule(s.now+s.latency(cl.courier.zone, cl.endpoint.endpoint.Zone), func() {
		dest.Disconnect(cl.Endpoint)
		s.handleOutputs(cl.endpoint.destination, dest.Cancel(s.now, &cl.Call))
	})
}

// finishAttempt records the end of an attempt and notifies the courier.
func (s *Sim) finishAttempt(att *attempt, e dispatch.AttemptFinished) {
	if att.done {
		return
	}
	att.done, att.past.Outcome = true, e.Outcome
	msg := att.message
	msg.openAttempts--
	s.ledger.AttemptEnded(s.now, msg.id, att.ledgerNumber, e.Outcome, e.RetryAfter)
	if e.Outcome == dispatch.Delivered && !msg.done {
		msg.client.done = true
		s.release(msg)
	}
	e.Message, e.Attempt, e.MessageDone = msg.id, att.number, msg.done
	s.notify(msg.courier, e)
	if msg.done {
		s.release(msg)
	}
}

// cancelAttempt cancels an attempt on request of the courier.
func (s *Sim) cancelAttempt(c *courier, a dispatch.Cancel) {
	msg := c.messages[a.Message]
	if msg == nil || int(a.Attempt) >= len(msg.attempts) || msg.attempts[a.Attempt].done {
		return
	}
	s.abandonAttempt(msg.attempts[a.Attempt], dispatch.Canceled)
}
