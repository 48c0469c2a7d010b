// Package membership decides who is in a fleet of couriers, and what this courier's own status in it is, from what a failure detector and
// the other members report, without I/O or a clock. New reads the Config once; Handle takes an instant and events, and returns the
// actions to carry out, in order. docs/membership.md says what is promised.
package membership

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"

	"pineport/dispatch"
)

type (
	// Micros is an instant of this process's clock, or a span.
	Micros = dispatch.Micros
	// Name of a courier, the same over all its starts.
	Name string
	// Incarnation counts the starts of a courier; it only grows.
	Incarnation uint64
)

const second Micros = 1000 * 1000

// State is the state of a member, as far as is known.
type State int

// States of a member.
const (
	Unknown   State = iota // nothing recent is known, as this process has just resumed
	Alive                  // reported, and not suspected
	Suspected              // the detector suspects it
	Failed                 // the detector has given it up; it counts for the size of the fleet all the same
	Left                   // it left by itself, or an operator removed it
)

var stateNames = [...]string{"unknown", "alive", "suspected", "failed", "left"}

// String returns the name of the state in output.
func (s State) String() string { return stateNames[s] }

// LocalStatus is the status of this courier in its fleet.
type LocalStatus int

// The statuses of this courier.
const (
	Isolated    LocalStatus = iota // no other member is alive, though there should be
	Partial                        // some members are alive
	Complete                       // all members are alive
	Recovering                     // this process was paused or its clock jumped: nothing known from before is trusted
	SteppedDown                    // a newer courier of this name is in the fleet
)

// localStatusNames are the names in output; scripts read them.
var localStatusNames = [...]string{"alone", "part", "whole", "just woken", "stood back"}

// String returns the name of the status in output.
func (s LocalStatus) String() string { return localStatusNames[s] }

// Config is the configuration of a Membership.
type Config struct {
	Self        Name
	Incarnation Incarnation
	FleetSize   int    // as configured
	Tick        Micros // how often Tick comes
	Seed        int64
}

// Event is something that happened: one of the types of this package with that method.
type Event interface{ event() }

type (
	// MemberReported is what the failure detector reports of a member.
	MemberReported struct {
		Name        Name
		Incarnation Incarnation
		State       State // Alive, Suspected, Failed or Left
		Zone        string
		Address     string
	}
	// ProbeAnswered reports that a member answered a probe of this process itself.
	ProbeAnswered struct{ Name Name }
	// IncarnationReported reports that some member knows an incarnation of this courier.
	IncarnationReported struct{ Incarnation Incarnation }
	// NameConflict reports a courier of this name at another address.
	NameConflict struct {
		Incarnation Incarnation
		Address     string
	}
	// MemberRemoved reports that, by an operator, a member will not come back.
	MemberRemoved struct{ Name Name }
	// FleetResized reports another configured size of the fleet.
	FleetResized struct{ FleetSize int }
	// Tick comes every Config.Tick.
	Tick struct{}
)

func (MemberReported) event()      {}
func (ProbeAnswered) event()       {}
func (IncarnationReported) event() {}
func (NameConflict) event()        {}
func (MemberRemoved) event()       {}
func (FleetResized) event()        {}
func (Tick) event()                {}

// Action is something to be carried out: one of the types of this package with that method.
type Action interface{ action() }

type (
	// MemberChanged reports a new state of a member.
	MemberChanged struct {
		Name        Name
		From, To    State
		Incarnation Incarnation
		Revoked     bool // it had failed, and the same incarnation is alive after all
	}
	// LocalStatusChanged reports a new status of this courier.
	LocalStatusChanged struct{ From, To LocalStatus }
	// FleetSizeEstimated reports a new size for the dispatcher to use.
	FleetSizeEstimated struct{ Couriers int }
	// IncarnationAdvanced has a new incarnation of this courier stored, and used from then on.
	IncarnationAdvanced struct{ Incarnation Incarnation }
	// StepDown has this courier leave the fleet to the newer one of its name.
	StepDown struct {
		Incarnation Incarnation
		Address     string
	}
)

