// Package routing joins the decisions with the outside: one goroutine owns the logic.Courier and all that is
// known of records, gathers what happened, calls Handle and carries out what it returns. It decides nothing.
package routing

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"pineport/config"
	"pineport/handover"
	"pineport/logic"
	"pineport/logs"
	"pineport/protocol"
	"pineport/spool"
	"pineport/transport"
)

const never = logic.Micros(math.MaxInt64)

// inboxSize bounds what waits for the router; when it is full the poller reads on later. 256 took 70 MB of small
// commands from five clients that read no replies.
const inboxSize = 64

// record is what is held beside the decisions: what goes on the wire, and what is out.
type record struct {
	kept    *spool.Record
	waiting []*reply     // until they are written; more than one where it was handed in again in the same turn
	taken   logic.Micros // or taken up again
	trips   []*trip
	out     int
	ended   bool
}

// trip is one trip of a record; limit is when this side stops waiting.
type trip struct {
	rec    *record
	no     int // among all trips of the record
	call   *call
	sent   logic.Micros
	limit  logic.Micros
	noted  bool // in the spool
	looked bool // as it was to be given up, something had come
	over   bool
}

// reply is the answer to one command, written in the order of the commands.
type reply struct {
	client *client
	rec    *record // taken with it
	text   string
	close  bool
}

// decider is a logic.Courier.
type decider interface {
	Handle(logic.Micros, []logic.Event) []logic.Action
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
	baseUnix  logic.Micros
	now       logic.Micros
	wakeAt    logic.Micros
	events    []logic.Event
	replies   []*reply
	records   map[logic.RecordID]*record
	flying    []*trip // oldest first
	hosts     map[logic.EndpointID]protocol.Host
	dests     map[int]logic.Micros    // those that lists name, and until when
	waits     map[string]logic.Micros // told by a route, until when; the decisions keep their own
	links     links
	clients   clients
	platform  platform
	malformed malformed
	lore      lore
	watch     watch
	counters  counters
	staff     staff
	upgrade   upgrade
	reloaded  func(*config.Deployment) // told of each configuration taken over
	parted    func() *handover.Peers   // gives up this process's place in the fleet
	couriers  atomic.Int64             // that the fleet counts, 0 where nobody does
	reckoned  int64
	counted   int // couriers, as the decisions were told
	needs     atomic.Pointer[[]logic.Need]
	needsAt   logic.Micros
	lentTo    logic.Micros // until then an earlier start may have lent half of each part
	endBy     logic.Micros
	leaving   bool
	lastBy    logic.Micros // while leaving: until then at the latest
	partAt    logic.Micros // from here on clients' connections are closed between requests
}

// New makes a router over an open spool; unfinished is what the spool still held. given is what the process before this one
// handed over while it ran, nil where none did.
func New(dep *config.Deployment, sp *spool.Spool, unfinished []*spool.Record, given *handover.State, log *slog.Logger) (*Router, error) {
	r := &Router{dep: dep, log: log, spool: sp, inbox: make(chan any, inboxSize), door: make(chan any, doorSize),
		base: time.Now(), wakeAt: never, endBy: never, partAt: never, records: map[logic.RecordID]*record{},
		hosts: map[logic.EndpointID]protocol.Host{}, waits: map[string]logic.Micros{}, dests: map[int]logic.Micros{}}
	r.tracer = log.With(logs.Component, "decisions")
	r.baseUnix = logic.Micros(r.base.UnixMicro())
	r.now = r.baseUnix
	r.begin = func() decider {
		r.holdBack()
		ch := r.charter()
		r.counted = ch.Couriers
		return logic.New(ch)
	}
	r.courier = r.begin()
	r.watch.start(r)
	r.links.init(r)
	r.clients.init(r)
	r.platform.init(r)
	r.counters.grow(len(dep.Workloads))
	r.staff.init(r)
	list, err := protocol.ReadList(dep.Known)
	if err != nil {
		log.Warn("known list not used", "key", "known", "fault", err)
	}
	r.upgrade.init(r)
	if given != nil && given.Seq >= list.Seq {
		list = protocol.List{Seq: given.Seq, Whole: true, Hosts: given.Hosts}
	}
	r.platform.seq = list.Seq
	r.news(list, logic.Persisted)
	if given != nil {
		r.upgrade.inherit(given)
	}
	r.staff.remind()
	r.recover(unfinished, given)
	return r, nil
}

