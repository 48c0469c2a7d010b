package server

import (
	"fmt"
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
)

// applyEndpoints hands the endpoint list, or changes of it, to the dispatcher, and keeps the addresses. It returns what of the list
// could not be used.
//
// Incident: an entry that could not be used was left out and the rest passed for the whole, so that the drain it told was neither
// heeded nor asked for again. Whoever it may have been about gets nothing new until a list could be used whole.
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
		s.keepEndpoint(entry)
		listing, _ := s.endpointEntry(entry)
		update.Entries = append(update.Entries, listing)
	}
	update.Entries = append(update.Entries, s.updateSuspects(faults)...)
	if len(usable)+len(faults) > 0 {
		s.log.Info("endpoint list applied", "version", list.Version, "kind", kind.String(), "entries", len(usable), "ignored", len(faults))
	}
	s.events = append(s.events, update)
	s.closeUnused(before)
	s.noteDestinations()
	return faults
}

// keepEndpoint takes one entry into the list that is held.
func (s *Server) keepEndpoint(entry protocol.Endpoint) {
	id := dispatch.EndpointID(entry.Host)
	delete(s.suspects, id)
	if entry.Health == protocol.Removed {
		delete(s.endpoints, id)
	} else {
		s.endpoints[id] = entry
	}
}

// usableEntries splits a list into entries that can be used, one for each endpoint, and what is wrong with the others.
func (s *Server) usableEntries(list protocol.List, kind dispatch.UpdateKind) (usable []protocol.Endpoint, faults []protocol.InvalidEntry) {
	faults = slices.Clone(list.Invalid)
	at := map[string]int{}
	for _, entry := range list.Hosts {
		_, ok := s.endpointEntry(entry)
		earlier, twice := at[entry.Host]
		switch {
		case !ok:
			faults = append(faults, protocol.InvalidEntry{Host: entry.Host, Address: entry.Address, Err: fmt.Errorf("host %s: unknown zone %q or type %q", entry.Host, entry.Zone, entry.EndpointType)})
		case kind == dispatch.PartialList && s.isMisnamed(entry):
			faults = append(faults, protocol.InvalidEntry{Host: entry.Host, Address: entry.Address, Err: fmt.Errorf("host %s: a drain at no address, or another endpoint's", entry.Host)})
		case twice && usable[earlier] != entry:
			faults = append(faults, protocol.InvalidEntry{Host: entry.Host, Err: fmt.Errorf("host %s: two entries that contradict each other", entry.Host)})
		case !twice:
			at[entry.Host] = len(usable)
			usable = append(usable, entry)
		}
	}
	for _, fault := range faults {
		s.log.Warn("endpoint list entry ignored", "endpoint", fault.Host, "error", fault.Err)
	}
	return usable, faults
}

// isMisnamed reports whether an entry tells a drain at the address of another endpoint, or of an endpoint that is not known and at no address:
// its name may be what was spoilt on the way.
func (s *Server) isMisnamed(entry protocol.Endpoint) bool {
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

// suspectUnlisted suspects all endpoints that are missing in a whole list of which a part could not be used: they are gone, or that
// part was about them.
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

// updateSuspects suspects the endpoints that faults name, or nobody any more where there are no faults, and returns the entries of
// all whose phase that may change, as they hold now.
func (s *Server) updateSuspects(faults []protocol.InvalidEntry) (entries []dispatch.EndpointEntry) {
	for _, id := range s.endpointsOf(faults) {
		s.suspects[id] = true
	}
	changed := slices.Sorted(maps.Keys(s.suspects))
	if len(faults) == 0 {
		clear(s.suspects)
	}
	for _, id := range changed {
		if entry, listed := s.endpoints[id]; listed {
			listing, _ := s.endpointEntry(entry)
			entries = append(entries, listing)
		}
	}
	return entries
}

// endpointsOf returns the listed endpoints that faults may be about, by name and by address.
func (s *Server) endpointsOf(faults []protocol.InvalidEntry) (ids []dispatch.EndpointID) {
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

// acceptFaults takes a whole list as it is, of which a part cannot be used, after its source has confirmed that: endpoints that are
// missing in it are gone, and those that faults name drain until an entry of them can be used.
func (s *Server) acceptFaults(faults []protocol.InvalidEntry) {
	named := s.endpointsOf(faults)
	update := dispatch.EndpointUpdate{Kind: dispatch.PartialList, Unusable: true}
	for _, id := range slices.Sorted(maps.Keys(s.suspects)) {
		entry := s.endpoints[id]
		if entry.Health = protocol.Draining; !slices.Contains(named, id) {
			entry.Health = protocol.Removed
		}
		s.keepEndpoint(entry)
		listing, _ := s.endpointEntry(entry)
		update.Entries = append(update.Entries, listing)
	}
	s.events = append(s.events, update)
}

// closeUnused closes idle connections to endpoints that get nothing new, and those that lead to what is not there any more.
func (s *Server) closeUnused(before map[dispatch.EndpointID]protocol.Endpoint) {
	for id, entry := range before {
		if now := s.endpoints[id]; now.Health != protocol.InService || peerOf(now) != peerOf(entry) {
			s.endpointConns.CloseIdle(peerOf(entry))
		}
	}
}

// noteDestinations keeps the destinations of the listed endpoints, and forgets those that were unlisted for long.
func (s *Server) noteDestinations() {
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

// logHealthChange logs that an endpoint of the list before has another health now.
func (s *Server) logHealthChange(version int64, before map[dispatch.EndpointID]protocol.Endpoint, entry protocol.Endpoint) {
	known, ok := before[dispatch.EndpointID(entry.Host)]
	if ok && known.Health != entry.Health {
		s.log.Info("endpoint health changed", "endpoint", entry.Host, "from", known.Health, "to", entry.Health, "version", version)
	}
}

// unlistedLifetime is how long a destination without any listed endpoint is still known: many times what replacing its endpoints takes.
const unlistedLifetime = 600 * 1000 * 1000

// knowsDestination reports whether a destination is known; without any list all are.
func (s *Server) knowsDestination(dest int) bool {
	until, ok := s.destinations[dest]
	return ok && until > s.now || len(s.destinations) == 0
}

// endpointEntry returns an entry of the list as the dispatcher is told it; a suspect drains. It is false where the settings have no such
// zone or type.
func (s *Server) endpointEntry(entry protocol.Endpoint) (dispatch.EndpointEntry, bool) {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Draining: dispatch.Draining,
		protocol.Removed: dispatch.Removed}
	phase := phases[entry.Health]
	if phase == dispatch.InService && s.suspects[dispatch.EndpointID(entry.Host)] {
		phase = dispatch.Draining
	}
	zone, kind := slices.Index(s.deployment.Zones, entry.Zone), slices.Index(s.deployment.EndpointTypes, entry.EndpointType)
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(entry.Host), Zone: dispatch.ZoneID(zone), Type: dispatch.EndpointTypeID(kind),
		Destination: dispatch.DestinationID(entry.Destination), Phase: phase, Rate: entry.Rate}, zone >= 0 && kind >= 0
}
