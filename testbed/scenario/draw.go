package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pineport/dispatch"
	"pineport/testbed/endpointmodel"
)

// Instance is an instance of a scenario: everything that the file and a seed determine.
type Instance struct {
	Definition        *Definition
	Seed              int64
	Load              float64
	Length            dispatch.Micros // end of the arrivals
	EndsAt            dispatch.Micros // end of the run
	Destinations      []Destination
	Arrivals          []Arrival // sorted by time
	Events            []Event   // sorted by time
	Slots, QueueLimit int       // per courier: maximum numbers of calls in flight and of open messages
	CourierZone       []dispatch.ZoneID
}

// Destination is a destination and its traffic.
type Destination struct {
	endpointmodel.Plan
	KindName     string
	FullLoadRate float64 // messages per second at full load
	ListedRate   float64 // limit of a route in the endpoint list; 0: not listed
	Tenant       int     // tenant that sends the messages to the destination; -1: none
}

// Arrival is the first submission of a message.
type Arrival struct {
	At      dispatch.Micros
	Dest    int32
	Class   int32
	Tenant  int32
	Courier int32
	Key     int32 // -1: none
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events. The package environment relies on their order: the kinds up to EndpointRemoved concern an endpoint.
const (
	FaultBegins          EventKind = iota // a fault of an endpoint starts
	FaultEnds                             // a fault of an endpoint ends
	EndpointAdded                         // an endpoint starts and is listed
	EndpointDraining                      // an endpoint is listed as draining
	EndpointRemoved                       // an endpoint stops and is removed from the list
	CourierKilled                         // a courier is killed
	CourierStopRequested                  // a courier is asked to shut down gracefully, as before a planned restart
	CourierStarted                        // a courier starts
	CourierPaused                         // a courier is paused for Duration
	DirectoryDown                         // the directory stops answering
	DirectoryUp                           // the directory answers again
	Annotation                            // only adds a line to the report: a flood started or ended
)

// Event is one event of a run that is not caused by a client or a courier.
type Event struct {
	At          dispatch.Micros
	Kind        EventKind
	FaultNumber int // number of the fault that causes the event, from 1; 0: none
	Dest        int
	Endpoint    endpointmodel.Endpoint
	Address     dispatch.EndpointID // EndpointAdded: the endpoint whose address the new endpoint uses; empty: a new address
	Fault       endpointmodel.Fault
	Courier     int
	Duration    dispatch.Micros
	Text        string
}

func micros(seconds float64) dispatch.Micros { return dispatch.Micros(math.Round(seconds * 1e6)) }

// newRand returns the random number generator for one part of the drawing: 1 load, 2 destinations, 3 faults, 4 arrivals, 9 distribution
// over couriers. Each part has its own generator, so that a change in one part does not affect the values of the others.
func newRand(seed int64, part uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), part)) }

func (r Range) draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// drawLog draws a value whose logarithm is uniformly distributed.
func (r Range) drawLog(rng *rand.Rand) float64 {
	if r[0] <= 0 {
		return r.draw(rng)
	}
	return r[0] * math.Pow(r[1]/r[0], rng.Float64())
}

// Draw draws all values of a scenario from a seed.
func Draw(def *Definition, seed int64) *Instance {
	instance := &Instance{Definition: def, Seed: seed, Length: micros(def.Length), Load: def.Load.draw(newRand(seed, 1))}
	maxDeadline := 0.0
	for _, wl := range def.Classes {
		maxDeadline = max(maxDeadline, wl.Deadline)
	}
	instance.EndsAt = instance.Length + micros(maxDeadline+def.Rules.AnswerGrace+0.5)
	instance.drawDestinations()
	instance.sizeCouriers()
	floods := instance.drawFaults()
	instance.drawArrivals(floods)
	slices.SortStableFunc(instance.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return instance
}

// zipfShares returns shares of the traffic by Zipf's law, in random order.
func zipfShares(n int, exponent float64, rng *rand.Rand) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	rng.Shuffle(n, func(i, j int) { shares[i], shares[j] = shares[j], shares[i] })
	return shares
}

func (w *Instance) drawDestinations() {
	d, rng := w.Definition, newRand(w.Seed, 2)
	share := zipfShares(d.Traffic.Destinations, d.Traffic.Zipf, rng)
	kinds := w.assignKinds(share, rng)
	order := make([]int, len(d.Tenants))
	for i := range order {
		order[i] = i
	}
	assigned := make([]float64, len(d.Tenants))
	for i, usual := range share {
		kind := d.Kinds[kinds[i]]
		dst := Destination{KindName: kind.Name, FullLoadRate: usual * d.Traffic.FullLoadPerSec, Tenant: -1}
		if len(order) > 0 { // assign it to the tenant with the least traffic relative to its quota
			dst.Tenant = slices.MinFunc(order, func(a, b int) int { return cmp.Compare(assigned[a], assigned[b]) })
			assigned[dst.Tenant] += usual / max(1e-9, d.Tenants[dst.Tenant].Share)
		}
		w.drawPlan(&dst, kind, i, kinds[i], rng)
		w.Destinations = append(w.Destinations, dst)
	}
}

