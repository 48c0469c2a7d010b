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

// realFleet is a fleet of courier processes on the loopback interface, under load and without injected faults.
type realFleet struct {
	binary     string
	size       int
	seed       int64
	membership bool
	interval   time.Duration
	settle     time.Duration // time from the start of the load until the observation begins
	observe    time.Duration // time of the observation
}

// Settings of the load on real couriers.
const (
	loadScenario   = "calm"
	loadPerSecond  = 5.0             // messages per second and courier at full load
	loadTail       = time.Second / 2 // time for which the load continues after the observation
	membersTimeout = 3 * time.Second // timeout of the admin request for the members
)

// realLoad is the load of all couriers of a real fleet over a time span.
type realLoad struct {
	packets, bytes int64 // sent by membership
	processor      time.Duration
	resident       int64 // resident memory in bytes at the end of the span
	span           time.Duration
	delivered      int // messages in the complete play
}

// play runs the fleet and returns the load of its couriers during the observation.
func (f realFleet) play(ctx context.Context) (realLoad, error) {
	traffic, err := scenario.Find(loadScenario)
	if err != nil {
		return realLoad{}, err
	}
	traffic.Fleet.Couriers = f.size
	traffic.Traffic.FullLoadPerSec = loadPerSecond * float64(f.size)
	traffic.Length = (f.settle + f.observe + loadTail).Seconds()
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
	case observer.err != nil:
		return realLoad{}, observer.err
	case verdict.InvalidReason != "":
		return realLoad{}, errors.New(verdict.InvalidReason)
	case verdict.Counts.Delivered == 0:
		return realLoad{}, errors.New("the real couriers delivered nothing")
	}
	observer.load.delivered = verdict.Counts.Delivered
	return observer.load, nil
}

// realObserver reads the load of courier processes from their metrics and from the operating system.
type realObserver struct {
	fleet           realFleet
	adminAddresses  []string // admin address of each courier
	memberAddresses []string // membership address of each courier
	load            realLoad
	err             error
}

func newRealObserver(f realFleet) (*realObserver, error) {
	o := &realObserver{fleet: f}
	for i := range f.size {
		for _, addresses := range []*[]string{&o.adminAddresses, &o.memberAddresses} {
			address, err := fleet.FreeLoopbackAddr(i)
			if err != nil {
				return nil, err
			}
			*addresses = append(*addresses, address)
		}
	}
	return o, nil
}

// configure returns the settings of a courier in addition to those of the scenario. Membership is set up as in hollowFleet.
func (o *realObserver) configure(courier *process.Courier) (map[string]any, error) {
	settings := map[string]any{"ops": o.adminAddresses[courier.Number]}
	if !o.fleet.membership {
		return settings, nil
	}
	size := o.fleet.size
	join := []string{o.memberAddresses[0], o.memberAddresses[(courier.Number+1)%size], o.memberAddresses[(courier.Number+size/2)%size]}
	settings["peers"] = map[string]any{"listen": o.memberAddresses[courier.Number], "join": join, "fleet": fleetLabel, "key": fleetKey,
		"pace_s": o.fleet.interval.Seconds()}
	settings["settings"] = map[string]any{"ceilings": map[string]any{"peers": true}}
	return settings, nil
}

// begin observes the couriers while the scenario runs. It returns a function that waits for the end of the observation.
func (o *realObserver) begin(ctx context.Context, couriers []*process.Courier) (end func()) {
	observed := make(chan struct{})
	go func() {
		defer close(observed)
		o.err = o.run(ctx, couriers)
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

// read returns the sum of what all couriers have used so far.
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
		members, err := fetchMembers(ctx, o.adminAddresses[courier.Number])
		if err != nil {
			return realLoad{}, fmt.Errorf("courier %d: %w", courier.Number, err)
		}
		if members.Status != membership.Complete.String() {
			return realLoad{}, fmt.Errorf("courier %d: membership status is %s, want %s", courier.Number, members.Status, membership.Complete)
		}
		total.packets += members.Figures.Network.PacketsOut
		total.bytes += members.Figures.Network.BytesOut
	}
	return total, nil
}

// membersReply is the reply of the admin interface to GET /peers.
type membersReply struct {
	Status  string         `json:"standing"`
	Figures gossip.Metrics `json:"figures"`
}

func fetchMembers(ctx context.Context, address string) (members membersReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/peers", nil)
	if err != nil {
		return members, err
	}
	request.Close = true
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return members, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return members, fmt.Errorf("GET /peers: %s", reply.Status)
	}
	return members, json.NewDecoder(reply.Body).Decode(&members)
}
