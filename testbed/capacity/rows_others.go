package capacity

// nobody is the package of what no package carries.
const nobody = "none"

// Rows are all rows of the page's first part, in its order. This and its helpers are the one place that names slopes.
func Rows() []Row {
	all := courierRows()
	all = append(all, controlRows()...)
	all = append(all, speakerRows()...)
	all = append(all, discoveryRows()...)
	return append(all, partnerRows()...)
}

// noControl says why nothing is measured on the machines set apart.
const noControl = "no program of this repository runs on them: there is nothing to measure"

func controlRows() []Row {
	row := func(resource Resource, what, unit string) Row {
		return Row{Role: RoleControl, Resource: resource, What: what, Unit: unit, None: noControl, Mechanism: HandOut, Package: nobody, Status: Paper}
	}
	return []Row{
		{Role: RoleControl, Resource: State, What: "couriers for each machine", Unit: "couriers",
			Worked:    func(_ *Plan, d *Derived) float64 { return d.CouriersPerControl },
			Mechanism: HandOut, Package: nobody, Status: Paper},
		{Role: RoleControl, Resource: Messages, What: "changes handed out by each machine, one message a courier and change", Unit: "messages/s",
			Worked:    func(_ *Plan, d *Derived) float64 { return d.CouriersPerControl * d.ChangesPerSecond },
			Mechanism: HandOut, Package: nobody, Status: Paper},
		row(Bytes, "changes handed out by each machine", "bytes/s"),
		row(Processor, "a machine set aside", "cores"),
		row(Memory, "a machine set aside", "bytes"),
		row(Disk, "a machine set aside", "bytes"),
		row(Descriptors, "a machine set aside", "descriptors"),
	}
}

// noSpeaker says why there are no rows on speakers of zones and regions.
const noSpeaker = "the design has none today: every courier speaks for itself, to all others alike"

func speakerRows() []Row {
	return []Row{{Role: RoleSpeaker, Resource: State, What: "state, messages, bytes, processor, memory, disk and descriptors of a speaker", Unit: "-", None: noSpeaker,
		Mechanism: Membership, Package: nobody, Status: Paper}}
}

func discoveryRows() []Row {
	discovery := func(resource Resource, what, unit string, worked func(*Plan, *Derived) float64) Row {
		return Row{Role: RoleDiscovery, Resource: resource, What: what, Unit: unit, Worked: worked, Mechanism: FullList, Package: decisionsList, Status: RunsToday}
	}
	return []Row{
		discovery(Descriptors, "watches that stay open, one a courier", "connections", fleetCouriers.At),
		discovery(Messages, "watches asked again, each held for 4.5 s at most", "calls/s",
			func(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * max(1/watchSeconds, d.ChangesPerSecond) }),
		discovery(Messages, "changes told, one a courier and change", "messages/s",
			func(p *Plan, d *Derived) float64 { return p.Fleet.Couriers * d.ChangesPerSecond }),
		discovery(Messages, "whole lists asked by restarts", "lists/s", eachRestart),
		{Role: RoleDiscovery, Resource: Bytes, What: "a whole list", Unit: "bytes", Parts: one("changes.list_bytes", "bytes", listedEndpoints, nil),
			Mechanism: FullList, Package: "protocol", Status: RunsToday},
		{Role: RoleDiscovery, Resource: Bytes, What: "whole lists sent to restarts", Unit: "bytes/s",
			Parts: one("changes.list_bytes", "bytes", listedEndpoints, eachRestart), Mechanism: FullList, Package: "protocol", Status: RunsToday},
		{Role: RoleDiscovery, Resource: Bytes, What: "changes told to all couriers", Unit: "bytes/s",
			Parts: one("changes.change_bytes", "bytes", listedEndpoints, eachChangeToAll), Mechanism: FullList, Package: "protocol", Status: RunsToday},
		{Role: RoleDiscovery, Resource: Processor, What: "what discovery itself spends", Unit: "cores",
			None: "discovery is the platform's; no stand-in of it is timed", Mechanism: FullList, Package: nobody, Status: RunsToday},
	}
}

// Kinds of the run outage, by the size kind of its points: testbed/scale/outage.go.
const (
	outageRefusing   = 1
	outageThrottling = 2
)

// pushedOver is counted and not carried: at most sizes no return is pushed over, so that no curve can be fitted.
func pushedOver(how string, kind float64) Row {
	return Row{Role: RolePartners, Resource: State, What: "returning destinations that are pushed over, of all that return after an outage of 30 s: " + how, Unit: "ratio",
		Counted:   &Counted{Run: "outage", Figure: "pushed_over", Over: "couriers", Where: map[string]float64{"kind": kind}},
		Mechanism: OutageAlone, Package: decisions, Status: RunsToday}
}

// watchSeconds is how long discovery may hold a watch: watchWait of server/discovery.go.
const watchSeconds = 4.5

func partnerRows() []Row {
	partner := func(resource Resource, what, unit string, worked func(*Plan, *Derived) float64) Row {
		return Row{Role: RolePartners, Resource: resource, What: what, Unit: unit, Worked: worked, Mechanism: Connections, Package: routerPkg, Status: RunsToday}
	}
	return []Row{
		partner(Messages, "events for one destination, all couriers", "events/s", func(_ *Plan, d *Derived) float64 { return d.EventsPerDestination }),
		partner(Latency, "between two calls of one courier to one destination", "s", func(_ *Plan, d *Derived) float64 { return d.MeetingSeconds }),
		partner(State, "calls that find an idle connection, by chance", "share", func(_ *Plan, d *Derived) float64 { return d.ReuseShare }),
		partner(Messages, "connections that a destination sees opened", "connections/s",
			func(_ *Plan, d *Derived) float64 { return d.EventsPerDestination * (1 - d.ReuseShare) }),
		partner(Descriptors, "connections of one destination, in use and resting", "descriptors", func(p *Plan, d *Derived) float64 {
			return d.EventsPerDestination * (p.Traffic.CallSeconds + p.Traffic.IdleSeconds*(1-d.ReuseShare))
		}),
		{Role: RolePartners, Resource: Calls, What: "calls in the first second after the return of one destination, all couriers", Unit: "calls",
			Parts: one("outage.return_calls.refusing", "calls", rareCouriers, eachOutage), Mechanism: OutageAlone, Package: decisions, Status: RunsToday},
		pushedOver("connections refused", outageRefusing),
		pushedOver("every call throttled", outageThrottling),
		{Role: RolePartners, Resource: Bytes, What: "bytes that a client or an endpoint sends and receives", Unit: "bytes/s",
			None: "bodies differ by client; no scale run has sockets", Mechanism: Connections, Package: "protocol, transport", Status: RunsToday},
	}
}
