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

// TestScenarios runs the scenarios in testdata/*.txt and compares a digest of all actions with actions.golden.
//
// Directives are separated by line ends or semicolons; # begins a comment. A scenario starts with the configuration that
// differs from the default: charter (Config), workload (Class), shape (EndpointType) and party (Tenant), with names and
// values. "at SECONDS" starts an instant. It is followed by the events of that instant (list, take, end, left, ...) and by
// checks. want, none, most N and least N check the actions since the previous "at" against the first words of an action.
// "holds KIND N" checks the number of records (messages), keys, endpoints or dests that the dispatcher holds.
//
// "answer ENDPOINT OUTCOME DURATION" makes an endpoint answer each attempt; "answer ENDPOINT never" stops this. "stands"
// pauses the courier until the next "at". List entries are endpoint:dest:zone:shape:phase:rate; r1..r9 stands for nine
// messages. Every action of every scenario is also checked by checkRules.
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
			p := &scenarioRunner{t: t, messages: map[string]*messageState{}, replies: map[string]reply{}, phases: map[EndpointID]Phase{}, disabled: map[string]bool{}, digest: sha256.New()}
			p.config = Config{Seed: 7, Couriers: 1, Slots: 50, QueueLimit: 100, MaxAttempts: 8, MayTellRetryAfter: true,
				MayCancel: true, MaxRetryAfter: 2 * second, Tick: 5 * millisecond, ReportLeftIndex: -1, ReportRateIndex: -1,
				SlowStartFrom: 0.2, SlowStart: 10 * second, OverloadFactor: 2, IdleTimeout: 5 * second,
				KeyCooldown: second}
			for _, line := range strings.Split(string(text), "\n") {
				p.line++
				line, _, _ = strings.Cut(line, "#")
				for _, part := range strings.Split(line, ";") {
					if words := strings.Fields(part); len(words) > 0 {
						p.runDirective(words)
					}
				}
			}
			p.flush()
			if p.checks == 0 {
				t.Fatal("the scenario contains no checks")
			}
			fmt.Fprintf(&digests, "%s %x\n", filepath.Base(file), p.digest.Sum(nil)[:16])
		})
	}
	golden.Check(t, "actions.golden", []byte(digests.String()))
}

// digestAction adds all fields of an action to a digest that does not depend on the names of types and fields.
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
		panic(fmt.Sprintf("no digest code for action type %T", action))
	}
}

// reply is how an endpoint answers each attempt.
type reply struct {
	outcome    Outcome
	delay      Micros
	loadReport []float64
}

// scheduledOutcome is an outcome that is reported at a later instant.
type scheduledOutcome struct {
	at    Micros
	event AttemptFinished
}

// messageState is what checkRules needs to know of a message.
type messageState struct {
	class             Class
	attemptsDone      []bool // by attempt: whether it has finished
	inFlight          int
	mayHaveRun, ended bool
	ranAt, deadline   Micros
}

// scenarioRunner runs one scenario with one dispatcher.
type scenarioRunner struct {
	t            *testing.T
	line, checks int // current line of the scenario file, and number of checks so far
	config       Config
	dispatcher   *Dispatcher
	shadows      shadowSet
	paused       bool      // no event is handled until the next instant
	snapshot     *Snapshot // taken at the last restart
	now          Micros
	batch        []Event // events of the current instant
	batchOpen    bool    // the batch has not been handled yet
	scheduled    []scheduledOutcome
	timers       []Micros
	actions      []Action // since the previous "at"
	messages     map[string]*messageState
	replies      map[string]reply
	phases       map[EndpointID]Phase
	disabled     map[string]bool
	digest       hash.Hash // of all actions, in order
}

func (p *scenarioRunner) fatal(format string, args ...any) {
	p.t.Helper()
	p.t.Fatalf("line %d, at %.3f s: %s", p.line, float64(p.now)/1e6, fmt.Sprintf(format, args...))
}

func (p *scenarioRunner) duration(word string) Micros {
	d, err := time.ParseDuration(word)
	if err != nil {
		p.fatal("invalid duration: %s", word)
	}
	return Micros(d.Microseconds())
}

