// Package membership decides who is in a fleet of couriers, and where this one stands in it: from what a detector and the other
// members say, without any I/O or clock. New reads the Config once; Handle takes the instant and what happened, and returns
// what is to be done and reported, in order. docs/membership.md says what is promised.
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

// State is what is believed of a member.
type State int

// States of a member.
const (
	Unknown   State = iota // nothing fresh is known, as this courier has just resumed
	Alive                  // heard of, and not doubted
	Suspected              // the detector doubts it
	Failed                 // the detector has given it up; it is counted all the same
	Left                   // it said that it goes, or an operator said that it is gone
)

var stateNames = [...]string{"unknown", "alive", "suspected", "failed", "left"}

func (s State) String() string { return stateNames[s] }

// LocalStatus is where this courier finds itself.
type LocalStatus int

// Standings.
const (
	Isolated    LocalStatus = iota // nobody else is heard, though there should be
	Partial                        // some are heard
	Complete                       // all that there should be are heard
	Recovering                     // this process stood still or its clock ran oddly: nothing held from before is trusted
	SteppedDown                    // a younger courier of this name is there: this one steps down
)

var localStatusNames = [...]string{"alone", "part", "whole", "just woken", "stood back"}

func (s LocalStatus) String() string { return localStatusNames[s] }

// Config is what a view is handed at its start.
type Config struct {
	Self        Name
	Incarnation Incarnation
	FleetSize   int    // couriers in all, as the settings say
	Tick        Micros // how often Tick comes
	Seed        int64
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// MemberReported is what the detector says of a member.
	MemberReported struct {
		Name        Name
		Incarnation Incarnation
		State       State // Alive, Suspected, Failed or Left
		Zone        string
		Address     string // its address
	}
	// AnsweredAt is proof that a member is there: an answer of its own, asked for by this process.
	ProbeAnswered struct{ Name Name }
	// IncarnationReported: some member remembers a start of this courier's name.
	IncarnationReported struct{ Incarnation Incarnation }
	// NameConflict: a courier of this name is heard at another address.
	NameConflict struct {
		Incarnation Incarnation
		Address     string
	}
	// MemberRemoved: an operator says that a member will not come back.
	MemberRemoved struct{ Name Name }
	// FleetResized: the settings say another number of couriers.
	FleetResized struct{ FleetSize int }
	// Tick comes every Tick.
	Tick struct{}
)

func (MemberReported) event()      {}
func (ProbeAnswered) event()       {}
func (IncarnationReported) event() {}
func (NameConflict) event()        {}
func (MemberRemoved) event()       {}
func (FleetResized) event()        {}
func (Tick) event()                {}

// Action is something to be done or reported: one of the types below.
type Action interface{ action() }

