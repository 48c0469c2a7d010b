// Package quota decides what couriers of one fleet share of the limits that hold over all of them, without I/O or clock: parts of
// limits are granted, and what each uses is counted. New reads the Config once; Handle takes the instant and what happened, and returns
// what is to be said and what stands. docs/quota.md says what is promised.
//
// A part is a share of a limit, in millionths. Each courier has a base part that needs nobody: one of as many as it counts on. What
// it does not need it may grant, up to half of it. A lease is taken off at the grantor before it is said, ends at the lessee a span
// after it *asked*, and is back at the grantor strictly later than that, for clocks that run by a hundredth apart. So a word that is
// lost, late or doubled can only make room smaller, and no clock is compared with another one. A start holds back what an earlier
// start of the same courier may have granted: nothing has to be kept in a file, and an older copy of the folder does no harm.
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

// Key names a route whose limit is shared: a destination, or one endpoint of it where they are apart.
type Key struct {
	Dest     int32  `cbor:"1,keyasint" json:"destination"`
	Endpoint string `cbor:"2,keyasint,omitempty" json:"endpoint,omitempty"`
}

func compare(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
}

const (
	// span is how long a lease holds, from when it was asked for: some paces of the exchange, and short beside an outage, so that what is
	// lost with a word or a process is soon back.
	span = 4 * second
	// backAfter is when a lease is back at its grantor: clocks that run a hundredth fast and slow make 4 s at one 4.08 s at the other.
	backAfter = span + span/40
	// freshFor is how old a count may be to say something of now.
	sampleLifetime = 3 * second
	// rateOver is what usage is measured over: long beside a tick, short beside an outage.
	rateOver = 2 * second
	// mostKeys and mostSlots bound what is kept: routes, and counts of other couriers over all of them, some 2 MB. What is beyond is not
	// counted into a load, which is then taken for less than it is.
	maxKeys        = 1024
	maxPeerSamples = 8192
	// mostAsked members are asked at a tick, whatever the number of routes: asks wait for the next one.
	maxRequests = 12
	// mostOthers counts of others are gathered for a tick, more than its packets hold.
	maxPeers = 512
	// mostLent of a base part is away at once. Only where the fleet has more than doubled since a lease is that less than was granted.
	maxGranted = 0.9
	// askOf members are asked at once: one that answers late or never costs a part of what is wanted.
	requestOf = 3
	// sayTo members hear counts at each tick; said on, they reach a fleet of hundreds within freshFor.
	sayTo = 3
)

// Config is what the quota allocator is handed at their start.
type Config struct {
	Self         string
	Incarnation  uint64
	Couriers     int    // that are counted on
	Seed         int64  // another one for each process: see New
	FirstLeaseID uint64 // beyond all that an earlier process of this start has counted by
}

// route is what is known of one key.
type route struct {
	demand      Demand
	samples     []sample
	usage       Units
	usedAt      Micros
	load        float64 // of the limit, by all, as it is notified
	loadAt      Micros  // when somebody was last heard; 0: never
	grants      []lease
	leases      []lease
	requests    map[uint64]request
	peerSamples map[string]sampleSlot
}

// Allocator are one courier's.
type Allocator struct {
	config       Config
	rng          *rand.Rand
	now          Micros
	actions      []Action
	isAlive      []string
	routes       map[Key]*route
	direct       map[string]Micros // who said what it uses, and when
	leaseUntil   Micros            // an earlier start's leases may hold until then, see GrantHorizon
	nextLeaseID  uint64            // of the last tick
	rotation     int               // where the next packets' counts of others begin
	activeLeases int               // counts of others
	counters     Counters
}

// New makes quota that know only their terms. Requests are numbered by a source that no earlier process of this courier had. Failure: a
// start with the same salt asked under the same numbers, and took a lease that had been given to the one before it for its own.
func New(now Micros, t Config) *Allocator {
	return &Allocator{config: t, rng: rand.New(rand.NewSource(t.Seed ^ int64(t.Incarnation*0x9e3779b97f4a7c15) ^ int64(t.FirstLeaseID))), now: now, routes: map[Key]*route{}, direct: map[string]Micros{}, leaseUntil: now + backAfter, nextLeaseID: t.FirstLeaseID}
}

// GrantHorizon is how long after a start, or after the decisions began anew, half of each base part is not to be used: as much may be granted.
// Whoever runs the decisions sees to that, as they begin before anything is said here.
const GrantHorizon = backAfter

