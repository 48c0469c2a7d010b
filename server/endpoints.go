package server

import (
	"fmt"
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
)

// applyEndpoints passes a complete or partial endpoint list to the dispatcher and stores its entries. It
// returns the entries that could not be used. If there are any, the update is marked Incomplete and the
// dispatcher polls the list again.
//
// Incident: an unusable entry was skipped and the list was treated as complete, so the drain announced in
// that entry was neither applied nor polled for again. Endpoints that an unusable entry may refer to now
// get no new messages until a list without unusable entries is received.
func (s *Server) applyEndpoints(list protocol.List, kind dispatch.UpdateKind) (faults []protocol.InvalidEntry) {
	usable, faults := s.usableEntries(list, kind)
	before := maps.Clone(s.endpoints)
	update := dispatch.EndpointUpdate{Kind: kind, Incomplete: len(faults) > 0}
	if kind != dispatch.PartialList && len(faults) == 0 {
		clear(s.endpoints)
	} else if kind == dispatch.CompleteList {
		s.suspectUnlisted(usable)
		update.Kind = dispatch.PartialList
	}
	for _, entry := range usable {
		s.logHealthChange(list.Version, before, entry)
		s.storeEndpoint(entry)
		converted, _ := s.endpointEntry(entry)
		update.Entries = append(update.Entries, converted)
	}
	update.Entries = append(update.Entries, s.updateSuspects(faults)...)
	update.Entries = append(update.Entries, s.updateSuperseded()...)
	if len(usable)+len(faults) > 0 {
		s.log.Info("endpoint list applied", "version", list.Version, "kind", kind.String(), "entries", len(usable), "ignored", len(faults))
	}
	s.events = append(s.events, update)
	s.closeUnused(before)
	s.updateDestinations()
	return faults
}

// storeEndpoint applies one entry to the stored endpoint list.
func (s *Server) storeEndpoint(entry protocol.Endpoint) {
	id := dispatch.EndpointID(entry.Host)
	delete(s.suspects, id)
	if entry.Health == protocol.Removed {
		delete(s.endpoints, id)
	} else {
		s.endpoints[id] = entry
	}
}

// usableEntries splits a list into usable entries, at most one per endpoint, and the faults of the others.
func (s *Server) usableEntries(list protocol.List, kind dispatch.UpdateKind) (usable []protocol.Endpoint, faults []protocol.InvalidEntry) {
	faults = slices.Clone(list.Invalid)
	indexByHost := map[string]int{}
	for _, entry := range list.Hosts {
		_, ok := s.endpointEntry(entry)
		index, duplicate := indexByHost[entry.Host]
		switch {
		case !ok:
			faults = append(faults, protocol.InvalidEntry{Host: entry.Host, Address: entry.Address, Err: fmt.Errorf("host %s: unknown zone %q or type %q", entry.Host, entry.Zone, entry.EndpointType)})
		case kind == dispatch.PartialList && s.mayBeMisnamed(entry):
			faults = append(faults, protocol.InvalidEntry{Host: entry.Host, Address: entry.Address, Err: fmt.Errorf("host %s: drain or removal without an address or with the address of another endpoint", entry.Host)})
		case duplicate && usable[index] != entry:
			faults = append(faults, protocol.InvalidEntry{Host: entry.Host, Err: fmt.Errorf("host %s: conflicting entries", entry.Host)})
		case !duplicate:
			indexByHost[entry.Host] = len(usable)
			usable = append(usable, entry)
		}
	}
	for _, fault := range faults {
		s.log.Warn("endpoint list entry ignored", "endpoint", fault.Host, "error", fault.Err)
	}
	return usable, faults
}

// mayBeMisnamed reports whether the endpoint name of a drain or removal may be corrupt: the entry has the
// address of another endpoint, or it has no address and names an unknown endpoint.
func (s *Server) mayBeMisnamed(entry protocol.Endpoint) bool {
	if entry.Health == protocol.InService {
		return false
	}
	_, known := s.endpoints[dispatch.EndpointID(entry.Host)]
	other, found := s.endpointAt(entry.Address)
	return found && string(other) != entry.Host || !known && entry.Address == ""
}

// endpointAt returns the endpoint in service at an address.
func (s *Server) endpointAt(address string) (dispatch.EndpointID, bool) {
	for id, entry := range s.endpoints {
		if entry.Address == address && entry.Health == protocol.InService {
			return id, true
		}
	}
	return "", false
}

// suspectUnlisted marks all endpoints that are missing from a complete list with unusable entries as
// suspects: they have been removed, or the unusable entries refer to them.
func (s *Server) suspectUnlisted(usable []protocol.Endpoint) {
	listed := map[dispatch.EndpointID]bool{}
	for _, entry := range usable {
		listed[dispatch.EndpointID(entry.Host)] = true
	}
	for id := range s.endpoints {
		if !listed[id] {
			s.suspects[id] = true
		}
	}
}

// updateSuspects marks the endpoints named by faults as suspects, or clears all suspects if there are no
// faults. It returns the current entries of all endpoints whose phase may change.
func (s *Server) updateSuspects(faults []protocol.InvalidEntry) (entries []dispatch.EndpointEntry) {
	for _, id := range s.faultyEndpoints(faults) {
		s.suspects[id] = true
	}
	changed := slices.Sorted(maps.Keys(s.suspects))
	if len(faults) == 0 {
		clear(s.suspects)
	}
	for _, id := range changed {
		if entry, listed := s.endpoints[id]; listed {
			converted, _ := s.endpointEntry(entry)
			entries = append(entries, converted)
		}
	}
	return entries
}

