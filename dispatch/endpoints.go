package dispatch

import "slices"

// Destinations, their endpoints and endpoint groups, as the list has them and as calls to them went. No decision is made in
// this file.

// destination is a receiver of messages, with its queue.
type destination struct {
	id           DestinationID
	endpointType EndpointType
	typeIndex    int // of its endpoint type, in the sums that are kept by type
	groups       []*endpointGroup
	endpoints    []*endpoint // in rank
	queue        []*message
	calls        int         // in flight
	accepted     decayingSum // messages that were not resubmitted
	urgency      float64     // value that a slot gains there, per microsecond
}

// endpoint is one server of a destination.
type endpoint struct {
	EndpointEntry
	destination  *destination
	group        *endpointGroup
	rank         uint64
	calls        int // in flight
	callCount    decayingSum
	lastAnswer   Micros
	lastCall     Micros
	idleSince    Micros // when a call last left its connection idle; 0 if there is none
	warmingUntil Micros // enabled again by an operator: warm from then on
	failureRun          // of all classes
	classRuns    []failureRun
}

// failureRun counts consecutive failures at an endpoint, and how long it is ejected for them.
type failureRun struct {
	failures     int
	ejectedUntil Micros
}

// endpointGroup is what limits, intervals, Retry-After, outages and breakers are kept for: all endpoints of a destination,
// or one endpoint where its type has them separate.
type endpointGroup struct {
	destination *destination
	breakers    []breaker  // by class
	inFlight    []*attempt // oldest first

	lastAnswer        Micros
	lastCall          Micros
	lastDelivery      Micros
	lastDeliveredSent Micros // the latest sending of an attempt that was delivered
	lastFailure       Micros // of a call that failed or was throttled

	interval          Micros // between calls, as throttling has shown; see Dispatcher.interval for what holds
	throttledInterval Micros // the interval that was last throttled
	widenedAt         Micros
	retryAfterUntil   Micros
	draw              float64 // uniform in [0, 1): its place among the couriers with the same Retry-After
	throttleSigns     int     // consecutive ones

	durations    decayingSum // in microseconds
	deliveries   decayingSum
	countedSince Micros

	outage       bool // and no delivery since
	outageAt     Micros
	failureSigns int // consecutive signs of an outage
	warmingUp    bool
	warmingSince Micros
	usualRate    float64 // calls a second before the outage

	rate       float64 // calls a second from all couriers, listed or reported; 0 if unknown
	remaining  float64 // share of the limit, as last reported
	reported   bool    // rate and remaining come from load reports
	reportedAt Micros
	quota      QuotaShare // as agreed among couriers

	recent         bool // in Dispatcher.recentGroups
	totalCalls     int
	totalDelivered int
	totalThrottled int
}

// crowding counts connections refused by full connection tables, among those and the deliveries.
type crowding struct {
	decayingSum
	lastCounted Micros
	active      bool
}

type breakerState int

const (
	breakerClosed breakerState = iota
	breakerOpen
	breakerHalfOpen
)

func (s breakerState) String() string { return [...]string{"closed", "open", "half-open"}[s] }

// breaker is the circuit breaker of a class at a group.
type breaker struct {
	state     breakerState
	failures  int // consecutive ones
	openUntil Micros
	changedAt Micros // of the state
	usedAt    Micros
	trial     *attempt // the one attempt that a half-open breaker allows
}

// destination returns a destination, which it makes where it is not known yet.
func (d *Dispatcher) destination(id DestinationID) *destination {
	known := d.destinations[id]
	if known == nil {
		known = &destination{id: id}
		d.destinations[id] = known
	}
	return known
}

// newEndpoint adds an endpoint to its destination, in a group of its own where endpoints are separate.
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
		lastCall:     -second,
		lastFailure:  -never / 2,
		breakers:     make([]breaker, len(d.config.Classes)),
		quota:        QuotaShare{Granted: maxGranted, GrantedUntil: d.config.GrantedUntil},
	}
}

// applyList takes over the entries of the endpoint list, or the changes of a partial one.
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

// observeReport takes in the load report and the Retry-After of an answer. Either may come with any outcome, as an answer
// for several messages has one beside the outcome of each.
func (d *Dispatcher) observeReport(event AttemptFinished, group *endpointGroup) {
	left, rate, report := d.config.ReportRemainingIndex, d.config.ReportRateIndex, event.LoadReport
	if min(left, rate) >= 0 && len(report) > max(left, rate) && report[rate] > 0 {
		group.rate, group.remaining, group.reported, group.reportedAt = report[rate], report[left], true, d.now
	}
	if event.RetryAfter > 0 {
		until := d.now + event.RetryAfter + d.config.Tick
		group.retryAfterUntil, group.draw = max(group.retryAfterUntil, until), d.rng.Float64()
	}
}

// Avoided reports whether an endpoint gets no new message now: unknown, draining, removed, disabled by an operator, ejected,
// or with no breaker closed for a class that is not ejected. It changes nothing.
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

// prune forgets endpoints that were removed from the list and idle for so long, and destinations with nothing left.
func (d *Dispatcher) prune(idle Micros) {
	d.forgetIdleGroups()
	for _, destination := range d.destinations {
		d.pruneEndpoints(destination, idle)
		wanted := len(destination.endpoints)+len(destination.queue)+destination.calls > 0
		for _, group := range destination.groups {
			wanted = wanted || d.now-group.lastCall <= idle || d.now <= group.retryAfterUntil
		}
		if !wanted {
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

// markRecent puts a group on the list of those that were called recently.
func (d *Dispatcher) markRecent(group *endpointGroup) {
	if !group.recent {
		group.recent = true
		d.recentGroups = append(d.recentGroups, group)
	}
}

// forgetIdleGroups drops groups from that list that were not called for long.
func (d *Dispatcher) forgetIdleGroups() {
	d.recentGroups = slices.DeleteFunc(d.recentGroups, func(group *endpointGroup) bool {
		group.recent = d.now-group.lastCall <= forgetAfter || group.retryAfterUntil > d.now
		return !group.recent
	})
}

// earliestReady is when the first group takes a message, as far as is known.
func (d *Dispatcher) earliestReady(message *message) Micros {
	at := never
	for _, group := range message.destination.groups {
		at = min(at, d.readyAt(message, group))
	}
	return at
}
