package dispatch

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"pineport/testbed/golden"
)

// TestScenarios plays testdata/*.txt; parts are set apart by lines or semicolons, # begins a comment. First what
// the courier is handed, if not the usual: charter, workload, shape, party, with names and values. Then "at
// SECONDS", the events of that instant (list, take, end, left), and what must have been done since the instant
// before: want, none, most N, least N, with the beginning of an action, or what it holds now: records, keys, endpoints,
// dests and their number. "answer ENDPOINT OUTCOME SPAN" lets an
// endpoint answer by itself, "never" ends that. "stands" after an instant: no event is handled until the next one. List entries are endpoint:dest:zone:shape:phase:rate; r1..r9
// stands for nine records. Every action is held against the rules, asked or not.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	var digests strings.Builder
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := &player{t: t, records: map[string]*fate{}, replies: map[string]reply{}, phase: map[EndpointID]Phase{}, barred: map[string]bool{}, digest: sha256.New()}
			p.charter = Charter{Salt: 7, Couriers: 1, Slots: 50, Hold: 100, MaxTrips: 8, MayAdvise: true,
				MayCancel: true, LongestAdvice: 2 * second, Tick: 5 * millisecond, LeftAt: -1, RateAt: -1,
				ColdFrom: 0.2, Ramp: 10 * second, FallMultiple: 2, IdleAfter: 5 * second,
				KeyRest: second}
			for _, line := range strings.Split(string(text), "\n") {
				p.line++
				line, _, _ = strings.Cut(line, "#")
				for _, part := range strings.Split(line, ";") {
					if words := strings.Fields(part); len(words) > 0 {
						p.play(words)
					}
				}
			}
			p.flush()
			if p.checks == 0 {
				t.Fatal("nothing is asked for")
			}
			fmt.Fprintf(&digests, "%s %x\n", filepath.Base(file), p.digest.Sum(nil)[:16])
		})
	}
	golden.Check(t, "actions.golden", []byte(digests.String()))
}

// digestAction adds an action, in full, to a digest that names no type and no field of the program.
func digestAction(digest io.Writer, now Micros, action Action) {
	fmt.Fprintf(digest, "%d ", now)
	switch a := action.(type) {
	case Send:
		fmt.Fprintf(digest, "1 %q %q %d\n", a.Record, a.Endpoint, a.Limit)
	case Cancel:
		fmt.Fprintf(digest, "2 %q %d\n", a.Record, a.Trip)
	case Bounce:
		fmt.Fprintf(digest, "3 %q %d\n", a.Record, a.Pause)
	case Terminate:
		fmt.Fprintf(digest, "4 %q\n", a.Record)
	case Wake:
		fmt.Fprintf(digest, "5 %d\n", a.At)
	case CloseIdle:
		fmt.Fprintf(digest, "6 %q\n", a.Endpoint)
	case Watch:
		fmt.Fprintf(digest, "7\n")
	case Note:
		fmt.Fprintf(digest, "8 %q\n", a.Text)
	default:
		panic(fmt.Sprintf("an action without a number: %T", action))
	}
}

type reply struct {
	outcome  Outcome
	delay    Micros
	pressure []float64
}

type pending struct {
	at Micros
	e  Settled
}

// fate is what the rules need to know of a record.
type fate struct {
	work          Workload
	trips         []bool // over
	out           int
	mayRan, ended bool
	ranAt, cutOff Micros
}

type player struct {
	t            *testing.T
	line, checks int
	charter      Charter
	courier      *Courier
	watchers     watchers
	stood        bool
	lore         *Lore
	now          Micros
	batch        []Event
	open         bool // a batch is being written
	later        []pending
	wakes        []Micros
	did          []Action
	records      map[string]*fate
	replies      map[string]reply
	phase        map[EndpointID]Phase
	barred       map[string]bool
	digest       hash.Hash // of all actions, in order
}

func (p *player) fatal(format string, args ...any) {
	p.t.Helper()
	p.t.Fatalf("line %d, at %.3f s: %s", p.line, float64(p.now)/1e6, fmt.Sprintf(format, args...))
}

func (p *player) span(word string) Micros {
	d, err := time.ParseDuration(word)
	if err != nil {
		p.fatal("not a span: %s", word)
	}
	return Micros(d.Microseconds())
}

func (p *player) number(word string) float64 {
	x, err := strconv.ParseFloat(word, 64)
	if err != nil {
		p.fatal("not a number: %s", word)
	}
	return x
}

func (p *player) pressure(left, rate string) []float64 {
	if left == "" {
		return nil
	}
	return []float64{p.number(left), p.number(rate)}
}

