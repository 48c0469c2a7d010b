package handoff

// The state machines of a handoff, without I/O: they are given what happened and decide what is to be done.

// Predecessor is the machine of the process that owns the state folder. It decides on messages as long as it Owns.
type Predecessor struct {
	courier      string
	phase        phase
	shuttingDown bool
}

type phase int

const (
	phaseOwner      phase = iota // no handoff is under way
	phaseRequested               // a successor is ready; what has come by now is still decided here
	phaseHandedOver              // the successor may decide
	phaseForwarding              // the successor serves; outcomes of attempts in flight are forwarded to it
)

// Decision is what a Predecessor wants done.
type Decision int

// The decisions of a Predecessor.
const (
	Nothing   Decision = iota
	Refuse             // send this successor a refusal, and close its link
	HandOver           // stop deciding, free the folder, send the state, and report HandedOver
	Apply              // carry out the message
	Reclaim            // the successor is gone: own the folder again as soon as its lock is free
	CloseLink          // close the link: the message makes no sense. SuccessorLost follows
)

// NewPredecessor returns the machine of a process that owns the folder of a courier.
func NewPredecessor(courier string) *Predecessor { return &Predecessor{courier: courier} }

// Owns reports whether this process decides on messages.
func (p *Predecessor) Owns() bool { return p.phase == phaseOwner || p.phase == phaseRequested }

// ShutDown notes that this process shuts down: it hands over to nobody, and does not go on when a successor dies.
func (p *Predecessor) ShutDown() { p.shuttingDown = true }

// HelloReceived decides on a new process that is ready to take over; the text is the reason of a refusal.
func (p *Predecessor) HelloReceived(h *Hello) (Decision, string) {
	if err := h.agree(p.courier); err != nil {
		return Refuse, err.Error()
	}
	switch {
	case p.shuttingDown:
		return Refuse, "this process is ending"
	case p.phase != phaseOwner:
		return Refuse, takenOver
	}
	p.phase = phaseRequested
	return HandOver, ""
}

// HandedOver notes that the state was sent and the lock of the folder is free.
func (p *Predecessor) HandedOver() {
	if p.phase == phaseRequested {
		p.phase = phaseHandedOver
	}
}

// MessageReceived decides on a message of the successor.
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

// SuccessorLost decides what to do when the link to the successor has ended.
func (p *Predecessor) SuccessorLost() Decision {
	before := p.phase
	p.phase = phaseOwner
	if before == phaseRequested || before == phaseOwner {
		return Nothing
	}
	if p.shuttingDown {
		p.phase = before
		return Nothing
	}
	return Reclaim
}

// Successor is the machine of a new process, before it owns the state folder.
type Successor struct{ received bool }

// SuccessorDecision is what a Successor wants done.
type SuccessorDecision int

// The decisions of a Successor.
const (
	Wait     SuccessorDecision = iota // wait for the lock, and ask again
	TakeOver                          // take the lock, which is free or about to be, with the state if there is one
	Yield                             // exit: another process takes over
)

// takenOver is the reason of a refusal by which a successor knows that another one is taking over. It is part of the protocol.
const takenOver = "another process is taking over"

// MessageReceived decides on the answer of the predecessor; the text is its reason.
func (s *Successor) MessageReceived(message *Message) (SuccessorDecision, string) {
	switch {
	case message.State != nil && !s.received:
		s.received = true
		return TakeOver, ""
	case message.Refused == takenOver:
		return Yield, message.Refused
	}
	return Wait, message.Refused
}
