package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"pineport/membership/gossip"
	"pineport/testbed/netfault"
)

// Sizes, figures and bounds of the full exchange of incarnations, a map from the name of a courier to its incarnation.
const (
	figureIncarnationsAccepted = "starts_taken" // size of the largest map of incarnations that a member accepts
	maxIncarnationsTried       = 11000          // couriers in the plan of testbed/capacity
	maxIncarnationsSent        = 4097           // most incarnations that a member sends: 4,096 names that its view keeps, and its own
	sizeTried                  = "starts_tried" // size of the largest map that was tried
)

// measureExchangeLimit finds the largest map of incarnations that a real member accepts, by binary search.
func measureExchangeLimit(ctx context.Context, play *Play) error {
	peer, err := newExchangePeer(play.Seed)
	if err != nil {
		return err
	}
	defer peer.close()
	var fault error
	refused := 1 + sort.Search(maxIncarnationsTried, func(i int) bool {
		if fault == nil {
			fault = ctx.Err()
		}
		if fault != nil {
			return false
		}
		accepted, err := peer.accepts(i + 1)
		fault = err
		return !accepted
	})
	if fault != nil {
		return fault
	}
	play.Report(map[string]float64{sizeTried: maxIncarnationsTried}, figureIncarnationsAccepted, float64(refused-1))
	if refused <= maxIncarnationsTried {
		play.ReportMissing("the error of a rejected full exchange", fmt.Sprintf(
			"the member drops a map of %d incarnations without a log line, a counter or a response; so a map of %d incarnations is never accepted", refused, maxIncarnationsTried))
	}
	return nil
}

// exchangePeer is a memberlist node that sends a real member maps of incarnations of any size. The membership view of the
// real member does not count it as a courier.
type exchangePeer struct {
	member      *gossip.Member
	list        *memberlist.Memberlist
	address     string
	state       atomic.Pointer[[]byte]
	estimated   chan int
	couriers    int
	incarnation uint64
}

const testedMember = "n0"

func newExchangePeer(seed int64) (*exchangePeer, error) {
	mesh := netfault.NewMesh(2, seed)
	peer := &exchangePeer{address: mesh.Addr(0), estimated: make(chan int, 1), couriers: 2, incarnation: 1}
	member, err := gossip.Open(gossip.Options{Name: testedMember, Incarnation: peer.incarnation, FleetSize: peer.couriers, Seed: seed,
		Transport: mesh.Join(0), SizeEstimated: func(couriers int) { peer.estimated <- couriers }})
	if err != nil {
		return nil, err
	}
	peer.member = member
	config := memberlist.DefaultLANConfig()
	config.Name, config.Transport, config.LogOutput = "teller", lingeringTransport{mesh.Join(1)}, io.Discard
	config.PushPullInterval, config.Delegate = 0, peer
	if peer.list, err = memberlist.Create(config); err != nil {
		member.HandOff()
		return nil, err
	}
	return peer, nil
}

func (t *exchangePeer) close() {
	t.list.Shutdown()
	t.member.HandOff()
}

// estimateTimeout bounds the wait until a member has handled what was sent.
const estimateTimeout = 30 * time.Second

// accepts sends the member a map of the given number of incarnations. The map holds a higher incarnation of the member
// itself, so a member that accepts the map raises its own incarnation.
func (t *exchangePeer) accepts(incarnations int) (bool, error) {
	before := t.member.Incarnation()
	text, err := encodeState(incarnations, before+1)
	if err != nil {
		return false, err
	}
	t.state.Store(&text)
	if _, err := t.list.Join([]string{t.address}); err != nil {
		return false, err
	}
	// Join returns after lingeringStream.Close, so the member has read the map and queued it for its view. The view handles
	// the resize after the map.
	t.couriers++
	t.member.SetFleetSize(t.couriers)
	select {
	case <-t.estimated:
	case <-time.After(estimateTimeout):
		return false, fmt.Errorf("the member did not handle the resize within %v", estimateTimeout)
	}
	return t.member.Incarnation() > before, nil
}

// encodeState encodes the state of a full exchange as membership/gossip does: version, sender, incarnations by name.
func encodeState(incarnations int, own uint64) ([]byte, error) {
	all := map[string]uint64{testedMember: own}
	for i := 1; i < incarnations; i++ {
		all[string(courierName(i))] = 1
	}
	return cbor.Marshal(map[int]any{1: gossip.Version, 2: "teller", 3: all})
}

// LocalState returns the encoded map that a full exchange sends to the member.
func (t *exchangePeer) LocalState(bool) []byte {
	if text := t.state.Load(); text != nil {
		return *text
	}
	return nil
}

// NodeMeta returns nothing: the view ignores nodes without an incarnation.
func (t *exchangePeer) NodeMeta(int) []byte { return nil }

// NotifyMsg ignores messages.
func (t *exchangePeer) NotifyMsg([]byte) {}

// GetBroadcasts returns nothing.
func (t *exchangePeer) GetBroadcasts(int, int) [][]byte { return nil }

// MergeRemoteState ignores the state of the member.
func (t *exchangePeer) MergeRemoteState([]byte, bool) {}

// lingeringTransport opens streams whose Close waits until the other side has closed the stream.
type lingeringTransport struct{ *netfault.MemberTransport }

// DialTimeout opens a lingering stream.
func (l lingeringTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := l.MemberTransport.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return lingeringStream{conn}, nil
}

// lingeringStream waits in Close until the other side has closed the stream, and so has read all that was sent.
type lingeringStream struct{ net.Conn }

// Close waits for the other side to close the stream, at most estimateTimeout.
func (s lingeringStream) Close() error {
	s.Conn.SetReadDeadline(time.Now().Add(estimateTimeout))
	io.Copy(io.Discard, s.Conn)
	return s.Conn.Close()
}

// checkExchangeLimit fails if a member rejects a map as large as the largest that a member sends.
func checkExchangeLimit(results *Results) error {
	_, accepted := results.Values(figureIncarnationsAccepted, sizeTried, nil)
	if len(accepted) == 0 {
		return errors.New("no full exchange of incarnations was tried")
	}
	for _, most := range accepted {
		if most < maxIncarnationsSent {
			return fmt.Errorf("members accept at most %v incarnations, but send up to %d", most, maxIncarnationsSent)
		}
	}
	return nil
}
