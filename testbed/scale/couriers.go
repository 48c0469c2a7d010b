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

// couriers measures membership: hollow members in one process, the view by itself, and how many starts a full exchange may tell.
func couriersExperiment() Experiment {
	return Experiment{
		Name:    "couriers",
		About:   "membership: packets, bytes, processor time and memory of a member, and how long deaths and returns take to be known",
		Plays:   3,
		Timed:   true,
		Measure: measureCouriers,
		Fit:     fitCouriers,
		Check:   checkCouriers,
	}
}

// Names of sizes.
const (
	sizeMembers   = "members"             // of a hollow fleet
	sizeCompared  = "members_at_pace_1_s" // of one that is played at the usual pace, for comparison
	sizeNames     = "names"               // that a view hears of
	sizeForgotten = "forgotten"           // 1 where these are more than a view keeps
)

// Figures of a hollow fleet. Rates and times are those of a pace of 1 s: what was counted a pace, and paces that passed.
const (
	figurePackets       = "packets_per_s"
	figurePacketBytes   = "packet_bytes_per_s"
	figureExchangeBytes = "exchange_bytes_per_s"
	figureExchanges     = "exchanges_per_s"
	figureExchangeSize  = "exchange_bytes"
	figureProcessor     = "processor_cores"
	figureHeap          = "heap_bytes"
	figureBusy          = "machine_share" // of the machine's cores that the whole process used: near 1 the process is the limit
	figurePace          = "pace_s"        // at which it was played
	figureWhole         = "whole_s"
	figureDeathHalf     = "death_known_half_s"
	figureDeathAll      = "death_known_all_s"
	figureZoneDeath     = "zone_death_known_all_s"
	figureZoneReturn    = "zone_return_known_all_s"
	figureFewer         = "fewer_reckoned"
)

// fleetSize is one hollow fleet to be played.
type fleetSize struct {
	members  int
	pace     time.Duration
	compared bool // recorded apart, to show that figures by the pace do not go by its length
}

// Paces are shorter than the usual second, as nothing in a member but the view's own waits after a standstill goes by seconds. The
// largest fleet has a longer one: with 300 members at 250 ms, the joining of all took more processor time than eight cores had.
const (
	quickPace = 50 * time.Millisecond
	fullPace  = 250 * time.Millisecond
	largePace = 500 * time.Millisecond
	usualPace = time.Second
)

func fleetSizes(quick bool) []fleetSize {
	if quick {
		return []fleetSize{{members: 10, pace: quickPace}, {members: 30, pace: quickPace}}
	}
	return []fleetSize{{members: 30, pace: fullPace}, {members: 100, pace: fullPace}, {members: 300, pace: largePace}}
}

// comparedFleet is played at the usual pace, in full runs and once.
var comparedFleet = fleetSize{members: 30, pace: usualPace, compared: true}

// Full exchanges of memberlist: each member begins one with another every exchangePaces, later in larger fleets, and begins with a
// wait of its own below that of a small fleet.
const (
	exchangePaces   = 15
	exchangeSmallUp = 32 // members up to which it is not later
)

// exchangePeriod is the paces in which each member of a fleet begins one full exchange.
func exchangePeriod(members int) int {
	if members <= exchangeSmallUp {
		return exchangePaces
	}
	doublings := math.Ceil(math.Log2(float64(members) / exchangeSmallUp))
	return exchangePaces * (1 + int(doublings))
}

// The planned fleet has 25 zones; of a small one, four members at least die at once.
const (
	zones       = 25
	zoneAtLeast = 4
)

func measureCouriers(ctx context.Context, play *Play) error {
	sizes := fleetSizes(play.Quick)
	if !play.Quick && play.Number == 0 {
		sizes = append(sizes, comparedFleet)
	}
	for _, size := range sizes {
		play.Progress("%d members at a pace of %v", size.members, size.pace)
		if err := measureFleet(ctx, play, size); err != nil {
			return fmt.Errorf("%d members: %w", size.members, err)
		}
	}
	play.Miss("members: more than 300 in one process", "not played: while all join, their full exchanges take more processor time than the machine has")
	play.Progress("the view by itself")
	if err := measureViews(ctx, play); err != nil {
		return err
	}
	play.Progress("full exchanges of starts")
	return measureExchangeLimit(ctx, play)
}

