package server_test

import (
	"bufio"
	"bytes"
	"net"
	"syscall"
	"testing"
	"time"

	"pineport/server"
	"pineport/testbed/scripted"
)

// lateEndpoint is an endpoint whose connections come up when the test says: meanwhile its system drops what asks for one, and
// whoever asks asks again a second later.
type lateEndpoint struct {
	*net.TCPListener
	plugs []net.Conn
}

// stuff fills the queue of connections not accepted, which is made as short as can be.
func (l *lateEndpoint) stuff(t *testing.T) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	const most = 8
	for range most {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		l.plugs = append(l.plugs, conn)
	}
	t.Fatal("this system queues connections without end: the endpoint cannot be made late")
}

// unstuff empties it again.
func (l *lateEndpoint) unstuff(t *testing.T) {
	t.Helper()
	for range l.plugs {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
}

// TestRetryStopsAtIdempotencyWindow. Failure: a repeat was decided within the window in which its idempotency key is known, its connection
// took a second to come up, and the call went out after the window was over.
func TestRetryStopsAtIdempotencyWindow(t *testing.T) {
	const window = time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &lateEndpoint{TCPListener: l.(*net.TCPListener)}
	defer endpoint.Close()
	endpoint.SetDeadline(time.Now().Add(20 * time.Second))
	world, err := scripted.Open(1, func(string) scripted.Fate { return scripted.Fate{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	world.Endpoints[0] = l.Addr().String()
	listen := server.StartCourier(t, world, func(text []byte) []byte {
		for from, to := range map[string]string{`"single_shot"`: `"guarded"`, `"dedup-window-s": 5`: `"dedup-window-s": 1`,
			`"connect-timeout-s": 1`: `"connect-timeout-s": 3`} {
			if !bytes.Contains(text, []byte(from)) {
				t.Fatalf("the configuration has no %s", from)
			}
			text = bytes.ReplaceAll(text, []byte(from), []byte(to))
		}
		return text
	})
	client := &visitor{listen: listen}
	defer client.leave()
	for reply := ""; reply != "+OK"; reply, _ = client.asks("keyed", knownDest) {
		time.Sleep(10 * time.Millisecond)
	}
	first, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := readRequest(bufio.NewReader(first)); err != nil {
		t.Fatal(err)
	}
	called := time.Now()
	endpoint.stuff(t)
	first.Close() // without an answer: it may have run
	time.Sleep(window / 2)
	endpoint.unstuff(t)
	second, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	up := time.Since(called)
	second.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, _ := second.Read(make([]byte, 4096)); n > 0 && time.Since(called) > window {
		t.Errorf("the repeat went out %v after the first call, over a connection that was up after %v: its window is %v", time.Since(called), up, window)
	}
	if up < window {
		t.Fatalf("the connection was up after %v, within the window: nothing was shown", up)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, _, notices := world.Seen("keyed"); len(notices) > 0 {
			t.Logf("the connection was up %v after the first call; the message ended as %v", up.Round(time.Millisecond), notices)
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("it never got its final answer")
		}
	}
}