// ids expands r1..r9.
func (p *player) ids(word string) []string {
	from, to, ok := strings.Cut(word, "..")
	if !ok {
		return []string{word}
	}
	stem := strings.TrimRight(from, "0123456789")
	var out []string
	last := int(p.number(strings.TrimPrefix(to, stem)))
	for i := int(p.number(strings.TrimPrefix(from, stem))); i <= last; i++ {
		out = append(out, stem+strconv.Itoa(i))
	}
	return out
}

var outcomeWords = map[string]Outcome{"done": Done, "failure": Failure, "full": Full, "timed_out": TimedOut,
	"unreachable": Unreachable, "broken": Broken, "withdrawn": Withdrawn, "void": Void}

func (p *player) play(w []string) {
	opt := func(name, otherwise string) string {
		for i := 1; i+1 < len(w); i++ {
			if w[i] == name {
				return w[i+1]
			}
		}
		return otherwise
	}
	has := func(name string) bool { return strings.Contains(" "+strings.Join(w, " ")+" ", " "+name+" ") }
	if len(p.charter.Workloads) == 0 && w[0] == "at" {
		p.charter.Workloads = []Workload{{Quoted: second, Life: 60 * second, Payoff: 1, LatePart: 0.5}}
	}
	if !p.open && (w[0] == "list" || w[0] == "take" || w[0] == "end" || w[0] == "left" || w[0] == "recover" || w[0] == "bar" || w[0] == "unbar" || w[0] == "learned" || w[0] == "recharter") {
		p.fatal("an event needs an instant of its own")
	}
	switch w[0] {
	case "charter":
		c := &p.charter
		c.Slots = int(p.number(opt("slots", strconv.Itoa(c.Slots))))
		c.Hold = int(p.number(opt("hold", strconv.Itoa(c.Hold))))
		c.MaxTrips = int(p.number(opt("trips", strconv.Itoa(c.MaxTrips))))
		c.Couriers = int(p.number(opt("couriers", strconv.Itoa(c.Couriers))))
		c.Number = int(p.number(opt("number", "0")))
		c.Zone, c.CrossFee = ZoneID(p.number(opt("zone", "0"))), p.number(opt("crossing", "0"))
		c.MustAsk = has("ask")
		if has("reports") {
			c.LeftAt, c.RateAt = 0, 1
		}
		if has("nominal") {
			c.Rates = NominalRates
		}
	case "workload":
		kind := map[string]Repeat{"replayable": Replayable, "referenced": Referenced, "single-use": SingleUse}[w[1]]
		p.charter.Workloads = append(p.charter.Workloads, Workload{Repeat: kind, LatePart: p.number(opt("late", "0.5")),
			Quoted: p.span(opt("quoted", "1s")), Life: p.span(opt("life", "20s")),
			Payoff: p.number(opt("payoff", "1")), Window: p.span(opt("window", "5s")),
			OneZone: has("onezone"), InOrder: has("ordered")})
	case "shape":
		p.charter.Shapes = append(p.charter.Shapes, Shape{Apart: w[1] == "apart", PerCall: int(p.number(w[2]))})
	case "party":
		p.charter.OverSharePart = 0.1
		p.charter.Parties = append(p.charter.Parties, Party{p.number(w[1])})
	case "at":
		p.flush()
		p.advance(Micros(p.number(w[1]) * 1e6))
		p.open = true
	case "answer":
		if w[2] == "never" {
			delete(p.replies, w[1])
		} else {
			p.replies[w[1]] = reply{outcomeWords[w[2]], p.span(opt(w[2], "20ms")), p.pressure(opt("left", ""), opt("rate", "0"))}
		}
	case "list":
		news := ListNews{How: map[string]ListKind{"persisted": Persisted, "complete": Complete, "partial": Partial,
			"error": ListError}[w[1]]}
		if news.How == Complete {
			clear(p.phase)
		}
		for _, word := range w[2:] { // endpoint:dest:zone:shape:phase:rate
			parts := append(strings.Split(word, ":"), "", "", "", "", "")
			field := func(i int) int { return int(p.number("0" + parts[i])) }
			l := Listing{Endpoint: EndpointID(parts[0]), Dest: DestID(field(1)), Zone: ZoneID(field(2)),
				Shape: ShapeID(field(3)), Rate: float64(field(5)),
				Phase: map[string]Phase{"": In, "in": In, "lame": Draining, "out": Gone}[parts[4]]}
			news.Entries = append(news.Entries, l)
			p.phase[l.Endpoint] = l.Phase
		}
		p.batch = append(p.batch, news)
	case "take":
		for _, id := range p.ids(w[1]) {
			work := WorkloadID(p.number(opt("w", "0")))
			cutOff := p.now + p.charter.Workloads[work].Life
			p.records[id] = &fate{work: p.charter.Workloads[work], cutOff: cutOff}
			p.batch = append(p.batch, Taken{Record: RecordID(id), Dest: DestID(p.number(opt("dest", "1"))),
				Workload: work, Party: PartyID(p.number(opt("p", "0"))), Key: Key(opt("key", "")), CutOff: cutOff})
		}
	case "recover": // ID, w, key, left, trips OUTCOME@AGO[/ZONE],...; the outcome "out" is one that is still awaited
		work := WorkloadID(p.number(opt("w", "0")))
		f := &fate{work: p.charter.Workloads[work]}
		f.cutOff = p.now + p.span(opt("left", "5s"))
		e := Recovered{Taken: Taken{Record: RecordID(w[1]), Dest: 1, Workload: work, Key: Key(opt("key", "")), CutOff: f.cutOff}}
		for _, word := range strings.Split(opt("trips", ""), ",") {
			if name, rest, ok := strings.Cut(word, "@"); ok {
				ago, zone, _ := strings.Cut(rest, "/")
				past := Past{Endpoint: EndpointID(opt("at", "")), Sent: p.now - p.span(ago), Outcome: outcomeWords[name],
					Zone: ZoneID(p.number("0" + zone))}
				past.Out = name == "out"
				e.Trips = append(e.Trips, past)
				f.trips = append(f.trips, !past.Out)
				if past.Out {
					f.out++
				} else if o := past.Outcome; !f.mayRan && o != Full && o != Unreachable && o != Void {
					f.mayRan, f.ranAt = true, past.Sent
				}
			}
		}
		p.records[w[1]] = f
		p.batch = append(p.batch, e)
	case "restart": // all that was held is dropped; what was learned is kept for the line learned
		lore := p.courier.Lore()
		p.lore, p.courier, p.later, p.wakes, p.watchers = &lore, New(p.charter), nil, nil, nil
		for _, f := range p.records {
			f.ended = true
		}
	case "learned":
		p.batch = append(p.batch, Learned{*p.lore})
	case "recharter": // slots, hold, and "single-use" for a first workload that may run twice no more
		ch := p.charter
		ch.Workloads = append([]Workload(nil), ch.Workloads...)
		ch.Slots, ch.Hold = int(p.number(opt("slots", strconv.Itoa(ch.Slots)))), int(p.number(opt("hold", strconv.Itoa(ch.Hold))))
		if has("single-use") {
			ch.Workloads[0].Repeat = SingleUse
		}
		ch.Workloads = append(ch.Workloads, Workload{Quoted: second, Life: 9 * second, Payoff: 5}) // and one more than before
		p.charter = ch
		p.batch = append(p.batch, Rechartered{ch})
	case "closing":
		p.batch = append(p.batch, Closing{p.now + p.span(w[1])})
	case "end":
		for _, id := range p.ids(w[1]) {
			s := Settled{Record: RecordID(id), Trip: TripNo(p.number(w[2])), Outcome: outcomeWords[w[3]],
				Took: p.span(opt("took", "100ms")), Wait: p.span(opt("wait", "0s"))}
			s.Pressure = p.pressure(opt("left", ""), opt("rate", "0"))
			if f := p.records[id]; has("over") && f != nil {
				f.ended = true
			}
			p.batch = append(p.batch, p.note(s))
		}
	case "bar", "unbar": // by people
		p.batch = append(p.batch, Maintained{EndpointID(w[1]), w[0] == "bar"})
		p.barred[w[1]] = w[0] == "bar"
	case "stands": // still: what falls due until the next instant comes then, all at once
		p.flush()
		p.stood = true
	case "left":
		p.batch = append(p.batch, Left{RecordID(w[1])})
		p.records[w[1]].ended = true
	case "holds":
		p.flush()
		p.checks++
		got := map[string]int{"records": len(p.courier.records), "keys": len(p.courier.keys),
			"endpoints": len(p.courier.endpoints), "dests": len(p.courier.dests)}[w[1]]
		if got != int(p.number(w[2])) {
			p.fatal("holds %d %s, not %s", got, w[1], w[2])
		}
	case "want", "none", "most", "least":
		p.flush()
		p.check(w)
	default:
		p.fatal("no such line: %s", w[0])
	}
}

