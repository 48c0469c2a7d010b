package handoff

import (
	"fmt"
	"testing"
)

// model is one old and up to two new processes with a lock and the messages between them, and nothing else.
type model struct {
	predecessor       *Predecessor
	oldAlive, stopped bool
	regaining         bool // it is to go on, and has not got the lock yet
	lock              int  // 0 free, 1 old, 2 and 3 the new ones
	news              [2]newcomer
}

type newcomer struct {
	born, alive, linked bool
	successor           Successor
	toOld, toNew        []Message
	decides, wanted     bool
}

func (m model) clone() *model {
	g := *m.predecessor
	m.predecessor = &g
	for i := range m.news {
		m.news[i].toOld = append([]Message(nil), m.news[i].toOld...)
		m.news[i].toNew = append([]Message(nil), m.news[i].toNew...)
	}
	return &m
}

func (m *model) oldDecides() bool { return m.oldAlive && m.predecessor.Owns() && !m.regaining }

// steps are all that can happen next.
func (m *model) steps() (all []func(*model)) {
	add := func(ok bool, f func(*model)) {
		if ok {
			all = append(all, f)
		}
	}
	add(m.oldAlive, func(m *model) { // SIGKILL
		m.oldAlive = false
		if m.lock == 1 {
			m.lock = 0
		}
		for i := range m.news {
			m.news[i].linked = false
		}
	})
	add(m.oldAlive && !m.stopped, func(m *model) { m.stopped = true; m.predecessor.ShutDown() }) // SIGTERM
	for i := range m.news {
		n := m.news[i]
		add(!n.born, func(m *model) { m.news[i] = newcomer{born: true, alive: true} })
		add(n.alive, func(m *model) { // SIGKILL
			n := &m.news[i]
			n.alive, n.decides = false, false
			if m.lock == 2+i {
				m.lock = 0
			}
			if n.linked {
				n.linked, n.wanted = false, false
				m.lost()
			}
		})
		add(n.alive && !n.decides && m.lock == 0, func(m *model) { m.lock = 2 + i; m.news[i].decides = true }) // the lock is free
		add(n.alive && !n.decides && !n.linked && m.oldAlive && m.lock == 1, func(m *model) {                  // it knocks
			n := &m.news[i]
			n.linked = true
			switch do, why := m.predecessor.HelloReceived(&Hello{Version, "n0"}); do {
			case Refuse:
				n.linked = false
				if step, _ := n.successor.MessageReceived(&Message{Refused: why}); step == Yield {
					n.alive = false
				}
			case HandOver:
				n.wanted = true
			}
		})
		add(m.oldAlive && n.linked && n.wanted, func(m *model) { // the old one has come round to giving
			n := &m.news[i]
			n.wanted, m.lock = false, 0
			n.toNew = append(n.toNew, Message{State: &State{}})
			m.predecessor.HandedOver()
		})
		add(n.alive && len(n.toNew) > 0, func(m *model) { // it hears
			n := &m.news[i]
			msg := n.toNew[0]
			n.toNew = n.toNew[1:]
			if step, _ := n.successor.MessageReceived(&msg); step == TakeOver && m.lock == 0 {
				m.lock, n.decides = 2+i, true
				n.toOld = append(n.toOld, Message{Serving: true}, Message{Cancel: &AttemptID{}})
			}
		})
		add(m.oldAlive && n.linked && len(n.toOld) > 0, func(m *model) {
			n := &m.news[i]
			msg := n.toOld[0]
			n.toOld = n.toOld[1:]
			if m.predecessor.MessageReceived(&msg) == CloseLink {
				n.linked = false
				m.lost()
			}
		})
	}
	// What has given all up and is to go on takes the lock as any process does.
	add(m.oldAlive && m.regaining && m.lock == 0, func(m *model) { m.lock, m.regaining = 1, false })
	return all
}

func (m *model) lost() {
	if m.predecessor.SuccessorLost() == Reclaim {
		m.regaining = true
	}
}

// TestEveryOrder plays every order of messages, kills and SIGTERM up to a length, and holds it against what must not be:
// two that decide at once. What must be: whoever is left alive can own the folder. Failure: an old process that went on while
// the new one decided broke waits and sent messages twice.
func TestEveryOrder(t *testing.T) {
	start := &model{predecessor: NewPredecessor("n0"), oldAlive: true, lock: 1}
	seen := map[string]bool{}
	played := 0
	var play func(m *model, depth int)
	play = func(m *model, depth int) {
		key := fmt.Sprint(depth, *m.predecessor, m.oldAlive, m.stopped, m.regaining, m.lock, m.news[0].born, m.news[0].alive, m.news[0].linked, m.news[0].successor,
			len(m.news[0].toOld), len(m.news[0].toNew), m.news[0].decides, m.news[0].wanted, m.news[1].born, m.news[1].alive, m.news[1].linked,
			m.news[1].successor, len(m.news[1].toOld), len(m.news[1].toNew), m.news[1].decides, m.news[1].wanted)
		if seen[key] {
			return
		}
		seen[key] = true
		played++
		deciders := 0
		if m.oldDecides() {
			deciders++
		}
		for _, n := range m.news {
			if n.alive && n.decides {
				deciders++
			}
		}
		if deciders > 1 {
			t.Fatalf("%d decide: %+v, predecessor %+v", deciders, m, *m.predecessor)
		}
		if m.oldDecides() && m.lock != 1 || m.oldAlive && m.lock == 1 && !m.oldDecides() {
			t.Fatalf("who decides does not own the folder: %+v, predecessor %+v", m, *m.predecessor)
		}
		if depth == 0 {
			return
		}
		for _, step := range m.steps() {
			next := m.clone()
			step(next)
			play(next, depth-1)
		}
	}
	play(start, 18)
	if played < 2000 {
		t.Fatalf("only %d states", played)
	}
	t.Logf("%d states", played)
}

func TestPredecessor(t *testing.T) {
	hello := &Hello{Version, "n0"}
	g := NewPredecessor("n0")
	for _, bad := range []*Hello{{Version + 1, "n0"}, {Version, "n1"}} {
		if do, why := g.HelloReceived(bad); do != Refuse || why == "" || !g.Owns() {
			t.Errorf("%+v: %v %q", bad, do, why)
		}
	}
	if do, _ := g.HelloReceived(hello); do != HandOver || !g.Owns() {
		t.Error("a new process that is ready is not given to, or too soon")
	}
	if do, _ := g.HelloReceived(hello); do != Refuse {
		t.Error("a second new process is not refused")
	}
	if g.MessageReceived(&Message{Serving: true}) != CloseLink {
		t.Error("serves before it was given anything")
	}
	if g.HandedOver(); g.Owns() || g.MessageReceived(&Message{State: &State{}}) != CloseLink || g.MessageReceived(&Message{Serving: true}) != Apply ||
		g.MessageReceived(&Message{Serving: true}) != CloseLink || g.MessageReceived(&Message{Cancel: &AttemptID{}}) != Apply {
		t.Error("messages after the handoff")
	}
	if g.SuccessorLost() != Reclaim || !g.Owns() {
		t.Error("does not go on when the new process dies")
	}
	g.HelloReceived(hello)
	g.HandedOver()
	if g.ShutDown(); g.SuccessorLost() != Nothing || g.Owns() {
		t.Error("goes on though it was notified to end")
	}
	if do, _ := NewPredecessor("n0").HelloReceived(hello); do != HandOver {
		t.Error("a fresh one refuses")
	}
}
