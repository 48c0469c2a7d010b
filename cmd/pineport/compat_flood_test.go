//go:build compat

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineport/testbed/scripted"
)

// These tests measure old builds and the new build in one run, and log figures without judging them. oldBuildVariable may name several
// programs, as a path list.

// eachBuild returns the old builds and the new build.
func eachBuild(t *testing.T) (builds []build) {
	t.Helper()
	for _, program := range filepath.SplitList(os.Getenv(oldBuildVariable)) {
		builds = append(builds, build{filepath.Base(program), program})
	}
	if len(builds) == 0 {
		t.Fatalf("%s is not set: start these tests by .ci/compat REV", oldBuildVariable)
	}
	return append(builds, build{"new build", buildBinary()})
}

// TestCompatWaitsBesideFlood logs the ratios of TestWaitsBesideFlood for each build.
func TestCompatWaitsBesideFlood(t *testing.T) {
	for _, each := range eachBuild(t) {
		t.Run(each.name, func(t *testing.T) { measureRatios(t, each.program) })
	}
}

const (
	throughputRounds = 5
	throughputSpan   = 2 * time.Second
	keptConnections  = 8
	messagesPerWrite = 20
)

// TestCompatMessagesPerSecond logs how many messages a second each build accepts over kept connections, in turns.
func TestCompatMessagesPerSecond(t *testing.T) {
	builds := eachBuild(t)
	totals := make([]float64, len(builds))
	for round := range throughputRounds {
		for i, each := range builds {
			perSecond := measureThroughput(t, each.program)
			totals[i] += perSecond
			t.Logf("round %d, %s: %.0f messages a second", round, each.name, perSecond)
		}
	}
	for i, each := range builds {
		t.Logf("%s: %.0f messages a second, ratio of the new build to it %.2f", each.name, totals[i]/throughputRounds, totals[len(totals)-1]/totals[i])
	}
}

// measureThroughput returns the messages a second that a program accepts over kept connections.
func measureThroughput(t *testing.T, program string) float64 {
	t.Helper()
	world, err := scripted.Open(3, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	c := newCourier(t, world)
	c.binary = program
	c.start()
	defer c.stop()
	var accepted atomic.Int64
	var clients sync.WaitGroup
	began := time.Now()
	for number := range keptConnections {
		clients.Go(func() {
			if err := sendMessages(c.listen, number, began.Add(throughputSpan), &accepted); err != nil {
				t.Error(err)
			}
		})
	}
	clients.Wait()
	return float64(accepted.Load()) / time.Since(began).Seconds()
}

// sendMessages hands in messages over one connection until a time, and counts those that are accepted.
func sendMessages(address string, number int, end time.Time, accepted *atomic.Int64) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(end.Add(5 * time.Second))
	replies := bufio.NewReader(conn)
	for round := 0; time.Now().Before(end); round++ {
		var commands strings.Builder
		for i := range messagesPerWrite {
			commands.WriteString(encodeEnqueue(fmt.Sprintf("m-%d-%d-%d", number, round, i), "update", 20000))
		}
		if _, err := io.WriteString(conn, commands.String()); err != nil {
			return err
		}
		for range messagesPerWrite {
			reply, err := replies.ReadString('\n')
			if err != nil {
				return err
			}
			if reply == "+OK\r\n" {
				accepted.Add(1)
			}
		}
	}
	return nil
}
