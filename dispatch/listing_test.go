package dispatch

import (
	"math/rand"
	"testing"
)

// pauseOf returns how long after an update the list is polled again; never where it is not.
func retryPause(l *listStatus) Micros { return l.pollAt } // updates here come at 0

// TestIncompleteListsBackOff: lists of which a part cannot be used are asked for again soon, then ever more slowly, the first time by
// version and from then on whole; one that can be used ends that.
func TestIncompleteListsBackOff(t *testing.T) {
	l := &listStatus{pollAt: never}
	previous := Micros(0)
	for n := range 8 {
		l.update(0, EndpointUpdate{Kind: PartialList, Incomplete: true})
		pause := retryPause(l)
		if pause < previous || pause > maxIncompleteRetry || n == 0 && pause != firstIncompleteRetry || n == 7 && pause != maxIncompleteRetry {
			t.Errorf("incomplete %d times, asked again after %d us", n+1, pause)
		}
		if poll := l.startPoll(); poll.Whole != (n >= incrementalRetries) || !poll.Immediate || l.pollAt != never {
			t.Errorf("incomplete %d times, asked by %+v", n+1, poll)
		}
		previous = pause
	}
	l.update(0, EndpointUpdate{Kind: CompleteList})
	if l.pollAt != never || l.mayLackChanges || l.startPoll() != (WatchEndpoints{}) {
		t.Errorf("after a whole list %+v", l)
	}
}

// TestFailedPollsFitTheDeadline: however many polls were refused, there are three more within the deadline of a change, and after a silent
// watch three before calls are held back; and in the long run a courier polls once in 1.2 s.
func TestFailedPollsFitTheDeadline(t *testing.T) {
	const watch = 5250 * 1000 // until it is given up as silent
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
			t.Errorf("seed %d: %d refused polls after a silent watch, before calls are held back", seed, polls)
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
			t.Errorf("seed %d: %d polls in a minute of failures", seed, polls)
		}
		for n := range 50 {
			pause := l.pollAt - now
			if pause > ListDeadline/3 {
				t.Errorf("seed %d: poll %d came after %d us", seed, n, pause)
			}
			now = l.pollAt
			l.recordFailure(now, rng.Intn(2) == 0, rng)
		}
	}
}

// TestOutdatedListHoldsCalls: after a poll that was not answered, or not such that all of it could be used, calls wait from the deadline
// of a change that may be missing until the list is read, for a bounded time; after polls that were refused, and before any failed,
// they do not.
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
				t.Errorf("%s, at %d us: overdue %v until %d us", name, at, stale, until)
			}
		}
		l.update(second+ListDeadline, EndpointUpdate{Kind: PartialList})
		if _, stale := l.stale(second + ListDeadline); stale {
			t.Errorf("%s: calls wait though the list was read", name)
		}
	}
}

// TestUnusableEntriesBackOff: entries that the source confirms and the configuration cannot use are looked at again after 5 s, then
// ever more rarely, while the watch goes on.
func TestUnusableEntriesBackOff(t *testing.T) {
	l := &listStatus{}
	previous := Micros(0)
	for n := range 8 {
		l.update(0, EndpointUpdate{Kind: CompleteList, Unusable: true})
		pause := retryPause(l)
		if pause < previous || n == 0 && pause != firstUnusableRetry || n == 7 && pause != maxUnusableRetry {
			t.Errorf("unusable %d times, read again after %d us", n+1, pause)
		}
		if !l.startPoll().Whole {
			t.Error("not read whole")
		}
		previous = pause
	}
}