// measureFleet brings up a hollow fleet, observes it at rest, and has one member and then a zone die.
func measureFleet(ctx context.Context, play *Play, size fleetSize) error {
	fleet := newHollowFleet(size.members, size.pace, play.Seed)
	defer fleet.close()
	heapBefore := heapInUse()
	if err := fleet.start(ctx); err != nil {
		return err
	}
	whole, err := fleet.awaitWhole(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, exchangePaces*size.pace); err != nil {
		return err
	}
	load, err := fleet.observe(ctx, exchangePeriod(size.members))
	if err != nil {
		return err
	}
	heap := float64(heapInUse()) - float64(heapBefore)
	report := recorderOf(play, size)
	report(figurePace, size.pace.Seconds())
	report(figureWhole, inPaces(whole.all, size.pace))
	report(figureHeap, heap/float64(size.members))
	reportLoad(report, load, size)
	if err := measureDeaths(ctx, fleet, report); err != nil {
		return err
	}
	report(figureFewer, float64(fleet.fewer))
	return nil
}

type recorder func(figure string, value float64)

func recorderOf(play *Play, size fleetSize) recorder {
	name := sizeMembers
	if size.compared {
		name = sizeCompared
	}
	sizes := map[string]float64{name: float64(size.members)}
	return func(figure string, value float64) { play.Report(sizes, figure, value) }
}

// inPaces is a span in paces, which are seconds at the usual pace.
func inPaces(span, pace time.Duration) float64 { return span.Seconds() / pace.Seconds() }

// recordLoad messages what one member took in a pace.
func reportLoad(report recorder, load load, size fleetSize) {
	memberPaces := float64(size.members) * inPaces(load.span, size.pace)
	report(figurePackets, float64(load.sent.packets)/memberPaces)
	report(figurePacketBytes, float64(load.sent.packetBytes)/memberPaces)
	report(figureExchangeBytes, float64(load.sent.streamBytes)/memberPaces)
	report(figureExchanges, float64(load.sent.streams)/memberPaces)
	if load.sent.streams > 0 {
		report(figureExchangeSize, float64(load.sent.streamBytes)/float64(load.sent.streams))
	}
	report(figureProcessor, load.processor.Seconds()/memberPaces)
	report(figureBusy, load.processor.Seconds()/load.span.Seconds()/float64(runtime.NumCPU()))
}

// measureDeaths has one member die and come back, and then a zone.
func measureDeaths(ctx context.Context, fleet *hollowFleet, report recorder) error {
	size := len(fleet.members)
	one, err := dieAndReturn(ctx, fleet, []int{size / 2})
	if err != nil {
		return err
	}
	report(figureDeathHalf, inPaces(one.died.half, fleet.pace))
	report(figureDeathAll, inPaces(one.died.all, fleet.pace))
	var zone []int
	for i := range max(zoneAtLeast, size/zones) {
		zone = append(zone, size-1-i)
	}
	many, err := dieAndReturn(ctx, fleet, zone)
	if err != nil {
		return err
	}
	report(figureZoneDeath, inPaces(many.died.all, fleet.pace))
	report(figureZoneReturn, inPaces(many.returned.all, fleet.pace))
	return nil
}

// lifecycle is how long a death and the return after it took to be known.
type lifecycle struct{ died, returned spread }

func dieAndReturn(ctx context.Context, fleet *hollowFleet, dead []int) (lifecycle, error) {
	fleet.kill(dead)
	died, err := fleet.awaitDeaths(ctx, dead)
	if err != nil {
		return lifecycle{}, err
	}
	if err := fleet.start(ctx); err != nil {
		return lifecycle{}, err
	}
	returned, err := fleet.awaitWhole(ctx)
	return lifecycle{died, returned}, err
}

