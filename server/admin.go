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

// controlQueueSize bounds the commands that may wait; each of them waits for its result.
const controlQueueSize = 16

// AdminSockets is how many of the courier's descriptors are reserved for the admin address.
func AdminSockets(dep *config.Deployment) int {
	if dep.Ops == "" {
		return 0
	}
	return min(16, dep.MaxDescriptors/24)
}

// command is one command of an operator; done gets its result once, after the step that carried it out.
type command struct {
	command admin.Command
	done    chan commandResult
}

// commandResult is the result of a command, with what is to be stored.
type commandResult struct {
	err        error
	generation int64
	disabled   map[string]bool // endpoints out then
}

// adminState is what operators have commanded, and the metrics that they read.
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
	o.writer = maintenance.NewWriter(r.deployment.StateDir, r.deployment.Name)
	if r.deployment.Ops != "" {
		o.figuresAt = 0
	}
	out, err := maintenance.Read(r.deployment.StateDir, r.deployment.Name)
	if err != nil {
		r.log.Error("disabled endpoints cannot be read: all are enabled", "file", maintenance.FileName, "error", err)
	}
	for _, id := range out {
		o.disabled[id] = true
	}
}

// replayDisabled tells a new dispatcher which endpoints are disabled.
func (o *adminState) replayDisabled() {
	for _, id := range slices.Sorted(maps.Keys(o.disabled)) {
		o.server.events = append(o.server.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(id), Disabled: true})
	}
}

// Serving reports whether this process accepts clients. Any goroutine may call it.
func (s *Server) Serving() bool { return s.operators.serving.Load() }

// Metrics returns the metrics that were collected last. Any goroutine may call it.
func (s *Server) Metrics() *admin.Metrics { return s.operators.figures.Load() }

// CountFailedReload counts a configuration that was rejected. Any goroutine may call it.
func (s *Server) CountFailedReload() { s.operators.failedReloads.Add(1) }

// Execute has the loop carry out a command, and returns once it is done and stored. Any goroutine may call it.
func (s *Server) Execute(ctx context.Context, what admin.Command) error {
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

// persist stores what a result says, and returns its error.
func (s *Server) persist(a commandResult) error {
	if a.err != nil || a.disabled == nil {
		return a.err
	}
	return s.operators.writer.Write(a.generation, a.disabled)
}

var errUnknownCommand = errors.New("no such call here")

// execute carries out a command; its result is sent after the step.
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

// setDisabled disables an endpoint or enables it again; it must be on the list, or disabled.
func (o *adminState) setDisabled(w admin.SetDisabled) commandResult {
	host, listed := o.server.endpoints[dispatch.EndpointID(w.Endpoint)]
	if !listed && !o.disabled[w.Endpoint] {
		return commandResult{err: admin.ErrUnknownEndpoint}
	}
	if o.disabled[w.Endpoint] != w.Disabled {
		if o.generation++; w.Disabled {
			o.disabled[w.Endpoint] = true
			o.server.endpointConns.CloseIdle(peerOf(host))
		} else {
			delete(o.disabled, w.Endpoint)
		}
		o.server.log.Info("maintenance changed", "endpoint", w.Endpoint, "disabled", w.Disabled)
		o.server.events = append(o.server.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(w.Endpoint), Disabled: w.Disabled})
	}
	return commandResult{generation: o.generation, disabled: maps.Clone(o.disabled)} // written again if it is there already: the first try may have failed
}

const (
	// drainStart: a front that hands out connections stops within two tenths of a second of the first refusal, and probes every tenth.
	drainStart    = 350 * 1000
	drainInterval = 50 * 1000
)

// setDraining begins or ends draining. Open connections are served, and closed between two requests.
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

// tick closes idle connections while clients are drained.
func (o *adminState) tick() {
	if o.drainAt <= o.server.now {
		o.drainAt = o.server.now + drainInterval
		o.server.clients.CloseIdle(o.server.now)
	}
}

// figuresInterval is how old the metrics may be.
const figuresInterval = 200 * 1000

// publish collects the metrics, and sends the results of commands.
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
