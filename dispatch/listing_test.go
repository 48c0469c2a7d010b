package dispatch

import (
	"math/rand"
	"testing"
)

// retryPause returns the time from an update to the next poll of the list; never if no poll is scheduled.
func retryPause(l *listStatus) Micros { return l.pollAt } // the updates in these tests come at instant 0

// TestIncompleteListsBackOff checks that lists that could be used only in part are requested again soon, then at growing intervals:
// first only the changes since the held version, then the whole list. A list that can be used in full ends the retries.
func TestIncompleteListsBackOff(t *testing.T) {
	l := &listStatus{pollAt: never}
	previous := Micros(0)
	for n := range 8 {
		l.update(0, EndpointUpdate{Kind: PartialList, Incomplete: true})
		pause := retryPause(l)
		if pause < previous || pause > maxIncompleteRetry || n == 0 && pause != firstIncompleteRetry || n == 7 && pause != maxIncompleteRetry {
			t.Errorf("after %d incomplete lists: polled again after %d us", n+1, pause)
		}
		if poll := l.startPoll(); poll.Whole != (n >= incrementalRetries) || !poll.Immediate || l.pollAt != never {
			t.Errorf("after %d incomplete lists: poll %+v", n+1, poll)
		}
		previous = pause
	}
	l.update(0, EndpointUpdate{Kind: CompleteList})
	if l.pollAt != never || l.mayLackChanges || l.startPoll() != (WatchEndpoints{}) {
		t.Errorf("after a complete list: status %+v", l)
	}
}

// TestFailedPollsFitTheDeadline checks that at least three polls fit within ListDeadline, however many polls were refused, and that at
// least three follow an unanswered watch within ListDeadline. In the long run a courier must poll about once in 1.2 s.
func TestFailedPollsFitTheDeadline(t *testing.T) {
	const watch = 5250 * 1000 // time without an answer after which a watch counts as failed, in microseconds
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		l := &listStatus{pollAt: never}
		l.update(0, EndpointUpdate{Kind: CompleteList})
		now, polls := Micros(watch), 0
		for l.recordFailure(now, true, rng); l.pollAt < ListDeadline; l.recordFailure(now, false, rng) {
			now = l.pollAt
			polls++
		}
		if polls < 3 {
			t.Errorf("seed %d: %d refused polls after an unanswered watch within ListDeadline, want at least 3", seed, polls)
		}
		for range 20 {
			now = l.pollAt
			l.recordFailure(now, false, rng)
		}
		start, polls := now, 0
		for ; now < start+60*second; polls++ {
			now = l.pollAt
			l.recordFailure(now, false, rng)
		}
		if polls > 65 || polls < 40 {
			t.Errorf("seed %d: %d polls in a minute of failures, want 40 to 65", seed, polls)
		}
		for n := range 50 {
			pause := l.pollAt - now
			if pause > ListDeadline/3 {
				t.Errorf("seed %d: poll %d came after a pause of %d us", seed, n, pause)
			}
			now = l.pollAt
			l.recordFailure(now, rng.Intn(2) == 0, rng)
		}
	}
}

// TestPushedListsArePolledWithinGrace guards against calls to endpoints that drained while discovery was down: where lists are pushed, what
// discovery has counts as told as soon as it returns, and the pause after failed polls had grown to 1.8 s by then. The next poll, with
// 100 ms for its answer, must end within the 500 ms after which no call may start to a draining endpoint.
func TestPushedListsArePolledWithinGrace(t *testing.T) {
	const drainGrace, answer = second / 2, second / 10
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		l := &listStatus{pollAt: never, pushed: true}
		l.update(0, EndpointUpdate{Kind: CompleteList})
		now := Micros(second)
		for n := range 100 {
			l.recordFailure(now, rng.Intn(4) == 0, rng)
			if pause := l.pollAt - now; pause <= 0 || pause > drainGrace-answer {
				t.Fatalf("seed %d: poll %d came after a pause of %d us, want %d at most", seed, n, pause, drainGrace-answer)
			}
			now = l.pollAt
		}
	}
}

