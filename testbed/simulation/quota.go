package simulation

import (
	"fmt"

	"pineport/dispatch"
	"pineport/quota"
)

// QuotaSharing is how couriers share limits, in virtual time; a Interval of 0: they do not. Membership is as if every courier knew at once who runs.
type QuotaSharing struct {
	Interval       dispatch.Micros
	NoReceiveShare float64 // share of the couriers that hear nothing, and are heard
	Loss           float64 // share of the packets that are lost
}

const (
	// A packet between couriers takes so long, drawn evenly: a network of one country.
	packetLeast = 10 * 1000
	packetMost  = 60 * 1000
)

// commune has a courier that begins share limits; an earlier start may have granted half of each of its parts.
func (s *Sim) commune(c *courier, ch dispatch.Config) dispatch.Config {
	if s.Share.Interval <= 0 {
		return ch
	}
	c.quota = quota.New(s.now, quota.Config{Self: nameOf(c.no), Incarnation: uint64(c.life), Couriers: ch.Couriers, Seed: int64(s.rng.Uint64() >> 1)})
	life := c.life
	s.after(s.now+dispatch.Micros(s.rng.Int64N(int64(s.Share.Interval))), func() { s.tickQuota(c, life) })
	ch.GrantedUntil = s.now + quota.GrantHorizon
	return ch
}

func nameOf(no int) string { return fmt.Sprintf("n%d", no) }

func (s *Sim) tickQuota(c *courier, life int) {
	if !c.alive || c.life != life {
		return
	}
	s.after(s.now+s.Share.Interval, func() { s.tickQuota(c, life) })
	local, ok := s.host.(*LocalHost)
	if !ok || s.now < c.standsTo {
		return
	}
	d, ok := local.Dispatcher(c.no).(dispatch.DemandReporter)
	if !ok {
		return
	}
	fleet := quota.FleetChanged{Couriers: len(s.couriers)}
	for _, o := range s.couriers {
		if o != c && o.alive {
			fleet.Alive = append(fleet.Alive, nameOf(o.no))
		}
	}
	s.quota(c, fleet, quota.DemandsOf(d.Demands()), quota.Tick{})
}

func (s *Sim) quota(c *courier, events ...quota.Event) {
	for _, action := range c.quota.Handle(s.now, events...) {
		switch a := action.(type) {
		case quota.ShareChanged:
			e := quota.ToDispatch(a.Shares, func(t dispatch.Micros) dispatch.Micros { return t }) // one clock
			if len(e.Shares) > 0 {
				s.tell(c, e)
			}
		case quota.SendPacket:
			s.say(a)
		}
	}
}

func (s *Sim) say(a quota.SendPacket) {
	var no int
	if _, err := fmt.Sscanf(a.To, "n%d", &no); err != nil || no >= len(s.couriers) {
		return
	}
	s.stats.Packets++
	if s.rng.Float64() < s.Share.Loss || float64(no) < s.Share.NoReceiveShare*float64(len(s.couriers)) {
		return
	}
	to := s.couriers[no]
	life := to.life
	s.after(s.now+packetLeast+dispatch.Micros(s.rng.Int64N(packetMost-packetLeast)), func() {
		if to.alive && to.life == life && s.now >= to.standsTo {
			s.quota(to, quota.PacketReceived{Packet: a.Packet})
		}
	})
}
