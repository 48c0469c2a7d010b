package main

import (
	"context"
	"log/slog"
	"time"

	"pineport/handover"
	"pineport/logs"
	"pineport/peers/gossip"
	"pineport/peers/identity"
	"pineport/peers/view"
	"pineport/routing"
)

// enterWithin is how long a process that took over tries for the address that the one before it gives up.
const enterWithin = 2 * time.Second

// enter makes this process a member of its fleet, where it is to be one, and returns what ends that. Records do not wait for
// it, and a fault of it is told and stops nothing else.
func (p *process) enter(ctx context.Context, router *routing.Router, given *handover.State) (end func()) {
	dep, log := p.dep, p.log.With(logs.Component, "peers")
	if !dep.Peers.On() {
		if dep.Peers.Listen != "" {
			log.Warn("no membership: the settings let couriers not talk", "key", "settings.ceilings.peers")
		}
		return func() {}
	}
	member := make(chan *gossip.Member, 1)
	router.Parted(func() *handover.Peers {
		m := p.member.Swap(nil)
		if m == nil {
			return nil
		}
		go m.Hand() // at once, as its heir wants the address
		return &handover.Peers{Start: m.Start(), Members: m.Members()}
	})
	go func() {
		m, err := p.join(ctx, router, given, log)
		if err != nil {
			log.Error("not in the fleet", "fault", err)
			close(member)
			return
		}
		p.member.Store(m)
		if p.desk != nil {
			p.desk.Know(fleet{m})
		}
		member <- m
		<-ctx.Done() // told to end, or ended: others hear it as early as clients do
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

func (p *process) join(ctx context.Context, router *routing.Router, given *handover.State, log *slog.Logger) (*gossip.Member, error) {
	dep := p.dep
	o := gossip.Options{Name: dep.Name, Couriers: dep.Charter.Couriers, Fleet: dep.Peers.Fleet, Listen: dep.Peers.Listen,
		Advertise: dep.Peers.Advertise, Join: dep.Peers.Join, Key: dep.Peers.Key, Pace: dep.Peers.Pace, Salt: dep.Charter.Salt, Log: log, Reckon: router.Reckon,
		Keep: func(start uint64) error { return identity.Keep(dep.Spool, dep.Name, start) }}
	if z := int(dep.Charter.Zone); z < len(dep.Zones) {
		o.Zone = dep.Zones[z]
	}
	var err error
	if o.Through, err = gossip.Pairs(dep.Peers.Through); err != nil {
		return nil, err
	}
	if given != nil && given.Peers != nil { // the same member, going on
		o.Start, o.Join = given.Peers.Start, append(given.Peers.Members, o.Join...)
	} else {
		var fault error
		if o.Start, fault, err = identity.Next(dep.Spool, dep.Name); fault != nil {
			log.Warn("the number of the last start is not known", "file", identity.Name, "fault", fault)
		}
		if err != nil {
			return nil, err // a number that is not kept might be used twice
		}
	}
	for until := time.Now().Add(enterWithin); ; {
		m, err := gossip.Open(o)
		if err == nil || time.Now().After(until) {
			return m, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// fleet is what operators see of it.
type fleet struct{ m *gossip.Member }

// pictured is what GET /peers says.
type pictured struct {
	view.Picture
	Figures gossip.Figures `json:"figures"`
}

func (f fleet) Look() any        { return pictured{f.m.Picture(), f.m.Figures()} }
func (f fleet) Gone(name string) { f.m.Gone(name) }
