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

// client is who submitted a message first, and hands it in again where it may. The run's lock guards it.
type client struct {
	id      dispatch.MessageID
	arrival scenario.Arrival
	due     dispatch.Micros
	cutOff  dispatch.Micros
	tries   int
	rejects int
	dropped int // submissions that nobody answered: what comes of them counts for nothing
}

func (r *run) offer(i int) {
	a := r.day.Arrivals[i]
	wl := r.day.Definition.Classes[a.Class]
	cl := &client{id: dispatch.MessageID("r" + strconv.Itoa(i)), arrival: a, due: a.At, cutOff: a.At + dispatch.Micros(wl.Deadline*1e6)}
	r.books.Offered(a.At, cl.id, int(a.Class), int(a.Tenant), dispatch.DestinationID(a.Dest))
	r.pend(1)
	r.handIn(cl, int(a.Courier), false, false)
}

func (r *run) pend(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending += n
}

func (r *run) between(b scenario.Range) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration((b[0] + (b[1]-b[0])*r.rng.Float64()) * float64(time.Second))
}

// later submits again after a while, if there is time left then.
func (r *run) later(cl *client, after time.Duration, courier int, again, afterDeath bool) {
	if r.world.Clock.Now()+dispatch.Micros(after.Microseconds()) < cl.cutOff {
		r.pend(1)
		time.AfterFunc(after, func() { r.handIn(cl, courier, again, afterDeath) })
	}
}

// other is where a client goes whose courier did not serve it.
func (r *run) other(courier int) int {
	if r.day.Definition.Fleet.ClientRouting == "own" {
		return courier
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(len(r.couriers))
}

// handIn hands a message to a courier, and sees to what it answers.
func (r *run) handIn(cl *client, courier int, again, afterDeath bool) {
	defer r.pend(-1)
	select {
	case <-r.stop:
		return
	default:
	}
	now := r.world.Clock.Now()
	if now >= cl.cutOff {
		return
	}
	r.mu.Lock()
	id, origin := cl.id, cl.id
	if cl.tries > 0 {
		id += dispatch.MessageID("." + strconv.Itoa(cl.tries))
	}
	if cl.dropped > 0 { // what ran under an id that nobody answered for counts for nothing
		origin += dispatch.MessageID("+" + strconv.Itoa(cl.dropped))
	}
	cl.tries++
	r.clients[id] = cl
	r.mu.Unlock()
	a := cl.arrival
	wl := r.day.Definition.Classes[a.Class]
	key := dispatch.OrderingKey("")
	if a.Key >= 0 {
		key = dispatch.OrderingKey("k" + strconv.Itoa(int(a.Key)))
	}
	r.world.Expect(id, environment.Message{Origin: origin, Courier: courier, Class: int(a.Class), Dest: int(a.Dest)})
	r.books.Accepted(now, id, cl.id, courier, key, cl.cutOff)
	rec := load.Message{ID: string(id), Class: wl.Name, Left: time.Duration(cl.cutOff-now) * time.Microsecond, Dest: int(a.Dest),
		Key: string(key), Again: again, AfterDeath: afterDeath, Body: r.body}
	if tenants := r.day.Definition.Tenants; len(tenants) > 0 {
		rec.Tenant = tenants[a.Tenant].Name
	}
	reply := r.pools[courier].Do(load.Enqueue(rec))
	now = r.world.Clock.Now()
	switch reply.Kind {
	case load.OK:
		// From now on its end is owed: a call answered with 200, or a notice.
	case load.Busy:
		r.world.MarkEnded(id)
		r.books.MessageEnded(now, id, invariants.Rejected)
		r.comeAgain(cl, courier, reply.Again)
	case load.Failed:
		r.world.MarkEnded(id)
		r.books.MessageEnded(now, id, invariants.Failed)
	default:
		r.unanswered(cl, id, courier, reply)
	}
}

// unanswered is a submission that a courier did not answer: it was down, cut the connection or kept silent.
func (r *run) unanswered(cl *client, id dispatch.MessageID, courier int, reply load.Reply) {
	now := r.world.Clock.Now()
	if reply.Kind == load.Cut && r.couriers[courier].Up() && !r.books.IsExcused(now, courier) {
		r.books.Unanswered(now, id, courier)
	}
	r.world.MarkEnded(id)
	r.books.MessageEnded(now, id, invariants.Dropped)
	r.mu.Lock()
	cl.dropped++
	r.mu.Unlock()
	again := r.between(r.day.Definition.Clients.ResubmitAfter)
	if reply.Kind == load.Down {
		again /= 4
	}
	r.later(cl, again, r.other(courier), true, reply.Kind != load.Down)
}

// comeAgain submits anew what was rejected, after a while.
func (r *run) comeAgain(cl *client, courier int, advice time.Duration) {
	d := r.day.Definition.Clients
	r.mu.Lock()
	if cl.rejects >= d.Retries {
		r.mu.Unlock()
		return
	}
	heeds := r.rng.Float64() < d.HonorRetryAfterShare
	n := cl.rejects
	cl.rejects++
	r.mu.Unlock()
	wait := r.between(scenario.Range{d.Backoff[0] / 1000, d.Backoff[1] / 1000}) << n
	if advice > 0 && heeds {
		wait = min(advice, time.Duration(r.day.Definition.Fleet.MaxRetryAfter*float64(time.Second)))
	}
	r.later(cl, wait, r.other(courier), true, false)
}

// noticed takes a notice for a message that a courier had taken on.
func (r *run) noticed(id dispatch.MessageID, how invariants.End, again time.Duration) {
	r.mu.Lock()
	cl := r.clients[id]
	r.mu.Unlock()
	if cl == nil {
		return
	}
	if how == invariants.Rejected {
		r.comeAgain(cl, int(cl.arrival.Courier), again)
	}
}
