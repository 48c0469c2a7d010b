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

// The sizes of the run sharing.
const (
	sizeRoutes   = "routes"    // whose limits are shared
	sizeHeard    = "heard"     // other couriers that one hears of, on every route
	sizeOverRoom = "over_room" // 1 where more is heard than is kept
)

// Figures of one courier that hears all others.
const (
	figureSharingTick  = "beat_seconds"       // one tick, with the needs of all routes
	figureHear         = "hear_seconds"       // one packet taken in: read and merged
	figureKeptBytes    = "kept_bytes"         // memory, all that it has heard included
	figureSaid         = "said_bytes"         // in the packets of one tick
	figureRoutes       = "kept_routes"        // routes that are kept
	figureCounts       = "kept_counts"        // counts of others that are kept
	figureForgotten    = "left_out"           // routes and counts left out for want of room
	figureLargest      = "largest_packet"     // bytes
	figureOverGranted  = "over_lent"          // instants at which the parts of a limit made more than the whole
	figureSpoilt       = "spoilt_packets"     // that their receiver refused
	figureLeases       = "loans"              // taken up by their lessees
	figureSaidPackets  = "packets_per_second" // that one courier says
	figureBytes        = "bytes_per_second"   // that one courier says
	figureCores        = "cores"              // of processor time, one courier
	figureHeardOf      = "heard_ratio"        // couriers whose use is known at an instant, of all others
	figureHeard        = "heard_couriers"     // the same as a number
	figureUseKnown     = "use_ratio"          // their use as it was last heard, of what all others use
	figureNotifiedLoad = "told_ratio"         // the load that the decisions are notified, over the true one
)

// Bounds that quota promise: see docs/quota.md.
const (
	mostSharedRoutes = 1024
	mostSharedCounts = 8192
	mostPacketBytes  = 1200
)

const (
	microsPerSecond = quota.Micros(time.Second / time.Microsecond)
	// beatSpan is how often a courier ticks at the default interval of its heartbeats, 1 s: peers.pace_s / 2.
	tickSpan = microsPerSecond / 2
	// countsPerWord is how many counts a packet of one courier holds in the first form of the run.
	countsPerWord = 10
	// beatsPerHearing: the others are heard anew before what they said last is too old to count, 3 s.
	ticksPerPacket = 4
	routeLimit     = 100.0 // calls a second from all couriers
)

// sharing measures the sharing of limits as package quota does it.
func sharingExperiment() Experiment {
	return Experiment{
		Name: "sharing",
		About: "commons alone: one courier that hears all others on all routes, and whole fleets of hollow couriers that exchange encoded packets " +
			"over a network of 10 to 60 ms in virtual time, membership known at once",
		Plays: 3, Timed: true, Measure: measureSharing, Fit: fitSharing, Check: checkSharing,
	}
}

// listener is one size of the first form: routes, and others heard on each of them.
type listener struct{ routes, heard int }

// usualRoutes and usualHeard are what the first form holds to while the other size grows.
const (
	usualRoutes = 100
	usualHeard  = 100
)

func listeners(quick bool) []listener {
	if quick {
		return []listener{{10, 10}, {10, usualHeard}, {usualRoutes, 10}, {usualRoutes, usualHeard}}
	}
	return []listener{
		{8, usualHeard}, {25, usualHeard}, {80, usualHeard}, // all that is heard is kept
		{usualRoutes, 8}, {usualRoutes, 25}, {usualRoutes, 80},
		{usualRoutes, usualHeard}, {1000, usualHeard}, {10000, usualHeard}, // more than is kept
		{usualRoutes, 1000}, {usualRoutes, 11000},
	}
}

// sizes are what the points of this size go by.
func (l listener) sizes() map[string]float64 {
	sizes := map[string]float64{sizeRoutes: float64(l.routes), sizeHeard: float64(l.heard), sizeOverRoom: 0}
	if l.routes > mostSharedRoutes || l.routes*l.heard > mostSharedCounts {
		sizes[sizeOverRoom] = 1
	}
	return sizes
}

