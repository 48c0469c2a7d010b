package capacity

import "pineport/testbed/slopes"

// Aspect is one of the questions that the page answers about an event.
type Aspect string

// Aspects, in the order in which the page lists them.
const (
	AspectMessages  Aspect = "messages"
	AspectKnown     Aspect = "time until known"
	AspectMeanwhile Aspect = "in force meanwhile"
	AspectCaughtUp  Aspect = "time until caught up"
)

// Event is a failure or change in a fleet of the planned size.
type Event struct {
	Name      string
	Frequency func(*Plan, *Derived) (count float64, frequency string) // for example 28, "a day"
	Lines     []EventLine
}

// EventLine describes one consequence of an event, in words or by a figure.
type EventLine struct {
	Aspect Aspect
	Text   string
	Row    *Row // nil: there is only Text
}

// EventResult is an event with the computed figures.
type EventResult struct {
	Name      string       `json:"name"`
	Count     float64      `json:"count"`
	Frequency string       `json:"often"`
	Lines     []LineResult `json:"lines"`
}

// LineResult is one line of an event with its computed figure.
type LineResult struct {
	Aspect Aspect     `json:"aspect"`
	Text   string     `json:"text,omitempty"`
	Result *RowResult `json:"answer,omitempty"`
}

// Evaluate computes the figures of an event.
func (e *Event) Evaluate(plan *Plan, d *Derived, measured *slopes.Measured) (EventResult, error) {
	result := EventResult{Name: e.Name}
	result.Count, result.Frequency = e.Frequency(plan, d)
	for _, line := range e.Lines {
		lineResult := LineResult{Aspect: line.Aspect, Text: line.Text}
		if line.Row != nil {
			row := *line.Row
			row.Role = RoleEvent
			rowResult, err := row.Evaluate(plan, d, measured)
			if err != nil {
				return result, err
			}
			lineResult.Result = &rowResult
		}
		result.Lines = append(result.Lines, lineResult)
	}
	return result, nil
}

func textLine(aspect Aspect, text string) EventLine { return EventLine{Aspect: aspect, Text: text} }

func arithmeticLine(aspect Aspect, what, unit string, figure func(*Plan, *Derived) float64) EventLine {
	return EventLine{Aspect: aspect, Row: &Row{Resource: Messages, What: what, Unit: unit, Computed: figure, Package: "arithmetic"}}
}

// resourceOf returns Latency for a figure in seconds and Messages for any other.
func resourceOf(unit string) Resource {
	if unit == "s" {
		return Latency
	}
	return Messages
}

func slopeLine(aspect Aspect, what, unit, slope, slopeUnit string, over Size, times func(*Plan, *Derived) float64) EventLine {
	return EventLine{Aspect: aspect, Row: &Row{Resource: resourceOf(unit), What: what, Unit: unit, Parts: singleSlope(slope, slopeUnit, over, times)}}
}

// withUpperBound limits the figure of the line's slope.
func withUpperBound(line EventLine, limit float64) EventLine {
	line.Row.Parts[0].AtMost = limit
	return line
}

func unmeasuredLine(aspect Aspect, what, unit, why string) EventLine {
	return EventLine{Aspect: aspect, Row: &Row{Resource: Latency, What: what, Unit: unit, NoFigureReason: why}}
}

// withMechanism sets the mechanism and the packages that a line belongs to.
func withMechanism(line EventLine, mechanism MechanismID, pkg string) EventLine {
	line.Row.Mechanism, line.Row.Package = mechanism, pkg
	return line
}

func withBudget(line EventLine, budget func(*Plan) Budget, mechanism MechanismID, pkg string) EventLine {
	line.Row.Budget = budget
	return withMechanism(line, mechanism, pkg)
}

// Events returns all events of the page's second part, in the order of the page.
func Events() []Event {
	return []Event{machineFails(), restart(), rackFails(), zoneFails(), regionCut(), changesOfADay(), destinationsDown(), destinationsBack()}
}

