package dispatch

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// This file holds the state of a dispatcher and the functions that maintain it. It makes no decisions.

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
	never       Micros = math.MaxInt64
)

// Dispatcher makes the decisions of one courier. It is not safe for concurrent use: one goroutine owns it.
type Dispatcher struct {
	config  Config
	rng     *rand.Rand
	now     Micros
	actions []Action // of the current call of Handle

	messages       map[MessageID]*message
	unfinished     int            // messages without a final answer
	queueAllowance int            // number of messages that a lowered queue limit tolerates; falls as messages end
	waiting        []*destination // destinations with queued messages, ordered by ID
	keys           map[OrderingKey]*keyOrder
	idleHeldKeys   []*keyOrder // keys that have no messages but are still held

	destinations map[DestinationID]*destination
	endpoints    map[EndpointID]*endpoint
	disabled     map[EndpointID]bool // by an operator, regardless of the list
	recentGroups []*endpointGroup    // called recently, in the order in which they were added

	inFlight      []*attempt // oldest first
	callsInFlight int        // slots in use

	tenantQuotas       []decayingSum   // token bucket of each tenant; its sum is the number of tokens
	priorDuration      Micros          // expected duration of a call before any was observed: half the shortest objective, at most 1 s
	durations          decayingSum     // of calls to all groups, in microseconds
	lostCalls          [10]decayingSum // share of broken calls and lost answers, by idle bucket; see idleBucketOf
	throttled          []decayingSum   // share of throttled calls among delivered and throttled ones, by endpoint type
	connectionRefusals []refusalStats  // by full connection tables, by endpoint type
	maxPriority        float64         // highest priority weight of a class
	maxValueLossRate   float64         // highest value loss rate of a class, per microsecond

	nextDue    Micros // next instant at which a queued message may be sent or given up
	timerAt    Micros // earliest timer that is set
	listStatus listStatus
	localFault localFault
	shutdownAt Micros

	shadowed bool       // owned by a Shadow, which may undo actions
	finished []*message // messages that ended during Shadow.Observe, so that it can undo that
}

// newDispatcher returns a dispatcher that has processed no events.
func newDispatcher(config Config) *Dispatcher {
	d := &Dispatcher{
		config:             config,
		rng:                rand.New(rand.NewSource(config.Seed)),
		messages:           map[MessageID]*message{},
		destinations:       map[DestinationID]*destination{},
		endpoints:          map[EndpointID]*endpoint{},
		disabled:           map[EndpointID]bool{},
		keys:               map[OrderingKey]*keyOrder{},
		tenantQuotas:       make([]decayingSum, len(config.Tenants)),
		throttled:          make([]decayingSum, len(config.EndpointTypes)+1),
		connectionRefusals: make([]refusalStats, len(config.EndpointTypes)+1),
		timerAt:            never,
		listStatus:         listStatus{pollAt: never, pushed: !config.MustPoll},
		shutdownAt:         never,
	}
	if config.MustPoll {
		d.listStatus.pollAt = 0
	}
	return d
}

// handleEvent processes one event.
func (d *Dispatcher) handleEvent(event Event) {
	switch e := event.(type) {
	case MessageAccepted:
		d.accept(e)
	case MessageRecovered:
		d.recoverMessage(e)
	case AttemptFinished:
		d.localFault.clear(e.Outcome)
		d.attemptFinished(e)
	case AttemptUnsent:
		d.attemptUnsent(e)
	case RetryAfterReceived:
		if endpoint := d.endpoints[e.Endpoint]; endpoint != nil {
			d.extendRetryAfter(endpoint.group, e.RetryAfter)
		}
	case ShutdownScheduled:
		d.shutdownAt = e.At
	case SnapshotRestored:
		d.restore(e.Snapshot)
	case Reconfigured:
		d.reconfigure(e.Config)
	case QuotaChanged:
		d.applyShares(e)
	case ListAwaited:
		d.listStatus.await(d.now)
	case MaintenanceChanged:
		d.setDisabled(e)
	case MessageCanceled:
		d.finish(d.messages[e.Message])
	case EndpointUpdate:
		d.updateEndpoints(e)
	}
}

func (d *Dispatcher) emit(action Action) { d.actions = append(d.actions, action) }

// scheduleAt requests a timer, so that Handle is called at an instant at the latest.
func (d *Dispatcher) scheduleAt(at Micros) { d.nextDue = min(d.nextDue, at) }

// reconfigure replaces the configuration. Messages keep the class configuration with which they were accepted. With fewer
// slots no call in flight is ended, and with a lower queue limit no message that is already queued is given up.
func (d *Dispatcher) reconfigure(config Config) {
	d.config, d.queueAllowance = config, d.unfinished
	d.updateClassMaxima()
	d.extendTables()
}

// updateClassMaxima updates the highest priority weight and the highest value loss rate of all classes.
func (d *Dispatcher) updateClassMaxima() {
	d.maxPriority, d.maxValueLossRate = 0, 0
	for _, class := range d.config.Classes {
		d.maxPriority, d.maxValueLossRate = max(d.maxPriority, class.Priority), max(d.maxValueLossRate, d.valueLossRate(&class))
	}
}

