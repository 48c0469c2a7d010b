package scale

import (
	"context"
	"fmt"
	"slices"

	"pineport/dispatch"
	"pineport/testbed/invariants"
	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
	"pineport/testbed/slopes"
)

// Sizes and figures of the experiment outage. All figures are sums or means over the whole fleet.
const (
	outageKind        = "kind"
	outageFailed      = "failed_calls"
	outageParkedShare = "parked_share"
	outageParkedAfter = "parked_after"
	outageReturnCalls = "return_calls"
	outageScore       = "figure"
	outageOverloaded  = "pushed_over"

	// Counts that the check validates.
	outageDownCount       = "count_destinations_down"
	outageViolations      = "count_other_rules_broken"
	outageUnanswered      = "count_without_end"
	outageAttemptMismatch = "count_attempts_unseen"
	outageReplayDiffers   = "count_replay_differs"
)

// The scenario: constant traffic to identical destinations, some of which are down for a while.
const (
	outageTraffic        = 100.0 // messages per second from all couriers together
	outageDestinations   = 40    // all destinations
	outageDown           = 10    // destinations that are down
	outageStart          = 20.0  // seconds from the start of the scenario
	outageLasts          = 30.0  // seconds
	outageRecovery       = 30.0  // seconds after the return of the destinations
	outageScenarios      = 5     // scenarios drawn for each play; the mean is reported
	outageScenariosQuick = 1
	returnWindow         = second // time after the return of a destination in which calls are counted
)

// outageKinds are the ways in which a destination can be down. The number is the value of the size outageKind.
var outageKinds = []struct {
	name   string
	number float64
	kind   string // kind of the trouble in the scenario
}{
	{"refusing", 1, "refuse"}, // connections are refused
	{"throttling", 2, "shut"}, // every call is throttled, some with a Retry-After
}

// outage measures how a fleet handles destinations that go down and return, without communication between couriers.
type outage struct{ newDecider deciderFactory }

func outageExperiment() Experiment { return outage{newDispatcher}.experiment() }

func (o outage) experiment() Experiment {
	return Experiment{Name: "outage", Plays: 3,
		About: "100 messages per second in total to 40 destinations, 10 of which are down for 30 s, for fleets of increasing size in virtual time; " +
			"sums over the fleet, mean of 5 scenarios per play. Refusing: connections are refused; throttling: each call is throttled.",
		Measure: o.measure, Fit: fitOutage, Check: checkOutage}
}

func (o outage) measure(ctx context.Context, play *Play) error {
	fleets, scenarios := []int{3, 10, 30, 100, 300, 1000}, outageScenarios
	if play.Quick {
		fleets, scenarios = []int{3, 10, 30}, outageScenariosQuick
	}
	for _, kind := range outageKinds {
		for _, count := range fleets {
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("%d couriers, %s", count, kind.name)
			sizes := map[string]float64{sizeCouriers: float64(count), outageKind: kind.number}
			if err := o.playScenarios(play, sizes, kind.kind, count, scenarios, count == fleets[0]); err != nil {
				return err
			}
		}
	}
	return nil
}

// playScenarios plays several drawn scenarios. It reports means, shares over all scenarios, and totals of the counts that must
// be 0. If replay is set, it plays the first scenario twice and compares the totals.
func (o outage) playScenarios(play *Play, sizes map[string]float64, kind string, count, scenarios int, replay bool) error {
	var all outageSums
	for number := range scenarios {
		seed := play.Seed*1000 + int64(number)
		sums, err := o.play(kind, count, seed)
		if err != nil {
			return err
		}
		all.add(sums)
		if number > 0 || !replay {
			continue
		}
		second, err := o.play(kind, count, seed)
		if err != nil {
			return err
		}
		differs := 0.0
		if second != sums {
			differs = 1
		}
		play.Report(sizes, outageReplayDiffers, differs)
	}
	each := 1 / float64(scenarios)
	play.Report(sizes, outageFailed, float64(all.failed)*each)
	play.Report(sizes, outageParkedShare, float64(all.parkedPairs)/float64(max(1, all.callerPairs)))
	play.Report(sizes, outageParkedAfter, all.parkedAfter/float64(max(1, all.callerPairs)))
	play.Report(sizes, outageReturnCalls, float64(all.callsAfterReturn)*each)
	play.Report(sizes, outageScore, all.score*each)
	play.Report(sizes, outageOverloaded, float64(all.overloaded)/float64(max(1, all.destinationsDown)))
	play.Report(sizes, outageDownCount, float64(all.destinationsDown)*each)
	play.Report(sizes, outageViolations, float64(all.violations))
	play.Report(sizes, outageUnanswered, float64(all.unanswered))
	play.Report(sizes, outageAttemptMismatch, float64(all.attemptMismatch))
	return nil
}