func machineFails() Event {
	return Event{Name: "a machine fails, and its disk is lost",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.MachinesPerDay, "a day" },
		Lines: []EventLine{
			withMechanism(arithmeticLine(AspectMessages, "messages whose only copy was on its disk, at the full backlog", "events",
				func(_ *Plan, d *Derived) float64 { return d.LostPerMachine }), OnlyCopy, "spool"),
			withMechanism(arithmeticLine(AspectMessages, "words of operators, as each courier is told by itself that one is gone", "words/day",
				func(_ *Plan, d *Derived) float64 { return d.RemovalCommandsPerDay }), Membership, "membership"),
			slopeLine(AspectKnown, "until all know of it", "s", "couriers.death.all", "s", fleetMembers, nil),
			slopeLine(AspectKnown, "until half of them do", "s", "couriers.death.half", "s", fleetMembers, nil),
			textLine(AspectMeanwhile, "the other couriers still count the failed one, so no quota share grows; clients of the failed courier switch to other couriers"),
			textLine(AspectCaughtUp, "quota that it lent to others expires after 4 s, and quota lent to it returns after 4.1 s; its own quota share is unused until "+
				"an operator declares it as removed; messages whose only copy was on its disk are lost"),
		}}
}

func restart() Event {
	return Event{Name: "a courier is restarted or replaced",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.RestartsPerDay, "a day" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "whole lists asked of discovery", "lists/s", restartRate),
			textLine(AspectKnown, "a courier announces a planned shutdown, and couriers that receive the announcement know at once; any other exit is detected as a failure"),
			textLine(AspectMeanwhile, "the courier rejects its clients, which use other couriers; its messages wait on its disk; the courier's learned state stays valid for 30 s, for the "+
				"most recently called routes that fit into 256 KiB (about 950)"),
			withBudget(slopeLine(AspectCaughtUp, "until the first step with a full backlog is over", "s", "held.restart.many", "s", heldMessages, nil),
				readySeconds, HeldRestart, "spool, server, dispatch"),
			withBudget(slopeLine(AspectCaughtUp, "a whole list parsed and taken in, the router's own books not counted", "s", "changes.list_seconds", "s",
				listedEndpoints, nil), readySeconds, FullList, "protocol, dispatch"),
			withBudget(slopeLine(AspectCaughtUp, "the first list, the decisions alone", "s", "destinations.first_list", "s", knownDestinations, nil), readySeconds, FullList, dispatchListPkg),
			slopeLine(AspectCaughtUp, "couriers that are starting at any moment, by these restarts alone", "couriers", "held.restart.many", "s", heldMessages,
				restartRate),
			textLine(AspectCaughtUp, "half of each quota share is unused for 4.1 s, as the previous process may have lent it"),
		}}
}

func rackFails() Event {
	return Event{Name: "a rack or switch fails",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.RacksPerYear, "a year" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "events a second that clients take elsewhere", "events/s",
				func(p *Plan, d *Derived) float64 { return p.Failures.RackCouriers * d.EventsPerCourier }),
			arithmeticLine(AspectMessages, "messages that wait behind it, at the full backlog", "events",
				func(p *Plan, d *Derived) float64 { return p.Failures.RackCouriers * d.HeldPerCourier }),
			unmeasuredLine(AspectKnown, "until all know that all of it is gone", "s", "no run lets so many couriers fail at once; the failures of one courier and of a zone are measured"),
			textLine(AspectMeanwhile, "the same as for one machine; couriers behind a failed switch may still be running, and are counted"),
			textLine(AspectCaughtUp, "if a switch failed: the same as after a region is cut off; if the rack was lost: the same as after a failed machine, for each courier of the rack"),
		}}
}

