// Package membership decides who is in a fleet of couriers, and where this one stands in it: from what a detector and the other
// members say, without any I/O or clock. New reads the Terms once; Handle takes the instant and what happened, and returns
// what is to be done and told, in order. docs/membership.md says what is promised.
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
	// Start counts the starts of a courier; it only grows.
	Start uint64
)

const second Micros = 1000 * 1000

// State is what is believed of a member.
type State int

// States of a member.
const (
	Unknown   State = iota // nothing fresh is known, as this courier has just woken
	Alive                  // heard of, and not doubted
	Suspected              // the detector doubts it
	Failed                 // the detector has given it up; it is counted all the same
	Left                   // it said that it goes, or an operator said that it is gone
)

var stateNames = [...]string{"unknown", "alive", "suspected", "failed", "left"}

func (s State) String() string { return stateNames[s] }

// Standing is where this courier finds itself.
type Standing int

// Standings.
const (
	Alone Standing = iota // nobody else is heard, though there should be
	Part                  // some are heard
	Whole                 // all that there should be are heard
	Woken                 // this process stood still or its clock ran oddly: nothing held from before is trusted
	Aside                 // a younger courier of this name is there: this one stands back
)

var standingNames = [...]string{"alone", "part", "whole", "just woken", "stood back"}

func (s Standing) String() string { return standingNames[s] }

// Terms is what a view is handed at its start.
type Terms struct {
	Self  Name
	Start Start
	Fleet int    // couriers in all, as the settings say
	Tick  Micros // how often Passed comes
	Salt  int64
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// Heard is what the detector says of a member.
	Heard struct {
		Name  Name
		Start Start
		State State // Alive, Suspected, Failed or Left
		Zone  string
		At    string // its address
	}
	// Answered is proof that a member is there: an answer of its own, asked for by this process.
	Answered struct{ Name Name }
	// Claimed: some member remembers a start of this courier's name.
	Claimed struct{ Start Start }
	// Namesake: a courier of this name is heard at another address.
	Namesake struct {
		Start Start
		At    string
	}
	// Gone: an operator says that a member will not come back.
	Gone struct{ Name Name }
	// Sized: the settings say another number of couriers.
	Sized struct{ Fleet int }
	// Passed comes every Tick.
	Passed struct{}
)

func (Heard) event()    {}
func (Answered) event() {}
func (Claimed) event()  {}
func (Namesake) event() {}
func (Gone) event()     {}
func (Sized) event()    {}
func (Passed) event()   {}

// Action is something to be done or told: one of the types below.
type Action interface{ action() }

type (
	// Changed: a member is believed to be in another state.
	Changed struct {
		Name     Name
		From, To State
		Start    Start
		Revoked  bool // it had been given up, and the same start of it is there after all
	}
	// Stands: this courier finds itself elsewhere.
	Stands struct{ From, To Standing }
	// Reckon with so many couriers from now on.
	Reckon struct{ Couriers int }
	// Renumber: keep this number of the start, before it is used, and tell it.
	Renumber struct{ Start Start }
	// StandBack: leave the fleet to the younger courier of this name.
	StandBack struct {
		Start Start
		At    string
	}
)

func (Changed) action()   {}
func (Stands) action()    {}
func (Reckon) action()    {}
func (Renumber) action()  {}
func (StandBack) action() {}

// Member is one line of a view.
type Member struct {
	Name  Name   `json:"name"`
	Start Start  `json:"start"`
	State State  `json:"-"`
	Is    string `json:"state"`
	Since Micros `json:"since_us"`
	Zone  string `json:"zone,omitempty"`
	At    string `json:"address,omitempty"`
	// Answered is when it last answered this courier, 0 if never.
	Answered Micros `json:"answered_us"`
}

// Picture is a view at an instant.
type Picture struct {
	Number   uint64   `json:"number"` // grows with each change
	Self     Name     `json:"self"`
	Start    Start    `json:"start"`
	Standing string   `json:"standing"`
	Since    Micros   `json:"since_us"`
	Least    int      `json:"least"` // couriers that are there for all that is known, this one included
	Most     int      `json:"most"`  // couriers that may be there: the decisions reckon with so many
	Revoked  int      `json:"revoked"`
	Stale    int      `json:"stale"` // words about starts that are over
	Members  []Member `json:"members"`
}

