// Package gossip runs the membership protocol of a fleet of couriers. It connects hashicorp/memberlist, which detects failures,
// to package membership, which decides, and adds the clock, the network and the log. No message passes through this package,
// and message delivery never waits for it.
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

// Options configure a Member.
type Options struct {
	Name          string
	Incarnation   uint64
	FleetSize     int    // configured number of couriers in the fleet
	Fleet         string // name of the fleet; packets of other fleets are ignored
	Zone          string
	Listen        string
	Advertise     string            // address at which other members reach this one; empty: Listen
	Join          []string          // addresses of members to join
	DialAddresses map[string]string // addresses to dial instead of the announced addresses of members; the keys are the announced ones
	Key           string            // hex encoding of the 16, 24 or 32 byte encryption key; empty: no encryption
	Interval      time.Duration     // between two probes of the detector; default 1 s
	Seed          int64
	Log           *slog.Logger
	// StoreIncarnation stores a new incarnation of this courier. It is called before the incarnation is announced.
	StoreIncarnation func(incarnation uint64) error
	// SizeEstimated receives the fleet size that the dispatcher has to use. It must not block.
	SizeEstimated func(couriers int)
	// Receive receives the data that another member sent with Member.Send. It must not block.
	Receive func(data []byte)
	// Transport replaces the UDP and TCP sockets in tests.
	Transport memberlist.Transport
}

// Version is the version of the data that is exchanged in addition to the detector's own messages. Receivers ignore unknown
// fields. An incompatible format needs a new version number.
const Version = 1

// metadata is the metadata that memberlist distributes with each member.
type metadata struct {
	Version     int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
}

