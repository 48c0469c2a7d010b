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
// differs from the default, in names and values:
//
//	charter    Config: slots (Slots), hold (QueueLimit), trips (MaxAttempts), couriers, number (CourierNumber), zone,
//	           crossing (CrossZoneCost), ask (MustPoll), reports (load reports), nominal (NominalRates)
//	workload   Class: replayable (Idempotent), referenced (IdempotencyKey) or single-use (AtMostOnce); late (LateFactor),
//	           quoted (Objective), life (TimeToLive), payoff (Priority), window (IdempotencyWindow), onezone (SameZone),
//	           ordered
//	shape      EndpointType: apart (Separate) or another word, then MaxPerCall
//	party      Tenant: quota in messages per second
//
// "at SECONDS" starts an instant. It is followed by events and by checks of the actions since the previous "at":
//
//	list KIND ENTRIES         EndpointUpdate; an entry is endpoint:dest:zone:shape:phase:rate, with the phases in, lame
//	                          (Draining) and out (Removed)
//	take IDS                  MessageAccepted: w (class), p (tenant), key, dest; r1..r9 stands for nine messages
//	end IDS ATTEMPT OUTCOME   AttemptFinished: took (Duration), wait (Retry-After), left and rate (load report), over
//	                          (the message has its final answer)
//	retryafter ENDPOINT DURATION   RetryAfterReceived
//	left ID                   MessageCanceled
//	bar, unbar ENDPOINT       MaintenanceChanged: disabled, enabled
//	closing DURATION          ShutdownScheduled
//	recharter                 Reconfigured
//	restart, learned          a restart without messages; SnapshotRestored
//	recover ID                MessageRecovered: left (time to the deadline), trips (past attempts), at (their endpoint)
//	answer ENDPOINT OUTCOME   lets an endpoint answer each attempt, until "answer ENDPOINT never"
//	stands                    pauses the process until the next "at"
//	want, none, most N, least N   compares the first words of actions: send ID ENDPOINT, bounce ID pause MILLISECONDS
//	                          (Reject), terminate ID (Fail), cancel ID, close ENDPOINT (CloseIdle), watch (WatchEndpoints)
//	holds KIND N              compares the number of messages (records), keys, endpoints or destinations (dests) kept
//
// Every action of every scenario is also checked by checkRules.
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
			r := &scenarioRunner{t: t, messages: map[string]*messageState{}, replies: map[string]reply{}, phases: map[EndpointID]Phase{}, disabled: map[string]bool{}, digest: sha256.New()}
			r.config = Config{Seed: 7, Couriers: 1, Slots: 50, QueueLimit: 100, MaxAttempts: 8, MaySendRetryAfter: true,
				MayCancel: true, MaxRetryAfter: 2 * second, Tick: 5 * millisecond, ReportRemainingIndex: -1, ReportRateIndex: -1,
				SlowStartInitialShare: 0.2, SlowStart: 10 * second, OverloadFactor: 2, IdleTimeout: 5 * second,
				KeyCooldown: second}
			for _, line := range strings.Split(string(text), "\n") {
				r.line++
				line, _, _ = strings.Cut(line, "#")
				for _, part := range strings.Split(line, ";") {
					if words := strings.Fields(part); len(words) > 0 {
						r.runDirective(words)
					}
				}
			}
			r.flush()
			if r.checks == 0 {
				t.Fatal("the scenario contains no checks")
			}
			fmt.Fprintf(&digests, "%s %x\n", filepath.Base(file), r.digest.Sum(nil)[:16])
		})
	}
	golden.Check(t, "actions.golden", []byte(digests.String()))
}

// digestAction adds an action and its fields to a digest that does not depend on the names of types and fields. WatchEndpoints is
// added without its fields.
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
	paused       bool      // events are handled only at the next "at"
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

func (r *scenarioRunner) fatal(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("line %d, at %.3f s: %s", r.line, float64(r.now)/1e6, fmt.Sprintf(format, args...))
}

func (r *scenarioRunner) duration(word string) Micros {
	d, err := time.ParseDuration(word)
	if err != nil {
		r.fatal("invalid duration: %s", word)
	}
	return Micros(d.Microseconds())
}

func (r *scenarioRunner) number(word string) float64 {
	x, err := strconv.ParseFloat(word, 64)
	if err != nil {
		r.fatal("invalid number: %s", word)
	}
	return x
}

func (r *scenarioRunner) loadReport(left, rate string) []float64 {
	if left == "" {
		return nil
	}
	return []float64{r.number(left), r.number(rate)}
}

