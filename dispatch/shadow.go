package dispatch

import "slices"

// A shadow runs beside a dispatcher and counts what another configuration would have decided. It holds bookkeeping only.

// Difference is a way in which a decision of a shadow differs from what was done.
type Difference int

// The differences.
const (
	OtherEndpoint   Difference = iota // sent to another endpoint
	SentEarlier                       // sent, where it stayed queued
	SentLater                         // queued, where it was sent
	RejectedOnly                      // rejected, where it was not
	FailedOnly                        // failed, where it was not
	StillQueued                       // queued, where it was rejected or failed
	CanceledOnly                      // canceled, where it was waited for
	StillAwaited                      // waited for, where it was canceled
	OtherRetryAfter                   // rejected alike, with another Retry-After
	DifferenceCount                   // their number
)

// Shadow is a dispatcher with another configuration, whose actions are never carried out. After each instant it is brought
// in line with what was done: what it alone would have done is undone, and what was done is booked.
type Shadow struct {
	dispatcher *Dispatcher
	counts     [DifferenceCount]int
	compared   int
	counted    map[MessageID]map[Difference]bool // each difference counts once for a message
}

// NewShadow returns a shadow that has no messages and has learned nothing.
func NewShadow(config Config) *Shadow {
	shadow := &Shadow{dispatcher: New(config), counted: map[MessageID]map[Difference]bool{}}
	shadow.dispatcher.shadowed = true
	return shadow
}

// Counts returns the differences so far, by kind, and how many decisions were compared.
func (s *Shadow) Counts() (counts [DifferenceCount]int, compared int) { return s.counts, s.compared }

// Reconfigure replaces the shadow's configuration.
func (s *Shadow) Reconfigure(config Config) { s.dispatcher.reconfigure(config) }

// Observe takes the events of an instant, and the actions that were carried out.
func (s *Shadow) Observe(now Micros, events []Event, actual []Action) {
	d := s.dispatcher
	d.finished = nil
	proposed := d.Handle(now, withoutReconfigured(events))
	proposedOrder, proposedFates := fatesByMessage(proposed)
	actualOrder, actualFates := fatesByMessage(actual)
	for _, id := range slices.Backward(proposedOrder) {
		s.undo(id, proposedFates[id], actualFates[id])
	}
	for _, id := range actualOrder {
		s.follow(id, proposedFates[id], actualFates[id])
	}
	for _, action := range actual {
		if a, ok := action.(CloseIdle); ok && d.endpoints[a.Endpoint] != nil {
			d.endpoints[a.Endpoint].idleSince = 0
		}
	}
	for id := range s.counted {
		if message := d.messages[id]; message == nil || message.ended {
			delete(s.counted, id)
		}
	}
	d.finished = nil
}

// withoutReconfigured returns the events but for new configurations, which are not the shadow's.
func withoutReconfigured(events []Event) []Event {
	others := make([]Event, 0, len(events))
	for _, event := range events {
		if _, ok := event.(Reconfigured); !ok {
			others = append(others, event)
		}
	}
	return others
}

// messageFate is what the actions of an instant do to one message.
type messageFate struct {
	send     *Send
	reject   *Reject
	failed   bool
	canceled []AttemptNumber
}

func (f *messageFate) endpoint() EndpointID {
	if f.send == nil {
		return ""
	}
	return f.send.Endpoint
}

// ended reports whether the message got its final answer.
func (f *messageFate) ended() bool { return f.reject != nil || f.failed }

// fatesByMessage sorts actions by message; order lists the messages in the order of their first actions.
func fatesByMessage(actions []Action) (order []MessageID, fates map[MessageID]*messageFate) {
	fates = map[MessageID]*messageFate{}
	of := func(id MessageID) *messageFate {
		if fates[id] == nil {
			fates[id] = &messageFate{}
			order = append(order, id)
		}
		return fates[id]
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			of(a.Message).send = &a
		case Reject:
			of(a.Message).reject = &a
		case Fail:
			of(a.Message).failed = true
		case Cancel:
			fate := of(a.Message)
			fate.canceled = append(fate.canceled, a.Attempt)
		}
	}
	return order, fates
}

func (s *Shadow) count(id MessageID, difference Difference) {
	if s.counted[id][difference] {
		return
	}
	if s.counted[id] == nil {
		s.counted[id] = map[Difference]bool{}
	}
	s.counted[id][difference] = true
	s.counts[difference]++
}

