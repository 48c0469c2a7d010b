// Package quota shares limits that hold for all couriers of a fleet, without I/O or a clock: shares of limits are leased, and the use
// of limits is sampled. New reads the Config once; Handle takes an instant and events, and returns the packets to send and the shares
// that hold. docs/quota.md says what is promised.
//
// Shares are counted in millionths of a limit. Each courier has a base share that it needs nobody for: one of as many as the fleet has
// couriers. What it does not need it may grant to others, up to half of it. A grant is subtracted at the grantor before the lease is
// sent, ends at the lessee a span after it *requested* it, and returns to the grantor strictly later, for clocks that run apart by one
// part in a hundred. So a packet that is lost, late or doubled only ever makes capacity smaller, and no clock is compared with another
// one. A courier that starts reserves what an earlier start of it may have granted: nothing has to be stored, and an older copy of the
// state folder does no harm.
package quota

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"

	"pineport/dispatch"
)

type (
	// Micros is an instant of this process's clock, or a span.
	Micros = dispatch.Micros
	// Units are millionths of a limit.
	Units int64
)

const (
	second = 1000 * 1000 * Micros(1)
	whole  = Units(1000 * 1000)
)

// Key names an endpoint group whose limit is shared: a destination, or one endpoint of it where these are separate.
type Key struct {
	Dest     int32  `cbor:"1,keyasint" json:"destination"`
	Endpoint string `cbor:"2,keyasint,omitempty" json:"endpoint,omitempty"`
}

func compare(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
}

const (
	// leaseSpan is how long a lease holds, from its request: some ticks, and short beside an outage, so that what is lost with a packet or
	// a process is soon back.
	leaseSpan = 4 * second
	// grantSpan is when a grant returns to the grantor: with clocks a hundredth fast and slow, 4 s at one are 4.08 s at the other.
	grantSpan = leaseSpan + leaseSpan/40
	// sampleLifetime is how old a sample may be to count.
	sampleLifetime = 3 * second
	// usageSpan is what use is averaged over: long beside a tick, short beside an outage.
	usageSpan = 2 * second
	// maxKeys and maxPeerSamples bound what is kept: groups, and samples of other couriers over all of them, some 2 MB. What is beyond does
	// not count for a load, which is then underestimated.
	maxKeys        = 1024
	maxPeerSamples = 8192
	// maxMembersAsked get requests at one tick, whatever the number of groups; the others wait for the next one.
	maxMembersAsked = 12
	// maxPeers samples of others are gathered for a tick, more than its packets hold.
	maxPeers = 512
	// maxGranted of a base share counts as granted. Less than was granted only where the fleet has more than doubled since.
	maxGranted = 0.9
	// requestFanout members share a request: one that answers late or never costs a part of it.
	requestFanout = 3
	// fanout members get samples at each tick; passed on, they reach a fleet of hundreds within sampleLifetime.
	fanout = 3
)

// Config is what the quota allocator is handed at their start.
type Config struct {
	Self          string
	Incarnation   uint64
	Couriers      int    // size of the fleet
	Seed          int64  // another one for each process
	FirstSequence uint64 // beyond all sequence numbers of an earlier process of this incarnation
}

// groupState is what is known of one group.
type groupState struct {
	demand      Demand
	samples     []sample
	usage       Units
	usedAt      Micros
	load        float64 // of the limit, by all, as it is notified
	loadAt      Micros  // when a sample was last known; 0: never
	grants      []lease
	leases      []lease
	requests    map[uint64]request
	peerSamples map[string]sampleSlot
}

// Allocator shares limits for one courier. One goroutine owns it.
type Allocator struct {
	config          Config
	rng             *rand.Rand
	now             Micros
	actions         []Action
	alive           []string
	groups          map[Key]*groupState
	heardDirectly   map[string]Micros // when members last sent samples themselves
	ownGrantsUntil  Micros            // grants of an earlier start may hold until then, see GrantHorizon
	sequence        uint64            // of the last tick
	rotation        int               // where the next packets' samples of others begin
	peerSampleCount int               // counts of others
	counters        Counters
}

// New returns an allocator that knows nothing but its configuration. Lease ids are drawn by a source that no earlier process of this
// courier had. Failure: a start with the same seed made requests under the same ids, and took a lease of the start before it for its own.
func New(now Micros, config Config) *Allocator {
	const golden = 0x9e3779b97f4a7c15 // spreads neighbouring incarnations over all bits
	seed := config.Seed ^ int64(config.Incarnation*golden) ^ int64(config.FirstSequence)
	return &Allocator{
		config:         config,
		rng:            rand.New(rand.NewSource(seed)),
		now:            now,
		groups:         map[Key]*groupState{},
		heardDirectly:  map[string]Micros{},
		ownGrantsUntil: now + grantSpan,
		sequence:       config.FirstSequence,
	}
}

// GrantHorizon is how long after a start, or after the dispatcher was started anew, half of each base share is not to be used: as much
// may have been granted. The owner of the dispatcher sees to that, as it starts before the allocator has handed out anything.
const GrantHorizon = grantSpan

