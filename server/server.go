// Package server is the event loop of a courier: one goroutine owns the dispatch.Dispatcher and all that is known of messages, gathers
// events, steps the dispatcher and carries its actions out. It decides nothing. docs/ARCHITECTURE.md has the way of a message through it.
package server

import (
	"fmt"
	"log/slog"
	"math"
	"net"
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

// queueSize bounds the events that wait for the loop; when it is full the poller reads on later. 256 took 70 MB of small commands from five
// clients that read no replies.
const queueSize = 64

// dispatcher is what the loop needs of a dispatch.Dispatcher.
type dispatcher interface {
	Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action
}

// Server is the event loop of one courier. The goroutine of Run owns it; methods that other goroutines may call say so.
type Server struct {
	deployment         *config.Deployment
	log                *slog.Logger
	tracer             *slog.Logger // the decisions, for a replay
	dispatcher         dispatcher
	newDispatcher      func() dispatcher
	dispatcherFailures int // how often in a row the decisions did
	spool              *spool.Spool
	driver             *transport.Driver
	queue              chan event
	control            chan event // operators and the other process of an upgrade, served before the inbox

	courierClock       *clock.Clock
	now                dispatch.Micros
	timerAt            dispatch.Micros
	events             []dispatch.Event
	replies            []*reply
	messages           map[dispatch.MessageID]*message
	inFlight           []*attempt // oldest first
	endpoints          map[dispatch.EndpointID]protocol.Endpoint
	suspects           map[dispatch.EndpointID]bool // listed ones of which a list told what could not be used; they get nothing new
	destinations       map[int]dispatch.Micros      // known destinations, and until when
	retryAfter         map[string]dispatch.Micros   // reported by a route, until when; the decisions keep their own
	endpointConns      *endpointconn.Pool
	clients            *clientconn.Set
	finished           finishedMessages
	discovery          discovery
	malformed          malformedInput
	snapshots          snapshotSchedule
	shadow             shadowState
	counters           counters
	operators          adminState
	handoff            handoffState
	onReload           func(*config.Deployment)   // called for each configuration that is taken over
	onHandoff          func() *handoff.Membership // gives up this process's place in the fleet
	estimatedSize      atomic.Int64               // of the fleet, by its membership; 0 if unknown
	appliedSize        int64
	configuredCouriers int // couriers, as the decisions were notified
	demands            atomic.Pointer[[]dispatch.Demand]
	demandsAt          dispatch.Micros
	grantedUntil       dispatch.Micros // until then an earlier start may have granted half of each part
	spoolRetryAt       dispatch.Micros
	shutdownBy         dispatch.Micros
	exiting            bool
	exitBy             dispatch.Micros // while leaving: until then at the latest
	drainAt            dispatch.Micros // from here on clients' connections are closed between requests
}

// New returns an event loop over an open spool; unfinished is what the spool still held. given is what a predecessor handed over, nil where
// none did; times in both are those of the clock.
func New(dep *config.Deployment, sp *spool.Spool, unfinished []*spool.Message, given *handoff.State, clk *clock.Clock, log *slog.Logger) (*Server, error) {
	r := &Server{deployment: dep, log: log, spool: sp, queue: make(chan event, queueSize), control: make(chan event, controlQueueSize),
		courierClock: clk, timerAt: never, shutdownBy: never, drainAt: never, messages: map[dispatch.MessageID]*message{},
		endpoints: map[dispatch.EndpointID]protocol.Endpoint{}, suspects: map[dispatch.EndpointID]bool{}, retryAfter: map[string]dispatch.Micros{}, destinations: map[int]dispatch.Micros{}}
	r.tracer = log.With(logging.Component, "decisions")
	r.now = r.clock()
	r.newDispatcher = func() dispatcher {
		r.reserveGranted()
		ch := r.dispatchConfig()
		r.configuredCouriers = ch.Couriers
		return dispatch.New(ch)
	}
	r.dispatcher = r.newDispatcher()
	r.shadow.start(r)
	r.endpointConns = r.newEndpointConns()
	r.clients = clientconn.New(r.clientLimits(), r.clock, func(e clientconn.Event) { r.queue <- clientEvent{e} })
	r.discovery.init(r)
	r.counters.grow(len(dep.Classes))
	r.operators.init(r)
	list, err := protocol.ReadConfiguredList(dep.KnownEndpoints)
	if err != nil {
		log.Warn("known endpoint list ignored", "key", "known", "error", err)
	}
	r.handoff.init(r)
	if given != nil && given.ListVersion >= list.Version {
		list = protocol.List{Version: given.ListVersion, Complete: true, Hosts: given.Endpoints}
	}
	if len(r.applyEndpoints(list, dispatch.CachedList)) == 0 {
		r.discovery.version = list.Version // else all is asked for
	}
	if given != nil {
		r.handoff.takeOver(given)
	}
	r.operators.replayDisabled()
	r.recoverMessages(unfinished, given)
	return r, nil
}

// Run listens and works until stop is closed, and then for as long as grace allows. Configurations from reloads are taken over as far as a
// running process can.
func (s *Server) Run(stop <-chan struct{}, reloads <-chan *config.Deployment, grace time.Duration) error {
	if err := s.startServing(stop); err != nil {
		return err
	}
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
		case <-stop:
			stop = nil
			s.beginShutdown(grace)
		}
		s.handle(next)
		s.catchUpAfterPause(due)
		s.drainQueues()
		s.guardedStep()
		s.handoff.handOver()
		if s.handoff.reclaim {
			s.driver.Close()
			return ErrSuccessorLost
		}
		if s.mayExit() {
			return s.finishShutdown()
		}
	}
}

// listenRetry is how often it is tried to listen, where this machine is short of something.
const listenRetry = 50 * time.Millisecond

// startServing listens, and takes the first step, over what the loop was started with. Failure: a process that was started while no descriptor
// could be had ended, and what it had taken on waited for the next start.
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
	s.discovery.start()
	s.step()
	s.operators.serving.Store(!s.operators.isDraining())
	s.handoff.announceServing()
	s.log.Info("serving", "name", s.deployment.Name, "listen", s.deployment.Listen)
	return nil
}

func (s *Server) openDriver() (*transport.Driver, error) {
	var inherited net.Listener
	if s.deployment.SocketFD > 0 {
		l, err := transport.ListenerFromFD(s.deployment.SocketFD)
		if err != nil {
			return nil, fmt.Errorf("socket_fd: %w", err)
		}
		inherited = l
	}
	return transport.Open(s.deployment.Listen, inherited, s.deployment.MaxDescriptors, s.log, s.clients.CanAccept, s.clients.Accept)
}

func (s *Server) clock() dispatch.Micros {
	return dispatch.Micros(s.courierClock.Now())
}

// spoolRetryInterval is how often it is tried to write what the folder did not take.
const spoolRetryInterval = 100 * 1000

// spoolDue returns when the folder is tried again.
func (s *Server) spoolDue() dispatch.Micros {
	if s.spool.HasBacklog() {
		return s.spoolRetryAt
	}
	return never
}

// flushSpool writes what the folder did not take, now and then.
func (s *Server) flushSpool() {
	s.logSpoolError(s.spool.TakeCompactionError())
	if !s.spool.HasBacklog() || s.now < s.spoolRetryAt {
		return
	}
	s.spoolRetryAt = s.now + spoolRetryInterval
	s.logSpoolError(s.spool.Flush())
}

// logSpoolError logs what could not be written to the spool; the loop goes on with what is in memory.
func (s *Server) logSpoolError(err error) {
	if err != nil {
		s.log.Error("spool error", "error", err)
	}
}
