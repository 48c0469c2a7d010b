// Package quota divides rate limits among the couriers of a fleet. Couriers lease parts of their shares to each other and exchange samples
// of how much of each limit they use. The package does no I/O and reads no clock: New reads the Config once, and Handle takes the current
// time and events and returns the packets to send and the current shares. docs/quota.md lists the guarantees.
//
// Shares are measured in millionths of a limit. Each courier owns a base share: the limit divided by the number of couriers in the fleet.
// It may grant the unused part of its base share to others, at most half of it. The grantor subtracts a grant before it sends the lease.
// The lease ends at the lessee leaseDuration after the lessee requested it. The grantor counts the share as its own again strictly later,
// even if one clock runs 1 % fast and the other 1 % slow. Therefore a lost, late or duplicated packet can only reduce the capacity in use,
// and times of two clocks are never compared. A courier that starts reserves what an earlier incarnation may have granted. So leases need
// not be stored, and restoring an older copy of the state folder is safe.
package quota

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"

	"pineport/dispatch"
)

type (
	// Micros is a time on this process's clock, or a duration, in microseconds.
	Micros = dispatch.Micros
	// Units are millionths of a limit.
	Units int64
)

const (
	second    = 1000 * 1000 * Micros(1)
	fullLimit = Units(1000 * 1000) // the complete limit
)

