package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// sideBySide compares hollow members with real couriers under load, before any figure of hollow ones is believed.
func sideBySideExperiment() Experiment {
	return Experiment{
		Name:             "sidebyside",
		About:            "hollow members beside real courier processes: packets, bytes, processor time and memory of membership, as ratios",
		Plays:            3,
		Timed:            true,
		UsesRealCouriers: true,
		Measure:          measureSideBySide,
		Fit:              fitSideBySide,
		Check:            checkSideBySide,
	}
}

// Figures of a member a second at the pace played, hollow and real, and hollow over real. Bytes are of packets and full exchanges
// together; processor time and memory of real couriers are those with membership less those without.
const (
	figureHollowPackets   = "hollow_packets_per_s"
	figureHollowBytes     = "hollow_bytes_per_s"
	figureHollowProcessor = "hollow_processor_cores"
	figureHollowMemory    = "hollow_heap_bytes"
	figureRealPackets     = "real_packets_per_s"
	figureRealBytes       = "real_bytes_per_s"
	figureRealProcessor   = "real_processor_cores"
	figureRealMemory      = "real_resident_bytes"
	ratioPackets          = "ratio_packets"
	ratioBytes            = "ratio_bytes"
	ratioProcessor        = "ratio_processor"
	ratioMemory           = "ratio_memory"
)

// How the two sides are played. Both fleets are small enough for a full exchange of each member every exchangePaces.
const (
	comparedPace    = 200 * time.Millisecond
	comparedPeriods = 2                            // of full exchanges, over which both are observed
	joinSpan        = time.Second                  // for real couriers to find each other
	firstExchanges  = exchangePaces * comparedPace // from which on full exchanges come evenly
	aloneSettle     = time.Second                  // for couriers without membership
	aloneObserved   = 4 * time.Second
	observedPaces   = comparedPeriods * exchangePaces
)

func comparedSizes(quick bool) []int {
	if quick {
		return []int{10}
	}
	return []int{10, 30}
}

func measureSideBySide(ctx context.Context, play *Play) error {
	if play.Quick {
		play.Miss("real couriers", "a quick run plays the hollow side only, as its verdict is to be the same on any machine")
	}
	for _, size := range comparedSizes(play.Quick) {
		report := func(figure string, value float64) {
			play.Report(map[string]float64{sizeCouriers: float64(size)}, figure, value)
		}
		play.Progress("%d hollow members", size)
		hollow, err := measureHollow(ctx, play, size)
		if err != nil {
			return fmt.Errorf("%d hollow members: %w", size, err)
		}
		hollow.report(report, figureHollowPackets, figureHollowBytes, figureHollowProcessor, figureHollowMemory)
		if play.Quick {
			continue
		}
		play.Progress("%d real couriers, with membership and without", size)
		actual, err := measureReal(ctx, play, size)
		if err != nil {
			return fmt.Errorf("%d real couriers: %w", size, err)
		}
		actual.report(report, figureRealPackets, figureRealBytes, figureRealProcessor, figureRealMemory)
		reportRatios(play, report, hollow, actual)
	}
	return nil
}

// memberCost is what membership takes of one member.
type memberCost struct {
	packets, bytes float64 // a second
	processor      float64 // cores
	memory         float64 // bytes
}

func (c memberCost) report(report recorder, packets, bytes, processor, memory string) {
	report(packets, c.packets)
	report(bytes, c.bytes)
	report(processor, c.processor)
	report(memory, c.memory)
}

func measureHollow(ctx context.Context, play *Play, size int) (memberCost, error) {
	pace := comparedPace
	if play.Quick {
		pace = quickPace
	}
	fleet := newHollowFleet(size, pace, play.Seed)
	defer fleet.close()
	heapBefore := heapInUse()
	if err := fleet.start(ctx); err != nil {
		return memberCost{}, err
	}
	if _, err := fleet.awaitWhole(ctx); err != nil {
		return memberCost{}, err
	}
	if err := sleep(ctx, exchangePaces*pace); err != nil {
		return memberCost{}, err
	}
	load, err := fleet.observe(ctx, observedPaces)
	if err != nil {
		return memberCost{}, err
	}
	memberSeconds := float64(size) * load.span.Seconds()
	return memberCost{
		packets:   float64(load.sent.packets) / memberSeconds,
		bytes:     float64(load.sent.packetBytes+load.sent.streamBytes) / memberSeconds,
		processor: load.processor.Seconds() / memberSeconds,
		memory:    (float64(heapInUse()) - float64(heapBefore)) / float64(size),
	}, nil
}

