package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/scripted"
)

// Incident: requests went to a draining endpoint for up to 1.1 s after its drain counted as known, which is 6 s after discovery had
// it, and with that past the grace.
//
// Seen: a watch of the endpoint list fell silent just before the drain, was given up after 5.5 s and asked anew at once; that call
// was refused (503), and the next one came 2.8 s later.
//
// Cause: when to ask again was decided by the last call alone. A failed call began a pause of 1 to 4 s, however much of the 6 s the
// calls before it had taken. Of the same class, found while looking for it: the version moved on to that of an answer of which a part
// could not be used, so that a drain in it was never asked for again.
//
// Proof: the log of the courier that sent them; and each case below of a second fault after the silent watch, or of an entry that
// cannot be used, had calls at the drained endpoint past the grace (22 of 29), and has none with the mend.

const (
	// changeDeadline is when a change counts as known at the latest, after discovery had it and could be reached.
	changeDeadline = 6 * time.Second
	// drainGrace is how long after that a new request may go to an endpoint that drains; the shortest in use.
	drainGrace = 500 * time.Millisecond
	// workTime is how long an endpoint works on a call: several messages are in flight, which takes both endpoints.
	callDuration = 60 * time.Millisecond
)

// treatments are what discovery's answers come to from the drain on, one poll after the other; the polls after them are well.
type pollTreatments []faultproxy.Treatment

func withFaults(faults ...faultproxy.Fault) (treatments pollTreatments) {
	for _, fault := range faults {
		treatments = append(treatments, faultproxy.Treatment{Fault: fault, Delay: 2 * time.Second})
	}
	return treatments
}

func replaceInAnswer(old, with string) faultproxy.Treatment {
	return faultproxy.Treatment{Fault: faultproxy.Spoilt, Edit: func(body []byte) []byte {
		return bytes.Replace(body, []byte(old), []byte(with), 1)
	}}
}

var silentFirst = func(rest ...faultproxy.Treatment) pollTreatments {
	return append(withFaults(faultproxy.Silent), rest...)
}

// drainsLearnedLate are the ways in which a drain is learned late: what happens to the watch that is open as it is made, and to the
// polls after it.
var lateDrainCases = map[string]pollTreatments{
	"silent":                               withFaults(faultproxy.Silent),
	"silent, unavailable":                  withFaults(faultproxy.Silent, faultproxy.Unavailable),
	"silent, unavailable three times":      withFaults(faultproxy.Silent, faultproxy.Unavailable, faultproxy.Unavailable, faultproxy.Unavailable),
	"silent, reset":                        withFaults(faultproxy.Silent, faultproxy.Reset),
	"silent, cut, unavailable":             withFaults(faultproxy.Silent, faultproxy.Cut, faultproxy.Unavailable),
	"silent, silent":                       withFaults(faultproxy.Silent, faultproxy.Silent),
	"silent, late":                         withFaults(faultproxy.Silent, faultproxy.Late),
	"silent, stuck, reset":                 withFaults(faultproxy.Silent, faultproxy.Stuck, faultproxy.Reset),
	"silent, endless":                      withFaults(faultproxy.Silent, faultproxy.Endless),
	"silent, trickle":                      withFaults(faultproxy.Silent, faultproxy.Trickle),
	"silent, not JSON":                     silentFirst(replaceInAnswer("{", "[")),
	"silent, unknown health":               silentFirst(replaceInAnswer(`"terminating"`, `"terminatinh"`)),
	"unknown health":                       {replaceInAnswer(`"terminating"`, `"terminatinh"`)},
	"health under another key":             {replaceInAnswer(`"health"`, `"heaith"`)},
	"health is a number":                   {replaceInAnswer(`"terminating"`, `7`)},
	"no name":                              {replaceInAnswer(`"host":"s-0"`, `"hast":"s-0"`)},
	"name is a number":                     {replaceInAnswer(`"s-0"`, `5`)},
	"name with a bad byte":                 {replaceInAnswer(`"s-0"`, "\"s-\x010\"")},
	"name of nobody":                       {replaceInAnswer(`"s-0"`, `"s-8"`)},
	"no address":                           {replaceInAnswer(`"dial"`, `"dia1"`)},
	"bad address":                          {replaceInAnswer(`127.0.0.1:`, `127.0.0.1;`)},
	"no destination":                       {replaceInAnswer(`"block"`, `"blocc"`)},
	"unknown zone":                         {replaceInAnswer(`"site":"a"`, `"site":"q"`)},
	"unknown type":                         {replaceInAnswer(`"class":"plain"`, `"class":"plaim"`)},
	"entry is no object":                   {replaceInAnswer(`[{`, `[5,{`), replaceInAnswer(`"host":"s-0"`, `"host":[]`)},
	"list under another key":               {replaceInAnswer(`"hosts"`, `"hostt"`)},
	"not JSON":                             {replaceInAnswer("{", "[")},
	"not JSON at its end":                  {replaceInAnswer("]", "}")},
	"unknown health twice, then no answer": {replaceInAnswer(`"terminating"`, `"terminatinh"`), replaceInAnswer(`"terminating"`, `"x"`), {Fault: faultproxy.Reset}},
}

