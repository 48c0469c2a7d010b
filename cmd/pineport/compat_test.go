//go:build compat

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// These tests hold the build of the working tree, the new build, against the program of an earlier commit, the old build: what
// one has stored, been configured with or says to other processes, the other can use. .ci/compat builds the old build and runs them.

// oldBuildVariable names the program of the old build.
const oldBuildVariable = "PINEPORT_OLD_BUILD"

// build is one of the two programs.
type build struct{ name, program string }

// bothBuilds returns the old and the new build. Without an old build nothing can be shown, so the test fails.
func bothBuilds(t *testing.T) (oldBuild, newBuild build) {
	t.Helper()
	program := os.Getenv(oldBuildVariable)
	if program == "" {
		t.Fatalf("%s is not set: start these tests by .ci/compat REV", oldBuildVariable)
	}
	program, err := filepath.Abs(program)
	if err != nil {
		t.Fatal(err)
	}
	oldBuild, newBuild = build{"old build", program}, build{"new build", buildBinary()}
	for _, each := range []build{oldBuild, newBuild} {
		if out := each.run(t, "version"); out.code != 0 || !strings.HasPrefix(out.stdout, "pineport ") {
			t.Fatalf("%s, %s: exit code %d, %s%s", each.name, each.program, out.code, out.stdout, out.stderr)
		}
	}
	return oldBuild, newBuild
}

// inBothDirections runs a test twice, with either build first.
func inBothDirections(t *testing.T, test func(t *testing.T, first, second build)) {
	t.Helper()
	oldBuild, newBuild := bothBuilds(t)
	t.Run("old build, then new build", func(t *testing.T) { test(t, oldBuild, newBuild) })
	t.Run("new build, then old build", func(t *testing.T) { test(t, newBuild, oldBuild) })
}

// output is what a command printed.
type output struct {
	stdout, stderr string
	code           int
}

// run runs a command of a build, without the courier's variables of this process.
func (b build) run(t *testing.T, args ...string) output {
	t.Helper()
	return b.runWith(t, nil, args...)
}

func (b build) runWith(t *testing.T, variables []string, args ...string) output {
	t.Helper()
	cmd := exec.Command(b.program, args...)
	cmd.Env = slices.DeleteFunc(os.Environ(), func(variable string) bool {
		return strings.HasPrefix(variable, "RELAY_") || strings.HasPrefix(variable, "PINEPORT_")
	})
	cmd.Env = append(cmd.Env, variables...)
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		t.Fatalf("%s: %v", b.name, err)
	}
	return output{stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()}
}

// must runs a command that has to succeed and returns its output.
func (b build) must(t *testing.T, args ...string) string {
	t.Helper()
	out := b.run(t, args...)
	if out.code != 0 {
		t.Fatalf("%s: %s: exit code %d\n%s%s", b.name, strings.Join(args, " "), out.code, out.stdout, out.stderr)
	}
	return out.stdout
}

// decode reads JSON.
func decode[T any](t *testing.T, text string) (value T) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return value
}

// problem matches the log lines that no test here may cause.
var problem = regexp.MustCompile(`(?m)^.*level=(WARN|ERROR).*$|^panic: .*$`)

// checkLog reports warnings and errors of a log.
func checkLog(t *testing.T, name, log string) {
	t.Helper()
	for _, line := range problem.FindAllString(log, -1) {
		t.Errorf("log of %s: %s", name, line)
	}
	if !strings.Contains(log, "level=INFO") {
		t.Errorf("log of %s: no line of level info, so it may not be read as it is written:\n%s", name, log)
	}
}

// ---- Data ----

// Destinations of the world that fills a state folder. Each has an endpoint, and the first one more, which is disabled.
const (
	healthyDestination   = 1
	downDestination      = 2 // closes connections without an answer
	throttledDestination = 3
	failingDestination   = 4 // answers that calls failed
	disabledEndpoint     = 1 // by its number
)

const (
	retryAfterMs    = 15_000               // of the throttled destination: beyond the end of the old process
	usualDeadlineMs = 90_000               // of a message: beyond the end of the test
	shortDeadlineMs = 1_000                // of a message that cannot be delivered in time
	hangingCall     = 10 * time.Minute     // of an endpoint that does not answer as long as the test runs
	settleTime      = 2 * time.Second      // for an answer too many to arrive
	quickCall       = 5 * time.Millisecond // of an endpoint that is healthy
	setupTimeout    = 20 * time.Second     // for a state to be reached
	finalTimeout    = 120 * time.Second    // for all final answers: beyond all deadlines
)

// Kinds of messages, by which the world decides; an id is KIND-CLASS-NUMBER.
const (
	kindDelivered   = "delivered"
	kindFailed      = "failed"
	kindUnconfirmed = "unconfirmed" // failed, and its notice is not confirmed
	kindDeferred    = "deferred"    // handed back, and its notice is not confirmed
	kindThrottled   = "throttled"
	kindTried       = "tried"
	kindParked      = "parked"
	kindInFlight    = "inflight"
	kindBehind      = "behind" // of an ordering key whose message before it is in flight
	kindRejected    = "rejected"
)

// fillingClasses are the classes of messages: idempotent, at most once, in order, and with an idempotency key.
var fillingClasses = []string{"update", "order", "line", "guarded"}

// filling is a world and the messages that were sent to a courier beside it.
type filling struct {
	t        *testing.T
	world    *scripted.World
	healed   atomic.Bool // from then on each call is answered at once
	mu       sync.Mutex
	begun    []string  // messages whose calls began since, in order
	waitFrom time.Time // the last Retry-After was answered
	waited   time.Duration
	accepted []string
	rejected []string
}

func newFilling(t *testing.T) *filling {
	t.Helper()
	f := &filling{t: t}
	world, err := scripted.Open(2, f.fate)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	for _, destination := range []int{downDestination, throttledDestination, failingDestination} {
		if err := world.AddEndpoint(destination); err != nil {
			t.Fatal(err)
		}
	}
	f.world = world
	return f
}

// fate decides how a call ends.
func (f *filling) fate(id string) scripted.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind, _, _ := strings.Cut(id, "-")
	if f.healed.Load() {
		if kind == kindThrottled && f.waited == 0 {
			f.waited = time.Since(f.waitFrom)
		}
		f.begun = append(f.begun, id)
		return scripted.Response{Status: http.StatusOK, Delay: quickCall}
	}
	switch kind {
	case kindFailed, kindUnconfirmed:
		return scripted.Response{Status: http.StatusInternalServerError}
	case kindTried, kindParked, kindRejected:
		return scripted.Response{Status: 0}
	case kindThrottled, kindDeferred:
		f.waitFrom = time.Now()
		return scripted.Response{Status: http.StatusTooManyRequests, BackoffMs: retryAfterMs}
	case kindInFlight, kindBehind:
		return scripted.Response{Status: http.StatusOK, Delay: hangingCall}
	}
	return scripted.Response{Status: http.StatusOK, Delay: quickCall}
}

