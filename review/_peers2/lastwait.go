package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lastwait"] = lastwait }

// span counts the calls that a route has taken in its current span of 1 s.
type span struct {
	ends  time.Time
	taken int
}

// wait is what a route has told: nothing more until an instant.
type wait struct {
	endpoint  string
	at, until time.Time
}

// lastwait restarts a courier as planned while one house sends more than the routes take, which tell how long to wait.
func lastwait(r *record) verdict {
	const (
		routes  = 24
		limit   = 3 // calls that a route takes in each span of 1 s
		crossed = 100 * time.Millisecond
		slack   = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
	)
	p, t := newPlatform(r), &trips{record: r}
	var mu sync.Mutex
	var waits []wait
	var list []entry
	for i := range routes {
		name := fmt.Sprintf("s-%08x", 0x5be2a000+i)
		current := span{ends: time.Now().Add(time.Duration(i) * time.Second / routes)}
		e := newEndpoint(t, name, "127.0.0.1:0", func([]string, int) answer {
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			for !current.ends.After(now) {
				current = span{ends: current.ends.Add(time.Second)}
			}
			if current.taken++; current.taken <= limit {
				return answer{status: 200, delay: 260 * time.Millisecond}
			}
			left := current.ends.Sub(now).Milliseconds() + 1
			waits = append(waits, wait{name, now, current.ends})
			return answer{status: 429, backoffMs: left}
		})
		list = append(list, entry{Host: name, Dial: e.address, Site: "room-a", Class: "big-platform", Block: i, Health: "in_service", Share: limit})
	}
	p.set(list...)
	done := class("render-done", "guarded", 2, 28, 1)
	done["dedup-window-s"], done["group"] = 7.5, "zone"
	c := newCourier(r, p, settings([]object{done}, object{"discovery": "automatic", "shapes": []string{"big-platform"}, "zones": []string{"room-a", "room-b"}, "weight-kind": "nominal",
		"ceilings": object{"try-limit": 6, "open-cap": 300}, "family-info": object{"separate-routes": []bool{true}, "slots": 60, "decay": "line"},
		"rules": object{"drain-grace-s": 1.0, "cold-from": 0.26, "fall-multiple": 1.5, "tip-after-s": 3.0}}), false)
	c.configure()
	first := c.start("first")
	if !first.ready(10 * time.Second) {
		return verdict{unable: "the courier was not ready within 10 s"}
	}
	began, number := time.Now(), 0
	client := newClient(r, c.listen)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // 2 messages a second for each route, and 5 from the fourth second on
		defer close(stopped)
		for {
			pause := time.Second / routes / 2
			if time.Since(began) > 4*time.Second {
				pause = time.Second / routes / 5
			}
			select {
			case <-stop:
				client.close()
				return
			case <-time.After(pause):
			}
			number++
			m := &sent{id: "m" + strconv.Itoa(10000000000000+number), dest: number % routes, ttl: 28 * time.Second, class: "render-done"}
			client.send(enqueue(m, "", "score"), m)
		}
	}()
	time.Sleep(8 * time.Second)
	if trouble {
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(3700 * time.Millisecond)
	close(stop)
	<-stopped
	if trouble {
		first.kill()
	}
	mu.Lock()
	told := waits
	mu.Unlock()
	var v verdict
	for _, one := range t.list() {
		for _, w := range told {
			if w.endpoint == one.endpoint && one.at.Sub(w.at) > crossed+slack && one.at.Before(w.until) {
				v.broken = append(v.broken, fmt.Sprintf("message %s was sent to %s at %.3f s, which had told at %.3f s to wait until %.3f s", one.id, one.endpoint,
					one.at.Sub(r.began).Seconds(), w.at.Sub(r.began).Seconds(), w.until.Sub(r.began).Seconds()))
				break
			}
		}
	}
	if r.line("messages %d, waits told %d", number, len(told)); len(told) == 0 {
		v.unable = "no route told to wait"
	}
	return v
}
