package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["fallback"] = fallback }

// fallback upgrades a courier whose endpoints have been replaced since its start. The new process takes over and crashes; the old one goes on.
func fallback(r *record) verdict {
	p, t := newPlatform(r), &trips{record: r}
	owner := map[string]int{} // destination of each endpoint
	serve := func(delay time.Duration) func([]string, int) answer {
		return func([]string, int) answer { return answer{status: 200, delay: delay} }
	}
	listed := func(e *endpoint, block int, health string) entry {
		owner[e.name] = block
		return entry{Host: e.name, Dial: e.address, Site: "building-a", Class: "partner", Block: block, Health: health, Share: 1}
	}
	old := newEndpoint(t, "s-old", "127.0.0.1:0", serve(300*time.Millisecond))
	p.set(listed(old, 1, "in_service"))
	classes := []object{class("status-update", "free", 1, 8, 1), class("deposit-order", "single_shot", 4, 28, 2)}
	c := newCourier(r, p, settings(classes, nil), true)
	c.configure()
	first := c.start("first")
	if !first.ready(10 * time.Second) {
		return verdict{unable: "the courier was not ready within 10 s"}
	}
	messages := []*sent{}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // 20 messages a second, for destination 1 alone until destination 2 is listed
		defer close(stopped)
		client := newClient(r, c.listen)
		defer client.close()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			m := &sent{id: fmt.Sprintf("m%014d", i), dest: 1, ttl: 8 * time.Second, class: "status-update"}
			messages = append(messages, m)
			client.send(enqueue(m, "", "tender update"), m)
		}
	}()
	time.Sleep(2 * time.Second)

	// The endpoint is replaced, and one of another destination takes its address.
	fresh := newEndpoint(t, "s-fresh", "127.0.0.1:0", serve(300*time.Millisecond))
	p.set(listed(fresh, 1, "in_service"))
	p.set(listed(old, 1, "terminating"))
	time.Sleep(2 * time.Second)
	p.set(listed(old, 1, "terminated"))
	gone := time.Now()
	time.Sleep(500 * time.Millisecond)
	old.server.Close()
	other := newEndpoint(t, "s-other", old.address, serve(300*time.Millisecond))
	p.set(listed(other, 2, "in_service"))
	time.Sleep(2 * time.Second)
	replaced := time.Now()

	second := c.start("second")
	if !second.ready(6 * time.Second) {
		return verdict{unable: "the new process did not take clients within 6 s"}
	}
	time.Sleep(time.Second)
	if trouble {
		second.kill()
	} else {
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	<-stopped
	time.Sleep(2 * time.Second)

	destinations := map[string]int{}
	for _, m := range messages {
		destinations[m.id] = m.dest
	}
	var v verdict
	served := 0
	for _, one := range t.list() {
		if owner[one.endpoint] != destinations[one.id] {
			v.broken = append(v.broken, fmt.Sprintf("message %s of destination %d was sent to %s of destination %d, at the address of an endpoint that was gone %.1f s before",
				one.id, destinations[one.id], one.endpoint, owner[one.endpoint], one.at.Sub(gone).Seconds()))
		} else if one.at.After(replaced) {
			served++
		}
	}
	r.line("calls to the right endpoint after the replacement: %d", served)
	if served == 0 {
		v.unable = "no message came to its endpoint"
	}
	return v
}
