// Package gossip carries what a fleet's couriers say of one another: hashicorp/memberlist detects, membership decides, and
// this joins the two with a clock, a network and a log. Nothing here is on a message's way, and nothing waits for it.
package gossip

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"pineport/clock"
	"pineport/dispatch"
	"pineport/membership"
)

// Options are what a member is notified.
type Options struct {
	Name          string
	Incarnation   uint64
	FleetSize     int // of the fleet, as the settings say
	Fleet         string
	Zone          string
	Listen        string
	Advertise     string // where others reach it, if not at Listen
	Join          []string
	DialAddresses map[string]string
	Key           string // hex, of 16, 24 or 32 bytes; empty: none
	Interval      time.Duration
	Seed          int64
	Log           *slog.Logger
	// StoreIncarnation writes a start's number down, before it is used.
	StoreIncarnation func(start uint64) error
	// SizeEstimated is notified how many couriers the decisions are to count on. It must not wait.
	SizeEstimated func(couriers int)
	// Receive is notified what others said with Send. It must not wait.
	Receive func(text []byte)
	// Transport stands in for sockets, in tests.
	Transport memberlist.Transport
}

// Version of what is said beside the detector's own words. Unknown fields are passed over; a later version that may not be
// read by this one would take another number.
const Version = 1

// tag is what a member says of itself in every word on it.
type metadata struct {
	Version     int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
}