// Run listens and works until stop is closed; then it goes on for as long as grace allows. What comes in over reloads
// is taken over as far as a process that runs can.
func (r *Router) Run(stop <-chan struct{}, reloads <-chan *config.Deployment, grace time.Duration) error {
	driver, err := r.drive()
	if err != nil {
		return err
	}
	r.driver = driver
	r.platform.start()
	r.turn()
	r.staff.open.Store(!r.staff.away())
	r.upgrade.serving()
	r.log.Info("serving", "name", r.dep.Name, "listen", r.dep.Listen)
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
			r.upgrade.giver.Ending()
			r.endBy = r.clock() + logic.Micros(grace.Microseconds())
			r.partAt = r.clock() + parting
			r.staff.open.Store(false)
			r.events = append(r.events, logic.Closing{At: r.endBy})
			r.log.Info("told to end", "held", len(r.records), "out", len(r.flying))
		}
		r.take(what)
		r.standstill(due)
		r.gather()
		r.guarded()
		r.upgrade.give()
		if r.upgrade.regain {
			r.driver.Close()
			return ErrRegain
		}
		if r.done() {
			if !r.upgrade.giver.Keeps() {
				r.log.Info("ended, handed over", "out", len(r.flying))
				return nil
			}
			r.log.Info("ended", "held", len(r.records))
			r.partLore()
			r.watch.tell(r.log)
			return r.spool.Close()
		}
	}
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

func (r *Router) clock() logic.Micros {
	return r.baseUnix + logic.Micros(time.Since(r.base).Microseconds())
}

// parting is when, after being told to end, nobody is sent here any more who could go elsewhere. Who can not, as it
// has a courier of its own, is served to the end.
const parting = 500 * 1000

// lastWords is how long, after the last connection came in, all who are connected are still served; then each is closed as soon as it
// has no reply due, and after lastChance whatever stands.
const (
	lastWords  = 50 * 1000
	lastChance = 100 * 1000
	shutEvery  = 2 * 1000
)

// done tells whether the process may end. Nothing is read any more by then, or it would have had an answer. Failures: what was read
// between the last look and the end had none; connections whose first request was on its way were closed.
func (r *Router) done() bool {
	handed := r.upgrade.handed && r.endBy < never && len(r.flying) == 0
	if !r.leaving && (r.now >= r.endBy || handed) {
		r.leaving, r.endBy, r.lastBy, r.partAt = true, r.now+lastWords, r.now+lastWords+lastChance, never
		r.driver.Deafen()
		r.clients.sendAway()
	}
	if r.now >= r.partAt {
		if r.partAt = never; r.clients.sendAway() {
			r.partAt = r.now + newcomer
		}
	}
	if !r.leaving || r.now < r.endBy {
		return false
	}
	r.endBy = r.now + shutEvery
	return r.clients.shut() || r.now >= r.lastBy
}

// late is more than a loaded machine delays a timer by, and less than an answer takes.
const late = 50 * 1000

const hour = 3600 * 1000 * 1000

// standstill lets in what came while this process stood still, before anything is judged overdue: its own
// delay would pass for the endpoints' silence.
func (r *Router) standstill(due logic.Micros) {
	for waited := 0; r.clock()-due > late && waited < 4; waited++ {
		time.Sleep(late / 2 * time.Microsecond)
		if len(r.inbox) == 0 {
			return
		}
		r.gather()
	}
}

// gather takes in all that has come by now.
func (r *Router) gather() {
	for range len(r.door) {
		r.take(<-r.door)
	}
	for range cap(r.inbox) {
		select {
		case what := <-r.inbox:
			r.take(what)
		default:
			return
		}
	}
}

func (r *Router) take(what any) {
	r.now = r.clock()
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic over what came in", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			if c, ok := what.(commands); ok {
				c.from.conn.Close()
			}
		}
	}()
	switch e := what.(type) {
	case commands:
		r.clients.commands(e)
	case clientGone:
		r.clients.gone(e)
	case *client:
		r.clients.add(e)
	case *config.Deployment:
		r.reload(e)
	case request:
		r.staff.asked(e)
	case knock:
		r.upgrade.knocked(e)
	case said:
		r.upgrade.said(e)
	case sharing:
		r.settled(e)
	case linkUp:
		r.links.up(e)
	case linkBegun:
		r.links.begun(e)
	case linkAnswer:
		r.links.answered(e)
	case linkDown:
		r.links.down(e)
	}
}