func fitCouriers(results *Results) error {
	fleet := func(name, figure, unit, about string, models ...slopes.Model) Curve {
		return Curve{Name: name, Figure: figure, About: about, Unit: unit, Over: sizeMembers, Models: models}
	}
	view := func(name, figure, unit, about string, forgotten float64) Curve {
		return Curve{Name: "view." + name, Figure: figure, About: about, Unit: unit, Over: sizeNames,
			Where: map[string]float64{sizeForgotten: forgotten}, Models: []slopes.Model{slopes.Linear, slopes.Power}}
	}
	const constant, linear, logarithm, power = slopes.Constant, slopes.Linear, slopes.Logarithm, slopes.Power
	tellPaces(results)
	return results.FitAll([]Curve{
		fleet("packets", figurePackets, "packets/s", "packets that a member sends at a pace of 1 s", constant, logarithm, linear, power),
		fleet("packet_bytes", figurePacketBytes, "bytes/s", "bytes of these packets, headers of IP and UDP apart", logarithm, linear, power),
		fleet("exchange_bytes", figureExchangeBytes, "bytes/s", "bytes of full exchanges, both directions, a member", linear, power),
		fleet("exchange_size", figureExchangeSize, "bytes", "one full exchange, both directions", linear, power),
		fleet("processor", figureProcessor, "cores", "processor time of a member at a pace of 1 s", linear, power),
		fleet("heap", figureHeap, "bytes", "heap of a member", linear, power),
		fleet("death.half", figureDeathHalf, "s", "from a death until half of the members know of it, pace 1 s", constant, logarithm),
		fleet("death.all", figureDeathAll, "s", "from a death until all members know of it, pace 1 s", constant, logarithm),
		fleet("zone_death.all", figureZoneDeath, "s", "from the death of a zone at once until all know all of it, pace 1 s", constant, logarithm),
		fleet("zone_return.all", figureZoneReturn, "s", "from the return of a zone until all hear all, pace 1 s", constant, logarithm, linear),
		view("word", figureWord, "s", "the view: one word of the detector, up to the names that it keeps", 0),
		view("word.beyond", figureWord, "s", "the view: one word of the detector, of more names than it keeps", 1),
		view("tick", figureTick, "s", "the view: one tick, up to the names that it keeps", 0),
		view("look", figureLook, "s", "the view: one picture of it, up to the names that it keeps", 0),
		view("heap", figureViewHeap, "bytes", "the view: heap, up to the names that it keeps", 0),
	})
}

// tellPaces notes how figures by the pace compare between the usual pace and the shorter one that was played.
func tellPaces(results *Results) {
	at := map[string]float64{sizeMembers: float64(comparedFleet.members)}
	var parts []string
	for _, figure := range []string{figurePackets, figurePacketBytes, figureExchangeBytes, figureProcessor, figureHeap, figureDeathAll, figureZoneDeath} {
		_, usual := results.Values(figure, sizeCompared, nil)
		_, short := results.Values(figure, sizeMembers, at)
		if len(usual) == 0 || len(short) == 0 {
			continue
		}
		if stat.Mean(usual, nil) <= 0 || stat.Mean(short, nil) <= 0 {
			parts = append(parts, figure+" not told, as a reading lay at or below nought")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.2f", figure, stat.Mean(usual, nil)/stat.Mean(short, nil)))
	}
	results.Miss("every size at a pace of 1 s", fmt.Sprintf("played at shorter paces and told by the pace; %d members at 1 s over the same at the pace played: %s",
		comparedFleet.members, strings.Join(parts, ", ")))
}

// Bounds of Check on what a member sends in a pace. At rest it probes one other, answers one probe and gossips some words; a
// stand-in that loses what is sent, or a storm that does not end, lies far outside.
const (
	leastPackets = 0.5
	mostPackets  = 40
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
		if packets[i] < leastPackets || packets[i] > mostPackets {
			faults = append(faults, fmt.Errorf("%v members: %.2f packets a pace and member, %v to %v were expected", size, packets[i], leastPackets, mostPackets))
		}
	}
	sizes, exchanges := results.Values(figureExchanges, sizeMembers, nil)
	for i, size := range sizes {
		if exchanges[i] == 0 {
			faults = append(faults, fmt.Errorf("%v members: no full exchange was counted", size))
		}
	}
	sizes, fewer := results.Values(figureFewer, sizeMembers, nil)
	for i, size := range sizes {
		if fewer[i] != 0 {
			faults = append(faults, fmt.Errorf("%v members: at %v looks a member reckoned with fewer", size, fewer[i]))
		}
	}
	return errors.Join(faults...)
}
