package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["pushed"] = pushed }

// pushed takes discovery down for 8 s at a deployment where lists are pushed. Endpoints drain meanwhile.
func pushed(r *record) verdict {
	const (
		couriers     = 6
		destinations = 4
		grace        = 500 * time.Millisecond // rules.drain-grace-s
		slack        = 50 * time.Millisecond  // every time limit is 50 ms longer on sockets
	)
	p, t := newPlatform(r), &trips{record: r}
	served := func([]string, int) answer { return answer{status: 200, delay: 300 * time.Millisecond} }
	number := 0
	fresh := func(block int) entry {
		number++
		e := newEndpoint(t, fmt.Sprintf("s-%08x", 0x5be2a000+number), "127.0.0.1:0", served)
		return entry{Host: e.name, Dial: e.address, Site: "building-a", Class: "partner", Block: block, Health: "in_service", Share: 1}
	}
	var leaving, list []entry
	for i := range destinations {
		leaving = append(leaving, fresh(i))
		list = append(list, leaving[i], fresh(i)) // the second one stays
	}
	p.set(list...)
	var clients sync.WaitGroup
	var mu sync.Mutex
	handedIn := 0
	stop := make(chan struct{})
	for i := range couriers {
		s := settings([]object{class("tile-status", "free", 2, 16, 2)}, object{"discovery": "automatic", "fleet-size": couriers, "ordinal": i})
		c := newCourier(r, p, s, false)
		c.name = fmt.Sprintf("n%d", i)
		c.configure()
		if !c.start(c.name).ready(10 * time.Second) {
			return verdict{unable: "a courier was not ready within 10 s"}
		}
		clients.Go(func() { // 8 messages a second
			client := newClient(r, c.listen)
			defer client.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(125 * time.Millisecond):
				}
				m := &sent{id: fmt.Sprintf("m%d%013d", i, n), dest: n % destinations, ttl: 16 * time.Second, class: "tile-status"}
				client.send(enqueue(m, "", "tile"), m)
				mu.Lock()
				handedIn++
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	p.setDown(trouble)
	time.Sleep(7 * time.Second)
	var changes []entry
	for i, e := range leaving {
		e.Health = "terminating"
		changes = append(changes, e, fresh(i))
	}
	p.set(changes...)
	time.Sleep(time.Second)
	p.setDown(false)
	told := time.Now()
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)

	var v verdict
	delivered, drained := 0, map[string]bool{}
	for _, e := range leaving {
		drained[e.Host] = true
	}
	for _, one := range t.list() {
		if one.outcome == "200" {
			delivered++
		}
		if drained[one.endpoint] && one.at.Sub(told) > grace+slack {
			v.broken = append(v.broken, fmt.Sprintf("message %s of courier n%c was sent to %s %.3f s after its drain was told", one.id, one.id[1], one.endpoint, one.at.Sub(told).Seconds()))
		}
	}
	if r.line("messages %d, delivered %d", handedIn, delivered); delivered < handedIn/2 {
		v.unable = "under half of the messages were delivered"
	}
	return v
}