// assignKinds assigns a kind to each destination. Destinations are assigned in the order of their traffic, starting with the most,
// and kinds in the order of LoadBias, starting with the highest.
func (w *Instance) assignKinds(share []float64, rng *rand.Rand) []int {
	kinds, sum := w.Definition.Kinds, 0.0
	for _, k := range kinds {
		sum += k.Share
	}
	byRate := make([]int, len(share))
	for i := range byRate {
		byRate[i] = i
	}
	slices.SortStableFunc(byRate, func(a, b int) int { return cmp.Compare(share[b], share[a]) })
	order := make([]int, len(kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(kinds[b].LoadBias, kinds[a].LoadBias) })
	kindOf, next := make([]int, len(share)), 0
	for n, k := range order {
		count := int(math.Round(kinds[k].Share / max(sum, 1e-9) * float64(len(share))))
		if n == len(order)-1 {
			count = len(share) - next
		} else {
			count = min(max(count, 1), len(share)-next)
		}
		for range count {
			kindOf[byRate[next]] = k
			next++
		}
	}
	// The bias holds for most destinations only: one in five swaps its kind with a random one.
	for i := range kindOf {
		if j := rng.IntN(len(kindOf)); rng.Float64() < 0.2 {
			kindOf[i], kindOf[j] = kindOf[j], kindOf[i]
		}
	}
	return kindOf
}

func (w *Instance) drawPlan(dst *Destination, k Kind, number, kind int, rng *rand.Rand) {
	d := w.Definition
	endpoints := int(math.Round(k.Endpoints.draw(rng)))
	serviceTime := k.ServiceTime.drawLog(rng) / 1000
	limit := max(k.MinLimit.draw(rng), dst.FullLoadRate*k.LimitFactor.draw(rng))
	perEndpoint := limit * k.CapacityFactor.draw(rng) / float64(endpoints)
	workers := max(1, math.Ceil(perEndpoint*serviceTime))
	serviceTime = workers / perEndpoint // makes the capacity exactly perEndpoint, although the number of workers is an integer
	if serviceTime > k.ServiceTime[1]/1000 {
		serviceTime = k.ServiceTime[1] / 1000
	}
	p := endpointmodel.Plan{Dest: dispatch.DestinationID(number), Kind: dispatch.EndpointTypeID(kind), SeparateRoutes: k.SeparateRoutes, PerCall: k.PerCall,
		ItemCost: k.ItemCost, Workers: int(workers), ServiceTime: micros(serviceTime), ServiceTimeCV: k.ServiceTimeCV.draw(rng),
		Queue: int(math.Ceil(perEndpoint * k.Queue.draw(rng))), ErrorRate: k.ErrorRate.draw(rng),
		Reports: k.Reports, ReportEvery: micros(k.ReportEvery / 1000), ReportNoise: k.ReportNoise,
		SlowStartInitialShare: d.Rules.SlowStartInitialShare, SlowStart: micros(d.Rules.SlowStart), OverloadFactor: d.Rules.OverloadFactor, OverloadWindow: micros(d.Rules.OverloadWindow),
		OverloadDowntime: micros(d.Rules.OverloadDowntime), Seed: rng.Uint64()}
	perRoute := limit
	if k.SeparateRoutes {
		perRoute /= float64(endpoints)
	}
	p.Limit = endpointmodel.Limit{PerSec: perRoute, Window: micros(k.LimitWindow / 1000), RetryAfterShare: k.RetryAfterShare.draw(rng),
		MinRetryAfter: micros(k.MinRetryAfter.draw(rng) / 1000), CountThrottled: rng.Float64() < k.CountThrottledShare}
	switch k.LimitKinds[rng.IntN(len(k.LimitKinds))] {
	case "rate":
		p.Limit.Kind = endpointmodel.RateLimit
	case "window":
		p.Limit.Kind = endpointmodel.WindowLimit
	}
	if k.Connections[1] > 0 {
		p.Connections = max(k.MinConnections, int(math.Ceil(k.Connections.draw(rng)*workers)))
	}
	for e := range endpoints {
		p.Endpoints = append(p.Endpoints, endpointmodel.Endpoint{ID: endpointID(number, e),
			Zone: dispatch.ZoneID(rng.IntN(len(d.Fleet.Zones)))})
	}
	dst.Plan = p
	switch d.Directory.Rates {
	case "nominal":
		dst.ListedRate = perRoute
	case "rough":
		dst.ListedRate = perRoute * (0.5 + rng.Float64())
	}
}

func endpointID(dest, n int) dispatch.EndpointID {
	return dispatch.EndpointID(fmt.Sprintf("e%d-%d", dest, n))
}

