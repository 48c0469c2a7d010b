package dispatch

import "slices"

// This file keeps destinations, their endpoints and endpoint groups: their entries on the endpoint list and the results of
// calls to them. It makes no decisions.

// destination is a receiver of messages, with its queue.
type destination struct {
	id           DestinationID
	endpointType EndpointType
	typeIndex    int // index of its endpoint type in tables by type, which have one more entry for unknown types
	groups       []*endpointGroup
	endpoints    []*endpoint // ordered by rank
	queue        []*message
	calls        int         // in flight
	accepted     decayingSum // messages accepted within quota, without resubmissions
	urgency      float64     // value gained per microsecond of slot time by sending the first message
}

// endpoint is one server of a destination.
type endpoint struct {
	EndpointEntry
	destination  *destination
	group        *endpointGroup
	rank         uint64 // rendezvous hash
	calls        int    // in flight
	callCount    decayingSum
	lastAnswer   Micros
	lastCall     Micros
	idleSince    Micros       // when the last call left its connection idle; 0 if no connection is idle
	warmingUntil Micros       // end of the warm-up after an operator enabled it again
	failureRun                // over all classes
	classRuns    []failureRun // by class
}

// failureRun counts consecutive failures at an endpoint, and holds until when it is ejected for them.
type failureRun struct {
	failures     int
	ejectedUntil Micros
}

// endpointGroup is the unit for which limits, intervals, Retry-After, outages and breakers are kept: all endpoints of a
// destination, or a single endpoint if its type is separate.
type endpointGroup struct {
	destination *destination
	breakers    []breaker  // by class
	inFlight    []*attempt // oldest first

	lastAnswer        Micros
	lastCall          Micros
	lastDelivery      Micros
	lastDeliveredSent Micros // latest send time of a delivered attempt
	lastFailure       Micros // when an attempt last failed or was throttled

	interval          Micros // between calls, adapted to throttling; Dispatcher.interval returns the one that applies
	throttledInterval Micros // interval at the last throttling
	widenedAt         Micros // when widenInterval last changed the interval
	retryAfterUntil   Micros
	retryAfterJitter  float64 // uniform in [0, 1): spreads couriers with the same Retry-After
	throttleSigns     int     // consecutive throttled attempts, as signs of an outage

	durations    decayingSum // in microseconds
	deliveries   decayingSum
	countedSince Micros // start of the counts

	outage       bool // an outage was marked and there was no delivery since
	outageAt     Micros
	failureSigns int // consecutive failures, as signs of an outage
	warmingUp    bool
	warmingSince Micros
	usualRate    float64 // deliveries per second before the outage

	rate       float64 // limit in calls per second from all couriers, listed or reported; 0 if unknown
	remaining  float64 // share of the limit that is left, as last reported
	reported   bool    // rate and remaining come from load reports
	reportedAt Micros
	quota      QuotaShare // as agreed among couriers

	inRecentGroups bool // the group is in Dispatcher.recentGroups
	totalCalls     int
	totalDelivered int
	totalThrottled int
}

// refusalStats holds the share of connections that were refused by full connection tables, among refusals and deliveries.
type refusalStats struct {
	decayingSum
	lastCounted Micros // when a refusal was last counted
	tablesFull  bool   // the share was above the threshold at the last check of shouldCloseIdle
}

type breakerState int

const (
	breakerClosed breakerState = iota
	breakerOpen
	breakerHalfOpen
)

func (s breakerState) String() string { return [...]string{"closed", "open", "half-open"}[s] }

// breaker is the circuit breaker of one class at one group.
type breaker struct {
	state     breakerState
	failures  int // consecutive failures
	openUntil Micros
	changedAt Micros // when the state last changed
	usedAt    Micros
	trial     *attempt // the only attempt that a half-open breaker allows
}

// destination returns the destination with an ID, and creates it if it is not known yet.
func (d *Dispatcher) destination(id DestinationID) *destination {
	known := d.destinations[id]
	if known == nil {
		known = &destination{id: id}
		d.destinations[id] = known
	}
	return known
}

// newEndpoint adds an endpoint to its destination, in its own group if the endpoint type is separate.
func (d *Dispatcher) newEndpoint(entry EndpointEntry, destination *destination, rank uint64) *endpoint {
	added := &endpoint{EndpointEntry: entry, destination: destination, rank: rank, lastAnswer: -never / 2, classRuns: d.newFailureRuns()}
	if destination.endpointType.Separate || len(destination.groups) == 0 {
		destination.groups = append(destination.groups, d.newGroup(destination))
	}
	added.group = destination.groups[len(destination.groups)-1]
	d.endpoints[entry.Endpoint] = added
	destination.endpoints = append(destination.endpoints, added)
	return added
}

func (d *Dispatcher) newFailureRuns() []failureRun { return make([]failureRun, len(d.config.Classes)) }

