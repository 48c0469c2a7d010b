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

// Settings of a member, hollow or real: the same for both, so that what they send can be compared.
const (
	fleetLabel = "lab"
	fleetKey   = "000102030405060708090a0b0c0d0e0f" // hex; what members say is encrypted
)

// traffic counts what members put on the network. Headers of IP, UDP and TCP are not in it.
type traffic struct{ packets, packetBytes, streams, streamBytes atomic.Int64 }

// sent is the state of traffic at an instant, or the difference of two.
type sent struct{ packets, packetBytes, streams, streamBytes int64 }

func (t *traffic) read() sent {
	return sent{t.packets.Load(), t.packetBytes.Load(), t.streams.Load(), t.streamBytes.Load()}
}

func (s sent) minus(earlier sent) sent {
	return sent{s.packets - earlier.packets, s.packetBytes - earlier.packetBytes, s.streams - earlier.streams, s.streamBytes - earlier.streamBytes}
}

// countingTransport is one member's way onto the network in memory, with all that it sends counted.
type countingTransport struct {
	*netfault.MemberTransport
	traffic *traffic
}

// WriteTo sends a packet.
func (c countingTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	c.traffic.packets.Add(1)
	c.traffic.packetBytes.Add(int64(len(packet)))
	return c.MemberTransport.WriteTo(packet, address)
}

// DialTimeout begins a stream, whose bytes are counted both ways.
func (c countingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := c.MemberTransport.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	c.traffic.streams.Add(1)
	return &countingStream{conn, c.traffic}, nil
}

// countingStream is the dialling end of a stream.
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

// hollowFleet is members of one fleet in this process: the real membership over a network in memory.
type hollowFleet struct {
	pace     time.Duration
	seed     int64
	mesh     *netfault.Mesh
	traffic  traffic
	members  []*gossip.Member // nil: down
	starts   []uint64
	patience time.Duration // with which await waits
	fewer    int           // looks at which a member counted on fewer than the fleet's size
}

// memberName is the name of a member; real couriers of the testbed have the same names.
func memberName(i int) string { return fmt.Sprintf("n%d", i) }

func newHollowFleet(size int, pace time.Duration, seed int64) *hollowFleet {
	return &hollowFleet{pace: pace, seed: seed, mesh: netfault.NewMesh(size, seed), members: make([]*gossip.Member, size), starts: make([]uint64, size),
		patience: max(leastPatience, patiencePaces*pace)}
}

// startPaces is over how many paces the members of a fleet start: not at one instant, as no fleet does.
const startPaces = 8

// start opens every member that is down, one after the other.
func (f *hollowFleet) start(ctx context.Context) error {
	between := startPaces * f.pace / time.Duration(len(f.members))
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
	f.starts[i]++
	size := len(f.members)
	member, err := gossip.Open(gossip.Options{
		Name:        memberName(i),
		Incarnation: f.starts[i],
		FleetSize:   size,
		Fleet:       fleetLabel,
		Key:         fleetKey,
		Join:        []string{f.mesh.Addr(0), f.mesh.Addr((i + 1) % size), f.mesh.Addr((i + size/2) % size)},
		Interval:    f.pace,
		Seed:        f.seed*int64(size) + int64(i),
		Transport:   countingTransport{f.mesh.Join(i), &f.traffic},
	})
	if err != nil {
		return err
	}
	f.members[i] = member
	return nil
}

// kill ends members without a word, all at once.
func (f *hollowFleet) kill(dead []int) {
	for _, i := range dead {
		f.mesh.Disconnect(i)
	}
	for _, i := range dead {
		f.members[i].HandOff()
		f.members[i] = nil
	}
}

// close ends the whole fleet.
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

// looksPerPace is how often in a pace the members are asked for what they know, while something is waited for.
const looksPerPace = 20

// leastPatience is the least time that is waited for the members to know something, however short the pace is.
const leastPatience = time.Minute

// patiencePaces is how long that is waited for by the pace: memberlist gives a member up after some 15 of them at 1,000 members.
const patiencePaces = 100

// spread is after how long members knew of something.
type spread struct{ half, all time.Duration }

// await waits until every member that is up knows of something.
func (f *hollowFleet) await(ctx context.Context, what string, knows func(picture membership.Snapshot) bool) (spread, error) {
	begun := time.Now()
	pending := f.up()
	half, known := len(pending)/2, spread{}
	for {
		pending = slices.DeleteFunc(pending, func(member *gossip.Member) bool {
			picture := member.Snapshot()
			if picture.MaxCouriers < len(f.members) {
				f.fewer++
			}
			return knows(picture)
		})
		since := time.Since(begun)
		if known.half == 0 && len(pending) <= half {
			known.half = since
		}
		if len(pending) == 0 {
			known.all = since
			return known, nil
		}
		if since > f.patience {
			return spread{}, fmt.Errorf("%d of %d members did not know of %s within %v; one of them: %s", len(pending), len(f.up()), what, f.patience,
				summary(pending[0].Snapshot()))
		}
		if err := sleep(ctx, f.pace/looksPerPace); err != nil {
			return spread{}, err
		}
	}
}

// summary tells how many members a picture has in which state.
func summary(picture membership.Snapshot) string {
	states := map[string]int{}
	for _, member := range picture.Members {
		states[member.StateName]++
	}
	return fmt.Sprintf("%s, %d to %d couriers, %v", picture.LocalStatus, picture.MinCouriers, picture.MaxCouriers, states)
}

func (f *hollowFleet) up() (all []*gossip.Member) {
	for _, member := range f.members {
		if member != nil {
			all = append(all, member)
		}
	}
	return all
}

// awaitWhole waits until every member hears all others.
func (f *hollowFleet) awaitWhole(ctx context.Context) (spread, error) {
	size := len(f.members)
	return f.await(ctx, "the whole fleet", func(picture membership.Snapshot) bool {
		return picture.LocalStatus == membership.Complete.String() && picture.MinCouriers == size
	})
}

// awaitDeaths waits until every member that is up believes that all the dead have failed.
func (f *hollowFleet) awaitDeaths(ctx context.Context, dead []int) (spread, error) {
	return f.await(ctx, fmt.Sprintf("%d deaths", len(dead)), func(picture membership.Snapshot) bool {
		return !slices.ContainsFunc(dead, func(i int) bool { return stateIn(picture, memberName(i)) != membership.Failed })
	})
}

// stateIn is what a picture, whose members are sorted by name, says of one of them.
func stateIn(picture membership.Snapshot, name string) membership.State {
	i, found := slices.BinarySearchFunc(picture.Members, name, func(m membership.Member, name string) int { return strings.Compare(string(m.Name), name) })
	if !found {
		return membership.Unknown
	}
	return picture.Members[i].State
}

// load is what membership took over a span: of all members together.
type load struct {
	sent      sent
	processor time.Duration
	span      time.Duration
}

// observe measures the fleet over so many paces in which nothing happens.
func (f *hollowFleet) observe(ctx context.Context, paces int) (load, error) {
	begun, sentBefore, processorBefore := time.Now(), f.traffic.read(), processorTime()
	if err := sleep(ctx, time.Duration(paces)*f.pace); err != nil {
		return load{}, err
	}
	return load{f.traffic.read().minus(sentBefore), processorTime() - processorBefore, time.Since(begun)}, nil
}

// sleep waits, or returns the context's error if that ends first.
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
