package quota

import "pineport/dispatch"

// Told is what the decisions tell of their routes, as an event.
func Told(all []dispatch.Demand) (needs Needs) {
	for _, n := range all {
		needs.All = append(needs.All, Need{Key: Key{Dest: int32(n.Destination), Endpoint: string(n.Endpoint)}, Limit: n.Limit,
			Calls: uint64(n.Calls), Done: uint64(n.Delivered), Refused: uint64(n.Throttled), Waiting: n.Waiting})
	}
	return needs
}

// Settled is what the decisions are told of parts; at reads an instant of this clock by theirs.
func Settled(parts []Part, at func(Micros) Micros) (e dispatch.QuotaChanged) {
	for _, p := range parts {
		e.Shares = append(e.Shares, dispatch.QuotaShare{Destination: dispatch.DestinationID(p.Dest), Endpoint: dispatch.EndpointID(p.Endpoint), Granted: p.Lent, GrantedUntil: at(p.LentTo),
			Leased: p.Loan, LeasedUntil: at(p.LoanTo), Load: p.Load, LoadUntil: at(p.LoadTo)})
	}
	return e
}
