package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"time"

	"pineport/quota"
	"pineport/testbed/slopes"
)

// Sizes of the experiment sharing. A route is an endpoint group whose limit is shared.
const (
	sizeRoutes       = "routes"    // number of routes
	sizeHeard        = "heard"     // number of other couriers whose samples one courier receives on every route
	sizeOverCapacity = "over_room" // 1 if the samples received exceed the number kept, otherwise 0
)

// Figures of one courier and of fleets.
const (
	figureSharingTick = "beat_seconds"       // one tick, with the demands of all routes
	figureReceive     = "hear_seconds"       // one received packet, decoded and merged
	figureKeptBytes   = "kept_bytes"         // memory of the allocator, received samples included
	figureSentBytes   = "said_bytes"         // bytes of the packets sent in one tick
	figureRoutes      = "kept_routes"        // routes kept
	figureSamples     = "kept_counts"        // samples of other couriers kept
	figureDropped     = "left_out"           // routes and samples dropped because the tables were full
	figureLargest     = "largest_packet"     // bytes of the largest packet
	figureOverGranted = "over_lent"          // observations in which the shares of all couriers exceeded the limit
	figureMalformed   = "spoilt_packets"     // packets that the receiver could not decode
	figureLeases      = "loans"              // leases accepted
	figurePacketRate  = "packets_per_second" // sent by one courier
	figureByteRate    = "bytes_per_second"   // sent by one courier
	figureCores       = "cores"              // processor time of one courier
	figureHeardRatio  = "heard_ratio"        // share of the other couriers whose usage is known
	figureHeard       = "heard_couriers"     // number of other couriers whose usage is known
	figureUseRatio    = "use_ratio"          // known usage of the other couriers, divided by their actual usage
	figureLoadRatio   = "told_ratio"         // load passed to the dispatcher, divided by the actual load
)

// Bounds that package quota guarantees: see docs/quota.md.
const (
	maxKeptRoutes  = 1024
	maxKeptSamples = 8192
	maxPacketBytes = 1200
)

const (
	microsPerSecond = quota.Micros(time.Second / time.Microsecond)
	// tickSpan is the time between ticks at the default heartbeat interval of 1 s: peers.pace_s / 2.
	tickSpan = microsPerSecond / 2
	// samplesPerPacket is the number of samples in each packet that the single courier receives.
	samplesPerPacket = 10
	// ticksPerPacket is the number of ticks after which each other courier sends again. That is sooner than samples expire,
	// which is after 3 s.
	ticksPerPacket = 4
	routeLimit     = 100.0 // calls per second from all couriers
)

// sharingExperiment measures how package quota shares limits. The experiment has two forms: one courier that receives the
// samples of all others, and whole fleets.
func sharingExperiment() Experiment {
	return Experiment{
		Name: "sharing",
		About: "quota alone: one courier that receives the samples of all others on all routes, and whole fleets of hollow couriers that exchange encoded packets " +
			"over a network with a latency of 10 to 60 ms in virtual time and without delays of membership",
		Plays: 3, Timed: true, Measure: measureSharing, Fit: fitSharing, Check: checkSharing,
	}
}

// receiverSize is one size of the first form: routes, and other couriers heard on each route.
type receiverSize struct{ routes, heard int }

// defaultRoutes and defaultHeard are the sizes of the first form while the other size varies.
const (
	defaultRoutes = 100
	defaultHeard  = 100
)

func receiverSizes(quick bool) []receiverSize {
	if quick {
		return []receiverSize{{10, 10}, {10, defaultHeard}, {defaultRoutes, 10}, {defaultRoutes, defaultHeard}}
	}
	return []receiverSize{
		{8, defaultHeard}, {25, defaultHeard}, {80, defaultHeard}, // all samples are kept
		{defaultRoutes, 8}, {defaultRoutes, 25}, {defaultRoutes, 80},
		{defaultRoutes, defaultHeard}, {1000, defaultHeard}, {10000, defaultHeard}, // more samples than are kept
		{defaultRoutes, 1000}, {defaultRoutes, 11000},
	}
}

