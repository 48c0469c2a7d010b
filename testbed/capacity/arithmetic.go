package capacity

import "math"

const (
	secondsPerDay = 24 * 60 * 60
	daysPerYear   = 365
	bytesPerKB    = 1000
	bytesPerMB    = 1000 * 1000
	// statedFailures is the number of consecutive failures that the hand calculation assumed to open a breaker. It is kept for the
	// comparison with the stated figure five_failures_s.
	statedFailures = 5
	// failuresToOpen is the number of consecutive failures that open a breaker: more than 5, see section "Kept" of docs/design.md.
	failuresToOpen = statedFailures + 1
	// forgetAfter is the time in seconds after the last call for which the dispatcher treats a route as recently called and keeps the
	// failure count of its closed breaker. It equals forgetAfter in dispatch/breaker.go.
	forgetAfter = 120
)

// Derived holds the figures that are computed from a plan alone, without any measurement.
type Derived struct {
	EventsPerCourier       float64 `json:"events_per_courier" unit:"events/s" doc:"events that one courier accepts: events / couriers"`
	HeldPerCourier         float64 `json:"held_per_courier" unit:"events" doc:"events that one courier holds: backlog / couriers"`
	DestinationsDown       float64 `json:"destinations_down" unit:"destinations" doc:"destinations down at any time: destinations x share that is down"`
	EventsPerDestination   float64 `json:"events_per_destination" unit:"events/s" doc:"events for one destination from all couriers together: events / destinations"`
	EventIntervalSeconds   float64 `json:"meeting_s" unit:"s" doc:"mean time between two events of one courier for the same destination: couriers / events per destination"`
	FiveFailuresSeconds    float64 `json:"five_failures_s" unit:"s" doc:"mean time until one courier has had five events for the same destination, counted from any moment: 5 intervals"`
	BreakerOpeningSeconds  float64 `json:"opening_s" unit:"s" doc:"mean time until one courier opens its breaker by its own calls: 6 intervals, as a breaker opens after more than 5 consecutive failures; the reset of a breaker that is not used for 120 s is ignored"`
	RecentRoutes           float64 `json:"routes_lately" unit:"routes" doc:"destinations that a courier called within the last 120 s, expected value"`
	CouriersPerZone        float64 `json:"couriers_per_zone" unit:"couriers" doc:"couriers / zones"`
	CouriersPerRegion      float64 `json:"couriers_per_region" unit:"couriers" doc:"couriers / regions"`
	CouriersPerControl     float64 `json:"couriers_per_control_machine" unit:"couriers" doc:"couriers / machines set aside for control (0: there are no such machines)"`
	ChangesPerSecond       float64 `json:"changes_per_s" unit:"changes/s" doc:"changes per day / 86,400"`
	ChangesWaitingAfterCut float64 `json:"changes_waiting_after_cut" unit:"changes" doc:"changes that accumulate while a region is cut off: changes per second x duration of the cut"`
	BacklogPerDestination  float64 `json:"backlog_per_down_destination" unit:"events" doc:"events queued for one destination that is down: backlog / destinations down"`
	BacklogAgeSeconds      float64 `json:"backlog_age_s" unit:"s" doc:"duration of the outage that would cause this backlog of one destination: its backlog / its events per second"`
	EventsToDownPerSecond  float64 `json:"events_to_down_per_s" unit:"events/s" doc:"events for destinations that are down, from all couriers together"`
	DrainSeconds           float64 `json:"drain_s" unit:"s" doc:"time until the backlog of one destination is delivered with the capacity it has beyond its own traffic"`
	LostPerMachine         float64 `json:"lost_per_machine" unit:"events" doc:"events whose only copy is on the disk of one courier, at the full backlog"`
	RemovalCommandsPerDay  float64 `json:"gone_words_per_day" unit:"words/day" doc:"operator commands that declare a failed courier as removed, one to each courier: failed machines per day x couriers"`
	CallsInFlight          float64 `json:"calls_out" unit:"calls" doc:"concurrent calls of one courier: events per second x duration of a call"`
	ReuseShare             float64 `json:"reuse_share" unit:"share" doc:"calls that find an idle connection to their destination, expected value: 1 - e^(-idle timeout / interval)"`
	IdleConnections        float64 `json:"idle_connections" unit:"connections" doc:"idle connections of one courier: events per second x idle timeout x share of calls that find no idle connection"`
}

