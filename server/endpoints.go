package server

import (
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
)

// applyListing hands a list, or changes of it, to the decisions, and keeps the addresses.
func (r *Server) applyEndpoints(l protocol.List, how dispatch.UpdateKind) {
	for _, fault := range l.Faults {
		r.log.Warn("endpoint list entry ignored", "error", fault)
	}
	news, before := dispatch.EndpointUpdate{Kind: how}, maps.Clone(r.endpoints)
	if how != dispatch.PartialList {
		clear(r.endpoints)
	}
	for _, entry := range l.Hosts {
		listing, ok := r.endpointEntry(entry)
		if !ok {
			r.log.Warn("endpoint list entry ignored", "endpoint", entry.Host, "zone", entry.Zone, "type", entry.Kind)
			continue
		}
		if entry.Health == protocol.Removed {
			delete(r.endpoints, listing.Endpoint)
		} else {
			r.endpoints[listing.Endpoint] = entry
		}
		news.Entries = append(news.Entries, listing)
	}
	r.events = append(r.events, news)
	for id, entry := range before {
		if now := r.endpoints[id]; now.Health != protocol.InService || peerOf(now) != peerOf(entry) {
			r.endpointConns.closeIdle(peerOf(entry)) // nothing new goes there, or what they lead to is not there any more
		}
	}
	for dest, until := range r.destinations {
		if until == never {
			r.destinations[dest] = r.now + unlistedLifetime
		} else if until <= r.now {
			delete(r.destinations, dest)
		}
	}
	for _, entry := range r.endpoints {
		r.destinations[entry.Dest] = never
	}
}

// unlisted is how long a destination without any endpoint on the list is still known: many times what replacing its
// endpoints takes.
const unlistedLifetime = 600 * 1000 * 1000

// knows tells whether there is such a destination; without any list nobody can say.
func (r *Server) knowsDestination(dest int) bool {
	until, ok := r.destinations[dest]
	return ok && until > r.now || len(r.destinations) == 0
}

func (r *Server) endpointEntry(entry protocol.Host) (dispatch.EndpointEntry, bool) {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Draining: dispatch.Draining,
		protocol.Removed: dispatch.Removed}
	zone, shape := slices.Index(r.deployment.Zones, entry.Zone), slices.Index(r.deployment.Shapes, entry.Kind)
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(entry.Host), Zone: dispatch.ZoneID(zone), Type: dispatch.EndpointTypeID(shape),
		Destination: dispatch.DestinationID(entry.Dest), Phase: phases[entry.Health], Rate: entry.Rate}, zone >= 0 && shape >= 0
}
