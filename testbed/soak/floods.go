package soak

import (
	"context"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

// floodKind is what a client sends that floods a courier.
type floodKind string

const (
	floodPings      floodKind = "flood of PINGs"                                   // without end, over one connection
	floodMalformed  floodKind = "flood of malformed commands"                      // without end, over one connection after another
	floodAndGo      floodKind = "flood of clients that send much and go"           // and leave their replies unread
	floodAndEndSend floodKind = "flood of clients that send much and half-close"   // and read their replies
	floodUnread     floodKind = "flood of a client that reads no replies"          // until its connection is closed
	floodPartial    floodKind = "flood of clients that stop in a command and stay" // many connections
)

var floodKinds = []floodKind{floodPings, floodMalformed, floodAndGo, floodAndEndSend, floodUnread, floodPartial}

const (
	floodSeedMask    = 1 << 32 // makes the seed of floods from that of the run
	floodClients     = 3
	floodTimeout     = 2 * time.Second // for a write or read of a flooding client
	floodPause       = 20 * time.Millisecond
	partialConns     = 50
	ping             = "*1\r\n$4\r\nPING\r\n"
	partialCommand   = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$4\r\n"
	malformedCommand = "*1\r\n$4\r\nPONG\r\nx"
)

// pingsAtOnce are more than a socket takes at once.
var pingsAtOnce = strings.Repeat(ping, 50_000)

// drawFloods draws whether, when and how clients flood the courier. It has a random source of its own, so that the other faults of a seed stay
// as they were before there were floods.
func drawFloods(rng *rand.Rand, quietPeriod, length time.Duration) []action {
	if rng.Intn(2) == 0 {
		return nil
	}
	kind := floodKinds[rng.Intn(len(floodKinds))]
	at := quietPeriod + time.Duration(rng.Int63n(int64(length-quietPeriod)*3/4))
	return []action{{at: at, name: string(kind), duration: time.Duration(500+rng.Intn(2500)) * time.Millisecond}}
}

// isFlood reports whether an action is a flood.
func (a action) isFlood() bool { return strings.HasPrefix(a.name, "flood") }

// flood has clients flood the courier for the duration of an action.
func (r *run) flood(ctx context.Context, a action) {
	ctx, stop := context.WithTimeout(ctx, a.duration)
	defer stop()
	var clients sync.WaitGroup
	for range floodClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				if r.floodOnce(ctx, floodKind(a.name)) {
					r.count(a.name)
				}
				wait(ctx, floodPause)
			}
		})
	}
	clients.Wait()
	r.addToTimeline("%s ended", a.name)
}

// floodOnce floods over one connection. It returns false if the courier did not accept it.
func (r *run) floodOnce(ctx context.Context, kind floodKind) bool {
	conn, err := net.DialTimeout("tcp", r.address, floodTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	closeAtEnd := context.AfterFunc(ctx, func() { conn.Close() })
	defer closeAtEnd()
	conn.SetDeadline(time.Now().Add(floodTimeout))
	switch kind {
	case floodPings:
		go io.Copy(io.Discard, conn)
		for err == nil {
			_, err = io.WriteString(conn, pingsAtOnce)
		}
	case floodMalformed:
		go io.Copy(io.Discard, conn)
		io.WriteString(conn, strings.Repeat(malformedCommand, 1000))
	case floodAndGo:
		io.WriteString(conn, pingsAtOnce)
	case floodAndEndSend:
		go func() {
			io.WriteString(conn, pingsAtOnce)
			conn.(*net.TCPConn).CloseWrite()
		}()
		io.Copy(io.Discard, conn)
	case floodUnread:
		for err == nil {
			_, err = io.WriteString(conn, pingsAtOnce)
		}
	case floodPartial:
		r.leavePartialCommands(ctx)
	}
	return true
}

// leavePartialCommands opens connections that send a part of a command and nothing more.
func (r *run) leavePartialCommands(ctx context.Context) {
	for range partialConns {
		conn, err := net.DialTimeout("tcp", r.address, floodTimeout)
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, partialCommand)
	}
	wait(ctx, floodTimeout)
}