// note keeps the books of an outcome that is about to be told.
func (p *player) note(s Settled) Settled {
	f := p.records[string(s.Record)]
	if f == nil || int(s.Trip) >= len(f.trips) {
		return s
	}
	f.trips[s.Trip] = true
	f.out--
	if s.Outcome == Done {
		f.ended = true
	}
	s.Over = f.ended
	if o := s.Outcome; o != Full && o != Unreachable && o != Void {
		f.mayRan = true
	}
	return s
}

// flush hands over the batch that was written.
func (p *player) flush() {
	if p.open {
		p.open = false
		p.handle(p.batch)
		p.batch = nil
	}
}

func (p *player) handle(events []Event) {
	if p.courier == nil {
		p.courier = New(p.charter)
	}
	actions := p.courier.Handle(p.now, events)
	p.watchers.see(p, events, actions)
	for _, action := range actions {
		digestAction(p.digest, p.now, action)
		p.rules(action)
		p.did = append(p.did, action)
	}
}

// advance plays wake-ups and answers that fall due before an instant; what was done before is forgotten.
func (p *player) advance(to Micros) {
	p.did = nil
	for p.courier != nil {
		sort.SliceStable(p.later, func(i, j int) bool { return p.later[i].at < p.later[j].at })
		sort.Slice(p.wakes, func(i, j int) bool { return p.wakes[i] < p.wakes[j] })
		next := Micros(math.MaxInt64)
		if len(p.later) > 0 {
			next = p.later[0].at
		}
		if len(p.wakes) > 0 {
			next = min(next, p.wakes[0])
		}
		if next >= to {
			break
		}
		if p.now = max(p.now, next); p.stood {
			p.now = to
		}
		var events []Event
		for len(p.later) > 0 && p.later[0].at <= p.now {
			events = append(events, p.note(p.later[0].e))
			p.later = p.later[1:]
		}
		for len(p.wakes) > 0 && p.wakes[0] <= p.now {
			events, p.wakes = append(events, Woken{}), p.wakes[1:]
		}
		p.handle(events)
	}
	p.now, p.stood = to, false
}

