package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

func openQuickWorld(t *testing.T) *scripted.World {
	t.Helper()
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: 20 * time.Millisecond} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	return world
}

// TestRequestsOfGoneClientsAreNotSentOn guards against a courier that reads requests of a client that has gone, accepts them and sends them
// on, although nobody has heard or will hear of it and the client may have handed its messages in elsewhere.
func TestRequestsOfGoneClientsAreNotSentOn(t *testing.T) {
	const clients, requests = 5, 30
	world := openQuickWorld(t)
	c := newCourier(t, world)
	c.start()
	var conns []*net.TCPConn
	for range clients {
		conn, err := net.Dial("tcp", c.listen)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn.(*net.TCPConn))
	}
	c.send(encodeCommand("PING")) // the connections before have been accepted
	c.cmd.Process.Signal(syscall.SIGSTOP)
	var ids []string
	for i, conn := range conns {
		text := ""
		for n := range requests {
			id := fmt.Sprintf("gone-%d-%d", i, n)
			ids = append(ids, id)
			text += encodeEnqueue(id, "order", 8000)
		}
		io.WriteString(conn, text)
		conn.SetLinger(0) // the connection is reset, as when replies are unread
		conn.Close()
	}
	c.cmd.Process.Signal(syscall.SIGCONT)
	if got := c.send(encodeEnqueue("stays", "order", 8000)); got[0] != "+OK" {
		t.Errorf("another client got %v", got)
	}
	waitFor(t, "the message of another client to be delivered", 5*time.Second, func() bool { _, done, _ := world.MessageCalls("stays"); return done == 1 })
	time.Sleep(time.Second)
	sent := 0
	for _, id := range ids {
		if began, _, _ := world.MessageCalls(id); began > 0 {
			sent++
		}
	}
	if sent > 0 {
		t.Errorf("%d of %d requests that were read after their clients had gone were sent on", sent, len(ids))
	}
}

// TestIdComesAgain guards against an at-most-once message that runs twice because its id comes again: seconds after it has run, at the other
// process of an upgrade, or after a restart.
func TestIdComesAgain(t *testing.T) {
	const messages = 60
	between := map[string]func(*supervisor, *instance){
		"3 s later": func(*supervisor, *instance) { time.Sleep(3 * time.Second) },
		"at an upgrade's other process": func(p *supervisor, _ *instance) {
			p.requireReady(p.startProcess(p.binary))
		},
		"after a planned restart": func(p *supervisor, old *instance) {
			p.terminate(old)
			p.exits.Wait()
			p.requireReady(p.startProcess(p.binary))
		},
		"after a kill": func(p *supervisor, old *instance) {
			old.cmd.Process.Kill()
			old.cmd.Wait()
			p.requireReady(p.startProcess(p.binary))
		},
	}
	for name, pass := range between {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := openQuickWorld(t)
			p := newSupervisor(t, world)
			running := p.startProcess(p.binary)
			p.requireReady(running)
			var requests, ids []string
			for i := range messages {
				ids = append(ids, fmt.Sprintf("again-%d", i))
				requests = append(requests, encodeEnqueue(ids[i], "order", 8000))
			}
			p.send(requests...)
			for _, id := range ids {
				waitFor(t, id, 10*time.Second, func() bool { _, done, _ := world.MessageCalls(id); return done == 1 })
			}
			time.Sleep(200 * time.Millisecond) // for the last answer
			pass(p, running)
			replies := p.send(requests...)
			time.Sleep(1500 * time.Millisecond)
			twice := 0
			for _, id := range ids {
				if began, _, _ := world.MessageCalls(id); began > 1 {
					twice++
				}
			}
			if twice > 0 {
				t.Errorf("%d of %d at-most-once messages that had run ran again", twice, messages)
			}
			if taken := strings.Count(strings.Join(replies, "\n"), "+OK"); taken < messages {
				t.Errorf("%d of %d ids that came again were answered as delivered", taken, messages)
			}
		})
	}
}
