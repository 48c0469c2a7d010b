package gossip

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pineport/membership"
	"pineport/testbed/netfault"
)

// fleet is a number of members on a simulated network in virtual time.
type fleet struct {
	t            *testing.T
	mesh         *netfault.Mesh
	members      []*Member
	incarnations []uint64
}

func (f *fleet) start(i int) {
	f.incarnations[i]++
	member, err := Open(Options{Name: fmt.Sprintf("n%d", i), Incarnation: f.incarnations[i], FleetSize: len(f.members), Join: []string{f.mesh.Addr(0), f.mesh.Addr((i + 1) % len(f.members))},
		Seed: int64(i), Transport: f.mesh.Join(i)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[i] = member
}

func startFleet(t *testing.T, n int, seed int64) *fleet {
	f := &fleet{t: t, mesh: netfault.NewMesh(n+1, seed), members: make([]*Member, n), incarnations: make([]uint64, n)}
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleet) stop() {
	for _, member := range f.members {
		member.HandOff()
	}
	time.Sleep(time.Minute) // pending timers and goroutines of memberlist end
}

// settle waits until condition holds for all members except the given ones, and returns how long that took.
func (f *fleet) settle(within time.Duration, condition func(i int, member *Member) bool, except ...int) time.Duration {
	f.t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < within {
		ok := true
		for i, member := range f.members {
			skip := false
			for _, b := range except {
				skip = skip || b == i
			}
			ok = ok && (skip || condition(i, member))
		}
		if ok {
			return time.Since(startedAt)
		}
		time.Sleep(100 * time.Millisecond)
	}
	reported := 0
	for i, member := range f.members {
		if snapshot := member.Snapshot(); !condition(i, member) && reported < 8 {
			reported++
			f.t.Errorf("n%d, incarnation %d: %s, %d to %d couriers, %d events lost", i, member.Incarnation(), snapshot.LocalStatus, snapshot.MinCouriers, snapshot.MaxCouriers, member.Metrics().LostEvents)
			for _, o := range snapshot.Members {
				if o.State != membership.Alive {
					f.t.Errorf("  %s is %v, incarnation %d", o.Name, o.State, o.Incarnation)
				}
			}
		}
	}
	f.t.FailNow()
	return 0
}

func isComplete(_ int, member *Member) bool {
	return member.Snapshot().LocalStatus == membership.Complete.String()
}

func stateOf(member *Member, name string) membership.State {
	for _, o := range member.Snapshot().Members {
		if string(o.Name) == name {
			return o.State
		}
	}
	return membership.Unknown
}

// TestRecoveryFromRandomFaults injects random network faults. After the faults all members see the complete fleet again, and during the
// faults MaxCouriers of no member falls below the fleet size.
func TestRecoveryFromRandomFaults(t *testing.T) {
	seeds, n := 12, 24
	if s, err := strconv.Atoi(os.Getenv("PINEPORT_SEEDS")); err == nil {
		seeds = s
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, n, int64(seed))
			defer f.stop()
			f.settle(2*time.Minute, isComplete)
			for _, fault := range netfault.RandomFaults(int64(seed), 4, n, 120) {
				end := f.mesh.Begin(fault)
				for range int(fault.Length * 10) {
					time.Sleep(100 * time.Millisecond)
					for i, member := range f.members {
						if snapshot := member.Snapshot(); snapshot.MaxCouriers < n {
							t.Fatalf("seed %d, fault %s: MaxCouriers of n%d is %d", seed, fault.Kind, i, snapshot.MaxCouriers)
						}
					}
				}
				if err := end(); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
			f.settle(3*time.Minute, isComplete)
		})
	}
}