func (MemberChanged) action()       {}
func (LocalStatusChanged) action()  {}
func (FleetSizeEstimated) action()  {}
func (IncarnationAdvanced) action() {}
func (StepDown) action()            {}

// Member is what is known of one member.
type Member struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"start"`
	State       State       `json:"-"`
	StateName   string      `json:"state"`
	Since       Micros      `json:"since_us"`
	Zone        string      `json:"zone,omitempty"`
	Address     string      `json:"address,omitempty"`
	// AnsweredAt is when it last answered a probe of this courier, 0 if never.
	AnsweredAt Micros `json:"answered_us"`
}

// Snapshot is what is known of the fleet at an instant; the tags are the names in output.
type Snapshot struct {
	Version      uint64      `json:"number"` // grows with each change
	Self         Name        `json:"self"`
	Incarnation  Incarnation `json:"start"`
	LocalStatus  string      `json:"standing"`
	Since        Micros      `json:"since_us"`
	MinCouriers  int         `json:"least"` // that are known to be alive, this one included
	MaxCouriers  int         `json:"most"`  // that may be alive, and are counted on
	Revoked      int         `json:"revoked"`
	StaleReports int         `json:"stale"` // reports about old incarnations
	Members      []Member    `json:"members"`
}

// Membership is the membership of a fleet as one courier knows it. One goroutine owns it.
type Membership struct {
	config          Config
	rng             *rand.Rand
	now             Micros
	actions         []Action
	members         map[Name]*Member
	forgotten       int // members dropped for room, which are counted on
	localStatus     LocalStatus
	since           Micros
	lastTick        Micros
	fresh           map[Name]bool  // members that answered since this process resumed
	deferredReports map[Name]State // reports of suspicions and failures since then, applied later
	estimatedSize   int            // what the dispatcher uses
	shrinkAt        Micros
	version         uint64
	revoked         int
	staleReports    int
}

// New returns a membership that knows no other member.
func New(t Config) *Membership {
	return &Membership{config: t, rng: rand.New(rand.NewSource(t.Seed)), members: map[Name]*Member{}, fresh: map[Name]bool{}, deferredReports: map[Name]State{},
		estimatedSize: max(1, t.FleetSize), shrinkAt: never}
}

const (
	never Micros = 1<<63 - 1
	// maxNames bounds the members that are kept: many times the fleets of some hundreds that this is meant for. Members
	// dropped beyond it are counted on, as they may be alive.
	maxNames = 4096
	// maxTickDelay is how late a Tick may come before the process counts as paused: the detector gives a member up after
	// some seconds, and a loaded machine delays a timer by far less.
	maxTickDelay = 2 * second
	// freshAfter answers of different members end the recovery: one alone may have been paused at the same time.
	freshAfter = 3
	// recoveryTime is how long suspicions and failures are deferred after a pause: the detector has probed again by then.
	recoveryTime = 10 * second
	// shrinkDelay bounds the random delay after which a smaller fleet is used, so that no two couriers do so in step.
	shrinkDelay = 10 * second
)

// Handle takes the events of one instant and returns the actions to carry out, in order.
func (m *Membership) Handle(now Micros, events ...Event) []Action {
	m.actions = nil
	m.checkClock(now)
	for _, event := range events {
		switch e := event.(type) {
		case MemberReported:
			m.memberReported(e)
		case ProbeAnswered:
			m.probeAnswered(e.Name)
		case IncarnationReported:
			m.incarnationReported(e.Incarnation)
		case NameConflict:
			m.nameConflict(e)
		case MemberRemoved:
			if member := m.members[e.Name]; member != nil && member.State != Alive {
				m.setState(member, Left)
			}
		case FleetResized:
			m.config.FleetSize = e.FleetSize
		case Tick:
			m.lastTick = m.now
		}
	}
	m.updateLocalStatus()
	m.estimateSize()
	return m.actions
}

// checkClock notices that this process was paused: its own silence would pass for the failure of all others.
func (m *Membership) checkClock(now Micros) {
	odd := now < m.now || m.lastTick > 0 && now-m.lastTick > m.config.Tick+maxTickDelay
	if m.now = now; !odd || m.localStatus == SteppedDown {
		return
	}
	m.lastTick, m.fresh, m.deferredReports = now, map[Name]bool{}, map[Name]State{}
	for _, name := range m.names() {
		if member := m.members[name]; member.State == Alive || member.State == Suspected {
			m.setState(member, Unknown)
		}
	}
	m.setLocalStatus(Recovering)
	m.since = now
}

func (m *Membership) names() []Name { return slices.Sorted(maps.Keys(m.members)) }

// memberReported takes in a report of the detector. Reports about old incarnations say nothing, and a member that left is back
// only with a new incarnation. During recovery only good reports count: the others may be due to this process's own pause.
func (m *Membership) memberReported(event MemberReported) {
	if event.Name == m.config.Self {
		m.incarnationReported(event.Incarnation)
		return
	}
	member := m.members[event.Name]
	switch {
	case member == nil:
		member = &Member{Name: event.Name, Incarnation: event.Incarnation, State: Unknown, Since: m.now}
		m.members[event.Name] = member
		m.evict(event.Name)
	case event.Incarnation < member.Incarnation || event.Incarnation == member.Incarnation && member.State == Left:
		m.staleReports++
		return
	}
	newer := event.Incarnation > member.Incarnation
	member.Incarnation, member.Zone, member.Address = event.Incarnation, event.Zone, event.Address
	if delete(m.deferredReports, event.Name); m.localStatus == Recovering && (event.State == Suspected || event.State == Failed) {
		m.deferredReports[event.Name] = event.State
		return
	}
	before := member.State
	if m.setState(member, event.State); before == Failed && event.State == Alive && !newer {
		m.revoked++
		if c, ok := m.actions[len(m.actions)-1].(MemberChanged); ok {
			c.Revoked = true
			m.actions[len(m.actions)-1] = c
		}
	}
}

func (m *Membership) setState(member *Member, to State) {
	if member.State == to {
		return
	}
	m.version++
	m.actions = append(m.actions, MemberChanged{Name: member.Name, From: member.State, To: to, Incarnation: member.Incarnation})
	member.State, member.Since = to, m.now
}

// probeAnswered notes that a member is alive, which ends any suspicion.
func (m *Membership) probeAnswered(name Name) {
	member := m.members[name]
	if member == nil || member.State == Left {
		return
	}
	delete(m.deferredReports, name)
	if member.AnsweredAt, m.fresh[name] = m.now, true; member.State != Failed { // a failure is revoked by the detector
		m.setState(member, Alive)
	}
}

// incarnationReported advances the incarnation where a higher one is known, as the state folder is an older copy or lost.
func (m *Membership) incarnationReported(incarnation Incarnation) {
	if incarnation > m.config.Incarnation {
		m.config.Incarnation = incarnation + 1
		m.version++
		m.actions = append(m.actions, IncarnationAdvanced{m.config.Incarnation})
	}
}

// nameConflict decides between two couriers of one name: the older incarnation steps down; of two with the same one, the first
// to notice advances its own by a random number.
func (m *Membership) nameConflict(event NameConflict) {
	switch {
	case m.localStatus == SteppedDown || event.Incarnation < m.config.Incarnation:
	case event.Incarnation == m.config.Incarnation:
		m.config.Incarnation += 1 + Incarnation(m.rng.Int63n(1000))
		m.version++
		m.actions = append(m.actions, IncarnationAdvanced{m.config.Incarnation})
	default:
		m.actions = append(m.actions, StepDown(event))
		m.setLocalStatus(SteppedDown)
	}
}

// evict drops a member for a new one: the one that left longest ago, or else failed. Those that did not leave are counted on.
func (m *Membership) evict(but Name) {
	if len(m.members) <= maxNames {
		return
	}
	rank := func(member *Member) int {
		return map[State]int{Left: 0, Failed: 1, Unknown: 2, Suspected: 3, Alive: 4}[member.State]
	}
	var worst *Member
	for _, name := range m.names() {
		member := m.members[name]
		if name != but && (worst == nil || cmp.Or(cmp.Compare(rank(member), rank(worst)), cmp.Compare(member.Since, worst.Since)) < 0) {
			worst = member
		}
	}
	if worst.State != Left {
		m.forgotten++
	}
	delete(m.members, worst.Name)
	delete(m.deferredReports, worst.Name)
}

// bounds returns how many couriers there are at least and at most, this one included. Failed members may be cut off and at work.
func (m *Membership) bounds() (least, most int) {
	least, most = 1, 1+m.forgotten
	for _, member := range m.members {
		switch member.State {
		case Alive:
			least, most = least+1, most+1
		case Unknown, Suspected, Failed:
			most++
		}
	}
	return least, max(most, m.config.FleetSize)
}

func (m *Membership) updateLocalStatus() {
	if m.localStatus == Recovering && m.now-m.since >= recoveryTime {
		for _, name := range slices.Sorted(maps.Keys(m.deferredReports)) {
			m.setState(m.members[name], m.deferredReports[name])
		}
		m.deferredReports = map[Name]State{}
	}
	least, most := m.bounds()
	switch {
	case m.localStatus == SteppedDown:
	case m.localStatus == Recovering && len(m.fresh) < min(freshAfter, m.others()):
	case least >= most:
		m.setLocalStatus(Complete)
	case least > 1:
		m.setLocalStatus(Partial)
	default:
		m.setLocalStatus(Isolated)
	}
}

// others is how many members might answer during recovery.
func (m *Membership) others() (n int) {
	for _, member := range m.members {
		if member.State == Unknown || m.fresh[member.Name] {
			n++
		}
	}
	return n
}

func (m *Membership) setLocalStatus(s LocalStatus) {
	if m.localStatus != s {
		m.version++
		m.actions = append(m.actions, LocalStatusChanged{m.localStatus, s})
		m.localStatus, m.since = s, m.now
	}
}

// estimateSize updates the size that is used: a larger one at once, as that makes shares of limits smaller; a smaller one only if
// the membership is complete, and later.
func (m *Membership) estimateSize() {
	_, most := m.bounds()
	switch {
	case m.localStatus == SteppedDown || m.localStatus == Recovering:
		most = max(most, m.estimatedSize)
	case most < m.estimatedSize && m.localStatus == Complete && m.shrinkAt == never:
		m.shrinkAt = m.now + Micros(m.rng.Int63n(int64(shrinkDelay)))
	}
	if most >= m.estimatedSize || m.localStatus != Complete {
		m.shrinkAt = never
	}
	if most > m.estimatedSize || m.now >= m.shrinkAt {
		m.estimatedSize, m.shrinkAt = most, never
		m.version++
		m.actions = append(m.actions, FleetSizeEstimated{most})
	}
}

// EstimatedSize returns the size of the fleet that is used.
func (m *Membership) EstimatedSize() int { return m.estimatedSize }

// Incarnations returns the highest incarnation known of each member that is kept, and of this courier.
func (m *Membership) Incarnations() map[Name]Incarnation {
	starts := map[Name]Incarnation{m.config.Self: m.config.Incarnation}
	for name, member := range m.members {
		starts[name] = member.Incarnation
	}
	return starts
}

// Snapshot returns what is known now.
func (m *Membership) Snapshot() Snapshot {
	minimum, maximum := m.bounds()
	snapshot := Snapshot{Version: m.version, Self: m.config.Self, Incarnation: m.config.Incarnation, LocalStatus: m.localStatus.String(), Since: m.since,
		MinCouriers: minimum, MaxCouriers: max(maximum, m.estimatedSize), Revoked: m.revoked, StaleReports: m.staleReports}
	for _, name := range m.names() {
		member := *m.members[name]
		member.StateName = member.State.String()
		snapshot.Members = append(snapshot.Members, member)
	}
	return snapshot
}
