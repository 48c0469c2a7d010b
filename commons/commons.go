// Package commons decides what couriers of one fleet share of the limits that hold over all of them, without I/O or clock: parts of
// limits are lent, and what each uses is counted. New reads the Terms once; Handle takes the instant and what happened, and returns
// what is to be said and what stands. docs/commons.md says what is promised.
//
// A part is a share of a limit, in millionths. Each courier has a base part that needs nobody: one of as many as it reckons with. What
// it does not need it may lend, up to half of it. A loan is taken off at the lender before it is said, ends at the borrower a span
// after it *asked*, and is back at the lender strictly later than that, for clocks that run by a hundredth apart. So a word that is
// lost, late or doubled can only make room smaller, and no clock is compared with another one. A start holds back what an earlier
// start of the same courier may have lent: nothing has to be kept in a file, and an older copy of the folder does no harm.
package commons

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"math/rand"
	"slices"

	"pineport/logic"
)

type (
	// Micros is an instant of this process's clock, or a span.
	Micros = logic.Micros
	// Units are millionths of a limit.
	Units int64
)

const (
	second = 1000 * 1000 * Micros(1)
	whole  = Units(1000 * 1000)
)

// Key names a route whose limit is shared: a destination, or one endpoint of it where they are apart.
type Key struct {
	Dest     int32  `cbor:"1,keyasint" json:"destination"`
	Endpoint string `cbor:"2,keyasint,omitempty" json:"endpoint,omitempty"`
}

func compare(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
}

const (
	// span is how long a loan holds, from when it was asked for: some paces of the exchange, and short beside an outage, so that what is
	// lost with a word or a process is soon back.
	span = 4 * second
	// backAfter is when a loan is back at its lender: clocks that run a hundredth fast and slow make 4 s at one 4.08 s at the other.
	backAfter = span + span/40
	// freshFor is how old a count may be to say something of now.
	freshFor = 3 * second
	// rateOver is what usage is measured over: long beside a beat, short beside an outage.
	rateOver = 2 * second
	// mostKeys and mostSlots bound what is kept: routes, and counts of other couriers over all of them, some 2 MB. What is beyond is not
	// counted into a load, which is then taken for less than it is.
	mostKeys  = 1024
	mostSlots = 8192
	// mostAsked members are asked at a beat, whatever the number of routes: asks wait for the next one.
	mostAsked = 12
	// mostOthers counts of others are gathered for a beat, more than its packets hold.
	mostOthers = 512
	// mostLent of a base part is away at once. Only where the fleet has more than doubled since a loan is that less than was lent.
	mostLent = 0.9
	// askOf members are asked at once: one that answers late or never costs a part of what is wanted.
	askOf = 3
	// sayTo members hear counts at each beat; said on, they reach a fleet of hundreds within freshFor.
	sayTo = 3
)

// Terms is what commons are handed at their start.
type Terms struct {
	Self     string
	Start    uint64
	Couriers int    // that are reckoned with
	Salt     int64  // another one for each process: see New
	No       uint64 // beyond all that an earlier process of this start has counted by
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// Needs is what the decisions say of their routes.
	Needs struct{ All []Need }
	// Need is one of them; the counts are since the process started.
	Need struct {
		Key
		Limit                float64 // calls a second from all couriers; 0 where it is not known
		Calls, Done, Refused uint64
		Waiting              int // records held for it
	}
	// Fleet: so many couriers are to be reckoned with, and these others are heard.
	Fleet struct {
		Couriers int
		Alive    []string
	}
	// Heard are words of another courier.
	Heard struct{ Words Words }
	// Beat comes at a steady pace.
	Beat struct{}
)

func (Needs) event() {}
func (Fleet) event() {}
func (Heard) event() {}
func (Beat) event()  {}

// Action is something to be done: one of the types below.
type Action interface{ action() }

type (
	// Say has a member hear words. They may be lost.
	Say struct {
		To    string
		Words Words
	}
	// Share is what stands for the decisions, for all routes that they named.
	Share struct{ Parts []Part }
)

func (Say) action()   {}
func (Share) action() {}

// Part is what stands for one route.
type Part struct {
	Key
	Lent   float64 // of the base part, taken off until LentTo
	LentTo Micros
	Loan   float64 // of the base part, on top until LoanTo
	LoanTo Micros
	Load   float64 // what all couriers that were heard use of the limit, until LoadTo
	LoadTo Micros
}

