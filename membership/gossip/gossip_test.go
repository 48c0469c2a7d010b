package gossip

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pineport/membership"
	"pineport/testbed/netfault"
)

// fleet is members in virtual time.
type fleet struct {
	t       *testing.T
	mesh    *netfault.Mesh
	members []*Member
	starts  []uint64
}

func (f *fleet) begin(i int) {
	f.starts[i]++
	member, err := Open(Options{Name: fmt.Sprintf("n%d", i), Incarnation: f.starts[i], FleetSize: len(f.members), Join: []string{f.mesh.Addr(0), f.mesh.Addr((i + 1) % len(f.members))},
		Seed: int64(i), Transport: f.mesh.Join(i)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[i] = member
}

func begin(t *testing.T, n int, seed int64) *fleet {
	f := &fleet{t: t, mesh: netfault.NewMesh(n+1, seed), members: make([]*Member, n), starts: make([]uint64, n)}
	for i := range n {
		f.begin(i)
	}
	return f
}

func (f *fleet) end() {
	for _, member := range f.members {
		member.HandOff()
	}
	time.Sleep(time.Minute) // what the detector has under way runs out
}

// settle waits for a state of all but some, and returns how long that took.
func (f *fleet) settle(within time.Duration, all func(i int, member *Member) bool, but ...int) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for time.Since(begun) < within {
		ok := true
		for i, member := range f.members {
			skip := false
			for _, b := range but {
				skip = skip || b == i
			}
			ok = ok && (skip || all(i, member))
		}
		if ok {
			return time.Since(begun)
		}
		time.Sleep(100 * time.Millisecond)
	}
	notified := 0
	for i, member := range f.members {
		if snapshot := member.Snapshot(); !all(i, member) && notified < 8 {
			notified++
			f.t.Errorf("n%d, start %d: %s, %d to %d couriers, %d words lost", i, member.Incarnation(), snapshot.LocalStatus, snapshot.MinCouriers, snapshot.MaxCouriers, member.Metrics().LostEvents)
			for _, o := range snapshot.Members {
				if o.State != membership.Alive {
					f.t.Errorf("  %s is %v, start %d", o.Name, o.State, o.Incarnation)
				}
			}
		}
	}
	f.t.FailNow()
	return 0
}

func whole(_ int, member *Member) bool {
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

// TestFaultsFromSeeds: whatever faults the network, once it is over all know of all again, nobody counted fewer meanwhile,
// and no part of the fleet took the rest for gone.
func TestFaultsFromSeeds(t *testing.T) {
	seeds, n := 12, 24
	if s, err := strconv.Atoi(os.Getenv("PINEPORT_SEEDS")); err == nil {
		seeds = s
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := begin(t, n, int64(seed))
			defer f.end()
			f.settle(2*time.Minute, whole)
			for _, fault := range netfault.RandomFaults(int64(seed), 4, n, 120) {
				end := f.mesh.Begin(fault)
				for range int(fault.Length * 10) {
					time.Sleep(100 * time.Millisecond)
					for i, member := range f.members {
						if snapshot := member.Snapshot(); snapshot.MaxCouriers < n {
							t.Fatalf("seed %d, %s: n%d counts %d", seed, fault.Kind, i, snapshot.MaxCouriers)
						}
					}
				}
				if err := end(); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
			f.settle(3*time.Minute, whole)
		})
	}
}

// TestThreeHundred: three hundred members find each other; a tenth dies, is known to be dead, and comes back.
func TestThreeHundred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 300
		f := begin(t, n, 1)
		defer f.end()
		t.Logf("whole after %v", f.settle(3*time.Minute, whole))
		var dead []int
		for i := 0; i < n; i += 10 {
			dead = append(dead, i)
			f.mesh.Disconnect(i)
			f.members[i].HandOff()
		}
		took := f.settle(3*time.Minute, func(_ int, member *Member) bool {
			snapshot := member.Snapshot()
			return snapshot.MinCouriers == n-len(dead) && snapshot.MaxCouriers == n
		}, dead...)
		t.Logf("thirty deaths known by all after %v", took)
		for _, i := range dead {
			f.begin(i)
		}
		t.Logf("whole again after %v", f.settle(3*time.Minute, whole))
	})
}

// TestPartitionAndHeal: cut in two, then otherwise in two: each side counts all, and after the heal nothing is taken for dead.
func TestPartitionAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 9
		f := begin(t, n, 3)
		defer f.end()
		f.settle(time.Minute, whole)
		for _, side := range [][]int{{0, 1, 2}, {3, 4, 5}} {
			end := f.mesh.Begin(netfault.Fault{Kind: "cut", From: side})
			f.settle(time.Minute, func(i int, member *Member) bool {
				snapshot := member.Snapshot()
				inside := 6
				for _, s := range side {
					if s == i {
						inside = 3
					}
				}
				return snapshot.MinCouriers == inside && snapshot.MaxCouriers == n && snapshot.LocalStatus == membership.Partial.String()
			})
			if err := end(); err != nil {
				t.Error(err)
			}
			f.settle(2*time.Minute, whole)
		}
	})
}

