package simulation

import (
	"maps"
	"math"
	"slices"
	"testing"

	"pineport/dispatch"
	"pineport/testbed/scenario"
)

// outageKinds are the ways in which a destination may fail as a whole; the seeds of a fleet take them by steps.
var outageKinds = []string{"refuse", "silent", "hang", "shut", "errors"}

// knowingShare of the calls that push a destination over must come from couriers that had seen the outage, or it is a fall
// and no broken rule.
const knowingShare = 2.0 / 3

// returnBudget is how many calls a cold destination takes within the span of the rule: calls is what the settings allow,
// and 2*sqrt(calls)+2 beyond it are put down to chance. It is of what all couriers of the fleet send together.
func returnBudget(calls float64) float64 { return calls + 2*math.Sqrt(calls) + 2 }

// slowStartBudget is how many calls a server in slow start may get in the span of the rule: calls is what the settings allow, and
// 2*sqrt(calls)+2 beyond it (3*sqrt(calls)+3 under 30 calls) are put down to chance. It binds on every day, whoever sent the calls
// and however many couriers run (RULES).
func slowStartBudget(calls float64) float64 {
	const fewCalls = 30
	if calls < fewCalls {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return returnBudget(calls)
}

// fleetCall is one call of one courier, as far as it weighs on a cold destination.
type fleetCall struct {
	at      dispatch.Micros
	courier int
	knowing bool // its courier had seen a call fail or be refused in the outage
}

// watchedRoute is what shares one return: a destination, or one of its endpoints where they are routes apart.
type watchedRoute struct {
	plan      *scenario.Destination
	endpoints int
	out, cold dispatch.Micros // when its outage began, and when it came back; out 0: it had none
	knowing   map[int]bool    // the couriers that had seen the outage
	window    []fleetCall     // the calls of the last span, of the whole fleet
	worst     windowLoad
	pushed    bool       // some span had too many calls, and they came from couriers that knew
	worstSlow windowLoad // against the slow start budget
	fell      bool       // some span was over the slow start budget, whoever sent the calls
	fellKnown bool       // ... and its calls came from couriers that knew
}

// windowLoad is the calls of one span against what the destination takes in it.
type windowLoad struct {
	calls, knowing int
	budget         float64
	sinceCold      dispatch.Micros
}

func (w windowLoad) ratio() float64 { return float64(w.calls) / max(w.budget, 1e-9) }
func (w windowLoad) over() bool     { return float64(w.calls) > w.budget }

// known tells whether the calls came from couriers that had seen the outage.
func (w windowLoad) known() bool { return float64(w.knowing) >= knowingShare*float64(w.calls) }

// count adds a call at an instant of the ramp, and keeps the fullest span.
func (r *watchedRoute) count(now dispatch.Micros, courier int) {
	plan := &r.plan.Plan
	if r.out == 0 || now < r.cold || now >= r.cold+plan.SlowStart {
		return
	}
	r.window = append(r.window, fleetCall{now, courier, r.knowing[courier]})
	for now-r.window[0].at > plan.OverloadWindow {
		r.window = r.window[1:]
	}
	warm := plan.SlowStartInitialShare + (1-plan.SlowStartInitialShare)*float64(now-r.cold)/float64(plan.SlowStart)
	capacity := plan.Capacity() * float64(r.endpoints) * warm
	allowed := plan.OverloadFactor * capacity * float64(plan.OverloadWindow) / 1e6
	load := windowLoad{calls: len(r.window), sinceCold: now - r.cold, budget: returnBudget(allowed)}
	for _, c := range r.window {
		if c.knowing {
			load.knowing++
		}
	}
	if load.ratio() > r.worst.ratio() {
		r.worst = load
	}
	r.pushed = r.pushed || load.over() && load.known()
	slow := load
	if slow.budget = slowStartBudget(allowed); slow.ratio() > r.worstSlow.ratio() {
		r.worstSlow = slow
	}
	r.fell = r.fell || slow.over()
	r.fellKnown = r.fellKnown || slow.over() && slow.known()
}

// returnCounter hosts the decisions as LocalHost does, and counts what the whole fleet sends to destinations that come back.
// It sees what the couriers are notified and what they do, and nothing of the model of the destinations.
type returnCounter struct {
	Host
	routes   map[dispatch.EndpointID]*watchedRoute
	attempts map[int]map[dispatch.MessageID][]dispatch.EndpointID // by courier: where each attempt of a message went
}

// newReturnCounter watches the returns of a day on which each route has one outage at most.
func newReturnCounter(w *scenario.Instance, host Host) *returnCounter {
	c := &returnCounter{Host: host, routes: map[dispatch.EndpointID]*watchedRoute{},
		attempts: map[int]map[dispatch.MessageID][]dispatch.EndpointID{}}
	for i := range w.Destinations {
		d := &w.Destinations[i]
		var route *watchedRoute
		for _, e := range d.Endpoints {
			if route == nil || d.SeparateRoutes {
				route = &watchedRoute{plan: d, knowing: map[int]bool{}}
			}
			route.endpoints++
			c.routes[e.ID] = route
		}
	}
	for _, a := range w.Events {
		switch a.Kind {
		case scenario.FaultBegins:
			c.routes[a.Endpoint.ID].out = a.At
		case scenario.FaultEnds:
			c.routes[a.Endpoint.ID].cold = a.At
		}
	}
	return c
}

// Start implements Host.
func (c *returnCounter) Start(courier int, ch dispatch.Config, settings map[string]string) error {
	c.attempts[courier] = map[dispatch.MessageID][]dispatch.EndpointID{}
	return c.Host.Start(courier, ch, settings)
}

// Step implements Host.
func (c *returnCounter) Turn(now dispatch.Micros, batches []Batch) ([][]dispatch.Action, error) {
	all, err := c.Host.Step(now, batches)
	for i := range all {
		c.sent(now, batches[i].Courier, all[i])
		c.learned(now, batches[i]) // known from the next batch on
	}
	return all, err
}

// returned lists the routes that came back, each once.
func (c *returnCounter) returned() (all []*watchedRoute) {
	for _, id := range slices.Sorted(maps.Keys(c.routes)) {
		if r := c.routes[id]; r.out > 0 && !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// learned notes who has seen an outage while it lasts.
func (c *returnCounter) learned(now dispatch.Micros, b Batch) {
	for _, event := range b.Events {
		e, ok := event.(dispatch.AttemptFinished)
		if !ok || e.Outcome == dispatch.Delivered || e.Outcome == dispatch.Unprocessed || e.Outcome == dispatch.Canceled {
			continue
		}
		r := c.routes[c.attempts[b.Courier][e.Message][e.Attempt]]
		if r.out > 0 && now >= r.out && now < r.cold {
			r.knowing[b.Courier] = true
		}
	}
}

// sent counts the calls of one step: messages for one endpoint go together, as many as its kind takes.
func (c *returnCounter) sent(now dispatch.Micros, courier int, actions []dispatch.Action) {
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

// rampRules are what settings say of a return.
type rampRules struct {
	coldFrom, multiple, span float64
}

// returnsDay is the day of testdata/returns.toml for a fleet, with one kind of outage.
func returnsDay(t *testing.T, seed int64, couriers int, rules rampRules) *scenario.Instance {
	t.Helper()
	d := readDay(t, "returns")
	d.Fleet.Couriers = couriers
	d.Rules.SlowStartInitialShare, d.Rules.OverloadFactor, d.Rules.OverloadWindow = rules.coldFrom, rules.multiple, rules.span
	outage := &d.Faults[0]
	if outage.Kind = outageKind(seed); outage.Kind == "errors" {
		outage.Size = scenario.Range{1, 1}
	}
	return scenario.Draw(d, seed)
}

func outageKind(seed int64) string { return outageKinds[int(seed)%len(outageKinds)] }

// neverFalls is the same day with destinations that take any load, so that each return is counted to its end.
func neverFalls(w *scenario.Instance) *scenario.Instance {
	all := *w
	all.Destinations = slices.Clone(w.Destinations)
	for i := range all.Destinations {
		all.Destinations[i].OverloadFactor = 0
	}
	return &all
}

// fleetReturns is what the returns of one fleet came to over all seeds.
type fleetReturns struct {
	returns, over, pushed int // routes that came back; those sent too much; those sent too much by couriers that knew
	seedsOver             int
	worst                 windowLoad
	worstSeed             int64
	fell, fellKnown       int        // returns over the slow start budget; those by couriers that knew
	worstSlow             windowLoad // against the slow start budget
	worstSlowSeed         int64
}

// add takes in the returns of one play.
func (f *fleetReturns) add(t *testing.T, seed int64, c *returnCounter) {
	t.Helper()
	before := f.over
	for _, r := range c.returned() {
		f.returns++
		if r.pushed {
			f.pushed++
		}
		if r.worst.over() {
			f.over++
			t.Logf("seed %d, %s: %d calls, %d of them by couriers that knew, of %.1f at most, %.2f s after the return", seed,
				outageKind(seed), r.worst.calls, r.worst.knowing, r.worst.budget, float64(r.worst.sinceCold)/1e6)
		}
		if r.worst.ratio() > f.worst.ratio() {
			f.worst, f.worstSeed = r.worst, seed
		}
		if r.fell {
			f.fell++
			t.Logf("seed %d, %s: over the slow start budget: %d calls, %d of them by couriers that knew, of %.1f at most, %.2f s after the return",
				seed, outageKind(seed), r.worstSlow.calls, r.worstSlow.knowing, r.worstSlow.budget, float64(r.worstSlow.sinceCold)/1e6)
		}
		if r.fellKnown {
			f.fellKnown++
		}
		if r.worstSlow.ratio() > f.worstSlow.ratio() {
			f.worstSlow, f.worstSlowSeed = r.worstSlow, seed
		}
	}
	if f.over > before {
		f.seedsOver++
	}
}

func playReturns(t *testing.T, seeds int64, couriers int, rules rampRules, decide func(int, dispatch.Config) Decider) (f fleetReturns) {
	t.Helper()
	for seed := int64(1); seed <= seeds; seed++ {
		w := returnsDay(t, seed, couriers, rules)
		counter := newReturnCounter(w, NewLocalHost(decide))
		if _, _, err := Play(neverFalls(w), counter, Options{}); err != nil {
			t.Fatal(err)
		}
		f.add(t, seed, counter)
	}
	t.Logf("%d couriers: %d returns, worst %.2f of what a cold destination takes (%d calls, %.1f taken, seed %d); %d of %d seeds over, %d pushed by who knew",
		couriers, f.returns, f.worst.ratio(), f.worst.calls, f.worst.budget, f.worstSeed, f.seedsOver, seeds, f.pushed)
	t.Logf("%d couriers, slow start budget: worst %.2f of it (%d calls, %.1f allowed, seed %d); %d of %d returns over, %d of these by who knew",
		couriers, f.worstSlow.ratio(), f.worstSlow.calls, f.worstSlow.budget, f.worstSlowSeed, f.fell, f.returns, f.fellKnown)
	return f
}

// TestFleetReturns: whatever the size of the fleet, no cold destination gets more than its budget from couriers that had
// seen its outage, and hardly ever more from all together; and the slow start budget binds on every return, whoever sent the calls.
func TestFleetReturns(t *testing.T) {
	const seeds = 50
	// maxSeedsOver bounds days on which couriers that had seen no outage sent too much all the same: no rule is broken by
	// that, but the destination falls.
	const maxSeedsOver = 2
	usual := rampRules{coldFrom: 0.13, multiple: 2.5, span: 2}
	for _, fleet := range []struct {
		name     string
		couriers int
		rules    rampRules
	}{
		{"1 courier", 1, usual},
		{"3 couriers", 3, usual},
		{"5 couriers", 5, usual},
		{"20 couriers", 20, usual},
		{"30 couriers", 30, usual},
		{"30 couriers, a smaller multiple over a short span", 30, rampRules{coldFrom: 0.2, multiple: 2, span: 1.5}},
		{"30 couriers, the smallest multiple over a long span", 30, rampRules{coldFrom: 0.26, multiple: 1.5, span: 3}},
	} {
		t.Run(fleet.name, func(t *testing.T) {
			f := playReturns(t, seeds, fleet.couriers, fleet.rules, nil)
			if f.returns < seeds {
				t.Errorf("%d returns on %d days: too few to tell", f.returns, seeds)
			}
			if f.pushed > 0 {
				t.Errorf("%d returns were pushed over by couriers that had seen the outage", f.pushed)
			}
			if f.seedsOver > maxSeedsOver {
				t.Errorf("too many calls on %d of %d days, at most %d", f.seedsOver, seeds, maxSeedsOver)
			}
			if f.fell > 0 {
				t.Errorf("%d returns got more than the slow start budget, %d of them from couriers that had seen the outage", f.fell, f.fellKnown)
			}
		})
	}
}

// TestReturnCounterSeesAPush: couriers that heed no return are caught by the count of TestFleetReturns.
func TestReturnCounterSeesAPush(t *testing.T) {
	f := playReturns(t, 2, 20, rampRules{coldFrom: 0.13, multiple: 2.5, span: 2}, func(_ int, ch dispatch.Config) Decider {
		return &eager{ch: ch, list: map[dispatch.DestinationID][]dispatch.EndpointID{}, dest: map[dispatch.MessageID]dispatch.MessageAccepted{}}
	})
	if f.pushed == 0 {
		t.Error("no return counts as pushed over")
	}
	if f.fell == 0 || f.fellKnown == 0 {
		t.Errorf("%d returns count as over the slow start budget, %d by who knew", f.fell, f.fellKnown)
	}
}
