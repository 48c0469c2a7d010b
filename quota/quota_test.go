package quota

import (
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pineport/modelcheck"
)

// fleet is a few couriers' quota under one true clock, each with a clock of its own that runs a hundredth slow or fast, and words
// that are under way between them. What each uses is held against the limit at every instant.
type fleet struct {
	now         Micros // true
	names       []string
	rates       []float64
	all         []*Allocator
	began       []Micros // by the true clock
	start       []uint64
	calls       []uint64
	need        []float64 // calls a second, of a limit of 100
	paused      []bool
	dead        []bool
	packetsSent []map[Key]Share // what its decisions go by
	way         []SendPacket    // words under way
	kept        []SendPacket    // words that may come again
	n           int             // couriers that each counts on
	peak        map[int]float64 // the highest load that each had reason to assume in
	injectFault func(f *fleet, i int)
}

const limit = 100

var theKey = Key{Dest: 1}

func newFleet(n int) *fleet {
	f := &fleet{now: 1000 * second, n: n, rates: []float64{1, 0.99, 1.01}, peak: map[int]float64{}}
	for range n {
		f.add(0)
	}
	return f
}

// add begins one more courier.
func (f *fleet) add(need float64) {
	i := len(f.all)
	f.names = append(f.names, string(rune('a'+i)))
	f.all, f.began, f.start, f.calls = append(f.all, nil), append(f.began, 0), append(f.start, 0), append(f.calls, 0)
	f.need, f.paused, f.dead, f.packetsSent = append(f.need, need), append(f.paused, false), append(f.dead, false), append(f.packetsSent, nil)
	f.begin(i)
}

func (f *fleet) clock(i int) Micros {
	return 1 + Micros(float64(f.now-f.began[i])*f.rates[i%len(f.rates)])
}

func (f *fleet) begin(i int) {
	f.began[i], f.calls[i], f.dead[i], f.paused[i] = f.now, 0, false, false
	f.start[i]++
	f.packetsSent[i] = map[Key]Share{}
	f.all[i] = New(f.clock(i), Config{Self: f.names[i], Incarnation: f.start[i], Couriers: f.n, Seed: int64(i)})
}

// do has a courier decide, and its words leave.
func (f *fleet) do(i int, events ...Event) {
	if f.dead[i] || f.paused[i] {
		return
	}
	for _, a := range f.all[i].Handle(f.clock(i), events...) {
		switch a := a.(type) {
		case ShareChanged:
			for _, share := range a.Shares {
				f.packetsSent[i][share.Key] = share
			}
		case SendPacket:
			f.way = append(f.way, a)
		}
	}
	if f.injectFault != nil {
		f.injectFault(f, i)
	}
}

func (f *fleet) tick(i int) {
	var others []string
	for _, n := range f.names {
		if n != f.names[i] {
			others = append(others, n)
		}
	}
	f.do(i, FleetChanged{f.n, others}, DemandsChanged{[]Demand{{Key: theKey, Limit: limit, Calls: f.calls[i], Delivered: f.calls[i]}}}, Tick{})
}

func (f *fleet) deliver(action SendPacket) {
	if i := slices.Index(f.names, action.To); i >= 0 {
		f.do(i, PacketReceived{action.Packet})
	}
}

func (f *fleet) pass(span Micros) {
	f.now += span
	for i := range f.all {
		f.calls[i] += uint64(f.need[i] * float64(span) / float64(second))
	}
}

// inUse is the share of the limit that all may use at this instant, by what their decisions were notified.
func (f *fleet) inUse() (sum float64) {
	for i := range f.all {
		if f.dead[i] {
			continue
		}
		at, share := f.clock(i), f.packetsSent[i][theKey]
		part := 1.0
		if at < GrantHorizon+1 {
			part = 0.5 // see GrantHorizon
		}
		if at < share.GrantedUntil {
			part -= share.Granted
		}
		if at < share.LeasedUntil {
			part += share.Leased
		}
		sum += max(0, part) / float64(f.n)
	}
	return sum
}