// TestDrainTakesEffectInTime: a drain is heeded 6 s after discovery had it, and the grace, at the latest, whatever one or two calls to
// discovery come to meanwhile; real processes on loopback, discovery behind a proxy.
func TestDrainTakesEffectInTime(t *testing.T) {
	var cases sync.WaitGroup // not t.Parallel: they mostly wait, and all at once take the time of one
	for name, faults := range lateDrainCases {
		cases.Go(func() { t.Run(name, func(t *testing.T) { runDrainCase(t, faults) }) })
	}
	cases.Wait()
}

func runDrainCase(t *testing.T, faults pollTreatments) {
	world, err := scripted.Open(2, func(string) scripted.Fate { return scripted.Fate{Status: 200, After: callDuration} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	var next atomic.Int64
	proxy, err := faultproxy.Open(world.Discovery, func(call faultproxy.Call) faultproxy.Treatment {
		if !call.IsPoll() {
			return faultproxy.Treatment{}
		}
		if n := int(next.Add(1)) - 1; n < len(faults) {
			return faults[n]
		}
		return faultproxy.Treatment{}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	world.Discovery = proxy.Address
	c := newCourier(t, world)
	c.start() // its first watch has the first fault
	client := c.submitSteadily(10 * time.Millisecond)
	waitFor(t, "a call to each endpoint", 3*time.Second, func() bool { return world.Calls(0) > 0 && world.Calls(1) > 0 })
	drained := time.Now()
	world.Drain(0)
	limit := drained.Add(changeDeadline + drainGrace)
	time.Sleep(time.Until(limit))
	before := world.Calls(0)
	time.Sleep(2500 * time.Millisecond)
	client.stop()
	if late := world.Calls(0) - before; late > 0 {
		t.Errorf("%d calls to the endpoint that drains, later than %v after its drain; polls: %s", late, changeDeadline+drainGrace, formatPolls(proxy, drained))
	}
	if world.Calls(1) == 0 {
		t.Error("no call to the endpoint that stays")
	}
}

// polls is what discovery was asked, for a failure's text.
func formatPolls(proxy *faultproxy.Proxy, from time.Time) (text string) {
	for _, call := range proxy.Calls() {
		if call.IsPoll() {
			text += fmt.Sprintf("\n%.3f s: index %s, %v", call.Read.Sub(from).Seconds(), call.Query.Get("index"), call.Fault)
		}
	}
	return text
}

// submitter is a client that submits messages at a steady rate, whatever it is answered.
type submitter struct {
	stopping chan struct{}
	done     sync.WaitGroup
}

func (c *courier) submitSteadily(interval time.Duration) *submitter {
	s := &submitter{stopping: make(chan struct{})}
	s.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		var conn net.Conn
		var replies *bufio.Reader
		for n := 0; ; n++ {
			select {
			case <-s.stopping:
				return
			case <-ticker.C:
			}
			if conn == nil {
				dialed, err := net.DialTimeout("tcp", c.listen, time.Second)
				if err != nil {
					continue
				}
				conn, replies = dialed, bufio.NewReader(dialed)
			}
			conn.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(conn, enqueue(fmt.Sprintf("steady-%d", n), "update", 4000))
			if _, err := replies.ReadString('\n'); err != nil {
				conn.Close()
				conn = nil
			}
		}
	})
	return s
}

func (s *submitter) stop() {
	close(s.stopping)
	s.done.Wait()
}
