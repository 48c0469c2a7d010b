// Package server joins the decisions with the outside: one goroutine owns the dispatch.Dispatcher and all that is
// known of messages, gathers what happened, calls Handle and carries out what it returns. It decides nothing.
package server

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync/atomic"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/handoff"
	"pineport/logging"
	"pineport/protocol"
	"pineport/spool"
	"pineport/transport"
)

const never = dispatch.Micros(math.MaxInt64)

// inboxSize bounds what waits for the router; when it is full the poller reads on later. 256 took 70 MB of small
// commands from five clients that read no replies.
const inboxSize = 64

// decider is a dispatch.Dispatcher.
type decider interface {
	Handle(dispatch.Micros, []dispatch.Event) []dispatch.Action
}

// Router runs one courier.
type Router struct {
	dep     *config.Deployment
	log     *slog.Logger
	tracer  *slog.Logger // the decisions, for a replay
	courier decider
	begin   func() decider
	failed  int // how often in a row the decisions did
	spool   *spool.Spool
	driver  *transport.Driver
	inbox   chan any
	door    chan any // operators and the other process of an upgrade, served before the inbox

	base      time.Time // for the clock: Unix time at the start, and what has passed since
	baseUnix  dispatch.Micros
	now       dispatch.Micros
	wakeAt    dispatch.Micros
	events    []dispatch.Event
	replies   []*reply
	messages  map[dispatch.MessageID]*message
	inFlight  []*attempt // oldest first
	hosts     map[dispatch.EndpointID]protocol.Host
	dests     map[int]dispatch.Micros    // those that lists name, and until when
	waits     map[string]dispatch.Micros // told by a route, until when; the decisions keep their own
	links     links
	clients   clients
	platform  platform
	malformed malformed
	learned   learnedState
	watch     watch
	counters  counters
	operators operators
	upgrade   upgrade
	reloaded  func(*config.Deployment) // told of each configuration taken over
	parted    func() *handoff.Peers    // gives up this process's place in the fleet
	couriers  atomic.Int64             // that the fleet counts, 0 where nobody does
	reckoned  int64
	counted   int // couriers, as the decisions were told
	needs     atomic.Pointer[[]dispatch.Demand]
	needsAt   dispatch.Micros
	lentTo    dispatch.Micros // until then an earlier start may have lent half of each part
	endBy     dispatch.Micros
	leaving   bool
	lastBy    dispatch.Micros // while leaving: until then at the latest
	partAt    dispatch.Micros // from here on clients' connections are closed between requests
}

// New makes a router over an open spool; unfinished is what the spool still held. given is what the process before this one
// handed over while it ran, nil where none did.
func New(dep *config.Deployment, sp *spool.Spool, unfinished []*spool.Record, given *handoff.State, log *slog.Logger) (*Router, error) {
	r := &Router{dep: dep, log: log, spool: sp, inbox: make(chan any, inboxSize), door: make(chan any, doorSize),
		base: time.Now(), wakeAt: never, endBy: never, partAt: never, messages: map[dispatch.MessageID]*message{},
		hosts: map[dispatch.EndpointID]protocol.Host{}, waits: map[string]dispatch.Micros{}, dests: map[int]dispatch.Micros{}}
	r.tracer = log.With(logging.Component, "decisions")
	r.baseUnix = dispatch.Micros(r.base.UnixMicro())
	r.now = r.baseUnix
	r.begin = func() decider {
		r.holdBack()
		ch := r.charter()
		r.counted = ch.Couriers
		return dispatch.New(ch)
	}
	r.courier = r.begin()
	r.watch.start(r)
	r.links.init(r)
	r.clients.init(r)
	r.platform.init(r)
	r.counters.grow(len(dep.Workloads))
	r.operators.init(r)
	list, err := protocol.ReadList(dep.Known)
	if err != nil {
		log.Warn("known list not used", "key", "known", "fault", err)
	}
	r.upgrade.init(r)
	if given != nil && given.Seq >= list.Seq {
		list = protocol.List{Seq: given.Seq, Whole: true, Hosts: given.Hosts}
	}
	r.platform.seq = list.Seq
	r.applyListing(list, dispatch.CachedList)
	if given != nil {
		r.upgrade.inherit(given)
	}
	r.operators.remind()
	r.recover(unfinished, given)
	return r, nil
}

// Run listens and works until stop is closed; then it goes on for as long as grace allows. What comes in over reloads
// is taken over as far as a process that runs can.
func (r *Router) Run(stop <-chan struct{}, reloads <-chan *config.Deployment, grace time.Duration) error {
	if err := r.startServing(); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	for {
		began := r.clock()
		due := min(max(r.due(), began), began+hour)
		timer.Reset(time.Duration(due-began) * time.Microsecond)
		var what any
		select {
		case what = <-r.inbox:
		case <-timer.C:
		case what = <-reloads:
		case what = <-r.door:
		case <-stop:
			stop = nil
			r.beginShutdown(grace)
		}
		r.dispatch(what)
		r.standstill(due)
		r.gather()
		r.guardedStep()
		r.upgrade.give()
		if r.upgrade.regain {
			r.driver.Close()
			return ErrRegain
		}
		if r.mayExit() {
			return r.finishShutdown()
		}
	}
}

// startServing listens, and takes the first step: over what the router began with.
func (r *Router) startServing() error {
	driver, err := r.drive()
	if err != nil {
		return err
	}
	r.driver = driver
	r.platform.start()
	r.step()
	r.operators.open.Store(!r.operators.away())
	r.upgrade.serving()
	r.log.Info("serving", "name", r.dep.Name, "listen", r.dep.Listen)
	return nil
}

func (r *Router) drive() (*transport.Driver, error) {
	var inherited net.Listener
	if r.dep.Socket > 0 {
		l, err := transport.Listener(r.dep.Socket)
		if err != nil {
			return nil, fmt.Errorf("socket_fd: %w", err)
		}
		inherited = l
	}
	return transport.Open(r.dep.Listen, inherited, r.dep.Sockets, r.log, r.clients.admit, r.clients.accept)
}

func (r *Router) clock() dispatch.Micros {
	return r.baseUnix + dispatch.Micros(time.Since(r.base).Microseconds())
}

// check logs what the spool could not write; decisions go on with what is in memory.
func (r *Router) check(err error) {
	if err != nil {
		r.log.Error("spool", "fault", err)
	}
}