func zoneFails() Event {
	return Event{Name: "a zone fails, and comes back",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.ZonesPerYear, "a year" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "couriers of a zone", "couriers", func(_ *Plan, d *Derived) float64 { return d.CouriersPerZone }),
			arithmeticLine(AspectMessages, "events a second that clients take elsewhere", "events/s",
				func(_ *Plan, d *Derived) float64 { return d.CouriersPerZone * d.EventsPerCourier }),
			arithmeticLine(AspectMessages, "more for each of the others", "share",
				func(p *Plan, d *Derived) float64 {
					return d.CouriersPerZone / max(1, p.Fleet.Couriers-d.CouriersPerZone)
				}),
			slopeLine(AspectKnown, "until all know all of it", "s", "couriers.zone_death.all", "s", fleetMembers, nil),
			slopeLine(AspectKnown, "its return, until all hear all", "s", "couriers.zone_return.all", "s", fleetMembers, nil),
			textLine(AspectMeanwhile, "its couriers are still counted: the others use only their own quota shares, and the zone's share of each limit stays unused"),
			arithmeticLine(AspectCaughtUp, "whole lists asked of discovery as it comes back", "lists", func(_ *Plan, d *Derived) float64 { return d.CouriersPerZone }),
			textLine(AspectCaughtUp, "a smaller fleet size set by an operator takes effect within 10 s, at a different time on each courier; a larger one takes effect at once"),
		}}
}

func regionCut() Event {
	return Event{Name: "a region is cut off and reconnected",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.RegionCutsPerYear, "a year" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "couriers on its side", "couriers", func(_ *Plan, d *Derived) float64 { return d.CouriersPerRegion }),
			arithmeticLine(AspectMessages, "events that it takes meanwhile", "events",
				func(p *Plan, d *Derived) float64 {
					return d.CouriersPerRegion * d.EventsPerCourier * p.Failures.RegionCutSeconds
				}),
			unmeasuredLine(AspectKnown, "until each side knows that the other is gone", "s", "no run partitions a simulated fleet of this size; docs/membership.md reports a cut of a third of 30 members"),
			textLine(AspectMeanwhile, "both sides count all couriers, so together they stay within every limit; no quota is lent across the cut; each side keeps its "+
				"endpoint list and settings"),
			arithmeticLine(AspectCaughtUp, "changes that wait when it is back", "changes", func(_ *Plan, d *Derived) float64 { return d.ChangesWaitingAfterCut }),
			slopeLine(AspectCaughtUp, "their bytes, in one answer of discovery to each courier", "bytes", "changes.catchup_bytes", "bytes", waitingChanges, nil),
			slopeLine(AspectCaughtUp, "to read them and take them in, with 10,000 on the list, as in the run", "s", "changes.catchup_seconds", "s", waitingChanges, nil),
			slopeLine(AspectCaughtUp, "steps to take them in one by one, with all destinations known", "s", "destinations.change", "s", knownDestinations, waitingChangeCount),
			slopeLine(AspectCaughtUp, "a whole list in place of them", "s", "destinations.list_again", "s", knownDestinations, nil),
			slopeLine(AspectCaughtUp, "couriers that still go by the settings before, until somebody hands them out again", "ratio", "changes.stale_ratio", "ratio",
				fleetCouriers, nil),
		}}
}

// maxNotificationSeconds is the longest time until the run changes has notified every courier that discovery can reach, without faults:
// discovery answers 20 to 200 ms after a change (testbed/scale/directorychanges.go), and a courier steps every 5 ms.
const maxNotificationSeconds = 0.205

// Mean pauses between the calls of a courier to a discovery that is down, in seconds, after some failures (dispatch/listing.go).
const (
	meanPushedRetrySeconds = 0.25
	meanPolledRetrySeconds = 1.2
)

