package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// sideBySideExperiment compares hollow members with real couriers under load, to validate the figures of hollow members.
func sideBySideExperiment() Experiment {
	return Experiment{
		Name:             "sidebyside",
		About:            "hollow members compared with real courier processes: ratios of packets, bytes, processor time and memory of membership",
		Plays:            3,
		Timed:            true,
		UsesRealCouriers: true,
		Measure:          measureSideBySide,
		Fit:              fitSideBySide,
		Check:            checkSideBySide,
	}
}

// Figures of one member at the heartbeat interval of the play: hollow, real, and the ratio of hollow to real. Packets and
// bytes are rates per second.
// Bytes include packets and full exchanges. Processor time and memory of real couriers are the differences between couriers
// with membership and couriers without.
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

// Settings of both sides. Both fleets are so small that each member begins a full exchange every
// exchangeIntervals heartbeat intervals.
const (
	comparedInterval   = 200 * time.Millisecond
	comparedPeriods    = 2                                    // periods of full exchanges over which both sides are observed
	joinTime           = time.Second                          // time for real couriers to join each other
	firstExchangesTime = exchangeIntervals * comparedInterval // time until full exchanges occur at a steady rate
	baselineSettle     = time.Second                          // settling time of couriers without membership
	baselineObserve    = 4 * time.Second
	observedIntervals  = comparedPeriods * exchangeIntervals
)

func comparedSizes(quick bool) []int {
	if quick {
		return []int{10}
	}
	return []int{10, 30}
}

func measureSideBySide(ctx context.Context, play *Play) error {
	if play.Quick {
		play.ReportMissing("real couriers", "a quick run plays the hollow side only, so that its verdict does not depend on the machine")
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

// memberCost is the cost of membership for one member.
type memberCost struct {
	packets, bytes float64 // per second
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
	interval := comparedInterval
	if play.Quick {
		interval = quickInterval
	}
	fleet := newHollowFleet(size, interval, play.Seed)
	defer fleet.close()
	heapBefore := heapInUse()
	if err := fleet.start(ctx); err != nil {
		return memberCost{}, err
	}
	if _, err := fleet.awaitComplete(ctx); err != nil {
		return memberCost{}, err
	}
	if err := sleep(ctx, exchangeIntervals*interval); err != nil {
		return memberCost{}, err
	}
	load, err := fleet.observe(ctx, observedIntervals)
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

// measureReal plays real couriers with and without membership and returns the cost of membership.
func measureReal(ctx context.Context, play *Play, size int) (memberCost, error) {
	fleet := realFleet{binary: play.Courier, size: size, seed: play.Seed, membership: true, interval: comparedInterval, settle: joinTime + firstExchangesTime,
		observe: observedIntervals * comparedInterval}
	with, err := fleet.play(ctx)
	if err != nil {
		return memberCost{}, fmt.Errorf("with membership: %w", err)
	}
	fleet.membership, fleet.settle, fleet.observe = false, baselineSettle, baselineObserve
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
			play.ReportMissing(ratio.name, "in one play, real couriers used no more with membership than without")
			continue
		}
		report(ratio.name, ratio.hollow/ratio.actual)
	}
}

// fitSideBySide fits no curve, as there are only two sizes. It sets Results.Verified.
func fitSideBySide(results *Results) error {
	var parts []string
	for _, ratio := range []struct{ figure, about string }{
		{ratioPackets, "packets"}, {ratioBytes, "bytes"}, {ratioProcessor, "processor time"}, {ratioMemory, "heap divided by resident memory"},
	} {
		_, values := results.Values(ratio.figure, sizeCouriers, nil)
		if len(values) == 0 {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.2f to %.2f", ratio.about, slices.Min(values), slices.Max(values)))
	}
	results.Verified = fmt.Sprintf("ratio of hollow to real, at 10 and 30 couriers under load: %s; packets and bytes must be within %.2f to %.2f, the others are for information",
		strings.Join(parts, ", "), minRatio, maxRatio)
	return nil
}

// Bounds of the ratios of hollow to real packets and bytes.
const (
	minRatio = 0.8
	maxRatio = 1.25
)

func checkSideBySide(results *Results) error {
	return errors.Join(checkHollow(results), checkRatios(results))
}

// checkHollow fails if hollow members send nothing, or bytes that are implausible for the packets. It applies to quick runs too.
func checkHollow(results *Results) error {
	sizes, packets := results.Values(figureHollowPackets, sizeCouriers, nil)
	_, bytes := results.Values(figureHollowBytes, sizeCouriers, nil)
	if len(sizes) == 0 {
		return errors.New("no hollow member was observed")
	}
	for i, size := range sizes {
		if packets[i] <= 0 || bytes[i] <= packets[i] {
			return fmt.Errorf("%v hollow members: implausible %.2f packets and %.0f bytes per second and member", size, packets[i], bytes[i])
		}
	}
	return nil
}

// checkRatios fails if hollow members and real couriers, where played, send clearly different numbers of packets or bytes.
func checkRatios(results *Results) error {
	sizes, _ := results.Values(figureRealPackets, sizeCouriers, nil)
	var faults []error
	for _, figure := range []string{ratioPackets, ratioBytes} {
		_, ratios := results.Values(figure, sizeCouriers, nil)
		if len(ratios) != len(sizes) {
			faults = append(faults, fmt.Errorf("%d plays of real couriers, but %s was recorded %d times", len(sizes), figure, len(ratios)))
		}
		for _, ratio := range ratios {
			if ratio < minRatio || ratio > maxRatio {
				faults = append(faults, fmt.Errorf("%s: ratio of hollow to real is %.2f, want %v to %v", figure, ratio, minRatio, maxRatio))
			}
		}
	}
	return errors.Join(faults...)
}
