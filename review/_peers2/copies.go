package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["copies"] = copies }

// copies lets one route of a destination fall silent at a deployment without second copies, where several messages may share a call.
func copies(r *record) verdict {
	p, t := newPlatform(r), &trips{record: r}
	rng := rand.New(rand.NewSource(7))
	var mu sync.Mutex
	silent := false
	usual := func([]string, int) answer {
		mu.Lock()
		defer mu.Unlock()
		return answer{status: 200, delay: time.Duration(310+rng.Intn(220)) * time.Millisecond}
	}
	mayFall := func(ids []string, size int) answer {
		mu.Lock()
		quiet := silent
		mu.Unlock()
		if quiet {
			return answer{}
		}
		return usual(ids, size)
	}
	listed := func(e *endpoint, class string, block int) entry {
		return entry{Host: e.name, Dial: e.address, Site: "building-a", Class: class, Block: block, Health: "in_service", Share: 1}
	}
	p.set(listed(newEndpoint(t, "s-a1", "127.0.0.1:0", mayFall), "first-rank", 1), listed(newEndpoint(t, "s-a2", "127.0.0.1:0", usual), "first-rank", 1),
		listed(newEndpoint(t, "s-b1", "127.0.0.1:0", usual), "second-rank", 2), listed(newEndpoint(t, "s-c1", "127.0.0.1:0", usual), "second-rank", 3))
	classes := []object{class("slot-status", "free", 3, 16, 2), class("deposit-charge", "single_shot", 2.5, 16, 4)}
	c := newCourier(r, p, settings(classes, object{
		"ceilings":    object{"may-duplicate": false, "try-limit": 12, "open-cap": 60, "conn-idle-s": 10.0, "connect-timeout-s": 1.5},
		"family-info": object{"slots": 4, "per-call": []int{20, 1}, "separate-routes": []bool{true, false}},
		"shapes":      []string{"first-rank", "second-rank"},
		"rules":       object{"cold-from": 0.18, "ramp-time-s": 11.0, "fall-multiple": 2.5, "tip-after-s": 1.5},
	}), false)
	c.configure()
	if !c.start("courier").ready(10 * time.Second) {
		return verdict{unable: "the courier was not ready within 10 s"}
	}
	began, number := time.Now(), 0
	clump, steady := newClient(r, c.listen), newClient(r, c.listen)
	next := func(dest int, class string) *sent {
		number++
		return &sent{id: fmt.Sprintf("m%014d", number), dest: dest, ttl: 16 * time.Second, class: class}
	}
	for tick := 0; time.Since(began) < 40*time.Second; tick++ {
		if since := time.Since(began); trouble {
			mu.Lock()
			silent = since > 8*time.Second && since < 24*time.Second
			mu.Unlock()
		}
		one := next(2+tick%2, "slot-status") // 6.7 messages a second for the other destinations
		steady.send(enqueue(one, "", "free slot"), one)
		if tick%14 == 0 { // each 2.1 s a clump of four for the first destination
			text, messages := "", []*sent{}
			for i := range 4 {
				m := next(1, []string{"slot-status", "deposit-charge"}[i%2])
				text, messages = text+enqueue(m, "", "booking"), append(messages, m)
			}
			clump.send(text, messages...)
		}
		time.Sleep(time.Until(began.Add(time.Duration(tick+1) * 150 * time.Millisecond)))
	}
	time.Sleep(2 * time.Second)

	var v verdict
	all := t.list()
	delivered := 0
	for i, later := range all {
		if later.outcome == "200" {
			delivered++
		}
		for _, earlier := range all[:i] {
			// Calls that cross on the network are let through: every time limit is 50 ms longer on sockets.
			if earlier.id == later.id && (earlier.until.IsZero() || earlier.until.Sub(later.at) > 50*time.Millisecond) {
				open := "still out at the end"
				if !earlier.until.IsZero() {
					open = fmt.Sprintf("out for %.3f s more", earlier.until.Sub(later.at).Seconds())
				}
				v.broken = append(v.broken, fmt.Sprintf("message %s was sent to %s at %.3f s while its call to %s of %.3f s was %s", later.id, later.endpoint,
					later.at.Sub(r.began).Seconds(), earlier.endpoint, earlier.at.Sub(r.began).Seconds(), open))
			}
		}
	}
	if r.line("messages %d, delivered %d", number, delivered); delivered < number/2 {
		v.unable = "under half of the messages were delivered"
	}
	return v
}
