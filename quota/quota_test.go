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
	trueTime      Micros // true
	names         []string
	clockRates    []float64
	allocators    []*Allocator
	startedAt     []Micros // by the true clock
	incarnations  []uint64
	calls         []uint64
	callRates     []float64 // calls a second, of a limit of 100
	paused        []bool
	dead          []bool
	appliedShares []map[Key]Share // what its decisions go by
	inFlight      []SendPacket    // words under way
	replayable    []SendPacket    // words that may come again
	couriers      int             // couriers that each counts on
	maxLoad       map[int]float64 // the highest load that each had reason to assume in
	afterHandle   func(f *fleet, i int)
}

const testLimit = 100

var testKey = Key{Dest: 1}

func newFleet(n int) *fleet {
	f := &fleet{trueTime: 1000 * second, couriers: n, clockRates: []float64{1, 0.99, 1.01}, maxLoad: map[int]float64{}}
	for range n {
		f.add(0)
	}
	return f
}

// add begins one more courier.
func (f *fleet) add(callRate float64) {
	i := len(f.allocators)
	f.names = append(f.names, string(rune('a'+i)))
	f.allocators, f.startedAt, f.incarnations, f.calls = append(f.allocators, nil), append(f.startedAt, 0), append(f.incarnations, 0), append(f.calls, 0)
	f.callRates, f.paused, f.dead, f.appliedShares = append(f.callRates, callRate), append(f.paused, false), append(f.dead, false), append(f.appliedShares, nil)
	f.restart(i)
}

func (f *fleet) clock(i int) Micros {
	return 1 + Micros(float64(f.trueTime-f.startedAt[i])*f.clockRates[i%len(f.clockRates)])
}

func (f *fleet) restart(i int) {
	f.startedAt[i], f.calls[i], f.dead[i], f.paused[i] = f.trueTime, 0, false, false
	f.incarnations[i]++
	f.appliedShares[i] = map[Key]Share{}
	f.allocators[i] = New(f.clock(i), Config{Self: f.names[i], Incarnation: f.incarnations[i], Couriers: f.couriers, Seed: int64(i)})
}

// do has a courier decide, and its words leave.
func (f *fleet) handle(i int, events ...Event) {
	if f.dead[i] || f.paused[i] {
		return
	}
	for _, a := range f.allocators[i].Handle(f.clock(i), events...) {
		switch a := a.(type) {
		case ShareChanged:
			for _, share := range a.Shares {
				f.appliedShares[i][share.Key] = share
			}
		case SendPacket:
			f.inFlight = append(f.inFlight, a)
		}
	}
	if f.afterHandle != nil {
		f.afterHandle(f, i)
	}
}

func (f *fleet) tick(i int) {
	var others []string
	for _, n := range f.names {
		if n != f.names[i] {
			others = append(others, n)
		}
	}
	f.handle(i, FleetChanged{f.couriers, others}, DemandsChanged{[]Demand{{Key: testKey, Limit: testLimit, Calls: f.calls[i], Delivered: f.calls[i]}}}, Tick{})
}

func (f *fleet) deliver(action SendPacket) {
	if i := slices.Index(f.names, action.To); i >= 0 {
		f.handle(i, PacketReceived{action.Packet})
	}
}

func (f *fleet) advance(span Micros) {
	f.trueTime += span
	for i := range f.allocators {
		f.calls[i] += uint64(f.callRates[i] * float64(span) / float64(second))
	}
}

// inUse is the share of the limit that all may use at this instant, by what their decisions were notified.
func (f *fleet) usableShare() (sum float64) {
	for i := range f.allocators {
		if f.dead[i] {
			continue
		}
		at, share := f.clock(i), f.appliedShares[i][testKey]
		usable := 1.0
		if at < GrantHorizon+1 {
			usable = 0.5 // see GrantHorizon
		}
		if at < share.GrantedUntil {
			usable -= share.Granted
		}
		if at < share.LeasedUntil {
			usable += share.Leased
		}
		sum += max(0, usable) / float64(f.couriers)
	}
	return sum
}