// Key identifies a group with a shared limit: a destination, or a single endpoint if each endpoint of the destination has its own limit.
type Key struct {
	Dest     int32  `cbor:"1,keyasint" json:"destination"`
	Endpoint string `cbor:"2,keyasint,omitempty" json:"endpoint,omitempty"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
}

const (
	// leaseDuration is how long a lease is valid, counted from its request. It spans several ticks, but is short compared to an outage of
	// an endpoint. If the packet with a lease is lost or the lessee fails, the share stays unused only until the grantor counts it again.
	leaseDuration = 4 * second
	// grantDuration is how long a grant is subtracted at the grantor. If one clock runs 1 % fast and the other 1 % slow, 4 s on one clock
	// last up to 4.08 s on the other.
	grantDuration = leaseDuration + leaseDuration/40
	// sampleLifetime is the maximum age of a sample that is included in the load.
	sampleLifetime = 3 * second
	// usageWindow is the time over which usage is averaged. It is long compared to a tick and short compared to an outage of
	// an endpoint.
	usageWindow = 2 * second
	// maxKeys and maxPeerSamples limit the groups and the samples of other couriers in memory, about 2 MB in total. Samples beyond the
	// limits are dropped, so the load is then underestimated.
	maxKeys        = 1024
	maxPeerSamples = 8192
	// maxRequestTargets limits the members that receive requests in one tick. Once it is reached, the remaining groups send their requests
	// in a later tick.
	maxRequestTargets = 12
	// maxForwardedSamples is how many samples of other couriers are collected per tick before collecting stops. That is more than the
	// packets of a tick can hold.
	maxForwardedSamples = 512
	// maxGrantedShare caps the part of the base share that is reported as granted. At most half of the base share is granted, so the cap
	// takes effect only if the fleet has nearly doubled since the grant.
	maxGrantedShare = 0.9
	// requestFanout is the number of members among which a request is divided. If one of them responds late or not at all, only its part
	// is missing.
	requestFanout = 3
	// sampleFanout is the number of members that receive samples in each tick. They forward the samples, so that each sample can reach a
	// fleet of several hundred couriers within sampleLifetime.
	sampleFanout = 3
)

// Config is the configuration of an Allocator.
type Config struct {
	Self          string // name of this courier
	Incarnation   uint64
	Couriers      int    // size of the fleet
	Seed          int64  // of the random numbers; must differ for each process
	FirstSequence uint64 // higher than all sequence numbers of an earlier process with this incarnation
}

// groupState is the state of one group.
type groupState struct {
	demand        Demand
	callSamples   []callSample          // call counts of this courier within usageWindow
	usage         Units                 // what this courier uses of the limit
	lastSeenAt    Micros                // when an event last named the group
	smoothedLoad  float64               // load of all couriers, as reported to the dispatcher; 1 is the complete limit
	loadUpdatedAt Micros                // when smoothedLoad was last updated; 0 if never
	grants        []lease               // shares granted to other couriers
	leases        []lease               // shares leased from other couriers
	requests      map[uint64]request    // pending requests by lease id
	peerSamples   map[string]peerSample // latest sample of each other courier
}

// Allocator computes the shares of one courier. It is not safe for concurrent use: one goroutine owns it.
type Allocator struct {
	config             Config
	rng                *rand.Rand
	now                Micros
	actions            []Action
	alive              []string
	groups             map[Key]*groupState
	directPacketAt     map[string]Micros // when each alive member last sent a packet directly to this courier
	earlierGrantsUntil Micros            // grants of an earlier incarnation may be valid until then, see GrantHorizon
	sequence           uint64            // sequence number of the last tick
	forwardOffset      int               // index of the first forwarded sample in the next packets
	peerSampleCount    int               // samples of other couriers in all groups
	counters           Counters
}

// New returns an Allocator without groups. Lease ids are random numbers from a source that no earlier process of this courier used.
// Incident: a restarted courier with the same seed reused lease ids, and accepted leases that had been granted to its earlier incarnation.
func New(now Micros, config Config) *Allocator {
	const goldenRatio = 0x9e3779b97f4a7c15 // spreads consecutive incarnations over all bits
	seed := config.Seed ^ int64(config.Incarnation*goldenRatio) ^ int64(config.FirstSequence)
	return &Allocator{
		config:             config,
		rng:                rand.New(rand.NewSource(seed)),
		now:                now,
		groups:             map[Key]*groupState{},
		directPacketAt:     map[string]Micros{},
		earlierGrantsUntil: now + grantDuration,
		sequence:           config.FirstSequence,
	}
}

// GrantHorizon is how long after a start of the process or of its dispatcher half of each base share must stay unused, because up to half
// may have been granted before. Package server enforces this, because the dispatcher starts before the Allocator reports any shares.
const GrantHorizon = grantDuration

// Handle processes events that are known at the time now and returns the actions to carry out, in order.
func (c *Allocator) Handle(now Micros, events ...Event) []Action {
	c.now, c.actions = max(c.now, now), nil
	for _, event := range events {
		switch e := event.(type) {
		case DemandsChanged:
			c.demandsChanged(e.Demands)
		case FleetChanged:
			c.config.Couriers, c.alive = e.Couriers, slices.Clone(e.Alive)
		case PacketReceived:
			c.packetReceived(e.Packet)
		case Tick:
			c.tick()
		}
	}
	return c.actions
}

// baseUnits returns the base share of this courier, which does not depend on leases.
func (c *Allocator) baseUnits() Units { return fullLimit / Units(max(1, c.config.Couriers)) }

// groupFor returns the state of a group and adds the group if it is new. It returns nil if there are already maxKeys groups.
func (c *Allocator) groupFor(key Key) *groupState {
	group := c.groups[key]
	if group == nil {
		if len(c.groups) >= maxKeys {
			c.counters.Dropped++
			return nil
		}
		group = &groupState{demand: Demand{Key: key}, requests: map[uint64]request{}, peerSamples: map[string]peerSample{}}
		c.groups[key] = group
	}
	group.lastSeenAt = c.now
	return group
}

// demandsChanged stores the demands and computes what this courier uses of each limit.
func (c *Allocator) demandsChanged(all []Demand) {
	for _, demand := range all {
		group := c.groupFor(demand.Key)
		if group == nil {
			continue
		}
		if group.demand = demand; len(group.callSamples) > 0 && group.callSamples[len(group.callSamples)-1].calls > demand.Calls {
			group.callSamples = nil // the dispatcher was restarted and counts from 0
		}
		group.callSamples = append(group.callSamples, callSample{c.now, demand.Calls})
		for len(group.callSamples) > 2 && c.now-group.callSamples[1].at >= usageWindow {
			group.callSamples = group.callSamples[1:]
		}
		group.usage = 0
		if first := group.callSamples[0]; demand.Limit > 0 && c.now > first.at {
			// Within usageWindow/2 of the first sample the usage is underestimated, so that a short burst does not count as a high rate.
			perSec := float64(demand.Calls-first.calls) / float64(max(c.now-first.at, usageWindow/2)) * float64(second)
			group.usage = Units(min(float64(maxUsage), perSec/demand.Limit*float64(fullLimit)))
		}
	}
}

// packetReceived processes a packet of another courier. Only a lease that this courier requested from the sender can increase its share.
func (c *Allocator) packetReceived(packet Packet) {
	if packet.From == c.config.Self || packet.validate() != nil {
		return
	}
	for _, lease := range packet.Leases {
		c.acceptLease(packet.From, lease)
	}
	if slices.Contains(c.alive, packet.From) {
		c.directPacketAt[packet.From] = c.now
	}
	for _, sample := range packet.Samples {
		c.merge(sample)
	}
	var leases []Lease
	var share ShareChanged
	for _, request := range packet.Requests {
		if lease, ok := c.grantLease(packet.From, request); ok {
			leases = append(leases, lease)
			share.Shares = append(share.Shares, c.share(c.groups[request.Key]))
		}
	}
	if len(leases) > 0 {
		c.actions = append(c.actions, share) // the grants must be applied before the leases are sent
		c.send(packet.From, Packet{Leases: leases})
	}
}

func (c *Allocator) send(to string, packet Packet) {
	packet.Version, packet.From = Version, c.config.Self
	c.actions = append(c.actions, SendPacket{to, packet})
}

func (c *Allocator) tick() {
	c.sequence++
	c.expire()
	keys := slices.SortedFunc(maps.Keys(c.groups), compareKeys)
	requests := map[string][]Request{}
	var share ShareChanged
	for i := range keys { // starts with a different group in each tick
		if group := c.groups[keys[(int(c.sequence%uint64(len(keys)))+i)%len(keys)]]; group.demand.Limit > 0 {
			if len(requests) < maxRequestTargets {
				c.requestLeases(group, requests)
			}
			c.updateSmoothedLoad(group)
			share.Shares = append(share.Shares, c.share(group))
		}
	}
	c.sendPackets(keys, requests)
	c.actions = append(c.actions, share)
}

// expire deletes expired leases, grants and requests, old samples, and groups without an event for maxSampleAge. Samples are kept ten times
// longer than they count for the load; until then merge rejects older samples of the same courier.
func (c *Allocator) expire() {
	maps.DeleteFunc(c.directPacketAt, func(_ string, at Micros) bool { return c.now-at > sampleLifetime })
	expired := func(lease lease) bool { return c.now >= lease.until }
	c.peerSampleCount = 0
	for key, group := range c.groups {
		group.grants, group.leases = slices.DeleteFunc(group.grants, expired), slices.DeleteFunc(group.leases, expired)
		maps.DeleteFunc(group.requests, func(_ uint64, a request) bool { return c.now >= a.at+leaseDuration })
		maps.DeleteFunc(group.peerSamples, func(_ string, peer peerSample) bool { return c.now-peer.at > 10*sampleLifetime })
		if c.now-group.lastSeenAt > maxSampleAge && len(group.grants) == 0 {
			delete(c.groups, key)
			continue
		}
		c.peerSampleCount += len(group.peerSamples)
	}
}

func (c *Allocator) share(group *groupState) Share {
	base := c.baseUnits()
	units, until := c.leasedUnits(group, 0)
	share := Share{Key: group.demand.Key, Leased: float64(units) / float64(base), LeasedUntil: until}
	for _, lease := range group.grants {
		share.Granted, share.GrantedUntil = min(maxGrantedShare, share.Granted+float64(lease.units)/float64(base)), max(share.GrantedUntil, lease.until)
	}
	if group.loadUpdatedAt > 0 {
		share.Load, share.LoadUntil = group.smoothedLoad, group.loadUpdatedAt+sampleLifetime
	}
	return share
}
