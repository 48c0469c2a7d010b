package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["lastlist"] = lastlist }

// lastlist lets a courier die while it holds messages, and come back after 8 s with the list that it had last. Meanwhile an endpoint is replaced,
// and one of another destination takes its address.
func lastlist(r *record) verdict {
	p, t := newPlatform(r), &trips{record: r}
	served := func([]string, int) answer { return answer{status: 200, delay: 250 * time.Millisecond} }
	owner := map[string]int{} // destination of each endpoint
	listed := func(e *endpoint, block int, health string) entry {
		owner[e.name] = block
		return entry{Host: e.name, Dial: e.address, Site: "edificio-a", Class: "local-shops", Block: block, Health: health, Share: 1}
	}
	old := newEndpoint(t, "s-old", "127.0.0.1:0", served)
	p.set(listed(old, 1, "in_service"), listed(newEndpoint(t, "s-two", "127.0.0.1:0", served), 2, "in_service"))
	charges := class("charges", "guarded", 4, 24, 1)
	charges["dedup-window-s"] = 25.0
	c := newCourier(r, p, settings([]object{charges}, object{"discovery": "automatic", "shapes": []string{"local-shops"}, "zones": []string{"edificio-a", "edificio-b"},
		"rules": object{"drain-grace-s": 1.0, "cold-from": 0.2, "ramp-time-s": 14.0, "fall-multiple": 2.0, "tip-after-s": 1.5}}), false)
	c.configure()
	first := c.start("first")
	if !first.ready(10 * time.Second) {
		return verdict{unable: "the courier was not ready within 10 s"}
	}
	var messages []*sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { // 20 messages a second for each of the two destinations
		client := newClient(r, c.listen)
		defer client.close()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			m := &sent{id: fmt.Sprintf("m%014d", n), dest: 1 + n%2, ttl: 24 * time.Second, class: "charges"}
			messages = append(messages, m)
			client.send(enqueue(m, "", "charge"), m)
		}
	})
	time.Sleep(4 * time.Second)
	c.known = p.known() // the list as the courier has it last
	if trouble {
		first.kill()
	}
	time.Sleep(500 * time.Millisecond)
	p.set(listed(old, 1, "terminating"), listed(newEndpoint(t, "s-fresh", "127.0.0.1:0", served), 1, "in_service"))
	time.Sleep(2 * time.Second)
	p.set(listed(old, 1, "terminated"))
	old.server.Close()
	time.Sleep(3 * time.Second)
	p.set(listed(newEndpoint(t, "s-other", old.address, served), 2, "in_service"))
	time.Sleep(2400 * time.Millisecond)
	if trouble {
		c.configure()
		if !c.start("second").ready(10 * time.Second) {
			return verdict{unable: "the courier was not ready again within 10 s"}
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)

	destinations := map[string]int{}
	for _, m := range messages {
		destinations[m.id] = m.dest
	}
	var v verdict
	right := map[string]int{}
	for _, one := range t.list() {
		if right[one.endpoint]++; owner[one.endpoint] != destinations[one.id] {
			v.broken = append(v.broken, fmt.Sprintf("message %s of destination %d was sent to %s of destination %d at %.3f s, and answered: %s", one.id, destinations[one.id],
				one.endpoint, owner[one.endpoint], one.at.Sub(r.began).Seconds(), one.outcome))
		}
	}
	if r.line("calls %v", right); right["s-fresh"] == 0 || right["s-other"] == 0 {
		v.unable = "a new endpoint got no call"
	}
	return v
}