// sizes returns the sizes under which the figures are recorded.
func (l receiverSize) sizes() map[string]float64 {
	sizes := map[string]float64{sizeRoutes: float64(l.routes), sizeHeard: float64(l.heard), sizeOverCapacity: 0}
	if l.routes > maxKeptRoutes || l.routes*l.heard > maxKeptSamples {
		sizes[sizeOverCapacity] = 1
	}
	return sizes
}

// tickCount returns the number of ticks to play: fewer in quick runs, and if 100,000 or more samples are received at a time.
func (l receiverSize) tickCount(quick bool) int {
	const manySamples = 100 * 1000
	switch {
	case quick:
		return 2 * ticksPerPacket
	case l.routes*l.heard >= manySamples:
		return 3 * ticksPerPacket
	}
	return 6 * ticksPerPacket
}

func sharingFleets(quick bool) []int {
	if quick {
		return []int{10, 20, 30}
	}
	return []int{10, 30, 100, 300}
}

func measureSharing(ctx context.Context, play *Play) error {
	for _, l := range receiverSizes(play.Quick) {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("one courier, %d routes, samples of %d other couriers", l.routes, l.heard)
		if err := l.measure(play); err != nil {
			return err
		}
	}
	for _, couriers := range sharingFleets(play.Quick) {
		play.Progress("%d couriers sharing limits", couriers)
		if err := measureSharingFleet(ctx, play, couriers); err != nil {
			return err
		}
	}
	play.ReportMissing("sharing.bytes_per_second with packet loss, partitions and real sockets", "no packet is lost here, and there are no partitions and no sockets; pineport-testbed fleet shared-limits tests these between processes")
	return nil
}

// measure runs ticks of one courier that receives samples of all others on all routes.
func (l receiverSize) measure(play *Play) error {
	ticks := l.tickCount(play.Quick)
	names := courierNames(l.heard + 1)
	incoming := l.packets(names)
	before := heapInUse()
	c := quota.New(1, quota.Config{Self: names[0], Incarnation: 1, Couriers: len(names), Seed: play.Seed})
	now := 10 * microsPerSecond
	var ticking, receiving time.Duration
	var sentBytes, largest, packets int
	for tick := range ticks {
		now += tickSpan
		if tick%ticksPerPacket == 0 {
			spent, err := receiveAll(c, now, incoming, uint64(tick+1))
			if err != nil {
				return err
			}
			receiving += spent
			packets += len(incoming)
		}
		demands := l.demands(tick + 1)
		begun := time.Now()
		actions := c.Handle(now, quota.FleetChanged{Couriers: len(names), Alive: names[1:]}, demands, quota.Tick{})
		ticking += time.Since(begun)
		bytes, most, err := encodedSize(actions)
		if err != nil {
			return err
		}
		sentBytes, largest = sentBytes+bytes, max(largest, most)
	}
	kept := float64(heapInUse()) - float64(before)
	statuses, totals := c.Status(now)
	runtime.KeepAlive(c)
	runtime.KeepAlive(incoming)
	samples := 0
	for _, status := range statuses {
		samples += status.ReportingCouriers
	}
	sizes := l.sizes()
	for figure, value := range map[string]float64{
		figureSharingTick: ticking.Seconds() / float64(ticks), figureReceive: receiving.Seconds() / float64(packets), figureKeptBytes: kept,
		figureSentBytes: float64(sentBytes) / float64(ticks), figureLargest: float64(largest), figureRoutes: float64(len(statuses)),
		figureSamples: float64(samples), figureDropped: float64(totals.Dropped),
	} {
		play.Report(sizes, figure, value)
	}
	return nil
}

func courierNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	return names
}

// demands returns the demands of the courier after the given number of ticks. Some routes are used two and three times as
// much as others.
func (l receiverSize) demands(ticks int) quota.DemandsChanged {
	demands := quota.DemandsChanged{Demands: make([]quota.Demand, 0, l.routes)}
	for route := range l.routes {
		demands.Demands = append(demands.Demands, quota.Demand{Key: quota.Key{Dest: int32(route)}, Limit: routeLimit, Calls: uint64(ticks * (1 + route%3))})
	}
	return demands
}

