package exchange

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// mate writes down what an exchange says to b, and answers for the decisions.
type mate struct {
	mu    sync.Mutex
	loans int
	takes bool // the decisions take in what stands
	hangs bool // they never say so
	needs []dispatch.Demand
}

func (m *mate) open() *Exchange {
	return Open(Options{Self: "a", Start: 1, Beat: 500 * time.Millisecond,
		Fleet: func() (int, []string) { return 2, []string{"b"} },
		Needs: func() []dispatch.Demand { return m.needs },
		Say: func(_ string, text []byte) error {
			w, err := quota.Decode(text)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.loans += len(w.Loans)
			return err
		},
		Share: func([]quota.Part, time.Time) <-chan struct{} {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.takes {
				return nil
			}
			taken := make(chan struct{})
			if !m.hangs {
				close(taken)
			}
			return taken
		}})
}

// holds sets what the decisions do with what stands.
func (m *mate) holds(takes, hangs bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takes, m.hangs = takes, hangs
}

func (m *mate) asked(x *Exchange, no uint64) int {
	text, err := quota.Encode(quota.Words{From: "b", Asks: []quota.Ask{{Key: quota.Key{Dest: 1}, Units: 100000, No: no}}})
	if err != nil {
		panic(err)
	}
	x.Hear(text)
	time.Sleep(2 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loans
}

// TestNoLoanBeforeItIsTakenOff: a loan is said only once the decisions go without it, and not while an earlier start may have lent it.
// Failure meant: both sides use the same part, as the lender's decisions hang or are another process's.
func TestNoLoanBeforeItIsTakenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mate{takes: true, needs: []dispatch.Demand{{Destination: 1, Limit: 10}}}
		x := m.open()
		defer x.Close()
		if n := m.asked(x, 1); n != 0 {
			t.Errorf("%d loans were said just after the start", n)
		}
		time.Sleep(5 * time.Second)
		for i, held := range []struct{ takes, hangs bool }{{false, false}, {true, true}} {
			m.holds(held.takes, held.hangs)
			if n := m.asked(x, uint64(2+i)); n != 0 {
				t.Errorf("%d loans were said that the decisions did not know of", n)
			}
			time.Sleep(5 * time.Second)
		}
		m.holds(true, false)
		if n := m.asked(x, 9); n != 1 {
			t.Errorf("%d loans were said", n)
		}
		if s, ok := x.Shown(); !ok || s.Withheld != 2 || len(s.Lines) != 1 || len(s.Lines[0].LentTo) != 1 {
			t.Errorf("shown %+v", s)
		}
	})
}

// TestWhatNobodySays: bytes that are no words are counted and passed over, a flood of good ones is bounded, and one that ended is not
// waited for for ever.
func TestWhatNobodySays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mate{takes: true, hangs: true, needs: []dispatch.Demand{{Destination: 1, Limit: 10}}}
		x := m.open()
		time.Sleep(600 * time.Millisecond) // since the first beat it waits for the decisions, and hears nothing
		x.Hear([]byte("noise"))
		text, err := quota.Encode(quota.Words{From: "b"})
		if err != nil {
			t.Fatal(err)
		}
		for range 3 * queueSize {
			x.Hear(text)
		}
		time.Sleep(3 * time.Second)
		s, ok := x.Shown()
		if !ok || s.Spoilt != 1 || s.Dropped != 2*queueSize || s.In != 3*queueSize+1 {
			t.Errorf("shown %v %+v", ok, s)
		}
		x.Close()
		if _, ok := x.Shown(); ok {
			t.Error("one that ended shows what stands")
		}
	})
}