// TestFailuresInFleetOf300 starts 300 members, stops a tenth of them, waits until all others have detected the failures, and restarts them.
func TestFailuresInFleetOf300(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 300
		f := startFleet(t, n, 1)
		defer f.stop()
		t.Logf("complete after %v", f.settle(3*time.Minute, isComplete))
		var stopped []int
		for i := 0; i < n; i += 10 {
			stopped = append(stopped, i)
			f.mesh.Disconnect(i)
			f.members[i].HandOff()
		}
		detectionTime := f.settle(3*time.Minute, func(_ int, member *Member) bool {
			snapshot := member.Snapshot()
			return snapshot.MinCouriers == n-len(stopped) && snapshot.MaxCouriers == n
		}, stopped...)
		t.Logf("all members detected thirty failures after %v", detectionTime)
		for _, i := range stopped {
			f.start(i)
		}
		t.Logf("complete again after %v", f.settle(3*time.Minute, isComplete))
	})
}

// TestPartitionAndHeal partitions the fleet in two different ways. On each side MaxCouriers stays the fleet size, and after the partition
// heals all members see the complete fleet.
func TestPartitionAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 9
		f := startFleet(t, n, 3)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		for _, side := range [][]int{{0, 1, 2}, {3, 4, 5}} {
			end := f.mesh.Begin(netfault.Fault{Kind: "cut", From: side})
			f.settle(time.Minute, func(i int, member *Member) bool {
				snapshot := member.Snapshot()
				sideSize := 6
				for _, s := range side {
					if s == i {
						sideSize = 3
					}
				}
				return snapshot.MinCouriers == sideSize && snapshot.MaxCouriers == n && snapshot.LocalStatus == membership.Partial.String()
			})
			if err := end(); err != nil {
				t.Error(err)
			}
			f.settle(2*time.Minute, isComplete)
		}
	})
}

// TestOneWay drops packets in one direction between each pair of three members. MaxCouriers of no member
// falls, and the fleet becomes complete again afterwards.
func TestOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 5)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		var ends []func() error
		for _, p := range [][2]int{{0, 1}, {1, 2}, {2, 0}} {
			ends = append(ends, f.mesh.Begin(netfault.Fault{Kind: "one-way", From: p[:1], To: p[1:]}))
		}
		time.Sleep(40 * time.Second)
		for i, member := range f.members {
			if p := member.Snapshot(); p.MaxCouriers != 3 {
				t.Errorf("MaxCouriers of n%d is %d, want 3", i, p.MaxCouriers)
			}
		}
		for _, end := range ends {
			end()
		}
		f.settle(2*time.Minute, isComplete)
	})
}

// TestLeaveAndReturn verifies that a member that leaves is shown as left, not as failed, and returns with its next incarnation.
func TestLeaveAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5, 7)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		f.members[2].Leave()
		f.settle(time.Minute, func(_ int, member *Member) bool { return stateOf(member, "n2") == membership.Left }, 2)
		f.start(2)
		f.settle(time.Minute, isComplete)
		for i, member := range f.members {
			if member.Snapshot().Revoked != 0 {
				t.Errorf("n%d revoked a failure, want none reported", i)
			}
		}
	})
}

// TestStaleIncarnationAndNameConflict verifies that a courier restored from an older copy of its state folder continues with a higher
// incarnation, and that of two couriers with one name the one with the older incarnation steps down.
func TestStaleIncarnationAndNameConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5, 9)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		for range 3 { // the incarnation of n1 grows to 4
			f.members[1].Leave()
			f.start(1)
			f.settle(time.Minute, isComplete)
		}
		f.mesh.Disconnect(1)
		f.members[1].HandOff()
		f.incarnations[1] = 0 // the state folder is an older copy
		f.start(1)
		f.settle(time.Minute, func(_ int, member *Member) bool { return isComplete(0, member) && f.members[1].Incarnation() > 4 })

		duplicate, err := Open(Options{Name: "n1", Incarnation: 5000, FleetSize: 5, Join: []string{f.mesh.Addr(0)}, Transport: f.mesh.Join(5)})
		if err != nil {
			t.Fatal(err)
		}
		defer duplicate.HandOff()
		f.settle(2*time.Minute, func(i int, member *Member) bool {
			return i != 1 || member.Snapshot().LocalStatus == membership.SteppedDown.String()
		})
	})
}

