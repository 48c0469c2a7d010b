// Package capacity computes the load that a fleet of a planned size puts on each part of pineport. A slope is a curve that testbed/slopes
// fits to the figures of a scale run as a function of one size, such as the number of couriers; a scale run (testbed/scale) measures parts of
// pineport at several sizes. The package extrapolates the slopes to the sizes
// of a plan, compares the figures with the plan's budgets, and reports the share of the planned size at which each budget is exceeded
// ("breaks"). It measures nothing, and only Load does I/O. Its output is docs/CAPACITY.md and the output of the command
// pineport-testbed capacity.
package capacity

// Plan holds the planned size of a fleet with its failure rates and budgets, as read from plan.toml. The tags define each key: its
// description (doc), its unit, and its inclusive bounds (in). Keys are required unless their table is tagged as optional. MB and kB are
// powers of ten.
type Plan struct {
	Name     string   `toml:"name" doc:"name of the fleet, printed on the page"`
	About    string   `toml:"about" doc:"where the figures come from"`
	Assumed  []string `toml:"assumed" doc:"keys whose values are assumptions, not stated requirements: figures that depend on them are marked"`
	Fleet    Fleet    `toml:"fleet"`
	Traffic  Traffic  `toml:"traffic"`
	Changes  Changes  `toml:"changes"`
	Failures Failures `toml:"failures"`
	Budget   Budgets  `toml:"budget"`
	Stated   Stated   `toml:"stated" optional:"true"`
}

// Fleet is the number of couriers and their distribution over regions and zones.
type Fleet struct {
	Couriers        float64 `toml:"couriers" in:"1..1e7" unit:"couriers" doc:"number of couriers"`
	Regions         float64 `toml:"regions" in:"1..1e5" unit:"regions" doc:"number of regions, over which the couriers are spread evenly"`
	Zones           float64 `toml:"zones" in:"1..1e6" unit:"zones" doc:"number of zones, all regions together"`
	ControlMachines float64 `toml:"control_machines" in:"0..1e6" unit:"machines" doc:"number of machines set aside for control"`
}

// Traffic is the load of the fleet.
type Traffic struct {
	EventsPerSecond  float64 `toml:"events_per_s" in:"0.001..1e12" unit:"events/s" doc:"events that all couriers together accept"`
	Destinations     float64 `toml:"destinations" in:"1..1e12" unit:"destinations" doc:"number of destinations"`
	DestinationsDown float64 `toml:"destinations_down" in:"0..1" unit:"share" doc:"share of the destinations that is down at any time"`
	BacklogEvents    float64 `toml:"backlog_events" in:"0..1e15" unit:"events" doc:"largest number of events that wait in all couriers together"`
	CallSeconds      float64 `toml:"call_s" in:"0.0001..3600" unit:"s" doc:"duration of a call to a healthy endpoint"`
	IdleSeconds      float64 `toml:"idle_s" in:"0.1..86400" unit:"s" doc:"idle timeout after which an endpoint closes a connection"`
	Tenants          float64 `toml:"tenants" in:"1..1e9" unit:"tenants" doc:"number of tenants in the settings of a courier"`
	Headroom         float64 `toml:"headroom" in:"1.0001..1000" unit:"x its traffic" doc:"capacity of a destination as a multiple of its own traffic"`
}

// Changes describes the changes of configuration.
type Changes struct {
	PerDay         float64 `toml:"per_day" in:"0..1e9" unit:"changes/day" doc:"changes of configuration, destinations included"`
	InForceSeconds float64 `toml:"in_force_s" in:"0.001..86400" unit:"s" doc:"time within which a change must be in force on all couriers"`
}

// Failures gives the rates and the extent of failures.
type Failures struct {
	MachinesPerDay         float64 `toml:"machines_per_day" in:"0..1e7" unit:"machines/day" doc:"machines that fail together with their disk"`
	RestartsPerDay         float64 `toml:"restarts_per_day" in:"0..1e8" unit:"restarts/day" doc:"couriers that are restarted or replaced"`
	RacksPerYear           float64 `toml:"racks_per_year" in:"0..1e6" unit:"racks/year" doc:"racks or switches that fail"`
	RackCouriers           float64 `toml:"rack_couriers" in:"1..1e5" unit:"couriers" doc:"couriers behind one rack or switch"`
	ZonesPerYear           float64 `toml:"zones_per_year" in:"0..1e5" unit:"zones/year" doc:"zones that fail"`
	RegionCutsPerYear      float64 `toml:"region_cuts_per_year" in:"0..1e5" unit:"cuts/year" doc:"cuts of a region from the others"`
	RegionCutSeconds       float64 `toml:"region_cut_s" in:"1..1e7" unit:"s" doc:"duration of a cut"`
	DestinationsBackAtOnce float64 `toml:"destinations_back_at_once" in:"0..1e9" unit:"destinations" doc:"destinations that come back at the same time"`
}

