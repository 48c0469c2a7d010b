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
const enterWithin = 2 * time.Second

// beatMost: a lease lasts for eight ticks of the exchange at least, however slowly members are asked whether they are there.
const maxExchangeInterval = 500 * time.Millisecond

// enter makes this process a member of its fleet, where it is to be one, and returns what ends that. Messages do not wait for
// it, and a fault of it is notified and stops nothing else.
func (p *process) enter(ctx context.Context, router *server.Server, given *handoff.State) (end func()) {
	dep, log := p.dep, p.log.With(logging.Component, "peers")
	if !dep.Peers.Enabled() {
		if dep.Peers.Listen != "" {
			log.Warn("membership is off: not allowed by the settings", "key", "settings.ceilings.peers")
		}
		return func() {}
	}
	member := make(chan *gossip.Member, 1)
	router.OnHandoff(func() *handoff.Membership {
		m := p.member.Swap(nil)
		if m == nil {
			return nil
		}
		go m.HandOff() // at once, as its successor wants the address
		return &handoff.Membership{Incarnation: m.Incarnation(), Members: m.MemberAddresses()}
	})
	go func() {
		m, x, err := p.join(ctx, router, given, log)
		if err != nil {
			log.Error("membership failed to start", "error", err)
			close(member)
			return
		}
		p.member.Store(m)
		if p.desk != nil {
			p.desk.SetFleet(fleet{m, x})
		}
		member <- m
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
		case m := <-member:
			if m != nil && p.member.CompareAndSwap(m, nil) {
				m.Leave()
			}
		default:
		}
	}
}

func (p *process) join(ctx context.Context, router *server.Server, given *handoff.State, log *slog.Logger) (*gossip.Member, *exchange.Exchange, error) {
	dep := p.dep
	o := gossip.Options{Name: dep.Name, FleetSize: dep.Dispatch.Couriers, Fleet: dep.Peers.Fleet, Listen: dep.Peers.Listen,
		Advertise: dep.Peers.Advertise, Join: dep.Peers.Join, Key: dep.Peers.Key, Interval: dep.Peers.ProbeInterval, Seed: dep.Dispatch.Seed, Log: log, SizeEstimated: router.SetFleetSize,
		StoreIncarnation: func(start uint64) error { return incarnation.Store(dep.StateDir, dep.Name, start) }}
	if z := int(dep.Dispatch.Zone); z < len(dep.Zones) {
		o.Zone = dep.Zones[z]
	}
	var err error
	if o.DialAddresses, err = gossip.ParseDialAddresses(dep.Peers.AddressOverrides); err != nil {
		return nil, nil, err
	}
	if given != nil && given.Membership != nil { // the same member, going on
		o.Incarnation, o.Join = given.Membership.Incarnation, append(given.Membership.Members, o.Join...)
	} else {
		var fault error
		if o.Incarnation, fault, err = incarnation.Next(dep.StateDir, dep.Name); fault != nil {
			log.Warn("last incarnation unknown", "file", incarnation.FileName, "error", fault)
		}
		if err != nil {
			return nil, nil, err // a number that is not kept might be used twice
		}
	}
	var shares atomic.Pointer[exchange.Exchange]
	o.Receive = func(text []byte) {
		if x := shares.Load(); x != nil {
			x.Receive(text)
		}
	}
	for until := clock.Instant().Add(enterWithin); ; {
		member, err := gossip.Open(o)
		if err == nil && dep.Peers.SharesQuotas() {
			shares.Store(share(member, router, o, uint64(p.clock.Load().Now()/1000)))
		}
		if err == nil || clock.Instant().After(until) {
			return member, shares.Load(), err
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// share has this courier grant and borrow parts of limits, at half the pace of membership or faster.
func share(member *gossip.Member, router *server.Server, o gossip.Options, sequence uint64) *exchange.Exchange {
	heard := func() (couriers int, alive []string) {
		p := member.Snapshot()
		for _, one := range p.Members {
			if one.State == membership.Alive {
				alive = append(alive, string(one.Name))
			}
		}
		return p.MaxCouriers, alive
	}
	return exchange.Open(exchange.Options{Self: o.Name, Incarnation: member.Incarnation(), Interval: min(o.Interval/2, maxExchangeInterval), Log: o.Log, Fleet: heard, Send: member.Send,
		FirstSequence: sequence, Demands: router.Demands, Apply: router.ApplyShares})
}

// fleet is what operators see of it.
type fleet struct {
	m *gossip.Member
	x *exchange.Exchange // nil: nothing is shared
}

// pictured is what GET /peers says.
type pictured struct {
	membership.Snapshot
	Figures gossip.Metrics `json:"figures"`
}

func (f fleet) Members() any       { return pictured{f.m.Snapshot(), f.m.Metrics()} }
func (f fleet) Remove(name string) { f.m.Remove(name) }

// Quota is what GET /quota says; nil where nothing is shared.
func (f fleet) Quota() any {
	if f.x != nil {
		if s, ok := f.x.Status(); ok {
			return s
		}
	}
	return nil
}
