package capacity

import "math"

const (
	secondsPerDay  = 24 * 60 * 60
	daysPerYear    = 365
	bytesPerKB     = 1000
	bytesPerMB     = 1000 * 1000
	statedFailures = 5 // that the hand-made arithmetic counted until a breaker opens
	// openingFailures in a row open a breaker: more than 5, as the design has it (docs/design.md, "Kept").
	openingFailures = statedFailures + 1
	// forgetAfter is how long the decisions count a route as lately called, and keep a closed breaker's failures: forgetAfter of
	// dispatch/breaker.go, in seconds.
	forgetAfter = 120
)

// Derived is what follows from a plan by arithmetic alone.
type Derived struct {
	EventsPerCourier       float64 `json:"events_per_courier" unit:"events/s" doc:"events a courier takes: events / couriers"`
	HeldPerCourier         float64 `json:"held_per_courier" unit:"events" doc:"events a courier holds: backlog / couriers"`
	DestinationsDown       float64 `json:"destinations_down" unit:"destinations" doc:"destinations down at any time: destinations x share down"`
	EventsPerDestination   float64 `json:"events_per_destination" unit:"events/s" doc:"events for one destination, all couriers together: events / destinations"`
	MeetingSeconds         float64 `json:"meeting_s" unit:"s" doc:"between two events of one courier for one destination: couriers / events per destination"`
	FiveFailuresSeconds    float64 `json:"five_failures_s" unit:"s" doc:"until one courier has met a destination five times, from any moment: 5 meetings"`
	OpeningSeconds         float64 `json:"opening_s" unit:"s" doc:"until its breaker opens by its own calls: 6 meetings, as it opens after more than 5 failures in a row"`
	RoutesLately           float64 `json:"routes_lately" unit:"routes" doc:"destinations that a courier called within the last 120 s, by chance"`
	CouriersPerZone        float64 `json:"couriers_per_zone" unit:"couriers" doc:"couriers / zones"`
	CouriersPerRegion      float64 `json:"couriers_per_region" unit:"couriers" doc:"couriers / regions"`
	CouriersPerControl     float64 `json:"couriers_per_control_machine" unit:"couriers" doc:"couriers / machines set aside for control (0: none are)"`
	ChangesPerSecond       float64 `json:"changes_per_s" unit:"changes/s" doc:"changes a day / 86,400"`
	ChangesWaitingAfterCut float64 `json:"changes_waiting_after_cut" unit:"changes" doc:"changes a second x length of a region's cut"`
	BacklogPerDestination  float64 `json:"backlog_per_down_destination" unit:"events" doc:"events that wait for one destination that is down: backlog / destinations down"`
	BacklogAgeSeconds      float64 `json:"backlog_age_s" unit:"s" doc:"as long as that is of its traffic: how long an outage such a backlog tells of"`
	EventsToDownPerSecond  float64 `json:"events_to_down_per_s" unit:"events/s" doc:"events for destinations that are down, all couriers together"`
	DrainSeconds           float64 `json:"drain_s" unit:"s" doc:"until that backlog is delivered, at the destination's headroom over its traffic"`
	LostPerMachine         float64 `json:"lost_per_machine" unit:"events" doc:"events whose only copy is on one courier's disk at the full backlog"`
	GoneWordsPerDay        float64 `json:"gone_words_per_day" unit:"words/day" doc:"times that an operator has to tell a courier that a failed one is gone: machines a day x couriers"`
	CallsOut               float64 `json:"calls_out" unit:"calls" doc:"calls of a courier under way: events a second x length of a call"`
	ReuseShare             float64 `json:"reuse_share" unit:"share" doc:"calls that find an idle connection to their destination, by chance: 1 - e^(-idle / meeting)"`
	IdleConnections        float64 `json:"idle_connections" unit:"connections" doc:"connections of a courier that rest: events a second x idle time, as none is found again in time"`
}

// Derive does the arithmetic.
func Derive(plan *Plan) Derived {
	fleet, traffic, failures := &plan.Fleet, &plan.Traffic, &plan.Failures
	d := Derived{
		EventsPerCourier:     traffic.EventsPerSecond / fleet.Couriers,
		HeldPerCourier:       traffic.BacklogEvents / fleet.Couriers,
		DestinationsDown:     traffic.Destinations * traffic.DestinationsDown,
		EventsPerDestination: traffic.EventsPerSecond / traffic.Destinations,
		CouriersPerZone:      fleet.Couriers / fleet.Zones,
		CouriersPerRegion:    fleet.Couriers / fleet.Regions,
		CouriersPerControl:   over(fleet.Couriers, fleet.ControlMachines),
		ChangesPerSecond:     plan.Changes.PerDay / secondsPerDay,
		GoneWordsPerDay:      failures.MachinesPerDay * fleet.Couriers,
	}
	d.MeetingSeconds = fleet.Couriers / d.EventsPerDestination
	d.FiveFailuresSeconds = statedFailures * d.MeetingSeconds
	d.OpeningSeconds = openingFailures * d.MeetingSeconds
	d.RoutesLately = traffic.Destinations * (1 - math.Exp(-forgetAfter/d.MeetingSeconds))
	d.ChangesWaitingAfterCut = d.ChangesPerSecond * failures.RegionCutSeconds
	d.BacklogPerDestination = over(traffic.BacklogEvents, d.DestinationsDown)
	d.BacklogAgeSeconds = d.BacklogPerDestination / d.EventsPerDestination
	d.EventsToDownPerSecond = traffic.EventsPerSecond * traffic.DestinationsDown
	d.DrainSeconds = d.BacklogAgeSeconds / (traffic.Headroom - 1)
	d.LostPerMachine = d.HeldPerCourier
	d.CallsOut = d.EventsPerCourier * traffic.CallSeconds
	d.ReuseShare = 1 - math.Exp(-traffic.IdleSeconds/d.MeetingSeconds)
	d.IdleConnections = d.EventsPerCourier * traffic.IdleSeconds * (1 - d.ReuseShare)
	return d
}

// over is a quotient, and 0 where there is nothing to divide by.
func over(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Checked is a figure that somebody worked out by hand, held against the arithmetic.
type Checked struct {
	Key    string  `json:"key"`
	Doc    string  `json:"doc"`
	Unit   string  `json:"unit"`
	Stated float64 `json:"stated"`
	Worked float64 `json:"worked"`
	Off    float64 `json:"off"` // (stated - worked) / worked
	Agrees bool    `json:"agrees"`
}

// roundedWithin is how far a figure that was rounded by hand may lie off.
const roundedWithin = 0.1

// Check holds the stated arithmetic of a plan against what follows from its sizes.
func Check(plan *Plan, d *Derived) (all []Checked) {
	worked := figuresOf(d)
	for _, key := range Keys() {
		name, isStated := statedName(key)
		if !isStated || plan.Number(key) == 0 {
			continue
		}
		figure := worked[name]
		checked := Checked{Key: name, Doc: figure.Doc, Unit: figure.Unit, Stated: plan.Number(key), Worked: figure.Value}
		checked.Off = over(checked.Stated-checked.Worked, checked.Worked)
		checked.Agrees = math.Abs(checked.Off) <= roundedWithin && checked.Worked != 0
		all = append(all, checked)
	}
	return all
}
