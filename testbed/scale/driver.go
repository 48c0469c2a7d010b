package scale

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"pineport/dispatch"
	"pineport/testbed/simulation"
)

// decide makes the decisions of one courier.
type decide func(settings dispatch.Config) simulation.Decider

// realDecisions is the decision module as it is.
func realDecisions(settings dispatch.Config) simulation.Decider { return dispatch.New(settings) }

// What every courier here is notified: one class of messages that may run again and live for a day, and destinations with a limit
// far above what is sent, so that failures are judged on the ordinary path, by breakers.
const (
	second          dispatch.Micros = 1_000_000
	millisecond                     = second / 1000
	messageDeadline                 = 24 * 3600 * second
	targetLatency                   = 3600 * second
	couriersInFleet                 = 10
	slots                           = 200
	attemptsAtMost                  = 8
	perDestination                  = 50.0 // calls a second that a destination takes from all couriers
	firstInstant                    = 1000 * second
)

// courierSettings are for a courier that may hold so many messages.
func courierSettings(seed int64, hold int) dispatch.Config {
	return dispatch.Config{Seed: seed, Couriers: couriersInFleet, Slots: slots, QueueLimit: hold, MaxAttempts: attemptsAtMost, MaySendRetryAfter: true,
		Classes:       []dispatch.Class{{Objective: targetLatency, TimeToLive: messageDeadline, Priority: 1, LateFactor: 0.5, Idempotency: dispatch.Idempotent}},
		EndpointTypes: []dispatch.EndpointType{{MaxPerCall: 1}},
		MaxRetryAfter: 2 * second, IdleTimeout: 5 * second, Tick: 5 * millisecond, RateQuality: dispatch.NominalRates, ReportRemainingIndex: -1, ReportRateIndex: -1,
		SlowStartInitialShare: 0.2, SlowStart: 10 * second, OverloadFactor: 2}
}

// listing lists a destination's one endpoint.
func listing(destination int) dispatch.EndpointEntry {
	return dispatch.EndpointEntry{Endpoint: endpointOf(destination), Destination: dispatch.DestinationID(destination), Phase: dispatch.InService, Rate: perDestination}
}

func endpointOf(destination int) dispatch.EndpointID {
	return dispatch.EndpointID("endpoint-" + strconv.Itoa(destination))
}

// listings lists destinations 0 to count-1.
func listings(count int) []dispatch.EndpointEntry {
	all := make([]dispatch.EndpointEntry, 0, count)
	for destination := range count {
		all = append(all, listing(destination))
	}
	return all
}

// messageIDs are count ids of 16 characters, by number.
func messageIDs(count int) []dispatch.MessageID {
	ids := make([]dispatch.MessageID, count)
	for i := range ids {
		ids[i] = dispatch.MessageID(fmt.Sprintf("%016x", i))
	}
	return ids
}

// memoryDriver stands in for clients, network and endpoints of one courier: it carries out each action at once, and tells how an
// attempt ended in the next step. Endpoints of destinations below down refuse every connection, all others deliver.
type memoryDriver struct {
	courier  simulation.Decider
	now      dispatch.Micros
	down     int
	outcomes []dispatch.Event
	attempts []uint8 // made of each message, by its number
	took     time.Duration
	counts   driverCounts
	trace    uint64 // hash of all actions so far
}

// driverCounts are sums over all steps.
type driverCounts struct {
	given, delivered, ended int
	sentDown                int // attempts at destinations that are down
	invalid                 int // actions that nothing asked for
}

func newDriver(courier simulation.Decider, down, messages int) *memoryDriver {
	return &memoryDriver{courier: courier, now: firstInstant, down: down, attempts: make([]uint8, messages)}
}

// message submits a message; its number says which.
func (d *memoryDriver) message(id dispatch.MessageID, destination int) dispatch.MessageAccepted {
	d.counts.given++
	return dispatch.MessageAccepted{Message: id, Destination: dispatch.DestinationID(destination), Deadline: d.now + messageDeadline}
}

// step lets time pass and has the courier handle what came, with the outcomes of the step before. It returns how many messages
// were sent.
func (d *memoryDriver) step(pass dispatch.Micros, events ...dispatch.Event) (sent int) {
	d.now += pass
	events = append(d.outcomes, events...)
	d.outcomes = nil
	began := time.Now()
	actions := d.courier.Handle(d.now, events)
	d.took = time.Since(began)
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			sent++
			d.send(a)
		case dispatch.Reject, dispatch.Fail:
			d.counts.ended++
		}
	}
	d.note(actions)
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
		d.counts.sentDown++
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
	return destination < d.down
}

func (d *memoryDriver) note(actions []dispatch.Action) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d", d.trace, d.now)
	for _, action := range actions {
		fmt.Fprintf(h, "%T%v", action, action)
	}
	d.trace = h.Sum64()
}
