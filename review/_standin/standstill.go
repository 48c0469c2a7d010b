package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["standstill"] = playStandstill }

const (
	standsStill = 1800 * time.Millisecond
	patience    = 400 * time.Millisecond // of a client that waits for an answer
)

// playStandstill has the courier stand still ten times. Each time, a client that gets no answer leaves, and the same destination gets another
// record right after; the list changes in between. The destinations of these records have no endpoint any more, so that the records can only
// end with a notice. With TROUBLE=0 the courier does not stand still.
func playStandstill(s *stage) (int, error) {
	const (
		ttlMs  = 16000
		work   = 350 * time.Millisecond
		rounds = 10
	)
	var hosts []host
	for block := range rounds + 1 {
		entry := host{Host: fmt.Sprintf("s-%02d", block), Site: "north-hall", Class: "regional", Block: block, Health: "in_service", Share: 30}
		e, err := openEndpoint(s.record, s.address(), entry, work)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, e.host)
	}
	disco, err := openDiscovery(s.record, s.address(), hosts)
	if err != nil {
		return 0, err
	}
	courier, err := s.startCourier(disco, tileSettings())
	if err != nil {
		return 0, err
	}
	c := newClients(s.record, s.platform.listen)
	stopLoad := c.steady(50*time.Millisecond, "tile-status", 0, ttlMs)
	time.Sleep(time.Second)
	var gone []host
	for _, h := range hosts[1:] {
		h.Health = "terminated"
		gone = append(gone, h)
	}
	disco.change(gone...)
	time.Sleep(time.Second)

	rng := rand.New(rand.NewSource(1))
	pause := func(from, to int) time.Duration { return time.Duration(from+rng.Intn(to-from+1)) * time.Millisecond }
	until := map[string]time.Time{} // until when, by the id of a record that was taken on
	for round := 1; round <= rounds; round++ {
		first, err := keptConnection(s.platform.listen)
		if err != nil {
			return 0, err
		}
		second, err := keptConnection(s.platform.listen)
		if err != nil {
			return 0, err
		}
		time.Sleep(100 * time.Millisecond)
		if trouble {
			courier.signal(syscall.SIGSTOP)
		}
		stoppedAt := time.Now()
		time.Sleep(1200 * time.Millisecond)
		handIn := func(conn *clientConn, id string) {
			at := time.Now()
			io.WriteString(conn.conn, command("ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=tile-status,d=%d,dest=%d", ttlMs, round), "{}"))
			conn.conn.SetReadDeadline(at.Add(patience))
			line, _ := conn.reader.ReadString('\n')
			s.record.add("client: %s tile-status for %d: %s", id, round, strings.TrimSpace(line))
			if strings.HasPrefix(line, "+") {
				until[id] = at.Add(ttlMs * time.Millisecond)
			}
			if line == "" {
				s.record.add("client: no answer to %s, leaves", id)
				conn.conn.Close()
			}
		}
		handIn(first, c.id("first"))
		time.Sleep(time.Until(stoppedAt.Add(standsStill)))
		if trouble {
			courier.signal(syscall.SIGCONT)
		}
		time.Sleep(pause(5, 25))
		changed := hosts[0]
		changed.Share += float64(round)
		disco.change(changed)
		time.Sleep(pause(5, 20))
		handIn(second, c.id("next"))
		time.Sleep(1200 * time.Millisecond)
		first.conn.Close()
		second.conn.Close()
	}
	time.Sleep(ttlMs*time.Millisecond + time.Second)
	stopLoad()

	lost := 0
	for id, end := range until {
		if at, ok := disco.noticedAt(id); !ok {
			lost++
			s.record.say("%s was taken on and has no final answer, %.3f s after its time was up", id, time.Since(end).Seconds())
		} else if at.Sub(end) > answerSlack {
			lost++
			s.record.say("%s had its final answer %.3f s after its time was up", id, at.Sub(end).Seconds())
		}
	}
	s.record.say("records for destinations without an endpoint that were taken on: %d; with no final answer until %v after their time: %d", len(until), answerSlack, lost)
	if len(until) < rounds/2 {
		return 0, fmt.Errorf("too few records were taken on")
	}
	return verdict(lost == 0), nil
}

// keptConnection opens a connection of a client and asks PING on it.
func keptConnection(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	kept := &clientConn{conn, bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, command("PING"))
	if _, err := kept.reader.ReadString('\n'); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return kept, nil
}
