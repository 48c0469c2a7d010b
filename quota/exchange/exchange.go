// Package exchange joins commons with a clock, the words of the fleet and the decisions. Nothing here is on a record's way: it reads what
// the decisions last told of their routes, and hands them what stands.
package exchange

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pineport/dispatch"
	"pineport/quota"
)

// Options are what an exchange is told.
type Options struct {
	Self  string
	Start uint64
	Beat  time.Duration
	Log   *slog.Logger
	// Fleet is how many couriers are reckoned with, and who else is heard.
	Fleet func() (couriers int, alive []string)
	// Say has a member hear words, which may be lost. It must not wait.
	Say func(to string, text []byte) error
	// Needs is what the decisions last told of their routes.
	Needs func() []dispatch.Demand
	// Share hands the decisions what stands, by a clock that began at zero. What it returns is closed once it is taken in; nil if it is not.
	Share func(parts []quota.Part, zero time.Time) (taken <-chan struct{})
}

const (
	queueSize = 256 // packets that wait; what comes beyond is lost, as any may be
	// takenWithin is how long the decisions may take before a loan is said: if they have not heard what was taken off by then, it is not.
	takenWithin = 250 * time.Millisecond
)

// Exchange runs one courier's commons.
type Exchange struct {
	o       Options
	begun   time.Time
	commons *quota.Commons
	packets chan quota.Words
	counts  Counts
	looks   chan chan Shown
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// Counts count packets since the start.
type Counts struct{ Out, BytesOut, In, Spoilt, Dropped, Withheld atomic.Int64 }

// Shown is what operators are shown.
type Shown struct {
	Start    uint64       `json:"start"`
	Lines    []quota.Line `json:"routes"`
	Sums     quota.Sums   `json:"sums"`
	Out      int64        `json:"packets_out"`
	BytesOut int64        `json:"bytes_out"`
	In       int64        `json:"packets_in"`
	Spoilt   int64        `json:"packets_spoilt"`
	Dropped  int64        `json:"packets_dropped"`
	Withheld int64        `json:"loans_withheld"`
}

// Open begins to share.
func Open(o Options) *Exchange {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	x := &Exchange{o: o, begun: time.Now(), packets: make(chan quota.Words, queueSize), looks: make(chan chan Shown)}
	var salt [8]byte
	rand.Read(salt[:])
	couriers, _ := o.Fleet()
	x.commons = quota.New(x.now(), quota.Terms{Self: o.Self, Start: o.Start, Couriers: couriers, Salt: int64(binary.LittleEndian.Uint64(salt[:])),
		No: uint64(x.begun.UnixMilli())}) // the two processes of an upgrade have one start
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	x.done.Add(1)
	go x.run(ctx)
	return x
}

// Close ends it; what was lent stays with the borrowers, and what was borrowed lapses.
func (x *Exchange) Close() {
	x.stop()
	x.done.Wait()
}

// Hear takes in what a member said. It does not wait.
func (x *Exchange) Hear(text []byte) {
	x.counts.In.Add(1)
	w, err := quota.Decode(text)
	if err != nil {
		x.counts.Spoilt.Add(1)
		return
	}
	select {
	case x.packets <- w:
	default:
		x.counts.Dropped.Add(1)
	}
}

// shownWithin is how long somebody waits to be shown what stands.
const shownWithin = time.Second

// Shown is what stands at this instant; false where the exchange has ended or hangs.
func (x *Exchange) Shown() (Shown, bool) {
	late := time.After(shownWithin)
	to := make(chan Shown, 1)
	select {
	case x.looks <- to:
	case <-late:
		return Shown{}, false
	}
	select {
	case s := <-to:
		return s, true
	case <-late:
		return Shown{}, false
	}
}

func (x *Exchange) now() dispatch.Micros {
	return dispatch.Micros(time.Since(x.begun).Microseconds()) + 1
}

func (x *Exchange) run(ctx context.Context) {
	defer x.done.Done()
	beat := time.NewTicker(x.o.Beat)
	defer beat.Stop()
	for {
		var actions []quota.Action
		select {
		case <-ctx.Done():
			return
		case w := <-x.packets:
			actions = x.commons.Handle(x.now(), quota.Heard{Words: w})
		case <-beat.C:
			couriers, alive := x.o.Fleet()
			actions = x.commons.Handle(x.now(), quota.Fleet{Couriers: couriers, Alive: alive}, quota.Told(x.o.Needs()), quota.Beat{})
		case to := <-x.looks:
			to <- x.look()
		}
		x.carryOut(ctx, actions)
	}
}

// carryOut does what was decided, in order: a loan is said only once the decisions go without it.
func (x *Exchange) carryOut(ctx context.Context, actions []quota.Action) {
	known := true
	for _, action := range actions {
		switch a := action.(type) {
		case quota.Share:
			known = x.share(ctx, a.Parts)
		case quota.Say:
			if len(a.Words.Loans) > 0 && !known {
				x.counts.Withheld.Add(1)
				continue
			}
			text, err := quota.Encode(a.Words)
			if err == nil {
				err = x.o.Say(a.To, text)
			}
			if err != nil {
				x.o.Log.Debug("not said", "to", a.To, "fault", err)
				continue
			}
			x.counts.Out.Add(1)
			x.counts.BytesOut.Add(int64(len(text)))
		}
	}
}

func (x *Exchange) share(ctx context.Context, parts []quota.Part) bool {
	if len(parts) == 0 {
		return true
	}
	taken := x.o.Share(parts, x.begun)
	if taken == nil {
		return false
	}
	late := time.NewTimer(takenWithin)
	defer late.Stop()
	select {
	case <-taken:
		return true
	case <-ctx.Done():
	case <-late.C:
	}
	return false
}

func (x *Exchange) look() Shown {
	lines, sums := x.commons.Look(x.now())
	return Shown{Start: x.o.Start, Lines: lines, Sums: sums, Out: x.counts.Out.Load(), BytesOut: x.counts.BytesOut.Load(), In: x.counts.In.Load(),
		Spoilt: x.counts.Spoilt.Load(), Dropped: x.counts.Dropped.Load(), Withheld: x.counts.Withheld.Load()}
}