// expandIDs expands a range such as r1..r9 to its message IDs.
func (r *scenarioRunner) expandIDs(word string) []string {
	from, to, ok := strings.Cut(word, "..")
	if !ok {
		return []string{word}
	}
	prefix := strings.TrimRight(from, "0123456789")
	var expanded []string
	last := int(r.number(strings.TrimPrefix(to, prefix)))
	for i := int(r.number(strings.TrimPrefix(from, prefix))); i <= last; i++ {
		expanded = append(expanded, prefix+strconv.Itoa(i))
	}
	return expanded
}

var outcomesByKeyword = map[string]Outcome{"done": Delivered, "failure": Failure, "full": Throttled, "timed_out": TimedOut,
	"unreachable": Unreachable, "broken": Broken, "withdrawn": Canceled, "void": Unprocessed}

func (r *scenarioRunner) runDirective(words []string) {
	option := func(name, fallback string) string {
		for i := 1; i+1 < len(words); i++ {
			if words[i] == name {
				return words[i+1]
			}
		}
		return fallback
	}
	has := func(name string) bool { return strings.Contains(" "+strings.Join(words, " ")+" ", " "+name+" ") }
	if len(r.config.Classes) == 0 && words[0] == "at" {
		r.config.Classes = []Class{{Objective: second, TimeToLive: 60 * second, Priority: 1, LateFactor: 0.5}}
	}
	if !r.batchOpen && (words[0] == "list" || words[0] == "take" || words[0] == "end" || words[0] == "left" || words[0] == "recover" || words[0] == "bar" || words[0] == "unbar" || words[0] == "learned" || words[0] == "recharter") {
		r.fatal(`an event must follow its own "at"`)
	}
	switch words[0] {
	case "charter":
		config := &r.config
		config.Slots = int(r.number(option("slots", strconv.Itoa(config.Slots))))
		config.QueueLimit = int(r.number(option("hold", strconv.Itoa(config.QueueLimit))))
		config.MaxAttempts = int(r.number(option("trips", strconv.Itoa(config.MaxAttempts))))
		config.Couriers = int(r.number(option("couriers", strconv.Itoa(config.Couriers))))
		config.CourierNumber = int(r.number(option("number", "0")))
		config.Zone, config.CrossZoneCost = ZoneID(r.number(option("zone", "0"))), r.number(option("crossing", "0"))
		config.MustPoll = has("ask")
		if has("reports") {
			config.ReportRemainingIndex, config.ReportRateIndex = 0, 1
		}
		if has("nominal") {
			config.RateQuality = NominalRates
		}
	case "workload":
		idempotency := map[string]Idempotency{"replayable": Idempotent, "referenced": IdempotencyKey, "single-use": AtMostOnce}[words[1]]
		r.config.Classes = append(r.config.Classes, Class{Idempotency: idempotency, LateFactor: r.number(option("late", "0.5")),
			Objective: r.duration(option("quoted", "1s")), TimeToLive: r.duration(option("life", "20s")),
			Priority: r.number(option("payoff", "1")), IdempotencyWindow: r.duration(option("window", "5s")),
			SameZone: has("onezone"), Ordered: has("ordered")})
	case "shape":
		r.config.EndpointTypes = append(r.config.EndpointTypes, EndpointType{Separate: words[1] == "apart", MaxPerCall: int(r.number(words[2]))})
	case "party":
		r.config.OverQuotaFactor = 0.1
		r.config.Tenants = append(r.config.Tenants, Tenant{r.number(words[1])})
	case "at":
		r.flush()
		r.advance(Micros(r.number(words[1]) * 1e6))
		r.batchOpen = true
	case "answer":
		if words[2] == "never" {
			delete(r.replies, words[1])
		} else {
			r.replies[words[1]] = reply{outcomesByKeyword[words[2]], r.duration(option(words[2], "20ms")), r.loadReport(option("left", ""), option("rate", "0"))}
		}
	case "list":
		update := EndpointUpdate{Kind: map[string]UpdateKind{"persisted": CachedList, "complete": CompleteList, "partial": PartialList,
			"error": ListFailed}[words[1]]}
		if update.Kind == CompleteList {
			clear(r.phases)
		}
		for _, word := range words[2:] { // endpoint:dest:zone:shape:phase:rate
			parts := append(strings.Split(word, ":"), "", "", "", "", "")
			field := func(i int) int { return int(r.number("0" + parts[i])) }
			entry := EndpointEntry{Endpoint: EndpointID(parts[0]), Destination: DestinationID(field(1)), Zone: ZoneID(field(2)),
				Type: EndpointTypeID(field(3)), Rate: float64(field(5)),
				Phase: map[string]Phase{"": InService, "in": InService, "lame": Draining, "out": Removed}[parts[4]]}
			update.Entries = append(update.Entries, entry)
			r.phases[entry.Endpoint] = entry.Phase
		}
		r.batch = append(r.batch, update)
	case "take":
		for _, id := range r.expandIDs(words[1]) {
			class := ClassID(r.number(option("w", "0")))
			deadline := r.now + r.config.Classes[class].TimeToLive
			r.messages[id] = &messageState{class: r.config.Classes[class], deadline: deadline}
			r.batch = append(r.batch, MessageAccepted{Message: MessageID(id), Destination: DestinationID(r.number(option("dest", "1"))),
				Class: class, Tenant: TenantID(r.number(option("p", "0"))), OrderingKey: OrderingKey(option("key", "")), Deadline: deadline})
		}
	case "recover": // ID, w, key, left, trips OUTCOME@AGE[/ZONE],...; the outcome "out" is an attempt still in flight
		class := ClassID(r.number(option("w", "0")))
		state := &messageState{class: r.config.Classes[class]}
		state.deadline = r.now + r.duration(option("left", "5s"))
		event := MessageRecovered{MessageAccepted: MessageAccepted{Message: MessageID(words[1]), Destination: 1, Class: class, OrderingKey: OrderingKey(option("key", "")), Deadline: state.deadline}}
		for _, word := range strings.Split(option("trips", ""), ",") {
			if name, rest, ok := strings.Cut(word, "@"); ok {
				age, zone, _ := strings.Cut(rest, "/")
				past := PastAttempt{Endpoint: EndpointID(option("at", "")), SentAt: r.now - r.duration(age), Outcome: outcomesByKeyword[name],
					Zone: ZoneID(r.number("0" + zone))}
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
		r.messages[words[1]] = state
		r.batch = append(r.batch, event)
	case "restart": // drops all messages and keeps the learned state for the directive learned
		snapshot := r.dispatcher.Snapshot()
		r.snapshot, r.dispatcher, r.scheduled, r.timers, r.shadows = &snapshot, New(r.config), nil, nil, nil
		for _, state := range r.messages {
			state.ended = true
		}
	case "learned":
		r.batch = append(r.batch, SnapshotRestored{*r.snapshot})
	case "recharter": // slots, hold, and "single-use" to make the first class at-most-once
		config := r.config
		config.Classes = append([]Class(nil), config.Classes...)
		config.Slots, config.QueueLimit = int(r.number(option("slots", strconv.Itoa(config.Slots)))), int(r.number(option("hold", strconv.Itoa(config.QueueLimit))))
		if has("single-use") {
			config.Classes[0].Idempotency = AtMostOnce
		}
		config.Classes = append(config.Classes, Class{Objective: second, TimeToLive: 9 * second, Priority: 5}) // an additional class
		r.config = config
		r.batch = append(r.batch, Reconfigured{config})
	case "closing":
		r.batch = append(r.batch, ShutdownScheduled{r.now + r.duration(words[1])})
	case "end":
		for _, id := range r.expandIDs(words[1]) {
			event := AttemptFinished{Message: MessageID(id), Attempt: AttemptNumber(r.number(words[2])), Outcome: outcomesByKeyword[words[3]],
				Duration: r.duration(option("took", "100ms")), RetryAfter: r.duration(option("wait", "0s"))}
			event.LoadReport = r.loadReport(option("left", ""), option("rate", "0"))
			if state := r.messages[id]; has("over") && state != nil {
				state.ended = true
			}
			r.batch = append(r.batch, r.recordOutcome(event))
		}
	case "bar", "unbar": // an operator disables or enables an endpoint
		r.batch = append(r.batch, MaintenanceChanged{EndpointID(words[1]), words[0] == "bar"})
		r.disabled[words[1]] = words[0] == "bar"
	case "stands": // the process is paused: everything due before the next "at" is handled together at that instant
		r.flush()
		r.paused = true
	case "retryafter":
		r.batch = append(r.batch, RetryAfterReceived{EndpointID(words[1]), r.duration(words[2])})
	case "left":
		r.batch = append(r.batch, MessageCanceled{MessageID(words[1])})
		r.messages[words[1]].ended = true
	case "holds":
		r.flush()
		r.checks++
		got := map[string]int{"records": len(r.dispatcher.messages), "keys": len(r.dispatcher.keys),
			"endpoints": len(r.dispatcher.endpoints), "dests": len(r.dispatcher.destinations)}[words[1]]
		if got != int(r.number(words[2])) {
			r.fatal("dispatcher holds %d %s, want %s", got, words[1], words[2])
		}
	case "want", "none", "most", "least":
		r.flush()
		r.checkActions(words)
	default:
		r.fatal("unknown directive: %s", words[0])
	}
}

// recordOutcome updates the state of a message for an outcome that is about to be reported.
func (r *scenarioRunner) recordOutcome(event AttemptFinished) AttemptFinished {
	state := r.messages[string(event.Message)]
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
func (r *scenarioRunner) flush() {
	if r.batchOpen {
		r.batchOpen = false
		r.handle(r.batch)
		r.batch = nil
	}
}

func (r *scenarioRunner) handle(events []Event) {
	if r.dispatcher == nil {
		r.dispatcher = New(r.config)
	}
	actions := r.dispatcher.Handle(r.now, events)
	r.shadows.observe(r, events, actions)
	if err := checkQueues(r.dispatcher); err != nil {
		r.fatal("%v", err)
	}
	for _, action := range actions {
		digestAction(r.digest, r.now, action)
		r.checkRules(action)
		r.actions = append(r.actions, action)
	}
}

// advance handles the timers and answers that are due before an instant, and clears the recorded actions first.
func (r *scenarioRunner) advance(to Micros) {
	r.actions = nil
	for r.dispatcher != nil {
		sort.SliceStable(r.scheduled, func(i, j int) bool { return r.scheduled[i].at < r.scheduled[j].at })
		sort.Slice(r.timers, func(i, j int) bool { return r.timers[i] < r.timers[j] })
		next := Micros(math.MaxInt64)
		if len(r.scheduled) > 0 {
			next = r.scheduled[0].at
		}
		if len(r.timers) > 0 {
			next = min(next, r.timers[0])
		}
		if next >= to {
			break
		}
		if r.now = max(r.now, next); r.paused {
			r.now = to
		}
		var events []Event
		for len(r.scheduled) > 0 && r.scheduled[0].at <= r.now {
			events = append(events, r.recordOutcome(r.scheduled[0].event))
			r.scheduled = r.scheduled[1:]
		}
		for len(r.timers) > 0 && r.timers[0] <= r.now {
			events, r.timers = append(events, TimerFired{}), r.timers[1:]
		}
		r.handle(events)
	}
	r.now, r.paused = to, false
}

// checkRules checks an action against the rules that hold in every scenario.
func (r *scenarioRunner) checkRules(action Action) {
	r.t.Helper()
	recordAnswer := func(id MessageID, reject bool) {
		state := r.messages[string(id)]
		if state == nil || state.ended {
			r.fatal("%s is unknown or already has its final answer", id)
		}
		if r.now > state.deadline {
			r.fatal("%s got its final answer after its deadline", id)
		}
		if reject && (state.mayHaveRun || state.inFlight > 0) && (state.class.Idempotency == AtMostOnce || state.class.SameZone) {
			r.fatal("%s rejected although it may have run", id)
		}
		state.ended = true
	}
	switch a := action.(type) {
	case Reject:
		recordAnswer(a.Message, true)
	case Fail:
		recordAnswer(a.Message, false)
	case SetTimer:
		r.timers = append(r.timers, a.At)
	case Send:
		state := r.messages[string(a.Message)]
		switch {
		case state == nil || state.ended:
			r.fatal("%s sent although it is unknown or has its final answer", a.Message)
		case r.phases[a.Endpoint] != InService:
			r.fatal("%s sent to %s, which is not in service", a.Message, a.Endpoint)
		case r.disabled[string(a.Endpoint)]:
			r.fatal("%s sent to %s, which an operator has disabled", a.Message, a.Endpoint)
		case state.class.Idempotency == AtMostOnce && (state.mayHaveRun || state.inFlight > 0):
			r.fatal("at-most-once message %s sent again", a.Message)
		case state.class.Idempotency == IdempotencyKey && state.mayHaveRun && r.now > state.ranAt+state.class.IdempotencyWindow:
			r.fatal("%s sent again after its idempotency window", a.Message)
		case a.Timeout <= 0 || r.now+a.Timeout > state.deadline:
			r.fatal("%s sent with a timeout that is not positive or ends after its deadline", a.Message)
		}
		if len(state.attemptsDone) == 0 {
			state.ranAt = r.now
		}
		state.attemptsDone = append(state.attemptsDone, false)
		state.inFlight++
		if answer, ok := r.replies[string(a.Endpoint)]; ok {
			r.scheduled = append(r.scheduled, scheduledOutcome{r.now + answer.delay, AttemptFinished{Message: a.Message,
				Attempt: AttemptNumber(len(state.attemptsDone) - 1), Outcome: answer.outcome, Duration: answer.delay, LoadReport: answer.loadReport}})
		}
	}
}

// checkActions checks the actions since the previous "at" against a directive: want|none KIND [ID [ENDPOINT]] or
// most|least N KIND, where * matches any word.
func (r *scenarioRunner) checkActions(directive []string) {
	r.t.Helper()
	r.checks++
	pattern, limit := directive[1:], -1
	if directive[0] == "most" || directive[0] == "least" {
		limit, pattern = int(r.number(directive[1])), directive[2:]
	}
	found := 0
	for _, action := range r.actions {
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
		r.fatal("%s: %d matching actions in %+v", strings.Join(directive, " "), found, r.actions)
	}
}