// state is what two members tell each other in full, now and then.
type pushPullState struct {
	Version      int               `cbor:"1,keyasint"`
	From         string            `cbor:"2,keyasint"`
	Incarnations map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// name conflict tells a courier that another one of its name is there: who hears of both tells the older start.
type nameConflict struct {
	Version     int    `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
}

// parcel carries what a part beside membership says. An earlier version passes it over.
type userPacket struct {
	Version int    `cbor:"1,keyasint"`
	Quota   []byte `cbor:"9,keyasint"`
}

const (
	queueSize    = 1024 // words that wait for the view; a lost one comes again, from the detector's list
	maxNameBytes = 128  // bytes of a name
	ticks        = 5    // a pace has so many
	maxProbes    = 4    // suspected members that are asked at once
	// againTicks is how often the detector's list is held against the view, lost words or not.
	resyncTicks  = 10 * ticks
	leaveTimeout = 500 * time.Millisecond
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 16, MaxMapPairs: 8192, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Member is this courier in its fleet.
type Member struct {
	options        Options
	log            *slog.Logger
	list           *memberlist.Memberlist
	sockets        *sockets // nil: another transport
	membership     *membership.Membership
	events         chan membership.Event
	startedAt      time.Time
	incarnation    atomic.Uint64
	leaving        atomic.Bool
	steppedDown    atomic.Bool
	lostEvents     atomic.Int64
	snapshot       atomic.Pointer[membership.Snapshot]
	incarnations   atomic.Pointer[map[membership.Name]membership.Incarnation]
	changes        map[string]int64 // by the state that was reached; the loop's
	countedChanges atomic.Pointer[map[string]int64]
	stop           context.CancelFunc
	done           sync.WaitGroup
	end            sync.Once
}

// Open joins the fleet. MemberAddresses that cannot be reached are tried again, with pauses.
func Open(o Options) (*Member, error) {
	if o.Interval == 0 {
		o.Interval = time.Second
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if len(o.Name) == 0 || len(o.Name) > maxNameBytes {
		return nil, fmt.Errorf("peers: a name of 1 to %d bytes was expected", maxNameBytes)
	}
	key, err := hex.DecodeString(o.Key)
	if err != nil || len(key) != 0 && len(key) != 16 && len(key) != 24 && len(key) != 32 {
		return nil, fmt.Errorf("peers.key: 16, 24 or 32 bytes in hex were expected")
	}
	member := &Member{options: o, log: o.Log, events: make(chan membership.Event, queueSize), startedAt: clock.Instant(), changes: map[string]int64{}}
	member.incarnation.Store(o.Incarnation)
	member.membership = membership.New(membership.Config{Self: membership.Name(o.Name), Incarnation: membership.Incarnation(o.Incarnation), FleetSize: o.FleetSize, Tick: dispatch.Micros((o.Interval / ticks).Microseconds()), Seed: o.Seed})
	member.publish()
	c := member.settings(key)
	if o.Transport == nil {
		if member.sockets, err = listen(o.Listen, o.Advertise, o.DialAddresses); err != nil {
			return nil, fmt.Errorf("peers.listen: %w", err)
		}
		c.Transport = member.sockets
	}
	if member.list, err = memberlist.Create(c); err != nil {
		if member.sockets != nil {
			member.sockets.Shutdown()
		}
		return nil, fmt.Errorf("peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	member.stop = cancel
	member.done.Add(2)
	go member.run(ctx)
	go member.join(ctx)
	return member, nil
}

func (m *Member) settings(key []byte) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = m.options.Name, m.options.Fleet, m.options.Transport
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = m.options.Interval, m.options.Interval/2, m.options.Interval/5
	c.PushPullInterval, c.GossipToTheDeadTime, c.TCPTimeout = 15*m.options.Interval, 30*m.options.Interval, 5*m.options.Interval
	c.DeadNodeReclaimTime = m.options.Interval // a courier may come back at another address
	c.Delegate, c.Events, c.Conflict, c.Ping = delegate{m}, delegate{m}, delegate{m}, delegate{m}
	c.SecretKey, c.LogOutput, c.UDPBufferSize, c.EnableCompression = key, &detectorLog{member: m}, 1400, false
	return c
}

// join seeks the members that it was notified of, until one is found, and then now and then while somebody is missing.
func (m *Member) join(ctx context.Context) {
	defer m.done.Done()
	wait := m.options.Interval
	for {
		if snapshot := m.Snapshot(); snapshot.LocalStatus != membership.Complete.String() && len(m.options.Join) > 0 && !m.steppedDown.Load() {
			if n, err := m.list.Join(m.options.Join); n == 0 {
				m.log.Debug("no member reached", "error", err)
				wait = min(2*wait, 16*m.options.Interval)
			} else {
				wait = 8 * m.options.Interval
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// run is the one place that asks the view.
func (m *Member) run(ctx context.Context) {
	defer m.done.Done()
	tick := time.NewTicker(m.options.Interval / ticks)
	defer tick.Stop()
	var lost int64
	for passed, since := 0, 0; ; {
		var events []membership.Event
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			events = append(events, e)
		case <-tick.C:
			// Behind what the detector has reported already, or what came in while this process stood still would count as old.
			events = append(events, membership.Tick{})
			passed++
			if since++; since >= resyncTicks || m.lostEvents.Load() != lost {
				since, lost = 0, m.lostEvents.Load()
				events = append(events, m.resync()...)
			}
		}
		for range len(m.events) {
			events = append(events, <-m.events)
		}
		actions := m.membership.Handle(dispatch.Micros(clock.Since(m.startedAt).Microseconds())+1, events...)
		m.carryOut(actions)
		if len(actions) > 0 || passed >= ticks { // who answered last may be shown a pace late
			passed = 0
			m.publish()
		}
	}
}

// again says anew where the detector's list and the view differ. Failure: the detector tells a change once, and one that found the
// queue full was never heard of; in a storm of joins a member stayed failed for good.
func (m *Member) resync() (events []membership.Event) {
	states := map[membership.Name]membership.State{}
	for _, member := range m.Snapshot().Members {
		states[member.Name] = member.State
	}
	for _, node := range m.list.Members() {
		name := membership.Name(node.Name)
		state, known := states[name]
		delete(states, name)
		if e, ok := m.report(node, membership.Alive); ok && (!known || state == membership.Failed || state == membership.Left) {
			events = append(events, e)
		}
	}
	asked := 0
	for _, member := range m.Snapshot().Members {
		if member.State == membership.Suspected && asked < maxProbes { // that a suspicion is over is notified to nobody: ask
			asked++
			go m.probe(member)
		}
		if _, missing := states[member.Name]; missing && member.State != membership.Failed && member.State != membership.Left {
			events = append(events, membership.MemberReported{Name: member.Name, Incarnation: member.Incarnation, State: membership.Failed, Zone: member.Zone, Address: member.Address})
		}
	}
	return events
}

// ask has a member prove that it is there.
func (m *Member) probe(member membership.Member) {
	at, err := net.ResolveUDPAddr("udp", member.Address)
	if err != nil {
		return
	}
	if _, err := m.list.Ping(string(member.Name), at); err == nil {
		m.enqueue(membership.ProbeAnswered{Name: member.Name})
	}
}

func (m *Member) publish() {
	snapshot, starts, counts := m.membership.Snapshot(), m.membership.Incarnations(), map[string]int64{}
	for k, n := range m.changes {
		counts[k] = n
	}
	m.snapshot.Store(&snapshot)
	m.incarnations.Store(&starts)
	m.countedChanges.Store(&counts)
}

func (m *Member) carryOut(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.MemberChanged:
			m.changes[a.To.String()]++
			m.log.Info("member state changed", "name", a.Name, "from", a.From.String(), "to", a.To.String(), "incarnation", uint64(a.Incarnation), "revoked", a.Revoked)
		case membership.LocalStatusChanged:
			m.log.Info("local status changed", "from", a.From.String(), "to", a.To.String())
		case membership.FleetSizeEstimated:
			m.log.Info("fleet size changed", "couriers", a.Couriers)
			if m.options.SizeEstimated != nil {
				m.options.SizeEstimated(a.Couriers)
			}
		case membership.IncarnationAdvanced:
			m.renumber(uint64(a.Incarnation))
		case membership.StepDown:
			m.log.Error("name conflict: a newer courier of this name is in the fleet, this one steps down and delivers alone", "incarnation", uint64(a.Incarnation), "address", a.Address)
			m.steppedDown.Store(true)
			go m.stepDown()
		}
	}
}

// renumber keeps the number and then tells it; one that cannot be kept is notified all the same, as it is higher than any seen.
func (m *Member) renumber(start uint64) {
	if m.options.StoreIncarnation != nil {
		if err := m.options.StoreIncarnation(start); err != nil {
			m.log.Error("incarnation cannot be stored", "incarnation", start, "error", err)
		}
	}
	m.log.Warn("incarnation advanced", "incarnation", start)
	m.incarnation.Store(start)
	go m.list.UpdateNode(m.options.Interval)
}

// withdraw ends talking without a word, as the name is another's.
func (m *Member) stepDown() { m.list.Shutdown() }

// tell puts an event before the view; the detector must not wait.
func (m *Member) enqueue(e membership.Event) {
	select {
	case m.events <- e:
	default:
		m.lostEvents.Add(1)
	}
}

// Snapshot is the view as it last stood.
func (m *Member) Snapshot() membership.Snapshot { return *m.snapshot.Load() }

// Metrics count what happened, and what it took.
type Metrics struct {
	Changes    map[string]int64 `json:"changes"`
	LostEvents int64            `json:"words_lost"`
	Health     int              `json:"own_health"` // the detector's doubt in this courier itself, 0 for none
	Network    Counts           `json:"network"`
}

// Metrics are the counts as they stand.
func (m *Member) Metrics() Metrics {
	f := Metrics{Changes: *m.countedChanges.Load(), LostEvents: m.lostEvents.Load(), Health: m.list.GetHealthScore()}
	if m.sockets != nil {
		f.Network = m.sockets.counts.read()
	}
	return f
}

// Send has a member hear some bytes, in one packet that may be lost.
func (m *Member) Send(to string, text []byte) error {
	for _, node := range m.list.Members() {
		if node.Name != to {
			continue
		}
		packet, err := cbor.Marshal(userPacket{Version, text})
		if err != nil {
			return err
		}
		return m.list.SendBestEffort(node, packet)
	}
	return fmt.Errorf("peers: no member has the name %q", to)
}

// SetFleetSize tells that the settings name another number of couriers.
func (m *Member) SetFleetSize(couriers int) { m.enqueue(membership.FleetResized{FleetSize: couriers}) }

// Remove tells that a member will not come back, as an operator says.
func (m *Member) Remove(name string) {
	m.enqueue(membership.MemberRemoved{Name: membership.Name(name)})
}

// MemberAddresses are the addresses of those heard, for a process that takes over.
func (m *Member) MemberAddresses() (at []string) {
	for _, member := range m.Snapshot().Members {
		if member.State != membership.Left && member.Address != "" {
			at = append(at, member.Address)
		}
	}
	return at
}

// Incarnation is the number of this start.
func (m *Member) Incarnation() uint64 { return m.incarnation.Load() }

// Leave says that this courier goes, and ends.
func (m *Member) Leave() {
	m.end.Do(func() {
		if !m.steppedDown.Load() {
			m.leaving.Store(true)
			m.list.UpdateNode(leaveTimeout)
			m.list.Leave(leaveTimeout)
		}
		m.quit()
	})
}

// HandOff ends without a word: another process of this courier goes on as the same member.
func (m *Member) HandOff() { m.end.Do(m.quit) }

func (m *Member) quit() {
	m.stop()
	m.list.Shutdown()
	m.done.Wait()
}

// delegate is what the detector calls.
type delegate struct{ m *Member }

func (d delegate) NodeMeta(limit int) []byte {
	text, err := cbor.Marshal(metadata{Version: Version, Incarnation: d.m.incarnation.Load(), Zone: d.m.options.Zone, Leaving: d.m.leaving.Load()})
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

// NotifyMsg takes word of a name conflict, and what is carried for others.
func (d delegate) NotifyMsg(text []byte) {
	var p userPacket
	if decoder.Unmarshal(text, &p) == nil && p.Version == Version && len(p.Quota) > 0 {
		if d.m.options.Receive != nil {
			d.m.options.Receive(p.Quota)
		}
		return
	}
	var n nameConflict
	if decoder.Unmarshal(text, &n) == nil && n.Version == Version && n.Name == d.m.options.Name && len(n.Address) <= maxNameBytes {
		d.m.enqueue(membership.NameConflict{Incarnation: membership.Incarnation(n.Incarnation), Address: n.Address})
	}
}

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

func (d delegate) LocalState(bool) []byte {
	s := pushPullState{Version: Version, From: d.m.options.Name, Incarnations: map[string]uint64{}}
	for name, start := range *d.m.incarnations.Load() {
		s.Incarnations[string(name)] = uint64(start)
	}
	text, err := cbor.Marshal(s)
	if err != nil {
		return nil
	}
	return text
}

func (d delegate) MergeRemoteState(text []byte, _ bool) {
	var s pushPullState
	if decoder.Unmarshal(text, &s) != nil || s.Version != Version || len(s.From) > maxNameBytes {
		return
	}
	if start, ok := s.Incarnations[d.m.options.Name]; ok {
		d.m.enqueue(membership.IncarnationReported{Incarnation: membership.Incarnation(start)})
	}
	d.m.enqueue(membership.ProbeAnswered{Name: membership.Name(s.From)})
}

// heard makes a word of the view's out of one of the detector's.
func (d delegate) report(node *memberlist.Node, state membership.State) {
	if e, ok := d.m.report(node, state); ok {
		d.m.enqueue(e)
	}
}

// word is what a member of the detector's list is to the view, unless it makes no sense or is this courier.
func (m *Member) report(node *memberlist.Node, state membership.State) (membership.MemberReported, bool) {
	var t metadata
	if node.Name == m.options.Name || decoder.Unmarshal(node.Meta, &t) != nil || len(node.Name) > maxNameBytes || len(t.Zone) > maxNameBytes {
		return membership.MemberReported{}, false
	}
	if t.Leaving {
		state = membership.Left
	}
	return membership.MemberReported{Name: membership.Name(node.Name), Incarnation: membership.Incarnation(t.Incarnation), State: state, Zone: t.Zone, Address: node.Address()}, true
}

func (d delegate) NotifyJoin(node *memberlist.Node)   { d.report(node, membership.Alive) }
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.report(node, membership.Alive) }
func (d delegate) NotifyLeave(node *memberlist.Node)  { d.report(node, membership.Failed) }

func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	var here, there metadata
	if decoder.Unmarshal(existing.Meta, &here) != nil || decoder.Unmarshal(other.Meta, &there) != nil {
		return
	}
	if other.Name == d.m.options.Name {
		d.m.enqueue(membership.NameConflict{Incarnation: membership.Incarnation(there.Incarnation), Address: other.Address()})
		return
	}
	older, younger, start := *existing, *other, there.Incarnation
	if here.Incarnation > there.Incarnation {
		older, younger, start = *other, *existing, here.Incarnation
	}
	text, err := cbor.Marshal(nameConflict{Version, other.Name, start, younger.Address()})
	if err == nil { // the detector is not to wait
		go d.m.list.SendToAddress(memberlist.Address{Addr: older.Address(), Name: older.Name}, text)
	}
}

func (d delegate) AckPayload() []byte { return nil }
func (d delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.m.enqueue(membership.ProbeAnswered{Name: membership.Name(other.Name)})
}

// words is the detector's log. Whom it suspects stands nowhere else; should the line change, nobody is shown as suspected
// until given up.
type detectorLog struct{ member *Member }

func (w *detectorLog) Write(line []byte) (int, error) {
	text := string(line)
	if _, rest, ok := strings.Cut(text, "memberlist: Suspect "); ok {
		if name, _, ok := strings.Cut(rest, " has failed"); ok {
			w.member.suspect(membership.Name(name))
		}
	}
	level := slog.LevelDebug
	if strings.Contains(text, "[ERR]") {
		level = slog.LevelInfo
	}
	w.member.log.Log(context.Background(), level, "detector", "says", strings.TrimSpace(text))
	return len(line), nil
}

func (m *Member) suspect(name membership.Name) {
	for _, member := range m.Snapshot().Members {
		if member.Name == name && (member.State == membership.Alive || member.State == membership.Unknown) {
			m.enqueue(membership.MemberReported{Name: name, Incarnation: member.Incarnation, State: membership.Suspected, Zone: member.Zone, Address: member.Address})
		}
	}
}

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
	_ memberlist.PingDelegate     = delegate{}
	_ io.Writer                   = (*detectorLog)(nil)
)
