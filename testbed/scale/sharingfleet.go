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
	// fleetLoad is what all couriers use together of each limit; a quarter of them use heavyUse times as much as the others.
	fleetLoad  = 0.8
	heavyUse   = 3.0
	heavyEvery = 4
	// A packet takes so long, as in testbed/simulation: a network of one country.
	packetLeast = 10 * microsPerSecond / 1000
	packetMost  = 60 * microsPerSecond / 1000
	// sharingWarmUp is longer than a start holds back what an earlier one may have granted, and than usage is measured over.
	sharingWarmUp  = 8 * microsPerSecond
	sharingLasts   = 20 * microsPerSecond
	sharingSampled = microsPerSecond
	// heardFresh is how old a count may be to say something of now, as in package quota.
	heardFresh = 3 * microsPerSecond
	// listenersSampled couriers have the packets that they hear gone through.
	listenersSampled = 5
)

// sharer is one hollow courier of the fleet.
type sharer struct {
	name  string
	quota *quota.Allocator
	rates []float64 // calls a second, by route
	calls []uint64
	heard map[quota.Key]map[string]heardUse // nil: not gone through
}

// heardUse is what was said last of one courier's use.
type heardUse struct {
	usage quota.Units
	at    quota.Micros
}

// sharingFleet is a fleet of hollow couriers in virtual time, on one goroutine.
type sharingFleet struct {
	now     quota.Micros
	rng     *rand.Rand
	queue   laterQueue
	sharers []*sharer
	byName  map[string]*sharer
	names   []string
	// expected is how many couriers each of them expects in the fleet.
	expected int

	counting                     bool
	packets, bytes               int
	largest, spoilt, overGranted int
	samples                      int
	heardOf, useKnown, notified  float64 // sums over the samples
	steppedDown                  time.Duration
	fault                        error
}

func measureSharingFleet(ctx context.Context, play *Play, couriers int) error {
	f := newSharingFleet(couriers, play.Seed)
	f.run(ctx, sharingWarmUp)
	f.counting = true
	f.sample()
	runtime.GC()
	f.steppedDown = 0
	begun := processorTime()
	f.run(ctx, sharingLasts)
	used := processorTime() - begun - f.steppedDown
	if f.fault != nil {
		return f.fault
	}
	leases := uint64(0)
	for _, s := range f.sharers {
		_, sums := s.quota.Status(f.now)
		leases += sums.Leased
	}
	span := float64(sharingLasts-sharingWarmUp) / float64(microsPerSecond) * float64(couriers)
	sizes := map[string]float64{sizeCouriers: float64(couriers), sizeRoutes: fleetRoutes}
	for figure, value := range map[string]float64{
		figureSaidPackets: float64(f.packets) / span, figureBytes: float64(f.bytes) / span, figureCores: used.Seconds() / span,
		figureHeardOf: f.heardOf / float64(f.samples), figureHeard: f.heardOf / float64(f.samples) * float64(couriers-1), figureUseKnown: f.useKnown / float64(f.samples), figureNotifiedLoad: f.notified / float64(f.samples),
		figureLeases: float64(leases), figureLargest: float64(f.largest), figureSpoilt: float64(f.spoilt), figureOverGranted: float64(f.overGranted),
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
		if i < listenersSampled {
			s.heard = map[quota.Key]map[string]heardUse{}
		}
		f.sharers, f.byName[name] = append(f.sharers, s), s
	}
	for i, s := range f.sharers {
		alive := make([]string, 0, couriers-1)
		alive = append(append(alive, f.names[:i]...), f.names[i+1:]...)
		f.after(f.now+quota.Micros(f.rng.Int64N(int64(tickSpan))), func() { f.interval(s, alive) })
	}
	f.after(sharingWarmUp+sharingSampled, f.sampleAgain)
	return f
}

// run plays until an instant.
func (f *sharingFleet) run(ctx context.Context, until quota.Micros) {
	for f.fault == nil && f.queue.all[0].at <= until {
		if f.fault = ctx.Err(); f.fault != nil {
			return
		}
		next := heap.Pop(&f.queue).(later)
		f.now = next.at
		next.do()
	}
}

func (f *sharingFleet) after(at quota.Micros, do func()) {
	f.queue.number++
	heap.Push(&f.queue, later{at, f.queue.number, do})
}

// tick has one courier tell what it used since its last tick, and say what it says.
func (f *sharingFleet) interval(s *sharer, alive []string) {
	f.after(f.now+tickSpan, func() { f.interval(s, alive) })
	needs := quota.DemandsChanged{Demands: make([]quota.Demand, 0, fleetRoutes)}
	for route, rate := range s.rates {
		s.calls[route] += f.calls(rate * float64(tickSpan) / float64(microsPerSecond))
		needs.Demands = append(needs.Demands, quota.Demand{Key: quota.Key{Dest: int32(route)}, Limit: routeLimit, Calls: s.calls[route], Delivered: s.calls[route]})
	}
	f.carry(s, quota.FleetChanged{Couriers: f.expected, Alive: alive}, needs, quota.Tick{})
}

