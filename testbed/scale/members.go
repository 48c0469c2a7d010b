package scale

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"pineport/membership"
	"pineport/membership/gossip"
	"pineport/testbed/netfault"
)

// Settings of members, the same for hollow and real ones, so that their traffic can be compared.
const (
	fleetLabel = "lab"
	fleetKey   = "000102030405060708090a0b0c0d0e0f" // hexadecimal; members encrypt their messages
)

// traffic counts what members send to the network, without IP, UDP and TCP headers.
type traffic struct{ packets, packetBytes, streams, streamBytes atomic.Int64 }

// trafficCounts is a reading of traffic, or the difference of two readings.
type trafficCounts struct{ packets, packetBytes, streams, streamBytes int64 }

func (t *traffic) read() trafficCounts {
	return trafficCounts{t.packets.Load(), t.packetBytes.Load(), t.streams.Load(), t.streamBytes.Load()}
}

func (s trafficCounts) minus(earlier trafficCounts) trafficCounts {
	return trafficCounts{s.packets - earlier.packets, s.packetBytes - earlier.packetBytes, s.streams - earlier.streams, s.streamBytes - earlier.streamBytes}
}

// countingTransport connects a member to the in-memory network and counts what the member sends.
type countingTransport struct {
	*netfault.MemberTransport
	traffic *traffic
}

// WriteTo sends and counts a packet.
func (c countingTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	c.traffic.packets.Add(1)
	c.traffic.packetBytes.Add(int64(len(packet)))
	return c.MemberTransport.WriteTo(packet, address)
}

// DialTimeout opens a stream and counts its bytes in both directions.
func (c countingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := c.MemberTransport.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	c.traffic.streams.Add(1)
	return &countingStream{conn, c.traffic}, nil
}

// countingStream is the dialing end of a stream.
type countingStream struct {
	net.Conn
	traffic *traffic
}

func (s *countingStream) Read(into []byte) (int, error) {
	n, err := s.Conn.Read(into)
	s.traffic.streamBytes.Add(int64(n))
	return n, err
}

func (s *countingStream) Write(from []byte) (int, error) {
	n, err := s.Conn.Write(from)
	s.traffic.streamBytes.Add(int64(n))
	return n, err
}

// hollowFleet is a fleet of members in this process. They run the real membership code over an in-memory network.
type hollowFleet struct {
	interval       time.Duration
	seed           int64
	mesh           *netfault.Mesh
	traffic        traffic
	members        []*gossip.Member // nil while the member is down
	incarnations   []uint64
	timeout        time.Duration // of await
	underestimates int           // snapshots in which a member assumed fewer couriers than the fleet has
}

// memberName returns the name of a member. UsesRealCouriers couriers of the testbed have the same names.
func memberName(i int) string { return fmt.Sprintf("n%d", i) }

func newHollowFleet(size int, interval time.Duration, seed int64) *hollowFleet {
	return &hollowFleet{interval: interval, seed: seed, mesh: netfault.NewMesh(size, seed), members: make([]*gossip.Member, size), incarnations: make([]uint64, size),
		timeout: max(minTimeout, timeoutIntervals*interval)}
}

// startIntervals is the number of heartbeat intervals over which the starts of the members are spread, as the couriers of a
// real fleet do not start simultaneously.
const startIntervals = 8

// start starts every member that is down, one by one.
func (f *hollowFleet) start(ctx context.Context) error {
	between := startIntervals * f.interval / time.Duration(len(f.members))
	for i, member := range f.members {
		if member != nil {
			continue
		}
		if err := f.open(i); err != nil {
			return err
		}
		if err := sleep(ctx, between); err != nil {
			return err
		}
	}
	return nil
}

func (f *hollowFleet) open(i int) error {
	f.incarnations[i]++
	size := len(f.members)
	member, err := gossip.Open(gossip.Options{
		Name:        memberName(i),
		Incarnation: f.incarnations[i],
		FleetSize:   size,
		Fleet:       fleetLabel,
		Key:         fleetKey,
		Join:        []string{f.mesh.Addr(0), f.mesh.Addr((i + 1) % size), f.mesh.Addr((i + size/2) % size)},
		Interval:    f.interval,
		Seed:        f.seed*int64(size) + int64(i),
		Transport:   countingTransport{f.mesh.Join(i), &f.traffic},
	})
	if err != nil {
		return err
	}
	f.members[i] = member
	return nil
}