// TestOneWay: A hears B, B hears C, C hears A only. Nobody is counted fewer, and it heals.
func TestOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 3, 5)
		defer f.end()
		f.settle(time.Minute, whole)
		var ends []func() error
		for _, p := range [][2]int{{0, 1}, {1, 2}, {2, 0}} {
			ends = append(ends, f.mesh.Begin(netfault.Fault{Kind: "one-way", From: p[:1], To: p[1:]}))
		}
		time.Sleep(40 * time.Second)
		for i, member := range f.members {
			if p := member.Snapshot(); p.MaxCouriers != 3 {
				t.Errorf("n%d counts %d", i, p.MaxCouriers)
			}
		}
		for _, end := range ends {
			end()
		}
		f.settle(2*time.Minute, whole)
	})
}

// TestLeaveAndReturn: who leaves by word is not taken for dead, and is back with its next start alone.
func TestLeaveAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 5, 7)
		defer f.end()
		f.settle(time.Minute, whole)
		f.members[2].Leave()
		f.settle(time.Minute, func(_ int, member *Member) bool { return stateOf(member, "n2") == membership.Left }, 2)
		f.begin(2)
		f.settle(time.Minute, whole)
		for i, member := range f.members {
			if member.Snapshot().Revoked != 0 {
				t.Errorf("n%d believed in a death", i)
			}
		}
	})
}

// TestStaleIncarnationAndNameConflict: one that comes back from an older copy of its folder goes on under a higher number; of two of one
// name the older start steps down.
func TestStaleIncarnationAndNameConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 5, 9)
		defer f.end()
		f.settle(time.Minute, whole)
		for range 3 { // its number grows to 4
			f.members[1].Leave()
			f.begin(1)
			f.settle(time.Minute, whole)
		}
		f.mesh.Disconnect(1)
		f.members[1].HandOff()
		f.starts[1] = 0 // the folder is an older copy
		f.begin(1)
		f.settle(time.Minute, func(_ int, member *Member) bool { return whole(0, member) && f.members[1].Incarnation() > 4 })

		twin, err := Open(Options{Name: "n1", Incarnation: 5000, FleetSize: 5, Join: []string{f.mesh.Addr(0)}, Transport: f.mesh.Join(5)})
		if err != nil {
			t.Fatal(err)
		}
		defer twin.HandOff()
		f.settle(2*time.Minute, func(i int, member *Member) bool {
			return i != 1 || member.Snapshot().LocalStatus == membership.SteppedDown.String()
		})
	})
}

// TestHostilePackets: what does not make sense changes nothing and stops nothing.
func TestHostilePackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 3, 11)
		defer f.end()
		f.settle(time.Minute, whole)
		rng := rand.New(rand.NewSource(1))
		from := f.mesh.Join(0)
		f.members[0].HandOff()
		for range 2000 {
			junk := make([]byte, rng.Intn(1400))
			rng.Read(junk)
			if len(junk) > 0 && rng.Intn(2) == 0 {
				junk[0] = byte(rng.Intn(14)) // a kind of word that there is
			}
			from.WriteTo(junk, f.mesh.Addr(1))
			delegate{f.members[1]}.MergeRemoteState(junk, false)
		}
		f.begin(0)
		f.settle(2*time.Minute, whole)
	})
}

// TestLostEvents: what the queue had no room for is heard all the same, a little later. Failure: see again.
func TestLostEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 4, 17)
		defer f.end()
		f.settle(time.Minute, whole)
		member := f.members[0]
		member.enqueue(membership.MemberReported{Name: "n1", Incarnation: 1, State: membership.Failed}) // and the word that it is back is lost
		for member.lostEvents.Load() == 0 {
			member.enqueue(membership.ProbeAnswered{Name: "nobody"})
		}
		f.settle(5*time.Second, whole)
		member.enqueue(membership.MemberReported{Name: "n2", Incarnation: 1, State: membership.Failed}) // without anybody noticing that a word was lost
		time.Sleep(50 * time.Millisecond)
		f.settle(15*time.Second, whole)
	})
}

// TestReplays: words of before, said again by somebody who kept them, revive nobody who left and bring no start back.
func TestReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 4, 13)
		defer f.end()
		f.mesh.RecordPackets = true
		f.settle(time.Minute, whole)
		f.members[3].Leave()
		f.settle(time.Minute, func(_ int, member *Member) bool { return stateOf(member, "n3") == membership.Left }, 3)
		f.members[2].Leave()
		f.begin(2)
		f.settle(time.Minute, func(_ int, member *Member) bool { return stateOf(member, "n2") == membership.Alive }, 2, 3)
		n := f.mesh.Replay()
		time.Sleep(30 * time.Second)
		for i, member := range f.members[:3] {
			for _, o := range member.Snapshot().Members {
				if o.Name == "n3" && o.State != membership.Left || o.Name == "n2" && (o.State != membership.Alive || o.Incarnation != 2) {
					t.Errorf("n%d believes %d packets of before: %s is %v, start %d", i, n, o.Name, o.State, o.Incarnation)
				}
			}
		}
	})
}