// calls draws how many calls are made where so many are usual, evenly spread in time: the whole part, and one more by chance.
func (f *sharingFleet) calls(usual float64) uint64 {
	whole := uint64(usual)
	if f.rng.Float64() < usual-float64(whole) {
		whole++
	}
	return whole
}

// carry hands events to a courier's quota and carries what it says, as package exchange does: encoded.
func (f *sharingFleet) carry(s *sharer, events ...quota.Event) {
	for _, action := range s.quota.Handle(f.now, events...) {
		say, ok := action.(quota.SendPacket)
		if !ok {
			continue
		}
		text, err := quota.Encode(say.Packet)
		if err != nil {
			f.fault = fmt.Errorf("%s: words that cannot be written: %w", s.name, err)
			return
		}
		if f.counting {
			f.packets, f.bytes = f.packets+1, f.bytes+len(text)
		}
		f.largest = max(f.largest, len(text))
		to := f.byName[say.To]
		f.after(f.now+packetLeast+quota.Micros(f.rng.Int64N(int64(packetMost-packetLeast))), func() { f.hear(to, text) })
	}
}

func (f *sharingFleet) hear(s *sharer, text []byte) {
	words, err := quota.Decode(text)
	if err != nil {
		f.spoilt++
		return
	}
	s.note(f.now, words)
	f.carry(s, quota.PacketReceived{Packet: words})
}

// note keeps what a sampled courier was notified of others' use.
func (s *sharer) note(now quota.Micros, words quota.Packet) {
	if s.heard == nil {
		return
	}
	for _, count := range words.Samples {
		of := s.heard[count.Key]
		if of == nil {
			of = map[string]heardUse{}
			s.heard[count.Key] = of
		}
		if at := now - count.Age; count.Courier != s.name && at > of[count.Courier].at {
			of[count.Courier] = heardUse{count.Usage, at}
		}
	}
}

// known is what a sampled courier has lately heard that others use of a route.
func (s *sharer) known(now quota.Micros, key quota.Key) (sum quota.Units) {
	for _, use := range s.heard[key] {
		if now-use.at <= heardFresh {
			sum += use.usage
		}
	}
	return sum
}

func (f *sharingFleet) sampleAgain() {
	f.after(f.now+sharingSampled, f.sampleAgain)
	begun := processorTime()
	f.sample()
	f.steppedDown += processorTime() - begun
}

// sample holds the parts of each limit against the whole, and what couriers know of the others' use against what they use.
func (f *sharingFleet) sample() {
	const whole = quota.Units(1000 * 1000)
	all := make([][]quota.Status, len(f.sharers))
	for i, s := range f.sharers {
		all[i], _ = s.quota.Status(f.now)
	}
	for route := range fleetRoutes {
		var parts, use quota.Units
		for _, lines := range all {
			line := &lines[route]
			parts += line.Base - line.Granted + line.Leased
			use += line.Usage
		}
		if parts > whole {
			f.overGranted++
		}
		f.sampleRoute(all, route, use)
	}
}

func (f *sharingFleet) sampleRoute(all [][]quota.Status, route int, use quota.Units) {
	const whole = 1e6
	if use == 0 {
		return
	}
	var heard, notified, known, others float64
	for i, lines := range all {
		line := &lines[route]
		heard += float64(line.ReportingCouriers) / float64(len(all)-1)
		notified += line.Load / (float64(use) / whole)
		if s := f.sharers[i]; s.heard != nil {
			known += float64(s.known(f.now, line.Key))
			others += float64(use - line.Usage)
		}
	}
	f.samples++
	f.heardOf += heard / float64(len(all))
	f.notified += notified / float64(len(all))
	f.useKnown += known / max(others, 1)
}

// later is something that happens at an instant; what is due at one instant happens in the order in which it was set.
type later struct {
	at     quota.Micros
	number int
	do     func()
}

type laterQueue struct {
	all    []later
	number int
}

func (q *laterQueue) Len() int { return len(q.all) }
func (q *laterQueue) Less(a, b int) bool {
	return q.all[a].at < q.all[b].at || q.all[a].at == q.all[b].at && q.all[a].number < q.all[b].number
}
func (q *laterQueue) Swap(a, b int) { q.all[a], q.all[b] = q.all[b], q.all[a] }
func (q *laterQueue) Push(x any)    { q.all = append(q.all, x.(later)) }
func (q *laterQueue) Pop() any {
	last := q.all[len(q.all)-1]
	q.all[len(q.all)-1] = later{}
	q.all = q.all[:len(q.all)-1]
	return last
}