func (f *fleet) check() error {
	if usable := f.usableShare(); usable > 1+1e-6 {
		return fmt.Errorf("parts in use sum to %.4f of the limit", usable)
	}
	for i, c := range f.allocators {
		if group := c.groups[testKey]; group != nil && !f.dead[i] {
			for name, peer := range group.peerSamples {
				if j := slices.Index(f.names, name); peer.sample.Incarnation == f.incarnations[j] && peer.sample.Calls > f.calls[j] {
					return fmt.Errorf("%s counts %d calls of %s, there were %d", c.config.Self, peer.sample.Calls, name, f.calls[j])
				}
			}
			share := c.share(group)
			sum := group.usage
			for _, peer := range group.peerSamples { // of one that spoke, as much may be likely of each
				sum += peer.sample.Usage * Units(len(f.names)-1)
			}
			if f.maxLoad[i] = max(f.maxLoad[i], float64(sum)/float64(fullLimit)); share.Load > f.maxLoad[i]+1e-9 {
				return fmt.Errorf("%s is notified of a load of %v, its counts never made more than %v", c.config.Self, share.Load, f.maxLoad[i])
			}
		}
	}
	return nil
}

// steps are what may happen next among three couriers: a needs much, b and c little.
func steps() []func(*fleet) {
	withNextPacket := func(f *fleet, do func(SendPacket)) {
		if len(f.inFlight) > 0 {
			w := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			do(w)
		}
	}
	return []func(*fleet){
		func(f *fleet) { f.tick(0) },
		func(f *fleet) { f.tick(1); f.tick(2) },
		func(f *fleet) { withNextPacket(f, f.deliver) }, // in order
		func(f *fleet) {
			withNextPacket(f, func(action SendPacket) { f.deliver(action); f.replayable = append(f.replayable, action) })
		}, // and again later
		func(f *fleet) { withNextPacket(f, func(SendPacket) {}) }, // lost
		func(f *fleet) { slices.Reverse(f.inFlight) },             // overtaken
		func(f *fleet) {
			all := f.replayable
			f.replayable = nil
			for _, action := range all {
				f.deliver(action)
			}
		}, // replayed
		func(f *fleet) { f.advance(second / 2) },
		func(f *fleet) { f.advance(leaseDuration - second/10) },
		func(f *fleet) { f.advance(second / 10) },
		func(f *fleet) { f.dead[1] = true },           // the grantor is killed
		func(f *fleet) { f.restart(1) },               // and is back, with nothing kept
		func(f *fleet) { f.dead[0] = true },           // the lessee
		func(f *fleet) { f.restart(0) },               //
		func(f *fleet) { f.paused[0] = !f.paused[0] }, // stands still, or goes on
		func(f *fleet) { f.paused[1] = !f.paused[1] }, //
		func(f *fleet) { f.callRates[0], f.callRates[1] = f.callRates[1], f.callRates[0] },
	}
}

// settled is a fleet past its start, in which a uses its whole part and has just asked.
func settledFleet() *fleet {
	f := newFleet(3)
	f.callRates[0] = 90
	for range 5 {
		f.advance(second)
		for i := range f.allocators {
			f.tick(i)
		}
		f.inFlight = nil
	}
	f.advance(leaseDuration / 2) // what was asked is given up
	f.tick(0)
	return f
}

func run(order []int, all []func(*fleet), injectFault func(*fleet, int)) error {
	f := settledFleet()
	f.afterHandle = injectFault
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
	modelcheck.Orders(depth, len(all), func(order []int) bool {
		n++
		if err := run(order, all, nil); err != nil {
			t.Errorf("%v: %v", order, err)
			return false
		}
		return true
	})
	t.Logf("%d worlds", n)
}

// TestLeasesToEarlierIncarnationAreIgnored: a courier that begins anew takes no lease that its earlier start asked for, though it asks again, of the
// same member and with the same salt. Failure: walk 6,786 of 10,000, parts in use summed to 1.17 of the limit.
func TestLeasesToEarlierIncarnationAreIgnored(t *testing.T) {
	f := newFleet(3)
	f.callRates[0] = 60
	for range 5 {
		f.advance(second)
		f.tick(1)
		f.tick(2)
	}
	f.inFlight = nil
	restartAndRequest := func() {
		f.restart(0)
		f.tick(0)
		f.advance(second / 2)
		f.tick(0)
	}
	restartAndRequest()
	for _, action := range f.inFlight {
		f.deliver(action)
	}
	var leases []SendPacket
	for _, action := range f.inFlight {
		if len(action.Packet.Leases) > 0 {
			leases = append(leases, action)
		}
	}
	restartAndRequest()
	for _, action := range leases {
		f.deliver(action)
	}
	group := f.allocators[0].groups[testKey]
	if len(leases) == 0 || len(group.requests) == 0 {
		t.Fatalf("%d leases, %d asked: the case did not come up", len(leases), len(group.requests))
	}
	if len(group.leases) > 0 {
		t.Errorf("%v was granted to an earlier start", group.leases)
	}
}

