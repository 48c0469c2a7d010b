// Package membership tracks the members of a fleet of couriers and this courier's own status in the fleet. Its input is what a failure
// detector and the other members report. It does no I/O and reads no clock: New reads the Config once, and Handle takes the current time
// and events and returns the actions to carry out, in order. docs/membership.md lists the guarantees.
package membership

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"

	"pineport/dispatch"
)

type (
	// Micros is a time on this process's clock, or a duration, in microseconds.
	Micros = dispatch.Micros
	// Name is the name of a courier. It stays the same over all starts of the courier.
	Name string
	// Incarnation numbers the starts of a courier. It never decreases.
	Incarnation uint64
)

const second Micros = 1000 * 1000

// State is the last known state of a member.
type State int

// States of a member.
const (
	Unknown   State = iota // not known to be alive: no report was applied since a pause of this process or a clock jump
	Alive                  // reported alive, and not suspected
	Suspected              // the detector suspects that the member has failed
	Failed                 // the detector declared the member failed; it still counts towards the fleet size
	Left                   // the member left the fleet, or an operator removed it
)

var stateNames = [...]string{"unknown", "alive", "suspected", "failed", "left"}

// String returns the name of the state, as commands and logs print it.
func (s State) String() string { return stateNames[s] }

// LocalStatus is the status of this courier in its fleet.
type LocalStatus int

// The statuses of this courier.
const (
	Isolated    LocalStatus = iota // other members are expected, but none is alive
	Partial                        // some of the expected members are alive
	Complete                       // all expected members are alive
	Recovering                     // this process was paused or its clock jumped: earlier member states are not trusted
	SteppedDown                    // another courier with this name and a newer incarnation is in the fleet
)

// localStatusNames are the names that commands and logs print. They differ from the constants, and stay because scripts match them.
var localStatusNames = [...]string{"alone", "part", "whole", "just woken", "stood back"}

// String returns the name of the status, as commands and logs print it.
func (s LocalStatus) String() string { return localStatusNames[s] }

// Config is the configuration of a Membership.
type Config struct {
	Self        Name
	Incarnation Incarnation
	FleetSize   int    // configured number of couriers in the fleet
	Tick        Micros // interval between Tick events
	Seed        int64  // of the random numbers
}

// Event is an input of Membership.Handle: one of the types below.
type Event interface{ event() }

type (
	// MemberReported is a report of the failure detector about a member.
	MemberReported struct {
		Name        Name
		Incarnation Incarnation
		State       State // Alive, Suspected, Failed or Left
		Zone        string
		Address     string
	}
	// MemberResponded reports that this process has heard directly from a member: a response to a probe, or a state exchange.
	MemberResponded struct{ Name Name }
	// IncarnationReported reports the incarnation that another member knows for this courier.
	IncarnationReported struct{ Incarnation Incarnation }
	// NameConflict reports another courier with this courier's name, at a different address.
	NameConflict struct {
		Incarnation Incarnation
		Address     string
	}
	// MemberRemoved reports that an operator declared that a member will not return.
	MemberRemoved struct{ Name Name }
	// FleetResized reports a change of the configured fleet size.
	FleetResized struct{ FleetSize int }
	// Tick is due once per Config.Tick.
	Tick struct{}
)

func (MemberReported) event()      {}
func (MemberResponded) event()     {}
func (IncarnationReported) event() {}
func (NameConflict) event()        {}
func (MemberRemoved) event()       {}
func (FleetResized) event()        {}
func (Tick) event()                {}

// Action is an instruction for the caller of Membership.Handle: one of the types below.
type Action interface{ action() }

