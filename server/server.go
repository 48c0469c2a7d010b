// Package server implements the event loop of a courier. One goroutine owns the dispatch.Dispatcher and the
// state of all messages, collects events, steps the dispatcher and executes its actions. All decisions are
// the dispatcher's. docs/ARCHITECTURE.md describes the path of a message through the event loop.
//
// In the comments, "Failure:" and "Incident:" describe what went wrong before the code was as it is now.
package server

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"pineport/clock"
	"pineport/config"
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/logging"
	"pineport/protocol"
	"pineport/server/clientconn"
	"pineport/server/endpointconn"
	"pineport/spool"
	"pineport/transport"
)

const never = dispatch.Micros(math.MaxInt64)

// queueSize bounds the queue of connection events. When it is full, the poller blocks. A size of 256 took
// 70 MB with small commands from five clients that did not read their replies.
const queueSize = 64

// dispatcher is the interface that any dispatcher implements. Further methods of dispatch.Dispatcher are
// optional and found by type assertions, for example to dispatch.Snapshotter.
type dispatcher interface {
	Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action
}

// Server is the event loop of one courier. The goroutine of Run owns it. Methods that other goroutines may
// call are documented as such.
type Server struct {
	deployment         *config.Deployment
	log                *slog.Logger
	tracer             *slog.Logger // logs the main events and actions of the dispatcher, for replay
	dispatcher         dispatcher
	newDispatcher      func() dispatcher
	dispatcherRestarts int // restarts since the dispatcher last handled events without a panic
	spool              *spool.Spool
	driver             *transport.Driver
	queue              chan event
	control            chan event // events from operators, the fleet and the other process of an upgrade; handleQueued takes them before those in queue

	courierClock       *clock.Clock
	now                dispatch.Micros
	timerAt            dispatch.Micros  // when the dispatcher's timer fires
	events             []dispatch.Event // events for the dispatcher since the last step
	replies            []*reply
	messages           map[dispatch.MessageID]*message
	inFlight           []*attempt // oldest first
	endpoints          map[dispatch.EndpointID]protocol.Endpoint
	suspects           map[dispatch.EndpointID]bool // listed endpoints that unusable list entries may refer to; they get no new messages
	superseded         map[dispatch.EndpointID]bool // listed endpoints whose address belongs to a later process; they get no new messages
	destinations       map[int]dispatch.Micros      // when each known destination expires; the constant never while it has listed endpoints
	retryAfter         map[string]dispatch.Micros   // end of the Retry-After per group key; the dispatcher keeps its own copy
	endpointConns      *endpointconn.Pool
	clients            *clientconn.Set
	finished           finishedMessages
	discovery          discoveryClient
	malformed          malformedInput
	snapshots          snapshotSchedule
	shadow             shadowState
	counters           counters
	admin              adminState
	handoff            handoffState
	onReload           func(*config.Deployment)   // called with each reloaded configuration
	onHandoff          func() *handoff.Membership // gives up this process's membership in the fleet
	estimatedFleetSize atomic.Int64               // from the membership; 0 if unknown
	appliedFleetSize   int64
	reportedCouriers   int // fleet size last passed to the dispatcher
	demands            atomic.Pointer[[]dispatch.Demand]
	nextDemandsAt      dispatch.Micros
	grantedUntil       dispatch.Micros // until then, other couriers may use half of each quota share, granted by an earlier process or dispatcher
	spoolRetryAt       dispatch.Micros
	shutdown           shutdown
}

// New returns an event loop with an open spool. unfinished are the messages read from that spool. inherited
// is the state handed over by a predecessor, or nil. Times in both are those of courierClock.
func New(dep *config.Deployment, messageSpool *spool.Spool, unfinished []*spool.Message, inherited *handoff.State, courierClock *clock.Clock, log *slog.Logger) (*Server, error) {
	s := &Server{deployment: dep, log: log, spool: messageSpool, queue: make(chan event, queueSize), control: make(chan event, controlQueueSize),
		courierClock: courierClock, timerAt: never, shutdown: shutdown{drainAt: never, closeAt: never, endAt: never}, messages: map[dispatch.MessageID]*message{},
		endpoints: map[dispatch.EndpointID]protocol.Endpoint{}, suspects: map[dispatch.EndpointID]bool{}, retryAfter: map[string]dispatch.Micros{}, destinations: map[int]dispatch.Micros{}}
	s.tracer = log.With(logging.Component, "decisions")
	s.now = s.clock()
	s.newDispatcher = func() dispatcher {
		s.reserveGranted()
		cfg := s.dispatchConfig()
		s.reportedCouriers = cfg.Couriers
		return dispatch.New(cfg)
	}
	s.dispatcher = s.newDispatcher()
	s.shadow.start(s)
	s.endpointConns = s.newEndpointConns()
	s.clients = clientconn.New(s.clientLimits(), s.clock, func(event clientconn.Event) { s.queue <- clientEvent{event} })
	s.finished.onForgotten = func(id dispatch.MessageID) { s.spool.Forget(string(id)) }
	s.finished.restore(messageSpool.Remembered(), s.now)
	s.discovery.init(s)
	s.counters.grow(len(dep.Classes))
	s.admin.init(s)
	list, err := protocol.ReadConfiguredList(dep.KnownEndpoints)
	if err != nil {
		log.Warn("known endpoint list ignored", "key", "known", "error", err)
	}
	s.handoff.init(s)
	if inherited != nil && inherited.ListVersion >= list.Version {
		list = protocol.List{Version: inherited.ListVersion, Complete: true, Hosts: inherited.Endpoints}
	}
	if len(s.applyEndpoints(list, dispatch.CachedList)) == 0 {
		s.discovery.version = list.Version // no unusable entries; otherwise version stays 0 and the first poll returns the complete list
	}
	if inherited != nil {
		s.handoff.restoreState(inherited)
	}
	s.admin.replayDisabled()
	s.recoverMessages(unfinished, inherited)
	return s, nil
}