// configure gives a courier the classes of a filling, and a fleet of its own.
func (f *filling) configure(c *testCourier) {
	f.t.Helper()
	editConfig(f.t, c.dir, func(top map[string]any) {
		settings := top["settings"].(map[string]any)
		class := func(name, idempotency string, inOrder bool) map[string]any {
			return map[string]any{"name": name, "idempotency": idempotency, "points": 1, "slo-s": 2.0, "deadline-s": 8.0, "late-worth": 0.5,
				"dedup-window-s": 60.0, "group": "all", "in-order": inOrder}
		}
		settings["classes"] = append(settings["classes"].([]any), class("line", "free", true), class("guarded", "guarded", false))
		settings["rules"].(map[string]any)["key-rest-s"] = 1.0
	})
	configurePeers(f.t, c.dir, true)
	c.adminAddr = freePort(f.t)
}

// send submits messages of a kind and class and returns the ids that were accepted.
func (f *filling) send(c *testCourier, kind, class string, destination, count, deadlineMs int) (accepted []string) {
	f.t.Helper()
	var ids, commands []string
	for range count {
		id := fmt.Sprintf("%s-%s-%d", kind, class, len(f.accepted)+len(f.rejected)+len(ids))
		options := fmt.Sprintf("c=%s,d=%d,dest=%d,t=tenant", class, deadlineMs, destination)
		switch class {
		case "line":
			options += ",about=key-" + strconv.Itoa(destination)
		case "guarded":
			options += ",k=once-" + id
		}
		ids, commands = append(ids, id), append(commands, encodeCommand("ENQUEUE", "0", id, options, "body of\r\n"+id))
	}
	for i, reply := range c.send(commands...) {
		switch {
		case reply == "+OK":
			accepted = append(accepted, ids[i])
		case strings.HasPrefix(reply, "-BUSY"):
			f.rejected = append(f.rejected, ids[i])
		default:
			f.t.Fatalf("%s: %s", ids[i], reply)
		}
	}
	f.accepted = append(f.accepted, accepted...)
	return accepted
}

// ends returns how often a message has had a final answer: delivered, or a notice.
func (f *filling) ends(id string) (delivered, notices int) {
	_, delivered, seen := f.world.MessageCalls(id)
	return delivered, len(seen)
}

func (f *filling) ended(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool {
		delivered, notices := f.ends(id)
		return delivered+notices == 0
	})
}

// storedMessage is a message as pineport spool ls prints it.
type storedMessage struct {
	ID             string `json:"id"`
	Class          string `json:"w"`
	Destination    int    `json:"d"`
	OrderingKey    string `json:"k"`
	IdempotencyKey string `json:"r"`
	Ended          string `json:"x"`
	Attempts       []struct {
		Outcome string `json:"o"`
	} `json:"t"`
}

// storedState is a snapshot as pineport state show prints it.
type storedState struct {
	Snapshot struct {
		TakenAt int64 `json:"At"`
		Groups  []struct {
			Destination     int   `json:"Dest"`
			RetryAfterUntil int64 `json:"WaitTo"`
			Breakers        []struct {
				OpenUntil int64 `json:"Until"`
			} `json:"Breakers"`
		} `json:"Routes"`
	} `json:"Lore"`
}

// breakerOpen reports whether a breaker of a destination was open when the snapshot was taken.
func (s storedState) breakerOpen(destination int) bool {
	for _, group := range s.Snapshot.Groups {
		for _, breaker := range group.Breakers {
			if group.Destination == destination && breaker.OpenUntil > s.Snapshot.TakenAt {
				return true
			}
		}
	}
	return false
}

// throttled reports whether a Retry-After of a destination held when the snapshot was taken.
func (s storedState) throttled(destination int) bool {
	for _, group := range s.Snapshot.Groups {
		if group.Destination == destination && group.RetryAfterUntil > s.Snapshot.TakenAt {
			return true
		}
	}
	return false
}

// spoolOf lists a spool.
func (b build) spoolOf(t *testing.T, dir string) []storedMessage {
	t.Helper()
	return decode[[]storedMessage](t, b.must(t, "spool", "ls", "--output", "json", dir))
}

// stateOf returns the snapshot in a folder; an empty one where none is stored yet.
func (b build) stateOf(t *testing.T, dir string) (state storedState) {
	t.Helper()
	if out := b.run(t, "state", "show", "--output", "json", dir); out.code == 0 {
		state = decode[storedState](t, out.stdout)
	}
	return state
}

// States of a stored message.
const (
	stateUntried           = "accepted, never tried"
	stateParked            = "parked behind an open breaker"
	stateWaitingForKey     = "waiting for its ordering key"
	stateWaitingForRetry   = "attempt failed, waiting for a retry"
	stateInFlight          = "in flight"
	stateFailedUnconfirmed = "failed, notice not confirmed"
	stateHandedBack        = "handed back, notice not confirmed"
)

// storedStates are all states in which a message may stand in a spool.
var storedStates = []string{stateUntried, stateParked, stateWaitingForKey, stateWaitingForRetry, stateInFlight, stateFailedUnconfirmed, stateHandedBack}

// state returns the state of a stored message.
func (m storedMessage) state(snapshot storedState) string {
	kind, _, _ := strings.Cut(m.ID, "-")
	switch {
	case m.Ended == "bounced":
		return stateHandedBack
	case m.Ended != "":
		return stateFailedUnconfirmed
	case len(m.Attempts) > 0 && m.Attempts[len(m.Attempts)-1].Outcome == "":
		return stateInFlight
	case len(m.Attempts) > 0:
		return stateWaitingForRetry
	case kind == kindBehind:
		return stateWaitingForKey
	case m.Destination == downDestination && snapshot.breakerOpen(downDestination):
		return stateParked
	}
	return stateUntried
}

// countStates counts stored messages by state, and those with keys.
func countStates(messages []storedMessage, snapshot storedState) (counts map[string]int, orderingKeys, idempotencyKeys int) {
	counts = map[string]int{}
	for _, message := range messages {
		counts[message.state(snapshot)]++
		if message.OrderingKey != "" {
			orderingKeys++
		}
		if message.IdempotencyKey != "" {
			idempotencyKeys++
		}
	}
	return counts, orderingKeys, idempotencyKeys
}

// classesInFlight returns the classes of messages in flight.
func classesInFlight(messages []storedMessage) map[string]int {
	classes := map[string]int{}
	for _, message := range messages {
		if message.state(storedState{}) == stateInFlight {
			classes[message.Class]++
		}
	}
	return classes
}

// fill has a courier of a build hold messages in every state, and kills it. It returns the incarnation of the start.
func (f *filling) fill(c *testCourier, by build) (incarnation uint64) {
	t := f.t
	t.Helper()
	dir := filepath.Join(c.dir, "state")
	c.binary = by.program
	c.start()
	c.mustCallAdmin("POST", fmt.Sprintf("/maintenance/enter/s-%d", disabledEndpoint))
	var final []string
	for _, class := range fillingClasses {
		final = append(final, f.send(c, kindDelivered, class, healthyDestination, 5, usualDeadlineMs)...)
	}
	final = append(final, f.send(c, kindFailed, "order", failingDestination, 5, usualDeadlineMs)...)
	waitFor(t, "final answers", setupTimeout, func() bool { return f.ended(final) })
	waitFor(t, "an empty spool", setupTimeout, func() bool { return len(by.spoolOf(t, dir)) == 0 })

	for _, class := range fillingClasses {
		f.send(c, kindThrottled, class, throttledDestination, 3, usualDeadlineMs)
	}
	f.send(c, kindTried, "update", downDestination, 8, usualDeadlineMs)
	waitFor(t, "a snapshot with an open breaker and a Retry-After", setupTimeout, func() bool {
		state := by.stateOf(t, dir)
		return state.breakerOpen(downDestination) && state.throttled(throttledDestination)
	})
	waitFor(t, "the incarnation", setupTimeout, func() bool {
		incarnation = by.incarnationAt(t, c.adminAddr)
		return incarnation > 0
	})
	f.fillLast(c, by)
	c.kill()
	return incarnation
}

