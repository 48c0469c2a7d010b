package quota

import "pineport/dispatch"

// DemandsOf is what the decisions tell of their routes, as an event.
func DemandsOf(all []dispatch.Demand) (needs DemandsChanged) {
	for _, n := range all {
		needs.All = append(needs.All, Demand{Key: Key{Dest: int32(n.Destination), Endpoint: string(n.Endpoint)}, Limit: n.Limit,
			Calls: uint64(n.Calls), Delivered: uint64(n.Delivered), Throttled: uint64(n.Throttled), Waiting: n.Waiting})
	}
	return needs
}

// ToDispatch is what the decisions are notified of parts; at reads an instant of this clock by theirs.
func ToDispatch(parts []Share, at func(Micros) Micros) (e dispatch.QuotaChanged) {
	for _, share := range parts {
		e.Shares = append(e.Shares, dispatch.QuotaShare{Destination: dispatch.DestinationID(share.Dest), Endpoint: dispatch.EndpointID(share.Endpoint), Granted: share.Granted, GrantedUntil: at(share.GrantedUntil),
			Leased: share.Leased, LeasedUntil: at(share.LeasedUntil), Load: share.Load, LoadUntil: at(share.LoadUntil)})
	}
	return e
}
