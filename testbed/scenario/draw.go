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

// Instance is a day as it happens: what is fixed by the file and a seed.
type Instance struct {
	Definition        *Definition
	Seed              int64
	Load              float64
	Length            dispatch.Micros // messages arrive until then
	EndsAt            dispatch.Micros // all is over
	Destinations      []Destination
	Arrivals          []Arrival // by instant
	Events            []Event   // by instant
	Slots, QueueLimit int       // of a courier
	CourierZone       []dispatch.ZoneID
}

// Destination is a partner and its traffic.
type Destination struct {
	endpointmodel.Plan
	KindName string
	Usual    float64 // messages a second at full load
	Listed   float64 // the rate on the list, for a route
	Tenant   int     // whose messages it gets; -1: nobody's
}

// Arrival is a message submitted for the first time.
type Arrival struct {
	At      dispatch.Micros
	Dest    int32
	Class   int32
	Tenant  int32
	Courier int32
	Key     int32 // -1: none
}

// EventKind is what happens in an Event.
type EventKind int

// What happens by itself on a day.
const (
	FaultBegins          EventKind = iota // a fault begins
	FaultEnds                             // and ends
	EndpointAdded                         // an endpoint goes up and is listed
	EndpointDraining                      // an endpoint is listed as draining
	EndpointRemoved                       // an endpoint goes down and is taken off the list
	CourierKilled                         // a courier is killed
	CourierStopRequested                  // a courier is asked to end, as before a planned restart
	CourierStarted                        // a courier starts
	CourierPaused                         // a courier stands still for Duration
	DirectoryDown                         // the directory stops answering
	DirectoryUp                           // and goes on
	Tells                                 // nothing but a line for the account: a flood began or ended
)

// Event is one thing that happens by itself.
type Event struct {
	At          dispatch.Micros
	Kind        EventKind
	FaultNumber int // its number, from 1; 0 for none
	Dest        int
	Endpoint    endpointmodel.Endpoint
	Address     dispatch.EndpointID // EndpointAdded: the endpoint whose address it takes over; empty: a new address
	Fault       endpointmodel.Fault
	Courier     int
	Duration    dispatch.Micros
	Text        string
}

func micros(seconds float64) dispatch.Micros { return dispatch.Micros(math.Round(seconds * 1e6)) }

// stream is the chance of one part of the drawing, so that a change in one part leaves the others as they are.
func stream(seed int64, part uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), part)) }

func (r Range) draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// drawLog draws so that halving and doubling are alike.
func (r Range) drawLog(rng *rand.Rand) float64 {
	if r[0] <= 0 {
		return r.draw(rng)
	}
	return r[0] * math.Pow(r[1]/r[0], rng.Float64())
}

