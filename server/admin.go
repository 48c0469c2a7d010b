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

// controlQueueSize bounds the control queue, and the number of operator commands that wait for a successor.
// It can be small because the sender of each command waits for the result.
const controlQueueSize = 16

// AdminSockets returns the number of file descriptors reserved for the admin address.
func AdminSockets(dep *config.Deployment) int {
	if dep.Ops == "" {
		return 0
	}
	return min(16, dep.MaxDescriptors/24)
}

// command is an operator's command. The event loop sends one result to done, after the step that executed
// the command.
type command struct {
	request admin.Command
	done    chan commandResult
}

// commandResult is the result of a command, with the state that must be stored before the result is
// reported to the operator.
type commandResult struct {
	err        error
	generation int64
	disabled   map[string]bool // all disabled endpoints after the command
}

// adminState is the state set by operators' commands, and the metrics served to operators.
type adminState struct {
	server         *Server
	disabled       map[string]bool // endpoints disabled for maintenance
	generation     int64           // incremented with each change of disabled
	writer         *maintenance.Writer
	serving        atomic.Bool     // whether the courier accepts clients
	drainAt        dispatch.Micros // when the next idle client connections are closed; never if the courier is not draining
	pendingResults []func()
	metrics        atomic.Pointer[admin.Metrics]
	metricsAt      dispatch.Micros
	reloads        int64
	failedReloads  atomic.Int64
}

func (a *adminState) init(s *Server) {
	a.server, a.disabled, a.drainAt, a.metricsAt = s, map[string]bool{}, never, never
	a.writer = maintenance.NewWriter(s.deployment.StateDir, s.deployment.Name)
	if s.deployment.Ops != "" {
		a.metricsAt = 0
	}
	disabled, err := maintenance.Read(s.deployment.StateDir, s.deployment.Name)
	if err != nil {
		s.log.Error("cannot read the disabled endpoints; all endpoints are enabled", "file", maintenance.FileName, "error", err)
	}
	for _, id := range disabled {
		a.disabled[id] = true
	}
}

// replayDisabled reports the disabled endpoints to a new dispatcher.
func (a *adminState) replayDisabled() {
	for _, id := range slices.Sorted(maps.Keys(a.disabled)) {
		a.server.events = append(a.server.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(id), Disabled: true})
	}
}

// Serving reports whether this process accepts clients. Any goroutine may call it.
func (s *Server) Serving() bool { return s.admin.serving.Load() }

// Metrics returns the most recently collected metrics. Any goroutine may call it.
func (s *Server) Metrics() *admin.Metrics { return s.admin.metrics.Load() }

// CountFailedReload counts a rejected configuration. Any goroutine may call it.
func (s *Server) CountFailedReload() { s.admin.failedReloads.Add(1) }

// Execute runs a command on the event loop and returns after its result has been stored. Any goroutine may
// call it.
func (s *Server) Execute(ctx context.Context, adminCommand admin.Command) error {
	command := command{adminCommand, make(chan commandResult, 1)}
	select {
	case s.control <- command:
	case <-ctx.Done():
		return ctx.Err()
	}
	var result commandResult
	select {
	case result = <-command.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.persist(result)
}

// persist stores the state in a command's result and returns the command's error or the error of storing
// it.
func (s *Server) persist(result commandResult) error {
	if result.err != nil || result.disabled == nil {
		return result.err
	}
	return s.admin.writer.Write(result.generation, result.disabled)
}

var errUnknownCommand = errors.New("no such call here")

// execute runs a command. Its result is sent after the step.
func (a *adminState) execute(command command) {
	if a.server.handoff.handedOver {
		a.server.handoff.forwardCommand(command)
		return
	}
	result := commandResult{}
	switch typed := command.request.(type) {
	case admin.SetDisabled:
		result = a.setDisabled(typed)
	case admin.Drain:
		a.setDraining(typed.Enabled)
	default:
		result.err = fmt.Errorf("%w: %T", errUnknownCommand, command.request)
	}
	a.pendingResults = append(a.pendingResults, func() { command.done <- result })
}

// setDisabled disables or enables an endpoint. The endpoint must be listed or already disabled.
func (a *adminState) setDisabled(change admin.SetDisabled) commandResult {
	entry, listed := a.server.endpoints[dispatch.EndpointID(change.Endpoint)]
	if !listed && !a.disabled[change.Endpoint] {
		return commandResult{err: admin.ErrUnknownEndpoint}
	}
	if a.disabled[change.Endpoint] != change.Disabled {
		if a.generation++; change.Disabled {
			a.disabled[change.Endpoint] = true
			a.server.endpointConns.CloseIdle(peerOf(entry))
		} else {
			delete(a.disabled, change.Endpoint)
		}
		a.server.log.Info("maintenance changed", "endpoint", change.Endpoint, "disabled", change.Disabled)
		a.server.events = append(a.server.events, dispatch.MaintenanceChanged{Endpoint: dispatch.EndpointID(change.Endpoint), Disabled: change.Disabled})
	}
	return commandResult{generation: a.generation, disabled: maps.Clone(a.disabled)} // even without a change, as an earlier write may have failed
}

const (
	// drainStart is the delay before idle client connections are closed. A load balancer in front of the
	// couriers probes each courier every 100 ms and stops sending new connections to it within 200 ms of
	// the first failed probe.
	drainStart    = 350 * 1000
	drainInterval = 50 * 1000
)

// setDraining starts or stops draining. While draining, the courier serves open client connections and
// closes each one between two requests.
func (a *adminState) setDraining(draining bool) {
	if draining == a.isDraining() {
		return
	}
	a.server.log.Info("draining clients", "draining", draining, "clients", a.server.clients.Len())
	a.drainAt = never
	if draining {
		a.drainAt = a.server.now + drainStart
	}
	a.serving.Store(!draining && !a.server.shutdown.isRequested())
}

func (a *adminState) isDraining() bool { return a.drainAt < never }

func (a *adminState) due() dispatch.Micros { return min(a.drainAt, a.metricsAt) }

// tick closes idle client connections while the courier is draining.
func (a *adminState) tick() {
	if a.drainAt <= a.server.now {
		a.drainAt = a.server.now + drainInterval
		a.server.clients.CloseIdle(a.server.now)
	}
}

// metricsInterval is the maximum age of the metrics.
const metricsInterval = 200 * 1000

// publish collects the metrics if they are due or a result is pending, and sends the results of commands.
func (a *adminState) publish() {
	if a.server.deployment.Ops != "" && a.server.now >= a.metricsAt || len(a.pendingResults) > 0 {
		a.metricsAt = a.server.now + metricsInterval
		a.metrics.Store(a.server.collectMetrics())
	}
	for _, sendResult := range a.pendingResults {
		sendResult()
	}
	a.pendingResults = nil
}
