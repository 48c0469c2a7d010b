package quota

import "pineport/dispatch"

// DemandsOf converts the demands of a dispatcher to an event for the Allocator.
func DemandsOf(all []dispatch.Demand) (changed DemandsChanged) {
	for _, demand := range all {
		changed.Demands = append(changed.Demands, Demand{Key: Key{Dest: int32(demand.Destination), Endpoint: string(demand.Endpoint)}, Limit: demand.Limit,
			Calls: uint64(demand.Calls), Delivered: uint64(demand.Delivered), Throttled: uint64(demand.Throttled), Waiting: demand.Waiting})
	}
	return changed
}

// ToDispatch converts shares to an event for the dispatcher. toDispatcherTime converts a time of the Allocator's clock to the
// dispatcher's clock.
func ToDispatch(shares []Share, toDispatcherTime func(Micros) Micros) (event dispatch.QuotaChanged) {
	for _, share := range shares {
		event.Shares = append(event.Shares, dispatch.QuotaShare{Destination: dispatch.DestinationID(share.Dest), Endpoint: dispatch.EndpointID(share.Endpoint), Granted: share.Granted, GrantedUntil: toDispatcherTime(share.GrantedUntil),
			Leased: share.Leased, LeasedUntil: toDispatcherTime(share.LeasedUntil), Load: share.Load, LoadUntil: toDispatcherTime(share.LoadUntil)})
	}
	return event
}
