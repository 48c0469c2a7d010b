package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"pineport/testbed/slopes"
)

// couriersExperiment measures membership: fleets of hollow members in one process, the membership view (package membership without a network), and
// how many incarnations a full exchange can carry.
func couriersExperiment() Experiment {
	return Experiment{
		Name:    "couriers",
		About:   "membership: packets, bytes, processor time and memory of a member, and the time until all members know of a death or a return",
		Plays:   3,
		Timed:   true,
		Measure: measureCouriers,
		Fit:     fitCouriers,
		Check:   checkCouriers,
	}
}

// Names of the sizes of this experiment.
const (
	sizeMembers          = "members"             // members of a hollow fleet
	sizeCompared         = "members_at_pace_1_s" // members of the fleet that is played at the default interval, for comparison
	sizeNames            = "names"               // couriers that are reported to a view
	sizeViewOverCapacity = "forgotten"           // 1 if there are more names than a view keeps, otherwise 0
)

// Figures of a hollow fleet. Rates are counted per heartbeat interval, and times are measured in heartbeat intervals, so that
// the values are those of the default interval of 1 s.
const (
	figurePackets        = "packets_per_s"
	figurePacketBytes    = "packet_bytes_per_s"
	figureExchangeBytes  = "exchange_bytes_per_s"
	figureExchanges      = "exchanges_per_s"
	figureExchangeSize   = "exchange_bytes"
	figureProcessor      = "processor_cores"
	figureHeap           = "heap_bytes"
	figureMachineShare   = "machine_share" // share of all cores that this process used; near 1, the machine limits the result
	figureInterval       = "pace_s"        // heartbeat interval of the play
	figureComplete       = "whole_s"
	figureDeathHalf      = "death_known_half_s"
	figureDeathAll       = "death_known_all_s"
	figureZoneDeath      = "zone_death_known_all_s"
	figureZoneReturn     = "zone_return_known_all_s"
	figureUnderestimates = "fewer_reckoned"
)

// fleetSize is a hollow fleet to be played.
type fleetSize struct {
	members      int
	interval     time.Duration
	isComparison bool // recorded under sizeCompared, to show that figures per interval do not depend on its length
}

// Heartbeat intervals are shorter than the default. That does not distort the figures, because all timers of a member scale
// with the interval, except those of package membership that apply after a pause of the process (maxTickDelay, recoveryTime).
// The largest fleet has a longer interval: 300 joining members at 250 ms need more processor time than eight cores have.
const (
	quickInterval   = 50 * time.Millisecond
	fullInterval    = 250 * time.Millisecond
	largeInterval   = 500 * time.Millisecond
	defaultInterval = time.Second
)

func fleetSizes(quick bool) []fleetSize {
	if quick {
		return []fleetSize{{members: 10, interval: quickInterval}, {members: 30, interval: quickInterval}}
	}
	return []fleetSize{{members: 30, interval: fullInterval}, {members: 100, interval: fullInterval}, {members: 300, interval: largeInterval}}
}

// comparedFleet is played at the default interval, once in each full run.
var comparedFleet = fleetSize{members: 30, interval: defaultInterval, isComparison: true}

// Full exchanges (push/pull) of memberlist: each member begins one with another member every exchangeIntervals heartbeat
// intervals, and less often in larger fleets. Its first one follows after a random delay of less than exchangeIntervals.
const (
	exchangeIntervals = 15
	smallFleet        = 32 // largest fleet with a period of exchangeIntervals
)

// exchangePeriod returns the number of heartbeat intervals between two full exchanges of a member.
func exchangePeriod(members int) int {
	if members <= smallFleet {
		return exchangeIntervals
	}
	doublings := math.Ceil(math.Log2(float64(members) / smallFleet))
	return exchangeIntervals * (1 + int(doublings))
}

// The fleet in the plan of testbed/capacity has 25 zones. In small fleets, a zone has at least four members.
const (
	zoneCount      = 25
	minZoneMembers = 4
)

func measureCouriers(ctx context.Context, play *Play) error {
	sizes := fleetSizes(play.Quick)
	if !play.Quick && play.Number == 0 {
		sizes = append(sizes, comparedFleet)
	}
	for _, size := range sizes {
		play.Progress("%d members with a heartbeat interval of %v", size.members, size.interval)
		if err := measureFleet(ctx, play, size); err != nil {
			return fmt.Errorf("%d members: %w", size.members, err)
		}
	}
	play.ReportMissing("members: more than 300 in one process", "not played: while all members join, their full exchanges need more processor time than eight cores have")
	play.Progress("the membership view alone")
	if err := measureViews(ctx, play); err != nil {
		return err
	}
	play.Progress("full exchanges of incarnations")
	return measureExchangeLimit(ctx, play)
}

