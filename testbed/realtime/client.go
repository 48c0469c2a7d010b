package realtime

import (
	"strconv"
	"time"

	"pineport/dispatch"
	"pineport/testbed/environment"
	"pineport/testbed/invariants"
	"pineport/testbed/load"
	"pineport/testbed/scenario"
)

// client is the client of one message. It submits the message again after a rejection or a missing reply. run.mu guards the counters; the other
// fields do not change.
type client struct {
	id          dispatch.MessageID
	arrival     scenario.Arrival
	dueAt       dispatch.Micros
	deadline    dispatch.Micros
	submissions int
	retries     int // submissions after a rejection
	unanswered  int // submissions without a reply; World.Drop ends them, so endpoints refuse later calls for them
}

// startClient submits message i of the scenario for the first time.
func (r *run) startClient(i int) {
	a := r.drawn.Arrivals[i]
	class := r.drawn.Definition.Classes[a.Class]
	cl := &client{id: dispatch.MessageID("r" + strconv.Itoa(i)), arrival: a, dueAt: a.At, deadline: a.At + dispatch.Micros(class.Deadline*1e6)}
	r.ledger.Offered(a.At, cl.id, int(a.Class), int(a.Tenant), dispatch.DestinationID(a.Dest))
	r.addPending(1)
	r.submit(cl, int(a.Courier), false, false)
}

// addPending adds n to the number of submissions in progress or scheduled.
func (r *run) addPending(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending += n
}

// randomDuration draws a duration from a range in seconds.
func (r *run) randomDuration(b scenario.Range) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration((b[0] + (b[1]-b[0])*r.rng.Float64()) * float64(time.Second))
}

// submitLater submits the message again after the given delay, unless its deadline is reached by then.
func (r *run) submitLater(cl *client, after time.Duration, courier int, resubmitted, mayBeHeld bool) {
	if r.world.Clock.Now()+dispatch.Micros(after.Microseconds()) < cl.deadline {
		r.addPending(1)
		time.AfterFunc(after, func() { r.submit(cl, courier, resubmitted, mayBeHeld) })
	}
}

// nextCourier returns the courier for the next submission, after the given courier rejected the message or did not reply: the same courier if
// each client has its own, else a random one.
func (r *run) nextCourier(courier int) int {
	if r.drawn.Definition.Fleet.ClientRouting == "own" {
		return courier
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(len(r.couriers))
}

// submit submits the message to a courier and handles the reply.
func (r *run) submit(cl *client, courier int, resubmitted, mayBeHeld bool) {
	defer r.addPending(-1)
	select {
	case <-r.stop:
		return
	default:
	}
	now := r.world.Clock.Now()
	if now >= cl.deadline {
		return
	}
	r.mu.Lock()
	id, origin := cl.id, cl.id
	if cl.submissions > 0 {
		id += dispatch.MessageID("." + strconv.Itoa(cl.submissions))
	}
	if cl.unanswered > 0 { // with a new origin, deliveries of unanswered submissions do not count as earlier deliveries of this one
		origin += dispatch.MessageID("+" + strconv.Itoa(cl.unanswered))
	}
	cl.submissions++
	r.clients[id] = cl
	r.mu.Unlock()
	a := cl.arrival
	class := r.drawn.Definition.Classes[a.Class]
	key := dispatch.OrderingKey("")
	if a.Key >= 0 {
		key = dispatch.OrderingKey("k" + strconv.Itoa(int(a.Key)))
	}
	r.world.Expect(id, environment.Message{Origin: origin, Courier: courier, Class: int(a.Class), Dest: int(a.Dest)})
	r.ledger.Accepted(now, id, cl.id, courier, key, cl.deadline)
	message := load.Message{ID: string(id), Class: class.Name, TimeToLive: time.Duration(cl.deadline-now) * time.Microsecond, Dest: int(a.Dest),
		OrderingKey: string(key), Resubmitted: resubmitted, MayBeHeld: mayBeHeld, Body: r.body}
	if tenants := r.drawn.Definition.Tenants; len(tenants) > 0 {
		message.Tenant = tenants[a.Tenant].Name
	}
	reply := r.pools[courier].Do(load.EncodeEnqueue(message))
	now = r.world.Clock.Now()
	switch reply.Kind {
	case load.OK:
		// Accepted: the courier must now deliver the message or send a notice for it.
	case load.Busy:
		r.world.MarkEnded(id)
		r.ledger.MessageEnded(now, id, invariants.Rejected)
		r.retryRejected(cl, courier, reply.RetryAfter)
	case load.Failed:
		r.world.MarkEnded(id)
		r.ledger.MessageEnded(now, id, invariants.Failed)
	default:
		r.handleUnanswered(cl, id, courier, reply)
	}
}

// handleUnanswered handles a submission without a reply: the courier was unreachable, the connection ended, or the reply timed out.
func (r *run) handleUnanswered(cl *client, id dispatch.MessageID, courier int, reply load.Reply) {
	now := r.world.Clock.Now()
	if reply.Kind == load.ConnectionLost && r.couriers[courier].Up() && !r.ledger.IsExcused(now, courier) {
		r.ledger.Unanswered(now, id, courier)
	}
	r.world.MarkEnded(id)
	r.ledger.MessageEnded(now, id, invariants.Dropped)
	r.mu.Lock()
	cl.unanswered++
	r.mu.Unlock()
	delay := r.randomDuration(r.drawn.Definition.Clients.ResubmitAfter)
	if reply.Kind == load.Unreachable {
		delay /= 4 // the client notices a refused connection sooner than a missing reply
	}
	r.submitLater(cl, delay, r.nextCourier(courier), true, reply.Kind != load.Unreachable)
}

// retryRejected submits a rejected message again after a backoff, up to the configured number of retries.
func (r *run) retryRejected(cl *client, courier int, retryAfter time.Duration) {
	d := r.drawn.Definition.Clients
	r.mu.Lock()
	if cl.retries >= d.Retries {
		r.mu.Unlock()
		return
	}
	followsRetryAfter := r.rng.Float64() < d.HonorRetryAfterShare
	n := cl.retries
	cl.retries++
	r.mu.Unlock()
	wait := r.randomDuration(scenario.Range{d.Backoff[0] / 1000, d.Backoff[1] / 1000}) << n
	if retryAfter > 0 && followsRetryAfter {
		wait = min(retryAfter, time.Duration(r.drawn.Definition.Fleet.MaxRetryAfter*float64(time.Second)))
	}
	r.submitLater(cl, wait, r.nextCourier(courier), true, false)
}

// handleNotice handles a notice that ends an accepted message. After a rejection, the client submits the message again.
func (r *run) handleNotice(id dispatch.MessageID, end invariants.End, retryAfter time.Duration) {
	r.mu.Lock()
	cl := r.clients[id]
	r.mu.Unlock()
	if cl == nil {
		return
	}
	if end == invariants.Rejected {
		r.retryRejected(cl, int(cl.arrival.Courier), retryAfter)
	}
}
