package main

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

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

// beatMost: a loan lasts for eight beats of the exchange at least, however slowly members are asked whether they are there.
const beatMost = 500 * time.Millisecond

// enter makes this process a member of its fleet, where it is to be one, and returns what ends that. Records do not wait for
// it, and a fault of it is told and stops nothing else.
func (p *process) enter(ctx context.Context, router *server.Router, given *handoff.State) (end func()) {
	dep, log := p.dep, p.log.With(logging.Component, "peers")
	if !dep.Peers.On() {
		if dep.Peers.Listen != "" {
			log.Warn("no membership: the settings let couriers not talk", "key", "settings.ceilings.peers")
		}
		return func() {}
	}
	member := make(chan *gossip.Member, 1)
	router.Parted(func() *handoff.Peers {
		m := p.member.Swap(nil)
		if m == nil {
			return nil
		}
		go m.Hand() // at once, as its successor wants the address
		return &handoff.Peers{Start: m.Start(), Members: m.Members()}
	})
	go func() {
		m, x, err := p.join(ctx, router, given, log)
		if err != nil {
			log.Error("not in the fleet", "fault", err)
			close(member)
			return
		}
		p.member.Store(m)
		if p.desk != nil {
			p.desk.Know(fleet{m, x})
		}
		member <- m
		<-ctx.Done() // told to end, or ended: others hear it as early as clients do
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

func (p *process) join(ctx context.Context, router *server.Router, given *handoff.State, log *slog.Logger) (*gossip.Member, *exchange.Exchange, error) {
	dep := p.dep
	o := gossip.Options{Name: dep.Name, Couriers: dep.Charter.Couriers, Fleet: dep.Peers.Fleet, Listen: dep.Peers.Listen,
		Advertise: dep.Peers.Advertise, Join: dep.Peers.Join, Key: dep.Peers.Key, Pace: dep.Peers.Pace, Salt: dep.Charter.Seed, Log: log, Reckon: router.Reckon,
		Keep: func(start uint64) error { return incarnation.Keep(dep.Spool, dep.Name, start) }}
	if z := int(dep.Charter.Zone); z < len(dep.Zones) {
		o.Zone = dep.Zones[z]
	}
	var err error
	if o.Through, err = gossip.Pairs(dep.Peers.Through); err != nil {
		return nil, nil, err
	}
	if given != nil && given.Peers != nil { // the same member, going on
		o.Start, o.Join = given.Peers.Start, append(given.Peers.Members, o.Join...)
	} else {
		var fault error
		if o.Start, fault, err = incarnation.Next(dep.Spool, dep.Name); fault != nil {
			log.Warn("the number of the last start is not known", "file", incarnation.Name, "fault", fault)
		}
		if err != nil {
			return nil, nil, err // a number that is not kept might be used twice
		}
	}
	var shares atomic.Pointer[exchange.Exchange]
	o.Hear = func(text []byte) {
		if x := shares.Load(); x != nil {
			x.Hear(text)
		}
	}
	for until := time.Now().Add(enterWithin); ; {
		m, err := gossip.Open(o)
		if err == nil && dep.Peers.Sharing() {
			shares.Store(share(m, router, o))
		}
		if err == nil || time.Now().After(until) {
			return m, shares.Load(), err
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// share has this courier lend and borrow parts of limits, at half the pace of membership or faster.
func share(m *gossip.Member, router *server.Router, o gossip.Options) *exchange.Exchange {
	heard := func() (couriers int, alive []string) {
		p := m.Picture()
		for _, one := range p.Members {
			if one.State == membership.Alive {
				alive = append(alive, string(one.Name))
			}
		}
		return p.Most, alive
	}
	return exchange.Open(exchange.Options{Self: o.Name, Start: m.Start(), Beat: min(o.Pace/2, beatMost), Log: o.Log, Fleet: heard, Say: m.Say,
		Needs: router.Needs, Share: router.Share})
}

// fleet is what operators see of it.
type fleet struct {
	m *gossip.Member
	x *exchange.Exchange // nil: nothing is shared
}

// pictured is what GET /peers says.
type pictured struct {
	membership.Picture
	Figures gossip.Figures `json:"figures"`
}

func (f fleet) Look() any        { return pictured{f.m.Picture(), f.m.Figures()} }
func (f fleet) Gone(name string) { f.m.Gone(name) }

// Shared is what GET /commons says; nil where nothing is shared.
func (f fleet) Shared() any {
	if f.x != nil {
		if s, ok := f.x.Shown(); ok {
			return s
		}
	}
	return nil
}
