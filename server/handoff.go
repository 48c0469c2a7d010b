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

// ErrSuccessorLost is returned by Run if the successor has exited during or after a handoff. The caller must then
// take the state folder again and start a new event loop.
var ErrSuccessorLost = errors.New("the process that took over has gone")

type (
	// successorReady reports a successor that is ready to take over.
	successorReady struct {
		link  *handoff.Link
		hello *handoff.Hello
	}
	// peerMessage is a message from the other process of an upgrade, or nil when the link to that process
	// has ended.
	peerMessage struct {
		link    *handoff.Link
		message *handoff.Message
	}
)

// handoffState is the state of an upgrade: the link to the predecessor that handed over to this process,
// and later the link to a successor.
type handoffState struct {
	server            *Server
	stateMachine      *handoff.Predecessor
	releaseFolder     func() // unlocks the state folder
	successor         *handoff.Link
	requested         bool // the successor is ready and the handoff has not started
	handingOver       bool // the handoff has started and the successor does not have the state yet
	handedOver        bool // the successor has the state and runs the dispatcher
	reclaim           bool // the successor has exited and this process must resume
	predecessor       *handoff.Link
	unlisted          []*attempt                   // attempts of the predecessor whose endpoints are no longer listed
	snapshotAtHandoff dispatch.Snapshot            // the snapshot handed over, with each Retry-After that the successor has reported since
	commands          map[int64]chan commandResult // results of commands forwarded to the successor, by command number
	nextCommand       int64
}

func (h *handoffState) init(s *Server) {
	h.server, h.stateMachine, h.commands, h.releaseFolder = s, handoff.NewPredecessor(s.deployment.Name), map[int64]chan commandResult{}, func() {}
}

// SetFolderRelease sets the function that unlocks the state folder during a handoff.
func (s *Server) SetFolderRelease(releaseFolder func()) { s.handoff.releaseFolder = releaseFolder }

// SuccessorReady reports a successor that is ready to take over. Any goroutine may call it.
func (s *Server) SuccessorReady(link *handoff.Link, hello *handoff.Hello) {
	s.control <- successorReady{link, hello}
}

// ConnectPredecessor sets the link to the process that handed over to this one and starts receiving its messages.
func (s *Server) ConnectPredecessor(link *handoff.Link) {
	s.handoff.predecessor = link
	go s.receiveMessages(link)
}

func (s *Server) receiveMessages(link *handoff.Link) {
	link.Listen(func(message *handoff.Message) { s.control <- peerMessage{link, message} })
}

func (h *handoffState) successorReady(event successorReady) {
	verdict, reason := h.stateMachine.HelloReceived(event.hello)
	if verdict == handoff.Refuse {
		h.server.log.Warn("successor refused", "reason", reason)
		event.link.Refuse(reason)
		return
	}
	h.successor, h.requested = event.link, true
	go h.server.receiveMessages(event.link)
}

const (
	// partialCommandTimeout bounds the wait for clients that have sent part of a command. Clients wait many
	// times longer for a reply.
	partialCommandTimeout = 10 * 1000
	partialCommandPoll    = time.Millisecond
	// adoptionSlack is added to the timeout of an adopted attempt so that the predecessor's report of its
	// outcome can arrive. A message over the local socket takes far less.
	adoptionSlack = 250 * 1000
)

// handOver transfers all state to the successor at one point in time. The dispatcher of this process
// handles all events before it, the successor all later ones.
func (h *handoffState) handOver() {
	if !h.requested || h.server.spool.Flush() != nil { // if the spool cannot be written completely, the handoff is tried again after the next step
		return
	}
	h.requested, h.handingOver = false, true
	s := h.server
	began := s.clock()
	s.admin.serving.Store(false)
	s.driver.StopAccepting()
	for { // new connections now wait for the successor; idle ones are closed, and their clients reconnect to it
		s.handleQueued()
		s.guardedStep()
		s.clients.CloseIdle(s.now)
		if s.clients.AllIdle() && len(s.queue) == 0 || s.clock()-began > partialCommandTimeout {
			break
		}
		time.Sleep(partialCommandPoll)
	}
	h.cancelUnsentAttempts()
	state := h.state()
	h.handedOver, h.snapshotAtHandoff = true, state.Snapshot
	s.timerAt = never // Failure: its expired timer made the loop spin, because the dispatcher no longer runs
	s.admin.writer.Stop()
	s.admin.drainAt = s.now // closes the remaining client connections as they become idle
	if s.snapshots.writer != nil {
		s.snapshots.writer.Close(lastSnapshotTimeout)
		s.snapshots.writer = nil
	}
	s.discovery.stop()
	s.endpointConns.CloseAllIdle()
	s.logSpoolError(s.spool.Close())
	h.releaseFolder()
	h.successor.Send(handoff.Message{State: state})
	h.stateMachine.HandedOver()
	h.handingOver = false
	s.counters.unfinished = 0
	s.log.Info("handed over to the successor", "unfinished", len(s.messages), "in_flight", len(s.inFlight), "clients", s.clients.Len(), "duration", time.Duration(s.clock()-began)*time.Microsecond)
	debug.FreeOSMemory() // both processes share one memory limit
}

