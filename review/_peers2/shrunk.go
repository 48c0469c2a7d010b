package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["shrunk"] = shrunk }

// shrunk gives a courier that holds a clump of long messages a new configuration, whose disk limit is lower but more than the folder holds.
func shrunk(r *record) verdict {
	const (
		clump = 20
		ttl   = 16 * time.Second
		due   = 350 * time.Millisecond // after its time, a message has its end by then
	)
	p, t := newPlatform(r), &trips{record: r}
	slot := make(chan struct{}, 1) // the partner serves one call at a time
	e := newEndpoint(t, "s-5be2a000", "127.0.0.1:0", func([]string, int) answer {
		select {
		case slot <- struct{}{}:
			time.AfterFunc(500*time.Millisecond, func() { <-slot })
			return answer{status: 200, delay: 490 * time.Millisecond}
		default:
			return answer{status: 503, delay: 5 * time.Millisecond}
		}
	})
	p.set(entry{Host: e.name, Dial: e.address, Site: "building-a", Class: "partner", Block: 1, Health: "in_service", Share: 2})
	c := newCourier(r, p, settings([]object{class("status-update", "free", 4, 28, 1)}, object{"weight-kind": "nominal"}), false)
	c.configure()
	courier := c.start("courier")
	if !courier.ready(10 * time.Second) {
		return verdict{unable: "the courier was not ready within 10 s"}
	}
	client := newClient(r, c.listen)
	var messages []*sent
	for i := range clump {
		m := &sent{id: fmt.Sprintf("m%014d", i), dest: 1, ttl: ttl, class: "status-update"}
		client.send(enqueue(m, "", strings.Repeat("x", 64000)), m)
		messages = append(messages, m)
	}
	time.Sleep(1500 * time.Millisecond) // never in its first second
	held := folderSize(filepath.Join(c.dir, "state"))
	path := filepath.Join(c.dir, "config.json")
	text, _ := os.ReadFile(path)
	var config object
	if json.Unmarshal(text, &config) != nil {
		return verdict{unable: "the configuration could not be read"}
	}
	if trouble {
		config["limits"].(object)["disk_mb"] = 1.45
	}
	text, _ = json.MarshalIndent(config, "", " ")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return verdict{unable: err.Error()}
	}
	r.line("the folder holds %d bytes; the new limit is %v MB", held, config["limits"].(object)["disk_mb"])
	if held > 1450000 {
		return verdict{unable: "the folder holds more than the new limit"}
	}
	courier.signal(syscall.SIGHUP)
	time.Sleep(ttl + 3*time.Second)

	var v verdict
	delivered := map[string]bool{}
	for _, one := range t.list() {
		if one.outcome == "200" {
			delivered[one.id] = true
		}
	}
	taken := 0
	for _, m := range messages {
		if m.reply != "+OK" {
			continue
		}
		taken++
		if at := p.noticeAt(m.id); !delivered[m.id] && (at.IsZero() || at.Sub(m.at) > m.ttl+due) {
			v.broken = append(v.broken, fmt.Sprintf("message %s was taken on and has no end %.1f s after its time", m.id, time.Since(m.at.Add(m.ttl)).Seconds()))
		}
	}
	client.close() // a courier may have closed it by now
	probe := &sent{id: "m99999999999999", dest: 1, ttl: ttl, class: "status-update"}
	client.send(enqueue(probe, "", "x"), probe)
	if probe.reply == "" {
		v.broken = append(v.broken, "the courier answers no client any more")
	}
	if r.line("taken on %d, delivered %d", taken, len(delivered)); taken == 0 {
		v.unable = "no message was taken on"
	}
	return v
}

// folderSize returns the size of a folder's files, each counted in whole 512 bytes.
func folderSize(dir string) (size int64) {
	files, _ := os.ReadDir(dir)
	for _, file := range files {
		if info, err := file.Info(); err == nil && info.Mode().IsRegular() {
			size += (info.Size() + 511) / 512 * 512
		}
	}
	return size
}
