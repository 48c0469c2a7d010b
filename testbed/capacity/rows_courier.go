package capacity

// singleSlope returns the Parts of a row that uses a single slope.
func singleSlope(slope, unit string, over Size, times func(*Plan, *Derived) float64) []Part {
	return []Part{{Slope: slope, Unit: unit, Over: over, Factor: times}}
}

// courierRows returns the rows on the load of one courier. They use those slopes of the run "held" that have many destinations
// down, because at the planned size a courier holds messages for nearly all destinations that are down.
func courierRows() []Row {
	var all []Row
	all = append(all, heldRows()...)
	all = append(all, outageRows()...)
	all = append(all, listRows()...)
	all = append(all, membershipRows()...)
	all = append(all, sharingRows()...)
	all = append(all, settingsRows()...)
	all = append(all, controlSums()...)
	return append(all, connectionRows()...)
}

// Go packages that the rows name.
const (
	dispatchPkg     = "dispatch"
	dispatchListPkg = "dispatch, server"
	spoolPkg        = "spool"
	membershipPkg   = "membership, membership/gossip"
	sharingPkg      = "quota, quota/exchange"
	routerPkg       = "server, transport"
)

// batchedReason explains why a fully used core does not yet prevent delivery.
const batchedReason = "each step handles all events since the previous one, so a fully used core only adds delay; the budget that limits the size is the duration of a step"

