// Package gossip carries what a fleet's couriers say of one another: hashicorp/memberlist detects, membership decides, and
// this joins the two with a clock, a network and a log. Nothing here is on a record's way, and nothing waits for it.
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

	"pineport/dispatch"
	"pineport/membership"
)

// Options are what a member is told.
type Options struct {
	Name      string
	Start     uint64
	Couriers  int // of the fleet, as the settings say
	Fleet     string
	Zone      string
	Listen    string
	Advertise string // where others reach it, if not at Listen
	Join      []string
	Through   map[string]string
	Key       string // hex, of 16, 24 or 32 bytes; empty: none
	Pace      time.Duration
	Salt      int64
	Log       *slog.Logger
	// Keep writes a start's number down, before it is used.
	Keep func(start uint64) error
	// Reckon is told how many couriers the decisions are to reckon with. It must not wait.
	Reckon func(couriers int)
	// Hear is told what others said with Say. It must not wait.
	Hear func(text []byte)
	// Transport stands in for sockets, in tests.
	Transport memberlist.Transport
}

// Version of what is said beside the detector's own words. Unknown fields are passed over; a later version that may not be
// read by this one would take another number.
const Version = 1

// tag is what a member says of itself in every word on it.
type tag struct {
	Version int    `cbor:"1,keyasint"`
	Start   uint64 `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	Leaving bool   `cbor:"4,keyasint,omitempty"`
}

// state is what two members tell each other in full, now and then.
type state struct {
	Version int               `cbor:"1,keyasint"`
	From    string            `cbor:"2,keyasint"`
	Starts  map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// namesake tells a courier that another one of its name is there: who hears of both tells the older start.
type namesake struct {
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Start   uint64 `cbor:"3,keyasint"`
	At      string `cbor:"4,keyasint"`
}

// parcel carries what a part beside membership says. An earlier version passes it over.
type parcel struct {
	Version int    `cbor:"1,keyasint"`
	Commons []byte `cbor:"9,keyasint"`
}

const (
	queueSize = 1024 // words that wait for the view; a lost one comes again, from the detector's list
	nameMost  = 128  // bytes of a name
	ticks     = 5    // a pace has so many
	askMost   = 4    // suspected members that are asked at once
	// againTicks is how often the detector's list is held against the view, lost words or not.
	againTicks = 10 * ticks
	leaveFor   = 500 * time.Millisecond
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
	o       Options
	log     *slog.Logger
	list    *memberlist.Memberlist
	sockets *sockets // nil: another transport
	view    *membership.View
	events  chan membership.Event
	begun   time.Time
	start   atomic.Uint64
	leaving atomic.Bool
	aside   atomic.Bool
	lost    atomic.Int64
	picture atomic.Pointer[membership.Picture]
	starts  atomic.Pointer[map[membership.Name]membership.Start]
	changes map[string]int64 // by the state that was reached; the loop's
	counted atomic.Pointer[map[string]int64]
	stop    context.CancelFunc
	done    sync.WaitGroup
	end     sync.Once
}

// Open joins the fleet. Members that cannot be reached are tried again, with pauses.
func Open(o Options) (*Member, error) {
	if o.Pace == 0 {
		o.Pace = time.Second
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if len(o.Name) == 0 || len(o.Name) > nameMost {
		return nil, fmt.Errorf("peers: a name of 1 to %d bytes was expected", nameMost)
	}
	key, err := hex.DecodeString(o.Key)
	if err != nil || len(key) != 0 && len(key) != 16 && len(key) != 24 && len(key) != 32 {
		return nil, fmt.Errorf("peers.key: 16, 24 or 32 bytes in hex were expected")
	}
	m := &Member{o: o, log: o.Log, events: make(chan membership.Event, queueSize), begun: time.Now(), changes: map[string]int64{}}
	m.start.Store(o.Start)
	m.view = membership.New(membership.Terms{Self: membership.Name(o.Name), Start: membership.Start(o.Start), Fleet: o.Couriers, Tick: dispatch.Micros((o.Pace / ticks).Microseconds()), Salt: o.Salt})
	m.publish()
	c := m.settings(key)
	if o.Transport == nil {
		if m.sockets, err = listen(o.Listen, o.Advertise, o.Through); err != nil {
			return nil, fmt.Errorf("peers.listen: %w", err)
		}
		c.Transport = m.sockets
	}
	if m.list, err = memberlist.Create(c); err != nil {
		if m.sockets != nil {
			m.sockets.Shutdown()
		}
		return nil, fmt.Errorf("peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Add(2)
	go m.run(ctx)
	go m.join(ctx)
	return m, nil
}

func (m *Member) settings(key []byte) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = m.o.Name, m.o.Fleet, m.o.Transport
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = m.o.Pace, m.o.Pace/2, m.o.Pace/5
	c.PushPullInterval, c.GossipToTheDeadTime, c.TCPTimeout = 15*m.o.Pace, 30*m.o.Pace, 5*m.o.Pace
	c.DeadNodeReclaimTime = m.o.Pace // a courier may come back at another address
	c.Delegate, c.Events, c.Conflict, c.Ping = delegate{m}, delegate{m}, delegate{m}, delegate{m}
	c.SecretKey, c.LogOutput, c.UDPBufferSize, c.EnableCompression = key, &words{m: m}, 1400, false
	return c
}

// join seeks the members that it was told of, until one is found, and then now and then while somebody is missing.
func (m *Member) join(ctx context.Context) {
	defer m.done.Done()
	wait := m.o.Pace
	for {
		if p := m.Picture(); p.Standing != membership.Whole.String() && len(m.o.Join) > 0 && !m.aside.Load() {
			if n, err := m.list.Join(m.o.Join); n == 0 {
				m.log.Debug("nobody reached", "fault", err)
				wait = min(2*wait, 16*m.o.Pace)
			} else {
				wait = 8 * m.o.Pace
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
	tick := time.NewTicker(m.o.Pace / ticks)
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
			// Behind what the detector has told already, or what came in while this process stood still would count as old.
			events = append(events, membership.Passed{})
			passed++
			if since++; since >= againTicks || m.lost.Load() != lost {
				since, lost = 0, m.lost.Load()
				events = append(events, m.again()...)
			}
		}
		for range len(m.events) {
			events = append(events, <-m.events)
		}
		actions := m.view.Handle(dispatch.Micros(time.Since(m.begun).Microseconds())+1, events...)
		m.carryOut(actions)
		if len(actions) > 0 || passed >= ticks { // who answered last may be shown a pace late
			passed = 0
			m.publish()
		}
	}
}

// again says anew where the detector's list and the view differ. Failure: the detector tells a change once, and one that found the
// queue full was never heard of; in a storm of joins a member stayed failed for good.
func (m *Member) again() (events []membership.Event) {
	states := map[membership.Name]membership.State{}
	for _, o := range m.Picture().Members {
		states[o.Name] = o.State
	}
	for _, n := range m.list.Members() {
		name := membership.Name(n.Name)
		state, known := states[name]
		delete(states, name)
		if e, ok := m.word(n, membership.Alive); ok && (!known || state == membership.Failed || state == membership.Left) {
			events = append(events, e)
		}
	}
	asked := 0
	for _, o := range m.Picture().Members {
		if o.State == membership.Suspected && asked < askMost { // that a suspicion is over is told to nobody: ask
			asked++
			go m.ask(o)
		}
		if _, missing := states[o.Name]; missing && o.State != membership.Failed && o.State != membership.Left {
			events = append(events, membership.Heard{Name: o.Name, Start: o.Start, State: membership.Failed, Zone: o.Zone, At: o.At})
		}
	}
	return events
}

// ask has a member prove that it is there.
func (m *Member) ask(o membership.Member) {
	at, err := net.ResolveUDPAddr("udp", o.At)
	if err != nil {
		return
	}
	if _, err := m.list.Ping(string(o.Name), at); err == nil {
		m.tell(membership.Answered{Name: o.Name})
	}
}

func (m *Member) publish() {
	p, starts, counts := m.view.Look(), m.view.Starts(), map[string]int64{}
	for k, n := range m.changes {
		counts[k] = n
	}
	m.picture.Store(&p)
	m.starts.Store(&starts)
	m.counted.Store(&counts)
}

func (m *Member) carryOut(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Changed:
			m.changes[a.To.String()]++
			m.log.Info("member", "name", a.Name, "was", a.From.String(), "is", a.To.String(), "start", uint64(a.Start), "taken_back", a.Revoked)
		case membership.Stands:
			m.log.Info("standing", "was", a.From.String(), "is", a.To.String())
		case membership.Reckon:
			m.log.Info("fleet", "couriers", a.Couriers)
			if m.o.Reckon != nil {
				m.o.Reckon(a.Couriers)
			}
		case membership.Renumber:
			m.renumber(uint64(a.Start))
		case membership.StandBack:
			m.log.Error("a younger courier of this name is in the fleet: this one stands back, and delivers on by itself", "its_start", uint64(a.Start), "at", a.At)
			m.aside.Store(true)
			go m.withdraw()
		}
	}
}

// renumber keeps the number and then tells it; one that cannot be kept is told all the same, as it is higher than any seen.
func (m *Member) renumber(start uint64) {
	if m.o.Keep != nil {
		if err := m.o.Keep(start); err != nil {
			m.log.Error("the number of this start cannot be kept", "start", start, "fault", err)
		}
	}
	m.log.Warn("this start goes on under a higher number", "start", start)
	m.start.Store(start)
	go m.list.UpdateNode(m.o.Pace)
}

// withdraw ends talking without a word, as the name is another's.
func (m *Member) withdraw() { m.list.Shutdown() }

// tell puts an event before the view; the detector must not wait.
func (m *Member) tell(e membership.Event) {
	select {
	case m.events <- e:
	default:
		m.lost.Add(1)
	}
}

// Picture is the view as it last stood.
func (m *Member) Picture() membership.Picture { return *m.picture.Load() }

// Figures count what happened, and what it took.
type Figures struct {
	Changes map[string]int64 `json:"changes"`
	Lost    int64            `json:"words_lost"`
	Health  int              `json:"own_health"` // the detector's doubt in this courier itself, 0 for none
	Network Counts           `json:"network"`
}

// Figures are the counts as they stand.
func (m *Member) Figures() Figures {
	f := Figures{Changes: *m.counted.Load(), Lost: m.lost.Load(), Health: m.list.GetHealthScore()}
	if m.sockets != nil {
		f.Network = m.sockets.counts.read()
	}
	return f
}

// Say has a member hear some bytes, in one packet that may be lost.
func (m *Member) Say(to string, text []byte) error {
	for _, n := range m.list.Members() {
		if n.Name != to {
			continue
		}
		packet, err := cbor.Marshal(parcel{Version, text})
		if err != nil {
			return err
		}
		return m.list.SendBestEffort(n, packet)
	}
	return fmt.Errorf("peers: no member has the name %q", to)
}

// Sized tells that the settings name another number of couriers.
func (m *Member) Sized(couriers int) { m.tell(membership.Sized{Fleet: couriers}) }

// Gone tells that a member will not come back, as an operator says.
func (m *Member) Gone(name string) { m.tell(membership.Gone{Name: membership.Name(name)}) }

// Members are the addresses of those heard, for a process that takes over.
func (m *Member) Members() (at []string) {
	for _, o := range m.Picture().Members {
		if o.State != membership.Left && o.At != "" {
			at = append(at, o.At)
		}
	}
	return at
}

// Start is the number of this start.
func (m *Member) Start() uint64 { return m.start.Load() }

// Leave says that this courier goes, and ends.
func (m *Member) Leave() {
	m.end.Do(func() {
		if !m.aside.Load() {
			m.leaving.Store(true)
			m.list.UpdateNode(leaveFor)
			m.list.Leave(leaveFor)
		}
		m.quit()
	})
}

// Hand ends without a word: another process of this courier goes on as the same member.
func (m *Member) Hand() { m.end.Do(m.quit) }

func (m *Member) quit() {
	m.stop()
	m.list.Shutdown()
	m.done.Wait()
}

// delegate is what the detector calls.
type delegate struct{ m *Member }

func (d delegate) NodeMeta(limit int) []byte {
	text, err := cbor.Marshal(tag{Version: Version, Start: d.m.start.Load(), Zone: d.m.o.Zone, Leaving: d.m.leaving.Load()})
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

// NotifyMsg takes word of a namesake, and what is carried for others.
func (d delegate) NotifyMsg(text []byte) {
	var p parcel
	if decoder.Unmarshal(text, &p) == nil && p.Version == Version && len(p.Commons) > 0 {
		if d.m.o.Hear != nil {
			d.m.o.Hear(p.Commons)
		}
		return
	}
	var n namesake
	if decoder.Unmarshal(text, &n) == nil && n.Version == Version && n.Name == d.m.o.Name && len(n.At) <= nameMost {
		d.m.tell(membership.Namesake{Start: membership.Start(n.Start), At: n.At})
	}
}

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

func (d delegate) LocalState(bool) []byte {
	s := state{Version: Version, From: d.m.o.Name, Starts: map[string]uint64{}}
	for name, start := range *d.m.starts.Load() {
		s.Starts[string(name)] = uint64(start)
	}
	text, err := cbor.Marshal(s)
	if err != nil {
		return nil
	}
	return text
}

func (d delegate) MergeRemoteState(text []byte, _ bool) {
	var s state
	if decoder.Unmarshal(text, &s) != nil || s.Version != Version || len(s.From) > nameMost {
		return
	}
	if start, ok := s.Starts[d.m.o.Name]; ok {
		d.m.tell(membership.Claimed{Start: membership.Start(start)})
	}
	d.m.tell(membership.Answered{Name: membership.Name(s.From)})
}

// heard makes a word of the view's out of one of the detector's.
func (d delegate) heard(n *memberlist.Node, state membership.State) {
	if e, ok := d.m.word(n, state); ok {
		d.m.tell(e)
	}
}

// word is what a member of the detector's list is to the view, unless it makes no sense or is this courier.
func (m *Member) word(n *memberlist.Node, state membership.State) (membership.Heard, bool) {
	var t tag
	if n.Name == m.o.Name || decoder.Unmarshal(n.Meta, &t) != nil || len(n.Name) > nameMost || len(t.Zone) > nameMost {
		return membership.Heard{}, false
	}
	if t.Leaving {
		state = membership.Left
	}
	return membership.Heard{Name: membership.Name(n.Name), Start: membership.Start(t.Start), State: state, Zone: t.Zone, At: n.Address()}, true
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.heard(n, membership.Alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.heard(n, membership.Alive) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.heard(n, membership.Failed) }

func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	var here, there tag
	if decoder.Unmarshal(existing.Meta, &here) != nil || decoder.Unmarshal(other.Meta, &there) != nil {
		return
	}
	if other.Name == d.m.o.Name {
		d.m.tell(membership.Namesake{Start: membership.Start(there.Start), At: other.Address()})
		return
	}
	older, younger, start := *existing, *other, there.Start
	if here.Start > there.Start {
		older, younger, start = *other, *existing, here.Start
	}
	text, err := cbor.Marshal(namesake{Version, other.Name, start, younger.Address()})
	if err == nil { // the detector is not to wait
		go d.m.list.SendToAddress(memberlist.Address{Addr: older.Address(), Name: older.Name}, text)
	}
}

func (d delegate) AckPayload() []byte { return nil }
func (d delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.m.tell(membership.Answered{Name: membership.Name(other.Name)})
}

// words is the detector's log. Whom it suspects stands nowhere else; should the line change, nobody is shown as suspected
// until given up.
type words struct{ m *Member }

func (w *words) Write(line []byte) (int, error) {
	text := string(line)
	if _, rest, ok := strings.Cut(text, "memberlist: Suspect "); ok {
		if name, _, ok := strings.Cut(rest, " has failed"); ok {
			w.m.suspect(membership.Name(name))
		}
	}
	level := slog.LevelDebug
	if strings.Contains(text, "[ERR]") {
		level = slog.LevelInfo
	}
	w.m.log.Log(context.Background(), level, "detector", "says", strings.TrimSpace(text))
	return len(line), nil
}

func (m *Member) suspect(name membership.Name) {
	for _, o := range m.Picture().Members {
		if o.Name == name && (o.State == membership.Alive || o.State == membership.Unknown) {
			m.tell(membership.Heard{Name: name, Start: o.Start, State: membership.Suspected, Zone: o.Zone, At: o.At})
		}
	}
}

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
	_ memberlist.PingDelegate     = delegate{}
	_ io.Writer                   = (*words)(nil)
)
