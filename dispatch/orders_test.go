package dispatch

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"pineport/modelcheck"
)

// checkQueues checks that the dispatcher looks at the queue of every queued message, as a message in any other queue is never ended.
func checkQueues(d *Dispatcher) error {
	for id, message := range d.messages {
		destination := message.destination
		switch {
		case !message.queued:
		case !slices.Contains(destination.queue, message):
			return fmt.Errorf("queued message %s is not in the queue of its destination", id)
		case !slices.Contains(d.waiting, destination):
			return fmt.Errorf("queued message %s: its destination is not among those with queued messages", id)
		case d.destinations[destination.id] != destination:
			return fmt.Errorf("queued message %s: its destination is not the one with its ID", id)
		}
	}
	return nil
}

// orderRun is a dispatcher with one destination, and the events that it has not been given yet.
type orderRun struct {
	dispatcher *Dispatcher
	now        Micros
	events     []Event
	taken      []MessageID
	sent       []MessageID // one entry for each attempt that has not finished
	attempts   map[MessageID]AttemptNumber
	finished   map[MessageID]bool
}

const orderTimeToLive = 10 * second

var (
	orderEndpoint = EndpointEntry{Endpoint: "a", Destination: 1}
	otherEndpoint = EndpointEntry{Endpoint: "b", Destination: 2}
)

// newOrderRun returns a run whose destination has an endpoint that was not used for longer than forgetAfter.
func newOrderRun() *orderRun {
	config := Config{Seed: 7, Couriers: 1, Slots: 50, QueueLimit: 100, MaxAttempts: 8, MaxRetryAfter: 2 * second,
		Tick: 5 * millisecond, ReportRemainingIndex: -1, ReportRateIndex: -1, IdleTimeout: 5 * second, KeyCooldown: second,
		SlowStartInitialShare: 0.2, SlowStart: 10 * second, OverloadFactor: 2,
		Classes: []Class{{Objective: second, TimeToLive: orderTimeToLive, Priority: 1, LateFactor: 0.5, Ordered: true}}}
	run := &orderRun{dispatcher: New(config), attempts: map[MessageID]AttemptNumber{}, finished: map[MessageID]bool{}}
	run.events = []Event{EndpointUpdate{Kind: CachedList, Entries: []EndpointEntry{orderEndpoint, otherEndpoint}}}
	run.handle()
	run.now += forgetAfter + second
	return run
}

// handle gives the dispatcher the collected events.
func (r *orderRun) handle() {
	for _, action := range r.dispatcher.Handle(r.now, r.events) {
		switch a := action.(type) {
		case Send:
			r.sent = append(r.sent, a.Message)
		case Reject:
			r.finished[a.Message] = true
		case Fail:
			r.finished[a.Message] = true
		}
	}
	r.events = nil
}

func (r *orderRun) take() {
	id := MessageID("m" + strconv.Itoa(len(r.taken)))
	r.taken = append(r.taken, id)
	r.events = append(r.events, MessageAccepted{Message: id, Destination: 1, OrderingKey: "k", Deadline: r.now + orderTimeToLive})
}

// cancel cancels the newest message.
func (r *orderRun) cancel() {
	if len(r.taken) == 0 {
		return
	}
	id := r.taken[len(r.taken)-1]
	r.finished[id] = true
	r.events = append(r.events, MessageCanceled{id})
}

// finishAttempt ends the oldest attempt in flight.
func (r *orderRun) finishAttempt(outcome Outcome) {
	if len(r.sent) == 0 {
		return
	}
	id := r.sent[0]
	r.sent = r.sent[1:]
	r.finished[id] = r.finished[id] || outcome == Delivered
	r.events = append(r.events, AttemptFinished{Message: id, Attempt: r.attempts[id], Outcome: outcome, MessageDone: r.finished[id]})
	r.attempts[id]++
}

func (r *orderRun) list(entries ...EndpointEntry) {
	r.events = append(r.events, EndpointUpdate{Kind: CompleteList, Entries: entries})
}

// pass lets time pass, and then handles the collected events.
func (r *orderRun) pass(duration Micros) {
	r.now += duration
	r.handle()
}

// check verifies that the queues are consistent, and at the end that every message has ended or is in flight at its deadline.
func (r *orderRun) check() error {
	r.pass(second / 100)
	if err := checkQueues(r.dispatcher); err != nil {
		return err
	}
	for range orderTimeToLive / second {
		r.pass(second)
	}
	for _, id := range r.taken {
		if !r.finished[id] && !slices.Contains(r.sent, id) {
			return fmt.Errorf("message %s has no final answer at its deadline", id)
		}
	}
	return nil
}

var orderSteps = []func(*orderRun){
	(*orderRun).take,
	(*orderRun).cancel,
	func(r *orderRun) { r.list(otherEndpoint) },
	func(r *orderRun) { r.list(orderEndpoint, otherEndpoint) },
	func(r *orderRun) { r.finishAttempt(Delivered) },
	func(r *orderRun) { r.finishAttempt(Broken) },
	func(r *orderRun) { r.pass(second / 10) },
	func(r *orderRun) { r.pass(forgetAfter + second) },
}

// TestEveryOrderEndsEachMessage guards against a message that is never ended because events of one step came in a certain order.
//
// Incident: a message was canceled, a list dropped its destination, and the next message came, all in one step; the queue of the
// next message was not looked at again. All sequences of five steps are played, or of seven with PINEPORT_DEEP set.
func TestEveryOrderEndsEachMessage(t *testing.T) {
	depth, sequences := 5, 0
	if os.Getenv("PINEPORT_DEEP") != "" {
		depth = 7
	}
	modelcheck.ForEachSequence(depth, len(orderSteps), func(sequence []int) bool {
		sequences++
		run := newOrderRun()
		for _, step := range sequence {
			orderSteps[step](run)
		}
		if err := run.check(); err != nil {
			t.Errorf("%v: %v", sequence, err)
		}
		return !t.Failed()
	})
	t.Logf("%d sequences", sequences)
}