type loan struct {
	who   string
	no    uint64
	units Units
	until Micros
}

type ask struct {
	who   string
	units Units
	at    Micros
}

type slot struct {
	count Count
	at    Micros // when it was so, by this courier's clock
}

type sample struct {
	at    Micros
	calls uint64
}

// route is what is known of one key.
type route struct {
	need    Need
	samples []sample
	usage   Units
	usedAt  Micros
	load    float64 // of the limit, by all, as it is told
	loadAt  Micros  // when somebody was last heard; 0: never
	lent    []loan
	taken   []loan
	asked   map[uint64]ask
	slots   map[string]slot
}

// Commons are one courier's.
type Commons struct {
	terms  Terms
	rng    *rand.Rand
	now    Micros
	out    []Action
	alive  []string
	routes map[Key]*route
	direct map[string]Micros // who said what it uses, and when
	heldTo Micros            // an earlier start's loans may hold until then, see Held
	no     uint64            // of the last beat
	turn   int               // where the next packets' counts of others begin
	kept   int               // counts of others
	sums   Sums
}

// Sums count what happened since the start.
type Sums struct {
	Asked, Lent, Taken, Late uint64 // asks made, loans given, loans taken up, loans that came too late or unasked
	Forgotten                uint64 // counts left out for want of room
}

// New makes commons that know only their terms. Asks are numbered by a source that no earlier process of this courier had. Failure: a
// start with the same salt asked under the same numbers, and took a loan that had been given to the one before it for its own.
func New(now Micros, t Terms) *Commons {
	return &Commons{terms: t, rng: rand.New(rand.NewSource(t.Salt ^ int64(t.Start*0x9e3779b97f4a7c15) ^ int64(t.No))), now: now, routes: map[Key]*route{}, direct: map[string]Micros{}, heldTo: now + backAfter, no: t.No}
}

// Held is how long after a start, or after the decisions began anew, half of each base part is not to be used: as much may be lent.
// Whoever runs the decisions sees to that, as they begin before anything is said here.
const Held = backAfter

// Handle takes what happened at one instant and returns what is to be done.
func (c *Commons) Handle(now Micros, events ...Event) []Action {
	c.now, c.out = max(c.now, now), nil
	for _, event := range events {
		switch e := event.(type) {
		case Needs:
			c.needs(e.All)
		case Fleet:
			c.terms.Couriers, c.alive = e.Couriers, slices.Clone(e.Alive)
		case Heard:
			c.heard(e.Words)
		case Beat:
			c.beat()
		}
	}
	return c.out
}

// base is the part that needs nobody.
func (c *Commons) base() Units { return whole / Units(max(1, c.terms.Couriers)) }

// away is what of the base part is not this courier's to use now.
func (c *Commons) away(rt *route) (sum Units) {
	if c.now < c.heldTo {
		sum = c.base() / 2 // as much as an earlier start may have lent
	}
	for _, l := range rt.lent {
		if c.now < l.until {
			sum += l.units
		}
	}
	return sum
}

// borrowed is what others' loans add, of those that hold for a while longer.
func (c *Commons) borrowed(rt *route, longer Micros) (sum Units, until Micros) {
	for _, l := range rt.taken {
		if c.now+longer < l.until {
			if sum += l.units; until == 0 || l.until < until {
				until = l.until
			}
		}
	}
	return sum, until
}

// route finds what is kept of a key, or makes room for it; nil where there is none.
func (c *Commons) route(k Key) *route {
	rt := c.routes[k]
	if rt == nil {
		if len(c.routes) >= mostKeys {
			c.sums.Forgotten++
			return nil
		}
		rt = &route{need: Need{Key: k}, asked: map[uint64]ask{}, slots: map[string]slot{}}
		c.routes[k] = rt
	}
	rt.usedAt = c.now
	return rt
}

// needs takes in what the decisions say, and works out what this courier uses of each limit.
func (c *Commons) needs(all []Need) {
	for _, n := range all {
		rt := c.route(n.Key)
		if rt == nil {
			continue
		}
		if rt.need = n; len(rt.samples) > 0 && rt.samples[len(rt.samples)-1].calls > n.Calls {
			rt.samples = nil // the decisions began anew
		}
		rt.samples = append(rt.samples, sample{c.now, n.Calls})
		for len(rt.samples) > 2 && c.now-rt.samples[1].at >= rateOver {
			rt.samples = rt.samples[1:]
		}
		rt.usage = 0
		if first := rt.samples[0]; n.Limit > 0 && c.now > first.at {
			perSec := float64(n.Calls-first.calls) / float64(max(c.now-first.at, rateOver/2)) * float64(second)
			rt.usage = Units(min(float64(mostUsage), perSec/n.Limit*float64(whole)))
		}
	}
}

