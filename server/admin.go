package server

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"pineport/admin"
	"pineport/config"
	"pineport/dispatch"
	"pineport/maintenance"
)

// doorSize bounds what operators may have waiting; each of them waits for the answer.
const controlQueueSize = 16

// AdminSockets is how many of the courier's descriptors are set apart for the operators' address.
func AdminSockets(dep *config.Deployment) int {
	if dep.Ops == "" {
		return 0
	}
	return min(16, dep.Sockets/24)
}

// request is one thing that operators ask for; done is notified once, after the step that did it.
type command struct {
	command any
	done    chan commandResult
}

// answer says what stands after the step.
type commandResult struct {
	err        error
	generation int64
	disabled   map[string]bool // endpoints out then
}

// operators is what operators have reported the courier, and what they are notified.
type adminState struct {
	server        *Server
	disabled      map[string]bool // endpoints that are out for maintenance
	generation    int64           // of changes of that
	writer        *maintenance.Writer
	serving       atomic.Bool // clients are taken
	drainAt       dispatch.Micros
	replies       []func()
	figures       atomic.Pointer[admin.Metrics]
	figuresAt     dispatch.Micros
	reloads       int64
	failedReloads atomic.Int64
}

func (o *adminState) init(r *Server) {
	o.server, o.disabled, o.drainAt, o.figuresAt = r, map[string]bool{}, never, never
	o.writer = maintenance.NewWriter(r.deployment.Spool, r.deployment.Name)
	if r.deployment.Ops != "" {
		o.figuresAt = 0
	}
	out, err := maintenance.Read(r.deployment.Spool, r.deployment.Name)
	if err != nil {
		r.log.Error("disabled endpoints cannot be read: all are enabled", "file", maintenance.Name, "error", err)
	}
	for _, id := range out {
		o.disabled[id] = true
	}
}

// remind tells decisions that begin who is out.
func (o *adminState) replayDisabled() {
	for _, id := range slices.Sorted(maps.Keys(o.disabled)) {
		o.server.events = append(o.server.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(id), Disabled: true})
	}
}

// Serving tells whether this process takes clients.
func (s *Server) Serving() bool { return s.operators.serving.Load() }

// Metrics are the last that were made up.
func (s *Server) Metrics() *admin.Metrics { return s.operators.figures.Load() }

// CountFailedReload counts a configuration that was left out.
func (s *Server) CountFailedReload() { s.operators.failedReloads.Add(1) }

// Execute has the event loop do what operators want, and returns once it is done and lasts.
func (s *Server) Execute(ctx context.Context, what any) error {
	command := command{what, make(chan commandResult, 1)}
	select {
	case s.control <- command:
	case <-ctx.Done():
		return ctx.Err()
	}
	var a commandResult
	select {
	case a = <-command.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.persist(a)
}

// lasting writes down what an answer says, and returns what is to be notified.
func (s *Server) persist(a commandResult) error {
	if a.err != nil || a.disabled == nil {
		return a.err
	}
	return s.operators.writer.Write(a.generation, a.disabled)
}

var errUnknownCommand = errors.New("no such call here")

// asked does what operators want; they are notified after the step.
func (o *adminState) execute(command command) {
	if o.server.handoff.handedOver {
		o.server.handoff.forwardCommand(command)
		return
	}
	a := commandResult{}
	switch w := command.command.(type) {
	case admin.SetDisabled:
		a = o.setDisabled(w)
	case admin.Drain:
		o.setDraining(w.Enabled)
	default:
		a.err = fmt.Errorf("%w: %T", errUnknownCommand, command.command)
	}
	o.replies = append(o.replies, func() { command.done <- a })
}

// maintain takes an endpoint out or puts it back; it must be on the list, or out.
func (o *adminState) setDisabled(w admin.SetDisabled) commandResult {
	host, listed := o.server.endpoints[dispatch.EndpointID(w.Endpoint)]
	if !listed && !o.disabled[w.Endpoint] {
		return commandResult{err: admin.ErrUnknownEndpoint}
	}
	if o.disabled[w.Endpoint] != w.Disabled {
		if o.generation++; w.Disabled {
			o.disabled[w.Endpoint] = true
			o.server.endpointConns.closeIdle(peerOf(host))
		} else {
			delete(o.disabled, w.Endpoint)
		}
		o.server.log.Info("maintenance changed", "endpoint", w.Endpoint, "disabled", w.Disabled)
		o.server.events = append(o.server.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(w.Endpoint), Disabled: w.Disabled})
	}
	return commandResult{generation: o.generation, disabled: maps.Clone(o.disabled)} // written again if it is there already: the first try may have failed
}

const (
	// Whoever hands out new connections stops within two tenths of a second of the first no, and asks each tenth.
	drainStart    = 350 * 1000
	drainInterval = 50 * 1000
)

// send sends clients away, or ends that. Connections that are up are served, and closed between two requests.
func (o *adminState) setDraining(away bool) {
	if away == o.isDraining() {
		return
	}
	o.server.log.Info("draining clients", "draining", away, "clients", o.server.clients.Len())
	o.drainAt = never
	if away {
		o.drainAt = o.server.now + drainStart
	}
	o.serving.Store(!away && o.server.shutdownBy == never)
}

func (o *adminState) isDraining() bool { return o.drainAt < never }

func (o *adminState) due() dispatch.Micros { return min(o.drainAt, o.figuresAt) }

// tick closes what rests while clients are drained.
func (o *adminState) tick() {
	if o.drainAt <= o.server.now {
		o.drainAt = o.server.now + drainInterval
		o.server.clients.CloseIdle(o.server.now)
	}
}

// showEvery is how old the figures may be.
const figuresInterval = 200 * 1000

// publish makes the figures up anew, and tells operators what was done.
func (o *adminState) publish() {
	if o.server.deployment.Ops != "" && o.server.now >= o.figuresAt || len(o.replies) > 0 {
		o.figuresAt = o.server.now + figuresInterval
		o.figures.Store(o.server.collectMetrics())
	}
	for _, tell := range o.replies {
		tell()
	}
	o.replies = nil
}
