package quota

import "pineport/dispatch"

// DemandsOf returns the demands of a dispatcher as an event.
func DemandsOf(all []dispatch.Demand) (changed DemandsChanged) {
	for _, demand := range all {
		changed.Demands = append(changed.Demands, Demand{Key: Key{Dest: int32(demand.Destination), Endpoint: string(demand.Endpoint)}, Limit: demand.Limit,
			Calls: uint64(demand.Calls), Delivered: uint64(demand.Delivered), Throttled: uint64(demand.Throttled), Waiting: demand.Waiting})
	}
	return changed
}

// ToDispatch returns shares as an event for the dispatcher; at converts an instant of the allocator's clock to one of the dispatcher's.
func ToDispatch(shares []Share, at func(Micros) Micros) (event dispatch.QuotaChanged) {
	for _, share := range shares {
		event.Shares = append(event.Shares, dispatch.QuotaShare{Destination: dispatch.DestinationID(share.Dest), Endpoint: dispatch.EndpointID(share.Endpoint), Granted: share.Granted, GrantedUntil: at(share.GrantedUntil),
			Leased: share.Leased, LeasedUntil: at(share.LeasedUntil), Load: share.Load, LoadUntil: at(share.LoadUntil)})
	}
	return event
}