func (p *scenarioRunner) number(word string) float64 {
	x, err := strconv.ParseFloat(word, 64)
	if err != nil {
		p.fatal("invalid number: %s", word)
	}
	return x
}

func (p *scenarioRunner) loadReport(left, rate string) []float64 {
	if left == "" {
		return nil
	}
	return []float64{p.number(left), p.number(rate)}
}

// expandIDs expands a range such as r1..r9 to its message IDs.
func (p *scenarioRunner) expandIDs(word string) []string {
	from, to, ok := strings.Cut(word, "..")
	if !ok {
		return []string{word}
	}
	prefix := strings.TrimRight(from, "0123456789")
	var expanded []string
	last := int(p.number(strings.TrimPrefix(to, prefix)))
	for i := int(p.number(strings.TrimPrefix(from, prefix))); i <= last; i++ {
		expanded = append(expanded, prefix+strconv.Itoa(i))
	}
	return expanded
}

var outcomesByKeyword = map[string]Outcome{"done": Delivered, "failure": Failure, "full": Throttled, "timed_out": TimedOut,
	"unreachable": Unreachable, "broken": Broken, "withdrawn": Canceled, "void": Unprocessed}

func (p *scenarioRunner) runDirective(words []string) {
	option := func(name, fallback string) string {
		for i := 1; i+1 < len(words); i++ {
			if words[i] == name {
				return words[i+1]
			}
		}
		return fallback
	}
	has := func(name string) bool { return strings.Contains(" "+strings.Join(words, " ")+" ", " "+name+" ") }
	if len(p.config.Classes) == 0 && words[0] == "at" {
		p.config.Classes = []Class{{Objective: second, TimeToLive: 60 * second, Priority: 1, LateFactor: 0.5}}
	}
	if !p.batchOpen && (words[0] == "list" || words[0] == "take" || words[0] == "end" || words[0] == "left" || words[0] == "recover" || words[0] == "bar" || words[0] == "unbar" || words[0] == "learned" || words[0] == "recharter") {
		p.fatal(`an event must follow its own "at"`)
	}
	switch words[0] {
	case "charter":
		config := &p.config
		config.Slots = int(p.number(option("slots", strconv.Itoa(config.Slots))))
		config.QueueLimit = int(p.number(option("hold", strconv.Itoa(config.QueueLimit))))
		config.MaxAttempts = int(p.number(option("trips", strconv.Itoa(config.MaxAttempts))))
		config.Couriers = int(p.number(option("couriers", strconv.Itoa(config.Couriers))))
		config.CourierNumber = int(p.number(option("number", "0")))
		config.Zone, config.CrossZoneCost = ZoneID(p.number(option("zone", "0"))), p.number(option("crossing", "0"))
		config.MustPoll = has("ask")
		if has("reports") {
			config.ReportLeftIndex, config.ReportRateIndex = 0, 1
		}
		if has("nominal") {
			config.RateQuality = NominalRates
		}
	case "workload":
		idempotency := map[string]Idempotency{"replayable": Idempotent, "referenced": IdempotencyKey, "single-use": AtMostOnce}[words[1]]
		p.config.Classes = append(p.config.Classes, Class{Idempotency: idempotency, LateFactor: p.number(option("late", "0.5")),
			Objective: p.duration(option("quoted", "1s")), TimeToLive: p.duration(option("life", "20s")),
			Priority: p.number(option("payoff", "1")), IdempotencyWindow: p.duration(option("window", "5s")),
			SameZone: has("onezone"), Ordered: has("ordered")})
	case "shape":
		p.config.EndpointTypes = append(p.config.EndpointTypes, EndpointType{Separate: words[1] == "apart", MaxPerCall: int(p.number(words[2]))})
	case "party":
		p.config.OverQuotaFactor = 0.1
		p.config.Tenants = append(p.config.Tenants, Tenant{p.number(words[1])})
	case "at":
		p.flush()
		p.advance(Micros(p.number(words[1]) * 1e6))
		p.batchOpen = true
	case "answer":
		if words[2] == "never" {
			delete(p.replies, words[1])
		} else {
			p.replies[words[1]] = reply{outcomesByKeyword[words[2]], p.duration(option(words[2], "20ms")), p.loadReport(option("left", ""), option("rate", "0"))}
		}
	case "list":
		update := EndpointUpdate{Kind: map[string]UpdateKind{"persisted": CachedList, "complete": CompleteList, "partial": PartialList,
			"error": ListFailed}[words[1]]}
		if update.Kind == CompleteList {
			clear(p.phases)
		}
		for _, word := range words[2:] { // endpoint:dest:zone:shape:phase:rate
			parts := append(strings.Split(word, ":"), "", "", "", "", "")
			field := func(i int) int { return int(p.number("0" + parts[i])) }
			entry := EndpointEntry{Endpoint: EndpointID(parts[0]), Destination: DestinationID(field(1)), Zone: ZoneID(field(2)),
				Type: EndpointTypeID(field(3)), Rate: float64(field(5)),
				Phase: map[string]Phase{"": InService, "in": InService, "lame": Draining, "out": Removed}[parts[4]]}
			update.Entries = append(update.Entries, entry)
			p.phases[entry.Endpoint] = entry.Phase
		}
		p.batch = append(p.batch, update)
	case "take":
		for _, id := range p.expandIDs(words[1]) {
			class := ClassID(p.number(option("w", "0")))
			deadline := p.now + p.config.Classes[class].TimeToLive
			p.messages[id] = &messageState{class: p.config.Classes[class], deadline: deadline}
			p.batch = append(p.batch, MessageAccepted{Message: MessageID(id), Destination: DestinationID(p.number(option("dest", "1"))),
				Class: class, Tenant: TenantID(p.number(option("p", "0"))), OrderingKey: OrderingKey(option("key", "")), Deadline: deadline})
		}
	case "recover": // ID, w, key, left, trips OUTCOME@AGE[/ZONE],...; the outcome "out" is an attempt still in flight
		class := ClassID(p.number(option("w", "0")))
		state := &messageState{class: p.config.Classes[class]}
		state.deadline = p.now + p.duration(option("left", "5s"))
		event := MessageRecovered{MessageAccepted: MessageAccepted{Message: MessageID(words[1]), Destination: 1, Class: class, OrderingKey: OrderingKey(option("key", "")), Deadline: state.deadline}}
		for _, word := range strings.Split(option("trips", ""), ",") {
			if name, rest, ok := strings.Cut(word, "@"); ok {
				age, zone, _ := strings.Cut(rest, "/")
				past := PastAttempt{Endpoint: EndpointID(option("at", "")), SentAt: p.now - p.duration(age), Outcome: outcomesByKeyword[name],
					Zone: ZoneID(p.number("0" + zone))}
				past.InFlight = name == "out"
				event.Attempts = append(event.Attempts, past)
				state.attemptsDone = append(state.attemptsDone, !past.InFlight)
				if past.InFlight {
					state.inFlight++
				} else if outcome := past.Outcome; !state.mayHaveRun && outcome != Throttled && outcome != Unreachable && outcome != Unprocessed {
					state.mayHaveRun, state.ranAt = true, past.SentAt
				}
			}
		}
		p.messages[words[1]] = state
		p.batch = append(p.batch, event)
	case "restart": // drops all messages and keeps the learned state for the directive learned
		snapshot := p.dispatcher.Snapshot()
		p.snapshot, p.dispatcher, p.scheduled, p.timers, p.shadows = &snapshot, New(p.config), nil, nil, nil
		for _, state := range p.messages {
			state.ended = true
		}
	case "learned":
		p.batch = append(p.batch, SnapshotRestored{*p.snapshot})
	case "recharter": // slots, hold, and "single-use" to make the first class at-most-once
		config := p.config
		config.Classes = append([]Class(nil), config.Classes...)
		config.Slots, config.QueueLimit = int(p.number(option("slots", strconv.Itoa(config.Slots)))), int(p.number(option("hold", strconv.Itoa(config.QueueLimit))))
		if has("single-use") {
			config.Classes[0].Idempotency = AtMostOnce
		}
		config.Classes = append(config.Classes, Class{Objective: second, TimeToLive: 9 * second, Priority: 5}) // an additional class
		p.config = config
		p.batch = append(p.batch, Reconfigured{config})
	case "closing":
		p.batch = append(p.batch, ShutdownScheduled{p.now + p.duration(words[1])})
	case "end":
		for _, id := range p.expandIDs(words[1]) {
			event := AttemptFinished{Message: MessageID(id), Attempt: AttemptNumber(p.number(words[2])), Outcome: outcomesByKeyword[words[3]],
				Duration: p.duration(option("took", "100ms")), RetryAfter: p.duration(option("wait", "0s"))}
			event.LoadReport = p.loadReport(option("left", ""), option("rate", "0"))
			if state := p.messages[id]; has("over") && state != nil {
				state.ended = true
			}
			p.batch = append(p.batch, p.recordOutcome(event))
		}
	case "bar", "unbar": // an operator disables or enables an endpoint
		p.batch = append(p.batch, MaintenanceChanged{EndpointID(words[1]), words[0] == "bar"})
		p.disabled[words[1]] = words[0] == "bar"
	case "stands": // pauses the courier: everything due before the next instant is handled together at that instant
		p.flush()
		p.paused = true
	case "left":
		p.batch = append(p.batch, MessageCanceled{MessageID(words[1])})
		p.messages[words[1]].ended = true
	case "holds":
		p.flush()
		p.checks++
		got := map[string]int{"records": len(p.dispatcher.messages), "keys": len(p.dispatcher.keys),
			"endpoints": len(p.dispatcher.endpoints), "dests": len(p.dispatcher.destinations)}[words[1]]
		if got != int(p.number(words[2])) {
			p.fatal("dispatcher holds %d %s, want %s", got, words[1], words[2])
		}
	case "want", "none", "most", "least":
		p.flush()
		p.checkActions(words)
	default:
		p.fatal("unknown directive: %s", words[0])
	}
}