// measureFleet starts a hollow fleet, observes it at rest, and kills and restarts first one member and then a zone.
func measureFleet(ctx context.Context, play *Play, size fleetSize) error {
	fleet := newHollowFleet(size.members, size.interval, play.Seed)
	defer fleet.close()
	heapBefore := heapInUse()
	if err := fleet.start(ctx); err != nil {
		return err
	}
	complete, err := fleet.awaitComplete(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, exchangeIntervals*size.interval); err != nil {
		return err
	}
	load, err := fleet.observe(ctx, exchangePeriod(size.members))
	if err != nil {
		return err
	}
	heap := float64(heapInUse()) - float64(heapBefore)
	report := recorderOf(play, size)
	report(figureInterval, size.interval.Seconds())
	report(figureComplete, inIntervals(complete.all, size.interval))
	report(figureHeap, heap/float64(size.members))
	reportLoad(report, load, size)
	if err := measureDeaths(ctx, fleet, report); err != nil {
		return err
	}
	report(figureUnderestimates, float64(fleet.underestimates))
	return nil
}

type recorder func(figure string, value float64)

func recorderOf(play *Play, size fleetSize) recorder {
	name := sizeMembers
	if size.isComparison {
		name = sizeCompared
	}
	sizes := map[string]float64{name: float64(size.members)}
	return func(figure string, value float64) { play.Report(sizes, figure, value) }
}

// inIntervals converts a duration to heartbeat intervals, which equal seconds at the default interval.
func inIntervals(span, interval time.Duration) float64 { return span.Seconds() / interval.Seconds() }

// reportLoad reports the load of one member per heartbeat interval.
func reportLoad(report recorder, load load, size fleetSize) {
	memberIntervals := float64(size.members) * inIntervals(load.span, size.interval)
	report(figurePackets, float64(load.sent.packets)/memberIntervals)
	report(figurePacketBytes, float64(load.sent.packetBytes)/memberIntervals)
	report(figureExchangeBytes, float64(load.sent.streamBytes)/memberIntervals)
	report(figureExchanges, float64(load.sent.streams)/memberIntervals)
	if load.sent.streams > 0 {
		report(figureExchangeSize, float64(load.sent.streamBytes)/float64(load.sent.streams))
	}
	report(figureProcessor, load.processor.Seconds()/memberIntervals)
	report(figureMachineShare, load.processor.Seconds()/load.span.Seconds()/float64(runtime.NumCPU()))
}

// measureDeaths kills and restarts one member, and then a zone.
func measureDeaths(ctx context.Context, fleet *hollowFleet, report recorder) error {
	size := len(fleet.members)
	memberTimes, err := killAndRestart(ctx, fleet, []int{size / 2})
	if err != nil {
		return err
	}
	report(figureDeathHalf, inIntervals(memberTimes.died.half, fleet.interval))
	report(figureDeathAll, inIntervals(memberTimes.died.all, fleet.interval))
	var zone []int
	for i := range max(minZoneMembers, size/zoneCount) {
		zone = append(zone, size-1-i)
	}
	zoneTimes, err := killAndRestart(ctx, fleet, zone)
	if err != nil {
		return err
	}
	report(figureZoneDeath, inIntervals(zoneTimes.died.all, fleet.interval))
	report(figureZoneReturn, inIntervals(zoneTimes.returned.all, fleet.interval))
	return nil
}

// deathAndReturn holds the times until members know of a death and of the return after it.
type deathAndReturn struct{ died, returned spreadTimes }

func killAndRestart(ctx context.Context, fleet *hollowFleet, dead []int) (deathAndReturn, error) {
	fleet.kill(dead)
	died, err := fleet.awaitDeaths(ctx, dead)
	if err != nil {
		return deathAndReturn{}, err
	}
	if err := fleet.start(ctx); err != nil {
		return deathAndReturn{}, err
	}
	returned, err := fleet.awaitComplete(ctx)
	return deathAndReturn{died, returned}, err
}

