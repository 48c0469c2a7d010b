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

// Sizes and figures of outage. All are sums or means over the whole fleet.
const (
	outageKind   = "kind"
	outageFailed = "failed_calls"
	outageShare  = "parked_share"
	outageParked = "parked_after"
	outageReturn = "return_calls"
	outageFigure = "figure"
	outagePushed = "pushed_over"

	// Counts, for the check.
	outageStruck    = "count_destinations_down"
	outageBroken    = "count_other_rules_broken"
	outageUnended   = "count_without_end"
	outageUnseen    = "count_attempts_unseen"
	outageDifferent = "count_replay_differs"
)

// The day that is played: constant traffic over destinations that are all alike, some of which are down for a while.
const (
	outageTraffic      = 100.0 // messages a second, of all couriers together
	outageDestinations = 40
	outageDown         = 10
	outageBegins       = 20.0 // seconds
	outageLasts        = 30.0
	outageAfterwards   = 30.0
	outageDays         = 5 // drawn for each play; their mean counts
	outageDaysQuick    = 1
	rampSecond         = second
)

// outageKinds are how a destination can be down, and the number that stands for it among the sizes.
var outageKinds = []struct {
	name   string
	number float64
	kind   string // of the testbed's troubles
}{
	{"refusing", 1, "refuse"}, // connections are refused
	{"throttling", 2, "shut"}, // every call is throttled, and some are notified when to come again
}

// outage measures how a fleet meets destinations that go down and return, each courier on its own.
type outage struct{ decide decide }

func outageExperiment() Experiment { return outage{realDecisions}.experiment() }

func (o outage) experiment() Experiment {
	return Experiment{Name: "outage", Plays: 3,
		About: "100 messages a second in all for 40 destinations, 10 of which are down for 30 s, over more and more couriers in virtual time; " +
			"summed over the fleet, mean of 5 days a play. Refusing: no connection comes up; throttling: each call is answered as throttled.",
		Measure: o.measure, Fit: fitOutage, Check: checkOutage}
}

func (o outage) measure(ctx context.Context, play *Play) error {
	fleets, days := []int{3, 10, 30, 100, 300, 1000}, outageDays
	if play.Quick {
		fleets, days = []int{3, 10, 30}, outageDaysQuick
	}
	for _, kind := range outageKinds {
		for _, count := range fleets {
			if err := ctx.Err(); err != nil {
				return err
			}
			play.Progress("%d couriers, %s", count, kind.name)
			sizes := map[string]float64{sizeCouriers: float64(count), outageKind: kind.number}
			if err := o.days(play, sizes, kind.kind, count, days, count == fleets[0]); err != nil {
				return err
			}
		}
	}
	return nil
}