// TestSlowMember: one whose words take longer than a probe waits does not have the fleet assume in deaths, by its own doubt.
func TestSlowMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := begin(t, 12, 15)
		defer f.end()
		f.settle(time.Minute, whole)
		end := f.mesh.Begin(netfault.Fault{Kind: "slow", From: []int{5}, Size: 400})
		time.Sleep(2 * time.Minute)
		if err := end(); err != nil {
			t.Error(err)
		}
		among := 0
		for i, member := range f.members {
			if i != 5 {
				among += member.Snapshot().Revoked
			}
			if snapshot := member.Snapshot(); snapshot.MaxCouriers != 12 {
				t.Errorf("n%d counts %d", i, snapshot.MaxCouriers)
			}
		}
		t.Logf("in two minutes eleven sound members gave somebody up and took it back %d times, the slow one %d times", among, f.members[5].Snapshot().Revoked)
		if among > 11*4 {
			t.Errorf("%d deaths believed that were none among the sound", among)
		}
		f.settle(2*time.Minute, whole)
	})
}

// loopback is an address that is free over UDP and TCP.
func loopback(t *testing.T) string {
	t.Helper()
	l, err := listen("127.0.0.1:0", "127.0.0.1:1", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Shutdown()
	return l.tcp.Addr().String()
}

// TestMembersOfOtherFleetsAreIgnored: on sockets, members of another fleet, with another key or without, and whoever sends what is torn, too long or
// does not end, are not heard; members are, and go on.
func TestMembersOfOtherFleetsAreIgnored(t *testing.T) {
	const key = "00112233445566778899aabbccddeeff"
	at := loopback(t)
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
		open("stranger-"+s[0]+s[1], s[0], s[1], loopback(t))
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
	for i := range maxStreams + 10 { // more than are taken at once; none says anything whole
		c, err := net.Dial("tcp", at)
		if err != nil {
			continue
		}
		defer c.Close()
		c.Write(junk[:i*100])
	}
	for end := time.Now().Add(20 * time.Second); a.Metrics().Network.Turned == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if a.Metrics().Network.Turned == 0 {
		t.Error("nothing is rejected")
	}
	b := open("b", "f", key, loopback(t))
	for end := time.Now().Add(40 * time.Second); b.Snapshot().LocalStatus != membership.Complete.String() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	for _, member := range []*Member{a, b} {
		if snapshot := member.Snapshot(); len(snapshot.Members) != 1 || snapshot.Members[0].State != membership.Alive {
			t.Errorf("%s knows %+v", snapshot.Self, snapshot.Members)
		}
	}
	if _, err := Open(Options{Name: "c", Listen: at}); err == nil {
		t.Error("an address that is taken is taken again")
	}
	if _, err := Open(Options{Name: "c", Listen: loopback(t), Key: "00"}); err == nil {
		t.Error("a key that is none")
	}
}

// TestGrowth tells, with PINEPORT_GROWTH set, what talk costs each member of fleets of 10 to 1,000 in virtual time, and how long
// a death takes to be known.
func TestGrowth(t *testing.T) {
	if os.Getenv("PINEPORT_GROWTH") == "" {
		t.Skip("PINEPORT_GROWTH is not set")
	}
	for _, n := range []int{10, 30, 100, 300, 1000} {
		synctest.Test(t, func(t *testing.T) {
			f := begin(t, n, 1)
			defer f.end()
			found := f.settle(10*time.Minute, whole)
			sent, bytes := f.mesh.Traffic()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			time.Sleep(time.Minute)
			sent2, bytes2 := f.mesh.Traffic()
			runtime.GC()
			runtime.ReadMemStats(&after)
			f.mesh.Disconnect(n / 2)
			f.members[n/2].HandOff()
			first := f.settle(10*time.Minute, func(i int, member *Member) bool {
				return i != 0 || stateOf(member, fmt.Sprintf("n%d", n/2)) == membership.Failed
			}, n/2)
			all := f.settle(10*time.Minute, func(_ int, member *Member) bool { return stateOf(member, fmt.Sprintf("n%d", n/2)) == membership.Failed }, n/2)
			t.Logf("%4d members: whole after %v; %.1f packets/s and %.0f bytes/s each; %.0f kB of heap each; a death known to one after %v, to the last %v later",
				n, found, float64(sent2-sent)/60/float64(n), float64(bytes2-bytes)/60/float64(n), float64(after.HeapAlloc)/1024/float64(n), first, all)
		})
	}
}
