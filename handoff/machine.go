package handoff

// Giver is the old process's side, without any I/O: it says what is to be done about what happened. It decides, and the
// folder is its own, as long as it Keeps.
type Giver struct {
	courier string
	phase   phase
	ending  bool
}

type phase int

const (
	keeps  phase = iota
	asked        // a new process is ready; what has come is still decided here
	gave         // the new one may decide
	echoes       // the new one serves; outcomes of what is out are told
)

// What a Giver wants done.
type Do int

const (
	Nothing Do = iota
	Refuse     // tell this one no, and close
	Give       // stop deciding, hand the folder over, send the state, and tell Given
	Heed       // do what the message says
	Regain     // the new one has gone: own the folder again, as soon as its lock is free
	Drop       // close: what it says makes no sense; Lost follows
)

// NewGiver begins as the owner.
func NewGiver(courier string) *Giver { return &Giver{courier: courier} }

// Keeps tells whether this process decides.
func (g *Giver) Keeps() bool { return g.phase == keeps || g.phase == asked }

// Ending: this process was told to end. It gives to nobody any more, and does not go on when a new one dies.
func (g *Giver) Ending() { g.ending = true }

// Knocked: a new process has said hello; ours tells whether it is the one that a handover is under way with.
func (g *Giver) Knocked(h *Hello) (Do, string) {
	if err := h.agree(g.courier); err != nil {
		return Refuse, err.Error()
	}
	switch {
	case g.ending:
		return Refuse, "this process is ending"
	case g.phase != keeps:
		return Refuse, "another process is taking over"
	}
	g.phase = asked
	return Give, ""
}

// Given: the state was sent, and the folder's lock is free.
func (g *Giver) Given() {
	if g.phase == asked {
		g.phase = gave
	}
}

// Said is a message of the one that takes over.
func (g *Giver) Said(m *Message) Do {
	switch {
	case m.Serving && g.phase == gave:
		g.phase = echoes
		return Heed
	case (m.Cancel != nil || m.Wait != nil || m.Answer != nil) && (g.phase == gave || g.phase == echoes):
		return Heed
	}
	return Drop
}

// Lost: the one that takes over has gone.
func (g *Giver) Lost() Do {
	before := g.phase
	g.phase = keeps
	if before == asked || before == keeps {
		return Nothing
	}
	if g.ending {
		g.phase = before
		return Nothing
	}
	return Regain
}

// Taker is the new process's side before it owns the folder.
type Taker struct{ given bool }

// What a Taker wants done.
type Step int

const (
	Stay  Step = iota // for the lock, and try again to talk
	Own               // take the lock, which is free or about to be, with the state if there is one
	Yield             // end: another process is taking over
)

// Said is the answer of the old process.
func (t *Taker) Said(m *Message) (Step, string) {
	switch {
	case m.State != nil && !t.given:
		t.given = true
		return Own, ""
	case m.Refused == "another process is taking over":
		return Yield, m.Refused
	}
	return Stay, m.Refused
}