// TestOutdatedListHoldsCalls checks that calls are held back after a poll that was not answered, or whose list could be used only in
// part. They are held from the deadline of a change that may be missing until a list is received, and for staleListHold at most.
// Refused polls hold back no calls.
func TestOutdatedListHoldsCalls(t *testing.T) {
	cases := map[string]struct {
		fail func(l *listStatus, now Micros)
		hold bool
	}{
		"silent":     {func(l *listStatus, now Micros) { l.recordFailure(now, true, rand.New(rand.NewSource(1))) }, true},
		"incomplete": {func(l *listStatus, now Micros) { l.update(now, EndpointUpdate{Incomplete: true, Kind: PartialList}) }, true},
		"refused":    {func(l *listStatus, now Micros) { l.recordFailure(now, false, rand.New(rand.NewSource(1))) }, false},
		"nothing":    {func(*listStatus, Micros) {}, false},
	}
	for name, c := range cases {
		l := &listStatus{}
		l.update(second, EndpointUpdate{Kind: CompleteList})
		c.fail(l, 2*second)
		for at, want := range map[Micros]bool{second + ListDeadline - 1: false, second + ListDeadline: c.hold,
			second + ListDeadline + staleListHold - 1: c.hold, second + ListDeadline + staleListHold: false} {
			if until, stale := l.stale(at); stale != want || stale && until != second+ListDeadline+staleListHold {
				t.Errorf("%s, at %d us: stale %v until %d us", name, at, stale, until)
			}
		}
		l.update(second+ListDeadline, EndpointUpdate{Kind: PartialList})
		if _, stale := l.stale(second + ListDeadline); stale {
			t.Errorf("%s: calls are held back although a list was received", name)
		}
	}
}

// TestUnusableEntriesBackOff checks that a list with entries that the source confirms and the configuration cannot use is requested
// again after 5 s, and then at growing intervals.
func TestUnusableEntriesBackOff(t *testing.T) {
	l := &listStatus{}
	previous := Micros(0)
	for n := range 8 {
		l.update(0, EndpointUpdate{Kind: CompleteList, Unusable: true})
		pause := retryPause(l)
		if pause < previous || n == 0 && pause != firstUnusableRetry || n == 7 && pause != maxUnusableRetry {
			t.Errorf("after %d lists with unusable entries: requested again after %d us", n+1, pause)
		}
		if !l.startPoll().Whole {
			t.Error("the poll does not request the whole list")
		}
		previous = pause
	}
}

// TestCallsWaitForFirstList guards against calls that leave after a start by the list of an earlier process, although discovery answers in
// a moment. If it fails or says nothing, they leave by that list, after firstListHold at the latest.
func TestCallsWaitForFirstList(t *testing.T) {
	entry := EndpointEntry{Endpoint: "old", Destination: 1, Rate: 50}
	for name, tc := range map[string]struct {
		at     Micros
		event  Event // at that instant; nil if none
		endsAt EndpointID
	}{
		"answered":                {50 * millisecond, EndpointUpdate{Kind: CompleteList, Entries: []EndpointEntry{{Endpoint: "new", Destination: 1, Rate: 50}}}, "new"},
		"answered without change": {50 * millisecond, EndpointUpdate{Kind: PartialList}, "old"},
		"failed":                  {50 * millisecond, EndpointUpdate{Kind: ListFailed}, "old"},
		"silent":                  {firstListHold, TimerFired{}, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(Config{Seed: 1, Couriers: 1, Slots: 5, MaxAttempts: 3, Tick: 5 * millisecond, IdleTimeout: 5 * second, SlowStart: 10 * second,
				Classes: []Class{{Objective: second, TimeToLive: 20 * second, Priority: 1}}, EndpointTypes: []EndpointType{{MaxPerCall: 1}}})
			held := MessageRecovered{MessageAccepted: MessageAccepted{Message: "held", Destination: 1, Deadline: 20 * second}}
			started := d.Handle(0, []Event{EndpointUpdate{Kind: CachedList, Entries: []EndpointEntry{entry}}, held, ListAwaited{}})
			if sent, polls := sendsAndPolls(started); len(sent) > 0 || len(polls) != 1 || !polls[0].Immediate {
				t.Errorf("at the start: sent to %v, polls %+v; want one poll for an answer at once", sent, polls)
			}
			if sent, _ := sendsAndPolls(d.Handle(tc.at-1, []Event{TimerFired{}})); len(sent) > 0 || d.MayCall(tc.at-1) {
				t.Errorf("sent to %v before the first poll ended", sent)
			}
			if sent, _ := sendsAndPolls(d.Handle(tc.at, []Event{tc.event})); len(sent) != 1 || sent[0] != tc.endsAt {
				t.Errorf("sent to %v after it, want %s", sent, tc.endsAt)
			}
		})
	}
}

// sendsAndPolls returns the endpoints that messages were sent to, and the polls.
func sendsAndPolls(actions []Action) (endpoints []EndpointID, polls []WatchEndpoints) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			endpoints = append(endpoints, a.Endpoint)
		case WatchEndpoints:
			polls = append(polls, a)
		}
	}
	return endpoints, polls
}