// outageSums are totals over one scenario and all couriers of a fleet.
type outageSums struct {
	failed           int     // attempts sent while the destination was down that ended other than delivered, unprocessed or canceled
	callerPairs      int     // pairs of a courier and a destination with such an attempt
	parkedPairs      int     // pairs in which the courier parked the destination before it returned
	parkedAfter      float64 // sum over all pairs: seconds from the start of the outage until the courier parked the destination, or until the end
	callsAfterReturn int     // attempts sent to the destinations in the first second after their return
	score            float64 // of the scenario, without the penalty for violated invariants
	destinationsDown int     // destinations that were down
	overloaded       int     // destinations that couriers overloaded on their return (invariants.NoRecoveryOverload)
	violations       int     // violations of other invariants
	unanswered       int     // accepted messages without a final notice
	attemptMismatch  int     // difference between the attempts counted by the ledger of testbed/invariants and by the observer
}

func (s *outageSums) add(t outageSums) {
	s.failed, s.callerPairs, s.parkedPairs, s.callsAfterReturn = s.failed+t.failed, s.callerPairs+t.callerPairs, s.parkedPairs+t.parkedPairs, s.callsAfterReturn+t.callsAfterReturn
	s.parkedAfter, s.score, s.destinationsDown = s.parkedAfter+t.parkedAfter, s.score+t.score, s.destinationsDown+t.destinationsDown
	s.overloaded, s.violations, s.unanswered, s.attemptMismatch = s.overloaded+t.overloaded, s.violations+t.violations, s.unanswered+t.unanswered, s.attemptMismatch+t.attemptMismatch
}

// outageScenario returns the scenario "calm" with the traffic, fleet and trouble of this experiment.
func outageScenario(kind string, count int) (*scenario.Definition, error) {
	d, err := scenario.Find("calm")
	if err != nil {
		return nil, err
	}
	d.Length, d.Load = outageStart+outageLasts+outageRecovery, scenario.Range{1, 1}
	d.Fleet.Couriers = count
	d.Traffic.FullLoadPerSec, d.Traffic.Destinations = outageTraffic, outageDestinations
	d.Traffic.Zipf, d.Traffic.Swing, d.Traffic.BurstShare = 0, 0, scenario.Range{}
	firms := d.Kinds[slices.IndexFunc(d.Kinds, func(k scenario.Kind) bool { return k.Name == "firms" })]
	firms.Connections, firms.Endpoints = scenario.Range{}, scenario.Range{1, 1}
	d.Kinds = []scenario.Kind{firms}
	d.Classes = slices.DeleteFunc(d.Classes, func(w scenario.Class) bool { return w.Name != "update" })
	d.Faults = []scenario.FaultSpec{{Kind: kind, At: scenario.Range{outageStart, outageStart}, Length: scenario.Range{outageLasts, outageLasts},
		Share: float64(outageDown) / outageDestinations, Scope: "any", AllEndpointsChance: 1}}
	return d, nil
}

// play plays one drawn scenario.
func (o outage) play(kind string, count int, seed int64) (outageSums, error) {
	d, err := outageScenario(kind, count)
	if err != nil {
		return outageSums{}, err
	}
	drawn := scenario.Draw(d, seed)
	observer := newOutageObserver(drawn)
	host := simulation.NewLocalHost(func(courier int, settings dispatch.Config) simulation.Decider {
		return &courierObserver{outageObserver: observer, courier: courier, decider: o.newDecider(settings), inFlight: map[attemptKey]dispatch.DestinationID{},
			sent: map[dispatch.MessageID]dispatch.AttemptNumber{}}
	})
	verdict, _, err := simulation.Play(drawn, host, simulation.Options{})
	if err != nil {
		return outageSums{}, err
	}
	return observer.finish(verdict), nil
}