// due is when something is to be done next, unasked.
func (r *Router) due() logic.Micros {
	at := min(r.wakeAt, r.links.due(), r.clients.due(), r.platform.due(), r.lore.due(), r.staff.due(), r.links.unwritten(), r.endBy, r.partAt)
	for _, t := range r.flying {
		at = min(at, t.limit)
	}
	return at
}

// guarded is a turn after which the process goes on whatever went wrong in it.
func (r *Router) guarded() {
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic in a turn", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			r.renew()
		}
	}()
	r.turn()
}

// turn hands over what happened, once, and carries out what is to be done.
func (r *Router) turn() {
	r.now = r.clock()
	r.links.expire()
	r.links.flushed()
	r.clients.sweep()
	r.staff.tick()
	r.malformed.tell(r.log, r.now)
	if !r.upgrade.handed {
		r.platform.tick()
	}
	for _, t := range append([]*trip(nil), r.flying...) {
		if !t.over && t.limit <= r.now {
			r.overdue(t)
		}
	}
	if r.upgrade.handed { // another process decides
		r.reply()
		r.staff.publish()
		return
	}
	if r.wakeAt <= r.now {
		r.wakeAt = never
		r.events = append(r.events, logic.Woken{})
	}
	r.reckon()
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		r.carryOut(r.decide(events))
	}
	r.reply()
	r.platform.tick()
	r.learnt(false)
	r.tellNeeds()
	r.staff.publish()
}

// malformed is what came in that could not be used, since it was last logged: one line for all of it, as it may come at
// full speed.
type malformed struct {
	clients, answers int
	client, answer   error // the last
	next             logic.Micros
}

const tellMalformed = 10 * 1000 * 1000

func (m *malformed) tell(log *slog.Logger, now logic.Micros) {
	if now < m.next || m.clients+m.answers == 0 {
		return
	}
	if m.clients > 0 {
		log.Warn("clients turned away", "count", m.clients, "last", m.client)
	}
	if m.answers > 0 {
		log.Warn("answers spoilt", "count", m.answers, "last", m.answer)
	}
	*m = malformed{next: now + tellMalformed}
}

// reply writes what clients wait for; from then on the platform is told how a record ends.
func (r *Router) reply() {
	for _, reply := range r.replies {
		reply.client.write(reply)
		if reply.rec != nil {
			reply.rec.waiting = nil
		}
	}
	r.replies = r.replies[:0]
}

// decide asks the decisions. Should they fail, they begin anew, as after a restart of the process.
func (r *Router) decide(events []logic.Event) (actions []logic.Action) {
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("the decisions failed", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			r.renew()
		}
	}()
	actions = r.courier.Handle(r.now, events)
	r.trace(events, actions)
	r.failed = 0
	r.watch.see(r, events, actions)
	return actions
}

// trace writes what the decisions were told and what they did, at debug level of the component decisions: a
// replay of a day counts them across the fleet. Off, it costs one check a turn.
func (r *Router) trace(events []logic.Event, actions []logic.Action) {
	if !r.tracer.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, event := range events {
		switch e := event.(type) {
		case logic.Taken:
			r.tracer.Debug("taken", "record", e.Record, "dest", e.Dest, "workload", e.Workload)
		case logic.Settled:
			r.tracer.Debug("settled", "record", e.Record, "trip", e.Trip, "outcome", e.Outcome, "took", e.Took,
				"wait", e.Wait, "pressure", e.Pressure)
		case logic.ListNews:
			r.tracer.Debug("list", "how", e.How, "entries", len(e.Entries))
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case logic.Send:
			r.tracer.Debug("send", "record", a.Record, "endpoint", a.Endpoint, "limit", a.Limit)
		case logic.Cancel:
			r.tracer.Debug("cancel", "record", a.Record, "trip", a.Trip)
		case logic.Bounce:
			r.tracer.Debug("bounce", "record", a.Record, "pause", a.Pause)
		case logic.Terminate:
			r.tracer.Debug("terminate", "record", a.Record)
		case logic.Watch:
			r.tracer.Debug("watch")
		}
	}
}