// undo takes back what only the shadow would have done, in reverse order. actual is nil where nothing was done.
func (s *Shadow) undo(id MessageID, proposed, actual *messageFate) {
	if actual == nil {
		actual = &messageFate{}
	}
	s.undoEnd(id, proposed, actual)
	message := s.dispatcher.messages[id]
	if message == nil {
		return
	}
	if proposed.send != nil && actual.endpoint() != proposed.endpoint() {
		s.dispatcher.undoSend(message)
		if actual.send == nil && !actual.ended() {
			s.count(id, SentEarlier)
		}
	}
	for _, number := range proposed.canceled {
		if !slices.Contains(actual.canceled, number) && int(number) < len(message.attempts) {
			message.attempts[number].canceled = false
			s.count(id, CanceledOnly)
		}
	}
}

func (s *Shadow) undoEnd(id MessageID, proposed, actual *messageFate) {
	rejectedOnly := proposed.reject != nil && actual.reject == nil
	failedOnly := proposed.failed && !actual.failed
	if !rejectedOnly && !failedOnly {
		return
	}
	d := s.dispatcher
	if i := slices.IndexFunc(d.finished, func(m *message) bool { return m.id == id }); i >= 0 {
		revived := d.finished[i]
		d.finished = slices.Delete(d.finished, i, i+1)
		d.revive(revived)
	}
	if proposed.failed {
		s.count(id, FailedOnly)
	} else {
		s.count(id, RejectedOnly)
	}
}

// follow books what was done and the shadow would not have. proposed is nil where it would have done nothing.
func (s *Shadow) follow(id MessageID, proposed, actual *messageFate) {
	if proposed == nil {
		proposed = &messageFate{}
	}
	s.compared++
	switch {
	case actual.reject != nil && proposed.reject != nil && actual.reject.RetryAfter != proposed.reject.RetryAfter:
		s.count(id, OtherRetryAfter)
	case actual.ended() && !proposed.ended():
		s.count(id, StillQueued)
	}
	message := s.dispatcher.messages[id]
	if message == nil {
		return
	}
	s.followSend(message, proposed, actual)
	for _, number := range actual.canceled {
		if !slices.Contains(proposed.canceled, number) && int(number) < len(message.attempts) && !message.attempts[number].canceled {
			message.attempts[number].canceled = true
			s.count(id, StillAwaited)
		}
	}
	if actual.ended() {
		s.dispatcher.finish(message)
	}
}

func (s *Shadow) followSend(message *message, proposed, actual *messageFate) {
	d := s.dispatcher
	endpoint := d.endpoints[actual.endpoint()]
	if endpoint == nil || proposed.send != nil && proposed.endpoint() == actual.endpoint() {
		return
	}
	if proposed.send != nil {
		s.count(message.id, OtherEndpoint)
	} else if !proposed.ended() {
		s.count(message.id, SentLater)
	}
	d.dequeue(message)
	sent := d.addAttempt(message, d.startCall(endpoint))
	if breaker := &endpoint.group.breakers[message.classID]; breaker.state == breakerHalfOpen && breaker.trial == nil {
		breaker.trial = sent
	}
}

// revive undoes the final answer of a message.
func (d *Dispatcher) revive(message *message) {
	message.ended = false
	d.unfinished++
	d.messages[message.id] = message
	if order := message.order; order != nil && !slices.Contains(order.messages, message) {
		order.messages = slices.Insert(order.messages, min(message.orderIndex, len(order.messages)), message)
		d.keys[order.key] = order
		d.restingKeys = without(d.restingKeys, order)
	}
	if message.inFlight == 0 && !message.queued {
		d.enqueue(message)
	}
}

// undoSend undoes the last attempt of a message, which was sent at this instant.
func (d *Dispatcher) undoSend(message *message) {
	last := len(message.attempts) - 1
	undone := message.attempts[last]
	message.attempts = message.attempts[:last]
	message.inFlight--
	group, call := undone.endpoint.group, undone.call
	group.inFlight, d.inFlight = without(group.inFlight, undone), without(d.inFlight, undone)
	if breaker := &group.breakers[message.classID]; breaker.trial == undone {
		breaker.trial = nil
	}
	if call.openAttempts--; call.openAttempts == 0 {
		group.lastCall = call.previousCall
		d.callsInFlight--
		undone.endpoint.calls--
		undone.endpoint.destination.calls--
	}
	if !message.queued {
		d.enqueue(message)
	}
}