// Budgets are the limits on what each part may use.
type Budgets struct {
	Control ControlBudget `toml:"control"`
	Courier CourierBudget `toml:"courier"`
	Outage  OutageBudget  `toml:"outage"`
}

// ControlBudget is what one courier may use for anything but messages: endpoint list, membership, quota sharing and configuration.
type ControlBudget struct {
	Cores       float64 `toml:"cores" in:"1e-6..1e4" unit:"cores" doc:"processor time of a courier for control"`
	MemoryMB    float64 `toml:"memory_mb" in:"0.001..1e7" unit:"MB" doc:"memory of a courier for control"`
	KBPerSecond float64 `toml:"kb_per_s" in:"0.001..1e7" unit:"kB/s" doc:"bytes that a courier sends for control"`
}

// CourierBudget is what one courier may use for messages.
type CourierBudget struct {
	StepSeconds  float64 `toml:"step_s" in:"1e-6..3600" unit:"s" doc:"longest step of the dispatcher: no message proceeds during a step"`
	Cores        float64 `toml:"cores" in:"0.001..1e4" unit:"cores" doc:"processor time of the goroutine that runs the dispatcher"`
	MemoryMB     float64 `toml:"memory_mb" in:"1..1e8" unit:"MB" doc:"memory of a courier for messages"`
	DiskMB       float64 `toml:"disk_mb" in:"0.01..1e9" unit:"MB" doc:"disk space of a courier's folder; live messages may use half of it"`
	Descriptors  float64 `toml:"descriptors" in:"32..1e8" unit:"descriptors" doc:"file descriptors of a courier"`
	ReadySeconds float64 `toml:"ready_s" in:"0.001..86400" unit:"s" doc:"time from the start of a process until it is ready, with a full folder"`
}

// OutageBudget is what an outage of one destination may cost, for all couriers together.
type OutageBudget struct {
	CallsPerMessage float64 `toml:"calls_per_message" in:"1e-6..1000" unit:"calls" doc:"failed calls per message that the outage delays"`
}

// Stated holds figures that were calculated by hand, to be compared with the computed ones. Keys that are not given are not compared.
type Stated struct {
	EventsPerCourier       float64 `toml:"events_per_courier" in:"0..1e15" unit:"events/s" doc:"events per second that one courier accepts"`
	HeldPerCourier         float64 `toml:"held_per_courier" in:"0..1e15" unit:"events" doc:"events that one courier holds"`
	DestinationsDown       float64 `toml:"destinations_down" in:"0..1e15" unit:"destinations" doc:"destinations down at any time"`
	EventsPerDestination   float64 `toml:"events_per_destination" in:"0..1e15" unit:"events/s" doc:"events per second for one destination, from all couriers together"`
	EventIntervalSeconds   float64 `toml:"meeting_s" in:"0..1e15" unit:"s" doc:"mean time between two events of one courier for the same destination"`
	FiveFailuresSeconds    float64 `toml:"five_failures_s" in:"0..1e15" unit:"s" doc:"mean time until one courier has had five events for the same destination"`
	CouriersPerZone        float64 `toml:"couriers_per_zone" in:"0..1e15" unit:"couriers" doc:"couriers per zone"`
	CouriersPerControl     float64 `toml:"couriers_per_control_machine" in:"0..1e15" unit:"couriers" doc:"couriers per machine set aside for control"`
	ChangesPerSecond       float64 `toml:"changes_per_s" in:"0..1e15" unit:"changes/s" doc:"changes per second"`
	ChangesWaitingAfterCut float64 `toml:"changes_waiting_after_cut" in:"0..1e15" unit:"changes" doc:"changes that are waiting when the cut of a region ends"`
}
