package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/admin"
	"pineport/testbed/scripted"
)

// waits are how long a client, an operator and discovery wait for a courier.
type waits struct {
	ping    time.Duration // until the reply, median
	message time.Duration // from handing in a message until its endpoint has answered, median
	ops     time.Duration // until the answer to an admin request, median
	drain   time.Duration // from the change of discovery's list until the courier has it
}

// ratioTo returns the ratios of waits to those of an idle courier.
func (w waits) ratioTo(idle waits) waitRatios {
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(max(b, time.Microsecond)) }
	return waitRatios{ratio(w.ping, idle.ping), ratio(w.message, idle.message), ratio(w.ops, idle.ops), ratio(w.drain, idle.drain)}
}

// waitRatios are ratios of waits to those of an idle courier.
type waitRatios struct{ ping, message, ops, drain float64 }

func (r waitRatios) String() string {
	return fmt.Sprintf("ping %.1f, message %.1f, ops %.1f, drain %.2f", r.ping, r.message, r.ops, r.drain)
}

const (
	waitSamples = 21 // odd, for the median
	// patienceOfMeasure is the wait that counts where there was no answer.
	patienceOfMeasure = 2 * time.Second
	patienceOfDrain   = 10 * time.Second
)

// medianWait returns the median of waits. measure returns false if there was no answer.
func medianWait(measure func(sample int) bool) time.Duration {
	var samples []time.Duration
	unanswered := 0
	for sample := range waitSamples {
		began := time.Now()
		if measure(sample) {
			samples = append(samples, time.Since(began))
		} else if unanswered++; unanswered > waitSamples/2 {
			return patienceOfMeasure
		}
	}
	slices.Sort(samples)
	samples = append(samples, slices.Repeat([]time.Duration{patienceOfMeasure}, unanswered)...)
	return samples[waitSamples/2]
}

// measureWaits measures how long others wait for a courier. Drained is the endpoint to drain, name starts the ids of the messages.
func (c *testCourier) measureWaits(world *scripted.World, name string, drained int) (w waits) {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	replies := bufio.NewReader(conn)
	ask := func(command string) bool {
		conn.SetDeadline(time.Now().Add(patienceOfMeasure))
		io.WriteString(conn, command)
		_, err := replies.ReadString('\n')
		return err == nil
	}
	w.ping = medianWait(func(int) bool { return ask(encodeCommand("PING")) })
	w.message = medianWait(func(sample int) bool {
		id := fmt.Sprintf("%s-%d", name, sample)
		return ask(encodeEnqueue(id, "update", 8000)) && pollUntil(func() bool {
			_, done, _ := world.MessageCalls(id)
			return done > 0
		})
	})
	client := &http.Client{Timeout: patienceOfMeasure, Transport: &http.Transport{DisableKeepAlives: true}}
	w.ops = medianWait(func(int) bool {
		answer, err := client.Post("http://"+c.adminAddr+"/maintenance/exit/s-0", "", nil) // through the event loop
		if err != nil {
			return false
		}
		answer.Body.Close()
		return true
	})
	w.drain = c.measureDrain(world, client, drained)
	return w
}

// measureDrain drains an endpoint, and returns how long it takes until the courier counts one more as disabled.
func (c *testCourier) measureDrain(world *scripted.World, client *http.Client, drained int) time.Duration {
	disabled := func() (count int64, ok bool) {
		answer, err := client.Get("http://" + c.adminAddr + "/status/metrics")
		if err != nil {
			return 0, false
		}
		defer answer.Body.Close()
		var metrics admin.Metrics
		err = json.NewDecoder(answer.Body).Decode(&metrics)
		return metrics.TargetsDisabled, err == nil
	}
	before, _ := disabled()
	began := time.Now()
	world.Drain(drained)
	for time.Since(began) < patienceOfDrain {
		if now, ok := disabled(); ok && now > before {
			break
		}
	}
	return time.Since(began)
}

// pollUntil waits for a condition, up to patienceOfMeasure.
func pollUntil(ok func() bool) bool {
	for deadline := time.Now().Add(patienceOfMeasure); !ok(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// floodManner is how a flooding client sends.
type floodManner string

const (
	neverStops    floodManner = "never stop"
	sendsAndGoes  floodManner = "send much and go"         // without reading a reply, and come again
	sendsAndReads floodManner = "send much and half-close" // read all replies, and come again
)

// floodKind is a number of clients that flood a courier with PINGs.
type floodKind struct {
	clients int
	manner  floodManner
}

func (k floodKind) String() string { return fmt.Sprintf("%d that %s", k.clients, k.manner) }

// start starts the flood and returns the function that ends it.
func (k floodKind) start(address string) (stop func()) {
	stopping := make(chan struct{})
	much := strings.Repeat(encodeCommand("PING"), 50_000)
	var clients sync.WaitGroup
	for range k.clients {
		clients.Go(func() {
			switch k.manner {
			case neverStops:
				sendWithoutEnd(address, stopping, repeatText(encodeCommand("PING")))
			case sendsAndGoes:
				sendAndGo(address, stopping, much)
			case sendsAndReads:
				sendAndHalfClose(address, stopping, much)
			}
		})
	}
	return func() {
		close(stopping)
		clients.Wait()
	}
}

var floodKinds = []floodKind{{1, neverStops}, {5, neverStops}, {50, neverStops}, {5, sendsAndGoes}, {5, sendsAndReads}}

// measureRatios returns, for each of floodKinds, the ratios of waits beside the flood to those of the same courier when it is idle.
func measureRatios(t *testing.T, program string) (ratios []waitRatios) {
	t.Helper()
	for _, kind := range floodKinds {
		world, err := scripted.Open(3, func(string) scripted.Response { return scripted.Response{Status: 200} })
		if err != nil {
			t.Fatal(err)
		}
		c := startWithAdminBinary(t, world, program)
		idle := c.measureWaits(world, "idle", 1)
		stop := kind.start(c.listen)
		time.Sleep(300 * time.Millisecond)
		flooded := c.measureWaits(world, "flooded", 2)
		stop()
		ratios = append(ratios, flooded.ratioTo(idle))
		t.Logf("%v: idle %v, flooded %v, ratios: %v", kind, idle, flooded, ratios[len(ratios)-1])
		c.stop()
		world.Close()
	}
	return ratios
}

// startWithAdminBinary is startWithAdmin with a program.
func startWithAdminBinary(t *testing.T, world *scripted.World, program string) *testCourier {
	t.Helper()
	c := newCourier(t, world)
	c.binary, c.adminAddr = program, freePort(t)
	c.start()
	return c
}

// stop ends the process, if it runs.
func (c *testCourier) stop() {
	c.cmd.Process.Kill()
	c.cmd.Wait()
}

// pingsPerTurn is how many PINGs one client has answered before another one gets its turn: what 2 kB hold.
const pingsPerTurn = 2 << 10 / len("*1\r\n$4\r\nPING\r\n")

// TestWaitsBesideFlood guards against clients that hold up all others: whoever comes waits for at most two turns of each of them, and none of
// the commands in a turn takes longer than one that comes alone.
func TestWaitsBesideFlood(t *testing.T) {
	for i, ratios := range measureRatios(t, buildBinary()) {
		limit := float64(1 + 2*floodKinds[i].clients*pingsPerTurn)
		if max(ratios.ping, ratios.message, ratios.ops, ratios.drain) > limit {
			t.Errorf("%v: ratios to an idle courier: %v; want %.0f at most", floodKinds[i], ratios, limit)
		}
	}
}
