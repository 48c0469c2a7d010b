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

// Incident: the courier sent requests to a draining endpoint for up to 1.1 s after changeDeadline, which is 6 s after discovery knew of
// the drain. This exceeded drainGrace.
//
// Sequence: a watch of the endpoint list became silent just before the drain. After 5.5 s the courier closed the watch and polled again at
// once; that poll failed with status 503, and the next one followed 2.8 s later.
//
// Cause: the time of the next poll depended on the last poll alone. A failed poll started a backoff of 1 to 4 s, regardless of how much of
// the 6 s earlier polls had used. A related bug was found in the investigation: the courier adopted the version of an answer that was
// partly unusable, so that it never fetched the unusable entries again, even if one of them was a drain.
//
// Evidence: the log of the courier; and before the fix, 22 of the then 29 cases below, those with a second fault after the silent watch or
// with an unusable entry, had calls to the draining endpoint later than drainGrace allows. After the fix no case had.

const (
	// changeDeadline is the time within which a courier must apply a change, once discovery has it and is reachable.
	changeDeadline = 6 * time.Second
	// drainGrace is how long after changeDeadline new requests may still go to a draining endpoint. It is the shortest grace in use.
	drainGrace = 500 * time.Millisecond
	// callDuration is the time an endpoint takes for a call. With a message every 10 ms, several are in flight and both endpoints are used.
	callDuration = 60 * time.Millisecond
)

// pollFaults are the faults of successive polls, starting with the watch that is open when the drain happens. Later polls succeed.
type pollFaults []faultproxy.FaultSpec

func withFaults(faults ...faultproxy.Fault) (treatments pollFaults) {
	for _, fault := range faults {
		treatments = append(treatments, faultproxy.FaultSpec{Fault: fault, Delay: 2 * time.Second})
	}
	return treatments
}

func replaceInAnswer(old, with string) faultproxy.FaultSpec {
	return faultproxy.FaultSpec{Fault: faultproxy.Corrupted, Edit: func(body []byte) []byte {
		return bytes.Replace(body, []byte(old), []byte(with), 1)
	}}
}

var silentFirst = func(rest ...faultproxy.FaultSpec) pollFaults {
	return append(withFaults(faultproxy.NoResponse), rest...)
}

// lateDrainCases lists ways in which the courier learns of a drain late: the fault of the watch that is open when the drain happens, and the
// faults of the polls after it.
var lateDrainCases = map[string]pollFaults{
	"silent":                               withFaults(faultproxy.NoResponse),
	"silent, unavailable":                  withFaults(faultproxy.NoResponse, faultproxy.Unavailable),
	"silent, unavailable three times":      withFaults(faultproxy.NoResponse, faultproxy.Unavailable, faultproxy.Unavailable, faultproxy.Unavailable),
	"silent, reset":                        withFaults(faultproxy.NoResponse, faultproxy.Reset),
	"silent, cut, unavailable":             withFaults(faultproxy.NoResponse, faultproxy.Truncated, faultproxy.Unavailable),
	"silent, silent":                       withFaults(faultproxy.NoResponse, faultproxy.NoResponse),
	"silent, late":                         withFaults(faultproxy.NoResponse, faultproxy.Delayed),
	"silent, stuck, reset":                 withFaults(faultproxy.NoResponse, faultproxy.Stalled, faultproxy.Reset),
	"silent, endless":                      withFaults(faultproxy.NoResponse, faultproxy.EndlessHeader),
	"silent, trickle":                      withFaults(faultproxy.NoResponse, faultproxy.SlowResponse),
	"silent, not JSON":                     silentFirst(replaceInAnswer("{", "[")),
	"silent, unknown health":               silentFirst(replaceInAnswer(`"terminating"`, `"terminatinh"`)),
	"unknown health":                       {replaceInAnswer(`"terminating"`, `"terminatinh"`)},
	"health under another key":             {replaceInAnswer(`"health"`, `"heaith"`)},
	"health is a number":                   {replaceInAnswer(`"terminating"`, `7`)},
	"no name":                              {replaceInAnswer(`"host":"s-0"`, `"hast":"s-0"`)},
	"name is a number":                     {replaceInAnswer(`"s-0"`, `5`)},
	"name with a bad byte":                 {replaceInAnswer(`"s-0"`, "\"s-\x010\"")},
	"unknown name":                         {replaceInAnswer(`"s-0"`, `"s-8"`)},
	"no address":                           {replaceInAnswer(`"dial"`, `"dia1"`)},
	"bad address":                          {replaceInAnswer(`127.0.0.1:`, `127.0.0.1;`)},
	"no destination":                       {replaceInAnswer(`"block"`, `"blocc"`)},
	"unknown zone":                         {replaceInAnswer(`"site":"a"`, `"site":"q"`)},
	"unknown endpoint type":                {replaceInAnswer(`"class":"plain"`, `"class":"plaim"`)},
	"entry is a number, name is a list":    {replaceInAnswer(`[{`, `[5,{`), replaceInAnswer(`"host":"s-0"`, `"host":[]`)},
	"list under another key":               {replaceInAnswer(`"hosts"`, `"hostt"`)},
	"not JSON":                             {replaceInAnswer("{", "[")},
	"wrong closing bracket":                {replaceInAnswer("]", "}")},
	"unknown health twice, then no answer": {replaceInAnswer(`"terminating"`, `"terminatinh"`), replaceInAnswer(`"terminating"`, `"x"`), {Fault: faultproxy.Reset}},
}

