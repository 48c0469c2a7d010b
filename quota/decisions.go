package quota

import "pineport/dispatch"

// Told is what the decisions tell of their routes, as an event.
func Told(all []dispatch.Need) (needs Needs) {
	for _, n := range all {
		needs.All = append(needs.All, Need{Key: Key{Dest: int32(n.Dest), Endpoint: string(n.Endpoint)}, Limit: n.Limit,
			Calls: uint64(n.Calls), Done: uint64(n.Done), Refused: uint64(n.Refused), Waiting: n.Waiting})
	}
	return needs
}

// Settled is what the decisions are told of parts; at reads an instant of this clock by theirs.
func Settled(parts []Part, at func(Micros) Micros) (e dispatch.Shared) {
	for _, p := range parts {
		e.Parts = append(e.Parts, dispatch.SharedPart{Dest: dispatch.DestID(p.Dest), Endpoint: dispatch.EndpointID(p.Endpoint), Lent: p.Lent, LentTo: at(p.LentTo),
			Loan: p.Loan, LoanTo: at(p.LoanTo), Load: p.Load, LoadTo: at(p.LoadTo)})
	}
	return e
}
