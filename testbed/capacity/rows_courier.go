package capacity

// one is a row of one slope.
func one(slope, unit string, over Size, times func(*Plan, *Derived) float64) []Part {
	return []Part{{Slope: slope, Unit: unit, Over: over, Times: times}}
}

// courierRows are what one courier has to carry. Slopes of the run held are taken where many destinations are down, as at the planned
// size a courier holds messages for nearly all of them.
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

// Packages that carry rows.
const (
	decisions     = "dispatch"
	decisionsList = "dispatch, server"
	spoolPackage  = "spool"
	membershipPkg = "membership, membership/gossip"
	sharingPkg    = "quota, quota/exchange"
	routerPkg     = "server, transport"
)

// batched says why a full core does not break the main job yet.
const batched = "a step takes in all that came meanwhile, so a core that is never idle delays and does not yet break; the length of a step is what breaks"

func heldRows() []Row {
	step := one("held.step.many", "s", heldMessages, nil)
	memory := func(slope string) Part { return Part{Slope: slope, Unit: "bytes", Over: heldMessages} }
	return []Row{
		{Role: RoleCourier, Resource: State, What: "messages held", Unit: "events", Worked: heldMessages.At,
			Mechanism: HeldMemory, Package: "dispatch, server, spool", Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "one step of the decisions, nothing due", Unit: "s", Parts: step, Budget: stepSeconds,
			Mechanism: HeldWork, Package: decisions, Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "one step in which a message comes and goes", Unit: "s",
			Parts: one("held.step_arrival.many", "s", heldMessages, nil), Budget: stepSeconds, Mechanism: HeldWork, Package: decisions, Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "one step in which a message comes and goes, few destinations down", Unit: "s",
			Parts: one("held.step_arrival.few", "s", heldMessages, nil), Budget: stepSeconds, Mechanism: HeldWork, Package: decisions, Status: RunsToday},
		{Role: RoleCourier, Resource: Processor, What: "decisions, were there a step for each message", Unit: "cores",
			Parts: one("held.step_arrival.many", "s", heldMessages, eachEvent), Budget: courierCores, Mechanism: HeldWork, Package: decisions,
			Status: RunsToday, Reported: batched},
		{Role: RoleCourier, Resource: Memory, What: "messages held, in the decisions", Unit: "bytes", Parts: []Part{memory("held.module.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: decisions, Status: RunsToday},
		{Role: RoleCourier, Resource: Memory, What: "messages held, in the router", Unit: "bytes", Parts: []Part{memory("held.router.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: "server", Status: RunsToday},
		{Role: RoleCourier, Resource: Memory, What: "messages held, in the spool", Unit: "bytes", Parts: []Part{memory("held.spool_memory.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: spoolPackage, Status: RunsToday},
		{Role: RoleCourier, Resource: Memory, What: "messages held, all together", Unit: "bytes",
			Parts:  []Part{memory("held.module.many"), memory("held.router.many"), memory("held.spool_memory.many")},
			Budget: courierMemory, Mechanism: HeldMemory, Package: "dispatch, server, spool", Status: RunsToday},
		{Role: RoleCourier, Resource: Disk, What: "messages held, in the folder", Unit: "bytes", Parts: one("held.spool_disk.many", "bytes", heldMessages, nil),
			Budget: courierDisk, Mechanism: HeldMemory, Package: spoolPackage, Status: RunsToday},
		{Role: RoleCourier, Resource: Disk, What: "messages held, in the folder, with the 1,024 bytes of each that the spool keeps free for what attempts add", Unit: "bytes",
			Parts: one("held.spool_disk.many", "bytes", heldMessages, nil), Added: keptFree, Budget: courierDisk, Mechanism: HeldMemory, Package: spoolPackage,
			Status: RunsToday},
		{Role: RoleCourier, Resource: Latency, What: "a restart until the first step is over", Unit: "s",
			Parts: one("held.restart.many", "s", heldMessages, nil), Budget: readySeconds, Mechanism: HeldRestart, Package: "spool, server, dispatch", Status: RunsToday},
	}
}

// outageRows are carried to the couriers of the run that meet a destination as rarely as those of the plan.
func outageRows() []Row {
	calls := func(what, slope string) Row {
		return Row{Role: RoleCourier, Resource: Calls, What: what, Unit: "calls", Parts: one(slope, "calls", rareCouriers, eachOutageMessage), Budget: callsEach,
			Mechanism: OutageAlone, Package: decisions, Status: RunsToday}
	}
	return []Row{
		calls("calls into an outage for each message that it holds up, all couriers, connections refused", "outage.failed_calls.refusing"),
		calls("calls into an outage for each message that it holds up, all couriers, every call throttled", "outage.failed_calls.throttling"),
		{Role: RoleCourier, Resource: State, What: "couriers that call a destination which is down and park it before it is back, after 30 s", Unit: "ratio",
			Parts: one("outage.parked_share.refusing", "ratio", rareCouriers, nil), Mechanism: OutageAlone, Package: decisions, Status: RunsToday},
	}
}

func listRows() []Row {
	list := func(what string, resource Resource, slope, unit string) Row {
		return Row{Role: RoleCourier, Resource: resource, What: what, Unit: unit, Parts: one(slope, unit, knownDestinations, nil),
			Mechanism: FullList, Package: decisionsList, Status: RunsToday}
	}
	memory := list("destinations known", Memory, "destinations.bytes", "bytes")
	memory.Budget = controlMemory
	first := list("the first list, from its coming to the end of the step", Latency, "destinations.first_list", "s")
	first.Budget = readySeconds
	again := list("a whole list again", Latency, "destinations.list_again", "s")
	again.Budget = stepSeconds
	change := list("one change of the list: no message moves on meanwhile", Latency, "destinations.change", "s")
	change.Budget = stepSeconds
	busy := Row{Role: RoleCourier, Resource: Processor, What: "changes of the list, as often as they are planned", Unit: "cores",
		Parts: one("destinations.change", "s", knownDestinations, eachChange), Budget: controlCores, Mechanism: FullList, Package: decisionsList,
		Status: RunsToday}
	notified := Row{Role: RoleCourier, Resource: Bytes, What: "changes of the list, as discovery tells them", Unit: "bytes/s",
		Parts: one("changes.change_bytes", "bytes", listedEndpoints, eachChange), Budget: controlBytes, Mechanism: FullList, Package: "protocol, server",
		Status: RunsToday}
	idle := list("a step of an idle courier", Latency, "destinations.step", "s")
	idle.Budget = stepSeconds
	known := Row{Role: RoleCourier, Resource: State, What: "destinations known", Unit: "destinations", Worked: knownDestinations.At,
		Mechanism: FullList, Package: decisionsList, Status: RunsToday}
	return []Row{known, memory, first, again, change, busy, notified, idle}
}

// lookedAtRarely says why the view's picture has no budget of its own.
const lookedAtRarely = "drawn when an operator or the beat of sharing asks"

func membershipRows() []Row {
	member := func(resource Resource, what, slope, unit string, budget func(*Plan) Budget) Row {
		return Row{Role: RoleCourier, Resource: resource, What: what, Unit: unit, Parts: one(slope, unit, fleetMembers, nil), Budget: budget,
			Mechanism: Membership, Package: membershipPkg, Status: Hollow}
	}
	view := func(resource Resource, what, slope, unit string, over Size, budget func(*Plan) Budget) Row {
		row := member(resource, what, slope, unit, budget)
		row.Parts = one(slope, unit, over, nil)
		return row
	}
	tick := view(Processor, "ticks of the view, with all names that it keeps", "couriers.view.tick", "s", namesKept, controlCores)
	tick.Unit, tick.Parts[0].Times = "cores", ticksPerSecond
	look := view(Latency, "one picture of the view, with all names that it keeps", "couriers.view.look", "s", namesKept, nil)
	look.Reported = lookedAtRarely
	return []Row{
		{Role: RoleCourier, Resource: Bound, What: "members that a view keeps by name; the failed beyond are counted on", Unit: "couriers",
			Worked: fleetMembers.At, CodeBound: &CodeBound{"maxMembers", "membership/membership.go", mostNames}, Mechanism: Membership, Package: "membership", Status: RunsToday},
		{Role: RoleCourier, Resource: Bound, What: "starts that a full exchange tells; a larger one is refused whole", Unit: "couriers",
			Worked: fleetMembers.At, CodeBound: &CodeBound{"MaxMapPairs", "membership/gossip/gossip.go", 8192}, Mechanism: Membership, Package: "membership/gossip", Status: RunsToday},
		member(Messages, "packets of membership sent", "couriers.packets", "packets/s", nil),
		member(Bytes, "packets of membership", "couriers.packet_bytes", "bytes/s", controlBytes),
		member(Bytes, "full exchanges of membership", "couriers.exchange_bytes", "bytes/s", controlBytes),
		member(Bytes, "one full exchange", "couriers.exchange_size", "bytes", nil),
		member(Processor, "membership", "couriers.processor", "cores", controlCores),
		tick,
		view(Latency, "one word of the detector, taken in, with all names that a view keeps", "couriers.view.word", "s", namesKept, nil),
		view(Latency, "one word of the detector, taken in, where there are more names than a view keeps", "couriers.view.word.beyond", "s", namesBeyond, nil),
		look,
		member(Memory, "membership", "couriers.heap", "bytes", controlMemory),
	}
}

// hearsFew says why processor time of the fleets that share is notified only.
const hearsFew = "up to 300 couriers it shows next to nothing of what goes by each member that is heard; the row over the others that are heard has that, and takes " +
	"part in its place"

func sharingRows() []Row {
	share := func(resource Resource, what, slope, unit string, over Size, budget func(*Plan) Budget) Row {
		return Row{Role: RoleCourier, Resource: resource, What: what, Unit: unit, Parts: one(slope, unit, over, nil), Budget: budget,
			Mechanism: Sharing, Package: sharingPkg, Status: Hollow}
	}
	ticks := share(Processor, "beats of sharing, over the routes in use", "sharing.beat_seconds.routes_over_room", "s", sharedRoutes, controlCores)
	ticks.Unit, ticks.Parts[0].Times = "cores", sharingTicksPerSecond
	heard := share(Processor, "beats of sharing, over the others that are heard", "sharing.beat_seconds.heard_over_room", "s", othersHeard, controlCores)
	heard.Unit, heard.Parts[0].Times = "cores", sharingTicksPerSecond
	fleet := share(Processor, "sharing of ten limits in a whole fleet", "sharing.cores", "cores", fleetCouriers, controlCores)
	fleet.Reported = hearsFew
	return []Row{
		{Role: RoleCourier, Resource: Bound, What: "routes whose limits are shared, of those called within two minutes; others are left out", Unit: "routes",
			Worked: sharedRoutes.At, CodeBound: &CodeBound{"maxKeys", "quota/quota.go", 1024}, Mechanism: Sharing, Package: "quota", Status: RunsToday},
		ticks, heard,
		fleet,
		share(Memory, "sharing, over the routes in use", "sharing.kept_bytes.routes_over_room", "bytes", sharedRoutes, controlMemory),
		share(Memory, "sharing, over the others that are heard", "sharing.kept_bytes.heard_over_room", "bytes", othersHeard, controlMemory),
		share(Messages, "packets of sharing sent", "sharing.packets_per_second", "packets/s", fleetCouriers, nil),
		share(Bytes, "packets of sharing", "sharing.bytes_per_second", "bytes/s", fleetCouriers, controlBytes),
		share(Processor, "one packet of sharing, read and taken in", "sharing.hear_seconds.heard_over_room", "s", othersHeard, nil),
		share(State, "couriers of whose use of a limit one knows", "sharing.heard_couriers", "couriers", fleetCouriers, nil),
		share(State, "load of a limit that the decisions are told, over the true one", "sharing.told_ratio", "ratio", fleetCouriers, nil),
		share(State, "others of whose use a courier knows, of all", "sharing.heard_ratio", "ratio", fleetCouriers, nil),
	}
}

// settingsRows take every change of configuration for one of the settings, as none says of which kind it is.
func settingsRows() []Row {
	reload := Row{Role: RoleCourier, Resource: Processor, What: "settings read anew, were every change one of them", Unit: "cores",
		Parts: one("changes.reload_seconds.tenants", "s", settingsTenants, eachChange), Budget: controlCores, Mechanism: HandOut, Package: "config, server",
		Status: RunsToday}
	memory := Row{Role: RoleCourier, Resource: Memory, What: "settings in force", Unit: "bytes",
		Parts: one("changes.reload_kept_bytes.tenants", "bytes", settingsTenants, nil), Budget: controlMemory, Mechanism: HandOut, Package: "config",
		Status: RunsToday}
	return []Row{reload, memory}
}

// summed says why sums take no part in the choice.
const summed = "a sum over mechanisms; each stands for itself in the choice"

func controlSums() []Row {
	return []Row{
		{Role: RoleCourier, Resource: Processor, What: "control, all together: membership, sharing, changes of the list", Unit: "cores", Parts: []Part{
			{Slope: "couriers.processor", Unit: "cores", Over: fleetMembers},
			{Slope: "sharing.beat_seconds.heard_over_room", Unit: "s", Over: othersHeard, Times: sharingTicksPerSecond},
			{Slope: "destinations.change", Unit: "s", Over: knownDestinations, Times: eachChange},
		}, Budget: controlCores, Package: "membership, quota, dispatch", Status: Hollow, Reported: summed},
		{Role: RoleCourier, Resource: Memory, What: "control, all together: membership, sharing, the list", Unit: "bytes", Parts: []Part{
			{Slope: "couriers.heap", Unit: "bytes", Over: fleetMembers},
			{Slope: "sharing.kept_bytes.routes_over_room", Unit: "bytes", Over: sharedRoutes},
			{Slope: "destinations.bytes", Unit: "bytes", Over: knownDestinations},
		}, Budget: controlMemory, Package: "membership, quota, dispatch", Status: Hollow, Reported: summed},
		{Role: RoleCourier, Resource: Bytes, What: "control, all together: membership, sharing, changes of the list", Unit: "bytes/s", Parts: []Part{
			{Slope: "couriers.packet_bytes", Unit: "bytes/s", Over: fleetMembers},
			{Slope: "couriers.exchange_bytes", Unit: "bytes/s", Over: fleetMembers},
			{Slope: "sharing.bytes_per_second", Unit: "bytes/s", Over: fleetCouriers},
			{Slope: "changes.change_bytes", Unit: "bytes", Over: listedEndpoints, Times: eachChange},
		}, Budget: controlBytes, Package: "peers, commons", Status: Hollow, Reported: summed},
	}
}

func connectionRows() []Row {
	return []Row{
		{Role: RoleCourier, Resource: Messages, What: "messages taken", Unit: "events/s", Worked: eachEvent,
			Mechanism: Connections, Package: routerPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Descriptors, What: "calls under way and connections that rest", Unit: "descriptors",
			Worked: func(_ *Plan, d *Derived) float64 { return d.CallsOut + d.IdleConnections }, Budget: descriptors,
			Mechanism: Connections, Package: routerPkg, Status: RunsToday},
		{Role: RoleCourier, Resource: Processor, What: "taking, parsing, writing and calling, sockets included", Unit: "cores",
			None: "no scale run has sockets; the standing test times them at a few couriers", Mechanism: Connections, Package: routerPkg, Status: RunsToday},
	}
}