// View is what one courier believes of its fleet.
type View struct {
	terms    Terms
	rng      *rand.Rand
	now      Micros
	out      []Action
	members  map[Name]*Member
	dropped  int // names that were forgotten for room and are counted on
	standing Standing
	since    Micros
	passed   Micros         // the last Passed
	fresh    map[Name]bool  // who answered since this process stood still
	words    map[Name]State // bad words of the detector since then, heeded later
	asked    int            // couriers that the decisions reckon with
	lowerAt  Micros
	number   uint64
	revoked  int
	stale    int
}

// New makes a view that knows only its terms.
func New(t Terms) *View {
	return &View{terms: t, rng: rand.New(rand.NewSource(t.Salt)), members: map[Name]*Member{}, fresh: map[Name]bool{}, words: map[Name]State{},
		asked: max(1, t.Fleet), lowerAt: never}
}

const (
	never Micros = 1<<63 - 1
	// mostNames bounds what is kept by name: many times the fleets of some hundreds that this is meant for. What is
	// dropped beyond it is counted on, as it may be there.
	mostNames = 4096
	// lateBy is how late a Passed comes at least where the process stood still: the detector gives a member up after some
	// seconds, and a loaded machine delays a timer by far less.
	lateBy = 2 * second
	// freshFrom answers of different members end a waking: one may be stopped at the same time.
	freshFrom = 3
	// wokenFor is how long after a waking bad words are held back: the detector has asked afresh by then.
	wokenFor = 10 * second
	// lowerWithin: a smaller number of couriers is taken up after a part of this, drawn, so that no two do it in step.
	lowerWithin = 10 * second
)

// Handle takes what happened at one instant and returns what is to be done.
func (v *View) Handle(now Micros, events ...Event) []Action {
	v.out = nil
	v.clock(now)
	for _, event := range events {
		switch e := event.(type) {
		case Heard:
			v.heard(e)
		case Answered:
			v.answered(e.Name)
		case Claimed:
			v.claimed(e.Start)
		case Namesake:
			v.namesake(e)
		case Gone:
			if m := v.members[e.Name]; m != nil && m.State != Alive {
				v.set(m, Left)
			}
		case Sized:
			v.terms.Fleet = e.Fleet
		case Passed:
			v.passed = v.now
		}
	}
	v.stand()
	v.reckon()
	return v.out
}

// clock notices that this process stood still: its own silence would pass for everybody's failure.
func (v *View) clock(now Micros) {
	odd := now < v.now || v.passed > 0 && now-v.passed > v.terms.Tick+lateBy
	if v.now = now; !odd || v.standing == Aside {
		return
	}
	v.passed, v.fresh, v.words = now, map[Name]bool{}, map[Name]State{}
	for _, name := range v.names() {
		if m := v.members[name]; m.State == Alive || m.State == Suspected {
			v.set(m, Unknown)
		}
	}
	v.to(Woken)
	v.since = now
}

func (v *View) names() []Name { return slices.Sorted(maps.Keys(v.members)) }

// heard takes a word of the detector. Words about a start that is over say nothing, and one that left is back only with a
// start of its own. Just woken, only its good words count: the bad ones may be of this process's own silence.
func (v *View) heard(e Heard) {
	if e.Name == v.terms.Self {
		v.claimed(e.Start)
		return
	}
	m := v.members[e.Name]
	switch {
	case m == nil:
		m = &Member{Name: e.Name, Start: e.Start, State: Unknown, Since: v.now}
		v.members[e.Name] = m
		v.makeRoom(e.Name)
	case e.Start < m.Start || e.Start == m.Start && m.State == Left:
		v.stale++
		return
	}
	newer := e.Start > m.Start
	m.Start, m.Zone, m.At = e.Start, e.Zone, e.At
	if delete(v.words, e.Name); v.standing == Woken && (e.State == Suspected || e.State == Failed) {
		v.words[e.Name] = e.State
		return
	}
	before := m.State
	if v.set(m, e.State); before == Failed && e.State == Alive && !newer {
		v.revoked++
		if c, ok := v.out[len(v.out)-1].(Changed); ok {
			c.Revoked = true
			v.out[len(v.out)-1] = c
		}
	}
}

func (v *View) set(m *Member, to State) {
	if m.State == to {
		return
	}
	v.number++
	v.out = append(v.out, Changed{Name: m.Name, From: m.State, To: to, Start: m.Start})
	m.State, m.Since = to, v.now
}

// answered: a member proved that it is there, and what it was doubted for is over.
func (v *View) answered(name Name) {
	m := v.members[name]
	if m == nil || m.State == Left {
		return
	}
	delete(v.words, name)
	if m.Answered, v.fresh[name] = v.now, true; m.State != Failed { // that one the detector takes back
		v.set(m, Alive)
	}
}

