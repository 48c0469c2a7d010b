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

// slowEndpoint is an endpoint that accepts connections only when the test allows it. Until then the kernel
// drops connection requests, and the courier's kernel sends them again after 1 s.
type slowEndpoint struct {
	*net.TCPListener
	backlogConns []net.Conn
}

// fillBacklog sets the listen backlog to its minimum and fills it.
func (endpoint *slowEndpoint) fillBacklog(t *testing.T) {
	t.Helper()
	raw, err := endpoint.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	const maxConns = 8
	for range maxConns {
		conn, err := net.DialTimeout("tcp", endpoint.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		endpoint.backlogConns = append(endpoint.backlogConns, conn)
	}
	t.Fatal("the listen backlog cannot be filled on this system")
}

// drainBacklog accepts and closes the connections in the backlog.
func (endpoint *slowEndpoint) drainBacklog(t *testing.T) {
	t.Helper()
	for range endpoint.backlogConns {
		conn, err := endpoint.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
}

// TestRetryStopsAtIdempotencyWindow. Failure: a retry was decided within the window in which its
// idempotency key is recognized, its connection took 1 s to open, and the call was sent after the window
// had ended.
func TestRetryStopsAtIdempotencyWindow(t *testing.T) {
	const window = time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &slowEndpoint{TCPListener: listener.(*net.TCPListener)}
	defer endpoint.Close()
	endpoint.SetDeadline(time.Now().Add(20 * time.Second))
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	world.Endpoints[0] = listener.Addr().String()
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
	client := &testClient{listen: listen}
	defer client.disconnect()
	for reply := ""; reply != "+OK"; reply, _ = client.submit("keyed", knownDest) {
		time.Sleep(10 * time.Millisecond)
	}
	first, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := readRequest(bufio.NewReader(first)); err != nil {
		t.Fatal(err)
	}
	firstCallAt := time.Now()
	endpoint.fillBacklog(t)
	first.Close() // without an answer, so the message may have run
	time.Sleep(window / 2)
	endpoint.drainBacklog(t)
	second, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	openedAfter := time.Since(firstCallAt)
	second.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, _ := second.Read(make([]byte, 4096)); n > 0 && time.Since(firstCallAt) > window {
		t.Errorf("the retry was sent %v after the first call, over a connection opened after %v; the window is %v", time.Since(firstCallAt), openedAfter, window)
	}
	if openedAfter < window {
		t.Fatalf("the connection was opened after %v, within the window, so the test shows nothing", openedAfter)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, _, notices := world.MessageCalls("keyed"); len(notices) > 0 {
			t.Logf("the connection was opened %v after the first call; the message ended with %v", openedAfter.Round(time.Millisecond), notices)
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no notice for the message within 5 s")
		}
	}
}
