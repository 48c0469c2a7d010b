package server

import (
	"errors"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"pineport/admin"
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/maintenance"
	"pineport/protocol"
)

// ErrSuccessorLost is returned by Run where this process had handed over to a successor that has gone: it is to start again from the folder.
var ErrSuccessorLost = errors.New("the process that took over has gone")

type (
	// successorArrived is a successor that is ready to take over.
	successorArrived struct {
		link  *handoff.Link
		hello *handoff.Hello
	}
	// peerMessage is a message of the other process, nil when its link has ended.
	peerMessage struct {
		link    *handoff.Link
		message *handoff.Message
	}
)

// handoffState is the other process of an upgrade: first a predecessor that handed over to this one, later a successor.
type handoffState struct {
	server            *Server
	machine           *handoff.Predecessor
	release           func() // frees the folder
	successor         *handoff.Link
	requested         bool // the successor is ready, and nothing is handed over yet
	handingOver       bool // between the two
	handedOver        bool // the successor decides
	reclaim           bool
	predecessor       *handoff.Link
	unlisted          []*attempt        // of the predecessor, to endpoints that are not listed any more
	snapshotAtHandoff dispatch.Snapshot // as it was handed over, and the waits reported since
	commands          map[int64]chan commandResult
	nextCommand       int64
}

func (u *handoffState) init(r *Server) {
	u.server, u.machine, u.commands, u.release = r, handoff.NewPredecessor(r.deployment.Name), map[int64]chan commandResult{}, func() {}
}

// SetFolderRelease lets successors take over; release frees the folder at that instant.
func (s *Server) SetFolderRelease(release func()) { s.handoff.release = release }

// SuccessorReady reports a successor that is ready to take over. Any goroutine may call it.
func (s *Server) SuccessorReady(link *handoff.Link, hello *handoff.Hello) {
	s.control <- successorArrived{link, hello}
}

// ConnectPredecessor joins the loop with the process that handed over to it.
func (s *Server) ConnectPredecessor(link *handoff.Link) {
	s.handoff.predecessor = link
	go s.listenTo(link)
}

func (s *Server) listenTo(link *handoff.Link) {
	link.Listen(func(message *handoff.Message) { s.control <- peerMessage{link, message} })
}

func (u *handoffState) successorArrived(event successorArrived) {
	verdict, why := u.machine.HelloReceived(event.hello)
	if verdict == handoff.Refuse {
		u.server.log.Warn("successor refused", "reason", why)
		event.link.Refuse(why)
		return
	}
	u.successor, u.requested = event.link, true
	go u.server.listenTo(event.link)
}

const (
	// handoffSettleTimeout bounds the wait for clients in the midst of a command; a client waits for many times that.
	handoffSettleTimeout = 10 * 1000
	handoffSettleStep    = time.Millisecond
	// adoptionSlack is how much longer than the predecessor its successor waits for an outcome: a line over a socket takes far less.
	adoptionSlack = 250 * 1000
)

// handOver hands all to the successor, at one instant: what came before it is decided here, what comes later by the successor.
func (u *handoffState) handOver() {
	if !u.requested || u.server.spool.Flush() != nil { // the folder does not hold all: later
		return
	}
	u.requested, u.handingOver = false, true
	r := u.server
	began := r.clock()
	r.operators.serving.Store(false)
	r.driver.StopAccepting()
	for { // new connections wait for the successor now; those that rest close, and their clients come there
		r.drainQueues()
		r.guardedStep()
		r.clients.CloseIdle(r.now)
		if r.clients.AllIdle() && len(r.queue) == 0 || r.clock()-began > handoffSettleTimeout {
			break
		}
		time.Sleep(handoffSettleStep)
	}
	u.withdrawUnsent()
	state := u.state()
	u.handedOver, u.snapshotAtHandoff = true, state.Snapshot
	r.timerAt = never // Failure: the dispatcher is not asked any more, and its timer had the loop go round without a pause
	r.operators.writer.Stop()
	r.operators.drainAt = r.now
	if r.snapshots.writer != nil {
		r.snapshots.writer.Close(lastSnapshotTimeout)
		r.snapshots.writer = nil
	}
	r.discovery.stop()
	r.endpointConns.CloseAllIdle()
	r.logSpoolError(r.spool.Close())
	u.release()
	u.successor.Send(handoff.Message{State: state})
	u.machine.HandedOver()
	u.handingOver = false
	r.counters.unfinished = 0
	r.log.Info("handed over to the successor", "unfinished", len(r.messages), "in_flight", len(r.inFlight), "clients", r.clients.Len(), "duration", time.Duration(r.clock()-began)*time.Microsecond)
	debug.FreeOSMemory() // both processes have one limit
}

