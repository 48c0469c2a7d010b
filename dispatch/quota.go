package dispatch

// What the couriers of a fleet agree on about shared limits, handed out and taken in. No decision is made in this file; what
// it does to intervals is in ratelimit.go.

// Demand is what a courier does at one group that was called recently.
type Demand struct {
	Destination DestinationID
	Endpoint    EndpointID // empty where the group is the whole destination
	Limit       float64    // calls a second from all couriers; 0 where it is not known, or only roughly
	Calls       int        // since the courier started, as are Delivered and Throttled
	Delivered   int
	Throttled   int
	Waiting     int // messages queued for the destination
}

// QuotaChanged brings what couriers have agreed on. It only lowers what this courier sends, but for leased shares, which
// others gave up.
type QuotaChanged struct{ Shares []QuotaShare }

// QuotaShare is what holds for one group. Granted and Leased are shares of this courier's own part of the limit.
type QuotaShare struct {
	Destination  DestinationID
	Endpoint     EndpointID
	Granted      float64 // given to other couriers, until GrantedUntil
	GrantedUntil Micros
	Leased       float64 // on top, from other couriers, until LeasedUntil
	LeasedUntil  Micros
	Load         float64 // share of the limit that all couriers that were heard of use, until LoadUntil
	LoadUntil    Micros
}

func (QuotaChanged) event() {}

// maxGranted is the most of its own part that a courier grants at once.
const maxGranted = 0.5

// Demands returns what the courier does at the groups that were called recently.
func (d *Dispatcher) Demands() (all []Demand) {
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
		all = append(all, demand)
	}
	return all
}

// applyShares takes over what was agreed on. What an earlier start of this courier may have granted is kept from its part.
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

// balance is what leases add to this courier's part of the limit, as a share of that; negative where more was granted.
func (s *QuotaShare) balance(now Micros) (balance float64) {
	if now < s.GrantedUntil {
		balance -= s.Granted
	}
	if now < s.LeasedUntil {
		balance += s.Leased
	}
	return balance
}

// load is the share of the limit that is known to be in use; 0 where nothing recent is known.
func (s *QuotaShare) load(now Micros) float64 {
	if now < s.LoadUntil {
		return s.Load
	}
	return 0
}