// TestDrainTakesEffectInTime checks that a draining endpoint gets no new requests later than changeDeadline plus drainGrace after the drain,
// whatever faults the next polls of discovery have. It runs real processes on loopback, with discovery behind a fault proxy.
func TestDrainTakesEffectInTime(t *testing.T) {
	var cases sync.WaitGroup // not t.Parallel, which limits concurrency: the cases mostly wait, so all can run at once
	for name, faults := range lateDrainCases {
		cases.Go(func() { t.Run(name, func(t *testing.T) { runDrainCase(t, faults) }) })
	}
	cases.Wait()
}

// TestRepeatedListHidesNoDrain guards against a drain that is never learned because an earlier answer of discovery, delivered again, is taken
// for the answer to a later poll. Discovery drops each poll behind whose connection it can repeat an answer.
func TestRepeatedListHidesNoDrain(t *testing.T) {
	world, err := scripted.Open(3, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: callDuration} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	proxy, err := faultproxy.Open(world.Discovery, func(faultproxy.Call) faultproxy.FaultSpec {
		return faultproxy.FaultSpec{Fault: faultproxy.Repeated}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	world.Discovery = proxy.Address
	c := newCourier(t, world)
	c.start()
	client := c.submitSteadily(10 * time.Millisecond)
	waitFor(t, "a call to each endpoint", 3*time.Second, func() bool { return world.Calls(0) > 0 && world.Calls(1) > 0 && world.Calls(2) > 0 })
	world.Drain(2) // the first watch is answered
	waitFor(t, "the answer to the first watch", 3*time.Second, func() bool { return !proxy.Calls()[0].Answered.IsZero() })
	drained := time.Now()
	world.Drain(0)
	time.Sleep(time.Until(drained.Add(changeDeadline + drainGrace)))
	before := world.Calls(0)
	time.Sleep(time.Second)
	client.stop()
	if late := world.Calls(0) - before; late > 0 {
		t.Errorf("%d calls to the draining endpoint later than %v after its drain; polls: %s", late, changeDeadline+drainGrace, formatPolls(proxy, drained))
	}
	if world.Calls(1) == 0 {
		t.Error("no calls to the endpoint that is not draining")
	}
}

func runDrainCase(t *testing.T, faults pollFaults) {
	world, err := scripted.Open(2, func(string) scripted.Response { return scripted.Response{Status: 200, Delay: callDuration} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	var next atomic.Int64
	proxy, err := faultproxy.Open(world.Discovery, func(call faultproxy.Call) faultproxy.FaultSpec {
		if !call.IsPoll() {
			return faultproxy.FaultSpec{}
		}
		if n := int(next.Add(1)) - 1; n < len(faults) {
			return faults[n]
		}
		return faultproxy.FaultSpec{}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	world.Discovery = proxy.Address
	c := newCourier(t, world)
	c.start() // its first watch gets the first fault
	client := c.submitSteadily(10 * time.Millisecond)
	waitFor(t, "a call to each endpoint", 3*time.Second, func() bool { return world.Calls(0) > 0 && world.Calls(1) > 0 })
	drained := time.Now()
	world.Drain(0)
	limit := drained.Add(changeDeadline + drainGrace)
	time.Sleep(time.Until(limit))
	before := world.Calls(0)
	time.Sleep(2500 * time.Millisecond) // longer than the 1.1 s of the incident
	client.stop()
	if late := world.Calls(0) - before; late > 0 {
		t.Errorf("%d calls to the draining endpoint later than %v after its drain; polls: %s", late, changeDeadline+drainGrace, formatPolls(proxy, drained))
	}
	if world.Calls(1) == 0 {
		t.Error("no calls to the endpoint that is not draining")
	}
}

// formatPolls lists the polls of the endpoint list with times relative to from, for a failure message.
func formatPolls(proxy *faultproxy.Proxy, from time.Time) (text string) {
	for _, call := range proxy.Calls() {
		if call.IsPoll() {
			text += fmt.Sprintf("\n%.3f s: index %s, %v", call.Read.Sub(from).Seconds(), call.Query.Get("index"), call.Fault)
		}
	}
	return text
}

// submitter is a client that submits messages at a constant rate, regardless of the replies.
type submitter struct {
	stopping chan struct{}
	done     sync.WaitGroup
}

func (c *testCourier) submitSteadily(interval time.Duration) *submitter {
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
			io.WriteString(conn, encodeEnqueue(fmt.Sprintf("steady-%d", n), "update", 4000))
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