// recordOutcome updates the state of a message for an outcome that is about to be reported.
func (p *scenarioRunner) recordOutcome(event AttemptFinished) AttemptFinished {
	state := p.messages[string(event.Message)]
	if state == nil || int(event.Attempt) >= len(state.attemptsDone) {
		return event
	}
	state.attemptsDone[event.Attempt] = true
	state.inFlight--
	if event.Outcome == Delivered {
		state.ended = true
	}
	event.MessageDone = state.ended
	if outcome := event.Outcome; outcome != Throttled && outcome != Unreachable && outcome != Unprocessed {
		state.mayHaveRun = true
	}
	return event
}

// flush hands the events of the current instant to the dispatcher.
func (p *scenarioRunner) flush() {
	if p.batchOpen {
		p.batchOpen = false
		p.handle(p.batch)
		p.batch = nil
	}
}

func (p *scenarioRunner) handle(events []Event) {
	if p.dispatcher == nil {
		p.dispatcher = New(p.config)
	}
	actions := p.dispatcher.Handle(p.now, events)
	p.shadows.observe(p, events, actions)
	for _, action := range actions {
		digestAction(p.digest, p.now, action)
		p.checkRules(action)
		p.actions = append(p.actions, action)
	}
}

// advance handles the timers and answers that are due before an instant, and clears the recorded actions first.
func (p *scenarioRunner) advance(to Micros) {
	p.actions = nil
	for p.dispatcher != nil {
		sort.SliceStable(p.scheduled, func(i, j int) bool { return p.scheduled[i].at < p.scheduled[j].at })
		sort.Slice(p.timers, func(i, j int) bool { return p.timers[i] < p.timers[j] })
		next := Micros(math.MaxInt64)
		if len(p.scheduled) > 0 {
			next = p.scheduled[0].at
		}
		if len(p.timers) > 0 {
			next = min(next, p.timers[0])
		}
		if next >= to {
			break
		}
		if p.now = max(p.now, next); p.paused {
			p.now = to
		}
		var events []Event
		for len(p.scheduled) > 0 && p.scheduled[0].at <= p.now {
			events = append(events, p.recordOutcome(p.scheduled[0].event))
			p.scheduled = p.scheduled[1:]
		}
		for len(p.timers) > 0 && p.timers[0] <= p.now {
			events, p.timers = append(events, TimerFired{}), p.timers[1:]
		}
		p.handle(events)
	}
	p.now, p.paused = to, false
}