type (
	// MemberChanged: a member is believed to be in another state.
	MemberChanged struct {
		Name        Name
		From, To    State
		Incarnation Incarnation
		Revoked     bool // it had been given up, and the same start of it is there after all
	}
	// LocalStatusChanged: this courier finds itself elsewhere.
	LocalStatusChanged struct{ From, To LocalStatus }
	// FleetSizeEstimated with so many couriers from now on.
	FleetSizeEstimated struct{ Couriers int }
	// IncarnationAdvanced: keep this number of the start, before it is used, and tell it.
	IncarnationAdvanced struct{ Incarnation Incarnation }
	// StepDown: leave the fleet to the younger courier of this name.
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

// Member is one line of a view.
type Member struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"start"`
	State       State       `json:"-"`
	StateName   string      `json:"state"`
	Since       Micros      `json:"since_us"`
	Zone        string      `json:"zone,omitempty"`
	Address     string      `json:"address,omitempty"`
	// AnsweredAt is when it last answered this courier, 0 if never.
	AnsweredAt Micros `json:"answered_us"`
}

// Snapshot is a view at an instant.
type Snapshot struct {
	Version      uint64      `json:"number"` // grows with each change
	Self         Name        `json:"self"`
	Incarnation  Incarnation `json:"start"`
	LocalStatus  string      `json:"standing"`
	Since        Micros      `json:"since_us"`
	MinCouriers  int         `json:"least"` // couriers that are there for all that is known, this one included
	MaxCouriers  int         `json:"most"`  // couriers that may be there: the decisions count on so many
	Revoked      int         `json:"revoked"`
	StaleReports int         `json:"stale"` // words about starts that are over
	Members      []Member    `json:"members"`
}

// Membership is what one courier believes of its fleet.
type Membership struct {
	config       Config
	rng          *rand.Rand
	now          Micros
	actions      []Action
	members      map[Name]*Member
	forgotten    int // names that were forgotten for room and are counted on
	localStatus  LocalStatus
	since        Micros
	tick         Micros         // the last Tick
	fresh        map[Name]bool  // who answered since this process stood still
	reports      map[Name]State // bad words of the detector since then, heeded later
	probed       int            // couriers that the decisions count on
	shrinkAt     Micros
	version      uint64
	revoked      int
	staleReports int
}

// New makes a view that knows only its terms.
func New(t Config) *Membership {
	return &Membership{config: t, rng: rand.New(rand.NewSource(t.Seed)), members: map[Name]*Member{}, fresh: map[Name]bool{}, reports: map[Name]State{},
		probed: max(1, t.FleetSize), shrinkAt: never}
}

const (
	never Micros = 1<<63 - 1
	// mostNames bounds what is kept by name: many times the fleets of some hundreds that this is meant for. What is
	// dropped beyond it is counted on, as it may be there.
	maxNames = 4096
	// lateBy is how late a Tick comes at least where the process stood still: the detector gives a member up after some
	// seconds, and a loaded machine delays a timer by far less.
	maxTickDelay = 2 * second
	// freshFrom answers of different members end a waking: one may be stopped at the same time.
	freshAfter = 3
	// wokenFor is how long after a waking bad words are held back: the detector has asked afresh by then.
	recoveryTime = 10 * second
	// lowerWithin: a smaller number of couriers is taken up after a part of this, drawn, so that no two do it in step.
	shrinkDelay = 10 * second
)

// Handle takes what happened at one instant and returns what is to be done.
func (v *Membership) Handle(now Micros, events ...Event) []Action {
	v.actions = nil
	v.checkClock(now)
	for _, event := range events {
		switch e := event.(type) {
		case MemberReported:
			v.memberReported(e)
		case ProbeAnswered:
			v.probeAnswered(e.Name)
		case IncarnationReported:
			v.incarnationReported(e.Incarnation)
		case NameConflict:
			v.nameConflict(e)
		case MemberRemoved:
			if member := v.members[e.Name]; member != nil && member.State != Alive {
				v.setState(member, Left)
			}
		case FleetResized:
			v.config.FleetSize = e.FleetSize
		case Tick:
			v.tick = v.now
		}
	}
	v.updateLocalStatus()
	v.estimateSize()
	return v.actions
}

// clock notices that this process stood still: its own silence would pass for everybody's failure.
func (v *Membership) checkClock(now Micros) {
	odd := now < v.now || v.tick > 0 && now-v.tick > v.config.Tick+maxTickDelay
	if v.now = now; !odd || v.localStatus == SteppedDown {
		return
	}
	v.tick, v.fresh, v.reports = now, map[Name]bool{}, map[Name]State{}
	for _, name := range v.names() {
		if member := v.members[name]; member.State == Alive || member.State == Suspected {
			v.setState(member, Unknown)
		}
	}
	v.estimate(Recovering)
	v.since = now
}

func (v *Membership) names() []Name { return slices.Sorted(maps.Keys(v.members)) }

// heard takes a word of the detector. Words about a start that is over say nothing, and one that left is back only with a
// start of its own. Just resumed, only its good words count: the bad ones may be of this process's own silence.
func (v *Membership) memberReported(e MemberReported) {
	if e.Name == v.config.Self {
		v.incarnationReported(e.Incarnation)
		return
	}
	member := v.members[e.Name]
	switch {
	case member == nil:
		member = &Member{Name: e.Name, Incarnation: e.Incarnation, State: Unknown, Since: v.now}
		v.members[e.Name] = member
		v.evict(e.Name)
	case e.Incarnation < member.Incarnation || e.Incarnation == member.Incarnation && member.State == Left:
		v.staleReports++
		return
	}
	newer := e.Incarnation > member.Incarnation
	member.Incarnation, member.Zone, member.Address = e.Incarnation, e.Zone, e.Address
	if delete(v.reports, e.Name); v.localStatus == Recovering && (e.State == Suspected || e.State == Failed) {
		v.reports[e.Name] = e.State
		return
	}
	before := member.State
	if v.setState(member, e.State); before == Failed && e.State == Alive && !newer {
		v.revoked++
		if c, ok := v.actions[len(v.actions)-1].(MemberChanged); ok {
			c.Revoked = true
			v.actions[len(v.actions)-1] = c
		}
	}
}

func (v *Membership) setState(member *Member, to State) {
	if member.State == to {
		return
	}
	v.version++
	v.actions = append(v.actions, MemberChanged{Name: member.Name, From: member.State, To: to, Incarnation: member.Incarnation})
	member.State, member.Since = to, v.now
}

// answered: a member proved that it is there, and what it was doubted for is over.
func (v *Membership) probeAnswered(name Name) {
	member := v.members[name]
	if member == nil || member.State == Left {
		return
	}
	delete(v.reports, name)
	if member.AnsweredAt, v.fresh[name] = v.now, true; member.State != Failed { // that one the detector takes back
		v.setState(member, Alive)
	}
}

// claimed: this name was started with a higher number than this process knows of, as its folder is an older copy or lost.
func (v *Membership) incarnationReported(s Incarnation) {
	if s > v.config.Incarnation {
		v.config.Incarnation = s + 1
		v.version++
		v.actions = append(v.actions, IncarnationAdvanced{v.config.Incarnation})
	}
}

// name conflict: of two couriers of one name the older start steps down; of two that took the same one, who hears it first
// takes a further number, drawn.
func (v *Membership) nameConflict(e NameConflict) {
	switch {
	case v.localStatus == SteppedDown || e.Incarnation < v.config.Incarnation:
	case e.Incarnation == v.config.Incarnation:
		v.config.Incarnation += 1 + Incarnation(v.rng.Int63n(1000))
		v.version++
		v.actions = append(v.actions, IncarnationAdvanced{v.config.Incarnation})
	default:
		v.actions = append(v.actions, StepDown(e))
		v.estimate(SteppedDown)
	}
}

// makeRoom forgets, for a new name, who left longest ago, or else who failed; the failed are counted on.
func (v *Membership) evict(but Name) {
	if len(v.members) <= maxNames {
		return
	}
	rank := func(member *Member) int {
		return map[State]int{Left: 0, Failed: 1, Unknown: 2, Suspected: 3, Alive: 4}[member.State]
	}
	var worst *Member
	for _, name := range v.names() {
		member := v.members[name]
		if name != but && (worst == nil || cmp.Or(cmp.Compare(rank(member), rank(worst)), cmp.Compare(member.Since, worst.Since)) < 0) {
			worst = member
		}
	}
	if worst.State != Left {
		v.forgotten++
	}
	delete(v.members, worst.Name)
	delete(v.reports, worst.Name)
}

// bounds are how many couriers there are at least and at most, this one included. Who failed may be cut off and at work.
func (v *Membership) bounds() (least, most int) {
	least, most = 1, 1+v.forgotten
	for _, member := range v.members {
		switch member.State {
		case Alive:
			least, most = least+1, most+1
		case Unknown, Suspected, Failed:
			most++
		}
	}
	return least, max(most, v.config.FleetSize)
}

func (v *Membership) updateLocalStatus() {
	if v.localStatus == Recovering && v.now-v.since >= recoveryTime {
		for _, name := range slices.Sorted(maps.Keys(v.reports)) {
			v.setState(v.members[name], v.reports[name])
		}
		v.reports = map[Name]State{}
	}
	least, most := v.bounds()
	switch {
	case v.localStatus == SteppedDown:
	case v.localStatus == Recovering && len(v.fresh) < min(freshAfter, v.others()):
	case least >= most:
		v.estimate(Complete)
	case least > 1:
		v.estimate(Partial)
	default:
		v.estimate(Isolated)
	}
}

// others is how many might answer after a waking.
func (v *Membership) others() (n int) {
	for _, member := range v.members {
		if member.State == Unknown || v.fresh[member.Name] {
			n++
		}
	}
	return n
}

func (v *Membership) estimate(s LocalStatus) {
	if v.localStatus != s {
		v.version++
		v.actions = append(v.actions, LocalStatusChanged{v.localStatus, s})
		v.localStatus, v.since = s, v.now
	}
}

// reckon: more couriers are taken up at once, as that makes parts of limits smaller; fewer only by one that hears all, and
// later.
func (v *Membership) estimateSize() {
	_, most := v.bounds()
	switch {
	case v.localStatus == SteppedDown || v.localStatus == Recovering:
		most = max(most, v.probed)
	case most < v.probed && v.localStatus == Complete && v.shrinkAt == never:
		v.shrinkAt = v.now + Micros(v.rng.Int63n(int64(shrinkDelay)))
	}
	if most >= v.probed || v.localStatus != Complete {
		v.shrinkAt = never
	}
	if most > v.probed || v.now >= v.shrinkAt {
		v.probed, v.shrinkAt = most, never
		v.version++
		v.actions = append(v.actions, FleetSizeEstimated{most})
	}
}

// EstimatedSize is how many the decisions count on.
func (v *Membership) EstimatedSize() int { return v.probed }

// Incarnations is the highest start known of each name, this courier's included, of the names that are kept.
func (v *Membership) Incarnations() map[Name]Incarnation {
	starts := map[Name]Incarnation{v.config.Self: v.config.Incarnation}
	for name, member := range v.members {
		starts[name] = member.Incarnation
	}
	return starts
}

// Snapshot is the view as it stands.
func (v *Membership) Snapshot() Snapshot {
	least, most := v.bounds()
	p := Snapshot{Version: v.version, Self: v.config.Self, Incarnation: v.config.Incarnation, LocalStatus: v.localStatus.String(), Since: v.since,
		MinCouriers: least, MaxCouriers: max(most, v.probed), Revoked: v.revoked, StaleReports: v.staleReports}
	for _, name := range v.names() {
		member := *v.members[name]
		member.StateName = member.State.String()
		p.Members = append(p.Members, member)
	}
	return p
}
