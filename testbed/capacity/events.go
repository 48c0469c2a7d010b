package capacity

import "pineport/testbed/slopes"

// Aspect is one question about an event.
type Aspect string

// Aspects, in the order of the page.
const (
	AspectMessages  Aspect = "messages"
	AspectKnown     Aspect = "time until known"
	AspectMeanwhile Aspect = "in force meanwhile"
	AspectCaughtUp  Aspect = "time until caught up"
)

// Event is something that happens to a fleet of the planned size.
type Event struct {
	Name  string
	Often func(*Plan, *Derived) (count float64, often string) // such as 28, "a day"
	Lines []EventLine
}

// EventLine says something of an event: in words, by a figure, or both.
type EventLine struct {
	Aspect Aspect
	Text   string
	Row    *Row // nil: words alone
}

// EventAnswer is an event worked out.
type EventAnswer struct {
	Name  string       `json:"name"`
	Count float64      `json:"count"`
	Often string       `json:"often"`
	Lines []LineAnswer `json:"lines"`
}

// LineAnswer is one line of it.
type LineAnswer struct {
	Aspect Aspect  `json:"aspect"`
	Text   string  `json:"text,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Evaluate works an event out.
func (e *Event) Work(plan *Plan, d *Derived, measured *slopes.Measured) (EventAnswer, error) {
	answer := EventAnswer{Name: e.Name}
	answer.Count, answer.Often = e.Often(plan, d)
	for _, line := range e.Lines {
		worked := LineAnswer{Aspect: line.Aspect, Text: line.Text}
		if line.Row != nil {
			row := *line.Row
			row.Role = RoleEvent
			one, err := row.Work(plan, d, measured)
			if err != nil {
				return answer, err
			}
			worked.Answer = &one
		}
		answer.Lines = append(answer.Lines, worked)
	}
	return answer, nil
}

func words(aspect Aspect, text string) EventLine { return EventLine{Aspect: aspect, Text: text} }

func worked(aspect Aspect, what, unit string, figure func(*Plan, *Derived) float64) EventLine {
	return EventLine{Aspect: aspect, Row: &Row{Resource: Messages, What: what, Unit: unit, Worked: figure, Package: "arithmetic"}}
}

// resourceOf tells times from counts.
func resourceOf(unit string) Resource {
	if unit == "s" {
		return Latency
	}
	return Messages
}

func carried(aspect Aspect, what, unit, slope, slopeUnit string, over Size, times func(*Plan, *Derived) float64) EventLine {
	return EventLine{Aspect: aspect, Row: &Row{Resource: resourceOf(unit), What: what, Unit: unit, Parts: one(slope, slopeUnit, over, times)}}
}

// atMost bounds the figure of a line's slope.
func atMost(line EventLine, most float64) EventLine {
	line.Row.Parts[0].AtMost = most
	return line
}

func unmeasured(aspect Aspect, what, unit, why string) EventLine {
	return EventLine{Aspect: aspect, Row: &Row{Resource: Latency, What: what, Unit: unit, None: why}}
}

// by says which mechanism a line rests on.
func by(line EventLine, mechanism MechanismID, pkg string) EventLine {
	line.Row.Mechanism, line.Row.Package = mechanism, pkg
	return line
}

func withBudget(line EventLine, budget func(*Plan) Budget, mechanism MechanismID, pkg string) EventLine {
	line.Row.Budget = budget
	return by(line, mechanism, pkg)
}

// Events are all events of the page's second part, in its order.
func Events() []Event {
	return []Event{machineFails(), restart(), rackFails(), zoneFails(), regionCut(), changesOfADay(), destinationsDown(), destinationsBack()}
}

func machineFails() Event {
	return Event{Name: "a machine fails and takes its disk along",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.MachinesPerDay, "a day" },
		Lines: []EventLine{
			by(worked(AspectMessages, "messages whose only copy was on its disk, at the full backlog", "events",
				func(_ *Plan, d *Derived) float64 { return d.LostPerMachine }), OnlyCopy, "spool"),
			by(worked(AspectMessages, "words of operators, as each courier is told by itself that one is gone", "words/day",
				func(_ *Plan, d *Derived) float64 { return d.GoneWordsPerDay }), Membership, "membership"),
			carried(AspectKnown, "until all know of it", "s", "couriers.death.all", "s", fleetMembers, nil),
			carried(AspectKnown, "until half of them do", "s", "couriers.death.half", "s", fleetMembers, nil),
			words(AspectMeanwhile, "it is counted as before, so nobody's part of a limit grows; its clients go to other couriers by themselves"),
			words(AspectCaughtUp, "parts that it had lent lapse after 4 s, those lent to it are back after 4.1 s; its own part is missing until an operator "+
				"says that it is gone; messages on its disk alone are never caught up"),
		}}
}

func restart() Event {
	return Event{Name: "a courier is restarted or replaced",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.RestartsPerDay, "a day" },
		Lines: []EventLine{
			worked(AspectMessages, "whole lists asked of discovery", "lists/s", eachRestart),
			words(AspectKnown, "a planned end is told by word, at once where it is heard; an unplanned one is known as a death"),
			words(AspectMeanwhile, "clients are turned away and go elsewhere; its messages wait on its disk; what it had learned is believed for 30 s, for the "+
				"routes called last that fit 256 KiB (some 950)"),
			withBudget(carried(AspectCaughtUp, "until the first step with a full backlog is over", "s", "held.restart.many", "s", heldMessages, nil),
				readySeconds, HeldRestart, "spool, server, dispatch"),
			withBudget(carried(AspectCaughtUp, "a whole list parsed and taken in, the router's own books not counted", "s", "changes.list_seconds", "s",
				listedEndpoints, nil), readySeconds, FullList, "protocol, dispatch"),
			withBudget(carried(AspectCaughtUp, "the first list, the decisions alone", "s", "destinations.first_list", "s", knownDestinations, nil), readySeconds, FullList, decisionsList),
			carried(AspectCaughtUp, "couriers that are starting at any moment, by these restarts alone", "couriers", "held.restart.many", "s", heldMessages,
				eachRestart),
			words(AspectCaughtUp, "half of each part of a limit is held back for 4.1 s, as an earlier start may have lent it"),
		}}
}

func rackFails() Event {
	return Event{Name: "a rack or switch fails",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.RacksPerYear, "a year" },
		Lines: []EventLine{
			worked(AspectMessages, "events a second that clients take elsewhere", "events/s",
				func(p *Plan, d *Derived) float64 { return p.Failures.RackCouriers * d.EventsPerCourier }),
			worked(AspectMessages, "messages that wait behind it, at the full backlog", "events",
				func(p *Plan, d *Derived) float64 { return p.Failures.RackCouriers * d.HeldPerCourier }),
			unmeasured(AspectKnown, "until all know that all of it is gone", "s", "no run has so many die at once; one death and a zone's are measured"),
			words(AspectMeanwhile, "as for one machine; behind a switch the couriers may be at work, and are counted"),
			words(AspectCaughtUp, "behind a switch: as after a region's cut. With a rack lost: as for one machine, each"),
		}}
}

func zoneFails() Event {
	return Event{Name: "a zone fails, and comes back",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.ZonesPerYear, "a year" },
		Lines: []EventLine{
			worked(AspectMessages, "couriers of a zone", "couriers", func(_ *Plan, d *Derived) float64 { return d.CouriersPerZone }),
			worked(AspectMessages, "events a second that clients take elsewhere", "events/s",
				func(_ *Plan, d *Derived) float64 { return d.CouriersPerZone * d.EventsPerCourier }),
			worked(AspectMessages, "more for each of the others", "share",
				func(p *Plan, d *Derived) float64 {
					return d.CouriersPerZone / max(1, p.Fleet.Couriers-d.CouriersPerZone)
				}),
			carried(AspectKnown, "until all know all of it", "s", "couriers.zone_death.all", "s", fleetMembers, nil),
			carried(AspectKnown, "its return, until all hear all", "s", "couriers.zone_return.all", "s", fleetMembers, nil),
			words(AspectMeanwhile, "its couriers are counted as before: the others use only their own parts, a zone's share of every limit lies idle"),
			worked(AspectCaughtUp, "whole lists asked of discovery as it comes back", "lists", func(_ *Plan, d *Derived) float64 { return d.CouriersPerZone }),
			words(AspectCaughtUp, "a smaller count, were an operator to say it, is taken up within 10 s, not in step; a larger one at once"),
		}}
}

func regionCut() Event {
	return Event{Name: "a region is cut off, and back",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.RegionCutsPerYear, "a year" },
		Lines: []EventLine{
			worked(AspectMessages, "couriers on its side", "couriers", func(_ *Plan, d *Derived) float64 { return d.CouriersPerRegion }),
			worked(AspectMessages, "events that it takes meanwhile", "events",
				func(p *Plan, d *Derived) float64 {
					return d.CouriersPerRegion * d.EventsPerCourier * p.Failures.RegionCutSeconds
				}),
			unmeasured(AspectKnown, "until each side knows that the other is gone", "s", "no run cuts a hollow fleet of this size; docs/membership.md has a third of thirty"),
			words(AspectMeanwhile, "both sides count all couriers, so both together keep to every limit; nothing is shared across; each goes on with the list "+
				"and settings that it has"),
			worked(AspectCaughtUp, "changes that wait when it is back", "changes", func(_ *Plan, d *Derived) float64 { return d.ChangesWaitingAfterCut }),
			carried(AspectCaughtUp, "their bytes, in one answer of discovery to each courier", "bytes", "changes.catchup_bytes", "bytes", waitingChanges, nil),
			carried(AspectCaughtUp, "to read them and take them in, with 10,000 on the list, as in the run", "s", "changes.catchup_seconds", "s", waitingChanges, nil),
			carried(AspectCaughtUp, "steps to take them in one by one, with all destinations known", "s", "destinations.change", "s", knownDestinations, eachWaiting),
			carried(AspectCaughtUp, "a whole list in place of them", "s", "destinations.list_again", "s", knownDestinations, nil),
			carried(AspectCaughtUp, "couriers that still go by the settings before, until somebody hands them out again", "ratio", "changes.stale_ratio", "ratio",
				fleetCouriers, nil),
		}}
}

// toldWithin is by when, in seconds, the run changes has reported every courier that discovery reaches, in calm: discovery tells 20 to 200 ms
// after a change (testbed/scale/directorychanges.go), and a courier steps every 5 ms.
const notifiedWithin = 0.205

func changesOfADay() Event {
	notified := func(what, slope string) EventLine {
		return withBudget(carried(AspectKnown, what, "s", slope, "s", fleetCouriers, nil), inForce, FullList, "protocol, server")
	}
	calm := func(what, slope string) EventLine { return atMost(notified(what, slope), notifiedWithin) }
	return Event{Name: "a change of configuration",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Changes.PerDay, "a day" },
		Lines: []EventLine{
			worked(AspectMessages, "messages, one a courier and change", "messages/s", eachChangeToAll),
			calm("of the list, until the last courier is told, median", "changes.everywhere_seconds.median"),
			calm("of the list, until the last courier is told, 99.9 in 100", "changes.everywhere_seconds.worst"),
			notified("of the list, until the last courier is told, with restarts and 5 s without discovery, median", "changes.everywhere_seconds.troubled_median"),
			notified("of the list, until the last courier is told, with restarts and 5 s without discovery, 99.9 in 100", "changes.everywhere_seconds.troubled_worst"),
			notified("of the list, until a courier that discovery can reach is told, 99.9 in 100", "changes.told_seconds.reachable_worst"),
			withBudget(unmeasured(AspectKnown, "of settings, until in force everywhere", "s", "nothing carries settings from machine to machine: a file at each "+
				"courier is written by somebody and read on a signal"), inForce, HandOut, "config, server"),
			words(AspectMeanwhile, "each courier goes on with what it has; a faulty file changes nothing"),
			carried(AspectCaughtUp, "a courier's decisions, for one change of its list", "s", "destinations.change", "s", knownDestinations, nil),
			carried(AspectCaughtUp, "processor time of all couriers for one change of settings, once their files are there", "s", "changes.handout_seconds", "s", fleetCouriers, nil),
		}}
}

func destinationsDown() Event {
	return Event{Name: "destinations are down, on an ordinary day",
		Often: func(_ *Plan, d *Derived) (float64, string) { return d.DestinationsDown, "at any moment" },
		Lines: []EventLine{
			worked(AspectMessages, "events a second for them", "events/s", func(_ *Plan, d *Derived) float64 { return d.EventsToDownPerSecond }),
			carried(AspectMessages, "calls into an outage for each message that it holds up, connections refused", "calls", "outage.failed_calls.refusing", "calls",
				rareCouriers, eachOutageMessage),
			worked(AspectKnown, "until one courier has met a destination six times, which opens its breaker", "s", func(_ *Plan, d *Derived) float64 { return d.OpeningSeconds }),
			carried(AspectKnown, "couriers that call it and park it before it is back, where it is down for 30 s", "ratio", "outage.parked_share.refusing", "ratio",
				rareCouriers, nil),
			atMost(carried(AspectKnown, "until a courier that calls parks it, mean; 30 s, its end, where it doesn't", "s", "outage.parked_after.refusing", "s",
				rareCouriers, nil), outageSeconds),
			words(AspectMeanwhile, "messages wait in the hold of the courier that took them, and are tried as the gap of that courier allows"),
			worked(AspectCaughtUp, "messages that wait for one of them, at the full backlog", "events", func(_ *Plan, d *Derived) float64 { return d.BacklogPerDestination }),
		}}
}

func destinationsBack() Event {
	return Event{Name: "destinations come back",
		Often: func(p *Plan, _ *Derived) (float64, string) { return p.Failures.DestinationsBackAtOnce, "at once" },
		Lines: []EventLine{
			worked(AspectMessages, "messages that wait for them, at the full backlog", "events",
				func(p *Plan, d *Derived) float64 { return p.Failures.DestinationsBackAtOnce * d.BacklogPerDestination }),
			carried(AspectMessages, "calls in the first second after the return of one, all couriers", "calls", "outage.return_calls.refusing", "calls", rareCouriers, eachOutage),
			worked(AspectKnown, "until a given courier calls one of them for a new message", "s", func(_ *Plan, d *Derived) float64 { return d.MeetingSeconds }),
			words(AspectMeanwhile, "each courier tries by itself, one trial at a time, and keeps to its part of the return's pace"),
			worked(AspectCaughtUp, "until the backlog of one is delivered", "s", func(_ *Plan, d *Derived) float64 { return d.DrainSeconds }),
		}}
}