// checkRules checks an action against the six rules that hold in every scenario.
func (p *scenarioRunner) checkRules(action Action) {
	p.t.Helper()
	recordAnswer := func(id MessageID, reject bool) {
		state := p.messages[string(id)]
		if state == nil || state.ended {
			p.fatal("%s is unknown or already has its final answer", id)
		}
		if p.now > state.deadline {
			p.fatal("%s got its final answer after its deadline", id)
		}
		if reject && (state.mayHaveRun || state.inFlight > 0) && (state.class.Idempotency == AtMostOnce || state.class.SameZone) {
			p.fatal("%s rejected although it may have run", id)
		}
		state.ended = true
	}
	switch a := action.(type) {
	case Reject:
		recordAnswer(a.Message, true)
	case Fail:
		recordAnswer(a.Message, false)
	case SetTimer:
		p.timers = append(p.timers, a.At)
	case Send:
		state := p.messages[string(a.Message)]
		switch {
		case state == nil || state.ended:
			p.fatal("%s sent although it is unknown or has its final answer", a.Message)
		case p.phases[a.Endpoint] != InService:
			p.fatal("%s sent to %s, which is not in service", a.Message, a.Endpoint)
		case p.disabled[string(a.Endpoint)]:
			p.fatal("%s sent to %s, which an operator has disabled", a.Message, a.Endpoint)
		case state.class.Idempotency == AtMostOnce && (state.mayHaveRun || state.inFlight > 0):
			p.fatal("at-most-once message %s sent again", a.Message)
		case state.class.Idempotency == IdempotencyKey && state.mayHaveRun && p.now > state.ranAt+state.class.IdempotencyWindow:
			p.fatal("%s sent again after its idempotency window", a.Message)
		case a.Timeout <= 0 || p.now+a.Timeout > state.deadline:
			p.fatal("%s may run past its deadline", a.Message)
		}
		if len(state.attemptsDone) == 0 {
			state.ranAt = p.now
		}
		state.attemptsDone = append(state.attemptsDone, false)
		state.inFlight++
		if r, ok := p.replies[string(a.Endpoint)]; ok {
			p.scheduled = append(p.scheduled, scheduledOutcome{p.now + r.delay, AttemptFinished{Message: a.Message,
				Attempt: AttemptNumber(len(state.attemptsDone) - 1), Outcome: r.outcome, Duration: r.delay, LoadReport: r.loadReport}})
		}
	}
}