// days plays some days and messages their mean; the first of them twice, if asked to.
func (o outage) days(play *Play, sizes map[string]float64, kind string, count, days int, again bool) error {
	var all outageSums
	for number := range days {
		seed := play.Seed*1000 + int64(number)
		sums, err := o.play(kind, count, seed)
		if err != nil {
			return err
		}
		all.add(sums)
		if number > 0 || !again {
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
		play.Report(sizes, outageDifferent, differs)
	}
	each := 1 / float64(days)
	play.Report(sizes, outageFailed, float64(all.failed)*each)
	play.Report(sizes, outageShare, float64(all.parked)/float64(max(1, all.callers)))
	play.Report(sizes, outageParked, all.parkedAfter/float64(max(1, all.callers)))
	play.Report(sizes, outageReturn, float64(all.returned)*each)
	play.Report(sizes, outageFigure, all.figure*each)
	play.Report(sizes, outagePushed, float64(all.pushed)/float64(max(1, all.struck)))
	play.Report(sizes, outageStruck, float64(all.struck)*each)
	play.Report(sizes, outageBroken, float64(all.broken))
	play.Report(sizes, outageUnended, float64(all.unended))
	play.Report(sizes, outageUnseen, float64(all.unseen))
	return nil
}

// outageSums are sums over a fleet's day.
type outageSums struct {
	failed      int     // attempts sent while their destination was down, and not delivered
	callers     int     // pairs of a courier and a destination that is down with such an attempt
	parked      int     // those of them that parked the destination before it returned
	parkedAfter float64 // seconds from the begin of the outage until then, or until its end
	returned    int     // attempts sent in the first second after the return
	figure      float64
	struck      int // destinations that were down
	pushed      int // destinations that were pushed over on their return
	broken      int // other rules, by how often
	unended     int // messages taken without an answer
	unseen      int // attempts that only the ledger saw, or only the couriers' watch
}

func (s *outageSums) add(t outageSums) {
	s.failed, s.callers, s.parked, s.returned = s.failed+t.failed, s.callers+t.callers, s.parked+t.parked, s.returned+t.returned
	s.parkedAfter, s.figure, s.struck = s.parkedAfter+t.parkedAfter, s.figure+t.figure, s.struck+t.struck
	s.pushed, s.broken, s.unended, s.unseen = s.pushed+t.pushed, s.broken+t.broken, s.unended+t.unended, s.unseen+t.unseen
}

// outageDay is the testbed's calm day with the traffic, fleet and trouble of this experiment.
func outageDay(kind string, count int) (*scenario.Definition, error) {
	d, err := scenario.Find("calm")
	if err != nil {
		return nil, err
	}
	d.Length, d.Load = outageBegins+outageLasts+outageAfterwards, scenario.Range{1, 1}
	d.Fleet.Couriers = count
	d.Traffic.FullLoadPerSec, d.Traffic.Destinations = outageTraffic, outageDestinations
	d.Traffic.Zipf, d.Traffic.Swing, d.Traffic.BurstShare = 0, 0, scenario.Range{}
	firms := d.Kinds[slices.IndexFunc(d.Kinds, func(k scenario.Kind) bool { return k.Name == "firms" })]
	firms.Connections, firms.Endpoints = scenario.Range{}, scenario.Range{1, 1}
	d.Kinds = []scenario.Kind{firms}
	d.Classes = slices.DeleteFunc(d.Classes, func(w scenario.Class) bool { return w.Name != "update" })
	d.Faults = []scenario.FaultSpec{{Kind: kind, At: scenario.Range{outageBegins, outageBegins}, Length: scenario.Range{outageLasts, outageLasts},
		Share: float64(outageDown) / outageDestinations, Scope: "any", AllEndpointsChance: 1}}
	return d, nil
}

// play plays one day of a fleet.
func (o outage) play(kind string, count int, seed int64) (outageSums, error) {
	d, err := outageDay(kind, count)
	if err != nil {
		return outageSums{}, err
	}
	drawn := scenario.Draw(d, seed)
	watch := newOutageWatch(drawn)
	host := simulation.NewLocalHost(func(courier int, settings dispatch.Config) simulation.Decider {
		return &outageWatcher{outageWatch: watch, courier: courier, decisions: o.decide(settings), into: map[attempt]dispatch.DestinationID{},
			sent: map[dispatch.MessageID]dispatch.AttemptNumber{}}
	})
	verdict, _, err := simulation.Play(drawn, host, simulation.Options{})
	if err != nil {
		return outageSums{}, err
	}
	return watch.finish(verdict), nil
}

// outageWatch sees what a whole fleet sends to destinations that are down or have just returned.
type outageWatch struct {
	dest     map[dispatch.EndpointID]dispatch.DestinationID
	down     map[dispatch.DestinationID]bool
	from, to dispatch.Micros
	parkedAt map[pair]dispatch.Micros // or never, for those that called without parking
	attempts int
	outageSums
}

// pair is a courier and a destination that it called while that was down.
type pair struct {
	courier     int
	destination dispatch.DestinationID
}

// attempt is one of a message's.
type attempt struct {
	message dispatch.MessageID
	number  dispatch.AttemptNumber
}

const notParked dispatch.Micros = -1

func newOutageWatch(drawn *scenario.Instance) *outageWatch {
	w := &outageWatch{dest: map[dispatch.EndpointID]dispatch.DestinationID{}, down: map[dispatch.DestinationID]bool{}, parkedAt: map[pair]dispatch.Micros{}}
	for number := range drawn.Destinations {
		for _, endpoint := range drawn.Destinations[number].Endpoints {
			w.dest[endpoint.ID] = dispatch.DestinationID(number)
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

// finish sums up.
func (w *outageWatch) finish(verdict *invariants.Verdict) outageSums {
	sums := w.outageSums
	sums.callers, sums.struck = len(w.parkedAt), len(w.down)
	sums.figure = verdict.ServiceScore - verdict.Costs // the day's, which a broken rule would make nought
	var parkedAfter dispatch.Micros                    // whole microseconds, as the order of a map is none
	for _, at := range w.parkedAt {
		if at == notParked {
			at = w.to
		} else {
			sums.parked++
		}
		parkedAfter += at - w.from
	}
	sums.parkedAfter = float64(parkedAfter) / float64(second)
	for rule, count := range verdict.BreachCounts {
		if rule == invariants.NoRecoveryOverload {
			sums.pushed += count
		} else {
			sums.broken += count
		}
	}
	counts := verdict.Counts
	sums.unended = counts.Lost + max(counts.Accepted-counts.Delivered-counts.Rejected-counts.Failed, 0)
	sums.unseen = max(counts.Attempts-w.attempts, w.attempts-counts.Attempts)
	return sums
}

// outageWatcher sees what one courier does, and changes nothing.
type outageWatcher struct {
	*outageWatch
	courier   int
	decisions simulation.Decider
	into      map[attempt]dispatch.DestinationID // sent while the destination was down, without an outcome
	sent      map[dispatch.MessageID]dispatch.AttemptNumber
}

// Handle implements simulation.Decider.
func (w *outageWatcher) Handle(now dispatch.Micros, events []dispatch.Event) []dispatch.Action {
	actions := w.decisions.Handle(now, events)
	failed := w.outcomes(events)
	if failed && now < w.to {
		w.lookForParked(now)
	}
	for _, action := range actions {
		if send, ok := action.(dispatch.Send); ok {
			w.send(now, send)
		}
	}
	return actions
}

// outcomes counts attempts into the outage that failed, and tells whether there were any.
func (w *outageWatcher) outcomes(events []dispatch.Event) (failed bool) {
	for _, event := range events {
		settled, ok := event.(dispatch.AttemptFinished)
		if !ok {
			continue
		}
		key := attempt{settled.Message, settled.Attempt}
		destination, ok := w.into[key]
		delete(w.into, key)
		if !ok || settled.Outcome == dispatch.Delivered || settled.Outcome == dispatch.Unprocessed || settled.Outcome == dispatch.Canceled {
			continue
		}
		failed = true
		w.failed++
		if called := (pair{w.courier, destination}); w.parkedAt[called] == 0 {
			w.parkedAt[called] = notParked
		}
	}
	return failed
}

func (w *outageWatcher) send(now dispatch.Micros, send dispatch.Send) {
	w.attempts++
	key := attempt{send.Message, w.sent[send.Message]}
	w.sent[send.Message]++
	destination := w.dest[send.Endpoint]
	switch {
	case !w.down[destination]:
	case now >= w.from && now < w.to:
		w.into[key] = destination
	case now >= w.to && now < w.to+rampSecond:
		w.returned++
	}
}

// lookForParked notes the destinations that this courier has come to hold back from: failing or waited for, or with an open breaker.
func (w *outageWatcher) lookForParked(now dispatch.Micros) {
	learned, ok := w.decisions.(dispatch.Snapshotter)
	if !ok {
		return
	}
	for _, route := range learned.Snapshot().Groups {
		called := pair{w.courier, route.Destination}
		if w.parkedAt[called] == notParked && isParked(route, now) {
			w.parkedAt[called] = now
		}
	}
}

func isParked(route dispatch.GroupSnapshot, now dispatch.Micros) bool {
	return route.Outage || route.RetryAfterUntil > now || slices.ContainsFunc(route.Breakers, func(b dispatch.BreakerSnapshot) bool { return b.OpenUntil > 0 })
}

func fitOutage(results *Results) error {
	levelling := []slopes.Model{slopes.Constant, slopes.Logarithm, slopes.Power} // what is called at most is what comes in all
	ratio := []slopes.Model{slopes.Constant, slopes.Power}                       // neither falls below nought beyond the sizes measured
	bounded := []slopes.Model{slopes.Constant, slopes.Logarithm}
	for _, kind := range outageKinds {
		for _, curve := range []Curve{
			{Figure: outageFailed, About: "attempts into the outage that failed, of the whole fleet", Unit: "calls", Models: levelling},
			{Figure: outageShare, About: "share of the couriers calling a destination that is down that park it before it returns", Unit: "ratio", Models: ratio},
			{Figure: outageParked, About: "from the begin of the outage until a courier that calls parks it, or until its end after 30 s; mean", Unit: "s", Models: bounded},
			{Figure: outageReturn, About: "attempts in the first second after the return, of the whole fleet", Unit: "calls", Models: levelling},
			{Figure: outagePushed, About: "share of the returning destinations that are pushed over", Unit: "ratio", Models: ratio},
			{Figure: outageFigure, About: "figure of the day, rules aside", Unit: "ratio", Models: ratio},
		} {
			curve.Name, curve.Over = curve.Figure+"."+kind.name, sizeCouriers
			curve.Where = map[string]float64{outageKind: kind.number}
			if _, figures := results.Values(curve.Figure, curve.Over, curve.Where); slices.Min(figures) <= 0 {
				results.Miss(curve.Name, "no curve: nothing was counted at one of the sizes")
				continue
			}
			if err := results.Fit(curve); err != nil {
				return err
			}
		}
	}
	return nil
}

// neverPushedOver is the largest fleet that is held to push over no return: the terms of the acceptance name 5, 20 and 30 couriers.
// In larger ones it is measured how often that happens.
const neverPushedOver = 30

// checkOutage: as many destinations were down as planned and were called meanwhile; no rule was broken, but that larger fleets may
// push over a return; each message taken had its answer; the ledger saw each attempt that the couriers made; the same day played
// again is the same.
func checkOutage(results *Results) error {
	for _, point := range results.Points() {
		if err := equalCounts(point, outageStruck, outageDown); err != nil {
			return fmt.Errorf("%v: %w", point.Sizes, err)
		}
		for _, figure := range []string{outageUnended, outageUnseen, outageDifferent, outageBroken} {
			if err := equalCounts(point, figure, 0); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
		if point.Sizes[sizeCouriers] <= neverPushedOver {
			if err := equalCounts(point, outagePushed, 0); err != nil {
				return fmt.Errorf("%v: %w", point.Sizes, err)
			}
		}
		if slices.Min(point.Values[outageFailed]) <= 0 {
			return fmt.Errorf("%v: no attempt failed at destinations that were down", point.Sizes)
		}
	}
	return nil
}
