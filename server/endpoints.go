package server

import (
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
)

// applyEndpoints hands the endpoint list, or changes of it, to the dispatcher, and keeps the addresses.
func (s *Server) applyEndpoints(l protocol.List, how dispatch.UpdateKind) {
	for _, fault := range l.Faults {
		s.log.Warn("endpoint list entry ignored", "error", fault)
	}
	news, before := dispatch.EndpointUpdate{Kind: how}, maps.Clone(s.endpoints)
	if how != dispatch.PartialList {
		clear(s.endpoints)
	}
	for _, entry := range l.Hosts {
		listing, ok := s.endpointEntry(entry)
		if !ok {
			s.log.Warn("endpoint list entry ignored", "endpoint", entry.Host, "zone", entry.Zone, "type", entry.Kind)
			continue
		}
		s.logHealthChange(l.Seq, before, entry)
		if entry.Health == protocol.Removed {
			delete(s.endpoints, listing.Endpoint)
		} else {
			s.endpoints[listing.Endpoint] = entry
		}
		news.Entries = append(news.Entries, listing)
	}
	if ignored := len(l.Faults) + len(l.Hosts) - len(news.Entries); len(news.Entries)+ignored > 0 {
		s.log.Info("endpoint list applied", "version", l.Seq, "kind", how.String(), "entries", len(news.Entries), "ignored", ignored)
	}
	s.events = append(s.events, news)
	for id, entry := range before {
		if now := s.endpoints[id]; now.Health != protocol.InService || peerOf(now) != peerOf(entry) {
			s.endpointConns.CloseIdle(peerOf(entry)) // nothing new goes there, or what they lead to is not there any more
		}
	}
	for dest, until := range s.destinations {
		if until == never {
			s.destinations[dest] = s.now + unlistedLifetime
		} else if until <= s.now {
			delete(s.destinations, dest)
		}
	}
	for _, entry := range s.endpoints {
		s.destinations[entry.Dest] = never
	}
}

// logHealthChange logs that an endpoint of the list before has another health now.
func (s *Server) logHealthChange(version int64, before map[dispatch.EndpointID]protocol.Host, entry protocol.Host) {
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

func (s *Server) endpointEntry(entry protocol.Host) (dispatch.EndpointEntry, bool) {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Draining: dispatch.Draining,
		protocol.Removed: dispatch.Removed}
	zone, shape := slices.Index(s.deployment.Zones, entry.Zone), slices.Index(s.deployment.Shapes, entry.Kind)
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(entry.Host), Zone: dispatch.ZoneID(zone), Type: dispatch.EndpointTypeID(shape),
		Destination: dispatch.DestinationID(entry.Dest), Phase: phases[entry.Health], Rate: entry.Rate}, zone >= 0 && shape >= 0
}
