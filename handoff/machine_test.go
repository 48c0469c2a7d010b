package handoff

import (
	"fmt"
	"testing"
)

// model simulates a predecessor and up to two successors with the lock and the messages between them.
type model struct {
	predecessor                    *Predecessor
	predecessorAlive, shuttingDown bool
	reclaiming                     bool // the predecessor must take over again, but does not have the lock yet
	lock                           int  // owner of the lock: 0 nobody, 1 predecessor, 2 and 3 the successors
	successors                     [2]successorModel
}

// successorModel simulates one successor.
type successorModel struct {
	started, alive, connected  bool
	successor                  Successor
	toPredecessor, toSuccessor []Message
	decides, handoffRequested  bool
}

func (m model) clone() *model {
	predecessor := *m.predecessor
	m.predecessor = &predecessor
	for i := range m.successors {
		m.successors[i].toPredecessor = append([]Message(nil), m.successors[i].toPredecessor...)
		m.successors[i].toSuccessor = append([]Message(nil), m.successors[i].toSuccessor...)
	}
	return &m
}

func (m *model) predecessorDecides() bool {
	return m.predecessorAlive && m.predecessor.Owns() && !m.reclaiming
}

// transitions returns all events that are possible in this state.
func (m *model) transitions() (all []func(*model)) {
	add := func(ok bool, f func(*model)) {
		if ok {
			all = append(all, f)
		}
	}
	add(m.predecessorAlive, func(m *model) { // SIGKILL
		m.predecessorAlive = false
		if m.lock == 1 {
			m.lock = 0
		}
		for i := range m.successors {
			m.successors[i].connected = false
		}
	})
	add(m.predecessorAlive && !m.shuttingDown, func(m *model) { m.shuttingDown = true; m.predecessor.ShutDown() }) // SIGTERM
	for i := range m.successors {
		s := m.successors[i]
		add(!s.started, func(m *model) { m.successors[i] = successorModel{started: true, alive: true} })
		add(s.alive, func(m *model) { // SIGKILL
			s := &m.successors[i]
			s.alive, s.decides = false, false
			if m.lock == 2+i {
				m.lock = 0
			}
			if s.connected {
				s.connected, s.handoffRequested = false, false
				m.successorLost()
			}
		})
		add(s.alive && !s.decides && m.lock == 0, func(m *model) { m.lock = 2 + i; m.successors[i].decides = true }) // acquires the free lock
		add(s.alive && !s.decides && !s.connected && m.predecessorAlive && m.lock == 1, func(m *model) {             // sends its hello
			s := &m.successors[i]
			s.connected = true
			switch decision, reason := m.predecessor.HelloReceived(&Hello{Version, "n0"}); decision {
			case Refuse:
				s.connected = false
				if decision, _ := s.successor.MessageReceived(&Message{Refused: reason}); decision == Yield {
					s.alive = false
				}
			case HandOver:
				s.handoffRequested = true
			}
		})
		add(m.predecessorAlive && s.connected && s.handoffRequested, func(m *model) { // the predecessor hands over
			s := &m.successors[i]
			s.handoffRequested, m.lock = false, 0
			s.toSuccessor = append(s.toSuccessor, Message{State: &State{}})
			m.predecessor.HandedOver()
		})
		add(s.alive && len(s.toSuccessor) > 0, func(m *model) { // the successor receives a message
			s := &m.successors[i]
			msg := s.toSuccessor[0]
			s.toSuccessor = s.toSuccessor[1:]
			if decision, _ := s.successor.MessageReceived(&msg); decision == TakeOver && m.lock == 0 {
				m.lock, s.decides = 2+i, true
				s.toPredecessor = append(s.toPredecessor, Message{Serving: true}, Message{Cancel: &AttemptID{}})
			}
		})
		add(m.predecessorAlive && s.connected && len(s.toPredecessor) > 0, func(m *model) {
			s := &m.successors[i]
			msg := s.toPredecessor[0]
			s.toPredecessor = s.toPredecessor[1:]
			if m.predecessor.MessageReceived(&msg) == CloseLink {
				s.connected = false
				m.successorLost()
			}
		})
	}
	// A predecessor that takes over again acquires the lock when it is free.
	add(m.predecessorAlive && m.reclaiming && m.lock == 0, func(m *model) { m.lock, m.reclaiming = 1, false })
	return all
}