// withdrawUnsent takes back attempts that wait for a connection: until that is open the successor may have learned that nothing may be sent
// there.
func (u *handoffState) withdrawUnsent() {
	for _, attempt := range slices.Clone(u.server.inFlight) {
		if exchange := attempt.call.exchange; exchange != nil && !exchange.IsSent() {
			u.finishAttempt(attempt)
			u.server.endpointConns.Abort(exchange)
			u.server.noteOutcome(attempt, dispatch.Unprocessed)
		}
	}
}

// state returns what the folder does not hold.
func (u *handoffState) state() *handoff.State {
	r := u.server
	state := &handoff.State{Snapshot: r.takeSnapshot(), ListVersion: r.discovery.version, RetryAfter: maps.Clone(r.retryAfter), Disabled: slices.Sorted(maps.Keys(r.operators.disabled)),
		Draining: r.operators.isDraining()}
	if r.onHandoff != nil {
		state.Membership = r.onHandoff()
	}
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		state.Endpoints = append(state.Endpoints, r.endpoints[id])
	}
	for _, attempt := range r.inFlight {
		state.InFlight = append(state.InFlight, handoff.AttemptID{Message: attempt.message.stored.ID, Attempt: attempt.number, WaitUntil: attempt.waitUntil})
	}
	return state
}

// takeOver takes over what the predecessor handed on, beside the list.
func (u *handoffState) takeOver(state *handoff.State) {
	r := u.server
	state.Snapshot.TakenAt = min(state.Snapshot.TakenAt, r.now)
	r.events = append(r.events, dispatch.SnapshotRestored{Snapshot: state.Snapshot})
	maps.Copy(r.retryAfter, state.RetryAfter)
	if gone := slices.Sorted(maps.Keys(r.operators.disabled)); !slices.Equal(gone, state.Disabled) {
		r.operators.disabled = map[string]bool{}
		for _, id := range state.Disabled {
			r.operators.disabled[id] = true
		}
		r.operators.generation++
		if err := r.operators.writer.Write(r.operators.generation, r.operators.disabled); err != nil {
			r.log.Error("disabled endpoints cannot be stored", "file", maintenance.FileName, "error", err)
		}
	}
	if state.Draining {
		r.operators.setDraining(true)
	}
}

// adoptAttempt takes over an attempt that the predecessor has in flight; where its endpoint is not listed any more, it is given up.
func (u *handoffState) adoptAttempt(adopted *attempt, limit dispatch.Micros) {
	id := dispatch.EndpointID(adopted.message.stored.Attempts[adopted.number].Endpoint)
	host, ok := u.server.endpoints[id]
	if !ok {
		u.unlisted = append(u.unlisted, adopted)
		return
	}
	adopted.finished, adopted.waitUntil = false, limit+adoptionSlack
	adopted.call = &call{endpoint: id, entry: host, attempts: []*attempt{adopted}, predecessor: true}
	adopted.message.inFlight++
	u.server.inFlight = append(u.server.inFlight, adopted)
}

// announceServing tells the predecessor that clients are accepted here.
func (u *handoffState) announceServing() {
	if u.predecessor == nil {
		return
	}
	u.predecessor.Send(handoff.Message{Serving: true})
	for _, attempt := range u.unlisted {
		u.cancelAttempt(attempt)
	}
	u.unlisted = nil
}