// renew hands all that is held to decisions that know nothing yet, and nothing of what the failed ones had learned. Where they fail again over that, it is ended,
// so that one record cannot stop all others for ever.
func (r *Router) renew() {
	if r.upgrade.handed {
		return
	}
	for _, t := range append([]*trip(nil), r.flying...) {
		r.settle(t, logic.Settled{Outcome: logic.Broken})
		r.drop(t.call)
	}
	r.events, r.courier, r.wakeAt = nil, r.begin(), never
	r.watch.start(r)
	held := make([]*record, 0, len(r.records))
	for _, rec := range r.records {
		held = append(held, rec)
	}
	slices.SortFunc(held, func(a, b *record) int { return cmp.Compare(a.kept.Number, b.kept.Number) })
	news := logic.ListNews{How: logic.Persisted}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		if l, ok := r.listing(r.hosts[id]); ok {
			news.Entries = append(news.Entries, l)
		}
	}
	r.events = append(r.events, news)
	r.staff.remind()
	if r.endBy < never {
		r.events = append(r.events, logic.Closing{At: r.endBy})
	}
	r.failed++
	for _, rec := range held {
		if r.failed > 1 {
			r.end(logic.RecordID(rec.kept.ID), false, 0)
		} else if !rec.ended {
			r.events = append(r.events, r.recall(rec))
		}
	}
}

// carryOut does what the decisions want; sends go out last, after clients have heard that theirs was taken.
func (r *Router) carryOut(actions []logic.Action) {
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case logic.Send:
			calls = r.load(calls, a)
		case logic.Cancel:
			r.cancel(a)
		case logic.Bounce:
			r.end(a.Record, true, a.Pause)
		case logic.Terminate:
			r.end(a.Record, false, 0)
		case logic.Wake:
			r.wakeAt = min(r.wakeAt, a.At)
		case logic.CloseIdle:
			r.links.closeIdle(peerOf(r.hosts[a.Endpoint]))
		case logic.Watch:
			r.platform.watch()
		case logic.Note:
			r.log.Info("note", "text", a.Text)
		}
	}
	r.reply()
	for _, c := range calls {
		r.start(c)
	}
}

// check logs what the spool could not write; decisions go on with what is in memory.
func (r *Router) check(err error) {
	if err != nil {
		r.log.Error("spool", "fault", err)
	}
}

// recover hands what the spool held to the decisions.
func (r *Router) recover(unfinished []*spool.Record, given *handover.State) {
	out := map[handover.Out]logic.Micros{}
	if given != nil {
		for _, o := range given.Out {
			out[handover.Out{Record: o.Record, Trip: o.Trip}] = o.Limit
		}
	}
	for _, kept := range unfinished {
		if kept.Ended != "" {
			r.platform.tell(kept)
			continue
		}
		if index(r.dep.Workloads, kept.Workload) < 0 {
			r.log.Warn("record of an unknown workload", "id", kept.ID, "workload", kept.Workload)
			r.check(r.spool.End(kept.ID, terminated, 0))
			r.platform.tell(kept)
			continue
		}
		rec := &record{kept: kept, taken: r.now}
		for i := range kept.Trips {
			t := &trip{rec: rec, no: i, sent: logic.Micros(kept.Trips[i].Sent), noted: true, over: true}
			rec.trips = append(rec.trips, t)
			if limit, ok := out[handover.Out{Record: kept.ID, Trip: i}]; ok {
				r.upgrade.adopt(t, limit)
			}
		}
		r.records[logic.RecordID(kept.ID)] = rec
		r.counters.taken()
		r.events = append(r.events, r.recall(rec))
	}
	if len(unfinished) > 0 {
		r.log.Info("taken up again", "records", len(r.records), "notices", len(unfinished)-len(r.records))
	}
}