// outageObserver records what the whole fleet sends to destinations that are down or have just returned.
type outageObserver struct {
	destinations map[dispatch.EndpointID]dispatch.DestinationID
	down         map[dispatch.DestinationID]bool
	from, to     dispatch.Micros
	parkedAt     map[callerPair]dispatch.Micros // by pair with a failed attempt: time when parked, or notParked
	attempts     int
	outageSums
}

// callerPair is a courier and a destination to which a call of the courier failed during the outage.
type callerPair struct {
	courier     int
	destination dispatch.DestinationID
}

// attemptKey identifies an attempt of a message.
type attemptKey struct {
	message dispatch.MessageID
	number  dispatch.AttemptNumber
}

const notParked dispatch.Micros = -1

func newOutageObserver(drawn *scenario.Instance) *outageObserver {
	w := &outageObserver{destinations: map[dispatch.EndpointID]dispatch.DestinationID{}, down: map[dispatch.DestinationID]bool{}, parkedAt: map[callerPair]dispatch.Micros{}}
	for number := range drawn.Destinations {
		for _, endpoint := range drawn.Destinations[number].Endpoints {
			w.destinations[endpoint.ID] = dispatch.DestinationID(number)
		}
	}
	for _, act := range drawn.Events {
		switch act.Kind {
		case scenario.FaultBegins:
			w.from, w.down[dispatch.DestinationID(act.Dest)] = act.At, true
		case scenario.FaultEnds:
			w.to = act.At
		}
	}
	return w
}

// finish returns the totals, completed from the verdict.
func (w *outageObserver) finish(verdict *invariants.Verdict) outageSums {
	sums := w.outageSums
	sums.callerPairs, sums.destinationsDown = len(w.parkedAt), len(w.down)
	sums.score = verdict.ServiceScore - verdict.Costs // verdict.Figure would be 0 if an invariant were violated
	var parkedAfter dispatch.Micros                   // integer microseconds: a float sum would depend on the iteration order of the map
	for _, at := range w.parkedAt {
		if at == notParked {
			at = w.to
		} else {
			sums.parkedPairs++
		}
		parkedAfter += at - w.from
	}
	sums.parkedAfter = float64(parkedAfter) / float64(second)
	for rule, count := range verdict.BreachCounts {
		if rule == invariants.NoRecoveryOverload {
			sums.overloaded += count
		} else {
			sums.violations += count
		}
	}
	counts := verdict.Counts
	sums.unanswered = counts.Lost + max(counts.Accepted-counts.Delivered-counts.Rejected-counts.Failed, 0)
	sums.attemptMismatch = max(counts.Attempts-w.attempts, w.attempts-counts.Attempts)
	return sums
}

// courierObserver records the events and actions of one courier without changing them.
type courierObserver struct {
	*outageObserver
	courier  int
	decider  simulation.Decider
	inFlight map[attemptKey]dispatch.DestinationID // attempts sent while the destination was down, without an outcome yet
	sent     map[dispatch.MessageID]dispatch.AttemptNumber
}

// Handle implements simulation.Decider.
func (w *courierObserver) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	actions := w.decider.Handle(now, events)
	failed := w.outcomes(events)
	if failed && now < w.to {
		w.recordParked(now)
	}
	for _, action := range actions {
		if send, ok := action.(dispatch.Send); ok {
			w.send(now, send)
		}
	}
	return actions
}

// outcomes counts failed attempts to destinations that are down, and reports whether there were any.
func (w *courierObserver) outcomes(events []dispatch.Event) (failed bool) {
	for _, event := range events {
		finished, ok := event.(dispatch.AttemptFinished)
		if !ok {
			continue
		}
		key := attemptKey{finished.Message, finished.Attempt}
		destination, ok := w.inFlight[key]
		delete(w.inFlight, key)
		if !ok || finished.Outcome == dispatch.Delivered || finished.Outcome == dispatch.Unprocessed || finished.Outcome == dispatch.Canceled {
			continue
		}
		failed = true
		w.failed++
		if called := (callerPair{w.courier, destination}); w.parkedAt[called] == 0 {
			w.parkedAt[called] = notParked
		}
	}
	return failed
}

