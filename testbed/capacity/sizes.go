package capacity

// Sizes of a plan. The strings are the names that the scale runs give them.
var (
	heldMessages      = Size{"messages", func(_ *Plan, d *Derived) float64 { return d.HeldPerCourier }}                      // messages that one courier holds
	knownDestinations = Size{"destinations", func(p *Plan, _ *Derived) float64 { return p.Traffic.Destinations }}            // destinations that one courier knows
	fleetMembers      = Size{"members", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}                       // members of the fleet
	namesKept         = Size{"names", func(p *Plan, _ *Derived) float64 { return min(p.Fleet.Couriers, maxNamedMembers) }}   // members that a view keeps by name
	moreThanNamesKept = Size{"names", func(p *Plan, _ *Derived) float64 { return max(p.Fleet.Couriers, maxNamedMembers+1) }} // members of a fleet with more than a view keeps by name
	fleetCouriers     = Size{"couriers", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}
	otherMembers      = Size{"heard", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers - 1 }}       // other couriers whose quota packets arrive
	listedEndpoints   = Size{"listed", func(p *Plan, _ *Derived) float64 { return p.Traffic.Destinations }}    // endpoints on the list, at least one per destination
	waitingChanges    = Size{"waiting", func(_ *Plan, d *Derived) float64 { return d.ChangesWaitingAfterCut }} // changes pending after the cut of a region
	settingsTenants   = Size{"tenants", func(p *Plan, _ *Derived) float64 { return p.Traffic.Tenants }}        // tenants in the settings of a courier
	// equivalentCouriers is the number of couriers at which, in the run outage, each courier calls a destination as rarely as in the plan.
	// It differs from the planned number of couriers because the run sends outageRate messages per second to each destination.
	equivalentCouriers = Size{"couriers", func(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * outageRate / d.EventsPerDestination }}
	sharedRoutes       = Size{"routes", func(_ *Plan, d *Derived) float64 { return d.RecentRoutes }} // routes that a courier called recently
)

// maxNamedMembers is the number of members that a view keeps by name. It equals maxMembers in membership/membership.go.
const maxNamedMembers = 4096

// Values of Part.Factor.
func eventRate(_ *Plan, d *Derived) float64             { return d.EventsPerCourier }
func changeRate(_ *Plan, d *Derived) float64            { return d.ChangesPerSecond }
func waitingChangeCount(_ *Plan, d *Derived) float64    { return d.ChangesWaitingAfterCut }
func ticksPerSecond(_ *Plan, _ *Derived) float64        { return gossipTicks }
func sharingTicksPerSecond(_ *Plan, _ *Derived) float64 { return sharingTicks }

// Constants of the run outage in testbed/scale/outage.go: messages per second for one destination, number of destinations that are down,
// and the duration of the outage in seconds.
const (
	outageRate     = 100.0 / 40
	outageDown     = 10
	outageSeconds  = 30
	outageMessages = outageRate * outageDown * outageSeconds // messages that the outage delays
)

// perOutageMessage scales the calls of the run outage to one delayed message, and perOutageDestination to one destination.
func perOutageMessage(*Plan, *Derived) float64     { return 1.0 / outageMessages }
func perOutageDestination(*Plan, *Derived) float64 { return 1.0 / outageDown }

// restartRate returns the restarts per second of the whole fleet.
func restartRate(p *Plan, _ *Derived) float64 { return p.Failures.RestartsPerDay / secondsPerDay }

// fleetChangeRate returns the notifications of changes per second to all couriers together.
func fleetChangeRate(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * d.ChangesPerSecond }

const (
	// gossipTicks is the number of ticks of the view per second at the default heartbeat interval of 1 s, see membership/gossip.
	gossipTicks = 5
	// sharingTicks is the number of rounds of the quota exchange per second at that interval; a round takes half an interval, see
	// cmd/pineport/fleet.go.
	sharingTicks = 2
	// liveDiskShare is the share of a courier's disk space that live messages may use; above it clients get -BUSY (docs/design.md,
	// "The spool").
	liveDiskShare = 0.5
)

// reservedPerMessage is the space in bytes that the spool reserves per message for the records of its attempts. It equals growthReserve in
// spool/spool.go.
const reservedPerMessage = 1024

func reservedBytes(_ *Plan, d *Derived) float64 { return reservedPerMessage * d.HeldPerCourier }

// budget returns a function that reads the budget with the given key from a plan.
func budget(key string, figure func(*Plan) float64) func(*Plan) Budget {
	return func(p *Plan) Budget {
		return Budget{Key: key, Source: key, Figure: figure(p), Assumed: p.IsAssumed(key)}
	}
}

// Budgets, converted to the units of the rows.
var (
	controlCores    = budget("budget.control.cores", func(p *Plan) float64 { return p.Budget.Control.Cores })
	controlMemory   = budget("budget.control.memory_mb", func(p *Plan) float64 { return p.Budget.Control.MemoryMB * bytesPerMB })
	controlBytes    = budget("budget.control.kb_per_s", func(p *Plan) float64 { return p.Budget.Control.KBPerSecond * bytesPerKB })
	stepSeconds     = budget("budget.courier.step_s", func(p *Plan) float64 { return p.Budget.Courier.StepSeconds })
	courierCores    = budget("budget.courier.cores", func(p *Plan) float64 { return p.Budget.Courier.Cores })
	courierMemory   = budget("budget.courier.memory_mb", func(p *Plan) float64 { return p.Budget.Courier.MemoryMB * bytesPerMB })
	courierDisk     = budget("budget.courier.disk_mb", func(p *Plan) float64 { return p.Budget.Courier.DiskMB * bytesPerMB * liveDiskShare })
	descriptors     = budget("budget.courier.descriptors", func(p *Plan) float64 { return p.Budget.Courier.Descriptors })
	readySeconds    = budget("budget.courier.ready_s", func(p *Plan) float64 { return p.Budget.Courier.ReadySeconds })
	inForceSeconds  = budget("changes.in_force_s", func(p *Plan) float64 { return p.Changes.InForceSeconds })
	callsPerMessage = budget("budget.outage.calls_per_message", func(p *Plan) float64 { return p.Budget.Outage.CallsPerMessage })
)
