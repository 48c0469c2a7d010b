package capacity

// Sizes of a plan, by the names that the scale runs give them.
var (
	heldMessages      = Size{"messages", func(_ *Plan, d *Derived) float64 { return d.HeldPerCourier }}
	knownDestinations = Size{"destinations", func(p *Plan, _ *Derived) float64 { return p.Traffic.Destinations }}
	fleetMembers      = Size{"members", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}
	namesKept         = Size{"names", func(p *Plan, _ *Derived) float64 { return min(p.Fleet.Couriers, mostNames) }}
	namesBeyond       = Size{"names", func(p *Plan, _ *Derived) float64 { return max(p.Fleet.Couriers, mostNames+1) }}
	fleetCouriers     = Size{"couriers", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}
	othersHeard       = Size{"heard", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers - 1 }}
	listedEndpoints   = Size{"listed", func(p *Plan, _ *Derived) float64 { return p.Traffic.Destinations }} // one endpoint each, at least
	waitingChanges    = Size{"waiting", func(_ *Plan, d *Derived) float64 { return d.ChangesWaitingAfterCut }}
	settingsTenants   = Size{"tenants", func(p *Plan, _ *Derived) float64 { return p.Traffic.Tenants }}
	// rareCouriers are as many couriers of the run outage as meet a destination as rarely as those of the plan do: the run sends more
	// to a destination, so it takes more couriers there.
	rareCouriers = Size{"couriers", func(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * outageRate / d.EventsPerDestination }}
	sharedRoutes = Size{"routes", func(_ *Plan, d *Derived) float64 { return d.RoutesLately }}
)

// mostNames is what a view keeps by name: maxMembers of membership/membership.go.
const mostNames = 4096

// Factors of a part.
func eachEvent(_ *Plan, d *Derived) float64             { return d.EventsPerCourier }
func eachChange(_ *Plan, d *Derived) float64            { return d.ChangesPerSecond }
func eachWaiting(_ *Plan, d *Derived) float64           { return d.ChangesWaitingAfterCut }
func ticksPerSecond(_ *Plan, _ *Derived) float64        { return gossipTicks }
func sharingTicksPerSecond(_ *Plan, _ *Derived) float64 { return sharingTicks }

// The run outage, as testbed/scale/outage.go plays it: messages a second for one destination, destinations that are down, and for how long.
const (
	outageRate     = 100.0 / 40
	outageDown     = 10
	outageSeconds  = 30
	outageMessages = outageRate * outageDown * outageSeconds // that it holds up
)

// eachOutageMessage makes calls of the run outage those for one message, and eachOutage those for one destination.
func eachOutageMessage(*Plan, *Derived) float64 { return 1.0 / outageMessages }
func eachOutage(*Plan, *Derived) float64        { return 1.0 / outageDown }

// eachRestart is how often a courier of the fleet is restarted, in a second.
func eachRestart(p *Plan, _ *Derived) float64 { return p.Failures.RestartsPerDay / secondsPerDay }

// eachChangeToAll is how often a courier of the fleet is notified of a change, in a second.
func eachChangeToAll(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * d.ChangesPerSecond }

const (
	// gossipTicks of the view a second at the default interval of heartbeats, 1 s: ticks of membership/gossip.
	gossipTicks = 5
	// sharingBeats a second at that interval: half an interval each, see cmd/pineport/fleet.go.
	sharingTicks = 2
	// liveDisk is the part of a courier's folder that live messages may take; beyond it clients hear -BUSY (docs/design.md, "The spool").
	liveDisk = 0.5
)

// keptFreeEach is what the spool keeps free of each message for what attempts add to it, in bytes: extra of spool/spool.go.
const keptFreeEach = 1024

func keptFree(_ *Plan, d *Derived) float64 { return keptFreeEach * d.HeldPerCourier }

// budget makes a budget of one key of a plan.
func budget(key string, figure func(*Plan) float64) func(*Plan) Budget {
	return func(p *Plan) Budget {
		return Budget{Key: key, Source: key, Figure: figure(p), Assumed: p.IsAssumed(key)}
	}
}

// Budgets, in the base units of the rows.
var (
	controlCores  = budget("budget.control.cores", func(p *Plan) float64 { return p.Budget.Control.Cores })
	controlMemory = budget("budget.control.memory_mb", func(p *Plan) float64 { return p.Budget.Control.MemoryMB * bytesPerMB })
	controlBytes  = budget("budget.control.kb_per_s", func(p *Plan) float64 { return p.Budget.Control.KBPerSecond * bytesPerKB })
	stepSeconds   = budget("budget.courier.step_s", func(p *Plan) float64 { return p.Budget.Courier.StepSeconds })
	courierCores  = budget("budget.courier.cores", func(p *Plan) float64 { return p.Budget.Courier.Cores })
	courierMemory = budget("budget.courier.memory_mb", func(p *Plan) float64 { return p.Budget.Courier.MemoryMB * bytesPerMB })
	courierDisk   = budget("budget.courier.disk_mb", func(p *Plan) float64 { return p.Budget.Courier.DiskMB * bytesPerMB * liveDisk })
	descriptors   = budget("budget.courier.descriptors", func(p *Plan) float64 { return p.Budget.Courier.Descriptors })
	readySeconds  = budget("budget.courier.ready_s", func(p *Plan) float64 { return p.Budget.Courier.ReadySeconds })
	inForce       = budget("changes.in_force_s", func(p *Plan) float64 { return p.Changes.InForceSeconds })
	callsEach     = budget("budget.outage.calls_per_message", func(p *Plan) float64 { return p.Budget.Outage.CallsPerMessage })
)