// Run listens and runs the event loop until stop is requested, and then shuts down gracefully at the given times. It
// applies reloaded configurations, except for settings that need a restart.
func (s *Server) Run(stop *StopRequest, reloads <-chan *config.Deployment, times ShutdownTimes) error {
	if err := s.startServing(stop.Made()); err != nil {
		return err
	}
	stopMade := stop.Made()
	timer := time.NewTimer(0)
	for {
		began := s.clock()
		due := min(max(s.due(), began), began+hour)
		timer.Reset(time.Duration(due-began) * time.Microsecond)
		var next event
		select {
		case next = <-s.queue:
		case <-timer.C:
		case reloaded := <-reloads:
			next = configReloaded{reloaded}
		case next = <-s.control:
		case <-stopMade:
			stopMade = nil
			s.beginShutdown(times, stop.age())
		}
		s.handle(next)
		s.catchUpAfterPause(due)
		s.handleUpTo(maxCommandsPerStep)
		s.guardedStep()
		s.handoff.handOver()
		if s.handoff.reclaim {
			s.driver.Close()
			return ErrSuccessorLost
		}
		if s.advanceShutdown() {
			return s.finishShutdown()
		}
		// On one core, the loop and the poller hand work to each other without end under load. Failure: the goroutine that accepts
		// connections waited for a turn of the scheduler longer than clients wait for a reply.
		runtime.Gosched()
	}
}

// listenRetry is the interval between attempts to listen while a resource such as file descriptors is
// exhausted.
const listenRetry = 50 * time.Millisecond

// startServing listens and runs the first step with the recovered state. Failure: a process that started
// while no file descriptors were available exited at once, so its unfinished messages waited until the next
// start.
func (s *Server) startServing(stop <-chan struct{}) error {
	driver, err := s.openDriver()
	for transport.IsTemporary(err) {
		s.log.Warn("not listening yet", "error", err)
		select {
		case <-stop:
			return err
		case <-time.After(listenRetry):
		}
		driver, err = s.openDriver()
	}
	if err != nil {
		return err
	}
	s.driver = driver
	if s.handoff.hasPredecessor() {
		s.discovery.start()
	} else { // the dispatcher decides on the first poll
		s.events = append(s.events, dispatch.ListAwaited{})
	}
	s.step()
	s.admin.serving.Store(!s.admin.isDraining())
	s.handoff.announceServing()
	s.log.Info("serving", "name", s.deployment.Name, "listen", s.deployment.Listen)
	return nil
}

func (s *Server) openDriver() (*transport.Driver, error) {
	var inherited net.Listener
	if s.deployment.SocketFD > 0 {
		listener, err := transport.ListenerFromFD(s.deployment.SocketFD)
		if err != nil {
			return nil, fmt.Errorf("socket_fd: %w", err)
		}
		inherited = listener
	}
	return transport.Open(s.deployment.Listen, inherited, s.deployment.MaxDescriptors, s.log, s.clients.CanAccept, s.clients.Accept)
}

func (s *Server) clock() dispatch.Micros {
	return dispatch.Micros(s.courierClock.Now())
}

// spoolRetryInterval is the interval between attempts to write what could not be written to the spool.
const spoolRetryInterval = 100 * 1000

// spoolDue returns the time of the next attempt to flush the spool.
func (s *Server) spoolDue() dispatch.Micros {
	if s.spool.HasBacklog() {
		return s.spoolRetryAt
	}
	return never
}

// flushSpool retries failed writes to the spool, at most once per spoolRetryInterval.
func (s *Server) flushSpool() {
	s.logSpoolError(s.spool.TakeCompactionError())
	if !s.spool.HasBacklog() || s.now < s.spoolRetryAt {
		return
	}
	s.spoolRetryAt = s.now + spoolRetryInterval
	s.logSpoolError(s.spool.Flush())
}

// logSpoolError logs an error of the spool. The event loop continues with the state in memory.
func (s *Server) logSpoolError(err error) {
	if err != nil {
		s.log.Error("spool error", "error", err)
	}
}
