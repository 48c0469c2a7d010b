package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["fallback"] = playFallback }

// playFallback replaces the only endpoint of a destination, lets the courier learn it, and upgrades the courier. With trouble, the new
// process crashes after it has taken over, and the old one has to go on. Nothing new may go to the endpoint that drains.
func playFallback(s *stage) (int, error) {
	serve := func(*call) answer { return answer{status: 200, after: 400 * time.Millisecond} }
	var endpoints []*endpoint
	for _, name := range []string{"s-first", "s-second"} {
		e, err := openEndpoint(s.record, s.address(), host{Host: name, Site: "building-a", Class: "buyer-offices", Block: 7, Health: "in_service", Share: 20}, serve)
		if err != nil {
			return 0, err
		}
		endpoints = append(endpoints, e)
	}
	first, second := endpoints[0], endpoints[1]
	disco, err := openDiscovery(s.record, s.address(), []host{first.host})
	if err != nil {
		return 0, err
	}
	old, err := s.startCourier(disco, tenderSettings())
	if err != nil {
		return 0, err
	}
	c := newClients(s.record, s.platform.listen)
	stopLoad := c.steady(125*time.Millisecond, "status-update", 7, 8000)

	// The first endpoint is replaced by the second one, in two steps, and the old process is told.
	time.Sleep(2 * time.Second)
	disco.change(second.host)
	time.Sleep(time.Second)
	draining := first.host
	draining.Health = "terminating"
	version := disco.change(draining)
	time.Sleep(3 * time.Second)
	toldAt, told := disco.toldAt(version)
	if !told {
		return 0, fmt.Errorf("the courier did not ask for the change")
	}

	next, err := s.platform.start("new", s.address())
	if err != nil {
		return 0, err
	}
	if !next.ready(6 * time.Second) {
		return 0, fmt.Errorf("the new process did not say yes within 6 s")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		next.signal(syscall.SIGKILL)
		if !old.ready(6 * time.Second) {
			s.record.say("the old process did not take clients again within 6 s")
		}
	} else {
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(5 * time.Second)
	stopLoad()
	time.Sleep(2 * time.Second)

	before, late := 0, 0
	for _, call := range first.all() {
		if since := call.firstAt.Sub(toldAt); since <= drainGrace+drainSlack {
			before++
		} else {
			late++
			s.record.say("s-first got a call with %v %.3f s after the courier was told that it drains", call.ids, since.Seconds())
		}
	}
	s.record.say("taken on: %d; calls to s-first in time: %d, late: %d; calls to s-second: %d", c.takenOn(), before, late, len(second.all()))
	if before == 0 || len(second.all()) == 0 {
		return 0, fmt.Errorf("no calls before or after the change")
	}
	return verdict(late == 0), nil
}
