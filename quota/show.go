package quota

import (
	"maps"
	"slices"
)

// What stands, to be shown.

// Counters count what happened since the start.
type Counters struct {
	Requested uint64 `json:"Asked"`     // asks made
	Granted   uint64 `json:"Lent"`      // leases given
	Leased    uint64 `json:"Taken"`     // leases taken up
	Late      uint64 `json:"Late"`      // leases that came too late or unasked
	Forgotten uint64 `json:"Forgotten"` // counts left out for want of room
}

// Status is what stands for one route, to be shown.
type Status struct {
	Key
	Limit         float64       `json:"limit_per_s"`
	Base          Units         `json:"base_ppm"`
	Granted       Units         `json:"lent_ppm"`
	Leased        Units         `json:"borrowed_ppm"`
	Usage         Units         `json:"usage_ppm"`
	Load          float64       `json:"load"`
	CouriersHeard int           `json:"couriers_heard"`
	Calls         uint64        `json:"calls"`
	Delivered     uint64        `json:"done"`
	Throttled     uint64        `json:"refused"`
	Grants        []LeaseStatus `json:"lent_to,omitempty"`
	Leases        []LeaseStatus `json:"borrowed_from,omitempty"`
}

// LeaseStatus is one lease: with whom, its number, and how long it still holds here.
type LeaseStatus struct {
	Courier   string `json:"who"`
	LeaseID   uint64 `json:"no"`
	Units     Units  `json:"ppm"`
	Remaining Micros `json:"for_us"`
}

func (c *Allocator) leaseStatuses(all []lease) (leases []LeaseStatus) {
	for _, lease := range all {
		if c.now < lease.until {
			leases = append(leases, LeaseStatus{lease.courier, lease.id, lease.units, lease.until - c.now})
		}
	}
	return leases
}

// Status is what stands at an instant, by route, and what happened.
func (c *Allocator) Status(now Micros) (lines []Status, sums Counters) {
	c.now = max(c.now, now)
	for _, key := range slices.SortedFunc(maps.Keys(c.routes), compare) {
		route := c.routes[key]
		share := c.share(route)
		units, _ := c.leasedUnits(route, 0)
		l := Status{Key: key, Limit: route.demand.Limit, Base: c.baseUnits(), Granted: min(c.baseUnits(), c.grantedUnits(route)), Leased: units, Usage: route.usage, Load: share.Load,
			Calls: route.demand.Calls, Delivered: route.demand.Delivered, Throttled: route.demand.Throttled, Grants: c.leaseStatuses(route.grants), Leases: c.leaseStatuses(route.leases)}
		for _, slot := range route.peerSamples {
			if c.now-slot.at <= sampleLifetime {
				l.CouriersHeard++
				l.Calls, l.Delivered, l.Throttled = l.Calls+slot.count.Calls, l.Delivered+slot.count.Delivered, l.Throttled+slot.count.Throttled
			}
		}
		lines = append(lines, l)
	}
	return lines, c.counters
}