// cancelUnsentAttempts ends attempts that wait for a connection. By the time it is open, the successor may
// have learned that nothing may be sent to that endpoint.
func (h *handoffState) cancelUnsentAttempts() {
	for _, attempt := range slices.Clone(h.server.inFlight) {
		if exchange := attempt.call.exchange; exchange != nil && !exchange.IsSent() {
			h.finishAttempt(attempt)
			h.server.endpointConns.Abort(exchange)
			h.server.storeOutcome(attempt, dispatch.Unprocessed)
		}
	}
}

// state returns the state that the successor cannot read from the state folder.
func (h *handoffState) state() *handoff.State {
	s := h.server
	state := &handoff.State{Snapshot: s.takeSnapshot(), ListVersion: s.discovery.version, RetryAfter: maps.Clone(s.retryAfter), Disabled: slices.Sorted(maps.Keys(s.admin.disabled)),
		Draining: s.admin.isDraining()}
	if s.onHandoff != nil {
		state.Membership = s.onHandoff()
	}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		state.Endpoints = append(state.Endpoints, s.endpoints[id])
	}
	for _, attempt := range s.inFlight {
		state.InFlight = append(state.InFlight, handoff.AttemptID{Message: attempt.message.stored.ID, Attempt: attempt.number, WaitUntil: attempt.waitUntil})
	}
	return state
}

// restoreState applies the predecessor's state. New has already applied its endpoint list.
func (h *handoffState) restoreState(state *handoff.State) {
	s := h.server
	state.Snapshot.TakenAt = min(state.Snapshot.TakenAt, s.now)
	s.events = append(s.events, dispatch.SnapshotRestored{Snapshot: state.Snapshot})
	maps.Copy(s.retryAfter, state.RetryAfter)
	if disabled := slices.Sorted(maps.Keys(s.admin.disabled)); !slices.Equal(disabled, state.Disabled) {
		s.admin.disabled = map[string]bool{}
		for _, id := range state.Disabled {
			s.admin.disabled[id] = true
		}
		s.admin.generation++
		if err := s.admin.writer.Write(s.admin.generation, s.admin.disabled); err != nil {
			s.log.Error("cannot store the disabled endpoints", "file", maintenance.FileName, "error", err)
		}
	}
	if state.Draining {
		s.admin.setDraining(true)
	}
}

// adoptAttempt adds an attempt that the predecessor has in flight. An attempt to an endpoint that is no
// longer listed is canceled instead.
func (h *handoffState) adoptAttempt(adopted *attempt, waitUntil dispatch.Micros) {
	id := dispatch.EndpointID(adopted.message.stored.Attempts[adopted.number].Endpoint)
	entry, ok := h.server.endpoints[id]
	if !ok {
		h.unlisted = append(h.unlisted, adopted)
		return
	}
	adopted.finished, adopted.waitUntil = false, waitUntil+adoptionSlack
	adopted.call = &call{endpoint: id, entry: entry, attempts: []*attempt{adopted}, predecessor: true}
	adopted.message.inFlight++
	h.server.inFlight = append(h.server.inFlight, adopted)
}

// announceServing reports to the predecessor that this process accepts clients, and cancels the attempts to
// unlisted endpoints.
func (h *handoffState) announceServing() {
	if h.predecessor == nil {
		return
	}
	h.predecessor.Send(handoff.Message{Serving: true})
	for _, attempt := range h.unlisted {
		h.requestCancel(attempt)
	}
	h.unlisted = nil
}

