package quota

import (
	"maps"
	"slices"
)

// Counters count events since the start. The tags are the names in the output of commands.
type Counters struct {
	Requested uint64 `json:"Asked"`     // requests sent
	Granted   uint64 `json:"Lent"`      // leases granted
	Leased    uint64 `json:"Taken"`     // leases accepted
	Rejected  uint64 `json:"Late"`      // leases rejected because they were late, not requested, or larger than requested
	Dropped   uint64 `json:"Forgotten"` // attempts to add a group beyond maxKeys or a sample beyond maxPeerSamples
}

// Status is the current state of one group. Usage is of this courier; Load is the estimate for all couriers. Calls, Delivered and Throttled
// are sums over this courier and the couriers with a current sample, whose number is ReportingCouriers. The tags are the names in the output of
// commands.
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

// LeaseStatus is one grant or lease: the other courier, the lease id, the share, and the remaining time.
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

// Status returns the state of each group at the time now, and the counters.
func (c *Allocator) Status(now Micros) (statuses []Status, counters Counters) {
	c.now = max(c.now, now)
	for _, key := range slices.SortedFunc(maps.Keys(c.groups), compareKeys) {
		group := c.groups[key]
		share := c.share(group)
		units, _ := c.leasedUnits(group, 0)
		status := Status{Key: key, Limit: group.demand.Limit, Base: c.baseUnits(), Granted: min(c.baseUnits(), c.grantedUnits(group)), Leased: units, Usage: group.usage, Load: share.Load,
			Calls: group.demand.Calls, Delivered: group.demand.Delivered, Throttled: group.demand.Throttled, Grants: c.leaseStatuses(group.grants), Leases: c.leaseStatuses(group.leases)}
		for _, peer := range group.peerSamples {
			if c.now-peer.at <= sampleLifetime {
				status.ReportingCouriers++
				status.Calls, status.Delivered, status.Throttled = status.Calls+peer.sample.Calls, status.Delivered+peer.sample.Delivered, status.Throttled+peer.sample.Throttled
			}
		}
		statuses = append(statuses, status)
	}
	return statuses, c.counters
}
