package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineport/config"
	"pineport/logging"
	"pineport/testbed/scripted"
)

// TestSettingsUnderFire: ten reloads in a second while messages are held and come in, each with other limits below what is
// held, some of a file that is only half written, one that moves the directory, one in a standstill, and one that takes a
// class away that holds messages. Every message ends once, at-most-once ones run once, and the courier goes on.
func TestSettingsUnderFire(t *testing.T) {
	world, err := scripted.Open(1, func(id string) scripted.Fate {
		if strings.HasPrefix(id, "full") {
			return scripted.Fate{Status: 429, WaitMs: 1500}
		}
		return scripted.Fate{Status: 200, After: 300 * time.Millisecond}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.start()
	file := filepath.Join(c.dir, "config.json")
	write := func(change func(settings, ceilings, family map[string]any)) {
		var top map[string]any
		if err := json.Unmarshal(world.Configuration("n0", c.listen), &top); err != nil {
			t.Fatal(err)
		}
		s := top["settings"].(map[string]any)
		change(s, s["ceilings"].(map[string]any), s["family-info"].(map[string]any))
		text, err := json.Marshal(top)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var ids []string
	submit := func(kind, class string, n int) (accepted int) {
		var commands []string
		for i := range n {
			id := fmt.Sprintf("%s-%s-%d-%d", kind, class, len(ids), i)
			commands = append(commands, enqueue(id, class, 6000))
		}
		for i, line := range c.send(commands...) {
			if line == "+OK" {
				accepted++
				ids = append(ids, strings.Split(commands[i], "\r\n")[6])
			}
		}
		return accepted
	}
	submit("full", "update", 10)
	submit("okay", "order", 20)
	for round := range 10 {
		switch round {
		case 3: // half written
			if err := os.WriteFile(file, bytes.TrimSpace(world.Configuration("n0", c.listen))[:300], 0o600); err != nil {
				t.Fatal(err)
			}
		case 5:
			c.cmd.Process.Signal(syscall.SIGSTOP)
		case 6:
			c.cmd.Process.Signal(syscall.SIGCONT)
			closeOld, err := world.Move()
			if err != nil {
				t.Fatal(err)
			}
			defer closeOld()
		}
		if round != 3 {
			write(func(_, ceilings, family map[string]any) {
				ceilings["open-cap"], family["slots"], ceilings["try-limit"] = 5+round, 2+round, 3+round%2
			})
		}
		c.cmd.Process.Signal(syscall.SIGHUP)
		if round != 5 {
			submit("okay", "order", 3)
		}
		time.Sleep(100 * time.Millisecond)
	}
	write(func(_, _, _ map[string]any) {})
	c.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if submit("full", "update", 3) != 3 {
		t.Error("with the usual room again, messages were not taken")
	}
	write(func(settings, _, _ map[string]any) { settings["classes"] = settings["classes"].([]any)[1:] })
	c.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the workload is taken away", 3*time.Second, func() bool { return strings.Contains(c.logText(), "class removed") })
	if strings.Contains(c.logText(), "unfinished=0\n") {
		t.Error("nothing was held of the class that was taken away")
	}
	if got := c.send(enqueue("late", "update", 5000))[0]; !strings.HasPrefix(got, "-ERR unknown workload") {
		t.Errorf("a message of a class that is gone: %s", got)
	}
	if submit("okay", "order", 2) != 2 {
		t.Error("a message of the class that stayed was not taken")
	}
	for _, id := range ids {
		waitFor(t, id, 9*time.Second, func() bool { _, done, notices := world.Seen(id); return done+len(notices) > 0 })
	}
	for _, id := range ids {
		began, done, notices := world.Seen(id)
		conflicting := len(notices) > 1 && notices[0] != notices[1] // not confirmed before the directory moved, one goes again, the same
		if strings.Contains(id, "order") && began > 1 || conflicting || done > 0 && len(notices) > 0 {
			t.Errorf("%s: begun %d times, done %d, notices %v", id, began, done, notices)
		}
	}
	if !strings.Contains(c.logText(), "new configuration rejected") || strings.Contains(c.logText(), "panic") {
		t.Error(c.logText())
	}
}

// TestHangupsBetweenEventLoops: hangups that come while no event loop takes configurations are not lost: the next event loop takes, last, what the
// file says by then.
func TestHangupsBetweenEventLoops(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Fate { return scripted.Fate{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(name string) {
		if err := os.WriteFile(path+".new", world.Configuration(name, "127.0.0.1:1"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	log, err := logging.New(io.Discard, logging.Options{Level: "info", QueueSize: 16})
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close(0)
	p := &process{sources: config.Sources{Getenv: func(string) string { return "" }, File: path, State: t.TempDir()}, log: log,
		reloads: make(chan *config.Deployment)}
	hangups := make(chan os.Signal, 1)
	returned := make(chan struct{})
	go func() {
		p.handleHangups(hangups)
		close(returned)
	}()
	writeConfig("first")
	hangups <- syscall.SIGHUP
	hangups <- syscall.SIGHUP // taken once the first is read, and nobody takes what that brought
	writeConfig("last")
	var dep *config.Deployment
	for range 2 {
		select {
		case dep = <-p.reloads:
		case <-time.After(10 * time.Second):
			t.Fatal("a hangup was lost")
		}
	}
	if dep.Name != "last" {
		t.Errorf("the next event loop goes on by %q", dep.Name)
	}
	close(hangups)
	<-returned
}