// checkActions checks the actions since the previous "at" against a directive: want|none KIND [ID [ENDPOINT]] or
// most|least N KIND, where * matches any word.
func (p *scenarioRunner) checkActions(directive []string) {
	p.t.Helper()
	p.checks++
	pattern, limit := directive[1:], -1
	if directive[0] == "most" || directive[0] == "least" {
		limit, pattern = int(p.number(directive[1])), directive[2:]
	}
	found := 0
	for _, action := range p.actions {
		text := ""
		switch a := action.(type) {
		case Send:
			text = fmt.Sprintf("send %s %s", a.Message, a.Endpoint)
		case Reject:
			text = fmt.Sprintf("bounce %s pause %d", a.Message, a.RetryAfter/millisecond)
		case Fail:
			text = fmt.Sprintf("terminate %s", a.Message)
		case Cancel:
			text = fmt.Sprintf("cancel %s", a.Message)
		case CloseIdle:
			text = fmt.Sprintf("close %s", a.Endpoint)
		case WatchEndpoints:
			text = "watch"
		}
		matches := true
		for i, word := range strings.Fields(text) {
			matches = matches && (i >= len(pattern) || pattern[i] == "*" || pattern[i] == word)
		}
		if matches && len(strings.Fields(text)) >= len(pattern) {
			found++
		}
	}
	switch {
	case directive[0] == "want" && found == 0, directive[0] == "none" && found > 0,
		directive[0] == "most" && found > limit, directive[0] == "least" && found < limit:
		p.fatal("%s: %d matching actions in %+v", strings.Join(directive, " "), found, p.actions)
	}
}
