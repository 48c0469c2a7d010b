package dispatch

// This file reports this courier's demand for shared limits, and applies the shares that the couriers of a fleet agree on. It
// makes no decisions; ratelimit.go uses the shares for intervals.

// Demand is the use that a courier makes of one recently called group.
type Demand struct {
	Destination DestinationID
	Endpoint    EndpointID // empty where the group is the whole destination
	Limit       float64    // in calls per second from all couriers; 0 if unknown or only roughly known
	Calls       int        // number of calls to the group so far
	Delivered   int        // number of delivered attempts so far
	Throttled   int        // number of throttled attempts so far
	Waiting     int        // messages queued for the destination
}

// QuotaChanged delivers the shares that couriers have agreed on. Leased shares, which other couriers have given up, raise this
// courier's rate; all other values can only lower it.
type QuotaChanged struct{ Shares []QuotaShare }

// QuotaShare is the agreement for one group. Granted and Leased are relative to this courier's own part of the limit.
type QuotaShare struct {
	Destination  DestinationID
	Endpoint     EndpointID
	Granted      float64 // given to other couriers, until GrantedUntil
	GrantedUntil Micros
	Leased       float64 // received from other couriers, until LeasedUntil
	LeasedUntil  Micros
	Load         float64 // share of the limit that the couriers use whose demand is known, until LoadUntil
	LoadUntil    Micros
}

func (QuotaChanged) event() {}

// maxGranted is the largest share of its own part that a courier grants to others at any time.
const maxGranted = 0.5

// Demands returns the demand of the courier at the groups that were called recently.
func (d *Dispatcher) Demands() (demands []Demand) {
	for _, group := range d.recentGroups {
		destination := group.destination
		demand := Demand{Destination: destination.id, Calls: group.totalCalls, Delivered: group.totalDelivered,
			Throttled: group.totalThrottled, Waiting: len(destination.queue)}
		if group.reported || d.config.RateQuality == NominalRates {
			demand.Limit = d.rateLimit(group)
		}
		if destination.endpointType.Separate {
			demand.Waiting /= max(1, len(destination.groups))
			for _, endpoint := range destination.endpoints {
				if endpoint.group == group {
					demand.Endpoint = endpoint.Endpoint
				}
			}
		}
		demands = append(demands, demand)
	}
	return demands
}

// applyShares applies agreed shares. What an earlier run of this courier may have granted stays deducted from its part.
func (d *Dispatcher) applyShares(event QuotaChanged) {
	for _, share := range event.Shares {
		group := d.findGroup(share.Destination, share.Endpoint)
		if group == nil {
			continue
		}
		if share.GrantedUntil < d.config.GrantedUntil {
			share.Granted, share.GrantedUntil = max(share.Granted, maxGranted), d.config.GrantedUntil
		}
		group.quota = share
	}
}

// balance returns leased minus granted, relative to this courier's own part of the limit.
func (s *QuotaShare) balance(now Micros) (balance float64) {
	if now < s.GrantedUntil {
		balance -= s.Granted
	}
	if now < s.LeasedUntil {
		balance += s.Leased
	}
	return balance
}

// load returns the share of the limit that is known to be in use; 0 if there is no recent value.
func (s *QuotaShare) load(now Micros) float64 {
	if now < s.LoadUntil {
		return s.Load
	}
	return 0
}
