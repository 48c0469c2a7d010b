package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// These tests have peers that send much and then end their sending, while they still read replies.

// waitRead waits until n bytes of a peer have been read.
func waitRead(t *testing.T, log *readLog, peer *net.TCPConn, n int) {
	t.Helper()
	address := peer.LocalAddr().String()
	for deadline := time.Now().Add(10 * time.Second); log.total(address) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes were read", log.total(address), n)
		}
	}
}

// TestPeersThatEndTheirSendingTakeTurns guards against a client that has sent much and ended its sending, and is read to the end before any
// other client is read at all.
func TestPeersThatEndTheirSendingTakeTurns(t *testing.T) {
	const much = 60 << 10
	for _, greedyPeers := range []int{1, 5, 50} {
		t.Run(fmt.Sprint(greedyPeers), func(t *testing.T) {
			log := newReadLog()
			_, addr, resume := driverWithBlockedPoller(t, log.accept)
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
			for _, peer := range greedy {
				waitRead(t, log, peer, much)
			}
			waitRead(t, log, modest, 10)
			reads := map[string]int{}
			most := 0
			for _, peer := range log.order {
				if peer == modest.LocalAddr().String() {
					break
				}
				reads[peer]++
				most = max(most, reads[peer])
			}
			// A poller event is one turn, and a second one may have begun.
			if most > 2 {
				t.Errorf("%d reads of one peer came before the first read of the last one; want 2 at most", most)
			}
		})
	}
}

// acceptWithLargeBuffer returns a handler whose socket takes much that is unread.
func (l *readLog) acceptWithLargeBuffer() Handler {
	return &largeBufferHandler{l.accept().(*countingReplier)}
}

type largeBufferHandler struct{ *countingReplier }

func (h *largeBufferHandler) Opened(conn *Conn) {
	_ = unix.SetsockoptInt(conn.raw.Hash(), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<20) // the test checks that the bytes arrive
	h.countingReplier.Opened(conn)
}

// TestLongRestIsReadWhole guards against a limit on what is read of a peer that has ended its sending: what lay behind it was lost.
func TestLongRestIsReadWhole(t *testing.T) {
	const much = 3 << 20
	log := newReadLog()
	_, addr, resume := driverWithBlockedPoller(t, log.acceptWithLargeBuffer)
	peer := dial(t, addr)
	time.Sleep(100 * time.Millisecond) // until it is accepted
	writeMuch(t, peer, much)
	peer.CloseWrite()
	resume()
	waitRead(t, log, peer, much)
}

// TestRepliesToRestArriveWhole guards against replies that are lost, or written in part, when a peer that has ended its sending reads slowly.
func TestRepliesToRestArriveWhole(t *testing.T) {
	const much, replyFactor = 60 << 10, 12
	_, addr, resume := driverWithBlockedPoller(t, func() Handler {
		handler := &countingReplier{newRecordingHandler(func(conn *Conn, b []byte) { conn.Write(bytes.Repeat(b, replyFactor)) }), newReadLog()}
		return handler
	})
	peer := dial(t, addr)
	peer.SetReadBuffer(4 << 10)
	writeMuch(t, peer, much)
	peer.CloseWrite()
	resume()
	time.Sleep(200 * time.Millisecond)
	replies, err := io.ReadAll(peer)
	if err != nil || len(replies) != replyFactor*much {
		t.Errorf("got %d of %d bytes of replies, %v", len(replies), replyFactor*much, err)
	}
}