func fitCouriers(results *Results) error {
	fleet := func(name, figure, unit, about string, models ...slopes.Model) Curve {
		return Curve{Name: name, Figure: figure, About: about, Unit: unit, Over: sizeMembers, Models: models}
	}
	view := func(name, figure, unit, about string, forgotten float64) Curve {
		return Curve{Name: "view." + name, Figure: figure, About: about, Unit: unit, Over: sizeNames,
			Where: map[string]float64{sizeViewOverCapacity: forgotten}, Models: []slopes.Model{slopes.Linear, slopes.Power}}
	}
	const constant, linear, logarithm, power = slopes.Constant, slopes.Linear, slopes.Logarithm, slopes.Power
	reportIntervalRatios(results)
	return results.FitAll([]Curve{
		fleet("packets", figurePackets, "packets/s", "packets sent by a member at a heartbeat interval of 1 s", constant, logarithm, linear, power),
		fleet("packet_bytes", figurePacketBytes, "bytes/s", "bytes of these packets, without IP and UDP headers", logarithm, linear, power),
		fleet("exchange_bytes", figureExchangeBytes, "bytes/s", "bytes of full exchanges in both directions, per member", linear, power),
		fleet("exchange_size", figureExchangeSize, "bytes", "one full exchange, both directions", linear, power),
		fleet("processor", figureProcessor, "cores", "processor time of a member at a heartbeat interval of 1 s", linear, power),
		fleet("heap", figureHeap, "bytes", "heap of a member", linear, power),
		fleet("death.half", figureDeathHalf, "s", "from a death until half of the members know of it, heartbeat interval 1 s", constant, logarithm),
		fleet("death.all", figureDeathAll, "s", "from a death until all members know of it, heartbeat interval 1 s", constant, logarithm),
		fleet("zone_death.all", figureZoneDeath, "s", "from the simultaneous death of a zone until all members know of all deaths, heartbeat interval 1 s", constant, logarithm),
		fleet("zone_return.all", figureZoneReturn, "s", "from the return of a zone until all members hear from all others, heartbeat interval 1 s", constant, logarithm, linear),
		view("word", figureReport, "s", "the view: one report of the failure detector, no more names than it keeps", 0),
		view("word.beyond", figureReport, "s", "the view: one report of the failure detector, more names than it keeps", 1),
		view("tick", figureTick, "s", "the view: one tick, no more names than it keeps", 0),
		view("look", figureSnapshot, "s", "the view: one snapshot, no more names than it keeps", 0),
		view("heap", figureViewHeap, "bytes", "the view: heap, no more names than it keeps", 0),
	})
}

// reportIntervalRatios records the ratios of the figures at the default heartbeat interval to those at the shorter one. They
// are part of a note in the list of missing figures, which explains why sizes were not played at the default interval.
func reportIntervalRatios(results *Results) {
	at := map[string]float64{sizeMembers: float64(comparedFleet.members)}
	var parts []string
	for _, figure := range []string{figurePackets, figurePacketBytes, figureExchangeBytes, figureProcessor, figureHeap, figureDeathAll, figureZoneDeath} {
		_, atDefault := results.Values(figure, sizeCompared, nil)
		_, atShort := results.Values(figure, sizeMembers, at)
		if len(atDefault) == 0 || len(atShort) == 0 {
			continue
		}
		if stat.Mean(atDefault, nil) <= 0 || stat.Mean(atShort, nil) <= 0 {
			parts = append(parts, figure+" omitted, as a measured value was zero or negative")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.2f", figure, stat.Mean(atDefault, nil)/stat.Mean(atShort, nil)))
	}
	results.AddMissing("every size at a heartbeat interval of 1 s", fmt.Sprintf("played at shorter intervals and reported per interval; ratio of %d members at 1 s to the same at the shorter interval: %s",
		comparedFleet.members, strings.Join(parts, ", ")))
}

// Bounds on the packets that a member sends per heartbeat interval. At rest, a member probes one other member, answers one
// probe and gossips a few updates. The bounds are wide: they only detect a stand-in that loses packets, and gossip that never
// ends.
const (
	minPackets = 0.5
	maxPackets = 40
)

func checkCouriers(results *Results) error {
	return errors.Join(checkFleets(results), checkViews(results), checkExchangeLimit(results))
}

func checkFleets(results *Results) error {
	var faults []error
	sizes, packets := results.Values(figurePackets, sizeMembers, nil)
	if len(sizes) == 0 {
		return errors.New("no fleet was observed")
	}
	for i, size := range sizes {
		if packets[i] < minPackets || packets[i] > maxPackets {
			faults = append(faults, fmt.Errorf("%v members: %.2f packets per heartbeat interval and member, want %v to %v", size, packets[i], minPackets, maxPackets))
		}
	}
	sizes, exchanges := results.Values(figureExchanges, sizeMembers, nil)
	for i, size := range sizes {
		if exchanges[i] == 0 {
			faults = append(faults, fmt.Errorf("%v members: no full exchange was counted", size))
		}
	}
	sizes, fewer := results.Values(figureUnderestimates, sizeMembers, nil)
	for i, size := range sizes {
		if fewer[i] != 0 {
			faults = append(faults, fmt.Errorf("%v members: in %v snapshots a member assumed fewer couriers than the fleet has", size, fewer[i]))
		}
	}
	return errors.Join(faults...)
}
