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

// joinTimeout bounds how long a successor retries to listen on the membership address, on which its predecessor stops listening in the handoff.
const joinTimeout = 2 * time.Second

// maxExchangeInterval bounds the interval of the quota exchange, even if the interval between health checks of members is long. A quota lease
// lasts for 4 s, which must be at least eight intervals.
const maxExchangeInterval = 500 * time.Millisecond

// startMembership makes this process a member of its fleet if the configuration enables that, and returns a function that ends the membership.
// The process joins in the background: messages do not wait for that, and an error is logged and affects nothing else.
func (p *process) startMembership(ctx context.Context, srv *server.Server, inherited *handoff.State) (end func()) {
	dep, log := p.dep, p.log.With(logging.Component, "peers")
	if !dep.Peers.Enabled() {
		if dep.Peers.Listen != "" {
			log.Warn("membership is off: settings.ceilings.peers is not true", "key", "settings.ceilings.peers")
		}
		return func() {}
	}
	joined := make(chan *gossip.Member, 1)
	srv.OnHandoff(func() *handoff.Membership {
		m := p.member.Swap(nil)
		if m == nil {
			return nil
		}
		go m.HandOff() // at once, because the successor needs the address
		return &handoff.Membership{Incarnation: m.Incarnation(), Members: m.MemberAddresses()}
	})
	go func() {
		m, quotas, err := p.openMembership(ctx, srv, inherited, log)
		if err != nil {
			log.Error("membership failed to start", "error", err)
			close(joined)
			return
		}
		p.member.Store(m)
		if p.adminServer != nil {
			p.adminServer.SetFleet(fleetView{m, quotas})
		}
		joined <- m
		// ctx is done on SIGTERM, so that members learn of the shutdown as early as clients, or when serve returns.
		<-ctx.Done()
		if quotas != nil {
			quotas.Close()
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
		Advertise: dep.Peers.Advertise, Join: dep.Peers.Join, Key: dep.Peers.Key, Interval: dep.Peers.ProbeInterval, Seed: dep.Dispatch.Seed, Log: log, SizeEstimated: srv.SetFleetSize,
		StoreIncarnation: func(value uint64) error { return incarnation.Store(dep.StateDir, dep.Name, value) }}
	if zone := int(dep.Dispatch.Zone); zone < len(dep.Zones) {
		o.Zone = dep.Zones[zone]
	}
	var err error
	if o.DialAddresses, err = gossip.ParseDialAddresses(dep.Peers.AddressOverrides); err != nil {
		return nil, nil, err
	}
	if inherited != nil && inherited.Membership != nil { // continue as the same member
		o.Incarnation, o.Join = inherited.Membership.Incarnation, append(inherited.Membership.Members, o.Join...)
	} else {
		var readErr error
		if o.Incarnation, readErr, err = incarnation.Next(dep.StateDir, dep.Name); readErr != nil {
			log.Warn("last incarnation cannot be read; incarnations start again at 1", "file", incarnation.FileName, "error", readErr)
		}
		if err != nil {
			return nil, nil, err // no membership: an incarnation that is not stored might be used again
		}
	}
	var quotaExchange atomic.Pointer[exchange.Exchange]
	o.Receive = func(text []byte) {
		if quotas := quotaExchange.Load(); quotas != nil {
			quotas.Receive(text)
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

// openExchange starts the exchange of quota shares with other couriers. Its interval is half the interval between health checks of
// members, and at most maxExchangeInterval. sequence is the first sequence number: the time in milliseconds, so that it is higher than
// those of a predecessor with the same incarnation.
func openExchange(self *gossip.Member, srv *server.Server, o gossip.Options, sequence uint64) *exchange.Exchange {
	fleetMembers := func() (couriers int, alive []string) {
		snapshot := self.Snapshot()
		for _, member := range snapshot.Members {
			if member.State == membership.Alive {
				alive = append(alive, string(member.Name))
			}
		}
		return snapshot.MaxCouriers, alive
	}
	return exchange.Open(exchange.Options{Self: o.Name, Incarnation: self.Incarnation(), Interval: min(o.Interval/2, maxExchangeInterval), Log: o.Log, Fleet: fleetMembers, Send: self.Send,
		FirstSequence: sequence, Demands: srv.Demands, Apply: srv.ApplyShares})
}

// fleetView is the view of the fleet that the admin server serves.
type fleetView struct {
	member *gossip.Member
	quotas *exchange.Exchange // nil if couriers share no quotas
}

// membersReport is the response to GET /peers.
type membersReport struct {
	membership.Snapshot
	Metrics gossip.Metrics `json:"figures"`
}

func (f fleetView) Members() any       { return membersReport{f.member.Snapshot(), f.member.Metrics()} }
func (f fleetView) Remove(name string) { f.member.Remove(name) }

// Quota returns the response to GET /commons, or nil if couriers share no quotas.
func (f fleetView) Quota() any {
	if f.quotas != nil {
		if status, ok := f.quotas.Status(); ok {
			return status
		}
	}
	return nil
}
