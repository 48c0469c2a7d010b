package simulation

import (
	"fmt"

	"pineport/dispatch"
	"pineport/quota"
)

// QuotaSharing holds the settings of quota sharing in virtual time. With an Interval of 0 couriers do not share
// quotas. Gossip is not simulated: every courier knows at once which others are running.
type QuotaSharing struct {
	Interval       dispatch.Micros
	NoReceiveShare float64 // proportion of the couriers, those with the lowest indexes, that send packets but receive none
	Loss           float64 // proportion of the packets that are lost
}

const (
	// Delay of a packet between couriers, in µs, drawn uniformly: typical of a network within one country.
	minPacketDelay = 10 * 1000
	maxPacketDelay = 60 * 1000
)

// startQuota enables quota sharing for a courier that starts. Its earlier run may have granted up to half of
// its base share of each quota, so grants count as outstanding until quota.GrantHorizon has passed.
func (s *Sim) startQuota(c *courier, cfg dispatch.Config) dispatch.Config {
	if s.Share.Interval <= 0 {
		return cfg
	}
	c.quota = quota.New(s.now, quota.Config{Self: memberName(c.index), Incarnation: uint64(c.incarnation), Couriers: cfg.Couriers, Seed: int64(s.rng.Uint64() >> 1)})
	incarnation := c.incarnation
	s.schedule(s.now+dispatch.Micros(s.rng.Int64N(int64(s.Share.Interval))), func() { s.tickQuota(c, incarnation) })
	cfg.GrantedUntil = s.now + quota.GrantHorizon
	return cfg
}

func memberName(index int) string { return fmt.Sprintf("n%d", index) }

func (s *Sim) tickQuota(c *courier, incarnation int) {
	if !c.alive || c.incarnation != incarnation {
		return
	}
	s.schedule(s.now+s.Share.Interval, func() { s.tickQuota(c, incarnation) })
	local, ok := s.host.(*LocalHost)
	if !ok || s.now < c.pausedUntil {
		return
	}
	d, ok := local.Dispatcher(c.index).(dispatch.DemandReporter)
	if !ok {
		return
	}
	fleet := quota.FleetChanged{Couriers: len(s.couriers)}
	for _, other := range s.couriers {
		if other != c && other.alive {
			fleet.Alive = append(fleet.Alive, memberName(other.index))
		}
	}
	s.stepQuota(c, fleet, quota.DemandsOf(d.Demands()), quota.Tick{})
}

func (s *Sim) stepQuota(c *courier, events ...quota.Event) {
	for _, action := range c.quota.Handle(s.now, events...) {
		switch a := action.(type) {
		case quota.ShareChanged:
			e := quota.ToDispatch(a.Shares, func(t dispatch.Micros) dispatch.Micros { return t }) // all couriers share one clock
			if len(e.Shares) > 0 {
				s.notify(c, e)
			}
		case quota.SendPacket:
			s.sendQuotaPacket(a)
		}
	}
}

func (s *Sim) sendQuotaPacket(a quota.SendPacket) {
	var index int
	if _, err := fmt.Sscanf(a.To, "n%d", &index); err != nil || index >= len(s.couriers) {
		return
	}
	s.stats.Packets++
	if s.rng.Float64() < s.Share.Loss || float64(index) < s.Share.NoReceiveShare*float64(len(s.couriers)) {
		return
	}
	to := s.couriers[index]
	incarnation := to.incarnation
	s.schedule(s.now+minPacketDelay+dispatch.Micros(s.rng.Int64N(maxPacketDelay-minPacketDelay)), func() {
		if to.alive && to.incarnation == incarnation && s.now >= to.pausedUntil {
			s.stepQuota(to, quota.PacketReceived{Packet: a.Packet})
		}
	})
}
