package main

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"pineport/membership/gossip"
	"pineport/membership/incarnation"
)

// configurePeers configures membership with a free listen address in a courier's configuration file and returns the address. allowed sets
// settings.ceilings.peers.
func configurePeers(t *testing.T, dir string, allowed bool, join ...string) (listen string) {
	t.Helper()
	listen = freePort(t)
	editConfig(t, dir, func(top map[string]any) {
		top["peers"] = map[string]any{"listen": listen, "pace_s": 0.1, "fleet": "f", "join": join, "share": true}
		top["settings"].(map[string]any)["ceilings"].(map[string]any)["peers"] = allowed
	})
	return listen
}

// socketsAndThreads returns the number of UDP sockets and threads of a process.
func socketsAndThreads(t *testing.T, pid int) (udp, threads int) {
	t.Helper()
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	inodes := map[string]bool{}
	for _, table := range []string{"udp", "udp6"} {
		text, err := os.ReadFile(filepath.Join(dir, "net", table))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n")[1:] {
			if f := strings.Fields(line); len(f) > 9 {
				inodes["socket:["+f[9]+"]"] = true
			}
		}
	}
	fds, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		t.Fatal(err)
	}
	for _, fd := range fds {
		if to, err := os.Readlink(filepath.Join(dir, "fd", fd.Name())); err == nil && inodes[to] {
			udp++
		}
	}
	tasks, err := os.ReadDir(filepath.Join(dir, "task"))
	if err != nil {
		t.Fatal(err)
	}
	return udp, len(tasks)
}

// TestNoMembershipIfNotAllowed checks a courier whose settings do not allow membership, as in the deployment called Dakar. Even if peers.listen
// is set, it must open no socket for membership, send nothing to members, store no incarnation and serve no membership data.
func TestNoMembershipIfNotAllowed(t *testing.T) {
	world := newUpgradeWorld(t)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := newCourier(t, world)
	c.adminAddr = freePort(t)
	listen := configurePeers(t, c.dir, false, peer.LocalAddr().String())
	c.start()
	time.Sleep(500 * time.Millisecond) // five intervals between health checks
	if udp, _ := socketsAndThreads(t, c.cmd.Process.Pid); udp != 0 {
		t.Errorf("the courier has %d UDP sockets, want 0", udp)
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Errorf("the address peers.listen is in use: %v", err)
	} else {
		l.Close()
	}
	peer.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if n, _, err := peer.ReadFrom(make([]byte, 100)); err == nil {
		t.Errorf("%d bytes were sent to a member", n)
	}
	if _, err := os.Stat(filepath.Join(c.dir, "state", incarnation.FileName)); err == nil {
		t.Error("an incarnation was stored")
	}
	for _, path := range []string{"/peers", "/commons"} {
		if status, _ := c.callAdmin("GET", path); status != 404 {
			t.Errorf("GET %s: got status %d, want 404", path, status)
		}
	}
	if !strings.Contains(c.logText(), "settings.ceilings.peers") {
		t.Error("the log does not give the reason why membership is off")
	}
}

// TestUpgradeKeepsMember observes a courier from another member. Across upgrades the courier must keep its incarnation and never be reported
// as failed. After a shutdown and a restart it must have the next incarnation.
func TestUpgradeKeepsMember(t *testing.T) {
	world := newUpgradeWorld(t)
	p := newSupervisor(t, world)
	at := configurePeers(t, p.dir, true)
	other, err := gossip.Open(gossip.Options{Name: "other", Incarnation: 1, FleetSize: 2, Fleet: "f", Listen: freePort(t), Join: []string{at}, Interval: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer other.HandOff()
	memberState := func() (state string, number uint64) {
		for _, m := range other.Snapshot().Members {
			if m.Name == "n0" {
				return m.State.String(), uint64(m.Incarnation)
			}
		}
		return "", 0
	}
	old := p.startProcess(p.binary)
	p.requireReady(old)
	waitFor(t, "the courier to be alive", 10*time.Second, func() bool { s, _ := memberState(); return s == "alive" })
	_, first := memberState()
	load := p.startLoad(4)
	for range 3 {
		next := p.startProcess(p.binary)
		p.requireReady(next)
		p.terminate(old)
		p.exits.Wait()
		waitFor(t, "the successor to be alive", 10*time.Second, func() bool {
			udp, _ := socketsAndThreads(t, next.cmd.Process.Pid)
			s, _ := memberState()
			return udp == 1 && s == "alive"
		})
		// Ten intervals between health checks: longer than a fleet of two suspects a silent member before it declares it failed.
		time.Sleep(time.Second)
		if s, number := memberState(); s != "alive" || number != first {
			t.Errorf("after an upgrade the member is %s with incarnation %d, want alive with %d", s, number, first)
		}
		old = next
	}
	load.verify(world, 3)
	out, err := runCommand("peers", "ls", "--ops", old.ops)
	if err != nil || !strings.Contains(out, "other") || !strings.Contains(out, "whole") {
		t.Errorf("peers ls: %v\n%s", err, out)
	}
	if out, err := runCommand("peers", "show", "other", "--ops", old.ops, "--output", "json"); err != nil || !strings.Contains(out, `"state": "alive"`) {
		t.Errorf("peers show: %v\n%s", err, out)
	}
	if out, err := runCommand("quota", "show", "--ops", old.ops); err != nil || !strings.Contains(out, "LEASED") {
		t.Errorf("quota show: %v\n%s", err, out)
	}
	if _, err := runCommand("peers", "show", "nobody", "--ops", old.ops); err == nil {
		t.Error("peers show of an unknown member reported no error")
	}
	p.terminate(old)
	p.exits.Wait()
	waitFor(t, "the courier to have left", 10*time.Second, func() bool { s, _ := memberState(); return s == "left" })
	last := p.startProcess(p.binary)
	p.requireReady(last)
	waitFor(t, "the next incarnation to be alive", 10*time.Second, func() bool { s, n := memberState(); return s == "alive" && n == first+1 })
	if other.Snapshot().Revoked > 0 {
		t.Errorf("%d reports that a member had failed were revoked, want 0", other.Snapshot().Revoked)
	}
}