func (w *Instance) sizeCouriers() {
	d := w.Definition
	busy := 0.0
	for _, dst := range w.Destinations {
		busy += dst.FullLoadRate * (float64(dst.ServiceTime)/1e6 + d.Network.SameZone[1]/1000)
	}
	n := float64(d.Fleet.Couriers)
	w.Slots = max(d.Fleet.MinSlots, int(math.Ceil(d.Fleet.SlotsFactor*busy/n)))
	w.QueueLimit = max(d.Fleet.MinQueueLimit, int(math.Ceil(d.Fleet.QueueLimitTime*d.Traffic.FullLoadPerSec/n)))
	for i := range d.Fleet.Couriers {
		w.CourierZone = append(w.CourierZone, dispatch.ZoneID(i%len(d.Fleet.Zones)))
	}
}

// flood is a period in which a tenant sends more than usual.
type flood struct {
	from, to dispatch.Micros
	tenant   int // -1: all
	factor   float64
}

// trafficRates returns the rate of each destination and the sum of the rates, in messages per second at full load. A rate includes the
// Usage of the tenant.
func (w *Instance) trafficRates() (rates []float64, total float64) {
	rates = make([]float64, len(w.Destinations))
	for i, destination := range w.Destinations {
		usage := 1.0
		if destination.Tenant >= 0 {
			usage = w.Definition.Tenants[destination.Tenant].Usage
		}
		rates[i] = destination.FullLoadRate * usage
		total += rates[i]
	}
	return rates, total
}

func (w *Instance) drawArrivals(floods []flood) {
	d, rng := w.Definition, newRand(w.Seed, 4)
	rates, total := w.trafficRates()
	destinations := newPicker(rates)
	classes := w.classesByKind()
	burstShare := d.Traffic.BurstShare.draw(rng)
	phase := rng.Float64() * 2 * math.Pi
	maxFactor := 1.0
	for _, f := range floods {
		maxFactor = max(maxFactor, f.factor)
	}
	var courierPicker picker // draws the courier if the traffic is distributed unevenly over the couriers
	if d.Traffic.CourierZipf > 0 {
		courierPicker = newPicker(zipfShares(d.Fleet.Couriers, d.Traffic.CourierZipf, newRand(w.Seed, 9)))
	}
	add := func(at dispatch.Micros, dest int) {
		dst := &w.Destinations[dest]
		a := Arrival{At: at, Dest: int32(dest), Tenant: int32(max(0, dst.Tenant)), Courier: int32(rng.IntN(d.Fleet.Couriers)), Key: -1}
		a.Class = int32(classes[dst.Plan.Kind].draw(rng))
		if courierPicker != nil {
			a.Courier = int32(courierPicker.draw(rng))
		}
		if d.Classes[a.Class].InOrder {
			a.Key = int32(rng.IntN(d.Traffic.Keys))
			a.Courier = a.Key % int32(d.Fleet.Couriers) // all messages with an ordering key go to the same courier
		}
		w.Arrivals = append(w.Arrivals, a)
	}
	// Single messages are drawn by thinning: candidates arrive at the highest rate and are kept with a probability proportional to the
	// current rate.
	peak := total * w.Load * (1 - burstShare) * (1 + d.Traffic.Swing) * maxFactor
	for at := 0.0; ; {
		at += rng.ExpFloat64() / max(peak, 1e-9)
		if at >= d.Length {
			break
		}
		dest, now := destinations.draw(rng), micros(at)
		rate := (1 + d.Traffic.Swing*math.Sin(phase+2*math.Pi*at/d.Length)) / (1 + d.Traffic.Swing) / maxFactor
		for _, f := range floods {
			if now >= f.from && now < f.to && (f.tenant < 0 || f.tenant == w.Destinations[dest].Tenant) {
				rate *= f.factor
			}
		}
		if rng.Float64() < rate {
			add(now, dest)
		}
	}
	// The messages of a burst have one destination and arrive within 0.2 s. Their number is the number of calls that the limit of a
	// route of the destination permits in the drawn time.
	for left := total * w.Load * burstShare * d.Length; left >= 1; {
		dest, at := destinations.draw(rng), rng.Float64()*d.Length
		size := max(1, math.Round(w.Destinations[dest].Limit.PerSec*d.Traffic.BurstSize.draw(rng)))
		size = min(size, math.Ceil(left))
		left -= size
		for range int(size) {
			add(min(micros(at+0.2*rng.Float64()), w.Length-1), dest)
		}
	}
	slices.SortStableFunc(w.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// classesByKind returns a picker of classes for each kind of destination.
func (w *Instance) classesByKind() []picker {
	var all []picker
	for _, k := range w.Definition.Kinds {
		share := make([]float64, len(w.Definition.Classes))
		for i, wl := range w.Definition.Classes {
			if len(wl.Kinds) == 0 || slices.Contains(wl.Kinds, k.Name) {
				share[i] = wl.Share
			}
		}
		all = append(all, newPicker(share))
	}
	return all
}

// picker draws an index with a probability proportional to its share.
type picker []float64

func newPicker(share []float64) picker {
	p, sum := make(picker, len(share)), 0.0
	for i, s := range share {
		sum += s
		p[i] = sum
	}
	return p
}

func (p picker) draw(rng *rand.Rand) int {
	at, _ := slices.BinarySearch(p, rng.Float64()*p[len(p)-1])
	return min(at, len(p)-1)
}
