// Package exchange connects package quota to the clock, to the other members of the fleet and to the dispatcher. No message passes through
// this package: it reads the demands that the dispatcher last reported and hands the current shares to the dispatcher.
package exchange

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pineport/clock"
	"pineport/dispatch"
	"pineport/quota"
)

// Options configure an Exchange.
type Options struct {
	Self        string        // name of this courier
	Incarnation uint64        // of this courier
	Interval    time.Duration // between two ticks of the Allocator
	// FirstSequence is higher than all sequence numbers of an earlier process with this incarnation. The caller passes the time of the
	// courier's clock when it opens the Exchange, in milliseconds. During an upgrade, the old and the new process have the same
	// incarnation.
	FirstSequence uint64
	Log           *slog.Logger
	// Fleet returns the estimated number of couriers in the fleet, and the names of the other alive members.
	Fleet func() (couriers int, alive []string)
	// Send sends data to a member. The data may be lost. Send must not block.
	Send func(to string, data []byte) error
	// Demands returns the demands that the dispatcher last reported.
	Demands func() []dispatch.Demand
	// Apply hands shares to the dispatcher. The times in the shares count from origin. Apply returns a channel that is closed once the
	// dispatcher has applied the shares, or nil if it cannot accept them now.
	Apply func(shares []quota.Share, origin time.Time) (applied <-chan struct{})
}

const (
	packetQueueSize = 256 // received packets waiting for run; further ones are dropped
	// applyTimeout is how long the dispatcher may take to apply a grant. After that, the lease is not sent.
	applyTimeout = 250 * time.Millisecond
)

// Exchange runs the quota Allocator of one courier.
type Exchange struct {
	options        Options
	startedAt      time.Time
	allocator      *quota.Allocator
	packets        chan quota.Packet
	counts         Counts
	statusRequests chan chan Status
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// Counts are the live counters of an Exchange since its start.
type Counts struct{ PacketsOut, BytesOut, PacketsIn, PacketsMalformed, PacketsDropped, LeasesWithheld atomic.Int64 }

// Status is the state of an Exchange, as commands print it.
type Status struct {
	Incarnation      uint64         `json:"start"`
	Groups           []quota.Status `json:"routes"`
	Counters         quota.Counters `json:"sums"`
	PacketsOut       int64          `json:"packets_out"`
	BytesOut         int64          `json:"bytes_out"`
	PacketsIn        int64          `json:"packets_in"`
	PacketsMalformed int64          `json:"packets_spoilt"`
	PacketsDropped   int64          `json:"packets_dropped"`
	LeasesWithheld   int64          `json:"loans_withheld"`
}

// Open starts an Exchange.
func Open(o Options) *Exchange {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	x := &Exchange{options: o, startedAt: clock.Instant(), packets: make(chan quota.Packet, packetQueueSize), statusRequests: make(chan chan Status)}
	var seed [8]byte
	rand.Read(seed[:])
	couriers, _ := o.Fleet()
	x.allocator = quota.New(x.now(), quota.Config{Self: o.Self, Incarnation: o.Incarnation, Couriers: couriers, Seed: int64(binary.LittleEndian.Uint64(seed[:])),
		FirstSequence: o.FirstSequence})
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.wg.Add(1)
	go x.run(ctx)
	return x
}

// Close stops the Exchange. Leases that this courier granted stay valid at the lessees until they expire. Leases that it holds are not
// renewed.
func (x *Exchange) Close() {
	x.cancel()
	x.wg.Wait()
}

// Receive queues a packet of another member. It does not block.
func (x *Exchange) Receive(data []byte) {
	x.counts.PacketsIn.Add(1)
	packet, err := quota.Decode(data)
	if err != nil {
		x.counts.PacketsMalformed.Add(1)
		return
	}
	select {
	case x.packets <- packet:
	default:
		x.counts.PacketsDropped.Add(1)
	}
}

// statusTimeout is how long Status waits for run.
const statusTimeout = time.Second

// Status returns the current state. It returns false if the Exchange is closed or does not respond within statusTimeout.
func (x *Exchange) Status() (Status, bool) {
	timeout := time.After(statusTimeout)
	to := make(chan Status, 1)
	select {
	case x.statusRequests <- to:
	case <-timeout:
		return Status{}, false
	}
	select {
	case s := <-to:
		return s, true
	case <-timeout:
		return Status{}, false
	}
}

func (x *Exchange) now() dispatch.Micros {
	return dispatch.Micros(clock.Since(x.startedAt).Microseconds()) + 1 // 0 stands for never
}

func (x *Exchange) run(ctx context.Context) {
	defer x.wg.Done()
	ticker := time.NewTicker(x.options.Interval)
	defer ticker.Stop()
	for {
		var actions []quota.Action
		select {
		case <-ctx.Done():
			return
		case packet := <-x.packets:
			actions = x.allocator.Handle(x.now(), quota.PacketReceived{Packet: packet})
		case <-ticker.C:
			couriers, alive := x.options.Fleet()
			actions = x.allocator.Handle(x.now(), quota.FleetChanged{Couriers: couriers, Alive: alive}, quota.DemandsOf(x.options.Demands()), quota.Tick{})
		case to := <-x.statusRequests:
			to <- x.currentStatus()
		}
		x.carryOut(ctx, actions)
	}
}

// carryOut carries out actions in order. It sends a lease only after the dispatcher has applied the matching grant, and otherwise
// withholds it.
func (x *Exchange) carryOut(ctx context.Context, actions []quota.Action) {
	applied := true
	for _, action := range actions {
		switch a := action.(type) {
		case quota.ShareChanged:
			applied = x.applyShares(ctx, a.Shares)
		case quota.SendPacket:
			if len(a.Packet.Leases) > 0 && !applied {
				x.counts.LeasesWithheld.Add(1)
				continue
			}
			data, err := quota.Encode(a.Packet)
			if err == nil {
				err = x.options.Send(a.To, data)
			}
			if err != nil {
				x.options.Log.Debug("packet not sent", "to", a.To, "error", err)
				continue
			}
			x.counts.PacketsOut.Add(1)
			x.counts.BytesOut.Add(int64(len(data)))
		}
	}
}

func (x *Exchange) applyShares(ctx context.Context, shares []quota.Share) bool {
	if len(shares) == 0 {
		return true
	}
	applied := x.options.Apply(shares, x.startedAt)
	if applied == nil {
		return false
	}
	timeout := time.NewTimer(applyTimeout)
	defer timeout.Stop()
	select {
	case <-applied:
		return true
	case <-ctx.Done():
	case <-timeout.C:
	}
	return false
}

func (x *Exchange) currentStatus() Status {
	groups, counters := x.allocator.Status(x.now())
	return Status{Incarnation: x.options.Incarnation, Groups: groups, Counters: counters, PacketsOut: x.counts.PacketsOut.Load(), BytesOut: x.counts.BytesOut.Load(), PacketsIn: x.counts.PacketsIn.Load(),
		PacketsMalformed: x.counts.PacketsMalformed.Load(), PacketsDropped: x.counts.PacketsDropped.Load(), LeasesWithheld: x.counts.LeasesWithheld.Load()}
}