func heldRows() []Row {
	step := singleSlope("held.step.many", "s", heldMessages, nil)
	memory := func(slope string) Part { return Part{Slope: slope, Unit: "bytes", Over: heldMessages} }
	return []Row{
		{Role: RoleCourier, Resource: State, What: "messages held", Unit: "events", Computed: heldMessages.At,
			Mechanism: HeldMemory, Package: "dispatch, server, spool", Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "one step of the decisions, nothing due", Unit: "s", Parts: step, Budget: stepSeconds,
			Mechanism: HeldWork, Package: dispatchPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "one step in which a message comes and goes", Unit: "s",
			Parts: singleSlope("held.step_arrival.many", "s", heldMessages, nil), Budget: stepSeconds, Mechanism: HeldWork, Package: dispatchPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "one step in which a message comes and goes, few destinations down", Unit: "s",
			Parts: singleSlope("held.step_arrival.few", "s", heldMessages, nil), Budget: stepSeconds, Mechanism: HeldWork, Package: dispatchPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Processor, What: "decisions, were there a step for each message", Unit: "cores",
			Parts: singleSlope("held.step_arrival.many", "s", heldMessages, eventRate), Budget: courierCores, Mechanism: HeldWork, Package: dispatchPkg,
			Status: RunsToday, NotRankedReason: batchedReason},
		{Role: RoleCourier, Resource: Memory, What: "messages held, in the decisions", Unit: "bytes", Parts: []Part{memory("held.module.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: dispatchPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Memory, What: "messages held, in the router", Unit: "bytes", Parts: []Part{memory("held.router.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: "server", Status: RunsToday},
		{Role: RoleCourier, Resource: Memory, What: "messages held, in the spool", Unit: "bytes", Parts: []Part{memory("held.spool_memory.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: spoolPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Memory, What: "messages held, all together", Unit: "bytes",
			Parts:  []Part{memory("held.module.many"), memory("held.router.many"), memory("held.spool_memory.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: "dispatch, server, spool", Status: RunsToday},
		{Role: RoleCourier, Resource: Disk, What: "messages held, in the folder", Unit: "bytes", Parts: singleSlope("held.spool_disk.many", "bytes", heldMessages, nil),
			Budget: courierDisk, Mechanism: HeldMemory, Package: spoolPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Disk, What: "messages held, in the folder, with the 1,024 bytes of each that the spool keeps free for what attempts add", Unit: "bytes",
			Parts: singleSlope("held.spool_disk.many", "bytes", heldMessages, nil), Added: reservedBytes, Budget: courierDisk, Mechanism: HeldMemory, Package: spoolPkg,
			Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "a restart until the first step is over", Unit: "s",
			Parts: singleSlope("held.restart.many", "s", heldMessages, nil), Budget: readySeconds, Mechanism: HeldRestart, Package: "spool, server, dispatch", Status: RunsToday},
	}
}

// outageRows returns the rows on the cost of an outage. They are extrapolated to the size equivalentCouriers.
func outageRows() []Row {
	calls := func(what, slope string) Row {
		return Row{Role: RoleCourier, Resource: Calls, What: what, Unit: "calls", Parts: singleSlope(slope, "calls", equivalentCouriers, perOutageMessage), Budget: callsPerMessage,
			Mechanism: OutageAlone, Package: dispatchPkg, Status: RunsToday}
	}
	return []Row{
		calls("calls into an outage for each message that it holds up, all couriers, connections refused", "outage.failed_calls.refusing"),
		calls("calls into an outage for each message that it holds up, all couriers, every call throttled", "outage.failed_calls.throttling"),
		{Role: RoleCourier, Resource: State, What: "couriers that call a destination which is down and park it before it is back, after 30 s", Unit: "ratio",
			Parts: singleSlope("outage.parked_share.refusing", "ratio", equivalentCouriers, nil), Mechanism: OutageAlone, Package: dispatchPkg, Status: RunsToday},
	}
}

func listRows() []Row {
	list := func(what string, resource Resource, slope, unit string) Row {
		return Row{Role: RoleCourier, Resource: resource, What: what, Unit: unit, Parts: singleSlope(slope, unit, knownDestinations, nil),
			Mechanism: FullList, Package: dispatchListPkg, Status: RunsToday}
	}
	memory := list("destinations known", Memory, "destinations.bytes", "bytes")
	memory.Budget = controlMemory
	firstList := list("the first list, from its coming to the end of the step", Latency, "destinations.first_list", "s")
	firstList.Budget = readySeconds
	listAgain := list("a whole list again", Latency, "destinations.list_again", "s")
	listAgain.Budget = stepSeconds
	change := list("one change of the list: no message moves on meanwhile", Latency, "destinations.change", "s")
	change.Budget = stepSeconds
	changeLoad := Row{Role: RoleCourier, Resource: Processor, What: "changes of the list, as often as they are planned", Unit: "cores",
		Parts: singleSlope("destinations.change", "s", knownDestinations, changeRate), Budget: controlCores, Mechanism: FullList, Package: dispatchListPkg,
		Status: RunsToday}
	changeTraffic := Row{Role: RoleCourier, Resource: Bytes, What: "changes of the list, as discovery tells them", Unit: "bytes/s",
		Parts: singleSlope("changes.change_bytes", "bytes", listedEndpoints, changeRate), Budget: controlBytes, Mechanism: FullList, Package: "protocol, server",
		Status: RunsToday}
	idleStep := list("a step of an idle courier", Latency, "destinations.step", "s")
	idleStep.Budget = stepSeconds
	knownRow := Row{Role: RoleCourier, Resource: State, What: "destinations known", Unit: "destinations", Computed: knownDestinations.At,
		Mechanism: FullList, Package: dispatchListPkg, Status: RunsToday}
	return []Row{knownRow, memory, firstList, listAgain, change, changeLoad, changeTraffic, idleStep}
}

// rarelyReadReason explains why reading the view has no budget.
const rarelyReadReason = "the view is read only on request of an operator or by a round of the quota exchange"

func membershipRows() []Row {
	member := func(resource Resource, what, slope, unit string, budget func(*Plan) Budget) Row {
		return Row{Role: RoleCourier, Resource: resource, What: what, Unit: unit, Parts: singleSlope(slope, unit, fleetMembers, nil), Budget: budget,
			Mechanism: Membership, Package: membershipPkg, Status: Hollow}
	}
	view := func(resource Resource, what, slope, unit string, over Size, budget func(*Plan) Budget) Row {
		row := member(resource, what, slope, unit, budget)
		row.Parts = singleSlope(slope, unit, over, nil)
		return row
	}
	tick := view(Processor, "ticks of the view, with all names that it keeps", "couriers.view.tick", "s", namesKept, controlCores)
	tick.Unit, tick.Parts[0].Factor = "cores", ticksPerSecond
	viewRead := view(Latency, "one picture of the view, with all names that it keeps", "couriers.view.look", "s", namesKept, nil)
	viewRead.NotRankedReason = rarelyReadReason
	return []Row{
		{Role: RoleCourier, Resource: Bound, What: "members that a view keeps by name; the failed beyond are counted on", Unit: "couriers",
			Computed: fleetMembers.At, CodeBound: &CodeBound{"maxMembers", "membership/membership.go", maxNamedMembers}, Mechanism: Membership, Package: "membership", Status: RunsToday},
		{Role: RoleCourier, Resource: Bound, What: "starts that a full exchange tells; a larger one is refused whole", Unit: "couriers",
			Computed: fleetMembers.At, CodeBound: &CodeBound{"MaxMapPairs", "membership/gossip/gossip.go", 8192}, Mechanism: Membership, Package: "membership/gossip", Status: RunsToday},
		member(Messages, "packets of membership sent", "couriers.packets", "packets/s", nil),
		member(Bytes, "packets of membership", "couriers.packet_bytes", "bytes/s", controlBytes),
		member(Bytes, "full exchanges of membership", "couriers.exchange_bytes", "bytes/s", controlBytes),
		member(Bytes, "one full exchange", "couriers.exchange_size", "bytes", nil),
		member(Processor, "membership", "couriers.processor", "cores", controlCores),
		tick,
		view(Latency, "one word of the detector, taken in, with all names that a view keeps", "couriers.view.word", "s", namesKept, nil),
		view(Latency, "one word of the detector, taken in, where there are more names than a view keeps", "couriers.view.word.beyond", "s", moreThanNamesKept, nil),
		viewRead,
		member(Memory, "membership", "couriers.heap", "bytes", controlMemory),
	}
}

// smallFleetsReason explains why the processor time of whole fleets that share limits is only informational.
const smallFleetsReason = "up to 300 couriers, the cost per member whose packets arrive hardly shows; the row measured over the number of these members contains " +
	"this cost and counts instead"

func sharingRows() []Row {
	share := func(resource Resource, what, slope, unit string, over Size, budget func(*Plan) Budget) Row {
		return Row{Role: RoleCourier, Resource: resource, What: what, Unit: unit, Parts: singleSlope(slope, unit, over, nil), Budget: budget,
			Mechanism: Sharing, Package: sharingPkg, Status: Hollow}
	}
	routesLoad := share(Processor, "beats of sharing, over the routes in use", "sharing.beat_seconds.routes_over_room", "s", sharedRoutes, controlCores)
	routesLoad.Unit, routesLoad.Parts[0].Factor = "cores", sharingTicksPerSecond
	othersLoad := share(Processor, "beats of sharing, over the others that are heard", "sharing.beat_seconds.heard_over_room", "s", otherMembers, controlCores)
	othersLoad.Unit, othersLoad.Parts[0].Factor = "cores", sharingTicksPerSecond
	fleetLoad := share(Processor, "sharing of ten limits in a whole fleet", "sharing.cores", "cores", fleetCouriers, controlCores)
	fleetLoad.NotRankedReason = smallFleetsReason
	return []Row{
		{Role: RoleCourier, Resource: Bound, What: "routes whose limits are shared, of those called within two minutes; others are left out", Unit: "routes",
			Computed: sharedRoutes.At, CodeBound: &CodeBound{"maxKeys", "quota/quota.go", 1024}, Mechanism: Sharing, Package: "quota", Status: RunsToday},
		routesLoad, othersLoad,
		fleetLoad,
		share(Memory, "sharing, over the routes in use", "sharing.kept_bytes.routes_over_room", "bytes", sharedRoutes, controlMemory),
		share(Memory, "sharing, over the others that are heard", "sharing.kept_bytes.heard_over_room", "bytes", otherMembers, controlMemory),
		share(Messages, "packets of sharing sent", "sharing.packets_per_second", "packets/s", fleetCouriers, nil),
		share(Bytes, "packets of sharing", "sharing.bytes_per_second", "bytes/s", fleetCouriers, controlBytes),
		share(Processor, "one packet of sharing, read and taken in", "sharing.hear_seconds.heard_over_room", "s", otherMembers, nil),
		share(State, "couriers of whose use of a limit one knows", "sharing.heard_couriers", "couriers", fleetCouriers, nil),
		share(State, "load of a limit that the decisions are told, over the true one", "sharing.told_ratio", "ratio", fleetCouriers, nil),
		share(State, "others of whose use a courier knows, of all", "sharing.heard_ratio", "ratio", fleetCouriers, nil),
	}
}

// settingsRows returns the rows on settings. They count every change of configuration as a change of settings, because the plan does not
// distinguish the kinds of changes.
func settingsRows() []Row {
	reload := Row{Role: RoleCourier, Resource: Processor, What: "settings read anew, were every change one of them", Unit: "cores",
		Parts: singleSlope("changes.reload_seconds.tenants", "s", settingsTenants, changeRate), Budget: controlCores, Mechanism: HandOut, Package: "config, server",
		Status: RunsToday}
	memory := Row{Role: RoleCourier, Resource: Memory, What: "settings in force", Unit: "bytes",
		Parts: singleSlope("changes.reload_kept_bytes.tenants", "bytes", settingsTenants, nil), Budget: controlMemory, Mechanism: HandOut, Package: "config",
		Status: RunsToday}
	return []Row{reload, memory}
}

// sumReason explains why sums do not count in the choice of the mechanism to replace first.
const sumReason = "a sum over several mechanisms, which are ranked separately"

func controlSums() []Row {
	return []Row{
		{Role: RoleCourier, Resource: Processor, What: "control, all together: membership, sharing, changes of the list", Unit: "cores", Parts: []Part{
			{Slope: "couriers.processor", Unit: "cores", Over: fleetMembers},
			{Slope: "sharing.beat_seconds.heard_over_room", Unit: "s", Over: otherMembers, Factor: sharingTicksPerSecond},
			{Slope: "destinations.change", Unit: "s", Over: knownDestinations, Factor: changeRate},
		}, Budget: controlCores, Package: "membership, quota, dispatch", Status: Hollow, NotRankedReason: sumReason},
		{Role: RoleCourier, Resource: Memory, What: "control, all together: membership, sharing, the list", Unit: "bytes", Parts: []Part{
			{Slope: "couriers.heap", Unit: "bytes", Over: fleetMembers},
			{Slope: "sharing.kept_bytes.routes_over_room", Unit: "bytes", Over: sharedRoutes},
			{Slope: "destinations.bytes", Unit: "bytes", Over: knownDestinations},
		}, Budget: controlMemory, Package: "membership, quota, dispatch", Status: Hollow, NotRankedReason: sumReason},
		{Role: RoleCourier, Resource: Bytes, What: "control, all together: membership, sharing, changes of the list", Unit: "bytes/s", Parts: []Part{
			{Slope: "couriers.packet_bytes", Unit: "bytes/s", Over: fleetMembers},
			{Slope: "couriers.exchange_bytes", Unit: "bytes/s", Over: fleetMembers},
			{Slope: "sharing.bytes_per_second", Unit: "bytes/s", Over: fleetCouriers},
			{Slope: "changes.change_bytes", Unit: "bytes", Over: listedEndpoints, Factor: changeRate},
		}, Budget: controlBytes, Package: "membership, quota, protocol", Status: Hollow, NotRankedReason: sumReason},
	}
}

func connectionRows() []Row {
	return []Row{
		{Role: RoleCourier, Resource: Messages, What: "messages taken", Unit: "events/s", Computed: eventRate,
			Mechanism: Connections, Package: routerPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Descriptors, What: "calls under way and connections that rest", Unit: "descriptors",
			Computed: func(_ *Plan, d *Derived) float64 { return d.CallsInFlight + d.IdleConnections }, Budget: descriptors,
			Mechanism: Connections, Package: routerPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Processor, What: "taking, parsing, writing and calling, sockets included", Unit: "cores",
			NoFigureReason: "no scale run uses sockets; the standing test of the testbed measures them with a few couriers", Mechanism: Connections, Package: routerPkg, Status: RunsToday},
	}
}