// hasPredecessor reports whether this process has taken over from another one, with its endpoint list.
func (h *handoffState) hasPredecessor() bool { return h.predecessor != nil }

// requestCancel asks the predecessor to cancel an attempt.
func (h *handoffState) requestCancel(attempt *attempt) {
	if h.predecessor != nil {
		h.predecessor.Send(handoff.Message{Cancel: &handoff.AttemptID{Message: attempt.message.stored.ID, Attempt: attempt.number}})
	}
}

// forwardRetryAfter sends a Retry-After to the predecessor, which needs it if it has to resume.
func (h *handoffState) forwardRetryAfter(entry protocol.Endpoint, until dispatch.Micros) {
	if h.predecessor == nil {
		return
	}
	retryAfter := &handoff.RetryAfter{Destination: dispatch.DestinationID(entry.Destination), Until: until}
	if h.server.hasSeparateGroups(entry) {
		retryAfter.Endpoint = dispatch.EndpointID(entry.Host)
	}
	h.predecessor.Send(handoff.Message{RetryAfter: retryAfter})
}

// forwardOutcome sends the outcome of an attempt to the successor.
func (h *handoffState) forwardOutcome(attempt *attempt, event dispatch.AttemptFinished) {
	if attempt.finished {
		return
	}
	h.finishAttempt(attempt)
	event.Message, event.Attempt = dispatch.MessageID(attempt.message.stored.ID), dispatch.AttemptNumber(attempt.number)
	h.successor.Send(handoff.Message{AttemptFinished: &event})
}

func (h *handoffState) finishAttempt(finished *attempt) {
	finished.finished = true
	h.server.inFlight = slices.DeleteFunc(h.server.inFlight, func(other *attempt) bool { return other == finished })
}

// forwardCommand forwards an operator's command to the successor.
func (h *handoffState) forwardCommand(command command) {
	if len(h.commands) >= controlQueueSize {
		command.done <- commandResult{err: errTooManyCommands}
		return
	}
	forwarded := &handoff.Command{Number: h.nextCommand}
	switch typed := command.request.(type) {
	case admin.SetDisabled:
		forwarded.Endpoint, forwarded.On = typed.Endpoint, typed.Disabled
	case admin.Drain:
		forwarded.On = typed.Enabled
	}
	h.commands[h.nextCommand] = command.done
	h.nextCommand++
	h.successor.Send(handoff.Message{Command: forwarded})
}

var errTooManyCommands = errors.New("too many calls wait for the process that took over")

// messageReceived handles a message from the other process of an upgrade.
func (h *handoffState) messageReceived(event peerMessage) {
	switch {
	case event.link == h.predecessor && event.message == nil:
		h.predecessorLost()
	case event.link == h.predecessor:
		h.handlePredecessorMessage(event.message)
	case event.link != h.successor:
	case event.message == nil:
		h.successorLost()
	case h.stateMachine.MessageReceived(event.message) == handoff.CloseLink:
		h.server.log.Error("unexpected message from the successor")
		event.link.Close()
	default:
		h.handleSuccessorMessage(event.message)
	}
}

func (h *handoffState) handlePredecessorMessage(received *handoff.Message) {
	s := h.server
	switch {
	case received.AttemptFinished != nil:
		message := s.messages[received.AttemptFinished.Message]
		if message == nil || int(received.AttemptFinished.Attempt) < 0 || int(received.AttemptFinished.Attempt) >= len(message.attempts) {
			return
		}
		attempt := message.attempts[received.AttemptFinished.Attempt]
		if attempt.call == nil || !attempt.call.predecessor {
			return
		}
		finished := *received.AttemptFinished
		if finished.RetryAfter > 0 {
			s.storeRetryAfter(attempt.call.entry, s.now+finished.RetryAfter)
		}
		s.complete(attempt, dispatch.AttemptFinished{Outcome: finished.Outcome, MessageDone: finished.MessageDone, RetryAfter: finished.RetryAfter, LoadReport: finished.LoadReport})
	case received.Command != nil:
		forwarded, link := command{admin.Drain{Enabled: received.Command.On}, make(chan commandResult, 1)}, h.predecessor
		if received.Command.Endpoint != "" {
			forwarded.request = admin.SetDisabled{Endpoint: received.Command.Endpoint, Disabled: received.Command.On}
		}
		s.admin.execute(forwarded)
		go func() { // in a goroutine, because storing the result waits for the disk
			result := handoff.Result{Number: received.Command.Number}
			if err := s.persist(<-forwarded.done); err != nil {
				result.Error, result.Unknown = err.Error(), errors.Is(err, admin.ErrUnknownEndpoint)
			}
			link.Send(handoff.Message{Result: &result})
		}()
	}
}