// rules holds every action against the six rules, in every scenario.
func (p *player) rules(action Action) {
	p.t.Helper()
	end := func(id RecordID, bounce bool) {
		f := p.records[string(id)]
		if f == nil || f.ended {
			p.fatal("a second answer, or one for a stranger: %s", id)
		}
		if p.now > f.cutOff {
			p.fatal("%s answered after its cut-off", id)
		}
		if bounce && (f.mayRan || f.out > 0) && (f.work.Repeat == SingleUse || f.work.OneZone) {
			p.fatal("%s bounced though it may have run", id)
		}
		f.ended = true
	}
	switch a := action.(type) {
	case Bounce:
		end(a.Record, true)
	case Terminate:
		end(a.Record, false)
	case Wake:
		p.wakes = append(p.wakes, a.At)
	case Send:
		f := p.records[string(a.Record)]
		switch {
		case f == nil || f.ended:
			p.fatal("%s sent after its end", a.Record)
		case p.phase[a.Endpoint] != In:
			p.fatal("%s sent to %s, which is not in", a.Record, a.Endpoint)
		case p.barred[string(a.Endpoint)]:
			p.fatal("%s sent to %s, which people have taken out", a.Record, a.Endpoint)
		case f.work.Repeat == SingleUse && (f.mayRan || f.out > 0):
			p.fatal("%s is single-use and sent again", a.Record)
		case f.work.Repeat == Referenced && f.mayRan && p.now > f.ranAt+f.work.Window:
			p.fatal("%s sent again after its window", a.Record)
		case a.Limit <= 0 || p.now+a.Limit > f.cutOff:
			p.fatal("%s may run past its cut-off", a.Record)
		}
		if len(f.trips) == 0 {
			f.ranAt = p.now
		}
		f.trips = append(f.trips, false)
		f.out++
		if r, ok := p.replies[string(a.Endpoint)]; ok {
			p.later = append(p.later, pending{p.now + r.delay, Settled{Record: a.Record,
				Trip: TripNo(len(f.trips) - 1), Outcome: r.outcome, Took: r.delay, Pressure: r.pressure}})
		}
	}
}

// check compares what was done since the last "at" with: want|none KIND [ID [ENDPOINT]], most|least N KIND; * is any.
func (p *player) check(w []string) {
	p.t.Helper()
	p.checks++
	words, number := w[1:], -1
	if w[0] == "most" || w[0] == "least" {
		number, words = int(p.number(w[1])), w[2:]
	}
	n := 0
	for _, action := range p.did {
		said := ""
		switch a := action.(type) {
		case Send:
			said = fmt.Sprintf("send %s %s", a.Record, a.Endpoint)
		case Bounce:
			said = fmt.Sprintf("bounce %s pause %d", a.Record, a.Pause/millisecond)
		case Terminate:
			said = fmt.Sprintf("terminate %s", a.Record)
		case Cancel:
			said = fmt.Sprintf("cancel %s", a.Record)
		case CloseIdle:
			said = fmt.Sprintf("close %s", a.Endpoint)
		case Watch:
			said = "watch"
		}
		all := true
		for i, part := range strings.Fields(said) {
			all = all && (i >= len(words) || words[i] == "*" || words[i] == part)
		}
		if all && len(strings.Fields(said)) >= len(words) {
			n++
		}
	}
	switch {
	case w[0] == "want" && n == 0, w[0] == "none" && n > 0,
		w[0] == "most" && n > number, w[0] == "least" && n < number:
		p.fatal("%s: found %d in %+v", strings.Join(w, " "), n, p.did)
	}
}
