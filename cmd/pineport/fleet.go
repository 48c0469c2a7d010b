package main

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"pineport/clock"
	"pineport/handoff"
	"pineport/logging"
	"pineport/membership"
	"pineport/membership/gossip"
	"pineport/membership/incarnation"
	"pineport/quota/exchange"
	"pineport/server"
)

// enterWithin is how long a process that took over tries for the address that the one before it gives up.
const joinTimeout = 2 * time.Second

// beatMost: a lease lasts for eight ticks of the exchange at least, however slowly members are asked whether they are there.
const maxExchangeInterval = 500 * time.Millisecond

// enter makes this process a member of its fleet, where it is to be one, and returns what ends that. Messages do not wait for
// it, and a fault of it is notified and stops nothing else.
func (p *process) startMembership(ctx context.Context, srv *server.Server, inherited *handoff.State) (end func()) {
	dep, log := p.dep, p.log.With(logging.Component, "peers")
	if !dep.Peers.Enabled() {
		if dep.Peers.Listen != "" {
			log.Warn("membership is off: not allowed by the settings", "key", "settings.ceilings.peers")
		}
		return func() {}
	}
	joined := make(chan *gossip.Member, 1)
	srv.OnHandoff(func() *handoff.Membership {
		m := p.member.Swap(nil)
		if m == nil {
			return nil
		}
		go m.HandOff() // at once, as its successor wants the address
		return &handoff.Membership{Incarnation: m.Incarnation(), Members: m.Members()}
	})
	go func() {
		m, x, err := p.openMembership(ctx, srv, inherited, log)
		if err != nil {
			log.Error("membership failed to start", "error", err)
			close(joined)
			return
		}
		p.member.Store(m)
		if p.adminServer != nil {
			p.adminServer.SetFleet(fleetView{m, x})
		}
		joined <- m
		<-ctx.Done() // reported to end, or ended: others hear it as early as clients do
		if x != nil {
			x.Close()
		}
		if p.member.CompareAndSwap(m, nil) {
			m.Leave()
		}
	}()
	return func() {
		select {
		case m := <-joined:
			if m != nil && p.member.CompareAndSwap(m, nil) {
				m.Leave()
			}
		default:
		}
	}
}

func (p *process) openMembership(ctx context.Context, srv *server.Server, inherited *handoff.State, log *slog.Logger) (*gossip.Member, *exchange.Exchange, error) {
	dep := p.dep
	o := gossip.Options{Name: dep.Name, FleetSize: dep.Dispatch.Couriers, Fleet: dep.Peers.Fleet, Listen: dep.Peers.Listen,
		Advertise: dep.Peers.Advertise, Join: dep.Peers.Join, Key: dep.Peers.Key, Interval: dep.Peers.ProbeInterval, Seed: dep.Dispatch.Seed, Log: log, SizeEstimated: srv.FleetSizeEstimated,
		StoreIncarnation: func(incarnationNumber uint64) error {
			return incarnation.Store(dep.StateDir, dep.Name, incarnationNumber)
		}}
	if z := int(dep.Dispatch.Zone); z < len(dep.Zones) {
		o.Zone = dep.Zones[z]
	}
	var err error
	if o.Through, err = gossip.Pairs(dep.Peers.AddressOverrides); err != nil {
		return nil, nil, err
	}
	if inherited != nil && inherited.Membership != nil { // the same member, going on
		o.Incarnation, o.Join = inherited.Membership.Incarnation, append(inherited.Membership.Members, o.Join...)
	} else {
		var fault error
		if o.Incarnation, fault, err = incarnation.Next(dep.StateDir, dep.Name); fault != nil {
			log.Warn("last incarnation unknown", "file", incarnation.Name, "error", fault)
		}
		if err != nil {
			return nil, nil, err // a number that is not kept might be used twice
		}
	}
	var quotaExchange atomic.Pointer[exchange.Exchange]
	o.Receive = func(text []byte) {
		if x := quotaExchange.Load(); x != nil {
			x.Receive(text)
		}
	}
	for deadline := clock.Instant().Add(joinTimeout); ; {
		member, err := gossip.Open(o)
		if err == nil && dep.Peers.SharesQuotas() {
			quotaExchange.Store(openExchange(member, srv, o, uint64(p.clock.Load().Now()/1000)))
		}
		if err == nil || clock.Instant().After(deadline) {
			return member, quotaExchange.Load(), err
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// share has this courier grant and borrow parts of limits, at half the pace of membership or faster.
func openExchange(self *gossip.Member, srv *server.Server, o gossip.Options, sequence uint64) *exchange.Exchange {
	fleetMembers := func() (couriers int, alive []string) {
		p := self.Snapshot()
		for _, member := range p.Members {
			if member.State == membership.Alive {
				alive = append(alive, string(member.Name))
			}
		}
		return p.MaxCouriers, alive
	}
	return exchange.Open(exchange.Options{Self: o.Name, Incarnation: self.Incarnation(), Interval: min(o.Interval/2, maxExchangeInterval), Log: o.Log, Fleet: fleetMembers, Send: self.Send,
		FirstSequence: sequence, Demands: srv.Demands, Apply: srv.ApplyShares})
}

// fleet is what operators see of it.
type fleetView struct {
	member *gossip.Member
	quotas *exchange.Exchange // nil: nothing is shared
}

// pictured is what GET /peers says.
type membersReport struct {
	membership.Snapshot
	Metrics gossip.Metrics `json:"figures"`
}

func (f fleetView) Members() any       { return membersReport{f.member.Snapshot(), f.member.Metrics()} }
func (f fleetView) Remove(name string) { f.member.Remove(name) }

// Quota is what GET /quota says; nil where nothing is shared.
func (f fleetView) Quota() any {
	if f.quotas != nil {
		if s, ok := f.quotas.Status(); ok {
			return s
		}
	}
	return nil
}
