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
// the courier is handed, if not the usual: configuration, class, shape, tenant, with names and values. Then "at
// SECONDS", the events of that instant (list, take, end, left), and what must have been done since the instant
// before: want, none, most N, least N, with the beginning of an action, or what it holds now: messages, keys, endpoints,
// dests and their number. "answer ENDPOINT OUTCOME SPAN" lets an
// endpoint answer by itself, "never" ends that. "stands" after an instant: no event is handled until the next one. List entries are endpoint:dest:zone:shape:phase:rate; r1..r9
// stands for nine messages. Every action is held against the rules, asked or not.
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
			p := &player{t: t, messages: map[string]*messageBook{}, replies: map[string]reply{}, phase: map[EndpointID]Phase{}, disabled: map[string]bool{}, digest: sha256.New()}
			p.config = Config{Seed: 7, Couriers: 1, Slots: 50, QueueLimit: 100, MaxAttempts: 8, MaySendRetryAfter: true,
				MayCancel: true, MaxRetryAfter: 2 * second, Tick: 5 * millisecond, ReportRemainingIndex: -1, ReportRateIndex: -1,
				SlowStartInitialShare: 0.2, SlowStart: 10 * second, OverloadFactor: 2, IdleTimeout: 5 * second,
				KeyCooldown: second}
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
		fmt.Fprintf(digest, "1 %q %q %d\n", a.Message, a.Endpoint, a.Timeout)
	case Cancel:
		fmt.Fprintf(digest, "2 %q %d\n", a.Message, a.Attempt)
	case Reject:
		fmt.Fprintf(digest, "3 %q %d\n", a.Message, a.RetryAfter)
	case Fail:
		fmt.Fprintf(digest, "4 %q\n", a.Message)
	case SetTimer:
		fmt.Fprintf(digest, "5 %d\n", a.At)
	case CloseIdle:
		fmt.Fprintf(digest, "6 %q\n", a.Endpoint)
	case WatchEndpoints:
		fmt.Fprintf(digest, "7\n")
	case Note:
		fmt.Fprintf(digest, "8 %q\n", a.Text)
	default:
		panic(fmt.Sprintf("an action without a number: %T", action))
	}
}

type reply struct {
	outcome    Outcome
	delay      Micros
	loadReport []float64
}

type pending struct {
	at    Micros
	event AttemptFinished
}

// fate is what the rules need to know of a message.
type messageBook struct {
	class             Class
	attempts          []bool // over
	inFlight          int
	mayHaveRun, ended bool
	ranAt, deadline   Micros
}