// cancelAttempt tells the predecessor that an attempt is given up.
func (u *handoffState) cancelAttempt(attempt *attempt) {
	if u.predecessor != nil {
		u.predecessor.Send(handoff.Message{Cancel: &handoff.AttemptID{Message: attempt.message.stored.ID, Attempt: attempt.number}})
	}
}

// forwardRetryAfter tells the predecessor of a Retry-After, in case it has to go on.
func (u *handoffState) forwardRetryAfter(entry protocol.Endpoint, until dispatch.Micros) {
	if u.predecessor == nil {
		return
	}
	w := &handoff.RetryAfter{Destination: dispatch.DestinationID(entry.Destination), Until: until}
	if u.server.hasSeparateGroups(entry) {
		w.Endpoint = dispatch.EndpointID(entry.Host)
	}
	u.predecessor.Send(handoff.Message{RetryAfter: w})
}

// forwardOutcome tells the successor how an attempt ended.
func (u *handoffState) forwardOutcome(attempt *attempt, event dispatch.AttemptFinished) {
	if attempt.finished {
		return
	}
	u.finishAttempt(attempt)
	event.Message, event.Attempt = dispatch.MessageID(attempt.message.stored.ID), dispatch.AttemptNumber(attempt.number)
	u.successor.Send(handoff.Message{AttemptFinished: &event})
}

func (u *handoffState) finishAttempt(landed *attempt) {
	landed.finished = true
	u.server.inFlight = slices.DeleteFunc(u.server.inFlight, func(o *attempt) bool { return o == landed })
}

// forwardCommand hands a command of an operator to the successor, which decides.
func (u *handoffState) forwardCommand(command command) {
	if len(u.commands) >= controlQueueSize {
		command.done <- commandResult{err: errTooManyCommands}
		return
	}
	a := &handoff.Command{Number: u.nextCommand}
	switch w := command.command.(type) {
	case admin.SetDisabled:
		a.Endpoint, a.On = w.Endpoint, w.Disabled
	case admin.Drain:
		a.On = w.Enabled
	}
	u.commands[u.nextCommand] = command.done
	u.nextCommand++
	u.successor.Send(handoff.Message{Command: a})
}

var errTooManyCommands = errors.New("too many calls wait for the process that took over")

// messageReceived handles a message of the other process.
func (u *handoffState) messageReceived(event peerMessage) {
	switch {
	case event.link == u.predecessor && event.message == nil:
		u.orphaned()
	case event.link == u.predecessor:
		u.fromPredecessor(event.message)
	case event.link != u.successor:
	case event.message == nil:
		u.successorLost()
	case u.machine.MessageReceived(event.message) == handoff.CloseLink:
		u.server.log.Error("unexpected message from the successor")
		event.link.Close()
	default:
		u.fromSuccessor(event.message)
	}
}

func (u *handoffState) fromPredecessor(m *handoff.Message) {
	r := u.server
	switch {
	case m.AttemptFinished != nil:
		message := r.messages[m.AttemptFinished.Message]
		if message == nil || int(m.AttemptFinished.Attempt) < 0 || int(m.AttemptFinished.Attempt) >= len(message.attempts) {
			return
		}
		attempt := message.attempts[m.AttemptFinished.Attempt]
		if attempt.call == nil || !attempt.call.predecessor {
			return
		}
		s := *m.AttemptFinished
		if s.RetryAfter > 0 {
			r.keepRetryAfter(attempt.call.entry, r.now+s.RetryAfter)
		}
		r.complete(attempt, dispatch.AttemptFinished{Outcome: s.Outcome, MessageDone: s.MessageDone, RetryAfter: s.RetryAfter, LoadReport: s.LoadReport})
	case m.Command != nil:
		q, link := command{admin.Drain{Enabled: m.Command.On}, make(chan commandResult, 1)}, u.predecessor
		if m.Command.Endpoint != "" {
			q.command = admin.SetDisabled{Endpoint: m.Command.Endpoint, Disabled: m.Command.On}
		}
		r.operators.execute(q)
		go func() { // the answer waits for the disk
			a := handoff.Result{Number: m.Command.Number}
			if err := r.persist(<-q.done); err != nil {
				a.Error, a.Unknown = err.Error(), errors.Is(err, admin.ErrUnknownEndpoint)
			}
			link.Send(handoff.Message{Result: &a})
		}()
	}
}