// kill disconnects the given members simultaneously and then stops them. It uses HandOff, which stops a member without a
// notice to the others.
func (f *hollowFleet) kill(dead []int) {
	for _, i := range dead {
		f.mesh.Disconnect(i)
	}
	for _, i := range dead {
		f.members[i].HandOff()
		f.members[i] = nil
	}
}

// close stops all members.
func (f *hollowFleet) close() {
	for i := range f.members {
		f.mesh.Disconnect(i)
	}
	for _, member := range f.members {
		if member != nil {
			member.HandOff()
		}
	}
}

// pollsPerInterval is how often await polls the members in each heartbeat interval.
const pollsPerInterval = 20

// minTimeout is the shortest timeout of await, however short the heartbeat interval is.
const minTimeout = time.Minute

// timeoutIntervals is the timeout of await in heartbeat intervals. In a fleet of 1,000 members, memberlist declares
// an unreachable member dead after about 15 intervals.
const timeoutIntervals = 100

// spreadTimes are the times until half of the members and all members know of a change.
type spreadTimes struct{ half, all time.Duration }

// await polls until knows is true for every running member. In errors, the awaited change is called what.
func (f *hollowFleet) await(ctx context.Context, what string, knows func(snapshot membership.Snapshot) bool) (spreadTimes, error) {
	begun := time.Now()
	pending := f.running()
	half, known := len(pending)/2, spreadTimes{}
	for {
		pending = slices.DeleteFunc(pending, func(member *gossip.Member) bool {
			snapshot := member.Snapshot()
			if snapshot.MaxCouriers < len(f.members) {
				f.underestimates++
			}
			return knows(snapshot)
		})
		since := time.Since(begun)
		if known.half == 0 && len(pending) <= half {
			known.half = since
		}
		if len(pending) == 0 {
			known.all = since
			return known, nil
		}
		if since > f.timeout {
			return spreadTimes{}, fmt.Errorf("%d of %d members did not know of %s within %v; state of one of them: %s", len(pending), len(f.running()), what, f.timeout,
				summary(pending[0].Snapshot()))
		}
		if err := sleep(ctx, f.interval/pollsPerInterval); err != nil {
			return spreadTimes{}, err
		}
	}
}

// summary describes a snapshot: status, number of couriers, and members by state.
func summary(snapshot membership.Snapshot) string {
	states := map[string]int{}
	for _, member := range snapshot.Members {
		states[member.StateName]++
	}
	return fmt.Sprintf("%s, %d to %d couriers, %v", snapshot.LocalStatus, snapshot.MinCouriers, snapshot.MaxCouriers, states)
}

func (f *hollowFleet) running() (all []*gossip.Member) {
	for _, member := range f.members {
		if member != nil {
			all = append(all, member)
		}
	}
	return all
}

// awaitComplete waits until every running member hears from all others.
func (f *hollowFleet) awaitComplete(ctx context.Context) (spreadTimes, error) {
	size := len(f.members)
	return f.await(ctx, "the complete fleet", func(snapshot membership.Snapshot) bool {
		return snapshot.LocalStatus == membership.Complete.String() && snapshot.MinCouriers == size
	})
}

// awaitDeaths waits until every running member considers all the given members failed.
func (f *hollowFleet) awaitDeaths(ctx context.Context, dead []int) (spreadTimes, error) {
	return f.await(ctx, fmt.Sprintf("%d deaths", len(dead)), func(snapshot membership.Snapshot) bool {
		return !slices.ContainsFunc(dead, func(i int) bool { return stateIn(snapshot, memberName(i)) != membership.Failed })
	})
}

// stateIn returns the state of a member in a snapshot, whose members are sorted by name.
func stateIn(snapshot membership.Snapshot, name string) membership.State {
	i, found := slices.BinarySearchFunc(snapshot.Members, name, func(m membership.Member, name string) int { return strings.Compare(string(m.Name), name) })
	if !found {
		return membership.Unknown
	}
	return snapshot.Members[i].State
}

// load is the load that membership causes over a time span, for all members together.
type load struct {
	sent      trafficCounts
	processor time.Duration
	span      time.Duration
}

// observe measures the fleet at rest over the given number of heartbeat intervals.
func (f *hollowFleet) observe(ctx context.Context, intervals int) (load, error) {
	begun, sentBefore, processorBefore := time.Now(), f.traffic.read(), processorTime()
	if err := sleep(ctx, time.Duration(intervals)*f.interval); err != nil {
		return load{}, err
	}
	return load{f.traffic.read().minus(sentBefore), processorTime() - processorBefore, time.Since(begun)}, nil
}

// sleep waits for the given time, or returns the error of the context if that ends first.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

var _ memberlist.Transport = countingTransport{}