// Draw makes a day of a file.
func Draw(d *Definition, seed int64) *Instance {
	w := &Instance{Definition: d, Seed: seed, Length: micros(d.Length), Load: d.Load.draw(stream(seed, 1))}
	last := 0.0
	for _, wl := range d.Classes {
		last = max(last, wl.Deadline)
	}
	w.EndsAt = w.Length + micros(last+d.Rules.AnswerGrace+0.5)
	w.destinations()
	w.couriers()
	floods := w.troubles()
	w.arrivals(floods)
	slices.SortStableFunc(w.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return w
}

// weights are shares of the traffic by Zipf's law, in an order of chance.
func weights(n int, exponent float64, rng *rand.Rand) []float64 {
	all, sum := make([]float64, n), 0.0
	for i := range all {
		all[i] = math.Pow(float64(i+1), -exponent)
		sum += all[i]
	}
	for i := range all {
		all[i] /= sum
	}
	rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (w *Instance) destinations() {
	d, rng := w.Definition, stream(w.Seed, 2)
	share := weights(d.Traffic.Destinations, d.Traffic.Zipf, rng)
	kinds := w.kindOf(share, rng)
	order := make([]int, len(d.Tenants))
	for i := range order {
		order[i] = i
	}
	owed := make([]float64, len(d.Tenants))
	for i, usual := range share {
		kind := d.Kinds[kinds[i]]
		dst := Destination{KindName: kind.Name, Usual: usual * d.Traffic.FullLoadPerSec, Tenant: -1}
		if len(order) > 0 { // to the tenant that is furthest behind its share
			dst.Tenant = slices.MinFunc(order, func(a, b int) int { return cmp.Compare(owed[a], owed[b]) })
			owed[dst.Tenant] += usual / max(1e-9, d.Tenants[dst.Tenant].Share)
		}
		w.plan(&dst, kind, i, kinds[i], rng)
		w.Destinations = append(w.Destinations, dst)
	}
}

// kindOf gives each destination a kind; kinds that lean to the busy take from the front of the busiest.
func (w *Instance) kindOf(share []float64, rng *rand.Rand) []int {
	kinds, sum := w.Definition.Kinds, 0.0
	for _, k := range kinds {
		sum += k.Share
	}
	busy := make([]int, len(share))
	for i := range busy {
		busy[i] = i
	}
	slices.SortStableFunc(busy, func(a, b int) int { return cmp.Compare(share[b], share[a]) })
	order := make([]int, len(kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(kinds[b].Lean, kinds[a].Lean) })
	of, at := make([]int, len(share)), 0
	for n, k := range order {
		count := int(math.Round(kinds[k].Share / max(sum, 1e-9) * float64(len(share))))
		if n == len(order)-1 {
			count = len(share) - at
		} else {
			count = min(max(count, 1), len(share)-at)
		}
		for range count {
			of[busy[at]] = k
			at++
		}
	}
	// Leaning is mostly so, and not always: one in five trades places.
	for i := range of {
		if j := rng.IntN(len(of)); rng.Float64() < 0.2 {
			of[i], of[j] = of[j], of[i]
		}
	}
	return of
}

func (w *Instance) plan(dst *Destination, k Kind, number, kind int, rng *rand.Rand) {
	d := w.Definition
	endpoints := int(math.Round(k.Endpoints.draw(rng)))
	answer := k.ServiceTime.drawLog(rng) / 1000
	limit := max(k.Least.draw(rng), dst.Usual*k.Headroom.draw(rng))
	perEndpoint := limit * k.Spare.draw(rng) / float64(endpoints)
	workers := max(1, math.Ceil(perEndpoint*answer))
	answer = workers / perEndpoint // so that the capacity is just that
	if answer > k.ServiceTime[1]/1000 {
		answer = k.ServiceTime[1] / 1000
	}
	p := endpointmodel.Plan{Dest: dispatch.DestinationID(number), Kind: dispatch.EndpointTypeID(kind), SeparateRoutes: k.SeparateRoutes, PerCall: k.PerCall,
		ItemCost: k.ItemCost, Workers: int(workers), ServiceTime: micros(answer), Spread: k.Spread.draw(rng),
		Queue: int(math.Ceil(perEndpoint * k.Queue.draw(rng))), ErrorRate: k.ErrorRate.draw(rng),
		Reports: k.Reports, ReportEvery: micros(k.ReportEvery / 1000), ReportNoise: k.ReportNoise,
		SlowStartInitialShare: d.Rules.SlowStartInitialShare, SlowStart: micros(d.Rules.SlowStart), OverloadFactor: d.Rules.OverloadFactor, OverloadWindow: micros(d.Rules.OverloadWindow),
		FallDown: micros(d.Rules.FallDown), Seed: rng.Uint64()}
	perRoute := limit
	if k.SeparateRoutes {
		perRoute /= float64(endpoints)
	}
	p.Limit = endpointmodel.Limit{PerSec: perRoute, Window: micros(k.WindowSpan / 1000), Tells: k.Tells.draw(rng),
		LeastWait: micros(k.MinRetryAfter.draw(rng) / 1000), RefusedCount: rng.Float64() < k.RefusedCount}
	switch k.Limits[rng.IntN(len(k.Limits))] {
	case "rate":
		p.Limit.Kind = endpointmodel.Rate
	case "window":
		p.Limit.Kind = endpointmodel.Window
	}
	if k.Connections[1] > 0 {
		p.Connections = max(k.LeastConns, int(math.Ceil(k.Connections.draw(rng)*workers)))
	}
	for e := range endpoints {
		p.Endpoints = append(p.Endpoints, endpointmodel.Endpoint{ID: endpointID(number, e),
			Zone: dispatch.ZoneID(rng.IntN(len(d.Fleet.Zones)))})
	}
	dst.Plan = p
	switch d.Directory.Rates {
	case "nominal":
		dst.Listed = perRoute
	case "rough":
		dst.Listed = perRoute * (0.5 + rng.Float64())
	}
}

func endpointID(dest, n int) dispatch.EndpointID {
	return dispatch.EndpointID(fmt.Sprintf("e%d-%d", dest, n))
}

func (w *Instance) couriers() {
	d := w.Definition
	busy := 0.0
	for _, dst := range w.Destinations {
		busy += dst.Usual * (float64(dst.ServiceTime)/1e6 + d.Network.SameZone[1]/1000)
	}
	n := float64(d.Fleet.Couriers)
	w.Slots = max(d.Fleet.LeastSlots, int(math.Ceil(d.Fleet.SlotsFactor*busy/n)))
	w.QueueLimit = max(d.Fleet.LeastHold, int(math.Ceil(d.Fleet.HoldFor*d.Traffic.FullLoadPerSec/n)))
	for i := range d.Fleet.Couriers {
		w.CourierZone = append(w.CourierZone, dispatch.ZoneID(i%len(d.Fleet.Zones)))
	}
}

// flood is a stretch in which a tenant sends more.
type flood struct {
	from, to dispatch.Micros
	tenant   int // -1: all
	times    float64
}

// trafficShares is the usual traffic of each destination, and its sum.
func (w *Instance) trafficShares() (share []float64, total float64) {
	share = make([]float64, len(w.Destinations))
	for i, destination := range w.Destinations {
		usage := 1.0
		if destination.Tenant >= 0 {
			usage = w.Definition.Tenants[destination.Tenant].Usage
		}
		share[i] = destination.Usual * usage
		total += share[i]
	}
	return share, total
}

func (w *Instance) arrivals(floods []flood) {
	d, rng := w.Definition, stream(w.Seed, 4)
	share, total := w.trafficShares()
	pick := newPicker(share)
	works := w.classesByKind()
	clumps := d.Traffic.BurstShare.draw(rng)
	phase := rng.Float64() * 2 * math.Pi
	most := 1.0
	for _, f := range floods {
		most = max(most, f.times)
	}
	var busy picker // couriers, where traffic is uneven among them
	if d.Traffic.Uneven > 0 {
		busy = newPicker(weights(d.Fleet.Couriers, d.Traffic.Uneven, stream(w.Seed, 9)))
	}
	add := func(at dispatch.Micros, dest int) {
		dst := &w.Destinations[dest]
		a := Arrival{At: at, Dest: int32(dest), Tenant: int32(max(0, dst.Tenant)), Courier: int32(rng.IntN(d.Fleet.Couriers)), Key: -1}
		a.Class = int32(works[dst.Plan.Kind].draw(rng))
		if busy != nil {
			a.Courier = int32(busy.draw(rng))
		}
		if d.Classes[a.Class].InOrder {
			a.Key = int32(rng.IntN(d.Traffic.Keys))
			a.Courier = a.Key % int32(d.Fleet.Couriers) // those of one key come to one courier
		}
		w.Arrivals = append(w.Arrivals, a)
	}
	// Single messages by thinning: drawn at the highest rate, kept as often as the rate of the instant asks.
	peak := total * w.Load * (1 - clumps) * (1 + d.Traffic.Swing) * most
	for at := 0.0; ; {
		at += rng.ExpFloat64() / max(peak, 1e-9)
		if at >= d.Length {
			break
		}
		dest, now := pick.draw(rng), micros(at)
		rate := (1 + d.Traffic.Swing*math.Sin(phase+2*math.Pi*at/d.Length)) / (1 + d.Traffic.Swing) / most
		for _, f := range floods {
			if now >= f.from && now < f.to && (f.tenant < 0 || f.tenant == w.Destinations[dest].Tenant) {
				rate *= f.times
			}
		}
		if rng.Float64() < rate {
			add(now, dest)
		}
	}
	// BurstShare: as many messages for one destination as its limit takes in some time, within a fifth of a second.
	for left := total * w.Load * clumps * d.Length; left >= 1; {
		dest, at := pick.draw(rng), rng.Float64()*d.Length
		size := max(1, math.Round(w.Destinations[dest].Limit.PerSec*d.Traffic.ClumpFor.draw(rng)))
		size = min(size, math.Ceil(left))
		left -= size
		for range int(size) {
			add(min(micros(at+0.2*rng.Float64()), w.Length-1), dest)
		}
	}
	slices.SortStableFunc(w.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// workloadsByKind has, for each kind of destination, which classes it gets.
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

// picker draws one of several by their shares.
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
