package scale

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"pineport/quota"
)

const (
	fleetRoutes = 10
	// fleetLoad is the share of each limit that all couriers use together. On each route, one in heavyEvery couriers uses
	// heavyUse times as much as the others.
	fleetLoad  = 0.8
	heavyUse   = 3.0
	heavyEvery = 4
	// Bounds of the network latency, as in testbed/simulation: a network within one country.
	minPacketDelay = 10 * microsPerSecond / 1000
	maxPacketDelay = 60 * microsPerSecond / 1000
	// sharingWarmUp is longer than quota.GrantHorizon (4.1 s), the time for which a started courier does not use the share that
	// an earlier incarnation of it may have granted to others. It is also longer than the 2 s over which quota averages usage.
	sharingWarmUp       = 8 * microsPerSecond
	sharingEnd          = 20 * microsPerSecond
	observationInterval = microsPerSecond
	// maxReportAge is the age up to which a sample counts, as in package quota.
	maxReportAge = 3 * microsPerSecond
	// trackedSharers is the number of couriers whose received samples are recorded.
	trackedSharers = 5
)

// sharer is a hollow courier of the fleet.
type sharer struct {
	name     string
	quota    *quota.Allocator
	rates    []float64 // calls per second, by route
	calls    []uint64
	reported map[quota.Key]map[string]reportedUse // latest usage of others by route and courier; nil if not recorded
}

// reportedUse is the latest reported usage of a courier.
type reportedUse struct {
	usage quota.Units
	at    quota.Micros
}

// sharingFleet is a fleet of hollow couriers in virtual time. It runs on one goroutine.
type sharingFleet struct {
	now     quota.Micros
	rng     *rand.Rand
	queue   eventQueue
	sharers []*sharer
	byName  map[string]*sharer
	names   []string
	// expected is the fleet size in the FleetChanged events of all couriers.
	expected int

	measuring                       bool
	packets, bytes                  int
	largest, malformed, overGranted int
	observations                    int           // of one route at one time
	heardRatio, useRatio, loadRatio float64       // sums over all observations
	observingTime                   time.Duration // processor time of observe, not counted as cost of the couriers
	err                             error
}

func measureSharingFleet(ctx context.Context, play *Play, couriers int) error {
	f := newSharingFleet(couriers, play.Seed)
	f.run(ctx, sharingWarmUp)
	f.measuring = true
	f.observe() // first observation; its processor time is not measured
	runtime.GC()
	f.observingTime = 0
	begun := processorTime()
	f.run(ctx, sharingEnd)
	used := processorTime() - begun - f.observingTime
	if f.err != nil {
		return f.err
	}
	leases := uint64(0)
	for _, s := range f.sharers {
		_, totals := s.quota.Status(f.now)
		leases += totals.Leased
	}
	span := float64(sharingEnd-sharingWarmUp) / float64(microsPerSecond) * float64(couriers)
	sizes := map[string]float64{sizeCouriers: float64(couriers), sizeRoutes: fleetRoutes}
	for figure, value := range map[string]float64{
		figurePacketRate: float64(f.packets) / span, figureByteRate: float64(f.bytes) / span, figureCores: used.Seconds() / span,
		figureHeardRatio: f.heardRatio / float64(f.observations), figureHeard: f.heardRatio / float64(f.observations) * float64(couriers-1), figureUseRatio: f.useRatio / float64(f.observations), figureLoadRatio: f.loadRatio / float64(f.observations),
		figureLeases: float64(leases), figureLargest: float64(f.largest), figureMalformed: float64(f.malformed), figureOverGranted: float64(f.overGranted),
	} {
		play.Report(sizes, figure, value)
	}
	return nil
}

func newSharingFleet(couriers int, seed int64) *sharingFleet {
	f := &sharingFleet{now: 1, rng: rand.New(rand.NewPCG(uint64(seed), uint64(couriers))), byName: map[string]*sharer{}, names: courierNames(couriers), expected: couriers}
	heavy := (couriers + heavyEvery - 1) / heavyEvery
	light := fleetLoad * routeLimit / (float64(couriers-heavy) + heavyUse*float64(heavy))
	for i, name := range f.names {
		s := &sharer{name: name, rates: make([]float64, fleetRoutes), calls: make([]uint64, fleetRoutes),
			quota: quota.New(f.now, quota.Config{Self: name, Incarnation: 1, Couriers: couriers, Seed: int64(f.rng.Uint64() >> 1)})}
		for route := range s.rates {
			s.rates[route] = light
			if (i+route)%heavyEvery == 0 {
				s.rates[route] = heavyUse * light
			}
		}
		if i < trackedSharers {
			s.reported = map[quota.Key]map[string]reportedUse{}
		}
		f.sharers, f.byName[name] = append(f.sharers, s), s
	}
	for i, s := range f.sharers {
		alive := make([]string, 0, couriers-1)
		alive = append(append(alive, f.names[:i]...), f.names[i+1:]...)
		f.schedule(f.now+quota.Micros(f.rng.Int64N(int64(tickSpan))), func() { f.tick(s, alive) })
	}
	f.schedule(sharingWarmUp+observationInterval, f.observePeriodically)
	return f
}

// run processes events up to the given time.
func (f *sharingFleet) run(ctx context.Context, until quota.Micros) {
	for f.err == nil && f.queue.events[0].at <= until {
		if f.err = ctx.Err(); f.err != nil {
			return
		}
		next := heap.Pop(&f.queue).(timedEvent)
		f.now = next.at
		next.run()
	}
}

func (f *sharingFleet) schedule(at quota.Micros, do func()) {
	f.queue.number++
	heap.Push(&f.queue, timedEvent{at, f.queue.number, do})
}