func (f *fleet) check() error {
	if use := f.inUse(); use > 1+1e-6 {
		return fmt.Errorf("parts in use sum to %.4f of the limit", use)
	}
	for i, c := range f.all {
		if route := c.groups[theKey]; route != nil && !f.dead[i] {
			for who, slot := range route.peerSamples {
				if j := slices.Index(f.names, who); slot.count.Incarnation == f.start[j] && slot.count.Calls > f.calls[j] {
					return fmt.Errorf("%s counts %d calls of %s, there were %d", c.config.Self, slot.count.Calls, who, f.calls[j])
				}
			}
			share := c.share(route)
			sum := route.usage
			for _, slot := range route.peerSamples { // of one that spoke, as much may be likely of each
				sum += slot.count.Usage * Units(len(f.names)-1)
			}
			if f.peak[i] = max(f.peak[i], float64(sum)/float64(whole)); share.Load > f.peak[i]+1e-9 {
				return fmt.Errorf("%s is notified of a load of %v, its counts never made more than %v", c.config.Self, share.Load, f.peak[i])
			}
		}
	}
	return nil
}

// steps are what may happen next among three couriers: a needs much, b and c little.
func steps() []func(*fleet) {
	word := func(f *fleet, do func(SendPacket)) {
		if len(f.way) > 0 {
			w := f.way[0]
			f.way = f.way[1:]
			do(w)
		}
	}
	return []func(*fleet){
		func(f *fleet) { f.tick(0) },
		func(f *fleet) { f.tick(1); f.tick(2) },
		func(f *fleet) { word(f, f.deliver) }, // in order
		func(f *fleet) {
			word(f, func(action SendPacket) { f.deliver(action); f.kept = append(f.kept, action) })
		}, // and again later
		func(f *fleet) { word(f, func(SendPacket) {}) }, // lost
		func(f *fleet) { slices.Reverse(f.way) },        // overtaken
		func(f *fleet) {
			all := f.kept
			f.kept = nil
			for _, action := range all {
				f.deliver(action)
			}
		}, // replayed
		func(f *fleet) { f.pass(second / 2) },
		func(f *fleet) { f.pass(leaseSpan - second/10) },
		func(f *fleet) { f.pass(second / 10) },
		func(f *fleet) { f.dead[1] = true },           // the grantor is killed
		func(f *fleet) { f.begin(1) },                 // and is back, with nothing kept
		func(f *fleet) { f.dead[0] = true },           // the lessee
		func(f *fleet) { f.begin(0) },                 //
		func(f *fleet) { f.paused[0] = !f.paused[0] }, // stands still, or goes on
		func(f *fleet) { f.paused[1] = !f.paused[1] }, //
		func(f *fleet) { f.need[0], f.need[1] = f.need[1], f.need[0] },
	}
}

// settled is a fleet past its start, in which a uses its whole part and has just asked.
func settled() *fleet {
	f := newFleet(3)
	f.need[0] = 90
	for range 5 {
		f.pass(second)
		for i := range f.all {
			f.tick(i)
		}
		f.way = nil
	}
	f.pass(leaseSpan / 2) // what was asked is given up
	f.tick(0)
	return f
}

