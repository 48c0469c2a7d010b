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

// owing is a handler that writes its reply when the test says so.
type owing struct {
	*recordingHandler
	due chan struct{} // closed when the reply has been written
}

func (o *owing) RepliesDue() bool {
	select {
	case <-o.due:
		return false
	default:
		return true
	}
}

// TestHalfClosedPeerGetsItsReply: a peer that ends its sending right behind a request, or while its request is being handled,
// still gets the reply, after which the connection ends.
func TestHalfClosedPeerGetsItsReply(t *testing.T) {
	for name, endFirst := range map[string]bool{"ends with the request": true, "ends while it is handled": false} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{}, 1)
			o := &owing{newRecordingHandler(func(*Conn, []byte) { read <- struct{}{} }), make(chan struct{})}
			_, addr := open(t, func() Handler { return o })
			peer := dial(t, addr)
			io.WriteString(peer, "request")
			if endFirst {
				peer.CloseWrite()
				<-read
			} else {
				<-read
				peer.CloseWrite()
			}
			o.wait(t) // Closed was notified: nothing more comes
			if !o.conn.HalfClosed() {
				t.Fatal("nothing can be written any more")
			}
			if err := o.conn.Write([]byte("reply")); err != nil {
				t.Fatal(err)
			}
			close(o.due)
			o.conn.CloseReplies()
			peer.SetReadDeadline(time.Now().Add(5 * time.Second))
			if got, err := io.ReadAll(peer); string(got) != "reply" || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// TestResetPeerIsNotHalfClosed: a peer that resets its connection reads nothing more, and no descriptor is kept for it.
func TestResetPeerIsNotHalfClosed(t *testing.T) {
	read := make(chan struct{}, 1)
	o := &owing{newRecordingHandler(func(*Conn, []byte) { read <- struct{}{} }), make(chan struct{})}
	_, addr := open(t, func() Handler { return o })
	peer := dial(t, addr)
	io.WriteString(peer, "request")
	<-read
	peer.SetLinger(0)
	peer.Close()
	o.wait(t)
	if o.conn.HalfClosed() {
		t.Error("a descriptor is kept for a peer that has gone")
	}
}

// TestHalfClosedPeerIsNotPolled: while replies are due to a peer that has ended its sending, no poll of the system knows its old descriptor's
// number, which the next connection may have. Failure: its end was reported for that number, and the connection that had it by then was
// closed with no answer.
func TestHalfClosedPeerIsNotPolled(t *testing.T) {
	read := make(chan struct{}, 1)
	o := &owing{newRecordingHandler(func(*Conn, []byte) { read <- struct{}{} }), make(chan struct{})}
	_, addr := open(t, func() Handler { return o })
	peer := dial(t, addr)
	io.WriteString(peer, "request")
	<-read
	descriptor := o.conn.open().Hash()
	var socket unix.Stat_t
	if err := unix.Fstat(descriptor, &socket); err != nil {
		t.Fatal(err)
	}
	if !isPolled(t, descriptor, socket.Ino) {
		t.Fatal("not polled while it is open: this test sees nothing")
	}
	peer.CloseWrite()
	o.wait(t)
	if !o.conn.HalfClosed() {
		t.Fatal("no reply can be written any more")
	}
	if isPolled(t, descriptor, socket.Ino) {
		t.Errorf("descriptor %d is still polled", descriptor)
	}
	o.conn.CloseReplies()
}

// isPolled reports whether a poll of this process knows a socket by the number of a descriptor.
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
