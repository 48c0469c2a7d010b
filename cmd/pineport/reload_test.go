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

// TestSettingsUnderFire reloads the configuration ten times in a second while messages are unfinished and new ones are submitted. The reloads
// lower the limits below the number of held messages; one reads a truncated file, one moves discovery, one comes while the process is
// suspended, and a last one removes a class that has messages. Every message must end once, at-most-once messages must be sent once, and the
// courier must continue.
func TestSettingsUnderFire(t *testing.T) {
	world, err := scripted.Open(1, func(id string) scripted.Response {
		if strings.HasPrefix(id, "full") {
			return scripted.Response{Status: 429, BackoffMs: 1500}
		}
		return scripted.Response{Status: 200, Delay: 300 * time.Millisecond}
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
		if err := json.Unmarshal(world.CourierConfiguration("n0", c.listen), &top); err != nil {
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
			commands = append(commands, encodeEnqueue(id, class, 6000))
		}
		for i, line := range c.send(commands...) {
			if line == "+OK" {
				accepted++
				ids = append(ids, strings.Split(commands[i], "\r\n")[6]) // the ID in the encoded ENQUEUE
			}
		}
		return accepted
	}
	submit("full", "update", 10)
	submit("okay", "order", 20)
	for round := range 10 {
		switch round {
		case 3: // a truncated file
			if err := os.WriteFile(file, bytes.TrimSpace(world.CourierConfiguration("n0", c.listen))[:300], 0o600); err != nil {
				t.Fatal(err)
			}
		case 5:
			c.cmd.Process.Signal(syscall.SIGSTOP)
		case 6:
			c.cmd.Process.Signal(syscall.SIGCONT)
			closeOld, err := world.MoveDiscovery()
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
		t.Error("messages were not accepted after the limits were restored")
	}
	write(func(settings, _, _ map[string]any) { settings["classes"] = settings["classes"].([]any)[1:] })
	c.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the class to be removed", 3*time.Second, func() bool { return strings.Contains(c.logText(), "class removed") })
	if strings.Contains(c.logText(), "unfinished=0\n") {
		t.Error("the removed class had no unfinished messages")
	}
	if got := c.send(encodeEnqueue("late", "update", 5000))[0]; !strings.HasPrefix(got, "-ERR unknown workload") {
		t.Errorf("a message of a removed class: got %s, want -ERR unknown workload", got)
	}
	if submit("okay", "order", 2) != 2 {
		t.Error("messages of the remaining class were not accepted")
	}
	for _, id := range ids {
		waitFor(t, id, 9*time.Second, func() bool { _, done, notices := world.MessageCalls(id); return done+len(notices) > 0 })
	}
	for _, id := range ids {
		began, done, notices := world.MessageCalls(id)
		// A notice that was unconfirmed when discovery moved is sent again with the same content.
		conflicting := len(notices) > 1 && notices[0] != notices[1]
		if strings.Contains(id, "order") && began > 1 || conflicting || done > 0 && len(notices) > 0 {
			t.Errorf("%s: sent %d times, delivered %d times, notices %v", id, began, done, notices)
		}
	}
	if !strings.Contains(c.logText(), "new configuration rejected") || strings.Contains(c.logText(), "panic") {
		t.Error(c.logText())
	}
}

// TestHangupsBetweenEventLoops checks that SIGHUPs are not lost while no event loop receives configurations. After the last SIGHUP, the next event
// loop must get the current content of the file.
func TestHangupsBetweenEventLoops(t *testing.T) {
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(name string) {
		if err := os.WriteFile(path+".new", world.CourierConfiguration(name, "127.0.0.1:1"), 0o600); err != nil {
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
	hangups <- syscall.SIGHUP // accepted by the channel once the first SIGHUP is being handled
	writeConfig("last")
	var dep *config.Deployment
	for range 2 {
		select {
		case dep = <-p.reloads:
		case <-time.After(10 * time.Second):
			t.Fatal("a SIGHUP was lost")
		}
	}
	if dep.Name != "last" {
		t.Errorf("the next event loop received the configuration %q last", dep.Name)
	}
	close(hangups)
	<-returned
}
