package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["silent"] = playSilent }

// answerSlack is how long after its time a record's final answer is still no loss, with the slack on sockets.
const answerSlack = 550 * time.Millisecond

// playSilent hands in records for a destination that has no endpoint in service, which end with a notice when their time is nearly up. With
// trouble, the courier's open connections to discovery fall silent once; new ones come up and are answered at once.
func playSilent(s *stage) (int, error) {
	const (
		ttlMs = 8000
		work  = 300 * time.Millisecond
	)
	var hosts []host
	for _, entry := range []host{{Host: "s-serves", Block: 7, Health: "in_service"}, {Host: "s-leaves", Block: 9, Health: "terminating"}} {
		entry.Site, entry.Class, entry.Share = "building-a", "buyer-offices", 20
		e, err := openEndpoint(s.record, s.address(), entry, work)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, e.host)
	}
	disco, err := openDiscovery(s.record, s.address(), hosts)
	if err != nil {
		return 0, err
	}
	between, err := openProxy(s.record, s.address(), disco.address, 10*time.Millisecond)
	if err != nil {
		return 0, err
	}
	disco.address = between.address
	if _, err := s.startCourier(disco, tenderSettings()); err != nil {
		return 0, err
	}
	c := newClients(s.record, s.platform.listen)
	stopLoad := c.steady(125*time.Millisecond, "status-update", 7, ttlMs)
	type handed struct {
		id    string
		until time.Time
	}
	var mu sync.Mutex
	var waiting []handed
	var load sync.WaitGroup
	clump := func() {
		for range 8 {
			load.Go(func() {
				sent := handed{c.id("left"), time.Now().Add(ttlMs * time.Millisecond)}
				if c.send(sent.id, "status-update", 9, ttlMs, "") == "+OK" {
					mu.Lock()
					waiting = append(waiting, sent)
					mu.Unlock()
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	for range 2 {
		// Two clumps, 2.5 s apart. Between their ends, the connections fall silent.
		clump()
		time.Sleep(2500 * time.Millisecond)
		clump()
		time.Sleep(6200 * time.Millisecond)
		if trouble {
			s.record.add("%d open connections to discovery fall silent", between.silence())
		}
		time.Sleep(7 * time.Second)
	}
	stopLoad()
	load.Wait()
	time.Sleep(time.Second)

	lost := 0
	mu.Lock()
	defer mu.Unlock()
	for _, one := range waiting {
		at, ok := disco.noticedAt(one.id)
		switch {
		case !ok:
			lost++
			s.record.say("%s had no final answer %.3f s after its time was up", one.id, time.Since(one.until).Seconds())
		case at.Sub(one.until) > answerSlack:
			lost++
			s.record.say("%s had its final answer %.3f s after its time was up", one.id, at.Sub(one.until).Seconds())
		}
	}
	s.record.say("taken on: %d, of these for the destination without an endpoint: %d; with no final answer until %v after their time: %d", c.takenOn(), len(waiting),
		answerSlack, lost)
	if len(waiting) < 20 {
		return 0, fmt.Errorf("too few records were taken on")
	}
	return verdict(lost == 0), nil
}
