// Package capacity works out what a fleet of a planned size asks of each part of pineport: it carries the slopes that scale runs
// measured (testbed/slopes) to the sizes of a plan, holds them against the plan's budgets, and says at which share of the planned size
// each budget breaks. It measures nothing and does no I/O but in Load; the page docs/CAPACITY.md and pineport-testbed capacity are its output.
package capacity

// Plan is a fleet's planned size with its failure rates and budgets, as plan.toml gives it. The tags are the one place that says
// what each key means: doc and unit, and the bounds (in). A key without a default must be given. MB, kB are powers of ten.
type Plan struct {
	Name     string   `toml:"name" doc:"name of the fleet, for the page"`
	About    string   `toml:"about" doc:"where the figures come from"`
	Assumed  []string `toml:"assumed" doc:"keys whose figures nobody stated: what rests on them is marked"`
	Fleet    Fleet    `toml:"fleet"`
	Traffic  Traffic  `toml:"traffic"`
	Changes  Changes  `toml:"changes"`
	Failures Failures `toml:"failures"`
	Budget   Budgets  `toml:"budget"`
	Stated   Stated   `toml:"stated" optional:"true"`
}

// Fleet is the couriers and where they stand.
type Fleet struct {
	Couriers        float64 `toml:"couriers" in:"1..1e7" unit:"couriers" doc:"how many"`
	Regions         float64 `toml:"regions" in:"1..1e5" unit:"regions" doc:"regions that the couriers are spread over evenly"`
	Zones           float64 `toml:"zones" in:"1..1e6" unit:"zones" doc:"zones of all regions together"`
	ControlMachines float64 `toml:"control_machines" in:"0..1e6" unit:"machines" doc:"machines set aside for control"`
}

// Traffic is what the fleet delivers.
type Traffic struct {
	EventsPerSecond  float64 `toml:"events_per_s" in:"0.001..1e12" unit:"events/s" doc:"what all couriers take together"`
	Destinations     float64 `toml:"destinations" in:"1..1e12" unit:"destinations" doc:"destinations of the fleet"`
	DestinationsDown float64 `toml:"destinations_down" in:"0..1" unit:"share" doc:"part of the destinations that is down at any time"`
	BacklogEvents    float64 `toml:"backlog_events" in:"0..1e15" unit:"events" doc:"what waits in all couriers together, at most"`
	CallSeconds      float64 `toml:"call_s" in:"0.0001..3600" unit:"s" doc:"how long a call to a healthy endpoint lasts"`
	IdleSeconds      float64 `toml:"idle_s" in:"0.1..86400" unit:"s" doc:"after this an endpoint closes a connection that rests"`
	Tenants          float64 `toml:"tenants" in:"1..1e9" unit:"tenants" doc:"tenants that a courier's settings name"`
	Headroom         float64 `toml:"headroom" in:"1.0001..1000" unit:"x its traffic" doc:"what a destination can take, over what is meant for it"`
}

// Changes are changes of configuration.
type Changes struct {
	PerDay         float64 `toml:"per_day" in:"0..1e9" unit:"changes/day" doc:"changes of configuration, destinations included"`
	InForceSeconds float64 `toml:"in_force_s" in:"0.001..86400" unit:"s" doc:"by when a change is to be in force everywhere"`
}

// Failures are how often parts fail.
type Failures struct {
	MachinesPerDay         float64 `toml:"machines_per_day" in:"0..1e7" unit:"machines/day" doc:"machines that fail and take their disk along"`
	RestartsPerDay         float64 `toml:"restarts_per_day" in:"0..1e8" unit:"restarts/day" doc:"couriers that are restarted or replaced"`
	RacksPerYear           float64 `toml:"racks_per_year" in:"0..1e6" unit:"racks/year" doc:"racks or switches that fail"`
	RackCouriers           float64 `toml:"rack_couriers" in:"1..1e5" unit:"couriers" doc:"couriers behind one rack or switch"`
	ZonesPerYear           float64 `toml:"zones_per_year" in:"0..1e5" unit:"zones/year" doc:"zones that fail"`
	RegionCutsPerYear      float64 `toml:"region_cuts_per_year" in:"0..1e5" unit:"cuts/year" doc:"regions that lose each other"`
	RegionCutSeconds       float64 `toml:"region_cut_s" in:"1..1e7" unit:"s" doc:"for how long they do"`
	DestinationsBackAtOnce float64 `toml:"destinations_back_at_once" in:"0..1e9" unit:"destinations" doc:"destinations that come back in the same moment"`
}