// predecessorLost ends the attempts of the predecessor. Their outcomes are unknown, and they may have run.
func (h *handoffState) predecessorLost() {
	h.predecessor = nil
	lost := 0
	for _, attempt := range slices.Clone(h.server.inFlight) {
		if attempt.call.predecessor {
			lost++
			h.server.complete(attempt, dispatch.AttemptFinished{Outcome: dispatch.Broken})
		}
	}
	h.server.log.Info("predecessor exited", "unknown_outcomes", lost)
}

func (h *handoffState) handleSuccessorMessage(message *handoff.Message) {
	s := h.server
	switch {
	case message.Serving:
		s.log.Info("successor is serving", "in_flight", len(s.inFlight))
	case message.Cancel != nil:
		for _, attempt := range slices.Clone(s.inFlight) {
			if attempt.message.stored.ID == message.Cancel.Message && attempt.number == message.Cancel.Attempt {
				s.cancelAttempt(attempt)
			}
		}
	case message.RetryAfter != nil:
		h.mergeRetryAfter(*message.RetryAfter)
	case message.Result != nil:
		done, ok := h.commands[message.Result.Number]
		if !ok {
			return
		}
		delete(h.commands, message.Result.Number)
		result := commandResult{}
		if message.Result.Unknown {
			result.err = admin.ErrUnknownEndpoint
		} else if message.Result.Error != "" {
			result.err = errors.New(message.Result.Error)
		}
		done <- result
	}
}

func (h *handoffState) mergeRetryAfter(retryAfter handoff.RetryAfter) {
	MergeRetryAfter(&h.snapshotAtHandoff, &dispatch.Snapshot{Groups: []dispatch.GroupSnapshot{{Destination: retryAfter.Destination, Endpoint: retryAfter.Endpoint, RetryAfterUntil: retryAfter.Until}}})
}

// MergeRetryAfter merges the Retry-After times of other into target and returns target. For each group
// the later time is kept.
func MergeRetryAfter(target, other *dispatch.Snapshot) *dispatch.Snapshot {
	for _, o := range other.Groups {
		i := slices.IndexFunc(target.Groups, func(g dispatch.GroupSnapshot) bool { return g.Destination == o.Destination && g.Endpoint == o.Endpoint })
		if i < 0 {
			i = len(target.Groups)
			target.Groups = append(target.Groups, dispatch.GroupSnapshot{Destination: o.Destination, Endpoint: o.Endpoint, CountedSince: target.TakenAt, LastCall: target.TakenAt, LastDelivery: target.TakenAt})
		}
		target.Groups[i].RetryAfterUntil = max(target.Groups[i].RetryAfterUntil, o.RetryAfterUntil)
	}
	return target
}

// successorLost resumes this process after the successor has exited. Failure: if the successor exited
// during the handoff, the state was handed over to it anyway, and no process ran the dispatcher.
func (h *handoffState) successorLost() {
	for _, done := range h.commands {
		done <- commandResult{err: fmt.Errorf("asked in an upgrade: %w", ErrSuccessorLost)}
	}
	clear(h.commands)
	h.requested = false
	// The successor may also have exited before it received the state.
	if h.stateMachine.SuccessorLost() == handoff.Reclaim || h.handingOver {
		h.server.log.Error("successor is gone: this process continues", "in_flight", len(h.server.inFlight))
		h.reclaim = true
	}
}

// CopyCounters copies the counters of an earlier event loop of this process.
func (s *Server) CopyCounters(previous *Server) {
	s.counters.endings, s.counters.attempts = previous.counters.endings, previous.counters.attempts
	s.counters.grow(len(s.deployment.Classes))
	s.admin.reloads = previous.admin.reloads
	s.admin.failedReloads.Store(previous.admin.failedReloads.Load())
}

// SnapshotAtHandoff returns the learned state at the time of the handoff, for the event loop that resumes
// after the successor has exited.
func (s *Server) SnapshotAtHandoff() *dispatch.Snapshot { return &s.handoff.snapshotAtHandoff }
