package quota

import (
	"maps"
	"slices"
)

// Counters count what happened since the start; the tags are their names in the output of commands.
type Counters struct {
	Requested uint64 `json:"Asked"`     // requests sent
	Granted   uint64 `json:"Lent"`      // leases granted
	Leased    uint64 `json:"Taken"`     // leases accepted
	Rejected  uint64 `json:"Late"`      // leases that came too late or were not requested
	Dropped   uint64 `json:"Forgotten"` // groups and samples dropped for want of room
}

// Status is what holds for one group.
type Status struct {
	Key
	Limit             float64       `json:"limit_per_s"`
	Base              Units         `json:"base_ppm"`
	Granted           Units         `json:"lent_ppm"`
	Leased            Units         `json:"borrowed_ppm"`
	Usage             Units         `json:"usage_ppm"`
	Load              float64       `json:"load"`
	ReportingCouriers int           `json:"couriers_heard"`
	Calls             uint64        `json:"calls"`
	Delivered         uint64        `json:"done"`
	Throttled         uint64        `json:"refused"`
	Grants            []LeaseStatus `json:"lent_to,omitempty"`
	Leases            []LeaseStatus `json:"borrowed_from,omitempty"`
}

// LeaseStatus is one lease: the other courier, its id, and how long it still holds.
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

// Status returns what holds at an instant, by group, and the counters.
func (c *Allocator) Status(now Micros) (statuses []Status, counters Counters) {
	c.now = max(c.now, now)
	for _, key := range slices.SortedFunc(maps.Keys(c.groups), compare) {
		route := c.groups[key]
		share := c.share(route)
		units, _ := c.leasedUnits(route, 0)
		status := Status{Key: key, Limit: route.demand.Limit, Base: c.baseUnits(), Granted: min(c.baseUnits(), c.grantedUnits(route)), Leased: units, Usage: route.usage, Load: share.Load,
			Calls: route.demand.Calls, Delivered: route.demand.Delivered, Throttled: route.demand.Throttled, Grants: c.leaseStatuses(route.grants), Leases: c.leaseStatuses(route.leases)}
		for _, slot := range route.peerSamples {
			if c.now-slot.at <= sampleLifetime {
				status.ReportingCouriers++
				status.Calls, status.Delivered, status.Throttled = status.Calls+slot.count.Calls, status.Delivered+slot.count.Delivered, status.Throttled+slot.count.Throttled
			}
		}
		statuses = append(statuses, status)
	}
	return statuses, c.counters
}