// orphaned gives up the predecessor's attempts: nobody will report how they ended, and they may have run.
func (u *handoffState) orphaned() {
	u.predecessor = nil
	lost := 0
	for _, attempt := range slices.Clone(u.server.inFlight) {
		if attempt.call.predecessor {
			lost++
			u.server.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		}
	}
	u.server.log.Info("predecessor exited", "unknown_outcomes", lost)
}

func (u *handoffState) fromSuccessor(message *handoff.Message) {
	r := u.server
	switch {
	case message.Serving:
		r.log.Info("successor is serving", "in_flight", len(r.inFlight))
	case message.Cancel != nil:
		for _, attempt := range slices.Clone(r.inFlight) {
			if attempt.message.stored.ID == message.Cancel.Message && attempt.number == message.Cancel.Attempt {
				u.finishAttempt(attempt)
				r.abandonCall(attempt.call)
			}
		}
	case message.RetryAfter != nil:
		u.mergeRetryAfter(*message.RetryAfter)
	case message.Result != nil:
		done, ok := u.commands[message.Result.Number]
		if !ok {
			return
		}
		delete(u.commands, message.Result.Number)
		a := commandResult{}
		if message.Result.Unknown {
			a.err = admin.ErrUnknownEndpoint
		} else if message.Result.Error != "" {
			a.err = errors.New(message.Result.Error)
		}
		done <- a
	}
}

func (u *handoffState) mergeRetryAfter(retryAfter handoff.RetryAfter) {
	MergeRetryAfter(&u.snapshotAtHandoff, &dispatch.Snapshot{Groups: []dispatch.GroupSnapshot{{Destination: retryAfter.Destination, Endpoint: retryAfter.Endpoint, RetryAfterUntil: retryAfter.Until}}})
}

// MergeRetryAfter adds to a snapshot the Retry-After of another; of each group the later one holds.
func MergeRetryAfter(l, other *dispatch.Snapshot) *dispatch.Snapshot {
	for _, o := range other.Groups {
		i := slices.IndexFunc(l.Groups, func(r dispatch.GroupSnapshot) bool { return r.Destination == o.Destination && r.Endpoint == o.Endpoint })
		if i < 0 {
			i = len(l.Groups)
			l.Groups = append(l.Groups, dispatch.GroupSnapshot{Destination: o.Destination, Endpoint: o.Endpoint, CountedSince: l.TakenAt, LastCall: l.TakenAt, LastDelivery: l.TakenAt})
		}
		l.Groups[i].RetryAfterUntil = max(l.Groups[i].RetryAfterUntil, o.RetryAfterUntil)
	}
	return l
}

// successorLost goes on where the successor has gone. Failure: a successor that left while all was made ready for it was handed all the
// same, and nobody decided any more.
func (u *handoffState) successorLost() {
	for _, done := range u.commands {
		done <- commandResult{err: fmt.Errorf("asked in an upgrade: %w", ErrSuccessorLost)}
	}
	clear(u.commands)
	u.requested = false
	// Failure: a successor that left while all was made ready for it was given it even so, and nobody decided any more.
	if u.machine.SuccessorLost() == handoff.Reclaim || u.handingOver {
		u.server.log.Error("successor is gone: this process continues", "in_flight", len(u.server.inFlight))
		u.reclaim = true
	}
}

// CopyCounters continues the counters of an earlier event loop of this process.
func (s *Server) CopyCounters(before *Server) {
	s.counters.endings, s.counters.calls = before.counters.endings, before.counters.calls
	s.counters.grow(len(s.deployment.Classes))
	s.operators.reloads = before.operators.reloads
	s.operators.failedReloads.Store(before.operators.failedReloads.Load())
}

// SnapshotAtHandoff returns what this process had learned when it handed over, for a loop that goes on after its successor has gone.
func (s *Server) SnapshotAtHandoff() *dispatch.Snapshot { return &s.handoff.snapshotAtHandoff }
