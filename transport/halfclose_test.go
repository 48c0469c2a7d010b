package transport

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pendingReplyHandler is a handler whose reply is pending until the test closes replied.
type pendingReplyHandler struct {
	*recordingHandler
	replied chan struct{} // closed when the reply has been written
}

func (h *pendingReplyHandler) HasPendingReplies() bool {
	select {
	case <-h.replied:
		return false
	default:
		return true
	}
}

// TestHalfClosedPeerGetsItsReply checks that a peer that shuts down its write side directly after its request, or while the request
// is being handled, still gets the reply before the connection is closed.
func TestHalfClosedPeerGetsItsReply(t *testing.T) {
	for name, endFirst := range map[string]bool{"closes write side after request": true, "closes write side while request is handled": false} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{}, 1)
			h := &pendingReplyHandler{newRecordingHandler(func(*Conn, []byte) { read <- struct{}{} }), make(chan struct{})}
			_, addr := open(t, func() Handler { return h })
			peer := dial(t, addr)
			io.WriteString(peer, "request")
			if endFirst {
				peer.CloseWrite()
				<-read
			} else {
				<-read
				peer.CloseWrite()
			}
			h.waitClosed(t) // no handler calls follow Closed
			if !h.conn.HalfClosed() {
				t.Fatal("the connection is not half-closed")
			}
			if err := h.conn.Write([]byte("reply")); err != nil {
				t.Fatal(err)
			}
			close(h.replied)
			h.conn.CloseReplies()
			peer.SetReadDeadline(time.Now().Add(5 * time.Second))
			if got, err := io.ReadAll(peer); string(got) != "reply" || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// TestResetPeerIsNotHalfClosed checks that no descriptor is kept for a peer that has reset its connection, since that peer reads no replies.
func TestResetPeerIsNotHalfClosed(t *testing.T) {
	read := make(chan struct{}, 1)
	h := &pendingReplyHandler{newRecordingHandler(func(*Conn, []byte) { read <- struct{}{} }), make(chan struct{})}
	_, addr := open(t, func() Handler { return h })
	peer := dial(t, addr)
	io.WriteString(peer, "request")
	<-read
	peer.SetLinger(0)
	peer.Close()
	h.waitClosed(t)
	if h.conn.HalfClosed() {
		t.Error("a descriptor is kept for a peer that has reset its connection")
	}
}

// TestHalfClosedPeerIsNotPolled checks that the descriptor of a half-closed connection is removed from epoll while replies are pending.
// Incident: epoll reported the end of the old connection under its descriptor number, and a new connection that had got that number was
// closed with its request unanswered.
func TestHalfClosedPeerIsNotPolled(t *testing.T) {
	read := make(chan struct{}, 1)
	h := &pendingReplyHandler{newRecordingHandler(func(*Conn, []byte) { read <- struct{}{} }), make(chan struct{})}
	_, addr := open(t, func() Handler { return h })
	peer := dial(t, addr)
	io.WriteString(peer, "request")
	<-read
	descriptor := h.conn.openConn().Hash()
	var socket unix.Stat_t
	if err := unix.Fstat(descriptor, &socket); err != nil {
		t.Fatal(err)
	}
	if !isPolled(t, descriptor, socket.Ino) {
		t.Fatal("the open connection is not found in epoll, so this test cannot detect a failure")
	}
	peer.CloseWrite()
	h.waitClosed(t)
	if !h.conn.HalfClosed() {
		t.Fatal("the connection is not half-closed")
	}
	if isPolled(t, descriptor, socket.Ino) {
		t.Errorf("descriptor %d is still polled", descriptor)
	}
	h.conn.CloseReplies()
}

// isPolled reports whether an epoll instance of this process contains a socket under a descriptor number.
func isPolled(t *testing.T, descriptor int, inode uint64) bool {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc")
	}
	for _, entry := range entries {
		if target, _ := os.Readlink("/proc/self/fd/" + entry.Name()); target != "anon_inode:[eventpoll]" {
			continue
		}
		text, err := os.ReadFile("/proc/self/fdinfo/" + entry.Name())
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n") {
			fields := strings.Fields(line)
			if len(fields) > 1 && fields[0] == "tfd:" && fields[1] == strconv.Itoa(descriptor) && strings.Contains(line, fmt.Sprintf("ino:%x ", inode)) {
				return true
			}
		}
	}
	return false
}