type player struct {
	t            *testing.T
	line, checks int
	config       Config
	dispatcher   *Dispatcher
	shadows      watchers
	paused       bool
	snapshot     *Snapshot
	now          Micros
	batch        []Event
	open         bool // a batch is being written
	later        []pending
	wakes        []Micros
	actions      []Action
	messages     map[string]*messageBook
	replies      map[string]reply
	phase        map[EndpointID]Phase
	disabled     map[string]bool
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

func (p *player) loadReport(left, rate string) []float64 {
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

var outcomeWords = map[string]Outcome{"done": Delivered, "failure": Failure, "full": Throttled, "timed_out": TimedOut,
	"unreachable": Unreachable, "broken": Broken, "withdrawn": Canceled, "void": Unprocessed}

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
	if len(p.config.Classes) == 0 && w[0] == "at" {
		p.config.Classes = []Class{{Objective: second, TimeToLive: 60 * second, Priority: 1, LateFactor: 0.5}}
	}
	if !p.open && (w[0] == "list" || w[0] == "take" || w[0] == "end" || w[0] == "left" || w[0] == "recover" || w[0] == "bar" || w[0] == "unbar" || w[0] == "learned" || w[0] == "recharter") {
		p.fatal("an event needs an instant of its own")
	}
	switch w[0] {
	case "charter":
		c := &p.config
		c.Slots = int(p.number(opt("slots", strconv.Itoa(c.Slots))))
		c.QueueLimit = int(p.number(opt("hold", strconv.Itoa(c.QueueLimit))))
		c.MaxAttempts = int(p.number(opt("trips", strconv.Itoa(c.MaxAttempts))))
		c.Couriers = int(p.number(opt("couriers", strconv.Itoa(c.Couriers))))
		c.CourierNumber = int(p.number(opt("number", "0")))
		c.Zone, c.CrossZoneCost = ZoneID(p.number(opt("zone", "0"))), p.number(opt("crossing", "0"))
		c.MustPoll = has("ask")
		if has("reports") {
			c.ReportRemainingIndex, c.ReportRateIndex = 0, 1
		}
		if has("nominal") {
			c.RateQuality = NominalRates
		}
	case "workload":
		kind := map[string]Idempotency{"replayable": Idempotent, "referenced": IdempotencyKey, "single-use": AtMostOnce}[w[1]]
		p.config.Classes = append(p.config.Classes, Class{Idempotency: kind, LateFactor: p.number(opt("late", "0.5")),
			Objective: p.span(opt("quoted", "1s")), TimeToLive: p.span(opt("life", "20s")),
			Priority: p.number(opt("payoff", "1")), IdempotencyWindow: p.span(opt("window", "5s")),
			SameZone: has("onezone"), Ordered: has("ordered")})
	case "shape":
		p.config.EndpointTypes = append(p.config.EndpointTypes, EndpointType{Separate: w[1] == "apart", MaxPerCall: int(p.number(w[2]))})
	case "party":
		p.config.OverQuotaFactor = 0.1
		p.config.Tenants = append(p.config.Tenants, Tenant{p.number(w[1])})
	case "at":
		p.flush()
		p.advance(Micros(p.number(w[1]) * 1e6))
		p.open = true
	case "answer":
		if w[2] == "never" {
			delete(p.replies, w[1])
		} else {
			p.replies[w[1]] = reply{outcomeWords[w[2]], p.span(opt(w[2], "20ms")), p.loadReport(opt("left", ""), opt("rate", "0"))}
		}
	case "list":
		news := EndpointUpdate{Kind: map[string]UpdateKind{"persisted": CachedList, "complete": CompleteList, "partial": PartialList,
			"error": ListFailed}[w[1]]}
		if news.Kind == CompleteList {
			clear(p.phase)
		}
		for _, word := range w[2:] { // endpoint:dest:zone:shape:phase:rate
			parts := append(strings.Split(word, ":"), "", "", "", "", "")
			field := func(i int) int { return int(p.number("0" + parts[i])) }
			entry := EndpointEntry{Endpoint: EndpointID(parts[0]), Destination: DestinationID(field(1)), Zone: ZoneID(field(2)),
				Type: EndpointTypeID(field(3)), Rate: float64(field(5)),
				Phase: map[string]Phase{"": InService, "in": InService, "lame": Draining, "out": Removed}[parts[4]]}
			news.Entries = append(news.Entries, entry)
			p.phase[entry.Endpoint] = entry.Phase
		}
		p.batch = append(p.batch, news)
	case "take":
		for _, id := range p.ids(w[1]) {
			work := ClassID(p.number(opt("w", "0")))
			cutOff := p.now + p.config.Classes[work].TimeToLive
			p.messages[id] = &messageBook{class: p.config.Classes[work], deadline: cutOff}
			p.batch = append(p.batch, MessageAccepted{Message: MessageID(id), Destination: DestinationID(p.number(opt("dest", "1"))),
				Class: work, Tenant: TenantID(p.number(opt("p", "0"))), OrderingKey: OrderingKey(opt("key", "")), Deadline: cutOff})
		}
	case "recover": // ID, w, key, left, attempts OUTCOME@AGO[/ZONE],...; the outcome "out" is one that is still awaited
		work := ClassID(p.number(opt("w", "0")))
		book := &messageBook{class: p.config.Classes[work]}
		book.deadline = p.now + p.span(opt("left", "5s"))
		event := MessageRecovered{MessageAccepted: MessageAccepted{Message: MessageID(w[1]), Destination: 1, Class: work, OrderingKey: OrderingKey(opt("key", "")), Deadline: book.deadline}}
		for _, word := range strings.Split(opt("trips", ""), ",") {
			if name, rest, ok := strings.Cut(word, "@"); ok {
				ago, zone, _ := strings.Cut(rest, "/")
				past := PastAttempt{Endpoint: EndpointID(opt("at", "")), SentAt: p.now - p.span(ago), Outcome: outcomeWords[name],
					Zone: ZoneID(p.number("0" + zone))}
				past.InFlight = name == "out"
				event.Attempts = append(event.Attempts, past)
				book.attempts = append(book.attempts, !past.InFlight)
				if past.InFlight {
					book.inFlight++
				} else if outcome := past.Outcome; !book.mayHaveRun && outcome != Throttled && outcome != Unreachable && outcome != Unprocessed {
					book.mayHaveRun, book.ranAt = true, past.SentAt
				}
			}
		}
		p.messages[w[1]] = book
		p.batch = append(p.batch, event)
	case "restart": // all that was held is dropped; what was learned is kept for the line learned
		snapshot := p.dispatcher.Snapshot()
		p.snapshot, p.dispatcher, p.later, p.wakes, p.shadows = &snapshot, New(p.config), nil, nil, nil
		for _, book := range p.messages {
			book.ended = true
		}
	case "learned":
		p.batch = append(p.batch, SnapshotRestored{*p.snapshot})
	case "recharter": // slots, hold, and "at-most-once" for a first class that may run twice no more
		config := p.config
		config.Classes = append([]Class(nil), config.Classes...)
		config.Slots, config.QueueLimit = int(p.number(opt("slots", strconv.Itoa(config.Slots)))), int(p.number(opt("hold", strconv.Itoa(config.QueueLimit))))
		if has("single-use") {
			config.Classes[0].Idempotency = AtMostOnce
		}
		config.Classes = append(config.Classes, Class{Objective: second, TimeToLive: 9 * second, Priority: 5}) // and one more than before
		p.config = config
		p.batch = append(p.batch, Reconfigured{config})
	case "closing":
		p.batch = append(p.batch, ShutdownScheduled{p.now + p.span(w[1])})
	case "end":
		for _, id := range p.ids(w[1]) {
			s := AttemptFinished{Message: MessageID(id), Attempt: AttemptNumber(p.number(w[2])), Outcome: outcomeWords[w[3]],
				Duration: p.span(opt("took", "100ms")), RetryAfter: p.span(opt("wait", "0s"))}
			s.LoadReport = p.loadReport(opt("left", ""), opt("rate", "0"))
			if book := p.messages[id]; has("over") && book != nil {
				book.ended = true
			}
			p.batch = append(p.batch, p.note(s))
		}
	case "bar", "unbar": // by people
		p.batch = append(p.batch, MaintenanceChanged{EndpointID(w[1]), w[0] == "bar"})
		p.disabled[w[1]] = w[0] == "bar"
	case "stands": // still: what falls due until the next instant comes then, all at once
		p.flush()
		p.paused = true
	case "left":
		p.batch = append(p.batch, MessageCanceled{MessageID(w[1])})
		p.messages[w[1]].ended = true
	case "holds":
		p.flush()
		p.checks++
		got := map[string]int{"records": len(p.dispatcher.messages), "keys": len(p.dispatcher.keys),
			"endpoints": len(p.dispatcher.endpoints), "dests": len(p.dispatcher.destinations)}[w[1]]
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

// note keeps the books of an outcome that is about to be notified.
func (p *player) note(event AttemptFinished) AttemptFinished {
	book := p.messages[string(event.Message)]
	if book == nil || int(event.Attempt) >= len(book.attempts) {
		return event
	}
	book.attempts[event.Attempt] = true
	book.inFlight--
	if event.Outcome == Delivered {
		book.ended = true
	}
	event.MessageDone = book.ended
	if outcome := event.Outcome; outcome != Throttled && outcome != Unreachable && outcome != Unprocessed {
		book.mayHaveRun = true
	}
	return event
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
	if p.dispatcher == nil {
		p.dispatcher = New(p.config)
	}
	actions := p.dispatcher.Handle(p.now, events)
	p.shadows.see(p, events, actions)
	for _, action := range actions {
		digestAction(p.digest, p.now, action)
		p.rules(action)
		p.actions = append(p.actions, action)
	}
}

// advance plays wake-ups and answers that fall due before an instant; what was done before is forgotten.
func (p *player) advance(to Micros) {
	p.actions = nil
	for p.dispatcher != nil {
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
		if p.now = max(p.now, next); p.paused {
			p.now = to
		}
		var events []Event
		for len(p.later) > 0 && p.later[0].at <= p.now {
			events = append(events, p.note(p.later[0].event))
			p.later = p.later[1:]
		}
		for len(p.wakes) > 0 && p.wakes[0] <= p.now {
			events, p.wakes = append(events, TimerFired{}), p.wakes[1:]
		}
		p.handle(events)
	}
	p.now, p.paused = to, false
}

// rules holds every action against the six rules, in every scenario.
func (p *player) rules(action Action) {
	p.t.Helper()
	end := func(id MessageID, reject bool) {
		book := p.messages[string(id)]
		if book == nil || book.ended {
			p.fatal("a second answer, or one for a stranger: %s", id)
		}
		if p.now > book.deadline {
			p.fatal("%s answered after its deadline", id)
		}
		if reject && (book.mayHaveRun || book.inFlight > 0) && (book.class.Idempotency == AtMostOnce || book.class.SameZone) {
			p.fatal("%s rejected though it may have run", id)
		}
		book.ended = true
	}
	switch a := action.(type) {
	case Reject:
		end(a.Message, true)
	case Fail:
		end(a.Message, false)
	case SetTimer:
		p.wakes = append(p.wakes, a.At)
	case Send:
		book := p.messages[string(a.Message)]
		switch {
		case book == nil || book.ended:
			p.fatal("%s sent after its end", a.Message)
		case p.phase[a.Endpoint] != InService:
			p.fatal("%s sent to %s, which is not in", a.Message, a.Endpoint)
		case p.disabled[string(a.Endpoint)]:
			p.fatal("%s sent to %s, which people have taken out", a.Message, a.Endpoint)
		case book.class.Idempotency == AtMostOnce && (book.mayHaveRun || book.inFlight > 0):
			p.fatal("%s is at-most-once and sent again", a.Message)
		case book.class.Idempotency == IdempotencyKey && book.mayHaveRun && p.now > book.ranAt+book.class.IdempotencyWindow:
			p.fatal("%s sent again after its window", a.Message)
		case a.Timeout <= 0 || p.now+a.Timeout > book.deadline:
			p.fatal("%s may run past its deadline", a.Message)
		}
		if len(book.attempts) == 0 {
			book.ranAt = p.now
		}
		book.attempts = append(book.attempts, false)
		book.inFlight++
		if r, ok := p.replies[string(a.Endpoint)]; ok {
			p.later = append(p.later, pending{p.now + r.delay, AttemptFinished{Message: a.Message,
				Attempt: AttemptNumber(len(book.attempts) - 1), Outcome: r.outcome, Duration: r.delay, LoadReport: r.loadReport}})
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
	for _, action := range p.actions {
		said := ""
		switch a := action.(type) {
		case Send:
			said = fmt.Sprintf("send %s %s", a.Message, a.Endpoint)
		case Reject:
			said = fmt.Sprintf("bounce %s pause %d", a.Message, a.RetryAfter/millisecond)
		case Fail:
			said = fmt.Sprintf("terminate %s", a.Message)
		case Cancel:
			said = fmt.Sprintf("cancel %s", a.Message)
		case CloseIdle:
			said = fmt.Sprintf("close %s", a.Endpoint)
		case WatchEndpoints:
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
		p.fatal("%s: found %d in %+v", strings.Join(w, " "), n, p.actions)
	}
}
