package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

// overlapSlack is the slack that every time limit has on sockets: two calls are out at once only if they are for longer than this.
const overlapSlack = 50 * time.Millisecond

// hang is an endpoint that stands still: it takes calls, and answers them only when that is over.
type hang struct {
	mu    sync.Mutex
	armed bool // the endpoint of destination 1 that gets the next call with several records hangs from that call on
	name  string
	over  chan struct{}
}

// playCopies lets one of six endpoints hang while it has a call with several records, and checks that no record has two calls out at once.
func playCopies(s *stage) (int, error) {
	const hangTime = 4200 * time.Millisecond
	standing := &hang{}
	decide := func(c *call) answer {
		a := answer{status: 200, after: 400 * time.Millisecond}
		if c.endpoint.host.Class == "first-rank" {
			a.report = "x0=0.9,x1=20"
		}
		standing.mu.Lock()
		defer standing.mu.Unlock()
		if standing.armed && c.endpoint.host.Block == 1 && len(c.ids) > 1 {
			standing.armed, standing.name, standing.over = false, c.endpoint.host.Host, make(chan struct{})
			over := standing.over
			s.record.add("%s hangs", standing.name)
			time.AfterFunc(hangTime, func() {
				standing.mu.Lock()
				standing.name = ""
				standing.mu.Unlock()
				s.record.add("the hang is over")
				close(over)
			})
		}
		if standing.name == c.endpoint.host.Host {
			a.gate, a.after = standing.over, 0
		}
		return a
	}
	var hosts []host
	var endpoints []*endpoint
	for _, entry := range []host{{Host: "s-a1", Class: "first-rank", Block: 1}, {Host: "s-a2", Class: "first-rank", Block: 1}, {Host: "s-b", Class: "second-rank", Block: 2},
		{Host: "s-c", Class: "second-rank", Block: 3}, {Host: "s-d", Class: "second-rank", Block: 4}, {Host: "s-e", Class: "second-rank", Block: 5}} {
		entry.Site, entry.Health, entry.Share = "hall-a", "in_service", 1
		e, err := openEndpoint(s.record, s.address(), entry, decide)
		if err != nil {
			return 0, err
		}
		endpoints, hosts = append(endpoints, e), append(hosts, e.host)
	}
	disco, err := openDiscovery(s.record, s.address(), hosts)
	if err != nil {
		return 0, err
	}
	if _, err := s.startCourier(disco, clinicSettings()); err != nil {
		return 0, err
	}
	c := newClients(s.record, s.platform.listen)
	var load sync.WaitGroup
	send := func(prefix, class string, dest int) {
		load.Go(func() { c.send(c.id(prefix), class, dest, 16000, "") })
	}
	// fill hands in a clump for the destinations with one endpoint each.
	fill := func(count int) {
		for i := range count {
			send("fill", "slot-status", 2+i%4)
		}
	}
	for i := range 24 { // steady traffic, for what the courier learns in its first seconds
		send("warm", "slot-status", 1+i%5)
		time.Sleep(250 * time.Millisecond)
	}
	for range 2 {
		time.Sleep(time.Second)
		// All slots are taken for a moment when a clump for destination 1 comes, so that it goes out in one call when one falls free.
		fill(4)
		time.Sleep(50 * time.Millisecond)
		for _, class := range []string{"slot-status", "slot-status", "slot-status", "deposit-charge", "deposit-charge"} {
			send("clump", class, 1)
		}
		standing.mu.Lock()
		standing.armed = trouble
		standing.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
		for range 8 { // traffic goes on, in clumps that take all slots for a part of the time
			time.Sleep(800 * time.Millisecond)
			fill(6)
		}
		time.Sleep(3 * time.Second)
		standing.mu.Lock()
		standing.armed = false
		standing.mu.Unlock()
	}
	load.Wait()

	var calls []*call
	several := 0
	for _, e := range endpoints {
		calls = append(calls, e.all()...)
	}
	slices.SortFunc(calls, func(a, b *call) int { return a.at.Compare(b.at) })
	copies, twice := 0, []string{}
	for i, later := range calls {
		if len(later.ids) > 1 {
			several++
		}
		for _, earlier := range calls[:i] {
			for _, id := range later.ids {
				if !slices.Contains(earlier.ids, id) {
					continue
				}
				if overlap := earlier.endedBy(later).Sub(later.at); overlap > overlapSlack {
					copies++
					s.record.say("%s was out in a call to %s for %.3f s when it came in a call to %s; both were out for %.3f s", id, earlier.endpoint.host.Host,
						later.at.Sub(earlier.at).Seconds(), later.endpoint.host.Host, overlap.Seconds())
				}
				if earlier.wasAnswered() && later.wasAnswered() {
					twice = append(twice, id)
				}
			}
		}
	}
	s.record.say("taken on: %d; calls with several records: %d; records out in two calls at once: %d; records accepted by two endpoints: %s", c.takenOn(), several, copies,
		strings.Join(twice, " "))
	if several == 0 {
		return 0, fmt.Errorf("no call had several records")
	}
	return verdict(copies == 0), nil
}
