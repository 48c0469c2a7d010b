package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = playCrowd }

// playCrowd hands in records that can only end with a notice, and has bad clients come when their time is nearly up, one after
// another: each sends much at once and goes. The records must get their final answers in time all the same.
func playCrowd(s *stage) (int, error) {
	const (
		ttlMs     = 8000
		work      = 300 * time.Millisecond
		nextAfter = 20 * time.Millisecond // the next bad client comes so long after the last one has gone
		commands  = 50000                 // of each
	)
	var hosts []host
	for _, entry := range []host{{Host: "s-serves", Block: 7, Health: "in_service"}, {Host: "s-leaves", Block: 9, Health: "terminating"}} {
		entry.Site, entry.Class, entry.Share = "building-a", "buyer-offices", 20
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
	if _, err := s.startCourier(disco, tenderSettings()); err != nil {
		return 0, err
	}
	c := newClients(s.record, s.platform.listen)
	stopLoad := c.steady(125*time.Millisecond, "status-update", 7, ttlMs)
	time.Sleep(2 * time.Second)
	waiting := map[string]time.Time{} // until when, by id
	for range 16 {
		id, until := c.id("left"), time.Now().Add(ttlMs*time.Millisecond)
		if c.send(id, "status-update", 9, ttlMs, "") == "+OK" {
			waiting[id] = until
		}
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	stopLoad()
	tookBefore := c.takenOn()

	var stopped atomic.Bool
	var bad sync.WaitGroup
	came, bytes := 0, 0
	if trouble {
		text := strings.Repeat(command("PING"), commands)
		bad.Go(func() {
			for ; !stopped.Load(); time.Sleep(nextAfter) {
				conn, err := net.Dial("tcp", s.platform.listen)
				if err != nil {
					continue
				}
				came++
				conn.SetDeadline(time.Now().Add(time.Second))
				n, _ := io.WriteString(conn, text)
				bytes += n
				s.record.add("bad client %d sent %d bytes and went", came, n)
				conn.Close()
			}
		})
	}
	stopLoad = c.steady(125*time.Millisecond, "status-update", 7, ttlMs)
	time.Sleep(8 * time.Second)
	stopLoad()
	tookDuring := c.takenOn() - tookBefore
	stopped.Store(true)
	bad.Wait()
	s.record.add("no bad clients any more")
	time.Sleep(5 * time.Second)

	lost, worst := 0, -time.Hour
	for id, until := range waiting {
		at, ok := disco.noticedAt(id)
		if !ok {
			at = time.Now()
			s.record.say("%s has no final answer", id)
		}
		if late := at.Sub(until); late > answerSlack {
			lost++
			s.record.say("%s had its final answer %.3f s after its time was up", id, late.Seconds())
		}
		worst = max(worst, at.Sub(until))
	}
	s.record.say("records that could only end with a notice: %d, not ended until %v after their time: %d; the latest came %.3f s after its time", len(waiting), answerSlack, lost, worst.Seconds())
	s.record.say("bad clients that came: %d, with %.1f MB; of 64 records of others handed in meanwhile, %d were taken on within 400 ms", came, float64(bytes)/1e6, tookDuring)
	return verdict(lost == 0), nil
}
