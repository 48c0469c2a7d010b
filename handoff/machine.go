package handoff

// This file has the two state machines of a handoff. They do no I/O: the caller passes in events and carries out the decisions.

// Predecessor is the state machine of the process that owns the state directory. The process decides on client messages
// only while Owns returns true.
type Predecessor struct {
	courier      string
	phase        phase
	shuttingDown bool
}

// phase is the progress of a handoff, as seen by the predecessor.
type phase int

const (
	phaseOwner      phase = iota // no handoff in progress
	phaseRequested               // a successor is ready; this process decides on client messages until it calls HandedOver
	phaseHandedOver              // the successor may already decide on client messages
	phaseForwarding              // the successor accepts clients; this process forwards the outcomes of its attempts in flight
)

// Decision is the action that a Predecessor requests from its caller.
type Decision int

// Decisions of a Predecessor.
const (
	Nothing   Decision = iota
	Refuse             // send the successor a refusal and close its link
	HandOver           // stop deciding on client messages, release the lock, send the State and call HandedOver
	Apply              // act on the received message
	Reclaim            // the successor is lost: acquire the lock again when it is free, and decide on client messages again
	CloseLink          // the message is invalid in this phase: close the link, then call SuccessorLost
)

// NewPredecessor returns the state machine of a process that owns the state directory of a courier.
func NewPredecessor(courier string) *Predecessor { return &Predecessor{courier: courier} }

// Owns reports whether this process decides on client messages.
func (p *Predecessor) Owns() bool { return p.phase == phaseOwner || p.phase == phaseRequested }

// ShutDown records that this process is shutting down: it starts no further handoff, and does not take over again if the successor
// is lost.
func (p *Predecessor) ShutDown() { p.shuttingDown = true }

// HelloReceived handles the hello of a new process. With Refuse, it also returns the reason.
func (p *Predecessor) HelloReceived(h *Hello) (Decision, string) {
	if err := h.checkCompatible(p.courier); err != nil {
		return Refuse, err.Error()
	}
	switch {
	case p.shuttingDown:
		return Refuse, "this process is ending"
	case p.phase != phaseOwner:
		return Refuse, reasonTakenOver
	}
	p.phase = phaseRequested
	return HandOver, ""
}

// HandedOver records that the lock is released and the state is sent.
func (p *Predecessor) HandedOver() {
	if p.phase == phaseRequested {
		p.phase = phaseHandedOver
	}
}

// MessageReceived handles a message from the successor.
func (p *Predecessor) MessageReceived(message *Message) Decision {
	switch {
	case message.Serving && p.phase == phaseHandedOver:
		p.phase = phaseForwarding
		return Apply
	case (message.Cancel != nil || message.RetryAfter != nil || message.Result != nil) && (p.phase == phaseHandedOver || p.phase == phaseForwarding):
		return Apply
	}
	return CloseLink
}

// SuccessorLost handles the end of the link to the successor.
func (p *Predecessor) SuccessorLost() Decision {
	before := p.phase
	p.phase = phaseOwner
	if before == phaseRequested || before == phaseOwner { // nothing was handed over, so there is nothing to reclaim
		return Nothing
	}
	if p.shuttingDown { // keep the phase, so that Owns stays false
		p.phase = before
		return Nothing
	}
	return Reclaim
}

// Successor is the state machine of a new process that does not own the state directory yet.
type Successor struct{ received bool }

// SuccessorDecision is the action that a Successor requests from its caller.
type SuccessorDecision int

// Decisions of a Successor.
const (
	Wait     SuccessorDecision = iota // retry the lock and the request after a while
	TakeOver                          // acquire the lock, which the predecessor has released, and use the received State
	Yield                             // exit, because another process is taking over
)

// reasonTakenOver is the refusal reason that tells a successor that another one is taking over. The text is part of the
// protocol.
const reasonTakenOver = "another process is taking over"

// MessageReceived handles the predecessor's reply to the hello. It also returns the reason of a refusal, or "".
func (s *Successor) MessageReceived(message *Message) (SuccessorDecision, string) {
	switch {
	case message.State != nil && !s.received:
		s.received = true
		return TakeOver, ""
	case message.Refused == reasonTakenOver:
		return Yield, message.Refused
	}
	return Wait, message.Refused
}
