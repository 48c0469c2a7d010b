package transport

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"pineport/testbed/port"
)

// countingReplier counts the bytes and the reads of one connection, and notes in a shared log when it is read.
type countingReplier struct {
	*recordingHandler
	reads *readLog
}

func (h *countingReplier) HasPendingReplies() bool { return false }

// readLog holds the peers whose connections were read, in order, and the bytes read from each.
type readLog struct {
	mu    sync.Mutex
	order []string
	bytes map[string]int
}

func (l *readLog) add(peer string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order, l.bytes[peer] = append(l.order, peer), l.bytes[peer]+n
}

func (l *readLog) total(peer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[peer]
}

func newReadLog() *readLog { return &readLog{bytes: map[string]int{}} }

// accept returns a handler that logs what is read.
func (l *readLog) accept() Handler {
	return &countingReplier{newRecordingHandler(func(conn *Conn, b []byte) { l.add(conn.raw.RemoteAddr().String(), len(b)) }), l}
}

// writeMuch writes n bytes and waits until the other side's kernel has them. Without reads it takes 64 kB for sure, unless a test sets its
// receive buffer.
func writeMuch(t *testing.T, peer *net.TCPConn, n int) {
	t.Helper()
	peer.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if _, err := peer.Write(bytes.Repeat([]byte("m"), n)); err != nil {
		t.Fatal(err)
	}
	if !port.WaitAcknowledged(peer) {
		t.Fatal("the bytes never arrived")
	}
}

// TestRequestersTakeTurns guards against a client that has sent much and is read to the end before any other client is read at all.
func TestRequestersTakeTurns(t *testing.T) {
	const much = 60 << 10
	log := newReadLog()
	_, addr, resume := driverWithBlockedPoller(t, log.accept)
	greedy, modest := dial(t, addr), dial(t, addr)
	writeMuch(t, greedy, much)
	writeMuch(t, modest, 10)
	resume()
	for deadline := time.Now().Add(5 * time.Second); log.total(greedy.LocalAddr().String()) < much; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes were read", log.total(greedy.LocalAddr().String()), much)
		}
	}
	before := 0
	for _, peer := range log.order {
		if peer == modest.LocalAddr().String() {
			break
		}
		before++
	}
	if before > 1 || log.total(modest.LocalAddr().String()) != 10 {
		t.Errorf("%d reads of the client that sends much came before the first read of another one; want 1 at most", before)
	}
}

// TestRespondersTakeTurns guards against an endpoint that answers without end and keeps all other connections from being read.
func TestRespondersTakeTurns(t *testing.T) {
	for _, greedyPeers := range []int{1, 5, 50} {
		t.Run(fmt.Sprint(greedyPeers), func(t *testing.T) {
			const much = 60 << 10
			log := newReadLog()
			driver, addr, resume := driverWithBlockedPoller(t, log.accept)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var greedy []*net.TCPConn
			for range greedyPeers {
				driver.Dial(listener.Addr().String(), 5*time.Second, newRecordingHandler(func(conn *Conn, b []byte) { log.add(conn.raw.LocalAddr().String(), len(b)) }))
				conn, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				greedy = append(greedy, conn.(*net.TCPConn))
				writeMuch(t, conn.(*net.TCPConn), much)
			}
			modest := dial(t, addr)
			writeMuch(t, modest, 10)
			time.Sleep(100 * time.Millisecond) // until it is accepted
			resume()
			waitRead(t, log, modest, 10)
			for _, peer := range greedy {
				waitReadOf(t, log, peer.RemoteAddr().String(), much)
			}
			before := slices.Index(log.order, modest.LocalAddr().String())
			if before > greedyPeers {
				t.Errorf("%d reads of %d connections came before the first read of another one; want one of each at most", before, greedyPeers)
			}
		})
	}
}

// TestRestIsReadOfPeerThatEndsItsSending: whoever ends its sending after much gets all of it read.
func TestRestIsReadOfPeerThatEndsItsSending(t *testing.T) {
	const much = 60 << 10
	log := newReadLog()
	_, addr, resume := driverWithBlockedPoller(t, log.accept)
	peer := dial(t, addr)
	writeMuch(t, peer, much)
	peer.CloseWrite()
	resume()
	for deadline := time.Now().Add(5 * time.Second); log.total(peer.LocalAddr().String()) < much; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes were read", log.total(peer.LocalAddr().String()), much)
		}
	}
}

// TestRestOfGonePeerIsNotRead guards against work for a client that has reset its connection: one turn of it may be read, not all it sent.
func TestRestOfGonePeerIsNotRead(t *testing.T) {
	const much = 60 << 10
	log := newReadLog()
	_, addr, resume := driverWithBlockedPoller(t, log.accept)
	peer := dial(t, addr)
	writeMuch(t, peer, much)
	address := peer.LocalAddr().String()
	peer.SetLinger(0)
	peer.Close()
	time.Sleep(50 * time.Millisecond)
	resume()
	time.Sleep(200 * time.Millisecond)
	if got := log.total(address); got > requesterTurnBytes {
		t.Errorf("%d bytes of a client that had gone were read; want %d at most", got, requesterTurnBytes)
	}
}
