package dispatch

import "math/rand"

// When the endpoint list is polled again after a poll that came to nothing, and how long it may be trusted meanwhile. A watch that
// is well goes on without a decision.

const (
	// ListDeadline is when a change counts as known at the latest, after discovery had it and could be reached.
	ListDeadline = 6 * second
	// listHold bounds how long calls wait for a list that may lack a change past its deadline: discovery that is down tells nothing
	// that counts, and destinations are to be served meanwhile. It allows for one more poll that is silent, 2.4 s, and one that is not.
	listHold = 3 * second

	// Polls that failed are repeated after 0.05 to 0.15 s twice: what went before may have taken most of the deadline. The longest
	// pause, 0.6 to 1.8 s, leaves three polls and more to each span of the deadline, and a server that comes back one call from each
	// courier in a second and more.
	firstListRetry = second / 10
	maxListRetry   = 12 * second / 10
	// Answers of which a part could not be used are asked for again sooner, as they are no sign of a server that is overloaded.
	firstListReread = second * 3 / 100
	maxListReread   = second
	// rereadsByVersion is how many times what is newer is asked for again before the whole list is.
	rereadsByVersion = 1
	// Entries that the source confirms and this configuration cannot use are looked at again ever more rarely.
	firstUnusableReread = 5 * second
	maxUnusableReread   = 60 * second
)

// listing is how current the endpoint list is.
type listing struct {
	pollAt     Micros // when to poll; never while a poll is out
	currentAt  Micros // when nothing was missing in the list
	failures   int    // polls in a row that brought nothing
	incomplete int    // polls in a row of which a part could not be used
	uncertain  bool   // since then a poll was not answered in time, or not such that all of it could be used
	unusable   int    // times in a row that the source confirmed entries that cannot be used
}

// failed decides when to poll after a poll that brought nothing; silent is whether it was not answered in time.
//
// Incident: after a silent watch had taken 5.5 s of the deadline, one refused poll began a pause of 1 to 4 s, and a drain was
// heeded past its grace. The pause goes by the failures in a row, and its longest by the deadline.
func (l *listing) failed(now Micros, silent bool, rng *rand.Rand) {
	l.failures++
	l.uncertain = l.uncertain || silent
	pause := min(firstListRetry<<min(max(0, l.failures-2), 10), maxListRetry)
	l.pollAt = now + pause/2 + Micros(rng.Int63n(int64(pause)))
}

// read takes in that a list was read.
func (l *listing) read(now Micros, event EndpointUpdate) {
	if event.Kind == CachedList { // it says nothing of what was polled
		l.currentAt = now
		return
	}
	l.pollAt, l.failures = never, 0
	if event.Incomplete {
		l.uncertain = true
		l.pollAt = now + min(firstListReread<<min(l.incomplete, 10), maxListReread)
		l.incomplete++
		return
	}
	l.currentAt, l.uncertain, l.incomplete = now, false, 0
	if !event.Unusable {
		l.unusable = 0
		return
	}
	l.pollAt = now + min(firstUnusableReread<<min(l.unusable, 10), maxUnusableReread)
	l.unusable++
}

// poll returns the poll that is due. After a failure it is answered at once, so that silence shows.
func (l *listing) poll() WatchEndpoints {
	l.pollAt = never
	return WatchEndpoints{Whole: l.incomplete > rereadsByVersion || l.unusable > 0, Immediate: l.failures+l.incomplete > 0}
}

// overdue reports whether the list may lack a change past its deadline, and until when that holds calls back.
func (l *listing) overdue(now Micros) (until Micros, overdue bool) {
	from := l.currentAt + ListDeadline
	return from + listHold, l.uncertain && now >= from && now < from+listHold
}

// updateEndpoints takes over the endpoint list or changes of it, or schedules a poll after a failed one.
func (d *Dispatcher) updateEndpoints(event EndpointUpdate) {
	if event.Kind == ListFailed || event.Kind == ListTimedOut {
		d.listing.failed(d.now, event.Kind == ListTimedOut, d.rng)
		return
	}
	d.listing.read(d.now, event)
	d.applyList(event)
	d.prune(forgetAfter)
}

// MayCall reports whether the endpoint list is current enough for a call to leave now. Incident: see listing.failed; a call whose
// connection comes up late must not leave either.
func (d *Dispatcher) MayCall(now Micros) bool {
	_, overdue := d.listing.overdue(now)
	return !overdue
}
