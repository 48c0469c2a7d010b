package capacity

// Sizes of a plan, by the names that the scale runs give them.
var (
	heldMessages      = Size{"messages", func(_ *Plan, d *Derived) float64 { return d.HeldPerCourier }}
	knownDestinations = Size{"destinations", func(p *Plan, _ *Derived) float64 { return p.Traffic.Destinations }}
	fleetMembers      = Size{"members", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}
	viewNames         = Size{"names", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}
	fleetCouriers     = Size{"couriers", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers }}
	othersHeard       = Size{"heard", func(p *Plan, _ *Derived) float64 { return p.Fleet.Couriers - 1 }}
	sharedRoutes      = Size{"routes", func(_ *Plan, d *Derived) float64 { return d.RoutesLately }}
)

// Factors of a part.
func eachEvent(_ *Plan, d *Derived) float64      { return d.EventsPerCourier }
func eachChange(_ *Plan, d *Derived) float64     { return d.ChangesPerSecond }
func eachWaiting(_ *Plan, d *Derived) float64    { return d.ChangesWaitingAfterCut }
func ticksPerSecond(_ *Plan, _ *Derived) float64 { return gossipTicks }
func beatsPerSecond(_ *Plan, _ *Derived) float64 { return sharingBeats }

const (
	// gossipTicks of the view a second at the default interval of heartbeats, 1 s: ticks of peers/gossip.
	gossipTicks = 5
	// sharingBeats a second at that interval: half an interval each, see cmd/pineport/fleet.go.
	sharingBeats = 2
	// liveDisk is the part of a courier's folder that live messages may take; beyond it clients hear -BUSY (docs/design.md, "The spool").
	liveDisk = 0.5
)

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
	parkedSeconds = budget("budget.outage.parked_s", func(p *Plan) float64 { return p.Budget.Outage.ParkedSeconds })
	callsEach     = budget("budget.outage.calls_per_message", func(p *Plan) float64 { return p.Budget.Outage.CallsPerMessage })
)