// TestHostilePackets sends malformed packets from the address of n0 to n1, while n0 is stopped. After n0 has restarted, all members see the
// complete fleet again.
func TestHostilePackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 11)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		rng := rand.New(rand.NewSource(1))
		from := f.mesh.Join(0)
		f.members[0].HandOff()
		for range 2000 {
			junk := make([]byte, rng.Intn(1400))
			rng.Read(junk)
			if len(junk) > 0 && rng.Intn(2) == 0 {
				junk[0] = byte(rng.Intn(14)) // a valid memberlist message type
			}
			from.WriteTo(junk, f.mesh.Addr(1))
			delegate{f.members[1]}.MergeRemoteState(junk, false)
		}
		f.start(0)
		f.settle(2*time.Minute, isComplete)
	})
}

// TestLostEventsAreRecovered verifies that events dropped by a full queue are recovered from the member list. For the failure see resync.
func TestLostEventsAreRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4, 17)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		member := f.members[0]
		member.enqueue(membership.MemberReported{Name: "n1", Incarnation: 1, State: membership.Failed}) // a false report; the full queue below drops further events
		for member.lostEvents.Load() == 0 {
			member.enqueue(membership.MemberResponded{Name: "nobody"})
		}
		f.settle(5*time.Second, isComplete)
		member.enqueue(membership.MemberReported{Name: "n2", Incarnation: 1, State: membership.Failed}) // a false report without a dropped event: only the periodic resync corrects it
		time.Sleep(50 * time.Millisecond)
		f.settle(15*time.Second, isComplete)
	})
}

// TestReplays verifies that replayed packets neither revive a member that left nor bring back an old incarnation.
func TestReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4, 13)
		defer f.stop()
		f.mesh.RecordPackets = true
		f.settle(time.Minute, isComplete)
		f.members[3].Leave()
		f.settle(time.Minute, func(_ int, member *Member) bool { return stateOf(member, "n3") == membership.Left }, 3)
		f.members[2].Leave()
		f.start(2)
		f.settle(time.Minute, func(_ int, member *Member) bool { return stateOf(member, "n2") == membership.Alive }, 2, 3)
		n := f.mesh.Replay()
		time.Sleep(30 * time.Second)
		for i, member := range f.members[:3] {
			for _, o := range member.Snapshot().Members {
				if o.Name == "n3" && o.State != membership.Left || o.Name == "n2" && (o.State != membership.Alive || o.Incarnation != 2) {
					t.Errorf("n%d after %d replayed packets: %s is %v, incarnation %d", i, n, o.Name, o.State, o.Incarnation)
				}
			}
		}
	})
}

// TestSlowMember verifies that a member whose packets are delayed by more than the probe timeout makes each other member report at most
// four false failures on average in two minutes.
func TestSlowMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, 15)
		defer f.stop()
		f.settle(time.Minute, isComplete)
		end := f.mesh.Begin(netfault.Fault{Kind: "slow", From: []int{5}, Size: 400})
		time.Sleep(2 * time.Minute)
		if err := end(); err != nil {
			t.Error(err)
		}
		revokedByOthers := 0
		for i, member := range f.members {
			if i != 5 {
				revokedByOthers += member.Snapshot().Revoked
			}
			if snapshot := member.Snapshot(); snapshot.MaxCouriers != 12 {
				t.Errorf("MaxCouriers of n%d is %d, want 12", i, snapshot.MaxCouriers)
			}
		}
		t.Logf("in two minutes the eleven fast members revoked %d failures, the slow member %d", revokedByOthers, f.members[5].Snapshot().Revoked)
		if revokedByOthers > 11*4 {
			t.Errorf("the fast members revoked %d failures, want at most 44", revokedByOthers)
		}
		f.settle(2*time.Minute, isComplete)
	})
}

// freeLoopbackAddress returns a loopback address with a port that is free for UDP and TCP.
func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	l, err := listen("127.0.0.1:0", "127.0.0.1:1", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Shutdown()
	return l.tcp.Addr().String()
}