// Handle takes the events of one instant and returns the actions to carry out, in order.
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

// baseUnits is the share that needs nobody.
func (c *Allocator) baseUnits() Units { return whole / Units(max(1, c.config.Couriers)) }

// group returns what is known of a group, which it adds; nil where there is no room.
func (c *Allocator) group(k Key) *groupState {
	rt := c.groups[k]
	if rt == nil {
		if len(c.groups) >= maxKeys {
			c.counters.Dropped++
			return nil
		}
		rt = &groupState{demand: Demand{Key: k}, requests: map[uint64]request{}, peerSamples: map[string]sampleSlot{}}
		c.groups[k] = rt
	}
	rt.usedAt = c.now
	return rt
}

// demandsChanged takes in the demands, and measures what this courier uses of each limit.
func (c *Allocator) demandsChanged(all []Demand) {
	for _, demand := range all {
		route := c.group(demand.Key)
		if route == nil {
			continue
		}
		if route.demand = demand; len(route.samples) > 0 && route.samples[len(route.samples)-1].calls > demand.Calls {
			route.samples = nil // the dispatcher was started anew
		}
		route.samples = append(route.samples, sample{c.now, demand.Calls})
		for len(route.samples) > 2 && c.now-route.samples[1].at >= usageSpan {
			route.samples = route.samples[1:]
		}
		route.usage = 0
		if first := route.samples[0]; demand.Limit > 0 && c.now > first.at {
			perSec := float64(demand.Calls-first.calls) / float64(max(c.now-first.at, usageSpan/2)) * float64(second)
			route.usage = Units(min(float64(maxUsage), perSec/demand.Limit*float64(whole)))
		}
	}
}

// packetReceived takes in a packet. Nothing in it can raise this courier's share but a lease that it requested from that member.
func (c *Allocator) packetReceived(packet Packet) {
	if packet.From == c.config.Self || packet.check() != nil {
		return
	}
	for _, lease := range packet.Leases {
		c.acceptLeases(packet.From, lease)
	}
	if slices.Contains(c.alive, packet.From) {
		c.heardDirectly[packet.From] = c.now
	}
	for _, sample := range packet.Samples {
		c.merge(sample)
	}
	var leases []Lease
	var share ShareChanged
	for _, request := range packet.Requests {
		if lease, ok := c.grantLeases(packet.From, request); ok {
			leases = append(leases, lease)
			share.Shares = append(share.Shares, c.share(c.groups[request.Key]))
		}
	}
	if len(leases) > 0 {
		c.actions = append(c.actions, share) // before the leases are sent
		c.send(packet.From, Packet{Leases: leases})
	}
}

func (c *Allocator) send(to string, packet Packet) {
	packet.Version, packet.From = Version, c.config.Self
	c.actions = append(c.actions, SendPacket{to, packet})
}

func (c *Allocator) tick() {
	c.sequence++
	c.forget()
	keys := slices.SortedFunc(maps.Keys(c.groups), compare)
	requests := map[string][]Request{}
	var share ShareChanged
	for i := range keys { // each tick another group comes first
		if route := c.groups[keys[(int(c.sequence%uint64(len(keys)))+i)%len(keys)]]; route.demand.Limit > 0 {
			if len(requests) < maxMembersAsked {
				c.requestLeases(route, requests)
			}
			c.followLoad(route)
			share.Shares = append(share.Shares, c.share(route))
		}
	}
	c.spread(keys, requests)
	c.actions = append(c.actions, share)
}

// forget drops what has expired.
func (c *Allocator) forget() {
	maps.DeleteFunc(c.heardDirectly, func(_ string, at Micros) bool { return c.now-at > sampleLifetime })
	over := func(lease lease) bool { return c.now >= lease.until }
	c.peerSampleCount = 0
	for key, route := range c.groups {
		route.grants, route.leases = slices.DeleteFunc(route.grants, over), slices.DeleteFunc(route.leases, over)
		maps.DeleteFunc(route.requests, func(_ uint64, a request) bool { return c.now >= a.at+leaseSpan })
		maps.DeleteFunc(route.peerSamples, func(_ string, slot sampleSlot) bool { return c.now-slot.at > 10*sampleLifetime })
		if c.now-route.usedAt > maxSampleAge && len(route.grants) == 0 {
			delete(c.groups, key)
			continue
		}
		c.peerSampleCount += len(route.peerSamples)
	}
}

func (c *Allocator) share(route *groupState) Share {
	base := c.baseUnits()
	units, until := c.leasedUnits(route, 0)
	share := Share{Key: route.demand.Key, Leased: float64(units) / float64(base), LeasedUntil: until}
	for _, lease := range route.grants {
		share.Granted, share.GrantedUntil = min(maxGranted, share.Granted+float64(lease.units)/float64(base)), max(share.GrantedUntil, lease.until)
	}
	if route.loadAt > 0 {
		share.Load, share.LoadUntil = route.load, route.loadAt+sampleLifetime
	}
	return share
}
