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
type fakePeer struct {
	mu         sync.Mutex
	sentLeases int
	applies    bool // the decisions take in what stands
	hangs      bool // they never say so
	demands    []dispatch.Demand
}

func (m *fakePeer) open() *Exchange {
	return Open(Options{Self: "a", Incarnation: 1, Interval: 500 * time.Millisecond,
		Fleet:   func() (int, []string) { return 2, []string{"b"} },
		Demands: func() []dispatch.Demand { return m.demands },
		Send: func(_ string, text []byte) error {
			packet, err := quota.Decode(text)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.sentLeases += len(packet.Leases)
			return err
		},
		Apply: func([]quota.Share, time.Time) <-chan struct{} {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.applies {
				return nil
			}
			applied := make(chan struct{})
			if !m.hangs {
				close(applied)
			}
			return applied
		}})
}

// holds sets what the decisions do with what stands.
func (m *fakePeer) setApply(applies, hangs bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applies, m.hangs = applies, hangs
}

func (m *fakePeer) requestLease(x *Exchange, no uint64) int {
	text, err := quota.Encode(quota.Packet{From: "b", Requests: []quota.Request{{Key: quota.Key{Dest: 1}, Units: 100000, LeaseID: no}}})
	if err != nil {
		panic(err)
	}
	x.Receive(text)
	time.Sleep(2 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sentLeases
}

// TestLeaseIsSentAfterItIsApplied: a lease is said only once the decisions go without it, and not while an earlier start may have granted it.
// Failure meant: both sides use the same part, as the grantor's decisions hang or are another process's.
func TestLeaseIsSentAfterItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakePeer{applies: true, demands: []dispatch.Demand{{Destination: 1, Limit: 10}}}
		x := m.open()
		defer x.Close()
		if n := m.requestLease(x, 1); n != 0 {
			t.Errorf("%d leases were said just after the start", n)
		}
		time.Sleep(5 * time.Second)
		for i, behavior := range []struct{ applies, hangs bool }{{false, false}, {true, true}} {
			m.setApply(behavior.applies, behavior.hangs)
			if n := m.requestLease(x, uint64(2+i)); n != 0 {
				t.Errorf("%d leases were said that the decisions did not know of", n)
			}
			time.Sleep(5 * time.Second)
		}
		m.setApply(true, false)
		if n := m.requestLease(x, 9); n != 1 {
			t.Errorf("%d leases were said", n)
		}
		if s, ok := x.Status(); !ok || s.LeasesWithheld != 2 || len(s.Groups) != 1 || len(s.Groups[0].Grants) != 1 {
			t.Errorf("shown %+v", s)
		}
	})
}

// TestMalformedPacketsAreCounted: bytes that are no words are counted and passed over, a flood of good ones is bounded, and one that ended is not
// waited for for ever.
func TestMalformedPacketsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakePeer{applies: true, hangs: true, demands: []dispatch.Demand{{Destination: 1, Limit: 10}}}
		x := m.open()
		time.Sleep(600 * time.Millisecond) // since the first tick it waits for the decisions, and hears nothing
		x.Receive([]byte("noise"))
		text, err := quota.Encode(quota.Packet{From: "b"})
		if err != nil {
			t.Fatal(err)
		}
		for range 3 * packetQueueSize {
			x.Receive(text)
		}
		time.Sleep(3 * time.Second)
		s, ok := x.Status()
		if !ok || s.PacketsMalformed != 1 || s.PacketsDropped != 2*packetQueueSize || s.PacketsIn != 3*packetQueueSize+1 {
			t.Errorf("shown %v %+v", ok, s)
		}
		x.Close()
		if _, ok := x.Status(); ok {
			t.Error("one that ended shows what stands")
		}
	})
}