type (
	// MemberChanged reports a state transition of a member.
	MemberChanged struct {
		Name        Name
		From, To    State
		Incarnation Incarnation
		Revoked     bool // the failure was a false positive: the same incarnation is reported alive again
	}
	// LocalStatusChanged reports a change of this courier's status.
	LocalStatusChanged struct{ From, To LocalStatus }
	// FleetSizeEstimated reports a new fleet size that the dispatcher has to use.
	FleetSizeEstimated struct{ Couriers int }
	// IncarnationAdvanced reports a new incarnation of this courier. The caller stores it and announces it from then on.
	IncarnationAdvanced struct{ Incarnation Incarnation }
	// StepDown tells the caller to stop the membership of this courier, because the courier at Address has the same name and a newer
	// incarnation.
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

// Member is the last known state of one member.
type Member struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"start"`
	State       State       `json:"-"`
	StateName   string      `json:"state"`
	Since       Micros      `json:"since_us"`
	Zone        string      `json:"zone,omitempty"`
	Address     string      `json:"address,omitempty"`
	// AnsweredAt is the time of the last direct response to this courier, 0 if there was none.
	AnsweredAt Micros `json:"answered_us"`
}

// Snapshot is the state of the membership at one instant. The tags are the names in the output of commands.
type Snapshot struct {
	Version      uint64      `json:"number"` // incremented when a member state, the local status, the own incarnation or the estimated size changes
	Self         Name        `json:"self"`
	Incarnation  Incarnation `json:"start"`
	LocalStatus  string      `json:"standing"`
	Since        Micros      `json:"since_us"`
	MinCouriers  int         `json:"least"`   // couriers known to be alive, including this one
	MaxCouriers  int         `json:"most"`    // the largest of the couriers that may be alive, the configured fleet size and the estimated size
	Revoked      int         `json:"revoked"` // failures that were false positives
	StaleReports int         `json:"stale"`   // ignored reports about old incarnations, or about an incarnation that left
	Members      []Member    `json:"members"`
}

// Membership is one courier's view of the fleet. It is not safe for concurrent use: one goroutine owns it.
type Membership struct {
	config             Config
	rng                *rand.Rand
	now                Micros
	actions            []Action
	members            map[Name]*Member
	evictedMembers     int // members removed by evict that had not left; they still count towards MaxCouriers, twice if reported again
	localStatus        LocalStatus
	localStatusSince   Micros
	lastTick           Micros
	answeredSincePause map[Name]bool  // members that responded directly since the last pause of this process
	deferredReports    map[Name]State // Suspected and Failed reports received during recovery, see updateLocalStatus
	estimatedSize      int            // fleet size that the dispatcher uses
	shrinkAt           Micros         // when estimatedSize is lowered; never if no reduction is scheduled
	version            uint64
	revoked            int
	staleReports       int
}

// New returns a Membership without any other member.
func New(config Config) *Membership {
	return &Membership{config: config, rng: rand.New(rand.NewSource(config.Seed)), members: map[Name]*Member{}, answeredSincePause: map[Name]bool{}, deferredReports: map[Name]State{},
		estimatedSize: max(1, config.FleetSize), shrinkAt: never}
}

const (
	never Micros = 1<<63 - 1
	// maxMembers limits the number of members in memory. It is many times the size of the intended fleets of several hundred couriers.
	// Members evicted beyond the limit still count towards MaxCouriers, because they may be alive.
	maxMembers = 4096
	// maxTickDelay is how late a Tick may be before the process counts as paused. The detector needs several seconds
	// to declare a member failed, and a loaded machine is assumed to delay a timer by far less than 2 s.
	maxTickDelay = 2 * second
	// minRecoveryAnswers is the number of different members that must respond before recovery ends. A single member may have been
	// paused at the same time as this process.
	minRecoveryAnswers = 3
	// recoveryTime is how long after a pause reports of suspicion and failure are deferred, if recovery has not ended before. By then
	// the detector has probed the members again.
	recoveryTime = 10 * second
	// shrinkDelay is the maximum of the random delay before a smaller fleet size is used, so that couriers do not all switch at once.
	shrinkDelay = 10 * second
)

// Handle processes events that are known at the time now and returns the actions to carry out, in order.
func (m *Membership) Handle(now Micros, events ...Event) []Action {
	m.actions = nil
	m.detectPause(now)
	for _, event := range events {
		switch e := event.(type) {
		case MemberReported:
			m.memberReported(e)
		case MemberResponded:
			m.memberResponded(e.Name)
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

// detectPause starts recovery if a Tick is overdue by more than maxTickDelay or the clock went backwards. A process that was paused has
// missed the messages of all other members, and its detector would report them as failed.
func (m *Membership) detectPause(now Micros) {
	paused := now < m.now || m.lastTick > 0 && now-m.lastTick > m.config.Tick+maxTickDelay
	if m.now = now; !paused || m.localStatus == SteppedDown {
		return
	}
	m.lastTick, m.answeredSincePause, m.deferredReports = now, map[Name]bool{}, map[Name]State{}
	for _, name := range m.sortedNames() {
		if member := m.members[name]; member.State == Alive || member.State == Suspected {
			m.setState(member, Unknown)
		}
	}
	m.setLocalStatus(Recovering)
	m.localStatusSince = now // a pause during recovery restarts recoveryTime
}

func (m *Membership) sortedNames() []Name { return slices.Sorted(maps.Keys(m.members)) }

// memberReported applies a report of the detector. Reports about older incarnations are ignored, and a member that left returns only with
// a newer incarnation. During recovery, reports of suspicion and failure are deferred: they may be due to this process's own pause.
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
	previous := member.State
	if m.setState(member, event.State); previous == Failed && event.State == Alive && !newer {
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

// probeAnswered records a direct response of a member, which ends any suspicion.
func (m *Membership) memberResponded(name Name) {
	member := m.members[name]
	if member == nil || member.State == Left {
		return
	}
	delete(m.deferredReports, name)
	if member.AnsweredAt, m.answeredSincePause[name] = m.now, true; member.State != Failed { // only a report of the detector revokes a failure
		m.setState(member, Alive)
	}
}

// incarnationReported advances this courier's incarnation if another member knows a higher one. That happens when the state folder
// was lost or restored from an older copy.
func (m *Membership) incarnationReported(incarnation Incarnation) {
	if incarnation > m.config.Incarnation {
		m.config.Incarnation = incarnation + 1
		m.version++
		m.actions = append(m.actions, IncarnationAdvanced{m.config.Incarnation})
	}
}

// nameConflict resolves a conflict between two couriers with the same name. The courier with the older incarnation steps down. If both
// incarnations are equal, the courier that detects the conflict advances its own by a random number.
func (m *Membership) nameConflict(event NameConflict) {
	switch {
	case m.localStatus == SteppedDown || event.Incarnation < m.config.Incarnation: // nothing to do: the other courier steps down, or this one did
	case event.Incarnation == m.config.Incarnation:
		m.config.Incarnation += 1 + Incarnation(m.rng.Int63n(1000))
		m.version++
		m.actions = append(m.actions, IncarnationAdvanced{m.config.Incarnation})
	default:
		m.actions = append(m.actions, StepDown(event))
		m.setLocalStatus(SteppedDown)
	}
}

// evict removes one member other than keep if there are more than maxMembers. It prefers members that left, then failed, unknown, suspected
// and alive ones; within a state, the one in it the longest. Evicted members that had not left still count towards MaxCouriers.
func (m *Membership) evict(keep Name) {
	if len(m.members) <= maxMembers {
		return
	}
	rank := func(member *Member) int {
		return map[State]int{Left: 0, Failed: 1, Unknown: 2, Suspected: 3, Alive: 4}[member.State]
	}
	var victim *Member
	for _, name := range m.sortedNames() {
		member := m.members[name]
		if name != keep && (victim == nil || cmp.Or(cmp.Compare(rank(member), rank(victim)), cmp.Compare(member.Since, victim.Since)) < 0) {
			victim = member
		}
	}
	if victim.State != Left {
		m.evictedMembers++
	}
	delete(m.members, victim.Name)
	delete(m.deferredReports, victim.Name)
}

// courierBounds returns the minimum and maximum number of couriers in the fleet, including this one. Failed members count towards the
// maximum, because they may still be running behind a network partition.
func (m *Membership) courierBounds() (minCouriers, maxCouriers int) {
	minCouriers, maxCouriers = 1, 1+m.evictedMembers
	for _, member := range m.members {
		switch member.State {
		case Alive:
			minCouriers, maxCouriers = minCouriers+1, maxCouriers+1
		case Unknown, Suspected, Failed:
			maxCouriers++
		}
	}
	return minCouriers, max(maxCouriers, m.config.FleetSize)
}

// updateLocalStatus sets the status from the member states. Recovery ends once enough members have responded. While it lasts longer than
// recoveryTime, the deferred reports are applied.
func (m *Membership) updateLocalStatus() {
	if m.localStatus == Recovering && m.now-m.localStatusSince >= recoveryTime {
		for _, name := range slices.Sorted(maps.Keys(m.deferredReports)) {
			m.setState(m.members[name], m.deferredReports[name])
		}
		m.deferredReports = map[Name]State{}
	}
	minCouriers, maxCouriers := m.courierBounds()
	switch {
	case m.localStatus == SteppedDown:
	case m.localStatus == Recovering && len(m.answeredSincePause) < min(minRecoveryAnswers, m.recoveryCandidates()):
	case minCouriers >= maxCouriers:
		m.setLocalStatus(Complete)
	case minCouriers > 1:
		m.setLocalStatus(Partial)
	default:
		m.setLocalStatus(Isolated)
	}
}

// recoveryCandidates returns the number of members that have responded, or may still respond, during recovery.
func (m *Membership) recoveryCandidates() (n int) {
	for _, member := range m.members {
		if member.State == Unknown || m.answeredSincePause[member.Name] {
			n++
		}
	}
	return n
}

func (m *Membership) setLocalStatus(s LocalStatus) {
	if m.localStatus != s {
		m.version++
		m.actions = append(m.actions, LocalStatusChanged{m.localStatus, s})
		m.localStatus, m.localStatusSince = s, m.now
	}
}

// estimateSize updates the fleet size that the dispatcher uses. It raises the size at once, which makes each courier's share of a limit
// smaller. It lowers the size only while the local status is Complete, and after a random delay of up to shrinkDelay.
func (m *Membership) estimateSize() {
	_, maxCouriers := m.courierBounds()
	switch {
	case m.localStatus == SteppedDown || m.localStatus == Recovering:
		maxCouriers = max(maxCouriers, m.estimatedSize)
	case maxCouriers < m.estimatedSize && m.localStatus == Complete && m.shrinkAt == never:
		m.shrinkAt = m.now + Micros(m.rng.Int63n(int64(shrinkDelay)))
	}
	if maxCouriers >= m.estimatedSize || m.localStatus != Complete {
		m.shrinkAt = never
	}
	if maxCouriers > m.estimatedSize || m.now >= m.shrinkAt {
		m.estimatedSize, m.shrinkAt = maxCouriers, never
		m.version++
		m.actions = append(m.actions, FleetSizeEstimated{maxCouriers})
	}
}

// EstimatedSize returns the fleet size that the dispatcher uses.
func (m *Membership) EstimatedSize() int { return m.estimatedSize }

// Incarnations returns the highest known incarnation of this courier and of each member in memory.
func (m *Membership) Incarnations() map[Name]Incarnation {
	incarnations := map[Name]Incarnation{m.config.Self: m.config.Incarnation}
	for name, member := range m.members {
		incarnations[name] = member.Incarnation
	}
	return incarnations
}

// Snapshot returns the current state.
func (m *Membership) Snapshot() Snapshot {
	minimum, maximum := m.courierBounds()
	snapshot := Snapshot{Version: m.version, Self: m.config.Self, Incarnation: m.config.Incarnation, LocalStatus: m.localStatus.String(), Since: m.localStatusSince,
		MinCouriers: minimum, MaxCouriers: max(maximum, m.estimatedSize), Revoked: m.revoked, StaleReports: m.staleReports}
	for _, name := range m.sortedNames() {
		member := *m.members[name]
		member.StateName = member.State.String()
		snapshot.Members = append(snapshot.Members, member)
	}
	return snapshot
}