// ticks are how many are played: fewer where hearing all others takes long.
func (l listener) intervals(quick bool) int {
	const long = 100 * 1000
	switch {
	case quick:
		return 2 * ticksPerPacket
	case l.routes*l.heard >= long:
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
	for _, l := range listeners(play.Quick) {
		if err := ctx.Err(); err != nil {
			return err
		}
		play.Progress("one courier, %d routes, %d others heard", l.routes, l.heard)
		if err := l.measure(play); err != nil {
			return err
		}
	}
	for _, couriers := range sharingFleets(play.Quick) {
		play.Progress("%d couriers that share", couriers)
		if err := measureSharingFleet(ctx, play, couriers); err != nil {
			return err
		}
	}
	play.Miss("sharing.bytes_per_second with loss, deafness and real sockets", "packets are neither lost nor late here; pineport-testbed fleet shared-limits plays those between processes")
	return nil
}

// measure has one courier tick while it hears all others on all routes.
func (l listener) measure(play *Play) error {
	intervals := l.intervals(play.Quick)
	names := courierNames(l.heard + 1)
	words := l.words(names)
	before := heapInUse()
	c := quota.New(1, quota.Config{Self: names[0], Incarnation: 1, Couriers: len(names), Seed: play.Seed})
	now := 10 * microsPerSecond
	var beating, hearing time.Duration
	var said, largest, packets int
	for interval := range intervals {
		now += tickSpan
		if interval%ticksPerPacket == 0 {
			spent, err := hearAll(c, now, words, uint64(interval+1))
			if err != nil {
				return err
			}
			hearing += spent
			packets += len(words)
		}
		needs := l.needs(interval + 1)
		begun := time.Now()
		actions := c.Handle(now, quota.FleetChanged{Couriers: len(names), Alive: names[1:]}, needs, quota.Tick{})
		beating += time.Since(begun)
		bytes, most, err := packetBytes(actions)
		if err != nil {
			return err
		}
		said, largest = said+bytes, max(largest, most)
	}
	kept := float64(heapInUse()) - float64(before)
	lines, sums := c.Status(now)
	runtime.KeepAlive(c)
	runtime.KeepAlive(words)
	counts := 0
	for _, line := range lines {
		counts += line.ReportingCouriers
	}
	sizes := l.sizes()
	for figure, value := range map[string]float64{
		figureSharingTick: beating.Seconds() / float64(intervals), figureHear: hearing.Seconds() / float64(packets), figureKeptBytes: kept,
		figureSaid: float64(said) / float64(intervals), figureLargest: float64(largest), figureRoutes: float64(len(lines)),
		figureCounts: float64(counts), figureForgotten: float64(sums.Dropped),
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

// needs are those of the courier after so many ticks: some routes are used twice and three times as much as others.
func (l listener) needs(intervals int) quota.DemandsChanged {
	needs := quota.DemandsChanged{Demands: make([]quota.Demand, 0, l.routes)}
	for route := range l.routes {
		needs.Demands = append(needs.Demands, quota.Demand{Key: quota.Key{Dest: int32(route)}, Limit: routeLimit, Calls: uint64(intervals * (1 + route%3))})
	}
	return needs
}

// words are what all others say of all routes.
func (l listener) words(names []string) (all []quota.Packet) {
	const usage = 100 // millionths of the limit
	for _, name := range names[1:] {
		for from := 0; from < l.routes; from += countsPerWord {
			w := quota.Packet{Version: quota.Version, From: name}
			for route := from; route < min(from+countsPerWord, l.routes); route++ {
				w.Samples = append(w.Samples, quota.Sample{Key: quota.Key{Dest: int32(route)}, Courier: name, Incarnation: 1, Usage: usage})
			}
			all = append(all, w)
		}
	}
	return all
}

// hearAll has the courier read and take in one packet of each of the words, and tells how long that took.
func hearAll(c *quota.Allocator, now quota.Micros, words []quota.Packet, no uint64) (spent time.Duration, err error) {
	for _, w := range words {
		for i := range w.Samples {
			w.Samples[i].Sequence = no
		}
		text, err := quota.Encode(w)
		if err != nil {
			return 0, err
		}
		begun := time.Now()
		heard, err := quota.Decode(text)
		if err != nil {
			return 0, fmt.Errorf("a packet that was just written is refused: %w", err)
		}
		c.Handle(now, quota.PacketReceived{Packet: heard})
		spent += time.Since(begun)
	}
	return spent, nil
}

// packetBytes is what the packets among actions hold together, and the largest of them.
func packetBytes(actions []quota.Action) (sum, largest int, err error) {
	for _, action := range actions {
		say, ok := action.(quota.SendPacket)
		if !ok {
			continue
		}
		text, err := quota.Encode(say.Packet)
		if err != nil {
			return 0, 0, err
		}
		sum, largest = sum+len(text), max(largest, len(text))
	}
	return sum, largest, nil
}

func fitSharing(results *Results) error {
	byRoutes := map[string]float64{sizeHeard: usualHeard, sizeOverRoom: 0}
	byRoutesOver := map[string]float64{sizeHeard: usualHeard, sizeOverRoom: 1}
	byHeard := map[string]float64{sizeRoutes: usualRoutes, sizeOverRoom: 0}
	byHeardOver := map[string]float64{sizeRoutes: usualRoutes, sizeOverRoom: 1}
	grows := []slopes.Model{slopes.Linear, slopes.Power}
	bounded := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Power}
	falls := []slopes.Model{slopes.Power}
	return results.FitAll([]Curve{
		{Name: "beat_seconds.routes", Figure: figureSharingTick, About: "a beat of one courier, 100 others heard, all of it kept", Unit: "s", Over: sizeRoutes, Where: byRoutes, Models: grows},
		{Name: "beat_seconds.routes_over_room", Figure: figureSharingTick, About: "a beat of one courier, 100 others heard, more than is kept", Unit: "s", Over: sizeRoutes, Where: byRoutesOver, Models: grows},
		{Name: "beat_seconds.heard", Figure: figureSharingTick, About: "a beat of one courier with 100 routes, all that is heard kept", Unit: "s", Over: sizeHeard, Where: byHeard, Models: grows},
		{Name: "beat_seconds.heard_over_room", Figure: figureSharingTick, About: "a beat of one courier with 100 routes, more heard than is kept", Unit: "s", Over: sizeHeard, Where: byHeardOver, Models: grows},
		{Name: "hear_seconds.heard_over_room", Figure: figureHear, About: "a packet of 10 counts read and taken in, 100 routes", Unit: "s", Over: sizeHeard, Where: byHeardOver, Models: grows},
		{Name: "kept_bytes.routes", Figure: figureKeptBytes, About: "memory of one courier's sharing, 100 others heard, all of it kept", Unit: "bytes", Over: sizeRoutes, Where: byRoutes, Models: grows},
		{Name: "kept_bytes.routes_over_room", Figure: figureKeptBytes, About: "memory of one courier's sharing, 100 others heard, more than is kept", Unit: "bytes", Over: sizeRoutes, Where: byRoutesOver, Models: bounded},
		{Name: "kept_bytes.heard", Figure: figureKeptBytes, About: "memory of one courier's sharing with 100 routes, all that is heard kept", Unit: "bytes", Over: sizeHeard, Where: byHeard, Models: grows},
		{Name: "kept_bytes.heard_over_room", Figure: figureKeptBytes, About: "memory of one courier's sharing with 100 routes, more heard than is kept", Unit: "bytes", Over: sizeHeard, Where: byHeardOver, Models: bounded},
		{Name: "said_bytes.routes_over_room", Figure: figureSaid, About: "said by one courier each beat, 100 others heard", Unit: "bytes", Over: sizeRoutes, Where: byRoutesOver, Models: bounded},
		{Name: "said_bytes.heard_over_room", Figure: figureSaid, About: "said by one courier each beat, 100 routes", Unit: "bytes", Over: sizeHeard, Where: byHeardOver, Models: bounded},
		{Name: "bytes_per_second", Figure: figureBytes, About: "said by each courier of a fleet that shares 10 limits, without headers of UDP", Unit: "bytes/s", Over: sizeCouriers, Models: bounded},
		{Name: "packets_per_second", Figure: figureSaidPackets, About: "said by each courier of a fleet that shares 10 limits", Unit: "packets/s", Over: sizeCouriers, Models: bounded},
		{Name: "cores", Figure: figureCores, About: "processor time of each courier's sharing of 10 limits, packets written and read", Unit: "cores", Over: sizeCouriers, Models: grows},
		{Name: "heard_couriers", Figure: figureHeard, About: "couriers whose use of a limit one knows at an instant", Unit: "couriers", Over: sizeCouriers, Models: bounded},
		{Name: "heard_ratio", Figure: figureHeardOf, About: "the same, of all others", Unit: "ratio", Over: sizeCouriers, Models: falls},
		{Name: "use_ratio", Figure: figureUseKnown, About: "of the others' use of a limit, what a courier has heard of", Unit: "ratio", Over: sizeCouriers, Models: falls},
		{Name: "told_ratio", Figure: figureNotifiedLoad, About: "the load of a limit that the decisions are told, over the true one", Unit: "ratio", Over: sizeCouriers, Models: falls},
	})
}

// checkSharing holds quota to what docs/quota.md promises: bounds on what is kept and said, and never more granted than there is.
func checkSharing(results *Results) error {
	return errors.Join(
		within(results, figureRoutes, sizeRoutes, 1, mostSharedRoutes),
		within(results, figureCounts, sizeRoutes, 1, mostSharedCounts),
		within(results, figureLargest, sizeRoutes, 1, mostPacketBytes),
		within(results, figureOverGranted, sizeCouriers, 0, 0),
		within(results, figureSpoilt, sizeCouriers, 0, 0),
		within(results, figureLeases, sizeCouriers, 1, math.Inf(1)),
		within(results, figureHeard, sizeCouriers, 1, math.Inf(1)),
	)
}

// within tells of a figure that was not counted, or lies outside its bounds at some size.
func within(results *Results, figure, over string, least, most float64) error {
	sizes, figures := results.Values(figure, over, nil)
	if len(figures) == 0 {
		return fmt.Errorf("%s was not counted", figure)
	}
	for i, value := range figures {
		if !(value >= least && value <= most) {
			return fmt.Errorf("%s: %v at %v %s; %v to %v was expected", figure, value, sizes[i], over, least, most)
		}
	}
	return nil
}