func (d *Dispatcher) newGroup(destination *destination) *endpointGroup {
	return &endpointGroup{
		destination:  destination,
		countedSince: d.now,
		lastDelivery: d.now,
		lastCall:     -second,    // no call yet
		lastFailure:  -never / 2, // no failure yet
		breakers:     make([]breaker, len(d.config.Classes)),
		quota:        QuotaShare{Granted: maxGranted, GrantedUntil: d.config.GrantedUntil},
	}
}

// applyList applies the entries of a whole endpoint list, or the changes of a partial one.
func (d *Dispatcher) applyList(event EndpointUpdate) {
	if event.Kind != PartialList {
		for _, endpoint := range d.endpoints {
			endpoint.Phase = Removed
		}
	}
	for _, entry := range event.Entries {
		endpoint := d.endpoints[entry.Endpoint]
		if endpoint == nil {
			endpoint = d.addEndpoint(entry)
		}
		endpoint.EndpointEntry = entry
		if d.config.RateQuality != NoRates && entry.Rate > 0 && !endpoint.group.reported {
			endpoint.group.rate = entry.Rate
		}
	}
}

// observeReport records the load report and the Retry-After of an answer. Either may come with any outcome, as an answer for
// several messages has one report and one Retry-After beside the outcome of each message.
func (d *Dispatcher) observeReport(event AttemptFinished, group *endpointGroup) {
	left, rate, report := d.config.ReportRemainingIndex, d.config.ReportRateIndex, event.LoadReport
	if min(left, rate) >= 0 && len(report) > max(left, rate) && report[rate] > 0 {
		group.rate, group.remaining, group.reported, group.reportedAt = report[rate], report[left], true, d.now
	}
	if event.RetryAfter > 0 {
		d.extendRetryAfter(group, event.RetryAfter)
	}
}

// extendRetryAfter records a Retry-After of a group that was received now.
func (d *Dispatcher) extendRetryAfter(group *endpointGroup, retryAfter Micros) {
	until := d.now + retryAfter + d.config.Tick
	group.retryAfterUntil, group.retryAfterJitter = max(group.retryAfterUntil, until), d.rng.Float64()
}

// Avoided reports whether an endpoint gets no new messages now. This is so if it is unknown, draining, removed, disabled by an
// operator or ejected, or if for every class the group's breaker is not closed or the endpoint is ejected. Avoided changes no
// state.
func (d *Dispatcher) Avoided(now Micros, id EndpointID) bool {
	endpoint := d.endpoints[id]
	if endpoint == nil || endpoint.Phase != InService || d.disabled[id] || endpoint.ejectedUntil > now {
		return true
	}
	for class, breaker := range endpoint.group.breakers {
		if breaker.state == breakerClosed && endpoint.classRuns[class].ejectedUntil <= now {
			return false
		}
	}
	return len(endpoint.group.breakers) > 0
}

// prune drops endpoints that were removed from the list and whose group had no call for longer than idle, and destinations that
// are no longer in use. waiting may hold destinations whose queue has become empty in this step; they are removed from it first, as
// it must not keep a destination that is dropped.
func (d *Dispatcher) prune(idle Micros) {
	d.dropEmptyQueues()
	d.forgetIdleGroups()
	for _, destination := range d.destinations {
		d.pruneEndpoints(destination, idle)
		inUse := len(destination.endpoints)+len(destination.queue)+destination.calls > 0
		for _, group := range destination.groups {
			inUse = inUse || d.now-group.lastCall <= idle || d.now <= group.retryAfterUntil
		}
		if !inUse {
			delete(d.destinations, destination.id)
		}
	}
}

func (d *Dispatcher) pruneEndpoints(destination *destination, idle Micros) {
	unused := func(endpoint *endpoint) bool {
		group := endpoint.group
		return endpoint.Phase == Removed && endpoint.calls == 0 && d.now-group.lastCall > idle && d.now > group.retryAfterUntil
	}
	for _, endpoint := range destination.endpoints {
		if !unused(endpoint) {
			continue
		}
		delete(d.endpoints, endpoint.Endpoint)
		if destination.endpointType.Separate {
			destination.groups = without(destination.groups, endpoint.group)
		}
	}
	destination.endpoints = slices.DeleteFunc(destination.endpoints, unused)
}

// markRecent adds a group to the recently called groups.
func (d *Dispatcher) markRecent(group *endpointGroup) {
	if !group.inRecentGroups {
		group.inRecentGroups = true
		d.recentGroups = append(d.recentGroups, group)
	}
}

// forgetIdleGroups removes groups from the recently called groups that were not called for forgetAfter and whose Retry-After
// has passed.
func (d *Dispatcher) forgetIdleGroups() {
	d.recentGroups = slices.DeleteFunc(d.recentGroups, func(group *endpointGroup) bool {
		group.inRecentGroups = d.now-group.lastCall <= forgetAfter || group.retryAfterUntil > d.now
		return !group.inRecentGroups
	})
}

// earliestReady returns when the first group of a destination may get a message, as far as is known.
func (d *Dispatcher) earliestReady(message *message) Micros {
	at := never
	for _, group := range message.destination.groups {
		at = min(at, d.readyAt(message, group))
	}
	return at
}
