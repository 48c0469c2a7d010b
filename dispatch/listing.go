package dispatch

import "math/rand"

// This file decides when the endpoint list is polled again after a failed poll, and how long the held list may be
// used meanwhile. A watch without failures continues without decisions here.

const (
	// ListDeadline is the time within which a courier must know a change that discovery has, while discovery is
	// reachable.
	ListDeadline = 6 * second
	// staleListHold bounds how long calls are held back while the list may lack a change for longer than ListDeadline.
	// The bound is short because destinations must be served even while discovery is down. It leaves time for one
	// more poll that times out, after 2.4 s, and one that is answered.
	staleListHold = 3 * second
	// firstListHold bounds how long calls are held back after a start until the first poll is answered. It leaves time for a new
	// connection and an answer over the longest distance, and little is lost where discovery is silent.
	firstListHold = second / 2

	// The first two retries of a failed poll come after 0.05 to 0.15 s each, as the polls before may have taken
	// most of the deadline. The longest pause, 0.6 to 1.8 s, allows at least three polls within each ListDeadline,
	// and a discovery server that returns gets less than one call per second from each courier on average.
	firstListRetry = second / 10
	maxListRetry   = 12 * second / 10
	// maxPushedListRetry gives pauses of 0.125 to 0.375 s: where lists are pushed, a change counts as told once discovery is back, and no
	// call may start to a draining endpoint 0.5 s after that. An agent beside the courier answers these polls, so they are no load on a
	// server of many couriers.
	maxPushedListRetry = second / 4
	// Lists that could be used only in part are requested again sooner, as they are no sign of an overloaded
	// server.
	firstIncompleteRetry = second * 3 / 100
	maxIncompleteRetry   = second
	// incrementalRetries is how many times the changes since the held version are requested again before the whole
	// list is requested.
	incrementalRetries = 1
	// Lists with entries that the source confirms and this configuration cannot use are requested again at growing
	// intervals.
	firstUnusableRetry = 5 * second
	maxUnusableRetry   = 60 * second
)

// listStatus is how current the held endpoint list is.
type listStatus struct {
	pollAt          Micros // when to poll; never while a poll is in progress
	completeAt      Micros // when the last list was received that could be used in full
	failures        int    // consecutive polls that failed
	incompleteReads int    // consecutive polls with a list that could be used only in part
	mayLackChanges  bool   // since completeAt a poll was not answered in time, or its list could be used only in part
	unusableReads   int    // consecutive lists in which the source confirmed entries that cannot be used
	pushed          bool   // discovery pushes changes: what it has counts as told, whether or not a poll is open
	awaitedUntil    Micros // the list is that of an earlier process, and calls wait until then for a newer one; 0 if not
}

// await holds calls back until the first poll has been answered or has failed, and makes it due at once.
//
// Failure: a process that had restarted sent the messages it held by the list of its configuration, some milliseconds before discovery
// answered. An endpoint of another destination had the address of one that had gone, and took them.
func (l *listStatus) await(now Micros) {
	l.awaitedUntil, l.pollAt = now+firstListHold, now
}

// recordFailure schedules the next poll after a failed one. silent is set if the poll was not answered in time.
//
// Incident: an unanswered watch had taken 5.5 s of the deadline, and one refused poll then started a pause of 1 to
// 4 s. A draining endpoint got calls after its grace period. The pause therefore grows only with consecutive
// failures, and its maximum is bound by ListDeadline, or by the grace of drains where lists are pushed.
func (l *listStatus) recordFailure(now Micros, silent bool, rng *rand.Rand) {
	l.failures++
	l.awaitedUntil = 0
	l.mayLackChanges = l.mayLackChanges || silent
	longest := Micros(maxListRetry)
	if l.pushed {
		longest = maxPushedListRetry
	}
	pause := min(firstListRetry<<min(max(0, l.failures-2), 10), longest)
	l.pollAt = now + pause/2 + Micros(rng.Int63n(int64(pause)))
}

// update records that a list was received.
func (l *listStatus) update(now Micros, event EndpointUpdate) {
	if event.Kind == CachedList { // a cached list is no answer to a poll, so the poll schedule stays
		l.completeAt = now
		return
	}
	l.pollAt, l.failures, l.awaitedUntil = never, 0, 0
	if event.Incomplete {
		l.mayLackChanges = true
		l.pollAt = now + min(firstIncompleteRetry<<min(l.incompleteReads, 10), maxIncompleteRetry)
		l.incompleteReads++
		return
	}
	l.completeAt, l.mayLackChanges, l.incompleteReads = now, false, 0
	if !event.Unusable {
		l.unusableReads = 0
		return
	}
	l.pollAt = now + min(firstUnusableRetry<<min(l.unusableReads, 10), maxUnusableRetry)
	l.unusableReads++
}

// startPoll returns the poll that is due. After a failure or a start it requests an answer at once, so that a missing answer
// is noticed early.
func (l *listStatus) startPoll() WatchEndpoints {
	l.pollAt = never
	return WatchEndpoints{Whole: l.incompleteReads > incrementalRetries || l.unusableReads > 0, Immediate: l.failures+l.incompleteReads > 0 || l.awaitedUntil > 0}
}

// stale reports whether the list may lack a change past its deadline, or is still that of an earlier process, and until when calls are held
// back for it.
func (l *listStatus) stale(now Micros) (until Micros, stale bool) {
	if now < l.awaitedUntil {
		return l.awaitedUntil, true
	}
	deadline := l.completeAt + ListDeadline
	return deadline + staleListHold, l.mayLackChanges && now >= deadline && now < deadline+staleListHold
}

// updateEndpoints applies the endpoint list or changes of it, or schedules a poll after a failed one.
func (d *Dispatcher) updateEndpoints(event EndpointUpdate) {
	if event.Kind == ListFailed || event.Kind == ListTimedOut {
		d.listStatus.recordFailure(d.now, event.Kind == ListTimedOut, d.rng)
		return
	}
	d.listStatus.update(d.now, event)
	d.applyList(event)
	d.prune(forgetAfter)
}

// MayCall reports whether the endpoint list is current enough for a call to leave now. This also applies to a call
// whose connection is established late: see the incident at listStatus.recordFailure.
func (d *Dispatcher) MayCall(now Micros) bool {
	_, stale := d.listStatus.stale(now)
	return !stale
}
