// Package exchange joins quota with a clock, the words of the fleet and the decisions. Nothing here is on a message's way: it reads what
// the decisions last reported of their routes, and hands them what stands.
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

// Options are what an exchange is notified.
type Options struct {
	Self        string
	Incarnation uint64
	Interval    time.Duration
	// FirstSequence is beyond all sequence numbers of an earlier process of this incarnation: the courier's time at its start, in
	// milliseconds. The two processes of an upgrade have one incarnation.
	FirstSequence uint64
	Log           *slog.Logger
	// Fleet is how many couriers are counted on, and who else is heard.
	Fleet func() (couriers int, alive []string)
	// Send has a member hear words, which may be lost. It must not wait.
	Send func(to string, text []byte) error
	// Demands is what the decisions last reported of their routes.
	Demands func() []dispatch.Demand
	// Apply hands the decisions what stands, by a clock that began at zero. What it returns is closed once it is taken in; nil if it is not.
	Apply func(parts []quota.Share, zero time.Time) (taken <-chan struct{})
}

const (
	queueSize = 256 // packets that wait; what comes beyond is lost, as any may be
	// takenWithin is how long the decisions may take before a lease is said: if they have not heard what was taken off by then, it is not.
	applyTimeout = 250 * time.Millisecond
)

// Exchange runs one courier's quota.
type Exchange struct {
	options   Options
	startedAt time.Time
	allocator *quota.Allocator
	packets   chan quota.Packet
	counts    Counts
	looks     chan chan Status
	stop      context.CancelFunc
	done      sync.WaitGroup
}

// Counts count packets since the start.
type Counts struct{ PacketsOut, BytesOut, PacketsIn, PacketsMalformed, PacketsDropped, LeasesWithheld atomic.Int64 }

// Status is what operators are shown.
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

// Open begins to share.
func Open(o Options) *Exchange {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	x := &Exchange{options: o, startedAt: clock.Instant(), packets: make(chan quota.Packet, queueSize), looks: make(chan chan Status)}
	var salt [8]byte
	rand.Read(salt[:])
	couriers, _ := o.Fleet()
	x.allocator = quota.New(x.now(), quota.Config{Self: o.Self, Incarnation: o.Incarnation, Couriers: couriers, Seed: int64(binary.LittleEndian.Uint64(salt[:])),
		FirstSequence: o.FirstSequence})
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	x.done.Add(1)
	go x.run(ctx)
	return x
}

// Close ends it; what was granted stays with the lessees, and what was leased lapses.
func (x *Exchange) Close() {
	x.stop()
	x.done.Wait()
}

// Receive takes in what a member said. It does not wait.
func (x *Exchange) Receive(text []byte) {
	x.counts.PacketsIn.Add(1)
	packet, err := quota.Decode(text)
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

// shownWithin is how long somebody waits to be shown what stands.
const statusTimeout = time.Second

// Status is what stands at this instant; false where the exchange has ended or hangs.
func (x *Exchange) Status() (Status, bool) {
	late := time.After(statusTimeout)
	to := make(chan Status, 1)
	select {
	case x.looks <- to:
	case <-late:
		return Status{}, false
	}
	select {
	case s := <-to:
		return s, true
	case <-late:
		return Status{}, false
	}
}

func (x *Exchange) now() dispatch.Micros {
	return dispatch.Micros(clock.Since(x.startedAt).Microseconds()) + 1
}

func (x *Exchange) run(ctx context.Context) {
	defer x.done.Done()
	interval := time.NewTicker(x.options.Interval)
	defer interval.Stop()
	for {
		var actions []quota.Action
		select {
		case <-ctx.Done():
			return
		case packet := <-x.packets:
			actions = x.allocator.Handle(x.now(), quota.PacketReceived{Packet: packet})
		case <-interval.C:
			couriers, alive := x.options.Fleet()
			actions = x.allocator.Handle(x.now(), quota.FleetChanged{Couriers: couriers, Alive: alive}, quota.DemandsOf(x.options.Demands()), quota.Tick{})
		case to := <-x.looks:
			to <- x.status()
		}
		x.carryOut(ctx, actions)
	}
}

// carryOut does what was decided, in order: a lease is said only once the decisions go without it.
func (x *Exchange) carryOut(ctx context.Context, actions []quota.Action) {
	known := true
	for _, action := range actions {
		switch a := action.(type) {
		case quota.ShareChanged:
			known = x.share(ctx, a.Shares)
		case quota.SendPacket:
			if len(a.Packet.Leases) > 0 && !known {
				x.counts.LeasesWithheld.Add(1)
				continue
			}
			text, err := quota.Encode(a.Packet)
			if err == nil {
				err = x.options.Send(a.To, text)
			}
			if err != nil {
				x.options.Log.Debug("packet not sent", "to", a.To, "error", err)
				continue
			}
			x.counts.PacketsOut.Add(1)
			x.counts.BytesOut.Add(int64(len(text)))
		}
	}
}

func (x *Exchange) share(ctx context.Context, parts []quota.Share) bool {
	if len(parts) == 0 {
		return true
	}
	taken := x.options.Apply(parts, x.startedAt)
	if taken == nil {
		return false
	}
	late := time.NewTimer(applyTimeout)
	defer late.Stop()
	select {
	case <-taken:
		return true
	case <-ctx.Done():
	case <-late.C:
	}
	return false
}

func (x *Exchange) status() Status {
	lines, sums := x.allocator.Status(x.now())
	return Status{Incarnation: x.options.Incarnation, Groups: lines, Counters: sums, PacketsOut: x.counts.PacketsOut.Load(), BytesOut: x.counts.BytesOut.Load(), PacketsIn: x.counts.PacketsIn.Load(),
		PacketsMalformed: x.counts.PacketsMalformed.Load(), PacketsDropped: x.counts.PacketsDropped.Load(), LeasesWithheld: x.counts.LeasesWithheld.Load()}
}