func changesOfADay() Event {
	notificationLine := func(what, slope string) EventLine {
		return withBudget(slopeLine(AspectKnown, what, "s", slope, "s", fleetCouriers, nil), inForceSeconds, FullList, "protocol, server")
	}
	withoutFaults := func(what, slope string) EventLine {
		return withUpperBound(notificationLine(what, slope), maxNotificationSeconds)
	}
	return Event{Name: "a change of configuration",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Changes.PerDay, "a day" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "messages, one a courier and change", "messages/s", fleetChangeRate),
			withoutFaults("of the list, until the last courier is told, median", "changes.everywhere_seconds.median"),
			withoutFaults("of the list, until the last courier is told, 99.9 in 100", "changes.everywhere_seconds.worst"),
			notificationLine("of the list, until the last courier is told, with restarts and 5 s without discovery, median", "changes.everywhere_seconds.troubled_median"),
			notificationLine("of the list, until the last courier is told, with restarts and 5 s without discovery, 99.9 in 100", "changes.everywhere_seconds.troubled_worst"),
			notificationLine("of the list, until a courier that discovery can reach is told, 99.9 in 100", "changes.told_seconds.reachable_worst"),
			withBudget(unmeasuredLine(AspectKnown, "of settings, until in force everywhere", "s", "nothing distributes settings between machines: each courier "+
				"rereads its own file on a signal"), inForceSeconds, HandOut, "config, server"),
			textLine(AspectMeanwhile, "each courier keeps its current list and settings; a faulty file has no effect"),
			arithmeticLine(AspectMeanwhile, "calls to a discovery that is down, all couriers, where lists are pushed by an agent beside each", "calls/s",
				func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers / meanPushedRetrySeconds }),
			arithmeticLine(AspectMeanwhile, "calls to a discovery that is down, all couriers, where they poll for lists", "calls/s",
				func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers / meanPolledRetrySeconds }),
			slopeLine(AspectCaughtUp, "a courier's decisions, for one change of its list", "s", "destinations.change", "s", knownDestinations, nil),
			slopeLine(AspectCaughtUp, "processor time of all couriers for one change of settings, once their files are there", "s", "changes.handout_seconds", "s", fleetCouriers, nil),
		}}
}

func destinationsDown() Event {
	return Event{Name: "destinations are down, on an ordinary day",
		Frequency: func(_ *Plan, d *Derived) (float64, string) { return d.DestinationsDown, "at any moment" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "events a second for them", "events/s", func(_ *Plan, d *Derived) float64 { return d.EventsToDownPerSecond }),
			slopeLine(AspectMessages, "calls into an outage for each message that it holds up, connections refused", "calls", "outage.failed_calls.refusing", "calls",
				equivalentCouriers, perOutageMessage),
			arithmeticLine(AspectKnown, "until one courier has met a destination six times, which opens its breaker", "s", func(_ *Plan, d *Derived) float64 { return d.BreakerOpeningSeconds }),
			slopeLine(AspectKnown, "couriers that call it and park it before it is back, where it is down for 30 s", "ratio", "outage.parked_share.refusing", "ratio",
				equivalentCouriers, nil),
			withUpperBound(slopeLine(AspectKnown, "until a courier that calls parks it, mean; 30 s, its end, where it doesn't", "s", "outage.parked_after.refusing", "s",
				equivalentCouriers, nil), outageSeconds),
			textLine(AspectMeanwhile, "messages wait in the courier that accepted them, which retries them at its own minimum interval between calls"),
			arithmeticLine(AspectCaughtUp, "messages that wait for one of them, at the full backlog", "events", func(_ *Plan, d *Derived) float64 { return d.BacklogPerDestination }),
		}}
}

func destinationsBack() Event {
	return Event{Name: "destinations come back",
		Frequency: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.DestinationsBackAtOnce, "at once" },
		Lines: []EventLine{
			arithmeticLine(AspectMessages, "messages that wait for them, at the full backlog", "events",
				func(p *Plan, d *Derived) float64 { return p.Failures.DestinationsBackAtOnce * d.BacklogPerDestination }),
			slopeLine(AspectMessages, "calls in the first second after the return of one, all couriers", "calls", "outage.return_calls.refusing", "calls", equivalentCouriers, perOutageDestination),
			arithmeticLine(AspectKnown, "until a given courier calls one of them for a new message", "s", func(_ *Plan, d *Derived) float64 { return d.EventIntervalSeconds }),
			textLine(AspectMeanwhile, "each courier makes its own trials, one at a time, and stays within its share of the slow start"),
			arithmeticLine(AspectCaughtUp, "until the backlog of one is delivered", "s", func(_ *Plan, d *Derived) float64 { return d.DrainSeconds }),
		}}
}