// heard takes words in. Nothing in them can make this courier's room larger but the loan that it asked for, of the one it asked.
func (c *Commons) heard(w Words) {
	if w.From == c.terms.Self || w.check() != nil {
		return
	}
	for _, l := range w.Loans {
		c.take(w.From, l)
	}
	if slices.Contains(c.alive, w.From) {
		c.direct[w.From] = c.now
	}
	for _, n := range w.Counts {
		c.merge(n)
	}
	var loans []Loan
	var share Share
	for _, a := range w.Asks {
		if l, ok := c.lend(w.From, a); ok {
			loans = append(loans, l)
			share.Parts = append(share.Parts, c.part(c.routes[a.Key]))
		}
	}
	if len(loans) > 0 {
		c.out = append(c.out, share) // before it is said
		c.say(w.From, Words{Loans: loans})
	}
}

func (c *Commons) say(to string, w Words) {
	w.Version, w.From = Version, c.terms.Self
	c.out = append(c.out, Say{to, w})
}

// take adds a loan, until a span after it was asked for, once.
func (c *Commons) take(from string, l Loan) {
	rt := c.routes[l.Key]
	if rt == nil {
		return
	}
	a, ok := rt.asked[l.No]
	if !ok || a.who != from || l.Units > a.units || c.now >= a.at+span {
		c.sums.Late++
		return
	}
	delete(rt.asked, l.No)
	c.sums.Taken++
	rt.taken = append(rt.taken, loan{from, l.No, l.Units, a.at + span})
}

// lend gives of what this courier does not need, half of its base part at most, and takes it off first. A tenth is kept for what comes
// unforeseen; less than a fiftieth is not worth a word.
func (c *Commons) lend(to string, a Ask) (Loan, bool) {
	rt := c.routes[a.Key]
	if rt == nil {
		rt = c.route(a.Key) // nobody needs it here
	}
	if rt == nil || !slices.Contains(c.alive, to) {
		return Loan{}, false
	}
	for _, l := range rt.lent {
		if l.who == to && l.no == a.No {
			return Loan{}, false // a doubled ask
		}
	}
	base, away := c.base(), c.away(rt)
	units := min(a.Units, base-away-rt.usage*5/4-base/10, base/2-away)
	if units < max(1, base/50) {
		return Loan{}, false
	}
	rt.lent = append(rt.lent, loan{to, a.No, units, c.now + backAfter})
	c.sums.Lent++
	return Loan{a.Key, units, a.No}, true
}

// merge keeps, of each courier, the latest count of its latest start; in any order, any number of times.
func (c *Commons) merge(n Count) {
	if n.Who == c.terms.Self {
		return
	}
	rt := c.route(n.Key)
	if rt == nil {
		return
	}
	was, known := rt.slots[n.Who]
	switch {
	case known && cmp.Or(cmp.Compare(n.Start, was.count.Start), cmp.Compare(n.No, was.count.No)) <= 0:
		return
	case !known && c.kept >= mostSlots:
		c.sums.Forgotten++
		return
	}
	if !known {
		c.kept++
	}
	rt.slots[n.Who] = slot{n, c.now - n.Age}
}

func (c *Commons) beat() {
	c.no++
	c.forget()
	keys := slices.SortedFunc(maps.Keys(c.routes), compare)
	asks := map[string][]Ask{}
	var share Share
	for i := range keys { // each beat another route comes first
		if rt := c.routes[keys[(int(c.no%uint64(len(keys)))+i)%len(keys)]]; rt.need.Limit > 0 {
			if len(asks) < mostAsked {
				c.ask(rt, asks)
			}
			c.follow(rt)
			share.Parts = append(share.Parts, c.part(rt))
		}
	}
	c.spread(keys, asks)
	c.out = append(c.out, share)
}