// claimed: this name was started with a higher number than this process knows of, as its folder is an older copy or lost.
func (v *View) claimed(s Start) {
	if s > v.terms.Start {
		v.terms.Start = s + 1
		v.number++
		v.out = append(v.out, Renumber{v.terms.Start})
	}
}

// namesake: of two couriers of one name the older start stands back; of two that took the same one, who hears it first
// takes a further number, drawn.
func (v *View) namesake(e Namesake) {
	switch {
	case v.standing == Aside || e.Start < v.terms.Start:
	case e.Start == v.terms.Start:
		v.terms.Start += 1 + Start(v.rng.Int63n(1000))
		v.number++
		v.out = append(v.out, Renumber{v.terms.Start})
	default:
		v.out = append(v.out, StandBack(e))
		v.to(Aside)
	}
}

// makeRoom forgets, for a new name, who left longest ago, or else who failed; the failed are counted on.
func (v *View) makeRoom(but Name) {
	if len(v.members) <= mostNames {
		return
	}
	rank := func(m *Member) int {
		return map[State]int{Left: 0, Failed: 1, Unknown: 2, Suspected: 3, Alive: 4}[m.State]
	}
	var worst *Member
	for _, name := range v.names() {
		m := v.members[name]
		if name != but && (worst == nil || cmp.Or(cmp.Compare(rank(m), rank(worst)), cmp.Compare(m.Since, worst.Since)) < 0) {
			worst = m
		}
	}
	if worst.State != Left {
		v.dropped++
	}
	delete(v.members, worst.Name)
	delete(v.words, worst.Name)
}

// bounds are how many couriers there are at least and at most, this one included. Who failed may be cut off and at work.
func (v *View) bounds() (least, most int) {
	least, most = 1, 1+v.dropped
	for _, m := range v.members {
		switch m.State {
		case Alive:
			least, most = least+1, most+1
		case Unknown, Suspected, Failed:
			most++
		}
	}
	return least, max(most, v.terms.Fleet)
}

func (v *View) stand() {
	if v.standing == Woken && v.now-v.since >= wokenFor {
		for _, name := range slices.Sorted(maps.Keys(v.words)) {
			v.set(v.members[name], v.words[name])
		}
		v.words = map[Name]State{}
	}
	least, most := v.bounds()
	switch {
	case v.standing == Aside:
	case v.standing == Woken && len(v.fresh) < min(freshFrom, v.others()):
	case least >= most:
		v.to(Whole)
	case least > 1:
		v.to(Part)
	default:
		v.to(Alone)
	}
}

// others is how many might answer after a waking.
func (v *View) others() (n int) {
	for _, m := range v.members {
		if m.State == Unknown || v.fresh[m.Name] {
			n++
		}
	}
	return n
}

func (v *View) to(s Standing) {
	if v.standing != s {
		v.number++
		v.out = append(v.out, Stands{v.standing, s})
		v.standing, v.since = s, v.now
	}
}

// reckon: more couriers are taken up at once, as that makes parts of limits smaller; fewer only by one that hears all, and
// later.
func (v *View) reckon() {
	_, most := v.bounds()
	switch {
	case v.standing == Aside || v.standing == Woken:
		most = max(most, v.asked)
	case most < v.asked && v.standing == Whole && v.lowerAt == never:
		v.lowerAt = v.now + Micros(v.rng.Int63n(int64(lowerWithin)))
	}
	if most >= v.asked || v.standing != Whole {
		v.lowerAt = never
	}
	if most > v.asked || v.now >= v.lowerAt {
		v.asked, v.lowerAt = most, never
		v.number++
		v.out = append(v.out, Reckon{most})
	}
}

// Couriers is how many the decisions reckon with.
func (v *View) Couriers() int { return v.asked }

// Starts is the highest start known of each name, this courier's included, of the names that are kept.
func (v *View) Starts() map[Name]Start {
	starts := map[Name]Start{v.terms.Self: v.terms.Start}
	for name, m := range v.members {
		starts[name] = m.Start
	}
	return starts
}

// Look is the view as it stands.
func (v *View) Look() Picture {
	least, most := v.bounds()
	p := Picture{Number: v.number, Self: v.terms.Self, Start: v.terms.Start, Standing: v.standing.String(), Since: v.since,
		Least: least, Most: max(most, v.asked), Revoked: v.revoked, Stale: v.stale}
	for _, name := range v.names() {
		m := *v.members[name]
		m.Is = m.State.String()
		p.Members = append(p.Members, m)
	}
	return p
}