// measureReal plays couriers with membership and without it, and returns the difference.
func measureReal(ctx context.Context, play *Play, size int) (memberCost, error) {
	fleet := realFleet{binary: play.Courier, size: size, seed: play.Seed, membership: true, pace: comparedPace, settle: joinSpan + firstExchanges,
		observe: observedPaces * comparedPace}
	with, err := fleet.play(ctx)
	if err != nil {
		return memberCost{}, fmt.Errorf("with membership: %w", err)
	}
	fleet.membership, fleet.settle, fleet.observe = false, aloneSettle, aloneObserved
	without, err := fleet.play(ctx)
	if err != nil {
		return memberCost{}, fmt.Errorf("without membership: %w", err)
	}
	seconds := func(load realLoad) float64 { return float64(size) * load.span.Seconds() }
	return memberCost{
		packets:   float64(with.packets) / seconds(with),
		bytes:     float64(with.bytes) / seconds(with),
		processor: with.processor.Seconds()/seconds(with) - without.processor.Seconds()/seconds(without),
		memory:    float64(with.resident-without.resident) / float64(size),
	}, nil
}

func reportRatios(play *Play, report recorder, hollow, actual memberCost) {
	for _, ratio := range []struct {
		name           string
		hollow, actual float64
	}{
		{ratioPackets, hollow.packets, actual.packets},
		{ratioBytes, hollow.bytes, actual.bytes},
		{ratioProcessor, hollow.processor, actual.processor},
		{ratioMemory, hollow.memory, actual.memory},
	} {
		if ratio.actual <= 0 {
			play.Miss(ratio.name, "in a play real couriers took no more with membership than without")
			continue
		}
		report(ratio.name, ratio.hollow/ratio.actual)
	}
}

// fitSideBySide fits no curve, as there are two sizes; it words the verdict.
func fitSideBySide(results *Results) error {
	var parts []string
	for _, ratio := range []struct{ figure, about string }{
		{ratioPackets, "packets"}, {ratioBytes, "bytes"}, {ratioProcessor, "processor time"}, {ratioMemory, "heap over resident memory"},
	} {
		_, values := results.Values(ratio.figure, sizeCouriers, nil)
		if len(values) == 0 {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.2f to %.2f", ratio.about, slices.Min(values), slices.Max(values)))
	}
	results.Verified = fmt.Sprintf("hollow over real, at 10 and 30 couriers under load: %s; packets and bytes are held to %.2f to %.2f, the others are told",
		strings.Join(parts, ", "), leastRatio, mostRatio)
	return nil
}

// Bounds of what is counted, hollow over real.
const (
	leastRatio = 0.8
	mostRatio  = 1.25
)

func checkSideBySide(results *Results) error {
	return errors.Join(checkHollow(results), checkRatios(results))
}

// checkHollow: the hollow side talks as a member does, whether or not real couriers were played.
func checkHollow(results *Results) error {
	sizes, packets := results.Values(figureHollowPackets, sizeCouriers, nil)
	_, bytes := results.Values(figureHollowBytes, sizeCouriers, nil)
	if len(sizes) == 0 {
		return errors.New("no hollow member was observed")
	}
	for i, size := range sizes {
		if packets[i] <= 0 || bytes[i] <= packets[i] {
			return fmt.Errorf("%v hollow members: %.2f packets and %.0f bytes a second each", size, packets[i], bytes[i])
		}
	}
	return nil
}

// checkRatios: where real couriers were played, what hollow members send is what they send.
func checkRatios(results *Results) error {
	sizes, _ := results.Values(figureRealPackets, sizeCouriers, nil)
	var faults []error
	for _, figure := range []string{ratioPackets, ratioBytes} {
		_, ratios := results.Values(figure, sizeCouriers, nil)
		if len(ratios) != len(sizes) {
			faults = append(faults, fmt.Errorf("%d plays of real couriers, and %s of %d", len(sizes), figure, len(ratios)))
		}
		for _, ratio := range ratios {
			if ratio < leastRatio || ratio > mostRatio {
				faults = append(faults, fmt.Errorf("%s: hollow over real is %.2f, %v to %v was expected", figure, ratio, leastRatio, mostRatio))
			}
		}
	}
	return errors.Join(faults...)
}
