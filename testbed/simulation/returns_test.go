package simulation

import (
	"maps"
	"math"
	"slices"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// outageKinds are the kinds of outage in these tests; consecutive seeds cycle through them.
var outageKinds = []string{"refuse", "silent", "hang", "shut", "errors"}

// informedShare is the proportion of a window's calls that must come from couriers that had seen the outage
// for an overload to break the rule on recovering destinations. With a smaller proportion, an overload breaks
// no rule.
const informedShare = 2.0 / 3

// overloadBudget returns how many calls a recovering destination may receive from all couriers in one window.
// allowed is the number that the settings allow; 2*sqrt(allowed)+2 more calls are attributed to chance.
func overloadBudget(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// slowStartBudget returns how many calls a recovering destination may receive from all couriers in one window
// during slow start, for any scenario and fleet size. allowed is the number that the settings allow;
// 2*sqrt(allowed)+2 more calls (3*sqrt(allowed)+3 if fewer than 30 are allowed) are attributed to chance.
func slowStartBudget(allowed float64) float64 {
	const smallBudget = 30
	if allowed < smallBudget {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return overloadBudget(allowed)
}

// fleetCall is a call of one courier to a recovering destination.
type fleetCall struct {
	at       dispatch.Micros
	courier  int
	informed bool // its courier had seen a call fail or be refused during the outage
}

// routeLoad tracks the calls to one route during the recovery after its outage. A route is a destination, or
// a single endpoint if the destination has separate routes.
type routeLoad struct {
	plan                    *scenario.Destination
	endpoints               int
	outageStart, outageEnd  dispatch.Micros // start is 0 without an outage
	informed                map[int]bool    // couriers that had seen the outage
	recentCalls             []fleetCall     // calls of the whole fleet in the last FallSpan of the plan
	maxLoad                 windowLoad
	overloadedByInformed    bool       // a window was over budget, mostly by calls of informed couriers
	maxSlowStartLoad        windowLoad // relative to the slow start budget
	overSlowStart           bool       // a window was over the slow start budget, whoever sent the calls
	overSlowStartByInformed bool       // such a window had mostly calls of informed couriers
}

// windowLoad compares the calls of one window, a time of FallSpan, with their budget.
type windowLoad struct {
	calls, informedCalls int
	budget               float64
	sinceRecovery        dispatch.Micros
}

func (w windowLoad) ratio() float64 { return float64(w.calls) / max(w.budget, 1e-9) }
func (w windowLoad) over() bool     { return float64(w.calls) > w.budget }

// byInformed reports whether enough of the calls came from couriers that had seen the outage.
func (w windowLoad) byInformed() bool {
	return float64(w.informedCalls) >= informedShare*float64(w.calls)
}

// count adds a call during the ramp after an outage, and keeps the window with the highest load.
func (r *routeLoad) count(now dispatch.Micros, courier int) {
	plan := &r.plan.Plan
	if r.outageStart == 0 || now < r.outageEnd || now >= r.outageEnd+plan.SlowStart {
		return
	}
	r.recentCalls = append(r.recentCalls, fleetCall{now, courier, r.informed[courier]})
	for now-r.recentCalls[0].at > plan.OverloadWindow {
		r.recentCalls = r.recentCalls[1:]
	}
	warmShare := plan.SlowStartInitialShare + (1-plan.SlowStartInitialShare)*float64(now-r.outageEnd)/float64(plan.SlowStart)
	capacity := plan.Capacity() * float64(r.endpoints) * warmShare
	allowed := plan.OverloadFactor * capacity * float64(plan.OverloadWindow) / 1e6
	load := windowLoad{calls: len(r.recentCalls), sinceRecovery: now - r.outageEnd, budget: overloadBudget(allowed)}
	for _, c := range r.recentCalls {
		if c.informed {
			load.informedCalls++
		}
	}
	if load.ratio() > r.maxLoad.ratio() {
		r.maxLoad = load
	}
	r.overloadedByInformed = r.overloadedByInformed || load.over() && load.byInformed()
	slowStartLoad := load
	if slowStartLoad.budget = slowStartBudget(allowed); slowStartLoad.ratio() > r.maxSlowStartLoad.ratio() {
		r.maxSlowStartLoad = slowStartLoad
	}
	r.overSlowStart = r.overSlowStart || slowStartLoad.over()
	r.overSlowStartByInformed = r.overSlowStartByInformed || slowStartLoad.over() && slowStartLoad.byInformed()
}

// slowStartCounter is a Host that counts what the whole fleet sends to destinations in slow start. It uses only
// the couriers' events and actions, and not the endpoint model.
type slowStartCounter struct {
	Host
	routes   map[dispatch.EndpointID]*routeLoad
	attempts map[int]map[dispatch.MessageID][]dispatch.EndpointID // by courier: the endpoint of each attempt of a message
}

// newSlowStartCounter returns a counter for a scenario in which each route has at most one outage.
func newSlowStartCounter(instance *scenario.Instance, host Host) *slowStartCounter {
	c := &slowStartCounter{Host: host, routes: map[dispatch.EndpointID]*routeLoad{},
		attempts: map[int]map[dispatch.MessageID][]dispatch.EndpointID{}}
	for i := range instance.Destinations {
		d := &instance.Destinations[i]
		var route *routeLoad
		for _, e := range d.Endpoints {
			if route == nil || d.SeparateRoutes {
				route = &routeLoad{plan: d, informed: map[int]bool{}}
			}
			route.endpoints++
			c.routes[e.ID] = route
		}
	}
	for _, a := range instance.Events {
		switch a.Kind {
		case scenario.FaultBegins:
			c.routes[a.Endpoint.ID].outageStart = a.At
		case scenario.FaultEnds:
			c.routes[a.Endpoint.ID].outageEnd = a.At
		}
	}
	return c
}

// Start implements Host.
func (c *slowStartCounter) Start(courier int, cfg dispatch.Config, settings map[string]string) error {
	c.attempts[courier] = map[dispatch.MessageID][]dispatch.EndpointID{}
	return c.Host.Start(courier, cfg, settings)
}

// Step implements Host.
func (c *slowStartCounter) Step(now dispatch.Micros, batches []Batch) ([][]dispatch.Action, error) {
	all, err := c.Host.Step(now, batches)
	for i := range all {
		c.countCalls(now, batches[i].Courier, all[i])
		c.recordOutages(now, batches[i]) // what a courier learns from this batch makes it informed for calls of later batches only
	}
	return all, err
}

// recoveredRoutes returns the routes that had an outage, each once.
func (c *slowStartCounter) recoveredRoutes() (all []*routeLoad) {
	for _, id := range slices.Sorted(maps.Keys(c.routes)) {
		if r := c.routes[id]; r.outageStart > 0 && !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// recordOutages records which couriers see an outage while it lasts.
func (c *slowStartCounter) recordOutages(now dispatch.Micros, b Batch) {
	for _, event := range b.Events {
		e, ok := event.(dispatch.AttemptFinished)
		if !ok || e.Outcome == dispatch.Delivered || e.Outcome == dispatch.Unprocessed || e.Outcome == dispatch.Canceled {
			continue
		}
		r := c.routes[c.attempts[b.Courier][e.Message][e.Attempt]]
		if r.outageStart > 0 && now >= r.outageStart && now < r.outageEnd {
			r.informed[b.Courier] = true
		}
	}
}

// countCalls counts the calls of one step. Messages for the same endpoint share a call, up to the limit of
// the destination.
func (c *slowStartCounter) countCalls(now dispatch.Micros, courier int, actions []dispatch.Action) {
	messages := map[dispatch.EndpointID]int{}
	for _, action := range actions {
		a, ok := action.(dispatch.Send)
		if !ok {
			continue
		}
		attempts := c.attempts[courier]
		attempts[a.Message] = append(attempts[a.Message], a.Endpoint)
		r := c.routes[a.Endpoint]
		if messages[a.Endpoint]%max(1, r.plan.PerCall) == 0 {
			r.count(now, courier)
		}
		messages[a.Endpoint]++
	}
}

// recoverySettings are the settings cold_from, fall_multiple and fall_span_s of a scenario.
type recoverySettings struct {
	coldShare, overloadFactor, overloadWindow float64 // proportion of capacity, multiple of capacity, seconds
}

// recoveryScenario returns the scenario testdata/returns.toml with the given number of couriers and recovery
// settings, and with the kind of outage for the seed.
func recoveryScenario(t *testing.T, seed int64, couriers int, rules recoverySettings) *scenario.Instance {
	t.Helper()
	d := readScenario(t, "returns")
	d.Fleet.Couriers = couriers
	d.Rules.SlowStartInitialShare, d.Rules.OverloadFactor, d.Rules.OverloadWindow = rules.coldShare, rules.overloadFactor, rules.overloadWindow
	outage := &d.Faults[0]
	if outage.Kind = outageKind(seed); outage.Kind == "errors" {
		outage.Size = scenario.Range{1, 1}
	}
	return scenario.Draw(d, seed)
}

func outageKind(seed int64) string { return outageKinds[int(seed)%len(outageKinds)] }

// withoutOverload returns the same scenario with destinations that no load can overload, so that each
// recovery is counted to its end.
func withoutOverload(instance *scenario.Instance) *scenario.Instance {
	result := *instance
	result.Destinations = slices.Clone(instance.Destinations)
	for i := range result.Destinations {
		result.Destinations[i].OverloadFactor = 0
	}
	return &result
}

// fleetRecoveries sums up the recoveries of one fleet over all seeds.
type fleetRecoveries struct {
	// Number of recoveries, of those over overloadBudget, and of those in which the excess counts against
	// informed couriers.
	recoveries, over, overByInformed       int
	seedsOver                              int
	maxLoad                                windowLoad
	maxLoadSeed                            int64
	overSlowStart, overSlowStartByInformed int        // recoveries over slowStartBudget; those of them that count against informed couriers
	maxSlowStartLoad                       windowLoad // relative to the slow start budget
	maxSlowStartSeed                       int64
}

// add adds the recoveries of one run.
func (f *fleetRecoveries) add(t *testing.T, seed int64, c *slowStartCounter) {
	t.Helper()
	before := f.over
	for _, r := range c.recoveredRoutes() {
		f.recoveries++
		if r.overloadedByInformed {
			f.overByInformed++
		}
		if r.maxLoad.over() {
			f.over++
			t.Logf("seed %d, %s: %d calls, %d of them by informed couriers, budget %.1f, %.2f s after the outage", seed,
				outageKind(seed), r.maxLoad.calls, r.maxLoad.informedCalls, r.maxLoad.budget, float64(r.maxLoad.sinceRecovery)/1e6)
		}
		if r.maxLoad.ratio() > f.maxLoad.ratio() {
			f.maxLoad, f.maxLoadSeed = r.maxLoad, seed
		}
		if r.overSlowStart {
			f.overSlowStart++
			t.Logf("seed %d, %s: over the slow start budget: %d calls, %d of them by informed couriers, budget %.1f, %.2f s after the outage",
				seed, outageKind(seed), r.maxSlowStartLoad.calls, r.maxSlowStartLoad.informedCalls, r.maxSlowStartLoad.budget, float64(r.maxSlowStartLoad.sinceRecovery)/1e6)
		}
		if r.overSlowStartByInformed {
			f.overSlowStartByInformed++
		}
		if r.maxSlowStartLoad.ratio() > f.maxSlowStartLoad.ratio() {
			f.maxSlowStartLoad, f.maxSlowStartSeed = r.maxSlowStartLoad, seed
		}
	}
	if f.over > before {
		f.seedsOver++
	}
}

func runRecoveries(t *testing.T, seeds int64, couriers int, rules recoverySettings, decide func(int, dispatch.Config) Decider) (f fleetRecoveries) {
	t.Helper()
	for seed := int64(1); seed <= seeds; seed++ {
		instance := recoveryScenario(t, seed, couriers, rules)
		counter := newSlowStartCounter(instance, NewLocalHost(decide))
		if _, _, err := Play(withoutOverload(instance), counter, Options{}); err != nil {
			t.Fatal(err)
		}
		f.add(t, seed, counter)
	}
	t.Logf("%d couriers: %d recoveries, highest load %.2f of the budget (%d calls, budget %.1f, seed %d); %d of %d seeds over budget, %d recoveries over budget mostly by calls of informed couriers",
		couriers, f.recoveries, f.maxLoad.ratio(), f.maxLoad.calls, f.maxLoad.budget, f.maxLoadSeed, f.seedsOver, seeds, f.overByInformed)
	t.Logf("%d couriers, slow start budget: highest load %.2f of it (%d calls, budget %.1f, seed %d); %d of %d recoveries over budget, %d of these mostly by calls of informed couriers",
		couriers, f.maxSlowStartLoad.ratio(), f.maxSlowStartLoad.calls, f.maxSlowStartLoad.budget, f.maxSlowStartSeed, f.overSlowStart, f.recoveries, f.overSlowStartByInformed)
	return f
}

// TestFleetSlowStartAfterOutage checks, for fleets of several sizes, that no recovering destination receives
// more than its budget from couriers that had seen its outage, that the fleet as a whole exceeds the budget
// on at most maxSeedsOver seeds, and that no recovery exceeds the slow start budget, whoever sent the calls.
func TestFleetSlowStartAfterOutage(t *testing.T) {
	const seeds = 50
	// maxSeedsOver is the number of seeds with which the calls of the whole fleet may exceed the budget.
	// Calls of couriers that had not seen the outage break no rule, although they could overload a real
	// destination.
	const maxSeedsOver = 2
	defaults := recoverySettings{coldShare: 0.13, overloadFactor: 2.5, overloadWindow: 2}
	for _, fleet := range []struct {
		name     string
		couriers int
		rules    recoverySettings
	}{
		{"1 courier", 1, defaults},
		{"3 couriers", 3, defaults},
		{"5 couriers", 5, defaults},
		{"20 couriers", 20, defaults},
		{"30 couriers", 30, defaults},
		{"30 couriers, lower overload factor, short window", 30, recoverySettings{coldShare: 0.2, overloadFactor: 2, overloadWindow: 1.5}},
		{"30 couriers, lowest overload factor, long window", 30, recoverySettings{coldShare: 0.26, overloadFactor: 1.5, overloadWindow: 3}},
	} {
		t.Run(fleet.name, func(t *testing.T) {
			f := runRecoveries(t, seeds, fleet.couriers, fleet.rules, nil)
			if f.recoveries < seeds {
				t.Errorf("%d recoveries with %d seeds, want at least one per seed", f.recoveries, seeds)
			}
			if f.overByInformed > 0 {
				t.Errorf("%d destinations were overloaded by couriers that had seen the outage", f.overByInformed)
			}
			if f.seedsOver > maxSeedsOver {
				t.Errorf("too many calls with %d of %d seeds, want at most %d", f.seedsOver, seeds, maxSeedsOver)
			}
			if f.overSlowStart > 0 {
				t.Errorf("%d recoveries exceeded the slow start budget, %d of them mostly by calls of couriers that had seen the outage", f.overSlowStart, f.overSlowStartByInformed)
			}
		})
	}
}

// TestSlowStartCounterDetectsOverload checks that the counts of TestFleetSlowStartAfterOutage detect couriers
// without slow start.
func TestSlowStartCounterDetectsOverload(t *testing.T) {
	f := runRecoveries(t, 2, 20, recoverySettings{coldShare: 0.13, overloadFactor: 2.5, overloadWindow: 2}, func(_ int, cfg dispatch.Config) Decider {
		return &eagerDecider{config: cfg, endpoints: map[dispatch.DestinationID][]dispatch.EndpointID{}, accepted: map[dispatch.MessageID]dispatch.MessageAccepted{}}
	})
	if f.overByInformed == 0 {
		t.Error("no overload by informed couriers was counted")
	}
	if f.overSlowStart == 0 || f.overSlowStartByInformed == 0 {
		t.Errorf("%d recoveries were counted as over the slow start budget, %d of them mostly by calls of informed couriers; want at least one of each", f.overSlowStart, f.overSlowStartByInformed)
	}
}
