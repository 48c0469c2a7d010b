package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["slowlist"] = slowlist }

// slowlist drains some of 240 endpoints while discovery is a round trip of 0.2 s away, so that its list comes in two pieces.
func slowlist(r *record) verdict {
	const (
		endpoints    = 240
		destinations = endpoints / 2
		busy         = 8 // destinations that get messages
		toldAfter    = 6 * time.Second
		grace        = time.Second // rules.drain-grace-s
		slack        = 50 * time.Millisecond
	)
	p, t := newPlatform(r), &trips{record: r}
	p.whole = true
	served := func([]string, int) answer { return answer{status: 200, delay: 200 * time.Millisecond} }
	var list []entry
	for i := range endpoints {
		e := newEndpoint(t, fmt.Sprintf("s-%08x", 0x5be2a000+i), "127.0.0.1:0", served)
		list = append(list, entry{Host: e.name, Dial: e.address, Site: "edificio-a", Class: "local-shops", Block: i % destinations, Health: "in_service", Share: 1})
	}
	p.set(list...)
	c := newCourier(r, p, settings([]object{class("status", "free", 2, 16, 2)}, object{"discovery": "automatic", "shapes": []string{"local-shops"},
		"zones": []string{"edificio-a", "edificio-b"}, "rules": object{"drain-grace-s": 1.0, "cold-from": 0.2, "ramp-time-s": 14.0, "fall-multiple": 2.0, "tip-after-s": 1.5}}), false)
	c.configure()
	if trouble {
		p.write = inWindows
	}
	if !c.start("courier").ready(10 * time.Second) {
		return verdict{unable: "the courier was not ready within 10 s"}
	}
	began, number := time.Now(), 0
	var told time.Time // when the drains count as told at the latest
	drained := map[string]bool{}
	client := newClient(r, c.listen)
	for tick := 0; time.Since(began) < 30*time.Second; tick++ {
		if tick == 40 { // after 4 s
			var changes []entry
			for _, e := range list[:busy] {
				e.Health = "terminating"
				changes, drained[e.Host] = append(changes, e), true
			}
			p.set(changes...)
			told = time.Now().Add(toldAfter)
		}
		number++
		m := &sent{id: fmt.Sprintf("m%014d", number), dest: tick % busy, ttl: 16 * time.Second, class: "status"}
		client.send(enqueue(m, "", "delivery update"), m)
		time.Sleep(time.Until(began.Add(time.Duration(tick+1) * 100 * time.Millisecond)))
	}
	time.Sleep(2 * time.Second)

	var v verdict
	delivered := 0
	for _, one := range t.list() {
		if one.outcome == "200" {
			delivered++
		}
		if drained[one.endpoint] && one.at.Sub(told) > grace+slack {
			v.broken = append(v.broken, fmt.Sprintf("message %s was sent to %s %.3f s after its drain counted as told", one.id, one.endpoint, one.at.Sub(told).Seconds()))
		}
	}
	if r.line("messages %d, delivered %d", number, delivered); delivered < number/4 {
		v.unable = "under a quarter of the messages were delivered"
	}
	return v
}

// inWindows writes a body as a new connection does whose round trip takes 0.2 s: ten segments of 1,460 bytes at first, and twice as many with
// each round trip.
func inWindows(w http.ResponseWriter, body []byte) {
	out := http.NewResponseController(w)
	for window := 10 * 1460; ; window *= 2 {
		n := min(window, len(body))
		w.Write(body[:n])
		out.Flush()
		if body = body[n:]; len(body) == 0 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