// walk plays a long order drawn from a seed.
func walk(seed int64, steps []func(*fleet), injectFault func(*fleet, int)) error {
	return run(modelcheck.Walk(seed, 120, len(steps)), steps, injectFault)
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

// TestInjectedFaultsAreDetected shows that the checks see what they are there for.
func TestInjectedFaultsAreDetected(t *testing.T) {
	all := steps()
	groupOf := func(f *fleet, i int) *groupState { return f.allocators[i].groups[testKey] }
	for name, injectFault := range map[string]func(*fleet, int){
		"a loan that lapses too late": func(f *fleet, i int) {
			if share, ok := f.appliedShares[i][testKey]; ok && share.Leased > 0 {
				share.LeasedUntil += leaseDuration / 2
				f.appliedShares[i][testKey] = share
			}
		},
		"lent before it is taken off": func(f *fleet, i int) {
			if share, ok := f.appliedShares[i][testKey]; ok {
				share.Granted = 0
				f.appliedShares[i][testKey] = share
			}
		},
		"back too early": func(f *fleet, i int) {
			if share, ok := f.appliedShares[i][testKey]; ok {
				share.GrantedUntil -= grantDuration / 2
				f.appliedShares[i][testKey] = share
			}
		},
		"a restart that knows of no loan": func(f *fleet, i int) { f.startedAt[i] = min(f.startedAt[i], f.trueTime-2*GrantHorizon) },
		"a count that is merged twice": func(f *fleet, i int) {
			if group := groupOf(f, i); group != nil {
				for name, peer := range group.peerSamples {
					peer.sample.Calls *= 2
					group.peerSamples[name] = peer
				}
			}
		},
		"a loan that any may take": func(f *fleet, i int) {
			if group := groupOf(f, i); group != nil { // who hears a word again takes it up again
				for _, lease := range group.leases {
					group.requests[lease.id] = request{lease.courier, fullLimit, lease.until - leaseDuration}
				}
			}
		},
	} {
		caught := false
		for seed := int64(0); seed < 600 && !caught; seed++ { // some faults show where little else goes wrong
			caught = walk(seed, all, injectFault) != nil || walk(seed, []func(*fleet){all[0], all[2], all[3], all[6], all[7]}, injectFault) != nil
		}
		if !caught {
			t.Errorf("%s: not seen", name)
		}
	}
}

// TestLeasesReachCouriersInNeed: a busy courier among idle ones comes to use more than its part, and the idle ones together less.
func TestLeasesReachCouriersInNeed(t *testing.T) {
	f := newFleet(3)
	f.callRates = []float64{50, 8, 2}
	maxLeased := 0.0
	for range 60 {
		f.advance(second / 2)
		for i := range f.allocators {
			f.tick(i)
		}
		for len(f.inFlight) > 0 {
			action := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			f.deliver(action)
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
		if share := f.appliedShares[0][testKey]; f.clock(0) < share.LeasedUntil {
			maxLeased = max(maxLeased, share.Leased)
		}
	}
	if maxLeased < 0.5 {
		t.Errorf("its part grew by %.2f of itself at most", maxLeased)
	}
	if share := f.appliedShares[0][testKey]; math.Abs(share.Load-0.6) > 0.1 {
		t.Errorf("it is notified of a load of %.2f, 0.60 is used", share.Load)
	}
}

// TestFleetChanges: parts keep within the limit while the fleet doubles under leases that stand, and while it falls to one in three, each
// courier hearing of it at another time. Failures meant: base parts shrink under what was granted from them; one that counts fewer early
// takes what others still use.
func TestFleetChanges(t *testing.T) {
	f := newFleet(3)
	f.callRates = []float64{90, 1, 1}
	round := func() {
		f.advance(second / 2)
		for i := range f.allocators {
			f.tick(i)
		}
		for len(f.inFlight) > 0 {
			action := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			f.deliver(action)
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	}
	for n := 0; f.appliedShares[0][testKey].Leased < 0.5; n++ {
		if round(); n > 50 {
			t.Fatalf("nothing much is granted: %+v", f.appliedShares[0][testKey])
		}
	}
	f.couriers = 6 // membership tells all of them before the new ones begin
	for i := range f.allocators {
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
	for _, stopped := range []int{1, 2, 4, 5} {
		f.dead[stopped] = true
	}
	for range 10 { // still counted: their parts lie idle
		round()
	}
	f.couriers = 2
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
	w := later{Version: Version, From: "b", Asks: []Request{{testKey, 5, 9}}, More: "said by a later version"}
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
	f := settledFleet()
	c, at := f.allocators[0], f.clock(0)
	sentRequests := f.inFlight
	for i := range 5000 {
		packet := Packet{Version: Version, From: fmt.Sprintf("liar%d", i%700),
			Samples: []Sample{{Key: Key{Dest: int32(i)}, Courier: fmt.Sprintf("x%d", i), Incarnation: math.MaxUint64, Sequence: math.MaxUint64, Usage: maxUsage},
				{Key: testKey, Courier: fmt.Sprintf("x%d", i), Usage: maxUsage}, {Key: testKey, Courier: "a", Incarnation: 99, Usage: maxUsage}},
			Leases: []Lease{{testKey, fullLimit, uint64(i)}}, Requests: []Request{{testKey, fullLimit, uint64(i)}}}
		if i == 0 && len(sentRequests) > 0 { // one that was asked grants to excess, and another answers in its name
			a := sentRequests[0].Packet.Requests[0]
			packet.Leases = append(packet.Leases, Lease{testKey, a.Units, a.LeaseID}, Lease{testKey, fullLimit, a.LeaseID})
		}
		c.Handle(at, PacketReceived{packet})
	}
	group := c.groups[testKey]
	if len(group.leases) != 0 || len(group.grants) != 0 {
		t.Errorf("%v was taken and %v granted", group.leases, group.grants)
	}
	if len(c.groups) > maxKeys || c.peerSampleCount > maxPeerSamples {
		t.Errorf("%d routes and %d counts are kept", len(c.groups), c.peerSampleCount)
	}
	b := f.allocators[1]
	for i := range 50 {
		b.Handle(f.clock(1), PacketReceived{Packet{Version: Version, From: "c", Requests: []Request{{testKey, fullLimit, uint64(i)}}}})
	}
	if granted := b.grantedUnits(b.groups[testKey]); granted == 0 || granted > b.baseUnits()/2 {
		t.Errorf("of a part of %d, %d is granted", b.baseUnits(), granted)
	}
	for _, bad := range []Packet{{From: "b"}, {Version: Version}, {Version: Version, From: "b", Requests: []Request{{testKey, -5, 1}}},
		{Version: Version, From: "b", Leases: []Lease{{testKey, fullLimit + 1, 1}}}, {Version: Version, From: "b", Samples: []Sample{{Key: testKey, Courier: "b", Usage: -1}}},
		{Version: Version, From: "b", Samples: []Sample{{Key: testKey, Courier: "b", Age: -1}}}} {
		if bad.validate() == nil {
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
	packets, maxSamples := 0, 0
	for tick := range 20 {
		var all []Demand
		for d := range 1000 {
			all = append(all, Demand{Key: Key{int32(d), long(d)}, Limit: 10, Calls: uint64(tick * (d % 9)), Waiting: d % 7})
		}
		for _, a := range c.Handle(Micros(tick+1)*second, FleetChanged{300, alive}, DemandsChanged{all}, Tick{}) {
			if action, ok := a.(SendPacket); ok {
				packets++
				if text, err := Encode(action.Packet); err != nil || len(text) > maxPacketBytes {
					t.Fatalf("%d bytes (%v)", len(text), err)
				}
				maxSamples = max(maxSamples, len(action.Packet.Samples))
			}
		}
	}
	if packets == 0 || maxSamples < 8 {
		t.Errorf("%d packets, %d counts in one at most", packets, maxSamples)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (out []Action) {
		f := settledFleet()
		f.afterHandle = func(f *fleet, i int) { out = append(out, f.allocators[i].actions...) }
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
	text, err := Encode(Packet{From: "a", Requests: []Request{{testKey, 5, 9}}, Leases: []Lease{{testKey, 5, 9}}, Samples: []Sample{{Key: testKey, Courier: "b", Usage: 7}}})
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
		c.Handle(10*second, FleetChanged{3, []string{packet.From}}, DemandsChanged{[]Demand{{Key: testKey, Limit: 10}}}, PacketReceived{packet}, Tick{})
		for _, group := range c.groups {
			if granted := c.grantedUnits(group); granted > c.baseUnits()/2 || len(group.leases) > 0 {
				t.Errorf("%d granted, %v taken", granted, group.leases)
			}
		}
	})
}