func run(order []int, all []func(*fleet), plant func(*fleet, int)) error {
	f := settled()
	f.injectFault = plant
	for _, i := range order {
		all[i](f)
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestEveryOrder plays every order of four of seventeen steps of three couriers, of which one has just asked: 83,521 worlds. With
// PINEPORT_DEEP set, of five: 1,419,857.
func TestEveryOrder(t *testing.T) {
	all, n, depth := steps(), 0, 4
	if os.Getenv("PINEPORT_DEEP") != "" {
		depth = 5
	}
	modelcheck.ForEachSequence(depth, len(all), func(order []int) bool {
		n++
		if err := run(order, all, nil); err != nil {
			t.Errorf("%v: %v", order, err)
			return false
		}
		return true
	})
	t.Logf("%d worlds", n)
}

// TestAnswersToAnEarlierStart: a courier that begins anew takes no lease that its earlier start asked for, though it asks again, of the
// same member and with the same salt. Failure: walk 6,786 of 10,000, parts in use summed to 1.17 of the limit.
func TestAnswersToAnEarlierStart(t *testing.T) {
	f := newFleet(3)
	f.need[0] = 60
	for range 5 {
		f.pass(second)
		f.tick(1)
		f.tick(2)
	}
	f.way = nil
	asks := func() {
		f.begin(0)
		f.tick(0)
		f.pass(second / 2)
		f.tick(0)
	}
	asks()
	for _, action := range f.way {
		f.deliver(action)
	}
	var leases []SendPacket
	for _, action := range f.way {
		if len(action.Packet.Leases) > 0 {
			leases = append(leases, action)
		}
	}
	asks()
	for _, action := range leases {
		f.deliver(action)
	}
	route := f.all[0].groups[theKey]
	if len(leases) == 0 || len(route.requests) == 0 {
		t.Fatalf("%d leases, %d asked: the case did not come up", len(leases), len(route.requests))
	}
	if len(route.leases) > 0 {
		t.Errorf("%v was granted to an earlier start", route.leases)
	}
}

// walk plays a long order drawn from a seed.
func walk(seed int64, steps []func(*fleet), plant func(*fleet, int)) error {
	return run(modelcheck.RandomSequence(seed, 120, len(steps)), steps, plant)
}

// TestRandomWalks goes beyond every order; PINEPORT_DEEP plays 10,000 seeds.
func TestRandomWalks(t *testing.T) {
	all, seeds := steps(), int64(500)
	calm := []func(*fleet){all[0], all[1], all[2], all[2], all[2], all[2], all[7], all[11]} // leases build up before a grantor begins anew
	if os.Getenv("PINEPORT_DEEP") != "" {
		seeds = 10000
	}
	for seed := range seeds {
		if err := walk(seed, all, nil); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if err := walk(seed, calm, nil); err != nil {
			t.Fatalf("seed %d, calm: %v", seed, err)
		}
	}
}

// TestPlantedFaults shows that the checks see what they are there for.
func TestPlantedFaults(t *testing.T) {
	all := steps()
	parts := func(f *fleet, i int) *groupState { return f.all[i].groups[theKey] }
	for name, plant := range map[string]func(*fleet, int){
		"a loan that lapses too late": func(f *fleet, i int) {
			if share, ok := f.packetsSent[i][theKey]; ok && share.Leased > 0 {
				share.LeasedUntil += leaseSpan / 2
				f.packetsSent[i][theKey] = share
			}
		},
		"lent before it is taken off": func(f *fleet, i int) {
			if share, ok := f.packetsSent[i][theKey]; ok {
				share.Granted = 0
				f.packetsSent[i][theKey] = share
			}
		},
		"back too early": func(f *fleet, i int) {
			if share, ok := f.packetsSent[i][theKey]; ok {
				share.GrantedUntil -= grantSpan / 2
				f.packetsSent[i][theKey] = share
			}
		},
		"a restart that knows of no loan": func(f *fleet, i int) { f.began[i] = min(f.began[i], f.now-2*GrantHorizon) },
		"a count that is merged twice": func(f *fleet, i int) {
			if route := parts(f, i); route != nil {
				for who, slot := range route.peerSamples {
					slot.count.Calls *= 2
					route.peerSamples[who] = slot
				}
			}
		},
		"a loan that any may take": func(f *fleet, i int) {
			if route := parts(f, i); route != nil { // who hears a word again takes it up again
				for _, lease := range route.leases {
					route.requests[lease.id] = request{lease.courier, whole, lease.until - leaseSpan}
				}
			}
		},
	} {
		caught := false
		for seed := int64(0); seed < 600 && !caught; seed++ { // some faults show where little else goes wrong
			caught = walk(seed, all, plant) != nil || walk(seed, []func(*fleet){all[0], all[2], all[3], all[6], all[7]}, plant) != nil
		}
		if !caught {
			t.Errorf("%s: not seen", name)
		}
	}
}

// TestLeasesReachCouriersInNeed: a busy courier among idle ones comes to use more than its part, and the idle ones together less.
func TestLeasesReachCouriersInNeed(t *testing.T) {
	f := newFleet(3)
	f.need = []float64{50, 8, 2}
	widest := 0.0
	for range 60 {
		f.pass(second / 2)
		for i := range f.all {
			f.tick(i)
		}
		for len(f.way) > 0 {
			action := f.way[0]
			f.way = f.way[1:]
			f.deliver(action)
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
		if share := f.packetsSent[0][theKey]; f.clock(0) < share.LeasedUntil {
			widest = max(widest, share.Leased)
		}
	}
	if widest < 0.5 {
		t.Errorf("its part grew by %.2f of itself at most", widest)
	}
	if share := f.packetsSent[0][theKey]; math.Abs(share.Load-0.6) > 0.1 {
		t.Errorf("it is notified of a load of %.2f, 0.60 is used", share.Load)
	}
}

// TestFleetChanges: parts keep within the limit while the fleet doubles under leases that stand, and while it falls to one in three, each
// courier hearing of it at another time. Failures meant: base parts shrink under what was granted from them; one that counts fewer early
// takes what others still use.
func TestFleetChanges(t *testing.T) {
	f := newFleet(3)
	f.need = []float64{90, 1, 1}
	round := func() {
		f.pass(second / 2)
		for i := range f.all {
			f.tick(i)
		}
		for len(f.way) > 0 {
			action := f.way[0]
			f.way = f.way[1:]
			f.deliver(action)
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	}
	for n := 0; f.packetsSent[0][theKey].Leased < 0.5; n++ {
		if round(); n > 50 {
			t.Fatalf("nothing much is granted: %+v", f.packetsSent[0][theKey])
		}
	}
	f.n = 6 // membership tells all of them before the new ones begin
	for i := range f.all {
		f.tick(i)
	}
	for range 3 {
		f.add(10)
		for range 3 {
			round()
		}
	}
	for range 20 {
		round()
	}
	for _, gone := range []int{1, 2, 4, 5} {
		f.dead[gone] = true
	}
	for range 10 { // still counted: their parts lie idle
		round()
	}
	f.n = 2
	for range 20 {
		round()
	}
}

// TestOtherVersions: what a later version says besides is passed over; one that may not be read is refused.
func TestOtherVersions(t *testing.T) {
	type later struct {
		Version int       `cbor:"1,keyasint"`
		From    string    `cbor:"2,keyasint"`
		Asks    []Request `cbor:"3,keyasint"`
		More    string    `cbor:"77,keyasint"`
	}
	w := later{Version: Version, From: "b", Asks: []Request{{theKey, 5, 9}}, More: "said by a later version"}
	text, err := cbor.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(text); err != nil || len(got.Requests) != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	w.Version++
	if text, err = cbor.Marshal(w); err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(text); err == nil {
		t.Error("a version that may not be read is")
	}
}

// TestImplausiblePacketsAreRejected: whatever one member says, no courier's room grows by it beyond what it asked that one for, nobody grants more than half,
// and what is kept has an end.
func TestImplausiblePacketsAreRejected(t *testing.T) {
	f := settled()
	c, at := f.all[0], f.clock(0)
	asked := f.way
	for i := range 5000 {
		packet := Packet{Version: Version, From: fmt.Sprintf("liar%d", i%700),
			Samples: []Sample{{Key: Key{Dest: int32(i)}, Courier: fmt.Sprintf("x%d", i), Incarnation: math.MaxUint64, Sequence: math.MaxUint64, Usage: maxUsage},
				{Key: theKey, Courier: fmt.Sprintf("x%d", i), Usage: maxUsage}, {Key: theKey, Courier: "a", Incarnation: 99, Usage: maxUsage}},
			Leases: []Lease{{theKey, whole, uint64(i)}}, Requests: []Request{{theKey, whole, uint64(i)}}}
		if i == 0 && len(asked) > 0 { // one that was asked grants to excess, and another answers in its name
			a := asked[0].Packet.Requests[0]
			packet.Leases = append(packet.Leases, Lease{theKey, a.Units, a.LeaseID}, Lease{theKey, whole, a.LeaseID})
		}
		c.Handle(at, PacketReceived{packet})
	}
	route := c.groups[theKey]
	if len(route.leases) != 0 || len(route.grants) != 0 {
		t.Errorf("%v was taken and %v granted", route.leases, route.grants)
	}
	if len(c.groups) > maxKeys || c.peerSampleCount > maxPeerSamples {
		t.Errorf("%d routes and %d counts are kept", len(c.groups), c.peerSampleCount)
	}
	b := f.all[1]
	for i := range 50 {
		b.Handle(f.clock(1), PacketReceived{Packet{Version: Version, From: "c", Requests: []Request{{theKey, whole, uint64(i)}}}})
	}
	if away := b.grantedUnits(b.groups[theKey]); away == 0 || away > b.baseUnits()/2 {
		t.Errorf("of a part of %d, %d is granted", b.baseUnits(), away)
	}
	for _, bad := range []Packet{{From: "b"}, {Version: Version}, {Version: Version, From: "b", Requests: []Request{{theKey, -5, 1}}},
		{Version: Version, From: "b", Leases: []Lease{{theKey, whole + 1, 1}}}, {Version: Version, From: "b", Samples: []Sample{{Key: theKey, Courier: "b", Usage: -1}}},
		{Version: Version, From: "b", Samples: []Sample{{Key: theKey, Courier: "b", Age: -1}}}} {
		if bad.check() == nil {
			t.Errorf("%+v is taken for words", bad)
		}
	}
}

// TestPacketsFit: what is said to one member fits into a datagram, also where destinations and couriers are many and names long.
func TestPacketsFit(t *testing.T) {
	long := func(i int) string { return fmt.Sprintf("courier-of-some-building-%04d", i) }
	c := New(1, Config{Self: long(0), Incarnation: 1, Couriers: 300, Seed: 1})
	var alive []string
	for i := range 299 {
		alive = append(alive, long(i+1))
	}
	said, most := 0, 0
	for tick := range 20 {
		var all []Demand
		for d := range 1000 {
			all = append(all, Demand{Key: Key{int32(d), long(d)}, Limit: 10, Calls: uint64(tick * (d % 9)), Waiting: d % 7})
		}
		for _, a := range c.Handle(Micros(tick+1)*second, FleetChanged{300, alive}, DemandsChanged{all}, Tick{}) {
			if action, ok := a.(SendPacket); ok {
				said++
				if text, err := Encode(action.Packet); err != nil || len(text) > maxPacketBytes {
					t.Fatalf("%d bytes (%v)", len(text), err)
				}
				most = max(most, len(action.Packet.Samples))
			}
		}
	}
	if said == 0 || most < 8 {
		t.Errorf("%d packets, %d counts in one at most", said, most)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (out []Action) {
		f := settled()
		f.injectFault = func(f *fleet, i int) { out = append(out, f.all[i].actions...) }
		for i := range 40 {
			steps()[i%13](f)
		}
		return out
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Error("the same events had other actions")
	}
}

// FuzzDecode: any bytes are words that keep the bounds, or none.
func FuzzDecode(f *testing.F) {
	text, err := Encode(Packet{From: "a", Requests: []Request{{theKey, 5, 9}}, Leases: []Lease{{theKey, 5, 9}}, Samples: []Sample{{Key: theKey, Courier: "b", Usage: 7}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Add([]byte{0xa1, 0x05, 0x9f})
	f.Fuzz(func(t *testing.T, text []byte) {
		packet, err := Decode(text)
		if err != nil {
			return
		}
		c := New(1, Config{Self: "z", Incarnation: 1, Couriers: 3})
		c.Handle(10*second, FleetChanged{3, []string{packet.From}}, DemandsChanged{[]Demand{{Key: theKey, Limit: 10}}}, PacketReceived{packet}, Tick{})
		for _, route := range c.groups {
			if away := c.grantedUnits(route); away > c.baseUnits()/2 || len(route.leases) > 0 {
				t.Errorf("%d granted, %v taken", away, route.leases)
			}
		}
	})
}