// Derive computes the figures that follow from a plan.
func Derive(plan *Plan) Derived {
	fleet, traffic, failures := &plan.Fleet, &plan.Traffic, &plan.Failures
	d := Derived{
		EventsPerCourier:      traffic.EventsPerSecond / fleet.Couriers,
		HeldPerCourier:        traffic.BacklogEvents / fleet.Couriers,
		DestinationsDown:      traffic.Destinations * traffic.DestinationsDown,
		EventsPerDestination:  traffic.EventsPerSecond / traffic.Destinations,
		CouriersPerZone:       fleet.Couriers / fleet.Zones,
		CouriersPerRegion:     fleet.Couriers / fleet.Regions,
		CouriersPerControl:    ratioOrZero(fleet.Couriers, fleet.ControlMachines),
		ChangesPerSecond:      plan.Changes.PerDay / secondsPerDay,
		RemovalCommandsPerDay: failures.MachinesPerDay * fleet.Couriers,
	}
	d.EventIntervalSeconds = fleet.Couriers / d.EventsPerDestination
	d.FiveFailuresSeconds = statedFailures * d.EventIntervalSeconds
	d.BreakerOpeningSeconds = failuresToOpen * d.EventIntervalSeconds
	d.RecentRoutes = traffic.Destinations * (1 - math.Exp(-forgetAfter/d.EventIntervalSeconds))
	d.ChangesWaitingAfterCut = d.ChangesPerSecond * failures.RegionCutSeconds
	d.BacklogPerDestination = ratioOrZero(traffic.BacklogEvents, d.DestinationsDown)
	d.BacklogAgeSeconds = d.BacklogPerDestination / d.EventsPerDestination
	d.EventsToDownPerSecond = traffic.EventsPerSecond * traffic.DestinationsDown
	d.DrainSeconds = d.BacklogAgeSeconds / (traffic.Headroom - 1)
	d.LostPerMachine = d.HeldPerCourier
	d.CallsInFlight = d.EventsPerCourier * traffic.CallSeconds
	d.ReuseShare = 1 - math.Exp(-traffic.IdleSeconds/d.EventIntervalSeconds)
	d.IdleConnections = d.EventsPerCourier * traffic.IdleSeconds * (1 - d.ReuseShare)
	return d
}

// ratioOrZero returns a/b, or 0 if b is 0.
func ratioOrZero(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// StatedCheck compares a figure that was calculated by hand with the computed one.
type StatedCheck struct {
	Key           string  `json:"key"`
	Doc           string  `json:"doc"`
	Unit          string  `json:"unit"`
	Stated        float64 `json:"stated"`
	Computed      float64 `json:"worked"`
	RelativeError float64 `json:"off"` // (stated - computed) / computed
	Agrees        bool    `json:"agrees"`
}

// roundingTolerance is the largest relative error of a stated figure that still counts as rounding.
const roundingTolerance = 0.1

// Check compares each stated figure of a plan with the figure computed from the plan's sizes.
func Check(plan *Plan, d *Derived) (all []StatedCheck) {
	computed := figuresOf(d)
	for _, key := range Keys() {
		name, isStated := statedName(key)
		if !isStated || plan.Number(key) == 0 {
			continue
		}
		figure := computed[name]
		checked := StatedCheck{Key: name, Doc: figure.Doc, Unit: figure.Unit, Stated: plan.Number(key), Computed: figure.Value}
		checked.RelativeError = ratioOrZero(checked.Stated-checked.Computed, checked.Computed)
		checked.Agrees = math.Abs(checked.RelativeError) <= roundingTolerance && checked.Computed != 0
		all = append(all, checked)
	}
	return all
}
