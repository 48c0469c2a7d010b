package transport

import (
	"io"
	"testing"
	"time"
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
