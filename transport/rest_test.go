package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pineport/testbed/port"
)

// These tests have peers that send much and then end their sending, while they still read replies.

// waitRead waits until n bytes of a peer have been read.
func waitRead(t *testing.T, log *readLog, peer *net.TCPConn, n int) {
	t.Helper()
	waitReadOf(t, log, peer.LocalAddr().String(), n)
}

// waitReadOf waits until n bytes of the peer with an address have been read.
func waitReadOf(t *testing.T, log *readLog, address string, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); log.total(address) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes were read", log.total(address), n)
		}
	}
}

// TestPeersThatEndTheirSendingTakeTurns guards against a client that has sent much and ended its sending, and is read to the end before any
// other client is read at all: the poller gives each one turn, and the rest is read beside it.
func TestPeersThatEndTheirSendingTakeTurns(t *testing.T) {
	const much = 60 << 10
	for _, greedyPeers := range []int{1, 5, 50} {
		t.Run(fmt.Sprint(greedyPeers), func(t *testing.T) {
			log, pollerLog := newReadLog(), newReadLog()
			_, addr, resume := driverWithBlockedPoller(t, func() Handler {
				return &countingReplier{newRecordingHandler(func(conn *Conn, b []byte) {
					peer := conn.raw.RemoteAddr().String()
					if !conn.HalfClosed() { // restReader has half-closed connections only
						pollerLog.add(peer, len(b))
					}
					log.add(peer, len(b))
				}), log}
			})
			var greedy []*net.TCPConn
			for range greedyPeers {
				peer := dial(t, addr)
				writeMuch(t, peer, much)
				peer.CloseWrite()
				greedy = append(greedy, peer)
			}
			modest := dial(t, addr)
			writeMuch(t, modest, 10)
			resume()
			waitRead(t, log, modest, 10)
			for _, peer := range greedy {
				waitRead(t, log, peer, much)
				if n := pollerLog.total(peer.LocalAddr().String()); n > requesterTurnBytes {
					t.Errorf("the poller read %d bytes of one peer; want %d at most", n, requesterTurnBytes)
				}
			}
			before := slices.Index(pollerLog.order, modest.LocalAddr().String())
			if before < 0 || before > greedyPeers {
				t.Errorf("%d reads of %d peers came before the first read of another one; want one of each at most", before, greedyPeers)
			}
		})
	}
}

// bufferSizeReplier sets the size of one buffer of its socket.
type bufferSizeReplier struct {
	*countingReplier
	option int // unix.SO_RCVBUF or unix.SO_SNDBUF
	size   int
}

func (h *bufferSizeReplier) Opened(conn *Conn) {
	_ = unix.SetsockoptInt(conn.raw.Hash(), unix.SOL_SOCKET, h.option, h.size) // the tests fail if it is not set
	h.countingReplier.Opened(conn)
}

// TestLongRestIsReadWhole guards against a limit on what is read of a peer that has ended its sending: what lay behind it was lost.
func TestLongRestIsReadWhole(t *testing.T) {
	const much = 3 << 20
	log := newReadLog()
	_, addr, resume := driverWithBlockedPoller(t, func() Handler {
		return &bufferSizeReplier{log.accept().(*countingReplier), unix.SO_RCVBUF, 4 << 20}
	})
	peer := dial(t, addr)
	time.Sleep(100 * time.Millisecond) // until it is accepted
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		peer.Write(make([]byte, much))
		peer.CloseWrite()
	}()
	select {
	case <-sent:
		port.WaitAcknowledged(peer)
	case <-time.After(2 * time.Second): // a kernel short of memory for sockets takes less
		t.Log("not all bytes arrived before the first read")
	}
	resume()
	waitRead(t, log, peer, much)
}

// TestRepliesToRestArriveWhole guards against replies that are lost, or written in part, when a peer that has ended its sending reads slowly.
func TestRepliesToRestArriveWhole(t *testing.T) {
	const much, replyFactor = 60 << 10, 12
	_, addr, resume := driverWithBlockedPoller(t, func() Handler {
		handler := newRecordingHandler(func(conn *Conn, b []byte) { conn.Write(bytes.Repeat(b, replyFactor)) })
		return &bufferSizeReplier{&countingReplier{handler, newReadLog()}, unix.SO_SNDBUF, 32 << 10}
	})
	peer := dial(t, addr)
	peer.SetReadBuffer(64 << 10)
	writeMuch(t, peer, much)
	peer.CloseWrite()
	resume()
	time.Sleep(200 * time.Millisecond)
	replies, err := io.ReadAll(peer)
	if err != nil || len(replies) != replyFactor*much {
		t.Errorf("got %d of %d bytes of replies, %v", len(replies), replyFactor*much, err)
	}
}