// extendTables extends tables for the classes, endpoint types and tenants that a new configuration adds.
func (d *Dispatcher) extendTables() {
	for _, destination := range d.destinations {
		d.extendDestination(destination)
	}
	d.tenantQuotas = extended(d.tenantQuotas, len(d.config.Tenants))
	d.throttled = extended(d.throttled, len(d.config.EndpointTypes)+1)
	d.connectionRefusals = extended(d.connectionRefusals, len(d.config.EndpointTypes)+1)
}

func (d *Dispatcher) extendDestination(destination *destination) {
	classes := len(d.config.Classes)
	for _, group := range destination.groups {
		group.breakers = extended(group.breakers, classes)
	}
	for _, endpoint := range destination.endpoints {
		endpoint.classRuns = extended(endpoint.classRuns, classes)
		if i := int(endpoint.Type); i < len(d.config.EndpointTypes) {
			// The reconfiguration leaves Separate as it is, as the groups were formed by it.
			destination.endpointType.MaxPerCall = d.config.EndpointTypes[i].MaxPerCall
		}
	}
}

// extended returns a slice that is extended to a length with zero values.
func extended[T any](list []T, length int) []T {
	return append(list, make([]T, max(0, length-len(list)))...)
}

// without removes all occurrences of an item from a slice, in place.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}

// message is an accepted message. It is kept until it has its final answer and all its attempts have finished.
type message struct {
	id             MessageID
	destination    *destination
	classID        ClassID
	class          *Class
	objectiveAt    Micros // end of the latency objective
	deadline       Micros
	sharedSize     int     // bytes that it takes in a call with others
	priority       float64 // weight, reduced if its tenant was over quota
	sample         float64 // uniform in [0, 1): selects messages that are sent at once; see Dispatcher.readyAt
	valueLoss      float64 // loss of value if the answer comes one second later than expected
	order          *keyOrder
	orderIndex     int // index in order.messages before the message was removed from it
	attempts       []*attempt
	inFlight       int  // attempts without an outcome
	throttled      int  // attempts that were throttled
	unsent         int  // attempts that were not sent because of a local fault
	ended          bool // it has its final answer
	queued         bool
	mayHaveRun     bool
	ranAt          Micros // when the first attempt that may have run was sent
	ranZone        ZoneID
	recoveredUnrun bool      // recovered after a restart, and no attempt before it may have run
	avoidEndpoint  *endpoint // endpoint of the last finished attempt, avoided for the next; nil if there was none or it was throttled
}

// newMessage returns a message in its state at acceptance.
func newMessage(event MessageAccepted, destination *destination, class *Class, sample float64) *message {
	return &message{
		id:          event.Message,
		destination: destination,
		classID:     event.Class,
		class:       class,
		objectiveAt: min(event.Deadline-class.TimeToLive+class.Objective, event.Deadline),
		deadline:    event.Deadline,
		sharedSize:  event.SharedSize,
		priority:    class.Priority,
		sample:      sample,
	}
}

// addMessage registers an accepted message and queues it.
func (d *Dispatcher) addMessage(message *message) {
	d.messages[message.id] = message
	d.unfinished++
	d.enqueue(message)
}

// recover restores a message from before a restart with its past attempts; nil if it cannot be accepted.
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
		d.recordAttemptEffect(message, past.Outcome, past.SentAt, past.Zone)
		if i == len(event.Attempts)-1 {
			d.observePastAttempt(past)
		}
	}
	message.recoveredUnrun = !message.mayHaveRun && message.inFlight == 0
	return message
}

// recordAttemptEffect counts a throttled attempt of a message, or records that the attempt may have run. If the attempt may
// still run, the ordering key of the message is held.
func (d *Dispatcher) recordAttemptEffect(message *message, outcome Outcome, sentAt Micros, zone ZoneID) {
	if outcome == Throttled {
		message.throttled, message.avoidEndpoint = message.throttled+1, nil
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

// dropEmptyQueues removes destinations without queued messages from waiting.
func (d *Dispatcher) dropEmptyQueues() {
	d.waiting = slices.DeleteFunc(d.waiting, func(destination *destination) bool { return len(destination.queue) == 0 })
}

// finish ends a message that has its final answer. The message is kept until its attempts in flight have finished.
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

// forgetFinished drops a message that has ended and has no attempt in flight, and its ordering key if that is no longer needed.
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
		d.idleHeldKeys = append(d.idleHeldKeys, order)
	}
}

// decayingSum is a sum of values and their number that decay exponentially. The fields hold for the instant at; decay and add
// update them. All calls for one sum must use the same time constant.
type decayingSum struct {
	count, sum float64 // decayed number of values, and their decayed sum
	at         Micros
}

// decay updates the sum to an instant and returns it. The sum decays to 1/e in timeConstant.
func (s *decayingSum) decay(now, timeConstant Micros) *decayingSum {
	if now > s.at {
		left := math.Exp(-float64(now-s.at) / float64(timeConstant))
		s.count, s.sum, s.at = s.count*left, s.sum*left, now
	}
	return s
}

func (s *decayingSum) add(now, timeConstant Micros, value float64) {
	s.decay(now, timeConstant)
	s.count, s.sum = s.count+1, s.sum+value
}