// pushPullState is the full state that two members exchange periodically.
type pushPullState struct {
	Version      int               `cbor:"1,keyasint"`
	From         string            `cbor:"2,keyasint"`
	Incarnations map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// nameConflict notifies a courier that another courier with its name is in the fleet. A member that sees both sends it to the one
// with the older incarnation, or to the one that it knew first if both incarnations are equal.
type nameConflict struct {
	Version     int    `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
}

// userPacket carries a packet of package quota, see Member.Send. Couriers of versions without this message ignore it.
type userPacket struct {
	Version int    `cbor:"1,keyasint"`
	Quota   []byte `cbor:"9,keyasint"`
}

const (
	eventQueueSize   = 1024 // events waiting for run; resync recovers dropped ones from the detector's member list
	maxNameBytes     = 128  // maximum length of the name, zone or address of a member
	ticksPerInterval = 5    // Tick events per Options.Interval
	maxProbes        = 4    // suspected members that one resync probes
	// resyncTicks is the number of ticks between two resyncs if no event was dropped.
	resyncTicks  = 10 * ticksPerInterval
	leaveTimeout = 500 * time.Millisecond
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 16, MaxMapPairs: 8192, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constants
	}
	return mode
}()

// Member is this courier as a member of its fleet.
type Member struct {
	options          Options
	log              *slog.Logger
	list             *memberlist.Memberlist
	sockets          *socketTransport // nil if Options.Transport is set
	membership       *membership.Membership
	events           chan membership.Event
	startedAt        time.Time
	incarnation      atomic.Uint64
	leaving          atomic.Bool
	steppedDown      atomic.Bool
	lostEvents       atomic.Int64
	snapshot         atomic.Pointer[membership.Snapshot]
	incarnations     atomic.Pointer[map[membership.Name]membership.Incarnation]
	stateChanges     map[string]int64 // transitions of members by new state; only run uses it
	publishedChanges atomic.Pointer[map[string]int64]
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	closeOnce        sync.Once
}

// Open starts a member and joins the fleet in the background. It retries members that it cannot reach, with increasing delays.
func Open(o Options) (*Member, error) {
	if o.Interval == 0 {
		o.Interval = time.Second
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if len(o.Name) == 0 || len(o.Name) > maxNameBytes {
		return nil, fmt.Errorf("peers: name must have 1 to %d bytes", maxNameBytes)
	}
	key, err := hex.DecodeString(o.Key)
	if err != nil || len(key) != 0 && len(key) != 16 && len(key) != 24 && len(key) != 32 {
		return nil, fmt.Errorf("peers.key: expected 16, 24 or 32 bytes in hex")
	}
	member := &Member{options: o, log: o.Log, events: make(chan membership.Event, eventQueueSize), startedAt: clock.Instant(), stateChanges: map[string]int64{}}
	member.incarnation.Store(o.Incarnation)
	member.membership = membership.New(membership.Config{Self: membership.Name(o.Name), Incarnation: membership.Incarnation(o.Incarnation), FleetSize: o.FleetSize, Tick: dispatch.Micros((o.Interval / ticksPerInterval).Microseconds()), Seed: o.Seed})
	member.publish()
	c := member.memberlistConfig(key)
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
	member.cancel = cancel
	member.wg.Add(2)
	go member.run(ctx)
	go member.join(ctx)
	return member, nil
}

func (m *Member) memberlistConfig(key []byte) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = m.options.Name, m.options.Fleet, m.options.Transport
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = m.options.Interval, m.options.Interval/2, m.options.Interval/5
	c.PushPullInterval, c.GossipToTheDeadTime, c.TCPTimeout = 15*m.options.Interval, 30*m.options.Interval, 5*m.options.Interval
	c.DeadNodeReclaimTime = m.options.Interval // a restarted courier may have another address
	c.Delegate, c.Events, c.Conflict, c.Ping = delegate{m}, delegate{m}, delegate{m}, delegate{m}
	c.SecretKey, c.LogOutput, c.UDPBufferSize, c.EnableCompression = key, &detectorLog{member: m}, 1400, false
	return c
}

// join contacts the addresses of Options.Join while the local status is not Complete, so that the member finds the fleet and separated
// parts of the fleet merge again. The delay doubles up to 16 intervals while no address responds, and is 8 intervals after a response.
func (m *Member) join(ctx context.Context) {
	defer m.wg.Done()
	wait := m.options.Interval
	for {
		if snapshot := m.Snapshot(); snapshot.LocalStatus != membership.Complete.String() && len(m.options.Join) > 0 && !m.steppedDown.Load() {
			if n, err := m.list.Join(m.options.Join); n == 0 {
				m.log.Debug("join failed: no member reached", "error", err)
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

// run is the event loop of the member. Only its goroutine uses m.membership.
func (m *Member) run(ctx context.Context) {
	defer m.wg.Done()
	tick := time.NewTicker(m.options.Interval / ticksPerInterval)
	defer tick.Stop()
	var resyncedLostEvents int64
	for ticksSincePublish, ticksSinceResync := 0, 0; ; {
		var events []membership.Event
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			events = append(events, e)
		case <-tick.C:
			// Handle processes the Tick and the queued events in one batch. It detects a pause of this process before it applies
			// the reports that arrived during the pause.
			events = append(events, membership.Tick{})
			ticksSincePublish++
			if ticksSinceResync++; ticksSinceResync >= resyncTicks || m.lostEvents.Load() != resyncedLostEvents {
				ticksSinceResync, resyncedLostEvents = 0, m.lostEvents.Load()
				events = append(events, m.resync()...)
			}
		}
		for range len(m.events) {
			events = append(events, <-m.events)
		}
		// + 1, because 0 stands for never.
		actions := m.membership.Handle(dispatch.Micros(clock.Since(m.startedAt).Microseconds())+1, events...)
		m.carryOut(actions)
		if len(actions) > 0 || ticksSincePublish >= ticksPerInterval { // published response times may be one interval old
			ticksSincePublish = 0
			m.publish()
		}
	}
}

// resync returns events for the differences between the detector's member list and the membership. Incident: the detector reports
// each change only once, and reports were dropped while the event queue was full. After many members joined at once, a member
// remained Failed forever.
func (m *Member) resync() (events []membership.Event) {
	states := map[membership.Name]membership.State{}
	for _, member := range m.Snapshot().Members {
		states[member.Name] = member.State
	}
	for _, node := range m.list.Members() {
		name := membership.Name(node.Name)
		state, known := states[name]
		delete(states, name)
		if e, ok := m.memberReport(node, membership.Alive); ok && (!known || state == membership.Failed || state == membership.Left) {
			events = append(events, e)
		}
	}
	probes := 0 // states now holds only the members that are missing in the detector's list
	for _, member := range m.Snapshot().Members {
		if member.State == membership.Suspected && probes < maxProbes { // the detector does not report the end of a suspicion
			probes++
			go m.probe(member)
		}
		if _, unlisted := states[member.Name]; unlisted && member.State != membership.Failed && member.State != membership.Left {
			events = append(events, membership.MemberReported{Name: member.Name, Incarnation: member.Incarnation, State: membership.Failed, Zone: member.Zone, Address: member.Address})
		}
	}
	return events
}

// probe pings a member and enqueues ProbeAnswered if it responds.
func (m *Member) probe(member membership.Member) {
	at, err := net.ResolveUDPAddr("udp", member.Address)
	if err != nil {
		return
	}
	if _, err := m.list.Ping(string(member.Name), at); err == nil {
		m.enqueue(membership.MemberResponded{Name: member.Name})
	}
}

func (m *Member) publish() {
	snapshot, incarnations, counts := m.membership.Snapshot(), m.membership.Incarnations(), map[string]int64{}
	for k, n := range m.stateChanges {
		counts[k] = n
	}
	m.snapshot.Store(&snapshot)
	m.incarnations.Store(&incarnations)
	m.publishedChanges.Store(&counts)
}

func (m *Member) carryOut(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.MemberChanged:
			m.stateChanges[a.To.String()]++
			m.log.Info("member state changed", "name", a.Name, "from", a.From.String(), "to", a.To.String(), "incarnation", uint64(a.Incarnation), "revoked", a.Revoked)
		case membership.LocalStatusChanged:
			m.log.Info("local status changed", "from", a.From.String(), "to", a.To.String())
		case membership.FleetSizeEstimated:
			m.log.Info("fleet size changed", "couriers", a.Couriers)
			if m.options.SizeEstimated != nil {
				m.options.SizeEstimated(a.Couriers)
			}
		case membership.IncarnationAdvanced:
			m.advanceIncarnation(uint64(a.Incarnation))
		case membership.StepDown:
			m.log.Error("name conflict: a courier with this name and a newer incarnation is in the fleet; stopping membership, messages are still delivered", "incarnation", uint64(a.Incarnation), "address", a.Address)
			m.steppedDown.Store(true)
			go m.stepDown()
		}
	}
}

// advanceIncarnation stores a new incarnation and announces it to the fleet. If storing fails, the incarnation is announced anyway: it is
// higher than any known one, and after a restart the other members report it back.
func (m *Member) advanceIncarnation(incarnation uint64) {
	if m.options.StoreIncarnation != nil {
		if err := m.options.StoreIncarnation(incarnation); err != nil {
			m.log.Error("incarnation not stored", "incarnation", incarnation, "error", err)
		}
	}
	m.log.Warn("incarnation advanced", "incarnation", incarnation)
	m.incarnation.Store(incarnation)
	go m.list.UpdateNode(m.options.Interval)
}

// stepDown stops the member without a leave message, because the name now belongs to another courier.
func (m *Member) stepDown() { m.list.Shutdown() }

// enqueue queues an event for run. If the queue is full it drops the event, because the detector's callbacks must not block.
func (m *Member) enqueue(e membership.Event) {
	select {
	case m.events <- e:
	default:
		m.lostEvents.Add(1)
	}
}

// Snapshot returns the last published state of the membership.
func (m *Member) Snapshot() membership.Snapshot { return *m.snapshot.Load() }

// Metrics are the counters of a Member.
type Metrics struct {
	Changes    map[string]int64 `json:"changes"`    // state transitions of members, by new state
	LostEvents int64            `json:"words_lost"` // events dropped because the queue was full
	Health     int              `json:"own_health"` // memberlist's health score of this courier, 0 is healthy
	Network    Counts           `json:"network"`
}

// Metrics returns the current counters.
func (m *Member) Metrics() Metrics {
	metrics := Metrics{Changes: *m.publishedChanges.Load(), LostEvents: m.lostEvents.Load(), Health: m.list.GetHealthScore()}
	if m.sockets != nil {
		metrics.Network = m.sockets.counters.load()
	}
	return metrics
}

// Send sends data to a member in one UDP packet, which may be lost.
func (m *Member) Send(to string, data []byte) error {
	for _, node := range m.list.Members() {
		if node.Name != to {
			continue
		}
		packet, err := cbor.Marshal(userPacket{Version, data})
		if err != nil {
			return err
		}
		return m.list.SendBestEffort(node, packet)
	}
	return fmt.Errorf("peers: unknown member %q", to)
}

// SetFleetSize sets the configured number of couriers.
func (m *Member) SetFleetSize(couriers int) { m.enqueue(membership.FleetResized{FleetSize: couriers}) }

// Remove marks a member as left, because an operator declared that it will not return. It has no effect on an alive member.
func (m *Member) Remove(name string) {
	m.enqueue(membership.MemberRemoved{Name: membership.Name(name)})
}

// MemberAddresses returns the addresses of all other known members that have not left, for a successor process.
func (m *Member) MemberAddresses() (addresses []string) {
	for _, member := range m.Snapshot().Members {
		if member.State != membership.Left && member.Address != "" {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// Incarnation returns the current incarnation of this courier.
func (m *Member) Incarnation() uint64 { return m.incarnation.Load() }

// Leave announces that this courier leaves the fleet, and stops the member.
func (m *Member) Leave() {
	m.closeOnce.Do(func() {
		if !m.steppedDown.Load() {
			m.leaving.Store(true)
			m.list.UpdateNode(leaveTimeout)
			m.list.Leave(leaveTimeout)
		}
		m.shutdown()
	})
}

// HandOff stops the member without a leave message: a successor process of this courier continues as the same member.
func (m *Member) HandOff() { m.closeOnce.Do(m.shutdown) }

func (m *Member) shutdown() {
	m.cancel()
	m.list.Shutdown()
	m.wg.Wait()
}

// delegate implements the callbacks of memberlist.
type delegate struct{ m *Member }

// NodeMeta returns the metadata of this courier, or nil if it is longer than limit. The other members ignore a courier without metadata.
func (d delegate) NodeMeta(limit int) []byte {
	data, err := cbor.Marshal(metadata{Version: Version, Incarnation: d.m.incarnation.Load(), Zone: d.m.options.Zone, Leaving: d.m.leaving.Load()})
	if err != nil || len(data) > limit {
		return nil
	}
	return data
}

// NotifyMsg receives the data of Member.Send and notifications of name conflicts.
func (d delegate) NotifyMsg(data []byte) {
	var p userPacket
	if decoder.Unmarshal(data, &p) == nil && p.Version == Version && len(p.Quota) > 0 {
		if d.m.options.Receive != nil {
			d.m.options.Receive(p.Quota)
		}
		return
	}
	var n nameConflict
	if decoder.Unmarshal(data, &n) == nil && n.Version == Version && n.Name == d.m.options.Name && len(n.Address) <= maxNameBytes {
		d.m.enqueue(membership.NameConflict{Incarnation: membership.Incarnation(n.Incarnation), Address: n.Address})
	}
}

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

func (d delegate) LocalState(bool) []byte {
	s := pushPullState{Version: Version, From: d.m.options.Name, Incarnations: map[string]uint64{}}
	for name, incarnation := range *d.m.incarnations.Load() {
		s.Incarnations[string(name)] = uint64(incarnation)
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil
	}
	return data
}

func (d delegate) MergeRemoteState(data []byte, _ bool) {
	var s pushPullState
	if decoder.Unmarshal(data, &s) != nil || s.Version != Version || len(s.From) > maxNameBytes {
		return
	}
	if incarnation, ok := s.Incarnations[d.m.options.Name]; ok {
		d.m.enqueue(membership.IncarnationReported{Incarnation: membership.Incarnation(incarnation)})
	}
	d.m.enqueue(membership.MemberResponded{Name: membership.Name(s.From)})
}

// enqueueReport enqueues a report of the detector as an event of the membership.
func (d delegate) enqueueReport(node *memberlist.Node, state membership.State) {
	if e, ok := d.m.memberReport(node, state); ok {
		d.m.enqueue(e)
	}
}

// memberReport converts an entry of the detector's member list to an event. It returns false for this courier itself and for
// entries with malformed metadata or with a name or zone that is too long.
func (m *Member) memberReport(node *memberlist.Node, state membership.State) (membership.MemberReported, bool) {
	var t metadata
	if node.Name == m.options.Name || decoder.Unmarshal(node.Meta, &t) != nil || len(node.Name) > maxNameBytes || len(t.Zone) > maxNameBytes {
		return membership.MemberReported{}, false
	}
	if t.Leaving {
		state = membership.Left
	}
	return membership.MemberReported{Name: membership.Name(node.Name), Incarnation: membership.Incarnation(t.Incarnation), State: state, Zone: t.Zone, Address: node.Address()}, true
}

func (d delegate) NotifyJoin(node *memberlist.Node)   { d.enqueueReport(node, membership.Alive) }
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.enqueueReport(node, membership.Alive) }

// NotifyLeave is called for failed and for leaving members. memberReport reports Left instead if the metadata says Leaving.
func (d delegate) NotifyLeave(node *memberlist.Node) { d.enqueueReport(node, membership.Failed) }

func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	var existingMetadata, otherMetadata metadata
	if decoder.Unmarshal(existing.Meta, &existingMetadata) != nil || decoder.Unmarshal(other.Meta, &otherMetadata) != nil {
		return
	}
	if other.Name == d.m.options.Name {
		d.m.enqueue(membership.NameConflict{Incarnation: membership.Incarnation(otherMetadata.Incarnation), Address: other.Address()})
		return
	}
	older, newer, newerIncarnation := *existing, *other, otherMetadata.Incarnation
	if existingMetadata.Incarnation > otherMetadata.Incarnation {
		older, newer, newerIncarnation = *other, *existing, existingMetadata.Incarnation
	}
	data, err := cbor.Marshal(nameConflict{Version, other.Name, newerIncarnation, newer.Address()})
	if err == nil { // in a goroutine, because memberlist's callbacks must not block
		go d.m.list.SendToAddress(memberlist.Address{Addr: older.Address(), Name: older.Name}, data)
	}
}

func (d delegate) AckPayload() []byte { return nil }
func (d delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.m.enqueue(membership.MemberResponded{Name: membership.Name(other.Name)})
}

// detectorLog receives memberlist's log. memberlist reports suspicions only there. If a later version words the line differently,
// members go from Alive to Failed without being shown as Suspected.
type detectorLog struct{ member *Member }

func (d *detectorLog) Write(line []byte) (int, error) {
	text := string(line)
	if _, rest, ok := strings.Cut(text, "memberlist: Suspect "); ok {
		if name, _, ok := strings.Cut(rest, " has failed"); ok {
			d.member.enqueueSuspicion(membership.Name(name))
		}
	}
	level := slog.LevelDebug
	if strings.Contains(text, "[ERR]") {
		level = slog.LevelInfo
	}
	d.member.log.Log(context.Background(), level, "detector", "says", strings.TrimSpace(text))
	return len(line), nil
}

func (m *Member) enqueueSuspicion(name membership.Name) {
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