// Handle takes what happened at one instant and returns what is to be done.
func (c *Allocator) Handle(now Micros, events ...Event) []Action {
	c.now, c.actions = max(c.now, now), nil
	for _, event := range events {
		switch e := event.(type) {
		case DemandsChanged:
			c.demandsChanged(e.All)
		case FleetChanged:
			c.config.Couriers, c.isAlive = e.Couriers, slices.Clone(e.Alive)
		case PacketReceived:
			c.packetReceived(e.Packet)
		case Tick:
			c.tick()
		}
	}
	return c.actions
}

// base is the part that needs nobody.
func (c *Allocator) baseUnits() Units { return whole / Units(max(1, c.config.Couriers)) }

// route finds what is kept of a key, or makes room for it; nil where there is none.
func (c *Allocator) route(k Key) *route {
	rt := c.routes[k]
	if rt == nil {
		if len(c.routes) >= maxKeys {
			c.counters.Forgotten++
			return nil
		}
		rt = &route{demand: Demand{Key: k}, requests: map[uint64]request{}, peerSamples: map[string]sampleSlot{}}
		c.routes[k] = rt
	}
	rt.usedAt = c.now
	return rt
}

// needs takes in what the decisions say, and works out what this courier uses of each limit.
func (c *Allocator) demandsChanged(all []Demand) {
	for _, demand := range all {
		route := c.route(demand.Key)
		if route == nil {
			continue
		}
		if route.demand = demand; len(route.samples) > 0 && route.samples[len(route.samples)-1].calls > demand.Calls {
			route.samples = nil // the decisions began anew
		}
		route.samples = append(route.samples, sample{c.now, demand.Calls})
		for len(route.samples) > 2 && c.now-route.samples[1].at >= rateOver {
			route.samples = route.samples[1:]
		}
		route.usage = 0
		if first := route.samples[0]; demand.Limit > 0 && c.now > first.at {
			perSec := float64(demand.Calls-first.calls) / float64(max(c.now-first.at, rateOver/2)) * float64(second)
			route.usage = Units(min(float64(maxUsage), perSec/demand.Limit*float64(whole)))
		}
	}
}

// heard takes words in. Nothing in them can make this courier's room larger but the lease that it asked for, of the one it asked.
func (c *Allocator) packetReceived(packet Packet) {
	if packet.From == c.config.Self || packet.check() != nil {
		return
	}
	for _, lease := range packet.Leases {
		c.acceptLeases(packet.From, lease)
	}
	if slices.Contains(c.isAlive, packet.From) {
		c.direct[packet.From] = c.now
	}
	for _, sample := range packet.Counts {
		c.merge(sample)
	}
	var leases []Lease
	var share ShareChanged
	for _, a := range packet.Requests {
		if lease, ok := c.grantLeases(packet.From, a); ok {
			leases = append(leases, lease)
			share.Shares = append(share.Shares, c.share(c.routes[a.Key]))
		}
	}
	if len(leases) > 0 {
		c.actions = append(c.actions, share) // before it is said
		c.send(packet.From, Packet{Leases: leases})
	}
}

func (c *Allocator) send(to string, packet Packet) {
	packet.Version, packet.From = Version, c.config.Self
	c.actions = append(c.actions, SendPacket{to, packet})
}

func (c *Allocator) tick() {
	c.nextLeaseID++
	c.forget()
	keys := slices.SortedFunc(maps.Keys(c.routes), compare)
	asks := map[string][]Request{}
	var share ShareChanged
	for i := range keys { // each tick another route comes first
		if route := c.routes[keys[(int(c.nextLeaseID%uint64(len(keys)))+i)%len(keys)]]; route.demand.Limit > 0 {
			if len(asks) < maxRequests {
				c.requestLeases(route, asks)
			}
			c.fleetChanged(route)
			share.Shares = append(share.Shares, c.share(route))
		}
	}
	c.spread(keys, asks)
	c.actions = append(c.actions, share)
}

// forget drops what is over.
func (c *Allocator) forget() {
	maps.DeleteFunc(c.direct, func(_ string, at Micros) bool { return c.now-at > sampleLifetime })
	over := func(lease lease) bool { return c.now >= lease.until }
	c.activeLeases = 0
	for key, route := range c.routes {
		route.grants, route.leases = slices.DeleteFunc(route.grants, over), slices.DeleteFunc(route.leases, over)
		maps.DeleteFunc(route.requests, func(_ uint64, a request) bool { return c.now >= a.at+span })
		maps.DeleteFunc(route.peerSamples, func(_ string, slot sampleSlot) bool { return c.now-slot.at > 10*sampleLifetime })
		if c.now-route.usedAt > oldest && len(route.grants) == 0 {
			delete(c.routes, key)
			continue
		}
		c.activeLeases += len(route.peerSamples)
	}
}

func (c *Allocator) share(route *route) Share {
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