func (w *courierObserver) send(now dispatch.Micros, send dispatch.Send) {
	w.attempts++
	key := attemptKey{send.Message, w.sent[send.Message]}
	w.sent[send.Message]++
	destination := w.destinations[send.Endpoint]
	switch {
	case !w.down[destination]:
	case now >= w.from && now < w.to:
		w.inFlight[key] = destination
	case now >= w.to && now < w.to+returnWindow:
		w.callsAfterReturn++
	}
}

// recordParked records the destinations that this courier has parked: see isParked.
func (w *courierObserver) recordParked(now dispatch.Micros) {
	learned, ok := w.decider.(dispatch.Snapshotter)
	if !ok {
		return
	}
	for _, route := range learned.Snapshot().Groups {
		called := callerPair{w.courier, route.Destination}
		if w.parkedAt[called] == notParked && isParked(route, now) {
			w.parkedAt[called] = now
		}
	}
}

func isParked(route dispatch.GroupSnapshot, now dispatch.Micros) bool {
	return route.Outage || route.RetryAfterUntil > now || slices.ContainsFunc(route.Breakers, func(b dispatch.BreakerSnapshot) bool { return b.OpenUntil > 0 })
}

func fitOutage(results *Results) error {
	slowGrowth := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Power} // no linear model: the total traffic bounds the figures
	constantOrPower := []slopes.Model{slopes.Constant, slopes.Power}              // both stay positive when extrapolated beyond the measured sizes
	constantOrLog := []slopes.Model{slopes.Constant, slopes.Logarithm}
	for _, kind := range outageKinds {
		for _, curve := range []Curve{
			{Figure: outageFailed, About: "failed attempts of the whole fleet to destinations that are down", Unit: "calls", Models: slowGrowth},
			{Figure: outageParkedShare, About: "share of the couriers calling a destination that is down which park it before it returns", Unit: "ratio", Models: constantOrPower},
			{Figure: outageParkedAfter, About: "from the start of the outage until a calling courier parks the destination, or until the end after 30 s; mean", Unit: "s", Models: constantOrLog},
			{Figure: outageReturnCalls, About: "attempts of the whole fleet to the destinations in the first second after their return", Unit: "calls", Models: slowGrowth},
			{Figure: outageOverloaded, About: "share of the returning destinations that are overloaded on their return", Unit: "ratio", Models: constantOrPower},
			{Figure: outageScore, About: "score of the scenario, without the penalty for violated invariants", Unit: "ratio", Models: constantOrPower},
		} {
			curve.Name, curve.Over = curve.Figure+"."+kind.name, sizeCouriers
			curve.Where = map[string]float64{outageKind: kind.number}
			if _, figures := results.Values(curve.Figure, curve.Over, curve.Where); slices.Min(figures) <= 0 {
				results.AddMissing(curve.Name, "no curve: the figure is zero or negative at one of the sizes")
				continue
			}
			if err := results.Fit(curve); err != nil {
				return err
			}
		}
	}
	return nil
}

// maxFleetWithoutOverload is the largest fleet that must not overload a returning destination: the acceptance criteria name
// fleets of 5, 20 and 30 couriers. In larger fleets the experiment only measures how often it happens.
const maxFleetWithoutOverload = 30

// checkOutage fails unless the planned number of destinations was down and was called, no invariant was violated (overloads by
// fleets above maxFleetWithoutOverload excepted), each accepted message had a final notice, the ledger of testbed/invariants counted
// each attempt of the couriers, and a replay gave the same totals.
func checkOutage(results *Results) error {
	for _, point := range results.Points() {
		if err := equalCounts(point, outageDownCount, outageDown); err != nil {
			return fmt.Errorf("%v: %w", point.Sizes, err)
		}
		for _, figure := range []string{outageUnanswered, outageAttemptMismatch, outageReplayDiffers, outageViolations} {
			if err := equalCounts(point, figure, 0); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
		if point.Sizes[sizeCouriers] <= maxFleetWithoutOverload {
			if err := equalCounts(point, outageOverloaded, 0); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
		if slices.Min(point.Values[outageFailed]) <= 0 {
			return fmt.Errorf("%v: no attempt to a destination that was down failed", point.Sizes)
		}
	}
	return nil
}
