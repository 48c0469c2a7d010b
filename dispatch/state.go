package dispatch

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// What a dispatcher remembers, and the bookkeeping of it. No decision is made in this file.

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
	never       Micros = math.MaxInt64
)

// Dispatcher decides for one courier. It is not safe for concurrent use: one goroutine owns it.
type Dispatcher struct {
	config  Config
	rng     *rand.Rand
	now     Micros
	actions []Action // of the present call of Handle

	messages       map[MessageID]*message
	unfinished     int            // messages without a final answer
	queueAllowance int            // messages that were held when a lower queue limit came: none is given up for that
	waiting        []*destination // those with queued messages, by id
	keys           map[OrderingKey]*keyOrder
	restingKeys    []*keyOrder // without messages, and held for a while

	destinations map[DestinationID]*destination
	endpoints    map[EndpointID]*endpoint
	disabled     map[EndpointID]bool // by an operator, whatever the list says
	recentGroups []*endpointGroup    // called recently, in the order of their first call

	inFlight      []*attempt // oldest first
	callsInFlight int        // slots in use

	tenantQuotas  []decayingSum   // tokens of each tenant, in sum
	priorDuration Micros          // expected duration of a call before any was seen
	durations     decayingSum     // of calls to all groups, in microseconds
	lostCalls     [10]decayingSum // calls without an answer, by the idle time of their connection; the first are new ones
	throttled     []decayingSum   // throttled calls among those answered, by endpoint type
	crowding      []crowding      // by endpoint type
	maxPriority   float64         // highest priority weight of a class
	maxLossRate   float64         // highest loss rate of a class, per microsecond

	nextDue    Micros // when a queued message may next be sent or given up
	timerAt    Micros // the earliest timer that was set
	listing    listing
	local      localFault
	shutdownAt Micros

	shadowed bool       // owned by a Shadow, which undoes actions
	finished []*message // finished since the Shadow last looked
}

// newDispatcher returns a dispatcher that has seen nothing.
func newDispatcher(config Config) *Dispatcher {
	d := &Dispatcher{
		config:       config,
		rng:          rand.New(rand.NewSource(config.Seed)),
		messages:     map[MessageID]*message{},
		destinations: map[DestinationID]*destination{},
		endpoints:    map[EndpointID]*endpoint{},
		disabled:     map[EndpointID]bool{},
		keys:         map[OrderingKey]*keyOrder{},
		tenantQuotas: make([]decayingSum, len(config.Tenants)),
		throttled:    make([]decayingSum, len(config.EndpointTypes)+1),
		crowding:     make([]crowding, len(config.EndpointTypes)+1),
		timerAt:      never,
		listing:      listing{pollAt: never},
		shutdownAt:   never,
	}
	if config.MustPoll {
		d.listing.pollAt = 0
	}
	return d
}

// handleEvent takes in one event.
func (d *Dispatcher) handleEvent(event Event) {
	switch e := event.(type) {
	case MessageAccepted:
		d.accept(e)
	case MessageRecovered:
		d.recoverMessage(e)
	case AttemptFinished:
		d.local.clear(e.Outcome)
		d.attemptFinished(e)
	case AttemptUnsent:
		d.attemptUnsent(e)
	case ShutdownScheduled:
		d.shutdownAt = e.At
	case SnapshotRestored:
		d.restore(e.Snapshot)
	case Reconfigured:
		d.reconfigure(e.Config)
	case QuotaChanged:
		d.applyShares(e)
	case MaintenanceChanged:
		d.setDisabled(e)
	case MessageCanceled:
		d.finish(d.messages[e.Message])
	case EndpointUpdate:
		d.updateEndpoints(e)
	}
}

func (d *Dispatcher) emit(action Action) { d.actions = append(d.actions, action) }

// scheduleAt has Handle called at an instant, or before.
func (d *Dispatcher) scheduleAt(at Micros) { d.nextDue = min(d.nextDue, at) }

// reconfigure replaces the configuration. Accepted messages keep the class that they were accepted with. Fewer slots end no
// call, and a lower queue limit gives up no message that is queued already.
func (d *Dispatcher) reconfigure(config Config) {
	d.config, d.queueAllowance = config, d.unfinished
	d.measureClasses()
	d.growTables()
}

// measureClasses finds the highest priority weight and the highest loss rate of all classes.
func (d *Dispatcher) measureClasses() {
	d.maxPriority, d.maxLossRate = 0, 0
	for _, class := range d.config.Classes {
		d.maxPriority, d.maxLossRate = max(d.maxPriority, class.Priority), max(d.maxLossRate, d.lossRate(&class))
	}
}

// growTables makes room for the classes, endpoint types and tenants that a new configuration adds.
func (d *Dispatcher) growTables() {
	for _, destination := range d.destinations {
		d.growDestination(destination)
	}
	d.tenantQuotas = grown(d.tenantQuotas, len(d.config.Tenants))
	d.throttled = grown(d.throttled, len(d.config.EndpointTypes)+1)
	d.crowding = grown(d.crowding, len(d.config.EndpointTypes)+1)
}

func (d *Dispatcher) growDestination(destination *destination) {
	classes := len(d.config.Classes)
	for _, group := range destination.groups {
		group.breakers = grown(group.breakers, classes)
	}
	for _, endpoint := range destination.endpoints {
		endpoint.classRuns = grown(endpoint.classRuns, classes)
		if i := int(endpoint.Type); i < len(d.config.EndpointTypes) {
			// Whether endpoints are separate groups stays as it was when the groups were made.
			destination.endpointType.MaxPerCall = d.config.EndpointTypes[i].MaxPerCall
		}
	}
}