// forget drops what is over.
func (c *Commons) forget() {
	maps.DeleteFunc(c.direct, func(_ string, at Micros) bool { return c.now-at > freshFor })
	over := func(l loan) bool { return c.now >= l.until }
	c.kept = 0
	for k, rt := range c.routes {
		rt.lent, rt.taken = slices.DeleteFunc(rt.lent, over), slices.DeleteFunc(rt.taken, over)
		maps.DeleteFunc(rt.asked, func(_ uint64, a ask) bool { return c.now >= a.at+span })
		maps.DeleteFunc(rt.slots, func(_ string, s slot) bool { return c.now-s.at > 10*freshFor })
		if c.now-rt.usedAt > oldest && len(rt.lent) == 0 {
			delete(c.routes, k)
			continue
		}
		c.kept += len(rt.slots)
	}
}

// ask seeks what is wanted beyond this courier's part: a quarter over what it uses, and what waits, within a second. Who uses least of
// the limit is asked first, and of those alike each courier asks others, drawn by the names.
func (c *Commons) ask(rt *route, asks map[string][]Ask) {
	base := c.base()
	lasting, _ := c.borrowed(rt, span/2)
	for _, a := range rt.asked {
		if c.now-a.at < span/4 {
			lasting += a.units
		}
	}
	waiting := Units(min(float64(whole), float64(rt.need.Waiting)/rt.need.Limit*float64(whole)))
	want := min(whole-base, rt.usage*5/4+waiting) - (base - c.away(rt)) - lasting
	if rt.usage == 0 || want < max(1, base/20) {
		return
	}
	type member struct {
		name  string
		usage Units
		rank  uint64
	}
	var all []member
	for _, name := range c.alive {
		m := member{name: name, rank: rank(c.terms.Self, name, rt.need.Key)}
		if s, ok := rt.slots[name]; ok && c.now-s.at <= freshFor {
			m.usage = s.count.Usage
		}
		if m.usage < base/2 {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b member) int { return cmp.Or(cmp.Compare(a.usage, b.usage), cmp.Compare(a.rank, b.rank)) })
	for _, m := range all[:min(askOf, len(all))] {
		a := Ask{rt.need.Key, want/Units(min(askOf, len(all))) + 1, c.rng.Uint64()}
		rt.asked[a.No] = ask{m.name, a.Units, c.now}
		asks[m.name] = append(asks[m.name], a)
		c.sums.Asked++
	}
}

// rank orders members for one courier and route, by rendezvous hashing.
func rank(self, other string, k Key) uint64 {
	h := fnv.New64a()
	for _, s := range []string{self, other, k.Endpoint} {
		h.Write([]byte(s))
		h.Write([]byte{0, byte(k.Dest), byte(k.Dest >> 8)})
	}
	return h.Sum64()
}

func (c *Commons) part(rt *route) Part {
	base := c.base()
	units, until := c.borrowed(rt, 0)
	p := Part{Key: rt.need.Key, Loan: float64(units) / float64(base), LoanTo: until}
	for _, l := range rt.lent {
		p.Lent, p.LentTo = min(mostLent, p.Lent+float64(l.units)/float64(base)), max(p.LentTo, l.until)
	}
	if rt.loadAt > 0 {
		p.Load, p.LoadTo = rt.load, rt.loadAt+freshFor
	}
	return p
}

// follow has the load that is told follow the one that is known, as slowly as use is measured. Failure: couriers that all knew the same
// fresh load held back and let go in step, and the more they knew the worse.
func (c *Commons) follow(rt *route) {
	sum, heard := c.load(rt)
	if !heard {
		return
	}
	load, passed := float64(sum)/float64(whole), c.now-rt.loadAt
	if rt.loadAt > 0 && passed < freshFor {
		load = rt.load + (load-rt.load)*(1-math.Exp(-float64(passed)/float64(rateOver)))
	}
	rt.load, rt.loadAt = load, c.now
}

// load is what all couriers use of a limit, as far as it is known: what is known of by word, and at least as much as those who spoke
// for themselves lately make likely for all. False where nobody was heard.
func (c *Commons) load(rt *route) (sum Units, heard bool) {
	known, said := Units(0), Units(0)
	for who, s := range rt.slots {
		if c.now-s.at > freshFor {
			continue
		}
		known, heard = known+s.count.Usage, true
		if at, ok := c.direct[who]; ok && c.now-at <= freshFor {
			said += s.count.Usage
		}
	}
	likely := float64(said) * float64(len(c.alive)) / float64(max(1, len(c.direct)))
	return rt.usage + max(known, Units(likely)), heard
}