// TestMembersOfOtherFleetsAreIgnored uses real sockets. MemberAddresses with another fleet name, another key or no key are ignored, as are
// truncated and oversized packets and incomplete streams. The members of the fleet still find each other.
func TestMembersOfOtherFleetsAreIgnored(t *testing.T) {
	const key = "00112233445566778899aabbccddeeff"
	at := freeLoopbackAddress(t)
	open := func(name, fleet, key, listen string) *Member {
		member, err := Open(Options{Name: name, Incarnation: 1, FleetSize: 2, Fleet: fleet, Key: key, Listen: listen, Join: []string{at}, Interval: 50 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(member.HandOff)
		return member
	}
	a := open("a", "f", key, at)
	for _, s := range [][2]string{{"g", key}, {"f", "ff112233445566778899aabbccddeeff"}, {"f", ""}} {
		open("stranger-"+s[0]+s[1], s[0], s[1], freeLoopbackAddress(t))
	}
	u, err := net.Dial("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	rng := rand.New(rand.NewSource(2))
	junk := make([]byte, 60<<10)
	rng.Read(junk)
	for i := range 200 {
		u.Write(junk[:1+(i*977)%len(junk)])
	}
	for i := range maxStreams + 10 { // more than maxStreams, none with a complete message
		c, err := net.Dial("tcp", at)
		if err != nil {
			continue
		}
		defer c.Close()
		c.Write(junk[:i*100])
	}
	for end := time.Now().Add(20 * time.Second); a.Metrics().Network.Rejected == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if a.Metrics().Network.Rejected == 0 {
		t.Error("no packet or stream was rejected")
	}
	b := open("b", "f", key, freeLoopbackAddress(t))
	both := []*Member{a, b}
	// The member that is joined sends its list before it merges the other's, so either of the two may be complete first.
	isIncomplete := func(member *Member) bool { return member.Snapshot().LocalStatus != membership.Complete.String() }
	for end := time.Now().Add(40 * time.Second); slices.ContainsFunc(both, isIncomplete) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	for _, member := range both {
		if snapshot := member.Snapshot(); len(snapshot.Members) != 1 || snapshot.Members[0].State != membership.Alive {
			t.Errorf("%s: got members %+v, want the other member of the fleet, alive", snapshot.Self, snapshot.Members)
		}
	}
	if _, err := Open(Options{Name: "c", Listen: at}); err == nil {
		t.Error("opened a member at an address in use")
	}
	if _, err := Open(Options{Name: "c", Listen: freeLoopbackAddress(t), Key: "00"}); err == nil {
		t.Error("opened a member with an invalid key")
	}
}

// TestCostByFleetSize runs only with PINEPORT_GROWTH set. It logs the traffic per member and the heap of the test divided by the number
// of members, for fleets of 10 to 1,000 members in virtual time, and how long the detection of a failure takes.
func TestCostByFleetSize(t *testing.T) {
	if os.Getenv("PINEPORT_GROWTH") == "" {
		t.Skip("PINEPORT_GROWTH is not set")
	}
	for _, n := range []int{10, 30, 100, 300, 1000} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, n, 1)
			defer f.stop()
			formationTime := f.settle(10*time.Minute, isComplete)
			sent, bytes := f.mesh.Traffic()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			time.Sleep(time.Minute)
			sent2, bytes2 := f.mesh.Traffic()
			runtime.GC()
			runtime.ReadMemStats(&after)
			f.mesh.Disconnect(n / 2)
			f.members[n/2].HandOff()
			firstDetection := f.settle(10*time.Minute, func(i int, member *Member) bool {
				return i != 0 || stateOf(member, fmt.Sprintf("n%d", n/2)) == membership.Failed
			}, n/2)
			remainingDetection := f.settle(10*time.Minute, func(_ int, member *Member) bool { return stateOf(member, fmt.Sprintf("n%d", n/2)) == membership.Failed }, n/2)
			t.Logf("%4d members: complete after %v; %.1f packets/s and %.0f bytes/s each; %.0f kB of heap each; failure detected by n0 after %v, by all others %v later",
				n, formationTime, float64(sent2-sent)/60/float64(n), float64(bytes2-bytes)/60/float64(n), float64(after.HeapAlloc)/1024/float64(n), firstDetection, remainingDetection)
		})
	}
}
