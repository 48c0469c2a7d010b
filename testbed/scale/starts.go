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

// Figures of the full exchange of starts.
const (
	figureStartsTaken = "starts_taken" // the largest map of starts that a member takes in
	mostStartsTried   = 11000          // the planned fleet
	keptStarts        = 4097           // what a member can tell: 4,096 names that its view keeps, and its own
	sizeTried         = "starts_tried" // the largest map that was tried
)

// measureExchangeLimit seeks the largest map of starts that a real member takes in.
func measureExchangeLimit(ctx context.Context, play *Play) error {
	teller, err := newStartsTeller(play.Seed)
	if err != nil {
		return err
	}
	defer teller.close()
	var fault error
	refused := 1 + sort.Search(mostStartsTried, func(i int) bool {
		if fault == nil {
			fault = ctx.Err()
		}
		if fault != nil {
			return false
		}
		taken, err := teller.takes(i + 1)
		fault = err
		return !taken
	})
	if fault != nil {
		return fault
	}
	play.Report(map[string]float64{sizeTried: mostStartsTried}, figureStartsTaken, float64(refused-1))
	if refused <= mostStartsTried {
		play.Miss("the error of a full exchange refused", fmt.Sprintf(
			"a map of %d starts is dropped by the member without a log line, a count or an answer; none of %d starts gets through", refused, mostStartsTried))
	}
	return nil
}

// startsTeller is a member of the detector's, not of the view's, that tells a real member as many starts as it is asked to.
type startsTeller struct {
	member    *gossip.Member
	list      *memberlist.Memberlist
	address   string
	notified  atomic.Pointer[[]byte]
	estimated chan int
	couriers  int
	start     uint64
}

const startsMember = "n0"

func newStartsTeller(seed int64) (*startsTeller, error) {
	mesh := netfault.NewMesh(2, seed)
	teller := &startsTeller{address: mesh.Addr(0), estimated: make(chan int, 1), couriers: 2, start: 1}
	member, err := gossip.Open(gossip.Options{Name: startsMember, Incarnation: teller.start, FleetSize: teller.couriers, Seed: seed,
		Transport: mesh.Join(0), SizeEstimated: func(couriers int) { teller.estimated <- couriers }})
	if err != nil {
		return nil, err
	}
	teller.member = member
	config := memberlist.DefaultLANConfig()
	config.Name, config.Transport, config.LogOutput = "teller", lastingTransport{mesh.Join(1)}, io.Discard
	config.PushPullInterval, config.Delegate = 0, teller
	if teller.list, err = memberlist.Create(config); err != nil {
		member.HandOff()
		return nil, err
	}
	return teller, nil
}

func (t *startsTeller) close() {
	t.list.Shutdown()
	t.member.HandOff()
}

// reckonWithin bounds the wait for a member to take in what was notified.
const estimateWithin = 30 * time.Second

// takes tells the member so many starts, among them a higher one of its own, and says whether it went on under a higher number.
func (t *startsTeller) takes(starts int) (bool, error) {
	before := t.member.Incarnation()
	text, err := startsState(starts, before+1)
	if err != nil {
		return false, err
	}
	t.notified.Store(&text)
	if _, err := t.list.Join([]string{t.address}); err != nil {
		return false, err
	}
	// The stream has ended, so what it carried waits before the view; what is said now comes after it.
	t.couriers++
	t.member.SetFleetSize(t.couriers)
	select {
	case <-t.estimated:
	case <-time.After(estimateWithin):
		return false, fmt.Errorf("the member took nothing in within %v", estimateWithin)
	}
	return t.member.Incarnation() > before, nil
}

// startsState is the text of a full exchange, as membership/gossip writes it: version, sender, starts by name.
func startsState(starts int, own uint64) ([]byte, error) {
	all := map[string]uint64{startsMember: own}
	for i := 1; i < starts; i++ {
		all[string(courierName(i))] = 1
	}
	return cbor.Marshal(map[int]any{1: gossip.Version, 2: "teller", 3: all})
}

// LocalState is what the member is notified.
func (t *startsTeller) LocalState(bool) []byte {
	if text := t.notified.Load(); text != nil {
		return *text
	}
	return nil
}

// NodeMeta says nothing: the view passes over a member without a start.
func (t *startsTeller) NodeMeta(int) []byte { return nil }

// NotifyMsg takes nothing in.
func (t *startsTeller) NotifyMsg([]byte) {}

// GetBroadcasts has nothing to say.
func (t *startsTeller) GetBroadcasts(int, int) [][]byte { return nil }

// MergeRemoteState takes nothing in.
func (t *startsTeller) MergeRemoteState([]byte, bool) {}

// lastingTransport begins streams whose Close waits until the other side has done.
type lastingTransport struct{ *netfault.MemberTransport }

// DialTimeout begins a stream.
func (l lastingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := l.MemberTransport.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return lastingStream{conn}, nil
}

// lastingStream ends only when the other side has done with it: its Close tells that what was sent has been taken in.
type lastingStream struct{ net.Conn }

// Close waits for the other side's end.
func (s lastingStream) Close() error {
	s.Conn.SetReadDeadline(time.Now().Add(estimateWithin))
	io.Copy(io.Discard, s.Conn)
	return s.Conn.Close()
}

// checkExchangeLimit: what the view keeps at most can be notified in full.
func checkExchangeLimit(results *Results) error {
	_, taken := results.Values(figureStartsTaken, sizeTried, nil)
	if len(taken) == 0 {
		return errors.New("no full exchange of starts was tried")
	}
	for _, most := range taken {
		if most < keptStarts {
			return fmt.Errorf("a map of %v starts is the largest that is taken in; a member tells up to %d", most, keptStarts)
		}
	}
	return nil
}