// spread says asks to whom they are for, and counts to some members: this courier's own first, then others' in turn.
func (c *Commons) spread(keys []Key, asks map[string][]Ask) {
	var own, others []Count
	from := 0
	if c.kept > mostOthers {
		from = int(c.no % uint64(len(keys)))
	}
	for i := range keys {
		k := keys[(from+i)%len(keys)]
		rt := c.routes[k]
		if n := rt.need; rt.usage > 0 {
			own = append(own, Count{Key: k, Who: c.terms.Self, Start: c.terms.Start, No: c.no, Calls: n.Calls, Done: n.Done, Refused: n.Refused, Usage: rt.usage})
		}
		if len(others) >= mostOthers {
			continue
		}
		for _, who := range slices.Sorted(maps.Keys(rt.slots)) {
			if s := rt.slots[who]; c.now-s.at <= freshFor/2 {
				n := s.count
				n.Age = max(0, c.now-s.at)
				others = append(others, n)
			}
		}
	}
	slices.SortStableFunc(own, func(a, b Count) int { return cmp.Compare(b.Usage, a.Usage) })
	to, hear := map[string]Words{}, map[string]bool{}
	for _, i := range c.rng.Perm(len(c.alive))[:min(sayTo, len(c.alive))] {
		hear[c.alive[i]] = true
		to[c.alive[i]] = Words{}
	}
	for name, a := range asks {
		to[name] = Words{Asks: a}
	}
	said := 0
	for _, name := range slices.Sorted(maps.Keys(to)) {
		w, room := Words{}, packet(c.terms.Self)
		for _, a := range to[name].Asks { // those beyond are lost, and asked again
			if room.take(a.size()) {
				w.Asks = append(w.Asks, a)
			}
		}
		if hear[name] {
			for i := 0; i < len(own) && room.take(own[i].size()); i++ {
				w.Counts = append(w.Counts, own[i])
			}
			for i := 0; i < len(others); i++ {
				n := others[(c.turn+i)%len(others)]
				if !room.take(n.size()) {
					break
				}
				w.Counts, said = append(w.Counts, n), max(said, i+1)
			}
		}
		c.say(name, w) // also where nothing is used: that is worth knowing, too
	}
	c.turn += said
}

// Line is what stands for one route, to be shown.
type Line struct {
	Key
	Limit    float64 `json:"limit_per_s"`
	Base     Units   `json:"base_ppm"`
	Lent     Units   `json:"lent_ppm"`
	Borrowed Units   `json:"borrowed_ppm"`
	Usage    Units   `json:"usage_ppm"`
	Load     float64 `json:"load"`
	Heard    int     `json:"couriers_heard"`
	Calls    uint64  `json:"calls"`
	Done     uint64  `json:"done"`
	Refused  uint64  `json:"refused"`
	LentTo   []Lot   `json:"lent_to,omitempty"`
	From     []Lot   `json:"borrowed_from,omitempty"`
}

// Lot is one loan: with whom, its number, and how long it still holds here.
type Lot struct {
	Who   string `json:"who"`
	No    uint64 `json:"no"`
	Units Units  `json:"ppm"`
	For   Micros `json:"for_us"`
}

func (c *Commons) lots(all []loan) (lots []Lot) {
	for _, l := range all {
		if c.now < l.until {
			lots = append(lots, Lot{l.who, l.no, l.units, l.until - c.now})
		}
	}
	return lots
}

// Look is what stands at an instant, by route, and what happened.
func (c *Commons) Look(now Micros) (lines []Line, sums Sums) {
	c.now = max(c.now, now)
	for _, k := range slices.SortedFunc(maps.Keys(c.routes), compare) {
		rt := c.routes[k]
		p := c.part(rt)
		units, _ := c.borrowed(rt, 0)
		l := Line{Key: k, Limit: rt.need.Limit, Base: c.base(), Lent: min(c.base(), c.away(rt)), Borrowed: units, Usage: rt.usage, Load: p.Load,
			Calls: rt.need.Calls, Done: rt.need.Done, Refused: rt.need.Refused, LentTo: c.lots(rt.lent), From: c.lots(rt.taken)}
		for _, s := range rt.slots {
			if c.now-s.at <= freshFor {
				l.Heard++
				l.Calls, l.Done, l.Refused = l.Calls+s.count.Calls, l.Done+s.count.Done, l.Refused+s.count.Refused
			}
		}
		lines = append(lines, l)
	}
	return lines, c.sums
}
