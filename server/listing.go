package server

import (
	"maps"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
)

// applyListing hands a list, or changes of it, to the decisions, and keeps the addresses.
func (r *Router) applyListing(l protocol.List, how dispatch.UpdateKind) {
	for _, fault := range l.Faults {
		r.log.Warn("entry of the list left out", "fault", fault)
	}
	news, before := dispatch.EndpointUpdate{Kind: how}, maps.Clone(r.hosts)
	if how != dispatch.PartialList {
		clear(r.hosts)
	}
	for _, h := range l.Hosts {
		listing, ok := r.listing(h)
		if !ok {
			r.log.Warn("entry of the list left out", "host", h.Host, "site", h.Zone, "class", h.Kind)
			continue
		}
		if h.Health == protocol.Terminated {
			delete(r.hosts, listing.Endpoint)
		} else {
			r.hosts[listing.Endpoint] = h
		}
		news.Entries = append(news.Entries, listing)
	}
	r.events = append(r.events, news)
	for id, h := range before {
		if now := r.hosts[id]; now.Health != protocol.InService || peerOf(now) != peerOf(h) {
			r.links.closeIdle(peerOf(h)) // nothing new goes there, or what they lead to is not there any more
		}
	}
	for dest, until := range r.dests {
		if until == never {
			r.dests[dest] = r.now + unlisted
		} else if until <= r.now {
			delete(r.dests, dest)
		}
	}
	for _, h := range r.hosts {
		r.dests[h.Dest] = never
	}
}

// unlisted is how long a destination without any endpoint on the list is still known: many times what replacing its
// endpoints takes.
const unlisted = 600 * 1000 * 1000

// knows tells whether there is such a destination; without any list nobody can say.
func (r *Router) knows(dest int) bool {
	until, ok := r.dests[dest]
	return ok && until > r.now || len(r.dests) == 0
}

func (r *Router) listing(h protocol.Host) (dispatch.EndpointEntry, bool) {
	phases := map[protocol.Health]dispatch.Phase{protocol.InService: dispatch.InService, protocol.Terminating: dispatch.Draining,
		protocol.Terminated: dispatch.Removed}
	zone, shape := slices.Index(r.dep.Zones, h.Zone), slices.Index(r.dep.Shapes, h.Kind)
	return dispatch.EndpointEntry{Endpoint: dispatch.EndpointID(h.Host), Zone: dispatch.ZoneID(zone), Type: dispatch.EndpointTypeID(shape),
		Destination: dispatch.DestinationID(h.Dest), Phase: phases[h.Health], Rate: h.Rate}, zone >= 0 && shape >= 0
}
