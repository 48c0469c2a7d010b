package handoff

// Predecessor is the old process's side, without any I/O: it says what is to be done about what happened. It decides, and the
// folder is its own, as long as it Owns.
type Predecessor struct {
	courier      string
	phase        phase
	shuttingDown bool
}

type phase int

const (
	phaseOwner      phase = iota
	phaseRequested        // a new process is ready; what has come is still decided here
	phaseHandedOver       // the new one may decide
	phaseForwarding       // the new one serves; outcomes of what is out are notified
)

// What a Predecessor wants done.
type Decision int

const (
	Nothing  Decision = iota
	Refuse            // tell this one no, and close
	HandOver          // stop deciding, hand the folder over, send the state, and tell HandedOver
	Apply             // do what the message says
	Reclaim           // the new one has gone: own the folder again, as soon as its lock is free
	Drop              // close: what it says makes no sense; SuccessorLost follows
)

// NewPredecessor begins as the owner.
func NewPredecessor(courier string) *Predecessor { return &Predecessor{courier: courier} }

// Owns tells whether this process decides.
func (g *Predecessor) Owns() bool { return g.phase == phaseOwner || g.phase == phaseRequested }

// ShutDown: this process was notified to end. It gives to nobody any more, and does not go on when a new one dies.
func (g *Predecessor) ShutDown() { g.shuttingDown = true }

// HelloReceived: a new process has said hello; ours tells whether it is the one that a handoff is under way with.
func (g *Predecessor) HelloReceived(h *Hello) (Decision, string) {
	if err := h.agree(g.courier); err != nil {
		return Refuse, err.Error()
	}
	switch {
	case g.shuttingDown:
		return Refuse, "this process is ending"
	case g.phase != phaseOwner:
		return Refuse, "another process is taking over"
	}
	g.phase = phaseRequested
	return HandOver, ""
}

// HandedOver: the state was sent, and the folder's lock is free.
func (g *Predecessor) HandedOver() {
	if g.phase == phaseRequested {
		g.phase = phaseHandedOver
	}
}

// MessageReceived is a message of the one that takes over.
func (g *Predecessor) MessageReceived(message *Message) Decision {
	switch {
	case message.Serving && g.phase == phaseHandedOver:
		g.phase = phaseForwarding
		return Apply
	case (message.Cancel != nil || message.RetryAfter != nil || message.Result != nil) && (g.phase == phaseHandedOver || g.phase == phaseForwarding):
		return Apply
	}
	return Drop
}

// SuccessorLost: the one that takes over has gone.
func (g *Predecessor) SuccessorLost() Decision {
	before := g.phase
	g.phase = phaseOwner
	if before == phaseRequested || before == phaseOwner {
		return Nothing
	}
	if g.shuttingDown {
		g.phase = before
		return Nothing
	}
	return Reclaim
}

// Successor is the new process's side before it owns the folder.
type Successor struct{ received bool }

// What a Successor wants done.
type SuccessorDecision int

const (
	Wait     SuccessorDecision = iota // for the lock, and try again to talk
	TakeOver                          // take the lock, which is free or about to be, with the state if there is one
	Yield                             // end: another process is taking over
)

// MessageReceived is the answer of the old process.
func (t *Successor) MessageReceived(message *Message) (SuccessorDecision, string) {
	switch {
	case message.State != nil && !t.received:
		t.received = true
		return TakeOver, ""
	case message.Refused == "another process is taking over":
		return Yield, message.Refused
	}
	return Wait, message.Refused
}
