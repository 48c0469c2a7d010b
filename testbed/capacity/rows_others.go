package capacity

// noPackage is the Package of rows that no package implements.
const noPackage = "none"

// Rows returns all rows of the page's first part, in the order of the page. Slope names occur only here, in the functions that it
// calls, and in events.go.
func Rows() []Row {
	all := courierRows()
	all = append(all, controlRows()...)
	all = append(all, speakerRows()...)
	all = append(all, discoveryRows()...)
	return append(all, partnerRows()...)
}

// noControlReason explains why nothing is measured on the machines set aside for control.
const noControlReason = "no program of this repository runs on them, so there is nothing to measure"

func controlRows() []Row {
	row := func(resource Resource, what, unit string) Row {
		return Row{Role: RoleControl, Resource: resource, What: what, Unit: unit, NoFigureReason: noControlReason, Mechanism: HandOut, Package: noPackage, Status: Paper}
	}
	return []Row{
		{Role: RoleControl, Resource: State, What: "couriers for each machine", Unit: "couriers",
			Computed:  func(_ *Plan, d *Derived) float64 { return d.CouriersPerControl },
			Mechanism: HandOut, Package: noPackage, Status: Paper},
		{Role: RoleControl, Resource: Messages, What: "changes handed out by each machine, one message a courier and change", Unit: "messages/s",
			Computed:  func(_ *Plan, d *Derived) float64 { return d.CouriersPerControl * d.ChangesPerSecond },
			Mechanism: HandOut, Package: noPackage, Status: Paper},
		row(Bytes, "changes handed out by each machine", "bytes/s"),
		row(Processor, "a machine set aside", "cores"),
		row(Memory, "a machine set aside", "bytes"),
		row(Disk, "a machine set aside", "bytes"),
		row(Descriptors, "a machine set aside", "descriptors"),
	}
}

// noSpeakerReason explains why there is no figure on speakers. A speaker would be a courier that exchanges packets on behalf of its zone
// or region.
const noSpeakerReason = "there are no speakers today: every courier exchanges packets with all others directly"

func speakerRows() []Row {
	return []Row{{Role: RoleSpeaker, Resource: State, What: "state, messages, bytes, processor, memory, disk and descriptors of a speaker", Unit: "-", NoFigureReason: noSpeakerReason,
		Mechanism: Membership, Package: noPackage, Status: Paper}}
}

func discoveryRows() []Row {
	discovery := func(resource Resource, what, unit string, computed func(*Plan, *Derived) float64) Row {
		return Row{Role: RoleDiscovery, Resource: resource, What: what, Unit: unit, Computed: computed, Mechanism: FullList, Package: dispatchListPkg, Status: RunsToday}
	}
	return []Row{
		discovery(Descriptors, "watches that stay open, one a courier", "connections", fleetCouriers.At),
		discovery(Messages, "watches asked again, each held for 4.5 s at most", "calls/s",
			func(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * max(1/watchSeconds, d.ChangesPerSecond) }),
		discovery(Messages, "changes told, one a courier and change", "messages/s",
			func(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * d.ChangesPerSecond }),
		discovery(Messages, "whole lists asked by restarts", "lists/s", restartRate),
		{Role: RoleDiscovery, Resource: Bytes, What: "a whole list", Unit: "bytes", Parts: singleSlope("changes.list_bytes", "bytes", listedEndpoints, nil),
			Mechanism: FullList, Package: "protocol", Status: RunsToday},
		{Role: RoleDiscovery, Resource: Bytes, What: "whole lists sent to restarts", Unit: "bytes/s",
			Parts: singleSlope("changes.list_bytes", "bytes", listedEndpoints, restartRate), Mechanism: FullList, Package: "protocol", Status: RunsToday},
		{Role: RoleDiscovery, Resource: Bytes, What: "changes told to all couriers", Unit: "bytes/s",
			Parts: singleSlope("changes.change_bytes", "bytes", listedEndpoints, fleetChangeRate), Mechanism: FullList, Package: "protocol", Status: RunsToday},
		{Role: RoleDiscovery, Resource: Processor, What: "what discovery itself spends", Unit: "cores",
			NoFigureReason: "discovery belongs to the platform, and the processor time of its stand-in is not measured", Mechanism: FullList, Package: noPackage, Status: RunsToday},
	}
}

// Kinds of outages, the values of the size "kind" in the points of the run outage (testbed/scale/outage.go).
const (
	outageRefusing   = 1
	outageThrottling = 2
)

// overloadRow returns a row on returning destinations that are overloaded. Its figure is counted and not extrapolated: it is 0 at most
// sizes, so that no curve can be fitted.
func overloadRow(how string, kind float64) Row {
	return Row{Role: RolePartners, Resource: State, What: "returning destinations that are pushed over, of all that return after an outage of 30 s: " + how, Unit: "ratio",
		Counted:   &Counted{Run: "outage", Figure: "pushed_over", Over: "couriers", Where: map[string]float64{"kind": kind}},
		Mechanism: OutageAlone, Package: dispatchPkg, Status: RunsToday}
}

// watchSeconds is the longest time that discovery may hold a watch open. It equals watchWait in server/discovery.go.
const watchSeconds = 4.5

func partnerRows() []Row {
	partner := func(resource Resource, what, unit string, computed func(*Plan, *Derived) float64) Row {
		return Row{Role: RolePartners, Resource: resource, What: what, Unit: unit, Computed: computed, Mechanism: Connections, Package: routerPkg, Status: RunsToday}
	}
	return []Row{
		partner(Messages, "events for one destination, all couriers", "events/s", func(_ *Plan, d *Derived) float64 { return d.EventsPerDestination }),
		partner(Latency, "between two calls of one courier to one destination", "s", func(_ *Plan, d *Derived) float64 { return d.EventIntervalSeconds }),
		partner(State, "calls that find an idle connection, by chance", "share", func(_ *Plan, d *Derived) float64 { return d.ReuseShare }),
		partner(Messages, "connections that a destination sees opened", "connections/s",
			func(_ *Plan, d *Derived) float64 { return d.EventsPerDestination * (1 - d.ReuseShare) }),
		partner(Descriptors, "connections of one destination, in use and resting", "descriptors", func(p *Plan, d *Derived) float64 {
			return d.EventsPerDestination * (p.Traffic.CallSeconds + p.Traffic.IdleSeconds*(1-d.ReuseShare))
		}),
		{Role: RolePartners, Resource: Calls, What: "calls in the first second after the return of one destination, all couriers", Unit: "calls",
			Parts: singleSlope("outage.return_calls.refusing", "calls", equivalentCouriers, perOutageDestination), Mechanism: OutageAlone, Package: dispatchPkg, Status: RunsToday},
		overloadRow("connections refused", outageRefusing),
		overloadRow("every call throttled", outageThrottling),
		{Role: RolePartners, Resource: Bytes, What: "bytes that a client or an endpoint sends and receives", Unit: "bytes/s",
			NoFigureReason: "the size of bodies depends on the client, and no scale run uses sockets", Mechanism: Connections, Package: "protocol, transport", Status: RunsToday},
	}
}