// tick passes the usage since the last tick to the quota allocator of a courier, and sends the resulting packets.
func (f *sharingFleet) tick(s *sharer, alive []string) {
	f.schedule(f.now+tickSpan, func() { f.tick(s, alive) })
	demands := quota.DemandsChanged{Demands: make([]quota.Demand, 0, fleetRoutes)}
	for route, rate := range s.rates {
		s.calls[route] += f.drawCalls(rate * float64(tickSpan) / float64(microsPerSecond))
		demands.Demands = append(demands.Demands, quota.Demand{Key: quota.Key{Dest: int32(route)}, Limit: routeLimit, Calls: s.calls[route], Delivered: s.calls[route]})
	}
	f.handle(s, quota.FleetChanged{Couriers: f.expected, Alive: alive}, demands, quota.Tick{})
}

// drawCalls returns a random integer with the given mean: the integer part of mean, plus 1 with the probability of its fraction.
func (f *sharingFleet) drawCalls(mean float64) uint64 {
	calls := uint64(mean)
	if f.rng.Float64() < mean-float64(calls) {
		calls++
	}
	return calls
}

// handle passes events to the quota allocator of a courier and delivers the packets that it sends. Packets are encoded, as on
// the real network.
func (f *sharingFleet) handle(s *sharer, events ...quota.Event) {
	for _, action := range s.quota.Handle(f.now, events...) {
		send, ok := action.(quota.SendPacket)
		if !ok {
			continue
		}
		text, err := quota.Encode(send.Packet)
		if err != nil {
			f.err = fmt.Errorf("%s: encode packet: %w", s.name, err)
			return
		}
		if f.measuring {
			f.packets, f.bytes = f.packets+1, f.bytes+len(text)
		}
		f.largest = max(f.largest, len(text))
		to := f.byName[send.To]
		f.schedule(f.now+minPacketDelay+quota.Micros(f.rng.Int64N(int64(maxPacketDelay-minPacketDelay))), func() { f.receive(to, text) })
	}
}

func (f *sharingFleet) receive(s *sharer, text []byte) {
	packet, err := quota.Decode(text)
	if err != nil {
		f.malformed++
		return
	}
	s.recordUse(f.now, packet)
	f.handle(s, quota.PacketReceived{Packet: packet})
}

// recordUse records the usage of other couriers that a tracked courier receives.
func (s *sharer) recordUse(now quota.Micros, packet quota.Packet) {
	if s.reported == nil {
		return
	}
	for _, sample := range packet.Samples {
		byCourier := s.reported[sample.Key]
		if byCourier == nil {
			byCourier = map[string]reportedUse{}
			s.reported[sample.Key] = byCourier
		}
		if at := now - sample.Age; sample.Courier != s.name && at > byCourier[sample.Courier].at {
			byCourier[sample.Courier] = reportedUse{sample.Usage, at}
		}
	}
}

// knownUse returns the usage of a route by other couriers, from the samples that a tracked courier has received and that have
// not expired.
func (s *sharer) knownUse(now quota.Micros, key quota.Key) (sum quota.Units) {
	for _, use := range s.reported[key] {
		if now-use.at <= maxReportAge {
			sum += use.usage
		}
	}
	return sum
}

func (f *sharingFleet) observePeriodically() {
	f.schedule(f.now+observationInterval, f.observePeriodically)
	begun := processorTime()
	f.observe()
	f.observingTime += processorTime() - begun
}

// observe checks for each limit that the shares of all couriers do not exceed it, and compares the usage that couriers know of
// with the actual usage.
func (f *sharingFleet) observe() {
	const wholeLimit = quota.Units(1000 * 1000) // in millionths of the limit
	all := make([][]quota.Status, len(f.sharers))
	for i, s := range f.sharers {
		all[i], _ = s.quota.Status(f.now)
	}
	for route := range fleetRoutes {
		var shares, use quota.Units
		for _, statuses := range all {
			status := &statuses[route]
			shares += status.Base - status.Granted + status.Leased
			use += status.Usage
		}
		if shares > wholeLimit {
			f.overGranted++
		}
		f.observeRoute(all, route, use)
	}
}

func (f *sharingFleet) observeRoute(all [][]quota.Status, route int, use quota.Units) {
	const wholeLimit = 1e6 // in millionths of the limit
	if use == 0 {
		return
	}
	var heardRatio, loadRatio, known, others float64
	for i, statuses := range all {
		status := &statuses[route]
		heardRatio += float64(status.ReportingCouriers) / float64(len(all)-1)
		loadRatio += status.Load / (float64(use) / wholeLimit)
		if s := f.sharers[i]; s.reported != nil {
			known += float64(s.knownUse(f.now, status.Key))
			others += float64(use - status.Usage)
		}
	}
	f.observations++
	f.heardRatio += heardRatio / float64(len(all))
	f.loadRatio += loadRatio / float64(len(all))
	f.useRatio += known / max(others, 1)
}

// timedEvent is an event in virtual time. Events due at the same time run in the order in which they were scheduled.
type timedEvent struct {
	at     quota.Micros
	number int
	run    func()
}

type eventQueue struct {
	events []timedEvent
	number int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(a, b int) bool {
	return q.events[a].at < q.events[b].at || q.events[a].at == q.events[b].at && q.events[a].number < q.events[b].number
}
func (q *eventQueue) Swap(a, b int) { q.events[a], q.events[b] = q.events[b], q.events[a] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events[len(q.events)-1] = timedEvent{}
	q.events = q.events[:len(q.events)-1]
	return last
}
