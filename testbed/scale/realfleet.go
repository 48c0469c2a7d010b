package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pineport/membership"
	"pineport/membership/gossip"
	"pineport/testbed/fleet"
	"pineport/testbed/process"
	"pineport/testbed/realtime"
	"pineport/testbed/scenario"
)

// realFleet is a fleet of courier processes to be played on loopback, under load, without any fault.
type realFleet struct {
	binary     string
	size       int
	seed       int64
	membership bool
	pace       time.Duration
	settle     time.Duration // from the start of the load until the couriers are observed
	observe    time.Duration
}

// Load on real couriers.
const (
	loadDay       = "calm"
	loadPerSecond = 5.0             // messages a second at full load, for each courier
	loadAfter     = time.Second / 2 // goes on after the couriers were observed
	askWithin     = 3 * time.Second // for a courier to tell of its members
)

// realLoad is what all couriers of a real fleet took over a span.
type realLoad struct {
	packets, bytes int64 // on the network, by membership
	processor      time.Duration
	resident       int64 // bytes, at the end of the span
	span           time.Duration
	delivered      int // messages of the whole play
}

// play plays the fleet and returns what its couriers took while they were observed.
func (f realFleet) play(ctx context.Context) (realLoad, error) {
	traffic, err := scenario.Find(loadDay)
	if err != nil {
		return realLoad{}, err
	}
	traffic.Fleet.Couriers = f.size
	traffic.Traffic.FullLoadPerSec = loadPerSecond * float64(f.size)
	traffic.Length = (f.settle + f.observe + loadAfter).Seconds()
	observer, err := newRealObserver(f)
	if err != nil {
		return realLoad{}, err
	}
	verdict, _, err := realtime.Play(ctx, scenario.Draw(traffic, f.seed), realtime.Options{Binary: f.binary, ExtraConfiguration: observer.configure,
		OnStart: func(field *realtime.Session) func() { return observer.begin(ctx, field.Couriers()) }})
	switch {
	case err != nil:
		return realLoad{}, err
	case ctx.Err() != nil:
		return realLoad{}, ctx.Err()
	case observer.fault != nil:
		return realLoad{}, observer.fault
	case verdict.InvalidReason != "":
		return realLoad{}, errors.New(verdict.InvalidReason)
	case verdict.Counts.Delivered == 0:
		return realLoad{}, errors.New("the real couriers delivered nothing")
	}
	observer.load.delivered = verdict.Counts.Delivered
	return observer.load, nil
}

// realObserver reads what courier processes took, from their own figures and from the system's.
type realObserver struct {
	fleet      realFleet
	operators  []string // address of each courier's operators' interface
	membership []string // and of its membership
	load       realLoad
	fault      error
}

func newRealObserver(f realFleet) (*realObserver, error) {
	o := &realObserver{fleet: f}
	for i := range f.size {
		for _, addresses := range []*[]string{&o.operators, &o.membership} {
			address, err := fleet.FreeLoopbackAddr(i)
			if err != nil {
				return nil, err
			}
			*addresses = append(*addresses, address)
		}
	}
	return o, nil
}

// configure is what a courier is notified besides what its day says; membership as hollowFleet has it.
func (o *realObserver) configure(courier *process.Courier) (map[string]any, error) {
	settings := map[string]any{"ops": o.operators[courier.Number]}
	if !o.fleet.membership {
		return settings, nil
	}
	size := o.fleet.size
	join := []string{o.membership[0], o.membership[(courier.Number+1)%size], o.membership[(courier.Number+size/2)%size]}
	settings["peers"] = map[string]any{"listen": o.membership[courier.Number], "join": join, "fleet": fleetLabel, "key": fleetKey,
		"pace_s": o.fleet.pace.Seconds()}
	settings["settings"] = map[string]any{"ceilings": map[string]any{"peers": true}}
	return settings, nil
}

// begin observes the couriers beside the day, and returns what waits for that to end.
func (o *realObserver) begin(ctx context.Context, couriers []*process.Courier) (end func()) {
	observed := make(chan struct{})
	go func() {
		defer close(observed)
		o.fault = o.run(ctx, couriers)
	}()
	return func() { <-observed }
}

func (o *realObserver) run(ctx context.Context, couriers []*process.Courier) error {
	if err := sleep(ctx, o.fleet.settle); err != nil {
		return err
	}
	begun := time.Now()
	before, err := o.read(ctx, couriers)
	if err != nil {
		return err
	}
	if err := sleep(ctx, o.fleet.observe); err != nil {
		return err
	}
	after, err := o.read(ctx, couriers)
	if err != nil {
		return err
	}
	o.load = realLoad{packets: after.packets - before.packets, bytes: after.bytes - before.bytes, processor: after.processor - before.processor,
		resident: after.resident, span: time.Since(begun)}
	return nil
}

// read sums what all couriers have taken so far.
func (o *realObserver) read(ctx context.Context, couriers []*process.Courier) (realLoad, error) {
	var total realLoad
	for _, courier := range couriers {
		processor, resident, err := courier.CurrentUsage()
		if err != nil {
			return realLoad{}, err
		}
		total.processor += processor
		total.resident += resident
		if !o.fleet.membership {
			continue
		}
		notified, err := askMembers(ctx, o.operators[courier.Number])
		if err != nil {
			return realLoad{}, fmt.Errorf("courier %d: %w", courier.Number, err)
		}
		if notified.Status != membership.Complete.String() {
			return realLoad{}, fmt.Errorf("courier %d is %s, not %s", courier.Number, notified.Status, membership.Complete)
		}
		total.packets += notified.Figures.Network.PacketsOut
		total.bytes += notified.Figures.Network.BytesOut
	}
	return total, nil
}

// toldMembers is what a courier's operators' interface tells of its membership.
type notifiedMembers struct {
	Status  string         `json:"standing"`
	Figures gossip.Metrics `json:"figures"`
}

func askMembers(ctx context.Context, address string) (notified notifiedMembers, err error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/peers", nil)
	if err != nil {
		return notified, err
	}
	request.Close = true
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return notified, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return notified, fmt.Errorf("GET /peers: %s", reply.Status)
	}
	return notified, json.NewDecoder(reply.Body).Decode(&notified)
}