// fillLast submits the messages whose states do not last: they are in the folder when the courier is killed right after it.
func (f *filling) fillLast(c *testCourier, by build) {
	t := f.t
	t.Helper()
	dir := filepath.Join(c.dir, "state")
	f.send(c, kindRejected, "update", downDestination, 2, 1)
	f.world.LeaveNoticesUnanswered(1 << 30)
	f.send(c, kindUnconfirmed, "order", failingDestination, 3, usualDeadlineMs)
	f.send(c, kindDeferred, "update", throttledDestination, 3, shortDeadlineMs)
	has := func(wanted ...string) func() bool {
		return func() bool {
			counts, _, _ := countStates(by.spoolOf(t, dir), by.stateOf(t, dir))
			return !slices.ContainsFunc(wanted, func(state string) bool { return counts[state] == 0 })
		}
	}
	waitFor(t, "notices that are not confirmed", setupTimeout, has(stateFailedUnconfirmed, stateHandedBack))
	f.send(c, kindParked, "update", downDestination, 6, usualDeadlineMs)
	f.send(c, kindInFlight, "update", healthyDestination, 2, usualDeadlineMs)
	f.send(c, kindInFlight, "order", healthyDestination, 2, usualDeadlineMs)
	f.send(c, kindInFlight, "guarded", healthyDestination, 2, usualDeadlineMs)
	f.send(c, kindInFlight, "line", healthyDestination, 1, usualDeadlineMs)
	f.send(c, kindBehind, "line", healthyDestination, 2, usualDeadlineMs)
	waitFor(t, "messages in all states, and in flight of all classes", setupTimeout, func() bool {
		return has(storedStates...)() && len(classesInFlight(by.spoolOf(t, dir))) == len(fillingClasses)
	})
}

// kill ends a courier without a warning.
func (c *testCourier) kill() {
	c.cmd.Process.Signal(syscall.SIGKILL)
	c.cmd.Wait()
}

// incarnationAt returns the incarnation of a courier, and 0 as long as it is no member of its fleet.
func (b build) incarnationAt(t *testing.T, ops string) uint64 {
	t.Helper()
	out := b.run(t, "members", "ls", "--output", "json", "--ops", ops)
	if out.code != 0 {
		return 0
	}
	return decode[knownFleet](t, out.stdout).Incarnation
}

