package dispatch

import "slices"

// A shadow runs beside a dispatcher and counts how the decisions under another configuration would differ. This file holds
// bookkeeping only.

// Difference is a way in which a decision of a shadow differs from the actual one.
type Difference int

// The kinds of differences between the actions of the shadow and those that were carried out.
const (
	OtherEndpoint   Difference = iota // sent to another endpoint
	SentEarlier                       // sent by the shadow; actually kept in the queue
	SentLater                         // kept in the queue by the shadow; actually sent
	RejectedOnly                      // rejected only by the shadow
	FailedOnly                        // failed only by the shadow
	StillQueued                       // kept by the shadow; actually rejected or failed
	CanceledOnly                      // attempt canceled only by the shadow
	StillAwaited                      // attempt not canceled by the shadow; actually canceled
	OtherRetryAfter                   // rejected by both, with different Retry-After
	DifferenceCount                   // number of kinds
)

// Shadow is a dispatcher with another configuration, whose actions are never carried out. After each instant its state is
// reconciled with the actual actions: actions that only the shadow proposed are undone, except for call statistics, and
// actual ones are applied.
type Shadow struct {
	dispatcher *Dispatcher
	counts     [DifferenceCount]int
	compared   int
	counted    map[MessageID]map[Difference]bool // each difference counts once for a message
}

// NewShadow returns a shadow without messages and without learned state.
func NewShadow(config Config) *Shadow {
	shadow := &Shadow{dispatcher: New(config), counted: map[MessageID]map[Difference]bool{}}
	shadow.dispatcher.shadowed = true
	return shadow
}

// Counts returns the number of differences so far, by kind, and the number of decisions that were compared.
func (s *Shadow) Counts() (counts [DifferenceCount]int, compared int) { return s.counts, s.compared }

// Reconfigure replaces the shadow's configuration.
func (s *Shadow) Reconfigure(config Config) { s.dispatcher.reconfigure(config) }

// Observe processes the events of an instant, and compares the shadow's actions with those that were carried out.
func (s *Shadow) Observe(now Micros, events []Event, actual []Action) {
	d := s.dispatcher
	d.finished = nil
	proposed := d.Handle(now, withoutReconfigured(events))
	proposedOrder, proposedActions := actionsByMessage(proposed)
	actualOrder, actualActions := actionsByMessage(actual)
	for _, id := range slices.Backward(proposedOrder) {
		s.undo(id, proposedActions[id], actualActions[id])
	}
	for _, id := range actualOrder {
		s.applyActual(id, proposedActions[id], actualActions[id])
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

// withoutReconfigured returns the events without Reconfigured: the shadow has its own configuration, see Shadow.Reconfigure.
func withoutReconfigured(events []Event) []Event {
	kept := make([]Event, 0, len(events))
	for _, event := range events {
		if _, ok := event.(Reconfigured); !ok {
			kept = append(kept, event)
		}
	}
	return kept
}

// messageActions are the actions of an instant that concern one message.
type messageActions struct {
	send     *Send
	reject   *Reject
	failed   bool
	canceled []AttemptNumber
}

func (a *messageActions) endpoint() EndpointID {
	if a.send == nil {
		return ""
	}
	return a.send.Endpoint
}

// ended reports whether the actions give the message its final answer.
func (a *messageActions) ended() bool { return a.reject != nil || a.failed }

// actionsByMessage groups actions by message. order lists the messages in the order of their first actions.
func actionsByMessage(actions []Action) (order []MessageID, byMessage map[MessageID]*messageActions) {
	byMessage = map[MessageID]*messageActions{}
	forMessage := func(id MessageID) *messageActions {
		if byMessage[id] == nil {
			byMessage[id] = &messageActions{}
			order = append(order, id)
		}
		return byMessage[id]
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			forMessage(a.Message).send = &a
		case Reject:
			forMessage(a.Message).reject = &a
		case Fail:
			forMessage(a.Message).failed = true
		case Cancel:
			entry := forMessage(a.Message)
			entry.canceled = append(entry.canceled, a.Attempt)
		}
	}
	return order, byMessage
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

// undo undoes, for one message, the actions that only the shadow proposed. actual is nil if there was no actual action.
func (s *Shadow) undo(id MessageID, proposed, actual *messageActions) {
	if actual == nil {
		actual = &messageActions{}
	}
	s.undoFinalAnswer(id, proposed, actual)
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

func (s *Shadow) undoFinalAnswer(id MessageID, proposed, actual *messageActions) {
	rejectedOnly := proposed.reject != nil && actual.reject == nil
	failedOnly := proposed.failed && !actual.failed
	if !rejectedOnly && !failedOnly {
		return
	}
	d := s.dispatcher
	if i := slices.IndexFunc(d.finished, func(m *message) bool { return m.id == id }); i >= 0 {
		finished := d.finished[i]
		d.finished = slices.Delete(d.finished, i, i+1)
		d.undoFinish(finished)
	}
	if proposed.failed {
		s.count(id, FailedOnly)
	} else {
		s.count(id, RejectedOnly)
	}
}

// applyActual applies, for one message, the actual actions that the shadow did not propose. proposed is nil if the shadow
// proposed none.
func (s *Shadow) applyActual(id MessageID, proposed, actual *messageActions) {
	if proposed == nil {
		proposed = &messageActions{}
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
	s.applyActualSend(message, proposed, actual)
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

func (s *Shadow) applyActualSend(message *message, proposed, actual *messageActions) {
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
	sent := d.addAttempt(message, d.sharedCall(endpoint, message))
	if breaker := &endpoint.group.breakers[message.classID]; breaker.state == breakerHalfOpen && breaker.trial == nil {
		breaker.trial = sent
	}
}

// sharedCall returns the call of this instant to an endpoint that has room for a message, or starts one.
func (d *Dispatcher) sharedCall(endpoint *endpoint, message *message) *call {
	for _, attempt := range slices.Backward(d.inFlight) {
		if attempt.endpoint == endpoint && attempt.sentAt == d.now && d.hasRoom(attempt.call, message) {
			return attempt.call
		}
	}
	return d.startCall(endpoint)
}

// undoFinish undoes the final answer of a message.
func (d *Dispatcher) undoFinish(message *message) {
	message.ended = false
	d.unfinished++
	d.messages[message.id] = message
	if order := message.order; order != nil && !slices.Contains(order.messages, message) {
		order.messages = slices.Insert(order.messages, min(message.orderIndex, len(order.messages)), message)
		d.keys[order.key] = order
		d.idleHeldKeys = without(d.idleHeldKeys, order)
	}
	if message.inFlight == 0 && !message.queued {
		d.enqueue(message)
	}
}

// undoSend undoes the last attempt of a message, which must have been sent at this instant.
func (d *Dispatcher) undoSend(message *message) {
	last := len(message.attempts) - 1
	undone := message.attempts[last]
	message.attempts = message.attempts[:last]
	message.inFlight--
	group, call := undone.endpoint.group, undone.call
	group.inFlight, d.inFlight = without(group.inFlight, undone), without(d.inFlight, undone)
	call.attempts = without(call.attempts, undone)
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