// updateSuperseded finds the endpoints whose address belongs to a process that started later: they have gone, and their removal
// is not known yet. They get no new messages. It returns the current entries of those for which that has changed.
//
// Failure: messages for the destination of an endpoint that had gone went to the endpoint of another destination that had come up at its
// address.
func (s *Server) updateSuperseded() (entries []dispatch.EndpointEntry) {
	latest := map[string]int64{} // by address, when the process there started
	for _, entry := range s.endpoints {
		if entry.Health == protocol.InService {
			latest[entry.Address] = max(latest[entry.Address], entry.StartedAtMs)
		}
	}
	superseded := map[dispatch.EndpointID]bool{}
	var changed []dispatch.EndpointID
	for id, entry := range s.endpoints {
		if entry.Health == protocol.InService && entry.StartedAtMs < latest[entry.Address] {
			superseded[id] = true
		}
		if superseded[id] != s.superseded[id] {
			changed = append(changed, id)
		}
	}
	s.superseded = superseded
	slices.Sort(changed)
	for _, id := range changed {
		if superseded[id] {
			s.log.Warn("address of endpoint taken over by a later process", "endpoint", id, "address", s.endpoints[id].Address)
		}
		converted, _ := s.endpointEntry(s.endpoints[id])
		entries = append(entries, converted)
	}
	return entries
}

// isReachable reports whether an endpoint is in service and is the process at its address.
func (s *Server) isReachable(id dispatch.EndpointID) bool {
	return s.endpoints[id].Health == protocol.InService && !s.suspects[id] && !s.superseded[id]
}

// faultyEndpoints returns the listed endpoints that faults may refer to, by name or by address.
func (s *Server) faultyEndpoints(faults []protocol.InvalidEntry) (ids []dispatch.EndpointID) {
	for _, fault := range faults {
		if _, known := s.endpoints[dispatch.EndpointID(fault.Host)]; known {
			ids = append(ids, dispatch.EndpointID(fault.Host))
		}
		if id, known := s.endpointAt(fault.Address); known {
			ids = append(ids, id)
		}
	}
	return ids
}

// applyConfirmedFaults applies a complete list with unusable entries after discovery has returned the same
// ones twice. Endpoints missing from the list are removed. Endpoints named by unusable entries drain until
// a usable entry for them is received. The update is marked Unusable.
func (s *Server) applyConfirmedFaults(faults []protocol.InvalidEntry) {
	named := s.faultyEndpoints(faults)
	update := dispatch.EndpointUpdate{Kind: dispatch.PartialList, Unusable: true}
	for _, id := range slices.Sorted(maps.Keys(s.suspects)) {
		entry := s.endpoints[id]
		if entry.Health = protocol.Draining; !slices.Contains(named, id) {
			entry.Health = protocol.Removed
		}
		s.storeEndpoint(entry)
		converted, _ := s.endpointEntry(entry)
		update.Entries = append(update.Entries, converted)
	}
	s.events = append(s.events, update)
}

// closeUnused forgets the connections to endpoints that are no longer in service or whose peer has changed.
func (s *Server) closeUnused(before map[dispatch.EndpointID]protocol.Endpoint) {
	for id, entry := range before {
		if current := s.endpoints[id]; current.Health != protocol.InService || s.superseded[id] || peerOf(current) != peerOf(entry) {
			s.endpointConns.Forget(peerOf(entry))
		}
	}
}

// updateDestinations records the destinations of the listed endpoints. It removes those that have had no
// listed endpoint for unlistedLifetime.
func (s *Server) updateDestinations() {
	for dest, until := range s.destinations {
		if until == never {
			s.destinations[dest] = s.now + unlistedLifetime
		} else if until <= s.now {
			delete(s.destinations, dest)
		}
	}
	for _, entry := range s.endpoints {
		s.destinations[entry.Destination] = never
	}
}

// logHealthChange logs a change of a listed endpoint's health.
func (s *Server) logHealthChange(version int64, before map[dispatch.EndpointID]protocol.Endpoint, entry protocol.Endpoint) {
	known, ok := before[dispatch.EndpointID(entry.Host)]
	if ok && known.Health != entry.Health {
		s.log.Info("endpoint health changed", "endpoint", entry.Host, "from", known.Health, "to", entry.Health, "version", version)
	}
}

// unlistedLifetime is how long a destination without listed endpoints remains known. It is many times
// longer than the replacement of all its endpoints takes.
const unlistedLifetime = 600 * 1000 * 1000

// knowsDestination reports whether a destination is known. As long as no destination is known, for example
// before the first list, it returns true for every destination.
func (s *Server) knowsDestination(dest int) bool {
	until, ok := s.destinations[dest]
	return ok && until > s.now || len(s.destinations) == 0
}

// endpointEntry converts an entry of the list for the dispatcher. Suspects and superseded endpoints are reported as
// draining. It returns false if the configuration does not have the entry's zone or type.
func (s *Server) endpointEntry(entry protocol.Endpoint) (dispatch.EndpointEntry, bool) {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Draining: dispatch.Draining,
		protocol.Removed: dispatch.Removed}
	phase := phases[entry.Health]
	if id := dispatch.EndpointID(entry.Host); phase == dispatch.InService && (s.suspects[id] || s.superseded[id]) {
		phase = dispatch.Draining
	}
	zone, kind := slices.Index(s.deployment.Zones, entry.Zone), slices.Index(s.deployment.EndpointTypes, entry.EndpointType)
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(entry.Host), Zone: dispatch.ZoneID(zone), Type: dispatch.EndpointTypeID(kind),
		Destination: dispatch.DestinationID(entry.Destination), Phase: phase, Rate: entry.Rate}, zone >= 0 && kind >= 0
}