// packets returns the packets with the samples of all other couriers for all routes.
func (l receiverSize) packets(names []string) (all []quota.Packet) {
	const usage = 100 // millionths of the limit
	for _, name := range names[1:] {
		for from := 0; from < l.routes; from += samplesPerPacket {
			packet := quota.Packet{Version: quota.Version, From: name}
			for route := from; route < min(from+samplesPerPacket, l.routes); route++ {
				packet.Samples = append(packet.Samples, quota.Sample{Key: quota.Key{Dest: int32(route)}, Courier: name, Incarnation: 1, Usage: usage})
			}
			all = append(all, packet)
		}
	}
	return all
}

// receiveAll encodes the packets with the given sequence number and passes them to the courier. It returns the time that
// decoding and merging took.
func receiveAll(c *quota.Allocator, now quota.Micros, packets []quota.Packet, sequence uint64) (spent time.Duration, err error) {
	for _, packet := range packets {
		for i := range packet.Samples {
			packet.Samples[i].Sequence = sequence
		}
		text, err := quota.Encode(packet)
		if err != nil {
			return 0, err
		}
		begun := time.Now()
		received, err := quota.Decode(text)
		if err != nil {
			return 0, fmt.Errorf("decode a packet that was just encoded: %w", err)
		}
		c.Handle(now, quota.PacketReceived{Packet: received})
		spent += time.Since(begun)
	}
	return spent, nil
}

// encodedSize returns the total size of the packets among the actions, and the size of the largest.
func encodedSize(actions []quota.Action) (sum, largest int, err error) {
	for _, action := range actions {
		send, ok := action.(quota.SendPacket)
		if !ok {
			continue
		}
		text, err := quota.Encode(send.Packet)
		if err != nil {
			return 0, 0, err
		}
		sum, largest = sum+len(text), max(largest, len(text))
	}
	return sum, largest, nil
}

