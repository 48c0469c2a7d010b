package scale

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"pineport/dispatch"
	"pineport/testbed/simulation"
)

// deciderFactory creates the decision module of one courier.
type deciderFactory func(settings dispatch.Config) simulation.Decider

// newDispatcher creates the real decision module.
func newDispatcher(settings dispatch.Config) simulation.Decider { return dispatch.New(settings) }

// Settings of the couriers that a memoryDriver runs: one class of idempotent messages with a time to live of one day. The rate limit
// of a destination is far above the traffic, so that failures are handled by the breakers alone.
const (
	second          dispatch.Micros = 1_000_000
	millisecond                     = second / 1000
	messageDeadline                 = 24 * 3600 * second
	targetLatency                   = 3600 * second
	couriersInFleet                 = 10
	slots                           = 200
	maxAttempts                     = 8
	destinationRate                 = 50.0 // rate limit of a destination for all couriers together, in calls per second
	startTime                       = 1000 * second
)

// courierSettings returns the settings of a courier that holds at most queueLimit messages.
func courierSettings(seed int64, queueLimit int) dispatch.Config {
	return dispatch.Config{Seed: seed, Couriers: couriersInFleet, Slots: slots, QueueLimit: queueLimit, MaxAttempts: maxAttempts, MaySendRetryAfter: true,
		Classes:       []dispatch.Class{{Objective: targetLatency, TimeToLive: messageDeadline, Priority: 1, LateFactor: 0.5, Idempotency: dispatch.Idempotent}},
		EndpointTypes: []dispatch.EndpointType{{MaxPerCall: 1}},
		MaxRetryAfter: 2 * second, IdleTimeout: 5 * second, Tick: 5 * millisecond, RateQuality: dispatch.NominalRates, ReportRemainingIndex: -1, ReportRateIndex: -1,
		SlowStartInitialShare: 0.2, SlowStart: 10 * second, OverloadFactor: 2}
}

// destinationEntry returns the list entry of the only endpoint of a destination.
func destinationEntry(destination int) dispatch.EndpointEntry {
	return dispatch.EndpointEntry{Endpoint: endpointID(destination), Destination: dispatch.DestinationID(destination), Phase: dispatch.InService, Rate: destinationRate}
}

func endpointID(destination int) dispatch.EndpointID {
	return dispatch.EndpointID("endpoint-" + strconv.Itoa(destination))
}

// destinationEntries returns the list entries of destinations 0 to count-1.
func destinationEntries(count int) []dispatch.EndpointEntry {
	all := make([]dispatch.EndpointEntry, 0, count)
	for destination := range count {
		all = append(all, destinationEntry(destination))
	}
	return all
}

// messageIDs returns count message IDs: the numbers from 0 as 16 hexadecimal digits.
func messageIDs(count int) []dispatch.MessageID {
	ids := make([]dispatch.MessageID, count)
	for i := range ids {
		ids[i] = dispatch.MessageID(fmt.Sprintf("%016x", i))
	}
	return ids
}

// memoryDriver is an in-memory stand-in for the clients, network and endpoints of one courier. It executes each action
// immediately and reports the outcome of each attempt with the next step. Endpoints of destinations with a number below
// downCount refuse every connection, all others deliver.
type memoryDriver struct {
	courier      simulation.Decider
	now          dispatch.Micros
	downCount    int
	outcomes     []dispatch.Event
	attempts     []uint8 // attempts made so far, by message number
	stepDuration time.Duration
	counts       driverCounts
	traceHash    uint64 // hash of all actions so far and their times
}

// driverCounts holds totals over all steps.
type driverCounts struct {
	submitted, delivered, rejectedOrFailed int
	sentWhileDown                          int // attempts to destinations that are down
	invalid                                int // attempts with an unknown message or endpoint
}

func newDriver(courier simulation.Decider, down, messages int) *memoryDriver {
	return &memoryDriver{courier: courier, now: startTime, downCount: down, attempts: make([]uint8, messages)}
}

// newMessage returns the event that submits a message, and counts it.
func (d *memoryDriver) newMessage(id dispatch.MessageID, destination int) dispatch.MessageAccepted {
	d.counts.submitted++
	return dispatch.MessageAccepted{Message: id, Destination: dispatch.DestinationID(destination), Deadline: d.now + messageDeadline}
}

// step advances the clock and passes the outcomes of the previous step and the given events to the courier. It returns the
// number of attempts that the courier sent.
func (d *memoryDriver) step(elapsed dispatch.Micros, events ...dispatch.Event) (sent int) {
	d.now += elapsed
	events = append(d.outcomes, events...)
	d.outcomes = nil
	began := time.Now()
	actions := d.courier.Handle(d.now, events)
	d.stepDuration = time.Since(began)
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			sent++
			d.send(a)
		case dispatch.Reject, dispatch.Fail:
			d.counts.rejectedOrFailed++
		}
	}
	d.hashActions(actions)
	return sent
}

func (d *memoryDriver) send(a dispatch.Send) {
	number, err := strconv.ParseUint(string(a.Message), 16, 32)
	if err != nil || int(number) >= len(d.attempts) {
		d.counts.invalid++
		return
	}
	outcome := dispatch.AttemptFinished{Message: a.Message, Attempt: dispatch.AttemptNumber(d.attempts[number]), Outcome: dispatch.Delivered, Duration: millisecond, MessageDone: true}
	d.attempts[number]++
	if d.isDown(a.Endpoint) {
		d.counts.sentWhileDown++
		outcome.Outcome, outcome.MessageDone = dispatch.Unreachable, false
	} else {
		d.counts.delivered++
	}
	d.outcomes = append(d.outcomes, outcome)
}

func (d *memoryDriver) isDown(endpoint dispatch.EndpointID) bool {
	var destination int
	if _, err := fmt.Sscanf(string(endpoint), "endpoint-%d", &destination); err != nil {
		d.counts.invalid++
	}
	return destination < d.downCount
}

func (d *memoryDriver) hashActions(actions []dispatch.Action) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d", d.traceHash, d.now)
	for _, action := range actions {
		fmt.Fprintf(h, "%T%v", action, action)
	}
	d.traceHash = h.Sum64()
}