// knownFleet is a fleet as pineport members ls prints it.
type knownFleet struct {
	Incarnation uint64 `json:"start"`
	Revoked     int    `json:"revoked"`
	Members     []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"members"`
}

// copyState copies a state folder: what it holds is compared and used while the original stays as it was written.
func copyState(t *testing.T, from, to string) {
	t.Helper()
	entries, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		if !entry.Type().IsRegular() {
			continue // the socket for successors, of a process that is gone
		}
		content, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, entry.Name()), content, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, entry.Name())
	}
	t.Logf("state folder: %s", strings.Join(names, " "))
	for _, wanted := range []string{"learned.lore", "maintenance.out", "clock.anchor", "peers.start"} {
		if !slices.Contains(names, wanted) {
			t.Errorf("the state folder holds no %s, so nothing is shown of it", wanted)
		}
	}
}

// TestCompatData guards against a build that cannot use the state folder of another one, or understands it differently: after a kill, each
// message that was accepted and not ended gets exactly one final answer, none that had ended is sent or reported again, disabled endpoints
// stay disabled, the snapshot and the clock's anchor are used, and the incarnation goes on. The list of endpoints is not stored in the folder: it
// is the key known of the configuration, which both processes read.
func TestCompatData(t *testing.T) {
	inBothDirections(t, func(t *testing.T, writer, reader build) {
		f := newFilling(t)
		first := newCourier(t, f.world)
		f.configure(first)
		incarnation := f.fill(first, writer)
		second := newCourier(t, f.world)
		f.configure(second)
		dir := filepath.Join(second.dir, "state")
		copyState(t, filepath.Join(first.dir, "state"), dir)
		stored := f.checkStored(writer, dir)
		compareStateCommands(t, writer, reader, dir, stored)
		checkLogOfWriter(t, writer.name, first.logText())
		f.takeOver(second, reader, stored, incarnation)
	})
}

// checkLogOfWriter reports problems of a courier beside a world where notices are not confirmed.
func checkLogOfWriter(t *testing.T, name, log string) {
	t.Helper()
	lines := slices.DeleteFunc(strings.Split(log, "\n"), func(line string) bool {
		return strings.Contains(line, `msg="notices will be retried"`)
	})
	checkLog(t, name, strings.Join(lines, "\n"))
}

// checkStored checks that a folder holds messages in every state, prints their counts, and returns them.
func (f *filling) checkStored(writer build, dir string) []storedMessage {
	t := f.t
	t.Helper()
	stored := writer.spoolOf(t, dir)
	counts, orderingKeys, idempotencyKeys := countStates(stored, writer.stateOf(t, dir))
	for _, state := range storedStates {
		t.Logf("%2d %s", counts[state], state)
		if counts[state] == 0 {
			t.Errorf("no message was %s", state)
		}
	}
	classes := map[string]int{}
	if inFlight := classesInFlight(stored); len(inFlight) != len(fillingClasses) {
		t.Errorf("in flight by class: %v", inFlight)
	}
	for _, message := range stored {
		classes[message.Class]++
		if !slices.Contains(f.accepted, message.ID) {
			t.Errorf("%s is stored and was not accepted", message.ID)
		}
	}
	delivered, failed := 0, 0
	for _, id := range f.accepted {
		switch done, notices := f.ends(id); {
		case done > 0:
			delivered++
		case notices > 0:
			failed++
		}
	}
	t.Logf("%2d delivered, %d failed and their notices confirmed, %d rejected; stored by class %v, with ordering key %d, with idempotency key %d",
		delivered, failed, len(f.rejected), classes, orderingKeys, idempotencyKeys)
	if delivered == 0 || failed == 0 || len(f.rejected) == 0 || orderingKeys == 0 || idempotencyKeys == 0 || len(classes) != len(fillingClasses) {
		t.Error("a kind of message is missing")
	}
	return stored
}

// ageOfState is the one part of these outputs that depends on when a command runs.
var ageOfState = regexp.MustCompile(`, (\S+) old\n$`)

// compareStateCommands checks that the commands on a folder print the same by both builds, byte for byte. An age is not compared as bytes: both must
// be from 0 to a minute, the later one not below the earlier one.
func compareStateCommands(t *testing.T, writer, reader build, dir string, stored []storedMessage) {
	t.Helper()
	commands := [][]string{{"spool", "ls", "--output", "json", dir}, {"spool", "verify", dir}, {"state", "show", "--output", "json", dir}}
	for _, message := range stored {
		commands = append(commands, []string{"spool", "show", dir, message.ID})
	}
	for _, args := range commands {
		first, second := writer.must(t, args...), reader.must(t, args...)
		if first != second {
			t.Errorf("%s differs:\n%s: %s\n%s: %s", strings.Join(args, " "), writer.name, first, reader.name, second)
		}
	}
	var rest []string
	last := time.Duration(0)
	for _, each := range []build{writer, reader} {
		text := each.must(t, "state", "verify", dir)
		found := ageOfState.FindStringSubmatch(text)
		if found == nil {
			t.Fatalf("%s: state verify: no age: %s", each.name, text)
		}
		age, err := time.ParseDuration(found[1])
		if err != nil || age < last || age > time.Minute {
			t.Errorf("%s: state verify: age %s (%v), after %v", each.name, found[1], err, last)
		}
		last = age
		rest = append(rest, ageOfState.ReplaceAllString(text, ""))
	}
	if rest[0] != rest[1] {
		t.Errorf("state verify differs: %q, %q", rest[0], rest[1])
	}
	t.Logf("%d commands on the folder print the same", len(commands)+1)
}

// seenEnds is what the world had seen of a message.
type seenEnds struct {
	begun, delivered int
	notices          string
}

func (f *filling) seen(id string) seenEnds {
	begun, delivered, notices := f.world.MessageCalls(id)
	return seenEnds{begun, delivered, strings.Join(notices, " ")}
}

// takeOver starts a courier of a build on a folder that another build wrote, in a world that is healthy by now, and checks every message.
func (f *filling) takeOver(c *testCourier, by build, stored []storedMessage, incarnation uint64) {
	t := f.t
	t.Helper()
	before := map[string]seenEnds{}
	for _, id := range append(slices.Clone(f.accepted), f.rejected...) {
		before[id] = f.seen(id)
	}
	callsBefore := f.world.Calls(disabledEndpoint)
	f.world.LeaveNoticesUnanswered(0)
	f.healed.Store(true)
	c.binary = by.program
	c.start()
	var open []string
	for _, message := range stored {
		open = append(open, message.ID)
	}
	waitFor(t, "final answers after the restart", finalTimeout, func() bool { return f.ended(open) })
	waitFor(t, "the next incarnation", setupTimeout, func() bool { return by.incarnationAt(t, c.adminAddr) == incarnation+1 })
	waitFor(t, "an empty spool", setupTimeout, func() bool { return len(by.spoolOf(t, filepath.Join(c.dir, "state"))) == 0 })
	time.Sleep(settleTime)
	f.checkEnds(stored, before)
	f.checkOrder(stored)
	f.checkWait()
	if calls := f.world.Calls(disabledEndpoint) - callsBefore; calls != 0 {
		t.Errorf("%d calls to the endpoint that is disabled", calls)
	}
	f.enable(c)
	c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	log := c.logText()
	checkLog(t, by.name, log)
	for _, line := range []string{`msg="recovered after restart"`, `msg="snapshot restored"`} {
		if !strings.Contains(log, line) {
			t.Errorf("log of %s: no line %s:\n%s", by.name, line, log)
		}
	}
}

// checkEnds checks that each stored message has exactly one final answer by now, and that of the others nothing more was seen.
func (f *filling) checkEnds(stored []storedMessage, before map[string]seenEnds) {
	t := f.t
	t.Helper()
	ends := map[string]int{}
	open := map[string]bool{}
	for _, message := range stored {
		open[message.ID] = true
		after := f.seen(message.ID)
		delivered, notices := f.ends(message.ID)
		if delivered+notices != 1 {
			t.Errorf("%s: %d final answers: delivered %d, notices %q", message.ID, delivered+notices, delivered, after.notices)
		}
		if begun := before[message.ID].begun; message.Class == "order" && begun > 0 && after.begun > begun {
			t.Errorf("%s is at most once, and was sent %d times before the restart, %d after it", message.ID, begun, after.begun-begun)
		}
		if message.Ended != "" && (after.begun > before[message.ID].begun || notices == 0) {
			t.Errorf("%s had ended, and was sent again or got no notice: %+v, %+v", message.ID, before[message.ID], after)
		}
		if delivered > 0 {
			ends["delivered"]++
		} else {
			ends["notice "+after.notices]++
		}
	}
	answered := 0
	for id, seen := range before {
		if open[id] {
			continue
		}
		answered++
		if after := f.seen(id); after != seen {
			t.Errorf("%s had its final answer: %+v, and after the restart %+v", id, seen, after)
		}
	}
	t.Logf("after the restart: %v; %d that had been answered before, or rejected, were not touched", ends, answered)
}

// checkOrder checks that messages of an ordering key were sent in the order in which they were accepted.
func (f *filling) checkOrder(stored []storedMessage) {
	t := f.t
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	last := map[string]int{}
	lastID := map[string]string{}
	for _, message := range stored { // in the order of acceptance
		if message.OrderingKey == "" || message.Ended != "" {
			continue
		}
		at := slices.Index(f.begun, message.ID)
		if at < last[message.OrderingKey] {
			t.Errorf("%s was sent before %s, of the same ordering key, or not at all", message.ID, lastID[message.OrderingKey])
		}
		last[message.OrderingKey], lastID[message.OrderingKey] = at, message.ID
	}
	if len(last) < 2 {
		t.Errorf("messages of %d ordering keys were stored, too few", len(last))
	}
}

// checkWait checks that the Retry-After that the process before had been told was kept to.
func (f *filling) checkWait() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waited < retryAfterMs*time.Millisecond {
		f.t.Errorf("the throttled endpoint was called again after %v (0s: never), its Retry-After is %d ms", f.waited, retryAfterMs)
	}
}

// enable has a courier enable the endpoint that the process before had disabled, and checks that it knew it as the one that was disabled.
func (f *filling) enable(c *testCourier) {
	f.t.Helper()
	// Endpoints that are avoided for other reasons are counted as well, until they have answered.
	waitFor(f.t, "one disabled endpoint", setupTimeout, func() bool { return c.metrics().TargetsDisabled == 1 })
	c.mustCallAdmin("POST", fmt.Sprintf("/maintenance/exit/s-%d", disabledEndpoint))
	waitFor(f.t, "calls to the endpoint that was enabled again", setupTimeout, func() bool {
		sent := f.send(c, kindDelivered, "update", healthyDestination, 4, usualDeadlineMs)
		waitFor(f.t, "final answers", setupTimeout, func() bool { return f.ended(sent) })
		return f.world.Calls(disabledEndpoint) > 0
	})
}

// ---- Settings ----

// schemaKey is a row of the page on configuration without the texts for people.
type schemaKey struct {
	path, unit, fallback string
	bounds               string // numbers, or the words allowed
	variables            string
}

var (
	pageRow       = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (.*?) \\| (.*?) \\| (.*?) \\| (.*?) \\| (.*?) \\|$")
	pageVariable  = regexp.MustCompile("`([A-Z]+(?:_[A-Z]+)+)`")
	boundsNumbers = regexp.MustCompile(`-?[0-9][0-9.]*(?:e[+-]?[0-9]+)?`)
	oneOfWords    = regexp.MustCompile(`^one of (.*)$`)

	// requiredFallbacks are the words of builds for a key without a default: up to 51eb2d1 "a fault".
	requiredFallbacks = []string{"a fault", "none (required)"}
)

// schemaOf returns all keys of a build, by its page on configuration.
func schemaOf(t *testing.T, b build) map[string]schemaKey {
	t.Helper()
	keys := map[string]schemaKey{}
	for _, row := range pageRow.FindAllStringSubmatch(b.must(t, "config", "page"), -1) {
		key := schemaKey{path: row[1], unit: row[3], fallback: row[5]}
		if slices.Contains(requiredFallbacks, key.fallback) {
			key.fallback = "required"
		}
		key.bounds = strings.Join(boundsNumbers.FindAllString(row[4], -1), " to ")
		if words := oneOfWords.FindStringSubmatch(row[4]); words != nil {
			key.bounds = words[1]
		}
		for _, variable := range pageVariable.FindAllStringSubmatch(row[2], -1) {
			key.variables += variable[1]
		}
		keys[key.path] = key
	}
	if len(keys) < 50 {
		t.Fatalf("%s: %d keys on the page: it is not read as it is written", b.name, len(keys))
	}
	return keys
}

// TestCompatSettingsPage guards against a key, unit, default, range or variable that was renamed, changed or dropped.
func TestCompatSettingsPage(t *testing.T) {
	oldBuild, newBuild := bothBuilds(t)
	oldKeys, newKeys := schemaOf(t, oldBuild), schemaOf(t, newBuild)
	for path, key := range oldKeys {
		if newKeys[path] != key {
			t.Errorf("old build %+v, new build %+v", key, newKeys[path])
		}
	}
	for path := range newKeys {
		if _, known := oldKeys[path]; !known {
			t.Logf("only the new build has the key %s", path)
		}
	}
	t.Logf("%d keys compared", len(oldKeys))
}

// writeFile writes a file of a test.
func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// settingsFiles returns configuration files of all kinds: those of deploy/sites, the examples of both builds, and what couriers of these tests
// are given, as JSON and, since JSON is YAML as well, as YAML.
func settingsFiles(t *testing.T, oldBuild, newBuild build) (files []string) {
	t.Helper()
	sites, err := filepath.Glob(filepath.Join(repositoryRoot, "deploy", "sites", "*"))
	if err != nil || len(sites) == 0 {
		t.Fatalf("no files in deploy/sites: %v", err)
	}
	dir := t.TempDir()
	f := newFilling(t)
	c := newCourier(t, f.world)
	plain := string(f.world.CourierConfiguration("n0", c.listen))
	f.configure(c)
	full, err := os.ReadFile(filepath.Join(c.dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	questionable := strings.Replace(plain, `"memory_mb"`, `"memory_md"`, 1)
	return append(sites,
		writeFile(t, filepath.Join(dir, "old-example.toml"), oldBuild.must(t, "config", "init")),
		writeFile(t, filepath.Join(dir, "new-example.toml"), newBuild.must(t, "config", "init")),
		writeFile(t, filepath.Join(dir, "plain.json"), plain),
		writeFile(t, filepath.Join(dir, "plain.yaml"), plain),
		writeFile(t, filepath.Join(dir, "full.json"), string(full)),
		writeFile(t, filepath.Join(dir, "questionable.json"), questionable))
}

// listElement is the place of a value in a list of a configuration.
var listElement = regexp.MustCompile(`\[[0-9]+\]`)

// namesKey reports whether a text is a key, or stands in a section with keys, such as limits.memory_md.
func namesKey(text string, known map[string]schemaKey) bool {
	path := listElement.ReplaceAllString(text, "[]")
	if _, listed := known[path]; listed {
		return true
	}
	section, _, found := strings.Cut(path, ".")
	for key := range known {
		if found && strings.HasPrefix(key, section+".") {
			return true
		}
	}
	return false
}

// faultKeys returns the keys that the faults and warnings of a configuration name.
func faultKeys(text string, known map[string]schemaKey) (keys []string) {
	for _, line := range strings.Split(text, "\n") {
		for _, field := range strings.Fields(line) {
			if path, ends := strings.CutSuffix(field, ":"); ends && namesKey(path, known) {
				keys = append(keys, path)
				break
			}
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// TestCompatSettingsFiles guards against a configuration file that one build takes and the other refuses, or reads other values from. Of files that
// are refused, both name the same keys.
func TestCompatSettingsFiles(t *testing.T) {
	oldBuild, newBuild := bothBuilds(t)
	known := schemaOf(t, oldBuild)
	taken, refused := 0, 0
	for _, file := range settingsFiles(t, oldBuild, newBuild) {
		name := filepath.Base(file)
		for _, args := range [][]string{{"config", "check", file}, {"config", "check", "--strict", file}} {
			first, second := oldBuild.run(t, args...), newBuild.run(t, args...)
			if first.code != second.code || !slices.Equal(faultKeys(first.stderr, known), faultKeys(second.stderr, known)) {
				t.Errorf("%s: %v: old build: exit code %d, %s\nnew build: exit code %d, %s", name, args[1:], first.code, first.stderr, second.code, second.stderr)
			}
			if first.code == 0 {
				taken++
			} else {
				refused++
			}
			t.Logf("%s: %v: exit code %d, keys named %v", name, args[1:len(args)-1], first.code, faultKeys(first.stderr, known))
		}
		args := []string{"config", "show", "--output", "json", file}
		if first, second := oldBuild.run(t, args...), newBuild.run(t, args...); first.code != second.code || first.stdout != second.stdout {
			t.Errorf("%s: other values: old build:\n%s\nnew build:\n%s", name, first.stdout, second.stdout)
		}
	}
	t.Logf("%d checks passed by both, %d refused by both", taken, refused)
	if taken < 5 || refused == 0 {
		t.Error("too few files were taken, or none was refused")
	}
}

// exampleSetting is a line of the example that is a key, set or commented out.
var exampleSetting = regexp.MustCompile(`(?m)^(?:# )?[a-z_-]+ = .*$|^(?:# )?\[.*\]$`)

// TestCompatSettingsExample guards against an example that no longer has the same keys with the same values.
func TestCompatSettingsExample(t *testing.T) {
	oldBuild, newBuild := bothBuilds(t)
	settings := func(b build) []string { return exampleSetting.FindAllString(b.must(t, "config", "init"), -1) }
	first, second := settings(oldBuild), settings(newBuild)
	for _, setting := range first {
		if !slices.Contains(second, setting) {
			t.Errorf("only in the example of the old build: %s", setting)
		}
	}
	if t.Logf("%d lines of the example compared", len(first)); len(first) < 50 {
		t.Error("the example is not read as it is written")
	}
}

// probes returns values that show what a key takes: its bounds, what is just beyond them, words, and values of all kinds.
func (k schemaKey) probes() []string {
	values := []string{"", "-", "0", "1", "-1", "1.5", "true", "false", "x", "a,b", "1,2", "true,false", "127.0.0.1:1", "abcdef0123456789",
		"127.0.0.1:1=127.0.0.1:2", "spool=debug", "nan", "1e3", "NEW"}
	for _, bound := range boundsNumbers.FindAllString(k.bounds, -1) {
		number, err := strconv.ParseFloat(bound, 64)
		if err != nil {
			continue
		}
		values = append(values, bound, strconv.FormatFloat(number*0.999, 'g', -1, 64), strconv.FormatFloat(number*1.001, 'g', -1, 64),
			strconv.FormatFloat(number-1, 'f', -1, 64), strconv.FormatFloat(number+1, 'f', -1, 64))
	}
	if !boundsNumbers.MatchString(k.bounds) && k.bounds != "" {
		values = append(values, strings.Split(k.bounds, ", ")...)
	}
	return slices.Compact(slices.Sorted(slices.Values(values)))
}

// plan is what a reload would do, without its text for people.
type plan struct {
	Key      string `json:"key"`
	Old      string `json:"old"`
	New      string `json:"new"`
	TakeOver bool   `json:"taken_over"`
}

// TestCompatSettingsValues guards against a value that one build takes for a key and the other refuses, reads differently, or takes over at a reload
// while the other waits for the next start: all keys, each with values within and beyond its range and of every kind.
func TestCompatSettingsValues(t *testing.T) {
	oldBuild, newBuild := bothBuilds(t)
	keys := schemaOf(t, oldBuild)
	file := writeFile(t, filepath.Join(t.TempDir(), "example.toml"), oldBuild.must(t, "config", "init"))
	taken, refused := 0, 0
	for _, path := range slices.Sorted(maps.Keys(keys)) {
		for _, value := range keys[path].probes() {
			set := "--set=" + path + "=" + value
			args := []string{"config", "check", file, set, "--against", file, "--output", "json"}
			first, second := oldBuild.run(t, args...), newBuild.run(t, args...)
			if first.code != second.code || !slices.Equal(faultKeys(first.stderr, keys), faultKeys(second.stderr, keys)) {
				t.Errorf("%s: old build: exit code %d, %s\nnew build: exit code %d, %s", set, first.code, first.stderr, second.code, second.stderr)
				continue
			}
			if first.code != 0 {
				refused++
				continue
			}
			taken++
			if plans, others := decode[[]plan](t, first.stdout), decode[[]plan](t, second.stdout); !slices.Equal(plans, others) {
				t.Errorf("%s: a reload: old build %+v, new build %+v", set, plans, others)
			}
			args = []string{"config", "show", file, set, "--output", "json"}
			if first, second := oldBuild.must(t, args...), newBuild.must(t, args...); first != second {
				t.Errorf("%s: other values: old build:\n%s\nnew build:\n%s", set, first, second)
			}
		}
	}
	if t.Logf("%d values were taken by both, %d refused by both", taken, refused); taken < 200 || refused < 200 {
		t.Error("too few values were taken or refused")
	}
}

// sampleValue is a value that each variable with a key takes.
var sampleValue = map[string]string{"name": "other", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "ops": "127.0.0.1:3", "socket_fd": "9",
	"log.level": "warn", "log.format": "json"}

// TestCompatSettingsVariables guards against an environment variable that is no longer read, or changes another key than before.
func TestCompatSettingsVariables(t *testing.T) {
	oldBuild, newBuild := bothBuilds(t)
	file := writeFile(t, filepath.Join(t.TempDir(), "example.toml"), oldBuild.must(t, "config", "init"))
	variables := []string{"RELAY_CONFIG=" + file}
	for path, key := range schemaOf(t, oldBuild) {
		if key.variables == "" {
			continue
		}
		value, known := sampleValue[path]
		if !known {
			t.Errorf("no value to try %s, of the key %s, with", key.variables, path)
		}
		variables = append(variables, key.variables+"="+value)
		first := oldBuild.runWith(t, variables, "config", "show", "--output", "json")
		second := newBuild.runWith(t, variables, "config", "show", "--output", "json")
		if first != second || first.code != 0 {
			t.Errorf("%v: old build %+v\nnew build %+v", variables, first, second)
		}
		values := decode[map[string]struct{ Text, From string }](t, second.stdout)
		if values[path].Text != value || !strings.Contains(values[path].From, key.variables) {
			t.Errorf("%s=%s: %s is %+v", key.variables, value, path, values[path])
		}
	}
	if len(variables) != len(sampleValue)+1 {
		t.Errorf("%d variables tried, not %d: %v", len(variables), len(sampleValue)+1, variables)
	}
}

var (
	helpCommand = regexp.MustCompile(`(?m)^  ([a-z]+) {2,}\S`)
	helpFlag    = regexp.MustCompile(`(?m)^ {2,6}(?:(-\w), )?(--[a-z-]+)(?: (\S+))?(?: {2,}.*?(\(default .*\))?)?$`)
)

// flagsOf returns the flags of a command and of all below it, each with its short form, type and default. Commands under older names are not listed
// by the help and are added.
func (b build) flagsOf(t *testing.T, commands map[string][]string, path ...string) {
	t.Helper()
	help := b.must(t, append(slices.Clone(path), "--help")...)
	_, listed, _ := strings.Cut(help, "Available Commands:\n")
	listed, _, _ = strings.Cut(listed, "\n\n")
	_, flagsText, _ := strings.Cut(help, "\nFlags:\n")
	flags := []string{}
	for _, found := range helpFlag.FindAllStringSubmatch(flagsText, -1) {
		flags = append(flags, strings.TrimSpace(strings.Join(found[1:], " ")))
	}
	commands[strings.Join(path, " ")] = flags
	var below []string
	for _, found := range helpCommand.FindAllStringSubmatch(listed, -1) {
		below = append(below, found[1])
	}
	if len(path) == 0 {
		below = append(below, "peers", "commons")
	}
	for _, name := range below {
		if name != "help" {
			b.flagsOf(t, commands, append(slices.Clone(path), name)...)
		}
	}
}

// TestCompatFlags guards against a command or flag that scripts use and that is gone, or has another type or default.
func TestCompatFlags(t *testing.T) {
	oldBuild, newBuild := bothBuilds(t)
	oldCommands, newCommands := map[string][]string{}, map[string][]string{}
	oldBuild.flagsOf(t, oldCommands)
	newBuild.flagsOf(t, newCommands)
	count := 0
	for name, flags := range oldCommands {
		if got, found := newCommands[name]; !found || !slices.Equal(flags, got) {
			t.Errorf("pineport %s: flags of the old build %q, of the new build %q", name, flags, got)
		}
		count += len(flags)
	}
	for name := range newCommands {
		if _, found := oldCommands[name]; !found {
			t.Logf("only the new build has the command %q", name)
		}
	}
	for _, wanted := range []string{"run", "config check", "spool ls", "state show", "members ls", "quota show", "peers ls", "commons show"} {
		if len(oldCommands[wanted]) == 0 {
			t.Errorf("pineport %s: no flags found: the help is not read as it is written", wanted)
		}
	}
	t.Logf("%d commands with %d flags compared", len(oldCommands), count)
}

// TestCompatRunFlags guards against a courier that is not started by the flags that another build is started by.
func TestCompatRunFlags(t *testing.T) {
	inBothDirections(t, func(t *testing.T, _, starts build) {
		f := newFilling(t)
		c := newCourier(t, f.world)
		listen, ops := freePort(t), freePort(t)
		c.cmd = exec.Command(starts.program, "run", "--config", filepath.Join(c.dir, "config.json"), "--state", filepath.Join(c.dir, "state"),
			"--set", "listen="+listen, "--set", "ops="+ops)
		c.cmd.Stderr = c.log
		if err := c.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		c.listen = listen
		waitFor(t, "the status", setupTimeout, func() bool { status, _ := callAdminAt(t, ops, "GET", "/status"); return status == http.StatusOK })
		id := f.send(c, kindDelivered, "update", healthyDestination, 1, usualDeadlineMs)
		waitFor(t, "a final answer", setupTimeout, func() bool { return f.ended(id) })
		checkLog(t, starts.name, c.logText())
	})
}

// ---- Processes ----

const (
	handoffClients = 6
	handoffPause   = 1500 * time.Millisecond // of load between two handoffs
)

// TestCompatHandoff guards against two builds that do not hand over to one another: on one inherited socket and under load the processes change from
// one build to the other and back, nothing is lost, doubled or out of order, each message has exactly one final answer, endpoints stay
// disabled, operators' calls to a predecessor reach its successor, and the fleet sees one member that goes on.
func TestCompatHandoff(t *testing.T) {
	inBothDirections(t, func(t *testing.T, first, second build) {
		world := newUpgradeWorld(t)
		p := newSupervisor(t, world)
		configurePeers(t, p.dir, true)
		now := p.startProcess(first.program)
		p.requireReady(now)
		incarnation := uint64(0)
		waitFor(t, "membership", setupTimeout, func() bool { incarnation = first.incarnationAt(t, now.ops); return incarnation > 0 })
		operate(t, now, "enter")
		load := p.startLoad(handoffClients)
		handoffs := []build{second, first, second}
		// What operators ask of the predecessor, which has it done by the successor; the last handoff has the endpoint stay disabled.
		requests := []string{"exit", "enter", ""}
		callsDisabled := 0
		for i, successor := range handoffs {
			time.Sleep(handoffPause)
			next := p.startProcess(successor.program)
			p.requireReady(next)
			switch requests[i] {
			case "exit":
				if calls := world.Calls(disabledEndpoint); calls != 0 {
					t.Errorf("%d calls to the endpoint that is disabled", calls)
				}
				operate(t, now, "exit")
				waitFor(t, "calls to the endpoint that was enabled again", setupTimeout, func() bool { return world.Calls(disabledEndpoint) > 0 })
			case "enter":
				operate(t, now, "enter")
				time.Sleep(settleTime)
				callsDisabled = world.Calls(disabledEndpoint)
			}
			p.terminate(now)
			waitFor(t, "membership of the successor", setupTimeout, func() bool { return successor.incarnationAt(t, next.ops) > 0 })
			if got := successor.incarnationAt(t, next.ops); got != incarnation {
				t.Errorf("%s: incarnation %d after the handoff, %d before it", successor.name, got, incarnation)
			}
			now = next
		}
		time.Sleep(handoffPause)
		load.verify(world, len(handoffs))
		time.Sleep(settleTime)
		if calls := world.Calls(disabledEndpoint) - callsDisabled; calls != 0 {
			t.Errorf("%d calls to the endpoint that was disabled by way of the predecessor", calls)
		}
		checkOneEnd(t, world, load.accepted)
		p.terminate(now)
		p.exits.Wait()
		log := p.logText()
		checkLog(t, "all processes", log)
		for _, line := range []string{"handed over to the successor", "exited after the handoff"} {
			if n := strings.Count(log, line+`"`); n != len(handoffs) {
				t.Errorf("%q stands %d times in the log, after %d handoffs", line, n, len(handoffs))
			}
		}
	})
}

// operate has a process disable an endpoint, or enable it again.
func operate(t *testing.T, asked *instance, verb string) {
	t.Helper()
	path := fmt.Sprintf("/maintenance/%s/s-%d", verb, disabledEndpoint)
	if status, body := callAdminAt(t, asked.ops, "POST", path); status != http.StatusOK {
		t.Fatalf("%s: %d %s", path, status, body)
	}
}

// checkOneEnd checks that each message has exactly one final answer.
func checkOneEnd(t *testing.T, world *scripted.World, ids []string) {
	t.Helper()
	for _, id := range ids {
		if begun, delivered, notices := world.MessageCalls(id); delivered+len(notices) != 1 {
			t.Errorf("%s: %d final answers: delivered %d, notices %v; sent %d times", id, delivered+len(notices), delivered, notices, begun)
		}
	}
	t.Logf("%d messages with one final answer each", len(ids))
}

// fleetKey encrypts the packets of a fleet.
const fleetKey = "000102030405060708090a0b0c0d0e0f"

const (
	fleetRounds  = 40
	wantedPacket = 10 // of quota, from the other courier
)

// openPair starts a courier of each build in one fleet: the second joins the first.
func openPair(t *testing.T, world *scripted.World, first, second build, key string) [2]*testCourier {
	t.Helper()
	var pair [2]*testCourier
	join := []string{}
	for i, b := range []build{first, second} {
		c := newCourier(t, world)
		c.binary, c.adminAddr = b.program, freePort(t)
		join = append(join, configurePeers(t, c.dir, true, join...))
		editConfig(t, c.dir, func(top map[string]any) {
			top["name"] = fmt.Sprintf("n%d", i)
			settings := top["settings"].(map[string]any)
			settings["fleet-size"], settings["ordinal"] = 2, i
			if key != "" {
				top["peers"].(map[string]any)["key"] = key
			}
		})
		c.start()
		pair[i] = c
	}
	return pair
}

// TestCompatFleet guards against couriers of two builds that do not understand one another in one fleet: each sees the other as alive, takes its
// packets on quota, and never gives it up, with packets in the clear and encrypted, whichever joins the other. The commands of either build print the
// same of either courier, and operators' calls have the same keys.
func TestCompatFleet(t *testing.T) {
	for name, key := range map[string]string{"in the clear": "", "encrypted": fleetKey} {
		t.Run(name, func(t *testing.T) {
			inBothDirections(t, func(t *testing.T, first, second build) {
				f := newFilling(t)
				pair := openPair(t, f.world, first, second, key)
				builds := [2]build{first, second}
				sent := f.sendToPair(pair)
				for i, c := range pair {
					other := fmt.Sprintf("n%d", 1-i)
					for _, asking := range builds {
						waitFor(t, other+" to be seen as alive", setupTimeout, func() bool { return asking.seesAlive(t, c.adminAddr, other) })
					}
				}
				checkQuota(t, builds, pair)
				compareFleetCommands(t, builds, pair)
				compareAnswers(t, pair)
				waitFor(t, "final answers", finalTimeout, func() bool { return f.ended(sent) })
				for i, c := range pair {
					if view := decode[knownFleet](t, builds[i].must(t, "members", "ls", "--output", "json", "--ops", c.adminAddr)); view.Revoked != 0 {
						t.Errorf("%s revoked %d deaths", builds[i].name, view.Revoked)
					}
				}
				leavePair(t, builds, pair)
			})
		})
	}
}

// sendToPair submits messages to both couriers for a while, so that there are limits to share.
func (f *filling) sendToPair(pair [2]*testCourier) (sent []string) {
	f.t.Helper()
	for range fleetRounds {
		for _, c := range pair {
			sent = append(sent, f.send(c, kindDelivered, "update", healthyDestination, 2, usualDeadlineMs)...)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return sent
}

// seesAlive reports whether a courier sees another one as alive, by the commands of a build.
func (b build) seesAlive(t *testing.T, ops, name string) bool {
	t.Helper()
	out := b.run(t, "members", "ls", "--output", "json", "--ops", ops)
	if out.code != 0 {
		return false
	}
	for _, member := range decode[knownFleet](t, out.stdout).Members {
		if member.Name == name && member.State == "alive" {
			return true
		}
	}
	return false
}

// quotaView is the packets of a courier as pineport quota show prints them.
type quotaView struct {
	Groups []struct {
		CouriersHeard int `json:"couriers_heard"`
	} `json:"routes"`
	PacketsOut       int64 `json:"packets_out"`
	PacketsIn        int64 `json:"packets_in"`
	PacketsMalformed int64 `json:"packets_spoilt"`
	PacketsDropped   int64 `json:"packets_dropped"`
}

// checkQuota checks that each courier takes the other's packets on quota, and uses what is in them.
func checkQuota(t *testing.T, builds [2]build, pair [2]*testCourier) {
	t.Helper()
	for i, c := range pair {
		var view quotaView
		heard := func() bool {
			out := builds[i].run(t, "quota", "show", "--output", "json", "--ops", c.adminAddr)
			if out.code != 0 {
				return false
			}
			view = decode[quotaView](t, out.stdout)
			used := false
			for _, group := range view.Groups {
				used = used || group.CouriersHeard > 0
			}
			return used && view.PacketsIn >= wantedPacket
		}
		waitFor(t, builds[i].name+" to take packets on quota", setupTimeout, heard)
		if view.PacketsMalformed != 0 || view.PacketsDropped != 0 {
			t.Errorf("%s: %+v", builds[i].name, view)
		}
		t.Logf("%s: %d packets on quota out, %d in, %d malformed, %d dropped", builds[i].name, view.PacketsOut, view.PacketsIn, view.PacketsMalformed, view.PacketsDropped)
	}
}

// withoutMeasures returns JSON with all numbers as 0 but for those of incarnations, as the others count on between two calls.
func withoutMeasures(value any, key string) any {
	switch value := value.(type) {
	case map[string]any:
		for name, each := range value {
			value[name] = withoutMeasures(each, name)
		}
	case []any:
		for i, each := range value {
			value[i] = withoutMeasures(each, "")
		}
	case float64:
		if key != "start" {
			return 0.0
		}
	}
	return value
}

func normalized(t *testing.T, text string) string {
	t.Helper()
	content, err := json.MarshalIndent(withoutMeasures(decode[any](t, text), ""), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// compareFleetCommands checks that the commands of either build print the same of either courier: names, states, addresses, incarnations and all keys,
// with other numbers left out, as these count on. Leases that begin or end in between make outputs differ for a moment, so it is tried again.
func compareFleetCommands(t *testing.T, builds [2]build, pair [2]*testCourier) {
	t.Helper()
	compared := 0
	deadline := time.Now().Add(setupTimeout) // for all of them, or differences everywhere would outlast the test
	for i, c := range pair {
		other := fmt.Sprintf("n%d", 1-i)
		for _, command := range []string{"members ls", "members show " + other, "quota show", "peers ls", "peers show " + other, "commons show"} {
			args := append(strings.Fields(command), "--output", "json", "--ops", c.adminAddr)
			var texts [2]string
			same := func() bool {
				for j, b := range builds {
					texts[j] = normalized(t, b.must(t, args...))
				}
				return texts[0] == texts[1]
			}
			for ; !same(); time.Sleep(settleTime / 10) {
				if time.Now().After(deadline) {
					t.Errorf("pineport %s of the courier of %s: %s:\n%s\n%s:\n%s", command, builds[i].name, builds[0].name, texts[0], builds[1].name, texts[1])
					break
				}
			}
			compared++
		}
	}
	t.Logf("%d outputs compared between the builds", compared)
}

// keysThatDepend are keys that an answer has only where something has happened, such as a lease, and counts by name of what has happened.
var keysThatDepend = regexp.MustCompile(`/(lent_to|borrowed_from)(/|$)|/figures/changes/`)

// keysOf returns the paths of all keys in JSON.
func keysOf(value any, path string, keys map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for name, each := range value {
			keysOf(each, path+"/"+name, keys)
		}
	case []any:
		for _, each := range value {
			keysOf(each, path+"/[]", keys)
		}
	default:
		if !keysThatDepend.MatchString(path) {
			keys[fmt.Sprintf("%s %T", path, value)] = true
		}
	}
}

// compareAnswers checks that operators' calls are answered with the same statuses and the same keys by both couriers.
func compareAnswers(t *testing.T, pair [2]*testCourier) {
	t.Helper()
	for _, path := range []string{"/status/metrics", "/peers", "/commons"} {
		var keys [2]map[string]bool
		for i, c := range pair {
			status, body := c.callAdmin("GET", path)
			if status != http.StatusOK {
				t.Errorf("%s: status %d", path, status)
				return
			}
			keys[i] = map[string]bool{}
			keysOf(decode[any](t, string(body)), "", keys[i])
		}
		if !maps.Equal(keys[0], keys[1]) {
			t.Errorf("%s: keys %v and %v", path, slices.Sorted(maps.Keys(keys[0])), slices.Sorted(maps.Keys(keys[1])))
		}
		t.Logf("%s: %d keys", path, len(keys[0]))
	}
	for _, request := range []string{"GET /status", "POST /maintenance/enter/s-0", "POST /maintenance/exit/s-0", "POST /maintenance/enter/s-99", "POST /peers/gone/nobody",
		"POST /standby", "POST /active", "GET /nothing", "GET /peers/gone/nobody"} {
		method, path, _ := strings.Cut(request, " ")
		firstStatus, firstBody := pair[0].callAdmin(method, path)
		secondStatus, secondBody := pair[1].callAdmin(method, path)
		if firstStatus != secondStatus || firstStatus == 0 {
			t.Errorf("%s: %d %s and %d %s", request, firstStatus, firstBody, secondStatus, secondBody)
		}
		if firstStatus == http.StatusOK && !bytes.Equal(firstBody, secondBody) {
			t.Errorf("%s: %q and %q", request, firstBody, secondBody)
		}
	}
}

// leavePair ends the first courier, which the other has to see as left, and then the other.
func leavePair(t *testing.T, builds [2]build, pair [2]*testCourier) {
	t.Helper()
	end := func(c *testCourier) {
		c.cmd.Process.Signal(syscall.SIGTERM)
		if err := c.cmd.Wait(); err != nil {
			t.Errorf("after SIGTERM: %v", err)
		}
	}
	end(pair[0])
	waitFor(t, "n0 to be seen as left", setupTimeout, func() bool {
		view := decode[knownFleet](t, builds[1].must(t, "members", "ls", "--output", "json", "--ops", pair[1].adminAddr))
		for _, member := range view.Members {
			if member.Name == "n0" {
				return member.State == "left"
			}
		}
		return false
	})
	end(pair[1])
	for i, c := range pair {
		checkLog(t, builds[i].name, c.logText())
	}
}