func fitSharing(results *Results) error {
	byRoutes := map[string]float64{sizeHeard: defaultHeard, sizeOverCapacity: 0}
	byRoutesOver := map[string]float64{sizeHeard: defaultHeard, sizeOverCapacity: 1}
	byHeard := map[string]float64{sizeRoutes: defaultRoutes, sizeOverCapacity: 0}
	byHeardOver := map[string]float64{sizeRoutes: defaultRoutes, sizeOverCapacity: 1}
	grows := []slopes.Model{slopes.Linear, slopes.Power}
	slowGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Power} // no linear model: the figures have an upper bound
	falls := []slopes.Model{slopes.Power}
	return results.FitAll([]Curve{
		{Name: "beat_seconds.routes", Figure: figureSharingTick, About: "a tick of one courier, samples of 100 others, all kept", Unit: "s", Over: sizeRoutes, Where: byRoutes, Models: grows},
		{Name: "beat_seconds.routes_over_room", Figure: figureSharingTick, About: "a tick of one courier, samples of 100 others, more than are kept", Unit: "s", Over: sizeRoutes, Where: byRoutesOver, Models: grows},
		{Name: "beat_seconds.heard", Figure: figureSharingTick, About: "a tick of one courier with 100 routes, all samples kept", Unit: "s", Over: sizeHeard, Where: byHeard, Models: grows},
		{Name: "beat_seconds.heard_over_room", Figure: figureSharingTick, About: "a tick of one courier with 100 routes, more samples than are kept", Unit: "s", Over: sizeHeard, Where: byHeardOver, Models: grows},
		{Name: "hear_seconds.heard_over_room", Figure: figureReceive, About: "a packet of 10 samples decoded and merged, 100 routes", Unit: "s", Over: sizeHeard, Where: byHeardOver, Models: grows},
		{Name: "kept_bytes.routes", Figure: figureKeptBytes, About: "memory of the quota allocator of one courier, samples of 100 others, all kept", Unit: "bytes", Over: sizeRoutes, Where: byRoutes, Models: grows},
		{Name: "kept_bytes.routes_over_room", Figure: figureKeptBytes, About: "memory of the quota allocator of one courier, samples of 100 others, more than are kept", Unit: "bytes", Over: sizeRoutes, Where: byRoutesOver, Models: slowGrowth},
		{Name: "kept_bytes.heard", Figure: figureKeptBytes, About: "memory of the quota allocator of one courier with 100 routes, all samples kept", Unit: "bytes", Over: sizeHeard, Where: byHeard, Models: grows},
		{Name: "kept_bytes.heard_over_room", Figure: figureKeptBytes, About: "memory of the quota allocator of one courier with 100 routes, more samples than are kept", Unit: "bytes", Over: sizeHeard, Where: byHeardOver, Models: slowGrowth},
		{Name: "said_bytes.routes_over_room", Figure: figureSentBytes, About: "sent by one courier each tick, samples of 100 others", Unit: "bytes", Over: sizeRoutes, Where: byRoutesOver, Models: slowGrowth},
		{Name: "said_bytes.heard_over_room", Figure: figureSentBytes, About: "sent by one courier each tick, 100 routes", Unit: "bytes", Over: sizeHeard, Where: byHeardOver, Models: slowGrowth},
		{Name: "bytes_per_second", Figure: figureByteRate, About: "sent by each courier of a fleet that shares 10 limits, without UDP headers", Unit: "bytes/s", Over: sizeCouriers, Models: slowGrowth},
		{Name: "packets_per_second", Figure: figurePacketRate, About: "sent by each courier of a fleet that shares 10 limits", Unit: "packets/s", Over: sizeCouriers, Models: slowGrowth},
		{Name: "cores", Figure: figureCores, About: "processor time of each courier for sharing 10 limits, encoding and decoding of packets included", Unit: "cores", Over: sizeCouriers, Models: grows},
		{Name: "heard_couriers", Figure: figureHeard, About: "other couriers whose usage of a limit one courier knows", Unit: "couriers", Over: sizeCouriers, Models: slowGrowth},
		{Name: "heard_ratio", Figure: figureHeardRatio, About: "the same, as a share of all other couriers", Unit: "ratio", Over: sizeCouriers, Models: falls},
		{Name: "use_ratio", Figure: figureUseRatio, About: "share of the usage of a limit by others that a courier knows of", Unit: "ratio", Over: sizeCouriers, Models: falls},
		{Name: "told_ratio", Figure: figureLoadRatio, About: "load of a limit that is passed to the dispatcher, divided by the actual load", Unit: "ratio", Over: sizeCouriers, Models: falls},
	})
}

// checkSharing checks the guarantees of docs/quota.md: bounds on the state kept and on the size of packets, and shares that
// never add up to more than the limit.
func checkSharing(results *Results) error {
	return errors.Join(
		checkRange(results, figureRoutes, sizeRoutes, 1, maxKeptRoutes),
		checkRange(results, figureSamples, sizeRoutes, 1, maxKeptSamples),
		checkRange(results, figureLargest, sizeRoutes, 1, maxPacketBytes),
		checkRange(results, figureOverGranted, sizeCouriers, 0, 0),
		checkRange(results, figureMalformed, sizeCouriers, 0, 0),
		checkRange(results, figureLeases, sizeCouriers, 1, math.Inf(1)),
		checkRange(results, figureHeard, sizeCouriers, 1, math.Inf(1)),
	)
}

// checkRange fails if a figure was not recorded or is outside its bounds at any size.
func checkRange(results *Results, figure, over string, low, high float64) error {
	sizes, figures := results.Values(figure, over, nil)
	if len(figures) == 0 {
		return fmt.Errorf("%s was not counted", figure)
	}
	for i, value := range figures {
		if !(value >= low && value <= high) {
			return fmt.Errorf("%s: got %v at %v %s, want %v to %v", figure, value, sizes[i], over, low, high)
		}
	}
	return nil
}