// grown returns a slice with zero items added up to a length.
func grown[T any](list []T, length int) []T {
	return append(list, make([]T, max(0, length-len(list)))...)
}

// without removes all occurrences of an item from a slice, in place.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}

// message is an accepted message until its final answer, or until its last attempt has finished.
type message struct {
	id          MessageID
	destination *destination
	classID     ClassID
	class       *Class
	objectiveAt Micros // when its latency objective is over
	deadline    Micros
	priority    float64 // weight, lowered where its tenant is over quota
	draw        float64 // uniform in [0, 1): its place among the messages of all couriers
	loss        float64 // of value, by waiting another second
	order       *keyOrder
	orderIndex  int // its place in order when it was removed
	attempts    []*attempt
	inFlight    int // attempts without an outcome
	throttled   int // attempts that were throttled
	unsent      int // attempts that never left this machine
	ended       bool
	queued      bool
	mayHaveRun  bool
	ranAt       Micros // when the first attempt that may have run was sent
	ranZone     ZoneID
	untried     bool      // recovered, and nothing had run
	failedAt    *endpoint // of the last failed attempt
}

// newMessage returns a message as it was accepted.
func newMessage(event MessageAccepted, destination *destination, class *Class, draw float64) *message {
	return &message{
		id:          event.Message,
		destination: destination,
		classID:     event.Class,
		class:       class,
		objectiveAt: min(event.Deadline-class.TimeToLive+class.Objective, event.Deadline),
		deadline:    event.Deadline,
		priority:    class.Priority,
		draw:        draw,
	}
}

// hold keeps a message that was accepted, and queues it.
func (d *Dispatcher) hold(message *message) {
	d.messages[message.id] = message
	d.unfinished++
	d.enqueue(message)
}

// recover takes on a message from before a restart, with its attempts until then; nil if it cannot be used.
func (d *Dispatcher) recover(event MessageRecovered) *message {
	d.accept(event.MessageAccepted)
	message := d.messages[event.Message]
	if message == nil {
		return nil
	}
	for i, past := range event.Attempts {
		if endpoint := d.endpoints[past.Endpoint]; past.InFlight && endpoint != nil {
			d.resumeAttempt(message, endpoint, past.SentAt)
			continue
		}
		message.attempts = append(message.attempts, &attempt{message: message, sentAt: past.SentAt, finished: true})
		d.noteMayHaveRun(message, past.Outcome, past.SentAt, past.Zone)
		if i == len(event.Attempts)-1 {
			d.observePast(past)
		}
	}
	message.untried = !message.mayHaveRun && message.inFlight == 0
	return message
}

// noteMayHaveRun notes whether a message was throttled, or may have run and perhaps still runs.
func (d *Dispatcher) noteMayHaveRun(message *message, outcome Outcome, sentAt Micros, zone ZoneID) {
	if outcome == Throttled {
		message.throttled, message.failedAt = message.throttled+1, nil
	} else if outcome != Unreachable && outcome != Unprocessed && !message.mayHaveRun {
		message.mayHaveRun, message.ranAt, message.ranZone = true, sentAt, zone
	}
	if message.order != nil && (outcome == TimedOut || outcome == Broken || outcome == Canceled) {
		message.order.holdUntil = max(message.order.holdUntil, d.now+d.config.KeyCooldown+d.config.Tick)
	}
}

func (d *Dispatcher) enqueue(message *message) {
	message.queued = true
	message.destination.queue = append(message.destination.queue, message)
	byID := func(destination *destination, id DestinationID) int { return cmp.Compare(destination.id, id) }
	if i, found := slices.BinarySearchFunc(d.waiting, message.destination.id, byID); !found {
		d.waiting = slices.Insert(d.waiting, i, message.destination)
	}
}

func (d *Dispatcher) dequeue(message *message) {
	if !message.queued {
		return
	}
	message.queued = false
	queue := &message.destination.queue
	if i := slices.Index(*queue, message); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	}
}

// dropEmptyQueues drops the destinations that have no queued messages.
func (d *Dispatcher) dropEmptyQueues() {
	d.waiting = slices.DeleteFunc(d.waiting, func(destination *destination) bool { return len(destination.queue) == 0 })
}

// finish ends a message that has its final answer. It is remembered until its attempts in flight have finished.
func (d *Dispatcher) finish(message *message) {
	if message == nil || message.ended {
		return
	}
	message.ended = true
	if d.shadowed {
		d.finished = append(d.finished, message)
	}
	d.unfinished--
	d.dequeue(message)
	d.forgetFinished(message)
}

// forgetFinished forgets a message that is finished, with its ordering key where that is done with.
func (d *Dispatcher) forgetFinished(message *message) {
	if !message.ended || message.inFlight > 0 {
		return
	}
	delete(d.messages, message.id)
	order := message.order
	order.remove(message)
	switch {
	case order == nil || len(order.messages) > 0:
	case d.now >= order.holdUntil:
		delete(d.keys, order.key)
	default:
		d.restingKeys = append(d.restingKeys, order)
	}
}

// decayingSum is an exponentially decaying sum; it is brought up to date when it is read.
type decayingSum struct {
	weight, sum float64 // count of values, and their sum
	at          Micros
}

// decay brings the sum up to date, with over as the time in which it decays to 1/e, and returns it.
func (s *decayingSum) decay(now, over Micros) *decayingSum {
	if now > s.at {
		left := math.Exp(-float64(now-s.at) / float64(over))
		s.weight, s.sum, s.at = s.weight*left, s.sum*left, now
	}
	return s
}

func (s *decayingSum) add(now, over Micros, value float64) {
	s.decay(now, over)
	s.weight, s.sum = s.weight+1, s.sum+value
}
