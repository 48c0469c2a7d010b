// Package quota decides what couriers of one fleet share of the limits that hold over all of them, without I/O or clock: parts of
// limits are lent, and what each uses is counted. New reads the Terms once; Handle takes the instant and what happened, and returns
// what is to be said and what stands. docs/quota.md says what is promised.
//
// A part is a share of a limit, in millionths. Each courier has a base part that needs nobody: one of as many as it reckons with. What
// it does not need it may lend, up to half of it. A loan is taken off at the lender before it is said, ends at the borrower a span
// after it *asked*, and is back at the lender strictly later than that, for clocks that run by a hundredth apart. So a word that is
// lost, late or doubled can only make room smaller, and no clock is compared with another one. A start holds back what an earlier
// start of the same courier may have lent: nothing has to be kept in a file, and an older copy of the folder does no harm.
package quota

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