// successorLost ends the link on the predecessor's side.
func (m *model) successorLost() {
	if m.predecessor.SuccessorLost() == Reclaim {
		m.reclaiming = true
	}
}

// TestEveryEventOrder explores every order of messages, kills and SIGTERM, up to 18 events. Two processes must never decide on
// client messages at the same time. The predecessor must decide whenever it is alive and owns the lock, and only then. Incident: the
// predecessor continued while the successor was deciding, so endpoints were called before their Retry-After had passed, and
// messages were sent twice.
func TestEveryEventOrder(t *testing.T) {
	start := &model{predecessor: NewPredecessor("n0"), predecessorAlive: true, lock: 1}
	visited := map[string]bool{}
	explored := 0
	var explore func(m *model, depth int)
	explore = func(m *model, depth int) {
		key := fmt.Sprint(depth, *m.predecessor, m.predecessorAlive, m.shuttingDown, m.reclaiming, m.lock, m.successors[0].started, m.successors[0].alive, m.successors[0].connected, m.successors[0].successor,
			len(m.successors[0].toPredecessor), len(m.successors[0].toSuccessor), m.successors[0].decides, m.successors[0].handoffRequested, m.successors[1].started, m.successors[1].alive, m.successors[1].connected,
			m.successors[1].successor, len(m.successors[1].toPredecessor), len(m.successors[1].toSuccessor), m.successors[1].decides, m.successors[1].handoffRequested)
		if visited[key] {
			return
		}
		visited[key] = true
		explored++
		deciders := 0
		if m.predecessorDecides() {
			deciders++
		}
		for _, s := range m.successors {
			if s.alive && s.decides {
				deciders++
			}
		}
		if deciders > 1 {
			t.Fatalf("%d processes decide: %+v, predecessor %+v", deciders, m, *m.predecessor)
		}
		if m.predecessorDecides() && m.lock != 1 || m.predecessorAlive && m.lock == 1 && !m.predecessorDecides() {
			t.Fatalf("the deciding process and the owner of the lock differ: %+v, predecessor %+v", m, *m.predecessor)
		}
		if depth == 0 {
			return
		}
		for _, step := range m.transitions() {
			next := m.clone()
			step(next)
			explore(next, depth-1)
		}
	}
	explore(start, 18)
	if explored < 2000 {
		t.Fatalf("only %d states explored", explored)
	}
	t.Logf("%d states explored", explored)
}

// TestPredecessor covers the decisions of a predecessor in each phase of a handoff.
func TestPredecessor(t *testing.T) {
	hello := &Hello{Version, "n0"}
	predecessor := NewPredecessor("n0")
	for _, invalid := range []*Hello{{Version + 1, "n0"}, {Version, "n1"}} {
		if decision, reason := predecessor.HelloReceived(invalid); decision != Refuse || reason == "" || !predecessor.Owns() {
			t.Errorf("%+v: %v %q", invalid, decision, reason)
		}
	}
	if decision, _ := predecessor.HelloReceived(hello); decision != HandOver || !predecessor.Owns() {
		t.Error("the predecessor does not hand over to a ready successor, or gives up ownership too early")
	}
	if decision, _ := predecessor.HelloReceived(hello); decision != Refuse {
		t.Error("a second successor is not refused")
	}
	if predecessor.MessageReceived(&Message{Serving: true}) != CloseLink {
		t.Error("Serving is accepted before the handoff")
	}
	if predecessor.HandedOver(); predecessor.Owns() || predecessor.MessageReceived(&Message{State: &State{}}) != CloseLink || predecessor.MessageReceived(&Message{Serving: true}) != Apply ||
		predecessor.MessageReceived(&Message{Serving: true}) != CloseLink || predecessor.MessageReceived(&Message{Cancel: &AttemptID{}}) != Apply {
		t.Error("wrong decision on a message after the handoff")
	}
	if predecessor.SuccessorLost() != Reclaim || !predecessor.Owns() {
		t.Error("the predecessor does not take over again when the successor is lost")
	}
	predecessor.HelloReceived(hello)
	predecessor.HandedOver()
	if predecessor.ShutDown(); predecessor.SuccessorLost() != Nothing || predecessor.Owns() {
		t.Error("the predecessor takes over again although it is shutting down")
	}
	if decision, _ := NewPredecessor("n0").HelloReceived(hello); decision != HandOver {
		t.Error("a new predecessor refuses a valid hello")
	}
}