// Budgets are what a part may use.
type Budgets struct {
	Control ControlBudget `toml:"control"`
	Courier CourierBudget `toml:"courier"`
	Outage  OutageBudget  `toml:"outage"`
}

// ControlBudget is what one courier may spend on what is not a message: its list, membership, sharing, configuration.
type ControlBudget struct {
	Cores       float64 `toml:"cores" in:"1e-6..1e4" unit:"cores" doc:"processor time of a courier for control"`
	MemoryMB    float64 `toml:"memory_mb" in:"0.001..1e7" unit:"MB" doc:"memory of a courier for control"`
	KBPerSecond float64 `toml:"kb_per_s" in:"0.001..1e7" unit:"kB/s" doc:"bytes that a courier sends for control"`
}

// CourierBudget is what one courier may spend on messages.
type CourierBudget struct {
	StepSeconds  float64 `toml:"step_s" in:"1e-6..3600" unit:"s" doc:"longest step of the decisions: no message moves on meanwhile"`
	Cores        float64 `toml:"cores" in:"0.001..1e4" unit:"cores" doc:"processor time of its one goroutine that decides"`
	MemoryMB     float64 `toml:"memory_mb" in:"1..1e8" unit:"MB" doc:"memory of a courier for messages"`
	DiskMB       float64 `toml:"disk_mb" in:"0.01..1e9" unit:"MB" doc:"disk of a courier's folder; half of it is for what is live"`
	Descriptors  float64 `toml:"descriptors" in:"32..1e8" unit:"descriptors" doc:"file descriptors of a courier"`
	ReadySeconds float64 `toml:"ready_s" in:"0.001..86400" unit:"s" doc:"from a process's start until it is ready, with a full folder"`
}

// OutageBudget is what an outage of one destination may cost, all couriers together.
type OutageBudget struct {
	CallsPerMessage float64 `toml:"calls_per_message" in:"1e-6..1000" unit:"calls" doc:"calls into an outage for each message that it holds up"`
}

// Stated is arithmetic that somebody did by hand, to be checked; a key that is not given is not checked.
type Stated struct {
	EventsPerCourier       float64 `toml:"events_per_courier" in:"0..1e15" unit:"events/s" doc:"events a second that a courier takes"`
	HeldPerCourier         float64 `toml:"held_per_courier" in:"0..1e15" unit:"events" doc:"events that a courier holds"`
	DestinationsDown       float64 `toml:"destinations_down" in:"0..1e15" unit:"destinations" doc:"destinations down at any time"`
	EventsPerDestination   float64 `toml:"events_per_destination" in:"0..1e15" unit:"events/s" doc:"events a second for one destination, all couriers together"`
	MeetingSeconds         float64 `toml:"meeting_s" in:"0..1e15" unit:"s" doc:"between two events of one courier for one destination"`
	FiveFailuresSeconds    float64 `toml:"five_failures_s" in:"0..1e15" unit:"s" doc:"until one courier has met a destination five times"`
	CouriersPerZone        float64 `toml:"couriers_per_zone" in:"0..1e15" unit:"couriers" doc:"couriers of a zone"`
	CouriersPerControl     float64 `toml:"couriers_per_control_machine" in:"0..1e15" unit:"couriers" doc:"couriers for each machine set aside"`
	ChangesPerSecond       float64 `toml:"changes_per_s" in:"0..1e15" unit:"changes/s" doc:"changes a second"`
	ChangesWaitingAfterCut float64 `toml:"changes_waiting_after_cut" in:"0..1e15" unit:"changes" doc:"changes that wait when a region's cut ends"`
}
