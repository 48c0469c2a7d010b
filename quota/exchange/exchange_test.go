package exchange

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// fakePeer stands in for the member b and for the dispatcher: it counts the leases that an Exchange sends to b, and accepts shares.
type fakePeer struct {
	mu         sync.Mutex
	sentLeases int
	applies    bool // the dispatcher accepts shares
	hangs      bool // the dispatcher never confirms that it applied them
	demands    []dispatch.Demand
}

func (p *fakePeer) open() *Exchange {
	return Open(Options{Self: "a", Incarnation: 1, Interval: 500 * time.Millisecond,
		Fleet:   func() (int, []string) { return 2, []string{"b"} },
		Demands: func() []dispatch.Demand { return p.demands },
		Send: func(_ string, data []byte) error {
			packet, err := quota.Decode(data)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sentLeases += len(packet.Leases)
			return err
		},
		Apply: func([]quota.Share, time.Time) <-chan struct{} {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !p.applies {
				return nil
			}
			applied := make(chan struct{})
			if !p.hangs {
				close(applied)
			}
			return applied
		}})
}

// setApply sets how the dispatcher reacts to shares.
func (p *fakePeer) setApply(applies, hangs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applies, p.hangs = applies, hangs
}

// requestLease sends a request of b and returns the number of leases sent to b so far.
func (p *fakePeer) requestLease(x *Exchange, id uint64) int {
	data, err := quota.Encode(quota.Packet{From: "b", Requests: []quota.Request{{Key: quota.Key{Dest: 1}, Units: 100000, LeaseID: id}}})
	if err != nil {
		panic(err)
	}
	x.Receive(data)
	time.Sleep(2 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentLeases
}

// TestLeaseIsSentAfterItIsApplied verifies that a lease is sent only after the dispatcher has applied the grant, and not while an earlier
// incarnation may have granted the same share. It guards against both sides using the same share because the dispatcher of the grantor
// hangs, or cannot accept shares.
func TestLeaseIsSentAfterItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeer{applies: true, demands: []dispatch.Demand{{Destination: 1, Limit: 10}}}
		x := p.open()
		defer x.Close()
		if n := p.requestLease(x, 1); n != 0 {
			t.Errorf("%d leases sent within GrantHorizon of the start, want 0", n)
		}
		time.Sleep(5 * time.Second)
		for i, behavior := range []struct{ applies, hangs bool }{{false, false}, {true, true}} {
			p.setApply(behavior.applies, behavior.hangs)
			if n := p.requestLease(x, uint64(2+i)); n != 0 {
				t.Errorf("%d leases sent without the grant being applied, want 0", n)
			}
			time.Sleep(5 * time.Second)
		}
		p.setApply(true, false)
		if n := p.requestLease(x, 9); n != 1 {
			t.Errorf("%d leases sent, want 1", n)
		}
		if s, ok := x.Status(); !ok || s.LeasesWithheld != 2 || len(s.Groups) != 1 || len(s.Groups[0].Grants) != 1 {
			t.Errorf("unexpected status %+v", s)
		}
	})
}

// TestMalformedPacketsAreCounted verifies that malformed packets are counted and ignored, that valid packets beyond the queue size are
// dropped, and that Status does not block forever after Close.
func TestMalformedPacketsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeer{applies: true, hangs: true, demands: []dispatch.Demand{{Destination: 1, Limit: 10}}}
		x := p.open()
		time.Sleep(600 * time.Millisecond) // past the first tick: run waits for the dispatcher and receives no packets
		x.Receive([]byte("noise"))
		data, err := quota.Encode(quota.Packet{From: "b"})
		if err != nil {
			t.Fatal(err)
		}
		for range 3 * packetQueueSize {
			x.Receive(data)
		}
		time.Sleep(3 * time.Second)
		s, ok := x.Status()
		if !ok || s.PacketsMalformed != 1 || s.PacketsDropped != 2*packetQueueSize || s.PacketsIn != 3*packetQueueSize+1 {
			t.Errorf("unexpected status: ok %v, %+v", ok, s)
		}
		x.Close()
		if _, ok := x.Status(); ok {
			t.Error("a closed Exchange returned a status")
		}
	})
}
