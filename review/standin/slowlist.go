package main

import (
	"fmt"
	"time"
)

func init() { cases["slowlist"] = playSlowList }

const (
	// toldAtLatest is when a change counts as told, whatever became of the calls for it, while discovery can be reached.
	toldAtLatest = 6 * time.Second
	// With these figures a list of 26 endpoints is written in about a quarter of a second.
	slowPiece = 512
	slowPause = 25 * time.Millisecond
)

// playSlowList drains one of the two endpoints of a destination. With trouble, discovery is slow from then on: it writes its lists in
// pieces. Nothing new may go to the endpoint that drains.
func playSlowList(s *stage) (int, error) {
	serve := func(*call) answer { return answer{status: 200, after: 300 * time.Millisecond} }
	var hosts []host
	var endpoints []*endpoint
	for i := range 26 {
		entry := host{Host: fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x10a3f), Site: "building-a", Class: "buyer-offices", Block: i / 2, Health: "in_service", Share: 12.5}
		e, err := openEndpoint(s.record, s.address(), entry, serve)
		if err != nil {
			return 0, err
		}
		endpoints, hosts = append(endpoints, e), append(hosts, e.host)
	}
	disco, err := openDiscovery(s.record, s.address(), hosts)
	if err != nil {
		return 0, err
	}
	disco.alwaysWhole = true
	if _, err := s.startCourier(disco, tenderSettings()); err != nil {
		return 0, err
	}
	c := newClients(s.record, s.platform.listen)
	stopLoad := c.steady(100*time.Millisecond, "status-update", 12, 8000)
	time.Sleep(3 * time.Second)
	if trouble {
		disco.setSlow(slowPiece, slowPause)
		s.record.add("discovery is slow: it writes lists in pieces of %d bytes, one every %v", slowPiece, slowPause)
	} else {
		disco.setSlow(0, 0)
	}
	last := endpoints[len(endpoints)-1]
	draining := last.host
	draining.Health = "terminating"
	changedAt := time.Now()
	disco.change(draining)
	time.Sleep(25 * time.Second)
	stopLoad()

	before, late, firstLate, lastLate := 0, 0, 0.0, 0.0
	for _, call := range last.all() {
		switch since := call.firstAt.Sub(changedAt); {
		case since < 0:
			before++
		case since > toldAtLatest+drainGrace+drainSlack:
			if late++; late == 1 {
				firstLate = since.Seconds()
			}
			lastLate = since.Seconds()
		}
	}
	whole, cutShort, longest := disco.lists()
	s.record.say("lists after the change: %d written whole, the longest in %.3f s; %d during which the courier closed the connection", whole, longest.Seconds(), cutShort)
	s.record.say("taken on: %d; calls to %s before it drained: %d, later than %v after that: %d (from %.2f s to %.2f s)", c.takenOn(), last.host.Host, before,
		toldAtLatest+drainGrace+drainSlack, late, firstLate, lastLate)
	if before == 0 {
		return 0, fmt.Errorf("no calls before the change")
	}
	return verdict(late == 0), nil
}