// recall is what the decisions are told of a record from before them.
func (r *Router) recall(rec *record) logic.Recovered {
	e := logic.Recovered{Taken: r.taken(rec.kept)}
	for i, t := range rec.kept.Trips {
		outcome, known := outcomes[t.Outcome]
		if !known {
			outcome = logic.Broken // nothing was heard: it may have run
		}
		e.Trips = append(e.Trips, logic.Past{Endpoint: logic.EndpointID(t.Endpoint), Zone: logic.ZoneID(t.Zone),
			Sent: logic.Micros(t.Sent), Outcome: outcome, Out: !rec.trips[i].over})
	}
	return e
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

func (r *Router) taken(k *spool.Record) logic.Taken {
	return logic.Taken{Record: logic.RecordID(k.ID), Dest: logic.DestID(k.Dest),
		Workload: logic.WorkloadID(index(r.dep.Workloads, k.Workload)),
		Party:    logic.PartyID(max(0, index(r.dep.Parties, k.Party))), Key: logic.Key(k.Key),
		CutOff: logic.Micros(k.CutOff), Again: k.Again}
}

// How a record ended that was not delivered, as the spool has it.
const (
	bounced    = "bounced"
	terminated = "terminated"
)

// end ends a record undelivered: the client hears it if it still waits, or else the platform.
func (r *Router) end(id logic.RecordID, bounce bool, pause logic.Micros) {
	rec := r.records[id]
	if rec == nil || rec.ended {
		return
	}
	rec.ended = true
	how, again, ends := terminated, int64(0), failed
	if bounce {
		how, again, ends = bounced, int64((pause+999)/1000), turnedAway
	}
	r.counters.over()
	r.count(rec.kept.Workload, ends)
	if len(rec.waiting) > 0 {
		for _, rep := range rec.waiting {
			rep.text = protocol.ReplyError("ERR terminated")
			if bounce {
				rep.text = protocol.ReplyBusy(again)
			}
		}
		r.check(r.spool.Forget(rec.kept.ID))
	} else {
		r.clients.over.add(rec, r.now)
		r.check(r.spool.End(rec.kept.ID, how, again))
		r.platform.tell(rec.kept)
	}
	r.forget(rec)
}

// finish ends a record for which nothing more is owed.
func (r *Router) finish(rec *record) {
	if !rec.ended {
		rec.ended = true
		r.counters.over()
		r.check(r.spool.Forget(rec.kept.ID))
	}
}

func (r *Router) forget(rec *record) {
	if rec.ended && rec.out == 0 {
		delete(r.records, logic.RecordID(rec.kept.ID))
	}
}

// news hands a list, or changes of it, to the decisions, and keeps the addresses.
func (r *Router) news(l protocol.List, how logic.ListKind) {
	for _, fault := range l.Faults {
		r.log.Warn("entry of the list left out", "fault", fault)
	}
	news, before := logic.ListNews{How: how}, maps.Clone(r.hosts)
	if how != logic.Partial {
		clear(r.hosts)
	}
	for _, h := range l.Hosts {
		listing, ok := r.listing(h)
		if !ok {
			r.log.Warn("entry of the list left out", "host", h.Host, "site", h.Zone, "class", h.Kind)
			continue
		}
		if h.Health == protocol.Terminated {
			delete(r.hosts, listing.Endpoint)
		} else {
			r.hosts[listing.Endpoint] = h
		}
		news.Entries = append(news.Entries, listing)
	}
	r.events = append(r.events, news)
	for id, h := range before {
		if now := r.hosts[id]; now.Health != protocol.InService || peerOf(now) != peerOf(h) {
			r.links.closeIdle(peerOf(h)) // nothing new goes there, or what they lead to is not there any more
		}
	}
	for dest, until := range r.dests {
		if until == never {
			r.dests[dest] = r.now + unlisted
		} else if until <= r.now {
			delete(r.dests, dest)
		}
	}
	for _, h := range r.hosts {
		r.dests[h.Dest] = never
	}
}

// unlisted is how long a destination without any endpoint on the list is still known: many times what replacing its
// endpoints takes.
const unlisted = 600 * 1000 * 1000

// knows tells whether there is such a destination; without any list nobody can say.
func (r *Router) knows(dest int) bool {
	until, ok := r.dests[dest]
	return ok && until > r.now || len(r.dests) == 0
}

func (r *Router) listing(h protocol.Host) (logic.Listing, bool) {
	phases := map[protocol.Health]logic.Phase{protocol.InService: logic.In, protocol.Terminating: logic.Draining,
		protocol.Terminated: logic.Gone}
	zone, shape := index(r.dep.Zones, h.Zone), index(r.dep.Shapes, h.Kind)
	return logic.Listing{Endpoint: logic.EndpointID(h.Host), Zone: logic.ZoneID(zone), Shape: logic.ShapeID(shape),
		Dest: logic.DestID(h.Dest), Phase: phases[h.Health], Rate: h.Rate}, zone >= 0 && shape >= 0
}
